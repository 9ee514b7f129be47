//! Runs that are lost with their worker.

use super::Owner;
use crate::shard::id::WorkerIncarnation;
use crate::shard::loss::WorkerFate;
use crate::shard::message::EndKind;
use crate::unit::Timestamp;

impl Owner {
    /// Ends all runs of a lost worker.
    pub(super) fn lose_runs(&mut self, now: Timestamp, incarnation: &WorkerIncarnation, fate: WorkerFate) {
        let Some(worker) = self.workers.get(incarnation) else { return };
        let runs: Vec<_> = worker.runs.iter().map(|(key, run)| (*key, *run)).collect();
        let beside = runs.len().saturating_sub(1);
        for ((task, run), reserved) in runs {
            let age = reserved.proven_age().as_millis();
            log::info!(
                target: "decision",
                "lost task={task} run={run} worker={incarnation} fate={fate} ordered={} age_ms={age} beside={beside}",
                reserved.ordered_at.is_some(),
            );
            self.on_end(now, incarnation, task, run, EndKind::Lapsed, "");
        }
    }
}
