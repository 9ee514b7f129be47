//! Simulation of several hosts with clocks of their own, connected by a simulated log and simulated links.
//!
//! Times without a type are true time in microseconds.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yuccahoist::id::{Epoch, HostId, Incarnation, Offset, PartitionId, ShardId, Subject};
use yuccahoist::membership::{Membership, MembershipAction, MembershipEvent};
use yuccahoist::ownership::{
    CellFold, CellRecord, Grant, Member, Ownership, OwnershipAction, OwnershipEvent, OwnershipMessage,
    OwnershipSettings, Share,
};
use yuccahoist::state_machine::StateMachine;
use yuccahoist::stream::Fold;
use yuccahoist::unit::Timestamp;

/// Time after which the result of an append without a reply counts as unknown.
const APPEND_TIMEOUT_US: u64 = 1_000_000;
/// Time after which a read without a reply is sent again.
const READ_TIMEOUT_US: u64 = 4_000_000;
/// Time between the end of a read and the next one.
const READ_INTERVAL_US: u64 = 100_000;
/// Capacity of a subject, in halves.
const CAPACITY_HALVES: u32 = 2;

/// Settings of a simulation.
#[derive(Debug, Clone)]
pub struct Setup {
    pub seed: u64,
    pub hosts: usize,
    pub shards: u16,
    pub partitions: u16,
    pub run_limit: Duration,
    /// Longest time that requests need to finish after their host stopped using an epoch.
    pub drain: Duration,
    pub max_reduced: Option<Duration>,
    /// Clock rate of each host in parts per thousand of true time.
    pub rates: Vec<u64>,
    pub tick: Duration,
}

impl Setup {
    pub fn new(seed: u64, hosts: usize) -> Self {
        Self {
            seed,
            hosts,
            shards: 3,
            partitions: 2,
            run_limit: Duration::from_secs(2),
            drain: Duration::from_secs(2),
            max_reduced: None,
            rates: vec![1000; hosts],
            tick: Duration::from_millis(50),
        }
    }
}

/// Faults of the log that are active.
#[derive(Debug, Clone, Copy, Default)]
pub struct LogFaults {
    pub down: bool,
    pub slow: bool,
    pub lose_replies: bool,
    pub late_appends: bool,
}

/// Fault with a start and an end. Hosts are given by slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The process is killed. A new incarnation starts when the fault ends.
    Kill(usize),
    /// The process handles no events until the fault ends.
    Pause(usize),
    /// The host cannot reach the log.
    CutLog(usize),
    /// The host neither sends messages to peers nor receives any.
    CutPeers(usize),
    /// Messages from the first host to the second are lost.
    CutLink(usize, usize),
    /// Messages of the host arrive late.
    DelayMessages(usize),
    /// Planned stop. A new incarnation starts when the fault ends; a stop that is incomplete then is cut short.
    Stop(usize),
    /// No host can reach the log.
    LogDown,
    /// Appends and reads take longer.
    LogSlow,
    /// Some replies to appends are lost.
    LoseReplies,
    /// Some appends take effect late and without a reply.
    LateAppends,
}

#[derive(Debug, Clone)]
struct LogEntry {
    producer: Incarnation,
    seq: u64,
    record: CellRecord,
}

#[derive(Debug, Clone)]
enum ProcessEvent {
    Ownership { from: Incarnation, message: OwnershipMessage },
    Heartbeat { from: Incarnation },
    ReadDone { number: u64, sent: Timestamp, records: Vec<(Offset, LogEntry)> },
    AppendDone { seq: u64, offset: Offset },
    AppendTimeout { seq: u64, attempt: u64 },
    Quiescent { epoch: Epoch },
    Stop,
    Tick,
}

#[derive(Debug)]
enum SimulationEvent {
    Deliver { to: Incarnation, event: ProcessEvent },
    AppendArrives { entry: LogEntry, replies: bool },
    ReadArrives { from: Incarnation, number: u64, sent: Timestamp },
    StartRead { host: Incarnation },
    Drained { key: UsageKey },
    FaultStarts { fault: Fault },
    FaultEnds { fault: Fault },
    StartProcess { slot: usize },
}

