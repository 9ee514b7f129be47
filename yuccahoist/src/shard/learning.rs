//! What is learned from a measured run: the speed of its worker, and how far the estimates of its queue are off.
//!
//! Neither is known without the other. A run is first compared with the estimate of its step as corrected by the queue's
//! recent steps. Once nearly all tasks of the step are done, all of them are compared with each other, converted by
//! the speeds of their workers. Comparing each with those done before it would make all workers look slow, since the
//! shortest tasks end first.

use super::estimate::{EstimateBook, expected_ln};
use super::id::{TaskKey, WorkerIncarnation};
use super::spec::Queue;
use super::speed::{SpeedBook, median};
use crate::unit::Timestamp;

/// Tasks of a step that are compared with each other; more change their median little.
const MAX_COMPARED: usize = 31;
/// One task of a step in this many may still run when the others are compared, so that a straggler does not delay them.
const RUNNING_PART: usize = 10;

/// Done task of a step.
#[derive(Debug, Clone)]
pub struct DoneTask {
    task: TaskKey,
    incarnation: WorkerIncarnation,
    /// Natural logarithm of the duration, seconds.
    took: f64,
}

/// Returns the natural logarithm of what the done tasks of a step took at the speed to which observed speeds refer; `None`
/// without any.
#[must_use]
pub fn step_need(speeds: &SpeedBook, done: &[DoneTask]) -> Option<f64> {
    let needs = done.iter().map(|d| d.took + speeds.observed(&d.incarnation));
    (!done.is_empty()).then(|| median(needs))
}

/// Run that ended `done` and whose duration is known.
#[derive(Debug, Clone, Copy)]
pub struct MeasuredRun<'a> {
    /// Task of the run.
    pub task: TaskKey,
    /// Queue of the job, with the settings of its acceptance.
    pub queue: &'a Queue,
    /// Arrival of the job.
    pub arrival: Timestamp,
    /// Worker of the run.
    pub incarnation: &'a WorkerIncarnation,
    /// Natural logarithm of the estimated duration, seconds.
    pub estimate: f64,
    /// Natural logarithm of the actual duration, seconds.
    pub took: f64,
    /// Number of tasks of the step, and of those that are not done yet.
    pub tasks: (usize, usize),
    /// Logarithm of the observed speed of the slowest member, for a gang, whose members end together; their duration tells
    /// nothing of a single worker.
    pub gang_speed: Option<f64>,
}

/// Speeds of the workers and corrections of the estimates.
#[derive(Debug, Default)]
pub struct Learning {
    /// Speeds of the workers.
    pub speeds: SpeedBook,
    /// Corrections of the estimates.
    pub estimates: EstimateBook,
}

impl Learning {
    /// Learns from a run; `done` are the earlier ones of its step, to which this one is added.
    pub fn observe(&mut self, now: Timestamp, run: &MeasuredRun<'_>, done: &mut Vec<DoneTask>) {
        if let Some(speed) = run.gang_speed {
            let ratio = run.took + speed - run.estimate;
            return self.estimates.observe(run.queue, run.arrival, run.task.step, ratio);
        }
        let corrected = self.observe_progress(now, run);
        if done.len() < MAX_COMPARED {
            done.push(DoneTask { task: run.task, incarnation: run.incarnation.clone(), took: run.took });
        }
        let (tasks, left) = run.tasks;
        if left <= tasks / RUNNING_PART {
            self.compare(run, corrected, done);
        }
    }

    /// Learns from a run that has not ended, by the time that it takes at its present rate; its end replaces this.
    /// Returns the corrected estimate of its duration at the speed to which figures refer, as a natural logarithm.
    pub fn observe_progress(&mut self, now: Timestamp, run: &MeasuredRun<'_>) -> f64 {
        let corrected = run.estimate + self.estimates.ln_correction(&run.queue.name);
        self.speeds.observe(now, run.incarnation, run.task, corrected - run.took);
        corrected
    }

    /// Compares the tasks of a step with each other.
    fn compare(&mut self, run: &MeasuredRun<'_>, corrected: f64, done: &[DoneTask]) {
        let needs: Vec<f64> = done.iter().map(|d| d.took + self.speeds.observed(&d.incarnation)).collect();
        for task in done {
            // Tasks on the same worker would hide its speed.
            let others = done.iter().zip(&needs).filter(|(other, _)| other.incarnation != task.incarnation);
            let expected = expected_ln(corrected, others.map(|(_, need)| *need));
            // A task that no longer counts for its worker has been replaced by later ones.
            self.speeds.correct(&task.incarnation, task.task, expected - task.took);
        }
        let ratio = median(needs.into_iter()) - run.estimate;
        self.estimates.observe(run.queue, run.arrival, run.task.step, ratio);
    }

    /// Returns the natural logarithm of the factor from estimates of a queue to durations on a worker of median speed.
    #[must_use]
    pub fn ln_correction(&self, queue: &str) -> f64 {
        self.estimates.ln_correction(queue) - self.speeds.centre()
    }
}
