//! Events and actions of the front duty.

use std::time::Duration;

use crate::dispatch::{ForwardId, LoadSummary};
use crate::id::{Epoch, Incarnation, RequestId, ServiceId, ShardId, TeamId};
use crate::request::{Outcome, Request};
use crate::unit::WallTime;

/// Identifier of an open call at the HTTP interface, unique within the host incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Limits that the front enforces, from the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct FrontLimits {
    /// Services that may be called.
    pub services: std::collections::BTreeSet<ServiceId>,
    /// Teams that may send requests.
    pub teams: std::collections::BTreeSet<TeamId>,
    /// Maximum age of an accepted request id.
    pub id_window: Duration,
    /// Maximum clock difference between callers and hosts.
    pub clock_skew: Duration,
    /// Retries of requests that may have run, as a share of recent successes, 0 to 1; 0 disables them.
    pub retry_share: f64,
    /// Intent batches that this host may append per second; 0 permits none.
    pub intent_rate: u32,
    /// Maximum number of request ids in an intent batch.
    pub intent_batch: usize,
}

/// Input of the front duty.
#[derive(Debug, Clone)]
pub enum FrontEvent {
    /// A caller sent a valid request.
    Call {
        /// Call to answer.
        call: CallId,
        /// Wall-clock time of arrival.
        wall: WallTime,
        /// Request, with its deadline on the local clock.
        request: Request,
    },
    /// The caller closed its connection.
    CallerDisconnected {
        /// Call whose caller disconnected.
        call: CallId,
    },
    /// Replaces the limits after a configuration change.
    Limits(FrontLimits),
    /// An owner reported the load of its shards.
    Load {
        /// Incarnation of the reporting host.
        owner: Incarnation,
        /// One summary for each shard that it owns.
        shards: Vec<LoadSummary>,
    },
    /// The ownership fold gave a shard a new owner or none.
    Owner {
        /// Shard whose owner changed.
        shard: ShardId,
        /// Owner with its epoch; `None` if the shard has no owner.
        owner: Option<(Incarnation, Epoch)>,
    },
    /// The failure detector suspects a peer, or no longer suspects it.
    Suspected {
        /// Incarnation of the peer.
        incarnation: Incarnation,
        /// Whether the peer is suspected now.
        suspected: bool,
    },
    /// The owner queued or dispatched the request.
    Accepted {
        /// Forward that the message is about.
        forward: ForwardId,
    },
    /// The owner reported the outcome.
    Finished {
        /// Forward that the message is about.
        forward: ForwardId,
        /// Outcome of this forward; a retry may still follow.
        outcome: Outcome,
    },
    /// The forward failed before any byte was sent.
    NotSent {
        /// Forward that the message is about.
        forward: ForwardId,
    },
    /// The connection to the owner broke after the forward may have been received.
    OwnerLost {
        /// Forward that the message is about.
        forward: ForwardId,
    },
    /// An intent record of this host was folded; the request is the first with its id in log order.
    IntentFirst {
        /// Id of the request.
        id: RequestId,
    },
    /// An intent record of this host was folded; an earlier record has the same id.
    IntentDuplicate {
        /// Request id that both records have.
        id: RequestId,
        /// Incarnation that appended the first record.
        first: Incarnation,
    },
    /// An intent record of this host was folded; the id is below the horizon.
    IntentTooOld {
        /// Id of the request.
        id: RequestId,
    },
    /// An append of intents is certain not to take effect, or the log is unresponsive.
    IntentFailed {
        /// Request ids of the batch.
        ids: Vec<RequestId>,
    },
    /// The log became available or unavailable for intents.
    LogAvailable(bool),
    /// A peer queries the answer of a request whose first intent record is from this host.
    AnswerQuery {
        /// Incarnation of the querying host.
        from: Incarnation,
        /// Id of the request.
        id: RequestId,
        /// Digest of the peer's request, to detect a reused id.
        digest: u64,
    },
    /// A peer replied to [`FrontAction::QueryAnswer`].
    AnswerReply {
        /// Request id of the query.
        id: RequestId,
        /// Outcome that the peer knows.
        outcome: Outcome,
    },
    /// Graceful stop: refuse new calls, finish open ones.
    Stop,
    /// Periodic timer.
    Tick,
}

/// Output of the front duty, carried out by the host.
#[derive(Debug, Clone, PartialEq)]
pub enum FrontAction {
    /// Answer a call; exactly once per call.
    Respond {
        /// Call to answer.
        call: CallId,
        /// Id of the request of the call.
        id: RequestId,
        /// Outcome to report to the caller.
        outcome: Outcome,
    },
    /// Forward a request to an owner, which may be this host.
    Forward {
        /// New forward, to which the owner's replies refer.
        forward: ForwardId,
        /// Incarnation of the owner.
        to: Incarnation,
        /// Shard whose workers are to run the request.
        shard: ShardId,
        /// Request, with its deadline on the local clock.
        request: Request,
    },
    /// Tell the owner that the front no longer waits for the outcome.
    Withdraw {
        /// Forward to withdraw.
        forward: ForwardId,
        /// Incarnation of the owner.
        to: Incarnation,
    },
    /// Append a batch of request ids to the `intents` stream.
    AppendIntents {
        /// Request ids of the batch.
        ids: Vec<RequestId>,
        /// Creation time before which ids are refused from this record on.
        horizon: WallTime,
    },
    /// Query the answer from the host that appended the first intent record.
    QueryAnswer {
        /// Incarnation that appended the first record.
        to: Incarnation,
        /// Request id of the duplicate.
        id: RequestId,
        /// Digest of the duplicate, to detect a reused id.
        digest: u64,
    },
    /// Reply to [`FrontEvent::AnswerQuery`].
    ReplyAnswer {
        /// Incarnation that sent the query.
        to: Incarnation,
        /// Request id of the query.
        id: RequestId,
        /// Outcome that this host knows.
        outcome: Outcome,
    },
    /// Write a routing decision to the decision log.
    Decision(RouteDecision),
}

/// Routing decision, written to the decision log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteDecision {
    /// Request that was routed or refused.
    pub request: RequestId,
    /// Shard that was chosen; `None` if the request was refused.
    pub chosen: Option<ShardId>,
    /// Second best shard, if any.
    pub runner_up: Option<ShardId>,
    /// Reason for the choice, or the limit that caused the refusal.
    pub reason: String,
}
