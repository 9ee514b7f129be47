//! Configuration commands: output and exit code of each class of result.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::time::Duration;

use serde_json::{Value, json};
use tokio::task::JoinHandle;
use warp::Filter;
use yuccahoist::config::{ConfigFold, ConfigRecord, Verdict};
use yuccahoist::id::{Incarnation, Offset, Sequence};
use yuccahoist::stream::{Envelope, Fold, StreamName, encode};
use yuccahoist::systems::LogService;
use yuccahoist_standins::log::{LogFaults, LogServer, MemoryLog};

const STREAM: StreamName = StreamName::Config;

fn example() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../examples/ishikari-yard")
}

/// Directory of a test in the build directory, emptied.
fn scratch(test: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(test);
    let _ = std::fs::remove_dir_all(&path);
    std::fs::create_dir_all(&path).expect("writable");
    path
}

fn write(path: &Path, content: &Value) -> String {
    std::fs::write(path, content.to_string()).expect("writable");
    path.to_str().expect("UTF-8").into()
}

fn base() -> Value {
    let text = std::fs::read_to_string(example().join("base.json")).expect("example");
    serde_json::from_str(&text).expect("JSON")
}

/// Result of a command.
struct Ran {
    code: Option<i32>,
    out: String,
    err: String,
}

async fn run(args: &[&str]) -> Ran {
    let args: Vec<String> = args.iter().map(ToString::to_string).collect();
    let command = move || Command::new(env!("CARGO_BIN_EXE_yuccahoist")).args(args).output();
    let output: Output = tokio::task::spawn_blocking(command).await.expect("no panic").expect("runs");
    Ran {
        code: output.status.code(),
        out: String::from_utf8(output.stdout).expect("UTF-8"),
        err: String::from_utf8(output.stderr).expect("UTF-8"),
    }
}

/// Log over HTTP, and a reader that decides every edit as a host does.
struct Cell {
    memory: MemoryLog,
    server: LogServer,
    judge: JoinHandle<()>,
}

impl Drop for Cell {
    fn drop(&mut self) {
        self.judge.abort();
    }
}

impl Cell {
    async fn start() -> Self {
        let memory = MemoryLog::new();
        let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = LogServer::bind(loopback, memory.clone()).await.expect("free port");
        let judge = tokio::spawn(judge(memory.clone()));
        Self { memory, server, judge }
    }

    fn log(&self) -> String {
        self.server.address().to_string()
    }

    async fn publish(&self, document: &str, based_on: &str, rest: &[&str]) -> Ran {
        let log = self.log();
        let args =
            ["publish", "--log", &log, "--document", document, "--based-on", based_on, "--author", "a"];
        run(&[&args, rest].concat()).await
    }

    async fn publish_base(&self) {
        let file = example().join("base.json");
        let ran = self.publish("base", "0", &[file.to_str().expect("UTF-8")]).await;
        assert_eq!(ran.code, Some(0), "{}", ran.err);
        assert_eq!(ran.out, "accepted: revision 1, edit at offset 0, verdict at offset 1\n");
    }
}

async fn judge(log: MemoryLog) {
    let mut fold = ConfigFold::default();
    let mut next = Offset(0);
    let mut seq = 0;
    loop {
        let Ok(batch) = log.read(STREAM, next, Duration::from_secs(1)).await else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        for (offset, text) in batch.records {
            next = Offset(offset.0 + 1);
            let envelope: Envelope<ConfigRecord> = serde_json::from_slice(&text).expect("record");
            fold.apply(offset, envelope.producer, envelope.body, &mut Vec::new());
        }
        let open: Vec<Offset> = fold.open().keys().copied().collect();
        for verdict in open.into_iter().filter_map(|edit| fold.judge(edit)) {
            seq += 1;
            append(&log, seq, ConfigRecord::Verdict(verdict)).await;
        }
    }
}

async fn append(log: &MemoryLog, seq: u64, body: ConfigRecord) {
    let envelope = Envelope { producer: Incarnation(7), seq: Sequence(seq), body };
    // A lost answer is of no interest: duplicates of a verdict change nothing.
    let _ = log.append(STREAM, encode(&envelope).expect("JSON")).await;
}

