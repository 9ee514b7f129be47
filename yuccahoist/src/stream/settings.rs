//! Timing settings of a stream client.

use std::time::Duration;

/// Timeouts and intervals of a [`super::StreamClient`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamSettings {
    /// Long-poll timeout of a read that finds no record.
    pub poll_wait: Duration,
    /// Backoff after the first failed call; doubles with each further failure.
    pub backoff_min: Duration,
    /// Upper bound of the backoff, and the shortest interval between two snapshot requests to peers.
    pub backoff_max: Duration,
    /// Time for which the log service keeps records. A snapshot is due every quarter of it.
    pub retention: Duration,
    /// Upper bound of the random delay of a due snapshot, so that usually one host writes it.
    pub snapshot_delay: Duration,
}

impl Default for StreamSettings {
    fn default() -> Self {
        Self {
            poll_wait: Duration::from_secs(1),
            backoff_min: Duration::from_millis(50),
            // Leases are renewed every second; a longer backoff would delay their recovery.
            backoff_max: Duration::from_secs(1),
            retention: Duration::from_secs(24 * 3_600),
            snapshot_delay: Duration::from_secs(60),
        }
    }
}
