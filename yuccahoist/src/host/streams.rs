//! The four log streams of a host and what their effects mean for the duties.

use std::collections::BTreeMap;

use bytes::Bytes;
use rand::Rng;

use super::Host;
use super::step::Step;
use crate::config::{ConfigEffect, ConfigFold, ConfigRecord, VerdictEvent};
use crate::duty::Duty;
use crate::event::HostAction;
use crate::front::FrontEvent;
use crate::id::{Incarnation, Offset, RequestId, Sequence};
use crate::intent::{IntentEffect, IntentFold, IntentRecord};
use crate::job::{CoordinatorEvent, JobFold, JobRecord};
use crate::ownership::{CellFold, CellRecord, OwnershipEvent};
use crate::platform::{CallError, ReadBatch};
use crate::stream::{Fold, StreamAction, StreamClient, StreamEvent, StreamName, StreamSettings};
use crate::unit::Timestamp;

/// Who asked for an append to the `jobs` stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum JobTicket {
    /// Coordinator, by its own number.
    Coordinator(u64),
    /// Open job call, by the number of the append.
    Call(u64),
}

/// Clients of the log streams, and who waits for which append.
#[derive(Debug)]
pub(super) struct Streams {
    pub(super) config: StreamClient<ConfigFold>,
    pub(super) cell: StreamClient<CellFold>,
    pub(super) intents: StreamClient<IntentFold>,
    pub(super) jobs: StreamClient<JobFold>,
    verdicts: BTreeMap<u64, Offset>,
    batches: BTreeMap<u64, Vec<RequestId>>,
    tickets: BTreeMap<u64, JobTicket>,
    next_ticket: u64,
}

impl Streams {
    pub(super) fn new(incarnation: Incarnation, settings: &StreamSettings) -> Self {
        let settings = || settings.clone();
        Self {
            config: StreamClient::new(StreamName::Config, incarnation, ConfigFold::default(), settings()),
            cell: StreamClient::new(StreamName::Cell, incarnation, CellFold::new(), settings()),
            intents: StreamClient::new(
                StreamName::Intents,
                incarnation,
                IntentFold::new(incarnation),
                settings(),
            ),
            jobs: StreamClient::new(StreamName::Jobs, incarnation, JobFold::new(), settings()),
            verdicts: BTreeMap::new(),
            batches: BTreeMap::new(),
            tickets: BTreeMap::new(),
            next_ticket: 0,
        }
    }

    /// Whether all streams answer.
    pub(super) const fn available(&self) -> bool {
        self.config.available() && self.cell.available() && self.intents.available() && self.jobs.available()
    }

    const fn ticket(&mut self) -> u64 {
        self.next_ticket += 1;
        self.next_ticket
    }

    /// Snapshot of a stream for a peer; none if there is nothing to give.
    pub(super) fn snapshot(&self, stream: StreamName) -> Option<Bytes> {
        match stream {
            StreamName::Config => self.config.snapshot(),
            StreamName::Cell => self.cell.snapshot(),
            StreamName::Jobs => self.jobs.snapshot(),
            StreamName::Intents => None,
        }
    }
}

/// Turns the sending actions of a stream into host actions and returns the rest.
fn send<E>(
    stream: StreamName,
    actions: Vec<StreamAction<E>>,
    out: &mut Vec<HostAction>,
) -> Vec<StreamAction<E>> {
    let mut rest = Vec::new();
    for action in actions {
        match action {
            StreamAction::SendAppend { seq, record } => out.push(HostAction::Append { stream, seq, record }),
            StreamAction::SendRead { from, wait } => out.push(HostAction::Read { stream, from, wait }),
            other => rest.push(other),
        }
    }
    rest
}

fn handle<F: Fold>(
    client: &mut StreamClient<F>,
    now: Timestamp,
    event: StreamEvent<F::Record>,
    rng: &mut dyn Rng,
    out: &mut Vec<HostAction>,
) -> Vec<StreamAction<F::Effect>> {
    let mut actions = Vec::new();
    client.handle(now, event, rng, &mut actions);
    send(client.name(), actions, out)
}

impl Host {
    pub(super) fn streams_read(
        &mut self,
        now: Timestamp,
        stream: StreamName,
        asked: Timestamp,
        result: Result<ReadBatch, CallError>,
        rng: &mut dyn Rng,
        out: &mut Vec<HostAction>,
    ) {
        match stream {
            StreamName::Config => self.on_config(now, StreamEvent::Read { asked, result }, rng, out),
            StreamName::Cell => self.on_cell(now, StreamEvent::Read { asked, result }, rng, out),
            StreamName::Intents => {
                self.note_truncation(&result);
                self.on_intents(now, StreamEvent::Read { asked, result }, rng, out);
            }
            StreamName::Jobs => self.on_jobs(now, StreamEvent::Read { asked, result }, rng, out),
        }
    }

