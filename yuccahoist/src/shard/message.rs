//! Input and output of the owner's state machine: requests of callers, reports of workers, events and actions.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::id::{Epoch, Generation, JobKey, StepKey, TaskKey, WorkerIncarnation};
use super::lease::ClockRange;
use super::record::{Entry, JobState};
use super::request_queue::RecommendationRequest;
use super::spec::JobSpec;
use super::workspace::{WorkspaceName, WorkspaceTable};
use crate::unit::{Resources, Timestamp};

/// Identifier of a call that waits for an answer; assigned by the host that received it from the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CallId {
    /// Connection of that host to the owner; 0 for the owner's own host.
    pub link: u64,
    /// Number of the call on that connection.
    pub number: u64,
}

/// Request of a caller about a job or a queue.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// Submits a job; a repeat for a key that is known is accepted without effect.
    Submit(JobKey, Arc<JobSpec>),
    /// Reads the state of a job, for the workspace of the caller.
    Query(JobKey, Option<WorkspaceName>),
    /// Cancels a job, for the workspace of the caller.
    Cancel(JobKey, Option<WorkspaceName>),
    /// Counts the jobs of a queue that have not started.
    Count(String),
}

/// Reason for which a request was refused; all of them are temporary.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// The backlog is too large to complete the job while its result is of use.
    Overload,
    /// The store does not answer writes, or too many jobs wait to be stored.
    StoreDown,
    /// No owner is known, or the owner could not confirm its ownership recently.
    NoOwner,
    /// The host is stopping or has no configuration.
    NotReady,
}

/// Answer to a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The job is stored, so that it survives the loss of all hosts.
    Accepted,
    /// State that callers see.
    State(JobState),
    /// The job is cancelled, or had ended before; either is stored.
    Cancelled,
    /// Number of jobs of the queue that have not started.
    Waiting(u64),
    /// No job has this key, or the caller may not see it.
    Unknown,
    /// The request had no effect and will have none.
    Refused {
        /// Reason.
        cause: Refusal,
        /// Delay after which the caller should retry.
        retry: Duration,
    },
    /// The outcome is unknown; the request is idempotent and may be repeated.
    Unclear,
    /// The specification is invalid; holds the reason.
    Invalid(String),
    /// The submission has the key of a job of another workspace, and was not accepted.
    Conflict,
}

/// Registry entry of a worker, as the worker wrote it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerEntry {
    /// Incarnation that wrote the entry.
    pub incarnation: WorkerIncarnation,
    /// Service that the worker belongs to.
    pub service: Arc<str>,
    /// Address for orders; empty for a worker restored from the store until the registry lists it.
    pub address: String,
    /// Availability zone.
    pub zone: String,
    /// Rack, if the entry names one.
    pub rack: Option<Arc<str>>,
    /// Labels, which steps can require.
    pub labels: Arc<[String]>,
    /// Total resources for runs.
    pub capacity: Resources,
    /// Whether the worker drains before it leaves; it gets no new runs.
    pub draining: bool,
    /// Least time until a draining worker leaves.
    pub remaining: Option<Duration>,
}

/// Why the registry no longer lists a worker; neither reason proves that its runs have ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unlisting {
    /// The worker removed its own entry as it leaves.
    Deregistered,
    /// The entry has expired or is invalid, or the reason is unknown; the worker may still be active.
    Unexplained,
}

impl fmt::Display for Unlisting {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Deregistered => "deregistered",
            Self::Unexplained => "unexplained",
        })
    }
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndKind {
    /// The task is complete.
    Done,
    /// Failed through a fault of the task or of the worker.
    Failed,
    /// Stopped by an order.
    Stopped,
    /// The lease of the worker expired.
    Lapsed,
    /// Another member of the gang ended.
    Broken,
    /// The other members of the gang did not start in time.
    Alone,
}

/// Active run in the report of a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ActiveRun {
    /// Task of the run.
    pub task: TaskKey,
    /// Run number.
    pub run: u32,
    /// Last checkpoint of the run; empty when there is none.
    pub checkpoint: String,
    /// Progress, percent.
    pub percent: u32,
    /// Tail latency in milliseconds for a task that serves requests, else the CPU usage.
    pub load: u64,
}

/// Ended run in the report of a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedRun {
    /// Sequence number among the ended runs of the incarnation, from 1.
    pub number: u64,
    /// Task of the run.
    pub task: TaskKey,
    /// Run number.
    pub run: u32,
    /// Cause of the end.
    pub kind: EndKind,
    /// Last checkpoint of the run; empty when there is none.
    pub checkpoint: String,
}

/// Report of a worker on its runs, in answer to [`Action::ExtendLease`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// Start time of the incarnation that answered, milliseconds since the Unix epoch; `None` if it names none.
    pub started_at: Option<u64>,
    /// Reading of the worker's monotonic clock, milliseconds.
    pub clock: u64,
    /// Active runs.
    pub active: Vec<ActiveRun>,
    /// Ended runs whose end the owner has not acknowledged yet.
    pub ended: Vec<EndedRun>,
}

