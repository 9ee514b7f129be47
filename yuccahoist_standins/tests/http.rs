//! HTTP clients of the product against the stand-ins: answers, and the error that each failure is reported as.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use assert_matches::assert_matches;
use bytes::Bytes;
use tokio::net::TcpListener;
use warp::Filter;

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
    "w1".parse().expect("valid worker id")
}

fn request(body: &'static str) -> Request {
    Request {
        id: RequestId::from_parts(WallTime::from_millis(1_790_000_000_000), [1; 10]),
        service: "drumline".parse().expect("valid service id"),
        class: Class::Urgent,
        team: "day".parse().expect("valid team id"),
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

struct WorkerFixture {
    address: SocketAddr,
    backends: Backends,
    workers: Workers,
    table: WorkerTable,
    settings: PlatformSettings,
}

async fn start_worker() -> WorkerFixture {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("port bound");
    let address = listener.local_addr().expect("local address");
    let (backends, workers) = (Backends::new([w1()]), Workers::new([w1()]));
    tokio::spawn(serve::worker(listener, w1(), backends.clone(), workers.clone()));
    let table =
        WorkerTable::new(BTreeMap::from([(w1(), WorkerAddress { backend: address, agent: address })]));
    WorkerFixture { address, backends, workers, table, settings: PlatformSettings::new(address, address) }
}

/// Guards against a request that ran and is reported as not sent or rejected, and the other way round.
#[tokio::test]
async fn request_failures_report_whether_it_ran() {
    let worker = start_worker().await;
    let client = HttpBackendServer::new(worker.table.clone(), &worker.settings).expect("HTTP client");
    let answer = client.call(&w1(), &request("body"), bounds(3, 5_000)).await.expect("answered");
    assert_eq!((answer.status, answer.body), (200, Bytes::from_static(b"body")));
    let run = worker.backends.record_of(&w1()).expect("known worker").runs[0].clone();
    assert_eq!((run.request, run.epoch), (request("").id, Epoch(3)));

    let faults = worker.backends.faults(&w1()).expect("known worker");
    faults.set(Faults { lose_answer: true, ..Faults::default() });
    assert_matches!(client.call(&w1(), &request(""), bounds(3, 5_000)).await, Err(CallError::Unknown { .. }));
    faults.set(Faults { refuse_older: true, ..Faults::default() });
    assert_matches!(
        client.call(&w1(), &request(""), bounds(2, 5_000)).await,
        Err(CallError::Rejected { .. })
    );
    // The run limit passes before the request ends.
    let slow_request = request("time_us=5000000;");
    assert_matches!(client.call(&w1(), &slow_request, bounds(3, 10)).await, Err(CallError::Unknown { .. }));
    let unknown_worker = "w2".parse().expect("valid worker id");
    assert_matches!(
        client.call(&unknown_worker, &request(""), bounds(3, 10)).await,
        Err(CallError::NotSent { .. })
    );
    assert_eq!(worker.backends.record_of(&w1()).expect("known worker").runs.len(), 3);
}

/// Guards against a late start of a request that was delayed in the client because its host was paused.
#[tokio::test]
async fn requests_past_their_time_limit_do_not_run() {
    let worker = start_worker().await;
    let client = HttpBackendServer::new(worker.table.clone(), &worker.settings).expect("HTTP client");
    let late = DispatchBounds { start_before: WallTime::from_millis(0), ..bounds(3, 5_000) };
    // The first request opens a connection, the others reuse an idle one.
    for (body, bounds) in [("body", late), ("kept", bounds(3, 5_000)), ("body", late), ("", late)] {
        let result = client.call(&w1(), &request(body), bounds).await;
        assert_eq!(result.is_ok(), body == "kept", "{result:?}");
    }
    assert_eq!(worker.backends.record_of(&w1()).expect("known worker").runs.len(), 1);
}

/// Guards against a refused connection that is reported as an unknown outcome, which would prevent a retry.
#[tokio::test]
async fn refused_connections_are_not_sent() {
    let free_address =
        TcpListener::bind("127.0.0.1:0").await.expect("port bound").local_addr().expect("local address");
    let table = WorkerTable::default();
    table.replace(BTreeMap::from([(w1(), WorkerAddress { backend: free_address, agent: free_address })]));
    let settings = PlatformSettings::new(free_address, free_address);
    let backend = HttpBackendServer::new(table.clone(), &settings).expect("HTTP client");
    assert_matches!(backend.call(&w1(), &request(""), bounds(1, 500)).await, Err(CallError::NotSent { .. }));
    let workers = HttpWorkers::new(table, &settings).expect("HTTP client");
    assert_matches!(workers.command(&w1(), WorkerCommand::Inventory).await, Err(CallError::NotSent { .. }));
    let hosts = HttpHostList::new(&settings).expect("HTTP client");
    assert_matches!(hosts.hosts().await, Err(CallError::NotSent { .. }));
}

/// Guards against commands whose result does not reach the product, and faults that cannot be set over HTTP.
#[tokio::test]
async fn commands_and_faults_work_over_http() {
    let worker = start_worker().await;
    let client = HttpWorkers::new(worker.table.clone(), &worker.settings).expect("HTTP client");
    let inventory = client.command(&w1(), WorkerCommand::Inventory).await.expect("inventory");
    assert_eq!(inventory, Inventory::default());
    let post = |faults: Faults| {
        reqwest::Client::new().post(format!("http://{}/faults", worker.address)).json(&faults).send()
    };
    let response = post(Faults { down: true, ..Faults::default() }).await.expect("answered");
    assert!(response.status().is_success());
    assert!(worker.workers.faults(&w1()).expect("known worker").get().down);
    assert_matches!(client.command(&w1(), WorkerCommand::Inventory).await, Err(CallError::Unknown { .. }));
    post(Faults::default()).await.expect("answered");
    client.command(&w1(), WorkerCommand::Inventory).await.expect("inventory");
    let record = reqwest::get(format!("http://{}/record", worker.address)).await.expect("answered");
    let record: serde_json::Value = record.json().await.expect("JSON");
    assert!(record["backend"]["most_connections"].as_u64().is_some_and(|most| most >= 1), "{record}");
    assert_eq!(record["worker"]["attempts"], serde_json::json!([]));
}

/// Guards against host names or states that are decoded differently from how they are encoded.
#[tokio::test]
async fn host_list_works_over_http() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("port bound");
    let address = listener.local_addr().expect("local address");
    tokio::spawn(serve::hosts(listener, Hosts::new(Duration::ZERO)));
    let states = serde_json::json!({"w1": "live", "w2": "leaving"});
    let response = reqwest::Client::new().post(format!("http://{address}/hosts")).json(&states).send().await;
    assert!(response.expect("answered").status().is_success());
    let client = HttpHostList::new(&PlatformSettings::new(address, address)).expect("HTTP client");
    let expected = BTreeMap::from([("w1".into(), HostState::Live), ("w2".into(), HostState::Leaving)]);
    assert_eq!(client.hosts().await.expect("list"), expected);
}

/// One odd entry made the whole list of hosts unreadable, so that draining hosts were no longer seen.
#[tokio::test]
async fn odd_host_leaves_the_others_listed() {
    let nested = "[".repeat(50_000) + &"]".repeat(50_000);
    let odd = ["\"resting\"", "7", "1e999999", "null", "{}", nested.as_str()];
    for odd in odd {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("port bound");
        let address = listener.local_addr().expect("local address");
        let body = format!(r#"{{"a":"live","odd":{odd},"w1":"leaving"}}"#);
        let route = warp::path!("hosts").map(move || body.clone());
        tokio::spawn(warp::serve(route).incoming(listener).run());
        let list = HttpHostList::new(&PlatformSettings::new(address, address)).expect("client built");
        let hosts = list.hosts().await.unwrap_or_else(|error| panic!("{odd:.20}: {error}"));
        let expected = [("a", HostState::Live), ("w1", HostState::Leaving)];
        let expected: BTreeMap<String, HostState> =
            expected.into_iter().map(|(name, state)| (name.to_owned(), state)).collect();
        assert_eq!(hosts, expected, "{odd:.20}");
    }
}
