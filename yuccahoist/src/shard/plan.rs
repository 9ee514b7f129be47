//! What the ranks of a job's steps depend on, computed once for each job.
//!
//! The owner ranks steps at each change of a job, so a rank must not cost more the more steps the job has.

use std::time::Duration;

use super::spec::JobSpec;

/// Durations, work and dependencies of a job's steps.
#[derive(Debug)]
pub struct Plan {
    /// Time from submission within which the job should be completed.
    pub objective: Duration,
    /// CPU time of one occurrence, core-milliseconds.
    pub work: u64,
    /// Estimated duration of the critical path that begins with each step.
    critical_paths: Vec<Duration>,
    /// Steps that depend on each step.
    dependents: Vec<Vec<u32>>,
}

impl Plan {
    /// Creates the plan of a valid job, whose steps depend only on earlier ones.
    #[must_use]
    pub fn new(spec: &JobSpec) -> Self {
        let steps = &spec.steps;
        let mut dependents = vec![Vec::new(); steps.len()];
        for (number, step) in (0u32..).zip(steps) {
            for after in &step.after {
                // A step can name an earlier one several times.
                if let Some(list) = dependents.get_mut(*after as usize)
                    && list.last() != Some(&number)
                {
                    list.push(number);
                }
            }
        }
        let mut critical_paths = vec![Duration::ZERO; steps.len()];
        for (number, step) in steps.iter().enumerate().rev() {
            let later = dependents[number].iter().map(|dependent| critical_paths[*dependent as usize]);
            critical_paths[number] = step.estimate.saturating_add(later.max().unwrap_or_default());
        }
        Self { objective: spec.objective(), work: spec.work(), critical_paths, dependents }
    }

    /// Returns the estimated duration of the critical path that begins with step `number`; zero if there is no such step.
    #[must_use]
    pub fn critical_path(&self, number: u32) -> Duration {
        self.critical_paths.get(number as usize).copied().unwrap_or_default()
    }

    /// Returns the steps that depend on step `number`, in their order.
    #[must_use]
    pub fn dependents(&self, number: u32) -> &[u32] {
        self.dependents.get(number as usize).map_or(&[], Vec::as_slice)
    }
}
