//! Tests of the front: outcomes of calls, intents, retries, routing and admission.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use yuccahoist::dispatch::{ForwardId, LoadSummary};
use yuccahoist::front::{CallId, Front, FrontAction, FrontEvent, FrontLimits};
use yuccahoist::id::{Epoch, Incarnation, RequestId, ServiceId, ShardId};
use yuccahoist::request::{Answer, Class, Outcome, Refusal, Request, UnknownReason};
use yuccahoist::state_machine::StateMachine;
use yuccahoist::unit::{Timestamp, WallTime};

const OWN: Incarnation = Incarnation(1);
const OWNERS: [Incarnation; 3] = [Incarnation(11), Incarnation(12), Incarnation(13)];
const START_WALL_MS: u64 = 1_790_000_000_000;

struct Model {
    front: Front,
    rng: ChaCha8Rng,
    now: Timestamp,
    out: Vec<FrontAction>,
}

impl Model {
    fn new() -> Self {
        let mut model = Self {
            front: Front::new(OWN),
            rng: ChaCha8Rng::seed_from_u64(1),
            now: Timestamp::from_millis(10_000),
            out: Vec::new(),
        };
        model.handle(FrontEvent::Limits(limits()));
        model.handle(FrontEvent::LogAvailable(true));
        model.load([8, 8, 8]);
        model
    }

    fn load(&mut self, free: [u32; 3]) {
        for (index, owner) in OWNERS.into_iter().enumerate() {
            self.handle(FrontEvent::Load { owner, shards: vec![summary(index, free[index])] });
        }
    }

    fn handle(&mut self, event: FrontEvent) {
        self.front.handle(self.now, event, &mut self.rng, &mut self.out);
    }

    fn call(&mut self, call: u64, request: Request) {
        self.handle(FrontEvent::Call {
            call: CallId(call),
            wall: WallTime::from_millis(START_WALL_MS),
            request,
        });
    }

    /// Advances the clock with a tick event every 10 ms.
    fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + Duration::from_millis(10);
            self.handle(FrontEvent::Tick);
        }
    }

    fn forwards(&self) -> Vec<(ForwardId, Incarnation)> {
        let forwards = self.out.iter().filter_map(|action| match action {
            FrontAction::Forward { forward, to, .. } => Some((*forward, *to)),
            _ => None,
        });
        forwards.collect()
    }

    fn answers(&self) -> Vec<(u64, Outcome)> {
        let answers = self.out.iter().filter_map(|action| match action {
            FrontAction::Respond { call, outcome, .. } => Some((call.0, outcome.clone())),
            _ => None,
        });
        answers.collect()
    }

    fn appended(&self) -> Vec<Vec<RequestId>> {
        let appended = self.out.iter().filter_map(|action| match action {
            FrontAction::AppendIntents { ids, .. } => Some(ids.clone()),
            _ => None,
        });
        appended.collect()
    }

    fn finish(&mut self, forward: ForwardId, outcome: Outcome) {
        self.handle(FrontEvent::Finished { forward, outcome });
    }
}

fn service() -> ServiceId {
    "drumline".parse().expect("valid name")
}

fn limits() -> FrontLimits {
    FrontLimits {
        services: [service()].into(),
        teams: ["day".parse().expect("valid name")].into(),
        id_window: Duration::from_secs(900),
        clock_skew: Duration::from_secs(2),
        retry_share: 0.1,
        intent_rate: 20,
        intent_batch: 10,
    }
}

fn summary(index: usize, free: u32) -> LoadSummary {
    let shard: ShardId = format!("rack-{index}").parse().expect("valid name");
    let per_class = |value| -> BTreeMap<Class, u32> { Class::ALL.into_iter().map(|c| (c, value)).collect() };
    LoadSummary {
        shard,
        epoch: Epoch(index as u64),
        free: per_class(free),
        wait_ms: per_class(0),
        services: vec![service()],
    }
}

fn request(number: u8, idempotent: bool) -> Request {
    Request {
        id: RequestId::from_parts(WallTime::from_millis(START_WALL_MS), [number; 10]),
        service: service(),
        class: Class::Urgent,
        team: "day".parse().expect("valid name"),
        idempotent,
        deadline: Timestamp::from_millis(12_000),
        body: Bytes::from(vec![number]),
    }
}

