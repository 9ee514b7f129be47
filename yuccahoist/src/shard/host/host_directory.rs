//! List of hosts that the owner sends to all hosts, and when it is sent.
//!
//! A list of all hosts, sent to all of them at each join, costs the cube of their number: in cells of hundreds of hosts
//! that join within a second it saturated the owner's network link. Both the length and the rate of the lists are
//! therefore limited.

use std::time::Duration;

use crate::unit::Timestamp;

/// Most hosts in a list. Enough that some remain after the loss of a zone, and a list stays below one kilobyte.
const MAX_LISTED_HOSTS: usize = 48;
/// Least time between two lists; a host needs its list only once it is cut off from the store.
const MIN_SEND_INTERVAL: Duration = Duration::from_millis(1_000);

/// Send state of the list of hosts.
#[derive(Debug, Clone, Copy, Default)]
pub struct HostDirectory {
    last_sent: Timestamp,
    changed: bool,
}

impl HostDirectory {
    /// Records that a host has joined, so that the list becomes due.
    pub fn joined(&mut self) {
        self.changed = true;
    }

    /// Whether the list is to be sent now; when it is, it counts as sent.
    pub fn due(&mut self, now: Timestamp) -> bool {
        let due = self.changed && now >= self.last_sent + MIN_SEND_INTERVAL;
        if due {
            *self = Self { last_sent: now, changed: false };
        }
        due
    }

    /// Returns the addresses to send: the owner's own, then those of the hosts in the order in which they joined.
    pub fn list(own: String, joined: impl Iterator<Item = String>) -> Vec<String> {
        std::iter::once(own).chain(joined).take(MAX_LISTED_HOSTS).collect()
    }
}
