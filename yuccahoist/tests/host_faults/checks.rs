//! Invariant checks on the records of the simulated workers and the answers to callers.
//!
//! The numbers I1 to I9 are those of the crate documentation.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use yuccahoist::id::RequestId;
use yuccahoist::request::Outcome;
use yuccahoist::unit::Timestamp;

use crate::world::{Call, World, answer};

/// Time within which an accepted edit must be in force at every host.
const EDIT_PROPAGATION_LIMIT: Duration = Duration::from_secs(3);

/// Number of calls by their first outcome; a call without an answer counts only under `calls`.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    pub calls: usize,
    pub answered: usize,
    pub not_run: usize,
    pub unknown: usize,
}

impl World {
    /// Runs without new calls until all open ones are due, checks all invariants and counts the outcomes of all calls.
    ///
    /// # Panics
    ///
    /// Panics with the first violation if there is any.
    pub fn finish(&mut self) -> OutcomeCounts {
        let call_rate = std::mem::take(&mut self.call_rate);
        self.run_for(Duration::from_secs(6));
        self.call_rate = call_rate;
        self.check_calls();
        self.check_jobs();
        self.check_runs();
        self.check_tasks();
        if let Some(first) = self.violations.first() {
            panic!("{} violations, first: {first}", self.violations.len());
        }
        self.counts(Timestamp::ZERO)
    }

    /// Counts the outcomes of the calls sent at or after `since`.
    pub fn counts(&self, since: Timestamp) -> OutcomeCounts {
        let mut counts = OutcomeCounts::default();
        for call in self.calls.iter().filter(|call| call.sent_at >= since) {
            counts.calls += 1;
            match call.outcomes.first() {
                Some((_, Outcome::Answered(_))) => counts.answered += 1,
                Some((_, Outcome::NotRun(_))) => counts.not_run += 1,
                Some((_, Outcome::Unknown(_))) => counts.unknown += 1,
                None => {}
            }
        }
        counts
    }

    /// Checks the answers to request calls: I3, I4 and I9.
    fn check_calls(&mut self) {
        let mut runs: BTreeMap<(RequestId, Bytes), usize> = BTreeMap::new();
        for run in self.workers.values().flat_map(|worker| &worker.request_runs) {
            *runs.entry((run.id, run.body.clone())).or_default() += 1;
        }
        let mut calls: BTreeMap<(RequestId, Bytes), Vec<&Call>> = BTreeMap::new();
        for call in &self.calls {
            calls.entry((call.id, call.body.clone())).or_default().push(call);
        }
        let mut violations = Vec::new();
        for (number, call) in self.calls.iter().enumerate() {
            let (id, at) = (call.id, call.sent_at);
            if call.outcomes.len() > 1 || (call.outcomes.is_empty() && !call.interrupted) {
                violations.push(format!(
                    "I3: call {number} sent at {at} has {} answers, not one",
                    call.outcomes.len()
                ));
            }
            for (when, outcome) in &call.outcomes {
                if *when > call.deadline && !call.interrupted {
                    violations.push(format!(
                        "I9: call {number} sent at {at} was answered at {when}, after its deadline"
                    ));
                }
                if let Outcome::Answered(reply) = outcome
                    && reply.body != answer(&call.body)
                {
                    violations.push(format!(
                        "I3: call {number} with id {id} got an answer to another body: {:?}",
                        reply.body
                    ));
                }
            }
        }
        // Calls with the same id and body share their runs, so I4 is checked only where all of them were told not-run.
        for (key, calls) in calls {
            let refused = |call: &&Call| matches!(call.outcomes.as_slice(), [(_, Outcome::NotRun(_))]);
            if calls.iter().all(refused) && runs.contains_key(&key) {
                violations
                    .push(format!("I4: request {} ran although all its callers were told not-run", key.0));
            }
        }
        self.violations.extend(violations);
    }

    /// Checks I3 for job calls: at most one reply each, as a host that crashes sends none.
    fn check_jobs(&mut self) {
        for (call, replies) in &self.jobs {
            if replies.len() > 1 {
                self.violations.push(format!("I3: job call {call} has {} replies", replies.len()));
            }
        }
    }

