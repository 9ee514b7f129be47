//! Configuration commands: output and exit code for each kind of result.

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

const CONFIG_STREAM: StreamName = StreamName::Config;

fn example_directory() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../examples/ishikari-yard")
}

/// Returns an empty directory for a test, below the build directory.
fn scratch_directory(test: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(test);
    let _ = std::fs::remove_dir_all(&path);
    std::fs::create_dir_all(&path).expect("scratch directory is created");
    path
}

fn write_json(path: &Path, content: &Value) -> String {
    std::fs::write(path, content.to_string()).expect("scratch file is written");
    path.to_str().expect("text is UTF-8").into()
}

fn base_document() -> Value {
    let text = std::fs::read_to_string(example_directory().join("base.json")).expect("example is readable");
    serde_json::from_str(&text).expect("example is JSON")
}

/// Exit code and output of a command.
struct CommandResult {
    code: Option<i32>,
    stdout: String,
    stderr: String,
}

async fn run(args: &[&str]) -> CommandResult {
    let args: Vec<String> = args.iter().map(ToString::to_string).collect();
    let command = move || Command::new(env!("CARGO_BIN_EXE_yuccahoist")).args(args).output();
    let output: Output =
        tokio::task::spawn_blocking(command).await.expect("command does not panic").expect("command starts");
    CommandResult {
        code: output.status.code(),
        stdout: String::from_utf8(output.stdout).expect("text is UTF-8"),
        stderr: String::from_utf8(output.stderr).expect("text is UTF-8"),
    }
}

/// Log service over HTTP, and a task that decides every edit as a host does.
struct Cell {
    memory: MemoryLog,
    server: LogServer,
    decider: JoinHandle<()>,
}

impl Drop for Cell {
    fn drop(&mut self) {
        self.decider.abort();
    }
}

impl Cell {
    async fn start() -> Self {
        let memory = MemoryLog::new();
        let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = LogServer::bind(loopback, memory.clone()).await.expect("loopback port binds");
        let decider = tokio::spawn(decide_edits(memory.clone()));
        Self { memory, server, decider }
    }

    fn log(&self) -> String {
        self.server.address().to_string()
    }

    async fn publish(&self, document: &str, based_on: &str, more_args: &[&str]) -> CommandResult {
        let log = self.log();
        let args =
            ["publish", "--log", &log, "--document", document, "--based-on", based_on, "--author", "a"];
        run(&[&args, more_args].concat()).await
    }

    async fn publish_base(&self) {
        let file = example_directory().join("base.json");
        let result = self.publish("base", "0", &[file.to_str().expect("text is UTF-8")]).await;
        assert_eq!(result.code, Some(0), "{}", result.stderr);
        assert_eq!(result.stdout, "accepted: revision 1, edit at offset 0, verdict at offset 1\n");
    }
}

/// Replays the stream and appends a verdict for each open edit.
async fn decide_edits(log: MemoryLog) {
    let mut fold = ConfigFold::default();
    let mut next = Offset(0);
    let mut seq = 0;
    loop {
        let Ok(read) = log.read(CONFIG_STREAM, next, Duration::from_secs(1)).await else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        for (offset, text) in read.records {
            next = Offset(offset.0 + 1);
            let envelope: Envelope<ConfigRecord> = serde_json::from_slice(&text).expect("record is JSON");
            fold.apply(offset, envelope.producer, envelope.body, &mut Vec::new());
        }
        let open: Vec<Offset> = fold.open().keys().copied().collect();
        for verdict in open.into_iter().filter_map(|edit| fold.evaluate_edit(edit)) {
            seq += 1;
            append_record(&log, seq, ConfigRecord::Verdict(verdict)).await;
        }
    }
}

async fn append_record(log: &MemoryLog, seq: u64, body: ConfigRecord) {
    let envelope = Envelope { producer: Incarnation(7), seq: Sequence(seq), body };
    // A failed append needs no retry: an edit that stays open gets another verdict, and duplicates have no effect.
    let _ = log.append(CONFIG_STREAM, encode(&envelope).expect("record is encodable")).await;
}