/// Error of an order to a worker; after [`Silent`](Self::Silent), the order may still take effect.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum OrderError {
    /// The worker is unresponsive; the order may have been executed, or may still be.
    Silent,
    /// Another worker uses the address.
    OtherIncarnation,
    /// The order was executed, but by another incarnation under the worker's id: the clock in the answer is not the worker's.
    OtherClock,
    /// The worker has seen a higher fence, of a later owner or of a call to a later incarnation.
    Fenced,
    /// A run of the task with this number or a higher one has ended on the worker.
    Old,
    /// The lease in the order had expired on arrival.
    Late,
    /// The worker lacks the resources.
    Room,
    /// The ticket is invalid or has expired.
    Ticket,
    /// The worker is unhealthy: it refused the connection or the order, which had no effect.
    Unhealthy,
    /// The worker does not accept the form of the order, or refused it for an unknown reason.
    Invalid,
}

impl OrderError {
    /// Returns the name of the error in log lines.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Silent => "Silent",
            Self::OtherIncarnation => "OtherLife",
            Self::OtherClock => "OtherClock",
            Self::Fenced => "Fenced",
            Self::Old => "Old",
            Self::Late => "Late",
            Self::Room => "Room",
            Self::Ticket => "Ticket",
            Self::Unhealthy => "Unhealthy",
            Self::Invalid => "Invalid",
        }
    }
}

impl fmt::Debug for OrderError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Input of the owner.
#[derive(Debug)]
pub enum Event {
    /// Request of a caller.
    Call(CallId, Request),
    /// Registry entry that is new or has changed.
    Worker(WorkerEntry),
    /// The registry does not list the worker of this id any more.
    WorkerUnlisted(Arc<str>, Unlisting),
    /// The store has acknowledged the batch in flight.
    Stored,
    /// Answer to [`Action::ExtendLease`], with the time at which the call was sent.
    LeaseAnswered(WorkerIncarnation, Timestamp, Result<Report, OrderError>),
    /// Answer to [`Action::Start`].
    Started(TaskKey, u32, WorkerIncarnation, Result<(), OrderError>),
    /// Answer to [`Action::Stop`].
    Stopped(TaskKey, u32, WorkerIncarnation, Result<(), OrderError>),
    /// Answer to [`Action::SetPace`].
    PaceAnswered(TaskKey, u32, WorkerIncarnation, Result<(), OrderError>),
    /// Answer to [`Action::RequestRecommendation`]: the workers of the request, and the tickets by worker or `None` for
    /// a failed call.
    Recommended(StepKey, Vec<WorkerIncarnation>, Option<Vec<(Arc<str>, String)>>),
    /// Terms of the workspaces in force at the owner's host; ignored if their version is lower than a known one.
    Workspaces(Arc<WorkspaceTable>),
    /// Runs only the time-based checks, which all other events run too.
    Tick,
}

/// I/O that the owner requests.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Answers a call.
    Reply(CallId, Answer),
    /// Appends a batch to the store; [`Event::Stored`] follows. Only one batch is in flight.
    Append(Vec<Entry>),
    /// Extends the lease of a worker and requests its report.
    ExtendLease {
        /// Worker incarnation.
        incarnation: WorkerIncarnation,
        /// Fences orders to earlier incarnations.
        generation: Generation,
        /// Address of the worker.
        address: String,
        /// Deadline of the lease on the worker's clock, milliseconds; `None` does not extend it.
        deadline: Option<u64>,
        /// Highest number of an ended run that is stored; the worker may drop the ends up to it.
        acked_end: u64,
        /// How long the worker may delay its answer until a run ends.
        wait: Duration,
        /// When the call is sent; tells its answer from those to earlier calls.
        sent: Timestamp,
    },
    /// Starts a run.
    Start {
        /// Worker incarnation.
        incarnation: WorkerIncarnation,
        /// Fences orders to earlier incarnations.
        generation: Generation,
        /// Address of the worker.
        address: String,
        /// Task of the run.
        task: TaskKey,
        /// Run number.
        run: u32,
        /// Specification of the job, whose payload is handed to the run.
        spec: Arc<JobSpec>,
        /// Deadline of the lease on the worker's clock, milliseconds.
        deadline: u64,
        /// What the worker's clock shows.
        clock: ClockRange,
        /// Checkpoint to resume from; empty when there is none.
        checkpoint: String,
        /// Ticket, if the queue needs one.
        ticket: Option<String>,
    },
    /// Stops a run.
    Stop {
        /// Worker incarnation.
        incarnation: WorkerIncarnation,
        /// Fences orders to earlier incarnations.
        generation: Generation,
        /// Address of the worker.
        address: String,
        /// Task of the run.
        task: TaskKey,
        /// Run number.
        run: u32,
    },
    /// Sets the speed of a run that uses leftover CPU.
    SetPace {
        /// Worker incarnation.
        incarnation: WorkerIncarnation,
        /// Fences orders to earlier incarnations.
        generation: Generation,
        /// Address of the worker.
        address: String,
        /// Task of the run.
        task: TaskKey,
        /// Run number.
        run: u32,
        /// Speed, percent of full speed.
        percent: u32,
    },
    /// Requests a recommendation: which of the request's workers may run its step.
    RequestRecommendation(RecommendationRequest),
    /// Ends the ownership of this epoch, because a worker has seen a higher one.
    StepDown(Epoch),
}
