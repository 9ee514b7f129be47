//! Client of the log service over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use reqwest::{Client, RequestBuilder, Response, StatusCode};
use serde::{Deserialize, Serialize};

use super::{CallError, LogService, ReadBatch};
use crate::id::Offset;
use crate::stream::StreamName;

/// Name of the log service in errors.
const PEER: &str = "log service";

/// Answer to an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendReply {
    /// Offset of the record.
    pub offset: Offset,
}

/// Answer to a read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadReply {
    /// Earliest offset that is kept.
    pub earliest: Offset,
    /// Offset after the last record.
    pub end: Offset,
    /// Records in order.
    pub records: Vec<RecordReply>,
}

/// Record in the answer to a read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordReply {
    /// Offset of the record.
    pub offset: Offset,
    /// Text as appended.
    pub data: String,
}

impl From<ReadReply> for ReadBatch {
    fn from(reply: ReadReply) -> Self {
        let records = reply.records.into_iter().map(|r| (r.offset, Bytes::from(r.data))).collect();
        Self { earliest: reply.earliest, end: reply.end, records }
    }
}

/// Times after which a call to the log service is given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogTimeouts {
    /// Time to connect.
    pub connect: Duration,
    /// Time of a whole append.
    pub append: Duration,
    /// Time of a whole read, beyond its long poll.
    pub read: Duration,
}

impl Default for LogTimeouts {
    fn default() -> Self {
        // A lease lasts 3 s and is renewed every second, so a lost renewal must be noticed within about a second.
        Self {
            connect: Duration::from_millis(500),
            append: Duration::from_secs(1),
            read: Duration::from_secs(1),
        }
    }
}

/// Log service at an address.
#[derive(Debug, Clone)]
pub struct HttpLog {
    client: Client,
    address: SocketAddr,
    timeouts: LogTimeouts,
}

impl HttpLog {
    /// Client with the default timeouts.
    ///
    /// # Errors
    ///
    /// Fails when the HTTP client cannot be set up.
    pub fn new(address: SocketAddr) -> Result<Self, CallError> {
        Self::with_timeouts(address, LogTimeouts::default())
    }

    /// Client with other timeouts.
    ///
    /// # Errors
    ///
    /// Fails when the HTTP client cannot be set up.
    pub fn with_timeouts(address: SocketAddr, timeouts: LogTimeouts) -> Result<Self, CallError> {
        // The service is addressed by IP number; proxy variables of the environment must not redirect it.
        let builder = Client::builder().no_proxy().connect_timeout(timeouts.connect);
        let client = builder.build().map_err(|error| failure("set up client", &error))?;
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
        let reply: AppendReply = call("append", request).await?;
        Ok(reply.offset)
    }

    async fn read(&self, stream: StreamName, from: Offset, wait: Duration) -> Result<ReadBatch, CallError> {
        let url = format!("{}?from={from}&wait_ms={}", self.url(stream), wait.as_millis());
        let request = self.client.get(url).timeout(self.timeouts.read + wait);
        let reply: ReadReply = call("read", request).await?;
        Ok(reply.into())
    }
}

async fn call<T: serde::de::DeserializeOwned>(
    step: &'static str,
    request: RequestBuilder,
) -> Result<T, CallError> {
    let response = request.send().await.map_err(|error| failure(step, &error))?;
    let response = check_status(step, response).await?;
    // An answer that cannot be read does not tell whether the call took effect.
    response.json().await.map_err(|error| unknown(step, describe(&error)))
}

async fn check_status(step: &'static str, response: Response) -> Result<Response, CallError> {
    let status = response.status();
    if status.is_success() {
        return Ok(response);
    }
    let text = response.text().await.unwrap_or_default();
    let reason = format!("status {status}: {}", text.chars().take(200).collect::<String>());
    // A server or gateway error may follow the effect; only a refusal of the request itself excludes it.
    if status.is_client_error() && status != StatusCode::REQUEST_TIMEOUT {
        return Err(CallError::Rejected { step, peer: PEER.into(), reason });
    }
    Err(unknown(step, reason))
}

fn failure(step: &'static str, error: &reqwest::Error) -> CallError {
    if error.is_connect() || error.is_builder() {
        return CallError::NotSent { step, peer: PEER.into(), reason: describe(error) };
    }
    unknown(step, describe(error))
}

fn unknown(step: &'static str, reason: String) -> CallError {
    CallError::Unknown { step, peer: PEER.into(), reason }
}

/// Error with its causes.
fn describe(error: &reqwest::Error) -> String {
    let mut text = error.to_string();
    let mut source = std::error::Error::source(error);
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}
