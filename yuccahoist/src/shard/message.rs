//! Events and actions of the owner of a shard.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::id::{Epoch, JobKey, Life, StepKey, TaskName};
use super::record::{Entry, JobState};
use super::spec::JobSpec;
use crate::unit::{Resources, Timestamp};

/// Call of a caller that waits for an answer, numbered by the host that took it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CallId {
    /// Connection over which the call came; 0 is the owner's own host.
    pub link: u64,
    /// Number on that connection.
    pub number: u64,
}

/// Request of a caller about a job or a queue.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// Accept a job.
    Submit(JobKey, Arc<JobSpec>),
    /// State of a job.
    Query(JobKey),
    /// Cancel a job.
    Cancel(JobKey),
    /// Number of jobs of a queue that have not begun.
    Count(String),
}

/// Why a request was not carried out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// More work waits than can be done in time.
    Overload,
    /// The store does not answer, so nothing can be accepted.
    StoreDown,
    /// No host owns the shard, or the one that does can't confirm it.
    NoOwner,
    /// The host is stopping or has no configuration.
    NotReady,
}

/// Answer to a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The job is stored.
    Accepted,
    /// State of the job.
    State(JobState),
    /// The job is cancelled, or had ended before.
    Cancelled,
    /// Number of jobs that have not begun.
    Waiting(u64),
    /// There is no such job.
    Unknown,
    /// Not carried out, and it never will be by this call.
    Refused {
        /// Cause.
        cause: Refusal,
        /// When to come back.
        retry: Duration,
    },
    /// The outcome is not known; the same request may be sent again.
    Unclear,
    /// The request can never be carried out.
    Invalid(String),
}

/// What a worker says of itself in the registry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerEntry {
    /// Incarnation.
    pub life: Life,
    /// Service.
    pub service: Arc<str>,
    /// Address.
    pub address: String,
    /// Availability zone.
    pub zone: String,
    /// Rack, if it names one.
    pub rack: Option<Arc<str>>,
    /// Labels.
    pub labels: Arc<[String]>,
    /// Capacity.
    pub capacity: Resources,
    /// Whether it is leaving.
    pub draining: bool,
    /// Least time until it leaves, while it is leaving.
    pub remaining: Option<Duration>,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndKind {
    /// Done.
    Done,
    /// Failed by its own fault or the worker's.
    Failed,
    /// Stopped on order.
    Stopped,
    /// Its lease expired.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not come.
    Alone,
}

/// Run that is at work on a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ActiveRun {
    /// Task.
    pub task: TaskName,
    /// Run number.
    pub run: u32,
    /// Last checkpoint; empty when there is none.
    pub saved: String,
    /// Part done, percent.
    pub percent: u32,
    /// Tail of response times in milliseconds for a task that serves, else processors in use.
    pub load: u64,
}

/// Run that ended on a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedRun {
    /// Number of the end on this incarnation, from 1.
    pub number: u64,
    /// Task.
    pub task: TaskName,
    /// Run number.
    pub run: u32,
    /// How it ended.
    pub kind: EndKind,
    /// Last checkpoint; empty when there is none.
    pub saved: String,
}

/// Report of a worker on its runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// Start of the incarnation that answered.
    pub born: Option<u64>,
    /// The worker's clock, milliseconds.
    pub clock: u64,
    /// Runs at work.
    pub active: Vec<ActiveRun>,
    /// Ends that the worker may not forget yet.
    pub ended: Vec<EndedRun>,
}

/// Why an order to a worker had no effect that can be relied on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderError {
    /// No answer; the order may have been executed, or may be later.
    Silent,
    /// Another incarnation answered.
    OtherLife,
    /// A higher epoch has been seen.
    Fenced,
    /// The run number is not above one that ended there.
    Old,
    /// The deadline has passed.
    Late,
    /// No room.
    Room,
    /// The ticket does not hold.
    Ticket,
    /// The worker is unhealthy and did nothing.
    Unhealthy,
    /// The order is not valid.
    Invalid,
}

/// Event for the owner.
#[derive(Debug)]
pub enum Event {
    /// A caller's request.
    Call(CallId, Request),
    /// A worker's registry entry changed.
    Worker(WorkerEntry),
    /// A worker's registry entry was removed.
    WorkerGone(Arc<str>),
    /// The batch in flight is stored.
    Stored,
    /// Answer to [`Action::Hold`].
    Held(Life, Result<Report, OrderError>),
    /// Answer to [`Action::Start`].
    Started(TaskName, u32, Life, Result<(), OrderError>),
    /// Answer to [`Action::Stop`].
    Stopped(TaskName, u32, Life, Result<(), OrderError>),
    /// Answer to [`Action::Pace`].
    Paced(TaskName, u32, Life, Result<(), OrderError>),
    /// Answer to [`Action::Advise`]: tickets by worker, or none when the call failed.
    Advised(StepKey, Vec<Life>, Option<Vec<(Arc<str>, String)>>),
    /// Time passed.
    Tick,
}

/// I/O that the owner asks for.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Answer a call.
    Reply(CallId, Answer),
    /// Store a batch; [`Event::Stored`] follows.
    Append(Vec<Entry>),
    /// Extend the lease of a worker and ask for its report.
    Hold {
        /// Worker.
        life: Life,
        /// Address.
        address: String,
        /// End of the lease on the worker's clock, milliseconds; none leaves it as it is.
        deadline: Option<u64>,
        /// Last end that is stored.
        last: u64,
        /// How long the worker may wait for an end.
        wait: Duration,
    },
    /// Start a run.
    Start {
        /// Worker.
        life: Life,
        /// Address.
        address: String,
        /// Task.
        task: TaskName,
        /// Run number.
        run: u32,
        /// Job, for its text.
        spec: Arc<JobSpec>,
        /// End of the lease on the worker's clock, milliseconds.
        deadline: u64,
        /// Checkpoint to resume from; empty when there is none.
        saved: String,
        /// Ticket, if the queue needs one.
        ticket: Option<String>,
    },
    /// Stop a run.
    Stop {
        /// Worker.
        life: Life,
        /// Address.
        address: String,
        /// Task.
        task: TaskName,
        /// Run number.
        run: u32,
    },
    /// Set the speed of a run.
    Pace {
        /// Worker.
        life: Life,
        /// Address.
        address: String,
        /// Task.
        task: TaskName,
        /// Run number.
        run: u32,
        /// Speed, percent.
        share: u32,
    },
    /// Ask which of `workers` may run a step.
    Advise {
        /// Step.
        step: StepKey,
        /// Workers.
        workers: Vec<Life>,
        /// Expected duration of the call.
        cost: Duration,
        /// Latest start of the step that is in time.
        latest: Timestamp,
    },
    /// A worker has seen a higher epoch: this owner is replaced.
    Deposed(Epoch),
}
