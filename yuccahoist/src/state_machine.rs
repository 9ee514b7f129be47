//! Common interface of the decision logic.
//!
//! Each component of the scheduler is a deterministic state machine without I/O. It receives the time, an event and a
//! random number generator, and emits actions. The host actor executes the actions; tests and benchmarks drive the same
//! interface directly.

use rand::Rng;

use crate::unit::Timestamp;

/// State machine without I/O.
pub trait StateMachine {
    /// Input of the state machine.
    type Event;
    /// Side effect that the caller of [`Self::handle`] executes.
    type Action;

    /// Handles one event at the time `now` and appends the resulting actions to `out`.
    fn handle(&mut self, now: Timestamp, event: Self::Event, rng: &mut dyn Rng, out: &mut Vec<Self::Action>);
}
