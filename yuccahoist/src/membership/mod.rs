//! Soft state about the members of the view: who was heard, who is suspected, who is leaving.
//!
//! It steers routing and starts claims. Safety never depends on it.

mod message;

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;

pub use self::message::*;
use crate::duty::Duty;
use crate::id::Incarnation;
use crate::ownership::Member;
use crate::systems::HostState;
use crate::unit::Timestamp;

/// Time between two heartbeats to each member.
pub const HEARTBEAT_PERIOD: Duration = Duration::from_millis(500);
/// Silence after which a member is suspected.
pub const SUSPECT_AFTER: Duration = Duration::from_millis(1500);
/// Gap between two events above which this process counts as paused, so that it does not blame its peers for it.
pub const PAUSE_GAP: Duration = Duration::from_millis(500);

/// Membership duty of one host.
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
    heard: Timestamp,
    suspected: bool,
    stopping: bool,
    leaving: bool,
}

impl Membership {
    /// Duty of the process with this incarnation.
    #[must_use]
    pub fn new(own: Incarnation) -> Self {
        Self { own, members: BTreeMap::new(), hosts: BTreeMap::new(), last_sent: None, last_event: None }
    }

    /// Whether a member is suspected; unknown members are not.
    #[must_use]
    pub fn is_suspected(&self, incarnation: Incarnation) -> bool {
        self.members.get(&incarnation).is_some_and(|member| member.suspected)
    }

    /// Whether a member is leaving; unknown members are not.
    #[must_use]
    pub fn is_leaving(&self, incarnation: Incarnation) -> bool {
        self.members.get(&incarnation).is_some_and(|member| member.leaving)
    }

    /// Time at which a member was last heard.
    #[must_use]
    pub fn last_heard(&self, incarnation: Incarnation) -> Option<Timestamp> {
        self.members.get(&incarnation).map(|member| member.heard)
    }

    fn set_view(&mut self, now: Timestamp, view: Vec<Member>) {
        let mut old = std::mem::take(&mut self.members);
        for member in view.into_iter().filter(|member| member.incarnation != self.own) {
            let state = old.remove(&member.incarnation).unwrap_or_else(|| MemberState {
                host: member.host.to_string(),
                heard: now,
                suspected: false,
                stopping: false,
                leaving: false,
            });
            self.members.insert(member.incarnation, state);
        }
    }

    /// Takes the time in which this process was paused out of the silence of its peers.
    fn skip_pause(&mut self, now: Timestamp) {
        let gap = self.last_event.map_or(Duration::ZERO, |last| now.since(last));
        if gap > PAUSE_GAP {
            for member in self.members.values_mut() {
                member.heard = member.heard + gap;
            }
        }
        self.last_event = Some(now);
    }

    fn update(&mut self, now: Timestamp, out: &mut Vec<MembershipAction>) {
        for (incarnation, member) in &mut self.members {
            let suspected = now.since(member.heard) >= SUSPECT_AFTER;
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

    fn send(&mut self, now: Timestamp, out: &mut Vec<MembershipAction>) {
        let due = self.last_sent.is_none_or(|last| now.since(last) >= HEARTBEAT_PERIOD);
        if due && !self.members.is_empty() {
            self.last_sent = Some(now);
            out.push(MembershipAction::SendHeartbeat { to: self.members.keys().copied().collect() });
        }
    }
}

impl Duty for Membership {
    type Event = MembershipEvent;
    type Action = MembershipAction;

    fn handle(
        &mut self,
        now: Timestamp,
        event: MembershipEvent,
        _rng: &mut dyn Rng,
        out: &mut Vec<MembershipAction>,
    ) {
        self.skip_pause(now);
        match event {
            MembershipEvent::View(view) => self.set_view(now, view),
            MembershipEvent::Heard { from, stopping } => {
                if let Some(member) = self.members.get_mut(&from) {
                    member.heard = now;
                    member.stopping = stopping;
                }
            }
            MembershipEvent::Hosts(hosts) => self.hosts = hosts,
            MembershipEvent::Tick => self.send(now, out),
        }
        self.update(now, out);
    }
}
