//! Takeover campaigns against an in-memory store.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use assert_matches::assert_matches;
use async_trait::async_trait;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yuccahoist::shard::Epoch;
use yuccahoist::shard::host::campaign::{Candidate, Outcome, campaign, campaign_delay};
use yuccahoist::shard::ports::{Announcement, Snapshot, Store, StoreError};
use yuccahoist::shard::record::{Entry, Ownership, Record};

/// Log of one partition, with the fencing rules of the platform's log.
#[derive(Debug, Default)]
struct Log {
    entries: Vec<Entry>,
    epoch: Epoch,
    /// Epoch and sequence number of the last append.
    last: Option<(u64, u64)>,
    /// Number of further appends that take effect without an answer.
    lost_answers: u32,
    announced: Vec<Announcement>,
}

#[derive(Debug, Default)]
struct MemoryStore(Mutex<Log>);

impl MemoryStore {
    fn with_log(change: impl FnOnce(&mut Log)) -> Arc<Self> {
        let store = Self::default();
        change(&mut store.0.lock().expect("lock is not poisoned"));
        Arc::new(store)
    }
}

impl Log {
    /// Appends like the platform's log: idempotent for a repeated append, which gets the answer of the first one.
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
        let is_repeat = self.last == Some((epoch.0, sequence));
        if !is_repeat {
            if epoch == self.epoch && self.last.is_some_and(|(_, last)| last + 1 != sequence) {
                return Err(StoreError::Conflict { step: STEP });
            }
            if at.is_some_and(|at| at != self.entries.len() as u64) {
                return Err(StoreError::Conflict { step: STEP });
            }
            self.epoch = epoch;
            self.last = Some((epoch.0, sequence));
            self.entries.extend_from_slice(entries);
        }
        if self.lost_answers > 0 {
            self.lost_answers -= 1;
            return Err(StoreError::Silent { step: STEP, detail: "answer lost".into() });
        }
        Ok(())
    }
}

#[async_trait]
impl Store for MemoryStore {
    async fn read(&self) -> Result<Snapshot, StoreError> {
        let log = self.0.lock().expect("lock is not poisoned");
        let newest = log.entries.iter().map(|entry| (entry.key.clone(), entry.clone()));
        let newest: BTreeMap<String, Entry> = newest.collect();
        Ok(Snapshot { entries: newest.into_values().collect(), log_end: log.entries.len() as u64 })
    }

    async fn end(&self) -> Result<u64, StoreError> {
        Ok(self.0.lock().expect("lock is not poisoned").entries.len() as u64)
    }

    async fn claim(&self, epoch: Epoch, sequence: u64, end: u64, entry: &Entry) -> Result<(), StoreError> {
        self.0.lock().expect("lock is not poisoned").append(
            epoch,
            sequence,
            Some(end),
            std::slice::from_ref(entry),
        )
    }

    async fn append(
        &self,
        epoch: Epoch,
        sequence: u64,
        entries: &[Entry],
        _: Duration,
    ) -> Result<(), StoreError> {
        self.0.lock().expect("lock is not poisoned").append(epoch, sequence, None, entries)
    }

    async fn announce(&self, announcement: &Announcement) -> Result<(), StoreError> {
        self.0.lock().expect("lock is not poisoned").announced.push(announcement.clone());
        Ok(())
    }

    async fn next_announcement(&self, _: Duration) -> Result<Option<Announcement>, StoreError> {
        Ok(self.0.lock().expect("lock is not poisoned").announced.last().cloned())
    }
}

