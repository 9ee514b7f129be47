//! Workers that run tasks under leases.
//!
//! A worker ends a task when its lease lapses, and enforces nothing else: it starts whatever it is told to start, so
//! that its record shows what the product has let happen.

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

const STEP: &str = "worker command";
/// Run time of a batch or gang task by default.
const RUN_TIME: Duration = Duration::from_millis(500);
/// Time until a task's use is reported.
const USAGE_LAG: Duration = Duration::from_secs(1);

/// How the tasks of a job behave.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Behaviour {
    /// Run time; service tasks have none.
    pub run_time: Duration,
    /// Processors used as a part of those declared.
    pub use_factor: f64,
    /// Whether every task fails at its end.
    pub fails: bool,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self { run_time: RUN_TIME, use_factor: 1.0, fails: false }
    }
}

/// Attempt that a worker ran.
#[derive(Debug, Clone, Serialize)]
pub struct AttemptRecord {
    /// Task.
    pub task: TaskId,
    /// Attempt.
    pub attempt: Attempt,
    /// Shard epoch of the start.
    pub epoch: Epoch,
    /// Declared resources.
    pub resources: Resources,
    /// Start, microseconds since the Unix epoch.
    pub start: u64,
    /// End, microseconds since the Unix epoch; none while it runs.
    pub end: Option<u64>,
    /// State.
    pub state: WorkerTaskState,
}

/// What one worker saw.
#[derive(Debug, Clone, Default, Serialize)]
pub struct WorkerRecord {
    /// Attempts in the order of their starts.
    pub attempts: Vec<AttemptRecord>,
    /// Largest sum of each declared resource over the tasks that ran at once.
    pub most: Resources,
    /// Commands refused because of their epoch.
    pub refused: u64,
}

#[derive(Debug)]
struct Held {
    start: TaskStart,
    state: WorkerTaskState,
    started: u64,
    lapses: u64,
    ends: Option<u64>,
    end_state: WorkerTaskState,
    used: Resources,
    record: usize,
}

#[derive(Debug, Default)]
struct State {
    tasks: BTreeMap<(TaskId, Attempt), Held>,
    record: WorkerRecord,
    epoch: Epoch,
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

/// Many workers.
#[derive(Debug, Clone)]
pub struct Workers {
    workers: Arc<BTreeMap<WorkerId, Worker>>,
    behaviours: Arc<Mutex<BTreeMap<JobId, Behaviour>>>,
    clock: RecordClock,
}

impl Workers {
    /// Empty workers.
    #[must_use]
    pub fn new(workers: impl IntoIterator<Item = WorkerId>) -> Self {
        let workers = workers.into_iter().map(|worker| (worker, Worker::default())).collect();
        Self { workers: Arc::new(workers), behaviours: Arc::default(), clock: RecordClock::new() }
    }

    /// Sets how the tasks of a job behave that start from now on.
    pub fn set_behaviour(&self, job: JobId, behaviour: Behaviour) {
        self.behaviours.lock().unwrap_or_else(PoisonError::into_inner).insert(job, behaviour);
    }

    /// Fault switch of a worker.
    #[must_use]
    pub fn faults(&self, worker: &WorkerId) -> Option<&FaultSwitch> {
        self.workers.get(worker).map(|worker| &worker.faults)
    }

    /// What each worker saw.
    #[must_use]
    pub fn record(&self) -> BTreeMap<WorkerId, WorkerRecord> {
        self.workers.keys().filter_map(|id| Some((id.clone(), self.record_of(id)?))).collect()
    }

    /// What one worker saw.
    #[must_use]
    pub fn record_of(&self, worker: &WorkerId) -> Option<WorkerRecord> {
        let mut state = self.workers.get(worker)?.state();
        state.settle(self.clock.now());
        Some(state.record.clone())
    }

    fn behaviour(&self, job: &JobId) -> Behaviour {
        let behaviours = self.behaviours.lock().unwrap_or_else(PoisonError::into_inner);
        behaviours.get(job).copied().unwrap_or_default()
    }
}

impl State {
    /// Ends the tasks whose lease or run time has passed, at the time at which it passed.
    fn settle(&mut self, now: u64) {
        for held in self.tasks.values_mut().filter(|held| held.state == WorkerTaskState::Running) {
            let ends = held.ends.unwrap_or(u64::MAX);
            let end = ends.min(held.lapses);
            if end > now {
                continue;
            }
            held.state = if ends <= held.lapses { held.end_state } else { WorkerTaskState::Lapsed };
            note_end(&mut self.record, held, end);
        }
    }

    fn running(&self) -> Resources {
        let running = self.tasks.values().filter(|held| held.state == WorkerTaskState::Running);
        running.fold(Resources::ZERO, |sum, held| sum + held.start.resources)
    }

