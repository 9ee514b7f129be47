//! Front of a host: routes the requests of callers to shard owners and answers the calls.
//!
//! An idempotent request is tracked per call and may be retried within a budget. A non-idempotent request is tracked by
//! its request id: the id is appended to the `intents` stream and read back, and only the first record of an id permits
//! one forward. Calls with the same id wait for the same outcome.

mod batch;
mod budget;
mod delivery;
mod message;
mod owners;
mod register;
mod route;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::Rng;

use self::batch::Batches;
use self::delivery::{Deliveries, Target};
pub use self::message::*;
use self::register::{Entry, Register, Stage, digest};
pub use self::route::{LoadAware, RandomOwner, Route, RouteCandidate, RoutePolicy};
use crate::duty::Duty;
use crate::id::{Incarnation, RequestId};
use crate::request::{Doubt, Outcome, Refusal, Request};
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
struct Call {
    id: RequestId,
    deadline: Timestamp,
    idempotent: bool,
}

/// Front duty of one host: admits calls, forwards their requests and answers each call exactly once.
#[derive(Debug)]
pub struct Front {
    incarnation: Incarnation,
    limits: Option<FrontLimits>,
    calls: BTreeMap<CallId, Call>,
    deadlines: BTreeSet<(Timestamp, CallId)>,
    deliveries: Deliveries,
    register: Register,
    batches: Batches,
    /// Last wall-clock time with the monotonic time at which it was read.
    wall: (WallTime, Timestamp),
    log: bool,
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
            register: Register::default(),
            batches: Batches::default(),
            wall: (WallTime::default(), Timestamp::ZERO),
            log: false,
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
    pub fn kept_bytes(&self) -> usize {
        self.register.bytes()
    }

    fn wall_at(&self, now: Timestamp) -> WallTime {
        self.wall.0.plus(now.since(self.wall.1))
    }

    fn horizon(&self, now: Timestamp) -> WallTime {
        let window = self.limits.as_ref().map_or(Duration::ZERO, |limits| limits.id_window);
        self.wall_at(now).minus(window)
    }

    fn call(&mut self, cx: &mut Context<'_>, (call, wall, request): (CallId, WallTime, Request)) {
        if self.calls.contains_key(&call) {
            return;
        }
        self.wall = (wall, cx.now);
        let (id, deadline, idempotent) = (request.id, request.deadline, request.idempotent);
        if let Some((refusal, reason)) = self.admission(cx.now, wall, &request) {
            return refuse(call, id, refusal, reason, cx.out);
        }
        self.calls.insert(call, Call { id, deadline, idempotent });
        self.deadlines.insert((deadline, call));
        if !idempotent {
            self.register_call(cx, call, request);
        } else if let Some(outcome) = self.deliveries.start(cx, (Target::Call(call), request)) {
            self.respond(call, outcome, cx.out);
        }
    }

    /// Returns why a call is refused on arrival, `None` if it is admitted.
    fn admission(
        &self,
        now: Timestamp,
        wall: WallTime,
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
        } else if created < wall.minus(limits.id_window) {
            Some((Refusal::IdTooOld, "id is older than the id window"))
        } else if created > wall.plus(limits.clock_skew) {
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
        let (stage, first) = match self.register.get(id) {
            Some(entry) if entry.digest != digest(&request) => {
                return self.respond(call, Outcome::NotRun(Refusal::IdReused), cx.out);
            }
            Some(entry) => (Some(entry.stage.clone()), entry.first),
            None => (None, false),
        };
        match stage {
            Some(Stage::Done(outcome)) => return self.respond(call, outcome, cx.out),
            None | Some(Stage::Idle(_)) if !first => {
                if let Some(refusal) = self.intent_refusal(cx.now, &request) {
                    return self.respond(call, Outcome::NotRun(refusal), cx.out);
                }
            }
            _ => {}
        }
        if stage.is_none() {
            self.register.insert(id, Entry::new(&request));
        }
        self.register.update(id, |entry| entry.attach(call, request));
        match stage {
            Some(Stage::Elsewhere { first, .. }) => self.ask(cx.now, id, first, cx.out),
            Some(Stage::Idle(_)) if first => self.forward_once(cx, id),
            None | Some(Stage::Idle(_)) => {
                self.set_stage(id, Stage::Pending);
                self.batches.push(id);
                self.flush(cx.now, cx.out);
            }
            _ => {}
        }
    }

