//! Simulated cluster: an owner in simulated time, with a store and workers that follow the platform's rules and check the
//! system's invariants.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yuccahoist::shard::message::{
    Action, ActiveRun, Answer, CallId, EndKind, EndedRun, Event, OrderError, Report, Request, Unlisting,
    WorkerEntry,
};
use yuccahoist::shard::owner::{Counters, StoredRecords};
use yuccahoist::shard::record::{Entry, JobState, Ownership, Record};
use yuccahoist::shard::request_queue::{RecommendationRequest, RequestHost, RequestKind, RequestQueue};
use yuccahoist::shard::run_end::EndProof;
use yuccahoist::shard::spec::{JobSpec, Queue, RecommendationCost, StepSpec};
use yuccahoist::shard::workspace::{Workspace, WorkspaceName, WorkspaceTable, WorkspaceTerms};
use yuccahoist::shard::{
    Epoch, Fence, Generation, JobKey, Owner, OwnerOptions, StepKey, TaskKey, WorkerIncarnation,
};
use yuccahoist::unit::{Resources, Timestamp};

/// Step of simulated time.
const TIME_STEP_MS: u64 = 5;
/// Duration of a write to the store.
const WRITE_MS: u64 = 9;
/// Round trip of a call to a worker.
const CALL_ROUND_TRIP_MS: u64 = 5;
/// Timeout of an order to a worker.
const ORDER_TIMEOUT_MS: u64 = 600;
/// Time that a worker takes to stop a run.
const STOP_DURATION_MS: u64 = 300;
/// Largest record that the store takes, bytes; it refuses a larger one for ever.
const MAX_RECORD_BYTES: usize = 262_144;
/// Longest lease that a worker takes unless a test sets another one; defined by the platform.
pub const MAX_LEASE_MS: u64 = 10_000;
/// Starts of a task after its third crash that break its budget.
const MAX_STARTS_AFTER_CRASHES: u32 = 3;
/// Capacity of each worker.
pub const WORKER_CAPACITY: Resources = Resources::new(16_000, 64_000, 0);

/// Returns a job of one step with `tasks` tasks that take `millis` each and use a quarter of a worker's processors.
pub fn spec(tasks: u32, millis: u64) -> JobSpec {
    let step = StepSpec {
        tasks,
        resources: Resources::new(4_000, 8_000, 0),
        estimate: Duration::from_millis(millis),
        ..StepSpec::default()
    };
    JobSpec { queue: queue(), payload: "text".into(), steps: vec![step], repeat: None, workspace: None }
}

/// Weight of workspaces that are entitled to all jobs of a test.
pub const LARGE_WEIGHT: f64 = 1_000.0;

/// Makes a job belong to a workspace, with the cap that the host which took it knew.
pub fn in_workspace(name: &str, cap: Resources, spec: JobSpec) -> JobSpec {
    let name = name.parse().expect("short name");
    JobSpec {
        workspace: Some(Workspace { name, terms: WorkspaceTerms { weight: LARGE_WEIGHT, cap } }),
        ..spec
    }
}

pub fn queue() -> Queue {
    Queue {
        name: "queue".into(),
        service: "service".into(),
        priority: 1,
        max_failures: 3,
        stretch_factor: 2.0,
        target_latency: Duration::from_millis(1_000),
        recommendation: None,
    }
}

/// Probabilities of the injected faults.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    /// An order is not answered and is executed seconds later.
    pub delayed_order: f64,
    /// A run fails.
    pub failed_run: f64,
    /// A run takes seven times as long as others of its step.
    pub straggler: f64,
    /// Standard deviation of the durations of a step's tasks, natural logarithm.
    pub task_deviation: f64,
    /// Standard deviation of a step's duration from its estimate, natural logarithm.
    pub estimate_deviation: f64,
    /// A call is executed and its answer is lost.
    pub lost_answer: f64,
    /// Longest time by which an answer is late, milliseconds; answers overtake each other.
    pub answer_delay: u64,
}

/// Call to a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    ExtendLease,
    Start,
    Stop,
    SetPace,
}

/// What happens to a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallFault {
    /// It is not answered and is executed after this time, milliseconds.
    ExecutedAfter(u64),
    /// It is executed and its answer is lost.
    AnswerLost,
    /// It is executed and its answer is late by this time, milliseconds.
    AnswerAfter(u64),
}

/// How a worker leaves: times until its parts end, milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Departure {
    /// Until it answers no more calls.
    pub answers: u64,
    /// Until its registry entry is removed.
    pub entry: u64,
    /// Until its runs end.
    pub runs: u64,
    /// Whether it still receives calls until its runs end.
    pub one_way: bool,
}

/// Tasks that crash their workers.
#[derive(Debug, Clone)]
pub struct DeadlyTasks {
    /// Deadly tasks; a job of occurrences has them in each.
    pub tasks: BTreeSet<(JobKey, u32)>,
    /// Time from the start of the run to the crash, milliseconds.
    pub crash_after: u64,
    /// Time after which a crashed worker is back, milliseconds.
    pub down: u64,
    /// Whether it is back under another id at the same address.
    pub new_id: bool,
}

#[derive(Debug, Clone)]
struct Run {
    ends_at: Timestamp,
    kind: EndKind,
    resources: Resources,
    /// Resources of the task that count against the cap of its workspace.
    counted: Resources,
    workspace: Option<Workspace>,
    started: Timestamp,
    in_gang: bool,
    is_filler: bool,
    /// Speed of a filler, percent.
    percent: u64,
    /// Target of the tail latency of a serving run, milliseconds.
    tail_target: Option<u64>,
}

/// Answer to a call that a worker executes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reply {
    /// It arrives as usual, later by this time, milliseconds.
    After(u64),
    /// It is lost; the call fails once it has timed out.
    Lost,
    /// The call has failed before.
    Unwanted,
}

/// Lease extension that is not answered yet.
#[derive(Debug)]
struct PendingReport {
    epoch: Epoch,
    /// Incarnation that the call names; it may be an earlier one.
    called: WorkerIncarnation,
    /// When the call was sent.
    sent: Timestamp,
    /// Time of the answer.
    until: Timestamp,
    /// Last acknowledged end.
    acked_end: u64,
    reply: Reply,
}

/// Member of a gang and its worker.
type Member = (WorkerIncarnation, TaskKey, Run);

#[derive(Debug)]
struct Worker {
    entry: WorkerEntry,
    /// Highest fence that the worker has seen.
    fence: Fence,
    /// End of the lease on the worker's clock, milliseconds.
    deadline: u64,
    /// Time at which the worker's clock started, and what it showed, milliseconds.
    clock_start: (Timestamp, u64),
    /// Rate of the worker's clock against simulated time.
    clock_rate: f64,
    /// Time by which the timer of the lease fires late, milliseconds.
    timer_delay: u64,
    runs: BTreeMap<(TaskKey, u32), Run>,
    ended: Vec<EndedRun>,
    /// Sequence number of the last ended run.
    last_end: u64,
    /// Ended runs up to this sequence number were not acknowledged before the lease expired, and count as lost.
    last_lapsed: u64,
    /// Highest run number by task.
    highest_runs: BTreeMap<TaskKey, u32>,
    pending_reports: Vec<PendingReport>,
    unreachable_until: Timestamp,
    /// Whether an unreachable worker still receives calls and only its answers are lost.
    receives_calls: bool,
    /// When each deadly run crashes the worker, unless it has ended by then.
    crash_times: BTreeMap<(TaskKey, u32), Timestamp>,
    /// Whether the worker has crashed and waits for its restart.
    is_down: bool,
    /// When the parts of a leaving worker end: its answers, its registry entry and its runs; `None` once they have.
    departure: [Option<Timestamp>; 3],
    /// Whether a leaving worker still receives calls.
    leaves_one_way: bool,
    /// Whether the worker has removed its registry entry.
    is_deregistered: bool,
    /// Whether the process of the worker has ended, so that its address refuses connections.
    is_gone: bool,
    /// When the owner received the present capacity; orders sent before are refused if they exceed it.
    capacity_seen: Timestamp,
    /// Speed of its runs.
    speed: f64,
}

