//! In-flight requests, from taking a slot to the outcome.

use super::ewma::Ewma;
use super::grants::usable_grant;
use super::{ANSWER_GRACE, DispatchAction, Dispatcher, ForwardId, InFlightRequest, QueuedRequest};
use crate::id::{Incarnation, WorkerId};
use crate::ownership::Grant;
use crate::request::{Answer, Outcome, Refusal, UnknownReason};
use crate::unit::Timestamp;

impl Dispatcher {
    /// Takes a slot of a worker and sends the request to it.
    pub(super) fn start(
        &mut self,
        now: Timestamp,
        forward: ForwardId,
        (queued, worker): (QueuedRequest, WorkerId),
        grant: &Grant,
    ) -> DispatchAction {
        let request = queued.request;
        let timer = now + self.run_limit(request.class) + ANSWER_GRACE;
        if let Some(worker_state) = self.workers.get_mut(&worker) {
            worker_state.acquire_slot(now, request.class);
        }
        *self.epoch_requests.entry(grant.epoch).or_default() += 1;
        self.timers.insert((timer, forward));
        let entry = InFlightRequest {
            shard: queued.shard,
            epoch: grant.epoch,
            worker: worker.clone(),
            class: request.class,
            team: request.team.clone(),
            started: now,
            timer,
            outcome_not_needed: false,
            broken: false,
        };
        self.in_flight.insert(forward, entry);
        let until = grant.valid_until.min(request.deadline);
        DispatchAction::Send { forward, worker, epoch: grant.epoch, until, request }
    }

    /// Removes an in-flight request and releases its slot.
    pub(super) fn remove_in_flight(
        &mut self,
        forward: ForwardId,
        out: &mut Vec<DispatchAction>,
    ) -> Option<InFlightRequest> {
        let entry = self.in_flight.remove(&forward)?;
        self.timers.remove(&(entry.timer, forward));
        if let Some(worker) = self.workers.get_mut(&entry.worker) {
            worker.release_slot(entry.class);
            if !worker.configured && worker.held_slots() == 0 {
                self.workers.remove(&entry.worker);
            }
        }
        if let Some(count) = self.epoch_requests.get_mut(&entry.epoch) {
            *count -= 1;
            if *count == 0 {
                self.epoch_requests.remove(&entry.epoch);
            }
        }
        if self.ending_epochs.contains(&entry.epoch) {
            self.report_if_quiescent(entry.epoch, out);
        }
        Some(entry)
    }

    pub(super) fn on_answered(
        &mut self,
        now: Timestamp,
        forward: ForwardId,
        answer: Answer,
        out: &mut Vec<DispatchAction>,
    ) {
        let Some(entry) = self.remove_in_flight(forward, out) else { return };
        self.record_run(now, &entry, answer.status);
        if !entry.outcome_not_needed {
            out.push(finished(forward, Outcome::Answered(answer)));
        }
        self.dispatch_ready(now, &entry.shard, out);
        self.report_quiescent_if_stopping(out);
    }

    pub(super) fn record_run(&mut self, now: Timestamp, entry: &InFlightRequest, status: u16) {
        let class = entry.class;
        let run = now.since(entry.started);
        let failed = status >= 500;
        if let Some(worker) = self.workers.get_mut(&entry.worker) {
            if failed {
                worker.record_failure(now);
            } else {
                let mean = self.run_times.get(&class).and_then(Ewma::mean).unwrap_or(run.as_secs_f64());
                worker.record_success(now, run.as_secs_f64() / mean.max(1e-6));
            }
        }
        // Failures are often much faster than successful runs and would lower the mean run time of the class.
        // An answer to a broken request came after its connection broke or its time limit passed, so its time is not
        // that of a regular run.
        if !failed && !entry.broken {
            self.run_times.entry(class).or_default().add(run.as_secs_f64());
            if let Some(shard) = self.shards.get_mut(&entry.shard) {
                shard.queue.record_run_time(class, &entry.team, run);
            }
        }
    }

