//! End-to-end path over real sockets: request, job and configuration edit.

use std::time::Duration;

use serde_json::json;
use yuccahoist::config::DocumentName;
use yuccahoist::id::{RequestId, Revision};
use yuccahoist::unit::WallTime;
use yuccahoist_standins::cluster::{Cluster, ClusterOptions};

const START_TIMEOUT: Duration = Duration::from_secs(20);

fn request_id(number: u8) -> RequestId {
    let millis =
        std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default().as_millis();
    RequestId::from_parts(WallTime::from_millis(u64::try_from(millis).unwrap_or(0)), [number; 10])
}

/// Guards against components that work alone but not together.
#[tokio::test(flavor = "multi_thread")]
async fn request_job_and_edit_take_effect() {
    let options = ClusterOptions::builder().hosts(3).racks(3).workers_per_rack(2).build();
    let mut cluster = Cluster::start(options).await.expect("cluster started");
    cluster
        .wait_for_status("revision 1", START_TIMEOUT, |s| s.ready && s.hosts.len() == 3)
        .await
        .expect("all hosts ready");
    cluster.wait_for_ownership(START_TIMEOUT).await.expect("all subjects owned");

    for (number, host) in (1..).zip(cluster.hosts.values()) {
        for idempotent in ["true", "false"] {
            let id = request_id(number * 2 + u8::from(idempotent == "true"));
            let response = cluster
                .client()
                .post(format!("http://{}/v1/services/drumline", host.api))
                .header("yuccahoist-request-id", id.to_string())
                .header("yuccahoist-class", "urgent")
                .header("yuccahoist-idempotent", idempotent)
                .header("yuccahoist-deadline-ms", "2000")
                .header("yuccahoist-team", "day-a")
                .body("time_us=1000;hello")
                .send()
                .await
                .expect("host answers");
            assert_eq!(response.status(), 200, "{}", response.text().await.unwrap_or_default());
            assert_eq!(cluster.backends.run_counts().get(&id), Some(&1));
        }
    }

    let api = cluster.hosts.values().next().expect("running host").api;
    let job = json!({
        "id": "plan-1", "kind": "gang", "team": "day-a", "priority": 10, "tasks": 4,
        "resources": { "cpu_millis": 2_000, "memory_mib": 1_024, "accelerators": 0 },
    });
    let reply =
        cluster.client().post(format!("http://{api}/v1/jobs")).json(&job).send().await.expect("job reply");
    assert!(reply.status().is_success(), "{}", reply.text().await.unwrap_or_default());
    let mut last_status = String::new();
    for _ in 0..400 {
        let status =
            cluster.client().get(format!("http://{api}/v1/jobs/plan-1")).send().await.expect("job status");
        last_status = status.text().await.expect("UTF-8 body");
        if last_status.contains("succeeded") {
            break;
        }
        tokio::time::sleep(Duration::from_millis(25)).await;
    }
    assert!(last_status.contains("succeeded"), "{last_status}");

    let overlay = json!({ "limits": { "body_bytes": 2_048 } });
    let document = DocumentName::Site("yard-gate".parse().expect("valid site"));
    cluster.publish(document, overlay, Revision(1)).await.expect("edit published");
    let edit_timeout = Duration::from_secs(3);
    cluster
        .wait_for_status("revision 2", edit_timeout, |s| {
            s.hosts.iter().all(|host| host.revision == Revision(2))
        })
        .await
        .expect("revision 2 applied on all hosts");

    let names: Vec<_> = cluster.hosts.keys().cloned().collect();
    for name in names {
        cluster.stop(&name).await;
    }
}
