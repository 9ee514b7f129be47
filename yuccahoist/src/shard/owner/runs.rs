//! Placed runs: results of start and stop orders, ends of runs, and their consequences for the step and the job.

use std::time::Duration;

use super::restarts::Removed;
use super::{Effect, Owner};
use crate::shard::id::{JobKey, StepKey, TaskKey, WorkerIncarnation};
use crate::shard::job::{Phase, Placement};
use crate::shard::loss::WorkerFate;
use crate::shard::message::{Action, EndKind, OrderError};
use crate::shard::record::JobState;
use crate::shard::run_end::EndProof;
use crate::unit::Timestamp;

/// Isolation of a worker that refused a start order; such a worker keeps refusing for seconds.
const REFUSAL_ISOLATION: Duration = Duration::from_millis(1_000);
/// Delay before a stop order is repeated; less than the time that a worker takes to stop a run.
const STOP_RETRY_DELAY: Duration = Duration::from_millis(150);

impl Owner {
    /// Returns the placement of a task if it is for run `run` on `incarnation`.
    pub(super) fn placement(
        &mut self,
        task: TaskKey,
        run: u32,
        incarnation: &WorkerIncarnation,
    ) -> Option<&mut Placement> {
        let key = task.step;
        let step = self.jobs.get_mut(&key.job)?.occurrences.get_mut(key.occurrence as usize)?;
        let task = step.get_mut(key.step as usize)?.tasks.get_mut(task.index as usize)?;
        task.placement.as_mut().filter(|p| p.run == run && p.incarnation == *incarnation)
    }

    pub(super) fn on_started(
        &mut self,
        now: Timestamp,
        task: TaskKey,
        run: u32,
        incarnation: &WorkerIncarnation,
        result: Result<(), OrderError>,
    ) {
        if !matches!(result, Err(OrderError::Silent | OrderError::Old)) {
            self.answer_start(task, run, incarnation);
        }
        let Some(placement) = self.placement(task, run, incarnation).filter(|p| p.phase == Phase::Starting)
        else {
            return;
        };
        match result {
            Ok(()) => {
                placement.phase = Phase::Running(now);
                placement.last_progress = now;
                self.measure_run(now, task, run, incarnation);
                if let Some(worker) = self.workers.get_mut(incarnation) {
                    worker.confirm_start(task, run);
                }
                self.accept_ticket(task.step, incarnation);
                self.mark_running(task.step.job);
                self.store_settled(task);
                self.pace_started_filler(now, task, run, incarnation);
                return;
            }
            // A refusal as old may answer a copy of an order that was executed.
            Err(error @ (OrderError::Silent | OrderError::Old)) => {
                placement.phase = Phase::Unconfirmed(now);
                if let Some(worker) = self.workers.get_mut(incarnation) {
                    worker.time_out_start(now, task, run);
                }
                log::info!(target: "decision", "start task={task} run={run} worker={incarnation} outcome={error:?}");
                return;
            }
            Err(error @ OrderError::OtherClock) => {
                placement.phase = Phase::Unconfirmed(now);
                log::info!(target: "decision", "start task={task} run={run} worker={incarnation} outcome={error:?}");
                return self.suspect_restart(now, task, run, incarnation);
            }
            Err(error) => {
                log::info!(target: "decision", "start task={task} run={run} worker={incarnation} outcome={error:?}");
                if self.step_down_if_fenced(incarnation, error) {
                    return;
                }
                match error {
                    OrderError::OtherIncarnation => {
                        return self.replace_incarnation(
                            now,
                            incarnation,
                            None,
                            "another incarnation answered",
                        );
                    }
                    OrderError::Ticket => self.expire_ticket(task.step, incarnation),
                    _ => {
                        if let Some(worker) = self.workers.get_mut(incarnation) {
                            worker.health.isolate(now, REFUSAL_ISOLATION);
                        }
                    }
                }
            }
        }
        self.drop_placement(now, task, run, EndProof::Refused);
    }

    /// Marks a queued job as running once its first task has started.
    pub(super) fn mark_running(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get_mut(&key).filter(|j| j.state == JobState::Queued) else { return };
        job.state = JobState::Running;
        job.visible_state = JobState::Running;
        // A later owner must not show the job as queued again.
        self.begun.insert(key);
        let queue = job.spec.queue.name.clone();
        self.adjust_queued_jobs(&queue, -1);
    }

