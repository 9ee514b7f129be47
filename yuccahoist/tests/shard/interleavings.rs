//! Seeded search for a broken rule in schedules that mix departures, restarts, cuts, takeovers, late calls and new jobs.
//!
//! Each seed draws a few events; then the cluster is left alone, and every accepted job must complete. A seed that fails
//! prints the fewest events that still fail. `YUCCAHOIST_SCHEDULES=FIRST-LAST` plays these seeds instead of the usual ones.
//! A second search plays schedules of restarts with calls on their way, followed by cuts and changes of owner.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::ops::Range;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::thread;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yuccahoist::shard::JobKey;
use yuccahoist::shard::message::{Answer, Request};
use yuccahoist::shard::record::JobState;
use yuccahoist::shard::spec::{JobSpec, StepSpec};
use yuccahoist::unit::Resources;

use super::cluster::{
    CallFault, CallKind, Departure, Faults, MAX_LEASE_MS, SimulatedCluster, in_workspace, spec,
};

/// Variable that names the seeds to play.
const SEEDS_VARIABLE: &str = "YUCCAHOIST_SCHEDULES";
/// Seeds of a usual run.
const SEEDS: Range<u64> = 0..300;
/// Seeds that are played at a time.
const THREADS: u64 = 3;
/// Number of workers. The last one neither leaves nor shrinks, so that every job can complete.
const WORKERS: usize = 4;
/// Time in which the events of a schedule begin, milliseconds.
const SCHEDULE_MS: u64 = 12_000;
/// Longest time after which a call is executed late, milliseconds.
const LATE_MS: u64 = 11_500;
/// Least time from the last event to the end: a late call, and the reports on it, milliseconds.
const CALM_MS: u64 = 14_000;
/// Time from the last event in which all jobs complete, milliseconds.
const MAX_CALM_MS: u64 = 120_000;
/// Interval of queries, milliseconds.
const QUERY_MS: u64 = 500;
/// Workers that are lost until a task may be given up.
const GIVE_UP_LOSSES: usize = 2;
/// Capacity of a worker that has shrunk.
const SHRUNK: Resources = Resources::new(6_000, 64_000, 0);
/// Cap of the workspace of some jobs.
const CAP: Resources = Resources::new(9_000, 64_000, 0);
/// Offset of the number of the call that cancels a job from the number of the job.
const CANCEL_CALLS: u64 = 1_000;

/// Job that a schedule submits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    Single,
    Gang,
    Checkpoints,
    LongRunning,
    Speculative,
    /// At most one task on a worker.
    Spread,
    /// A second step starts after the first.
    TwoSteps,
    /// Tasks count against the cap of a workspace.
    Capped,
    /// Each start needs a ticket.
    Recommended,
}

/// Event of a schedule; times are in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Event {
    Submit { kind: Kind, tasks: u32, millis: u64 },
    Cancel { job: u64 },
    Drain { worker: usize, remaining: Option<u64> },
    Leave { worker: usize, remaining: Option<u64>, after: u64, departure: Departure },
    Expire { worker: usize, back_after: u64 },
    Remove { worker: usize, back_after: u64 },
    Cut { worker: usize, millis: u64, one_way: bool },
    Restart { worker: usize, again_after: Option<u64> },
    Crash { worker: usize, down: u64, again_after: Option<u64> },
    Clock { worker: usize, rate: f64, timer_delay: u64 },
    TakeOver { write_lands: bool },
    FreezeOwner { millis: u64 },
    StoreDown { millis: u64 },
    Fault { worker: usize, kind: CallKind, fault: CallFault },
    LoseAnswers { millis: u64, delay: u64 },
    Shrink { worker: usize },
    StepClock { millis: i64 },
}

impl Event {
    /// Returns the times after the event at which a worker restarts.
    fn restarts(self) -> Option<(usize, [Option<u64>; 2])> {
        match self {
            Self::Restart { worker, again_after } => Some((worker, [Some(0), again_after])),
            Self::Crash { worker, down, again_after } => {
                Some((worker, [Some(down), again_after.map(|after| after + down)]))
            }
            _ => None,
        }
    }

