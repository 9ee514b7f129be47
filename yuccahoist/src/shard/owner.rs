//! Owner of the shard: the state machine that accepts, places and ends jobs.
//!
//! Changes collect in a batch while the previous batch is being written. Whatever must not happen before a record is
//! stored (an answer, a start, the acknowledgement of an ended run) is an effect of the batch that holds the record.

mod calls;
mod caps;
mod checks;
mod effects;
mod evacuation;
mod filler_pace;
mod freed;
mod isolation;
mod losses;
mod missed_demands;
mod neighbours;
mod observe;
mod pending_tasks;
mod pins;
mod preempt;
mod recommendations;
mod recover;
mod reports;
mod restarts;
mod runs;
mod schedule;
mod shares;
mod time_of_day;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use super::fair_share::{EntitlementMeter, Standings};
use super::id::{Epoch, Generation, JobKey, StepKey, TaskKey, WorkerIncarnation};
use super::interference::InterferenceBook;
use super::job::Job;
use super::learning::Learning;
use super::lease::ExpiryCounts;
use super::message::{Action, Event, OrderError};
use super::order::Urgency;
use super::ready::ReadySteps;
use super::record::Ownership;
use super::request_queue::{RequestKind, RequestRank};
use super::retry::RefusedCallers;
use super::run_end::EndCounts;
use super::spec::HIGHEST_PRIORITY;
use super::worker::Worker;
use super::workspace::{WorkspaceName, WorkspaceTable, WorkspaceTerms};
use crate::unit::{Bytes, Timestamp};

pub use self::recover::StoredRecords;
pub use self::shares::WorkspaceStatus;

/// Longest time between two writes of an owner. Other hosts take a log that does not grow as the sign of a dead owner
/// and try to take over; this is less than half of the time after which they do.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(160);
/// Age of the last confirmed write from which the owner no longer answers that a job is unknown; below the 3 s within
/// which the platform requires an accepted job to be visible.
const STALE_READ_AGE: Duration = Duration::from_millis(2_000);
/// Age of a write in flight after which the owner reports its path to the store as slow; a write to a slow store takes
/// 0.4 s.
const SLOW_WRITE_AGE: Duration = Duration::from_millis(500);
/// Age of a write in flight after which the store counts as down for this host: two writes to a slow store, or three
/// lost answers in a row.
const STUCK_WRITE_AGE: Duration = Duration::from_millis(1_000);
/// Shortest time between two batches; a write takes 9 ms, so more frequent writes add cost without lower latency.
const MIN_BATCH_INTERVAL: Duration = Duration::from_millis(12);

/// Settings of an owner.
#[derive(Debug, Clone)]
pub struct OwnerOptions {
    /// Ownership record, rewritten as a heartbeat when there is nothing else to write.
    pub ownership: Ownership,
    /// Duration of the leases granted to workers.
    pub lease: Duration,
    /// Longest lease that a worker takes.
    pub max_lease: Duration,
    /// Terms of the workspaces in force.
    pub workspaces: Arc<WorkspaceTable>,
    /// How many times as long a task takes away from the rack of its data; 1 if the platform names no factor.
    pub far_factor: f64,
    /// Largest record that the store takes, bytes.
    pub max_record: Bytes,
}

/// Largest record that a store takes if the platform names no limit, bytes.
pub const DEFAULT_MAX_RECORD: Bytes = Bytes(256 << 10);

impl OwnerOptions {
    /// Returns options with the default lease duration, capped at the platform's maximum `max_lease`.
    #[must_use]
    pub fn new(ownership: Ownership, max_lease: Duration) -> Self {
        let lease = super::lease::DEFAULT_LEASE.min(max_lease);
        Self {
            ownership,
            lease,
            max_lease,
            workspaces: Arc::default(),
            far_factor: 1.0,
            max_record: DEFAULT_MAX_RECORD,
        }
    }

    /// Sets the largest record that the store takes, bytes.
    #[must_use]
    pub fn max_record(self, max_record: Bytes) -> Self {
        Self { max_record, ..self }
    }

