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

/// Kind of work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobKind {
    /// Long-running tasks that are restarted whenever they end.
    Service,
    /// Independent tasks that end.
    Batch,
    /// Tasks that must all run at once.
    Gang,
}

/// Priority; higher goes first and may preempt lower.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Priority(pub u8);

impl fmt::Display for Priority {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Accepted job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// Submitter's identifier of the job.
    pub id: JobId,
    /// Kind of work.
    pub kind: JobKind,
    /// Team that is charged.
    pub team: TeamId,
    /// Priority, 0 to 255.
    pub priority: Priority,
    /// Number of tasks.
    pub tasks: u32,
    /// Declared resources of each task.
    pub resources: Resources,
    /// Hint of the run time, milliseconds; never a promise.
    #[serde(default)]
    pub runtime_ms: Option<u64>,
    /// Starts of one task before the job is given up.
    #[serde(default = "default_attempts")]
    pub attempts: u32,
}

/// Starts of one task by default.
pub const DEFAULT_ATTEMPTS: u32 = 5;

const fn default_attempts() -> u32 {
    DEFAULT_ATTEMPTS
}

/// Record of the `jobs` stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobRecord {
    /// Job was accepted. The first record of an id counts.
    Submitted(JobSpec),
    /// Job was cancelled.
    Cancelled {
        /// Job.
        job: JobId,
    },
    /// Tasks ended successfully and are never started again.
    TasksDone {
        /// Tasks per job.
        tasks: BTreeMap<JobId, BTreeSet<TaskIndex>>,
    },
    /// Job ended.
    Finished {
        /// Job.
        job: JobId,
        /// How it ended.
        end: JobEnd,
    },
    /// Several jobs ended, as after a wave of cancellations.
    Ended {
        /// How each job ended.
        jobs: BTreeMap<JobId, JobEnd>,
    },
    /// Mark of a coordinator that has to know that it has read all earlier records.
    Mark {
        /// Process start of the coordinator.
        by: Incarnation,
        /// Number of the mark, rising per process start.
        number: u64,
    },
    /// State after all records up to `through`.
    Snapshot(Box<super::JobSnapshot>),
}

/// How a job ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobEnd {
    /// All tasks ended successfully.
    Succeeded,
    /// A task failed too often.
    Failed {
        /// Reason.
        reason: String,
    },
    /// Cancelled, and no task of it runs any more.
    Cancelled,
}

/// State of a job as the status interface reports it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStatus {
    /// Job.
    pub job: JobId,
    /// `waiting`, `running`, `suspended`, `cancelling` or `finished`.
    pub state: String,
    /// Reason for waiting or the way it ended.
    pub reason: Option<String>,
    /// Tasks that run now.
    pub running: u32,
    /// Tasks that ended successfully.
    pub done: u32,
    /// Tasks in all.
    pub tasks: u32,
    /// Worker of each running task, known to the coordinator only.
    pub placed: BTreeMap<TaskIndex, WorkerId>,
}

/// Message from a coordinator to a shard owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardRequest {
    /// Partition of the coordinator.
    pub partition: PartitionId,
    /// Partition epoch; owners refuse older ones than they have seen.
    pub epoch: Epoch,
    /// Shard.
    pub shard: ShardId,
    /// What is asked.
    pub body: ShardRequestBody,
}

/// What a coordinator asks of a shard owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ShardRequestBody {
    /// Asks for all tasks of the partition's teams, and fences older coordinators.
    List,
    /// Reserves resources for tasks, all of them or as many as fit.
    Reserve {
        /// Number that the reply refers to.
        reservation: u64,
        /// Tasks to place.
        tasks: Vec<TaskOrder>,
        /// Whether a part of the tasks is of use.
        partial: bool,
        /// Time after which the reservation ends by itself.
        expires: Duration,
    },
    /// Starts the tasks of a reservation.
    Commit {
        /// Reservation.
        reservation: u64,
    },
    /// Gives a reservation back.
    Release {
        /// Reservation.
        reservation: u64,
    },
    /// Stops tasks; idempotent.
    Stop {
        /// Tasks and attempts.
        tasks: Vec<(TaskId, Attempt)>,
    },
    /// Acknowledges ended tasks, so that workers may forget them.
    Acknowledge {
        /// Tasks and attempts.
        tasks: Vec<(TaskId, Attempt)>,
    },
}

/// Task to be placed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskOrder {
    /// Task.
    pub task: TaskId,
    /// Attempt.
    pub attempt: Attempt,
    /// Team that is charged.
    pub team: TeamId,
    /// Kind of work.
    pub kind: JobKind,
    /// Priority.
    pub priority: Priority,
    /// Declared resources.
    pub resources: Resources,
    /// Workers on which this task failed before.
    pub avoid: BTreeSet<WorkerId>,
}

/// Message from a shard owner to a coordinator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardReply {
    /// Partition of the coordinator.
    pub partition: PartitionId,
    /// Shard.
    pub shard: ShardId,
    /// Shard epoch of the owner.
    pub epoch: Epoch,
    /// What is reported.
    pub body: ShardReplyBody,
}

