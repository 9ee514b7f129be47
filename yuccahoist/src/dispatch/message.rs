//! Events and actions of the dispatch duty.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::{Epoch, Incarnation, ServiceId, ShardId, TeamId, WorkerId};
use crate::ownership::Grant;
use crate::request::{Answer, Class, Outcome, Request};
use crate::unit::{Connections, Slots};

/// Identifier of one forward of a request from a front to an owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ForwardId {
    /// Incarnation of the host whose front sent the forward.
    pub front: Incarnation,
    /// Sequence number, unique within the incarnation.
    pub number: u64,
}

/// Configuration of a worker as the dispatch duty needs it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendSpec {
    /// Worker that runs the backend servers.
    pub worker: WorkerId,
    /// Shard to which the worker belongs.
    pub shard: ShardId,
    /// Services that its backend servers offer.
    pub services: Vec<ServiceId>,
    /// Requests that may be in flight under a full share.
    pub slots: Slots,
    /// Connections to the backend servers that may be open under a full share.
    pub connections: Connections,
}

/// Limits of one request class, from the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct ClassLimits {
    /// Guaranteed share of a shard's slots, 0 to 1.
    pub share: f64,
    /// Queue capacity per shard, in requests.
    pub queue: usize,
    /// Maximum run time; the slot of a request whose connection broke stays held for this long.
    pub run_limit: Duration,
    /// Maximum time from arrival to deadline that a caller may request.
    pub deadline_limit: Duration,
}

/// Limits that the dispatch duty enforces, from the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct DispatchLimits {
    /// Limits of each class; a class without an entry has no queue.
    pub classes: BTreeMap<Class, ClassLimits>,
    /// Scheduling weight of each team within a class; 1 for a team without an entry.
    pub teams: BTreeMap<TeamId, u32>,
}

/// Input of the dispatch duty.
#[derive(Debug, Clone)]
pub enum DispatchEvent {
    /// The lease on a shard was granted, or its share changed.
    Granted {
        /// Shard that this host owns now.
        shard: ShardId,
        /// Epoch, share and validity of the lease.
        grant: Grant,
    },
    /// The lease on a shard ended: queued requests end as `NotRun(NotOwner)`, in-flight ones continue.
    GrantLost {
        /// Shard that this host no longer owns.
        shard: ShardId,
        /// Epoch of the lease that ended.
        epoch: Epoch,
    },
    /// Replaces the set of workers, derived from the configuration and the host list.
    Backends(Vec<BackendSpec>),
    /// The drain of a worker started or was cancelled.
    Draining {
        /// Worker that drains or accepts requests again.
        worker: WorkerId,
        /// Whether the worker is draining.
        draining: bool,
    },
    /// Replaces the limits after a configuration change.
    Limits(DispatchLimits),
    /// A front forwarded a request for a shard of this host.
    Submit {
        /// New forward, to which all replies refer.
        forward: ForwardId,
        /// Shard to which the front routed the request.
        shard: ShardId,
        /// Request, with its deadline on the local clock.
        request: Request,
    },
    /// The front no longer waits: a queued request is dropped, an in-flight one continues.
    Withdraw {
        /// Forward to withdraw.
        forward: ForwardId,
    },
    /// A front failed; all its requests are withdrawn.
    FrontLost {
        /// Incarnation of the failed front.
        front: Incarnation,
    },
    /// A backend server answered.
    Answered {
        /// Forward that the message is about.
        forward: ForwardId,
        /// Complete answer.
        answer: Answer,
    },
    /// The connection failed before any byte of the request was sent.
    NotSent {
        /// Forward that the message is about.
        forward: ForwardId,
    },
    /// The connection broke after part of the request was sent.
    ConnectionBroken {
        /// Forward that the message is about.
        forward: ForwardId,
    },
    /// Graceful stop: refuse new requests, finish queued and in-flight ones.
    Stop,
    /// Periodic timer.
    Tick,
}

/// Output of the dispatch duty, carried out by the host.
#[derive(Debug, Clone, PartialEq)]
pub enum DispatchAction {
    /// Send a request to a backend server, unless `until` has passed by then.
    Send {
        /// Forward that the request belongs to.
        forward: ForwardId,
        /// Worker whose backend server gets the request.
        worker: WorkerId,
        /// Epoch of the grant, for fencing.
        epoch: Epoch,
        /// Latest time at which the request may be sent, on the local clock.
        until: crate::unit::Timestamp,
        /// Request to send.
        request: Request,
    },
    /// Tell the front that the request is queued or in flight.
    Accepted {
        /// Forward that the message is about.
        forward: ForwardId,
    },
    /// Report the outcome to the front; at most once per forward.
    Finished {
        /// Forward that the message is about.
        forward: ForwardId,
        /// Final outcome of the forward.
        outcome: Outcome,
    },
    /// The last request of an ended epoch has finished.
    Quiescent {
        /// Epoch without requests in flight.
        epoch: Epoch,
    },
    /// Write a dispatch decision to the decision log.
    Decision(Decision),
}

/// Dispatch decision, written to the decision log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Decision {
    /// Request that was dispatched or refused.
    pub request: crate::id::RequestId,
    /// Class of the request.
    pub class: Class,
    /// Worker that was chosen; `None` if the request was refused.
    pub chosen: Option<WorkerId>,
    /// Second best worker, if any.
    pub runner_up: Option<WorkerId>,
    /// Reason for the choice, or the limit that caused the refusal.
    pub reason: String,
    /// Time that the request spent in the queue.
    pub waited: Duration,
}

/// Load of one shard, sent periodically to the fronts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadSummary {
    /// Shard that the sending host owns.
    pub shard: ShardId,
    /// Epoch of the owner's lease.
    pub epoch: Epoch,
    /// Free slots that each class may use at present.
    pub free: BTreeMap<Class, u32>,
    /// Expected queueing time per class, milliseconds.
    pub wait_ms: BTreeMap<Class, u32>,
    /// Services that usable workers offer; empty on a stopping host.
    pub services: Vec<ServiceId>,
}
