//! Backoff after failed calls, and snapshot scheduling.

use std::time::Duration;

use rand::{Rng, RngExt};

use crate::id::Offset;
use crate::stream::StreamSettings;
use crate::unit::Timestamp;

/// Shortest time after which a snapshot that was not read back is written again.
const MIN_SNAPSHOT_RETRY: Duration = Duration::from_secs(1);

/// Exponential backoff with jitter.
#[derive(Debug, Clone)]
pub(super) struct Backoff {
    min: Duration,
    max: Duration,
    /// Upper bound of the next delay.
    current: Duration,
    /// End of the delay in progress.
    until: Option<Timestamp>,
}

impl Backoff {
    pub(super) const fn new(settings: &StreamSettings) -> Self {
        Self {
            min: settings.backoff_min,
            max: settings.backoff_max,
            current: settings.backoff_min,
            until: None,
        }
    }

    /// Starts a delay. It is random between half and all of its bound, so that hosts do not retry in step.
    pub(super) fn record_failure(&mut self, now: Timestamp, rng: &mut dyn Rng) {
        self.until = Some(now + self.current.mul_f64(rng.random_range(0.5..=1.0)));
        self.current = self.current.saturating_mul(2).min(self.max);
    }

    /// Ends the delay after a successful call.
    pub(super) const fn reset(&mut self) {
        self.current = self.min;
        self.until = None;
    }

    /// Whether a call may be made at `now`.
    pub(super) fn is_elapsed(&self, now: Timestamp) -> bool {
        self.until.is_none_or(|until| now >= until)
    }
}

/// Decides when the next snapshot is due.
#[derive(Debug, Clone)]
pub(super) struct SnapshotTimer {
    /// Time between two snapshots.
    interval: Duration,
    /// Upper bound of the random delay.
    max_delay: Duration,
    /// Time of the next snapshot; `None` until the reader has caught up.
    due: Option<Timestamp>,
    /// Offset of the last snapshot that was read.
    last_offset: Option<Offset>,
    /// Whether `due` was brought forward because the log is about to truncate the last snapshot.
    is_urgent: bool,
}

impl SnapshotTimer {
    pub(super) fn new(settings: &StreamSettings) -> Self {
        let interval = settings.retention / 4;
        Self {
            interval,
            max_delay: settings.snapshot_delay.min(interval),
            due: None,
            last_offset: None,
            is_urgent: false,
        }
    }

    /// Records a snapshot that was read from the log. Its age is known only if the reader had caught up (`is_live`).
    pub(super) fn snapshot_read(&mut self, now: Timestamp, offset: Offset, is_live: bool, rng: &mut dyn Rng) {
        self.last_offset = Some(offset);
        self.is_urgent = false;
        self.due = is_live.then(|| now + self.interval + self.jitter(self.max_delay, rng));
    }

    /// Updates the due time when the reader reaches the end of a log that holds `earliest..end`.
    pub(super) fn reached_end(&mut self, now: Timestamp, earliest: Offset, end: Offset, rng: &mut dyn Rng) {
        if self.due.is_none() {
            // The age of the last snapshot is not known after a start. With a random delay of up to the whole interval,
            // hosts that restart more often than the interval still write snapshots in time.
            self.due = Some(now + self.jitter(self.interval, rng));
        }
        let kept = end.0.saturating_sub(earliest.0);
        let position = self.last_offset.map_or(0, |last| last.0.saturating_sub(earliest.0));
        let in_older_half = position.saturating_mul(2) < kept;
        let has_newer = self.last_offset.is_none_or(|last| last.0.saturating_add(1) < end.0);
        if earliest > Offset(0) && in_older_half && has_newer && !self.is_urgent {
            self.is_urgent = true;
            let urgent_due = now + self.jitter(self.max_delay, rng);
            self.due = self.due.map(|due| due.min(urgent_due));
        }
    }

    /// Whether to write a snapshot of the state after all records before `next`.
    pub(super) fn is_due(&self, now: Timestamp, next: Offset) -> bool {
        next > Offset(0) && self.due.is_some_and(|due| now >= due)
    }

    /// Schedules the retry of a snapshot that was queued, in case none is read by then.
    pub(super) fn snapshot_queued(&mut self, now: Timestamp) {
        self.due = Some(now + self.max_delay.max(MIN_SNAPSHOT_RETRY));
    }

    /// Returns a random duration of up to `max`.
    fn jitter(&self, max: Duration, rng: &mut dyn Rng) -> Duration {
        max.mul_f64(rng.random::<f64>())
    }
}