/// What a shard owner reports to a coordinator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ShardReplyBody {
    /// Tasks of the partition's teams on the shard.
    Tasks {
        /// Known tasks.
        tasks: Vec<TaskReport>,
        /// Whether no other task of the partition can run on the shard.
        complete: bool,
        /// Free resources of the roomiest workers, to choose a shard by.
        room: Room,
    },
    /// Reservation succeeded for these tasks.
    Reserved {
        /// Reservation.
        reservation: u64,
        /// Worker of each task.
        placed: Vec<(TaskId, WorkerId)>,
    },
    /// Reservation failed, or has ended.
    Refused {
        /// Reservation.
        reservation: u64,
        /// Reason.
        reason: WaitReason,
    },
    /// Task changed its state.
    Changed(TaskReport),
    /// Attempts that do not run on the shard and never will.
    Absent {
        /// Tasks and attempts.
        tasks: Vec<(TaskId, Attempt)>,
    },
}

/// State of a task on a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskReport {
    /// Task.
    pub task: TaskId,
    /// Attempt.
    pub attempt: Attempt,
    /// Team that is charged.
    pub team: TeamId,
    /// Declared resources.
    pub resources: Resources,
    /// Worker.
    pub worker: WorkerId,
    /// State.
    pub state: TaskState,
}

/// State of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskState {
    /// Start was sent and is not yet confirmed.
    Starting,
    /// Runs under a lease.
    Running,
    /// Ended successfully.
    Succeeded,
    /// Failed by itself.
    Failed,
    /// Was stopped on request or by preemption.
    Stopped,
    /// Lease lapsed, so it runs no more.
    Lapsed,
}

impl TaskState {
    /// Whether the attempt can run no more.
    #[must_use]
    pub const fn is_ended(self) -> bool {
        matches!(self, Self::Succeeded | Self::Failed | Self::Stopped | Self::Lapsed)
    }
}

/// Free resources of a shard.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Room {
    /// Sum over its workers.
    pub total: Resources,
    /// Largest of each resource on one worker.
    pub largest: Resources,
    /// Capacity of its workers.
    pub capacity: Resources,
    /// Capacity of its largest worker.
    pub worker: Resources,
}

/// Reason why a job or task waits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WaitReason {
    /// No worker has room now.
    NoRoom,
    /// Task is larger than every worker; it can never run.
    LargerThanWorkers,
    /// Quota of the team is used up.
    Quota,
    /// One task exceeds the team's quota; it can never run.
    LargerThanQuota,
    /// Not all tasks of the gang have room at once.
    GangIncomplete,
    /// Shard has no owner, or its owner may start no tasks.
    NoOwner,
    /// Coordinator waits for inventories after a takeover.
    Recovering,
    /// Earlier attempt may still run.
    EarlierAttempt,
    /// Task fails on several workers; the job is suspended.
    Suspended,
    /// Reservation is unknown or has expired.
    ReservationExpired,
    /// Message of a coordinator that was replaced.
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

/// What the coordinator duty reacts to.
#[derive(Debug, Clone)]
pub enum CoordinatorEvent {
    /// Lease on a partition was granted or extended.
    Granted {
        /// Partition.
        partition: PartitionId,
        /// Grant.
        grant: Grant,
    },
    /// Lease on a partition ended.
    Lost {
        /// Partition.
        partition: PartitionId,
        /// Epoch.
        epoch: Epoch,
    },
    /// Record of the `jobs` stream was folded.
    Record(JobRecord),
    /// Append took effect; the record is folded when it is read.
    Appended {
        /// Number given with [`CoordinatorAction::Append`].
        ticket: u64,
    },
    /// Append is certain not to take effect.
    AppendFailed {
        /// Number given with [`CoordinatorAction::Append`].
        ticket: u64,
    },
    /// Quotas per team, services that must run, and existing shards, by configuration.
    Settings(CoordinatorSettings),
    /// Owner of a shard changed in the fold.
    Owner {
        /// Shard.
        shard: ShardId,
        /// Owner and epoch; none when there is none.
        owner: Option<(Incarnation, Epoch)>,
    },
    /// Reply of a shard owner.
    Reply {
        /// Sender.
        from: Incarnation,
        /// Reply.
        reply: ShardReply,
    },
    /// Time passed.
    Tick,
}

/// Settings of the coordinator duty, from the configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct CoordinatorSettings {
    /// Quota per team.
    pub quotas: BTreeMap<TeamId, Resources>,
    /// Services that must run, as jobs.
    pub services: BTreeMap<JobId, JobSpec>,
    /// Existing shards.
    pub shards: BTreeSet<ShardId>,
    /// Zone of each shard, to spread services; a shard without an entry counts as a zone of its own.
    pub zones: BTreeMap<ShardId, ZoneId>,
}

/// What the coordinator duty asks for.
#[derive(Debug, Clone, PartialEq)]
pub enum CoordinatorAction {
    /// Append a record to the `jobs` stream.
    Append {
        /// Number that the result refers to.
        ticket: u64,
        /// Record.
        record: JobRecord,
    },
    /// Send a request to a shard owner, which may be this host, before `until` on the local clock.
    Send {
        /// Owner.
        to: Incarnation,
        /// Request.
        request: ShardRequest,
        /// Last time at which it may be sent.
        until: crate::unit::Timestamp,
    },
    /// Decision for the log.
    Decision {
        /// Job.
        job: JobId,
        /// What was decided and why.
        text: String,
    },
}
