//! Campaigns against a store in memory.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use assert_matches::assert_matches;
use async_trait::async_trait;
use yuccahoist::shard::Epoch;
use yuccahoist::shard::host::campaign::{Candidate, Outcome, campaign};
use yuccahoist::shard::ports::{Announcement, Snapshot, Store, StoreError};
use yuccahoist::shard::record::{Entry, Ownership, Record};

/// Log of one partition with the fencing of the real one.
#[derive(Debug, Default)]
struct Log {
    entries: Vec<Entry>,
    epoch: Epoch,
    last: Option<(u64, u64)>,
    lost: u32,
    announced: Vec<Announcement>,
}

#[derive(Debug, Default)]
struct MemoryStore(Mutex<Log>);

impl MemoryStore {
    fn with(change: impl FnOnce(&mut Log)) -> Arc<Self> {
        let store = Self::default();
        change(&mut store.0.lock().expect("lock"));
        Arc::new(store)
    }
}

impl Log {
    /// Appends as the platform's log does: a repeat of an append is answered as the first one was.
    fn append(
        &mut self,
        epoch: Epoch,
        sequence: u64,
        at: Option<u64>,
        entries: &[Entry],
    ) -> Result<(), StoreError> {
        const STEP: &str = "append";
        if epoch < self.epoch {
            return Err(StoreError::Fenced { step: STEP });
        }
        let repeat = self.last == Some((epoch.0, sequence));
        if !repeat {
            if epoch == self.epoch && self.last.is_some_and(|(_, last)| last + 1 != sequence) {
                return Err(StoreError::Moved { step: STEP });
            }
            if at.is_some_and(|at| at != self.entries.len() as u64) {
                return Err(StoreError::Moved { step: STEP });
            }
            self.epoch = epoch;
            self.last = Some((epoch.0, sequence));
            self.entries.extend_from_slice(entries);
        }
        if self.lost > 0 {
            self.lost -= 1;
            return Err(StoreError::Silent { step: STEP, detail: "lost".into() });
        }
        Ok(())
    }
}

#[async_trait]
impl Store for MemoryStore {
    async fn read(&self) -> Result<Snapshot, StoreError> {
        let log = self.0.lock().expect("lock");
        let newest = log.entries.iter().map(|entry| (entry.key.clone(), entry.clone()));
        let newest: BTreeMap<String, Entry> = newest.collect();
        Ok(Snapshot { entries: newest.into_values().collect(), end: log.entries.len() as u64 })
    }

    async fn end(&self) -> Result<u64, StoreError> {
        Ok(self.0.lock().expect("lock").entries.len() as u64)
    }

    async fn claim(&self, epoch: Epoch, sequence: u64, end: u64, entry: &Entry) -> Result<(), StoreError> {
        self.0.lock().expect("lock").append(epoch, sequence, Some(end), std::slice::from_ref(entry))
    }

    async fn append(
        &self,
        epoch: Epoch,
        sequence: u64,
        entries: &[Entry],
        _: Duration,
    ) -> Result<(), StoreError> {
        self.0.lock().expect("lock").append(epoch, sequence, None, entries)
    }

    async fn announce(&self, announcement: &Announcement) -> Result<(), StoreError> {
        self.0.lock().expect("lock").announced.push(announcement.clone());
        Ok(())
    }

    async fn announced(&self, _: Duration) -> Result<Option<Announcement>, StoreError> {
        Ok(self.0.lock().expect("lock").announced.last().cloned())
    }
}

fn owner(epoch: u64, host: &str) -> Ownership {
    Ownership { epoch: Epoch(epoch), address: format!("{host}:1"), host: host.into() }
}

fn candidate(host: &str, epoch: u64, sequence: u64, cautious: bool) -> Candidate {
    Candidate {
        host: host.into(),
        address: format!("{host}:1"),
        epoch: Epoch(epoch),
        cautious,
        sequence,
        delay: Duration::ZERO,
    }
}

fn owned(epoch: u64, host: &str) -> impl FnOnce(&mut Log) {
    let entry = Entry::from(&Record::Owner(owner(epoch, host)));
    move |log| {
        log.append(Epoch(epoch), 70, None, &[entry]).expect("first record");
    }
}

#[tokio::test(start_paused = true)]
async fn a_dead_owner_is_replaced() {
    let store = MemoryStore::with(owned(3, "a"));
    let outcome = campaign(store.clone(), candidate("b", 3, 5, true)).await;
    let won = assert_matches!(outcome, Ok(Outcome::Won(won)) => won);
    assert_eq!(won.ownership, owner(4, "b"));
    assert_eq!(won.snapshot.end, 1);
    assert_eq!(store.announced(Duration::ZERO).await.expect("up").expect("one").ownership, owner(4, "b"));
}

#[tokio::test(start_paused = true)]
async fn a_living_owner_is_left_alone() {
    let store = MemoryStore::with(owned(3, "a"));
    let writer = store.clone();
    tokio::spawn(async move {
        let beat = Entry::from(&Record::Owner(owner(3, "a")));
        for sequence in 71.. {
            tokio::time::sleep(Duration::from_millis(300)).await;
            let written =
                writer.append(Epoch(3), sequence, std::slice::from_ref(&beat), Duration::ZERO).await;
            assert_eq!(written, Ok(()), "nobody fences a living owner");
        }
    });
    let outcome = campaign(store, candidate("b", 3, 5, true)).await;
    assert_matches!(outcome, Ok(Outcome::Alive));
}

/// Two claimers of one epoch with one number both got the first one's answer.
#[tokio::test(start_paused = true)]
async fn one_epoch_has_one_owner() {
    let store = MemoryStore::with(owned(3, "a"));
    let (first, second) = tokio::join!(
        campaign(store.clone(), candidate("b", 3, 5, false)),
        campaign(store.clone(), candidate("c", 3, 600, false)),
    );
    let wins = [&first, &second].iter().filter(|o| matches!(o, Ok(Outcome::Won(_)))).count();
    assert_eq!(wins, 1, "{first:?} {second:?}");
}

/// A claim took effect, all its answers were lost, and nobody owned the shard from then on.
#[tokio::test(start_paused = true)]
async fn a_claim_without_an_answer_is_followed_up() {
    let store = MemoryStore::with(|log| {
        owned(3, "a")(log);
        log.lost = 3;
    });
    let failed = campaign(store.clone(), candidate("b", 3, 5, false)).await;
    assert_matches!(failed, Err(StoreError::Silent { .. }));
    let outcome = campaign(store.clone(), candidate("c", 3, 600, false)).await;
    let newer = assert_matches!(outcome, Ok(Outcome::Outrun(newer)) => newer);
    assert_eq!(newer, owner(4, "b"), "the claimer learns which host to ask");
    let outcome = campaign(store, candidate("c", newer.epoch.0, 7, false)).await;
    assert_matches!(outcome, Ok(Outcome::Won(won)) => assert_eq!(won.ownership.epoch, Epoch(5)));
}

#[tokio::test(start_paused = true)]
async fn a_lost_answer_does_not_lose_the_claim() {
    let store = MemoryStore::with(|log| {
        owned(3, "a")(log);
        log.lost = 1;
    });
    let outcome = campaign(store, candidate("b", 3, 5, false)).await;
    assert_matches!(outcome, Ok(Outcome::Won(_)));
}
