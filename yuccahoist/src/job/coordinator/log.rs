//! Appends to the `jobs` stream.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::{Coordinator, Turn};
use crate::id::{JobId, TaskIndex};
use crate::job::{CoordinatorAction, JobRecord};
use crate::unit::Timestamp;

/// Time between appends; a coordinator's part of the log's budget is 4 a second.
const APPEND_INTERVAL: Duration = Duration::from_millis(250);
/// Time to wait for an appended record to be folded before its content is appended again.
const FOLD_LIMIT: Duration = Duration::from_secs(2);

/// Append that is not folded yet.
#[derive(Debug)]
struct Flight {
    ticket: u64,
    record: JobRecord,
    appended: Option<Timestamp>,
}

/// Appends of the coordinator, one at a time.
#[derive(Debug, Default)]
pub(super) struct JobLog {
    flight: Option<Flight>,
    last: Option<Timestamp>,
    ticket: u64,
    marks: u64,
    /// Whether ends of jobs go before tasks that are done, so that neither waits for ever.
    ends_first: bool,
}

impl JobLog {
    /// Notes that a record was folded.
    pub fn folded(&mut self, record: &JobRecord) {
        if self.flight.as_ref().is_some_and(|flight| flight.record == *record) {
            self.flight = None;
        }
    }

    /// Notes that an append took effect.
    pub fn appended(&mut self, now: Timestamp, ticket: u64) {
        if let Some(flight) = self.flight.as_mut().filter(|flight| flight.ticket == ticket) {
            flight.appended = Some(now);
        }
    }

    fn is_ready(&mut self, now: Timestamp) -> bool {
        let late = |flight: &Flight| flight.appended.is_some_and(|at| now.since(at) >= FOLD_LIMIT);
        if self.flight.as_ref().is_some_and(late) {
            self.flight = None;
        }
        self.flight.is_none() && self.last.is_none_or(|last| now.since(last) >= APPEND_INTERVAL)
    }
}

impl Coordinator {
    pub(super) fn append_failed(&mut self, ticket: u64) {
        let Some(flight) = self.log.flight.take_if(|flight| flight.ticket == ticket) else { return };
        if let JobRecord::Mark { number, .. } = flight.record {
            for owned in self.partitions.values_mut().filter(|owned| owned.mark == Some(number)) {
                owned.mark = None;
            }
        }
    }

    /// Appends the next record if one is due.
    pub(super) fn append_due(&mut self, turn: &mut Turn<'_>) {
        if !self.log.is_ready(turn.now) {
            return;
        }
        let Some(record) = self.next_record(turn.now) else { return };
        self.log.ticket += 1;
        self.log.last = Some(turn.now);
        let ticket = self.log.ticket;
        self.log.flight = Some(Flight { ticket, record: record.clone(), appended: None });
        turn.out.push(CoordinatorAction::Append { ticket, record });
    }

    fn next_record(&mut self, now: Timestamp) -> Option<JobRecord> {
        let held = |owned: &super::Partition| now < owned.grant.until;
        if self.partitions.values().any(|owned| held(owned) && owned.mark.is_none()) {
            self.log.marks += 1;
            let number = self.log.marks;
            for owned in self.partitions.values_mut().filter(|owned| owned.mark.is_none()) {
                owned.mark = Some(number);
            }
            return Some(JobRecord::Mark { by: self.incarnation, number });
        }
        self.log.ends_first = !self.log.ends_first;
        if self.log.ends_first {
            self.ends(now).or_else(|| self.tasks_done())
        } else {
            self.tasks_done().or_else(|| self.ends(now))
        }
    }

    fn tasks_done(&self) -> Option<JobRecord> {
        let mut tasks: BTreeMap<JobId, BTreeSet<TaskIndex>> = BTreeMap::new();
        for job in self.jobs.values().filter(|job| !job.unlogged.is_empty()) {
            tasks.insert(job.id().clone(), job.unlogged.keys().copied().collect());
        }
        (!tasks.is_empty()).then_some(JobRecord::TasksDone { tasks })
    }

    fn ends(&self, now: Timestamp) -> Option<JobRecord> {
        let held = |partition| self.partitions.get(&partition).is_some_and(|owned| now < owned.grant.until);
        let mut jobs = BTreeMap::new();
        for job in self.jobs.values().filter(|job| held(job.partition)) {
            let known = job.fresh || self.is_recovered(job.partition);
            let stray = || self.strays.keys().any(|(task, _)| task.job == *job.id());
            if let Some(end) = job.end().filter(|_| known)
                && !stray()
            {
                jobs.insert(job.id().clone(), end);
            }
        }
        let single = (jobs.len() == 1).then(|| jobs.pop_first()).flatten();
        match single {
            Some((job, end)) => Some(JobRecord::Finished { job, end }),
            None => (!jobs.is_empty()).then_some(JobRecord::Ended { jobs }),
        }
    }
}
