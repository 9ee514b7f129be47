//! Coordinator of the partitions that this host owns.

use rand::Rng;

use super::message::{CoordinatorAction, CoordinatorEvent, JobStatus};
use crate::duty::Duty;
use crate::id::{Incarnation, JobId};
use crate::unit::Timestamp;

/// Coordinator of the partitions that this host owns.
#[derive(Debug)]
pub struct Coordinator {
    incarnation: Incarnation,
}

impl Coordinator {
    /// Coordinator that owns no partition yet.
    #[must_use]
    pub fn new(incarnation: Incarnation) -> Self {
        Self { incarnation }
    }

    /// Status of a job of an owned partition.
    #[must_use]
    pub fn status(&self, _job: &JobId) -> Option<JobStatus> {
        let _ = self.incarnation;
        None
    }
}

impl Duty for Coordinator {
    type Event = CoordinatorEvent;
    type Action = CoordinatorAction;

    fn handle(
        &mut self,
        _now: Timestamp,
        _event: CoordinatorEvent,
        _rng: &mut dyn Rng,
        _out: &mut Vec<CoordinatorAction>,
    ) {
    }
}
