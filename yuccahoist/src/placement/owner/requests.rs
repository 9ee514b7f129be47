//! Requests of coordinators.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::Rng;

use super::Placement;
use crate::id::{Attempt, Epoch, Incarnation, JobId, PartitionId, ShardId, TaskId, WorkerId};
use crate::job::{
    JobKind, Room, ShardReplyBody, ShardRequest, ShardRequestBody, TaskOrder, TaskState, WaitReason,
};
use crate::lease::TaskLease;
use crate::placement::ledger::{Held, Ledger, StopOrder};
use crate::placement::message::{PlacementAction, PlacementDecision, TASK_LEASE, TaskStart, WorkerCommand};
use crate::placement::policy::Siblings;
use crate::placement::reservation::{Reservation, ReservationKey};
use crate::unit::{Resources, Timestamp};

use super::{PREEMPT_LIMIT, SEND_LIMIT, Turn};
use crate::lease::MAX_DELIVERY_DELAY;

/// Who asks, and the reservation in question.
struct Asked {
    from: Incarnation,
    key: ReservationKey,
}

impl Asked {
    fn numbered(self, reservation: u64) -> Self {
        let (shard, partition, epoch, _) = self.key;
        Self { from: self.from, key: (shard, partition, epoch, reservation) }
    }
}

/// What a reservation asks for.
struct Wish {
    tasks: Vec<TaskOrder>,
    partial: bool,
    expires: Duration,
}

impl Placement {
    pub(super) fn request(&mut self, turn: Turn<'_>, from: Incarnation, request: ShardRequest) {
        let Turn { now, rng, out } = turn;
        let ShardRequest { partition, epoch, shard, body } = request;
        let refusal = if !self.shards.get(&shard).is_some_and(|owned| owned.holds(now)) {
            Some(WaitReason::NoOwner)
        } else if !self.reservations.admit(partition, epoch, from) {
            Some(WaitReason::StaleCoordinator)
        } else {
            None
        };
        if let Some(reason) = refusal {
            if let ShardRequestBody::Reserve { reservation, .. } | ShardRequestBody::Commit { reservation } =
                body
            {
                let body = ShardReplyBody::Refused { reservation, reason };
                self.reply(from, (partition, &shard), body, out);
            }
            return;
        }
        for key in self.reservations.stale(&shard, partition, epoch) {
            self.release(now, &key);
        }
        let asked = Asked { from, key: (shard, partition, epoch, 0) };
        match body {
            ShardRequestBody::List => self.list(now, &asked, out),
            ShardRequestBody::Reserve { reservation, tasks, partial, expires } => {
                let asked = asked.numbered(reservation);
                self.reserve(Turn { now, rng, out }, &asked, Wish { tasks, partial, expires });
            }
            ShardRequestBody::Commit { reservation } => self.commit(now, &asked.numbered(reservation), out),
            ShardRequestBody::Release { reservation } => self.release(now, &asked.numbered(reservation).key),
            ShardRequestBody::Stop { tasks } => self.stop(now, &asked, tasks, out),
            ShardRequestBody::Acknowledge { tasks } => self.acknowledge(now, &tasks),
        }
    }

    fn list(&self, now: Timestamp, asked: &Asked, out: &mut Vec<PlacementAction>) {
        let (shard, partition, ..) = &asked.key;
        let complete = self.is_complete(now, shard);
        let mut tasks = Vec::new();
        let mut room = Room::default();
        for worker in self.workers_of(shard) {
            room.capacity += worker.spec.capacity;
            room.worker = room.worker.max(worker.spec.capacity);
            if self.is_ready(now, &worker.spec.worker) {
                room.total += worker.free();
                room.largest = room.largest.max(worker.free());
            }
            let own = |held: &&Held| self.partitions.get(&held.start.team) == Some(partition);
            tasks.extend(worker.held.values().filter(own).map(|held| held.report(&worker.spec)));
        }
        let body = ShardReplyBody::Tasks { tasks, complete, room };
        self.reply(asked.from, (*partition, shard), body, out);
    }

