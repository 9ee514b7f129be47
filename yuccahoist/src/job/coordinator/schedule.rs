//! Scheduling of queued jobs, and reservations of capacity at shard owners.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt;

use super::job_table::{Job, Phase, Run};
use super::{Coordinator, EventContext, PendingReservation};
use crate::id::{Attempt, JobId, PartitionId, ShardId, TaskId, TaskIndex, WorkerId};
use crate::job::{CoordinatorAction, JobKind, Priority, ShardRequestBody, TaskRequest, WaitReason};
use crate::placement::fitting_tasks;
use crate::unit::{Resources, Timestamp};

/// Lifetime after which the shard owner drops a reservation.
const RESERVATION_LIFETIME: Duration = Duration::from_secs(2);
/// Timeout for the reply to a reservation request.
const RESERVE_REPLY_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Lifetime of a reservation that may preempt tasks of lower priority.
const PREEMPTION_LIFETIME: Duration = Duration::from_secs(4);
/// Timeout for the reply to a reservation request that may preempt.
const PREEMPTION_REPLY_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Time for which a commit is retained, so that the tasks of a refused one are found.
const COMMIT_RETENTION: Duration = Duration::from_secs(10);
/// Maximum number of tasks in one reservation of a batch job or service.
const MAX_RESERVATION_TASKS: u32 = 32;
/// Maximum number of pending reservations of one job.
const MAX_PENDING_RESERVATIONS: usize = 8;
/// Maximum number of task sizes without capacity that one pass keeps.
const MAX_REFUSED_SIZES: usize = 16;
/// Maximum number of jobs visited by a pass between full passes.
const PARTIAL_PASS_JOBS: usize = 200;
/// Interval between passes over all queued jobs.
const FULL_PASS_INTERVAL: Duration = Duration::from_secs(1);

/// Queue position of a job: higher priority first, then submission order.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueueKey {
    priority: Reverse<Priority>,
    submit_order: u64,
    job: JobId,
}

impl QueueKey {
    pub fn of(job: &Job) -> Self {
        Self { priority: Reverse(job.spec.priority), submit_order: job.submit_order, job: job.id().clone() }
    }
}

/// Reservation to request from a shard owner.
struct ReservationRequest {
    shard: ShardId,
    tasks: Vec<TaskIndex>,
    may_preempt: bool,
}

impl Coordinator {
    /// Queues a job that has tasks waiting and is not ending.
    pub(super) fn enqueue(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get(id)
            && job.waiting() > 0
            && !job.is_ending()
        {
            self.queue.insert(QueueKey::of(job));
        }
    }

    /// Starts as many tasks as possible, in queue order, if a pass is due.
    pub(super) fn schedule_queue(&mut self, ctx: &mut EventContext<'_>) {
        let is_full = ctx.now.since(self.last_full_pass) >= FULL_PASS_INTERVAL;
        if self.partitions.is_empty() || !(is_full || self.needs_pass) {
            return;
        }
        self.needs_pass = false;
        let count = if is_full { self.queue.len() } else { PARTIAL_PASS_JOBS };
        if is_full {
            self.last_full_pass = ctx.now;
        }
        let ids: Vec<_> = self.queue.iter().take(count).map(|key| key.job.clone()).collect();
        // Later jobs have no higher priority, so sizes at least as large as one that did not fit do not fit either.
        let mut refused: Vec<Resources> = Vec::new();
        for id in ids {
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            let need = job.spec.resources;
            if job.spec.kind == JobKind::Batch && refused.iter().any(|size| size.fits(need)) {
                job.wait_reason.get_or_insert(WaitReason::NoRoom);
                continue;
            }
            self.start_job(ctx, &id);
            let reason = self.jobs.get(&id).and_then(|job| job.wait_reason.as_ref());
            if reason == Some(&WaitReason::NoRoom) && refused.len() < MAX_REFUSED_SIZES {
                refused.push(need);
            }
        }
    }

