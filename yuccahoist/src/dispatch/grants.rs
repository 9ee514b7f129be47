//! Shard grants: when requests may be sent, and when an epoch is quiescent.

use std::collections::BTreeSet;

use super::in_flight::finished;
use super::{DispatchAction, Dispatcher, ForwardId, Shard};
use crate::id::{Epoch, ShardId};
use crate::ownership::{Grant, Share};
use crate::request::{Outcome, Refusal};
use crate::unit::Timestamp;

impl Dispatcher {
    pub(super) fn set_grant(
        &mut self,
        now: Timestamp,
        id: &ShardId,
        grant: &Grant,
        out: &mut Vec<DispatchAction>,
    ) {
        let shard = self.shard(id);
        let earlier = shard.grant.replace(grant.clone()).filter(|earlier| earlier.epoch != grant.epoch);
        self.ending_epochs.remove(&grant.epoch);
        if let Some(earlier) = earlier {
            self.end_epoch(earlier.epoch, out);
        }
        self.dispatch_ready(now, id, out);
    }

    pub(super) fn shard(&mut self, id: &ShardId) -> &mut Shard {
        let policy = &self.policy;
        self.shards.entry(id.clone()).or_insert_with(|| Shard {
            grant: None,
            queue: policy.empty(),
            workers: BTreeSet::new(),
        })
    }

    pub(super) fn revoke_grant(&mut self, id: &ShardId, epoch: Epoch, out: &mut Vec<DispatchAction>) {
        let Some(shard) = self.shards.get_mut(id) else {
            return self.end_epoch(epoch, out);
        };
        if shard.grant.as_ref().is_some_and(|grant| grant.epoch == epoch) {
            shard.grant = None;
            self.refuse_queued(id, out);
        }
        self.end_epoch(epoch, out);
    }

    pub(super) fn refuse_queued(&mut self, id: &ShardId, out: &mut Vec<DispatchAction>) {
        let queued = self.queued.iter().filter(|(_, queued)| queued.shard == *id);
        let forwards: Vec<ForwardId> = queued.map(|(forward, _)| *forward).collect();
        for forward in forwards {
            self.dequeue(forward);
            out.push(finished(forward, Outcome::NotRun(Refusal::NotOwner)));
        }
    }

    /// Reports an epoch as quiescent now, or once its last in-flight request has ended.
    pub(super) fn end_epoch(&mut self, epoch: Epoch, out: &mut Vec<DispatchAction>) {
        if self.epoch_requests.contains_key(&epoch) {
            self.ending_epochs.insert(epoch);
        } else {
            self.ending_epochs.remove(&epoch);
            out.push(DispatchAction::Quiescent { epoch });
        }
    }

    pub(super) fn end_if_quiescent(&mut self, epoch: Epoch, out: &mut Vec<DispatchAction>) {
        let queued = self.stopping && self.shards.values().any(|shard| has_queued(shard, epoch));
        if !queued && !self.epoch_requests.contains_key(&epoch) {
            self.end_epoch(epoch, out);
        }
    }

    pub(super) fn on_stop(&mut self, out: &mut Vec<DispatchAction>) {
        self.stopping = true;
        let epochs = self.shards.values().filter_map(|shard| shard.grant.as_ref()).map(|grant| grant.epoch);
        self.ending_epochs.extend(epochs.collect::<Vec<_>>());
        self.end_stopping_epochs(out);
    }

    /// Reports the epochs of a stopping host that have nothing queued or in flight.
    pub(super) fn end_stopping_epochs(&mut self, out: &mut Vec<DispatchAction>) {
        if !self.stopping {
            return;
        }
        for epoch in self.ending_epochs.clone() {
            self.end_if_quiescent(epoch, out);
        }
    }
}

/// Returns the grant of a shard if requests may be sent under it now.
pub(super) fn usable_grant(shard: &Shard, now: Timestamp) -> Option<&Grant> {
    shard.grant.as_ref().filter(|grant| now < grant.valid_until && grant.share != Share::Nothing)
}

pub(super) fn has_queued(shard: &Shard, epoch: Epoch) -> bool {
    !shard.queue.is_empty() && shard.grant.as_ref().is_some_and(|grant| grant.epoch == epoch)
}
