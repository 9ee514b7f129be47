//! Events and actions of the front duty.

use std::time::Duration;

use crate::dispatch::{ForwardId, LoadSummary};
use crate::id::{Epoch, Incarnation, RequestId, ServiceId, ShardId, TeamId};
use crate::request::{Outcome, Request};
use crate::unit::WallTime;

/// Number of an open call at the HTTP interface of this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Limits that the front applies, from the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct FrontLimits {
    /// Services that may be called.
    pub services: std::collections::BTreeSet<ServiceId>,
    /// Teams that may call.
    pub teams: std::collections::BTreeSet<TeamId>,
    /// Age up to which request ids are accepted.
    pub id_window: Duration,
    /// Clock difference allowed between callers and hosts.
    pub clock_skew: Duration,
    /// Retries as a share of recent successes, 0 to 1.
    pub retry_share: f64,
    /// Intent batches per second that this host may append.
    pub intent_rate: u32,
    /// Request ids per intent batch.
    pub intent_batch: usize,
}

/// What the front duty reacts to.
#[derive(Debug, Clone)]
pub enum FrontEvent {
    /// Caller's request, checked.
    Call {
        /// Open call.
        call: CallId,
        /// Wall-clock time of arrival.
        wall: WallTime,
        /// Request.
        request: Request,
    },
    /// Caller closed its connection.
    Hangup {
        /// Open call.
        call: CallId,
    },
    /// Limits, by configuration.
    Limits(FrontLimits),
    /// Load summaries of an owner.
    Load {
        /// Owner.
        owner: Incarnation,
        /// Summaries of its shards.
        shards: Vec<LoadSummary>,
    },
    /// Owner of a shard changed in the fold.
    Owner {
        /// Shard.
        shard: ShardId,
        /// Owner and epoch; none when there is none.
        owner: Option<(Incarnation, Epoch)>,
    },
    /// Peer is suspected to have failed, or is heard again.
    Suspected {
        /// Peer.
        incarnation: Incarnation,
        /// Whether it is suspected now.
        suspected: bool,
    },
    /// Owner queued or dispatched the request.
    Accepted {
        /// Number of the forward.
        forward: ForwardId,
    },
    /// Owner gave the outcome.
    Finished {
        /// Number of the forward.
        forward: ForwardId,
        /// Outcome.
        outcome: Outcome,
    },
    /// Forward failed before any byte was sent.
    NotSent {
        /// Number of the forward.
        forward: ForwardId,
    },
    /// Connection to the owner broke after the forward may have been received.
    OwnerLost {
        /// Number of the forward.
        forward: ForwardId,
    },
    /// Intent record of this host was folded; the request is the first with its id in log order.
    IntentFirst {
        /// Request id.
        id: RequestId,
    },
    /// Intent record of this host was folded; an earlier record has the id.
    IntentDuplicate {
        /// Request id.
        id: RequestId,
        /// Process start that appended the first record.
        first: Incarnation,
    },
    /// Intent record of this host was folded; the id is below the horizon.
    IntentTooOld {
        /// Request id.
        id: RequestId,
    },
    /// Append of intents is certain not to take effect, or the log does not answer.
    IntentFailed {
        /// Request ids.
        ids: Vec<RequestId>,
    },
    /// Log became available or unavailable for intents.
    LogAvailable(bool),
    /// Another host asks for the answer of a request that this host appended first.
    AnswerQuery {
        /// Asking host.
        from: Incarnation,
        /// Request id.
        id: RequestId,
        /// Digest of the body, to find a reused id.
        digest: u64,
    },
    /// Answer of another host to [`FrontAction::QueryAnswer`].
    AnswerReply {
        /// Request id.
        id: RequestId,
        /// Outcome.
        outcome: Outcome,
    },
    /// Planned stop: refuse new calls.
    Stop,
    /// Time passed.
    Tick,
}

/// What the front duty asks for.
#[derive(Debug, Clone, PartialEq)]
pub enum FrontAction {
    /// Answer a call. Exactly one per call.
    Respond {
        /// Open call.
        call: CallId,
        /// Request id.
        id: RequestId,
        /// Outcome.
        outcome: Outcome,
    },
    /// Forward a request to an owner, which may be this host.
    Forward {
        /// Number of the forward.
        forward: ForwardId,
        /// Owner.
        to: Incarnation,
        /// Shard.
        shard: ShardId,
        /// Request.
        request: Request,
    },
    /// Tell the owner that the outcome is no longer awaited.
    Withdraw {
        /// Number of the forward.
        forward: ForwardId,
        /// Owner.
        to: Incarnation,
    },
    /// Append a batch of request ids to the `intents` stream.
    AppendIntents {
        /// Request ids.
        ids: Vec<RequestId>,
        /// Horizon: ids created before it are refused from now on.
        horizon: WallTime,
    },
    /// Ask the host that appended the first intent for the answer.
    QueryAnswer {
        /// Host.
        to: Incarnation,
        /// Request id.
        id: RequestId,
        /// Digest of the body.
        digest: u64,
    },
    /// Answer a query of another host.
    ReplyAnswer {
        /// Host.
        to: Incarnation,
        /// Request id.
        id: RequestId,
        /// Outcome.
        outcome: Outcome,
    },
    /// Decision for the log.
    Decision(RouteDecision),
}

/// Choice of an owner with its reason.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteDecision {
    /// Request.
    pub request: RequestId,
    /// Shard that was chosen; none when refused.
    pub chosen: Option<ShardId>,
    /// Second best shard, if any.
    pub runner_up: Option<ShardId>,
    /// Reason, or the limit that refused.
    pub reason: String,
}
