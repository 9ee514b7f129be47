//! The part of a host that owns the shard: connections of other hosts, recommendations, taking over and giving up.

use std::sync::Arc;
use std::time::Duration;

use super::frame::Frame;
use super::relay::{SILENCE, tell};
use super::roster::Roster;
use super::{HostState, Input, Question, Won};
use crate::shard::Owner;
use crate::shard::desk::{Desk, Lane};
use crate::shard::id::{Epoch, StepKey};
use crate::shard::message::{CallId, Event};
use crate::shard::owner::{OwnerOptions, Restored};
use crate::shard::ports::{Announcement, RegistryChange, Ticket};
use crate::shard::record::{Ownership, Record};
use crate::unit::Timestamp;

/// Interval between reads of the registry.
const REGISTRY: Duration = Duration::from_millis(350); // A draining worker may get tasks for 2 s after its report.
/// Pause before a deposed owner campaigns again.
const DEPOSED_PAUSE: Duration = Duration::from_millis(1_500); // Longer than its successor needs to take over.

impl HostState {
    pub(super) fn take_over(&mut self, now: Timestamp, won: Won) {
        let epoch = won.ownership.epoch;
        let mut restored = Restored::default();
        let mut broken = 0;
        for entry in &won.snapshot.entries {
            match Record::try_from(entry) {
                Ok(record) => restored.add(record),
                Err(error) => {
                    broken += 1;
                    log::error!("{error}; the record is left out");
                }
            }
        }
        log::info!(
            target: "decision",
            "take-over epoch={epoch} records={} broken={broken} end={}",
            won.snapshot.entries.len(),
            won.snapshot.end
        );
        self.epoch = epoch;
        self.announced = Some(Announcement { ownership: won.ownership.clone(), released: false });
        self.link = None;
        self.doubts = 0;
        self.store = true;
        let wall = self.ports.clock.wall().as_millis();
        let options = OwnerOptions::new(won.ownership, self.settings.longest);
        self.owner = Some(Owner::restore(options, restored, now, wall));
        self.appends = Some(self.appender(epoch, won.sequence));
        self.desk = Desk::default();
        self.desk.open(Lane::Own);
        self.links.clear();
        self.watch_registry(epoch);
        self.send_all(now);
    }

    fn watch_registry(&self, epoch: Epoch) {
        let (registry, inbox) = (self.ports.registry.clone(), self.inbox.clone());
        let status = self.status.subscribe();
        registry.restart();
        tokio::spawn(async move {
            loop {
                match registry.changes().await {
                    Ok(changes) => tell(&inbox, Input::Registry(epoch, changes)).await,
                    Err(error) => log::info!("reading the registry failed: {error}"),
                }
                tokio::time::sleep(REGISTRY).await;
                let current = status.borrow().clone();
                if inbox.is_closed() || current.epoch > epoch || (current.epoch == epoch && !current.owner) {
                    return;
                }
            }
        });
    }

    pub(super) fn on_registry(&mut self, now: Timestamp, epoch: Epoch, changes: Vec<RegistryChange>) {
        for change in changes {
            let event = match change {
                RegistryChange::Listed(entry) => Event::Worker(entry),
                RegistryChange::Unlisted(id) => Event::WorkerGone(id),
            };
            self.owned(now, epoch, event);
        }
    }

    /// Hands an event to the owner, if it is still that of `epoch`, and carries out what follows.
    pub(super) fn owned(&mut self, now: Timestamp, epoch: Epoch, event: Event) {
        let Some(owner) = self.owner.as_mut().filter(|o| o.epoch() == epoch) else { return };
        owner.set_lanes(self.desk.lanes());
        let wall = self.ports.clock.wall().as_millis();
        let mut actions = Vec::new();
        owner.handle(now, wall, event, &mut actions);
        for action in actions {
            self.perform(now, epoch, action);
        }
    }

    pub(super) fn step_down(&mut self, now: Timestamp, epoch: Epoch, reason: &str) {
        if self.owner.as_ref().is_none_or(|o| o.epoch() != epoch) {
            return;
        }
        log::warn!(target: "decision", "step-down epoch={epoch} reason={reason:?}");
        self.owner = None;
        self.appends = None;
        self.desk = Desk::default();
        self.hosts = self.links.values().filter_map(|peer| peer.address.clone()).collect();
        let known = self.known();
        for peer in self.links.values() {
            if !peer.sender.send(Frame::NotOwner { known: known.clone() }) {
                log::debug!("a host's connection is closed");
            }
        }
        self.links.clear();
        self.campaign_after = now + DEPOSED_PAUSE;
        self.cut_since = Some(now);
    }

    pub(super) fn on_inbound(&mut self, now: Timestamp, link: u64, frame: Frame) {
        let epoch = self.epoch;
        let Some(peer) = self.links.get_mut(&link) else { return };
        peer.heard = now;
        let sender = peer.sender.clone();
        if self.owner.is_none() {
            // A campaign may have been won already; the peer connects again.
            if !self.campaigning && !sender.send(Frame::NotOwner { known: self.known() }) {
                log::debug!("a host's connection is closed");
            }
            self.drop_link(link);
            return;
        }
        match frame {
            Frame::Ping => {
                if !sender.send(Frame::Pong { epoch, store: self.owner.as_ref().is_some_and(Owner::writes) })
                {
                    self.drop_link(link);
                }
            }
            Frame::Call { number, request } => {
                self.owned(now, epoch, Event::Call(CallId { link, number }, request));
            }
            Frame::Advised { number, good } => self.lane_free(now, Lane::Link(link), number, good),
            Frame::Hello { host, address, epoch: meant } if meant == epoch => {
                log::info!(target: "decision", "host host={host} epoch={epoch} outcome=joined");
                peer.address = Some(address);
                self.desk.open(Lane::Link(link));
                if !sender.send(Frame::Hosts(self.joined())) {
                    log::debug!("a host's connection is closed");
                }
                self.roster.joined();
                self.ask_next();
            }
            Frame::Hello { host, epoch: meant, .. } => {
                log::info!(target: "decision", "host host={host} epoch={epoch} outcome=turned-away meant={meant}");
                if !sender.send(Frame::NotOwner { known: self.known() }) {
                    log::debug!("a host's connection is closed");
                }
                self.drop_link(link);
            }
            other => log::trace!("host says {other:?}"),
        }
    }

