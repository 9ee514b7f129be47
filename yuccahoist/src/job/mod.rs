//! Jobs and their coordinators.
//!
//! Every host folds the `jobs` stream into a [`JobFold`], which holds the accepted jobs. The [`Coordinator`] schedules
//! the jobs of the partitions that this host owns: it reserves capacity at shard owners, commits the reservations and
//! records completed tasks in the log.

mod coordinator;
mod fold;
mod message;

use std::hash::Hasher;

pub use self::coordinator::Coordinator;
pub use self::fold::{JobFold, JobSnapshot, JobState};
pub use self::message::*;
use crate::id::{PartitionId, TeamId};

/// Number of partitions that teams are hashed to; changing it moves teams between coordinators.
pub const PARTITION_COUNT: u16 = 16;

/// Returns the partition that coordinates the jobs of a team.
///
/// The result must be the same on every host and in every version; otherwise two coordinators would run one team.
#[must_use]
pub fn team_partition(team: &TeamId) -> PartitionId {
    let mut hash = twox_hash::XxHash64::with_seed(0);
    hash.write(team.as_str().as_bytes());
    let partition = hash.finish() % u64::from(PARTITION_COUNT);
    PartitionId(u16::try_from(partition).unwrap_or_default())
}
