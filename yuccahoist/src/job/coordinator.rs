//! Coordinator of the partitions that this host owns.
//!
//! The coordinator keeps its own table of active jobs from the records that [`super::JobFold`] passes on. Its safety
//! rests on these rules:
//!
//! - A task has at most one attempt. The next one waits for a final report on the earlier one: an end reported by the
//!   shard owner, or the statement that the attempt is absent from its shard for ever.
//! - After a takeover, jobs of the earlier coordinator wait for a mark in the log and for a complete list of every
//!   shard. There is no time limit on that wait, because a shard owner that cannot be reached keeps renewing leases.
//! - A task that is done is acknowledged only after the log has it.

mod gang;
mod log;
mod schedule;
mod shards;
mod table;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::Rng;

use self::log::JobLog;
use self::schedule::QueueKey;
use self::shards::ShardView;
use self::table::{Job, Phase, Run, Stray};
use super::message::{
    CoordinatorAction, CoordinatorEvent, CoordinatorSettings, JobKind, JobRecord, JobSpec, JobStatus,
    ShardReply, ShardReplyBody, ShardRequest, ShardRequestBody, TaskReport, TaskState,
};
use super::partition_of;
use crate::duty::Duty;
use crate::id::{
    Attempt, Epoch, Incarnation, JobId, PartitionId, ShardId, TaskId, TaskIndex, TeamId, WorkerId,
};
use crate::ownership::Grant;
use crate::unit::{Resources, Timestamp};

/// Time after which a message to a shard owner that has not left is dropped.
const SEND_LIMIT: Duration = Duration::from_secs(1);
/// Time between sweeps over running tasks, for repeats of stops and missing confirmations.
const SWEEP: Duration = Duration::from_secs(1);
/// Time after which an attempt without a confirmed start is stopped, so that its state becomes certain.
const CONFIRM_LIMIT: Duration = Duration::from_secs(6);
/// Time after which a stop is sent again.
const STOP_REPEAT: Duration = Duration::from_secs(2);
/// Workers on which a job must fail in a row before it is suspended.
const SUSPEND_WORKERS: usize = 3;
/// First suspension of a job; doubles with each failure up to [`SUSPEND_LIMIT`].
const SUSPEND: Duration = Duration::from_secs(10);
/// Longest suspension of a job.
const SUSPEND_LIMIT: Duration = Duration::from_secs(600);
/// First wait before a failed task is started again; doubles with each failure in a row.
const RETRY: Duration = Duration::from_millis(500);
/// Longest wait before a failed task is started again.
const RETRY_LIMIT: Duration = Duration::from_secs(60);

/// Partition that this host owns.
#[derive(Debug)]
struct Partition {
    grant: Grant,
    /// Number of the mark in the log; none before it was asked for.
    mark: Option<u64>,
    /// Whether the mark was read, so that all records of earlier coordinators are known.
    marked: bool,
    /// Shards that have listed their tasks completely.
    listed: BTreeSet<ShardId>,
}

/// Time, randomness and receiver of actions while an event is handled.
struct Turn<'a> {
    now: Timestamp,
    rng: &'a mut dyn Rng,
    out: &'a mut Vec<CoordinatorAction>,
}

/// Reservation without a reply.
#[derive(Debug)]
struct Pending {
    job: JobId,
    partition: PartitionId,
    shard: ShardId,
    tasks: BTreeMap<TaskIndex, Attempt>,
    sent: Timestamp,
    limit: Duration,
    /// Whether tasks of lower priority may have to leave for it.
    preempt: bool,
    need: Resources,
}

/// Tasks and attempts for each shard, sent in batches.
type Wave = BTreeMap<(PartitionId, ShardId), BTreeSet<(TaskId, Attempt)>>;

