//! Checks of the invariants from the records of the fakes and the answers to callers.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use yuccahoist::id::RequestId;
use yuccahoist::request::Outcome;
use yuccahoist::unit::Timestamp;

use crate::world::{Call, World, answer};

/// Time within which an accepted edit is in force at every host.
const EDIT_PROPAGATION_LIMIT: Duration = Duration::from_secs(3);

/// Sums over all answers.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    pub calls: usize,
    pub answered: usize,
    pub not_run: usize,
    pub unknown: usize,
}

impl World {
    /// Runs until all calls are answered, checks all invariants, and returns the counts.
    pub fn finish(&mut self) -> OutcomeCounts {
        let load = std::mem::take(&mut self.call_rate);
        self.run_for(Duration::from_secs(6));
        self.call_rate = load;
        self.check_calls();
        self.check_jobs();
        self.check_runs();
        self.check_tasks();
        if let Some(first) = self.violations.first() {
            panic!("{} violations, first: {first}", self.violations.len());
        }
        self.counts(Timestamp::ZERO)
    }

    /// OutcomeCounts of the calls since a time.
    pub fn counts(&self, since: Timestamp) -> OutcomeCounts {
        let mut counts = OutcomeCounts::default();
        for call in self.calls.iter().filter(|call| call.at >= since) {
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

    /// I3, I4, I9.
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
            let (id, at) = (call.id, call.at);
            if call.outcomes.len() > 1 || (call.outcomes.is_empty() && !call.interrupted) {
                violations.push(format!("I3: call {number} of {at} has {} answers", call.outcomes.len()));
            }
            for (when, outcome) in &call.outcomes {
                if *when > call.deadline && !call.interrupted {
                    violations
                        .push(format!("I9: call {number} of {at} is answered after its deadline at {when}"));
                }
                if let Outcome::Answered(reply) = outcome
                    && reply.body != answer(&call.body)
                {
                    violations.push(format!("I3: call {number} of {id} got the answer to {:?}", reply.body));
                }
            }
        }
        // Calls with one id and body share their runs, so only the absence of any run can be checked for them.
        for (key, calls) in calls {
            let refused = |call: &&Call| matches!(call.outcomes.as_slice(), [(_, Outcome::NotRun(_))]);
            if calls.iter().all(refused) && runs.contains_key(&key) {
                violations.push(format!("I4: {} ran although all its callers were told not-run", key.0));
            }
        }
        self.violations.extend(violations);
    }

    /// I3 and I9 of job calls: one reply within the limit of job calls, unless the host ended.
    fn check_jobs(&mut self) {
        for (call, replies) in &self.jobs {
            if replies.len() > 1 {
                self.violations.push(format!("I3: job call {call} has {} replies", replies.len()));
            }
        }
    }

    /// I5.
    fn check_runs(&mut self) {
        let mut runs: BTreeMap<RequestId, Vec<(Timestamp, u64)>> = BTreeMap::new();
        for run in self.workers.values().flat_map(|worker| &worker.request_runs).filter(|run| !run.idempotent)
        {
            runs.entry(run.id).or_default().push((run.start, run.epoch.0));
        }
        for (id, starts) in runs.into_iter().filter(|(_, starts)| starts.len() > 1) {
            self.violations.push(format!("I5: {id} ran at {starts:?}"));
        }
    }

    /// I2, from the record of task runs.
    fn check_tasks(&mut self) {
        let mut runs = BTreeMap::new();
        for run in self.workers.values().flat_map(|worker| &worker.task_runs) {
            let end = run.end.unwrap_or(Timestamp::MAX);
            runs.entry(run.task.clone()).or_insert_with(Vec::new).push((run.start, end, run.attempt));
        }
        for (task, mut runs) in runs {
            runs.sort();
            for pair in runs.windows(2).filter(|pair| pair[1].0 < pair[0].1) {
                self.violations.push(format!("I2: runs of {task} overlap: {pair:?}"));
            }
        }
    }

    /// I8.
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
                let text = format!("I8: host {index} went from revision {highest} to {revision} at {now}");
                self.violations.push(text);
            }
            self.nodes[index].highest_revision = highest.max(revision);
            if *self.digests.entry(revision).or_insert(digest) != digest {
                self.violations.push(format!("I8: host {index} has another content of revision {revision}"));
            }
            self.check_edit_delay(index, revision);
        }
    }

    /// Whether no host could handle_event a verdict in time, because none was sound for long enough.
    fn are_verdicts_late(&self) -> bool {
        let is_healthy = |index: &usize| {
            let node = &self.nodes[*index];
            self.is_running(*index)
                && !node.log_blocked
                && self.now.since(node.healthy_since) > 2 * EDIT_PROPAGATION_LIMIT
        };
        (0..self.nodes.len()).find(is_healthy).is_none()
    }

    /// Checks that a host whose way to the log was sound has all edits that are older than the limit.
    fn check_edit_delay(&mut self, index: usize, revision: u64) {
        let log = &self.log;
        let log_faulty = log.down || !log.added_latency.is_zero() || log.lost_answers + log.late_appends > 0;
        if log_faulty || self.nodes[index].log_blocked || self.are_verdicts_late() {
            return;
        }
        let since = self.nodes[index].healthy_since.max(self.log_recovered);
        let is_overdue = |edit: &&crate::world::PublishedEdit| {
            edit.at >= since && self.now.since(edit.at) > EDIT_PROPAGATION_LIMIT && edit.based_on >= revision
        };
        // An edit that conflicts is based on a revision that an earlier edit has left.
        if let Some(edit) = self.published.iter().find(is_overdue) {
            let text = format!(
                "I8: host {index} has revision {revision} at {} although an edit of {} was published at {}",
                self.now, edit.based_on, edit.at
            );
            self.violations.push(text);
        }
    }
}
