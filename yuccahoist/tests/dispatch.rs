//! Tests of the dispatcher: slot limits, shares, queues, deadlines and grants.

use std::collections::BTreeMap;
use std::time::Duration;

use assert_matches::assert_matches;
use bytes::Bytes;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use yuccahoist::dispatch::{
    BackendSpec, ClassLimits, DispatchAction, DispatchEvent, DispatchLimits, Dispatcher, ForwardId,
};
use yuccahoist::id::{Epoch, Incarnation, RequestId, ShardId, Subject, WorkerId};
use yuccahoist::ownership::{Grant, Share};
use yuccahoist::request::{Answer, Class, Outcome, Refusal, Request, UnknownReason};
use yuccahoist::state_machine::StateMachine;
use yuccahoist::unit::{Connections, Slots, Timestamp, WallTime};

const EPOCH: Epoch = Epoch(7);
const RUN_LIMIT: Duration = Duration::from_secs(10);

struct Model {
    dispatcher: Dispatcher,
    rng: ChaCha8Rng,
    now: Timestamp,
    out: Vec<DispatchAction>,
    next_number: u64,
}

fn shard() -> ShardId {
    "rack".parse().expect("valid name")
}

fn worker(index: usize) -> WorkerId {
    format!("w{index}").parse().expect("valid name")
}

fn spec(index: usize, slots: u32, connections: u32) -> BackendSpec {
    BackendSpec {
        worker: worker(index),
        shard: shard(),
        services: vec!["drumline".parse().expect("valid name")],
        slots: Slots(slots),
        connections: Connections(connections),
    }
}

fn grant(epoch: Epoch, share: Share) -> DispatchEvent {
    let subject = Subject::Shard(shard());
    let valid_until = Timestamp::MAX;
    let grant =
        Grant { subject, epoch, share, may_start_tasks: true, valid_until, settled_at: Timestamp::ZERO };
    DispatchEvent::Granted { shard: shard(), grant }
}

fn limits(queue: usize) -> DispatchLimits {
    let class =
        |share| ClassLimits { share, queue, run_limit: RUN_LIMIT, deadline_limit: Duration::from_secs(60) };
    DispatchLimits {
        classes: [(Class::Urgent, class(0.25)), (Class::Batch, class(0.25)), (Class::Heavy, class(0.5))]
            .into(),
        teams: [("a".parse().expect("valid name"), 1), ("b".parse().expect("valid name"), 3)].into(),
    }
}

impl Model {
    fn new(workers: usize, slots: u32, queue: usize) -> Self {
        let mut model = Self {
            dispatcher: Dispatcher::default(),
            rng: ChaCha8Rng::seed_from_u64(1),
            now: Timestamp::from_millis(1_000),
            out: Vec::new(),
            next_number: 0,
        };
        model.handle(DispatchEvent::Limits(limits(queue)));
        model.handle(DispatchEvent::Backends((0..workers).map(|index| spec(index, slots, 64)).collect()));
        model.handle(grant(EPOCH, Share::Full));
        model
    }

    fn handle(&mut self, event: DispatchEvent) {
        self.dispatcher.handle(self.now, event, &mut self.rng, &mut self.out);
    }

    fn submit(&mut self, class: Class, team: &str, deadline: Duration) -> ForwardId {
        let forward = ForwardId { front: Incarnation(1), number: self.next_number };
        self.next_number += 1;
        self.submit_as(forward, class, team, deadline);
        forward
    }

    fn submit_as(&mut self, forward: ForwardId, class: Class, team: &str, deadline: Duration) {
        let request = Request {
            id: RequestId::from_parts(WallTime::from_millis(1), [1; 10]),
            service: "drumline".parse().expect("valid name"),
            class,
            team: team.parse().expect("valid name"),
            idempotent: false,
            deadline: self.now + deadline,
            body: Bytes::new(),
        };
        self.handle(DispatchEvent::Submit { forward, shard: shard(), request });
    }

    fn submit_many(&mut self, count: usize, class: Class, team: &str) -> Vec<ForwardId> {
        (0..count).map(|_| self.submit(class, team, Duration::from_secs(3_600))).collect()
    }

