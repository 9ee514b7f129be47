//! Simulated fleet for tests of placement and job coordinators.
//!
//! Simulates hosts, workers that record what they ran, and a network that loses, delays and duplicates messages. Hosts
//! may be killed or paused, and workers may crash or become unreachable. All random choices derive from one seed.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yuccahoist::id::*;
use yuccahoist::job::*;
use yuccahoist::ownership::{Grant, Share};
use yuccahoist::placement::*;
use yuccahoist::state_machine::StateMachine;
use yuccahoist::stream::Fold;
use yuccahoist::unit::{CpuMillis, MemoryMib, Resources, Timestamp};

/// Simulated time per [`Fleet::step`].
pub const STEP_INTERVAL: Duration = Duration::from_millis(20);
/// Duration of an ownership lease.
const LEASE_DURATION: Duration = Duration::from_secs(3);

/// Parses an identifier.
pub fn parse_id<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("valid identifier")
}

/// Returns the time `count` seconds after the start of the clock.
pub fn seconds(count: u64) -> Timestamp {
    Timestamp::from_millis(count * 1_000)
}

/// Task on a simulated worker.
#[derive(Debug, Clone)]
struct FakeTask {
    start: TaskStart,
    state: WorkerTaskState,
    lease_end: Timestamp,
    /// Time and state of the end, unless the lease expires first; `None` if it does not end by itself.
    end: Option<(Timestamp, WorkerTaskState)>,
    /// CPU limit, lower than declared while the task is throttled.
    cpu: CpuMillis,
    usage: Resources,
}

/// Simulated worker that records when it ran which attempt.
#[derive(Debug)]
pub struct FakeWorker {
    pub spec: WorkerSpec,
    tasks: BTreeMap<(TaskId, Attempt), FakeTask>,
    pub crashed: bool,
    /// Whether every task fails on this worker.
    pub fails_tasks: bool,
    /// Largest amount of each resource allocated to running tasks at once.
    pub peak_allocated: Resources,
    /// Attempts with their start and, once they have ended, their end.
    pub run_history: Vec<(TaskId, Attempt, Timestamp, Option<Timestamp>)>,
}

impl FakeWorker {
    fn new(spec: WorkerSpec) -> Self {
        Self {
            spec,
            tasks: BTreeMap::new(),
            crashed: false,
            fails_tasks: false,
            peak_allocated: Resources::ZERO,
            run_history: Vec::new(),
        }
    }

    pub fn running(&self) -> impl Iterator<Item = &TaskStart> {
        self.tasks.values().filter(|t| t.state == WorkerTaskState::Running).map(|t| &t.start)
    }

    /// Returns the resources allocated to running tasks.
    pub fn allocated(&self) -> Resources {
        let running = self.tasks.values().filter(|task| task.state == WorkerTaskState::Running);
        running.fold(Resources::ZERO, |sum, task| sum + Resources { cpu: task.cpu, ..task.start.resources })
    }

    /// Ends a task in the given state.
    fn end_task(&mut self, key: &(TaskId, Attempt), at: Timestamp, state: WorkerTaskState) {
        let Some(task) = self.tasks.get_mut(key) else { return };
        task.state = state;
        for run in
            self.run_history.iter_mut().filter(|run| run.0 == key.0 && run.1 == key.1 && run.3.is_none())
        {
            run.3 = Some(at);
        }
    }

    /// Ends tasks that have finished or whose lease has expired.
    fn advance(&mut self, now: Timestamp) {
        let running = self.tasks.iter().filter(|(_, task)| task.state == WorkerTaskState::Running);
        let ends: Vec<_> = running
            .filter_map(|(key, task)| {
                let expiry = (task.lease_end, WorkerTaskState::Lapsed);
                let end = task.end.filter(|end| end.0 <= expiry.0).unwrap_or(expiry);
                (end.0 <= now).then(|| (key.clone(), end))
            })
            .collect();
        for (key, (at, state)) in ends {
            self.end_task(&key, at, state);
        }
    }

