//! Identifiers of jobs, tasks and worker incarnations.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::id::ParseIdError;

/// Number of ownership of a shard; fences the store and the workers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Epoch(pub u64);

impl fmt::Display for Epoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
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
        let digit = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
        if text.len() != 16 || !text.bytes().all(digit) {
            return Err(error());
        }
        u64::from_str_radix(text, 16).map(Self).map_err(|_| error())
    }
}

/// One step of one occurrence of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StepKey {
    /// Job.
    pub job: JobKey,
    /// Occurrence, counted from 0.
    pub occurrence: u32,
    /// Step, counted from 0.
    pub step: u32,
}

impl StepKey {
    /// Task of the step.
    #[must_use]
    pub const fn task(self, index: u32) -> TaskName {
        TaskName { step: self, index }
    }
}

impl fmt::Display for StepKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

/// Task of a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskName {
    /// Step.
    pub step: StepKey,
    /// Index in the step, counted from 0.
    pub index: u32,
}

impl fmt::Display for TaskName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.step, self.index)
    }
}

impl FromStr for TaskName {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || ParseIdError::Format {
            kind: "task name",
            value: text.into(),
            expected: "JOB.OCCURRENCE.STEP.INDEX",
        };
        let mut parts = text.split('.');
        let job = parts.next().ok_or_else(error)?.parse()?;
        let mut number = || parts.next().and_then(|n| n.parse::<u32>().ok()).ok_or_else(error);
        let step = StepKey { job, occurrence: number()?, step: number()? };
        let index = number()?;
        if parts.next().is_some() {
            return Err(error());
        }
        Ok(step.task(index))
    }
}

/// One incarnation of a worker: its id and the time of its start.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Life {
    /// Id under which the worker registers; may be used again by a later incarnation.
    pub id: Arc<str>,
    /// Start of the incarnation, milliseconds since the Unix epoch.
    pub born: u64,
}

impl Life {
    /// Incarnation of worker `id` that started at `born`.
    #[must_use]
    pub fn new(id: &str, born: u64) -> Self {
        Self { id: id.into(), born }
    }
}

impl fmt::Display for Life {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.id, self.born)
    }
}

impl fmt::Debug for Life {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}
