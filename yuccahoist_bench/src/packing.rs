//! Packing experiment: our placement policy, first fit and random side by side.
//!
//! Each trial fills a fleet with the same stream of jobs under each policy, until the first task or gang that could run
//! on an empty fleet has to wait. Tasks end and are replaced meanwhile; declared sizes are off by up to 4 times; some
//! workers fail everything; some jobs can never run; cancellations come in waves. A second part drives the coordinator
//! and the shard owner themselves and measures the start of urgent work and the work lost by preemption.

mod decision;
mod product;
mod workload;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use argh::FromArgs;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use yuccahoist::health::WorkerHealth;
use yuccahoist::id::{Attempt, TaskId, TaskIndex, WorkerId};
use yuccahoist::job::{JobKind, Priority, TaskRequest};
use yuccahoist::placement::{
    FirstFit, JobPlacement, Packing, PlacementPolicy, RandomFit, Slot, WorkerIndex, WorkerSpec,
};
use yuccahoist::unit::{Resources, Timestamp};

pub use self::decision::{DecisionCost, filled_index, measure as measure_decisions};
pub use self::product::ProductReport;
use self::workload::{Arrival, Workload};

/// Trials for each fleet size.
const TRIALS: u64 = 9;
/// Fleet sizes, workers.
const SIZES: [usize; 2] = [48, 720];
/// Name of our policy.
const OURS: &str = "packing";
/// Waits after which a trial ends.
const WAITS: usize = 20;

/// Runs the packing experiment.
#[derive(Debug, Clone, FromArgs)]
#[argh(subcommand, name = "packing")]
pub struct PackingCommand {
    /// seed of the workload (default 1)
    #[argh(option, default = "1")]
    pub seed: u64,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Result of the experiment.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// Seed.
    pub seed: u64,
    /// Packing per fleet size and policy.
    pub packing: Vec<PolicyReport>,
    /// Cost of one decision.
    pub decisions: Vec<DecisionCost>,
    /// Coordinator and shard owner under a full fleet.
    pub product: ProductReport,
}

/// Packing of one policy.
#[derive(Debug, Clone, Serialize)]
pub struct PolicyReport {
    /// Workers of the fleet.
    pub workers: usize,
    /// Policy.
    pub policy: &'static str,
    /// Median share of processors granted when the first task or gang waits.
    pub first_wait: f64,
    /// Lowest of the trials.
    pub first_wait_low: f64,
    /// Median share of processors in use by the tasks themselves at that time.
    pub first_wait_used: f64,
    /// Median share of processors granted when a task of up to half a worker waits, or a gang of up to a quarter of the fleet.
    pub twentieth_wait: f64,
    /// Trials in which a gang was the first to wait.
    pub gangs_first: usize,
    /// Trials in which work with accelerators was the first to wait.
    pub accelerated_first: usize,
    /// Median number of tasks that failed on sick workers in a trial.
    pub sick_failures: f64,
    /// Median processor time that sick workers took in a trial, core-seconds.
    pub sick_lost_s: f64,
    /// Median share of the sick workers that were isolated in a trial.
    pub sick_isolated: f64,
    /// Healthy workers isolated in all trials.
    pub healthy_isolated: usize,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "seed {}", self.seed)?;
        writeln!(f, "workers policy     first-wait  lowest  in-use  20th-wait  gang-first acc-first")?;
        for row in &self.packing {
            writeln!(
                f,
                "{:>7} {:<10} {:>9.1}% {:>6.1}% {:>6.1}% {:>9.1}% {:>8}/{TRIALS} {:>6}/{TRIALS}",
                row.workers,
                row.policy,
                row.first_wait * 100.0,
                row.first_wait_low * 100.0,
                row.first_wait_used * 100.0,
                row.twentieth_wait * 100.0,
                row.gangs_first,
                row.accelerated_first,
            )?;
        }
        writeln!(f, "workers policy     sick-failures  lost core-s  sick-isolated  healthy-isolated")?;
        for row in &self.packing {
            writeln!(
                f,
                "{:>7} {:<10} {:>13.0} {:>12.1} {:>13.0}% {:>17}",
                row.workers,
                row.policy,
                row.sick_failures,
                row.sick_lost_s,
                row.sick_isolated * 100.0,
                row.healthy_isolated,
            )?;
        }
        writeln!(f, "workers decision             p50 us   p99 us")?;
        for row in &self.decisions {
            writeln!(f, "{:>7} {:<20} {:>7.2} {:>8.2}", row.workers, row.name, row.p50_us, row.p99_us)?;
        }
        write!(f, "{}", self.product)
    }
}

