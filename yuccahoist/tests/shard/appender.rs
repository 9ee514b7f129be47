//! Appender against a store that swallows, delays, refuses or fences appends, in virtual time.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use assert_matches::assert_matches;
use async_trait::async_trait;
use tokio::time::Instant;
use yuccahoist::shard::Epoch;
use yuccahoist::shard::host::appender::{AppendError, Appender};
use yuccahoist::shard::ports::{Announcement, Snapshot, Store, StoreError};
use yuccahoist::shard::record::Entry;
use yuccahoist::unit::Bytes;

/// What the store does with an append that arrives during its disturbance.
#[derive(Debug, Clone, Copy)]
enum Disturbance {
    /// Swallows it.
    Silent,
    /// Refuses it at once.
    Busy,
    /// Executes it, and the answer is lost.
    LostAnswer,
    /// Answers after this time.
    Slow(Duration),
    /// Refuses it for a higher epoch.
    Fenced,
}

/// Store whose disturbance ends after `until`.
#[derive(Debug)]
struct DisturbedStore {
    disturbance: Disturbance,
    started: Instant,
    until: Duration,
    /// Sequence numbers of the appends that arrived, and of those that were executed.
    log: Mutex<(Vec<u64>, Vec<u64>)>,
    /// Entries of the appends that were executed.
    stored: Mutex<Vec<Vec<Entry>>>,
}

/// Most bytes that the store takes in one append.
const MAX_APPEND: u64 = 1_000;
const WRITE: Duration = Duration::from_millis(9);

#[async_trait]
impl Store for DisturbedStore {
    fn max_append(&self) -> Bytes {
        Bytes(MAX_APPEND)
    }

    async fn append(
        &self,
        _: Epoch,
        sequence: u64,
        entries: &[Entry],
        limit: Duration,
    ) -> Result<(), StoreError> {
        const STEP: &str = "append";
        let silent = || StoreError::Silent { step: STEP, detail: "timeout".into() };
        self.log.lock().expect("lock is not poisoned").0.push(sequence);
        let execute = || {
            let mut log = self.log.lock().expect("lock is not poisoned");
            if log.1.last() != Some(&sequence) {
                log.1.push(sequence);
                self.stored.lock().expect("lock is not poisoned").push(entries.to_vec());
            }
        };
        if self.started.elapsed() < self.until {
            match self.disturbance {
                Disturbance::Slow(delay) => {
                    tokio::time::timeout(limit, tokio::time::sleep(delay)).await.map_err(|_| silent())?;
                }
                Disturbance::Busy => {
                    return Err(StoreError::Refused { step: STEP, detail: "status 503".into() });
                }
                Disturbance::Fenced => return Err(StoreError::Fenced { step: STEP }),
                Disturbance::Silent | Disturbance::LostAnswer => {
                    if matches!(self.disturbance, Disturbance::LostAnswer) {
                        execute();
                    }
                    tokio::time::sleep(limit).await;
                    return Err(silent());
                }
            }
        }
        tokio::time::sleep(WRITE).await;
        execute();
        Ok(())
    }

    async fn read(&self) -> Result<Snapshot, StoreError> {
        unreachable!("the appender does not read")
    }

    async fn end(&self) -> Result<u64, StoreError> {
        unreachable!("the appender does not read")
    }

    async fn claim(&self, _: Epoch, _: u64, _: u64, _: &Entry) -> Result<(), StoreError> {
        unreachable!("the appender does not claim")
    }

    async fn announce(&self, _: &Announcement) -> Result<(), StoreError> {
        unreachable!("the appender does not announce")
    }

    async fn next_announcement(&self, _: Duration) -> Result<Option<Announcement>, StoreError> {
        unreachable!("the appender does not read")
    }
}

fn store(disturbance: Disturbance, until: Duration) -> Arc<DisturbedStore> {
    Arc::new(DisturbedStore {
        disturbance,
        started: Instant::now(),
        until,
        log: Mutex::default(),
        stored: Mutex::default(),
    })
}

