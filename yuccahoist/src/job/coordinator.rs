//! Coordinator of the partitions that this host owns.
//!
//! The coordinator maintains a table of active jobs from the records that [`super::JobFold`] forwards. It relies on
//! these safety rules:
//!
//! - A task has at most one attempt. The next attempt waits for a final report on the previous one: the shard owner
//!   either reports its end or confirms that the attempt is absent from the shard and can never start there.
//! - After a takeover, jobs of the previous coordinator wait until the new one has read back its log marker and has a
//!   complete list from every shard. This wait has no timeout, because an unreachable shard owner may keep renewing
//!   task leases.
//! - A completed task is acknowledged only after its completion is in the log.

mod append;
mod gang;
mod job_table;
mod records;
mod reports;
mod schedule;
mod shards;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::Rng;

use self::append::JobAppender;
use self::job_table::{Job, OrphanAttempt, Phase};
use self::schedule::QueueKey;
use self::shards::ShardView;
use super::message::{
    CoordinatorAction, CoordinatorEvent, CoordinatorSettings, JobStatus, ShardRequest, ShardRequestBody,
    TaskState,
};
use crate::id::{
    Attempt, Epoch, Incarnation, JobId, PartitionId, ShardId, TaskId, TaskIndex, TeamId, WorkerId,
};
use crate::ownership::Grant;
use crate::state_machine::StateMachine;
use crate::unit::{Resources, Timestamp};

/// Time after which an unsent request to a shard owner is dropped.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval between scans of all attempts for stops to repeat and missing start confirmations.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which an attempt without a confirmed start is stopped, which makes the owner report its state.
const START_CONFIRM_TIMEOUT: Duration = Duration::from_secs(6);
/// Interval between stop requests for the same attempt.
const STOP_RETRY_INTERVAL: Duration = Duration::from_secs(2);
/// Number of workers on which a job must fail, without a success in between, before it is suspended.
const SUSPENSION_THRESHOLD: usize = 3;
/// Suspension of a job before doubling; doubles with each failure of a task after its first, up to [`MAX_SUSPENSION`].
const BASE_SUSPENSION: Duration = Duration::from_secs(10);
const MAX_SUSPENSION: Duration = Duration::from_secs(600);
/// Backoff after the first failure of a task; doubles with each further failure up to [`MAX_RETRY_BACKOFF`].
const BASE_RETRY_BACKOFF: Duration = Duration::from_millis(500);
/// Maximum backoff after a task failure; a longer run of the task resets its backoff.
const MAX_RETRY_BACKOFF: Duration = Duration::from_secs(60);

/// Owned partition and the progress of its recovery.
#[derive(Debug)]
struct Partition {
    grant: Grant,
    /// Number of the marker appended to the log for this partition; `None` until the append is issued.
    marker: Option<u64>,
    /// Whether the marker was read back, so that all records of earlier coordinators have been read.
    marker_read: bool,
    /// Shards that have sent a complete task list.
    listed_shards: BTreeSet<ShardId>,
}

/// Time, random source and output of the event being handled.
struct EventContext<'a> {
    now: Timestamp,
    rng: &'a mut dyn Rng,
    out: &'a mut Vec<CoordinatorAction>,
}

/// Reservation requested from a shard owner.
#[derive(Debug)]
struct PendingReservation {
    job: JobId,
    partition: PartitionId,
    shard: ShardId,
    tasks: BTreeMap<TaskIndex, Attempt>,
    sent: Timestamp,
    timeout: Duration,
    /// Whether the owner may preempt tasks of lower priority.
    may_preempt: bool,
    /// Resources of one task.
    need: Resources,
}

/// Attempts to stop or acknowledge, batched into one request per partition and shard.
type AttemptBatches = BTreeMap<(PartitionId, ShardId), BTreeSet<(TaskId, Attempt)>>;

