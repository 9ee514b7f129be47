//! Comparison of the samples of one kind with a neighbour with those without it.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use super::{KindId, KindSet, MAX_SLOWDOWN, Pair, Signal};
use crate::shard::id::{StepKey, TaskKey};
use crate::shard::speed::median;
use crate::unit::Timestamp;

/// Neighbours that are found to disturb one kind; with more, the samples do not tell them apart.
const MAX_DISTURBING: usize = 8;
/// Age from which a sample is ignored; effects change within seconds, and a pair must meet six times within it.
const MAX_SAMPLE_AGE: Duration = Duration::from_secs(20);
/// Runs with the neighbour, and without it, below which nothing is concluded.
const MIN_RUNS: usize = 6;
/// Last runs with the neighbour that count; a change is followed once it holds for more than half of them.
const RECENT_RUNS: usize = 12;
/// Steps, and one less for workers, from which the samples with the neighbour must come; the samples of one share an error.
const MIN_GROUPS: usize = 3;
/// Comparable samples without the neighbour from which their median replaces that of all.
const MIN_COMPARABLE: u32 = 2;
/// Workers on which an effect must appear, where compared with the worker's own samples, and where not.
const MIN_WORKERS: (usize, usize) = (2, 3);
/// Part of its effect that a worker must show to count as confirming it.
const CONFIRMING_PART: f64 = 0.5;
/// Time between samples of tail latency that are comparable; shorter than demand varies (11 to 17 s).
const TAIL_PERIOD: Duration = Duration::from_secs(3);
/// Effect from which a pair is learned, and below which it is dropped: durations within a step differ by 15 to
/// 30 %.
const EFFECT_LIMITS: (f64, f64) = (1.2, 1.07);
/// Standard errors from which a pair is learned, and below which it is dropped. With fewer, harmless pairs were learned in
/// the tables of loads.
const CONFIDENCE_LIMITS: (f64, f64) = (4.0, 1.5);
/// Least standard deviation of a sample, natural logarithm; progress is reported in whole percent.
const MIN_NOISE: f64 = 0.1;
/// Standard deviation of a normal distribution relative to its median absolute deviation.
const NORMAL_DEVIATION: f64 = 1.4826;
/// Residual beyond which a sample counts only this much, natural logarithm; stragglers are further away.
const CLIP: f64 = 0.7;
/// Standard error of a median relative to that of a mean, for normal errors.
const MEDIAN_ERROR: f64 = 1.2533;

/// Sample as kept.
#[derive(Debug, Clone, Copy)]
pub(super) struct Observation {
    pub(super) run: (TaskKey, u32),
    pub(super) worker: u64,
    pub(super) neighbours: KindSet,
    pub(super) level: f64,
    /// Number of samples that `level` is the mean of.
    pub(super) count: f64,
    pub(super) at: Timestamp,
}

/// Recent samples of one kind and signal; sets of samples have a bit for each index.
pub(super) struct Samples {
    signal: Signal,
    list: Vec<Observation>,
    /// Samples that are comparable with each one.
    comparable: Vec<u64>,
}

impl Samples {
    pub(super) fn new(now: Timestamp, signal: Signal, history: &VecDeque<Observation>) -> Self {
        let recent = history.iter().filter(|o| now < o.at + MAX_SAMPLE_AGE);
        let list: Vec<Observation> = recent.copied().collect();
        let comparable = list.iter().map(|a| {
            let indexes = list.iter().enumerate().filter(|(_, b)| is_comparable(signal, a, b));
            indexes.fold(0, |set, (index, _)| set | 1 << index)
        });
        let comparable = comparable.collect();
        Self { signal, list, comparable }
    }

