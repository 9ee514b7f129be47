//! Slot accounting and health of one worker.

use std::time::Duration;

use crate::dispatch::BackendSpec;
use crate::dispatch::ewma::Ewma;
use crate::id::ServiceId;
use crate::ownership::Share;
use crate::request::Class;
use crate::unit::Timestamp;

/// Consecutive failures after which a worker gets no new requests for a while.
const MAX_CONSECUTIVE_FAILURES: u32 = 3;

/// Initial backoff for a failing worker; doubles with each further failure.
const MIN_FAILURE_BACKOFF: Duration = Duration::from_secs(1);

/// Maximum backoff for a failing worker.
const MAX_FAILURE_BACKOFF: Duration = Duration::from_secs(30);

/// Mean run time, as a multiple of the class mean, above which a worker counts as slow.
const SLOW_RUN_RATIO: f64 = 2.5;

/// Run time samples that are required before a worker can count as slow.
const MIN_SLOW_SAMPLES: u32 = 8;

/// Time without a sample after which the samples of a worker are discarded, so that a slow worker is tried again.
const SAMPLE_RETENTION: Duration = Duration::from_secs(5);

/// Slot accounting and health of one worker.
#[derive(Debug)]
pub(super) struct Worker {
    pub(super) spec: BackendSpec,
    /// Whether the current configuration has the worker; a removed one stays until its slots are released.
    pub(super) configured: bool,
    /// Held slots per class, in the order of [`Class::ALL`].
    pub(super) held: [u32; 3],
    /// Time of the last dispatch to the worker.
    pub(super) last_used: Timestamp,
    /// Run times as multiples of the class mean.
    run_ratio: Ewma,
    last_sample: Timestamp,
    failures: u32,
    avoid_until: Timestamp,
}

impl Worker {
    pub(super) fn new(spec: BackendSpec) -> Self {
        Self {
            spec,
            configured: true,
            held: [0; 3],
            last_used: Timestamp::ZERO,
            run_ratio: Ewma::default(),
            last_sample: Timestamp::ZERO,
            failures: 0,
            avoid_until: Timestamp::ZERO,
        }
    }

    pub(super) fn held_slots(&self) -> u32 {
        self.held.iter().sum()
    }

    /// Returns how many requests may be in flight under a share; each takes a slot and a connection.
    pub(super) fn capacity(&self, share: Share) -> u32 {
        let part = |limit: u32| match share {
            Share::Nothing => 0,
            Share::Reduced => limit / 2,
            Share::Remainder => limit - limit / 2,
            Share::Full => limit,
        };
        part(self.spec.slots.0).min(part(self.spec.connections.0))
    }

    pub(super) fn free_slots(&self, share: Share) -> u32 {
        self.capacity(share).saturating_sub(self.held_slots())
    }

    pub(super) fn offers(&self, service: &ServiceId) -> bool {
        self.spec.services.contains(service)
    }

    pub(super) fn acquire_slot(&mut self, now: Timestamp, class: Class) {
        self.last_used = now;
        self.held[class as usize] += 1;
    }

    pub(super) fn release_slot(&mut self, class: Class) {
        let held = &mut self.held[class as usize];
        *held = held.saturating_sub(1);
    }

    pub(super) fn is_failing(&self, now: Timestamp) -> bool {
        now < self.avoid_until
    }

    pub(super) fn is_slow(&self, now: Timestamp) -> bool {
        let recent = now.since(self.last_sample) < SAMPLE_RETENTION;
        let mean_ratio = self.run_ratio.mean().unwrap_or(1.0);
        recent && self.run_ratio.samples() >= MIN_SLOW_SAMPLES && mean_ratio > SLOW_RUN_RATIO
    }

    /// Records a run time as a multiple of the class mean.
    pub(super) fn record_success(&mut self, now: Timestamp, ratio: f64) {
        if now.since(self.last_sample) >= SAMPLE_RETENTION {
            self.run_ratio = Ewma::default();
        }
        self.last_sample = now;
        self.run_ratio.add(ratio);
        self.failures = 0;
    }

    pub(super) fn record_failure(&mut self, now: Timestamp) {
        self.failures = self.failures.saturating_add(1);
        if self.failures >= MAX_CONSECUTIVE_FAILURES {
            let doublings = (self.failures - MAX_CONSECUTIVE_FAILURES).min(8);
            self.avoid_until = now + (MIN_FAILURE_BACKOFF * (1 << doublings)).min(MAX_FAILURE_BACKOFF);
        }
    }
}
