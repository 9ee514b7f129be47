//! Records, events and actions of the job duty, and the messages between a coordinator and shard owners.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::{
    Attempt, Epoch, Incarnation, JobId, PartitionId, ShardId, TaskId, TaskIndex, TeamId, WorkerId, ZoneId,
};
use crate::ownership::Grant;
use crate::unit::Resources;

/// Scheduling class of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobKind {
    /// Long-running tasks, restarted whenever they exit.
    Service,
    /// Independent tasks that run to completion.
    Batch,
    /// Tasks that must all run at the same time.
    Gang,
}

/// Job priority; a higher value is scheduled first and may preempt a lower one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Priority(pub u8);

impl fmt::Display for Priority {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Job specification as submitted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// Identifier chosen by the submitter; repeated submissions with the same id are ignored.
    pub id: JobId,
    /// Scheduling class, which also decides whether tasks are restarted.
    pub kind: JobKind,
    /// Team whose quota is charged.
    pub team: TeamId,
    /// Scheduling priority, 0 to 255.
    pub priority: Priority,
    /// Number of tasks, indexed from 0.
    pub tasks: u32,
    /// Resources declared for each task.
    pub resources: Resources,
    /// Expected run time in milliseconds; only a hint.
    #[serde(default)]
    pub runtime_ms: Option<u64>,
    /// Failed attempts of one task after which the job fails; services have no limit.
    #[serde(default = "default_attempts")]
    pub attempts: u32,
}

/// Default for [`JobSpec::attempts`].
pub const DEFAULT_ATTEMPTS: u32 = 5;

const fn default_attempts() -> u32 {
    DEFAULT_ATTEMPTS
}

/// Record of the `jobs` stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobRecord {
    /// Job was accepted; later records with the same id are ignored.
    Submitted(JobSpec),
    /// Cancellation of a job was requested.
    Cancelled {
        /// Job to cancel.
        job: JobId,
    },
    /// Tasks succeeded and must not be started again.
    TasksDone {
        /// Task indices by job.
        tasks: BTreeMap<JobId, BTreeSet<TaskIndex>>,
    },
    /// One job ended.
    Finished {
        /// Job that ended.
        job: JobId,
        /// Outcome of the job.
        end: JobEnd,
    },
    /// Several jobs ended, for example after a batch of cancellations.
    Ended {
        /// Outcome by job.
        jobs: BTreeMap<JobId, JobEnd>,
    },
    /// Log marker; once a coordinator reads its own marker back, it has read all earlier records.
    Mark {
        /// Incarnation of the coordinator's process.
        by: Incarnation,
        /// Marker number, increasing within an incarnation.
        number: u64,
    },
    /// State after all records up to and including `through`.
    Snapshot(Box<super::JobSnapshot>),
}

/// Outcome of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobEnd {
    /// All tasks succeeded.
    Succeeded,
    /// A task failed as often as [`JobSpec::attempts`] allows.
    Failed {
        /// Failed task and its number of failures, for the submitter.
        reason: String,
    },
    /// Job was cancelled and none of its tasks is running.
    Cancelled,
}

/// Job state as reported by the status interface.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStatus {
    /// Identifier chosen by the submitter.
    pub job: JobId,
    /// `waiting`, `running`, `suspended`, `cancelling` or `finished`.
    pub state: String,
    /// Why the job waits, or its outcome once finished.
    pub reason: Option<String>,
    /// Number of running tasks.
    pub running: u32,
    /// Number of tasks that succeeded.
    pub done: u32,
    /// Total number of tasks.
    pub tasks: u32,
    /// Worker of each running task; empty unless reported by the job's coordinator.
    pub placed: BTreeMap<TaskIndex, WorkerId>,
}

/// Request from a coordinator to a shard owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardRequest {
    /// Partition that the sender coordinates.
    pub partition: PartitionId,
    /// Epoch of the partition lease; owners reject requests with an epoch below the highest seen.
    pub epoch: Epoch,
    /// Shard that the request applies to.
    pub shard: ShardId,
    /// Requested operation.
    pub body: ShardRequestBody,
}

