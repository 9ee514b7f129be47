//! Active jobs of the coordinator and the attempts of their tasks.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::gang::GangPlan;
use super::{BASE_RETRY_BACKOFF, BASE_SUSPENSION, MAX_RETRY_BACKOFF, MAX_SUSPENSION, SUSPENSION_THRESHOLD};
use crate::id::{Attempt, JobId, PartitionId, ShardId, TaskIndex, TeamId, WorkerId};
use crate::job::{JobEnd, JobKind, JobSpec, JobStatus, WaitReason, team_partition};
use crate::unit::{Resources, Timestamp};

/// Maximum number of doublings in [`exponential_backoff`]; 2^16 times any first backoff exceeds its limit.
const MAX_DOUBLINGS: u32 = 16;

/// Scheduling phase of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// Reservation was requested; the attempt cannot start before a commit.
    Reserving,
    /// Commit was sent; the attempt may be running.
    Committing,
    /// The shard owner reported it as running.
    Running,
}

/// Attempt that is reserved or may be running.
#[derive(Debug, Clone)]
pub(super) struct Run {
    pub attempt: Attempt,
    pub shard: ShardId,
    /// Known once the reservation succeeds or the attempt is reported.
    pub worker: Option<WorkerId>,
    pub phase: Phase,
    /// Time of the last phase change.
    pub phase_since: Timestamp,
    /// Time of the last stop request, if any.
    pub stop_sent: Option<Timestamp>,
    /// Team whose usage includes `resources`.
    pub team: TeamId,
    pub resources: Resources,
    pub partition: PartitionId,
}

/// Attempt that no job needs; it is being stopped and may run until its end is reported.
#[derive(Debug)]
pub(super) struct OrphanAttempt {
    pub partition: PartitionId,
    pub shard: ShardId,
    /// Team whose usage includes `resources`.
    pub team: TeamId,
    pub resources: Resources,
    /// Time of the last stop request.
    pub stop_sent: Timestamp,
}

/// Failure of an attempt.
pub(super) struct TaskFailure<'a> {
    pub worker: Option<&'a WorkerId>,
    /// Time since the attempt's last phase change.
    pub ran_for: Duration,
}

/// Active job.
#[derive(Debug)]
pub(super) struct Job {
    pub spec: JobSpec,
    /// Partition of the job's team.
    pub partition: PartitionId,
    /// Position in submission order; 0 for configured services.
    pub submit_order: u64,
    /// Whether the job comes from the configuration rather than the log.
    pub is_configured: bool,
    /// Whether tasks are restarted whenever they exit.
    pub is_service: bool,
    /// Whether no earlier coordinator can have started its tasks.
    pub is_new: bool,
    /// Whether cancellation was requested.
    pub cancelled: bool,
    /// Tasks whose completion is in the log.
    pub done: BTreeSet<TaskIndex>,
    /// Completed tasks that are not in the log yet, with the attempt to acknowledge.
    pub unlogged: BTreeMap<TaskIndex, (Attempt, ShardId)>,
    /// Attempts that are reserved or may be running.
    pub runs: BTreeMap<TaskIndex, Run>,
    /// Lowest index that was never attempted.
    pub next_index: u32,
    /// Tasks below `next_index` that wait for another attempt.
    pub requeued: BTreeSet<TaskIndex>,
    /// Last ended attempt of each waiting task; later reports on it are stale.
    pub last_ended: BTreeMap<TaskIndex, Attempt>,
    /// Number of failures by task, and the workers on which it failed.
    pub failures: BTreeMap<TaskIndex, (u32, BTreeSet<WorkerId>)>,
    /// Workers on which tasks of the job failed since the last success.
    pub failed_workers: BTreeSet<WorkerId>,
    /// Time before which no task is started, after a failure.
    pub backoff_until: Timestamp,
    /// Whether tasks failed on so many workers that the job is suspended.
    pub suspended: bool,
    /// Reason why the job has failed, if it has.
    pub failure: Option<String>,
    /// Current placement round of a gang.
    pub gang_plan: Option<GangPlan>,
    /// Consecutive failed placement rounds of a gang.
    pub failed_rounds: u32,
    /// Reason why tasks are waiting, if known.
    pub wait_reason: Option<WaitReason>,
    /// Reason why the job can never run under the current configuration.
    pub unsatisfiable: Option<WaitReason>,
}

impl Job {
    pub fn new(spec: JobSpec, submit_order: u64, is_configured: bool, is_new: bool) -> Self {
        Self {
            partition: team_partition(&spec.team),
            is_service: spec.kind == JobKind::Service,
            spec,
            submit_order,
            is_configured,
            is_new,
            cancelled: false,
            done: BTreeSet::new(),
            unlogged: BTreeMap::new(),
            runs: BTreeMap::new(),
            next_index: 0,
            requeued: BTreeSet::new(),
            last_ended: BTreeMap::new(),
            failures: BTreeMap::new(),
            failed_workers: BTreeSet::new(),
            backoff_until: Timestamp::ZERO,
            suspended: false,
            failure: None,
            gang_plan: None,
            failed_rounds: 0,
            wait_reason: None,
            unsatisfiable: None,
        }
    }

