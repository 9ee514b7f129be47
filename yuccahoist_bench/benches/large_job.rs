//! Cost of a large job at the owner, by number of steps or tasks: its submission, the start of what was placed, the next
//! submission, a cancellation and the restoration by a new owner. The slopes show whether one message can occupy a host.

use std::hint::black_box;
use std::sync::Arc;
use std::time::Duration;

use criterion::{BatchSize, BenchmarkId, Criterion, Throughput, criterion_group, criterion_main};
use yuccahoist::shard::message::{ActiveRun, CallId, Report, Request, WorkerEntry};
use yuccahoist::shard::owner::StoredRecords;
use yuccahoist::shard::record::{Entry, Ownership, Record};
use yuccahoist::shard::spec::{JobSpec, Queue, RecommendationCost, StepSpec};
use yuccahoist::shard::{Action, Epoch, Event, JobKey, Owner, OwnerOptions, WorkerIncarnation};
use yuccahoist::unit::{Resources, Timestamp};

/// Wall-clock time of all events, milliseconds.
const WALL: u64 = 1_790_000_000_000;
/// Workers of the fleet.
const WORKERS: usize = 48;
/// Numbers of steps or tasks.
const SIZES: [u32; 3] = [750, 3_000, 12_000];

/// Owner with the time of its last event and the actions that it has not been answered yet.
struct Fleet {
    now: Timestamp,
    owner: Owner,
    actions: Vec<Action>,
    records: Vec<Entry>,
}

fn incarnation(number: usize) -> WorkerIncarnation {
    WorkerIncarnation::new(&format!("w{number}"), 1)
}

fn options() -> OwnerOptions {
    let ownership = Ownership { epoch: Epoch(1), address: "a:1".into(), host: "a".into() };
    OwnerOptions::new(ownership, Duration::from_secs(10))
}

fn report(active: Vec<ActiveRun>) -> Report {
    Report { started_at: Some(1), clock: 1_000, active, ended: Vec::new() }
}

impl Fleet {
    /// Returns an owner whose workers have reported and have leases.
    fn new(records: StoredRecords) -> Self {
        let now = Timestamp::from_millis(1_000);
        let owner = Owner::restore(options(), records, now, WALL);
        let mut fleet = Self { now, owner, actions: Vec::new(), records: Vec::new() };
        for number in 0..WORKERS {
            fleet.handle(Event::Worker(WorkerEntry {
                incarnation: incarnation(number),
                service: "service".into(),
                address: format!("w{number}:1"),
                zone: "zone".into(),
                rack: Some(format!("rack-{}", number / 8).into()),
                labels: [].into(),
                capacity: Resources::new(16_000, 64_000, 0),
                draining: false,
                remaining: None,
            }));
        }
        for number in 0..WORKERS {
            fleet.handle(Event::LeaseAnswered(incarnation(number), now, Ok(report(Vec::new()))));
        }
        fleet.settle();
        fleet
    }

    /// Returns an owner that has accepted a job and placed what fits into a pass.
    fn with_job(spec: &Arc<JobSpec>) -> Self {
        let mut fleet = Self::new(StoredRecords::default());
        fleet.submit(spec);
        fleet.settle();
        fleet
    }

    fn handle(&mut self, event: Event) {
        self.owner.handle(self.now, WALL, event, &mut self.actions);
    }

    fn submit(&mut self, spec: &Arc<JobSpec>) {
        self.handle(Event::Call(CallId { link: 0, number: 1 }, Request::Submit(JobKey(1), spec.clone())));
    }

    /// Lets time pass for a batch, and confirms the writes and starts that the owner has requested.
    fn settle(&mut self) {
        self.now = self.now + Duration::from_millis(15);
        self.handle(Event::Tick);
        for action in std::mem::take(&mut self.actions) {
            match action {
                Action::Append(entries) => {
                    self.records = entries;
                    self.handle(Event::Stored);
                }
                Action::Start { task, run, incarnation, .. } => {
                    self.handle(Event::Started(task, run, incarnation, Ok(())));
                }
                _ => {}
            }
        }
    }
}

