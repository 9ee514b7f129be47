//! Detection and isolation of workers on which most tasks fail.
//!
//! A failure counts against a worker only while the job does not fail on several other workers; otherwise the job is
//! faulty, not the worker. The counts decay at intervals, so that old failures lose weight.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::id::{JobId, WorkerId};
use crate::unit::Timestamp;

/// Failures of a worker before it can be isolated.
pub const MIN_FAILURES: u32 = 4;
/// Distinct jobs that must have failed on a worker before it can be isolated.
pub const MIN_FAILED_JOBS: usize = 3;
/// Workers on which a job must fail before it counts as faulty and its failures stop counting against workers.
pub const FAULTY_JOB_MIN_WORKERS: usize = 3;
/// Factor by which a worker's failure rate must exceed that of all other workers together.
pub const FAILURE_RATE_FACTOR: u32 = 4;
/// Known workers that are required for each isolated one; bounds the capacity that isolation removes.
pub const MIN_WORKERS_PER_ISOLATED: usize = 4;
/// Time for which an isolated worker gets no new tasks.
pub const ISOLATION_PERIOD: Duration = Duration::from_secs(600);
/// Interval at which all counts are halved.
pub const DECAY_INTERVAL: Duration = Duration::from_secs(300);

#[derive(Debug, Default)]
struct WorkerScore {
    /// Failures by job, without those of faulty jobs.
    failures: BTreeMap<JobId, u32>,
    /// Sum of `failures`.
    failure_count: u32,
    successes: u32,
    isolated_until: Option<Timestamp>,
}

/// Success and failure counts of the workers, and which of them are isolated.
#[derive(Debug, Default)]
pub struct WorkerHealth {
    scores: BTreeMap<WorkerId, WorkerScore>,
    failed_workers: BTreeMap<JobId, BTreeSet<WorkerId>>,
    decayed_at: Timestamp,
    /// Failures and successes of all workers, so that a failure does not require a scan of the fleet.
    totals: (u32, u32),
}

impl WorkerHealth {
    /// Adds a worker, so that it counts for the bound on isolated workers; a known worker keeps its counts.
    pub fn add(&mut self, worker: &WorkerId) {
        self.scores.entry(worker.clone()).or_default();
    }

    /// Removes a worker and its counts.
    pub fn remove(&mut self, worker: &WorkerId) {
        if let Some(score) = self.scores.remove(worker) {
            self.totals = (self.totals.0 - score.failure_count, self.totals.1 - score.successes);
        }
    }

    /// Counts a successful task and clears the suspicion that its job is faulty.
    pub fn record_success(&mut self, worker: &WorkerId, job: &JobId) {
        if let Some(score) = self.scores.get_mut(worker) {
            score.successes += 1;
            self.totals.1 += 1;
        }
        self.failed_workers.remove(job);
    }

    /// Counts a failed task and returns whether the worker is isolated because of it.
    pub fn record_failure(&mut self, now: Timestamp, worker: &WorkerId, job: &JobId) -> bool {
        self.decay(now);
        let workers = self.failed_workers.entry(job.clone()).or_default();
        workers.insert(worker.clone());
        if workers.len() >= FAULTY_JOB_MIN_WORKERS {
            let workers = workers.clone();
            self.discount_job(job, &workers);
            return false;
        }
        let Some(score) = self.scores.get_mut(worker) else { return false };
        *score.failures.entry(job.clone()).or_default() += 1;
        score.failure_count += 1;
        self.totals.0 += 1;
        self.isolate_if_faulty(now, worker)
    }

    /// Removes the failures of a faulty job from the counts of `workers`.
    fn discount_job(&mut self, job: &JobId, workers: &BTreeSet<WorkerId>) {
        for worker in workers {
            let Some(score) = self.scores.get_mut(worker) else { continue };
            let count = score.failures.remove(job).unwrap_or_default();
            score.failure_count -= count;
            self.totals.0 -= count;
        }
    }

    /// Whether a worker is isolated at `now`; false for an unknown worker.
    #[must_use]
    pub fn is_isolated(&self, now: Timestamp, worker: &WorkerId) -> bool {
        self.scores.get(worker).and_then(|score| score.isolated_until).is_some_and(|until| now < until)
    }

    /// Whether the recent failures of a job span at least [`FAULTY_JOB_MIN_WORKERS`] workers.
    #[must_use]
    pub fn is_faulty_job(&self, job: &JobId) -> bool {
        self.failed_workers.get(job).is_some_and(|workers| workers.len() >= FAULTY_JOB_MIN_WORKERS)
    }

    fn isolate_if_faulty(&mut self, now: Timestamp, worker: &WorkerId) -> bool {
        let Some(score) = self.scores.get(worker) else { return false };
        let (failures, successes) = (score.failure_count, score.successes);
        if failures < MIN_FAILURES || score.failures.len() < MIN_FAILED_JOBS || failures <= successes {
            return false;
        }
        let other_failures = self.totals.0 - failures;
        let other_runs = other_failures + (self.totals.1 - successes);
        // Cross-multiplied form of: failure rate of the worker > factor * failure rate of the others.
        let own = u64::from(failures) * u64::from(other_runs.max(1));
        let others =
            u64::from(FAILURE_RATE_FACTOR) * u64::from(other_failures) * u64::from(failures + successes);
        if own <= others || self.is_isolated(now, worker) || !self.can_isolate(now) {
            return false;
        }
        self.totals = (self.totals.0 - failures, self.totals.1 - successes);
        if let Some(score) = self.scores.get_mut(worker) {
            *score = WorkerScore { isolated_until: Some(now + ISOLATION_PERIOD), ..WorkerScore::default() };
        }
        true
    }

    fn can_isolate(&self, now: Timestamp) -> bool {
        let isolated =
            self.scores.values().filter(|score| score.isolated_until.is_some_and(|t| now < t)).count();
        (isolated + 1) * MIN_WORKERS_PER_ISOLATED <= self.scores.len()
    }

    fn decay(&mut self, now: Timestamp) {
        if now.since(self.decayed_at) < DECAY_INTERVAL {
            return;
        }
        self.decayed_at = now;
        self.totals = (0, 0);
        for score in self.scores.values_mut() {
            score.successes /= 2;
            score.failures.retain(|_, count| {
                *count /= 2;
                *count > 0
            });
            score.failure_count = score.failures.values().sum();
            self.totals = (self.totals.0 + score.failure_count, self.totals.1 + score.successes);
        }
        let scores = &self.scores;
        self.failed_workers.retain(|job, _| scores.values().any(|score| score.failures.contains_key(job)));
    }
}
