//! Fronts, dispatchers, an intents log and backend servers that exchange unreliable messages in model time.
//!
//! The fakes keep their own records: what a backend server ran, what each caller was told. Checks read those records
//! and never the counters of the code under test.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bytes::Bytes;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yuccahoist::dispatch::{
    BackendSpec, ClassLimits, DispatchAction, DispatchEvent, DispatchLimits, Dispatcher, ForwardId,
};
use yuccahoist::duty::Duty;
use yuccahoist::front::{CallId, Front, FrontAction, FrontEvent, FrontLimits};
use yuccahoist::id::{Epoch, Incarnation, Offset, RequestId, ServiceId, ShardId, Subject, TeamId, WorkerId};
use yuccahoist::intent::{IntentEffect, IntentFold, IntentRecord};
use yuccahoist::ownership::{Grant, Share};
use yuccahoist::request::{Answer, Class, Outcome, Request};
use yuccahoist::stream::Fold;
use yuccahoist::unit::{Connections, Slots, Timestamp, WallTime};

/// Wall-clock time at the start of the model.
const START: u64 = 1_790_000_000_000;
const TICK: Duration = Duration::from_millis(10);
const LOAD: Duration = Duration::from_millis(500);
const RUN_LIMIT: Duration = Duration::from_secs(2);
/// Time in which callers send requests.
const CALLS: Duration = Duration::from_secs(8);
/// Time after which every call must have ended.
const END: Duration = Duration::from_secs(20);

/// Probabilities of faults and sizes of the model.
#[derive(Debug, Clone)]
pub struct Faults {
    /// Message between hosts is lost.
    pub lose: f64,
    /// Message between hosts arrives twice.
    pub double: f64,
    /// Message between hosts is late by up to a second.
    pub late: f64,
    /// Connection to a backend server fails before anything is sent.
    pub refuse: f64,
    /// Connection to a backend server breaks while the request runs.
    pub cut: f64,
    /// Append fails: the record is lost, or it takes effect after the failure was reported.
    pub append: f64,
    /// Id is sent again to a random host.
    pub resend: f64,
    /// Hosts that die at a random time.
    pub deaths: usize,
    /// Workers that drain at a random time.
    pub drains: usize,
    /// Requests per second.
    pub rate: f64,
}

impl Faults {
    /// No fault at all.
    pub const NONE: Self = Self {
        lose: 0.0,
        double: 0.0,
        late: 0.0,
        refuse: 0.0,
        cut: 0.0,
        append: 0.0,
        resend: 0.0,
        deaths: 0,
        drains: 0,
        rate: 60.0,
    };
}

enum Item {
    Front(usize, FrontEvent),
    Dispatch(usize, DispatchEvent),
    Ran { worker: WorkerId },
    Append { host: usize, ids: Vec<RequestId>, horizon: WallTime },
    Read(usize),
    Call { host: usize, request: Request },
    Drain(WorkerId),
    Die(usize),
    Tick,
    Load,
}

struct Host {
    id: Incarnation,
    front: Front,
    dispatcher: Dispatcher,
    fold: IntentFold,
    read: usize,
    alive: bool,
}

/// One start of a request at a backend server.
#[derive(Debug, Clone)]
pub struct Run {
    pub id: RequestId,
    pub worker: WorkerId,
    pub at: Timestamp,
}

/// One call with what its caller was told.
#[derive(Debug, Clone)]
pub struct CallRecord {
    pub host: usize,
    pub request: Request,
    pub answers: Vec<(Timestamp, Outcome)>,
}

/// The model.
pub struct World {
    now: Timestamp,
    rng: ChaCha8Rng,
    faults: Faults,
    agenda: BTreeMap<(Timestamp, u64), Item>,
    number: u64,
    hosts: Vec<Host>,
    log: Vec<(Incarnation, IntentRecord)>,
    running: BTreeMap<WorkerId, u32>,
    workers: Vec<WorkerId>,
    pub most_running: u32,
    pub runs: Vec<Run>,
    pub calls: BTreeMap<CallId, CallRecord>,
    pub drained: BTreeMap<WorkerId, Timestamp>,
}

pub const SLOTS: u32 = 3;

impl World {
    /// Model of `hosts` hosts, each the owner of one shard with two workers.
    pub fn new(seed: u64, hosts: usize, faults: Faults) -> Self {
        let mut world = Self::idle(seed, hosts, faults);
        world.plan();
        world
    }