    /// Ends all tasks and discards their state, as in a crash.
    pub fn crash(&mut self, now: Timestamp) {
        self.advance(now);
        let keys: Vec<_> = self.tasks.keys().cloned().collect();
        for key in keys {
            self.end_task(&key, now, WorkerTaskState::Lapsed);
        }
        self.tasks.clear();
        self.crashed = true;
    }

    fn inventory(&self) -> Inventory {
        let task =
            |t: &FakeTask| InventoryTask { start: t.start.clone(), state: t.state, usage: Some(t.usage) };
        Inventory { tasks: self.tasks.values().map(task).collect() }
    }
}

/// Faults injected into one run.
#[derive(Debug, Clone, Default)]
pub struct Faults {
    /// Share of messages that are lost, per mille.
    pub loss_per_mille: u32,
    /// Share of messages that are delayed by up to 0.9 s, per mille.
    pub delay_per_mille: u32,
    /// Share of messages that are delivered twice, per mille.
    pub duplicate_per_mille: u32,
    /// Killed hosts: time in seconds and host index; a new incarnation starts 6 s later.
    pub kills: Vec<(u64, usize)>,
    /// Paused hosts: time in seconds, host index and duration in seconds.
    pub pauses: Vec<(u64, usize, u64)>,
    /// Crashed workers: time in seconds, worker index and downtime in seconds.
    pub crashes: Vec<(u64, usize, u64)>,
    /// Unreachable workers: time in seconds, worker index and duration in seconds.
    pub disconnects: Vec<(u64, usize, u64)>,
    /// Indices of workers on which every task fails.
    pub failing_workers: Vec<usize>,
    /// Time in seconds after which messages are no longer lost, delayed or duplicated.
    pub fault_end_s: u64,
}

#[derive(Debug, Clone)]
enum Message {
    Command {
        host: usize,
        incarnation: Incarnation,
        worker: WorkerId,
        ticket: u64,
        command: WorkerCommand,
        wants_reply: bool,
    },
    CommandResult {
        host: usize,
        incarnation: Incarnation,
        worker: WorkerId,
        ticket: u64,
        inventory: Option<Inventory>,
    },
    Request {
        from: Incarnation,
        to: Incarnation,
        request: ShardRequest,
    },
    Reply {
        from: Incarnation,
        to: Incarnation,
        reply: ShardReply,
    },
    Appended {
        to: Incarnation,
        ticket: u64,
    },
    Record {
        offset: Offset,
    },
    Kill {
        host: usize,
    },
}

#[derive(Debug, Clone)]
enum Event {
    Placement(PlacementEvent),
    Coordinator(CoordinatorEvent),
}

#[derive(Debug)]
pub struct Host {
    pub incarnation: Incarnation,
    pub placement: Placement,
    pub coordinator: Coordinator,
    pub fold: JobFold,
    pub killed: bool,
    /// End of the current pause.
    paused: Option<Timestamp>,
    /// Events that arrived during the pause.
    queued_events: Vec<Event>,
}

#[derive(Debug, Clone)]
struct OwnerLease {
    host: usize,
    incarnation: Incarnation,
    epoch: Epoch,
    valid_until: Timestamp,
    settled_at: Timestamp,
    share: Share,
}

/// Simulated hosts and workers, and the network between them.
pub struct Fleet {
    pub now: Timestamp,
    pub rng: ChaCha8Rng,
    pub hosts: Vec<Host>,
    pub workers: BTreeMap<WorkerId, FakeWorker>,
    /// Violations of invariants I1 (no worker is overcommitted) and I2 (no task runs twice at once).
    pub violations: Vec<String>,
    /// Time of the first start of each task.
    pub first_starts: BTreeMap<TaskId, Timestamp>,
    /// Number of started attempts of each task.
    pub attempt_counts: BTreeMap<TaskId, u32>,
    /// Jobs whose tasks always fail.
    pub failing_jobs: BTreeSet<JobId>,
    /// Upper bound of the run time of a batch or gang task, milliseconds.
    pub max_runtime_ms: u64,
    /// Upper bound, in eighths, of the random factor by which usage is above or below the declared resources.
    pub max_usage_eighths: u64,
    /// Times at which coordinators appended to the log.
    pub appends: Vec<Timestamp>,
    /// Decisions logged by coordinators.
    pub decisions: Vec<(JobId, String)>,
    faults: Faults,
    settings: CoordinatorSettings,
    messages: BTreeMap<(Timestamp, u64), Message>,
    sequence: u64,
    owners: BTreeMap<Subject, OwnerLease>,
    epoch: u64,
    records: Vec<JobRecord>,
    unreachable: BTreeSet<WorkerId>,
    last_incarnation: u64,
    next_renewal: Timestamp,
}

