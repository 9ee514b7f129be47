//! Fake log, fake links and several ownership machines with clocks of their own.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yuccahoist::duty::Duty;
use yuccahoist::id::{Epoch, HostId, Incarnation, Offset, PartitionId, ShardId, Subject};
use yuccahoist::membership::{Membership, MembershipAction, MembershipEvent};
use yuccahoist::ownership::{
    CellFold, CellRecord, Grant, Member, Ownership, OwnershipAction, OwnershipEvent, OwnershipMessage,
    OwnershipSettings, Share,
};
use yuccahoist::stream::Fold;
use yuccahoist::unit::Timestamp;

/// Time after which an append without answer counts as unknown.
const APPEND_TIMEOUT: u64 = 1_000_000;
/// Time after which a read without answer is given up and sent again.
const READ_TIMEOUT: u64 = 4_000_000;
/// Time between two reads of a host.
const READ_PERIOD: u64 = 100_000;
/// Halves of a subject's capacity.
const WHOLE: u32 = 2;

/// Settings of a run.
#[derive(Debug, Clone)]
pub struct Setup {
    pub seed: u64,
    pub hosts: usize,
    pub shards: u16,
    pub partitions: u16,
    pub run_limit: Duration,
    /// Longest time that requests need after their host stopped to use an epoch.
    pub drain: Duration,
    pub max_reduced: Option<Duration>,
    /// Clock rate per host, parts per thousand.
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

/// Fault switches of the log.
#[derive(Debug, Clone, Copy, Default)]
pub struct LogFaults {
    pub down: bool,
    pub slow: bool,
    pub lose_answers: bool,
    pub late_effects: bool,
}

/// Fault that starts at some time and ends after some time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Process dies; a new incarnation starts at the end.
    Kill(usize),
    /// Process gets no events.
    Pause(usize),
    /// Host cannot reach the log.
    CutLog(usize),
    /// Host neither sends to nor hears from any peer.
    CutPeers(usize),
    /// Messages from one host to another are lost.
    CutLink(usize, usize),
    /// Messages of a host arrive late.
    DelayMessages(usize),
    /// Planned stop; a new incarnation starts at the end or when the stop is complete, if that is later.
    Stop(usize),
    LogDown,
    LogSlow,
    LoseAnswers,
    LateEffects,
}

#[derive(Debug, Clone)]
struct Stored {
    producer: Incarnation,
    seq: u64,
    record: CellRecord,
}

#[derive(Debug, Clone)]
enum Incoming {
    Ownership { from: Incarnation, message: OwnershipMessage },
    Heartbeat { from: Incarnation },
    ReadDone { number: u64, asked: Timestamp, records: Vec<(Offset, Stored)> },
    AppendDone { seq: u64, offset: Offset },
    AppendTimeout { seq: u64, attempt: u64 },
    Quiescent { epoch: Epoch },
    Stop,
    Tick,
}

#[derive(Debug)]
enum Happening {
    Incoming { to: Incarnation, event: Incoming },
    AppendArrives { stored: Stored, answer: bool },
    ReadArrives { from: Incarnation, number: u64, asked: Timestamp },
    StartRead { host: Incarnation },
    Drained { key: UsageKey },
    FaultStarts { fault: Fault },
    FaultEnds { fault: Fault },
    StartProcess { slot: usize },
}

type UsageKey = (Incarnation, Subject, Epoch);

/// What an incarnation may have in progress under an epoch: last true time at which it was allowed 1 and 2 halves.
#[derive(Debug, Clone, Default)]
struct Usage {
    grant: Option<Grant>,
    since: u64,
    last: [Option<u64>; 3],
}

#[derive(Debug)]
struct Process {
    slot: usize,
    member: Member,
    ownership: Ownership,
    membership: Membership,
    fold: CellFold,
    position: u64,
    seqs: BTreeMap<Incarnation, u64>,
    queue: VecDeque<(u64, CellRecord)>,
    open: Option<OpenAppend>,
    next_seq: u64,
    paused: u32,
    deferred: VecDeque<Incoming>,
    offset: u64,
    rate: u64,
    stopping: bool,
    reading: u64,
    read_number: u64,
}