impl Worker {
    /// Creates a worker whose clock shows `clock` milliseconds at `now`.
    fn new(number: u32, started_at: u64, now: Timestamp, clock: u64) -> Self {
        let entry = WorkerEntry {
            incarnation: WorkerIncarnation::new(&format!("w{number}"), started_at),
            service: "service".into(),
            address: format!("w{number}:1"),
            zone: "zone".into(),
            rack: Some(format!("rack-{}", number / 4).into()),
            labels: [].into(),
            capacity: WORKER_CAPACITY,
            draining: false,
            remaining: None,
        };
        Self {
            entry,
            fence: Fence::default(),
            deadline: 0,
            clock_start: (now, clock),
            clock_rate: 1.0,
            timer_delay: 0,
            runs: BTreeMap::new(),
            ended: Vec::new(),
            last_end: 0,
            last_lapsed: 0,
            highest_runs: BTreeMap::new(),
            pending_reports: Vec::new(),
            unreachable_until: Timestamp::ZERO,
            receives_calls: false,
            crash_times: BTreeMap::new(),
            is_down: false,
            departure: [None; 3],
            leaves_one_way: false,
            is_deregistered: false,
            is_gone: false,
            capacity_seen: Timestamp::ZERO,
            speed: 1.0,
        }
    }

    fn clock(&self, now: Timestamp) -> u64 {
        let (start, shown) = self.clock_start;
        let elapsed = now.since(start).mul_f64(self.clock_rate);
        shown + u64::try_from(elapsed.as_millis()).expect("simulated time fits in 64 bits")
    }

    fn used(&self) -> Resources {
        self.runs.values().fold(Resources::ZERO, |sum, r| sum + r.resources)
    }

    /// Extends the lease, at most to `max_lease` milliseconds from now.
    fn extend_lease(&mut self, now: Timestamp, deadline: u64, max_lease: u64) {
        self.deadline = self.deadline.max(deadline.min(self.clock(now) + max_lease));
    }

    fn end_run(&mut self, task: TaskKey, run: u32, kind: EndKind) {
        self.runs.remove(&(task, run));
        let highest = self.highest_runs.entry(task).or_default();
        *highest = (*highest).max(run);
        self.last_end += 1;
        self.ended.push(EndedRun { number: self.last_end, task, run, kind, checkpoint: String::new() });
    }

    fn report(&self, now: Timestamp, checkpoint_bytes: usize) -> Report {
        // Each filler at full speed adds 40 ms to a tail latency of 60 ms.
        let fillers = self.runs.values().filter(|r| r.is_filler);
        let tail_ms = 60 + fillers.map(|r| r.percent * 40 / 100).sum::<u64>();
        let active = self.runs.iter().map(|((task, run), state)| {
            let load = state.tail_target.map_or(0, |_| tail_ms);
            let duration = state.ends_at.since(state.started).as_millis().max(1);
            let percent = u32::try_from(now.since(state.started).as_millis() * 100 / duration).unwrap_or(100);
            let checkpoint = "c".repeat(checkpoint_bytes);
            ActiveRun { task: *task, run: *run, checkpoint, percent: percent.min(100), load }
        });
        Report {
            started_at: Some(self.entry.incarnation.started_at),
            clock: self.clock(now),
            active: active.collect(),
            ended: self.ended.clone(),
        }
    }
}

#[derive(Debug)]
enum Delivery {
    Order(Epoch, Action, Reply),
    Event(Epoch, Event),
    /// Removal of the registry entry of a worker.
    Unlisting(Epoch, Arc<str>),
    /// Registry entry of the worker of this number, as it is on arrival.
    Registration(Epoch, usize),
    /// Answer to a recommendation request that waits for no host.
    QuickRecommendation(Epoch, RecommendationRequest),
    /// Answer to a recommendation request, by the host that made it and its number there.
    Recommendation(Epoch, RequestHost, u64),
}

fn alarms(counters: Counters) -> u64 {
    let by_proof = EndProof::ALL.map(|proof| counters.active_after_free.get(proof));
    by_proof.iter().sum::<u64>() + counters.active_unplaced
}

/// Simulated cluster of an owner, a store and workers.
pub struct SimulatedCluster {
    /// Longest lease that a worker takes, milliseconds.
    max_lease: u64,
    pub now: Timestamp,
    /// Errors of the times of day of the hosts and of the workers, milliseconds.
    pub host_clock_error: i64,
    pub worker_clock_error: i64,
    /// Whether the next incarnation of a worker may have an earlier start time, as after a step of its time of day.
    pub may_start_earlier: bool,
    pub rng: ChaCha8Rng,
    pub faults: Faults,
    pub deadly: Option<DeadlyTasks>,
    /// Length of the checkpoints that runs report, bytes.
    pub checkpoint_bytes: usize,
    /// Image whose runs slow down those of the second one beside them, by this many percent.
    pub disturbs: Option<(String, String, u64)>,
    /// Crashes of workers by the deadly task that caused them, and its starts after the third one.
    pub crashes: BTreeMap<TaskKey, (u32, u32)>,
    /// Workers that crashed under each task, whichever run was the cause.
    pub lost_workers: BTreeMap<TaskKey, u32>,
    /// Last answer by call number.
    pub answers: BTreeMap<u64, Answer>,
    /// Last state of each job that was reported to callers.
    pub visible_states: BTreeMap<JobKey, JobState>,
    /// Number of started runs by job.
    pub starts: BTreeMap<JobKey, u32>,
    pub store_up: bool,
    /// Whether a run is active after it was freed, without a second one beside it.
    pub expects_alarm: bool,
    /// Until when the owner computes nothing, and the events that wait for it.
    frozen_until: Timestamp,
    waiting_events: Vec<Event>,
    /// Faults of the next calls of a kind to a worker, in this order.
    call_faults: Vec<(Arc<str>, CallKind, CallFault)>,
    /// Longest time after which a new owner, or a new incarnation of a worker, sees the registry entry, milliseconds.
    pub max_registry_delay: u64,
    /// Number of recommendation requests.
    pub requests: u32,
    /// Ids of the workers that may run the steps of queues with recommendations; `None` for all.
    pub allowed: Option<BTreeSet<String>>,
    /// Number of the next recommendation requests that are answered for another step, whose workers are the others.
    pub mixed_up_answers: u32,
    /// Ids of the workers that refuse each ticket.
    pub refuses_tickets: BTreeSet<String>,
    /// First recommendation request of each step: when it was made, and when its call began.
    pub first_requests: BTreeMap<StepKey, (Timestamp, Option<Timestamp>)>,
    /// Expected duration of the open recommendation request of each step.
    pub open_requests: BTreeMap<StepKey, Duration>,
    /// Queue of recommendation requests; without it each is answered after 20 ms.
    pub request_queue: Option<RequestQueue>,
    /// Step, worker and expiry of each ticket.
    tickets: BTreeMap<String, (StepKey, WorkerIncarnation, Timestamp)>,
    /// Versions of the table of workspaces, each with the time from which it was in force.
    tables: Vec<(Timestamp, Arc<WorkspaceTable>)>,
    /// When the last lease extension was sent, by worker.
    extended: BTreeMap<WorkerIncarnation, Timestamp>,
    /// When the start order of a run was sent.
    ordered: BTreeMap<(TaskKey, u32), Timestamp>,
    owner: Option<Owner>,
    epoch: Epoch,
    records: BTreeMap<String, Vec<u8>>,
    /// Write in flight and the time at which it takes effect.
    write: Option<(Timestamp, Vec<Entry>)>,
    workers: BTreeMap<WorkerIncarnation, Worker>,
    specs: BTreeMap<JobKey, Arc<JobSpec>>,
    done_tasks: BTreeSet<TaskKey>,
    /// When each run ended as done.
    done_runs: BTreeMap<(TaskKey, u32), Timestamp>,
    /// Last start of each task, with its run number.
    last_starts: BTreeMap<TaskKey, (Timestamp, u32)>,
    /// Done tasks whose end the owner has acknowledged before the worker's lease expired.
    acknowledged_tasks: BTreeSet<TaskKey>,
    accepted: BTreeSet<JobKey>,
    /// Gang runs of which all members have been running.
    complete_gangs: BTreeSet<(StepKey, u32)>,
    /// Gang runs of which a member has ended.
    ended_gangs: BTreeSet<(StepKey, u32)>,
    deliveries: BTreeMap<(Timestamp, u64), Delivery>,
    last_delivery: u64,
}

impl SimulatedCluster {
    pub fn new(seed: u64, workers: u32) -> Self {
        Self::with_max_lease(seed, workers, MAX_LEASE_MS)
    }

