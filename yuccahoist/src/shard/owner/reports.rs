//! Reports of workers.

use std::collections::BTreeSet;
use std::time::Duration;

use super::{Effect, Owner};
use crate::shard::id::{Life, TaskName};
use crate::shard::job::{Phase, Placement};
use crate::shard::message::{ActiveRun, OrderError, Report};
use crate::shard::worker::Hold;
use crate::unit::{Resources, Timestamp};

/// Ends in one report beyond which the list may be cut.
const LIST_LIMIT: usize = 500; // Given by the platform.
/// Pause before the next call while ends wait for the store.
const STORE_WAIT: Duration = Duration::from_millis(250); // The worker would answer at once, again and again.
/// Pause after a call that was not answered.
const SILENT_WAIT: Duration = Duration::from_millis(100); // The call itself took its time limit already.

impl Owner {
    pub(super) fn on_hold_error(&mut self, now: Timestamp, life: &Life, error: OrderError) {
        if self.deposed(error) {
            return;
        }
        if error == OrderError::OtherLife {
            return self.life_over(now, life, "another incarnation answered");
        }
        let Some(worker) = self.workers.get_mut(life) else { return };
        worker.hold = Hold::Due(now + SILENT_WAIT);
        if worker.answers {
            worker.answers = false;
            log::warn!(
                target: "decision",
                "worker worker={life} outcome=silent error={error:?} runs={} lease_ms={}",
                worker.runs.len(),
                worker.lease.expiry().since(now).as_millis()
            );
            self.copy_elsewhere(now, life);
        }
    }

    /// Lets tasks whose runs may overlap start elsewhere while their worker is silent.
    fn copy_elsewhere(&mut self, now: Timestamp, life: &Life) {
        let Some(worker) = self.workers.get(life) else { return };
        let runs: Vec<_> = worker.runs.keys().copied().collect();
        for (task, run) in runs {
            let key = task.step;
            let Some(job) = self.jobs.get_mut(&key.job) else { continue };
            let Some(shape) = job.spec.steps.get(key.step as usize) else { continue };
            if !shape.copies || shape.gang || job.state.is_final() {
                continue;
            }
            let step = &mut job.occurrences[key.occurrence as usize][key.step as usize];
            // An unconfirmed order could still be executed and has to count against the worker's capacity.
            let confirmed = |p: &Placement| matches!(p.phase, Phase::Running(_) | Phase::Inherited);
            let matches = |p: &mut Placement| p.run == run && p.life == *life && confirmed(p);
            if step.tasks[task.index as usize].place.take_if(matches).is_some() {
                job.live -= 1;
                log::info!(target: "decision", "copy task={task} run={run} worker={life} reason=\"worker is silent\"");
                self.batch.progress.insert(key.job);
                self.refresh(now, key);
            }
        }
    }

    pub(super) fn on_report(&mut self, now: Timestamp, life: &Life, report: &Report) {
        if report.born.is_some_and(|born| born != life.born) {
            return self.life_over(now, life, "the report names another start");
        }
        let Some(worker) = self.workers.get_mut(life) else { return };
        let sent = match worker.hold {
            Hold::Asked(at) => at,
            Hold::Due(_) => now,
        };
        worker.reported = sent;
        worker.lease.observe(now, report.clock);
        if !worker.heard {
            worker.heard = true;
            worker.lease.confirm();
            self.changed = true;
        }
        if !worker.answers {
            worker.answers = true;
            self.changed = true;
            log::info!(target: "decision", "worker worker={life} outcome=answers");
        }
        let before = worker.received;
        let cut = report.ended.len() >= LIST_LIMIT;
        for end in &report.ended {
            if end.number > before {
                self.on_end(now, life, end.task, end.run, end.kind, &end.saved);
            }
        }
        let received = report.ended.iter().map(|e| e.number).fold(before, u64::max);
        if received > before {
            self.batch.effects.push(Effect::Release(life.clone(), received));
        }
        let mut listed = BTreeSet::new();
        for active in &report.active {
            listed.insert((active.task, active.run));
            self.on_active(now, life, active);
        }
        self.pace_fillers(now, life, &report.active);
        if !cut {
            self.on_absent(now, life, sent, &listed);
        }
        if let Some(worker) = self.workers.get_mut(life) {
            worker.received = received;
            let wait = if worker.received > worker.stored { STORE_WAIT } else { Duration::ZERO };
            worker.hold = Hold::Due(now + wait);
        }
    }

