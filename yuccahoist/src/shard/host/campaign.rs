//! Taking over the shard.
//!
//! Safety does not rest on time: a claim starts a higher epoch, which the store and the workers enforce, and succeeds
//! only if nobody wrote since the claimer read the records. Time only decides when to try.

use std::sync::Arc;
use std::time::Duration;

use crate::shard::id::Epoch;
use crate::shard::owner::HEARTBEAT;
use crate::shard::ports::{Announcement, Snapshot, Store, StoreError};
use crate::shard::record::{Entry, Ownership, Record};

/// Time for which the log must stand still before a silent owner counts as gone.
const STILL: Duration = HEARTBEAT.saturating_mul(5).checked_div(2).expect("constant"); // Two heartbeats and a slow write.
/// Repeats of a claim whose answer was lost.
const REPEATS: u32 = 2; // A third loss in a row means that the store is down for this host.

/// What a host knows when it decides to campaign.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// Host name.
    pub host: String,
    /// Address for other hosts.
    pub address: String,
    /// Highest epoch that is known.
    pub epoch: Epoch,
    /// Whether the owner may be alive: only its silence speaks against it.
    pub cautious: bool,
    /// Number of the append that starts the epoch; random, so that the store tells two claimers of one epoch apart.
    pub sequence: u64,
    /// Time to wait first, so that hosts do not claim at the same moment.
    pub delay: Duration,
}

/// Shard that was taken over.
#[derive(Debug)]
pub struct Won {
    /// New ownership.
    pub ownership: Ownership,
    /// Number of the append that started the epoch.
    pub sequence: u64,
    /// Records at that point.
    pub snapshot: Snapshot,
}

/// Outcome of a campaign.
#[derive(Debug)]
pub enum Outcome {
    /// This host owns the shard.
    Won(Won),
    /// Another host took over, perhaps without having been able to announce it.
    Outrun(Ownership),
    /// Another host writes.
    Alive,
}

/// Tries to take over the shard.
///
/// # Errors
///
/// Fails when the store does not answer.
pub async fn campaign(store: Arc<dyn Store>, candidate: Candidate) -> Result<Outcome, StoreError> {
    tokio::time::sleep(candidate.delay).await;
    if candidate.cautious {
        let before = store.end().await?;
        tokio::time::sleep(STILL).await;
        if store.end().await? != before {
            return Ok(Outcome::Alive);
        }
    }
    let snapshot = store.read().await?;
    let stored = snapshot.entries.iter().find_map(|entry| match Record::try_from(entry) {
        Ok(Record::Owner(ownership)) => Some(ownership),
        _ => None,
    });
    if let Some(ownership) = stored.filter(|stored| stored.epoch > candidate.epoch) {
        return Ok(Outcome::Outrun(ownership));
    }
    let epoch = Epoch(candidate.epoch.0 + 1);
    let ownership = Ownership { epoch, address: candidate.address, host: candidate.host };
    let entry = Entry::from(&Record::Owner(ownership.clone()));
    let mut tries = 0;
    loop {
        match store.claim(epoch, candidate.sequence, snapshot.end, &entry).await {
            Ok(()) => break,
            Err(StoreError::Moved { .. } | StoreError::Fenced { .. }) => return Ok(Outcome::Alive),
            Err(error) if tries >= REPEATS => return Err(error),
            Err(_) => tries += 1,
        }
    }
    let announcement = Announcement { ownership: ownership.clone(), released: false };
    let mut tries = 0;
    while let Err(error) = store.announce(&announcement).await {
        tries += 1;
        if tries > REPEATS {
            return Err(error);
        }
    }
    Ok(Outcome::Won(Won { ownership, sequence: candidate.sequence, snapshot }))
}
