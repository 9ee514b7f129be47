//! Errors that operators and callers see.

use std::time::Duration;

use crate::harness::{Call, Cell, Program, run};

/// Guards against starts, settings and requests that fail without a clear reason.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn errors_name_their_cause() {
    let cell = Cell::start(1, 1).await;
    let settings = cell.settings(0).to_str().expect("path is UTF-8");
    let second = run(Program::Daemon, &["--settings", settings]).await;
    assert_eq!(second.code, Some(1), "{}", second.output);
    let line = format!("listen.json: api is {}", cell.api(0));
    assert!(second.output.contains(&line), "{}", second.output);

    let wrong = tempfile::tempdir().expect("temporary directory is made");
    std::fs::write(wrong.path().join("host.json"), r#"{"name": "a b", "zone": "z", "sit": "s"}"#)
        .expect("settings are written");
    std::fs::write(wrong.path().join("listen.json"), "not JSON").expect("settings are written");
    let wrong = run(Program::Daemon, &["--settings", wrong.path().to_str().expect("path is UTF-8")]).await;
    assert_eq!(wrong.code, Some(1), "{}", wrong.output);
    let parts =
        ["host.json: name", "host.json: site", "host.json: sit ", "listen.json: file", "platform.json: file"];
    for part in parts {
        assert!(wrong.output.contains(part), "{part:?} is missing in {}", wrong.output);
    }
    let usage = run(Program::Operator, &["publish", "--log", "nowhere"]).await;
    assert_eq!(usage.code, Some(2), "{}", usage.output);

    let good = Call::new(true, Duration::ZERO);
    let bad = Call { id: "1".into(), class: "fast", deadline: 0, ..good.clone() };
    let bad = cell.caller.send(cell.api(0), &bad).await.result.expect("host answers");
    assert_eq!((bad.status, bad.outcome.as_str()), (400, "not-run"));
    for field in ["yuccahoist-request-id", "yuccahoist-class", "yuccahoist-deadline-ms"] {
        assert!(bad.body.contains(field), "{field} is missing in {}", bad.body);
    }
    let large = Call { body: "x".repeat(2 << 20), ..good.clone() };
    let large = cell.caller.send(cell.api(0), &large).await;
    let reply = large.result.as_ref().expect("host answers before it has read the whole body");
    assert_eq!((reply.status, reply.outcome.as_str()), (413, "not-run"), "{}", reply.body);
    assert!(reply.body.contains("body"), "{}", reply.body);
    let good = cell.caller.send(cell.api(0), &good).await;
    assert!(good.is("answered"), "{good:?}");
}
