//! Which host makes which call to the recommendation service, and in which order.
//!
//! Answers a mix of queues whose recommendations take a hundred times as long as those of others, from a service that
//! handles one call of a host at a time: a call never waits behind another one on its host, the most urgent step goes
//! first, and some hosts are left to the quick calls.

use std::collections::BTreeMap;
use std::time::Duration;

use super::id::{Life, StepKey};
use crate::unit::Timestamp;

/// Longest call that counts as quick.
pub const QUICK: Duration = Duration::from_millis(50); // Less than a tenth of the slack of the most urgent kind of job.
/// One host in this many is left to quick calls.
const QUICK_SHARE: usize = 3; // Quick calls make up a fifth of the time of all calls, and come in bursts of twice that.

/// Call that is to be made.
#[derive(Debug, Clone, PartialEq)]
pub struct Ask {
    /// Step.
    pub step: StepKey,
    /// Workers.
    pub workers: Vec<Life>,
    /// Expected duration.
    pub cost: Duration,
    /// Latest start of the step that is in time.
    pub latest: Timestamp,
}

/// Host that can make calls: the owner itself, or the connection of another host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Lane {
    /// The owner.
    Own,
    /// Connection of another host.
    Link(u64),
}

/// Calls that wait and calls that are being made.
#[derive(Debug, Default)]
pub struct Desk {
    waiting: BTreeMap<(Timestamp, u64), Ask>,
    lanes: BTreeMap<Lane, Option<(u64, Ask)>>,
    number: u64,
}

impl Desk {
    /// Number of hosts that can make calls.
    #[must_use]
    pub fn lanes(&self) -> usize {
        self.lanes.len()
    }

    /// Adds a host.
    pub fn open(&mut self, lane: Lane) {
        self.lanes.entry(lane).or_default();
    }

    /// Removes a host; its call is to be made by another one.
    pub fn close(&mut self, lane: Lane) {
        if let Some(Some((_, ask))) = self.lanes.remove(&lane) {
            self.add(ask);
        }
    }

    /// Adds a call.
    pub fn add(&mut self, ask: Ask) {
        self.number += 1;
        self.waiting.insert((ask.latest, self.number), ask);
    }

    /// The host has made call `number`; none when it was not making it.
    pub fn finish(&mut self, lane: Lane, number: u64) -> Option<Ask> {
        let current = self.lanes.get_mut(&lane)?.take_if(|(n, _)| *n == number);
        current.map(|(_, ask)| ask)
    }

    /// Next call with its number and the host that makes it, if there is a free one for it.
    pub fn take(&mut self) -> Option<(Lane, u64, Ask)> {
        let free = self.lanes.iter().find(|(_, ask)| ask.is_none()).map(|(lane, _)| *lane)?;
        let slow = self.lanes.values().flatten().filter(|(_, ask)| ask.cost > QUICK).count();
        let most = (self.lanes.len() - self.lanes.len() / QUICK_SHARE).max(1);
        let key = *self.waiting.iter().find(|(_, ask)| ask.cost <= QUICK || slow < most)?.0;
        let ask = self.waiting.remove(&key)?;
        self.number += 1;
        self.lanes.insert(free, Some((self.number, ask.clone())));
        Some((free, self.number, ask))
    }
}
