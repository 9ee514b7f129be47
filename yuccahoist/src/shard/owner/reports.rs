//! Reports of workers on their active and ended runs, received as answers to lease extensions.

use std::collections::BTreeSet;
use std::time::Duration;

use super::freed::Age;
use super::{Effect, Owner};
use crate::shard::id::{TaskKey, WorkerIncarnation};
use crate::shard::job::{Phase, Placement};
use crate::shard::lease::{EarlierOrders, MAX_EARLIER_ORDER_AGE};
use crate::shard::loss::WorkerFate;
use crate::shard::message::{Action, ActiveRun, OrderError, Report};
use crate::shard::run_end::EndProof;
use crate::shard::worker::{Demand, LeaseExtension, Worker};
use crate::unit::Timestamp;

/// Number of ended runs from which a report may be truncated; defined by the platform.
const MAX_REPORTED_ENDS: usize = 500;
/// Delay before the next call while ended runs are not stored; without it the worker would repeat them at once in every
/// answer.
const UNSTORED_ENDS_DELAY: Duration = Duration::from_millis(250);
/// Longest time from a stop order to the end of the run; defined by the platform.
pub(super) const MAX_STOP_TIME: Duration = Duration::from_millis(1_000);
/// Delay after a call that was not answered; short, because the call has already taken its timeout.
const UNANSWERED_CALL_DELAY: Duration = Duration::from_millis(100);

impl Owner {
    /// Handles the answer to the lease extension sent at `sent`; `wall` is in milliseconds since the Unix epoch.
    ///
    /// Only the answer to the call in flight counts. What an earlier one tells may be older than what the owner has decided since.
    pub(super) fn on_lease_answer(
        &mut self,
        now: Timestamp,
        wall: u64,
        incarnation: &WorkerIncarnation,
        sent: Timestamp,
        result: Result<Report, OrderError>,
    ) {
        let Some(worker) = self.workers.get(incarnation) else { return };
        if worker.sent_at() != Some(sent) {
            let age = now.since(sent).as_millis();
            log::info!(target: "decision", "worker worker={incarnation} outcome=outdated age_ms={age} answer={:?}", result.err());
            return;
        }
        match result {
            Ok(report) => self.on_report(now, wall, incarnation, &report),
            Err(error) => self.on_lease_error(now, incarnation, error),
        }
    }

    pub(super) fn on_lease_error(
        &mut self,
        now: Timestamp,
        incarnation: &WorkerIncarnation,
        error: OrderError,
    ) {
        if error == OrderError::Fenced {
            return self.on_fenced_extension(now, incarnation);
        }
        if error == OrderError::OtherIncarnation {
            if self.workers.get(incarnation).is_none_or(Worker::is_ended_by_other) {
                return self.replace_incarnation(now, incarnation, None, "another incarnation answered");
            }
            log::warn!(target: "decision", "worker worker={incarnation} outcome=misdirected reason=\"the entry has another address\"");
        }
        let Some(worker) = self.workers.get_mut(incarnation) else { return };
        worker.fail_extension(error == OrderError::Silent);
        worker.lease_extension = LeaseExtension::Due(now + UNANSWERED_CALL_DELAY);
        self.note_silence(now, incarnation, error);
    }

    /// Steps down if a worker has refused a lease extension of the highest generation that was sent to it: only a later owner
    /// has a higher fence. Otherwise extends the lease again.
    fn on_fenced_extension(&mut self, now: Timestamp, incarnation: &WorkerIncarnation) {
        let Some(worker) = self.workers.get_mut(incarnation) else { return };
        let newest = self.generations.get(&incarnation.id).copied().unwrap_or_default();
        if worker.called_generation == newest {
            return self.actions.push(Action::StepDown(self.epoch()));
        }
        worker.fail_extension(false);
        worker.lease_extension = LeaseExtension::Due(now);
        self.raise_generation(incarnation, newest);
    }

