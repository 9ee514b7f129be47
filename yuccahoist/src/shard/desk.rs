//! Queue of recommendation requests, and the host that makes each of them.
//!
//! The recommendation service handles one call of a host at a time, and the calls of some queues take a hundred times
//! as long as those of others. A host is given a call only when it has none in flight, the most urgent step goes first,
//! and some hosts are reserved for short calls.

use std::collections::BTreeMap;
use std::time::Duration;

use super::id::{StepKey, WorkerIncarnation};
use crate::unit::Timestamp;

/// Longest call that counts as short; less than a tenth of the slack of the most urgent kind of job.
pub const QUICK: Duration = Duration::from_millis(50);
/// One host in this many is reserved for short calls. They take up a fifth of the time of all calls and come in bursts
/// of twice that.
const HOSTS_PER_RESERVED: usize = 3;

/// Recommendation request of a step.
#[derive(Debug, Clone, PartialEq)]
pub struct Ask {
    /// Step that is to be placed.
    pub step: StepKey,
    /// Workers that the service is asked about.
    pub workers: Vec<WorkerIncarnation>,
    /// Expected duration of the call.
    pub cost: Duration,
    /// Latest start of the step that meets its objective; the earliest goes first.
    pub latest: Timestamp,
}

/// Host that can call the recommendation service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Lane {
    /// Host of the owner.
    Own,
    /// Other host, by the number of its connection to the owner.
    Link(u64),
}

/// Recommendation requests, pending and in flight.
#[derive(Debug, Default)]
pub struct Desk {
    /// By latest start; the second part keeps requests of one latest start in order of arrival.
    pending: BTreeMap<(Timestamp, u64), Ask>,
    /// By host; `None` for an idle host.
    in_flight: BTreeMap<Lane, Option<(u64, Ask)>>,
    last_number: u64,
}

impl Desk {
    /// Returns the number of hosts that can make calls.
    #[must_use]
    pub fn lanes(&self) -> usize {
        self.in_flight.len()
    }

    /// Adds a host, without a call in flight.
    pub fn open(&mut self, lane: Lane) {
        self.in_flight.entry(lane).or_default();
    }

    /// Removes a host; its call in flight is queued again for another host.
    pub fn close(&mut self, lane: Lane) {
        if let Some(Some((_, ask))) = self.in_flight.remove(&lane) {
            self.add(ask);
        }
    }

    /// Queues a request.
    pub fn add(&mut self, ask: Ask) {
        self.last_number += 1;
        self.pending.insert((ask.latest, self.last_number), ask);
    }

    /// Marks call `number` of a host as answered and returns it; `None` when that call is not in flight there.
    pub fn finish(&mut self, lane: Lane, number: u64) -> Option<Ask> {
        let current = self.in_flight.get_mut(&lane)?.take_if(|(n, _)| *n == number);
        current.map(|(_, ask)| ask)
    }

    /// Dispatches the next request to an idle host; returns the host and the number of the call, if there are both.
    pub fn take(&mut self) -> Option<(Lane, u64, Ask)> {
        let idle = self.in_flight.iter().find(|(_, ask)| ask.is_none()).map(|(lane, _)| *lane)?;
        let long_calls = self.in_flight.values().flatten().filter(|(_, ask)| ask.cost > QUICK).count();
        let max_long = (self.in_flight.len() - self.in_flight.len() / HOSTS_PER_RESERVED).max(1);
        let key = *self.pending.iter().find(|(_, ask)| ask.cost <= QUICK || long_calls < max_long)?.0;
        let ask = self.pending.remove(&key)?;
        self.last_number += 1;
        self.in_flight.insert(idle, Some((self.last_number, ask.clone())));
        Some((idle, self.last_number, ask))
    }
}
