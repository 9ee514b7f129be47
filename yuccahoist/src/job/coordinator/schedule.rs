//! Choice of the next jobs and of shards for their tasks.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt;

use super::table::{Job, Phase, Run};
use super::{Coordinator, Pending, Turn};
use crate::id::{Attempt, JobId, PartitionId, ShardId, TaskId, TaskIndex, WorkerId};
use crate::job::{CoordinatorAction, JobKind, Priority, ShardRequestBody, TaskOrder, WaitReason};
use crate::placement::copies;
use crate::unit::{Resources, Timestamp};

/// Time after which a reservation ends by itself at the shard owner.
const RESERVATION: Duration = Duration::from_secs(2);
/// Time to wait for the reply to a reservation.
const REPLY_LIMIT: Duration = Duration::from_millis(1_000);
/// Length of a reservation for which work of lower priority has to leave.
const PREEMPT_RESERVATION: Duration = Duration::from_secs(4);
/// Time to wait for the reply to such a reservation.
const PREEMPT_REPLY_LIMIT: Duration = Duration::from_millis(2_000);
/// Time for which a commit is remembered, so that a refusal finds its tasks.
const COMMIT_MEMORY: Duration = Duration::from_secs(10);
/// Tasks in one reservation.
const BATCH: u32 = 32;
/// Reservations of one job in flight.
const FLIGHTS: usize = 8;
/// Refused sizes that a pass remembers.
const REFUSED_SIZES: usize = 16;
/// Jobs that a pass between full passes looks at.
const SHORT_PASS: usize = 200;
/// Time between passes over all waiting jobs.
const FULL_PASS: Duration = Duration::from_secs(1);

/// Position of a waiting job: by priority, then by submission.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueueKey {
    priority: Reverse<Priority>,
    order: u64,
    job: JobId,
}

impl QueueKey {
    pub fn of(job: &Job) -> Self {
        Self { priority: Reverse(job.spec.priority), order: job.order, job: job.id().clone() }
    }
}

/// Reservation to be made.
struct Wish {
    shard: ShardId,
    tasks: Vec<TaskIndex>,
    preempt: bool,
}

impl Coordinator {
    /// Puts a job in the queue if it may have tasks to start.
    pub(super) fn enqueue(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get(id)
            && job.waiting() > 0
            && !job.is_ending()
        {
            self.queue.insert(QueueKey::of(job));
        }
    }

    /// Starts what can be started, in the order of the queue.
    pub(super) fn pass(&mut self, turn: &mut Turn<'_>) {
        let full = turn.now.since(self.passed) >= FULL_PASS;
        if self.partitions.is_empty() || !(full || self.dirty) {
            return;
        }
        self.dirty = false;
        let count = if full { self.queue.len() } else { SHORT_PASS };
        if full {
            self.passed = turn.now;
        }
        let ids: Vec<_> = self.queue.iter().take(count).map(|key| key.job.clone()).collect();
        // Sizes that found no room in this pass; what is no smaller and no more urgent finds none either.
        let mut refused: Vec<Resources> = Vec::new();
        for id in ids {
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            let need = job.spec.resources;
            if job.spec.kind == JobKind::Batch && refused.iter().any(|size| size.fits(need)) {
                job.reason.get_or_insert(WaitReason::NoRoom);
                continue;
            }
            self.start_job(turn, &id);
            let reason = self.jobs.get(&id).and_then(|job| job.reason.as_ref());
            if reason == Some(&WaitReason::NoRoom) && refused.len() < REFUSED_SIZES {
                refused.push(need);
            }
        }
    }

