//! Pacing of filler tasks, which use the processors that the serving tasks on their worker leave idle.

use super::Owner;
use crate::shard::id::{TaskKey, WorkerIncarnation};
use crate::shard::message::{Action, ActiveRun, OrderError};
use crate::shard::pacing::{FULL_SPEED_PERCENT, Pace};
use crate::shard::spec::StepSpec;
use crate::unit::Timestamp;

impl Owner {
    fn step_spec(&self, task: TaskKey) -> Option<&StepSpec> {
        self.jobs.get(&task.step.job)?.spec.steps.get(task.step.step as usize)
    }

    /// Sets the pace of the filler tasks on a worker from the tail latencies of the serving tasks that it reports.
    pub(super) fn pace_fillers(
        &mut self,
        now: Timestamp,
        incarnation: &WorkerIncarnation,
        active: &[ActiveRun],
    ) {
        let is_filler = |run: &&ActiveRun| self.step_spec(run.task).is_some_and(|s| s.is_filler);
        let fillers: Vec<(TaskKey, u32)> = active.iter().filter(is_filler).map(|r| (r.task, r.run)).collect();
        if fillers.is_empty() {
            return;
        }
        let percent_of_target = |run: &ActiveRun| {
            let target = u64::try_from(self.step_spec(run.task)?.tail_target?.as_millis()).ok()?;
            run.load.saturating_mul(100).checked_div(target)
        };
        let tail = active.iter().filter_map(percent_of_target).max();
        let Some(worker) = self.workers.get_mut(incarnation) else { return };
        let pace = worker.pace.next_pace(now, tail);
        worker.pace_limit = worker.pace_limit.next_pace(now, tail);
        if pace != worker.pace {
            log::info!(
                target: "decision",
                "pace worker={incarnation} fillers={} tail_percent={tail:?} before={} share={}",
                fillers.len(),
                worker.pace.percent,
                pace.percent
            );
            worker.pace = pace;
        }
        let percent = worker.filler_speed();
        for (task, run) in fillers {
            if !worker.runs.contains_key(&(task, run)) {
                continue;
            }
            // Workers start runs at full speed.
            let last_ordered = worker.ordered_paces.entry((task, run)).or_insert(Some(FULL_SPEED_PERCENT));
            if *last_ordered == Some(percent) {
                continue;
            }
            *last_ordered = Some(percent);
            let address = worker.entry.address.clone();
            self.actions.push(Action::SetPace {
                incarnation: incarnation.clone(),
                generation: worker.generation,
                address,
                task,
                run,
                percent,
            });
        }
    }

    /// Slows down a filler that has just started beside a serving task that it is known to disturb, with the others on its
    /// worker; later reports raise its pace again.
    pub(super) fn pace_started_filler(
        &mut self,
        now: Timestamp,
        task: TaskKey,
        run: u32,
        incarnation: &WorkerIncarnation,
    ) {
        let is_filler = self.step_spec(task).is_some_and(|s| s.is_filler);
        if !is_filler || !self.disturbs_serving(task, incarnation) {
            return;
        }
        let Some(worker) = self.workers.get_mut(incarnation) else { return };
        worker.pace_limit = Pace::limited(now);
        let percent = worker.filler_speed();
        log::info!(target: "decision", "pace worker={incarnation} task={task} share={percent} reason=\"disturbs a serving task\"");
        worker.ordered_paces.insert((task, run), Some(percent));
        self.actions.push(Action::SetPace {
            incarnation: incarnation.clone(),
            generation: worker.generation,
            address: worker.entry.address.clone(),
            task,
            run,
            percent,
        });
    }

    /// Marks the pace of a run as unknown, so that it is ordered again: a previous owner may have changed it, or the order
    /// failed.
    pub(super) fn forget_pace(&mut self, task: TaskKey, run: u32, incarnation: &WorkerIncarnation) {
        if let Some(worker) = self.workers.get_mut(incarnation) {
            worker.ordered_paces.insert((task, run), None);
        }
    }

    pub(super) fn on_pace_result(
        &mut self,
        task: TaskKey,
        run: u32,
        incarnation: &WorkerIncarnation,
        result: Result<(), OrderError>,
    ) {
        let Err(error) = result else { return };
        log::info!(target: "decision", "pace task={task} run={run} worker={incarnation} outcome={error:?}");
        if !self.step_down_if_fenced(incarnation, error) {
            self.forget_pace(task, run, incarnation);
        }
    }
}
