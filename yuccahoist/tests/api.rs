//! HTTP interface for callers, served by a fake host.

mod common;

use std::time::Duration;

use assert_matches::assert_matches;
use reqwest::{Client, Method, Response};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use yuccahoist::daemon::{Daemon, RunningHost};
use yuccahoist::event::{HostAction, HostEvent, HostStatus, JobCall, JobReply};
use yuccahoist::id::Incarnation;
use yuccahoist::job::JobStatus;
use yuccahoist::request::{Answer, Outcome, Refusal, Request, UnknownReason};

use self::common::{ClosureMachine, ScriptedHost, platform, settings};

const REQUEST_ID: &str = "0199a3c2-5c00-7000-8000-0123456789ab";

/// Returns the outcome that the fake host gives to a call of the named service.
fn outcome_for(request: &Request) -> Outcome {
    let retry = Duration::from_millis(1_500);
    let refusal = match request.service.as_str() {
        "echo" => return Outcome::Answered(Answer { status: 200, body: request.body.clone() }),
        "teapot" => return Outcome::Answered(Answer { status: 418, body: "short".into() }),
        "late-dispatched" => return Outcome::Unknown(UnknownReason::DeadlineAfterDispatch),
        "broken" => return Outcome::Unknown(UnknownReason::BackendLost),
        "owner-lost" => return Outcome::Unknown(UnknownReason::OwnerLost),
        "duplicate" => return Outcome::Unknown(UnknownReason::Duplicate),
        "overloaded" => Refusal::Overloaded { retry },
        "team-limit" => Refusal::TeamLimit { retry },
        "intents" => Refusal::IntentBudget { retry },
        "expired" => Refusal::Expired,
        "old" => Refusal::IdTooOld,
        "future" => Refusal::IdInFuture,
        "reused" => Refusal::IdReused,
        "log" => Refusal::LogUnavailable,
        "owner" => Refusal::NoOwner,
        "moved" => Refusal::NotOwner,
        "unknown-team" => Refusal::UnknownTeam,
        "stopping" => Refusal::Stopping,
        "not-ready" => Refusal::NotReady,
        _ => Refusal::UnknownService,
    };
    Outcome::NotRun(refusal)
}

fn job_reply_for(call: JobCall) -> JobReply {
    let (job, is_accepted) = match call {
        JobCall::Submit(spec) => (spec.id, true),
        JobCall::Cancel(job) => (job, true),
        JobCall::Status(job) => (job, false),
    };
    let status = JobStatus {
        job: job.clone(),
        state: "waiting".into(),
        reason: Some("quota".into()),
        running: 0,
        done: 0,
        tasks: 1,
        placed: Default::default(),
    };
    match job.as_str() {
        "conflict" => JobReply::Conflict,
        "missing" => JobReply::NotFound,
        "invalid" => JobReply::Invalid(vec!["tasks is 0".into(), "team is \"x\"".into()]),
        "log" => JobReply::Unavailable,
        _ if is_accepted => JobReply::Accepted(status),
        _ => JobReply::Status(status),
    }
}

fn start_fake_host() -> RunningHost {
    let machine = ClosureMachine(|_, event, out: &mut Vec<HostAction>| match event {
        HostEvent::Call { call, request, .. } => {
            out.push(HostAction::Respond { call, id: request.id, outcome: outcome_for(&request) });
        }
        HostEvent::JobCall { call, body } => {
            out.push(HostAction::JobReply { call, reply: job_reply_for(body) });
        }
        HostEvent::StatusCall { call } => {
            let status = HostStatus {
                host: "a".parse().expect("invalid host name"),
                incarnation: Incarnation(7),
                ready: true,
                log: true,
                hosts: Vec::new(),
                owned: Vec::new(),
            };
            out.push(HostAction::StatusReply { call, status: Box::new(status) });
        }
        _ => {}
    });
    Daemon::start(settings("a"), Box::new(machine), platform()).expect("host failed to start")
}

