//! Records of a shard in the store's keyed log, and their encoding.
//!
//! Decoding a record of an unknown version or with corrupt bytes returns an error that names the key; it never panics.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::id::{Epoch, JobKey, StepKey, TaskKey, WorkerIncarnation};
use super::lease::EarlierOrders;
use super::loss::Loss;
use super::spec::JobSpec;
use super::workspace::Workspace;
use crate::unit::Bytes;

/// Version of the record layout, the first byte of each value.
const LAYOUT_VERSION: u8 = 1;

const OWNER_KEY: &str = "owner";

/// Error in the decoding of a record.
#[derive(Debug, Error)]
pub enum RecordError {
    /// The key names no known kind of record, or has no value where one is needed.
    #[error("record key {0:?} is unknown")]
    Key(String),
    /// The value was written with another layout, or is empty (layout 0).
    #[error("record {key:?} has layout {found}; this version reads layout {LAYOUT_VERSION}")]
    Version {
        /// Key of the record.
        key: String,
        /// First byte of the value.
        found: u8,
    },
    /// The value is corrupt.
    #[error("record {key:?} does not decode: {source}")]
    Value {
        /// Key of the record.
        key: String,
        /// Error of the decoder.
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
    /// A task or gang failed as often as its queue allows.
    Failed,
    /// Cancelled by the caller.
    Cancelled,
}

impl JobState {
    /// Whether the state can no longer change.
    #[must_use]
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }

    /// Returns the state in lower case, for logs.
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

/// Stored state of a task.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskProgress {
    /// Highest run number used.
    pub run: u32,
    /// Numbers of the failed runs.
    pub failures: BTreeSet<u32>,
    /// Whether the task is done.
    pub done: bool,
    /// Worker of the current run, as an index into [`Progress::incarnations`]; `None` without a current run.
    pub placement: Option<u32>,
    /// Last checkpoint when the record was written; empty when there is none.
    pub checkpoint: String,
}

/// Stored progress of a job.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Progress {
    /// State of the job.
    pub state: JobState,
    /// Submission time, milliseconds since the Unix epoch.
    pub submitted: u64,
    /// Workers of all current runs, each once.
    pub incarnations: Vec<WorkerIncarnation>,
    /// Tasks by occurrence and step, up to the last occurrence that is due; empty for a final job without current runs.
    pub occurrences: Vec<Vec<Vec<TaskProgress>>>,
    /// Workers lost under runs. Stored behind the other fields, where versions that don't know them ignore them.
    #[serde(skip)]
    pub losses: Vec<TaskLoss>,
    /// Workspace of an ended job, whose specification is dropped. Stored behind `losses`.
    #[serde(skip)]
    pub workspace: Option<Workspace>,
    /// Runs that may be active on a silent worker while their task is placed elsewhere. Stored behind `losses`.
    #[serde(skip)]
    pub displaced: Vec<DisplacedRun>,
    /// Whether the job is beyond the rate that its workspace is entitled to. Stored behind `losses`.
    #[serde(skip)]
    pub is_excess: bool,
    /// Orders to earlier incarnations that extend the leases of workers, by index into `incarnations`. Stored behind `losses`.
    #[serde(skip)]
    pub earlier_orders: BTreeMap<u32, EarlierOrders>,
    /// Tasks whose current run has certainly been started or refused, so that its start order is not executed late. Stored
    /// behind `losses`.
    #[serde(skip)]
    pub settled: Vec<TaskRange>,
    /// Tasks that are bound to a worker. Stored behind `losses`.
    #[serde(skip)]
    pub pinned: Vec<PinnedTask>,
}

impl Progress {
    /// Removes the checkpoints, so that the tasks start anew if they are started again.
    pub fn clear_checkpoints(&mut self) {
        let tasks = self.occurrences.iter_mut().flatten().flatten();
        tasks.for_each(|task| task.checkpoint = String::new());
    }
}

/// Stored run that may be active on a silent worker while its task is placed elsewhere.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DisplacedRun {
    /// Occurrence of the job.
    pub occurrence: u32,
    /// Step of the occurrence.
    pub step: u32,
    /// Index of the task.
    pub index: u32,
    /// Run number.
    pub run: u32,
    /// Silent worker.
    pub incarnation: WorkerIncarnation,
}