    /// Starts tasks of a job as far as it is possible now, and notes why the others wait.
    pub(super) fn start_job(&mut self, turn: &mut Turn<'_>, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        // A job of another coordinator must not count as waiting here. A grant of its partition queues it again.
        let foreign = !self.partitions.contains_key(&job.partition);
        if foreign || job.waiting() == 0 || job.is_ending() {
            self.queue.remove(&QueueKey::of(job));
            return;
        }
        let reason = match self.obstacle(turn, job) {
            Some(reason) => Some(reason),
            None if job.spec.kind == JobKind::Gang => self.start_gang(turn, id),
            None => self.start_tasks(turn, id),
        };
        let Some(job) = self.jobs.get_mut(id) else { return };
        if reason.is_some() && reason != job.reason {
            let text = reason.as_ref().map(ToString::to_string).unwrap_or_default();
            turn.out.push(CoordinatorAction::Decision { job: id.clone(), text });
        }
        job.reason = reason;
        if job.waiting() == 0 {
            let key = QueueKey::of(job);
            self.queue.remove(&key);
        }
    }

    /// Reason that keeps the whole job from starting.
    fn obstacle(&self, turn: &Turn<'_>, job: &Job) -> Option<WaitReason> {
        let Some(owned) = self.partitions.get(&job.partition) else { return Some(WaitReason::NoOwner) };
        if turn.now >= owned.grant.until || !owned.grant.tasks {
            return Some(WaitReason::NoOwner);
        }
        let unlimited = !self.settings.as_ref()?.quotas.contains_key(&job.spec.team);
        if !(self.is_recovered(job.partition) || job.fresh && unlimited) {
            return Some(WaitReason::Recovering);
        }
        if turn.now < job.wait_until {
            return Some(match () {
                () if job.suspended => WaitReason::Suspended,
                () if job.gang_rounds > 0 => WaitReason::GangIncomplete,
                () => WaitReason::EarlierAttempt,
            });
        }
        self.never(job)
    }

    /// Reason why a job can never run under the present configuration.
    fn never(&self, job: &Job) -> Option<WaitReason> {
        let gang = job.spec.kind == JobKind::Gang;
        let need = job.spec.resources;
        let whole = if gang { need.times(job.waiting()) } else { need };
        let quota = self.settings.as_ref()?.quotas.get(&job.spec.team);
        if quota.is_some_and(|quota| !whole.fits(*quota)) {
            return Some(WaitReason::LargerThanQuota);
        }
        if self.shards.values().any(|view| view.reported.is_none()) {
            return None;
        }
        let fitting = self.shards.values().filter(|view| need.fits(view.room.worker));
        let room: u64 = fitting.map(|view| u64::from(copies(need, view.room.capacity))).sum();
        let enough = room >= if gang { u64::from(job.waiting()) } else { 1 };
        (!enough).then_some(WaitReason::LargerThanWorkers)
    }

    /// Tasks of a job that its team's quota still allows.
    pub(super) fn allowed(&self, job: &Job) -> u32 {
        let quota = self.settings.as_ref().and_then(|settings| settings.quotas.get(&job.spec.team));
        let Some(quota) = quota else { return job.waiting() };
        let left = quota.saturating_sub(self.usage(&job.spec.team));
        copies(job.spec.resources, left).min(job.waiting())
    }

    fn start_tasks(&mut self, turn: &mut Turn<'_>, id: &JobId) -> Option<WaitReason> {
        loop {
            let job = self.jobs.get(id)?;
            if job.waiting() == 0 {
                return None;
            }
            let flights = self.pending.values().filter(|pending| pending.job == *id).count();
            if flights >= FLIGHTS {
                return Some(WaitReason::NoRoom);
            }
            // A suspended job is tried with one task.
            let limit = if job.suspended { u32::from(job.runs.is_empty()) } else { BATCH };
            let count = self.allowed(job).min(limit);
            if count == 0 {
                let suspended = job.suspended && !job.runs.is_empty();
                return Some(if suspended { WaitReason::Suspended } else { WaitReason::Quota });
            }
            let Some((shard, room, preempt)) = self.choose_shard(turn, job) else {
                return Some(self.no_room());
            };
            let tasks = self.jobs.get_mut(id)?.take(count.min(room));
            if tasks.is_empty() {
                return None;
            }
            self.reserve(turn, id, Wish { shard, tasks, preempt }, RESERVATION);
        }
    }

    pub(super) fn no_room(&self) -> WaitReason {
        let owned = self.shards.values().any(|view| view.owner.is_some());
        if owned { WaitReason::NoRoom } else { WaitReason::NoOwner }
    }

