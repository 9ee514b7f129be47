//! Fold of the `jobs` stream.
//!
//! The first `Submitted` of an id counts. A finished job is kept so that a late duplicate of its submission is not run
//! again. Stream offsets are the only clock that every host shares, so finished jobs are forgotten by offset and count.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::message::{JobEnd, JobRecord, JobSpec, JobStatus};
use crate::id::{Incarnation, JobId, Offset, TaskIndex};
use crate::stream::Fold;

/// Records after which a finished job is forgotten; about a day at 4 records a second and 9 coordinators.
pub const FORGET_AFTER: u64 = 3_000_000;
/// Finished jobs that are kept at most; two days at 5,700 jobs a day.
pub const FINISHED_LIMIT: usize = 12_000;

/// Job in the fold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobState {
    /// Specification of the first submission.
    pub spec: JobSpec,
    /// Offset of the first submission, which orders jobs of equal priority.
    pub submitted: Offset,
    /// Whether it was cancelled.
    pub cancelled: bool,
    /// Tasks that ended successfully; empty once the job has ended.
    pub done: BTreeSet<TaskIndex>,
    /// Number of tasks that had ended successfully when the job ended.
    #[serde(default)]
    pub done_at_end: u32,
    /// Offset of the end and how it ended; none while the job is active.
    pub end: Option<(Offset, JobEnd)>,
}

/// Fold of the `jobs` stream up to an offset.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSnapshot {
    /// Last offset that is included.
    pub through: Offset,
    /// Jobs that are active or finished and not forgotten.
    pub jobs: BTreeMap<JobId, JobState>,
}

/// Accepted jobs.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct JobFold {
    jobs: BTreeMap<JobId, JobState>,
    finished: BTreeSet<(Offset, JobId)>,
}

impl JobFold {
    /// Fold of the empty stream.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Job, if it is known.
    #[must_use]
    pub fn job(&self, id: &JobId) -> Option<&JobState> {
        self.jobs.get(id)
    }

    /// All known jobs.
    #[must_use]
    pub fn jobs(&self) -> &BTreeMap<JobId, JobState> {
        &self.jobs
    }

    /// Status as far as the stream tells; the coordinator knows the running tasks.
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
            done: if job.end.is_some() { job.done_at_end } else { count(&job.done) },
            tasks: job.spec.tasks,
            placed: BTreeMap::new(),
        })
    }

    fn changes(&mut self, offset: Offset, record: &JobRecord) -> bool {
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
            JobRecord::Cancelled { job } => match self.active(job) {
                Some(state) => !std::mem::replace(&mut state.cancelled, true),
                None => false,
            },
            JobRecord::TasksDone { tasks } => {
                let mut changed = false;
                for (job, indices) in tasks {
                    if let Some(state) = self.active(job) {
                        let before = state.done.len();
                        state.done.extend(indices.iter().filter(|index| index.0 < state.spec.tasks));
                        changed |= state.done.len() > before;
                    }
                }
                changed
            }
            JobRecord::Finished { job, end } => self.finish(offset, job, end),
            JobRecord::Ended { jobs } => {
                let ended = jobs.iter().filter(|(job, end)| self.finish(offset, job, end)).count();
                ended > 0
            }
            JobRecord::Mark { .. } => true,
            JobRecord::Snapshot(_) => false,
        }
    }

    fn finish(&mut self, offset: Offset, job: &JobId, end: &JobEnd) -> bool {
        let Some(state) = self.active(job) else { return false };
        state.end = Some((offset, end.clone()));
        // Thousands of finished jobs are kept, so only the number stays.
        state.done_at_end = count(&state.done);
        state.done.clear();
        self.finished.insert((offset, job.clone()));
        true
    }

    fn active(&mut self, job: &JobId) -> Option<&mut JobState> {
        self.jobs.get_mut(job).filter(|state| state.end.is_none())
    }

    fn forget(&mut self, offset: Offset) {
        while let Some((ended, job)) = self.finished.first().cloned() {
            if offset.0.saturating_sub(ended.0) <= FORGET_AFTER && self.finished.len() <= FINISHED_LIMIT {
                break;
            }
            self.finished.pop_first();
            self.jobs.remove(&job);
        }
    }
}

fn count(tasks: &BTreeSet<TaskIndex>) -> u32 {
    u32::try_from(tasks.len()).unwrap_or(u32::MAX)
}

impl Fold for JobFold {
    type Record = JobRecord;
    /// Records that changed the fold, to be passed to the coordinator.
    type Effect = JobRecord;

    fn apply(&mut self, offset: Offset, _producer: Incarnation, record: JobRecord, out: &mut Vec<JobRecord>) {
        if self.changes(offset, &record) {
            out.push(record);
        }
        self.forget(offset);
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