    /// Discards the state gathered under an earlier lease on the partition.
    pub fn reset(&mut self) {
        self.is_new = false;
        self.unlogged.clear();
        self.next_index = 0;
        self.requeued.clear();
        self.last_ended.clear();
        self.gang_plan = None;
    }

    /// Returns whether a task has succeeded, whether or not that is in the log.
    pub fn is_done(&self, index: TaskIndex) -> bool {
        self.done.contains(&index) || self.unlogged.contains_key(&index)
    }

    /// Returns whether the job is cancelled or failed, so that no attempt is started.
    pub fn is_ending(&self) -> bool {
        self.cancelled || self.failure.is_some()
    }

    /// Returns the number of tasks that wait for an attempt.
    pub fn waiting(&self) -> u32 {
        let assigned = self.done.len() + self.unlogged.len() + self.runs.len();
        self.spec.tasks.saturating_sub(u32::try_from(assigned).unwrap_or(u32::MAX))
    }

    /// Removes and returns up to `count` tasks that wait for an attempt.
    pub fn take_waiting(&mut self, count: u32) -> Vec<TaskIndex> {
        let mut taken = Vec::new();
        while taken.len() < count as usize {
            let index = match self.requeued.pop_first() {
                Some(index) => index,
                None if self.next_index < self.spec.tasks => {
                    self.next_index += 1;
                    TaskIndex(self.next_index - 1)
                }
                None => break,
            };
            // A task started by an earlier coordinator may be requeued before `next_index` reaches it.
            if !self.is_done(index) && !self.runs.contains_key(&index) && !taken.contains(&index) {
                taken.push(index);
            }
        }
        taken
    }

    /// Records a success, which ends suspension and backoff.
    pub fn record_success(&mut self) {
        self.failed_workers.clear();
        self.suspended = false;
        self.backoff_until = Timestamp::ZERO;
    }

    /// Records a failure: the task backs off, or the job is suspended or fails.
    pub fn record_failure(&mut self, now: Timestamp, index: TaskIndex, failure: &TaskFailure<'_>) {
        let TaskFailure { worker, ran_for } = *failure;
        let failures = self.failures.entry(index).or_default();
        if ran_for >= MAX_RETRY_BACKOFF {
            // A long run resets the backoff.
            *failures = (0, BTreeSet::new());
        }
        failures.0 += 1;
        failures.1.extend(worker.cloned());
        self.failed_workers.extend(worker.cloned());
        let doublings = failures.0 - 1;
        if !self.is_service && failures.0 >= self.spec.attempts {
            self.failure = Some(format!("task {index} failed {} times", failures.0));
            return;
        }
        self.suspended = self.failed_workers.len() >= SUSPENSION_THRESHOLD;
        let (first, limit) = if self.suspended {
            (BASE_SUSPENSION, MAX_SUSPENSION)
        } else {
            (BASE_RETRY_BACKOFF, MAX_RETRY_BACKOFF)
        };
        self.backoff_until = now + exponential_backoff(first, doublings, limit);
    }

    /// Returns the outcome to log; `None` while tasks may be running or are left.
    pub fn outcome(&self) -> Option<JobEnd> {
        if self.is_configured || !self.runs.is_empty() {
            return None;
        }
        if !self.is_service && self.done.len() >= self.spec.tasks as usize {
            return Some(JobEnd::Succeeded);
        }
        if self.cancelled {
            return Some(JobEnd::Cancelled);
        }
        self.failure.clone().map(|reason| JobEnd::Failed { reason })
    }

    /// Returns the status for the status interface.
    pub fn status(&self) -> JobStatus {
        let running_tasks = || self.runs.iter().filter(|(_, run)| run.phase == Phase::Running);
        let running = u32::try_from(running_tasks().count()).unwrap_or(u32::MAX);
        let state = match () {
            () if self.is_ending() => "cancelling",
            () if self.suspended => "suspended",
            () if running > 0 => "running",
            () => "waiting",
        };
        let done = self.done.len() + self.unlogged.len();
        let reason = self.failure.clone().or(self.wait_reason.as_ref().map(ToString::to_string));
        JobStatus {
            job: self.spec.id.clone(),
            state: state.into(),
            reason: reason.filter(|_| self.is_ending() || self.waiting() > 0),
            running,
            done: u32::try_from(done).unwrap_or(u32::MAX),
            tasks: self.spec.tasks,
            placed: running_tasks().filter_map(|(index, run)| Some((*index, run.worker.clone()?))).collect(),
        }
    }

    pub fn id(&self) -> &JobId {
        &self.spec.id
    }
}

/// Returns `first` doubled `doublings` times, at most `limit`.
pub(super) fn exponential_backoff(first: Duration, doublings: u32, limit: Duration) -> Duration {
    first.saturating_mul(1 << doublings.min(MAX_DOUBLINGS)).min(limit)
}
