//! Simulated worker with its backend server. Both record what they ran, for the invariant checks.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use rand::{Rng, RngExt};
use yuccahoist::id::{Attempt, Epoch, RequestId, TaskId};
use yuccahoist::job::JobKind;
use yuccahoist::placement::{Inventory, InventoryTask, TaskStart, WorkerCommand, WorkerTaskState};
use yuccahoist::unit::{CpuMillis, MemoryMib, Resources, Timestamp};

/// Time from a task's start until the inventory reports its resource usage.
const USAGE_LAG: Duration = Duration::from_secs(3);

/// One run of a request at the backend server; a crash of the worker sets an earlier `end`.
#[derive(Debug, Clone)]
pub struct RequestRun {
    pub id: RequestId,
    pub body: Bytes,
    pub idempotent: bool,
    pub start: Timestamp,
    pub end: Timestamp,
    pub epoch: Epoch,
}

/// One run of a task; `end` is `None` while it runs.
#[derive(Debug, Clone)]
pub struct TaskRun {
    pub task: TaskId,
    pub attempt: Attempt,
    pub start: Timestamp,
    pub end: Option<Timestamp>,
}

#[derive(Debug)]
struct Task {
    start: TaskStart,
    state: WorkerTaskState,
    started: Timestamp,
    lease_end: Timestamp,
    end: Option<(Timestamp, WorkerTaskState)>,
    cpu: CpuMillis,
    usage: Resources,
}

/// Worker agent and backend server, with their injected faults and records.
#[derive(Debug)]
pub struct Worker {
    pub capacity: Resources,
    pub slots: usize,
    pub crashed: bool,
    /// Whether new tasks fail 100 ms after their start.
    pub fails_tasks: bool,
    /// Start of the drain; `None` unless the worker is leaving.
    pub leaving_since: Option<Timestamp>,
    pub request_runs: Vec<RequestRun>,
    pub task_runs: Vec<TaskRun>,
    /// Largest number of requests in flight so far.
    pub peak_requests: usize,
    /// Largest share of the processors or the memory allocated to running tasks so far, per mille.
    pub peak_allocation: u64,
    /// Indexes into `request_runs` of requests that may still run.
    active: Vec<usize>,
    tasks: BTreeMap<(TaskId, Attempt), Task>,
}

impl Worker {
    pub const fn new(capacity: Resources, slots: usize) -> Self {
        Self {
            capacity,
            slots,
            crashed: false,
            fails_tasks: false,
            leaving_since: None,
            request_runs: Vec::new(),
            task_runs: Vec::new(),
            peak_requests: 0,
            peak_allocation: 0,
            active: Vec::new(),
            tasks: BTreeMap::new(),
        }
    }

    /// Starts a request and returns its index in `request_runs`.
    pub fn start_request(&mut self, run: RequestRun) -> usize {
        let now = run.start;
        self.active.retain(|index| self.request_runs[*index].end > now);
        self.request_runs.push(run);
        self.active.push(self.request_runs.len() - 1);
        self.peak_requests = self.peak_requests.max(self.active.len());
        self.request_runs.len() - 1
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self, now: Timestamp) -> usize {
        self.active.iter().filter(|index| self.request_runs[**index].end > now).count()
    }

    /// Crashes the worker, which ends all its requests and tasks.
    pub fn crash(&mut self, now: Timestamp) {
        self.advance(now);
        for index in std::mem::take(&mut self.active) {
            self.request_runs[index].end = self.request_runs[index].end.min(now);
        }
        let keys: Vec<_> = self.tasks.keys().cloned().collect();
        for key in keys {
            self.set_state(&key, now, WorkerTaskState::Lapsed);
        }
        self.tasks.clear();
        self.crashed = true;
    }

    /// Returns the running tasks.
    pub fn running_tasks(&self) -> impl Iterator<Item = &TaskStart> {
        self.tasks.values().filter(|task| task.state == WorkerTaskState::Running).map(|task| &task.start)
    }

    /// Returns the resources allocated to running tasks; throttled tasks count with their throttled processor share.
    pub fn allocated(&self) -> Resources {
        let running = self.tasks.values().filter(|task| task.state == WorkerTaskState::Running);
        running.fold(Resources::ZERO, |sum, task| sum + Resources { cpu: task.cpu, ..task.start.resources })
    }