    /// Starts as many tasks of a job as possible, and records why the others wait.
    pub(super) fn start_job(&mut self, ctx: &mut EventContext<'_>, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        // A job of a partition that is not owned must not stay queued; it is queued again when a lease is granted.
        let is_foreign = !self.partitions.contains_key(&job.partition);
        if is_foreign || job.waiting() == 0 || job.is_ending() {
            self.queue.remove(&QueueKey::of(job));
            return;
        }
        let reason = match self.blocking_reason(ctx, job) {
            Some(reason) => Some(reason),
            None if job.spec.kind == JobKind::Gang => self.start_gang(ctx, id),
            None => self.start_tasks(ctx, id),
        };
        let Some(job) = self.jobs.get_mut(id) else { return };
        if reason.is_some() && reason != job.wait_reason {
            let text = reason.as_ref().map(ToString::to_string).unwrap_or_default();
            ctx.out.push(CoordinatorAction::Decision { job: id.clone(), text });
        }
        job.wait_reason = reason;
        if job.waiting() == 0 {
            let key = QueueKey::of(job);
            self.queue.remove(&key);
        }
    }

    /// Returns the reason why no task of a job can be started, if there is one.
    fn blocking_reason(&self, ctx: &EventContext<'_>, job: &Job) -> Option<WaitReason> {
        let Some(owned) = self.partitions.get(&job.partition) else { return Some(WaitReason::NoOwner) };
        if ctx.now >= owned.grant.valid_until || !owned.grant.may_start_tasks {
            return Some(WaitReason::NoOwner);
        }
        let unlimited = !self.settings.as_ref()?.quotas.contains_key(&job.spec.team);
        if !(self.is_recovered(job.partition) || job.is_new && unlimited) {
            return Some(WaitReason::Recovering);
        }
        if ctx.now < job.backoff_until {
            return Some(match () {
                () if job.suspended => WaitReason::Suspended,
                () if job.failed_rounds > 0 => WaitReason::GangIncomplete,
                () => WaitReason::EarlierAttempt,
            });
        }
        self.unsatisfiable_reason(job)
    }

    /// Returns the reason why a job can never run under the current configuration, if there is one.
    fn unsatisfiable_reason(&self, job: &Job) -> Option<WaitReason> {
        let is_gang = job.spec.kind == JobKind::Gang;
        let need = job.spec.resources;
        let minimum = if is_gang { need.times(job.waiting()) } else { need };
        let quota = self.settings.as_ref()?.quotas.get(&job.spec.team);
        if quota.is_some_and(|quota| !minimum.fits(*quota)) {
            return Some(WaitReason::LargerThanQuota);
        }
        if self.shards.values().any(|view| view.last_report.is_none()) {
            return None;
        }
        let fitting = self.shards.values().filter(|view| need.fits(view.capacity.largest_worker));
        let max_tasks: u64 = fitting.map(|view| u64::from(fitting_tasks(need, view.capacity.total))).sum();
        let is_enough = max_tasks >= if is_gang { u64::from(job.waiting()) } else { 1 };
        (!is_enough).then_some(WaitReason::LargerThanWorkers)
    }

    /// Returns how many waiting tasks of a job fit into its team's remaining quota.
    pub(super) fn tasks_within_quota(&self, job: &Job) -> u32 {
        let quota = self.settings.as_ref().and_then(|settings| settings.quotas.get(&job.spec.team));
        let Some(quota) = quota else { return job.waiting() };
        let remaining = quota.saturating_sub(self.usage(&job.spec.team));
        fitting_tasks(job.spec.resources, remaining).min(job.waiting())
    }

