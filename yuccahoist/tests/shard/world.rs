//! Owner in model time, with a store and workers that keep the platform's rules and check the system's promises.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yuccahoist::shard::desk::{Ask, Desk, Lane};
use yuccahoist::shard::message::{
    Action, ActiveRun, Answer, CallId, EndKind, EndedRun, Event, OrderError, Report, Request, WorkerEntry,
};
use yuccahoist::shard::owner::Restored;
use yuccahoist::shard::record::{Entry, JobState, Ownership, Record};
use yuccahoist::shard::spec::{AdviceCost, JobSpec, Queue, StepSpec};
use yuccahoist::shard::{Epoch, JobKey, Life, Owner, OwnerOptions, StepKey, TaskName};
use yuccahoist::unit::{Resources, Timestamp};

/// Step of model time.
const STEP_MS: u64 = 5;
/// Duration of a write.
const WRITE_MS: u64 = 9;
/// Way of a call to a worker and back.
const CALL_MS: u64 = 5;
/// Time limit of an order.
const ORDER_LIMIT_MS: u64 = 600;
/// Time that a stop takes.
const STOP_MS: u64 = 300;
/// Capacity of a worker.
pub const CAPACITY: Resources = Resources::new(16_000, 64_000, 0);

/// Job of one step with `tasks` tasks that take `millis` each and fill a quarter of a worker.
pub fn spec(tasks: u32, millis: u64) -> JobSpec {
    let step = StepSpec {
        tasks,
        need: Resources::new(4_000, 8_000, 0),
        estimate: Duration::from_millis(millis),
        ..StepSpec::default()
    };
    JobSpec { queue: queue(), text: "text".into(), steps: vec![step], repeat: None }
}

pub fn queue() -> Queue {
    Queue {
        name: "queue".into(),
        service: "service".into(),
        priority: 1,
        attempts: 3,
        stretch: 2.0,
        target: Duration::from_millis(1_000),
        advice: None,
    }
}

/// What goes wrong, each as a probability.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    /// An order is not answered and is executed seconds later.
    pub late: f64,
    /// A run fails.
    pub failing: f64,
}

#[derive(Debug, Clone)]
struct Run {
    ends: Timestamp,
    kind: EndKind,
    need: Resources,
    started: Timestamp,
    gang: bool,
    /// Whether the run fills, and at which speed in percent.
    fills: bool,
    share: u64,
    /// Target of the tail of a run that serves, milliseconds.
    tail: Option<u64>,
}

/// Member of a gang with its worker.
type Member = (Life, TaskName, Run);

#[derive(Debug)]
struct Worker {
    entry: WorkerEntry,
    token: Epoch,
    deadline: u64,
    offset: u64,
    runs: BTreeMap<(TaskName, u32), Run>,
    ends: Vec<EndedRun>,
    number: u64,
    /// Ends up to this number were not noted before the lease expired, and count as lost.
    voided: u64,
    highest: BTreeMap<TaskName, u32>,
    hold: Option<(Epoch, Timestamp, u64)>,
    cut: Timestamp,
    /// Calls arrive and answers do not.
    mute: bool,
}

impl Worker {
    fn clock(&self, now: Timestamp) -> u64 {
        now.as_micros() / 1_000 + self.offset
    }

    fn end(&mut self, task: TaskName, run: u32, kind: EndKind) {
        self.runs.remove(&(task, run));
        let highest = self.highest.entry(task).or_default();
        *highest = (*highest).max(run);
        self.number += 1;
        self.ends.push(EndedRun { number: self.number, task, run, kind, saved: String::new() });
    }

    fn report(&self, now: Timestamp) -> Report {
        // Each filler at full speed adds 40 ms to a tail of 60 ms.
        let fillers = self.runs.values().filter(|r| r.fills);
        let tail = 60 + fillers.map(|r| r.share * 40 / 100).sum::<u64>();
        let active = self.runs.iter().map(|((task, run), state)| {
            let load = state.tail.map_or(0, |_| tail);
            let length = state.ends.since(state.started).as_millis().max(1);
            let percent = u32::try_from(now.since(state.started).as_millis() * 100 / length).unwrap_or(100);
            ActiveRun { task: *task, run: *run, saved: String::new(), percent: percent.min(100), load }
        });
        Report {
            born: Some(self.entry.life.born),
            clock: self.clock(now),
            active: active.collect(),
            ended: self.ends.clone(),
        }
    }
}

