//! Detection of workers that fail everything.
//!
//! A failure speaks against a worker only if the job does not fail on other workers as well; that job is bad, not the
//! worker. Counts are halved at intervals, so that an old fault is forgotten.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::id::{JobId, WorkerId};
use crate::unit::Timestamp;

/// Failures of a worker that are needed before it is isolated.
pub const FAILURE_LIMIT: u32 = 4;
/// Different jobs that must have failed on it.
pub const JOB_LIMIT: usize = 3;
/// Workers on which a job must fail before its failures stop counting against workers.
pub const BAD_JOB_WORKERS: usize = 3;
/// Factor by which a worker's failure rate must exceed that of all others.
pub const RATE_FACTOR: u32 = 4;
/// Largest isolated part of the workers: one in this many.
pub const ISOLATED_PART: usize = 4;
/// Time for which a worker is isolated before it is tried again.
pub const ISOLATION: Duration = Duration::from_secs(600);
/// Time after which counts are halved.
pub const HALVING: Duration = Duration::from_secs(300);

#[derive(Debug, Default)]
struct Score {
    /// Failures of jobs that do not fail on several workers.
    failures: BTreeMap<JobId, u32>,
    /// Sum of the failures.
    failed: u32,
    successes: u32,
    isolated: Option<Timestamp>,
}

/// Failure scores of workers.
#[derive(Debug, Default)]
pub struct WorkerHealth {
    scores: BTreeMap<WorkerId, Score>,
    failed_on: BTreeMap<JobId, BTreeSet<WorkerId>>,
    halved: Timestamp,
    /// Failures and successes of all workers, so that a failure costs no scan of the fleet.
    total: (u32, u32),
}

impl WorkerHealth {
    /// Adds a worker, so that the isolated part is bounded over all workers.
    pub fn add(&mut self, worker: &WorkerId) {
        self.scores.entry(worker.clone()).or_default();
    }

    /// Removes a worker.
    pub fn remove(&mut self, worker: &WorkerId) {
        if let Some(score) = self.scores.remove(worker) {
            self.total = (self.total.0 - score.failed, self.total.1 - score.successes);
        }
    }

    /// Counts a task that ended successfully.
    pub fn succeeded(&mut self, worker: &WorkerId, job: &JobId) {
        if let Some(score) = self.scores.get_mut(worker) {
            score.successes += 1;
            self.total.1 += 1;
        }
        self.failed_on.remove(job);
    }

    /// Counts a task that failed; true when the worker is isolated because of it.
    pub fn failed(&mut self, now: Timestamp, worker: &WorkerId, job: &JobId) -> bool {
        self.halve(now);
        let workers = self.failed_on.entry(job.clone()).or_default();
        workers.insert(worker.clone());
        if workers.len() >= BAD_JOB_WORKERS {
            let workers = workers.clone();
            self.acquit(job, &workers);
            return false;
        }
        let Some(score) = self.scores.get_mut(worker) else { return false };
        *score.failures.entry(job.clone()).or_default() += 1;
        score.failed += 1;
        self.total.0 += 1;
        self.judge(now, worker)
    }

    /// Takes back the failures of a bad job.
    fn acquit(&mut self, job: &JobId, workers: &BTreeSet<WorkerId>) {
        for worker in workers {
            let Some(score) = self.scores.get_mut(worker) else { continue };
            let count = score.failures.remove(job).unwrap_or_default();
            score.failed -= count;
            self.total.0 -= count;
        }
    }

    /// Whether a worker is isolated.
    #[must_use]
    pub fn is_isolated(&self, now: Timestamp, worker: &WorkerId) -> bool {
        self.scores.get(worker).and_then(|score| score.isolated).is_some_and(|until| now < until)
    }

    /// Whether a job fails on several workers.
    #[must_use]
    pub fn is_bad_job(&self, job: &JobId) -> bool {
        self.failed_on.get(job).is_some_and(|workers| workers.len() >= BAD_JOB_WORKERS)
    }

    fn judge(&mut self, now: Timestamp, worker: &WorkerId) -> bool {
        let Some(score) = self.scores.get(worker) else { return false };
        let (failures, successes) = (score.failed, score.successes);
        if failures < FAILURE_LIMIT || score.failures.len() < JOB_LIMIT || failures <= successes {
            return false;
        }
        let other_failures = self.total.0 - failures;
        let other_runs = other_failures + (self.total.1 - successes);
        // Compares rates by cross multiplication: worker's rate > factor times the rate of the others.
        let own = u64::from(failures) * u64::from(other_runs.max(1));
        let others = u64::from(RATE_FACTOR) * u64::from(other_failures) * u64::from(failures + successes);
        if own <= others || self.is_isolated(now, worker) || !self.allows_another(now) {
            return false;
        }
        self.total = (self.total.0 - failures, self.total.1 - successes);
        if let Some(score) = self.scores.get_mut(worker) {
            *score = Score { isolated: Some(now + ISOLATION), ..Score::default() };
        }
        true
    }

    fn allows_another(&self, now: Timestamp) -> bool {
        let isolated = self.scores.values().filter(|score| score.isolated.is_some_and(|t| now < t)).count();
        (isolated + 1) * ISOLATED_PART <= self.scores.len()
    }

    fn halve(&mut self, now: Timestamp) {
        if now.since(self.halved) < HALVING {
            return;
        }
        self.halved = now;
        self.total = (0, 0);
        for score in self.scores.values_mut() {
            score.successes /= 2;
            score.failures.retain(|_, count| {
                *count /= 2;
                *count > 0
            });
            score.failed = score.failures.values().sum();
            self.total = (self.total.0 + score.failed, self.total.1 + score.successes);
        }
        let scores = &self.scores;
        self.failed_on.retain(|job, _| scores.values().any(|score| score.failures.contains_key(job)));
    }
}
