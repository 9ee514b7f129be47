//! Routing policies, which choose the owner to which a request is forwarded.

use std::fmt;
use std::time::Duration;

use rand::{Rng, RngExt};

use crate::id::{Incarnation, ShardId};
use crate::request::Class;

/// Shard that offers the requested service, with its estimated load.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteCandidate {
    /// Shard to which the request would be forwarded.
    pub shard: ShardId,
    /// Incarnation of the host that owns the shard.
    pub owner: Incarnation,
    /// Whether this host is the owner.
    pub is_local: bool,
    /// Free slots for the class in the last summary, less the forwards of this front since then.
    pub free: u32,
    /// Expected wait from the last summary, plus an estimate for the forwards of this front since then.
    pub wait: Duration,
}

/// Result of a routing policy, as indices into the candidates.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Route {
    /// Candidate that gets the request.
    pub chosen: usize,
    /// Second best candidate, if any.
    pub runner_up: Option<usize>,
    /// Reason that the decision log shows.
    pub reason: &'static str,
}

/// Policy that chooses the owner for a request.
pub trait RoutePolicy: fmt::Debug + Send {
    /// Returns the name that logs and result tables use.
    fn name(&self) -> &'static str;

    /// Chooses one of the candidates; `None` only if there are none.
    fn choose(&self, class: Class, candidates: &[RouteCandidate], rng: &mut dyn Rng) -> Option<Route>;
}

/// Prefers a local shard with a free slot, else takes the better of two random owners.
///
/// Comparing two random candidates keeps fronts with equally stale summaries from all choosing the same owner.
#[derive(Debug, Clone, Copy, Default)]
pub struct LoadAware;

/// Returns whether `a` is better than `b`: more free slots, then the shorter wait.
fn is_better(a: &RouteCandidate, b: &RouteCandidate) -> bool {
    (b.free, a.wait) < (a.free, b.wait)
}

impl RoutePolicy for LoadAware {
    fn name(&self) -> &'static str {
        "load-aware"
    }

    fn choose(&self, _class: Class, candidates: &[RouteCandidate], rng: &mut dyn Rng) -> Option<Route> {
        let best_local = (0..candidates.len())
            .filter(|i| candidates[*i].is_local && candidates[*i].free > 0)
            .max_by_key(|i| candidates[*i].free);
        if let Some(chosen) = best_local {
            return Some(Route { chosen, runner_up: None, reason: "own shard has a free slot" });
        }
        let (a, b) = two_random(candidates.len(), rng)?;
        if a == b {
            return Some(Route { chosen: a, runner_up: None, reason: "only owner" });
        }
        let (chosen, other) = if is_better(&candidates[b], &candidates[a]) { (b, a) } else { (a, b) };
        Some(Route { chosen, runner_up: Some(other), reason: "better of two random owners" })
    }
}

/// Chooses a uniformly random owner; the baseline for comparisons.
#[derive(Debug, Clone, Copy, Default)]
pub struct RandomOwner;

impl RoutePolicy for RandomOwner {
    fn name(&self) -> &'static str {
        "random"
    }

    fn choose(&self, _class: Class, candidates: &[RouteCandidate], rng: &mut dyn Rng) -> Option<Route> {
        let (chosen, _) = two_random(candidates.len(), rng)?;
        Some(Route { chosen, runner_up: None, reason: "random owner" })
    }
}

/// Returns two different random indices below `count`, or the same index twice if there is only one.
fn two_random(count: usize, rng: &mut dyn Rng) -> Option<(usize, usize)> {
    if count < 2 {
        return (count == 1).then_some((0, 0));
    }
    let first = rng.random_range(0..count);
    let second = rng.random_range(0..count - 1);
    Some((first, if second >= first { second + 1 } else { second }))
}