    /// Tells the intent register about records that this host can no longer read.
    fn note_truncation(&mut self, result: &Result<ReadBatch, CallError>) {
        let Ok(batch) = result else { return };
        if batch.earliest > self.streams.intents.next() {
            self.streams.intents.fold_mut().start_behind(batch.earliest, batch.end);
        }
    }

    pub(super) fn streams_appended(
        &mut self,
        now: Timestamp,
        stream: StreamName,
        seq: Sequence,
        result: Result<Offset, CallError>,
        rng: &mut dyn Rng,
        out: &mut Vec<HostAction>,
    ) {
        match stream {
            StreamName::Config => self.on_config(now, StreamEvent::Appended { seq, result }, rng, out),
            StreamName::Cell => self.on_cell(now, StreamEvent::Appended { seq, result }, rng, out),
            StreamName::Intents => self.on_intents(now, StreamEvent::Appended { seq, result }, rng, out),
            StreamName::Jobs => self.on_jobs(now, StreamEvent::Appended { seq, result }, rng, out),
        }
    }

    pub(super) fn streams_tick(&mut self, now: Timestamp, rng: &mut dyn Rng, out: &mut Vec<HostAction>) {
        self.on_config(now, StreamEvent::Tick, rng, out);
        self.on_cell(now, StreamEvent::Tick, rng, out);
        self.on_intents(now, StreamEvent::Tick, rng, out);
        self.on_jobs(now, StreamEvent::Tick, rng, out);
    }

    pub(super) fn streams_restore(
        &mut self,
        now: Timestamp,
        stream: StreamName,
        record: Bytes,
        rng: &mut dyn Rng,
        out: &mut Vec<HostAction>,
    ) {
        match stream {
            StreamName::Config => self.on_config(now, StreamEvent::Restore { record }, rng, out),
            StreamName::Cell => self.on_cell(now, StreamEvent::Restore { record }, rng, out),
            StreamName::Jobs => self.on_jobs(now, StreamEvent::Restore { record }, rng, out),
            StreamName::Intents => {}
        }
    }

    fn on_config(
        &mut self,
        now: Timestamp,
        event: StreamEvent<ConfigRecord>,
        rng: &mut dyn Rng,
        out: &mut Vec<HostAction>,
    ) {
        for action in handle(&mut self.streams.config, now, event, rng, out) {
            match action {
                StreamAction::Effect(effect) => self.config_effect(effect, out),
                StreamAction::Committed { ticket, .. } => {
                    self.streams.verdicts.remove(&ticket);
                }
                StreamAction::Failed { ticket } | StreamAction::Unresolved { ticket } => {
                    if let Some(edit) = self.streams.verdicts.remove(&ticket) {
                        self.steps.push_back(Step::Verdict(VerdictEvent::Failed { edit }));
                    }
                }
                StreamAction::CaughtUp { .. } => {
                    self.steps.push_back(Step::Verdict(VerdictEvent::CaughtUp));
                }
                StreamAction::NeedSnapshot => self.ask_state(StreamName::Config, out),
                _ => {}
            }
        }
    }

    fn config_effect(&mut self, effect: ConfigEffect, out: &mut Vec<HostAction>) {
        if let ConfigEffect::InForce(at) = &effect {
            self.control(format!("configuration revision {} is in force", at.revision), out);
            self.apply_config(out);
        }
        self.steps.push_back(Step::Verdict(VerdictEvent::Effect(effect)));
    }

    /// Appends this host's verdict on an edit.
    pub(super) fn append_verdict(
        &mut self,
        now: Timestamp,
        edit: Offset,
        rng: &mut dyn Rng,
        out: &mut Vec<HostAction>,
    ) {
        let Some(verdict) = self.streams.config.fold().judge(edit) else { return };
        let ticket = self.streams.ticket();
        self.streams.verdicts.insert(ticket, edit);
        let record = ConfigRecord::Verdict(verdict);
        self.on_config(now, StreamEvent::Append { ticket, record }, rng, out);
    }

