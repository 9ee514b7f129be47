//! Placement policies, which choose a worker for a task.
//!
//! [`Packing`] is the policy of the shard owner. The others are baselines for benchmarks.

use std::collections::BTreeMap;
use std::fmt;

use rand::{Rng, RngExt};

use super::index::{Slot, WorkerEntry, WorkerIndex};
use crate::id::{ShardId, WorkerId, ZoneId};
use crate::job::{JobKind, TaskRequest};
use crate::unit::Resources;

/// Result of a placement policy.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Choice {
    /// Best worker; none when no worker has room.
    pub chosen: Option<Slot>,
    /// Second best worker, for the decision log; none when the policy does not rank workers or only one has room.
    pub runner_up: Option<Slot>,
}

/// Placed tasks of one job, counted by location; a service is spread according to them.
#[derive(Debug, Clone, Default)]
pub struct JobPlacement {
    /// Tasks per rack; a rack without tasks is absent.
    pub racks: BTreeMap<ShardId, u32>,
    /// Tasks per zone; a zone without tasks is absent.
    pub zones: BTreeMap<ZoneId, u32>,
    /// Tasks per worker; a worker without tasks is absent.
    pub workers: BTreeMap<WorkerId, u32>,
}

impl JobPlacement {
    /// Counts one more task on a worker, its rack and its zone.
    pub fn add(&mut self, entry: &WorkerEntry) {
        *self.racks.entry(entry.spec.shard.clone()).or_default() += 1;
        *self.zones.entry(entry.spec.zone.clone()).or_default() += 1;
        *self.workers.entry(entry.spec.worker.clone()).or_default() += 1;
    }
}

/// Chooses workers for tasks and racks for gangs.
pub trait PlacementPolicy: fmt::Debug + Send {
    /// Chooses a worker for `request` among those that have room and that it does not avoid.
    fn choose(
        &self,
        request: &TaskRequest,
        job_placement: &JobPlacement,
        index: &WorkerIndex,
        rng: &mut dyn Rng,
    ) -> Choice;

    /// Returns the racks in the order in which a gang of `count` tasks should use them, with the tasks that fit each.
    fn gang_racks(&self, request: &TaskRequest, count: u32, index: &WorkerIndex) -> Vec<(ShardId, u32)> {
        let mut racks: Vec<_> = index
            .racks()
            .map(|rack| {
                let room = index
                    .rack(rack, request.resources)
                    .map(|(_, e)| fitting_tasks(request.resources, e.free));
                (room.sum::<u32>(), rack.clone())
            })
            .filter(|(room, _)| *room > 0)
            .collect();
        // The smallest rack with room for the whole gang comes first; without one, the rack with the most room.
        racks.sort_by_key(|(room, rack)| {
            let fits_gang = *room >= count;
            (!fits_gang, if fits_gang { i64::from(*room) } else { -i64::from(*room) }, rack.clone())
        });
        racks.into_iter().map(|(room, rack)| (rack, room)).collect()
    }
}

/// Returns the number of tasks of size `need` that fit into `free`; a resource that is not needed sets no limit.
#[must_use]
pub fn fitting_tasks(need: Resources, free: Resources) -> u32 {
    let fits = |need: u64, free: u64| free.checked_div(need).unwrap_or(u64::from(u32::MAX));
    let count = fits(need.cpu.0, free.cpu.0)
        .min(fits(need.memory.0, free.memory.0))
        .min(fits(u64::from(need.accelerators.0), u64::from(free.accelerators.0)));
    u32::try_from(count).unwrap_or(u32::MAX)
}

/// Spreads services over zones, racks and workers, and packs batch and gang work by best fit.
#[derive(Debug, Clone, Copy, Default)]
pub struct Packing;

impl Packing {
    fn spread(request: &TaskRequest, job_placement: &JobPlacement, index: &WorkerIndex) -> Choice {
        if index.candidates(request.resources, &request.avoid).next().is_none() {
            return Choice::default();
        }
        let mut zones: Vec<_> =
            index.zones().iter().map(|(zone, racks)| (job_placement.zones.get(zone), racks)).collect();
        zones.sort_by_key(|(count, _)| count.copied().unwrap_or_default());
        let mut best: Option<((u32, u32, u32, u64), Slot)> = None;
        let mut runner_up = None;
        for (count, racks) in zones {
            let zone_count = count.copied().unwrap_or_default();
            if best.is_some_and(|(key, _)| key.0 < zone_count) {
                break;
            }
            for (_, rack) in racks {
                let rack_count = job_placement.racks.get(rack).copied().unwrap_or_default();
                if best.is_some_and(|(key, _)| key < (zone_count, rack_count, 0, 0)) {
                    continue;
                }
                for (slot, entry) in index.rack(rack, request.resources) {
                    if request.avoid.contains(&entry.spec.worker) {
                        continue;
                    }
                    let on_worker =
                        job_placement.workers.get(&entry.spec.worker).copied().unwrap_or_default();
                    // A task without accelerators gets an accelerator worker only if no other of the rack has room.
                    let penalty = u32::from(wastes_accelerators(request.resources, entry)) << 16;
                    let key = (
                        zone_count,
                        rack_count,
                        on_worker + penalty,
                        leftover_permille(request.resources, entry),
                    );
                    if best.is_none_or(|(other, _)| key < other) {
                        runner_up = best.map(|(_, slot)| slot);
                        best = Some((key, slot));
                    }
                }
                if best.is_some_and(|(key, _)| (key.0, key.1, key.2) == (zone_count, 0, 0)) {
                    break;
                }
            }
        }
        Choice { chosen: best.map(|(_, slot)| slot), runner_up }
    }
}

