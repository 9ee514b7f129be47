//! Record of the `intents` stream and its encoding.

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use serde::de::Error;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::id::RequestId;
use crate::unit::WallTime;

/// Encoded length of a request id, in bytes.
const REQUEST_ID_BYTES: usize = 16;

/// Record of the `intents` stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum IntentRecord {
    /// Requests that the producer forwards if its record of the id is the first.
    Intents {
        /// Request ids, 16 bytes each, concatenated and encoded as unpadded URL-safe base64.
        #[serde(serialize_with = "write_ids", deserialize_with = "read_ids")]
        ids: Vec<RequestId>,
        /// Time before which created ids are rejected from this record on.
        horizon: WallTime,
    },
}

fn write_ids<S: Serializer>(ids: &[RequestId], serializer: S) -> Result<S::Ok, S::Error> {
    let bytes: Vec<u8> = ids.iter().flat_map(|id| id.as_uuid().into_bytes()).collect();
    serializer.serialize_str(&URL_SAFE_NO_PAD.encode(bytes))
}

fn read_ids<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<RequestId>, D::Error> {
    let encoded = String::deserialize(deserializer)?;
    let bytes = URL_SAFE_NO_PAD.decode(encoded).map_err(D::Error::custom)?;
    let (ids, remainder) = bytes.as_chunks::<REQUEST_ID_BYTES>();
    if !remainder.is_empty() {
        return Err(D::Error::custom(format!(
            "request ids are {} bytes long, expected a multiple of {REQUEST_ID_BYTES}",
            bytes.len()
        )));
    }
    ids.iter().map(|id| RequestId::from_bytes(*id).map_err(D::Error::custom)).collect()
}
