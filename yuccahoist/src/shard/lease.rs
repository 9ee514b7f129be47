//! Leases of workers: how long they are, and when one has provably expired.
//!
//! A worker measures its lease on its own steady clock, which may run slow. The owner knows that clock only at the
//! moments at which the worker answered.

use std::time::Duration;

use crate::unit::Timestamp;

/// Slowest rate of a worker's clock.
pub const CLOCK_RATE: f64 = 0.98; // Given by the platform: a worker's clock may be 2 % slow.
/// Longest time that an owner keeps extending leases after its last confirmed write; a successor waits it out for
/// workers that it can't reach.
pub const UNCONFIRMED: Duration = Duration::from_secs(6); // A full outage of the store lasts about 5 s.
/// Lease given to workers; shorter than the platform's maximum, because a dead worker's tasks wait for it.
pub const LEASE: Duration = Duration::from_millis(4_000); // Covers a change of owner and a power cut of all hosts of 1.5 s.

/// A worker's clock and lease as its owner knows them.
#[derive(Debug, Clone, Copy)]
pub struct Lease {
    sample: Option<(Timestamp, u64)>,
    deadline: Option<u64>,
    inherited: Timestamp,
}

impl Lease {
    /// Lease of a worker that a previous owner may have extended until `inherited`.
    #[must_use]
    pub const fn new(inherited: Timestamp) -> Self {
        Self { sample: None, deadline: None, inherited }
    }

    /// Notes the worker's `clock`, milliseconds, in an answer received at `now`.
    pub fn observe(&mut self, now: Timestamp, clock: u64) {
        self.sample = Some((now, clock));
    }

    /// Deadline of a lease of `span` from `now` on the worker's clock, milliseconds; none before the first answer.
    ///
    /// Never earlier than one that was sent before.
    pub fn extend(&mut self, now: Timestamp, span: Duration) -> Option<u64> {
        let (at, clock) = self.sample?;
        let elapsed = u64::try_from(now.since(at).as_millis()).unwrap_or(u64::MAX);
        let span = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        let end = clock.saturating_add(elapsed).saturating_add(span);
        self.deadline = Some(self.deadline.map_or(end, |d| d.max(end)));
        self.deadline
    }

    /// Deadline that was sent last, milliseconds on the worker's clock.
    #[must_use]
    pub const fn deadline(&self) -> Option<u64> {
        self.deadline
    }

    /// Time after which nothing that the owner knows of can be running on the worker.
    #[must_use]
    pub fn expiry(&self) -> Timestamp {
        let (Some((at, clock)), Some(deadline)) = (self.sample, self.deadline) else {
            return self.inherited;
        };
        let rest = Duration::from_millis(deadline.saturating_sub(clock)).div_f64(CLOCK_RATE);
        (at + rest).max(self.inherited)
    }

    /// The worker listed its runs under this owner's epoch: a previous owner's orders have no effect any more.
    pub fn confirm(&mut self) {
        self.inherited = Timestamp::ZERO;
    }
}
