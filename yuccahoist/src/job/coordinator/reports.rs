//! What shard owners report about attempts.

use super::table::{Failure, Phase, Run, Stray};
use super::{Coordinator, End, Turn};
use crate::id::{Attempt, Incarnation, JobId, PartitionId, ShardId, TaskId, TaskIndex, TeamId};
use crate::job::{JobKind, ShardReply, ShardReplyBody, TaskReport, TaskState, partition_of};
use crate::unit::{Resources, Timestamp};

impl Coordinator {
    pub(super) fn reply(&mut self, turn: &mut Turn<'_>, from: Incarnation, reply: ShardReply) {
        let ShardReply { partition, shard, epoch, body } = reply;
        if !self.partitions.contains_key(&partition) {
            return;
        }
        let owner = self.shards.get(&shard).and_then(|view| view.owner);
        let current = owner == Some((from, epoch));
        match body {
            ShardReplyBody::Tasks { tasks, complete, room } if current => {
                self.listed(turn, (partition, &shard), tasks, (complete, room));
            }
            ShardReplyBody::Changed(report) => self.report(turn.now, partition, &shard, report),
            ShardReplyBody::Absent { tasks } if current => {
                for (task, attempt) in tasks {
                    self.ended(turn.now, &task, attempt, &End::absent());
                }
            }
            ShardReplyBody::Reserved { reservation, placed } => {
                self.reserved(turn, (partition, &shard), reservation, placed);
            }
            ShardReplyBody::Refused { reservation, .. } => self.refused(turn, reservation),
            ShardReplyBody::Tasks { .. } | ShardReplyBody::Absent { .. } => {}
        }
        self.dirty = true;
    }

    /// Follows the report on one attempt.
    pub(super) fn report(
        &mut self,
        now: Timestamp,
        partition: PartitionId,
        shard: &ShardId,
        report: TaskReport,
    ) {
        let known = self.settings.is_some() && self.partitions.get(&partition).is_some_and(|p| p.marked);
        if !known || partition_of(&report.team) != partition {
            return;
        }
        let key = (report.task.clone(), report.attempt);
        if report.state.is_ended() {
            let logged = self.jobs.get(&report.task.job).is_none_or(|job| {
                job.service || job.done.contains(&report.task.index) || report.state != TaskState::Succeeded
            });
            let worker = Some(report.worker);
            self.ended(
                now,
                &report.task,
                report.attempt,
                &End { state: report.state, worker, shard: shard.clone() },
            );
            if logged {
                self.acks.entry((partition, shard.clone())).or_default().insert(key);
            }
            return;
        }
        let run = Run {
            attempt: report.attempt,
            shard: shard.clone(),
            worker: Some(report.worker.clone()),
            phase: if report.state == TaskState::Running { Phase::Live } else { Phase::Committing },
            since: now,
            stopped: None,
            team: report.team,
            resources: report.resources,
            partition,
        };
        let index = report.task.index;
        let Some(job) = self.jobs.get_mut(&report.task.job) else {
            self.add_stray(now, key, run);
            return;
        };
        match job.runs.get_mut(&index) {
            Some(current) if current.attempt == report.attempt => {
                if current.phase != run.phase && !matches!(current.phase, Phase::Live) {
                    current.since = now;
                    current.phase = run.phase;
                }
                current.worker = run.worker;
            }
            Some(current) if !matches!(current.phase, Phase::Reserving) => self.add_stray(now, key, run),
            _ => {
                let ended = job.last.get(&index).is_some_and(|last| report.attempt <= *last);
                let unwanted = ended || job.is_over(index) || job.cancelled || index.0 >= job.spec.tasks;
                let id = report.task.job.clone();
                if unwanted {
                    self.add_stray(now, key, run);
                } else {
                    self.remove_run(&id, index);
                    self.add_run(&id, index, run);
                }
            }
        }
    }

    /// Follows the end of an attempt, which is final.
    pub(super) fn ended(&mut self, now: Timestamp, task: &TaskId, attempt: Attempt, end: &End) {
        self.remove_stray(&(task.clone(), attempt));
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let index = task.index;
        let succeeded = end.state == TaskState::Succeeded && !job.service;
        if succeeded && !job.is_over(index) && index.0 < job.spec.tasks {
            job.unlogged.insert(index, (attempt, end.shard.clone()));
            job.retry.remove(&index);
        }
        let current = job.runs.get(&index).is_some_and(|run| run.attempt == attempt);
        if !current {
            if succeeded {
                job.succeeded();
            }
            let last = job.last.entry(index).or_insert(attempt);
            *last = attempt.max(*last);
            return;
        }
        let run = self.remove_run(&task.job, index);
        let stopped = run.as_ref().is_some_and(|run| run.stopped.is_some());
        let lasted = run.map(|run| now.since(run.since)).unwrap_or_default();
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let last = job.last.entry(index).or_insert(attempt);
        *last = attempt.max(*last);
        match end.state {
            TaskState::Succeeded => job.succeeded(),
            TaskState::Failed if !stopped => {
                job.failed(now, index, &Failure { worker: end.worker.as_ref(), lasted });
            }
            _ => {}
        }
        if job.is_over(index) {
            job.last.remove(&index);
        } else {
            job.retry.insert(index);
        }
        let broken = job.spec.kind == JobKind::Gang && !job.is_over(index) && job.gang.is_none();
        let failed = job.failure.is_some();
        self.enqueue(&task.job);
        if broken || failed {
            self.stop_runs(now, &task.job);
        }
        self.dirty = true;
    }

    pub(super) fn add_run(&mut self, id: &JobId, index: TaskIndex, run: Run) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let usage = self.usage.entry(run.team.clone()).or_default();
        *usage += run.resources;
        job.retry.remove(&index);
        job.runs.insert(index, run);
    }

    pub(super) fn remove_run(&mut self, id: &JobId, index: TaskIndex) -> Option<Run> {
        let run = self.jobs.get_mut(id)?.runs.remove(&index)?;
        self.discharge(&run.team, run.resources);
        Some(run)
    }

    pub(super) fn discharge(&mut self, team: &TeamId, resources: Resources) {
        if let Some(usage) = self.usage.get_mut(team) {
            *usage -= resources;
        }
    }

    /// Counts an attempt that is not wanted, and has it stopped.
    pub(super) fn add_stray(&mut self, now: Timestamp, key: (TaskId, Attempt), run: Run) {
        if self.strays.contains_key(&key) {
            return;
        }
        *self.usage.entry(run.team.clone()).or_default() += run.resources;
        self.stops.entry((run.partition, run.shard.clone())).or_default().insert(key.clone());
        let Run { shard, team, resources, partition, .. } = run;
        self.strays.insert(key, Stray { partition, shard, team, resources, stopped: now });
    }

    pub(super) fn remove_stray(&mut self, key: &(TaskId, Attempt)) {
        if let Some(stray) = self.strays.remove(key) {
            self.discharge(&stray.team, stray.resources);
        }
    }
}