    /// Returns why the id of a request cannot be appended in time, `None` if it can.
    fn intent_refusal(&self, now: Timestamp, request: &Request) -> Option<Refusal> {
        if !self.log {
            return Some(Refusal::LogUnavailable);
        }
        let retry = self.batches.delay(now).unwrap_or(Duration::from_secs(1));
        let possible = self.batches.delay(now).is_some_and(|delay| now + delay < request.deadline);
        (!possible).then_some(Refusal::IntentBudget { retry })
    }

    fn set_stage(&mut self, id: RequestId, stage: Stage) {
        self.register.update(id, |entry| entry.stage = stage);
    }

    /// Appends the next batch of ids if the append budget allows it.
    fn flush(&mut self, now: Timestamp, out: &mut Vec<FrontAction>) {
        if !self.log {
            return;
        }
        let register = &self.register;
        let pending = |id| register.get(id).is_some_and(|entry| entry.stage == Stage::Pending);
        if let Some(ids) = self.batches.take(now, pending) {
            out.push(FrontAction::AppendIntents { ids, horizon: self.horizon(now) });
        }
    }

    fn intent_first(&mut self, cx: &mut Context<'_>, id: RequestId) {
        self.batches.resolved(id);
        let Some(stage) = self.register.update(id, |entry| {
            let again = std::mem::replace(&mut entry.first, true);
            (!again).then(|| entry.stage.clone())
        }) else {
            return;
        };
        if stage == Some(Stage::Pending) {
            self.forward_once(cx, id);
        }
    }

    /// Forwards a request whose first intent record is from this host, if a call still waits for it.
    fn forward_once(&mut self, cx: &mut Context<'_>, id: RequestId) {
        let Some(entry) = self.register.get(id) else { return };
        let Some(request) = entry.request.clone() else { return };
        let latest =
            entry.calls.iter().filter_map(|call| self.calls.get(call)).map(|call| call.deadline).max();
        let Some(deadline) = latest.filter(|deadline| cx.now < *deadline) else {
            return self.set_stage(id, Stage::Idle(Refusal::Expired));
        };
        self.register.update(id, |entry| (entry.stage, entry.request) = (Stage::Sent, None));
        let request = Request { deadline, ..request };
        if let Some(outcome) = self.deliveries.start(cx, (Target::Id(id), request)) {
            self.conclude(id, &outcome, cx.out);
        }
    }

    fn intent_duplicate(
        &mut self,
        now: Timestamp,
        id: RequestId,
        first: Incarnation,
        out: &mut Vec<FrontAction>,
    ) {
        self.batches.resolved(id);
        let Some(entry) = self.register.get(id) else { return };
        if entry.first || !matches!(entry.stage, Stage::Pending | Stage::Idle(_)) {
            return;
        }
        if first == self.incarnation {
            // The entry for the first record was evicted, so it is unknown whether that request was forwarded.
            return self.conclude(id, &Outcome::Unknown(Doubt::Duplicate), out);
        }
        let waiting = !entry.calls.is_empty();
        self.set_stage(id, Stage::Elsewhere { first, asked: now });
        if waiting {
            self.ask(now, id, first, out);
        }
    }

    fn intent_too_old(&mut self, id: RequestId, out: &mut Vec<FrontAction>) {
        self.batches.resolved(id);
        if self.register.get(id).is_some_and(|entry| entry.stage == Stage::Pending) {
            self.conclude(id, &Outcome::NotRun(Refusal::IdTooOld), out);
        }
    }

    /// Refuses requests whose record was not read back. If the record takes effect later, it permits only later calls.
    fn intent_failed(&mut self, ids: &[RequestId], out: &mut Vec<FrontAction>) {
        for id in ids {
            self.batches.resolved(*id);
            if self.register.get(*id).is_some_and(|entry| entry.stage == Stage::Pending) {
                self.conclude(*id, &Outcome::NotRun(Refusal::LogUnavailable), out);
            }
        }
    }

    fn log_available(&mut self, available: bool, out: &mut Vec<FrontAction>) {
        if available && !self.log {
            self.batches.clear_in_flight();
        }
        self.log = available;
        if !available {
            self.batches.clear_pending();
            let ids = self.register.ids(|entry| entry.stage == Stage::Pending);
            for id in ids {
                self.conclude(id, &Outcome::NotRun(Refusal::LogUnavailable), out);
            }
        }
    }

    fn ask(&mut self, now: Timestamp, id: RequestId, first: Incarnation, out: &mut Vec<FrontAction>) {
        let asked = self.register.update(id, |entry| {
            entry.stage = Stage::Elsewhere { first, asked: now };
            entry.digest
        });
        if let Some(digest) = asked {
            out.push(FrontAction::QueryAnswer { to: first, id, digest });
        }
    }

