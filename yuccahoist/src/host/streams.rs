//! The four log streams of a host and what their effects mean for the duties.

use std::collections::BTreeMap;

use super::Host;
use super::step::{Step, Turn};
use crate::config::{ConfigEffect, ConfigFold, ConfigRecord, VerdictEvent};
use crate::duty::Duty;
use crate::event::HostAction;
use crate::front::FrontEvent;
use crate::id::{Incarnation, Offset, RequestId, Revision, Sequence};
use crate::intent::{IntentEffect, IntentFold, IntentRecord};
use crate::job::{CoordinatorEvent, JobFold, JobRecord};
use crate::ownership::{CellFold, CellRecord, OwnershipEvent};
use crate::stream::{Fold, StreamAction, StreamClient, StreamEvent, StreamName, StreamSettings};
use crate::systems::{CallError, ReadBatch};
use crate::unit::Timestamp;
use bytes::Bytes;

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

/// Runs a stream client, turns its calls into host actions, and returns the rest.
fn handle<F: Fold>(
    client: &mut StreamClient<F>,
    event: StreamEvent<F::Record>,
    turn: &mut Turn<'_>,
) -> Vec<StreamAction<F::Effect>> {
    let stream = client.name();
    let mut actions = Vec::new();
    client.handle(turn.now, event, turn.rng, &mut actions);
    let mut rest = Vec::new();
    for action in actions {
        match action {
            StreamAction::SendAppend { seq, record } => {
                turn.out.push(HostAction::Append { stream, seq, record });
            }
            StreamAction::SendRead { from, wait } => turn.out.push(HostAction::Read { stream, from, wait }),
            other => rest.push(other),
        }
    }
    rest
}

