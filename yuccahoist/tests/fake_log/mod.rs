//! Log service with faults, and clients that run against it in simulated time.

// Each test file that includes this module uses a part of it.
#![allow(dead_code)]

use std::time::Duration;

use bytes::Bytes;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yuccahoist::duty::Duty;
use yuccahoist::id::{Incarnation, Offset, Sequence};
use yuccahoist::stream::{Fold, StreamAction, StreamClient, StreamEvent, StreamName, StreamSettings};
use yuccahoist::systems::{CallError, ReadBatch};
use yuccahoist::unit::Timestamp;

/// Time between two steps of the simulation.
pub const STEP: Duration = Duration::from_millis(10);
/// Records that one read returns at most.
const READ_LIMIT: usize = 7;

/// Probabilities of faults per call, in percent.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    /// Append takes effect and its answer is lost.
    pub lost: u32,
    /// Append is answered as unknown and takes effect later.
    pub late: u32,
    /// Append is refused.
    pub refused: u32,
    /// Read fails.
    pub read: u32,
}

/// Log with faults.
#[derive(Debug)]
pub struct FakeLog {
    /// Kept records, from offset `earliest`.
    pub records: Vec<Bytes>,
    /// Earliest kept offset.
    pub earliest: u64,
    /// Every record that was ever appended.
    pub all: Vec<Bytes>,
    /// Whether all calls fail.
    pub down: bool,
    /// Faults of calls.
    pub faults: Faults,
    late: Vec<(Timestamp, Bytes)>,
    /// Time that the log was up, and its value at each append.
    uptime: Duration,
    appended: Vec<Duration>,
}

impl FakeLog {
    fn new() -> Self {
        let faults = Faults::default();
        Self {
            records: Vec::new(),
            earliest: 0,
            all: Vec::new(),
            down: false,
            faults,
            late: Vec::new(),
            uptime: Duration::ZERO,
            appended: Vec::new(),
        }
    }

    /// Appends a record.
    pub fn push(&mut self, record: Bytes) -> Offset {
        self.all.push(record.clone());
        self.appended.push(self.uptime);
        self.records.push(record);
        Offset(self.all.len() as u64 - 1)
    }

    /// Drops all records but the last `keep`.
    pub fn truncate(&mut self, keep: usize) {
        let drop = self.records.len().saturating_sub(keep);
        self.records.drain(..drop);
        self.earliest += drop as u64;
    }

    /// Drops records that were kept for the retention while the log was up, but not the last `keep`.
    pub fn expire(&mut self, retention: Duration, keep: usize) {
        let first = usize::try_from(self.earliest).expect("small");
        let kept = self.appended[first..].iter();
        let old = kept.take_while(|appended| **appended + retention <= self.uptime).count();
        self.truncate(keep.max(self.records.len() - old));
    }

    fn append(&mut self, now: Timestamp, record: Bytes, rng: &mut dyn Rng) -> Result<Offset, CallError> {
        if self.down {
            return Err(if rng.random_bool(0.5) { not_sent() } else { unknown() });
        }
        let draw = rng.random_range(0..100);
        let Faults { lost, late, refused, .. } = self.faults;
        if draw < lost {
            self.push(record);
            return Err(unknown());
        }
        if draw < lost + late {
            let delay = Duration::from_millis(rng.random_range(0..4_000));
            self.late.push((now + delay, record));
            return Err(unknown());
        }
        if draw < lost + late + refused {
            return Err(not_sent());
        }
        Ok(self.push(record))
    }

    fn read(&self, from: Offset, rng: &mut dyn Rng) -> Result<ReadBatch, CallError> {
        if self.down || rng.random_range(0..100) < self.faults.read {
            return Err(unknown());
        }
        let start = from.0.max(self.earliest);
        let kept =
            self.records.iter().enumerate().map(|(i, r)| (Offset(self.earliest + i as u64), r.clone()));
        let records = kept.filter(|(offset, _)| offset.0 >= start).take(READ_LIMIT).collect();
        Ok(ReadBatch { earliest: Offset(self.earliest), end: Offset(self.all.len() as u64), records })
    }

    /// Applies late appends that are due.
    fn apply_late(&mut self, now: Timestamp) {
        if self.down {
            return;
        }
        self.uptime += STEP;
        let (due, rest) = self.late.drain(..).partition(|(at, _)| *at <= now);
        self.late = rest;
        let due: Vec<(Timestamp, Bytes)> = due;
        for (_, record) in due {
            self.push(record);
        }
    }
}

fn unknown() -> CallError {
    CallError::Unknown { step: "append", peer: "log".into(), reason: "test".into() }
}

fn not_sent() -> CallError {
    CallError::NotSent { step: "append", peer: "log".into(), reason: "test".into() }
}

/// Call under way.
#[derive(Debug)]
enum Call {
    Append { seq: Sequence, record: Bytes },
    Read { from: Offset, asked: Timestamp },
}

/// Client with its calls under way.
pub struct Node<F: Fold> {
    /// Client.
    pub client: StreamClient<F>,
    /// Actions other than calls, in order.
    pub actions: Vec<StreamAction<F::Effect>>,
    calls: Vec<(Timestamp, Call)>,
}

