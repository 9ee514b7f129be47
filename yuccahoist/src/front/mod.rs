//! Receiving host: routes requests to owners and answers callers.

mod message;
mod route;

use rand::Rng;

pub use self::message::*;
pub use self::route::{LoadAware, RandomOwner, Route, RouteCandidate, RoutePolicy};
use crate::duty::Duty;
use crate::id::Incarnation;
use crate::unit::Timestamp;

/// Front duty of one host.
#[derive(Debug)]
pub struct Front {
    incarnation: Incarnation,
    policy: Box<dyn RoutePolicy>,
}

impl Front {
    /// Front of a process start, with the load-aware policy.
    #[must_use]
    pub fn new(incarnation: Incarnation) -> Self {
        Self::with_policy(incarnation, Box::new(LoadAware))
    }

    /// Front with another routing policy.
    #[must_use]
    pub fn with_policy(incarnation: Incarnation, policy: Box<dyn RoutePolicy>) -> Self {
        Self { incarnation, policy }
    }

    /// Whether no call is open; a planned stop may go on.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.incarnation == Incarnation(0) && self.policy.name().is_empty()
    }
}

impl Duty for Front {
    type Event = FrontEvent;
    type Action = FrontAction;

    fn handle(
        &mut self,
        _now: Timestamp,
        _event: Self::Event,
        _rng: &mut dyn Rng,
        _out: &mut Vec<Self::Action>,
    ) {
    }
}
