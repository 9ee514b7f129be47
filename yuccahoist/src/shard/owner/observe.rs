//! Speeds of the workers: what the owner observes of them, whether placement considers them, and the expected durations
//! that follow.
//!
//! Speeds are hints. They start empty with each owner, and nothing that must hold depends on them.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use super::Owner;
use crate::shard::id::{StepKey, TaskKey, WorkerIncarnation};
use crate::shard::job::{Phase, Step};
use crate::shard::learning::MeasuredRun;
use crate::shard::packing::{Goal, SAFE_MARGIN};
use crate::shard::spec::{JobSpec, StepSpec};
use crate::shard::speed::{Speed, Spread};
use crate::unit::Timestamp;

/// Ratio of the fastest to the slowest tenth from which placement considers speeds. At 1.5, placement by speed took room from
/// gangs that tight recommendations leave little choice.
const START_SPREAD: f64 = 2.0;
/// Ratio below which it no longer does; lower, so that noise does not switch it back and forth.
const STOP_SPREAD: f64 = 1.7;
/// One worker in this many has to be of known speed to start; set by the requirements.
const START_KNOWN_PART: usize = 4;
/// One worker in this many has to stay of known speed; lower, as workers may join in large numbers.
const STOP_KNOWN_PART: usize = 8;
/// How long a job with a tight objective keeps placement by speed on; several times the longest pause of such jobs.
const TIGHT_PERIOD: Duration = Duration::from_secs(10);
/// Part of a run's duration by which its measurement may be wrong.
const MAX_MEASUREMENT_ERROR: f64 = 0.15;
/// Longest time from a start order to its answer for a run that is measured; a call takes 3 ms.
const MAX_START_AGE: Duration = Duration::from_millis(150);
/// Shortest duration that is compared; below, calls and reports are the larger part of it.
const MIN_DURATION: Duration = Duration::from_millis(50);

/// Whether placement considers the speeds of the workers.
#[derive(Debug, Default)]
pub(super) struct SpeedPlacement {
    /// Whether the speeds of the fleet are known and differ enough.
    spreads: bool,
    /// Until when a queue counts as having a tight objective.
    tight_until: Timestamp,
    /// Whether placement considers speeds, as of the last check.
    pub(super) is_on: bool,
}

impl Owner {
    /// Begins to measure a run whose worker has just confirmed its start.
    pub(super) fn measure_run(
        &mut self,
        now: Timestamp,
        task: TaskKey,
        run: u32,
        incarnation: &WorkerIncarnation,
    ) {
        let ordered = self.workers.get(incarnation).and_then(|w| w.runs.get(&(task, run))?.ordered_at);
        let is_prompt = ordered.is_some_and(|at| now.since(at) <= MAX_START_AGE);
        let resumes =
            self.step_state(task.step).is_none_or(|s| !s.tasks[task.index as usize].checkpoint.is_empty());
        if let Some(placement) = self.placement(task, run, incarnation).filter(|_| is_prompt && !resumes) {
            placement.measured_from = Some(now);
        }
    }

    fn step_state(&self, key: StepKey) -> Option<&Step> {
        self.jobs.get(&key.job)?.occurrences.get(key.occurrence as usize)?.get(key.step as usize)
    }

    /// Learns from a run that ended `done`, while its placement is still known.
    pub(super) fn observe_end(
        &mut self,
        now: Timestamp,
        incarnation: &WorkerIncarnation,
        task: TaskKey,
        run: u32,
    ) {
        let key = task.step;
        let Some(placement) = self.placement(task, run, incarnation) else { return };
        let (Phase::Running(_), Some(from)) = (placement.phase, placement.measured_from) else { return };
        let Some(job) = self.jobs.get(&key.job) else { return };
        let (spec, arrival) = (job.spec.clone(), job.arrival);
        let step_spec = &spec.steps[key.step as usize];
        let gang = if step_spec.gang { self.step_state(key).and_then(|s| self.gang_pace(s)) } else { None };
        if step_spec.gang != gang.is_some() {
            return;
        }
        let duration = now.since(gang.map_or(from, |(last_start, _)| last_start));
        let Some(far) = self.comparable_factor(step_spec, incarnation, duration) else { return };
        if gang.is_none() {
            self.observe_neighbours_of_ended(now, incarnation, (task, run), from, duration);
        }
        let Some(step) = self.step_state_mut(key) else { return };
        let mut done = std::mem::take(&mut step.measured);
        let tasks = (step.tasks.len(), step.tasks.len().saturating_sub(step.done as usize + 1));
        let measured = MeasuredRun {
            task,
            queue: &spec.queue,
            arrival,
            incarnation,
            estimate: step_spec.estimate.as_secs_f64().ln(),
            took: (duration.as_secs_f64() / far).ln(),
            tasks,
            gang_speed: gang.map(|(_, speed)| speed),
        };
        self.learning.observe(now, &measured, &mut done);
        if let Some(step) = self.step_state_mut(key) {
            step.measured = done;
        }
    }