/// Coordinator of the partitions that this host owns.
#[derive(Debug)]
pub struct Coordinator {
    incarnation: Incarnation,
    settings: Option<CoordinatorSettings>,
    jobs: BTreeMap<JobId, Job>,
    queue: BTreeSet<QueueKey>,
    partitions: BTreeMap<PartitionId, Partition>,
    shards: BTreeMap<ShardId, ShardView>,
    rooms: shards::RoomIndex,
    usage: BTreeMap<TeamId, Resources>,
    strays: BTreeMap<(TaskId, Attempt), Stray>,
    pending: BTreeMap<u64, Pending>,
    committed: BTreeMap<u64, (Timestamp, Pending)>,
    stops: Wave,
    acks: Wave,
    log: JobLog,
    counter: u64,
    order: u64,
    swept: Timestamp,
    passed: Timestamp,
    dirty: bool,
}

impl Coordinator {
    /// Coordinator that owns no partition yet.
    #[must_use]
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            settings: None,
            jobs: BTreeMap::new(),
            queue: BTreeSet::new(),
            partitions: BTreeMap::new(),
            shards: BTreeMap::new(),
            rooms: BTreeSet::new(),
            usage: BTreeMap::new(),
            strays: BTreeMap::new(),
            pending: BTreeMap::new(),
            committed: BTreeMap::new(),
            stops: Wave::new(),
            acks: Wave::new(),
            log: JobLog::default(),
            counter: 0,
            order: 0,
            swept: Timestamp::ZERO,
            passed: Timestamp::ZERO,
            dirty: false,
        }
    }

    /// Status of an active job of an owned partition.
    #[must_use]
    pub fn status(&self, job: &JobId) -> Option<JobStatus> {
        let known = self.jobs.get(job)?;
        self.partitions.get(&known.partition)?;
        Some(known.status())
    }

    /// x
    #[must_use]
    pub fn dump(&self, job: &JobId) -> String {
        format!(
            "{:?} SHARDS {:?} ROOMS {:?} PENDING {:?}",
            self.jobs.get(job),
            self.shards,
            self.rooms,
            self.pending
        )
    }

    /// Resources that count against a team's quota now.
    #[must_use]
    pub fn usage(&self, team: &TeamId) -> Resources {
        self.usage.get(team).copied().unwrap_or_default()
    }

    /// Whether all earlier attempts of a partition are known after a takeover.
    #[must_use]
    pub fn is_recovered(&self, partition: PartitionId) -> bool {
        let (Some(owned), Some(settings)) = (self.partitions.get(&partition), &self.settings) else {
            return false;
        };
        owned.marked && settings.shards.is_subset(&owned.listed)
    }

    fn granted(&mut self, turn: &mut Turn<'_>, partition: PartitionId, grant: Grant) {
        let known = self.partitions.get(&partition).map(|owned| owned.grant.epoch);
        if known.is_some_and(|epoch| grant.epoch < epoch) {
            return;
        }
        if known == Some(grant.epoch) {
            if let Some(owned) = self.partitions.get_mut(&partition) {
                owned.grant = grant;
            }
            return;
        }
        self.reset(partition);
        let owned = Partition { grant, mark: None, marked: false, listed: BTreeSet::new() };
        self.partitions.insert(partition, owned);
        self.append_due(turn);
        self.list_due(turn);
    }

    fn lost(&mut self, partition: PartitionId, epoch: Epoch) {
        if self.partitions.get(&partition).is_some_and(|owned| owned.grant.epoch <= epoch) {
            self.partitions.remove(&partition);
            self.reset(partition);
        }
    }

    /// Forgets all attempts of a partition.
    fn reset(&mut self, partition: PartitionId) {
        let ids: Vec<_> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.partition == partition)
            .map(|(id, _)| id.clone())
            .collect();
        for id in ids {
            let runs: Vec<_> =
                self.jobs.get(&id).map(|job| job.runs.keys().copied().collect()).unwrap_or_default();
            for index in runs {
                self.remove_run(&id, index);
            }
            if let Some(job) = self.jobs.get_mut(&id) {
                job.reset();
            }
            self.enqueue(&id);
        }
        let strays: Vec<_> = self
            .strays
            .iter()
            .filter(|(_, stray)| stray.partition == partition)
            .map(|(key, _)| key.clone())
            .collect();
        for key in strays {
            self.remove_stray(&key);
        }
        self.pending.retain(|_, pending| pending.partition != partition);
        self.committed.retain(|_, (_, pending)| pending.partition != partition);
        self.stops.retain(|key, _| key.0 != partition);
        self.acks.retain(|key, _| key.0 != partition);
    }

    fn record(&mut self, turn: &mut Turn<'_>, record: JobRecord) {
        self.log.folded(&record);
        match record {
            JobRecord::Submitted(spec) => {
                let id = spec.id.clone();
                self.order += 1;
                self.add_job(spec, self.order, false);
                self.start_job(turn, &id);
            }
            JobRecord::Cancelled { job } => self.cancel(turn.now, &job),
            JobRecord::TasksDone { tasks } => {
                for (job, indices) in tasks {
                    self.done(&job, &indices);
                }
            }
            JobRecord::Finished { job, .. } => self.remove_job(turn.now, &job),
            JobRecord::Ended { jobs } => {
                for job in jobs.keys() {
                    self.remove_job(turn.now, job);
                }
            }
            JobRecord::Mark { by, number } => self.marked(by, number),
            JobRecord::Snapshot(snapshot) => self.restore(turn.now, *snapshot),
        }
        self.dirty = true;
    }

    fn restore(&mut self, now: Timestamp, snapshot: super::JobSnapshot) {
        let gone: Vec<_> = self
            .jobs
            .iter()
            .filter(|(id, job)| {
                !job.configured && snapshot.jobs.get(*id).is_none_or(|state| state.end.is_some())
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in gone {
            self.remove_job(now, &id);
        }
        for (id, state) in snapshot.jobs {
            if state.end.is_some() {
                continue;
            }
            self.order = self.order.max(state.submitted.0);
            self.add_job(state.spec, state.submitted.0, false);
            self.done(&id, &state.done);
            if state.cancelled {
                self.cancel(now, &id);
            }
        }
        // The mark of a partition may lie among the records that the snapshot replaced.
        for owned in self.partitions.values_mut().filter(|owned| !owned.marked) {
            owned.mark = None;
        }
    }

    fn marked(&mut self, by: Incarnation, number: u64) {
        if by != self.incarnation {
            return;
        }
        for owned in self.partitions.values_mut().filter(|owned| owned.mark.is_some_and(|m| m <= number)) {
            owned.marked = true;
        }
    }

    fn add_job(&mut self, spec: JobSpec, order: u64, configured: bool) {
        let id = spec.id.clone();
        if self.jobs.contains_key(&id) {
            return;
        }
        let partition = partition_of(&spec.team);
        // No earlier coordinator can have seen a job whose record follows the mark.
        let fresh = !configured && self.partitions.get(&partition).is_some_and(|owned| owned.marked);
        self.jobs.insert(id.clone(), Job::new(spec, order, configured, fresh));
        self.enqueue(&id);
    }

    fn remove_job(&mut self, now: Timestamp, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        let runs: Vec<_> = job.runs.keys().copied().collect();
        for index in runs {
            let Some(run) = self.remove_run(id, index) else { continue };
            if !matches!(run.phase, Phase::Reserving) {
                let task = TaskId { job: id.clone(), index };
                self.add_stray(now, (task, run.attempt), run);
            }
        }
        if let Some(job) = self.jobs.remove(id) {
            self.queue.remove(&QueueKey::of(&job));
            for (index, (attempt, shard)) in job.unlogged {
                let task = TaskId { job: id.clone(), index };
                self.acks.entry((job.partition, shard)).or_default().insert((task, attempt));
            }
        }
    }

    fn cancel(&mut self, now: Timestamp, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.cancelled = true;
        self.stop_runs(now, id);
    }

    /// Asks for the end of all attempts of a job; the requests of a wave leave together.
    fn stop_runs(&mut self, now: Timestamp, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        for (index, run) in &mut job.runs {
            if matches!(run.phase, Phase::Reserving) || run.stopped.is_some() {
                continue;
            }
            run.stopped = Some(now);
            let task = TaskId { job: id.clone(), index: *index };
            let wave = self.stops.entry((job.partition, run.shard.clone())).or_default();
            wave.insert((task, run.attempt));
        }
    }

    fn done(&mut self, id: &JobId, indices: &BTreeSet<TaskIndex>) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        for index in indices {
            job.done.insert(*index);
            job.retry.remove(index);
            job.last.remove(index);
            if let Some((attempt, shard)) = job.unlogged.remove(index) {
                let task = TaskId { job: id.clone(), index: *index };
                self.acks.entry((job.partition, shard)).or_default().insert((task, attempt));
            }
        }
    }

    fn configure(&mut self, now: Timestamp, settings: CoordinatorSettings) {
        let changed = |job: &Job| job.configured && settings.services.get(&job.spec.id) != Some(&job.spec);
        let gone: Vec<_> =
            self.jobs.iter().filter(|(_, job)| changed(job)).map(|(id, _)| id.clone()).collect();
        for id in gone {
            // A service with another specification starts anew; its tasks are stopped first.
            self.remove_job(now, &id);
        }
        for spec in settings.services.values() {
            self.add_job(spec.clone(), 0, true);
        }
        for shard in &settings.shards {
            self.shards.entry(shard.clone()).or_default();
        }
        self.settings = Some(settings);
        for job in self.jobs.values_mut() {
            job.never = None;
        }
        let ids: Vec<_> = self.jobs.keys().cloned().collect();
        for id in ids {
            self.enqueue(&id);
        }
        self.dirty = true;
    }

    fn reply(&mut self, turn: &mut Turn<'_>, from: Incarnation, reply: ShardReply) {
        let ShardReply { partition, shard, epoch, body } = reply;
        if !self.partitions.contains_key(&partition) {
            return;
        }
        let owner = self.shards.get(&shard).and_then(|view| view.owner);
        let current = owner == Some((from, epoch));
        match body {
            ShardReplyBody::Tasks { tasks, complete, room } if current => {
                self.listed(turn, (partition, &shard), tasks, (complete, room));
            }
            ShardReplyBody::Changed(report) => self.report(turn.now, partition, &shard, report),
            ShardReplyBody::Absent { tasks } if current => {
                for (task, attempt) in tasks {
                    self.ended(turn.now, &task, attempt, &End::absent());
                }
            }
            ShardReplyBody::Reserved { reservation, placed } => {
                self.reserved(turn, (partition, &shard), reservation, placed);
            }
            ShardReplyBody::Refused { reservation, .. } => self.refused(turn, reservation),
            ShardReplyBody::Tasks { .. } | ShardReplyBody::Absent { .. } => {}
        }
        self.dirty = true;
    }

    /// Follows the report on one attempt.
    fn report(&mut self, now: Timestamp, partition: PartitionId, shard: &ShardId, report: TaskReport) {
        let known = self.settings.is_some() && self.partitions.get(&partition).is_some_and(|p| p.marked);
        if !known || partition_of(&report.team) != partition {
            return;
        }
        let key = (report.task.clone(), report.attempt);
        if report.state.is_ended() {
            let logged = self.jobs.get(&report.task.job).is_none_or(|job| {
                job.service || job.done.contains(&report.task.index) || report.state != TaskState::Succeeded
            });
            let worker = Some(report.worker);
            self.ended(
                now,
                &report.task,
                report.attempt,
                &End { state: report.state, worker, shard: shard.clone() },
            );
            if logged {
                self.acks.entry((partition, shard.clone())).or_default().insert(key);
            }
            return;
        }
        let run = Run {
            attempt: report.attempt,
            shard: shard.clone(),
            worker: Some(report.worker.clone()),
            phase: if report.state == TaskState::Running { Phase::Live } else { Phase::Committing },
            since: now,
            stopped: None,
            team: report.team,
            resources: report.resources,
            partition,
        };
        let index = report.task.index;
        let Some(job) = self.jobs.get_mut(&report.task.job) else {
            self.add_stray(now, key, run);
            return;
        };
        match job.runs.get_mut(&index) {
            Some(current) if current.attempt == report.attempt => {
                if current.phase != run.phase && !matches!(current.phase, Phase::Live) {
                    current.since = now;
                    current.phase = run.phase;
                }
                current.worker = run.worker;
            }
            Some(current) if !matches!(current.phase, Phase::Reserving) => self.add_stray(now, key, run),
            _ => {
                let ended = job.last.get(&index).is_some_and(|last| report.attempt <= *last);
                let unwanted = ended || job.is_over(index) || job.cancelled || index.0 >= job.spec.tasks;
                let id = report.task.job.clone();
                if unwanted {
                    self.add_stray(now, key, run);
                } else {
                    self.remove_run(&id, index);
                    self.add_run(&id, index, run);
                }
            }
        }
    }

    /// Follows the end of an attempt, which is final.
    fn ended(&mut self, now: Timestamp, task: &TaskId, attempt: Attempt, end: &End) {
        self.remove_stray(&(task.clone(), attempt));
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let index = task.index;
        let succeeded = end.state == TaskState::Succeeded && !job.service;
        if succeeded && !job.is_over(index) && index.0 < job.spec.tasks {
            job.unlogged.insert(index, (attempt, end.shard.clone()));
            job.retry.remove(&index);
        }
        let current = job.runs.get(&index).is_some_and(|run| run.attempt == attempt);
        if !current {
            if succeeded {
                job.succeeded();
            }
            let last = job.last.entry(index).or_insert(attempt);
            *last = attempt.max(*last);
            return;
        }
        let run = self.remove_run(&task.job, index);
        let stopped = run.is_some_and(|run| run.stopped.is_some());
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let last = job.last.entry(index).or_insert(attempt);
        *last = attempt.max(*last);
        match end.state {
            TaskState::Succeeded => job.succeeded(),
            TaskState::Failed if !stopped => job.failed(now, index, end.worker.as_ref()),
            _ => {}
        }
        if job.is_over(index) {
            job.last.remove(&index);
        } else {
            job.retry.insert(index);
        }
        let broken = job.spec.kind == JobKind::Gang && !job.is_over(index) && job.gang.is_none();
        let failed = job.failure.is_some();
        self.enqueue(&task.job);
        if broken || failed {
            self.stop_runs(now, &task.job);
        }
        self.dirty = true;
    }

    fn add_run(&mut self, id: &JobId, index: TaskIndex, run: Run) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let usage = self.usage.entry(run.team.clone()).or_default();
        *usage += run.resources;
        job.retry.remove(&index);
        job.runs.insert(index, run);
    }

    fn remove_run(&mut self, id: &JobId, index: TaskIndex) -> Option<Run> {
        let run = self.jobs.get_mut(id)?.runs.remove(&index)?;
        self.discharge(&run.team, run.resources);
        Some(run)
    }

    fn discharge(&mut self, team: &TeamId, resources: Resources) {
        if let Some(usage) = self.usage.get_mut(team) {
            *usage -= resources;
        }
    }

    /// Counts an attempt that is not wanted, and has it stopped.
    fn add_stray(&mut self, now: Timestamp, key: (TaskId, Attempt), run: Run) {
        if self.strays.contains_key(&key) {
            return;
        }
        *self.usage.entry(run.team.clone()).or_default() += run.resources;
        self.stops.entry((run.partition, run.shard.clone())).or_default().insert(key.clone());
        let Run { shard, team, resources, partition, .. } = run;
        self.strays.insert(key, Stray { partition, shard, team, resources, stopped: now });
    }

    fn remove_stray(&mut self, key: &(TaskId, Attempt)) {
        if let Some(stray) = self.strays.remove(key) {
            self.discharge(&stray.team, stray.resources);
        }
    }

    fn send(&self, turn: &mut Turn<'_>, partition: PartitionId, shard: &ShardId, body: ShardRequestBody) {
        let Some(owned) = self.partitions.get(&partition) else { return };
        let Some((to, _)) = self.shards.get(shard).and_then(|view| view.owner) else { return };
        if turn.now >= owned.grant.until {
            return;
        }
        let until = owned.grant.until.min(turn.now + SEND_LIMIT);
        let request = ShardRequest { partition, epoch: owned.grant.epoch, shard: shard.clone(), body };
        turn.out.push(CoordinatorAction::Send { to, request, until });
    }

    fn flush(&mut self, turn: &mut Turn<'_>) {
        for ((partition, shard), tasks) in std::mem::take(&mut self.stops) {
            let tasks = tasks.into_iter().collect();
            self.send(turn, partition, &shard, ShardRequestBody::Stop { tasks });
        }
        for ((partition, shard), tasks) in std::mem::take(&mut self.acks) {
            let tasks = tasks.into_iter().collect();
            self.send(turn, partition, &shard, ShardRequestBody::Acknowledge { tasks });
        }
    }

    /// Repeats stops that have had no effect and resolves attempts without a confirmed start.
    fn sweep(&mut self, now: Timestamp) {
        for (id, job) in &mut self.jobs {
            for (index, run) in &mut job.runs {
                let unconfirmed = run.phase == Phase::Committing && now.since(run.since) >= CONFIRM_LIMIT;
                let repeat = run.stopped.is_some_and(|at| now.since(at) >= STOP_REPEAT);
                if repeat || (unconfirmed && run.stopped.is_none()) {
                    run.stopped = Some(now);
                    let task = TaskId { job: id.clone(), index: *index };
                    let wave = self.stops.entry((job.partition, run.shard.clone())).or_default();
                    wave.insert((task, run.attempt));
                }
            }
        }
        for (key, stray) in &mut self.strays {
            if now.since(stray.stopped) >= STOP_REPEAT {
                stray.stopped = now;
                self.stops.entry((stray.partition, stray.shard.clone())).or_default().insert(key.clone());
            }
        }
    }

    fn tick(&mut self, turn: &mut Turn<'_>) {
        self.time_out(turn);
        if turn.now.since(self.swept) >= SWEEP {
            self.swept = turn.now;
            self.sweep(turn.now);
        }
        self.list_due(turn);
        self.pass(turn);
        self.flush(turn);
        self.append_due(turn);
    }
}

