//! Shard owner's side of placement.

use rand::Rng;

use super::message::{PlacementAction, PlacementEvent};
use crate::duty::Duty;
use crate::unit::Timestamp;

/// Shard owner's side of placement.
#[derive(Debug, Default)]
pub struct Placement {}

impl Placement {
    /// Placement that owns no shard yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }
}

impl Duty for Placement {
    type Event = PlacementEvent;
    type Action = PlacementAction;

    fn handle(
        &mut self,
        _now: Timestamp,
        _event: PlacementEvent,
        _rng: &mut dyn Rng,
        _out: &mut Vec<PlacementAction>,
    ) {
    }
}
