//! Jobs and their coordinators.

mod message;

use serde::{Deserialize, Serialize};

pub use self::message::*;

/// Fold of the `jobs` stream up to an offset.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSnapshot {
    /// Last offset that is included.
    pub through: crate::id::Offset,
}