    /// Ownership that this host knows of.
    fn known(&self) -> Option<Ownership> {
        self.announced.as_ref().filter(|a| !a.released).map(|a| a.ownership.clone())
    }

    /// Hosts that others are told of.
    fn joined(&self) -> Vec<String> {
        let joined = self.links.values().filter_map(|peer| peer.address.clone());
        Roster::list(self.settings.address.to_string(), joined)
    }

    /// Tells all hosts which hosts have joined, if that is due.
    pub(super) fn tell_hosts(&mut self, now: Timestamp) {
        if !self.roster.due(now) {
            return;
        }
        let hosts = self.joined();
        for peer in self.links.values().filter(|peer| peer.address.is_some()) {
            if !peer.sender.send(Frame::Hosts(hosts.clone())) {
                log::debug!("a host's connection is closed");
            }
        }
    }

    /// Tells all hosts at once when the store stops answering, and when it answers again.
    pub(super) fn tell_doubt(&mut self) {
        let Some(doubts) = self.owner.as_ref().map(|o| !o.writes()) else { return };
        if std::mem::replace(&mut self.doubted, doubts) == doubts {
            return;
        }
        let epoch = self.epoch;
        for peer in self.links.values() {
            if !peer.sender.send(Frame::Pong { epoch, store: !doubts }) {
                log::debug!("a host's connection is closed");
            }
        }
    }

    /// Drops the connections of hosts that have been silent; such a host may be gone without a reset.
    pub(super) fn drop_silent(&mut self, now: Timestamp) {
        let silent = self.links.iter().filter(|(_, peer)| now.since(peer.heard) > SILENCE * 2);
        let silent: Vec<u64> = silent.map(|(link, _)| *link).collect();
        for link in silent {
            log::info!(target: "decision", "host link={link} epoch={} outcome=silent", self.epoch);
            self.drop_link(link);
        }
    }

    /// Drops a connection; what its host was asked is asked of another one.
    pub(super) fn drop_link(&mut self, link: u64) {
        self.links.remove(&link);
        self.desk.close(Lane::Link(link));
        self.ask_next();
    }

    /// Hands waiting questions to the hosts that are free.
    pub(super) fn ask_next(&mut self) {
        while let Some((lane, number, ask)) = self.desk.take() {
            let workers: Vec<Arc<str>> = ask.workers.iter().map(|life| life.id.clone()).collect();
            match lane {
                Lane::Own => self.question(Question::Own(self.epoch, number), ask.step, workers),
                Lane::Link(link) => {
                    let frame = Frame::Advise { number, step: ask.step, workers };
                    if !self.links.get(&link).is_some_and(|peer| peer.sender.send(frame)) {
                        self.links.remove(&link);
                        self.desk.close(lane);
                    }
                }
            }
        }
    }

    pub(super) fn question(&mut self, question: Question, step: StepKey, workers: Vec<Arc<str>>) {
        if self.advice.send((question, step, workers)).is_err() {
            log::error!("the task that asks for recommendations has ended");
        }
    }

    pub(super) fn on_advised(&mut self, now: Timestamp, question: Question, good: Option<Vec<Ticket>>) {
        match question {
            Question::Own(epoch, number) if epoch == self.epoch => {
                self.lane_free(now, Lane::Own, number, good);
            }
            Question::Own(..) => {}
            Question::Peer(number) => {
                if let Some(link) = &self.link
                    && !link.sender.send(Frame::Advised { number, good })
                {
                    log::debug!("the connection to the owner is closed");
                }
            }
        }
    }

    fn lane_free(&mut self, now: Timestamp, lane: Lane, number: u64, good: Option<Vec<Ticket>>) {
        let epoch = self.epoch;
        if let Some(ask) = self.desk.finish(lane, number) {
            self.owned(now, epoch, Event::Advised(ask.step, ask.workers, good));
        }
        self.ask_next();
    }

    /// Gives the shard up once nothing is being written, when the host is stopping.
    pub(super) fn try_stop(&mut self, now: Timestamp) {
        if !self.leaving || self.stopping.is_none() {
            return;
        }
        let idle = self.owner.as_ref().is_none_or(Owner::idle);
        if !idle {
            return;
        }
        let Some(done) = self.stopping.take() else { return };
        let released = self.announced.clone().filter(|_| self.owner.is_some());
        let epoch = self.epoch;
        self.step_down(now, epoch, "the host is stopping");
        let store = self.ports.store.clone();
        tokio::spawn(async move {
            if let Some(announcement) = released {
                let announcement = Announcement { released: true, ..announcement };
                if let Err(error) = store.announce(&announcement).await {
                    log::warn!("the release was not announced: {error}");
                }
            }
            if done.send(()).is_err() {
                log::debug!("nobody waits for the release");
            }
        });
    }
}