fn answer(text: &'static str) -> Outcome {
    Outcome::Answered(Answer { status: 200, body: Bytes::from_static(text.as_bytes()) })
}

/// Guards against an outcome that is wrong about whether the request ran, and against more than one answer per call.
#[test]
fn outcome_of_a_forward_decides_the_answer() {
    type Step = fn(&mut Model);
    struct Case {
        name: &'static str,
        idempotent: bool,
        steps: &'static [Step],
        forwards: usize,
        answers: Vec<Outcome>,
    }
    const LAST_NOT_OWNER: Step = |m| {
        let (forward, _) = *m.forwards().last().expect("at least one forward");
        m.finish(forward, Outcome::NotRun(Refusal::NotOwner));
    };
    const LAST_NOT_SENT: Step = |m| {
        let (forward, _) = *m.forwards().last().expect("at least one forward");
        m.handle(FrontEvent::NotSent { forward });
    };
    const LAST_LOST: Step = |m| {
        let (forward, _) = *m.forwards().last().expect("at least one forward");
        m.handle(FrontEvent::OwnerLost { forward });
    };
    const LAST_BACKEND_LOST: Step = |m| {
        let (forward, _) = *m.forwards().last().expect("at least one forward");
        m.finish(forward, Outcome::Unknown(UnknownReason::BackendLost));
    };
    const LAST_ANSWER: Step = |m| {
        let (forward, _) = *m.forwards().last().expect("at least one forward");
        m.finish(forward, answer("yes"));
    };
    const FIRST_ANSWER: Step = |m| {
        let (forward, _) = m.forwards()[0];
        m.finish(forward, answer("first"));
    };
    const LAST_EXPIRED: Step = |m| {
        let (forward, _) = *m.forwards().last().expect("at least one forward");
        m.finish(forward, Outcome::NotRun(Refusal::Expired));
    };
    const ACCEPT_TIMEOUT: Step = |m| m.advance(Duration::from_millis(320));
    const DEADLINE: Step = |m| m.advance(Duration::from_secs(3));
    let cases = [
        Case {
            name: "duplicate answer",
            idempotent: false,
            steps: &[LAST_ANSWER, LAST_ANSWER],
            forwards: 1,
            answers: vec![answer("yes")],
        },
        Case {
            name: "refused by a host that is not the owner",
            idempotent: false,
            steps: &[LAST_NOT_OWNER, LAST_ANSWER],
            forwards: 2,
            answers: vec![answer("yes")],
        },
        Case {
            name: "not sent",
            idempotent: false,
            steps: &[LAST_NOT_SENT, LAST_ANSWER],
            forwards: 2,
            answers: vec![answer("yes")],
        },
        Case {
            name: "non-idempotent, owner lost",
            idempotent: false,
            steps: &[LAST_LOST],
            forwards: 1,
            answers: vec![Outcome::Unknown(UnknownReason::OwnerLost)],
        },
        Case {
            name: "idempotent, owner lost",
            idempotent: true,
            steps: &[LAST_LOST, LAST_ANSWER],
            forwards: 2,
            answers: vec![answer("yes")],
        },
        Case {
            name: "non-idempotent, backend server lost",
            idempotent: false,
            steps: &[LAST_BACKEND_LOST],
            forwards: 1,
            answers: vec![Outcome::Unknown(UnknownReason::BackendLost)],
        },
        Case {
            name: "idempotent, backend server lost, then expired in the queue",
            idempotent: true,
            steps: &[LAST_BACKEND_LOST, LAST_EXPIRED],
            forwards: 2,
            answers: vec![Outcome::Unknown(UnknownReason::BackendLost)],
        },
        Case {
            name: "non-idempotent, not accepted in time",
            idempotent: false,
            steps: &[ACCEPT_TIMEOUT, LAST_ANSWER],
            forwards: 1,
            answers: vec![answer("yes")],
        },
        Case {
            name: "idempotent, not accepted in time, first owner answers late",
            idempotent: true,
            steps: &[ACCEPT_TIMEOUT, FIRST_ANSWER, LAST_ANSWER],
            forwards: 2,
            answers: vec![answer("first")],
        },
        Case {
            name: "non-idempotent, deadline passes after the forward",
            idempotent: false,
            steps: &[DEADLINE, LAST_ANSWER],
            forwards: 1,
            answers: vec![Outcome::Unknown(UnknownReason::DeadlineAfterDispatch)],
        },
        Case {
            name: "expired in the queue",
            idempotent: false,
            steps: &[LAST_EXPIRED, DEADLINE],
            forwards: 1,
            answers: vec![Outcome::NotRun(Refusal::Expired)],
        },
        Case {
            name: "refused by all owners",
            idempotent: false,
            steps: &[LAST_NOT_OWNER, LAST_NOT_OWNER, LAST_NOT_OWNER],
            forwards: 3,
            answers: vec![Outcome::NotRun(Refusal::NotOwner)],
        },
    ];
    for case in cases {
        let mut model = Model::new();
        let request = request(1, case.idempotent);
        let id = request.id;
        model.call(1, request);
        model.handle(FrontEvent::IntentFirst { id });
        for step in case.steps {
            step(&mut model);
        }
        assert_eq!(model.forwards().len(), case.forwards, "{}", case.name);
        let answers: Vec<Outcome> = model.answers().into_iter().map(|(_, outcome)| outcome).collect();
        assert_eq!(answers, case.answers, "{}", case.name);
        assert!(model.front.is_idle(), "{}", case.name);
    }
}

