//! State machine of the shard owner: leases on shards, worker ledgers and commands to workers.

mod preempt;
mod reconcile;
mod requests;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::Rng;

use super::index::WorkerIndex;
use super::message::{
    Inventory, PlacementAction, PlacementDecision, PlacementEvent, WorkerCommand, WorkerSpec,
};
use super::policy::{Packing, PlacementPolicy};
use super::reservation::Reservations;
use super::worker_ledger::{Allocation, AttemptKey, Ledger, PendingCommand, StopRequest};
use crate::health::WorkerHealth;
use crate::id::{Epoch, Incarnation, PartitionId, ShardId, TeamId, WorkerId};
use crate::job::{JobKind, ShardReply, ShardReplyBody, TaskState};
use crate::lease::{MAX_DELIVERY_DELAY, TaskLease, UNRESPONSIVE_TIMEOUT};
use crate::ownership::{Grant, Share};
use crate::state_machine::StateMachine;
use crate::unit::{Resources, Timestamp};

/// Time after which a command that was not sent is dropped.
const COMMAND_SEND_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval between inventories of a worker whose state is known and does not change.
const INVENTORY_INTERVAL: Duration = Duration::from_secs(2);
/// Interval between inventories of a worker that starts or stops tasks or has no valid inventory yet.
const FAST_INVENTORY_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which unconfirmed stop and forget commands are sent again.
const STOP_RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Time that a task has to save a checkpoint before it is stopped without one.
const CHECKPOINT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for which a reservation waits for preempted tasks to end before it is refused.
const PREEMPTION_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Divisor of the declared processors that gives the limit of a throttled task.
const THROTTLE_DIVISOR: u64 = 2;

/// Time, random source and output of the event that is being handled.
struct EventContext<'a> {
    now: Timestamp,
    rng: &'a mut dyn Rng,
    out: &'a mut Vec<PlacementAction>,
}

/// Successful result of a command.
struct CommandResult {
    ticket: u64,
    inventory: Inventory,
}

/// Shard on which this host holds a lease.
#[derive(Debug)]
struct OwnedShard {
    grant: Grant,
    /// Time of the first grant of a full share, which shows that the earlier owners have ended and renew no task lease.
    full_at: Option<Timestamp>,
    index: WorkerIndex,
}

impl OwnedShard {
    /// Whether commands may be sent to the workers of the shard.
    fn is_active(&self, now: Timestamp) -> bool {
        now < self.grant.valid_until && self.grant.share != Share::Nothing
    }

    /// Returns the time from which a requested inventory shows all tasks that earlier owners started.
    fn inventory_valid_from(&self) -> Timestamp {
        self.grant.settled_at + MAX_DELIVERY_DELAY
    }

    /// Returns the time at which tasks of earlier owners have ended even on a worker that never responded.
    ///
    /// None while an earlier owner may still renew their leases.
    fn tasks_expire_at(&self) -> Option<Timestamp> {
        let last_renewal = self.full_at?.max(self.grant.settled_at);
        Some(TaskLease::new(last_renewal, last_renewal + MAX_DELIVERY_DELAY).expiry())
    }
}

/// Placement state machine of the shards that this host owns.
#[derive(Debug)]
pub struct Placement {
    specs: BTreeMap<WorkerId, WorkerSpec>,
    draining: BTreeSet<WorkerId>,
    shards: BTreeMap<ShardId, OwnedShard>,
    workers: BTreeMap<WorkerId, Ledger>,
    /// Worker that holds each attempt.
    locations: BTreeMap<AttemptKey, WorkerId>,
    reservations: Reservations,
    partitions: BTreeMap<TeamId, PartitionId>,
    health: WorkerHealth,
    policy: Box<dyn PlacementPolicy>,
    /// Time of the next reconciliation of each worker, as in its ledger.
    timers: BTreeSet<(Timestamp, WorkerId)>,
    /// Last ticket given to a command.
    ticket: u64,
}

impl Default for Placement {
    fn default() -> Self {
        Self::new()
    }
}

impl Placement {
    /// Creates a placement that owns no shard and uses the [`Packing`] policy.
    #[must_use]
    pub fn new() -> Self {
        Self::with_policy(Box::new(Packing))
    }

