//! Queues, slots and connections of owned workers.
//!
//! The owner of a shard alone sends requests to its workers, so the limits of a worker hold by counting. A slot is held
//! until the whole answer has arrived. When the connection breaks, the backend server may still work on the request, so
//! the slot is held for the run limit of the class.

mod baseline;
mod ewma;
mod flight;
mod grants;
mod line;
mod message;
mod policy;
mod queueing;
mod shares;
mod view;
mod worker;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use rand::Rng;

pub use self::baseline::{Fifo, StrictPriority};
use self::ewma::Ewma;
use self::grants::usable_grant;
pub use self::message::*;
pub use self::policy::{Full, QueueItem, QueuePolicy, SlotView};
pub use self::shares::ClassShares;
use self::worker::Worker;
use crate::duty::Duty;
use crate::id::{Epoch, ShardId, TeamId, WorkerId};
use crate::ownership::Grant;
use crate::request::{Class, Request};
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
