//! Metrics sent to statsd. `docs/metrics.md` lists every name and unit.
//!
//! The host actor adds up plain integers and sends the totals once per interval, so that counting a request needs
//! neither formatting nor a system call.

use std::net::UdpSocket;
use std::time::Duration;

use cadence::{BufferedUdpMetricSink, Counted, Gauged, NopMetricSink, QueuingMetricSink, StatsdClient};

use crate::event::{HostAction, HostEvent};
use crate::request::Outcome;
use crate::settings::MetricsSettings;
use crate::unit::Timestamp;

/// Metrics of one host, which the host actor records and sends.
#[derive(Debug)]
pub struct Metrics {
    client: StatsdClient,
    interval: Duration,
    last_write: Timestamp,
    totals: Totals,
}

/// Totals since the last write.
#[derive(Debug, Default)]
struct Totals {
    events: u64,
    calls: u64,
    caller_disconnects: u64,
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
    busy_time: Duration,
    longest_event: Duration,
}

impl Metrics {
    /// Creates metrics that go to the statsd address in `settings`, or are discarded when there is none.
    ///
    /// # Errors
    ///
    /// Fails when the UDP socket cannot be created.
    pub fn new(settings: &MetricsSettings) -> std::io::Result<Self> {
        let client = match settings.statsd {
            None => StatsdClient::from_sink(&settings.prefix, NopMetricSink),
            Some(address) => {
                let bind_address = if address.is_ipv4() { "0.0.0.0:0" } else { "[::]:0" };
                let socket = UdpSocket::bind(bind_address)?;
                socket.set_nonblocking(true)?;
                let sink = BufferedUdpMetricSink::from(address, socket).map_err(std::io::Error::other)?;
                StatsdClient::from_sink(&settings.prefix, QueuingMetricSink::from(sink))
            }
        };
        Ok(Self {
            client,
            interval: settings.interval,
            last_write: Timestamp::ZERO,
            totals: Totals::default(),
        })
    }

    /// Counts an event that the host actor received.
    pub fn record_event(&mut self, event: &HostEvent) {
        let totals = &mut self.totals;
        totals.events += 1;
        match event {
            HostEvent::Call { .. } => totals.calls += 1,
            HostEvent::CallerDisconnected { .. } => totals.caller_disconnects += 1,
            HostEvent::Peer { .. } => totals.peer_received += 1,
            HostEvent::PeerNotSent { .. } => totals.peer_not_sent += 1,
            HostEvent::PeerLost { .. } => totals.peer_lost += 1,
            _ => {}
        }
    }

    /// Counts an action that the state machine emitted.
    pub fn record_action(&mut self, action: &HostAction) {
        let totals = &mut self.totals;
        match action {
            HostAction::Respond { outcome: Outcome::Answered(_), .. } => totals.answered += 1,
            HostAction::Respond { outcome: Outcome::NotRun(_), .. } => totals.not_run += 1,
            HostAction::Respond { outcome: Outcome::Unknown(_), .. } => totals.unknown += 1,
            HostAction::Dispatch { .. } => totals.dispatches += 1,
            HostAction::Command { .. } => totals.commands += 1,
            HostAction::Append { .. } => totals.appends += 1,
            HostAction::Send { .. } => totals.peer_sent += 1,
            _ => {}
        }
    }

    /// Records the time spent on handling one event.
    pub fn record_handling_time(&mut self, elapsed: Duration) {
        self.totals.busy_time += elapsed;
        self.totals.longest_event = self.totals.longest_event.max(elapsed);
    }

    /// Sends the totals and resets them if the interval has elapsed since the last write.
    pub fn flush_if_due(&mut self, now: Timestamp, open_calls: usize) {
        if now.since(self.last_write) < self.interval {
            return;
        }
        self.last_write = now;
        let totals = std::mem::take(&mut self.totals);
        let counters = [
            ("host.events", totals.events),
            ("host.busy_us", micros(totals.busy_time)),
            ("call.received", totals.calls),
            ("call.hangup", totals.caller_disconnects),
            ("call.answered", totals.answered),
            ("call.not_run", totals.not_run),
            ("call.unknown", totals.unknown),
            ("dispatch.sent", totals.dispatches),
            ("worker.commands", totals.commands),
            ("log.appends", totals.appends),
            ("peer.sent", totals.peer_sent),
            ("peer.received", totals.peer_received),
            ("peer.not_sent", totals.peer_not_sent),
            ("peer.lost", totals.peer_lost),
        ];
        for (name, value) in counters {
            self.client.count_with_tags(name, value).send();
        }
        self.client.gauge_with_tags("call.open", open_calls as u64).send();
        self.client.gauge_with_tags("host.longest_us", micros(totals.longest_event)).send();
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
