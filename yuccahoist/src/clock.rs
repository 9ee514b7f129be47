//! Time sources of the running process.
//!
//! [`MonotonicClock`] includes the time during which the machine is suspended, which `std::time::Instant` on Linux does
//! not. Without that time, a lease holder on a resumed machine would treat an expired lease as valid.

use std::fmt;
use std::time::{SystemTime, UNIX_EPOCH};

use crate::unit::{Timestamp, WallTime};

/// Source of time for actors and I/O tasks.
pub trait Clock: fmt::Debug + Send + Sync {
    /// Returns the monotonic time since the origin of this clock.
    fn now(&self) -> Timestamp;

    /// Returns the wall-clock time, which may jump in either direction.
    fn wall(&self) -> WallTime;
}

/// Monotonic clock that keeps running while the machine is suspended.
#[derive(Debug, Clone, Copy)]
pub struct MonotonicClock {
    origin: boot_time::Instant,
}

impl MonotonicClock {
    /// Creates a clock whose origin is the current time.
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
        let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        WallTime::from_millis(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
    }
}
