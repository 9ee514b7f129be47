//! Requests between the front and the dispatch duty, of this host or of two hosts.

use std::time::Duration;

use super::Host;
use super::step::{Step, Turn};
use crate::dispatch::{DispatchAction, DispatchEvent, ForwardId};
use crate::duty::Duty;
use crate::event::{HostAction, HostDecision};
use crate::front::{FrontAction, FrontEvent};
use crate::id::{Incarnation, ShardId};
use crate::intent::IntentRecord;
use crate::peer::PeerMessage;
use crate::request::{Answer, Outcome, Request};
use crate::systems::{CallError, DispatchBounds};
use crate::unit::Timestamp;

/// Run limit that a backend server is told when the configuration does not name the class.
const DEFAULT_RUN_LIMIT: Duration = Duration::from_secs(60);

impl Host {
    pub(super) fn front_event(&mut self, event: FrontEvent, turn: &mut Turn<'_>) {
        let mut actions = Vec::new();
        self.front.handle(turn.now, event, turn.rng, &mut actions);
        for action in actions {
            match action {
                FrontAction::Respond { call, id, outcome } => {
                    turn.out.push(HostAction::Respond { call, id, outcome });
                }
                FrontAction::Forward { forward, to, shard, request } => {
                    self.forward(forward, to, shard, request, turn);
                }
                FrontAction::Withdraw { forward, to } => self.withdraw(forward, to, turn),
                FrontAction::AppendIntents { ids, horizon } => {
                    self.append_intents(IntentRecord::Intents { ids, horizon }, turn);
                }
                FrontAction::QueryAnswer { to, id, digest } => {
                    self.send(to, PeerMessage::AnswerQuery { id, digest }, None, turn);
                }
                FrontAction::ReplyAnswer { to, id, outcome } => {
                    self.send(to, PeerMessage::AnswerReply { id, outcome }, None, turn);
                }
                FrontAction::Decision(decision) => {
                    turn.out.push(HostAction::Decision(HostDecision::Route(decision)));
                }
            }
        }
    }

    fn forward(
        &mut self,
        forward: ForwardId,
        to: Incarnation,
        shard: ShardId,
        request: Request,
        turn: &mut Turn<'_>,
    ) {
        if to == self.incarnation() {
            self.steps.push_back(Step::Dispatch(DispatchEvent::Submit { forward, shard, request }));
            return;
        }
        let remaining = request.deadline.since(turn.now);
        let until = Some(request.deadline);
        let message = PeerMessage::Forward { forward, shard, request, remaining };
        self.forwards.insert(forward, to);
        if !self.send(to, message, until, turn) {
            self.forwards.remove(&forward);
            self.steps.push_back(Step::Front(FrontEvent::NotSent { forward }));
        }
    }

    fn withdraw(&mut self, forward: ForwardId, to: Incarnation, turn: &mut Turn<'_>) {
        self.forwards.remove(&forward);
        if to == self.incarnation() {
            self.steps.push_back(Step::Dispatch(DispatchEvent::Withdraw { forward }));
        } else {
            self.send(to, PeerMessage::Withdraw { forward }, None, turn);
        }
    }

    pub(super) fn dispatch_event(&mut self, event: DispatchEvent, turn: &mut Turn<'_>) {
        self.peers.load_changed |= !matches!(event, DispatchEvent::Tick);
        let mut actions = Vec::new();
        self.dispatcher.handle(turn.now, event, turn.rng, &mut actions);
        for action in actions {
            match action {
                DispatchAction::Send { forward, worker, epoch, until, request } => {
                    let bounds = self.bounds(turn.now, epoch, until, &request);
                    turn.out.push(HostAction::Dispatch { forward, worker, request, bounds, until });
                }
                DispatchAction::Accepted { forward } => self.accepted(forward, turn),
                DispatchAction::Finished { forward, outcome } => self.finished(forward, outcome, turn),
                DispatchAction::Quiescent { epoch } => self.requests_ended(epoch),
                DispatchAction::Decision(decision) => {
                    turn.out.push(HostAction::Decision(HostDecision::Dispatch(decision)));
                }
            }
        }
    }

    fn bounds(
        &self,
        now: Timestamp,
        epoch: crate::id::Epoch,
        until: Timestamp,
        request: &Request,
    ) -> DispatchBounds {
        let limits = self.config.as_ref().and_then(|config| config.classes.get(&request.class));
        DispatchBounds {
            epoch,
            start_before: self.wall.plus(until.since(now)),
            run_limit: limits.map_or(DEFAULT_RUN_LIMIT, |limits| limits.run_limit),
        }
    }

    fn accepted(&mut self, forward: ForwardId, turn: &mut Turn<'_>) {
        if forward.front == self.incarnation() {
            self.steps.push_back(Step::Front(FrontEvent::Accepted { forward }));
        } else {
            self.send(forward.front, PeerMessage::Accepted { forward }, None, turn);
        }
    }

    fn finished(&mut self, forward: ForwardId, outcome: Outcome, turn: &mut Turn<'_>) {
        if forward.front == self.incarnation() {
            self.steps.push_back(Step::Front(FrontEvent::Finished { forward, outcome }));
            return;
        }
        self.send(forward.front, PeerMessage::Finished { forward, outcome }, None, turn);
        self.piggyback_load(forward.front, turn);
    }

    pub(super) fn backend(&mut self, forward: ForwardId, result: Result<Answer, CallError>) {
        let event = match result {
            Ok(answer) => DispatchEvent::Answered { forward, answer },
            Err(CallError::NotSent { .. } | CallError::Rejected { .. }) => DispatchEvent::NotSent { forward },
            Err(CallError::Unknown { .. }) => DispatchEvent::Broken { forward },
        };
        self.steps.push_back(Step::Dispatch(event));
    }
}
