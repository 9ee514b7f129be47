//! Delivery of requests to owners: routing, acceptance and retries.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::dispatch::ForwardId;
use crate::front::owner_table::OwnerTable;
use crate::front::retry_budget::RetryBudget;
use crate::front::{CallId, Context, FrontAction, RouteCandidate, RouteDecision, RoutePolicy};
use crate::id::{Incarnation, RequestId, ShardId};
use crate::request::{Outcome, Refusal, Request, UnknownReason};
use crate::unit::Timestamp;

/// Time within which an owner must accept a forward.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum number of forwards of one request, over all owners.
const MAX_FORWARDS: u32 = 6;

/// Call or request id that a delivery serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Target {
    /// Call with an idempotent request, which may be retried.
    Call(CallId),
    /// Non-idempotent request, for which several calls may wait; retried only if it provably did not run.
    Id(RequestId),
}

impl Target {
    fn is_idempotent(self) -> bool {
        matches!(self, Self::Call(_))
    }
}

/// Request that has been forwarded, or is about to be, and has no outcome.
#[derive(Debug)]
struct Delivery {
    request: Request,
    /// Forwards without an outcome.
    attempts: BTreeMap<ForwardId, Attempt>,
    /// Latest forward, until it is refused or may have run without an answer.
    current: Option<ForwardId>,
    forwards: u32,
    excluded: BTreeSet<ShardId>,
    /// Reason why an earlier forward may have run.
    unknown_reason: Option<UnknownReason>,
    /// Whether a retry after an overload has been tried; only one is allowed.
    overload_retried: bool,
}

/// Forward of a request to one owner.
#[derive(Debug, Clone)]
struct Attempt {
    owner: Incarnation,
    shard: ShardId,
    sent_at: Timestamp,
    accepted: bool,
}

/// Outcome that an event gives to a request, `None` while the delivery continues.
type Completion = Option<(Target, Outcome)>;

/// All deliveries of a front, with the state for routing and retries.
#[derive(Debug)]
pub(super) struct Deliveries {
    incarnation: Incarnation,
    policy: Box<dyn RoutePolicy>,
    pub(super) owners: OwnerTable,
    pub(super) budget: RetryBudget,
    next_number: u64,
    deliveries: BTreeMap<Target, Delivery>,
    targets: BTreeMap<ForwardId, Target>,
    unaccepted: BTreeSet<(Timestamp, ForwardId)>,
}

impl Deliveries {
    pub(super) fn new(incarnation: Incarnation, policy: Box<dyn RoutePolicy>) -> Self {
        Self {
            incarnation,
            policy,
            owners: OwnerTable::default(),
            budget: RetryBudget::new(),
            next_number: 0,
            deliveries: BTreeMap::new(),
            targets: BTreeMap::new(),
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
            attempts: BTreeMap::new(),
            current: None,
            forwards: 0,
            excluded: BTreeSet::new(),
            unknown_reason: None,
            overload_retried: false,
        };
        self.deliveries.insert(target, delivery);
        self.forward_or_stop(cx, target, Refusal::NoOwner).map(|(_, outcome)| outcome)
    }

    pub(super) fn on_accepted(&mut self, forward: ForwardId) {
        let Some(target) = self.targets.get(&forward) else { return };
        let attempt =
            self.deliveries.get_mut(target).and_then(|delivery| delivery.attempts.get_mut(&forward));
        if let Some(attempt) = attempt {
            attempt.accepted = true;
            self.unaccepted.remove(&(attempt.sent_at, forward));
        }
    }

    pub(super) fn on_finished(
        &mut self,
        cx: &mut Context<'_>,
        (forward, outcome): (ForwardId, Outcome),
    ) -> Completion {
        let (target, attempt) = self.close_forward(forward)?;
        match outcome {
            Outcome::Answered(_) => {
                self.budget.record_success();
                self.complete(target, outcome, cx.out)
            }
            Outcome::NotRun(refusal) => self.on_not_run(cx, (target, forward, attempt), refusal),
            Outcome::Unknown(unknown_reason) => {
                self.on_unknown(cx, (target, forward, attempt), unknown_reason)
            }
        }
    }

    pub(super) fn on_not_sent(&mut self, cx: &mut Context<'_>, forward: ForwardId) -> Completion {
        let (target, attempt) = self.close_forward(forward)?;
        self.owners.mark_unresponsive(attempt.owner);
        self.on_not_run(cx, (target, forward, attempt), Refusal::NoOwner)
    }

