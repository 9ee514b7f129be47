//! Evacuation of workers that are about to leave.
//!
//! What runs on a worker when it leaves is lost, and its end may never be reported: the task then waits for the lease, and one
//! that was done is started again. A run that will not end in time is therefore stopped before. Its worker reports the end
//! and saves a checkpoint, and the task starts elsewhere at once.

use std::time::Duration;

use super::Owner;
use super::reports::MAX_STOP_TIME;
use crate::shard::id::TaskKey;
use crate::shard::job::{Phase, Placement, Task};
use crate::unit::Timestamp;

/// Time before a worker leaves in which ends may not be reported any more.
const REPORT_MARGIN: Duration = Duration::from_millis(200);

impl Owner {
    /// Stops the runs that will not end before their workers leave, just in time for the stops.
    pub(super) fn evacuate(&mut self, now: Timestamp) {
        let mut late: Vec<TaskKey> = Vec::new();
        for (incarnation, worker) in &self.workers {
            let Some(until) = worker.stays_until.filter(|_| worker.is_responsive && worker.has_reported)
            else {
                continue;
            };
            let last_end = until - REPORT_MARGIN;
            if now + MAX_STOP_TIME < last_end || now >= until {
                continue;
            }
            for (task, run) in worker.runs.keys() {
                let placement = self.task(*task).and_then(|t| t.placement.as_ref());
                let is_late = |p: &&Placement| {
                    p.run == *run
                        && p.incarnation == *incarnation
                        && matches!(p.phase, Phase::Running(_))
                        && p.expected_end().is_none_or(|end| end > last_end)
                };
                if placement.filter(is_late).is_some() {
                    log::info!(target: "decision", "stop task={task} run={run} worker={incarnation} reason=\"worker leaves\"");
                    late.push(*task);
                }
            }
        }
        for task in late {
            self.stop_task(now, task);
        }
    }

    pub(super) fn task(&self, task: TaskKey) -> Option<&Task> {
        let key = task.step;
        let steps = self.jobs.get(&key.job)?.occurrences.get(key.occurrence as usize)?;
        steps.get(key.step as usize)?.tasks.get(task.index as usize)
    }
}