impl DisplacedRun {
    /// Creates the stored form of a run of a task.
    #[must_use]
    pub fn new(task: TaskKey, run: u32, incarnation: &WorkerIncarnation) -> Self {
        let StepKey { occurrence, step, .. } = task.step;
        Self { occurrence, step, index: task.index, run, incarnation: incarnation.clone() }
    }
}

/// Stored task that is bound to a worker, since an earlier start order may still be executed there.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PinnedTask {
    /// Occurrence of the job.
    pub occurrence: u32,
    /// Step of the occurrence.
    pub step: u32,
    /// Index of the task.
    pub index: u32,
    /// Highest number of a run whose start order may be executed late.
    pub run: u32,
    /// Id of the worker.
    pub worker: String,
}

impl PinnedTask {
    /// Creates the stored form of a pinned task.
    #[must_use]
    pub fn new(task: TaskKey, run: u32, worker: &str) -> Self {
        let StepKey { occurrence, step, .. } = task.step;
        Self { occurrence, step, index: task.index, run, worker: worker.to_owned() }
    }
}

/// Consecutive tasks of a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRange {
    /// Occurrence of the job.
    pub occurrence: u32,
    /// Step of the occurrence.
    pub step: u32,
    /// Index of the first task.
    pub first: u32,
    /// Number of tasks.
    pub count: u32,
}

impl TaskRange {
    /// Adds a task to ranges in the order of the tasks.
    pub fn extend(ranges: &mut Vec<Self>, occurrence: u32, step: u32, index: u32) {
        if let Some(last) = ranges.last_mut()
            && (last.occurrence, last.step, last.first + last.count) == (occurrence, step, index)
        {
            last.count += 1;
            return;
        }
        ranges.push(Self { occurrence, step, first: index, count: 1 });
    }

    /// Whether the range contains a task.
    #[must_use]
    pub const fn contains(&self, occurrence: u32, step: u32, index: u32) -> bool {
        self.occurrence == occurrence
            && self.step == step
            && self.first <= index
            && index - self.first < self.count
    }
}

/// Part of a job's progress behind the losses, where versions that don't know it ignore it.
#[derive(Debug, Default, PartialEq, Serialize, Deserialize)]
struct ProgressExtension {
    displaced: Vec<DisplacedRun>,
    workspace: Option<Workspace>,
    /// A record of an earlier version ends before this field, or before a later one.
    is_excess: bool,
    earlier_orders: BTreeMap<u32, EarlierOrders>,
    settled: Vec<TaskRange>,
    pinned: Vec<PinnedTask>,
}

/// Stored loss of a worker under a run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskLoss {
    /// Occurrence of the job.
    pub occurrence: u32,
    /// Step of the occurrence.
    pub step: u32,
    /// Index of the task.
    pub index: u32,
    /// Run number.
    pub run: u32,
    /// Lost worker.
    pub loss: Loss,
}

/// Ownership of the shard by one host in one epoch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ownership {
    /// Epoch that the ownership started.
    pub epoch: Epoch,
    /// Address at which other hosts reach the owner.
    pub address: String,
    /// Host name, for logs.
    pub host: String,
}

/// Record with its key.
#[derive(Debug, Clone, PartialEq)]
pub enum Record {
    /// Current ownership of the shard.
    Owner(Ownership),
    /// Specification of an accepted job.
    Job(JobKey, Arc<JobSpec>),
    /// Progress of a job.
    Progress(JobKey, Progress),
    /// Deletes the specification of a finished job.
    DeleteSpec(JobKey),
}

/// Encoded record; one without a value deletes its key from the log. Its `Debug` shows the length of the value only, since
/// the operator's record contains keys of callers.
#[derive(Clone, PartialEq, Eq)]
pub struct Entry {
    /// `owner`, or the kind of record in one letter (`j` job, `p` progress) and the job's key.
    pub key: String,
    /// Layout version in one byte, then the postcard encoding; `None` deletes the key.
    pub value: Option<Vec<u8>>,
}

impl fmt::Debug for Entry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let length = self.value.as_ref().map(Vec::len);
        f.debug_struct("Entry").field("key", &self.key).field("value_bytes", &length).finish()
    }
}

fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    // Encoding into a vector fails only for types that no record contains.
    postcard::to_extend(value, vec![LAYOUT_VERSION]).unwrap_or_default()
}

