//! HTTP client of the log service.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use reqwest::{Client, RequestBuilder, Response, StatusCode};
use serde::{Deserialize, Serialize};

use super::{CallError, LogService, ReadBatch};
use crate::id::Offset;
use crate::stream::StreamName;

/// Peer name of the log service in [`CallError`].
const LOG_PEER_NAME: &str = "log service";

/// Response to an append, as JSON.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendReply {
    /// Offset that the record was stored at.
    pub offset: Offset,
}

/// Response to a read, as JSON.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadReply {
    /// Earliest offset that is not truncated.
    pub earliest: Offset,
    /// Offset after the last record of the stream.
    pub end: Offset,
    /// Records in offset order; fewer than exist if the service limits a response.
    pub records: Vec<RecordReply>,
}

/// Record in a [`ReadReply`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordReply {
    /// Offset of the record.
    pub offset: Offset,
    /// Payload, unchanged since the append.
    pub data: String,
}

impl From<ReadReply> for ReadBatch {
    fn from(reply: ReadReply) -> Self {
        let records = reply.records.into_iter().map(|r| (r.offset, Bytes::from(r.data))).collect();
        Self { earliest: reply.earliest, end: reply.end, records }
    }
}

/// Timeouts of calls to the log service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogTimeouts {
    /// Timeout of a new connection.
    pub connect: Duration,
    /// Timeout of an append, connection and response included.
    pub append: Duration,
    /// Timeout of a read, in addition to its long-poll time.
    pub read: Duration,
}

impl Default for LogTimeouts {
    fn default() -> Self {
        // A lease lasts 3 s and is renewed every second, so a lost renewal must be detected within about 1 s.
        Self {
            connect: Duration::from_millis(500),
            append: Duration::from_secs(1),
            read: Duration::from_secs(1),
        }
    }
}

/// [`LogService`] over HTTP.
#[derive(Debug, Clone)]
pub struct HttpLog {
    client: Client,
    address: SocketAddr,
    timeouts: LogTimeouts,
}

impl HttpLog {
    /// Creates a client with the default timeouts.
    ///
    /// # Errors
    ///
    /// Fails if the HTTP client cannot be built.
    pub fn new(address: SocketAddr) -> Result<Self, CallError> {
        Self::with_timeouts(address, LogTimeouts::default())
    }

    /// Creates a client with the given timeouts.
    ///
    /// # Errors
    ///
    /// Fails if the HTTP client cannot be built.
    pub fn with_timeouts(address: SocketAddr, timeouts: LogTimeouts) -> Result<Self, CallError> {
        // The service is addressed by IP address; proxy variables in the environment must not redirect its calls.
        let builder = Client::builder().no_proxy().connect_timeout(timeouts.connect);
        let client = builder.build().map_err(|error| transport_error("set up client", &error))?;
        Ok(Self { client, address, timeouts })
    }

    fn url(&self, stream: StreamName) -> String {
        format!("http://{}/streams/{stream}/records", self.address)
    }
}

#[async_trait]
impl LogService for HttpLog {
    async fn append(&self, stream: StreamName, record: Bytes) -> Result<Offset, CallError> {
        let request = self.client.post(self.url(stream)).header("content-type", "application/json");
        let request = request.body(record).timeout(self.timeouts.append);
        let reply: AppendReply = call_json("append", request).await?;
        Ok(reply.offset)
    }

    async fn read(&self, stream: StreamName, from: Offset, wait: Duration) -> Result<ReadBatch, CallError> {
        let url = format!("{}?from={from}&wait_ms={}", self.url(stream), wait.as_millis());
        let request = self.client.get(url).timeout(self.timeouts.read + wait);
        let reply: ReadReply = call_json("read", request).await?;
        Ok(reply.into())
    }
}

/// Sends a request and decodes its JSON response.
async fn call_json<T: serde::de::DeserializeOwned>(
    step: &'static str,
    request: RequestBuilder,
) -> Result<T, CallError> {
    let response = request.send().await.map_err(|error| transport_error(step, &error))?;
    let response = check_status(step, response).await?;
    // An unreadable response does not tell whether the call took effect.
    response.json().await.map_err(|error| unknown_outcome(step, error_chain(&error)))
}

async fn check_status(step: &'static str, response: Response) -> Result<Response, CallError> {
    let status = response.status();
    if status.is_success() {
        return Ok(response);
    }
    let text = response.text().await.unwrap_or_default();
    let reason = format!("status {status}: {}", text.chars().take(200).collect::<String>());
    // A server or gateway error may come after the call took effect. Only a client error rules that out, except 408.
    if status.is_client_error() && status != StatusCode::REQUEST_TIMEOUT {
        return Err(CallError::Rejected { step, peer: LOG_PEER_NAME.into(), reason });
    }
    Err(unknown_outcome(step, reason))
}

fn transport_error(step: &'static str, error: &reqwest::Error) -> CallError {
    if error.is_connect() || error.is_builder() {
        return CallError::NotSent { step, peer: LOG_PEER_NAME.into(), reason: error_chain(error) };
    }
    unknown_outcome(step, error_chain(error))
}

fn unknown_outcome(step: &'static str, reason: String) -> CallError {
    CallError::Unknown { step, peer: LOG_PEER_NAME.into(), reason }
}

/// Formats an error with its chain of sources.
fn error_chain(error: &reqwest::Error) -> String {
    let mut text = error.to_string();
    let mut source = std::error::Error::source(error);
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}
