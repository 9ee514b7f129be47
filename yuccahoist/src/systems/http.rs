//! `reqwest` clients of workers, backend servers and the host list.
//!
//! | call | request | answer |
//! | --- | --- | --- |
//! | request | `POST http://{backend}/run/{service}`, body unchanged | body unchanged, or header `yuccahoist-rejected` when it did not run |
//! | worker command | `POST http://{agent}/command`, [`WorkerCommand`] in JSON | [`Inventory`] in JSON |
//! | host list | `GET http://{hosts}/hosts` | map of name to `live` or `leaving` in JSON |
//!
//! A connection that cannot be made means that nothing was sent. Any later failure leaves the outcome unknown.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use bytes::{Bytes, BytesMut};
use reqwest::header::CONTENT_LENGTH;
use reqwest::{Client, RequestBuilder, Response};
use serde::de::DeserializeOwned;

use super::{BackendServer, CallError, DispatchBounds, HostList, HostState, WorkerPlatform, WorkerTable};
use crate::clock::{Clock, MonotonicClock};
use crate::id::WorkerId;
use crate::placement::{Inventory, WorkerCommand};
use crate::request::{Answer, Request};
use crate::settings::PlatformSettings;
use crate::unit::{Timestamp, WallTime};

/// Header with the caller's request identifier.
pub const REQUEST_ID: &str = "yuccahoist-request-id";
/// Header with the shard epoch of the sender.
pub const EPOCH: &str = "yuccahoist-epoch";
/// Header with the time after which the request should not start, milliseconds since the Unix epoch.
pub const START_BEFORE: &str = "yuccahoist-start-before";
/// Header with the time after which the backend server gives up, milliseconds.
pub const RUN_LIMIT: &str = "yuccahoist-run-limit-ms";
/// Header of an answer that states that the request did not run, with the reason.
pub const REJECTED: &str = "yuccahoist-rejected";

/// Time beyond the run limit in which the answer may still arrive.
const ANSWER_GRACE: Duration = Duration::from_millis(250);
/// Largest answer, bytes; a peer message must hold it.
const ANSWER_LIMIT: usize = 8 << 20;
/// Time after which an unused connection closes, so that earlier owners of a shard do not use up the connections of its
/// workers.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Unused connections that are kept per address: as many as a worker allows. Requests in progress are limited by slots.
const IDLE_CONNECTIONS: usize = 64;

fn client(settings: &PlatformSettings) -> reqwest::Result<Client> {
    Client::builder()
        .connect_timeout(settings.connect_timeout)
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(IDLE_CONNECTIONS)
        .redirect(reqwest::redirect::Policy::none())
        .retry(reqwest::retry::never())
        .no_proxy()
        .build()
}

/// Step and receiver of a call, for errors.
struct Call {
    step: &'static str,
    peer: String,
}

impl Call {
    fn not_sent(self, reason: &impl ToString) -> CallError {
        CallError::NotSent { step: self.step, peer: self.peer, reason: reason.to_string() }
    }

    fn rejected(self, reason: &impl ToString) -> CallError {
        CallError::Rejected { step: self.step, peer: self.peer, reason: reason.to_string() }
    }

    fn unknown(self, reason: &impl ToString) -> CallError {
        CallError::Unknown { step: self.step, peer: self.peer, reason: reason.to_string() }
    }

    fn failed(self, error: &reqwest::Error) -> CallError {
        let mut reason = error.to_string();
        let mut source = std::error::Error::source(error);
        while let Some(cause) = source {
            reason = format!("{reason}: {cause}");
            source = cause.source();
        }
        // A request that cannot be built or a connection that cannot be made sends nothing.
        if error.is_connect() || error.is_builder() { self.not_sent(&reason) } else { self.unknown(&reason) }
    }

    async fn json<T: DeserializeOwned>(self, request: RequestBuilder) -> Result<T, CallError> {
        let response = match request.send().await {
            Ok(response) => response,
            Err(error) => return Err(self.failed(&error)),
        };
        if let Some(reason) = rejection(&response) {
            return Err(self.rejected(&reason));
        }
        if !response.status().is_success() {
            return Err(self.unknown(&response.status()));
        }
        let body = match read(response).await {
            Ok(body) => body,
            Err(reason) => return Err(self.unknown(&reason)),
        };
        serde_json::from_slice(&body).map_err(|error| self.unknown(&error))
    }
}

fn rejection(response: &Response) -> Option<String> {
    let reason = response.headers().get(REJECTED)?;
    Some(String::from_utf8_lossy(reason.as_bytes()).into_owned())
}

async fn chunk(response: &mut Response) -> Result<Option<Bytes>, String> {
    response.chunk().await.map_err(|error| error.to_string())
}

