//! Shares of workspaces at the owner: which jobs are entitled, who is above its share, and who may preempt whom.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::Owner;
use super::schedule::Candidates;
use crate::shard::admission::ExcessLoad;
use crate::shard::fair_share::{Standing, Standings};
use crate::shard::id::JobKey;
use crate::shard::job::Job;
use crate::shard::spec::JobSpec;
use crate::shard::workspace::WorkspaceName;
use crate::unit::{Resources, Timestamp};

/// Weight of a workspace that has runs, but no waiting work and no entry in the configuration in force.
const DEFAULT_WEIGHT: f64 = 1.0;

/// Workspaces with metrics of their own; bounds the number of time series.
const REPORTED_WORKSPACES: usize = 10;
/// Label of the sum of all other workspaces.
const OTHER_WORKSPACES: &str = "other";

/// Work of a workspace, for metrics.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WorkspaceStatus {
    /// Name; `other` for the sum of the workspaces beyond the ten largest.
    pub name: String,
    /// CPU of the runs that may be active, thousandths of a core.
    pub running_cpu: u64,
    /// Jobs with a step that waits for placement.
    pub waiting_jobs: u64,
    /// Jobs refused since this host became the owner.
    pub refused_jobs: u64,
}

/// Claim of a gang to the room of running tasks.
#[derive(Debug, Clone, Copy)]
pub(super) struct PreemptionClaim {
    pub(super) priority: u32,
    is_excess: bool,
    standing: Standing,
    /// Whether only tasks that yield to all others may be preempted.
    pub(super) from_yielding: bool,
}

/// Returns the log field of a job's workspace, with a leading space; empty without a workspace.
pub(super) fn workspace_field(spec: &JobSpec) -> String {
    spec.workspace.as_ref().map(|w| format!(" workspace={}", w.name)).unwrap_or_default()
}

impl Owner {
    /// Whether a new job is beyond the rate that its workspace is entitled to; counts it if not. Jobs without a workspace are
    /// entitled.
    pub(super) fn is_excess(&mut self, now: Timestamp, key: JobKey, spec: &JobSpec) -> bool {
        let Some(workspace) = spec.workspace.as_ref().filter(|_| !self.refused.is_entitled(key)) else {
            return false;
        };
        let in_force = self.options.workspaces.workspaces.get(&workspace.name).copied();
        let weight = in_force.unwrap_or(workspace.terms).weight;
        !self.entitlements.admit(now, &workspace.name, weight, &self.options.workspaces)
    }

    /// Returns the backlog of a workspace that submits a job beyond its rate.
    pub(super) fn excess_load(&self, name: &WorkspaceName) -> ExcessLoad {
        let is_own = |job: &Job| job.spec.workspace.as_ref().is_some_and(|w| w.name == *name);
        let own = self.waiting_jobs(|_, job| is_own(job));
        let own_work = own.map(|j| j.plan.work).fold(0, u64::saturating_add);
        ExcessLoad { own_work, refused: self.refusals.get(name).copied().unwrap_or_default() }
    }

    /// Counts a refused job of a workspace.
    pub(super) fn count_refusal(&mut self, spec: &JobSpec) {
        if let Some(workspace) = &spec.workspace {
            *self.refusals.entry(workspace.name.clone()).or_default() += 1;
        }
    }

    /// Updates the work of the ten largest workspaces by running CPU, and of the others together.
    pub(super) fn update_workspace_status(&mut self) {
        if !self.has_caps() {
            return;
        }
        let mut all: BTreeMap<&WorkspaceName, WorkspaceStatus> = BTreeMap::new();
        for (name, running) in self.running_usage() {
            all.entry(name).or_default().running_cpu = running.cpu.0;
        }
        for (name, refused) in &self.refusals {
            all.entry(name).or_default().refused_jobs = *refused;
        }
        // Steps are ordered by job, so steps of one job follow each other.
        let mut last = None;
        for job in self.ready.keys().map(|key| key.job) {
            let Some((name, _)) = self.workspace_terms(job).filter(|_| last != Some(job)) else { continue };
            all.entry(name).or_default().waiting_jobs += 1;
            last = Some(job);
        }
        let named =
            all.into_iter().map(|(name, status)| WorkspaceStatus { name: name.to_string(), ..status });
        let mut list: Vec<WorkspaceStatus> = named.collect();
        list.sort_by_key(|s| std::cmp::Reverse((s.running_cpu, s.waiting_jobs, s.refused_jobs)));
        let others = list.split_off(list.len().min(REPORTED_WORKSPACES));
        if !others.is_empty() {
            let sum = |field: fn(&WorkspaceStatus) -> u64| others.iter().map(field).sum();
            list.push(WorkspaceStatus {
                name: OTHER_WORKSPACES.into(),
                running_cpu: sum(|s| s.running_cpu),
                waiting_jobs: sum(|s| s.waiting_jobs),
                refused_jobs: sum(|s| s.refused_jobs),
            });
        }
        self.workspace_status = list.into();
    }

    /// Returns the work of the workspaces; at most 11 entries, updated with the checks of progress.
    #[must_use]
    pub fn workspace_status(&self) -> Arc<[WorkspaceStatus]> {
        self.workspace_status.clone()
    }

    /// Determines at the start of a pass which workspaces are above their share.
    pub(super) fn update_standings(&mut self, candidates: &Candidates) {
        if !self.has_caps() {
            return;
        }
        let table = &self.options.workspaces.workspaces;
        let in_force = |name: &WorkspaceName| table.get(name).map(|terms| terms.weight);
        let mut weights: BTreeMap<WorkspaceName, f64> = BTreeMap::new();
        for name in self.running_workspaces() {
            weights.insert(name.clone(), in_force(name).unwrap_or(DEFAULT_WEIGHT));
        }
        for (name, step) in self.ready.workspaces() {
            let weight = self.workspace_terms(step.job).map_or(DEFAULT_WEIGHT, |(_, terms)| terms.weight);
            weights.insert(name.clone(), weight);
        }
        let capacity = candidates.list.iter().fold(Resources::ZERO, |sum, c| sum + c.capacity);
        self.standings = Standings::new(self.running_usage(), &weights, capacity);
    }

    fn standing(&self, job: &Job) -> Standing {
        self.standings.of(job.spec.workspace.as_ref().map(|w| &w.name))
    }

    /// Returns the claims of a job's gangs, in the order in which they are tried.
    pub(super) fn preemption_claims(&self, job: &Job) -> Vec<PreemptionClaim> {
        let claim = |from_yielding| PreemptionClaim {
            priority: job.spec.queue.priority,
            is_excess: job.is_excess,
            standing: self.standing(job),
            from_yielding,
        };
        let first = self.has_caps().then(|| claim(true));
        first.into_iter().chain([claim(false)]).collect()
    }

    /// Whether a claim goes before the running tasks of a job.
    pub(super) fn may_preempt(&self, claim: &PreemptionClaim, running: &Job) -> bool {
        let yields = running.is_excess || self.standing(running) == Standing::Above;
        (yields || !claim.from_yielding)
            && (claim.is_excess, claim.standing) <= (running.is_excess, self.standing(running))
    }
}