#[derive(Debug)]
enum Delivery {
    Order(Epoch, Action),
    Event(Epoch, Event),
    Advice(Epoch, Lane, u64),
}

/// Owner, store and workers.
pub struct World {
    pub now: Timestamp,
    pub rng: ChaCha8Rng,
    pub faults: Faults,
    pub answers: BTreeMap<u64, Answer>,
    /// Longest state that callers were shown of each job.
    pub shown: BTreeMap<JobKey, JobState>,
    /// Starts by job.
    pub starts: BTreeMap<JobKey, u32>,
    pub store_up: bool,
    pub advised: u32,
    /// Hosts that make calls for recommendations, if calls take their time.
    pub desk: Option<Desk>,
    owner: Option<Owner>,
    epoch: Epoch,
    records: BTreeMap<String, Vec<u8>>,
    write: Option<(Timestamp, Vec<Entry>)>,
    workers: BTreeMap<Life, Worker>,
    specs: BTreeMap<JobKey, Arc<JobSpec>>,
    done: BTreeSet<TaskName>,
    noted: BTreeSet<TaskName>,
    accepted: BTreeSet<JobKey>,
    /// Gang runs that have been whole, and those of which a member has ended.
    whole: BTreeSet<(StepKey, u32)>,
    broken: BTreeSet<(StepKey, u32)>,
    deliveries: BTreeMap<(Timestamp, u64), Delivery>,
    number: u64,
}

impl World {
    pub fn new(seed: u64, workers: u32) -> Self {
        let mut world = Self {
            now: Timestamp::from_millis(100_000),
            rng: ChaCha8Rng::seed_from_u64(seed),
            faults: Faults::default(),
            answers: BTreeMap::new(),
            shown: BTreeMap::new(),
            starts: BTreeMap::new(),
            store_up: true,
            advised: 0,
            desk: None,
            owner: None,
            epoch: Epoch(0),
            records: BTreeMap::new(),
            write: None,
            workers: BTreeMap::new(),
            specs: BTreeMap::new(),
            done: BTreeSet::new(),
            noted: BTreeSet::new(),
            accepted: BTreeSet::new(),
            whole: BTreeSet::new(),
            broken: BTreeSet::new(),
            deliveries: BTreeMap::new(),
            number: 0,
        };
        for number in 0..workers {
            let life = Life::new(&format!("w{number}"), 1);
            let entry = WorkerEntry {
                life: life.clone(),
                service: "service".into(),
                address: format!("w{number}:1"),
                zone: "zone".into(),
                rack: Some(format!("rack-{}", number / 4).into()),
                labels: [].into(),
                capacity: CAPACITY,
                draining: false,
                remaining: None,
            };
            let worker = Worker {
                entry,
                token: Epoch(0),
                deadline: 0,
                offset: u64::from(number) * 1_000,
                runs: BTreeMap::new(),
                ends: Vec::new(),
                number: 0,
                voided: 0,
                highest: BTreeMap::new(),
                hold: None,
                cut: Timestamp::ZERO,
                mute: false,
            };
            world.workers.insert(life, worker);
        }
        world.take_over(true);
        world
    }

    fn wall(&self) -> u64 {
        1_790_000_000_000 + self.now.as_micros() / 1_000
    }

    /// A new host owns the shard; a write under way takes effect or not.
    pub fn take_over(&mut self, write_lands: bool) {
        if let Some((_, entries)) = self.write.take()
            && write_lands
        {
            self.apply(entries);
        }
        self.epoch = Epoch(self.epoch.0 + 1);
        let ownership = Ownership { epoch: self.epoch, address: "a:1".into(), host: "a".into() };
        let mut restored = Restored::default();
        for (key, value) in &self.records {
            let entry = Entry { key: key.clone(), value: Some(value.clone()) };
            restored.add(Record::try_from(&entry).expect("own record"));
        }
        let options = OwnerOptions::new(ownership, Duration::from_secs(10));
        self.owner = Some(Owner::restore(options, restored, self.now, self.wall()));
        let entries: Vec<WorkerEntry> = self.workers.values().map(|w| w.entry.clone()).collect();
        for entry in entries {
            self.event(Event::Worker(entry));
        }
    }