impl Fleet {
    pub fn new(seed: u64, racks: usize, hosts: usize, quotas: &[(&str, Resources)], faults: Faults) -> Self {
        let mut workers = BTreeMap::new();
        let mut settings = CoordinatorSettings::default();
        for rack in 0..racks {
            let shard: ShardId = parse_id(&format!("rack-{rack:03}"));
            let zone: ZoneId = parse_id(&format!("zone-{}", rack % 2));
            settings.shards.insert(shard.clone());
            settings.zones.insert(shard.clone(), zone.clone());
            for unit in 0..4 {
                let worker: WorkerId = parse_id(&format!("w-{rack:03}-{unit}"));
                let accelerators = if rack % 3 == 2 { 4 } else { 0 };
                let capacity = Resources::new(16_000, 65_536, accelerators);
                let spec =
                    WorkerSpec { worker: worker.clone(), shard: shard.clone(), zone: zone.clone(), capacity };
                workers.insert(worker, FakeWorker::new(spec));
            }
        }
        for index in &faults.failing_workers {
            if let Some(worker) = workers.values_mut().nth(*index) {
                worker.fails_tasks = true;
            }
        }
        settings.quotas = quotas.iter().map(|(team, quota)| (parse_id(team), *quota)).collect();
        let mut fleet = Self {
            now: seconds(100),
            rng: ChaCha8Rng::seed_from_u64(seed),
            hosts: Vec::new(),
            workers,
            violations: Vec::new(),
            first_starts: BTreeMap::new(),
            attempt_counts: BTreeMap::new(),
            failing_jobs: BTreeSet::new(),
            max_runtime_ms: 8_000,
            max_usage_eighths: 8,
            appends: Vec::new(),
            decisions: Vec::new(),
            faults,
            settings,
            messages: BTreeMap::new(),
            sequence: 0,
            owners: BTreeMap::new(),
            epoch: 10,
            records: Vec::new(),
            unreachable: BTreeSet::new(),
            last_incarnation: 0,
            next_renewal: seconds(100),
        };
        for index in 0..hosts {
            let host = fleet.new_host();
            fleet.hosts.push(host);
            fleet.initialize_host(index);
        }
        fleet
    }

    fn new_host(&mut self) -> Host {
        self.last_incarnation += 1;
        let incarnation = Incarnation(self.last_incarnation);
        Host {
            incarnation,
            placement: Placement::new(),
            coordinator: Coordinator::new(incarnation),
            fold: JobFold::new(),
            killed: false,
            paused: None,
            queued_events: Vec::new(),
        }
    }

    fn team_partitions() -> BTreeMap<TeamId, PartitionId> {
        (0..8)
            .map(|i| parse_id::<TeamId>(&format!("team-{i}")))
            .map(|t| (t.clone(), team_partition(&t)))
            .collect()
    }

    /// Delivers the configuration, the log and the shard owners to a new host.
    fn initialize_host(&mut self, host: usize) {
        let specs = self.workers.values().map(|worker| worker.spec.clone()).collect();
        self.deliver_event(host, Event::Placement(PlacementEvent::Workers(specs)));
        self.deliver_event(host, Event::Placement(PlacementEvent::Partitions(Self::team_partitions())));
        self.deliver_event(host, Event::Coordinator(CoordinatorEvent::Settings(self.settings.clone())));
        for (offset, record) in self.records.clone().into_iter().enumerate() {
            self.fold_record(host, Offset(offset as u64), record);
        }
        for (subject, owner) in self.owners.clone() {
            if let Subject::Shard(shard) = subject {
                let owner = Some((owner.incarnation, owner.epoch));
                self.deliver_event(host, Event::Coordinator(CoordinatorEvent::Owner { shard, owner }));
            }
        }
    }

