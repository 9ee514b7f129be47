//! What a caller asks for: a job with its queue and steps. Immutable once accepted.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::unit::Resources;

/// Cost and validity of a placement recommendation.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct AdviceCost {
    /// Fixed part of a call.
    pub decide: Duration,
    /// Further time for each worker named in the call.
    pub each: Duration,
    /// How long a ticket may be used.
    pub validity: Duration,
}

impl AdviceCost {
    /// Duration of a call that names `workers` workers.
    #[must_use]
    pub fn call(&self, workers: usize) -> Duration {
        self.decide + self.each * u32::try_from(workers).unwrap_or(u32::MAX)
    }
}

/// Queue of a job, with the figures in force when it was accepted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Name.
    pub name: String,
    /// Service whose workers run the tasks.
    pub service: String,
    /// Rank; 0 comes first.
    pub priority: u32,
    /// Failed runs after which a task is given up.
    pub attempts: u32,
    /// Objective of a job as a multiple of its longest chain of work.
    pub stretch: f64,
    /// Part of the objective that does not depend on the work.
    pub target: Duration,
    /// Recommendation that a start needs, if any.
    pub advice: Option<AdviceCost>,
}

/// Step of a job: equal tasks.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct StepSpec {
    /// Number of tasks.
    pub tasks: u32,
    /// Resources of each task.
    pub need: Resources,
    /// Rough duration of a task.
    pub estimate: Duration,
    /// Steps whose tasks must all be done first.
    pub after: Vec<u32>,
    /// Whether tasks save checkpoints.
    pub saves: bool,
    /// Whether all tasks run together or not at all.
    pub gang: bool,
    /// Whether the tasks are slow when they run on more than one rack.
    pub one_rack: bool,
    /// Label that the worker must have.
    pub label: Option<String>,
    /// Rack on which the tasks are fastest.
    pub data_rack: Option<String>,
    /// Most tasks of one occurrence on one worker.
    pub spread: Option<u32>,
    /// Whether two runs of one task may overlap.
    pub copies: bool,
    /// Whether the tasks run until the job is cancelled.
    pub lasting: bool,
    /// Whether the processors of a task are what other tasks leave unused.
    pub fills: bool,
    /// Image that the tasks run.
    pub image: Option<String>,
    /// Limit for the tail of the response times of a lasting task.
    pub tail: Option<Duration>,
    /// Lasting tasks that may be away at a time by the system's own actions.
    pub may_miss: u32,
}

impl StepSpec {
    /// Resources that count against the capacity of a worker.
    #[must_use]
    pub fn reserved(&self) -> Resources {
        let mut need = self.need;
        if self.fills {
            need.cpu = crate::unit::CpuMillis::ZERO;
        }
        need
    }

    /// Processor time of all tasks together, core-milliseconds.
    #[must_use]
    pub fn work(&self) -> u64 {
        let millis = u64::try_from(self.estimate.as_millis()).unwrap_or(u64::MAX);
        (self.need.cpu.0.saturating_mul(millis) / 1_000).saturating_mul(u64::from(self.tasks))
    }
}

/// Repetition of a job in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Repeat {
    /// Number of occurrences.
    pub count: u32,
    /// Due time of the first, milliseconds since the Unix epoch.
    pub start: u64,
    /// Time between two occurrences, milliseconds.
    pub interval: u64,
}

/// Job as submitted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Queue.
    pub queue: Queue,
    /// Text that every task is started with.
    pub text: String,
    /// Steps.
    pub steps: Vec<StepSpec>,
    /// Repetition, if any.
    pub repeat: Option<Repeat>,
}

/// Most tasks of one job over all its occurrences; bounds what one submission can make the owner hold.
pub const TASK_LIMIT: u64 = 20_000; // A progress record of this many tasks still fits the store's largest record.

impl JobSpec {
    /// First fault that keeps the job from ever being scheduled, if any.
    #[must_use]
    pub fn fault(&self) -> Option<String> {
        if self.steps.is_empty() {
            return Some("the job has no steps".into());
        }
        for (number, step) in self.steps.iter().enumerate() {
            if step.tasks == 0 {
                return Some(format!("step {number} has no tasks"));
            }
            if let Some(after) = step.after.iter().find(|a| usize::try_from(**a).is_ok_and(|a| a >= number)) {
                return Some(format!("step {number} waits for step {after}, which is not an earlier step"));
            }
        }
        let tasks: u64 = self.steps.iter().map(|s| u64::from(s.tasks)).sum();
        let occurrences = u64::from(self.repeat.map_or(1, |r| r.count));
        if tasks.saturating_mul(occurrences) > TASK_LIMIT {
            return Some(format!("the job has more than {TASK_LIMIT} tasks"));
        }
        None
    }

    /// Duration of the longest chain of steps.
    #[must_use]
    pub fn chain(&self) -> Duration {
        let mut ends: Vec<Duration> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let start = step.after.iter().filter_map(|a| ends.get(*a as usize)).max().copied();
            ends.push(start.unwrap_or_default() + step.estimate);
        }
        ends.into_iter().max().unwrap_or_default()
    }

    /// Time from submission in which the job should be completed.
    #[must_use]
    pub fn objective(&self) -> Duration {
        self.chain().mul_f64(self.queue.stretch.max(0.0)) + self.queue.target
    }

    /// Processor time of one occurrence, core-milliseconds.
    #[must_use]
    pub fn work(&self) -> u64 {
        self.steps.iter().map(StepSpec::work).sum()
    }
}
