//! Several hosts, their platform, and message queues with a delay.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yuccahoist::dispatch::ForwardId;
use yuccahoist::duty::Duty;
use yuccahoist::event::{HostAction, HostEvent, JobCall, JobReply};
use yuccahoist::front::CallId;
use yuccahoist::host::{Host, HostOptions};
use yuccahoist::id::{Incarnation, Offset, RequestId, Sequence, WorkerId};
use yuccahoist::ownership::Member;
use yuccahoist::peer::{ANY_PEER, PeerMessage};
use yuccahoist::placement::WorkerCommand;
use yuccahoist::request::{Answer, Class, Outcome, Request};
use yuccahoist::stream::{StreamName, StreamSettings};
use yuccahoist::systems::{CallError, DispatchBounds, HostState};
use yuccahoist::unit::{Timestamp, WallTime};

use crate::cell::{RACKS, SLOTS, WORKERS, base, capacity, edit, name};
use crate::log::{Log, not_sent, unknown};
use crate::worker::{Run, Worker};

/// Time between ticks of the hosts.
pub const STEP: Duration = Duration::from_millis(10);
/// Time between polls of the host list.
const POLL: Duration = Duration::from_millis(500);
/// Wall-clock time at the origin of model time.
const EPOCH_MS: u64 = 1_790_000_000_000;

/// Host process, or the place of one.
#[derive(Debug)]
pub struct Node {
    pub host: Option<Host>,
    pub incarnation: Incarnation,
    pub paused: Option<Timestamp>,
    /// Whether a planned stop was asked for.
    pub stopping: Option<Timestamp>,
    pub stopped: Option<Timestamp>,
    pub cut_log: bool,
    pub cut_peers: bool,
    pub cut_to: BTreeSet<usize>,
    /// Time since which nothing disturbs the host and its way to the log.
    pub sound: Timestamp,
    /// Highest revision that any process of this host took calls under.
    pub revision: u64,
    /// Point at which the process ends.
    pub trap: Option<Trap>,
    inbox: Vec<Delivery>,
}

/// Point at which a process ends at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trap {
    /// Record is decided and not sent.
    BeforeAppend,
    /// Record was sent and its answer is not read.
    AfterAppend,
    /// Request passed the lease check and was not sent.
    BeforeDispatch,
    /// Request was sent and its answer is not read.
    AfterDispatch,
    /// Gang is reserved and not committed.
    BeforeCommit,
    /// First shard owner of a gang was told to start its tasks.
    AfterCommit,
    /// Request passed the lease check and was not sent; the process pauses for 4 s in place of its end.
    PauseAtDispatch,
}

/// Message or call on its way.
#[derive(Debug, Clone)]
enum Delivery {
    Event(Incarnation, Event),
    /// Write of a host, at which the time limit is checked.
    Write(Incarnation, Write),
    Append {
        node: usize,
        to: Incarnation,
        stream: StreamName,
        seq: Sequence,
        record: Bytes,
    },
    LateAppend {
        stream: StreamName,
        record: Bytes,
    },
    Read {
        node: usize,
        to: Incarnation,
        stream: StreamName,
        from: Offset,
        asked: Timestamp,
        until: Timestamp,
    },
    Request {
        to: Incarnation,
        forward: ForwardId,
        worker: WorkerId,
        request: Request,
        bounds: DispatchBounds,
        until: Timestamp,
    },
    RequestEnd {
        to: Incarnation,
        forward: ForwardId,
        worker: WorkerId,
        run: usize,
    },
    Command {
        to: Incarnation,
        worker: WorkerId,
        ticket: u64,
        command: WorkerCommand,
    },
    Peer {
        from: usize,
        sender: Incarnation,
        to: Incarnation,
        node: usize,
        message: PeerMessage,
    },
}

