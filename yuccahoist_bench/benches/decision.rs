//! Admission and dispatch of one request, and the fold of each log stream.

use std::hint::black_box;
use std::time::Duration;

use bytes::Bytes;
use criterion::{BatchSize, BenchmarkId, Criterion, Throughput, criterion_group, criterion_main};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use yuccahoist::config::{ConfigFold, ConfigRecord, DocumentName, Edit, Verdict};
use yuccahoist::dispatch::{BackendSpec, ClassLimits, DispatchEvent, DispatchLimits, Dispatcher, ForwardId};
use yuccahoist::id::{Epoch, Incarnation, Offset, RequestId, Revision, ShardId, Subject};
use yuccahoist::intent::{IntentFold, IntentRecord};
use yuccahoist::job::{DEFAULT_ATTEMPTS, JobEnd, JobFold, JobKind, JobRecord, JobSpec, Priority};
use yuccahoist::ownership::{CellFold, CellRecord, Grant, Member, Share};
use yuccahoist::request::{Answer, Class, Request};
use yuccahoist::state_machine::StateMachine;
use yuccahoist::stream::Fold;
use yuccahoist::unit::{Connections, Resources, Slots, Timestamp, WallTime};

/// Wall-clock time at the start.
const WALL: u64 = 1_790_000_000_000;
/// Records of one fold.
const RECORDS: u64 = 1_000;

fn request(number: u64, team: usize) -> Request {
    let mut random = [0; 10];
    random[2..].copy_from_slice(&number.to_be_bytes());
    Request {
        id: RequestId::from_parts(WallTime::from_millis(WALL), random),
        service: "service".parse().expect("valid name"),
        class: Class::Urgent,
        team: format!("team-{team}").parse().expect("valid name"),
        idempotent: true,
        deadline: Timestamp::MAX,
        body: Bytes::from_static(&[b'x'; 200]),
    }
}

/// Owner of one rack of eight workers, whose shard is granted for ever.
fn dispatcher(teams: usize) -> Dispatcher {
    let limits = ClassLimits {
        share: 0.3,
        queue: 1_024,
        run_limit: Duration::from_secs(2),
        deadline_limit: Duration::from_secs(5),
    };
    let limits = DispatchLimits {
        classes: Class::ALL.into_iter().map(|class| (class, limits.clone())).collect(),
        teams: (0..teams).map(|team| (format!("team-{team}").parse().expect("valid name"), 1)).collect(),
    };
    let shard: ShardId = "rack".parse().expect("valid name");
    let worker = |number: u32| BackendSpec {
        worker: format!("rack-{number}").parse().expect("valid name"),
        shard: shard.clone(),
        services: vec!["service".parse().expect("valid name")],
        slots: Slots(8),
        connections: Connections(64),
    };
    let grant = Grant {
        subject: Subject::Shard(shard.clone()),
        epoch: Epoch(1),
        share: Share::Full,
        may_start_tasks: true,
        valid_until: Timestamp::MAX,
        settled_at: Timestamp::ZERO,
    };
    let events = [
        DispatchEvent::Limits(limits),
        DispatchEvent::Backends((1..=8).map(worker).collect()),
        DispatchEvent::Granted { shard: shard.clone(), grant },
    ];
    let mut dispatcher = Dispatcher::default();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for event in events {
        dispatcher.handle(Timestamp::ZERO, event, &mut rng, &mut Vec::new());
    }
    dispatcher
}

fn dispatch(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("dispatch one request");
    for teams in [4, 16, 33] {
        let mut dispatcher = dispatcher(teams);
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let shard: ShardId = "rack".parse().expect("valid name");
        let mut number = 0;
        group.bench_function(BenchmarkId::new("teams", teams), |bencher| {
            bencher.iter(|| {
                number += 1;
                let forward = ForwardId { front: Incarnation(1), number };
                let request = request(number, usize::try_from(number).unwrap_or_default() % teams);
                let mut out = Vec::new();
                let now = Timestamp::from_micros(number);
                let submit = DispatchEvent::Submit { forward, shard: shard.clone(), request };
                dispatcher.handle(now, submit, &mut rng, &mut out);
                let answer = Answer { status: 200, body: Bytes::new() };
                dispatcher.handle(now, DispatchEvent::Answered { forward, answer }, &mut rng, &mut out);
                black_box(out)
            });
        });
    }
    group.finish();
}

