//! Periodic checks and registry changes: lease extension and expiry, stalled tasks, due occurrences.

use std::time::Duration;

use super::Owner;
use super::restarts::next_generation;
use crate::shard::id::{JobKey, TaskKey, WorkerIncarnation};
use crate::shard::job::Phase;
use crate::shard::lease::{MAX_ORDER_DELAY, MAX_UNCONFIRMED_AGE};
use crate::shard::loss::WorkerFate;
use crate::shard::message::{Action, Unlisting, WorkerEntry};
use crate::shard::pacing::FULL_SPEED_PERCENT;
use crate::shard::record::JobState;
use crate::shard::run_end::EndProof;
use crate::shard::worker::{LeaseExtension, Worker};
use crate::unit::Timestamp;

/// Interval of lease and stop-retry checks; short against every time limit of the platform.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval of the checks for stalled tasks and due occurrences; a due task may start up to 250 ms early or late.
const PROGRESS_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Time that a worker may delay its answer to a lease extension until a run ends; leases are extended four times before
/// they expire.
const MAX_REPORT_WAIT: Duration = Duration::from_millis(1_000);
/// The same while a run is on probation, whose worker takes no other runs until reports show that it survives, and while it is
/// unknown whether a run exists.
const SHORT_REPORT_WAIT: Duration = Duration::from_millis(100);
/// The same for a draining worker, whose lease is short.
const DRAINING_REPORT_WAIT: Duration = Duration::from_millis(500);
/// Minimum time without progress after which a task counts as stalled: a task of 12 s on a worker that is 6 times as slow
/// advances by one percent in 0.8 s.
const MIN_STALL_AGE: Duration = Duration::from_millis(2_500);
/// Isolation of a worker with a stalled task; covers most of the duration of a typical worker fault.
const STALL_ISOLATION: Duration = Duration::from_millis(4_000);
/// Time after the recovery of the store in which workers whose registry entries it has dropped register again; defined by
/// the platform.
const REREGISTRATION_TIME: Duration = Duration::from_millis(2_000);

impl Owner {
    pub(super) fn run_checks(&mut self, now: Timestamp, wall: u64) {
        if now < self.last_check + CHECK_INTERVAL && self.last_check != now {
            return self.extend_leases(now);
        }
        let progress_due = self.last_check.as_micros() / PROGRESS_CHECK_INTERVAL.as_micros() as u64
            != now.as_micros() / PROGRESS_CHECK_INTERVAL.as_micros() as u64;
        self.last_check = now;
        self.end_lost_workers(now);
        self.evacuate(now);
        self.extend_leases(now);
        self.retry_stops(now);
        if progress_due {
            self.stop_stalled(now);
            self.begin_all_occurrences(now, wall);
            self.rerank_late(now);
            self.refused.expire(now);
            self.entitlements.expire(now);
            self.update_workspace_status();
            self.forget_losses();
            self.forget_earlier_orders(now);
            self.freed.expire(now);
            self.release_pins(now);
            self.removed.retain(|_, removed| now < removed.at + MAX_ORDER_DELAY);
            self.expire_capped(now);
            self.refresh_speeds(now);
            self.refresh_neighbours(now);
            self.pass_due |= !self.ready.is_empty();
        }
    }

    /// Sends the lease extensions that are due; without a recent confirmed write they only request a report.
    fn extend_leases(&mut self, now: Timestamp) {
        let may_extend = now < self.last_confirmed + MAX_UNCONFIRMED_AGE;
        for (incarnation, worker) in &mut self.workers {
            let LeaseExtension::Due(at) = worker.lease_extension else { continue };
            if at > now || worker.entry.address.is_empty() {
                continue;
            }
            // An unanswered extension may have been received, so the lease of an unresponsive worker is left to expire.
            let deadline = if may_extend && worker.is_responsive {
                worker.lease.extend(now, worker.lease_duration(now, self.options.lease))
            } else {
                None
            };
            let wait = match deadline {
                Some(_) if !worker.is_responsive || !worker.has_fenced => Duration::ZERO,
                Some(_) if worker.has_probation() || worker.awaits_report => SHORT_REPORT_WAIT,
                Some(_) if worker.entry.draining => DRAINING_REPORT_WAIT,
                Some(_) => MAX_REPORT_WAIT,
                None => Duration::ZERO,
            };
            worker.lease_extension = LeaseExtension::InFlight(now);
            worker.called_address.clone_from(&worker.entry.address);
            worker.pending_ack = worker.next_ack();
            worker.pending_extension = deadline.map(|_| now);
            worker.called_generation = worker.generation;
            self.actions.push(Action::ExtendLease {
                incarnation: incarnation.clone(),
                generation: worker.generation,
                address: worker.entry.address.clone(),
                deadline,
                acked_end: worker.pending_ack,
                wait,
                sent: now,
            });
        }
    }

