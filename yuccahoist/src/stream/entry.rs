//! Text form of a record in the log.

use std::fmt;

use bytes::Bytes;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::Envelope;
use super::producers::Producers;
use crate::id::{Incarnation, Sequence};

/// Envelope as it is written; a snapshot also carries the table of producers.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct Entry<R> {
    /// Process start that appended the record.
    pub(super) producer: Incarnation,
    /// Number of the append.
    pub(super) seq: Sequence,
    /// Record itself.
    pub(super) body: R,
    /// Last records of all producers, in a snapshot.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(super) producers: Option<Producers>,
}

impl<R: Serialize + DeserializeOwned + fmt::Debug> Entry<R> {
    /// Entry from its text; none if it is not a record that this version knows.
    pub(super) fn decode(text: &[u8]) -> Option<Self> {
        serde_json::from_slice(text).ok()
    }

    /// Text of the entry; none if the record has no JSON form.
    pub(super) fn encode(&self) -> Option<Bytes> {
        serde_json::to_vec(self).ok().map(Bytes::from)
    }
}

/// Text of an ordinary record in the log.
///
/// # Errors
///
/// Fails when the record has no JSON form.
pub fn encode<R: Serialize>(envelope: &Envelope<R>) -> Result<Bytes, serde_json::Error> {
    serde_json::to_vec(envelope).map(Bytes::from)
}
