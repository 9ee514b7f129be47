//! Clients of the four log streams, and the events for the duties that follow from their effects.

use std::collections::BTreeMap;

use super::Host;
use super::step::{Step, StepContext};
use crate::config::{ConfigEffect, ConfigFold, ConfigRecord, VerdictEvent};
use crate::event::HostAction;
use crate::front::FrontEvent;
use crate::id::{Incarnation, Offset, RequestId, Revision, Sequence};
use crate::intent::{IntentEffect, IntentFold, IntentRecord};
use crate::job::{CoordinatorEvent, JobFold, JobRecord};
use crate::ownership::{CellFold, CellRecord, OwnershipEvent};
use crate::state_machine::StateMachine;
use crate::stream::{Fold, StreamAction, StreamClient, StreamEvent, StreamName, StreamSettings};
use crate::systems::{CallError, ReadBatch};
use crate::unit::Timestamp;
use bytes::Bytes;

/// Requester of an append to the `jobs` stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum JobAppender {
    /// Coordinator, with its own ticket.
    Coordinator(u64),
    /// Job call, with its number in [`JobCalls`](super::jobs::JobCalls).
    Call(u64),
}

/// Clients of the log streams, and the pending appends by ticket.
#[derive(Debug)]
pub(super) struct Streams {
    pub(super) config: StreamClient<ConfigFold>,
    pub(super) cell: StreamClient<CellFold>,
    pub(super) intents: StreamClient<IntentFold>,
    pub(super) jobs: StreamClient<JobFold>,
    verdict_appends: BTreeMap<u64, Offset>,
    intent_appends: BTreeMap<u64, Vec<RequestId>>,
    job_appends: BTreeMap<u64, JobAppender>,
    last_ticket: u64,
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
            verdict_appends: BTreeMap::new(),
            intent_appends: BTreeMap::new(),
            job_appends: BTreeMap::new(),
            last_ticket: 0,
        }
    }

    /// Returns whether the log service responds on all streams.
    pub(super) const fn all_available(&self) -> bool {
        self.config.is_available()
            && self.cell.is_available()
            && self.intents.is_available()
            && self.jobs.is_available()
    }

    const fn new_ticket(&mut self) -> u64 {
        self.last_ticket += 1;
        self.last_ticket
    }

    /// Returns the snapshot record of a stream for a peer; none if the client has none, and always for `intents`.
    pub(super) fn snapshot(&self, stream: StreamName) -> Option<Bytes> {
        match stream {
            StreamName::Config => self.config.snapshot(),
            StreamName::Cell => self.cell.snapshot(),
            StreamName::Jobs => self.jobs.snapshot(),
            StreamName::Intents => None,
        }
    }
}

/// Passes an event to a stream client. Pushes its reads and appends as host actions and returns its other actions.
fn run_client<F: Fold>(
    client: &mut StreamClient<F>,
    event: StreamEvent<F::Record>,
    ctx: &mut StepContext<'_>,
) -> Vec<StreamAction<F::Effect>> {
    let stream = client.name();
    let mut actions = Vec::new();
    client.handle(ctx.now, event, ctx.rng, &mut actions);
    let mut remaining = Vec::new();
    for action in actions {
        match action {
            StreamAction::SendAppend { seq, record } => {
                ctx.out.push(HostAction::Append { stream, seq, record });
            }
            StreamAction::SendRead { from, wait } => ctx.out.push(HostAction::Read { stream, from, wait }),
            other => remaining.push(other),
        }
    }
    remaining
}

impl Host {
    pub(super) fn streams_read(
        &mut self,
        stream: StreamName,
        sent_at: Timestamp,
        result: Result<ReadBatch, CallError>,
        ctx: &mut StepContext<'_>,
    ) {
        match stream {
            StreamName::Config => self.on_config(StreamEvent::Read { sent_at, result }, ctx),
            StreamName::Cell => self.on_cell(StreamEvent::Read { sent_at, result }, ctx),
            StreamName::Intents => {
                self.skip_truncated_intents(&result);
                self.on_intents(StreamEvent::Read { sent_at, result }, ctx);
            }
            StreamName::Jobs => self.on_jobs(StreamEvent::Read { sent_at, result }, ctx),
        }
    }

