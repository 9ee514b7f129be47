//! Job table of the coordinator.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::gang::GangPlan;
use super::{RETRY, RETRY_LIMIT, SUSPEND, SUSPEND_LIMIT, SUSPEND_WORKERS};
use crate::id::{Attempt, JobId, PartitionId, ShardId, TaskIndex, TeamId, WorkerId};
use crate::job::{JobEnd, JobKind, JobSpec, JobStatus, WaitReason, partition_of};
use crate::unit::{Resources, Timestamp};

/// Longest run of doublings of a wait; 2^16 times the first wait is above every limit.
const DOUBLINGS: u32 = 16;

/// Step of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// Room was asked for; it cannot start without a commit.
    Reserving,
    /// Commit was sent; it may run.
    Committing,
    /// Runs, by report of the shard owner.
    Live,
}

/// Attempt that may run.
#[derive(Debug, Clone)]
pub(super) struct Run {
    /// Attempt.
    pub attempt: Attempt,
    /// Shard.
    pub shard: ShardId,
    /// Worker, once known.
    pub worker: Option<WorkerId>,
    /// Step.
    pub phase: Phase,
    /// Time of the last step.
    pub since: Timestamp,
    /// Time at which a stop was last sent.
    pub stopped: Option<Timestamp>,
    /// Team that is charged.
    pub team: TeamId,
    /// Resources that are charged.
    pub resources: Resources,
    /// Partition.
    pub partition: PartitionId,
}

/// Attempt that is not wanted and may run until its end is reported.
#[derive(Debug)]
pub(super) struct Stray {
    /// Partition.
    pub partition: PartitionId,
    /// Shard.
    pub shard: ShardId,
    /// Team that is charged.
    pub team: TeamId,
    /// Resources that are charged.
    pub resources: Resources,
    /// Time at which a stop was last sent.
    pub stopped: Timestamp,
}

/// Failure of an attempt.
pub(super) struct Failure<'a> {
    /// Worker, if known.
    pub worker: Option<&'a WorkerId>,
    /// Time since its start was confirmed.
    pub lasted: Duration,
}

/// Active job.
#[derive(Debug)]
pub(super) struct Job {
    /// Specification.
    pub spec: JobSpec,
    /// Partition of its team.
    pub partition: PartitionId,
    /// Position in the order of submission.
    pub order: u64,
    /// Whether it comes from the configuration and not from the log.
    pub configured: bool,
    /// Whether its tasks are started again whenever they end.
    pub service: bool,
    /// Whether no earlier coordinator can have started tasks of it.
    pub fresh: bool,
    /// Whether it was cancelled.
    pub cancelled: bool,
    /// Tasks that the log has as done.
    pub done: BTreeSet<TaskIndex>,
    /// Tasks that are done and not yet in the log, with the attempt to acknowledge.
    pub unlogged: BTreeMap<TaskIndex, (Attempt, ShardId)>,
    /// Attempts that may run.
    pub runs: BTreeMap<TaskIndex, Run>,
    /// First task that was never tried.
    pub next: u32,
    /// Tasks below `next` that wait for another attempt.
    pub retry: BTreeSet<TaskIndex>,
    /// Last attempt of each waiting task that has ended.
    pub last: BTreeMap<TaskIndex, Attempt>,
    /// Failures of each task and the workers on which it failed.
    pub failures: BTreeMap<TaskIndex, (u32, BTreeSet<WorkerId>)>,
    /// Workers on which tasks failed since the last success.
    pub failed_on: BTreeSet<WorkerId>,
    /// Time before which no task is started.
    pub wait_until: Timestamp,
    /// Whether the wait is a suspension.
    pub suspended: bool,
    /// Reason why the job is given up.
    pub failure: Option<String>,
    /// Gang that is being placed.
    pub gang: Option<GangPlan>,
    /// Failed rounds of placing the gang in a row.
    pub gang_rounds: u32,
    /// Reason why it waits.
    pub reason: Option<WaitReason>,
    /// Reason why it can never run under the present configuration.
    pub never: Option<WaitReason>,
}

impl Job {
    pub fn new(spec: JobSpec, order: u64, configured: bool, fresh: bool) -> Self {
        Self {
            partition: partition_of(&spec.team),
            service: spec.kind == JobKind::Service,
            spec,
            order,
            configured,
            fresh,
            cancelled: false,
            done: BTreeSet::new(),
            unlogged: BTreeMap::new(),
            runs: BTreeMap::new(),
            next: 0,
            retry: BTreeSet::new(),
            last: BTreeMap::new(),
            failures: BTreeMap::new(),
            failed_on: BTreeSet::new(),
            wait_until: Timestamp::ZERO,
            suspended: false,
            failure: None,
            gang: None,
            gang_rounds: 0,
            reason: None,
            never: None,
        }
    }

