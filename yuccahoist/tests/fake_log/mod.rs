//! Log service with injected faults, and stream clients that run against it in simulated time.

// Test files that include this module use different parts of it.
#![allow(dead_code)]

use std::time::Duration;

use bytes::Bytes;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yuccahoist::id::{Incarnation, Offset, Sequence};
use yuccahoist::state_machine::StateMachine;
use yuccahoist::stream::{Fold, StreamAction, StreamClient, StreamEvent, StreamName, StreamSettings};
use yuccahoist::systems::{CallError, ReadBatch};
use yuccahoist::unit::Timestamp;

/// Simulated time per step.
pub const STEP_DURATION: Duration = Duration::from_millis(10);
/// Largest number of records that one read returns.
const MAX_READ_RECORDS: usize = 7;

/// Fault probabilities per call, in percent.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    /// The append takes effect, but its response is lost.
    pub lost: u32,
    /// The outcome of the append is unknown, and it takes effect later.
    pub late: u32,
    /// The append is not sent and has no effect.
    pub refused: u32,
    /// The read fails.
    pub read: u32,
}

/// One log stream with injected faults.
#[derive(Debug)]
pub struct FakeLog {
    /// Records that are not truncated, from offset `earliest` on.
    pub records: Vec<Bytes>,
    /// Earliest offset that is not truncated.
    pub earliest: u64,
    /// Every record that was appended, truncated ones included.
    pub appended: Vec<Bytes>,
    /// Whether all calls fail.
    pub down: bool,
    /// Fault probabilities in effect.
    pub faults: Faults,
    /// Appends that take effect at the given times.
    delayed: Vec<(Timestamp, Bytes)>,
    /// Total time that the log was available.
    uptime: Duration,
    /// Uptime at each append.
    append_times: Vec<Duration>,
}

impl FakeLog {
    fn new() -> Self {
        let faults = Faults::default();
        Self {
            records: Vec::new(),
            earliest: 0,
            appended: Vec::new(),
            down: false,
            faults,
            delayed: Vec::new(),
            uptime: Duration::ZERO,
            append_times: Vec::new(),
        }
    }

    /// Appends a record without faults.
    pub fn push(&mut self, record: Bytes) -> Offset {
        self.appended.push(record.clone());
        self.append_times.push(self.uptime);
        self.records.push(record);
        Offset(self.appended.len() as u64 - 1)
    }

    /// Truncates all records but the last `keep`, whether they have been read or not.
    pub fn truncate(&mut self, keep: usize) {
        let count = self.records.len().saturating_sub(keep);
        self.records.drain(..count);
        self.earliest += count as u64;
    }

    /// Truncates records older than the retention, in uptime of the log, but not the last `keep`.
    pub fn expire(&mut self, retention: Duration, keep: usize) {
        let first = usize::try_from(self.earliest).expect("small");
        let times = self.append_times[first..].iter();
        let expired = times.take_while(|time| **time + retention <= self.uptime).count();
        self.truncate(keep.max(self.records.len() - expired));
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
            self.delayed.push((now + delay, record));
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
        let records = kept.filter(|(offset, _)| offset.0 >= start).take(MAX_READ_RECORDS).collect();
        Ok(ReadBatch { earliest: Offset(self.earliest), end: Offset(self.appended.len() as u64), records })
    }