    pub(super) fn on_owner_lost(&mut self, cx: &mut Context<'_>, forward: ForwardId) -> Completion {
        let (target, attempt) = self.close_forward(forward)?;
        self.owners.mark_unresponsive(attempt.owner);
        self.on_unknown(cx, (target, forward, attempt), UnknownReason::OwnerLost)
    }

    /// Handles all forwards that were not accepted in time.
    pub(super) fn tick(&mut self, cx: &mut Context<'_>) -> Vec<(Target, Outcome)> {
        let mut completions = Vec::new();
        while let Some((sent_at, forward)) = self.unaccepted.first().copied() {
            if cx.now.since(sent_at) < ACCEPT_TIMEOUT {
                break;
            }
            self.unaccepted.pop_first();
            completions.extend(self.on_accept_timeout(cx, forward));
        }
        completions
    }

    /// Ends a delivery and withdraws the open forwards of an idempotent request.
    ///
    /// Returns whether the request may have run or may still run.
    pub(super) fn abandon(&mut self, target: Target, out: &mut Vec<FrontAction>) -> bool {
        let Some(delivery) = self.deliveries.remove(&target) else { return false };
        let may_have_run = delivery.unknown_reason.is_some() || !delivery.attempts.is_empty();
        for (forward, attempt) in delivery.attempts {
            self.targets.remove(&forward);
            self.unaccepted.remove(&(attempt.sent_at, forward));
            if target.is_idempotent() {
                out.push(FrontAction::Withdraw { forward, to: attempt.owner });
            }
        }
        may_have_run
    }

    fn close_forward(&mut self, forward: ForwardId) -> Option<(Target, Attempt)> {
        let target = self.targets.remove(&forward)?;
        let attempt = self.deliveries.get_mut(&target)?.attempts.remove(&forward)?;
        self.unaccepted.remove(&(attempt.sent_at, forward));
        Some((target, attempt))
    }

    fn complete(&mut self, target: Target, outcome: Outcome, out: &mut Vec<FrontAction>) -> Completion {
        self.abandon(target, out);
        Some((target, outcome))
    }

    /// Handles a forward that provably did not run: retries at another owner where that may help.
    fn on_not_run(
        &mut self,
        cx: &mut Context<'_>,
        (target, forward, attempt): (Target, ForwardId, Attempt),
        refusal: Refusal,
    ) -> Completion {
        let delivery = self.deliveries.get_mut(&target)?;
        if delivery.current != Some(forward) {
            return self.stop_unless_current(target, refusal, cx.out);
        }
        let try_other_owner = match refusal {
            Refusal::NotOwner | Refusal::NoOwner | Refusal::Stopping => true,
            Refusal::Overloaded { .. } => !std::mem::replace(&mut delivery.overload_retried, true),
            _ => false,
        };
        delivery.current = None;
        delivery.excluded.insert(attempt.shard);
        if !try_other_owner {
            return self.stop_retrying(target, refusal, cx.out);
        }
        if refusal == Refusal::NoOwner {
            self.allow_tried_shards(cx.now, target);
        }
        if matches!(refusal, Refusal::Overloaded { .. }) && !self.has_free_candidate(cx.now, target) {
            return self.stop_retrying(target, refusal, cx.out);
        }
        self.forward_or_stop(cx, target, refusal)
    }

    /// Handles a forward that may have run: retries only idempotent requests, within the budget.
    fn on_unknown(
        &mut self,
        cx: &mut Context<'_>,
        (target, forward, attempt): (Target, ForwardId, Attempt),
        unknown_reason: UnknownReason,
    ) -> Completion {
        let delivery = self.deliveries.get_mut(&target)?;
        delivery.unknown_reason = Some(unknown_reason);
        if delivery.current != Some(forward) {
            return self.stop_unless_current(target, Refusal::NoOwner, cx.out);
        }
        delivery.current = None;
        delivery.excluded.insert(attempt.shard);
        if target.is_idempotent() && self.take_retry(cx.now, target) {
            return self.forward_or_stop(cx, target, Refusal::NoOwner);
        }
        self.stop_retrying(target, Refusal::NoOwner, cx.out)
    }

