//! The part of a host that does not own the shard: relaying calls, following the owner, taking over.

use std::time::Duration;

use rand::RngExt;
use tokio::net::TcpStream;

use super::campaign::{Candidate, Outcome, campaign};
use super::frame::{Frame, split};
use super::{HostState, Input, Loss, OwnerLink, Pending, Question};
use crate::shard::message::{Answer, CallId, Event, Refusal, Request};
use crate::shard::ports::{Announcement, StoreError};
use crate::unit::Timestamp;

/// Time limit for connecting to the owner.
const CONNECT_LIMIT: Duration = Duration::from_millis(400); // Hosts are at most 3 ms apart; a lost packet is sent again after 200 ms.
/// Least time between two connections to the owner; a sooner one waits for the next tick.
const RECONNECT: Duration = Duration::from_millis(100); // An owner that turns hosts away has to learn something first.
/// Interval of pings to the owner.
const PING: Duration = Duration::from_millis(250); // Two are missed before the owner counts as silent.
/// Silence after which the owner may be gone.
pub(super) const SILENCE: Duration = Duration::from_millis(600); // Two pings and a delay.
/// Time for which a request that was not sent yet waits for an owner.
const UNSENT: Duration = Duration::from_millis(1_500); // A change of owner takes 0.1 to 1.5 s.
/// Time without an owner after which the host takes no new callers.
const UNREADY: Duration = Duration::from_millis(2_500); // Longer than a change of owner.
/// Longest random delay of a campaign.
const JITTER_MS: u64 = 40; // A claim takes 20 ms.
/// Delay of a host with little of a core, against one with half a core.
const WEAK_DELAY: Duration = Duration::from_millis(120); // Six claims of a stronger host.
/// Part of a core from which on a host claims without that delay.
const STRONG: f64 = 0.25; // Enough to own a shard of some fifty workers.
/// Pause after a campaign that another host won or that the store did not answer.
const CAMPAIGN_PAUSE: Duration = Duration::from_millis(300); // A new owner announces itself within 20 ms.
/// Longest pause between campaigns while the store shows a living owner that this host can't reach.
const LONGEST_PAUSE: Duration = Duration::from_millis(3_000); // Campaigns read the log; a cut lasts for seconds.

