//! Events and actions of the placement duty of a shard owner, and the commands and inventories of workers.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::{Attempt, Epoch, Incarnation, ShardId, TaskId, TeamId, WorkerId, ZoneId};
use crate::job::{JobKind, Priority, ShardReply, ShardRequest};
use crate::ownership::Grant;
use crate::unit::{Resources, Timestamp};

/// Configured worker: location and capacity.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerSpec {
    /// Identifier, unique in the fleet.
    pub worker: WorkerId,
    /// Shard that the worker belongs to; one rack is one shard.
    pub shard: ShardId,
    /// Availability zone of the rack.
    pub zone: ZoneId,
    /// Total capacity for tasks.
    pub capacity: Resources,
}

/// Command to a worker; its result carries the worker's inventory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WorkerCommand {
    /// Starts a task under a lease; idempotent for the same task and attempt.
    Start(TaskStart),
    /// Renews leases of tasks, counted from the receipt of the command.
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
        /// Whether each task saves a checkpoint before it stops.
        checkpoint: bool,
    },
    /// Limits the processors of a running task; the declared amount lifts the limit.
    Throttle {
        /// Shard epoch for fencing.
        epoch: Epoch,
        /// Task whose processors are limited.
        task: TaskId,
        /// Attempt of the task; other attempts are not affected.
        attempt: Attempt,
        /// Declared resources with the processors that the task may use.
        resources: Resources,
    },
    /// Removes ended tasks from the inventory; idempotent.
    Forget {
        /// Tasks and attempts.
        tasks: Vec<(TaskId, Attempt)>,
    },
    /// Requests the inventory without any other effect.
    Inventory,
}

/// Start command of one attempt of a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskStart {
    /// Shard epoch for fencing.
    pub epoch: Epoch,
    /// Task to start.
    pub task: TaskId,
    /// Attempt, unique for the task.
    pub attempt: Attempt,
    /// Team to whose quota the task is charged.
    pub team: TeamId,
    /// Kind of work, which decides about spreading and preemption.
    pub kind: JobKind,
    /// Priority; a task of lower priority may be preempted.
    pub priority: Priority,
    /// Declared resources, which the worker enforces as limits.
    pub resources: Resources,
    /// Length of the lease from the receipt of the command, milliseconds.
    pub lease_ms: u64,
}

/// Tasks of a worker with their states and resource usage.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Inventory {
    /// Running tasks, and ended tasks until [`WorkerCommand::Forget`].
    pub tasks: Vec<InventoryTask>,
}

impl Inventory {
    /// Whether the inventory shows an attempt as running.
    #[must_use]
    pub fn has_running(&self, (task, attempt): &(TaskId, Attempt)) -> bool {
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
    /// Start command as the worker received it.
    pub start: TaskStart,
    /// State at the time of the inventory.
    pub state: WorkerTaskState,
    /// Resource usage as last measured, which may be out of date; none before the first report.
    pub usage: Option<Resources>,
}

/// State of a task in an inventory.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WorkerTaskState {
    /// Running under a lease.
    Running,
    /// Ended successfully.
    Succeeded,
    /// Ended with a failure of its own.
    Failed,
    /// Ended by a stop command.
    Stopped,
    /// Ended by the worker because its lease expired.
    Lapsed,
}

/// Input of the placement duty.
#[derive(Debug, Clone)]
pub enum PlacementEvent {
    /// Configuration of all workers changed; a worker that is missing gets no new tasks.
    Workers(Vec<WorkerSpec>),
    /// Lease on a shard was granted or its terms changed.
    Granted {
        /// Shard of the lease.
        shard: ShardId,
        /// Epoch, share and time limits; a grant of an older epoch is ignored.
        grant: Grant,
    },
    /// Lease on a shard ended.
    GrantLost {
        /// Shard of the lease.
        shard: ShardId,
        /// Epoch that ended; a newer one is not affected.
        epoch: Epoch,
    },
    /// Request of a coordinator arrived.
    Request {
        /// Incarnation of the coordinator's host, to which the reply goes.
        from: Incarnation,
        /// Request with the epoch of the partition.
        request: ShardRequest,
    },
    /// Worker executed a command.
    CommandSucceeded {
        /// Worker that executed it.
        worker: WorkerId,
        /// Number given with [`PlacementAction::Command`].
        ticket: u64,
        /// Inventory after the command.
        inventory: Inventory,
    },
    /// Command failed or got no result; the worker may still have executed it.
    CommandFailed {
        /// Worker to which it was addressed.
        worker: WorkerId,
        /// Number given with [`PlacementAction::Command`].
        ticket: u64,
    },
    /// Drain of a worker started or ended.
    Draining {
        /// Worker that leaves or has returned.
        worker: WorkerId,
        /// Whether the worker is draining from now on.
        draining: bool,
    },
    /// Assignment of teams to partitions; replaces the previous one.
    Partitions(BTreeMap<TeamId, crate::id::PartitionId>),
    /// Timer tick, at which due work is done.
    Tick,
}

/// Output of the placement duty, carried out by the host.
#[derive(Debug, Clone, PartialEq)]
pub enum PlacementAction {
    /// Sends a command to a worker, or drops it after `until`.
    Command {
        /// Receiver of the command.
        worker: WorkerId,
        /// Number that the result refers to; unique for one placement duty.
        ticket: u64,
        /// Command to send.
        command: WorkerCommand,
        /// Send deadline on the local clock.
        until: Timestamp,
    },
    /// Sends a reply or an unsolicited report to a coordinator, which may be on this host.
    Reply {
        /// Incarnation of the coordinator's host.
        to: Incarnation,
        /// Reply with the epoch of the shard.
        reply: ShardReply,
    },
    /// Records a decision in the log.
    Decision(PlacementDecision),
}

/// Placement decision for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlacementDecision {
    /// Task that the decision is about.
    pub task: TaskId,
    /// Worker that was chosen or isolated; none when the task was refused.
    pub chosen: Option<WorkerId>,
    /// Second best worker; none when the policy reports none.
    pub runner_up: Option<WorkerId>,
    /// Reason as free text; names the limit when the task was refused.
    pub reason: String,
}

/// Length of a task lease, counted from the receipt of the start or renewal by the worker.
pub const TASK_LEASE_DURATION: Duration = Duration::from_secs(30);
/// Interval at which the shard owner renews a task lease.
pub const TASK_RENEWAL_INTERVAL: Duration = Duration::from_secs(10);
