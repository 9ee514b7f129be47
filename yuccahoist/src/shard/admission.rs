//! Admission of jobs: when one is refused, and when its caller should retry.
//!
//! Under a load far beyond the capacity of the fleet, a job is refused only when the work queued before it could not be
//! completed while its result is of use. A lower limit would refuse work that fits after a burst of a few seconds.
//! After the loss of most hosts the limit is the rate of recommendation calls, which the remaining hosts make, and not
//! the capacity of the fleet.

use std::time::Duration;

use super::request_queue::MAX_FIRST_WAIT;

/// Longest backlog of work, as the time that the whole fleet needs for it; three times the usual objective of the
/// largest kind of job.
const MAX_BACKLOG: Duration = Duration::from_secs(40);
/// Longest backlog of recommendation calls on a busy fleet, as the time that all hosts need for them. A job admitted at this
/// backlog, with its later steps and runs, ends within the 14 s that the platform allows.
const MAX_REQUEST_BACKLOG: Duration = Duration::from_secs(5);
/// The same while less than half of the fleet is in use; an accepted job then has to begin within 3 s.
const MAX_IDLE_REQUEST_BACKLOG: Duration = MAX_FIRST_WAIT;
/// Most jobs that wait for a write to the store; at 4 KB each their records stay below its largest write of 2 MB.
pub const MAX_UNSTORED_JOBS: usize = 300;
/// Shortest retry delay; the Retry-After header counts whole seconds.
const MIN_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Longest retry delay; callers give up on a longer one.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(4);

/// Backlog of the fleet from which a job beyond the rate of its workspace is refused. A pass places what fits 12 ms after its
/// arrival, and a recommendation takes up to 0.7 s for heavy work; work that waits longer has no free capacity.
const MAX_EXCESS_BACKLOG: Duration = Duration::from_secs(1);

/// Backlog of a workspace that submits a job beyond the rate that it is entitled to.
#[derive(Debug, Clone, Copy)]
pub struct ExcessLoad {
    /// Queued work of the workspace, core-milliseconds.
    pub own_work: u64,
    /// Jobs of the workspace refused before.
    pub refused: u64,
}

/// Load at the submission of a job.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    /// Queued work, core-milliseconds.
    pub backlog_work: u64,
    /// CPU capacity of the registered workers, thousandths of a core.
    pub cpu_capacity: u64,
    /// CPU of the runs on these workers, thousandths of a core.
    pub cpu_used: u64,
    /// Time that the hosts need for the recommendation calls up to that of the job.
    pub request_backlog: Duration,
    /// Backlog of the job's workspace; `None` for an entitled job.
    pub excess: Option<ExcessLoad>,
}

impl Load {
    /// Returns the time that the fleet needs for the queued work; zero without workers.
    #[must_use]
    pub fn backlog(&self) -> Duration {
        self.duration_of(self.backlog_work)
    }

    fn duration_of(&self, work: u64) -> Duration {
        Duration::from_millis(work.saturating_mul(1_000).checked_div(self.cpu_capacity).unwrap_or(0))
    }

    /// Returns the retry delay of a job beyond the rate of its workspace: callers that are refused together are spread from
    /// the time that the fleet needs for the queued work of the workspace up to the longest delay.
    fn excess_delay(&self, excess: ExcessLoad) -> Duration {
        let (shortest, longest) = (MIN_RETRY_DELAY.as_secs(), MAX_RETRY_DELAY.as_secs());
        let first = self.duration_of(excess.own_work).as_secs().clamp(shortest, longest - 1);
        Duration::from_secs(first + excess.refused % (longest - first + 1))
    }

    /// Whether less than half of the fleet is in use.
    #[must_use]
    pub const fn is_idle(&self) -> bool {
        self.cpu_used.saturating_mul(2) < self.cpu_capacity
    }

    /// Returns the retry delay of a refused job, or `None` when the job is admitted.
    #[must_use]
    pub fn retry_delay(&self) -> Option<Duration> {
        if let Some(excess) = self.excess
            && (self.backlog() > MAX_EXCESS_BACKLOG || self.request_backlog > MAX_REQUEST_BACKLOG)
        {
            return Some(self.excess_delay(excess));
        }
        let work = self.backlog().checked_sub(MAX_BACKLOG);
        let max_calls = if self.is_idle() { MAX_IDLE_REQUEST_BACKLOG } else { MAX_REQUEST_BACKLOG };
        let calls = self.request_backlog.checked_sub(max_calls);
        Some(work.max(calls)?.clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY))
    }
}