/// Schedules the jobs of the partitions that this host owns.
#[derive(Debug)]
pub struct Coordinator {
    incarnation: Incarnation,
    settings: Option<CoordinatorSettings>,
    jobs: BTreeMap<JobId, Job>,
    queue: BTreeSet<QueueKey>,
    partitions: BTreeMap<PartitionId, Partition>,
    shards: BTreeMap<ShardId, ShardView>,
    capacity_index: shards::CapacityIndex,
    /// Resources charged to each team, including reservations and orphans.
    usage: BTreeMap<TeamId, Resources>,
    orphans: BTreeMap<(TaskId, Attempt), OrphanAttempt>,
    pending: BTreeMap<u64, PendingReservation>,
    /// Recent commits, with the time of the request, in case the owner refuses them.
    committed: BTreeMap<u64, (Timestamp, PendingReservation)>,
    pending_stops: AttemptBatches,
    pending_acks: AttemptBatches,
    appender: JobAppender,
    /// Last number assigned to an attempt or a reservation.
    last_number: u64,
    /// Highest position in submission order.
    last_order: u64,
    last_sweep: Timestamp,
    last_list_check: Timestamp,
    last_full_pass: Timestamp,
    /// Whether the state has changed since the queue was last scheduled.
    needs_pass: bool,
}

impl Coordinator {
    /// Creates a coordinator that owns no partition.
    #[must_use]
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            settings: None,
            jobs: BTreeMap::new(),
            queue: BTreeSet::new(),
            partitions: BTreeMap::new(),
            shards: BTreeMap::new(),
            capacity_index: BTreeSet::new(),
            usage: BTreeMap::new(),
            orphans: BTreeMap::new(),
            pending: BTreeMap::new(),
            committed: BTreeMap::new(),
            pending_stops: AttemptBatches::new(),
            pending_acks: AttemptBatches::new(),
            appender: JobAppender::default(),
            last_number: 0,
            last_order: 0,
            last_sweep: Timestamp::ZERO,
            last_list_check: Timestamp::ZERO,
            last_full_pass: Timestamp::ZERO,
            needs_pass: false,
        }
    }

    /// Returns the status of a job; `None` unless it is active and its partition is owned.
    #[must_use]
    pub fn status(&self, job: &JobId) -> Option<JobStatus> {
        let active = self.jobs.get(job)?;
        self.partitions.get(&active.partition)?;
        Some(active.status())
    }

    /// Returns the resources currently charged against a team's quota.
    #[must_use]
    pub fn usage(&self, team: &TeamId) -> Resources {
        self.usage.get(team).copied().unwrap_or_default()
    }

    /// Returns whether all attempts started by earlier coordinators of a partition are known.
    #[must_use]
    pub fn is_recovered(&self, partition: PartitionId) -> bool {
        let (Some(owned), Some(settings)) = (self.partitions.get(&partition), &self.settings) else {
            return false;
        };
        owned.marker_read && settings.shards.is_subset(&owned.listed_shards)
    }

    fn lease_granted(&mut self, ctx: &mut EventContext<'_>, partition: PartitionId, grant: Grant) {
        let current = self.partitions.get(&partition).map(|owned| owned.grant.epoch);
        if current.is_some_and(|epoch| grant.epoch < epoch) {
            return;
        }
        if current == Some(grant.epoch) {
            if let Some(owned) = self.partitions.get_mut(&partition) {
                owned.grant = grant;
            }
            return;
        }
        self.reset_partition(partition);
        let owned = Partition { grant, marker: None, marker_read: false, listed_shards: BTreeSet::new() };
        self.partitions.insert(partition, owned);
        self.append_next(ctx);
        self.request_due_lists(ctx);
    }

    fn lease_lost(&mut self, partition: PartitionId, epoch: Epoch) {
        if self.partitions.get(&partition).is_some_and(|owned| owned.grant.epoch <= epoch) {
            self.partitions.remove(&partition);
            self.reset_partition(partition);
        }
    }

    /// Discards all attempts and reservations of a partition.
    fn reset_partition(&mut self, partition: PartitionId) {
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
        let orphans: Vec<_> = self
            .orphans
            .iter()
            .filter(|(_, orphan)| orphan.partition == partition)
            .map(|(key, _)| key.clone())
            .collect();
        for key in orphans {
            self.remove_orphan(&key);
        }
        self.pending.retain(|_, pending| pending.partition != partition);
        self.committed.retain(|_, (_, pending)| pending.partition != partition);
        self.pending_stops.retain(|key, _| key.0 != partition);
        self.pending_acks.retain(|key, _| key.0 != partition);
    }

    fn send(
        &self,
        ctx: &mut EventContext<'_>,
        partition: PartitionId,
        shard: &ShardId,
        body: ShardRequestBody,
    ) {
        let Some(owned) = self.partitions.get(&partition) else { return };
        let Some((to, _)) = self.shards.get(shard).and_then(|view| view.owner) else { return };
        if ctx.now >= owned.grant.valid_until {
            return;
        }
        let until = owned.grant.valid_until.min(ctx.now + SEND_TIMEOUT);
        let request = ShardRequest { partition, epoch: owned.grant.epoch, shard: shard.clone(), body };
        ctx.out.push(CoordinatorAction::Send { to, request, until });
    }

    /// Sends the batched stops and acknowledgements.
    fn flush_batches(&mut self, ctx: &mut EventContext<'_>) {
        for ((partition, shard), tasks) in std::mem::take(&mut self.pending_stops) {
            let tasks = tasks.into_iter().collect();
            self.send(ctx, partition, &shard, ShardRequestBody::Stop { tasks });
        }
        for ((partition, shard), tasks) in std::mem::take(&mut self.pending_acks) {
            let tasks = tasks.into_iter().collect();
            self.send(ctx, partition, &shard, ShardRequestBody::Acknowledge { tasks });
        }
    }

    /// Repeats stops without a reported end, and stops attempts without a confirmed start.
    fn sweep(&mut self, now: Timestamp) {
        for (id, job) in &mut self.jobs {
            for (index, run) in &mut job.runs {
                let unconfirmed =
                    run.phase == Phase::Committing && now.since(run.phase_since) >= START_CONFIRM_TIMEOUT;
                let is_due = run.stop_sent.is_some_and(|at| now.since(at) >= STOP_RETRY_INTERVAL);
                if is_due || (unconfirmed && run.stop_sent.is_none()) {
                    run.stop_sent = Some(now);
                    let task = TaskId { job: id.clone(), index: *index };
                    let batch = self.pending_stops.entry((job.partition, run.shard.clone())).or_default();
                    batch.insert((task, run.attempt));
                }
            }
        }
        for (key, orphan) in &mut self.orphans {
            if now.since(orphan.stop_sent) >= STOP_RETRY_INTERVAL {
                orphan.stop_sent = now;
                self.pending_stops
                    .entry((orphan.partition, orphan.shard.clone()))
                    .or_default()
                    .insert(key.clone());
            }
        }
    }

    fn tick(&mut self, ctx: &mut EventContext<'_>) {
        self.expire_reservations(ctx);
        if ctx.now.since(self.last_sweep) >= SWEEP_INTERVAL {
            self.last_sweep = ctx.now;
            self.sweep(ctx.now);
        }
        self.check_due_lists(ctx);
        self.schedule_queue(ctx);
        self.flush_batches(ctx);
        self.append_next(ctx);
    }
}