    /// Returns a cluster whose workers take leases of up to `max_lease` milliseconds.
    pub fn with_max_lease(seed: u64, workers: u32, max_lease: u64) -> Self {
        let mut cluster = Self {
            max_lease,
            now: Timestamp::from_millis(100_000),
            host_clock_error: 0,
            worker_clock_error: 0,
            may_start_earlier: false,
            rng: ChaCha8Rng::seed_from_u64(seed),
            faults: Faults::default(),
            deadly: None,
            checkpoint_bytes: 0,
            disturbs: None,
            crashes: BTreeMap::new(),
            lost_workers: BTreeMap::new(),
            answers: BTreeMap::new(),
            visible_states: BTreeMap::new(),
            starts: BTreeMap::new(),
            store_up: true,
            expects_alarm: false,
            frozen_until: Timestamp::ZERO,
            waiting_events: Vec::new(),
            call_faults: Vec::new(),
            max_registry_delay: 0,
            requests: 0,
            allowed: None,
            mixed_up_answers: 0,
            refuses_tickets: BTreeSet::new(),
            first_requests: BTreeMap::new(),
            open_requests: BTreeMap::new(),
            request_queue: None,
            tickets: BTreeMap::new(),
            tables: Vec::new(),
            extended: BTreeMap::new(),
            ordered: BTreeMap::new(),
            owner: None,
            epoch: Epoch(0),
            records: BTreeMap::new(),
            write: None,
            workers: BTreeMap::new(),
            specs: BTreeMap::new(),
            done_tasks: BTreeSet::new(),
            done_runs: BTreeMap::new(),
            last_starts: BTreeMap::new(),
            acknowledged_tasks: BTreeSet::new(),
            accepted: BTreeSet::new(),
            complete_gangs: BTreeSet::new(),
            ended_gangs: BTreeSet::new(),
            deliveries: BTreeMap::new(),
            last_delivery: 0,
        };
        for number in 0..workers {
            let clock = cluster.now.as_micros() / 1_000 + u64::from(number) * 1_000;
            let worker = Worker::new(number, 1, cluster.now, clock);
            cluster.workers.insert(worker.entry.incarnation.clone(), worker);
        }
        cluster.take_over(true);
        cluster
    }

    /// Returns the time of day of a machine whose clock is off by `error` milliseconds.
    fn wall(&self, error: i64) -> u64 {
        (1_790_000_000_000 + self.now.as_micros() / 1_000).saturating_add_signed(error)
    }

    /// Replaces the owner by a new one; a write in flight takes effect only if `write_lands`.
    pub fn take_over(&mut self, write_lands: bool) {
        if let Some((_, entries)) = self.write.take()
            && write_lands
        {
            self.store_entries(entries);
        }
        self.frozen_until = Timestamp::ZERO;
        self.waiting_events.clear();
        self.epoch = Epoch(self.epoch.0 + 1);
        let ownership = Ownership { epoch: self.epoch, address: "a:1".into(), host: "a".into() };
        let mut records = StoredRecords::default();
        for (key, value) in &self.records {
            let entry = Entry { key: key.clone(), value: Some(value.clone()) };
            records.add(Record::try_from(&entry).expect("decodes its own encoding"));
        }
        let table = self.tables.last().map(|(_, table)| table.clone()).unwrap_or_default();
        let options = OwnerOptions::new(ownership, Duration::from_millis(self.max_lease)).workspaces(table);
        self.owner = Some(Owner::restore(options, records, self.now, self.wall(self.host_clock_error)));
        (0..self.workers.len()).for_each(|number| self.register(number));
    }

    /// Puts a version of the table of workspaces in force, with these caps and an overage of a tenth.
    pub fn set_caps(&mut self, caps: &[(&str, Resources)]) {
        let terms: Vec<_> = caps.iter().map(|(name, cap)| (*name, LARGE_WEIGHT, *cap)).collect();
        self.set_workspaces(&terms);
    }

    /// Puts a version of the table of workspaces in force, with these weights and caps and an overage of a tenth.
    pub fn set_workspaces(&mut self, all: &[(&str, f64, Resources)]) {
        let terms = |(name, weight, cap): &(&str, f64, Resources)| {
            (name.parse().expect("short name"), WorkspaceTerms { weight: *weight, cap: *cap })
        };
        let workspaces = all.iter().map(terms);
        let version = self.tables.len() as u64 + 1;
        let table = Arc::new(WorkspaceTable {
            version,
            overage: 0.1,
            workspaces: workspaces.collect(),
            ..WorkspaceTable::default()
        });
        self.tables.push((self.now, table.clone()));
        self.handle_event(Event::Workspaces(table));
    }

    /// Returns the sum of what the workers run for a workspace.
    pub fn running_of(&self, name: &WorkspaceName) -> Resources {
        let runs = self.workers.values().flat_map(|w| w.runs.values());
        let runs = runs.filter(|r| r.workspace.as_ref().is_some_and(|w| w.name == *name));
        runs.fold(Resources::ZERO, |sum, r| sum + r.counted)
    }

    /// Checks that a start left the sum of its workspace within the cap, plus the overage and one task. Of the versions in
    /// force since the order was sent, the one with the highest cap counts.
    fn check_cap(&self, task: TaskKey, run: u32, workspace: &Workspace, need: Resources) {
        let ordered = self.ordered.get(&(task, run)).copied().unwrap_or(self.now);
        let sum = self.running_of(&workspace.name);
        let until = self.tables.iter().skip(1).map(|(from, _)| *from).chain([Timestamp::MAX]);
        let tables = self.tables.iter().zip(until).filter(|(_, until)| *until >= ordered);
        let caps = tables.filter_map(|((_, table), _)| Some(table.workspaces.get(&workspace.name)?.cap));
        let caps: Vec<Resources> = caps.collect();
        let check = |part: fn(Resources) -> u64| {
            let exceeds = |cap: &Resources| {
                part(*cap) > 0 && part(sum) as f64 > part(*cap) as f64 * 1.1 + part(need) as f64
            };
            let is_violation = !caps.is_empty() && caps.iter().all(exceeds);
            assert!(!is_violation, "{task} run {run} brings {} to {sum}, caps {caps:?}", workspace.name);
        };
        check(|r| r.cpu.0);
        check(|r| r.memory.0);
        check(|r| u64::from(r.accelerators.0));
    }

    /// Shows the owner the registry entry of a worker, at once or after a random delay.
    pub fn register(&mut self, number: usize) {
        let delay = self.rng.random_range(0..=self.max_registry_delay);
        let registration = Delivery::Registration(self.epoch, number);
        if delay == 0 { self.deliver(registration) } else { self.deliver_after(delay, registration) }
    }

    /// Removes the registry entry of a worker, as the registry does after a time without heartbeats.
    pub fn unlist(&mut self, number: usize) {
        if let Some(incarnation) = self.workers.keys().nth(number) {
            self.handle_event(Event::WorkerUnlisted(incarnation.id.clone(), Unlisting::Unexplained));
        }
    }

    /// Removes the registry entry of a worker, as the worker itself does when it leaves.
    pub fn deregister(&mut self, number: usize) {
        if let Some(incarnation) = self.workers.keys().nth(number) {
            self.handle_event(Event::WorkerUnlisted(incarnation.id.clone(), Unlisting::Deregistered));
        }
    }

    /// Makes a worker drain that says how long it stays at least, milliseconds.
    pub fn drain_for(&mut self, number: usize, remaining: Option<u64>) {
        if let Some(worker) = self.workers.values_mut().nth(number) {
            worker.entry.remaining = remaining.map(Duration::from_millis);
        }
        self.set_draining(number, true);
    }

    /// Changes whether a worker drains, and registers it.
    pub fn set_draining(&mut self, number: usize, draining: bool) {
        if let Some(worker) = self.workers.values_mut().nth(number) {
            worker.entry.draining = draining;
        }
        self.register(number);
    }

    /// Returns the registry entry of a worker.
    pub fn entry_of(&self, number: usize) -> WorkerEntry {
        self.workers.values().nth(number).expect("known worker").entry.clone()
    }

    /// Returns the number of runs on a worker.
    pub fn running_on(&self, number: usize) -> u32 {
        let runs = self.workers.values().nth(number).map_or(0, |w| w.runs.len());
        u32::try_from(runs).expect("few runs")
    }

    /// Replaces a worker by a new incarnation with the same id and address, which knows nothing of its runs and of earlier
    /// epochs, and whose clock starts anew.
    pub fn restart_worker(&mut self, number: usize) {
        self.restart_unregistered(number);
        self.register(number);
    }

    /// Restarts a worker whose later incarnation has not written its registry entry yet.
    pub fn restart_unregistered(&mut self, number: usize) {
        self.replace_incarnation(number, CALL_ROUND_TRIP_MS / 2);
    }

    /// Restarts a worker without a sign of it: its later incarnation has not written its registry entry yet, and the call that
    /// is waiting for an answer times out.
    pub fn restart_unnoticed(&mut self, number: usize) {
        self.replace_incarnation(number, 1_000 + ORDER_TIMEOUT_MS);
    }

