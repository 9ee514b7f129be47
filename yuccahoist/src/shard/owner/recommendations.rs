//! Recommendations: which workers may run a step, and when to request tickets for them.
//!
//! The policy of some queues is slow to decide. Since the workers that may run a step never change, they are cached, and
//! only expired tickets are requested again.

use std::sync::Arc;
use std::time::Duration;

use super::{Owner, PendingRequest};
use crate::placement::policy::fitting_tasks;
use crate::shard::id::{StepKey, WorkerIncarnation};
use crate::shard::message::Action;
use crate::shard::order::Urgency;
use crate::shard::packing::{Goal, Pace};
use crate::shard::request_queue::{
    FAST_REQUEST_COST, RecommendationRequest, RequestKind, RequestRank, hosts_for_long_calls,
};
use crate::shard::spec::{JobSpec, RecommendationCost, StepSpec};
use crate::shard::speed::Speed;
use crate::unit::{Resources, Timestamp};

/// Part of a ticket's validity reserved for the transfer of the answer and of the start order: a relay, a write and a
/// call, each with a delay.
const TICKET_RESERVE: Duration = Duration::from_millis(150);
/// Smallest number of workers in a first request; the platform's objective allows for a request with 30 workers per step.
const MIN_REQUEST_WORKERS: usize = 30;
/// Largest number of workers in a request; defined by the platform.
const MAX_REQUEST_WORKERS: usize = 100;
/// Cost per worker, summed over a request of the largest size, up to which a request has that size; below the slack of
/// the most urgent kind of job.
const CHEAP_REQUEST_COST: Duration = Duration::from_millis(60);
/// Number of workers requested per task of a step; little more than a third of the workers may run a step of the queue
/// with the strictest policy.
const WORKERS_PER_TASK: usize = 4;
/// Smallest number of workers to which a first request may be cut; where 35 % of the workers may run a step, as in the
/// queue with the strictest policy, 92 % of the calls with six of them recommend one.
const MIN_CUT_WORKERS: usize = 6;
/// Workers named for each one that a step needs when a request is cut; a third of them may run a step of the strictest queue.
const WORKERS_PER_NEEDED: usize = 3;
/// Wait of a slow request for those that arrive after it and are made before it: requests of more urgent queues and of the
/// later steps of admitted jobs; the longest wait less the time after which a request is due.
const LATER_REQUESTS_WAIT: Duration = Duration::from_millis(1_000);
/// Limit for requests in flight or waiting for a host: 10 s of the fastest queue on one host; admission refuses jobs
/// before it is reached.
const MAX_PENDING_REQUESTS: usize = 512;
/// Delay before a failed request is repeated; less than one request of the slowest queue.
const REQUEST_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Number of refused tickets in a row after which a worker is no longer recommended; one may have expired on its way.
const MAX_TICKET_REFUSALS: u32 = 2;

impl Owner {
    /// Returns whether a ticket that expires at `until` is valid long enough for a start that is decided now.
    pub(super) fn ticket_usable(now: Timestamp, until: Timestamp) -> bool {
        now + TICKET_RESERVE / 2 < until
    }

    /// Returns the time from the receipt of a ticket for which it is used.
    pub(super) fn ticket_validity(cost: &RecommendationCost) -> Duration {
        cost.validity.saturating_sub(TICKET_RESERVE)
    }

