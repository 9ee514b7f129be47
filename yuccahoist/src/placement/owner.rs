//! Shard owner's side of placement.

mod preempt;
mod requests;
mod serve;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::Rng;

use super::index::WorkerIndex;
use super::ledger::{Held, Key, Ledger, Sent, StopOrder};
use super::message::{
    Inventory, PlacementAction, PlacementDecision, PlacementEvent, WorkerCommand, WorkerSpec,
};
use super::policy::{Packing, PlacementPolicy};
use super::reservation::Reservations;
use crate::duty::Duty;
use crate::health::WorkerHealth;
use crate::id::{Epoch, Incarnation, PartitionId, ShardId, TeamId, WorkerId};
use crate::job::{JobKind, ShardReply, ShardReplyBody, TaskState};
use crate::lease::{MAX_DELIVERY_DELAY, TaskLease, UNRESPONSIVE_TIMEOUT};
use crate::ownership::{Grant, Share};
use crate::unit::{Resources, Timestamp};

/// Time after which a command that has not left is dropped.
const SEND_LIMIT: Duration = Duration::from_millis(500);
/// Time between inventories of a worker whose state is known.
const POLL: Duration = Duration::from_secs(2);
/// Time between inventories of a worker that starts or stops tasks or is not known yet.
const FAST_POLL: Duration = Duration::from_millis(250);
/// Time after which a stop is sent again.
const STOP_REPEAT: Duration = Duration::from_secs(1);
/// Time that a preempted task has to save its state before it is stopped.
const CHECKPOINT_LIMIT: Duration = Duration::from_millis(500);
/// Time for which a reservation waits for preempted tasks to end.
const PREEMPT_LIMIT: Duration = Duration::from_millis(1_200);
/// Part of its processors that a throttled task keeps: one in this many.
const THROTTLE_PART: u64 = 2;

/// Time, randomness and receiver of actions while an event is handled.
struct Turn<'a> {
    now: Timestamp,
    rng: &'a mut dyn Rng,
    out: &'a mut Vec<PlacementAction>,
}

/// Result of a command.
struct Answer {
    ticket: u64,
    inventory: Inventory,
}

/// Lease on a shard.
#[derive(Debug)]
struct Shard {
    grant: Grant,
    /// Time of the first grant with evidence that the earlier owner ended, after which it renews no task lease.
    full: Option<Timestamp>,
    index: WorkerIndex,
}

impl Shard {
    fn holds(&self, now: Timestamp) -> bool {
        now < self.grant.until && self.grant.share != Share::Nothing
    }

    /// Time after which an inventory must be asked for before anything is started.
    fn settled(&self) -> Timestamp {
        self.grant.settled + MAX_DELIVERY_DELAY
    }

    /// Time at which tasks on a worker that never answered have lapsed.
    fn lapsed(&self) -> Option<Timestamp> {
        let ended = self.full?.max(self.grant.settled);
        Some(TaskLease::new(ended, ended + MAX_DELIVERY_DELAY).expiry())
    }
}

/// Shard owner's side of placement.
#[derive(Debug)]
pub struct Placement {
    specs: BTreeMap<WorkerId, WorkerSpec>,
    draining: BTreeSet<WorkerId>,
    shards: BTreeMap<ShardId, Shard>,
    workers: BTreeMap<WorkerId, Ledger>,
    located: BTreeMap<Key, WorkerId>,
    reservations: Reservations,
    partitions: BTreeMap<TeamId, PartitionId>,
    health: WorkerHealth,
    policy: Box<dyn PlacementPolicy>,
    timers: BTreeSet<(Timestamp, WorkerId)>,
    ticket: u64,
}

impl Default for Placement {
    fn default() -> Self {
        Self::new()
    }
}

impl Placement {
    /// Placement that owns no shard yet.
    #[must_use]
    pub fn new() -> Self {
        Self::with_policy(Box::new(Packing))
    }

    /// Placement with another policy.
    #[must_use]
    pub fn with_policy(policy: Box<dyn PlacementPolicy>) -> Self {
        Self {
            specs: BTreeMap::new(),
            draining: BTreeSet::new(),
            shards: BTreeMap::new(),
            workers: BTreeMap::new(),
            located: BTreeMap::new(),
            reservations: Reservations::default(),
            partitions: BTreeMap::new(),
            health: WorkerHealth::default(),
            policy,
            timers: BTreeSet::new(),
            ticket: 0,
        }
    }