    /// Returns the factor by which the distance of its data prolonged a run; `None` if its duration does not compare with
    /// others.
    fn comparable_factor(
        &self,
        step_spec: &StepSpec,
        incarnation: &WorkerIncarnation,
        duration: Duration,
    ) -> Option<f64> {
        let error = self.workers.get(incarnation)?.end_age;
        let is_measured =
            duration >= MIN_DURATION && error.as_secs_f64() <= duration.as_secs_f64() * MAX_MEASUREMENT_ERROR;
        let is_comparable = !step_spec.long_running
            && !step_spec.is_filler
            && !step_spec.estimate.is_zero()
            && (step_spec.gang || !step_spec.single_rack);
        let is_local = self.is_data_local(step_spec, incarnation);
        let far = if is_local { 1.0 } else { self.options.far_factor };
        // Without a factor of the platform it is unknown how much longer a run takes away from its data.
        (is_measured && is_comparable && (is_local || far > 1.0)).then_some(far)
    }

    fn step_state_mut(&mut self, key: StepKey) -> Option<&mut Step> {
        let steps = self.jobs.get_mut(&key.job)?.occurrences.get_mut(key.occurrence as usize)?;
        steps.get_mut(key.step as usize)
    }

    /// Returns when the last member of a gang has started, and the logarithm of the speed of the slowest; `None` unless all
    /// are measured.
    fn gang_pace(&self, step: &Step) -> Option<(Timestamp, f64)> {
        let mut pace = (Timestamp::ZERO, f64::INFINITY);
        for task in &step.tasks {
            let member = task.placement.as_ref()?;
            pace = (
                pace.0.max(member.measured_from?),
                pace.1.min(self.learning.speeds.observed(&member.incarnation)),
            );
        }
        Some(pace)
    }

    pub(super) fn is_data_local(&self, step_spec: &StepSpec, incarnation: &WorkerIncarnation) -> bool {
        let rack = self.workers.get(incarnation).and_then(|w| w.entry.rack.as_deref());
        step_spec.data_rack.is_none() || step_spec.data_rack.as_deref() == rack
    }

    /// Computes the speeds of the fleet anew, and whether placement considers them.
    pub(super) fn refresh_speeds(&mut self, now: Timestamp) {
        let listed = self.workers.iter().filter(|(_, w)| !w.entry.address.is_empty());
        let fleet = listed.map(|(incarnation, w)| (incarnation.clone(), w.entry.labels.clone()));
        let fleet: BTreeMap<_, _> = fleet.collect();
        self.learning.speeds.refresh(now, &fleet);
        let spread = self.learning.speeds.spread();
        let (ratio, part) = if self.by_speed.spreads {
            (STOP_SPREAD, STOP_KNOWN_PART)
        } else {
            (START_SPREAD, START_KNOWN_PART)
        };
        self.by_speed.spreads = spread.ratio() >= ratio && spread.known * part >= spread.workers;
        self.count_speeds(spread);
        let is_on = self.by_speed.spreads && now < self.by_speed.tight_until;
        if is_on != self.by_speed.is_on {
            self.by_speed.is_on = is_on;
            let outcome = if is_on { "considered" } else { "ignored" };
            log::info!(target: "decision", "speeds outcome={outcome} known={} workers={} slow={} fast={}", spread.known, spread.workers, spread.slow, spread.fast);
            let ready: Vec<StepKey> = self.ready.keys().copied().collect();
            ready.into_iter().for_each(|key| self.rerank_step(now, key));
        }
    }

    fn count_speeds(&mut self, spread: Spread) {
        // Limited to 20 to 500.
        let percent = |speed: Speed| (speed.ratio() * 100.0).round() as u64;
        self.counters.known_speeds = spread.known as u64;
        self.counters.slow_percent = percent(spread.slow);
        self.counters.fast_percent = percent(spread.fast);
    }

    /// Notes whether a new job could miss its objective on slow workers.
    pub(super) fn note_objective(&mut self, now: Timestamp, spec: &JobSpec) {
        if !self.by_speed.spreads {
            return;
        }
        let path = self.corrected(&spec.queue.name, spec.critical_path());
        let on_slow = path.as_secs_f64() / self.learning.speeds.spread().slow.ratio();
        if spec.objective().as_secs_f64() < on_slow * SAFE_MARGIN {
            self.by_speed.tight_until = now + TIGHT_PERIOD;
        }
    }

