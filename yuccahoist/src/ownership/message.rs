//! Events, actions, records and peer messages of the ownership duty.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::{Epoch, HostId, Incarnation, Offset, SiteId, Subject, ZoneId};
use crate::ownership::CellChange;
use crate::unit::Timestamp;

/// Record of the `cell` stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CellRecord {
    /// Puts an incarnation in the view, if `previous` is the host's current one.
    Join {
        /// Producer as a member.
        member: Member,
        /// Incarnation of the same host that it replaces. A late join of an ended process is thereby void.
        previous: Option<Incarnation>,
    },
    /// Takes the producer out of the view; it holds nothing and has no request in progress.
    Leave,
    /// Takes an incarnation out of the view that has been silent for too long.
    Remove {
        /// Incarnation that is removed.
        incarnation: Incarnation,
    },
    /// Makes the producer the owner, if `previous` is the subject's current epoch.
    Claim {
        /// Subject that is claimed.
        subject: Subject,
        /// Epoch that the claim replaces; none for a subject that was never owned.
        previous: Option<Epoch>,
        /// Offset of the next record that the producer had not read.
        read_to: Offset,
    },
    /// Extends the producer's leases.
    Renew {
        /// Epochs that are extended.
        epochs: Vec<Epoch>,
        /// Offset of the next record that the producer had not read.
        read_to: Offset,
    },
    /// Ends leases of the producer; it sends nothing more under them and has no request in progress.
    Release {
        /// Epochs that end.
        epochs: Vec<Epoch>,
    },
    /// States that all owners before the producer's epoch have ended and have no request in progress.
    Cleared {
        /// Epoch of the producer.
        epoch: Epoch,
    },
    /// State after all records up to `through`.
    Snapshot(Box<super::CellSnapshot>),
}

/// Member of the view.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Host by its settings.
    pub host: HostId,
    /// Process start.
    pub incarnation: Incarnation,
    /// Address for peers, `ip:port`.
    pub address: std::net::SocketAddr,
    /// Availability zone.
    pub zone: ZoneId,
    /// Site whose overlay applies.
    pub site: SiteId,
}

/// Message between the ownership duties of two hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OwnershipMessage {
    /// Asks for a promise not to append a claim on the epochs' subjects.
    PromiseRequest {
        /// Number of the round, rising per asker.
        round: u64,
        /// Epochs that the asker holds.
        epochs: Vec<Epoch>,
        /// Length of the promise from its receipt.
        length: Duration,
    },
    /// Answer to a promise request.
    PromiseReply {
        /// Round that is answered.
        round: u64,
        /// Epochs for which the promise is given.
        granted: Vec<Epoch>,
    },
    /// Asks the earlier owner of an epoch whether it has ended.
    EndQuery {
        /// Epochs in question.
        epochs: Vec<Epoch>,
    },
    /// States that the sender sends nothing more under these epochs and has no request of them in progress.
    Ended {
        /// Epochs that have ended.
        epochs: Vec<Epoch>,
    },
}

/// Part of a shard's capacity that an owner may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Share {
    /// None: earlier owner's requests may still run.
    Nothing,
    /// Fixed part of an owner that cannot renew: renewals of tasks, half the slots, no new tasks.
    Reduced,
    /// Other part, of a successor without evidence that the earlier owner ended.
    Remainder,
    /// All of it.
    Full,
}

/// What the ownership duty reacts to.
#[derive(Debug, Clone)]
pub enum OwnershipEvent {
    /// Fold of the `cell` stream changed.
    Change(CellChange),
    /// Append of this host took effect at an offset; the record is folded when it is read.
    Appended {
        /// Number given with [`OwnershipAction::Append`].
        ticket: u64,
        /// Offset of the record.
        offset: Offset,
    },
    /// Append is certain not to take effect.
    AppendFailed {
        /// Number given with [`OwnershipAction::Append`].
        ticket: u64,
    },
    /// Reader has reached the end of the stream as of the time the read was sent; follows the changes of that read.
    CaughtUp {
        /// Time before the read was sent.
        asked: Timestamp,
    },
    /// Message of a peer.
    Peer {
        /// Sender.
        from: Incarnation,
        /// Message.
        message: OwnershipMessage,
    },
    /// Peer is suspected to have failed, or is heard again.
    Suspected {
        /// Peer.
        incarnation: Incarnation,
        /// Whether it is suspected now.
        suspected: bool,
    },
    /// Subjects that exist, by configuration.
    Subjects(std::collections::BTreeSet<Subject>),
    /// Longest run limit of any request class, by configuration.
    RunLimit(Duration),
    /// No request of these epochs is in progress any more, after [`OwnershipAction::Lost`].
    Quiescent {
        /// Epochs.
        epochs: Vec<Epoch>,
    },
    /// Planned stop: claim nothing more, and release each lease once it is quiescent.
    Stop,
    /// Whether a stopping process still waits for answers of peers, and so stays in the view.
    Waiting(bool),
    /// Time passed.
    Tick,
}

/// What the ownership duty asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OwnershipAction {
    /// Append a record to the `cell` stream. One is in flight at a time, so the order of records is kept.
    Append {
        /// Number that the result refers to.
        ticket: u64,
        /// Record.
        record: CellRecord,
    },
    /// Send a message to a member.
    Send {
        /// Receiver.
        to: Incarnation,
        /// Message.
        message: OwnershipMessage,
    },
    /// This host may use a share of a subject until a time on its own clock. Replaces the earlier grant.
    Grant(Grant),
    /// This host must send nothing more under an epoch.
    Lost {
        /// Subject.
        subject: Subject,
        /// Epoch.
        epoch: Epoch,
    },
    /// Owner of a subject changed in the fold.
    Owner {
        /// Subject.
        subject: Subject,
        /// Owner and epoch; none when it was released.
        owner: Option<(Incarnation, Epoch)>,
    },
    /// View changed.
    View(Vec<Member>),
}

/// Permission to use a subject.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Grant {
    /// Subject.
    pub subject: Subject,
    /// Epoch under which to act.
    pub epoch: Epoch,
    /// Share of request capacity.
    pub share: Share,
    /// Whether new tasks may be started.
    pub tasks: bool,
    /// Last time at which something may be sent, on the local clock.
    pub until: Timestamp,
    /// Time before which an earlier owner may still have started tasks; inventories must be read after it.
    pub settled: Timestamp,
}
