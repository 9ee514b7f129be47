//! Runs that are lost with their worker, and tasks that are given up because they crash their workers.

use std::collections::BTreeSet;

use super::Owner;
use crate::shard::id::{JobKey, TaskKey, WorkerIncarnation};
use crate::shard::job::Task;
use crate::shard::loss::{Loss, WorkerFate};
use crate::shard::message::{EndKind, WorkerEntry};
use crate::shard::record::{JobState, TaskLoss};
use crate::shard::run_end::EndProof;
use crate::shard::worker::ReservedRun;
use crate::unit::Timestamp;

/// Runs of a lost worker that may be unreachable only.
#[derive(Debug)]
pub(super) struct Unresolved {
    address: String,
    runs: BTreeSet<(TaskKey, u32)>,
}

impl Unresolved {
    fn new(address: &str) -> Self {
        Self { address: address.to_owned(), runs: BTreeSet::new() }
    }
}

impl Owner {
    /// Ends the runs of a lost worker; if its lease has expired, apart from those that a later incarnation may have.
    pub(super) fn lose_runs(
        &mut self,
        now: Timestamp,
        incarnation: &WorkerIncarnation,
        fate: WorkerFate,
        proof: EndProof,
    ) {
        let Some(worker) = self.workers.get(incarnation) else { return };
        let (reported, longest) = (worker.last_report, self.options.max_lease);
        let is_over =
            |run: &ReservedRun| proof != EndProof::Lapsed || !run.may_outlast(now, reported, longest);
        let runs = worker.runs.iter().filter(|(_, run)| is_over(run));
        let runs: Vec<_> = runs.map(|(key, run)| (*key, run.clone())).collect();
        let beside = worker.runs.len().saturating_sub(1);
        let silent_since = worker.silent_since.unwrap_or(now);
        for ((task, run), reserved) in &runs {
            let age = reserved.age_at(silent_since).as_millis();
            log::info!(
                target: "decision",
                "lost task={task} run={run} worker={incarnation} fate={fate} started={} age_ms={age} beside={beside}",
                reserved.is_started,
            );
            self.note_end(now, *task, *run, incarnation, proof);
            self.record_loss(now, *task, *run, incarnation, fate);
        }
        for ((task, run), _) in runs {
            self.on_end(now, incarnation, task, run, EndKind::Lapsed, "");
            self.give_up_if_conclusive(now, task);
        }
        match fate {
            WorkerFate::Crashed => self.confirm_crash(now, incarnation),
            WorkerFate::Left => self.withdraw_losses(incarnation),
            WorkerFate::Unknown => {}
        }
    }

    /// Records that a worker was lost under a run, unless the run certainly never started.
    pub(super) fn record_loss(
        &mut self,
        now: Timestamp,
        task: TaskKey,
        run: u32,
        incarnation: &WorkerIncarnation,
        fate: WorkerFate,
    ) {
        let Some(worker) = self.workers.get(incarnation) else { return };
        let Some(reserved) = worker.runs.get(&(task, run)).filter(|r| r.ordered_at.is_some()) else { return };
        let silent_since = worker.silent_since.unwrap_or(now);
        let at_start = reserved.is_at_start(silent_since);
        let mut others = worker.runs.iter().filter(|((other, _), _)| other.step.job != task.step.job);
        let loss = Loss {
            incarnation: incarnation.clone(),
            address: worker.entry.address.clone(),
            age: reserved.age_at(silent_since),
            at_start,
            is_started: reserved.is_started,
            is_sole: others.all(|(_, other)| at_start && !other.is_at_start(silent_since)),
            is_crash: fate == WorkerFate::Crashed,
        };
        if fate == WorkerFate::Left {
            return;
        }
        let Some(job) = self.jobs.get(&task.step.job).filter(|j| !j.state.is_final()) else { return };
        let long_running = job.spec.steps.get(task.step.step as usize).is_some_and(|s| s.long_running);
        let Some(state) = self.task_mut(task).filter(|t| !t.done) else { return };
        let address = loss.address.clone();
        state.losses.record(run, loss, long_running);
        self.batch.progress.insert(task.step.job);
        if fate == WorkerFate::Unknown {
            self.unresolved
                .entry(incarnation.clone())
                .or_insert_with(|| Unresolved::new(&address))
                .runs
                .insert((task, run));
        }
    }

    fn take_unresolved(&mut self, incarnation: &WorkerIncarnation) -> BTreeSet<(TaskKey, u32)> {
        self.unresolved.remove(incarnation).map(|unresolved| unresolved.runs).unwrap_or_default()
    }

