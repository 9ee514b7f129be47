//! The product's HTTP clients against the stand-ins: answers, and how sure each failure is.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use assert_matches::assert_matches;
use bytes::Bytes;
use tokio::net::TcpListener;
use yuccahoist::id::{Epoch, RequestId, WorkerId};
use yuccahoist::placement::{Inventory, WorkerCommand};
use yuccahoist::request::{Class, Request};
use yuccahoist::settings::PlatformSettings;
use yuccahoist::systems::{
    BackendServer, CallError, DispatchBounds, HostList, HostState, HttpBackendServer, HttpHostList,
    HttpWorkers, WorkerAddress, WorkerPlatform, WorkerTable,
};
use yuccahoist::unit::{Timestamp, WallTime};
use yuccahoist_standins::backend::Backends;
use yuccahoist_standins::fault::Faults;
use yuccahoist_standins::hosts::Hosts;
use yuccahoist_standins::serve;
use yuccahoist_standins::worker::Workers;

fn w1() -> WorkerId {
    "w1".parse().expect("worker")
}

fn request(body: &'static str) -> Request {
    Request {
        id: RequestId::from_parts(WallTime::from_millis(1_790_000_000_000), [1; 10]),
        service: "drumline".parse().expect("service"),
        class: Class::Urgent,
        team: "day".parse().expect("team"),
        idempotent: true,
        deadline: Timestamp::MAX,
        body: Bytes::from_static(body.as_bytes()),
    }
}

fn bounds(epoch: u64, run_limit: u64) -> DispatchBounds {
    DispatchBounds {
        epoch: Epoch(epoch),
        start_before: WallTime::from_millis(u64::MAX),
        run_limit: Duration::from_millis(run_limit),
    }
}

struct Worker {
    address: SocketAddr,
    backends: Backends,
    workers: Workers,
    table: WorkerTable,
    settings: PlatformSettings,
}

async fn worker() -> Worker {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let address = listener.local_addr().expect("address");
    let (backends, workers) = (Backends::new([w1()]), Workers::new([w1()]));
    tokio::spawn(serve::worker(listener, w1(), backends.clone(), workers.clone()));
    let table =
        WorkerTable::new(BTreeMap::from([(w1(), WorkerAddress { backend: address, agent: address })]));
    Worker { address, backends, workers, table, settings: PlatformSettings::new(address, address) }
}

/// Guards against a failure that is reported as not sent although the request ran, and the other way round.
#[tokio::test]
async fn requests_end_with_the_right_certainty() {
    let worker = worker().await;
    let client = HttpBackendServer::new(worker.table.clone(), &worker.settings).expect("client");
    let answer = client.call(&w1(), &request("body"), bounds(3, 5_000)).await.expect("answered");
    assert_eq!((answer.status, answer.body), (200, Bytes::from_static(b"body")));
    let run = worker.backends.record_of(&w1()).expect("known").runs[0].clone();
    assert_eq!((run.request, run.epoch), (request("").id, Epoch(3)));

    let faults = worker.backends.faults(&w1()).expect("known");
    faults.set(Faults { lose_answer: true, ..Faults::default() });
    assert_matches!(client.call(&w1(), &request(""), bounds(3, 5_000)).await, Err(CallError::Unknown { .. }));
    faults.set(Faults { refuse_older: true, ..Faults::default() });
    assert_matches!(
        client.call(&w1(), &request(""), bounds(2, 5_000)).await,
        Err(CallError::Rejected { .. })
    );
    // The run limit passes before the answer.
    let slow = request("time_us=5000000;");
    assert_matches!(client.call(&w1(), &slow, bounds(3, 10)).await, Err(CallError::Unknown { .. }));
    let other = "w2".parse().expect("worker");
    assert_matches!(client.call(&other, &request(""), bounds(3, 10)).await, Err(CallError::NotSent { .. }));
    assert_eq!(worker.backends.record_of(&w1()).expect("known").runs.len(), 3);
}

