//! Which hosts the owner tells of which others, and when.
//!
//! Answers cells of hundreds of hosts that join within a second: a list of all, sent to all at each join, grows with the third
//! power of their number and filled the owner's link.

use std::time::Duration;

use crate::unit::Timestamp;

/// Most hosts that a host is told of.
const TOLD: usize = 48; // Some are left after the loss of a zone, and a list stays below one kilobyte.
/// Least time between two lists to all hosts.
const PAUSE: Duration = Duration::from_millis(1_000); // A host needs the list only once it is cut off from the store.

/// Changes that hosts were not told of yet.
#[derive(Debug, Clone, Copy, Default)]
pub struct Roster {
    told: Timestamp,
    changed: bool,
}

impl Roster {
    /// A host has joined.
    pub fn joined(&mut self) {
        self.changed = true;
    }

    /// Whether all hosts are to be told now.
    pub fn due(&mut self, now: Timestamp) -> bool {
        let due = self.changed && now >= self.told + PAUSE;
        if due {
            *self = Self { told: now, changed: false };
        }
        due
    }

    /// Addresses that a host is told: the owner's own and those of the hosts that joined first.
    pub fn list(own: String, joined: impl Iterator<Item = String>) -> Vec<String> {
        std::iter::once(own).chain(joined).take(TOLD).collect()
    }
}