/// Reads a whole body up to the limit.
async fn read(mut response: Response) -> Result<Bytes, String> {
    let too_large = || format!("answer is larger than {ANSWER_LIMIT} bytes");
    if response.content_length().is_some_and(|length| length > ANSWER_LIMIT as u64) {
        return Err(too_large());
    }
    let Some(first) = chunk(&mut response).await? else { return Ok(Bytes::new()) };
    let Some(second) = chunk(&mut response).await? else { return Ok(first) };
    let mut body = BytesMut::from(first);
    body.extend_from_slice(&second);
    while let Some(part) = chunk(&mut response).await? {
        if body.len() + part.len() > ANSWER_LIMIT {
            return Err(too_large());
        }
        body.extend_from_slice(&part);
    }
    Ok(body.freeze())
}

/// Body that is given out only until a time, on a clock that counts suspended time.
///
/// The task of the connection asks for the body immediately before it writes the head and the body together. A process
/// that was paused while the request waited for that task therefore sends no whole request late.
fn timed_body(request: RequestBuilder, body: Bytes, start_before: WallTime) -> RequestBuilder {
    let length = body.len();
    let clock = MonotonicClock::new();
    let left = Duration::from_millis(start_before.as_millis().saturating_sub(clock.wall().as_millis()));
    let body = futures::stream::once(async move {
        if clock.now() < Timestamp::ZERO + left {
            Ok(body)
        } else {
            Err(std::io::Error::new(
                std::io::ErrorKind::TimedOut,
                "the time limit of the dispatch has passed",
            ))
        }
    });
    let request = request.body(reqwest::Body::wrap_stream(body));
    // Without a length, an empty body is complete only at its last chunk, which the body above gives.
    if length == 0 { request } else { request.header(CONTENT_LENGTH, length) }
}

/// Backend servers by HTTP.
#[derive(Debug, Clone)]
pub struct HttpBackendServer {
    client: Client,
    table: WorkerTable,
}

impl HttpBackendServer {
    /// Client for the backend servers in a table.
    ///
    /// # Errors
    ///
    /// Fails when no client can be made.
    pub fn new(table: WorkerTable, settings: &PlatformSettings) -> reqwest::Result<Self> {
        Ok(Self { client: client(settings)?, table })
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
        let call = Call { step: "request", peer: worker.to_string() };
        let Some(address) = self.table.get(worker) else {
            return Err(call.not_sent(&"address is not known"));
        };
        let sent = self
            .client
            .post(format!("http://{}/run/{}", address.backend, request.service))
            .header(REQUEST_ID, request.id.to_string())
            .header(EPOCH, bounds.epoch.0)
            .header(START_BEFORE, bounds.start_before.as_millis())
            .header(RUN_LIMIT, u64::try_from(bounds.run_limit.as_millis()).unwrap_or(u64::MAX))
            .timeout(bounds.run_limit.saturating_add(ANSWER_GRACE));
        let sent = timed_body(sent, request.body.clone(), bounds.start_before).send().await;
        let response = match sent {
            Ok(response) => response,
            Err(error) => return Err(call.failed(&error)),
        };
        if let Some(reason) = rejection(&response) {
            return Err(call.rejected(&reason));
        }
        let status = response.status().as_u16();
        match read(response).await {
            Ok(body) => Ok(Answer { status, body }),
            Err(reason) => Err(call.unknown(&reason)),
        }
    }
}

/// Task side of workers by HTTP.
#[derive(Debug, Clone)]
pub struct HttpWorkers {
    client: Client,
    table: WorkerTable,
    timeout: Duration,
}

impl HttpWorkers {
    /// Client for the workers in a table.
    ///
    /// # Errors
    ///
    /// Fails when no client can be made.
    pub fn new(table: WorkerTable, settings: &PlatformSettings) -> reqwest::Result<Self> {
        Ok(Self { client: client(settings)?, table, timeout: settings.call_timeout })
    }
}

#[async_trait]
impl WorkerPlatform for HttpWorkers {
    async fn command(&self, worker: &WorkerId, command: WorkerCommand) -> Result<Inventory, CallError> {
        let call = Call { step: "worker command", peer: worker.to_string() };
        let Some(address) = self.table.get(worker) else {
            return Err(call.not_sent(&"address is not known"));
        };
        let url = format!("http://{}/command", address.agent);
        call.json(self.client.post(url).timeout(self.timeout).json(&command)).await
    }
}

/// Host list by HTTP.
#[derive(Debug, Clone)]
pub struct HttpHostList {
    client: Client,
    address: SocketAddr,
    timeout: Duration,
}

impl HttpHostList {
    /// Client for the host list in the settings.
    ///
    /// # Errors
    ///
    /// Fails when no client can be made.
    pub fn new(settings: &PlatformSettings) -> reqwest::Result<Self> {
        Ok(Self { client: client(settings)?, address: settings.hosts, timeout: settings.call_timeout })
    }
}

#[async_trait]
impl HostList for HttpHostList {
    async fn hosts(&self) -> Result<BTreeMap<String, HostState>, CallError> {
        let call = Call { step: "host list", peer: self.address.to_string() };
        let url = format!("http://{}/hosts", self.address);
        call.json(self.client.get(url).timeout(self.timeout)).await
    }
}
