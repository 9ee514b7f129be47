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
const KEPT_BYTES: usize = 16 << 20;

/// Estimated size of an entry without the bodies of its request and answer.
const ENTRY_BYTES: usize = 400;

/// State of a non-idempotent request.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum Stage {
    /// The id is queued for the append, or its record has not been read back yet.
    Pending,
    /// The first record of the id is from another host.
    Elsewhere {
        /// Incarnation that appended the first record and may have run the request.
        first: Incarnation,
        /// Time of the last query for the answer.
        asked: Timestamp,
    },
    /// Forwarded to an owner, or about to be.
    Sent,
    /// Provably did not run, with the reason; a further call may still cause a run.
    Idle(Refusal),
    /// Ran or may have run; the outcome is final.
    Done(Outcome),
}

/// Entry of a request id, with the calls and hosts that wait for the outcome.
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) digest: u64,
    pub(super) stage: Stage,
    /// Whether the first record of the id was read back while this entry existed.
    ///
    /// Only that event permits a forward. An entry that was evicted and created again never gets the permission.
    pub(super) first: bool,
    /// Request to forward; `None` once it has been forwarded or completed.
    pub(super) request: Option<Request>,
    /// Calls that wait for the outcome.
    pub(super) calls: BTreeSet<CallId>,
    /// Hosts with a duplicate that queried for the outcome.
    pub(super) queries: BTreeSet<Incarnation>,
}

impl Entry {
    pub(super) fn new(request: &Request) -> Self {
        Self {
            digest: digest(request),
            stage: Stage::Pending,
            first: false,
            request: None,
            calls: BTreeSet::new(),
            queries: BTreeSet::new(),
        }
    }

    /// Adds a call. Of several requests, the one with the latest deadline is forwarded.
    pub(super) fn attach(&mut self, call: CallId, request: Request) {
        self.calls.insert(call);
        if self.request.as_ref().is_none_or(|kept| kept.deadline < request.deadline) {
            self.request = Some(request);
        }
    }

    fn bytes(&self) -> usize {
        let answer = match &self.stage {
            Stage::Done(Outcome::Answered(answer)) => answer.body.len(),
            _ => 0,
        };
        let request = self.request.as_ref().map_or(0, |request| request.body.len());
        ENTRY_BYTES + answer + request
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
pub(super) struct Register {
    entries: BTreeMap<RequestId, Entry>,
    bytes: usize,
}

impl Register {
    pub(super) fn get(&self, id: RequestId) -> Option<&Entry> {
        self.entries.get(&id)
    }

    pub(super) fn insert(&mut self, id: RequestId, entry: Entry) {
        self.bytes += entry.bytes();
        if let Some(earlier) = self.entries.insert(id, entry) {
            self.bytes -= earlier.bytes();
        }
    }

    /// Changes an entry and updates the total size.
    pub(super) fn update<T>(&mut self, id: RequestId, change: impl FnOnce(&mut Entry) -> T) -> Option<T> {
        let entry = self.entries.get_mut(&id)?;
        let before = entry.bytes();
        let result = change(entry);
        self.bytes = self.bytes - before + entry.bytes();
        Some(result)
    }

    pub(super) fn ids(&self, keep: impl Fn(&Entry) -> bool) -> Vec<RequestId> {
        self.entries.iter().filter(|(_, entry)| keep(entry)).map(|(id, _)| *id).collect()
    }

    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Evicts entries below the horizon, then the oldest ones above [`MAX_RETAINED_BYTES`]; entries with open calls
    /// stay.
    ///
    /// Returns the evicted ids.
    pub(super) fn trim(&mut self, horizon: WallTime) -> Vec<RequestId> {
        let lowest = RequestId::from_parts(horizon, [0; 10]);
        let mut excess = self.bytes.saturating_sub(KEPT_BYTES);
        let mut dropped = Vec::new();
        for (id, entry) in &self.entries {
            if *id >= lowest && excess == 0 {
                break;
            }
            if entry.calls.is_empty() {
                excess = excess.saturating_sub(entry.bytes());
                dropped.push(*id);
            }
        }
        for id in &dropped {
            if let Some(entry) = self.entries.remove(id) {
                self.bytes -= entry.bytes();
            }
        }
        dropped
    }
}
