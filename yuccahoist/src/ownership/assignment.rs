//! Assignment of subjects to preferred owners, by rendezvous hashing with bounded load.

use std::collections::{BTreeMap, BTreeSet};

use twox_hash::XxHash64;

use crate::id::{HostId, Subject};

/// Seed of the rendezvous hash. All hosts must use the same value to agree on the preferred owners.
const HASH_SEED: u64 = 0x7963_686f;

/// Returns the rendezvous score of a host for a subject. The host with the highest score is preferred.
#[must_use]
pub fn score(subject: &Subject, host: &HostId) -> u64 {
    XxHash64::oneshot(HASH_SEED, format!("{subject}@{host}").as_bytes())
}

/// Returns the hosts in descending order of their scores for a subject.
#[must_use]
pub fn ranking<'a>(subject: &Subject, hosts: &'a BTreeSet<HostId>) -> Vec<&'a HostId> {
    let mut ranked: Vec<_> = hosts.iter().map(|host| (score(subject, host), host)).collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().map(|(_, host)| host).collect()
}

/// Returns the preferred owner of each subject; empty if there are no hosts.
///
/// Shards and partitions are balanced apart: no host gets more than its even part of each kind, rounded up.
#[must_use]
pub fn assign(subjects: &BTreeSet<Subject>, hosts: &BTreeSet<HostId>) -> BTreeMap<Subject, HostId> {
    let mut assigned = BTreeMap::new();
    if hosts.is_empty() {
        return assigned;
    }
    let is_shard = |subject: &&Subject| matches!(subject, Subject::Shard(_));
    let (shards, partitions): (Vec<_>, Vec<_>) = subjects.iter().partition(is_shard);
    for kind in [shards, partitions] {
        let limit = kind.len().div_ceil(hosts.len());
        let mut load: BTreeMap<&HostId, usize> = BTreeMap::new();
        for subject in kind {
            let has_room = |host: &&HostId| load.get(host).copied().unwrap_or(0) < limit;
            let Some(host) = ranking(subject, hosts).into_iter().find(has_room) else { continue };
            *load.entry(host).or_default() += 1;
            assigned.insert(subject.clone(), host.clone());
        }
    }
    assigned
}
