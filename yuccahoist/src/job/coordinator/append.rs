//! Appends to the `jobs` stream, one record at a time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::{Coordinator, EventContext};
use crate::id::{JobId, TaskIndex};
use crate::job::{CoordinatorAction, JobRecord};
use crate::unit::Timestamp;

/// Minimum interval between appends; the log's append budget allows each coordinator 4 a second.
const APPEND_INTERVAL: Duration = Duration::from_millis(250);
/// Time after which an appended record that has not been folded is discarded, so that its content is appended again.
const FOLD_TIMEOUT: Duration = Duration::from_secs(2);

/// Append whose record has not been folded.
#[derive(Debug)]
struct InFlightAppend {
    ticket: u64,
    record: JobRecord,
    /// Time at which the log confirmed the append.
    appended: Option<Timestamp>,
}

/// State of the coordinator's appends, of which at most one is in flight.
#[derive(Debug, Default)]
pub(super) struct JobAppender {
    in_flight: Option<InFlightAppend>,
    /// Time of the last append.
    last_append: Option<Timestamp>,
    /// Ticket of the last append.
    last_ticket: u64,
    /// Number of the last marker.
    last_marker: u64,
    /// Whether ended jobs precede completed tasks; alternates so that neither is starved.
    ends_first: bool,
}

impl JobAppender {
    /// Handles a folded record.
    pub fn handle_folded(&mut self, record: &JobRecord) {
        if self.in_flight.as_ref().is_some_and(|append| append.record == *record) {
            self.in_flight = None;
        }
    }

    /// Handles the confirmation of an append.
    pub fn handle_appended(&mut self, now: Timestamp, ticket: u64) {
        if let Some(append) = self.in_flight.as_mut().filter(|append| append.ticket == ticket) {
            append.appended = Some(now);
        }
    }

    /// Returns whether the next record may be appended, and discards an append that was not folded in time.
    fn is_ready(&mut self, now: Timestamp) -> bool {
        let is_overdue =
            |append: &InFlightAppend| append.appended.is_some_and(|at| now.since(at) >= FOLD_TIMEOUT);
        if self.in_flight.as_ref().is_some_and(is_overdue) {
            self.in_flight = None;
        }
        self.in_flight.is_none() && self.last_append.is_none_or(|last| now.since(last) >= APPEND_INTERVAL)
    }
}

impl Coordinator {
    /// Handles a failed append; a marker is appended again.
    pub(super) fn append_failed(&mut self, ticket: u64) {
        let Some(append) = self.appender.in_flight.take_if(|a| a.ticket == ticket) else { return };
        if let JobRecord::Mark { number, .. } = append.record {
            for owned in self.partitions.values_mut().filter(|owned| owned.marker == Some(number)) {
                owned.marker = None;
            }
        }
    }

    /// Appends the next record unless an append is in flight or [`APPEND_INTERVAL`] has not passed.
    pub(super) fn append_next(&mut self, ctx: &mut EventContext<'_>) {
        if !self.appender.is_ready(ctx.now) {
            return;
        }
        let Some(record) = self.next_record(ctx.now) else { return };
        self.appender.last_ticket += 1;
        self.appender.last_append = Some(ctx.now);
        let ticket = self.appender.last_ticket;
        self.appender.in_flight = Some(InFlightAppend { ticket, record: record.clone(), appended: None });
        ctx.out.push(CoordinatorAction::Append { ticket, record });
    }

    /// Returns the next record: a marker for partitions without one, else completed tasks or ended jobs.
    fn next_record(&mut self, now: Timestamp) -> Option<JobRecord> {
        let has_lease = |owned: &super::Partition| now < owned.grant.valid_until;
        if self.partitions.values().any(|owned| has_lease(owned) && owned.marker.is_none()) {
            self.appender.last_marker += 1;
            let number = self.appender.last_marker;
            for owned in self.partitions.values_mut().filter(|owned| owned.marker.is_none()) {
                owned.marker = Some(number);
            }
            return Some(JobRecord::Mark { by: self.incarnation, number });
        }
        self.appender.ends_first = !self.appender.ends_first;
        if self.appender.ends_first {
            self.ended_jobs(now).or_else(|| self.completed_tasks())
        } else {
            self.completed_tasks().or_else(|| self.ended_jobs(now))
        }
    }

    fn completed_tasks(&self) -> Option<JobRecord> {
        let mut tasks: BTreeMap<JobId, BTreeSet<TaskIndex>> = BTreeMap::new();
        for job in self.jobs.values().filter(|job| !job.unlogged.is_empty()) {
            tasks.insert(job.id().clone(), job.unlogged.keys().copied().collect());
        }
        (!tasks.is_empty()).then_some(JobRecord::TasksDone { tasks })
    }

    fn ended_jobs(&self, now: Timestamp) -> Option<JobRecord> {
        let has_lease =
            |partition| self.partitions.get(&partition).is_some_and(|owned| now < owned.grant.valid_until);
        let mut jobs = BTreeMap::new();
        for job in self.jobs.values().filter(|job| has_lease(job.partition)) {
            let is_recovered = job.is_new || self.is_recovered(job.partition);
            let has_orphans = || self.orphans.keys().any(|(task, _)| task.job == *job.id());
            if let Some(end) = job.outcome().filter(|_| is_recovered)
                && !has_orphans()
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
