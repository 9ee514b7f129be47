//! Leases on shards and partitions.

mod fold;
mod message;

use rand::Rng;

pub use self::fold::*;
pub use self::message::*;
use crate::duty::Duty;
use crate::unit::Timestamp;

/// Settings of the ownership duty.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnershipSettings {
    /// This host as a member.
    pub member: Member,
}

/// Ownership duty of one host.
#[derive(Debug)]
pub struct Ownership {
    settings: OwnershipSettings,
}

impl Ownership {
    /// Duty of a process that has read nothing yet.
    #[must_use]
    pub fn new(settings: OwnershipSettings) -> Self {
        Self { settings }
    }

    /// Whether a planned stop is complete, or this process was replaced or removed.
    #[must_use]
    pub fn left(&self) -> bool {
        let _ = &self.settings;
        false
    }
}

impl Duty for Ownership {
    type Event = OwnershipEvent;
    type Action = OwnershipAction;

    fn handle(
        &mut self,
        _now: Timestamp,
        _event: OwnershipEvent,
        _rng: &mut dyn Rng,
        _out: &mut Vec<OwnershipAction>,
    ) {
    }
}
