//! Events and actions that the I/O tasks exchange with the host actor.
//!
//! I/O tasks own the sockets and convert input to [`HostEvent`]s. The host actor owns the state and returns
//! [`HostAction`]s. An action with an `until` time must be dropped, and reported as not sent, if the monotonic clock has
//! passed that time immediately before the write.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::dispatch::{Decision, ForwardId};
use crate::front::{CallId, RouteDecision};
use crate::id::{
    HostId, Incarnation, JobId, Offset, RequestId, Revision, Sequence, SiteId, Subject, WorkerId,
};
use crate::job::{JobSpec, JobStatus};
use crate::ownership::Share;
use crate::peer::PeerMessage;
use crate::placement::{Inventory, PlacementDecision, WorkerCommand};
use crate::request::{Answer, Outcome, Request};
use crate::stream::StreamName;
use crate::systems::{CallError, DispatchBounds, HostState, ReadBatch, WorkerAddress};
use crate::unit::{Timestamp, WallTime};

/// Input of the host state machine.
#[derive(Debug)]
pub enum HostEvent {
    /// Service request of a caller, validated in form by the caller interface.
    Call {
        /// Number under which the response is returned.
        call: CallId,
        /// Wall-clock time of arrival.
        wall: WallTime,
        /// Request, with its deadline on the monotonic clock of this host.
        request: Request,
    },
    /// Caller closed its connection before the response.
    CallerDisconnected {
        /// Number of the call that needs no response any more.
        call: CallId,
    },
    /// Call of the job interface.
    JobCall {
        /// Number under which the reply is returned.
        call: CallId,
        /// Operation with its arguments.
        body: JobCall,
    },
    /// Operator's query for the status of this host and its peers.
    StatusCall {
        /// Number under which the status is returned.
        call: CallId,
    },
    /// Message received from a peer.
    Peer {
        /// Sender, as named in the first frame of its connection.
        from: Incarnation,
        /// Message, with deadlines on the clock of this host.
        message: PeerMessage,
    },
    /// Message that was not sent to a peer: it is past its `until` time or too large, or the peer is unreachable or its
    /// queue full.
    PeerNotSent {
        /// Receiver named in the send action.
        to: Incarnation,
        /// Message as in the send action.
        message: PeerMessage,
    },
    /// Connection from or to a peer was lost. Messages since the last acknowledged delivery may or may not have arrived.
    PeerLost {
        /// Incarnation at the other end of the connection.
        peer: Incarnation,
    },
    /// Result of a stream read.
    Read {
        /// Stream of the read action.
        stream: StreamName,
        /// Monotonic time before the read was sent.
        sent_at: Timestamp,
        /// Records from the requested offset, or the failure.
        result: Result<ReadBatch, CallError>,
    },
    /// Result of a stream append.
    Appended {
        /// Stream of the append action.
        stream: StreamName,
        /// Sequence number of the append action.
        seq: Sequence,
        /// Offset of the record, or the failure.
        result: Result<Offset, CallError>,
    },
    /// Result of a dispatch to a backend server.
    BackendResult {
        /// Forwarded request of the dispatch action.
        forward: ForwardId,
        /// Response of the backend server, or the failure.
        result: Result<Answer, CallError>,
    },
    /// Result of a worker command.
    CommandResult {
        /// Worker of the command action.
        worker: WorkerId,
        /// Number of the command action.
        ticket: u64,
        /// Tasks on the worker after the command, or the failure.
        result: Result<Inventory, CallError>,
    },
    /// Host list of the platform, by host or worker name; polled and therefore delayed.
    Hosts(BTreeMap<String, HostState>),
    /// Request for a graceful stop, which ends with [`HostAction::Stopped`].
    Stop,
    /// Timer event, sent every [`TICK_INTERVAL`].
    Tick {
        /// Wall-clock time when the tick was sent.
        wall: WallTime,
    },
}

/// Time between timer events, the resolution of all timeouts of the state machine.
pub const TICK_INTERVAL: std::time::Duration = std::time::Duration::from_millis(10);