/// Guards against a dispatch that waited in the client while its host was paused, and then starts late.
#[tokio::test]
async fn requests_past_their_time_limit_do_not_run() {
    let worker = worker().await;
    let client = HttpBackendServer::new(worker.table.clone(), &worker.settings).expect("client");
    let late = DispatchBounds { start_before: WallTime::from_millis(0), ..bounds(3, 5_000) };
    // The first request goes over a new connection, the others over a kept one.
    for (body, bounds) in [("body", late), ("kept", bounds(3, 5_000)), ("body", late), ("", late)] {
        let result = client.call(&w1(), &request(body), bounds).await;
        assert_eq!(result.is_ok(), body == "kept", "{result:?}");
    }
    assert_eq!(worker.backends.record_of(&w1()).expect("known").runs.len(), 1);
}

/// Guards against a refused connection that counts as an unknown outcome and so blocks a retry.
#[tokio::test]
async fn refused_connections_are_not_sent() {
    let free = TcpListener::bind("127.0.0.1:0").await.expect("bound").local_addr().expect("address");
    let table = WorkerTable::default();
    table.replace(BTreeMap::from([(w1(), WorkerAddress { backend: free, agent: free })]));
    let settings = PlatformSettings::new(free, free);
    let backend = HttpBackendServer::new(table.clone(), &settings).expect("client");
    assert_matches!(backend.call(&w1(), &request(""), bounds(1, 500)).await, Err(CallError::NotSent { .. }));
    let workers = HttpWorkers::new(table, &settings).expect("client");
    assert_matches!(workers.command(&w1(), WorkerCommand::Inventory).await, Err(CallError::NotSent { .. }));
    let hosts = HttpHostList::new(&settings).expect("client");
    assert_matches!(hosts.hosts().await, Err(CallError::NotSent { .. }));
}

/// Guards against worker commands whose effect is not known to the product, and faults that cannot be set from outside.
#[tokio::test]
async fn commands_and_faults_work_by_http() {
    let worker = worker().await;
    let client = HttpWorkers::new(worker.table.clone(), &worker.settings).expect("client");
    let inventory = client.command(&w1(), WorkerCommand::Inventory).await.expect("inventory");
    assert_eq!(inventory, Inventory::default());
    let post = |faults: Faults| {
        reqwest::Client::new().post(format!("http://{}/faults", worker.address)).json(&faults).send()
    };
    let set = post(Faults { down: true, ..Faults::default() }).await.expect("answered");
    assert!(set.status().is_success());
    assert!(worker.workers.faults(&w1()).expect("known").get().down);
    assert_matches!(client.command(&w1(), WorkerCommand::Inventory).await, Err(CallError::Unknown { .. }));
    post(Faults::default()).await.expect("answered");
    client.command(&w1(), WorkerCommand::Inventory).await.expect("inventory");
    let record = reqwest::get(format!("http://{}/record", worker.address)).await.expect("answered");
    let record: serde_json::Value = record.json().await.expect("JSON");
    assert!(record["backend"]["most_connections"].as_u64().is_some_and(|most| most >= 1), "{record}");
    assert_eq!(record["worker"]["attempts"], serde_json::json!([]));
}

/// Guards against a host list whose names or states are read differently from how they are written.
#[tokio::test]
async fn host_list_works_by_http() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let address = listener.local_addr().expect("address");
    tokio::spawn(serve::hosts(listener, Hosts::new(Duration::ZERO)));
    let states = serde_json::json!({"w1": "live", "w2": "leaving"});
    let set = reqwest::Client::new().post(format!("http://{address}/hosts")).json(&states).send().await;
    assert!(set.expect("answered").status().is_success());
    let client = HttpHostList::new(&PlatformSettings::new(address, address)).expect("client");
    let expected = BTreeMap::from([("w1".into(), HostState::Live), ("w2".into(), HostState::Leaving)]);
    assert_eq!(client.hosts().await.expect("list"), expected);
}
