//! Workers that have started again under their id.
//!
//! An order names a worker by its id only, so the next incarnation executes an order that was sent to the earlier one. It
//! knows no epoch yet, and its clock has another origin, so the deadline of the order may be far ahead on it. A run that the
//! earlier incarnation never listed may therefore be active on the next one, and its lease may be the longest that it takes.
//!
//! An order that was answered is not executed again, and one that was not is executed for a limited time. Both incarnations
//! are told apart by the start time in a report and by the clock in other answers.
//!
//! Orders to the next incarnation carry a higher generation in their fence. Once it has answered one of them, it refuses what
//! comes late of the orders to earlier incarnations; only those that it has executed before still count in its lease.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::Owner;
use crate::shard::id::{Generation, TaskKey, WorkerIncarnation};
use crate::shard::job::Phase;
use crate::shard::loss::WorkerFate;
use crate::shard::message::{OrderError, WorkerEntry};
use crate::shard::run_end::EndProof;
use crate::shard::worker::{LeaseExtension, Worker};
use crate::unit::Timestamp;

/// Incarnation of a worker that was removed.
#[derive(Debug, Clone, Copy)]
pub(super) struct Removed {
    /// Start time of the incarnation, milliseconds since the Unix epoch.
    pub started_at: u64,
    /// When it was removed.
    pub at: Timestamp,
    /// When the last order to it was sent that extends its lease and was not answered.
    pub unanswered: Option<Timestamp>,
}

/// Returns the generation of an incarnation to which no order was sent yet: above those of the others under its id.
pub(super) fn next_generation(
    generations: &mut BTreeMap<Arc<str>, Generation>,
    incarnation: &WorkerIncarnation,
) -> Generation {
    let next = generations.get(&incarnation.id).map_or(Generation::default(), |highest| highest.next());
    generations.insert(incarnation.id.clone(), next);
    next
}

impl Owner {
    /// Raises the generation of an incarnation whose order was refused for another one under its id; `newest` is the highest one
    /// there.
    pub(super) fn raise_generation(&mut self, incarnation: &WorkerIncarnation, newest: Generation) {
        let Some(worker) = self.workers.get_mut(incarnation).filter(|w| w.generation < newest) else {
            return;
        };
        worker.generation = next_generation(&mut self.generations, incarnation);
        worker.has_fenced = false;
        log::info!(
            target: "decision",
            "worker worker={incarnation} outcome=fenced generation={} reason=\"another incarnation was called\"",
            worker.generation
        );
    }

    /// Removes a worker incarnation in place of which another one answered, `next` if that has the same id; unless it was
    /// draining, it has crashed.
    pub(super) fn replace_incarnation(
        &mut self,
        now: Timestamp,
        incarnation: &WorkerIncarnation,
        next: Option<&WorkerIncarnation>,
        reason: &str,
    ) {
        let Some(worker) = self.workers.get(incarnation) else { return };
        let fate = if worker.entry.draining { WorkerFate::Left } else { WorkerFate::Crashed };
        if let Some(next) = next.filter(|next| next.started_at > incarnation.started_at) {
            self.move_unseen_runs(now, incarnation, next, fate);
        }
        self.end_incarnation(now, incarnation, fate, EndProof::Replaced, reason);
    }

    /// Handles the start of a run by a later incarnation of its worker, whose report is requested at once.
    pub(super) fn suspect_restart(
        &mut self,
        now: Timestamp,
        task: TaskKey,
        run: u32,
        incarnation: &WorkerIncarnation,
    ) {
        let Some(worker) = self.workers.get_mut(incarnation) else { return };
        worker.answer_start(task, run);
        // The call in flight is not awaited.
        worker.fail_extension(true);
        worker.lease.include_successor(now, self.options.max_lease);
        worker.lease_extension = LeaseExtension::Due(now);
        self.note_silence(now, incarnation, OrderError::OtherClock);
    }

    /// Moves the runs that a worker incarnation never listed to the next one.
    pub(super) fn move_unseen_runs(
        &mut self,
        now: Timestamp,
        incarnation: &WorkerIncarnation,
        next: &WorkerIncarnation,
        fate: WorkerFate,
    ) {
        let Some(worker) = self.workers.get(incarnation) else { return };
        let unseen: Vec<_> = worker.unseen_runs().collect();
        self.prepare_next_incarnation(now, incarnation, next);
        for (task, run) in unseen {
            self.move_run(now, task, run, incarnation, next, fate);
        }
    }

