//! Simulation of fronts, dispatchers, an intents log and backend servers that exchange unreliable messages in virtual
//! time.
//!
//! The simulated backend servers and callers record each run and each answer. The checks use only these records, never
//! the counters of the code under test.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bytes::Bytes;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yuccahoist::dispatch::{
    BackendSpec, ClassLimits, DispatchAction, DispatchEvent, DispatchLimits, Dispatcher, ForwardId,
};
use yuccahoist::front::{CallId, Front, FrontAction, FrontEvent, FrontLimits};
use yuccahoist::id::{Epoch, Incarnation, Offset, RequestId, ServiceId, ShardId, Subject, TeamId, WorkerId};
use yuccahoist::intent::{IntentEffect, IntentFold, IntentRecord};
use yuccahoist::ownership::{Grant, Share};
use yuccahoist::request::{Answer, Class, Outcome, Request};
use yuccahoist::state_machine::StateMachine;
use yuccahoist::stream::Fold;
use yuccahoist::unit::{Connections, Slots, Timestamp, WallTime};

/// Wall-clock time at the start of the simulation, milliseconds.
const START_WALL_MS: u64 = 1_790_000_000_000;
const TICK_INTERVAL: Duration = Duration::from_millis(10);
const LOAD_INTERVAL: Duration = Duration::from_millis(500);
const RUN_LIMIT: Duration = Duration::from_secs(2);
/// Time during which callers send requests.
const CALL_PERIOD: Duration = Duration::from_secs(8);
/// Duration of the simulation, after which every call must have been answered.
const RUN_DURATION: Duration = Duration::from_secs(20);

/// Probabilities of faults, from 0 to 1, and scale of the simulation.
#[derive(Debug, Clone)]
pub struct Faults {
    /// A message between hosts is lost.
    pub message_loss: f64,
    /// A message between hosts arrives twice.
    pub duplication: f64,
    /// A message between hosts is delayed by up to 1 s.
    pub message_delay: f64,
    /// A connection to a backend server fails before anything is sent.
    pub connect_failure: f64,
    /// A connection to a backend server breaks while the request runs.
    pub connection_break: f64,
    /// An append is reported as failed: the record is lost, or it takes effect nevertheless.
    pub append_failure: f64,
    /// A non-idempotent request is sent again to a random host, in some cases with a different body.
    pub resend: f64,
    /// Number of host crashes at random times.
    pub host_crashes: usize,
    /// Number of worker drains at random times.
    pub worker_drains: usize,
    /// Mean number of requests per second.
    pub rate: f64,
}

impl Faults {
    /// No faults, at a moderate request rate.
    pub const NONE: Self = Self {
        message_loss: 0.0,
        duplication: 0.0,
        message_delay: 0.0,
        connect_failure: 0.0,
        connection_break: 0.0,
        append_failure: 0.0,
        resend: 0.0,
        host_crashes: 0,
        worker_drains: 0,
        rate: 60.0,
    };
}

enum SimEvent {
    Front(usize, FrontEvent),
    Dispatch(usize, DispatchEvent),
    RunEnded { worker: WorkerId },
    Append { host: usize, ids: Vec<RequestId>, horizon: WallTime },
    Read(usize),
    Call { host: usize, request: Request },
    Drain(WorkerId),
    Crash(usize),
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

/// Start of a request at a backend server.
#[derive(Debug, Clone)]
pub struct Run {
    pub id: RequestId,
    pub worker: WorkerId,
    pub at: Timestamp,
}

/// Call with the answers that its caller received.
#[derive(Debug, Clone)]
pub struct CallRecord {
    pub host: usize,
    pub request: Request,
    pub answers: Vec<(Timestamp, Outcome)>,
}

/// Simulated cluster with its pending events and records.
pub struct World {
    now: Timestamp,
    rng: ChaCha8Rng,
    faults: Faults,
    schedule: BTreeMap<(Timestamp, u64), SimEvent>,
    next_sequence: u64,
    hosts: Vec<Host>,
    log: Vec<(Incarnation, IntentRecord)>,
    running: BTreeMap<WorkerId, u32>,
    workers: Vec<WorkerId>,
    pub max_running: u32,
    pub runs: Vec<Run>,
    pub calls: BTreeMap<CallId, CallRecord>,
    pub drained: BTreeMap<WorkerId, Timestamp>,
}

pub const WORKER_SLOTS: u32 = 3;

impl World {
    /// Creates `hosts` hosts, each the owner of one shard with two workers, and schedules random calls and faults.
    pub fn new(seed: u64, hosts: usize, faults: Faults) -> Self {
        let mut world = Self::without_events(seed, hosts, faults);
        world.schedule_all();
        world
    }

