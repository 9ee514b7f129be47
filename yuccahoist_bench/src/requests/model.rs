//! One run: arrivals, fronts, dispatchers and service times on one agenda.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::ops::Range;
use std::time::Duration;

use hdrhistogram::Histogram;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, LogNormal};
use yuccahoist::dispatch::{
    BackendSpec, ClassLimits, ClassShares, DispatchAction, DispatchEvent, DispatchLimits, Dispatcher, Fifo,
    ForwardId, LoadSummary, QueuePolicy, StrictPriority,
};
use yuccahoist::front::{
    CallId, Front, FrontAction, FrontEvent, FrontLimits, LoadAware, RandomOwner, Route, RouteCandidate,
    RoutePolicy,
};
use yuccahoist::id::{Epoch, Incarnation, RequestId, ServiceId, ShardId, Subject, TeamId};
use yuccahoist::ownership::{Grant, Share};
use yuccahoist::request::{Answer, Class, Outcome, Refusal, Request};
use yuccahoist::state_machine::StateMachine;
use yuccahoist::unit::{Connections, Slots, Timestamp, WallTime};

use super::deployment::{Deployment, SLOTS, Scenario, System, Traffic, WORKERS};

/// Entry hosts.
const HOSTS: usize = 8;
/// Racks, each a shard.
const RACKS: usize = 6;
/// Time between ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Time between load summaries to all fronts.
const SUMMARY: Duration = Duration::from_millis(500);
/// Age up to which a summary is sent again with a reply.
const SUMMARY_AGE: Duration = Duration::from_millis(1);
/// Wall-clock time at the start.
const WALL: u64 = 1_790_000_000_000;

/// Figures of one class and team.
#[derive(Debug)]
pub struct Count {
    /// Time from arrival to dispatch, of the requests dispatched while counting, microseconds.
    pub wait: Histogram<u64>,
    /// Arrivals.
    pub sent: u64,
    /// Answered in time.
    pub answered: u64,
    /// Refused at arrival, or pushed out of a full queue.
    pub refused: u64,
    /// Expired in the queue, or not answered in time.
    pub late: u64,
    /// Slot time that dispatched requests took, seconds.
    pub busy: f64,
}

/// Figures of a run, per class and team.
pub type Tally = BTreeMap<(Class, usize), Count>;

impl Count {
    fn new() -> Self {
        let wait = Histogram::new(3).expect("three digits are allowed");
        Self { wait, sent: 0, answered: 0, refused: 0, late: 0, busy: 0.0 }
    }

    /// Share of the requests answered in time.
    #[must_use]
    pub fn goodput(&self) -> f64 {
        self.answered as f64 / self.sent.max(1) as f64
    }

    /// Adds the figures of another team or class.
    pub fn add(&mut self, other: &Self) {
        self.wait.add(&other.wait).expect("same bounds");
        self.sent += other.sent;
        self.answered += other.answered;
        self.refused += other.refused;
        self.late += other.late;
        self.busy += other.busy;
    }
}

impl Default for Count {
    fn default() -> Self {
        Self::new()
    }
}

/// Own shard only; the routing of a per-host quota.
#[derive(Debug)]
struct OwnShard;

impl RoutePolicy for OwnShard {
    fn name(&self) -> &'static str {
        "own-shard"
    }

    fn choose(&self, _class: Class, candidates: &[RouteCandidate], _rng: &mut dyn Rng) -> Option<Route> {
        let chosen = candidates.iter().position(|candidate| candidate.is_local)?;
        Some(Route { chosen, runner_up: None, reason: "own shard" })
    }
}

#[derive(Clone, Copy)]
enum Item {
    Arrive(usize),
    End { host: usize, forward: ForwardId },
    Tick,
    Summaries,
}

enum Message {
    Front(usize, FrontEvent),
    Dispatch(usize, DispatchEvent),
}

struct Entry {
    class: Class,
    team: usize,
    /// Service time, seconds.
    run: f64,
    arrived: Timestamp,
    counted: bool,
}

struct Stream {
    class: Class,
    team: usize,
    /// Arrivals before and during the flood.
    gaps: (Exp<f64>, Exp<f64>),
    run: LogNormal<f64>,
    traffic: Traffic,
}

struct Model {
    now: Timestamp,
    /// Randomness of decisions.
    rng: ChaCha8Rng,
    /// Randomness of arrivals and service times, which are the same for every system.
    traffic: ChaCha8Rng,
    scenario: Scenario,
    flood: Timestamp,
    counted: Range<Timestamp>,
    agenda: BinaryHeap<Reverse<(Timestamp, u64, usize)>>,
    items: BTreeMap<u64, Item>,
    number: u64,
    fronts: Vec<Front>,
    dispatchers: Vec<Dispatcher>,
    summaries: Vec<(Timestamp, Vec<LoadSummary>)>,
    streams: Vec<Stream>,
    calls: BTreeMap<u64, Entry>,
    next_call: u64,
    inbox: VecDeque<Message>,
    tally: Tally,
    service: ServiceId,
    teams: [TeamId; 2],
}

