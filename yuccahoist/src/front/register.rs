//! Non-idempotent requests of this host within the id window, and their answers.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hasher;

use twox_hash::XxHash64;

use crate::front::CallId;
use crate::id::{Incarnation, RequestId};
use crate::request::{Outcome, Refusal, Request};
use crate::unit::{Timestamp, WallTime};

/// Memory for requests and answers that no call waits for any more.
const KEPT_BYTES: usize = 16 << 20; // half of the memory that a host may take per worker node at full size

/// Memory of an entry besides body and answer.
const ENTRY_BYTES: usize = 400;

/// Where a request stands.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum Stage {
    /// Its id is to be appended, or its record has not been read back yet.
    Pending,
    /// Another host appended the id first.
    Elsewhere {
        /// Host that may have run it.
        first: Incarnation,
        /// Time of the last query.
        asked: Timestamp,
    },
    /// Forwarded, or about to be.
    Sent,
    /// Provably not run so far, with the reason; a further call may still run it.
    Idle(Refusal),
    /// Ran, or may have run.
    Done(Outcome),
}

/// Request with the calls that wait for it.
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) digest: u64,
    pub(super) stage: Stage,
    /// Whether the first record of the id was read back while this entry existed.
    ///
    /// Permission to forward comes with that one event. An entry that was dropped and made anew never gets it again.
    pub(super) first: bool,
    /// Request while it is not forwarded.
    pub(super) request: Option<Request>,
    /// Calls that wait for the outcome.
    pub(super) calls: BTreeSet<CallId>,
    /// Hosts that wait for the outcome.
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

    /// Adds a call. The request with the latest deadline is the one that is forwarded.
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

/// Digest that tells whether two requests with one id are the same request.
pub(super) fn digest(request: &Request) -> u64 {
    let mut hasher = XxHash64::with_seed(0);
    hasher.write(request.service.as_str().as_bytes());
    hasher.write_u8(0);
    hasher.write(&request.body);
    hasher.finish()
}

/// Entries by id, which is the order of their creation.
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

    /// Changes an entry and keeps the count of bytes.
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

    /// Drops entries below the horizon, then the oldest ones above the memory limit; those with open calls stay.
    ///
    /// Returns the dropped ids.
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
