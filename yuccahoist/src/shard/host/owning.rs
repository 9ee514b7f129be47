//! Duties of a host that owns the shard: connections of other hosts, recommendation calls, takeover and release.

use std::sync::Arc;
use std::time::Duration;

use super::frame::Frame;
use super::host_directory::HostDirectory;
use super::relay::{SILENCE_TIMEOUT, send_input};
use super::{HostState, Input, RequestOrigin, Won};
use crate::shard::Owner;
use crate::shard::id::{Epoch, StepKey};
use crate::shard::message::{CallId, Event};
use crate::shard::owner::{OwnerOptions, StoredRecords};
use crate::shard::ports::{Announcement, RegistryChange, Ticket};
use crate::shard::record::{Ownership, Record};
use crate::shard::request_queue::{RequestHost, RequestQueue};
use crate::shard::workspace::WorkspaceTable;
use crate::unit::Timestamp;

/// Interval between reads of the registry; short against the 2 s after a draining worker's entry in which it may still
/// get tasks.
const REGISTRY_INTERVAL: Duration = Duration::from_millis(350);
/// Delay before an owner that stepped down campaigns again; longer than its successor needs to take over.
const STEP_DOWN_DELAY: Duration = Duration::from_millis(1_500);

impl HostState {
    /// Becomes the owner, with the state restored from the records as of the claim.
    pub(super) fn take_over(&mut self, now: Timestamp, won: Won) {
        let epoch = won.ownership.epoch;
        let mut records = StoredRecords::default();
        let mut undecodable = 0;
        for entry in &won.snapshot.entries {
            match Record::try_from(entry) {
                Ok(record) => records.add(record),
                Err(error) => {
                    undecodable += 1;
                    log::error!("skipping a record in the takeover of epoch {epoch}: {error}");
                }
            }
        }
        log::info!(
            target: "decision",
            "take-over epoch={epoch} records={} broken={undecodable} end={}",
            won.snapshot.entries.len(),
            won.snapshot.log_end
        );
        self.epoch = epoch;
        self.announcement = Some(Announcement { ownership: won.ownership.clone(), released: false });
        self.owner_link = None;
        self.failed_campaigns = 0;
        self.store_up = true;
        let wall = self.ports.clock.wall().as_millis();
        let options = OwnerOptions::new(won.ownership, self.settings.max_lease)
            .far_factor(self.settings.far_factor)
            .max_record(self.settings.max_record)
            .workspaces(self.workspaces.clone());
        self.owner = Some(Owner::restore(options, records, now, wall));
        self.appender = Some(self.spawn_appender(epoch, won.sequence));
        self.request_queue = RequestQueue::default();
        self.request_queue.add_host(RequestHost::Local);
        self.peers.clear();
        self.configuration.clear_hosts();
        self.watch_registry(epoch);
        self.send_pending(now);
    }

    /// Spawns the task that reads the registry until the ownership of `epoch` ends.
    fn watch_registry(&self, epoch: Epoch) {
        let (registry, inbox) = (self.ports.registry.clone(), self.inbox.clone());
        let status = self.status.subscribe();
        registry.restart();
        tokio::spawn(async move {
            loop {
                match registry.changes().await {
                    Ok(changes) => send_input(&inbox, Input::Registry(epoch, changes)).await,
                    Err(error) => log::info!("failed to read the registry: {error}"),
                }
                tokio::time::sleep(REGISTRY_INTERVAL).await;
                let current = status.borrow().clone();
                if inbox.is_closed() || current.epoch > epoch || (current.epoch == epoch && !current.is_owner)
                {
                    return;
                }
            }
        });
    }

    pub(super) fn on_registry(&mut self, now: Timestamp, epoch: Epoch, changes: Vec<RegistryChange>) {
        for change in changes {
            let event = match change {
                RegistryChange::Listed(entry) => Event::Worker(entry),
                RegistryChange::Unlisted(id, reason) => Event::WorkerUnlisted(id, reason),
            };
            self.owner_event(now, epoch, event);
        }
    }

    /// Passes an event to the owner and executes its actions, if this host still is the owner of `epoch`.
    pub(super) fn owner_event(&mut self, now: Timestamp, epoch: Epoch, event: Event) {
        let Some(owner) = self.owner.as_mut().filter(|o| o.epoch() == epoch) else { return };
        owner.set_requesting_hosts(self.request_queue.host_count());
        let wall = self.ports.clock.wall().as_millis();
        let mut actions = Vec::new();
        owner.handle(now, wall, event, &mut actions);
        for action in actions {
            self.perform(now, epoch, action);
        }
    }

