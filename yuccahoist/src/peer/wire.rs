//! Encoding of peer messages on the wire.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::peer_capnp::{Class as WireClass, delivery, finished, forward, message};
use super::{Heartbeat, MAX_BATCH_MESSAGES, PeerMessage, reader_options};
use crate::dispatch::{ForwardId, LoadSummary};
use crate::id::{Incarnation, JobId, ParseIdError, RequestId, ServiceId, ShardId, TeamId};
use crate::job::{JobStatus, ShardReply, ShardRequest};
use crate::ownership::OwnershipMessage;
use crate::request::{Answer, Class, Outcome, Refusal, Request, UnknownReason};
use crate::stream::StreamName;
use crate::unit::Timestamp;

/// Error of encoding or decoding a peer message.
#[derive(Debug, Error)]
pub enum WireError {
    /// Bytes are not a Cap'n Proto message, or one beyond a limit.
    #[error("cannot decode peer message: {0}")]
    Capnp(#[from] capnp::Error),
    /// Union or enum has a variant that is not in the schema of this version.
    #[error("peer message has an unknown variant: {0}")]
    Variant(#[from] capnp::NotInSchema),
    /// Text field is not UTF-8.
    #[error("peer message has a text field that is not UTF-8: {0}")]
    Text(#[from] std::str::Utf8Error),
    /// Identifier field is not valid.
    #[error("peer message has an invalid identifier: {0}")]
    Id(#[from] ParseIdError),
    /// `postcard` bytes of a control message or reason cannot be encoded or decoded.
    #[error("cannot encode or decode control message: {0}")]
    Control(#[from] postcard::Error),
    /// Delivery has too many messages.
    #[error("delivery has {found} messages; at most {MAX_BATCH_MESSAGES} are allowed")]
    Batch {
        /// Number of messages in the delivery.
        found: u32,
    },
}

/// Peer message in its wire form, with control messages encoded.
#[derive(Debug, Clone, PartialEq)]
pub enum WireMessage {
    /// [`PeerMessage::Forward`] as a native struct.
    Forward {
        /// Id under which the outcome is returned to the sender.
        forward: ForwardId,
        /// Shard that the sender chose.
        shard: ShardId,
        /// Request; its deadline is not encoded.
        request: Request,
        /// Time to the deadline, encoded in microseconds.
        remaining: Duration,
    },
    /// [`PeerMessage::Finished`] as a native struct.
    Finished {
        /// Id given by the receiver.
        forward: ForwardId,
        /// Response of the backend server, or the reason why there is none.
        outcome: Outcome,
    },
    /// Any other message as `postcard` bytes.
    Control(Vec<u8>),
}

/// Control messages in `postcard` encoding. The order of the variants is part of the encoding.
#[derive(Serialize, Deserialize)]
enum Control {
    Heartbeat(Heartbeat),
    Load(Vec<LoadSummary>),
    Accepted(ForwardId),
    Withdraw(ForwardId),
    Ownership(OwnershipMessage),
    Shard(ShardRequest),
    ShardReply(ShardReply),
    AnswerQuery { id: RequestId, digest: u64 },
    AnswerReply { id: RequestId, outcome: WireOutcome },
    SnapshotQuery(StreamName),
    SnapshotReply { stream: StreamName, snapshot: Bytes },
    JobStatusQuery { number: u64, job: JobId },
    JobStatusReply { number: u64, status: Option<Box<JobStatus>> },
}

/// Outcome in a control message. The order of the variants is part of the encoding.
#[derive(Serialize, Deserialize)]
enum WireOutcome {
    Answered { status: u16, body: Bytes },
    NotRun(Refusal),
    Unknown(UnknownReason),
}

impl From<Outcome> for WireOutcome {
    fn from(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Answered(Answer { status, body }) => Self::Answered { status, body },
            Outcome::NotRun(reason) => Self::NotRun(reason),
            Outcome::Unknown(reason) => Self::Unknown(reason),
        }
    }
}

impl From<WireOutcome> for Outcome {
    fn from(outcome: WireOutcome) -> Self {
        match outcome {
            WireOutcome::Answered { status, body } => Self::Answered(Answer { status, body }),
            WireOutcome::NotRun(reason) => Self::NotRun(reason),
            WireOutcome::Unknown(reason) => Self::Unknown(reason),
        }
    }
}

impl From<Control> for PeerMessage {
    fn from(control: Control) -> Self {
        match control {
            Control::Heartbeat(heartbeat) => Self::Heartbeat(heartbeat),
            Control::Load(load) => Self::Load(load),
            Control::Accepted(forward) => Self::Accepted { forward },
            Control::Withdraw(forward) => Self::Withdraw { forward },
            Control::Ownership(message) => Self::Ownership(message),
            Control::Shard(request) => Self::Shard(request),
            Control::ShardReply(reply) => Self::ShardReply(reply),
            Control::AnswerQuery { id, digest } => Self::AnswerQuery { id, digest },
            Control::AnswerReply { id, outcome } => Self::AnswerReply { id, outcome: outcome.into() },
            Control::SnapshotQuery(stream) => Self::SnapshotQuery { stream },
            Control::SnapshotReply { stream, snapshot } => {
                Self::SnapshotReply { stream, snapshot: snapshot.into() }
            }
            Control::JobStatusQuery { number, job } => Self::JobStatusQuery { number, job },
            Control::JobStatusReply { number, status } => Self::JobStatusReply { number, status },
        }
    }
}

impl TryFrom<PeerMessage> for WireMessage {
    type Error = WireError;

    fn try_from(message: PeerMessage) -> Result<Self, WireError> {
        let control = match message {
            PeerMessage::Forward { forward, shard, request, remaining } => {
                return Ok(Self::Forward { forward, shard, request, remaining });
            }
            PeerMessage::Finished { forward, outcome } => return Ok(Self::Finished { forward, outcome }),
            PeerMessage::Heartbeat(heartbeat) => Control::Heartbeat(heartbeat),
            PeerMessage::Load(load) => Control::Load(load),
            PeerMessage::Accepted { forward } => Control::Accepted(forward),
            PeerMessage::Withdraw { forward } => Control::Withdraw(forward),
            PeerMessage::Ownership(message) => Control::Ownership(message),
            PeerMessage::Shard(request) => Control::Shard(request),
            PeerMessage::ShardReply(reply) => Control::ShardReply(reply),
            PeerMessage::AnswerQuery { id, digest } => Control::AnswerQuery { id, digest },
            PeerMessage::AnswerReply { id, outcome } => Control::AnswerReply { id, outcome: outcome.into() },
            PeerMessage::SnapshotQuery { stream } => Control::SnapshotQuery(stream),
            PeerMessage::SnapshotReply { stream, snapshot } => {
                Control::SnapshotReply { stream, snapshot: snapshot.into() }
            }
            PeerMessage::JobStatusQuery { number, job } => Control::JobStatusQuery { number, job },
            PeerMessage::JobStatusReply { number, status } => Control::JobStatusReply { number, status },
        };
        Ok(Self::Control(postcard::to_stdvec(&control)?))
    }
}

impl WireMessage {
    /// Converts a received message for the state machine, with deadlines relative to `now` on the receiver's clock.
    ///
    /// # Errors
    ///
    /// Fails when a control message cannot be decoded.
    pub fn into_peer_message(self, now: Timestamp) -> Result<PeerMessage, WireError> {
        Ok(match self {
            Self::Forward { forward, shard, mut request, remaining } => {
                request.deadline = now + remaining;
                PeerMessage::Forward { forward, shard, request, remaining }
            }
            Self::Finished { forward, outcome } => PeerMessage::Finished { forward, outcome },
            Self::Control(bytes) => postcard::from_bytes::<Control>(&bytes)?.into(),
        })
    }

    /// Returns the size of the body or control bytes, which dominates the size of the message.
    pub(super) fn payload_bytes(&self) -> usize {
        match self {
            Self::Forward { request, .. } => request.body.len(),
            Self::Finished { outcome: Outcome::Answered(answer), .. } => answer.body.len(),
            Self::Finished { .. } => 0,
            Self::Control(bytes) => bytes.len(),
        }
    }

    pub(super) fn write(&self, builder: message::Builder<'_>) -> Result<(), WireError> {
        match self {
            Self::Forward { forward, shard, request, remaining } => {
                let mut out = builder.init_forward();
                out.set_front(forward.front.0);
                out.set_number(forward.number);
                out.set_shard(shard.as_str());
                out.set_id(request.id.as_uuid().as_bytes());
                out.set_service(request.service.as_str());
                out.set_class(request.class.into());
                out.set_team(request.team.as_str());
                out.set_idempotent(request.idempotent);
                out.set_remaining(u64::try_from(remaining.as_micros()).unwrap_or(u64::MAX));
                out.set_body(&request.body);
            }
            Self::Finished { forward, outcome } => {
                let mut out = builder.init_finished();
                out.set_front(forward.front.0);
                out.set_number(forward.number);
                write_outcome(outcome, out.init_outcome())?;
            }
            Self::Control(bytes) => builder.init_control(byte_count(bytes)).copy_from_slice(bytes),
        }
        Ok(())
    }
}

fn byte_count(bytes: &[u8]) -> u32 {
    u32::try_from(bytes.len()).unwrap_or(u32::MAX)
}

fn write_outcome(outcome: &Outcome, mut out: finished::outcome::Builder<'_>) -> Result<(), WireError> {
    match outcome {
        Outcome::Answered(answer) => {
            let mut answered = out.init_answered();
            answered.set_status(answer.status);
            answered.set_body(&answer.body);
        }
        Outcome::NotRun(reason) => out.set_not_run(&postcard::to_stdvec(reason)?),
        Outcome::Unknown(reason) => out.set_unknown(&postcard::to_stdvec(reason)?),
    }
    Ok(())
}

impl TryFrom<message::Reader<'_>> for WireMessage {
    type Error = WireError;

    fn try_from(reader: message::Reader<'_>) -> Result<Self, WireError> {
        match reader.which()? {
            message::Forward(forward) => read_forward(forward?),
            message::Finished(finished) => read_finished(finished?),
            message::Control(bytes) => Ok(Self::Control(bytes?.to_vec())),
        }
    }
}

fn read_forward(reader: forward::Reader<'_>) -> Result<WireMessage, WireError> {
    let forward = ForwardId { front: Incarnation(reader.get_front()), number: reader.get_number() };
    let id = reader.get_id()?;
    let id: [u8; 16] = id.try_into().map_err(|_| ParseIdError::Format {
        kind: "request id",
        value: format!("{} bytes", id.len()),
        expected: "sixteen bytes",
    })?;
    let request = Request {
        id: RequestId::from_bytes(id)?,
        service: ServiceId::new(reader.get_service()?.to_str()?)?,
        class: reader.get_class()?.into(),
        team: TeamId::new(reader.get_team()?.to_str()?)?,
        idempotent: reader.get_idempotent(),
        deadline: Timestamp::ZERO,
        body: Bytes::copy_from_slice(reader.get_body()?),
    };
    let shard = ShardId::new(reader.get_shard()?.to_str()?)?;
    let remaining = Duration::from_micros(reader.get_remaining());
    Ok(WireMessage::Forward { forward, shard, request, remaining })
}

fn read_finished(reader: finished::Reader<'_>) -> Result<WireMessage, WireError> {
    let forward = ForwardId { front: Incarnation(reader.get_front()), number: reader.get_number() };
    let outcome = match reader.get_outcome().which()? {
        finished::outcome::Answered(answered) => Outcome::Answered(Answer {
            status: answered.get_status(),
            body: Bytes::copy_from_slice(answered.get_body()?),
        }),
        finished::outcome::NotRun(reason) => Outcome::NotRun(postcard::from_bytes(reason?)?),
        finished::outcome::Unknown(reason) => Outcome::Unknown(postcard::from_bytes(reason?)?),
    };
    Ok(WireMessage::Finished { forward, outcome })
}

impl From<Class> for WireClass {
    fn from(class: Class) -> Self {
        match class {
            Class::Urgent => Self::Urgent,
            Class::Batch => Self::Batch,
            Class::Heavy => Self::Heavy,
        }
    }
}

impl From<WireClass> for Class {
    fn from(class: WireClass) -> Self {
        match class {
            WireClass::Urgent => Self::Urgent,
            WireClass::Batch => Self::Batch,
            WireClass::Heavy => Self::Heavy,
        }
    }
}

/// Decodes the messages of a delivery, with deadlines on the local clock.
pub(super) fn read_delivery(
    delivery: delivery::Reader<'_>,
    now: Timestamp,
) -> Result<Vec<PeerMessage>, WireError> {
    let messages = delivery.get_messages()?;
    if messages.len() as usize > MAX_BATCH_MESSAGES {
        return Err(WireError::Batch { found: messages.len() });
    }
    messages.iter().map(|reader| WireMessage::try_from(reader)?.into_peer_message(now)).collect()
}

/// Encodes messages into a delivery.
pub(super) fn write_delivery(
    messages: &[WireMessage],
    delivery: delivery::Builder<'_>,
) -> Result<(), WireError> {
    let mut list = delivery.init_messages(u32::try_from(messages.len()).unwrap_or(u32::MAX));
    for (index, message) in (0..).zip(messages) {
        message.write(list.reborrow().get(index))?;
    }
    Ok(())
}

/// Encodes a delivery in the stream format of Cap'n Proto.
///
/// # Errors
///
/// Fails when a message cannot be encoded.
pub fn encode(messages: Vec<PeerMessage>) -> Result<Vec<u8>, WireError> {
    let wire: Vec<WireMessage> = messages.into_iter().map(WireMessage::try_from).collect::<Result<_, _>>()?;
    let mut message = capnp::message::Builder::new_default();
    write_delivery(&wire, message.init_root())?;
    Ok(capnp::serialize::write_message_to_words(&message))
}

/// Decodes a delivery in the stream format of Cap'n Proto, with deadlines relative to `now`.
///
/// # Errors
///
/// Fails when the bytes are not a delivery, or exceed a limit.
pub fn decode(mut bytes: &[u8], now: Timestamp) -> Result<Vec<PeerMessage>, WireError> {
    let message = capnp::serialize::read_message(&mut bytes, reader_options())?;
    read_delivery(message.get_root()?, now)
}

/// Decodes the sender and the receiver in the first frame of a connection.
pub(super) fn decode_hello(mut bytes: &[u8]) -> Result<(Incarnation, Incarnation), WireError> {
    let message = capnp::serialize::read_message(&mut bytes, reader_options())?;
    let delivery: delivery::Reader<'_> = message.get_root()?;
    Ok((Incarnation(delivery.get_from()), Incarnation(delivery.get_to())))
}
