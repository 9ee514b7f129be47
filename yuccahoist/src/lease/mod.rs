//! Leases of tasks on workers.
//!
//! A worker ends a task whose lease was not renewed for [`TASK_LEASE`] since it received the last renewal. The shard
//! owner counts from the last time at which a renewal may have left, so that it never takes a running task for ended.

use std::time::Duration;

use crate::placement::{TASK_LEASE, TASK_RENEWAL};
use crate::unit::Timestamp;

/// Margin after the end of a task lease, a tenth of it: covers different clock rates and the time on the wire.
pub const LAPSE_MARGIN: Duration = Duration::from_secs(3);
/// Longest time between the last moment at which a message may be sent and the moment at which it takes effect.
///
/// A sender closes the connection when its time limit ends; what is still in buffers then is read within this time.
pub const DELIVERY_LIMIT: Duration = Duration::from_secs(1);
/// Time without an answer after which leases of a worker are not renewed, so that its tasks can lapse.
pub const SILENCE_LIMIT: Duration = Duration::from_secs(5);

/// Lease of one task, as the shard owner counts it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TaskLease {
    sent: Timestamp,
    latest: Timestamp,
}

impl TaskLease {
    /// Lease whose start or renewal was handed over at `sent` and may leave until `latest`.
    #[must_use]
    pub fn new(sent: Timestamp, latest: Timestamp) -> Self {
        Self { sent, latest: latest.max(sent) }
    }

    /// Counts a renewal.
    pub fn renew(&mut self, sent: Timestamp, latest: Timestamp) {
        self.sent = self.sent.max(sent);
        self.latest = self.latest.max(latest);
    }

    /// Whether a renewal is due.
    #[must_use]
    pub fn is_due(&self, now: Timestamp) -> bool {
        now >= self.sent + TASK_RENEWAL
    }

    /// Time at which the task is certain to have ended without a further renewal.
    #[must_use]
    pub fn lapse(&self) -> Timestamp {
        self.latest + TASK_LEASE + LAPSE_MARGIN
    }
}