    /// Returns the number of workers that are lost, or may be taken for lost.
    fn lost_workers(self) -> usize {
        match self {
            Self::Leave { .. } | Self::Cut { .. } => 1,
            _ => self.restarts().map_or(0, |(_, times)| times.into_iter().flatten().count()),
        }
    }
}

/// Seed with its events, each with its time in milliseconds, and the settings of its cluster.
#[derive(Debug, Clone)]
struct Schedule {
    seed: u64,
    registry_delay: u64,
    /// Longest lease that a worker takes, milliseconds.
    max_lease: u64,
    events: Vec<(u64, Event)>,
}

impl fmt::Display for Schedule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { seed, registry_delay, max_lease, .. } = self;
        write!(f, "seed {seed}, registry delay up to {registry_delay} ms, leases up to {max_lease} ms")?;
        self.events.iter().try_for_each(|(at, event)| write!(f, "\n  {at:>6} ms {event:?}"))
    }
}

impl Schedule {
    fn draw(seed: u64) -> Self {
        let rng = &mut ChaCha8Rng::seed_from_u64(seed);
        let registry_delay = if rng.random_bool(0.5) { 0 } else { rng.random_range(0..2_000) };
        let mut events = Vec::new();
        for _ in 0..rng.random_range(1..4) {
            events.push((rng.random_range(100..2_000), draw_job(rng)));
        }
        for _ in 0..rng.random_range(4..=10) {
            events.push((rng.random_range(500..SCHEDULE_MS), draw_event(rng)));
        }
        events.sort_by_key(|(at, _)| *at);
        Self { seed, registry_delay, max_lease: MAX_LEASE_MS, events }
    }

    /// Draws a schedule in which each worker that restarts has calls on their way, and in which it is cut off and the owner
    /// changes soon afterwards.
    fn draw_restarts(seed: u64) -> Self {
        let rng = &mut ChaCha8Rng::seed_from_u64(seed);
        let registry_delay = if rng.random_bool(0.7) { 0 } else { rng.random_range(0..1_000) };
        let max_lease = if rng.random_bool(0.5) { 6_000 } else { MAX_LEASE_MS };
        let mut events = Vec::new();
        for _ in 0..rng.random_range(1..4) {
            events.push((rng.random_range(100..4_000), draw_long_job(rng)));
        }
        for _ in 0..rng.random_range(1..=2) {
            draw_restart(rng, &mut events);
        }
        for _ in 0..rng.random_range(0..3) {
            events.push((rng.random_range(500..SCHEDULE_MS), draw_event(rng)));
        }
        events.sort_by_key(|(at, _)| *at);
        Self { seed, registry_delay, max_lease, events }
    }

    /// Draws the same with steps of the hosts' time of day, some before a change of owner, and more changes of owner.
    fn draw_steps(seed: u64) -> Self {
        let mut schedule = Self::draw_restarts(seed);
        let rng = &mut ChaCha8Rng::seed_from_u64(!seed);
        let changes: Vec<_> = schedule
            .events
            .iter()
            .filter(|(_, e)| matches!(e, Event::TakeOver { .. }))
            .map(|(at, _)| *at)
            .collect();
        for at in changes {
            let steps = [-30_000, 30_000, 30_000, 3_600_000];
            let millis = steps[rng.random_range(0..steps.len())];
            schedule.events.push((at.saturating_sub(rng.random_range(1..500)), Event::StepClock { millis }));
            if rng.random_bool(0.4) {
                let again = at + rng.random_range(50..3_000);
                schedule.events.push((again, Event::TakeOver { write_lands: rng.random_bool(0.5) }));
            }
        }
        schedule.events.sort_by_key(|(at, _)| *at);
        schedule
    }

    /// Drops events as long as the schedule fails without them.
    fn shrink(mut self) -> Self {
        let mut index = 0;
        while index < self.events.len() {
            let mut shorter = self.clone();
            shorter.events.remove(index);
            if shorter.play().is_err() { (self, index) = (shorter, 0) } else { index += 1 }
        }
        self
    }

    /// Plays the schedule; fails with the rule that is broken.
    fn play(&self) -> Result<(), String> {
        catch_unwind(AssertUnwindSafe(|| Player::new(self).play(&self.events))).map_err(|cause| {
            let text = cause.downcast_ref::<&str>().map(|text| (*text).to_owned());
            text.or_else(|| cause.downcast_ref::<String>().cloned()).unwrap_or_default()
        })
    }
}

