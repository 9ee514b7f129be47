//! Deterministic simulation of a cell: hosts, platform, callers and the delayed deliveries between them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yuccahoist::dispatch::ForwardId;
use yuccahoist::event::{HostAction, HostEvent, JobCall, JobReply};
use yuccahoist::front::CallId;
use yuccahoist::host::{Host, HostOptions};
use yuccahoist::id::{Incarnation, Offset, RequestId, Sequence, WorkerId};
use yuccahoist::ownership::Member;
use yuccahoist::peer::{ANY_PEER, PeerMessage};
use yuccahoist::placement::WorkerCommand;
use yuccahoist::request::{Answer, Class, Outcome, Request};
use yuccahoist::state_machine::StateMachine;
use yuccahoist::stream::{StreamName, StreamSettings};
use yuccahoist::systems::{CallError, DispatchBounds, HostState};
use yuccahoist::unit::{Timestamp, WallTime};

use crate::cell::{
    RACK_COUNT, SLOTS_PER_WORKER, WORKERS_PER_RACK, base_document, capacity, edit_record, name,
};
use crate::log::{Log, not_sent, unknown};
use crate::worker::{RequestRun, Worker};

/// Default time between ticks of the hosts.
pub const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Time between deliveries of the platform's host list.
const HOST_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Wall-clock time at the start of the simulated monotonic clock, milliseconds since the Unix epoch.
const WALL_CLOCK_ORIGIN_MS: u64 = 1_790_000_000_000;

/// Host and the faults injected into it. Its index stays the same across restarts; `host` is `None` while no process
/// runs.
#[derive(Debug)]
pub struct Node {
    pub host: Option<Host>,
    pub incarnation: Incarnation,
    pub paused_until: Option<Timestamp>,
    /// Time at which a planned stop was requested.
    pub stop_requested: Option<Timestamp>,
    pub stopped_at: Option<Timestamp>,
    /// Whether the host cannot reach the log.
    pub log_blocked: bool,
    /// Whether the host cannot reach any peer, nor any peer the host.
    pub peers_blocked: bool,
    /// Indexes of hosts that messages of this host do not reach.
    pub blocked_links: BTreeSet<usize>,
    /// Time of the last start, resume or regained access to the log.
    pub healthy_since: Timestamp,
    /// Highest revision under which any incarnation of this host took calls.
    pub highest_revision: u64,
    /// Set until the process reaches it.
    pub failpoint: Option<Failpoint>,
    /// Deliveries held back while the process is paused.
    inbox: Vec<Delivery>,
}

/// Point at which a process crashes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failpoint {
    /// A record was created and not sent.
    BeforeAppend,
    /// A record was sent and its answer was not read.
    AfterAppend,
    /// A request passed the lease check and was not sent.
    BeforeDispatch,
    /// A request was sent and its answer was not read.
    AfterDispatch,
    /// A gang was reserved and not committed.
    BeforeCommit,
    /// The first shard owner of a gang was told to start its tasks.
    AfterCommit,
    /// As `BeforeDispatch`, but the process pauses for 4 s instead of crashing.
    PauseAtDispatch,
}

