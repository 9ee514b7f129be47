//! Steps that the host state machine runs within one call of `handle`.

use std::collections::BTreeMap;

use bytes::Bytes;
use rand::Rng;

use crate::config::VerdictEvent;
use crate::dispatch::{DispatchEvent, ForwardId};
use crate::event::{HostAction, JobCall};
use crate::front::{CallId, FrontEvent};
use crate::id::{Incarnation, Offset, Sequence, WorkerId};
use crate::job::CoordinatorEvent;
use crate::membership::MembershipEvent;
use crate::ownership::OwnershipEvent;
use crate::peer::PeerMessage;
use crate::placement::{Inventory, PlacementEvent};
use crate::request::Answer;
use crate::stream::StreamName;
use crate::systems::{CallError, HostState, ReadBatch};
use crate::unit::Timestamp;

/// Event for one of the duties or for the host itself.
#[derive(Debug)]
pub(super) enum Step {
    Tick,
    Stop,
    Hosts(BTreeMap<String, HostState>),
    Read { stream: StreamName, sent_at: Timestamp, result: Result<ReadBatch, CallError> },
    Appended { stream: StreamName, seq: Sequence, result: Result<Offset, CallError> },
    StreamTick,
    PeerSnapshot { stream: StreamName, snapshot: Bytes },
    Verdict(VerdictEvent),
    Ownership(OwnershipEvent),
    Membership(MembershipEvent),
    Front(FrontEvent),
    Dispatch(DispatchEvent),
    BackendResult { forward: ForwardId, result: Result<Answer, CallError> },
    Placement(PlacementEvent),
    CommandResult { worker: WorkerId, ticket: u64, result: Result<Inventory, CallError> },
    Coordinator(CoordinatorEvent),
    JobCall { call: CallId, body: JobCall },
    StatusCall { call: CallId },
    Receive { from: Incarnation, message: PeerMessage },
    NotSent { message: PeerMessage },
    PeerLost { peer: Incarnation },
}

/// Arguments of one `handle` call; actions are appended to `out`.
pub(super) struct StepContext<'a> {
    pub(super) now: Timestamp,
    pub(super) rng: &'a mut dyn Rng,
    pub(super) out: &'a mut Vec<HostAction>,
}
