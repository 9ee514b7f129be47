//! State machine that reads and appends one stream.
//!
//! Reads are long polls, one after another. One append is in flight. When its answer is lost, the reader first reaches
//! the tail; if the record is not there, it is appended again with the same sequence number, and whichever copy comes
//! second is dropped in the fold.

mod appender;
mod schedule;

use std::collections::BTreeMap;

use bytes::Bytes;
use rand::Rng;

use self::appender::{Appender, Step};
use self::schedule::{Backoff, SnapshotTimer};
use super::entry::Entry;
use super::message::{StreamAction, StreamEvent};
use super::producers::{Producers, window};
use super::{Fold, StreamName, StreamSettings};
use crate::duty::Duty;
use crate::id::{Incarnation, Offset, Sequence};
use crate::systems::{CallError, ReadBatch};
use crate::unit::Timestamp;

/// Records between two removals of silent producers.
const PRUNE_INTERVAL: u64 = 4_096;

/// Time, randomness and actions of one event.
struct Turn<'a, E> {
    now: Timestamp,
    rng: &'a mut dyn Rng,
    out: &'a mut Vec<StreamAction<E>>,
}

/// Client of one log stream.
#[derive(Debug)]
pub struct StreamClient<F: Fold> {
    name: StreamName,
    producer: Incarnation,
    settings: StreamSettings,
    fold: F,
    /// Whether the stream has snapshots.
    snapshots: bool,
    producers: Producers,
    /// First offset that is not folded.
    next: Offset,
    /// First offset that is not read; beyond `next` only while records are held back.
    read_to: Offset,
    /// Records behind a gap that only a snapshot closes; none if there is no gap.
    held: Option<Held<F::Record>>,
    appender: Appender,
    /// First offset of the read in flight.
    reading: Option<Offset>,
    backoff: Backoff,
    timer: SnapshotTimer,
    reads_ok: bool,
    /// Time of the last failed append, until a later read succeeds.
    append_failed: Option<Timestamp>,
    available: bool,
    caught_up: bool,
    /// Time of the last request for a peer's state.
    asked_peer: Option<Timestamp>,
    malformed: u64,
}

/// Records that are held back until a snapshot is found.
#[derive(Debug)]
struct Held<R> {
    /// Earliest offset that the log kept when the gap was found.
    start: Offset,
    /// Records from there on.
    records: BTreeMap<Offset, Entry<R>>,
}

impl<F: Fold> StreamClient<F> {
    /// Client that starts at the beginning of the stream, with an empty fold.
    #[must_use]
    pub fn new(name: StreamName, producer: Incarnation, fold: F, settings: StreamSettings) -> Self {
        let snapshots = fold.snapshot(Offset(0)).is_some();
        Self {
            name,
            producer,
            backoff: Backoff::new(&settings),
            timer: SnapshotTimer::new(&settings),
            appender: Appender::new(&settings),
            settings,
            fold,
            snapshots,
            producers: Producers::default(),
            next: Offset(0),
            read_to: Offset(0),
            held: None,
            reading: None,
            reads_ok: false,
            append_failed: None,
            available: false,
            caught_up: false,
            asked_peer: None,
            malformed: 0,
        }
    }

    /// Stream.
    #[must_use]
    pub const fn name(&self) -> StreamName {
        self.name
    }

    /// State after all records before [`Self::next`].
    #[must_use]
    pub const fn fold(&self) -> &F {
        &self.fold
    }

    /// State, for inputs that do not come from the log, such as limits.
    pub const fn fold_mut(&mut self) -> &mut F {
        &mut self.fold
    }

    /// Offset of the first record that is not folded.
    #[must_use]
    pub const fn next(&self) -> Offset {
        self.next
    }

    /// Whether the log service answers.
    #[must_use]
    pub const fn available(&self) -> bool {
        self.available
    }

    /// Whether the reader has ever reached the end of the stream.
    #[must_use]
    pub const fn caught_up(&self) -> bool {
        self.caught_up
    }

    /// Appends that are queued, in flight, or not yet read back.
    #[must_use]
    pub fn pending(&self) -> usize {
        self.appender.pending()
    }

    /// Records that this version could not read and skipped.
    #[must_use]
    pub const fn malformed(&self) -> u64 {
        self.malformed
    }

    /// Snapshot record for a peer; none before the first record, or if the stream has no snapshots.
    #[must_use]
    pub fn snapshot(&self) -> Option<Bytes> {
        self.snapshot_entry(Sequence(0))?.encode()
    }

