//! Simulated worker: its capacity, its clock and its runs.

use std::collections::BTreeMap;

use super::super::order::EndedRow;

/// Work between two checkpoints of a run.
const CHECKPOINT_INTERVAL_MS: u64 = 500;

/// Capacity and labels of a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerSpec {
    /// Worker id, as in the registry and in orders.
    pub id: String,
    /// CPU capacity, thousandths of a core.
    pub cpu_millis: u64,
    /// Memory capacity, MB.
    pub memory_mb: u64,
    /// Labels that a step can require: the kind of the worker and its rack.
    pub labels: Vec<String>,
}

#[derive(Debug, Clone)]
pub(super) struct Run {
    /// Fencing token of the order that started the run.
    pub(super) fencing_token: u64,
    pub(super) started_at: u64,
    /// Time at which the work is done, or at which a stop takes effect.
    pub(super) ends_at: u64,
    pub(super) end_kind: &'static str,
    pub(super) in_gang: bool,
    pub(super) cpu_millis: u64,
    pub(super) memory_mb: u64,
    /// Work that the resumed checkpoint covers, milliseconds.
    pub(super) saved_ms: u64,
    pub(super) is_checkpointing: bool,
    /// Speed of a filler, percent; `None` for other tasks.
    pub(super) pace: Option<u32>,
    /// Target of the tail latency of a serving task, milliseconds.
    pub(super) tail_target: Option<u64>,
}

#[derive(Debug)]
pub(super) struct Worker {
    pub(super) spec: WorkerSpec,
    /// Start of the incarnation, Unix milliseconds.
    pub(super) started_at: u64,
    /// Time at which the worker's clock read `initial_clock`.
    pub(super) clock_start: u64,
    /// First reading of the worker's clock, milliseconds.
    pub(super) initial_clock: u64,
    /// Speed of the worker's clock, percent of real time.
    pub(super) clock_percent: u64,
    /// Time from the end of the lease until its timer fires, milliseconds.
    pub(super) timer_delay: u64,
    pub(super) is_up: bool,
    /// Whether calls wait for the next incarnation while the worker is down.
    pub(super) is_dark: bool,
    /// Whether the registry still shows the worker; a worker that leaves removes its entry before or after its runs end.
    pub(super) is_registered: bool,
    /// Until when a draining worker serves; `None` for one that does not drain.
    pub(super) drain_end: Option<u64>,
    pub(super) highest_token: u64,
    /// Expiry of the lease on the worker's clock.
    pub(super) lease_expiry: u64,
    pub(super) runs: BTreeMap<(String, u32), Run>,
    /// Ended runs that are not acknowledged, each with the time of its end.
    pub(super) ended_runs: Vec<(u64, EndedRow)>,
    pub(super) last_end: u64,
    /// Number of the last end that was not acknowledged before the lease expired; ends up to it do not count.
    pub(super) last_voided: u64,
    pub(super) highest_runs: BTreeMap<String, u32>,
}

impl Worker {
    /// New incarnation, without runs and without a lease.
    pub(super) const fn new(spec: WorkerSpec, started_at: u64, clock_start: u64, clock_percent: u64) -> Self {
        Self {
            spec,
            started_at,
            clock_start,
            initial_clock: 0,
            clock_percent,
            timer_delay: 0,
            is_up: true,
            is_dark: false,
            is_registered: true,
            drain_end: None,
            highest_token: 0,
            lease_expiry: 0,
            runs: BTreeMap::new(),
            ended_runs: Vec::new(),
            last_end: 0,
            last_voided: 0,
            highest_runs: BTreeMap::new(),
        }
    }

    pub(super) fn clock(&self, now: u64) -> u64 {
        self.initial_clock + now.saturating_sub(self.clock_start) * self.clock_percent / 100
    }

    /// Returns the run's newest checkpoint, the finished work as hexadecimal milliseconds; empty without one.
    pub(super) fn checkpoint(run: &Run, now: u64) -> String {
        if !run.is_checkpointing {
            return String::new();
        }
        let work = run.saved_ms
            + now.saturating_sub(run.started_at) / CHECKPOINT_INTERVAL_MS * CHECKPOINT_INTERVAL_MS;
        if work == 0 { String::new() } else { format!("{work:08x}") }
    }

    pub(super) fn end_run(&mut self, now: u64, key: (String, u32), end_kind: &'static str) {
        let Some(run) = self.runs.remove(&key) else { return };
        let (task, run_id) = key;
        let highest = self.highest_runs.entry(task.clone()).or_default();
        *highest = (*highest).max(run_id);
        self.last_end += 1;
        let checkpoint = Self::checkpoint(&run, now);
        self.ended_runs.push((now, (self.last_end, task, run_id, end_kind, checkpoint)));
    }
}
