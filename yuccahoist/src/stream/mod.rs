//! Replicated state over the streams of the log service.
//!
//! Hosts agree on shared state by folding the same records in offset order. This module holds what all streams have in
//! common: the [`Envelope`] whose sequence number lets readers drop duplicate appends, the [`Fold`] trait that each
//! stream implements for its records, and [`StreamClient`], the state machine that reads and appends one stream.

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

/// Stream of the log service, one per kind of shared state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StreamName {
    /// Configuration edits and the verdicts on them.
    Config,
    /// Membership views and ownership leases.
    Cell,
    /// Identifiers of non-idempotent requests, written before the requests are dispatched.
    Intents,
    /// Submissions, cancellations and results of jobs.
    Jobs,
}

impl StreamName {
    /// Every stream, in the order of the variants.
    pub const ALL: [Self; 4] = [Self::Config, Self::Cell, Self::Intents, Self::Jobs];

    /// Returns the name that the log service knows the stream by, as in its request paths.
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

/// Record with the identity of its append.
///
/// The pair of `producer` and `seq` identifies an append over all its retries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope<R> {
    /// Incarnation of the process that appended the record.
    pub producer: Incarnation,
    /// Sequence number, strictly increasing per producer and stream.
    pub seq: Sequence,
    /// Payload, a record of the stream's [`Fold`].
    pub body: R,
}

/// State machine that is replicated by applying the records of one stream in offset order.
///
/// Implementations must be deterministic: equal records give equal states at all hosts.
pub trait Fold {
    /// Payload of the stream's envelopes.
    type Record: Serialize + DeserializeOwned + Clone + fmt::Debug;
    /// State change that other duties are notified of.
    type Effect;

    /// Applies the record that `producer` appended at `offset`, and pushes its effects to `out`.
    fn apply(
        &mut self,
        offset: Offset,
        producer: Incarnation,
        record: Self::Record,
        out: &mut Vec<Self::Effect>,
    );

    /// Returns a snapshot record of the state after all records up to and including `through`, or `None` if the stream
    /// has no snapshots.
    fn snapshot(&self, through: Offset) -> Option<Self::Record>;

    /// Returns the last offset that a snapshot record covers, or `None` for other records.
    fn snapshot_through(record: &Self::Record) -> Option<Offset>;

    /// Replaces the state with that of a snapshot record, and pushes the resulting effects to `out`.
    fn restore(&mut self, record: Self::Record, out: &mut Vec<Self::Effect>);
}
