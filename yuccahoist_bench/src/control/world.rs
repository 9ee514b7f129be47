//! Hosts, log and workers on one agenda in model time.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use cpu_time::ThreadTime;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use yuccahoist::config::{ConfigRecord, DocumentName, Edit};
use yuccahoist::event::{HostAction, HostEvent, JobCall, TICK_INTERVAL};
use yuccahoist::front::CallId;
use yuccahoist::host::{Host, HostOptions};
use yuccahoist::id::{Incarnation, Offset, RequestId, Revision, Sequence, WorkerId};
use yuccahoist::ownership::Member;
use yuccahoist::peer::{PeerMessage, encode};
use yuccahoist::placement::WorkerCommand;
use yuccahoist::request::{Answer, Class, Request};
use yuccahoist::state_machine::StateMachine;
use yuccahoist::stream::{Envelope, StreamName, StreamSettings};
use yuccahoist::unit::{Timestamp, WallTime};

use super::cell::{JOB_TASKS, Load, Size, ZONES, team_name};
use super::log::{Log, Waiting};
use super::tally::Tally;
use super::workers::Workers;

/// One way between hosts, to the log and to workers.
const HOP: Duration = Duration::from_millis(1);
/// Time that the log takes for an append.
const APPEND: Duration = Duration::from_millis(5);
/// Time that a backend server takes.
const SERVICE: Duration = Duration::from_millis(8);
/// Time until all leases are held and all tasks run.
const WARM_UP: Duration = Duration::from_secs(45);
/// Time until the first jobs are submitted.
const JOBS_FROM: Duration = Duration::from_secs(15);
/// Time between the jobs that fill the cell.
const FILL: Duration = Duration::from_millis(50);
/// Time that is measured.
pub const WINDOW: Duration = Duration::from_secs(20);
/// Task starts a second at peak, with 14,000 tasks running.
const STARTS: f64 = 350.0;
/// Requests a second at peak, per host.
const REQUESTS: f64 = 100.0;
/// One in this many requests is not idempotent.
const NOT_IDEMPOTENT: u64 = 4;
/// Bytes of a request and its answer.
const BODY: usize = 200;
/// Headers of one call to the log, request and response together. Assumed, not measured.
const CALL_BYTES: usize = 300;
/// Offset and framing of one record in a reply. Assumed, not measured.
const RECORD_BYTES: usize = 32;
/// Wall-clock time at the start.
const WALL: u64 = 1_790_000_000_000;

enum Item {
    Event(usize, Box<HostEvent>),
    Tick(usize),
    Append { host: usize, stream: StreamName, seq: Sequence, record: Bytes },
    Read { host: usize, stream: StreamName, from: Offset, wait: Duration, sent_at: Timestamp },
    Expire { stream: StreamName, number: u64 },
    Command { host: usize, worker: WorkerId, ticket: u64, command: WorkerCommand },
    Job(usize),
    Request(usize),
    Edit(u64),
}

/// Figures of a run.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// Counts of the measured host.
    pub tally: Tally,
    /// Heap of the measured host, bytes.
    pub heap: usize,
    /// Tasks that ran at the end.
    pub running: usize,
    /// Task starts in the window, whole cell.
    pub starts: u64,
    /// Subjects that the measured host owned at the end.
    pub owned: usize,
    /// Revision in force at the measured host at the end.
    pub revision: u64,
}

/// Hosts of a cell with a model of its surroundings.
pub struct World {
    size: Size,
    load: Load,
    now: Timestamp,
    rng: ChaCha8Rng,
    hosts: Vec<Host>,
    rngs: Vec<ChaCha8Rng>,
    /// Time at which each host sent its read of each stream.
    sent_at: BTreeMap<(usize, StreamName), Timestamp>,
    agenda: BTreeMap<(Timestamp, u64), Item>,
    number: u64,
    log: Log,
    workers: Workers,
    tally: Option<Tally>,
    revision: u64,
}

