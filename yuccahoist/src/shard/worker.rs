//! State of a worker incarnation at the owner of the shard.

use std::collections::BTreeMap;

use super::health::Health;
use super::id::{StepKey, TaskKey};
use super::lease::Lease;
use super::message::WorkerEntry;
use super::pacing::Pace;
use crate::unit::{Resources, Timestamp};

/// State of the call that extends the lease and fetches a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Hold {
    /// To be sent at this time.
    Due(Timestamp),
    /// Sent at this time, not answered yet.
    Asked(Timestamp),
}

/// Worker incarnation with its lease, its runs and its health.
#[derive(Debug)]
pub struct Worker {
    /// Latest registry entry.
    pub entry: WorkerEntry,
    /// When the registry ceased to list the worker; `None` while it is listed.
    pub missing: Option<Timestamp>,
    /// Whether the worker has reported its runs under this owner's epoch.
    pub heard: bool,
    /// Whether the worker is responsive, i.e. answered the last call.
    pub answers: bool,
    /// When the call that the last report answers was sent.
    pub reported: Timestamp,
    /// Lease, with the last reading of the worker's clock.
    pub lease: Lease,
    /// Highest number of an ended run that is stored; the worker may drop those up to it.
    pub stored: u64,
    /// Highest number of an ended run that was received.
    pub received: u64,
    /// State of the lease call.
    pub hold: Hold,
    /// Resources of the runs that may be active on the worker, by task and run number.
    pub runs: BTreeMap<(TaskKey, u32), Resources>,
    /// Sum of the resources in `runs`.
    pub used: Resources,
    /// Recent failures and isolation.
    pub health: Health,
    /// Speed of the tasks that use leftover CPU.
    pub pace: Pace,
    /// Last speed ordered for each of these tasks, percent; `None` when it is unknown.
    pub paces: BTreeMap<(TaskKey, u32), Option<u32>>,
}

impl Worker {
    /// Creates the state of a worker whose lease a previous owner may have extended until `inherited`.
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

    /// Reserves the resources of a run; has no effect when they are reserved already.
    pub fn occupy(&mut self, task: TaskKey, run: u32, resources: Resources) {
        if self.runs.insert((task, run), resources).is_none() {
            self.used += resources;
        }
    }

    /// Releases the resources of a run.
    pub fn free(&mut self, task: TaskKey, run: u32) {
        self.paces.remove(&(task, run));
        if self.runs.remove(&(task, run)).is_some() {
            // Summed anew: subtraction saturates, so `used` could end up too high.
            self.used = self.runs.values().fold(Resources::ZERO, |sum, resources| sum + *resources);
        }
    }

    /// Returns the number of runs of a step that may be active on the worker.
    #[must_use]
    pub fn runs_of(&self, step: StepKey) -> usize {
        self.runs.range((step.task(0), 0)..=(step.task(u32::MAX), u32::MAX)).count()
    }

    /// Returns the resources that no run uses.
    #[must_use]
    pub fn room(&self) -> Resources {
        self.entry.capacity.saturating_sub(self.used)
    }

    /// Whether new tasks may be placed on the worker; isolation is checked apart.
    #[must_use]
    pub fn usable(&self, now: Timestamp) -> bool {
        self.missing.is_none()
            && self.heard
            && self.answers
            && !self.entry.draining
            && now + MIN_START_LEASE < self.lease.expiry()
    }
}

/// Least remaining lease for a new run: one write to a slow store and one call to the worker must fit into it.
const MIN_START_LEASE: std::time::Duration = std::time::Duration::from_millis(500);