    /// Free capacity of a worker for new tasks; none when its shard is not owned.
    #[must_use]
    pub fn free(&self, worker: &WorkerId) -> Option<Resources> {
        self.workers.get(worker).map(Ledger::free)
    }

    /// Whether a worker is isolated because it fails everything.
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
        let gone: Vec<_> = self.workers.keys().filter(|id| !self.specs.contains_key(*id)).cloned().collect();
        for id in gone {
            // The tasks of a removed worker stay in the ledger until they end; it only takes no new ones.
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.draining = true;
            }
            self.refresh(now, &id);
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
            self.timers.remove(&(worker.wake, id.clone()));
            worker.wake = now;
            self.timers.insert((now, id.clone()));
        }
    }

    fn grant(&mut self, now: Timestamp, shard: &ShardId, grant: Grant) {
        let known = self.shards.get(shard).map(|owned| owned.grant.epoch);
        if known.is_some_and(|epoch| grant.epoch < epoch) {
            return;
        }
        if known != Some(grant.epoch) {
            self.drop_shard(shard);
            let owned = Shard { grant: grant.clone(), full: None, index: WorkerIndex::default() };
            self.shards.insert(shard.clone(), owned);
            self.add_workers(now, shard);
        }
        let Some(owned) = self.shards.get_mut(shard) else { return };
        let opened = (owned.grant.tasks, owned.grant.share) != (grant.tasks, grant.share);
        if grant.share == Share::Full && owned.full.is_none() {
            owned.full = Some(now);
        }
        owned.grant = grant;
        if opened {
            self.refresh_shard(now, shard);
        }
    }

    fn drop_shard(&mut self, shard: &ShardId) {
        self.shards.remove(shard);
        let ids: Vec<_> =
            self.workers.iter().filter(|(_, w)| w.spec.shard == *shard).map(|(id, _)| id.clone()).collect();
        for id in ids {
            if let Some(worker) = self.workers.remove(&id) {
                self.timers.remove(&(worker.wake, id.clone()));
                for key in worker.held.keys() {
                    self.located.remove(key);
                }
            }
            self.health.remove(&id);
        }
        let keys: Vec<_> = self.reservations.live.keys().filter(|key| key.0 == *shard).cloned().collect();
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
            self.refresh(now, &id);
        }
    }

    /// Whether new tasks may be started on a worker.
    fn is_ready(&self, now: Timestamp, id: &WorkerId) -> bool {
        let Some(worker) = self.workers.get(id) else { return false };
        let Some(owned) = self.shards.get(&worker.spec.shard) else { return false };
        let fresh = |listed: Timestamp| listed >= owned.settled() && now.since(listed) < UNRESPONSIVE_TIMEOUT;
        owned.holds(now)
            && owned.grant.tasks
            && !worker.draining
            && worker.listed.is_some_and(fresh)
            && !self.health.is_isolated(now, id)
    }

    /// Writes a worker's free capacity to the index.
    fn refresh(&mut self, now: Timestamp, id: &WorkerId) {
        let ready = self.is_ready(now, id);
        let Some(worker) = self.workers.get(id) else { return };
        if let Some(owned) = self.shards.get_mut(&worker.spec.shard) {
            owned.index.set(worker.slot, worker.free(), ready);
        }
    }

    fn command(
        &mut self,
        now: Timestamp,
        id: &WorkerId,
        command: WorkerCommand,
        out: &mut Vec<PlacementAction>,
    ) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let Some(owned) = self.shards.get(&worker.spec.shard) else { return };
        self.ticket += 1;
        let until = owned.grant.until.min(now + SEND_LIMIT);
        let throttle = match &command {
            WorkerCommand::Throttle { task, attempt, resources, .. } => {
                Some(((task.clone(), *attempt), *resources))
            }
            _ => None,
        };
        worker.pending.insert(self.ticket, Sent { at: now, throttle });
        worker.polled = Some(now);
        out.push(PlacementAction::Command { worker: id.clone(), ticket: self.ticket, command, until });
    }

    fn done(&mut self, now: Timestamp, id: &WorkerId, answer: Answer, out: &mut Vec<PlacementAction>) {
        let Answer { ticket, inventory } = answer;
        let Some(worker) = self.workers.get_mut(id) else { return };
        let Some(sent) = worker.pending.remove(&ticket) else { return };
        let silent = worker.listed.is_none_or(|listed| now.since(listed) >= UNRESPONSIVE_TIMEOUT);
        let mut changed = Vec::new();
        let throttle = sent.throttle.filter(|(key, _)| inventory.is_running(key));
        worker.merge(sent.at, inventory, &mut changed);
        if let Some((key, limit)) = throttle
            && let Some(held) = worker.held.get_mut(&key)
        {
            let full = held.start.resources.cpu;
            held.throttle = (limit.cpu < full).then_some(limit);
        }
        for key in worker.held.keys() {
            self.located.entry(key.clone()).or_insert_with(|| id.clone());
        }
        self.changed(now, id, changed, out);
        if silent {
            self.serve(now, id, out);
        }
    }

    /// Follows changes of attempts: health, reports, free capacity and waiting reservations.
    fn changed(&mut self, now: Timestamp, id: &WorkerId, keys: Vec<Key>, out: &mut Vec<PlacementAction>) {
        for key in keys {
            self.report(&key, out);
            let Some(held) = self.workers.get(id).and_then(|worker| worker.held.get(&key)) else { continue };
            match held.state {
                TaskState::Succeeded => self.health.succeeded(id, &key.0.job),
                TaskState::Failed if self.health.failed(now, id, &key.0.job) => {
                    let reason =
                        "isolated: its failures span several jobs, at a rate far above other workers";
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
        self.refresh(now, id);
        self.settle_waiting(now, id, out);
    }

    fn report(&self, key: &Key, out: &mut Vec<PlacementAction>) {
        let Some(worker) = self.located.get(key).and_then(|id| self.workers.get(id)) else { return };
        let Some(held) = worker.held.get(key) else { return };
        let Some(partition) = self.partitions.get(&held.start.team) else { return };
        let Some(to) = self.reservations.coordinator(*partition) else { return };
        let body = ShardReplyBody::Changed(held.report(&worker.spec));
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

    fn lost(&mut self, shard: &ShardId, epoch: Epoch) {
        if self.shards.get(shard).is_some_and(|owned| owned.grant.epoch <= epoch) {
            self.drop_shard(shard);
        }
    }

    /// Services of a leaving worker move at once; batch and gang work may end on it.
    fn drain(&mut self, now: Timestamp, id: &WorkerId, draining: bool, out: &mut Vec<PlacementAction>) {
        if draining {
            self.draining.insert(id.clone());
        } else {
            self.draining.remove(id);
        }
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.draining = draining;
        let services = worker.held.values_mut().filter(|held| held.start.kind == JobKind::Service);
        for held in services.filter(|held| draining && !held.state.is_ended() && held.stop.is_none()) {
            held.stop = Some(StopOrder { asked: now, sent: None, checkpoint: true });
        }
        self.serve(now, id, out);
    }

    fn tick(&mut self, now: Timestamp, out: &mut Vec<PlacementAction>) {
        self.serve_due(now, out);
        for key in self.reservations.expired(now) {
            self.release(now, &key);
        }
        self.give_up(now, out);
        self.reservations.trim(now);
    }
}

impl Duty for Placement {
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
                self.grant(now, &shard, grant);
                self.serve_due(now, out);
            }
            PlacementEvent::Lost { shard, epoch } => self.lost(&shard, epoch),
            PlacementEvent::Request { from, request } => self.request(Turn { now, rng, out }, from, request),
            PlacementEvent::Done { worker, ticket, inventory } => {
                self.done(now, &worker, Answer { ticket, inventory }, out);
            }
            PlacementEvent::Failed { worker, ticket } => {
                if let Some(worker) = self.workers.get_mut(&worker) {
                    worker.pending.remove(&ticket);
                }
            }
            PlacementEvent::Draining { worker, draining } => self.drain(now, &worker, draining, out),
            PlacementEvent::Partitions(partitions) => self.partitions = partitions,
            PlacementEvent::Tick => self.tick(now, out),
        }
    }
}
