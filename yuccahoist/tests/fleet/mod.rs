//! Small fakes around placement and coordinators: workers with their own records, a network that loses, delays and
//! doubles, and hosts that die or pause. Faults follow from one seed.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yuccahoist::duty::Duty;
use yuccahoist::id::*;
use yuccahoist::job::*;
use yuccahoist::ownership::{Grant, Share};
use yuccahoist::placement::*;
use yuccahoist::stream::Fold;
use yuccahoist::unit::{CpuMillis, MemoryMib, Resources, Timestamp};

pub const STEP: Duration = Duration::from_millis(20);
const LEASE: Duration = Duration::from_secs(3);

pub fn name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("valid name")
}

pub fn seconds(count: u64) -> Timestamp {
    Timestamp::from_millis(count * 1_000)
}

/// Task on a fake worker.
#[derive(Debug, Clone)]
struct FakeTask {
    start: TaskStart,
    state: WorkerTaskState,
    lease_end: Timestamp,
    end: Option<(Timestamp, WorkerTaskState)>,
    cpu: CpuMillis,
    usage: Resources,
}

/// Worker that keeps its own record of what ran when.
#[derive(Debug)]
pub struct FakeWorker {
    pub spec: WorkerSpec,
    tasks: BTreeMap<(TaskId, Attempt), FakeTask>,
    pub dead: bool,
    pub sick: bool,
    pub high: Resources,
    pub runs: Vec<(TaskId, Attempt, Timestamp, Option<Timestamp>)>,
}

impl FakeWorker {
    fn new(spec: WorkerSpec) -> Self {
        Self {
            spec,
            tasks: BTreeMap::new(),
            dead: false,
            sick: false,
            high: Resources::ZERO,
            runs: Vec::new(),
        }
    }

    pub fn running(&self) -> impl Iterator<Item = &TaskStart> {
        self.tasks.values().filter(|t| t.state == WorkerTaskState::Running).map(|t| &t.start)
    }

    pub fn given(&self) -> Resources {
        let running = self.tasks.values().filter(|task| task.state == WorkerTaskState::Running);
        running.fold(Resources::ZERO, |sum, task| sum + Resources { cpu: task.cpu, ..task.start.resources })
    }

    fn set(&mut self, key: &(TaskId, Attempt), at: Timestamp, state: WorkerTaskState) {
        let Some(task) = self.tasks.get_mut(key) else { return };
        task.state = state;
        for run in self.runs.iter_mut().filter(|run| run.0 == key.0 && run.1 == key.1 && run.3.is_none()) {
            run.3 = Some(at);
        }
    }

    fn advance(&mut self, now: Timestamp) {
        let running = self.tasks.iter().filter(|(_, task)| task.state == WorkerTaskState::Running);
        let ends: Vec<_> = running
            .filter_map(|(key, task)| {
                let lapse = (task.lease_end, WorkerTaskState::Lapsed);
                let end = task.end.filter(|end| end.0 <= lapse.0).unwrap_or(lapse);
                (end.0 <= now).then(|| (key.clone(), end))
            })
            .collect();
        for (key, (at, state)) in ends {
            self.set(&key, at, state);
        }
    }

    /// Loses all tasks and all memory of them.
    pub fn crash(&mut self, now: Timestamp) {
        self.advance(now);
        let keys: Vec<_> = self.tasks.keys().cloned().collect();
        for key in keys {
            self.set(&key, now, WorkerTaskState::Lapsed);
        }
        self.tasks.clear();
        self.dead = true;
    }

    fn inventory(&self) -> Inventory {
        let task =
            |t: &FakeTask| InventoryTask { start: t.start.clone(), state: t.state, usage: Some(t.usage) };
        Inventory { tasks: self.tasks.values().map(task).collect() }
    }
}

/// Faults of one run.
#[derive(Debug, Clone, Default)]
pub struct Faults {
    /// Messages lost, thousandths.
    pub lose: u32,
    /// Messages delayed by up to 0.9 s, thousandths.
    pub late: u32,
    /// Messages delivered twice, thousandths.
    pub double: u32,
    /// Hosts that die, with the time in seconds.
    pub kills: Vec<(u64, usize)>,
    /// Hosts that pause, with the time and the length in seconds.
    pub pauses: Vec<(u64, usize, u64)>,
    /// Workers that die, with the time and the length in seconds.
    pub crashes: Vec<(u64, usize, u64)>,
    /// Workers that cannot be reached, with the time and the length in seconds.
    pub cuts: Vec<(u64, usize, u64)>,
    /// Workers that fail every task.
    pub sick: Vec<usize>,
    /// Time after which messages are no longer lost, late or doubled.
    pub quiet: u64,
}

