//! Messages between entry hosts.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::dispatch::{ForwardId, LoadSummary};
use crate::id::{HostId, JobId, Offset, RequestId, Revision, ShardId, SiteId};
use crate::job::{JobStatus, ShardReply, ShardRequest};
use crate::ownership::OwnershipMessage;
use crate::request::{Outcome, Request};
use crate::stream::StreamName;

/// Message to a peer. Delivered at most once, in the order of sending while the connection lasts.
#[derive(Debug, Clone, PartialEq)]
pub enum PeerMessage {
    /// Sender is alive.
    Heartbeat(Heartbeat),
    /// Load of the sender's shards.
    Load(Vec<LoadSummary>),
    /// Request for a shard of the receiver.
    Forward {
        /// Number of the forward.
        forward: ForwardId,
        /// Shard.
        shard: ShardId,
        /// Request; its deadline is sent as the remaining time and set again by the receiver's clock.
        request: Request,
        /// Time to the deadline when it was sent.
        remaining: Duration,
    },
    /// Receiver's request is queued or running.
    Accepted {
        /// Number of the forward.
        forward: ForwardId,
    },
    /// Outcome of the receiver's request.
    Finished {
        /// Number of the forward.
        forward: ForwardId,
        /// Outcome.
        outcome: Outcome,
    },
    /// Sender no longer waits for the outcome.
    Withdraw {
        /// Number of the forward.
        forward: ForwardId,
    },
    /// Message between ownership duties.
    Ownership(OwnershipMessage),
    /// Request of a coordinator to a shard owner.
    Shard(ShardRequest),
    /// Reply of a shard owner to a coordinator.
    ShardReply(ShardReply),
    /// Asks for the answer of a request that the receiver appended first.
    AnswerQuery {
        /// Request id.
        id: RequestId,
        /// Digest of the body.
        digest: u64,
    },
    /// Reply to an answer query.
    AnswerReply {
        /// Request id.
        id: RequestId,
        /// Outcome.
        outcome: Outcome,
    },
    /// Asks for the fold of a stream, because the log does not have it.
    SnapshotQuery {
        /// Stream.
        stream: StreamName,
    },
    /// Fold of a stream as a snapshot record, in the JSON form of the stream.
    SnapshotReply {
        /// Stream.
        stream: StreamName,
        /// Snapshot record.
        snapshot: Vec<u8>,
    },
    /// Asks the coordinator for the status of a job.
    JobStatusQuery {
        /// Number that the answer refers to.
        number: u64,
        /// Job.
        job: JobId,
    },
    /// Status of a job, if the sender knows it.
    JobStatusReply {
        /// Number of the query.
        number: u64,
        /// Status.
        status: Option<Box<JobStatus>>,
    },
}

/// Sign of life with the configuration that is in force at the sender.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Sender, by its settings.
    pub host: HostId,
    /// Address of the sender for peers; a sender that is not a member is answered there.
    pub address: SocketAddr,
    /// Site of the sender.
    pub site: SiteId,
    /// Revision in force.
    pub revision: Revision,
    /// Offset of the verdict that put it in force.
    pub offset: Offset,
    /// Digest of the effective configuration of the site.
    pub digest: u64,
    /// Whether the sender is stopping.
    pub stopping: bool,
}
