//! Messages to and from other hosts.
//!
//! The addresses of the members of the view come from the log. A host that starts while the log is unavailable is not a
//! member. It sends heartbeats to the seed addresses in its settings, and the receivers reply to the address in the
//! heartbeat.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use super::Host;
use super::step::{Step, StepContext};
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

/// Time between load summaries that are sent to all peers.
const LOAD_BROADCAST_INTERVAL: Duration = Duration::from_millis(500);
/// Time between load summaries for this host's own front while the dispatcher handles no events. Only the expiry of a
/// lease changes the load without an event.
const LOCAL_LOAD_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest time between load summaries to one peer that accompany replies.
const MIN_REPLY_LOAD_INTERVAL: Duration = Duration::from_millis(20);
/// Time between heartbeats to the seed addresses while this host is not a member of the view.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);
/// Time without a heartbeat after which a peer that is not a member is removed.
const NON_MEMBER_TIMEOUT: Duration = Duration::from_secs(10);

/// Last heartbeat of a peer.
#[derive(Debug, Clone)]
pub(super) struct PeerState {
    pub(super) host: HostId,
    pub(super) heartbeat: Heartbeat,
    heard_at: Timestamp,
}

/// Addresses of peers, their last heartbeats, and the times of load summaries.
#[derive(Debug)]
pub(super) struct Peers {
    seeds: Vec<SocketAddr>,
    members: BTreeMap<Incarnation, SocketAddr>,
    non_members: BTreeMap<Incarnation, SocketAddr>,
    pub(super) states: BTreeMap<Incarnation, PeerState>,
    load_times: BTreeMap<Incarnation, Timestamp>,
    broadcast_at: Option<Timestamp>,
    published_at: Option<Timestamp>,
    /// Whether the load may have changed since the last summary for this host's own front.
    pub(super) load_changed: bool,
    announced_at: Option<Timestamp>,
}

impl Peers {
    pub(super) fn new(seeds: Vec<SocketAddr>) -> Self {
        Self {
            seeds,
            members: BTreeMap::new(),
            non_members: BTreeMap::new(),
            states: BTreeMap::new(),
            load_times: BTreeMap::new(),
            broadcast_at: None,
            published_at: None,
            load_changed: true,
            announced_at: None,
        }
    }

    /// Replaces the members and returns those that are no longer in the view.
    pub(super) fn set_view(&mut self, members: &[Member]) -> Vec<Incarnation> {
        let before = std::mem::take(&mut self.members);
        self.members = members.iter().map(|member| (member.incarnation, member.address)).collect();
        self.non_members.retain(|incarnation, _| !self.members.contains_key(incarnation));
        let non_members = &self.non_members;
        let members = &self.members;
        self.states.retain(|incarnation, _| {
            members.contains_key(incarnation) || non_members.contains_key(incarnation)
        });
        self.load_times.retain(|incarnation, _| members.contains_key(incarnation));
        before.into_keys().filter(|incarnation| !members.contains_key(incarnation)).collect()
    }

    pub(super) fn is_in_view(&self, incarnation: Incarnation) -> bool {
        self.members.contains_key(&incarnation)
    }

    fn address(&self, incarnation: Incarnation) -> Option<SocketAddr> {
        self.members.get(&incarnation).or_else(|| self.non_members.get(&incarnation)).copied()
    }

    fn others(&self, own: Incarnation) -> BTreeSet<Incarnation> {
        self.members.keys().chain(self.non_members.keys()).copied().filter(|peer| *peer != own).collect()
    }

    fn record_heartbeat(&mut self, now: Timestamp, from: Incarnation, heartbeat: Heartbeat) {
        if !self.members.contains_key(&from) {
            self.non_members.insert(from, heartbeat.address);
        }
        self.states.insert(from, PeerState { host: heartbeat.host.clone(), heartbeat, heard_at: now });
    }

    fn remove_silent_peers(&mut self, now: Timestamp) {
        let silent: Vec<Incarnation> = self
            .non_members
            .keys()
            .filter(|peer| {
                self.states.get(peer).is_none_or(|state| now.since(state.heard_at) > NON_MEMBER_TIMEOUT)
            })
            .copied()
            .collect();
        for peer in silent {
            self.non_members.remove(&peer);
            self.states.remove(&peer);
        }
    }
}

