//! Tasks that fill beside tasks that serve: orders that set their speed.

use super::Owner;
use crate::shard::id::{Life, TaskName};
use crate::shard::message::{Action, ActiveRun, OrderError};
use crate::shard::pacing::FULL;
use crate::shard::spec::StepSpec;
use crate::unit::Timestamp;

impl Owner {
    fn shape(&self, task: TaskName) -> Option<&StepSpec> {
        self.jobs.get(&task.step.job)?.spec.steps.get(task.step.step as usize)
    }

    /// Sets the speed of the fillers on a worker by the tails that it reports.
    pub(super) fn pace_fillers(&mut self, now: Timestamp, life: &Life, active: &[ActiveRun]) {
        let fills = |run: &&ActiveRun| self.shape(run.task).is_some_and(|s| s.fills);
        let fillers: Vec<(TaskName, u32)> = active.iter().filter(fills).map(|r| (r.task, r.run)).collect();
        if fillers.is_empty() {
            return;
        }
        let part = |run: &ActiveRun| {
            let target = u64::try_from(self.shape(run.task)?.tail?.as_millis()).ok()?;
            run.load.saturating_mul(100).checked_div(target)
        };
        let tail = active.iter().filter_map(part).max();
        let Some(worker) = self.workers.get_mut(life) else { return };
        let pace = worker.pace.after(now, tail);
        if pace != worker.pace {
            log::info!(
                target: "decision",
                "pace worker={life} fillers={} tail_percent={tail:?} before={} share={}",
                fillers.len(),
                worker.pace.share,
                pace.share
            );
            worker.pace = pace;
        }
        for (task, run) in fillers {
            if !worker.runs.contains_key(&(task, run)) {
                continue;
            }
            // A worker starts tasks at full speed.
            let known = worker.paces.entry((task, run)).or_insert(Some(FULL));
            if *known == Some(pace.share) {
                continue;
            }
            *known = Some(pace.share);
            let address = worker.entry.address.clone();
            self.out.push(Action::Pace { life: life.clone(), address, task, run, share: pace.share });
        }
    }

    /// A run was placed by a previous owner, who may have changed its speed.
    pub(super) fn forget_pace(&mut self, task: TaskName, run: u32, life: &Life) {
        if let Some(worker) = self.workers.get_mut(life) {
            worker.paces.insert((task, run), None);
        }
    }

    pub(super) fn on_paced(&mut self, task: TaskName, run: u32, life: &Life, result: Result<(), OrderError>) {
        let Err(error) = result else { return };
        log::info!(target: "decision", "pace task={task} run={run} worker={life} outcome={error:?}");
        if !self.deposed(error) {
            self.forget_pace(task, run, life);
        }
    }
}
