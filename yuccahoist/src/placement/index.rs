//! Workers indexed by free capacity.
//!
//! Workers are grouped in cells of similar free processors, memory and accelerators. The number of cells does not grow
//! with the number of workers, and a query looks at a few workers of each cell only.

use std::collections::{BTreeMap, BTreeSet};

use super::message::WorkerSpec;
use crate::id::{ShardId, WorkerId, ZoneId};
use crate::unit::Resources;

/// Workers that a query looks at in each cell.
const CELL_SAMPLE: usize = 4;

/// Position of a worker in a [`WorkerIndex`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Slot(pub usize);

/// Worker with its free capacity.
#[derive(Debug, Clone)]
pub struct Entry {
    /// Worker.
    pub spec: WorkerSpec,
    /// Free capacity.
    pub free: Resources,
    /// Whether new tasks may be placed on it.
    pub open: bool,
}

impl Entry {
    /// Whether `need` can be placed.
    #[must_use]
    pub fn takes(&self, need: Resources) -> bool {
        self.open && need.fits(self.free)
    }
}

/// Cell of similar free capacity: accelerators, then logarithms of processors and memory.
type Cell = (u32, u32, u32);

/// Workers indexed by free capacity.
#[derive(Debug, Clone, Default)]
pub struct WorkerIndex {
    entries: Vec<Entry>,
    names: BTreeMap<WorkerId, Slot>,
    cells: BTreeMap<Cell, BTreeSet<(u64, Slot)>>,
    racks: BTreeMap<ShardId, BTreeSet<(u64, Slot)>>,
    loads: BTreeMap<ZoneId, BTreeSet<(u64, ShardId)>>,
    used: BTreeMap<ShardId, (u64, u64)>,
}

impl WorkerIndex {
    /// Adds a worker that takes no task until [`Self::set`] opens it.
    pub fn insert(&mut self, spec: WorkerSpec) -> Slot {
        if let Some(slot) = self.names.get(&spec.worker) {
            return *slot;
        }
        let slot = Slot(self.entries.len());
        self.names.insert(spec.worker.clone(), slot);
        self.racks.entry(spec.shard.clone()).or_default();
        self.entries.push(Entry { free: spec.capacity, spec, open: false });
        slot
    }

    /// All workers in the order of their insertion.
    #[must_use]
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// Position of a worker.
    #[must_use]
    pub fn slot(&self, worker: &WorkerId) -> Option<Slot> {
        self.names.get(worker).copied()
    }

    /// Worker at a position.
    #[must_use]
    pub fn entry(&self, slot: Slot) -> &Entry {
        &self.entries[slot.0]
    }

    /// Sets free capacity and whether tasks may be placed.
    pub fn set(&mut self, slot: Slot, free: Resources, open: bool) {
        let entry = &self.entries[slot.0];
        if entry.free == free && entry.open == open {
            return;
        }
        if entry.open {
            self.unlink(slot);
        }
        let entry = &mut self.entries[slot.0];
        entry.free = free;
        entry.open = open;
        if open {
            self.link(slot);
        }
    }

    fn link(&mut self, slot: Slot) {
        let Entry { spec, free, .. } = &self.entries[slot.0];
        self.cells.entry(cell(*free)).or_default().insert((free.cpu.0, slot));
        self.racks.entry(spec.shard.clone()).or_default().insert((free.cpu.0, slot));
        let (shard, zone) = (spec.shard.clone(), spec.zone.clone());
        let (free, capacity) = (free.cpu.0, spec.capacity.cpu.0);
        self.reload(&shard, &zone, |load| (load.0 + free, load.1 + capacity));
    }

    fn unlink(&mut self, slot: Slot) {
        let Entry { spec, free, .. } = &self.entries[slot.0];
        let key = cell(*free);
        if let Some(set) = self.cells.get_mut(&key) {
            set.remove(&(free.cpu.0, slot));
            if set.is_empty() {
                self.cells.remove(&key);
            }
        }
        if let Some(set) = self.racks.get_mut(&spec.shard) {
            set.remove(&(free.cpu.0, slot));
        }
        let (shard, zone) = (spec.shard.clone(), spec.zone.clone());
        let (free, capacity) = (free.cpu.0, spec.capacity.cpu.0);
        self.reload(&shard, &zone, |load| (load.0 - free, load.1 - capacity));
    }

    fn reload(&mut self, shard: &ShardId, zone: &ZoneId, change: impl Fn((u64, u64)) -> (u64, u64)) {
        let before = self.used.get(shard).copied().unwrap_or_default();
        let after = change(before);
        let loads = self.loads.entry(zone.clone()).or_default();
        loads.remove(&(load_of(before), shard.clone()));
        if after.1 == 0 {
            self.used.remove(shard);
        } else {
            loads.insert((load_of(after), shard.clone()));
            self.used.insert(shard.clone(), after);
        }
    }

    /// Workers that take `need`: the ones with least free processors of each cell, without accelerators first.
    pub fn fitting<'a>(
        &'a self,
        need: Resources,
        avoid: &'a BTreeSet<WorkerId>,
    ) -> impl Iterator<Item = (Slot, &'a Entry)> {
        let low = cell(need);
        self.cells.range((low.0, 0, 0)..).filter(move |(key, _)| key.1 >= low.1 && key.2 >= low.2).flat_map(
            move |(_, set)| {
                set.iter()
                    .map(|(_, slot)| (*slot, &self.entries[slot.0]))
                    .filter(move |(_, entry)| entry.takes(need) && !avoid.contains(&entry.spec.worker))
                    .take(CELL_SAMPLE)
            },
        )
    }

    /// Zones with their racks, least loaded first.
    #[must_use]
    pub fn zones(&self) -> &BTreeMap<ZoneId, BTreeSet<(u64, ShardId)>> {
        &self.loads
    }

    /// Workers of a rack that take `need`, with most free processors first.
    pub fn rack(&self, shard: &ShardId, need: Resources) -> impl Iterator<Item = (Slot, &Entry)> {
        self.racks
            .get(shard)
            .into_iter()
            .flat_map(|set| set.iter().rev())
            .map(|(_, slot)| (*slot, &self.entries[slot.0]))
            .filter(move |(_, entry)| entry.takes(need))
    }

    /// Racks.
    pub fn racks(&self) -> impl Iterator<Item = &ShardId> {
        self.racks.keys()
    }
}

/// Used part of a rack's processors, thousandths.
fn load_of((free, capacity): (u64, u64)) -> u64 {
    (capacity - free) * 1_000 / capacity.max(1)
}

fn cell(free: Resources) -> Cell {
    (free.accelerators.0, step(free.cpu.0), step(free.memory.0))
}

/// Twice the binary logarithm, so that sizes in a step differ by less than a factor of 1.5.
fn step(size: u64) -> u32 {
    if size < 2 {
        return u32::try_from(size).unwrap_or_default();
    }
    let log = size.ilog2();
    let half = (size >> (log - 1)) & 1;
    2 * log + u32::try_from(half).unwrap_or_default()
}