/// Message or call in transit.
#[derive(Debug, Clone)]
enum Delivery {
    Event(Incarnation, Event),
    /// Write of a host; its time limit is checked on delivery.
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
        sent_at: Timestamp,
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

impl Failpoint {
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

/// Event for a host; `HostEvent` itself cannot be cloned.
#[derive(Debug, Clone)]
enum Event {
    Peer(Incarnation, PeerMessage),
    PeerNotSent(Incarnation, PeerMessage),
    PeerLost(Incarnation),
    Read(StreamName, Timestamp, Result<yuccahoist::systems::ReadBatch, CallError>),
    Appended(StreamName, Sequence, Result<Offset, CallError>),
    BackendResult(ForwardId, Result<Answer, CallError>),
    CommandResult(WorkerId, u64, Result<yuccahoist::placement::Inventory, CallError>),
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
    fn into_host_event(self) -> HostEvent {
        match self {
            Self::Peer(from, message) => HostEvent::Peer { from, message },
            Self::PeerNotSent(to, message) => HostEvent::PeerNotSent { to, message },
            Self::PeerLost(peer) => HostEvent::PeerLost { peer },
            Self::Read(stream, sent_at, result) => HostEvent::Read { stream, sent_at, result },
            Self::Appended(stream, seq, result) => HostEvent::Appended { stream, seq, result },
            Self::BackendResult(forward, result) => HostEvent::BackendResult { forward, result },
            Self::CommandResult(worker, ticket, result) => {
                HostEvent::CommandResult { worker, ticket, result }
            }
        }
    }
}

/// Request call and all its outcomes.
#[derive(Debug, Clone)]
pub struct Call {
    pub node: usize,
    pub incarnation: Incarnation,
    pub id: RequestId,
    pub body: Bytes,
    pub idempotent: bool,
    pub sent_at: Timestamp,
    pub deadline: Timestamp,
    pub outcomes: Vec<(Timestamp, Outcome)>,
    /// Whether the host was not running when the call was sent, or crashed or paused while it was open, so that the
    /// caller sees a broken connection or a late answer.
    pub interrupted: bool,
}

/// Edit that was appended to the log; it may have been rejected since.
#[derive(Debug, Clone, Copy)]
pub struct PublishedEdit {
    pub published_at: Timestamp,
    pub based_on: u64,
}

/// Rates of faults in message delivery, per mille.
#[derive(Debug, Clone, Copy, Default)]
pub struct MessageFaults {
    /// Messages and answers that take up to 100, 400 or 700 ms, by kind, instead of at most 3 ms.
    pub late: u32,
    /// Messages between hosts that arrive twice.
    pub duplicated: u32,
    /// Lost answers of backend servers and workers.
    pub lost_replies: u32,
}

/// Simulated cell: hosts, platform and callers. All randomness comes from one seed.
pub struct World {
    pub now: Timestamp,
    pub tick_interval: Duration,
    pub rng: ChaCha8Rng,
    pub nodes: Vec<Node>,
    pub log: Log,
    /// Time of the last recovery of the log from a fault.
    pub log_recovered: Timestamp,
    pub workers: BTreeMap<WorkerId, Worker>,
    pub calls: Vec<Call>,
    pub jobs: BTreeMap<u64, Vec<(Timestamp, JobReply)>>,
    /// Ids of submitted jobs.
    pub submitted: Vec<String>,
    pub published: Vec<PublishedEdit>,
    pub message_faults: MessageFaults,
    pub violations: Vec<String>,
    /// Random calls per second.
    pub call_rate: f64,
    /// Rate of requests that run for 300 to 900 ms, per mille; the others take at most 60 ms.
    pub long_requests: u32,
    /// Whether actions past their time limit are dropped, as the I/O tasks do.
    pub drops_expired: bool,
    /// Digest of each revision, from the first host that had it in force.
    pub digests: BTreeMap<u64, u64>,
    settings: StreamSettings,
    queue: BTreeMap<(Timestamp, u64), Delivery>,
    /// Orders deliveries that are due at the same time.
    delivery_count: u64,
    last_incarnation: u64,
    next_poll: Timestamp,
    next_check: Timestamp,
    edit_count: u64,
    job_calls: u64,
}

impl World {
    /// Creates a cell with running hosts and a published configuration.
    pub fn new(seed: u64, hosts: usize) -> Self {
        Self::with_retention(seed, hosts, None)
    }