fn draw_job(rng: &mut ChaCha8Rng) -> Event {
    let kinds = [
        Kind::Single,
        Kind::Single,
        Kind::Gang,
        Kind::Checkpoints,
        Kind::LongRunning,
        Kind::Speculative,
        Kind::Spread,
        Kind::TwoSteps,
        Kind::Capped,
    ];
    let kind = kinds[rng.random_range(0..kinds.len())];
    let tasks = if kind == Kind::LongRunning { 1 } else { rng.random_range(1..4) };
    let millis =
        if rng.random_bool(0.4) { rng.random_range(200..1_500) } else { rng.random_range(1_500..12_000) };
    Event::Submit { kind, tasks, millis }
}

fn draw_long_job(rng: &mut ChaCha8Rng) -> Event {
    let kinds =
        [Kind::Single, Kind::Single, Kind::Spread, Kind::Checkpoints, Kind::LongRunning, Kind::Recommended];
    let kind = kinds[rng.random_range(0..kinds.len())];
    let tasks = if kind == Kind::LongRunning { 1 } else { rng.random_range(1..8) };
    let millis =
        if rng.random_bool(0.4) { rng.random_range(200..1_500) } else { rng.random_range(5_000..16_000) };
    Event::Submit { kind, tasks, millis }
}

/// Draws a restart of a worker, late calls before it, and a cut and a change of owner after it.
fn draw_restart(rng: &mut ChaCha8Rng, events: &mut Vec<(u64, Event)>) {
    let worker = rng.random_range(0..WORKERS);
    let at = rng.random_range(1_500..8_000);
    if rng.random_bool(0.8) {
        let late = if rng.random_bool(0.3) { LATE_MS } else { 2_500 };
        let kind = if rng.random_bool(0.7) { CallKind::ExtendLease } else { CallKind::Start };
        let fault = CallFault::ExecutedAfter(rng.random_range(50..late));
        events.push((at - rng.random_range(0..1_200), Event::Fault { worker, kind, fault }));
    }
    if rng.random_bool(0.5) {
        events.push((at - rng.random_range(0..500), draw_long_job(rng)));
    }
    if rng.random_bool(0.7) {
        let again_after = rng.random_bool(0.2).then(|| rng.random_range(10..3_000));
        events.push((at, Event::Restart { worker, again_after }));
    } else {
        events.push((at, Event::Crash { worker, down: rng.random_range(100..2_000), again_after: None }));
    }
    let change = at + rng.random_range(0..4_000);
    if rng.random_bool(0.3) {
        let millis = rng.random_range(200..3_000);
        events.push((change.saturating_sub(millis), Event::FreezeOwner { millis: millis + 100 }));
    }
    if rng.random_bool(0.8) {
        events.push((change, Event::TakeOver { write_lands: rng.random_bool(0.5) }));
    }
    let cut = change + rng.random_range(0..2_500);
    events.push((
        cut,
        Event::Cut { worker, millis: rng.random_range(3_000..14_000), one_way: rng.random_bool(0.2) },
    ));
}

fn draw_fault(rng: &mut ChaCha8Rng) -> Event {
    let kinds = [CallKind::Start, CallKind::Start, CallKind::Stop, CallKind::ExtendLease];
    let fault = match rng.random_range(0..4) {
        0 => CallFault::ExecutedAfter(rng.random_range(50..LATE_MS)),
        1 => CallFault::ExecutedAfter(rng.random_range(50..3_000)),
        2 => CallFault::AnswerLost,
        _ => CallFault::AnswerAfter(rng.random_range(0..590)),
    };
    let kind = kinds[rng.random_range(0..kinds.len())];
    Event::Fault { worker: rng.random_range(0..WORKERS), kind, fault }
}

