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
mod records;
mod reports;
mod schedule;
mod shards;
mod table;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::Rng;

use self::log::JobLog;
use self::schedule::QueueKey;
use self::shards::ShardView;
use self::table::{Job, Phase, Stray};
use super::message::{
    CoordinatorAction, CoordinatorEvent, CoordinatorSettings, JobStatus, ShardRequest, ShardRequestBody,
    TaskState,
};
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
    list_checked: Timestamp,
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
            list_checked: Timestamp::ZERO,
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
        self.list_at_tick(turn);
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