fn job(steps: u32, tasks: u32, after: impl Fn(u32) -> Vec<u32>) -> JobSpec {
    let queue = Queue {
        name: "queue".into(),
        service: "service".into(),
        priority: 1,
        max_failures: 3,
        stretch_factor: 2.0,
        target_latency: Duration::from_secs(1),
        recommendation: None,
    };
    let step = |number| StepSpec {
        tasks,
        resources: Resources::new(1, 1, 0),
        estimate: Duration::from_secs(1),
        after: after(number),
        ..StepSpec::default()
    };
    JobSpec {
        queue,
        payload: "text".into(),
        steps: (0..steps).map(step).collect(),
        repeat: None,
        workspace: None,
    }
}

/// Returns a job of a size.
type Builder = fn(u32) -> JobSpec;

/// Kinds of large jobs, each by its size.
fn kinds() -> [(&'static str, Builder); 5] {
    [
        ("steps", |size| job(size, 1, |_| Vec::new())),
        ("chain", |size| job(size, 1, |n| n.checked_sub(1).into_iter().collect())),
        ("advised_steps", |size| {
            let mut spec = job(size, 1, |_| Vec::new());
            spec.queue.recommendation = Some(RecommendationCost {
                base: Duration::from_millis(440),
                per_worker: Duration::from_millis(6),
                validity: Duration::from_millis(2_500),
            });
            spec
        }),
        ("tasks", |size| job(1, size, |_| Vec::new())),
        ("gang", |size| {
            let mut spec = job(1, size, |_| Vec::new());
            spec.steps[0].gang = true;
            spec
        }),
    ]
}

fn submission(criterion: &mut Criterion) {
    for (kind, job) in kinds() {
        let mut group = criterion.benchmark_group(format!("large_job/{kind}"));
        group.sample_size(10);
        group.warm_up_time(Duration::from_millis(100)).measurement_time(Duration::from_millis(200));
        for size in SIZES {
            let spec = Arc::new(job(size));
            group.throughput(Throughput::Elements(size.into()));
            group.bench_with_input(BenchmarkId::new("submit", size), &spec, |b, spec| {
                let fleet = || Fleet::new(StoredRecords::default());
                b.iter_batched_ref(fleet, |fleet| fleet.submit(spec), BatchSize::PerIteration);
            });
            group.bench_with_input(BenchmarkId::new("place", size), &spec, |b, spec| {
                let fleet = || {
                    let mut fleet = Fleet::new(StoredRecords::default());
                    fleet.submit(spec);
                    fleet
                };
                b.iter_batched_ref(fleet, Fleet::settle, BatchSize::PerIteration);
            });
            group.bench_with_input(BenchmarkId::new("next_submission", size), &spec, |b, spec| {
                let small = Arc::new(self::job(1, 1, |_| Vec::new()));
                let fleet = || Fleet::with_job(spec);
                let submit = |fleet: &mut Fleet| {
                    let request = Request::Submit(JobKey(2), small.clone());
                    fleet.handle(Event::Call(CallId { link: 0, number: 2 }, request));
                };
                b.iter_batched_ref(fleet, submit, BatchSize::PerIteration);
            });
            group.bench_with_input(BenchmarkId::new("cancel", size), &spec, |b, spec| {
                let fleet = || Fleet::with_job(spec);
                let cancel = |fleet: &mut Fleet| {
                    fleet
                        .handle(Event::Call(CallId { link: 0, number: 3 }, Request::Cancel(JobKey(1), None)));
                };
                b.iter_batched_ref(fleet, cancel, BatchSize::PerIteration);
            });
            group.bench_with_input(BenchmarkId::new("restore", size), &spec, |b, spec| {
                let fleet = Fleet::with_job(spec);
                let records = || {
                    let mut records = StoredRecords::default();
                    let decoded = fleet.records.iter().map(|e| Record::try_from(e).expect("own encoding"));
                    decoded.for_each(|record| records.add(record));
                    records
                };
                let restore =
                    |records| black_box(Owner::restore(options(), records, Timestamp::from_millis(1), WALL));
                b.iter_batched(records, restore, BatchSize::PerIteration);
            });
        }
        group.finish();
    }
}

criterion_group!(benches, submission);
criterion_main!(benches);