    fn answer(&mut self, forward: ForwardId) {
        let answer = Answer { status: 200, body: Bytes::new() };
        self.handle(DispatchEvent::Answered { forward, answer });
    }

    fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + Duration::from_millis(10);
            self.handle(DispatchEvent::Tick);
        }
    }

    fn sent(&self) -> Vec<(ForwardId, WorkerId, Request)> {
        let sent = self.out.iter().filter_map(|action| match action {
            DispatchAction::Send { forward, worker, request, .. } => {
                Some((*forward, worker.clone(), request.clone()))
            }
            _ => None,
        });
        sent.collect()
    }

    fn sent_in_class(&self, class: Class) -> usize {
        self.sent().iter().filter(|(_, _, request)| request.class == class).count()
    }

    fn outcomes(&self, forward: ForwardId) -> Vec<Outcome> {
        let outcomes = self.out.iter().filter_map(|action| match action {
            DispatchAction::Finished { forward: finished, outcome } if *finished == forward => {
                Some(outcome.clone())
            }
            _ => None,
        });
        outcomes.collect()
    }

    fn quiescent_count(&self) -> usize {
        self.out.iter().filter(|action| matches!(action, DispatchAction::Quiescent { .. })).count()
    }

    /// Completes `count` requests in the order of their end times and counts them per class and team.
    ///
    /// `run` gives the run time of a class in milliseconds.
    fn serve(&mut self, count: usize, run: impl Fn(Class) -> u64) -> BTreeMap<(Class, String), usize> {
        let mut ends: BTreeMap<(Timestamp, ForwardId), Request> = BTreeMap::new();
        let mut served = BTreeMap::new();
        let mut seen = 0;
        for _ in 0..count {
            let sent = self.sent();
            for (forward, _, request) in sent[seen..].iter().cloned() {
                let end = self.now + Duration::from_millis(run(request.class));
                ends.insert((end, forward), request);
            }
            seen = sent.len();
            let Some(((end, forward), request)) = ends.pop_first() else { break };
            self.now = self.now.max(end);
            *served.entry((request.class, request.team.to_string())).or_default() += 1;
            self.answer(forward);
        }
        served
    }
}

/// Guards against more in-flight requests on a worker than its slots and connections permit under a share.
#[test]
fn share_limits_slots_and_connections() {
    struct Case {
        share: Share,
        slots: u32,
        connections: u32,
        sent: usize,
    }
    let cases = [
        Case { share: Share::Full, slots: 7, connections: 64, sent: 14 },
        Case { share: Share::Reduced, slots: 7, connections: 64, sent: 6 },
        Case { share: Share::Remainder, slots: 7, connections: 64, sent: 8 },
        Case { share: Share::Nothing, slots: 7, connections: 64, sent: 0 },
        Case { share: Share::Full, slots: 8, connections: 3, sent: 6 },
        Case { share: Share::Reduced, slots: 8, connections: 3, sent: 2 },
        Case { share: Share::Remainder, slots: 8, connections: 3, sent: 4 },
        Case { share: Share::Reduced, slots: 1, connections: 64, sent: 0 },
    ];
    for case in cases {
        let mut model = Model::new(0, 0, 100);
        model.handle(DispatchEvent::Backends(
            (0..2).map(|index| spec(index, case.slots, case.connections)).collect(),
        ));
        model.handle(grant(Epoch(8), case.share));
        for class in Class::ALL {
            model.submit_many(30, class, "a");
        }
        assert_eq!(model.sent().len(), case.sent, "share {:?}, {} slots", case.share, case.slots);
    }
}

/// Guards against an overloaded worker when the share is reduced while requests are in flight.
#[test]
fn reduced_share_sends_nothing_until_slots_are_free() {
    let mut model = Model::new(1, 8, 100);
    let urgent = model.submit_many(20, Class::Urgent, "a");
    assert_eq!(model.sent().len(), 8);
    model.handle(grant(EPOCH, Share::Reduced));
    for forward in &urgent[..4] {
        model.answer(*forward);
        assert_eq!(model.sent().len(), 8);
    }
    model.answer(urgent[4]);
    assert_eq!(model.sent().len(), 9);
}

