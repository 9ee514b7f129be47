//! Workers that run tasks under leases.
//!
//! A worker ends a task when the lease of the task expires, and enforces nothing else. It starts every task that it is
//! ordered to start, also beyond its capacity, so that its record shows violations by the product.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use serde::Serialize;
use yuccahoist::id::{Attempt, Epoch, JobId, TaskId, WorkerId};
use yuccahoist::job::JobKind;
use yuccahoist::placement::{Inventory, InventoryTask, TaskStart, WorkerCommand, WorkerTaskState};
use yuccahoist::systems::{CallError, WorkerPlatform};
use yuccahoist::unit::{CpuMillis, Resources};

use crate::fault::FaultSwitch;
use crate::time::RecordClock;

/// Name of a command in errors.
const COMMAND_STEP: &str = "worker command";
/// Run time of batch and gang tasks whose job has no other behavior.
const DEFAULT_RUN_TIME: Duration = Duration::from_millis(500);
/// Time from the start of a task to the first report of its usage.
const USAGE_REPORT_DELAY: Duration = Duration::from_secs(1);

/// Behavior of the tasks of a job.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TaskBehavior {
    /// Time from start to end; ignored for service tasks that do not fail.
    pub run_time: Duration,
    /// CPU usage in relation to the declared CPU; 1.0 for exactly the declared CPU.
    pub cpu_factor: f64,
    /// Whether every task fails at the end of its run time.
    pub fails: bool,
}

impl Default for TaskBehavior {
    fn default() -> Self {
        Self { run_time: DEFAULT_RUN_TIME, cpu_factor: 1.0, fails: false }
    }
}

/// Record of one attempt on a worker.
#[derive(Debug, Clone, Serialize)]
pub struct AttemptRecord {
    /// Task that the attempt belongs to.
    pub task: TaskId,
    /// Attempt as the start command names it.
    pub attempt: Attempt,
    /// Shard epoch of the start command.
    pub epoch: Epoch,
    /// Resources that the start command declares.
    pub resources: Resources,
    /// Start, microseconds since the Unix epoch.
    pub start: u64,
    /// End, microseconds since the Unix epoch; `None` while it runs.
    pub end: Option<u64>,
    /// Current state; final once `end` is set.
    pub state: WorkerTaskState,
}

/// Record of one worker.
#[derive(Debug, Clone, Default, Serialize)]
pub struct WorkerRecord {
    /// Attempts in the order of their starts.
    pub attempts: Vec<AttemptRecord>,
    /// Peak of the declared resources of running tasks, for each resource on its own.
    pub most: Resources,
    /// Number of commands rejected for an epoch below the highest one seen.
    pub refused: u64,
}

#[derive(Debug)]
struct TaskEntry {
    start: TaskStart,
    state: WorkerTaskState,
    /// Times are microseconds since the Unix epoch.
    started_at: u64,
    lease_expiry: u64,
    /// End of the run time; `None` for a service task, which runs until it is stopped.
    ends_at: Option<u64>,
    /// State after `ends_at`.
    end_state: WorkerTaskState,
    usage: Resources,
    /// Index in the attempts of the record.
    record_index: usize,
}

#[derive(Debug, Default)]
struct State {
    tasks: BTreeMap<(TaskId, Attempt), TaskEntry>,
    record: WorkerRecord,
    highest_epoch: Epoch,
}

#[derive(Debug, Default)]
struct Worker {
    state: Mutex<State>,
    faults: FaultSwitch,
}

impl Worker {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Set of workers with one clock; clones share their state.
#[derive(Debug, Clone)]
pub struct Workers {
    workers: Arc<BTreeMap<WorkerId, Worker>>,
    behaviors: Arc<Mutex<BTreeMap<JobId, TaskBehavior>>>,
    clock: RecordClock,
}

impl Workers {
    /// Creates workers that run no tasks and have no faults.
    #[must_use]
    pub fn new(workers: impl IntoIterator<Item = WorkerId>) -> Self {
        let workers = workers.into_iter().map(|worker| (worker, Worker::default())).collect();
        Self { workers: Arc::new(workers), behaviors: Arc::default(), clock: RecordClock::new() }
    }

