//! Daemon: start errors, time limits of actions, graceful stop and abrupt end, with a fake host.

mod common;

use assert_matches::assert_matches;
use bytes::Bytes;
use reqwest::Client;
use yuccahoist::daemon::{Daemon, StartError};
use yuccahoist::dispatch::ForwardId;
use yuccahoist::event::{HostAction, HostEvent};
use yuccahoist::id::{Epoch, Incarnation, RequestId};
use yuccahoist::placement::WorkerCommand;
use yuccahoist::request::{Answer, Class, Outcome, Request};
use yuccahoist::systems::{CallError, DispatchBounds};
use yuccahoist::unit::{Timestamp, WallTime};

use self::common::{Puppet, Script, platform, settings};

fn request() -> Request {
    Request {
        id: RequestId::from_parts(WallTime::from_millis(1_790_000_000_000), [3; 10]),
        service: "drumline".parse().expect("service"),
        class: Class::Urgent,
        team: "day".parse().expect("team"),
        idempotent: true,
        deadline: Timestamp::MAX,
        body: Bytes::from_static(b"body"),
    }
}

fn dispatch(number: u64, until: Timestamp) -> HostAction {
    HostAction::Dispatch {
        forward: ForwardId { front: Incarnation(1), number },
        worker: "w1".parse().expect("worker"),
        request: request(),
        bounds: DispatchBounds {
            epoch: Epoch(1),
            start_before: WallTime::default(),
            run_limit: std::time::Duration::from_secs(1),
        },
        until,
    }
}

fn call(api: std::net::SocketAddr) -> reqwest::RequestBuilder {
    Client::new()
        .post(format!("http://{api}/v1/services/drumline"))
        .header("yuccahoist-request-id", request().id.to_string())
        .header("yuccahoist-class", "urgent")
        .header("yuccahoist-idempotent", "true")
        .header("yuccahoist-deadline-ms", "60000")
        .header("yuccahoist-team", "day")
}

/// Guards against a daemon that ends without saying which address is taken.
#[tokio::test]
async fn addresses_in_use_are_start_errors() {
    let taken = std::net::TcpListener::bind("127.0.0.1:0").expect("bound");
    let address = taken.local_addr().expect("address");
    for field in ["api", "peer"] {
        let mut settings = settings("a");
        match field {
            "api" => settings.listen.api = address,
            _ => settings.listen.peer = address,
        }
        let error = Daemon::bind(settings).expect_err("taken");
        assert_matches!(&error, StartError::Listen { field: named, .. } if *named == field);
        let text = error.to_string();
        assert!(text.starts_with(&format!("listen.json: {field} is {address}; allowed:")), "{text}");
    }
}

/// Guards against actions that are carried out after their time limit.
#[tokio::test]
async fn late_actions_are_not_sent() {
    let (mut puppet, machine) = Puppet::new();
    let _host = Daemon::start(settings("a"), machine, platform()).expect("started");
    puppet.act(dispatch(1, Timestamp::ZERO));
    let event = puppet.next().await;
    assert_matches!(event, HostEvent::Backend { result: Err(CallError::NotSent { .. }), .. });
    puppet.act(dispatch(2, Timestamp::MAX));
    assert_matches!(puppet.next().await, HostEvent::Backend { result: Ok(answer), .. } if answer.body == "body");
    puppet.act(HostAction::Command {
        worker: "w1".parse().expect("worker"),
        ticket: 9,
        command: WorkerCommand::Inventory,
        until: Timestamp::ZERO,
    });
    let event = puppet.next().await;
    assert_matches!(event, HostEvent::Worker { ticket: 9, result: Err(error), .. }
        if error.to_string().contains("time limit"));
}

/// Guards against a planned stop that interrupts a request, or that ends before the host has released its leases.
#[tokio::test]
async fn graceful_stop_finishes_requests() {
    for io_threads in [0, 2] {
        let (mut puppet, machine) = Puppet::new();
        let mut settings = settings("a");
        settings.host.io_threads = io_threads;
        let host = Daemon::start(settings, machine, platform()).expect("started");
        let api = host.api();
        let calling = tokio::spawn(call(api).body("x").send());
        let HostEvent::Call { call: open, request, .. } = puppet.next().await else { panic!("no call") };
        let stopping = tokio::spawn(host.stop());
        assert_matches!(puppet.next().await, HostEvent::Stop);
        let answer = Answer { status: 200, body: Bytes::from_static(b"done") };
        puppet.act(HostAction::Respond { call: open, id: request.id, outcome: Outcome::Answered(answer) });
        let response = calling.await.expect("no panic").expect("answered");
        assert_eq!(response.bytes().await.expect("body"), "done");
        assert!(!stopping.is_finished());
        puppet.act(HostAction::Stopped);
        stopping.await.expect("no panic");
        assert!(call(api).send().await.expect_err("refused").is_connect());
    }
}

/// Guards against tests of host failures that end the host in order.
#[tokio::test]
async fn kill_breaks_connections() {
    let (mut puppet, machine) = Puppet::new();
    let host = Daemon::start(settings("a"), machine, platform()).expect("started");
    let calling = tokio::spawn(call(host.api()).body("x").send());
    assert_matches!(puppet.next().await, HostEvent::Call { .. });
    host.kill();
    assert!(calling.await.expect("no panic").is_err());
    assert!(puppet.events.recv().await.is_none());
}

/// Guards against a host that keeps its addresses after its state machine has failed.
#[tokio::test]
async fn failed_state_machine_ends_the_host() {
    let machine = Script(|_, event, _: &mut Vec<HostAction>| {
        assert!(!matches!(event, HostEvent::Call { .. }), "failure of the fake");
    });
    let host = Daemon::start(settings("a"), Box::new(machine), platform()).expect("started");
    let api = host.api();
    // The connection breaks, or the answer says that the outcome is unknown.
    if let Ok(response) = call(api).body("x").send().await {
        assert_eq!(response.headers()["yuccahoist-outcome"], "unknown");
    }
    assert!(host.until_signal().await.is_err());
    assert!(call(api).send().await.expect_err("refused").is_connect());
}