    /// Creates a cell whose log keeps records for a limited time.
    pub fn with_retention(seed: u64, hosts: usize, retention: Option<Duration>) -> Self {
        let mut settings = StreamSettings::default();
        if let Some(retention) = retention {
            settings.retention = retention;
            settings.snapshot_delay = Duration::from_millis(500);
        }
        let now = Timestamp::from_millis(1_000);
        let mut world = Self {
            now,
            tick_interval: TICK_INTERVAL,
            rng: ChaCha8Rng::seed_from_u64(seed),
            nodes: Vec::new(),
            log: Log { retention, ..Log::default() },
            log_recovered: now,
            workers: BTreeMap::new(),
            calls: Vec::new(),
            jobs: BTreeMap::new(),
            submitted: Vec::new(),
            published: Vec::new(),
            message_faults: MessageFaults::default(),
            violations: Vec::new(),
            call_rate: 30.0,
            long_requests: 50,
            drops_expired: true,
            digests: BTreeMap::new(),
            settings,
            queue: BTreeMap::new(),
            delivery_count: 0,
            last_incarnation: 100,
            next_poll: now,
            next_check: now,
            edit_count: 0,
            job_calls: 0,
        };
        for rack in 0..RACK_COUNT {
            for number in 1..=WORKERS_PER_RACK {
                let worker = Worker::new(capacity(rack), SLOTS_PER_WORKER);
                world.workers.insert(name(&format!("rack-{rack}-{number}")), worker);
            }
        }
        world.publish(0, base_document(64));
        for _ in 0..hosts {
            world.add_host();
        }
        world
    }

    /// Adds a host, starts it and returns its index.
    pub fn add_host(&mut self) -> usize {
        self.nodes.push(Node {
            host: None,
            incarnation: ANY_PEER,
            paused_until: None,
            stop_requested: None,
            stopped_at: None,
            log_blocked: false,
            peers_blocked: false,
            blocked_links: BTreeSet::new(),
            healthy_since: self.now,
            highest_revision: 0,
            failpoint: None,
            inbox: Vec::new(),
        });
        let index = self.nodes.len() - 1;
        self.start_host(index);
        index
    }

    /// Starts a new incarnation of a host and clears its pause, stop and failpoint; blocked links stay.
    pub fn start_host(&mut self, index: usize) {
        self.last_incarnation += 1;
        let incarnation = Incarnation(self.last_incarnation);
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
        (node.paused_until, node.stop_requested, node.stopped_at, node.failpoint) = (None, None, None, None);
        node.inbox.clear();
        node.healthy_since = self.now;
    }

    /// Crashes a host. Its peers notice the broken connection after 100 ms.
    pub fn kill_host(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        if node.host.take().is_none() {
            return;
        }
        node.inbox.clear();
        let killed = node.incarnation;
        self.mark_interrupted(index);
        // Only writes that have not left the process are dropped; calls already sent may still take effect.
        let writes: Vec<_> = self
            .queue
            .iter()
            .filter(|(_, delivery)| matches!(delivery, Delivery::Write(from, _) if *from == killed))
            .map(|(key, _)| *key)
            .collect();
        for key in writes {
            self.queue.remove(&key);
        }
        for other in 0..self.nodes.len() {
            let to = self.nodes[other].incarnation;
            if other != index && self.nodes[other].host.is_some() {
                self.schedule(Duration::from_millis(100), Delivery::Event(to, Event::PeerLost(killed)));
            }
        }
    }

    /// Pauses a host; its events and writes are held back until it resumes.
    pub fn pause(&mut self, index: usize, length: Duration) {
        self.mark_interrupted(index);
        self.nodes[index].paused_until = Some(self.now + length);
    }

    fn mark_interrupted(&mut self, index: usize) {
        let now = self.now;
        let open = |call: &&mut Call| call.node == index && call.outcomes.is_empty() && call.deadline >= now;
        for call in self.calls.iter_mut().filter(open) {
            call.interrupted = true;
        }
    }

    /// Requests a planned stop, once per incarnation.
    pub fn request_stop(&mut self, index: usize) {
        if self.nodes[index].stop_requested.is_none() && self.nodes[index].host.is_some() {
            self.nodes[index].stop_requested = Some(self.now);
            self.handle_event(index, HostEvent::Stop);
        }
    }

