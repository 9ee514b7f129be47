//! Queues requests for owned shards and dispatches them to workers.
//!
//! Only the owner of a shard sends requests to its workers, so local counters are enough to enforce the slot and
//! connection limits of a worker. A slot is held until the complete answer has arrived. When the connection breaks, the
//! backend server may still be processing the request, so the slot stays held for the run limit of the class.

mod baseline;
mod ewma;
mod fifo_queue;
mod grants;
mod in_flight;
mod message;
mod policy;
mod queueing;
mod shares;
mod slot_view;
mod worker;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use rand::Rng;

pub use self::baseline::{Fifo, StrictPriority};
use self::ewma::Ewma;
use self::grants::usable_grant;
pub use self::message::*;
pub use self::policy::{QueueFull, QueueItem, QueuePolicy, SlotView};
pub use self::shares::ClassShares;
use self::worker::Worker;
use crate::id::{Epoch, ShardId, TeamId, WorkerId};
use crate::ownership::Grant;
use crate::request::{Class, Request};
use crate::state_machine::StateMachine;
use crate::unit::Timestamp;

/// Time before its deadline at which a queued request expires, so that the outcome reaches the caller in time.
///
/// Covers one tick here, one tick at the front and the message back to the front.
const EXPIRY_MARGIN: Duration = Duration::from_millis(30);

/// Time for which forward ids are remembered to detect duplicate messages.
const SEEN_RETENTION: Duration = Duration::from_secs(60);

/// Time added to the run limit before a missing answer is treated as a broken connection.
const ANSWER_GRACE: Duration = Duration::from_secs(5);

/// Run limit of a class without an entry in the configuration.
const DEFAULT_RUN_LIMIT: Duration = Duration::from_secs(60);

/// Minimum retry delay that is reported to a refused caller.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Queue and workers of one shard; without a grant, nothing is dispatched.
#[derive(Debug)]
struct Shard {
    grant: Option<Grant>,
    queue: Box<dyn QueuePolicy>,
    workers: BTreeSet<WorkerId>,
}

/// Request in the queue of its shard.
#[derive(Debug)]
struct QueuedRequest {
    shard: ShardId,
    request: Request,
    queued_at: Timestamp,
}

/// Request that was sent to a worker and holds one of its slots.
#[derive(Debug)]
struct InFlightRequest {
    shard: ShardId,
    epoch: Epoch,
    worker: WorkerId,
    class: Class,
    team: TeamId,
    started: Timestamp,
    /// Time at which a missing answer counts as a broken connection, or a broken request releases its slot.
    timer: Timestamp,
    /// Set once the outcome has been reported, or when the front no longer waits for it.
    outcome_not_needed: bool,
    /// Set when the connection broke; the slot stays held until `timer`.
    broken: bool,
}

/// Dispatch duty of one host: admits, queues and sends the requests of the shards that the host owns.
#[derive(Debug)]
pub struct Dispatcher {
    policy: Box<dyn QueuePolicy>,
    limits: DispatchLimits,
    shards: BTreeMap<ShardId, Shard>,
    workers: BTreeMap<WorkerId, Worker>,
    draining: BTreeSet<WorkerId>,
    queued: BTreeMap<ForwardId, QueuedRequest>,
    deadlines: BTreeSet<(Timestamp, ForwardId)>,
    in_flight: BTreeMap<ForwardId, InFlightRequest>,
    timers: BTreeSet<(Timestamp, ForwardId)>,
    /// Recent forward ids, for deduplication.
    seen_forwards: BTreeSet<ForwardId>,
    seen_order: VecDeque<(Timestamp, ForwardId)>,
    /// Number of in-flight requests per epoch.
    epoch_requests: BTreeMap<Epoch, u32>,
    /// Epochs to report as quiescent once their last request has ended.
    ending_epochs: BTreeSet<Epoch>,
    /// Mean run time per class, seconds.
    run_times: BTreeMap<Class, Ewma>,
    stopping: bool,
}

impl Default for Dispatcher {
    fn default() -> Self {
        Self::new(Box::new(ClassShares::default()))
    }
}