    /// Requests tickets for a step, unless a request is pending or a retry delay has not passed.
    ///
    /// `recommended` are workers that were recommended before and need a new ticket; if there are none, the first of
    /// `untried` are requested.
    pub(super) fn request_tickets(
        &mut self,
        now: Timestamp,
        key: StepKey,
        recommended: Vec<WorkerIncarnation>,
        untried: Vec<WorkerIncarnation>,
    ) {
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let Some(cost) = job.spec.queue.recommendation else { return };
        let step_spec = &job.spec.steps[key.step as usize];
        let tickets = &mut job.occurrences[key.occurrence as usize][key.step as usize].tickets;
        if tickets.pending
            || now < tickets.next_request
            || self.pending_requests.len() >= MAX_PENDING_REQUESTS
        {
            return;
        }
        let (recommended_any, is_renewal) = (!tickets.recommended.is_empty(), !recommended.is_empty());
        let workers: Vec<WorkerIncarnation> = if recommended.is_empty() {
            untried.into_iter().take(request_size(&cost, step_spec)).collect()
        } else {
            recommended.into_iter().take(MAX_REQUEST_WORKERS).collect()
        };
        if workers.is_empty() {
            return;
        }
        let kind = match (recommended_any, is_renewal) {
            (false, _) => RequestKind::First,
            (true, false) => RequestKind::Further,
            (true, true) => RequestKind::Renewal,
        };
        let since = if kind == RequestKind::First { *tickets.first_since.get_or_insert(now) } else { now };
        tickets.pending = true;
        self.counters.recommendation_requests += 1;
        self.counters.first_requests += u64::from(kind == RequestKind::First);
        self.counters.renewal_requests += u64::from(kind == RequestKind::Renewal);
        let capacity = workers.first().and_then(|w| self.workers.get(w)).map(|w| w.entry.capacity);
        // On a busy fleet few workers have room, and further calls would cost more than a cut saves.
        let can_cut = self.is_fleet_idle && cost.call_duration(workers.len()) > FAST_REQUEST_COST;
        let min_workers = capacity.filter(|_| can_cut).map_or(workers.len(), |c| cut_size(step_spec, c));
        let urgency = self.urgency(key);
        let latest_start = urgency.as_ref().map_or(now, Urgency::latest_start);
        let is_excess = urgency.is_some_and(|u| u.is_excess);
        let rank = self.request_rank(kind, since, latest_start).excess(is_excess);
        let request = RecommendationRequest { step: key, kind, workers, min_workers, cost, rank };
        self.pending_requests.insert(key, PendingRequest { kind, rank, since, duration: request.duration() });
        self.actions.push(Action::RequestRecommendation(request));
    }

    fn request_rank(&self, kind: RequestKind, since: Timestamp, latest_start: Timestamp) -> RequestRank {
        if self.is_fleet_idle {
            RequestRank::with_room(kind, since, latest_start)
        } else {
            RequestRank::on_busy_fleet(latest_start)
        }
    }

    /// Returns the time that the hosts need for the first request of a new job and those made before it; zero when there
    /// are none. A slow request waits for all others, since more urgent ones that arrive later are made first, unless they
    /// are of jobs that are not entitled.
    ///
    /// With `is_idle`, the fleet has room and the job must begin at once: calls that arrive later count too, and only the
    /// hosts that may make long calls.
    pub(super) fn request_backlog(
        &self,
        now: Timestamp,
        spec: &JobSpec,
        is_excess: bool,
        is_idle: bool,
    ) -> Duration {
        let Some(cost) = spec.queue.recommendation else { return Duration::ZERO };
        let own = cost.call_duration(MIN_REQUEST_WORKERS);
        let is_slow = own > FAST_REQUEST_COST;
        let latest_start = now + spec.objective().saturating_sub(spec.critical_path());
        let rank = self.request_rank(RequestKind::First, now, latest_start).excess(is_excess);
        let is_ahead = |r: &&PendingRequest| r.rank <= rank || (is_slow && (is_excess || !r.rank.is_excess));
        let durations = || self.pending_requests.values().filter(is_ahead).map(|r| r.duration);
        let ahead: Duration = durations().sum();
        if ahead.is_zero() {
            return Duration::ZERO;
        }
        let by_hosts =
            |total: Duration, hosts: usize| total / u32::try_from(hosts).unwrap_or(u32::MAX).max(1);
        let all = by_hosts(ahead + own, self.requesting_hosts);
        if !is_slow || !is_idle {
            return all;
        }
        let slow: Duration = durations().filter(|d| *d > FAST_REQUEST_COST).sum();
        all.max(by_hosts(slow + own, hosts_for_long_calls(self.requesting_hosts))) + LATER_REQUESTS_WAIT
    }