/// Runs the experiment.
#[must_use]
pub fn run(seed: u64) -> Report {
    let mut packing = Vec::new();
    for workers in SIZES {
        packing.push(trials(seed, workers, OURS, || Box::new(Packing)));
        packing.push(trials(seed, workers, "first fit", || Box::new(FirstFit)));
        packing.push(trials(seed, workers, "random", || Box::new(RandomFit)));
    }
    Report { seed, packing, decisions: decision::measure(seed), product: product::run(seed) }
}

fn trials(
    seed: u64,
    workers: usize,
    name: &'static str,
    policy: fn() -> Box<dyn PlacementPolicy>,
) -> PolicyReport {
    let outcomes: Vec<_> = (0..TRIALS)
        .map(|trial| Trial::new(seed * 1_000 + trial, workers, policy(), name == OURS).run())
        .collect();
    let sorted = |part: fn(&Outcome) -> f64| {
        let mut parts: Vec<_> = outcomes.iter().map(part).collect();
        parts.sort_by(f64::total_cmp);
        parts
    };
    let median = |part: fn(&Outcome) -> f64| sorted(part)[outcomes.len() / 2];
    PolicyReport {
        workers,
        policy: name,
        first_wait: median(|outcome| outcome.first),
        first_wait_low: sorted(|outcome| outcome.first)[0],
        first_wait_used: median(|outcome| outcome.used),
        twentieth_wait: median(|outcome| outcome.twentieth),
        gangs_first: outcomes.iter().filter(|outcome| outcome.gang).count(),
        accelerated_first: outcomes.iter().filter(|outcome| outcome.accelerated).count(),
        sick_failures: median(|outcome| outcome.sick_failures),
        sick_lost_s: median(|outcome| outcome.sick_lost_s),
        sick_isolated: median(|outcome| outcome.sick_isolated),
        healthy_isolated: outcomes.iter().map(|outcome| outcome.healthy_isolated).sum(),
    }
}

/// Result of one trial.
#[derive(Debug, Default)]
struct Outcome {
    first: f64,
    used: f64,
    twentieth: f64,
    gang: bool,
    accelerated: bool,
    sick_failures: f64,
    sick_lost_s: f64,
    sick_isolated: f64,
    healthy_isolated: usize,
}

/// Task that runs.
#[derive(Debug)]
struct Running {
    slot: Slot,
    request: TaskRequest,
    charged: Resources,
    used: Resources,
}

/// One policy on one stream of jobs.
struct Trial {
    workload: Workload,
    policy: Box<dyn PlacementPolicy>,
    gangs_by_rack: bool,
    index: WorkerIndex,
    charged: Vec<Resources>,
    running: BTreeMap<u64, Running>,
    ends: BTreeSet<(u64, u64)>,
    reports: BTreeSet<(u64, u64)>,
    sick: BTreeSet<WorkerId>,
    isolated: BTreeSet<WorkerId>,
    sick_failures: u32,
    sick_lost: u64,
    health: WorkerHealth,
    rng: ChaCha8Rng,
    now: u64,
    number: u64,
}

/// Time after which a usage report arrives, seconds.
const REPORT_LAG: u64 = 15;
/// Time after which a task on a sick worker fails, seconds.
const SICK_RUN: u64 = 10;
/// Failures after which a task is given up.
const ATTEMPTS: usize = 5;

impl Trial {
    fn new(seed: u64, workers: usize, policy: Box<dyn PlacementPolicy>, gangs_by_rack: bool) -> Self {
        let workload = Workload::new(seed, workers);
        let mut index = WorkerIndex::default();
        let mut health = WorkerHealth::default();
        for spec in workload.workers() {
            health.add(&spec.worker);
            let (slot, capacity) = (index.insert(spec.clone()), spec.capacity);
            index.update(slot, capacity, true);
        }
        let sick = workload.sick().into_iter().collect();
        Self {
            charged: vec![Resources::ZERO; workers],
            workload,
            policy,
            gangs_by_rack,
            index,
            running: BTreeMap::new(),
            ends: BTreeSet::new(),
            reports: BTreeSet::new(),
            sick,
            isolated: BTreeSet::new(),
            sick_failures: 0,
            sick_lost: 0,
            health,
            rng: ChaCha8Rng::seed_from_u64(seed ^ 0x5eed),
            now: 0,
            number: 0,
        }
    }

