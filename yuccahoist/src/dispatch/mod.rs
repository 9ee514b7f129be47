//! Queues, slots and connections of owned workers.

mod message;
mod policy;

use rand::Rng;

pub use self::message::*;
pub use self::policy::{Full, QueueItem, QueuePolicy, SlotView};
use crate::duty::Duty;
use crate::unit::Timestamp;

/// Dispatch duty of one host.
#[derive(Debug, Default)]
pub struct Dispatcher {
    policy: Option<Box<dyn QueuePolicy>>,
}

impl Dispatcher {
    /// Dispatcher whose shards queue by copies of an empty policy; `Dispatcher::default()` has the class shares.
    #[must_use]
    pub fn new(policy: Box<dyn QueuePolicy>) -> Self {
        Self { policy: Some(policy) }
    }

    /// Load of the shards under a valid grant, for fronts.
    #[must_use]
    pub fn load(&self, _now: Timestamp) -> Vec<LoadSummary> {
        Vec::new()
    }

    /// Whether nothing is queued or in progress; a planned stop may go on.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.policy.is_none()
    }
}

impl Duty for Dispatcher {
    type Event = DispatchEvent;
    type Action = DispatchAction;

    fn handle(
        &mut self,
        _now: Timestamp,
        _event: Self::Event,
        _rng: &mut dyn Rng,
        _out: &mut Vec<Self::Action>,
    ) {
    }
}