    /// Requests reservations for independent tasks and returns why the others wait, if any do.
    fn start_tasks(&mut self, ctx: &mut EventContext<'_>, id: &JobId) -> Option<WaitReason> {
        loop {
            let job = self.jobs.get(id)?;
            if job.waiting() == 0 {
                return None;
            }
            let pending_count = self.pending.values().filter(|pending| pending.job == *id).count();
            if pending_count >= MAX_PENDING_RESERVATIONS {
                return Some(WaitReason::NoRoom);
            }
            // A suspended job is probed with a single task.
            let limit = if job.suspended { u32::from(job.runs.is_empty()) } else { MAX_RESERVATION_TASKS };
            let count = self.tasks_within_quota(job).min(limit);
            if count == 0 {
                let is_probing = job.suspended && !job.runs.is_empty();
                return Some(if is_probing { WaitReason::Suspended } else { WaitReason::Quota });
            }
            let Some((shard, fit, may_preempt)) = self.choose_shard(ctx, job) else {
                return Some(self.no_room_reason());
            };
            let tasks = self.jobs.get_mut(id)?.take_waiting(count.min(fit));
            if tasks.is_empty() {
                return None;
            }
            self.reserve(ctx, id, ReservationRequest { shard, tasks, may_preempt }, RESERVATION_LIFETIME);
        }
    }

    /// Returns the reason for which no shard could be chosen.
    pub(super) fn no_room_reason(&self) -> WaitReason {
        let has_owner = self.shards.values().any(|view| view.owner.is_some());
        if has_owner { WaitReason::NoRoom } else { WaitReason::NoOwner }
    }

    /// Chooses a shard, the number of tasks to reserve on it, and whether the reservation may preempt.
    fn choose_shard(&self, ctx: &mut EventContext<'_>, job: &Job) -> Option<(ShardId, u32, bool)> {
        let chosen = match job.spec.kind {
            JobKind::Service => self.choose_spread(ctx, job).map(|shard| (shard, 1, false)),
            JobKind::Batch | JobKind::Gang => self.choose_packed(ctx, job),
        };
        chosen.or_else(|| self.choose_preemptible(ctx, job).map(|shard| (shard, 1, true)))
    }

    /// Chooses the fullest shard with enough capacity.
    ///
    /// A shard with accelerators is chosen only if they are needed or no other shard fits.
    fn choose_packed(&self, ctx: &EventContext<'_>, job: &Job) -> Option<(ShardId, u32, bool)> {
        let need = job.spec.resources;
        let needs_accelerators = need.accelerators.0 > 0;
        [needs_accelerators, true].into_iter().find_map(|accelerators| {
            let any_shard = self.capacity_index.first().map(|(.., shard)| shard.clone())?;
            // Starts below the needed CPU, because shards of equal free CPU are ordered by id.
            let start = (accelerators, need.cpu.0.saturating_sub(1), any_shard);
            let shards = self.capacity_index.range(start..).take_while(|key| key.0 == accelerators);
            shards.map(|(.., shard)| shard).find_map(|shard| {
                let view = self.shards.get(shard)?;
                let fit = fitting_tasks(need, view.capacity.free_total);
                view.has_room(ctx.now, need).then(|| (shard.clone(), fit.max(1), false))
            })
        })
    }

    /// Chooses the shard with the fewest tasks of the service in its zone, then in its rack, then the least loaded one.
    ///
    /// A shard with accelerators is avoided if the service needs none.
    fn choose_spread(&self, ctx: &EventContext<'_>, job: &Job) -> Option<ShardId> {
        let zones = self.settings.as_ref().map(|settings| &settings.zones)?;
        let mut in_zone: BTreeMap<_, u32> = BTreeMap::new();
        let mut in_shard: BTreeMap<&ShardId, u32> = BTreeMap::new();
        for run in job.runs.values() {
            *in_zone
                .entry(zones.get(&run.shard).map(|z| z.as_str()).unwrap_or(run.shard.as_str()))
                .or_default() += 1;
            *in_shard.entry(&run.shard).or_default() += 1;
        }
        let need = job.spec.resources;
        let candidates = self.shards.iter().filter(|(_, view)| view.has_room(ctx.now, need));
        let best = candidates.min_by_key(|(shard, view)| {
            let zone = zones.get(*shard).map(|z| z.as_str()).unwrap_or(shard.as_str());
            let wastes_accelerators =
                need.accelerators.0 == 0 && view.capacity.largest_worker.accelerators.0 > 0;
            let free = view.capacity.free_total.cpu.0 * 1_000 / view.capacity.total.cpu.0.max(1);
            let load = std::cmp::Reverse(free);
            let counts = (in_zone.get(zone).copied(), in_shard.get(shard).copied());
            (counts.0.unwrap_or_default(), counts.1.unwrap_or_default(), wastes_accelerators, load)
        });
        best.map(|(shard, _)| shard.clone())
    }