/// Guards against a forward of a non-idempotent request without the first intent record of its id.
#[test]
fn only_the_first_intent_permits_a_forward() {
    struct Case {
        name: &'static str,
        events: fn(RequestId) -> Vec<FrontEvent>,
        past_deadline: bool,
        forwards: usize,
        answer: Outcome,
    }
    let unknown = Outcome::Unknown(UnknownReason::Duplicate);
    let cases = [
        Case {
            name: "no record read back",
            events: |_| vec![],
            past_deadline: false,
            forwards: 0,
            answer: Outcome::NotRun(Refusal::Expired),
        },
        Case {
            name: "append failed, but takes effect later",
            events: |id| vec![FrontEvent::IntentFailed { ids: vec![id] }, FrontEvent::IntentFirst { id }],
            past_deadline: false,
            forwards: 0,
            answer: Outcome::NotRun(Refusal::LogUnavailable),
        },
        Case {
            name: "log unavailable",
            events: |id| vec![FrontEvent::LogAvailable(false), FrontEvent::IntentFirst { id }],
            past_deadline: false,
            forwards: 0,
            answer: Outcome::NotRun(Refusal::LogUnavailable),
        },
        Case {
            name: "read back after the deadline",
            events: |id| vec![FrontEvent::IntentFirst { id }],
            past_deadline: true,
            forwards: 0,
            answer: Outcome::NotRun(Refusal::Expired),
        },
        Case {
            name: "id below the horizon",
            events: |id| vec![FrontEvent::IntentTooOld { id }],
            past_deadline: false,
            forwards: 0,
            answer: Outcome::NotRun(Refusal::IdTooOld),
        },
        Case {
            name: "first record from a peer, which does not reply",
            events: |id| vec![FrontEvent::IntentDuplicate { id, first: OWNERS[0] }],
            past_deadline: false,
            forwards: 0,
            answer: unknown.clone(),
        },
        Case {
            name: "first record from a peer, which replies repeatedly",
            events: |id| {
                let reply = FrontEvent::AnswerReply { id, outcome: answer("there") };
                let duplicate = FrontEvent::IntentDuplicate { id, first: OWNERS[0] };
                vec![reply.clone(), duplicate, reply.clone(), reply]
            },
            past_deadline: false,
            forwards: 0,
            answer: answer("there"),
        },
        Case {
            name: "first record from this host, entry evicted",
            events: |id| vec![FrontEvent::IntentDuplicate { id, first: OWN }],
            past_deadline: false,
            forwards: 0,
            answer: unknown,
        },
    ];
    for case in cases {
        let mut model = Model::new();
        let request = request(1, false);
        let id = request.id;
        model.call(1, request);
        if case.past_deadline {
            model.advance(Duration::from_secs(3));
        }
        for event in (case.events)(id) {
            model.handle(event);
        }
        model.advance(Duration::from_secs(3));
        assert_eq!(model.forwards().len(), case.forwards, "{}", case.name);
        assert_eq!(model.answers(), [(1, case.answer)], "{}", case.name);
    }
}

