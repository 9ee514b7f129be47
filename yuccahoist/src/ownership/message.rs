//! Events, actions, log records and peer messages of the ownership state machine.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::{Epoch, HostId, Incarnation, Offset, SiteId, Subject, ZoneId};
use crate::ownership::CellChange;
use crate::unit::Timestamp;

/// Record of the `cell` stream. Stored as JSON, so the names of variants and fields are part of the format.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CellRecord {
    /// Adds the producer to the view, if `previous` is the current incarnation of its host.
    Join {
        /// Must have the producer's incarnation, or the record is void.
        member: Member,
        /// Incarnation of the same host that it replaces. This makes a late join of an ended process void.
        previous: Option<Incarnation>,
    },
    /// Removes the producer from the view. It owns nothing and has no request in flight.
    Leave,
    /// Removes an incarnation from the view that has appended nothing for too long.
    Remove {
        /// Member to remove. The record is void if the producer is not in the view.
        incarnation: Incarnation,
    },
    /// Makes the producer the owner, if `previous` is the subject's current epoch.
    Claim {
        /// Shard or partition that is claimed.
        subject: Subject,
        /// Epoch that the claim replaces; none for a subject that was never owned.
        previous: Option<Epoch>,
        /// Offset of the next record that the producer had not read.
        read_to: Offset,
    },
    /// Extends the producer's leases.
    Renew {
        /// Epochs to extend; those that are not current epochs of the producer are ignored. Empty for a member that
        /// owns nothing.
        epochs: Vec<Epoch>,
        /// Offset of the next record that the producer had not read.
        read_to: Offset,
    },
    /// Ends leases of the producer. It sends nothing more under them and has no request in flight.
    Release {
        /// Current or earlier epochs of the producer.
        epochs: Vec<Epoch>,
    },
    /// States that all owners before the producer's epoch have ended and have no request in flight.
    Cleared {
        /// Current or earlier epoch of the producer.
        epoch: Epoch,
    },
    /// State after all records up to `through`.
    Snapshot(Box<super::CellSnapshot>),
}

/// Member of the view: one process of an entry host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name from the host's settings; the same for all incarnations of the host.
    pub host: HostId,
    /// Unique per process start.
    pub incarnation: Incarnation,
    /// Address at which peers connect, `ip:port`.
    pub address: std::net::SocketAddr,
    /// Availability zone of the host.
    pub zone: ZoneId,
    /// Site whose configuration overlay applies.
    pub site: SiteId,
}

/// Message between the ownership state machines of two hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OwnershipMessage {
    /// Requests a promise not to append a claim that replaces these epochs.
    PromiseRequest {
        /// Identifies the round in the reply; increases per sender.
        round: u64,
        /// Epochs that the sender holds.
        epochs: Vec<Epoch>,
        /// Duration of the promise, counted by its giver from the receipt of the request.
        length: Duration,
    },
    /// Reply to a promise request.
    PromiseReply {
        /// Number from the request.
        round: u64,
        /// Epochs for which the promise is given.
        granted: Vec<Epoch>,
    },
    /// Asks the earlier owner of these epochs whether they have ended. The receiver ends those that it still holds.
    EndQuery {
        /// Epochs of the receiver.
        epochs: Vec<Epoch>,
    },
    /// States that the sender sends nothing more under these epochs and has no request of them in flight.
    Ended {
        /// Epochs of the sender.
        epochs: Vec<Epoch>,
    },
}

/// Part of a subject's capacity that an owner may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Share {
    /// No capacity, because requests of earlier owners may still use all of it.
    Nothing,
    /// Share of an owner that cannot renew its lease: half the slots, renewals of running tasks, no new tasks.
    Reduced,
    /// Complement of the reduced share, for a successor without evidence that the earlier owner has ended.
    Remainder,
    /// The whole capacity.
    Full,
}

/// Input of the ownership state machine.
#[derive(Debug, Clone)]
pub enum OwnershipEvent {
    /// The state of the `cell` stream changed.
    Change(CellChange),
    /// An append of this host took effect. Its record is applied when it is read back.
    Appended {
        /// Number given with [`OwnershipAction::Append`].
        ticket: u64,
        /// Position of the record in the stream.
        offset: Offset,
    },
    /// An append of this host will certainly not take effect.
    AppendFailed {
        /// Number given with [`OwnershipAction::Append`].
        ticket: u64,
    },
    /// A read reached the end that the stream had when the read was sent. Follows the changes of that read.
    CaughtUp {
        /// Local time before the read was sent.
        sent_at: Timestamp,
    },
    /// A message of a peer arrived.
    Peer {
        /// Incarnation that sent it.
        from: Incarnation,
        /// Request or reply about an epoch.
        message: OwnershipMessage,
    },
    /// The suspicion that a peer has failed was raised or withdrawn.
    Suspected {
        /// Peer whose state changed.
        incarnation: Incarnation,
        /// Whether it is suspected now.
        suspected: bool,
    },
    /// All subjects of the configuration; replaces the earlier set.
    Subjects(std::collections::BTreeSet<Subject>),
    /// Longest run limit of any request class in the configuration.
    MaxRunLimit(Duration),
    /// No request of these epochs is in flight any more. Follows [`OwnershipAction::Lost`].
    Quiescent {
        /// Epochs whose last request has finished.
        epochs: Vec<Epoch>,
    },
    /// Planned stop: claim nothing more, and release each lease once it is quiescent.
    Stop,
    /// Whether a stopping process still waits for replies of peers and must stay in the view for them.
    AwaitingReplies(bool),
    /// Periodic tick for everything that depends on time.
    Tick,
}

/// Output of the ownership state machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OwnershipAction {
    /// Append a record to the `cell` stream. Only one append is in flight at a time, which keeps the records in order.
    Append {
        /// Identifies the append in its result.
        ticket: u64,
        /// Record with this process as its producer.
        record: CellRecord,
    },
    /// Send a message to a member.
    Send {
        /// Receiving incarnation.
        to: Incarnation,
        /// Request or reply about an epoch.
        message: OwnershipMessage,
    },
    /// This host may use a share of a subject. Replaces the earlier grant of the same epoch.
    Grant(Grant),
    /// This host must send nothing more under an epoch.
    Lost {
        /// Shard or partition of the epoch.
        subject: Subject,
        /// Epoch that this process held.
        epoch: Epoch,
    },
    /// The owner of a subject changed in the `cell` stream.
    Owner {
        /// Shard or partition whose owner changed.
        subject: Subject,
        /// New owner and its epoch; none if the subject was released.
        owner: Option<(Incarnation, Epoch)>,
    },
    /// All members of the view after a change of it.
    View(Vec<Member>),
}

/// Permission to use a subject for a limited time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Grant {
    /// Shard or partition that may be used.
    pub subject: Subject,
    /// Epoch that fences everything sent under the grant.
    pub epoch: Epoch,
    /// Usable part of the request capacity.
    pub share: Share,
    /// Whether new tasks may be started.
    pub may_start_tasks: bool,
    /// Last time at which something may be sent, on the local clock.
    pub valid_until: Timestamp,
    /// Time before which an earlier owner may still have started tasks. Inventories must be read after it.
    pub settled_at: Timestamp,
}
