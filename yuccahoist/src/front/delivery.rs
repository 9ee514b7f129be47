//! Delivery of requests to owners: routing, acceptance and retries.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::dispatch::ForwardId;
use crate::front::budget::RetryBudget;
use crate::front::owners::Owners;
use crate::front::{CallId, Context, FrontAction, RouteCandidate, RouteDecision, RoutePolicy};
use crate::id::{Incarnation, RequestId, ShardId};
use crate::request::{Doubt, Outcome, Refusal, Request};
use crate::unit::Timestamp;

/// Time within which an owner must accept a forward.
const ACCEPT_LIMIT: Duration = Duration::from_millis(300);

/// Maximum number of forwards of one request, over all owners.
const FORWARD_LIMIT: u32 = 6;

/// Call or request id that a delivery serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Target {
    /// Call with an idempotent request, which may be retried.
    Call(CallId),
    /// Non-idempotent request, for which several calls may wait; retried only if it provably did not run.
    Id(RequestId),
}

impl Target {
    fn may_repeat(self) -> bool {
        matches!(self, Self::Call(_))
    }
}

/// Request that has been forwarded, or is about to be, and has no outcome.
#[derive(Debug)]
struct Delivery {
    request: Request,
    /// Forwards without an outcome.
    open: BTreeMap<ForwardId, Attempt>,
    /// Latest forward, until it is refused or may have run without an answer.
    current: Option<ForwardId>,
    sent: u32,
    avoid: BTreeSet<ShardId>,
    /// Reason why an earlier forward may have run.
    doubt: Option<Doubt>,
    /// Whether a retry after an overload has been tried; only one is allowed.
    spilled: bool,
}

/// Forward of a request to one owner.
#[derive(Debug, Clone)]
struct Attempt {
    owner: Incarnation,
    shard: ShardId,
    sent: Timestamp,
    accepted: bool,
}

/// Outcome that an event gives to a request, `None` while the delivery continues.
type Conclusion = Option<(Target, Outcome)>;

/// All deliveries of a front, with the state for routing and retries.
#[derive(Debug)]
pub(super) struct Deliveries {
    own: Incarnation,
    policy: Box<dyn RoutePolicy>,
    pub(super) owners: Owners,
    pub(super) budget: RetryBudget,
    next: u64,
    open: BTreeMap<Target, Delivery>,
    forwards: BTreeMap<ForwardId, Target>,
    unaccepted: BTreeSet<(Timestamp, ForwardId)>,
}

impl Deliveries {
    pub(super) fn new(own: Incarnation, policy: Box<dyn RoutePolicy>) -> Self {
        Self {
            own,
            policy,
            owners: Owners::default(),
            budget: RetryBudget::new(),
            next: 0,
            open: BTreeMap::new(),
            forwards: BTreeMap::new(),
            unaccepted: BTreeSet::new(),
        }
    }

    /// Starts the delivery of a request. Returns the outcome if it cannot be forwarded.
    pub(super) fn start(
        &mut self,
        cx: &mut Context<'_>,
        (target, request): (Target, Request),
    ) -> Option<Outcome> {
        let delivery = Delivery {
            request,
            open: BTreeMap::new(),
            current: None,
            sent: 0,
            avoid: BTreeSet::new(),
            doubt: None,
            spilled: false,
        };
        self.open.insert(target, delivery);
        self.forward_or(cx, target, Refusal::NoOwner).map(|(_, outcome)| outcome)
    }

    pub(super) fn accepted(&mut self, forward: ForwardId) {
        let Some(target) = self.forwards.get(&forward) else { return };
        let attempt = self.open.get_mut(target).and_then(|delivery| delivery.open.get_mut(&forward));
        if let Some(attempt) = attempt {
            attempt.accepted = true;
            self.unaccepted.remove(&(attempt.sent, forward));
        }
    }

    pub(super) fn finished(
        &mut self,
        cx: &mut Context<'_>,
        (forward, outcome): (ForwardId, Outcome),
    ) -> Conclusion {
        let (target, attempt) = self.close_forward(forward)?;
        match outcome {
            Outcome::Answered(_) => {
                self.budget.succeeded();
                self.conclude(target, outcome, cx.out)
            }
            Outcome::NotRun(refusal) => self.refused(cx, (target, forward, attempt), refusal),
            Outcome::Unknown(doubt) => self.doubted(cx, (target, forward, attempt), doubt),
        }
    }

