//! State machine that reads and appends one stream.
//!
//! Reads are long polls, one at a time. At most one append is in flight. If its outcome is unknown, the client first
//! reads up to the end of the stream. A record that is not found is appended again with the same sequence number, and
//! the deduplication table drops whichever copy comes second.

mod appender;
mod schedule;

use std::collections::BTreeMap;

use bytes::Bytes;
use rand::Rng;

use self::appender::{AppendStep, Appender};
use self::schedule::{Backoff, SnapshotTimer};
use super::entry::Entry;
use super::message::{StreamAction, StreamEvent};
use super::producers::{Producers, dedup_window};
use super::{Fold, StreamName, StreamSettings};
use crate::id::{Incarnation, Offset, Sequence};
use crate::state_machine::StateMachine;
use crate::systems::{CallError, ReadBatch};
use crate::unit::Timestamp;

/// Number of records between two removals of idle producers.
const PRUNE_INTERVAL_RECORDS: u64 = 4_096;

/// Inputs and outputs of one event.
struct Context<'a, E> {
    now: Timestamp,
    rng: &'a mut dyn Rng,
    out: &'a mut Vec<StreamAction<E>>,
}

/// Reads one log stream into a fold and appends records to it.
#[derive(Debug)]
pub struct StreamClient<F: Fold> {
    name: StreamName,
    producer: Incarnation,
    settings: StreamSettings,
    fold: F,
    has_snapshots: bool,
    producers: Producers,
    /// First offset that is not folded yet.
    next: Offset,
    /// First offset that is not read yet; beyond `next` only while records are buffered.
    read_to: Offset,
    /// Records after a gap that only a snapshot can fill; `None` without a gap.
    gap_buffer: Option<GapBuffer<F::Record>>,
    appender: Appender,
    /// First offset of the read in flight.
    read_in_flight: Option<Offset>,
    backoff: Backoff,
    snapshot_timer: SnapshotTimer,
    /// Whether the last read succeeded.
    is_readable: bool,
    /// Time of the last failed append; cleared when a read that was sent later succeeds.
    failed_append: Option<Timestamp>,
    available: bool,
    caught_up: bool,
    /// Time of the last snapshot request to a peer.
    snapshot_request: Option<Timestamp>,
    malformed_records: u64,
}

/// Records that are buffered until a snapshot fills the gap before them.
#[derive(Debug)]
struct GapBuffer<R> {
    /// Earliest offset in the log when the gap was found.
    start: Offset,
    /// Decoded records from `start` on.
    records: BTreeMap<Offset, Entry<R>>,
}

impl<F: Fold> StreamClient<F> {
    /// Creates a client that reads from the beginning of the stream. `fold` must be empty.
    #[must_use]
    pub fn new(name: StreamName, producer: Incarnation, fold: F, settings: StreamSettings) -> Self {
        let has_snapshots = fold.snapshot(Offset(0)).is_some();
        Self {
            name,
            producer,
            backoff: Backoff::new(&settings),
            snapshot_timer: SnapshotTimer::new(&settings),
            appender: Appender::new(&settings),
            settings,
            fold,
            has_snapshots,
            producers: Producers::default(),
            next: Offset(0),
            read_to: Offset(0),
            gap_buffer: None,
            read_in_flight: None,
            is_readable: false,
            failed_append: None,
            available: false,
            caught_up: false,
            snapshot_request: None,
            malformed_records: 0,
        }
    }

    /// Returns the stream that this client reads and appends.
    #[must_use]
    pub const fn name(&self) -> StreamName {
        self.name
    }

    /// Returns the state after all records before [`Self::next`].
    #[must_use]
    pub const fn fold(&self) -> &F {
        &self.fold
    }

    /// Returns the state for inputs that do not come from the log, such as limits.
    pub const fn fold_mut(&mut self) -> &mut F {
        &mut self.fold
    }