    fn fold_record(&mut self, host: usize, offset: Offset, record: JobRecord) {
        let mut effects = Vec::new();
        self.hosts[host].fold.apply(offset, Incarnation(0), record, &mut effects);
        for effect in effects {
            self.deliver_event(host, Event::Coordinator(CoordinatorEvent::Record(effect)));
        }
    }

    /// Lets a host handle an event, or queues it while the host is paused.
    fn deliver_event(&mut self, host: usize, event: Event) {
        if self.hosts[host].killed {
            return;
        }
        if self.hosts[host].paused.is_some() {
            self.hosts[host].queued_events.push(event);
            return;
        }
        let now = self.now;
        match event {
            Event::Placement(event) => {
                let mut out = Vec::new();
                self.hosts[host].placement.handle(now, event, &mut self.rng, &mut out);
                for action in out {
                    self.placement_action(host, action);
                }
            }
            Event::Coordinator(event) => {
                let mut out = Vec::new();
                self.hosts[host].coordinator.handle(now, event, &mut self.rng, &mut out);
                for action in out {
                    self.coordinator_action(host, action);
                }
            }
        }
    }

    fn placement_action(&mut self, host: usize, action: PlacementAction) {
        let incarnation = self.hosts[host].incarnation;
        match action {
            PlacementAction::Command { worker, ticket, command, until } if self.now < until => {
                // A command may be sent as late as `until`.
                let message =
                    Message::Command { host, incarnation, worker, ticket, command, wants_reply: true };
                let max_queued = until.since(self.now);
                self.send(&message, max_queued);
            }
            PlacementAction::Command { worker, ticket, .. } => {
                let message = Message::CommandResult { host, incarnation, worker, ticket, inventory: None };
                self.deliver_at(self.now + STEP_INTERVAL, message);
            }
            PlacementAction::Reply { to, reply } => {
                self.send(&Message::Reply { from: incarnation, to, reply }, Duration::ZERO);
            }
            PlacementAction::Decision(_) => {}
        }
    }

    fn coordinator_action(&mut self, host: usize, action: CoordinatorAction) {
        let from = self.hosts[host].incarnation;
        match action {
            CoordinatorAction::Append { ticket, record } => {
                self.appends.push(self.now);
                let confirmed_at = self.now + Duration::from_millis(self.rng.random_range(5..40));
                self.deliver_at(confirmed_at, Message::Appended { to: from, ticket });
                self.append(record);
            }
            CoordinatorAction::Send { to, request, until } if self.now < until => {
                let max_queued = until.since(self.now).min(Duration::from_millis(100));
                self.send(&Message::Request { from, to, request }, max_queued);
            }
            CoordinatorAction::Decision { job, text } => self.decisions.push((job, text)),
            CoordinatorAction::Send { .. } => {}
        }
    }

    /// Appends a record to the log; every host folds it 10 ms later.
    pub fn append(&mut self, record: JobRecord) {
        let offset = Offset(self.records.len() as u64);
        self.records.push(record);
        self.deliver_at(self.now + Duration::from_millis(10), Message::Record { offset });
    }

    /// Returns whether a message fault of the given share, per mille, occurs.
    fn draw_fault(&mut self, per_mille: u32) -> bool {
        self.now < seconds(self.faults.fault_end_s) && self.rng.random_range(0..1_000) < per_mille
    }

    /// Sends a message that may stay queued at the sender for up to `max_queued`, subject to the message faults.
    fn send(&mut self, message: &Message, max_queued: Duration) {
        let copies = if self.draw_fault(self.faults.duplicate_per_mille) { 2 } else { 1 };
        for _ in 0..copies {
            let mut delay = Duration::from_millis(self.rng.random_range(1..4));
            if self.draw_fault(self.faults.delay_per_mille) {
                let max_delay_ms =
                    u64::try_from(max_queued.as_millis()).expect("queue time fits in u64") + 900;
                delay = Duration::from_millis(self.rng.random_range(1..max_delay_ms));
            }
            let lost = self.draw_fault(self.faults.loss_per_mille);
            match message {
                Message::Command { host, incarnation, worker, ticket, .. } if lost => {
                    let (worker, ticket) = (worker.clone(), *ticket);
                    let failed = Message::CommandResult {
                        host: *host,
                        incarnation: *incarnation,
                        worker,
                        ticket,
                        inventory: None,
                    };
                    self.deliver_at(self.now + Duration::from_secs(1), failed);
                }
                _ if lost => {}
                _ => self.deliver_at(self.now + delay, message.clone()),
            }
        }
    }