/// Guards against documents that pass `check` but are rejected after publication, and against wrong exit codes.
#[tokio::test]
async fn check_lists_all_errors() {
    let directory = scratch_directory("check");
    let mut bad = base_document();
    bad["limits"]["retry_share"] = json!(9);
    bad["tems"] = json!({});
    let bad = write_json(&directory.join("base.json"), &bad);
    let truncated_file = directory.join("yard-south.json");
    std::fs::write(&truncated_file, "{\"limits\":").expect("scratch file is written");
    let example = example_directory().to_str().expect("text is UTF-8").to_owned();
    let missing = directory.join("nothing").to_str().expect("text is UTF-8").to_owned();

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
        Case {
            args: vec!["check", truncated_file.to_str().expect("text is UTF-8")],
            code: 1,
            texts: &["not JSON"],
        },
        Case { args: vec!["check", &missing], code: 2, texts: &["read ", "nothing"] },
        Case { args: vec!["check"], code: 2, texts: &["no file or directory"] },
        Case { args: vec!["chekc"], code: 2, texts: &["chekc"] },
        Case { args: vec!["publish", "--log", "localhost"], code: 2, texts: &["log"] },
        Case { args: vec!["--help"], code: 0, texts: &["history"] },
    ];
    for case in cases {
        let result = run(&case.args).await;
        let output = format!("{}{}", result.stdout, result.stderr);
        assert_eq!(result.code, Some(case.code), "{:?}: {output}", case.args);
        for text in case.texts {
            assert!(output.contains(text), "{:?}: {text:?} is missing in {output}", case.args);
        }
    }
}

/// Guards against a conflict or a rejection that is reported as a success, and against edits missing in the history.
#[tokio::test(flavor = "multi_thread")]
async fn publish_reports_the_verdict() {
    let cell = Cell::start().await;
    cell.publish_base().await;
    let directory = scratch_directory("publish");
    let overlay = write_json(&directory.join("o.json"), &json!({"teams": {"day-a": {"weight": 3}}}));
    let invalid = write_json(&directory.join("i.json"), &json!({"teams": {"day-a": {"weight": 0}}}));

    let stale = cell.publish("yard-gate", "0", &[&overlay]).await;
    assert_eq!(stale.code, Some(1));
    assert!(stale.stderr.contains("based on revision 0, but revision 1 is in force"), "{}", stale.stderr);
    let rejected = cell.publish("yard-gate", "1", &[&invalid]).await;
    assert_eq!(rejected.code, Some(1));
    assert!(rejected.stderr.contains("yard-gate: teams.day-a.weight: found 0"), "{}", rejected.stderr);
    let unknown = cell.publish("yard-west", "1", &[&overlay]).await;
    assert!(unknown.stderr.contains("yard-west: (document)"), "{}", unknown.stderr);
    let missing_file = cell.publish("base", "1", &[]).await;
    assert_eq!(missing_file.code, Some(2), "{}", missing_file.stderr);

    let result = cell.publish("yard-gate", "1", &["--note", "more for a", &overlay]).await;
    assert_eq!(result.code, Some(0), "{}", result.stderr);
    let diff =
        run(&["diff", "--log", &cell.log(), example_directory().to_str().expect("text is UTF-8")]).await;
    assert_eq!(diff.code, Some(0), "{}", diff.stderr);
    assert!(diff.stdout.contains("base: same"), "{}", diff.stdout);
    assert!(diff.stdout.contains("yard-gate: teams: {\"day-a\":{\"weight\":3}} removed"), "{}", diff.stdout);

    let removed = cell.publish("yard-gate", "2", &[]).await;
    assert_eq!(removed.code, Some(0), "{}", removed.stderr);
    let history = run(&["history", "--log", &cell.log()]).await;
    let lines: Vec<&str> = history.stdout.lines().collect();
    assert_eq!(lines.len(), 3, "{}", history.stdout);
    assert_eq!(lines[1], "offset 2: yard-gate on revision 1 by a (more for a): revision 2 at offset 3");
}

