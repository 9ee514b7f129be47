//! Common form of the decision logic.
//!
//! Each duty is a state machine without I/O. It takes the time, an event and a source of randomness, and emits
//! actions. The host actor carries the actions out; tests and benches call the same interface directly.

use rand::Rng;

use crate::unit::Timestamp;

/// State machine of one duty.
pub trait Duty {
    /// What the duty reacts to.
    type Event;
    /// What the duty asks for.
    type Action;

    /// Handles one event at `now` and appends the resulting actions to `out`.
    fn handle(&mut self, now: Timestamp, event: Self::Event, rng: &mut dyn Rng, out: &mut Vec<Self::Action>);
}
