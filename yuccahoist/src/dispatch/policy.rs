//! Interface of queue policies.

use std::fmt;
use std::time::Duration;

use crate::dispatch::{DispatchLimits, ForwardId};
use crate::id::{ServiceId, TeamId};
use crate::request::Class;
use crate::unit::Timestamp;

/// Queued request, as a policy sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueueItem {
    /// Number of the forward.
    pub forward: ForwardId,
    /// Service.
    pub service: ServiceId,
    /// Class.
    pub class: Class,
    /// Team.
    pub team: TeamId,
    /// Time of arrival.
    pub at: Timestamp,
}

/// Slots of a shard and who holds them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SlotView {
    /// Slots that may be used, over all workers of the shard.
    pub capacity: u32,
    /// Slots that are held, per class in the order of [`Class::ALL`].
    pub held: [u32; Class::ALL.len()],
    /// Measured mean run time per class in the order of [`Class::ALL`]; none before the first measurement.
    pub run: [Option<Duration>; Class::ALL.len()],
}

impl SlotView {
    /// Measured mean run time of a class; a value that keeps the classes in order before the first measurement.
    #[must_use]
    pub fn run_of(&self, class: Class) -> Duration {
        self.run[class as usize].unwrap_or(match class {
            Class::Urgent => Duration::from_millis(10),
            Class::Batch => Duration::from_millis(100),
            Class::Heavy => Duration::from_secs(1),
        })
    }

    /// Slots held by a class.
    #[must_use]
    pub fn held_by(&self, class: Class) -> u32 {
        self.held[class as usize]
    }

    /// Mean time until one of the held slots is given back.
    #[must_use]
    pub fn next_slot(&self) -> Duration {
        let rate = |class| f64::from(self.held_by(class)) / self.run_of(class).as_secs_f64().max(1e-6);
        let total: f64 = Class::ALL.into_iter().map(rate).sum();
        if total > 0.0 { Duration::from_secs_f64(1.0 / total) } else { Duration::ZERO }
    }

    /// Slots held by all classes.
    #[must_use]
    pub fn held_total(&self) -> u32 {
        self.held.iter().sum()
    }
}

/// Why a policy does not take a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Full {
    /// Queue of the class is full.
    Class,
    /// Team has more than its share of a full queue.
    Team,
}

/// Order of the requests that wait for slots of one shard.
pub trait QueuePolicy: fmt::Debug + Send {
    /// Name in logs and tables.
    fn name(&self) -> &'static str;

    /// Empty queue of the same policy.
    fn empty(&self) -> Box<dyn QueuePolicy>;

    /// Applies limits.
    fn set_limits(&mut self, limits: &DispatchLimits);

    /// Adds a request. A request that had to make room for it is returned.
    ///
    /// # Errors
    ///
    /// Fails when there is no room.
    fn push(&mut self, item: QueueItem) -> Result<Option<QueueItem>, Full>;

    /// Puts a request back that was taken but not sent.
    fn restore(&mut self, item: QueueItem);

    /// Removes a request; none if it does not wait.
    fn remove(&mut self, forward: ForwardId) -> Option<QueueItem>;

    /// Takes the next request that may start and for whose service `fits` holds.
    fn pop(&mut self, view: &SlotView, fits: &dyn Fn(&ServiceId) -> bool) -> Option<QueueItem>;

    /// Slots that a class may take now.
    fn room(&self, class: Class, view: &SlotView) -> u32;

    /// Expected wait of a request that arrives now.
    fn wait(&self, class: Class, team: Option<&TeamId>, view: &SlotView) -> Duration;

    /// Waiting requests of all classes.
    fn len(&self) -> usize;

    /// Whether nothing waits.
    fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Records the measured run time of a finished request.
    fn measured(&mut self, class: Class, team: &TeamId, run: Duration);
}