    /// Answers a host that has a duplicate of a request whose first intent record is from this host.
    fn answer_query(&mut self, from: Incarnation, id: RequestId, digest: u64, out: &mut Vec<FrontAction>) {
        let outcome = match self.register.get(id) {
            Some(entry) if entry.digest != digest => Outcome::NotRun(Refusal::IdReused),
            Some(Entry { stage: Stage::Done(outcome), .. }) => outcome.clone(),
            Some(Entry { stage: Stage::Idle(refusal), .. }) => Outcome::NotRun(refusal.clone()),
            Some(Entry { stage: Stage::Pending | Stage::Sent, .. }) => {
                self.register.update(id, |entry| entry.queries.insert(from));
                return;
            }
            Some(Entry { stage: Stage::Elsewhere { .. }, .. }) | None => Outcome::Unknown(Doubt::Duplicate),
        };
        out.push(FrontAction::ReplyAnswer { to: from, id, outcome });
    }

    fn answer_reply(&mut self, id: RequestId, outcome: &Outcome, out: &mut Vec<FrontAction>) {
        let Some(entry) = self.register.get(id) else { return };
        if !matches!(entry.stage, Stage::Elsewhere { .. }) {
            return;
        }
        if matches!(outcome, Outcome::Answered(_)) {
            return self.conclude(id, outcome, out);
        }
        // Not stored: the first host may give a different outcome to a later query.
        for call in entry.calls.clone() {
            self.respond(call, outcome.clone(), out);
        }
    }

    /// Answers the calls that wait for the answer of a suspected host at once instead of at their deadlines. A later
    /// duplicate queries that host again.
    fn answer_doubt(&mut self, id: RequestId, out: &mut Vec<FrontAction>) {
        let calls = self.register.get(id).map(|entry| entry.calls.clone());
        for call in calls.into_iter().flatten() {
            self.respond(call, Outcome::Unknown(Doubt::Duplicate), out);
        }
    }

    /// Completes a non-idempotent request and answers all calls and hosts that wait for it.
    fn conclude(&mut self, id: RequestId, outcome: &Outcome, out: &mut Vec<FrontAction>) {
        let stage = match outcome {
            Outcome::NotRun(refusal) => Stage::Idle(refusal.clone()),
            _ => Stage::Done(outcome.clone()),
        };
        let Some((calls, queries)) = self.register.update(id, |entry| {
            entry.stage = stage;
            entry.request = None;
            (entry.calls.clone(), std::mem::take(&mut entry.queries))
        }) else {
            return;
        };
        for call in calls {
            self.respond(call, outcome.clone(), out);
        }
        for to in queries {
            out.push(FrontAction::ReplyAnswer { to, id, outcome: outcome.clone() });
        }
    }

    /// Completes a forwarded request, if the event gave it an outcome.
    fn settle(&mut self, conclusion: Option<(Target, Outcome)>, out: &mut Vec<FrontAction>) {
        match conclusion {
            Some((Target::Call(call), outcome)) => self.respond(call, outcome, out),
            Some((Target::Id(id), outcome)) => self.conclude(id, &outcome, out),
            None => {}
        }
    }

    /// Answers a call, if it is still open.
    fn respond(&mut self, call: CallId, outcome: Outcome, out: &mut Vec<FrontAction>) {
        let Some(open) = self.calls.remove(&call) else { return };
        self.deadlines.remove(&(open.deadline, call));
        if !open.idempotent {
            self.register.update(open.id, |entry| entry.calls.remove(&call));
        }
        out.push(FrontAction::Respond { call, id: open.id, outcome });
    }

    /// Ends a call whose request has no outcome yet, because its deadline is near or the caller disconnected.
    fn cut_off(&mut self, call: CallId, out: &mut Vec<FrontAction>) {
        let Some(open) = self.calls.get(&call) else { return };
        let (id, idempotent) = (open.id, open.idempotent);
        let outcome = if idempotent {
            let doubtful = self.deliveries.abandon(Target::Call(call), out);
            if doubtful {
                Outcome::Unknown(Doubt::DeadlineAfterDispatch)
            } else {
                Outcome::NotRun(Refusal::Expired)
            }
        } else {
            self.outcome_at_deadline(id)
        };
        self.respond(call, outcome, out);
        let left = self.register.get(id).is_some_and(|entry| entry.calls.is_empty());
        if !idempotent && left && self.register.get(id).is_some_and(|entry| entry.stage == Stage::Pending) {
            self.conclude(id, &Outcome::NotRun(Refusal::Expired), out);
        }
    }