    pub(super) fn on_workspaces(&mut self, now: Timestamp, table: Arc<WorkspaceTable>) {
        if table.version >= self.workspaces.version {
            self.workspaces = table.clone();
            self.owner_event(now, self.epoch, Event::Workspaces(table));
        }
    }

    /// Ends the ownership of `epoch` on this host and tells the connected hosts.
    pub(super) fn step_down(&mut self, now: Timestamp, epoch: Epoch, reason: &str) {
        if self.owner.as_ref().is_none_or(|o| o.epoch() != epoch) {
            return;
        }
        log::warn!(target: "decision", "step-down epoch={epoch} reason={reason:?}");
        self.owner = None;
        self.appender = None;
        self.request_queue = RequestQueue::default();
        self.known_hosts = self.peers.values().filter_map(|peer| peer.address.clone()).collect();
        let known = self.known_owner();
        for peer in self.peers.values() {
            if !peer.sender.send(Frame::NotOwner { known: known.clone() }) {
                log::debug!("frame for a host dropped: connection closed or send queue full");
            }
        }
        self.peers.clear();
        self.configuration.clear_hosts();
        self.campaign_after = now + STEP_DOWN_DELAY;
        self.ownerless_since = Some(now);
    }

    pub(super) fn on_peer_frame(&mut self, now: Timestamp, link: u64, frame: Frame) {
        let epoch = self.epoch;
        let Some(peer) = self.peers.get_mut(&link) else { return };
        peer.last_heard = now;
        let sender = peer.sender.clone();
        if self.owner.is_none() {
            // While a campaign is running, this host may be the owner already. The frame gets no answer then, and the
            // peer connects again.
            if !self.campaigning && !sender.send(Frame::NotOwner { known: self.known_owner() }) {
                log::debug!("frame for a host dropped: connection closed or send queue full");
            }
            self.drop_peer(link);
            return;
        }
        match frame {
            Frame::Ping => {
                if !sender.send(Frame::Pong {
                    epoch,
                    store: self.owner.as_ref().is_some_and(Owner::is_store_responsive),
                }) {
                    self.drop_peer(link);
                }
            }
            Frame::Call { number, request } => {
                self.owner_event(now, epoch, Event::Call(CallId { link, number }, request));
            }
            Frame::Recommended { number, tickets } => {
                self.complete_request(now, RequestHost::Peer(link), number, tickets);
            }
            Frame::ConfigurationVersion(version) => self.configuration.reported(link, version),
            Frame::Configuration(configuration) => self.on_received_configuration(configuration),
            Frame::Hello { host, address, epoch: expected } if expected == epoch => {
                log::info!(target: "decision", "host host={host} epoch={epoch} outcome=joined");
                peer.address = Some(address);
                self.request_queue.add_host(RequestHost::Peer(link));
                if !sender.send(Frame::Hosts(self.joined_hosts())) {
                    log::debug!("frame for a host dropped: connection closed or send queue full");
                }
                self.host_directory.joined();
                self.dispatch_requests();
            }
            Frame::Hello { host, epoch: expected, .. } => {
                log::info!(target: "decision", "host host={host} epoch={epoch} outcome=turned-away meant={expected}");
                if !sender.send(Frame::NotOwner { known: self.known_owner() }) {
                    log::debug!("frame for a host dropped: connection closed or send queue full");
                }
                self.drop_peer(link);
            }
            other => log::trace!("unexpected frame from a host: {other:?}"),
        }
    }

    /// Returns the newest ownership that this host knows of, unless it was released.
    fn known_owner(&self) -> Option<Ownership> {
        self.announcement.as_ref().filter(|a| !a.released).map(|a| a.ownership.clone())
    }

    /// Returns the list of hosts that the connected hosts get.
    fn joined_hosts(&self) -> Vec<String> {
        let joined = self.peers.values().filter_map(|peer| peer.address.clone());
        HostDirectory::list(self.settings.address.to_string(), joined)
    }

    /// Sends the list of hosts to all hosts that have joined, if it is due.
    pub(super) fn send_hosts(&mut self, now: Timestamp) {
        if !self.host_directory.due(now) {
            return;
        }
        let hosts = self.joined_hosts();
        for peer in self.peers.values().filter(|peer| peer.address.is_some()) {
            if !peer.sender.send(Frame::Hosts(hosts.clone())) {
                log::debug!("frame for a host dropped: connection closed or send queue full");
            }
        }
    }

    /// Notifies all hosts when the store stops answering the owner's writes, and when it has recovered.
    pub(super) fn send_store_state(&mut self) {
        let Some(outage) = self.owner.as_ref().map(|o| !o.is_store_responsive()) else { return };
        if std::mem::replace(&mut self.outage_sent, outage) == outage {
            return;
        }
        let epoch = self.epoch;
        for peer in self.peers.values() {
            if !peer.sender.send(Frame::Pong { epoch, store: !outage }) {
                log::debug!("frame for a host dropped: connection closed or send queue full");
            }
        }
    }

