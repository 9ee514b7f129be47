//! Messages to and from other hosts.
//!
//! Members of the view are known by the log. A host that starts while the log is unavailable is not a member; it greets
//! the addresses in its settings, and its heartbeats tell the members where to send replies.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use super::Host;
use super::step::{Step, Turn};
use crate::dispatch::DispatchEvent;
use crate::event::HostAction;
use crate::front::FrontEvent;
use crate::id::{HostId, Incarnation};
use crate::job::CoordinatorEvent;
use crate::membership::MembershipEvent;
use crate::ownership::{Member, OwnershipEvent};
use crate::peer::{ANY_PEER, Heartbeat, PeerMessage};
use crate::placement::PlacementEvent;
use crate::stream::StreamName;
use crate::unit::Timestamp;

/// Time between load summaries to all peers.
const LOAD_PERIOD: Duration = Duration::from_millis(500);
/// Time between summaries for this host's own front while nothing happens at the dispatcher. They change by events, but
/// for the end of a grant, after which the dispatcher refuses by itself.
const OWN_LOAD_PERIOD: Duration = Duration::from_millis(100);
/// Shortest time between load summaries to one peer that go with its replies.
const LOAD_WITH_REPLY: Duration = Duration::from_millis(20);
/// Time between greetings of the addresses in the settings, while this host is not a member.
const GREETING_PERIOD: Duration = Duration::from_millis(500);
/// Silence after which a peer that is not a member is forgotten.
const GUEST_LIMIT: Duration = Duration::from_secs(10);

/// Other host, as last heard.
#[derive(Debug, Clone)]
pub(super) struct Known {
    pub(super) host: HostId,
    pub(super) heartbeat: Heartbeat,
    heard: Timestamp,
}

/// Addresses of other hosts and what they last reported.
#[derive(Debug)]
pub(super) struct Peers {
    seeds: Vec<SocketAddr>,
    members: BTreeMap<Incarnation, SocketAddr>,
    guests: BTreeMap<Incarnation, SocketAddr>,
    pub(super) known: BTreeMap<Incarnation, Known>,
    load_sent: BTreeMap<Incarnation, Timestamp>,
    load_shared: Option<Timestamp>,
    own_load: Option<Timestamp>,
    /// Whether the dispatcher's load may have changed since this host's own front got it.
    pub(super) load_changed: bool,
    greeted: Option<Timestamp>,
}

impl Peers {
    pub(super) fn new(seeds: Vec<SocketAddr>) -> Self {
        Self {
            seeds,
            members: BTreeMap::new(),
            guests: BTreeMap::new(),
            known: BTreeMap::new(),
            load_sent: BTreeMap::new(),
            load_shared: None,
            own_load: None,
            load_changed: true,
            greeted: None,
        }
    }

    /// Replaces the members and returns those that are none any more.
    pub(super) fn set_view(&mut self, members: &[Member]) -> Vec<Incarnation> {
        let before = std::mem::take(&mut self.members);
        self.members = members.iter().map(|member| (member.incarnation, member.address)).collect();
        self.guests.retain(|incarnation, _| !self.members.contains_key(incarnation));
        let guests = &self.guests;
        let members = &self.members;
        self.known
            .retain(|incarnation, _| members.contains_key(incarnation) || guests.contains_key(incarnation));
        self.load_sent.retain(|incarnation, _| members.contains_key(incarnation));
        before.into_keys().filter(|incarnation| !members.contains_key(incarnation)).collect()
    }

    pub(super) fn in_view(&self, incarnation: Incarnation) -> bool {
        self.members.contains_key(&incarnation)
    }

    fn address(&self, incarnation: Incarnation) -> Option<SocketAddr> {
        self.members.get(&incarnation).or_else(|| self.guests.get(&incarnation)).copied()
    }

    fn others(&self, own: Incarnation) -> BTreeSet<Incarnation> {
        self.members.keys().chain(self.guests.keys()).copied().filter(|peer| *peer != own).collect()
    }