    pub fn submit(&mut self, number: u64, spec: JobSpec) {
        let spec = Arc::new(spec);
        self.specs.insert(JobKey(number), spec.clone());
        self.call(number, Request::Submit(JobKey(number), spec));
    }

    pub fn call(&mut self, number: u64, request: Request) {
        self.event(Event::Call(CallId { link: 0, number }, request));
    }

    pub fn event(&mut self, event: Event) {
        let wall = self.wall();
        let mut actions = Vec::new();
        if let Some(owner) = &mut self.owner {
            if let Some(desk) = &self.desk {
                owner.set_lanes(desk.lanes());
            }
            owner.handle(self.now, wall, event, &mut actions);
        }
        for action in actions {
            self.perform(action);
        }
    }

    fn later(&mut self, millis: u64, delivery: Delivery) {
        self.number += 1;
        self.deliveries.insert((self.now + Duration::from_millis(millis), self.number), delivery);
    }

    fn perform(&mut self, action: Action) {
        let epoch = self.epoch;
        match action {
            Action::Reply(call, answer) => {
                self.note_answer(call.number, &answer);
                self.answers.insert(call.number, answer);
            }
            Action::Append(entries) => {
                assert!(self.write.is_none(), "one write at a time");
                self.write = Some((self.now + Duration::from_millis(WRITE_MS), entries));
            }
            Action::Start { .. } | Action::Stop { .. } if self.rng.random_bool(self.faults.late) => {
                let silent = silent(&action);
                let delay = self.rng.random_range(2_000..12_000);
                self.later(delay, Delivery::Order(epoch, action));
                self.later(ORDER_LIMIT_MS, Delivery::Event(epoch, silent));
            }
            Action::Start { .. } | Action::Stop { .. } | Action::Pace { .. } | Action::Hold { .. } => {
                self.later(CALL_MS / 2, Delivery::Order(epoch, action));
            }
            Action::Advise { step, workers, cost, latest } if self.desk.is_some() => {
                self.advised += 1;
                self.desk
                    .iter_mut()
                    .for_each(|d| d.add(Ask { step, workers: workers.clone(), cost, latest }));
                self.advise();
            }
            Action::Advise { step, workers, .. } => {
                self.advised += 1;
                let good = workers.iter().map(|life| (life.id.clone(), "ticket".to_owned())).collect();
                self.later(20, Delivery::Event(epoch, Event::Advised(step, workers, Some(good))));
            }
            Action::Deposed(epoch) => assert!(epoch < self.epoch, "only a replaced owner is fenced"),
        }
    }

    /// Begins the calls for which a host is free.
    fn advise(&mut self) {
        let epoch = self.epoch;
        while let Some((lane, number, ask)) = self.desk.as_mut().and_then(Desk::take) {
            let millis = u64::try_from(ask.cost.as_millis()).expect("short");
            self.later(millis, Delivery::Advice(epoch, lane, number));
        }
    }

    fn note_answer(&mut self, number: u64, answer: &Answer) {
        match answer {
            Answer::Accepted => {
                let key = format!("j{}", JobKey(number));
                let finished = self.records.contains_key(&format!("p{}", JobKey(number)));
                assert!(self.records.contains_key(&key) || finished, "an accepted job is stored");
                self.accepted.insert(JobKey(number));
            }
            Answer::Refused { .. } => {
                assert!(
                    !self.records.contains_key(&format!("j{}", JobKey(number))),
                    "a refused job is not stored"
                );
                assert!(!self.starts.contains_key(&JobKey(number)), "a refused job never ran");
            }
            _ => {}
        }
    }