    /// Moves the intent fold behind records that were truncated before this host read them.
    fn skip_truncated_intents(&mut self, result: &Result<ReadBatch, CallError>) {
        let Ok(batch) = result else { return };
        if batch.earliest > self.streams.intents.next() {
            self.streams.intents.fold_mut().start_after_truncation(batch.earliest, batch.end);
        }
    }

    pub(super) fn streams_appended(
        &mut self,
        stream: StreamName,
        seq: Sequence,
        result: Result<Offset, CallError>,
        ctx: &mut StepContext<'_>,
    ) {
        match stream {
            StreamName::Config => self.on_config(StreamEvent::Appended { seq, result }, ctx),
            StreamName::Cell => self.on_cell(StreamEvent::Appended { seq, result }, ctx),
            StreamName::Intents => self.on_intents(StreamEvent::Appended { seq, result }, ctx),
            StreamName::Jobs => self.on_jobs(StreamEvent::Appended { seq, result }, ctx),
        }
    }

    pub(super) fn streams_tick(&mut self, ctx: &mut StepContext<'_>) {
        self.on_config(StreamEvent::Tick, ctx);
        self.on_cell(StreamEvent::Tick, ctx);
        self.on_intents(StreamEvent::Tick, ctx);
        self.on_jobs(StreamEvent::Tick, ctx);
    }

    pub(super) fn streams_peer_snapshot(
        &mut self,
        stream: StreamName,
        record: Bytes,
        ctx: &mut StepContext<'_>,
    ) {
        match stream {
            StreamName::Config => {
                self.on_config(StreamEvent::PeerSnapshot { record }, ctx);
                self.apply_first_config(ctx);
            }
            StreamName::Cell => self.on_cell(StreamEvent::PeerSnapshot { record }, ctx),
            StreamName::Jobs => self.on_jobs(StreamEvent::PeerSnapshot { record }, ctx),
            StreamName::Intents => {}
        }
    }

    fn on_config(&mut self, event: StreamEvent<ConfigRecord>, ctx: &mut StepContext<'_>) {
        for action in run_client(&mut self.streams.config, event, ctx) {
            match action {
                StreamAction::Effect(effect) => self.config_effect(effect, ctx),
                StreamAction::Committed { ticket, .. } => {
                    self.streams.verdict_appends.remove(&ticket);
                }
                StreamAction::Failed { ticket } | StreamAction::Unresolved { ticket } => {
                    if let Some(edit) = self.streams.verdict_appends.remove(&ticket) {
                        self.pending_steps.push_back(Step::Verdict(VerdictEvent::Failed { edit }));
                    }
                }
                StreamAction::CaughtUp { .. } => {
                    self.apply_first_config(ctx);
                    self.pending_steps.push_back(Step::Verdict(VerdictEvent::CaughtUp));
                }
                StreamAction::RequestSnapshot => self.request_snapshot(StreamName::Config, ctx),
                _ => {}
            }
        }
    }

    fn config_effect(&mut self, effect: ConfigEffect, ctx: &mut StepContext<'_>) {
        // Until the stream is read to its end, the fold replays past revisions, which must not be applied.
        if let (ConfigEffect::InForce(at), Some(_)) = (&effect, &self.config) {
            self.log_control(format!("configuration revision {} is in force", at.revision), ctx);
            self.apply_config(ctx);
        }
        self.pending_steps.push_back(Step::Verdict(VerdictEvent::Effect(effect)));
    }

    /// Applies the first configuration, from the end of the stream or from a peer's snapshot.
    fn apply_first_config(&mut self, ctx: &mut StepContext<'_>) {
        let revision = self.streams.config.fold().in_force().revision;
        if self.config.is_none() && revision > Revision::default() {
            self.log_control(format!("configuration revision {revision} is the first in force"), ctx);
            self.apply_config(ctx);
        }
    }

    /// Appends this host's verdict on an edit.
    pub(super) fn append_verdict(&mut self, edit: Offset, ctx: &mut StepContext<'_>) {
        let Some(verdict) = self.streams.config.fold().evaluate_edit(edit) else { return };
        let ticket = self.streams.new_ticket();
        self.streams.verdict_appends.insert(ticket, edit);
        let record = ConfigRecord::Verdict(verdict);
        self.on_config(StreamEvent::Append { ticket, record }, ctx);
    }