    fn heard(&mut self, now: Timestamp, from: Incarnation, heartbeat: Heartbeat) {
        if !self.members.contains_key(&from) {
            self.guests.insert(from, heartbeat.address);
        }
        self.known.insert(from, Known { host: heartbeat.host.clone(), heartbeat, heard: now });
    }

    fn forget_guests(&mut self, now: Timestamp) {
        let silent: Vec<Incarnation> = self
            .guests
            .keys()
            .filter(|guest| self.known.get(guest).is_none_or(|known| now.since(known.heard) > GUEST_LIMIT))
            .copied()
            .collect();
        for guest in silent {
            self.guests.remove(&guest);
            self.known.remove(&guest);
        }
    }
}

impl Host {
    /// Sends a message; false if no address of the receiver is known.
    pub(super) fn send(
        &self,
        to: Incarnation,
        message: PeerMessage,
        until: Option<Timestamp>,
        turn: &mut Turn<'_>,
    ) -> bool {
        let Some(address) = self.peers.address(to) else { return false };
        turn.out.push(HostAction::Send { to, address, message, until });
        true
    }

    pub(super) fn heartbeat(&self) -> Heartbeat {
        // A host that still reads the stream has nothing in force.
        let in_force =
            self.config.as_ref().map(|_| self.streams.config.fold().in_force()).unwrap_or_default();
        Heartbeat {
            host: self.member.host.clone(),
            address: self.member.address,
            site: self.member.site.clone(),
            revision: in_force.revision,
            offset: in_force.offset,
            digest: self.config.as_ref().map_or(0, |config| config.digest),
            stopping: self.stop.is_some(),
        }
    }

    /// Asks peers for the state of a stream: one member at random order of ids, or all seeds.
    pub(super) fn ask_state(&self, stream: StreamName, turn: &mut Turn<'_>) {
        let message = || PeerMessage::StateQuery { stream };
        let members = self.peers.others(self.incarnation());
        for peer in &members {
            self.send(*peer, message(), None, turn);
        }
        if members.is_empty() {
            for address in self.seeds() {
                let heartbeat = PeerMessage::Heartbeat(self.heartbeat());
                turn.out.push(HostAction::Send { to: ANY_PEER, address, message: heartbeat, until: None });
                turn.out.push(HostAction::Send { to: ANY_PEER, address, message: message(), until: None });
            }
        }
    }

    fn seeds(&self) -> impl Iterator<Item = SocketAddr> {
        let own = self.member.address;
        self.peers.seeds.iter().copied().filter(move |address| *address != own)
    }

    /// Tells peers about this host while it is not a member, so that they answer it and send it load summaries.
    pub(super) fn greet_seeds(&mut self, turn: &mut Turn<'_>) {
        self.peers.forget_guests(turn.now);
        let due = self.peers.greeted.is_none_or(|at| turn.now.since(at) >= GREETING_PERIOD);
        if self.peers.in_view(self.incarnation()) || self.stop.is_some() || !due {
            return;
        }
        self.peers.greeted = Some(turn.now);
        let message = || PeerMessage::Heartbeat(self.heartbeat());
        for address in self.seeds() {
            turn.out.push(HostAction::Send { to: ANY_PEER, address, message: message(), until: None });
        }
    }

    /// Gives this host's front the load of its own shards, and peers at intervals.
    pub(super) fn share_load(&mut self, turn: &mut Turn<'_>) {
        let due = |last: Option<Timestamp>, period| last.is_none_or(|at| turn.now.since(at) >= period);
        let share = due(self.peers.load_shared, LOAD_PERIOD);
        if !share && !self.peers.load_changed && !due(self.peers.own_load, OWN_LOAD_PERIOD) {
            return;
        }
        self.peers.own_load = Some(turn.now);
        self.peers.load_changed = false;
        let shards = self.dispatcher.load(turn.now);
        if share {
            self.peers.load_shared = Some(turn.now);
            for peer in self.peers.others(self.incarnation()) {
                self.send(peer, PeerMessage::Load(shards.clone()), None, turn);
                self.peers.load_sent.insert(peer, turn.now);
            }
        }
        self.steps.push_back(Step::Front(FrontEvent::Load { owner: self.incarnation(), shards }));
    }

