//! Speeds of workers, learned from the durations of the runs that they complete.
//!
//! Each run gives one observation: the logarithm of the ratio between what its task was expected to take on a worker of
//! median speed and what it took. A worker's figure is the median of its recent observations, which a straggler does
//! not move, pulled towards the fleet's median as long as the observations are few. Several observations in a row that
//! contradict the earlier ones replace them, so that a worker that changes is found out after a few runs.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use super::id::{JobKey, TaskKey, WorkerIncarnation};
use crate::unit::{ParseUnitError, Timestamp};

/// Lowest and highest figure; a worker beyond them is handled as if it were at the limit.
const SPEED_LIMITS: (f64, f64) = (0.2, 5.0);
/// Observations kept for each worker: about ten seconds of runs on the first sites.
const WINDOW: usize = 12;
/// How many of how many last observations, of two jobs at least, replace all earlier ones if they contradict their median
/// in the same direction. Three stragglers in a row occur once in 37,000 runs where 3 % of the tasks are stragglers; four of five
/// find a change that one exceptional run hides.
const CHANGES: [(usize, usize); 2] = [(3, 3), (4, 5)];
/// Observations from which a worker's median is used unchanged to compare others with its runs.
const FULL_WEIGHT_RUNS: f64 = 3.0;
/// Ratio to the median from which an observation contradicts it; a single run on the first sites is off by 1.4 (one
/// standard deviation), a changed worker by 4.
const CHANGE_RATIO: f64 = 1.8;
/// Observations of a worker from which its figure counts for the spread of the fleet; set by the requirements.
const KNOWN_RUNS: usize = 5;
/// Workers of known speed without which the spread of the fleet is chance.
const MIN_KNOWN_WORKERS: usize = 8;
/// Standard errors by which the speeds of a fleet have to vary in common in both halves of the observations. Without a limit, chance
/// passed for a spread of 1.5 in one of three fleets of 24 equal workers.
const MIN_SIGNIFICANCE: f64 = 3.0;
/// Workers of one kind, i.e. with the same labels, from which a new one starts at their median.
const MIN_KIND_WORKERS: usize = 5;
/// Time without an observation that halves the weight of the earlier ones; about as long as a day's fault lasts.
const HALF_LIFE: Duration = Duration::from_secs(30);
/// Standard deviation of one observation, natural logarithm, until the fleet shows its own: tasks of one step differ by 15
/// to 30 %, and the estimate of the step is off by 20 %.
const INITIAL_NOISE: f64 = 0.3;
/// Least standard deviation of one observation; measured durations include calls and reports of some 10 ms.
const MIN_NOISE: f64 = 0.1;
/// Variance of a median relative to that of a mean, for many observations with normal errors.
const MEDIAN_VARIANCE: f64 = std::f64::consts::FRAC_PI_2;
/// Distance from a worker's median beyond which an observation counts only this much in variances; stragglers are
/// further away.
const CLIP: f64 = 0.7;

/// Speed of a worker relative to the median of the fleet, between 0.2 and 5.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct Speed(f64);

impl Speed {
    /// Speed of the fleet's median, and of a worker of which nothing is known.
    pub const MEDIAN: Self = Self(1.0);

    /// Returns a speed, limited to the range of the type; the median for a value that is not a number.
    #[must_use]
    pub fn new(ratio: f64) -> Self {
        if ratio.is_nan() { Self::MEDIAN } else { Self(ratio.clamp(SPEED_LIMITS.0, SPEED_LIMITS.1)) }
    }

    /// Returns the ratio to the median.
    #[must_use]
    pub const fn ratio(self) -> f64 {
        self.0
    }
}

impl fmt::Display for Speed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.2}", self.0)
    }
}

impl FromStr for Speed {
    type Err = ParseUnitError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let ratio = text.parse::<f64>().ok().filter(|r| (SPEED_LIMITS.0..=SPEED_LIMITS.1).contains(r));
        ratio.map(Self).ok_or_else(|| ParseUnitError {
            kind: "speed",
            value: text.into(),
            expected: "a ratio from 0.2 to 5",
        })
    }
}