    /// Creates a placement that owns no shard and uses `policy`.
    #[must_use]
    pub fn with_policy(policy: Box<dyn PlacementPolicy>) -> Self {
        Self {
            specs: BTreeMap::new(),
            draining: BTreeSet::new(),
            shards: BTreeMap::new(),
            workers: BTreeMap::new(),
            locations: BTreeMap::new(),
            reservations: Reservations::default(),
            partitions: BTreeMap::new(),
            health: WorkerHealth::default(),
            policy,
            timers: BTreeSet::new(),
            ticket: 0,
        }
    }

    /// Returns the free capacity of a worker for new tasks; none when its shard is not owned.
    #[must_use]
    pub fn free_capacity(&self, worker: &WorkerId) -> Option<Resources> {
        self.workers.get(worker).map(Ledger::free)
    }

    /// Whether a worker is isolated because most tasks fail on it.
    #[must_use]
    pub fn is_isolated(&self, now: Timestamp, worker: &WorkerId) -> bool {
        self.health.is_isolated(now, worker)
    }

    fn configure(&mut self, now: Timestamp, specs: Vec<WorkerSpec>) {
        self.specs = specs.into_iter().map(|spec| (spec.worker.clone(), spec)).collect();
        let owned: Vec<_> = self.shards.keys().cloned().collect();
        for shard in owned {
            self.add_workers(now, &shard);
        }
        let removed: Vec<_> =
            self.workers.keys().filter(|id| !self.specs.contains_key(*id)).cloned().collect();
        for id in removed {
            // The tasks of a removed worker stay in the ledger until they end; the worker gets no new ones.
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.draining = true;
            }
            self.refresh_index(now, &id);
        }
    }

    fn add_workers(&mut self, now: Timestamp, shard: &ShardId) {
        let Some(owned) = self.shards.get_mut(shard) else { return };
        for spec in self.specs.values().filter(|spec| spec.shard == *shard) {
            let slot = owned.index.insert(spec.clone());
            let id = &spec.worker;
            self.health.add(id);
            let worker = self.workers.entry(id.clone()).or_insert_with(|| Ledger::new(spec.clone(), slot));
            worker.spec.capacity = spec.capacity;
            worker.draining = self.draining.contains(id);
            self.timers.remove(&(worker.wake_at, id.clone()));
            worker.wake_at = now;
            self.timers.insert((now, id.clone()));
        }
    }

    fn apply_grant(&mut self, now: Timestamp, shard: &ShardId, grant: Grant) {
        let current_epoch = self.shards.get(shard).map(|owned| owned.grant.epoch);
        if current_epoch.is_some_and(|epoch| grant.epoch < epoch) {
            return;
        }
        if current_epoch != Some(grant.epoch) {
            self.drop_shard(shard);
            let owned = OwnedShard { grant: grant.clone(), full_at: None, index: WorkerIndex::default() };
            self.shards.insert(shard.clone(), owned);
            self.add_workers(now, shard);
        }
        let Some(owned) = self.shards.get_mut(shard) else { return };
        let permission_changed =
            (owned.grant.may_start_tasks, owned.grant.share) != (grant.may_start_tasks, grant.share);
        if grant.share == Share::Full && owned.full_at.is_none() {
            owned.full_at = Some(now);
        }
        owned.grant = grant;
        if permission_changed {
            self.refresh_shard(now, shard);
        }
    }

    fn drop_shard(&mut self, shard: &ShardId) {
        self.shards.remove(shard);
        let ids: Vec<_> =
            self.workers.iter().filter(|(_, w)| w.spec.shard == *shard).map(|(id, _)| id.clone()).collect();
        for id in ids {
            if let Some(worker) = self.workers.remove(&id) {
                self.timers.remove(&(worker.wake_at, id.clone()));
                for key in worker.allocations.keys() {
                    self.locations.remove(key);
                }
            }
            self.health.remove(&id);
        }
        let keys: Vec<_> = self.reservations.active.keys().filter(|key| key.0 == *shard).cloned().collect();
        for key in keys {
            self.reservations.remove(&key);
        }
    }

    fn refresh_shard(&mut self, now: Timestamp, shard: &ShardId) {
        let ids: Vec<_> = match self.shards.get(shard) {
            Some(owned) => owned.index.entries().iter().map(|entry| entry.spec.worker.clone()).collect(),
            None => return,
        };
        for id in ids {
            self.refresh_index(now, &id);
        }
    }

    /// Whether new tasks may be started on a worker: its shard allows it, its inventory is recent, and it is neither
    /// draining nor isolated.
    fn is_ready(&self, now: Timestamp, id: &WorkerId) -> bool {
        let Some(worker) = self.workers.get(id) else { return false };
        let Some(owned) = self.shards.get(&worker.spec.shard) else { return false };
        let is_current =
            |at: Timestamp| at >= owned.inventory_valid_from() && now.since(at) < UNRESPONSIVE_TIMEOUT;
        owned.is_active(now)
            && owned.grant.may_start_tasks
            && !worker.draining
            && worker.inventory_at.is_some_and(is_current)
            && !self.health.is_isolated(now, id)
    }

    /// Updates a worker's free capacity and readiness in the index of its shard.
    fn refresh_index(&mut self, now: Timestamp, id: &WorkerId) {
        let ready = self.is_ready(now, id);
        let Some(worker) = self.workers.get(id) else { return };
        if let Some(owned) = self.shards.get_mut(&worker.spec.shard) {
            owned.index.update(worker.slot, worker.free(), ready);
        }
    }

    /// Queues a command to a worker and records it as pending.
    fn queue_command(
        &mut self,
        now: Timestamp,
        id: &WorkerId,
        command: WorkerCommand,
        out: &mut Vec<PlacementAction>,
    ) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let Some(owned) = self.shards.get(&worker.spec.shard) else { return };
        self.ticket += 1;
        let until = owned.grant.valid_until.min(now + COMMAND_SEND_TIMEOUT);
        let throttle = match &command {
            WorkerCommand::Throttle { task, attempt, resources, .. } => {
                Some(((task.clone(), *attempt), *resources))
            }
            _ => None,
        };
        worker.pending.insert(self.ticket, PendingCommand { queued_at: now, throttle });
        worker.last_command = Some(now);
        out.push(PlacementAction::Command { worker: id.clone(), ticket: self.ticket, command, until });
    }

    fn handle_result(
        &mut self,
        now: Timestamp,
        id: &WorkerId,
        result: CommandResult,
        out: &mut Vec<PlacementAction>,
    ) {
        let CommandResult { ticket, inventory } = result;
        let Some(worker) = self.workers.get_mut(id) else { return };
        let Some(command) = worker.pending.remove(&ticket) else { return };
        let was_unresponsive = worker.inventory_at.is_none_or(|at| now.since(at) >= UNRESPONSIVE_TIMEOUT);
        let mut changed = Vec::new();
        let throttle = command.throttle.filter(|(key, _)| inventory.has_running(key));
        worker.merge(command.queued_at, inventory, &mut changed);
        if let Some((key, limit)) = throttle
            && let Some(allocation) = worker.allocations.get_mut(&key)
        {
            let declared = allocation.start.resources.cpu;
            allocation.throttle = (limit.cpu < declared).then_some(limit);
        }
        for key in worker.allocations.keys() {
            self.locations.entry(key.clone()).or_insert_with(|| id.clone());
        }
        self.apply_changes(now, id, changed, out);
        if was_unresponsive {
            self.reconcile_worker(now, id, out);
        }
    }

    /// Applies state changes of attempts: reports, worker health, free capacity and waiting reservations.
    fn apply_changes(
        &mut self,
        now: Timestamp,
        id: &WorkerId,
        keys: Vec<AttemptKey>,
        out: &mut Vec<PlacementAction>,
    ) {
        for key in keys {
            self.report_attempt(&key, out);
            let Some(allocation) = self.workers.get(id).and_then(|w| w.allocations.get(&key)) else {
                continue;
            };
            match allocation.state {
                TaskState::Succeeded => self.health.record_success(id, &key.0.job),
                TaskState::Failed if self.health.record_failure(now, id, &key.0.job) => {
                    let reason =
                        "isolated: failures span several jobs at a rate far above that of other workers";
                    out.push(PlacementAction::Decision(PlacementDecision {
                        task: key.0.clone(),
                        chosen: Some(id.clone()),
                        runner_up: None,
                        reason: reason.into(),
                    }));
                }
                _ => {}
            }
        }
        self.refresh_index(now, id);
        self.complete_waiting(now, id, out);
    }

    /// Reports the state of an attempt to the coordinator of its team's partition, if that is known.
    fn report_attempt(&self, key: &AttemptKey, out: &mut Vec<PlacementAction>) {
        let Some(worker) = self.locations.get(key).and_then(|id| self.workers.get(id)) else { return };
        let Some(allocation) = worker.allocations.get(key) else { return };
        let Some(partition) = self.partitions.get(&allocation.start.team) else { return };
        let Some(to) = self.reservations.coordinator(*partition) else { return };
        let body = ShardReplyBody::Changed(allocation.report(&worker.spec));
        self.reply(to, (*partition, &worker.spec.shard), body, out);
    }

    fn reply(
        &self,
        to: Incarnation,
        (partition, shard): (PartitionId, &ShardId),
        body: ShardReplyBody,
        out: &mut Vec<PlacementAction>,
    ) {
        let epoch = self.shards.get(shard).map(|owned| owned.grant.epoch).unwrap_or_default();
        let reply = ShardReply { partition, shard: shard.clone(), epoch, body };
        out.push(PlacementAction::Reply { to, reply });
    }

    fn handle_lease_end(&mut self, shard: &ShardId, epoch: Epoch) {
        if self.shards.get(shard).is_some_and(|owned| owned.grant.epoch <= epoch) {
            self.drop_shard(shard);
        }
    }

    /// Starts or ends the drain of a worker; services are stopped at once, batch and gang work may run to its end.
    fn set_draining(
        &mut self,
        now: Timestamp,
        id: &WorkerId,
        draining: bool,
        out: &mut Vec<PlacementAction>,
    ) {
        if draining {
            self.draining.insert(id.clone());
        } else {
            self.draining.remove(id);
        }
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.draining = draining;
        let services = worker.allocations.values_mut().filter(|a| a.start.kind == JobKind::Service);
        for allocation in services.filter(|a| draining && !a.state.is_ended() && a.stop.is_none()) {
            allocation.stop = Some(StopRequest { requested_at: now, sent: None, checkpoint: true });
        }
        self.reconcile_worker(now, id, out);
    }

    fn tick(&mut self, now: Timestamp, out: &mut Vec<PlacementAction>) {
        self.reconcile_due(now, out);
        for key in self.reservations.expired(now) {
            self.release(now, &key);
        }
        self.cancel_overdue(now, out);
        self.reservations.prune(now);
    }
}

