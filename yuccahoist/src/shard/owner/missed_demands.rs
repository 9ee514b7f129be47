//! Demands for which a scheduling pass has found no room, so that it can pass over steps that need no less.

use std::collections::BTreeMap;

use super::schedule::MAX_CONSECUTIVE_MISSES;
use crate::shard::spec::StepSpec;
use crate::unit::Resources;

/// What a step requires of a worker apart from the amount of resources: the service, the label and whether it has accelerators.
type WorkerKind = (String, Option<String>, bool);

/// Demands of the steps that did not fit in a pass, by kind of worker.
#[derive(Debug, Default)]
pub(super) struct MissedDemands(BTreeMap<WorkerKind, Vec<Resources>>);

impl MissedDemands {
    fn kind(service: &str, step_spec: &StepSpec) -> WorkerKind {
        (service.to_owned(), step_spec.label.clone(), step_spec.resources.accelerators.0 > 0)
    }

    /// Adds a step that did not fit.
    pub(super) fn add(&mut self, service: &str, step_spec: &StepSpec) {
        let (missed, need) =
            (self.0.entry(Self::kind(service, step_spec)).or_default(), step_spec.reserved());
        if !missed.iter().any(|other| other.fits(need)) {
            missed.push(need);
        }
    }

    /// Whether a step is passed over: one of its kind that needs no more of any resource did not fit, or many did not and it
    /// does not need less than all of them.
    pub(super) fn covers(&self, service: &str, step_spec: &StepSpec) -> bool {
        let Some(missed) = self.0.get(&Self::kind(service, step_spec)) else { return false };
        let need = step_spec.reserved();
        let is_many = missed.len() >= MAX_CONSECUTIVE_MISSES;
        missed.iter().any(|other| other.fits(need))
            || (is_many && !missed.iter().all(|other| need.fits(*other)))
    }
}