    /// Replaces a worker by its next incarnation; the calls that wait for an answer fail after `notice` milliseconds.
    fn replace_incarnation(&mut self, number: usize, notice: u64) {
        let Some(incarnation) = self.workers.keys().nth(number).cloned() else { return };
        let previous = self.workers.remove(&incarnation);
        let id = incarnation.id.trim_start_matches('w').parse().expect("the id ends with a number");
        let started_at = self.wall(self.worker_clock_error);
        let started_at =
            if self.may_start_earlier { started_at } else { started_at.max(incarnation.started_at + 1) };
        let mut worker = Worker::new(id, started_at, self.now, 0);
        if let Some(previous) = previous {
            worker.entry.capacity = previous.entry.capacity;
            worker.capacity_seen = previous.capacity_seen;
            let awaited = previous.pending_reports.into_iter().filter(|p| p.reply != Reply::Unwanted);
            for PendingReport { epoch, called, sent, .. } in awaited {
                let broken = Event::LeaseAnswered(called, sent, Err(OrderError::Silent));
                self.deliver_after(notice, Delivery::Event(epoch, broken));
            }
        }
        self.workers.insert(worker.entry.incarnation.clone(), worker);
    }

    /// Replaces a worker by one with another id at the same address.
    fn replace_worker(&mut self, number: usize) {
        let Some((incarnation, previous)) = self.workers.iter().nth(number) else { return };
        let (incarnation, address) = (incarnation.clone(), previous.entry.address.clone());
        self.workers.remove(&incarnation);
        self.handle_event(Event::WorkerUnlisted(incarnation.id.clone(), Unlisting::Unexplained));
        let id: u32 = incarnation.id.trim_start_matches('w').parse().expect("the id ends with a number");
        let started_at = self.wall(self.worker_clock_error).max(incarnation.started_at + 1);
        let mut worker = Worker::new(id + 100, started_at, self.now, 0);
        worker.entry.address = address;
        let replacement = worker.entry.incarnation.clone();
        self.workers.insert(replacement.clone(), worker);
        let position = self.workers.keys().position(|i| *i == replacement);
        position.into_iter().for_each(|number| self.register(number));
    }

    /// Changes the capacity that a worker has and reports.
    pub fn resize_worker(&mut self, number: usize, capacity: Resources) {
        if let Some(worker) = self.workers.values_mut().nth(number) {
            worker.entry.capacity = capacity;
            worker.capacity_seen = Timestamp::MAX;
        }
        self.register(number);
    }

    /// Sets the labels of a worker, and registers it.
    pub fn set_labels(&mut self, number: usize, labels: &[&str]) {
        if let Some(worker) = self.workers.values_mut().nth(number) {
            worker.entry.labels = labels.iter().map(|label| (*label).to_owned()).collect();
        }
        self.register(number);
    }

    /// Crashes a worker, which is back after `down` milliseconds.
    pub fn crash_worker(&mut self, number: usize, down: u64) {
        let now = self.now;
        if let Some(worker) = self.workers.values_mut().nth(number).filter(|w| !w.is_down) {
            for (task, _) in std::mem::take(&mut worker.runs).into_keys() {
                *self.lost_workers.entry(task).or_default() += 1;
            }
            worker.crash_times.clear();
            worker.is_down = true;
            worker.receives_calls = false;
            worker.unreachable_until = now + Duration::from_millis(down);
            worker.pending_reports.iter_mut().for_each(|p| p.until = now);
        }
    }

    /// Sets the rate of a worker's clock, and by how many milliseconds the timer of its lease fires late.
    pub fn set_clock(&mut self, number: usize, rate: f64, timer_delay: u64) {
        let now = self.now;
        if let Some(worker) = self.workers.values_mut().nth(number) {
            worker.clock_start = (now, worker.clock(now));
            worker.clock_rate = rate;
            worker.timer_delay = timer_delay;
        }
    }

    /// Makes a worker leave, whose answers, registry entry and runs end one after the other.
    pub fn leave_worker(&mut self, number: usize, departure: Departure) {
        let now = self.now;
        if let Some(worker) = self.workers.values_mut().nth(number) {
            let parts = [departure.answers, departure.entry, departure.runs];
            worker.departure = parts.map(|millis| Some(now + Duration::from_millis(millis)));
            worker.leaves_one_way = departure.one_way;
        }
        self.advance_departures();
    }

    /// Ends the parts of leaving workers whose time has come.
    fn advance_departures(&mut self) {
        let now = self.now;
        let mut removed = Vec::new();
        for (incarnation, worker) in &mut self.workers {
            let leaves = worker.departure.iter().any(Option::is_some);
            let [answers, entry, runs] = &mut worker.departure;
            if answers.take_if(|at| *at <= now).is_some() {
                worker.unreachable_until = Timestamp::MAX;
                worker.receives_calls = worker.leaves_one_way;
                worker.pending_reports.iter_mut().for_each(|p| p.until = now);
            }
            if entry.take_if(|at| *at <= now).is_some() {
                worker.is_deregistered = true;
                removed.push(incarnation.id.clone());
            }
            if runs.take_if(|at| *at <= now).is_some() {
                worker.runs.clear();
            }
            if leaves && worker.departure.iter().all(Option::is_none) {
                worker.is_gone = true;
                worker.receives_calls = false;
            }
        }
        for id in removed {
            let delay = if self.max_registry_delay == 0 {
                0
            } else {
                self.rng.random_range(0..=self.max_registry_delay)
            };
            self.deliver_after(delay, Delivery::Unlisting(self.epoch, id));
        }
    }

    /// Crashes the workers on which a deadly task has been active for long enough, and restarts those that were down.
    fn advance_crashes(&mut self) {
        let now = self.now;
        let down = self.deadly.as_ref().map_or(0, |d| d.down);
        for number in 0..self.workers.len() {
            let Some(worker) = self.workers.values_mut().nth(number) else { continue };
            worker.crash_times.retain(|key, _| worker.runs.contains_key(key));
            let culprit = worker.crash_times.iter().find(|(_, at)| **at <= now).map(|(key, _)| key.0);
            let is_back = worker.is_down && worker.unreachable_until <= now;
            if let Some(task) = culprit {
                self.crashes.entry(task).or_default().0 += 1;
                self.crash_worker(number, down);
            }
            if is_back && self.deadly.as_ref().is_some_and(|d| d.new_id) {
                self.replace_worker(number);
            } else if is_back {
                self.restart_worker(number);
            }
        }
    }

    /// Counts a start of a deadly task, schedules the crash of its worker, and checks the budget of the task.
    fn start_deadly(&mut self, incarnation: &WorkerIncarnation, task: TaskKey, run: u32) {
        let Some(deadly) = &self.deadly else { return };
        if !deadly.tasks.contains(&(task.step.job, task.index)) {
            return;
        }
        let crash_at = self.now + Duration::from_millis(deadly.crash_after);
        if let Some(worker) = self.workers.get_mut(incarnation) {
            worker.crash_times.insert((task, run), crash_at);
        }
        let (crashes, later_starts) = self.crashes.entry(task).or_default();
        if *crashes >= 3 {
            *later_starts += 1;
        }
        assert!(
            *later_starts < MAX_STARTS_AFTER_CRASHES,
            "{task} starts once more after {crashes} workers have crashed under it"
        );
    }

    pub fn submit(&mut self, number: u64, spec: JobSpec) {
        let spec = Arc::new(spec);
        self.specs.insert(JobKey(number), spec.clone());
        self.call(number, Request::Submit(JobKey(number), spec));
    }

    pub fn call(&mut self, number: u64, request: Request) {
        self.handle_event(Event::Call(CallId { link: 0, number }, request));
    }

    pub fn handle_event(&mut self, event: Event) {
        if self.now < self.frozen_until {
            self.waiting_events.push(event);
            return;
        }
        let wall = self.wall(self.host_clock_error);
        let mut actions = Vec::new();
        if let Some(owner) = &mut self.owner {
            if let Some(request_queue) = &self.request_queue {
                owner.set_requesting_hosts(request_queue.host_count());
            }
            owner.handle(self.now, wall, event, &mut actions);
            let alarms = alarms(owner.counters());
            assert!(alarms == 0 || self.expects_alarm, "{alarms} runs count as active after they were freed");
        }
        for action in actions {
            self.perform(action);
        }
    }

    fn deliver_after(&mut self, millis: u64, delivery: Delivery) {
        self.last_delivery += 1;
        self.deliveries.insert((self.now + Duration::from_millis(millis), self.last_delivery), delivery);
    }

