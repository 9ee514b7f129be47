//! Graceful stop of a host and drain of a worker.

use std::time::Duration;

use rustix::process::Signal;
use yuccahoist::ownership::Share;

use crate::harness::{Call, Cell, Load, STATE_TIMEOUT, check_replies, wait_until, wall_micros};

/// Limit after which a leaving worker must get no new request.
const DRAIN_LIMIT: Duration = Duration::from_secs(3);

/// Guards against a graceful stop that breaks a connection or leaves racks without an owner.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn terminated_host_completes_its_requests() {
    let mut cell = Cell::start(3, 3).await;
    let owner = cell.rack_owner().await;
    let host = cell.caller_address(owner);
    let hosts = cell.running_caller_addresses();
    let other_hosts: Vec<_> = hosts.into_iter().filter(|api| *api != host).collect();
    let other_load = Load::start(&cell.caller, &other_hosts, 4, Duration::from_millis(20));
    // The balancer keeps sending to the host until its readiness check fails.
    let drained_load = Load::start(&cell.caller, &[host], 8, Duration::from_millis(700));
    tokio::time::sleep(Duration::from_millis(500)).await;
    cell.process(owner).signal(Signal::TERM);
    let ready_url = format!("http://{}/v1/ready", host);
    wait_until("readiness check answers 503", STATE_TIMEOUT, || async {
        cell.caller.client().get(&ready_url).send().await.is_ok_and(|response| response.status() == 503)
    })
    .await;
    let mut exchanges = drained_load.finish().await;
    let status = cell.process(owner).wait_exit(STATE_TIMEOUT).await;
    assert_eq!(status.code(), Some(0), "{}", cell.process(owner).output());
    let failed: Vec<_> = exchanges.iter().filter(|exchange| !exchange.has_outcome("answered")).collect();
    assert!(failed.is_empty(), "{} of {} requests failed: {failed:?}", failed.len(), exchanges.len());
    cell.mark_stopped(owner);
    cell.wait_owned(Share::Full).await;
    let other_exchanges = other_load.finish().await;
    let interrupted: Vec<_> = other_exchanges
        .iter()
        .filter(|exchange| exchange.result.is_err() || exchange.has_outcome("unknown"))
        .collect();
    assert!(
        interrupted.is_empty(),
        "{} of {} requests interrupted: {interrupted:?}",
        interrupted.len(),
        other_exchanges.len()
    );
    exchanges.extend(other_exchanges);
    check_replies(&cell.worker_records().await, &exchanges);
}

/// Guards against new requests on a worker that the host list reports as leaving.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leaving_worker_gets_no_new_request() {
    const LEAVING_WORKER: &str = "rack-0-1";
    let cell = Cell::start(3, 3).await;
    let load = Load::start(&cell.caller, &cell.running_caller_addresses(), 6, Duration::from_millis(50));
    wait_until("a request on the worker", STATE_TIMEOUT, || async {
        cell.worker_records().await.peak_slots()[LEAVING_WORKER] > 0
    })
    .await;
    cell.set_worker_state(LEAVING_WORKER, "leaving").await;
    let limit = wall_micros() + u64::try_from(DRAIN_LIMIT.as_micros()).expect("limit fits into 64 bits");
    tokio::time::sleep(DRAIN_LIMIT + Duration::from_secs(1)).await;
    let last_exchange = cell.caller.send(cell.caller_address(0), &Call::new(true, Duration::ZERO)).await;
    let exchanges = load.finish().await;
    assert!(last_exchange.has_outcome("answered"), "{last_exchange:?}");
    let record = cell.worker_records().await;
    check_replies(&record, &exchanges);
    let runs = record.runs();
    let late: Vec<_> =
        runs.values().flatten().filter(|run| run.worker == LEAVING_WORKER && run.start > limit).collect();
    assert!(late.is_empty(), "{} requests started after {DRAIN_LIMIT:?}: {late:?}", late.len());
    let failed: Vec<_> = exchanges.iter().filter(|exchange| !exchange.has_outcome("answered")).collect();
    assert!(failed.is_empty(), "{} of {} requests failed: {failed:?}", failed.len(), exchanges.len());
}