#[derive(Debug, Clone)]
enum Message {
    Command {
        host: usize,
        incarnation: Incarnation,
        worker: WorkerId,
        ticket: u64,
        command: WorkerCommand,
        answer: bool,
    },
    Done {
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
    pub dead: bool,
    paused: Option<Timestamp>,
    inbox: Vec<Event>,
}

#[derive(Debug, Clone)]
struct Ownership {
    host: usize,
    incarnation: Incarnation,
    epoch: Epoch,
    until: Timestamp,
    settled: Timestamp,
    share: Share,
}

/// Fleet of hosts and workers.
pub struct Fleet {
    pub now: Timestamp,
    pub rng: ChaCha8Rng,
    pub hosts: Vec<Host>,
    pub workers: BTreeMap<WorkerId, FakeWorker>,
    pub violations: Vec<String>,
    pub started: BTreeMap<TaskId, Timestamp>,
    pub ends: BTreeMap<TaskId, u32>,
    /// Jobs whose tasks always fail.
    pub bad_jobs: BTreeSet<JobId>,
    /// Longest run time of a batch or gang task, milliseconds.
    pub runtime: u64,
    /// Factor in eighths by which tasks use more or less than declared; drawn up to this.
    pub usage: u64,
    pub appends: Vec<Timestamp>,
    /// Decisions of the coordinators.
    pub decisions: Vec<(JobId, String)>,
    faults: Faults,
    settings: CoordinatorSettings,
    messages: BTreeMap<(Timestamp, u64), Message>,
    sequence: u64,
    owners: BTreeMap<Subject, Ownership>,
    epoch: u64,
    records: Vec<JobRecord>,
    cut: BTreeSet<WorkerId>,
    incarnations: u64,
    next_renewal: Timestamp,
}

impl Fleet {
    pub fn new(seed: u64, racks: usize, hosts: usize, quotas: &[(&str, Resources)], faults: Faults) -> Self {
        let mut workers = BTreeMap::new();
        let mut settings = CoordinatorSettings::default();
        for rack in 0..racks {
            let shard: ShardId = name(&format!("rack-{rack:03}"));
            let zone: ZoneId = name(&format!("zone-{}", rack % 2));
            settings.shards.insert(shard.clone());
            settings.zones.insert(shard.clone(), zone.clone());
            for unit in 0..4 {
                let worker: WorkerId = name(&format!("w-{rack:03}-{unit}"));
                let accelerators = if rack % 3 == 2 { 4 } else { 0 };
                let capacity = Resources::new(16_000, 65_536, accelerators);
                let spec =
                    WorkerSpec { worker: worker.clone(), shard: shard.clone(), zone: zone.clone(), capacity };
                workers.insert(worker, FakeWorker::new(spec));
            }
        }
        for index in &faults.sick {
            if let Some(worker) = workers.values_mut().nth(*index) {
                worker.sick = true;
            }
        }
        settings.quotas = quotas.iter().map(|(team, quota)| (name(team), *quota)).collect();
        let mut fleet = Self {
            now: seconds(100),
            rng: ChaCha8Rng::seed_from_u64(seed),
            hosts: Vec::new(),
            workers,
            violations: Vec::new(),
            started: BTreeMap::new(),
            ends: BTreeMap::new(),
            bad_jobs: BTreeSet::new(),
            runtime: 8_000,
            usage: 8,
            appends: Vec::new(),
            decisions: Vec::new(),
            faults,
            settings,
            messages: BTreeMap::new(),
            sequence: 0,
            owners: BTreeMap::new(),
            epoch: 10,
            records: Vec::new(),
            cut: BTreeSet::new(),
            incarnations: 0,
            next_renewal: seconds(100),
        };
        for index in 0..hosts {
            let host = fleet.host();
            fleet.hosts.push(host);
            fleet.introduce(index);
        }
        fleet
    }