    fn perform(&mut self, action: Action) {
        let epoch = self.epoch;
        if let Action::Start { task, run, .. } = &action {
            self.ordered.insert((*task, *run), self.now);
        }
        if let Action::ExtendLease { incarnation, sent, .. } = &action {
            self.extended.insert(incarnation.clone(), *sent);
        }
        match action {
            Action::Reply(call, answer) => {
                self.check_answer(call.number, &answer);
                self.answers.insert(call.number, answer);
            }
            Action::Append(entries) => {
                assert!(self.write.is_none(), "a second write was sent while one is in flight");
                let lengths = entries.iter().map(|e| 1 + e.key.len() + e.value.as_ref().map_or(0, Vec::len));
                let largest = lengths.max().unwrap_or(0);
                assert!(largest <= MAX_RECORD_BYTES, "a record of {largest} bytes is refused for ever");
                self.write = Some((self.now + Duration::from_millis(WRITE_MS), entries));
            }
            Action::Start { .. }
            | Action::Stop { .. }
            | Action::SetPace { .. }
            | Action::ExtendLease { .. }
                if self.call_faults.iter().any(|fault| concerns(fault, &action)) =>
            {
                let position = self.call_faults.iter().position(|f| concerns(f, &action));
                let (_, _, fault) = self.call_faults.remove(position.expect("a fault is due"));
                let (delay, reply) = match fault {
                    CallFault::ExecutedAfter(delay) => {
                        let no_answer = Delivery::Event(epoch, unanswered(&action));
                        self.deliver_after(ORDER_TIMEOUT_MS, no_answer);
                        (delay, Reply::Unwanted)
                    }
                    CallFault::AnswerLost => (CALL_ROUND_TRIP_MS / 2, Reply::Lost),
                    CallFault::AnswerAfter(delay) => (CALL_ROUND_TRIP_MS / 2, Reply::After(delay)),
                };
                self.deliver_after(delay, Delivery::Order(epoch, action, reply));
            }
            Action::Start { .. } | Action::Stop { .. } if self.rng.random_bool(self.faults.delayed_order) => {
                let no_answer = unanswered(&action);
                let delay = self.rng.random_range(2_000..12_000);
                self.deliver_after(delay, Delivery::Order(epoch, action, Reply::After(0)));
                self.deliver_after(ORDER_TIMEOUT_MS, Delivery::Event(epoch, no_answer));
            }
            Action::Start { .. }
            | Action::Stop { .. }
            | Action::SetPace { .. }
            | Action::ExtendLease { .. } => {
                let reply = self.random_reply();
                self.deliver_after(CALL_ROUND_TRIP_MS / 2, Delivery::Order(epoch, action, reply));
            }
            Action::RequestRecommendation(request) if self.request_queue.is_some() => {
                self.requests += 1;
                if request.kind == RequestKind::First {
                    self.first_requests.entry(request.step).or_insert((self.now, None));
                }
                self.open_requests.insert(request.step, request.duration());
                self.request_queue.iter_mut().for_each(|q| q.enqueue(request.clone()));
                self.start_requests();
            }
            Action::RequestRecommendation(request) => {
                self.requests += 1;
                self.deliver_after(20, Delivery::QuickRecommendation(epoch, request));
            }
            Action::StepDown(epoch) => assert!(epoch < self.epoch, "the current owner was fenced"),
        }
    }

    /// Returns what happens to the answer to a call.
    fn random_reply(&mut self) -> Reply {
        let Faults { lost_answer, answer_delay, .. } = self.faults;
        if lost_answer > 0.0 && self.rng.random_bool(lost_answer) {
            Reply::Lost
        } else if answer_delay > 0 {
            Reply::After(self.rng.random_range(0..=answer_delay))
        } else {
            Reply::After(0)
        }
    }

    /// Delivers the answer to a call, or its failure.
    fn answer(&mut self, epoch: Epoch, event: Event, reply: Reply) {
        match reply {
            Reply::After(delay) => {
                self.deliver_after(CALL_ROUND_TRIP_MS / 2 + delay, Delivery::Event(epoch, event));
            }
            Reply::Lost => {
                self.deliver_after(ORDER_TIMEOUT_MS, Delivery::Event(epoch, without_answer(event)));
            }
            Reply::Unwanted => {}
        }
    }

    /// Starts the recommendation requests for which a host is free.
    fn start_requests(&mut self) {
        let epoch = self.epoch;
        while let Some((host, number, request)) = self.request_queue.as_mut().and_then(RequestQueue::dispatch)
        {
            if let Some((_, begun)) = self.first_requests.get_mut(&request.step) {
                begun.get_or_insert(self.now);
            }
            let millis =
                u64::try_from(request.duration().as_millis()).expect("cost in milliseconds fits in 64 bits");
            self.deliver_after(millis, Delivery::Recommendation(epoch, host, number));
        }
    }

    /// Checks that an accepted job is stored, and that a refused one is neither stored nor started.
    fn check_answer(&mut self, number: u64, answer: &Answer) {
        match answer {
            Answer::Accepted => {
                let key = format!("j{}", JobKey(number));
                let has_progress = self.records.contains_key(&format!("p{}", JobKey(number)));
                assert!(
                    self.records.contains_key(&key) || has_progress,
                    "job {number} was accepted and is not stored"
                );
                self.accepted.insert(JobKey(number));
            }
            Answer::Refused { .. } => {
                assert!(
                    !self.records.contains_key(&format!("j{}", JobKey(number))),
                    "job {number} was refused and is stored"
                );
                assert!(
                    !self.starts.contains_key(&JobKey(number)),
                    "job {number} was refused and was started"
                );
            }
            _ => {}
        }
    }

