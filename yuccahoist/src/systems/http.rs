//! HTTP clients of workers, backend servers and the host list, built on `reqwest`.
//!
//! | call | request | response |
//! | --- | --- | --- |
//! | request | `POST http://{backend}/run/{service}`, body unchanged | body unchanged, or header `yuccahoist-rejected` if it did not run |
//! | worker command | `POST http://{agent}/command`, [`WorkerCommand`] in JSON | [`Inventory`] in JSON |
//! | host list | `GET http://{hosts}/hosts` | map of name to `live` or `leaving` in JSON |
//!
//! If no connection can be established, nothing was sent. After any later failure, the outcome is unknown.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use bytes::{Bytes, BytesMut};
use reqwest::header::CONTENT_LENGTH;
use reqwest::{Client, RequestBuilder, Response};
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;

use super::{BackendServer, CallError, DispatchBounds, HostList, HostState, WorkerPlatform, WorkerTable};
use crate::clock::{Clock, MonotonicClock};
use crate::id::WorkerId;
use crate::placement::{Inventory, WorkerCommand};
use crate::request::{Answer, Request};
use crate::settings::PlatformSettings;
use crate::unit::{Timestamp, WallTime};

/// Header with the caller's request identifier.
pub const REQUEST_ID_HEADER: &str = "yuccahoist-request-id";
/// Header with the epoch of the sender's lease on the shard.
pub const EPOCH_HEADER: &str = "yuccahoist-epoch";
/// Header with the deadline for the start of the request, milliseconds since the Unix epoch.
pub const START_BEFORE_HEADER: &str = "yuccahoist-start-before";
/// Header with the time after which the backend server aborts the request, milliseconds.
pub const RUN_LIMIT_HEADER: &str = "yuccahoist-run-limit-ms";
/// Header of a response to a request that did not run; its value is the reason.
pub const REJECTED_HEADER: &str = "yuccahoist-rejected";

/// Time after the run limit within which a response is still accepted.
const RESPONSE_GRACE_PERIOD: Duration = Duration::from_millis(250);
/// Largest response body; it must fit into a peer message.
const MAX_RESPONSE_BYTES: usize = 8 << 20;
/// Time after which an idle connection is closed, so that former owners of a shard do not occupy the connections of its
/// workers.
const IDLE_CONNECTION_TIMEOUT: Duration = Duration::from_secs(10);
/// Idle connections kept per address, as many as a worker allows. Connections in use are limited by slots.
const MAX_IDLE_CONNECTIONS: usize = 64;

fn build_client(settings: &PlatformSettings) -> reqwest::Result<Client> {
    Client::builder()
        .connect_timeout(settings.connect_timeout)
        .pool_idle_timeout(IDLE_CONNECTION_TIMEOUT)
        .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS)
        .redirect(reqwest::redirect::Policy::none())
        .retry(reqwest::retry::never())
        .no_proxy()
        .build()
}

/// Step and peer of a call, from which its errors are built.
struct CallContext {
    step: &'static str,
    peer: String,
}

impl CallContext {
    fn not_sent(self, reason: &impl ToString) -> CallError {
        CallError::NotSent { step: self.step, peer: self.peer, reason: reason.to_string() }
    }

    fn rejected(self, reason: &impl ToString) -> CallError {
        CallError::Rejected { step: self.step, peer: self.peer, reason: reason.to_string() }
    }

    fn unknown(self, reason: &impl ToString) -> CallError {
        CallError::Unknown { step: self.step, peer: self.peer, reason: reason.to_string() }
    }

    fn transport_error(self, error: &reqwest::Error) -> CallError {
        let mut reason = error.to_string();
        let mut source = std::error::Error::source(error);
        while let Some(cause) = source {
            reason = format!("{reason}: {cause}");
            source = cause.source();
        }
        // Nothing is sent if the request cannot be built or the connection cannot be established.
        if error.is_connect() || error.is_builder() { self.not_sent(&reason) } else { self.unknown(&reason) }
    }

    /// Sends a request and decodes its JSON response.
    async fn send_json<T: DeserializeOwned>(self, request: RequestBuilder) -> Result<T, CallError> {
        let response = match request.send().await {
            Ok(response) => response,
            Err(error) => return Err(self.transport_error(&error)),
        };
        if let Some(reason) = rejection_reason(&response) {
            return Err(self.rejected(&reason));
        }
        if !response.status().is_success() {
            return Err(self.unknown(&response.status()));
        }
        let body = match read_body(response).await {
            Ok(body) => body,
            Err(reason) => return Err(self.unknown(&reason)),
        };
        serde_json::from_slice(&body).map_err(|error| self.unknown(&error))
    }
}

fn rejection_reason(response: &Response) -> Option<String> {
    let reason = response.headers().get(REJECTED_HEADER)?;
    Some(String::from_utf8_lossy(reason.as_bytes()).into_owned())
}

async fn next_chunk(response: &mut Response) -> Result<Option<Bytes>, String> {
    response.chunk().await.map_err(|error| error.to_string())
}

/// Reads a complete body of at most [`MAX_RESPONSE_BYTES`].
async fn read_body(mut response: Response) -> Result<Bytes, String> {
    let too_large = || format!("response is larger than {MAX_RESPONSE_BYTES} bytes");
    if response.content_length().is_some_and(|length| length > MAX_RESPONSE_BYTES as u64) {
        return Err(too_large());
    }
    let Some(first) = next_chunk(&mut response).await? else { return Ok(Bytes::new()) };
    let Some(second) = next_chunk(&mut response).await? else { return Ok(first) };
    let mut body = BytesMut::from(first);
    body.extend_from_slice(&second);
    while let Some(part) = next_chunk(&mut response).await? {
        if body.len() + part.len() > MAX_RESPONSE_BYTES {
            return Err(too_large());
        }
        body.extend_from_slice(&part);
    }
    Ok(body.freeze())
}