    /// Sets the behavior of tasks of a job that start from now on; running tasks keep theirs.
    pub fn set_behavior(&self, job: JobId, behavior: TaskBehavior) {
        self.behaviors.lock().unwrap_or_else(PoisonError::into_inner).insert(job, behavior);
    }

    /// Fault switch of a worker; `None` for an unknown one.
    #[must_use]
    pub fn faults(&self, worker: &WorkerId) -> Option<&FaultSwitch> {
        self.workers.get(worker).map(|worker| &worker.faults)
    }

    /// Returns the records of all workers, up to now.
    #[must_use]
    pub fn record(&self) -> BTreeMap<WorkerId, WorkerRecord> {
        self.workers.keys().filter_map(|id| Some((id.clone(), self.record_of(id)?))).collect()
    }

    /// Returns the record of a worker up to now; `None` for an unknown worker.
    #[must_use]
    pub fn record_of(&self, worker: &WorkerId) -> Option<WorkerRecord> {
        let mut state = self.workers.get(worker)?.state();
        state.end_due_tasks(self.clock.now_micros());
        Some(state.record.clone())
    }

    fn behavior(&self, job: &JobId) -> TaskBehavior {
        let behaviors = self.behaviors.lock().unwrap_or_else(PoisonError::into_inner);
        behaviors.get(job).copied().unwrap_or_default()
    }
}

impl State {
    /// Ends the tasks whose lease or run time is over, with the time at which it was over as their end.
    fn end_due_tasks(&mut self, now: u64) {
        for entry in self.tasks.values_mut().filter(|entry| entry.state == WorkerTaskState::Running) {
            let ends_at = entry.ends_at.unwrap_or(u64::MAX);
            let end = ends_at.min(entry.lease_expiry);
            if end > now {
                continue;
            }
            entry.state =
                if ends_at <= entry.lease_expiry { entry.end_state } else { WorkerTaskState::Lapsed };
            record_end(&mut self.record, entry, end);
        }
    }

    /// Returns the sum of the declared resources of running tasks.
    fn reserved(&self) -> Resources {
        let running = self.tasks.values().filter(|entry| entry.state == WorkerTaskState::Running);
        running.fold(Resources::ZERO, |sum, entry| sum + entry.start.resources)
    }

    fn start(&mut self, start: TaskStart, behavior: TaskBehavior, now: u64, fails_at_once: bool) {
        let key = (start.task.clone(), start.attempt);
        if self.tasks.contains_key(&key) {
            return;
        }
        let runs_until_stopped = start.kind == JobKind::Service && !behavior.fails;
        let run_time = if fails_at_once { Duration::ZERO } else { behavior.run_time };
        let fails = fails_at_once || behavior.fails;
        let mut usage = start.resources;
        usage.cpu = scale_cpu(usage.cpu, behavior.cpu_factor);
        self.record.attempts.push(AttemptRecord {
            task: start.task.clone(),
            attempt: start.attempt,
            epoch: start.epoch,
            resources: start.resources,
            start: now,
            end: None,
            state: WorkerTaskState::Running,
        });
        let entry = TaskEntry {
            state: WorkerTaskState::Running,
            started_at: now,
            lease_expiry: now + start.lease_ms * 1_000,
            ends_at: (fails_at_once || !runs_until_stopped).then(|| now + micros(run_time)),
            end_state: if fails { WorkerTaskState::Failed } else { WorkerTaskState::Succeeded },
            usage,
            record_index: self.record.attempts.len() - 1,
            start,
        };
        self.tasks.insert(key, entry);
        self.record.most = self.record.most.max(self.reserved());
    }

    fn renew(&mut self, tasks: Vec<(TaskId, Attempt)>, lease_ms: u64, now: u64) {
        for key in tasks {
            if let Some(entry) = self.tasks.get_mut(&key) {
                entry.lease_expiry = entry.lease_expiry.max(now + lease_ms * 1_000);
            }
        }
    }

