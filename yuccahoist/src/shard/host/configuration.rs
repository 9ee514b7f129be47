//! Duties of a host in the distribution of the operator's record.

use super::HostState;
use super::configuration_exchange::{Due, MAX_RECORD_BYTES, RawConfiguration};
use super::frame::Frame;
use crate::unit::Timestamp;

impl HostState {
    /// Keeps the record that has come into force at this host, and reports its version to the owner.
    pub(super) fn on_own_configuration(&mut self, now: Timestamp, configuration: RawConfiguration) {
        let (version, bytes) = (configuration.version, configuration.value.len());
        if !self.configuration.set_own(now, configuration) {
            return;
        }
        if bytes > MAX_RECORD_BYTES {
            log::warn!(
                "configuration {version} of {bytes} bytes is not passed to other hosts; the limit is {MAX_RECORD_BYTES} bytes"
            );
        }
        self.report_configuration();
    }

    /// Reports the version of this host to the owner that it has joined.
    pub(super) fn report_configuration(&self) {
        self.send_to_owner(Frame::ConfigurationVersion(self.configuration.version()));
    }

    /// Sends the record of this host to the owner, which has requested it.
    pub(super) fn send_configuration(&self) {
        if let Some(configuration) = self.configuration.sendable() {
            self.send_to_owner(Frame::Configuration(configuration.clone()));
        }
    }

    fn send_to_owner(&self, frame: Frame) {
        if let Some(link) = self.owner_link.as_ref().filter(|link| link.joined)
            && !link.sender.send(frame)
        {
            log::debug!("frame for the owner dropped: connection closed or send queue full");
        }
    }

    /// Hands a record of another host to the reader of configurations, which checks its version and puts it in force.
    pub(super) fn on_received_configuration(&self, configuration: RawConfiguration) {
        let (version, bytes) = (configuration.version, configuration.value.len());
        log::info!(target: "decision", "configuration version={version} bytes={bytes} outcome=received");
        self.received.send_replace(Some(configuration));
    }

    /// Sends the requests and records that are due to the hosts that have joined.
    pub(super) fn exchange_configurations(&mut self, now: Timestamp) {
        while let Some(due) = self.configuration.next_due(now) {
            let (link, frame) = match due {
                Due::Request(link) => (link, Frame::RequestConfiguration),
                Due::Send(link, configuration) => (link, Frame::Configuration(configuration)),
            };
            if !self.peers.get(&link).is_some_and(|peer| peer.sender.send(frame)) {
                // The host reports its version again when it has reconnected.
                self.drop_peer(link);
            }
        }
    }
}