    fn run(mut self) -> Outcome {
        let mut outcome = Outcome::default();
        let mut waits = 0;
        loop {
            let arrival = self.workload.next();
            self.advance(arrival.at);
            if arrival.cancel_wave {
                self.cancel();
            }
            if self.place_job(&arrival) {
                continue;
            }
            if !arrival.possible {
                continue;
            }
            waits += 1;
            if waits == 1 {
                outcome.first = self.granted();
                outcome.used = self.used();
                outcome.gang = arrival.kind == JobKind::Gang;
                outcome.accelerated = arrival.resources.accelerators.0 > 0;
            }
            if waits == WAITS {
                outcome.twentieth = self.granted();
                outcome.sick_failures = f64::from(self.sick_failures);
                outcome.sick_lost_s = self.sick_lost as f64 / 1_000.0;
                let found = self.isolated.intersection(&self.sick).count();
                outcome.sick_isolated = found as f64 / self.sick.len() as f64;
                outcome.healthy_isolated = self.isolated.len() - found;
                return outcome;
            }
        }
    }

    fn capacity(&self) -> u64 {
        self.index.entries().iter().map(|entry| entry.spec.capacity.cpu.0).sum()
    }

    fn granted(&self) -> f64 {
        let granted: u64 = self.running.values().map(|task| task.request.resources.cpu.0).sum();
        granted as f64 / self.capacity() as f64
    }

    fn used(&self) -> f64 {
        let mut used = vec![0; self.charged.len()];
        for task in self.running.values() {
            used[task.slot.0] += task.used.cpu.0;
        }
        // A worker cannot give more than it has, whatever its tasks would like to use.
        let capped =
            used.iter().zip(self.index.entries()).map(|(used, entry)| entry.spec.capacity.cpu.0.min(*used));
        capped.sum::<u64>() as f64 / self.capacity() as f64
    }

    /// Ends tasks and takes over usage reports up to a time.
    fn advance(&mut self, to: u64) {
        loop {
            let end = self.ends.first().copied().filter(|(at, _)| *at <= to);
            let report = self.reports.first().copied().filter(|(at, _)| *at <= to);
            match (end, report) {
                (Some(end), report) if report.is_none_or(|report| end.0 <= report.0) => {
                    self.ends.remove(&end);
                    self.now = end.0;
                    self.end(end.1);
                }
                (_, Some(report)) => {
                    self.reports.remove(&report);
                    self.report(report.1);
                }
                _ => break,
            }
        }
        self.now = to;
    }

    fn refresh(&mut self, slot: Slot) {
        let entry = self.index.entry(slot);
        let now = Timestamp::from_millis(self.now * 1_000);
        let open = !self.health.is_isolated(now, &entry.spec.worker);
        let free = entry.spec.capacity.saturating_sub(self.charged[slot.0]);
        self.index.update(slot, free, open);
    }

    fn report(&mut self, number: u64) {
        let Some(task) = self.running.get_mut(&number) else { return };
        let charged = task.charged.max(task.used);
        self.charged[task.slot.0] -= task.charged;
        self.charged[task.slot.0] += charged;
        task.charged = charged;
        let slot = task.slot;
        self.refresh(slot);
    }

    fn end(&mut self, number: u64) {
        let Some(task) = self.running.remove(&number) else { return };
        self.charged[task.slot.0] -= task.charged;
        let worker = self.index.entry(task.slot).spec.worker.clone();
        let now = Timestamp::from_millis(self.now * 1_000);
        let job = &task.request.task.job;
        if !self.sick.contains(&worker) {
            self.health.record_success(&worker, job);
            self.refresh(task.slot);
            return;
        }
        self.sick_failures += 1;
        self.sick_lost += task.request.resources.cpu.0 * SICK_RUN;
        if self.health.record_failure(now, &worker, job) {
            self.isolated.insert(worker.clone());
        }
        self.refresh(task.slot);
        let mut request = task.request;
        request.avoid.insert(worker);
        if request.avoid.len() >= ATTEMPTS {
            return;
        }
        self.place(&request, &mut JobPlacement::default());
    }