impl Trap {
    const fn matches(self, write: &Write) -> bool {
        use yuccahoist::job::{ShardRequest, ShardRequestBody};
        match self {
            Self::BeforeAppend | Self::AfterAppend => matches!(write, Write::Append(..)),
            Self::BeforeDispatch | Self::AfterDispatch | Self::PauseAtDispatch => {
                matches!(write, Write::Dispatch(..))
            }
            Self::BeforeCommit | Self::AfterCommit => matches!(
                write,
                Write::Peer(
                    _,
                    _,
                    PeerMessage::Shard(ShardRequest { body: ShardRequestBody::Commit { .. }, .. }),
                    _
                )
            ),
        }
    }
}

/// Event that a host will get.
#[derive(Debug, Clone)]
enum Event {
    Peer(Incarnation, PeerMessage),
    NotSent(Incarnation, PeerMessage),
    Lost(Incarnation),
    Read(StreamName, Timestamp, Result<yuccahoist::systems::ReadBatch, CallError>),
    Appended(StreamName, Sequence, Result<Offset, CallError>),
    Backend(ForwardId, Result<Answer, CallError>),
    Worker(WorkerId, u64, Result<yuccahoist::placement::Inventory, CallError>),
}

#[derive(Debug, Clone)]
enum Write {
    Dispatch(ForwardId, WorkerId, Request, DispatchBounds, Timestamp),
    Command(WorkerId, u64, WorkerCommand, Timestamp),
    Peer(Incarnation, SocketAddr, PeerMessage, Option<Timestamp>),
    Append(StreamName, Sequence, Bytes),
    Read(StreamName, Offset, Duration),
}

impl Event {
    fn into_host(self) -> HostEvent {
        match self {
            Self::Peer(from, message) => HostEvent::Peer { from, message },
            Self::NotSent(to, message) => HostEvent::PeerNotSent { to, message },
            Self::Lost(peer) => HostEvent::PeerLost { peer },
            Self::Read(stream, asked, result) => HostEvent::Read { stream, asked, result },
            Self::Appended(stream, seq, result) => HostEvent::Appended { stream, seq, result },
            Self::Backend(forward, result) => HostEvent::Backend { forward, result },
            Self::Worker(worker, ticket, result) => HostEvent::Worker { worker, ticket, result },
        }
    }
}

/// Call of a caller.
#[derive(Debug, Clone)]
pub struct Call {
    pub node: usize,
    pub incarnation: Incarnation,
    pub id: RequestId,
    pub body: Bytes,
    pub idempotent: bool,
    pub at: Timestamp,
    pub deadline: Timestamp,
    pub outcomes: Vec<(Timestamp, Outcome)>,
    /// Whether the host ended or paused while the call was open, so that its caller sees a broken connection or a
    /// late answer.
    pub excused: bool,
}

/// Published edit.
#[derive(Debug, Clone, Copy)]
pub struct Published {
    pub at: Timestamp,
    pub based_on: u64,
}

/// Disturbance of messages, thousandths.
#[derive(Debug, Clone, Copy, Default)]
pub struct Disturbance {
    pub late: u32,
    pub double: u32,
    /// Answers of backend servers and workers that are lost.
    pub lose: u32,
}

/// Hosts, platform and callers.
pub struct World {
    pub now: Timestamp,
    pub step: Duration,
    pub rng: ChaCha8Rng,
    pub nodes: Vec<Node>,
    pub log: Log,
    /// Time since which the log works.
    pub log_sound: Timestamp,
    pub workers: BTreeMap<WorkerId, Worker>,
    pub calls: Vec<Call>,
    pub jobs: BTreeMap<u64, Vec<(Timestamp, JobReply)>>,
    /// Jobs that were submitted.
    pub submitted: Vec<String>,
    pub published: Vec<Published>,
    pub disturbance: Disturbance,
    pub violations: Vec<String>,
    /// Calls a second.
    pub load: f64,
    /// Requests that run for long, thousandths.
    pub long: u32,
    /// Whether actions are dropped after their time limit, as the I/O tasks do.
    pub check_until: bool,
    /// Digest of each revision at any host.
    pub digests: BTreeMap<u64, u64>,
    settings: StreamSettings,
    queue: BTreeMap<(Timestamp, u64), Delivery>,
    sequence: u64,
    incarnations: u64,
    next_poll: Timestamp,
    next_check: Timestamp,
    operators: u64,
    job_calls: u64,
}