impl HostState {
    pub(super) fn handle(&mut self, now: Timestamp, input: Input) {
        match input {
            Input::Call(request, wait, reply) => self.on_call(now, request, wait, reply),
            Input::Owned(epoch, event) => self.owned(now, epoch, event),
            Input::StoreState(up) => self.on_store(up),
            Input::Announced(announcement) => self.on_announced(now, announcement),
            Input::Campaigned(result) => self.on_campaigned(now, result),
            Input::Registry(epoch, changes) => self.on_registry(now, epoch, changes),
            Input::Accepted(link, sender) => {
                self.links.insert(link, super::PeerLink { sender, heard: now, address: None });
            }
            Input::Inbound(link, frame) => self.on_inbound(now, link, frame),
            Input::InboundClosed(link) => self.drop_link(link),
            Input::Connected(connection, sender) => self.on_connected(now, connection, sender),
            Input::Outbound(connection, frame) => self.on_outbound(now, connection, frame),
            Input::Disconnected(connection, loss) => self.on_disconnected(now, connection, loss),
            Input::Advised(question, good) => self.on_advised(now, question, good),
            Input::Fenced(epoch) => self.step_down(now, epoch, "the store has seen a higher epoch"),
            Input::Stop(done) => {
                self.leaving = true;
                self.stopping = Some(done);
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
        self.numbers += 1;
        let number = self.numbers;
        self.pending.insert(number, Pending { request, reply, expires: now + wait, sent: false });
        self.send(now, number);
    }

    /// Sends a pending call to the owner, if there is one.
    fn send(&mut self, now: Timestamp, number: u64) {
        let Some(pending) = self.pending.get_mut(&number) else { return };
        let request = pending.request.clone();
        if self.owner.is_some() {
            pending.sent = true;
            let epoch = self.epoch;
            return self.owned(now, epoch, Event::Call(CallId { link: 0, number }, request));
        }
        if let Some(link) = &self.link
            && link.joined
            && link.sender.send(Frame::Call { number, request })
        {
            pending.sent = true;
        }
    }

    /// Sends all pending calls to a new owner; a repeated request has no further effect there.
    pub(super) fn send_all(&mut self, now: Timestamp) {
        let numbers: Vec<u64> = self.pending.keys().copied().collect();
        for number in numbers {
            self.send(now, number);
        }
    }

    pub(super) fn answer(&mut self, number: u64, answer: Answer) {
        // An answer for a caller that has gone is of no use.
        if let Some(pending) = self.pending.remove(&number)
            && pending.reply.send(answer).is_err()
        {
            log::debug!("the caller of request {number} has gone");
        }
    }

    fn expire(&mut self, now: Timestamp) {
        let refused = Answer::Refused { cause: Refusal::NoOwner, retry: Duration::from_secs(1) };
        let cut = self.cut_since.is_some_and(|at| now.since(at) > UNSENT);
        let mut ended = Vec::new();
        for (number, pending) in &self.pending {
            if pending.reply.is_closed() {
                ended.push((*number, Answer::Unclear));
            } else if now >= pending.expires {
                let harmless = matches!(pending.request, Request::Query(_) | Request::Count(_));
                let answer = if pending.sent && !harmless { Answer::Unclear } else { refused.clone() };
                ended.push((*number, answer));
            } else if cut && !pending.sent {
                ended.push((*number, refused.clone()));
            }
        }
        for (number, answer) in ended {
            log::info!(target: "decision", "relay call={number} outcome={answer:?} reason=\"no owner in time\"");
            self.answer(number, answer);
        }
    }

    pub(super) fn on_store(&mut self, up: bool) {
        if up != self.store {
            log::info!(target: "decision", "dependency name=store outcome={}", if up { "regained" } else { "lost" });
        }
        self.store = up;
    }

    fn on_announced(&mut self, now: Timestamp, announcement: Announcement) {
        self.on_store(true);
        self.learn(now, announcement);
    }

    /// Learns of an owner from the store or from another host.
    fn learn(&mut self, now: Timestamp, announcement: Announcement) {
        let epoch = announcement.ownership.epoch;
        if epoch < self.epoch {
            return;
        }
        let own = announcement.ownership.address == self.settings.address.to_string();
        log::info!(
            target: "decision",
            "owner epoch={epoch} host={} released={} known={}",
            announcement.ownership.host,
            announcement.released,
            self.epoch
        );
        if epoch > self.epoch {
            self.connecting = false;
            self.connection += 1;
            if self.owner.is_some() {
                let old = self.epoch;
                self.step_down(now, old, "another host has announced a higher epoch");
            }
            self.link = None;
        }
        self.epoch = epoch;
        self.doubts = 0;
        let released = announcement.released;
        self.announced = Some(announcement);
        if self.owner.is_some() {
            return;
        }
        if own && self.campaigning {
            self.link = None;
        } else if released || own {
            // An earlier process of this host owned the shard, or the owner gave it up.
            self.link = None;
            self.campaign(now, false);
        } else if self.link.is_none() {
            self.connect();
        }
    }

    fn connect(&mut self) {
        if let Some(announcement) = &self.announced {
            self.connect_to(announcement.ownership.address.clone(), false);
        }
    }

    fn connect_to(&mut self, address: String, probing: bool) {
        if self.connecting || self.link.is_some() || self.owner.is_some() {
            return;
        }
        self.connecting = true;
        self.connection += 1;
        let connection = self.connection;
        self.connected = self.ports.clock.now();
        self.probing = probing;
        let (epoch, inbox) = (self.epoch, self.inbox.clone());
        let hello = Frame::Hello {
            host: self.settings.name.clone(),
            address: self.settings.address.to_string(),
            epoch,
        };
        tokio::spawn(async move {
            let stream = match tokio::time::timeout(CONNECT_LIMIT, TcpStream::connect(&address)).await {
                Ok(Ok(stream)) => stream,
                Ok(Err(error)) => {
                    log::info!(target: "decision", "owner epoch={epoch} address={address} outcome=unreachable error={error}");
                    return tell(&inbox, Input::Disconnected(connection, Loss::Refused)).await;
                }
                Err(_) => return tell(&inbox, Input::Disconnected(connection, Loss::Silent)).await,
            };
            let (mut reader, sender) = split(stream);
            if !sender.send(hello) {
                return tell(&inbox, Input::Disconnected(connection, Loss::Ended)).await;
            }
            tell(&inbox, Input::Connected(connection, sender)).await;
            while let Ok(Some(frame)) = reader.next().await {
                tell(&inbox, Input::Outbound(connection, frame)).await;
            }
            tell(&inbox, Input::Disconnected(connection, Loss::Ended)).await;
        });
    }

    fn on_connected(&mut self, now: Timestamp, connection: u64, sender: super::FrameSender) {
        if connection != self.connection || self.owner.is_some() {
            return;
        }
        self.connecting = false;
        self.link = Some(OwnerLink { sender, heard: now, pinged: now, joined: false });
    }

    fn on_disconnected(&mut self, now: Timestamp, connection: u64, loss: Loss) {
        if connection != self.connection || self.owner.is_some() {
            return;
        }
        self.connecting = false;
        self.link = None;
        if self.probing {
            return;
        }
        log::info!(target: "decision", "owner epoch={} outcome=lost loss={loss:?}", self.epoch);
        match loss {
            Loss::Ended if now.since(self.connected) > RECONNECT => self.connect(),
            Loss::Ended => {}
            // Nobody listens there: the process has ended, unless a cut refuses connections.
            Loss::Refused => self.campaign(now, self.doubts > 0),
            Loss::Silent => self.campaign(now, true),
        }
    }

    fn on_outbound(&mut self, now: Timestamp, connection: u64, frame: Frame) {
        if connection != self.connection {
            return;
        }
        let Some(link) = &mut self.link else { return };
        link.heard = now;
        match frame {
            Frame::Answer { number, answer } => self.answer(number, answer),
            Frame::Advise { number, step, workers } => self.question(Question::Peer(number), step, workers),
            Frame::Pong { store: true, .. } => self.doubts = 0,
            // The owner can't write, so the condition of the claim holds unless its writes are only not answered.
            Frame::Pong { store: false, .. } if self.store => self.campaign(now, false),
            Frame::Hosts(hosts) => {
                self.hosts = hosts;
                let Some(link) = &mut self.link else { return };
                if !link.joined {
                    link.joined = true;
                    self.cut_since = None;
                    self.doubts = 0;
                    self.send_all(now);
                }
            }
            Frame::NotOwner { known } => {
                self.link = None;
                self.connection += 1;
                match known.filter(|k| k.epoch > self.epoch) {
                    Some(ownership) => self.learn(now, Announcement { ownership, released: false }),
                    None if self.probing => {}
                    // The owner itself says so; the condition of the claim protects a later one.
                    None => self.campaign(now, false),
                }
            }
            other => log::trace!("owner says {other:?}"),
        }
    }

    /// Starts a campaign, unless one is under way.
    pub(super) fn campaign(&mut self, now: Timestamp, cautious: bool) {
        if self.campaigning || self.owner.is_some() || self.leaving || now < self.campaign_after {
            return;
        }
        self.campaigning = true;
        let jitter = Duration::from_millis(self.rng.random_range(0..JITTER_MS));
        let weakness = (1.0 - self.settings.share / STRONG).clamp(0.0, 1.0);
        let candidate = Candidate {
            host: self.settings.name.clone(),
            address: self.settings.address.to_string(),
            epoch: self.epoch,
            cautious,
            sequence: u64::from(self.rng.random::<u32>()),
            delay: jitter + WEAK_DELAY.mul_f64(weakness),
        };
        log::info!(target: "decision", "campaign epoch={} cautious={cautious}", self.epoch);
        let (store, inbox) = (self.ports.store.clone(), self.inbox.clone());
        tokio::spawn(async move {
            let result = campaign(store, candidate).await;
            tell(&inbox, Input::Campaigned(result)).await;
        });
    }

    fn on_campaigned(&mut self, now: Timestamp, result: Result<Outcome, StoreError>) {
        self.campaigning = false;
        match result {
            Ok(Outcome::Won(won)) => {
                // The announcement may arrive before the result of the campaign.
                let announced = self.announced.as_ref().is_some_and(|a| a.ownership == won.ownership);
                if announced || won.ownership.epoch > self.epoch {
                    return self.take_over(now, won);
                }
                log::info!(target: "decision", "campaign epoch={} outcome=outrun", won.ownership.epoch);
            }
            Ok(Outcome::Outrun(ownership)) => {
                log::info!(target: "decision", "campaign epoch={} outcome=outrun", ownership.epoch);
                if ownership.epoch > self.epoch {
                    return self.learn(now, Announcement { ownership, released: false });
                }
            }
            Ok(Outcome::Alive) => log::info!(target: "decision", "campaign outcome=alive"),
            Err(error) => log::warn!(target: "decision", "campaign outcome=failed error={error}"),
        }
        self.doubts += 1;
        let pause = CAMPAIGN_PAUSE.saturating_mul(1 << self.doubts.min(4)).min(LONGEST_PAUSE);
        self.campaign_after = now + pause;
        self.connect();
    }

    pub(super) fn tick(&mut self, now: Timestamp) {
        let epoch = self.epoch;
        if self.owner.is_some() {
            self.owned(now, epoch, Event::Tick);
            self.cut_since = None;
            self.tell_doubt();
            self.tell_hosts(now);
        } else if self.link.as_ref().is_none_or(|link| !link.joined) {
            self.cut_since.get_or_insert(now);
        }
        self.ping(now);
        self.drop_silent(now);
        if self.owner.is_none() && self.link.is_none() && !self.connecting {
            self.follow(now);
        }
        self.expire(now);
        self.try_stop(now);
        self.show(now);
    }

    /// Looks for an owner after a failed campaign.
    fn follow(&mut self, now: Timestamp) {
        if now.since(self.connected) < RECONNECT {
            return;
        }
        if !self.store || self.campaigning || now < self.campaign_after {
            // Another host may know the owner, or be it.
            return self.probe();
        }
        match &self.announced {
            Some(announcement) if !announcement.released => self.connect(),
            _ => self.campaign(now, false),
        }
    }

    /// Asks the next host for the owner.
    fn probe(&mut self) {
        let own = self.settings.address.to_string();
        self.hosts.retain(|address| *address != own);
        if !self.hosts.is_empty() {
            self.hosts.rotate_left(1);
            self.connect_to(self.hosts[0].clone(), true);
        }
    }

    fn ping(&mut self, now: Timestamp) {
        let Some(link) = &mut self.link else { return };
        if now.since(link.heard) > SILENCE {
            log::info!(target: "decision", "owner epoch={} outcome=silent", self.epoch);
            self.link = None;
            self.campaign(now, true);
            return;
        }
        if now.since(link.pinged) >= PING {
            link.pinged = now;
            if !link.sender.send(Frame::Ping) {
                log::info!("the connection to the owner is full or closed");
            }
        }
    }

    fn show(&mut self, now: Timestamp) {
        let reachable = self.cut_since.is_none_or(|at| now.since(at) < UNREADY);
        let known = self.announced.is_some() || self.owner.is_some();
        let status = super::HostStatus {
            ready: reachable && known && !self.leaving,
            owner: self.owner.is_some(),
            epoch: self.epoch,
            counters: self.owner.as_ref().map(crate::shard::Owner::counters).unwrap_or_default(),
        };
        self.status.send_if_modified(|shown| {
            let changed = *shown != status;
            *shown = status;
            changed
        });
    }
}

pub(super) async fn tell(inbox: &tokio::sync::mpsc::Sender<Input>, input: Input) {
    if inbox.send(input).await.is_err() {
        log::debug!("the host has ended");
    }
}
