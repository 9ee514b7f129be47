//! Events and actions of the membership duty.

use std::collections::BTreeMap;

use crate::id::Incarnation;
use crate::ownership::Member;
use crate::systems::HostState;

/// What the membership duty reacts to.
#[derive(Debug, Clone)]
pub enum MembershipEvent {
    /// View by the `cell` stream.
    View(Vec<Member>),
    /// Heartbeat of a peer.
    Heard {
        /// Sender.
        from: Incarnation,
        /// Whether the sender is stopping.
        stopping: bool,
    },
    /// Platform's host list.
    Hosts(BTreeMap<String, HostState>),
    /// Time passed.
    Tick,
}

/// What the membership duty asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipAction {
    /// Send a heartbeat to each of these members.
    SendHeartbeat {
        /// Receivers.
        to: Vec<Incarnation>,
    },
    /// Member is suspected to have failed, or is heard again.
    Suspected {
        /// Member.
        incarnation: Incarnation,
        /// Whether it is suspected now.
        suspected: bool,
    },
    /// Member is leaving by its heartbeat or the platform's list, or no longer is.
    Leaving {
        /// Member.
        incarnation: Incarnation,
        /// Whether it is leaving now.
        leaving: bool,
    },
}