impl World {
    /// World with hosts that start now and a published configuration.
    pub fn new(seed: u64, hosts: usize) -> Self {
        Self::with(seed, hosts, None)
    }

    /// World whose log keeps records for a limited time.
    pub fn with(seed: u64, hosts: usize, retention: Option<Duration>) -> Self {
        let mut settings = StreamSettings::default();
        if let Some(retention) = retention {
            settings.retention = retention;
            settings.snapshot_delay = Duration::from_millis(500);
        }
        let now = Timestamp::from_millis(1_000);
        let mut world = Self {
            now,
            step: STEP,
            rng: ChaCha8Rng::seed_from_u64(seed),
            nodes: Vec::new(),
            log: Log { retention, ..Log::default() },
            log_sound: now,
            workers: BTreeMap::new(),
            calls: Vec::new(),
            jobs: BTreeMap::new(),
            submitted: Vec::new(),
            published: Vec::new(),
            disturbance: Disturbance::default(),
            violations: Vec::new(),
            load: 30.0,
            long: 50,
            check_until: true,
            digests: BTreeMap::new(),
            settings,
            queue: BTreeMap::new(),
            sequence: 0,
            incarnations: 100,
            next_poll: now,
            next_check: now,
            operators: 0,
            job_calls: 0,
        };
        for rack in 0..RACKS {
            for number in 1..=WORKERS {
                let worker = Worker::new(capacity(rack), SLOTS);
                world.workers.insert(name(&format!("rack-{rack}-{number}")), worker);
            }
        }
        world.publish(0, base(64));
        for _ in 0..hosts {
            world.add();
        }
        world
    }

    /// Adds a host; its index.
    pub fn add(&mut self) -> usize {
        self.nodes.push(Node {
            host: None,
            incarnation: ANY_PEER,
            paused: None,
            stopping: None,
            stopped: None,
            cut_log: false,
            cut_peers: false,
            cut_to: BTreeSet::new(),
            sound: self.now,
            revision: 0,
            trap: None,
            inbox: Vec::new(),
        });
        let index = self.nodes.len() - 1;
        self.start(index);
        index
    }

    /// Starts a new process of a host.
    pub fn start(&mut self, index: usize) {
        self.incarnations += 1;
        let incarnation = Incarnation(self.incarnations);
        let options = HostOptions {
            member: Member {
                host: name(&format!("host-{index}")),
                incarnation,
                address: address(index),
                zone: name(&format!("zone-{}", index % 2)),
                site: name("site-a"),
            },
            seeds: (0..=self.nodes.len()).map(address).collect(),
            streams: self.settings.clone(),
        };
        let node = &mut self.nodes[index];
        node.host = Some(Host::new(options));
        node.incarnation = incarnation;
        (node.paused, node.stopping, node.stopped, node.trap) = (None, None, None, None);
        node.inbox.clear();
        node.sound = self.now;
    }

    /// Ends a process at once.
    pub fn kill(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        if node.host.take().is_none() {
            return;
        }
        node.inbox.clear();
        let dead = node.incarnation;
        self.excuse(index);
        // Calls to the platform that have left the process may still take effect.
        let writes: Vec<_> = self
            .queue
            .iter()
            .filter(|(_, delivery)| matches!(delivery, Delivery::Write(from, _) if *from == dead))
            .map(|(key, _)| *key)
            .collect();
        for key in writes {
            self.queue.remove(&key);
        }
        for other in 0..self.nodes.len() {
            let to = self.nodes[other].incarnation;
            if other != index && self.nodes[other].host.is_some() {
                self.post(Duration::from_millis(100), Delivery::Event(to, Event::Lost(dead)));
            }
        }
    }

