//! In-flight requests, from taking a slot to the outcome.

use super::ewma::Ewma;
use super::grants::usable_grant;
use super::{ANSWER_GRACE, DispatchAction, Dispatcher, Flight, ForwardId, Waiting};
use crate::id::{Incarnation, WorkerId};
use crate::ownership::Grant;
use crate::request::{Answer, Doubt, Outcome, Refusal};
use crate::unit::Timestamp;

impl Dispatcher {
    /// Takes a slot of a worker and sends the request to it.
    pub(super) fn start(
        &mut self,
        now: Timestamp,
        forward: ForwardId,
        (waiting, worker): (Waiting, WorkerId),
        grant: &Grant,
    ) -> DispatchAction {
        let request = waiting.request;
        let timer = now + self.run_limit(request.class) + ANSWER_GRACE;
        if let Some(entry) = self.workers.get_mut(&worker) {
            entry.hold(now, request.class);
        }
        *self.active.entry(grant.epoch).or_default() += 1;
        self.timers.insert((timer, forward));
        let flight = Flight {
            shard: waiting.shard,
            epoch: grant.epoch,
            worker: worker.clone(),
            class: request.class,
            team: request.team.clone(),
            started: now,
            timer,
            silent: false,
            broken: false,
        };
        self.flights.insert(forward, flight);
        let until = grant.until.min(request.deadline);
        DispatchAction::Send { forward, worker, epoch: grant.epoch, until, request }
    }

    /// Removes an in-flight request and releases its slot.
    pub(super) fn land(&mut self, forward: ForwardId, out: &mut Vec<DispatchAction>) -> Option<Flight> {
        let flight = self.flights.remove(&forward)?;
        self.timers.remove(&(flight.timer, forward));
        if let Some(worker) = self.workers.get_mut(&flight.worker) {
            worker.release(flight.class);
            if !worker.present && worker.used() == 0 {
                self.workers.remove(&flight.worker);
            }
        }
        if let Some(count) = self.active.get_mut(&flight.epoch) {
            *count -= 1;
            if *count == 0 {
                self.active.remove(&flight.epoch);
            }
        }
        if self.ending.contains(&flight.epoch) {
            self.end_if_quiescent(flight.epoch, out);
        }
        Some(flight)
    }

    pub(super) fn answered(
        &mut self,
        now: Timestamp,
        forward: ForwardId,
        answer: Answer,
        out: &mut Vec<DispatchAction>,
    ) {
        let Some(flight) = self.land(forward, out) else { return };
        self.measure(now, &flight, answer.status);
        if !flight.silent {
            out.push(finished(forward, Outcome::Answered(answer)));
        }
        self.pump(now, &flight.shard, out);
        self.end_stopped(out);
    }

    pub(super) fn measure(&mut self, now: Timestamp, flight: &Flight, status: u16) {
        let class = flight.class;
        let run = now.since(flight.started);
        let failed = status >= 500;
        if let Some(worker) = self.workers.get_mut(&flight.worker) {
            if failed {
                worker.failed(now);
            } else {
                let mean = self.run.get(&class).and_then(Ewma::mean).unwrap_or(run.as_secs_f64());
                worker.ran(now, run.as_secs_f64() / mean.max(1e-6));
            }
        }
        // Failures are often much faster than successful runs and would lower the mean run time of the class.
        if !failed && !flight.broken {
            self.run.entry(class).or_default().add(run.as_secs_f64());
            if let Some(shard) = self.shards.get_mut(&flight.shard) {
                shard.queue.measured(class, &flight.team, run);
            }
        }
    }

    /// Releases the slot of a request that provably did not reach the backend server.
    ///
    /// The front retries it under a new forward id. With a local retry under the same id, a duplicate of this event
    /// would release the slot of the retried request while it runs.
    pub(super) fn not_sent(&mut self, now: Timestamp, forward: ForwardId, out: &mut Vec<DispatchAction>) {
        if self.flights.get(&forward).is_none_or(|flight| flight.broken) {
            return;
        }
        let Some(flight) = self.land(forward, out) else { return };
        let granted = self.shards.get(&flight.shard).is_some_and(|shard| usable_grant(shard, now).is_some());
        if granted && let Some(worker) = self.workers.get_mut(&flight.worker) {
            worker.failed(now);
        }
        if !flight.silent {
            let refusal = if granted { Refusal::NoOwner } else { Refusal::NotOwner };
            out.push(finished(forward, Outcome::NotRun(refusal)));
        }
        self.pump(now, &flight.shard, out);
        self.end_stopped(out);
    }

    pub(super) fn broken(&mut self, now: Timestamp, forward: ForwardId, out: &mut Vec<DispatchAction>) {
        let Some(flight) = self.flights.get_mut(&forward).filter(|flight| !flight.broken) else { return };
        flight.broken = true;
        let silent = std::mem::replace(&mut flight.silent, true);
        let (class, worker, earlier) = (flight.class, flight.worker.clone(), flight.timer);
        let timer = now + self.run_limit(class);
        self.timers.remove(&(earlier, forward));
        self.timers.insert((timer, forward));
        if let Some(flight) = self.flights.get_mut(&forward) {
            flight.timer = timer;
        }
        if let Some(worker) = self.workers.get_mut(&worker) {
            worker.failed(now);
        }
        if !silent {
            out.push(finished(forward, Outcome::Unknown(Doubt::BackendLost)));
        }
    }

    pub(super) fn withdraw(&mut self, now: Timestamp, forward: ForwardId, out: &mut Vec<DispatchAction>) {
        // Marks the id as seen, so that a request that arrives after its withdrawal is not started.
        self.first_copy(now, forward);
        if self.unqueue(forward).is_some() {
            self.end_stopped(out);
        } else if let Some(flight) = self.flights.get_mut(&forward) {
            flight.silent = true;
        }
    }

    pub(super) fn front_lost(&mut self, now: Timestamp, front: Incarnation, out: &mut Vec<DispatchAction>) {
        let bounds = ForwardId { front, number: 0 }..=ForwardId { front, number: u64::MAX };
        let waiting = self.waiting.range(bounds.clone()).map(|(forward, _)| *forward);
        let flights = self.flights.range(bounds).map(|(forward, _)| *forward);
        let forwards: Vec<ForwardId> = waiting.chain(flights).collect();
        for forward in forwards {
            self.withdraw(now, forward, out);
        }
    }

    /// Treats overdue answers as broken connections, and releases the slots of broken requests after the run limit.
    pub(super) fn expire_timers(&mut self, now: Timestamp, out: &mut Vec<DispatchAction>) {
        while let Some((_, forward)) = self.timers.first().copied().filter(|(timer, _)| *timer <= now) {
            if self.flights.get(&forward).is_some_and(|flight| !flight.broken) {
                self.broken(now, forward, out);
            } else if self.land(forward, out).is_none() {
                self.timers.pop_first();
            }
        }
    }
}

pub(super) fn finished(forward: ForwardId, outcome: Outcome) -> DispatchAction {
    DispatchAction::Finished { forward, outcome }
}
