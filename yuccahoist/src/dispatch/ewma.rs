//! Exponentially weighted moving average of run times.

use std::time::Duration;

/// Weight of a new sample in the steady state.
const SAMPLE_WEIGHT: f64 = 1.0 / 16.0;

/// Moving average; equal to the arithmetic mean for the first sixteen samples.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Ewma {
    mean: f64,
    samples: u32,
}

impl Ewma {
    pub(super) fn add(&mut self, sample: f64) {
        self.samples = self.samples.saturating_add(1);
        let weight = SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples));
        self.mean += (sample - self.mean) * weight;
    }

    pub(super) fn mean(&self) -> Option<f64> {
        (self.samples > 0).then_some(self.mean)
    }

    pub(super) fn samples(&self) -> u32 {
        self.samples
    }

    pub(super) fn as_duration(&self) -> Option<Duration> {
        self.mean().map(|seconds| Duration::from_secs_f64(seconds.max(0.0)))
    }
}
