//! Jobs and their coordinators.
//!
//! [`JobFold`] holds the accepted jobs, which every host folds from the `jobs` stream. [`Coordinator`] runs the jobs of
//! the partitions that this host owns: it reserves room at shard owners, commits, and logs the tasks that are done.

mod coordinator;
mod fold;
mod message;

use std::hash::Hasher;

pub use self::coordinator::Coordinator;
pub use self::fold::{JobFold, JobSnapshot, JobState};
pub use self::message::*;
use crate::id::{PartitionId, TeamId};

/// Number of partitions.
pub const PARTITIONS: u16 = 16;

/// Partition that coordinates the jobs of a team; the same on every host and in every version.
#[must_use]
pub fn partition_of(team: &TeamId) -> PartitionId {
    let mut hash = twox_hash::XxHash64::with_seed(0);
    hash.write(team.as_str().as_bytes());
    let slot = hash.finish() % u64::from(PARTITIONS);
    PartitionId(u16::try_from(slot).unwrap_or_default())
}