    /// Ends the runs of workers out of contact whose lease has expired.
    fn end_lost_workers(&mut self, now: Timestamp) {
        let lapsed = self.workers.iter().filter(|(_, w)| w.has_lapsed(now));
        let incarnations: Vec<WorkerIncarnation> = lapsed.map(|(i, _)| i.clone()).collect();
        for incarnation in incarnations {
            let Some(worker) = self.workers.get(&incarnation) else { continue };
            let fate = if worker.entry.draining { WorkerFate::Left } else { WorkerFate::Unknown };
            let is_unlisted = worker.unlisted_since.is_some();
            if is_unlisted {
                // The lease proves nothing for runs that the next incarnation, once listed, may have started.
                let next = self.incarnations_of(&incarnation, |other| other > incarnation.started_at).pop();
                if let Some(next) = next {
                    self.move_unseen_runs(now, &incarnation, &next, fate);
                }
            }
            let Some(worker) = self.workers.get(&incarnation) else { continue };
            let held = worker.outlasting_runs(now, self.options.max_lease);
            let lost = worker.runs.len() - held;
            if lost > 0 {
                let bound = worker.lease.bound();
                self.counters.expired_leases.add(bound);
                log::warn!(
                    target: "decision",
                    "worker worker={incarnation} outcome=lapsed runs={lost} held={held} bound={bound}"
                );
            }
            if is_unlisted && held == 0 {
                let reason = "missing from the registry, lease expired";
                self.end_incarnation(now, &incarnation, fate, EndProof::Lapsed, reason);
            } else {
                self.lose_runs(now, &incarnation, fate, EndProof::Lapsed);
            }
        }
    }

    pub(super) fn on_worker(&mut self, now: Timestamp, entry: WorkerEntry) {
        let incarnation = entry.incarnation.clone();
        for later in self.incarnations_of(&incarnation, |other| other > incarnation.started_at) {
            let is_proven = self.workers.get(&later).is_some_and(|w| w.has_reported || !w.runs.is_empty());
            if is_proven {
                return;
            }
            let reason = "an earlier incarnation registered again";
            self.end_incarnation(now, &later, WorkerFate::Unknown, EndProof::NotSent, reason);
        }
        // Only a report shows that the later incarnation exists; the entry may be of another writer.
        for previous in self.incarnations_of(&incarnation, |other| other < incarnation.started_at) {
            self.unlist(now, &previous, Unlisting::Unexplained);
        }
        self.confirm_crashes_before(now, &entry);
        self.pass_due = true;
        let follows = !self.incarnations_of(&incarnation, |other| other < incarnation.started_at).is_empty();
        let inherited = self.inherited_expiry(now);
        let worker = self.workers.entry(incarnation.clone()).or_insert_with(|| {
            log::info!(target: "decision", "worker worker={incarnation} outcome=registered capacity={}", entry.capacity);
            let generation = next_generation(&mut self.generations, &incarnation);
            let mut worker = Worker::new(entry.clone(), generation, now, inherited);
            match self.removed.get(&incarnation.id) {
                Some(removed) if removed.started_at < incarnation.started_at => {
                    worker.succeed(removed.unanswered, self.options.max_lease);
                }
                // The deadline of an order to the same incarnation has passed on its clock.
                Some(removed) => worker.unanswered = removed.unanswered,
                None => {}
            }
            worker.has_predecessor |= follows;
            worker
        });
        if entry.draining && !worker.entry.draining {
            log::info!(target: "decision", "worker worker={incarnation} outcome=draining remaining={:?}", entry.remaining);
        }
        worker.unlisted_since = None;
        worker.note_stay(now, &entry);
        worker.entry = entry;
    }

    /// Records that the registry does not list a worker any more; the next check decides whether its runs are over.
    pub(super) fn on_worker_unlisted(&mut self, now: Timestamp, id: &str, reason: Unlisting) {
        let incarnations: Vec<WorkerIncarnation> =
            self.workers.keys().filter(|i| &*i.id == id).cloned().collect();
        for incarnation in incarnations {
            self.unlist(now, &incarnation, reason);
        }
    }