    fn deliver_at(&mut self, at: Timestamp, message: Message) {
        self.sequence += 1;
        self.messages.insert((at, self.sequence), message);
    }

    fn host_index(&self, incarnation: Incarnation) -> Option<usize> {
        self.hosts.iter().position(|host| host.incarnation == incarnation && !host.killed)
    }

    fn deliver_message(&mut self, message: Message) {
        match message {
            Message::Command { host, incarnation, worker, ticket, command, wants_reply } => {
                let inventory = self.execute(&worker, command);
                if !wants_reply {
                    return;
                }
                let lost = self.draw_fault(self.faults.loss_per_mille);
                let inventory = inventory.filter(|_| !lost);
                let max_delay_ms = if self.draw_fault(self.faults.delay_per_mille) { 900 } else { 3 };
                let delay_ms =
                    if inventory.is_none() { 1_000 } else { self.rng.random_range(1..=max_delay_ms) };
                let at = self.now + Duration::from_millis(delay_ms);
                self.deliver_at(at, Message::CommandResult { host, incarnation, worker, ticket, inventory });
            }
            Message::CommandResult { incarnation, worker, ticket, inventory, .. } => {
                let Some(host) = self.host_index(incarnation) else { return };
                let event = match inventory {
                    Some(inventory) => PlacementEvent::CommandSucceeded { worker, ticket, inventory },
                    None => PlacementEvent::CommandFailed { worker, ticket },
                };
                self.deliver_event(host, Event::Placement(event));
            }
            Message::Request { from, to, request } => {
                let Some(host) = self.host_index(to) else { return };
                self.deliver_event(host, Event::Placement(PlacementEvent::Request { from, request }));
            }
            Message::Reply { from, to, reply } => {
                let Some(host) = self.host_index(to) else { return };
                self.deliver_event(host, Event::Coordinator(CoordinatorEvent::Reply { from, reply }));
            }
            Message::Appended { to, ticket } => {
                let Some(host) = self.host_index(to) else { return };
                self.deliver_event(host, Event::Coordinator(CoordinatorEvent::Appended { ticket }));
            }
            Message::Kill { host } => self.hosts[host].killed = true,
            Message::Record { offset } => {
                for host in 0..self.hosts.len() {
                    if !self.hosts[host].killed {
                        let record = self.records[offset.0 as usize].clone();
                        self.fold_record(host, offset, record);
                    }
                }
            }
        }
    }

    /// Executes a command on a worker and returns its inventory; `None` if the worker is down or unreachable.
    fn execute(&mut self, id: &WorkerId, command: WorkerCommand) -> Option<Inventory> {
        let now = self.now;
        if self.unreachable.contains(id) {
            return None;
        }
        let worker = self.workers.get_mut(id)?;
        if worker.crashed {
            return None;
        }
        worker.advance(now);
        match command {
            WorkerCommand::Start(start) => self.start_task(id, start),
            WorkerCommand::Renew { tasks, lease_ms, .. } => {
                for key in tasks {
                    if let Some(task) = worker.tasks.get_mut(&key) {
                        // The worker's clock runs 5 % slow.
                        task.lease_end = now + Duration::from_millis(lease_ms * 105 / 100);
                    }
                }
            }
            WorkerCommand::Stop { tasks, .. } => {
                for key in tasks {
                    if worker.tasks.get(&key).is_some_and(|task| task.state == WorkerTaskState::Running) {
                        worker.end_task(&key, now, WorkerTaskState::Stopped);
                    }
                }
            }
            WorkerCommand::Throttle { task, attempt, resources, .. } => {
                if let Some(task) = worker.tasks.get_mut(&(task, attempt)) {
                    task.cpu = resources.cpu;
                }
            }
            WorkerCommand::Forget { tasks } => {
                for key in tasks {
                    if worker.tasks.get(&key).is_some_and(|task| task.state != WorkerTaskState::Running) {
                        worker.tasks.remove(&key);
                    }
                }
            }
            WorkerCommand::Inventory => {}
        }
        self.workers.get(id).map(FakeWorker::inventory)
    }

