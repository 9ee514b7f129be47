//! Queues, slots and connections of owned workers.
//!
//! The owner of a shard alone sends requests to its workers, so the limits of a worker hold by counting. A slot is held
//! until the whole answer has arrived. When the connection breaks, the backend server may still work on the request, so
//! the slot is held for the run limit of the class.

mod baseline;
mod ewma;
mod line;
mod message;
mod policy;
mod shares;
mod worker;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use rand::Rng;

pub use self::baseline::{Fifo, StrictPriority};
use self::ewma::Ewma;
pub use self::message::*;
pub use self::policy::{Full, QueueItem, QueuePolicy, SlotView};
pub use self::shares::ClassShares;
use self::worker::Worker;
use crate::duty::Duty;
use crate::id::{Epoch, Incarnation, ServiceId, ShardId, TeamId, WorkerId};
use crate::ownership::{Grant, Share};
use crate::request::{Answer, Class, Doubt, Outcome, Refusal, Request};
use crate::unit::Timestamp;

/// Time before its deadline at which a queued request is given up, so that the outcome reaches the caller in time.
const EXPIRY_MARGIN: Duration = Duration::from_millis(30); // a tick here, a tick at the front, and the way back

/// Time for which the number of a forward is remembered, to find a second copy of it.
const SEEN_RETENTION: Duration = Duration::from_secs(60);

/// Time beyond the run limit after which an answer is not expected any more.
const ANSWER_GRACE: Duration = Duration::from_secs(5);

/// Run limit of a class that the configuration does not name.
const DEFAULT_RUN_LIMIT: Duration = Duration::from_secs(60);

/// Shortest time that a refused caller is told to wait.
const RETRY_MIN: Duration = Duration::from_millis(100);

/// Shard with its queue.
#[derive(Debug)]
struct Shard {
    grant: Option<Grant>,
    queue: Box<dyn QueuePolicy>,
    workers: BTreeSet<WorkerId>,
}

/// Request that waits for a slot.
#[derive(Debug)]
struct Waiting {
    shard: ShardId,
    request: Request,
    at: Timestamp,
}

/// Request that holds a slot.
#[derive(Debug)]
struct Flight {
    shard: ShardId,
    epoch: Epoch,
    worker: WorkerId,
    class: Class,
    team: TeamId,
    started: Timestamp,
    /// Time at which the slot is released, or the answer given up.
    timer: Timestamp,
    /// Whether the outcome is not reported any more: reported already, or not awaited.
    silent: bool,
    /// Whether the connection broke.
    broken: bool,
}

/// Dispatch duty of one host.
#[derive(Debug)]
pub struct Dispatcher {
    policy: Box<dyn QueuePolicy>,
    limits: DispatchLimits,
    shards: BTreeMap<ShardId, Shard>,
    workers: BTreeMap<WorkerId, Worker>,
    draining: BTreeSet<WorkerId>,
    waiting: BTreeMap<ForwardId, Waiting>,
    deadlines: BTreeSet<(Timestamp, ForwardId)>,
    flights: BTreeMap<ForwardId, Flight>,
    timers: BTreeSet<(Timestamp, ForwardId)>,
    seen: BTreeSet<ForwardId>,
    seen_order: VecDeque<(Timestamp, ForwardId)>,
    active: BTreeMap<Epoch, u32>,
    ending: BTreeSet<Epoch>,
    run: BTreeMap<Class, Ewma>,
    stopping: bool,
}

impl Default for Dispatcher {
    fn default() -> Self {
        Self::new(Box::new(ClassShares::default()))
    }
}

impl Dispatcher {
    /// Dispatcher whose shards queue by copies of an empty policy; `Dispatcher::default()` has the class shares.
    #[must_use]
    pub fn new(policy: Box<dyn QueuePolicy>) -> Self {
        Self {
            policy,
            limits: DispatchLimits { classes: BTreeMap::new(), teams: BTreeMap::new() },
            shards: BTreeMap::new(),
            workers: BTreeMap::new(),
            draining: BTreeSet::new(),
            waiting: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            flights: BTreeMap::new(),
            timers: BTreeSet::new(),
            seen: BTreeSet::new(),
            seen_order: VecDeque::new(),
            active: BTreeMap::new(),
            ending: BTreeSet::new(),
            run: BTreeMap::new(),
            stopping: false,
        }
    }