    /// Returns the neighbours that disturb, and all with enough samples to tell.
    pub(super) fn find_disturbing(
        &mut self,
        known: &BTreeMap<KindId, Pair>,
    ) -> (Vec<(KindId, Pair)>, KindSet) {
        let mut judged = KindSet::default();
        let mut left = self.list.iter().fold(KindSet::default(), |all, o| KindSet(all.0 | o.neighbours.0));
        let mut found = Vec::new();
        while found.len() < MAX_DISTURBING {
            let mut best: Option<(KindId, f64, Pair)> = None;
            for kind in left.kinds() {
                let Some((effect, pair)) = self.effect(kind) else { continue };
                judged.insert(kind);
                let is_known = known.contains_key(&kind);
                let limits = if is_known {
                    (EFFECT_LIMITS.1, CONFIDENCE_LIMITS.1)
                } else {
                    (EFFECT_LIMITS.0, CONFIDENCE_LIMITS.0)
                };
                let is_certain = effect >= limits.0.ln() && pair.confidence >= limits.1;
                if is_certain && best.is_none_or(|(_, _, b)| pair.confidence > b.confidence) {
                    best = Some((kind, effect, pair));
                }
            }
            let Some((kind, effect, pair)) = best else { break };
            left = left.without(kind);
            let with = self.list.iter_mut().filter(|o| o.neighbours.contains(kind));
            with.for_each(|o| o.level -= effect);
            found.push((kind, pair));
        }
        (found, judged)
    }

    /// Returns the effect of a neighbour, natural logarithm; `None` with too few samples to tell.
    fn effect(&self, kind: KindId) -> Option<(f64, Pair)> {
        let is_with = |index: &usize| self.list[*index].neighbours.contains(kind);
        let (with, without): (Vec<usize>, Vec<usize>) = (0..self.list.len()).partition(is_with);
        let without_set = without.iter().fold(0_u64, |set, index| set | 1 << index);
        let (with, without) = (self.independent(&with), self.independent(&without));
        if with.len() < MIN_RUNS || without.len() < MIN_RUNS {
            return None;
        }
        let seen = with.iter().map(|index| self.list[*index].at).max()?;
        let contrast = self.contrast(&with, &without, without_set)?;
        let Contrast { effect, error } = contrast;
        // Less than the measured effect by its error, so that uncertain pairs count less.
        let slowdown = ((effect - error).max(0.0).exp_m1() * 100.0).min(f64::from(MAX_SLOWDOWN));
        let pair =
            Pair { signal: self.signal, slowdown: slowdown.round() as u32, confidence: effect / error, seen };
        Some((effect, pair))
    }

    /// Compares samples with a neighbour with those without it that are comparable, or with all if too few are.
    fn contrast(&self, with: &[usize], without: &[usize], without_set: u64) -> Option<Contrast> {
        let compared = |index: &usize| {
            (self.comparable[*index] & without_set & !(1 << index)).count_ones() >= MIN_COMPARABLE
        };
        let own = self.recent(with.iter().copied().filter(compared));
        let is_own = own.len() >= MIN_RUNS;
        let with = if is_own { own } else { self.recent(with.iter().copied()) };
        // A sample is not compared with itself, which would make the deviation look small.
        let references = |index: usize| {
            without_set & !(1 << index) & if is_own { self.comparable[index] } else { u64::MAX }
        };
        let residual = |index: &usize| self.list[*index].level - self.median_of(references(*index));
        let differences: Vec<(u64, f64)> = with.iter().map(|i| (self.list[*i].worker, residual(i))).collect();
        let effect = median(differences.iter().map(|(_, difference)| *difference));
        let apart: Vec<usize> = without.iter().copied().filter(|i| !is_own || compared(i)).collect();
        let groups = self.groups(&with);
        let least_groups = MIN_GROUPS - usize::from(self.signal != Signal::Progress);
        if groups.len() < least_groups || apart.len() < MIN_RUNS {
            return None;
        }
        let least_workers = if is_own { MIN_WORKERS.0 } else { MIN_WORKERS.1 };
        if !is_confirmed(&differences, effect, least_workers) {
            return Some(Contrast { effect: 0.0, error: 1.0 });
        }
        let deviation = deviation(&apart.iter().map(residual).collect::<Vec<f64>>());
        let group_count = groups.len() as f64;
        let variance = if is_own {
            // The samples of a group share their reference, and with it its error.
            let of_group = |(count, first): &(usize, usize)| {
                1.0 / *count as f64 + 1.0 / f64::from(references(*first).count_ones().max(1))
            };
            groups.values().map(of_group).sum::<f64>() / group_count / group_count
        } else {
            1.0 / group_count + 1.0 / self.groups(&apart).len().max(1) as f64
        };
        Some(Contrast { effect, error: deviation.max(MIN_NOISE) * MEDIAN_ERROR * variance.sqrt() })
    }

