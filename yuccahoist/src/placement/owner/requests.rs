//! Handling of coordinator requests: list, reserve, commit, release, stop and acknowledge.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::Rng;

use super::Placement;
use crate::id::{Attempt, Epoch, Incarnation, JobId, PartitionId, ShardId, TaskId, WorkerId};
use crate::job::{
    JobKind, ShardCapacity, ShardReplyBody, ShardRequest, ShardRequestBody, TaskRequest, TaskState,
    WaitReason,
};
use crate::lease::TaskLease;
use crate::placement::message::{
    PlacementAction, PlacementDecision, TASK_LEASE_DURATION, TaskStart, WorkerCommand,
};
use crate::placement::policy::JobPlacement;
use crate::placement::reservation::{Reservation, ReservationKey};
use crate::placement::worker_ledger::{Allocation, Ledger, StopRequest};
use crate::unit::{Resources, Timestamp};

use super::{COMMAND_SEND_TIMEOUT, EventContext, PREEMPTION_TIMEOUT};
use crate::lease::MAX_DELIVERY_DELAY;

/// Sender of a coordinator request and the reservation that it refers to.
struct RequestContext {
    from: Incarnation,
    /// Reservation; its number is zero for a request without one.
    key: ReservationKey,
}

impl RequestContext {
    /// Returns the context with the number of a reservation in its key.
    fn with_id(self, reservation: u64) -> Self {
        let (shard, partition, epoch, _) = self.key;
        Self { from: self.from, key: (shard, partition, epoch, reservation) }
    }
}

/// Parameters of a reservation request.
struct ReserveRequest {
    tasks: Vec<TaskRequest>,
    /// Whether a reservation of some of the tasks is enough.
    partial: bool,
    /// Time from receipt after which the reservation expires.
    lifetime: Duration,
}

