//! Records of a shard in the store's keyed log, and their encoding.
//!
//! A record with an unknown version or broken bytes is an error that names its key; it never ends the process.

use std::collections::BTreeSet;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::id::{Epoch, JobKey, Life};
use super::spec::JobSpec;

/// Layout of the records that this version writes.
const VERSION: u8 = 1;

/// Key of the ownership record.
const OWNER_KEY: &str = "owner";

/// Reason why a record can't be used.
#[derive(Debug, Error)]
pub enum RecordError {
    /// Key has no known form.
    #[error("record key {0:?} is unknown")]
    Key(String),
    /// Value was written by a version with another layout.
    #[error("record {key:?} has layout {found}; this version reads layout {VERSION}")]
    Version {
        /// Key.
        key: String,
        /// Layout found.
        found: u8,
    },
    /// Value does not decode.
    #[error("record {key:?} does not decode: {source}")]
    Value {
        /// Key.
        key: String,
        /// Cause.
        source: postcard::Error,
    },
}

/// State of a job as callers see it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// No task has started.
    #[default]
    Queued,
    /// A task has started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task or gang failed too often.
    Failed,
    /// The caller cancelled it.
    Cancelled,
}

impl JobState {
    /// Whether the job can't change any more.
    #[must_use]
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }

    /// Word for logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Queued => "queued",
            Self::Running => "running",
            Self::Completed => "completed",
            Self::Failed => "failed",
            Self::Cancelled => "cancelled",
        }
    }
}

/// What is stored of a task.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskProgress {
    /// Highest run number used.
    pub run: u32,
    /// Numbers of the runs that ended failed.
    pub failures: BTreeSet<u32>,
    /// Whether the task is done.
    pub done: bool,
    /// Index into [`Progress::lives`] of the worker that may run it.
    pub place: Option<u32>,
    /// Last checkpoint that was known when the record was written.
    pub saved: String,
}

/// What is stored of a job's progress.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// State.
    pub state: JobState,
    /// Submission, milliseconds since the Unix epoch.
    pub submitted: u64,
    /// Workers that tasks are placed on.
    pub lives: Vec<Life>,
    /// Tasks by occurrence and step; an occurrence that is not due yet is missing.
    pub occurrences: Vec<Vec<Vec<TaskProgress>>>,
}

/// Ownership of the shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ownership {
    /// Number of ownership.
    pub epoch: Epoch,
    /// Address for other hosts.
    pub address: String,
    /// Host name, for logs.
    pub host: String,
}

/// Record with its key.
#[derive(Debug, Clone, PartialEq)]
pub enum Record {
    /// Ownership of the shard.
    Owner(Ownership),
    /// Accepted job.
    Job(JobKey, Arc<JobSpec>),
    /// Progress of a job.
    Progress(JobKey, Progress),
    /// The specification of a finished job is not needed any more.
    Forget(JobKey),
}

/// Key and value of a record; a record without a value drops its key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Option<Vec<u8>>,
}

fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    // Serialization into a vector fails only for types that this module does not use.
    postcard::to_extend(value, vec![VERSION]).unwrap_or_default()
}

fn decode<T: for<'a> Deserialize<'a>>(key: &str, bytes: &[u8]) -> Result<T, RecordError> {
    match bytes.split_first() {
        Some((&VERSION, rest)) => {
            postcard::from_bytes(rest).map_err(|source| RecordError::Value { key: key.into(), source })
        }
        other => Err(RecordError::Version { key: key.into(), found: other.map_or(0, |(v, _)| *v) }),
    }
}

impl From<&Record> for Entry {
    fn from(record: &Record) -> Self {
        match record {
            Record::Owner(owner) => Self { key: OWNER_KEY.into(), value: Some(encode(owner)) },
            Record::Job(job, spec) => Self { key: format!("j{job}"), value: Some(encode(spec.as_ref())) },
            Record::Progress(job, progress) => Self { key: format!("p{job}"), value: Some(encode(progress)) },
            Record::Forget(job) => Self { key: format!("j{job}"), value: None },
        }
    }
}

impl TryFrom<&Entry> for Record {
    type Error = RecordError;

    fn try_from(entry: &Entry) -> Result<Self, Self::Error> {
        let unknown = || RecordError::Key(entry.key.clone());
        let key = entry.key.as_str();
        if key == OWNER_KEY {
            return decode(key, entry.value.as_deref().unwrap_or_default()).map(Self::Owner);
        }
        let job = key.get(1..).and_then(|text| text.parse().ok()).ok_or_else(unknown)?;
        match (key.as_bytes()[0], &entry.value) {
            (b'j', None) => Ok(Self::Forget(job)),
            (b'j', Some(value)) => Ok(Self::Job(job, Arc::new(decode(key, value)?))),
            (b'p', Some(value)) => Ok(Self::Progress(job, decode(key, value)?)),
            _ => Err(unknown()),
        }
    }
}
