//! Shares of workspaces: which jobs a workspace is entitled to, and which workspaces use more than their fair share.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::workspace::{QuotaWindow, WorkspaceName, WorkspaceTable};
use crate::share::weight_share;
use crate::unit::{Resources, Timestamp};

/// Longest span of a weight below one: one job a minute, the lowest rate in the requirements.
const MAX_ENTITLEMENT_SPAN: Duration = Duration::from_secs(60);
/// Most times kept for a workspace, 16 KB; a workspace sends about 100 jobs a second at most.
const MAX_TIMES: usize = 1_000;
/// Width of the groups in which times are kept for weights above [`MAX_TIMES`]: the span divided by that number.
const GROUP_WIDTH: Duration = Duration::from_millis(1);

/// Entitled jobs of each workspace in the last span.
///
/// At most the jobs of the [`QuotaWindow`] in any span are entitled; beyond 1,000 the span is exact to 1 ms. Jobs beyond that
/// aren't counted, so that a workspace that floods the cell keeps what it is entitled to. Where that is less than one job in
/// a span, a weight entitles to one job in 1 / `weight` seconds.
#[derive(Debug, Clone, Default)]
pub struct EntitlementMeter(BTreeMap<WorkspaceName, VecDeque<(Timestamp, u32)>>);

impl EntitlementMeter {
    /// Whether a job that a workspace of `weight` sends at `now` is entitled; counts it if so.
    pub fn admit(
        &mut self,
        now: Timestamp,
        name: &WorkspaceName,
        weight: f64,
        table: &WorkspaceTable,
    ) -> bool {
        let allowed = table.quota.jobs(weight, table.overage);
        let times = self.0.entry(name.clone()).or_default();
        let span = entitlement_span(weight, &table.quota);
        while times.front().is_some_and(|(at, _)| now.since(*at) >= span) {
            times.pop_front();
        }
        if times.iter().map(|(_, count)| u64::from(*count)).sum::<u64>() >= allowed {
            return false;
        }
        match times.back_mut() {
            Some((at, count)) if allowed > MAX_TIMES as u64 && now.since(*at) < GROUP_WIDTH => *count += 1,
            _ => times.push_back((now, 1)),
        }
        true
    }

    /// Forgets workspaces whose jobs are older than any span.
    pub fn expire(&mut self, now: Timestamp) {
        self.0.retain(|_, times| times.back().is_some_and(|(at, _)| now.since(*at) < MAX_ENTITLEMENT_SPAN));
    }
}

fn entitlement_span(weight: f64, quota: &QuotaWindow) -> Duration {
    let jobs = weight * quota.span.as_secs_f64() + quota.slack;
    if jobs >= 1.0 || !weight.is_finite() || weight <= 0.0 {
        return quota.span;
    }
    Duration::try_from_secs_f64(1.0 / weight).map_or(MAX_ENTITLEMENT_SPAN, |s| s.min(MAX_ENTITLEMENT_SPAN))
}

/// Use of the fleet by a workspace, compared with its fair share.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// At most the fair share.
    #[default]
    Below,
    /// More than the fair share.
    Above,
}

/// Standings of the workspaces that have work waiting or running.
#[derive(Debug, Clone, Default)]
pub struct Standings(BTreeMap<WorkspaceName, Standing>);

impl Standings {
    /// Determines the standings from what the workspaces of `weights`, which all have work, use of `capacity`.
    #[must_use]
    pub fn new(
        usage: &BTreeMap<WorkspaceName, Resources>,
        weights: &BTreeMap<WorkspaceName, f64>,
        capacity: Resources,
    ) -> Self {
        let sum: f64 = weights.values().sum();
        let standing = |(name, weight): (&WorkspaceName, &f64)| {
            let used = usage.get(name).map_or(0.0, |used| dominant_share(*used, capacity));
            let is_above = used > weight_share(*weight, sum - weight);
            (name.clone(), if is_above { Standing::Above } else { Standing::Below })
        };
        Self(weights.iter().map(standing).collect())
    }

    /// Returns the standing of a workspace; jobs without one count as below their share.
    #[must_use]
    pub fn of(&self, name: Option<&WorkspaceName>) -> Standing {
        name.and_then(|name| self.0.get(name)).copied().unwrap_or_default()
    }
}

/// Returns the largest share that `used` has of any resource of `capacity`.
fn dominant_share(used: Resources, capacity: Resources) -> f64 {
    let share = |used: u64, capacity: u64| if used == 0 { 0.0 } else { used as f64 / capacity.max(1) as f64 };
    let accelerators = share(used.accelerators.0.into(), capacity.accelerators.0.into());
    share(used.cpu.0, capacity.cpu.0).max(share(used.memory.0, capacity.memory.0)).max(accelerators)
}
