//! Metrics over statsd. `docs/metrics.md` lists every name and unit.
//!
//! The host actor counts in plain numbers and writes the sums once per interval, so that a request costs no
//! formatting and no system call.

use std::net::UdpSocket;
use std::time::Duration;

use cadence::{BufferedUdpMetricSink, Counted, Gauged, NopMetricSink, QueuingMetricSink, StatsdClient};

use crate::event::{HostAction, HostEvent};
use crate::request::Outcome;
use crate::settings::MetricsSettings;
use crate::unit::Timestamp;

/// Counters of one host.
#[derive(Debug)]
pub struct Metrics {
    client: StatsdClient,
    interval: Duration,
    written: Timestamp,
    sums: Sums,
}

/// Sums since the last write.
#[derive(Debug, Default)]
struct Sums {
    events: u64,
    calls: u64,
    hangups: u64,
    answered: u64,
    not_run: u64,
    unknown: u64,
    dispatches: u64,
    commands: u64,
    appends: u64,
    peer_sent: u64,
    peer_received: u64,
    peer_not_sent: u64,
    peer_lost: u64,
    busy: Duration,
    longest: Duration,
}

impl Metrics {
    /// Metrics to the receiver in the settings, or to nowhere.
    ///
    /// # Errors
    ///
    /// Fails when no UDP socket can be made.
    pub fn new(settings: &MetricsSettings) -> std::io::Result<Self> {
        let client = match settings.statsd {
            None => StatsdClient::from_sink(&settings.prefix, NopMetricSink),
            Some(address) => {
                let any = if address.is_ipv4() { "0.0.0.0:0" } else { "[::]:0" };
                let socket = UdpSocket::bind(any)?;
                socket.set_nonblocking(true)?;
                let sink = BufferedUdpMetricSink::from(address, socket).map_err(std::io::Error::other)?;
                StatsdClient::from_sink(&settings.prefix, QueuingMetricSink::from(sink))
            }
        };
        Ok(Self { client, interval: settings.interval, written: Timestamp::ZERO, sums: Sums::default() })
    }

    /// Counts an event.
    pub fn event(&mut self, event: &HostEvent) {
        let sums = &mut self.sums;
        sums.events += 1;
        match event {
            HostEvent::Call { .. } => sums.calls += 1,
            HostEvent::Hangup { .. } => sums.hangups += 1,
            HostEvent::Peer { .. } => sums.peer_received += 1,
            HostEvent::PeerNotSent { .. } => sums.peer_not_sent += 1,
            HostEvent::PeerLost { .. } => sums.peer_lost += 1,
            _ => {}
        }
    }

    /// Counts an action.
    pub fn action(&mut self, action: &HostAction) {
        let sums = &mut self.sums;
        match action {
            HostAction::Respond { outcome: Outcome::Answered(_), .. } => sums.answered += 1,
            HostAction::Respond { outcome: Outcome::NotRun(_), .. } => sums.not_run += 1,
            HostAction::Respond { outcome: Outcome::Unknown(_), .. } => sums.unknown += 1,
            HostAction::Dispatch { .. } => sums.dispatches += 1,
            HostAction::Command { .. } => sums.commands += 1,
            HostAction::Append { .. } => sums.appends += 1,
            HostAction::Send { .. } => sums.peer_sent += 1,
            _ => {}
        }
    }

    /// Adds the time that one event took.
    pub fn handled(&mut self, time: Duration) {
        self.sums.busy += time;
        self.sums.longest = self.sums.longest.max(time);
    }

    /// Writes the sums when the interval has passed.
    pub fn tick(&mut self, now: Timestamp, open: usize) {
        if now.since(self.written) < self.interval {
            return;
        }
        self.written = now;
        let sums = std::mem::take(&mut self.sums);
        let counters = [
            ("host.events", sums.events),
            ("host.busy_us", micros(sums.busy)),
            ("call.received", sums.calls),
            ("call.hangup", sums.hangups),
            ("call.answered", sums.answered),
            ("call.not_run", sums.not_run),
            ("call.unknown", sums.unknown),
            ("dispatch.sent", sums.dispatches),
            ("worker.commands", sums.commands),
            ("log.appends", sums.appends),
            ("peer.sent", sums.peer_sent),
            ("peer.received", sums.peer_received),
            ("peer.not_sent", sums.peer_not_sent),
            ("peer.lost", sums.peer_lost),
        ];
        for (name, value) in counters {
            self.client.count_with_tags(name, value).send();
        }
        self.client.gauge_with_tags("call.open", open as u64).send();
        self.client.gauge_with_tags("host.longest_us", micros(sums.longest)).send();
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
