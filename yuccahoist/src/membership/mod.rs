//! Failure detector for the members of the view, by heartbeats and the platform's host list.
//!
//! Its state is soft: it influences routing and starts claims, but safety never depends on it.

mod message;

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;

pub use self::message::*;
use crate::id::Incarnation;
use crate::ownership::Member;
use crate::state_machine::StateMachine;
use crate::systems::HostState;
use crate::unit::Timestamp;

/// Time between two heartbeats to each member.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Time without a heartbeat after which a member is suspected to have failed.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_millis(1500);
/// Gap between two events above which this process counts as paused. The gap is not held against its peers, whose
/// heartbeats it could not receive.
pub const PAUSE_THRESHOLD: Duration = Duration::from_millis(500);

/// Membership state machine of one host.
#[derive(Debug)]
pub struct Membership {
    own: Incarnation,
    members: BTreeMap<Incarnation, MemberState>,
    hosts: BTreeMap<String, HostState>,
    last_sent: Option<Timestamp>,
    last_event: Option<Timestamp>,
}

#[derive(Debug)]
struct MemberState {
    host: String,
    last_heard: Timestamp,
    suspected: bool,
    stopping: bool,
    leaving: bool,
}

impl Membership {
    /// Creates the state machine of the process `own` with an empty view.
    #[must_use]
    pub fn new(own: Incarnation) -> Self {
        Self { own, members: BTreeMap::new(), hosts: BTreeMap::new(), last_sent: None, last_event: None }
    }

    /// Returns whether a member is suspected to have failed; false for an incarnation outside the view.
    #[must_use]
    pub fn is_suspected(&self, incarnation: Incarnation) -> bool {
        self.members.get(&incarnation).is_some_and(|member| member.suspected)
    }

    /// Returns whether a member is leaving; false for an incarnation outside the view.
    #[must_use]
    pub fn is_leaving(&self, incarnation: Incarnation) -> bool {
        self.members.get(&incarnation).is_some_and(|member| member.leaving)
    }

    /// Returns the time of a member's last heartbeat, moved forward by pauses of this process. A member without a
    /// heartbeat so far has the time at which it entered the view.
    #[must_use]
    pub fn last_heard(&self, incarnation: Incarnation) -> Option<Timestamp> {
        self.members.get(&incarnation).map(|member| member.last_heard)
    }

    fn set_view(&mut self, now: Timestamp, view: Vec<Member>) {
        let mut previous = std::mem::take(&mut self.members);
        for member in view.into_iter().filter(|member| member.incarnation != self.own) {
            let state = previous.remove(&member.incarnation).unwrap_or_else(|| MemberState {
                host: member.host.to_string(),
                last_heard: now,
                suspected: false,
                stopping: false,
                leaving: false,
            });
            self.members.insert(member.incarnation, state);
        }
    }

    /// Excludes the time in which this process was paused from the silence of its peers.
    fn discount_pause(&mut self, now: Timestamp) {
        let gap = self.last_event.map_or(Duration::ZERO, |last| now.since(last));
        if gap > PAUSE_THRESHOLD {
            for member in self.members.values_mut() {
                member.last_heard = member.last_heard + gap;
            }
        }
        self.last_event = Some(now);
    }

    fn report_changes(&mut self, now: Timestamp, out: &mut Vec<MembershipAction>) {
        for (incarnation, member) in &mut self.members {
            let suspected = now.since(member.last_heard) >= SUSPICION_TIMEOUT;
            if suspected != member.suspected {
                member.suspected = suspected;
                out.push(MembershipAction::Suspected { incarnation: *incarnation, suspected });
            }
            let leaving = member.stopping || self.hosts.get(&member.host) == Some(&HostState::Leaving);
            if leaving != member.leaving {
                member.leaving = leaving;
                out.push(MembershipAction::Leaving { incarnation: *incarnation, leaving });
            }
        }
    }

    fn send_heartbeats(&mut self, now: Timestamp, out: &mut Vec<MembershipAction>) {
        let due = self.last_sent.is_none_or(|last| now.since(last) >= HEARTBEAT_INTERVAL);
        if due && !self.members.is_empty() {
            self.last_sent = Some(now);
            out.push(MembershipAction::SendHeartbeat { to: self.members.keys().copied().collect() });
        }
    }
}

impl StateMachine for Membership {
    type Event = MembershipEvent;
    type Action = MembershipAction;

    fn handle(
        &mut self,
        now: Timestamp,
        event: MembershipEvent,
        _rng: &mut dyn Rng,
        out: &mut Vec<MembershipAction>,
    ) {
        self.discount_pause(now);
        match event {
            MembershipEvent::View(view) => self.set_view(now, view),
            MembershipEvent::Heartbeat { from, stopping } => {
                if let Some(member) = self.members.get_mut(&from) {
                    member.last_heard = now;
                    member.stopping = stopping;
                }
            }
            MembershipEvent::Hosts(hosts) => self.hosts = hosts,
            MembershipEvent::Tick => self.send_heartbeats(now, out),
        }
        self.report_changes(now, out);
    }
}
