//! Clocks of the running process.
//!
//! [`MonotonicClock`] counts the time in which the whole machine is suspended, which `std::time::Instant` does not on
//! Linux. A lease holder on a suspended machine would otherwise believe that its lease is still valid.

use std::fmt;
use std::time::{SystemTime, UNIX_EPOCH};

use crate::unit::{Timestamp, WallTime};

/// Source of time for actors.
pub trait Clock: fmt::Debug + Send + Sync {
    /// Monotonic time.
    fn now(&self) -> Timestamp;

    /// Wall-clock time.
    fn wall(&self) -> WallTime;
}

/// Monotonic clock that includes suspended time.
#[derive(Debug, Clone, Copy)]
pub struct MonotonicClock {
    origin: boot_time::Instant,
}

impl MonotonicClock {
    /// Clock whose origin is now.
    #[must_use]
    pub fn new() -> Self {
        Self { origin: boot_time::Instant::now() }
    }
}

impl Default for MonotonicClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for MonotonicClock {
    fn now(&self) -> Timestamp {
        Timestamp::ZERO + self.origin.elapsed()
    }

    fn wall(&self) -> WallTime {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        WallTime::from_millis(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
    }
}