    /// Chooses a random shard that may have tasks of lower priority to preempt.
    fn choose_preemptible(&self, ctx: &mut EventContext<'_>, job: &Job) -> Option<ShardId> {
        if job.spec.priority == Priority::default() {
            return None;
        }
        let need = job.spec.resources;
        let now = ctx.now;
        let is_candidate = |view: &&super::ShardView| {
            view.owner.is_some()
                && need.fits(view.capacity.largest_worker)
                && !view.is_refused(now, need, true)
        };
        let count = self.shards.values().filter(is_candidate).count();
        if count == 0 {
            return None;
        }
        let position = ctx.rng.random_range(0..count);
        self.shards
            .iter()
            .filter(|(_, view)| is_candidate(view))
            .nth(position)
            .map(|(shard, _)| shard.clone())
    }

    /// Requests a reservation from a shard owner and returns its number.
    fn reserve(
        &mut self,
        ctx: &mut EventContext<'_>,
        id: &JobId,
        request: ReservationRequest,
        lifetime: Duration,
    ) -> Option<u64> {
        let ReservationRequest { shard, tasks, may_preempt } = request;
        let job = self.jobs.get(id)?;
        let (partition, need) = (job.partition, job.spec.resources);
        let epoch = self.partitions.get(&partition)?.grant.epoch;
        let (mut task_requests, mut attempts) = (Vec::new(), BTreeMap::new());
        for index in tasks {
            self.last_number += 1;
            let attempt = Attempt { epoch, counter: self.last_number };
            let job = self.jobs.get(id)?;
            let task_request = task_request(job, index, attempt);
            let run = Run {
                attempt,
                shard: shard.clone(),
                worker: None,
                phase: Phase::Reserving,
                phase_since: ctx.now,
                stop_sent: None,
                team: job.spec.team.clone(),
                resources: need,
                partition,
            };
            task_requests.push(task_request);
            attempts.insert(index, attempt);
            self.add_run(id, index, run);
        }
        self.last_number += 1;
        let number = self.last_number;
        let reserved = need.times(u32::try_from(attempts.len()).unwrap_or(u32::MAX));
        self.change_capacity(&shard, |capacity| capacity.free_total -= reserved);
        let lifetime = if may_preempt { PREEMPTION_LIFETIME } else { lifetime };
        let body = ShardRequestBody::Reserve {
            reservation: number,
            tasks: task_requests,
            partial: !may_preempt,
            lifetime,
        };
        self.send(ctx, partition, &shard, body);
        let timeout = if may_preempt { PREEMPTION_REPLY_TIMEOUT } else { RESERVE_REPLY_TIMEOUT };
        let (job, sent) = (id.clone(), ctx.now);
        let pending =
            PendingReservation { job, partition, shard, tasks: attempts, sent, timeout, may_preempt, need };
        self.pending.insert(number, pending);
        Some(number)
    }

    /// Requests a reservation for gang members and returns its number.
    pub(super) fn reserve_members(
        &mut self,
        ctx: &mut EventContext<'_>,
        id: &JobId,
        shard: ShardId,
        count: u32,
    ) -> Option<u64> {
        let tasks = self.jobs.get_mut(id)?.take_waiting(count);
        self.reserve(ctx, id, ReservationRequest { shard, tasks, may_preempt: false }, RESERVATION_LIFETIME)
    }