/// Guards against documents that pass here and are rejected later, and against wrong exit codes.
#[tokio::test]
async fn check_lists_all_errors() {
    let directory = scratch("check");
    let mut bad = base();
    bad["limits"]["retry_share"] = json!(9);
    bad["tems"] = json!({});
    let bad = write(&directory.join("base.json"), &bad);
    let text = directory.join("yard-south.json");
    std::fs::write(&text, "{\"limits\":").expect("writable");
    let example = example().to_str().expect("UTF-8").to_owned();
    let missing = directory.join("nothing").to_str().expect("UTF-8").to_owned();

    struct Case<'a> {
        args: Vec<&'a str>,
        code: i32,
        texts: &'a [&'a str],
    }
    let cases = [
        Case { args: vec!["check", &example], code: 0, texts: &["ok: base and 3 overlay(s)"] },
        Case {
            args: vec!["check", &bad],
            code: 1,
            texts: &[
                "2 error(s)",
                "base: limits.retry_share: found 9; allowed: 0 to 1",
                "base: tems: found {}",
            ],
        },
        Case { args: vec!["check", &example, &bad], code: 1, texts: &["base: found", "allowed: one file"] },
        Case { args: vec!["check", text.to_str().expect("UTF-8")], code: 1, texts: &["not JSON"] },
        Case { args: vec!["check", &missing], code: 2, texts: &["read ", "nothing"] },
        Case { args: vec!["check"], code: 2, texts: &["no file or directory"] },
        Case { args: vec!["chekc"], code: 2, texts: &["chekc"] },
        Case { args: vec!["publish", "--log", "localhost"], code: 2, texts: &["log"] },
        Case { args: vec!["--help"], code: 0, texts: &["history"] },
    ];
    for case in cases {
        let ran = run(&case.args).await;
        let all = format!("{}{}", ran.out, ran.err);
        assert_eq!(ran.code, Some(case.code), "{:?}: {all}", case.args);
        for text in case.texts {
            assert!(all.contains(text), "{:?}: {text:?} is missing in {all}", case.args);
        }
    }
}

/// Guards against a conflict or a rejection that looks like a success, and against lost edits in the history.
#[tokio::test(flavor = "multi_thread")]
async fn publish_reports_the_verdict() {
    let cell = Cell::start().await;
    cell.publish_base().await;
    let directory = scratch("publish");
    let overlay = write(&directory.join("o.json"), &json!({"teams": {"day-a": {"weight": 3}}}));
    let invalid = write(&directory.join("i.json"), &json!({"teams": {"day-a": {"weight": 0}}}));

    let stale = cell.publish("yard-gate", "0", &[&overlay]).await;
    assert_eq!(stale.code, Some(1));
    assert!(stale.err.contains("based on revision 0, but revision 1 is in force"), "{}", stale.err);
    let rejected = cell.publish("yard-gate", "1", &[&invalid]).await;
    assert_eq!(rejected.code, Some(1));
    assert!(rejected.err.contains("yard-gate: teams.day-a.weight: found 0"), "{}", rejected.err);
    let unknown = cell.publish("yard-west", "1", &[&overlay]).await;
    assert!(unknown.err.contains("yard-west: (document)"), "{}", unknown.err);
    let no_base = cell.publish("base", "1", &[]).await;
    assert_eq!(no_base.code, Some(2), "{}", no_base.err);

    let ran = cell.publish("yard-gate", "1", &["--note", "more for a", &overlay]).await;
    assert_eq!(ran.code, Some(0), "{}", ran.err);
    let diff = run(&["diff", "--log", &cell.log(), example().to_str().expect("UTF-8")]).await;
    assert_eq!(diff.code, Some(0), "{}", diff.err);
    assert!(diff.out.contains("base: same"), "{}", diff.out);
    assert!(diff.out.contains("yard-gate: teams: {\"day-a\":{\"weight\":3}} removed"), "{}", diff.out);

    let removed = cell.publish("yard-gate", "2", &[]).await;
    assert_eq!(removed.code, Some(0), "{}", removed.err);
    let history = run(&["history", "--log", &cell.log()]).await;
    let lines: Vec<&str> = history.out.lines().collect();
    assert_eq!(lines.len(), 3, "{}", history.out);
    assert_eq!(lines[1], "offset 2: yard-gate on revision 1 by a (more for a): revision 2 at offset 3");
}

