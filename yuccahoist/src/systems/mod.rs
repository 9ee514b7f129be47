//! Interfaces of the platform.
//!
//! The platform gives a log service, workers that run tasks, backend servers and a host list. Each is a trait object
//! here, so that the product runs against the published HTTP interfaces and tests run against fakes.

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
    EPOCH, HttpBackendServer, HttpHostList, HttpWorkers, REJECTED, REQUEST_ID, RUN_LIMIT, START_BEFORE,
};
pub use self::table::{WorkerAddress, WorkerTable};

/// Records read from a stream.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReadBatch {
    /// Earliest offset that the service still keeps.
    pub earliest: Offset,
    /// Offset after the last record of the stream when it was read.
    pub end: Offset,
    /// Records with their offsets, in order.
    pub records: Vec<(Offset, Bytes)>,
}

/// Failure of a call to the platform or a peer.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum CallError {
    /// Nothing was sent, so nothing took effect.
    #[error("{step} at {peer}: not sent: {reason}")]
    NotSent {
        /// What was attempted.
        step: &'static str,
        /// Address or name of the other side.
        peer: String,
        /// Reason.
        reason: String,
    },
    /// The other side answered that it did not do it.
    #[error("{step} at {peer}: rejected: {reason}")]
    Rejected {
        /// What was attempted.
        step: &'static str,
        /// Address or name of the other side.
        peer: String,
        /// Reason.
        reason: String,
    },
    /// It is not known whether it took effect.
    #[error("{step} at {peer}: outcome unknown: {reason}")]
    Unknown {
        /// What was attempted.
        step: &'static str,
        /// Address or name of the other side.
        peer: String,
        /// Reason.
        reason: String,
    },
}

/// Append-only log with offsets.
#[async_trait]
pub trait LogService: fmt::Debug + Send + Sync {
    /// Appends a record and returns its offset.
    ///
    /// # Errors
    ///
    /// `Unknown` means that the record may have been appended, or may be appended later.
    async fn append(&self, stream: StreamName, record: Bytes) -> Result<Offset, CallError>;

    /// Reads records from an offset, waiting up to `wait` for the first one.
    ///
    /// # Errors
    ///
    /// Fails when the service does not answer.
    async fn read(&self, stream: StreamName, from: Offset, wait: Duration) -> Result<ReadBatch, CallError>;
}

/// Workers that run tasks under leases.
#[async_trait]
pub trait WorkerPlatform: fmt::Debug + Send + Sync {
    /// Sends a command to a worker and returns its inventory after the command.
    ///
    /// # Errors
    ///
    /// `Unknown` means that the command may have been carried out.
    async fn command(&self, worker: &WorkerId, command: WorkerCommand) -> Result<Inventory, CallError>;
}

/// Bounds that a dispatch carries to the backend server, which may check them but need not.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DispatchBounds {
    /// Shard epoch of the sender.
    pub epoch: Epoch,
    /// Wall-clock time after which the request should not start.
    pub start_before: WallTime,
    /// Time after which the backend server gives up.
    pub run_limit: Duration,
}

/// Backend servers on workers.
#[async_trait]
pub trait BackendServer: fmt::Debug + Send + Sync {
    /// Sends a request and returns the whole answer.
    ///
    /// # Errors
    ///
    /// `NotSent` when no byte left; `Rejected` when the backend server states that it did not run the request.
    async fn call(
        &self,
        worker: &WorkerId,
        request: &Request,
        bounds: DispatchBounds,
    ) -> Result<Answer, CallError>;
}

/// State of a host on the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostState {
    /// Takes work.
    Live,
    /// Leaves; gets no new work.
    Leaving,
}

/// Platform's list of live and leaving hosts, which lags.
#[async_trait]
pub trait HostList: fmt::Debug + Send + Sync {
    /// Current list, by host or worker name.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer.
    async fn hosts(&self) -> Result<BTreeMap<String, HostState>, CallError>;
}