    /// Handles a successful reservation: commits it, hands it to the gang, or releases it.
    pub(super) fn handle_reserved(
        &mut self,
        ctx: &mut EventContext<'_>,
        (partition, shard): (PartitionId, &ShardId),
        number: u64,
        placed: Vec<(TaskId, WorkerId)>,
    ) {
        let Some(pending) = self.pending.remove(&number) else {
            // The reservation was cancelled, or the reply is a duplicate.
            if !self.is_held(number) && !self.committed.contains_key(&number) {
                self.send(ctx, partition, shard, ShardRequestBody::Release { reservation: number });
            }
            return;
        };
        let placed: BTreeMap<_, _> = placed.into_iter().map(|(task, worker)| (task.index, worker)).collect();
        let unplaced: Vec<_> =
            pending.tasks.keys().filter(|index| !placed.contains_key(index)).copied().collect();
        self.requeue_tasks(&pending, &unplaced);
        if !unplaced.is_empty() {
            self.limit_fit(ctx.now, &pending, u32::try_from(placed.len()).unwrap_or(u32::MAX));
            self.note_refusal(ctx, &pending);
        }
        let Some(job) = self.jobs.get_mut(&pending.job) else {
            self.send(ctx, partition, shard, ShardRequestBody::Release { reservation: number });
            return;
        };
        for (index, worker) in &placed {
            let attempt = pending.tasks.get(index);
            if let Some(run) = job.runs.get_mut(index).filter(|run| Some(&run.attempt) == attempt) {
                run.worker = Some(worker.clone());
            }
        }
        if job.gang_plan.is_some() {
            self.gang_reserved(ctx, pending, number, &placed);
            return;
        }
        let is_replaced = placed
            .keys()
            .any(|index| job.runs.get(index).map(|run| run.attempt) != pending.tasks.get(index).copied());
        if job.is_ending() || is_replaced {
            let indices: Vec<_> = placed.keys().copied().collect();
            self.send(ctx, partition, shard, ShardRequestBody::Release { reservation: number });
            self.requeue_tasks(&pending, &indices);
            return;
        }
        self.commit(ctx, pending, number, &placed);
    }

    /// Commits a reservation, which starts its tasks.
    pub(super) fn commit(
        &mut self,
        ctx: &mut EventContext<'_>,
        pending: PendingReservation,
        number: u64,
        placed: &BTreeMap<TaskIndex, WorkerId>,
    ) {
        let Some(job) = self.jobs.get_mut(&pending.job) else { return };
        for index in placed.keys() {
            if let Some(run) = job.runs.get_mut(index) {
                run.phase = Phase::Committing;
                run.phase_since = ctx.now;
            }
        }
        let body = ShardRequestBody::Commit { reservation: number };
        self.send(ctx, pending.partition, &pending.shard, body);
        let workers: Vec<_> = placed.values().map(ToString::to_string).collect();
        let text = format!("starts {} tasks on {}", placed.len(), workers.join(" "));
        ctx.out.push(CoordinatorAction::Decision { job: pending.job.clone(), text });
        self.committed.insert(number, (ctx.now, pending));
    }

    /// Returns uncommitted tasks of a reservation to the waiting tasks of their job.
    pub(super) fn requeue_tasks(&mut self, pending: &PendingReservation, indices: &[TaskIndex]) {
        for index in indices {
            let Some(attempt) = pending.tasks.get(index) else { continue };
            let Some(job) = self.jobs.get_mut(&pending.job) else { continue };
            if job.runs.get(index).is_some_and(|run| run.attempt == *attempt && run.phase == Phase::Reserving)
            {
                job.requeued.insert(*index);
                self.remove_run(&pending.job, *index);
            }
        }
        let count = u32::try_from(indices.len()).unwrap_or(u32::MAX);
        let freed = pending.need.times(count);
        self.change_capacity(&pending.shard, |capacity| capacity.free_total += freed);
        self.enqueue(&pending.job);
    }