/// Builds a valid call of a service.
fn service_call(host: &RunningHost, service: &str) -> reqwest::RequestBuilder {
    Client::new()
        .post(format!("http://{}/v1/services/{service}", host.api()))
        .header("yuccahoist-request-id", REQUEST_ID)
        .header("yuccahoist-class", "urgent")
        .header("yuccahoist-idempotent", "true")
        .header("yuccahoist-deadline-ms", "60000")
        .header("yuccahoist-team", "day")
        .body("body")
}

fn header_value<'a>(response: &'a Response, name: &str) -> Option<&'a str> {
    response.headers().get(name)?.to_str().ok()
}

/// Guards against a status, outcome or retry delay that differs from docs/callers.md.
#[tokio::test]
async fn outcomes_map_to_documented_responses() {
    struct Case {
        service: &'static str,
        status: u16,
        outcome: &'static str,
        retry: Option<&'static str>,
    }
    let case = |service, status, outcome, retry| Case { service, status, outcome, retry };
    let cases = [
        case("echo", 200, "answered", None),
        case("teapot", 418, "answered", None),
        case("overloaded", 429, "not-run", Some("2")),
        case("team-limit", 429, "not-run", Some("2")),
        case("intents", 429, "not-run", Some("2")),
        case("expired", 504, "not-run", None),
        case("old", 410, "not-run", None),
        case("future", 400, "not-run", None),
        case("reused", 409, "not-run", None),
        case("log", 503, "not-run", Some("1")),
        case("owner", 503, "not-run", Some("1")),
        case("moved", 503, "not-run", Some("1")),
        case("stopping", 503, "not-run", Some("1")),
        case("not-ready", 503, "not-run", Some("1")),
        case("unknown-service", 400, "not-run", None),
        case("unknown-team", 400, "not-run", None),
        case("late-dispatched", 504, "unknown", None),
        case("broken", 502, "unknown", None),
        case("owner-lost", 502, "unknown", None),
        case("duplicate", 409, "unknown", None),
    ];
    let host = start_fake_host();
    for case in cases {
        let response = service_call(&host, case.service).send().await.expect("no response");
        assert_eq!(response.status().as_u16(), case.status, "{}", case.service);
        assert_eq!(header_value(&response, "yuccahoist-outcome"), Some(case.outcome), "{}", case.service);
        assert_eq!(header_value(&response, "retry-after"), case.retry, "{}", case.service);
    }
    let echoed =
        service_call(&host, "echo").send().await.expect("no response").bytes().await.expect("no body");
    assert_eq!(echoed, "body");
}

/// Guards against invalid headers that are accepted and interpreted differently from what the caller meant.
#[tokio::test]
async fn invalid_requests_list_every_error() {
    struct Case {
        service: &'static str,
        headers: &'static [(&'static str, &'static str)],
        fields: &'static [&'static str],
    }
    let cases = [
        Case { service: "echo", headers: &[("yuccahoist-class", "fast")], fields: &["yuccahoist-class"] },
        Case {
            service: "echo",
            headers: &[("yuccahoist-request-id", "c2d29867-3d0b-4497-9191-18a9d8ee7830")],
            fields: &["yuccahoist-request-id"],
        },
        Case {
            service: "echo",
            headers: &[("yuccahoist-idempotent", "yes"), ("yuccahoist-deadline-ms", "0")],
            fields: &["yuccahoist-idempotent", "yuccahoist-deadline-ms"],
        },
        Case {
            service: "echo",
            headers: &[("yuccahoist-deadline-ms", "86400001")],
            fields: &["yuccahoist-deadline-ms"],
        },
        Case { service: "a%20b", headers: &[], fields: &["service"] },
        Case { service: "echo", headers: &[("yuccahoist-team", "a/b")], fields: &["yuccahoist-team"] },
    ];
    let host = start_fake_host();
    for case in cases {
        let mut request = service_call(&host, case.service).build().expect("invalid request");
        for (name, value) in case.headers {
            request.headers_mut().insert(*name, value.parse().expect("invalid header value"));
        }
        let response = Client::new().execute(request).await.expect("no response");
        assert_eq!(response.status().as_u16(), 400);
        assert_eq!(header_value(&response, "yuccahoist-outcome"), Some("not-run"));
        let errors = response_errors(response).await;
        let fields: Vec<&str> = errors.iter().filter_map(|error| error["field"].as_str()).collect();
        assert_eq!(fields, case.fields);
        for (name, value) in case.headers {
            let error =
                errors.iter().find(|error| error["field"] == **name).expect("header missing from the errors");
            assert_eq!(error["value"], **value);
            assert!(error["allowed"].as_str().is_some_and(|allowed| !allowed.is_empty()));
        }
    }
}