    /// Whether a host has a process that is not paused.
    pub fn is_running(&self, index: usize) -> bool {
        self.nodes[index].host.is_some() && self.nodes[index].paused_until.is_none()
    }

    /// Appends an edit of the base document to the log, as an operator's tool does.
    pub fn publish(&mut self, based_on: u64, content: serde_json::Value) {
        self.edit_count += 1;
        let record = edit_record(self.edit_count, based_on, content);
        self.log.append(self.now, StreamName::Config, record);
        self.published.push(PublishedEdit { published_at: self.now, based_on });
    }

    /// Sends a job call and returns its key in `jobs`. The host sees ids from 2^40, apart from those of request calls.
    pub fn send_job_call(&mut self, index: usize, body: JobCall) -> u64 {
        self.job_calls += 1;
        let call = self.job_calls;
        self.jobs.insert(call, Vec::new());
        self.handle_event(index, HostEvent::JobCall { call: CallId((1 << 40) + call), body });
        call
    }

    pub fn wall_time(&self) -> WallTime {
        WallTime::from_millis(WALL_CLOCK_ORIGIN_MS + self.now.as_micros() / 1_000)
    }

    /// Returns a new request id.
    pub fn new_request_id(&mut self) -> RequestId {
        RequestId::from_parts(self.wall_time(), self.rng.random())
    }

    /// Sends a request with a deadline after `span` and returns the index of the call.
    pub fn send_call(
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
        let interrupted = !self.is_running(index);
        let (sent_at, outcomes) = (self.now, Vec::new());
        let call =
            Call { node: index, incarnation, id, body, idempotent, sent_at, deadline, outcomes, interrupted };
        self.calls.push(call);
        let number = self.calls.len() - 1;
        let event = HostEvent::Call { call: CallId(number as u64), wall: self.wall_time(), request };
        if !interrupted {
            self.handle_event(index, event);
        }
        number
    }

    /// Sends a random request to a random host; one in ten repeats one of the last 40 calls.
    fn send_random_call(&mut self) {
        let index = self.rng.random_range(0..self.nodes.len());
        if !self.is_running(index) || self.nodes[index].stop_requested.is_some() {
            return;
        }
        let class = Class::ALL[self.rng.random_range(0..3)];
        let span = Duration::from_millis(self.rng.random_range(200..4_000));
        if self.rng.random_bool(0.1) && !self.calls.is_empty() {
            let first = self.calls.len().saturating_sub(40);
            let earlier = self.calls[self.rng.random_range(first..self.calls.len())].clone();
            self.send_call(index, (earlier.id, earlier.idempotent), class, earlier.body, span);
            return;
        }
        let id = self.new_request_id();
        let body = Bytes::from(format!("body of {id}"));
        let idempotent = self.rng.random_bool(0.5);
        self.send_call(index, (id, idempotent), class, body, span);
    }

    fn schedule(&mut self, delay: Duration, delivery: Delivery) {
        self.delivery_count += 1;
        self.queue.insert((self.now + delay, self.delivery_count), delivery);
    }

    /// Returns true with a probability in per mille.
    fn chance(&mut self, per_mille: u32) -> bool {
        per_mille > 0 && self.rng.random_range(0..1_000) < per_mille
    }

    /// Returns a random transit time; `max_ms` limits late deliveries, others take less than 3 ms.
    fn transit_delay(&mut self, max_ms: u64) -> Duration {
        let is_late = self.chance(self.message_faults.late);
        Duration::from_micros(self.rng.random_range(500..if is_late { max_ms * 1_000 } else { 3_000 }))
    }

    /// Returns the index of the host that runs as an incarnation.
    fn index_of(&self, incarnation: Incarnation) -> Option<usize> {
        self.nodes.iter().position(|node| node.incarnation == incarnation && node.host.is_some())
    }

