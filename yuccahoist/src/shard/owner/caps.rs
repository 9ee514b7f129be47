//! Caps of workspaces at the owner: what the workspaces have running, and which steps wait for room under their cap.
//!
//! The sums are computed from the runs reserved on the workers, once in a pass and once before start orders are sent. In
//! between they are only used to decide whether a recommendation is worth a call.

use std::collections::BTreeMap;

use super::Owner;
use super::recover::unlisted_entry;
use super::restarts::next_generation;
use super::schedule::{Candidates, is_eligible};
use crate::placement::policy::fitting_tasks;
use crate::shard::cap::{Cap, CapError, CappedWorkspaces, oversized_step, running_sums};
use crate::shard::id::{JobKey, StepKey, TaskKey};
use crate::shard::record::DisplacedRun;
use crate::shard::spec::{JobSpec, StepSpec};
use crate::shard::worker::{Demand, Worker};
use crate::shard::workspace::WorkspaceName;
use crate::unit::{Resources, Timestamp};

/// Room under a cap that is kept for a late gang, so that smaller steps of its workspace don't take it up.
#[derive(Debug, Clone, Copy)]
struct HeldRoom {
    gang: StepKey,
    need: Resources,
}

/// Running work of the workspaces, and the workspaces that wait for room under their cap.
#[derive(Debug, Default)]
pub(super) struct Caps {
    /// Whether any job belongs to a workspace.
    in_use: bool,
    /// Resources of the runs that may be active, when they were last summed, and of those placed since.
    running: BTreeMap<WorkspaceName, Resources>,
    held: BTreeMap<WorkspaceName, HeldRoom>,
    capped: CappedWorkspaces,
}

impl Owner {
    /// Ends a run that was displaced by another one of its task.
    pub(super) fn end_displaced(&mut self, task: TaskKey, run: u32) {
        let Some(job) = self.jobs.get_mut(&task.step.job) else { return };
        if job.displaced.remove(&(task, run)).is_some() {
            job.active_runs -= 1;
            self.batch.progress.insert(task.step.job);
        }
    }

    /// Reserves the runs that may be active on silent workers while their tasks are placed elsewhere.
    pub(super) fn restore_displaced(&mut self, now: Timestamp, key: JobKey, displaced: &[DisplacedRun]) {
        let inherited = self.inherited_expiry(now);
        let Some(job) = self.jobs.get_mut(&key) else { return };
        let workspace = job.spec.workspace.as_ref().map(|w| w.name.clone());
        for DisplacedRun { occurrence, step, index, run, incarnation } in displaced {
            let Some(spec) = job.spec.steps.get(*step as usize) else { continue };
            let task = StepKey { job: key, occurrence: *occurrence, step: *step }.task(*index);
            let placeholder = || {
                let generation = next_generation(&mut self.generations, incarnation);
                Worker::new(unlisted_entry(incarnation), generation, now, inherited)
            };
            let worker = self.workers.entry(incarnation.clone()).or_insert_with(placeholder);
            worker.unlisted_since = Some(now);
            worker.reserve(task, *run, Demand::of(spec, workspace.clone()), Some(now));
            // The runs of the task may overlap.
            worker.answer_start(task, *run);
            job.displaced.insert((task, *run), incarnation.clone());
            job.active_runs += 1;
        }
    }

    /// Turns on the sums once a job belongs to a workspace.
    pub(super) fn watch_caps(&mut self, spec: &JobSpec) {
        self.caps.in_use |= spec.workspace.is_some();
    }

    /// Whether any job belongs to a workspace.
    pub(super) fn has_caps(&self) -> bool {
        self.caps.in_use
    }

    /// Sums the runs that may be active.
    pub(super) fn sum_cap_usage(&mut self) {
        if self.caps.in_use {
            self.caps.running = running_sums(self.workers.values());
        }
    }

    /// Sums the runs that may be active, and determines the room that is kept for late gangs, at the start of a pass.
    pub(super) fn update_cap_usage(&mut self, candidates: &Candidates) {
        if !self.caps.in_use {
            return;
        }
        self.sum_cap_usage();
        self.caps.held.clear();
        for key in self.longest_waiting_gangs() {
            let Some((name, _)) = self.workspace_terms(key.job) else { continue };
            if self.caps.held.contains_key(name) || self.has_cap_room(key) {
                continue;
            }
            let name = name.clone();
            if let Some(need) = self.runnable_gang(key, candidates) {
                self.caps.held.insert(name, HeldRoom { gang: key, need });
            }
        }
    }

    /// Returns the need of a gang that its cap and the workers have room for once all tasks that end have ended.
    fn runnable_gang(&self, key: StepKey, candidates: &Candidates) -> Option<Resources> {
        let (step, (name, cap)) = (self.cap_step(key)?, self.cap_of(key.job)?);
        let service = &self.jobs.get(&key.job)?.spec.queue.service;
        let most = step.max_per_worker.unwrap_or(u32::MAX);
        let eligible = candidates.list.iter().filter(|c| is_eligible(c, service, step));
        let room = eligible
            .map(|c| u64::from(fitting_tasks(step.reserved(), self.room_beside_lasting(c)).min(most)))
            .sum::<u64>();
        let has_cap_room = cap.admitted(self.lasting_usage(name), step, step.tasks) > 0;
        let is_runnable = has_cap_room && room >= u64::from(step.tasks);
        is_runnable.then(|| step.resources.times(step.tasks))
    }