    pub(super) fn not_sent(&mut self, cx: &mut Context<'_>, forward: ForwardId) -> Conclusion {
        let (target, attempt) = self.close_forward(forward)?;
        self.owners.set_silent(attempt.owner);
        self.refused(cx, (target, forward, attempt), Refusal::NoOwner)
    }

    pub(super) fn owner_lost(&mut self, cx: &mut Context<'_>, forward: ForwardId) -> Conclusion {
        let (target, attempt) = self.close_forward(forward)?;
        self.owners.set_silent(attempt.owner);
        self.doubted(cx, (target, forward, attempt), Doubt::OwnerLost)
    }

    /// Handles all forwards that were not accepted in time.
    pub(super) fn tick(&mut self, cx: &mut Context<'_>) -> Vec<(Target, Outcome)> {
        let mut conclusions = Vec::new();
        while let Some((sent, forward)) = self.unaccepted.first().copied() {
            if cx.now.since(sent) < ACCEPT_LIMIT {
                break;
            }
            self.unaccepted.pop_first();
            conclusions.extend(self.unanswered(cx, forward));
        }
        conclusions
    }

    /// Ends a delivery and withdraws the open forwards of an idempotent request.
    ///
    /// Returns whether the request may have run or may still run.
    pub(super) fn abandon(&mut self, target: Target, out: &mut Vec<FrontAction>) -> bool {
        let Some(delivery) = self.open.remove(&target) else { return false };
        let doubtful = delivery.doubt.is_some() || !delivery.open.is_empty();
        for (forward, attempt) in delivery.open {
            self.forwards.remove(&forward);
            self.unaccepted.remove(&(attempt.sent, forward));
            if target.may_repeat() {
                out.push(FrontAction::Withdraw { forward, to: attempt.owner });
            }
        }
        doubtful
    }

    fn close_forward(&mut self, forward: ForwardId) -> Option<(Target, Attempt)> {
        let target = self.forwards.remove(&forward)?;
        let attempt = self.open.get_mut(&target)?.open.remove(&forward)?;
        self.unaccepted.remove(&(attempt.sent, forward));
        Some((target, attempt))
    }

    fn conclude(&mut self, target: Target, outcome: Outcome, out: &mut Vec<FrontAction>) -> Conclusion {
        self.abandon(target, out);
        Some((target, outcome))
    }

    /// Handles a forward that provably did not run: retries at another owner where that may help.
    fn refused(
        &mut self,
        cx: &mut Context<'_>,
        (target, forward, attempt): (Target, ForwardId, Attempt),
        refusal: Refusal,
    ) -> Conclusion {
        let delivery = self.open.get_mut(&target)?;
        if delivery.current != Some(forward) {
            return self.give_up_unless_current(target, refusal, cx.out);
        }
        let elsewhere = match refusal {
            Refusal::NotOwner | Refusal::NoOwner | Refusal::Stopping => true,
            Refusal::Overloaded { .. } => !std::mem::replace(&mut delivery.spilled, true),
            _ => false,
        };
        delivery.current = None;
        delivery.avoid.insert(attempt.shard);
        if !elsewhere {
            return self.give_up(target, refusal, cx.out);
        }
        if refusal == Refusal::NoOwner {
            self.allow_same_shard(cx.now, target);
        }
        if matches!(refusal, Refusal::Overloaded { .. }) && !self.any_free(cx.now, target) {
            return self.give_up(target, refusal, cx.out);
        }
        self.forward_or(cx, target, refusal)
    }

    /// Handles a forward that may have run: retries only idempotent requests, within the budget.
    fn doubted(
        &mut self,
        cx: &mut Context<'_>,
        (target, forward, attempt): (Target, ForwardId, Attempt),
        doubt: Doubt,
    ) -> Conclusion {
        let delivery = self.open.get_mut(&target)?;
        delivery.doubt = Some(doubt);
        if delivery.current != Some(forward) {
            return self.give_up_unless_current(target, Refusal::NoOwner, cx.out);
        }
        delivery.current = None;
        delivery.avoid.insert(attempt.shard);
        if target.may_repeat() && self.may_retry(cx.now, target) {
            return self.forward_or(cx, target, Refusal::NoOwner);
        }
        self.give_up(target, Refusal::NoOwner, cx.out)
    }

