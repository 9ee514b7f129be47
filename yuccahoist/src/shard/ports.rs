//! Interfaces to the systems around a host: store, workers, recommendation service and registry.
//!
//! An adapter implements them for a platform, and tests implement them in memory.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use thiserror::Error;

use super::id::{Epoch, Fence, StepKey, TaskKey, WorkerIncarnation};
use super::lease::ClockRange;
use super::message::{OrderError, Report, Unlisting, WorkerEntry};
use super::record::{Entry, Ownership};
use super::spec::JobSpec;
use crate::unit::Bytes;

/// Error of a call to the store.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum StoreError {
    /// The store did not answer; the call may have been executed, or may still be.
    #[error("the store did not answer {step}: {detail}")]
    Silent {
        /// Name of the call.
        step: &'static str,
        /// Error of the connection.
        detail: String,
    },
    /// The store refused the call, which had no effect.
    #[error("the store refused {step}: {detail}")]
    Refused {
        /// Name of the call.
        step: &'static str,
        /// Status or reason in the answer.
        detail: String,
    },
    /// The store has seen a higher epoch; the call had no effect.
    #[error("the store refused {step}: it has seen a higher epoch")]
    Fenced {
        /// Name of the call.
        step: &'static str,
    },
    /// The log does not end where the call requires it; the call had no effect.
    #[error("the store refused {step}: the log has another end than expected")]
    Conflict {
        /// Name of the call.
        step: &'static str,
    },
}

/// Newest record of each key of the shard.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    /// Records, one for each key.
    pub entries: Vec<Entry>,
    /// End of the log before the first record was read; records appended after it may be included.
    pub log_end: u64,
}

/// Ownership as it is announced to the other hosts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Announcement {
    /// Owner with its epoch.
    pub ownership: Ownership,
    /// Whether the owner has released the shard, so that another host may claim it at once.
    pub released: bool,
}

/// Store of the shard's records and of the owners' announcements.
#[async_trait]
pub trait Store: fmt::Debug + Send + Sync {
    /// Reads the newest record of each key.
    async fn read(&self) -> Result<Snapshot, StoreError>;

    /// Returns the end of the log.
    async fn end(&self) -> Result<u64, StoreError>;

    /// Starts `epoch` with an append of `entry` numbered `sequence`, on condition that the log still ends at `end`.
    async fn claim(&self, epoch: Epoch, sequence: u64, end: u64, entry: &Entry) -> Result<(), StoreError>;

    /// Returns the most bytes that the records of one append may take, without limit by default.
    fn max_append(&self) -> Bytes {
        Bytes(u64::MAX)
    }

    /// Appends entries in `epoch`; a repeat with the same `sequence` has no further effect.
    ///
    /// Fails with [`StoreError::Silent`] when the store has not answered within `limit`.
    async fn append(
        &self,
        epoch: Epoch,
        sequence: u64,
        entries: &[Entry],
        limit: Duration,
    ) -> Result<(), StoreError>;

    /// Announces an ownership, or its release, to all hosts.
    async fn announce(&self, announcement: &Announcement) -> Result<(), StoreError>;

    /// Waits for an announcement newer than the last one returned; `None` if there is none within `wait`.
    async fn next_announcement(&self, wait: Duration) -> Result<Option<Announcement>, StoreError>;
}

/// Order that starts a run.
#[derive(Debug, Clone)]
pub struct StartOrder {
    /// Worker incarnation that the order is for.
    pub incarnation: WorkerIncarnation,
    /// Address of the worker.
    pub address: String,
    /// Task of the run.
    pub task: TaskKey,
    /// Run number.
    pub run: u32,
    /// Specification of the job, whose payload is handed to the run.
    pub spec: Arc<JobSpec>,
    /// Deadline of the lease on the worker's clock, milliseconds.
    pub deadline: u64,
    /// What the worker's clock shows as the order is sent.
    pub clock: ClockRange,
    /// Checkpoint to resume from; empty when there is none.
    pub checkpoint: String,
    /// Ticket, if the queue needs one.
    pub ticket: Option<String>,
}

/// Order that sets the speed of a run.
#[derive(Debug, Clone)]
pub struct PaceOrder {
    /// Worker incarnation that the order is for.
    pub incarnation: WorkerIncarnation,
    /// Address of the worker.
    pub address: String,
    /// Task of the run.
    pub task: TaskKey,
    /// Run number.
    pub run: u32,
    /// Speed, percent of full speed.
    pub percent: u32,
}

/// Order that extends a lease and requests a report.
#[derive(Debug, Clone)]
pub struct LeaseOrder {
    /// Worker incarnation that the order is for.
    pub incarnation: WorkerIncarnation,
    /// Address of the worker.
    pub address: String,
    /// Deadline of the lease on the worker's clock, milliseconds; `None` does not extend it.
    pub deadline: Option<u64>,
    /// Highest number of an ended run that is stored; the worker drops the ends up to it. 0 if the worker has dropped them.
    pub acked_end: u64,
    /// How long the worker may delay its answer until a run ends.
    pub wait: Duration,
}

/// Client for orders to workers; each order carries a fence.
#[async_trait]
pub trait Workers: fmt::Debug + Send + Sync {
    /// Extends the lease of a worker and returns its report.
    async fn extend_lease(&self, fence: Fence, order: LeaseOrder) -> Result<Report, OrderError>;

    /// Starts a run; `Ok` once the worker has confirmed it, [`OrderError::OtherClock`] if another incarnation has.
    async fn start(&self, fence: Fence, order: StartOrder) -> Result<(), OrderError>;

    /// Stops a run; `Ok` once the worker has confirmed the order, while its end is only in a report.
    async fn stop(
        &self,
        fence: Fence,
        incarnation: WorkerIncarnation,
        address: String,
        task: TaskKey,
        run: u32,
    ) -> Result<(), OrderError>;

    /// Sets the speed of a run that uses leftover CPU.
    async fn set_pace(&self, fence: Fence, order: PaceOrder) -> Result<(), OrderError>;
}

/// Worker id, and the ticket with which the worker may start tasks of a step.
pub type Ticket = (Arc<str>, String);

/// Client of the service that recommends workers.
#[async_trait]
pub trait RecommendationService: fmt::Debug + Send + Sync {
    /// Returns the tickets of those of `workers` that may run `step`, or `None` when the call failed.
    async fn recommend(&self, step: StepKey, workers: &[Arc<str>]) -> Option<Vec<Ticket>>;
}

/// Change in the registry of workers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RegistryChange {
    /// The entry of a worker is new or has changed.
    Listed(WorkerEntry),
    /// The entry of the worker of this id was removed or is invalid.
    Unlisted(Arc<str>, Unlisting),
}

/// Reader of the registry of workers.
#[async_trait]
pub trait Registry: fmt::Debug + Send + Sync {
    /// Returns the changes since the last call, or all entries on the first call.
    async fn changes(&self) -> Result<Vec<RegistryChange>, StoreError>;

    /// Makes the next call of [`changes`](Self::changes) return all entries again.
    fn restart(&self);
}
