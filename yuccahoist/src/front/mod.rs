//! Front of a host: routes the requests of callers to shard owners and answers the calls.
//!
//! An idempotent request is tracked per call and may be retried within a budget. A non-idempotent request is tracked by
//! its request id: the id is appended to the `intents` stream and read back, and only the first record of an id permits
//! one forward. Calls with the same id wait for the same outcome.

mod delivery;
mod intent_batches;
mod message;
mod owner_table;
mod request_table;
mod retry_budget;
mod route;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::Rng;

use self::delivery::{Deliveries, Target};
use self::intent_batches::IntentBatches;
pub use self::message::*;
use self::request_table::{RequestEntry, RequestState, RequestTable, digest};
pub use self::route::{LoadAware, RandomOwner, Route, RouteCandidate, RoutePolicy};
use crate::id::{Incarnation, RequestId};
use crate::request::{Outcome, Refusal, Request, UnknownReason};
use crate::state_machine::StateMachine;
use crate::unit::{Timestamp, WallTime};

/// Time before its deadline at which an open call is answered at the latest.
///
/// One tick, so that the answer is never late.
const ANSWER_MARGIN: Duration = Duration::from_millis(10);

/// Retry interval of a query for the answer of another host.
const QUERY_INTERVAL: Duration = Duration::from_millis(200);

/// Time and random source of an event, and the actions that it causes.
struct Context<'a> {
    now: Timestamp,
    rng: &'a mut dyn Rng,
    out: &'a mut Vec<FrontAction>,
}

/// Call that has not been answered.
#[derive(Debug)]
struct OpenCall {
    id: RequestId,
    deadline: Timestamp,
    idempotent: bool,
}

/// Front duty of one host: admits calls, forwards their requests and answers each call exactly once.
#[derive(Debug)]
pub struct Front {
    incarnation: Incarnation,
    limits: Option<FrontLimits>,
    calls: BTreeMap<CallId, OpenCall>,
    deadlines: BTreeSet<(Timestamp, CallId)>,
    deliveries: Deliveries,
    requests: RequestTable,
    batches: IntentBatches,
    /// Last wall-clock time with the monotonic time at which it was read.
    wall_clock: (WallTime, Timestamp),
    log_available: bool,
    stopping: bool,
}

impl Front {
    /// Creates the front of a host incarnation with the [`LoadAware`] routing policy.
    #[must_use]
    pub fn new(incarnation: Incarnation) -> Self {
        Self::with_policy(incarnation, Box::new(LoadAware))
    }

    /// Creates a front with a different routing policy.
    #[must_use]
    pub fn with_policy(incarnation: Incarnation, policy: Box<dyn RoutePolicy>) -> Self {
        Self {
            incarnation,
            limits: None,
            calls: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            deliveries: Deliveries::new(incarnation, policy),
            requests: RequestTable::default(),
            batches: IntentBatches::default(),
            wall_clock: (WallTime::default(), Timestamp::ZERO),
            log_available: false,
            stopping: false,
        }
    }

