//! Queue of recommendation requests, and the host that makes each of them.
//!
//! The recommendation service handles one call of a host at a time, and the calls of some queues take a hundred times
//! as long as those of others. A host is given a call only when it has none in flight, and some hosts are reserved for
//! fast calls. The call that is due first goes first; a call is due at the latest start of its step.
//!
//! While the fleet has room, an accepted job must begin soon, also after the loss of most hosts. The first call of a step is
//! then due at most [`FIRST_CALL_DUE`] after the step became ready, so that more urgent calls do not pass it without limit.
//! First calls go before all others, which are left a small share of the time under overload. When the first calls that
//! wait are more than the hosts can make in time, they name fewer workers.

use std::collections::BTreeMap;
use std::time::Duration;

use super::id::{StepKey, WorkerIncarnation};
use super::spec::RecommendationCost;
use crate::unit::Timestamp;

/// Longest call that counts as fast; less than a tenth of the slack of the most urgent kind of job.
pub const FAST_REQUEST_COST: Duration = Duration::from_millis(50);
/// One host in this many is reserved for fast calls. They take up a fifth of the time of all calls and come in bursts
/// of twice that.
const HOSTS_PER_RESERVED: usize = 3;
/// Longest wait for the first call of a step while the hosts can make all calls; an accepted job must begin within 3 s,
/// and its placement and start take less than the rest.
pub const MAX_FIRST_WAIT: Duration = Duration::from_millis(2_500);
/// Time after which the first call of a step is due at the latest: [`MAX_FIRST_WAIT`] without the 1 s that the slowest
/// call in progress takes.
pub const FIRST_CALL_DUE: Duration = Duration::from_millis(1_500);
/// Time of first calls after which another call goes before them, in multiples of its duration: a tenth of the time is
/// left to other calls, so that a step whose tickets have expired is placed in the end on hosts that are overloaded.
const FIRST_PER_OTHER: u32 = 9;

/// Why a recommendation is requested.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// No worker has been recommended for the step yet.
    First,
    /// The step has recommended workers, and more of them are wanted.
    Further,
    /// Tickets of recommended workers have expired.
    Renewal,
}

impl RequestKind {
    /// Returns the name in log lines.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::Further => "further",
            Self::Renewal => "renewal",
        }
    }
}

/// Recommendation request of a step.
#[derive(Debug, Clone, PartialEq)]
pub struct RecommendationRequest {
    /// Step that is to be placed.
    pub step: StepKey,
    /// Reason of the request.
    pub kind: RequestKind,
    /// Workers that the service is asked about, the preferred ones first.
    pub workers: Vec<WorkerIncarnation>,
    /// Number of workers to which the request may be cut under overload.
    pub min_workers: usize,
    /// Cost of calls of the step's queue.
    pub cost: RecommendationCost,
    /// Place in the order of the calls.
    pub rank: RequestRank,
}

impl RecommendationRequest {
    /// Returns the expected duration of the call.
    #[must_use]
    pub fn duration(&self) -> Duration {
        self.cost.call_duration(self.workers.len())
    }

    fn is_long(&self) -> bool {
        self.duration() > FAST_REQUEST_COST
    }
}

/// Place of a request in the order of the calls; the smallest goes first. Requests are compared here only.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestRank {
    /// Whether the job is beyond the rate that its workspace is entitled to; its calls go after all others.
    pub is_excess: bool,
    /// Whether it is not a first call although the fleet has room; those go after all first calls.
    pub is_repeated: bool,
    /// Time at which the call is due.
    pub due: Timestamp,
}

impl RequestRank {
    /// Returns the rank of a request while the fleet has room, so that an accepted job must begin soon. The step has waited
    /// for the request since `since`; `latest_start` is the latest start that meets its objective.
    #[must_use]
    pub fn with_room(kind: RequestKind, since: Timestamp, latest_start: Timestamp) -> Self {
        let is_repeated = kind != RequestKind::First;
        let due = if is_repeated { latest_start } else { latest_start.min(since + FIRST_CALL_DUE) };
        Self { is_excess: false, is_repeated, due }
    }