    /// Model with one non-idempotent request that two hosts get, of which the first dies after `death`.
    pub fn with_death(seed: u64, death: Duration) -> Self {
        let mut world = Self::idle(seed, 3, Faults::NONE);
        world.at(Duration::ZERO, Item::Load);
        world.at(Duration::ZERO, Item::Tick);
        let at = Duration::from_millis(100);
        let mut request = world.request(at);
        request.idempotent = false;
        request.class = Class::Heavy;
        let again = world.rng.random_range(0..60);
        let copy = Item::Call { host: 1, request: request.clone() };
        world.at(at, Item::Call { host: 0, request });
        world.at(at + Duration::from_millis(again), copy);
        world.at(at + death, Item::Die(0));
        world
    }

    fn idle(seed: u64, hosts: usize, faults: Faults) -> Self {
        let mut world = Self {
            now: Timestamp::from_millis(1_000),
            rng: ChaCha8Rng::seed_from_u64(seed),
            faults,
            agenda: BTreeMap::new(),
            number: 0,
            hosts: Vec::new(),
            log: Vec::new(),
            running: BTreeMap::new(),
            workers: Vec::new(),
            most_running: 0,
            runs: Vec::new(),
            calls: BTreeMap::new(),
            drained: BTreeMap::new(),
        };
        for index in 0..hosts {
            world.add_host(index);
        }
        world
    }

    fn add_host(&mut self, index: usize) {
        let id = Incarnation(100 + index as u64);
        self.hosts.push(Host {
            id,
            front: Front::new(id),
            dispatcher: Dispatcher::default(),
            fold: IntentFold::new(id),
            read: 0,
            alive: true,
        });
        let shard: ShardId = format!("rack-{index}").parse().expect("name");
        let epoch = Epoch(10 + index as u64);
        let specs = (0..2).map(|n| BackendSpec {
            worker: format!("w-{index}-{n}").parse().expect("name"),
            shard: shard.clone(),
            services: vec![service()],
            slots: Slots(SLOTS),
            connections: Connections(64),
        });
        let specs: Vec<BackendSpec> = specs.collect();
        self.workers.extend(specs.iter().map(|spec| spec.worker.clone()));
        let grant = Grant {
            subject: Subject::Shard(shard.clone()),
            epoch,
            share: Share::Full,
            tasks: true,
            until: Timestamp::MAX,
            settled: Timestamp::ZERO,
        };
        self.dispatch(index, DispatchEvent::Limits(dispatch_limits()));
        self.dispatch(index, DispatchEvent::Backends(specs));
        self.dispatch(index, DispatchEvent::Granted { shard, grant });
        self.front(index, FrontEvent::Limits(front_limits()));
        self.front(index, FrontEvent::LogAvailable(true));
    }

    fn plan(&mut self) {
        self.at(Duration::ZERO, Item::Load);
        self.at(Duration::ZERO, Item::Tick);
        let mut at = Duration::from_millis(100);
        while at < CALLS {
            self.plan_call(at);
            at += Duration::from_secs_f64(self.rng.random_range(0.0..2.0) / self.faults.rate);
        }
        for _ in 0..self.faults.deaths {
            let host = self.rng.random_range(0..self.hosts.len());
            let at = Duration::from_millis(self.rng.random_range(1_000..8_000));
            self.at(at, Item::Die(host));
        }
        for _ in 0..self.faults.drains {
            let worker = self.workers[self.rng.random_range(0..self.workers.len())].clone();
            let at = Duration::from_millis(self.rng.random_range(1_000..5_000));
            self.at(at, Item::Drain(worker));
        }
    }

    fn request(&mut self, at: Duration) -> Request {
        let wall = START + (self.now + at).as_micros() / 1_000;
        Request {
            id: RequestId::from_parts(WallTime::from_millis(wall), self.rng.random()),
            service: service(),
            class: Class::ALL[self.rng.random_range(0..3)],
            team: team(self.rng.random_range(0..2)),
            idempotent: self.rng.random_bool(0.4),
            deadline: self.now + at + Duration::from_millis(self.rng.random_range(100..3_000)),
            body: Bytes::from(format!("body {}", self.rng.random_range(0..1_000_000))),
        }
    }

    fn plan_call(&mut self, at: Duration) {
        let request = self.request(at);
        let host = self.rng.random_range(0..self.hosts.len());
        if !request.idempotent && self.rng.random_bool(self.faults.resend) {
            let again = at + Duration::from_millis(self.rng.random_range(0..800));
            let mut copy = request.clone();
            copy.deadline = copy.deadline + (again - at);
            if self.rng.random_bool(0.1) {
                copy.body = Bytes::from_static(b"another body");
            }
            let host = self.rng.random_range(0..self.hosts.len());
            self.at(again, Item::Call { host, request: copy });
        }
        self.at(at, Item::Call { host, request });
    }