/// How far the speeds of a fleet are apart.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Spread {
    /// Workers with enough observations to count.
    pub known: usize,
    /// Workers in all.
    pub workers: usize,
    /// Whether the observations can't be explained by chance.
    pub is_certain: bool,
    /// Speed that a tenth of the known workers do not reach.
    pub slow: Speed,
    /// Speed that a tenth of the known workers exceed.
    pub fast: Speed,
}

impl Spread {
    /// Returns the ratio of the fast to the slow speed; 1 while that may be chance.
    #[must_use]
    pub fn ratio(&self) -> f64 {
        if self.is_certain { self.fast.0 / self.slow.0 } else { 1.0 }
    }
}

impl Default for Spread {
    fn default() -> Self {
        Self { known: 0, workers: 0, is_certain: false, slow: Speed::MEDIAN, fast: Speed::MEDIAN }
    }
}

/// Observations of one worker.
#[derive(Debug, Clone)]
struct Figure {
    /// Task and logarithm of the speed of each observation, oldest first.
    recent: VecDeque<(TaskKey, f64)>,
    /// Median of `recent`.
    median: f64,
    /// Time of the last observation.
    seen: Timestamp,
}

impl Figure {
    fn add(&mut self, now: Timestamp, task: TaskKey, observed: f64) {
        self.recent.push_back((task, observed));
        if self.recent.len() > WINDOW {
            self.recent.pop_front();
        }
        self.restart_if_changed();
        self.seen = now;
        self.update_median();
    }

    fn update_median(&mut self) {
        self.median = median(self.recent.iter().map(|(_, value)| *value));
    }

    /// Drops the earlier observations if the last ones contradict them.
    fn restart_if_changed(&mut self) {
        let changed = CHANGES.iter().find_map(|(least, of)| {
            let earlier = self.recent.len().checked_sub(*of).filter(|n| *n > 0)?;
            self.is_changed_after(earlier, *least).then_some(earlier)
        });
        self.recent.drain(..changed.unwrap_or(0));
    }

    fn is_changed_after(&self, earlier: usize, least: usize) -> bool {
        let before = median(self.recent.iter().take(earlier).map(|(_, value)| *value));
        let limit = CHANGE_RATIO.ln();
        let last = || self.recent.iter().skip(earlier);
        let faster = last().filter(|(_, value)| *value > before + limit).count();
        let slower = last().filter(|(_, value)| *value < before - limit).count();
        let mut jobs = last().map(|(task, _)| task.step.job);
        let first = jobs.next();
        faster.max(slower) >= least && jobs.any(|job| Some(job) != first)
    }

    /// Number of observations, less for old ones.
    fn weight(&self, now: Timestamp) -> f64 {
        let age = now.since(self.seen).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.recent.len() as f64 * (-age).exp2()
    }

    /// Means of the observations in two halves, each job in one of them. Errors that the tasks of a job share would
    /// otherwise look like the speed of the worker.
    fn halves(&self) -> Option<(f64, f64)> {
        let mut halves = [(0.0, 0_u32); 2];
        for (task, value) in &self.recent {
            let (sum, count) = &mut halves[usize::from(is_second_half(task.step.job))];
            *sum += (value - self.median).clamp(-CLIP, CLIP) + self.median;
            *count += 1;
        }
        let [(first, n), (second, m)] = halves;
        (n > 1 && m > 1).then(|| (first / f64::from(n), second / f64::from(m)))
    }
}

/// Assigns a job to a half by a multiplicative hash, as keys may be consecutive.
fn is_second_half(job: JobKey) -> bool {
    job.0.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 63 == 1
}

/// Kind of a worker: its labels.
type Kind = Arc<[String]>;

/// What is learned of the speeds of all workers.
#[derive(Debug, Default)]
pub struct SpeedBook {
    figures: BTreeMap<WorkerIncarnation, Figure>,
    speeds: BTreeMap<WorkerIncarnation, Speed>,
    /// Logarithm of the fleet's median speed as observed, to which the speeds refer.
    centre: f64,
    spread: Spread,
}

