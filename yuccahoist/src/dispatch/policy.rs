//! Interface between the dispatcher and its queue policies.

use std::fmt;
use std::time::Duration;

use crate::dispatch::{DispatchLimits, ForwardId};
use crate::id::{ServiceId, TeamId};
use crate::request::Class;
use crate::unit::Timestamp;

/// Queued request as seen by a policy.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueueItem {
    /// Identifies the request within the dispatcher.
    pub forward: ForwardId,
    /// Requested service; decides which workers can serve the request.
    pub service: ServiceId,
    /// Class whose limits and guaranteed slots apply.
    pub class: Class,
    /// Team whose weight applies.
    pub team: TeamId,
    /// Time at which the request was queued.
    pub queued_at: Timestamp,
}

/// Slots of a shard, with the number held and the mean run time per class.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SlotView {
    /// Total slots over the usable workers of the shard, under the current share.
    pub capacity: u32,
    /// Held slots per class, in the order of [`Class::ALL`].
    pub held: [u32; Class::ALL.len()],
    /// Mean run time per class, in the order of [`Class::ALL`]; `None` before the first sample.
    pub run_times: [Option<Duration>; Class::ALL.len()],
}

impl SlotView {
    /// Returns the mean run time of a class.
    ///
    /// Before the first sample, returns a default that keeps the classes in order from urgent to heavy.
    #[must_use]
    pub fn run_time(&self, class: Class) -> Duration {
        self.run_times[class as usize].unwrap_or(match class {
            Class::Urgent => Duration::from_millis(10),
            Class::Batch => Duration::from_millis(100),
            Class::Heavy => Duration::from_secs(1),
        })
    }

    /// Returns the number of slots that a class holds.
    #[must_use]
    pub fn held_by(&self, class: Class) -> u32 {
        self.held[class as usize]
    }

    /// Returns the expected time until the next held slot is released, zero if none is held.
    #[must_use]
    pub fn next_slot_wait(&self) -> Duration {
        let rate = |class| f64::from(self.held_by(class)) / self.run_time(class).as_secs_f64().max(1e-6);
        let total: f64 = Class::ALL.into_iter().map(rate).sum();
        if total > 0.0 { Duration::from_secs_f64(1.0 / total) } else { Duration::ZERO }
    }

    /// Returns the number of slots that all classes hold together.
    #[must_use]
    pub fn held_total(&self) -> u32 {
        self.held.iter().sum()
    }
}

/// Reason why a policy rejects a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueFull {
    /// The queue of the class is full.
    Class,
    /// The queue of the class is full and the team has used its share of it.
    Team,
}

/// Queue of one shard; decides the order in which requests get slots.
pub trait QueuePolicy: fmt::Debug + Send {
    /// Returns the name that logs and result tables use.
    fn name(&self) -> &'static str;

    /// Creates an empty queue with the same policy and limits.
    fn empty(&self) -> Box<dyn QueuePolicy>;

    /// Replaces the limits; requests that are already queued stay.
    fn set_limits(&mut self, limits: &DispatchLimits);

    /// Adds a request and returns the request that was evicted for it, if any.
    ///
    /// # Errors
    ///
    /// Fails if the queue is full and no other request may be evicted.
    fn push(&mut self, item: QueueItem) -> Result<Option<QueueItem>, QueueFull>;

    /// Returns a popped request that could not be sent to the head of the queue.
    fn restore(&mut self, item: QueueItem);

    /// Removes a request; `None` if it is not queued.
    fn remove(&mut self, forward: ForwardId) -> Option<QueueItem>;

    /// Removes and returns the next request that may start now and whose service satisfies `has_slot`.
    fn pop(&mut self, view: &SlotView, has_slot: &dyn Fn(&ServiceId) -> bool) -> Option<QueueItem>;

    /// Returns the number of slots that a class may take now.
    fn available_slots(&self, class: Class, view: &SlotView) -> u32;

    /// Returns the expected queueing time of a request that arrives now; `team` gives a more precise estimate.
    fn expected_wait(&self, class: Class, team: Option<&TeamId>, view: &SlotView) -> Duration;

    /// Returns the number of queued requests of all classes.
    fn len(&self) -> usize;

    /// Returns whether no request is queued.
    fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Records the run time of a finished request.
    fn record_run_time(&mut self, class: Class, team: &TeamId, run_time: Duration);
}