impl Dispatcher {
    /// Creates a dispatcher that gives each shard an empty copy of `policy`.
    ///
    /// `Dispatcher::default()` uses [`ClassShares`].
    #[must_use]
    pub fn new(policy: Box<dyn QueuePolicy>) -> Self {
        Self {
            policy,
            limits: DispatchLimits { classes: BTreeMap::new(), teams: BTreeMap::new() },
            shards: BTreeMap::new(),
            workers: BTreeMap::new(),
            draining: BTreeSet::new(),
            queued: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            in_flight: BTreeMap::new(),
            timers: BTreeSet::new(),
            seen_forwards: BTreeSet::new(),
            seen_order: VecDeque::new(),
            epoch_requests: BTreeMap::new(),
            ending_epochs: BTreeSet::new(),
            run_times: BTreeMap::new(),
            stopping: false,
        }
    }

    /// Returns the load of each shard that has a valid grant, for the fronts.
    ///
    /// A stopping host reports no services and no free slots.
    #[must_use]
    pub fn load(&self, now: Timestamp) -> Vec<LoadSummary> {
        let granted =
            self.shards.iter().filter_map(|(id, shard)| Some((id, shard, usable_grant(shard, now)?)));
        granted.map(|(id, shard, grant)| self.load_summary(id, shard, grant, now)).collect()
    }

    /// Returns whether nothing is queued or in flight, so that a graceful stop may proceed.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.queued.is_empty() && self.in_flight.is_empty()
    }

    /// Returns the number of queued requests over all shards.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.queued.len()
    }

    /// Returns the number of held slots of a worker, 0 if it is unknown.
    #[must_use]
    pub fn held(&self, worker: &WorkerId) -> u32 {
        self.workers.get(worker).map_or(0, Worker::held_slots)
    }

    fn set_backends(&mut self, now: Timestamp, specs: Vec<BackendSpec>, out: &mut Vec<DispatchAction>) {
        for worker in self.workers.values_mut() {
            worker.configured = false;
        }
        for shard in self.shards.values_mut() {
            shard.workers.clear();
        }
        for spec in specs {
            let (worker, shard) = (spec.worker.clone(), spec.shard.clone());
            self.shard(&shard).workers.insert(worker.clone());
            let entry = self.workers.entry(worker).or_insert_with(|| Worker::new(spec.clone()));
            entry.spec = spec;
            entry.configured = true;
        }
        self.workers.retain(|_, worker| worker.configured || worker.held_slots() > 0);
        self.dispatch_all(now, out);
    }

    fn set_limits(&mut self, limits: DispatchLimits) {
        self.policy.set_limits(&limits);
        for shard in self.shards.values_mut() {
            shard.queue.set_limits(&limits);
        }
        self.limits = limits;
    }

    fn tick(&mut self, now: Timestamp, out: &mut Vec<DispatchAction>) {
        self.expire_queued(now, out);
        self.expire_in_flight(now, out);
        while self.seen_order.front().is_some_and(|(at, _)| now.since(*at) > SEEN_RETENTION) {
            if let Some((_, forward)) = self.seen_order.pop_front() {
                self.seen_forwards.remove(&forward);
            }
        }
        self.dispatch_all(now, out);
        self.report_quiescent_if_stopping(out);
    }
}

impl StateMachine for Dispatcher {
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
            DispatchEvent::GrantLost { shard, epoch } => self.revoke_grant(&shard, epoch, out),
            DispatchEvent::Backends(specs) => self.set_backends(now, specs, out),
            DispatchEvent::Draining { worker, draining } => {
                if draining {
                    self.draining.insert(worker);
                } else {
                    self.draining.remove(&worker);
                    self.dispatch_all(now, out);
                }
            }
            DispatchEvent::Limits(limits) => self.set_limits(limits),
            DispatchEvent::Submit { forward, shard, request } => {
                self.on_submit(now, (forward, shard), request, out);
            }
            DispatchEvent::Withdraw { forward } => self.on_withdraw(now, forward, out),
            DispatchEvent::FrontLost { front } => self.on_front_lost(now, front, out),
            DispatchEvent::Answered { forward, answer } => self.on_answered(now, forward, answer, out),
            DispatchEvent::NotSent { forward } => self.on_not_sent(now, forward, out),
            DispatchEvent::ConnectionBroken { forward } => self.on_connection_broken(now, forward, out),
            DispatchEvent::Stop => self.on_stop(out),
            DispatchEvent::Tick => self.tick(now, out),
        }
    }
}
