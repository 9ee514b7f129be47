//! How long a host waits for an answer of the store before it repeats a write.
//!
//! Answers a store that loses answers (a repeat soon is right) and one that is slow (it is not): the limit follows the
//! durations of the last writes. A store that refuses or breaks each call at once is asked ever more seldom.

use std::time::Duration;

/// Shortest limit of a first try.
const SHORTEST: Duration = Duration::from_millis(70); // A write takes 9 ms; a host may be slowed five times.
/// Longest limit of any try.
const LONGEST: Duration = Duration::from_millis(1_200); // Below the time after which others take an owner for dead.
/// Tries with the same limit.
const SAME: u32 = 2; // Two lost answers in a row are usual where one in three is lost.
/// Weight of the last duration in the mean, in eighths.
const WEIGHT: u32 = 2; // Four writes after the store has become slow the limit has followed.

/// First pause before a write is repeated.
const FIRST_PAUSE: Duration = Duration::from_millis(15); // About the duration of a write.
/// Longest pause before a write is repeated.
const LONGEST_PAUSE: Duration = Duration::from_millis(400); // Work goes on within half a second of the store's return.

/// Limits of writes.
#[derive(Debug, Clone, Copy)]
pub struct Patience {
    mean: Duration,
}

impl Default for Patience {
    fn default() -> Self {
        Self { mean: SHORTEST / 8 }
    }
}

impl Patience {
    /// Limit of try number `tries`, counted from 0.
    #[must_use]
    pub fn limit(&self, tries: u32) -> Duration {
        (self.mean * 4).max(SHORTEST).saturating_mul(1 << (tries / SAME).min(4)).min(LONGEST)
    }

    /// Pause before try number `tries`, after the one before ended within `elapsed`.
    #[must_use]
    pub fn pause(tries: u32, elapsed: Duration) -> Duration {
        (FIRST_PAUSE * (1 << tries.min(5))).min(LONGEST_PAUSE).saturating_sub(elapsed)
    }

    /// The try that was answered took `elapsed`.
    pub fn took(&mut self, elapsed: Duration) {
        self.mean = (self.mean * (8 - WEIGHT) + elapsed.min(LONGEST) * WEIGHT) / 8;
    }
}