/// Operation that a coordinator requests from a shard owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ShardRequestBody {
    /// Lists all tasks of the partition's teams and fences earlier coordinators.
    List,
    /// Reserves resources for tasks.
    Reserve {
        /// Reservation number, echoed in the reply.
        reservation: u64,
        /// Tasks to place.
        tasks: Vec<TaskRequest>,
        /// Whether a reservation of only some of the tasks is acceptable.
        partial: bool,
        /// Lifetime after which the owner drops the reservation.
        lifetime: Duration,
    },
    /// Starts the tasks of a reservation.
    Commit {
        /// Number of the reservation to start.
        reservation: u64,
    },
    /// Releases a reservation.
    Release {
        /// Number of the reservation to release.
        reservation: u64,
    },
    /// Stops attempts; idempotent.
    Stop {
        /// Attempts to stop.
        tasks: Vec<(TaskId, Attempt)>,
    },
    /// Acknowledges ended attempts, so that workers may discard their state.
    Acknowledge {
        /// Attempts to discard.
        tasks: Vec<(TaskId, Attempt)>,
    },
}

/// Placement request for one attempt of a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRequest {
    /// Task to place.
    pub task: TaskId,
    /// Attempt to start, unique per task.
    pub attempt: Attempt,
    /// Team whose quota is charged.
    pub team: TeamId,
    /// Scheduling class of the job.
    pub kind: JobKind,
    /// Scheduling priority of the job.
    pub priority: Priority,
    /// Resources declared for the task.
    pub resources: Resources,
    /// Workers on which this task failed before.
    pub avoid: BTreeSet<WorkerId>,
}

/// Reply or report from a shard owner to a coordinator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardReply {
    /// Partition that the receiver coordinates.
    pub partition: PartitionId,
    /// Shard that the reply comes from.
    pub shard: ShardId,
    /// Epoch of the sender's shard lease.
    pub epoch: Epoch,
    /// Reported change or result.
    pub body: ShardReplyBody,
}

/// Change or result that a shard owner reports to a coordinator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ShardReplyBody {
    /// Tasks of the partition's teams on the shard; answers [`ShardRequestBody::List`].
    Tasks {
        /// Reports of the known attempts.
        tasks: Vec<TaskReport>,
        /// Whether the list covers every task of the partition that may run on the shard.
        complete: bool,
        /// Free and total capacity of the shard, used to choose a shard for a task.
        capacity: ShardCapacity,
    },
    /// Reservation succeeded, possibly for some of the tasks only.
    Reserved {
        /// Number given in the request.
        reservation: u64,
        /// Worker of each reserved task.
        placed: Vec<(TaskId, WorkerId)>,
    },
    /// Reservation was refused or no longer exists.
    Refused {
        /// Number given in the request.
        reservation: u64,
        /// Why it was refused.
        reason: WaitReason,
    },
    /// An attempt changed its state.
    Changed(TaskReport),
    /// Attempts that do not run on the shard and never will.
    Absent {
        /// Attempts confirmed as absent.
        tasks: Vec<(TaskId, Attempt)>,
    },
}

/// State of one attempt on a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskReport {
    /// Task of the attempt.
    pub task: TaskId,
    /// Attempt that the report is about.
    pub attempt: Attempt,
    /// Team whose quota is charged.
    pub team: TeamId,
    /// Resources declared for the task.
    pub resources: Resources,
    /// Worker that holds the attempt.
    pub worker: WorkerId,
    /// Last state known to the shard owner.
    pub state: TaskState,
}

/// Lifecycle state of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskState {
    /// Start was sent and is not confirmed yet.
    Starting,
    /// Running under a lease.
    Running,
    /// Exited with success.
    Succeeded,
    /// Exited with a failure.
    Failed,
    /// Stopped on request or by preemption.
    Stopped,
    /// Lease expired; the attempt is no longer running.
    Lapsed,
}

impl TaskState {
    /// Returns whether the state is final.
    #[must_use]
    pub const fn is_ended(self) -> bool {
        matches!(self, Self::Succeeded | Self::Failed | Self::Stopped | Self::Lapsed)
    }
}

/// Free and total capacity of a shard.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardCapacity {
    /// Free resources, summed over all workers.
    pub free_total: Resources,
    /// Largest free amount of each resource on any one worker.
    pub free_largest: Resources,
    /// Capacity, summed over all workers.
    pub total: Resources,
    /// Capacity of the largest worker.
    pub largest_worker: Resources,
}

