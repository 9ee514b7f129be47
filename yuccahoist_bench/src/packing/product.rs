//! Coordinator and shard owner themselves, on a full fleet. Checkpoints take time and some fail.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use yuccahoist::id::{Attempt, Epoch, Incarnation, JobId, PartitionId, ShardId, Subject, TaskId, WorkerId};
use yuccahoist::job::{
    Coordinator, CoordinatorAction, CoordinatorEvent, CoordinatorSettings, JobKind, JobRecord, JobSpec,
    PARTITION_COUNT, Priority, ShardReply, ShardRequest, WaitReason, team_partition,
};
use yuccahoist::ownership::{Grant, Share};
use yuccahoist::placement::{
    Inventory, InventoryTask, Placement, PlacementAction, PlacementEvent, TaskStart, WorkerCommand,
    WorkerTaskState,
};
use yuccahoist::state_machine::StateMachine;
use yuccahoist::unit::{CpuMillis, Resources, Timestamp};

use super::{fleet, name};

/// Workers of the fleet.
const WORKERS: usize = 96;
/// Time between ticks of the host.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// One-way latency between hosts and to workers.
const LATENCY: Duration = Duration::from_millis(1);
/// Time from submission until the record is folded.
const APPEND: Duration = Duration::from_millis(20);
/// Urgent jobs.
const URGENT: usize = 100;
/// Longest time that a task needs to save its state, milliseconds; some exceed the time that preemption gives them.
const CHECKPOINT_MS: u64 = 800;
/// Part of the tasks that cannot save their state: one in this many.
const CHECKPOINT_FAILS: u32 = 10;
/// Target for the start of urgent work, milliseconds.
const TARGET_MS: f64 = 1_300.0;

/// Urgent work on a full fleet.
#[derive(Debug, Clone, Serialize)]
pub struct ProductReport {
    /// Workers of the fleet.
    pub workers: usize,
    /// Share of processors granted when the first job waits for room.
    pub first_wait: f64,
    /// Urgent tasks submitted.
    pub urgent: usize,
    /// Urgent tasks that started.
    pub started: usize,
    /// Median time from submission to start, milliseconds.
    pub p50_ms: f64,
    /// 99th percentile, milliseconds.
    pub p99_ms: f64,
    /// Longest, milliseconds.
    pub max_ms: f64,
    /// Tasks stopped by preemption.
    pub stopped: usize,
    /// Tasks stopped before their state was saved.
    pub unsaved: usize,
    /// Tasks throttled by preemption.
    pub throttled: usize,
    /// Processor time of tasks that were stopped without saving their state, seconds.
    pub lost_s: f64,
    /// All processor time of batch work, seconds.
    pub batch_s: f64,
    /// Overcommitted workers seen.
    pub violations: usize,
}

impl fmt::Display for ProductReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "coordinator and shard owner, {} workers", self.workers)?;
        writeln!(f, "  first wait at {:.1}% of processors granted", self.first_wait * 100.0)?;
        writeln!(
            f,
            "  urgent start ms: p50 {:.0} p99 {:.0} max {:.0}, {}/{} started, target {TARGET_MS:.0}",
            self.p50_ms, self.p99_ms, self.max_ms, self.started, self.urgent
        )?;
        writeln!(
            f,
            "  preemption: {} stopped, {} of them unsaved, {} throttled, lost {:.1} of {:.0} core-seconds",
            self.stopped, self.unsaved, self.throttled, self.lost_s, self.batch_s
        )?;
        writeln!(f, "  overcommitted workers: {}", self.violations)
    }
}

#[derive(Debug)]
struct Task {
    start: TaskStart,
    state: WorkerTaskState,
    cpu: CpuMillis,
    began: Timestamp,
    end: Timestamp,
    /// Time at which its state is saved and it stops.
    saved: Option<Timestamp>,
}

#[derive(Debug)]
enum Message {
    Command(WorkerId, u64, WorkerCommand),
    Done(WorkerId, u64, Inventory),
    Request(ShardRequest),
    Reply(ShardReply),
    Record(JobRecord),
    Appended(u64),
}

