//! Health of workers, judged by the ends of the runs that they report.
//!
//! Detects a worker that passes its health check but fails every run that it starts. Jobs fail on healthy workers too,
//! so a worker is isolated only when runs of different jobs failed on it in a row. Placement ignores the isolation
//! while more than half of the fleet is isolated.

use std::time::Duration;

use super::id::JobKey;
use crate::unit::Timestamp;

/// Consecutive failures of different jobs that isolate a worker. A single failure may be the fault of the job.
const ISOLATION_FAILURES: u32 = 2;
/// First isolation of a worker; each further failure doubles it. Half as long as a typical worker fault lasts.
const FIRST_ISOLATION: Duration = Duration::from_millis(3_000);
/// Longest isolation. A repaired worker gets tasks again within the duration of two typical faults.
const MAX_ISOLATION: Duration = Duration::from_millis(12_000);
/// How long a failure lowers the rank of a worker in placement; about the duration of one task of the longest kind.
const SUSPICION_PERIOD: Duration = Duration::from_millis(4_000);

/// Failure history of one worker incarnation.
#[derive(Debug, Clone, Copy, Default)]
pub struct Health {
    /// Consecutive failures; those of one job count once.
    streak: u32,
    last_job: Option<JobKey>,
    isolated_until: Timestamp,
    last_failure: Option<Timestamp>,
}

impl Health {
    /// Records a completed task; clears all earlier failures and the isolation.
    pub fn succeeded(&mut self) {
        *self = Self::default();
    }

    /// Records a failed task of `job`; isolates the worker if the previous failures were of other jobs.
    pub fn failed(&mut self, now: Timestamp, job: JobKey) {
        self.last_failure = Some(now);
        if self.last_job == Some(job) {
            return;
        }
        self.last_job = Some(job);
        self.streak += 1;
        if self.streak >= ISOLATION_FAILURES {
            let doubled = FIRST_ISOLATION * 2u32.saturating_pow((self.streak - ISOLATION_FAILURES).min(4));
            self.isolated_until = now + doubled.min(MAX_ISOLATION);
        }
    }

    /// Isolates the worker for at least `duration`, because it refused an order or its tasks make no progress.
    pub fn isolate(&mut self, now: Timestamp, duration: Duration) {
        self.isolated_until = self.isolated_until.max(now + duration);
        self.last_failure = Some(now);
    }

    /// Whether the worker gets no new tasks.
    #[must_use]
    pub fn is_isolated(&self, now: Timestamp) -> bool {
        now < self.isolated_until
    }

    /// Whether the worker failed recently and has not completed a task since; placement prefers other workers.
    #[must_use]
    pub fn recently_failed(&self, now: Timestamp) -> bool {
        self.last_failure.is_some_and(|at| now < at + SUSPICION_PERIOD)
    }
}
