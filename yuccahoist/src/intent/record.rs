//! Record of the `intents` stream.

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use serde::de::Error;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::id::RequestId;
use crate::unit::WallTime;

/// Bytes of one request id.
const ID_BYTES: usize = 16;

/// Record of the `intents` stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum IntentRecord {
    /// Announces requests that the producer will forward if its record of the id is the first.
    Intents {
        /// Request ids; sixteen bytes each, joined and written as base64.
        #[serde(serialize_with = "write_ids", deserialize_with = "read_ids")]
        ids: Vec<RequestId>,
        /// Ids created before this time are refused from now on.
        horizon: WallTime,
    },
}

fn write_ids<S: Serializer>(ids: &[RequestId], serializer: S) -> Result<S::Ok, S::Error> {
    let bytes: Vec<u8> = ids.iter().flat_map(|id| id.as_uuid().into_bytes()).collect();
    serializer.serialize_str(&URL_SAFE_NO_PAD.encode(bytes))
}

fn read_ids<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<RequestId>, D::Error> {
    let text = String::deserialize(deserializer)?;
    let bytes = URL_SAFE_NO_PAD.decode(text).map_err(D::Error::custom)?;
    let (ids, rest) = bytes.as_chunks::<ID_BYTES>();
    if !rest.is_empty() {
        return Err(D::Error::custom(format!(
            "ids have {} bytes; expected a multiple of {ID_BYTES}",
            bytes.len()
        )));
    }
    ids.iter().map(|id| RequestId::from_bytes(*id).map_err(D::Error::custom)).collect()
}