impl Host {
    /// Sends a message. Returns false if the address of the receiver is not known.
    pub(super) fn send(
        &self,
        to: Incarnation,
        message: PeerMessage,
        until: Option<Timestamp>,
        ctx: &mut StepContext<'_>,
    ) -> bool {
        let Some(address) = self.peers.address(to) else { return false };
        ctx.out.push(HostAction::Send { to, address, message, until });
        true
    }

    pub(super) fn heartbeat(&self) -> Heartbeat {
        // The fold may already have a revision before the first configuration is applied; it is not in force here.
        let in_force =
            self.config.as_ref().map(|_| self.streams.config.fold().in_force()).unwrap_or_default();
        Heartbeat {
            host: self.member.host.clone(),
            address: self.member.address,
            site: self.member.site.clone(),
            revision: in_force.revision,
            offset: in_force.offset,
            digest: self.config.as_ref().map_or(0, |config| config.digest),
            stopping: self.stopping_since.is_some(),
        }
    }

    /// Queries all peers for a snapshot of a stream, or the seed addresses if no peer is known.
    pub(super) fn request_snapshot(&self, stream: StreamName, ctx: &mut StepContext<'_>) {
        let message = || PeerMessage::SnapshotQuery { stream };
        let peers = self.peers.others(self.incarnation());
        for peer in &peers {
            self.send(*peer, message(), None, ctx);
        }
        if peers.is_empty() {
            for address in self.seeds() {
                let heartbeat = PeerMessage::Heartbeat(self.heartbeat());
                ctx.out.push(HostAction::Send { to: ANY_PEER, address, message: heartbeat, until: None });
                ctx.out.push(HostAction::Send { to: ANY_PEER, address, message: message(), until: None });
            }
        }
    }

    fn seeds(&self) -> impl Iterator<Item = SocketAddr> {
        let own = self.member.address;
        self.peers.seeds.iter().copied().filter(move |address| *address != own)
    }

    /// Sends heartbeats to the seed addresses while this host is not a member, so that their hosts reply to it and send
    /// it load summaries.
    pub(super) fn announce_to_seeds(&mut self, ctx: &mut StepContext<'_>) {
        self.peers.remove_silent_peers(ctx.now);
        let due = self.peers.announced_at.is_none_or(|at| ctx.now.since(at) >= ANNOUNCE_INTERVAL);
        if self.peers.is_in_view(self.incarnation()) || self.stopping_since.is_some() || !due {
            return;
        }
        self.peers.announced_at = Some(ctx.now);
        let message = || PeerMessage::Heartbeat(self.heartbeat());
        for address in self.seeds() {
            ctx.out.push(HostAction::Send { to: ANY_PEER, address, message: message(), until: None });
        }
    }

    /// Passes the load of this host's shards to its own front, and sends it to all peers at intervals.
    pub(super) fn publish_load(&mut self, ctx: &mut StepContext<'_>) {
        let due = |last: Option<Timestamp>, period| last.is_none_or(|at| ctx.now.since(at) >= period);
        let broadcast = due(self.peers.broadcast_at, LOAD_BROADCAST_INTERVAL);
        if !broadcast && !self.peers.load_changed && !due(self.peers.published_at, LOCAL_LOAD_INTERVAL) {
            return;
        }
        self.peers.published_at = Some(ctx.now);
        self.peers.load_changed = false;
        let shards = self.dispatcher.load(ctx.now);
        if broadcast {
            self.peers.broadcast_at = Some(ctx.now);
            for peer in self.peers.others(self.incarnation()) {
                self.send(peer, PeerMessage::Load(shards.clone()), None, ctx);
                self.peers.load_times.insert(peer, ctx.now);
            }
        }
        self.pending_steps.push_back(Step::Front(FrontEvent::Load { owner: self.incarnation(), shards }));
    }

    /// Sends the load to the receiver of a reply, unless one was sent to it within [`MIN_REPLY_LOAD_INTERVAL`].
    pub(super) fn send_load_with_reply(&mut self, to: Incarnation, ctx: &mut StepContext<'_>) {
        let recent =
            self.peers.load_times.get(&to).is_some_and(|at| ctx.now.since(*at) < MIN_REPLY_LOAD_INTERVAL);
        if !recent {
            self.peers.load_times.insert(to, ctx.now);
            self.send(to, PeerMessage::Load(self.dispatcher.load(ctx.now)), None, ctx);
        }
    }