/// Reason why a job or task is waiting.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WaitReason {
    /// No worker has enough free capacity at present.
    NoRoom,
    /// Task or gang exceeds the capacity of the workers and can never run.
    LargerThanWorkers,
    /// The team's quota is used up.
    Quota,
    /// Task or gang exceeds the team's quota and can never run.
    LargerThanQuota,
    /// Not all tasks of the gang can be placed at once.
    GangIncomplete,
    /// Shard has no owner, or the owner's lease does not permit starting tasks.
    NoOwner,
    /// Coordinator is waiting for inventories after a takeover.
    Recovering,
    /// An earlier attempt may still be running.
    EarlierAttempt,
    /// Job is suspended because its tasks fail on several workers.
    Suspended,
    /// Reservation is unknown or has expired.
    ReservationExpired,
    /// Request came from a coordinator that has been replaced.
    StaleCoordinator,
}

impl fmt::Display for WaitReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NoRoom => "no worker has room now",
            Self::LargerThanWorkers => "task or gang is larger than the workers; it can never run",
            Self::Quota => "quota of the team is used up",
            Self::LargerThanQuota => "task or gang exceeds the team's quota; it can never run",
            Self::GangIncomplete => "not all tasks of the gang have room at once",
            Self::NoOwner => "no shard owner may start tasks now",
            Self::Recovering => "coordinator waits for inventories after a takeover",
            Self::EarlierAttempt => "an earlier attempt may still run",
            Self::Suspended => "suspended: its tasks fail on several workers",
            Self::ReservationExpired => "reservation is unknown or has expired",
            Self::StaleCoordinator => "coordinator was replaced",
        })
    }
}

/// Input of the coordinator duty.
#[derive(Debug, Clone)]
pub enum CoordinatorEvent {
    /// Lease on a partition was granted or renewed.
    Granted {
        /// Partition to coordinate.
        partition: PartitionId,
        /// Lease with its epoch and expiry.
        grant: Grant,
    },
    /// Lease on a partition ended.
    Lost {
        /// Partition that is no longer owned.
        partition: PartitionId,
        /// Highest epoch that has ended; a grant with a higher epoch stays valid.
        epoch: Epoch,
    },
    /// A record of the `jobs` stream was folded.
    Record(JobRecord),
    /// An append succeeded; the record is folded later, when it is read.
    Appended {
        /// Ticket of the [`CoordinatorAction::Append`].
        ticket: u64,
    },
    /// An append failed and will never take effect.
    AppendFailed {
        /// Ticket of the [`CoordinatorAction::Append`].
        ticket: u64,
    },
    /// Configuration was loaded or changed.
    Settings(CoordinatorSettings),
    /// A shard's owner changed, according to the fold of ownership records.
    Owner {
        /// Shard whose owner changed.
        shard: ShardId,
        /// New owner and its epoch, if any.
        owner: Option<(Incarnation, Epoch)>,
    },
    /// A shard owner replied.
    Reply {
        /// Incarnation of the sender.
        from: Incarnation,
        /// Reply or report.
        reply: ShardReply,
    },
    /// Periodic timer.
    Tick,
}

/// Settings of the coordinator duty, derived from the configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct CoordinatorSettings {
    /// Quota by team; a team without an entry is unlimited.
    pub quotas: BTreeMap<TeamId, Resources>,
    /// Configured services, as jobs.
    pub services: BTreeMap<JobId, JobSpec>,
    /// All configured shards.
    pub shards: BTreeSet<ShardId>,
    /// Zone of each shard, used to spread services; a shard without an entry is a zone of its own.
    pub zones: BTreeMap<ShardId, ZoneId>,
}

/// Output of the coordinator duty.
#[derive(Debug, Clone, PartialEq)]
pub enum CoordinatorAction {
    /// Append a record to the `jobs` stream.
    Append {
        /// Number echoed in the result.
        ticket: u64,
        /// Record to append.
        record: JobRecord,
    },
    /// Send a request to a shard owner, which may be this host.
    Send {
        /// Incarnation of the owner.
        to: Incarnation,
        /// Request to send.
        request: ShardRequest,
        /// Local time after which the request must not be sent.
        until: crate::unit::Timestamp,
    },
    /// Write a line to the decision log.
    Decision {
        /// Job that the decision is about.
        job: JobId,
        /// Decision and its reason, as free text.
        text: String,
    },
}
