//! First-in-first-out queue with removal from any position.

use std::collections::BTreeMap;

use crate::dispatch::{ForwardId, QueueItem};
use crate::id::ServiceId;

/// Requests at the head of a queue that are examined for a service with a free worker.
///
/// Bounds the cost of a pop when the requests at the head are for services without free workers.
const SCAN: usize = 16;

/// Queued requests by position, with an index by forward id.
#[derive(Debug, Default)]
pub(super) struct Line {
    items: BTreeMap<i64, QueueItem>,
    places: BTreeMap<ForwardId, i64>,
}

impl Line {
    pub(super) fn len(&self) -> usize {
        self.items.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    pub(super) fn push_back(&mut self, item: QueueItem) {
        let place = self.items.last_key_value().map_or(0, |(place, _)| place + 1);
        self.insert(place, item);
    }

    pub(super) fn push_front(&mut self, item: QueueItem) {
        let place = self.items.first_key_value().map_or(0, |(place, _)| place - 1);
        self.insert(place, item);
    }

    pub(super) fn pop_back(&mut self) -> Option<QueueItem> {
        let (_, item) = self.items.pop_last()?;
        self.places.remove(&item.forward);
        Some(item)
    }

    pub(super) fn remove(&mut self, forward: ForwardId) -> Option<QueueItem> {
        let place = self.places.remove(&forward)?;
        self.items.remove(&place)
    }

    /// Returns the first of the [`MAX_SCANNED_REQUESTS`] requests at the head whose service satisfies `has_slot`.
    pub(super) fn first_fit(&self, fits: &dyn Fn(&ServiceId) -> bool) -> Option<ForwardId> {
        self.items.values().take(SCAN).find(|item| fits(&item.service)).map(|item| item.forward)
    }

    fn insert(&mut self, place: i64, item: QueueItem) {
        self.places.insert(item.forward, place);
        self.items.insert(place, item);
    }
}