/// Guards against a second run for calls with the same id, and against an answer that belongs to another body.
#[test]
fn calls_with_one_id_share_one_run() {
    let mut model = Model::new();
    let first = request(1, false);
    let other = Request { body: Bytes::from_static(b"other"), ..first.clone() };
    model.call(1, first.clone());
    model.call(2, first.clone());
    model.call(3, other.clone());
    model.handle(FrontEvent::IntentFirst { id: first.id });
    model.call(4, first.clone());
    let (forward, _) = model.forwards()[0];
    model.finish(forward, answer("once"));
    model.call(5, first.clone());
    model.call(6, other);
    let reused = Outcome::NotRun(Refusal::IdReused);
    let mut answers = model.answers();
    answers.sort_by_key(|(call, _)| *call);
    let once = answer("once");
    let expected = [once.clone(), once.clone(), reused.clone(), once.clone(), once, reused];
    assert_eq!(answers, (1..).zip(expected).collect::<Vec<_>>());
    assert_eq!((model.forwards().len(), model.appended().len()), (1, 1));
    let query = |digest| FrontEvent::AnswerQuery { from: OWNERS[0], id: first.id, digest };
    model.out.clear();
    model.handle(query(0));
    let refused = Outcome::NotRun(Refusal::IdReused);
    assert_eq!(model.out, [FrontAction::ReplyAnswer { to: OWNERS[0], id: first.id, outcome: refused }]);
}

/// Guards against an id that stays blocked although its request was refused and provably did not run.
#[test]
fn refused_id_may_be_retried() {
    let mut model = Model::new();
    let request = request(1, false);
    model.call(1, request.clone());
    model.handle(FrontEvent::IntentFirst { id: request.id });
    let (forward, _) = model.forwards()[0];
    model.finish(forward, Outcome::NotRun(Refusal::Expired));
    model.call(2, request);
    assert_eq!(model.forwards().len(), 2);
    assert_eq!(model.appended().len(), 1);
}

/// Guards against appends beyond this host's share of the log budget, and against two appends in flight.
#[test]
fn one_append_is_in_flight_within_the_budget() {
    let mut model = Model::new();
    for number in 0..25 {
        model.call(u64::from(number), request(number, false));
    }
    model.advance(Duration::from_millis(100));
    assert_eq!(model.appended().len(), 1);
    let ids = model.appended()[0].clone();
    model.handle(FrontEvent::IntentFailed { ids });
    model.advance(Duration::from_millis(50));
    assert_eq!(model.appended().iter().map(Vec::len).collect::<Vec<_>>(), [1, 10]);
    // 20 appends per second of 10 ids each permit at most 400 ids before the deadline, 2 s after the start.
    for number in 0..500_u64 {
        let mut request = request(0, false);
        request.id = RequestId::from_parts(WallTime::from_millis(START_WALL_MS + number), [9; 10]);
        model.call(1_000 + number, request);
    }
    let refused = model
        .answers()
        .into_iter()
        .filter(|(_, outcome)| matches!(outcome, Outcome::NotRun(Refusal::IntentBudget { .. })));
    assert!(refused.count() > 100);
}

/// Guards against retries that amplify the load during a failure of all owners.
#[test]
fn retries_stop_when_the_budget_is_exhausted() {
    let mut model = Model::new();
    for number in 0..100 {
        model.call(u64::from(number), request(number, true));
        while model.answers().len() <= usize::from(number) {
            let (forward, _) = *model.forwards().last().expect("at least one forward");
            model.handle(FrontEvent::OwnerLost { forward });
        }
        model.load([8, 8, 8]);
    }
    assert!(model.forwards().len() <= 100 + 10, "{} forwards for 100 calls", model.forwards().len());
    assert_eq!(model.answers().len(), 100);
}

