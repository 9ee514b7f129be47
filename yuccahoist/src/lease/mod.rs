//! Leases of tasks on workers.
//!
//! A worker ends a task when [`TASK_LEASE_DURATION`] has passed since it received the last renewal. The shard owner
//! counts from the latest time at which that renewal may have been sent, so that it never treats a running task as
//! ended.

use std::time::Duration;

use crate::placement::{TASK_LEASE_DURATION, TASK_RENEWAL_INTERVAL};
use crate::unit::Timestamp;

/// Safety margin that the shard owner adds to a task lease before it treats the task as ended.
///
/// A tenth of the lease; covers clock drift between host and worker and the network delay.
pub const LEASE_EXPIRY_MARGIN: Duration = Duration::from_secs(3);
/// Upper bound on the time between the send deadline of a command and its effect on the worker.
///
/// The sender closes the connection at the send deadline; the worker reads what is still buffered within this time.
pub const MAX_DELIVERY_DELAY: Duration = Duration::from_secs(1);
/// Age of a worker's latest inventory from which the worker counts as unresponsive.
///
/// The leases on an unresponsive worker are not renewed, so that its tasks expire and can run elsewhere.
pub const UNRESPONSIVE_TIMEOUT: Duration = Duration::from_secs(5);

/// Lease of one task from the shard owner's point of view.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TaskLease {
    queued_at: Timestamp,
    send_deadline: Timestamp,
}

impl TaskLease {
    /// Creates a lease whose start or renewal was queued at `queued_at` and may be sent until `send_deadline`.
    #[must_use]
    pub fn new(queued_at: Timestamp, send_deadline: Timestamp) -> Self {
        Self { queued_at, send_deadline: send_deadline.max(queued_at) }
    }

    /// Records a renewal that was queued at `queued_at` and may be sent until `send_deadline`.
    pub fn renew(&mut self, queued_at: Timestamp, send_deadline: Timestamp) {
        self.queued_at = self.queued_at.max(queued_at);
        self.send_deadline = self.send_deadline.max(send_deadline);
    }

    /// Whether [`TASK_RENEWAL_INTERVAL`] has passed since the last renewal was queued.
    #[must_use]
    pub fn is_due(&self, now: Timestamp) -> bool {
        now >= self.queued_at + TASK_RENEWAL_INTERVAL
    }

    /// Time from which the task is certain to have ended unless the lease is renewed.
    #[must_use]
    pub fn expiry(&self) -> Timestamp {
        self.send_deadline + TASK_LEASE_DURATION + LEASE_EXPIRY_MARGIN
    }
}