/// Guards against racing operators who both get a success, or a loser who is not told.
#[tokio::test(flavor = "multi_thread")]
async fn one_of_racing_publishers_wins() {
    let cell = Cell::start().await;
    cell.publish_base().await;
    let directory = scratch("race");
    let overlay = write(&directory.join("o.json"), &json!({"teams": {"day-a": {"weight": 3}}}));
    let rest = [overlay.as_str()];
    let sites = ["yard-north", "yard-south", "yard-gate"];
    let rans = futures::future::join_all(sites.map(|site| cell.publish(site, "1", &rest))).await;
    let codes: Vec<Option<i32>> = rans.iter().map(|ran| ran.code).collect();
    assert_eq!(codes.iter().filter(|code| **code == Some(0)).count(), 1, "{codes:?}");
    for ran in rans.iter().filter(|ran| ran.code != Some(0)) {
        assert_eq!(ran.code, Some(1), "{}", ran.err);
        assert!(ran.err.contains("based on revision 1, but revision 2 is in force"), "{}", ran.err);
    }
}

/// Guards against an edit that is published twice, or reported as lost, when the answer of the log is lost.
#[tokio::test(flavor = "multi_thread")]
async fn lost_answer_is_resolved() {
    let cell = Cell::start().await;
    cell.memory.set_faults(LogFaults { lose_answer: true, ..LogFaults::default() });
    cell.publish_base().await;
}

/// Guards against commands that hang, or claim a result, when the log or the hosts do not answer.
#[tokio::test(flavor = "multi_thread")]
async fn outages_are_reported() {
    let cell = Cell::start().await;
    let file = example().join("base.json");
    let file = file.to_str().expect("UTF-8");
    cell.judge.abort();
    let undecided = cell.publish("base", "0", &["--timeout", "2", file]).await;
    assert_eq!(undecided.code, Some(2));
    assert!(undecided.err.contains("offset 0, but has no verdict yet"), "{}", undecided.err);
    let verdict = Verdict { edit: Offset(0), accepted: false, reasons: vec!["because".into()] };
    append(&cell.memory, 1, ConfigRecord::Verdict(verdict)).await;
    let history = run(&["history", "--log", &cell.log()]).await;
    assert!(history.out.contains("rejected: because"), "{}", history.out);

    cell.memory.set_faults(LogFaults { keep: Some(0), ..LogFaults::default() });
    let truncated = run(&["show", "--log", &cell.log(), "--timeout", "1"]).await;
    assert_eq!(truncated.code, Some(2));
    assert!(truncated.err.contains("no usable snapshot"), "{}", truncated.err);

    cell.memory.set_faults(LogFaults { down: true, ..LogFaults::default() });
    for command in ["show", "history"] {
        let ran = run(&[command, "--log", &cell.log(), "--timeout", "1"]).await;
        assert_eq!(ran.code, Some(2), "{command}");
        assert!(ran.err.contains("no answer in time"), "{}", ran.err);
    }
}

/// Guards against a site or host that is left out, or a host that does not answer and is passed over.
#[tokio::test(flavor = "multi_thread")]
async fn show_lists_sites_and_hosts() {
    let cell = Cell::start().await;
    cell.publish_base().await;
    let status = json!({
        "host": "h1", "incarnation": 5, "ready": true, "log": true, "owned": [],
        "hosts": [{"host": "h1", "site": "yard-gate", "revision": 1, "offset": 1, "digest": 255, "suspected": false}]
    });
    let routes = warp::path!("v1" / "status").map(move || warp::reply::json(&status));
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("free port");
    let host = listener.local_addr().expect("bound").to_string();
    let server = tokio::spawn(warp::serve(routes).incoming(listener).run());

    let ran = run(&["show", "--log", &cell.log(), "--host", &host]).await;
    assert_eq!(ran.code, Some(0), "{}", ran.err);
    for site in ["yard-north", "yard-south", "yard-gate"] {
        let line = format!("site {site}: revision 1 at offset 1, digest ");
        assert!(ran.out.contains(&line), "{}", ran.out);
    }
    assert!(ran.out.contains("host h1 (ready, log up) knows:"), "{}", ran.out);
    let line = "host h1 at site yard-gate: revision 1 at offset 1, digest 00000000000000ff";
    assert!(ran.out.contains(line), "{}", ran.out);

    server.abort();
    let _ = server.await;
    let ran = run(&["show", "--log", &cell.log(), "--host", &host, "--timeout", "2"]).await;
    assert_eq!(ran.code, Some(2));
    assert!(ran.err.contains(&format!("read status at {host}")), "{}", ran.err);
}
