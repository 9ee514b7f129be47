//! Periodic reconciliation of workers: lease renewals, stops, inventories.

use std::collections::BTreeMap;

use super::{
    CHECKPOINT_TIMEOUT, COMMAND_SEND_TIMEOUT, FAST_INVENTORY_INTERVAL, INVENTORY_INTERVAL, Placement,
    STOP_RETRY_INTERVAL,
};
use crate::id::{Epoch, WorkerId};
use crate::job::TaskState;
use crate::lease::{MAX_DELIVERY_DELAY, UNRESPONSIVE_TIMEOUT};
use crate::placement::message::{PlacementAction, TASK_LEASE_DURATION, WorkerCommand};
use crate::placement::worker_ledger::{AttemptKey, Ledger};
use crate::unit::Timestamp;

impl Placement {
    /// Schedules the next reconciliation of a worker after [`FAST_INVENTORY_INTERVAL`] at the latest.
    pub(super) fn reconcile_soon(&mut self, now: Timestamp, id: &WorkerId) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        if worker.wake_at <= now + FAST_INVENTORY_INTERVAL {
            return;
        }
        self.timers.remove(&(worker.wake_at, id.clone()));
        worker.wake_at = now + FAST_INVENTORY_INTERVAL;
        self.timers.insert((worker.wake_at, id.clone()));
    }

    /// Reconciles the workers whose timers have expired.
    pub(super) fn reconcile_due(&mut self, now: Timestamp, out: &mut Vec<PlacementAction>) {
        while let Some((at, id)) = self.timers.first().cloned() {
            if at > now {
                break;
            }
            self.reconcile_worker(now, &id, out);
        }
    }

    /// Expires leases, queues the commands that are due and schedules the next reconciliation.
    ///
    /// Requests an inventory when no other command was queued within the interval.
    pub(super) fn reconcile_worker(&mut self, now: Timestamp, id: &WorkerId, out: &mut Vec<PlacementAction>) {
        self.expire_leases(now, id, out);
        let Some(worker) = self.workers.get_mut(id) else { return };
        self.timers.remove(&(worker.wake_at, id.clone()));
        let Some(owned) = self.shards.get(&worker.spec.shard) else { return };
        let fast = worker.has_unconfirmed_commands()
            || worker.inventory_at.is_none_or(|at| at < owned.inventory_valid_from());
        let interval = if fast { FAST_INVENTORY_INTERVAL } else { INVENTORY_INTERVAL };
        worker.wake_at = now + interval.min(STOP_RETRY_INTERVAL);
        self.timers.insert((worker.wake_at, id.clone()));
        if !owned.is_active(now) {
            self.refresh_index(now, id);
            return;
        }
        let until = owned.grant.valid_until.min(now + COMMAND_SEND_TIMEOUT);
        let mut commands = worker.due_commands(now, owned.grant.epoch, until);
        commands.extend(worker.unthrottle_commands(owned.grant.epoch, until));
        let recently_sent = worker.last_command.is_some_and(|at| now.since(at) < interval);
        worker.pending.retain(|_, pending| now.since(pending.queued_at) < TASK_LEASE_DURATION);
        if commands.is_empty() && !recently_sent {
            self.queue_command(now, id, WorkerCommand::Inventory, out);
        }
        for command in commands {
            self.queue_command(now, id, command, out);
        }
        self.refresh_index(now, id);
    }

    /// Marks the tasks on a worker as lapsed whose leases have expired, and reports them.
    fn expire_leases(&mut self, now: Timestamp, id: &WorkerId, out: &mut Vec<PlacementAction>) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let Some(owned) = self.shards.get(&worker.spec.shard) else { return };
        // An earlier owner that is not known to have ended may still renew the leases.
        if owned.tasks_expire_at().is_none_or(|at| now < at) {
            return;
        }
        let mut changed = Vec::new();
        worker.expire_leases(now, &mut changed);
        if !changed.is_empty() {
            self.apply_changes(now, id, changed, out);
        }
    }
}

impl Ledger {
    /// Whether a start or a stop is not confirmed yet.
    fn has_unconfirmed_commands(&self) -> bool {
        let is_unconfirmed = |a: &super::Allocation| {
            !a.state.is_ended() && (a.stop.is_some() || a.state == TaskState::Starting)
        };
        self.allocations.values().any(is_unconfirmed)
    }

