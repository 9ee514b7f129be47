//! Ledger of the tasks and reservations of one worker.

use std::collections::{BTreeMap, BTreeSet};

use super::index::Slot;
use super::message::{Inventory, InventoryTask, TaskStart, WorkerSpec, WorkerTaskState};
use crate::id::{Attempt, TaskId};
use crate::job::{TaskReport, TaskState};
use crate::lease::{MAX_DELIVERY_DELAY, TaskLease};
use crate::unit::{Resources, Timestamp};

/// Identifies one attempt of a task.
pub(super) type AttemptKey = (TaskId, Attempt);

/// Resources that one attempt of a task holds on a worker, until its end is acknowledged.
#[derive(Debug, Clone)]
pub(super) struct Allocation {
    /// Start command as sent, or as found in an inventory.
    pub start: TaskStart,
    pub state: TaskState,
    /// Whether the worker reported the end, so that the state is final.
    pub confirmed: bool,
    /// Resource usage as last reported by the worker; zero before the first report.
    pub usage: Resources,
    /// Limit of a throttle that the worker has confirmed.
    pub throttle: Option<Resources>,
    pub lease: TaskLease,
    /// Time from which neither the start command nor a command that lifted a throttle can still take effect.
    pub settled_at: Timestamp,
    /// Pending stop; none unless one was requested.
    pub stop: Option<StopRequest>,
}

/// Requested stop of an attempt.
#[derive(Debug, Clone, Copy)]
pub(super) struct StopRequest {
    /// Time of the first request.
    pub requested_at: Timestamp,
    /// Time at which the stop command was last sent; none before the first.
    pub sent: Option<Timestamp>,
    /// Whether the task saves a checkpoint before it stops.
    pub checkpoint: bool,
}

impl Allocation {
    /// Returns the resources charged to the worker: the declared size, or the reported usage where it is larger.
    pub fn charge(&self) -> Resources {
        if self.state.is_ended() {
            return Resources::ZERO;
        }
        let declared = self.start.resources;
        match self.throttle {
            // The worker enforces the limit, so an older report of higher processor usage no longer counts.
            Some(limit) => Resources { cpu: limit.cpu.min(declared.cpu), ..declared.max(self.usage) },
            None => declared.max(self.usage),
        }
    }

    /// Returns the declared resources, with processors reduced to the throttle limit.
    pub fn declared(&self) -> Resources {
        if self.state.is_ended() {
            return Resources::ZERO;
        }
        let declared = self.start.resources;
        match self.throttle {
            Some(limit) => Resources { cpu: limit.cpu.min(declared.cpu), ..declared },
            None => declared,
        }
    }

    /// Returns the report for the coordinator.
    pub fn report(&self, spec: &WorkerSpec) -> TaskReport {
        TaskReport {
            task: self.start.task.clone(),
            attempt: self.start.attempt,
            team: self.start.team.clone(),
            resources: self.start.resources,
            worker: spec.worker.clone(),
            state: self.state,
        }
    }
}

/// Command whose result is pending.
#[derive(Debug)]
pub(super) struct PendingCommand {
    /// Time at which the command was queued.
    pub queued_at: Timestamp,
    /// Attempt and limit, if the command is a throttle.
    pub throttle: Option<(AttemptKey, Resources)>,
}

/// Allocations, reservations and pending commands of one worker.
#[derive(Debug)]
pub(super) struct Ledger {
    pub spec: WorkerSpec,
    /// Position in the worker index of the shard.
    pub slot: Slot,
    /// Whether the worker gets no new tasks because it is leaving the fleet.
    pub draining: bool,
    pub allocations: BTreeMap<AttemptKey, Allocation>,
    /// Sum of the reservations that are not committed.
    pub reserved: Resources,
    /// Time at which the latest inventory was requested; none before the first.
    pub inventory_at: Option<Timestamp>,
    /// Commands whose result is pending, by ticket.
    pub pending: BTreeMap<u64, PendingCommand>,
    /// Time at which the last command was queued; the result of every command carries an inventory.
    pub last_command: Option<Timestamp>,
    /// Ended attempts that the worker may forget, with the time from which their start can no longer take effect.
    pub forget: BTreeMap<AttemptKey, Timestamp>,
    /// Time at which [`Self::forget`] was last sent; none before the first.
    pub forget_sent: Option<Timestamp>,
    /// Time at which the worker is reconciled next.
    pub wake_at: Timestamp,
}

