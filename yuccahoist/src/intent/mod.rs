//! At-most-once delivery of non-idempotent requests.
//!
//! Every host folds the `intents` stream. Only the host whose record of an id is first in log order may forward the
//! request, so it is never forwarded by two hosts that received the same id. Ids created before the highest horizon of
//! any record are evicted and rejected from then on.

mod fold;
mod record;

pub use self::fold::{IntentEffect, IntentFold};
pub use self::record::IntentRecord;