    /// Starts an attempt, and records a violation if it breaks an invariant.
    fn start_task(&mut self, id: &WorkerId, start: TaskStart) {
        let now = self.now;
        let key = (start.task.clone(), start.attempt);
        if self.workers[id].tasks.contains_key(&key) {
            return;
        }
        for worker in self.workers.values_mut() {
            worker.advance(now);
            if let Some(other) = worker.running().find(|other| other.task == start.task) {
                let text = format!(
                    "I2: task {} runs as attempt {} on {} and as attempt {} on {id} at {now}",
                    start.task, other.attempt, worker.spec.worker, start.attempt
                );
                self.violations.push(text);
            }
        }
        let duration = Duration::from_millis(self.rng.random_range(200..self.max_runtime_ms.max(201)));
        let (low, high) = (8, self.max_usage_eighths.max(9));
        let factor = if self.rng.random_bool(0.5) {
            (self.rng.random_range(low..high), 8)
        } else {
            (8, self.rng.random_range(low..high))
        };
        let scaled = |size: u64| size * factor.0 / factor.1;
        let declared = start.resources;
        let usage = Resources {
            cpu: CpuMillis(scaled(declared.cpu.0)),
            memory: MemoryMib(scaled(declared.memory.0)),
            ..declared
        };
        let worker = self.workers.get_mut(id).expect("known worker");
        let end = if worker.fails_tasks || self.failing_jobs.contains(&start.task.job) {
            Some((now + Duration::from_millis(100), WorkerTaskState::Failed))
        } else if start.kind == JobKind::Service {
            None
        } else {
            Some((now + duration, WorkerTaskState::Succeeded))
        };
        let lease_end = now + Duration::from_millis(start.lease_ms * 105 / 100);
        self.first_starts.entry(start.task.clone()).or_insert(now);
        *self.attempt_counts.entry(start.task.clone()).or_default() += 1;
        worker.run_history.push((key.0.clone(), key.1, now, None));
        let (state, cpu) = (WorkerTaskState::Running, declared.cpu);
        worker.tasks.insert(key, FakeTask { start, state, lease_end, end, cpu, usage });
        worker.peak_allocated = worker.peak_allocated.max(worker.allocated());
        if !worker.allocated().fits(worker.spec.capacity) {
            self.violations.push(format!("I1: worker {id} has {} allocated at {now}", worker.allocated()));
        }
    }

    fn subjects(&self) -> Vec<Subject> {
        let shards = self.settings.shards.iter().cloned().map(Subject::Shard);
        shards.chain((0..PARTITION_COUNT).map(|p| Subject::Partition(PartitionId(p)))).collect()
    }

    /// Renews ownership leases, and grants expired ones to another host.
    fn assign_leases(&mut self) {
        for (position, subject) in self.subjects().into_iter().enumerate() {
            let now = self.now;
            let valid_until = now + LEASE_DURATION - Duration::from_millis(200);
            let owner = self.owners.get(&subject).cloned();
            if let Some(mut owner) = owner {
                let host = &self.hosts[owner.host];
                if host.incarnation == owner.incarnation && !host.killed && host.paused.is_none() {
                    owner.valid_until = valid_until;
                    self.owners.insert(subject.clone(), owner.clone());
                    self.grant_lease(&subject, &owner);
                    continue;
                }
                if now < owner.valid_until + Duration::from_millis(500) {
                    continue;
                }
            }
            let live_hosts: Vec<_> = (0..self.hosts.len())
                .filter(|host| !self.hosts[*host].killed && self.hosts[*host].paused.is_none())
                .collect();
            let Some(host) = live_hosts.get(position % live_hosts.len().max(1)).copied() else { continue };
            self.epoch += 1;
            let earlier = self.owners.get(&subject);
            let settled_at = earlier.map_or(now, |owner| owner.valid_until);
            let is_alive = earlier.is_some_and(|owner| self.host_index(owner.incarnation).is_some());
            let share = if is_alive { Share::Remainder } else { Share::Full };
            let incarnation = self.hosts[host].incarnation;
            let owner =
                OwnerLease { host, incarnation, epoch: Epoch(self.epoch), valid_until, settled_at, share };
            self.owners.insert(subject.clone(), owner.clone());
            if let Subject::Shard(shard) = &subject {
                for other in 0..self.hosts.len() {
                    let shard = shard.clone();
                    let owner = Some((owner.incarnation, owner.epoch));
                    self.deliver_event(other, Event::Coordinator(CoordinatorEvent::Owner { shard, owner }));
                }
            }
            self.grant_lease(&subject, &owner);
        }
    }