impl<F: Fold> Node<F> {
    fn new(name: StreamName, producer: u64, fold: F, settings: StreamSettings) -> Self {
        let client = StreamClient::new(name, Incarnation(producer), fold, settings);
        Self { client, actions: Vec::new(), calls: Vec::new() }
    }
}

/// Simulation of clients and their log.
pub struct World<F: Fold> {
    /// Log.
    pub log: FakeLog,
    /// Clients.
    pub nodes: Vec<Node<F>>,
    /// Time.
    pub now: Timestamp,
    /// Randomness.
    pub rng: ChaCha8Rng,
    name: StreamName,
    settings: StreamSettings,
    next_producer: u64,
}

impl<F: Fold + Default> World<F> {
    /// World with a number of clients.
    pub fn new(name: StreamName, clients: usize, settings: StreamSettings, seed: u64) -> Self {
        let mut world = Self {
            log: FakeLog::new(),
            nodes: Vec::new(),
            now: Timestamp::from_millis(1),
            rng: ChaCha8Rng::seed_from_u64(seed),
            name,
            settings,
            next_producer: 1,
        };
        for _ in 0..clients {
            world.add();
        }
        world
    }

    /// Adds a client that has read nothing; its index.
    pub fn add(&mut self) -> usize {
        let node = self.fresh();
        self.nodes.push(node);
        self.nodes.len() - 1
    }

    /// Replaces a client by one that has read nothing.
    pub fn restart(&mut self, index: usize) {
        self.nodes[index] = self.fresh();
    }

    fn fresh(&mut self) -> Node<F> {
        let producer = self.next_producer;
        self.next_producer += 1;
        Node::new(self.name, producer, F::default(), self.settings.clone())
    }

    /// Gives an event to a client.
    pub fn event(&mut self, index: usize, event: StreamEvent<F::Record>) {
        let mut out = Vec::new();
        let node = &mut self.nodes[index];
        node.client.handle(self.now, event, &mut self.rng, &mut out);
        for action in out {
            let at = self.now + Duration::from_millis(self.rng.random_range(0..60));
            match action {
                StreamAction::SendAppend { seq, record } => {
                    let open = node.calls.iter().any(|(_, call)| matches!(call, Call::Append { .. }));
                    assert!(!open, "two appends in flight");
                    node.calls.push((at, Call::Append { seq, record }));
                }
                StreamAction::SendRead { from, .. } => {
                    let open = node.calls.iter().any(|(_, call)| matches!(call, Call::Read { .. }));
                    assert!(!open, "two reads in flight");
                    node.calls.push((at, Call::Read { from, asked: self.now }));
                }
                other => node.actions.push(other),
            }
        }
    }

    /// Advances time by one step.
    pub fn step(&mut self) {
        self.now = self.now + STEP;
        self.log.apply_late(self.now);
        for index in 0..self.nodes.len() {
            let calls = std::mem::take(&mut self.nodes[index].calls);
            let (due, rest): (Vec<_>, Vec<_>) = calls.into_iter().partition(|(at, _)| *at <= self.now);
            self.nodes[index].calls = rest;
            for (_, call) in due {
                let event = self.serve(call);
                self.event(index, event);
            }
            self.event(index, StreamEvent::Tick);
        }
    }

    fn serve(&mut self, call: Call) -> StreamEvent<F::Record> {
        match call {
            Call::Append { seq, record } => {
                let result = self.log.append(self.now, record, &mut self.rng);
                StreamEvent::Appended { seq, result }
            }
            Call::Read { from, asked } => {
                StreamEvent::Read { asked, result: self.log.read(from, &mut self.rng) }
            }
        }
    }

    /// Runs for a number of steps, and gives every client that asks the state of a peer.
    pub fn run(&mut self, steps: usize) {
        for _ in 0..steps {
            self.step();
            for index in 0..self.nodes.len() {
                self.serve_peer_state(index);
            }
        }
    }

    fn serve_peer_state(&mut self, index: usize) {
        let asks = |action: &StreamAction<F::Effect>| matches!(action, StreamAction::NeedSnapshot);
        if !self.nodes[index].actions.iter().any(asks) {
            return;
        }
        self.nodes[index].actions.retain(|action| !asks(action));
        if self.nodes.len() < 2 {
            return;
        }
        let other = self.rng.random_range(1..self.nodes.len());
        let peer = (index + other) % self.nodes.len();
        if let Some(record) = self.nodes[peer].client.snapshot() {
            self.event(index, StreamEvent::Restore { record });
        }
    }

    /// Ends all faults and runs until late appends have taken effect and all clients have read them.
    pub fn settle(&mut self) {
        self.log.down = false;
        self.log.faults = Faults::default();
        self.run(1_500);
        self.meet();
    }

    /// Runs until all clients have read all records, between the snapshots that go on being written.
    pub fn meet(&mut self) {
        for _ in 0..1_000 {
            let end = Offset(self.log.all.len() as u64);
            let done = |node: &Node<F>| node.client.next() == end && node.client.pending() == 0;
            if self.nodes.iter().all(done) {
                return;
            }
            self.run(1);
        }
        let nexts: Vec<Offset> = self.nodes.iter().map(|node| node.client.next()).collect();
        panic!("clients did not reach the end {}: {nexts:?}", self.log.all.len());
    }
}
