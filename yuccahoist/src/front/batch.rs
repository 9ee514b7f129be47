//! Batches of request ids for the `intents` stream.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use crate::id::RequestId;
use crate::unit::Timestamp;

/// Minimum time between two appends of this host.
///
/// The resulting rate of 20 appends per second on each of 9 hosts fits into the append budget of the log.
const INTERVAL: Duration = Duration::from_millis(50);

/// Ids that are to be appended, and ids whose record has not been read back; only one batch is in flight.
#[derive(Debug, Default)]
pub(super) struct Batches {
    pending: VecDeque<RequestId>,
    in_flight: BTreeSet<RequestId>,
    next: Timestamp,
    rate: u32,
    size: usize,
}

impl Batches {
    pub(super) fn set_limits(&mut self, rate: u32, size: usize) {
        self.rate = rate;
        self.size = size;
    }

    pub(super) fn push(&mut self, id: RequestId) {
        if !self.in_flight.contains(&id) && !self.pending.contains(&id) {
            self.pending.push_back(id);
        }
    }

    /// Returns the time until the budget allows to append an id that arrives now, `None` if there is no budget.
    pub(super) fn delay(&self, now: Timestamp) -> Option<Duration> {
        let interval = self.interval()?;
        let full = self.pending.len() / self.size.max(1);
        let batches = u32::try_from(full).unwrap_or(u32::MAX);
        Some(self.next.since(now) + interval.saturating_mul(batches))
    }

    /// Returns the next batch if one may be appended now; ids that are no longer pending are skipped.
    pub(super) fn take(
        &mut self,
        now: Timestamp,
        wanted: impl Fn(RequestId) -> bool,
    ) -> Option<Vec<RequestId>> {
        let interval = self.interval()?;
        if !self.in_flight.is_empty() || now < self.next {
            return None;
        }
        let mut ids = Vec::new();
        while ids.len() < self.size.max(1) {
            let Some(id) = self.pending.pop_front() else { break };
            if wanted(id) {
                ids.push(id);
            }
        }
        if ids.is_empty() {
            return None;
        }
        self.next = now + interval;
        self.in_flight.extend(ids.iter().copied());
        Some(ids)
    }

    /// Removes an id from the batch in flight after its record was read back or its append failed.
    pub(super) fn resolved(&mut self, id: RequestId) {
        self.in_flight.remove(&id);
    }

    pub(super) fn clear_pending(&mut self) {
        self.pending.clear();
    }

    pub(super) fn clear_in_flight(&mut self) {
        self.in_flight.clear();
    }

    fn interval(&self) -> Option<Duration> {
        (self.rate > 0).then(|| INTERVAL.max(Duration::from_secs(1) / self.rate))
    }
}