struct Cell {
    now: Timestamp,
    rng: ChaCha8Rng,
    placement: Placement,
    coordinator: Coordinator,
    tasks: BTreeMap<WorkerId, BTreeMap<(TaskId, Attempt), Task>>,
    capacity: BTreeMap<WorkerId, Resources>,
    messages: BTreeMap<(Timestamp, u64), Message>,
    sequence: u64,
    started: BTreeMap<JobId, Timestamp>,
    first_wait: Option<f64>,
    report: ProductReport,
}

const HOST: Incarnation = Incarnation(1);

/// Fills the fleet with batch work and submits urgent jobs.
pub(super) fn run(seed: u64) -> ProductReport {
    let mut cell = Cell::new(seed);
    cell.run_to(Timestamp::from_millis(5_000));
    let mut number = 0;
    while cell.first_wait.is_none() && number < 2_000 {
        number += 1;
        let kind = if number % 8 == 0 { JobKind::Gang } else { JobKind::Batch };
        let tasks = cell.rng.random_range(1..12);
        let resources =
            Resources::new(cell.rng.random_range(250..6_000), cell.rng.random_range(512..16_000), 0);
        cell.submit(spec(&format!("job-{number}"), kind, tasks, resources, 0));
        cell.run_to(cell.now + Duration::from_millis(100));
    }
    // Fills what is left with small tasks, so that urgent work has to preempt.
    for filler in 0..8 {
        let resources = Resources::new(1_000, 512, 0);
        cell.submit(spec(&format!("fill-{filler}"), JobKind::Batch, 300, resources, 0));
    }
    cell.run_to(cell.now + Duration::from_secs(20));
    let mut submitted = BTreeMap::new();
    for index in 0..URGENT {
        let resources = Resources::new(cell.rng.random_range(500..8_000), 1_024, 0);
        let spec = spec(&format!("urgent-{index}"), JobKind::Batch, 1, resources, 9);
        submitted.insert(spec.id.clone(), cell.now);
        cell.submit(spec);
        let gap = cell.rng.random_range(20..300);
        cell.run_to(cell.now + Duration::from_millis(gap));
    }
    cell.run_to(cell.now + Duration::from_secs(20));
    let mut waits: Vec<f64> = submitted
        .iter()
        .filter_map(|(id, at)| Some(cell.started.get(id)?.since(*at).as_secs_f64() * 1_000.0))
        .collect();
    waits.sort_by(f64::total_cmp);
    let mut report = cell.report;
    report.first_wait = cell.first_wait.unwrap_or_default();
    report.started = waits.len();
    if let Some(last) = waits.last() {
        report.p50_ms = waits[waits.len() / 2];
        report.p99_ms = waits[(waits.len() * 99 / 100).min(waits.len() - 1)];
        report.max_ms = *last;
    }
    report
}

fn spec(id: &str, kind: JobKind, tasks: u32, resources: Resources, priority: u8) -> JobSpec {
    let team = name("team");
    let (id, priority) = (name(id), Priority(priority));
    JobSpec { id, kind, team, priority, tasks, resources, runtime_ms: None, attempts: 5 }
}