impl World {
    /// Cell of a size that has not started.
    ///
    /// # Panics
    ///
    /// Panics when a generated name is not valid.
    #[must_use]
    pub fn new(size: Size, load: Load, seed: u64) -> Self {
        let batch = (size.jobs() * JOB_TASKS) as f64;
        let starts = STARTS * size.tasks as f64 / Size::FULL.tasks as f64;
        let run_time = (load == Load::Peak).then(|| Duration::from_secs_f64(batch / starts));
        let mut world = Self {
            size,
            load,
            now: Timestamp::from_millis(0),
            rng: ChaCha8Rng::seed_from_u64(seed),
            hosts: (0..size.hosts).map(host).collect(),
            rngs: (0..size.hosts)
                .map(|host| ChaCha8Rng::seed_from_u64(seed ^ (host as u64 + 1) << 32))
                .collect(),
            sent_at: BTreeMap::new(),
            agenda: BTreeMap::new(),
            number: 0,
            log: Log::default(),
            workers: Workers::new(run_time),
            tally: None,
            revision: 0,
        };
        world.publish(DocumentName::Base, size.base());
        for host in 0..size.hosts {
            // Hosts start at different times, so that their timers do not run together.
            let start = Duration::from_micros(world.rng.random_range(0..1_000_000));
            world.plan(start, Item::Tick(host));
        }
        for job in 0..size.jobs() {
            world.plan(JOBS_FROM + FILL * u32::try_from(job).unwrap_or(u32::MAX), Item::Job(job));
        }
        if load == Load::Peak {
            let filled = FILL * u32::try_from(size.jobs()).unwrap_or(u32::MAX);
            world.plan(JOBS_FROM + filled, Item::Job(size.jobs()));
        }
        world
    }

    fn plan(&mut self, delay: Duration, item: Item) {
        self.number += 1;
        self.agenda.insert((self.now + delay, self.number), item);
    }

    /// Runs the cell, measures its first host and ends the cell. `allocated` tells the bytes on the heap.
    pub fn run(mut self, allocated: impl Fn() -> usize) -> Outcome {
        self.run_until(Timestamp::from_millis(0) + WARM_UP);
        self.plan_window();
        self.tally = Some(Tally::default());
        let starts = self.workers.starts;
        self.run_until(Timestamp::from_millis(0) + WARM_UP + WINDOW);
        let status = self.hosts[0].status();
        let starts = self.workers.starts - starts;
        let before = allocated();
        drop(self.hosts.swap_remove(0));
        Outcome {
            heap: before.saturating_sub(allocated()),
            running: self.workers.running(),
            starts,
            owned: status.owned.len(),
            revision: status.hosts.first().map_or(0, |own| own.revision.0),
            tally: self.tally.unwrap_or_default(),
        }
    }

    fn plan_window(&mut self) {
        for edit in 0..self.size.edits {
            let delay = WINDOW.mul_f64((edit as f64 + 0.5) / self.size.edits as f64);
            self.plan(delay, Item::Edit(edit as u64));
        }
        if self.load == Load::Peak {
            for host in 0..self.size.hosts {
                self.plan(Duration::ZERO, Item::Request(host));
            }
        }
    }

    fn run_until(&mut self, end: Timestamp) {
        while let Some(entry) = self.agenda.first_entry()
            && entry.key().0 < end
        {
            let ((at, _), item) = entry.remove_entry();
            self.now = at;
            self.run_item(item);
        }
        self.now = end;
    }

    fn run_item(&mut self, item: Item) {
        match item {
            Item::Event(host, event) => self.handle(host, *event),
            Item::Tick(host) => {
                let wall = self.wall();
                self.handle(host, HostEvent::Tick { wall });
                self.plan(TICK_INTERVAL, Item::Tick(host));
            }
            Item::Append { host, stream, seq, record } => {
                let (offset, waiting) = self.log.append(stream, record);
                let event = HostEvent::Appended { stream, seq, result: Ok(offset) };
                self.plan(HOP, Item::Event(host, Box::new(event)));
                self.end_reads(stream, waiting);
            }
            Item::Read { host, stream, from, wait, sent_at } => {
                self.sent_at.insert((host, stream), sent_at);
                self.number += 1;
                let number = self.number;
                let read = Waiting { host, from, number };
                if wait.is_zero() || !self.log.read(stream, from).records.is_empty() {
                    self.end_reads(stream, vec![read]);
                } else {
                    self.log.wait(stream, read);
                    self.plan(wait, Item::Expire { stream, number });
                }
            }
            Item::Expire { stream, number } => {
                let read = self.log.expire(stream, number);
                self.end_reads(stream, read.into_iter().collect());
            }
            Item::Command { host, worker, ticket, command } => {
                let inventory = self.workers.command(self.now, &worker, command, &mut self.rng);
                self.count(host, "worker inventory", || json_bytes(&inventory));
                let event = HostEvent::CommandResult { worker, ticket, result: Ok(inventory) };
                self.plan(HOP, Item::Event(host, Box::new(event)));
            }
            Item::Job(number) => self.job(number),
            Item::Request(host) => self.request(host),
            Item::Edit(number) => self.edit(number),
        }
    }