    fn store_entries(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            match entry.value {
                Some(value) => drop(self.records.insert(entry.key, value)),
                None => drop(self.records.remove(&entry.key)),
            }
        }
    }

    /// Injects a fault into the next call of a kind to a worker.
    pub fn fault_next_call(&mut self, number: usize, kind: CallKind, fault: CallFault) {
        if let Some(incarnation) = self.workers.keys().nth(number) {
            self.call_faults.push((incarnation.id.clone(), kind, fault));
        }
    }

    /// Makes a worker unreachable for `millis`, in both directions or only for its answers.
    pub fn disconnect(&mut self, number: usize, millis: u64, one_way: bool) {
        let until = self.now + Duration::from_millis(millis);
        let is_there = |w: &&mut Worker| !w.is_down && w.unreachable_until < Timestamp::MAX;
        if let Some(worker) = self.workers.values_mut().nth(number).filter(is_there) {
            worker.unreachable_until = until;
            worker.receives_calls = one_way;
        }
    }

    /// Advances simulated time by `millis`.
    pub fn advance(&mut self, millis: u64) {
        let end = self.now + Duration::from_millis(millis);
        while self.now < end {
            self.now = self.now + Duration::from_millis(TIME_STEP_MS);
            self.slow_disturbed();
            self.advance_workers();
            self.thaw_owner();
            while let Some(((at, _), _)) = self.deliveries.first_key_value()
                && *at <= self.now
            {
                let (_, delivery) = self.deliveries.pop_first().expect("a delivery is due");
                self.deliver(delivery);
            }
            if self.store_up
                && let Some((_, entries)) = self.write.take_if(|(at, _)| *at <= self.now)
            {
                self.store_entries(entries);
                self.handle_event(Event::Stored);
            }
            if self.now >= self.frozen_until {
                self.handle_event(Event::Tick);
            }
        }
    }

    /// Makes the owner compute nothing for `millis`, while calls on their way are executed.
    pub fn freeze_owner(&mut self, millis: u64) {
        self.frozen_until = self.now + Duration::from_millis(millis);
    }

    /// Hands the events that waited to an owner that computes again; its first event is a tick.
    fn thaw_owner(&mut self) {
        if self.now >= self.frozen_until && self.frozen_until > Timestamp::ZERO {
            self.frozen_until = Timestamp::ZERO;
            self.handle_event(Event::Tick);
            for event in std::mem::take(&mut self.waiting_events) {
                self.handle_event(event);
            }
        }
    }

    /// Pauses the owner for `millis`; its first event afterwards is a tick.
    pub fn pause_owner(&mut self, millis: u64) {
        let end = self.now + Duration::from_millis(millis);
        while self.now < end {
            self.now = self.now + Duration::from_millis(TIME_STEP_MS);
            self.advance_workers();
        }
        self.handle_event(Event::Tick);
    }

    /// Ends runs that are over or whose lease has expired, and sends the reports that are due.
    fn advance_workers(&mut self) {
        let (now, epoch, checkpoint_bytes) = (self.now, self.epoch, self.checkpoint_bytes);
        self.advance_crashes();
        self.advance_departures();
        self.advance_gangs();
        let mut reports = Vec::new();
        for worker in self.workers.values_mut() {
            if worker.deadline + worker.timer_delay <= worker.clock(now) {
                worker.last_lapsed = worker.last_end;
                for (task, run) in worker.runs.keys().copied().collect::<Vec<_>>() {
                    worker.end_run(task, run, EndKind::Lapsed);
                }
            }
            let ends_alone = |r: &Run| !r.in_gang || r.kind == EndKind::Stopped;
            let finished = worker.runs.iter().filter(|(_, r)| r.ends_at <= now && ends_alone(r));
            let finished: Vec<_> = finished.map(|(k, r)| (*k, r.kind)).collect();
            for ((task, run), kind) in finished {
                worker.end_run(task, run, kind);
                if kind == EndKind::Done {
                    self.done_tasks.insert(task);
                    self.done_runs.insert((task, run), now);
                }
            }
            let ended = &worker.ended;
            let is_due =
                |p: &mut PendingReport| p.until <= now || ended.iter().any(|e| e.number > p.acked_end);
            let due: Vec<_> = worker.pending_reports.extract_if(.., is_due).collect();
            for PendingReport { epoch, called, sent, reply, .. } in due {
                if worker.unreachable_until <= now {
                    let report = worker.report(now, checkpoint_bytes);
                    reports.push((epoch, Event::LeaseAnswered(called, sent, Ok(report)), reply));
                } else if reply != Reply::Unwanted {
                    let silent = Event::LeaseAnswered(called, sent, Err(OrderError::Silent));
                    reports.push((epoch, silent, Reply::After(0)));
                }
            }
        }
        for (from, report, reply) in reports {
            if from == epoch {
                self.answer(from, report, reply);
            }
        }
    }

    /// Ends gang runs: members make progress once the last one has started, and end together.
    fn advance_gangs(&mut self) {
        let now = self.now;
        let mut gangs: BTreeMap<(StepKey, u32), Vec<Member>> = BTreeMap::new();
        for (incarnation, worker) in &self.workers {
            for ((task, run), state) in worker.runs.iter().filter(|(_, r)| r.in_gang) {
                let members = gangs.entry((task.step, *run)).or_default();
                members.push((incarnation.clone(), *task, state.clone()));
            }
        }
        for ((step, run), members) in gangs {
            let spec = &self.specs[&step.job].steps[step.step as usize];
            let complete = members.len() == spec.tasks as usize;
            let ended = self.ended_gangs.contains(&(step, run));
            let last_start = members.iter().map(|(_, _, r)| r.started).max().unwrap_or_default();
            let first_start = members.iter().map(|(_, _, r)| r.started).min().unwrap_or_default();
            let failing = members.iter().position(|(_, _, r)| r.kind == EndKind::Failed);
            if complete {
                self.complete_gangs.insert((step, run));
            }
            let speeds = members.iter().filter_map(|(i, _, _)| Some(self.workers.get(i)?.speed));
            let slowest = speeds.fold(f64::INFINITY, f64::min);
            let over = complete && self.now >= last_start + spec.estimate.div_f64(slowest);
            let alone = !self.complete_gangs.contains(&(step, run))
                && self.now >= first_start + Duration::from_secs(3);
            let lost_member = !complete && self.complete_gangs.contains(&(step, run));
            if !(over || alone || ended || lost_member) {
                continue;
            }
            self.ended_gangs.insert((step, run));
            for (index, (incarnation, task, state)) in members.into_iter().enumerate() {
                let kind = match (over, failing) {
                    _ if state.kind == EndKind::Stopped => continue,
                    (true, None) => EndKind::Done,
                    (true, Some(member)) if member == index => EndKind::Failed,
                    _ if alone => EndKind::Alone,
                    _ => EndKind::Broken,
                };
                if kind == EndKind::Done {
                    self.done_tasks.extend((0..spec.tasks).map(|index| step.task(index)));
                    self.done_runs.insert((task, run), now);
                }
                if let Some(worker) = self.workers.get_mut(&incarnation) {
                    worker.end_run(task, run, kind);
                }
            }
        }
    }

    fn deliver(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Event(epoch, event) => {
                if epoch == self.epoch {
                    self.handle_event(event);
                }
            }
            Delivery::Registration(epoch, number) => {
                let worker = self.workers.values_mut().nth(number).filter(|w| !w.is_deregistered);
                if let Some(worker) = worker.filter(|_| epoch == self.epoch) {
                    let seen = self.now.max(self.frozen_until);
                    worker.capacity_seen = worker.capacity_seen.min(seen);
                    let entry = worker.entry.clone();
                    self.handle_event(Event::Worker(entry));
                }
            }
            Delivery::Unlisting(epoch, id) => {
                if epoch == self.epoch {
                    self.handle_event(Event::WorkerUnlisted(id, Unlisting::Deregistered));
                }
            }
            Delivery::Recommendation(epoch, host, number) => {
                let Some(request) = self.request_queue.as_mut().and_then(|q| q.complete(host, number)) else {
                    return;
                };
                self.open_requests.remove(&request.step);
                self.recommend(epoch, request);
                self.start_requests();
            }
            Delivery::QuickRecommendation(epoch, request) => self.recommend(epoch, request),
            Delivery::Order(epoch, action, reply) => self.deliver_order(epoch, action, reply),
        }
    }

    /// Answers a recommendation request with tickets for the present incarnations of its workers.
    fn recommend(&mut self, epoch: Epoch, request: RecommendationRequest) {
        let expiry = self.now + request.cost.validity;
        let is_mixed_up = self.mixed_up_answers > 0;
        self.mixed_up_answers = self.mixed_up_answers.saturating_sub(1);
        let step = if is_mixed_up { StepKey { job: JobKey(u64::MAX), ..request.step } } else { request.step };
        let mut recommended = Vec::new();
        for WorkerIncarnation { id, .. } in &request.workers {
            if self.is_allowed(id) == is_mixed_up {
                continue;
            }
            let Some(incarnation) = self.workers.keys().find(|i| i.id == *id) else { continue };
            let ticket = format!("ticket-{}", self.tickets.len());
            self.tickets.insert(ticket.clone(), (step, incarnation.clone(), expiry));
            recommended.push((id.clone(), ticket));
        }
        if epoch == self.epoch {
            self.handle_event(Event::Recommended(request.step, request.workers, Some(recommended)));
        }
    }

    fn is_allowed(&self, id: &str) -> bool {
        self.allowed.as_ref().is_none_or(|allowed| allowed.contains(id))
    }

    /// Whether a ticket lets a task of a step start on an incarnation of a worker now.
    fn is_valid(&self, ticket: Option<&String>, step: StepKey, worker: &WorkerIncarnation) -> bool {
        let issued = ticket.and_then(|ticket| self.tickets.get(ticket));
        let is_accepted = !self.refuses_tickets.contains(&*worker.id);
        issued.is_some_and(|(of, incarnation, expiry)| {
            is_accepted && *of == step && incarnation == worker && self.now < *expiry
        })
    }

    /// Delivers a call to the worker at its address. It names only the id, so that a later incarnation executes it.
    fn deliver_order(&mut self, epoch: Epoch, action: Action, reply: Reply) {
        let named = target_worker(&action);
        let address = target_address(&action);
        let no_answer = Delivery::Event(epoch, unanswered(&action));
        let wants_answer = reply != Reply::Unwanted;
        let Some(worker) = self.workers.values().find(|w| w.entry.address == address) else {
            return self.deliver_after(ORDER_TIMEOUT_MS, no_answer);
        };
        let incarnation = worker.entry.incarnation.clone();
        if worker.is_gone {
            if wants_answer {
                self.deliver_after(CALL_ROUND_TRIP_MS, no_answer);
            }
            return;
        }
        if incarnation.id != named.id {
            return self.answer(epoch, failed_order(&action, OrderError::OtherIncarnation), reply);
        }
        let unreachable = worker.unreachable_until > self.now;
        if unreachable && !worker.receives_calls {
            if wants_answer {
                self.deliver_after(ORDER_TIMEOUT_MS, no_answer);
            }
            return;
        }
        if let Some(event) = self.execute(epoch, &incarnation, action, reply) {
            let crash_at = self.workers.get(&incarnation).and_then(|w| w.crash_times.values().min().copied());
            let unreachable = unreachable || crash_at.is_some_and(|at| at <= self.now);
            let reply = if unreachable && wants_answer { Reply::Lost } else { reply };
            self.answer(epoch, event, reply);
        }
    }

    /// Executes a call on a worker; returns the answer unless it is given later.
    fn execute(
        &mut self,
        epoch: Epoch,
        executing: &WorkerIncarnation,
        action: Action,
        reply: Reply,
    ) -> Option<Event> {
        let (now, max_lease) = (self.now, self.max_lease);
        let incarnation = target_worker(&action);
        let has_ticket = match &action {
            Action::Start { task, spec, ticket, .. } if spec.queue.recommendation.is_some() => {
                self.is_valid(ticket.as_ref(), task.step, executing)
            }
            _ => true,
        };
        let worker = self.workers.get_mut(executing)?;
        let fence = Fence { epoch, generation: generation(&action) };
        let fenced = fence < worker.fence;
        worker.fence = worker.fence.max(fence);
        match action {
            Action::ExtendLease { acked_end, deadline, wait, sent, .. } => {
                if fenced {
                    return Some(Event::LeaseAnswered(incarnation, sent, Err(OrderError::Fenced)));
                }
                for end in worker.ended.iter().filter(|e| {
                    (worker.last_lapsed + 1..=acked_end).contains(&e.number) && e.kind == EndKind::Done
                }) {
                    self.acknowledged_tasks.insert(end.task);
                    let (task, run) = (end.task, end.run);
                    let spec =
                        self.specs.get(&task.step.job).and_then(|s| s.steps.get(task.step.step as usize));
                    let done_at = self.done_runs.get(&(task, run)).copied().unwrap_or(now);
                    let later = self.last_starts.get(&task).filter(|(at, _)| *at > done_at);
                    assert!(
                        later.is_none() || spec.is_none_or(|s| s.speculative),
                        "{task} started again as {later:?} after run {run} on {executing} was done"
                    );
                }
                worker.ended.retain(|e| e.number > acked_end);
                worker.extend_lease(now, deadline.unwrap_or_default(), max_lease);
                let until = now + wait;
                worker.pending_reports.push(PendingReport {
                    epoch,
                    called: incarnation,
                    sent,
                    until,
                    acked_end,
                    reply,
                });
                None
            }
            Action::Stop { task, run, .. } => {
                if fenced {
                    return Some(Event::Stopped(task, run, incarnation, Err(OrderError::Fenced)));
                }
                match worker.runs.get_mut(&(task, run)) {
                    Some(state) => {
                        state.ends_at = state.ends_at.min(now + Duration::from_millis(STOP_DURATION_MS));
                        state.kind = EndKind::Stopped;
                    }
                    None => {
                        let highest = worker.highest_runs.entry(task).or_default();
                        *highest = (*highest).max(run);
                    }
                }
                Some(Event::Stopped(task, run, incarnation, Ok(())))
            }
            Action::SetPace { task, run, percent, .. } => {
                if fenced {
                    return Some(Event::PaceAnswered(task, run, incarnation, Err(OrderError::Fenced)));
                }
                if let Some(state) = worker.runs.get_mut(&(task, run)) {
                    state.percent = u64::from(percent);
                }
                Some(Event::PaceAnswered(task, run, incarnation, Ok(())))
            }
            Action::Start { task, run, deadline, spec, .. } => {
                let error = if fenced {
                    Some(OrderError::Fenced)
                } else if worker.runs.contains_key(&(task, run)) {
                    worker.extend_lease(now, deadline, max_lease);
                    return Some(Event::Started(task, run, incarnation, Ok(())));
                } else if worker.highest_runs.get(&task).is_some_and(|highest| run <= *highest) {
                    worker.extend_lease(now, deadline, max_lease);
                    Some(OrderError::Old)
                } else if deadline <= worker.clock(now) {
                    Some(OrderError::Late)
                } else if !has_ticket {
                    Some(OrderError::Ticket)
                } else if self.ordered.get(&(task, run)).is_some_and(|at| *at <= worker.capacity_seen)
                    && !(worker.used() + spec.steps[task.step.step as usize].reserved())
                        .fits(worker.entry.capacity)
                {
                    worker.extend_lease(now, deadline, max_lease);
                    Some(OrderError::Room)
                } else {
                    None
                };
                if let Some(error) = error {
                    return Some(Event::Started(task, run, incarnation, Err(error)));
                }
                worker.extend_lease(now, deadline, max_lease);
                self.start_run(executing, task, run, &spec);
                let result = if *executing == incarnation { Ok(()) } else { Err(OrderError::OtherClock) };
                Some(Event::Started(task, run, incarnation, result))
            }
            _ => None,
        }
    }

    /// Starts a run and checks that the start is allowed: no second run, no end acknowledged before, predecessors done,
    /// capacity and limit per worker kept.
    fn start_run(&mut self, incarnation: &WorkerIncarnation, task: TaskKey, run: u32, spec: &JobSpec) {
        let step_spec = &spec.steps[task.step.step as usize];
        assert!(
            step_spec.speculative || !self.acknowledged_tasks.contains(&task),
            "{task} starts after its end was acknowledged"
        );
        for (other, worker) in &self.workers {
            let already_running = worker.runs.keys().any(|(t, _)| *t == task);
            assert!(
                !already_running || step_spec.speculative,
                "{task} runs on {other} and starts as run {run} on {incarnation}"
            );
        }
        for after in &step_spec.after {
            let step = StepKey { step: *after, ..task.step };
            let predecessor_done = (0..spec.steps[*after as usize].tasks)
                .all(|index| self.done_tasks.contains(&step.task(index)));
            assert!(predecessor_done, "{task} starts before step {after} is done");
        }
        *self.starts.entry(task.step.job).or_default() += 1;
        self.last_starts.insert(task, (self.now, run));
        let factor = self.duration_factor(task);
        let kind = if self.rng.random_bool(self.faults.failed_run) { EndKind::Failed } else { EndKind::Done };
        let worker = self.workers.get_mut(incarnation).expect("known worker");
        let used = worker.used() + step_spec.reserved();
        assert!(used.fits(worker.entry.capacity), "{task} overloads {incarnation}: {used}");
        let present = worker.runs.keys().filter(|(t, _)| t.step == task.step).count();
        assert!(
            step_spec.max_per_worker.is_none_or(|limit| present < limit as usize),
            "{task} starts beside {present} tasks of its step on {incarnation}"
        );
        let duration = step_spec.estimate.mul_f64(factor / worker.speed);
        let state = Run {
            ends_at: self.now + if step_spec.long_running { Duration::from_secs(100_000) } else { duration },
            kind,
            resources: step_spec.reserved(),
            counted: step_spec.resources,
            workspace: spec.workspace.clone(),
            started: self.now,
            in_gang: step_spec.gang,
            is_filler: step_spec.is_filler,
            percent: 100,
            tail_target: step_spec.tail_target.and_then(|t| u64::try_from(t.as_millis()).ok()),
        };
        worker.runs.insert((task, run), state);
        if let Some(workspace) = &spec.workspace {
            self.check_cap(task, run, workspace, step_spec.resources);
        }
        self.start_deadly(incarnation, task, run);
    }

    fn images<'a>(&'a self, worker: &'a Worker) -> impl Iterator<Item = Option<&'a str>> {
        let image = |task: &TaskKey| {
            self.specs.get(&task.step.job).and_then(|s| s.steps[task.step.step as usize].image.as_deref())
        };
        worker.runs.keys().map(move |(task, _)| image(task))
    }

    /// Delays the ends of disturbed runs by what they lose in one step of time.
    fn slow_disturbed(&mut self) {
        let Some((by, whom, percent)) = self.disturbs.clone() else { return };
        let lost = Duration::from_micros(TIME_STEP_MS * 1_000 * percent / (100 + percent));
        let has_disturbing = |w: &&Worker| self.images(w).any(|image| image == Some(&by));
        let disturbed = self.workers.values().filter(has_disturbing);
        let disturbed: Vec<_> = disturbed.map(|w| w.entry.incarnation.clone()).collect();
        for incarnation in disturbed {
            let Some(worker) = self.workers.get_mut(&incarnation) else { continue };
            for ((task, _), run) in &mut worker.runs {
                let spec = self.specs.get(&task.step.job);
                let image = spec.and_then(|s| s.steps[task.step.step as usize].image.as_ref());
                if image == Some(&whom) {
                    run.ends_at = run.ends_at + lost;
                }
            }
        }
    }

    /// Returns the duration of a run on a worker of speed 1 relative to the estimate of its step.
    fn duration_factor(&mut self, task: TaskKey) -> f64 {
        let Faults { straggler, task_deviation, estimate_deviation, .. } = self.faults;
        if straggler + task_deviation + estimate_deviation == 0.0 {
            return 1.0;
        }
        let seed = task.step.job.0 * 100 + u64::from(task.step.step);
        let shared = normal(&mut ChaCha8Rng::seed_from_u64(seed));
        let own = normal(&mut self.rng);
        let late = if self.rng.random_bool(straggler) { 7.0 } else { 1.0 };
        late * (shared * estimate_deviation + own * task_deviation).exp()
    }

    /// Sets the speed of a worker's runs that start from now on.
    pub fn set_speed(&mut self, number: usize, speed: f64) {
        if let Some(worker) = self.workers.values_mut().nth(number) {
            worker.speed = speed;
        }
    }

    /// Returns the counters of the current owner.
    pub fn counters(&self) -> Counters {
        self.owner.as_ref().map(Owner::counters).unwrap_or_default()
    }

    /// Returns how many runs the current owner has seen active after they were freed.
    pub fn alarms(&self) -> u64 {
        alarms(self.counters())
    }

    /// Queries the state of a job for its own workspace, and checks that a final state never changes.
    pub fn query_state(&mut self, job: u64) -> Option<JobState> {
        let number = u64::MAX - job;
        let workspace = self.specs.get(&JobKey(job)).and_then(|spec| spec.workspace.as_ref());
        let caller = workspace.map(|workspace| workspace.name.clone());
        self.call(number, Request::Query(JobKey(job), caller));
        let state = match self.answers.get(&number) {
            Some(Answer::State(state)) => Some(*state),
            _ => None,
        };
        if let Some(state) = state {
            let previous = self.visible_states.insert(JobKey(job), state);
            let changed = previous.is_some_and(|p| p.is_final() && p != state);
            assert!(!changed, "job {job} was reported as {previous:?} and is {state:?}");
        }
        state
    }

    /// Checks, after a calm period, that no run of an ended job is left, and that each task of a lasting job runs.
    pub fn check_settled(&mut self) {
        let specs: Vec<_> = self.specs.iter().map(|(key, spec)| (*key, spec.clone())).collect();
        for (key, spec) in specs {
            let state = self.query_state(key.0);
            let runs = self.workers.values().flat_map(|w| w.runs.keys()).filter(|(t, _)| t.step.job == key);
            let running: BTreeSet<TaskKey> = runs.map(|(task, _)| *task).collect();
            if state.is_none_or(JobState::is_final) {
                assert!(running.is_empty(), "{running:?} run on, and job {key} is {state:?}");
            } else if spec.steps.iter().any(|s| s.long_running) {
                let tasks: u32 = spec.steps.iter().map(|s| s.tasks).sum();
                assert_eq!(running.len(), tasks as usize, "job {key} is {state:?}, only {running:?} run");
            }
        }
    }

    /// Advances simulated time until a start order of a job is sent; returns the number of its worker.
    pub fn advance_until_ordered(&mut self, job: u64) -> usize {
        loop {
            let is_start = |delivery: &Delivery| match delivery {
                Delivery::Order(_, Action::Start { task, incarnation, .. }, _) => {
                    (task.step.job == JobKey(job)).then(|| incarnation.clone())
                }
                _ => None,
            };
            if let Some(ordered) = self.deliveries.values().find_map(is_start) {
                return self.workers.keys().position(|i| *i == ordered).expect("known worker");
            }
            self.advance(TIME_STEP_MS);
        }
    }

    /// Advances simulated time until the faults of calls to a worker have taken place.
    pub fn advance_until_called(&mut self, number: usize) {
        let id = self.workers.keys().nth(number).expect("known worker").id.clone();
        while self.call_faults.iter().any(|(of, _, _)| *of == id) {
            self.advance(TIME_STEP_MS);
        }
    }

    /// Returns whether the owner has accepted a job.
    pub fn is_accepted(&self, job: u64) -> bool {
        self.accepted.contains(&JobKey(job))
    }

    /// Returns the speeds of the filler runs in percent.
    pub fn filler_speeds(&self) -> Vec<u64> {
        let runs = self.workers.values().flat_map(|w| w.runs.values());
        runs.filter(|r| r.is_filler).map(|r| r.percent).collect()
    }

    /// Returns the highest tail latency of the serving runs, in percent of its target.
    pub fn worst_tail_percent(&self) -> u64 {
        let worst_of_worker = |w: &Worker| {
            let report = w.report(self.now, 0);
            let load = |task: &TaskKey| report.active.iter().find(|a| a.task == *task).map_or(0, |a| a.load);
            let runs = w.runs.iter().filter_map(|((task, _), r)| Some(load(task) * 100 / r.tail_target?));
            runs.max().unwrap_or(0)
        };
        self.workers.values().map(worst_of_worker).max().unwrap_or(0)
    }

    /// Returns when the last lease extension was sent to a worker.
    pub fn extended_at(&self, incarnation: &WorkerIncarnation) -> Timestamp {
        self.extended.get(incarnation).copied().expect("the worker was called")
    }

    /// Returns the number of active runs of a step.
    pub fn runs_of_step(&self, step: StepKey) -> usize {
        self.workers.values().flat_map(|w| w.runs.keys()).filter(|(task, _)| task.step == step).count()
    }

    /// Returns the numbers of the workers that run tasks of a job.
    pub fn workers_of(&self, job: u64) -> Vec<usize> {
        let runs_job = |w: &Worker| w.runs.keys().any(|(t, _)| t.step.job == JobKey(job));
        self.workers.values().enumerate().filter(|(_, w)| runs_job(w)).map(|(n, _)| n).collect()
    }

    /// Makes the steps of a job require a recommendation.
    pub fn with_recommendation(mut spec: JobSpec) -> JobSpec {
        spec.queue.recommendation = Some(RecommendationCost {
            base: Duration::from_millis(20),
            per_worker: Duration::ZERO,
            validity: Duration::from_millis(2_500),
        });
        spec
    }
}

