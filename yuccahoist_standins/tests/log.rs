//! Log stand-in and log client over HTTP: every fault switch has the effect that its name says.

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
    let short = Duration::from_millis(300);
    LogTimeouts { connect: short, append: short, read: Duration::from_secs(5) }
}

struct Both {
    memory: MemoryLog,
    _server: LogServer,
    http: HttpLog,
}

async fn start() -> Both {
    let memory = MemoryLog::new();
    let server = LogServer::bind(loopback(), memory.clone()).await.expect("free port");
    let http = HttpLog::with_timeouts(server.address(), timeouts()).expect("client");
    Both { memory, _server: server, http }
}

fn record(number: u32) -> Bytes {
    Bytes::from(format!("{{\"n\":{number}}}"))
}

/// Guards against records that change or lose their order on the way.
#[tokio::test]
async fn records_are_read_back_as_appended() {
    let both = start().await;
    for number in 0..3 {
        let offset = both.http.append(STREAM, record(number)).await;
        assert_eq!(offset, Ok(Offset(u64::from(number))));
    }
    let batch = both.http.read(STREAM, Offset(1), Duration::ZERO).await.expect("up");
    assert_eq!((batch.earliest, batch.end), (Offset(0), Offset(3)));
    assert_eq!(batch.records, vec![(Offset(1), record(1)), (Offset(2), record(2))]);
    let other = both.http.read(StreamName::Jobs, Offset(0), Duration::ZERO).await.expect("up");
    assert_eq!(other.end, Offset(0), "streams are separate");
}

/// Guards against a long poll that misses the record that it waits for.
#[tokio::test]
async fn long_poll_ends_with_the_next_record() {
    let both = start().await;
    let reader = both.http.clone();
    let read = tokio::spawn(async move { reader.read(STREAM, Offset(0), Duration::from_secs(20)).await });
    tokio::time::sleep(Duration::from_millis(50)).await;
    both.memory.append(STREAM, record(1)).await.expect("up");
    let batch = read.await.expect("no panic").expect("up");
    assert_eq!(batch.records.len(), 1);
}

/// Guards against failures that are reported in the wrong class: only `Unknown` leads to a second look.
#[tokio::test]
async fn faults_are_reported_in_their_class() {
    struct Case {
        faults: LogFaults,
        effect: u64,
    }
    let cases = [
        Case { faults: LogFaults { down: true, ..LogFaults::default() }, effect: 0 },
        Case { faults: LogFaults { lose_answer: true, ..LogFaults::default() }, effect: 1 },
        Case { faults: LogFaults { slow_ms: 600, ..LogFaults::default() }, effect: 1 },
    ];
    for case in cases {
        let both = start().await;
        both.memory.set_faults(case.faults);
        let error = both.http.append(STREAM, record(1)).await.expect_err("fault");
        assert!(matches!(error, CallError::Unknown { .. }), "{error}");
        tokio::time::sleep(Duration::from_millis(900)).await;
        assert_eq!(both.memory.appends(), case.effect, "{:?}", case.faults);
    }
}

/// Guards against a refused connection that is taken for a lost answer.
#[tokio::test]
async fn refused_connection_is_not_sent() {
    let both = start().await;
    let address = both._server.address();
    drop(both);
    tokio::time::sleep(Duration::from_millis(50)).await;
    let http = HttpLog::with_timeouts(address, timeouts()).expect("client");
    let error = http.append(STREAM, record(1)).await.expect_err("nobody listens");
    assert!(matches!(error, CallError::NotSent { .. }), "{error}");
}

/// Guards against truncation that renumbers records.
#[tokio::test]
async fn truncation_keeps_offsets() {
    let both = start().await;
    for number in 0..5 {
        both.memory.append(STREAM, record(number)).await.expect("up");
    }
    let client = reqwest::Client::builder().no_proxy().build().expect("client");
    let url = format!("http://{}/faults", both._server.address());
    let reply = client.post(&url).json(&serde_json::json!({"keep": 2})).send().await.expect("up");
    assert!(reply.status().is_success());
    let reply = client.post(&url).json(&serde_json::json!({"keeep": 2})).send().await.expect("up");
    assert_eq!(reply.status(), 400, "unknown switches are refused");
    let batch = both.http.read(STREAM, Offset(0), Duration::ZERO).await.expect("up");
    assert_eq!((batch.earliest, batch.end), (Offset(3), Offset(5)));
    assert_eq!(batch.records[0], (Offset(3), record(3)));
}
