//! What changed on a worker between its reports: the kinds that ran there, for how long they were the same, and the
//! progress of its runs meanwhile.
//!
//! Progress says something of the neighbours only while they stay the same, and a tail latency or CPU usage only if they
//! did for the time that it covers.

use std::collections::BTreeMap;
use std::time::Duration;

use super::id::TaskKey;
use super::interference::{KindId, KindSet};
use crate::unit::Timestamp;

/// Time that a reported tail latency or CPU usage covers; set by the platform.
const LOAD_PERIOD: Duration = Duration::from_millis(500);
/// Least progress that gives a rate, percent; it is reported in whole percent, so the rate is off by a tenth at most.
const MIN_PROGRESS: u32 = 10;

/// Active run of a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WatchedRun {
    /// Task and run.
    pub run: (TaskKey, u32),
    /// Kind, if it is kept.
    pub kind: KindId,
    /// Progress, percent.
    pub percent: u32,
}

/// What a report shows of a run whose neighbours stayed the same.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Reading {
    /// Task and run.
    pub run: (TaskKey, u32),
    /// Kinds of the other runs.
    pub neighbours: KindSet,
    /// Time that the task would take at its rate of progress, if the progress is enough to tell.
    pub whole: Option<Duration>,
}

/// Kinds on a worker, and the progress of its runs since they are the same.
#[derive(Debug, Clone, Default)]
pub struct Watch {
    /// Kinds of the runs of the last report.
    listed: KindSet,
    /// Kinds with more than one run in the last report.
    several: KindSet,
    since: Timestamp,
    /// Progress of each run and when it was reported.
    marks: BTreeMap<(TaskKey, u32), (u32, Timestamp)>,
    /// Kinds of all runs that may be active, including those placed since the last report.
    present: KindSet,
}

impl Watch {
    /// Returns the kinds of all runs that may be active.
    #[must_use]
    pub fn present(&self) -> KindSet {
        self.present
    }

    /// Sets the kinds of all runs that may be active.
    pub fn set_present(&mut self, present: KindSet) {
        self.present = present;
    }

    /// Notes a placement.
    pub fn add(&mut self, kind: KindId) {
        self.present.insert(kind);
    }

    /// Returns the kinds beside a run of `kind` that ended, if they were the same for at least half of the time since
    /// `started`. The last report still listed the run.
    #[must_use]
    pub fn neighbours_of_ended(&self, now: Timestamp, started: Timestamp, kind: KindId) -> Option<KindSet> {
        let is_steady = now.since(self.since) * 2 >= now.since(started);
        (is_steady && self.listed.contains(kind)).then(|| self.beside(kind))
    }

    fn beside(&self, kind: KindId) -> KindSet {
        if self.several.contains(kind) { self.listed } else { self.listed.without(kind) }
    }

    /// Takes in the runs of a report; returns readings of those that say something.
    pub fn update(&mut self, now: Timestamp, runs: &[WatchedRun]) -> Vec<Reading> {
        let (mut listed, mut several) = (KindSet::default(), KindSet::default());
        for run in runs {
            if listed.contains(run.kind) {
                several.insert(run.kind);
            }
            listed.insert(run.kind);
        }
        if (listed, several) != (self.listed, self.several) {
            (self.listed, self.several, self.since) = (listed, several, now);
            self.marks.clear();
        }
        let earlier = std::mem::take(&mut self.marks);
        let is_steady = now >= self.since + LOAD_PERIOD;
        let mut readings = Vec::new();
        for run in runs {
            let (percent, at) = earlier.get(&run.run).copied().unwrap_or((run.percent, now));
            let progress = run.percent.saturating_sub(percent);
            let whole = (progress >= MIN_PROGRESS).then(|| now.since(at) * 100 / progress);
            let mark =
                if whole.is_some() || run.percent < percent { (run.percent, now) } else { (percent, at) };
            self.marks.insert(run.run, mark);
            if is_steady {
                readings.push(Reading { run: run.run, neighbours: self.beside(run.kind), whole });
            }
        }
        readings
    }
}
