//! In-memory state of a job at the owner of the shard.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use super::id::{TaskKey, WorkerIncarnation};
use super::learning::DoneTask;
use super::loss::Losses;
use super::plan::Plan;
use super::record::{DisplacedRun, JobState, Progress, TaskLoss, TaskProgress};
use super::spec::{JobSpec, StepSpec};
use crate::unit::Timestamp;

/// State of a placed run, as far as the owner knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// The placement is not stored yet, and no order was sent.
    Storing,
    /// The start order was sent and not answered yet.
    Starting,
    /// The worker confirmed the start at this time.
    Running(Timestamp),
    /// The start order timed out at this time; the worker may have executed it.
    Unconfirmed(Timestamp),
    /// A stop order was sent; holds the time at which the worker confirmed it.
    Stopping(Option<Timestamp>),
    /// Placed by a previous owner, and not yet reported by the worker to this one.
    Inherited,
}

/// Placement of a run of a task on a worker.
#[derive(Debug, Clone)]
pub struct Placement {
    /// Worker incarnation.
    pub incarnation: WorkerIncarnation,
    /// Run number; rises with each run of the task.
    pub run: u32,
    /// State of the run.
    pub phase: Phase,
    /// Progress that the worker reported last, percent.
    pub percent: u32,
    /// Time of the last change of `percent`.
    pub last_progress: Timestamp,
    /// When the worker certainly started the run from the beginning of the task; `None` if that is unknown or the run
    /// resumed from a checkpoint, so that its duration tells nothing.
    pub measured_from: Option<Timestamp>,
}

impl Placement {
    /// Returns when the run ends if it advances as before; `None` before its first progress.
    #[must_use]
    pub fn expected_end(&self) -> Option<Timestamp> {
        let Phase::Running(started) = self.phase else { return None };
        if self.percent == 0 {
            return None;
        }
        let part = f64::from(self.percent) / 100.0;
        Some(started + self.last_progress.since(started).div_f64(part))
    }
}

/// State of a task over all its runs.
#[derive(Debug, Clone, Default)]
pub struct Task {
    /// Highest run number used.
    pub run: u32,
    /// Numbers of the failed runs; for a gang, those of all members.
    pub failures: BTreeSet<u32>,
    /// Workers lost under runs of the task.
    pub losses: Losses,
    /// Whether a run has completed the task.
    pub done: bool,
    /// Last checkpoint; empty when there is none.
    pub checkpoint: String,
    /// Current run, if there is one; it may be active on its worker.
    pub placement: Option<Placement>,
}

/// Ticket for the tasks of a step on a recommended worker.
#[derive(Debug, Clone)]
pub struct Ticket {
    /// Ticket as the recommendation service issued it.
    pub text: String,
    /// Time from which it is not used any more.
    pub until: Timestamp,
    /// Number of tickets for the worker that it has refused since it last accepted one.
    pub refusals: u32,
}

/// Recommendation for a step: the workers that may run it, with their tickets.
#[derive(Debug, Clone, Default)]
pub struct Tickets {
    /// Recommended workers.
    pub recommended: BTreeMap<WorkerIncarnation, Ticket>,
    /// Workers that a recommendation request of this round has named. The next round names all workers again.
    pub requested: BTreeSet<WorkerIncarnation>,
    /// Number of rounds that have ended without enough workers.
    pub rounds: u32,
    /// Earliest time of the next round.
    pub next_round: Timestamp,
    /// Whether a request is pending or in flight.
    pub pending: bool,
    /// When the first recommendation was requested, until a worker is recommended.
    pub first_since: Option<Timestamp>,
    /// Earliest time of the next request.
    pub next_request: Timestamp,
}

/// Delay before the second round of requests; doubled for each later one.
const MIN_ROUND_DELAY: Duration = Duration::from_millis(250);
/// Longest delay between rounds. A job that could run may have nothing running for 3 s, and a call takes about 1 s.
const MAX_ROUND_DELAY: Duration = Duration::from_millis(1_500);