    /// Returns whether no call is open, so that a graceful stop may proceed.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.calls.is_empty()
    }

    /// Returns the size of the requests and answers that are retained for duplicates, in bytes.
    #[must_use]
    pub fn retained_bytes(&self) -> usize {
        self.requests.bytes()
    }

    fn wall_clock_at(&self, now: Timestamp) -> WallTime {
        self.wall_clock.0.plus(now.since(self.wall_clock.1))
    }

    fn horizon(&self, now: Timestamp) -> WallTime {
        let window = self.limits.as_ref().map_or(Duration::ZERO, |limits| limits.id_window);
        self.wall_clock_at(now).minus(window)
    }

    fn on_call(&mut self, cx: &mut Context<'_>, (call, wall_clock, request): (CallId, WallTime, Request)) {
        if self.calls.contains_key(&call) {
            return;
        }
        self.wall_clock = (wall_clock, cx.now);
        let (id, deadline, idempotent) = (request.id, request.deadline, request.idempotent);
        if let Some((refusal, reason)) = self.refusal_reason(cx.now, wall_clock, &request) {
            return refuse(call, id, refusal, reason, cx.out);
        }
        self.calls.insert(call, OpenCall { id, deadline, idempotent });
        self.deadlines.insert((deadline, call));
        if !idempotent {
            self.register_call(cx, call, request);
        } else if let Some(outcome) = self.deliveries.start(cx, (Target::Call(call), request)) {
            self.respond(call, outcome, cx.out);
        }
    }

    /// Returns why a call is refused on arrival, `None` if it is admitted.
    fn refusal_reason(
        &self,
        now: Timestamp,
        wall_clock: WallTime,
        request: &Request,
    ) -> Option<(Refusal, &'static str)> {
        let Some(limits) = &self.limits else {
            return Some((Refusal::NotReady, "no configuration in force"));
        };
        let created = request.id.created();
        if self.stopping {
            Some((Refusal::Stopping, "host is stopping"))
        } else if !limits.services.contains(&request.service) {
            Some((Refusal::UnknownService, "service is not in the configuration"))
        } else if !limits.teams.contains(&request.team) {
            Some((Refusal::UnknownTeam, "team is not in the configuration"))
        } else if created < wall_clock.minus(limits.id_window) {
            Some((Refusal::IdTooOld, "id is older than the id window"))
        } else if created > wall_clock.plus(limits.clock_skew) {
            Some((Refusal::IdInFuture, "id is further in the future than the allowed clock skew"))
        } else if now >= request.deadline {
            Some((Refusal::Expired, "deadline passed before arrival"))
        } else {
            None
        }
    }

    /// Attaches a call with a non-idempotent request to the entry of its request id.
    fn register_call(&mut self, cx: &mut Context<'_>, call: CallId, request: Request) {
        let id = request.id;
        let (state, may_forward) = match self.requests.get(id) {
            Some(entry) if entry.digest != digest(&request) => {
                return self.respond(call, Outcome::NotRun(Refusal::IdReused), cx.out);
            }
            Some(entry) => (Some(entry.state.clone()), entry.may_forward),
            None => (None, false),
        };
        match state {
            Some(RequestState::Finished(outcome)) => return self.respond(call, outcome, cx.out),
            None | Some(RequestState::NotRun(_)) if !may_forward => {
                if let Some(refusal) = self.intent_refusal(cx.now, &request) {
                    return self.respond(call, Outcome::NotRun(refusal), cx.out);
                }
            }
            _ => {}
        }
        if state.is_none() {
            self.requests.insert(id, RequestEntry::new(&request));
        }
        self.requests.update(id, |entry| entry.add_call(call, request));
        match state {
            Some(RequestState::AppendedByPeer { first, .. }) => self.query_answer(cx.now, id, first, cx.out),
            Some(RequestState::NotRun(_)) if may_forward => self.forward_once(cx, id),
            None | Some(RequestState::NotRun(_)) => {
                self.set_state(id, RequestState::Pending);
                self.batches.push(id);
                self.append_next_batch(cx.now, cx.out);
            }
            _ => {}
        }
    }

    /// Returns why the id of a request cannot be appended in time, `None` if it can.
    fn intent_refusal(&self, now: Timestamp, request: &Request) -> Option<Refusal> {
        if !self.log_available {
            return Some(Refusal::LogUnavailable);
        }
        let retry = self.batches.append_delay(now).unwrap_or(Duration::from_secs(1));
        let in_time = self.batches.append_delay(now).is_some_and(|delay| now + delay < request.deadline);
        (!in_time).then_some(Refusal::IntentBudget { retry })
    }

    fn set_state(&mut self, id: RequestId, state: RequestState) {
        self.requests.update(id, |entry| entry.state = state);
    }

    /// Appends the next batch of ids if the append budget allows it.
    fn append_next_batch(&mut self, now: Timestamp, out: &mut Vec<FrontAction>) {
        if !self.log_available {
            return;
        }
        let requests = &self.requests;
        let pending = |id| requests.get(id).is_some_and(|entry| entry.state == RequestState::Pending);
        if let Some(ids) = self.batches.next_batch(now, pending) {
            out.push(FrontAction::AppendIntents { ids, horizon: self.horizon(now) });
        }
    }

    fn on_intent_first(&mut self, cx: &mut Context<'_>, id: RequestId) {
        self.batches.mark_resolved(id);
        let Some(state) = self.requests.update(id, |entry| {
            let seen_before = std::mem::replace(&mut entry.may_forward, true);
            (!seen_before).then(|| entry.state.clone())
        }) else {
            return;
        };
        if state == Some(RequestState::Pending) {
            self.forward_once(cx, id);
        }
    }

    /// Forwards a request whose first intent record is from this host, if a call still waits for it.
    fn forward_once(&mut self, cx: &mut Context<'_>, id: RequestId) {
        let Some(entry) = self.requests.get(id) else { return };
        let Some(request) = entry.request.clone() else { return };
        let latest =
            entry.calls.iter().filter_map(|call| self.calls.get(call)).map(|call| call.deadline).max();
        let Some(deadline) = latest.filter(|deadline| cx.now < *deadline) else {
            return self.set_state(id, RequestState::NotRun(Refusal::Expired));
        };
        self.requests.update(id, |entry| (entry.state, entry.request) = (RequestState::Forwarded, None));
        let request = Request { deadline, ..request };
        if let Some(outcome) = self.deliveries.start(cx, (Target::Id(id), request)) {
            self.complete(id, &outcome, cx.out);
        }
    }

    fn on_intent_duplicate(
        &mut self,
        now: Timestamp,
        id: RequestId,
        first: Incarnation,
        out: &mut Vec<FrontAction>,
    ) {
        self.batches.mark_resolved(id);
        let Some(entry) = self.requests.get(id) else { return };
        if entry.may_forward || !matches!(entry.state, RequestState::Pending | RequestState::NotRun(_)) {
            return;
        }
        if first == self.incarnation {
            // The entry for the first record was evicted, so it is unknown whether that request was forwarded.
            return self.complete(id, &Outcome::Unknown(UnknownReason::Duplicate), out);
        }
        let has_calls = !entry.calls.is_empty();
        self.set_state(id, RequestState::AppendedByPeer { first, queried_at: now });
        if has_calls {
            self.query_answer(now, id, first, out);
        }
    }

    fn on_intent_too_old(&mut self, id: RequestId, out: &mut Vec<FrontAction>) {
        self.batches.mark_resolved(id);
        if self.requests.get(id).is_some_and(|entry| entry.state == RequestState::Pending) {
            self.complete(id, &Outcome::NotRun(Refusal::IdTooOld), out);
        }
    }

    /// Refuses requests whose record was not read back. If the record takes effect later, it permits only later calls.
    fn on_intent_failed(&mut self, ids: &[RequestId], out: &mut Vec<FrontAction>) {
        for id in ids {
            self.batches.mark_resolved(*id);
            if self.requests.get(*id).is_some_and(|entry| entry.state == RequestState::Pending) {
                self.complete(*id, &Outcome::NotRun(Refusal::LogUnavailable), out);
            }
        }
    }

    fn set_log_available(&mut self, available: bool, out: &mut Vec<FrontAction>) {
        if available && !self.log_available {
            self.batches.clear_in_flight();
        }
        self.log_available = available;
        if !available {
            self.batches.clear_pending();
            let ids = self.requests.ids(|entry| entry.state == RequestState::Pending);
            for id in ids {
                self.complete(id, &Outcome::NotRun(Refusal::LogUnavailable), out);
            }
        }
    }

    fn query_answer(
        &mut self,
        now: Timestamp,
        id: RequestId,
        first: Incarnation,
        out: &mut Vec<FrontAction>,
    ) {
        let digest = self.requests.update(id, |entry| {
            entry.state = RequestState::AppendedByPeer { first, queried_at: now };
            entry.digest
        });
        if let Some(digest) = digest {
            out.push(FrontAction::QueryAnswer { to: first, id, digest });
        }
    }

    /// Answers a host that has a duplicate of a request whose first intent record is from this host.
    fn on_answer_query(&mut self, from: Incarnation, id: RequestId, digest: u64, out: &mut Vec<FrontAction>) {
        let outcome = match self.requests.get(id) {
            Some(entry) if entry.digest != digest => Outcome::NotRun(Refusal::IdReused),
            Some(RequestEntry { state: RequestState::Finished(outcome), .. }) => outcome.clone(),
            Some(RequestEntry { state: RequestState::NotRun(refusal), .. }) => {
                Outcome::NotRun(refusal.clone())
            }
            Some(RequestEntry { state: RequestState::Pending | RequestState::Forwarded, .. }) => {
                self.requests.update(id, |entry| entry.waiting_hosts.insert(from));
                return;
            }
            Some(RequestEntry { state: RequestState::AppendedByPeer { .. }, .. }) | None => {
                Outcome::Unknown(UnknownReason::Duplicate)
            }
        };
        out.push(FrontAction::ReplyAnswer { to: from, id, outcome });
    }

    fn on_answer_reply(&mut self, id: RequestId, outcome: &Outcome, out: &mut Vec<FrontAction>) {
        let Some(entry) = self.requests.get(id) else { return };
        if !matches!(entry.state, RequestState::AppendedByPeer { .. }) {
            return;
        }
        if matches!(outcome, Outcome::Answered(_)) {
            return self.complete(id, outcome, out);
        }
        // Not stored: the first host may give a different outcome to a later query.
        for call in entry.calls.clone() {
            self.respond(call, outcome.clone(), out);
        }
    }

    /// Answers the calls that wait for the answer of a suspected host at once instead of at their deadlines. A later
    /// duplicate queries that host again.
    fn respond_unknown(&mut self, id: RequestId, out: &mut Vec<FrontAction>) {
        let calls = self.requests.get(id).map(|entry| entry.calls.clone());
        for call in calls.into_iter().flatten() {
            self.respond(call, Outcome::Unknown(UnknownReason::Duplicate), out);
        }
    }

    /// Completes a non-idempotent request and answers all calls and hosts that wait for it.
    fn complete(&mut self, id: RequestId, outcome: &Outcome, out: &mut Vec<FrontAction>) {
        let state = match outcome {
            Outcome::NotRun(refusal) => RequestState::NotRun(refusal.clone()),
            _ => RequestState::Finished(outcome.clone()),
        };
        let Some((calls, waiting_hosts)) = self.requests.update(id, |entry| {
            entry.state = state;
            entry.request = None;
            (entry.calls.clone(), std::mem::take(&mut entry.waiting_hosts))
        }) else {
            return;
        };
        for call in calls {
            self.respond(call, outcome.clone(), out);
        }
        for to in waiting_hosts {
            out.push(FrontAction::ReplyAnswer { to, id, outcome: outcome.clone() });
        }
    }

    /// Completes a forwarded request, if the event gave it an outcome.
    fn complete_delivery(&mut self, completion: Option<(Target, Outcome)>, out: &mut Vec<FrontAction>) {
        match completion {
            Some((Target::Call(call), outcome)) => self.respond(call, outcome, out),
            Some((Target::Id(id), outcome)) => self.complete(id, &outcome, out),
            None => {}
        }
    }

    /// Answers a call, if it is still open.
    fn respond(&mut self, call: CallId, outcome: Outcome, out: &mut Vec<FrontAction>) {
        let Some(open_call) = self.calls.remove(&call) else { return };
        self.deadlines.remove(&(open_call.deadline, call));
        if !open_call.idempotent {
            self.requests.update(open_call.id, |entry| entry.calls.remove(&call));
        }
        out.push(FrontAction::Respond { call, id: open_call.id, outcome });
    }

    /// Ends a call whose request has no outcome yet, because its deadline is near or the caller disconnected.
    fn cancel_call(&mut self, call: CallId, out: &mut Vec<FrontAction>) {
        let Some(open_call) = self.calls.get(&call) else { return };
        let (id, idempotent) = (open_call.id, open_call.idempotent);
        let outcome = if idempotent {
            let may_have_run = self.deliveries.abandon(Target::Call(call), out);
            if may_have_run {
                Outcome::Unknown(UnknownReason::DeadlineAfterDispatch)
            } else {
                Outcome::NotRun(Refusal::Expired)
            }
        } else {
            self.outcome_at_deadline(id)
        };
        self.respond(call, outcome, out);
        let has_no_calls = self.requests.get(id).is_some_and(|entry| entry.calls.is_empty());
        if !idempotent
            && has_no_calls
            && self.requests.get(id).is_some_and(|entry| entry.state == RequestState::Pending)
        {
            self.complete(id, &Outcome::NotRun(Refusal::Expired), out);
        }
    }

    fn outcome_at_deadline(&self, id: RequestId) -> Outcome {
        match self.requests.get(id).map(|entry| &entry.state) {
            Some(RequestState::Pending | RequestState::NotRun(_)) => Outcome::NotRun(Refusal::Expired),
            Some(RequestState::Forwarded) => Outcome::Unknown(UnknownReason::DeadlineAfterDispatch),
            Some(RequestState::Finished(outcome)) => outcome.clone(),
            Some(RequestState::AppendedByPeer { .. }) | None => Outcome::Unknown(UnknownReason::Duplicate),
        }
    }

    fn tick(&mut self, cx: &mut Context<'_>) {
        for completion in self.deliveries.tick(cx) {
            self.complete_delivery(Some(completion), cx.out);
        }
        while let Some((deadline, call)) = self.deadlines.first().copied() {
            if cx.now + ANSWER_MARGIN < deadline {
                break;
            }
            self.cancel_call(call, cx.out);
        }
        self.retry_queries(cx.now, cx.out);
        for id in self.requests.evict(self.horizon(cx.now)) {
            self.deliveries.abandon(Target::Id(id), cx.out);
        }
        self.append_next_batch(cx.now, cx.out);
    }

    /// Repeats overdue queries, which may have been lost.
    fn retry_queries(&mut self, now: Timestamp, out: &mut Vec<FrontAction>) {
        let open_ids = self.calls.values().filter(|call| !call.idempotent).map(|call| call.id);
        let due: BTreeMap<RequestId, Incarnation> = open_ids
            .filter_map(|id| match self.requests.get(id)?.state {
                RequestState::AppendedByPeer { first, queried_at }
                    if now.since(queried_at) >= QUERY_INTERVAL =>
                {
                    Some((id, first))
                }
                _ => None,
            })
            .collect();
        for (id, first) in due {
            if self.deliveries.owners.is_suspected(first) {
                self.respond_unknown(id, out);
            } else {
                self.query_answer(now, id, first, out);
            }
        }
    }
}