/// Guards against reuse of a slot while the backend server may still process the request whose connection broke.
#[test]
fn broken_connection_holds_its_slot_until_the_run_limit() {
    let mut model = Model::new(1, 1, 10);
    let first = model.submit(Class::Urgent, "a", Duration::from_secs(60));
    model.advance(Duration::from_secs(1));
    let second = model.submit(Class::Urgent, "a", Duration::from_secs(60));
    model.handle(DispatchEvent::ConnectionBroken { forward: first });
    assert_eq!(model.outcomes(first), [Outcome::Unknown(UnknownReason::BackendLost)]);
    model.advance(RUN_LIMIT - Duration::from_millis(20));
    assert_eq!(model.sent().len(), 1);
    model.advance(Duration::from_millis(40));
    assert_eq!(model.sent().last().map(|(forward, _, _)| *forward), Some(second));
    model.answer(first);
    assert_eq!(model.outcomes(first).len(), 1);
}

/// Guards against a second run when a message is duplicated or reordered.
#[test]
fn duplicate_messages_start_no_second_run() {
    type Step = fn(&mut Model, ForwardId);
    struct Case {
        name: &'static str,
        steps: &'static [Step],
        sent: usize,
        outcomes: usize,
    }
    const SUBMIT: Step = |m, f| m.submit_as(f, Class::Urgent, "a", Duration::from_secs(5));
    const ANSWER: Step = |m, f| m.answer(f);
    const BROKEN: Step = |m, f| m.handle(DispatchEvent::ConnectionBroken { forward: f });
    const NOT_SENT: Step = |m, f| m.handle(DispatchEvent::NotSent { forward: f });
    const WITHDRAW: Step = |m, f| m.handle(DispatchEvent::Withdraw { forward: f });
    const ADVANCE: Step = |m, _| m.advance(Duration::from_secs(20));
    let cases = [
        Case { name: "duplicate submit", steps: &[SUBMIT, SUBMIT], sent: 1, outcomes: 0 },
        Case {
            name: "duplicate submit after the answer",
            steps: &[SUBMIT, ANSWER, SUBMIT, ANSWER],
            sent: 1,
            outcomes: 1,
        },
        Case {
            name: "duplicate submit after a broken connection",
            steps: &[SUBMIT, BROKEN, ADVANCE, SUBMIT],
            sent: 1,
            outcomes: 1,
        },
        Case {
            name: "duplicate not-sent and submit",
            steps: &[SUBMIT, NOT_SENT, NOT_SENT, SUBMIT],
            sent: 1,
            outcomes: 1,
        },
        Case { name: "submit after its withdrawal", steps: &[WITHDRAW, SUBMIT], sent: 0, outcomes: 0 },
        Case {
            name: "withdrawal of an in-flight request",
            steps: &[SUBMIT, WITHDRAW, ANSWER],
            sent: 1,
            outcomes: 0,
        },
        Case {
            name: "answer after a broken connection",
            steps: &[SUBMIT, BROKEN, ANSWER, BROKEN],
            sent: 1,
            outcomes: 1,
        },
    ];
    for case in cases {
        let mut model = Model::new(1, 8, 10);
        let forward = ForwardId { front: Incarnation(9), number: 1 };
        for step in case.steps {
            step(&mut model, forward);
        }
        assert_eq!(model.sent().len(), case.sent, "{}", case.name);
        assert_eq!(model.outcomes(forward).len(), case.outcomes, "{}", case.name);
    }
}

/// Guards against new requests for a draining worker.
#[test]
fn draining_worker_gets_no_new_requests() {
    let mut model = Model::new(2, 2, 100);
    model.handle(DispatchEvent::Draining { worker: worker(0), draining: true });
    model.submit_many(10, Class::Urgent, "a");
    assert!(model.sent().iter().all(|(_, to, _)| *to == worker(1)));
    assert_eq!(model.sent().len(), 2);
    model.handle(DispatchEvent::Draining { worker: worker(1), draining: true });
    let refused = model.submit(Class::Urgent, "a", Duration::from_secs(5));
    assert_eq!(model.outcomes(refused), [Outcome::NotRun(Refusal::NoOwner)]);
    model.handle(DispatchEvent::Draining { worker: worker(0), draining: false });
    assert_eq!(model.sent().len(), 4);
}