    /// Sends the load along with a reply, unless the peer has just got it.
    pub(super) fn piggyback_load(&mut self, to: Incarnation, turn: &mut Turn<'_>) {
        let recent = self.peers.load_sent.get(&to).is_some_and(|at| turn.now.since(*at) < LOAD_WITH_REPLY);
        if !recent {
            self.peers.load_sent.insert(to, turn.now);
            self.send(to, PeerMessage::Load(self.dispatcher.load(turn.now)), None, turn);
        }
    }

    pub(super) fn receive(&mut self, from: Incarnation, message: PeerMessage, turn: &mut Turn<'_>) {
        match message {
            PeerMessage::Heartbeat(heartbeat) => {
                let event = MembershipEvent::Heard { from, stopping: heartbeat.stopping };
                self.peers.heard(turn.now, from, heartbeat);
                self.steps.push_back(Step::Membership(event));
            }
            PeerMessage::Load(shards) => {
                self.steps.push_back(Step::Front(FrontEvent::Load { owner: from, shards }));
            }
            PeerMessage::Forward { forward, shard, mut request, remaining } => {
                request.deadline = turn.now + remaining;
                self.steps.push_back(Step::Dispatch(DispatchEvent::Submit { forward, shard, request }));
            }
            PeerMessage::Accepted { forward } => {
                self.steps.push_back(Step::Front(FrontEvent::Accepted { forward }));
            }
            PeerMessage::Finished { forward, outcome } => {
                self.forwards.remove(&forward);
                self.steps.push_back(Step::Front(FrontEvent::Finished { forward, outcome }));
            }
            PeerMessage::Withdraw { forward } => {
                self.steps.push_back(Step::Dispatch(DispatchEvent::Withdraw { forward }));
            }
            PeerMessage::Ownership(message) => {
                self.steps.push_back(Step::Ownership(OwnershipEvent::Peer { from, message }));
            }
            PeerMessage::Shard(request) => {
                self.steps.push_back(Step::Placement(PlacementEvent::Request { from, request }));
            }
            PeerMessage::ShardReply(reply) => {
                self.steps.push_back(Step::Coordinator(CoordinatorEvent::Reply { from, reply }));
            }
            PeerMessage::AnswerQuery { id, digest } => {
                self.steps.push_back(Step::Front(FrontEvent::AnswerQuery { from, id, digest }));
            }
            PeerMessage::AnswerReply { id, outcome } => {
                self.steps.push_back(Step::Front(FrontEvent::AnswerReply { id, outcome }));
            }
            PeerMessage::StateQuery { stream } => {
                // The fold of a host that still reads the stream may be far behind.
                let usable = stream != StreamName::Config || self.config.is_some();
                if let Some(snapshot) = self.streams.snapshot(stream).filter(|_| usable) {
                    let message = PeerMessage::StateReply { stream, snapshot: snapshot.to_vec() };
                    self.send(from, message, None, turn);
                }
            }
            PeerMessage::StateReply { stream, snapshot } => {
                self.steps.push_back(Step::Restore { stream, snapshot: snapshot.into() });
            }
            PeerMessage::JobQuery { number, job } => {
                let status = self.local_status(&job).map(Box::new);
                self.send(from, PeerMessage::JobAnswer { number, status }, None, turn);
            }
            PeerMessage::JobAnswer { number, status } => {
                self.job_answer(number, status.map(|status| *status), turn);
            }
        }
    }

    pub(super) fn not_sent(&mut self, message: &PeerMessage) {
        // Everything else is repeated by its duty.
        if let PeerMessage::Forward { forward, .. } = message {
            self.forwards.remove(forward);
            self.steps.push_back(Step::Front(FrontEvent::NotSent { forward: *forward }));
        }
    }

    pub(super) fn peer_lost(&mut self, peer: Incarnation) {
        let lost: Vec<_> =
            self.forwards.iter().filter(|(_, owner)| **owner == peer).map(|(forward, _)| *forward).collect();
        for forward in lost {
            self.forwards.remove(&forward);
            self.steps.push_back(Step::Front(FrontEvent::OwnerLost { forward }));
        }
    }
}