    fn grant_lease(&mut self, subject: &Subject, owner: &OwnerLease) {
        let OwnerLease { epoch, valid_until, settled_at, share, .. } = *owner;
        let grant =
            Grant { subject: subject.clone(), epoch, share, may_start_tasks: true, valid_until, settled_at };
        let event = match subject {
            Subject::Shard(shard) => {
                Event::Placement(PlacementEvent::Granted { shard: shard.clone(), grant })
            }
            Subject::Partition(partition) => {
                Event::Coordinator(CoordinatorEvent::Granted { partition: *partition, grant })
            }
        };
        self.deliver_event(owner.host, event);
    }

    /// Resumes a paused host, which handles the queued events before it learns which leases it has lost.
    fn resume_host(&mut self, host: usize) {
        self.hosts[host].paused = None;
        for event in std::mem::take(&mut self.hosts[host].queued_events) {
            self.deliver_event(host, event);
        }
        let incarnation = self.hosts[host].incarnation;
        for (subject, owner) in self.owners.clone() {
            if owner.incarnation == incarnation {
                continue;
            }
            let epoch = Epoch(owner.epoch.0.saturating_sub(1));
            match &subject {
                Subject::Shard(shard) => {
                    let lost = PlacementEvent::GrantLost { shard: shard.clone(), epoch };
                    self.deliver_event(host, Event::Placement(lost));
                }
                Subject::Partition(partition) => {
                    let lost = CoordinatorEvent::Lost { partition: *partition, epoch };
                    self.deliver_event(host, Event::Coordinator(lost));
                }
            }
            // The resumed host confirms that its lease has ended, so the new owner gets its full share.
            if let Some(owner) = self.owners.get_mut(&subject) {
                owner.share = Share::Full;
            }
        }
    }

    /// Applies the kills, pauses, crashes and disconnects that are due.
    fn inject_faults(&mut self) {
        let is_due = |time: u64, now: Timestamp| seconds(time) <= now && now < seconds(time) + STEP_INTERVAL;
        let (now, faults) = (self.now, self.faults.clone());
        for (time, host) in faults.kills {
            if is_due(time, now) {
                self.hosts[host].killed = true;
            }
            if is_due(time + 6, now) {
                self.hosts[host] = self.new_host();
                self.initialize_host(host);
            }
        }
        for (time, host, duration) in faults.pauses {
            if is_due(time, now) && !self.hosts[host].killed {
                self.hosts[host].paused = Some(seconds(time + duration));
            }
        }
        for host in 0..self.hosts.len() {
            if self.hosts[host].paused.is_some_and(|until| until <= now) {
                self.resume_host(host);
            }
        }
        let ids: Vec<_> = self.workers.keys().cloned().collect();
        for (time, worker, duration) in faults.crashes {
            let worker = self.workers.get_mut(&ids[worker % ids.len()]).expect("known worker");
            if is_due(time, now) {
                worker.crash(now);
            }
            if is_due(time + duration, now) {
                worker.crashed = false;
            }
        }
        for (time, worker, duration) in faults.disconnects {
            let id = ids[worker % ids.len()].clone();
            if is_due(time, now) {
                self.unreachable.insert(id.clone());
            }
            if is_due(time + duration, now) {
                self.unreachable.remove(&id);
            }
        }
    }