fn draw_event(rng: &mut ChaCha8Rng) -> Event {
    let worker = rng.random_range(0..WORKERS);
    let leaver = rng.random_range(0..WORKERS - 1);
    let remaining = rng.random_bool(0.5).then(|| rng.random_range(0..5_000));
    let again_after = rng.random_bool(0.3).then(|| rng.random_range(10..3_000));
    match rng.random_range(0..24) {
        0 => Event::Drain { worker: leaver, remaining },
        1 | 2 => {
            let departure = Departure {
                answers: rng.random_range(0..1_500),
                entry: rng.random_range(0..1_500),
                runs: rng.random_range(0..2_000),
                one_way: rng.random_bool(0.4),
            };
            Event::Leave { worker: leaver, remaining, after: rng.random_range(0..2_500), departure }
        }
        3 => Event::Expire { worker, back_after: rng.random_range(10..6_000) },
        4 => Event::Remove { worker, back_after: rng.random_range(10..6_000) },
        5..=7 => Event::Cut { worker, millis: rng.random_range(100..9_000), one_way: rng.random_bool(0.5) },
        8 | 9 => Event::Restart { worker, again_after },
        10 => Event::Crash { worker, down: rng.random_range(100..6_000), again_after },
        11 => {
            let rate = if rng.random_bool(0.5) { 0.98 } else { 1.0 };
            Event::Clock { worker, rate, timer_delay: rng.random_range(0..200) }
        }
        12 | 13 => Event::TakeOver { write_lands: rng.random_bool(0.5) },
        14 => Event::FreezeOwner { millis: rng.random_range(100..5_000) },
        15 => Event::StoreDown { millis: rng.random_range(100..8_000) },
        16..=18 => draw_fault(rng),
        19 => Event::LoseAnswers { millis: rng.random_range(100..4_000), delay: rng.random_range(0..500) },
        20 => Event::Shrink { worker: leaver },
        21 => Event::Cancel { job: rng.random_range(1..5) },
        _ => draw_job(rng),
    }
}

/// Part of an event that takes place at one moment.
#[derive(Debug, Clone, Copy)]
enum Part {
    Event(Event),
    Register(usize),
    Depart(usize, Departure),
    Restart(usize),
    Crash(usize, u64),
    StoreUp,
    KeepAnswers,
}

/// Cluster to which a schedule happens.
struct Player {
    cluster: SimulatedCluster,
    /// Kinds of the submitted jobs, whose numbers count from 1.
    jobs: Vec<Kind>,
    /// Parts of events to come by time, milliseconds, and number.
    parts: BTreeMap<(u64, usize), Part>,
    /// Time of the cluster, milliseconds.
    elapsed: u64,
    /// Number of the last part.
    last_part: usize,
    /// Workers that are lost, or may be taken for lost.
    lost_workers: usize,
    /// Jobs whose cancellation was requested.
    cancelled: BTreeSet<u64>,
}

impl Player {
    fn new(schedule: &Schedule) -> Self {
        let mut cluster = SimulatedCluster::with_max_lease(schedule.seed, WORKERS as u32, schedule.max_lease);
        cluster.max_registry_delay = schedule.registry_delay;
        cluster.checkpoint_bytes = 4;
        cluster.set_caps(&[("a", CAP)]);
        Self {
            cluster,
            jobs: Vec::new(),
            parts: BTreeMap::new(),
            elapsed: 0,
            last_part: 0,
            lost_workers: 0,
            cancelled: BTreeSet::new(),
        }
    }

    fn play(mut self, events: &[(u64, Event)]) {
        for (at, event) in events {
            self.lost_workers += event.lost_workers();
            self.add(*at, Part::Event(*event));
        }
        let end = events.last().map_or(0, |(at, _)| *at);
        while let Some(((at, _), part)) = self.parts.pop_first() {
            self.advance_to(at);
            self.begin(part);
        }
        self.advance_to(end.max(self.elapsed) + 50);
        self.settle();
    }

    fn add(&mut self, at: u64, part: Part) {
        self.last_part += 1;
        self.parts.insert((at, self.last_part), part);
    }

    fn advance_to(&mut self, at: u64) {
        while self.elapsed < at {
            let step = QUERY_MS.min(at - self.elapsed);
            self.cluster.advance(step);
            self.elapsed += step;
            self.query_all();
        }
    }

    /// Queries all jobs, whose final states must not change.
    fn query_all(&mut self) -> Vec<Option<JobState>> {
        (1..=self.jobs.len() as u64).map(|job| self.cluster.query_state(job)).collect()
    }