    /// Load of the shards under a valid grant, for fronts. A stopping host offers no service.
    #[must_use]
    pub fn load(&self, now: Timestamp) -> Vec<LoadSummary> {
        let granted =
            self.shards.iter().filter_map(|(id, shard)| Some((id, shard, usable_grant(shard, now)?)));
        granted.map(|(id, shard, grant)| self.summary(id, shard, grant, now)).collect()
    }

    /// Whether nothing is queued or in progress; a planned stop may go on.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.flights.is_empty()
    }

    /// Requests that wait for a slot.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.waiting.len()
    }

    /// Slots of a worker that are held.
    #[must_use]
    pub fn held(&self, worker: &WorkerId) -> u32 {
        self.workers.get(worker).map_or(0, Worker::used)
    }

    fn summary(&self, id: &ShardId, shard: &Shard, grant: &Grant, now: Timestamp) -> LoadSummary {
        let usable = self.usable(shard, now);
        let view = self.view(&usable, grant.share);
        let physical: u32 = usable.iter().map(|worker| worker.free(grant.share)).sum();
        let free = |class| if self.stopping { 0 } else { shard.queue.room(class, &view).min(physical) };
        let wait =
            |class| u32::try_from(shard.queue.wait(class, None, &view).as_millis()).unwrap_or(u32::MAX);
        let services: BTreeSet<&ServiceId> =
            usable.iter().filter(|_| !self.stopping).flat_map(|worker| &worker.spec.services).collect();
        LoadSummary {
            shard: id.clone(),
            epoch: grant.epoch,
            free: Class::ALL.into_iter().map(|class| (class, free(class))).collect(),
            wait_ms: Class::ALL.into_iter().map(|class| (class, wait(class))).collect(),
            services: services.into_iter().cloned().collect(),
        }
    }

    /// Workers that may get new work. Failing ones are left out unless more than half of the shard's workers fail.
    fn usable(&self, shard: &Shard, now: Timestamp) -> Vec<&Worker> {
        let offered = |id: &&WorkerId| !self.draining.contains(*id);
        let workers: Vec<&Worker> = shard
            .workers
            .iter()
            .filter(offered)
            .filter_map(|id| self.workers.get(id))
            .filter(|worker| worker.present)
            .collect();
        let failing = workers.iter().filter(|worker| worker.failing(now)).count();
        if failing * 2 > workers.len() {
            return workers;
        }
        workers.into_iter().filter(|worker| !worker.failing(now)).collect()
    }

    fn view(&self, usable: &[&Worker], share: Share) -> SlotView {
        let held = |class: Class| usable.iter().map(|worker| worker.held[class as usize]).sum();
        SlotView {
            capacity: usable.iter().map(|worker| worker.capacity(share)).sum(),
            held: Class::ALL.map(held),
            run: Class::ALL.map(|class| self.run.get(&class).and_then(Ewma::as_duration)),
        }
    }

    fn run_limit(&self, class: Class) -> Duration {
        self.limits.classes.get(&class).map_or(DEFAULT_RUN_LIMIT, |limits| limits.run_limit)
    }

    fn set_grant(&mut self, now: Timestamp, id: &ShardId, grant: &Grant, out: &mut Vec<DispatchAction>) {
        let shard = self.shard(id);
        let earlier = shard.grant.replace(grant.clone()).filter(|earlier| earlier.epoch != grant.epoch);
        self.ending.remove(&grant.epoch);
        if let Some(earlier) = earlier {
            self.end_epoch(earlier.epoch, out);
        }
        self.pump(now, id, out);
    }

    fn shard(&mut self, id: &ShardId) -> &mut Shard {
        let policy = &self.policy;
        self.shards.entry(id.clone()).or_insert_with(|| Shard {
            grant: None,
            queue: policy.empty(),
            workers: BTreeSet::new(),
        })
    }

    fn lose_grant(&mut self, id: &ShardId, epoch: Epoch, out: &mut Vec<DispatchAction>) {
        let Some(shard) = self.shards.get_mut(id) else {
            return self.end_epoch(epoch, out);
        };
        if shard.grant.as_ref().is_some_and(|grant| grant.epoch == epoch) {
            shard.grant = None;
            self.refuse_waiting(id, out);
        }
        self.end_epoch(epoch, out);
    }

    fn refuse_waiting(&mut self, id: &ShardId, out: &mut Vec<DispatchAction>) {
        let waiting = self.waiting.iter().filter(|(_, waiting)| waiting.shard == *id);
        let forwards: Vec<ForwardId> = waiting.map(|(forward, _)| *forward).collect();
        for forward in forwards {
            self.unqueue(forward);
            out.push(finished(forward, Outcome::NotRun(Refusal::NotOwner)));
        }
    }

    /// Reports an epoch as quiescent now or when its last request ends.
    fn end_epoch(&mut self, epoch: Epoch, out: &mut Vec<DispatchAction>) {
        if self.active.contains_key(&epoch) {
            self.ending.insert(epoch);
        } else {
            self.ending.remove(&epoch);
            out.push(DispatchAction::Quiescent { epoch });
        }
    }

    fn set_backends(&mut self, now: Timestamp, specs: Vec<BackendSpec>, out: &mut Vec<DispatchAction>) {
        for worker in self.workers.values_mut() {
            worker.present = false;
        }
        for shard in self.shards.values_mut() {
            shard.workers.clear();
        }
        for spec in specs {
            let (worker, shard) = (spec.worker.clone(), spec.shard.clone());
            self.shard(&shard).workers.insert(worker.clone());
            let entry = self.workers.entry(worker).or_insert_with(|| Worker::new(spec.clone()));
            entry.spec = spec;
            entry.present = true;
        }
        self.workers.retain(|_, worker| worker.present || worker.used() > 0);
        self.pump_all(now, out);
    }

    fn set_limits(&mut self, limits: DispatchLimits) {
        self.policy.set_limits(&limits);
        for shard in self.shards.values_mut() {
            shard.queue.set_limits(&limits);
        }
        self.limits = limits;
    }

    fn submit(
        &mut self,
        now: Timestamp,
        (forward, id): (ForwardId, ShardId),
        request: Request,
        out: &mut Vec<DispatchAction>,
    ) {
        if !self.first_copy(now, forward) {
            if self.waiting.contains_key(&forward) || self.flights.contains_key(&forward) {
                out.push(DispatchAction::Accepted { forward });
            }
            return;
        }
        if let Some((refusal, reason)) = self.admission(now, &id, &request) {
            out.push(refusal_decision(&request, reason, Duration::ZERO));
            out.push(finished(forward, Outcome::NotRun(refusal)));
            return;
        }
        self.enqueue(now, forward, Waiting { shard: id, request, at: now }, out);
    }

    /// Whether this is the first message about a forward; a second copy must not be sent to a backend server again.
    fn first_copy(&mut self, now: Timestamp, forward: ForwardId) -> bool {
        let first = self.seen.insert(forward);
        if first {
            self.seen_order.push_back((now, forward));
        }
        first
    }

    /// Reason to refuse a request at arrival.
    fn admission(&self, now: Timestamp, id: &ShardId, request: &Request) -> Option<(Refusal, &'static str)> {
        if self.stopping {
            return Some((Refusal::Stopping, "host is stopping"));
        }
        let Some((shard, grant)) =
            self.shards.get(id).and_then(|shard| Some((shard, usable_grant(shard, now)?)))
        else {
            return Some((Refusal::NotOwner, "no valid grant for the shard"));
        };
        if now >= request.deadline {
            return Some((Refusal::Expired, "deadline passed"));
        }
        let usable = self.usable(shard, now);
        if !usable.iter().any(|worker| worker.offers(&request.service)) {
            return Some((Refusal::NoOwner, "no worker of the shard offers the service"));
        }
        let view = self.view(&usable, grant.share);
        let wait = shard.queue.wait(request.class, Some(&request.team), &view);
        let late = wait > Duration::ZERO && now + wait + view.run_of(request.class) > request.deadline;
        late.then(|| {
            (Refusal::Overloaded { retry: wait.max(RETRY_MIN) }, "expected wait exceeds the deadline")
        })
    }

    fn enqueue(
        &mut self,
        now: Timestamp,
        forward: ForwardId,
        waiting: Waiting,
        out: &mut Vec<DispatchAction>,
    ) {
        let (id, class) = (waiting.shard.clone(), waiting.request.class);
        match self.shard(&id).queue.push(queue_item(forward, &waiting.request, now)) {
            Err(full) => {
                let retry = self.retry_after(now, &id, class);
                let (refusal, reason) = match full {
                    Full::Class => (Refusal::Overloaded { retry }, "queue of the class is full"),
                    Full::Team => (Refusal::TeamLimit { retry }, "team has its share of a full queue"),
                };
                out.push(refusal_decision(&waiting.request, reason, Duration::ZERO));
                out.push(finished(forward, Outcome::NotRun(refusal)));
                return;
            }
            Ok(Some(evicted)) => self.evict(now, &id, &evicted, out),
            Ok(None) => {}
        }
        self.deadlines.insert((waiting.request.deadline, forward));
        self.waiting.insert(forward, waiting);
        out.push(DispatchAction::Accepted { forward });
        self.pump(now, &id, out);
    }

    fn evict(&mut self, now: Timestamp, id: &ShardId, item: &QueueItem, out: &mut Vec<DispatchAction>) {
        let retry = self.retry_after(now, id, item.class);
        let Some(waiting) = self.forget_waiting(item.forward) else { return };
        let reason = "team has its share of a full queue";
        out.push(refusal_decision(&waiting.request, reason, now.since(waiting.at)));
        out.push(finished(item.forward, Outcome::NotRun(Refusal::TeamLimit { retry })));
    }

    fn retry_after(&self, now: Timestamp, id: &ShardId, class: Class) -> Duration {
        let Some(shard) = self.shards.get(id) else { return RETRY_MIN };
        let Some(grant) = &shard.grant else { return RETRY_MIN };
        let view = self.view(&self.usable(shard, now), grant.share);
        shard.queue.wait(class, None, &view).max(RETRY_MIN)
    }

    /// Removes a request from its queue.
    fn unqueue(&mut self, forward: ForwardId) -> Option<Waiting> {
        let waiting = self.forget_waiting(forward)?;
        if let Some(shard) = self.shards.get_mut(&waiting.shard) {
            shard.queue.remove(forward);
        }
        Some(waiting)
    }

    fn forget_waiting(&mut self, forward: ForwardId) -> Option<Waiting> {
        let waiting = self.waiting.remove(&forward)?;
        self.deadlines.remove(&(waiting.request.deadline, forward));
        Some(waiting)
    }

    fn pump_all(&mut self, now: Timestamp, out: &mut Vec<DispatchAction>) {
        let ids: Vec<ShardId> = self
            .shards
            .iter()
            .filter(|(_, shard)| !shard.queue.is_empty())
            .map(|(id, _)| id.clone())
            .collect();
        for id in ids {
            self.pump(now, &id, out);
        }
    }

    /// Sends queued requests while slots are free.
    fn pump(&mut self, now: Timestamp, id: &ShardId, out: &mut Vec<DispatchAction>) {
        while let Some((item, grant)) = self.next(now, id) {
            let Some(waiting) = self.forget_waiting(item.forward) else { continue };
            if now >= waiting.request.deadline {
                self.expire(now, item.forward, &waiting, out);
                continue;
            }
            let Some((worker, runner_up)) = self.choose(now, id, grant.share, &waiting.request.service)
            else {
                self.put_back(item, waiting);
                return;
            };
            out.push(sent_decision(&waiting, &worker, runner_up, now));
            out.push(self.start(now, item.forward, (waiting, worker), &grant));
        }
    }

    fn next(&mut self, now: Timestamp, id: &ShardId) -> Option<(QueueItem, Grant)> {
        let shard = self.shards.get(id)?;
        if shard.queue.is_empty() {
            return None;
        }
        let grant = usable_grant(shard, now)?.clone();
        let usable = self.usable(shard, now);
        let view = self.view(&usable, grant.share);
        let open = usable.iter().filter(|worker| worker.free(grant.share) > 0);
        let mut services: Vec<ServiceId> = open.flat_map(|worker| &worker.spec.services).cloned().collect();
        services.dedup();
        if services.is_empty() {
            return None;
        }
        let shard = self.shards.get_mut(id)?;
        let item = shard.queue.pop(&view, &|service| services.contains(service))?;
        Some((item, grant))
    }

    /// Worker with most free slots and the second best. Slow ones come last; equal ones take turns.
    fn choose(
        &self,
        now: Timestamp,
        id: &ShardId,
        share: Share,
        service: &ServiceId,
    ) -> Option<(WorkerId, Option<WorkerId>)> {
        let usable = self.usable(self.shards.get(id)?, now);
        let open = usable.into_iter().filter(|worker| worker.offers(service) && worker.free(share) > 0);
        let mut ranked: Vec<&Worker> = open.collect();
        ranked.sort_by_key(|worker| (worker.slow(now), Reverse(worker.free(share)), worker.used_at));
        let mut ids = ranked.into_iter().map(|worker| worker.spec.worker.clone());
        Some((ids.next()?, ids.next()))
    }

    fn put_back(&mut self, item: QueueItem, waiting: Waiting) {
        let forward = item.forward;
        if let Some(shard) = self.shards.get_mut(&waiting.shard) {
            shard.queue.restore(item);
        }
        self.deadlines.insert((waiting.request.deadline, forward));
        self.waiting.insert(forward, waiting);
    }

    /// Takes a slot of a worker and sends the request to it.
    fn start(
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

    /// Ends a flight and gives its slot back.
    fn land(&mut self, forward: ForwardId, out: &mut Vec<DispatchAction>) -> Option<Flight> {
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

    fn end_if_quiescent(&mut self, epoch: Epoch, out: &mut Vec<DispatchAction>) {
        let queued = self.stopping && self.shards.values().any(|shard| waits_under(shard, epoch));
        if !queued && !self.active.contains_key(&epoch) {
            self.end_epoch(epoch, out);
        }
    }

    fn answered(
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

    fn measure(&mut self, now: Timestamp, flight: &Flight, status: u16) {
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
        // Failures are often much faster than real runs and would make the class look short.
        if !failed && !flight.broken {
            self.run.entry(class).or_default().add(run.as_secs_f64());
            if let Some(shard) = self.shards.get_mut(&flight.shard) {
                shard.queue.measured(class, &flight.team, run);
            }
        }
    }

    /// Gives back the slot of a request that provably did not reach the backend server.
    ///
    /// The front sends it again under a new number. Sent again from here under the same number, a second copy of this
    /// event would release the slot of a running request.
    fn not_sent(&mut self, now: Timestamp, forward: ForwardId, out: &mut Vec<DispatchAction>) {
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

    fn broken(&mut self, now: Timestamp, forward: ForwardId, out: &mut Vec<DispatchAction>) {
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

    fn withdraw(&mut self, now: Timestamp, forward: ForwardId, out: &mut Vec<DispatchAction>) {
        // A withdrawal that overtakes its request must stop it, too.
        self.first_copy(now, forward);
        if self.unqueue(forward).is_some() {
            self.end_stopped(out);
        } else if let Some(flight) = self.flights.get_mut(&forward) {
            flight.silent = true;
        }
    }

    fn front_lost(&mut self, now: Timestamp, front: Incarnation, out: &mut Vec<DispatchAction>) {
        let bounds = ForwardId { front, number: 0 }..=ForwardId { front, number: u64::MAX };
        let waiting = self.waiting.range(bounds.clone()).map(|(forward, _)| *forward);
        let flights = self.flights.range(bounds).map(|(forward, _)| *forward);
        let forwards: Vec<ForwardId> = waiting.chain(flights).collect();
        for forward in forwards {
            self.withdraw(now, forward, out);
        }
    }

    fn stop(&mut self, out: &mut Vec<DispatchAction>) {
        self.stopping = true;
        let epochs = self.shards.values().filter_map(|shard| shard.grant.as_ref()).map(|grant| grant.epoch);
        self.ending.extend(epochs.collect::<Vec<_>>());
        self.end_stopped(out);
    }

    /// Reports the epochs of a stopping host that have nothing queued or in progress.
    fn end_stopped(&mut self, out: &mut Vec<DispatchAction>) {
        if !self.stopping {
            return;
        }
        for epoch in self.ending.clone() {
            self.end_if_quiescent(epoch, out);
        }
    }

    fn tick(&mut self, now: Timestamp, out: &mut Vec<DispatchAction>) {
        self.expire_waiting(now, out);
        self.expire_timers(now, out);
        while self.seen_order.front().is_some_and(|(at, _)| now.since(*at) > SEEN_RETENTION) {
            if let Some((_, forward)) = self.seen_order.pop_front() {
                self.seen.remove(&forward);
            }
        }
        self.pump_all(now, out);
        self.end_stopped(out);
    }

    fn expire_waiting(&mut self, now: Timestamp, out: &mut Vec<DispatchAction>) {
        while let Some((deadline, forward)) = self.deadlines.first().copied() {
            if now + EXPIRY_MARGIN < deadline {
                return;
            }
            match self.unqueue(forward) {
                Some(waiting) => self.expire(now, forward, &waiting, out),
                None => _ = self.deadlines.pop_first(),
            }
        }
    }

    fn expire(&self, now: Timestamp, forward: ForwardId, waiting: &Waiting, out: &mut Vec<DispatchAction>) {
        let reason = "deadline passed in the queue";
        out.push(refusal_decision(&waiting.request, reason, now.since(waiting.at)));
        out.push(finished(forward, Outcome::NotRun(Refusal::Expired)));
    }

    /// Releases slots of broken connections, and treats a missing answer as a broken connection.
    fn expire_timers(&mut self, now: Timestamp, out: &mut Vec<DispatchAction>) {
        while let Some((_, forward)) = self.timers.first().copied().filter(|(timer, _)| *timer <= now) {
            if self.flights.get(&forward).is_some_and(|flight| !flight.broken) {
                self.broken(now, forward, out);
            } else if self.land(forward, out).is_none() {
                self.timers.pop_first();
            }
        }
    }
}

/// Grant under which something may be sent now.
fn usable_grant(shard: &Shard, now: Timestamp) -> Option<&Grant> {
    shard.grant.as_ref().filter(|grant| now < grant.until && grant.share != Share::Nothing)
}

fn waits_under(shard: &Shard, epoch: Epoch) -> bool {
    !shard.queue.is_empty() && shard.grant.as_ref().is_some_and(|grant| grant.epoch == epoch)
}

fn queue_item(forward: ForwardId, request: &Request, at: Timestamp) -> QueueItem {
    QueueItem {
        forward,
        service: request.service.clone(),
        class: request.class,
        team: request.team.clone(),
        at,
    }
}

fn finished(forward: ForwardId, outcome: Outcome) -> DispatchAction {
    DispatchAction::Finished { forward, outcome }
}

fn sent_decision(
    waiting: &Waiting,
    worker: &WorkerId,
    runner_up: Option<WorkerId>,
    now: Timestamp,
) -> DispatchAction {
    DispatchAction::Decision(Decision {
        request: waiting.request.id,
        class: waiting.request.class,
        chosen: Some(worker.clone()),
        runner_up,
        reason: "most free slots".into(),
        waited: now.since(waiting.at),
    })
}

fn refusal_decision(request: &Request, reason: &str, waited: Duration) -> DispatchAction {
    DispatchAction::Decision(Decision {
        request: request.id,
        class: request.class,
        chosen: None,
        runner_up: None,
        reason: reason.into(),
        waited,
    })
}

impl Duty for Dispatcher {
    type Event = DispatchEvent;
    type Action = DispatchAction;

    fn handle(
        &mut self,
        now: Timestamp,
        event: DispatchEvent,
        _rng: &mut dyn Rng,
        out: &mut Vec<DispatchAction>,
    ) {
        match event {
            DispatchEvent::Granted { shard, grant } => self.set_grant(now, &shard, &grant, out),
            DispatchEvent::Lost { shard, epoch } => self.lose_grant(&shard, epoch, out),
            DispatchEvent::Backends(specs) => self.set_backends(now, specs, out),
            DispatchEvent::Draining { worker, draining } => {
                if draining {
                    self.draining.insert(worker);
                } else {
                    self.draining.remove(&worker);
                    self.pump_all(now, out);
                }
            }
            DispatchEvent::Limits(limits) => self.set_limits(limits),
            DispatchEvent::Submit { forward, shard, request } => {
                self.submit(now, (forward, shard), request, out);
            }
            DispatchEvent::Withdraw { forward } => self.withdraw(now, forward, out),
            DispatchEvent::FrontLost { front } => self.front_lost(now, front, out),
            DispatchEvent::Answered { forward, answer } => self.answered(now, forward, answer, out),
            DispatchEvent::NotSent { forward } => self.not_sent(now, forward, out),
            DispatchEvent::Broken { forward } => self.broken(now, forward, out),
            DispatchEvent::Stop => self.stop(out),
            DispatchEvent::Tick => self.tick(now, out),
        }
    }
}
