//! Duties of a host that does not own the shard: relaying calls, tracking the owner, and campaigns.

use std::time::Duration;

use rand::RngExt;
use tokio::net::TcpStream;

use super::campaign::{Candidate, Outcome, campaign, campaign_delay};
use super::frame::{Frame, split};
use super::{HostState, Input, Loss, OwnerLink, PendingCall, RequestOrigin};
use crate::shard::message::{Answer, CallId, Event, Request};
use crate::shard::ports::{Announcement, StoreError};
use crate::unit::Timestamp;

/// Timeout of a connection attempt. Hosts are at most 3 ms apart, and a lost packet is retransmitted after 200 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Least time between two connection attempts; an earlier one waits for a later tick. An owner that rejects hosts does
/// so until it has learned of a newer ownership.
const MIN_RECONNECT_INTERVAL: Duration = Duration::from_millis(100);
/// Interval of pings to the owner; two go unanswered before the owner counts as silent.
const PING_INTERVAL: Duration = Duration::from_millis(200);
/// Silence after which the owner may be dead: a ping interval, and the 200 ms after which a lost packet is retransmitted.
pub(super) const SILENCE_TIMEOUT: Duration = Duration::from_millis(500);
/// How long after the loss of the owner unsent calls are kept before they are refused; a takeover takes 0.1 to 1.5 s.
const UNSENT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time without an owner after which the host reports itself as not ready; longer than a takeover.
const UNREADY_DELAY: Duration = Duration::from_millis(2_500);
/// Base of the backoff after a campaign that failed or that another host won; a new owner is announced within 20 ms.
const BASE_CAMPAIGN_BACKOFF: Duration = Duration::from_millis(300);
/// Longest backoff between campaigns while an owner that this host can't reach still writes to the store. Campaigns
/// read the log, and a network partition lasts for seconds.
const MAX_CAMPAIGN_BACKOFF: Duration = Duration::from_millis(3_000);

impl HostState {
    /// Handles one input of the main loop.
    pub(super) fn handle(&mut self, now: Timestamp, input: Input) {
        match input {
            Input::Call(request, wait, reply) => self.on_call(now, request, wait, reply),
            Input::OwnerEvent(epoch, event) => self.owner_event(now, epoch, event),
            Input::StoreState(up) => self.on_store_state(up),
            Input::Announced(announcement) => self.on_announced(now, announcement),
            Input::CampaignEnded(result) => self.on_campaign_ended(now, result),
            Input::Registry(epoch, changes) => self.on_registry(now, epoch, changes),
            Input::PeerConnected(link, sender) => {
                self.peers.insert(link, super::PeerLink { sender, last_heard: now, address: None });
            }
            Input::PeerFrame(link, frame) => self.on_peer_frame(now, link, frame),
            Input::PeerClosed(link) => self.drop_peer(link),
            Input::OwnerConnected(connection, sender) => self.on_owner_connected(now, connection, sender),
            Input::OwnerFrame(connection, frame) => self.on_owner_frame(now, connection, frame),
            Input::OwnerClosed(connection, loss) => self.on_owner_closed(now, connection, loss),
            Input::Recommended(origin, tickets) => self.on_recommended(now, origin, tickets),
            Input::Fenced(epoch) => self.step_down(now, epoch, "the store has seen a higher epoch"),
            Input::Workspaces(table) => self.on_workspaces(now, table),
            Input::Configuration(configuration) => self.on_own_configuration(now, configuration),
            Input::Stop(done) => {
                self.shutting_down = true;
                self.release_done = Some(done);
            }
        }
    }

    fn on_call(
        &mut self,
        now: Timestamp,
        request: Request,
        wait: Duration,
        reply: tokio::sync::oneshot::Sender<Answer>,
    ) {
        self.last_call += 1;
        let number = self.last_call;
        self.pending.insert(number, PendingCall::new(request, reply, now + wait));
        self.send_call(now, number);
    }

    /// Sends a pending call to the owner, if one is reachable.
    fn send_call(&mut self, now: Timestamp, number: u64) {
        let Some(pending) = self.pending.get_mut(&number) else { return };
        let request = pending.request.clone();
        let epoch = self.epoch;
        if self.owner.is_some() {
            pending.note_owner(epoch);
            return self.owner_event(now, epoch, Event::Call(CallId { link: 0, number }, request));
        }
        if let Some(link) = &self.owner_link
            && link.joined
            && link.sender.send(Frame::Call { number, request })
        {
            pending.note_owner(epoch);
        }
    }

