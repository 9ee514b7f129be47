//! What the simulated workers show: their registry entries, reports and tail latencies.

use super::super::order::HoldReply;
use super::Fleet;
use super::worker::{Run, Worker};

/// Largest number of ended runs in one report.
const MAX_REPORTED_ENDS: usize = 500;

impl Fleet {
    /// Registry entry of a worker that listens at `address`; `None` while it is down or has removed its entry.
    #[must_use]
    pub fn registry_entry(&self, id: &str, address: &str) -> Option<serde_json::Value> {
        let worker = self.workers.get(id).filter(|w| w.is_up && w.is_registered)?;
        let remaining = worker.drain_end.map(|end| end.saturating_sub(self.now));
        Some(serde_json::json!({
            "service": "service", "address": address, "zone": "zone", "version": "v1", "slots": 8,
            "state": if remaining.is_some() { "draining" } else { "ready" },
            "remainingMs": remaining, "coldRemainingMs": 0, "born": worker.started_at, "sequence": worker.clock(self.now),
            "capacity": { "cpuRequest": worker.spec.cpu_millis, "memMb": worker.spec.memory_mb, "gpuCount": 0 },
            "labels": worker.spec.labels,
        }))
    }

    /// Start of the worker's incarnation, Unix milliseconds; `None` while it is down.
    #[must_use]
    pub fn started_at(&self, id: &str) -> Option<u64> {
        self.workers.get(id).filter(|w| w.is_up).map(|w| w.started_at)
    }

    /// Whether the worker is up; false for an unknown one.
    #[must_use]
    pub fn is_up(&self, id: &str) -> bool {
        self.workers.get(id).is_some_and(|w| w.is_up)
    }

    /// Whether a worker is down and calls wait for its next incarnation.
    #[must_use]
    pub fn is_dark(&self, id: &str) -> bool {
        self.workers.get(id).is_some_and(|w| !w.is_up && w.is_dark)
    }

    /// Returns the current answer to a hold order; `None` for an unknown worker.
    #[must_use]
    pub fn report(&self, id: &str) -> Option<HoldReply> {
        let worker = self.workers.get(id)?;
        // Model of the tail latency: 60 ms without fillers, and 40 ms more for each filler at full speed.
        let tail = 60
            + worker.runs.values().filter_map(|r| r.pace).map(|pace| u64::from(pace) * 40 / 100).sum::<u64>();
        let row = |((task, run_id), run): (&(String, u32), &Run)| {
            let load = if run.tail_target.is_some() { tail } else { run.cpu_millis };
            let duration = run.ends_at.saturating_sub(run.started_at).max(1);
            let percent = (self.now.saturating_sub(run.started_at) * 100 / duration).min(100);
            (task.clone(), *run_id, Worker::checkpoint(run, self.now), percent, load)
        };
        Some(HoldReply {
            clock_ms: worker.clock(self.now),
            born: worker.started_at,
            active_runs: worker.runs.iter().map(row).collect(),
            ended_runs: worker
                .ended_runs
                .iter()
                .take(MAX_REPORTED_ENDS)
                .map(|(_, end)| end.clone())
                .collect(),
        })
    }

    /// Whether a worker has an unacknowledged end with a number above `last`.
    #[must_use]
    pub fn has_end_after(&self, id: &str, last: u64) -> bool {
        self.workers.get(id).is_some_and(|w| w.ended_runs.iter().any(|(_, e)| e.0 > last))
    }

    /// Worst tail latency of all serving tasks, percent of its target; 0 without a serving task.
    #[must_use]
    pub fn worst_tail_percent(&self) -> u64 {
        let worst_on = |id: &String| {
            let report = self.report(id)?;
            let load = |key: &(String, u32)| {
                report.active_runs.iter().find(|row| row.0 == key.0 && row.1 == key.1).map(|row| row.4)
            };
            let runs = self.workers[id].runs.iter();
            runs.filter_map(|(key, run)| Some(load(key)? * 100 / run.tail_target?)).max()
        };
        self.workers.keys().filter_map(worst_on).max().unwrap_or(0)
    }
}
