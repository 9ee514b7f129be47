//! Speed of tasks that use leftover CPU (fillers) beside tasks that serve requests.
//!
//! The interference of fillers with the serving tasks of a worker changes within seconds. The speed of the fillers
//! follows the tail latency of the serving tasks: above the target it drops to zero, close to the target it is halved,
//! and well below the target it rises in steps.

use std::time::Duration;

use crate::unit::Timestamp;

/// Full speed, percent.
pub const FULL_SPEED_PERCENT: u32 = 100;
/// Tail from which on the speed is halved, percent of the target. Reported tails are off by up to a tenth, and one
/// that is above the target must not pass as within it.
const HALVE_FROM_PERCENT: u64 = 85;
/// Tail below which the speed rises, percent of the target. One step up from here stays below `HALVE_FROM_PERCENT`.
const RAISE_BELOW_PERCENT: u64 = 65;
/// Speed regained at a time, percent of full speed. Full speed returns after five seconds well below the target,
/// which is as long as a typical worker fault lasts.
const SPEED_STEP_PERCENT: u32 = 20;
/// Least time between two gradual changes. A change takes effect within 0.1 s, and a tail covers the last 0.5 s.
const MIN_CHANGE_INTERVAL: Duration = Duration::from_millis(600);

/// Speed of the fillers of one worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pace {
    /// Speed, percent of full speed.
    pub percent: u32,
    /// Time of the last change.
    pub changed: Timestamp,
}

impl Default for Pace {
    fn default() -> Self {
        Self { percent: FULL_SPEED_PERCENT, changed: Timestamp::ZERO }
    }
}

impl Pace {
    /// Returns the limit with which a filler begins beside a serving task that it is known to disturb: as after one step
    /// down. It follows the tail like a speed, and counts in addition to the speed, so that the filler is never faster
    /// than without that knowledge.
    #[must_use]
    pub fn limited(now: Timestamp) -> Self {
        Self { percent: FULL_SPEED_PERCENT / 2, changed: now }
    }

    /// Returns the speed that follows from a report.
    ///
    /// `tail` is the worst tail latency on the worker, percent of its target, or `None` without a serving task.
    #[must_use]
    pub fn next_pace(self, now: Timestamp, tail: Option<u64>) -> Self {
        let Some(tail) = tail else { return Self { percent: FULL_SPEED_PERCENT, ..self } };
        let may_change = now >= self.changed + MIN_CHANGE_INTERVAL;
        let percent = match tail {
            _ if tail > 100 => 0,
            HALVE_FROM_PERCENT.. if may_change => self.percent / 2,
            ..RAISE_BELOW_PERCENT if may_change => {
                (self.percent + SPEED_STEP_PERCENT).min(FULL_SPEED_PERCENT)
            }
            _ => self.percent,
        };
        if percent == self.percent { self } else { Self { percent, changed: now } }
    }
}
