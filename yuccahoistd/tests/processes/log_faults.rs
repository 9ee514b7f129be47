//! Faults of the log service.

use std::collections::BTreeSet;
use std::time::Duration;

use serde_json::json;

use crate::harness::{Call, Cell, Load, STATE_TIMEOUT, check_replies, wait_until};

/// Duration of the outage: longer than the lease of a rack (3 s) and of a task (30 s).
const LOG_OUTAGE: Duration = Duration::from_secs(34);

/// Guards against a log outage that stops idempotent requests or running tasks, or during which a non-idempotent
/// request, a job or an edit is accepted although it must be logged first.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn idempotent_requests_and_tasks_continue_in_a_log_outage() {
    let mut cell = Cell::start(3, 4).await;
    wait_until("start of the service tasks", STATE_TIMEOUT, || async {
        cell.worker_records().await.attempts("echo").len() >= 2
    })
    .await;
    cell.set_log_faults(json!({ "down": true })).await;
    let outage_start = tokio::time::Instant::now();
    wait_until("detection of the log outage", STATE_TIMEOUT, || async {
        let status = cell.status(cell.caller_address(0)).await;
        status.is_some_and(|status| !status.log)
    })
    .await;
    cell.start_host(3);
    let new_host = cell.caller_address(3);
    wait_until("answer of the host started during the outage", STATE_TIMEOUT, || async {
        cell.caller.send(new_host, &Call::new(true, Duration::ZERO)).await.has_outcome("answered")
    })
    .await;
    let published = cell.publish("base", 1, &cell.base_document()).await;
    assert_eq!(published.code, Some(2), "{}", published.output);
    assert_eq!(cell.submit(cell.caller_address(1), "wash", "batch", 1).await, 503);

    let load = Load::start(&cell.caller, &cell.running_caller_addresses(), 2, Duration::from_millis(50));
    tokio::time::sleep_until(outage_start + LOG_OUTAGE).await;
    let exchanges = load.finish().await;
    for exchange in &exchanges {
        let reply = exchange.result.as_ref().expect("every request gets a reply during the outage");
        let expected = if exchange.call.idempotent { (200, "answered") } else { (503, "not-run") };
        assert_eq!((reply.status, reply.outcome.as_str()), expected, "{exchange:?}");
    }
    cell.set_log_faults(json!({})).await;
    cell.wait_ready().await;
    let record = cell.worker_records().await;
    check_replies(&record, &exchanges);
    let attempts = record.attempts("echo");
    let ended_attempts: Vec<_> = attempts.iter().filter(|attempt| attempt.state != "running").collect();
    assert!(ended_attempts.is_empty(), "tasks ended during the outage: {ended_attempts:?}");

    for host in cell.running_caller_addresses() {
        wait_until(&format!("answer to a non-idempotent request from {host}"), STATE_TIMEOUT, || async {
            cell.caller.send(host, &Call::new(false, Duration::ZERO)).await.has_outcome("answered")
        })
        .await;
    }
    let published = cell.publish("base", 1, &cell.base_document()).await;
    assert_eq!(published.code, Some(0), "{}", published.output);
    cell.wait_revision(2, STATE_TIMEOUT).await;
    assert_eq!(cell.submit(cell.caller_address(3), "wash", "batch", 1).await, 202);
    cell.wait_succeeded(cell.caller_address(0), "wash").await;
}

/// Guards against an append that takes effect twice because its answer was lost and the append was retried.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_log_answers_cause_no_second_effect() {
    let cell = Cell::start(3, 3).await;
    cell.set_log_faults(json!({ "lose_answer": true })).await;
    let load = Load::start(&cell.caller, &cell.running_caller_addresses(), 2, Duration::from_millis(5));
    let published = cell.publish("base", 1, &cell.base_document()).await;
    assert_eq!(published.code, Some(0), "{}", published.output);
    cell.wait_revision(2, STATE_TIMEOUT).await;
    // A host that does not know the outcome of an append yet may answer 503; the caller then retries.
    wait_until("submission of the job", STATE_TIMEOUT, || async {
        let status = cell.submit(cell.caller_address(0), "wash", "batch", 3).await;
        assert!([202, 503].contains(&status), "status {status}");
        status == 202
    })
    .await;
    cell.wait_succeeded(cell.caller_address(1), "wash").await;
    let exchanges = load.finish().await;
    cell.set_log_faults(json!({})).await;
    cell.wait_ready().await;

    let record = cell.worker_records().await;
    check_replies(&record, &exchanges);
    let answered = exchanges
        .iter()
        .filter(|exchange| !exchange.call.idempotent && exchange.has_outcome("answered"))
        .count();
    assert!(answered > 0, "no non-idempotent request was answered: {:?}", exchanges.last());
    let attempts = record.attempts("wash");
    let indices: BTreeSet<u64> = attempts.iter().map(|attempt| attempt.index).collect();
    assert_eq!((attempts.len(), indices.len()), (3, 3), "{attempts:?}");
    let history = cell.run_operator("history").await;
    assert_eq!(history.output.lines().count(), 2, "{}", history.output);
    cell.wait_revision(2, STATE_TIMEOUT).await;
}