/// Guards against concurrent publications on one revision that both succeed, or of which the rejected one is not
/// reported as a conflict.
#[tokio::test(flavor = "multi_thread")]
async fn one_of_concurrent_publications_succeeds() {
    let cell = Cell::start().await;
    cell.publish_base().await;
    let directory = scratch_directory("concurrent");
    let overlay = write_json(&directory.join("o.json"), &json!({"teams": {"day-a": {"weight": 3}}}));
    let file_arg = [overlay.as_str()];
    let sites = ["yard-north", "yard-south", "yard-gate"];
    let results = futures::future::join_all(sites.map(|site| cell.publish(site, "1", &file_arg))).await;
    let codes: Vec<Option<i32>> = results.iter().map(|result| result.code).collect();
    assert_eq!(codes.iter().filter(|code| **code == Some(0)).count(), 1, "{codes:?}");
    for result in results.iter().filter(|result| result.code != Some(0)) {
        assert_eq!(result.code, Some(1), "{}", result.stderr);
        assert!(
            result.stderr.contains("based on revision 1, but revision 2 is in force"),
            "{}",
            result.stderr
        );
    }
}

/// Guards against an edit that is published twice, or reported as failed, when the answer of the log service is lost.
#[tokio::test(flavor = "multi_thread")]
async fn lost_answer_of_the_log_is_recovered() {
    let cell = Cell::start().await;
    cell.memory.set_faults(LogFaults { lose_answer: true, ..LogFaults::default() });
    cell.publish_base().await;
}

/// Guards against commands that hang or report a result when no host decides the edit, records are truncated or the
/// log service is down.
#[tokio::test(flavor = "multi_thread")]
async fn outages_are_reported() {
    let cell = Cell::start().await;
    let file = example_directory().join("base.json");
    let file = file.to_str().expect("text is UTF-8");
    cell.decider.abort();
    let undecided = cell.publish("base", "0", &["--timeout", "2", file]).await;
    assert_eq!(undecided.code, Some(2));
    assert!(undecided.stderr.contains("offset 0, but has no verdict yet"), "{}", undecided.stderr);
    let verdict = Verdict { edit: Offset(0), accepted: false, reasons: vec!["because".into()] };
    append_record(&cell.memory, 1, ConfigRecord::Verdict(verdict)).await;
    let history = run(&["history", "--log", &cell.log()]).await;
    assert!(history.stdout.contains("rejected: because"), "{}", history.stdout);

    cell.memory.set_faults(LogFaults { keep: Some(0), ..LogFaults::default() });
    let truncated = run(&["show", "--log", &cell.log(), "--timeout", "1"]).await;
    assert_eq!(truncated.code, Some(2));
    assert!(truncated.stderr.contains("no usable snapshot"), "{}", truncated.stderr);

    cell.memory.set_faults(LogFaults { down: true, ..LogFaults::default() });
    for command in ["show", "history"] {
        let result = run(&[command, "--log", &cell.log(), "--timeout", "1"]).await;
        assert_eq!(result.code, Some(2), "{command}");
        assert!(result.stderr.contains("no answer in time"), "{}", result.stderr);
    }
}

/// Guards against a missing site or host, and against an unresponsive host that is not reported.
#[tokio::test(flavor = "multi_thread")]
async fn show_lists_sites_and_hosts() {
    let cell = Cell::start().await;
    cell.publish_base().await;
    let status = json!({
        "host": "h1", "incarnation": 5, "ready": true, "log": true, "owned": [],
        "hosts": [{"host": "h1", "site": "yard-gate", "revision": 1, "offset": 1, "digest": 255, "suspected": false}]
    });
    let routes = warp::path!("v1" / "status").map(move || warp::reply::json(&status));
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("loopback port binds");
    let host = listener.local_addr().expect("listener is bound").to_string();
    let server = tokio::spawn(warp::serve(routes).incoming(listener).run());

    let result = run(&["show", "--log", &cell.log(), "--host", &host]).await;
    assert_eq!(result.code, Some(0), "{}", result.stderr);
    for site in ["yard-north", "yard-south", "yard-gate"] {
        let line = format!("site {site}: revision 1 at offset 1, digest ");
        assert!(result.stdout.contains(&line), "{}", result.stdout);
    }
    assert!(result.stdout.contains("host h1 (ready, log up) knows:"), "{}", result.stdout);
    let line = "host h1 at site yard-gate: revision 1 at offset 1, digest 00000000000000ff";
    assert!(result.stdout.contains(line), "{}", result.stdout);

    server.abort();
    let _ = server.await;
    let result = run(&["show", "--log", &cell.log(), "--host", &host, "--timeout", "2"]).await;
    assert_eq!(result.code, Some(2));
    assert!(result.stderr.contains(&format!("read status at {host}")), "{}", result.stderr);
}