/// Final state of an attempt.
#[derive(Debug)]
struct AttemptEnd {
    state: TaskState,
    worker: Option<WorkerId>,
    shard: ShardId,
}

impl StateMachine for Coordinator {
    type Event = CoordinatorEvent;
    type Action = CoordinatorAction;

    fn handle(
        &mut self,
        now: Timestamp,
        event: CoordinatorEvent,
        rng: &mut dyn Rng,
        out: &mut Vec<CoordinatorAction>,
    ) {
        let ctx = &mut EventContext { now, rng, out };
        match event {
            CoordinatorEvent::Granted { partition, grant } => self.lease_granted(ctx, partition, grant),
            CoordinatorEvent::Lost { partition, epoch } => self.lease_lost(partition, epoch),
            CoordinatorEvent::Record(record) => self.apply_record(ctx, record),
            CoordinatorEvent::Appended { ticket } => self.appender.handle_appended(now, ticket),
            CoordinatorEvent::AppendFailed { ticket } => self.append_failed(ticket),
            CoordinatorEvent::Settings(settings) => self.apply_settings(now, settings),
            CoordinatorEvent::Owner { shard, owner } => self.owner_changed(ctx, &shard, owner),
            CoordinatorEvent::Reply { from, reply } => self.handle_reply(ctx, from, reply),
            CoordinatorEvent::Tick => self.tick(ctx),
        }
    }
}