/// Sets a body that fails to send after `start_before`, on a clock that counts suspended time.
///
/// The connection task polls the body immediately before it writes headers and body together. If the process is paused
/// while the request waits for that task, no complete request is sent after the deadline.
fn expiring_body(request: RequestBuilder, body: Bytes, start_before: WallTime) -> RequestBuilder {
    let length = body.len();
    let clock = MonotonicClock::new();
    let remaining = Duration::from_millis(start_before.as_millis().saturating_sub(clock.wall().as_millis()));
    let body = futures::stream::once(async move {
        if clock.now() < Timestamp::ZERO + remaining {
            Ok(body)
        } else {
            Err(std::io::Error::new(
                std::io::ErrorKind::TimedOut,
                "dispatch deadline passed before the request was sent",
            ))
        }
    });
    let request = request.body(reqwest::Body::wrap_stream(body));
    // With a length of 0, the request would be complete without the body above. Without a length, it is complete only
    // at the last chunk.
    if length == 0 { request } else { request.header(CONTENT_LENGTH, length) }
}

/// [`BackendServer`] over HTTP.
#[derive(Debug, Clone)]
pub struct HttpBackendServer {
    client: Client,
    table: WorkerTable,
}

impl HttpBackendServer {
    /// Creates a client for the backend servers in a table.
    ///
    /// # Errors
    ///
    /// Fails if the HTTP client cannot be built.
    pub fn new(table: WorkerTable, settings: &PlatformSettings) -> reqwest::Result<Self> {
        Ok(Self { client: build_client(settings)?, table })
    }
}

#[async_trait]
impl BackendServer for HttpBackendServer {
    async fn call(
        &self,
        worker: &WorkerId,
        request: &Request,
        bounds: DispatchBounds,
    ) -> Result<Answer, CallError> {
        let call = CallContext { step: "request", peer: worker.to_string() };
        let Some(address) = self.table.get(worker) else {
            return Err(call.not_sent(&"no address for this worker"));
        };
        let http_request = self
            .client
            .post(format!("http://{}/run/{}", address.backend, request.service))
            .header(REQUEST_ID_HEADER, request.id.to_string())
            .header(EPOCH_HEADER, bounds.epoch.0)
            .header(START_BEFORE_HEADER, bounds.start_before.as_millis())
            .header(RUN_LIMIT_HEADER, u64::try_from(bounds.run_limit.as_millis()).unwrap_or(u64::MAX))
            .timeout(bounds.run_limit.saturating_add(RESPONSE_GRACE_PERIOD));
        let result = expiring_body(http_request, request.body.clone(), bounds.start_before).send().await;
        let response = match result {
            Ok(response) => response,
            Err(error) => return Err(call.transport_error(&error)),
        };
        if let Some(reason) = rejection_reason(&response) {
            return Err(call.rejected(&reason));
        }
        let status = response.status().as_u16();
        match read_body(response).await {
            Ok(body) => Ok(Answer { status, body }),
            Err(reason) => Err(call.unknown(&reason)),
        }
    }
}

/// [`WorkerPlatform`] over HTTP.
#[derive(Debug, Clone)]
pub struct HttpWorkers {
    client: Client,
    table: WorkerTable,
    timeout: Duration,
}

impl HttpWorkers {
    /// Creates a client for the agents of the workers in a table.
    ///
    /// # Errors
    ///
    /// Fails if the HTTP client cannot be built.
    pub fn new(table: WorkerTable, settings: &PlatformSettings) -> reqwest::Result<Self> {
        Ok(Self { client: build_client(settings)?, table, timeout: settings.call_timeout })
    }
}

#[async_trait]
impl WorkerPlatform for HttpWorkers {
    async fn command(&self, worker: &WorkerId, command: WorkerCommand) -> Result<Inventory, CallError> {
        let call = CallContext { step: "worker command", peer: worker.to_string() };
        let Some(address) = self.table.get(worker) else {
            return Err(call.not_sent(&"no address for this worker"));
        };
        let url = format!("http://{}/command", address.agent);
        call.send_json(self.client.post(url).timeout(self.timeout).json(&command)).await
    }
}

/// [`HostList`] over HTTP.
#[derive(Debug, Clone)]
pub struct HttpHostList {
    client: Client,
    address: SocketAddr,
    timeout: Duration,
}

impl HttpHostList {
    /// Creates a client for the host list at the address in the settings.
    ///
    /// # Errors
    ///
    /// Fails if the HTTP client cannot be built.
    pub fn new(settings: &PlatformSettings) -> reqwest::Result<Self> {
        Ok(Self { client: build_client(settings)?, address: settings.hosts, timeout: settings.call_timeout })
    }
}

#[async_trait]
impl HostList for HttpHostList {
    async fn hosts(&self) -> Result<BTreeMap<String, HostState>, CallError> {
        let call = CallContext { step: "host list", peer: self.address.to_string() };
        let url = format!("http://{}/hosts", self.address);
        let entries: BTreeMap<String, Box<RawValue>> =
            call.send_json(self.client.get(url).timeout(self.timeout)).await?;
        let decode = |(name, value): (String, Box<RawValue>)| match serde_json::from_str(value.get()) {
            Ok(state) => Some((name, state)),
            Err(error) => {
                log::warn!("host list: the entry of {name:?} does not decode: {error}");
                None
            }
        };
        Ok(entries.into_iter().filter_map(decode).collect())
    }
}