impl SpeedBook {
    /// Records a run of `task`: the time that it was expected to take at the speed to which figures refer, divided by the
    /// time that it took, as a natural logarithm. A later observation of the task replaces an earlier one.
    pub fn observe(&mut self, now: Timestamp, incarnation: &WorkerIncarnation, task: TaskKey, ln_ratio: f64) {
        if !ln_ratio.is_finite() {
            return;
        }
        let observed = ln_ratio.clamp(SPEED_LIMITS.0.ln(), SPEED_LIMITS.1.ln());
        if self.correct(incarnation, task, ln_ratio) {
            return;
        }
        let empty = || Figure { recent: VecDeque::with_capacity(WINDOW + 1), median: 0.0, seen: now };
        self.figures.entry(incarnation.clone()).or_insert_with(empty).add(now, task, observed);
    }

    /// Replaces the value of an earlier [observation](Self::observe); returns whether it still counts.
    pub fn correct(&mut self, incarnation: &WorkerIncarnation, task: TaskKey, ln_ratio: f64) -> bool {
        let Some(figure) = self.figures.get_mut(incarnation).filter(|_| ln_ratio.is_finite()) else {
            return false;
        };
        let found = figure.recent.iter().any(|(observed, _)| *observed == task);
        if let Some((_, value)) = figure.recent.iter_mut().find(|(observed, _)| *observed == task) {
            *value = ln_ratio.clamp(SPEED_LIMITS.0.ln(), SPEED_LIMITS.1.ln());
            figure.restart_if_changed();
            figure.update_median();
        }
        found
    }

    /// Returns the logarithm of a worker's speed as observed, to refer a duration to the same speed as the figures; small
    /// while there are few observations.
    #[must_use]
    pub fn observed(&self, incarnation: &WorkerIncarnation) -> f64 {
        let figure = self.figures.get(incarnation);
        figure.map_or(0.0, |f| f.median * (f.recent.len() as f64 / FULL_WEIGHT_RUNS).min(1.0))
    }

    /// Returns the speed of a worker as of the last [`refresh`](Self::refresh).
    #[must_use]
    pub fn speed(&self, incarnation: &WorkerIncarnation) -> Speed {
        self.speeds.get(incarnation).copied().unwrap_or(Speed::MEDIAN)
    }

    /// Returns the logarithm of the fleet's median speed on the scale of [`observed`](Self::observed).
    #[must_use]
    pub fn centre(&self) -> f64 {
        self.centre
    }

    /// Returns the spread of the fleet as of the last [`refresh`](Self::refresh).
    #[must_use]
    pub fn spread(&self) -> Spread {
        self.spread
    }

    /// Computes the speeds of the workers in `fleet`, and forgets all others.
    pub fn refresh(&mut self, now: Timestamp, fleet: &BTreeMap<WorkerIncarnation, Kind>) {
        self.figures.retain(|incarnation, _| fleet.contains_key(incarnation));
        let known: Vec<(&WorkerIncarnation, &Figure)> =
            self.figures.iter().filter(|(_, f)| f.recent.len() >= KNOWN_RUNS).collect();
        let centre = median(known.iter().map(|(_, f)| f.median));
        let (between, noise) = self.variances();
        let kinds = kind_centres(&known, fleet, centre);
        self.centre = centre;
        let mut known_speeds = Vec::with_capacity(known.len());
        self.speeds.clear();
        for (incarnation, kind) in fleet {
            let start = kinds.get(kind).copied().unwrap_or(centre);
            let Some(figure) = self.figures.get(incarnation) else {
                self.speeds.insert(incarnation.clone(), Speed::new((start - centre).exp()));
                continue;
            };
            let variance = noise * MEDIAN_VARIANCE / figure.weight(now).max(f64::MIN_POSITIVE);
            let distance = figure.median - start;
            // A worker that differs from all others is not held to be like them: its figure moves by one standard error.
            let error = variance.sqrt();
            let moved = (distance * variance / (between + variance)).clamp(-error, error);
            let speed = Speed::new((figure.median - moved - centre).exp());
            self.speeds.insert(incarnation.clone(), speed);
            if figure.recent.len() >= KNOWN_RUNS {
                known_speeds.push(speed.0);
            }
        }
        known_speeds.sort_by(f64::total_cmp);
        let at = |tenths: usize| {
            let index = known_speeds.len().saturating_sub(1) * tenths / 10;
            known_speeds.get(index).map_or(Speed::MEDIAN, |s| Speed(*s))
        };
        let is_certain = between > 0.0 && known_speeds.len() >= MIN_KNOWN_WORKERS;
        self.spread =
            Spread { known: known_speeds.len(), workers: fleet.len(), is_certain, slow: at(1), fast: at(9) };
    }

