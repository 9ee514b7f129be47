//! Cost of the placement decision over workers and running tasks, against a linear scan.

use std::collections::BTreeSet;
use std::hint::black_box;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use yuccahoist::id::{Attempt, Epoch, Incarnation, PartitionId, Subject, TaskId, TaskIndex};
use yuccahoist::job::{JobKind, Priority, ShardRequest, ShardRequestBody, TaskRequest};
use yuccahoist::ownership::{Grant, Share};
use yuccahoist::placement::{
    Inventory, InventoryTask, JobPlacement, LinearScan, Packing, Placement, PlacementAction, PlacementEvent,
    PlacementPolicy, TaskStart, WorkerSpec, WorkerTaskState,
};
use yuccahoist::state_machine::StateMachine;
use yuccahoist::unit::{Resources, Timestamp};
use yuccahoist_bench::packing::filled_index;

fn task_request(kind: JobKind, counter: u64) -> TaskRequest {
    TaskRequest {
        task: TaskId { job: "job".parse().expect("name"), index: TaskIndex(0) },
        attempt: Attempt { epoch: Epoch(1), counter },
        team: "team".parse().expect("name"),
        kind,
        priority: Priority(0),
        resources: Resources::new(500, 512, 0),
        avoid: BTreeSet::new(),
    }
}

fn choose(c: &mut Criterion) {
    let mut group = c.benchmark_group("choose");
    for workers in [48, 180, 720, 2_880] {
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let index = filled_index(workers, &mut rng);
        let job_placement = JobPlacement::default();
        let cases: [(&str, JobKind, &dyn PlacementPolicy); 3] = [
            ("packing-batch", JobKind::Batch, &Packing),
            ("packing-service", JobKind::Service, &Packing),
            ("linear-scan-batch", JobKind::Batch, &LinearScan),
        ];
        for (name, kind, policy) in cases {
            let request = task_request(kind, 0);
            group.bench_with_input(BenchmarkId::new(name, workers), &index, |b, index| {
                b.iter(|| black_box(policy.choose(&request, &job_placement, index, &mut rng)));
            });
        }
    }
    group.finish();
}

/// Shard owner of all racks with running tasks on each worker.
fn owner(workers: usize, tasks: u64) -> (Placement, Timestamp) {
    let mut placement = Placement::new();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let now = Timestamp::from_millis(100_000);
    let mut out = Vec::new();
    let spec = |number: usize| WorkerSpec {
        worker: format!("w-{number:05}").parse().expect("name"),
        shard: format!("rack-{:04}", number / 8).parse().expect("name"),
        zone: "zone".parse().expect("name"),
        capacity: Resources::new(64_000, 262_144, 0),
    };
    placement.handle(now, PlacementEvent::Workers((0..workers).map(spec).collect()), &mut rng, &mut out);
    let partitions = [("team".parse().expect("name"), PartitionId(0))].into();
    placement.handle(now, PlacementEvent::Partitions(partitions), &mut rng, &mut out);
    for rack in 0..workers / 8 {
        let shard: yuccahoist::id::ShardId = format!("rack-{rack:04}").parse().expect("name");
        let subject = Subject::Shard(shard.clone());
        let (valid_until, settled_at) = (Timestamp::MAX, Timestamp::ZERO);
        let grant = Grant {
            subject,
            epoch: Epoch(1),
            share: Share::Full,
            may_start_tasks: true,
            valid_until,
            settled_at,
        };
        placement.handle(now, PlacementEvent::Granted { shard, grant }, &mut rng, &mut out);
    }
    let mut counter = 0;
    for action in out {
        let PlacementAction::Command { worker, ticket, .. } = action else { continue };
        let task = |counter: u64| InventoryTask {
            start: TaskStart {
                epoch: Epoch(1),
                task: TaskId { job: format!("job-{counter}").parse().expect("name"), index: TaskIndex(0) },
                attempt: Attempt { epoch: Epoch(1), counter },
                team: "team".parse().expect("name"),
                kind: JobKind::Batch,
                priority: Priority(0),
                resources: Resources::new(500, 512, 0),
                lease_ms: 30_000,
            },
            state: WorkerTaskState::Running,
            usage: None,
        };
        let inventory = Inventory { tasks: (counter..counter + tasks).map(task).collect() };
        counter += tasks;
        placement.handle(
            now,
            PlacementEvent::CommandSucceeded { worker, ticket, inventory },
            &mut rng,
            &mut Vec::new(),
        );
    }
    (placement, now)
}

fn reserve(c: &mut Criterion) {
    let mut group = c.benchmark_group("reserve-release");
    group.measurement_time(Duration::from_secs(3));
    // Workers, and running tasks of each: 14,000 tasks on 720 workers in the middle.
    for (workers, tasks) in [(48, 19), (720, 5), (720, 19), (720, 76)] {
        let (mut placement, now) = owner(workers, tasks);
        let mut rng = ChaCha8Rng::seed_from_u64(2);
        let mut number = 0;
        let name = format!("{workers}-workers");
        group.bench_function(BenchmarkId::new(name, workers as u64 * tasks), |b| {
            b.iter(|| {
                number += 1;
                let mut out = Vec::new();
                let tasks = vec![task_request(JobKind::Batch, 1_000_000 + number)];
                let lifetime = Duration::from_secs(2);
                let bodies = [
                    ShardRequestBody::Reserve { reservation: number, tasks, partial: true, lifetime },
                    ShardRequestBody::Release { reservation: number },
                ];
                for body in bodies {
                    let shard = "rack-0003".parse().expect("name");
                    let request = ShardRequest { partition: PartitionId(0), epoch: Epoch(1), shard, body };
                    let event = PlacementEvent::Request { from: Incarnation(1), request };
                    placement.handle(now, event, &mut rng, &mut out);
                }
                black_box(out)
            });
        });
    }
    group.finish();
}

criterion_group!(benches, choose, reserve);
criterion_main!(benches);