    /// Sets how many times as long a task takes away from the rack of its data; below 1 counts as 1.
    #[must_use]
    pub fn far_factor(self, far_factor: f64) -> Self {
        Self { far_factor: far_factor.max(1.0), ..self }
    }

    /// Sets the terms of the workspaces in force.
    #[must_use]
    pub fn workspaces(self, workspaces: Arc<WorkspaceTable>) -> Self {
        Self { workspaces, ..self }
    }
}

/// Recommendation request that is queued or in flight.
#[derive(Debug, Clone, Copy)]
struct PendingRequest {
    /// Reason of the request.
    kind: RequestKind,
    /// Place in the order of the calls.
    rank: RequestRank,
    /// Since when the step has waited for it.
    since: Timestamp,
    /// Expected duration of the call.
    duration: Duration,
}

/// Effect that takes place once its batch is stored.
#[derive(Debug)]
enum Effect {
    Reply(super::message::CallId, JobKey, super::message::Answer),
    /// Makes the final state of a job visible to callers.
    Publish(JobKey),
    /// Sends the start order of a run, given by its number.
    Start(TaskKey, u32),
    /// Acknowledges to a worker its ended runs up to a sequence number, so that it can drop them.
    Acknowledge(WorkerIncarnation, u64),
}

/// Records to write and the effects that take place once they are stored.
#[derive(Debug, Default)]
struct Batch {
    /// Jobs whose specification is to be written.
    jobs: BTreeSet<JobKey>,
    /// Jobs whose progress is to be written.
    progress: BTreeSet<JobKey>,
    effects: Vec<Effect>,
}

impl Batch {
    fn has_records(&self) -> bool {
        !self.jobs.is_empty() || !self.progress.is_empty()
    }
}

/// Counts since this host became the owner; exported as metrics.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Counters {
    /// Accepted jobs; a job that is refused before it was written is subtracted again.
    pub accepted: u64,
    /// Jobs refused because of overload or a store outage.
    pub refused: u64,
    /// Start orders sent to workers.
    pub starts: u64,
    /// Runs that ended successfully.
    pub done: u64,
    /// Runs that ended with a failure.
    pub failed: u64,
    /// Runs lost because their worker's lease expired or its incarnation ended.
    pub lost: u64,
    /// Runs that ended, by the proof of their end.
    pub ended_runs: EndCounts,
    /// Runs that were active after they had been freed, by the proof on which they were.
    pub active_after_free: EndCounts,
    /// Runs that were active without a place, which a previous owner had freed.
    pub active_unplaced: u64,
    /// Runs that ended otherwise than by their lease and whose end was reported after they had been freed on it: they ended
    /// before, or were active after.
    pub ended_after_free: u64,
    /// Tasks that were bound to a worker, since an earlier start order may still be executed there.
    pub pinned_tasks: u64,
    /// Runs of such tasks that were started late.
    pub late_starts: u64,
    /// Leases that expired with runs on their workers, by the orders that decided their end.
    pub expired_leases: ExpiryCounts,
    /// Workers of which a later incarnation showed that they had crashed.
    pub crashed_workers: u64,
    /// Tasks given up because they crash their workers.
    pub given_up: u64,
    /// Recommendation requests.
    pub recommendation_requests: u64,
    /// Workers of which enough runs are known to tell their speed.
    pub known_speeds: u64,
    /// Speed that a tenth of these workers do not reach, percent of the fleet's median.
    pub slow_percent: u64,
    /// Speed that a tenth of these workers exceed, percent of the fleet's median.
    pub fast_percent: u64,
    /// Placements for which the speeds of the workers were considered.
    pub speed_placements: u64,
    /// Requests for steps without a recommended worker.
    pub first_requests: u64,
    /// Requests for new tickets of recommended workers.
    pub renewal_requests: u64,
    /// Rounds of requests that named all workers again, for steps that could not be placed.
    pub recommendation_rounds: u64,
    /// Recommendations of workers that a later answer, or the worker itself, did not confirm.
    pub withdrawn_recommendations: u64,
    /// Longest time from the request for a step without a recommended worker to its call, milliseconds.
    pub longest_first_wait: u64,
    /// Pairs of kinds of which one is known to slow down the other.
    pub known_pairs: u64,
    /// Placements on other workers than without the known pairs.
    pub neighbour_placements: u64,
}