    fn on_cell(&mut self, event: StreamEvent<CellRecord>, ctx: &mut StepContext<'_>) {
        for action in run_client(&mut self.streams.cell, event, ctx) {
            let event = match action {
                StreamAction::Effect(change) => OwnershipEvent::Change(change),
                StreamAction::Committed { ticket, offset } => OwnershipEvent::Appended { ticket, offset },
                StreamAction::Failed { ticket } => OwnershipEvent::AppendFailed { ticket },
                StreamAction::CaughtUp { sent_at } => OwnershipEvent::CaughtUp { sent_at },
                StreamAction::RequestSnapshot => {
                    self.request_snapshot(StreamName::Cell, ctx);
                    continue;
                }
                _ => continue,
            };
            self.pending_steps.push_back(Step::Ownership(event));
        }
    }

    /// Appends a record for the ownership duty, under its own ticket.
    pub(super) fn append_cell(&mut self, ticket: u64, record: CellRecord, ctx: &mut StepContext<'_>) {
        self.on_cell(StreamEvent::Append { ticket, record }, ctx);
    }

    fn on_intents(&mut self, event: StreamEvent<IntentRecord>, ctx: &mut StepContext<'_>) {
        for action in run_client(&mut self.streams.intents, event, ctx) {
            let event = match action {
                StreamAction::Effect(IntentEffect::First { id }) => FrontEvent::IntentFirst { id },
                StreamAction::Effect(IntentEffect::Duplicate { id, first }) => {
                    FrontEvent::IntentDuplicate { id, first }
                }
                StreamAction::Effect(IntentEffect::TooOld { id }) => FrontEvent::IntentTooOld { id },
                StreamAction::Committed { ticket, .. } => {
                    self.streams.intent_appends.remove(&ticket);
                    continue;
                }
                // The front has not forwarded these requests, and does not forward them after this event.
                StreamAction::Failed { ticket } | StreamAction::Unresolved { ticket } => {
                    FrontEvent::IntentFailed {
                        ids: self.streams.intent_appends.remove(&ticket).unwrap_or_default(),
                    }
                }
                StreamAction::Available(available) => FrontEvent::LogAvailable(available),
                _ => continue,
            };
            self.pending_steps.push_back(Step::Front(event));
        }
    }

    /// Appends request ids to the `intents` stream.
    pub(super) fn append_intents(&mut self, record: IntentRecord, ctx: &mut StepContext<'_>) {
        let ticket = self.streams.new_ticket();
        let IntentRecord::Intents { ids, .. } = &record;
        self.streams.intent_appends.insert(ticket, ids.clone());
        self.on_intents(StreamEvent::Append { ticket, record }, ctx);
    }

    fn on_jobs(&mut self, event: StreamEvent<JobRecord>, ctx: &mut StepContext<'_>) {
        for action in run_client(&mut self.streams.jobs, event, ctx) {
            match action {
                StreamAction::Effect(record) => {
                    self.pending_steps.push_back(Step::Coordinator(CoordinatorEvent::Record(record)));
                }
                StreamAction::Committed { ticket, .. } => self.finish_job_append(ticket, true, ctx),
                StreamAction::Failed { ticket } | StreamAction::Unresolved { ticket } => {
                    self.finish_job_append(ticket, false, ctx);
                }
                StreamAction::RequestSnapshot => self.request_snapshot(StreamName::Jobs, ctx),
                _ => {}
            }
        }
    }

    fn finish_job_append(&mut self, ticket: u64, committed: bool, ctx: &mut StepContext<'_>) {
        match self.streams.job_appends.remove(&ticket) {
            Some(JobAppender::Coordinator(ticket)) => {
                let event = if committed {
                    CoordinatorEvent::Appended { ticket }
                } else {
                    CoordinatorEvent::AppendFailed { ticket }
                };
                self.pending_steps.push_back(Step::Coordinator(event));
            }
            Some(JobAppender::Call(number)) => self.finish_job_call(number, committed, ctx),
            None => {}
        }
    }

    /// Appends a record to the `jobs` stream.
    pub(super) fn append_job(&mut self, owner: JobAppender, record: JobRecord, ctx: &mut StepContext<'_>) {
        let ticket = self.streams.new_ticket();
        self.streams.job_appends.insert(ticket, owner);
        self.on_jobs(StreamEvent::Append { ticket, record }, ctx);
    }
}
