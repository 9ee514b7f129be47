//! Counts of one host.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;

/// Number and bytes of one kind of traffic.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct Count {
    /// Messages, records or calls.
    pub number: u64,
    /// Bytes.
    pub bytes: u64,
}

/// What one host did while it was measured.
#[derive(Debug, Clone, Default)]
pub struct Tally {
    /// Traffic by kind.
    pub traffic: BTreeMap<String, Count>,
    /// Time of `handle` by kind of event.
    pub time: BTreeMap<&'static str, Duration>,
}

impl Tally {
    pub(super) fn add(&mut self, kind: impl Into<String>, number: u64, bytes: usize) {
        let count = self.traffic.entry(kind.into()).or_default();
        count.number += number;
        count.bytes += u64::try_from(bytes).unwrap_or(u64::MAX);
    }

    pub(super) fn spend(&mut self, kind: &'static str, time: Duration) {
        *self.time.entry(kind).or_default() += time;
    }
}
