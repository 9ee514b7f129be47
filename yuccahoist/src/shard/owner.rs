//! Owner of the shard: the state machine that accepts, places and ends jobs.
//!
//! Changes collect in a batch while the previous batch is being stored. Whatever may only happen after the store has a
//! record (an answer, a start, the release of an end) is an effect of the batch that holds the record.

mod calls;
mod effects;
mod fill;
mod preempt;
mod recover;
mod reports;
mod runs;
mod schedule;
mod tickets;
mod upkeep;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::id::{Epoch, JobKey, Life, StepKey, TaskName};
use super::job::Job;
use super::message::{Action, Event, OrderError};
use super::order::{Rank, Urgency};
use super::record::Ownership;
use super::worker::Worker;
use crate::unit::Timestamp;

pub use self::recover::Restored;

/// Longest time between two writes of an owner; others take the end of the log standing still for a dead owner.
pub const HEARTBEAT: Duration = Duration::from_millis(300); // Less than half of the time after which others try to take over.
/// How old the last confirmed write may be for an answer that only the true owner may give.
const FRESH: Duration = Duration::from_millis(2_000); // Below the platform's 3 s for a job to be visible.
/// Age of a write after which the owner doubts its path to the store.
const DOUBT: Duration = Duration::from_millis(500); // A write of a slow store takes 0.4 s.
/// Age of a write after which the store counts as down for this host.
const STUCK: Duration = Duration::from_millis(1_000); // Two writes of a slow store, or three lost answers in a row.
/// Least time between two batches.
const BATCH_GAP: Duration = Duration::from_millis(12); // One write takes 9 ms; more writes would cost without gain.

/// Figures that the owner is made with.
#[derive(Debug, Clone)]
pub struct OwnerOptions {
    /// Ownership record, written again as a heartbeat.
    pub ownership: Ownership,
    /// Lease given to workers.
    pub lease: Duration,
}

impl OwnerOptions {
    /// Options of an owner with the default lease, bounded by the platform's `longest`.
    #[must_use]
    pub fn new(ownership: Ownership, longest: Duration) -> Self {
        Self { ownership, lease: super::lease::LEASE.min(longest) }
    }
}

/// Call for a recommendation.
#[derive(Debug, Clone, Copy)]
struct Question {
    latest: Timestamp,
    cost: Duration,
}

/// Effect of a batch that is stored.
#[derive(Debug)]
enum Effect {
    Reply(super::message::CallId, JobKey, super::message::Answer),
    Show(JobKey),
    Start(TaskName, u32),
    Release(Life, u64),
}

/// Records to write and what follows once they are stored.
#[derive(Debug, Default)]
struct Batch {
    jobs: BTreeSet<JobKey>,
    progress: BTreeSet<JobKey>,
    effects: Vec<Effect>,
}

impl Batch {
    fn writes(&self) -> bool {
        !self.jobs.is_empty() || !self.progress.is_empty()
    }
}

/// Counters since the start of the ownership.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Counters {
    /// Jobs accepted.
    pub accepted: u64,
    /// Jobs refused.
    pub refused: u64,
    /// Runs ordered.
    pub starts: u64,
    /// Runs that ended done.
    pub done: u64,
    /// Runs that ended failed.
    pub failed: u64,
    /// Runs that were lost with their worker or its lease.
    pub lost: u64,
    /// Calls for a recommendation.
    pub advice: u64,
}

/// Owner of the shard.
#[derive(Debug)]
pub struct Owner {
    options: OwnerOptions,
    jobs: BTreeMap<JobKey, Job>,
    workers: BTreeMap<Life, Worker>,
    ready: BTreeSet<(Rank, StepKey)>,
    ranks: BTreeMap<StepKey, Rank>,
    waiting: BTreeMap<String, u64>,
    batch: Batch,
    flight: Option<(Batch, Timestamp)>,
    flushed: Timestamp,
    confirmed: Timestamp,
    store: bool,
    doubt: bool,
    store_back: Timestamp,
    changed: bool,
    pauses: BTreeMap<(TaskName, u32), Timestamp>,
    checked: Timestamp,
    /// Calls for recommendations that are under way or wait for a host.
    asks: BTreeMap<StepKey, Question>,
    lanes: usize,
    counters: Counters,
    out: Vec<Action>,
}