fn encode_progress(progress: &Progress) -> Vec<u8> {
    let value = encode(progress);
    let extension = ProgressExtension {
        displaced: progress.displaced.clone(),
        workspace: progress.workspace.clone(),
        is_excess: progress.is_excess,
        earlier_orders: progress.earlier_orders.clone(),
        settled: progress.settled.clone(),
        pinned: progress.pinned.clone(),
    };
    let is_extended = extension != ProgressExtension::default();
    if progress.losses.is_empty() && !is_extended {
        return value;
    }
    let value = postcard::to_extend(&progress.losses, value).unwrap_or_default();
    if is_extended { postcard::to_extend(&extension, value).unwrap_or_default() } else { value }
}

fn decode_progress(key: &str, bytes: &[u8]) -> Result<Progress, RecordError> {
    let invalid = |source| RecordError::Value { key: key.into(), source };
    let (mut progress, rest) = decode_prefix::<Progress>(key, bytes)?;
    if !rest.is_empty() {
        let (losses, rest) = postcard::take_from_bytes(rest).map_err(invalid)?;
        progress.losses = losses;
        if !rest.is_empty() {
            // Zero bytes are the encoding of `is_excess` for an entitled job and of the empty lists behind it, and are ignored
            // behind fields that are present.
            let padded: Vec<u8> = rest.iter().copied().chain([0; 4]).collect();
            let extension: ProgressExtension = postcard::from_bytes(&padded).map_err(invalid)?;
            progress.displaced = extension.displaced;
            progress.workspace = extension.workspace;
            progress.is_excess = extension.is_excess;
            progress.earlier_orders = extension.earlier_orders;
            progress.settled = extension.settled;
            progress.pinned = extension.pinned;
        }
    }
    Ok(progress)
}

fn decode<T: for<'a> Deserialize<'a>>(key: &str, bytes: &[u8]) -> Result<T, RecordError> {
    decode_prefix(key, bytes).map(|(value, _)| value)
}

/// Decodes a value, and returns the bytes behind it.
fn decode_prefix<'b, T: Deserialize<'b>>(key: &str, bytes: &'b [u8]) -> Result<(T, &'b [u8]), RecordError> {
    match bytes.split_first() {
        Some((&LAYOUT_VERSION, rest)) => {
            postcard::take_from_bytes(rest).map_err(|source| RecordError::Value { key: key.into(), source })
        }
        other => Err(RecordError::Version { key: key.into(), found: other.map_or(0, |(v, _)| *v) }),
    }
}

/// Decodes the specification of a job; one of an earlier version ends before the workspace.
fn decode_spec(key: &str, bytes: &[u8]) -> Result<JobSpec, RecordError> {
    // A zero byte is the encoding of an absent workspace, and is ignored behind one that is present.
    let padded: Vec<u8> = bytes.iter().copied().chain([0]).collect();
    if bytes.is_empty() { decode(key, bytes) } else { decode(key, &padded) }
}

impl From<&Record> for Entry {
    fn from(record: &Record) -> Self {
        match record {
            Record::Owner(owner) => Self { key: OWNER_KEY.into(), value: Some(encode(owner)) },
            Record::Job(job, spec) => Self { key: format!("j{job}"), value: Some(encode(spec.as_ref())) },
            Record::Progress(job, progress) => Self::from_progress(*job, progress),
            Record::DeleteSpec(job) => Self { key: format!("j{job}"), value: None },
        }
    }
}

impl Entry {
    /// Encodes the progress of a job.
    #[must_use]
    pub fn from_progress(job: JobKey, progress: &Progress) -> Self {
        Self { key: format!("p{job}"), value: Some(encode_progress(progress)) }
    }

    /// Returns the size of the record as the store counts it: the key with its length byte, and the value.
    #[must_use]
    pub fn size(&self) -> Bytes {
        Bytes((1 + self.key.len() + self.value.as_ref().map_or(0, Vec::len)) as u64)
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
            (b'j', None) => Ok(Self::DeleteSpec(job)),
            (b'j', Some(value)) => Ok(Self::Job(job, Arc::new(decode_spec(key, value)?))),
            (b'p', Some(value)) => Ok(Self::Progress(job, decode_progress(key, value)?)),
            _ => Err(unknown()),
        }
    }
}
