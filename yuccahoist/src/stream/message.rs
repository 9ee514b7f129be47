//! Events and actions of a stream client.

use std::time::Duration;

use bytes::Bytes;

use crate::id::{Offset, Sequence};
use crate::systems::{CallError, ReadBatch};
use crate::unit::Timestamp;

/// Input of a [`super::StreamClient`].
#[derive(Debug, Clone)]
pub enum StreamEvent<R> {
    /// Request to append a record.
    Append {
        /// Identifier chosen by the requester; the result carries it.
        ticket: u64,
        /// Payload of the envelope.
        record: R,
    },
    /// Result of [`StreamAction::SendAppend`].
    Appended {
        /// Sequence number from [`StreamAction::SendAppend`].
        seq: Sequence,
        /// Offset of the record, or the failed call.
        result: Result<Offset, CallError>,
    },
    /// Result of [`StreamAction::SendRead`].
    Read {
        /// Time taken before the read was sent; the result includes every record that was in the log then.
        sent_at: Timestamp,
        /// Records read, or the failed call.
        result: Result<ReadBatch, CallError>,
    },
    /// Snapshot received from a peer. Ignored unless it is newer than the own state.
    PeerSnapshot {
        /// Encoded record, as the peer's [`super::StreamClient::snapshot`] returned it.
        record: Bytes,
    },
    /// Periodic wake-up that lets due retries and snapshots start.
    Tick,
}

/// Output of a [`super::StreamClient`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamAction<E> {
    /// Append a record to the log; at most one append is in flight.
    SendAppend {
        /// Sequence number that [`StreamEvent::Appended`] must return.
        seq: Sequence,
        /// Encoded envelope.
        record: Bytes,
    },
    /// Read from the log; at most one read is in flight.
    SendRead {
        /// First offset to return.
        from: Offset,
        /// Long-poll timeout: how long the log may wait for a first record.
        wait: Duration,
    },
    /// State change by a folded record.
    Effect(E),
    /// The record was read back and folded; sent after its effects.
    Committed {
        /// Identifier from [`StreamEvent::Append`].
        ticket: u64,
        /// Offset of the record, or of a later own record if a snapshot covered it.
        offset: Offset,
    },
    /// The record was not appended and will not be.
    Failed {
        /// Identifier from [`StreamEvent::Append`].
        ticket: u64,
    },
    /// Whether the record was appended cannot be determined: the log truncated records that had not been read, and the
    /// stream has no snapshots.
    Unresolved {
        /// Identifier from [`StreamEvent::Append`].
        ticket: u64,
    },
    /// All records that were in the log when the read was sent are folded.
    CaughtUp {
        /// Time taken before the read was sent, from [`StreamEvent::Read`].
        sent_at: Timestamp,
    },
    /// The log service became available (`true`) or unavailable (`false`).
    Available(bool),
    /// Requests a snapshot from a peer: the log is unavailable before the first catch-up, or it truncated records and
    /// holds no snapshot that covers them.
    RequestSnapshot,
}