    /// Runs the model to its end.
    pub fn run(&mut self) {
        let end = self.now + END;
        while let Some(((at, _), item)) = self.agenda.pop_first() {
            if at > end {
                return;
            }
            self.now = at;
            self.step(item);
        }
    }

    fn at(&mut self, after: Duration, item: Item) {
        self.number += 1;
        self.agenda.insert((self.now + after, self.number), item);
    }

    fn step(&mut self, item: Item) {
        match item {
            Item::Front(host, event) => self.front(host, event),
            Item::Dispatch(host, event) => self.dispatch(host, event),
            Item::Ran { worker } => *self.running.entry(worker).or_default() -= 1,
            Item::Append { host, ids, horizon } => self.append(host, ids, horizon),
            Item::Read(host) => self.read(host),
            Item::Call { host, request } => self.call(host, request),
            Item::Drain(worker) => self.drain(&worker),
            Item::Die(host) => self.die(host),
            Item::Tick => {
                for host in 0..self.hosts.len() {
                    self.dispatch(host, DispatchEvent::Tick);
                    self.front(host, FrontEvent::Tick);
                }
                self.at(TICK, Item::Tick);
            }
            Item::Load => {
                for host in 0..self.hosts.len() {
                    self.send_load(host);
                }
                self.at(LOAD, Item::Load);
            }
        }
    }

    fn send_load(&mut self, from: usize) {
        if !self.hosts[from].alive {
            return;
        }
        let (owner, shards) = (self.hosts[from].id, self.hosts[from].dispatcher.load(self.now));
        for to in 0..self.hosts.len() {
            self.send(from, to, Item::Front(to, FrontEvent::Load { owner, shards: shards.clone() }));
        }
    }

    /// Sends a message from host to host, which may be lost, doubled or late. A host reaches itself reliably.
    fn send(&mut self, from: usize, to: usize, item: Item) {
        if from == to {
            return self.at(Duration::ZERO, item);
        }
        if self.rng.random_bool(self.faults.lose) {
            return;
        }
        if self.rng.random_bool(self.faults.double)
            && let Some(copy) = copy_of(&item)
        {
            let delay = self.delay();
            self.at(delay, copy);
        }
        let delay = self.delay();
        self.at(delay, item);
    }

    fn delay(&mut self) -> Duration {
        let longest = if self.rng.random_bool(self.faults.late) { 1_000_000 } else { 5_000 };
        Duration::from_micros(self.rng.random_range(500..longest))
    }

    fn host_of(&self, id: Incarnation) -> usize {
        self.hosts.iter().position(|host| host.id == id).expect("known host")
    }

    fn front(&mut self, host: usize, event: FrontEvent) {
        if !self.hosts[host].alive {
            return;
        }
        let mut out = Vec::new();
        self.hosts[host].front.handle(self.now, event, &mut self.rng, &mut out);
        for action in out {
            self.front_action(host, action);
        }
    }

    fn front_action(&mut self, host: usize, action: FrontAction) {
        match action {
            FrontAction::Respond { call, outcome, .. } => {
                let now = self.now;
                self.calls.get_mut(&call).expect("open call").answers.push((now, outcome));
            }
            FrontAction::Forward { forward, to, shard, request } => {
                let to = self.host_of(to);
                if !self.hosts[to].alive {
                    let event = if self.rng.random_bool(0.5) {
                        FrontEvent::NotSent { forward }
                    } else {
                        FrontEvent::OwnerLost { forward }
                    };
                    return self.at(Duration::from_millis(1), Item::Front(host, event));
                }
                self.send(host, to, Item::Dispatch(to, DispatchEvent::Submit { forward, shard, request }));
            }
            FrontAction::Withdraw { forward, to } => {
                let to = self.host_of(to);
                self.send(host, to, Item::Dispatch(to, DispatchEvent::Withdraw { forward }));
            }
            FrontAction::AppendIntents { ids, horizon } => {
                let delay = Duration::from_millis(self.rng.random_range(2..30));
                self.at(delay, Item::Append { host, ids, horizon });
            }
            FrontAction::QueryAnswer { to, id, digest } => {
                let (to, from) = (self.host_of(to), self.hosts[host].id);
                self.send(host, to, Item::Front(to, FrontEvent::AnswerQuery { from, id, digest }));
            }
            FrontAction::ReplyAnswer { to, id, outcome } => {
                let to = self.host_of(to);
                self.send(host, to, Item::Front(to, FrontEvent::AnswerReply { id, outcome }));
            }
            FrontAction::Decision(_) => {}
        }
    }