    /// Creates three hosts and one non-idempotent request that the first two receive; the first crashes `crash` after
    /// the request arrived.
    pub fn with_crash(seed: u64, crash: Duration) -> Self {
        let mut world = Self::without_events(seed, 3, Faults::NONE);
        world.at(Duration::ZERO, SimEvent::Load);
        world.at(Duration::ZERO, SimEvent::Tick);
        let at = Duration::from_millis(100);
        let mut request = world.request(at);
        request.idempotent = false;
        request.class = Class::Heavy;
        let resend_delay = world.rng.random_range(0..60);
        let copy = SimEvent::Call { host: 1, request: request.clone() };
        world.at(at, SimEvent::Call { host: 0, request });
        world.at(at + Duration::from_millis(resend_delay), copy);
        world.at(at + crash, SimEvent::Crash(0));
        world
    }

    fn without_events(seed: u64, hosts: usize, faults: Faults) -> Self {
        let mut world = Self {
            now: Timestamp::from_millis(1_000),
            rng: ChaCha8Rng::seed_from_u64(seed),
            faults,
            schedule: BTreeMap::new(),
            next_sequence: 0,
            hosts: Vec::new(),
            log: Vec::new(),
            running: BTreeMap::new(),
            workers: Vec::new(),
            max_running: 0,
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
        let shard: ShardId = format!("rack-{index}").parse().expect("valid name");
        let epoch = Epoch(10 + index as u64);
        let specs = (0..2).map(|n| BackendSpec {
            worker: format!("w-{index}-{n}").parse().expect("valid name"),
            shard: shard.clone(),
            services: vec![service()],
            slots: Slots(WORKER_SLOTS),
            connections: Connections(64),
        });
        let specs: Vec<BackendSpec> = specs.collect();
        self.workers.extend(specs.iter().map(|spec| spec.worker.clone()));
        let grant = Grant {
            subject: Subject::Shard(shard.clone()),
            epoch,
            share: Share::Full,
            may_start_tasks: true,
            valid_until: Timestamp::MAX,
            settled_at: Timestamp::ZERO,
        };
        self.dispatch(index, DispatchEvent::Limits(dispatch_limits()));
        self.dispatch(index, DispatchEvent::Backends(specs));
        self.dispatch(index, DispatchEvent::Granted { shard, grant });
        self.front(index, FrontEvent::Limits(front_limits()));
        self.front(index, FrontEvent::LogAvailable(true));
    }

    fn schedule_all(&mut self) {
        self.at(Duration::ZERO, SimEvent::Load);
        self.at(Duration::ZERO, SimEvent::Tick);
        let mut at = Duration::from_millis(100);
        while at < CALL_PERIOD {
            self.schedule_call(at);
            at += Duration::from_secs_f64(self.rng.random_range(0.0..2.0) / self.faults.rate);
        }
        for _ in 0..self.faults.host_crashes {
            let host = self.rng.random_range(0..self.hosts.len());
            let at = Duration::from_millis(self.rng.random_range(1_000..8_000));
            self.at(at, SimEvent::Crash(host));
        }
        for _ in 0..self.faults.worker_drains {
            let worker = self.workers[self.rng.random_range(0..self.workers.len())].clone();
            let at = Duration::from_millis(self.rng.random_range(1_000..5_000));
            self.at(at, SimEvent::Drain(worker));
        }
    }

    fn request(&mut self, at: Duration) -> Request {
        let wall = START_WALL_MS + (self.now + at).as_micros() / 1_000;
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

    fn schedule_call(&mut self, at: Duration) {
        let request = self.request(at);
        let host = self.rng.random_range(0..self.hosts.len());
        if !request.idempotent && self.rng.random_bool(self.faults.resend) {
            let resent_at = at + Duration::from_millis(self.rng.random_range(0..800));
            let mut copy = request.clone();
            copy.deadline = copy.deadline + (resent_at - at);
            if self.rng.random_bool(0.1) {
                copy.body = Bytes::from_static(b"another body");
            }
            let host = self.rng.random_range(0..self.hosts.len());
            self.at(resent_at, SimEvent::Call { host, request: copy });
        }
        self.at(at, SimEvent::Call { host, request });
    }

    /// Runs the simulation for [`RUN_DURATION`].
    pub fn run(&mut self) {
        let end = self.now + RUN_DURATION;
        while let Some(((at, _), sim_event)) = self.schedule.pop_first() {
            if at > end {
                return;
            }
            self.now = at;
            self.process(sim_event);
        }
    }

    fn at(&mut self, after: Duration, sim_event: SimEvent) {
        self.next_sequence += 1;
        self.schedule.insert((self.now + after, self.next_sequence), sim_event);
    }

    fn process(&mut self, sim_event: SimEvent) {
        match sim_event {
            SimEvent::Front(host, event) => self.front(host, event),
            SimEvent::Dispatch(host, event) => self.dispatch(host, event),
            SimEvent::RunEnded { worker } => *self.running.entry(worker).or_default() -= 1,
            SimEvent::Append { host, ids, horizon } => self.append(host, ids, horizon),
            SimEvent::Read(host) => self.read(host),
            SimEvent::Call { host, request } => self.call(host, request),
            SimEvent::Drain(worker) => self.drain(&worker),
            SimEvent::Crash(host) => self.crash_host(host),
            SimEvent::Tick => {
                for host in 0..self.hosts.len() {
                    self.dispatch(host, DispatchEvent::Tick);
                    self.front(host, FrontEvent::Tick);
                }
                self.at(TICK_INTERVAL, SimEvent::Tick);
            }
            SimEvent::Load => {
                for host in 0..self.hosts.len() {
                    self.send_load(host);
                }
                self.at(LOAD_INTERVAL, SimEvent::Load);
            }
        }
    }

    fn send_load(&mut self, from: usize) {
        if !self.hosts[from].alive {
            return;
        }
        let (owner, shards) = (self.hosts[from].id, self.hosts[from].dispatcher.load(self.now));
        for to in 0..self.hosts.len() {
            self.send(from, to, SimEvent::Front(to, FrontEvent::Load { owner, shards: shards.clone() }));
        }
    }

    /// Sends a message between hosts, which may be lost, duplicated or delayed. Messages of a host to itself are
    /// reliable.
    fn send(&mut self, from: usize, to: usize, sim_event: SimEvent) {
        if from == to {
            return self.at(Duration::ZERO, sim_event);
        }
        if self.rng.random_bool(self.faults.message_loss) {
            return;
        }
        if self.rng.random_bool(self.faults.duplication)
            && let Some(copy) = duplicate_of(&sim_event)
        {
            let delay = self.delay();
            self.at(delay, copy);
        }
        let delay = self.delay();
        self.at(delay, sim_event);
    }

    fn delay(&mut self) -> Duration {
        let longest = if self.rng.random_bool(self.faults.message_delay) { 1_000_000 } else { 5_000 };
        Duration::from_micros(self.rng.random_range(500..longest))
    }

    fn host_of(&self, id: Incarnation) -> usize {
        self.hosts.iter().position(|host| host.id == id).expect("host with this incarnation")
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
                self.calls.get_mut(&call).expect("recorded call").answers.push((now, outcome));
            }
            FrontAction::Forward { forward, to, shard, request } => {
                let to = self.host_of(to);
                if !self.hosts[to].alive {
                    let event = if self.rng.random_bool(0.5) {
                        FrontEvent::NotSent { forward }
                    } else {
                        FrontEvent::OwnerLost { forward }
                    };
                    return self.at(Duration::from_millis(1), SimEvent::Front(host, event));
                }
                self.send(
                    host,
                    to,
                    SimEvent::Dispatch(to, DispatchEvent::Submit { forward, shard, request }),
                );
            }
            FrontAction::Withdraw { forward, to } => {
                let to = self.host_of(to);
                self.send(host, to, SimEvent::Dispatch(to, DispatchEvent::Withdraw { forward }));
            }
            FrontAction::AppendIntents { ids, horizon } => {
                let delay = Duration::from_millis(self.rng.random_range(2..30));
                self.at(delay, SimEvent::Append { host, ids, horizon });
            }
            FrontAction::QueryAnswer { to, id, digest } => {
                let (to, from) = (self.host_of(to), self.hosts[host].id);
                self.send(host, to, SimEvent::Front(to, FrontEvent::AnswerQuery { from, id, digest }));
            }
            FrontAction::ReplyAnswer { to, id, outcome } => {
                let to = self.host_of(to);
                self.send(host, to, SimEvent::Front(to, FrontEvent::AnswerReply { id, outcome }));
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
                self.send(host, to, SimEvent::Front(to, FrontEvent::Accepted { forward }));
            }
            DispatchAction::Finished { forward, outcome } => {
                let to = self.host_of(forward.front);
                self.send(host, to, SimEvent::Front(to, FrontEvent::Finished { forward, outcome }));
            }
            DispatchAction::Quiescent { .. } | DispatchAction::Decision(_) => {}
        }
    }