async fn response_errors(response: Response) -> Vec<Value> {
    let body = response.bytes().await.expect("no body");
    let body: Value = serde_json::from_slice(&body).expect("body is not JSON");
    body["errors"].as_array().expect("`errors` is not a list").clone()
}

/// Guards against a default in place of a missing header, and against using one of several values of a header.
#[tokio::test]
async fn missing_and_repeated_headers_are_rejected() {
    let host = start_fake_host();
    let url = format!("http://{}/v1/services/echo", host.api());
    let missing = response_errors(Client::new().post(url).send().await.expect("no response")).await;
    assert_eq!(missing.len(), 5);
    assert!(missing.iter().all(|error| error["value"] == "missing"));
    let repeated = service_call(&host, "echo").header("yuccahoist-class", "batch");
    let repeated = response_errors(repeated.send().await.expect("no response")).await;
    assert_eq!(repeated[0]["value"], "given more than once");
}

/// Guards against memory exhaustion by large bodies, with and without a declared length.
#[tokio::test]
async fn oversized_bodies_are_rejected() {
    let host = start_fake_host();
    let chunked = || {
        reqwest::Body::wrap_stream(futures::stream::iter([0; 3].map(|_| Ok::<_, String>("x".repeat(500)))))
    };
    let cases =
        [(reqwest::Body::from("x".repeat(1_001)), 413), (chunked(), 413), ("x".repeat(1_000).into(), 200)];
    for (body, status) in cases {
        let response = service_call(&host, "echo").body(body).send().await.expect("no response");
        assert_eq!(response.status().as_u16(), status);
        assert!(header_value(&response, "yuccahoist-outcome").is_some());
    }
}

/// Guards against a refusal that is lost: a connection closed with unread bytes is reset, and a caller that writes its whole
/// body before it reads got a broken pipe instead of the status.
#[tokio::test]
async fn callers_that_write_first_read_the_refusal() {
    struct Case {
        path: &'static str,
        has_length: bool,
        status: u16,
    }
    let host = start_fake_host();
    let cases = [
        Case { path: "v1/services/echo", has_length: true, status: 413 },
        // Refused for its missing headers, before the body is read.
        Case { path: "v1/services/echo", has_length: false, status: 400 },
        Case { path: "v1/jobs", has_length: true, status: 413 },
        Case { path: "v1/jobs", has_length: false, status: 413 },
    ];
    const CHUNK: usize = 64 << 10;
    for case in cases {
        for _ in 0..10 {
            let mut stream = TcpStream::connect(host.api()).await.expect("host listens");
            let size = 64 * CHUNK;
            let framing = if case.has_length {
                format!("content-length: {size}")
            } else {
                "transfer-encoding: chunked".to_owned()
            };
            let head =
                format!("POST /{} HTTP/1.1\r\nhost: h\r\nconnection: close\r\n{framing}\r\n\r\n", case.path);
            stream.write_all(head.as_bytes()).await.expect("head is sent");
            for _ in 0..size / CHUNK {
                if !case.has_length {
                    stream.write_all(format!("{CHUNK:x}\r\n").as_bytes()).await.expect("body is sent");
                }
                stream.write_all(&[b'x'; CHUNK]).await.expect("body is sent");
                if !case.has_length {
                    stream.write_all(b"\r\n").await.expect("body is sent");
                }
                tokio::task::yield_now().await;
            }
            if !case.has_length {
                stream.write_all(b"0\r\n\r\n").await.expect("body is sent");
            }
            let mut answer = Vec::new();
            stream.read_to_end(&mut answer).await.expect("answer is read");
            let answer = String::from_utf8_lossy(&answer);
            assert!(answer.starts_with(&format!("HTTP/1.1 {}", case.status)), "{}: {answer}", case.path);
        }
    }
}

