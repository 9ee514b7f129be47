//! Tasks of a step that a scheduling pass places: those that are bound to a worker, those under suspicion, and the others.

use super::pins::Binding;
use crate::shard::id::WorkerIncarnation;
use crate::shard::job::{Step, Task};
use crate::shard::spec::StepSpec;

/// Tasks of a step that are placed in a pass.
#[derive(Debug, Default)]
pub(super) struct PendingTasks {
    /// Tasks that are bound to a worker, each with its incarnation.
    pub(super) pinned: Vec<(u32, WorkerIncarnation)>,
    /// Tasks under suspicion; at most one that may crash its worker at the start, unless they are a gang.
    pub(super) suspects: Vec<u32>,
    /// Other tasks.
    pub(super) unsuspected: Vec<u32>,
    /// Whether tasks under suspicion, or bound to a worker that they wait for, are left out of this pass.
    pub(super) on_hold: bool,
}

impl PendingTasks {
    /// Selects the tasks; `admits_suspects` is whether one that may crash its worker at the start may start now.
    pub(super) fn new(step: &Step, step_spec: &StepSpec, admits_suspects: bool) -> Self {
        let unplaced = (0u32..).zip(&step.tasks).filter(|(_, t)| !t.done && t.placement.is_none());
        let (suspects, unsuspected): (Vec<_>, Vec<_>) =
            unplaced.partition(|(_, task)| task.losses.probation().is_some());
        let indexes = |tasks: Vec<(u32, &Task)>| tasks.into_iter().map(|(index, _)| index).collect();
        let mut pending =
            Self { suspects: indexes(suspects), unsuspected: indexes(unsuspected), ..Self::default() };
        let is_limited = |index: &u32| step.tasks[*index as usize].losses.may_crash_at_start();
        let limited = pending.suspects.iter().filter(|index| is_limited(index)).count();
        let admitted = if admits_suspects && step_spec.gang { limited } else { usize::from(admits_suspects) };
        pending.on_hold = limited > admitted;
        if pending.on_hold && step_spec.gang {
            return Self { on_hold: true, ..Self::default() };
        }
        let mut left = admitted;
        pending.suspects.retain(|index| {
            let keep = !is_limited(index) || left > 0;
            left -= usize::from(keep && is_limited(index));
            keep
        });
        pending
    }

    /// Sets the tasks apart that are bound to a worker, and leaves out those that wait for it. A gang waits as a whole.
    pub(super) fn bind(&mut self, is_gang: bool, binding: impl Fn(u32) -> Option<Binding>) {
        let Self { pinned, suspects, unsuspected, .. } = self;
        let mut waits = false;
        for tasks in [suspects, unsuspected] {
            tasks.retain(|index| {
                match binding(*index) {
                    None => return true,
                    Some(Binding::Worker(incarnation)) => pinned.push((*index, incarnation)),
                    Some(Binding::Awaited) => waits = true,
                }
                false
            });
        }
        if waits && is_gang {
            *self = Self { on_hold: true, ..Self::default() };
        }
        self.on_hold |= waits;
    }

    pub(super) fn count(&self) -> usize {
        self.pinned.len() + self.suspects.len() + self.unsuspected.len()
    }

    /// Keeps the first `count` tasks; returns whether there were more.
    pub(super) fn truncate(&mut self, count: usize) -> bool {
        let is_longer = self.count() > count;
        self.pinned.truncate(count);
        self.suspects.truncate(count - self.pinned.len());
        self.unsuspected.truncate(count - self.pinned.len() - self.suspects.len());
        is_longer
    }
}