    /// Forgets what an earlier lease on the partition knew.
    pub fn reset(&mut self) {
        self.fresh = false;
        self.unlogged.clear();
        self.next = 0;
        self.retry.clear();
        self.last.clear();
        self.gang = None;
    }

    /// Whether a task is done.
    pub fn is_over(&self, index: TaskIndex) -> bool {
        self.done.contains(&index) || self.unlogged.contains_key(&index)
    }

    /// Whether the job takes no new attempts.
    pub fn is_ending(&self) -> bool {
        self.cancelled || self.failure.is_some()
    }

    /// Number of tasks that wait for an attempt.
    pub fn waiting(&self) -> u32 {
        let other = self.done.len() + self.unlogged.len() + self.runs.len();
        self.spec.tasks.saturating_sub(u32::try_from(other).unwrap_or(u32::MAX))
    }

    /// Tasks that wait for an attempt, at most `count`.
    pub fn take(&mut self, count: u32) -> Vec<TaskIndex> {
        let mut taken = Vec::new();
        while taken.len() < count as usize {
            let index = match self.retry.pop_first() {
                Some(index) => index,
                None if self.next < self.spec.tasks => {
                    self.next += 1;
                    TaskIndex(self.next - 1)
                }
                None => break,
            };
            // An adopted task may wait again although `next` has not reached it.
            if !self.is_over(index) && !self.runs.contains_key(&index) && !taken.contains(&index) {
                taken.push(index);
            }
        }
        taken
    }

    /// Counts a success, which ends a run of failures.
    pub fn succeeded(&mut self) {
        self.failed_on.clear();
        self.suspended = false;
        self.wait_until = Timestamp::ZERO;
    }

    /// Counts a failure: the task waits, the job is suspended, or it is given up.
    pub fn failed(&mut self, now: Timestamp, index: TaskIndex, failure: &Failure<'_>) {
        let Failure { worker, lasted } = *failure;
        let failures = self.failures.entry(index).or_default();
        if lasted >= RETRY_LIMIT {
            // A task that ran for long starts with short waits again.
            *failures = (0, BTreeSet::new());
        }
        failures.0 += 1;
        failures.1.extend(worker.cloned());
        self.failed_on.extend(worker.cloned());
        let repeats = failures.0 - 1;
        if !self.service && failures.0 >= self.spec.attempts {
            self.failure = Some(format!("task {index} failed {} times", failures.0));
            return;
        }
        self.suspended = self.failed_on.len() >= SUSPEND_WORKERS;
        let (first, limit) = if self.suspended { (SUSPEND, SUSPEND_LIMIT) } else { (RETRY, RETRY_LIMIT) };
        self.wait_until = now + doubled(first, repeats, limit);
    }

    /// End to be logged; none while tasks may run or are left.
    pub fn end(&self) -> Option<JobEnd> {
        if self.configured || !self.runs.is_empty() {
            return None;
        }
        if !self.service && self.done.len() >= self.spec.tasks as usize {
            return Some(JobEnd::Succeeded);
        }
        if self.cancelled {
            return Some(JobEnd::Cancelled);
        }
        self.failure.clone().map(|reason| JobEnd::Failed { reason })
    }

    /// Status for callers.
    pub fn status(&self) -> JobStatus {
        let live = || self.runs.iter().filter(|(_, run)| run.phase == Phase::Live);
        let running = u32::try_from(live().count()).unwrap_or(u32::MAX);
        let state = match () {
            () if self.is_ending() => "cancelling",
            () if self.suspended => "suspended",
            () if running > 0 => "running",
            () => "waiting",
        };
        let done = self.done.len() + self.unlogged.len();
        let reason = self.failure.clone().or(self.reason.as_ref().map(ToString::to_string));
        JobStatus {
            job: self.spec.id.clone(),
            state: state.into(),
            reason: reason.filter(|_| self.is_ending() || self.waiting() > 0),
            running,
            done: u32::try_from(done).unwrap_or(u32::MAX),
            tasks: self.spec.tasks,
            placed: live().filter_map(|(index, run)| Some((*index, run.worker.clone()?))).collect(),
        }
    }

    /// Identifier.
    pub fn id(&self) -> &JobId {
        &self.spec.id
    }
}

/// Wait that doubles with each repeat.
pub(super) fn doubled(first: Duration, repeats: u32, limit: Duration) -> Duration {
    first.saturating_mul(1 << repeats.min(DOUBLINGS)).min(limit)
}
