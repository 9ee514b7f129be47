//! Events and actions of the membership state machine.

use std::collections::BTreeMap;

use crate::id::Incarnation;
use crate::ownership::Member;
use crate::systems::HostState;

/// Input of the membership state machine.
#[derive(Debug, Clone)]
pub enum MembershipEvent {
    /// All members by the `cell` stream; replaces the earlier view.
    View(Vec<Member>),
    /// A heartbeat arrived. Ignored if the sender is not in the view.
    Heartbeat {
        /// Incarnation that sent the heartbeat.
        from: Incarnation,
        /// Whether the sender has begun a planned stop.
        stopping: bool,
    },
    /// State of each host by name, from the platform; replaces the earlier list.
    Hosts(BTreeMap<String, HostState>),
    /// Periodic tick that sends due heartbeats and detects missed ones.
    Tick,
}

/// Output of the membership state machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipAction {
    /// Send a heartbeat to each of these members.
    SendHeartbeat {
        /// All other members of the view.
        to: Vec<Incarnation>,
    },
    /// The suspicion that a member has failed was raised or withdrawn.
    Suspected {
        /// Member whose state changed.
        incarnation: Incarnation,
        /// Whether it is suspected now.
        suspected: bool,
    },
    /// A member began to leave, by its heartbeat or the platform's host list, or is no longer leaving.
    Leaving {
        /// Member whose state changed.
        incarnation: Incarnation,
        /// Whether it is leaving now.
        leaving: bool,
    },
}