    fn snapshot_entry(&self, seq: Sequence) -> Option<Entry<F::Record>> {
        let through = Offset(self.next.0.checked_sub(1)?);
        let body = self.fold.snapshot(through)?;
        Some(Entry { producer: self.producer, seq, body, producers: Some(self.producers.clone()) })
    }

    fn read(
        &mut self,
        asked: Timestamp,
        result: Result<ReadBatch, CallError>,
        turn: &mut Turn<'_, F::Effect>,
    ) {
        let from = self.reading.take();
        let batch = match result {
            // A peer's state has moved the reader on since.
            Ok(_) if from != Some(self.read_to) => return,
            Ok(batch) if self.is_sound(&batch) => batch,
            Ok(_) | Err(_) => {
                self.reads_ok = false;
                self.backoff.fail(turn.now, turn.rng);
                self.ask_peer(turn.now, !self.caught_up, turn.out);
                return;
            }
        };
        self.reads_ok = true;
        self.backoff.succeed();
        if self.append_failed.is_some_and(|failed| asked >= failed) {
            self.append_failed = None;
        }
        self.take(batch, asked, turn);
    }

    /// Whether a batch leaves out no record between the reader and its own records, and the stream has not shrunk.
    fn is_sound(&self, batch: &ReadBatch) -> bool {
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

    fn take(&mut self, batch: ReadBatch, asked: Timestamp, turn: &mut Turn<'_, F::Effect>) {
        if batch.earliest > self.read_to {
            self.skip_gap(batch.earliest, turn.out);
        }
        for (offset, text) in batch.records {
            if offset >= self.read_to {
                self.read_to = Offset(offset.0 + 1);
                self.take_record(offset, &text, turn);
            }
        }
        if self.read_to < batch.end {
            return;
        }
        if self.held.is_some() {
            self.ask_peer(turn.now, true, turn.out);
            return;
        }
        self.caught_up = true;
        self.timer.caught_up(turn.now, batch.earliest, batch.end, turn.rng);
        self.appender.reached_end(asked);
        turn.out.push(StreamAction::CaughtUp { asked });
    }

    /// Goes on behind records that the log no longer has.
    fn skip_gap(&mut self, earliest: Offset, out: &mut Vec<StreamAction<F::Effect>>) {
        self.read_to = earliest;
        if self.snapshots {
            self.held = Some(Held { start: earliest, records: BTreeMap::new() });
            return;
        }
        self.next = earliest;
        let lost = self.appender.skipped(earliest);
        out.extend(lost.into_iter().map(|ticket| StreamAction::Unresolved { ticket }));
    }

    fn take_record(&mut self, offset: Offset, text: &Bytes, turn: &mut Turn<'_, F::Effect>) {
        let entry = Entry::<F::Record>::decode(text);
        if entry.is_none() {
            self.malformed += 1;
        }
        // A snapshot of the future is no snapshot: only records before its own offset can be in it.
        let through = entry.as_ref().and_then(|entry| F::snapshot_through(&entry.body));
        let usable = through.is_some_and(|through| through < offset);
        if usable {
            self.timer.seen(turn.now, offset, self.caught_up, turn.rng);
        }
        let Some(held) = &mut self.held else {
            self.fold_record(offset, entry, turn.out);
            return;
        };
        if let Some(entry) = &entry {
            held.records.insert(offset, entry.clone());
        }
        if let (true, Some(entry), Some(through)) = (usable, entry, through) {
            self.restore(entry, through, turn.out);
        }
    }

    fn fold_record(
        &mut self,
        offset: Offset,
        entry: Option<Entry<F::Record>>,
        out: &mut Vec<StreamAction<F::Effect>>,
    ) {
        self.next = Offset(offset.0 + 1);
        if offset.0.is_multiple_of(PRUNE_INTERVAL) {
            self.producers.prune(self.next, window(self.name));
        }
        let Some(entry) = entry else { return };
        if !self.producers.admit(entry.producer, entry.seq, offset, window(self.name)) {
            return;
        }
        if F::snapshot_through(&entry.body).is_none() {
            let mut effects = Vec::new();
            self.fold.apply(offset, entry.producer, entry.body, &mut effects);
            out.extend(effects.into_iter().map(StreamAction::Effect));
        }
        if entry.producer == self.producer {
            let committed = self.appender.folded(entry.seq);
            out.extend(committed.into_iter().map(|ticket| StreamAction::Committed { ticket, offset }));
        }
    }

    /// Replaces the state by a snapshot that is newer, and folds what was held back behind it.
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
        self.resolve_restored(out);
        if let Some(held) = self.held.take_if(|held| next >= held.start) {
            self.read_to = self.read_to.max(next);
            self.fold_held(held.records, out);
        } else if self.held.is_none() {
            self.read_to = next;
        }
    }