    fn outcome_at_deadline(&self, id: RequestId) -> Outcome {
        match self.register.get(id).map(|entry| &entry.stage) {
            Some(Stage::Pending | Stage::Idle(_)) => Outcome::NotRun(Refusal::Expired),
            Some(Stage::Sent) => Outcome::Unknown(Doubt::DeadlineAfterDispatch),
            Some(Stage::Done(outcome)) => outcome.clone(),
            Some(Stage::Elsewhere { .. }) | None => Outcome::Unknown(Doubt::Duplicate),
        }
    }

    fn tick(&mut self, cx: &mut Context<'_>) {
        for conclusion in self.deliveries.tick(cx) {
            self.settle(Some(conclusion), cx.out);
        }
        while let Some((deadline, call)) = self.deadlines.first().copied() {
            if cx.now + ANSWER_MARGIN < deadline {
                break;
            }
            self.cut_off(call, cx.out);
        }
        self.ask_again(cx.now, cx.out);
        for id in self.register.trim(self.horizon(cx.now)) {
            self.deliveries.abandon(Target::Id(id), cx.out);
        }
        self.flush(cx.now, cx.out);
    }

    /// Repeats overdue queries, which may have been lost.
    fn ask_again(&mut self, now: Timestamp, out: &mut Vec<FrontAction>) {
        let open = self.calls.values().filter(|call| !call.idempotent).map(|call| call.id);
        let due: BTreeMap<RequestId, Incarnation> = open
            .filter_map(|id| match self.register.get(id)?.stage {
                Stage::Elsewhere { first, asked } if now.since(asked) >= QUERY_INTERVAL => Some((id, first)),
                _ => None,
            })
            .collect();
        for (id, first) in due {
            if self.deliveries.owners.is_suspected(first) {
                self.answer_doubt(id, out);
            } else {
                self.ask(now, id, first, out);
            }
        }
    }
}

fn refuse(call: CallId, id: RequestId, refusal: Refusal, reason: &str, out: &mut Vec<FrontAction>) {
    let reason = reason.into();
    out.push(FrontAction::Decision(RouteDecision { request: id, chosen: None, runner_up: None, reason }));
    out.push(FrontAction::Respond { call, id, outcome: Outcome::NotRun(refusal) });
}

impl Duty for Front {
    type Event = FrontEvent;
    type Action = FrontAction;

    fn handle(&mut self, now: Timestamp, event: FrontEvent, rng: &mut dyn Rng, out: &mut Vec<FrontAction>) {
        let cx = &mut Context { now, rng, out };
        match event {
            FrontEvent::Call { call, wall, request } => self.call(cx, (call, wall, request)),
            FrontEvent::Hangup { call } => self.cut_off(call, cx.out),
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
            FrontEvent::Accepted { forward } => self.deliveries.accepted(forward),
            FrontEvent::Finished { forward, outcome } => {
                let conclusion = self.deliveries.finished(cx, (forward, outcome));
                self.settle(conclusion, cx.out);
            }
            FrontEvent::NotSent { forward } => {
                let conclusion = self.deliveries.not_sent(cx, forward);
                self.settle(conclusion, cx.out);
            }
            FrontEvent::OwnerLost { forward } => {
                let conclusion = self.deliveries.owner_lost(cx, forward);
                self.settle(conclusion, cx.out);
            }
            FrontEvent::IntentFirst { id } => {
                self.intent_first(cx, id);
                self.flush(cx.now, cx.out);
            }
            FrontEvent::IntentDuplicate { id, first } => {
                self.intent_duplicate(cx.now, id, first, cx.out);
                self.flush(cx.now, cx.out);
            }
            FrontEvent::IntentTooOld { id } => {
                self.intent_too_old(id, cx.out);
                self.flush(cx.now, cx.out);
            }
            FrontEvent::IntentFailed { ids } => {
                self.intent_failed(&ids, cx.out);
                self.flush(cx.now, cx.out);
            }
            FrontEvent::LogAvailable(available) => self.log_available(available, cx.out),
            FrontEvent::AnswerQuery { from, id, digest } => self.answer_query(from, id, digest, cx.out),
            FrontEvent::AnswerReply { id, outcome } => self.answer_reply(id, &outcome, cx.out),
            FrontEvent::Stop => self.stopping = true,
            FrontEvent::Tick => self.tick(cx),
        }
    }
}