/// Guards against an epoch that is reported as quiescent while one of its requests may still run.
#[test]
fn epoch_is_quiescent_when_its_last_request_ends() {
    let mut model = Model::new(1, 2, 100);
    let forwards = model.submit_many(4, Class::Urgent, "a");
    model.handle(DispatchEvent::GrantLost { shard: shard(), epoch: EPOCH });
    assert_eq!(model.outcomes(forwards[2]), [Outcome::NotRun(Refusal::NotOwner)]);
    assert_eq!(model.quiescent_count(), 0);
    model.answer(forwards[0]);
    model.handle(DispatchEvent::ConnectionBroken { forward: forwards[1] });
    assert_eq!(model.quiescent_count(), 0);
    model.advance(RUN_LIMIT + Duration::from_millis(20));
    assert_eq!(model.quiescent_count(), 1);
    let refused = model.submit(Class::Urgent, "a", Duration::from_secs(5));
    assert_eq!(model.outcomes(refused), [Outcome::NotRun(Refusal::NotOwner)]);
}

/// Guards against a graceful stop that drops accepted requests.
#[test]
fn graceful_stop_finishes_queued_requests() {
    let mut model = Model::new(1, 1, 100);
    let forwards = model.submit_many(3, Class::Urgent, "a");
    model.handle(DispatchEvent::Stop);
    let refused = model.submit(Class::Urgent, "a", Duration::from_secs(5));
    assert_eq!(model.outcomes(refused), [Outcome::NotRun(Refusal::Stopping)]);
    for forward in forwards {
        assert_eq!(model.quiescent_count(), 0);
        model.answer(forward);
    }
    assert_eq!((model.sent().len(), model.quiescent_count(), model.dispatcher.is_idle()), (3, 1, true));
    assert!(model.dispatcher.load(model.now).iter().all(|summary| summary.services.is_empty()));
}

/// Guards against dispatch and admission after the grant has expired.
#[test]
fn nothing_is_sent_after_grant_expiry() {
    let mut model = Model::new(1, 1, 100);
    let first = model.submit(Class::Urgent, "a", Duration::from_secs(60));
    let second = model.submit(Class::Urgent, "a", Duration::from_secs(60));
    let valid_until = model.now + Duration::from_secs(1);
    let subject = Subject::Shard(shard());
    let grant = Grant {
        subject,
        epoch: EPOCH,
        share: Share::Full,
        may_start_tasks: true,
        valid_until,
        settled_at: Timestamp::ZERO,
    };
    model.handle(DispatchEvent::Granted { shard: shard(), grant });
    model.now = valid_until;
    model.answer(first);
    assert_eq!((model.sent().len(), model.outcomes(second).len()), (1, 0));
    let refused = model.submit(Class::Urgent, "a", Duration::from_secs(5));
    assert_eq!(model.outcomes(refused), [Outcome::NotRun(Refusal::NotOwner)]);
}