    /// Returns an estimated duration as corrected by what its queue showed recently, on a worker of median speed.
    fn corrected(&self, queue: &str, estimate: Duration) -> Duration {
        scaled(estimate, self.learning.ln_correction(queue).exp())
    }

    /// Returns the duration that an estimate amounts to on the fastest workers; the estimate itself while speeds are not
    /// considered.
    pub(super) fn shortest_duration(&self, queue: &str, estimate: Duration) -> Duration {
        if !self.by_speed.is_on {
            return estimate;
        }
        scaled(self.corrected(queue, estimate), 1.0 / self.learning.speeds.spread().fast.ratio())
    }

    /// Returns the speed of a worker if placement considers it.
    pub(super) fn placement_speed(&self, incarnation: &WorkerIncarnation) -> Option<Speed> {
        self.by_speed.is_on.then(|| self.learning.speeds.speed(incarnation))
    }

    /// Returns how long a task of a step is expected to take on a worker; `None` for an unknown or endless one.
    #[must_use]
    pub fn expected_duration(&self, key: StepKey, incarnation: &WorkerIncarnation) -> Option<Duration> {
        let median = self.median_duration(key)?;
        let step_spec = &self.jobs.get(&key.job)?.spec.steps[key.step as usize];
        let is_local = self.is_data_local(step_spec, incarnation);
        let suffered = self.suffered_on(key, incarnation);
        Some(self.duration_on(median, self.learning.speeds.speed(incarnation), is_local, suffered))
    }

    /// Returns how long a task of a step is expected to take on a worker of median speed near its data.
    pub(super) fn median_duration(&self, key: StepKey) -> Option<Duration> {
        let spec = &self.jobs.get(&key.job)?.spec;
        let step_spec = spec.steps.get(key.step as usize).filter(|s| !s.long_running)?;
        Some(self.corrected(&spec.queue.name, step_spec.estimate))
    }

    /// Returns how long a task takes on a worker, given its duration on one of median speed; `slowdown` is that by the
    /// worker's other tasks, percent.
    pub(super) fn duration_on(
        &self,
        median: Duration,
        speed: Speed,
        is_local: bool,
        slowdown: u32,
    ) -> Duration {
        let far = if is_local { 1.0 } else { self.options.far_factor };
        scaled(median, far * (1.0 + f64::from(slowdown) / 100.0) / speed.ratio())
    }

    /// Returns the time in which the tasks of a step should end: what is left until the objective, or after it until the
    /// result is of no use, less what the steps that depend on it take.
    pub(super) fn goal(&self, now: Timestamp, key: StepKey) -> Goal {
        let (Some(job), Some(urgency)) = (self.jobs.get(&key.job), self.urgency(key)) else {
            return Goal::default();
        };
        if !self.by_speed.is_on {
            return Goal::default();
        }
        let own = job.spec.steps[key.step as usize].estimate;
        let later =
            self.corrected(&job.spec.queue.name, job.plan.critical_path(key.step).saturating_sub(own));
        Goal { time_left: Some(urgency.time_left(now, later)) }
    }
}

/// What the speed of a chosen worker lets expect, for the log; prints the fields that follow those of every placement.
#[derive(Debug, Clone, Copy)]
pub(super) struct SpeedForecast {
    speed: Speed,
    expected: Duration,
    left: Duration,
}

impl SpeedForecast {
    /// Returns the forecast, or `None` where speeds are not considered.
    pub(super) fn new(speed: Option<Speed>, expected: Option<Duration>, goal: Goal) -> Option<Self> {
        Some(Self { speed: speed?, expected: expected?, left: goal.time_left? })
    }
}

impl fmt::Display for SpeedForecast {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { speed, expected, left } = self;
        write!(f, " speed={speed} expected_ms={} objective_left_ms=", expected.as_millis())?;
        if *left == Duration::MAX { f.write_str("none") } else { write!(f, "{}", left.as_millis()) }
    }
}

/// Slowdown of a task by the other tasks of its worker, percent, where none is known.
pub(super) const NO_SLOWDOWN: u32 = 0;

/// Returns a duration times a positive factor, limited to the range of the type.
fn scaled(duration: Duration, factor: f64) -> Duration {
    Duration::try_from_secs_f64(duration.as_secs_f64() * factor).unwrap_or(Duration::MAX)
}