    /// Records that a worker no longer answers.
    pub(super) fn note_silence(
        &mut self,
        now: Timestamp,
        incarnation: &WorkerIncarnation,
        error: OrderError,
    ) {
        let Some(worker) = self.workers.get_mut(incarnation) else { return };
        if worker.is_responsive {
            worker.is_responsive = false;
            worker.silent_since = Some(now);
            log::warn!(
                target: "decision",
                "worker worker={incarnation} outcome=silent error={error:?} runs={} lease_ms={}",
                worker.runs.len(),
                worker.lease.expiry().since(now).as_millis()
            );
            self.requeue_overlapping(now, incarnation);
        }
    }

    /// Handles a report that names another incarnation than the one that was called; a later one is in place of it.
    fn on_report_of_other(
        &mut self,
        now: Timestamp,
        wall: u64,
        incarnation: &WorkerIncarnation,
        other: &WorkerIncarnation,
        report: &Report,
    ) {
        let Some(called) = self.workers.get_mut(incarnation) else { return };
        if !called.is_ended_by_other() {
            return self.on_lease_error(now, incarnation, OrderError::OtherIncarnation);
        }
        let (address, sent) = (called.called_address.clone(), called.sent_at());
        called.pending_extension = None;
        self.replace_incarnation(now, incarnation, Some(other), "report names another incarnation");
        if let (Some(worker), Some(sent)) = (self.workers.get_mut(other), sent) {
            worker.called_address = address;
            self.accept_report(now, wall, other, report, sent);
        }
    }

    /// Ends the earlier incarnations of a worker that has reported.
    fn replace_earlier(&mut self, now: Timestamp, incarnation: &WorkerIncarnation) {
        for previous in self.incarnations_of(incarnation, |other| other < incarnation.started_at) {
            self.replace_incarnation(now, &previous, Some(incarnation), "a later incarnation reported");
        }
    }

    /// Returns the incarnations of a worker whose start times `matches` holds for.
    pub(super) fn incarnations_of(
        &self,
        incarnation: &WorkerIncarnation,
        matches: impl Fn(u64) -> bool,
    ) -> Vec<WorkerIncarnation> {
        let same = self.workers.keys().filter(|i| i.id == incarnation.id && matches(i.started_at));
        same.cloned().collect()
    }

    /// Requeues tasks whose runs may overlap, so that they start elsewhere while their worker is unresponsive.
    fn requeue_overlapping(&mut self, now: Timestamp, incarnation: &WorkerIncarnation) {
        let Some(worker) = self.workers.get(incarnation) else { return };
        let runs: Vec<_> = worker.runs.keys().copied().collect();
        for (task, run) in runs {
            let key = task.step;
            let Some(job) = self.jobs.get_mut(&key.job) else { continue };
            let Some(step_spec) = job.spec.steps.get(key.step as usize) else { continue };
            if !step_spec.speculative || step_spec.gang || job.state.is_final() {
                continue;
            }
            let step = &mut job.occurrences[key.occurrence as usize][key.step as usize];
            if step.tasks[task.index as usize].losses.has_unresolved() {
                // The fate of one silent worker is awaited before the task risks a third.
                continue;
            }
            // An unconfirmed start order can still be executed, so its run keeps counting against the worker's capacity.
            let is_confirmed = |p: &Placement| matches!(p.phase, Phase::Running(_) | Phase::Inherited);
            let is_replaceable =
                |p: &mut Placement| p.run == run && p.incarnation == *incarnation && is_confirmed(p);
            if step.tasks[task.index as usize].placement.take_if(is_replaceable).is_some() {
                if job.spec.workspace.is_some() {
                    // A later owner has to count the run, which may be active until the lease of the worker expires.
                    job.displaced.insert((task, run), incarnation.clone());
                } else {
                    job.active_runs -= 1;
                }
                log::info!(target: "decision", "copy task={task} run={run} worker={incarnation} reason=\"worker is unresponsive\"");
                self.batch.progress.insert(key.job);
                self.record_loss(now, task, run, incarnation, WorkerFate::Unknown);
                self.rerank_step(now, key);
            }
        }
    }

