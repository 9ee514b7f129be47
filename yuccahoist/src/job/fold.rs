//! Fold of the `jobs` stream.
//!
//! The first `Submitted` record of an id is used, later ones are ignored. Finished jobs are retained so that a late
//! duplicate of a submission does not run again. Hosts share no clock other than the stream offset, so finished jobs
//! are evicted by offset and count.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::message::{JobEnd, JobRecord, JobSpec, JobStatus};
use crate::id::{Incarnation, JobId, Offset, TaskIndex};
use crate::stream::Fold;

/// Number of stream records after which a finished job is evicted; about a day with 9 coordinators at 4 records/s each.
pub const FINISHED_RETENTION_RECORDS: u64 = 3_000_000;
/// Maximum number of retained finished jobs; about two days at 5,700 jobs a day.
pub const MAX_FINISHED_JOBS: usize = 12_000;

/// State of one job in the fold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobState {
    /// Specification from the first submission.
    pub spec: JobSpec,
    /// Offset of the first submission; orders jobs of equal priority.
    pub submitted: Offset,
    /// Whether cancellation was requested.
    pub cancelled: bool,
    /// Tasks that succeeded; cleared when the job ends.
    pub done: BTreeSet<TaskIndex>,
    /// Number of tasks that had succeeded when the job ended.
    #[serde(default)]
    pub done_at_end: u32,
    /// Offset of the record that ended the job, and the outcome; `None` while the job is active.
    pub end: Option<(Offset, JobEnd)>,
}

/// Serialized [`JobFold`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSnapshot {
    /// Last offset that the snapshot includes.
    pub through: Offset,
    /// Active and retained finished jobs.
    pub jobs: BTreeMap<JobId, JobState>,
}

/// Accepted jobs, folded from the `jobs` stream.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct JobFold {
    jobs: BTreeMap<JobId, JobState>,
    finished: BTreeSet<(Offset, JobId)>,
}

impl JobFold {
    /// Creates the fold of an empty stream.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns a job; `None` if it was never submitted or has been evicted.
    #[must_use]
    pub fn job(&self, id: &JobId) -> Option<&JobState> {
        self.jobs.get(id)
    }

    /// Returns the active and retained finished jobs.
    #[must_use]
    pub fn jobs(&self) -> &BTreeMap<JobId, JobState> {
        &self.jobs
    }

    /// Returns the status of a job from the stream alone; running tasks are known only to its coordinator.
    #[must_use]
    pub fn status(&self, id: &JobId) -> Option<JobStatus> {
        let job = self.jobs.get(id)?;
        let (state, reason) = match &job.end {
            Some((_, JobEnd::Succeeded)) => ("finished", Some("succeeded".into())),
            Some((_, JobEnd::Failed { reason })) => ("finished", Some(reason.clone())),
            Some((_, JobEnd::Cancelled)) => ("finished", Some("cancelled".into())),
            None if job.cancelled => ("cancelling", None),
            None => ("waiting", None),
        };
        Some(JobStatus {
            job: id.clone(),
            state: state.into(),
            reason,
            running: 0,
            done: if job.end.is_some() { job.done_at_end } else { task_count(&job.done) },
            tasks: job.spec.tasks,
            placed: BTreeMap::new(),
        })
    }

    /// Applies a record and returns whether it must be forwarded to the coordinator.
    fn apply_record(&mut self, offset: Offset, record: &JobRecord) -> bool {
        match record {
            JobRecord::Submitted(spec) => {
                if self.jobs.contains_key(&spec.id) {
                    return false;
                }
                let state = JobState {
                    spec: spec.clone(),
                    submitted: offset,
                    cancelled: false,
                    done: BTreeSet::new(),
                    done_at_end: 0,
                    end: None,
                };
                self.jobs.insert(spec.id.clone(), state);
                true
            }
            JobRecord::Cancelled { job } => match self.active_job(job) {
                Some(state) => !std::mem::replace(&mut state.cancelled, true),
                None => false,
            },
            JobRecord::TasksDone { tasks } => {
                let mut changed = false;
                for (job, indices) in tasks {
                    if let Some(state) = self.active_job(job) {
                        let before = state.done.len();
                        state.done.extend(indices.iter().filter(|index| index.0 < state.spec.tasks));
                        changed |= state.done.len() > before;
                    }
                }
                changed
            }
            JobRecord::Finished { job, end } => self.end_job(offset, job, end),
            JobRecord::Ended { jobs } => {
                let ended = jobs.iter().filter(|(job, end)| self.end_job(offset, job, end)).count();
                ended > 0
            }
            JobRecord::Mark { .. } => true,
            JobRecord::Snapshot(_) => false,
        }
    }

    fn end_job(&mut self, offset: Offset, job: &JobId, end: &JobEnd) -> bool {
        let Some(state) = self.active_job(job) else { return false };
        state.end = Some((offset, end.clone()));
        // Keeps only the count, because thousands of finished jobs are retained.
        state.done_at_end = task_count(&state.done);
        state.done.clear();
        self.finished.insert((offset, job.clone()));
        true
    }

    fn active_job(&mut self, job: &JobId) -> Option<&mut JobState> {
        self.jobs.get_mut(job).filter(|state| state.end.is_none())
    }

    fn evict_finished(&mut self, offset: Offset) {
        while let Some((end_offset, job)) = self.finished.first().cloned() {
            if offset.0.saturating_sub(end_offset.0) <= FINISHED_RETENTION_RECORDS
                && self.finished.len() <= MAX_FINISHED_JOBS
            {
                break;
            }
            self.finished.pop_first();
            self.jobs.remove(&job);
        }
    }
}

fn task_count(tasks: &BTreeSet<TaskIndex>) -> u32 {
    u32::try_from(tasks.len()).unwrap_or(u32::MAX)
}

impl Fold for JobFold {
    type Record = JobRecord;
    /// Record that changed the fold, forwarded to the coordinator.
    type Effect = JobRecord;

    fn apply(&mut self, offset: Offset, _producer: Incarnation, record: JobRecord, out: &mut Vec<JobRecord>) {
        if self.apply_record(offset, &record) {
            out.push(record);
        }
        self.evict_finished(offset);
    }

    fn snapshot(&self, through: Offset) -> Option<JobRecord> {
        Some(JobRecord::Snapshot(Box::new(JobSnapshot { through, jobs: self.jobs.clone() })))
    }

    fn snapshot_through(record: &JobRecord) -> Option<Offset> {
        match record {
            JobRecord::Snapshot(snapshot) => Some(snapshot.through),
            _ => None,
        }
    }

    fn restore(&mut self, record: JobRecord, out: &mut Vec<JobRecord>) {
        let JobRecord::Snapshot(snapshot) = record else { return };
        self.jobs.clone_from(&snapshot.jobs);
        self.finished =
            self.jobs.iter().filter_map(|(id, job)| Some((job.end.as_ref()?.0, id.clone()))).collect();
        out.push(JobRecord::Snapshot(snapshot));
    }
}