    /// Returns the rank of a request on a busy fleet: by the latest start alone, since heavy gangs starve when first
    /// calls go before the renewals of their tickets.
    #[must_use]
    pub const fn on_busy_fleet(latest_start: Timestamp) -> Self {
        Self { is_excess: false, is_repeated: false, due: latest_start }
    }

    /// Sets whether the job is beyond the rate that its workspace is entitled to.
    #[must_use]
    pub const fn excess(self, is_excess: bool) -> Self {
        Self { is_excess, ..self }
    }
}

/// Returns how many of `hosts` hosts may make long calls at the same time; at least one.
#[must_use]
pub fn hosts_for_long_calls(hosts: usize) -> usize {
    (hosts - hosts / HOSTS_PER_RESERVED).max(1)
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
    /// By rank; the second part keeps requests of one rank in order of arrival.
    pending: BTreeMap<(RequestRank, u64), RecommendationRequest>,
    /// Duration of the pending first calls.
    first_backlog: Duration,
    /// Duration of the first calls since the last other call.
    first_time: Duration,
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
        if request.kind == RequestKind::First {
            self.first_backlog += request.duration();
        }
        self.pending.insert((request.rank, self.last_number), request);
    }

    /// Marks call `number` of a host as answered and returns it; `None` when that call is not in flight there.
    pub fn complete(&mut self, host: RequestHost, number: u64) -> Option<RecommendationRequest> {
        let current = self.in_flight.get_mut(&host)?.take_if(|(n, _)| *n == number);
        current.map(|(_, request)| request)
    }

    /// Dispatches the next request to an idle host; returns the host and the number of the call, if there are both.
    pub fn dispatch(&mut self) -> Option<(RequestHost, u64, RecommendationRequest)> {
        let idle = self.in_flight.iter().find(|(_, request)| request.is_none()).map(|(host, _)| *host)?;
        let long_calls = self.in_flight.values().flatten().filter(|(_, request)| request.is_long()).count();
        let long_allowed = long_calls < hosts_for_long_calls(self.in_flight.len());
        let key = self.next_key(long_allowed)?;
        let is_overloaded = self.is_overloaded();
        let mut request = self.pending.remove(&key)?;
        if request.kind == RequestKind::First {
            self.first_backlog = self.first_backlog.saturating_sub(request.duration());
            if is_overloaded {
                request.workers.truncate(request.min_workers);
            }
            self.first_time += request.duration();
        } else {
            self.first_time = Duration::ZERO;
        }
        self.last_number += 1;
        self.in_flight.insert(idle, Some((self.last_number, request.clone())));
        Some((idle, self.last_number, request))
    }

    /// Returns the key of the next request to dispatch; long calls are left out unless `long_allowed`.
    fn next_key(&self, long_allowed: bool) -> Option<(RequestRank, u64)> {
        let mut allowed = self.pending.iter().filter(|(_, request)| long_allowed || !request.is_long());
        let (first, _) = allowed.next()?;
        let other = allowed.find(|((rank, _), _)| rank.is_repeated);
        let has_turn =
            |r: &RecommendationRequest| self.first_time >= r.duration().saturating_mul(FIRST_PER_OTHER);
        let other = other.filter(|(_, request)| !first.0.is_repeated && has_turn(request));
        Some(other.map_or(*first, |(key, _)| *key))
    }

    /// Returns whether the hosts need longer for the pending first calls than one of them may wait.
    fn is_overloaded(&self) -> bool {
        let hosts = u32::try_from(self.in_flight.len()).unwrap_or(u32::MAX);
        self.first_backlog > MAX_FIRST_WAIT.saturating_mul(hosts)
    }
}
