//! Caps of workspaces: how much of its work a workspace may have running over all workers.
//!
//! Single tasks are planned up to the cap, gangs up to the cap plus the overage that the platform allows. Each resource is
//! checked separately. The sums come from the runs reserved on the workers.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use super::spec::{JobSpec, StepSpec};
use super::worker::Worker;
use super::workspace::{WorkspaceName, WorkspaceTerms};
use crate::unit::{Resources, Timestamp};

/// Limits of one resource; `u64::MAX` is no limit.
#[derive(Debug, Clone, Copy)]
struct Limit {
    /// Highest sum at which a single task may start.
    single: u64,
    /// Highest sum at which a gang may start.
    gang: u64,
}

impl Limit {
    fn new(cap: u64, overage: f64) -> Self {
        if cap == 0 {
            return Self { single: u64::MAX, gang: u64::MAX };
        }
        let overage = if overage.is_finite() { overage.max(0.0) } else { 0.0 };
        // The conversion saturates; rounding down keeps the limit safe.
        let gang = (cap as f64 * (1.0 + overage)) as u64;
        Self { single: cap, gang: gang.max(cap) }
    }

    /// Returns how many tasks that need `need` each have room beside `running`. Gangs may take the sum above `single`, which
    /// does not concern a task that needs nothing of the resource.
    fn room(self, running: u64, need: u64) -> u64 {
        match need {
            0 if running <= self.gang => u64::MAX,
            0 => 0,
            _ if self.single == u64::MAX => u64::MAX,
            _ => self.single.saturating_sub(running) / need,
        }
    }

    fn admits_gang(self, running: u64, need: u64) -> bool {
        running.saturating_add(need) <= self.gang
    }
}

/// Returns the amounts of the separate resources.
fn amounts(resources: Resources) -> [u64; 3] {
    [resources.cpu.0, resources.memory.0, u64::from(resources.accelerators.0)]
}

/// Cap of a workspace for sums over all workers.
#[derive(Debug, Clone, Copy)]
pub struct Cap([Limit; 3]);

impl Cap {
    /// Creates the limits of a cap, of which zero is no limit, and of the part by which gangs may exceed it.
    #[must_use]
    pub fn new(cap: Resources, overage: f64) -> Self {
        Self(amounts(cap).map(|amount| Limit::new(amount, overage)))
    }

    /// Returns how many single tasks that need `task` each may start beside `running`.
    #[must_use]
    pub fn room(&self, running: Resources, task: Resources) -> u32 {
        let rooms = self.each(running, task).map(|(limit, running, need)| limit.room(running, need));
        u32::try_from(rooms.min().unwrap_or(0)).unwrap_or(u32::MAX)
    }

    /// Whether a gang that needs `gang` in total may start beside `running`.
    #[must_use]
    pub fn admits_gang(&self, running: Resources, gang: Resources) -> bool {
        self.each(running, gang).all(|(limit, running, need)| limit.admits_gang(running, need))
    }

    /// Returns how many of `tasks` waiting tasks of a step may start beside `running`; all or none of a gang.
    #[must_use]
    pub fn admitted(&self, running: Resources, step: &StepSpec, tasks: u32) -> u32 {
        if step.gang {
            let admits = self.admits_gang(running, step.resources.times(tasks));
            return if admits { tasks } else { 0 };
        }
        self.room(running, step.resources).min(tasks)
    }

    /// Whether a run that is part of the sum `running` may start.
    #[must_use]
    pub fn admits_start(&self, running: Resources) -> bool {
        self.admits_gang(running, Resources::ZERO)
    }

    /// Whether a step could start if nothing else ran.
    #[must_use]
    pub fn can_run(&self, step: &StepSpec) -> bool {
        self.admitted(Resources::ZERO, step, step.tasks) > 0
    }

    fn each(&self, running: Resources, need: Resources) -> impl Iterator<Item = (Limit, u64, u64)> {
        let amounts = amounts(running).into_iter().zip(amounts(need));
        self.0.into_iter().zip(amounts).map(|(limit, (running, need))| (limit, running, need))
    }
}

/// Step that can never run, as it exceeds the cap of its workspace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CapError {
    step: usize,
    need: Resources,
    cap: Resources,
}

impl fmt::Display for CapError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { step, need, cap } = self;
        write!(f, "step {step} needs {need} at once, and the cap of the workspace is {cap}")
    }
}

/// Returns the first step of a job that can never run under any of the terms that may be in force.
#[must_use]
pub fn oversized_step(spec: &JobSpec, terms: &[WorkspaceTerms], overage: f64) -> Option<CapError> {
    let caps: Vec<Cap> = terms.iter().map(|t| Cap::new(t.cap, overage)).collect();
    let cap = terms.first()?.cap;
    let mut steps = spec.steps.iter().enumerate();
    let (step, oversized) = steps.find(|(_, s)| !caps.iter().any(|cap| cap.can_run(s)))?;
    let count = if oversized.gang { oversized.tasks } else { 1 };
    Some(CapError { step, need: oversized.resources.times(count), cap })
}

/// Sums the runs that may be active on the workers, by workspace.
pub fn running_sums<'w>(workers: impl Iterator<Item = &'w Worker>) -> BTreeMap<WorkspaceName, Resources> {
    let mut sums: BTreeMap<WorkspaceName, Resources> = BTreeMap::new();
    for run in workers.flat_map(|w| w.runs.values()) {
        let Some(name) = &run.demand.workspace else { continue };
        match sums.get_mut(name) {
            Some(sum) => *sum += run.demand.counted,
            None => drop(sums.insert(name.clone(), run.demand.counted)),
        }
    }
    sums
}

/// Time without waiting work after which a workspace no longer counts as capped. Work starts and ends many times a second
/// at a cap; this limits the log to two lines a second for each workspace.
const CAPPED_HOLD: Duration = Duration::from_millis(1_000);

/// Workspaces whose work waits for room under their cap, with the time at which it last did.
#[derive(Debug, Clone, Default)]
pub struct CappedWorkspaces(BTreeMap<WorkspaceName, Timestamp>);

impl CappedWorkspaces {
    /// Records that work of a workspace waits; returns whether the workspace did not count as capped before.
    pub fn record(&mut self, now: Timestamp, name: &WorkspaceName) -> bool {
        if let Some(last) = self.0.get_mut(name) {
            *last = now;
            return false;
        }
        self.0.insert(name.clone(), now);
        true
    }

    /// Whether work of a workspace waits for room under its cap.
    #[must_use]
    pub fn contains(&self, name: &WorkspaceName) -> bool {
        self.0.contains_key(name)
    }

    /// Removes and returns the workspaces that no longer count as capped.
    pub fn expire(&mut self, now: Timestamp) -> Vec<WorkspaceName> {
        let is_over = |last: &Timestamp| now.since(*last) >= CAPPED_HOLD;
        let over: Vec<_> = self.0.iter().filter(|(_, last)| is_over(last)).map(|(n, _)| n.clone()).collect();
        self.0.retain(|_, last| !is_over(last));
        over
    }
}