/// Folds records from an empty state.
fn fold<F: Fold>(criterion: &mut Criterion, name: &str, empty: impl Fn() -> F, records: &[F::Record]) {
    let mut group = criterion.benchmark_group("fold");
    group.throughput(Throughput::Elements(records.len() as u64));
    group.bench_function(name, |bencher| {
        bencher.iter_batched(
            || (empty(), records.to_vec()),
            |(mut fold, records)| {
                let mut out = Vec::new();
                for (offset, record) in records.into_iter().enumerate() {
                    fold.apply(Offset(offset as u64), Incarnation(1), record, &mut out);
                }
                (fold, out.len())
            },
            BatchSize::LargeInput,
        );
    });
    group.finish();
}

fn cell_records() -> Vec<CellRecord> {
    let member = Member {
        host: "entry-1".parse().expect("valid name"),
        incarnation: Incarnation(1),
        address: "127.0.0.1:4000".parse().expect("valid address"),
        zone: "north".parse().expect("valid name"),
        site: "north".parse().expect("valid name"),
    };
    let mut records = vec![CellRecord::Join { member, previous: None }];
    let claims = (0..12).map(|number| {
        let subject = Subject::Shard(format!("rack-{number}").parse().expect("valid name"));
        CellRecord::Claim { subject, previous: None, read_to: Offset(1) }
    });
    records.extend(claims);
    let epochs: Vec<Epoch> = (1..=12).map(Epoch).collect();
    records.extend((13..RECORDS).map(|at| CellRecord::Renew { epochs: epochs.clone(), read_to: Offset(at) }));
    records
}

fn job_records() -> Vec<JobRecord> {
    let spec = |number: u64| JobSpec {
        id: format!("job-{number}").parse().expect("valid name"),
        kind: JobKind::Batch,
        team: "team-1".parse().expect("valid name"),
        priority: Priority(100),
        tasks: 100,
        resources: Resources::new(1_000, 1_024, 0),
        runtime_ms: None,
        attempts: DEFAULT_ATTEMPTS,
    };
    let pair = |number| {
        let spec = spec(number);
        let job = spec.id.clone();
        [JobRecord::Submitted(spec), JobRecord::Finished { job, end: JobEnd::Succeeded }]
    };
    (0..RECORDS / 2).flat_map(pair).collect()
}

fn intent_records() -> Vec<IntentRecord> {
    let ids = |number: u64| (0..8).map(|id| request(number * 8 + id, 0).id).collect();
    let horizon = WallTime::from_millis(WALL - 900_000);
    (0..RECORDS).map(|number| IntentRecord::Intents { ids: ids(number), horizon }).collect()
}

/// Edits of an overlay, each followed by its verdict.
fn config_records() -> Vec<ConfigRecord> {
    let pair = |number: u64| {
        let edit = Edit {
            document: DocumentName::Site("north".parse().expect("valid name")),
            based_on: Revision(number),
            content: json!({ "limits": { "retry_share": 0.1 } }),
            author: "operator".into(),
            note: String::new(),
            allow_capacity_drop: false,
        };
        let verdict = Verdict { edit: Offset(number * 2), accepted: true, reasons: Vec::new() };
        [ConfigRecord::Edit(Box::new(edit)), ConfigRecord::Verdict(verdict)]
    };
    (0..RECORDS / 2).flat_map(pair).collect()
}

fn folds(criterion: &mut Criterion) {
    fold(criterion, "cell", CellFold::new, &cell_records());
    fold(criterion, "jobs", JobFold::new, &job_records());
    fold(criterion, "intents", || IntentFold::new(Incarnation(1)), &intent_records());
    fold(criterion, "config", ConfigFold::default, &config_records());
}

criterion_group!(benches, dispatch, folds);
criterion_main!(benches);
