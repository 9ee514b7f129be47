//! Which jobs are refused, and when a refused caller should come back.
//!
//! Answers a flood far beyond the fleet: a job is refused only when the work that waits before it could not be done
//! while its answer is of use. Refusing earlier would turn away work that a burst of seconds leaves room for. Answers also
//! the loss of nearly all hosts: those that are left can't ask for enough recommendations, whatever room the fleet has.

use std::time::Duration;

/// Work that may wait, as the time that the whole fleet needs for it.
const BACKLOG: Duration = Duration::from_secs(40); // Three times the usual objective of the largest kind of job.
/// Calls for recommendations that may wait, as the time that all hosts need for them.
const CALLS: Duration = Duration::from_secs(5); // With later steps and runs it ends within the 14 s that the platform allows.
/// Jobs that may wait for the store; their records fill one write.
pub const UNSTORED: usize = 300; // Of 4 KB each they stay below the largest write of 2 MB.
/// Earliest return of a refused caller.
const SOONEST: Duration = Duration::from_secs(1); // Retry-After counts whole seconds.
/// Latest return of a refused caller.
const LATEST: Duration = Duration::from_secs(4); // Callers that are told longer give up instead.

/// Load that a new job meets.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    /// Work that waits, core-milliseconds.
    pub waiting: u64,
    /// Processors of the workers in use, thousandths of a core.
    pub cores: u64,
    /// Time that the hosts need for the calls for recommendations before that of the job.
    pub advice: Duration,
}

impl Load {
    /// Time that the fleet needs for the work that waits.
    #[must_use]
    pub fn backlog(&self) -> Duration {
        let millis = self.waiting.saturating_mul(1_000).checked_div(self.cores).unwrap_or(0);
        Duration::from_millis(millis)
    }

    /// When to come back, if a new job is refused.
    #[must_use]
    pub fn refuse(&self) -> Option<Duration> {
        let work = self.backlog().checked_sub(BACKLOG);
        let calls = self.advice.checked_sub(CALLS);
        Some(work.max(calls)?.clamp(SOONEST, LATEST))
    }
}
