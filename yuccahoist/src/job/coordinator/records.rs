//! What records of the `jobs` stream and the configuration change.

use std::collections::BTreeSet;

use super::schedule::QueueKey;
use super::table::{Job, Phase};
use super::{Coordinator, Turn};
use crate::id::{Incarnation, JobId, TaskId, TaskIndex};
use crate::job::{CoordinatorSettings, JobRecord, JobSnapshot, JobSpec, partition_of};
use crate::unit::Timestamp;

impl Coordinator {
    pub(super) fn record(&mut self, turn: &mut Turn<'_>, record: JobRecord) {
        self.log.folded(&record);
        match record {
            JobRecord::Submitted(spec) => {
                let id = spec.id.clone();
                self.order += 1;
                self.add_job(spec, self.order, false);
                self.start_job(turn, &id);
            }
            JobRecord::Cancelled { job } => self.cancel(turn.now, &job),
            JobRecord::TasksDone { tasks } => {
                for (job, indices) in tasks {
                    self.done(&job, &indices);
                }
            }
            JobRecord::Finished { job, .. } => self.remove_job(turn.now, &job),
            JobRecord::Ended { jobs } => {
                for job in jobs.keys() {
                    self.remove_job(turn.now, job);
                }
            }
            JobRecord::Mark { by, number } => self.marked(by, number),
            JobRecord::Snapshot(snapshot) => self.restore(turn.now, *snapshot),
        }
        self.dirty = true;
    }

    pub(super) fn restore(&mut self, now: Timestamp, snapshot: JobSnapshot) {
        let gone: Vec<_> = self
            .jobs
            .iter()
            .filter(|(id, job)| {
                !job.configured && snapshot.jobs.get(*id).is_none_or(|state| state.end.is_some())
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in gone {
            self.remove_job(now, &id);
        }
        for (id, state) in snapshot.jobs {
            if state.end.is_some() {
                continue;
            }
            self.order = self.order.max(state.submitted.0);
            self.add_job(state.spec, state.submitted.0, false);
            self.done(&id, &state.done);
            if state.cancelled {
                self.cancel(now, &id);
            }
        }
        // The mark of a partition may lie among the records that the snapshot replaced.
        for owned in self.partitions.values_mut().filter(|owned| !owned.marked) {
            owned.mark = None;
        }
    }

    pub(super) fn marked(&mut self, by: Incarnation, number: u64) {
        if by != self.incarnation {
            return;
        }
        for owned in self.partitions.values_mut().filter(|owned| owned.mark.is_some_and(|m| m <= number)) {
            owned.marked = true;
        }
    }

    pub(super) fn add_job(&mut self, spec: JobSpec, order: u64, configured: bool) {
        let id = spec.id.clone();
        if self.jobs.contains_key(&id) {
            return;
        }
        let partition = partition_of(&spec.team);
        // No earlier coordinator can have seen a job whose record follows the mark.
        let fresh = !configured && self.partitions.get(&partition).is_some_and(|owned| owned.marked);
        self.jobs.insert(id.clone(), Job::new(spec, order, configured, fresh));
        self.enqueue(&id);
    }

    pub(super) fn remove_job(&mut self, now: Timestamp, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        let runs: Vec<_> = job.runs.keys().copied().collect();
        for index in runs {
            let Some(run) = self.remove_run(id, index) else { continue };
            if !matches!(run.phase, Phase::Reserving) {
                let task = TaskId { job: id.clone(), index };
                self.add_stray(now, (task, run.attempt), run);
            }
        }
        if let Some(job) = self.jobs.remove(id) {
            self.queue.remove(&QueueKey::of(&job));
            for (index, (attempt, shard)) in job.unlogged {
                let task = TaskId { job: id.clone(), index };
                self.acks.entry((job.partition, shard)).or_default().insert((task, attempt));
            }
        }
    }

    pub(super) fn cancel(&mut self, now: Timestamp, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.cancelled = true;
        self.stop_runs(now, id);
    }

    /// Asks for the end of all attempts of a job; the requests of a wave leave together.
    pub(super) fn stop_runs(&mut self, now: Timestamp, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        for (index, run) in &mut job.runs {
            if matches!(run.phase, Phase::Reserving) || run.stopped.is_some() {
                continue;
            }
            run.stopped = Some(now);
            let task = TaskId { job: id.clone(), index: *index };
            let wave = self.stops.entry((job.partition, run.shard.clone())).or_default();
            wave.insert((task, run.attempt));
        }
    }

    pub(super) fn done(&mut self, id: &JobId, indices: &BTreeSet<TaskIndex>) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        for index in indices {
            job.done.insert(*index);
            job.retry.remove(index);
            job.last.remove(index);
            if let Some((attempt, shard)) = job.unlogged.remove(index) {
                let task = TaskId { job: id.clone(), index: *index };
                self.acks.entry((job.partition, shard)).or_default().insert((task, attempt));
            }
        }
    }

    pub(super) fn configure(&mut self, now: Timestamp, settings: CoordinatorSettings) {
        let changed = |job: &Job| job.configured && settings.services.get(&job.spec.id) != Some(&job.spec);
        let gone: Vec<_> =
            self.jobs.iter().filter(|(_, job)| changed(job)).map(|(id, _)| id.clone()).collect();
        for id in gone {
            // A service with another specification starts anew; its tasks are stopped first.
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
            job.never = None;
        }
        let ids: Vec<_> = self.jobs.keys().cloned().collect();
        for id in ids {
            self.enqueue(&id);
        }
        self.dirty = true;
    }
}
