//! State of a job at the owner of the shard.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use super::id::Life;
use super::record::{JobState, Progress, TaskProgress};
use super::spec::{JobSpec, StepSpec};
use crate::unit::Timestamp;

/// How far a placed run has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Not stored yet; nothing was sent.
    Recording,
    /// The order to start was sent.
    Starting,
    /// The worker confirmed it at a time.
    Running(Timestamp),
    /// The order was not answered by this time.
    Unsure(Timestamp),
    /// Ordered to stop; the worker confirmed the order at a time.
    Stopping(Option<Timestamp>),
    /// Placed by a previous owner; the worker has not been heard yet.
    Inherited,
}

/// Run of a task on a worker.
#[derive(Debug, Clone)]
pub struct Placement {
    /// Worker.
    pub life: Life,
    /// Run number.
    pub run: u32,
    /// Phase.
    pub phase: Phase,
    /// Part done, percent.
    pub percent: u32,
    /// When `percent` changed last.
    pub moved: Timestamp,
}

/// Task.
#[derive(Debug, Clone, Default)]
pub struct Task {
    /// Highest run number used.
    pub run: u32,
    /// Numbers of the runs that ended failed; those of all members for a gang.
    pub failures: BTreeSet<u32>,
    /// Whether it is done.
    pub done: bool,
    /// Last checkpoint; empty when there is none.
    pub saved: String,
    /// Run that may be at work.
    pub place: Option<Placement>,
}

/// What is known about the workers that may run a step.
#[derive(Debug, Clone, Default)]
pub struct Tickets {
    /// Workers that the recommendation named, with a ticket and the time until which it may be used.
    pub good: BTreeMap<Life, (String, Timestamp)>,
    /// Workers that were asked about.
    pub asked: BTreeSet<Life>,
    /// Whether a call is under way.
    pub pending: bool,
    /// Earliest time of the next call.
    pub next: Timestamp,
}

/// Step of an occurrence.
#[derive(Debug, Clone, Default)]
pub struct Step {
    /// Tasks.
    pub tasks: Vec<Task>,
    /// Tasks that are done.
    pub done: u32,
    /// Recommendation.
    pub tickets: Tickets,
    /// When other work was last stopped for this step.
    pub cleared: Timestamp,
}

impl Step {
    /// Whether all tasks are done.
    #[must_use]
    pub fn complete(&self) -> bool {
        self.done as usize == self.tasks.len()
    }

    /// Whether a task, or the whole gang, waits for a place.
    #[must_use]
    pub fn waits(&self, spec: &StepSpec) -> bool {
        let waiting = |t: &Task| !t.done && t.place.is_none();
        if spec.gang {
            !self.complete() && self.tasks.iter().all(waiting)
        } else {
            self.tasks.iter().any(waiting)
        }
    }

    /// Notes that a run failed, of all members if the step is a gang; returns the number of failed runs.
    pub fn fail(&mut self, spec: &StepSpec, index: u32, run: u32) -> usize {
        if spec.gang {
            for task in &mut self.tasks {
                task.failures.insert(run);
            }
        }
        let failures = &mut self.tasks[index as usize].failures;
        failures.insert(run);
        failures.len()
    }

    /// Marks a task as done.
    pub fn finish(&mut self, index: u32) {
        let task = &mut self.tasks[index as usize];
        if !task.done {
            task.done = true;
            self.done += 1;
        }
    }
}

/// Job.
#[derive(Debug)]
pub struct Job {
    /// What was submitted.
    pub spec: Arc<JobSpec>,
    /// State, perhaps not stored yet.
    pub state: JobState,
    /// State that callers may see.
    pub shown: JobState,
    /// Whether the job itself is stored.
    pub stored: bool,
    /// Whether its specification was dropped from the store.
    pub forgotten: bool,
    /// Submission, milliseconds since the Unix epoch.
    pub submitted: u64,
    /// Submission on the owner's clock.
    pub arrival: Timestamp,
    /// Steps by occurrence; an occurrence that is not due yet is missing.
    pub occurrences: Vec<Vec<Step>>,
    /// Due time of each occurrence on the owner's clock.
    pub due: Vec<Timestamp>,
    /// Runs that may be at work.
    pub live: u32,
}

impl Job {
    /// Job that was submitted now.
    #[must_use]
    pub fn new(spec: Arc<JobSpec>, now: Timestamp, wall: u64) -> Self {
        Self {
            spec,
            state: JobState::Queued,
            shown: JobState::Queued,
            stored: false,
            forgotten: false,
            submitted: wall,
            arrival: now,
            occurrences: Vec::new(),
            due: Vec::new(),
            live: 0,
        }
    }

    /// Number of occurrences.
    #[must_use]
    pub fn count(&self) -> u32 {
        self.spec.repeat.map_or(1, |r| r.count)
    }

    /// Adds the next occurrence, due at `due`.
    pub fn begin(&mut self, due: Timestamp) {
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

    /// Whether step `number` of an occurrence may start.
    #[must_use]
    pub fn unblocked(&self, occurrence: u32, number: u32) -> bool {
        let steps = &self.occurrences[occurrence as usize];
        self.spec.steps[number as usize].after.iter().all(|a| steps[*a as usize].complete())
    }

    /// Longest chain of work from step `number` on.
    #[must_use]
    pub fn chain(&self, number: u32) -> Duration {
        let steps = &self.spec.steps;
        let mut rest = vec![Duration::ZERO; steps.len()];
        for i in (0..steps.len()).rev() {
            let later = (i + 1..steps.len()).filter(|j| steps[*j].after.iter().any(|a| *a as usize == i));
            let next = later.map(|j| rest[j]).max().unwrap_or_default();
            rest[i] = steps[i].estimate + next;
        }
        rest[number as usize]
    }

    /// What is stored of the job's progress.
    #[must_use]
    pub fn progress(&self) -> Progress {
        let mut progress = Progress { state: self.state, submitted: self.submitted, ..Progress::default() };
        if self.state.is_final() && self.live == 0 {
            return progress;
        }
        let mut lives: BTreeMap<Life, u32> = BTreeMap::new();
        let mut encode = |task: &Task| {
            let place = task.place.as_ref().map(|p| {
                let next = u32::try_from(lives.len()).unwrap_or(u32::MAX);
                *lives.entry(p.life.clone()).or_insert_with(|| {
                    progress.lives.push(p.life.clone());
                    next
                })
            });
            TaskProgress {
                run: task.run,
                failures: task.failures.clone(),
                done: task.done,
                place,
                saved: task.saved.clone(),
            }
        };
        let steps = |o: &Vec<Step>| o.iter().map(|s| s.tasks.iter().map(&mut encode).collect()).collect();
        progress.occurrences = self.occurrences.iter().map(steps).collect::<Vec<Vec<_>>>();
        progress
    }
}
