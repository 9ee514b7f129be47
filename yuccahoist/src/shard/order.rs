//! Order in which waiting steps are placed.
//!
//! Answers the load of a burst: while everything can be in time, the step with the earliest latest start goes first. A
//! step that can't be in time any more steps back behind those that can, and smaller ones go first there, so that a
//! backlog delays few callers.

use std::time::Duration;

use crate::unit::Timestamp;

/// Time between the decision to start a task and its start: one write of the store and one call to the worker.
const START_COST: Duration = Duration::from_millis(30); // A write takes 9 ms and a call 3 ms; twice that under load.
/// An answer later than this multiple of the objective is of no use to the caller.
const USEFUL: u32 = 3; // Given by the platform: up to three times the objective counts as late.

/// Prospects of a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Band {
    /// Can be in time.
    InTime,
    /// Will be late.
    Late,
    /// Too late to be of use; still owed.
    Overdue,
}

/// Rank of a waiting step; the smallest goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Prospects.
    pub band: Band,
    /// Latest start in microseconds, or the work left in core-milliseconds once the step is late.
    pub key: u64,
}

/// What the rank of a step follows from.
#[derive(Debug, Clone, Copy)]
pub struct Urgency {
    /// Submission, or due time of the occurrence.
    pub arrival: Timestamp,
    /// Time from arrival in which the job should be completed.
    pub objective: Duration,
    /// Longest chain of work from this step on.
    pub chain: Duration,
    /// Processor time left, core-milliseconds.
    pub work: u64,
}

impl Urgency {
    /// Latest start that still meets the objective.
    #[must_use]
    pub fn latest(&self) -> Timestamp {
        self.arrival + self.objective - self.chain - START_COST
    }

    /// Rank at `now`.
    #[must_use]
    pub fn rank(&self, now: Timestamp) -> Rank {
        let latest = self.latest();
        if now <= latest {
            return Rank { band: Band::InTime, key: latest.as_micros() };
        }
        let useful = self.arrival + self.objective * USEFUL - self.chain;
        let band = if now <= useful { Band::Late } else { Band::Overdue };
        Rank { band, key: self.work }
    }
}