    fn set_state(&mut self, key: &(TaskId, Attempt), at: Timestamp, state: WorkerTaskState) {
        let Some(task) = self.tasks.get_mut(key) else { return };
        task.state = state;
        let open = |run: &&mut TaskRun| run.task == key.0 && run.attempt == key.1 && run.end.is_none();
        if let Some(run) = self.task_runs.iter_mut().rev().find(open) {
            run.end = Some(at);
        }
    }

    /// Ends tasks whose run time or lease has ended.
    pub fn advance(&mut self, now: Timestamp) {
        let running = self.tasks.iter().filter(|(_, task)| task.state == WorkerTaskState::Running);
        let ends: Vec<_> = running
            .filter_map(|(key, task)| {
                let lapse = (task.lease_end, WorkerTaskState::Lapsed);
                let end = task.end.filter(|end| end.0 <= lapse.0).unwrap_or(lapse);
                (end.0 <= now).then(|| (key.clone(), end))
            })
            .collect();
        for (key, (at, state)) in ends {
            self.set_state(&key, at, state);
        }
    }

    fn inventory(&self, now: Timestamp) -> Inventory {
        let task = |task: &Task| InventoryTask {
            start: task.start.clone(),
            state: task.state,
            usage: (now.since(task.started) >= USAGE_LAG).then_some(task.usage),
        };
        Inventory { tasks: self.tasks.values().map(task).collect() }
    }

    /// Executes a command; returns the inventory after it and the task that it started, if any.
    pub fn execute(
        &mut self,
        now: Timestamp,
        command: WorkerCommand,
        rng: &mut dyn Rng,
    ) -> (Inventory, Option<TaskStart>) {
        self.advance(now);
        let mut started = None;
        match command {
            WorkerCommand::Start(start) => {
                if !self.tasks.contains_key(&(start.task.clone(), start.attempt)) {
                    self.start_task(now, start.clone(), rng);
                    started = Some(start);
                }
            }
            WorkerCommand::Renew { tasks, lease_ms, .. } => {
                for key in tasks {
                    if let Some(task) = self.tasks.get_mut(&key) {
                        task.lease_end = now + lease_duration(lease_ms);
                    }
                }
            }
            WorkerCommand::Stop { tasks, .. } => {
                for key in tasks {
                    if self.tasks.get(&key).is_some_and(|task| task.state == WorkerTaskState::Running) {
                        self.set_state(&key, now, WorkerTaskState::Stopped);
                    }
                }
            }
            WorkerCommand::Throttle { task, attempt, resources, .. } => {
                if let Some(task) = self.tasks.get_mut(&(task, attempt)) {
                    task.cpu = resources.cpu;
                }
            }
            WorkerCommand::Forget { tasks } => {
                let ended = |task: &Task| task.state != WorkerTaskState::Running;
                for key in tasks {
                    if self.tasks.get(&key).is_some_and(ended) {
                        self.tasks.remove(&key);
                    }
                }
            }
            WorkerCommand::Inventory => {}
        }
        (self.inventory(now), started)
    }

    fn start_task(&mut self, now: Timestamp, start: TaskStart, rng: &mut dyn Rng) {
        let length = Duration::from_millis(rng.random_range(200..6_000));
        let end = if self.fails_tasks {
            Some((now + Duration::from_millis(100), WorkerTaskState::Failed))
        } else if start.kind == JobKind::Service {
            None
        } else {
            Some((now + length, WorkerTaskState::Succeeded))
        };
        // The usage is between a quarter of the declared size and four times it.
        let quarters = rng.random_range(1..=16_u64);
        let declared = start.resources;
        let usage = Resources {
            cpu: CpuMillis(declared.cpu.0 * quarters / 4),
            memory: MemoryMib(declared.memory.0 * quarters / 4),
            ..declared
        };
        self.task_runs.push(TaskRun {
            task: start.task.clone(),
            attempt: start.attempt,
            start: now,
            end: None,
        });
        let task = Task {
            state: WorkerTaskState::Running,
            started: now,
            lease_end: now + lease_duration(start.lease_ms),
            end,
            cpu: declared.cpu,
            usage,
            start: start.clone(),
        };
        self.tasks.insert((start.task, start.attempt), task);
        let allocated = self.allocated();
        let per_mille = |used: u64, of: u64| used * 1_000 / of.max(1);
        self.peak_allocation = self
            .peak_allocation
            .max(per_mille(allocated.cpu.0, self.capacity.cpu.0))
            .max(per_mille(allocated.memory.0, self.capacity.memory.0));
    }
}

/// Returns the duration of a lease measured by the worker's clock, which runs 5 % slow.
const fn lease_duration(millis: u64) -> Duration {
    Duration::from_millis(millis * 105 / 100)
}