/// Guards against responses to unknown paths and methods without the outcome `not-run`.
#[tokio::test]
async fn unknown_paths_and_methods_have_outcome_not_run() {
    let host = start_fake_host();
    for (method, path, status) in [(Method::GET, "v1/services/echo", 405), (Method::POST, "v2", 404)] {
        let url = format!("http://{}/{path}", host.api());
        let response = Client::new().request(method, url).send().await.expect("no response");
        assert_eq!(response.status().as_u16(), status);
        assert_eq!(header_value(&response, "yuccahoist-outcome"), Some("not-run"));
    }
}

/// Guards against a response to a job call whose status differs from docs/callers.md.
#[tokio::test]
async fn job_replies_map_to_documented_status() {
    let spec = |id: &str| {
        json!({"id": id, "kind": "batch", "team": "day", "priority": 3, "tasks": 2,
            "resources": {"cpu_millis": 500, "memory_mib": 64}})
    };
    let host = start_fake_host();
    let url = format!("http://{}/v1/jobs", host.api());
    let cases = [
        (Method::POST, "", Some(spec("night")), 202),
        (Method::POST, "", Some(spec("conflict")), 409),
        (Method::POST, "", Some(spec("invalid")), 400),
        (Method::POST, "", Some(spec("log")), 503),
        (Method::POST, "", Some(json!({"id": "x", "colour": 1})), 400),
        (Method::GET, "/night", None, 200),
        (Method::GET, "/missing", None, 404),
        (Method::GET, "/a%20b", None, 400),
        (Method::DELETE, "/night", None, 202),
        (Method::DELETE, "/missing", None, 404),
    ];
    for (method, path, body, status) in cases {
        let name = format!("{method} {path} {body:?}");
        let mut request = Client::new().request(method, format!("{url}{path}"));
        if let Some(body) = body {
            request = request.json(&body);
        }
        let response = request.send().await.expect("no response");
        assert_eq!(response.status().as_u16(), status, "{name}");
        assert_eq!(header_value(&response, "retry-after").is_some(), status == 503, "{name}");
    }
}

/// Guards against a status body that cannot be parsed, and a ready host that reports otherwise.
#[tokio::test]
async fn status_and_readiness_are_reported() {
    let host = start_fake_host();
    let get = |path: &str| Client::new().get(format!("http://{}/v1/{path}", host.api())).send();
    let status = get("status").await.expect("no response").bytes().await.expect("no body");
    let status: HostStatus = serde_json::from_slice(&status).expect("body is not a host status");
    assert_eq!(status.incarnation, Incarnation(7));
    assert_eq!(get("ready").await.expect("no response").status().as_u16(), 200);
}

/// Guards against continued work on a call whose caller has disconnected.
#[tokio::test]
async fn caller_disconnects_are_reported() {
    let (mut scripted, machine) = ScriptedHost::new();
    let host = Daemon::start(settings("a"), machine, platform()).expect("host failed to start");
    let response_task = tokio::spawn(service_call(&host, "echo").send());
    let HostEvent::Call { call, .. } = scripted.next_event().await else {
        panic!("first event is not a call")
    };
    response_task.abort();
    assert_matches!(scripted.next_event().await, HostEvent::CallerDisconnected { call: closed } if closed == call);
}