    /// Returns the stop, forget and renewal commands that are due.
    fn due_commands(&mut self, now: Timestamp, epoch: Epoch, until: Timestamp) -> Vec<WorkerCommand> {
        let mut commands = self.due_stops(now, epoch);
        let tasks: Vec<AttemptKey> = self
            .forget
            .iter()
            .filter(|(_, settled_at)| now >= **settled_at)
            .map(|(key, _)| key.clone())
            .collect();
        if !tasks.is_empty() && self.forget_sent.is_none_or(|sent| now.since(sent) >= STOP_RETRY_INTERVAL) {
            self.forget_sent = Some(now);
            commands.push(WorkerCommand::Forget { tasks });
        }
        // The leases on an unresponsive worker are not renewed, so that its tasks expire and can run elsewhere.
        if self.inventory_at.is_some_and(|at| now.since(at) < UNRESPONSIVE_TIMEOUT) {
            commands.extend(self.due_renewal(now, epoch, until));
        }
        commands
    }

    /// Returns commands that restore the processors of throttled tasks for which there is room.
    fn unthrottle_commands(&mut self, epoch: Epoch, until: Timestamp) -> Vec<WorkerCommand> {
        let mut commands = Vec::new();
        let mut free = self.free();
        for ((task, attempt), allocation) in &mut self.allocations {
            let Some(limit) = allocation.throttle.filter(|_| allocation.state == TaskState::Running) else {
                continue;
            };
            let resources = allocation.start.resources;
            let extra = resources.cpu.saturating_sub(limit.cpu);
            if extra > free.cpu || allocation.stop.is_some() {
                continue;
            }
            free.cpu = free.cpu.saturating_sub(extra);
            allocation.throttle = None;
            // No new throttle is sent while this command may be in flight, because the two could arrive out of order.
            allocation.settled_at = allocation.settled_at.max(until + MAX_DELIVERY_DELAY);
            let (task, attempt) = (task.clone(), *attempt);
            commands.push(WorkerCommand::Throttle { epoch, task, attempt, resources });
        }
        commands
    }

    /// Returns the stop commands that are due.
    ///
    /// A stop with a checkpoint becomes one without after [`CHECKPOINT_TIMEOUT`].
    fn due_stops(&mut self, now: Timestamp, epoch: Epoch) -> Vec<WorkerCommand> {
        let mut keys_by_mode: BTreeMap<bool, Vec<AttemptKey>> = BTreeMap::new();
        for (key, allocation) in &mut self.allocations {
            let ended = allocation.state.is_ended();
            let Some(stop) = allocation.stop.as_mut().filter(|_| !ended) else { continue };
            let escalate = stop.checkpoint && now.since(stop.requested_at) >= CHECKPOINT_TIMEOUT;
            if !escalate && stop.sent.is_some_and(|sent| now.since(sent) < STOP_RETRY_INTERVAL) {
                continue;
            }
            stop.checkpoint &= !escalate;
            stop.sent = Some(now);
            keys_by_mode.entry(stop.checkpoint).or_default().push(key.clone());
        }
        let command = |(checkpoint, tasks)| WorkerCommand::Stop { epoch, tasks, checkpoint };
        keys_by_mode.into_iter().map(command).collect()
    }

    /// Returns a renewal of all running leases if one of them is due.
    fn due_renewal(&mut self, now: Timestamp, epoch: Epoch, until: Timestamp) -> Option<WorkerCommand> {
        let is_renewable = |a: &super::Allocation| !a.state.is_ended() && a.stop.is_none();
        if !self.allocations.values().any(|a| is_renewable(a) && a.lease.is_due(now)) {
            return None;
        }
        let mut tasks = Vec::new();
        for (key, allocation) in self.allocations.iter_mut().filter(|(_, a)| is_renewable(a)) {
            allocation.lease.renew(now, until);
            tasks.push(key.clone());
        }
        let lease_ms = u64::try_from(TASK_LEASE_DURATION.as_millis()).unwrap_or(u64::MAX);
        Some(WorkerCommand::Renew { epoch, tasks, lease_ms })
    }
}