/// Runs one system in one scenario.
///
/// # Panics
///
/// Panics when the deployment is not valid.
#[must_use]
pub fn run(deployment: &Deployment, scenario: Scenario, system: System, seed: u64) -> Tally {
    let mut model = Model::new(deployment, scenario, system, seed);
    model.start();
    let end = model.counted.end;
    while let Some(Reverse((now, number, _))) = model.agenda.pop() {
        if now >= end {
            break;
        }
        model.now = now;
        if let Some(item) = model.items.remove(&number) {
            model.step(item);
            model.settle();
        }
    }
    model.tally
}

fn at(seconds: f64) -> Timestamp {
    Timestamp::ZERO + Duration::from_secs_f64(seconds)
}

fn incarnation(host: usize) -> Incarnation {
    Incarnation(host as u64 + 1)
}

fn host_of(incarnation: Incarnation) -> usize {
    usize::try_from(incarnation.0 - 1).expect("small number")
}

impl Model {
    fn new(deployment: &Deployment, scenario: Scenario, system: System, seed: u64) -> Self {
        let route = || -> Box<dyn RoutePolicy> {
            match system {
                System::RandomBackend => Box::new(RandomOwner),
                System::HostQuota => Box::new(OwnShard),
                System::Ours | System::Fifo | System::StrictPriority => Box::new(LoadAware),
            }
        };
        let queue = || -> Box<dyn QueuePolicy> {
            match system {
                System::Fifo | System::RandomBackend => Box::new(Fifo::default()),
                System::StrictPriority => Box::new(StrictPriority::default()),
                System::Ours | System::HostQuota => Box::new(ClassShares::default()),
            }
        };
        let times = scenario.timeline();
        let mut model = Self {
            now: Timestamp::ZERO,
            rng: ChaCha8Rng::seed_from_u64(seed),
            traffic: ChaCha8Rng::seed_from_u64(!seed),
            scenario,
            flood: at(times.flood),
            counted: at(times.count)..at(times.end),
            agenda: BinaryHeap::new(),
            items: BTreeMap::new(),
            number: 0,
            fronts: (0..HOSTS).map(|host| Front::with_policy(incarnation(host), route())).collect(),
            dispatchers: (0..HOSTS).map(|_| Dispatcher::new(queue())).collect(),
            summaries: vec![(Timestamp::ZERO, Vec::new()); HOSTS],
            streams: streams(deployment, scenario),
            calls: BTreeMap::new(),
            next_call: 0,
            inbox: VecDeque::new(),
            tally: Tally::new(),
            service: "service".parse().expect("name"),
            teams: ["day".parse().expect("name"), "night".parse().expect("name")],
        };
        model.configure(deployment, system);
        model
    }

    fn configure(&mut self, deployment: &Deployment, system: System) {
        // A queue per worker gets its part of the queue of a rack.
        let shards_per_fleet = if system == System::RandomBackend { WORKERS as usize } else { RACKS };
        let part = |queue: usize| (queue * RACKS / shards_per_fleet).max(1);
        let limit = |traffic: &Traffic| ClassLimits {
            share: traffic.share,
            queue: part(traffic.queue),
            run_limit: Duration::from_secs(3_600),
            deadline_limit: Duration::from_secs(3_600),
        };
        let classes = deployment.classes.iter().map(|(class, traffic)| (*class, limit(traffic))).collect();
        let limits =
            DispatchLimits { classes, teams: self.teams.iter().map(|team| (team.clone(), 1)).collect() };
        for host in 0..HOSTS {
            let limits = DispatchEvent::Limits(limits.clone());
            self.inbox.push_back(Message::Dispatch(host, limits));
            self.inbox.push_back(Message::Front(host, FrontEvent::Limits(self.front_limits())));
            let specs = self.backends(system, host);
            self.grant(host, specs);
        }
        self.settle();
    }

    fn front_limits(&self) -> FrontLimits {
        FrontLimits {
            services: [self.service.clone()].into(),
            teams: self.teams.iter().cloned().collect(),
            id_window: Duration::from_secs(900),
            clock_skew: Duration::from_secs(2),
            retry_share: 0.1,
            intent_rate: 20,
            intent_batch: 100,
        }
    }

