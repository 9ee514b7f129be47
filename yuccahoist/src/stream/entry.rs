//! JSON encoding of records in the log.

use std::fmt;

use bytes::Bytes;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::Envelope;
use super::producers::Producers;
use crate::id::{Incarnation, Sequence};

/// Envelope as it is stored. A snapshot also carries the deduplication table.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct Entry<R> {
    /// Incarnation of the process that appended the record.
    pub(super) producer: Incarnation,
    /// Sequence number of the append.
    pub(super) seq: Sequence,
    pub(super) body: R,
    /// Last append of each producer; only set in snapshots.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(super) producers: Option<Producers>,
}

impl<R: Serialize + DeserializeOwned + fmt::Debug> Entry<R> {
    /// Decodes an entry; `None` if this version does not know the record.
    pub(super) fn decode(json: &[u8]) -> Option<Self> {
        serde_json::from_slice(json).ok()
    }

    /// Encodes the entry; `None` if the record cannot be represented in JSON.
    pub(super) fn encode(&self) -> Option<Bytes> {
        serde_json::to_vec(self).ok().map(Bytes::from)
    }
}

/// Encodes a record other than a snapshot as the log stores it.
///
/// # Errors
///
/// Fails if the record cannot be represented in JSON.
pub fn encode<R: Serialize>(envelope: &Envelope<R>) -> Result<Bytes, serde_json::Error> {
    serde_json::to_vec(envelope).map(Bytes::from)
}
