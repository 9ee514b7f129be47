//! Events and actions that the I/O tasks exchange with the host actor.
//!
//! I/O tasks own sockets and turn what arrives into [`HostEvent`]s. The host actor owns the state and answers with
//! [`HostAction`]s. Every action that names `until` must be dropped, and reported as not sent, if the monotonic clock
//! has passed that time immediately before the write.

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

/// What the host reacts to.
#[derive(Debug)]
pub enum HostEvent {
    /// Caller's request, checked in form.
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
    /// Job call.
    JobCall {
        /// Open call.
        call: CallId,
        /// What is asked.
        body: JobCall,
    },
    /// Asks for the state of this host and what it knows of the others.
    StatusCall {
        /// Open call.
        call: CallId,
    },
    /// Message of a peer.
    Peer {
        /// Sender.
        from: Incarnation,
        /// Message.
        message: PeerMessage,
    },
    /// Message to a peer was not sent.
    PeerNotSent {
        /// Receiver.
        to: Incarnation,
        /// Message.
        message: PeerMessage,
    },
    /// Connection to a peer broke; messages since the last confirmed one may or may not have arrived.
    PeerLost {
        /// Peer.
        peer: Incarnation,
    },
    /// Result of a read.
    Read {
        /// Stream.
        stream: StreamName,
        /// Monotonic time before the read was sent.
        asked: Timestamp,
        /// Records or failure.
        result: Result<ReadBatch, CallError>,
    },
    /// Result of an append.
    Appended {
        /// Stream.
        stream: StreamName,
        /// Sequence number of the record.
        seq: Sequence,
        /// Offset or failure.
        result: Result<Offset, CallError>,
    },
    /// Result of a dispatch.
    Backend {
        /// Number of the forward.
        forward: ForwardId,
        /// Answer or failure.
        result: Result<Answer, CallError>,
    },
    /// Result of a worker command.
    Worker {
        /// Worker.
        worker: WorkerId,
        /// Number of the command.
        ticket: u64,
        /// Inventory or failure.
        result: Result<Inventory, CallError>,
    },
    /// Platform's host list.
    Hosts(BTreeMap<String, HostState>),
    /// Planned stop.
    Stop,
    /// Time passed; sent every [`TICK`].
    Tick {
        /// Wall-clock time.
        wall: WallTime,
    },
}

/// Time between ticks.
pub const TICK: std::time::Duration = std::time::Duration::from_millis(10);

/// What the host asks for.
#[derive(Debug)]
pub enum HostAction {
    /// Answer a caller. Exactly one per call.
    Respond {
        /// Open call.
        call: CallId,
        /// Request id.
        id: RequestId,
        /// Outcome.
        outcome: Outcome,
    },
    /// Answer a job call. Exactly one per call.
    JobReply {
        /// Open call.
        call: CallId,
        /// Reply.
        reply: JobReply,
    },
    /// Answer a status call. Exactly one per call.
    StatusReply {
        /// Open call.
        call: CallId,
        /// Status.
        status: Box<HostStatus>,
    },
    /// Send a message to a peer.
    Send {
        /// Receiver.
        to: Incarnation,
        /// Address of the receiver.
        address: SocketAddr,
        /// Message.
        message: PeerMessage,
        /// Last time at which it may be sent, if any.
        until: Option<Timestamp>,
    },
    /// Read a stream; one read per stream is in flight.
    Read {
        /// Stream.
        stream: StreamName,
        /// First offset.
        from: Offset,
        /// Longest wait for a first record.
        wait: std::time::Duration,
    },
    /// Append a record; one append per stream is in flight.
    Append {
        /// Stream.
        stream: StreamName,
        /// Sequence number in the record.
        seq: Sequence,
        /// Record.
        record: Bytes,
    },
    /// Send a request to a backend server.
    Dispatch {
        /// Number of the forward.
        forward: ForwardId,
        /// Worker.
        worker: WorkerId,
        /// Request.
        request: Request,
        /// Bounds for the backend server.
        bounds: DispatchBounds,
        /// Last time at which it may be sent.
        until: Timestamp,
    },
    /// Send a command to a worker.
    Command {
        /// Worker.
        worker: WorkerId,
        /// Number of the command.
        ticket: u64,
        /// Command.
        command: WorkerCommand,
        /// Last time at which it may be sent.
        until: Timestamp,
    },
    /// Replace the addresses of workers, by configuration.
    Workers(BTreeMap<WorkerId, WorkerAddress>),
    /// Write a log line.
    Decision(HostDecision),
    /// Planned stop is complete: nothing is in progress and all leases are released.
    Stopped,
}

/// Decision for the log.
#[derive(Debug, Clone, PartialEq)]
pub enum HostDecision {
    /// Choice of an owner.
    Route(RouteDecision),
    /// Choice of a worker for a request.
    Dispatch(Decision),
    /// Choice of a worker for a task.
    Placement(PlacementDecision),
    /// Coordinator's decision on a job.
    Job {
        /// Job.
        job: JobId,
        /// What was decided and why.
        text: String,
    },
    /// Change of ownership, view or configuration.
    Control {
        /// What changed and why.
        text: String,
    },
}

/// Call of the job interface.
#[derive(Debug, Clone, PartialEq)]
pub enum JobCall {
    /// Submits a job.
    Submit(JobSpec),
    /// Asks for a job's status.
    Status(JobId),
    /// Cancels a job.
    Cancel(JobId),
}

/// Reply of the job interface.
#[derive(Debug, Clone, PartialEq)]
pub enum JobReply {
    /// Job or cancellation is accepted: its record is folded.
    Accepted(JobStatus),
    /// Status.
    Status(JobStatus),
    /// Identifier is known with another specification.
    Conflict,
    /// Job is not known.
    NotFound,
    /// Specification is not valid; all errors.
    Invalid(Vec<String>),
    /// Log is unavailable; whether the call takes effect is not known yet, and repeating it is safe.
    Unavailable,
}

/// State of a host for operators.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HostStatus {
    /// Host.
    pub host: HostId,
    /// Process start.
    pub incarnation: Incarnation,
    /// Whether it takes calls.
    pub ready: bool,
    /// Whether the log answers.
    pub log: bool,
    /// Configuration in force at each known host.
    pub hosts: Vec<InForce>,
    /// Subjects that this host owns.
    pub owned: Vec<OwnedStatus>,
}

/// Configuration in force at a host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForce {
    /// Host.
    pub host: HostId,
    /// Site.
    pub site: SiteId,
    /// Revision.
    pub revision: Revision,
    /// Offset of the verdict.
    pub offset: Offset,
    /// Digest of the effective configuration.
    pub digest: u64,
    /// Whether the host is suspected to have failed.
    pub suspected: bool,
}

/// Subject that a host owns.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OwnedStatus {
    /// Subject.
    pub subject: Subject,
    /// Epoch.
    pub epoch: crate::id::Epoch,
    /// Share.
    pub share: Share,
}
