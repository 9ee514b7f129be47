//! Cost of one placement decision.

use std::collections::BTreeSet;
use std::time::Instant;

use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use yuccahoist::id::{Attempt, TaskId, TaskIndex};
use yuccahoist::job::{JobKind, Priority, TaskRequest};
use yuccahoist::placement::{JobPlacement, LinearScan, Packing, PlacementPolicy, Slot, WorkerIndex};
use yuccahoist::unit::Resources;

use super::{fleet, name};

/// Decisions for each measurement.
const DECISIONS: u32 = 40_000;
/// Running tasks for each worker: 14,000 on 720 workers.
const TASKS_PER_WORKER: u64 = 19;

/// Cost of one decision.
#[derive(Debug, Clone, Serialize)]
pub struct DecisionCost {
    /// Workers of the fleet.
    pub workers: usize,
    /// Policy and kind of work.
    pub name: String,
    /// Median, microseconds.
    pub p50_us: f64,
    /// 99th percentile, microseconds.
    pub p99_us: f64,
}

/// Index of a fleet with its share of 14,000 running tasks on 720 workers.
#[must_use]
pub fn filled_index(workers: usize, rng: &mut ChaCha8Rng) -> WorkerIndex {
    let mut index = WorkerIndex::default();
    for spec in fleet(workers) {
        let slot = index.insert(spec);
        let capacity = index.entry(slot).spec.capacity;
        let mut used = Resources::ZERO;
        for _ in 0..TASKS_PER_WORKER {
            used += Resources::new(rng.random_range(100..1_400), rng.random_range(256..6_000), 0);
        }
        used.accelerators.0 = rng.random_range(0..=capacity.accelerators.0);
        index.update(slot, capacity.saturating_sub(used), true);
    }
    index
}

/// Order of a kind.
#[must_use]
pub fn task_request(kind: JobKind, rng: &mut ChaCha8Rng) -> TaskRequest {
    TaskRequest {
        task: TaskId { job: name("job"), index: TaskIndex(0) },
        attempt: Attempt::default(),
        team: name("team"),
        kind,
        priority: Priority(0),
        resources: Resources::new(rng.random_range(100..4_000), rng.random_range(256..16_000), 0),
        avoid: BTreeSet::new(),
    }
}

/// Measures decisions with the following change of the index.
#[must_use]
pub fn measure(seed: u64) -> Vec<DecisionCost> {
    let mut costs = Vec::new();
    for workers in [48, 720] {
        for (kind, kind_name) in [(JobKind::Batch, "batch"), (JobKind::Service, "service")] {
            costs.push(one(seed, workers, &Packing, (kind, &format!("packing {kind_name}"))));
        }
        costs.push(one(seed, workers, &LinearScan, (JobKind::Batch, "linear scan batch")));
    }
    costs
}

fn one(
    seed: u64,
    workers: usize,
    policy: &dyn PlacementPolicy,
    (kind, name): (JobKind, &str),
) -> DecisionCost {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut index = filled_index(workers, &mut rng);
    let mut histogram = Histogram::<u64>::new_with_bounds(1, 1_000_000_000, 3).expect("valid bounds");
    let job_placement = JobPlacement::default();
    for _ in 0..DECISIONS {
        let request = task_request(kind, &mut rng);
        let begin = Instant::now();
        let choice = policy.choose(&request, &job_placement, &index, &mut rng);
        let taken = choice.chosen.map(|slot| {
            let free = index.entry(slot).free;
            index.update(slot, free.saturating_sub(request.resources), true);
            (slot, free)
        });
        histogram.saturating_record(u64::try_from(begin.elapsed().as_nanos()).unwrap_or(u64::MAX));
        if let Some((slot, free)) = taken {
            index.update(slot, free, true);
        }
        churn(&mut index, &mut rng);
    }
    let micros = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
    DecisionCost { workers, name: name.into(), p50_us: micros(0.5), p99_us: micros(0.99) }
}

/// Changes the free capacity of one worker, so that decisions differ.
fn churn(index: &mut WorkerIndex, rng: &mut ChaCha8Rng) {
    let slot = Slot(rng.random_range(0..index.entries().len()));
    let capacity = index.entry(slot).spec.capacity;
    let free = Resources::new(
        rng.random_range(0..capacity.cpu.0 / 2),
        rng.random_range(0..capacity.memory.0 / 2),
        capacity.accelerators.0,
    );
    index.update(slot, free, true);
}
