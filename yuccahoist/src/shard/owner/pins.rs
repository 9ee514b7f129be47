//! Tasks that are bound to a worker, because an earlier start order may still be executed there.
//!
//! An order that was not answered may be executed for a limited time, and it names its worker by the id only. An incarnation
//! that has answered an order with a higher fence refuses it; the next one, after a crash, does not until it has answered
//! one too. That a run is over on one incarnation therefore proves nothing about the next. Until no incarnation can execute
//! the order any more, its task is placed only on incarnations of that worker that refuse it: two runs of the task can then
//! be active at once on no two workers, and the worker's next report shows a run that was started late.
//!
//! The records name the pinned tasks for the next owner, since an answer to the next order of a task says nothing about an
//! earlier one.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::Owner;
use crate::shard::id::{JobKey, StepKey, TaskKey, WorkerIncarnation};
use crate::shard::lease::{MAX_ORDER_DELAY, MAX_TIMER_DELAY, MIN_CLOCK_RATE};
use crate::shard::record::PinnedTask;
use crate::shard::worker::Worker;
use crate::unit::Timestamp;

/// Why a task is bound to a worker.
#[derive(Debug, Clone, Copy)]
struct Pin {
    /// Highest number of a run whose start order may be executed late.
    run: u32,
    /// Until when it may be executed.
    until: Timestamp,
}

/// Where a pinned task may start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Binding {
    /// On the incarnation of its worker that refuses the earlier order.
    Worker(WorkerIncarnation),
    /// Nowhere yet.
    Awaited,
}

/// Pinned tasks, by task and worker id.
#[derive(Debug, Default)]
pub(super) struct Pins(BTreeMap<(TaskKey, Arc<str>), Pin>);

impl Pins {
    fn of_task(&self, task: TaskKey) -> impl Iterator<Item = (&Arc<str>, Pin)> {
        let pins = self.0.range((task, Arc::from(""))..).take_while(move |((of, _), _)| *of == task);
        pins.map(|((_, worker), pin)| (worker, *pin))
    }

    fn of_job(&self, job: JobKey) -> impl Iterator<Item = (TaskKey, &Arc<str>, Pin)> {
        let first = StepKey { job, occurrence: 0, step: 0 }.task(0);
        let pins = self.0.range((first, Arc::from(""))..).take_while(move |((t, _), _)| t.step.job == job);
        pins.map(|((task, worker), pin)| (*task, worker, *pin))
    }

    fn insert(&mut self, task: TaskKey, worker: &Arc<str>, pin: Pin) {
        let known = self.0.entry((task, worker.clone())).or_insert(pin);
        *known = Pin { run: known.run.max(pin.run), until: known.until.max(pin.until) };
    }

    /// Returns the pinned tasks of a job as they are stored.
    pub(super) fn stored(&self, job: JobKey) -> Vec<PinnedTask> {
        self.of_job(job).map(|(task, worker, pin)| PinnedTask::new(task, pin.run, worker)).collect()
    }

    /// Returns the steps that have a pinned task.
    pub(super) fn steps(&self) -> impl Iterator<Item = StepKey> {
        self.0.keys().map(|(task, _)| task.step)
    }
}

impl Owner {
    /// Binds the task of a run to its worker if a later incarnation may still execute the start order.
    pub(super) fn pin_task(
        &mut self,
        now: Timestamp,
        task: TaskKey,
        run: u32,
        incarnation: &WorkerIncarnation,
    ) {
        let reserved = self.workers.get(incarnation).and_then(|w| w.runs.get(&(task, run)));
        let until = reserved.and_then(|r| r.begins_later_until()).filter(|until| now < *until);
        let is_needed =
            !self.is_done(task) && !self.is_obsolete(task) && self.may_overlap(task) == Some(false);
        let Some(until) = until.filter(|_| is_needed) else { return };
        log::info!(
            target: "decision",
            "pin task={task} run={run} worker={incarnation} epoch={} for_ms={}",
            self.epoch(),
            until.since(now).as_millis()
        );
        self.counters.pinned_tasks += 1;
        self.pins.insert(task, &incarnation.id, Pin { run, until });
        self.batch.progress.insert(task.step.job);
    }

    /// Restores the pinned tasks of a job.
    pub(super) fn restore_pins(&mut self, now: Timestamp, job: JobKey, pinned: &[PinnedTask]) {
        let until = now + MAX_ORDER_DELAY;
        for PinnedTask { occurrence, step, index, run, worker } in pinned {
            let task = StepKey { job, occurrence: *occurrence, step: *step }.task(*index);
            self.pins.insert(task, &Arc::from(worker.as_str()), Pin { run: *run, until });
        }
    }

    /// Returns where a task may start; `None` if it is not pinned.
    pub(super) fn binding(&self, task: TaskKey) -> Option<Binding> {
        let mut ids = self.pins.of_task(task).map(|(id, _)| id);
        let id = ids.next()?;
        // Losses of one worker after the other say little of the task if it can start nowhere else.
        let is_suspect = self.task(task).is_some_and(|t| t.losses.probation().is_some());
        if ids.next().is_some() || is_suspect {
            return Some(Binding::Awaited);
        }
        let latest = self.workers.iter().rfind(|(incarnation, _)| incarnation.id == *id);
        let is_open = |worker: &Worker| worker.has_fenced && worker.task_runs(task).next().is_none();
        let open = latest.filter(|(_, worker)| is_open(worker));
        Some(open.map_or(Binding::Awaited, |(incarnation, _)| Binding::Worker(incarnation.clone())))
    }

    /// Whether a run that was freed may be started late on a worker, for which its task waits.
    pub(super) fn may_start_late(&self, task: TaskKey, run: u32, worker: &str) -> bool {
        self.pins.of_task(task).any(|(id, pin)| **id == *worker && run <= pin.run) && !self.is_done(task)
    }

    /// Releases the tasks whose earlier order no incarnation can execute any more, and whose worker has reported since or
    /// whose run would have lost its lease.
    pub(super) fn release_pins(&mut self, now: Timestamp) {
        let lease = self.options.max_lease.div_f64(MIN_CLOCK_RATE) + MAX_TIMER_DELAY;
        let workers = &self.workers;
        let has_reported = |id: &str, until: Timestamp| {
            workers.iter().any(|(i, w)| *i.id == *id && w.has_reported && w.last_report >= until)
        };
        let is_over = |id: &str, pin: &Pin| {
            now >= pin.until && (now >= pin.until + lease || has_reported(id, pin.until))
        };
        for ((task, worker), pin) in self.pins.0.extract_if(.., |(_, id), pin| is_over(id, pin)) {
            log::info!(target: "decision", "unpin task={task} run={} worker={worker}", pin.run);
            // The next write tells the next owner.
            if self.jobs.get(&task.step.job).is_some_and(|j| !j.state.is_final()) {
                self.begun.insert(task.step.job);
            }
            self.pass_due = true;
        }
    }
}
