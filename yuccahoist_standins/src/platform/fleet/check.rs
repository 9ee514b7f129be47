//! Checks of orders and of reported states against the scheduling invariants.

use super::super::order::{HoldReply, StartOrder, Step, tasks};
use super::worker::Worker;
use super::{Fleet, job_and_step, step_id};

/// Time after an acknowledged cancel in which tasks of the job may still start.
const CANCEL_GRACE_MS: u64 = 3_000;
/// Time after a delayed order in which starts of cancelled jobs are not checked, as the order may predate the cancel.
const DELAYED_ORDER_GRACE_MS: u64 = 15_000;

impl Fleet {
    /// Checks a job state that was reported to a client against the runs so far.
    pub fn check_reported_state(&mut self, job: &str, state: &str) {
        let Some(known) = self.jobs.get(job) else { return };
        let is_done = |(step, spec): (usize, &Step)| {
            let step = u32::try_from(step).unwrap_or(u32::MAX);
            tasks(job, step, spec.task_count).iter().all(|task| self.done_tasks.contains(task))
        };
        let completed = known.submission.steps.iter().enumerate().all(is_done);
        let exhausted = self
            .acknowledged_failures
            .iter()
            .any(|(task, failures)| task.starts_with(job) && *failures >= known.submission.attempts);
        match state {
            "completed" if !completed => {
                self.violations
                    .push(format!("job {job} is reported as completed before all its tasks are done"));
            }
            "failed" if !exhausted => self.violations.push(format!("job {job} failed with attempts left")),
            _ => {}
        }
    }

    /// Records an end that was acknowledged before the lease expired.
    pub(super) fn acknowledge_end(&mut self, task: &str, end_kind: &str, ended_at: u64) {
        let Some((job, step)) = job_and_step(task) else { return };
        let Some(known) = self.jobs.get(job) else { return };
        let Some(spec) = known.submission.steps.get(step) else { return };
        let (is_exclusive, job) = (!spec.speculative, job.to_owned());
        match end_kind {
            "done" if spec.gang_scheduled => {
                let step = u32::try_from(step).unwrap_or(u32::MAX);
                self.acknowledged_tasks.extend(tasks(&job, step, spec.task_count));
            }
            "done" => {
                self.acknowledged_tasks.insert(task.into());
            }
            "failed" => {
                let owner = if spec.gang_scheduled { step_id(task) } else { task.to_owned() };
                *self.acknowledged_failures.entry(owner).or_default() += 1;
            }
            _ => {}
        }
        if end_kind == "done"
            && is_exclusive
            && self.last_starts.get(task).is_some_and(|start| *start > ended_at)
        {
            self.violations.push(format!("task {task} has started after its acknowledged end"));
        }
    }

    /// Checks a start against the invariants, and returns the step of the task; `None` for an unknown task.
    pub(super) fn check_start(&mut self, id: &str, order: &StartOrder) -> Option<Step> {
        let task = &order.task_id;
        let mut violations = Vec::new();
        let known = job_and_step(task).and_then(|(job, step)| Some((job, self.jobs.get(job)?, step)));
        let Some((job, known, spec)) =
            known.and_then(|(job, known, step)| Some((job, known, known.submission.steps.get(step)?)))
        else {
            self.violations.push(format!("start of task {task} on {id}, which belongs to no submitted job"));
            return None;
        };
        let spec = spec.clone();
        if order.specification != known.submission.text {
            violations.push("with a specification that was not submitted".into());
        }
        let no_recent_delay =
            self.last_delayed_order == 0 || self.now > self.last_delayed_order + DELAYED_ORDER_GRACE_MS;
        if no_recent_delay && known.cancelled_at.is_some_and(|at| self.now > at + CANCEL_GRACE_MS) {
            violations.push("beyond the grace period after its job was cancelled".into());
        }
        if !spec.speculative {
            if self.acknowledged_tasks.contains(task) {
                violations.push("after its acknowledged end".into());
            }
            let is_running = |w: &Worker| w.is_up && w.runs.keys().any(|(other, _)| other == task);
            if let Some((other, _)) = self.workers.iter().find(|(_, w)| is_running(w)) {
                violations.push(format!("while it runs on {other}"));
            }
            let owner = if spec.gang_scheduled { step_id(task) } else { task.clone() };
            if self
                .acknowledged_failures
                .get(&owner)
                .is_some_and(|failed| *failed >= known.submission.attempts)
            {
                violations.push("after its last attempt".into());
            }
        }
        for after in &spec.after {
            let count = known.submission.steps.get(*after as usize).map_or(0, |s| s.task_count);
            if !tasks(job, *after, count).iter().all(|predecessor| self.done_tasks.contains(predecessor)) {
                violations.push(format!("before step {after} is done"));
            }
        }
        let checkpoint = &order.last_checkpoint;
        let owner = if spec.gang_scheduled { step_id(task) } else { task.clone() };
        if !checkpoint.is_empty()
            && !self.checkpoints.get(&owner).is_some_and(|known| known.contains(checkpoint))
        {
            violations.push(format!("from checkpoint {checkpoint:?}, which none of its runs reported"));
        }
        if let Some(worker) = self.workers.get(id) {
            let (cpu_millis, memory_mb) = worker.runs.values().fold((0, 0), |(cpu_millis, memory_mb), r| {
                (cpu_millis + r.cpu_millis, memory_mb + r.memory_mb)
            });
            let cpu_request = if spec.fill_ratio { 0 } else { spec.cpu_request };
            if cpu_millis + cpu_request > worker.spec.cpu_millis
                || memory_mb + spec.mem_mb > worker.spec.memory_mb
            {
                violations.push(format!("on {id} beyond its capacity"));
            }
            let step = step_id(task);
            let present = worker.runs.keys().filter(|(other, _)| step_id(other) == step).count();
            if spec.anti_affinity > 0 && present >= spec.anti_affinity as usize {
                violations.push(format!("on {id} beside {present} tasks of its step"));
            }
            let label = &spec.requirements;
            if !label.is_empty() && !worker.spec.labels.contains(label) {
                violations.push(format!("on {id} without the label {label}"));
            }
        }
        self.violations
            .extend(violations.into_iter().map(|violation| format!("task {task} starts {violation}")));
        Some(spec)
    }

    /// Records the checkpoints in a reply that is sent; only these may be resumed.
    pub fn record_checkpoints(&mut self, reply: &HoldReply) {
        let active = reply.active_runs.iter().map(|(task, _, checkpoint, ..)| (task, checkpoint));
        let ended = reply.ended_runs.iter().map(|(_, task, _, _, checkpoint)| (task, checkpoint));
        for (task, checkpoint) in active.chain(ended).filter(|(_, checkpoint)| !checkpoint.is_empty()) {
            for owner in [task.clone(), step_id(task)] {
                self.checkpoints.entry(owner).or_default().insert(checkpoint.clone());
            }
        }
    }
}