    /// Makes the first request of a step as soon as the step is ready, so that the next pass can already use the answer.
    pub(super) fn request_first_tickets(&mut self, now: Timestamp, key: StepKey) {
        let Some(job) = self.jobs.get(&key.job).filter(|j| j.spec.queue.recommendation.is_some()) else {
            return;
        };
        let tickets = &job.occurrences[key.occurrence as usize][key.step as usize].tickets;
        // A pass requests the tickets once there is room among the pending requests.
        let is_full = self.pending_requests.len() >= MAX_PENDING_REQUESTS;
        if tickets.pending || !tickets.requested.is_empty() || is_full || !self.has_cap_room(key) {
            return;
        }
        let step_spec = &job.spec.steps[key.step as usize];
        let resources = step_spec.reserved();
        let can_run = |w: &&crate::shard::worker::Worker| {
            *w.entry.service == *job.spec.queue.service
                && resources.fits(w.entry.capacity)
                && step_spec.label.as_ref().is_none_or(|l| w.entry.labels.contains(l))
                && w.is_usable(now)
        };
        let able = self.workers.values().filter(can_run);
        if let Some(paces) = self.request_paces(now, key) {
            let offers = able.map(|w| RequestOffer {
                is_isolated: w.health.is_isolated(now),
                free: w.free_resources(),
                pace: paces.pace(self.placement_speed(&w.entry.incarnation)),
                incarnation: &w.entry.incarnation,
            });
            let workers = order_by_pace(offers.collect(), step_spec, paces.size);
            return self.request_tickets(now, key, Vec::new(), workers);
        }
        let mut workers: Vec<_> = able
            .map(|w| {
                (w.health.is_isolated(now), std::cmp::Reverse(w.free_resources().cpu), &w.entry.incarnation)
            })
            .collect();
        workers.sort();
        let workers = workers.into_iter().map(|(_, _, incarnation)| incarnation.clone()).collect();
        self.request_tickets(now, key, Vec::new(), workers);
    }

    /// Returns how the workers of a step's request rank by their speeds; `None` where speeds are not considered.
    pub(super) fn request_paces(&self, now: Timestamp, key: StepKey) -> Option<RequestPaces> {
        let goal = self.goal(now, key);
        goal.time_left?;
        let spec = &self.jobs.get(&key.job)?.spec;
        let size = request_size(&spec.queue.recommendation?, &spec.steps[key.step as usize]);
        Some(RequestPaces { goal, median: self.median_duration(key)?, size })
    }

    pub(super) fn on_recommendation(
        &mut self,
        now: Timestamp,
        key: StepKey,
        requested: Vec<WorkerIncarnation>,
        recommended: Option<Vec<(Arc<str>, String)>>,
    ) {
        let pending = self.pending_requests.remove(&key);
        let kind = pending.map_or("unknown", |r| r.kind.as_str());
        let wait = pending.map_or(Duration::ZERO, |r| now.since(r.since).saturating_sub(r.duration));
        let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        if pending.is_some_and(|r| r.kind == RequestKind::First) {
            self.counters.longest_first_wait = self.counters.longest_first_wait.max(wait_ms);
        }
        self.pass_due = true;
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let Some(cost) = job.spec.queue.recommendation else { return };
        let steps = job.occurrences.get_mut(key.occurrence as usize);
        let Some(step) = steps.and_then(|o| o.get_mut(key.step as usize)) else { return };
        let tickets = &mut step.tickets;
        tickets.pending = false;
        let Some(recommended) = recommended else {
            tickets.next_request = now + REQUEST_RETRY_DELAY;
            log::info!(target: "decision", "advice step={key} outcome=unanswered workers={}", requested.len());
            return;
        };
        let named = requested.len();
        let good = recommended.len();
        let withdrawn = tickets.answer(now + Self::ticket_validity(&cost), requested, recommended);
        log::info!(
            target: "decision",
            "advice step={key} workers={named} good={good} withdrawn={withdrawn} kind={kind} wait_ms={wait_ms}"
        );
        self.counters.withdrawn_recommendations += withdrawn;
    }