    fn start(&mut self, start: TaskStart, behaviour: Behaviour, now: u64, fail: bool) {
        let key = (start.task.clone(), start.attempt);
        if self.tasks.contains_key(&key) {
            return;
        }
        let service = start.kind == JobKind::Service && !behaviour.fails;
        let run_time = if fail { Duration::ZERO } else { behaviour.run_time };
        let failed = fail || behaviour.fails;
        let mut used = start.resources;
        used.cpu = scaled(used.cpu, behaviour.use_factor);
        self.record.attempts.push(AttemptRecord {
            task: start.task.clone(),
            attempt: start.attempt,
            epoch: start.epoch,
            resources: start.resources,
            start: now,
            end: None,
            state: WorkerTaskState::Running,
        });
        let held = Held {
            state: WorkerTaskState::Running,
            started: now,
            lapses: now + start.lease_ms * 1_000,
            ends: (fail || !service).then(|| now + micros(run_time)),
            end_state: if failed { WorkerTaskState::Failed } else { WorkerTaskState::Succeeded },
            used,
            record: self.record.attempts.len() - 1,
            start,
        };
        self.tasks.insert(key, held);
        self.record.most = self.record.most.max(self.running());
    }

    fn renew(&mut self, tasks: Vec<(TaskId, Attempt)>, lease_ms: u64, now: u64) {
        for key in tasks {
            if let Some(held) = self.tasks.get_mut(&key) {
                held.lapses = held.lapses.max(now + lease_ms * 1_000);
            }
        }
    }

    fn stop(&mut self, tasks: Vec<(TaskId, Attempt)>, now: u64) {
        for key in tasks {
            let Some(held) = self.tasks.get_mut(&key) else { continue };
            if held.state == WorkerTaskState::Running {
                held.state = WorkerTaskState::Stopped;
                note_end(&mut self.record, held, now);
            }
        }
    }

    fn apply(&mut self, command: WorkerCommand, behaviour: Behaviour, now: u64, fail: bool) {
        match command {
            WorkerCommand::Start(start) => self.start(start, behaviour, now, fail),
            WorkerCommand::Renew { tasks, lease_ms, .. } => self.renew(tasks, lease_ms, now),
            WorkerCommand::Stop { tasks, .. } => self.stop(tasks, now),
            WorkerCommand::Throttle { task, attempt, resources, .. } => {
                if let Some(held) = self.tasks.get_mut(&(task, attempt)) {
                    held.used.cpu = held.used.cpu.min(resources.cpu);
                }
            }
            WorkerCommand::Forget { tasks } => {
                for key in tasks {
                    if self.tasks.get(&key).is_some_and(|held| held.state != WorkerTaskState::Running) {
                        self.tasks.remove(&key);
                    }
                }
            }
            WorkerCommand::Inventory => {}
        }
        self.settle(now);
    }

    fn inventory(&self, now: u64) -> Inventory {
        let tasks = self.tasks.values().map(|held| InventoryTask {
            start: held.start.clone(),
            state: held.state,
            usage: (now >= held.started + micros(USAGE_LAG)).then_some(held.used),
        });
        Inventory { tasks: tasks.collect() }
    }
}

fn note_end(record: &mut WorkerRecord, held: &Held, end: u64) {
    if let Some(attempt) = record.attempts.get_mut(held.record) {
        attempt.end = Some(end);
        attempt.state = held.state;
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

fn scaled(cpu: CpuMillis, factor: f64) -> CpuMillis {
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, clippy::cast_precision_loss)]
    CpuMillis((cpu.0 as f64 * factor.max(0.0)) as u64)
}

const fn epoch(command: &WorkerCommand) -> Option<Epoch> {
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
            let reason = "no such worker".into();
            return Err(CallError::NotSent { step: STEP, peer: id.to_string(), reason });
        };
        worker.faults.before(STEP, id.as_str()).await?;
        let faults = worker.faults.get();
        let behaviour = match &command {
            WorkerCommand::Start(start) => self.behaviour(&start.task.job),
            _ => Behaviour::default(),
        };
        let inventory = {
            let mut state = worker.state();
            let now = self.clock.now();
            state.settle(now);
            if let Some(epoch) = epoch(&command) {
                if faults.refuse_older && epoch < state.epoch {
                    state.record.refused += 1;
                    let reason = format!("epoch {epoch} is older than {}", state.epoch);
                    return Err(CallError::Rejected { step: STEP, peer: id.to_string(), reason });
                }
                state.epoch = state.epoch.max(epoch);
            }
            state.apply(command, behaviour, now, faults.fail_all);
            state.inventory(now)
        };
        worker.faults.after(STEP, id.as_str()).await?;
        Ok(inventory)
    }
}