impl Tickets {
    /// Takes over the answer to a request for `requested`: the recommended ones get tickets that are used until `until`, and the
    /// others are not recommended any more. Returns the number of those that were.
    pub fn answer(
        &mut self,
        until: Timestamp,
        requested: Vec<WorkerIncarnation>,
        recommended: Vec<(Arc<str>, String)>,
    ) -> u64 {
        if !recommended.is_empty() {
            self.first_since = None;
        }
        let mut texts: BTreeMap<Arc<str>, String> = recommended.into_iter().collect();
        let mut withdrawn = 0;
        for incarnation in requested {
            let previous = self.recommended.remove(&incarnation);
            if let Some(text) = texts.remove(&incarnation.id) {
                let refusals = previous.map_or(0, |t| t.refusals);
                self.recommended.insert(incarnation.clone(), Ticket { text, until, refusals });
            } else {
                withdrawn += u64::from(previous.is_some());
            }
            self.requested.insert(incarnation);
        }
        withdrawn
    }

    /// Begins the next round of requests, which names all workers again that are not recommended.
    pub fn begin_round(&mut self, now: Timestamp) {
        let delay = MIN_ROUND_DELAY.saturating_mul(1 << self.rounds.min(8)).min(MAX_ROUND_DELAY);
        self.rounds += 1;
        self.next_round = now + delay;
        self.first_since = None;
        let recommended = &self.recommended;
        self.requested.retain(|incarnation| recommended.contains_key(incarnation));
    }
}

/// State of a step of one occurrence.
#[derive(Debug, Clone, Default)]
pub struct Step {
    /// Tasks, in the order of their index.
    pub tasks: Vec<Task>,
    /// Number of tasks that are done.
    pub done: u32,
    /// Recommended workers.
    pub tickets: Tickets,
    /// When other tasks were last preempted for this step.
    pub last_preemption: Timestamp,
    /// Done tasks whose duration is known.
    pub measured: Vec<DoneTask>,
}

impl Step {
    /// Whether all tasks are done.
    #[must_use]
    pub fn complete(&self) -> bool {
        self.done as usize == self.tasks.len()
    }

    /// Whether a task, or the whole gang, waits for placement.
    #[must_use]
    pub fn has_placeable_task(&self, spec: &StepSpec) -> bool {
        let waiting = |t: &Task| !t.done && t.placement.is_none();
        if spec.gang {
            !self.complete() && self.tasks.iter().all(waiting)
        } else {
            self.tasks.iter().any(waiting)
        }
    }

    /// Records that run `run` failed, for all members if the step is a gang; returns the number of failed runs.
    pub fn record_failure(&mut self, spec: &StepSpec, index: u32, run: u32) -> usize {
        if spec.gang {
            for task in &mut self.tasks {
                task.failures.insert(run);
            }
        }
        let failures = &mut self.tasks[index as usize].failures;
        failures.insert(run);
        failures.len()
    }

    /// Marks the task at `index` as done.
    pub fn mark_done(&mut self, index: u32) {
        let task = &mut self.tasks[index as usize];
        if !task.done {
            task.done = true;
            self.done += 1;
        }
    }
}

/// State of a job with all its occurrences.
#[derive(Debug)]
pub struct Job {
    /// Specification as submitted.
    pub spec: Arc<JobSpec>,
    /// Durations, work and dependencies of the steps.
    pub plan: Plan,
    /// Current state; the store may not have it yet.
    pub state: JobState,
    /// State that callers see; a final state becomes visible only once it is stored.
    pub visible_state: JobState,
    /// Whether the record of the specification is stored.
    pub stored: bool,
    /// Whether the record of the specification was deleted from the store.
    pub spec_deleted: bool,
    /// Submission time, milliseconds since the Unix epoch.
    pub submitted: u64,
    /// Submission time on the owner's monotonic clock.
    pub arrival: Timestamp,
    /// Steps by occurrence, up to the last occurrence that is due.
    pub occurrences: Vec<Vec<Step>>,
    /// Due time of each of `occurrences` on the owner's monotonic clock.
    pub due: Vec<Timestamp>,
    /// Runs that may be active on a silent worker while their task is placed elsewhere; they count against the cap of the
    /// job's workspace.
    pub displaced: BTreeMap<(TaskKey, u32), WorkerIncarnation>,
    /// Number of tasks with a current run, and of displaced runs.
    pub active_runs: u32,
    /// Whether the job is beyond the rate that its workspace is entitled to.
    pub is_excess: bool,
}