    fn task_mut(&mut self, task: TaskKey) -> Option<&mut Task> {
        let key = task.step;
        let steps = self.jobs.get_mut(&key.job)?.occurrences.get_mut(key.occurrence as usize)?;
        steps.get_mut(key.step as usize)?.tasks.get_mut(task.index as usize)
    }

    /// Handles the proof that a lost worker has crashed.
    fn confirm_crash(&mut self, now: Timestamp, incarnation: &WorkerIncarnation) {
        for (task, run) in self.take_unresolved(incarnation) {
            let Some(state) = self.task_mut(task) else { continue };
            state.losses.confirm(run);
            self.batch.progress.insert(task.step.job);
            self.give_up_if_conclusive(now, task);
        }
    }

    /// Handles the registration of a worker: lost ones that started earlier with its id or address have crashed.
    pub(super) fn confirm_crashes_before(&mut self, now: Timestamp, entry: &WorkerEntry) {
        let incarnation = &entry.incarnation;
        let is_replaced = |lost: &WorkerIncarnation, unresolved: &Unresolved| {
            (lost.id == incarnation.id || unresolved.address == entry.address)
                && lost.started_at < incarnation.started_at
        };
        let replaced = self.unresolved.iter().filter(|(lost, unresolved)| is_replaced(lost, unresolved));
        let replaced: Vec<_> = replaced.map(|(lost, _)| lost.clone()).collect();
        for lost in replaced {
            self.confirm_crash(now, &lost);
        }
    }

    /// Withdraws the losses of a worker that was only unreachable, or has left.
    pub(super) fn withdraw_losses(&mut self, incarnation: &WorkerIncarnation) {
        for (task, run) in self.take_unresolved(incarnation) {
            let Some(state) = self.task_mut(task) else { continue };
            state.losses.withdraw(run);
            self.batch.progress.insert(task.step.job);
            self.pass_due = true;
        }
    }

    /// Withdraws the loss of a run that is active after all.
    pub(super) fn withdraw_loss(&mut self, task: TaskKey, run: u32) {
        if self.task_mut(task).is_some_and(|state| state.losses.withdraw(run)) {
            self.batch.progress.insert(task.step.job);
        }
    }

    /// Drops the losses of jobs that have ended.
    pub(super) fn forget_losses(&mut self) {
        let jobs = &self.jobs;
        let is_open = |key: &JobKey| jobs.get(key).is_some_and(|j| !j.state.is_final());
        self.unresolved.retain(|_, unresolved| {
            unresolved.runs.retain(|(task, _)| is_open(&task.step.job));
            !unresolved.runs.is_empty()
        });
    }

    /// Fails the job of a task that crashes its workers.
    pub(super) fn give_up_if_conclusive(&mut self, now: Timestamp, task: TaskKey) {
        let Some(state) = self.task_mut(task).filter(|t| t.losses.is_conclusive() && !t.done) else { return };
        let losses: Vec<_> = state.losses.iter().collect();
        let crashes = losses.iter().filter(|(_, loss)| loss.is_crash).count();
        let (count, run) = (losses.len(), state.run);
        if self.jobs.get(&task.step.job).is_none_or(|j| j.state.is_final()) {
            return;
        }
        log::warn!(target: "decision", "give-up task={task} run={run} crashes={crashes} losses={count}");
        self.counters.given_up += 1;
        self.finish_job(now, task.step.job, JobState::Failed);
    }

    /// Puts the inherited run of a task under suspicion on probation again.
    fn restore_probation(&mut self, task: TaskKey) {
        let Some(state) = self.task_mut(task) else { return };
        let Some((age, placement)) = state.losses.probation().zip(state.placement.clone()) else { return };
        if let Some(worker) = self.workers.get_mut(&placement.incarnation) {
            worker.put_on_probation(task, placement.run, age);
        }
    }

    /// Restores the losses of a job's tasks.
    pub(super) fn restore_losses(&mut self, now: Timestamp, job: JobKey, losses: &[TaskLoss]) {
        let mut tasks = BTreeSet::new();
        for stored in losses {
            let step = crate::shard::id::StepKey { job, occurrence: stored.occurrence, step: stored.step };
            let task = step.task(stored.index);
            let Some(state) = self.task_mut(task) else { continue };
            state.losses.record(stored.run, stored.loss.clone(), false);
            if !stored.loss.is_crash {
                let unresolved = self.unresolved.entry(stored.loss.incarnation.clone());
                let unresolved = unresolved.or_insert_with(|| Unresolved::new(&stored.loss.address));
                unresolved.runs.insert((task, stored.run));
            }
            tasks.insert(task);
        }
        for task in tasks {
            self.restore_probation(task);
            self.give_up_if_conclusive(now, task);
        }
    }
}