#[derive(Debug)]
struct OpenAppend {
    seq: u64,
    ticket: u64,
    record: CellRecord,
    attempt: u64,
    /// Local time from which a read decides about the append.
    unknown_since: Option<Timestamp>,
}

impl Process {
    fn local(&self, now: u64) -> Timestamp {
        Timestamp::from_micros(self.offset + now * self.rate / 1000)
    }
}

/// All machines and what connects them.
pub struct World {
    pub now: u64,
    setup: Setup,
    rng: ChaCha8Rng,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    happenings: BTreeMap<u64, Happening>,
    next_number: u64,
    log: Vec<Stored>,
    log_faults: [u32; 4],
    cut_log: Vec<u32>,
    cut_peers: Vec<u32>,
    delayed: Vec<u32>,
    cut_links: BTreeMap<(usize, usize), u32>,
    processes: BTreeMap<Incarnation, Process>,
    usages: BTreeMap<UsageKey, Usage>,
    clocks: BTreeMap<Incarnation, (u64, u64)>,
    next_incarnation: u64,
    subjects: BTreeSet<Subject>,
    /// Whether a grant came since the last check. Use only rises by grants, so other steps need no check.
    granted: bool,
    pub trace: Vec<String>,
    pub stopped: Vec<usize>,
}

impl World {
    pub fn new(setup: Setup) -> Self {
        let shards =
            (0..setup.shards).map(|n| Subject::Shard(ShardId::new(&format!("rack-{n}")).expect("name")));
        let partitions = (0..setup.partitions).map(|n| Subject::Partition(PartitionId(n)));
        let subjects = shards.chain(partitions).collect();
        let mut world = Self {
            now: 0,
            rng: ChaCha8Rng::seed_from_u64(setup.seed),
            queue: BinaryHeap::new(),
            happenings: BTreeMap::new(),
            next_number: 0,
            log: Vec::new(),
            log_faults: [0; 4],
            cut_log: vec![0; setup.hosts],
            cut_peers: vec![0; setup.hosts],
            delayed: vec![0; setup.hosts],
            cut_links: BTreeMap::new(),
            processes: BTreeMap::new(),
            usages: BTreeMap::new(),
            clocks: BTreeMap::new(),
            next_incarnation: 0,
            subjects,
            granted: false,
            trace: Vec::new(),
            stopped: Vec::new(),
            setup,
        };
        for slot in 0..world.setup.hosts {
            let at = world.rng.random_range(0..200_000);
            world.schedule(at, Happening::StartProcess { slot });
        }
        world
    }

    /// Leaves a host out of the start; it starts with [`World::start`].
    pub fn without(mut self, absent: usize) -> Self {
        self.happenings.retain(|_, h| !matches!(h, Happening::StartProcess { slot } if *slot == absent));
        self
    }

    pub fn start(&mut self, slot: usize) {
        self.schedule(self.now, Happening::StartProcess { slot });
    }

    pub fn inject(&mut self, at: Duration, fault: Fault, length: Duration) {
        let at = micros(at);
        self.schedule(at, Happening::FaultStarts { fault });
        self.schedule(at + micros(length), Happening::FaultEnds { fault });
    }

    fn schedule(&mut self, at: u64, happening: Happening) {
        let number = self.next_number;
        self.next_number += 1;
        self.happenings.insert(number, happening);
        self.queue.push(Reverse((at.max(self.now), number)));
    }

    fn schedule_in(&mut self, delay: u64, happening: Happening) {
        self.schedule(self.now + delay, happening);
    }

    /// Runs until a time; fails at the first moment at which a subject's capacity is exceeded.
    pub fn run_until(&mut self, until: Duration) -> Result<(), String> {
        self.run_checked(until, |_| Ok(()))
    }

