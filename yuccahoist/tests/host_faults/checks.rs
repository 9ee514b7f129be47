//! Checks of the invariants from the records of the fakes and the answers to callers.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use yuccahoist::id::RequestId;
use yuccahoist::request::Outcome;
use yuccahoist::unit::Timestamp;

use crate::world::{Call, World, answer};

/// Time within which an accepted edit is in force at every host.
const IN_FORCE: Duration = Duration::from_secs(3);

/// Sums over all answers.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub calls: usize,
    pub answered: usize,
    pub not_run: usize,
    pub unknown: usize,
}

impl World {
    /// Runs until all calls are answered, checks all invariants, and returns the counts.
    pub fn finish(&mut self) -> Counts {
        let load = std::mem::take(&mut self.load);
        self.run(Duration::from_secs(6));
        self.load = load;
        self.check_calls();
        self.check_jobs();
        self.check_runs();
        self.check_tasks();
        if let Some(first) = self.violations.first() {
            panic!("{} violations, first: {first}", self.violations.len());
        }
        self.counts(Timestamp::ZERO)
    }

    /// Counts of the calls since a time.
    pub fn counts(&self, since: Timestamp) -> Counts {
        let mut counts = Counts::default();
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
        for run in self.workers.values().flat_map(|worker| &worker.runs) {
            *runs.entry((run.id, run.body.clone())).or_default() += 1;
        }
        let mut calls: BTreeMap<(RequestId, Bytes), Vec<&Call>> = BTreeMap::new();
        for call in &self.calls {
            calls.entry((call.id, call.body.clone())).or_default().push(call);
        }
        let mut found = Vec::new();
        for (number, call) in self.calls.iter().enumerate() {
            let (id, at) = (call.id, call.at);
            if call.outcomes.len() > 1 || (call.outcomes.is_empty() && !call.excused) {
                found.push(format!("I3: call {number} of {at} has {} answers", call.outcomes.len()));
            }
            for (when, outcome) in &call.outcomes {
                if *when > call.deadline && !call.excused {
                    found.push(format!("I9: call {number} of {at} is answered after its deadline at {when}"));
                }
                if let Outcome::Answered(reply) = outcome
                    && reply.body != answer(&call.body)
                {
                    found.push(format!("I3: call {number} of {id} got the answer to {:?}", reply.body));
                }
            }
        }
        // Calls with one id and body share their runs, so only the absence of any run can be checked for them.
        for (key, calls) in calls {
            let refused = |call: &&Call| matches!(call.outcomes.as_slice(), [(_, Outcome::NotRun(_))]);
            if calls.iter().all(refused) && runs.contains_key(&key) {
                found.push(format!("I4: {} ran although all its callers were told not-run", key.0));
            }
        }
        self.violations.extend(found);
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
        for run in self.workers.values().flat_map(|worker| &worker.runs).filter(|run| !run.idempotent) {
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
            if !self.runs(index) || self.nodes[index].stopping.is_some() {
                continue;
            }
            let Some(host) = &self.nodes[index].host else { continue };
            let status = host.status();
            let (now, revision, digest) = (self.now, status.hosts[0].revision.0, status.hosts[0].digest);
            if !status.ready {
                self.check_age(index, 0);
                continue;
            }
            let highest = self.nodes[index].revision;
            if revision < highest {
                let text = format!("I8: host {index} went from revision {highest} to {revision} at {now}");
                self.violations.push(text);
            }
            self.nodes[index].revision = highest.max(revision);
            if *self.digests.entry(revision).or_insert(digest) != digest {
                self.violations.push(format!("I8: host {index} has another content of revision {revision}"));
            }
            self.check_age(index, revision);
        }
    }

    /// Whether no host could give a verdict in time, because none was sound for long enough.
    fn verdicts_late(&self) -> bool {
        let sound = |index: &usize| {
            let node = &self.nodes[*index];
            self.runs(*index) && !node.cut_log && self.now.since(node.sound) > 2 * IN_FORCE
        };
        (0..self.nodes.len()).find(sound).is_none()
    }

    /// Checks that a host whose way to the log was sound has all edits that are older than the limit.
    fn check_age(&mut self, index: usize, revision: u64) {
        let log = &self.log;
        let disturbed = log.down || !log.slow.is_zero() || log.lost + log.late > 0;
        if disturbed || self.nodes[index].cut_log || self.verdicts_late() {
            return;
        }
        let sound = self.nodes[index].sound.max(self.log_sound);
        let due = |edit: &&crate::world::Published| {
            edit.at >= sound && self.now.since(edit.at) > IN_FORCE && edit.based_on >= revision
        };
        // An edit that conflicts is based on a revision that an earlier edit has left.
        if let Some(edit) = self.published.iter().find(due) {
            let text = format!(
                "I8: host {index} has revision {revision} at {} although an edit of {} was published at {}",
                self.now, edit.based_on, edit.at
            );
            self.violations.push(text);
        }
    }
}