    /// Handles a forward that the owner did not accept in time: an idempotent request may be forwarded
    /// to another owner.
    fn unanswered(&mut self, cx: &mut Context<'_>, forward: ForwardId) -> Conclusion {
        let target = *self.forwards.get(&forward)?;
        let delivery = self.open.get_mut(&target)?;
        let attempt = delivery.open.get(&forward)?.clone();
        self.owners.set_silent(attempt.owner);
        if delivery.current != Some(forward) || !target.may_repeat() {
            return None;
        }
        delivery.avoid.insert(attempt.shard);
        if !self.may_retry(cx.now, target) {
            return None;
        }
        cx.out.push(FrontAction::Withdraw { forward, to: attempt.owner });
        // The first forward stays open, as its owner may still answer.
        self.forward(cx, target);
        None
    }

    fn may_retry(&mut self, now: Timestamp, target: Target) -> bool {
        let Some(delivery) = self.open.get(&target) else { return false };
        let request = &delivery.request;
        now < request.deadline
            && delivery.sent < FORWARD_LIMIT
            && !self.candidates(now, delivery).is_empty()
            && self.budget.take()
    }

    fn candidates(&self, now: Timestamp, delivery: &Delivery) -> Vec<RouteCandidate> {
        let request = &delivery.request;
        self.owners.candidates(now, self.own, (&request.service, request.class), &delivery.avoid)
    }

    fn any_free(&self, now: Timestamp, target: Target) -> bool {
        let Some(delivery) = self.open.get(&target) else { return false };
        self.candidates(now, delivery).iter().any(|candidate| candidate.free > 0)
    }

    /// Permits a retry at shards that were tried before, which may use another worker, if no other shard is left.
    fn allow_same_shard(&mut self, now: Timestamp, target: Target) {
        let Some(delivery) = self.open.get(&target) else { return };
        if self.candidates(now, delivery).is_empty()
            && let Some(delivery) = self.open.get_mut(&target)
        {
            delivery.avoid.clear();
        }
    }

    fn give_up_unless_current(
        &mut self,
        target: Target,
        refusal: Refusal,
        out: &mut Vec<FrontAction>,
    ) -> Conclusion {
        if self.open.get(&target)?.current.is_some() {
            return None;
        }
        self.give_up(target, refusal, out)
    }

    /// Ends a delivery without a further retry, unless an open forward may still answer.
    fn give_up(&mut self, target: Target, refusal: Refusal, out: &mut Vec<FrontAction>) -> Conclusion {
        let delivery = self.open.get(&target)?;
        if !delivery.open.is_empty() {
            return None;
        }
        let outcome = delivery.doubt.clone().map_or(Outcome::NotRun(refusal), Outcome::Unknown);
        self.conclude(target, outcome, out)
    }

    /// Forwards a request to an owner that has not been tried, or ends the delivery with `refusal`.
    fn forward_or(&mut self, cx: &mut Context<'_>, target: Target, refusal: Refusal) -> Conclusion {
        if self.forward(cx, target) {
            return None;
        }
        if let Some(delivery) = self.open.get(&target) {
            let reason = "no owner left to try".into();
            let request = delivery.request.id;
            let decision = RouteDecision { request, chosen: None, runner_up: None, reason };
            cx.out.push(FrontAction::Decision(decision));
        }
        self.give_up(target, refusal, cx.out)
    }

    fn forward(&mut self, cx: &mut Context<'_>, target: Target) -> bool {
        let Some(delivery) = self.open.get(&target) else { return false };
        if delivery.sent >= FORWARD_LIMIT || cx.now >= delivery.request.deadline {
            return false;
        }
        let candidates = self.candidates(cx.now, delivery);
        let Some(route) = self.policy.choose(delivery.request.class, &candidates, cx.rng) else {
            return false;
        };
        let chosen = &candidates[route.chosen];
        let runner_up = route.runner_up.map(|index| candidates[index].shard.clone());
        let forward = ForwardId { front: self.own, number: self.next };
        self.next += 1;
        self.owners.sent(&chosen.shard);
        let Some(delivery) = self.open.get_mut(&target) else { return false };
        let (owner, shard) = (chosen.owner, chosen.shard.clone());
        delivery.open.insert(forward, Attempt { owner, shard: shard.clone(), sent: cx.now, accepted: false });
        delivery.current = Some(forward);
        delivery.sent += 1;
        self.forwards.insert(forward, target);
        self.unaccepted.insert((cx.now, forward));
        let request = delivery.request.clone();
        cx.out.push(FrontAction::Decision(RouteDecision {
            request: request.id,
            chosen: Some(shard.clone()),
            runner_up,
            reason: route.reason.into(),
        }));
        cx.out.push(FrontAction::Forward { forward, to: owner, shard, request });
        true
    }
}
