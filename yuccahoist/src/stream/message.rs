//! Events and actions of the stream duty.

use std::time::Duration;

use bytes::Bytes;

use crate::id::{Offset, Sequence};
use crate::systems::{CallError, ReadBatch};
use crate::unit::Timestamp;

/// What a stream client reacts to.
#[derive(Debug, Clone)]
pub enum StreamEvent<R> {
    /// Append a record.
    Append {
        /// Number that the result refers to.
        ticket: u64,
        /// Record.
        record: R,
    },
    /// Result of [`StreamAction::SendAppend`].
    Appended {
        /// Sequence number of the record.
        seq: Sequence,
        /// Offset or failure.
        result: Result<Offset, CallError>,
    },
    /// Result of [`StreamAction::SendRead`].
    Read {
        /// Time before the read was sent.
        asked: Timestamp,
        /// Records or failure.
        result: Result<ReadBatch, CallError>,
    },
    /// Snapshot record of a peer, in the JSON form of the stream. An older state is ignored.
    Restore {
        /// Record as [`super::StreamClient::snapshot`] gave it at the peer.
        record: Bytes,
    },
    /// Time passed.
    Tick,
}

/// What a stream client asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamAction<E> {
    /// Append a record at the log service; one is in flight at a time.
    SendAppend {
        /// Sequence number in the record.
        seq: Sequence,
        /// Record.
        record: Bytes,
    },
    /// Read at the log service; one is in flight at a time.
    SendRead {
        /// First offset.
        from: Offset,
        /// Longest wait for a first record.
        wait: Duration,
    },
    /// Effect of a folded record.
    Effect(E),
    /// Own record was read back and folded; follows its effects.
    Committed {
        /// Number given with [`StreamEvent::Append`].
        ticket: u64,
        /// Offset of the record.
        offset: Offset,
    },
    /// Own record is certain not to take effect.
    Failed {
        /// Number given with [`StreamEvent::Append`].
        ticket: u64,
    },
    /// Records were truncated before they were read, in a stream without snapshots: whether the own record was among
    /// them cannot be found out.
    Unresolved {
        /// Number given with [`StreamEvent::Append`].
        ticket: u64,
    },
    /// Reader folded all records that the stream had when the read was sent.
    CaughtUp {
        /// Time before the read was sent.
        asked: Timestamp,
    },
    /// Log service answers, or does not.
    Available(bool),
    /// Records are missing and the log has no usable snapshot: ask a peer for its state.
    NeedSnapshot,
}
