//! Pauses after failures, and the time of the next snapshot.

use std::time::Duration;

use rand::{Rng, RngExt};

use crate::id::Offset;
use crate::stream::StreamSettings;
use crate::unit::Timestamp;

/// Shortest time between two attempts to write a snapshot.
const RETRY: Duration = Duration::from_secs(1);

/// Pause after failed calls.
#[derive(Debug, Clone)]
pub(super) struct Backoff {
    min: Duration,
    max: Duration,
    pause: Duration,
    until: Option<Timestamp>,
}

impl Backoff {
    /// No pause.
    pub(super) const fn new(settings: &StreamSettings) -> Self {
        Self {
            min: settings.backoff_min,
            max: settings.backoff_max,
            pause: settings.backoff_min,
            until: None,
        }
    }

    /// Notes a failure. The pause is random between half and all of its length, so that hosts do not call together.
    pub(super) fn fail(&mut self, now: Timestamp, rng: &mut dyn Rng) {
        self.until = Some(now + self.pause.mul_f64(rng.random_range(0.5..=1.0)));
        self.pause = self.pause.saturating_mul(2).min(self.max);
    }

    /// Notes a success.
    pub(super) const fn succeed(&mut self) {
        self.pause = self.min;
        self.until = None;
    }

    /// Whether a call may be made.
    pub(super) fn is_over(&self, now: Timestamp) -> bool {
        self.until.is_none_or(|until| now >= until)
    }
}

/// Time of the next snapshot.
#[derive(Debug, Clone)]
pub(super) struct SnapshotTimer {
    /// Age at which a snapshot is followed by the next one.
    age: Duration,
    /// Longest random delay.
    delay: Duration,
    /// Time at which to write; none while it is not known.
    due: Option<Timestamp>,
    /// Offset of the last snapshot that was read.
    last: Option<Offset>,
    /// Whether `due` was set because the log is about to drop the last snapshot.
    hurried: bool,
}

impl SnapshotTimer {
    /// Timer without a time.
    pub(super) fn new(settings: &StreamSettings) -> Self {
        let age = settings.retention / 4;
        Self { age, delay: settings.snapshot_delay.min(age), due: None, last: None, hurried: false }
    }

    /// Notes a snapshot in the log; its age is known only if the reader was at the end of the stream.
    pub(super) fn seen(&mut self, now: Timestamp, offset: Offset, live: bool, rng: &mut dyn Rng) {
        self.last = Some(offset);
        self.hurried = false;
        self.due = live.then(|| now + self.age + self.random(self.delay, rng));
    }

    /// Reader is at the end of a stream that keeps the records from `earliest` to before `end`.
    pub(super) fn caught_up(&mut self, now: Timestamp, earliest: Offset, end: Offset, rng: &mut dyn Rng) {
        if self.due.is_none() {
            // The age of the last snapshot is not known after a start. With a delay up to the whole age, hosts that are
            // replaced more often than that still write one in time between them.
            self.due = Some(now + self.random(self.age, rng));
        }
        let kept = end.0.saturating_sub(earliest.0);
        let position = self.last.map_or(0, |last| last.0.saturating_sub(earliest.0));
        let in_older_half = position.saturating_mul(2) < kept;
        let newer = self.last.is_none_or(|last| last.0.saturating_add(1) < end.0);
        if earliest > Offset(0) && in_older_half && newer && !self.hurried {
            self.hurried = true;
            let soon = now + self.random(self.delay, rng);
            self.due = self.due.map(|due| due.min(soon));
        }
    }

    /// Whether to write a snapshot of a fold of all records before `next`.
    pub(super) fn is_due(&self, now: Timestamp, next: Offset) -> bool {
        next > Offset(0) && self.due.is_some_and(|due| now >= due)
    }

    /// A snapshot was queued. It is tried again after a while, unless one is read by then.
    pub(super) fn written(&mut self, now: Timestamp) {
        self.due = Some(now + self.delay.max(RETRY));
    }

    fn random(&self, span: Duration, rng: &mut dyn Rng) -> Duration {
        span.mul_f64(rng.random::<f64>())
    }
}