    /// Pauses a process for a time.
    pub fn pause(&mut self, index: usize, length: Duration) {
        self.excuse(index);
        self.nodes[index].paused = Some(self.now + length);
    }

    fn excuse(&mut self, index: usize) {
        let now = self.now;
        let open = |call: &&mut Call| call.node == index && call.outcomes.is_empty() && call.deadline >= now;
        for call in self.calls.iter_mut().filter(open) {
            call.excused = true;
        }
    }

    /// Asks for a planned stop.
    pub fn stop(&mut self, index: usize) {
        if self.nodes[index].stopping.is_none() && self.nodes[index].host.is_some() {
            self.nodes[index].stopping = Some(self.now);
            self.give(index, HostEvent::Stop);
        }
    }

    /// Whether a process runs and is not paused.
    pub fn runs(&self, index: usize) -> bool {
        self.nodes[index].host.is_some() && self.nodes[index].paused.is_none()
    }

    /// Publishes a base document.
    pub fn publish(&mut self, based_on: u64, content: serde_json::Value) {
        self.operators += 1;
        let record = edit(self.operators, based_on, content);
        self.log.push(self.now, StreamName::Config, record);
        self.published.push(Published { at: self.now, based_on });
    }

    /// Sends a job call; its number.
    pub fn job_call(&mut self, index: usize, body: JobCall) -> u64 {
        self.job_calls += 1;
        let call = self.job_calls;
        self.jobs.insert(call, Vec::new());
        self.give(index, HostEvent::JobCall { call: CallId((1 << 40) + call), body });
        call
    }

    pub fn wall(&self) -> WallTime {
        WallTime::from_millis(EPOCH_MS + self.now.as_micros() / 1_000)
    }

    /// Fresh request id.
    pub fn id(&mut self) -> RequestId {
        RequestId::from_parts(self.wall(), self.rng.random())
    }

    /// Sends a request; the index of the call.
    pub fn call(
        &mut self,
        index: usize,
        (id, idempotent): (RequestId, bool),
        class: Class,
        body: Bytes,
        span: Duration,
    ) -> usize {
        let deadline = self.now + span;
        let request = Request {
            id,
            service: name("drumline"),
            class,
            team: name(if self.rng.random() { "day-a" } else { "day-b" }),
            idempotent,
            deadline,
            body: body.clone(),
        };
        let incarnation = self.nodes[index].incarnation;
        let excused = !self.runs(index);
        let (at, outcomes) = (self.now, Vec::new());
        let call = Call { node: index, incarnation, id, body, idempotent, at, deadline, outcomes, excused };
        self.calls.push(call);
        let number = self.calls.len() - 1;
        let event = HostEvent::Call { call: CallId(number as u64), wall: self.wall(), request };
        if !excused {
            self.give(index, event);
        }
        number
    }

    /// Sends a random request to a random host; sometimes repeats an earlier one.
    fn random_call(&mut self) {
        let index = self.rng.random_range(0..self.nodes.len());
        if !self.runs(index) || self.nodes[index].stopping.is_some() {
            return;
        }
        let class = Class::ALL[self.rng.random_range(0..3)];
        let span = Duration::from_millis(self.rng.random_range(200..4_000));
        if self.rng.random_bool(0.1) && !self.calls.is_empty() {
            let first = self.calls.len().saturating_sub(40);
            let earlier = self.calls[self.rng.random_range(first..self.calls.len())].clone();
            self.call(index, (earlier.id, earlier.idempotent), class, earlier.body, span);
            return;
        }
        let id = self.id();
        let body = Bytes::from(format!("body of {id}"));
        let idempotent = self.rng.random_bool(0.5);
        self.call(index, (id, idempotent), class, body, span);
    }

