//! Replies and attempt reports from shard owners.

use super::job_table::{OrphanAttempt, Phase, Run, TaskFailure};
use super::{AttemptEnd, Coordinator, EventContext};
use crate::id::{Attempt, Incarnation, JobId, PartitionId, ShardId, TaskId, TaskIndex, TeamId};
use crate::job::{JobKind, ShardReply, ShardReplyBody, TaskReport, TaskState, team_partition};
use crate::unit::{Resources, Timestamp};

impl Coordinator {
    /// Handles a reply; lists and confirmations of absence are accepted only from the shard's current owner.
    pub(super) fn handle_reply(&mut self, ctx: &mut EventContext<'_>, from: Incarnation, reply: ShardReply) {
        let ShardReply { partition, shard, epoch, body } = reply;
        if !self.partitions.contains_key(&partition) {
            return;
        }
        let owner = self.shards.get(&shard).and_then(|view| view.owner);
        let is_current = owner == Some((from, epoch));
        match body {
            ShardReplyBody::Tasks { tasks, complete, capacity } if is_current => {
                self.handle_list(ctx, (partition, &shard), tasks, (complete, capacity));
            }
            ShardReplyBody::Changed(report) => self.handle_report(ctx.now, partition, &shard, report),
            ShardReplyBody::Absent { tasks } if is_current => {
                for (task, attempt) in tasks {
                    self.attempt_ended(ctx.now, &task, attempt, &AttemptEnd::absent());
                }
            }
            ShardReplyBody::Reserved { reservation, placed } => {
                self.handle_reserved(ctx, (partition, &shard), reservation, placed);
            }
            ShardReplyBody::Refused { reservation, .. } => self.handle_refused(ctx, reservation),
            ShardReplyBody::Tasks { .. } | ShardReplyBody::Absent { .. } => {}
        }
        self.needs_pass = true;
    }

    /// Handles the report on one attempt, which may be unknown, stale or no longer needed.
    pub(super) fn handle_report(
        &mut self,
        now: Timestamp,
        partition: PartitionId,
        shard: &ShardId,
        report: TaskReport,
    ) {
        let is_ready =
            self.settings.is_some() && self.partitions.get(&partition).is_some_and(|p| p.marker_read);
        if !is_ready || team_partition(&report.team) != partition {
            return;
        }
        let key = (report.task.clone(), report.attempt);
        if report.state.is_ended() {
            let may_acknowledge = self.jobs.get(&report.task.job).is_none_or(|job| {
                job.is_service
                    || job.done.contains(&report.task.index)
                    || report.state != TaskState::Succeeded
            });
            let worker = Some(report.worker);
            self.attempt_ended(
                now,
                &report.task,
                report.attempt,
                &AttemptEnd { state: report.state, worker, shard: shard.clone() },
            );
            if may_acknowledge {
                self.pending_acks.entry((partition, shard.clone())).or_default().insert(key);
            }
            return;
        }
        let run = Run {
            attempt: report.attempt,
            shard: shard.clone(),
            worker: Some(report.worker.clone()),
            phase: if report.state == TaskState::Running { Phase::Running } else { Phase::Committing },
            phase_since: now,
            stop_sent: None,
            team: report.team,
            resources: report.resources,
            partition,
        };
        let index = report.task.index;
        let Some(job) = self.jobs.get_mut(&report.task.job) else {
            self.add_orphan(now, key, run);
            return;
        };
        match job.runs.get_mut(&index) {
            Some(current) if current.attempt == report.attempt => {
                if current.phase != run.phase && !matches!(current.phase, Phase::Running) {
                    current.phase_since = now;
                    current.phase = run.phase;
                }
                current.worker = run.worker;
            }
            Some(current) if !matches!(current.phase, Phase::Reserving) => self.add_orphan(now, key, run),
            _ => {
                let is_stale = job.last_ended.get(&index).is_some_and(|last| report.attempt <= *last);
                let is_unneeded =
                    is_stale || job.is_done(index) || job.cancelled || index.0 >= job.spec.tasks;
                let id = report.task.job.clone();
                if is_unneeded {
                    self.add_orphan(now, key, run);
                } else {
                    self.remove_run(&id, index);
                    self.add_run(&id, index, run);
                }
            }
        }
    }