    /// Starts a request at a backend server; the connection may fail before or during the run.
    fn start(&mut self, host: usize, forward: ForwardId, worker: WorkerId, request: &Request) {
        if self.rng.random_bool(self.faults.connect_failure) {
            let delay = Duration::from_millis(self.rng.random_range(1..20));
            return self.at(delay, SimEvent::Dispatch(host, DispatchEvent::NotSent { forward }));
        }
        self.runs.push(Run { id: request.id, worker: worker.clone(), at: self.now });
        let running = self.running.entry(worker.clone()).or_default();
        *running += 1;
        self.max_running = self.max_running.max(*running);
        let mean = match request.class {
            Class::Urgent => 10,
            Class::Batch => 60,
            Class::Heavy => 200,
        };
        let run = Duration::from_millis(self.rng.random_range(1..mean * 2));
        if self.rng.random_bool(self.faults.connection_break) {
            // The backend server continues after the connection has broken.
            let break_delay = run.mul_f64(self.rng.random_range(0.0..1.0));
            let remaining_run = run.mul_f64(3.0).min(RUN_LIMIT - Duration::from_millis(1));
            self.at(break_delay, SimEvent::Dispatch(host, DispatchEvent::ConnectionBroken { forward }));
            return self.at(remaining_run, SimEvent::RunEnded { worker });
        }
        let answer = Answer { status: 200, body: expected_body(request) };
        self.at(run, SimEvent::RunEnded { worker });
        self.at(run, SimEvent::Dispatch(host, DispatchEvent::Answered { forward, answer }));
    }

