//! Stream of jobs that is the same for every policy.

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yuccahoist::id::{JobId, TeamId, WorkerId};
use yuccahoist::job::{JobKind, TaskRequest};
use yuccahoist::placement::{WorkerSpec, fitting_tasks};
use yuccahoist::unit::{CpuMillis, MemoryMib, Resources};

use super::{fleet, name};

/// Mean run time of a task, seconds.
const RUN: f64 = 600.0;
/// Factor by which declared sizes are off at most.
const SIZE_ERROR: f64 = 4.0;
/// Arrivals between waves of cancellations.
const WAVE: u64 = 60;
/// Arrivals between jobs that can never run.
const NEVER: u64 = 40;
/// Workers for each sick one.
const SICK: usize = 24;

/// Job that arrives.
#[derive(Debug, Clone)]
pub(super) struct Arrival {
    pub at: u64,
    pub job: JobId,
    pub team: TeamId,
    pub kind: JobKind,
    pub tasks: u32,
    pub resources: Resources,
    /// Whether it could run on an empty fleet.
    pub possible: bool,
    /// Whether a wave of cancellations comes first.
    pub cancel_wave: bool,
}

/// Generator of jobs.
#[derive(Debug)]
pub(super) struct Workload {
    rng: ChaCha8Rng,
    workers: Vec<WorkerSpec>,
    number: u64,
    at: f64,
    gap: f64,
}

impl Workload {
    pub fn new(seed: u64, workers: usize) -> Self {
        // At this rate a fleet of any size fills within a few mean run times.
        let gap = 700.0 / workers as f64;
        Self { rng: ChaCha8Rng::seed_from_u64(seed), workers: fleet(workers), number: 0, at: 0.0, gap }
    }

    pub fn workers(&self) -> &[WorkerSpec] {
        &self.workers
    }

    pub fn sick(&self) -> Vec<WorkerId> {
        self.workers.iter().skip(5).step_by(SICK).map(|spec| spec.worker.clone()).collect()
    }

    pub fn next(&mut self) -> Arrival {
        self.number += 1;
        self.at += self.gap * -self.rng.random_range(f64::EPSILON..1.0).ln();
        let (kind, tasks, resources) = self.shape();
        let never = self.number % NEVER == NEVER / 2;
        let resources = if never { resources.times(100) } else { resources };
        let room: u32 = self.workers.iter().map(|spec| fitting_tasks(resources, spec.capacity)).sum();
        Arrival {
            at: self.at as u64,
            job: name(&format!("job-{}", self.number)),
            team: name(&format!("team-{}", self.number % 33)),
            kind,
            tasks,
            resources,
            possible: room >= if kind == JobKind::Gang { tasks } else { 1 },
            cancel_wave: self.number.is_multiple_of(WAVE),
        }
    }

    fn shape(&mut self) -> (JobKind, u32, Resources) {
        let rng = &mut self.rng;
        let draw = rng.random_range(0..100);
        let size = |rng: &mut ChaCha8Rng, cores: (f64, f64), memory: (f64, f64)| {
            let cpu = log_uniform(rng, cores.0, cores.1) * 1_000.0;
            let memory = log_uniform(rng, memory.0, memory.1) * 1_024.0;
            Resources::new(cpu as u64, memory as u64, 0)
        };
        match draw {
            0..15 => (JobKind::Service, rng.random_range(2..6), size(rng, (0.5, 4.0), (1.0, 12.0))),
            15..75 => (JobKind::Batch, rng.random_range(1..16), size(rng, (0.25, 8.0), (0.5, 24.0))),
            75..90 => (JobKind::Gang, rng.random_range(4..16), size(rng, (1.0, 8.0), (2.0, 24.0))),
            _ => {
                let mut resources = size(rng, (0.5, 3.0), (1.0, 8.0));
                resources.accelerators.0 = rng.random_range(1..4);
                (JobKind::Batch, rng.random_range(1..6), resources)
            }
        }
    }

    /// Actual run time, seconds, and use, which the declaration misses by up to 4 times.
    pub fn truth(&self, request: &TaskRequest, rng: &mut dyn Rng) -> (u64, Resources) {
        let run = -RUN * rng.random_range(f64::EPSILON..1.0).ln();
        let factor = log_uniform(rng, 1.0 / SIZE_ERROR, SIZE_ERROR);
        let declared = request.resources;
        let cpu = CpuMillis((declared.cpu.0 as f64 * factor) as u64);
        let memory = MemoryMib((declared.memory.0 as f64 * factor) as u64);
        (run as u64 + 1, Resources { cpu, memory, ..declared })
    }
}

fn log_uniform<R: Rng + ?Sized>(rng: &mut R, low: f64, high: f64) -> f64 {
    (rng.random_range(low.ln()..high.ln())).exp()
}
