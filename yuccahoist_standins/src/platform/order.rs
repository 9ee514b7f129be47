//! Orders to a worker and its answers, in the JSON form of the platform.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

/// Step of a submitted job: the part of its specification that the workers act on.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Step {
    /// Number of tasks.
    pub task_count: u32,
    /// Requested CPU of a task, thousandths of a core.
    pub cpu_request: u64,
    /// Memory of a task, MB.
    pub mem_mb: u64,
    /// Work of a task, milliseconds; a run takes as long, less the work that its checkpoint covers.
    pub estimated_ms: u64,
    /// Numbers of the steps that must be done before this one starts.
    pub after: Vec<u32>,
    /// Whether the tasks write checkpoints.
    pub checkpointing: bool,
    /// Whether the tasks form a gang, which starts and ends as a whole.
    pub gang_scheduled: bool,
    /// Whether several runs of one task may overlap.
    pub speculative: bool,
    /// Largest number of tasks on one worker; 0 for no limit.
    pub anti_affinity: u32,
    /// Label that the worker must have; empty for none.
    pub requirements: String,
    /// Whether the tasks run until the job is cancelled.
    pub long_running: bool,
    /// Target of the tail latency of a serving task, milliseconds; 0 for other tasks.
    pub target_ms: u64,
    /// Whether the tasks are fillers, which use only leftover CPU.
    pub fill_ratio: bool,
}

/// Order to start a run.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct StartOrder {
    /// Task id: job, occurrence, step and index, separated by dots.
    pub task_id: String,
    /// Number of the run; higher for each new run of the task.
    pub run_id: u32,
    /// Specification text of the job.
    pub specification: String,
    /// Lease of the worker that the order grants, milliseconds on the worker's clock.
    pub deadline_ms: u64,
    /// Fencing token of the sender; an order below the highest one seen is refused.
    #[serde(default)]
    pub fencing_token: u64,
    /// Checkpoint to resume from; empty for a start from the beginning.
    #[serde(default)]
    pub last_checkpoint: String,
    /// Ticket of the recommendation service; empty if the job needs none.
    #[serde(default)]
    pub ticket_id: String,
}

/// Order to stop a run.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct StopOrder {
    /// Task id: job, occurrence, step and index, separated by dots.
    pub task_id: String,
    /// Number of the run; higher for each new run of the task.
    pub run_id: u32,
    /// Fencing token of the sender; an order below the highest one seen is refused.
    #[serde(default)]
    pub fencing_token: u64,
}

/// Order to set the speed of a filler.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct PaceOrder {
    /// Task id: job, occurrence, step and index, separated by dots.
    pub task_id: String,
    /// Number of the run; higher for each new run of the task.
    pub run_id: u32,
    /// Speed, percent of full speed.
    pub percentage: u32,
    /// Fencing token of the sender; an order below the highest one seen is refused.
    #[serde(default)]
    pub fencing_token: u64,
}

/// Order to extend the lease, acknowledge ends and list the runs.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct HoldOrder {
    /// Fencing token of the sender; an order below the highest one seen is refused.
    #[serde(default)]
    pub fencing_token: u64,
    /// Number of the last end that the sender has seen; ends up to it are acknowledged.
    pub last_seen: u64,
    /// New lease, milliseconds on the worker's clock; `None` does not extend it.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
    /// Longest wait for an end that the sender has not seen, milliseconds; 0 for an answer at once.
    #[serde(default)]
    pub max_wait_ms: u64,
}

/// End of a run: number of the end, task, run, kind of the end, last checkpoint.
pub type EndedRow = (u64, String, u32, &'static str, String);

/// Answer to a hold order: the worker's clock, incarnation, runs and unacknowledged ends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct HoldReply {
    /// Worker's clock when the answer is written, milliseconds.
    pub clock_ms: u64,
    /// Start of the worker's incarnation, Unix milliseconds.
    pub born: u64,
    /// Active runs: task, run, last checkpoint, finished percent, and the load: the tail latency in milliseconds for a
    /// serving task, the CPU in thousandths of a core otherwise.
    pub active_runs: Vec<(String, u32, String, u64, u64)>,
    /// Oldest unacknowledged ends, up to a page.
    pub ended_runs: Vec<EndedRow>,
}

/// Reason for which a worker refused an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderRefusal {
    /// A higher fencing token was seen.
    Fenced,
    /// The run number is not above that of a run of the same task that ended or was stopped here.
    Old,
    /// The lease of the order has expired on the worker's clock.
    Late,
    /// The order has no ticket for this step and worker.
    Ticket,
    /// The task or the worker is unknown.
    Invalid,
}

impl OrderRefusal {
    /// Reason in the answer; `None` for an order that is answered as malformed.
    #[must_use]
    pub const fn wire_reason(self) -> Option<&'static str> {
        match self {
            Self::Fenced => Some("fence"),
            Self::Old => Some("old"),
            Self::Late => Some("late"),
            Self::Ticket => Some("ticket"),
            Self::Invalid => None,
        }
    }
}

/// Ids of all tasks of a step, in the first occurrence of the job.
#[must_use]
pub(super) fn tasks(job: &str, step: u32, count: u32) -> BTreeSet<String> {
    (0..count).map(|index| format!("{job}.0.{step}.{index}")).collect()
}

/// Returns the job and the step number of a task id of the form `JOB.OCCURRENCE.STEP.INDEX`.
pub(super) fn job_and_step(task: &str) -> Option<(&str, usize)> {
    let mut segments = task.split('.');
    let job = segments.next()?;
    let step = segments.nth(1)?.parse().ok()?;
    Some((job, step))
}

/// Returns the id of a task's step, which is also that of its gang.
pub(super) fn step_id(task: &str) -> String {
    task.rsplit_once('.').map_or(task, |(step, _)| step).to_owned()
}
