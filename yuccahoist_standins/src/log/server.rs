//! HTTP interface of the log.

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

/// Largest body of an append; a snapshot of the configuration is the largest record.
const BODY_LIMIT: u64 = 16 << 20;
/// Longest wait of one read, milliseconds.
const WAIT_LIMIT_MS: u64 = 30_000;

/// HTTP server of a log; it ends when this is dropped.
#[derive(Debug)]
pub struct LogServer {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl LogServer {
    /// Serves a log at an address; port 0 takes a free one.
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

    /// Address at which it listens.
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
        .and(warp::body::content_length_limit(BODY_LIMIT))
        .and(warp::body::bytes())
        .then(append);
    let read = records.and(warp::get()).and(warp::query()).then(read);
    let faults = warp::path!("faults").and(state);
    let set = faults
        .clone()
        .and(warp::post())
        .and(warp::body::json())
        .map(|log: MemoryLog, faults| set_faults(&log, faults));
    let get = faults.and(warp::get()).map(|log: MemoryLog| json(&log.faults()));
    append.or(read).or(set).or(get)
}

async fn append(name: String, log: MemoryLog, body: bytes::Bytes) -> WithStatus<Json> {
    let Some(stream) = stream(&name) else { return not_found(&name) };
    // Records are texts in the answer to a read.
    if std::str::from_utf8(&body).is_err() {
        return failed(StatusCode::BAD_REQUEST, "record is not UTF-8");
    }
    match log.append(stream, body).await {
        Ok(offset) => with_status(json(&AppendReply { offset }), StatusCode::OK),
        Err(error) => error_reply(&error),
    }
}

async fn read(name: String, log: MemoryLog, query: BTreeMap<String, u64>) -> WithStatus<Json> {
    let Some(stream) = stream(&name) else { return not_found(&name) };
    let number = |key: &str| query.get(key).copied().unwrap_or_default();
    let wait = Duration::from_millis(number("wait_ms").min(WAIT_LIMIT_MS));
    match log.read(stream, Offset(number("from")), wait).await {
        Ok(batch) => with_status(json(&reply(batch)), StatusCode::OK),
        Err(error) => error_reply(&error),
    }
}

fn set_faults(log: &MemoryLog, faults: LogFaults) -> Json {
    log.set_faults(faults);
    json(&faults)
}

fn reply(batch: ReadBatch) -> ReadReply {
    let record = |(offset, data): (Offset, bytes::Bytes)| RecordReply {
        offset,
        data: String::from_utf8_lossy(&data).into_owned(),
    };
    ReadReply {
        earliest: batch.earliest,
        end: batch.end,
        records: batch.records.into_iter().map(record).collect(),
    }
}

fn stream(name: &str) -> Option<StreamName> {
    StreamName::ALL.into_iter().find(|stream| stream.as_str() == name)
}

fn not_found(name: &str) -> WithStatus<Json> {
    failed(StatusCode::NOT_FOUND, &format!("stream {name:?} does not exist"))
}

fn error_reply(error: &CallError) -> WithStatus<Json> {
    let status = match error {
        CallError::Unknown { .. } => StatusCode::GATEWAY_TIMEOUT,
        CallError::NotSent { .. } | CallError::Rejected { .. } => StatusCode::SERVICE_UNAVAILABLE,
    };
    failed(status, &error.to_string())
}

fn failed(status: StatusCode, reason: &str) -> WithStatus<Json> {
    with_status(json(&BTreeMap::from([("error", reason)])), status)
}