    /// Workers of the shards that a host owns.
    fn backends(&self, system: System, host: usize) -> Vec<BackendSpec> {
        let spec = |worker: u32, shard: String, slots: u32| BackendSpec {
            worker: format!("w{worker}").parse().expect("name"),
            shard: shard.parse().expect("name"),
            services: vec![self.service.clone()],
            slots: Slots(slots),
            connections: Connections(64),
        };
        let per_rack = WORKERS / RACKS as u32;
        let all = 0..WORKERS;
        match system {
            System::HostQuota => {
                all.map(|w| spec(w, format!("quota-{host}"), SLOTS / HOSTS as u32)).collect()
            }
            System::RandomBackend => {
                let own = all.filter(|worker| *worker as usize % HOSTS == host);
                own.map(|worker| spec(worker, format!("worker-{worker}"), SLOTS)).collect()
            }
            System::Ours | System::Fifo | System::StrictPriority => {
                let own = all.filter(|worker| (worker / per_rack) as usize == host);
                own.map(|worker| spec(worker, format!("rack-{host}"), SLOTS)).collect()
            }
        }
    }

    fn grant(&mut self, host: usize, specs: Vec<BackendSpec>) {
        let mut shards: Vec<ShardId> = specs.iter().map(|spec| spec.shard.clone()).collect();
        shards.dedup();
        self.inbox.push_back(Message::Dispatch(host, DispatchEvent::Backends(specs)));
        for (index, shard) in shards.into_iter().enumerate() {
            let grant = Grant {
                subject: Subject::Shard(shard.clone()),
                epoch: Epoch((host * 100 + index) as u64),
                share: Share::Full,
                may_start_tasks: true,
                valid_until: Timestamp::MAX,
                settled_at: Timestamp::ZERO,
            };
            self.inbox.push_back(Message::Dispatch(host, DispatchEvent::Granted { shard, grant }));
        }
    }

    fn start(&mut self) {
        self.plan(Duration::ZERO, Item::Summaries);
        self.plan(Duration::ZERO, Item::Tick);
        for index in 0..self.streams.len() {
            self.plan_arrival(index);
        }
    }

    fn plan(&mut self, after: Duration, item: Item) {
        self.number += 1;
        self.agenda.push(Reverse((self.now + after, self.number, 0)));
        self.items.insert(self.number, item);
    }

    fn plan_arrival(&mut self, index: usize) {
        let (normal, flood) = self.streams[index].gaps;
        let mut gap = if self.now < self.flood { normal } else { flood }.sample(&mut self.traffic);
        if self.now < self.flood && self.now + Duration::from_secs_f64(gap) > self.flood {
            // Arrivals have no memory, so the gap may be drawn again from the start of the flood.
            let rest = self.flood.since(self.now).as_secs_f64();
            gap = rest + flood.sample(&mut self.traffic);
        }
        self.plan(Duration::from_secs_f64(gap), Item::Arrive(index));
    }

    fn step(&mut self, item: Item) {
        match item {
            Item::Arrive(index) => {
                self.arrive(index);
                self.plan_arrival(index);
            }
            Item::End { host, forward } => {
                let answer = Answer { status: 200, body: Default::default() };
                self.inbox.push_back(Message::Dispatch(host, DispatchEvent::Answered { forward, answer }));
            }
            Item::Tick => {
                for host in 0..HOSTS {
                    self.inbox.push_back(Message::Dispatch(host, DispatchEvent::Tick));
                    self.inbox.push_back(Message::Front(host, FrontEvent::Tick));
                }
                self.plan(TICK_INTERVAL, Item::Tick);
            }
            Item::Summaries => {
                for owner in 0..HOSTS {
                    (0..HOSTS).for_each(|front| self.send_summary(owner, front));
                }
                self.plan(SUMMARY, Item::Summaries);
            }
        }
    }

    fn send_summary(&mut self, owner: usize, front: usize) {
        let now = self.now;
        let (made, summaries) = &mut self.summaries[owner];
        if summaries.is_empty() || now.since(*made) >= SUMMARY_AGE {
            (*made, *summaries) = (now, self.dispatchers[owner].load(now));
        }
        let event = FrontEvent::Load { owner: incarnation(owner), shards: summaries.clone() };
        self.inbox.push_back(Message::Front(front, event));
    }

    fn arrive(&mut self, index: usize) {
        let stream = &self.streams[index];
        let (class, team, deadline) = (stream.class, stream.team, stream.traffic.deadline);
        let number = self.next_call;
        self.next_call += 1;
        let counted = self.counted.contains(&self.now);
        let mut run = stream.run.sample(&mut self.traffic);
        if self.scenario == Scenario::Misjudged {
            let mean = (10.0 - 0.1) / (2.0 * f64::ln(10.0));
            run *= 10_f64.powf(self.traffic.random_range(-1.0..1.0)) / mean;
        }
        let entry = Entry { class, team, run, arrived: self.now, counted };
        if counted {
            self.tally.entry((class, team)).or_default().sent += 1;
        }
        self.calls.insert(number, entry);
        let wall = WallTime::from_millis(WALL + self.now.as_micros() / 1_000);
        let mut random = [0; 10];
        random[4..].copy_from_slice(&number.to_be_bytes()[2..]);
        let request = Request {
            id: RequestId::from_parts(wall, random),
            service: self.service.clone(),
            class,
            team: self.teams[team].clone(),
            idempotent: true,
            deadline: self.now + deadline,
            body: Default::default(),
        };
        let host = self.traffic.random_range(0..HOSTS);
        let event = FrontEvent::Call { call: CallId(number), wall, request };
        self.inbox.push_back(Message::Front(host, event));
    }

