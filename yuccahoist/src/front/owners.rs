//! Owners of shards and their load, as the front knows them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::dispatch::LoadSummary;
use crate::front::RouteCandidate;
use crate::id::{Epoch, Incarnation, ServiceId, ShardId};
use crate::request::Class;
use crate::unit::Timestamp;

/// Age of a summary from which its owner is used only if no other is left.
const STALE: Duration = Duration::from_secs(2); // four missed summaries

/// Wait that a request of this front without a free slot adds to the estimate until the next summary.
const WAIT_PER_FORWARD: Duration = Duration::from_millis(1); // only orders shards that are otherwise equal

/// Shard with its owner.
#[derive(Debug)]
struct Owned {
    owner: Option<Incarnation>,
    /// Highest epoch known.
    epoch: Option<Epoch>,
    summary: Option<LoadSummary>,
    heard: Timestamp,
    /// Requests that this front has sent since the summary.
    sent: u32,
}

/// Table of shards.
#[derive(Debug, Default)]
pub(super) struct Owners {
    shards: BTreeMap<ShardId, Owned>,
    suspected: BTreeSet<Incarnation>,
    /// Owners that did not accept a request in time and have not been heard since.
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

    /// Takes summaries; a host that reads no log learns the owners from them, too.
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

    /// Shards that offer a service. Doubtful owners are listed only when there is no other.
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