    /// Lets a host handle an event and applies the resulting actions.
    pub fn handle_event(&mut self, index: usize, event: HostEvent) {
        let now = self.now;
        let Some(host) = &mut self.nodes[index].host else { return };
        let mut out = Vec::new();
        host.handle(now, event, &mut self.rng, &mut out);
        for action in out {
            self.apply_action(index, action);
        }
    }

    fn apply_action(&mut self, index: usize, action: HostAction) {
        let incarnation = self.nodes[index].incarnation;
        let write = match action {
            HostAction::Respond { call, outcome, .. } => {
                let number = usize::try_from(call.0).expect("call number fits usize");
                if self.calls[number].incarnation != incarnation {
                    self.violations.push(format!("I3: call {number} was answered by another incarnation"));
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
            HostAction::Stopped => return self.check_stopped(index),
            HostAction::StatusReply { .. }
            | HostAction::ReplaceWorkerAddresses(_)
            | HostAction::Decision(_) => return,
        };
        let delay = Duration::from_micros(self.rng.random_range(0..500));
        self.schedule(delay, Delivery::Write(incarnation, write));
    }

    /// Records the end of a planned stop and checks I7: no open call and no lease remains.
    fn check_stopped(&mut self, index: usize) {
        let (now, incarnation) = (self.now, self.nodes[index].incarnation);
        self.nodes[index].stopped_at = Some(now);
        let is_open =
            |call: &&Call| call.incarnation == incarnation && call.outcomes.is_empty() && !call.interrupted;
        let open = self.calls.iter().filter(is_open).count();
        let owned = self.nodes[index].host.as_ref().map_or(0, |host| host.status().owned.len());
        if open > 0 || (owned > 0 && self.log_recovered < now) {
            let text = format!(
                "I7: host {index} finished its planned stop at {now} with {open} open calls and {owned} leases"
            );
            self.violations.push(text);
        }
    }

    fn deliver(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Event(to, event) => {
                let Some(index) = self.index_of(to) else { return };
                if self.nodes[index].paused_until.is_some() {
                    self.nodes[index].inbox.push(Delivery::Event(to, event));
                } else {
                    self.handle_event(index, event.into_host_event());
                }
            }
            Delivery::Write(from, write) => {
                let Some(index) = self.index_of(from) else { return };
                if self.nodes[index].paused_until.is_some() {
                    self.nodes[index].inbox.push(Delivery::Write(from, write));
                } else {
                    self.write(index, write);
                }
            }
            Delivery::Append { node, to, stream, seq, record } => {
                self.append(node, to, stream, (seq, record));
            }
            Delivery::LateAppend { stream, record } if self.log.down => {
                self.schedule(Duration::from_secs(1), Delivery::LateAppend { stream, record });
            }
            Delivery::LateAppend { stream, record } => {
                self.log.append(self.now, stream, record);
            }
            Delivery::Read { .. } => self.read(delivery),
            Delivery::Request { .. } => self.receive_request(delivery),
            Delivery::RequestEnd { to, forward, worker, run } => {
                let target = &self.workers[&worker];
                let (body, completed) =
                    (target.request_runs[run].body.clone(), target.request_runs[run].end <= self.now);
                let lost = target.crashed || self.chance(self.message_faults.lost_replies);
                let result = if lost || !completed {
                    Err(unknown("backend server"))
                } else {
                    Ok(Answer { status: 200, body: answer(&body) })
                };
                let transit = self.transit_delay(100);
                self.schedule(transit, Delivery::Event(to, Event::BackendResult(forward, result)));
            }
            Delivery::Command { to, worker, ticket, command } => self.execute(to, worker, ticket, command),
            Delivery::Peer { from, sender, to, node, message } => {
                let delivered = self.nodes[node].host.is_some()
                    && !self.is_blocked(from, node)
                    && (to == ANY_PEER || self.nodes[node].incarnation == to);
                let receiver = self.nodes[node].incarnation;
                if delivered {
                    self.deliver(Delivery::Event(receiver, Event::Peer(sender, message)));
                } else if to != ANY_PEER {
                    let delay = Duration::from_millis(self.rng.random_range(1..500));
                    self.schedule(delay, Delivery::Event(sender, Event::PeerLost(to)));
                }
            }
        }
    }

    /// Whether messages from one host to another are blocked.
    fn is_blocked(&self, from: usize, to: usize) -> bool {
        let is_isolated = |node: &Node| node.peers_blocked;
        is_isolated(&self.nodes[from])
            || is_isolated(&self.nodes[to])
            || self.nodes[from].blocked_links.contains(&to)
    }

    /// Performs a write, or triggers the failpoint that it matches.
    fn write(&mut self, index: usize, write: Write) {
        let failpoint = self.nodes[index].failpoint;
        if failpoint.is_none_or(|failpoint| !failpoint.matches(&write)) {
            return self.perform_write(index, write);
        }
        self.nodes[index].failpoint = None;
        if failpoint == Some(Failpoint::PauseAtDispatch) {
            self.pause(index, Duration::from_secs(4));
            let incarnation = self.nodes[index].incarnation;
            return self.nodes[index].inbox.push(Delivery::Write(incarnation, write));
        }
        if matches!(
            failpoint,
            Some(Failpoint::AfterAppend | Failpoint::AfterDispatch | Failpoint::AfterCommit)
        ) {
            self.perform_write(index, write);
        }
        self.kill_host(index);
    }

    fn perform_write(&mut self, index: usize, write: Write) {
        let incarnation = self.nodes[index].incarnation;
        let now = self.now;
        let is_expired = |until: Timestamp| self.drops_expired && now > until;
        match write {
            Write::Dispatch(forward, _, _, _, until) if is_expired(until) => {
                self.deliver(Delivery::Event(
                    incarnation,
                    Event::BackendResult(forward, Err(not_sent("backend server"))),
                ));
            }
            Write::Dispatch(forward, worker, request, bounds, until) => {
                let transit = self.transit_delay(100);
                self.schedule(
                    transit,
                    Delivery::Request { to: incarnation, forward, worker, request, bounds, until },
                );
            }
            Write::Command(worker, ticket, _, until) if is_expired(until) => {
                self.deliver(Delivery::Event(
                    incarnation,
                    Event::CommandResult(worker, ticket, Err(not_sent("worker"))),
                ));
            }
            Write::Command(worker, ticket, command, _) => {
                let transit = self.transit_delay(700);
                self.schedule(transit, Delivery::Command { to: incarnation, worker, ticket, command });
            }
            Write::Peer(to, _, message, Some(until)) if is_expired(until) => {
                self.deliver(Delivery::Event(incarnation, Event::PeerNotSent(to, message)));
            }
            Write::Peer(to, address, message, _) => self.send(index, to, address, message),
            Write::Append(stream, seq, record) => {
                let delay = Duration::from_millis(self.rng.random_range(1..8)) + self.log.added_latency;
                self.schedule(delay, Delivery::Append { node: index, to: incarnation, stream, seq, record });
            }
            Write::Read(stream, from, wait) => {
                let delay = Duration::from_millis(self.rng.random_range(1..4)) + self.log.added_latency;
                let (sent_at, until) = (now, now + wait);
                self.schedule(
                    delay,
                    Delivery::Read { node: index, to: incarnation, stream, from, sent_at, until },
                );
            }
        }
    }

    fn send(&mut self, index: usize, to: Incarnation, address: SocketAddr, message: PeerMessage) {
        let incarnation = self.nodes[index].incarnation;
        let node = usize::from(address.port() - 7_000);
        let absent = self.nodes.get(node).is_none_or(|node| node.host.is_none());
        if absent || (self.is_blocked(index, node) && self.rng.random()) {
            return self.deliver(Delivery::Event(incarnation, Event::PeerNotSent(to, message)));
        }
        let copies = if self.chance(self.message_faults.duplicated) { 2 } else { 1 };
        for _ in 0..copies {
            let transit = self.transit_delay(400);
            let message = message.clone();
            self.schedule(transit, Delivery::Peer { from: index, sender: incarnation, to, node, message });
        }
    }

    fn append(&mut self, node: usize, to: Incarnation, stream: StreamName, (seq, record): (Sequence, Bytes)) {
        let unreachable = self.log.down || self.nodes[node].log_blocked;
        let lost = self.chance(self.log.lost_answers);
        let result = if unreachable || self.chance(self.log.late_appends) {
            match self.rng.random_range(0..3) {
                0 if unreachable => Err(not_sent("log")),
                1 => {
                    let delay = Duration::from_millis(self.rng.random_range(0..4_000));
                    self.schedule(delay, Delivery::LateAppend { stream, record });
                    Err(unknown("log"))
                }
                _ => Err(unknown("log")),
            }
        } else {
            let offset = self.log.append(self.now, stream, record);
            if lost { Err(unknown("log")) } else { Ok(offset) }
        };
        let delay = Duration::from_millis(if result.is_err() { 100 } else { 2 });
        self.schedule(delay, Delivery::Event(to, Event::Appended(stream, seq, result)));
    }

    fn read(&mut self, delivery: Delivery) {
        let Delivery::Read { node, to, stream, from, sent_at, until } = delivery.clone() else { return };
        if self.index_of(to).is_none() {
            return;
        }
        let result = if self.log.down || self.nodes[node].log_blocked {
            Err(unknown("log"))
        } else {
            match self.log.read(stream, from, self.now < until) {
                Some(batch) => Ok(batch),
                None => return self.schedule(TICK_INTERVAL, delivery),
            }
        };
        let delay = Duration::from_millis(if result.is_err() { 100 } else { 2 });
        self.schedule(delay, Delivery::Event(to, Event::Read(stream, sent_at, result)));
    }

    fn receive_request(&mut self, delivery: Delivery) {
        let Delivery::Request { to, forward, worker, request, bounds, until } = delivery else { return };
        let now = self.now;
        let is_long = self.chance(self.long_requests);
        let length = Duration::from_millis(self.rng.random_range(if is_long { 300..900 } else { 2..60 }));
        let target = self.workers.get_mut(&worker).expect("known worker");
        if target.crashed {
            let event = Event::BackendResult(forward, Err(not_sent("backend server")));
            return self.schedule(Duration::from_millis(1), Delivery::Event(to, event));
        }
        // A request is in transit to the backend server for up to 100 ms.
        if now.since(until) > Duration::from_millis(100) {
            self.violations.push(format!(
                "I1: {worker} got request {} at {now}, after its time limit {until}",
                request.id
            ));
        }
        // Hosts learn of a leaving worker at the next delivery of the host list, and a request may then be in transit.
        if target
            .leaving_since
            .is_some_and(|at| now.since(at) > HOST_POLL_INTERVAL + Duration::from_millis(200))
        {
            self.violations.push(format!("I6: {worker} got request {} at {now} while leaving", request.id));
        }
        let run = RequestRun {
            id: request.id,
            body: request.body,
            idempotent: request.idempotent,
            start: now,
            end: now + length,
            epoch: bounds.epoch,
        };
        let number = target.start_request(run);
        if target.in_flight(now) > target.slots {
            let in_flight = target.in_flight(now);
            self.violations.push(format!(
                "I1: {worker} has {in_flight} requests in flight at {now}, more than its slots"
            ));
        }
        self.schedule(length, Delivery::RequestEnd { to, forward, worker, run: number });
    }

    fn execute(&mut self, to: Incarnation, worker: WorkerId, ticket: u64, command: WorkerCommand) {
        let now = self.now;
        let target = self.workers.get_mut(&worker).expect("known worker");
        if target.crashed {
            let event = Event::CommandResult(worker, ticket, Err(unknown("worker")));
            return self.schedule(Duration::from_millis(300), Delivery::Event(to, event));
        }
        let (inventory, started) = target.execute(now, command, &mut self.rng);
        if let Some(start) = started {
            let (allocated, capacity) = (target.allocated(), target.capacity);
            if !allocated.fits(capacity) {
                self.violations
                    .push(format!("I1: {worker} has {allocated} allocated of {capacity} at {now}"));
            }
            if target
                .leaving_since
                .is_some_and(|at| now.since(at) > HOST_POLL_INTERVAL + Duration::from_millis(1_200))
            {
                self.violations.push(format!("I6: {worker} got task {} at {now} while leaving", start.task));
            }
            for (other, target) in self.workers.iter_mut().filter(|(other, _)| **other != worker) {
                target.advance(now);
                if target.running_tasks().any(|running| running.task == start.task) {
                    self.violations
                        .push(format!("I2: task {} runs on {other} and {worker} at {now}", start.task));
                }
            }
        }
        let lost = self.chance(self.message_faults.lost_replies);
        let result = if lost { Err(unknown("worker")) } else { Ok(inventory) };
        let transit = self.transit_delay(700);
        self.schedule(transit, Delivery::Event(to, Event::CommandResult(worker, ticket, result)));
    }

    /// Advances time by one tick interval.
    pub fn advance(&mut self) {
        let end = self.now + self.tick_interval;
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
            self.resume_host(index);
        }
        if self.rng.random_bool((self.call_rate * self.tick_interval.as_secs_f64()).min(1.0)) {
            self.send_random_call();
        }
        let wall = self.wall_time();
        for index in 0..self.nodes.len() {
            if self.is_running(index) {
                self.handle_event(index, HostEvent::Tick { wall });
            }
        }
        if end >= self.next_poll {
            self.next_poll = end + HOST_POLL_INTERVAL;
            self.poll_host_list();
        }
        if end >= self.next_check {
            self.next_check = end + Duration::from_millis(50);
            self.check_revisions();
        }
    }