/// Whether the worker has accelerators and the task uses none.
fn wastes_accelerators(need: Resources, entry: &WorkerEntry) -> bool {
    need.accelerators.0 == 0 && entry.spec.capacity.accelerators.0 > 0
}

/// Returns how much of the task's dominant resource stays free, in thousandths of the capacity; lower is a better fit.
fn leftover_permille(need: Resources, entry: &WorkerEntry) -> u64 {
    let (free, capacity) = (entry.free, entry.spec.capacity);
    let permille = |size: u64, capacity: u64| size * 1_000 / capacity.max(1);
    if permille(need.cpu.0, capacity.cpu.0) >= permille(need.memory.0, capacity.memory.0) {
        permille(free.cpu.0 - need.cpu.0, capacity.cpu.0)
    } else {
        permille(free.memory.0 - need.memory.0, capacity.memory.0)
    }
}

fn best_fit<'a>(request: &TaskRequest, entries: impl Iterator<Item = (Slot, &'a WorkerEntry)>) -> Choice {
    let mut best: Option<((bool, u64, Slot), Slot)> = None;
    let mut runner_up = None;
    for (slot, entry) in entries {
        if request.avoid.contains(&entry.spec.worker) {
            continue;
        }
        let key = (
            wastes_accelerators(request.resources, entry),
            leftover_permille(request.resources, entry),
            slot,
        );
        if best.is_none_or(|(other, _)| key < other) {
            runner_up = best.map(|(_, slot)| slot);
            best = Some((key, slot));
        }
    }
    Choice { chosen: best.map(|(_, slot)| slot), runner_up }
}

impl PlacementPolicy for Packing {
    fn choose(
        &self,
        request: &TaskRequest,
        job_placement: &JobPlacement,
        index: &WorkerIndex,
        _: &mut dyn Rng,
    ) -> Choice {
        match request.kind {
            JobKind::Service => Self::spread(request, job_placement, index),
            JobKind::Batch | JobKind::Gang => {
                best_fit(request, index.candidates(request.resources, &request.avoid))
            }
        }
    }
}

/// Chooses the first worker in index order that has room.
#[derive(Debug, Clone, Copy, Default)]
pub struct FirstFit;

impl PlacementPolicy for FirstFit {
    fn choose(
        &self,
        request: &TaskRequest,
        _: &JobPlacement,
        index: &WorkerIndex,
        _: &mut dyn Rng,
    ) -> Choice {
        let chosen = index.entries().iter().position(|entry| is_candidate(request, entry)).map(Slot);
        Choice { chosen, runner_up: None }
    }

    fn gang_racks(&self, request: &TaskRequest, _: u32, index: &WorkerIndex) -> Vec<(ShardId, u32)> {
        racks_with_room(request, index)
    }
}

/// Chooses a random worker that has room.
#[derive(Debug, Clone, Copy, Default)]
pub struct RandomFit;

impl PlacementPolicy for RandomFit {
    fn choose(
        &self,
        request: &TaskRequest,
        _: &JobPlacement,
        index: &WorkerIndex,
        rng: &mut dyn Rng,
    ) -> Choice {
        let count = index.entries().len();
        if count == 0 {
            return Choice::default();
        }
        let start = rng.random_range(0..count);
        let chosen = (0..count)
            .map(|offset| (start + offset) % count)
            .find(|position| is_candidate(request, &index.entries()[*position]))
            .map(Slot);
        Choice { chosen, runner_up: None }
    }

    fn gang_racks(&self, request: &TaskRequest, _: u32, index: &WorkerIndex) -> Vec<(ShardId, u32)> {
        racks_with_room(request, index)
    }
}

/// Chooses the best fit by a scan of all workers, without the buckets of the index.
#[derive(Debug, Clone, Copy, Default)]
pub struct LinearScan;

impl PlacementPolicy for LinearScan {
    fn choose(
        &self,
        request: &TaskRequest,
        _: &JobPlacement,
        index: &WorkerIndex,
        _: &mut dyn Rng,
    ) -> Choice {
        let entries = index.entries().iter().enumerate().map(|(i, entry)| (Slot(i), entry));
        best_fit(request, entries.filter(|(_, entry)| entry.has_room_for(request.resources)))
    }
}

fn is_candidate(request: &TaskRequest, entry: &WorkerEntry) -> bool {
    entry.has_room_for(request.resources) && !request.avoid.contains(&entry.spec.worker)
}

fn racks_with_room(request: &TaskRequest, index: &WorkerIndex) -> Vec<(ShardId, u32)> {
    let room = |rack: &ShardId| {
        index
            .rack(rack, request.resources)
            .map(|(_, e)| fitting_tasks(request.resources, e.free))
            .sum::<u32>()
    };
    index.racks().map(|rack| (rack.clone(), room(rack))).filter(|(_, room)| *room > 0).collect()
}