    /// Applies the delayed appends that are due, and counts uptime.
    fn apply_delayed(&mut self, now: Timestamp) {
        if self.down {
            return;
        }
        self.uptime += STEP_DURATION;
        let (due, rest) = self.delayed.drain(..).partition(|(at, _)| *at <= now);
        self.delayed = rest;
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

/// Call in flight.
#[derive(Debug)]
enum Call {
    Append { seq: Sequence, record: Bytes },
    Read { from: Offset, sent_at: Timestamp },
}

/// Client with its calls in flight.
pub struct Node<F: Fold> {
    /// Client under test.
    pub client: StreamClient<F>,
    /// Actions other than calls, in the order of emission.
    pub actions: Vec<StreamAction<F::Effect>>,
    /// Calls in flight with the times at which they complete.
    calls: Vec<(Timestamp, Call)>,
}

impl<F: Fold> Node<F> {
    fn new(name: StreamName, producer: u64, fold: F, settings: StreamSettings) -> Self {
        let client = StreamClient::new(name, Incarnation(producer), fold, settings);
        Self { client, actions: Vec::new(), calls: Vec::new() }
    }
}

/// Simulation of several clients of one log stream.
pub struct Simulation<F: Fold> {
    /// Log that all clients share.
    pub log: FakeLog,
    /// Clients by index.
    pub nodes: Vec<Node<F>>,
    /// Simulated time.
    pub now: Timestamp,
    /// Source of randomness for faults, delays and clients.
    pub rng: ChaCha8Rng,
    name: StreamName,
    settings: StreamSettings,
    next_producer: u64,
}

impl<F: Fold + Default> Simulation<F> {
    /// Creates a simulation with a number of clients and no faults.
    pub fn new(name: StreamName, clients: usize, settings: StreamSettings, seed: u64) -> Self {
        let mut simulation = Self {
            log: FakeLog::new(),
            nodes: Vec::new(),
            now: Timestamp::from_millis(1),
            rng: ChaCha8Rng::seed_from_u64(seed),
            name,
            settings,
            next_producer: 1,
        };
        for _ in 0..clients {
            simulation.add_node();
        }
        simulation
    }

    /// Adds a client with empty state and returns its index.
    pub fn add_node(&mut self) -> usize {
        let node = self.new_node();
        self.nodes.push(node);
        self.nodes.len() - 1
    }

    /// Replaces a client with one of a new incarnation and empty state.
    pub fn restart(&mut self, index: usize) {
        self.nodes[index] = self.new_node();
    }

    fn new_node(&mut self) -> Node<F> {
        let producer = self.next_producer;
        self.next_producer += 1;
        Node::new(self.name, producer, F::default(), self.settings.clone())
    }

    /// Passes an event to a client, and starts the calls that it requests.
    pub fn deliver(&mut self, index: usize, event: StreamEvent<F::Record>) {
        let mut out = Vec::new();
        let node = &mut self.nodes[index];
        node.client.handle(self.now, event, &mut self.rng, &mut out);
        for action in out {
            let completion = self.now + Duration::from_millis(self.rng.random_range(0..60));
            match action {
                StreamAction::SendAppend { seq, record } => {
                    let is_in_flight = node.calls.iter().any(|(_, call)| matches!(call, Call::Append { .. }));
                    assert!(!is_in_flight, "a second append was sent while one is in flight");
                    node.calls.push((completion, Call::Append { seq, record }));
                }
                StreamAction::SendRead { from, .. } => {
                    let is_in_flight = node.calls.iter().any(|(_, call)| matches!(call, Call::Read { .. }));
                    assert!(!is_in_flight, "a second read was sent while one is in flight");
                    node.calls.push((completion, Call::Read { from, sent_at: self.now }));
                }
                other => node.actions.push(other),
            }
        }
    }

    /// Advances the simulation by one step: completes the calls that are due and ticks all clients.
    pub fn step(&mut self) {
        self.now = self.now + STEP_DURATION;
        self.log.apply_delayed(self.now);
        for index in 0..self.nodes.len() {
            let calls = std::mem::take(&mut self.nodes[index].calls);
            let (due, rest): (Vec<_>, Vec<_>) = calls.into_iter().partition(|(at, _)| *at <= self.now);
            self.nodes[index].calls = rest;
            for (_, call) in due {
                let event = self.complete(call);
                self.deliver(index, event);
            }
            self.deliver(index, StreamEvent::Tick);
        }
    }

    fn complete(&mut self, call: Call) -> StreamEvent<F::Record> {
        match call {
            Call::Append { seq, record } => {
                let result = self.log.append(self.now, record, &mut self.rng);
                StreamEvent::Appended { seq, result }
            }
            Call::Read { from, sent_at } => {
                StreamEvent::Read { sent_at, result: self.log.read(from, &mut self.rng) }
            }
        }
    }

    /// Runs a number of steps, and answers snapshot requests with the snapshot of a random peer.
    pub fn run(&mut self, steps: usize) {
        for _ in 0..steps {
            self.step();
            for index in 0..self.nodes.len() {
                self.serve_snapshot_request(index);
            }
        }
    }

    fn serve_snapshot_request(&mut self, index: usize) {
        let is_request = |action: &StreamAction<F::Effect>| matches!(action, StreamAction::RequestSnapshot);
        if !self.nodes[index].actions.iter().any(is_request) {
            return;
        }
        self.nodes[index].actions.retain(|action| !is_request(action));
        if self.nodes.len() < 2 {
            return;
        }
        let distance = self.rng.random_range(1..self.nodes.len());
        let peer = (index + distance) % self.nodes.len();
        if let Some(record) = self.nodes[peer].client.snapshot() {
            self.deliver(index, StreamEvent::PeerSnapshot { record });
        }
    }

    /// Clears all faults and runs until delayed appends have taken effect and all clients have caught up.
    pub fn recover(&mut self) {
        self.log.down = false;
        self.log.faults = Faults::default();
        self.run(1_500);
        self.run_until_caught_up();
    }

    /// Runs until all clients have read all records at the same time. Snapshots continue to be written meanwhile.
    pub fn run_until_caught_up(&mut self) {
        for _ in 0..1_000 {
            let end = Offset(self.log.appended.len() as u64);
            let is_caught_up = |node: &Node<F>| node.client.next() == end && node.client.pending() == 0;
            if self.nodes.iter().all(is_caught_up) {
                return;
            }
            self.run(1);
        }
        let nexts: Vec<Offset> = self.nodes.iter().map(|node| node.client.next()).collect();
        panic!(
            "clients did not reach the end of the stream, offset {}: next offsets are {nexts:?}",
            self.log.appended.len()
        );
    }
}
