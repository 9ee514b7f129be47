//! Known owners of the shards and their last reported load.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::dispatch::LoadSummary;
use crate::front::RouteCandidate;
use crate::id::{Epoch, Incarnation, ServiceId, ShardId};
use crate::request::Class;
use crate::unit::Timestamp;

/// Age of a load summary above which its owner is used only as a last resort.
///
/// Corresponds to four missed summaries.
const STALE_LOAD_AGE: Duration = Duration::from_secs(2);

/// Estimated wait that each forward in excess of the free slots adds until the next summary.
///
/// Only orders shards that are otherwise equal.
const WAIT_PER_FORWARD: Duration = Duration::from_millis(1);

/// Owner and load of one shard.
#[derive(Debug)]
struct ShardOwner {
    owner: Option<Incarnation>,
    /// Highest known epoch of the shard.
    epoch: Option<Epoch>,
    summary: Option<LoadSummary>,
    updated_at: Timestamp,
    /// Forwards from this front since the last summary.
    recent_forwards: u32,
}

/// Owners by shard, with the hosts that are to be avoided.
#[derive(Debug, Default)]
pub(super) struct OwnerTable {
    shards: BTreeMap<ShardId, ShardOwner>,
    suspected: BTreeSet<Incarnation>,
    /// Owners that did not accept a request in time or were unreachable, and have sent no summary since.
    unresponsive: BTreeSet<Incarnation>,
}

impl OwnerTable {
    pub(super) fn set_owner(&mut self, shard: ShardId, owner: Option<(Incarnation, Epoch)>) {
        let entry = self.shards.entry(shard).or_insert_with(ShardOwner::without_owner);
        match owner {
            Some((owner, epoch)) if entry.epoch.is_none_or(|known| epoch >= known) => {
                if entry.epoch != Some(epoch) {
                    entry.summary = None;
                }
                (entry.owner, entry.epoch) = (Some(owner), Some(epoch));
            }
            Some(_) => {}
            None => (entry.owner, entry.summary) = (None, None),
        }
    }

    pub(super) fn is_suspected(&self, incarnation: Incarnation) -> bool {
        self.suspected.contains(&incarnation)
    }

    /// Stores the load summaries of an owner. A host that reads no log learns the owners from them, too.
    pub(super) fn set_load(&mut self, now: Timestamp, owner: Incarnation, summaries: Vec<LoadSummary>) {
        self.unresponsive.remove(&owner);
        for summary in summaries {
            let entry = self.shards.entry(summary.shard.clone()).or_insert_with(ShardOwner::without_owner);
            let newer = entry.epoch.is_none_or(|known| summary.epoch > known);
            let same = entry.epoch == Some(summary.epoch) && entry.owner == Some(owner);
            if !newer && !same {
                continue;
            }
            (entry.owner, entry.epoch, entry.updated_at, entry.recent_forwards) =
                (Some(owner), Some(summary.epoch), now, 0);
            entry.summary = Some(summary);
        }
    }

    pub(super) fn set_suspected(&mut self, incarnation: Incarnation, suspected: bool) {
        if suspected {
            self.suspected.insert(incarnation);
        } else {
            self.suspected.remove(&incarnation);
        }
    }

    pub(super) fn mark_unresponsive(&mut self, owner: Incarnation) {
        self.unresponsive.insert(owner);
    }

    pub(super) fn record_forward(&mut self, shard: &ShardId) {
        if let Some(entry) = self.shards.get_mut(shard) {
            entry.recent_forwards = entry.recent_forwards.saturating_add(1);
        }
    }

    /// Returns the shards that offer a service. Unreliable owners are included only if there is no other.
    pub(super) fn candidates(
        &self,
        now: Timestamp,
        incarnation: Incarnation,
        (service, class): (&ServiceId, Class),
        excluded: &BTreeSet<ShardId>,
    ) -> Vec<RouteCandidate> {
        let offering =
            self.shards.iter().filter(|(shard, _)| !excluded.contains(*shard)).filter_map(|(id, entry)| {
                let candidate = entry.candidate(id, incarnation, service, class)?;
                Some((self.is_unreliable(now, entry, candidate.owner), candidate))
            });
        let (unreliable, reliable): (Vec<_>, Vec<_>) = offering.partition(|(unreliable, _)| *unreliable);
        let chosen = if reliable.is_empty() { unreliable } else { reliable };
        chosen.into_iter().map(|(_, candidate)| candidate).collect()
    }

    fn is_unreliable(&self, now: Timestamp, entry: &ShardOwner, owner: Incarnation) -> bool {
        let stale = now.since(entry.updated_at) > STALE_LOAD_AGE;
        stale || self.suspected.contains(&owner) || self.unresponsive.contains(&owner)
    }
}

impl ShardOwner {
    fn without_owner() -> Self {
        Self { owner: None, epoch: None, summary: None, updated_at: Timestamp::ZERO, recent_forwards: 0 }
    }

    fn candidate(
        &self,
        shard: &ShardId,
        incarnation: Incarnation,
        service: &ServiceId,
        class: Class,
    ) -> Option<RouteCandidate> {
        let owner = self.owner?;
        let summary = self.summary.as_ref().filter(|summary| summary.services.contains(service))?;
        let free = summary.free.get(&class).copied().unwrap_or(0);
        let wait = u64::from(summary.wait_ms.get(&class).copied().unwrap_or(0));
        let excess = self.recent_forwards.saturating_sub(free);
        Some(RouteCandidate {
            shard: shard.clone(),
            owner,
            is_local: owner == incarnation,
            free: free.saturating_sub(self.recent_forwards),
            wait: Duration::from_millis(wait) + WAIT_PER_FORWARD * excess,
        })
    }
}