impl Cell {
    fn new(seed: u64) -> Self {
        let specs = fleet(WORKERS);
        let mut settings = CoordinatorSettings::default();
        for spec in &specs {
            settings.shards.insert(spec.shard.clone());
            settings.zones.insert(spec.shard.clone(), spec.zone.clone());
        }
        let report = ProductReport {
            workers: WORKERS,
            first_wait: 0.0,
            urgent: URGENT,
            started: 0,
            p50_ms: 0.0,
            p99_ms: 0.0,
            max_ms: 0.0,
            stopped: 0,
            unsaved: 0,
            throttled: 0,
            lost_s: 0.0,
            batch_s: 0.0,
            violations: 0,
        };
        let mut cell = Self {
            now: Timestamp::from_millis(1_000),
            rng: ChaCha8Rng::seed_from_u64(seed),
            placement: Placement::new(),
            coordinator: Coordinator::new(HOST),
            tasks: specs.iter().map(|spec| (spec.worker.clone(), BTreeMap::new())).collect(),
            capacity: specs.iter().map(|spec| (spec.worker.clone(), spec.capacity)).collect(),
            messages: BTreeMap::new(),
            sequence: 0,
            started: BTreeMap::new(),
            first_wait: None,
            report,
        };
        let shards: Vec<ShardId> = settings.shards.iter().cloned().collect();
        let team = name("team");
        cell.place(PlacementEvent::Workers(specs));
        cell.place(PlacementEvent::Partitions([(name("team"), team_partition(&team))].into()));
        cell.coordinate(CoordinatorEvent::Settings(settings));
        for shard in shards {
            let grant = grant(Subject::Shard(shard.clone()));
            let owner = Some((HOST, grant.epoch));
            cell.place(PlacementEvent::Granted { shard: shard.clone(), grant });
            cell.coordinate(CoordinatorEvent::Owner { shard, owner });
        }
        for partition in (0..PARTITION_COUNT).map(PartitionId) {
            let grant = grant(Subject::Partition(partition));
            cell.coordinate(CoordinatorEvent::Granted { partition, grant });
        }
        cell
    }

    fn post(&mut self, delay: Duration, message: Message) {
        self.sequence += 1;
        self.messages.insert((self.now + delay, self.sequence), message);
    }

    fn submit(&mut self, spec: JobSpec) {
        self.post(APPEND, Message::Record(JobRecord::Submitted(spec)));
    }

    fn place(&mut self, event: PlacementEvent) {
        let mut out = Vec::new();
        self.placement.handle(self.now, event, &mut self.rng, &mut out);
        for action in out {
            match action {
                PlacementAction::Command { worker, ticket, command, .. } => {
                    self.post(LATENCY, Message::Command(worker, ticket, command));
                }
                PlacementAction::Reply { reply, .. } => self.post(LATENCY, Message::Reply(reply)),
                PlacementAction::Decision(_) => {}
            }
        }
    }

    fn coordinate(&mut self, event: CoordinatorEvent) {
        let mut out = Vec::new();
        self.coordinator.handle(self.now, event, &mut self.rng, &mut out);
        for action in out {
            match action {
                CoordinatorAction::Append { ticket, record } => {
                    self.post(APPEND, Message::Appended(ticket));
                    self.post(APPEND, Message::Record(record));
                }
                CoordinatorAction::Send { request, .. } => self.post(LATENCY, Message::Request(request)),
                CoordinatorAction::Decision { text, .. } => self.decided(&text),
            }
        }
    }

    fn decided(&mut self, text: &str) {
        let reasons = [WaitReason::NoRoom, WaitReason::GangIncomplete];
        if self.first_wait.is_none() && reasons.iter().any(|reason| text == reason.to_string()) {
            let given: u64 = self.tasks.keys().map(|worker| self.given(worker).cpu.0).sum();
            let capacity: u64 = self.capacity.values().map(|capacity| capacity.cpu.0).sum();
            self.first_wait = Some(given as f64 / capacity as f64);
        }
    }