fn ownership(epoch: u64, host: &str) -> Ownership {
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

fn owned_by(epoch: u64, host: &str) -> impl FnOnce(&mut Log) {
    let entry = Entry::from(&Record::Owner(ownership(epoch, host)));
    move |log| {
        log.append(Epoch(epoch), 70, None, &[entry]).expect("append of the first ownership record");
    }
}

#[tokio::test(start_paused = true)]
async fn dead_owner_is_replaced() {
    let store = MemoryStore::with_log(owned_by(3, "a"));
    let outcome = campaign(store.clone(), candidate("b", 3, 5, true)).await;
    let won = assert_matches!(outcome, Ok(Outcome::Won(won)) => won);
    assert_eq!(won.ownership, ownership(4, "b"));
    assert_eq!(won.snapshot.log_end, 1);
    assert_eq!(
        store
            .next_announcement(Duration::ZERO)
            .await
            .expect("in-memory store answers")
            .expect("new owner is announced")
            .ownership,
        ownership(4, "b")
    );
}

#[tokio::test(start_paused = true)]
async fn live_owner_is_not_replaced() {
    let store = MemoryStore::with_log(owned_by(3, "a"));
    let writer = store.clone();
    tokio::spawn(async move {
        let heartbeat = Entry::from(&Record::Owner(ownership(3, "a")));
        for sequence in 71.. {
            tokio::time::sleep(Duration::from_millis(300)).await;
            let result =
                writer.append(Epoch(3), sequence, std::slice::from_ref(&heartbeat), Duration::ZERO).await;
            assert_eq!(result, Ok(()), "a live owner was fenced");
        }
    });
    let outcome = campaign(store, candidate("b", 3, 5, true)).await;
    assert_matches!(outcome, Ok(Outcome::OwnerAlive));
}

/// Two candidates that claimed the same epoch with the same sequence number both won, because the log took the second claim
/// for a repetition of the first.
#[tokio::test(start_paused = true)]
async fn epoch_has_one_owner() {
    let store = MemoryStore::with_log(owned_by(3, "a"));
    let (first, second) = tokio::join!(
        campaign(store.clone(), candidate("b", 3, 5, false)),
        campaign(store.clone(), candidate("c", 3, 600, false)),
    );
    let wins = [&first, &second].iter().filter(|o| matches!(o, Ok(Outcome::Won(_)))).count();
    assert_eq!(wins, 1, "{first:?} {second:?}");
}

/// The shard stayed without an owner when a claim took effect but all its answers were lost.
#[tokio::test(start_paused = true)]
async fn unanswered_claim_does_not_block_takeover() {
    let store = MemoryStore::with_log(|log| {
        owned_by(3, "a")(log);
        log.lost_answers = 3;
    });
    let failed = campaign(store.clone(), candidate("b", 3, 5, false)).await;
    assert_matches!(failed, Err(StoreError::Silent { .. }));
    let outcome = campaign(store.clone(), candidate("c", 3, 600, false)).await;
    let winner = assert_matches!(outcome, Ok(Outcome::Superseded(winner)) => winner);
    assert_eq!(winner, ownership(4, "b"), "the candidate does not learn which host holds the epoch");
    let outcome = campaign(store, candidate("c", winner.epoch.0, 7, false)).await;
    assert_matches!(outcome, Ok(Outcome::Won(won)) => assert_eq!(won.ownership.epoch, Epoch(5)));
}

#[tokio::test(start_paused = true)]
async fn claim_survives_one_lost_answer() {
    let store = MemoryStore::with_log(|log| {
        owned_by(3, "a")(log);
        log.lost_answers = 1;
    });
    let outcome = campaign(store, candidate("b", 3, 5, false)).await;
    assert_matches!(outcome, Ok(Outcome::Won(_)));
}

/// All hosts of a large cell read all records at the same moment, which took the store most of a second.
#[test]
fn few_hosts_claim_at_the_same_time() {
    struct Case {
        name: &'static str,
        strong: usize,
        weak: usize,
    }
    // Time that a claim and the read of three thousand records before it take.
    let claim = Duration::from_millis(130);
    let cases = [
        Case { name: "three hosts", strong: 3, weak: 0 },
        Case { name: "eight hosts", strong: 8, weak: 0 },
        Case { name: "32 hosts", strong: 6, weak: 26 },
        Case { name: "97 hosts", strong: 15, weak: 82 },
    ];
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for case in cases {
        let hosts = case.strong + case.weak;
        let (mut first, mut readers, mut weak_owners) = (Duration::ZERO, 0, 0);
        let rounds = 400;
        for _ in 0..rounds {
            let delays: Vec<(Duration, bool)> = (0..hosts)
                .map(|host| {
                    let is_weak = host >= case.strong;
                    let delay = campaign_delay(if is_weak { 0.12 } else { 0.5 }, hosts.min(48), rng.random());
                    (delay, is_weak)
                })
                .collect();
            let (earliest, is_weak) = *delays.iter().min().expect("there are hosts");
            first += earliest;
            readers += delays.iter().filter(|(delay, _)| *delay < earliest + claim).count();
            weak_owners += usize::from(is_weak);
        }
        assert!(first / rounds < Duration::from_millis(50), "{}: {:?}", case.name, first / rounds);
        assert!(readers <= 12 * rounds as usize, "{}: {} readers", case.name, readers / rounds as usize);
        assert!(weak_owners * 10 <= rounds as usize, "{}: {weak_owners} weak owners", case.name);
    }
}