    /// Returns the first offset that is not folded yet.
    #[must_use]
    pub const fn next(&self) -> Offset {
        self.next
    }

    /// Whether the last read succeeded and no append has failed since it was sent.
    #[must_use]
    pub const fn is_available(&self) -> bool {
        self.available
    }

    /// Whether the reader has reached the end of the stream at least once.
    #[must_use]
    pub const fn caught_up(&self) -> bool {
        self.caught_up
    }

    /// Returns the number of appends that are queued, in flight or not read back yet, snapshots included.
    #[must_use]
    pub fn pending(&self) -> usize {
        self.appender.pending()
    }

    /// Returns the number of records that were skipped because this version could not decode them.
    #[must_use]
    pub const fn malformed_records(&self) -> u64 {
        self.malformed_records
    }

    /// Returns an encoded snapshot for a peer, or `None` before the first record or if the stream has no snapshots.
    #[must_use]
    pub fn snapshot(&self) -> Option<Bytes> {
        self.snapshot_entry(Sequence(0))?.encode()
    }

    fn snapshot_entry(&self, seq: Sequence) -> Option<Entry<F::Record>> {
        let through = Offset(self.next.0.checked_sub(1)?);
        let body = self.fold.snapshot(through)?;
        Some(Entry { producer: self.producer, seq, body, producers: Some(self.producers.clone()) })
    }

    fn handle_read(
        &mut self,
        sent_at: Timestamp,
        result: Result<ReadBatch, CallError>,
        context: &mut Context<'_, F::Effect>,
    ) {
        let from = self.read_in_flight.take();
        let batch = match result {
            // A snapshot from a peer has advanced the reader since the read was sent.
            Ok(_) if from != Some(self.read_to) => return,
            Ok(batch) if self.is_contiguous(&batch) => batch,
            Ok(_) | Err(_) => {
                self.is_readable = false;
                self.backoff.record_failure(context.now, context.rng);
                self.request_snapshot(context.now, !self.caught_up, context.out);
                return;
            }
        };
        self.is_readable = true;
        self.backoff.reset();
        if self.failed_append.is_some_and(|failed| sent_at >= failed) {
            self.failed_append = None;
        }
        self.process_batch(batch, sent_at, context);
    }

    /// Whether a batch has no gap after the reader's position and does not end before its own last record.
    fn is_contiguous(&self, batch: &ReadBatch) -> bool {
        let from = self.read_to.max(batch.earliest);
        let mut expected = from;
        for (offset, _) in &batch.records {
            if *offset < from {
                continue;
            }
            if *offset != expected {
                return false;
            }
            expected = Offset(offset.0 + 1);
        }
        batch.end >= expected
    }

    fn process_batch(&mut self, batch: ReadBatch, sent_at: Timestamp, context: &mut Context<'_, F::Effect>) {
        if batch.earliest > self.read_to {
            self.skip_gap(batch.earliest, context.out);
        }
        for (offset, payload) in batch.records {
            if offset >= self.read_to {
                self.read_to = Offset(offset.0 + 1);
                self.process_record(offset, &payload, context);
            }
        }
        if self.read_to < batch.end {
            return;
        }
        if self.gap_buffer.is_some() {
            self.request_snapshot(context.now, true, context.out);
            return;
        }
        self.caught_up = true;
        self.snapshot_timer.reached_end(context.now, batch.earliest, batch.end, context.rng);
        self.appender.reached_end(sent_at);
        context.out.push(StreamAction::CaughtUp { sent_at });
    }

    /// Advances the reader past records that the log has truncated.
    fn skip_gap(&mut self, earliest: Offset, out: &mut Vec<StreamAction<F::Effect>>) {
        self.read_to = earliest;
        if self.has_snapshots {
            self.gap_buffer = Some(GapBuffer { start: earliest, records: BTreeMap::new() });
            return;
        }
        self.next = earliest;
        let unresolved = self.appender.resolve_truncated(earliest);
        out.extend(unresolved.into_iter().map(|ticket| StreamAction::Unresolved { ticket }));
    }

