//! Ledger of one worker.

use std::collections::{BTreeMap, BTreeSet};

use super::index::Slot;
use super::message::{Inventory, InventoryTask, TaskStart, WorkerSpec, WorkerTaskState};
use crate::id::{Attempt, TaskId};
use crate::job::{TaskReport, TaskState};
use crate::lease::{MAX_DELIVERY_DELAY, TaskLease};
use crate::unit::{Resources, Timestamp};

/// Task and attempt.
pub(super) type Key = (TaskId, Attempt);

/// Attempt in the ledger.
#[derive(Debug, Clone)]
pub(super) struct Held {
    /// Start as sent or as found in the inventory.
    pub start: TaskStart,
    /// State.
    pub state: TaskState,
    /// Whether the worker itself reported the end.
    pub confirmed: bool,
    /// Reported use.
    pub usage: Resources,
    /// Processors that a confirmed throttle leaves.
    pub throttle: Option<Resources>,
    /// Lease.
    pub lease: TaskLease,
    /// Time after which the start command can take effect no more.
    pub settled: Timestamp,
    /// Stop that was asked for, and when it was last sent.
    pub stop: Option<StopOrder>,
}

/// Stop that was asked for.
#[derive(Debug, Clone, Copy)]
pub(super) struct StopOrder {
    /// Time of the first request.
    pub asked: Timestamp,
    /// Time of the last command; none before the first.
    pub sent: Option<Timestamp>,
    /// Whether the task saves its state first.
    pub checkpoint: bool,
}

impl Held {
    /// Resources that count for the ledger.
    pub fn charge(&self) -> Resources {
        if self.state.is_ended() {
            return Resources::ZERO;
        }
        let declared = self.start.resources;
        match self.throttle {
            // A throttle enforces its limit, so older reports of more use no longer matter.
            Some(limit) => Resources { cpu: limit.cpu.min(declared.cpu), ..declared.max(self.usage) },
            None => declared.max(self.usage),
        }
    }

    /// Resources by declared size, less what a throttle enforces.
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

    /// Report for the coordinator.
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

/// Command without a result.
#[derive(Debug)]
pub(super) struct Sent {
    /// Time at which it was handed over.
    pub at: Timestamp,
    /// Throttle that it sets.
    pub throttle: Option<(Key, Resources)>,
}

/// Ledger of one worker.
#[derive(Debug)]
pub(super) struct Ledger {
    /// Worker.
    pub spec: WorkerSpec,
    /// Position in the shard's index.
    pub slot: Slot,
    /// Whether it is leaving.
    pub draining: bool,
    /// Attempts.
    pub held: BTreeMap<Key, Held>,
    /// Sum of reservations.
    pub reserved: Resources,
    /// Time at which the command of the newest inventory was sent.
    pub listed: Option<Timestamp>,
    /// Commands without a result.
    pub pending: BTreeMap<u64, Sent>,
    /// Time of the last command that asks for an inventory.
    pub polled: Option<Timestamp>,
    /// Ended attempts that the worker may forget, with the time from which their start cannot take effect.
    pub forget: BTreeMap<Key, Timestamp>,
    /// Time at which the worker was last told to forget.
    pub forget_sent: Option<Timestamp>,
    /// Time at which the worker is served next.
    pub wake: Timestamp,
}

impl Ledger {
    /// Ledger of a worker of which nothing is known.
    pub fn new(spec: WorkerSpec, slot: Slot) -> Self {
        Self {
            spec,
            slot,
            draining: false,
            held: BTreeMap::new(),
            reserved: Resources::ZERO,
            listed: None,
            pending: BTreeMap::new(),
            polled: None,
            forget: BTreeMap::new(),
            forget_sent: None,
            wake: Timestamp::ZERO,
        }
    }

    /// Free capacity for new tasks.
    pub fn free(&self) -> Resources {
        let charged = self.held.values().fold(self.reserved, |sum, held| sum + held.charge());
        self.spec.capacity.saturating_sub(charged)
    }

    /// Whether grants by declared size stay within the capacity.
    pub fn within_capacity(&self) -> bool {
        let declared = self.held.values().fold(self.reserved, |sum, held| sum + held.declared());
        declared.fits(self.spec.capacity)
    }

    /// Takes over an inventory whose command was sent at `sent`; the attempts whose state changed go to `changed`.
    pub fn merge(&mut self, sent: Timestamp, inventory: Inventory, changed: &mut Vec<Key>) {
        if self.listed.is_some_and(|listed| sent < listed) {
            return;
        }
        self.listed = Some(sent);
        let mut present = BTreeSet::new();
        for task in inventory.tasks {
            let key = (task.start.task.clone(), task.start.attempt);
            present.insert(key.clone());
            if self.merge_task(sent, &key, task) {
                changed.push(key);
            }
        }
        self.forget.retain(|key, settled| present.contains(key) || sent < *settled);
        for (key, held) in &mut self.held {
            if present.contains(key) || held.state.is_ended() || sent < held.settled {
                continue;
            }
            held.state = TaskState::Lapsed;
            changed.push(key.clone());
        }
    }

    fn merge_task(&mut self, sent: Timestamp, key: &Key, task: InventoryTask) -> bool {
        let state = state_of(task.state);
        let Some(held) = self.held.get_mut(key) else {
            if state.is_ended() && self.forget.contains_key(key) {
                return false;
            }
            self.forget.remove(key);
            let held = Held {
                start: task.start,
                state,
                confirmed: state.is_ended(),
                usage: task.usage.unwrap_or_default(),
                throttle: None,
                // The lease of an adopted task may have been renewed just before the inventory was taken.
                lease: TaskLease::new(sent - crate::placement::TASK_RENEWAL, sent + MAX_DELIVERY_DELAY),
                settled: sent + MAX_DELIVERY_DELAY,
                stop: None,
            };
            self.held.insert(key.clone(), held);
            return true;
        };
        held.usage = task.usage.unwrap_or(held.usage);
        if held.confirmed || held.state == state {
            return false;
        }
        held.confirmed = state.is_ended();
        held.state = state;
        true
    }

    /// Counts tasks as lapsed whose leases have ended.
    pub fn lapse(&mut self, now: Timestamp, changed: &mut Vec<Key>) {
        for (key, held) in &mut self.held {
            if !held.state.is_ended() && now >= held.lease.expiry() {
                held.state = TaskState::Lapsed;
                changed.push(key.clone());
            }
        }
    }
}

fn state_of(state: WorkerTaskState) -> TaskState {
    match state {
        WorkerTaskState::Running => TaskState::Running,
        WorkerTaskState::Succeeded => TaskState::Succeeded,
        WorkerTaskState::Failed => TaskState::Failed,
        WorkerTaskState::Stopped => TaskState::Stopped,
        WorkerTaskState::Lapsed => TaskState::Lapsed,
    }
}
