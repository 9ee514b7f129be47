//! Last sequence number of each producer.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::StreamName;
use crate::id::{Incarnation, Offset, Sequence};

/// Last record of a producer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Last {
    /// Sequence number.
    pub(super) seq: Sequence,
    /// Offset.
    pub(super) offset: Offset,
}

/// Table by which duplicates are dropped; a function of the records alone, so that all readers drop the same ones.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub(super) struct Producers(BTreeMap<Incarnation, Last>);

impl Producers {
    /// Notes a record; false if it is a duplicate.
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
        self.0.insert(producer, Last { seq, offset });
        true
    }

    /// Last record of a producer.
    pub(super) fn last(&self, producer: Incarnation) -> Option<Last> {
        self.0.get(&producer).copied()
    }

    /// Removes producers that have been silent for longer than the window.
    pub(super) fn prune(&mut self, next: Offset, window: u64) {
        self.0.retain(|_, last| next.0.saturating_sub(last.offset.0) <= window);
    }
}

/// Records after which a silent producer is forgotten.
///
/// A duplicate that the log service applies later than this is no longer recognized. At the rates of the design page
/// the windows are about 12 days, 30 hours, 15 hours and 15 hours. Without a window the table grows with every host
/// restart and every operator command.
pub(super) const fn window(stream: StreamName) -> u64 {
    match stream {
        StreamName::Config => 20_000,
        StreamName::Cell => 1_000_000,
        StreamName::Intents => 10_000_000,
        StreamName::Jobs => 2_000_000,
    }
}