    /// Checks I5 on the request records of the workers.
    fn check_runs(&mut self) {
        let mut runs: BTreeMap<RequestId, Vec<(Timestamp, u64)>> = BTreeMap::new();
        for run in self.workers.values().flat_map(|worker| &worker.request_runs).filter(|run| !run.idempotent)
        {
            runs.entry(run.id).or_default().push((run.start, run.epoch.0));
        }
        for (id, starts) in runs.into_iter().filter(|(_, starts)| starts.len() > 1) {
            self.violations.push(format!(
                "I5: non-idempotent request {id} ran more than once, (start, epoch): {starts:?}"
            ));
        }
    }

    /// Checks I2 on the task records of the workers.
    fn check_tasks(&mut self) {
        let mut runs = BTreeMap::new();
        for run in self.workers.values().flat_map(|worker| &worker.task_runs) {
            let end = run.end.unwrap_or(Timestamp::MAX);
            runs.entry(run.task.clone()).or_insert_with(Vec::new).push((run.start, end, run.attempt));
        }
        for (task, mut runs) in runs {
            runs.sort();
            for pair in runs.windows(2).filter(|pair| pair[1].0 < pair[0].1) {
                self.violations
                    .push(format!("I2: runs of task {task} overlap, (start, end, attempt): {pair:?}"));
            }
        }
    }

    /// Checks I8 at each running host: its revision never falls, not even across restarts, and hosts with the same
    /// revision have the same content.
    pub fn check_revisions(&mut self) {
        for index in 0..self.nodes.len() {
            if !self.is_running(index) || self.nodes[index].stop_requested.is_some() {
                continue;
            }
            let Some(host) = &self.nodes[index].host else { continue };
            let status = host.status();
            let (now, revision, digest) = (self.now, status.hosts[0].revision.0, status.hosts[0].digest);
            if !status.ready {
                self.check_edit_delay(index, 0);
                continue;
            }
            let highest = self.nodes[index].highest_revision;
            if revision < highest {
                let text =
                    format!("I8: host {index} fell back from revision {highest} to {revision} at {now}");
                self.violations.push(text);
            }
            self.nodes[index].highest_revision = highest.max(revision);
            if *self.digests.entry(revision).or_insert(digest) != digest {
                self.violations
                    .push(format!("I8: host {index} has different content for revision {revision}"));
            }
            self.check_edit_delay(index, revision);
        }
    }

    /// Whether verdicts on edits may be late because no host has been free of faults for long enough to decide them.
    fn are_verdicts_late(&self) -> bool {
        let is_healthy = |index: &usize| {
            let node = &self.nodes[*index];
            self.is_running(*index)
                && !node.log_blocked
                && self.now.since(node.healthy_since) > 2 * EDIT_PROPAGATION_LIMIT
        };
        (0..self.nodes.len()).find(is_healthy).is_none()
    }

    /// Checks that a host whose access to the log was free of faults has applied all edits older than the limit.
    fn check_edit_delay(&mut self, index: usize, revision: u64) {
        let log = &self.log;
        let log_faulty = log.down || !log.added_latency.is_zero() || log.lost_answers + log.late_appends > 0;
        if log_faulty || self.nodes[index].log_blocked || self.are_verdicts_late() {
            return;
        }
        let since = self.nodes[index].healthy_since.max(self.log_recovered);
        let is_overdue = |edit: &&crate::world::PublishedEdit| {
            edit.published_at >= since
                && self.now.since(edit.published_at) > EDIT_PROPAGATION_LIMIT
                && edit.based_on >= revision
        };
        // An edit that lost a conflict is not overdue: the winner has already raised the revision above its base.
        if let Some(edit) = self.published.iter().find(is_overdue) {
            let text = format!(
                "I8: host {index} has revision {revision} at {} although an edit of revision {} was published at {}",
                self.now, edit.based_on, edit.published_at
            );
            self.violations.push(text);
        }
    }
}
