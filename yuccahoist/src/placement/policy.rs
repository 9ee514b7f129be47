//! Choice of a worker for a task.
//!
//! [`Packing`] is the policy in use. The others are baselines for the experiments.

use std::collections::BTreeMap;
use std::fmt;

use rand::{Rng, RngExt};

use super::index::{Entry, Slot, WorkerIndex};
use crate::id::{ShardId, WorkerId, ZoneId};
use crate::job::{JobKind, TaskOrder};
use crate::unit::Resources;

/// Chosen worker and the next best.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Choice {
    /// Worker; none when no worker has room.
    pub chosen: Option<Slot>,
    /// Second best worker, if any.
    pub runner_up: Option<Slot>,
}

/// Tasks of the same job that are placed already.
#[derive(Debug, Clone, Default)]
pub struct Siblings {
    /// Tasks per rack.
    pub racks: BTreeMap<ShardId, u32>,
    /// Tasks per zone.
    pub zones: BTreeMap<ZoneId, u32>,
    /// Tasks per worker.
    pub workers: BTreeMap<WorkerId, u32>,
}

impl Siblings {
    /// Counts a task on a worker.
    pub fn add(&mut self, entry: &Entry) {
        *self.racks.entry(entry.spec.shard.clone()).or_default() += 1;
        *self.zones.entry(entry.spec.zone.clone()).or_default() += 1;
        *self.workers.entry(entry.spec.worker.clone()).or_default() += 1;
    }
}

/// Choice of a worker for a task.
pub trait PlacementPolicy: fmt::Debug + Send {
    /// Worker for `order` among those that have room.
    fn choose(
        &self,
        order: &TaskOrder,
        siblings: &Siblings,
        index: &WorkerIndex,
        rng: &mut dyn Rng,
    ) -> Choice;

    /// Racks in the order in which a gang of `count` tasks should take them, with the tasks that fit in each.
    fn gang_racks(&self, order: &TaskOrder, count: u32, index: &WorkerIndex) -> Vec<(ShardId, u32)> {
        let mut racks: Vec<_> = index
            .racks()
            .map(|rack| {
                let room = index.rack(rack, order.resources).map(|(_, e)| copies(order.resources, e.free));
                (room.sum::<u32>(), rack.clone())
            })
            .filter(|(room, _)| *room > 0)
            .collect();
        // The smallest rack that takes the whole gang comes first; without one, the largest racks do.
        racks.sort_by_key(|(room, rack)| {
            let whole = *room >= count;
            (!whole, if whole { i64::from(*room) } else { -i64::from(*room) }, rack.clone())
        });
        racks.into_iter().map(|(room, rack)| (rack, room)).collect()
    }
}

/// Number of tasks of size `need` that fit into `free`.
#[must_use]
pub fn copies(need: Resources, free: Resources) -> u32 {
    let part = |need: u64, free: u64| free.checked_div(need).unwrap_or(u64::from(u32::MAX));
    let count = part(need.cpu.0, free.cpu.0)
        .min(part(need.memory.0, free.memory.0))
        .min(part(u64::from(need.accelerators.0), u64::from(free.accelerators.0)));
    u32::try_from(count).unwrap_or(u32::MAX)
}

/// Services spread over zones, racks and workers; batch and gang work packs by best fit.
#[derive(Debug, Clone, Copy, Default)]
pub struct Packing;

impl Packing {
    fn spread(order: &TaskOrder, siblings: &Siblings, index: &WorkerIndex) -> Choice {
        if index.fitting(order.resources, &order.avoid).next().is_none() {
            return Choice::default();
        }
        let mut zones: Vec<_> =
            index.zones().iter().map(|(zone, racks)| (siblings.zones.get(zone), racks)).collect();
        zones.sort_by_key(|(count, _)| count.copied().unwrap_or_default());
        let mut best: Option<((u32, u32, u32, u64), Slot)> = None;
        let mut runner_up = None;
        for (zone, racks) in zones {
            let zone = zone.copied().unwrap_or_default();
            if best.is_some_and(|(key, _)| key.0 < zone) {
                break;
            }
            for (_, rack) in racks {
                let rack_count = siblings.racks.get(rack).copied().unwrap_or_default();
                if best.is_some_and(|(key, _)| key < (zone, rack_count, 0, 0)) {
                    continue;
                }
                for (slot, entry) in index.rack(rack, order.resources) {
                    if order.avoid.contains(&entry.spec.worker) {
                        continue;
                    }
                    let on_worker = siblings.workers.get(&entry.spec.worker).copied().unwrap_or_default();
                    // An accelerator worker counts as worse than any other of the rack for work that needs none.
                    let wasted = u32::from(wastes(order.resources, entry)) << 16;
                    let key = (zone, rack_count, on_worker + wasted, leftover(order.resources, entry));
                    if best.is_none_or(|(other, _)| key < other) {
                        runner_up = best.map(|(_, slot)| slot);
                        best = Some((key, slot));
                    }
                }
                if best.is_some_and(|(key, _)| (key.0, key.1, key.2) == (zone, 0, 0)) {
                    break;
                }
            }
        }
        Choice { chosen: best.map(|(_, slot)| slot), runner_up }
    }
}