    fn begin(&mut self, part: Part) {
        let cluster = &mut self.cluster;
        match part {
            Part::Event(event) => self.begin_event(event),
            Part::Register(worker) => cluster.register(worker),
            Part::Depart(worker, departure) => cluster.leave_worker(worker, departure),
            Part::Restart(worker) => cluster.restart_worker(worker),
            Part::Crash(worker, down) => cluster.crash_worker(worker, down),
            Part::StoreUp => cluster.store_up = true,
            Part::KeepAnswers => cluster.faults = Faults::default(),
        }
    }

    fn begin_event(&mut self, event: Event) {
        let now = self.elapsed;
        let cluster = &mut self.cluster;
        match event {
            Event::Submit { kind, tasks, millis } => self.submit(kind, tasks, millis),
            Event::Cancel { job } => {
                self.cancelled.insert(job);
                cluster.call(CANCEL_CALLS + job, Request::Cancel(JobKey(job), None));
            }
            Event::Drain { worker, remaining } => cluster.drain_for(worker, remaining),
            Event::Leave { worker, remaining, after, departure } => {
                cluster.drain_for(worker, remaining);
                self.add(now + remaining.unwrap_or(0) + after, Part::Depart(worker, departure));
            }
            Event::Expire { worker, back_after } => {
                cluster.unlist(worker);
                self.add(now + back_after, Part::Register(worker));
            }
            Event::Remove { worker, back_after } => {
                cluster.deregister(worker);
                self.add(now + back_after, Part::Register(worker));
            }
            Event::Cut { worker, millis, one_way } => cluster.disconnect(worker, millis, one_way),
            Event::Restart { worker, again_after } => {
                cluster.restart_worker(worker);
                again_after.into_iter().for_each(|after| self.add(now + after, Part::Restart(worker)));
            }
            Event::Crash { worker, down, again_after } => {
                cluster.crash_worker(worker, down);
                let again = again_after.map(|after| now + down + after);
                again.into_iter().for_each(|at| self.add(at, Part::Crash(worker, down)));
            }
            Event::Clock { worker, rate, timer_delay } => cluster.set_clock(worker, rate, timer_delay),
            Event::TakeOver { write_lands } => cluster.take_over(write_lands),
            Event::FreezeOwner { millis } => cluster.freeze_owner(millis),
            Event::StoreDown { millis } => {
                cluster.store_up = false;
                self.add(now + millis, Part::StoreUp);
            }
            Event::Fault { worker, kind, fault } => cluster.fault_next_call(worker, kind, fault),
            Event::LoseAnswers { millis, delay } => {
                cluster.faults = Faults { lost_answer: 0.2, answer_delay: delay, ..Faults::default() };
                self.add(now + millis, Part::KeepAnswers);
            }
            Event::Shrink { worker } => cluster.resize_worker(worker, SHRUNK),
            Event::StepClock { millis } => cluster.host_clock_error = millis,
        }
    }

    fn submit(&mut self, kind: Kind, tasks: u32, millis: u64) {
        let mut job: JobSpec = spec(tasks, millis);
        let step = &mut job.steps[0];
        step.resources = Resources::new(3_000, 4_000, 0);
        match kind {
            Kind::Single | Kind::Capped | Kind::Recommended => {}
            Kind::Gang => step.gang = true,
            Kind::Checkpoints => step.checkpoints = true,
            Kind::LongRunning => {
                step.long_running = true;
                step.resources = Resources::new(500, 1_000, 0);
            }
            Kind::Speculative => step.speculative = true,
            Kind::Spread => step.max_per_worker = Some(1),
            Kind::TwoSteps => {
                let second = StepSpec { after: vec![0], ..step.clone() };
                job.steps.push(second);
            }
        }
        self.jobs.push(kind);
        let job = match kind {
            Kind::Capped => in_workspace("a", CAP, job),
            Kind::Recommended => SimulatedCluster::with_recommendation(job),
            _ => job,
        };
        self.cluster.submit(self.jobs.len() as u64, job);
    }