    /// Tells the next owner, with the next write, that the start order of a task is not executed late.
    pub(super) fn store_settled(&mut self, task: TaskKey) {
        let Some(job) = self.jobs.get(&task.step.job) else { return };
        let step = job.spec.steps.get(task.step.step as usize);
        if step.is_some_and(|step| job.spec.follows_starts(step)) {
            self.begun.insert(task.step.job);
        }
    }

    /// Removes the placement of a run that is over, or never began, on `proof`.
    pub(super) fn drop_placement(&mut self, now: Timestamp, task: TaskKey, run: u32, proof: EndProof) {
        let Some(job) = self.jobs.get_mut(&task.step.job) else { return };
        let step = &mut job.occurrences[task.step.occurrence as usize][task.step.step as usize];
        let task_state = &mut step.tasks[task.index as usize];
        let Some(placement) = task_state.placement.take_if(|p| p.run == run) else { return };
        job.active_runs -= 1;
        self.note_end(now, task, run, &placement.incarnation, proof);
        if let Some(worker) = self.workers.get_mut(&placement.incarnation) {
            worker.release(task, run);
        }
        self.stop_retries.remove(&(task, run));
        self.batch.progress.insert(task.step.job);
        self.stop_gang(now, task.step);
        self.rerank_step(now, task.step);
        self.settle_job(now, task.step.job);
    }

    /// Stops the remaining members of a gang that has lost one; does nothing for other steps.
    fn stop_gang(&mut self, now: Timestamp, key: StepKey) {
        let Some(job) = self.jobs.get(&key.job) else { return };
        if !job.spec.steps[key.step as usize].gang {
            return;
        }
        let step = &job.occurrences[key.occurrence as usize][key.step as usize];
        if step.complete() {
            return;
        }
        let members = (0u32..).zip(&step.tasks).filter(|(_, t)| t.placement.is_some());
        let members: Vec<TaskKey> = members.map(|(index, _)| key.task(index)).collect();
        for member in members {
            self.stop_task(now, member);
        }
    }

    /// Stops the placed run of a task; if its start order was not sent yet, removes the placement.
    pub(super) fn stop_task(&mut self, now: Timestamp, task: TaskKey) {
        let key = task.step;
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let task_state =
            &mut job.occurrences[key.occurrence as usize][key.step as usize].tasks[task.index as usize];
        let Some(placement) = task_state.placement.as_mut() else { return };
        match placement.phase {
            Phase::Stopping(_) => return,
            Phase::Storing => {
                let run = placement.run;
                let incarnation = placement.incarnation.clone();
                task_state.placement = None;
                job.active_runs -= 1;
                if let Some(worker) = self.workers.get_mut(&incarnation) {
                    worker.release(task, run);
                }
                self.batch.progress.insert(key.job);
                self.note_end(now, task, run, &incarnation, EndProof::NotSent);
                return;
            }
            _ => placement.phase = Phase::Stopping(None),
        }
        let (incarnation, run) = (placement.incarnation.clone(), placement.run);
        self.send_stop(task, run, &incarnation);
    }

    /// Sends a stop order; before the registry has listed the worker, the order is left to the next check.
    pub(super) fn send_stop(&mut self, task: TaskKey, run: u32, incarnation: &WorkerIncarnation) {
        let Some(worker) = self.workers.get(incarnation) else { return };
        if worker.entry.address.is_empty() {
            self.stop_retries.insert((task, run), Timestamp::ZERO);
            return;
        }
        let address = worker.entry.address.clone();
        let generation = worker.generation;
        self.actions.push(Action::Stop { incarnation: incarnation.clone(), generation, address, task, run });
    }

    pub(super) fn on_stopped(
        &mut self,
        now: Timestamp,
        task: TaskKey,
        run: u32,
        incarnation: &WorkerIncarnation,
        result: Result<(), OrderError>,
    ) {
        match result {
            Err(error) if self.step_down_if_fenced(incarnation, error) => return,
            // Whether the worker has ended is left to its lease extension, whose address is known.
            Err(error) => {
                log::info!(target: "decision", "stop task={task} run={run} worker={incarnation} outcome={error:?}");
                self.stop_retries.insert((task, run), now + STOP_RETRY_DELAY);
                return;
            }
            Ok(()) => {}
        }
        if let Some(placement) = self.placement(task, run, incarnation)
            && placement.phase == Phase::Stopping(None)
        {
            placement.phase = Phase::Stopping(Some(now));
        }
    }

