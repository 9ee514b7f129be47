//! Settings of a stream client.

use std::time::Duration;

/// Times of a stream client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamSettings {
    /// Longest wait of one read for a first record.
    pub poll_wait: Duration,
    /// Shortest pause after a failed call; doubles with every further failure.
    pub backoff_min: Duration,
    /// Longest pause after a failed call.
    pub backoff_max: Duration,
    /// Time for which the log service keeps records; a snapshot is due every quarter of it.
    pub retention: Duration,
    /// Longest random delay of a snapshot that is due.
    pub snapshot_delay: Duration,
}

impl Default for StreamSettings {
    fn default() -> Self {
        Self {
            poll_wait: Duration::from_secs(1),
            backoff_min: Duration::from_millis(50),
            // Renewals are due every second, so a longer pause would delay the recovery of leases.
            backoff_max: Duration::from_secs(1),
            retention: Duration::from_secs(24 * 3_600),
            snapshot_delay: Duration::from_secs(60),
        }
    }
}
