//! Table of the non-idempotent requests of this host within the id window, with their outcomes.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hasher;

use twox_hash::XxHash64;

use crate::front::CallId;
use crate::id::{Incarnation, RequestId};
use crate::request::{Outcome, Refusal, Request};
use crate::unit::{Timestamp, WallTime};

/// Size above which entries without open calls are evicted, oldest first.
///
/// Half of the memory that a host may use per worker node at full size.
const MAX_RETAINED_BYTES: usize = 16 << 20;

/// Estimated size of an entry without the bodies of its request and answer.
const ENTRY_OVERHEAD_BYTES: usize = 400;

/// State of a non-idempotent request.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum RequestState {
    /// The id is queued for the append, or its record has not been read back yet.
    Pending,
    /// The first record of the id is from another host.
    AppendedByPeer {
        /// Incarnation that appended the first record and may have run the request.
        first: Incarnation,
        /// Time of the last query for the answer.
        queried_at: Timestamp,
    },
    /// Forwarded to an owner, or about to be.
    Forwarded,
    /// Provably did not run, with the reason; a further call may still cause a run.
    NotRun(Refusal),
    /// Ran or may have run; the outcome is final.
    Finished(Outcome),
}

/// Entry of a request id, with the calls and hosts that wait for the outcome.
#[derive(Debug)]
pub(super) struct RequestEntry {
    pub(super) digest: u64,
    pub(super) state: RequestState,
    /// Whether the first record of the id was read back while this entry existed.
    ///
    /// Only that event permits a forward. An entry that was evicted and created again never gets the permission.
    pub(super) may_forward: bool,
    /// Request to forward; `None` once it has been forwarded or completed.
    pub(super) request: Option<Request>,
    /// Calls that wait for the outcome.
    pub(super) calls: BTreeSet<CallId>,
    /// Hosts with a duplicate that queried for the outcome.
    pub(super) waiting_hosts: BTreeSet<Incarnation>,
}

impl RequestEntry {
    pub(super) fn new(request: &Request) -> Self {
        Self {
            digest: digest(request),
            state: RequestState::Pending,
            may_forward: false,
            request: None,
            calls: BTreeSet::new(),
            waiting_hosts: BTreeSet::new(),
        }
    }

    /// Adds a call. Of several requests, the one with the latest deadline is forwarded.
    pub(super) fn add_call(&mut self, call: CallId, request: Request) {
        self.calls.insert(call);
        if self.request.as_ref().is_none_or(|current| current.deadline < request.deadline) {
            self.request = Some(request);
        }
    }

    fn bytes(&self) -> usize {
        let answer = match &self.state {
            RequestState::Finished(Outcome::Answered(answer)) => answer.body.len(),
            _ => 0,
        };
        let request = self.request.as_ref().map_or(0, |request| request.body.len());
        ENTRY_OVERHEAD_BYTES + answer + request
    }
}

/// Returns a digest of service and body, which detects a request id that was reused for a different request.
pub(super) fn digest(request: &Request) -> u64 {
    let mut hasher = XxHash64::with_seed(0);
    hasher.write(request.service.as_str().as_bytes());
    hasher.write_u8(0);
    hasher.write(&request.body);
    hasher.finish()
}

/// Entries by request id, which orders them by creation time.
#[derive(Debug, Default)]
pub(super) struct RequestTable {
    entries: BTreeMap<RequestId, RequestEntry>,
    bytes: usize,
}

impl RequestTable {
    pub(super) fn get(&self, id: RequestId) -> Option<&RequestEntry> {
        self.entries.get(&id)
    }

    pub(super) fn insert(&mut self, id: RequestId, entry: RequestEntry) {
        self.bytes += entry.bytes();
        if let Some(earlier) = self.entries.insert(id, entry) {
            self.bytes -= earlier.bytes();
        }
    }

    /// Changes an entry and updates the total size.
    pub(super) fn update<T>(
        &mut self,
        id: RequestId,
        change: impl FnOnce(&mut RequestEntry) -> T,
    ) -> Option<T> {
        let entry = self.entries.get_mut(&id)?;
        let old_bytes = entry.bytes();
        let result = change(entry);
        self.bytes = self.bytes - old_bytes + entry.bytes();
        Some(result)
    }

    pub(super) fn ids(&self, filter: impl Fn(&RequestEntry) -> bool) -> Vec<RequestId> {
        self.entries.iter().filter(|(_, entry)| filter(entry)).map(|(id, _)| *id).collect()
    }

    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Evicts entries below the horizon, then the oldest ones above [`MAX_RETAINED_BYTES`]; entries with open calls
    /// stay.
    ///
    /// Returns the evicted ids.
    pub(super) fn evict(&mut self, horizon: WallTime) -> Vec<RequestId> {
        let lowest = RequestId::from_parts(horizon, [0; 10]);
        let mut excess = self.bytes.saturating_sub(MAX_RETAINED_BYTES);
        let mut evicted = Vec::new();
        for (id, entry) in &self.entries {
            if *id >= lowest && excess == 0 {
                break;
            }
            if entry.calls.is_empty() {
                excess = excess.saturating_sub(entry.bytes());
                evicted.push(*id);
            }
        }
        for id in &evicted {
            if let Some(entry) = self.entries.remove(id) {
                self.bytes -= entry.bytes();
            }
        }
        evicted
    }
}
