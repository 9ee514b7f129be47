//! Model of the workers.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use yuccahoist::id::{Attempt, TaskId, WorkerId};
use yuccahoist::job::JobKind;
use yuccahoist::placement::{Inventory, InventoryTask, WorkerCommand, WorkerTaskState};
use yuccahoist::unit::Timestamp;

#[derive(Debug)]
struct Task {
    held: InventoryTask,
    ends: Option<Timestamp>,
}

/// Workers with their tasks.
#[derive(Debug)]
pub(super) struct Workers {
    tasks: BTreeMap<WorkerId, BTreeMap<(TaskId, Attempt), Task>>,
    /// Mean run time of batch tasks; none if they do not end.
    run_time: Option<Duration>,
    /// Tasks started.
    pub(super) starts: u64,
}

impl Workers {
    pub(super) fn new(run_time: Option<Duration>) -> Self {
        Self { tasks: BTreeMap::new(), run_time, starts: 0 }
    }

    /// Tasks that run.
    pub(super) fn running(&self) -> usize {
        let running = |task: &&Task| task.held.state == WorkerTaskState::Running;
        self.tasks.values().map(|tasks| tasks.values().filter(running).count()).sum()
    }

    /// Carries out a command.
    pub(super) fn command(
        &mut self,
        now: Timestamp,
        worker: &WorkerId,
        command: WorkerCommand,
        rng: &mut ChaCha8Rng,
    ) -> Inventory {
        let tasks = self.tasks.entry(worker.clone()).or_default();
        match command {
            WorkerCommand::Start(start) => {
                self.starts += 1;
                let run_time = self.run_time.filter(|_| start.kind != JobKind::Service);
                // Uniform, so that the tasks of the first jobs do not end together.
                let ends = run_time.map(|mean| now + mean.mul_f64(rng.random_range(0.0..2.0)));
                let key = (start.task.clone(), start.attempt);
                let usage = Some(start.resources);
                tasks.insert(
                    key,
                    Task { held: InventoryTask { start, state: WorkerTaskState::Running, usage }, ends },
                );
            }
            WorkerCommand::Stop { tasks: stopped, .. } => {
                for key in stopped {
                    if let Some(task) = tasks.get_mut(&key) {
                        task.held.state = WorkerTaskState::Stopped;
                    }
                }
            }
            WorkerCommand::Forget { tasks: forgotten } => tasks.retain(|key, _| !forgotten.contains(key)),
            WorkerCommand::Renew { .. } | WorkerCommand::Throttle { .. } | WorkerCommand::Inventory => {}
        }
        for task in tasks.values_mut() {
            if task.held.state == WorkerTaskState::Running && task.ends.is_some_and(|end| end <= now) {
                task.held.state = WorkerTaskState::Succeeded;
            }
        }
        Inventory { tasks: tasks.values().map(|task| task.held.clone()).collect() }
    }
}
