//! Batches of request ids for the `intents` stream.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use crate::id::RequestId;
use crate::unit::Timestamp;

/// Minimum time between two appends of this host.
///
/// The resulting rate of 20 appends per second on each of 9 hosts fits into the append budget of the log.
const MIN_APPEND_INTERVAL: Duration = Duration::from_millis(50);

/// Ids that are to be appended, and ids whose record has not been read back; only one batch is in flight.
#[derive(Debug, Default)]
pub(super) struct IntentBatches {
    pending: VecDeque<RequestId>,
    in_flight: BTreeSet<RequestId>,
    next_append: Timestamp,
    append_rate: u32,
    batch_size: usize,
}

impl IntentBatches {
    pub(super) fn set_limits(&mut self, append_rate: u32, batch_size: usize) {
        self.append_rate = append_rate;
        self.batch_size = batch_size;
    }

    pub(super) fn push(&mut self, id: RequestId) {
        if !self.in_flight.contains(&id) && !self.pending.contains(&id) {
            self.pending.push_back(id);
        }
    }

    /// Returns the time until the budget allows to append an id that arrives now, `None` if there is no budget.
    pub(super) fn append_delay(&self, now: Timestamp) -> Option<Duration> {
        let interval = self.interval()?;
        let full_batches = self.pending.len() / self.batch_size.max(1);
        let batches = u32::try_from(full_batches).unwrap_or(u32::MAX);
        Some(self.next_append.since(now) + interval.saturating_mul(batches))
    }

    /// Returns the next batch if one may be appended now; ids that are no longer pending are skipped.
    pub(super) fn next_batch(
        &mut self,
        now: Timestamp,
        is_pending: impl Fn(RequestId) -> bool,
    ) -> Option<Vec<RequestId>> {
        let interval = self.interval()?;
        if !self.in_flight.is_empty() || now < self.next_append {
            return None;
        }
        let mut ids = Vec::new();
        while ids.len() < self.batch_size.max(1) {
            let Some(id) = self.pending.pop_front() else { break };
            if is_pending(id) {
                ids.push(id);
            }
        }
        if ids.is_empty() {
            return None;
        }
        self.next_append = now + interval;
        self.in_flight.extend(ids.iter().copied());
        Some(ids)
    }

    /// Removes an id from the batch in flight after its record was read back or its append failed.
    pub(super) fn mark_resolved(&mut self, id: RequestId) {
        self.in_flight.remove(&id);
    }

    pub(super) fn clear_pending(&mut self) {
        self.pending.clear();
    }

    pub(super) fn clear_in_flight(&mut self) {
        self.in_flight.clear();
    }

    fn interval(&self) -> Option<Duration> {
        (self.append_rate > 0).then(|| MIN_APPEND_INTERVAL.max(Duration::from_secs(1) / self.append_rate))
    }
}
