//! Neighbours that slow each other down: what reports and ends show, and what placement makes of it.
//!
//! Learned pairs are hints. They start empty with each owner, and never keep a task from being placed. Members of gangs give no
//! samples, as they advance together; fillers neither, as they use what is left.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use super::Owner;
use super::observe::NO_SLOWDOWN;
use crate::shard::id::{JobKey, StepKey, TaskKey, WorkerIncarnation};
use crate::shard::interference::{KindId, KindSet, Partners, Sample, Signal};
use crate::shard::job::Job;
use crate::shard::message::ActiveRun;
use crate::shard::packing::FreeCapacity;
use crate::shard::spec::StepSpec;
use crate::shard::watch::{Reading, WatchedRun};
use crate::unit::Timestamp;

/// Speed of fillers below which they don't count as neighbours, percent; what is learned is the effect at full speed.
const MIN_FILLER_SPEED: u32 = 50;

impl Owner {
    /// Learns from a report which runs are slow beside which others.
    pub(super) fn observe_neighbours(
        &mut self,
        now: Timestamp,
        incarnation: &WorkerIncarnation,
        active: &[ActiveRun],
    ) {
        let Self { jobs, workers, interference, .. } = self;
        let Some(worker) = workers.get_mut(incarnation) else { return };
        let are_fillers_slow = worker.filler_speed() < MIN_FILLER_SPEED;
        let mut watched = Vec::with_capacity(active.len());
        for run in active {
            let Some((name, step_spec)) = kind_of(jobs, run.task.step) else { continue };
            let Some(kind) = interference.note_kind(now, name) else { continue };
            if !(step_spec.is_filler && are_fillers_slow) {
                watched.push(WatchedRun { run: (run.task, run.run), kind, percent: run.percent });
            }
        }
        let mut present = KindSet::default();
        for (task, _) in worker.runs.keys() {
            let kind = kind_of(jobs, task.step).and_then(|(name, _)| interference.id(name));
            kind.into_iter().for_each(|kind| present.insert(kind));
        }
        worker.watch.set_present(present);
        let readings = worker.watch.update(now, &watched);
        let number = worker_number(incarnation);
        for reading in readings {
            let Some(run) = active.iter().find(|r| (r.task, r.run) == reading.run) else { continue };
            for (signal, level) in self.levels(incarnation, run, &reading) {
                let Some(kind) = self.kind(run.task.step) else { continue };
                let Reading { run, neighbours, .. } = reading;
                let sample = Sample { kind, signal, run, worker: number, neighbours, level };
                self.interference.observe(now, &sample);
            }
        }
    }

    /// Returns what a reading says of a run, as natural logarithms.
    fn levels(
        &self,
        incarnation: &WorkerIncarnation,
        run: &ActiveRun,
        reading: &Reading,
    ) -> Vec<(Signal, f64)> {
        let Some((_, step_spec)) = kind_of(&self.jobs, run.task.step) else { return Vec::new() };
        // Limited to 2^53, beyond any latency or CPU usage.
        let load = run.load as f64;
        if let Some(target) = step_spec.tail_target {
            let level = (load / 1_000.0 / target.as_secs_f64()).ln();
            return Vec::from([(Signal::Tail, level)]);
        }
        let mut levels = Vec::new();
        if step_spec.gang || step_spec.is_filler || step_spec.long_running {
            return levels;
        }
        if load > 0.0 && step_spec.resources.cpu.0 > 0 {
            levels.push((Signal::Cpu, (step_spec.resources.cpu.0 as f64 / load).ln()));
        }
        let level = reading.whole.and_then(|whole| self.slowness(run.task.step, incarnation, whole));
        levels.extend(level.map(|level| (Signal::Progress, level)));
        levels
    }

    /// Returns the natural logarithm of a duration relative to what is expected on its worker; `None` where the distance of
    /// the data prolongs it by an unknown factor.
    fn slowness(&self, key: StepKey, incarnation: &WorkerIncarnation, took: Duration) -> Option<f64> {
        let (_, step_spec) = kind_of(&self.jobs, key)?;
        let is_local = self.is_data_local(step_spec, incarnation);
        let median = self.median_duration(key).filter(|m| !m.is_zero())?;
        let speed = self.learning.speeds.speed(incarnation);
        let expected = self.duration_on(median, speed, is_local, NO_SLOWDOWN);
        let is_comparable = is_local || self.options.far_factor > 1.0;
        is_comparable.then(|| (took.as_secs_f64() / expected.as_secs_f64()).ln())
    }

