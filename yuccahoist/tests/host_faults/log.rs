//! Log service with one stream per name, and its faults.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use yuccahoist::id::Offset;
use yuccahoist::stream::StreamName;
use yuccahoist::systems::{CallError, ReadBatch};
use yuccahoist::unit::Timestamp;

/// Records that one read returns at most.
const MAX_READ_RECORDS: usize = 20;

/// Records of a stream.
#[derive(Debug, Default)]
pub struct Stream {
    records: Vec<(Timestamp, Bytes)>,
    earliest: usize,
}

/// Log with faults.
#[derive(Debug, Default)]
pub struct Log {
    pub streams: BTreeMap<StreamName, Stream>,
    /// Whether all calls fail.
    pub down: bool,
    /// Added to each call.
    pub added_latency: Duration,
    /// Appends that take effect and whose answer is lost, thousandths.
    pub lost_answers: u32,
    /// Appends that are answered as unknown and take effect up to 4 s later, thousandths.
    pub late_appends: u32,
    /// Time for which records are kept; for ever if none.
    pub retention: Option<Duration>,
}

impl Log {
    /// Appends a record.
    pub fn append(&mut self, now: Timestamp, name: StreamName, record: Bytes) -> Offset {
        let stream = self.streams.entry(name).or_default();
        stream.records.push((now, record));
        Offset(stream.records.len() as u64 - 1)
    }

    /// Reads records, unless there is none and the reader may wait.
    pub fn read(&self, name: StreamName, from: Offset, may_wait: bool) -> Option<ReadBatch> {
        let empty = Stream::default();
        let stream = self.streams.get(&name).unwrap_or(&empty);
        let start = usize::try_from(from.0).expect("small").max(stream.earliest);
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

    /// Drops records past retention.
    pub fn expire(&mut self, now: Timestamp) {
        let Some(retention) = self.retention.filter(|_| !self.down) else { return };
        for stream in self.streams.values_mut() {
            while stream.records.get(stream.earliest).is_some_and(|(at, _)| now.since(*at) > retention) {
                stream.earliest += 1;
            }
        }
    }

    /// Earliest offset that is kept.
    pub fn earliest(&self, name: StreamName) -> usize {
        self.streams.get(&name).map_or(0, |stream| stream.earliest)
    }
}

/// Failure that leaves open whether the call took effect.
pub fn unknown(peer: &str) -> CallError {
    CallError::Unknown { step: "call", peer: peer.into(), reason: "fault".into() }
}

/// Failure of a call that was not sent.
pub fn not_sent(peer: &str) -> CallError {
    CallError::NotSent { step: "call", peer: peer.into(), reason: "fault".into() }
}
