//! Interfaces of the systems around a host: store, workers, recommendation, registry.
//!
//! An adapter implements them for a platform; tests implement them in memory.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use thiserror::Error;

use super::id::{Epoch, Life, StepKey, TaskName};
use super::message::{OrderError, Report, WorkerEntry};
use super::record::{Entry, Ownership};
use super::spec::JobSpec;

/// Reason why a call to the store failed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum StoreError {
    /// No answer; the call may have been executed, or may be later.
    #[error("the store did not answer {step}: {detail}")]
    Silent {
        /// Call.
        step: &'static str,
        /// Cause.
        detail: String,
    },
    /// The store refused and did nothing.
    #[error("the store refused {step}: {detail}")]
    Refused {
        /// Call.
        step: &'static str,
        /// Cause.
        detail: String,
    },
    /// A higher epoch has been seen.
    #[error("the store refused {step}: a higher epoch has been seen")]
    Fenced {
        /// Call.
        step: &'static str,
    },
    /// The condition of the call did not hold.
    #[error("the store refused {step}: its log ends elsewhere")]
    Moved {
        /// Call.
        step: &'static str,
    },
}

/// All newest records of the shard.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    /// Records.
    pub entries: Vec<Entry>,
    /// End of the log before the first of them was read.
    pub end: u64,
}

/// Ownership as announced to the other hosts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Announcement {
    /// Owner.
    pub ownership: Ownership,
    /// Whether the owner has given the shard up.
    pub released: bool,
}

/// The store of the shard's records.
#[async_trait]
pub trait Store: fmt::Debug + Send + Sync {
    /// Reads all newest records.
    async fn read(&self) -> Result<Snapshot, StoreError>;

    /// End of the log.
    async fn end(&self) -> Result<u64, StoreError>;

    /// Starts an epoch with an append numbered `sequence`, if the log still ends at `end`.
    async fn claim(&self, epoch: Epoch, sequence: u64, end: u64, entry: &Entry) -> Result<(), StoreError>;

    /// Appends entries in an epoch; a repeat with the same `sequence` has no further effect. Fails as silent after `limit`.
    async fn append(
        &self,
        epoch: Epoch,
        sequence: u64,
        entries: &[Entry],
        limit: Duration,
    ) -> Result<(), StoreError>;

    /// Announces an ownership.
    async fn announce(&self, announcement: &Announcement) -> Result<(), StoreError>;

    /// Newest announcement, once there is one that this method has not returned before, or none after `wait`.
    async fn announced(&self, wait: Duration) -> Result<Option<Announcement>, StoreError>;
}

/// Order to start a run.
#[derive(Debug, Clone)]
pub struct StartOrder {
    /// Worker.
    pub life: Life,
    /// Address.
    pub address: String,
    /// Task.
    pub task: TaskName,
    /// Run number.
    pub run: u32,
    /// Job, for its text.
    pub spec: Arc<JobSpec>,
    /// End of the lease on the worker's clock, milliseconds.
    pub deadline: u64,
    /// Checkpoint; empty when there is none.
    pub saved: String,
    /// Ticket, if the queue needs one.
    pub ticket: Option<String>,
}

/// Order to set the speed of a run.
#[derive(Debug, Clone)]
pub struct PaceOrder {
    /// Worker.
    pub life: Life,
    /// Address.
    pub address: String,
    /// Task.
    pub task: TaskName,
    /// Run number.
    pub run: u32,
    /// Speed, percent.
    pub share: u32,
}

/// Call that extends a lease and asks for a report.
#[derive(Debug, Clone)]
pub struct HoldOrder {
    /// Worker.
    pub life: Life,
    /// Address.
    pub address: String,
    /// End of the lease on the worker's clock, milliseconds; none leaves it as it is.
    pub deadline: Option<u64>,
    /// Last end that is stored.
    pub last: u64,
    /// How long the worker may wait for an end.
    pub wait: Duration,
}

/// The workers.
#[async_trait]
pub trait Workers: fmt::Debug + Send + Sync {
    /// Extends the lease and asks for the runs.
    async fn hold(&self, epoch: Epoch, order: HoldOrder) -> Result<Report, OrderError>;

    /// Starts a run.
    async fn start(&self, epoch: Epoch, order: StartOrder) -> Result<(), OrderError>;

    /// Stops a run.
    async fn stop(
        &self,
        epoch: Epoch,
        life: Life,
        address: String,
        task: TaskName,
        run: u32,
    ) -> Result<(), OrderError>;

    /// Sets the speed of a run.
    async fn pace(&self, epoch: Epoch, order: PaceOrder) -> Result<(), OrderError>;
}

/// Ticket of a worker for a step.
pub type Ticket = (Arc<str>, String);

/// The service that recommends workers.
#[async_trait]
pub trait Advisor: fmt::Debug + Send + Sync {
    /// Tickets of those of `workers` that may run `step`; none when the call failed.
    async fn advise(&self, step: StepKey, workers: &[Arc<str>]) -> Option<Vec<Ticket>>;
}

/// Change of the registry of workers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RegistryChange {
    /// A worker's entry is new or changed.
    Listed(WorkerEntry),
    /// A worker's entry was removed or names no usable worker.
    Unlisted(Arc<str>),
}

/// The registry of workers.
#[async_trait]
pub trait Registry: fmt::Debug + Send + Sync {
    /// Changes since the last call of the same reader; all entries on its first call.
    async fn changes(&self) -> Result<Vec<RegistryChange>, StoreError>;

    /// Makes the next call return all entries again.
    fn restart(&self);
}
