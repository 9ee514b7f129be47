//! Crash and pause of a host.

use std::time::Duration;

use rustix::process::Signal;
use yuccahoist::ownership::Share;

use crate::harness::{Call, Cell, Load, STATE_TIMEOUT, check_replies, wait_until};

/// Service time of each request of the load.
const SERVICE_TIME: Duration = Duration::from_millis(20);

/// Guards against racks without an owner, wrong answers and second runs of non-idempotent requests after a host crash.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn racks_are_taken_over_and_no_request_runs_twice_after_a_crash() {
    let mut cell = Cell::start(3, 3).await;
    let owner = cell.rack_owner().await;
    let load = Load::start(&cell.caller, &cell.running_caller_addresses(), 4, SERVICE_TIME);
    tokio::time::sleep(Duration::from_millis(500)).await;
    cell.kill(owner).await;
    cell.wait_owned(Share::Remainder).await;
    let exchanges = load.finish().await;
    assert!(exchanges.iter().any(|exchange| exchange.has_outcome("answered")));
    check_replies(&cell.worker_records().await, &exchanges);

    // A caller whose host crashed retries its request at another host.
    let mut retries = Vec::new();
    let other_host = cell.running_caller_addresses()[0];
    for lost in
        exchanges.iter().filter(|exchange| exchange.result.is_err() && !exchange.call.idempotent).take(4)
    {
        retries.push(cell.caller.send(other_host, &lost.call).await);
    }
    check_replies(&cell.worker_records().await, &retries);

    cell.start_host(owner);
    cell.wait_ready().await;
    let exchange = cell.caller.send(cell.caller_address(owner), &Call::new(false, SERVICE_TIME)).await;
    assert!(exchange.has_outcome("answered"), "{exchange:?}");
}

/// Guards against a host that resumes after a pause and dispatches requests on leases that expired meanwhile.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn paused_host_starts_no_request_late() {
    let mut cell = Cell::start(3, 3).await;
    let owner = cell.rack_owner().await;
    let load = Load::start(&cell.caller, &cell.running_caller_addresses(), 10, Duration::from_millis(100));
    tokio::time::sleep(Duration::from_millis(500)).await;
    cell.process(owner).signal(Signal::STOP);
    // Longer than the rack lease of 3 s with its margin plus the run limit of 1.5 s.
    tokio::time::sleep(Duration::from_secs(6)).await;
    cell.process(owner).signal(Signal::CONT);
    let host = cell.caller_address(owner);
    wait_until("answer of the resumed host", STATE_TIMEOUT, || async {
        cell.caller.send(host, &Call::new(false, SERVICE_TIME)).await.has_outcome("answered")
    })
    .await;
    let exchanges = load.finish().await;
    cell.wait_ready().await;
    let record = cell.worker_records().await;
    check_replies(&record, &exchanges);
    let late: Vec<_> =
        record.runs().into_iter().filter(|(_, runs)| runs.iter().any(|run| run.late)).collect();
    assert!(late.is_empty(), "requests started after their start deadline: {late:?}");
}
