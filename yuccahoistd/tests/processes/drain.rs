//! Planned stops.

use std::time::Duration;

use rustix::process::Signal;
use yuccahoist::ownership::Share;

use crate::harness::{Call, Cell, LIMIT, Load, check, until, wall_micros};

/// Time after which a leaving worker gets no new request.
const DRAIN: Duration = Duration::from_secs(3);

/// Guards against a planned stop that breaks a connection or leaves racks without an owner.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn terminated_host_finishes_its_requests() {
    let mut cell = Cell::start(3, 3).await;
    let owner = cell.owner().await;
    let host = cell.api(owner);
    let apis = cell.apis();
    let rest: Vec<_> = apis.into_iter().filter(|api| *api != host).collect();
    let others = Load::start(&cell.caller, &rest, 4, Duration::from_millis(20));
    // The balancer sends to a host until it is not ready.
    let own = Load::start(&cell.caller, &[host], 8, Duration::from_millis(700));
    tokio::time::sleep(Duration::from_millis(500)).await;
    cell.process(owner).signal(Signal::TERM);
    let ready = format!("http://{}/v1/ready", host);
    until("end of readiness", LIMIT, || async {
        cell.caller.client().get(&ready).send().await.is_ok_and(|response| response.status() == 503)
    })
    .await;
    let mut sent = own.finish().await;
    let status = cell.process(owner).end(LIMIT).await;
    assert_eq!(status.code(), Some(0), "{}", cell.process(owner).output());
    let broken: Vec<_> = sent.iter().filter(|one| !one.is("answered")).collect();
    assert!(broken.is_empty(), "{} of {}: {broken:?}", broken.len(), sent.len());
    cell.forget(owner);
    cell.wait_owned(Share::Full).await;
    let others = others.finish().await;
    let cut: Vec<_> = others.iter().filter(|one| one.result.is_err() || one.is("unknown")).collect();
    assert!(cut.is_empty(), "{} of {}: {cut:?}", cut.len(), others.len());
    sent.extend(others);
    check(&cell.record().await, &sent);
}

/// Guards against new requests at a worker that the host list shows as leaving.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leaving_worker_gets_no_new_request() {
    const WORKER: &str = "rack-0-1";
    let cell = Cell::start(3, 3).await;
    let load = Load::start(&cell.caller, &cell.apis(), 6, Duration::from_millis(50));
    until("use of the worker", LIMIT, || async { cell.record().await.most_slots()[WORKER] > 0 }).await;
    cell.set_worker_state(WORKER, "leaving").await;
    let limit = wall_micros() + u64::try_from(DRAIN.as_micros()).expect("short time");
    tokio::time::sleep(DRAIN + Duration::from_secs(1)).await;
    let after = cell.caller.send(cell.api(0), &Call::new(true, Duration::ZERO)).await;
    let sent = load.finish().await;
    assert!(after.is("answered"), "{after:?}");
    let record = cell.record().await;
    check(&record, &sent);
    let runs = record.runs();
    let late: Vec<_> =
        runs.values().flatten().filter(|run| run.worker == WORKER && run.start > limit).collect();
    assert!(late.is_empty(), "{} requests started after {DRAIN:?}: {late:?}", late.len());
    let cut: Vec<_> = sent.iter().filter(|one| !one.is("answered")).collect();
    assert!(cut.is_empty(), "{} of {}: {cut:?}", cut.len(), sent.len());
}
