//! Recommendations: which workers may run a step, and when to ask.
//!
//! Answers queues whose policy decides slowly: what may run a step never changes, so it is remembered, and only tickets
//! that have expired are asked for again.

use std::sync::Arc;
use std::time::Duration;

use super::{Owner, Question};
use crate::shard::desk::QUICK;
use crate::shard::id::{Life, StepKey};
use crate::shard::message::Action;
use crate::shard::spec::{AdviceCost, JobSpec, StepSpec};
use crate::unit::Timestamp;

/// Part of a ticket's validity that is kept for the way of the answer and of the start.
const RESERVE: Duration = Duration::from_millis(150); // One relay, one write, one call, each with a delay.
/// Fewest workers named in a call.
const FEWEST: usize = 30; // The platform's objective counts a call on 30 workers for each step.
/// Most workers named in a call.
const MOST: usize = 100; // Given by the platform.
/// Time for all workers below which a call names as many as it may.
const CHEAP: Duration = Duration::from_millis(60); // Below the slack of the most urgent kind of job.
/// Workers named for each task of a step.
const EACH_TASK: usize = 4; // Little more than a third of the workers may run a step of the strictest queue.
/// Calls that are under way or wait for a host.
const CALLS: usize = 512; // Ten seconds of the quickest queue on one host; admission refuses before.
/// Pause after a call that failed.
const AGAIN: Duration = Duration::from_millis(200); // Less than one call of the slowest queue.

impl Owner {
    /// Whether a ticket that expires at `until` can still be used for a start that is decided now.
    pub(super) fn ticket_holds(now: Timestamp, until: Timestamp) -> bool {
        now + RESERVE / 2 < until
    }

    /// Asks for tickets of a step, if the ones that it has do not do.
    ///
    /// `known` are the workers with room that were named for it before, `others` those with room never asked about.
    pub(super) fn ask(&mut self, now: Timestamp, key: StepKey, known: Vec<Life>, others: Vec<Life>) {
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let Some(cost) = job.spec.queue.advice else { return };
        let shape = &job.spec.steps[key.step as usize];
        let tickets = &mut job.occurrences[key.occurrence as usize][key.step as usize].tickets;
        if tickets.pending || now < tickets.next || self.asks.len() >= CALLS {
            return;
        }
        let workers: Vec<Life> = if known.is_empty() {
            others.into_iter().take(breadth(&cost, shape)).collect()
        } else {
            known.into_iter().take(MOST).collect()
        };
        if workers.is_empty() {
            return;
        }
        tickets.pending = true;
        self.counters.advice += 1;
        let cost = cost.call(workers.len());
        let latest = self.urgency(key).map_or(now, |u| u.latest());
        self.asks.insert(key, Question { latest, cost });
        self.out.push(Action::Advise { step: key, workers, cost, latest });
    }

    /// Time that the hosts need for the calls that a new job would wait for. A slow call waits for all, since the urgent
    /// ones that come later go first.
    pub(super) fn advice_backlog(&self, now: Timestamp, spec: &JobSpec) -> Duration {
        let Some(cost) = spec.queue.advice else { return Duration::ZERO };
        let own = cost.call(FEWEST);
        let latest = now + spec.objective().saturating_sub(spec.chain());
        let before = self.asks.values().filter(|q| own > QUICK || q.latest <= latest).map(|q| q.cost);
        let hosts = u32::try_from(self.lanes).unwrap_or(u32::MAX).max(1);
        (before.sum::<Duration>() + own) / hosts
    }

    /// Asks for a step as soon as it may start, so that the answer is there when the next pass places it.
    pub(super) fn ask_first(&mut self, now: Timestamp, key: StepKey) {
        let Some(job) = self.jobs.get(&key.job).filter(|j| j.spec.queue.advice.is_some()) else { return };
        let tickets = &job.occurrences[key.occurrence as usize][key.step as usize].tickets;
        if tickets.pending || !tickets.asked.is_empty() {
            return;
        }
        let shape = &job.spec.steps[key.step as usize];
        let need = shape.reserved();
        let suits = |w: &&crate::shard::worker::Worker| {
            *w.entry.service == *job.spec.queue.service
                && need.fits(w.entry.capacity)
                && shape.label.as_ref().is_none_or(|l| w.entry.labels.contains(l))
                && w.usable(now)
        };
        let mut workers: Vec<_> = self
            .workers
            .values()
            .filter(suits)
            .map(|w| (w.health.isolated(now), std::cmp::Reverse(w.room().cpu), &w.entry.life))
            .collect();
        workers.sort();
        let workers = workers.into_iter().map(|(_, _, life)| life.clone()).collect();
        self.ask(now, key, Vec::new(), workers);
    }

    pub(super) fn on_advised(
        &mut self,
        now: Timestamp,
        key: StepKey,
        asked: Vec<Life>,
        good: Option<Vec<(Arc<str>, String)>>,
    ) {
        self.asks.remove(&key);
        self.changed = true;
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let Some(cost) = job.spec.queue.advice else { return };
        let steps = job.occurrences.get_mut(key.occurrence as usize);
        let Some(step) = steps.and_then(|o| o.get_mut(key.step as usize)) else { return };
        let tickets = &mut step.tickets;
        tickets.pending = false;
        let Some(good) = good else {
            tickets.next = now + AGAIN;
            log::info!(target: "decision", "advice step={key} outcome=unanswered workers={}", asked.len());
            return;
        };
        log::info!(target: "decision", "advice step={key} workers={} good={}", asked.len(), good.len());
        let until = now + cost.validity.saturating_sub(RESERVE);
        for (id, ticket) in good {
            if let Some(life) = asked.iter().find(|l| l.id == id) {
                tickets.good.insert(life.clone(), (ticket, until));
            }
        }
        tickets.asked.extend(asked);
    }

    /// A worker refused a ticket.
    pub(super) fn revoke(&mut self, key: StepKey, life: &Life) {
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let tickets = &mut job.occurrences[key.occurrence as usize][key.step as usize].tickets;
        if let Some((_, until)) = tickets.good.get_mut(life) {
            *until = Timestamp::ZERO;
        }
    }
}

/// Number of workers to name in a first call.
fn breadth(cost: &AdviceCost, shape: &StepSpec) -> usize {
    if cost.each * u32::try_from(MOST).unwrap_or(u32::MAX) <= CHEAP {
        return MOST;
    }
    (shape.tasks as usize * EACH_TASK).clamp(FEWEST, MOST)
}