    /// Handles the end of an attempt, after which the task may be attempted again.
    pub(super) fn attempt_ended(
        &mut self,
        now: Timestamp,
        task: &TaskId,
        attempt: Attempt,
        end: &AttemptEnd,
    ) {
        self.remove_orphan(&(task.clone(), attempt));
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let index = task.index;
        let succeeded = end.state == TaskState::Succeeded && !job.is_service;
        if succeeded && !job.is_done(index) && index.0 < job.spec.tasks {
            job.unlogged.insert(index, (attempt, end.shard.clone()));
            job.requeued.remove(&index);
        }
        let is_current = job.runs.get(&index).is_some_and(|run| run.attempt == attempt);
        if !is_current {
            if succeeded {
                job.record_success();
            }
            let last = job.last_ended.entry(index).or_insert(attempt);
            *last = attempt.max(*last);
            return;
        }
        let run = self.remove_run(&task.job, index);
        let was_stopped = run.as_ref().is_some_and(|run| run.stop_sent.is_some());
        let ran_for = run.map(|run| now.since(run.phase_since)).unwrap_or_default();
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let last = job.last_ended.entry(index).or_insert(attempt);
        *last = attempt.max(*last);
        match end.state {
            TaskState::Succeeded => job.record_success(),
            TaskState::Failed if !was_stopped => {
                job.record_failure(now, index, &TaskFailure { worker: end.worker.as_ref(), ran_for });
            }
            _ => {}
        }
        if job.is_done(index) {
            job.last_ended.remove(&index);
        } else {
            job.requeued.insert(index);
        }
        let is_partial_gang =
            job.spec.kind == JobKind::Gang && !job.is_done(index) && job.gang_plan.is_none();
        let has_failed = job.failure.is_some();
        self.enqueue(&task.job);
        if is_partial_gang || has_failed {
            self.stop_runs(now, &task.job);
        }
        self.needs_pass = true;
    }

    /// Records an attempt of a task and charges its team.
    pub(super) fn add_run(&mut self, id: &JobId, index: TaskIndex, run: Run) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let usage = self.usage.entry(run.team.clone()).or_default();
        *usage += run.resources;
        job.requeued.remove(&index);
        job.runs.insert(index, run);
    }

    /// Removes the attempt of a task and releases its team's usage.
    pub(super) fn remove_run(&mut self, id: &JobId, index: TaskIndex) -> Option<Run> {
        let run = self.jobs.get_mut(id)?.runs.remove(&index)?;
        self.release_usage(&run.team, run.resources);
        Some(run)
    }

    pub(super) fn release_usage(&mut self, team: &TeamId, resources: Resources) {
        if let Some(usage) = self.usage.get_mut(team) {
            *usage -= resources;
        }
    }

    /// Charges and stops an attempt that no job needs.
    pub(super) fn add_orphan(&mut self, now: Timestamp, key: (TaskId, Attempt), run: Run) {
        if self.orphans.contains_key(&key) {
            return;
        }
        *self.usage.entry(run.team.clone()).or_default() += run.resources;
        self.pending_stops.entry((run.partition, run.shard.clone())).or_default().insert(key.clone());
        let Run { shard, team, resources, partition, .. } = run;
        self.orphans.insert(key, OrphanAttempt { partition, shard, team, resources, stop_sent: now });
    }

    pub(super) fn remove_orphan(&mut self, key: &(TaskId, Attempt)) {
        if let Some(orphan) = self.orphans.remove(key) {
            self.release_usage(&orphan.team, orphan.resources);
        }
    }
}
