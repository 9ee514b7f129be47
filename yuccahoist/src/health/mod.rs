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
    failures: BTreeMap<JobId, u32>,
    successes: u32,
    isolated: Option<Timestamp>,
}

/// Failure scores of workers.
#[derive(Debug, Default)]
pub struct WorkerHealth {
    scores: BTreeMap<WorkerId, Score>,
    failed_on: BTreeMap<JobId, BTreeSet<WorkerId>>,
    halved: Timestamp,
}

impl WorkerHealth {
    /// Adds a worker, so that the isolated part is bounded over all workers.
    pub fn add(&mut self, worker: &WorkerId) {
        self.scores.entry(worker.clone()).or_default();
    }

    /// Removes a worker.
    pub fn remove(&mut self, worker: &WorkerId) {
        self.scores.remove(worker);
    }

    /// Counts a task that ended successfully.
    pub fn succeeded(&mut self, worker: &WorkerId, job: &JobId) {
        if let Some(score) = self.scores.get_mut(worker) {
            score.successes += 1;
        }
        self.failed_on.remove(job);
    }

    /// Counts a task that failed; true when the worker is isolated because of it.
    pub fn failed(&mut self, now: Timestamp, worker: &WorkerId, job: &JobId) -> bool {
        self.halve(now);
        self.failed_on.entry(job.clone()).or_default().insert(worker.clone());
        let Some(score) = self.scores.get_mut(worker) else { return false };
        *score.failures.entry(job.clone()).or_default() += 1;
        self.judge(now, worker)
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
        let (failures, jobs, successes) = self.counts(worker);
        if failures < FAILURE_LIMIT || jobs < JOB_LIMIT || failures <= successes {
            return false;
        }
        if self.is_isolated(now, worker) || !self.allows_another(now) {
            return false;
        }
        let (mut other_failures, mut other_runs) = (0, 0);
        for other in self.scores.keys().filter(|other| *other != worker) {
            let (failures, _, successes) = self.counts(other);
            other_failures += failures;
            other_runs += failures + successes;
        }
        // Compares rates by cross multiplication: worker's rate > factor times the rate of the others.
        let own = u64::from(failures) * u64::from(other_runs.max(1));
        let others = u64::from(RATE_FACTOR) * u64::from(other_failures) * u64::from(failures + successes);
        if own <= others {
            return false;
        }
        if let Some(score) = self.scores.get_mut(worker) {
            score.isolated = Some(now + ISOLATION);
            score.failures.clear();
            score.successes = 0;
        }
        true
    }

    fn allows_another(&self, now: Timestamp) -> bool {
        let isolated = self.scores.values().filter(|score| score.isolated.is_some_and(|t| now < t)).count();
        (isolated + 1) * ISOLATED_PART <= self.scores.len()
    }

    fn counts(&self, worker: &WorkerId) -> (u32, usize, u32) {
        let Some(score) = self.scores.get(worker) else { return (0, 0, 0) };
        let good = || score.failures.iter().filter(|(job, _)| !self.is_bad_job(job));
        (good().map(|(_, count)| count).sum(), good().count(), score.successes)
    }

    fn halve(&mut self, now: Timestamp) {
        if now.since(self.halved) < HALVING {
            return;
        }
        self.halved = now;
        for score in self.scores.values_mut() {
            score.successes /= 2;
            score.failures.retain(|_, count| {
                *count /= 2;
                *count > 0
            });
        }
        let scores = &self.scores;
        self.failed_on.retain(|job, _| scores.values().any(|score| score.failures.contains_key(job)));
    }
}