    /// Handles a report of a worker; `wall` is in milliseconds since the Unix epoch.
    pub(super) fn on_report(
        &mut self,
        now: Timestamp,
        wall: u64,
        incarnation: &WorkerIncarnation,
        report: &Report,
    ) {
        if let Some(started_at) = report.started_at.filter(|at| *at != incarnation.started_at) {
            let other = WorkerIncarnation::new(&incarnation.id, started_at);
            return self.on_report_of_other(now, wall, incarnation, &other, report);
        }
        let Some(worker) = self.workers.get_mut(incarnation) else { return };
        let sent = worker.sent_at().unwrap_or(now);
        worker.confirmed_ack = worker.confirmed_ack.max(worker.pending_ack);
        worker.pending_ack = 0;
        worker.pending_extension = None;
        let has_fenced = worker.called_generation == worker.generation;
        self.accept_report(now, wall, incarnation, report, sent);
        if has_fenced && let Some(worker) = self.workers.get_mut(incarnation) {
            worker.fence_earlier_orders(now, self.options.max_lease);
        }
        if let Some(worker) = self.workers.get_mut(incarnation) {
            let delay = if worker.last_end > worker.acked_end { UNSTORED_ENDS_DELAY } else { Duration::ZERO };
            worker.lease_extension = LeaseExtension::Due(now + delay);
        }
    }

    /// Takes over what a worker reports in answer to a call sent at `sent`.
    fn accept_report(
        &mut self,
        now: Timestamp,
        wall: u64,
        incarnation: &WorkerIncarnation,
        report: &Report,
        sent: Timestamp,
    ) {
        if self.workers.get(incarnation).is_some_and(|w| !w.has_reported) {
            self.replace_earlier(now, incarnation);
        }
        let Some(worker) = self.workers.get_mut(incarnation) else { return };
        worker.reported_address.clone_from(&worker.called_address);
        worker.note_report(now, sent);
        worker.lease.observe(now, report.clock);
        if !worker.has_reported {
            worker.has_reported = true;
            let age = Duration::from_millis(wall.saturating_sub(incarnation.started_at));
            if worker.has_predecessor {
                worker.lease.inherit_orders(EarlierOrders::Executed, now, self.options.max_lease);
            }
            // Orders of previous owners are too old by then.
            let is_alone = !worker.has_predecessor && now > self.restored_at + MAX_EARLIER_ORDER_AGE;
            let longest = if is_alone { self.options.lease } else { self.options.max_lease };
            worker.lease.fence_inherited(now, age, self.options.lease, longest);
            self.pass_due = true;
            log::info!(
                target: "decision",
                "worker worker={incarnation} outcome=reported age_ms={} clock_ms={} predecessor={} unanswered_ms={} \
                 active={} ended={} lease_ms={} bound={}",
                Self::signed_age(wall, incarnation.started_at),
                report.clock,
                worker.has_predecessor,
                Age::since(now, worker.unanswered),
                report.active.len(),
                report.ended.len(),
                worker.lease.expiry().since(now).as_millis(),
                worker.lease.bound(),
            );
        }
        if !worker.is_responsive {
            worker.is_responsive = true;
            worker.silent_since = None;
            self.pass_due = true;
            log::info!(target: "decision", "worker worker={incarnation} outcome=answers");
        }
        self.withdraw_losses(incarnation);
        let Some(worker) = self.workers.get(incarnation) else { return };
        let previous = worker.last_end;
        let truncated = report.ended.len() >= MAX_REPORTED_ENDS;
        for end in &report.ended {
            if end.number > previous {
                self.counters.ended_runs.add(EndProof::Reported);
                self.check_end(now, incarnation, end);
                self.on_end(now, incarnation, end.task, end.run, end.kind, &end.checkpoint);
            }
        }
        let last_end = report.ended.iter().map(|e| e.number).fold(previous, u64::max);
        if last_end > previous {
            self.batch.effects.push(Effect::Acknowledge(incarnation.clone(), last_end));
        }
        let had_probation = self.workers.get(incarnation).is_some_and(Worker::has_probation);
        let mut listed = BTreeSet::new();
        for active in &report.active {
            listed.insert((active.task, active.run));
            self.check_active(now, incarnation, active.task, active.run, sent);
            self.on_active_run(now, incarnation, active);
            let Some(worker) = self.workers.get_mut(incarnation) else { continue };
            if worker.list(now, active.task, active.run) {
                self.store_settled(active.task);
            }
        }
        self.pass_due |= had_probation;
        self.observe_neighbours(now, incarnation, &report.active);
        self.pace_fillers(now, incarnation, &report.active);
        if !truncated {
            self.on_unlisted_runs(now, incarnation, sent, &listed);
        }
        if let Some(worker) = self.workers.get_mut(incarnation) {
            worker.last_end = last_end;
        }
    }