    pub(super) fn workers_of<'a>(&'a self, shard: &ShardId) -> impl Iterator<Item = &'a Ledger> {
        let entries = self.shards.get(shard).map(|owned| owned.index.entries()).unwrap_or_default();
        entries.iter().filter_map(|entry| self.workers.get(&entry.spec.worker))
    }

    /// Whether no task that is not in the ledger can run on the shard.
    fn is_complete(&self, now: Timestamp, shard: &ShardId) -> bool {
        let Some(owned) = self.shards.get(shard) else { return false };
        let lapsed = owned.lapsed().is_some_and(|at| now >= at);
        let listed = |worker: &Ledger| worker.listed.is_some_and(|listed| listed >= owned.settled());
        self.workers_of(shard).all(|worker| lapsed || listed(worker))
    }

    fn reserve(&mut self, turn: Turn<'_>, asked: &Asked, wish: Wish) {
        let Turn { now, rng, out } = turn;
        let (shard, partition, _, number) = &asked.key;
        if let Some(earlier) = self.reservations.live.get(&asked.key) {
            if earlier.waiting.is_none() {
                let body = ShardReplyBody::Reserved { reservation: *number, placed: earlier.placed() };
                self.reply(asked.from, (*partition, shard), body, out);
            }
            return;
        }
        if self.reservations.is_committed(&asked.key) {
            return;
        }
        let mut reservation =
            Reservation { from: asked.from, tasks: Vec::new(), expires: now + wish.expires, waiting: None };
        let mut left = Vec::new();
        let mut siblings: BTreeMap<JobId, Siblings> = BTreeMap::new();
        for order in wish.tasks {
            let key = (order.task.clone(), order.attempt);
            if self.reservations.is_stopped(&key) || self.located.contains_key(&key) {
                continue;
            }
            let known =
                siblings.entry(order.task.job.clone()).or_insert_with(|| self.siblings(shard, &order));
            match self.place((now, &mut *rng), shard, &order, known) {
                Some((worker, runner_up)) => {
                    let reason = "has room by the policy".to_owned();
                    let chosen = Some(worker.clone());
                    let task = order.task.clone();
                    out.push(PlacementAction::Decision(PlacementDecision {
                        task,
                        chosen,
                        runner_up,
                        reason,
                    }));
                    reservation.tasks.push((order, worker));
                }
                None => left.push(order),
            }
        }
        let mut reason = WaitReason::NoRoom;
        if !wish.partial && !left.is_empty() {
            reason = self.refusal(shard, &left);
            // Room is made for one task at a time, so that a failure on the next one costs no work in vain.
            if let [order] = left.as_slice()
                && reason == WaitReason::NoRoom
                && let Some(worker) = self.preempt(now, shard, order, out)
            {
                reservation.tasks.push((order.clone(), worker));
                reservation.waiting = Some(now + PREEMPT_LIMIT);
                left.clear();
            }
        }
        let failed = reservation.tasks.is_empty() || (!wish.partial && !left.is_empty());
        if failed {
            for (order, worker) in reservation.tasks {
                self.unreserve(now, &worker, order.resources);
            }
            let body = ShardReplyBody::Refused { reservation: *number, reason };
            self.reply(asked.from, (*partition, shard), body, out);
            return;
        }
        if reservation.waiting.is_none() {
            let body = ShardReplyBody::Reserved { reservation: *number, placed: reservation.placed() };
            self.reply(asked.from, (*partition, shard), body, out);
        }
        self.reservations.insert(asked.key.clone(), reservation);
    }

    fn siblings(&self, shard: &ShardId, order: &TaskOrder) -> Siblings {
        let mut siblings = Siblings::default();
        let Some(owned) = self.shards.get(shard) else { return siblings };
        if order.kind != JobKind::Service {
            return siblings;
        }
        for worker in self.workers_of(shard) {
            let same = |held: &&Held| !held.state.is_ended() && held.start.task.job == order.task.job;
            for _ in worker.held.values().filter(same) {
                siblings.add(owned.index.entry(worker.slot));
            }
        }
        siblings
    }

    fn place(
        &mut self,
        (now, rng): (Timestamp, &mut dyn Rng),
        shard: &ShardId,
        order: &TaskOrder,
        siblings: &mut Siblings,
    ) -> Option<(WorkerId, Option<WorkerId>)> {
        loop {
            let owned = self.shards.get(shard)?;
            let choice = self.policy.choose(order, siblings, &owned.index, rng);
            let slot = choice.chosen?;
            let entry = owned.index.entry(slot);
            let id = entry.spec.worker.clone();
            // The index may be older than a silence or the end of a grant.
            if self.is_ready(now, &id) {
                siblings.add(entry);
                let runner_up = choice.runner_up.map(|slot| owned.index.entry(slot).spec.worker.clone());
                let worker = self.workers.get_mut(&id)?;
                worker.reserved += order.resources;
                self.refresh(now, &id);
                return Some((id, runner_up));
            }
            self.refresh(now, &id);
        }
    }

    fn refusal(&self, shard: &ShardId, left: &[TaskOrder]) -> WaitReason {
        let fits = |order: &TaskOrder| self.workers_of(shard).any(|w| order.resources.fits(w.spec.capacity));
        if left.iter().all(fits) { WaitReason::NoRoom } else { WaitReason::LargerThanWorkers }
    }

    fn commit(&mut self, now: Timestamp, asked: &Asked, out: &mut Vec<PlacementAction>) {
        let (shard, partition, epoch, number) = &asked.key;
        let Some(reservation) = self.reservations.remove(&asked.key) else {
            if !self.reservations.is_committed(&asked.key) {
                let reason = WaitReason::ReservationExpired;
                let body = ShardReplyBody::Refused { reservation: *number, reason };
                self.reply(asked.from, (*partition, shard), body, out);
            }
            return;
        };
        let lapsed = now >= reservation.expires || reservation.waiting.is_some();
        if !lapsed {
            self.reservations.commit(now, &asked.key);
        }
        let mut absent = Vec::new();
        for (order, id) in reservation.tasks {
            let key = (order.task.clone(), order.attempt);
            let room = self.workers.get(&id).is_some_and(Ledger::within_capacity);
            self.unreserve(now, &id, order.resources);
            if lapsed || !room || !self.is_ready(now, &id) || self.reservations.is_stopped(&key) {
                self.reservations.stop(now, &key);
                absent.push(key);
            } else {
                self.start(now, &id, order, out);
            }
        }
        if lapsed {
            let reason = WaitReason::ReservationExpired;
            let body = ShardReplyBody::Refused { reservation: *number, reason };
            self.reply(asked.from, (*partition, shard), body, out);
        }
        if !absent.is_empty() {
            log::debug!("partition {partition} epoch {epoch}: {} tasks not started on {shard}", absent.len());
            self.reply(asked.from, (*partition, shard), ShardReplyBody::Absent { tasks: absent }, out);
        }
    }

    fn start(&mut self, now: Timestamp, id: &WorkerId, order: TaskOrder, out: &mut Vec<PlacementAction>) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let Some(owned) = self.shards.get(&worker.spec.shard) else { return };
        let start = TaskStart {
            epoch: owned.grant.epoch,
            task: order.task,
            attempt: order.attempt,
            team: order.team,
            kind: order.kind,
            priority: order.priority,
            resources: order.resources,
            lease_ms: u64::try_from(TASK_LEASE.as_millis()).unwrap_or(u64::MAX),
        };
        let key = (start.task.clone(), start.attempt);
        let until = owned.grant.until.min(now + SEND_LIMIT);
        let held = Held {
            start: start.clone(),
            state: TaskState::Starting,
            confirmed: false,
            usage: Resources::ZERO,
            throttle: None,
            lease: TaskLease::new(now, until),
            settled: until + MAX_DELIVERY_DELAY,
            stop: None,
        };
        worker.held.insert(key.clone(), held);
        self.located.insert(key, id.clone());
        self.command(now, id, WorkerCommand::Start(start), out);
        self.refresh(now, id);
        self.hurry(now, id);
    }

    pub(super) fn unreserve(&mut self, now: Timestamp, id: &WorkerId, resources: Resources) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.reserved -= resources;
            self.refresh(now, id);
        }
    }

    pub(super) fn release(&mut self, now: Timestamp, key: &ReservationKey) {
        let Some(reservation) = self.reservations.remove(key) else { return };
        for (order, worker) in reservation.tasks {
            self.unreserve(now, &worker, order.resources);
        }
    }

    fn stop(
        &mut self,
        now: Timestamp,
        asked: &Asked,
        tasks: Vec<(TaskId, Attempt)>,
        out: &mut Vec<PlacementAction>,
    ) {
        let (shard, partition, ..) = &asked.key;
        let mut workers = BTreeSet::new();
        let mut absent = Vec::new();
        for key in tasks {
            // A start that arrives after its stop must not take effect.
            self.reservations.stop(now, &key);
            let id = self.located.get(&key).cloned();
            let held = id.as_ref().and_then(|id| self.workers.get_mut(id)?.held.get_mut(&key));
            match (id, held) {
                (Some(_), Some(held)) if held.state.is_ended() => self.report(&key, out),
                (Some(id), Some(held)) => {
                    let order = StopOrder { asked: now, sent: None, checkpoint: false };
                    match &mut held.stop {
                        Some(stop) => stop.checkpoint = false,
                        None => held.stop = Some(order),
                    }
                    workers.insert(id);
                }
                _ => absent.push(key),
            }
        }
        if !absent.is_empty() {
            self.withdraw(now, shard, *partition, &absent);
        }
        if !absent.is_empty() && self.is_complete(now, shard) {
            self.reply(asked.from, (*partition, shard), ShardReplyBody::Absent { tasks: absent }, out);
        }
        for id in workers {
            self.serve(now, &id, out);
        }
    }

    /// Takes stopped attempts out of reservations.
    fn withdraw(
        &mut self,
        now: Timestamp,
        shard: &ShardId,
        partition: PartitionId,
        stopped: &[(TaskId, Attempt)],
    ) {
        let stopped: BTreeSet<_> = stopped.iter().collect();
        let start = (shard.clone(), partition, Epoch(0), 0);
        let end = (shard.clone(), partition, Epoch(u64::MAX), u64::MAX);
        let mut freed = Vec::new();
        for (_, reservation) in self.reservations.live.range_mut(start..=end) {
            reservation.tasks.retain(|(order, worker)| {
                let keep = !stopped.contains(&(order.task.clone(), order.attempt));
                if !keep {
                    freed.push((worker.clone(), order.resources));
                }
                keep
            });
        }
        for (worker, resources) in freed {
            self.unreserve(now, &worker, resources);
        }
    }

    fn acknowledge(&mut self, now: Timestamp, tasks: &[(TaskId, Attempt)]) {
        for key in tasks {
            let Some(id) = self.located.get(key).cloned() else { continue };
            let Some(worker) = self.workers.get_mut(&id) else { continue };
            if !worker.held.get(key).is_some_and(|held| held.state.is_ended()) {
                continue;
            }
            if let Some(held) = worker.held.remove(key) {
                worker.forget.insert(key.clone(), held.settled);
            }
            self.located.remove(key);
            self.hurry(now, &id);
        }
    }
}
