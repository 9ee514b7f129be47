//! Batches of request ids for the `intents` stream.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use crate::id::RequestId;
use crate::unit::Timestamp;

/// Shortest time between two appends.
const INTERVAL: Duration = Duration::from_millis(50); // 9 hosts x 20 appends fit into the budget of the log

/// Ids that wait for their append, and those whose record has not been read back.
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

    /// Time until an id that arrives now is appended, by the budget; none if there is no budget.
    pub(super) fn delay(&self, now: Timestamp) -> Option<Duration> {
        let interval = self.interval()?;
        let full = self.pending.len() / self.size.max(1);
        let batches = u32::try_from(full).unwrap_or(u32::MAX);
        Some(self.next.since(now) + interval.saturating_mul(batches))
    }

    /// Next batch, if one may be appended now.
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

    /// Notes that the record of an id was read back, or failed.
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
