//! Record of the runs of a task that were active at once.

use super::super::order::StartOrder;
use super::Fleet;

/// Run of a task on a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskRun {
    /// Worker id.
    pub worker: String,
    /// Number of the run.
    pub run_id: u32,
    /// Fencing token of the order that started the run.
    pub fencing_token: u64,
}

/// Two runs of one task at once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Overlap {
    /// Task id.
    pub task: String,
    /// The run that was active.
    pub first: TaskRun,
    /// The run that started beside it.
    pub second: TaskRun,
    /// Start of the second run.
    pub started_at: u64,
    /// Time until the first of the two runs ended, milliseconds; `None` while both are active.
    pub duration_ms: Option<u64>,
}

impl Overlap {
    /// Whether the two runs were ordered with different fencing tokens, so by different owners.
    #[must_use]
    pub const fn is_across_owners(&self) -> bool {
        self.first.fencing_token != self.second.fencing_token
    }
}

impl Fleet {
    /// Pairs of runs of a task that were active at once, oldest first.
    #[must_use]
    pub fn overlaps(&self) -> &[Overlap] {
        &self.overlaps
    }

    /// Records the active runs of a task that is about to start on a worker.
    pub(super) fn record_overlaps(&mut self, id: &str, order: &StartOrder) {
        for (worker, state) in self.workers.iter().filter(|(_, w)| w.is_up) {
            for ((task, run_id), run) in state.runs.iter().filter(|((task, _), _)| *task == order.task_id) {
                let first =
                    TaskRun { worker: worker.clone(), run_id: *run_id, fencing_token: run.fencing_token };
                let second =
                    TaskRun { worker: id.into(), run_id: order.run_id, fencing_token: order.fencing_token };
                let (started_at, duration_ms) = (self.now, None);
                self.overlaps.push(Overlap { task: task.clone(), first, second, started_at, duration_ms });
            }
        }
    }

    /// Records the durations of the overlaps in which a run has ended.
    pub(super) fn end_overlaps(&mut self) {
        let (workers, now) = (&self.workers, self.now);
        for overlap in self.overlaps.iter_mut().filter(|o| o.duration_ms.is_none()) {
            let is_active = |run: &TaskRun| {
                let key = (overlap.task.clone(), run.run_id);
                workers.get(&run.worker).is_some_and(|w| w.is_up && w.runs.contains_key(&key))
            };
            if !is_active(&overlap.first) || !is_active(&overlap.second) {
                overlap.duration_ms = Some(now - overlap.started_at);
            }
        }
    }
}
