//! Events and actions of the dispatch duty.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::{Epoch, Incarnation, ServiceId, ShardId, TeamId, WorkerId};
use crate::ownership::Grant;
use crate::request::{Answer, Class, Outcome, Request};
use crate::unit::{Connections, Slots};

/// Number of a forwarded request, unique per front.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ForwardId {
    /// Front that forwards.
    pub front: Incarnation,
    /// Counter of the front.
    pub number: u64,
}

/// Worker of a shard, as the dispatch duty needs it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendSpec {
    /// Worker.
    pub worker: WorkerId,
    /// Shard.
    pub shard: ShardId,
    /// Services that its backend servers offer.
    pub services: Vec<ServiceId>,
    /// Request slots.
    pub slots: Slots,
    /// Connections.
    pub connections: Connections,
}

/// Limits of one class.
#[derive(Debug, Clone, PartialEq)]
pub struct ClassLimits {
    /// Guaranteed share of a shard's slots, 0 to 1.
    pub share: f64,
    /// Requests that may wait per shard.
    pub queue: usize,
    /// Longest run time; a slot counts as used until then when the connection broke.
    pub run_limit: Duration,
    /// Longest deadline that a caller may ask for.
    pub deadline_limit: Duration,
}

/// Limits that the dispatch duty applies, from the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct DispatchLimits {
    /// Limits per class.
    pub classes: BTreeMap<Class, ClassLimits>,
    /// Weight of each team within a class.
    pub teams: BTreeMap<TeamId, u32>,
}

/// What the dispatch duty reacts to.
#[derive(Debug, Clone)]
pub enum DispatchEvent {
    /// Lease on a shard was granted or its share changed.
    Granted {
        /// Shard.
        shard: ShardId,
        /// Grant.
        grant: Grant,
    },
    /// Lease on a shard ended: queued requests end as `NotRun(NotOwner)`, running ones go on.
    Lost {
        /// Shard.
        shard: ShardId,
        /// Epoch.
        epoch: Epoch,
    },
    /// Workers, by configuration and host list.
    Backends(Vec<BackendSpec>),
    /// Worker whose backend server is leaving or is back.
    Draining {
        /// Worker.
        worker: WorkerId,
        /// Whether it is leaving.
        draining: bool,
    },
    /// Limits, by configuration.
    Limits(DispatchLimits),
    /// Request for a shard of this host.
    Submit {
        /// Number of the forward.
        forward: ForwardId,
        /// Shard that the front chose.
        shard: ShardId,
        /// Request; its deadline is on the local clock.
        request: Request,
    },
    /// Front no longer waits; a queued request is dropped, a running one goes on.
    Withdraw {
        /// Number of the forward.
        forward: ForwardId,
    },
    /// Front was lost: withdraw all its requests.
    FrontLost {
        /// Front.
        front: Incarnation,
    },
    /// Backend server answered.
    Answered {
        /// Number of the forward.
        forward: ForwardId,
        /// Whole answer.
        answer: Answer,
    },
    /// Connection failed before any byte of the request was sent.
    NotSent {
        /// Number of the forward.
        forward: ForwardId,
    },
    /// Connection broke after a part of the request was sent.
    Broken {
        /// Number of the forward.
        forward: ForwardId,
    },
    /// Planned stop: refuse new requests, finish queued and running ones.
    Stop,
    /// Time passed.
    Tick,
}

/// What the dispatch duty asks for.
#[derive(Debug, Clone, PartialEq)]
pub enum DispatchAction {
    /// Send a request to a backend server, unless the grant has ended by then.
    Send {
        /// Number of the forward.
        forward: ForwardId,
        /// Worker.
        worker: WorkerId,
        /// Epoch for fencing.
        epoch: Epoch,
        /// Last time at which it may be sent, on the local clock.
        until: crate::unit::Timestamp,
        /// Request.
        request: Request,
    },
    /// Tell the front that the request is queued or running.
    Accepted {
        /// Number of the forward.
        forward: ForwardId,
    },
    /// Tell the front the outcome.
    Finished {
        /// Number of the forward.
        forward: ForwardId,
        /// Outcome.
        outcome: Outcome,
    },
    /// No request of an epoch is in progress any more.
    Quiescent {
        /// Epoch.
        epoch: Epoch,
    },
    /// Decision for the log.
    Decision(Decision),
}

/// Routing decision with its reason.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Decision {
    /// Request.
    pub request: crate::id::RequestId,
    /// Class.
    pub class: Class,
    /// Worker that was chosen; none when refused.
    pub chosen: Option<WorkerId>,
    /// Second best worker, if any.
    pub runner_up: Option<WorkerId>,
    /// Reason, or the limit that refused.
    pub reason: String,
    /// Time in the queue.
    pub waited: Duration,
}

/// Load of one shard, sent to fronts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadSummary {
    /// Shard.
    pub shard: ShardId,
    /// Epoch of the owner.
    pub epoch: Epoch,
    /// Free slots that each class may use now.
    pub free: BTreeMap<Class, u32>,
    /// Expected wait per class, milliseconds.
    pub wait_ms: BTreeMap<Class, u32>,
    /// Services offered.
    pub services: Vec<ServiceId>,
}
