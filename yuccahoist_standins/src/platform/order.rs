//! Messages to and from a worker.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

/// Step of a submitted job, as the workers know it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Step {
    /// Tasks.
    pub task_count: u32,
    /// Thousandths of a core.
    pub cpu_request: u64,
    /// Memory, MB.
    pub mem_mb: u64,
    /// Duration, milliseconds.
    pub estimated_ms: u64,
    /// Steps that come first.
    pub after: Vec<u32>,
    /// Whether the tasks save their progress.
    pub checkpointing: bool,
    /// Whether the tasks work only together.
    pub gang_scheduled: bool,
    /// Whether copies may run at the same time.
    pub speculative: bool,
    /// Most tasks on one worker; 0 for any number.
    pub anti_affinity: u32,
    /// Label of the worker; empty for any.
    pub requirements: String,
    /// Whether the tasks run until the job is cancelled.
    pub long_running: bool,
    /// Limit of the tail of a task that serves, milliseconds; 0 for none.
    pub target_ms: u64,
    /// Whether the tasks take the processors that others leave unused.
    pub fill_ratio: bool,
}

/// Order to start a run.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Start {
    /// Task.
    pub task_id: String,
    /// Run.
    pub run_id: u32,
    /// Text of the job.
    pub specification: String,
    /// Lease of the worker on its clock, milliseconds.
    pub deadline_ms: u64,
    /// Token.
    #[serde(default)]
    pub fencing_token: u64,
    /// Progress to resume from.
    #[serde(default)]
    pub last_checkpoint: String,
    /// Permission for the step.
    #[serde(default)]
    pub ticket_id: String,
}

/// Order to stop a run.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Stop {
    /// Task.
    pub task_id: String,
    /// Run.
    pub run_id: u32,
    /// Token.
    #[serde(default)]
    pub fencing_token: u64,
}

/// Order to set the speed of a run.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Pace {
    /// Task.
    pub task_id: String,
    /// Run.
    pub run_id: u32,
    /// Speed, percent.
    pub percentage: u32,
    /// Token.
    #[serde(default)]
    pub fencing_token: u64,
}

/// Order to extend the lease, confirm ends and list runs.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Hold {
    /// Token.
    #[serde(default)]
    pub fencing_token: u64,
    /// Last end that may be forgotten.
    pub last_seen: u64,
    /// Lease on the worker's clock, milliseconds.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
    /// Time to wait for an end, milliseconds.
    #[serde(default)]
    pub max_wait_ms: u64,
}

/// End of a run: number, task, run, how, progress.
pub type Ended = (u64, String, u32, &'static str, String);

/// Answer to a hold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct HoldReply {
    /// Worker's clock, milliseconds.
    pub clock_ms: u64,
    /// Unix millisecond of the worker's start.
    pub born: u64,
    /// Runs: task, run, progress, percent, load.
    pub active_runs: Vec<(String, u32, String, u64, u64)>,
    /// Ends that are not confirmed.
    pub ended_runs: Vec<Ended>,
}

/// Why a worker refused an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refused {
    /// A higher token was seen.
    Fence,
    /// The run is not higher than one that ended here.
    Old,
    /// The lease of the order is over.
    Late,
    /// No valid permission.
    Ticket,
    /// The order names an unknown task.
    Invalid,
}

impl Refused {
    /// Word in the answer.
    #[must_use]
    pub const fn word(self) -> Option<&'static str> {
        match self {
            Self::Fence => Some("fence"),
            Self::Old => Some("old"),
            Self::Late => Some("late"),
            Self::Ticket => Some("ticket"),
            Self::Invalid => None,
        }
    }
}

/// Names of all tasks of a step.
#[must_use]
pub(super) fn tasks(job: &str, step: u32, count: u32) -> BTreeSet<String> {
    (0..count).map(|index| format!("{job}.0.{step}.{index}")).collect()
}
