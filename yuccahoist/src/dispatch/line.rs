//! First-in-first-out line with removal from any position.

use std::collections::BTreeMap;

use crate::dispatch::{ForwardId, QueueItem};
use crate::id::ServiceId;

/// Requests at the head of a line that are looked at for a service with a free worker.
const SCAN: usize = 16; // bounds the cost of a pop when the head waits for a service without free workers

/// Line of waiting requests.
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

    /// Number of the first request near the head for whose service `fits` holds.
    pub(super) fn first_fit(&self, fits: &dyn Fn(&ServiceId) -> bool) -> Option<ForwardId> {
        self.items.values().take(SCAN).find(|item| fits(&item.service)).map(|item| item.forward)
    }

    fn insert(&mut self, place: i64, item: QueueItem) {
        self.places.insert(item.forward, place);
        self.items.insert(place, item);
    }
}
