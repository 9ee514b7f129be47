//! Interfaces to the platform: log service, workers, backend servers and host list.
//!
//! Each one is a trait, implemented over the platform's published HTTP interfaces. Tests use fakes instead.

mod http;
mod log;
mod table;

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use thiserror::Error;

pub use self::log::{AppendReply, HttpLog, LogTimeouts, ReadReply, RecordReply};
use crate::id::{Epoch, Offset, WorkerId};
use crate::placement::{Inventory, WorkerCommand};
use crate::request::{Answer, Request};
use crate::stream::StreamName;
use crate::unit::WallTime;

pub use self::http::{
    EPOCH_HEADER, HttpBackendServer, HttpHostList, HttpWorkers, REJECTED_HEADER, REQUEST_ID_HEADER,
    RUN_LIMIT_HEADER, START_BEFORE_HEADER,
};
pub use self::table::{WorkerAddress, WorkerTable};

/// Result of one read of a stream.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReadBatch {
    /// Earliest offset that is not truncated.
    pub earliest: Offset,
    /// Offset after the last record of the stream at the time of the read.
    pub end: Offset,
    /// Records in offset order; may stop before `end`.
    pub records: Vec<(Offset, Bytes)>,
}

/// Failed call to the platform or a peer, by what is known about its effect.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum CallError {
    /// The request was not sent, so it had no effect.
    #[error("{step} at {peer}: not sent: {reason}")]
    NotSent {
        /// Operation that failed, such as `append`.
        step: &'static str,
        /// Address or name of the peer.
        peer: String,
        /// Text of the underlying error or response.
        reason: String,
    },
    /// The peer rejected the request, so it had no effect.
    #[error("{step} at {peer}: rejected: {reason}")]
    Rejected {
        /// Operation that failed, such as `append`.
        step: &'static str,
        /// Address or name of the peer.
        peer: String,
        /// Text of the underlying error or response.
        reason: String,
    },
    /// The request may have taken effect, or may still do so.
    #[error("{step} at {peer}: outcome unknown: {reason}")]
    Unknown {
        /// Operation that failed, such as `append`.
        step: &'static str,
        /// Address or name of the peer.
        peer: String,
        /// Text of the underlying error or response.
        reason: String,
    },
}

/// Append-only log of records, addressed by stream and offset.
#[async_trait]
pub trait LogService: fmt::Debug + Send + Sync {
    /// Appends a record and returns its offset.
    ///
    /// # Errors
    ///
    /// With [`CallError::Unknown`], the record may have been appended or may be appended later.
    async fn append(&self, stream: StreamName, record: Bytes) -> Result<Offset, CallError>;

    /// Reads the records at and after `from`. If there are none, waits up to `wait` for the first one.
    ///
    /// # Errors
    ///
    /// Fails if the service is unresponsive or its response cannot be decoded.
    async fn read(&self, stream: StreamName, from: Offset, wait: Duration) -> Result<ReadBatch, CallError>;
}

/// Agents of workers, which run tasks under leases.
#[async_trait]
pub trait WorkerPlatform: fmt::Debug + Send + Sync {
    /// Sends a command to a worker and returns its inventory after the command.
    ///
    /// # Errors
    ///
    /// With [`CallError::Unknown`], the worker may have executed the command.
    async fn command(&self, worker: &WorkerId, command: WorkerCommand) -> Result<Inventory, CallError>;
}

/// Limits sent along with a dispatch. Backend servers are not required to enforce them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DispatchBounds {
    /// Epoch of the sender's lease on the shard, for fencing.
    pub epoch: Epoch,
    /// Wall-clock deadline for the start of the request.
    pub start_before: WallTime,
    /// Time after which the backend server aborts the request.
    pub run_limit: Duration,
}

/// Backend servers, which run the requests dispatched to workers.
#[async_trait]
pub trait BackendServer: fmt::Debug + Send + Sync {
    /// Sends a request and returns the complete response.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::NotSent`] if the request was not sent, [`CallError::Rejected`] if the backend server states
    /// that it did not run the request, and [`CallError::Unknown`] otherwise.
    async fn call(
        &self,
        worker: &WorkerId,
        request: &Request,
        bounds: DispatchBounds,
    ) -> Result<Answer, CallError>;
}

/// State of a host in the platform's host list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostState {
    /// Accepts work.
    Live,
    /// Draining: receives no new work.
    Leaving,
}

/// Platform's list of live and leaving hosts. It lags behind the actual state.
#[async_trait]
pub trait HostList: fmt::Debug + Send + Sync {
    /// Returns the current list by host or worker name.
    ///
    /// # Errors
    ///
    /// Fails if the platform is unresponsive or its response cannot be decoded.
    async fn hosts(&self) -> Result<BTreeMap<String, HostState>, CallError>;
}
