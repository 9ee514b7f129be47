//! Choice of the owner that a request is forwarded to.

use std::fmt;
use std::time::Duration;

use rand::{Rng, RngExt};

use crate::id::{Incarnation, ShardId};
use crate::request::Class;

/// Shard that offers the service, as the front sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteCandidate {
    /// Shard.
    pub shard: ShardId,
    /// Owner.
    pub owner: Incarnation,
    /// Whether this host is the owner.
    pub own: bool,
    /// Free slots for the class by the last summary, less what this front has sent since.
    pub free: u32,
    /// Expected wait by the last summary, more for what this front has sent since.
    pub wait: Duration,
}

/// Chosen candidate, by index.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Route {
    /// Candidate that gets the request.
    pub chosen: usize,
    /// Second best candidate, if any.
    pub runner_up: Option<usize>,
    /// Reason for the log.
    pub reason: &'static str,
}

/// Policy that chooses an owner.
pub trait RoutePolicy: fmt::Debug + Send {
    /// Name in logs and tables.
    fn name(&self) -> &'static str;

    /// Chooses one of the candidates; none only if there is no candidate.
    fn choose(&self, class: Class, candidates: &[RouteCandidate], rng: &mut dyn Rng) -> Option<Route>;
}

/// Own shard if it has a free slot, else the better of two random owners.
///
/// Two random candidates keep several fronts with equally stale summaries from all choosing the same owner.
#[derive(Debug, Clone, Copy, Default)]
pub struct LoadAware;

/// Whether the first candidate is better: more free slots, then the shorter wait.
fn better(a: &RouteCandidate, b: &RouteCandidate) -> bool {
    (b.free, a.wait) < (a.free, b.wait)
}

impl RoutePolicy for LoadAware {
    fn name(&self) -> &'static str {
        "load-aware"
    }

    fn choose(&self, _class: Class, candidates: &[RouteCandidate], rng: &mut dyn Rng) -> Option<Route> {
        let best_own = (0..candidates.len())
            .filter(|i| candidates[*i].own && candidates[*i].free > 0)
            .max_by_key(|i| candidates[*i].free);
        if let Some(chosen) = best_own {
            return Some(Route { chosen, runner_up: None, reason: "own shard has a free slot" });
        }
        let (a, b) = two_of(candidates.len(), rng)?;
        if a == b {
            return Some(Route { chosen: a, runner_up: None, reason: "only owner" });
        }
        let (chosen, other) = if better(&candidates[b], &candidates[a]) { (b, a) } else { (a, b) };
        Some(Route { chosen, runner_up: Some(other), reason: "better of two random owners" })
    }
}

/// Uniformly random owner; the baseline.
#[derive(Debug, Clone, Copy, Default)]
pub struct RandomOwner;

impl RoutePolicy for RandomOwner {
    fn name(&self) -> &'static str {
        "random"
    }

    fn choose(&self, _class: Class, candidates: &[RouteCandidate], rng: &mut dyn Rng) -> Option<Route> {
        let (chosen, _) = two_of(candidates.len(), rng)?;
        Some(Route { chosen, runner_up: None, reason: "random owner" })
    }
}

/// Two different random indices below `count`; the same one twice when there is only one.
fn two_of(count: usize, rng: &mut dyn Rng) -> Option<(usize, usize)> {
    if count < 2 {
        return (count == 1).then_some((0, 0));
    }
    let first = rng.random_range(0..count);
    let second = rng.random_range(0..count - 1);
    Some((first, if second >= first { second + 1 } else { second }))
}