impl Placement {
    /// Handles a coordinator request; a coordinator that was replaced is refused, and its reservations are released.
    pub(super) fn handle_request(
        &mut self,
        event: EventContext<'_>,
        from: Incarnation,
        request: ShardRequest,
    ) {
        let EventContext { now, rng, out } = event;
        let ShardRequest { partition, epoch, shard, body } = request;
        let refusal = if !self.shards.get(&shard).is_some_and(|owned| owned.is_active(now)) {
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
        let context = RequestContext { from, key: (shard, partition, epoch, 0) };
        match body {
            ShardRequestBody::List => self.list_tasks(now, &context, out),
            ShardRequestBody::Reserve { reservation, tasks, partial, lifetime } => {
                let context = context.with_id(reservation);
                self.reserve(
                    EventContext { now, rng, out },
                    &context,
                    ReserveRequest { tasks, partial, lifetime },
                );
            }
            ShardRequestBody::Commit { reservation } => self.commit(now, &context.with_id(reservation), out),
            ShardRequestBody::Release { reservation } => self.release(now, &context.with_id(reservation).key),
            ShardRequestBody::Stop { tasks } => self.stop_tasks(now, &context, tasks, out),
            ShardRequestBody::Acknowledge { tasks } => self.acknowledge(now, &tasks),
        }
    }

    /// Replies with the tasks of the partition and the free capacity of the shard.
    fn list_tasks(&self, now: Timestamp, context: &RequestContext, out: &mut Vec<PlacementAction>) {
        let (shard, partition, ..) = &context.key;
        let complete = self.is_complete(now, shard);
        let mut tasks = Vec::new();
        let mut capacity = ShardCapacity::default();
        for worker in self.workers_of(shard) {
            capacity.total += worker.spec.capacity;
            capacity.largest_worker = capacity.largest_worker.max(worker.spec.capacity);
            if self.is_ready(now, &worker.spec.worker) {
                capacity.free_total += worker.free();
                capacity.free_largest = capacity.free_largest.max(worker.free());
            }
            let in_partition = |a: &&Allocation| self.partitions.get(&a.start.team) == Some(partition);
            tasks.extend(worker.allocations.values().filter(in_partition).map(|a| a.report(&worker.spec)));
        }
        let body = ShardReplyBody::Tasks { tasks, complete, capacity };
        self.reply(context.from, (*partition, shard), body, out);
    }

    pub(super) fn workers_of<'a>(&'a self, shard: &ShardId) -> impl Iterator<Item = &'a Ledger> {
        let entries = self.shards.get(shard).map(|owned| owned.index.entries()).unwrap_or_default();
        entries.iter().filter_map(|entry| self.workers.get(&entry.spec.worker))
    }

    /// Whether the ledgers hold every task that can run on the shard.
    fn is_complete(&self, now: Timestamp, shard: &ShardId) -> bool {
        let Some(owned) = self.shards.get(shard) else { return false };
        let expired = owned.tasks_expire_at().is_some_and(|at| now >= at);
        let has_inventory =
            |worker: &Ledger| worker.inventory_at.is_some_and(|at| at >= owned.inventory_valid_from());
        self.workers_of(shard).all(|worker| expired || has_inventory(worker))
    }

    fn reserve(&mut self, event: EventContext<'_>, context: &RequestContext, request: ReserveRequest) {
        let EventContext { now, rng, out } = event;
        let (shard, partition, _, number) = &context.key;
        if let Some(earlier) = self.reservations.active.get(&context.key) {
            if earlier.wait_deadline.is_none() {
                let body = ShardReplyBody::Reserved { reservation: *number, placed: earlier.assignments() };
                self.reply(context.from, (*partition, shard), body, out);
            }
            return;
        }
        if self.reservations.is_committed(&context.key) {
            return;
        }
        let mut reservation = Reservation {
            coordinator: context.from,
            tasks: Vec::new(),
            expires_at: now + request.lifetime,
            wait_deadline: None,
        };
        let mut unplaced = Vec::new();
        let mut job_placements: BTreeMap<JobId, JobPlacement> = BTreeMap::new();
        for task_request in request.tasks {
            let key = (task_request.task.clone(), task_request.attempt);
            if self.reservations.is_blocked(&key) || self.locations.contains_key(&key) {
                continue;
            }
            let job_placement = job_placements
                .entry(task_request.task.job.clone())
                .or_insert_with(|| self.job_placement(shard, &task_request));
            match self.place((now, &mut *rng), shard, &task_request, job_placement) {
                Some((worker, runner_up)) => {
                    let reason = "best worker with room by the placement policy".to_owned();
                    let chosen = Some(worker.clone());
                    let task = task_request.task.clone();
                    out.push(PlacementAction::Decision(PlacementDecision {
                        task,
                        chosen,
                        runner_up,
                        reason,
                    }));
                    reservation.tasks.push((task_request, worker));
                }
                None => unplaced.push(task_request),
            }
        }
        let mut reason = WaitReason::NoRoom;
        if !request.partial && !unplaced.is_empty() {
            reason = self.refusal_reason(shard, &unplaced);
            // Preempts for one task at a time, so that no work is stopped for a reservation that fails on another task.
            if let [task_request] = unplaced.as_slice()
                && reason == WaitReason::NoRoom
                && let Some(worker) = self.preempt(now, shard, task_request, out)
            {
                reservation.tasks.push((task_request.clone(), worker));
                reservation.wait_deadline = Some(now + PREEMPTION_TIMEOUT);
                unplaced.clear();
            }
        }
        let failed = reservation.tasks.is_empty() || (!request.partial && !unplaced.is_empty());
        if failed {
            for (task_request, worker) in reservation.tasks {
                self.release_capacity(now, &worker, task_request.resources);
            }
            let body = ShardReplyBody::Refused { reservation: *number, reason };
            self.reply(context.from, (*partition, shard), body, out);
            return;
        }
        if reservation.wait_deadline.is_none() {
            let body = ShardReplyBody::Reserved { reservation: *number, placed: reservation.assignments() };
            self.reply(context.from, (*partition, shard), body, out);
        }
        self.reservations.insert(context.key.clone(), reservation);
    }

    /// Returns the placed tasks of the job of a service task; empty for other work, which is not spread.
    fn job_placement(&self, shard: &ShardId, task_request: &TaskRequest) -> JobPlacement {
        let mut job_placement = JobPlacement::default();
        let Some(owned) = self.shards.get(shard) else { return job_placement };
        if task_request.kind != JobKind::Service {
            return job_placement;
        }
        for worker in self.workers_of(shard) {
            let is_same_job =
                |a: &&Allocation| !a.state.is_ended() && a.start.task.job == task_request.task.job;
            for _ in worker.allocations.values().filter(is_same_job) {
                job_placement.add(owned.index.entry(worker.slot));
            }
        }
        job_placement
    }

    /// Reserves resources for one task and returns the chosen and the second best worker.
    fn place(
        &mut self,
        (now, rng): (Timestamp, &mut dyn Rng),
        shard: &ShardId,
        task_request: &TaskRequest,
        job_placement: &mut JobPlacement,
    ) -> Option<(WorkerId, Option<WorkerId>)> {
        loop {
            let owned = self.shards.get(shard)?;
            let choice = self.policy.choose(task_request, job_placement, &owned.index, rng);
            let slot = choice.chosen?;
            let entry = owned.index.entry(slot);
            let id = entry.spec.worker.clone();
            // The index entry may predate a grant's end or the time-out of an unresponsive worker.
            if self.is_ready(now, &id) {
                job_placement.add(entry);
                let runner_up = choice.runner_up.map(|slot| owned.index.entry(slot).spec.worker.clone());
                let worker = self.workers.get_mut(&id)?;
                worker.reserved += task_request.resources;
                self.refresh_index(now, &id);
                return Some((id, runner_up));
            }
            self.refresh_index(now, &id);
        }
    }

    fn refusal_reason(&self, shard: &ShardId, unplaced: &[TaskRequest]) -> WaitReason {
        let fits = |task_request: &TaskRequest| {
            self.workers_of(shard).any(|w| task_request.resources.fits(w.spec.capacity))
        };
        if unplaced.iter().all(fits) { WaitReason::NoRoom } else { WaitReason::LargerThanWorkers }
    }

    /// Starts the tasks of a reservation, and refuses those for which the reservation no longer holds.
    fn commit(&mut self, now: Timestamp, context: &RequestContext, out: &mut Vec<PlacementAction>) {
        let (shard, partition, epoch, number) = &context.key;
        let Some(reservation) = self.reservations.remove(&context.key) else {
            if !self.reservations.is_committed(&context.key) {
                let reason = WaitReason::ReservationExpired;
                let body = ShardReplyBody::Refused { reservation: *number, reason };
                self.reply(context.from, (*partition, shard), body, out);
            }
            return;
        };
        let expired = now >= reservation.expires_at || reservation.wait_deadline.is_some();
        if !expired {
            self.reservations.commit(now, &context.key);
        }
        let mut absent = Vec::new();
        for (task_request, id) in reservation.tasks {
            let key = (task_request.task.clone(), task_request.attempt);
            let has_room = self.workers.get(&id).is_some_and(Ledger::is_within_capacity);
            self.release_capacity(now, &id, task_request.resources);
            if expired || !has_room || !self.is_ready(now, &id) || self.reservations.is_blocked(&key) {
                self.reservations.block(now, &key);
                absent.push(key);
            } else {
                self.start_task(now, &id, task_request, out);
            }
        }
        if expired {
            let reason = WaitReason::ReservationExpired;
            let body = ShardReplyBody::Refused { reservation: *number, reason };
            self.reply(context.from, (*partition, shard), body, out);
        }
        if !absent.is_empty() {
            log::debug!(
                "commit for partition {partition} epoch {epoch}: {} tasks not started on shard {shard}",
                absent.len()
            );
            self.reply(context.from, (*partition, shard), ShardReplyBody::Absent { tasks: absent }, out);
        }
    }

    fn start_task(
        &mut self,
        now: Timestamp,
        id: &WorkerId,
        task_request: TaskRequest,
        out: &mut Vec<PlacementAction>,
    ) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let Some(owned) = self.shards.get(&worker.spec.shard) else { return };
        let start = TaskStart {
            epoch: owned.grant.epoch,
            task: task_request.task,
            attempt: task_request.attempt,
            team: task_request.team,
            kind: task_request.kind,
            priority: task_request.priority,
            resources: task_request.resources,
            lease_ms: u64::try_from(TASK_LEASE_DURATION.as_millis()).unwrap_or(u64::MAX),
        };
        let key = (start.task.clone(), start.attempt);
        let until = owned.grant.valid_until.min(now + COMMAND_SEND_TIMEOUT);
        let allocation = Allocation {
            start: start.clone(),
            state: TaskState::Starting,
            confirmed: false,
            usage: Resources::ZERO,
            throttle: None,
            lease: TaskLease::new(now, until),
            settled_at: until + MAX_DELIVERY_DELAY,
            stop: None,
        };
        worker.allocations.insert(key.clone(), allocation);
        self.locations.insert(key, id.clone());
        self.queue_command(now, id, WorkerCommand::Start(start), out);
        self.refresh_index(now, id);
        self.reconcile_soon(now, id);
    }

    pub(super) fn release_capacity(&mut self, now: Timestamp, id: &WorkerId, resources: Resources) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.reserved -= resources;
            self.refresh_index(now, id);
        }
    }

    pub(super) fn release(&mut self, now: Timestamp, key: &ReservationKey) {
        let Some(reservation) = self.reservations.remove(key) else { return };
        for (task_request, worker) in reservation.tasks {
            self.release_capacity(now, &worker, task_request.resources);
        }
    }

    /// Requests stops without a checkpoint, and reports attempts that have ended or are not on the shard.
    fn stop_tasks(
        &mut self,
        now: Timestamp,
        context: &RequestContext,
        tasks: Vec<(TaskId, Attempt)>,
        out: &mut Vec<PlacementAction>,
    ) {
        let (shard, partition, ..) = &context.key;
        let mut workers = BTreeSet::new();
        let mut absent = Vec::new();
        for key in tasks {
            // A request that arrives after the stop of its attempt must have no effect.
            self.reservations.block(now, &key);
            let id = self.locations.get(&key).cloned();
            let allocation = id.as_ref().and_then(|id| self.workers.get_mut(id)?.allocations.get_mut(&key));
            match (id, allocation) {
                (Some(_), Some(allocation)) if allocation.state.is_ended() => self.report_attempt(&key, out),
                (Some(id), Some(allocation)) => {
                    let stop_request = StopRequest { requested_at: now, sent: None, checkpoint: false };
                    match &mut allocation.stop {
                        Some(stop) => stop.checkpoint = false,
                        None => allocation.stop = Some(stop_request),
                    }
                    workers.insert(id);
                }
                _ => absent.push(key),
            }
        }
        if !absent.is_empty() {
            self.remove_from_reservations(now, shard, *partition, &absent);
        }
        if !absent.is_empty() && self.is_complete(now, shard) {
            self.reply(context.from, (*partition, shard), ShardReplyBody::Absent { tasks: absent }, out);
        }
        for id in workers {
            self.reconcile_worker(now, &id, out);
        }
    }

    /// Removes stopped attempts from the reservations of a partition and releases their resources.
    fn remove_from_reservations(
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
        for (_, reservation) in self.reservations.active.range_mut(start..=end) {
            reservation.tasks.retain(|(task_request, worker)| {
                let keep = !stopped.contains(&(task_request.task.clone(), task_request.attempt));
                if !keep {
                    freed.push((worker.clone(), task_request.resources));
                }
                keep
            });
        }
        for (worker, resources) in freed {
            self.release_capacity(now, &worker, resources);
        }
    }

    /// Drops ended attempts whose end the coordinator has recorded, and lets the worker forget them.
    fn acknowledge(&mut self, now: Timestamp, tasks: &[(TaskId, Attempt)]) {
        for key in tasks {
            let Some(id) = self.locations.get(key).cloned() else { continue };
            let Some(worker) = self.workers.get_mut(&id) else { continue };
            if !worker.allocations.get(key).is_some_and(|a| a.state.is_ended()) {
                continue;
            }
            if let Some(allocation) = worker.allocations.remove(key) {
                worker.forget.insert(key.clone(), allocation.settled_at);
            }
            self.locations.remove(key);
            self.reconcile_soon(now, &id);
        }
    }
}