    fn on_cell(
        &mut self,
        now: Timestamp,
        event: StreamEvent<CellRecord>,
        rng: &mut dyn Rng,
        out: &mut Vec<HostAction>,
    ) {
        for action in handle(&mut self.streams.cell, now, event, rng, out) {
            let event = match action {
                StreamAction::Effect(change) => OwnershipEvent::Change(change),
                StreamAction::Committed { ticket, offset } => OwnershipEvent::Appended { ticket, offset },
                StreamAction::Failed { ticket } => OwnershipEvent::AppendFailed { ticket },
                StreamAction::CaughtUp { asked } => OwnershipEvent::CaughtUp { asked },
                StreamAction::NeedSnapshot => {
                    self.ask_state(StreamName::Cell, out);
                    continue;
                }
                _ => continue,
            };
            self.steps.push_back(Step::Ownership(event));
        }
    }

    /// Appends a record for the ownership duty, under its own ticket.
    pub(super) fn append_cell(
        &mut self,
        now: Timestamp,
        ticket: u64,
        record: CellRecord,
        rng: &mut dyn Rng,
        out: &mut Vec<HostAction>,
    ) {
        self.on_cell(now, StreamEvent::Append { ticket, record }, rng, out);
    }

    fn on_intents(
        &mut self,
        now: Timestamp,
        event: StreamEvent<IntentRecord>,
        rng: &mut dyn Rng,
        out: &mut Vec<HostAction>,
    ) {
        for action in handle(&mut self.streams.intents, now, event, rng, out) {
            let event = match action {
                StreamAction::Effect(IntentEffect::First { id }) => FrontEvent::IntentFirst { id },
                StreamAction::Effect(IntentEffect::Duplicate { id, first }) => {
                    FrontEvent::IntentDuplicate { id, first }
                }
                StreamAction::Effect(IntentEffect::TooOld { id }) => FrontEvent::IntentTooOld { id },
                StreamAction::Committed { ticket, .. } => {
                    self.streams.batches.remove(&ticket);
                    continue;
                }
                // The front has not forwarded these requests, and after this it never will.
                StreamAction::Failed { ticket } | StreamAction::Unresolved { ticket } => {
                    FrontEvent::IntentFailed { ids: self.streams.batches.remove(&ticket).unwrap_or_default() }
                }
                StreamAction::Available(available) => FrontEvent::LogAvailable(available),
                _ => continue,
            };
            self.steps.push_back(Step::Front(event));
        }
    }

    /// Appends a batch of request ids.
    pub(super) fn append_intents(
        &mut self,
        now: Timestamp,
        record: IntentRecord,
        rng: &mut dyn Rng,
        out: &mut Vec<HostAction>,
    ) {
        let ticket = self.streams.ticket();
        let IntentRecord::Intents { ids, .. } = &record;
        self.streams.batches.insert(ticket, ids.clone());
        self.on_intents(now, StreamEvent::Append { ticket, record }, rng, out);
    }

    fn on_jobs(
        &mut self,
        now: Timestamp,
        event: StreamEvent<JobRecord>,
        rng: &mut dyn Rng,
        out: &mut Vec<HostAction>,
    ) {
        for action in handle(&mut self.streams.jobs, now, event, rng, out) {
            match action {
                StreamAction::Effect(record) => {
                    self.steps.push_back(Step::Coordinator(CoordinatorEvent::Record(record)));
                }
                StreamAction::Committed { ticket, .. } => self.job_append_ended(ticket, true, out),
                StreamAction::Failed { ticket } | StreamAction::Unresolved { ticket } => {
                    self.job_append_ended(ticket, false, out);
                }
                StreamAction::NeedSnapshot => self.ask_state(StreamName::Jobs, out),
                _ => {}
            }
        }
    }

    fn job_append_ended(&mut self, ticket: u64, committed: bool, out: &mut Vec<HostAction>) {
        match self.streams.tickets.remove(&ticket) {
            Some(JobTicket::Coordinator(ticket)) => {
                let event = if committed {
                    CoordinatorEvent::Appended { ticket }
                } else {
                    CoordinatorEvent::AppendFailed { ticket }
                };
                self.steps.push_back(Step::Coordinator(event));
            }
            Some(JobTicket::Call(number)) => self.job_call_ended(number, committed, out),
            None => {}
        }
    }

    /// Appends a record to the `jobs` stream.
    pub(super) fn append_job(
        &mut self,
        now: Timestamp,
        owner: JobTicket,
        record: JobRecord,
        rng: &mut dyn Rng,
        out: &mut Vec<HostAction>,
    ) {
        let ticket = self.streams.ticket();
        self.streams.tickets.insert(ticket, owner);
        self.on_jobs(now, StreamEvent::Append { ticket, record }, rng, out);
    }
}
