//! Job specification as a caller submits it: queue and steps. Immutable once accepted.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::workspace::Workspace;
use crate::unit::{Bytes, Resources};

/// Duration of a call for a placement recommendation, and validity of its tickets.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct RecommendationCost {
    /// Fixed part of the duration of a call.
    pub base: Duration,
    /// Additional duration for each worker named in the call.
    pub per_worker: Duration,
    /// How long a ticket can be used after it was issued.
    pub validity: Duration,
}

impl RecommendationCost {
    /// Returns the expected duration of a call that names `workers` workers.
    #[must_use]
    pub fn call_duration(&self, workers: usize) -> Duration {
        self.base + self.per_worker * u32::try_from(workers).unwrap_or(u32::MAX)
    }
}

/// Priority of the queues whose work goes first.
pub const HIGHEST_PRIORITY: u32 = 0;

/// Queue of a job, with the settings in force when the job was accepted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Name in the configuration.
    pub name: String,
    /// Service whose workers run the tasks.
    pub service: String,
    /// Priority for preemption and for late work; [`HIGHEST_PRIORITY`] goes first.
    pub priority: u32,
    /// Failed runs of a task, or of a gang, after which the job fails.
    pub max_failures: u32,
    /// Part of the objective that grows with the work, as a multiple of the critical path of the steps.
    pub stretch_factor: f64,
    /// Fixed part of the objective.
    pub target_latency: Duration,
    /// Cost of the recommendation that each start needs; `None` when starts need none.
    pub recommendation: Option<RecommendationCost>,
}

/// Step of a job: a number of identical tasks.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct StepSpec {
    /// Number of tasks.
    pub tasks: u32,
    /// Resources of each task.
    pub resources: Resources,
    /// Estimated duration of a task.
    pub estimate: Duration,
    /// Earlier steps that must be complete before this one starts, counted from 0.
    pub after: Vec<u32>,
    /// Whether the tasks save checkpoints, from which a later run resumes.
    pub checkpoints: bool,
    /// Whether the tasks form a gang: all of them run at the same time, or none.
    pub gang: bool,
    /// Whether the tasks run slowly when spread over several racks.
    pub single_rack: bool,
    /// Label that a worker must have to run the tasks.
    pub label: Option<String>,
    /// Rack that holds the input data, on which the tasks run fastest.
    pub data_rack: Option<String>,
    /// Most tasks of one occurrence on a single worker; `None` for no limit.
    pub max_per_worker: Option<u32>,
    /// Whether a second run of a task may start while the first one may still be active.
    pub speculative: bool,
    /// Whether the tasks are services, which run until the job is cancelled.
    pub long_running: bool,
    /// Whether the tasks use only CPU time that other tasks leave unused; they reserve none.
    pub is_filler: bool,
    /// Container image of the tasks.
    pub image: Option<String>,
    /// Target for the tail latency of a task that serves requests.
    pub tail_target: Option<Duration>,
    /// Most long-running tasks that the scheduler may keep stopped at a time.
    pub may_miss: u32,
}

impl StepSpec {
    /// Returns the resources of a task that count against the capacity of a worker.
    #[must_use]
    pub fn reserved(&self) -> Resources {
        let mut resources = self.resources;
        if self.is_filler {
            resources.cpu = crate::unit::CpuMillis::ZERO;
        }
        resources
    }

    /// Returns the CPU time of all tasks together, core-milliseconds.
    #[must_use]
    pub fn work(&self) -> u64 {
        let millis = u64::try_from(self.estimate.as_millis()).unwrap_or(u64::MAX);
        (self.resources.cpu.0.saturating_mul(millis) / 1_000).saturating_mul(u64::from(self.tasks))
    }
}

/// Recurrence of a job at a fixed interval.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Repeat {
    /// Number of occurrences.
    pub count: u32,
    /// Due time of the first occurrence, milliseconds since the Unix epoch.
    pub start: u64,
    /// Time between the due times of two occurrences, milliseconds.
    pub interval: u64,
}