    /// Drops the connections of silent hosts; a host that lost power does not reset its connection.
    pub(super) fn drop_silent_peers(&mut self, now: Timestamp) {
        let silent = self.peers.iter().filter(|(_, peer)| now.since(peer.last_heard) > SILENCE_TIMEOUT * 2);
        let silent: Vec<u64> = silent.map(|(link, _)| *link).collect();
        for link in silent {
            log::info!(target: "decision", "host link={link} epoch={} outcome=silent", self.epoch);
            self.drop_peer(link);
        }
    }

    /// Drops the connection of a host; its recommendation call in flight goes to another host.
    pub(super) fn drop_peer(&mut self, link: u64) {
        self.peers.remove(&link);
        self.configuration.left(link);
        self.request_queue.remove_host(RequestHost::Peer(link));
        self.dispatch_requests();
    }

    /// Dispatches pending recommendation requests to idle hosts.
    pub(super) fn dispatch_requests(&mut self) {
        while let Some((host, number, request)) = self.request_queue.dispatch() {
            let workers: Vec<Arc<str>> =
                request.workers.iter().map(|incarnation| incarnation.id.clone()).collect();
            match host {
                RequestHost::Local => self.request_recommendation(
                    RequestOrigin::Local(self.epoch, number),
                    request.step,
                    workers,
                ),
                RequestHost::Peer(link) => {
                    let frame = Frame::RequestRecommendation { number, step: request.step, workers };
                    if !self.peers.get(&link).is_some_and(|peer| peer.sender.send(frame)) {
                        self.peers.remove(&link);
                        self.configuration.left(link);
                        self.request_queue.remove_host(host);
                    }
                }
            }
        }
    }

    /// Queues a call of this host to the recommendation service.
    pub(super) fn request_recommendation(
        &mut self,
        origin: RequestOrigin,
        step: StepKey,
        workers: Vec<Arc<str>>,
    ) {
        if self.request_sender.send((origin, step, workers)).is_err() {
            log::error!(
                "recommendation request of step {step} dropped: the task that makes the calls has ended"
            );
        }
    }

    pub(super) fn on_recommended(
        &mut self,
        now: Timestamp,
        origin: RequestOrigin,
        tickets: Option<Vec<Ticket>>,
    ) {
        match origin {
            RequestOrigin::Local(epoch, number) if epoch == self.epoch => {
                self.complete_request(now, RequestHost::Local, number, tickets);
            }
            RequestOrigin::Peer { connection, number } if connection == self.connection_id => {
                if let Some(link) = &self.owner_link
                    && !link.sender.send(Frame::Recommended { number, tickets })
                {
                    log::debug!(
                        "recommendation {number} for the owner dropped: connection closed or send queue full"
                    );
                }
            }
            // The owner has queued the call again when it lost the connection, or has ended.
            RequestOrigin::Local(..) | RequestOrigin::Peer { .. } => {
                log::info!(target: "decision", "advice origin={origin} epoch={} outcome=outdated", self.epoch);
            }
        }
    }

    /// Passes the answer of a recommendation call to the owner, and gives the idle host its next call.
    fn complete_request(
        &mut self,
        now: Timestamp,
        host: RequestHost,
        number: u64,
        tickets: Option<Vec<Ticket>>,
    ) {
        let epoch = self.epoch;
        if let Some(request) = self.request_queue.complete(host, number) {
            self.owner_event(now, epoch, Event::Recommended(request.step, request.workers, tickets));
        }
        self.dispatch_requests();
    }

    /// Releases the shard when the host is stopping, once no append is in flight.
    pub(super) fn try_release(&mut self, now: Timestamp) {
        if !self.shutting_down || self.release_done.is_none() {
            return;
        }
        let idle = self.owner.as_ref().is_none_or(Owner::is_write_idle);
        if !idle {
            return;
        }
        let Some(done) = self.release_done.take() else { return };
        let released = self.announcement.clone().filter(|_| self.owner.is_some());
        let epoch = self.epoch;
        self.step_down(now, epoch, "the host is stopping");
        let store = self.ports.store.clone();
        tokio::spawn(async move {
            if let Some(announcement) = released {
                let announcement = Announcement { released: true, ..announcement };
                if let Err(error) = store.announce(&announcement).await {
                    log::warn!("failed to announce the release of epoch {epoch}: {error}");
                }
            }
            if done.send(()).is_err() {
                log::debug!("release of epoch {epoch} is complete, and its receiver is closed");
            }
        });
    }
}
