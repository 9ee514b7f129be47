//! Invariants that the demo checks.

use serde::Serialize;

/// Property that must hold in every run; the report counts its violations.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Invariant {
    /// No worker gets more than its CPU, memory, accelerators, slots and connections.
    Capacity,
    /// No task runs in two places at once.
    OnePlace,
    /// Each caller gets the complete answer to its own request.
    OwnAnswer,
    /// A request that was answered `not-run` did not run.
    NotRun,
    /// A non-idempotent request runs at most once.
    AtMostOnce,
    /// A leaving backend server gets no new request after the drain limit.
    Drain,
    /// A planned stop interrupts no request.
    GracefulStop,
    /// An accepted edit is in force everywhere in time and never reverts.
    Configuration,
    /// Every request is answered exactly once, before its deadline.
    Answered,
    /// Every job ends as expected.
    Jobs,
}

impl Invariant {
    /// All invariants.
    pub(crate) const ALL: [Self; 10] = [
        Self::Capacity,
        Self::OnePlace,
        Self::OwnAnswer,
        Self::NotRun,
        Self::AtMostOnce,
        Self::Drain,
        Self::GracefulStop,
        Self::Configuration,
        Self::Answered,
        Self::Jobs,
    ];

    /// Returns the description that the report prints after the number of violations.
    pub(crate) const fn description(self) -> &'static str {
        match self {
            Self::Capacity => "no worker gets more than its capacity, slots and connections",
            Self::OnePlace => "no task runs in two places at once",
            Self::OwnAnswer => "each caller gets the complete answer to its own request",
            Self::NotRun => "a request answered not-run did not run",
            Self::AtMostOnce => "a non-idempotent request runs at most once",
            Self::Drain => "a leaving backend server gets no new request after 3 s",
            Self::GracefulStop => "a planned stop interrupts no request",
            Self::Configuration => "an edit is in force at every host within 3 s and never reverts",
            Self::Answered => "every request is answered once, before its deadline",
            Self::Jobs => "every job ends as expected",
        }
    }
}
