//! Requests between the front duty and the dispatch duty, on the same host or on two hosts.

use std::time::Duration;

use super::Host;
use super::step::{Step, StepContext};
use crate::dispatch::{DispatchAction, DispatchEvent, ForwardId};
use crate::event::{HostAction, HostDecision};
use crate::front::{FrontAction, FrontEvent};
use crate::id::{Incarnation, ShardId};
use crate::intent::IntentRecord;
use crate::peer::PeerMessage;
use crate::request::{Answer, Outcome, Request};
use crate::state_machine::StateMachine;
use crate::systems::{CallError, DispatchBounds};
use crate::unit::Timestamp;

/// Run limit for requests whose class is not in the configuration.
const DEFAULT_RUN_LIMIT: Duration = Duration::from_secs(60);

impl Host {
    pub(super) fn front_event(&mut self, event: FrontEvent, ctx: &mut StepContext<'_>) {
        let mut actions = Vec::new();
        self.front.handle(ctx.now, event, ctx.rng, &mut actions);
        for action in actions {
            match action {
                FrontAction::Respond { call, id, outcome } => {
                    ctx.out.push(HostAction::Respond { call, id, outcome });
                }
                FrontAction::Forward { forward, to, shard, request } => {
                    self.forward(forward, to, shard, request, ctx);
                }
                FrontAction::Withdraw { forward, to } => self.withdraw(forward, to, ctx),
                FrontAction::AppendIntents { ids, horizon } => {
                    self.append_intents(IntentRecord::Intents { ids, horizon }, ctx);
                }
                FrontAction::QueryAnswer { to, id, digest } => {
                    self.send(to, PeerMessage::AnswerQuery { id, digest }, None, ctx);
                }
                FrontAction::ReplyAnswer { to, id, outcome } => {
                    self.send(to, PeerMessage::AnswerReply { id, outcome }, None, ctx);
                }
                FrontAction::Decision(decision) => {
                    ctx.out.push(HostAction::Decision(HostDecision::Route(decision)));
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
        ctx: &mut StepContext<'_>,
    ) {
        if to == self.incarnation() {
            self.pending_steps.push_back(Step::Dispatch(DispatchEvent::Submit { forward, shard, request }));
            return;
        }
        let remaining = request.deadline.since(ctx.now);
        let until = Some(request.deadline);
        let message = PeerMessage::Forward { forward, shard, request, remaining };
        self.pending_forwards.insert(forward, to);
        if !self.send(to, message, until, ctx) {
            self.pending_forwards.remove(&forward);
            self.pending_steps.push_back(Step::Front(FrontEvent::NotSent { forward }));
        }
    }

    fn withdraw(&mut self, forward: ForwardId, to: Incarnation, ctx: &mut StepContext<'_>) {
        self.pending_forwards.remove(&forward);
        if to == self.incarnation() {
            self.pending_steps.push_back(Step::Dispatch(DispatchEvent::Withdraw { forward }));
        } else {
            self.send(to, PeerMessage::Withdraw { forward }, None, ctx);
        }
    }

    pub(super) fn dispatch_event(&mut self, event: DispatchEvent, ctx: &mut StepContext<'_>) {
        self.peers.load_changed |= !matches!(event, DispatchEvent::Tick);
        let mut actions = Vec::new();
        self.dispatcher.handle(ctx.now, event, ctx.rng, &mut actions);
        for action in actions {
            match action {
                DispatchAction::Send { forward, worker, epoch, until, request } => {
                    let bounds = self.dispatch_bounds(ctx.now, epoch, until, &request);
                    ctx.out.push(HostAction::Dispatch { forward, worker, request, bounds, until });
                }
                DispatchAction::Accepted { forward } => self.request_accepted(forward, ctx),
                DispatchAction::Finished { forward, outcome } => self.request_finished(forward, outcome, ctx),
                DispatchAction::Quiescent { epoch } => self.requests_quiescent(epoch),
                DispatchAction::Decision(decision) => {
                    ctx.out.push(HostAction::Decision(HostDecision::Dispatch(decision)));
                }
            }
        }
    }

    fn dispatch_bounds(
        &self,
        now: Timestamp,
        epoch: crate::id::Epoch,
        until: Timestamp,
        request: &Request,
    ) -> DispatchBounds {
        let limits = self.config.as_ref().and_then(|config| config.classes.get(&request.class));
        DispatchBounds {
            epoch,
            start_before: self.wall_clock.plus(until.since(now)),
            run_limit: limits.map_or(DEFAULT_RUN_LIMIT, |limits| limits.run_limit),
        }
    }

    fn request_accepted(&mut self, forward: ForwardId, ctx: &mut StepContext<'_>) {
        if forward.front == self.incarnation() {
            self.pending_steps.push_back(Step::Front(FrontEvent::Accepted { forward }));
        } else {
            self.send(forward.front, PeerMessage::Accepted { forward }, None, ctx);
        }
    }

    fn request_finished(&mut self, forward: ForwardId, outcome: Outcome, ctx: &mut StepContext<'_>) {
        if forward.front == self.incarnation() {
            self.pending_steps.push_back(Step::Front(FrontEvent::Finished { forward, outcome }));
            return;
        }
        self.send(forward.front, PeerMessage::Finished { forward, outcome }, None, ctx);
        self.send_load_with_reply(forward.front, ctx);
    }

    pub(super) fn backend_result(&mut self, forward: ForwardId, result: Result<Answer, CallError>) {
        let event = match result {
            Ok(answer) => DispatchEvent::Answered { forward, answer },
            Err(CallError::NotSent { .. } | CallError::Rejected { .. }) => DispatchEvent::NotSent { forward },
            Err(CallError::Unknown { .. }) => DispatchEvent::ConnectionBroken { forward },
        };
        self.pending_steps.push_back(Step::Dispatch(event));
    }
}