    /// Handles a forward that the owner did not accept in time: an idempotent request may be forwarded
    /// to another owner.
    fn on_accept_timeout(&mut self, cx: &mut Context<'_>, forward: ForwardId) -> Completion {
        let target = *self.targets.get(&forward)?;
        let delivery = self.deliveries.get_mut(&target)?;
        let attempt = delivery.attempts.get(&forward)?.clone();
        self.owners.mark_unresponsive(attempt.owner);
        if delivery.current != Some(forward) || !target.is_idempotent() {
            return None;
        }
        delivery.excluded.insert(attempt.shard);
        if !self.take_retry(cx.now, target) {
            return None;
        }
        cx.out.push(FrontAction::Withdraw { forward, to: attempt.owner });
        // The first forward stays open, as its owner may still answer.
        self.forward(cx, target);
        None
    }

    fn take_retry(&mut self, now: Timestamp, target: Target) -> bool {
        let Some(delivery) = self.deliveries.get(&target) else { return false };
        let request = &delivery.request;
        now < request.deadline
            && delivery.forwards < MAX_FORWARDS
            && !self.candidates(now, delivery).is_empty()
            && self.budget.try_take()
    }

    fn candidates(&self, now: Timestamp, delivery: &Delivery) -> Vec<RouteCandidate> {
        let request = &delivery.request;
        self.owners.candidates(now, self.incarnation, (&request.service, request.class), &delivery.excluded)
    }

    fn has_free_candidate(&self, now: Timestamp, target: Target) -> bool {
        let Some(delivery) = self.deliveries.get(&target) else { return false };
        self.candidates(now, delivery).iter().any(|candidate| candidate.free > 0)
    }

    /// Permits a retry at shards that were tried before, which may use another worker, if no other shard is left.
    fn allow_tried_shards(&mut self, now: Timestamp, target: Target) {
        let Some(delivery) = self.deliveries.get(&target) else { return };
        if self.candidates(now, delivery).is_empty()
            && let Some(delivery) = self.deliveries.get_mut(&target)
        {
            delivery.excluded.clear();
        }
    }

    fn stop_unless_current(
        &mut self,
        target: Target,
        refusal: Refusal,
        out: &mut Vec<FrontAction>,
    ) -> Completion {
        if self.deliveries.get(&target)?.current.is_some() {
            return None;
        }
        self.stop_retrying(target, refusal, out)
    }

    /// Ends a delivery without a further retry, unless an open forward may still answer.
    fn stop_retrying(&mut self, target: Target, refusal: Refusal, out: &mut Vec<FrontAction>) -> Completion {
        let delivery = self.deliveries.get(&target)?;
        if !delivery.attempts.is_empty() {
            return None;
        }
        let outcome = delivery.unknown_reason.clone().map_or(Outcome::NotRun(refusal), Outcome::Unknown);
        self.complete(target, outcome, out)
    }

    /// Forwards a request to an owner that has not been tried, or ends the delivery with `refusal`.
    fn forward_or_stop(&mut self, cx: &mut Context<'_>, target: Target, refusal: Refusal) -> Completion {
        if self.forward(cx, target) {
            return None;
        }
        if let Some(delivery) = self.deliveries.get(&target) {
            let reason = "no owner left to try".into();
            let request = delivery.request.id;
            let decision = RouteDecision { request, chosen: None, runner_up: None, reason };
            cx.out.push(FrontAction::Decision(decision));
        }
        self.stop_retrying(target, refusal, cx.out)
    }

    fn forward(&mut self, cx: &mut Context<'_>, target: Target) -> bool {
        let Some(delivery) = self.deliveries.get(&target) else { return false };
        if delivery.forwards >= MAX_FORWARDS || cx.now >= delivery.request.deadline {
            return false;
        }
        let candidates = self.candidates(cx.now, delivery);
        let Some(route) = self.policy.choose(delivery.request.class, &candidates, cx.rng) else {
            return false;
        };
        let chosen = &candidates[route.chosen];
        let runner_up = route.runner_up.map(|index| candidates[index].shard.clone());
        let forward = ForwardId { front: self.incarnation, number: self.next_number };
        self.next_number += 1;
        self.owners.record_forward(&chosen.shard);
        let Some(delivery) = self.deliveries.get_mut(&target) else { return false };
        let (owner, shard) = (chosen.owner, chosen.shard.clone());
        delivery
            .attempts
            .insert(forward, Attempt { owner, shard: shard.clone(), sent_at: cx.now, accepted: false });
        delivery.current = Some(forward);
        delivery.forwards += 1;
        self.targets.insert(forward, target);
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