/// After a silent outage of 6.5 s, callers were refused for another 0.74 s, until the timeout of a swallowed append.
#[tokio::test(start_paused = true)]
async fn appends_resume_soon_after_an_outage() {
    struct Case {
        name: &'static str,
        disturbance: Disturbance,
        outage: u64,
        /// Longest time from the end of the outage until the batch is stored, milliseconds.
        most: u64,
        /// Most appends that the store receives in each second.
        rate: u64,
    }
    let cases = [
        Case { name: "swallowed", disturbance: Disturbance::Silent, outage: 6_500, most: 300, rate: 8 },
        Case { name: "refused", disturbance: Disturbance::Busy, outage: 6_500, most: 350, rate: 10 },
        Case {
            name: "lost answers",
            disturbance: Disturbance::LostAnswer,
            outage: 2_000,
            most: 300,
            rate: 8,
        },
        Case { name: "short", disturbance: Disturbance::Silent, outage: 100, most: 300, rate: 40 },
    ];
    for case in cases {
        // Outages that end in each phase of the appender.
        for phase in (0..400).step_by(20) {
            let outage = Duration::from_millis(case.outage + phase);
            let store = store(case.disturbance, outage);
            let mut appender = Appender::new(store.clone(), Epoch(1), 7);
            appender.append(&[], || false).await.expect("the store has seen no higher epoch");
            let late = store.started.elapsed().saturating_sub(outage);
            assert!(late <= Duration::from_millis(case.most), "{} phase {phase}: {late:?}", case.name);
            appender.append(&[], || false).await.expect("the store has seen no higher epoch");
            let log = store.log.lock().expect("lock is not poisoned");
            assert_eq!(log.1, [8, 9], "{}: a batch was executed twice or out of order", case.name);
            let most = 8 + (case.outage + phase) * case.rate / 1_000;
            assert!(log.0.len() as u64 <= most, "{}: {} appends in {outage:?}", case.name, log.0.len());
        }
    }
}

/// A slow store must not be flooded with repeats.
#[tokio::test(start_paused = true)]
async fn slow_store_gets_few_repeats() {
    let slow = Disturbance::Slow(Duration::from_millis(400));
    let store = store(slow, Duration::from_secs(60));
    let mut appender = Appender::new(store.clone(), Epoch(1), 0);
    for _ in 0..20 {
        appender.append(&[], || false).await.expect("the store has seen no higher epoch");
    }
    let arrived = store.log.lock().expect("lock is not poisoned").0.len();
    assert!(arrived <= 35, "{arrived} appends for 20 batches");
    assert!(store.started.elapsed() < Duration::from_secs(10), "{:?}", store.started.elapsed());
}

#[tokio::test(start_paused = true)]
async fn appender_ends_when_fenced_or_abandoned() {
    let minute = Duration::from_secs(60);
    let mut fenced = Appender::new(store(Disturbance::Fenced, minute), Epoch(1), 0);
    assert_matches!(fenced.append(&[], || false).await, Err(AppendError::Fenced(_)));
    let mut abandoned = Appender::new(store(Disturbance::Silent, minute), Epoch(1), 0);
    assert_matches!(abandoned.append(&[], || true).await, Err(AppendError::Abandoned));
}

/// A batch of several large records was larger than one append may be. The store refused it for ever, and the owner was stuck.
#[tokio::test(start_paused = true)]
async fn batch_larger_than_an_append_is_split() {
    struct Case {
        name: &'static str,
        /// Sizes of the values, bytes.
        values: Vec<usize>,
        /// Number of entries in each append.
        parts: Vec<usize>,
    }
    let cases = [
        Case { name: "empty", values: vec![], parts: vec![0] },
        Case { name: "fits", values: vec![300, 300], parts: vec![2] },
        Case { name: "fits exactly", values: vec![488, 488], parts: vec![2] },
        Case { name: "one byte more", values: vec![488, 489], parts: vec![1, 1] },
        Case { name: "several", values: vec![400, 400, 400, 900, 10], parts: vec![2, 1, 2] },
        Case { name: "deletion", values: vec![980, 0], parts: vec![1, 1] },
    ];
    for case in cases {
        // A key of seven bytes takes twelve with its length and that of the record.
        let value = |length: &usize| (*length > 0).then(|| vec![b'v'; *length]);
        let entry = |length| Entry { key: "j000000".into(), value: value(length) };
        let entries: Vec<Entry> = case.values.iter().map(entry).collect();
        let store = store(Disturbance::LostAnswer, Duration::from_millis(100));
        let mut appender = Appender::new(store.clone(), Epoch(1), 7);
        appender.append(&entries, || false).await.expect("the store has seen no higher epoch");
        let stored = store.stored.lock().expect("lock is not poisoned");
        let parts: Vec<usize> = stored.iter().map(Vec::len).collect();
        assert_eq!(parts, case.parts, "{}", case.name);
        assert_eq!(stored.concat(), entries, "{}: entries out of order or repeated", case.name);
        let size = |part: &Vec<Entry>| part.iter().map(|e| 4 + e.size().0).sum::<u64>();
        assert!(stored.iter().all(|part| size(part) <= MAX_APPEND), "{}: an append is too large", case.name);
    }
}
