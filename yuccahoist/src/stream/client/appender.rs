//! Queue of records to append, of which at most one is in flight.

use std::collections::VecDeque;

use bytes::Bytes;
use rand::Rng;

use super::schedule::Backoff;
use crate::id::{Offset, Sequence};
use crate::stream::StreamSettings;
use crate::systems::CallError;
use crate::unit::Timestamp;

/// Record that is queued or not yet read back.
#[derive(Debug, Clone)]
struct PendingRecord {
    /// Identifier of the append request; `None` for a snapshot.
    ticket: Option<u64>,
    seq: Sequence,
    payload: Bytes,
}

/// State of the record at the head of the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum HeadState {
    /// No append can have taken effect.
    Unsent,
    /// An append was sent and has not been resolved.
    Sent,
    /// The outcome of an append is unknown, and no read sent at or after `since` has reached the end yet.
    InDoubt { since: Timestamp },
    /// The record is not in the log, though an earlier append may still take effect; append it again.
    Retry,
}

/// Next step of the appender.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum AppendStep {
    /// Nothing can be sent now.
    Wait,
    /// Append the record at the head of the queue.
    Send { seq: Sequence, record: Bytes },
}

/// Append queue with one record in flight.
#[derive(Debug)]
pub(super) struct Appender {
    last_seq: Sequence,
    queue: VecDeque<PendingRecord>,
    head: HeadState,
    /// Append that awaits its result; the record may already have been read back.
    in_flight: Option<Sequence>,
    /// Whether an earlier append of the head may still take effect, so that no later failure is final.
    is_uncertain: bool,
    /// Records that the log acknowledged and that are not read back yet, with their offsets.
    confirmed: VecDeque<(PendingRecord, Offset)>,
    backoff: Backoff,
}

impl Appender {
    pub(super) const fn new(settings: &StreamSettings) -> Self {
        Self {
            last_seq: Sequence(0),
            queue: VecDeque::new(),
            head: HeadState::Unsent,
            in_flight: None,
            is_uncertain: false,
            confirmed: VecDeque::new(),
            backoff: Backoff::new(settings),
        }
    }

    /// Returns the sequence number for a new record. Unused numbers may be skipped.
    pub(super) fn next_seq(&mut self) -> Sequence {
        self.last_seq = Sequence(self.last_seq.0 + 1);
        self.last_seq
    }

    pub(super) fn push(&mut self, ticket: Option<u64>, seq: Sequence, payload: Bytes) {
        self.queue.push_back(PendingRecord { ticket, seq, payload });
    }

    /// Number of records that are not read back yet.
    pub(super) fn pending(&self) -> usize {
        self.queue.len() + self.confirmed.len()
    }

    /// Whether a snapshot is queued, in flight or not read back yet.
    pub(super) fn is_snapshot_pending(&self) -> bool {
        let confirmed = self.confirmed.iter().map(|(record, _)| record);
        self.queue.iter().chain(confirmed).any(|record| record.ticket.is_none())
    }

    /// Whether the outcome of the head is unknown until the reader reaches the end.
    pub(super) const fn in_doubt(&self) -> bool {
        matches!(self.head, HeadState::InDoubt { .. })
    }

    /// Returns the next step, and marks a record that is to be sent as in flight.
    pub(super) fn next_step(&mut self, now: Timestamp) -> AppendStep {
        let is_blocked = self.in_flight.is_some() || self.in_doubt();
        let Some(record) = self.queue.front() else { return AppendStep::Wait };
        if is_blocked || !self.backoff.is_elapsed(now) {
            return AppendStep::Wait;
        }
        self.head = HeadState::Sent;
        self.in_flight = Some(record.seq);
        AppendStep::Send { seq: record.seq, record: record.payload.clone() }
    }

    /// Processes the result of an append; returns the ticket if the append certainly failed.
    pub(super) fn handle_result(
        &mut self,
        now: Timestamp,
        seq: Sequence,
        result: &Result<Offset, CallError>,
        rng: &mut dyn Rng,
    ) -> Option<u64> {
        if self.in_flight == Some(seq) {
            self.in_flight = None;
        }
        // The record may have been read back before the result arrived.
        if self.head != HeadState::Sent || self.queue.front().is_none_or(|record| record.seq != seq) {
            return None;
        }
        match result {
            Ok(offset) => {
                self.backoff.reset();
                let record = self.pop_head()?;
                self.confirmed.push_back((record, *offset));
                None
            }
            Err(CallError::Unknown { .. }) => {
                self.backoff.record_failure(now, rng);
                self.is_uncertain = true;
                self.head = HeadState::InDoubt { since: now };
                None
            }
            Err(CallError::NotSent { .. } | CallError::Rejected { .. }) if self.is_uncertain => {
                self.backoff.record_failure(now, rng);
                self.head = HeadState::InDoubt { since: now };
                None
            }
            Err(CallError::NotSent { .. } | CallError::Rejected { .. }) => {
                self.backoff.record_failure(now, rng);
                self.pop_head()?.ticket
            }
        }
    }

    /// Allows a retry of a head in doubt: all records that were in the log at `sent_at` are folded, without the head.
    pub(super) fn reached_end(&mut self, sent_at: Timestamp) {
        if let HeadState::InDoubt { since } = self.head
            && sent_at >= since
        {
            self.head = HeadState::Retry;
        }
    }

    /// Removes the records up to `seq`, which are folded, and returns their tickets.
    pub(super) fn resolve_folded(&mut self, seq: Sequence) -> Vec<u64> {
        let mut tickets = Vec::new();
        while let Some((record, _)) = self.confirmed.pop_front_if(|(record, _)| record.seq <= seq) {
            tickets.extend(record.ticket);
        }
        while self.queue.front().is_some_and(|record| record.seq <= seq) {
            tickets.extend(self.pop_head().and_then(|record| record.ticket));
        }
        tickets
    }

    /// Removes the records that may be among those before `earliest`, which were truncated unread, and returns their
    /// tickets.
    pub(super) fn resolve_truncated(&mut self, earliest: Offset) -> Vec<u64> {
        let mut tickets = Vec::new();
        while let Some((record, _)) = self.confirmed.pop_front_if(|(_, offset)| *offset < earliest) {
            tickets.extend(record.ticket);
        }
        if self.is_uncertain {
            tickets.extend(self.pop_head().and_then(|record| record.ticket));
        }
        tickets
    }

    fn pop_head(&mut self) -> Option<PendingRecord> {
        self.head = HeadState::Unsent;
        self.is_uncertain = false;
        self.queue.pop_front()
    }
}
