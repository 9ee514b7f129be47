//! Daemon with a fake state machine: start errors, time limits of actions, graceful stop and kill.

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

use self::common::{ClosureMachine, ScriptedHost, platform, settings};

fn request() -> Request {
    Request {
        id: RequestId::from_parts(WallTime::from_millis(1_790_000_000_000), [3; 10]),
        service: "drumline".parse().expect("service id is valid"),
        class: Class::Urgent,
        team: "day".parse().expect("team id is valid"),
        idempotent: true,
        deadline: Timestamp::MAX,
        body: Bytes::from_static(b"body"),
    }
}

fn dispatch(number: u64, until: Timestamp) -> HostAction {
    HostAction::Dispatch {
        forward: ForwardId { front: Incarnation(1), number },
        worker: "w1".parse().expect("worker id is valid"),
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

/// Guards against a start error that does not name the field and the address in use.
#[tokio::test]
async fn addresses_in_use_are_start_errors() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("listener is bound");
    let address = listener.local_addr().expect("listener has an address");
    for field in ["api", "peer"] {
        let mut settings = settings("a");
        match field {
            "api" => settings.listen.api = address,
            _ => settings.listen.peer = address,
        }
        let error = Daemon::bind(settings).expect_err("address is in use");
        assert_matches!(&error, StartError::Listen { field: found, .. } if *found == field);
        let text = error.to_string();
        assert!(text.starts_with(&format!("listen.json: {field} is {address}; allowed:")), "{text}");
    }
}

/// Guards against requests and worker commands that are sent after their time limit.
#[tokio::test]
async fn late_actions_are_not_sent() {
    let (mut scripted, machine) = ScriptedHost::new();
    let _host = Daemon::start(settings("a"), machine, platform()).expect("host starts");
    scripted.queue_action(dispatch(1, Timestamp::ZERO));
    let event = scripted.next_event().await;
    assert_matches!(event, HostEvent::BackendResult { result: Err(CallError::NotSent { .. }), .. });
    scripted.queue_action(dispatch(2, Timestamp::MAX));
    assert_matches!(scripted.next_event().await, HostEvent::BackendResult { result: Ok(answer), .. } if answer.body == "body");
    scripted.queue_action(HostAction::Command {
        worker: "w1".parse().expect("worker id is valid"),
        ticket: 9,
        command: WorkerCommand::Inventory,
        until: Timestamp::ZERO,
    });
    let event = scripted.next_event().await;
    assert_matches!(event, HostEvent::CommandResult { ticket: 9, result: Err(error), .. }
        if error.to_string().contains("time limit"));
}

/// Guards against a graceful stop that interrupts a request, or that ends before the host has released its leases.
#[tokio::test]
async fn graceful_stop_finishes_requests() {
    for io_threads in [0, 2] {
        let (mut scripted, machine) = ScriptedHost::new();
        let mut settings = settings("a");
        settings.host.io_threads = io_threads;
        let host = Daemon::start(settings, machine, platform()).expect("host starts");
        let api = host.api();
        let calling = tokio::spawn(call(api).body("x").send());
        let HostEvent::Call { call: open, request, .. } = scripted.next_event().await else {
            panic!("event is not a call")
        };
        let stopping = tokio::spawn(host.stop());
        assert_matches!(scripted.next_event().await, HostEvent::Stop);
        let answer = Answer { status: 200, body: Bytes::from_static(b"done") };
        scripted.queue_action(HostAction::Respond {
            call: open,
            id: request.id,
            outcome: Outcome::Answered(answer),
        });
        let response = calling.await.expect("caller task succeeds").expect("host responds");
        assert_eq!(response.bytes().await.expect("response has a body"), "done");
        assert!(!stopping.is_finished());
        scripted.queue_action(HostAction::Stopped);
        stopping.await.expect("stop task succeeds");
        assert!(call(api).send().await.expect_err("connection is refused").is_connect());
    }
}

/// Guards against a kill that stops the host gracefully, which tests of host failures rely on.
#[tokio::test]
async fn kill_breaks_connections() {
    let (mut scripted, machine) = ScriptedHost::new();
    let host = Daemon::start(settings("a"), machine, platform()).expect("host starts");
    let calling = tokio::spawn(call(host.api()).body("x").send());
    assert_matches!(scripted.next_event().await, HostEvent::Call { .. });
    host.kill();
    assert!(calling.await.expect("caller task succeeds").is_err());
    assert!(scripted.events.recv().await.is_none());
}

/// Guards against a host that keeps its addresses after its state machine has panicked.
#[tokio::test]
async fn failed_state_machine_ends_the_host() {
    let machine = ClosureMachine(|_, event, _: &mut Vec<HostAction>| {
        assert!(!matches!(event, HostEvent::Call { .. }), "intended panic of the fake state machine");
    });
    let host = Daemon::start(settings("a"), Box::new(machine), platform()).expect("host starts");
    let api = host.api();
    // The connection breaks, or the response says that the outcome is unknown.
    if let Ok(response) = call(api).body("x").send().await {
        assert_eq!(response.headers()["yuccahoist-outcome"], "unknown");
    }
    assert!(host.until_signal().await.is_err());
    assert!(call(api).send().await.expect_err("connection is refused").is_connect());
}