    fn process_record(&mut self, offset: Offset, payload: &Bytes, context: &mut Context<'_, F::Effect>) {
        let entry = Entry::<F::Record>::decode(payload);
        if entry.is_none() {
            self.malformed_records += 1;
        }
        // A snapshot can only cover records before its own offset; any other is invalid.
        let through = entry.as_ref().and_then(|entry| F::snapshot_through(&entry.body));
        let is_usable = through.is_some_and(|through| through < offset);
        if is_usable {
            self.snapshot_timer.snapshot_read(context.now, offset, self.caught_up, context.rng);
        }
        let Some(gap_buffer) = &mut self.gap_buffer else {
            self.fold_record(offset, entry, context.out);
            return;
        };
        if let Some(entry) = &entry {
            gap_buffer.records.insert(offset, entry.clone());
        }
        if let (true, Some(entry), Some(through)) = (is_usable, entry, through) {
            self.restore(entry, through, context.out);
        }
    }

    fn fold_record(
        &mut self,
        offset: Offset,
        entry: Option<Entry<F::Record>>,
        out: &mut Vec<StreamAction<F::Effect>>,
    ) {
        self.next = Offset(offset.0 + 1);
        if offset.0.is_multiple_of(PRUNE_INTERVAL_RECORDS) {
            self.producers.prune(self.next, dedup_window(self.name));
        }
        let Some(entry) = entry else { return };
        if !self.producers.admit(entry.producer, entry.seq, offset, dedup_window(self.name)) {
            return;
        }
        if F::snapshot_through(&entry.body).is_none() {
            let mut effects = Vec::new();
            self.fold.apply(offset, entry.producer, entry.body, &mut effects);
            out.extend(effects.into_iter().map(StreamAction::Effect));
        }
        if entry.producer == self.producer {
            let committed = self.appender.resolve_folded(entry.seq);
            out.extend(committed.into_iter().map(|ticket| StreamAction::Committed { ticket, offset }));
        }
    }

    /// Replaces the state with a newer snapshot, and folds the buffered records after it. Older snapshots are ignored.
    fn restore(&mut self, entry: Entry<F::Record>, through: Offset, out: &mut Vec<StreamAction<F::Effect>>) {
        let Some(producers) = entry.producers else { return };
        let next = Offset(through.0.saturating_add(1));
        if next <= self.next {
            return;
        }
        self.producers = producers;
        let mut effects = Vec::new();
        self.fold.restore(entry.body, &mut effects);
        out.extend(effects.into_iter().map(StreamAction::Effect));
        self.next = next;
        self.commit_restored(out);
        if let Some(gap_buffer) = self.gap_buffer.take_if(|gap_buffer| next >= gap_buffer.start) {
            self.read_to = self.read_to.max(next);
            self.fold_buffered(gap_buffer.records, out);
        } else if self.gap_buffer.is_none() {
            self.read_to = next;
        }
    }

    fn fold_buffered(
        &mut self,
        records: BTreeMap<Offset, Entry<F::Record>>,
        out: &mut Vec<StreamAction<F::Effect>>,
    ) {
        for (offset, entry) in records {
            if offset >= self.next {
                self.fold_record(offset, Some(entry), out);
            }
        }
        // Malformed records at the end were not buffered.
        self.next = self.read_to;
    }

    /// Reports own records that the restored snapshot covers as committed.
    fn commit_restored(&mut self, out: &mut Vec<StreamAction<F::Effect>>) {
        let Some(last) = self.producers.last_append(self.producer) else { return };
        let tickets = self.appender.resolve_folded(last.seq);
        out.extend(tickets.into_iter().map(|ticket| StreamAction::Committed { ticket, offset: last.offset }));
    }