    /// Runs until the clock reads `end` seconds.
    pub fn run_to(&mut self, end: u64) {
        while self.now < seconds(end) {
            self.step();
        }
    }

    /// Advances the clock by [`STEP_INTERVAL`].
    pub fn step(&mut self) {
        let next = self.now + STEP_INTERVAL;
        while let Some((&(at, sequence), _)) = self.messages.first_key_value() {
            if at >= next {
                break;
            }
            let message = self.messages.remove(&(at, sequence)).expect("message is queued");
            self.now = at.max(self.now);
            self.deliver_message(message);
        }
        self.now = next;
        self.inject_faults();
        if self.now >= self.next_renewal {
            self.next_renewal = self.now + Duration::from_secs(1);
            self.assign_leases();
        }
        let now = self.now;
        for worker in self.workers.values_mut() {
            worker.advance(now);
        }
        for host in 0..self.hosts.len() {
            if self.hosts[host].paused.is_none() {
                self.deliver_event(host, Event::Placement(PlacementEvent::Tick));
                self.deliver_event(host, Event::Coordinator(CoordinatorEvent::Tick));
            }
        }
    }

    /// Returns the index of the host that coordinates a team.
    pub fn coordinator_of(&self, team: &str) -> usize {
        self.owners[&Subject::Partition(team_partition(&parse_id(team)))].host
    }

    /// Kills a host after a delay, between two messages.
    pub fn kill_after(&mut self, host: usize, delay: Duration) {
        self.deliver_at(self.now + delay, Message::Kill { host });
    }

    pub fn submit(&mut self, spec: JobSpec) {
        self.append(JobRecord::Submitted(spec));
    }

    pub fn cancel(&mut self, job: &str) {
        self.append(JobRecord::Cancelled { job: parse_id(job) });
    }

    /// Marks a worker as draining.
    pub fn drain_worker(&mut self, worker: &str) {
        for host in 0..self.hosts.len() {
            let event = PlacementEvent::Draining { worker: parse_id(worker), draining: true };
            self.deliver_event(host, Event::Placement(event));
        }
    }

    /// Returns the outcome of a job from the fold of the first live host.
    pub fn end(&self, job: &str) -> Option<JobEnd> {
        let id: JobId = parse_id(job);
        let host = self.hosts.iter().find(|host| !host.killed && host.paused.is_none())?;
        host.fold.job(&id)?.end.as_ref().map(|(_, end)| end.clone())
    }

    /// Returns the status of a job from its coordinator.
    pub fn status(&self, job: &str) -> Option<JobStatus> {
        let id: JobId = parse_id(job);
        self.hosts.iter().filter(|host| !host.killed).find_map(|host| host.coordinator.status(&id))
    }

    /// Returns the number of running tasks of a job, according to the workers.
    pub fn running(&self, job: &str) -> usize {
        let id: JobId = parse_id(job);
        self.workers.values().flat_map(FakeWorker::running).filter(|start| start.task.job == id).count()
    }

    /// Lists the workers whose free capacity, according to the shard owner, differs from their total capacity.
    ///
    /// Capacity is lost if the list is not empty although no task is running.
    pub fn lost_capacity(&self) -> Vec<String> {
        let mut lost = Vec::new();
        for (id, worker) in &self.workers {
            let owner = &self.owners[&Subject::Shard(worker.spec.shard.clone())];
            let free = self.hosts[owner.host].placement.free_capacity(id).unwrap_or_default();
            if free != worker.spec.capacity {
                lost.push(format!("{id}: free {free} of {}", worker.spec.capacity));
            }
        }
        lost
    }
}

/// Returns a job specification with priority 0 and default attempts.
pub fn job(id: &str, team: &str, kind: JobKind, tasks: u32, resources: Resources) -> JobSpec {
    JobSpec {
        id: parse_id(id),
        kind,
        team: parse_id(team),
        priority: Priority(0),
        tasks,
        resources,
        runtime_ms: None,
        attempts: DEFAULT_ATTEMPTS,
    }
}