fn refuse(call: CallId, id: RequestId, refusal: Refusal, reason: &str, out: &mut Vec<FrontAction>) {
    let reason = reason.into();
    out.push(FrontAction::Decision(RouteDecision { request: id, chosen: None, runner_up: None, reason }));
    out.push(FrontAction::Respond { call, id, outcome: Outcome::NotRun(refusal) });
}

impl StateMachine for Front {
    type Event = FrontEvent;
    type Action = FrontAction;

    fn handle(&mut self, now: Timestamp, event: FrontEvent, rng: &mut dyn Rng, out: &mut Vec<FrontAction>) {
        let cx = &mut Context { now, rng, out };
        match event {
            FrontEvent::Call { call, wall, request } => self.on_call(cx, (call, wall, request)),
            FrontEvent::CallerDisconnected { call } => self.cancel_call(call, cx.out),
            FrontEvent::Limits(limits) => {
                self.deliveries.budget.set_share(limits.retry_share);
                self.batches.set_limits(limits.intent_rate, limits.intent_batch);
                self.limits = Some(limits);
            }
            FrontEvent::Load { owner, shards } => self.deliveries.owners.set_load(cx.now, owner, shards),
            FrontEvent::Owner { shard, owner } => self.deliveries.owners.set_owner(shard, owner),
            FrontEvent::Suspected { incarnation, suspected } => {
                self.deliveries.owners.set_suspected(incarnation, suspected);
            }
            FrontEvent::Accepted { forward } => self.deliveries.on_accepted(forward),
            FrontEvent::Finished { forward, outcome } => {
                let completion = self.deliveries.on_finished(cx, (forward, outcome));
                self.complete_delivery(completion, cx.out);
            }
            FrontEvent::NotSent { forward } => {
                let completion = self.deliveries.on_not_sent(cx, forward);
                self.complete_delivery(completion, cx.out);
            }
            FrontEvent::OwnerLost { forward } => {
                let completion = self.deliveries.on_owner_lost(cx, forward);
                self.complete_delivery(completion, cx.out);
            }
            FrontEvent::IntentFirst { id } => {
                self.on_intent_first(cx, id);
                self.append_next_batch(cx.now, cx.out);
            }
            FrontEvent::IntentDuplicate { id, first } => {
                self.on_intent_duplicate(cx.now, id, first, cx.out);
                self.append_next_batch(cx.now, cx.out);
            }
            FrontEvent::IntentTooOld { id } => {
                self.on_intent_too_old(id, cx.out);
                self.append_next_batch(cx.now, cx.out);
            }
            FrontEvent::IntentFailed { ids } => {
                self.on_intent_failed(&ids, cx.out);
                self.append_next_batch(cx.now, cx.out);
            }
            FrontEvent::LogAvailable(available) => self.set_log_available(available, cx.out),
            FrontEvent::AnswerQuery { from, id, digest } => self.on_answer_query(from, id, digest, cx.out),
            FrontEvent::AnswerReply { id, outcome } => self.on_answer_reply(id, &outcome, cx.out),
            FrontEvent::Stop => self.stopping = true,
            FrontEvent::Tick => self.tick(cx),
        }
    }
}
