//! Slot accounting and health of one worker.

use std::time::Duration;

use crate::dispatch::BackendSpec;
use crate::dispatch::ewma::Ewma;
use crate::id::ServiceId;
use crate::ownership::Share;
use crate::request::Class;
use crate::unit::Timestamp;

/// Consecutive failures after which a worker gets no new requests for a while.
const FAILURE_LIMIT: u32 = 3;

/// Initial backoff for a failing worker; doubles with each further failure.
const AVOID_MIN: Duration = Duration::from_secs(1);

/// Maximum backoff for a failing worker.
const AVOID_MAX: Duration = Duration::from_secs(30);

/// Mean run time, as a multiple of the class mean, above which a worker counts as slow.
const SLOW_RATIO: f64 = 2.5;

/// Run time samples that are required before a worker can count as slow.
const SLOW_SAMPLES: u32 = 8;

/// Time without a sample after which the samples of a worker are discarded, so that a slow worker is tried again.
const SLOW_FORGET: Duration = Duration::from_secs(5);

/// Slot accounting and health of one worker.
#[derive(Debug)]
pub(super) struct Worker {
    pub(super) spec: BackendSpec,
    /// Whether the current configuration has the worker; a removed one stays until its slots are released.
    pub(super) present: bool,
    /// Held slots per class, in the order of [`Class::ALL`].
    pub(super) held: [u32; 3],
    /// Time of the last dispatch to the worker.
    pub(super) used_at: Timestamp,
    /// Run times as multiples of the class mean.
    ratio: Ewma,
    sampled: Timestamp,
    failures: u32,
    avoid: Timestamp,
}

impl Worker {
    pub(super) fn new(spec: BackendSpec) -> Self {
        Self {
            spec,
            present: true,
            held: [0; 3],
            used_at: Timestamp::ZERO,
            ratio: Ewma::default(),
            sampled: Timestamp::ZERO,
            failures: 0,
            avoid: Timestamp::ZERO,
        }
    }

    pub(super) fn used(&self) -> u32 {
        self.held.iter().sum()
    }

    /// Returns how many requests may be in flight under a share; each takes a slot and a connection.
    pub(super) fn capacity(&self, share: Share) -> u32 {
        let part = |whole: u32| match share {
            Share::Nothing => 0,
            Share::Reduced => whole / 2,
            Share::Remainder => whole - whole / 2,
            Share::Full => whole,
        };
        part(self.spec.slots.0).min(part(self.spec.connections.0))
    }

    pub(super) fn free(&self, share: Share) -> u32 {
        self.capacity(share).saturating_sub(self.used())
    }

    pub(super) fn offers(&self, service: &ServiceId) -> bool {
        self.spec.services.contains(service)
    }

    pub(super) fn hold(&mut self, now: Timestamp, class: Class) {
        self.used_at = now;
        self.held[class as usize] += 1;
    }

    pub(super) fn release(&mut self, class: Class) {
        let held = &mut self.held[class as usize];
        *held = held.saturating_sub(1);
    }

    pub(super) fn failing(&self, now: Timestamp) -> bool {
        now < self.avoid
    }

    pub(super) fn slow(&self, now: Timestamp) -> bool {
        let recent = now.since(self.sampled) < SLOW_FORGET;
        let ratio = self.ratio.mean().unwrap_or(1.0);
        recent && self.ratio.samples() >= SLOW_SAMPLES && ratio > SLOW_RATIO
    }

    /// Records a run time as a multiple of the class mean.
    pub(super) fn ran(&mut self, now: Timestamp, ratio: f64) {
        if now.since(self.sampled) >= SLOW_FORGET {
            self.ratio = Ewma::default();
        }
        self.sampled = now;
        self.ratio.add(ratio);
        self.failures = 0;
    }

    pub(super) fn failed(&mut self, now: Timestamp) {
        self.failures = self.failures.saturating_add(1);
        if self.failures >= FAILURE_LIMIT {
            let doublings = (self.failures - FAILURE_LIMIT).min(8);
            self.avoid = now + (AVOID_MIN * (1 << doublings)).min(AVOID_MAX);
        }
    }
}
