//! In-memory log.

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

type Record = bytes::Bytes;

/// Name of the log in errors.
const LOG_PEER: &str = "memory log";
/// Largest number of records that one read returns.
const MAX_READ_RECORDS: usize = 1_000;

/// Retained records of a stream.
#[derive(Debug, Default)]
struct Stream {
    /// Offset of the first retained record.
    earliest: u64,
    records: VecDeque<Record>,
}

impl Stream {
    fn end(&self) -> u64 {
        self.earliest + self.records.len() as u64
    }

    fn truncate(&mut self, keep: usize) {
        let excess = self.records.len().saturating_sub(keep);
        self.records.drain(..excess);
        self.earliest += excess as u64;
    }

    fn read(&self, from: Offset) -> ReadBatch {
        let start = from.0.max(self.earliest);
        let skip = usize::try_from(start - self.earliest).unwrap_or(usize::MAX);
        let available = self.records.iter().skip(skip).take(MAX_READ_RECORDS);
        let records = (start..).map(Offset).zip(available.cloned()).collect();
        ReadBatch { earliest: Offset(self.earliest), end: Offset(self.end()), records }
    }
}

#[derive(Debug, Default)]
struct State {
    streams: BTreeMap<StreamName, Stream>,
    faults: LogFaults,
    appends: u64,
}

/// In-memory log with fault switches; clones share their records and switches.
#[derive(Debug, Clone)]
pub struct MemoryLog {
    state: Arc<Mutex<State>>,
    /// Version that increases with every append and every change of the switches, to wake waiting reads.
    changes: watch::Sender<u64>,
}

impl Default for MemoryLog {
    fn default() -> Self {
        Self::new()
    }
}

impl MemoryLog {
    /// Creates an empty log without faults.
    #[must_use]
    pub fn new() -> Self {
        Self { state: Arc::default(), changes: watch::Sender::new(0) }
    }

    /// Replaces the fault switches; a set `keep` truncates all streams at once.
    pub fn set_faults(&self, faults: LogFaults) {
        let mut state = self.lock();
        state.faults = faults;
        if let Some(keep) = faults.keep {
            state.streams.values_mut().for_each(|stream| stream.truncate(keep));
        }
        drop(state);
        self.notify_readers();
    }

    /// Returns the current fault switches.
    #[must_use]
    pub fn faults(&self) -> LogFaults {
        self.lock().faults
    }

    /// Number of appends that took effect, in all streams, with those whose answer was lost.
    #[must_use]
    pub fn appends(&self) -> u64 {
        self.lock().appends
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // The state is consistent after every statement, so a poisoned lock is safe to use.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn notify_readers(&self) {
        self.changes.send_modify(|version| *version = version.wrapping_add(1));
    }

    async fn apply_delay(&self) {
        let slow_ms = self.faults().slow_ms;
        if slow_ms > 0 {
            sleep(Duration::from_millis(slow_ms)).await;
        }
    }

    fn append_now(&self, stream: StreamName, record: Record) -> Result<Offset, CallError> {
        let mut state = self.lock();
        let faults = state.faults;
        if faults.down {
            return Err(down_error("append"));
        }
        state.appends += 1;
        let stream = state.streams.entry(stream).or_default();
        let offset = Offset(stream.end());
        stream.records.push_back(record);
        if let Some(keep) = faults.keep {
            stream.truncate(keep);
        }
        drop(state);
        self.notify_readers();
        if faults.lose_answer {
            let reason = "answer lost by fault switch".into();
            return Err(CallError::Unknown { step: "append", peer: LOG_PEER.into(), reason });
        }
        Ok(offset)
    }

    fn read_now(&self, stream: StreamName, from: Offset) -> Result<ReadBatch, CallError> {
        let mut state = self.lock();
        if state.faults.down {
            return Err(down_error("read"));
        }
        Ok(state.streams.entry(stream).or_default().read(from))
    }
}

fn down_error(step: &'static str) -> CallError {
    CallError::NotSent { step, peer: LOG_PEER.into(), reason: "down by fault switch".into() }
}

#[async_trait]
impl LogService for MemoryLog {
    async fn append(&self, stream: StreamName, record: Record) -> Result<Offset, CallError> {
        let log = self.clone();
        // An append takes effect even if the caller drops the call.
        let append_task = tokio::spawn(async move {
            log.apply_delay().await;
            log.append_now(stream, record)
        });
        append_task.await.unwrap_or_else(|error| {
            Err(CallError::Unknown { step: "append", peer: LOG_PEER.into(), reason: error.to_string() })
        })
    }

    async fn read(&self, stream: StreamName, from: Offset, wait: Duration) -> Result<ReadBatch, CallError> {
        let deadline = Instant::now() + wait;
        let mut changes = self.changes.subscribe();
        self.apply_delay().await;
        loop {
            changes.mark_unchanged();
            let batch = self.read_now(stream, from)?;
            let has_progress = !batch.records.is_empty() || batch.earliest > from;
            if has_progress || timeout_at(deadline, changes.changed()).await.is_err() {
                return Ok(batch);
            }
        }
    }
}