impl Owner {
    /// Number of ownership.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.options.ownership.epoch
    }

    /// Notes how many hosts can ask for recommendations.
    pub fn set_lanes(&mut self, lanes: usize) {
        self.lanes = lanes;
    }

    /// Counters.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Number of jobs that are not final.
    #[must_use]
    pub fn open(&self) -> usize {
        self.jobs.values().filter(|j| !j.state.is_final()).count()
    }

    /// Whether a write was confirmed lately, so that no other host can have owned the shard for long.
    #[must_use]
    pub fn fresh(&self, now: Timestamp) -> bool {
        now.since(self.confirmed) < FRESH
    }

    /// Whether nothing is being written.
    #[must_use]
    pub fn idle(&self) -> bool {
        self.flight.is_none()
    }

    /// Handles an event; the actions that follow are appended to `out`.
    pub fn handle(&mut self, now: Timestamp, wall: u64, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Call(call, request) => self.on_call(now, wall, call, request),
            Event::Worker(entry) => self.on_worker(now, entry),
            Event::WorkerGone(id) => self.on_gone(now, &id),
            Event::Stored => self.on_stored(now),
            Event::Held(life, Ok(report)) => self.on_report(now, &life, &report),
            Event::Held(life, Err(error)) => self.on_hold_error(now, &life, error),
            Event::Started(task, run, life, result) => self.on_started(now, task, run, &life, result),
            Event::Stopped(task, run, life, result) => self.on_stopped(now, task, run, &life, result),
            Event::Paced(task, run, life, result) => self.on_paced(task, run, &life, result),
            Event::Advised(step, asked, good) => self.on_advised(now, step, asked, good),
            Event::Tick => {}
        }
        self.watch_store(now);
        self.on_time(now, wall);
        self.flush(now);
        out.append(&mut self.out);
    }

    /// Time at which [`Event::Tick`] is due at the latest.
    #[must_use]
    pub fn due(&self, now: Timestamp) -> Timestamp {
        let unsent = self.flight.is_none() && (self.batch.writes() || self.changed);
        if unsent { (self.flushed + BATCH_GAP).max(now) } else { now + upkeep::INTERVAL }
    }

    /// Whether the store answers writes in time; another host may have a better path to it.
    #[must_use]
    pub fn writes(&self) -> bool {
        !self.doubt
    }

    /// Notes whether the store answers, and refuses what it can't take in time.
    fn watch_store(&mut self, now: Timestamp) {
        let age = self.flight.as_ref().map_or(Duration::ZERO, |(_, sent)| now.since(*sent));
        self.doubt = age > DOUBT;
        let stuck = self.flight.as_ref().is_some_and(|(_, sent)| now.since(*sent) > STUCK);
        if stuck == self.store {
            self.store = !stuck;
            log::warn!(target: "decision", "store outcome={} unsent={}", if stuck { "stuck" } else { "back" }, self.batch.jobs.len());
            if !stuck {
                self.store_back = now;
            }
        }
        if stuck && !self.batch.jobs.is_empty() {
            self.refuse_unsent(now);
        }
    }

    /// Sends the batch if none is under way.
    fn flush(&mut self, now: Timestamp) {
        if self.flight.is_some() || now < self.flushed + BATCH_GAP {
            return;
        }
        if self.changed && self.store {
            self.changed = false;
            self.schedule(now);
        }
        if !self.batch.writes() {
            let batch = std::mem::take(&mut self.batch);
            self.apply(now, batch.effects);
            if now.since(self.flushed) < HEARTBEAT {
                return;
            }
        }
        let batch = std::mem::take(&mut self.batch);
        let entries = self.encode(&batch);
        self.flushed = now;
        self.flight = Some((batch, now));
        self.out.push(Action::Append(entries));
    }

    /// Ranks a step anew, or takes it out of the order when it does not wait.
    fn refresh(&mut self, now: Timestamp, key: StepKey) {
        if let Some(rank) = self.ranks.remove(&key) {
            self.ready.remove(&(rank, key));
        }
        let Some(job) = self.jobs.get(&key.job) else { return };
        let Some(step) = job.occurrences.get(key.occurrence as usize).and_then(|o| o.get(key.step as usize))
        else {
            return;
        };
        let spec = &job.spec.steps[key.step as usize];
        if job.state.is_final() || !step.waits(spec) || !job.unblocked(key.occurrence, key.step) {
            return;
        }
        let Some(rank) = self.urgency(key).map(|u| u.rank(now)) else { return };
        self.ranks.insert(key, rank);
        self.ready.insert((rank, key));
        self.changed = true;
        self.ask_first(now, key);
    }

    /// What the rank of a step follows from.
    fn urgency(&self, key: StepKey) -> Option<Urgency> {
        let job = self.jobs.get(&key.job)?;
        Some(Urgency {
            arrival: *job.due.get(key.occurrence as usize)?,
            objective: job.spec.objective(),
            chain: job.chain(key.step),
            work: job.spec.work(),
        })
    }

    /// Ranks all steps of a job anew.
    fn refresh_job(&mut self, now: Timestamp, key: JobKey) {
        let Some(job) = self.jobs.get(&key) else { return };
        let mut steps = Vec::new();
        for (occurrence, list) in (0u32..).zip(&job.occurrences) {
            steps.extend((0u32..).zip(list).map(|(step, _)| StepKey { job: key, occurrence, step }));
        }
        for step in steps {
            self.refresh(now, step);
        }
    }

    /// Counts the jobs of a queue that have not begun.
    fn count_waiting(&mut self, queue: &str, change: i64) {
        let count = self.waiting.entry(queue.to_owned()).or_default();
        *count = count.saturating_add_signed(change);
    }

    fn deposed(&mut self, error: OrderError) -> bool {
        let fenced = error == OrderError::Fenced;
        if fenced {
            self.out.push(Action::Deposed(self.epoch()));
        }
        fenced
    }
}