    /// Returns the variance of the speeds between workers and that of single observations. The first is the covariance of the
    /// two halves of each worker's observations, to which errors of single jobs contribute nothing.
    fn variances(&self) -> (f64, f64) {
        let halves: Vec<(f64, f64)> = self.figures.values().filter_map(Figure::halves).collect();
        if halves.len() < MIN_KNOWN_WORKERS {
            return (0.0, INITIAL_NOISE * INITIAL_NOISE);
        }
        let count = halves.len() as f64;
        let mean = |side: fn(&(f64, f64)) -> f64| halves.iter().map(side).sum::<f64>() / count;
        let (first, second) = (mean(|h| h.0), mean(|h| h.1));
        let moment = |product: fn(f64, f64) -> f64| {
            halves.iter().map(|h| product(h.0 - first, h.1 - second)).sum::<f64>() / count
        };
        let covariance = moment(|a, b| a * b);
        // Standard error of the covariance of two independent halves.
        let error = (moment(|a, _| a * a) * moment(|_, b| b * b) / count).sqrt();
        let between = if covariance > error * MIN_SIGNIFICANCE { covariance } else { 0.0 };
        let (mut squares, mut freedom) = (0.0, 0_usize);
        for figure in self.figures.values().filter(|f| f.recent.len() > 1) {
            let deviation = |v: f64| (v - figure.median).clamp(-CLIP, CLIP);
            squares += figure.recent.iter().map(|(_, v)| deviation(*v).powi(2)).sum::<f64>();
            freedom += figure.recent.len() - 1;
        }
        let noise = (squares / freedom.max(1) as f64).max(MIN_NOISE * MIN_NOISE);
        (between, noise)
    }
}

/// Returns the median of the workers of each kind that has enough of known speed.
fn kind_centres(
    known: &[(&WorkerIncarnation, &Figure)],
    fleet: &BTreeMap<WorkerIncarnation, Kind>,
    centre: f64,
) -> BTreeMap<Kind, f64> {
    let mut kinds: BTreeMap<Kind, Vec<f64>> = BTreeMap::new();
    for (incarnation, figure) in known {
        if let Some(kind) = fleet.get(*incarnation) {
            kinds.entry(kind.clone()).or_default().push(figure.median);
        }
    }
    let centre_of = |values: Vec<f64>| {
        if values.len() < MIN_KIND_WORKERS { centre } else { median(values.into_iter()) }
    };
    kinds.into_iter().map(|(kind, values)| (kind, centre_of(values))).collect()
}

/// Returns the median of some values; of an even number, the mean of the middle two; 0 of none.
#[must_use]
pub fn median(values: impl Iterator<Item = f64>) -> f64 {
    let mut sorted: Vec<f64> = values.collect();
    sorted.sort_by(f64::total_cmp);
    let upper = sorted.len() / 2;
    match (sorted.get(upper), sorted.len() % 2) {
        (None, _) => 0.0,
        (Some(middle), 1) => *middle,
        (Some(middle), _) => f64::midpoint(*middle, sorted[upper - 1]),
    }
}
