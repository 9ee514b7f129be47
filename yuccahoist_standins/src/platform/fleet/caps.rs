//! Caps of workspaces by version of the configuration, against which each start is checked.
//!
//! A start is a violation if it takes what its workspace has running over all workers above the cap, plus the overage and
//! one task more, under every version that may be in force.

use std::collections::BTreeMap;

use super::super::order::Step;
use super::{Fleet, job_and_step};

/// Part by which a workspace may exceed its cap, as in the settings of the hosts.
const OVERAGE: f64 = 0.1;
/// Time after its replacement in which a version may still be in force: a change must reach every host within 3 s.
const IN_FORCE_MS: u64 = 3_000;

/// Limit of what a workspace may have running over all workers; 0 is no limit, for each resource separately.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WorkspaceCap {
    /// CPU, thousandths of a core.
    pub cpu_millis: u64,
    /// Memory, MB.
    pub memory_mb: u64,
}

/// Caps by workspace in one version of the configuration.
pub type CapTable = BTreeMap<String, WorkspaceCap>;

/// Versions of the caps, each with the time of its publication, oldest first.
#[derive(Debug, Default)]
pub(super) struct CapHistory(Vec<(u64, CapTable)>);

impl CapHistory {
    /// Returns the caps of a workspace in the versions that may have been in force at some time since `since`.
    fn in_force(&self, workspace: &str, since: u64) -> Vec<WorkspaceCap> {
        let replaced = self.0.iter().skip(1).map(|(at, _)| *at).chain([u64::MAX]);
        let tables =
            self.0.iter().zip(replaced).filter(|(_, until)| until.saturating_add(IN_FORCE_MS) >= since);
        tables.filter_map(|((_, table), _)| table.get(workspace).copied()).collect()
    }
}

/// Whether a sum exceeds a cap by more than the overage and one task.
fn exceeds(cap: u64, sum: u64, task: u64) -> bool {
    cap > 0 && sum as f64 > cap as f64 * (1.0 + OVERAGE) + task as f64
}

/// Whether a step can never run under a cap.
fn is_oversized(cap: WorkspaceCap, step: &Step) -> bool {
    let count = if step.gang_scheduled { u64::from(step.task_count) } else { 1 };
    let factor = if step.gang_scheduled { 1.0 + OVERAGE } else { 1.0 };
    let exceeds = |cap: u64, need: u64| cap > 0 && (need * count) as f64 > cap as f64 * factor;
    exceeds(cap.cpu_millis, step.cpu_request) || exceeds(cap.memory_mb, step.mem_mb)
}

impl Fleet {
    /// Records the caps of a new version of the configuration; must come before the version is published.
    pub fn record_caps(&mut self, caps: CapTable) {
        self.caps.0.push((self.now, caps));
    }

    /// Whether a step of a job exceeds the cap of its workspace by itself, under a version that may have been in force
    /// since `since`.
    #[must_use]
    pub fn may_be_oversized(&self, job: &str, since: u64) -> bool {
        let Some(job) = self.jobs.get(job) else { return false };
        let Some(workspace) = &job.submission.workspace else { return false };
        let caps = self.caps.in_force(workspace, since);
        caps.into_iter().any(|cap| job.submission.steps.iter().any(|step| is_oversized(cap, step)))
    }

    /// Returns the CPU and the memory that a workspace has running over all workers. Fillers count with their request.
    #[must_use]
    pub fn running_of(&self, workspace: &str) -> (u64, u64) {
        let tasks = self.workers.values().flat_map(|w| w.runs.keys()).map(|(task, _)| task);
        let steps = tasks.filter_map(|task| {
            let (job, step) = job_and_step(task)?;
            let submission = &self.jobs.get(job)?.submission;
            let is_own = submission.workspace.as_deref() == Some(workspace);
            submission.steps.get(step).filter(|_| is_own)
        });
        steps.fold((0, 0), |(cpu, memory), step| (cpu + step.cpu_request, memory + step.mem_mb))
    }

    /// Checks a start, whose order arrived at `received`, against the caps that may have been in force then or since.
    pub(super) fn check_caps(&mut self, task: &str, spec: &Step, received: u64) {
        let job = job_and_step(task).and_then(|(job, _)| self.jobs.get(job));
        let Some(workspace) = job.and_then(|job| job.submission.workspace.as_deref()) else { return };
        let caps = self.caps.in_force(workspace, received);
        let (cpu, memory) = self.running_of(workspace);
        let (cpu, memory) = (cpu + spec.cpu_request, memory + spec.mem_mb);
        let exceeds_cpu = |cap: &WorkspaceCap| exceeds(cap.cpu_millis, cpu, spec.cpu_request);
        let exceeds_memory = |cap: &WorkspaceCap| exceeds(cap.memory_mb, memory, spec.mem_mb);
        // The highest cap counts, for each resource separately.
        if !caps.is_empty() && (caps.iter().all(exceeds_cpu) || caps.iter().all(exceeds_memory)) {
            let text = format!(
                "task {task} starts beyond the cap of workspace {workspace}: {cpu} thousandths of a core and {memory} MB \
                 at {} ms, caps {caps:?}",
                self.now
            );
            self.violations.push(text);
        }
    }
}