    fn fold_held(
        &mut self,
        records: BTreeMap<Offset, Entry<F::Record>>,
        out: &mut Vec<StreamAction<F::Effect>>,
    ) {
        for (offset, entry) in records {
            if offset >= self.next {
                self.fold_record(offset, Some(entry), out);
            }
        }
        // Unreadable records at the end were not held.
        self.next = self.read_to;
    }

    /// Commits own records that a snapshot includes.
    fn resolve_restored(&mut self, out: &mut Vec<StreamAction<F::Effect>>) {
        let Some(last) = self.producers.last(self.producer) else { return };
        let tickets = self.appender.folded(last.seq);
        out.extend(tickets.into_iter().map(|ticket| StreamAction::Committed { ticket, offset: last.offset }));
    }

    fn restore_from_peer(&mut self, record: &Bytes, out: &mut Vec<StreamAction<F::Effect>>) {
        let Some(entry) = Entry::<F::Record>::decode(record) else { return };
        if let Some(through) = F::snapshot_through(&entry.body) {
            self.restore(entry, through, out);
        }
    }

    fn ask_peer(&mut self, now: Timestamp, needed: bool, out: &mut Vec<StreamAction<F::Effect>>) {
        let recent = self.asked_peer.is_some_and(|asked| now < asked + self.settings.backoff_max);
        if needed && self.snapshots && !recent {
            self.asked_peer = Some(now);
            out.push(StreamAction::NeedSnapshot);
        }
    }

    fn append(&mut self, ticket: u64, record: F::Record, out: &mut Vec<StreamAction<F::Effect>>) {
        let seq = self.appender.next_seq();
        let entry = Entry { producer: self.producer, seq, body: record, producers: None };
        match entry.encode() {
            Some(text) => self.appender.push(Some(ticket), seq, text),
            None => out.push(StreamAction::Failed { ticket }),
        }
    }

    fn appended(
        &mut self,
        seq: Sequence,
        result: &Result<Offset, CallError>,
        turn: &mut Turn<'_, F::Effect>,
    ) {
        if result.is_err() {
            self.append_failed = Some(turn.now);
        }
        let failed = self.appender.answered(turn.now, seq, result, turn.rng);
        turn.out.extend(failed.map(|ticket| StreamAction::Failed { ticket }));
    }

    /// Queues a snapshot if one is due.
    fn write_snapshot(&mut self, now: Timestamp) {
        let ready = self.snapshots && self.caught_up && self.held.is_none() && self.available;
        let ready = ready && !self.appender.has_snapshot();
        if !ready || !self.timer.is_due(now, self.next) {
            return;
        }
        let seq = self.appender.next_seq();
        if let Some(text) = self.snapshot_entry(seq).and_then(|entry| entry.encode()) {
            self.appender.push(None, seq, text);
        }
        self.timer.written(now);
    }

    /// Issues the calls that are possible now.
    fn issue(&mut self, now: Timestamp, out: &mut Vec<StreamAction<F::Effect>>) {
        let available = self.reads_ok && self.append_failed.is_none();
        if available != self.available {
            self.available = available;
            out.push(StreamAction::Available(available));
        }
        self.write_snapshot(now);
        if let Step::Send { seq, record } = self.appender.step(now) {
            out.push(StreamAction::SendAppend { seq, record });
        }
        if self.reading.is_none() && self.backoff.is_over(now) {
            self.reading = Some(self.read_to);
            // Records that wait for the tail must not wait for a long poll.
            let wait =
                if self.appender.in_doubt() { std::time::Duration::ZERO } else { self.settings.poll_wait };
            out.push(StreamAction::SendRead { from: self.read_to, wait });
        }
    }
}

impl<F: Fold> Duty for StreamClient<F> {
    type Event = StreamEvent<F::Record>;
    type Action = StreamAction<F::Effect>;

    fn handle(&mut self, now: Timestamp, event: Self::Event, rng: &mut dyn Rng, out: &mut Vec<Self::Action>) {
        let mut turn = Turn { now, rng, out };
        match event {
            StreamEvent::Append { ticket, record } => self.append(ticket, record, out),
            StreamEvent::Appended { seq, result } => self.appended(seq, &result, &mut turn),
            StreamEvent::Read { asked, result } => self.read(asked, result, &mut turn),
            StreamEvent::Restore { record } => self.restore_from_peer(&record, out),
            StreamEvent::Tick => {}
        }
        self.issue(now, out);
    }
}