/// Returns a sample of the standard normal distribution, as the sum of twelve uniform ones.
pub fn normal(rng: &mut ChaCha8Rng) -> f64 {
    (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0
}

fn generation(action: &Action) -> Generation {
    match action {
        Action::ExtendLease { generation, .. }
        | Action::Start { generation, .. }
        | Action::Stop { generation, .. }
        | Action::SetPace { generation, .. } => *generation,
        other => unreachable!("{other:?} is no order to a worker"),
    }
}

fn target_worker(action: &Action) -> WorkerIncarnation {
    match action {
        Action::ExtendLease { incarnation, .. }
        | Action::Start { incarnation, .. }
        | Action::Stop { incarnation, .. }
        | Action::SetPace { incarnation, .. } => incarnation.clone(),
        other => unreachable!("{other:?} has no worker"),
    }
}

/// Whether a fault is for a call.
fn concerns((id, kind, _): &(Arc<str>, CallKind, CallFault), action: &Action) -> bool {
    *kind == call_kind(action) && *id == target_worker(action).id
}

fn call_kind(action: &Action) -> CallKind {
    match action {
        Action::ExtendLease { .. } => CallKind::ExtendLease,
        Action::Start { .. } => CallKind::Start,
        Action::Stop { .. } => CallKind::Stop,
        Action::SetPace { .. } => CallKind::SetPace,
        other => unreachable!("{other:?} is no call to a worker"),
    }
}

fn target_address(action: &Action) -> &str {
    match action {
        Action::ExtendLease { address, .. }
        | Action::Start { address, .. }
        | Action::Stop { address, .. }
        | Action::SetPace { address, .. } => address,
        other => unreachable!("{other:?} has no address"),
    }
}

/// Returns the event that follows an order without an answer.
fn unanswered(action: &Action) -> Event {
    failed_order(action, OrderError::Silent)
}

/// Returns the event that follows a call whose answer is lost.
fn without_answer(answer: Event) -> Event {
    let error = Err(OrderError::Silent);
    match answer {
        Event::LeaseAnswered(incarnation, sent, _) => {
            Event::LeaseAnswered(incarnation, sent, Err(OrderError::Silent))
        }
        Event::Started(task, run, incarnation, _) => Event::Started(task, run, incarnation, error),
        Event::Stopped(task, run, incarnation, _) => Event::Stopped(task, run, incarnation, error),
        Event::PaceAnswered(task, run, incarnation, _) => Event::PaceAnswered(task, run, incarnation, error),
        other => unreachable!("{other:?} is no answer of a worker"),
    }
}

/// Returns the event that follows an order that failed with `error`.
fn failed_order(action: &Action, error: OrderError) -> Event {
    match action.clone() {
        Action::ExtendLease { incarnation, sent, .. } => Event::LeaseAnswered(incarnation, sent, Err(error)),
        Action::Start { incarnation, task, run, .. } => Event::Started(task, run, incarnation, Err(error)),
        Action::Stop { incarnation, task, run, .. } => Event::Stopped(task, run, incarnation, Err(error)),
        Action::SetPace { incarnation, task, run, .. } => {
            Event::PaceAnswered(task, run, incarnation, Err(error))
        }
        other => unreachable!("{other:?} has no worker"),
    }
}