/// Output of the host state machine, performed by the I/O tasks.
#[derive(Debug)]
pub enum HostAction {
    /// Responds to a caller, exactly once per call.
    Respond {
        /// Number of the call event.
        call: CallId,
        /// Id of the request in the call event.
        id: RequestId,
        /// Response of the backend server, or the reason why there is none.
        outcome: Outcome,
    },
    /// Replies to a job call, exactly once per call.
    JobReply {
        /// Number of the job call event.
        call: CallId,
        /// Result of the operation.
        reply: JobReply,
    },
    /// Replies to a status call, exactly once per call.
    StatusReply {
        /// Number of the status call event.
        call: CallId,
        /// State at the time of the call.
        status: Box<HostStatus>,
    },
    /// Sends a message to a peer.
    Send {
        /// Receiver; [`ANY_PEER`](crate::peer::ANY_PEER) if only the address is known.
        to: Incarnation,
        /// Address of the receiver for peers.
        address: SocketAddr,
        /// Message; a forward's remaining time is set right before the write.
        message: PeerMessage,
        /// Last time at which it may be sent; none for messages without a time limit.
        until: Option<Timestamp>,
    },
    /// Reads a stream, with at most one read per stream in flight.
    Read {
        /// Stream to read.
        stream: StreamName,
        /// Offset of the first record to read.
        from: Offset,
        /// Longest time to wait for a record at the end of the stream.
        wait: std::time::Duration,
    },
    /// Appends a record to a stream, with at most one append per stream in flight.
    Append {
        /// Stream to append to.
        stream: StreamName,
        /// Sequence number in the record, repeated in the result.
        seq: Sequence,
        /// Encoded record.
        record: Bytes,
    },
    /// Sends a request to a backend server.
    Dispatch {
        /// Forwarded request, repeated in the result.
        forward: ForwardId,
        /// Worker of the backend server.
        worker: WorkerId,
        /// Request for the backend server.
        request: Request,
        /// Bounds for the backend server, sent with the request.
        bounds: DispatchBounds,
        /// Last time at which it may be sent.
        until: Timestamp,
    },
    /// Sends a command to a worker.
    Command {
        /// Receiver of the command.
        worker: WorkerId,
        /// Number of the command, repeated in the result.
        ticket: u64,
        /// Command for the worker's agent.
        command: WorkerCommand,
        /// Last time at which it may be sent.
        until: Timestamp,
    },
    /// Replaces the table of worker addresses after a configuration change.
    ReplaceWorkerAddresses(BTreeMap<WorkerId, WorkerAddress>),
    /// Writes a line to the decision log.
    Decision(HostDecision),
    /// Graceful stop is complete: no call is pending and the leases are released, or the log was unavailable too long.
    Stopped,
}

/// Entry of the decision log.
#[derive(Debug, Clone, PartialEq)]
pub enum HostDecision {
    /// Choice of a shard owner for a request.
    Route(RouteDecision),
    /// Choice of a worker for a request.
    Dispatch(Decision),
    /// Choice of a worker for a task.
    Placement(PlacementDecision),
    /// Coordinator's decision on a job.
    Job {
        /// Job that the decision concerns.
        job: JobId,
        /// Decision with its reason.
        text: String,
    },
    /// Change of ownership, view or configuration.
    Control {
        /// Change with its reason.
        text: String,
    },
}

/// Operation of the job interface.
#[derive(Debug, Clone, PartialEq)]
pub enum JobCall {
    /// Submits a job; idempotent for an equal specification.
    Submit(JobSpec),
    /// Queries the status of a job.
    Status(JobId),
    /// Cancels a job; idempotent.
    Cancel(JobId),
}

/// Result of a job interface operation.
#[derive(Debug, Clone, PartialEq)]
pub enum JobReply {
    /// Submission or cancellation is committed to the log.
    Accepted(JobStatus),
    /// Status from the coordinator, or from the log if the coordinator is unresponsive.
    Status(JobStatus),
    /// Job id is in use with another specification.
    Conflict,
    /// No job with this id is in the log.
    NotFound,
    /// Specification is not valid; lists all errors.
    Invalid(Vec<String>),
    /// Log is unavailable. The operation may or may not take effect later, and a retry is safe.
    Unavailable,
}

/// Status of a host for operators, as JSON.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HostStatus {
    /// Name of the host in its settings.
    pub host: HostId,
    /// Process lifetime of the host, new at each start.
    pub incarnation: Incarnation,
    /// Whether the host accepts calls.
    pub ready: bool,
    /// Whether the log service responds on all streams.
    pub log: bool,
    /// Configuration in force at this host, then at each peer with a heartbeat.
    pub hosts: Vec<HostConfigStatus>,
    /// Leases that this host holds.
    pub owned: Vec<OwnedStatus>,
}

/// Configuration in force at a host, from its last heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostConfigStatus {
    /// Name of the host in its settings.
    pub host: HostId,
    /// Site whose overlay the host applies.
    pub site: SiteId,
    /// Revision of the configuration; zero before the first.
    pub revision: Revision,
    /// Offset of the verdict that put the revision in force.
    pub offset: Offset,
    /// Digest of the effective configuration; equal at all hosts of a site with the same revision.
    pub digest: u64,
    /// Whether the host is suspected to have failed.
    pub suspected: bool,
}

/// Lease that a host holds on a subject.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OwnedStatus {
    /// Shard or partition.
    pub subject: Subject,
    /// Epoch of the lease.
    pub epoch: crate::id::Epoch,
    /// Part of the shard's capacity that the host may use.
    pub share: Share,
}
