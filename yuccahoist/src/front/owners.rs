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
const STALE: Duration = Duration::from_secs(2);

/// Estimated wait that each forward in excess of the free slots adds until the next summary.
///
/// Only orders shards that are otherwise equal.
const WAIT_PER_FORWARD: Duration = Duration::from_millis(1);

/// Owner and load of one shard.
#[derive(Debug)]
struct Owned {
    owner: Option<Incarnation>,
    /// Highest known epoch of the shard.
    epoch: Option<Epoch>,
    summary: Option<LoadSummary>,
    heard: Timestamp,
    /// Forwards from this front since the last summary.
    sent: u32,
}

/// Owners by shard, with the hosts that are to be avoided.
#[derive(Debug, Default)]
pub(super) struct Owners {
    shards: BTreeMap<ShardId, Owned>,
    suspected: BTreeSet<Incarnation>,
    /// Owners that did not accept a request in time or were unreachable, and have sent no summary since.
    silent: BTreeSet<Incarnation>,
}

impl Owners {
    pub(super) fn set_owner(&mut self, shard: ShardId, owner: Option<(Incarnation, Epoch)>) {
        let entry = self.shards.entry(shard).or_insert_with(Owned::unknown);
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
        self.silent.remove(&owner);
        for summary in summaries {
            let entry = self.shards.entry(summary.shard.clone()).or_insert_with(Owned::unknown);
            let newer = entry.epoch.is_none_or(|known| summary.epoch > known);
            let same = entry.epoch == Some(summary.epoch) && entry.owner == Some(owner);
            if !newer && !same {
                continue;
            }
            (entry.owner, entry.epoch, entry.heard, entry.sent) = (Some(owner), Some(summary.epoch), now, 0);
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

    pub(super) fn set_silent(&mut self, owner: Incarnation) {
        self.silent.insert(owner);
    }

    pub(super) fn sent(&mut self, shard: &ShardId) {
        if let Some(entry) = self.shards.get_mut(shard) {
            entry.sent = entry.sent.saturating_add(1);
        }
    }

    /// Returns the shards that offer a service. Unreliable owners are included only if there is no other.
    pub(super) fn candidates(
        &self,
        now: Timestamp,
        own: Incarnation,
        (service, class): (&ServiceId, Class),
        avoid: &BTreeSet<ShardId>,
    ) -> Vec<RouteCandidate> {
        let offering =
            self.shards.iter().filter(|(shard, _)| !avoid.contains(*shard)).filter_map(|(id, entry)| {
                let candidate = entry.candidate(id, own, service, class)?;
                Some((self.doubtful(now, entry, candidate.owner), candidate))
            });
        let (doubtful, sure): (Vec<_>, Vec<_>) = offering.partition(|(doubtful, _)| *doubtful);
        let chosen = if sure.is_empty() { doubtful } else { sure };
        chosen.into_iter().map(|(_, candidate)| candidate).collect()
    }

    fn doubtful(&self, now: Timestamp, entry: &Owned, owner: Incarnation) -> bool {
        let stale = now.since(entry.heard) > STALE;
        stale || self.suspected.contains(&owner) || self.silent.contains(&owner)
    }
}

impl Owned {
    fn unknown() -> Self {
        Self { owner: None, epoch: None, summary: None, heard: Timestamp::ZERO, sent: 0 }
    }

    fn candidate(
        &self,
        shard: &ShardId,
        own: Incarnation,
        service: &ServiceId,
        class: Class,
    ) -> Option<RouteCandidate> {
        let owner = self.owner?;
        let summary = self.summary.as_ref().filter(|summary| summary.services.contains(service))?;
        let free = summary.free.get(&class).copied().unwrap_or(0);
        let wait = u64::from(summary.wait_ms.get(&class).copied().unwrap_or(0));
        let excess = self.sent.saturating_sub(free);
        Some(RouteCandidate {
            shard: shard.clone(),
            owner,
            own: owner == own,
            free: free.saturating_sub(self.sent),
            wait: Duration::from_millis(wait) + WAIT_PER_FORWARD * excess,
        })
    }
}
