//! Runs that are freed, i.e. counted as over without a reported end: what their owner knows at that time.

use std::fmt;
use std::time::Duration;

use super::Owner;
use crate::shard::id::{TaskKey, WorkerIncarnation};
use crate::shard::run_end::EndProof;
use crate::shard::worker::{ReservedRun, Worker};
use crate::unit::Timestamp;

/// Time since an event, milliseconds, or `none`.
#[derive(Debug, Clone, Copy)]
pub(super) struct Age(pub Option<Duration>);

impl Age {
    /// Returns the time from `at` to `now`.
    pub(super) fn since(now: Timestamp, at: Option<Timestamp>) -> Self {
        Self(at.map(|at| now.since(at)))
    }
}

impl fmt::Display for Age {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(age) => write!(f, "{}", age.as_millis()),
            None => f.write_str("none"),
        }
    }
}

/// Prints a value, or `none`.
#[derive(Debug, Clone, Copy)]
struct OrNone<T>(Option<T>);

impl<T: fmt::Display> fmt::Display for OrNone<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.0 {
            Some(value) => value.fmt(f),
            None => f.write_str("none"),
        }
    }
}

/// What the owner knows of a run and its worker, for the log.
#[derive(Debug)]
struct Knowledge<'a> {
    now: Timestamp,
    worker: Option<&'a Worker>,
    run: Option<&'a ReservedRun>,
}

impl fmt::Display for Knowledge<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { now, worker, run } = *self;
        let lease = worker.map_or(Duration::ZERO, |w| w.lease.expiry().since(now));
        write!(f, "bound={} lease_ms={}", OrNone(worker.map(|w| w.lease.bound())), lease.as_millis())?;
        write!(f, " silent_ms={}", Age::since(now, worker.and_then(|w| w.silent_since)))?;
        let (is_inherited, is_answered) = run.map_or((false, false), |r| (r.is_inherited, r.is_answered));
        let (ordered, listed) = (run.and_then(|r| r.ordered_at), run.and_then(|r| r.listed_at));
        write!(f, " order_ms={} inherited={is_inherited}", Age::since(now, ordered))?;
        write!(f, " answered={is_answered} listed_ms={}", Age::since(now, listed))?;
        let unanswered = worker.and_then(Worker::last_unanswered);
        let has_predecessor = worker.is_some_and(|w| w.has_predecessor);
        write!(f, " predecessor={has_predecessor} unanswered_ms={}", Age::since(now, unanswered))
    }
}

impl Owner {
    /// Logs and counts the end of a run whose worker did not report it, which frees its task.
    pub(super) fn note_end(
        &mut self,
        now: Timestamp,
        task: TaskKey,
        run: u32,
        incarnation: &WorkerIncarnation,
        proof: EndProof,
    ) {
        let worker = self.workers.get(incarnation);
        let knowledge = Knowledge { now, worker, run: worker.and_then(|w| w.runs.get(&(task, run))) };
        let epoch = self.epoch();
        log::info!(
            target: "decision",
            "free task={task} run={run} worker={incarnation} epoch={epoch} proof={proof} {knowledge}"
        );
        self.counters.ended_runs.add(proof);
    }
}