    fn append(&mut self, host: usize, ids: Vec<RequestId>, horizon: WallTime) {
        // An append that was sent before its host crashed still takes effect.
        let producer = self.hosts[host].id;
        if self.rng.random_bool(self.faults.append_failure) {
            self.at(Duration::ZERO, SimEvent::Front(host, FrontEvent::IntentFailed { ids: ids.clone() }));
            if self.rng.random_bool(0.5) {
                return;
            }
        }
        self.log.push((producer, IntentRecord::Intents { ids, horizon }));
        for reader in 0..self.hosts.len() {
            let delay = Duration::from_millis(self.rng.random_range(1..40));
            self.at(delay, SimEvent::Read(reader));
        }
    }

    fn read(&mut self, host: usize) {
        let mut effects = Vec::new();
        let reader = &mut self.hosts[host];
        for (offset, (producer, record)) in self.log.iter().enumerate().skip(reader.read) {
            // Decodes the record from its stored form.
            let text = serde_json::to_vec(record).expect("encodable record");
            let record = serde_json::from_slice(&text).expect("decodable record");
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
        let wall = WallTime::from_millis(START_WALL_MS + self.now.as_micros() / 1_000);
        self.front(host, FrontEvent::Call { call, wall, request });
    }

    fn drain(&mut self, worker: &WorkerId) {
        self.drained.insert(worker.clone(), self.now);
        for host in 0..self.hosts.len() {
            let event = DispatchEvent::Draining { worker: worker.clone(), draining: true };
            self.dispatch(host, event);
        }
    }

    /// Crashes a host, which loses its state. Messages that it has already sent are still delivered.
    fn crash_host(&mut self, host: usize) {
        let dead = self.hosts[host].id;
        self.hosts[host].alive = false;
        for other in 0..self.hosts.len() {
            self.at(
                Duration::from_millis(2),
                SimEvent::Dispatch(other, DispatchEvent::FrontLost { front: dead }),
            );
            let suspected = FrontEvent::Suspected { incarnation: dead, suspected: true };
            self.at(Duration::from_millis(1_500), SimEvent::Front(other, suspected));
        }
    }

    /// Returns the indices of the hosts that have not crashed.
    pub fn running_hosts(&self) -> BTreeSet<usize> {
        (0..self.hosts.len()).filter(|host| self.hosts[*host].alive).collect()
    }

    /// Returns all violations of the invariants, based on the recorded runs and answers.
    pub fn violations(&self) -> Vec<String> {
        let mut violations = Vec::new();
        self.check_answers(&mut violations);
        self.check_runs(&mut violations);
        violations
    }

    fn check_answers(&self, violations: &mut Vec<String>) {
        let running_hosts = self.running_hosts();
        for (call, record) in &self.calls {
            let min_answers = usize::from(running_hosts.contains(&record.host));
            if record.answers.len() > 1 || record.answers.len() < min_answers {
                violations.push(format!("I9: call {} has answers {:?}", call.0, record.answers));
            }
            for (at, outcome) in &record.answers {
                if *at > record.request.deadline {
                    violations.push(format!("I9: call {} was answered at {at}, after its deadline", call.0));
                }
                if let Outcome::Answered(answer) = outcome
                    && answer.body != expected_body(&record.request)
                {
                    violations.push(format!("I3: call {} got {:?}", call.0, answer.body));
                }
            }
        }
    }

    fn check_runs(&self, violations: &mut Vec<String>) {
        if self.max_running > WORKER_SLOTS {
            violations.push(format!("I1: {} requests ran at once on {WORKER_SLOTS} slots", self.max_running));
        }
        let mut runs: BTreeMap<RequestId, usize> = BTreeMap::new();
        for run in &self.runs {
            *runs.entry(run.id).or_default() += 1;
            if self.drained.get(&run.worker).is_some_and(|drained| run.at > *drained) {
                violations.push(format!("I6: {} got {} after it drained", run.worker, run.id));
            }
        }
        for (id, calls) in self.calls_by_id() {
            let ran = runs.get(&id).copied().unwrap_or(0);
            if !calls[0].request.idempotent && ran > 1 {
                violations.push(format!("I5: {id} ran {ran} times"));
            }
            let refused = |call: &&CallRecord| matches!(call.answers[..], [(_, Outcome::NotRun(_))]);
            if ran > 0 && calls.iter().all(refused) {
                violations.push(format!("I4: {id} ran, and every call was told not-run"));
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

    /// Returns the number of calls that got the answer of a backend server.
    pub fn answered(&self) -> usize {
        let answered = |record: &&CallRecord| matches!(record.answers[..], [(_, Outcome::Answered(_))]);
        self.calls.values().filter(answered).count()
    }
}

fn duplicate_of(sim_event: &SimEvent) -> Option<SimEvent> {
    match sim_event {
        SimEvent::Front(host, event) => Some(SimEvent::Front(*host, event.clone())),
        SimEvent::Dispatch(host, event) => Some(SimEvent::Dispatch(*host, event.clone())),
        _ => None,
    }
}

fn expected_body(request: &Request) -> Bytes {
    Bytes::from([request.id.to_string().as_bytes(), b" ", &request.body].concat())
}

fn service() -> ServiceId {
    "drumline".parse().expect("valid name")
}

fn team(number: usize) -> TeamId {
    format!("day-{number}").parse().expect("valid name")
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
