//! Workers that fail what they run, judged by the ends that they report.
//!
//! Answers a worker whose health check is good while everything that it starts fails, among jobs that fail anywhere. A
//! worker is isolated only when tasks of different jobs failed on it in a row, and never more than half of the fleet.

use std::time::Duration;

use super::id::JobKey;
use crate::unit::Timestamp;

/// Failures of different jobs in a row that isolate a worker.
const FAILURES: u32 = 2; // One failure may be the job's own fault.
/// Isolation after the first failures; doubles with each further one.
const ISOLATION: Duration = Duration::from_millis(3_000); // Half of a usual fault of a worker.
/// Longest isolation.
const LONGEST: Duration = Duration::from_millis(12_000); // A repaired worker is back within two usual faults.
/// How long one failure makes a worker doubtful.
const DOUBT: Duration = Duration::from_millis(4_000); // About one task of the longest kind.

/// Failures of one worker.
#[derive(Debug, Clone, Copy, Default)]
pub struct Health {
    row: u32,
    job: Option<JobKey>,
    until: Timestamp,
    failed: Option<Timestamp>,
}

impl Health {
    /// A task is done.
    pub fn succeeded(&mut self) {
        *self = Self::default();
    }

    /// A task of `job` failed.
    pub fn failed(&mut self, now: Timestamp, job: JobKey) {
        self.failed = Some(now);
        if self.job == Some(job) {
            return;
        }
        self.job = Some(job);
        self.row += 1;
        if self.row >= FAILURES {
            let doubled = ISOLATION * 2u32.saturating_pow((self.row - FAILURES).min(4));
            self.until = now + doubled.min(LONGEST);
        }
    }

    /// Keeps new tasks away for `span`: the worker refused an order or its tasks stand still.
    pub fn isolate(&mut self, now: Timestamp, span: Duration) {
        self.until = self.until.max(now + span);
        self.failed = Some(now);
    }

    /// Whether the worker gets no tasks.
    #[must_use]
    pub fn isolated(&self, now: Timestamp) -> bool {
        now < self.until
    }

    /// Whether the worker failed lately and has not succeeded since.
    #[must_use]
    pub fn doubtful(&self, now: Timestamp) -> bool {
        self.failed.is_some_and(|at| now < at + DOUBT)
    }
}
