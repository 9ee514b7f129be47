//! Deduplication of appends by producer and sequence number.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::StreamName;
use crate::id::{Incarnation, Offset, Sequence};

/// LastAppend append of a producer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct LastAppend {
    pub(super) seq: Sequence,
    pub(super) offset: Offset,
}

/// Deduplication table. It depends on the records alone, so all readers drop the same duplicates.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub(super) struct Producers(BTreeMap<Incarnation, LastAppend>);

impl Producers {
    /// Records an append; returns `false` if it is a duplicate.
    pub(super) fn admit(
        &mut self,
        producer: Incarnation,
        seq: Sequence,
        offset: Offset,
        window: u64,
    ) -> bool {
        if let Some(last) = self.0.get(&producer)
            && seq <= last.seq
            && offset.0.saturating_sub(last.offset.0) <= window
        {
            return false;
        }
        self.0.insert(producer, LastAppend { seq, offset });
        true
    }

    pub(super) fn last_append(&self, producer: Incarnation) -> Option<LastAppend> {
        self.0.get(&producer).copied()
    }

    /// Removes producers without an append in the last `window` records.
    pub(super) fn prune(&mut self, next: Offset, window: u64) {
        self.0.retain(|_, last| next.0.saturating_sub(last.offset.0) <= window);
    }
}

/// Returns the deduplication window in records: the distance after which an idle producer is removed.
///
/// A duplicate that the log service applies later than this is not recognized. At the rates of the design page the
/// windows are about 12 days, 30 hours, 15 hours and 15 hours. Without a window, the table would grow with every host
/// restart and every operator command.
pub(super) const fn dedup_window(stream: StreamName) -> u64 {
    match stream {
        StreamName::Config => 20_000,
        StreamName::Cell => 1_000_000,
        StreamName::Intents => 10_000_000,
        StreamName::Jobs => 2_000_000,
    }
}