/// How an attempt ended.
#[derive(Debug)]
struct End {
    state: TaskState,
    worker: Option<WorkerId>,
    shard: ShardId,
}

impl Duty for Coordinator {
    type Event = CoordinatorEvent;
    type Action = CoordinatorAction;

    fn handle(
        &mut self,
        now: Timestamp,
        event: CoordinatorEvent,
        rng: &mut dyn Rng,
        out: &mut Vec<CoordinatorAction>,
    ) {
        let turn = &mut Turn { now, rng, out };
        match event {
            CoordinatorEvent::Granted { partition, grant } => self.granted(turn, partition, grant),
            CoordinatorEvent::Lost { partition, epoch } => self.lost(partition, epoch),
            CoordinatorEvent::Record(record) => self.record(turn, record),
            CoordinatorEvent::Appended { ticket } => self.log.appended(now, ticket),
            CoordinatorEvent::AppendFailed { ticket } => self.append_failed(ticket),
            CoordinatorEvent::Settings(settings) => self.configure(now, settings),
            CoordinatorEvent::Owner { shard, owner } => self.owner_changed(turn, &shard, owner),
            CoordinatorEvent::Reply { from, reply } => self.reply(turn, from, reply),
            CoordinatorEvent::Tick => self.tick(turn),
        }
    }
}
