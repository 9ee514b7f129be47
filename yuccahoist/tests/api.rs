//! Callers' HTTP interface with a fake host.

mod common;

use std::time::Duration;

use assert_matches::assert_matches;
use reqwest::{Client, Method, Response};
use serde_json::{Value, json};
use yuccahoist::daemon::{Daemon, Running};
use yuccahoist::event::{HostAction, HostEvent, HostStatus, JobCall, JobReply};
use yuccahoist::id::Incarnation;
use yuccahoist::job::JobStatus;
use yuccahoist::request::{Answer, Doubt, Outcome, Refusal, Request};

use self::common::{Puppet, Script, platform, settings};

const ID: &str = "0199a3c2-5c00-7000-8000-0123456789ab";

/// Outcome that the fake host gives, by the name of the service.
fn outcome(request: &Request) -> Outcome {
    let retry = Duration::from_millis(1_500);
    let not_run = match request.service.as_str() {
        "echo" => return Outcome::Answered(Answer { status: 200, body: request.body.clone() }),
        "teapot" => return Outcome::Answered(Answer { status: 418, body: "short".into() }),
        "late-dispatched" => return Outcome::Unknown(Doubt::DeadlineAfterDispatch),
        "broken" => return Outcome::Unknown(Doubt::BackendLost),
        "owner-lost" => return Outcome::Unknown(Doubt::OwnerLost),
        "duplicate" => return Outcome::Unknown(Doubt::Duplicate),
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
    Outcome::NotRun(not_run)
}

fn job_reply(call: JobCall) -> JobReply {
    let (job, accepted) = match call {
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
        _ if accepted => JobReply::Accepted(status),
        _ => JobReply::Status(status),
    }
}

fn fake() -> Running {
    let machine = Script(|_, event, out: &mut Vec<HostAction>| match event {
        HostEvent::Call { call, request, .. } => {
            out.push(HostAction::Respond { call, id: request.id, outcome: outcome(&request) });
        }
        HostEvent::JobCall { call, body } => {
            out.push(HostAction::JobReply { call, reply: job_reply(body) });
        }
        HostEvent::StatusCall { call } => {
            let status = HostStatus {
                host: "a".parse().expect("host"),
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
    Daemon::start(settings("a"), Box::new(machine), platform()).expect("started")
}

fn call(host: &Running, service: &str) -> reqwest::RequestBuilder {
    Client::new()
        .post(format!("http://{}/v1/services/{service}", host.api()))
        .header("yuccahoist-request-id", ID)
        .header("yuccahoist-class", "urgent")
        .header("yuccahoist-idempotent", "true")
        .header("yuccahoist-deadline-ms", "60000")
        .header("yuccahoist-team", "day")
        .body("body")
}

fn header<'a>(response: &'a Response, name: &str) -> Option<&'a str> {
    response.headers().get(name)?.to_str().ok()
}

/// Guards against a status, outcome or retry time that differs from docs/callers.md.
#[tokio::test]
async fn outcomes_have_their_status() {
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
    let host = fake();
    for case in cases {
        let response = call(&host, case.service).send().await.expect("answered");
        assert_eq!(response.status().as_u16(), case.status, "{}", case.service);
        assert_eq!(header(&response, "yuccahoist-outcome"), Some(case.outcome), "{}", case.service);
        assert_eq!(header(&response, "retry-after"), case.retry, "{}", case.service);
    }
    let echoed = call(&host, "echo").send().await.expect("answered").bytes().await.expect("body");
    assert_eq!(echoed, "body");
}

/// Guards against a request that is taken with a header that means something else than its caller thinks.
#[tokio::test]
async fn bad_requests_name_every_error() {
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
    let host = fake();
    for case in cases {
        let mut request = call(&host, case.service).build().expect("request");
        for (name, value) in case.headers {
            request.headers_mut().insert(*name, value.parse().expect("value"));
        }
        let response = Client::new().execute(request).await.expect("answered");
        assert_eq!(response.status().as_u16(), 400);
        assert_eq!(header(&response, "yuccahoist-outcome"), Some("not-run"));
        let errors = errors(response).await;
        let fields: Vec<&str> = errors.iter().filter_map(|error| error["field"].as_str()).collect();
        assert_eq!(fields, case.fields);
        for (name, value) in case.headers {
            let error = errors.iter().find(|error| error["field"] == **name).expect("named");
            assert_eq!(error["value"], **value);
            assert!(error["allowed"].as_str().is_some_and(|allowed| !allowed.is_empty()));
        }
    }
}

async fn errors(response: Response) -> Vec<Value> {
    let body = response.bytes().await.expect("body");
    let body: Value = serde_json::from_slice(&body).expect("JSON");
    body["errors"].as_array().expect("errors").clone()
}

/// Guards against missing headers that are taken as defaults, and headers given twice.
#[tokio::test]
async fn missing_and_repeated_headers_are_errors() {
    let host = fake();
    let url = format!("http://{}/v1/services/echo", host.api());
    let errors_of_none = errors(Client::new().post(url).send().await.expect("answered")).await;
    assert_eq!(errors_of_none.len(), 5);
    assert!(errors_of_none.iter().all(|error| error["value"] == "missing"));
    let repeated = call(&host, "echo").header("yuccahoist-class", "batch");
    let repeated = errors(repeated.send().await.expect("answered")).await;
    assert_eq!(repeated[0]["value"], "given more than once");
}

/// Guards against bodies that use up memory.
#[tokio::test]
async fn bodies_have_a_limit() {
    let host = fake();
    let chunked = || {
        reqwest::Body::wrap_stream(futures::stream::iter([0; 3].map(|_| Ok::<_, String>("x".repeat(500)))))
    };
    let cases =
        [(reqwest::Body::from("x".repeat(1_001)), 413), (chunked(), 413), ("x".repeat(1_000).into(), 200)];
    for (body, status) in cases {
        let response = call(&host, "echo").body(body).send().await.expect("answered");
        assert_eq!(response.status().as_u16(), status);
        assert!(header(&response, "yuccahoist-outcome").is_some());
    }
}

/// Guards against unknown paths and methods that are answered without an outcome.
#[tokio::test]
async fn unknown_paths_and_methods_are_not_run() {
    let host = fake();
    for (method, path, status) in [(Method::GET, "v1/services/echo", 405), (Method::POST, "v2", 404)] {
        let url = format!("http://{}/{path}", host.api());
        let response = Client::new().request(method, url).send().await.expect("answered");
        assert_eq!(response.status().as_u16(), status);
        assert_eq!(header(&response, "yuccahoist-outcome"), Some("not-run"));
    }
}

/// Guards against job replies whose status differs from docs/callers.md.
#[tokio::test]
async fn job_calls_have_their_status() {
    let spec = |id: &str| {
        json!({"id": id, "kind": "batch", "team": "day", "priority": 3, "tasks": 2,
            "resources": {"cpu_millis": 500, "memory_mib": 64}})
    };
    let host = fake();
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
        let response = request.send().await.expect("answered");
        assert_eq!(response.status().as_u16(), status, "{name}");
        assert_eq!(header(&response, "retry-after").is_some(), status == 503, "{name}");
    }
}

/// Guards against a status that operators cannot read.
#[tokio::test]
async fn status_and_ready_are_answered() {
    let host = fake();
    let get = |path: &str| Client::new().get(format!("http://{}/v1/{path}", host.api())).send();
    let status = get("status").await.expect("answered").bytes().await.expect("body");
    let status: HostStatus = serde_json::from_slice(&status).expect("status");
    assert_eq!(status.incarnation, Incarnation(7));
    assert_eq!(get("ready").await.expect("answered").status().as_u16(), 200);
}

/// Guards against work for callers that have gone.
#[tokio::test]
async fn closed_connections_become_hangups() {
    let (mut puppet, machine) = Puppet::new();
    let host = Daemon::start(settings("a"), machine, platform()).expect("started");
    let calling = tokio::spawn(call(&host, "echo").send());
    let HostEvent::Call { call, .. } = puppet.next().await else { panic!("no call") };
    calling.abort();
    assert_matches!(puppet.next().await, HostEvent::Hangup { call: closed } if closed == call);
}
