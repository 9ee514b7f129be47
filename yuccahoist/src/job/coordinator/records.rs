//! Changes by records of the `jobs` stream and by the configuration.

use std::collections::BTreeSet;

use super::job_table::{Job, Phase};
use super::schedule::QueueKey;
use super::{Coordinator, EventContext};
use crate::id::{Incarnation, JobId, TaskId, TaskIndex};
use crate::job::{CoordinatorSettings, JobRecord, JobSnapshot, JobSpec, team_partition};
use crate::unit::Timestamp;

impl Coordinator {
    pub(super) fn apply_record(&mut self, ctx: &mut EventContext<'_>, record: JobRecord) {
        self.appender.handle_folded(&record);
        match record {
            JobRecord::Submitted(spec) => {
                let id = spec.id.clone();
                self.last_order += 1;
                self.add_job(spec, self.last_order, false);
                self.start_job(ctx, &id);
            }
            JobRecord::Cancelled { job } => self.cancel(ctx.now, &job),
            JobRecord::TasksDone { tasks } => {
                for (job, indices) in tasks {
                    self.complete_tasks(&job, &indices);
                }
            }
            JobRecord::Finished { job, .. } => self.remove_job(ctx.now, &job),
            JobRecord::Ended { jobs } => {
                for job in jobs.keys() {
                    self.remove_job(ctx.now, job);
                }
            }
            JobRecord::Mark { by, number } => self.marker_folded(by, number),
            JobRecord::Snapshot(snapshot) => self.restore(ctx.now, *snapshot),
        }
        self.needs_pass = true;
    }

    /// Replaces the active jobs with those of a snapshot.
    pub(super) fn restore(&mut self, now: Timestamp, snapshot: JobSnapshot) {
        let inactive: Vec<_> = self
            .jobs
            .iter()
            .filter(|(id, job)| {
                !job.is_configured && snapshot.jobs.get(*id).is_none_or(|state| state.end.is_some())
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in inactive {
            self.remove_job(now, &id);
        }
        for (id, state) in snapshot.jobs {
            if state.end.is_some() {
                continue;
            }
            self.last_order = self.last_order.max(state.submitted.0);
            self.add_job(state.spec, state.submitted.0, false);
            self.complete_tasks(&id, &state.done);
            if state.cancelled {
                self.cancel(now, &id);
            }
        }
        // The snapshot may have replaced the marker, so each marker that was not read back is appended again.
        for owned in self.partitions.values_mut().filter(|owned| !owned.marker_read) {
            owned.marker = None;
        }
    }

    /// Notes that a marker was read back.
    pub(super) fn marker_folded(&mut self, by: Incarnation, number: u64) {
        if by != self.incarnation {
            return;
        }
        for owned in self.partitions.values_mut().filter(|owned| owned.marker.is_some_and(|m| m <= number)) {
            owned.marker_read = true;
        }
    }

    /// Adds a job to the table and the queue, unless it is known.
    pub(super) fn add_job(&mut self, spec: JobSpec, submit_order: u64, is_configured: bool) {
        let id = spec.id.clone();
        if self.jobs.contains_key(&id) {
            return;
        }
        let partition = team_partition(&spec.team);
        // Earlier coordinators cannot have started a job whose record follows the marker.
        let is_new = !is_configured && self.partitions.get(&partition).is_some_and(|owned| owned.marker_read);
        self.jobs.insert(id.clone(), Job::new(spec, submit_order, is_configured, is_new));
        self.enqueue(&id);
    }

    /// Removes a job; attempts that may be running become orphans.
    pub(super) fn remove_job(&mut self, now: Timestamp, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        let runs: Vec<_> = job.runs.keys().copied().collect();
        for index in runs {
            let Some(run) = self.remove_run(id, index) else { continue };
            if !matches!(run.phase, Phase::Reserving) {
                let task = TaskId { job: id.clone(), index };
                self.add_orphan(now, (task, run.attempt), run);
            }
        }
        if let Some(job) = self.jobs.remove(id) {
            self.queue.remove(&QueueKey::of(&job));
            for (index, (attempt, shard)) in job.unlogged {
                let task = TaskId { job: id.clone(), index };
                self.pending_acks.entry((job.partition, shard)).or_default().insert((task, attempt));
            }
        }
    }

    pub(super) fn cancel(&mut self, now: Timestamp, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.cancelled = true;
        self.stop_runs(now, id);
    }

    /// Stops all attempts of a job that have been committed; the requests are batched by shard.
    pub(super) fn stop_runs(&mut self, now: Timestamp, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        for (index, run) in &mut job.runs {
            if matches!(run.phase, Phase::Reserving) || run.stop_sent.is_some() {
                continue;
            }
            run.stop_sent = Some(now);
            let task = TaskId { job: id.clone(), index: *index };
            let batch = self.pending_stops.entry((job.partition, run.shard.clone())).or_default();
            batch.insert((task, run.attempt));
        }
    }

    /// Marks tasks as completed in the log and acknowledges their attempts.
    pub(super) fn complete_tasks(&mut self, id: &JobId, indices: &BTreeSet<TaskIndex>) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        for index in indices {
            job.done.insert(*index);
            job.requeued.remove(index);
            job.last_ended.remove(index);
            if let Some((attempt, shard)) = job.unlogged.remove(index) {
                let task = TaskId { job: id.clone(), index: *index };
                self.pending_acks.entry((job.partition, shard)).or_default().insert((task, attempt));
            }
        }
    }

    pub(super) fn apply_settings(&mut self, now: Timestamp, settings: CoordinatorSettings) {
        let is_outdated =
            |job: &Job| job.is_configured && settings.services.get(&job.spec.id) != Some(&job.spec);
        let outdated: Vec<_> =
            self.jobs.iter().filter(|(_, job)| is_outdated(job)).map(|(id, _)| id.clone()).collect();
        for id in outdated {
            // A service whose specification changed is recreated; its old tasks are stopped.
            self.remove_job(now, &id);
        }
        for spec in settings.services.values() {
            self.add_job(spec.clone(), 0, true);
        }
        for shard in &settings.shards {
            self.shards.entry(shard.clone()).or_default();
        }
        self.settings = Some(settings);
        for job in self.jobs.values_mut() {
            job.unsatisfiable = None;
        }
        let ids: Vec<_> = self.jobs.keys().cloned().collect();
        for id in ids {
            self.enqueue(&id);
        }
        self.needs_pass = true;
    }
}