/// Guards against an overload of one class that takes the guaranteed slots of another.
///
/// Of 16 slots, the urgent and batch classes are guaranteed 4 each and the heavy class 8. A class with a shorter run
/// time also gets unused slots.
#[test]
fn overload_leaves_other_classes_their_guaranteed_slots() {
    struct Case {
        overloaded: Class,
        other: Class,
        slots: usize,
    }
    let cases = [
        Case { overloaded: Class::Heavy, other: Class::Urgent, slots: 8 },
        Case { overloaded: Class::Batch, other: Class::Urgent, slots: 4 },
        Case { overloaded: Class::Heavy, other: Class::Batch, slots: 4 },
    ];
    for case in cases {
        let mut model = Model::new(2, 8, 1_000);
        model.submit_many(100, case.overloaded, "a");
        model.submit_many(20, case.other, "a");
        assert_eq!(
            model.sent_in_class(case.other),
            case.slots,
            "class {} under overload of {}",
            case.other,
            case.overloaded
        );
    }
    // Urgent requests borrow all slots, and release the guaranteed slots of the heavy class as they end.
    let mut model = Model::new(2, 8, 10_000);
    model.submit_many(5_000, Class::Urgent, "a");
    assert_eq!(model.sent_in_class(Class::Urgent), 16);
    model.submit_many(100, Class::Heavy, "a");
    let served = model.serve(2_000, |class| if class == Class::Heavy { 400 } else { 10 });
    let heavy = served[&(Class::Heavy, "a".into())] as f64 * 400.0;
    let urgent = served[&(Class::Urgent, "a".into())] as f64 * 10.0;
    assert!(heavy / (heavy + urgent) > 0.45, "slot time: heavy {heavy} ms, urgent {urgent} ms");
}

/// Guards against heavy requests that fail immediately: their short run time must not let them borrow urgent slots.
#[test]
fn failing_heavy_requests_do_not_borrow_from_urgent() {
    let mut model = Model::new(2, 8, 1_000);
    let forwards = model.submit_many(200, Class::Heavy, "a");
    for forward in &forwards[..100] {
        model.now = model.now + Duration::from_micros(100);
        model.answer(*forward);
    }
    model.submit_many(20, Class::Urgent, "a");
    assert_eq!(model.sent_in_class(Class::Urgent), 4);
}

/// Guards against a team that gets more slots than its weight while other teams have queued requests.
#[test]
fn teams_share_slots_by_weight() {
    let mut model = Model::new(1, 4, 300);
    model.submit_many(290, Class::Heavy, "a");
    model.submit_many(100, Class::Heavy, "b");
    let served = model.serve(100, |_| 100);
    let b = served[&(Class::Heavy, "b".into())];
    assert!((68..=76).contains(&b), "team b with weight 3 got {b} of 100 slots");
}

/// Guards against a team that fills the queue and so locks out all others.
#[test]
fn full_queue_evicts_requests_of_the_largest_team() {
    let mut model = Model::new(1, 4, 20);
    let first_team = model.submit_many(60, Class::Heavy, "a");
    assert_matches!(model.outcomes(first_team[59])[..], [Outcome::NotRun(Refusal::Overloaded { .. })]);
    let other_team = model.submit_many(5, Class::Heavy, "b");
    assert!(other_team.iter().all(|forward| model.outcomes(*forward).is_empty()));
    let evicted = first_team.iter().filter(|forward| {
        matches!(model.outcomes(**forward)[..], [Outcome::NotRun(Refusal::TeamLimit { .. })])
    });
    assert_eq!(evicted.count(), 5);
    assert_eq!(model.dispatcher.queued(), 20);
}

/// Guards against requests that are accepted although they cannot finish in time, or that run after their deadline.
#[test]
fn requests_that_cannot_meet_their_deadline_are_refused_or_expire() {
    let mut model = Model::new(1, 4, 1_000);
    let first = model.submit_many(4, Class::Heavy, "a");
    model.advance(Duration::from_secs(1));
    model.answer(first[0]);
    model.submit_many(20, Class::Heavy, "a");
    let unmeetable = model.submit(Class::Heavy, "a", Duration::from_secs(3));
    assert_matches!(model.outcomes(unmeetable)[..], [Outcome::NotRun(Refusal::Overloaded { .. })]);
    let queued = model.submit(Class::Heavy, "b", Duration::from_secs(3));
    assert_eq!(model.outcomes(queued), []);
    model.advance(Duration::from_secs(3));
    assert_eq!(model.outcomes(queued), [Outcome::NotRun(Refusal::Expired)]);
}