/// Guards against unbounded memory use by retained answers.
#[test]
fn memory_of_retained_answers_is_bounded() {
    let mut model = Model::new();
    let body = Bytes::from(vec![0; 1 << 20]);
    for number in 0..64 {
        let request = request(number, false);
        model.call(u64::from(number), request.clone());
        model.handle(FrontEvent::IntentFirst { id: request.id });
        let (forward, _) = *model.forwards().last().expect("at least one forward");
        model.finish(forward, Outcome::Answered(Answer { status: 200, body: body.clone() }));
        model.load([8, 8, 8]);
        model.advance(Duration::from_millis(10));
    }
    assert!(model.front.retained_bytes() <= 16 << 20, "{} bytes retained", model.front.retained_bytes());
    model.out.clear();
    let old = request(0, false);
    model.call(100, old.clone());
    model.handle(FrontEvent::IntentDuplicate { id: old.id, first: OWN });
    assert_eq!(model.answers(), [(100, Outcome::Unknown(UnknownReason::Duplicate))]);
}

/// Guards against sending all requests to the same owner until its next load summary.
#[test]
fn forwards_are_spread_over_owners() {
    let mut model = Model::new();
    model.load([8, 8, 2]);
    for number in 0..18 {
        model.call(u64::from(number), request(number, true));
    }
    let mut per_owner: BTreeMap<Incarnation, usize> = BTreeMap::new();
    for (_, owner) in model.forwards() {
        *per_owner.entry(owner).or_default() += 1;
    }
    assert!(per_owner.values().all(|count| *count <= 9), "{per_owner:?}");
    assert!(per_owner.get(&OWNERS[2]).copied().unwrap_or(0) <= 3, "{per_owner:?}");
}

/// Guards against accepting calls that cannot be served, and against dropping open calls meanwhile.
#[test]
fn unservable_calls_are_refused_on_arrival() {
    struct Case {
        name: &'static str,
        change: fn(&mut Model, &mut Request),
        refusal: Refusal,
    }
    let cases = [
        Case {
            name: "stopping",
            change: |model, _| model.handle(FrontEvent::Stop),
            refusal: Refusal::Stopping,
        },
        Case {
            name: "unknown service",
            change: |_, request| request.service = "other".parse().expect("valid name"),
            refusal: Refusal::UnknownService,
        },
        Case {
            name: "unknown team",
            change: |_, request| request.team = "other".parse().expect("valid name"),
            refusal: Refusal::UnknownTeam,
        },
        Case {
            name: "old id",
            change: |_, request| {
                request.id = RequestId::from_parts(WallTime::from_millis(START_WALL_MS - 900_001), [1; 10]);
            },
            refusal: Refusal::IdTooOld,
        },
        Case {
            name: "id in the future",
            change: |_, request| {
                request.id = RequestId::from_parts(WallTime::from_millis(START_WALL_MS + 2_001), [1; 10]);
            },
            refusal: Refusal::IdInFuture,
        },
        Case {
            name: "deadline passed",
            change: |_, request| request.deadline = Timestamp::from_millis(10_000),
            refusal: Refusal::Expired,
        },
        Case {
            name: "log unavailable",
            change: |model, _| model.handle(FrontEvent::LogAvailable(false)),
            refusal: Refusal::LogUnavailable,
        },
    ];
    for case in cases {
        let mut model = Model::new();
        let open = request(9, true);
        model.call(9, open);
        let mut request = request(1, false);
        (case.change)(&mut model, &mut request);
        model.call(1, request);
        assert_eq!(model.answers(), [(1, Outcome::NotRun(case.refusal))], "{}", case.name);
        let (forward, _) = model.forwards()[0];
        model.finish(forward, answer("still served"));
        assert_eq!(model.answers()[1], (9, answer("still served")), "{}", case.name);
    }
}

/// Guards against calls that wait until their deadline for the answer of a failed host.
#[test]
fn duplicate_of_a_suspected_host_is_answered_unknown_at_once() {
    let mut model = Model::new();
    let request = request(1, false);
    let first = OWNERS[2];
    model.call(1, request.clone());
    model.handle(FrontEvent::IntentDuplicate { id: request.id, first });
    model.advance(Duration::from_millis(300));
    assert_eq!(model.answers(), []);
    model.handle(FrontEvent::Suspected { incarnation: first, suspected: true });
    model.advance(Duration::from_millis(300));
    assert_eq!(model.answers(), [(1, Outcome::Unknown(UnknownReason::Duplicate))]);
    model.handle(FrontEvent::Suspected { incarnation: first, suspected: false });
    model.call(2, request.clone());
    model.handle(FrontEvent::AnswerReply { id: request.id, outcome: answer("once") });
    assert_eq!(model.answers().last(), Some(&(2, answer("once"))));
}