    fn apply(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            match entry.value {
                Some(value) => drop(self.records.insert(entry.key, value)),
                None => drop(self.records.remove(&entry.key)),
            }
        }
    }

    /// Cuts a worker off for a while, in both directions or for answers only.
    pub fn cut(&mut self, number: usize, millis: u64, one_way: bool) {
        let until = self.now + Duration::from_millis(millis);
        if let Some(worker) = self.workers.values_mut().nth(number) {
            worker.cut = until;
            worker.mute = one_way;
        }
    }

    /// Lets model time pass.
    pub fn run(&mut self, millis: u64) {
        let end = self.now + Duration::from_millis(millis);
        while self.now < end {
            self.now = self.now + Duration::from_millis(STEP_MS);
            self.work();
            while let Some(((at, _), _)) = self.deliveries.first_key_value()
                && *at <= self.now
            {
                let (_, delivery) = self.deliveries.pop_first().expect("one");
                self.deliver(delivery);
            }
            if self.store_up
                && let Some((_, entries)) = self.write.take_if(|(at, _)| *at <= self.now)
            {
                self.apply(entries);
                self.event(Event::Stored);
            }
            self.event(Event::Tick);
        }
    }

    /// Time passes for all but the owner, which notices it by its own clock first.
    pub fn freeze(&mut self, millis: u64) {
        let end = self.now + Duration::from_millis(millis);
        while self.now < end {
            self.now = self.now + Duration::from_millis(STEP_MS);
            self.work();
        }
        self.event(Event::Tick);
    }

    /// Ends, lapses and waiting reports of the workers.
    fn work(&mut self) {
        let (now, epoch) = (self.now, self.epoch);
        self.work_gangs();
        let mut reports = Vec::new();
        for (life, worker) in &mut self.workers {
            let clock = worker.clock(now);
            if worker.deadline <= clock {
                worker.voided = worker.number;
                for (task, run) in worker.runs.keys().copied().collect::<Vec<_>>() {
                    worker.end(task, run, EndKind::Lapsed);
                }
            }
            let single = |r: &Run| !r.gang || r.kind == EndKind::Stopped;
            let over = worker.runs.iter().filter(|(_, r)| r.ends <= now && single(r));
            let over: Vec<_> = over.map(|(k, r)| (*k, r.kind)).collect();
            for ((task, run), kind) in over {
                worker.end(task, run, kind);
                if kind == EndKind::Done {
                    self.done.insert(task);
                }
            }
            if let Some((from, until, last)) = worker.hold
                && (until <= now || worker.ends.iter().any(|e| e.number > last))
            {
                worker.hold = None;
                if worker.cut <= now {
                    reports.push((from, Event::Held(life.clone(), Ok(worker.report(now)))));
                } else {
                    reports.push((from, Event::Held(life.clone(), Err(OrderError::Silent))));
                }
            }
        }
        for (from, report) in reports {
            if from == epoch {
                self.later(CALL_MS / 2, Delivery::Event(from, report));
            }
        }
    }

    /// Ends of gangs: all members work from the start of the last one on, and end together.
    fn work_gangs(&mut self) {
        let mut gangs: BTreeMap<(StepKey, u32), Vec<Member>> = BTreeMap::new();
        for (life, worker) in &self.workers {
            for ((task, run), state) in worker.runs.iter().filter(|(_, r)| r.gang) {
                let members = gangs.entry((task.step, *run)).or_default();
                members.push((life.clone(), *task, state.clone()));
            }
        }
        for ((step, run), members) in gangs {
            let spec = &self.specs[&step.job].steps[step.step as usize];
            let whole = members.len() == spec.tasks as usize;
            let broken = self.broken.contains(&(step, run));
            let started = members.iter().map(|(_, _, r)| r.started).max().unwrap_or_default();
            let first = members.iter().map(|(_, _, r)| r.started).min().unwrap_or_default();
            let failing = members.iter().position(|(_, _, r)| r.kind == EndKind::Failed);
            if whole {
                self.whole.insert((step, run));
            }
            let over = whole && self.now >= started + spec.estimate;
            let alone = !self.whole.contains(&(step, run)) && self.now >= first + Duration::from_secs(3);
            let left = !whole && self.whole.contains(&(step, run));
            if !(over || alone || broken || left) {
                continue;
            }
            self.broken.insert((step, run));
            for (index, (life, task, state)) in members.into_iter().enumerate() {
                let kind = match (over, failing) {
                    _ if state.kind == EndKind::Stopped => continue,
                    (true, None) => EndKind::Done,
                    (true, Some(member)) if member == index => EndKind::Failed,
                    _ if alone => EndKind::Alone,
                    _ => EndKind::Broken,
                };
                if kind == EndKind::Done {
                    self.done.extend((0..spec.tasks).map(|index| step.task(index)));
                }
                if let Some(worker) = self.workers.get_mut(&life) {
                    worker.end(task, run, kind);
                }
            }
        }
    }

    fn deliver(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Event(epoch, event) => {
                if epoch == self.epoch {
                    self.event(event);
                }
            }
            Delivery::Advice(epoch, lane, number) => {
                let Some(ask) = self.desk.as_mut().and_then(|d| d.finish(lane, number)) else { return };
                let good = ask.workers.iter().map(|life| (life.id.clone(), "ticket".to_owned())).collect();
                if epoch == self.epoch {
                    self.event(Event::Advised(ask.step, ask.workers, Some(good)));
                }
                self.advise();
            }
            Delivery::Order(epoch, action) => {
                let life = target(&action);
                let worker = &self.workers[&life];
                if worker.cut > self.now && !worker.mute {
                    self.later(ORDER_LIMIT_MS, Delivery::Event(epoch, silent(&action)));
                    return;
                }
                let cut = worker.cut > self.now;
                if let Some(event) = self.execute(epoch, action.clone()) {
                    let event = if cut { silent(&action) } else { event };
                    let delay = if cut { ORDER_LIMIT_MS } else { CALL_MS / 2 };
                    self.later(delay, Delivery::Event(epoch, event));
                }
            }
        }
    }

    fn execute(&mut self, epoch: Epoch, action: Action) -> Option<Event> {
        let now = self.now;
        let life = target(&action);
        let worker = self.workers.get_mut(&life)?;
        let fenced = epoch < worker.token;
        worker.token = worker.token.max(epoch);
        match action {
            Action::Hold { last, deadline, wait, .. } => {
                if fenced {
                    return Some(Event::Held(life, Err(OrderError::Fenced)));
                }
                for end in worker
                    .ends
                    .iter()
                    .filter(|e| (worker.voided + 1..=last).contains(&e.number) && e.kind == EndKind::Done)
                {
                    self.noted.insert(end.task);
                }
                worker.ends.retain(|e| e.number > last);
                worker.deadline = worker.deadline.max(deadline.unwrap_or_default());
                worker.hold = Some((epoch, now + wait, last));
                None
            }
            Action::Stop { task, run, .. } => {
                if fenced {
                    return Some(Event::Stopped(task, run, life, Err(OrderError::Fenced)));
                }
                match worker.runs.get_mut(&(task, run)) {
                    Some(state) => {
                        state.ends = state.ends.min(now + Duration::from_millis(STOP_MS));
                        state.kind = EndKind::Stopped;
                    }
                    None => {
                        let highest = worker.highest.entry(task).or_default();
                        *highest = (*highest).max(run);
                    }
                }
                Some(Event::Stopped(task, run, life, Ok(())))
            }
            Action::Pace { task, run, share, .. } => {
                if fenced {
                    return Some(Event::Paced(task, run, life, Err(OrderError::Fenced)));
                }
                if let Some(state) = worker.runs.get_mut(&(task, run)) {
                    state.share = u64::from(share);
                }
                Some(Event::Paced(task, run, life, Ok(())))
            }
            Action::Start { task, run, deadline, spec, .. } => {
                let error = if fenced {
                    Some(OrderError::Fenced)
                } else if worker.runs.contains_key(&(task, run)) {
                    return Some(Event::Started(task, run, life, Ok(())));
                } else if worker.highest.get(&task).is_some_and(|highest| run <= *highest) {
                    Some(OrderError::Old)
                } else if deadline <= worker.clock(now) {
                    Some(OrderError::Late)
                } else {
                    None
                };
                if let Some(error) = error {
                    return Some(Event::Started(task, run, life, Err(error)));
                }
                worker.deadline = worker.deadline.max(deadline);
                self.begin(&life, task, run, &spec);
                Some(Event::Started(task, run, life, Ok(())))
            }
            _ => None,
        }
    }

    /// Starts a run and checks the promises.
    fn begin(&mut self, life: &Life, task: TaskName, run: u32, spec: &JobSpec) {
        let shape = &spec.steps[task.step.step as usize];
        assert!(shape.copies || !self.noted.contains(&task), "{task} starts after its end was noted");
        for (other, worker) in &self.workers {
            let twice = worker.runs.keys().any(|(t, _)| *t == task);
            assert!(!twice || shape.copies, "{task} runs on {other} and starts as run {run} on {life}");
        }
        for after in &shape.after {
            let step = StepKey { step: *after, ..task.step };
            let all =
                (0..spec.steps[*after as usize].tasks).all(|index| self.done.contains(&step.task(index)));
            assert!(all, "{task} starts before step {after} is done");
        }
        *self.starts.entry(task.step.job).or_default() += 1;
        let kind = if self.rng.random_bool(self.faults.failing) { EndKind::Failed } else { EndKind::Done };
        let worker = self.workers.get_mut(life).expect("known worker");
        let used = worker.runs.values().fold(Resources::ZERO, |sum, r| sum + r.need) + shape.reserved();
        assert!(used.fits(CAPACITY), "{task} overloads {life}: {used}");
        let there = worker.runs.keys().filter(|(t, _)| t.step == task.step).count();
        assert!(
            shape.spread.is_none_or(|most| there < most as usize),
            "{task} is beside {there} others on {life}"
        );
        let state = Run {
            ends: self.now + if shape.lasting { Duration::from_secs(100_000) } else { shape.estimate },
            kind,
            need: shape.reserved(),
            started: self.now,
            gang: shape.gang,
            fills: shape.fills,
            share: 100,
            tail: shape.tail.and_then(|t| u64::try_from(t.as_millis()).ok()),
        };
        worker.runs.insert((task, run), state);
    }

    /// State of a job as the owner shows it.
    pub fn state(&mut self, job: u64) -> Option<JobState> {
        let number = u64::MAX - job;
        self.call(number, Request::Query(JobKey(job)));
        let state = match self.answers.get(&number) {
            Some(Answer::State(state)) => Some(*state),
            _ => None,
        };
        if let Some(state) = state {
            let before = self.shown.insert(JobKey(job), state);
            let turned = before.is_some_and(|b| b.is_final() && b != state);
            assert!(!turned, "job {job} was shown as {before:?} and is {state:?}");
        }
        state
    }

    /// Whether the store has accepted a job.
    pub fn is_accepted(&self, job: u64) -> bool {
        self.accepted.contains(&JobKey(job))
    }

    /// Speeds of the runs that fill, in percent.
    pub fn speeds(&self) -> Vec<u64> {
        let runs = self.workers.values().flat_map(|w| w.runs.values());
        runs.filter(|r| r.fills).map(|r| r.share).collect()
    }

    /// Worst tail of the runs that serve, as a part of its target in percent.
    pub fn worst_tail(&self) -> u64 {
        let part = |w: &Worker| {
            let report = w.report(self.now);
            let load = |task: &TaskName| report.active.iter().find(|a| a.task == *task).map_or(0, |a| a.load);
            let runs = w.runs.iter().filter_map(|((task, _), r)| Some(load(task) * 100 / r.tail?));
            runs.max().unwrap_or(0)
        };
        self.workers.values().map(part).max().unwrap_or(0)
    }

    /// Worker number of the runs of a task.
    pub fn places(&self, job: u64) -> Vec<usize> {
        let has = |w: &Worker| w.runs.keys().any(|(t, _)| t.step.job == JobKey(job));
        self.workers.values().enumerate().filter(|(_, w)| has(w)).map(|(n, _)| n).collect()
    }

    /// Gives the first step a recommendation to wait for.
    pub fn with_advice(mut spec: JobSpec) -> JobSpec {
        spec.queue.advice = Some(AdviceCost {
            decide: Duration::from_millis(20),
            each: Duration::ZERO,
            validity: Duration::from_millis(2_500),
        });
        spec
    }
}

fn target(action: &Action) -> Life {
    match action {
        Action::Hold { life, .. }
        | Action::Start { life, .. }
        | Action::Stop { life, .. }
        | Action::Pace { life, .. } => life.clone(),
        other => unreachable!("{other:?} has no worker"),
    }
}

fn silent(action: &Action) -> Event {
    let error = OrderError::Silent;
    match action.clone() {
        Action::Hold { life, .. } => Event::Held(life, Err(error)),
        Action::Start { life, task, run, .. } => Event::Started(task, run, life, Err(error)),
        Action::Stop { life, task, run, .. } => Event::Stopped(task, run, life, Err(error)),
        Action::Pace { life, task, run, .. } => Event::Paced(task, run, life, Err(error)),
        other => unreachable!("{other:?} has no worker"),
    }
}