    /// Shard, number of tasks to ask for, and whether lower priorities have to leave.
    fn choose_shard(&self, turn: &mut Turn<'_>, job: &Job) -> Option<(ShardId, u32, bool)> {
        let chosen = match job.spec.kind {
            JobKind::Service => self.spread(turn, job).map(|shard| (shard, 1, false)),
            JobKind::Batch | JobKind::Gang => self.pack(turn, job),
        };
        chosen.or_else(|| self.clear(turn, job).map(|shard| (shard, 1, true)))
    }

    /// Fullest shard that has room, shards with accelerators last for work that needs none.
    fn pack(&self, turn: &Turn<'_>, job: &Job) -> Option<(ShardId, u32, bool)> {
        let need = job.spec.resources;
        let first = need.accelerators.0 > 0;
        [first, true].into_iter().find_map(|accelerators| {
            let any = self.rooms.first().map(|(.., shard)| shard.clone())?;
            // Starts below the size, because equal sizes are in the order of shard names.
            let start = (accelerators, need.cpu.0.saturating_sub(1), any);
            let shards = self.rooms.range(start..).take_while(|key| key.0 == accelerators);
            shards.map(|(.., shard)| shard).find_map(|shard| {
                let view = self.shards.get(shard)?;
                let room = copies(need, view.room.total);
                view.has_room(turn.now, need).then(|| (shard.clone(), room.max(1), false))
            })
        })
    }

    /// Shard with fewest tasks of the service in its zone and rack, then the least loaded one.
    fn spread(&self, turn: &Turn<'_>, job: &Job) -> Option<ShardId> {
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
        let roomy = self.shards.iter().filter(|(_, view)| view.has_room(turn.now, need));
        let best = roomy.min_by_key(|(shard, view)| {
            let zone = zones.get(*shard).map(|z| z.as_str()).unwrap_or(shard.as_str());
            let wasted = need.accelerators.0 == 0 && view.room.worker.accelerators.0 > 0;
            let free = view.room.total.cpu.0 * 1_000 / view.room.capacity.cpu.0.max(1);
            let load = std::cmp::Reverse(free);
            let counts = (in_zone.get(zone).copied(), in_shard.get(shard).copied());
            (counts.0.unwrap_or_default(), counts.1.unwrap_or_default(), wasted, load)
        });
        best.map(|(shard, _)| shard.clone())
    }

    /// Random shard that may have work of lower priority.
    fn clear(&self, turn: &mut Turn<'_>, job: &Job) -> Option<ShardId> {
        if job.spec.priority == Priority::default() {
            return None;
        }
        let need = job.spec.resources;
        let now = turn.now;
        let may = |view: &&super::ShardView| {
            view.owner.is_some() && need.fits(view.room.worker) && !view.is_refused(now, need, true)
        };
        let count = self.shards.values().filter(may).count();
        if count == 0 {
            return None;
        }
        let position = turn.rng.random_range(0..count);
        self.shards.iter().filter(|(_, view)| may(view)).nth(position).map(|(shard, _)| shard.clone())
    }

    /// Asks a shard owner for room; returns the number of the reservation.
    fn reserve(&mut self, turn: &mut Turn<'_>, id: &JobId, wish: Wish, expires: Duration) -> Option<u64> {
        let Wish { shard, tasks, preempt } = wish;
        let job = self.jobs.get(id)?;
        let (partition, need) = (job.partition, job.spec.resources);
        let epoch = self.partitions.get(&partition)?.grant.epoch;
        let (mut orders, mut attempts) = (Vec::new(), BTreeMap::new());
        for index in tasks {
            self.counter += 1;
            let attempt = Attempt { epoch, counter: self.counter };
            let job = self.jobs.get(id)?;
            let order = order(job, index, attempt);
            let run = Run {
                attempt,
                shard: shard.clone(),
                worker: None,
                phase: Phase::Reserving,
                since: turn.now,
                stopped: None,
                team: job.spec.team.clone(),
                resources: need,
                partition,
            };
            orders.push(order);
            attempts.insert(index, attempt);
            self.add_run(id, index, run);
        }
        self.counter += 1;
        let number = self.counter;
        let asked = need.times(u32::try_from(attempts.len()).unwrap_or(u32::MAX));
        self.change_room(&shard, |room| room.total -= asked);
        let expires = if preempt { PREEMPT_RESERVATION } else { expires };
        let body =
            ShardRequestBody::Reserve { reservation: number, tasks: orders, partial: !preempt, expires };
        self.send(turn, partition, &shard, body);
        let limit = if preempt { PREEMPT_REPLY_LIMIT } else { REPLY_LIMIT };
        let (job, sent) = (id.clone(), turn.now);
        let pending = Pending { job, partition, shard, tasks: attempts, sent, limit, preempt, need };
        self.pending.insert(number, pending);
        Some(number)
    }

