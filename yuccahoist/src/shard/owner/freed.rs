//! Runs that were freed, i.e. counted as over without a reported end: what their owner knew at that time, and the alarm when
//! a later report shows that one was active all the same.
//!
//! A report names no time of an end, so a run of an expired lease that has ended otherwise may have ended before. It is
//! counted apart and raises no alarm.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use super::Owner;
use crate::shard::id::{TaskKey, WorkerIncarnation};
use crate::shard::job::{Placement, Task};
use crate::shard::lease::LeaseBound;
use crate::shard::message::{EndKind, EndedRun};
use crate::shard::run_end::EndProof;
use crate::shard::worker::{ReservedRun, Worker};
use crate::unit::Timestamp;

/// Time for which a freed run is remembered; longer than a lease and the delay of an order together.
const MAX_AGE: Duration = Duration::from_secs(60);
/// Largest number of freed runs that are remembered.
const MAX_RUNS: usize = 10_000;

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

/// Run that was freed.
#[derive(Debug)]
struct Freed {
    at: Timestamp,
    proof: EndProof,
    bound: Option<LeaseBound>,
    /// Whether a report has shown it since then.
    is_seen: bool,
}

/// Freed runs that workers may still report.
#[derive(Debug, Default)]
pub(super) struct FreedRuns(BTreeMap<(TaskKey, u32), Freed>);

impl FreedRuns {
    /// Forgets the runs that were freed long ago.
    pub(super) fn expire(&mut self, now: Timestamp) {
        self.0.retain(|_, freed| now < freed.at + MAX_AGE);
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
        let bound = worker.map(|w| w.lease.bound());
        let is_expected = self.may_start_late(task, run, &incarnation.id);
        if self.may_overlap(task) == Some(false) && !is_expected && self.freed.0.len() < MAX_RUNS {
            self.freed.0.insert((task, run), Freed { at: now, proof, bound, is_seen: false });
        }
    }

    /// Raises the alarm if a run is active that was freed before the call was sent which the report answers.
    pub(super) fn check_active(
        &mut self,
        now: Timestamp,
        incarnation: &WorkerIncarnation,
        task: TaskKey,
        run: u32,
        sent: Timestamp,
    ) {
        if self.freed.0.is_empty() {
            return;
        }
        let is_due = |freed: &&mut Freed| !freed.is_seen && freed.at <= sent;
        let Some(freed) = self.freed.0.get_mut(&(task, run)).filter(is_due) else { return };
        freed.is_seen = true;
        self.counters.active_after_free.add(freed.proof);
        self.warn_overlap(now, incarnation, task, run, "active");
    }

    /// Raises the alarm if a run is active that this owner has neither placed nor freed; a previous owner has freed it.
    pub(super) fn check_unplaced(
        &mut self,
        now: Timestamp,
        incarnation: &WorkerIncarnation,
        task: TaskKey,
        run: u32,
    ) {
        let is_known = self.freed.0.contains_key(&(task, run))
            || self.current(task).is_some_and(|p| p.run == run)
            || self.workers.get(incarnation).is_none_or(|w| w.runs.contains_key(&(task, run)));
        if is_known || self.may_overlap(task) != Some(false) {
            return;
        }
        if self.may_start_late(task, run, &incarnation.id) {
            self.counters.late_starts += 1;
            log::info!(target: "decision", "late-start task={task} run={run} worker={incarnation} epoch={}", self.epoch());
            return;
        }
        self.counters.active_unplaced += 1;
        self.warn_overlap(now, incarnation, task, run, "active");
    }

    /// Raises the alarm if the reported end contradicts the proof on which its run was freed: the run can't have ended before.
    pub(super) fn check_end(&mut self, now: Timestamp, incarnation: &WorkerIncarnation, end: &EndedRun) {
        let (task, run) = (end.task, end.run);
        let Some(freed) = self.freed.0.get_mut(&(task, run)).filter(|freed| !freed.is_seen) else { return };
        freed.is_seen = true;
        match freed.proof {
            EndProof::Lapsed | EndProof::Replaced if end.kind == EndKind::Lapsed => {}
            EndProof::Lapsed | EndProof::Replaced => self.counters.ended_after_free += 1,
            proof => {
                self.counters.active_after_free.add(proof);
                self.warn_overlap(now, incarnation, task, run, "ended");
            }
        }
    }

    /// Returns on which proof a run was freed and how long ago, and the run of its task that has followed, as fields of a line.
    pub(super) fn free_fields(&self, now: Timestamp, task: TaskKey, run: u32) -> String {
        let freed = self.freed.0.get(&(task, run));
        let next = self.current(task).filter(|p| p.run != run);
        let worker = next.and_then(|p| self.workers.get(&p.incarnation));
        let ordered = next.zip(worker).and_then(|(p, w)| w.runs.get(&(task, p.run))?.ordered_at);
        format!(
            "proof={} bound={} freed_ms={} next_run={} next_worker={} next_ms={}",
            OrNone(freed.map(|f| f.proof)),
            OrNone(freed.and_then(|f| f.bound)),
            Age::since(now, freed.map(|f| f.at)),
            OrNone(next.map(|p| p.run)),
            OrNone(next.map(|p| &p.incarnation)),
            Age::since(now, ordered),
        )
    }

    fn warn_overlap(
        &self,
        now: Timestamp,
        incarnation: &WorkerIncarnation,
        task: TaskKey,
        run: u32,
        seen: &str,
    ) {
        let (epoch, freed) = (self.epoch(), self.free_fields(now, task, run));
        log::warn!(
            target: "decision",
            "overlap task={task} run={run} worker={incarnation} epoch={epoch} seen={seen} {freed}"
        );
    }

    /// Whether runs of a task may overlap; `None` if the specification of its job is not known any more.
    pub(super) fn may_overlap(&self, task: TaskKey) -> Option<bool> {
        let steps = &self.jobs.get(&task.step.job)?.spec.steps;
        steps.get(task.step.step as usize).map(|step| step.speculative)
    }

    /// Returns the placement of a task.
    fn current(&self, task: TaskKey) -> Option<&Placement> {
        let steps = self.jobs.get(&task.step.job)?.occurrences.get(task.step.occurrence as usize)?;
        let tasks = &steps.get(task.step.step as usize)?.tasks;
        tasks.get(task.index as usize).and_then(|task: &Task| task.placement.as_ref())
    }
}
