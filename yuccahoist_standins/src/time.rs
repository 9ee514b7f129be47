//! Time of a stand-in's records.

use std::time::{SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

/// Clock whose times can be compared between the stand-ins of one machine.
#[derive(Debug, Clone, Copy)]
pub struct RecordClock {
    start: Instant,
    wall: u64,
}

impl RecordClock {
    /// Clock that follows the timer of `tokio` from now on.
    #[must_use]
    pub fn new() -> Self {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { start: Instant::now(), wall: u64::try_from(since.as_micros()).unwrap_or(u64::MAX) }
    }

    /// Microseconds since the Unix epoch.
    #[must_use]
    pub fn now(&self) -> u64 {
        self.wall.saturating_add(u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX))
    }
}

impl Default for RecordClock {
    fn default() -> Self {
        Self::new()
    }
}