    fn host(&mut self) -> Host {
        self.incarnations += 1;
        let incarnation = Incarnation(self.incarnations);
        Host {
            incarnation,
            placement: Placement::new(),
            coordinator: Coordinator::new(incarnation),
            fold: JobFold::new(),
            dead: false,
            paused: None,
            inbox: Vec::new(),
        }
    }

    fn teams() -> BTreeMap<TeamId, PartitionId> {
        (0..8).map(|i| name::<TeamId>(&format!("team-{i}"))).map(|t| (t.clone(), partition_of(&t))).collect()
    }

    /// Gives a new host the configuration, the owners and the log.
    fn introduce(&mut self, host: usize) {
        let specs = self.workers.values().map(|worker| worker.spec.clone()).collect();
        self.give(host, Event::Placement(PlacementEvent::Workers(specs)));
        self.give(host, Event::Placement(PlacementEvent::Partitions(Self::teams())));
        self.give(host, Event::Coordinator(CoordinatorEvent::Settings(self.settings.clone())));
        for (offset, record) in self.records.clone().into_iter().enumerate() {
            self.fold(host, Offset(offset as u64), record);
        }
        for (subject, owner) in self.owners.clone() {
            if let Subject::Shard(shard) = subject {
                let owner = Some((owner.incarnation, owner.epoch));
                self.give(host, Event::Coordinator(CoordinatorEvent::Owner { shard, owner }));
            }
        }
    }

    fn fold(&mut self, host: usize, offset: Offset, record: JobRecord) {
        let mut effects = Vec::new();
        self.hosts[host].fold.apply(offset, Incarnation(0), record, &mut effects);
        for effect in effects {
            self.give(host, Event::Coordinator(CoordinatorEvent::Record(effect)));
        }
    }

    fn give(&mut self, host: usize, event: Event) {
        if self.hosts[host].dead {
            return;
        }
        if self.hosts[host].paused.is_some() {
            self.hosts[host].inbox.push(event);
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
                // A command may leave as late as `until`.
                let message = Message::Command { host, incarnation, worker, ticket, command, answer: true };
                let hold = until.since(self.now);
                self.post(&message, hold);
            }
            PlacementAction::Command { worker, ticket, .. } => {
                let message = Message::Done { host, incarnation, worker, ticket, inventory: None };
                self.deliver_at(self.now + STEP, message);
            }
            PlacementAction::Reply { to, reply } => {
                self.post(&Message::Reply { from: incarnation, to, reply }, Duration::ZERO);
            }
            PlacementAction::Decision(_) => {}
        }
    }

    fn coordinator_action(&mut self, host: usize, action: CoordinatorAction) {
        let from = self.hosts[host].incarnation;
        match action {
            CoordinatorAction::Append { ticket, record } => {
                self.appends.push(self.now);
                let answer = self.now + Duration::from_millis(self.rng.random_range(5..40));
                self.deliver_at(answer, Message::Appended { to: from, ticket });
                self.append(record);
            }
            CoordinatorAction::Send { to, request, until } if self.now < until => {
                let hold = until.since(self.now).min(Duration::from_millis(100));
                self.post(&Message::Request { from, to, request }, hold);
            }
            CoordinatorAction::Decision { job, text } => self.decisions.push((job, text)),
            CoordinatorAction::Send { .. } => {}
        }
    }

    /// Appends a record, which every host folds a little later.
    pub fn append(&mut self, record: JobRecord) {
        let offset = Offset(self.records.len() as u64);
        self.records.push(record);
        self.deliver_at(self.now + Duration::from_millis(10), Message::Record { offset });
    }

    fn chance(&mut self, part: u32) -> bool {
        self.now < seconds(self.faults.quiet) && self.rng.random_range(0..1_000) < part
    }

