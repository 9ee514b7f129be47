//! Speed of tasks that fill beside tasks that serve.
//!
//! Answers fillers whose disturbance of a worker's serving tasks changes within seconds: a tail above its target takes all
//! speed from them, one near it half, and the speed comes back in steps while the tail is well below.

use std::time::Duration;

use crate::unit::Timestamp;

/// Full speed, percent.
pub const FULL: u32 = 100;
/// Part of the target from which a tail counts as near, percent.
const NEAR: u64 = 85; // The figures are rough; a tenth off must not pass unseen.
/// Part of the target below which a tail counts as calm, percent.
const CALM: u64 = 65; // A step up at this tail stays below the part that counts as near.
/// Speed given back at a time, percent.
const STEP: u32 = 20; // Full speed after five calm seconds, as long as a usual fault of a worker.
/// Least time between two changes.
const SETTLED: Duration = Duration::from_millis(600); // A change takes 0.1 s, and tails cover the last half second.

/// Speed of the fillers of one worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pace {
    /// Speed, percent.
    pub share: u32,
    /// When it was changed last.
    pub changed: Timestamp,
}

impl Default for Pace {
    fn default() -> Self {
        Self { share: FULL, changed: Timestamp::ZERO }
    }
}

impl Pace {
    /// Speed after a report in which the worst tail was `tail` percent of its target; none without a serving task.
    #[must_use]
    pub fn after(self, now: Timestamp, tail: Option<u64>) -> Self {
        let Some(tail) = tail else { return Self { share: FULL, ..self } };
        let settled = now >= self.changed + SETTLED;
        let share = match tail {
            _ if tail > 100 => 0,
            NEAR.. if settled => self.share / 2,
            ..CALM if settled => (self.share + STEP).min(FULL),
            _ => self.share,
        };
        if share == self.share { self } else { Self { share, changed: now } }
    }
}