/// State machine of the shard's owner; does no I/O itself, but emits [`Action`]s.
#[derive(Debug)]
pub struct Owner {
    options: OwnerOptions,
    jobs: BTreeMap<JobKey, Job>,
    workers: BTreeMap<WorkerIncarnation, Worker>,
    /// Highest generation by worker id.
    generations: BTreeMap<Arc<str>, Generation>,
    /// Last incarnation under an id that was removed, as long as a later one may execute orders to it.
    removed: BTreeMap<Arc<str>, restarts::Removed>,
    /// Runs that were freed lately.
    freed: freed::FreedRuns,
    /// Tasks whose earlier start order may still be executed.
    pins: pins::Pins,
    /// When this owner took over.
    restored_at: Timestamp,
    /// Difference of the time of day and the monotonic clock, milliseconds.
    wall_offset: i128,
    /// Steps with a pending task that may start, in the order of their rank.
    ready: ReadySteps,
    /// Number of jobs by queue that have not begun.
    queued_jobs: BTreeMap<String, u64>,
    batch: Batch,
    /// Jobs that have begun, whose progress goes with the next write; it is not worth one of its own.
    begun: BTreeSet<JobKey>,
    /// Batch that is being written, and when it was sent.
    in_flight: Option<(Batch, Timestamp)>,
    last_flush: Timestamp,
    /// Time at which the last confirmed write was sent.
    last_confirmed: Timestamp,
    store_up: bool,
    /// Whether the write in flight is older than [`SLOW_WRITE_AGE`].
    write_slow: bool,
    /// Time at which the store last recovered from an outage, or of the takeover.
    recovered_at: Timestamp,
    /// Callers that were refused and may return.
    refused: RefusedCallers,
    /// Whether a scheduling pass is due.
    pass_due: bool,
    /// Earliest time of the next full pass.
    next_full_pass: Timestamp,
    /// Time of the next stop order, by run whose last one was not answered.
    stop_retries: BTreeMap<(TaskKey, u32), Timestamp>,
    /// Lost workers that may be unreachable only.
    unresolved: BTreeMap<WorkerIncarnation, losses::Unresolved>,
    last_check: Timestamp,
    /// Recommendation requests that are in flight or wait for a host.
    pending_requests: BTreeMap<StepKey, PendingRequest>,
    /// Number of hosts that can make recommendation requests.
    requesting_hosts: usize,
    /// Whether less than half of the fleet was in use at the last submission.
    is_fleet_idle: bool,
    /// Running work of the workspaces against their caps.
    caps: caps::Caps,
    /// Jobs that the workspaces are entitled to.
    entitlements: EntitlementMeter,
    /// Use of the fleet by the workspaces against their shares, in the last pass.
    standings: Standings,
    /// Refused jobs by workspace since this host became the owner.
    refusals: BTreeMap<WorkspaceName, u64>,
    workspace_status: Arc<[WorkspaceStatus]>,
    learning: Learning,
    by_speed: observe::SpeedPlacement,
    /// Kinds of tasks that disturb each other.
    interference: InterferenceBook,
    counters: Counters,
    actions: Vec<Action>,
}

