//! Faults of the log.

use std::collections::BTreeSet;
use std::time::Duration;

use serde_json::json;

use crate::harness::{Call, Cell, LIMIT, Load, check, until};

/// Longer than the lease of a rack (3 s) and of a task (30 s).
const OUTAGE: Duration = Duration::from_secs(34);

/// Guards against an outage of the log that stops idempotent requests or running tasks, or in which something is
/// accepted that needs the log.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_and_tasks_go_on_without_the_log() {
    let mut cell = Cell::start(3, 4).await;
    until("start of the service's tasks", LIMIT, || async {
        cell.record().await.attempts("echo").len() >= 2
    })
    .await;
    cell.set_log_faults(json!({ "down": true })).await;
    let outage = tokio::time::Instant::now();
    until("notice of the outage", LIMIT, || async {
        let status = cell.status(cell.api(0)).await;
        status.is_some_and(|status| !status.log)
    })
    .await;
    cell.start_host(3);
    let newcomer = cell.api(3);
    until("answer of the host that started in the outage", LIMIT, || async {
        cell.caller.send(newcomer, &Call::new(true, Duration::ZERO)).await.is("answered")
    })
    .await;
    let published = cell.publish("base", 1, &cell.base()).await;
    assert_eq!(published.code, Some(2), "{}", published.output);
    assert_eq!(cell.submit(cell.api(1), "wash", "batch", 1).await, 503);

    let load = Load::start(&cell.caller, &cell.apis(), 2, Duration::from_millis(50));
    tokio::time::sleep_until(outage + OUTAGE).await;
    let sent = load.finish().await;
    for one in &sent {
        let reply = one.result.as_ref().expect("every request has a reply in an outage");
        let expected = if one.call.idempotent { (200, "answered") } else { (503, "not-run") };
        assert_eq!((reply.status, reply.outcome.as_str()), expected, "{one:?}");
    }
    cell.set_log_faults(json!({})).await;
    cell.wait_full().await;
    let record = cell.record().await;
    check(&record, &sent);
    let attempts = record.attempts("echo");
    let ended: Vec<_> = attempts.iter().filter(|attempt| attempt.state != "running").collect();
    assert!(ended.is_empty(), "tasks ended in the outage: {ended:?}");

    for host in cell.apis() {
        until(&format!("non-idempotent answer of {host}"), LIMIT, || async {
            cell.caller.send(host, &Call::new(false, Duration::ZERO)).await.is("answered")
        })
        .await;
    }
    let published = cell.publish("base", 1, &cell.base()).await;
    assert_eq!(published.code, Some(0), "{}", published.output);
    cell.wait_revision(2, LIMIT).await;
    assert_eq!(cell.submit(cell.api(3), "wash", "batch", 1).await, 202);
    cell.wait_finished(cell.api(0), "wash").await;
}

/// Guards against a second effect of an append whose answer is lost.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_answers_of_the_log_repeat_nothing() {
    let cell = Cell::start(3, 3).await;
    cell.set_log_faults(json!({ "lose_answer": true })).await;
    let load = Load::start(&cell.caller, &cell.apis(), 2, Duration::from_millis(5));
    let published = cell.publish("base", 1, &cell.base()).await;
    assert_eq!(published.code, Some(0), "{}", published.output);
    cell.wait_revision(2, LIMIT).await;
    // A host that waits for the outcome of an append may answer 503, after which a caller repeats the call.
    until("submission of the job", LIMIT, || async {
        let status = cell.submit(cell.api(0), "wash", "batch", 3).await;
        assert!([202, 503].contains(&status), "status {status}");
        status == 202
    })
    .await;
    cell.wait_finished(cell.api(1), "wash").await;
    let sent = load.finish().await;
    cell.set_log_faults(json!({})).await;
    cell.wait_full().await;

    let record = cell.record().await;
    check(&record, &sent);
    let answered = sent.iter().filter(|one| !one.call.idempotent && one.is("answered")).count();
    assert!(answered > 0, "no non-idempotent request was answered: {:?}", sent.last());
    let attempts = record.attempts("wash");
    let indices: BTreeSet<u64> = attempts.iter().map(|attempt| attempt.index).collect();
    assert_eq!((attempts.len(), indices.len()), (3, 3), "{attempts:?}");
    let history = cell.operate("history").await;
    assert_eq!(history.output.lines().count(), 2, "{}", history.output);
    cell.wait_revision(2, LIMIT).await;
}