    fn on_active(&mut self, now: Timestamp, life: &Life, active: &ActiveRun) {
        let (task, run) = (active.task, active.run);
        let Some(place) = self.placement(task, run, life) else { return self.on_foreign(life, task, run) };
        if place.percent != active.percent {
            place.percent = active.percent;
            place.moved = now;
        }
        let inherited = place.phase == Phase::Inherited;
        if matches!(place.phase, Phase::Starting | Phase::Unsure(_) | Phase::Inherited) {
            place.phase = Phase::Running(now);
            place.moved = now;
            self.begun(task.step.job);
        }
        if inherited {
            self.forget_pace(task, run, life);
        }
        if self.is_over(task) {
            // A previous owner ended the job and its order to stop may not have arrived.
            self.stop(task);
        }
        if active.saved.is_empty() {
            return;
        }
        let key = task.step;
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let gang = job.spec.steps[key.step as usize].gang;
        let step = &mut job.occurrences[key.occurrence as usize][key.step as usize];
        if step.tasks[task.index as usize].saved == active.saved {
            return;
        }
        if gang {
            step.tasks.iter_mut().for_each(|t| t.saved.clone_from(&active.saved));
        } else {
            step.tasks[task.index as usize].saved.clone_from(&active.saved);
        }
    }

    /// A run that the records do not place on this worker: it counts until it is gone, and is stopped.
    fn on_foreign(&mut self, life: &Life, task: TaskName, run: u32) {
        let job = self.jobs.get(&task.step.job);
        let shape = job.and_then(|j| j.spec.steps.get(task.step.step as usize));
        let (need, copies) = shape.map_or((Resources::ZERO, false), |s| (s.reserved(), s.copies));
        let done = job.is_none_or(|j| j.state.is_final()) || self.is_done(task);
        if let Some(worker) = self.workers.get_mut(life) {
            worker.occupy(task, run, need);
        }
        if !copies || done {
            log::info!(target: "decision", "stop task={task} run={run} worker={life} reason=\"not placed there\"");
            self.order_stop(task, run, life);
        }
    }

    /// Whether a job has ended without this task, so that its run is of no use.
    fn is_over(&self, task: TaskName) -> bool {
        self.jobs.get(&task.step.job).is_some_and(|j| j.state.is_final()) && !self.is_done(task)
    }

    fn is_done(&self, task: TaskName) -> bool {
        let key = task.step;
        let steps = self.jobs.get(&key.job).and_then(|j| j.occurrences.get(key.occurrence as usize));
        let tasks = steps.and_then(|s| s.get(key.step as usize)).map(|s| &s.tasks);
        tasks.and_then(|t| t.get(task.index as usize)).is_none_or(|t| t.done)
    }

    /// Runs that a report should list and does not.
    fn on_absent(
        &mut self,
        now: Timestamp,
        life: &Life,
        sent: Timestamp,
        listed: &BTreeSet<(TaskName, u32)>,
    ) {
        let Some(worker) = self.workers.get(life) else { return };
        let absent: Vec<_> = worker.runs.keys().filter(|key| !listed.contains(key)).copied().collect();
        for (task, run) in absent {
            let Some(place) = self.placement(task, run, life) else {
                if let Some(worker) = self.workers.get_mut(life) {
                    worker.free(task, run);
                }
                continue;
            };
            match place.phase {
                Phase::Recording | Phase::Starting | Phase::Stopping(None) => {}
                Phase::Unsure(at) if at < sent => self.stop(task),
                Phase::Running(at) | Phase::Stopping(Some(at)) if at < sent => {
                    self.drop_place(now, task, run);
                }
                Phase::Inherited => self.drop_place(now, task, run),
                Phase::Unsure(_) | Phase::Running(_) | Phase::Stopping(Some(_)) => {}
            }
        }
    }
}