    /// Marks a ticket as expired after its worker has refused it. After several tickets the worker is no longer recommended.
    pub(super) fn expire_ticket(&mut self, key: StepKey, incarnation: &WorkerIncarnation) {
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let tickets = &mut job.occurrences[key.occurrence as usize][key.step as usize].tickets;
        let Some(ticket) = tickets.recommended.get_mut(incarnation) else { return };
        ticket.until = Timestamp::ZERO;
        ticket.refusals += 1;
        if ticket.refusals >= MAX_TICKET_REFUSALS {
            log::info!(target: "decision", "advice step={key} worker={incarnation} outcome=withdrawn refusals={}", ticket.refusals);
            tickets.recommended.remove(incarnation);
            self.counters.withdrawn_recommendations += 1;
        }
    }

    /// Records that a worker has accepted its ticket.
    pub(super) fn accept_ticket(&mut self, key: StepKey, incarnation: &WorkerIncarnation) {
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let tickets = &mut job.occurrences[key.occurrence as usize][key.step as usize].tickets;
        if let Some(ticket) = tickets.recommended.get_mut(incarnation) {
            ticket.refusals = 0;
        }
    }
}

/// How the workers of a request rank by their speeds.
pub(super) struct RequestPaces {
    goal: Goal,
    /// Expected duration of a task on a worker of median speed.
    median: Duration,
    /// Number of workers in a request.
    pub(super) size: usize,
}

impl RequestPaces {
    /// Returns the rank of a worker by its speed.
    pub(super) fn pace(&self, speed: Option<Speed>) -> Pace {
        self.goal.pace(speed.map(|speed| self.median.div_f64(speed.ratio())))
    }
}

/// Worker that a recommendation request may name.
pub(super) struct RequestOffer<'a> {
    pub(super) is_isolated: bool,
    pub(super) free: Resources,
    pub(super) pace: Pace,
    pub(super) incarnation: &'a WorkerIncarnation,
}

/// Returns the workers in the order in which a request of `size` workers names them: as placement would choose, those with
/// room first. If the first of them have too little room for the tasks of a gang, those with most room go first instead.
pub(super) fn order_by_pace(
    mut offers: Vec<RequestOffer<'_>>,
    step_spec: &StepSpec,
    size: usize,
) -> Vec<WorkerIncarnation> {
    let resources = step_spec.reserved();
    let by_room =
        |o: &RequestOffer<'_>| (o.is_isolated, !resources.fits(o.free), std::cmp::Reverse(o.free.cpu));
    offers.sort_by_key(|o| (o.is_isolated, !resources.fits(o.free), o.pace, by_room(o)));
    let room = |o: &RequestOffer<'_>| fitting_tasks(resources, o.free) as usize;
    let needed = step_spec.tasks as usize * WORKERS_PER_TASK;
    if step_spec.gang && offers.iter().take(size).map(room).sum::<usize>() < needed {
        offers.sort_by_key(|o| (by_room(o), o.pace));
    }
    offers.into_iter().map(|o| o.incarnation.clone()).collect()
}

/// Returns the number of workers in a first request.
fn request_size(cost: &RecommendationCost, step_spec: &StepSpec) -> usize {
    if cost.per_worker * u32::try_from(MAX_REQUEST_WORKERS).unwrap_or(u32::MAX) <= CHEAP_REQUEST_COST {
        return MAX_REQUEST_WORKERS;
    }
    (step_spec.tasks as usize * WORKERS_PER_TASK).clamp(MIN_REQUEST_WORKERS, MAX_REQUEST_WORKERS)
}

/// Returns the number of workers to which a first request may be cut, if they have `capacity` each.
fn cut_size(step_spec: &StepSpec, capacity: Resources) -> usize {
    let per_worker =
        fitting_tasks(step_spec.reserved(), capacity).min(step_spec.max_per_worker.unwrap_or(u32::MAX));
    let needed = step_spec.tasks.div_ceil(per_worker.max(1)) as usize;
    needed.saturating_mul(WORKERS_PER_NEEDED).max(MIN_CUT_WORKERS)
}