    fn dispatch(&mut self, host: usize, event: DispatchEvent) {
        if !self.hosts[host].alive {
            return;
        }
        let mut out = Vec::new();
        self.hosts[host].dispatcher.handle(self.now, event, &mut self.rng, &mut out);
        for action in out {
            self.dispatch_action(host, action);
        }
    }

    fn dispatch_action(&mut self, host: usize, action: DispatchAction) {
        match action {
            DispatchAction::Send { forward, worker, request, .. } => {
                self.start(host, forward, worker, &request);
            }
            DispatchAction::Accepted { forward } => {
                let to = self.host_of(forward.front);
                self.send(host, to, Item::Front(to, FrontEvent::Accepted { forward }));
            }
            DispatchAction::Finished { forward, outcome } => {
                let to = self.host_of(forward.front);
                self.send(host, to, Item::Front(to, FrontEvent::Finished { forward, outcome }));
            }
            DispatchAction::Quiescent { .. } | DispatchAction::Decision(_) => {}
        }
    }

    /// Starts a request at a backend server, or loses its connection.
    fn start(&mut self, host: usize, forward: ForwardId, worker: WorkerId, request: &Request) {
        if self.rng.random_bool(self.faults.refuse) {
            let delay = Duration::from_millis(self.rng.random_range(1..20));
            return self.at(delay, Item::Dispatch(host, DispatchEvent::NotSent { forward }));
        }
        self.runs.push(Run { id: request.id, worker: worker.clone(), at: self.now });
        let running = self.running.entry(worker.clone()).or_default();
        *running += 1;
        self.most_running = self.most_running.max(*running);
        let mean = match request.class {
            Class::Urgent => 10,
            Class::Batch => 60,
            Class::Heavy => 200,
        };
        let run = Duration::from_millis(self.rng.random_range(1..mean * 2));
        if self.rng.random_bool(self.faults.cut) {
            // The backend server goes on for longer than the connection lives.
            let cut = run.mul_f64(self.rng.random_range(0.0..1.0));
            let longer = run.mul_f64(3.0).min(RUN_LIMIT - Duration::from_millis(1));
            self.at(cut, Item::Dispatch(host, DispatchEvent::Broken { forward }));
            return self.at(longer, Item::Ran { worker });
        }
        let answer = Answer { status: 200, body: echo(request) };
        self.at(run, Item::Ran { worker });
        self.at(run, Item::Dispatch(host, DispatchEvent::Answered { forward, answer }));
    }

    fn append(&mut self, host: usize, ids: Vec<RequestId>, horizon: WallTime) {
        // A host that dies after it sent the append leaves the record in the log.
        let producer = self.hosts[host].id;
        if self.rng.random_bool(self.faults.append) {
            self.at(Duration::ZERO, Item::Front(host, FrontEvent::IntentFailed { ids: ids.clone() }));
            if self.rng.random_bool(0.5) {
                return;
            }
        }
        self.log.push((producer, IntentRecord::Intents { ids, horizon }));
        for reader in 0..self.hosts.len() {
            let delay = Duration::from_millis(self.rng.random_range(1..40));
            self.at(delay, Item::Read(reader));
        }
    }

    fn read(&mut self, host: usize) {
        let mut effects = Vec::new();
        let reader = &mut self.hosts[host];
        for (offset, (producer, record)) in self.log.iter().enumerate().skip(reader.read) {
            // Records are read in the form in which the log keeps them.
            let text = serde_json::to_vec(record).expect("record");
            let record = serde_json::from_slice(&text).expect("record");
            reader.fold.apply(Offset(offset as u64), *producer, record, &mut effects);
        }
        reader.read = self.log.len();
        for effect in effects {
            let event = match effect {
                IntentEffect::First { id } => FrontEvent::IntentFirst { id },
                IntentEffect::Duplicate { id, first } => FrontEvent::IntentDuplicate { id, first },
                IntentEffect::TooOld { id } => FrontEvent::IntentTooOld { id },
            };
            self.front(host, event);
        }
    }

    fn call(&mut self, host: usize, request: Request) {
        let call = CallId(self.calls.len() as u64);
        let record = CallRecord { host, request: request.clone(), answers: Vec::new() };
        self.calls.insert(call, record);
        let wall = WallTime::from_millis(START + self.now.as_micros() / 1_000);
        self.front(host, FrontEvent::Call { call, wall, request });
    }

    fn drain(&mut self, worker: &WorkerId) {
        self.drained.insert(worker.clone(), self.now);
        for host in 0..self.hosts.len() {
            let event = DispatchEvent::Draining { worker: worker.clone(), draining: true };
            self.dispatch(host, event);
        }
    }