    fn given(&self, worker: &WorkerId) -> Resources {
        let running = self.tasks[worker].values().filter(|task| task.state == WorkerTaskState::Running);
        running.fold(Resources::ZERO, |sum, task| sum + Resources { cpu: task.cpu, ..task.start.resources })
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Command(worker, ticket, command) => {
                self.execute(&worker, command);
                let tasks = self.tasks[&worker].values().map(|task| InventoryTask {
                    start: task.start.clone(),
                    state: task.state,
                    usage: Some(task.start.resources),
                });
                let inventory = Inventory { tasks: tasks.collect() };
                self.post(LATENCY, Message::Done(worker, ticket, inventory));
            }
            Message::Done(worker, ticket, inventory) => {
                self.place(PlacementEvent::CommandSucceeded { worker, ticket, inventory });
            }
            Message::Request(request) => self.place(PlacementEvent::Request { from: HOST, request }),
            Message::Reply(reply) => self.coordinate(CoordinatorEvent::Reply { from: HOST, reply }),
            Message::Record(record) => self.coordinate(CoordinatorEvent::Record(record)),
            Message::Appended(ticket) => self.coordinate(CoordinatorEvent::Appended { ticket }),
        }
    }

    fn execute(&mut self, worker: &WorkerId, command: WorkerCommand) {
        let now = self.now;
        let run = Duration::from_millis(self.rng.random_range(60_000..600_000));
        let Some(tasks) = self.tasks.get_mut(worker) else { return };
        match command {
            WorkerCommand::Start(start) => {
                self.started.entry(start.task.job.clone()).or_insert(now);
                let key = (start.task.clone(), start.attempt);
                let (state, cpu) = (WorkerTaskState::Running, start.resources.cpu);
                tasks.insert(key, Task { start, state, cpu, began: now, end: now + run, saved: None });
                if !self.given(worker).fits(self.capacity[worker]) {
                    self.report.violations += 1;
                }
            }
            WorkerCommand::Stop { tasks: keys, checkpoint, .. } => {
                for key in keys {
                    let Some(task) = tasks.get_mut(&key).filter(|t| t.state == WorkerTaskState::Running)
                    else {
                        continue;
                    };
                    if checkpoint {
                        let fails = self.rng.random_ratio(1, CHECKPOINT_FAILS);
                        let time = Duration::from_millis(self.rng.random_range(20..CHECKPOINT_MS));
                        let saved = if fails { Timestamp::MAX } else { now + time };
                        task.saved.get_or_insert(saved);
                        continue;
                    }
                    task.state = WorkerTaskState::Stopped;
                    self.report.stopped += 1;
                    self.report.unsaved += 1;
                    self.report.lost_s += spent(task, now);
                    self.report.batch_s += spent(task, now);
                }
            }
            WorkerCommand::Throttle { task, attempt, resources, .. } => {
                if let Some(task) = tasks.get_mut(&(task, attempt)) {
                    self.report.throttled += usize::from(resources.cpu < task.cpu);
                    task.cpu = resources.cpu;
                }
            }
            WorkerCommand::Forget { tasks: keys } => {
                for key in keys {
                    tasks.remove(&key);
                }
            }
            WorkerCommand::Renew { .. } | WorkerCommand::Inventory => {}
        }
    }

    fn run_to(&mut self, end: Timestamp) {
        while self.now < end {
            let next = self.now + TICK_INTERVAL;
            while let Some(entry) = self.messages.first_entry() {
                if entry.key().0 >= next {
                    break;
                }
                self.now = entry.key().0.max(self.now);
                let message = entry.remove();
                self.deliver(message);
            }
            self.now = next;
            for task in self.tasks.values_mut().flat_map(BTreeMap::values_mut) {
                if task.state != WorkerTaskState::Running {
                    continue;
                }
                if task.saved.is_some_and(|saved| saved <= next) {
                    task.state = WorkerTaskState::Stopped;
                    self.report.stopped += 1;
                    self.report.batch_s += spent(task, next);
                } else if task.end <= next {
                    task.state = WorkerTaskState::Succeeded;
                    self.report.batch_s += spent(task, next);
                }
            }
            self.place(PlacementEvent::Tick);
            self.coordinate(CoordinatorEvent::Tick);
        }
    }
}

fn spent(task: &Task, now: Timestamp) -> f64 {
    now.since(task.began).as_secs_f64() * task.cpu.0 as f64 / 1_000.0
}

fn grant(subject: Subject) -> Grant {
    let (valid_until, settled_at) = (Timestamp::MAX, Timestamp::ZERO);
    Grant { subject, epoch: Epoch(1), share: Share::Full, may_start_tasks: true, valid_until, settled_at }
}