    /// Returns the sum of the lasting tasks that a workspace has running.
    fn lasting_usage(&self, name: &WorkspaceName) -> Resources {
        let demands = self.workers.values().flat_map(|w| w.runs.values()).map(|run| &run.demand);
        let lasting = demands.filter(|d| d.is_lasting && d.workspace.as_ref() == Some(name));
        lasting.fold(Resources::ZERO, |sum, demand| sum + demand.counted)
    }

    fn cap_step(&self, key: StepKey) -> Option<&StepSpec> {
        self.jobs.get(&key.job)?.spec.steps.get(key.step as usize)
    }

    /// Returns the workspace of a job and its cap.
    fn cap_of(&self, key: JobKey) -> Option<(&WorkspaceName, Cap)> {
        let (name, terms) = self.workspace_terms(key)?;
        Some((name, Cap::new(terms.cap, self.options.workspaces.overage)))
    }

    /// Returns the workspaces that had runs when they were last summed.
    pub(super) fn running_workspaces(&self) -> impl Iterator<Item = &WorkspaceName> {
        self.caps.running.keys()
    }

    /// Returns the sums of the runs that may be active.
    pub(super) fn running_usage(&self) -> &BTreeMap<WorkspaceName, Resources> {
        &self.caps.running
    }

    fn running_of(&self, name: &WorkspaceName) -> Resources {
        self.caps.running.get(name).copied().unwrap_or_default()
    }

    /// Returns how many of `tasks` waiting tasks of a step have room under the cap of their workspace; `None` as `tasks` is
    /// the least number that can start.
    fn cap_room(&self, key: StepKey, tasks: Option<u32>) -> Option<u32> {
        let (name, cap) = self.cap_of(key.job)?;
        let spec = &self.jobs.get(&key.job)?.spec;
        let step = spec.steps.get(key.step as usize)?;
        let tasks = tasks.unwrap_or(if step.gang { step.tasks } else { 1 });
        let running = self.running_of(name);
        let admitted = cap.admitted(running, step, tasks);
        // As on reserved workers, only the highest priority is placed in the room that is held for a gang.
        let held = self.caps.held.get(name).filter(|held| held.gang != key && spec.queue.priority > 0);
        Some(held.map_or(admitted, |held| admitted.min(cap.admitted(running + held.need, step, tasks))))
    }

    /// Returns how many of `tasks` waiting tasks of a step have room under the cap of their workspace.
    pub(super) fn cap_admits(&self, key: StepKey, tasks: usize) -> usize {
        let count = u32::try_from(tasks).unwrap_or(u32::MAX);
        self.cap_room(key, Some(count)).map_or(tasks, |room| room as usize)
    }

    /// Whether a task, or the whole gang, of a step has room under the cap of its workspace.
    pub(super) fn has_cap_room(&self, key: StepKey) -> bool {
        !self.caps.in_use || self.cap_room(key, None).is_none_or(|room| room > 0)
    }

    /// Adds tasks placed in this pass.
    pub(super) fn add_cap_usage(&mut self, key: StepKey, tasks: usize) {
        let Some((name, _)) = self.workspace_terms(key.job) else { return };
        let count = u32::try_from(tasks).unwrap_or(u32::MAX);
        let need = self.cap_step(key).map_or(Resources::ZERO, |s| s.resources.times(count));
        let name = name.clone();
        *self.caps.running.entry(name).or_default() += need;
    }

    /// Subtracts a placement that is dropped before its start.
    pub(super) fn subtract_cap_usage(&mut self, key: StepKey) {
        let need = self.cap_step(key).map_or(Resources::ZERO, |s| s.resources);
        let Some(name) = self.workspace_terms(key.job).map(|(name, _)| name.clone()) else { return };
        if let Some(running) = self.caps.running.get_mut(&name) {
            *running -= need;
        }
    }

    /// Whether a placed run may start under the cap in force, which may be lower than at the placement.
    pub(super) fn cap_admits_start(&self, key: StepKey) -> bool {
        self.cap_of(key.job).is_none_or(|(name, cap)| cap.admits_start(self.running_of(name)))
    }

    /// Returns why a job can never run under the cap of its workspace. The host that took the job may know a later cap than
    /// this owner, so both are considered.
    pub(super) fn cap_error(&self, spec: &JobSpec) -> Option<CapError> {
        let workspace = spec.workspace.as_ref()?;
        let table = &self.options.workspaces;
        let in_force = table.workspaces.get(&workspace.name).copied().unwrap_or(workspace.terms);
        oversized_step(spec, &[in_force, workspace.terms], table.overage)
    }

    /// Whether a job waits for the cap of another workspace than that of a new job, which it doesn't delay.
    pub(super) fn waits_for_other_cap(&self, waiting: &JobSpec, new: &JobSpec) -> bool {
        let Some(waiting) = &waiting.workspace else { return false };
        new.workspace.as_ref().is_none_or(|new| new.name != waiting.name)
            && self.caps.capped.contains(&waiting.name)
    }

    /// Records that a step waits for room under the cap of its workspace.
    pub(super) fn record_capped(&mut self, now: Timestamp, key: StepKey) {
        let Some((name, terms)) = self.workspace_terms(key.job) else { return };
        let (name, running) = (name.clone(), self.running_of(name));
        if self.caps.capped.record(now, &name) {
            log::info!(target: "decision", "workspace name={name} outcome=capped running={running} cap={}", terms.cap);
        }
    }

    /// Reports the workspaces that no longer wait for room under their cap.
    pub(super) fn expire_capped(&mut self, now: Timestamp) {
        for name in self.caps.capped.expire(now) {
            log::info!(target: "decision", "workspace name={name} outcome=room running={}", self.running_of(&name));
        }
    }
}