impl Job {
    /// Creates the state of a job submitted at `now`; `wall` is the same time, milliseconds since the Unix epoch.
    #[must_use]
    pub fn new(spec: Arc<JobSpec>, now: Timestamp, wall: u64) -> Self {
        Self {
            plan: Plan::new(&spec),
            spec,
            state: JobState::Queued,
            visible_state: JobState::Queued,
            stored: false,
            spec_deleted: false,
            submitted: wall,
            arrival: now,
            occurrences: Vec::new(),
            due: Vec::new(),
            displaced: BTreeMap::new(),
            active_runs: 0,
            is_excess: false,
        }
    }

    /// Returns the number of occurrences, due or not.
    #[must_use]
    pub fn count(&self) -> u32 {
        self.spec.repeat.map_or(1, |r| r.count)
    }

    /// Adds the next occurrence, due at `due`.
    pub fn add_occurrence(&mut self, due: Timestamp) {
        let step = |s: &StepSpec| Step { tasks: vec![Task::default(); s.tasks as usize], ..Step::default() };
        self.occurrences.push(self.spec.steps.iter().map(step).collect());
        self.due.push(due);
    }

    /// Whether all tasks of all occurrences are done.
    #[must_use]
    pub fn complete(&self) -> bool {
        let started = u32::try_from(self.occurrences.len()).unwrap_or(u32::MAX);
        started == self.count() && self.occurrences.iter().flatten().all(Step::complete)
    }

    /// Whether all steps that step `number` of an occurrence depends on are complete.
    #[must_use]
    pub fn is_unblocked(&self, occurrence: u32, number: u32) -> bool {
        let steps = &self.occurrences[occurrence as usize];
        self.spec.steps[number as usize].after.iter().all(|a| steps[*a as usize].complete())
    }

    /// Returns the progress as it is stored; without tasks once the job is final and has no current run.
    #[must_use]
    pub fn progress(&self) -> Progress {
        let mut progress = Progress { state: self.state, submitted: self.submitted, ..Progress::default() };
        if self.state.is_final() && self.active_runs == 0 {
            // The specification is dropped with this record.
            progress.workspace = self.spec.workspace.clone();
            return progress;
        }
        let mut indexes: BTreeMap<WorkerIncarnation, u32> = BTreeMap::new();
        let mut encode = |task: &Task| {
            let placement = task.placement.as_ref().map(|p| {
                let next = u32::try_from(indexes.len()).unwrap_or(u32::MAX);
                *indexes.entry(p.incarnation.clone()).or_insert_with(|| {
                    progress.incarnations.push(p.incarnation.clone());
                    next
                })
            });
            // A task that is done is not started again.
            let kept = Some(task).filter(|t| !t.done);
            TaskProgress {
                run: task.run,
                failures: kept.map(|t| t.failures.clone()).unwrap_or_default(),
                done: task.done,
                placement,
                checkpoint: kept.map(|t| t.checkpoint.clone()).unwrap_or_default(),
            }
        };
        let steps = |o: &Vec<Step>| o.iter().map(|s| s.tasks.iter().map(&mut encode).collect()).collect();
        progress.occurrences = self.occurrences.iter().map(steps).collect::<Vec<Vec<_>>>();
        progress.losses = self.task_losses();
        progress.is_excess = self.is_excess;
        let displaced = self.displaced.iter();
        progress.displaced = displaced.map(|((task, run), i)| DisplacedRun::new(*task, *run, i)).collect();
        progress
    }

    /// Returns the workers lost under the runs of all tasks, as they are stored.
    fn task_losses(&self) -> Vec<TaskLoss> {
        let mut stored = Vec::new();
        for (occurrence, steps) in (0u32..).zip(&self.occurrences) {
            for (step, state) in (0u32..).zip(steps) {
                for (index, task) in (0u32..).zip(&state.tasks).filter(|(_, t)| !t.done) {
                    let losses = task.losses.iter();
                    stored.extend(losses.map(|(run, loss)| TaskLoss {
                        occurrence,
                        step,
                        index,
                        run,
                        loss: loss.clone(),
                    }));
                }
            }
        }
        stored
    }
}
