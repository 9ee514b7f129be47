//! Usable workers of a shard, and the views of its slots for the queue policy and the fronts.

use std::collections::BTreeSet;
use std::time::Duration;

use super::ewma::Ewma;
use super::worker::Worker;
use super::{DEFAULT_RUN_LIMIT, Dispatcher, LoadSummary, Shard, SlotView};
use crate::id::{ServiceId, ShardId, WorkerId};
use crate::ownership::{Grant, Share};
use crate::request::Class;
use crate::unit::Timestamp;

impl Dispatcher {
    pub(super) fn load_summary(
        &self,
        id: &ShardId,
        shard: &Shard,
        grant: &Grant,
        now: Timestamp,
    ) -> LoadSummary {
        let usable = self.usable_workers(shard, now);
        let view = self.slot_view(&usable, grant.share);
        let free_total: u32 = usable.iter().map(|worker| worker.free_slots(grant.share)).sum();
        let free =
            |class| if self.stopping { 0 } else { shard.queue.available_slots(class, &view).min(free_total) };
        let wait = |class| {
            u32::try_from(shard.queue.expected_wait(class, None, &view).as_millis()).unwrap_or(u32::MAX)
        };
        let services: BTreeSet<&ServiceId> =
            usable.iter().filter(|_| !self.stopping).flat_map(|worker| &worker.spec.services).collect();
        LoadSummary {
            shard: id.clone(),
            epoch: grant.epoch,
            free: Class::ALL.into_iter().map(|class| (class, free(class))).collect(),
            wait_ms: Class::ALL.into_iter().map(|class| (class, wait(class))).collect(),
            services: services.into_iter().cloned().collect(),
        }
    }

    /// Returns the workers that may get new requests. Failing workers are excluded unless more than half of the
    /// shard's workers are failing.
    pub(super) fn usable_workers(&self, shard: &Shard, now: Timestamp) -> Vec<&Worker> {
        let accepts_work = |id: &&WorkerId| !self.draining.contains(*id);
        let workers: Vec<&Worker> = shard
            .workers
            .iter()
            .filter(accepts_work)
            .filter_map(|id| self.workers.get(id))
            .filter(|worker| worker.configured)
            .collect();
        let failing = workers.iter().filter(|worker| worker.is_failing(now)).count();
        if failing * 2 > workers.len() {
            return workers;
        }
        workers.into_iter().filter(|worker| !worker.is_failing(now)).collect()
    }

    pub(super) fn slot_view(&self, usable: &[&Worker], share: Share) -> SlotView {
        let held = |class: Class| usable.iter().map(|worker| worker.held[class as usize]).sum();
        SlotView {
            capacity: usable.iter().map(|worker| worker.capacity(share)).sum(),
            held: Class::ALL.map(held),
            run_times: Class::ALL.map(|class| self.run_times.get(&class).and_then(Ewma::as_duration)),
        }
    }

    pub(super) fn run_limit(&self, class: Class) -> Duration {
        self.limits.classes.get(&class).map_or(DEFAULT_RUN_LIMIT, |limits| limits.run_limit)
    }
}