/// Whether a task would occupy a worker with accelerators without using one.
fn wastes(need: Resources, entry: &Entry) -> bool {
    need.accelerators.0 == 0 && entry.spec.capacity.accelerators.0 > 0
}

/// What stays free of the task's dominant resource, thousandths of the capacity; lower is the better fit.
fn leftover(need: Resources, entry: &Entry) -> u64 {
    let (free, capacity) = (entry.free, entry.spec.capacity);
    let part = |size: u64, capacity: u64| size * 1_000 / capacity.max(1);
    if part(need.cpu.0, capacity.cpu.0) >= part(need.memory.0, capacity.memory.0) {
        part(free.cpu.0 - need.cpu.0, capacity.cpu.0)
    } else {
        part(free.memory.0 - need.memory.0, capacity.memory.0)
    }
}

fn best_fit<'a>(order: &TaskOrder, entries: impl Iterator<Item = (Slot, &'a Entry)>) -> Choice {
    let mut best: Option<((bool, u64, Slot), Slot)> = None;
    let mut runner_up = None;
    for (slot, entry) in entries {
        if order.avoid.contains(&entry.spec.worker) {
            continue;
        }
        let key = (wastes(order.resources, entry), leftover(order.resources, entry), slot);
        if best.is_none_or(|(other, _)| key < other) {
            runner_up = best.map(|(_, slot)| slot);
            best = Some((key, slot));
        }
    }
    Choice { chosen: best.map(|(_, slot)| slot), runner_up }
}

impl PlacementPolicy for Packing {
    fn choose(&self, order: &TaskOrder, siblings: &Siblings, index: &WorkerIndex, _: &mut dyn Rng) -> Choice {
        match order.kind {
            JobKind::Service => Self::spread(order, siblings, index),
            JobKind::Batch | JobKind::Gang => best_fit(order, index.fitting(order.resources, &order.avoid)),
        }
    }
}

/// First worker in order that has room.
#[derive(Debug, Clone, Copy, Default)]
pub struct FirstFit;

impl PlacementPolicy for FirstFit {
    fn choose(&self, order: &TaskOrder, _: &Siblings, index: &WorkerIndex, _: &mut dyn Rng) -> Choice {
        let chosen = index.entries().iter().position(|entry| accepts(order, entry)).map(Slot);
        Choice { chosen, runner_up: None }
    }

    fn gang_racks(&self, order: &TaskOrder, _: u32, index: &WorkerIndex) -> Vec<(ShardId, u32)> {
        rack_order(order, index)
    }
}

/// Random worker that has room.
#[derive(Debug, Clone, Copy, Default)]
pub struct RandomFit;

impl PlacementPolicy for RandomFit {
    fn choose(&self, order: &TaskOrder, _: &Siblings, index: &WorkerIndex, rng: &mut dyn Rng) -> Choice {
        let count = index.entries().len();
        if count == 0 {
            return Choice::default();
        }
        let start = rng.random_range(0..count);
        let chosen = (0..count)
            .map(|step| (start + step) % count)
            .find(|position| accepts(order, &index.entries()[*position]))
            .map(Slot);
        Choice { chosen, runner_up: None }
    }

    fn gang_racks(&self, order: &TaskOrder, _: u32, index: &WorkerIndex) -> Vec<(ShardId, u32)> {
        rack_order(order, index)
    }
}

/// Best fit by a scan of all workers.
#[derive(Debug, Clone, Copy, Default)]
pub struct LinearScan;

impl PlacementPolicy for LinearScan {
    fn choose(&self, order: &TaskOrder, _: &Siblings, index: &WorkerIndex, _: &mut dyn Rng) -> Choice {
        let open = index.entries().iter().enumerate().map(|(i, entry)| (Slot(i), entry));
        best_fit(order, open.filter(|(_, entry)| entry.takes(order.resources)))
    }
}

fn accepts(order: &TaskOrder, entry: &Entry) -> bool {
    entry.takes(order.resources) && !order.avoid.contains(&entry.spec.worker)
}

fn rack_order(order: &TaskOrder, index: &WorkerIndex) -> Vec<(ShardId, u32)> {
    let room = |rack: &ShardId| {
        index.rack(rack, order.resources).map(|(_, e)| copies(order.resources, e.free)).sum::<u32>()
    };
    index.racks().map(|rack| (rack.clone(), room(rack))).filter(|(_, room)| *room > 0).collect()
}
