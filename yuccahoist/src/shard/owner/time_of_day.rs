//! Steps of the host's time of day. The age of a worker is a difference of two times of day, so a step misjudges it.

use std::time::Duration;

use super::Owner;
use crate::unit::Timestamp;

/// Smallest change between two events that is logged; a clock that is adjusted without a step changes by less.
const MIN_STEP: Duration = Duration::from_secs(1);

impl Owner {
    /// Logs a step of the time of day `wall`, milliseconds since the Unix epoch.
    pub(super) fn note_time_of_day(&mut self, now: Timestamp, wall: u64) {
        let offset = i128::from(wall) - i128::from(now.as_micros() / 1_000);
        let step = offset - std::mem::replace(&mut self.wall_offset, offset);
        if step.unsigned_abs() >= MIN_STEP.as_millis() {
            log::warn!(target: "decision", "clock outcome=stepped step_ms={step}");
        }
    }

    /// Returns the time since the start of a worker, milliseconds by the times of day; negative if its clock is ahead.
    pub(super) fn signed_age(wall: u64, started_at: u64) -> i128 {
        i128::from(wall) - i128::from(started_at)
    }
}
