//! A worker as the owner of the shard knows it.

use std::collections::BTreeMap;

use super::health::Health;
use super::id::{StepKey, TaskName};
use super::lease::Lease;
use super::message::WorkerEntry;
use super::pacing::Pace;
use crate::unit::{Resources, Timestamp};

/// Progress of the calls that extend the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Hold {
    /// Due at a time.
    Due(Timestamp),
    /// Sent at a time, not answered yet.
    Asked(Timestamp),
}

/// Worker incarnation.
#[derive(Debug)]
pub struct Worker {
    /// Registry entry.
    pub entry: WorkerEntry,
    /// Since when the registry does not list it; none while it does.
    pub missing: Option<Timestamp>,
    /// Whether it has listed its runs under this owner's epoch.
    pub heard: bool,
    /// Whether the last call was answered.
    pub answers: bool,
    /// When the call was sent that the last report answered.
    pub reported: Timestamp,
    /// Clock and lease.
    pub lease: Lease,
    /// Highest end that is stored.
    pub stored: u64,
    /// Highest end that was received.
    pub received: u64,
    /// Calls that extend the lease.
    pub hold: Hold,
    /// Resources of the runs that may be there, by task and run number.
    pub runs: BTreeMap<(TaskName, u32), Resources>,
    /// Sum over `runs`.
    pub used: Resources,
    /// Failures.
    pub health: Health,
    /// Speed of the tasks that fill.
    pub pace: Pace,
    /// Speed of each of them that was last ordered, percent; none when it is not known.
    pub paces: BTreeMap<(TaskName, u32), Option<u32>>,
}

impl Worker {
    /// Worker with its registry entry and the lease that a previous owner may have left.
    #[must_use]
    pub fn new(entry: WorkerEntry, now: Timestamp, inherited: Timestamp) -> Self {
        Self {
            entry,
            missing: None,
            heard: false,
            answers: true,
            reported: now,
            lease: Lease::new(inherited),
            stored: 0,
            received: 0,
            hold: Hold::Due(now),
            runs: BTreeMap::new(),
            used: Resources::ZERO,
            health: Health::default(),
            pace: Pace::default(),
            paces: BTreeMap::new(),
        }
    }

    /// Counts a run against the capacity.
    pub fn occupy(&mut self, task: TaskName, run: u32, need: Resources) {
        if self.runs.insert((task, run), need).is_none() {
            self.used += need;
        }
    }

    /// Frees the resources of a run.
    pub fn free(&mut self, task: TaskName, run: u32) {
        self.paces.remove(&(task, run));
        if self.runs.remove(&(task, run)).is_some() {
            // Summed again, because subtraction saturates.
            self.used = self.runs.values().fold(Resources::ZERO, |sum, need| sum + *need);
        }
    }

    /// Number of runs of a step that may be there.
    #[must_use]
    pub fn runs_of(&self, step: StepKey) -> usize {
        self.runs.range((step.task(0), 0)..=(step.task(u32::MAX), u32::MAX)).count()
    }

    /// Resources that no run uses.
    #[must_use]
    pub fn room(&self) -> Resources {
        self.entry.capacity.saturating_sub(self.used)
    }

    /// Whether the worker may get new tasks.
    #[must_use]
    pub fn usable(&self, now: Timestamp) -> bool {
        self.missing.is_none()
            && self.heard
            && self.answers
            && !self.entry.draining
            && now + MARGIN < self.lease.expiry()
    }
}

/// Rest of a lease that a new run needs to arrive in time.
const MARGIN: std::time::Duration = std::time::Duration::from_millis(500); // A write and a call under a slow store.
