//! Error messages to operators and callers.

use std::time::Duration;

use crate::harness::{Call, Cell, Program, run};

/// Guards against failed starts, settings and requests whose error does not name the cause: a port in use, each invalid
/// field, each invalid header and a body above the limit.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn errors_name_their_cause() {
    let cell = Cell::start(1, 1).await;
    let settings = cell.settings_directory(0).to_str().expect("path is UTF-8");
    let second_daemon = run(Program::Daemon, &["--settings", settings]).await;
    assert_eq!(second_daemon.code, Some(1), "{}", second_daemon.output);
    let line = format!("listen.json: api is {}", cell.caller_address(0));
    assert!(second_daemon.output.contains(&line), "{}", second_daemon.output);

    let directory = tempfile::tempdir().expect("temporary directory is created");
    std::fs::write(directory.path().join("host.json"), r#"{"name": "a b", "zone": "z", "sit": "s"}"#)
        .expect("settings are written");
    std::fs::write(directory.path().join("listen.json"), "not JSON").expect("settings are written");
    let invalid =
        run(Program::Daemon, &["--settings", directory.path().to_str().expect("path is UTF-8")]).await;
    assert_eq!(invalid.code, Some(1), "{}", invalid.output);
    let parts =
        ["host.json: name", "host.json: site", "host.json: sit ", "listen.json: file", "platform.json: file"];
    for part in parts {
        assert!(invalid.output.contains(part), "{part:?} is missing in {}", invalid.output);
    }
    let usage = run(Program::Operator, &["publish", "--log", "nowhere"]).await;
    assert_eq!(usage.code, Some(2), "{}", usage.output);

    let valid = Call::new(true, Duration::ZERO);
    let invalid_call = Call { id: "1".into(), class: "fast", deadline: 0, ..valid.clone() };
    let rejection =
        cell.caller.send(cell.caller_address(0), &invalid_call).await.result.expect("host answers");
    assert_eq!((rejection.status, rejection.outcome.as_str()), (400, "not-run"));
    for field in ["yuccahoist-request-id", "yuccahoist-class", "yuccahoist-deadline-ms"] {
        assert!(rejection.body.contains(field), "{field} is missing in {}", rejection.body);
    }
    let large = Call { body: "x".repeat(2 << 20), ..valid.clone() };
    let large = cell.caller.send(cell.caller_address(0), &large).await;
    let reply = large.result.as_ref().expect("host answers before it has read the whole body");
    assert_eq!((reply.status, reply.outcome.as_str()), (413, "not-run"), "{}", reply.body);
    assert!(reply.body.contains("body"), "{}", reply.body);
    let answer = cell.caller.send(cell.caller_address(0), &valid).await;
    assert!(answer.has_outcome("answered"), "{answer:?}");
}