    fn on_active_run(&mut self, now: Timestamp, incarnation: &WorkerIncarnation, active: &ActiveRun) {
        let (task, run) = (active.task, active.run);
        let Some(placement) = self.placement(task, run, incarnation) else {
            return self.on_unplaced_run(now, incarnation, task, run);
        };
        if placement.percent != active.percent {
            placement.percent = active.percent;
            placement.last_progress = now;
        }
        let inherited = placement.phase == Phase::Inherited;
        if matches!(placement.phase, Phase::Starting | Phase::Unconfirmed(_) | Phase::Inherited) {
            placement.phase = Phase::Running(now);
            placement.last_progress = now;
            self.mark_running(task.step.job);
            self.withdraw_loss(task, run);
        }
        if inherited {
            self.forget_pace(task, run, incarnation);
        }
        if self.is_obsolete(task) {
            // A previous owner ended the job, and its stop order may not have arrived.
            self.stop_task(now, task);
        } else if inherited && self.is_done(task) {
            // The same for the copy of a done task. Under one owner only members of a gang are listed after its end.
            log::info!(target: "decision", "stop task={task} run={run} worker={incarnation} reason=\"not needed any more\"");
            self.stop_task(now, task);
        }
        if active.checkpoint.is_empty() {
            return;
        }
        let key = task.step;
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let gang = job.spec.steps[key.step as usize].gang;
        let step = &mut job.occurrences[key.occurrence as usize][key.step as usize];
        if step.tasks[task.index as usize].checkpoint == active.checkpoint {
            return;
        }
        if gang {
            step.tasks.iter_mut().for_each(|t| t.checkpoint.clone_from(&active.checkpoint));
        } else {
            step.tasks[task.index as usize].checkpoint.clone_from(&active.checkpoint);
        }
    }

    /// Handles a run that the records do not place on this worker. It counts against the capacity until it is gone, and is
    /// stopped unless runs of its task may overlap and the task is not done. Until then its task starts no other run.
    fn on_unplaced_run(&mut self, now: Timestamp, incarnation: &WorkerIncarnation, task: TaskKey, run: u32) {
        self.check_unplaced(now, incarnation, task, run);
        let job = self.jobs.get(&task.step.job);
        let step_spec = job.and_then(|j| j.spec.steps.get(task.step.step as usize));
        let speculative = step_spec.is_some_and(|s| s.speculative);
        let workspace = job.and_then(|j| j.spec.workspace.as_ref()).map(|w| w.name.clone());
        let known = step_spec.map(|s| Demand::of(s, workspace.clone()));
        let done = job.is_none_or(|j| j.state.is_final()) || self.is_done(task);
        if let Some(worker) = self.workers.get_mut(incarnation) {
            // The resources of a run are unknown once its job's specification is deleted; it may take up the whole worker.
            let capacity = worker.entry.capacity;
            let unknown = Demand { resources: capacity, counted: capacity, workspace, is_lasting: false };
            worker.reserve(task, run, known.unwrap_or(unknown), Some(now));
        }
        if !speculative || done {
            log::info!(target: "decision", "stop task={task} run={run} worker={incarnation} reason=\"not placed on this worker\"");
            if !done {
                self.block_task(now, incarnation, task, run);
            }
            self.send_stop(task, run, incarnation);
        }
    }

    /// Places a run that is being stopped, so that its task starts no other one, unless the task has another run.
    fn block_task(&mut self, now: Timestamp, incarnation: &WorkerIncarnation, task: TaskKey, run: u32) {
        let key = task.step;
        if self.has_unsent_run(task) {
            self.stop_task(now, task);
        }
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let steps = job.occurrences.get_mut(key.occurrence as usize);
        let step = steps.and_then(|steps| steps.get_mut(key.step as usize));
        let Some(state) = step.and_then(|step| step.tasks.get_mut(task.index as usize)) else { return };
        if state.placement.is_some() {
            return;
        }
        state.run = state.run.max(run);
        state.placement = Some(Placement {
            incarnation: incarnation.clone(),
            run,
            phase: Phase::Stopping(None),
            percent: 0,
            last_progress: now,
            measured_from: None,
        });
        job.active_runs += 1;
        self.batch.progress.insert(key.job);
        self.rerank_step(now, key);
    }