    fn unlist(&mut self, now: Timestamp, incarnation: &WorkerIncarnation, reason: Unlisting) {
        // The registry may answer before the store takes writes again.
        let reregisters_until = if self.store_up { self.recovered_at } else { now } + REREGISTRATION_TIME;
        let Some(worker) = self.workers.get_mut(incarnation) else { return };
        let lease = worker.lease.expiry().since(now).as_millis();
        log::info!(
            target: "decision",
            "worker worker={incarnation} outcome=unlisted reason={reason} draining={} lease_ms={lease}",
            worker.entry.draining
        );
        if worker.unlisted_since.is_none() {
            worker.unlisted_since = Some(now);
            worker.reregisters_until = reregisters_until;
        }
    }

    /// Stops stalled tasks and isolates their workers.
    fn stop_stalled(&mut self, now: Timestamp) {
        let mut stalled: Vec<(TaskKey, WorkerIncarnation)> = Vec::new();
        for worker in self.workers.values().filter(|w| w.is_responsive && w.has_reported) {
            for (task, run) in worker.runs.keys() {
                let key = task.step;
                let Some(job) = self.jobs.get(&key.job) else { continue };
                let Some(step_spec) = job.spec.steps.get(key.step as usize) else { continue };
                let steps = job.occurrences.get(key.occurrence as usize);
                let Some(step) = steps.and_then(|s| s.get(key.step as usize)) else { continue };
                let Some(task_state) = step.tasks.get(task.index as usize) else { continue };
                let Some(placement) = task_state.placement.as_ref().filter(|p| p.run == *run) else {
                    continue;
                };
                let is_steady = |t: &crate::shard::job::Task| {
                    t.placement
                        .as_ref()
                        .is_some_and(|p| matches!(p.phase, Phase::Running(at) if now > at + MIN_STALL_AGE))
                };
                let stall_age = MIN_STALL_AGE.max(step_spec.estimate / 4);
                let running =
                    || if step_spec.gang { step.tasks.iter().all(is_steady) } else { is_steady(task_state) };
                let throttled = step_spec.is_filler && worker.filler_speed() < FULL_SPEED_PERCENT;
                // Without a later report the task may have advanced.
                let no_progress = !throttled && worker.last_report > placement.last_progress + stall_age;
                // The members of a gang are looked at last, since there may be many.
                if !step_spec.long_running && placement.percent < 100 && no_progress && running() {
                    stalled.push((*task, placement.incarnation.clone()));
                }
            }
        }
        for (task, incarnation) in stalled {
            log::warn!(target: "decision", "stop task={task} worker={incarnation} reason=\"no progress\"");
            if let Some(worker) = self.workers.get_mut(&incarnation) {
                worker.health.isolate(now, STALL_ISOLATION);
            }
            self.stop_task(now, task);
        }
    }

    /// Updates the ranks of steps that can no longer meet their objective.
    fn rerank_late(&mut self, now: Timestamp) {
        for key in self.ready.stale(now) {
            self.rerank_step(now, key);
        }
    }

    fn begin_all_occurrences(&mut self, now: Timestamp, wall: u64) {
        let has_remaining = |j: &crate::shard::job::Job| {
            !j.state.is_final() && (j.occurrences.len() as u64) < u64::from(j.count())
        };
        let keys: Vec<JobKey> = self.jobs.iter().filter(|(_, j)| has_remaining(j)).map(|(k, _)| *k).collect();
        for key in keys {
            self.begin_occurrences(now, wall, key);
        }
    }

    /// Begins the occurrences of a job that are due; `wall` is in milliseconds since the Unix epoch.
    pub(super) fn begin_occurrences(&mut self, now: Timestamp, wall: u64, key: JobKey) {
        let Some(job) = self.jobs.get_mut(&key) else { return };
        let begun = u32::try_from(job.occurrences.len()).unwrap_or(u32::MAX);
        while !job.state.is_final() && (job.occurrences.len() as u64) < u64::from(job.count()) {
            let number = job.occurrences.len() as u64;
            let due = match job.spec.repeat {
                None => job.arrival,
                Some(repeat) => {
                    let at = repeat.start.saturating_add(repeat.interval.saturating_mul(number));
                    if at > wall {
                        break;
                    }
                    now - Duration::from_millis(wall - at)
                }
            };
            job.add_occurrence(due);
        }
        if job.state != JobState::Cancelled {
            self.rerank_occurrences(now, key, begun);
        }
    }
}
