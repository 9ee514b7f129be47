//! Simulated log service with fault injection.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use yuccahoist::id::Offset;
use yuccahoist::stream::StreamName;
use yuccahoist::systems::{CallError, ReadBatch};
use yuccahoist::unit::Timestamp;

/// Maximum number of records in the answer to one read.
const MAX_READ_RECORDS: usize = 20;

/// Stream with the time of each append.
#[derive(Debug, Default)]
pub struct Stream {
    records: Vec<(Timestamp, Bytes)>,
    /// Offset of the first record that retention has not removed.
    earliest: usize,
}

/// Log service and the faults injected into it.
#[derive(Debug, Default)]
pub struct Log {
    pub streams: BTreeMap<StreamName, Stream>,
    /// Whether the log is unavailable, so that all calls fail.
    pub down: bool,
    /// Latency added to each call.
    pub added_latency: Duration,
    /// Rate of appends that take effect but whose answer is lost, per mille.
    pub lost_answers: u32,
    /// Rate of appends that end as unknown, per mille; a third of them takes effect up to 4 s later.
    pub late_appends: u32,
    /// Time for which records are kept; unlimited if `None`.
    pub retention: Option<Duration>,
}

impl Log {
    /// Appends a record and returns its offset.
    pub fn append(&mut self, now: Timestamp, name: StreamName, record: Bytes) -> Offset {
        let stream = self.streams.entry(name).or_default();
        stream.records.push((now, record));
        Offset(stream.records.len() as u64 - 1)
    }

    /// Reads records from an offset; returns `None` if there are none yet and the reader may wait.
    pub fn read(&self, name: StreamName, from: Offset, may_wait: bool) -> Option<ReadBatch> {
        let empty = Stream::default();
        let stream = self.streams.get(&name).unwrap_or(&empty);
        let start = usize::try_from(from.0).expect("offset fits usize").max(stream.earliest);
        let records: Vec<(Offset, Bytes)> = (start..stream.records.len())
            .take(MAX_READ_RECORDS)
            .map(|at| (Offset(at as u64), stream.records[at].1.clone()))
            .collect();
        if records.is_empty() && may_wait {
            return None;
        }
        let (earliest, end) = (Offset(stream.earliest as u64), Offset(stream.records.len() as u64));
        Some(ReadBatch { earliest, end, records })
    }

    /// Removes records older than the retention time, except while the log is down.
    pub fn expire(&mut self, now: Timestamp) {
        let Some(retention) = self.retention.filter(|_| !self.down) else { return };
        for stream in self.streams.values_mut() {
            while stream.records.get(stream.earliest).is_some_and(|(at, _)| now.since(*at) > retention) {
                stream.earliest += 1;
            }
        }
    }

    /// Returns the earliest offset that is still kept.
    pub fn earliest(&self, name: StreamName) -> usize {
        self.streams.get(&name).map_or(0, |stream| stream.earliest)
    }
}

/// Returns the error of a call that may or may not have taken effect.
pub fn unknown(peer: &str) -> CallError {
    CallError::Unknown { step: "call", peer: peer.into(), reason: "fault".into() }
}

/// Returns the error of a call that was not sent.
pub fn not_sent(peer: &str) -> CallError {
    CallError::NotSent { step: "call", peer: peer.into(), reason: "fault".into() }
}