/// Job as submitted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Queue with its settings.
    pub queue: Queue,
    /// Opaque text of the caller that is handed to each run.
    pub payload: String,
    /// Steps; each depends only on earlier ones.
    pub steps: Vec<StepSpec>,
    /// Recurrence; `None` for a job with a single occurrence.
    pub repeat: Option<Repeat>,
    /// Workspace that submitted the job; `None` in a cell without workspaces. The last field, since records of earlier
    /// versions end before it.
    pub workspace: Option<Workspace>,
}

/// Longest estimate of a task; longer ones are taken for mistakes.
pub const MAX_ESTIMATE: Duration = Duration::from_secs(366 * 24 * 3_600);
/// Most tasks of one job over all its occurrences; limits the memory that one submission can take up at the owner.
pub const MAX_JOB_TASKS: u64 = 20_000;
/// Size of a task without failures in the progress record of its job, bytes: a run number below 128, the worker as an index
/// below 16,384, and the other fields.
const TASK_PROGRESS_BYTES: u64 = 7;
/// Size of the number of a failed run there, bytes.
const FAILURE_BYTES: u64 = 1;
/// Failures of each task for which the record has room.
const MAX_RECORDED_FAILURES: u32 = 8;

impl JobSpec {
    /// Returns why the job can never be scheduled, or `None` for a valid job; callers get the text.
    #[must_use]
    pub fn validation_error(&self) -> Option<String> {
        if self.steps.is_empty() {
            return Some("the job has no steps".into());
        }
        for (index, step) in self.steps.iter().enumerate() {
            if step.tasks == 0 {
                return Some(format!("step {index} has no tasks"));
            }
            if step.estimate > MAX_ESTIMATE {
                return Some(format!(
                    "step {index} has an estimate of more than {} s",
                    MAX_ESTIMATE.as_secs()
                ));
            }
            if let Some(after) = step.after.iter().find(|a| usize::try_from(**a).is_ok_and(|a| a >= index)) {
                return Some(format!("step {index} waits for step {after}, which is not an earlier step"));
            }
        }
        if self.task_count() > MAX_JOB_TASKS {
            return Some(format!("the job has more than {MAX_JOB_TASKS} tasks"));
        }
        None
    }

    /// Returns the size to which the tasks in the progress record of the job can grow, without what the record can do
    /// without, bytes.
    #[must_use]
    pub fn max_progress_size(&self) -> Bytes {
        let failures = u64::from(self.queue.max_failures.saturating_sub(1).min(MAX_RECORDED_FAILURES));
        Bytes(self.task_count().saturating_mul(TASK_PROGRESS_BYTES + failures * FAILURE_BYTES))
    }

    /// Whether the start orders of a step are followed to the next incarnations of its workers. These refuse a ticket, and runs
    /// that may overlap need not be followed.
    #[must_use]
    pub const fn follows_starts(&self, step: &StepSpec) -> bool {
        self.queue.recommendation.is_none() && !step.speculative
    }

    /// Returns the number of tasks over all occurrences.
    fn task_count(&self) -> u64 {
        let tasks: u64 = self.steps.iter().map(|s| u64::from(s.tasks)).sum();
        tasks.saturating_mul(u64::from(self.repeat.map_or(1, |r| r.count)))
    }

    /// Returns the estimated duration of the critical path, the longest chain of dependent steps.
    #[must_use]
    pub fn critical_path(&self) -> Duration {
        let mut ends: Vec<Duration> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let start = step.after.iter().filter_map(|a| ends.get(*a as usize)).max().copied();
            ends.push(start.unwrap_or_default().saturating_add(step.estimate));
        }
        ends.into_iter().max().unwrap_or_default()
    }

    /// Returns the time from submission within which the job should be completed.
    #[must_use]
    pub fn objective(&self) -> Duration {
        let stretched = self.critical_path().as_secs_f64() * self.queue.stretch_factor.max(0.0);
        Duration::try_from_secs_f64(stretched)
            .unwrap_or(Duration::MAX)
            .saturating_add(self.queue.target_latency)
    }

    /// Returns the CPU time of one occurrence, core-milliseconds.
    #[must_use]
    pub fn work(&self) -> u64 {
        self.steps.iter().map(StepSpec::work).fold(0, u64::saturating_add)
    }
}