    /// Asks for room for gang members; returns the number of the reservation.
    pub(super) fn reserve_members(
        &mut self,
        turn: &mut Turn<'_>,
        id: &JobId,
        shard: ShardId,
        count: u32,
    ) -> Option<u64> {
        let tasks = self.jobs.get_mut(id)?.take(count);
        self.reserve(turn, id, Wish { shard, tasks, preempt: false }, RESERVATION)
    }

    pub(super) fn reserved(
        &mut self,
        turn: &mut Turn<'_>,
        (partition, shard): (PartitionId, &ShardId),
        number: u64,
        placed: Vec<(TaskId, WorkerId)>,
    ) {
        let Some(pending) = self.pending.remove(&number) else {
            // A reservation that was given up, or a second copy of the reply.
            if !self.is_held(number) && !self.committed.contains_key(&number) {
                self.send(turn, partition, shard, ShardRequestBody::Release { reservation: number });
            }
            return;
        };
        let placed: BTreeMap<_, _> = placed.into_iter().map(|(task, worker)| (task.index, worker)).collect();
        let unplaced: Vec<_> =
            pending.tasks.keys().filter(|index| !placed.contains_key(index)).copied().collect();
        self.give_back(&pending, &unplaced);
        if !unplaced.is_empty() {
            self.cap(turn.now, &pending, u32::try_from(placed.len()).unwrap_or(u32::MAX));
            self.refuse(turn, &pending);
        }
        let Some(job) = self.jobs.get_mut(&pending.job) else {
            self.send(turn, partition, shard, ShardRequestBody::Release { reservation: number });
            return;
        };
        for (index, worker) in &placed {
            let attempt = pending.tasks.get(index);
            if let Some(run) = job.runs.get_mut(index).filter(|run| Some(&run.attempt) == attempt) {
                run.worker = Some(worker.clone());
            }
        }
        if job.gang.is_some() {
            self.gang_reserved(turn, pending, number, &placed);
            return;
        }
        let replaced = placed
            .keys()
            .any(|index| job.runs.get(index).map(|run| run.attempt) != pending.tasks.get(index).copied());
        if job.is_ending() || replaced {
            let indices: Vec<_> = placed.keys().copied().collect();
            self.send(turn, partition, shard, ShardRequestBody::Release { reservation: number });
            self.give_back(&pending, &indices);
            return;
        }
        self.commit(turn, pending, number, &placed);
    }

    /// Starts the tasks of a reservation.
    pub(super) fn commit(
        &mut self,
        turn: &mut Turn<'_>,
        pending: Pending,
        number: u64,
        placed: &BTreeMap<TaskIndex, WorkerId>,
    ) {
        let Some(job) = self.jobs.get_mut(&pending.job) else { return };
        for index in placed.keys() {
            if let Some(run) = job.runs.get_mut(index) {
                run.phase = Phase::Committing;
                run.since = turn.now;
            }
        }
        let body = ShardRequestBody::Commit { reservation: number };
        self.send(turn, pending.partition, &pending.shard, body);
        let workers: Vec<_> = placed.values().map(ToString::to_string).collect();
        let text = format!("starts {} tasks on {}", placed.len(), workers.join(" "));
        turn.out.push(CoordinatorAction::Decision { job: pending.job.clone(), text });
        self.committed.insert(number, (turn.now, pending));
    }

