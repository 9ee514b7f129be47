//! Events and actions of the placement duty at a shard owner.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::{Attempt, Epoch, Incarnation, ShardId, TaskId, TeamId, WorkerId, ZoneId};
use crate::job::{JobKind, Priority, ShardReply, ShardRequest};
use crate::ownership::Grant;
use crate::unit::{Resources, Timestamp};

/// Worker, as the placement duty needs it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerSpec {
    /// Worker.
    pub worker: WorkerId,
    /// Rack.
    pub shard: ShardId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Capacity.
    pub capacity: Resources,
}

/// Command to a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WorkerCommand {
    /// Starts a task under a lease; idempotent by task and attempt.
    Start(TaskStart),
    /// Extends leases of tasks from the receipt of the command.
    Renew {
        /// Shard epoch for fencing.
        epoch: Epoch,
        /// Tasks and attempts.
        tasks: Vec<(TaskId, Attempt)>,
        /// Length of the lease, milliseconds.
        lease_ms: u64,
    },
    /// Stops tasks; idempotent.
    Stop {
        /// Shard epoch for fencing.
        epoch: Epoch,
        /// Tasks and attempts.
        tasks: Vec<(TaskId, Attempt)>,
        /// Whether the task saves its state first.
        checkpoint: bool,
    },
    /// Limits a task's processors.
    Throttle {
        /// Shard epoch for fencing.
        epoch: Epoch,
        /// Task.
        task: TaskId,
        /// Attempt.
        attempt: Attempt,
        /// Processors that it may use.
        resources: Resources,
    },
    /// Forgets ended tasks; idempotent.
    Forget {
        /// Tasks and attempts.
        tasks: Vec<(TaskId, Attempt)>,
    },
    /// Asks for the inventory.
    Inventory,
}

/// Start of a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskStart {
    /// Shard epoch for fencing.
    pub epoch: Epoch,
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
    /// Resources that the worker enforces.
    pub resources: Resources,
    /// Length of the lease from receipt, milliseconds.
    pub lease_ms: u64,
}

/// Tasks that a worker holds, and what they use.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Inventory {
    /// Tasks that run or have ended and are not forgotten.
    pub tasks: Vec<InventoryTask>,
}

impl Inventory {
    /// Whether an attempt runs.
    #[must_use]
    pub fn is_running(&self, (task, attempt): &(TaskId, Attempt)) -> bool {
        self.tasks.iter().any(|found| {
            found.start.task == *task
                && found.start.attempt == *attempt
                && found.state == WorkerTaskState::Running
        })
    }
}

/// Task in a worker's inventory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InventoryTask {
    /// Start command as received.
    pub start: TaskStart,
    /// State at the worker.
    pub state: WorkerTaskState,
    /// Reported use, which lags; none if never reported.
    pub usage: Option<Resources>,
}

/// State of a task at the worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WorkerTaskState {
    /// Runs.
    Running,
    /// Ended successfully.
    Succeeded,
    /// Failed by itself.
    Failed,
    /// Was stopped.
    Stopped,
    /// Lease lapsed.
    Lapsed,
}

/// What the placement duty reacts to.
#[derive(Debug, Clone)]
pub enum PlacementEvent {
    /// Workers, by configuration.
    Workers(Vec<WorkerSpec>),
    /// Lease on a shard was granted or its share changed.
    Granted {
        /// Shard.
        shard: ShardId,
        /// Grant.
        grant: Grant,
    },
    /// Lease on a shard ended.
    Lost {
        /// Shard.
        shard: ShardId,
        /// Epoch.
        epoch: Epoch,
    },
    /// Request of a coordinator.
    Request {
        /// Sender.
        from: Incarnation,
        /// Request.
        request: ShardRequest,
    },
    /// Worker carried out a command.
    Done {
        /// Worker.
        worker: WorkerId,
        /// Number given with [`PlacementAction::Command`].
        ticket: u64,
        /// Inventory after the command.
        inventory: Inventory,
    },
    /// Command failed; it may have been carried out.
    Failed {
        /// Worker.
        worker: WorkerId,
        /// Number given with [`PlacementAction::Command`].
        ticket: u64,
    },
    /// Worker that is leaving or is back.
    Draining {
        /// Worker.
        worker: WorkerId,
        /// Whether it is leaving.
        draining: bool,
    },
    /// Partition of each team.
    Partitions(BTreeMap<TeamId, crate::id::PartitionId>),
    /// Time passed.
    Tick,
}

/// What the placement duty asks for.
#[derive(Debug, Clone, PartialEq)]
pub enum PlacementAction {
    /// Send a command to a worker, unless the time has passed.
    Command {
        /// Worker.
        worker: WorkerId,
        /// Number that the result refers to.
        ticket: u64,
        /// Command.
        command: WorkerCommand,
        /// Last time at which it may be sent, on the local clock.
        until: Timestamp,
    },
    /// Send a reply to a coordinator, which may be this host.
    Reply {
        /// Receiver.
        to: Incarnation,
        /// Reply.
        reply: ShardReply,
    },
    /// Decision for the log.
    Decision(PlacementDecision),
}

/// Placement decision with its reason.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlacementDecision {
    /// Task.
    pub task: TaskId,
    /// Worker that was chosen; none when refused.
    pub chosen: Option<WorkerId>,
    /// Second best worker, if any.
    pub runner_up: Option<WorkerId>,
    /// Reason, or the limit that refused.
    pub reason: String,
}

/// Length of a task lease.
pub const TASK_LEASE: Duration = Duration::from_secs(30);
/// Time between renewals of task leases.
pub const TASK_RENEWAL: Duration = Duration::from_secs(10);