    fn end_reads(&mut self, stream: StreamName, reads: Vec<Waiting>) {
        for read in reads {
            let batch = self.log.read(stream, read.from);
            let sent_at = self.sent_at.get(&(read.host, stream)).copied().unwrap_or(self.now);
            if let Some(tally) = self.tally.as_mut().filter(|_| read.host == 0) {
                let text: usize = batch.records.iter().map(|(_, text)| text.len()).sum();
                let records = batch.records.len();
                tally.add(format!("log read {stream}: records"), records as u64, text);
                tally.add(format!("log read {stream}: calls"), 1, CALL_BYTES + RECORD_BYTES * records);
            }
            let event = HostEvent::Read { stream, sent_at, result: Ok(batch) };
            self.plan(HOP, Item::Event(read.host, Box::new(event)));
        }
    }

    fn count(&mut self, host: usize, kind: &str, bytes: impl FnOnce() -> usize) {
        if let Some(tally) = self.tally.as_mut().filter(|_| host == 0) {
            tally.add(kind, 1, bytes());
        }
    }

    fn handle(&mut self, host: usize, event: HostEvent) {
        let kind = event_kind(&event);
        let mut out = Vec::new();
        // Thread time leaves out the time in which other processes have the processor.
        let start = ThreadTime::now();
        self.hosts[host].handle(self.now, event, &mut self.rngs[host], &mut out);
        let time = start.elapsed();
        if let Some(tally) = self.tally.as_mut().filter(|_| host == 0) {
            tally.spend(kind, time);
        }
        for action in out {
            self.act(host, action);
        }
    }

    fn act(&mut self, host: usize, action: HostAction) {
        match action {
            HostAction::Send { to, message, .. } => self.send(host, to, message),
            HostAction::Read { stream, from, wait } => {
                let sent_at = self.now;
                self.plan(HOP, Item::Read { host, stream, from, wait, sent_at });
            }
            HostAction::Append { stream, seq, record } => {
                self.count(host, &format!("log append {stream}"), || record.len() + CALL_BYTES);
                self.plan(APPEND, Item::Append { host, stream, seq, record });
            }
            HostAction::Command { worker, ticket, command, .. } => {
                self.count(host, command_kind(&command), || json_bytes(&command));
                self.plan(HOP, Item::Command { host, worker, ticket, command });
            }
            HostAction::Dispatch { forward, request, .. } => {
                let answer = Answer { status: 200, body: request.body };
                let event = HostEvent::BackendResult { forward, result: Ok(answer) };
                self.plan(SERVICE, Item::Event(host, Box::new(event)));
            }
            HostAction::Respond { outcome, .. } => {
                self.count(host, &format!("caller {}", outcome.as_str()), || 0);
            }
            HostAction::JobReply { .. }
            | HostAction::StatusReply { .. }
            | HostAction::ReplaceWorkerAddresses(_)
            | HostAction::Decision(_)
            | HostAction::Stopped => {}
        }
    }

    fn send(&mut self, host: usize, to: Incarnation, message: PeerMessage) {
        let Some(receiver) = usize::try_from(to.0).ok().and_then(|to| to.checked_sub(1)) else { return };
        if self.tally.is_some() && (host == 0 || receiver == 0) {
            let way = if host == 0 { "to peers" } else { "from peers" };
            let bytes = encode(vec![message.clone()]).map_or(0, |bytes| bytes.len());
            self.count(0, &format!("{way}: {}", message_kind(&message)), || bytes);
        }
        let from = Incarnation(host as u64 + 1);
        self.plan(HOP, Item::Event(receiver, Box::new(HostEvent::Peer { from, message })));
    }

    fn job(&mut self, number: usize) {
        if let Some(spec) = self.size.job(number) {
            let event = HostEvent::JobCall { call: CallId(number as u64), body: JobCall::Submit(spec) };
            self.handle(number % self.size.hosts, event);
        }
        if number >= self.size.jobs() {
            let starts = STARTS * self.size.tasks as f64 / Size::FULL.tasks as f64;
            self.plan(Duration::from_secs_f64(JOB_TASKS as f64 / starts), Item::Job(number + 1));
        }
    }

    fn request(&mut self, host: usize) {
        self.number += 1;
        let number = self.number;
        let team = self.rng.random_range(0..self.size.teams);
        let wall = self.wall();
        let request = Request {
            id: RequestId::from_parts(wall, self.rng.random()),
            service: format!("service-{team}").parse().expect("valid name"),
            class: Class::Urgent,
            team: team_name(team).parse().expect("valid name"),
            idempotent: !number.is_multiple_of(NOT_IDEMPOTENT),
            deadline: self.now + Duration::from_secs(1),
            body: Bytes::from(vec![b'x'; BODY]),
        };
        self.handle(host, HostEvent::Call { call: CallId(number), wall, request });
        self.plan(Duration::from_secs_f64(1.0 / REQUESTS), Item::Request(host));
    }