    /// Returns the last samples with a neighbour, of more than one step if there are.
    fn recent(&self, indexes: impl Iterator<Item = usize>) -> Vec<usize> {
        let mut counts: BTreeMap<Group, usize> = BTreeMap::new();
        let is_few = |index: &usize| {
            let count = counts.entry(self.group(*index)).or_default();
            *count += 1;
            *count <= RECENT_RUNS / MIN_GROUPS
        };
        indexes.filter(is_few).take(RECENT_RUNS).collect()
    }

    /// Returns the groups of samples that share an error, each with their number and one of them.
    fn groups(&self, indexes: &[usize]) -> BTreeMap<Group, (usize, usize)> {
        let mut groups = BTreeMap::new();
        for index in indexes {
            groups.entry(self.group(*index)).or_insert((0, *index)).0 += 1;
        }
        groups
    }

    fn group(&self, index: usize) -> Group {
        let observation = &self.list[index];
        match self.signal {
            Signal::Progress => Group::Step(observation.run.0.step),
            Signal::Tail | Signal::Cpu => Group::Worker(observation.worker),
        }
    }

    /// Returns the samples of different runs, latest first. A tail latency varies from second to second, so its samples
    /// count each.
    fn independent(&self, indexes: &[usize]) -> Vec<usize> {
        let mut runs = BTreeSet::new();
        let is_new = |index: &usize| self.signal == Signal::Tail || runs.insert(self.list[*index].run);
        indexes.iter().rev().copied().filter(is_new).collect()
    }

    fn median_of(&self, set: u64) -> f64 {
        let indexes = (0..self.list.len()).filter(|index| set >> index & 1 == 1);
        median(indexes.map(|index| self.list[index].level))
    }
}

/// Samples that share an error: that of the estimate of their step, or that of the figure of their worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Group {
    Step(StepKey),
    Worker(u64),
}

/// Difference between samples with and without a neighbour, natural logarithms.
#[derive(Debug, Clone, Copy)]
struct Contrast {
    effect: f64,
    /// Standard error of the effect.
    error: f64,
}

fn is_comparable(signal: Signal, a: &Observation, b: &Observation) -> bool {
    let step = |o: &Observation| -> StepKey { o.run.0.step };
    match signal {
        Signal::Tail => a.worker == b.worker && a.at < b.at + TAIL_PERIOD && b.at < a.at + TAIL_PERIOD,
        Signal::Cpu => a.worker == b.worker,
        Signal::Progress => step(a) == step(b),
    }
}

/// Returns the standard deviation of residuals. With few of them the median absolute one is often far too small, and the
/// clipped one is too small where most are beyond the limit; so the larger counts.
fn deviation(residuals: &[f64]) -> f64 {
    let squares = residuals.iter().map(|r| r.clamp(-CLIP, CLIP).powi(2)).sum::<f64>();
    let clipped = (squares / residuals.len().max(1) as f64).sqrt();
    let absolute = median(residuals.iter().map(|r| r.abs())) * NORMAL_DEVIATION;
    clipped.max(absolute)
}

/// Whether two thirds of the workers, and at least `least`, show the effect.
fn is_confirmed(differences: &[(u64, f64)], effect: f64, least: usize) -> bool {
    let mut workers: BTreeMap<u64, Vec<f64>> = BTreeMap::new();
    for (worker, difference) in differences {
        workers.entry(*worker).or_default().push(*difference);
    }
    let shows = |values: &&Vec<f64>| median(values.iter().copied()) >= effect * CONFIRMING_PART;
    let confirming = workers.values().filter(shows).count();
    effect > 0.0 && confirming >= least && confirming * 3 >= workers.len() * 2
}
