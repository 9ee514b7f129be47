//! Callers that are refused during an outage: when they should return, and how their wait counts.
//!
//! The length of an outage is unknown, and a caller has a number of retries and a deadline. Retries that are spread evenly over
//! its patience reach the end of most outages; with longer pauses it gives up before it used them, with shorter ones it has none
//! left. Callers return in the phase in which they came, so that they do not all return at once.
//!
//! A returning caller has been waiting since its first try. Its job ranks by that time: one that can still be in time goes
//! before those that the outage has already made late.

use std::collections::BTreeMap;
use std::time::Duration;

use super::id::JobKey;
use crate::unit::Timestamp;

/// Part of its patience after which a caller should return. A usual caller has four retries; the host does not know how many
/// are left, and the patience that is left shrinks with each.
const PATIENCE_PARTS: f64 = 3.0;
/// Shortest retry delay; the Retry-After header counts whole seconds.
const MIN_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Longest retry delay; outages last up to 10 s, which four retries of this delay cover.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(3);
/// Time after which a refused caller is forgotten; longer than the patience of a usual caller.
const MEMORY: Duration = Duration::from_secs(15);
/// Most refused callers that are remembered: 15 s of a burst on a large fleet.
const MAX_REMEMBERED: usize = 8_192;

/// Returns when a caller that waits for another `patience` should return after a refusal during an outage.
#[must_use]
pub fn outage_retry_delay(patience: Duration) -> Duration {
    let seconds = (patience.as_secs_f64() / PATIENCE_PARTS).ceil();
    Duration::try_from_secs_f64(seconds).unwrap_or(MAX_RETRY_DELAY).clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY)
}

/// First tries of callers that were refused and may return.
#[derive(Debug, Default)]
pub struct RefusedCallers {
    first_tries: BTreeMap<JobKey, FirstTry>,
}

/// First try of a refused caller.
#[derive(Debug, Clone, Copy)]
struct FirstTry {
    arrival: Timestamp,
    /// Whether the job was counted as one that its workspace is entitled to.
    is_entitled: bool,
}

impl RefusedCallers {
    /// Records the refusal of a job submitted first at `arrival`; an earlier first try is kept.
    pub fn record(&mut self, job: JobKey, arrival: Timestamp, is_entitled: bool) {
        if self.first_tries.len() < MAX_REMEMBERED || self.first_tries.contains_key(&job) {
            let first = self.first_tries.entry(job).or_insert(FirstTry { arrival, is_entitled });
            first.is_entitled |= is_entitled;
        }
    }

    /// Whether a refused job was counted as one that its workspace is entitled to, and must not be counted again.
    #[must_use]
    pub fn is_entitled(&self, job: JobKey) -> bool {
        self.first_tries.get(&job).is_some_and(|first| first.is_entitled)
    }

    /// Returns and forgets the first try of a job that is accepted at `now`; `now` for a job that was not refused.
    pub fn accept(&mut self, job: JobKey, now: Timestamp) -> Timestamp {
        self.first_tries.remove(&job).map_or(now, |first| first.arrival)
    }

    /// Forgets callers that have given up.
    pub fn expire(&mut self, now: Timestamp) {
        self.first_tries.retain(|_, first| now < first.arrival + MEMORY);
    }
}
