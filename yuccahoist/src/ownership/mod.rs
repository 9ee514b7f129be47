//! Leases on shards and partitions.

mod message;

use serde::{Deserialize, Serialize};

pub use self::message::*;

/// Fold of the `cell` stream up to an offset.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CellSnapshot {
    /// Last offset that is included.
    pub through: crate::id::Offset,
}
