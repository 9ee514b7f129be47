//! Which host gets the operator's record from the owner, and which is asked for it.
//!
//! Each host reports its version to the owner when it joins and when its version rises. Most hosts read a new version
//! themselves within a fraction of a second, so the owner waits for their reports and sends the record only to those that
//! are still behind. A record of 50 KB for each of 38 hosts would occupy a link of 10 Mbit/s for 1.5 s.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::unit::Timestamp;

/// Largest record that is passed between hosts. It takes 0.42 s on a link of 10 Mbit/s, less than the 0.5 s of silence
/// after which a host takes the owner for dead.
pub const MAX_RECORD_BYTES: usize = 512 << 10;
/// Time that hosts have to read a new version from the store; several reads, and a sixth of the 3 s in which a change has
/// to be in force.
const REPORT_PERIOD: Duration = Duration::from_millis(500);
/// Time in which a host has to answer a request for its record; twice the transmission of the largest one.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time that a byte of a record takes up of the owner's link, nanoseconds; 80 % of 10 Mbit/s, the weakest hosts' link.
const NANOS_PER_BYTE: u64 = 1_000;
/// Time for which unused transmission capacity is kept; the longest pause of a host's main loop.
const MAX_CREDIT: Duration = Duration::from_millis(100);

/// Record of the operator as it was read from the store. It contains keys of callers, so its `Debug` hides the value.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RawConfiguration {
    /// Version in the record.
    pub version: u64,
    /// Value of the record.
    pub value: Arc<[u8]>,
}

impl fmt::Debug for RawConfiguration {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let bytes = self.value.len();
        f.debug_struct("RawConfiguration").field("version", &self.version).field("bytes", &bytes).finish()
    }
}

/// Message to a host that is due.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Due {
    /// Requests the record of the host on this connection.
    Request(u64),
    /// Sends this host's record on this connection.
    Send(u64, RawConfiguration),
}

/// Record of this host, and the versions of the hosts that have joined it while it is the owner.
#[derive(Debug, Default)]
pub struct ConfigurationExchange {
    own: Option<RawConfiguration>,
    /// When the version of this host last rose.
    raised_at: Timestamp,
    /// Until when the link is taken up by records that were sent.
    busy_until: Timestamp,
    /// Version of each joined host by connection, as reported or sent.
    hosts: BTreeMap<u64, u64>,
    /// Connection of the host that was asked for its record, its version, and the time.
    requested: Option<(u64, u64, Timestamp)>,
}

impl ConfigurationExchange {
    /// Sets the record in force at this host; returns whether its version is higher than the one before.
    pub fn set_own(&mut self, now: Timestamp, configuration: RawConfiguration) -> bool {
        let is_newer = self.own.is_none() || configuration.version > self.version();
        if is_newer {
            self.raised_at = now;
            self.own = Some(configuration);
        }
        is_newer
    }

    /// Returns the version of this host's record; zero if it has none.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.own.as_ref().map_or(0, |own| own.version)
    }

    /// Returns the record of this host, unless there is none or it is too large for other hosts.
    #[must_use]
    pub fn sendable(&self) -> Option<&RawConfiguration> {
        self.own.as_ref().filter(|own| own.value.len() <= MAX_RECORD_BYTES)
    }

    /// Records the version of the host on connection `link`.
    pub fn reported(&mut self, link: u64, version: u64) {
        self.hosts.insert(link, version);
    }

    /// Removes the host of a closed connection.
    pub fn left(&mut self, link: u64) {
        self.hosts.remove(&link);
        self.requested = self.requested.filter(|(asked, ..)| *asked != link);
    }

    /// Removes all hosts, at the begin and the end of an ownership.
    pub fn clear_hosts(&mut self) {
        self.hosts.clear();
        self.requested = None;
    }

    /// Returns the next message that is due, and counts it as sent.
    pub fn next_due(&mut self, now: Timestamp) -> Option<Due> {
        self.next_request(now).or_else(|| self.next_send(now))
    }

    /// Asks one host at a time for a higher version; one that does not answer in time is not asked again for it.
    fn next_request(&mut self, now: Timestamp) -> Option<Due> {
        let own = self.version();
        if let Some((link, version, at)) = self.requested {
            let is_silent = now.since(at) > REQUEST_TIMEOUT;
            if version > own && !is_silent {
                return None;
            }
            self.requested = None;
            if version > own
                && let Some(known) = self.hosts.get_mut(&link)
            {
                *known = own;
            }
        }
        let (link, version) = self.hosts.iter().max_by_key(|(_, version)| **version)?;
        let (link, version) = (*link, *version);
        if version <= own {
            return None;
        }
        self.requested = Some((link, version, now));
        Some(Due::Request(link))
    }

    fn next_send(&mut self, now: Timestamp) -> Option<Due> {
        if now < self.busy_until || now < self.raised_at + REPORT_PERIOD {
            return None;
        }
        let own = self.sendable()?.clone();
        let (link, known) = self.hosts.iter_mut().find(|(_, known)| **known < own.version)?;
        *known = own.version;
        let bytes = u64::try_from(own.value.len()).unwrap_or(u64::MAX);
        let duration = Duration::from_nanos(bytes.saturating_mul(NANOS_PER_BYTE));
        self.busy_until = self.busy_until.max(now - MAX_CREDIT) + duration;
        Some(Due::Send(*link, own))
    }
}
