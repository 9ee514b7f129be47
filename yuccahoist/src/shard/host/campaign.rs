//! Election of a new owner: a host claims the shard.
//!
//! Safety does not depend on time. A claim starts a higher epoch, which fences the earlier owner at the store and at
//! the workers, and it succeeds only if nothing was written after the claimer read the records. Time only decides when
//! a host tries.

use std::sync::Arc;
use std::time::Duration;

use crate::shard::id::Epoch;
use crate::shard::owner::HEARTBEAT_INTERVAL;
use crate::shard::ports::{Announcement, Snapshot, Store, StoreError};
use crate::shard::record::{Entry, Ownership, Record};

/// Time without an append to the log after which a silent owner counts as dead: two heartbeats and a slow write.
const LOG_IDLE_PERIOD: Duration =
    HEARTBEAT_INTERVAL.saturating_mul(5).checked_div(2).expect("divisor is not zero");
/// Random part of the delay of a campaign of a host that knows no other.
const BASE_SPREAD: Duration = Duration::from_millis(40);
/// Additional spread for each known host: the first of them claims as early as with few hosts, and has claimed before most
/// others read all records.
const SPREAD_PER_HOST: Duration = Duration::from_millis(4);
/// Additional delay of a campaign at a CPU share of zero; it falls linearly to none at [`STRONG_CPU_SHARE`]. Half of it is
/// longer than a claim and the read before it in a cell of some five hundred workers.
const MAX_WEAK_DELAY: Duration = Duration::from_millis(400);
/// CPU share, in cores, from which on a campaign has no additional delay; enough to own a shard of some fifty workers.
const STRONG_CPU_SHARE: f64 = 0.25;
/// Retries of a claim or announcement; after a third loss in a row the store counts as unreachable from this host.
const MAX_STORE_RETRIES: u32 = 2;

/// Parameters of a campaign.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// Host name, for the ownership record.
    pub host: String,
    /// Address at which other hosts reach this one.
    pub address: String,
    /// Highest epoch that the host knows of; the claim starts the next one.
    pub epoch: Epoch,
    /// Whether the owner may still be alive, because it is only silent; the log is then checked for appends first.
    pub cautious: bool,
    /// Sequence number of the append that starts the epoch; random, so that the store can tell apart two claims of one
    /// epoch.
    pub sequence: u64,
    /// Delay before the claim, so that hosts do not claim at the same time.
    pub delay: Duration,
}

/// Result of a takeover.
#[derive(Debug)]
pub struct Won {
    /// Ownership that the claim started.
    pub ownership: Ownership,
    /// Sequence number of the append that started the epoch.
    pub sequence: u64,
    /// Records as of the claim.
    pub snapshot: Snapshot,
}

/// Outcome of a campaign.
#[derive(Debug)]
pub enum Outcome {
    /// This host owns the shard.
    Won(Won),
    /// Another host has already taken over; its announcement may have failed.
    Superseded(Ownership),
    /// Another host has written to the log.
    OwnerAlive,
}

/// Returns the delay of a campaign on a host with `cpu_share` cores that knows `hosts` others; `random` is between 0 and 1.
#[must_use]
pub fn campaign_delay(cpu_share: f64, hosts: usize, random: f64) -> Duration {
    let spread = BASE_SPREAD + SPREAD_PER_HOST * u32::try_from(hosts).unwrap_or(u32::MAX);
    let weakness = (1.0 - cpu_share / STRONG_CPU_SHARE).clamp(0.0, 1.0);
    spread.mul_f64(random) + MAX_WEAK_DELAY.mul_f64(weakness)
}

/// Claims the shard and announces the new ownership.
///
/// # Errors
///
/// Returns the error of the store when it does not answer, or refuses, a call.
pub async fn campaign(store: Arc<dyn Store>, candidate: Candidate) -> Result<Outcome, StoreError> {
    campaign_unless(store, candidate, std::future::pending()).await
}

/// Like [`campaign`], but gives up if `superseded` ends before the claim: the records of thousands of workers take seconds
/// to read on a slow link, and hundreds of hosts would read them after another one has claimed.
///
/// # Errors
///
/// Returns the error of the store when it does not answer, or refuses, a call.
pub async fn campaign_unless(
    store: Arc<dyn Store>,
    candidate: Candidate,
    superseded: impl Future<Output = ()>,
) -> Result<Outcome, StoreError> {
    let snapshot = tokio::select! {
        read = read_records(&*store, &candidate) => match read? {
            Some(snapshot) => snapshot,
            None => return Ok(Outcome::OwnerAlive),
        },
        () = superseded => return Ok(Outcome::OwnerAlive),
    };
    claim(&*store, candidate, snapshot).await
}

/// Waits for the turn of the candidate and reads all records; `None` when the owner still writes.
async fn read_records(store: &dyn Store, candidate: &Candidate) -> Result<Option<Snapshot>, StoreError> {
    tokio::time::sleep(candidate.delay).await;
    if candidate.cautious {
        let before = store.end().await?;
        tokio::time::sleep(LOG_IDLE_PERIOD).await;
        if store.end().await? != before {
            return Ok(None);
        }
    }
    store.read().await.map(Some)
}

async fn claim(store: &dyn Store, candidate: Candidate, snapshot: Snapshot) -> Result<Outcome, StoreError> {
    let stored = snapshot.entries.iter().find_map(|entry| match Record::try_from(entry) {
        Ok(Record::Owner(ownership)) => Some(ownership),
        _ => None,
    });
    if let Some(ownership) = stored.filter(|stored| stored.epoch > candidate.epoch) {
        return Ok(Outcome::Superseded(ownership));
    }
    let epoch = Epoch(candidate.epoch.0 + 1);
    let ownership = Ownership { epoch, address: candidate.address, host: candidate.host };
    let entry = Entry::from(&Record::Owner(ownership.clone()));
    let mut retries = 0;
    loop {
        match store.claim(epoch, candidate.sequence, snapshot.log_end, &entry).await {
            Ok(()) => break,
            Err(StoreError::Conflict { .. } | StoreError::Fenced { .. }) => return Ok(Outcome::OwnerAlive),
            Err(error) if retries >= MAX_STORE_RETRIES => return Err(error),
            Err(_) => retries += 1,
        }
    }
    let announcement = Announcement { ownership: ownership.clone(), released: false };
    let mut retries = 0;
    while let Err(error) = store.announce(&announcement).await {
        retries += 1;
        if retries > MAX_STORE_RETRIES {
            return Err(error);
        }
    }
    Ok(Outcome::Won(Won { ownership, sequence: candidate.sequence, snapshot }))
}
