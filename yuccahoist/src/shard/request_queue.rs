//! Queue of recommendation requests, and the host that makes each of them.
//!
//! The recommendation service handles one call of a host at a time, and the calls of some queues take a hundred times
//! as long as those of others. A host is given a call only when it has none in flight, the most urgent step goes first,
//! and some hosts are reserved for fast calls.

use std::collections::BTreeMap;
use std::time::Duration;

use super::id::{StepKey, WorkerIncarnation};
use crate::unit::Timestamp;

/// Longest call that counts as fast; less than a tenth of the slack of the most urgent kind of job.
pub const FAST_REQUEST_COST: Duration = Duration::from_millis(50);
/// One host in this many is reserved for fast calls. They take up a fifth of the time of all calls and come in bursts
/// of twice that.
const HOSTS_PER_RESERVED: usize = 3;

/// Recommendation request of a step.
#[derive(Debug, Clone, PartialEq)]
pub struct RecommendationRequest {
    /// Step that is to be placed.
    pub step: StepKey,
    /// Workers that the service is asked about.
    pub workers: Vec<WorkerIncarnation>,
    /// Expected duration of the call.
    pub cost: Duration,
    /// Latest start of the step that meets its objective; the earliest goes first.
    pub latest_start: Timestamp,
}

/// Host that can call the recommendation service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestHost {
    /// Host of the owner.
    Local,
    /// Other host, by the number of its connection to the owner.
    Peer(u64),
}

/// Recommendation requests, pending and in flight.
#[derive(Debug, Default)]
pub struct RequestQueue {
    /// By latest start; the second part keeps requests of one latest start in order of arrival.
    pending: BTreeMap<(Timestamp, u64), RecommendationRequest>,
    /// By host; `None` for an idle host.
    in_flight: BTreeMap<RequestHost, Option<(u64, RecommendationRequest)>>,
    last_number: u64,
}

impl RequestQueue {
    /// Returns the number of hosts that can make calls.
    #[must_use]
    pub fn host_count(&self) -> usize {
        self.in_flight.len()
    }

    /// Adds a host, without a call in flight.
    pub fn add_host(&mut self, host: RequestHost) {
        self.in_flight.entry(host).or_default();
    }

    /// Removes a host; its call in flight is queued again for another host.
    pub fn remove_host(&mut self, host: RequestHost) {
        if let Some(Some((_, request))) = self.in_flight.remove(&host) {
            self.enqueue(request);
        }
    }

    /// Queues a request.
    pub fn enqueue(&mut self, request: RecommendationRequest) {
        self.last_number += 1;
        self.pending.insert((request.latest_start, self.last_number), request);
    }

    /// Marks call `number` of a host as answered and returns it; `None` when that call is not in flight there.
    pub fn complete(&mut self, host: RequestHost, number: u64) -> Option<RecommendationRequest> {
        let current = self.in_flight.get_mut(&host)?.take_if(|(n, _)| *n == number);
        current.map(|(_, request)| request)
    }

    /// Dispatches the next request to an idle host; returns the host and the number of the call, if there are both.
    pub fn dispatch(&mut self) -> Option<(RequestHost, u64, RecommendationRequest)> {
        let idle = self.in_flight.iter().find(|(_, request)| request.is_none()).map(|(host, _)| *host)?;
        let long_calls =
            self.in_flight.values().flatten().filter(|(_, request)| request.cost > FAST_REQUEST_COST).count();
        let max_long = (self.in_flight.len() - self.in_flight.len() / HOSTS_PER_RESERVED).max(1);
        let key = *self
            .pending
            .iter()
            .find(|(_, request)| request.cost <= FAST_REQUEST_COST || long_calls < max_long)?
            .0;
        let request = self.pending.remove(&key)?;
        self.last_number += 1;
        self.in_flight.insert(idle, Some((self.last_number, request.clone())));
        Some((idle, self.last_number, request))
    }
}