    /// Makes tasks of a reservation wait again; they were never committed.
    pub(super) fn give_back(&mut self, pending: &Pending, indices: &[TaskIndex]) {
        for index in indices {
            let Some(attempt) = pending.tasks.get(index) else { continue };
            let Some(job) = self.jobs.get_mut(&pending.job) else { continue };
            if job.runs.get(index).is_some_and(|run| run.attempt == *attempt && run.phase == Phase::Reserving)
            {
                job.retry.insert(*index);
                self.remove_run(&pending.job, *index);
            }
        }
        let count = u32::try_from(indices.len()).unwrap_or(u32::MAX);
        let freed = pending.need.times(count);
        self.change_room(&pending.shard, |room| room.total += freed);
        self.enqueue(&pending.job);
    }

    fn cap(&mut self, now: Timestamp, pending: &Pending, count: u32) {
        if let Some(view) = self.shards.get_mut(&pending.shard) {
            view.cap(now, pending.need, count);
        }
    }

    fn refuse(&mut self, turn: &Turn<'_>, pending: &Pending) {
        if let Some(view) = self.shards.get_mut(&pending.shard) {
            view.refuse(turn.now, pending.need, pending.preempt);
        }
    }

    pub(super) fn refused(&mut self, turn: &mut Turn<'_>, number: u64) {
        let Some(pending) = self.pending.remove(&number) else {
            self.commit_refused(turn.now, number);
            return;
        };
        let indices: Vec<_> = pending.tasks.keys().copied().collect();
        self.give_back(&pending, &indices);
        self.cap(turn.now, &pending, 0);
        self.refuse(turn, &pending);
        if self.jobs.get(&pending.job).is_some_and(|job| job.gang.is_some()) {
            self.gang_missing(turn, &pending.job);
        }
    }

    /// Has the attempts of a refused commit confirmed as absent, because an earlier copy may have been accepted.
    fn commit_refused(&mut self, now: Timestamp, number: u64) {
        let Some((_, pending)) = self.committed.remove(&number) else { return };
        let Some(job) = self.jobs.get_mut(&pending.job) else { return };
        for (index, attempt) in pending.tasks {
            let Some(run) = job.runs.get_mut(&index).filter(|run| run.attempt == attempt) else { continue };
            run.stopped = Some(now);
            let task = TaskId { job: pending.job.clone(), index };
            let wave = self.stops.entry((pending.partition, pending.shard.clone())).or_default();
            wave.insert((task, attempt));
        }
    }

    /// Gives up a reservation without a reply.
    pub(super) fn withdraw(&mut self, turn: &mut Turn<'_>, number: u64) {
        let Some(pending) = self.pending.remove(&number) else { return };
        let indices: Vec<_> = pending.tasks.keys().copied().collect();
        self.send(turn, pending.partition, &pending.shard, ShardRequestBody::Release { reservation: number });
        self.give_back(&pending, &indices);
        self.refuse(turn, &pending);
        if self.jobs.get(&pending.job).is_some_and(|job| job.gang.is_some()) {
            self.abort_gang(turn, &pending.job);
        }
    }

    /// Gives up reservations whose reply is late.
    pub(super) fn time_out(&mut self, turn: &mut Turn<'_>) {
        let now = turn.now;
        let late: Vec<_> = self
            .pending
            .iter()
            .filter(|(_, pending)| now.since(pending.sent) >= pending.limit)
            .map(|(number, _)| *number)
            .collect();
        for number in late {
            self.withdraw(turn, number);
        }
        while self.committed.first_key_value().is_some_and(|(_, (at, _))| now.since(*at) >= COMMIT_MEMORY) {
            self.committed.pop_first();
        }
    }
}

fn order(job: &Job, index: TaskIndex, attempt: Attempt) -> TaskOrder {
    TaskOrder {
        task: TaskId { job: job.id().clone(), index },
        attempt,
        team: job.spec.team.clone(),
        kind: job.spec.kind,
        priority: job.spec.priority,
        resources: job.spec.resources,
        avoid: job.failures.get(&index).map(|(_, workers)| workers.clone()).unwrap_or_default(),
    }
}