impl Owner {
    /// Returns the epoch of this ownership, which fences all earlier owners.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.options.ownership.epoch
    }

    /// Sets the number of hosts that can make recommendation requests.
    pub fn set_requesting_hosts(&mut self, hosts: usize) {
        self.requesting_hosts = hosts;
    }

    /// Returns the counts since this host became the owner.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Returns the number of jobs that are queued or running.
    #[must_use]
    pub fn unfinished_jobs(&self) -> usize {
        self.jobs.values().filter(|j| !j.state.is_final()).count()
    }

    /// Returns whether a write was confirmed recently enough to rule out that another host has owned the shard for long.
    #[must_use]
    pub fn has_recent_write(&self, now: Timestamp) -> bool {
        now.since(self.last_confirmed) < STALE_READ_AGE
    }

    /// Returns whether no write is in flight.
    #[must_use]
    pub fn is_write_idle(&self) -> bool {
        self.in_flight.is_none()
    }

    /// Handles an event and appends the resulting actions to `actions`; `wall` is in milliseconds since the Unix epoch.
    pub fn handle(&mut self, now: Timestamp, wall: u64, event: Event, actions: &mut Vec<Action>) {
        self.note_time_of_day(now, wall);
        match event {
            Event::Call(call, request) => self.on_call(now, wall, call, request),
            Event::Worker(entry) => self.on_worker(now, entry),
            Event::WorkerUnlisted(id, reason) => self.on_worker_unlisted(now, &id, reason),
            Event::Stored => self.on_stored(now),
            Event::LeaseAnswered(incarnation, sent, result) => {
                self.on_lease_answer(now, wall, &incarnation, sent, result);
            }
            Event::Started(task, run, incarnation, result) => {
                self.on_started(now, task, run, &incarnation, result);
            }
            Event::Stopped(task, run, incarnation, result) => {
                self.on_stopped(now, task, run, &incarnation, result);
            }
            Event::PaceAnswered(task, run, incarnation, result) => {
                self.on_pace_result(task, run, &incarnation, result);
            }
            Event::Recommended(step, workers, answer) => self.on_recommendation(now, step, workers, answer),
            Event::Workspaces(table) => self.on_workspaces(&table),
            Event::Tick => {}
        }
        self.update_store_state(now);
        self.run_checks(now, wall);
        self.flush(now);
        actions.append(&mut self.actions);
    }

    /// Returns the latest time at which [`Event::Tick`] is due.
    #[must_use]
    pub fn next_tick(&self, now: Timestamp) -> Timestamp {
        let flush_pending = self.in_flight.is_none() && (self.batch.has_records() || self.pass_due);
        if flush_pending {
            (self.last_flush + MIN_BATCH_INTERVAL).max(now)
        } else {
            now + checks::CHECK_INTERVAL
        }
    }

    /// Returns whether the store answers writes in time; if not, another host may have a better path to it.
    #[must_use]
    pub fn is_store_responsive(&self) -> bool {
        !self.write_slow
    }

    /// Updates the state of the store; while it is down, refuses the jobs that are not in flight yet.
    fn update_store_state(&mut self, now: Timestamp) {
        let age = self.in_flight.as_ref().map_or(Duration::ZERO, |(_, sent)| now.since(*sent));
        self.write_slow = age > SLOW_WRITE_AGE;
        let stuck = self.in_flight.as_ref().is_some_and(|(_, sent)| now.since(*sent) > STUCK_WRITE_AGE);
        if stuck == self.store_up {
            self.store_up = !stuck;
            log::warn!(target: "decision", "store outcome={} unsent={}", if stuck { "stuck" } else { "back" }, self.batch.jobs.len());
            if !stuck {
                self.recovered_at = now;
            }
        }
        if stuck && !self.batch.jobs.is_empty() {
            self.refuse_unsent(now);
        }
    }

    /// Writes the batch unless a write is in flight, after a scheduling pass if one is due.
    fn flush(&mut self, now: Timestamp) {
        if self.in_flight.is_some() || now < self.last_flush + MIN_BATCH_INTERVAL {
            return;
        }
        if self.pass_due && self.store_up {
            self.pass_due = false;
            self.schedule(now);
        }
        if !self.batch.has_records() {
            let batch = std::mem::take(&mut self.batch);
            self.apply_effects(now, batch.effects);
            if now.since(self.last_flush) < HEARTBEAT_INTERVAL {
                return;
            }
        }
        let mut batch = std::mem::take(&mut self.batch);
        batch.progress.append(&mut self.begun);
        let entries = self.encode_batch(now, &batch);
        self.last_flush = now;
        self.in_flight = Some((batch, now));
        self.actions.push(Action::Append(entries));
    }

    /// Updates the rank of a step, or removes the step from the ready set if none of its tasks can be placed.
    fn rerank_step(&mut self, now: Timestamp, key: StepKey) {
        self.ready.remove(key);
        let Some(job) = self.jobs.get(&key.job) else { return };
        let Some(step) = job.occurrences.get(key.occurrence as usize).and_then(|o| o.get(key.step as usize))
        else {
            return;
        };
        let spec = &job.spec.steps[key.step as usize];
        if job.state.is_final()
            || !step.has_placeable_task(spec)
            || !job.is_unblocked(key.occurrence, key.step)
        {
            return;
        }
        let Some(rank) = self.urgency(key).map(|u| u.rank(now)) else { return };
        self.ready.insert(key, rank, job.spec.workspace.as_ref().map(|w| &w.name));
        self.pass_due = true;
        self.request_first_tickets(now, key);
    }

    /// Returns the inputs of a step's rank.
    fn urgency(&self, key: StepKey) -> Option<Urgency> {
        let job = self.jobs.get(&key.job)?;
        Some(Urgency {
            arrival: *job.due.get(key.occurrence as usize)?,
            objective: job.plan.objective,
            critical_path: self.shortest_duration(&job.spec.queue.name, job.plan.critical_path(key.step)),
            work: job.plan.work,
            is_urgent: job.spec.queue.priority == HIGHEST_PRIORITY,
            is_excess: job.is_excess,
        })
    }

    /// Updates the ranks of all steps of a job.
    fn rerank_job(&mut self, now: Timestamp, key: JobKey) {
        self.rerank_occurrences(now, key, 0);
    }

    /// Updates the ranks of the steps of a job from occurrence `first` on.
    fn rerank_occurrences(&mut self, now: Timestamp, key: JobKey, first: u32) {
        let Some(job) = self.jobs.get(&key) else { return };
        let mut steps = Vec::new();
        for (occurrence, states) in (0u32..).zip(&job.occurrences).skip(first as usize) {
            steps.extend((0u32..).zip(states).map(|(step, _)| StepKey { job: key, occurrence, step }));
        }
        for step in steps {
            self.rerank_step(now, step);
        }
    }

    /// Updates the ranks of a step that is complete and of the steps that depend on it.
    fn rerank_dependents(&mut self, now: Timestamp, key: StepKey) {
        self.rerank_step(now, key);
        let Some(job) = self.jobs.get(&key.job) else { return };
        for step in job.plan.dependents(key.step).to_vec() {
            self.rerank_step(now, StepKey { step, ..key });
        }
    }

    /// Adjusts the number of jobs of a queue that have not begun.
    fn adjust_queued_jobs(&mut self, queue: &str, delta: i64) {
        let count = self.queued_jobs.entry(queue.to_owned()).or_default();
        *count = count.saturating_add_signed(delta);
    }

    fn on_workspaces(&mut self, table: &Arc<WorkspaceTable>) {
        if table.version >= self.options.workspaces.version {
            self.options.workspaces = table.clone();
            self.pass_due = true;
        }
    }

    /// Returns the workspace of a job with its terms in force; those stored with the job if the configuration in force
    /// does not have the workspace.
    #[must_use]
    pub fn workspace_terms(&self, key: JobKey) -> Option<(&WorkspaceName, WorkspaceTerms)> {
        let workspace = self.jobs.get(&key)?.spec.workspace.as_ref()?;
        let in_force = self.options.workspaces.workspaces.get(&workspace.name).copied();
        Some((&workspace.name, in_force.unwrap_or(workspace.terms)))
    }

    /// Steps down if a worker has refused an order since it has seen a later owner; returns whether it has.
    ///
    /// An incarnation of a worker that has started again may have refused an order to another one, which says nothing of later
    /// owners. The next lease extension tells.
    fn step_down_if_fenced(&mut self, incarnation: &WorkerIncarnation, error: OrderError) -> bool {
        if error != OrderError::Fenced {
            return false;
        }
        let newest = self.generations.get(&incarnation.id).copied().unwrap_or_default();
        if newest > Generation::default() {
            self.raise_generation(incarnation, newest);
            return false;
        }
        self.actions.push(Action::StepDown(self.epoch()));
        true
    }
}