    fn post(&mut self, message: &Message, hold: Duration) {
        let copies = if self.chance(self.faults.double) { 2 } else { 1 };
        for _ in 0..copies {
            let mut delay = Duration::from_millis(self.rng.random_range(1..4));
            if self.chance(self.faults.late) {
                let most = u64::try_from(hold.as_millis()).expect("short") + 900;
                delay = Duration::from_millis(self.rng.random_range(1..most));
            }
            let lost = self.chance(self.faults.lose);
            match message {
                Message::Command { host, incarnation, worker, ticket, .. } if lost => {
                    let (worker, ticket) = (worker.clone(), *ticket);
                    let failed = Message::Done {
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

    fn find(&self, incarnation: Incarnation) -> Option<usize> {
        self.hosts.iter().position(|host| host.incarnation == incarnation && !host.dead)
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Command { host, incarnation, worker, ticket, command, answer } => {
                let inventory = self.execute(&worker, command);
                if !answer {
                    return;
                }
                let lost = self.chance(self.faults.lose);
                let inventory = inventory.filter(|_| !lost);
                let late = if self.chance(self.faults.late) { 900 } else { 3 };
                let wait = if inventory.is_none() { 1_000 } else { self.rng.random_range(1..=late) };
                let at = self.now + Duration::from_millis(wait);
                self.deliver_at(at, Message::Done { host, incarnation, worker, ticket, inventory });
            }
            Message::Done { incarnation, worker, ticket, inventory, .. } => {
                let Some(host) = self.find(incarnation) else { return };
                let event = match inventory {
                    Some(inventory) => PlacementEvent::Done { worker, ticket, inventory },
                    None => PlacementEvent::Failed { worker, ticket },
                };
                self.give(host, Event::Placement(event));
            }
            Message::Request { from, to, request } => {
                let Some(host) = self.find(to) else { return };
                self.give(host, Event::Placement(PlacementEvent::Request { from, request }));
            }
            Message::Reply { from, to, reply } => {
                let Some(host) = self.find(to) else { return };
                self.give(host, Event::Coordinator(CoordinatorEvent::Reply { from, reply }));
            }
            Message::Appended { to, ticket } => {
                let Some(host) = self.find(to) else { return };
                self.give(host, Event::Coordinator(CoordinatorEvent::Appended { ticket }));
            }
            Message::Kill { host } => self.hosts[host].dead = true,
            Message::Record { offset } => {
                for host in 0..self.hosts.len() {
                    if !self.hosts[host].dead {
                        let record = self.records[offset.0 as usize].clone();
                        self.fold(host, offset, record);
                    }
                }
            }
        }
    }

    fn execute(&mut self, id: &WorkerId, command: WorkerCommand) -> Option<Inventory> {
        let now = self.now;
        if self.cut.contains(id) {
            return None;
        }
        let worker = self.workers.get_mut(id)?;
        if worker.dead {
            return None;
        }
        worker.advance(now);
        match command {
            WorkerCommand::Start(start) => self.run(id, start),
            WorkerCommand::Renew { tasks, lease_ms, .. } => {
                for key in tasks {
                    if let Some(task) = worker.tasks.get_mut(&key) {
                        // The worker's clock is 5 % slow.
                        task.lease_end = now + Duration::from_millis(lease_ms * 105 / 100);
                    }
                }
            }
            WorkerCommand::Stop { tasks, .. } => {
                for key in tasks {
                    if worker.tasks.get(&key).is_some_and(|task| task.state == WorkerTaskState::Running) {
                        worker.set(&key, now, WorkerTaskState::Stopped);
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

    fn run(&mut self, id: &WorkerId, start: TaskStart) {
        let now = self.now;
        let key = (start.task.clone(), start.attempt);
        if self.workers[id].tasks.contains_key(&key) {
            return;
        }
        for worker in self.workers.values_mut() {
            worker.advance(now);
            if let Some(other) = worker.running().find(|other| other.task == start.task) {
                let text = format!(
                    "I2: {} runs as {} on {} and {} on {id} at {now}",
                    start.task, other.attempt, worker.spec.worker, start.attempt
                );
                self.violations.push(text);
            }
        }
        let length = Duration::from_millis(self.rng.random_range(200..self.runtime.max(201)));
        let (low, high) = (8, self.usage.max(9));
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
        let end = if worker.sick || self.bad_jobs.contains(&start.task.job) {
            Some((now + Duration::from_millis(100), WorkerTaskState::Failed))
        } else if start.kind == JobKind::Service {
            None
        } else {
            Some((now + length, WorkerTaskState::Succeeded))
        };
        let lease_end = now + Duration::from_millis(start.lease_ms * 105 / 100);
        self.started.entry(start.task.clone()).or_insert(now);
        *self.ends.entry(start.task.clone()).or_default() += 1;
        worker.runs.push((key.0.clone(), key.1, now, None));
        let (state, cpu) = (WorkerTaskState::Running, declared.cpu);
        worker.tasks.insert(key, FakeTask { start, state, lease_end, end, cpu, usage });
        worker.high = worker.high.max(worker.given());
        if !worker.given().fits(worker.spec.capacity) {
            self.violations.push(format!("I1: {id} is given {} at {now}", worker.given()));
        }
    }

    fn subjects(&self) -> Vec<Subject> {
        let shards = self.settings.shards.iter().cloned().map(Subject::Shard);
        shards.chain((0..PARTITIONS).map(|p| Subject::Partition(PartitionId(p)))).collect()
    }

    /// Renews leases, and gives those that have lapsed to another host.
    fn own(&mut self) {
        for (position, subject) in self.subjects().into_iter().enumerate() {
            let now = self.now;
            let until = now + LEASE - Duration::from_millis(200);
            let owner = self.owners.get(&subject).cloned();
            if let Some(mut owner) = owner {
                let host = &self.hosts[owner.host];
                if host.incarnation == owner.incarnation && !host.dead && host.paused.is_none() {
                    owner.until = until;
                    self.owners.insert(subject.clone(), owner.clone());
                    self.grant(&subject, &owner);
                    continue;
                }
                if now < owner.until + Duration::from_millis(500) {
                    continue;
                }
            }
            let alive: Vec<_> = (0..self.hosts.len())
                .filter(|host| !self.hosts[*host].dead && self.hosts[*host].paused.is_none())
                .collect();
            let Some(host) = alive.get(position % alive.len().max(1)).copied() else { continue };
            self.epoch += 1;
            let earlier = self.owners.get(&subject);
            let settled = earlier.map_or(now, |owner| owner.until);
            let paused = earlier.is_some_and(|owner| self.find(owner.incarnation).is_some());
            let share = if paused { Share::Remainder } else { Share::Full };
            let incarnation = self.hosts[host].incarnation;
            let owner = Ownership { host, incarnation, epoch: Epoch(self.epoch), until, settled, share };
            self.owners.insert(subject.clone(), owner.clone());
            if let Subject::Shard(shard) = &subject {
                for other in 0..self.hosts.len() {
                    let shard = shard.clone();
                    let owner = Some((owner.incarnation, owner.epoch));
                    self.give(other, Event::Coordinator(CoordinatorEvent::Owner { shard, owner }));
                }
            }
            self.grant(&subject, &owner);
        }
    }

    fn grant(&mut self, subject: &Subject, owner: &Ownership) {
        let Ownership { epoch, until, settled, share, .. } = *owner;
        let grant = Grant { subject: subject.clone(), epoch, share, tasks: true, until, settled };
        let event = match subject {
            Subject::Shard(shard) => {
                Event::Placement(PlacementEvent::Granted { shard: shard.clone(), grant })
            }
            Subject::Partition(partition) => {
                Event::Coordinator(CoordinatorEvent::Granted { partition: *partition, grant })
            }
        };
        self.give(owner.host, event);
    }

    /// Ends the pause of a host: it handles what has arrived, and only then learns that it was replaced.
    fn resume(&mut self, host: usize) {
        self.hosts[host].paused = None;
        for event in std::mem::take(&mut self.hosts[host].inbox) {
            self.give(host, event);
        }
        let incarnation = self.hosts[host].incarnation;
        for (subject, owner) in self.owners.clone() {
            if owner.incarnation == incarnation {
                continue;
            }
            let epoch = Epoch(owner.epoch.0.saturating_sub(1));
            match &subject {
                Subject::Shard(shard) => {
                    let lost = PlacementEvent::Lost { shard: shard.clone(), epoch };
                    self.give(host, Event::Placement(lost));
                }
                Subject::Partition(partition) => {
                    let lost = CoordinatorEvent::Lost { partition: *partition, epoch };
                    self.give(host, Event::Coordinator(lost));
                }
            }
            // The resumed host answers that it has ended.
            if let Some(owner) = self.owners.get_mut(&subject) {
                owner.share = Share::Full;
            }
        }
    }

    fn inject(&mut self) {
        let at = |time: u64, now: Timestamp| seconds(time) <= now && now < seconds(time) + STEP;
        let (now, faults) = (self.now, self.faults.clone());
        for (time, host) in faults.kills {
            if at(time, now) {
                self.hosts[host].dead = true;
            }
            if at(time + 6, now) {
                self.hosts[host] = self.host();
                self.introduce(host);
            }
        }
        for (time, host, length) in faults.pauses {
            if at(time, now) && !self.hosts[host].dead {
                self.hosts[host].paused = Some(seconds(time + length));
            }
        }
        for host in 0..self.hosts.len() {
            if self.hosts[host].paused.is_some_and(|until| until <= now) {
                self.resume(host);
            }
        }
        let ids: Vec<_> = self.workers.keys().cloned().collect();
        for (time, worker, length) in faults.crashes {
            let worker = self.workers.get_mut(&ids[worker % ids.len()]).expect("known");
            if at(time, now) {
                worker.crash(now);
            }
            if at(time + length, now) {
                worker.dead = false;
            }
        }
        for (time, worker, length) in faults.cuts {
            let id = ids[worker % ids.len()].clone();
            if at(time, now) {
                self.cut.insert(id.clone());
            }
            if at(time + length, now) {
                self.cut.remove(&id);
            }
        }
    }

    /// Runs until a time, seconds.
    pub fn run_to(&mut self, end: u64) {
        while self.now < seconds(end) {
            self.step();
        }
    }

    /// Runs one step.
    pub fn step(&mut self) {
        let next = self.now + STEP;
        while let Some((&(at, sequence), _)) = self.messages.first_key_value() {
            if at >= next {
                break;
            }
            let message = self.messages.remove(&(at, sequence)).expect("present");
            self.now = at.max(self.now);
            self.deliver(message);
        }
        self.now = next;
        self.inject();
        if self.now >= self.next_renewal {
            self.next_renewal = self.now + Duration::from_secs(1);
            self.own();
        }
        let now = self.now;
        for worker in self.workers.values_mut() {
            worker.advance(now);
        }
        for host in 0..self.hosts.len() {
            if self.hosts[host].paused.is_none() {
                self.give(host, Event::Placement(PlacementEvent::Tick));
                self.give(host, Event::Coordinator(CoordinatorEvent::Tick));
            }
        }
    }

    /// Host that coordinates a team.
    pub fn coordinator_of(&self, team: &str) -> usize {
        self.owners[&Subject::Partition(partition_of(&name(team)))].host
    }

    /// Kills a host between two messages.
    pub fn kill_after(&mut self, host: usize, delay: Duration) {
        self.deliver_at(self.now + delay, Message::Kill { host });
    }

    pub fn submit(&mut self, spec: JobSpec) {
        self.append(JobRecord::Submitted(spec));
    }

    pub fn cancel(&mut self, job: &str) {
        self.append(JobRecord::Cancelled { job: name(job) });
    }

    pub fn drain(&mut self, worker: &str) {
        for host in 0..self.hosts.len() {
            let event = PlacementEvent::Draining { worker: name(worker), draining: true };
            self.give(host, Event::Placement(event));
        }
    }

    pub fn end(&self, job: &str) -> Option<JobEnd> {
        let id: JobId = name(job);
        let host = self.hosts.iter().find(|host| !host.dead && host.paused.is_none())?;
        host.fold.job(&id)?.end.as_ref().map(|(_, end)| end.clone())
    }

    pub fn status(&self, job: &str) -> Option<JobStatus> {
        let id: JobId = name(job);
        self.hosts.iter().filter(|host| !host.dead).find_map(|host| host.coordinator.status(&id))
    }

    /// Most processors of a team that ran at once, by the workers' records.
    pub fn running(&self, job: &str) -> usize {
        let id: JobId = name(job);
        self.workers.values().flat_map(FakeWorker::running).filter(|start| start.task.job == id).count()
    }

    /// Capacity that is neither free at its owner nor given to a running task.
    pub fn lost_capacity(&self) -> Vec<String> {
        let mut lost = Vec::new();
        for (id, worker) in &self.workers {
            let owner = &self.owners[&Subject::Shard(worker.spec.shard.clone())];
            let free = self.hosts[owner.host].placement.free(id).unwrap_or_default();
            if free != worker.spec.capacity {
                lost.push(format!("{id}: free {free} of {}", worker.spec.capacity));
            }
        }
        lost
    }
}

pub fn job(id: &str, team: &str, kind: JobKind, tasks: u32, resources: Resources) -> JobSpec {
    JobSpec {
        id: name(id),
        kind,
        team: name(team),
        priority: Priority(0),
        tasks,
        resources,
        runtime_ms: None,
        attempts: DEFAULT_ATTEMPTS,
    }
}