/// Guards against a failing worker that gets most requests because its slots are always free, and against slow workers.
#[test]
fn failing_and_slow_workers_are_avoided() {
    let mut model = Model::new(4, 2, 1_000);
    for _ in 0..50 {
        let forward = model.submit(Class::Urgent, "a", Duration::from_secs(5));
        model.now = model.now + Duration::from_millis(5);
        match model.sent().last() {
            Some((_, to, _)) if *to == worker(0) => model.handle(DispatchEvent::NotSent { forward }),
            _ => model.answer(forward),
        }
    }
    let failing = model.sent().iter().filter(|(_, to, _)| *to == worker(0)).count();
    assert!(failing <= 4, "failing worker got {failing} of 50 requests");

    let mut model = Model::new(4, 2, 1_000);
    for _ in 0..200 {
        let forward = model.submit(Class::Urgent, "a", Duration::from_secs(5));
        let slow = model.sent().last().is_some_and(|(_, to, _)| *to == worker(0));
        model.now = model.now + Duration::from_millis(if slow { 200 } else { 5 });
        model.answer(forward);
    }
    let slow = model.sent().iter().filter(|(_, to, _)| *to == worker(0)).count();
    assert!(slow <= 20, "slow worker got {slow} of 200 requests");
}

/// Guards against starvation of an old heavy request by newer or more urgent ones.
#[test]
fn old_heavy_request_is_not_starved() {
    let mut model = Model::new(1, 4, 10_000);
    model.submit_many(3_000, Class::Urgent, "b");
    model.submit_many(300, Class::Batch, "b");
    let old = model.submit(Class::Heavy, "a", Duration::from_secs(3_600));
    model.submit_many(100, Class::Heavy, "b");
    model.serve(20, |_| 10);
    assert!(model.sent().iter().any(|(forward, _, _)| *forward == old));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, rng_seed: RngSeed::Fixed(0x6469_7370), ..ProptestConfig::default() })]

    /// Guards against event orders in which a worker holds more requests than its slots under the current share, a
    /// request is sent twice, or a request gets more than one outcome.
    #[test]
    fn slot_limits_hold_under_any_event_order(script in prop::collection::vec((0_u8..12, 0_u64..60, 0_u8..4), 1..300)) {
        let mut model = Model::new(3, 3, 12);
        let mut share = Share::Full;
        let mut running: BTreeMap<ForwardId, WorkerId> = BTreeMap::new();
        let mut seen = 0;
        for (kind, number, choice) in script {
            model.now = model.now + Duration::from_millis(7);
            let forward = ForwardId { front: Incarnation(1), number };
            let class = Class::ALL[usize::from(choice) % 3];
            match kind {
                0..=4 => model.submit_as(forward, class, if choice < 2 { "a" } else { "b" }, Duration::from_secs(2)),
                5 | 6 => {
                    running.remove(&forward);
                    model.answer(forward);
                }
                7 => {
                    running.remove(&forward);
                    model.handle(DispatchEvent::NotSent { forward });
                }
                8 => model.handle(DispatchEvent::Withdraw { forward }),
                9 => {
                    share = [Share::Full, Share::Reduced, Share::Remainder, Share::Nothing][usize::from(choice)];
                    model.handle(grant(EPOCH, share));
                }
                10 => model.handle(DispatchEvent::Draining { worker: worker(0), draining: choice < 2 }),
                _ => model.handle(DispatchEvent::Tick),
            }
            let allowed = match share {
                Share::Full => 3,
                Share::Remainder => 2,
                Share::Reduced => 1,
                Share::Nothing => 0,
            };
            let sent = model.sent();
            for (forward, to, _) in &sent[seen..] {
                prop_assert!(running.insert(*forward, to.clone()).is_none(), "{:?} sent while in flight", forward);
                let held = running.values().filter(|worker| *worker == to).count();
                prop_assert!(held <= allowed, "{} requests in flight on {} under share {:?}", held, to, share);
            }
            seen = sent.len();
        }
        let mut forwards_sent: Vec<ForwardId> = model.sent().iter().map(|(forward, _, _)| *forward).collect();
        forwards_sent.sort();
        forwards_sent.dedup();
        prop_assert_eq!(forwards_sent.len(), seen);
        for number in 0..60 {
            let forward = ForwardId { front: Incarnation(1), number };
            prop_assert!(model.outcomes(forward).len() <= 1);
        }
    }
}