    /// Prepares the state of the next incarnation of a worker, which orders to the earlier one may still reach.
    fn prepare_next_incarnation(
        &mut self,
        now: Timestamp,
        incarnation: &WorkerIncarnation,
        next: &WorkerIncarnation,
    ) {
        let Some(earlier) = self.workers.get(incarnation) else { return };
        let (is_called, last) = (earlier.is_called(), earlier.last_unanswered());
        let inherited = self.inherited_expiry(now);
        let entry = WorkerEntry {
            incarnation: next.clone(),
            draining: false,
            remaining: None,
            ..earlier.entry.clone()
        };
        self.workers.entry(next.clone()).or_insert_with(|| {
            let generation = next_generation(&mut self.generations, next);
            Worker { unlisted_since: Some(now), ..Worker::new(entry, generation, now, inherited) }
        });
        if is_called {
            self.pass_on_orders(now, incarnation, last);
        }
    }

    /// Passes on to the later incarnations of a worker the orders to an earlier one; `last` is when the last one was sent that
    /// is not answered.
    pub(super) fn pass_on_orders(
        &mut self,
        now: Timestamp,
        incarnation: &WorkerIncarnation,
        last: Option<Timestamp>,
    ) {
        for next in self.incarnations_of(incarnation, |other| other > incarnation.started_at) {
            let Some(worker) = self.workers.get_mut(&next) else { continue };
            let is_known = worker.has_predecessor && worker.unanswered >= last;
            worker.succeed(last, self.options.max_lease);
            if !is_known {
                let lease = worker.lease.expiry().since(now).as_millis();
                log::info!(
                    target: "decision",
                    "worker worker={next} outcome=succeeds earlier={incarnation} unanswered_ms={:?} lease_ms={lease} bound={}",
                    last.map(|at| now.since(at).as_millis()),
                    worker.lease.bound()
                );
            }
        }
    }

    /// Stores the jobs on workers whose leases do not last any more by orders to an earlier incarnation, without these orders.
    pub(super) fn forget_earlier_orders(&mut self, now: Timestamp) {
        for worker in self.workers.values_mut() {
            if worker.lease.end_earlier_orders(now) {
                self.batch.progress.extend(worker.runs.keys().map(|(task, _)| task.step.job));
            }
        }
    }

    /// Records that a start order to an incarnation was answered; its run may have been moved to a later one.
    pub(super) fn answer_start(&mut self, task: TaskKey, run: u32, incarnation: &WorkerIncarnation) {
        for other in self.incarnations_of(incarnation, |other| other >= incarnation.started_at) {
            if let Some(worker) = self.workers.get_mut(&other) {
                worker.answer_start(task, run);
            }
        }
    }

    /// Moves a placed run to the next incarnation of its worker, whose reports tell whether it exists.
    fn move_run(
        &mut self,
        now: Timestamp,
        task: TaskKey,
        run: u32,
        incarnation: &WorkerIncarnation,
        next: &WorkerIncarnation,
        fate: WorkerFate,
    ) {
        let Some(placement) = self.placement(task, run, incarnation) else { return };
        placement.incarnation = next.clone();
        placement.phase = match placement.phase {
            Phase::Inherited => Phase::Inherited,
            Phase::Stopping(_) => Phase::Stopping(None),
            _ => Phase::Unconfirmed(now),
        };
        placement.measured_from = None;
        let is_stopping = placement.phase == Phase::Stopping(None);
        log::info!(target: "decision", "move task={task} run={run} worker={incarnation} next={next}");
        self.record_loss(now, task, run, incarnation, fate);
        let reserved = self.workers.get_mut(incarnation).and_then(|worker| worker.release(task, run));
        if let Some((reserved, worker)) = reserved.zip(self.workers.get_mut(next)) {
            worker.reserve_moved(task, run, reserved);
        }
        self.batch.progress.insert(task.step.job);
        if is_stopping {
            self.send_stop(task, run, next);
        }
        self.give_up_if_conclusive(now, task);
    }
}
