//! Timeout and backoff of appends to the store.
//!
//! An append whose answer was lost should be retried soon, one to a slow store should not. The time after which a try is
//! overdue, and another one starts, therefore follows the durations of the last appends. A store that refuses or resets each call at once is retried with
//! exponential backoff.

use std::time::Duration;

/// Shortest time until a first try is overdue. A write takes 9 ms, and a host may be slowed down by a factor of five.
const MIN_APPEND_TIMEOUT: Duration = Duration::from_millis(70);
/// Time after which a try is given up; three writes to a slow store.
pub const MAX_APPEND_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Longest time until a try is overdue, unless the last appends took longer. Appends resume this soon after an outage, at
/// the price of four calls a second.
const MAX_TRY_INTERVAL: Duration = Duration::from_millis(250);
/// Tries before the timeout doubles; two lost answers in a row are usual where one in three is lost.
const TRIES_PER_TIMEOUT: u32 = 2;
/// Weight of the last duration in the mean, in eighths. The timeout follows a slower store after four writes.
const MEAN_WEIGHT_EIGHTHS: u32 = 2;

/// Base of the backoff between tries; about the duration of a write.
const BASE_BACKOFF: Duration = Duration::from_millis(15);
/// Longest backoff between tries that the store refuses; appends resume this soon after it serves again.
const MAX_BACKOFF: Duration = Duration::from_millis(200);

/// Append timeout that follows the mean duration of appends.
#[derive(Debug, Clone, Copy)]
pub struct WriteTimeouts {
    mean: Duration,
}

impl Default for WriteTimeouts {
    fn default() -> Self {
        Self { mean: MIN_APPEND_TIMEOUT / 8 }
    }
}

impl WriteTimeouts {
    /// Returns the time after which a try is overdue that follows `tries` others.
    #[must_use]
    pub fn timeout(&self, tries: u32) -> Duration {
        let usual = (self.mean * 4).max(MIN_APPEND_TIMEOUT);
        usual
            .saturating_mul(1 << (tries / TRIES_PER_TIMEOUT).min(4))
            .min(MAX_TRY_INTERVAL.max(usual))
            .min(MAX_APPEND_TIMEOUT)
    }

    /// Returns the pause after `tries` failed tries, less the time `elapsed` that the last one took.
    #[must_use]
    pub fn retry_delay(tries: u32, elapsed: Duration) -> Duration {
        (BASE_BACKOFF * (1 << tries.min(5))).min(MAX_BACKOFF).saturating_sub(elapsed)
    }

    /// Updates the mean with a try that was answered after `elapsed`.
    pub fn record_duration(&mut self, elapsed: Duration) {
        self.mean = (self.mean * (8 - MEAN_WEIGHT_EIGHTHS)
            + elapsed.min(MAX_APPEND_TIMEOUT) * MEAN_WEIGHT_EIGHTHS)
            / 8;
    }
}
