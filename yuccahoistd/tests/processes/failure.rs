//! Hosts that die or pause.

use std::time::Duration;

use rustix::process::Signal;
use yuccahoist::ownership::Share;

use crate::harness::{Call, Cell, LIMIT, Load, check, until};

/// Service time of the load.
const TIME: Duration = Duration::from_millis(20);

/// Guards against lost racks, wrong answers and second runs of non-idempotent requests when a host dies.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn killed_host_loses_no_rack_and_repeats_no_request() {
    let mut cell = Cell::start(3, 3).await;
    let owner = cell.owner().await;
    let load = Load::start(&cell.caller, &cell.apis(), 4, TIME);
    tokio::time::sleep(Duration::from_millis(500)).await;
    cell.kill(owner).await;
    cell.wait_owned(Share::Remainder).await;
    let sent = load.finish().await;
    assert!(sent.iter().any(|one| one.is("answered")));
    check(&cell.record().await, &sent);

    // A caller whose host died repeats its request at another host.
    let mut repeated = Vec::new();
    let other = cell.apis()[0];
    for lost in sent.iter().filter(|one| one.result.is_err() && !one.call.idempotent).take(4) {
        repeated.push(cell.caller.send(other, &lost.call).await);
    }
    check(&cell.record().await, &repeated);

    cell.start_host(owner);
    cell.wait_full().await;
    let one = cell.caller.send(cell.api(owner), &Call::new(false, TIME)).await;
    assert!(one.is("answered"), "{one:?}");
}

/// Guards against a host that goes on with leases which lapsed while it was paused.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn paused_host_starts_nothing_late() {
    let mut cell = Cell::start(3, 3).await;
    let owner = cell.owner().await;
    let load = Load::start(&cell.caller, &cell.apis(), 10, Duration::from_millis(100));
    tokio::time::sleep(Duration::from_millis(500)).await;
    cell.process(owner).signal(Signal::STOP);
    // Beyond the lease of 3 s with its margin, and the run limit of 1.5 s after it.
    tokio::time::sleep(Duration::from_secs(6)).await;
    cell.process(owner).signal(Signal::CONT);
    let host = cell.api(owner);
    until("answer of the host that was paused", LIMIT, || async {
        cell.caller.send(host, &Call::new(false, TIME)).await.is("answered")
    })
    .await;
    let sent = load.finish().await;
    cell.wait_full().await;
    let record = cell.record().await;
    check(&record, &sent);
    let late: Vec<_> =
        record.runs().into_iter().filter(|(_, runs)| runs.iter().any(|run| run.late)).collect();
    assert!(late.is_empty(), "started late: {late:?}");
}
