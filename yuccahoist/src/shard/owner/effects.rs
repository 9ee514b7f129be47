//! Encoding of batches, and their effects once they are stored.

use std::collections::BTreeMap;

use super::{Batch, Effect, Owner};
use crate::shard::id::{JobKey, StepKey, TaskKey, WorkerIncarnation};
use crate::shard::job::{Job, Phase};
use crate::shard::message::Action;
use crate::shard::record::{Entry, Progress, Record, TaskRange};
use crate::shard::run_end::EndProof;
use crate::shard::worker::{LeaseExtension, ReservedRun, Worker};
use crate::unit::{Bytes, Timestamp};

/// Removes a part of a job's progress.
type Reduction = fn(&mut Progress);

/// Encodes the progress of a job. A record that the store would refuse leaves out what a later owner can do without: which
/// orders are settled, the workers lost under the tasks, then the checkpoints.
fn progress_entry(key: JobKey, mut progress: Progress, limit: Bytes) -> Entry {
    let reductions: [(&str, Reduction); 3] = [
        ("settled", |progress| progress.settled.clear()),
        ("losses", |progress| progress.losses.clear()),
        ("checkpoints", Progress::clear_checkpoints),
    ];
    let mut entry = Entry::from_progress(key, &progress);
    for (part, reduce) in reductions {
        if entry.size() <= limit {
            break;
        }
        log::warn!(target: "decision", "record job={key} bytes={} outcome=reduced part={part}", entry.size().0);
        reduce(&mut progress);
        entry = Entry::from_progress(key, &progress);
    }
    if entry.size() > limit {
        log::error!("the progress record of job {key} takes {}, more than the store's limit", entry.size());
    }
    entry
}

/// Returns the tasks of a job whose current start order is not executed late.
fn settled_tasks(key: JobKey, job: &Job, workers: &BTreeMap<WorkerIncarnation, Worker>) -> Vec<TaskRange> {
    let mut ranges = Vec::new();
    for (occurrence, steps) in (0u32..).zip(&job.occurrences) {
        for ((step, state), spec) in (0u32..).zip(steps).zip(&job.spec.steps) {
            if !job.spec.follows_starts(spec) {
                continue;
            }
            for (index, task) in (0u32..).zip(&state.tasks) {
                let Some(placement) = &task.placement else { continue };
                let run = (StepKey { job: key, occurrence, step }.task(index), placement.run);
                let reserved = workers.get(&placement.incarnation).and_then(|w| w.runs.get(&run));
                if reserved.is_some_and(ReservedRun::is_settled) {
                    TaskRange::extend(&mut ranges, occurrence, step, index);
                }
            }
        }
    }
    ranges
}

impl Owner {
    /// Encodes a batch; if it is empty, the ownership record is written as a heartbeat.
    pub(super) fn encode_batch(&mut self, now: Timestamp, batch: &Batch) -> Vec<Entry> {
        let mut entries = Vec::new();
        for key in &batch.jobs {
            if let Some(job) = self.jobs.get(key) {
                entries.push(Entry::from(&Record::Job(*key, job.spec.clone())));
            }
        }
        for key in &batch.progress {
            let Some(job) = self.jobs.get_mut(key) else { continue };
            let mut progress = job.progress();
            let orders = |i: &WorkerIncarnation| self.workers.get(i)?.lease.earlier_orders(now);
            let incarnations = (0u32..).zip(&progress.incarnations);
            progress.earlier_orders = incarnations.filter_map(|(n, i)| Some((n, orders(i)?))).collect();
            progress.settled = settled_tasks(*key, job, &self.workers);
            progress.pinned = if job.state.is_final() { Vec::new() } else { self.pins.stored(*key) };
            entries.push(progress_entry(*key, progress, self.options.max_record));
            if job.state.is_final() && job.active_runs == 0 && !job.spec_deleted {
                job.spec_deleted = true;
                entries.push(Entry::from(&Record::DeleteSpec(*key)));
            }
        }
        if entries.is_empty() {
            entries.push(Entry::from(&Record::Owner(self.options.ownership.clone())));
        }
        entries
    }

    pub(super) fn on_stored(&mut self, now: Timestamp) {
        let Some((batch, sent)) = self.in_flight.take() else { return };
        self.last_confirmed = sent;
        for key in &batch.jobs {
            if let Some(job) = self.jobs.get_mut(key) {
                job.stored = true;
            }
        }
        self.apply_effects(now, batch.effects);
    }

    pub(super) fn apply_effects(&mut self, now: Timestamp, effects: Vec<Effect>) {
        if effects.iter().any(|effect| matches!(effect, Effect::Start(..))) {
            self.sum_cap_usage();
        }
        for effect in effects {
            match effect {
                Effect::Reply(call, _, answer) => self.reply(call, answer),
                Effect::Publish(key) => {
                    if let Some(job) = self.jobs.get_mut(&key) {
                        job.visible_state = job.state;
                        log::info!(target: "decision", "job job={key} state={}", job.state.as_str());
                    }
                }
                Effect::Start(task, run) => self.start_run(now, task, run),
                Effect::Acknowledge(incarnation, number) => {
                    if let Some(worker) = self.workers.get_mut(&incarnation) {
                        worker.acked_end = worker.acked_end.max(number);
                        if let LeaseExtension::Due(_) = worker.lease_extension {
                            worker.lease_extension = LeaseExtension::Due(now);
                        }
                    }
                }
            }
        }
    }

    /// Sends the start order of a run whose placement is stored; drops the run if its worker, ticket, job or cap no longer
    /// allows it, or if the worker has become too small.
    fn start_run(&mut self, now: Timestamp, task: TaskKey, run: u32) {
        let key = task.step;
        let is_capped = !self.cap_admits_start(key);
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let step = &mut job.occurrences[key.occurrence as usize][key.step as usize];
        let task_state = &mut step.tasks[task.index as usize];
        let Some(placement) =
            task_state.placement.as_mut().filter(|p| p.run == run && p.phase == Phase::Storing)
        else {
            return;
        };
        let incarnation = placement.incarnation.clone();
        let ticket = step.tickets.recommended.get(&incarnation);
        let ticket_missing = job.spec.queue.recommendation.is_some() && ticket.is_none_or(|t| t.until <= now);
        let validity = job.spec.queue.recommendation.map(|cost| Self::ticket_validity(&cost));
        let ticketed_at = ticket.zip(validity).map(|(t, validity)| t.until - validity);
        let ticket = ticket.map(|t| t.text.clone());
        let worker = self.workers.get_mut(&incarnation);
        let deadline = worker
            .filter(|w| w.is_usable(now) && !w.is_overloaded())
            .and_then(|w| w.lease.deadline().zip(w.lease.clock_range(now)).map(|lease| (w, lease)));
        let is_unwanted = job.state.is_final() || is_capped;
        let (Some((worker, (deadline, clock))), false, false) = (deadline, ticket_missing, is_unwanted)
        else {
            log::info!(target: "decision", "start task={task} run={run} worker={incarnation} outcome=dropped ticket={} capped={is_capped}", !ticket_missing);
            self.subtract_cap_usage(key);
            self.drop_placement(now, task, run, EndProof::NotSent);
            return;
        };
        placement.phase = Phase::Starting;
        worker.order(now, task, run, ticketed_at);
        self.counters.starts += 1;
        self.actions.push(Action::Start {
            incarnation,
            generation: worker.generation,
            address: worker.entry.address.clone(),
            task,
            run,
            spec: job.spec.clone(),
            deadline,
            clock,
            checkpoint: task_state.checkpoint.clone(),
            ticket,
        });
    }
}
