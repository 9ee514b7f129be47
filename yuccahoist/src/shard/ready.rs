//! Steps that wait for placement, in the order of their rank, by workspace.
//!
//! The standing of a workspace changes with each run, so it is no part of the ranks. A pass merges the ordered steps of the
//! workspaces instead, which compares one step of each.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use super::fair_share::{Standing, Standings};
use super::id::{JobKey, StepKey};
use super::order::{Rank, Timeliness};
use super::workspace::WorkspaceName;
use crate::unit::Timestamp;

/// Workspace, and whether the steps are urgent: urgent steps of a workspace above its share don't wait for its others.
type Group = (Option<WorkspaceName>, bool);

/// Waiting steps.
#[derive(Debug, Default)]
pub struct ReadySteps {
    ranks: BTreeMap<StepKey, (Rank, Group)>,
    groups: BTreeMap<Group, BTreeSet<(Rank, StepKey)>>,
}

impl ReadySteps {
    /// Whether no step waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.ranks.is_empty()
    }

    /// Whether a step waits.
    #[must_use]
    pub fn contains(&self, key: StepKey) -> bool {
        self.ranks.contains_key(&key)
    }

    /// Adds a step of a workspace.
    pub fn insert(&mut self, key: StepKey, rank: Rank, workspace: Option<&WorkspaceName>) {
        self.remove(key);
        let group = (workspace.cloned(), rank.is_urgent);
        self.groups.entry(group.clone()).or_default().insert((rank, key));
        self.ranks.insert(key, (rank, group));
    }

    /// Removes a step.
    pub fn remove(&mut self, key: StepKey) {
        let Some((rank, group)) = self.ranks.remove(&key) else { return };
        let Some(steps) = self.groups.get_mut(&group) else { return };
        steps.remove(&(rank, key));
        if steps.is_empty() {
            self.groups.remove(&group);
        }
    }

    /// Returns the steps, by key.
    pub fn keys(&self) -> impl Iterator<Item = &StepKey> {
        self.ranks.keys()
    }

    /// Returns the steps with their ranks, by workspace and rank.
    pub fn iter(&self) -> impl Iterator<Item = &(Rank, StepKey)> {
        self.groups.values().flatten()
    }

    /// Returns the workspaces that have waiting steps, each with its first step.
    pub fn workspaces(&self) -> impl Iterator<Item = (&WorkspaceName, StepKey)> {
        let first = |steps: &BTreeSet<(Rank, StepKey)>| steps.first().map(|(_, key)| *key);
        self.groups.iter().filter_map(move |((name, _), steps)| Some((name.as_ref()?, first(steps)?)))
    }

    /// Returns the steps that were ranked as in time, and whose deadline has passed.
    #[must_use]
    pub fn stale(&self, now: Timestamp) -> Vec<StepKey> {
        let first_step = StepKey { job: JobKey(0), occurrence: 0, step: 0 };
        let in_time = |is_excess, key| {
            (Rank { is_excess, timeliness: Timeliness::InTime, key, is_urgent: false }, first_step)
        };
        let passed = |is_excess| in_time(is_excess, 0)..in_time(is_excess, now.as_micros());
        let ranges = |steps| [false, true].map(|e| BTreeSet::range(steps, passed(e)));
        self.groups.values().flat_map(ranges).flatten().map(|(_, key)| *key).collect()
    }

    /// Returns at most `count` steps in the order in which they are placed.
    #[must_use]
    pub fn ordered(&self, standings: &Standings, count: usize) -> Vec<StepKey> {
        let mut rest: Vec<_> =
            self.groups.iter().map(|(group, s)| (standings.of(group.0.as_ref()), s.iter())).collect();
        let mut heads = BinaryHeap::new();
        let mut ordered = Vec::new();
        let mut advance = |heads: &mut BinaryHeap<_>, index: usize| {
            let (standing, steps): &mut (Standing, _) = &mut rest[index];
            if let Some((rank, key)) = steps.next() {
                heads.push(Reverse((rank.with_standing(*standing), *key, index)));
            }
        };
        (0..self.groups.len()).for_each(|index| advance(&mut heads, index));
        while let Some(Reverse((_, key, index))) = heads.pop().filter(|_| ordered.len() < count) {
            ordered.push(key);
            advance(&mut heads, index);
        }
        ordered
    }
}