    /// Releases the slot of a request that provably did not reach the backend server.
    ///
    /// The dispatcher never sends it again; the front retries it under a new forward id. If a retry reused the id, a
    /// duplicate of this event would release the slot of the retried request while it runs.
    pub(super) fn on_not_sent(&mut self, now: Timestamp, forward: ForwardId, out: &mut Vec<DispatchAction>) {
        if self.in_flight.get(&forward).is_none_or(|entry| entry.broken) {
            return;
        }
        let Some(entry) = self.remove_in_flight(forward, out) else { return };
        let granted = self.shards.get(&entry.shard).is_some_and(|shard| usable_grant(shard, now).is_some());
        // Without a usable grant, the request may not have been sent because the grant expired before the write; that
        // is no failure of the worker.
        if granted && let Some(worker) = self.workers.get_mut(&entry.worker) {
            worker.record_failure(now);
        }
        if !entry.outcome_not_needed {
            let refusal = if granted { Refusal::NoOwner } else { Refusal::NotOwner };
            out.push(finished(forward, Outcome::NotRun(refusal)));
        }
        self.dispatch_ready(now, &entry.shard, out);
        self.report_quiescent_if_stopping(out);
    }

    pub(super) fn on_connection_broken(
        &mut self,
        now: Timestamp,
        forward: ForwardId,
        out: &mut Vec<DispatchAction>,
    ) {
        let Some(entry) = self.in_flight.get_mut(&forward).filter(|entry| !entry.broken) else { return };
        entry.broken = true;
        let outcome_not_needed = std::mem::replace(&mut entry.outcome_not_needed, true);
        let (class, worker, earlier) = (entry.class, entry.worker.clone(), entry.timer);
        let timer = now + self.run_limit(class);
        self.timers.remove(&(earlier, forward));
        self.timers.insert((timer, forward));
        if let Some(entry) = self.in_flight.get_mut(&forward) {
            entry.timer = timer;
        }
        if let Some(worker) = self.workers.get_mut(&worker) {
            worker.record_failure(now);
        }
        if !outcome_not_needed {
            out.push(finished(forward, Outcome::Unknown(UnknownReason::BackendLost)));
        }
    }

    pub(super) fn on_withdraw(&mut self, now: Timestamp, forward: ForwardId, out: &mut Vec<DispatchAction>) {
        // Marks the id as seen, so that a request that arrives after its withdrawal is not started.
        self.mark_seen(now, forward);
        if self.dequeue(forward).is_some() {
            self.report_quiescent_if_stopping(out);
        } else if let Some(entry) = self.in_flight.get_mut(&forward) {
            entry.outcome_not_needed = true;
        }
    }

    pub(super) fn on_front_lost(
        &mut self,
        now: Timestamp,
        front: Incarnation,
        out: &mut Vec<DispatchAction>,
    ) {
        let bounds = ForwardId { front, number: 0 }..=ForwardId { front, number: u64::MAX };
        let queued = self.queued.range(bounds.clone()).map(|(forward, _)| *forward);
        let in_flight = self.in_flight.range(bounds).map(|(forward, _)| *forward);
        let forwards: Vec<ForwardId> = queued.chain(in_flight).collect();
        for forward in forwards {
            self.on_withdraw(now, forward, out);
        }
    }

    /// Treats overdue answers as broken connections, and releases the slots of broken requests after the run limit.
    pub(super) fn expire_in_flight(&mut self, now: Timestamp, out: &mut Vec<DispatchAction>) {
        while let Some((_, forward)) = self.timers.first().copied().filter(|(timer, _)| *timer <= now) {
            if self.in_flight.get(&forward).is_some_and(|entry| !entry.broken) {
                self.on_connection_broken(now, forward, out);
            } else if self.remove_in_flight(forward, out).is_none() {
                self.timers.pop_first();
            }
        }
    }
}

pub(super) fn finished(forward: ForwardId, outcome: Outcome) -> DispatchAction {
    DispatchAction::Finished { forward, outcome }
}
