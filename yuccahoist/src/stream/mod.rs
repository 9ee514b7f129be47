//! Log streams.
//!
//! Hosts agree on shared facts by folding the same records in offset order. This module has what all streams share:
//! the envelope that makes duplicate appends harmless, and the [`Fold`] trait that each slice implements for its own
//! records. [`StreamClient`] is the state machine that reads and appends one stream.

mod client;
mod entry;
mod message;
mod producers;
mod settings;

use std::fmt;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

pub use self::client::StreamClient;
pub use self::entry::encode;
pub use self::message::*;
pub use self::settings::StreamSettings;
use crate::id::{Incarnation, Offset, Sequence};

/// Stream of the log service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StreamName {
    /// Configuration edits and verdicts.
    Config,
    /// Views and ownership leases.
    Cell,
    /// Identifiers of non-idempotent requests.
    Intents,
    /// Accepted, cancelled and finished jobs.
    Jobs,
}

impl StreamName {
    /// All streams.
    pub const ALL: [Self; 4] = [Self::Config, Self::Cell, Self::Intents, Self::Jobs];

    /// Name at the log service.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Config => "config",
            Self::Cell => "cell",
            Self::Intents => "intents",
            Self::Jobs => "jobs",
        }
    }
}

impl fmt::Display for StreamName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Record of a stream with its producer's sequence number.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope<R> {
    /// Process start that appended the record.
    pub producer: Incarnation,
    /// Number of the append, rising per producer and stream.
    pub seq: Sequence,
    /// Record itself.
    pub body: R,
}

/// Deterministic state over the records of one stream.
pub trait Fold {
    /// Record of the stream.
    type Record: Serialize + DeserializeOwned + Clone + fmt::Debug;
    /// What a record changes for other duties.
    type Effect;

    /// Applies the record at `offset`, which `producer` appended.
    fn apply(
        &mut self,
        offset: Offset,
        producer: Incarnation,
        record: Self::Record,
        out: &mut Vec<Self::Effect>,
    );

    /// Snapshot record of the state after all records up to `through`; none if the stream has no snapshots.
    fn snapshot(&self, through: Offset) -> Option<Self::Record>;

    /// Offset up to which a record is a snapshot; none if it is an ordinary record.
    fn snapshot_through(record: &Self::Record) -> Option<Offset>;

    /// Replaces the state by that of a snapshot record.
    fn restore(&mut self, record: Self::Record, out: &mut Vec<Self::Effect>);
}