    /// Limits the number of tasks of this size expected to fit on the reservation's shard.
    fn limit_fit(&mut self, now: Timestamp, pending: &PendingReservation, count: u32) {
        if let Some(view) = self.shards.get_mut(&pending.shard) {
            view.limit_fit(now, pending.need, count);
        }
    }

    /// Records a refusal at the reservation's shard.
    fn note_refusal(&mut self, ctx: &EventContext<'_>, pending: &PendingReservation) {
        if let Some(view) = self.shards.get_mut(&pending.shard) {
            view.note_refusal(ctx.now, pending.need, pending.may_preempt);
        }
    }

    /// Handles a refused reservation or commit.
    pub(super) fn handle_refused(&mut self, ctx: &mut EventContext<'_>, number: u64) {
        let Some(pending) = self.pending.remove(&number) else {
            self.stop_refused_commit(ctx.now, number);
            return;
        };
        let indices: Vec<_> = pending.tasks.keys().copied().collect();
        self.requeue_tasks(&pending, &indices);
        self.limit_fit(ctx.now, &pending, 0);
        self.note_refusal(ctx, &pending);
        if self.jobs.get(&pending.job).is_some_and(|job| job.gang_plan.is_some()) {
            self.gang_refused(ctx, &pending.job);
        }
    }

    /// Stops the attempts of a refused commit to learn their state, because an earlier copy may have been accepted.
    fn stop_refused_commit(&mut self, now: Timestamp, number: u64) {
        let Some((_, pending)) = self.committed.remove(&number) else { return };
        let Some(job) = self.jobs.get_mut(&pending.job) else { return };
        for (index, attempt) in pending.tasks {
            let Some(run) = job.runs.get_mut(&index).filter(|run| run.attempt == attempt) else { continue };
            run.stop_sent = Some(now);
            let task = TaskId { job: pending.job.clone(), index };
            let batch = self.pending_stops.entry((pending.partition, pending.shard.clone())).or_default();
            batch.insert((task, attempt));
        }
    }

    /// Cancels a pending reservation and requeues its tasks.
    pub(super) fn cancel_reservation(&mut self, ctx: &mut EventContext<'_>, number: u64) {
        let Some(pending) = self.pending.remove(&number) else { return };
        let indices: Vec<_> = pending.tasks.keys().copied().collect();
        self.send(ctx, pending.partition, &pending.shard, ShardRequestBody::Release { reservation: number });
        self.requeue_tasks(&pending, &indices);
        self.note_refusal(ctx, &pending);
        if self.jobs.get(&pending.job).is_some_and(|job| job.gang_plan.is_some()) {
            self.abort_gang(ctx, &pending.job);
        }
    }

    /// Cancels reservations whose reply has timed out, and evicts old commits.
    pub(super) fn expire_reservations(&mut self, ctx: &mut EventContext<'_>) {
        let now = ctx.now;
        let timed_out: Vec<_> = self
            .pending
            .iter()
            .filter(|(_, pending)| now.since(pending.sent) >= pending.timeout)
            .map(|(number, _)| *number)
            .collect();
        for number in timed_out {
            self.cancel_reservation(ctx, number);
        }
        while self.committed.first_key_value().is_some_and(|(_, (at, _))| now.since(*at) >= COMMIT_RETENTION)
        {
            self.committed.pop_first();
        }
    }
}

fn task_request(job: &Job, index: TaskIndex, attempt: Attempt) -> TaskRequest {
    TaskRequest {
        task: TaskId { job: job.id().clone(), index },
        attempt,
        team: job.spec.team.clone(),
        kind: job.spec.kind,
        priority: job.spec.priority,
        resources: job.spec.resources,
        avoid: job.failures.get(&index).map(|(_, workers)| workers.clone()).unwrap_or_default(),
    }
}