impl Ledger {
    /// Creates the ledger of a worker whose inventory is not known yet.
    pub fn new(spec: WorkerSpec, slot: Slot) -> Self {
        Self {
            spec,
            slot,
            draining: false,
            allocations: BTreeMap::new(),
            reserved: Resources::ZERO,
            inventory_at: None,
            pending: BTreeMap::new(),
            last_command: None,
            forget: BTreeMap::new(),
            forget_sent: None,
            wake_at: Timestamp::ZERO,
        }
    }

    /// Returns the capacity that is neither reserved nor charged to an attempt.
    pub fn free(&self) -> Resources {
        let charged = self.allocations.values().fold(self.reserved, |sum, a| sum + a.charge());
        self.spec.capacity.saturating_sub(charged)
    }

    /// Whether reservations and declared resources together fit the capacity.
    pub fn is_within_capacity(&self) -> bool {
        let declared = self.allocations.values().fold(self.reserved, |sum, a| sum + a.declared());
        declared.fits(self.spec.capacity)
    }

    /// Merges an inventory and appends the attempts whose state changed to `changed`.
    ///
    /// Ignores an inventory that was requested before the latest one.
    pub fn merge(&mut self, requested_at: Timestamp, inventory: Inventory, changed: &mut Vec<AttemptKey>) {
        if self.inventory_at.is_some_and(|latest| requested_at < latest) {
            return;
        }
        self.inventory_at = Some(requested_at);
        let mut present = BTreeSet::new();
        for task in inventory.tasks {
            let key = (task.start.task.clone(), task.start.attempt);
            present.insert(key.clone());
            if self.merge_task(requested_at, &key, task) {
                changed.push(key);
            }
        }
        self.forget.retain(|key, settled_at| present.contains(key) || requested_at < *settled_at);
        for (key, allocation) in &mut self.allocations {
            if present.contains(key) || allocation.state.is_ended() || requested_at < allocation.settled_at {
                continue;
            }
            allocation.state = TaskState::Lapsed;
            changed.push(key.clone());
        }
    }

    /// Merges one task of an inventory and returns whether its state changed.
    fn merge_task(&mut self, requested_at: Timestamp, key: &AttemptKey, task: InventoryTask) -> bool {
        let state = task_state(task.state);
        let Some(allocation) = self.allocations.get_mut(key) else {
            if state.is_ended() && self.forget.contains_key(key) {
                return false;
            }
            self.forget.remove(key);
            let allocation = Allocation {
                start: task.start,
                state,
                confirmed: state.is_ended(),
                usage: task.usage.unwrap_or_default(),
                throttle: None,
                // Another owner may have renewed the lease just before the worker took the inventory.
                lease: TaskLease::new(
                    requested_at - crate::placement::TASK_RENEWAL_INTERVAL,
                    requested_at + MAX_DELIVERY_DELAY,
                ),
                settled_at: requested_at + MAX_DELIVERY_DELAY,
                stop: None,
            };
            self.allocations.insert(key.clone(), allocation);
            return true;
        };
        allocation.usage = task.usage.unwrap_or(allocation.usage);
        if allocation.confirmed || allocation.state == state {
            return false;
        }
        allocation.confirmed = state.is_ended();
        allocation.state = state;
        true
    }

    /// Marks attempts as lapsed whose leases have expired, and appends them to `changed`.
    pub fn expire_leases(&mut self, now: Timestamp, changed: &mut Vec<AttemptKey>) {
        for (key, allocation) in &mut self.allocations {
            if !allocation.state.is_ended() && now >= allocation.lease.expiry() {
                allocation.state = TaskState::Lapsed;
                changed.push(key.clone());
            }
        }
    }
}

fn task_state(state: WorkerTaskState) -> TaskState {
    match state {
        WorkerTaskState::Running => TaskState::Running,
        WorkerTaskState::Succeeded => TaskState::Succeeded,
        WorkerTaskState::Failed => TaskState::Failed,
        WorkerTaskState::Stopped => TaskState::Stopped,
        WorkerTaskState::Lapsed => TaskState::Lapsed,
    }
}
