//! Stand-in for the log and log client of the product over HTTP: records, long polls and fault switches.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use yuccahoist::id::Offset;
use yuccahoist::stream::StreamName;
use yuccahoist::systems::{CallError, HttpLog, LogService, LogTimeouts};
use yuccahoist_standins::log::{LogFaults, LogServer, MemoryLog};

const STREAM: StreamName = StreamName::Config;

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn timeouts() -> LogTimeouts {
    let call_timeout = Duration::from_millis(300);
    LogTimeouts { connect: call_timeout, append: call_timeout, read: Duration::from_secs(5) }
}

struct LogFixture {
    memory: MemoryLog,
    server: LogServer,
    http: HttpLog,
}

async fn start_log() -> LogFixture {
    let memory = MemoryLog::new();
    let server = LogServer::bind(loopback(), memory.clone()).await.expect("server bound");
    let http = HttpLog::with_timeouts(server.address(), timeouts()).expect("HTTP client");
    LogFixture { memory, server, http }
}

fn record(number: u32) -> Bytes {
    Bytes::from(format!("{{\"n\":{number}}}"))
}

/// Guards against records that are altered or reordered between append and read.
#[tokio::test]
async fn records_are_read_back_as_appended() {
    let log = start_log().await;
    for number in 0..3 {
        let offset = log.http.append(STREAM, record(number)).await;
        assert_eq!(offset, Ok(Offset(u64::from(number))));
    }
    let batch = log.http.read(STREAM, Offset(1), Duration::ZERO).await.expect("log available");
    assert_eq!((batch.earliest, batch.end), (Offset(0), Offset(3)));
    assert_eq!(batch.records, vec![(Offset(1), record(1)), (Offset(2), record(2))]);
    let other = log.http.read(StreamName::Jobs, Offset(0), Duration::ZERO).await.expect("log available");
    assert_eq!(other.end, Offset(0), "an append affects its own stream only");
}

/// Guards against a long poll that does not return when the awaited record is appended.
#[tokio::test]
async fn long_poll_ends_with_the_next_record() {
    let log = start_log().await;
    let reader = log.http.clone();
    let read = tokio::spawn(async move { reader.read(STREAM, Offset(0), Duration::from_secs(20)).await });
    tokio::time::sleep(Duration::from_millis(50)).await;
    log.memory.append(STREAM, record(1)).await.expect("log available");
    let batch = read.await.expect("no panic").expect("log available");
    assert_eq!(batch.records.len(), 1);
}

/// Guards against a failure that is reported as the wrong error: only after `Unknown` does the product read the log to
/// find out whether the append took effect.
#[tokio::test]
async fn faulty_appends_have_an_unknown_outcome() {
    struct Case {
        faults: LogFaults,
        expected_appends: u64,
    }
    let cases = [
        Case { faults: LogFaults { down: true, ..LogFaults::default() }, expected_appends: 0 },
        Case { faults: LogFaults { lose_answer: true, ..LogFaults::default() }, expected_appends: 1 },
        Case { faults: LogFaults { slow_ms: 600, ..LogFaults::default() }, expected_appends: 1 },
    ];
    for case in cases {
        let log = start_log().await;
        log.memory.set_faults(case.faults);
        let error = log.http.append(STREAM, record(1)).await.expect_err("append fails");
        assert!(matches!(error, CallError::Unknown { .. }), "{error}");
        tokio::time::sleep(Duration::from_millis(900)).await;
        assert_eq!(log.memory.appends(), case.expected_appends, "{:?}", case.faults);
    }
}

/// Guards against a refused connection that is reported as an unknown outcome.
#[tokio::test]
async fn refused_connection_is_not_sent() {
    let log = start_log().await;
    let address = log.server.address();
    drop(log);
    tokio::time::sleep(Duration::from_millis(50)).await;
    let http = HttpLog::with_timeouts(address, timeouts()).expect("HTTP client");
    let error = http.append(STREAM, record(1)).await.expect_err("connection refused");
    assert!(matches!(error, CallError::NotSent { .. }), "{error}");
}

/// Guards against a truncation that changes the offsets of the records that remain.
#[tokio::test]
async fn truncation_keeps_offsets() {
    let log = start_log().await;
    for number in 0..5 {
        log.memory.append(STREAM, record(number)).await.expect("log available");
    }
    let client = reqwest::Client::builder().no_proxy().build().expect("HTTP client");
    let url = format!("http://{}/faults", log.server.address());
    let reply = client.post(&url).json(&serde_json::json!({"keep": 2})).send().await.expect("log available");
    assert!(reply.status().is_success());
    let reply = client.post(&url).json(&serde_json::json!({"keeep": 2})).send().await.expect("log available");
    assert_eq!(reply.status(), 400, "unknown switches are rejected");
    let batch = log.http.read(STREAM, Offset(0), Duration::ZERO).await.expect("log available");
    assert_eq!((batch.earliest, batch.end), (Offset(3), Offset(5)));
    assert_eq!(batch.records[0], (Offset(3), record(3)));
}