type UsageKey = (Incarnation, Subject, Epoch);

/// Use of a subject that an incarnation is allowed under an epoch.
#[derive(Debug, Clone, Default)]
struct Usage {
    grant: Option<Grant>,
    /// Time of the grant.
    since: u64,
    /// Last time at which each number of halves was allowed.
    last_allowed: [Option<u64>; 3],
}

#[derive(Debug)]
struct Process {
    slot: usize,
    member: Member,
    ownership: Ownership,
    membership: Membership,
    fold: CellFold,
    next_offset: u64,
    last_seqs: BTreeMap<Incarnation, u64>,
    queue: VecDeque<(u64, CellRecord)>,
    pending: Option<PendingAppend>,
    next_seq: u64,
    pause_count: u32,
    deferred: VecDeque<ProcessEvent>,
    clock_offset: u64,
    clock_rate: u64,
    stopping: bool,
    read_started_at: u64,
    read_number: u64,
}

#[derive(Debug)]
struct PendingAppend {
    seq: u64,
    ticket: u64,
    record: CellRecord,
    attempt: u64,
    /// Local time from which the result is unknown, to be resolved by a read that is sent later.
    unknown_since: Option<Timestamp>,
}

impl Process {
    fn local_time(&self, now: u64) -> Timestamp {
        Timestamp::from_micros(self.clock_offset + now * self.clock_rate / 1000)
    }
}

/// All processes, the log and the links between them.
pub struct Simulation {
    pub now: u64,
    setup: Setup,
    rng: ChaCha8Rng,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, SimulationEvent>,
    next_number: u64,
    log: Vec<LogEntry>,
    log_fault_counts: [u32; 4],
    cut_log: Vec<u32>,
    cut_peers: Vec<u32>,
    delayed: Vec<u32>,
    cut_links: BTreeMap<(usize, usize), u32>,
    processes: BTreeMap<Incarnation, Process>,
    usages: BTreeMap<UsageKey, Usage>,
    clocks: BTreeMap<Incarnation, (u64, u64)>,
    next_incarnation: u64,
    subjects: BTreeSet<Subject>,
    /// Whether a grant was emitted since the last check. Use only rises by grants, so other events need no check.
    grants_changed: bool,
    pub trace: Vec<String>,
    pub stopped: Vec<usize>,
}

impl Simulation {
    pub fn new(setup: Setup) -> Self {
        let shards =
            (0..setup.shards).map(|n| Subject::Shard(ShardId::new(&format!("rack-{n}")).expect("name")));
        let partitions = (0..setup.partitions).map(|n| Subject::Partition(PartitionId(n)));
        let subjects = shards.chain(partitions).collect();
        let mut simulation = Self {
            now: 0,
            rng: ChaCha8Rng::seed_from_u64(setup.seed),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next_number: 0,
            log: Vec::new(),
            log_fault_counts: [0; 4],
            cut_log: vec![0; setup.hosts],
            cut_peers: vec![0; setup.hosts],
            delayed: vec![0; setup.hosts],
            cut_links: BTreeMap::new(),
            processes: BTreeMap::new(),
            usages: BTreeMap::new(),
            clocks: BTreeMap::new(),
            next_incarnation: 0,
            subjects,
            grants_changed: false,
            trace: Vec::new(),
            stopped: Vec::new(),
            setup,
        };
        for slot in 0..simulation.setup.hosts {
            let at = simulation.rng.random_range(0..200_000);
            simulation.schedule(at, SimulationEvent::StartProcess { slot });
        }
        simulation
    }

    /// Keeps a host from starting until [`Simulation::start_host`].
    pub fn without_host(mut self, absent: usize) -> Self {
        self.events
            .retain(|_, event| !matches!(event, SimulationEvent::StartProcess { slot } if *slot == absent));
        self
    }

    pub fn start_host(&mut self, slot: usize) {
        self.schedule(self.now, SimulationEvent::StartProcess { slot });
    }