impl Host {
    pub(super) fn streams_read(
        &mut self,
        stream: StreamName,
        asked: Timestamp,
        result: Result<ReadBatch, CallError>,
        turn: &mut Turn<'_>,
    ) {
        match stream {
            StreamName::Config => self.on_config(StreamEvent::Read { asked, result }, turn),
            StreamName::Cell => self.on_cell(StreamEvent::Read { asked, result }, turn),
            StreamName::Intents => {
                self.note_truncation(&result);
                self.on_intents(StreamEvent::Read { asked, result }, turn);
            }
            StreamName::Jobs => self.on_jobs(StreamEvent::Read { asked, result }, turn),
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
        stream: StreamName,
        seq: Sequence,
        result: Result<Offset, CallError>,
        turn: &mut Turn<'_>,
    ) {
        match stream {
            StreamName::Config => self.on_config(StreamEvent::Appended { seq, result }, turn),
            StreamName::Cell => self.on_cell(StreamEvent::Appended { seq, result }, turn),
            StreamName::Intents => self.on_intents(StreamEvent::Appended { seq, result }, turn),
            StreamName::Jobs => self.on_jobs(StreamEvent::Appended { seq, result }, turn),
        }
    }

    pub(super) fn streams_tick(&mut self, turn: &mut Turn<'_>) {
        self.on_config(StreamEvent::Tick, turn);
        self.on_cell(StreamEvent::Tick, turn);
        self.on_intents(StreamEvent::Tick, turn);
        self.on_jobs(StreamEvent::Tick, turn);
    }

    pub(super) fn streams_restore(&mut self, stream: StreamName, record: Bytes, turn: &mut Turn<'_>) {
        match stream {
            StreamName::Config => {
                self.on_config(StreamEvent::Restore { record }, turn);
                self.start_config(turn);
            }
            StreamName::Cell => self.on_cell(StreamEvent::Restore { record }, turn),
            StreamName::Jobs => self.on_jobs(StreamEvent::Restore { record }, turn),
            StreamName::Intents => {}
        }
    }

    fn on_config(&mut self, event: StreamEvent<ConfigRecord>, turn: &mut Turn<'_>) {
        for action in handle(&mut self.streams.config, event, turn) {
            match action {
                StreamAction::Effect(effect) => self.config_effect(effect, turn),
                StreamAction::Committed { ticket, .. } => {
                    self.streams.verdicts.remove(&ticket);
                }
                StreamAction::Failed { ticket } | StreamAction::Unresolved { ticket } => {
                    if let Some(edit) = self.streams.verdicts.remove(&ticket) {
                        self.steps.push_back(Step::Verdict(VerdictEvent::Failed { edit }));
                    }
                }
                StreamAction::CaughtUp { .. } => {
                    self.start_config(turn);
                    self.steps.push_back(Step::Verdict(VerdictEvent::CaughtUp));
                }
                StreamAction::NeedSnapshot => self.ask_state(StreamName::Config, turn),
                _ => {}
            }
        }
    }

    fn config_effect(&mut self, effect: ConfigEffect, turn: &mut Turn<'_>) {
        // Until the first configuration is applied, the fold may be on its way through revisions that are long past.
        if let (ConfigEffect::InForce(at), Some(_)) = (&effect, &self.config) {
            self.control(format!("configuration revision {} is in force", at.revision), turn);
            self.apply_config(turn);
        }
        self.steps.push_back(Step::Verdict(VerdictEvent::Effect(effect)));
    }

    /// Applies the first configuration: that at the end of the stream, or a peer's.
    fn start_config(&mut self, turn: &mut Turn<'_>) {
        let revision = self.streams.config.fold().in_force().revision;
        if self.config.is_none() && revision > Revision::default() {
            self.control(format!("configuration revision {revision} is the first in force"), turn);
            self.apply_config(turn);
        }
    }

    /// Appends this host's verdict on an edit.
    pub(super) fn append_verdict(&mut self, edit: Offset, turn: &mut Turn<'_>) {
        let Some(verdict) = self.streams.config.fold().judge(edit) else { return };
        let ticket = self.streams.ticket();
        self.streams.verdicts.insert(ticket, edit);
        let record = ConfigRecord::Verdict(verdict);
        self.on_config(StreamEvent::Append { ticket, record }, turn);
    }

    fn on_cell(&mut self, event: StreamEvent<CellRecord>, turn: &mut Turn<'_>) {
        for action in handle(&mut self.streams.cell, event, turn) {
            let event = match action {
                StreamAction::Effect(change) => OwnershipEvent::Change(change),
                StreamAction::Committed { ticket, offset } => OwnershipEvent::Appended { ticket, offset },
                StreamAction::Failed { ticket } => OwnershipEvent::AppendFailed { ticket },
                StreamAction::CaughtUp { asked } => OwnershipEvent::CaughtUp { asked },
                StreamAction::NeedSnapshot => {
                    self.ask_state(StreamName::Cell, turn);
                    continue;
                }
                _ => continue,
            };
            self.steps.push_back(Step::Ownership(event));
        }
    }

    /// Appends a record for the ownership duty, under its own ticket.
    pub(super) fn append_cell(&mut self, ticket: u64, record: CellRecord, turn: &mut Turn<'_>) {
        self.on_cell(StreamEvent::Append { ticket, record }, turn);
    }

    fn on_intents(&mut self, event: StreamEvent<IntentRecord>, turn: &mut Turn<'_>) {
        for action in handle(&mut self.streams.intents, event, turn) {
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
    pub(super) fn append_intents(&mut self, record: IntentRecord, turn: &mut Turn<'_>) {
        let ticket = self.streams.ticket();
        let IntentRecord::Intents { ids, .. } = &record;
        self.streams.batches.insert(ticket, ids.clone());
        self.on_intents(StreamEvent::Append { ticket, record }, turn);
    }

    fn on_jobs(&mut self, event: StreamEvent<JobRecord>, turn: &mut Turn<'_>) {
        for action in handle(&mut self.streams.jobs, event, turn) {
            match action {
                StreamAction::Effect(record) => {
                    self.steps.push_back(Step::Coordinator(CoordinatorEvent::Record(record)));
                }
                StreamAction::Committed { ticket, .. } => self.job_append_ended(ticket, true, turn),
                StreamAction::Failed { ticket } | StreamAction::Unresolved { ticket } => {
                    self.job_append_ended(ticket, false, turn);
                }
                StreamAction::NeedSnapshot => self.ask_state(StreamName::Jobs, turn),
                _ => {}
            }
        }
    }

    fn job_append_ended(&mut self, ticket: u64, committed: bool, turn: &mut Turn<'_>) {
        match self.streams.tickets.remove(&ticket) {
            Some(JobTicket::Coordinator(ticket)) => {
                let event = if committed {
                    CoordinatorEvent::Appended { ticket }
                } else {
                    CoordinatorEvent::AppendFailed { ticket }
                };
                self.steps.push_back(Step::Coordinator(event));
            }
            Some(JobTicket::Call(number)) => self.job_call_ended(number, committed, turn),
            None => {}
        }
    }

    /// Appends a record to the `jobs` stream.
    pub(super) fn append_job(&mut self, owner: JobTicket, record: JobRecord, turn: &mut Turn<'_>) {
        let ticket = self.streams.ticket();
        self.streams.tickets.insert(ticket, owner);
        self.on_jobs(StreamEvent::Append { ticket, record }, turn);
    }
}