    /// Sends the pending calls to a new owner; requests are idempotent, so repeats are safe. Answers those that were lost with
    /// too many owners.
    pub(super) fn send_pending(&mut self, now: Timestamp) {
        let numbers: Vec<u64> = self.pending.keys().copied().collect();
        for number in numbers {
            match self.pending.get(&number) {
                Some(pending) if !pending.may_reach(self.epoch) => {
                    let (answer, owners) = (pending.failure(), pending.owners);
                    log::warn!(target: "decision", "relay call={number} outcome={answer:?} reason=\"lost with {owners} owners\"");
                    self.reply(number, answer);
                }
                _ => self.send_call(now, number),
            }
        }
    }

    /// Sends the answer of a pending call to its caller, if the caller still waits for it.
    pub(super) fn reply(&mut self, number: u64, answer: Answer) {
        if let Some(pending) = self.pending.remove(&number)
            && pending.reply.send(answer).is_err()
        {
            log::debug!("answer to call {number} dropped: the caller has disconnected");
        }
    }

    /// Ends pending calls whose caller has disconnected, whose time limit has passed, or that found no owner in time.
    fn expire_calls(&mut self, now: Timestamp) {
        let ownerless = self.ownerless_since.is_some_and(|at| now.since(at) > UNSENT_TIMEOUT);
        let mut ended = Vec::new();
        for (number, pending) in &self.pending {
            if pending.reply.is_closed() {
                ended.push((*number, Answer::Unclear));
            } else if now >= pending.expires_at {
                ended.push((*number, pending.failure()));
            } else if ownerless && pending.last_owner.is_none() {
                ended.push((*number, super::no_owner()));
            }
        }
        for (number, answer) in ended {
            log::info!(target: "decision", "relay call={number} outcome={answer:?} reason=\"no owner in time\"");
            self.reply(number, answer);
        }
    }

    pub(super) fn on_store_state(&mut self, up: bool) {
        if up != self.store_up {
            log::info!(target: "decision", "dependency name=store outcome={}", if up { "regained" } else { "lost" });
        }
        self.store_up = up;
    }

    fn on_announced(&mut self, now: Timestamp, announcement: Announcement) {
        self.on_store_state(true);
        self.update_owner(now, announcement);
    }

    /// Follows an announcement from the store or from another host: steps down, connects or campaigns as it requires.
    fn update_owner(&mut self, now: Timestamp, announcement: Announcement) {
        let epoch = announcement.ownership.epoch;
        if epoch < self.epoch {
            return;
        }
        let is_own = announcement.ownership.address == self.settings.address.to_string();
        log::info!(
            target: "decision",
            "owner epoch={epoch} host={} released={} known={}",
            announcement.ownership.host,
            announcement.released,
            self.epoch
        );
        if epoch > self.epoch {
            self.connecting = false;
            self.connection_id += 1;
            if self.owner.is_some() {
                let previous = self.epoch;
                self.step_down(now, previous, "another host has announced a higher epoch");
            }
            self.owner_link = None;
        }
        self.epoch = epoch;
        self.failed_campaigns = 0;
        let released = announcement.released;
        self.announcement = Some(announcement);
        if self.owner.is_some() {
            return;
        }
        if is_own && self.campaigning {
            self.owner_link = None;
        } else if released || is_own {
            // The owner released the shard, or it was an earlier process of this host.
            self.owner_link = None;
            self.campaign(now, false);
        } else if self.owner_link.is_none() {
            self.connect();
        }
    }

    /// Connects to the announced owner.
    fn connect(&mut self) {
        if let Some(announcement) = &self.announcement {
            self.connect_to(announcement.ownership.address.clone(), false);
        }
    }