    fn post(&mut self, delay: Duration, delivery: Delivery) {
        self.sequence += 1;
        self.queue.insert((self.now + delay, self.sequence), delivery);
    }

    fn chance(&mut self, part: u32) -> bool {
        part > 0 && self.rng.random_range(0..1_000) < part
    }

    fn transit(&mut self, longest: u64) -> Duration {
        let late = self.chance(self.disturbance.late);
        Duration::from_micros(self.rng.random_range(500..if late { longest * 1_000 } else { 3_000 }))
    }

    fn find(&self, incarnation: Incarnation) -> Option<usize> {
        self.nodes.iter().position(|node| node.incarnation == incarnation && node.host.is_some())
    }

    /// Gives an event to a host and takes its actions.
    pub fn give(&mut self, index: usize, event: HostEvent) {
        let now = self.now;
        let Some(host) = &mut self.nodes[index].host else { return };
        let mut out = Vec::new();
        host.handle(now, event, &mut self.rng, &mut out);
        for action in out {
            self.act(index, action);
        }
    }

    fn act(&mut self, index: usize, action: HostAction) {
        let own = self.nodes[index].incarnation;
        let write = match action {
            HostAction::Respond { call, outcome, .. } => {
                let number = usize::try_from(call.0).expect("small");
                if self.calls[number].incarnation != own {
                    self.violations.push(format!("I3: call {number} was answered by another process"));
                }
                self.calls[number].outcomes.push((self.now, outcome));
                return;
            }
            HostAction::JobReply { call, reply } => {
                let replies = self.jobs.get_mut(&(call.0 - (1 << 40))).expect("known job call");
                replies.push((self.now, reply));
                return;
            }
            HostAction::Dispatch { forward, worker, request, bounds, until } => {
                Write::Dispatch(forward, worker, request, bounds, until)
            }
            HostAction::Command { worker, ticket, command, until } => {
                Write::Command(worker, ticket, command, until)
            }
            HostAction::Send { to, address, message, until } => Write::Peer(to, address, message, until),
            HostAction::Append { stream, seq, record } => Write::Append(stream, seq, record),
            HostAction::Read { stream, from, wait } => Write::Read(stream, from, wait),
            HostAction::Stopped => return self.stopped(index),
            HostAction::StatusReply { .. } | HostAction::Workers(_) | HostAction::Decision(_) => return,
        };
        let delay = Duration::from_micros(self.rng.random_range(0..500));
        self.post(delay, Delivery::Write(own, write));
    }

    /// I7: nothing is open and nothing is owned.
    fn stopped(&mut self, index: usize) {
        let (now, own) = (self.now, self.nodes[index].incarnation);
        self.nodes[index].stopped = Some(now);
        let open = |call: &&Call| call.incarnation == own && call.outcomes.is_empty() && !call.excused;
        let open = self.calls.iter().filter(open).count();
        let owned = self.nodes[index].host.as_ref().map_or(0, |host| host.status().owned.len());
        if open > 0 || (owned > 0 && self.log_sound < now) {
            let text = format!("I7: host {index} stopped at {now} with {open} open calls and {owned} leases");
            self.violations.push(text);
        }
    }