    /// One edit in ten replaces the base document, the others the overlay of a site.
    fn edit(&mut self, number: u64) {
        if number % 10 == 9 {
            self.publish(DocumentName::Base, self.size.base());
            return;
        }
        let site = ZONES[usize::try_from(number).unwrap_or_default() % ZONES.len()];
        let share = 0.05 + number as f64 / 1_000.0;
        let content = json!({ "limits": { "retry_share": share } });
        self.publish(DocumentName::Site(site.parse().expect("valid name")), content);
    }

    fn publish(&mut self, document: DocumentName, content: Value) {
        let edit = Edit {
            document,
            based_on: Revision(self.revision),
            content,
            author: "operator".into(),
            note: "capacity measurement".into(),
            allow_capacity_drop: false,
        };
        self.revision += 1;
        let producer = Incarnation(1 << 40 | self.revision);
        let body = ConfigRecord::Edit(Box::new(edit));
        let envelope = Envelope { producer, seq: Sequence(1), body };
        let record = Bytes::from(serde_json::to_vec(&envelope).expect("plain data"));
        let (_, waiting) = self.log.append(StreamName::Config, record);
        self.end_reads(StreamName::Config, waiting);
    }

    fn wall(&self) -> WallTime {
        WallTime::from_millis(WALL + self.now.as_micros() / 1_000)
    }
}

fn host(index: usize) -> Host {
    let zone = ZONES[index % ZONES.len()];
    let port = 4_000 + u16::try_from(index).expect("few hosts");
    let member = Member {
        host: format!("entry-{}", index + 1).parse().expect("valid name"),
        incarnation: Incarnation(index as u64 + 1),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, port)),
        zone: zone.parse().expect("valid name"),
        site: zone.parse().expect("valid name"),
    };
    Host::new(HostOptions { member, seeds: Vec::new(), streams: StreamSettings::default() })
}

fn json_bytes<T: serde::Serialize>(value: &T) -> usize {
    serde_json::to_vec(value).map_or(0, |text| text.len())
}

const fn event_kind(event: &HostEvent) -> &'static str {
    match event {
        HostEvent::Call { .. } | HostEvent::CallerDisconnected { .. } | HostEvent::BackendResult { .. } => {
            "requests"
        }
        HostEvent::JobCall { .. } | HostEvent::StatusCall { .. } => "job calls",
        HostEvent::Peer { message, .. } => match message {
            PeerMessage::Forward { .. }
            | PeerMessage::Accepted { .. }
            | PeerMessage::Finished { .. }
            | PeerMessage::Withdraw { .. } => "requests",
            PeerMessage::Heartbeat(_) => "peer heartbeat",
            PeerMessage::Load(_) => "peer load",
            PeerMessage::Shard(_) | PeerMessage::ShardReply(_) => "peer placement",
            _ => "peer other",
        },
        HostEvent::PeerNotSent { .. } | HostEvent::PeerLost { .. } => "peer other",
        HostEvent::Read { stream, .. } => match stream {
            StreamName::Config => "read config",
            StreamName::Cell => "read cell",
            StreamName::Intents => "read intents",
            StreamName::Jobs => "read jobs",
        },
        HostEvent::Appended { .. } => "appended",
        HostEvent::CommandResult { .. } => "worker",
        HostEvent::Hosts(_) | HostEvent::Stop => "other",
        HostEvent::Tick { .. } => "tick",
    }
}

const fn command_kind(command: &WorkerCommand) -> &'static str {
    match command {
        WorkerCommand::Start(_) => "worker command: start",
        WorkerCommand::Renew { .. } => "worker command: renew",
        WorkerCommand::Stop { .. } => "worker command: stop",
        WorkerCommand::Throttle { .. } => "worker command: throttle",
        WorkerCommand::Forget { .. } => "worker command: forget",
        WorkerCommand::Inventory => "worker command: inventory",
    }
}

const fn message_kind(message: &PeerMessage) -> &'static str {
    match message {
        PeerMessage::Heartbeat(_) => "heartbeat",
        PeerMessage::Load(_) => "load",
        PeerMessage::Forward { .. }
        | PeerMessage::Accepted { .. }
        | PeerMessage::Finished { .. }
        | PeerMessage::Withdraw { .. } => "requests",
        PeerMessage::Shard(_) => "shard request",
        PeerMessage::ShardReply(_) => "shard reply",
        _ => "other",
    }
}