    pub(super) fn peer_message(
        &mut self,
        from: Incarnation,
        message: PeerMessage,
        ctx: &mut StepContext<'_>,
    ) {
        match message {
            PeerMessage::Heartbeat(heartbeat) => {
                let event = MembershipEvent::Heartbeat { from, stopping: heartbeat.stopping };
                self.peers.record_heartbeat(ctx.now, from, heartbeat);
                self.pending_steps.push_back(Step::Membership(event));
            }
            PeerMessage::Load(shards) => {
                self.pending_steps.push_back(Step::Front(FrontEvent::Load { owner: from, shards }));
            }
            PeerMessage::Forward { forward, shard, mut request, remaining } => {
                request.deadline = ctx.now + remaining;
                self.pending_steps.push_back(Step::Dispatch(DispatchEvent::Submit {
                    forward,
                    shard,
                    request,
                }));
            }
            PeerMessage::Accepted { forward } => {
                self.pending_steps.push_back(Step::Front(FrontEvent::Accepted { forward }));
            }
            PeerMessage::Finished { forward, outcome } => {
                self.pending_forwards.remove(&forward);
                self.pending_steps.push_back(Step::Front(FrontEvent::Finished { forward, outcome }));
            }
            PeerMessage::Withdraw { forward } => {
                self.pending_steps.push_back(Step::Dispatch(DispatchEvent::Withdraw { forward }));
            }
            PeerMessage::Ownership(message) => {
                self.pending_steps.push_back(Step::Ownership(OwnershipEvent::Peer { from, message }));
            }
            PeerMessage::Shard(request) => {
                self.pending_steps.push_back(Step::Placement(PlacementEvent::Request { from, request }));
            }
            PeerMessage::ShardReply(reply) => {
                self.pending_steps.push_back(Step::Coordinator(CoordinatorEvent::Reply { from, reply }));
            }
            PeerMessage::AnswerQuery { id, digest } => {
                self.pending_steps.push_back(Step::Front(FrontEvent::AnswerQuery { from, id, digest }));
            }
            PeerMessage::AnswerReply { id, outcome } => {
                self.pending_steps.push_back(Step::Front(FrontEvent::AnswerReply { id, outcome }));
            }
            PeerMessage::SnapshotQuery { stream } => {
                // While this host still reads the stream, its fold may be far behind the log.
                let is_current = stream != StreamName::Config || self.config.is_some();
                if let Some(snapshot) = self.streams.snapshot(stream).filter(|_| is_current) {
                    let message = PeerMessage::SnapshotReply { stream, snapshot: snapshot.to_vec() };
                    self.send(from, message, None, ctx);
                }
            }
            PeerMessage::SnapshotReply { stream, snapshot } => {
                self.pending_steps.push_back(Step::PeerSnapshot { stream, snapshot: snapshot.into() });
            }
            PeerMessage::JobStatusQuery { number, job } => {
                let status = self.local_status(&job).map(Box::new);
                self.send(from, PeerMessage::JobStatusReply { number, status }, None, ctx);
            }
            PeerMessage::JobStatusReply { number, status } => {
                self.job_status_reply(number, status.map(|status| *status), ctx);
            }
        }
    }

    pub(super) fn not_sent(&mut self, message: &PeerMessage) {
        // All other messages are retried by the duty that sent them.
        if let PeerMessage::Forward { forward, .. } = message {
            self.pending_forwards.remove(forward);
            self.pending_steps.push_back(Step::Front(FrontEvent::NotSent { forward: *forward }));
        }
    }

    pub(super) fn peer_lost(&mut self, peer: Incarnation) {
        let lost: Vec<_> = self
            .pending_forwards
            .iter()
            .filter(|(_, owner)| **owner == peer)
            .map(|(forward, _)| *forward)
            .collect();
        for forward in lost {
            self.pending_forwards.remove(&forward);
            self.pending_steps.push_back(Step::Front(FrontEvent::OwnerLost { forward }));
        }
    }
}