    /// Learns from a single run that ended `done` after `took`, before the report that has the end is taken in.
    pub(super) fn observe_neighbours_of_ended(
        &mut self,
        now: Timestamp,
        incarnation: &WorkerIncarnation,
        run: (TaskKey, u32),
        started: Timestamp,
        took: Duration,
    ) {
        let key = run.0.step;
        let Some((kind, worker)) = self.kind(key).zip(self.workers.get(incarnation)) else { return };
        let neighbours = worker.watch.neighbours_of_ended(now, started, kind);
        let Some((neighbours, level)) = neighbours.zip(self.slowness(key, incarnation, took)) else { return };
        let worker = worker_number(incarnation);
        let sample = Sample { kind, signal: Signal::Progress, run, worker, neighbours, level };
        self.interference.observe(now, &sample);
    }

    fn kind(&self, key: StepKey) -> Option<KindId> {
        kind_of(&self.jobs, key).and_then(|(name, _)| self.interference.id(name))
    }

    /// Computes some of the pairs anew.
    pub(super) fn refresh_neighbours(&mut self, now: Timestamp) {
        for change in self.interference.refresh(now) {
            let outcome = if change.is_learned { "learned" } else { "dropped" };
            log::info!(target: "decision", "neighbours pair={}/{} slowdown={} outcome={outcome}", change.disturbed, change.disturbing, change.slowdown);
        }
        self.counters.known_pairs = self.interference.pairs() as u64;
    }

    /// Returns the kinds that disturb the tasks of a step or are disturbed by them.
    pub(super) fn neighbour_partners(&self, key: StepKey) -> Partners {
        if self.interference.pairs() == 0 {
            return Partners::default();
        }
        self.kind(key).map(|kind| self.interference.partners(kind)).unwrap_or_default()
    }

    /// Returns the slowdown of a task on a worker, percent: what it suffers and what it causes.
    pub(super) fn slowdown_on(&self, partners: &Partners, incarnation: &WorkerIncarnation) -> u32 {
        if partners.is_empty() {
            return NO_SLOWDOWN;
        }
        let present = self.workers.get(incarnation).map(|w| w.watch.present()).unwrap_or_default();
        partners.slowdown(present).total()
    }

    /// Returns the slowdown that a task suffers on a worker, percent.
    pub(super) fn suffered_on(&self, key: StepKey, incarnation: &WorkerIncarnation) -> u32 {
        let present = self.workers.get(incarnation).map(|w| w.watch.present()).unwrap_or_default();
        self.neighbour_partners(key).slowdown(present).suffered
    }

    /// Notes the kind of a placed task, for placements before the next report of its worker.
    pub(super) fn note_neighbour(&mut self, key: StepKey, incarnation: &WorkerIncarnation) {
        let Some(kind) = self.kind(key) else { return };
        if let Some(worker) = self.workers.get_mut(incarnation) {
            worker.watch.add(kind);
        }
    }

    /// Whether a filler is known to disturb a serving task on its worker.
    pub(super) fn disturbs_serving(&self, filler: TaskKey, incarnation: &WorkerIncarnation) -> bool {
        let partners = self.neighbour_partners(filler.step);
        let Some(worker) = self.workers.get(incarnation).filter(|_| !partners.is_empty()) else {
            return false;
        };
        let is_disturbed = |task: &TaskKey| {
            let is_serving =
                kind_of(&self.jobs, task.step).is_some_and(|(_, step_spec)| step_spec.tail_target.is_some());
            let mut kinds = KindSet::default();
            self.kind(task.step).into_iter().for_each(|kind| kinds.insert(kind));
            is_serving && partners.slowdown(kinds).caused > 0
        };
        worker.runs.keys().any(|(task, _)| is_disturbed(task))
    }
}

/// Returns the capacities as if no neighbour disturbed, if any does.
pub(super) fn undisturbed(capacities: &[FreeCapacity]) -> Option<Vec<FreeCapacity>> {
    let is_disturbed = capacities.iter().any(|c| c.slowdown != NO_SLOWDOWN);
    let plain =
        |c: &FreeCapacity| FreeCapacity { expected: c.undisturbed(), slowdown: NO_SLOWDOWN, ..c.clone() };
    is_disturbed.then(|| capacities.iter().map(plain).collect())
}

/// Returns the name of the kind of a step's tasks, and the specification of the step.
fn kind_of(jobs: &BTreeMap<JobKey, Job>, key: StepKey) -> Option<(&str, &StepSpec)> {
    let spec = &jobs.get(&key.job)?.spec;
    let step_spec = spec.steps.get(key.step as usize)?;
    Some((step_spec.image.as_deref().unwrap_or(&spec.queue.name), step_spec))
}

/// Returns a number that stands for a worker; equal ones only make two workers count as one.
fn worker_number(incarnation: &WorkerIncarnation) -> u64 {
    let mut hasher = DefaultHasher::new();
    (&incarnation.id, incarnation.started_at).hash(&mut hasher);
    hasher.finish()
}
