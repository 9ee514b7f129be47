//! Correction of estimated durations by what the steps of a queue took recently.
//!
//! Callers estimate a step as a whole, and their estimates are off by a factor that all tasks of the step share. Each
//! step therefore counts once, however many tasks it has, and the median of the recent steps corrects the next ones.

use std::collections::{BTreeMap, VecDeque};

use super::id::StepKey;
use super::spec::Queue;
use super::speed::median;
use crate::unit::Timestamp;

/// Steps of a queue that count: the last second of the busiest queue of the first sites, the last minute of the slowest.
const WINDOW: usize = 64;
/// Steps at which the correction counts half; single estimates are off by a factor of up to 2.5.
const HALF_WEIGHT_STEPS: f64 = 2.0;
/// Lowest and highest correction; an estimate further off is a mistake of its caller.
const RATIO_LIMITS: (f64, f64) = (0.25, 4.0);
/// Most queues; a configuration has fewer, but names that it had earlier remain.
const MAX_QUEUES: usize = 256;

/// Recent steps of one queue.
#[derive(Debug)]
struct QueueRatios {
    /// Settings of the queue that the steps ran under.
    settings: Queue,
    /// Latest arrival of a job with these settings.
    latest: Timestamp,
    /// Steps and the logarithm of the ratio of their actual to their estimated duration, oldest first.
    steps: VecDeque<(StepKey, f64)>,
    /// Logarithm of the correction.
    correction: f64,
}

/// Recent ratio of actual to estimated durations, by queue.
#[derive(Debug, Default)]
pub struct EstimateBook {
    queues: BTreeMap<String, QueueRatios>,
}

impl EstimateBook {
    /// Records what a step took so far: the natural logarithm of the ratio of the duration of its tasks, at the speed to which
    /// worker speeds refer, to its estimate. A later call replaces an earlier one of the same step. `arrival` is that of the job:
    /// the first job with changed settings resets the queue, and older ones no longer count.
    pub fn observe(&mut self, queue: &Queue, arrival: Timestamp, step: StepKey, ln_ratio: f64) {
        if !ln_ratio.is_finite() {
            return;
        }
        if !self.queues.contains_key(&queue.name) && self.queues.len() >= MAX_QUEUES {
            let stale =
                self.queues.iter().min_by_key(|(_, ratios)| ratios.latest).map(|(name, _)| name.clone());
            stale.and_then(|name| self.queues.remove(&name));
        }
        let empty = || QueueRatios {
            settings: queue.clone(),
            latest: arrival,
            steps: VecDeque::with_capacity(WINDOW + 1),
            correction: 0.0,
        };
        let ratios = self.queues.entry(queue.name.clone()).or_insert_with(empty);
        if ratios.settings != *queue {
            if arrival <= ratios.latest {
                return;
            }
            *ratios = empty();
        }
        ratios.latest = ratios.latest.max(arrival);
        match ratios.steps.iter_mut().rev().find(|(key, _)| *key == step) {
            Some((_, value)) => *value = ln_ratio,
            None => ratios.steps.push_back((step, ln_ratio)),
        }
        if ratios.steps.len() > WINDOW {
            ratios.steps.pop_front();
        }
        let count = ratios.steps.len() as f64;
        let middle = median(ratios.steps.iter().map(|(_, value)| *value));
        let weighted = middle * count / (count + HALF_WEIGHT_STEPS);
        ratios.correction = weighted.clamp(RATIO_LIMITS.0.ln(), RATIO_LIMITS.1.ln());
    }

    /// Returns the natural logarithm of the factor by which estimates of a queue are to be multiplied.
    #[must_use]
    pub fn ln_correction(&self, queue: &str) -> f64 {
        self.queues.get(queue).map_or(0.0, |ratios| ratios.correction)
    }
}

/// Returns the logarithm of the expected duration of a task: the median of the corrected estimate and of what other tasks of
/// its step needed, each as a logarithm.
#[must_use]
pub fn expected_ln(estimate: f64, others: impl Iterator<Item = f64>) -> f64 {
    median(others.chain(std::iter::once(estimate)))
}
