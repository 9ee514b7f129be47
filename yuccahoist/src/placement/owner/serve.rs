//! Regular service of workers: lease renewals, stops, inventories.

use std::collections::BTreeMap;

use super::{CHECKPOINT_LIMIT, FAST_POLL, POLL, Placement, SEND_LIMIT, STOP_REPEAT};
use crate::id::{Epoch, WorkerId};
use crate::job::TaskState;
use crate::lease::{MAX_DELIVERY_DELAY, UNRESPONSIVE_TIMEOUT};
use crate::placement::ledger::{Key, Ledger};
use crate::placement::message::{PlacementAction, TASK_LEASE, WorkerCommand};
use crate::unit::Timestamp;

impl Placement {
    /// Serves a worker soon.
    pub(super) fn hurry(&mut self, now: Timestamp, id: &WorkerId) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        if worker.wake <= now + FAST_POLL {
            return;
        }
        self.timers.remove(&(worker.wake, id.clone()));
        worker.wake = now + FAST_POLL;
        self.timers.insert((worker.wake, id.clone()));
    }

    /// Serves the workers whose time has come.
    pub(super) fn serve_due(&mut self, now: Timestamp, out: &mut Vec<PlacementAction>) {
        while let Some((at, id)) = self.timers.first().cloned() {
            if at > now {
                break;
            }
            self.serve(now, &id, out);
        }
    }

    /// Renews leases, repeats stops and asks for the inventory where it is due.
    pub(super) fn serve(&mut self, now: Timestamp, id: &WorkerId, out: &mut Vec<PlacementAction>) {
        self.lapse(now, id, out);
        let Some(worker) = self.workers.get_mut(id) else { return };
        self.timers.remove(&(worker.wake, id.clone()));
        let Some(owned) = self.shards.get(&worker.spec.shard) else { return };
        let fast = worker.is_changing() || worker.listed.is_none_or(|listed| listed < owned.settled());
        let interval = if fast { FAST_POLL } else { POLL };
        worker.wake = now + interval.min(STOP_REPEAT);
        self.timers.insert((worker.wake, id.clone()));
        if !owned.holds(now) {
            self.refresh(now, id);
            return;
        }
        let until = owned.grant.until.min(now + SEND_LIMIT);
        let mut commands = worker.commands(now, owned.grant.epoch, until);
        commands.extend(worker.relief(owned.grant.epoch, until));
        let polled = worker.polled.is_some_and(|polled| now.since(polled) < interval);
        worker.pending.retain(|_, sent| now.since(sent.at) < TASK_LEASE);
        if commands.is_empty() && !polled {
            self.command(now, id, WorkerCommand::Inventory, out);
        }
        for command in commands {
            self.command(now, id, command, out);
        }
        self.refresh(now, id);
    }

    fn lapse(&mut self, now: Timestamp, id: &WorkerId, out: &mut Vec<PlacementAction>) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let Some(owned) = self.shards.get(&worker.spec.shard) else { return };
        // An earlier owner that has not ended for certain may still renew.
        if owned.lapsed().is_none_or(|at| now < at) {
            return;
        }
        let mut changed = Vec::new();
        worker.lapse(now, &mut changed);
        if !changed.is_empty() {
            self.changed(now, id, changed, out);
        }
    }
}

impl Ledger {
    /// Whether a start or a stop has no confirmed effect yet.
    fn is_changing(&self) -> bool {
        let changing = |held: &super::Held| {
            !held.state.is_ended() && (held.stop.is_some() || held.state == TaskState::Starting)
        };
        self.held.values().any(changing)
    }

    /// Commands that are due.
    fn commands(&mut self, now: Timestamp, epoch: Epoch, until: Timestamp) -> Vec<WorkerCommand> {
        let mut commands = self.stops(now, epoch);
        let tasks: Vec<Key> =
            self.forget.iter().filter(|(_, settled)| now >= **settled).map(|(key, _)| key.clone()).collect();
        if !tasks.is_empty() && self.forget_sent.is_none_or(|sent| now.since(sent) >= STOP_REPEAT) {
            self.forget_sent = Some(now);
            commands.push(WorkerCommand::Forget { tasks });
        }
        // A worker that does not answer gets no renewal, so that its tasks lapse and can run elsewhere.
        if self.listed.is_some_and(|listed| now.since(listed) < UNRESPONSIVE_TIMEOUT) {
            commands.extend(self.renewal(now, epoch, until));
        }
        commands
    }

    /// Gives throttled tasks their processors back while there is room.
    fn relief(&mut self, epoch: Epoch, until: Timestamp) -> Vec<WorkerCommand> {
        let mut commands = Vec::new();
        let mut free = self.free();
        for ((task, attempt), held) in &mut self.held {
            let Some(limit) = held.throttle.filter(|_| held.state == TaskState::Running) else { continue };
            let resources = held.start.resources;
            let extra = resources.cpu.saturating_sub(limit.cpu);
            if extra > free.cpu || held.stop.is_some() {
                continue;
            }
            free.cpu = free.cpu.saturating_sub(extra);
            held.throttle = None;
            // A throttle that is sent again must not be overtaken by this command.
            held.settled = held.settled.max(until + MAX_DELIVERY_DELAY);
            let (task, attempt) = (task.clone(), *attempt);
            commands.push(WorkerCommand::Throttle { epoch, task, attempt, resources });
        }
        commands
    }

    fn stops(&mut self, now: Timestamp, epoch: Epoch) -> Vec<WorkerCommand> {
        let mut waves: BTreeMap<bool, Vec<Key>> = BTreeMap::new();
        for (key, held) in &mut self.held {
            let ended = held.state.is_ended();
            let Some(stop) = held.stop.as_mut().filter(|_| !ended) else { continue };
            let escalate = stop.checkpoint && now.since(stop.asked) >= CHECKPOINT_LIMIT;
            if !escalate && stop.sent.is_some_and(|sent| now.since(sent) < STOP_REPEAT) {
                continue;
            }
            stop.checkpoint &= !escalate;
            stop.sent = Some(now);
            waves.entry(stop.checkpoint).or_default().push(key.clone());
        }
        let command = |(checkpoint, tasks)| WorkerCommand::Stop { epoch, tasks, checkpoint };
        waves.into_iter().map(command).collect()
    }

    fn renewal(&mut self, now: Timestamp, epoch: Epoch, until: Timestamp) -> Option<WorkerCommand> {
        let live = |held: &super::Held| !held.state.is_ended() && held.stop.is_none();
        if !self.held.values().any(|held| live(held) && held.lease.is_due(now)) {
            return None;
        }
        let mut tasks = Vec::new();
        for (key, held) in self.held.iter_mut().filter(|(_, held)| live(held)) {
            held.lease.renew(now, until);
            tasks.push(key.clone());
        }
        let lease_ms = u64::try_from(TASK_LEASE.as_millis()).unwrap_or(u64::MAX);
        Some(WorkerCommand::Renew { epoch, tasks, lease_ms })
    }
}