    /// Whether the start order of a task's run has not been sent.
    fn has_unsent_run(&self, task: TaskKey) -> bool {
        let key = task.step;
        let steps = self.jobs.get(&key.job).and_then(|j| j.occurrences.get(key.occurrence as usize));
        let state = steps.and_then(|s| s.get(key.step as usize)?.tasks.get(task.index as usize));
        state.and_then(|t| t.placement.as_ref()).is_some_and(|p| p.phase == Phase::Storing)
    }

    /// Returns whether the job has ended before this task was done, so that its run is no longer needed.
    pub(super) fn is_obsolete(&self, task: TaskKey) -> bool {
        self.jobs.get(&task.step.job).is_some_and(|j| j.state.is_final()) && !self.is_done(task)
    }

    pub(super) fn is_done(&self, task: TaskKey) -> bool {
        let key = task.step;
        let steps = self.jobs.get(&key.job).and_then(|j| j.occurrences.get(key.occurrence as usize));
        let tasks = steps.and_then(|s| s.get(key.step as usize)).map(|s| &s.tasks);
        tasks.and_then(|t| t.get(task.index as usize)).is_none_or(|t| t.done)
    }

    fn is_long_running(&self, task: TaskKey) -> bool {
        let step = self.jobs.get(&task.step.job).and_then(|j| j.spec.steps.get(task.step.step as usize));
        step.is_some_and(|step| step.long_running)
    }

    /// Handles the runs of a worker that its report does not list.
    fn on_unlisted_runs(
        &mut self,
        now: Timestamp,
        incarnation: &WorkerIncarnation,
        sent: Timestamp,
        listed: &BTreeSet<(TaskKey, u32)>,
    ) {
        let Some(worker) = self.workers.get(incarnation) else { return };
        let unlisted: Vec<_> = worker.runs.keys().filter(|key| !listed.contains(key)).copied().collect();
        let mut awaits_report = false;
        for (task, run) in unlisted {
            let Some(placement) = self.placement(task, run, incarnation) else {
                self.note_end(now, task, run, incarnation, EndProof::Unlisted);
                if let Some(worker) = self.workers.get_mut(incarnation) {
                    worker.release(task, run);
                }
                self.end_displaced(task, run);
                continue;
            };
            let phase = placement.phase;
            let reserved = self.workers.get(incarnation).and_then(|w| w.runs.get(&(task, run)));
            let is_started = reserved.is_none_or(|r| r.is_started);
            let is_inherited = reserved.is_some_and(|r| r.is_inherited);
            // A task that is bound to the worker does not wait until its order can't be executed any more. Others do, since one
            // that is done by then would start again.
            let is_bound = is_inherited || self.is_long_running(task);
            let may_begin = reserved.is_some_and(|r| r.may_begin_later(now)) && !is_bound;
            // The worker may not list a run that it is stopping.
            let stop_time = if is_started { MAX_STOP_TIME } else { Duration::ZERO };
            awaits_report |= !may_begin && matches!(phase, Phase::Unconfirmed(_) | Phase::Stopping(_));
            match phase {
                Phase::Storing | Phase::Starting | Phase::Stopping(None) => {}
                // Once stopped, the run can't begin on this incarnation any more.
                Phase::Unconfirmed(at) | Phase::Running(at) if at <= sent => self.stop_task(now, task),
                Phase::Stopping(Some(at)) if at + stop_time < sent && !may_begin => {
                    self.pin_task(now, task, run, incarnation);
                    self.drop_placement(now, task, run, EndProof::Stopped);
                }
                Phase::Inherited => {
                    self.pin_task(now, task, run, incarnation);
                    self.drop_placement(now, task, run, EndProof::Fenced);
                }
                Phase::Unconfirmed(_) | Phase::Running(_) | Phase::Stopping(Some(_)) => {}
            }
        }
        if let Some(worker) = self.workers.get_mut(incarnation) {
            worker.awaits_report = awaits_report;
        }
    }
}
