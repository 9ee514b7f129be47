//! Log in the memory of this process.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout_at};
use yuccahoist::id::Offset;
use yuccahoist::stream::StreamName;
use yuccahoist::systems::{CallError, LogService, ReadBatch};

use super::LogFaults;

/// Bytes of a record.
type Record = bytes::Bytes;

/// Name of the log in errors.
const PEER: &str = "memory log";
/// Records that one read returns at most.
const READ_LIMIT: usize = 1_000;

/// Records of a stream that are kept.
#[derive(Debug, Default)]
struct Stream {
    earliest: u64,
    records: VecDeque<Record>,
}

impl Stream {
    fn end(&self) -> u64 {
        self.earliest + self.records.len() as u64
    }

    fn truncate(&mut self, keep: usize) {
        let drop = self.records.len().saturating_sub(keep);
        self.records.drain(..drop);
        self.earliest += drop as u64;
    }

    fn read(&self, from: Offset) -> ReadBatch {
        let start = from.0.max(self.earliest);
        let skip = usize::try_from(start - self.earliest).unwrap_or(usize::MAX);
        let kept = self.records.iter().skip(skip).take(READ_LIMIT);
        let records = (start..).map(Offset).zip(kept.cloned()).collect();
        ReadBatch { earliest: Offset(self.earliest), end: Offset(self.end()), records }
    }
}

#[derive(Debug, Default)]
struct State {
    streams: BTreeMap<StreamName, Stream>,
    faults: LogFaults,
    appends: u64,
}

/// Log in the memory of this process, with fault switches. Clones share their records.
#[derive(Debug, Clone)]
pub struct MemoryLog {
    state: Arc<Mutex<State>>,
    /// Changes with every append and every change of the switches.
    changes: watch::Sender<u64>,
}

impl Default for MemoryLog {
    fn default() -> Self {
        Self::new()
    }
}

impl MemoryLog {
    /// Empty log.
    #[must_use]
    pub fn new() -> Self {
        Self { state: Arc::default(), changes: watch::Sender::new(0) }
    }

    /// Sets the fault switches.
    pub fn set_faults(&self, faults: LogFaults) {
        let mut state = self.lock();
        state.faults = faults;
        if let Some(keep) = faults.keep {
            state.streams.values_mut().for_each(|stream| stream.truncate(keep));
        }
        drop(state);
        self.changed();
    }

    /// Fault switches.
    #[must_use]
    pub fn faults(&self) -> LogFaults {
        self.lock().faults
    }

    /// Appends that took effect so far, in all streams.
    #[must_use]
    pub fn appends(&self) -> u64 {
        self.lock().appends
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // The state is consistent after every statement, so a panic elsewhere does not spoil it.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn changed(&self) {
        self.changes.send_modify(|count| *count = count.wrapping_add(1));
    }

    async fn delay(&self) {
        let slow = self.faults().slow_ms;
        if slow > 0 {
            sleep(Duration::from_millis(slow)).await;
        }
    }

    fn push(&self, stream: StreamName, record: Record) -> Result<Offset, CallError> {
        let mut state = self.lock();
        let faults = state.faults;
        if faults.down {
            return Err(down("append"));
        }
        state.appends += 1;
        let stream = state.streams.entry(stream).or_default();
        let offset = Offset(stream.end());
        stream.records.push_back(record);
        if let Some(keep) = faults.keep {
            stream.truncate(keep);
        }
        drop(state);
        self.changed();
        if faults.lose_answer {
            let reason = "answer lost by fault switch".into();
            return Err(CallError::Unknown { step: "append", peer: PEER.into(), reason });
        }
        Ok(offset)
    }

    fn take(&self, stream: StreamName, from: Offset) -> Result<ReadBatch, CallError> {
        let mut state = self.lock();
        if state.faults.down {
            return Err(down("read"));
        }
        Ok(state.streams.entry(stream).or_default().read(from))
    }
}

fn down(step: &'static str) -> CallError {
    CallError::NotSent { step, peer: PEER.into(), reason: "down by fault switch".into() }
}

#[async_trait]
impl LogService for MemoryLog {
    async fn append(&self, stream: StreamName, record: Record) -> Result<Offset, CallError> {
        let log = self.clone();
        // A caller that gives up does not stop an append that is under way.
        let append = tokio::spawn(async move {
            log.delay().await;
            log.push(stream, record)
        });
        append.await.unwrap_or_else(|error| {
            Err(CallError::Unknown { step: "append", peer: PEER.into(), reason: error.to_string() })
        })
    }

    async fn read(&self, stream: StreamName, from: Offset, wait: Duration) -> Result<ReadBatch, CallError> {
        let until = Instant::now() + wait;
        let mut changes = self.changes.subscribe();
        self.delay().await;
        loop {
            changes.mark_unchanged();
            let batch = self.take(stream, from)?;
            let news = !batch.records.is_empty() || batch.earliest > from;
            if news || timeout_at(until, changes.changed()).await.is_err() {
                return Ok(batch);
            }
        }
    }
}