impl StateMachine for Placement {
    type Event = PlacementEvent;
    type Action = PlacementAction;

    fn handle(
        &mut self,
        now: Timestamp,
        event: PlacementEvent,
        rng: &mut dyn Rng,
        out: &mut Vec<PlacementAction>,
    ) {
        match event {
            PlacementEvent::Workers(specs) => self.configure(now, specs),
            PlacementEvent::Granted { shard, grant } => {
                self.apply_grant(now, &shard, grant);
                self.reconcile_due(now, out);
            }
            PlacementEvent::GrantLost { shard, epoch } => self.handle_lease_end(&shard, epoch),
            PlacementEvent::Request { from, request } => {
                self.handle_request(EventContext { now, rng, out }, from, request);
            }
            PlacementEvent::CommandSucceeded { worker, ticket, inventory } => {
                self.handle_result(now, &worker, CommandResult { ticket, inventory }, out);
            }
            PlacementEvent::CommandFailed { worker, ticket } => {
                if let Some(worker) = self.workers.get_mut(&worker) {
                    worker.pending.remove(&ticket);
                }
            }
            PlacementEvent::Draining { worker, draining } => self.set_draining(now, &worker, draining, out),
            PlacementEvent::Partitions(partitions) => self.partitions = partitions,
            PlacementEvent::Tick => self.tick(now, out),
        }
    }
}
