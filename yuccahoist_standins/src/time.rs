//! Clock for the records of the stand-ins.

use std::time::{SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

/// Clock whose readings can be compared between the stand-in processes of one machine.
///
/// It reads the system clock once and then follows the timer of `tokio`, so it also follows a paused test clock.
#[derive(Debug, Clone, Copy)]
pub struct RecordClock {
    start: Instant,
    /// System time at `start`, microseconds since the Unix epoch.
    start_micros: u64,
}

impl RecordClock {
    /// Creates a clock that is set to the current system time.
    #[must_use]
    pub fn new() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self {
            start: Instant::now(),
            start_micros: u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX),
        }
    }

    /// Current time, microseconds since the Unix epoch.
    #[must_use]
    pub fn now_micros(&self) -> u64 {
        self.start_micros.saturating_add(u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX))
    }
}

impl Default for RecordClock {
    fn default() -> Self {
        Self::new()
    }
}