    /// Leaves the cluster alone until all jobs have ended, and checks that none is stuck.
    fn settle(&mut self) {
        (0..WORKERS).for_each(|worker| self.cluster.register(worker));
        let begin = self.elapsed;
        self.advance_to(begin + CALM_MS);
        while self.elapsed < begin + MAX_CALM_MS && !self.has_settled() {
            self.advance_to(self.elapsed + QUERY_MS);
        }
        let states = self.query_all();
        for (job, (kind, state)) in (1..).zip(self.jobs.iter().zip(states)) {
            let cancellation = self.cluster.answers.get(&(CANCEL_CALLS + job));
            let is_cancelled = cancellation == Some(&Answer::Cancelled);
            let is_accepted = self.cluster.is_accepted(job);
            if !is_cancelled && (!is_accepted || *kind == Kind::LongRunning) {
                assert!(state.is_some() || !is_accepted, "accepted job {job} is unknown");
                continue;
            }
            let may_fail = self.lost_workers >= GIVE_UP_LOSSES;
            let has_ended = match state {
                Some(JobState::Completed) => true,
                Some(JobState::Cancelled) => self.cancelled.contains(&job),
                Some(JobState::Failed) => may_fail,
                _ => false,
            };
            assert!(has_ended, "job {job} is {state:?}, cancellation {cancellation:?}");
        }
        self.cluster.check_settled();
    }

    /// Whether all jobs have ended and have no runs, or run for long.
    fn has_settled(&mut self) -> bool {
        let states = self.query_all();
        (1..).zip(self.jobs.iter().zip(states)).all(|(job, (kind, state))| match state {
            Some(state) if !state.is_final() => {
                *kind == Kind::LongRunning && !self.cluster.workers_of(job).is_empty()
            }
            _ => self.cluster.workers_of(job).is_empty(),
        })
    }
}

/// Returns the seeds to play.
fn seeds() -> Range<u64> {
    let Ok(text) = std::env::var(SEEDS_VARIABLE) else { return SEEDS };
    let bounds =
        text.split_once('-').and_then(|(first, last)| Some((first.parse().ok()?, last.parse().ok()?)));
    let (first, last): (u64, u64) = bounds.expect("the variable names the seeds as FIRST-LAST");
    first..last + 1
}

/// Plays every third seed, and returns the shortest schedules that fail, each with the rule it breaks.
fn failures(seeds: Range<u64>, draw: fn(u64) -> Schedule) -> Vec<String> {
    let failing = seeds.step_by(THREADS as usize).map(draw).filter(|s| s.play().is_err());
    let shortest = failing.map(Schedule::shrink);
    shortest.map(|s| format!("{}\n  {s}", s.play().err().unwrap_or_default())).collect()
}

/// Plays the schedules that `draw` returns for the seeds, and fails with those that break a rule.
fn play_all(draw: fn(u64) -> Schedule) {
    let Range { start, end } = seeds();
    let threads: Vec<_> =
        (start..start + THREADS).map(|first| thread::spawn(move || failures(first..end, draw))).collect();
    let failures: Vec<_> = threads.into_iter().flat_map(|t| t.join().expect("failures are caught")).collect();
    assert!(failures.is_empty(), "{} schedules fail:\n{}", failures.len(), failures.join("\n"));
}

#[test]
fn mixed_schedules_break_no_rule() {
    play_all(Schedule::draw);
}

/// Orders to an earlier incarnation prolonged runs, or acknowledged ends, which the next owner did not know of.
#[test]
fn restarts_before_cuts_and_takeovers_break_no_rule() {
    play_all(Schedule::draw_restarts);
}

/// The time of day told a new owner that a worker which had just restarted was old.
#[test]
fn steps_of_the_clock_around_restarts_break_no_rule() {
    play_all(Schedule::draw_steps);
}

/// A late order to an earlier incarnation acknowledged an end, or started a run, which the next owner did not know of.
#[test]
fn late_orders_to_restarted_workers_are_known_to_the_next_owner() {
    let schedules = [2_040, 2_675].map(Schedule::draw_restarts);
    let failures = schedules.iter().filter_map(|s| Some(format!("{}\n  {s}", s.play().err()?)));
    let failures: Vec<_> = failures.collect();
    assert!(failures.is_empty(), "{} schedules fail:\n{}", failures.len(), failures.join("\n"));
}

/// The record of a run named no order to the earlier incarnation of its worker, and the clock was stepped.
#[test]
fn restart_between_an_extension_and_a_kill_is_known_to_the_next_owner() {
    let schedule = Schedule::draw_steps(11_285);
    schedule.play().unwrap_or_else(|cause| panic!("{cause}\n  {schedule}"));
}
