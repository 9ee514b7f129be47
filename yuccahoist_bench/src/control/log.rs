//! Model of the log service.

use std::collections::BTreeMap;

use bytes::Bytes;
use yuccahoist::id::Offset;
use yuccahoist::stream::StreamName;
use yuccahoist::systems::ReadBatch;

/// Most records of one read.
const READ_LIMIT: usize = 512;

/// Read that waits for a record.
#[derive(Debug, Clone, Copy)]
pub(super) struct Waiting {
    pub(super) host: usize,
    pub(super) from: Offset,
    pub(super) number: u64,
}

/// Streams with the reads that wait for them.
#[derive(Debug, Default)]
pub(super) struct Log {
    streams: BTreeMap<StreamName, Vec<Bytes>>,
    waiting: BTreeMap<StreamName, Vec<Waiting>>,
}

impl Log {
    /// Appends a record; the reads that it ends.
    pub(super) fn append(&mut self, stream: StreamName, record: Bytes) -> (Offset, Vec<Waiting>) {
        let records = self.streams.entry(stream).or_default();
        records.push(record);
        (Offset(records.len() as u64 - 1), self.waiting.remove(&stream).unwrap_or_default())
    }

    /// Records from an offset.
    pub(super) fn read(&self, stream: StreamName, from: Offset) -> ReadBatch {
        let records = self.streams.get(&stream).map_or(&[][..], Vec::as_slice);
        let start = usize::try_from(from.0).unwrap_or(usize::MAX).min(records.len());
        let batch = records[start..].iter().take(READ_LIMIT).enumerate();
        ReadBatch {
            earliest: Offset(0),
            end: Offset(records.len() as u64),
            records: batch.map(|(place, text)| (Offset((start + place) as u64), text.clone())).collect(),
        }
    }

    /// Lets a read wait for the next record.
    pub(super) fn wait(&mut self, stream: StreamName, read: Waiting) {
        self.waiting.entry(stream).or_default().push(read);
    }

    /// Ends a read that has waited long enough; none if it has ended before.
    pub(super) fn expire(&mut self, stream: StreamName, number: u64) -> Option<Waiting> {
        let waiting = self.waiting.get_mut(&stream)?;
        let place = waiting.iter().position(|read| read.number == number)?;
        Some(waiting.swap_remove(place))
    }
}