    /// Repeats stop orders that were not answered.
    pub(super) fn retry_stops(&mut self, now: Timestamp) {
        let due: Vec<_> =
            self.stop_retries.iter().filter(|(_, at)| **at <= now).map(|(key, _)| *key).collect();
        for (task, run) in due {
            self.stop_retries.remove(&(task, run));
            let key = task.step;
            let placement = self.jobs.get(&key.job).and_then(|job| {
                let step = job.occurrences.get(key.occurrence as usize)?.get(key.step as usize)?;
                step.tasks.get(task.index as usize)?.placement.clone()
            });
            if let Some(placement) = placement.filter(|p| p.run == run && p.phase == Phase::Stopping(None)) {
                self.send_stop(task, run, &placement.incarnation);
            }
        }
    }

    /// Handles the end of a run, reported by its worker or implied by the loss of the worker.
    pub(super) fn on_end(
        &mut self,
        now: Timestamp,
        incarnation: &WorkerIncarnation,
        task: TaskKey,
        run: u32,
        kind: EndKind,
        checkpoint: &str,
    ) {
        if kind == EndKind::Done {
            self.observe_end(now, incarnation, task, run);
        }
        if let Some(worker) = self.workers.get_mut(incarnation) {
            worker.release(task, run);
            match kind {
                EndKind::Done => worker.health.succeeded(),
                EndKind::Failed => worker.health.failed(now, task.step.job),
                _ => {}
            }
        }
        self.pass_due = true;
        self.stop_retries.remove(&(task, run));
        self.end_displaced(task, run);
        let freed = match self.placement(task, run, incarnation) {
            Some(_) => String::new(),
            None => format!(" {}", self.free_fields(now, task, run)),
        };
        let key = task.step;
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let spec = job.spec.clone();
        let Some(step_spec) = spec.steps.get(key.step as usize) else { return };
        let Some(step) =
            job.occurrences.get_mut(key.occurrence as usize).and_then(|o| o.get_mut(key.step as usize))
        else {
            return;
        };
        let Some(task_state) = step.tasks.get_mut(task.index as usize) else { return };
        let is_current =
            task_state.placement.take_if(|p| p.run == run && p.incarnation == *incarnation).is_some();
        if is_current {
            job.active_runs -= 1;
        }
        // A failure also counts if the task was started elsewhere before the worker reconnected.
        let failed = kind == EndKind::Failed && run <= task_state.run && !step_spec.long_running;
        let exhausted =
            failed && step.record_failure(step_spec, task.index, run) >= spec.queue.max_failures as usize;
        if failed {
            self.counters.failed += 1;
            self.batch.progress.insert(key.job);
        }
        let task_state = &mut step.tasks[task.index as usize];
        // Once its end is acknowledged, a task that is done must not start again, whichever run has completed it.
        let completes =
            kind == EndKind::Done && !step_spec.long_running && !task_state.done && run <= task_state.run;
        if !is_current && !completes {
            log::info!(target: "decision", "end task={task} run={run} worker={incarnation} kind={kind:?} outcome=stale{freed}");
            if exhausted {
                self.finish_job(now, key.job, JobState::Failed);
            }
            return;
        }
        let late = if is_current { "" } else { " outcome=late" };
        log::info!(target: "decision", "end task={task} run={run} worker={incarnation} kind={kind:?}{late}{freed}");
        if !checkpoint.is_empty() {
            task_state.checkpoint = checkpoint.to_owned();
        }
        match kind {
            EndKind::Done if step_spec.long_running => {}
            EndKind::Done => {
                self.counters.done += 1;
                if step_spec.gang {
                    // The end of the first member stands for all.
                    if !step.complete() {
                        (0..step_spec.tasks).for_each(|index| step.mark_done(index));
                    }
                } else {
                    step.mark_done(task.index);
                }
            }
            EndKind::Lapsed => self.counters.lost += 1,
            EndKind::Failed | EndKind::Stopped | EndKind::Broken | EndKind::Alone => {}
        }
        if step_spec.gang && kind != EndKind::Done && !step.complete() && !checkpoint.is_empty() {
            step.tasks.iter_mut().for_each(|t| checkpoint.clone_into(&mut t.checkpoint));
        }
        self.batch.progress.insert(key.job);
        if !is_current {
            self.stop_done_tasks(now, key);
        }
        if exhausted {
            self.finish_job(now, key.job, JobState::Failed);
        }
        self.advance_job(now, key);
    }

