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

/// Message to a peer. Delivered at most once, and in the order of sending on one connection.
#[derive(Debug, Clone, PartialEq)]
pub enum PeerMessage {
    /// Heartbeat of the sender's failure detection.
    Heartbeat(Heartbeat),
    /// Load of the shards that the sender owns.
    Load(Vec<LoadSummary>),
    /// Request for a shard that the receiver owns.
    Forward {
        /// Id under which the outcome is returned to the sender.
        forward: ForwardId,
        /// Shard that the sender chose.
        shard: ShardId,
        /// Request. Its deadline is sent as the remaining time and set on the receiver's clock.
        request: Request,
        /// Time to the deadline when the message was sent.
        remaining: Duration,
    },
    /// Forwarded request of the receiver is queued or running.
    Accepted {
        /// Id given by the receiver.
        forward: ForwardId,
    },
    /// Forwarded request of the receiver has ended.
    Finished {
        /// Id given by the receiver.
        forward: ForwardId,
        /// Response of the backend server, or the reason why there is none.
        outcome: Outcome,
    },
    /// Sender no longer waits for the outcome of a forward.
    Withdraw {
        /// Id given by the sender.
        forward: ForwardId,
    },
    /// Message between ownership duties.
    Ownership(OwnershipMessage),
    /// Request of a coordinator to a shard owner.
    Shard(ShardRequest),
    /// Reply of a shard owner to a coordinator.
    ShardReply(ShardReply),
    /// Queries the outcome of a duplicate request whose id the receiver appended first.
    AnswerQuery {
        /// Id of the request.
        id: RequestId,
        /// Digest of service and body, which detects an id that is reused for another request.
        digest: u64,
    },
    /// Reply to an answer query.
    AnswerReply {
        /// Id in the query.
        id: RequestId,
        /// Outcome of the first request with this id.
        outcome: Outcome,
    },
    /// Queries the fold of a stream that cannot be read completely from the log.
    SnapshotQuery {
        /// Stream to restore.
        stream: StreamName,
    },
    /// Reply to a snapshot query. Not sent if the receiver of the query has no usable snapshot.
    SnapshotReply {
        /// Stream in the query.
        stream: StreamName,
        /// Snapshot record, in the JSON encoding of the stream.
        snapshot: Vec<u8>,
    },
    /// Queries the status of a job from its coordinator.
    JobStatusQuery {
        /// Number of the query, repeated in the reply.
        number: u64,
        /// Job to report.
        job: JobId,
    },
    /// Reply to a job status query.
    JobStatusReply {
        /// Number in the query.
        number: u64,
        /// Status; none if the sender does not know the job.
        status: Option<Box<JobStatus>>,
    },
}

/// Heartbeat with the configuration in force at the sender.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Name of the sender in its settings.
    pub host: HostId,
    /// Address of the sender for peers, to which replies are sent if it is not a member of the view.
    pub address: SocketAddr,
    /// Site of the sender.
    pub site: SiteId,
    /// Revision of the configuration; zero before the first.
    pub revision: Revision,
    /// Offset of the verdict that put the revision in force.
    pub offset: Offset,
    /// Digest of the effective configuration of the site; 0 before the first.
    pub digest: u64,
    /// Whether the sender is in a graceful stop.
    pub stopping: bool,
}