    /// Handles messages until none is left; they take no time.
    fn settle(&mut self) {
        while let Some(message) = self.inbox.pop_front() {
            match message {
                Message::Front(host, event) => self.front(host, event),
                Message::Dispatch(host, event) => self.dispatch(host, event),
            }
        }
    }

    fn front(&mut self, host: usize, event: FrontEvent) {
        let mut out = Vec::new();
        self.fronts[host].handle(self.now, event, &mut self.rng, &mut out);
        for action in out {
            match action {
                FrontAction::Forward { forward, to, shard, request } => {
                    let event = DispatchEvent::Submit { forward, shard, request };
                    self.inbox.push_back(Message::Dispatch(host_of(to), event));
                }
                FrontAction::Withdraw { forward, to } => {
                    let event = DispatchEvent::Withdraw { forward };
                    self.inbox.push_back(Message::Dispatch(host_of(to), event));
                }
                FrontAction::Respond { call, outcome, .. } => self.respond(call, &outcome),
                _ => {}
            }
        }
    }

    fn dispatch(&mut self, host: usize, event: DispatchEvent) {
        let mut out = Vec::new();
        self.dispatchers[host].handle(self.now, event, &mut self.rng, &mut out);
        for action in out {
            match action {
                DispatchAction::Send { forward, request, .. } => self.send(host, forward, &request),
                DispatchAction::Accepted { forward } => {
                    let event = FrontEvent::Accepted { forward };
                    self.inbox.push_back(Message::Front(host_of(forward.front), event));
                }
                DispatchAction::Finished { forward, outcome } => {
                    let front = host_of(forward.front);
                    self.send_summary(host, front);
                    self.inbox.push_back(Message::Front(front, FrontEvent::Finished { forward, outcome }));
                }
                DispatchAction::Quiescent { .. } | DispatchAction::Decision(_) => {}
            }
        }
    }

    fn send(&mut self, host: usize, forward: ForwardId, request: &Request) {
        let bytes = request.id.as_uuid().into_bytes();
        let number = bytes[10..].iter().fold(0_u64, |number, byte| number << 8 | u64::from(*byte));
        let Some(entry) = self.calls.get(&number) else { return };
        let run = entry.run;
        let (start, end) = (
            self.now.max(self.counted.start),
            (self.now + Duration::from_secs_f64(run)).min(self.counted.end),
        );
        let count = self.tally.entry((entry.class, entry.team)).or_default();
        if self.now >= self.counted.start {
            let wait = u64::try_from(self.now.since(entry.arrived).as_micros()).unwrap_or(u64::MAX);
            count.wait.record(wait).expect("histogram resizes");
        }
        count.busy += end.since(start).as_secs_f64();
        self.plan(Duration::from_secs_f64(run), Item::End { host, forward });
    }

    fn respond(&mut self, call: CallId, outcome: &Outcome) {
        let Some(entry) = self.calls.remove(&call.0) else { return };
        let now = self.now;
        let count = self.tally.entry((entry.class, entry.team)).or_default();
        // Answers are counted when they come; refusals and delays by the arrival of their request.
        if matches!(outcome, Outcome::Answered(_)) && now >= self.counted.start {
            count.answered += 1;
        }
        match outcome {
            Outcome::Answered(_) => {}
            Outcome::NotRun(Refusal::Expired) | Outcome::Unknown(_) => count.late += u64::from(entry.counted),
            Outcome::NotRun(_) => count.refused += u64::from(entry.counted),
        }
    }
}

fn streams(deployment: &Deployment, scenario: Scenario) -> Vec<Stream> {
    let normal = scenario.rates(deployment, false);
    let flood = scenario.rates(deployment, true);
    let pairs = normal.into_iter().zip(flood);
    let streams = pairs.map(|((class, team, before), (_, _, after))| {
        let traffic = deployment.classes[&class];
        let location = traffic.mean.ln() - traffic.sigma * traffic.sigma / 2.0;
        Stream {
            class,
            team,
            gaps: (Exp::new(before).expect("positive rate"), Exp::new(after).expect("positive rate")),
            run: LogNormal::new(location, traffic.sigma).expect("positive deviation"),
            traffic,
        }
    });
    streams.collect()
}
