//! HTTP server of the log.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use warp::http::StatusCode;
use warp::reply::{Json, WithStatus, json, with_status};
use warp::{Filter, Rejection, Reply};
use yuccahoist::id::Offset;
use yuccahoist::stream::StreamName;
use yuccahoist::systems::{AppendReply, CallError, LogService, ReadBatch, ReadReply, RecordReply};

use super::{LogFaults, MemoryLog};

/// Largest body of an append, bytes. The largest record is a snapshot of the configuration.
const MAX_BODY_BYTES: u64 = 16 << 20;
/// Longest wait of one read for a new record.
const MAX_READ_WAIT_MS: u64 = 30_000;

/// HTTP server of a log; it stops when it is dropped.
#[derive(Debug)]
pub struct LogServer {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl LogServer {
    /// Starts a server for `log`; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Fails when the address is in use or not available.
    pub async fn bind(address: SocketAddr, log: MemoryLog) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let task = tokio::spawn(warp::serve(routes(log)).incoming(listener).run());
        Ok(Self { address, task })
    }

    /// Address on which the server listens, with the port that was selected.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for LogServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn routes(log: MemoryLog) -> impl Filter<Extract = (impl Reply,), Error = Rejection> + Clone {
    let state = warp::any().map(move || log.clone());
    let records = warp::path!("streams" / String / "records").and(state.clone());
    let append = records
        .clone()
        .and(warp::post())
        .and(warp::body::content_length_limit(MAX_BODY_BYTES))
        .and(warp::body::bytes())
        .then(append);
    let read = records.and(warp::get()).and(warp::query()).then(read);
    let faults = warp::path!("faults").and(state);
    let set_route = faults
        .clone()
        .and(warp::post())
        .and(warp::body::json())
        .map(|log: MemoryLog, faults| set_faults(&log, faults));
    let get_route = faults.and(warp::get()).map(|log: MemoryLog| json(&log.faults()));
    append.or(read).or(set_route).or(get_route)
}

async fn append(name: String, log: MemoryLog, body: bytes::Bytes) -> WithStatus<Json> {
    let Some(stream) = parse_stream(&name) else { return unknown_stream(&name) };
    // The answer to a read carries records as JSON strings.
    if std::str::from_utf8(&body).is_err() {
        return failure_reply(StatusCode::BAD_REQUEST, "appended record is not valid UTF-8");
    }
    match log.append(stream, body).await {
        Ok(offset) => with_status(json(&AppendReply { offset }), StatusCode::OK),
        Err(error) => error_reply(&error),
    }
}

async fn read(name: String, log: MemoryLog, query: BTreeMap<String, u64>) -> WithStatus<Json> {
    let Some(stream) = parse_stream(&name) else { return unknown_stream(&name) };
    let number = |key: &str| query.get(key).copied().unwrap_or_default();
    let wait = Duration::from_millis(number("wait_ms").min(MAX_READ_WAIT_MS));
    match log.read(stream, Offset(number("from")), wait).await {
        Ok(batch) => with_status(json(&read_reply(batch)), StatusCode::OK),
        Err(error) => error_reply(&error),
    }
}

fn set_faults(log: &MemoryLog, faults: LogFaults) -> Json {
    log.set_faults(faults);
    json(&faults)
}

fn read_reply(batch: ReadBatch) -> ReadReply {
    let to_reply = |(offset, data): (Offset, bytes::Bytes)| RecordReply {
        offset,
        data: String::from_utf8_lossy(&data).into_owned(),
    };
    ReadReply {
        earliest: batch.earliest,
        end: batch.end,
        records: batch.records.into_iter().map(to_reply).collect(),
    }
}

fn parse_stream(name: &str) -> Option<StreamName> {
    StreamName::ALL.into_iter().find(|stream| stream.as_str() == name)
}

fn unknown_stream(name: &str) -> WithStatus<Json> {
    failure_reply(StatusCode::NOT_FOUND, &format!("unknown stream {name:?}"))
}

fn error_reply(error: &CallError) -> WithStatus<Json> {
    let status = match error {
        CallError::Unknown { .. } => StatusCode::GATEWAY_TIMEOUT,
        CallError::NotSent { .. } | CallError::Rejected { .. } => StatusCode::SERVICE_UNAVAILABLE,
    };
    failure_reply(status, &error.to_string())
}

fn failure_reply(status: StatusCode, reason: &str) -> WithStatus<Json> {
    with_status(json(&BTreeMap::from([("error", reason)])), status)
}
