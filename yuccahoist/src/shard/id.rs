//! Identifiers of jobs, tasks and worker incarnations.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::id::ParseIdError;

/// Number of an ownership of the shard; rises with each takeover and fences earlier owners at store and workers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Epoch(pub u64);

impl fmt::Display for Epoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Number of the incarnations of a worker that an owner has called one after the other; a higher one fences orders to the
/// earlier incarnations.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Generation(pub u32);

impl Generation {
    /// Returns the next generation.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

impl fmt::Display for Generation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for Generation {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// What an order to a worker carries to fence earlier ones: a worker refuses an order whose fence is below one that it has seen.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fence {
    /// Ownership; fences earlier owners.
    pub epoch: Epoch,
    /// Fences orders of the same owner to earlier incarnations of the worker.
    pub generation: Generation,
}

/// Identifier of a job, chosen by the caller: 16 lower-case hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct JobKey(pub u64);

impl fmt::Display for JobKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl fmt::Debug for JobKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl FromStr for JobKey {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || ParseIdError::Format {
            kind: "job key",
            value: text.into(),
            expected: "16 lower-case hexadecimal digits",
        };
        let is_lower_hex = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
        if text.len() != 16 || !text.bytes().all(is_lower_hex) {
            return Err(error());
        }
        u64::from_str_radix(text, 16).map(Self).map_err(|_| error())
    }
}

/// Step of one occurrence of a job; printed as `JOB.OCCURRENCE.STEP`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StepKey {
    /// Job that the step belongs to.
    pub job: JobKey,
    /// Occurrence of the job, counted from 0.
    pub occurrence: u32,
    /// Position in the job's list of steps, counted from 0.
    pub step: u32,
}

impl StepKey {
    /// Returns the key of the task at `index` in the step.
    #[must_use]
    pub const fn task(self, index: u32) -> TaskKey {
        TaskKey { step: self, index }
    }
}

impl fmt::Display for StepKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

/// Task of a step; printed as `JOB.OCCURRENCE.STEP.INDEX`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskKey {
    /// Step that the task belongs to.
    pub step: StepKey,
    /// Position among the tasks of the step, counted from 0.
    pub index: u32,
}

impl fmt::Display for TaskKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.step, self.index)
    }
}

impl FromStr for TaskKey {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || ParseIdError::Format {
            kind: "task key",
            value: text.into(),
            expected: "JOB.OCCURRENCE.STEP.INDEX",
        };
        let mut parts = text.split('.');
        let job = parts.next().ok_or_else(error)?.parse()?;
        let mut next_number = || parts.next().and_then(|n| n.parse::<u32>().ok()).ok_or_else(error);
        let step = StepKey { job, occurrence: next_number()?, step: next_number()? };
        let index = next_number()?;
        if parts.next().is_some() {
            return Err(error());
        }
        Ok(step.task(index))
    }
}

/// Incarnation of a worker, i.e. one process lifetime; printed as `ID@STARTED_AT`.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct WorkerIncarnation {
    /// Id in the registry; a later incarnation may reuse it.
    pub id: Arc<str>,
    /// Start time, milliseconds since the Unix epoch.
    pub started_at: u64,
}

impl WorkerIncarnation {
    /// Returns the incarnation of worker `id` that started at `started_at`, milliseconds since the Unix epoch.
    #[must_use]
    pub fn new(id: &str, started_at: u64) -> Self {
        Self { id: id.into(), started_at }
    }
}

impl fmt::Display for WorkerIncarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.id, self.started_at)
    }
}

impl fmt::Debug for WorkerIncarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}