    /// Ends a host with all it knows. What it has sent already goes on.
    fn die(&mut self, host: usize) {
        let dead = self.hosts[host].id;
        self.hosts[host].alive = false;
        for other in 0..self.hosts.len() {
            self.at(
                Duration::from_millis(2),
                Item::Dispatch(other, DispatchEvent::FrontLost { front: dead }),
            );
            let suspected = FrontEvent::Suspected { incarnation: dead, suspected: true };
            self.at(Duration::from_millis(1_500), Item::Front(other, suspected));
        }
    }

    /// Hosts that live at the end.
    pub fn alive(&self) -> BTreeSet<usize> {
        (0..self.hosts.len()).filter(|host| self.hosts[*host].alive).collect()
    }

    /// Violations of the invariants, from the records of the fakes.
    pub fn violations(&self) -> Vec<String> {
        let mut found = Vec::new();
        self.check_answers(&mut found);
        self.check_runs(&mut found);
        found
    }

    fn check_answers(&self, found: &mut Vec<String>) {
        let alive = self.alive();
        for (call, record) in &self.calls {
            let least = usize::from(alive.contains(&record.host));
            if record.answers.len() > 1 || record.answers.len() < least {
                found.push(format!("I9: call {} has answers {:?}", call.0, record.answers));
            }
            for (at, outcome) in &record.answers {
                if *at > record.request.deadline {
                    found.push(format!("I9: call {} was answered at {at}, after its deadline", call.0));
                }
                if let Outcome::Answered(answer) = outcome
                    && answer.body != echo(&record.request)
                {
                    found.push(format!("I3: call {} got {:?}", call.0, answer.body));
                }
            }
        }
    }

    fn check_runs(&self, found: &mut Vec<String>) {
        if self.most_running > SLOTS {
            found.push(format!("I1: {} requests ran at once on {SLOTS} slots", self.most_running));
        }
        let mut runs: BTreeMap<RequestId, usize> = BTreeMap::new();
        for run in &self.runs {
            *runs.entry(run.id).or_default() += 1;
            if self.drained.get(&run.worker).is_some_and(|drained| run.at > *drained) {
                found.push(format!("I6: {} got {} after it drained", run.worker, run.id));
            }
        }
        for (id, calls) in self.calls_by_id() {
            let ran = runs.get(&id).copied().unwrap_or(0);
            if !calls[0].request.idempotent && ran > 1 {
                found.push(format!("I5: {id} ran {ran} times"));
            }
            let refused = |call: &&CallRecord| matches!(call.answers[..], [(_, Outcome::NotRun(_))]);
            if ran > 0 && calls.iter().all(refused) {
                found.push(format!("I4: {id} ran, and every call was told not-run"));
            }
        }
    }

    fn calls_by_id(&self) -> BTreeMap<RequestId, Vec<&CallRecord>> {
        let mut calls: BTreeMap<RequestId, Vec<&CallRecord>> = BTreeMap::new();
        for record in self.calls.values() {
            calls.entry(record.request.id).or_default().push(record);
        }
        calls
    }

    /// Calls that were answered by a backend server.
    pub fn answered(&self) -> usize {
        let answered = |record: &&CallRecord| matches!(record.answers[..], [(_, Outcome::Answered(_))]);
        self.calls.values().filter(answered).count()
    }
}

fn copy_of(item: &Item) -> Option<Item> {
    match item {
        Item::Front(host, event) => Some(Item::Front(*host, event.clone())),
        Item::Dispatch(host, event) => Some(Item::Dispatch(*host, event.clone())),
        _ => None,
    }
}

fn echo(request: &Request) -> Bytes {
    Bytes::from([request.id.to_string().as_bytes(), b" ", &request.body].concat())
}

fn service() -> ServiceId {
    "drumline".parse().expect("name")
}

fn team(number: usize) -> TeamId {
    format!("day-{number}").parse().expect("name")
}

fn dispatch_limits() -> DispatchLimits {
    let limits = |share| ClassLimits {
        share,
        queue: 40,
        run_limit: RUN_LIMIT,
        deadline_limit: Duration::from_secs(60),
    };
    DispatchLimits {
        classes: [(Class::Urgent, limits(0.4)), (Class::Batch, limits(0.3)), (Class::Heavy, limits(0.3))]
            .into(),
        teams: [(team(0), 1), (team(1), 1)].into(),
    }
}

fn front_limits() -> FrontLimits {
    FrontLimits {
        services: [service()].into(),
        teams: [team(0), team(1)].into(),
        id_window: Duration::from_secs(900),
        clock_skew: Duration::from_secs(2),
        retry_share: 0.1,
        intent_rate: 20,
        intent_batch: 64,
    }
}