    pub fn inject(&mut self, at: Duration, fault: Fault, length: Duration) {
        let at = micros(at);
        self.schedule(at, SimulationEvent::FaultStarts { fault });
        self.schedule(at + micros(length), SimulationEvent::FaultEnds { fault });
    }

    fn schedule(&mut self, at: u64, event: SimulationEvent) {
        let number = self.next_number;
        self.next_number += 1;
        self.events.insert(number, event);
        self.queue.push(Reverse((at.max(self.now), number)));
    }

    fn schedule_in(&mut self, delay: u64, event: SimulationEvent) {
        self.schedule(self.now + delay, event);
    }

    /// Runs until a time. Fails as soon as the capacity of a subject is exceeded or two hosts may start its tasks.
    pub fn run_until(&mut self, until: Duration) -> Result<(), String> {
        self.run_checked(until, |_| Ok(()))
    }

    /// Runs until a time like [`Simulation::run_until`], with a further check after each event.
    pub fn run_checked(
        &mut self,
        until: Duration,
        mut check: impl FnMut(&Self) -> Result<(), String>,
    ) -> Result<(), String> {
        while let Some(Reverse((at, number))) = self.queue.peek().copied() {
            if at > micros(until) {
                break;
            }
            self.queue.pop();
            self.now = at;
            if let Some(event) = self.events.remove(&number) {
                self.handle_event(event);
                self.check_capacity()?;
                check(self)?;
            }
        }
        self.now = micros(until);
        self.check_capacity()
    }

