//! At-most-once register for non-idempotent requests.
//!
//! Every host folds the `intents` stream. Only the host whose record of an id comes first in log order may forward the
//! request, so two hosts that receive the same id never both run it. The register forgets ids below the largest
//! horizon in any record, and refuses them from then on.

mod fold;
mod record;

pub use self::fold::{IntentEffect, IntentFold};
pub use self::record::IntentRecord;