    /// Starts a connection attempt, unless there is a connection or an attempt already.
    fn connect_to(&mut self, address: String, probing: bool) {
        if self.connecting || self.owner_link.is_some() || self.owner.is_some() {
            return;
        }
        self.connecting = true;
        self.connection_id += 1;
        let connection = self.connection_id;
        self.connect_started = self.ports.clock.now();
        self.probing = probing;
        let (epoch, inbox) = (self.epoch, self.inbox.clone());
        let hello = Frame::Hello {
            host: self.settings.name.clone(),
            address: self.settings.address.to_string(),
            epoch,
        };
        tokio::spawn(async move {
            let stream = match tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(&address)).await {
                Ok(Ok(stream)) => stream,
                Ok(Err(error)) => {
                    log::info!(target: "decision", "owner epoch={epoch} address={address} outcome=unreachable error={error}");
                    return send_input(&inbox, Input::OwnerClosed(connection, Loss::Refused)).await;
                }
                Err(_) => return send_input(&inbox, Input::OwnerClosed(connection, Loss::Silent)).await,
            };
            let (mut reader, sender) = split(stream);
            if !sender.send(hello) {
                return send_input(&inbox, Input::OwnerClosed(connection, Loss::Ended)).await;
            }
            send_input(&inbox, Input::OwnerConnected(connection, sender)).await;
            while let Ok(Some(frame)) = reader.next().await {
                send_input(&inbox, Input::OwnerFrame(connection, frame)).await;
            }
            send_input(&inbox, Input::OwnerClosed(connection, Loss::Ended)).await;
        });
    }

    fn on_owner_connected(&mut self, now: Timestamp, connection: u64, sender: super::FrameSender) {
        if connection != self.connection_id || self.owner.is_some() {
            return;
        }
        self.connecting = false;
        self.owner_link = Some(OwnerLink { sender, last_heard: now, last_ping: now, joined: false });
    }

    fn on_owner_closed(&mut self, now: Timestamp, connection: u64, loss: Loss) {
        if connection != self.connection_id || self.owner.is_some() {
            return;
        }
        self.connecting = false;
        self.owner_link = None;
        if self.probing {
            return;
        }
        log::info!(target: "decision", "owner epoch={} outcome=lost loss={loss:?}", self.epoch);
        match loss {
            Loss::Ended if now.since(self.connect_started) > MIN_RECONNECT_INTERVAL => self.connect(),
            Loss::Ended => {}
            // The owner's process has ended, unless a partition makes the network refuse connections.
            Loss::Refused => self.campaign(now, self.failed_campaigns > 0),
            Loss::Silent => self.campaign(now, true),
        }
    }

    fn on_owner_frame(&mut self, now: Timestamp, connection: u64, frame: Frame) {
        if connection != self.connection_id {
            return;
        }
        let Some(link) = &mut self.owner_link else { return };
        link.last_heard = now;
        match frame {
            Frame::Answer { number, answer } => self.reply(number, answer),
            Frame::RequestRecommendation { number, step, workers } => {
                self.request_recommendation(RequestOrigin::Peer { connection, number }, step, workers);
            }
            Frame::Pong { store: true, .. } => self.failed_campaigns = 0,
            // The owner can't write, so the condition of a claim holds, unless only the answers to its writes are lost.
            Frame::Pong { store: false, .. } if self.store_up => self.campaign(now, false),
            Frame::Hosts(hosts) => {
                self.known_hosts = hosts;
                let Some(link) = &mut self.owner_link else { return };
                if !link.joined {
                    link.joined = true;
                    self.ownerless_since = None;
                    self.failed_campaigns = 0;
                    self.report_configuration();
                    self.send_pending(now);
                }
            }
            Frame::Configuration(configuration) => self.on_received_configuration(configuration),
            Frame::RequestConfiguration => self.send_configuration(),
            Frame::NotOwner { known } => {
                self.owner_link = None;
                self.connection_id += 1;
                match known.filter(|k| k.epoch > self.epoch) {
                    Some(ownership) => self.update_owner(now, Announcement { ownership, released: false }),
                    None if self.probing => {}
                    // The host that was the owner says that it is not. A later owner is safe, because the claim is
                    // conditional.
                    None => self.campaign(now, false),
                }
            }
            other => log::trace!("unexpected frame from the owner: {other:?}"),
        }
    }

    /// Starts a campaign, unless one is running, this host is the owner or is stopping, or the backoff has not passed.
    ///
    /// With `cautious`, the campaign ends early if the owner still writes to the store.
    pub(super) fn campaign(&mut self, now: Timestamp, cautious: bool) {
        if self.campaigning || self.owner.is_some() || self.shutting_down || now < self.campaign_after {
            return;
        }
        self.campaigning = true;
        let delay = campaign_delay(self.settings.cpu_share, self.known_hosts.len(), self.rng.random());
        let candidate = Candidate {
            host: self.settings.name.clone(),
            address: self.settings.address.to_string(),
            epoch: self.epoch,
            cautious,
            sequence: u64::from(self.rng.random::<u32>()),
            delay,
        };
        log::info!(target: "decision", "campaign epoch={} cautious={cautious}", self.epoch);
        let (store, inbox) = (self.ports.store.clone(), self.inbox.clone());
        tokio::spawn(async move {
            let result = campaign(store, candidate).await;
            send_input(&inbox, Input::CampaignEnded(result)).await;
        });
    }

    fn on_campaign_ended(&mut self, now: Timestamp, result: Result<Outcome, StoreError>) {
        self.campaigning = false;
        match result {
            Ok(Outcome::Won(won)) => {
                // The announcement may arrive before the result of the campaign, with an equal epoch then.
                let announced = self.announcement.as_ref().is_some_and(|a| a.ownership == won.ownership);
                if announced || won.ownership.epoch > self.epoch {
                    return self.take_over(now, won);
                }
                log::info!(target: "decision", "campaign epoch={} outcome=outrun", won.ownership.epoch);
            }
            Ok(Outcome::Superseded(ownership)) => {
                log::info!(target: "decision", "campaign epoch={} outcome=outrun", ownership.epoch);
                if ownership.epoch > self.epoch {
                    return self.update_owner(now, Announcement { ownership, released: false });
                }
            }
            Ok(Outcome::OwnerAlive) => log::info!(target: "decision", "campaign outcome=alive"),
            Err(error) => log::warn!(target: "decision", "campaign outcome=failed error={error}"),
        }
        self.failed_campaigns += 1;
        let backoff =
            BASE_CAMPAIGN_BACKOFF.saturating_mul(1 << self.failed_campaigns.min(4)).min(MAX_CAMPAIGN_BACKOFF);
        self.campaign_after = now + backoff;
        self.connect();
    }

    /// Runs the time-based checks after each batch of inputs.
    pub(super) fn tick(&mut self, now: Timestamp) {
        let epoch = self.epoch;
        if self.owner.is_some() {
            self.owner_event(now, epoch, Event::Tick);
            self.ownerless_since = None;
            self.send_store_state();
            self.send_hosts(now);
            self.exchange_configurations(now);
        } else if self.owner_link.as_ref().is_none_or(|link| !link.joined) {
            self.ownerless_since.get_or_insert(now);
        }
        self.ping(now);
        self.drop_silent_peers(now);
        if self.owner.is_none() && self.owner_link.is_none() && !self.connecting {
            self.find_owner(now);
        }
        self.expire_calls(now);
        self.try_release(now);
        self.publish_status(now);
    }

    /// Connects to the owner, campaigns, or asks other hosts for the owner, while there is no connection to one.
    fn find_owner(&mut self, now: Timestamp) {
        if now.since(self.connect_started) < MIN_RECONNECT_INTERVAL {
            return;
        }
        if !self.store_up || self.campaigning || now < self.campaign_after {
            // Another host may know the owner or be the owner.
            return self.probe_host();
        }
        match &self.announcement {
            Some(announcement) if !announcement.released => self.connect(),
            _ => self.campaign(now, false),
        }
    }

    /// Connects to the next of the known hosts to ask it for the owner.
    fn probe_host(&mut self) {
        let own = self.settings.address.to_string();
        self.known_hosts.retain(|address| *address != own);
        if !self.known_hosts.is_empty() {
            self.known_hosts.rotate_left(1);
            self.connect_to(self.known_hosts[0].clone(), true);
        }
    }

    /// Pings the owner when that is due; campaigns when the owner is silent.
    fn ping(&mut self, now: Timestamp) {
        let Some(link) = &mut self.owner_link else { return };
        if now.since(link.last_heard) > SILENCE_TIMEOUT {
            log::info!(target: "decision", "owner epoch={} outcome=silent", self.epoch);
            self.owner_link = None;
            self.campaign(now, true);
            return;
        }
        if now.since(link.last_ping) >= PING_INTERVAL {
            link.last_ping = now;
            if !link.sender.send(Frame::Ping) {
                log::info!("ping to the owner dropped: connection closed or send queue full");
            }
        }
    }

    /// Publishes the status to the handles, if it has changed.
    fn publish_status(&mut self, now: Timestamp) {
        let recently_reachable = self.ownerless_since.is_none_or(|at| now.since(at) < UNREADY_DELAY);
        let known = self.announcement.is_some() || self.owner.is_some();
        let status = super::HostStatus {
            is_ready: recently_reachable && known && !self.shutting_down,
            is_owner: self.owner.is_some(),
            epoch: self.epoch,
            workspaces: self.owner.as_ref().map(crate::shard::Owner::workspace_status).unwrap_or_default(),
            counters: self.owner.as_ref().map(crate::shard::Owner::counters).unwrap_or_default(),
        };
        self.status.send_if_modified(|current| {
            let changed = *current != status;
            *current = status;
            changed
        });
    }
}

/// Sends an input to the main loop of the host.
pub(super) async fn send_input(inbox: &tokio::sync::mpsc::Sender<Input>, input: Input) {
    if inbox.send(input).await.is_err() {
        log::debug!("input dropped: the main loop of the host has ended");
    }
}
