//! Workers of the platform stand-in that start again: calls that wait for them, their leases, and runs at once.

use std::net::Ipv4Addr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::json;
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};
use yuccahoist_standins::platform::{
    Fleet, HoldOrder, Overlap, StartOrder, Step, Submission, TaskRun, WorkerSpec, serve_worker,
};

const JOB: &str = "00000000000000a1";
const AGE_MS: u64 = 600_000;

/// Returns two old workers and a submitted job with one task of 20 s.
fn old_workers() -> Fleet {
    let spec =
        |id: &str| WorkerSpec { id: id.into(), cpu_millis: 4_000, memory_mb: 4_000, labels: Vec::new() };
    let mut fleet = Fleet::new(1, 1_000, vec![spec("w-0"), spec("w-1")]);
    let step = Step { task_count: 1, estimated_ms: 20_000, ..Step::default() };
    fleet.record_submission(
        JOB,
        Submission { text: "work".into(), steps: vec![step], attempts: 1, ..Submission::default() },
    );
    fleet.age_workers(AGE_MS);
    fleet
}

fn start(run_id: u32, fencing_token: u64) -> StartOrder {
    StartOrder {
        task_id: format!("{JOB}.0.0.0"),
        run_id,
        specification: "work".into(),
        deadline_ms: AGE_MS + 4_000,
        fencing_token,
        last_checkpoint: String::new(),
        ticket_id: String::new(),
    }
}

fn is_active(fleet: &Fleet, worker: &str) -> bool {
    !fleet.report(worker).expect("worker is known").active_runs.is_empty()
}

/// Guards against a stand-in that grants another lease than the longest one for the deadline of an earlier incarnation.
#[test]
fn deadline_of_an_earlier_incarnation_grants_the_longest_lease() {
    for max_lease in [6_000, 10_000] {
        let mut fleet = old_workers();
        fleet.set_max_lease(max_lease);
        fleet.crash("w-0");
        fleet.restart("w-0");
        fleet.start("w-0", &start(1, 1), 0).expect("order accepted");
        fleet.advance(max_lease - 100);
        assert!(is_active(&fleet, "w-0"), "lease of {max_lease} ms is too short");
        // The slowest clock shows 98 % of the time.
        fleet.advance(max_lease * 103 / 100);
        assert!(!is_active(&fleet, "w-0"), "lease of {max_lease} ms is too long");
    }
}

/// Guards against overlaps that are attributed to the wrong runs or owners, or whose duration is wrong.
#[test]
fn runs_at_once_are_recorded_with_their_owners_and_duration() {
    let mut fleet = old_workers();
    fleet.start("w-0", &start(1, 1), 0).expect("order accepted");
    fleet.advance(1_000);
    fleet.start("w-1", &start(2, 3), 1_000).expect("order accepted");
    fleet.advance(1_700);
    assert_eq!(fleet.overlaps()[0].duration_ms, None);
    fleet.crash("w-0");
    fleet.advance(1_705);
    let run = |worker: &str, run_id, fencing_token| TaskRun { worker: worker.into(), run_id, fencing_token };
    let expected = Overlap {
        task: format!("{JOB}.0.0.0"),
        first: run("w-0", 1, 1),
        second: run("w-1", 2, 3),
        started_at: 1_000,
        duration_ms: Some(705),
    };
    assert_eq!(fleet.overlaps(), [expected]);
    assert!(fleet.overlaps()[0].is_across_owners());
    assert_eq!(fleet.violations().len(), 1, "{:?}", fleet.violations());
}

/// Guards against an end that counts as not acknowledged, since the order was meant for an earlier incarnation.
#[test]
fn start_after_an_end_that_an_order_to_an_earlier_incarnation_acknowledged_is_a_violation() {
    let mut fleet = old_workers();
    fleet.set_max_lease(30_000);
    fleet.darken("w-0");
    fleet.restart("w-0");
    fleet.start("w-0", &start(1, 1), 0).expect("order accepted");
    fleet.advance(20_100);
    let order =
        HoldOrder { fencing_token: 1, last_seen: 5, deadline_ms: Some(AGE_MS + 4_000), max_wait_ms: 0 };
    fleet.hold("w-0", &order).expect("order accepted");
    let again = StartOrder { deadline_ms: AGE_MS + 24_000, ..start(2, 1) };
    fleet.start("w-1", &again, 20_100).expect("order accepted");
    let violations = fleet.violations();
    assert!(matches!(violations, [only] if only.contains("after its acknowledged end")), "{violations:?}");
    assert_eq!(fleet.overlaps(), []);
}

/// Guards against a dark worker that refuses calls, or that drops one whose caller has gone before the restart.
#[tokio::test]
async fn calls_to_a_dark_worker_reach_its_next_incarnation() {
    let fleet = Arc::new(Mutex::new(old_workers()));
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("failed to listen");
    let url = format!("http://{}", listener.local_addr().expect("address is known"));
    tokio::spawn(serve_worker(listener, "w-0".into(), fleet.clone()));
    let access = || fleet.lock().expect("mutex is poisoned");
    let client = reqwest::Client::builder().no_proxy().build().expect("failed to build the HTTP client");
    let hold =
        || client.post(format!("{url}/hold")).json(&json!({ "fencingToken": 7, "lastSeen": 0 })).send();
    hold().await.expect("worker is up");

    access().darken("w-0");
    let order = json!({ "taskId": format!("{JOB}.0.0.0"), "runId": 1, "specification": "work",
        "deadlineMs": AGE_MS + 4_000, "fencingToken": 7 });
    let call = client.post(format!("{url}/run-start")).json(&order).send();
    assert!(timeout(Duration::from_millis(100), call).await.is_err(), "dark worker answered");
    let waiting = tokio::spawn(hold());
    sleep(Duration::from_millis(100)).await;
    assert!(!waiting.is_finished(), "dark worker answered");
    assert_eq!(access().start_count(), 0);

    access().restart("w-0");
    let answer = waiting.await.expect("call ended").expect("next incarnation answers");
    let report: serde_json::Value = answer.json().await.expect("answer is JSON");
    assert_eq!(report["born"], 1_000, "answer is not of the next incarnation");
    sleep(Duration::from_millis(100)).await;
    assert_eq!(access().start_count(), 1, "call of a caller that has gone was not executed");

    access().crash("w-0");
    let broken = async { hold().await?.bytes().await };
    assert!(broken.await.is_err(), "connection to a worker that is down did not break");
}