    fn stop(&mut self, tasks: Vec<(TaskId, Attempt)>, now: u64) {
        for key in tasks {
            let Some(entry) = self.tasks.get_mut(&key) else { continue };
            if entry.state == WorkerTaskState::Running {
                entry.state = WorkerTaskState::Stopped;
                record_end(&mut self.record, entry, now);
            }
        }
    }

    fn apply(&mut self, command: WorkerCommand, behavior: TaskBehavior, now: u64, fails_at_once: bool) {
        match command {
            WorkerCommand::Start(start) => self.start(start, behavior, now, fails_at_once),
            WorkerCommand::Renew { tasks, lease_ms, .. } => self.renew(tasks, lease_ms, now),
            WorkerCommand::Stop { tasks, .. } => self.stop(tasks, now),
            WorkerCommand::Throttle { task, attempt, resources, .. } => {
                if let Some(entry) = self.tasks.get_mut(&(task, attempt)) {
                    entry.usage.cpu = entry.usage.cpu.min(resources.cpu);
                }
            }
            WorkerCommand::Forget { tasks } => {
                for key in tasks {
                    if self.tasks.get(&key).is_some_and(|entry| entry.state != WorkerTaskState::Running) {
                        self.tasks.remove(&key);
                    }
                }
            }
            WorkerCommand::Inventory => {}
        }
        self.end_due_tasks(now);
    }

    fn inventory(&self, now: u64) -> Inventory {
        let tasks = self.tasks.values().map(|entry| InventoryTask {
            start: entry.start.clone(),
            state: entry.state,
            usage: (now >= entry.started_at + micros(USAGE_REPORT_DELAY)).then_some(entry.usage),
        });
        Inventory { tasks: tasks.collect() }
    }
}

fn record_end(record: &mut WorkerRecord, entry: &TaskEntry, end: u64) {
    if let Some(attempt) = record.attempts.get_mut(entry.record_index) {
        attempt.end = Some(end);
        attempt.state = entry.state;
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

fn scale_cpu(cpu: CpuMillis, factor: f64) -> CpuMillis {
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, clippy::cast_precision_loss)]
    CpuMillis((cpu.0 as f64 * factor.max(0.0)) as u64)
}

/// Returns the shard epoch of a command; `None` for commands that are not fenced.
const fn command_epoch(command: &WorkerCommand) -> Option<Epoch> {
    match command {
        WorkerCommand::Start(TaskStart { epoch, .. })
        | WorkerCommand::Renew { epoch, .. }
        | WorkerCommand::Stop { epoch, .. }
        | WorkerCommand::Throttle { epoch, .. } => Some(*epoch),
        WorkerCommand::Forget { .. } | WorkerCommand::Inventory => None,
    }
}

#[async_trait]
impl WorkerPlatform for Workers {
    async fn command(&self, id: &WorkerId, command: WorkerCommand) -> Result<Inventory, CallError> {
        let Some(worker) = self.workers.get(id) else {
            let reason = "unknown worker".into();
            return Err(CallError::NotSent { step: COMMAND_STEP, peer: id.to_string(), reason });
        };
        worker.faults.apply_before(COMMAND_STEP, id.as_str()).await?;
        let faults = worker.faults.get();
        let behavior = match &command {
            WorkerCommand::Start(start) => self.behavior(&start.task.job),
            _ => TaskBehavior::default(),
        };
        let inventory = {
            let mut state = worker.state();
            let now = self.clock.now_micros();
            state.end_due_tasks(now);
            if let Some(epoch) = command_epoch(&command) {
                if faults.refuse_older && epoch < state.highest_epoch {
                    state.record.refused += 1;
                    let reason =
                        format!("epoch {epoch} is below the highest epoch seen, {}", state.highest_epoch);
                    return Err(CallError::Rejected { step: COMMAND_STEP, peer: id.to_string(), reason });
                }
                state.highest_epoch = state.highest_epoch.max(epoch);
            }
            state.apply(command, behavior, now, faults.fail_all);
            state.inventory(now)
        };
        worker.faults.apply_after(COMMAND_STEP, id.as_str()).await?;
        Ok(inventory)
    }
}
