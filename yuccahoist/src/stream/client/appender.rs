//! Queue of own records, one of which is in flight.

use std::collections::VecDeque;

use bytes::Bytes;
use rand::Rng;

use super::schedule::Backoff;
use crate::id::{Offset, Sequence};
use crate::stream::StreamSettings;
use crate::systems::CallError;
use crate::unit::Timestamp;

/// Own record.
#[derive(Debug, Clone)]
struct Own {
    /// Number of the asker; none for a snapshot.
    ticket: Option<u64>,
    seq: Sequence,
    text: Bytes,
}

/// Record at the head of the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Head {
    /// No append of it may have taken effect.
    Fresh,
    /// Append was sent.
    Sent,
    /// Append may have taken effect, and no read sent after `since` has reached the end.
    InDoubt { since: Timestamp },
    /// Append may still take effect, but is not in the log yet; append again.
    Again,
}

/// What the appender does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Step {
    /// Nothing.
    Wait,
    /// Append this record.
    Send { seq: Sequence, record: Bytes },
}

/// Queue of own records.
#[derive(Debug)]
pub(super) struct Appender {
    last_seq: Sequence,
    queue: VecDeque<Own>,
    head: Head,
    /// Append whose answer is outstanding; its record may already have been read back.
    in_flight: Option<Sequence>,
    /// Whether an earlier append of the head may still take effect.
    doubtful: bool,
    /// Records that the log confirmed and that are not read back, with their offsets.
    confirmed: VecDeque<(Own, Offset)>,
    backoff: Backoff,
}

impl Appender {
    /// Empty queue.
    pub(super) const fn new(settings: &StreamSettings) -> Self {
        Self {
            last_seq: Sequence(0),
            queue: VecDeque::new(),
            head: Head::Fresh,
            in_flight: None,
            doubtful: false,
            confirmed: VecDeque::new(),
            backoff: Backoff::new(settings),
        }
    }

    /// Sequence number for a new record; a number that is not used does no harm.
    pub(super) fn next_seq(&mut self) -> Sequence {
        self.last_seq = Sequence(self.last_seq.0 + 1);
        self.last_seq
    }

    /// Queues a record.
    pub(super) fn push(&mut self, ticket: Option<u64>, seq: Sequence, text: Bytes) {
        self.queue.push_back(Own { ticket, seq, text });
    }

    /// Records that are not read back.
    pub(super) fn pending(&self) -> usize {
        self.queue.len() + self.confirmed.len()
    }

    /// Whether a snapshot is queued or not yet read back.
    pub(super) fn has_snapshot(&self) -> bool {
        let confirmed = self.confirmed.iter().map(|(own, _)| own);
        self.queue.iter().chain(confirmed).any(|own| own.ticket.is_none())
    }

    /// Whether the head waits for the reader to reach the end.
    pub(super) const fn in_doubt(&self) -> bool {
        matches!(self.head, Head::InDoubt { .. })
    }

    /// Next step.
    pub(super) fn step(&mut self, now: Timestamp) -> Step {
        let waiting = self.in_flight.is_some() || self.in_doubt();
        let Some(own) = self.queue.front() else { return Step::Wait };
        if waiting || !self.backoff.is_over(now) {
            return Step::Wait;
        }
        self.head = Head::Sent;
        self.in_flight = Some(own.seq);
        Step::Send { seq: own.seq, record: own.text.clone() }
    }

    /// Result of an append; the ticket that failed for certain, if any.
    pub(super) fn answered(
        &mut self,
        now: Timestamp,
        seq: Sequence,
        result: &Result<Offset, CallError>,
        rng: &mut dyn Rng,
    ) -> Option<u64> {
        if self.in_flight == Some(seq) {
            self.in_flight = None;
        }
        // The record may have been read back before its answer arrived.
        if self.head != Head::Sent || self.queue.front().is_none_or(|own| own.seq != seq) {
            return None;
        }
        match result {
            Ok(offset) => {
                self.backoff.succeed();
                let own = self.pop()?;
                self.confirmed.push_back((own, *offset));
                None
            }
            Err(CallError::Unknown { .. }) => {
                self.backoff.fail(now, rng);
                self.doubtful = true;
                self.head = Head::InDoubt { since: now };
                None
            }
            Err(CallError::NotSent { .. } | CallError::Rejected { .. }) if self.doubtful => {
                self.backoff.fail(now, rng);
                self.head = Head::InDoubt { since: now };
                None
            }
            Err(CallError::NotSent { .. } | CallError::Rejected { .. }) => {
                self.backoff.fail(now, rng);
                self.pop()?.ticket
            }
        }
    }

    /// Reader folded all records that were in the log at `asked`, and the head was not among them.
    pub(super) fn reached_end(&mut self, asked: Timestamp) {
        if let Head::InDoubt { since } = self.head
            && asked >= since
        {
            self.head = Head::Again;
        }
    }

    /// Own records up to `seq` are folded; their tickets.
    pub(super) fn folded(&mut self, seq: Sequence) -> Vec<u64> {
        let mut tickets = Vec::new();
        while let Some((own, _)) = self.confirmed.pop_front_if(|(own, _)| own.seq <= seq) {
            tickets.extend(own.ticket);
        }
        while self.queue.front().is_some_and(|own| own.seq <= seq) {
            tickets.extend(self.pop().and_then(|own| own.ticket));
        }
        tickets
    }

    /// Records before `earliest` were truncated unread; the tickets that cannot be resolved.
    pub(super) fn skipped(&mut self, earliest: Offset) -> Vec<u64> {
        let mut tickets = Vec::new();
        while let Some((own, _)) = self.confirmed.pop_front_if(|(_, offset)| *offset < earliest) {
            tickets.extend(own.ticket);
        }
        if self.doubtful {
            tickets.extend(self.pop().and_then(|own| own.ticket));
        }
        tickets
    }

    fn pop(&mut self) -> Option<Own> {
        self.head = Head::Fresh;
        self.doubtful = false;
        self.queue.pop_front()
    }
}