    fn cancel(&mut self) {
        let batch = self.running.iter().filter(|(_, task)| task.request.kind == JobKind::Batch);
        let cancelled: Vec<_> = batch.map(|(number, _)| *number).step_by(5).collect();
        for number in cancelled {
            let Some(task) = self.running.remove(&number) else { continue };
            self.charged[task.slot.0] -= task.charged;
            self.refresh(task.slot);
        }
    }

    /// Places all tasks of a job; a gang all or none.
    fn place_job(&mut self, arrival: &Arrival) -> bool {
        let mut job_placement = JobPlacement::default();
        let mut numbers = Vec::new();
        // The baselines place the members of a gang one by one, as any other task.
        let by_rack = arrival.kind == JobKind::Gang && self.gangs_by_rack;
        let racks = match arrival.kind {
            JobKind::Gang if by_rack => {
                self.policy.gang_racks(&self.task_request(arrival, 0), arrival.tasks, &self.index)
            }
            _ => Vec::new(),
        };
        let mut racks = racks.into_iter().flat_map(|(rack, room)| (0..room).map(move |_| rack.clone()));
        for index in 0..arrival.tasks {
            let request = self.task_request(arrival, index);
            let placed = match racks.next() {
                Some(rack) => self.place_in(&rack, &request),
                None if by_rack => None,
                None => self.place(&request, &mut job_placement),
            };
            match placed {
                Some(number) => numbers.push(number),
                None => {
                    if arrival.kind == JobKind::Gang {
                        for number in numbers {
                            let Some(task) = self.running.remove(&number) else { continue };
                            self.charged[task.slot.0] -= task.charged;
                            self.refresh(task.slot);
                        }
                    }
                    return false;
                }
            }
        }
        true
    }

    fn task_request(&self, arrival: &Arrival, index: u32) -> TaskRequest {
        TaskRequest {
            task: TaskId { job: arrival.job.clone(), index: TaskIndex(index) },
            attempt: Attempt::default(),
            team: arrival.team.clone(),
            kind: arrival.kind,
            priority: Priority(0),
            resources: arrival.resources,
            avoid: BTreeSet::new(),
        }
    }

    fn place(&mut self, request: &TaskRequest, job_placement: &mut JobPlacement) -> Option<u64> {
        let slot = self.policy.choose(request, job_placement, &self.index, &mut self.rng).chosen?;
        job_placement.add(self.index.entry(slot));
        Some(self.start(slot, request))
    }

    /// Places a gang member in a rack, on the fullest worker.
    fn place_in(&mut self, rack: &yuccahoist::id::ShardId, request: &TaskRequest) -> Option<u64> {
        let workers = self.index.rack(rack, request.resources);
        let (slot, _) = workers.min_by_key(|(slot, entry)| (entry.free.cpu, *slot))?;
        Some(self.start(slot, request))
    }

    fn start(&mut self, slot: Slot, request: &TaskRequest) -> u64 {
        self.number += 1;
        let sick = self.sick.contains(&self.index.entry(slot).spec.worker);
        let (run, used) = self.workload.truth(request, &mut self.rng);
        if sick {
            self.ends.insert((self.now + SICK_RUN, self.number));
        } else if request.kind != JobKind::Service {
            self.ends.insert((self.now + run, self.number));
        }
        self.reports.insert((self.now + REPORT_LAG, self.number));
        self.charged[slot.0] += request.resources;
        let charged = request.resources;
        self.running.insert(self.number, Running { slot, request: request.clone(), charged, used });
        self.refresh(slot);
        self.number
    }
}

/// Workers of a fleet, in racks of eight; every third rack has accelerators.
pub(crate) fn fleet(workers: usize) -> Vec<WorkerSpec> {
    let spec = |number: usize| {
        let rack = number / 8;
        let accelerators = if rack % 3 == 2 { 5 } else { 0 };
        WorkerSpec {
            worker: name(&format!("w-{number:04}")),
            shard: name(&format!("rack-{rack:03}")),
            zone: name(&format!("zone-{}", rack % 4)),
            capacity: Resources::new(16_000, 65_536, accelerators),
        }
    };
    (0..workers).map(spec).collect()
}

pub(crate) fn name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: fmt::Debug,
{
    text.parse().expect("generated name is valid")
}