    fn deliver(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Event(to, event) => {
                let Some(index) = self.find(to) else { return };
                if self.nodes[index].paused.is_some() {
                    self.nodes[index].inbox.push(Delivery::Event(to, event));
                } else {
                    self.give(index, event.into_host());
                }
            }
            Delivery::Write(from, write) => {
                let Some(index) = self.find(from) else { return };
                if self.nodes[index].paused.is_some() {
                    self.nodes[index].inbox.push(Delivery::Write(from, write));
                } else {
                    self.write(index, write);
                }
            }
            Delivery::Append { node, to, stream, seq, record } => {
                self.append(node, to, stream, (seq, record));
            }
            Delivery::LateAppend { stream, record } if self.log.down => {
                self.post(Duration::from_secs(1), Delivery::LateAppend { stream, record });
            }
            Delivery::LateAppend { stream, record } => {
                self.log.push(self.now, stream, record);
            }
            Delivery::Read { .. } => self.read(delivery),
            Delivery::Request { .. } => self.request(delivery),
            Delivery::RequestEnd { to, forward, worker, run } => {
                let place = &self.workers[&worker];
                let (body, whole) = (place.runs[run].body.clone(), place.runs[run].end <= self.now);
                let broken = place.dead || self.chance(self.disturbance.lose);
                let result = if broken || !whole {
                    Err(unknown("backend server"))
                } else {
                    Ok(Answer { status: 200, body: answer(&body) })
                };
                let transit = self.transit(100);
                self.post(transit, Delivery::Event(to, Event::Backend(forward, result)));
            }
            Delivery::Command { to, worker, ticket, command } => self.command(to, worker, ticket, command),
            Delivery::Peer { from, sender, to, node, message } => {
                let reached = self.nodes[node].host.is_some()
                    && !self.is_cut(from, node)
                    && (to == ANY_PEER || self.nodes[node].incarnation == to);
                let receiver = self.nodes[node].incarnation;
                if reached {
                    self.deliver(Delivery::Event(receiver, Event::Peer(sender, message)));
                } else if to != ANY_PEER {
                    let delay = Duration::from_millis(self.rng.random_range(1..500));
                    self.post(delay, Delivery::Event(sender, Event::Lost(to)));
                }
            }
        }
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        let cut = |node: &Node| node.cut_peers;
        cut(&self.nodes[from]) || cut(&self.nodes[to]) || self.nodes[from].cut_to.contains(&to)
    }

    fn write(&mut self, index: usize, write: Write) {
        let trap = self.nodes[index].trap;
        if trap.is_none_or(|trap| !trap.matches(&write)) {
            return self.carry_out(index, write);
        }
        self.nodes[index].trap = None;
        if trap == Some(Trap::PauseAtDispatch) {
            self.pause(index, Duration::from_secs(4));
            let own = self.nodes[index].incarnation;
            return self.nodes[index].inbox.push(Delivery::Write(own, write));
        }
        if matches!(trap, Some(Trap::AfterAppend | Trap::AfterDispatch | Trap::AfterCommit)) {
            self.carry_out(index, write);
        }
        self.kill(index);
    }

    fn carry_out(&mut self, index: usize, write: Write) {
        let own = self.nodes[index].incarnation;
        let now = self.now;
        let late = |until: Timestamp| self.check_until && now > until;
        match write {
            Write::Dispatch(forward, _, _, _, until) if late(until) => {
                self.deliver(Delivery::Event(own, Event::Backend(forward, Err(not_sent("backend server")))));
            }
            Write::Dispatch(forward, worker, request, bounds, until) => {
                let transit = self.transit(100);
                self.post(transit, Delivery::Request { to: own, forward, worker, request, bounds, until });
            }
            Write::Command(worker, ticket, _, until) if late(until) => {
                self.deliver(Delivery::Event(own, Event::Worker(worker, ticket, Err(not_sent("worker")))));
            }
            Write::Command(worker, ticket, command, _) => {
                let transit = self.transit(700);
                self.post(transit, Delivery::Command { to: own, worker, ticket, command });
            }
            Write::Peer(to, _, message, Some(until)) if late(until) => {
                self.deliver(Delivery::Event(own, Event::NotSent(to, message)));
            }
            Write::Peer(to, address, message, _) => self.send(index, to, address, message),
            Write::Append(stream, seq, record) => {
                let delay = Duration::from_millis(self.rng.random_range(1..8)) + self.log.slow;
                self.post(delay, Delivery::Append { node: index, to: own, stream, seq, record });
            }
            Write::Read(stream, from, wait) => {
                let delay = Duration::from_millis(self.rng.random_range(1..4)) + self.log.slow;
                let (asked, until) = (now, now + wait);
                self.post(delay, Delivery::Read { node: index, to: own, stream, from, asked, until });
            }
        }
    }

    fn send(&mut self, index: usize, to: Incarnation, address: SocketAddr, message: PeerMessage) {
        let own = self.nodes[index].incarnation;
        let node = usize::from(address.port() - 7_000);
        let absent = self.nodes.get(node).is_none_or(|node| node.host.is_none());
        if absent || (self.is_cut(index, node) && self.rng.random()) {
            return self.deliver(Delivery::Event(own, Event::NotSent(to, message)));
        }
        let copies = if self.chance(self.disturbance.double) { 2 } else { 1 };
        for _ in 0..copies {
            let transit = self.transit(400);
            let message = message.clone();
            self.post(transit, Delivery::Peer { from: index, sender: own, to, node, message });
        }
    }

    fn append(&mut self, node: usize, to: Incarnation, stream: StreamName, (seq, record): (Sequence, Bytes)) {
        let cut = self.log.down || self.nodes[node].cut_log;
        let lost = self.chance(self.log.lost);
        let result = if cut || self.chance(self.log.late) {
            match self.rng.random_range(0..3) {
                0 if cut => Err(not_sent("log")),
                1 => {
                    let delay = Duration::from_millis(self.rng.random_range(0..4_000));
                    self.post(delay, Delivery::LateAppend { stream, record });
                    Err(unknown("log"))
                }
                _ => Err(unknown("log")),
            }
        } else {
            let offset = self.log.push(self.now, stream, record);
            if lost { Err(unknown("log")) } else { Ok(offset) }
        };
        let delay = Duration::from_millis(if result.is_err() { 100 } else { 2 });
        self.post(delay, Delivery::Event(to, Event::Appended(stream, seq, result)));
    }

    fn read(&mut self, delivery: Delivery) {
        let Delivery::Read { node, to, stream, from, asked, until } = delivery.clone() else { return };
        if self.find(to).is_none() {
            return;
        }
        let result = if self.log.down || self.nodes[node].cut_log {
            Err(unknown("log"))
        } else {
            match self.log.read(stream, from, self.now < until) {
                Some(batch) => Ok(batch),
                None => return self.post(STEP, delivery),
            }
        };
        let delay = Duration::from_millis(if result.is_err() { 100 } else { 2 });
        self.post(delay, Delivery::Event(to, Event::Read(stream, asked, result)));
    }

    fn request(&mut self, delivery: Delivery) {
        let Delivery::Request { to, forward, worker, request, bounds, until } = delivery else { return };
        let now = self.now;
        let long = self.chance(self.long);
        let length = Duration::from_millis(self.rng.random_range(if long { 300..900 } else { 2..60 }));
        let place = self.workers.get_mut(&worker).expect("known worker");
        if place.dead {
            let event = Event::Backend(forward, Err(not_sent("backend server")));
            return self.post(Duration::from_millis(1), Delivery::Event(to, event));
        }
        // The way to the backend server takes up to 100 ms.
        if now.since(until) > Duration::from_millis(100) {
            self.violations
                .push(format!("I1: {worker} got {} at {now}, after its limit {until}", request.id));
        }
        // A request may be under way when the list shows the worker as leaving.
        if place.leaving.is_some_and(|at| now.since(at) > POLL + Duration::from_millis(200)) {
            self.violations.push(format!("I6: {worker} got {} at {now} while leaving", request.id));
        }
        let run = Run {
            id: request.id,
            body: request.body,
            idempotent: request.idempotent,
            start: now,
            end: now + length,
            epoch: bounds.epoch,
        };
        let number = place.begin(run);
        if place.busy(now) > place.slots {
            let busy = place.busy(now);
            self.violations.push(format!("I1: {worker} has {busy} requests at {now}"));
        }
        self.post(length, Delivery::RequestEnd { to, forward, worker, run: number });
    }

    fn command(&mut self, to: Incarnation, worker: WorkerId, ticket: u64, command: WorkerCommand) {
        let now = self.now;
        let place = self.workers.get_mut(&worker).expect("known worker");
        if place.dead {
            let event = Event::Worker(worker, ticket, Err(unknown("worker")));
            return self.post(Duration::from_millis(300), Delivery::Event(to, event));
        }
        let (inventory, started) = place.execute(now, command, &mut self.rng);
        if let Some(start) = started {
            let (given, capacity) = (place.given(), place.capacity);
            if !given.fits(capacity) {
                self.violations.push(format!("I1: {worker} is given {given} of {capacity} at {now}"));
            }
            if place.leaving.is_some_and(|at| now.since(at) > POLL + Duration::from_millis(1_200)) {
                self.violations.push(format!("I6: {worker} got task {} at {now} while leaving", start.task));
            }
            for (other, place) in self.workers.iter_mut().filter(|(other, _)| **other != worker) {
                place.advance(now);
                if place.running().any(|running| running.task == start.task) {
                    self.violations.push(format!("I2: {} runs on {other} and {worker} at {now}", start.task));
                }
            }
        }
        let lost = self.chance(self.disturbance.lose);
        let result = if lost { Err(unknown("worker")) } else { Ok(inventory) };
        let transit = self.transit(700);
        self.post(transit, Delivery::Event(to, Event::Worker(worker, ticket, result)));
    }

    /// Advances time by one step.
    pub fn advance(&mut self) {
        let end = self.now + self.step;
        while let Some(entry) = self.queue.first_entry() {
            let at = entry.key().0;
            if at > end {
                break;
            }
            let delivery = entry.remove();
            self.now = self.now.max(at);
            self.deliver(delivery);
        }
        self.now = end;
        self.log.expire(end);
        for index in 0..self.nodes.len() {
            self.resume(index);
        }
        if self.rng.random_bool((self.load * self.step.as_secs_f64()).min(1.0)) {
            self.random_call();
        }
        let wall = self.wall();
        for index in 0..self.nodes.len() {
            if self.runs(index) {
                self.give(index, HostEvent::Tick { wall });
            }
        }
        if end >= self.next_poll {
            self.next_poll = end + POLL;
            self.poll();
        }
        if end >= self.next_check {
            self.next_check = end + Duration::from_millis(50);
            self.check_revisions();
        }
    }

    fn resume(&mut self, index: usize) {
        // What was queued for peers is still sent after the stop.
        if self.nodes[index].stopped.is_some_and(|at| self.now.since(at) >= Duration::from_millis(50)) {
            self.kill(index);
        }
        if self.nodes[index].paused.is_none_or(|until| until > self.now) {
            return;
        }
        self.nodes[index].paused = None;
        self.nodes[index].sound = self.now;
        // Writes that were decided before the pause leave first.
        let (writes, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.nodes[index].inbox)
            .into_iter()
            .partition(|delivery| matches!(delivery, Delivery::Write(..)));
        for delivery in writes.into_iter().chain(rest) {
            self.deliver(delivery);
        }
    }

    fn poll(&mut self) {
        let leaving = |worker: &Worker| match worker.leaving {
            Some(_) => HostState::Leaving,
            None => HostState::Live,
        };
        let hosts: BTreeMap<String, HostState> =
            self.workers.iter().map(|(id, worker)| (id.to_string(), leaving(worker))).collect();
        for index in 0..self.nodes.len() {
            if self.runs(index) {
                self.give(index, HostEvent::Hosts(hosts.clone()));
            }
        }
    }

    /// Runs for a time.
    pub fn run(&mut self, length: Duration) {
        let end = self.now + length;
        while self.now < end {
            self.advance();
        }
    }
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + u16::try_from(index).expect("few hosts")))
}

/// Answer of a backend server to a body.
pub fn answer(body: &Bytes) -> Bytes {
    [b"answer to ", body.as_ref()].concat().into()
}