    /// Ends the process of a stopped host, and resumes a host whose pause is over.
    fn resume_host(&mut self, index: usize) {
        // A stopped process stays up for 50 ms, in which queued messages to peers are still sent.
        if self.nodes[index].stopped_at.is_some_and(|at| self.now.since(at) >= Duration::from_millis(50)) {
            self.kill_host(index);
        }
        if self.nodes[index].paused_until.is_none_or(|until| until > self.now) {
            return;
        }
        self.nodes[index].paused_until = None;
        self.nodes[index].healthy_since = self.now;
        // Writes that were decided before the pause are sent first.
        let (writes, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.nodes[index].inbox)
            .into_iter()
            .partition(|delivery| matches!(delivery, Delivery::Write(..)));
        for delivery in writes.into_iter().chain(rest) {
            self.deliver(delivery);
        }
    }

    fn poll_host_list(&mut self) {
        let state = |worker: &Worker| match worker.leaving_since {
            Some(_) => HostState::Leaving,
            None => HostState::Live,
        };
        let hosts: BTreeMap<String, HostState> =
            self.workers.iter().map(|(id, worker)| (id.to_string(), state(worker))).collect();
        for index in 0..self.nodes.len() {
            if self.is_running(index) {
                self.handle_event(index, HostEvent::Hosts(hosts.clone()));
            }
        }
    }

    /// Runs the simulation for `length`.
    pub fn run_for(&mut self, length: Duration) {
        let end = self.now + length;
        while self.now < end {
            self.advance();
        }
    }
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + u16::try_from(index).expect("host index fits u16")))
}

/// Returns the answer of a backend server to a request body.
pub fn answer(body: &Bytes) -> Bytes {
    [b"answer to ", body.as_ref()].concat().into()
}