    fn restore_from_peer(&mut self, record: &Bytes, out: &mut Vec<StreamAction<F::Effect>>) {
        let Some(entry) = Entry::<F::Record>::decode(record) else { return };
        if let Some(through) = F::snapshot_through(&entry.body) {
            self.restore(entry, through, out);
        }
    }

    fn request_snapshot(&mut self, now: Timestamp, is_needed: bool, out: &mut Vec<StreamAction<F::Effect>>) {
        let is_recent =
            self.snapshot_request.is_some_and(|sent_at| now < sent_at + self.settings.backoff_max);
        if is_needed && self.has_snapshots && !is_recent {
            self.snapshot_request = Some(now);
            out.push(StreamAction::RequestSnapshot);
        }
    }

    fn handle_append(&mut self, ticket: u64, record: F::Record, out: &mut Vec<StreamAction<F::Effect>>) {
        let seq = self.appender.next_seq();
        let entry = Entry { producer: self.producer, seq, body: record, producers: None };
        match entry.encode() {
            Some(payload) => self.appender.push(Some(ticket), seq, payload),
            None => out.push(StreamAction::Failed { ticket }),
        }
    }

    fn handle_appended(
        &mut self,
        seq: Sequence,
        result: &Result<Offset, CallError>,
        context: &mut Context<'_, F::Effect>,
    ) {
        if result.is_err() {
            self.failed_append = Some(context.now);
        }
        let failed = self.appender.handle_result(context.now, seq, result, context.rng);
        context.out.extend(failed.map(|ticket| StreamAction::Failed { ticket }));
    }

    /// Queues a snapshot if one is due.
    fn queue_snapshot(&mut self, now: Timestamp) {
        let is_ready = self.has_snapshots && self.caught_up && self.gap_buffer.is_none() && self.available;
        let is_ready = is_ready && !self.appender.is_snapshot_pending();
        if !is_ready || !self.snapshot_timer.is_due(now, self.next) {
            return;
        }
        let seq = self.appender.next_seq();
        if let Some(payload) = self.snapshot_entry(seq).and_then(|entry| entry.encode()) {
            self.appender.push(None, seq, payload);
        }
        self.snapshot_timer.snapshot_queued(now);
    }

    /// Reports a change of availability and sends the calls that are due.
    fn issue_calls(&mut self, now: Timestamp, out: &mut Vec<StreamAction<F::Effect>>) {
        let available = self.is_readable && self.failed_append.is_none();
        if available != self.available {
            self.available = available;
            out.push(StreamAction::Available(available));
        }
        self.queue_snapshot(now);
        if let AppendStep::Send { seq, record } = self.appender.next_step(now) {
            out.push(StreamAction::SendAppend { seq, record });
        }
        if self.read_in_flight.is_none() && self.backoff.is_elapsed(now) {
            self.read_in_flight = Some(self.read_to);
            // A record in doubt must not wait for a long poll to time out.
            let wait =
                if self.appender.in_doubt() { std::time::Duration::ZERO } else { self.settings.poll_wait };
            out.push(StreamAction::SendRead { from: self.read_to, wait });
        }
    }
}

impl<F: Fold> StateMachine for StreamClient<F> {
    type Event = StreamEvent<F::Record>;
    type Action = StreamAction<F::Effect>;

    fn handle(&mut self, now: Timestamp, event: Self::Event, rng: &mut dyn Rng, out: &mut Vec<Self::Action>) {
        let mut context = Context { now, rng, out };
        match event {
            StreamEvent::Append { ticket, record } => self.handle_append(ticket, record, out),
            StreamEvent::Appended { seq, result } => self.handle_appended(seq, &result, &mut context),
            StreamEvent::Read { sent_at, result } => self.handle_read(sent_at, result, &mut context),
            StreamEvent::PeerSnapshot { record } => self.restore_from_peer(&record, out),
            StreamEvent::Tick => {}
        }
        self.issue_calls(now, out);
    }
}