    /// Stops the runs of a step's tasks that another run has completed.
    fn stop_done_tasks(&mut self, now: Timestamp, key: StepKey) {
        let steps = self.jobs.get(&key.job).and_then(|j| j.occurrences.get(key.occurrence as usize));
        let Some(step) = steps.and_then(|steps| steps.get(key.step as usize)) else { return };
        let placed = (0u32..).zip(&step.tasks).filter(|(_, task)| task.done && task.placement.is_some());
        let placed: Vec<TaskKey> = placed.map(|(index, _)| key.task(index)).collect();
        for task in placed {
            log::info!(target: "decision", "stop task={task} reason=\"another run has completed it\"");
            self.stop_task(now, task);
        }
    }

    fn advance_job(&mut self, now: Timestamp, key: StepKey) {
        let Some(job) = self.jobs.get(&key.job) else { return };
        let complete = job.occurrences[key.occurrence as usize][key.step as usize].complete();
        if job.state.is_final() {
            return self.settle_job(now, key.job);
        }
        if complete {
            if job.complete() {
                return self.finish_job(now, key.job, JobState::Completed);
            }
            self.rerank_dependents(now, key);
        } else {
            self.stop_gang(now, key);
            self.rerank_step(now, key);
        }
    }

    /// Ends a job and stops its runs.
    pub(super) fn finish_job(&mut self, now: Timestamp, key: JobKey, state: JobState) {
        let Some(job) = self.jobs.get_mut(&key) else { return };
        if job.state.is_final() {
            return;
        }
        let was_queued = job.state == JobState::Queued;
        let queue = job.spec.queue.name.clone();
        job.state = state;
        let mut placed = Vec::new();
        for (occurrence, steps) in (0u32..).zip(&job.occurrences) {
            for (step, step_state) in (0u32..).zip(steps) {
                let step_key = StepKey { job: key, occurrence, step };
                let tasks = (0u32..).zip(&step_state.tasks).filter(|(_, t)| t.placement.is_some() && !t.done);
                placed.extend(tasks.map(|(index, _)| step_key.task(index)));
            }
        }
        if was_queued {
            self.adjust_queued_jobs(&queue, -1);
        }
        for task in placed {
            self.stop_task(now, task);
        }
        self.batch.progress.insert(key);
        self.batch.effects.push(Effect::Publish(key));
        self.rerank_job(now, key);
        self.settle_job(now, key);
    }

    /// Queues the final record of a finished job, which also drops its specification, once none of its runs is left.
    fn settle_job(&mut self, _now: Timestamp, key: JobKey) {
        if let Some(job) = self.jobs.get(&key)
            && job.state.is_final()
            && job.active_runs == 0
            && !job.spec_deleted
        {
            self.batch.progress.insert(key);
        }
    }

    /// Removes a worker incarnation that has ended; its runs are lost.
    pub(super) fn end_incarnation(
        &mut self,
        now: Timestamp,
        incarnation: &WorkerIncarnation,
        fate: WorkerFate,
        proof: EndProof,
        reason: &str,
    ) {
        let Some(worker) = self.workers.get(incarnation) else { return };
        log::info!(target: "decision", "worker worker={incarnation} outcome=over runs={} fate={fate} reason={reason:?}", worker.runs.len());
        if fate == WorkerFate::Crashed {
            self.counters.crashed_workers += 1;
        }
        if worker.is_called() {
            let last = worker.last_unanswered();
            let removed = Removed { started_at: incarnation.started_at, at: now, unanswered: last };
            self.removed.insert(incarnation.id.clone(), removed);
            self.pass_on_orders(now, incarnation, last);
        }
        self.lose_runs(now, incarnation, fate, proof);
        self.workers.remove(incarnation);
    }
}