    /// Like [`World::run_until`], with a further check after each step.
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
            if let Some(happening) = self.happenings.remove(&number) {
                self.happen(happening);
                self.check_capacity()?;
                check(self)?;
            }
        }
        self.now = micros(until);
        self.check_capacity()
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Incoming { to, event } => self.deliver(to, event),
            Happening::AppendArrives { stored, answer } => self.append_arrives(stored, answer),
            Happening::ReadArrives { from, number, asked } => self.read_arrives(from, number, asked),
            Happening::StartRead { host } => self.start_read(host),
            Happening::Drained { key } => {
                self.usages.remove(&key);
                let event = Incoming::Quiescent { epoch: key.2 };
                self.deliver(key.0, event);
            }
            Happening::FaultStarts { fault } => self.fault(fault, true),
            Happening::FaultEnds { fault } => self.fault(fault, false),
            Happening::StartProcess { slot } => self.start_process(slot),
        }
    }

    fn note(&mut self, text: impl std::fmt::Display) {
        self.trace.push(format!("{:>10.3} {text}", self.now as f64 / 1e6));
    }

    fn start_process(&mut self, slot: usize) {
        if self.processes.values().any(|process| process.slot == slot) {
            return;
        }
        self.next_incarnation += 1;
        // Order of incarnations does not follow the time of their starts.
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
        let offset = self.rng.random_range(0..1_000_000_000_u64);
        let rate = self.setup.rates[slot];
        self.clocks.insert(incarnation, (offset, rate));
        let process = Process {
            slot,
            member,
            ownership,
            membership: Membership::new(incarnation),
            fold: CellFold::new(),
            position: 0,
            seqs: BTreeMap::new(),
            queue: VecDeque::new(),
            open: None,
            next_seq: 1,
            paused: 0,
            deferred: VecDeque::new(),
            offset,
            rate,
            stopping: false,
            reading: self.now,
            read_number: 0,
        };
        self.note(format!("start host {slot} as {incarnation}"));
        self.processes.insert(incarnation, process);
        self.ownership_event(incarnation, OwnershipEvent::Subjects(self.subjects.clone()));
        self.ownership_event(incarnation, OwnershipEvent::RunLimit(self.setup.run_limit));
        self.schedule_in(0, Happening::StartRead { host: incarnation });
        self.schedule_in(0, Happening::Incoming { to: incarnation, event: Incoming::Tick });
    }

    fn running(&self, slot: usize) -> Option<Incarnation> {
        self.processes.values().find(|process| process.slot == slot).map(|p| p.member.incarnation)
    }

    fn kill(&mut self, slot: usize) {
        let Some(incarnation) = self.running(slot) else { return };
        self.note(format!("end {incarnation}"));
        self.settle_usages();
        self.processes.remove(&incarnation);
        for (key, usage) in &mut self.usages {
            if key.0 == incarnation {
                usage.grant = None;
            }
        }
    }

    fn fault(&mut self, fault: Fault, starts: bool) {
        self.note(format!("{} {fault:?}", if starts { "begin" } else { "end" }));
        let step = |count: &mut u32| *count = if starts { *count + 1 } else { count.saturating_sub(1) };
        match fault {
            Fault::Kill(slot) if starts => self.kill(slot),
            Fault::Kill(slot) => self.start_process(slot),
            Fault::Pause(slot) => self.pause(slot, starts),
            Fault::CutLog(slot) => step(&mut self.cut_log[slot]),
            Fault::CutPeers(slot) => step(&mut self.cut_peers[slot]),
            Fault::CutLink(from, to) => step(self.cut_links.entry((from, to)).or_default()),
            Fault::DelayMessages(slot) => step(&mut self.delayed[slot]),
            Fault::Stop(slot) => self.stop(slot, starts),
            Fault::LogDown => step(&mut self.log_faults[0]),
            Fault::LogSlow => step(&mut self.log_faults[1]),
            Fault::LoseAnswers => step(&mut self.log_faults[2]),
            Fault::LateEffects => step(&mut self.log_faults[3]),
        }
    }

    fn faults(&self) -> LogFaults {
        let [down, slow, lose_answers, late_effects] = self.log_faults.map(|count| count > 0);
        LogFaults { down, slow, lose_answers, late_effects }
    }

    fn pause(&mut self, slot: usize, starts: bool) {
        let Some(incarnation) = self.running(slot) else { return };
        let Some(process) = self.processes.get_mut(&incarnation) else { return };
        process.paused = if starts { process.paused + 1 } else { process.paused.saturating_sub(1) };
        while let Some(process) = self.processes.get_mut(&incarnation) {
            if process.paused > 0 {
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
            self.deliver(incarnation, Incoming::Stop);
        } else if let Some(process) = self.processes.get_mut(&incarnation)
            && process.stopping
        {
            // The stop takes long; the operator ends the process.
            self.kill(slot);
            self.start_process(slot);
        }
    }

    fn deliver(&mut self, to: Incarnation, event: Incoming) {
        let Some(process) = self.processes.get_mut(&to) else { return };
        if process.paused > 0 {
            if matches!(event, Incoming::Tick) {
                // Ticks do not pile up while a process is paused.
                let tick = micros(self.setup.tick);
                self.schedule_in(tick, Happening::Incoming { to, event });
            } else {
                process.deferred.push_back(event);
            }
            return;
        }
        self.handle(to, event);
    }

    fn handle(&mut self, to: Incarnation, event: Incoming) {
        match event {
            Incoming::Ownership { from, message } => {
                self.ownership_event(to, OwnershipEvent::Peer { from, message });
            }
            Incoming::Heartbeat { from } => {
                self.membership_event(to, MembershipEvent::Heard { from, stopping: false });
            }
            Incoming::ReadDone { number, asked, records } => self.read_done(to, number, asked, records),
            Incoming::AppendDone { seq, offset } => self.append_done(to, seq, offset),
            Incoming::AppendTimeout { seq, attempt } => self.append_timeout(to, seq, attempt),
            Incoming::Quiescent { epoch } => {
                self.ownership_event(to, OwnershipEvent::Quiescent { epochs: vec![epoch] });
            }
            Incoming::Stop => {
                if let Some(process) = self.processes.get_mut(&to) {
                    process.stopping = true;
                }
                self.ownership_event(to, OwnershipEvent::Stop);
            }
            Incoming::Tick => self.tick(to),
        }
    }

    fn tick(&mut self, to: Incarnation) {
        let tick = micros(self.setup.tick);
        let jitter = self.rng.random_range(0..tick / 10 + 1);
        self.schedule_in(tick + jitter, Happening::Incoming { to, event: Incoming::Tick });
        let Some(process) = self.processes.get_mut(&to) else { return };
        let stuck = self.now > process.reading + READ_TIMEOUT;
        if stuck {
            self.start_read(to);
        }
        self.membership_event(to, MembershipEvent::Tick);
        self.ownership_event(to, OwnershipEvent::Tick);
        let Some(process) = self.processes.get(&to) else { return };
        if process.ownership.left() {
            let (slot, stopping) = (process.slot, process.stopping);
            self.stopped.push(slot);
            self.kill(slot);
            if !stopping {
                self.schedule_in(500_000, Happening::StartProcess { slot });
            }
        }
    }

    fn membership_event(&mut self, to: Incarnation, event: MembershipEvent) {
        let Some(process) = self.processes.get_mut(&to) else { return };
        let mut out = Vec::new();
        let local = process.local(self.now);
        process.membership.handle(local, event, &mut self.rng, &mut out);
        for action in out {
            match action {
                MembershipAction::SendHeartbeat { to: peers } => {
                    for peer in peers {
                        self.send(to, peer, Incoming::Heartbeat { from: to });
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
        let local = process.local(self.now);
        process.ownership.handle(local, event, &mut self.rng, &mut out);
        for action in out {
            self.act(to, action);
        }
    }

    fn act(&mut self, own: Incarnation, action: OwnershipAction) {
        match action {
            OwnershipAction::Append { ticket, record } => {
                if let Some(process) = self.processes.get_mut(&own) {
                    process.queue.push_back((ticket, record));
                }
                self.append_next(own);
            }
            OwnershipAction::Send { to, message } => {
                self.send(own, to, Incoming::Ownership { from: own, message });
            }
            OwnershipAction::Grant(grant) => self.grant(own, grant),
            OwnershipAction::Lost { subject, epoch } => self.lost(own, subject, epoch),
            OwnershipAction::Owner { .. } => {}
            OwnershipAction::View(view) => self.membership_event(own, MembershipEvent::View(view)),
        }
    }

    fn grant(&mut self, own: Incarnation, grant: Grant) {
        self.note(format!(
            "grant {own} {} {} {:?} tasks {} until {}",
            grant.subject,
            grant.epoch,
            grant.share,
            grant.tasks,
            real(self.clocks[&own], grant.until) / 1000
        ));
        self.settle_usages();
        let key = (own, grant.subject.clone(), grant.epoch);
        let now = self.now;
        let usage = self.usages.entry(key).or_default();
        usage.grant = Some(grant);
        usage.since = now;
        self.granted = true;
    }

    fn lost(&mut self, own: Incarnation, subject: Subject, epoch: Epoch) {
        self.note(format!("lost {own} {subject} {epoch}"));
        self.settle_usages();
        let key = (own, subject, epoch);
        if let Some(usage) = self.usages.get_mut(&key) {
            usage.grant = None;
        }
        let drain = self.rng.random_range(0..=micros(self.setup.drain));
        self.schedule_in(drain, Happening::Drained { key });
    }

    fn send(&mut self, from: Incarnation, to: Incarnation, event: Incoming) {
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
        let longest = if self.delayed[from] > 0 { 3_000_000 } else { 5_000 };
        let delay = self.rng.random_range(500..longest);
        self.schedule_in(delay, Happening::Incoming { to, event });
    }

    fn log_delay(&mut self) -> u64 {
        let longest = if self.faults().slow { 1_500_000 } else { 15_000 };
        self.rng.random_range(1_000..longest)
    }

    fn log_reachable(&self, host: Incarnation) -> bool {
        let cut = self.processes.get(&host).is_none_or(|process| self.cut_log[process.slot] > 0);
        !cut && !self.faults().down
    }

    fn append_next(&mut self, own: Incarnation) {
        let Some(process) = self.processes.get_mut(&own) else { return };
        if process.open.is_some() {
            return;
        }
        let Some((ticket, record)) = process.queue.pop_front() else { return };
        let seq = process.next_seq;
        process.next_seq += 1;
        process.open = Some(OpenAppend { seq, ticket, record, attempt: 0, unknown_since: None });
        self.send_append(own);
    }

    fn send_append(&mut self, own: Incarnation) {
        let delay = self.log_delay();
        let faults = self.faults();
        let reachable = self.log_reachable(own);
        let Some(open) = self.processes.get_mut(&own).and_then(|process| process.open.as_mut()) else {
            return;
        };
        open.attempt += 1;
        open.unknown_since = None;
        let (seq, attempt) = (open.seq, open.attempt);
        let stored = Stored { producer: own, seq, record: open.record.clone() };
        let event = Incoming::AppendTimeout { seq, attempt };
        self.schedule_in(APPEND_TIMEOUT, Happening::Incoming { to: own, event });
        if !reachable {
            return;
        }
        let late = faults.late_effects && self.rng.random_bool(0.5);
        let extra = if late { self.rng.random_range(0..8_000_000) } else { 0 };
        let lost = faults.lose_answers && self.rng.random_bool(0.5);
        let answer = !late && !lost;
        self.schedule_in(delay + extra, Happening::AppendArrives { stored, answer });
    }

    fn append_arrives(&mut self, stored: Stored, answer: bool) {
        let (to, seq) = (stored.producer, stored.seq);
        self.note(format!("log {} <- {to} #{seq} {:?}", self.log.len(), stored.record));
        let offset = Offset(self.log.len() as u64);
        self.log.push(stored);
        if answer && self.log_reachable(to) {
            let delay = self.log_delay();
            self.schedule_in(delay, Happening::Incoming { to, event: Incoming::AppendDone { seq, offset } });
        }
    }

    fn append_done(&mut self, to: Incarnation, seq: u64, offset: Offset) {
        let Some(process) = self.processes.get_mut(&to) else { return };
        if process.open.as_ref().is_none_or(|open| open.seq != seq) {
            return;
        }
        let Some(open) = process.open.take() else { return };
        self.ownership_event(to, OwnershipEvent::Appended { ticket: open.ticket, offset });
        self.append_next(to);
    }

    fn append_timeout(&mut self, to: Incarnation, seq: u64, attempt: u64) {
        let now = self.now;
        let Some(process) = self.processes.get_mut(&to) else { return };
        let local = process.local(now);
        if let Some(open) = &mut process.open
            && open.seq == seq
            && open.attempt == attempt
        {
            open.unknown_since.get_or_insert(local);
        }
    }

    fn start_read(&mut self, host: Incarnation) {
        let delay = self.log_delay();
        let reachable = self.log_reachable(host);
        let Some(process) = self.processes.get_mut(&host) else { return };
        process.reading = self.now;
        process.read_number += 1;
        let (number, asked) = (process.read_number, process.local(self.now));
        if reachable && process.paused == 0 {
            self.schedule_in(delay, Happening::ReadArrives { from: host, number, asked });
        }
    }

    fn read_arrives(&mut self, from: Incarnation, number: u64, asked: Timestamp) {
        if !self.log_reachable(from) {
            return;
        }
        let Some(process) = self.processes.get(&from) else { return };
        let skip = usize::try_from(process.position).expect("short log");
        let records: Vec<_> =
            self.log.iter().enumerate().skip(skip).map(|(at, s)| (Offset(at as u64), s.clone())).collect();
        let delay = self.log_delay();
        let event = Incoming::ReadDone { number, asked, records };
        self.schedule_in(delay, Happening::Incoming { to: from, event });
    }

    fn read_done(&mut self, to: Incarnation, number: u64, asked: Timestamp, records: Vec<(Offset, Stored)>) {
        if self.processes.get(&to).is_none_or(|process| process.read_number != number) {
            return;
        }
        for (offset, stored) in records {
            let Some(process) = self.processes.get_mut(&to) else { return };
            if offset.0 < process.position {
                continue;
            }
            process.position = offset.0 + 1;
            let last = process.seqs.entry(stored.producer).or_default();
            if stored.seq <= *last {
                continue;
            }
            *last = stored.seq;
            let mut changes = Vec::new();
            process.fold.apply(offset, stored.producer, stored.record, &mut changes);
            for change in changes {
                self.ownership_event(to, OwnershipEvent::Change(change));
            }
        }
        self.resolve(to, asked);
        self.ownership_event(to, OwnershipEvent::CaughtUp { asked });
        self.schedule_in(READ_PERIOD, Happening::StartRead { host: to });
    }

    /// Decides about an append of unknown result by a read that was sent after it.
    fn resolve(&mut self, to: Incarnation, asked: Timestamp) {
        let Some(process) = self.processes.get_mut(&to) else { return };
        let Some(open) = &process.open else { return };
        if process.seqs.get(&to).is_some_and(|last| *last >= open.seq) {
            let (seq, offset) = (open.seq, Offset(process.position - 1));
            self.append_done(to, seq, offset);
        } else if open.unknown_since.is_some_and(|since| asked >= since) {
            self.send_append(to);
        }
    }

    /// Brings the last allowed times of all usages up to now.
    fn settle_usages(&mut self) {
        for (key, usage) in &mut self.usages {
            let Some(grant) = &usage.grant else { continue };
            let until = self.now.min(real(self.clocks[&key.0], grant.until));
            if until < usage.since {
                continue;
            }
            let halves = halves(grant.share);
            usage.last[halves] = usage.last[halves].max(Some(until));
        }
    }

    fn check_capacity(&mut self) -> Result<(), String> {
        if !std::mem::take(&mut self.granted) {
            return Ok(());
        }
        self.settle_usages();
        let (now, run_limit) = (self.now, micros(self.setup.run_limit));
        self.usages.retain(|_, usage| {
            usage.grant.is_some() || usage.last.iter().flatten().any(|last| now <= last + run_limit)
        });
        let mut sums: BTreeMap<&Subject, u32> = BTreeMap::new();
        let mut tasks: BTreeMap<&Subject, u32> = BTreeMap::new();
        for ((own, subject, _), usage) in &self.usages {
            let in_use =
                |halves: &usize| usage.last[*halves].is_some_and(|last| self.now <= last + run_limit);
            let used = [2, 1].into_iter().find(in_use).unwrap_or(0);
            *sums.entry(subject).or_default() += used as u32;
            let starts = |grant: &Grant| grant.tasks && self.now <= real(self.clocks[own], grant.until);
            *tasks.entry(subject).or_default() += u32::from(usage.grant.as_ref().is_some_and(starts));
        }
        let over =
            sums.iter().find(|(_, sum)| **sum > WHOLE).map(|(subject, _)| format!("{subject} over capacity"));
        let twice =
            tasks.iter().find(|(_, count)| **count > 1).map(|(subject, _)| format!("{subject} tasks twice"));
        match over.or(twice) {
            Some(fault) => Err(format!("{fault} at {}:\n{}", self.now, self.trace_end())),
            None => Ok(()),
        }
    }

    /// Last part of the trace.
    pub fn trace_end(&self) -> String {
        let skip = self.trace.len().saturating_sub(120);
        self.trace[skip..].join("\n")
    }

    /// Share that some host may use of each subject now, by host slot.
    pub fn shares(&self, subject: &Subject) -> Vec<(usize, Share, bool)> {
        let mut shares = Vec::new();
        for ((own, of, _), usage) in &self.usages {
            let Some(grant) = usage.grant.as_ref().filter(|_| of == subject) else { continue };
            let Some(process) = self.processes.get(own) else { continue };
            if process.local(self.now) <= grant.until {
                shares.push((process.slot, grant.share, grant.tasks));
            }
        }
        shares
    }

    pub fn subjects(&self) -> Vec<Subject> {
        self.subjects.iter().cloned().collect()
    }

    /// Host that owns a subject by the whole log.
    pub fn owner(&self, subject: &Subject) -> Option<usize> {
        let mut fold = CellFold::new();
        let mut seqs = BTreeMap::<Incarnation, u64>::new();
        let mut changes = Vec::new();
        for (offset, stored) in self.log.iter().enumerate() {
            let last = seqs.entry(stored.producer).or_default();
            if stored.seq > *last {
                *last = stored.seq;
                fold.apply(Offset(offset as u64), stored.producer, stored.record.clone(), &mut changes);
            }
        }
        let state = fold.subject(subject).filter(|state| !state.released)?;
        self.processes.get(&state.owner).map(|process| process.slot)
    }

    /// Number of claims in the log.
    pub fn claims(&self) -> usize {
        self.log.iter().filter(|stored| matches!(stored.record, CellRecord::Claim { .. })).count()
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
    u64::try_from(span.as_micros()).expect("short span")
}

fn real((offset, rate): (u64, u64), local: Timestamp) -> u64 {
    local.as_micros().saturating_sub(offset).saturating_mul(1000) / rate
}