    fn handle_event(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::Deliver { to, event } => self.deliver(to, event),
            SimulationEvent::AppendArrives { entry, replies } => self.append_arrives(entry, replies),
            SimulationEvent::ReadArrives { from, number, sent } => self.read_arrives(from, number, sent),
            SimulationEvent::StartRead { host } => self.start_read(host),
            SimulationEvent::Drained { key } => {
                self.usages.remove(&key);
                let event = ProcessEvent::Quiescent { epoch: key.2 };
                self.deliver(key.0, event);
            }
            SimulationEvent::FaultStarts { fault } => self.apply_fault(fault, true),
            SimulationEvent::FaultEnds { fault } => self.apply_fault(fault, false),
            SimulationEvent::StartProcess { slot } => self.start_process(slot),
        }
    }

    fn trace_event(&mut self, text: impl std::fmt::Display) {
        self.trace.push(format!("{:>10.3} {text}", self.now as f64 / 1e6));
    }

    fn start_process(&mut self, slot: usize) {
        if self.processes.values().any(|process| process.slot == slot) {
            return;
        }
        self.next_incarnation += 1;
        // The order of incarnations must not follow the order of their starts.
        let incarnation = Incarnation(self.next_incarnation * 7919 % 1009);
        let member = Member {
            host: HostId::new(&format!("host-{slot}")).expect("name"),
            incarnation,
            address: ([127, 0, 0, 1], 7000 + u16::try_from(slot).expect("few hosts")).into(),
            zone: "zone-a".parse().expect("name"),
            site: "site-a".parse().expect("name"),
        };
        let mut ownership = Ownership::new(OwnershipSettings { member: member.clone() });
        if let Some(max_reduced) = self.setup.max_reduced {
            ownership = ownership.with_max_reduced(max_reduced);
        }
        let clock_offset = self.rng.random_range(0..1_000_000_000_u64);
        let clock_rate = self.setup.rates[slot];
        self.clocks.insert(incarnation, (clock_offset, clock_rate));
        let process = Process {
            slot,
            member,
            ownership,
            membership: Membership::new(incarnation),
            fold: CellFold::new(),
            next_offset: 0,
            last_seqs: BTreeMap::new(),
            queue: VecDeque::new(),
            pending: None,
            next_seq: 1,
            pause_count: 0,
            deferred: VecDeque::new(),
            clock_offset,
            clock_rate,
            stopping: false,
            read_started_at: self.now,
            read_number: 0,
        };
        self.trace_event(format!("start host {slot} as {incarnation}"));
        self.processes.insert(incarnation, process);
        self.ownership_event(incarnation, OwnershipEvent::Subjects(self.subjects.clone()));
        self.ownership_event(incarnation, OwnershipEvent::MaxRunLimit(self.setup.run_limit));
        self.schedule_in(0, SimulationEvent::StartRead { host: incarnation });
        self.schedule_in(0, SimulationEvent::Deliver { to: incarnation, event: ProcessEvent::Tick });
    }

    fn running(&self, slot: usize) -> Option<Incarnation> {
        self.processes.values().find(|process| process.slot == slot).map(|p| p.member.incarnation)
    }

    fn kill(&mut self, slot: usize) {
        let Some(incarnation) = self.running(slot) else { return };
        self.trace_event(format!("kill {incarnation}"));
        self.update_usages();
        self.processes.remove(&incarnation);
        for (key, usage) in &mut self.usages {
            if key.0 == incarnation {
                usage.grant = None;
            }
        }
    }

    fn apply_fault(&mut self, fault: Fault, starts: bool) {
        self.trace_event(format!("{} {fault:?}", if starts { "begin" } else { "end" }));
        let adjust = |count: &mut u32| *count = if starts { *count + 1 } else { count.saturating_sub(1) };
        match fault {
            Fault::Kill(slot) if starts => self.kill(slot),
            Fault::Kill(slot) => self.start_process(slot),
            Fault::Pause(slot) => self.pause(slot, starts),
            Fault::CutLog(slot) => adjust(&mut self.cut_log[slot]),
            Fault::CutPeers(slot) => adjust(&mut self.cut_peers[slot]),
            Fault::CutLink(from, to) => adjust(self.cut_links.entry((from, to)).or_default()),
            Fault::DelayMessages(slot) => adjust(&mut self.delayed[slot]),
            Fault::Stop(slot) => self.stop(slot, starts),
            Fault::LogDown => adjust(&mut self.log_fault_counts[0]),
            Fault::LogSlow => adjust(&mut self.log_fault_counts[1]),
            Fault::LoseReplies => adjust(&mut self.log_fault_counts[2]),
            Fault::LateAppends => adjust(&mut self.log_fault_counts[3]),
        }
    }

    fn faults(&self) -> LogFaults {
        let [down, slow, lose_replies, late_appends] = self.log_fault_counts.map(|count| count > 0);
        LogFaults { down, slow, lose_replies, late_appends }
    }

    fn pause(&mut self, slot: usize, starts: bool) {
        let Some(incarnation) = self.running(slot) else { return };
        let Some(process) = self.processes.get_mut(&incarnation) else { return };
        process.pause_count =
            if starts { process.pause_count + 1 } else { process.pause_count.saturating_sub(1) };
        while let Some(process) = self.processes.get_mut(&incarnation) {
            if process.pause_count > 0 {
                break;
            }
            let Some(event) = process.deferred.pop_front() else { break };
            self.handle(incarnation, event);
        }
    }

    fn stop(&mut self, slot: usize, starts: bool) {
        let Some(incarnation) = self.running(slot) else {
            if !starts {
                self.start_process(slot);
            }
            return;
        };
        if starts {
            self.deliver(incarnation, ProcessEvent::Stop);
        } else if let Some(process) = self.processes.get_mut(&incarnation)
            && process.stopping
        {
            // The planned stop is not complete in time, so the operator kills the process.
            self.kill(slot);
            self.start_process(slot);
        }
    }

    fn deliver(&mut self, to: Incarnation, event: ProcessEvent) {
        let Some(process) = self.processes.get_mut(&to) else { return };
        if process.pause_count > 0 {
            if matches!(event, ProcessEvent::Tick) {
                // Only one tick is pending while a process is paused.
                let tick = micros(self.setup.tick);
                self.schedule_in(tick, SimulationEvent::Deliver { to, event });
            } else {
                process.deferred.push_back(event);
            }
            return;
        }
        self.handle(to, event);
    }

    fn handle(&mut self, to: Incarnation, event: ProcessEvent) {
        match event {
            ProcessEvent::Ownership { from, message } => {
                self.ownership_event(to, OwnershipEvent::Peer { from, message });
            }
            ProcessEvent::Heartbeat { from } => {
                self.membership_event(to, MembershipEvent::Heartbeat { from, stopping: false });
            }
            ProcessEvent::ReadDone { number, sent, records } => self.read_done(to, number, sent, records),
            ProcessEvent::AppendDone { seq, offset } => self.append_done(to, seq, offset),
            ProcessEvent::AppendTimeout { seq, attempt } => self.append_timeout(to, seq, attempt),
            ProcessEvent::Quiescent { epoch } => {
                self.ownership_event(to, OwnershipEvent::Quiescent { epochs: vec![epoch] });
            }
            ProcessEvent::Stop => {
                if let Some(process) = self.processes.get_mut(&to) {
                    process.stopping = true;
                }
                self.ownership_event(to, OwnershipEvent::Stop);
            }
            ProcessEvent::Tick => self.tick(to),
        }
    }

    fn tick(&mut self, to: Incarnation) {
        let tick = micros(self.setup.tick);
        let jitter = self.rng.random_range(0..tick / 10 + 1);
        self.schedule_in(tick + jitter, SimulationEvent::Deliver { to, event: ProcessEvent::Tick });
        let Some(process) = self.processes.get_mut(&to) else { return };
        let read_timed_out = self.now > process.read_started_at + READ_TIMEOUT_US;
        if read_timed_out {
            self.start_read(to);
        }
        self.membership_event(to, MembershipEvent::Tick);
        self.ownership_event(to, OwnershipEvent::Tick);
        let Some(process) = self.processes.get(&to) else { return };
        if process.ownership.has_left() {
            let (slot, stopping) = (process.slot, process.stopping);
            self.stopped.push(slot);
            self.kill(slot);
            if !stopping {
                self.schedule_in(500_000, SimulationEvent::StartProcess { slot });
            }
        }
    }

    fn membership_event(&mut self, to: Incarnation, event: MembershipEvent) {
        let Some(process) = self.processes.get_mut(&to) else { return };
        let mut out = Vec::new();
        let local = process.local_time(self.now);
        process.membership.handle(local, event, &mut self.rng, &mut out);
        for action in out {
            match action {
                MembershipAction::SendHeartbeat { to: peers } => {
                    for peer in peers {
                        self.send(to, peer, ProcessEvent::Heartbeat { from: to });
                    }
                }
                MembershipAction::Suspected { incarnation, suspected } => {
                    self.ownership_event(to, OwnershipEvent::Suspected { incarnation, suspected });
                }
                MembershipAction::Leaving { .. } => {}
            }
        }
    }

    fn ownership_event(&mut self, to: Incarnation, event: OwnershipEvent) {
        let Some(process) = self.processes.get_mut(&to) else { return };
        let mut out = Vec::new();
        let local = process.local_time(self.now);
        process.ownership.handle(local, event, &mut self.rng, &mut out);
        for action in out {
            self.perform(to, action);
        }
    }

    fn perform(&mut self, incarnation: Incarnation, action: OwnershipAction) {
        match action {
            OwnershipAction::Append { ticket, record } => {
                if let Some(process) = self.processes.get_mut(&incarnation) {
                    process.queue.push_back((ticket, record));
                }
                self.append_next(incarnation);
            }
            OwnershipAction::Send { to, message } => {
                self.send(incarnation, to, ProcessEvent::Ownership { from: incarnation, message });
            }
            OwnershipAction::Grant(grant) => self.grant(incarnation, grant),
            OwnershipAction::Lost { subject, epoch } => self.lost(incarnation, subject, epoch),
            OwnershipAction::Owner { .. } => {}
            OwnershipAction::View(view) => self.membership_event(incarnation, MembershipEvent::View(view)),
        }
    }

    fn grant(&mut self, incarnation: Incarnation, grant: Grant) {
        self.trace_event(format!(
            "grant {incarnation} {} {} {:?} tasks {} until {}",
            grant.subject,
            grant.epoch,
            grant.share,
            grant.may_start_tasks,
            true_micros(self.clocks[&incarnation], grant.valid_until) / 1000
        ));
        self.update_usages();
        let key = (incarnation, grant.subject.clone(), grant.epoch);
        let now = self.now;
        let usage = self.usages.entry(key).or_default();
        usage.grant = Some(grant);
        usage.since = now;
        self.grants_changed = true;
    }

    fn lost(&mut self, incarnation: Incarnation, subject: Subject, epoch: Epoch) {
        self.trace_event(format!("lost {incarnation} {subject} {epoch}"));
        self.update_usages();
        let key = (incarnation, subject, epoch);
        if let Some(usage) = self.usages.get_mut(&key) {
            usage.grant = None;
        }
        let drain = self.rng.random_range(0..=micros(self.setup.drain));
        self.schedule_in(drain, SimulationEvent::Drained { key });
    }

    fn send(&mut self, from: Incarnation, to: Incarnation, event: ProcessEvent) {
        let (Some(sender), Some(receiver)) = (self.processes.get(&from), self.processes.get(&to)) else {
            return;
        };
        let (from, slot) = (sender.slot, receiver.slot);
        let cut = self.cut_peers[from] > 0
            || self.cut_peers[slot] > 0
            || self.cut_links.get(&(from, slot)).is_some_and(|count| *count > 0);
        if cut {
            return;
        }
        let max_delay = if self.delayed[from] > 0 { 3_000_000 } else { 5_000 };
        let delay = self.rng.random_range(500..max_delay);
        self.schedule_in(delay, SimulationEvent::Deliver { to, event });
    }

    fn log_delay(&mut self) -> u64 {
        let max_delay = if self.faults().slow { 1_500_000 } else { 15_000 };
        self.rng.random_range(1_000..max_delay)
    }

    fn log_reachable(&self, host: Incarnation) -> bool {
        let cut = self.processes.get(&host).is_none_or(|process| self.cut_log[process.slot] > 0);
        !cut && !self.faults().down
    }

    fn append_next(&mut self, incarnation: Incarnation) {
        let Some(process) = self.processes.get_mut(&incarnation) else { return };
        if process.pending.is_some() {
            return;
        }
        let Some((ticket, record)) = process.queue.pop_front() else { return };
        let seq = process.next_seq;
        process.next_seq += 1;
        process.pending = Some(PendingAppend { seq, ticket, record, attempt: 0, unknown_since: None });
        self.send_append(incarnation);
    }

    fn send_append(&mut self, incarnation: Incarnation) {
        let delay = self.log_delay();
        let faults = self.faults();
        let reachable = self.log_reachable(incarnation);
        let Some(pending) = self.processes.get_mut(&incarnation).and_then(|process| process.pending.as_mut())
        else {
            return;
        };
        pending.attempt += 1;
        pending.unknown_since = None;
        let (seq, attempt) = (pending.seq, pending.attempt);
        let entry = LogEntry { producer: incarnation, seq, record: pending.record.clone() };
        let event = ProcessEvent::AppendTimeout { seq, attempt };
        self.schedule_in(APPEND_TIMEOUT_US, SimulationEvent::Deliver { to: incarnation, event });
        if !reachable {
            return;
        }
        let is_late = faults.late_appends && self.rng.random_bool(0.5);
        let extra_delay = if is_late { self.rng.random_range(0..8_000_000) } else { 0 };
        let reply_lost = faults.lose_replies && self.rng.random_bool(0.5);
        let replies = !is_late && !reply_lost;
        self.schedule_in(delay + extra_delay, SimulationEvent::AppendArrives { entry, replies });
    }

    fn append_arrives(&mut self, entry: LogEntry, replies: bool) {
        let (to, seq) = (entry.producer, entry.seq);
        self.trace_event(format!("log {} <- {to} #{seq} {:?}", self.log.len(), entry.record));
        let offset = Offset(self.log.len() as u64);
        self.log.push(entry);
        if replies && self.log_reachable(to) {
            let delay = self.log_delay();
            self.schedule_in(
                delay,
                SimulationEvent::Deliver { to, event: ProcessEvent::AppendDone { seq, offset } },
            );
        }
    }

    fn append_done(&mut self, to: Incarnation, seq: u64, offset: Offset) {
        let Some(process) = self.processes.get_mut(&to) else { return };
        if process.pending.as_ref().is_none_or(|pending| pending.seq != seq) {
            return;
        }
        let Some(pending) = process.pending.take() else { return };
        self.ownership_event(to, OwnershipEvent::Appended { ticket: pending.ticket, offset });
        self.append_next(to);
    }

    fn append_timeout(&mut self, to: Incarnation, seq: u64, attempt: u64) {
        let now = self.now;
        let Some(process) = self.processes.get_mut(&to) else { return };
        let local = process.local_time(now);
        if let Some(pending) = &mut process.pending
            && pending.seq == seq
            && pending.attempt == attempt
        {
            pending.unknown_since.get_or_insert(local);
        }
    }

    fn start_read(&mut self, host: Incarnation) {
        let delay = self.log_delay();
        let reachable = self.log_reachable(host);
        let Some(process) = self.processes.get_mut(&host) else { return };
        process.read_started_at = self.now;
        process.read_number += 1;
        let (number, sent) = (process.read_number, process.local_time(self.now));
        if reachable && process.pause_count == 0 {
            self.schedule_in(delay, SimulationEvent::ReadArrives { from: host, number, sent });
        }
    }

    fn read_arrives(&mut self, from: Incarnation, number: u64, sent: Timestamp) {
        if !self.log_reachable(from) {
            return;
        }
        let Some(process) = self.processes.get(&from) else { return };
        let skip = usize::try_from(process.next_offset).expect("log length fits usize");
        let records: Vec<_> =
            self.log.iter().enumerate().skip(skip).map(|(at, s)| (Offset(at as u64), s.clone())).collect();
        let delay = self.log_delay();
        let event = ProcessEvent::ReadDone { number, sent, records };
        self.schedule_in(delay, SimulationEvent::Deliver { to: from, event });
    }

    fn read_done(&mut self, to: Incarnation, number: u64, sent: Timestamp, records: Vec<(Offset, LogEntry)>) {
        if self.processes.get(&to).is_none_or(|process| process.read_number != number) {
            return;
        }
        for (offset, entry) in records {
            let Some(process) = self.processes.get_mut(&to) else { return };
            if offset.0 < process.next_offset {
                continue;
            }
            process.next_offset = offset.0 + 1;
            let last = process.last_seqs.entry(entry.producer).or_default();
            if entry.seq <= *last {
                continue;
            }
            *last = entry.seq;
            let mut changes = Vec::new();
            process.fold.apply(offset, entry.producer, entry.record, &mut changes);
            for change in changes {
                self.ownership_event(to, OwnershipEvent::Change(change));
            }
        }
        self.resolve_append(to, sent);
        self.ownership_event(to, OwnershipEvent::CaughtUp { sent_at: sent });
        self.schedule_in(READ_INTERVAL_US, SimulationEvent::StartRead { host: to });
    }

    /// Resolves an append of unknown result by a read that was sent after it. The append is done if the read includes
    /// its record and is sent again otherwise.
    fn resolve_append(&mut self, to: Incarnation, sent: Timestamp) {
        let Some(process) = self.processes.get_mut(&to) else { return };
        let Some(pending) = &process.pending else { return };
        if process.last_seqs.get(&to).is_some_and(|last| *last >= pending.seq) {
            let (seq, offset) = (pending.seq, Offset(process.next_offset - 1));
            self.append_done(to, seq, offset);
        } else if pending.unknown_since.is_some_and(|since| sent >= since) {
            self.send_append(to);
        }
    }

    /// Advances the last allowed times of all usages to now.
    fn update_usages(&mut self) {
        for (key, usage) in &mut self.usages {
            let Some(grant) = &usage.grant else { continue };
            let until = self.now.min(true_micros(self.clocks[&key.0], grant.valid_until));
            if until < usage.since {
                continue;
            }
            let halves = halves(grant.share);
            usage.last_allowed[halves] = usage.last_allowed[halves].max(Some(until));
        }
    }

    /// Fails if the hosts together may use more than the capacity of a subject, or two may start its tasks.
    fn check_capacity(&mut self) -> Result<(), String> {
        if !std::mem::take(&mut self.grants_changed) {
            return Ok(());
        }
        self.update_usages();
        let (now, run_limit) = (self.now, micros(self.setup.run_limit));
        self.usages.retain(|_, usage| {
            usage.grant.is_some() || usage.last_allowed.iter().flatten().any(|last| now <= last + run_limit)
        });
        let mut sums: BTreeMap<&Subject, u32> = BTreeMap::new();
        let mut tasks: BTreeMap<&Subject, u32> = BTreeMap::new();
        for ((incarnation, subject, _), usage) in &self.usages {
            let in_use =
                |halves: &usize| usage.last_allowed[*halves].is_some_and(|last| self.now <= last + run_limit);
            let used = [2, 1].into_iter().find(in_use).unwrap_or(0);
            *sums.entry(subject).or_default() += used as u32;
            let starts = |grant: &Grant| {
                grant.may_start_tasks && self.now <= true_micros(self.clocks[incarnation], grant.valid_until)
            };
            *tasks.entry(subject).or_default() += u32::from(usage.grant.as_ref().is_some_and(starts));
        }
        let overuse = sums
            .iter()
            .find(|(_, sum)| **sum > CAPACITY_HALVES)
            .map(|(subject, _)| format!("{subject} used over its capacity"));
        let double_start = tasks
            .iter()
            .find(|(_, count)| **count > 1)
            .map(|(subject, _)| format!("{subject} has two hosts that may start tasks"));
        match overuse.or(double_start) {
            Some(violation) => Err(format!("{violation} at {} us:\n{}", self.now, self.trace_end())),
            None => Ok(()),
        }
    }

    /// Returns the last lines of the trace.
    pub fn trace_end(&self) -> String {
        let skip = self.trace.len().saturating_sub(120);
        self.trace[skip..].join("\n")
    }

    /// Returns the slot, the share and the right to start tasks of each host that may use a subject now.
    pub fn shares(&self, subject: &Subject) -> Vec<(usize, Share, bool)> {
        let mut shares = Vec::new();
        for ((incarnation, of, _), usage) in &self.usages {
            let Some(grant) = usage.grant.as_ref().filter(|_| of == subject) else { continue };
            let Some(process) = self.processes.get(incarnation) else { continue };
            if process.local_time(self.now) <= grant.valid_until {
                shares.push((process.slot, grant.share, grant.may_start_tasks));
            }
        }
        shares
    }

    pub fn subjects(&self) -> Vec<Subject> {
        self.subjects.iter().cloned().collect()
    }

    /// Returns the slot of the running host that owns a subject by the whole log.
    pub fn owner(&self, subject: &Subject) -> Option<usize> {
        let mut fold = CellFold::new();
        let mut last_seqs = BTreeMap::<Incarnation, u64>::new();
        let mut changes = Vec::new();
        for (offset, entry) in self.log.iter().enumerate() {
            let last = last_seqs.entry(entry.producer).or_default();
            if entry.seq > *last {
                *last = entry.seq;
                fold.apply(Offset(offset as u64), entry.producer, entry.record.clone(), &mut changes);
            }
        }
        let state = fold.subject(subject).filter(|state| !state.released)?;
        self.processes.get(&state.owner).map(|process| process.slot)
    }

    /// Returns the number of claims in the log, including void and repeated ones.
    pub fn claims(&self) -> usize {
        self.log.iter().filter(|entry| matches!(entry.record, CellRecord::Claim { .. })).count()
    }
}

fn halves(share: Share) -> usize {
    match share {
        Share::Nothing => 0,
        Share::Reduced | Share::Remainder => 1,
        Share::Full => 2,
    }
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).expect("span in microseconds fits u64")
}

/// Converts a local time to true time in microseconds.
fn true_micros((offset, rate): (u64, u64), local: Timestamp) -> u64 {
    local.as_micros().saturating_sub(offset).saturating_mul(1000) / rate
}
