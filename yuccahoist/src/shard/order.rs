//! Order in which waiting steps are placed.
//!
//! While every step can meet its objective, the step with the earliest latest start is placed first. During a burst, a
//! step that can no longer meet its objective ranks behind all that can. Among late steps, those of the job with the
//! least work go first, so that a backlog delays as few callers as possible.
//!
//! A late step of a queue of the highest priority keeps its place by the time until which its result is of use. After an
//! outage such steps would otherwise wait for the whole backlog of heavy work, which has seconds of slack.
//!
//! Steps of jobs beyond the rate that their workspace is entitled to go after all others.

use std::time::Duration;

use super::fair_share::Standing;
use crate::unit::Timestamp;

/// Time from the decision to start a task until it starts: one write to the store (9 ms) and one call to the worker
/// (3 ms), doubled for load.
const START_LATENCY: Duration = Duration::from_millis(30);
/// Multiple of the objective after which a result is of no use to the caller; set by the platform.
const USEFUL_OBJECTIVES: u32 = 3;

/// Time by which the latest start of an urgent step counts as later while its workspace is above its share: the part of the
/// objective of urgent jobs that isn't proportional to their duration. Batch work has seconds of slack, so it does not
/// pass urgent work by that.
const ABOVE_SHARE_DELAY: Duration = Duration::from_millis(250);

/// Whether a step can still meet the objective of its job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timeliness {
    /// The next deadline can be met: the objective or, in a queue of the highest priority, the end of usefulness.
    InTime,
    /// The objective is missed, but the result is still of use.
    Late,
    /// The result is too late to be of use; the accepted job is completed all the same.
    Overdue,
}

/// Rank of a waiting step; the smallest is placed first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Whether the job is beyond the rate that its workspace is entitled to; compared first.
    pub is_excess: bool,
    /// Whether the step can still be in time.
    pub timeliness: Timeliness,
    /// Latest start that meets the next deadline, microseconds, while in time; afterwards the work of the job in core-milliseconds.
    pub key: u64,
    /// Whether the queue has the highest priority.
    pub is_urgent: bool,
}

impl Rank {
    /// Returns the rank beside the steps of other workspaces. Work of a workspace above its share goes after that of the
    /// others, except for urgent steps in time, which go only after urgent steps that begin soon. A result of no use goes
    /// last in any case.
    #[must_use]
    pub fn with_standing(self, standing: Standing) -> SharedRank {
        let is_above = standing == Standing::Above;
        let is_exempt = self.is_urgent && self.timeliness == Timeliness::InTime;
        let yields = (is_above && !is_exempt) || self.timeliness == Timeliness::Overdue;
        let delay = if is_above && is_exempt { ABOVE_SHARE_DELAY.as_micros() as u64 } else { 0 };
        let (timeliness, key) = (self.timeliness, self.key.saturating_add(delay));
        SharedRank { is_excess: self.is_excess, yields, timeliness, key }
    }
}

/// Rank of a step beside those of other workspaces; the smallest is placed first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct SharedRank {
    is_excess: bool,
    /// Whether the step goes after work of workspaces below their share.
    yields: bool,
    timeliness: Timeliness,
    key: u64,
}

/// Input of the rank of a step.
#[derive(Debug, Clone, Copy)]
pub struct Urgency {
    /// Submission of the job, or due time of the occurrence.
    pub arrival: Timestamp,
    /// Time from `arrival` within which the job should be completed.
    pub objective: Duration,
    /// Duration of the critical path that begins with this step.
    pub critical_path: Duration,
    /// CPU time of one occurrence of the job, core-milliseconds.
    pub work: u64,
    /// Whether the queue has the highest priority.
    pub is_urgent: bool,
    /// Whether the job is beyond the rate that its workspace is entitled to.
    pub is_excess: bool,
}

impl Urgency {
    /// Returns the latest start that meets the objective.
    #[must_use]
    pub fn latest_start(&self) -> Timestamp {
        self.arrival + self.objective - self.critical_path - START_LATENCY
    }

    /// Returns the time until the step has to end for the job to meet its objective, if the steps that depend on it take
    /// `later`. When that has passed: until the result is of no use, and then without a limit.
    #[must_use]
    pub fn time_left(&self, now: Timestamp, later: Duration) -> Duration {
        let until = |objectives: u32| {
            let end = self.arrival + self.objective.saturating_mul(objectives) - later - START_LATENCY;
            end.since(now)
        };
        let left = [until(1), until(USEFUL_OBJECTIVES)].into_iter().find(|left| !left.is_zero());
        left.unwrap_or(Duration::MAX)
    }

    /// Returns the rank at `now`; it changes once the latest start has passed.
    #[must_use]
    pub fn rank(&self, now: Timestamp) -> Rank {
        let Self { is_excess, is_urgent, .. } = *self;
        let latest_start = self.latest_start();
        if now <= latest_start {
            return Rank {
                is_excess,
                timeliness: Timeliness::InTime,
                key: latest_start.as_micros(),
                is_urgent,
            };
        }
        let useful_until =
            self.arrival + self.objective.saturating_mul(USEFUL_OBJECTIVES) - self.critical_path;
        if self.is_urgent && now <= useful_until {
            return Rank {
                is_excess,
                timeliness: Timeliness::InTime,
                key: useful_until.as_micros(),
                is_urgent,
            };
        }
        let timeliness = if now <= useful_until { Timeliness::Late } else { Timeliness::Overdue };
        Rank { is_excess, timeliness, key: self.work, is_urgent }
    }
}
