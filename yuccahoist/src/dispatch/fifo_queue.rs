//! First-in-first-out queue with removal from any position.

use std::collections::BTreeMap;

use crate::dispatch::{ForwardId, QueueItem};
use crate::id::ServiceId;

/// Requests at the head of a queue that are examined for a service with a free worker.
///
/// Bounds the cost of a pop when the requests at the head are for services without free workers.
const MAX_SCANNED_REQUESTS: usize = 16;

/// Queued requests by position, with an index by forward id.
#[derive(Debug, Default)]
pub(super) struct FifoQueue {
    items: BTreeMap<i64, QueueItem>,
    positions: BTreeMap<ForwardId, i64>,
}

impl FifoQueue {
    pub(super) fn len(&self) -> usize {
        self.items.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    pub(super) fn push_back(&mut self, item: QueueItem) {
        let position = self.items.last_key_value().map_or(0, |(position, _)| position + 1);
        self.insert(position, item);
    }

    pub(super) fn push_front(&mut self, item: QueueItem) {
        let position = self.items.first_key_value().map_or(0, |(position, _)| position - 1);
        self.insert(position, item);
    }

    pub(super) fn pop_back(&mut self) -> Option<QueueItem> {
        let (_, item) = self.items.pop_last()?;
        self.positions.remove(&item.forward);
        Some(item)
    }

    pub(super) fn remove(&mut self, forward: ForwardId) -> Option<QueueItem> {
        let position = self.positions.remove(&forward)?;
        self.items.remove(&position)
    }

    /// Returns the first of the [`MAX_SCANNED_REQUESTS`] requests at the head whose service satisfies `has_slot`.
    pub(super) fn first_ready(&self, has_slot: &dyn Fn(&ServiceId) -> bool) -> Option<ForwardId> {
        self.items
            .values()
            .take(MAX_SCANNED_REQUESTS)
            .find(|item| has_slot(&item.service))
            .map(|item| item.forward)
    }

    fn insert(&mut self, position: i64, item: QueueItem) {
        self.positions.insert(item.forward, position);
        self.items.insert(position, item);
    }
}
