//! Workers indexed by free capacity.
//!
//! Workers are grouped into buckets of similar free processors, memory and accelerators. The number of buckets does not
//! grow with the number of workers, and a query looks at a few workers of each bucket only.

use std::collections::{BTreeMap, BTreeSet};

use super::message::WorkerSpec;
use crate::id::{ShardId, WorkerId, ZoneId};
use crate::unit::Resources;

/// Candidates that a query returns from each bucket at most; bounds the cost of a query.
const CANDIDATES_PER_BUCKET: usize = 4;

/// Position of a worker in a [`WorkerIndex`], counted from zero; stays valid as long as the index.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Slot(pub usize);

/// Worker with its free capacity.
#[derive(Debug, Clone)]
pub struct WorkerEntry {
    /// Identity, location and total capacity.
    pub spec: WorkerSpec,
    /// Capacity that is neither reserved nor charged to tasks.
    pub free: Resources,
    /// Whether new tasks may be placed on the worker; set by [`WorkerIndex::update`].
    pub schedulable: bool,
}

impl WorkerEntry {
    /// Whether new tasks may be placed on the worker and `need` fits its free capacity.
    #[must_use]
    pub fn has_room_for(&self, need: Resources) -> bool {
        self.schedulable && need.fits(self.free)
    }
}

/// Bucket key: number of free accelerators, then size classes of free processors and memory.
type CapacityBucket = (u32, u32, u32);

/// Workers of a shard by free capacity, rack and zone.
#[derive(Debug, Clone, Default)]
pub struct WorkerIndex {
    entries: Vec<WorkerEntry>,
    slots: BTreeMap<WorkerId, Slot>,
    buckets: BTreeMap<CapacityBucket, BTreeSet<(u64, Slot)>>,
    /// Schedulable workers of each rack by free processors.
    racks: BTreeMap<ShardId, BTreeSet<(u64, Slot)>>,
    /// Racks of each zone by load in thousandths.
    racks_by_load: BTreeMap<ZoneId, BTreeSet<(u64, ShardId)>>,
    /// Free and total processors of the schedulable workers of each rack.
    rack_capacity: BTreeMap<ShardId, (u64, u64)>,
}

impl WorkerIndex {
    /// Adds a worker, on which no task is placed until [`Self::update`] allows it; returns the slot of a known worker.
    pub fn insert(&mut self, spec: WorkerSpec) -> Slot {
        if let Some(slot) = self.slots.get(&spec.worker) {
            return *slot;
        }
        let slot = Slot(self.entries.len());
        self.slots.insert(spec.worker.clone(), slot);
        self.racks.entry(spec.shard.clone()).or_default();
        self.entries.push(WorkerEntry { free: spec.capacity, spec, schedulable: false });
        slot
    }

    /// Returns all workers in the order of insertion, which is also the order of their slots.
    #[must_use]
    pub fn entries(&self) -> &[WorkerEntry] {
        &self.entries
    }

    /// Returns the position of a worker; none if it was not inserted.
    #[must_use]
    pub fn slot(&self, worker: &WorkerId) -> Option<Slot> {
        self.slots.get(worker).copied()
    }

    /// Returns the worker at a position.
    ///
    /// # Panics
    ///
    /// Panics if no worker has this position.
    #[must_use]
    pub fn entry(&self, slot: Slot) -> &WorkerEntry {
        &self.entries[slot.0]
    }

    /// Updates the free capacity of a worker and whether new tasks may be placed on it.
    pub fn update(&mut self, slot: Slot, free: Resources, schedulable: bool) {
        let entry = &self.entries[slot.0];
        if entry.free == free && entry.schedulable == schedulable {
            return;
        }
        if entry.schedulable {
            self.remove_from_sets(slot);
        }
        let entry = &mut self.entries[slot.0];
        entry.free = free;
        entry.schedulable = schedulable;
        if schedulable {
            self.add_to_sets(slot);
        }
    }

    /// Adds a schedulable worker to its bucket, its rack and the load of the rack.
    fn add_to_sets(&mut self, slot: Slot) {
        let WorkerEntry { spec, free, .. } = &self.entries[slot.0];
        self.buckets.entry(bucket(*free)).or_default().insert((free.cpu.0, slot));
        self.racks.entry(spec.shard.clone()).or_default().insert((free.cpu.0, slot));
        let (shard, zone) = (spec.shard.clone(), spec.zone.clone());
        let (free, capacity) = (free.cpu.0, spec.capacity.cpu.0);
        self.update_rack_load(&shard, &zone, |load| (load.0 + free, load.1 + capacity));
    }

    /// Reverts [`Self::add_to_sets`]; must be called before the free capacity changes.
    fn remove_from_sets(&mut self, slot: Slot) {
        let WorkerEntry { spec, free, .. } = &self.entries[slot.0];
        let key = bucket(*free);
        if let Some(set) = self.buckets.get_mut(&key) {
            set.remove(&(free.cpu.0, slot));
            if set.is_empty() {
                self.buckets.remove(&key);
            }
        }
        if let Some(set) = self.racks.get_mut(&spec.shard) {
            set.remove(&(free.cpu.0, slot));
        }
        let (shard, zone) = (spec.shard.clone(), spec.zone.clone());
        let (free, capacity) = (free.cpu.0, spec.capacity.cpu.0);
        self.update_rack_load(&shard, &zone, |load| (load.0 - free, load.1 - capacity));
    }

    /// Changes the free and total processors of a rack, and its position among the racks of the zone.
    fn update_rack_load(
        &mut self,
        shard: &ShardId,
        zone: &ZoneId,
        change: impl Fn((u64, u64)) -> (u64, u64),
    ) {
        let before = self.rack_capacity.get(shard).copied().unwrap_or_default();
        let after = change(before);
        let loads = self.racks_by_load.entry(zone.clone()).or_default();
        loads.remove(&(load_permille(before), shard.clone()));
        if after.1 == 0 {
            self.rack_capacity.remove(shard);
        } else {
            loads.insert((load_permille(after), shard.clone()));
            self.rack_capacity.insert(shard.clone(), after);
        }
    }

    /// Returns workers that have room for `need` and are not in `avoid`: fewest free accelerators first, and from each
    /// bucket only those with the least free processors.
    pub fn candidates<'a>(
        &'a self,
        need: Resources,
        avoid: &'a BTreeSet<WorkerId>,
    ) -> impl Iterator<Item = (Slot, &'a WorkerEntry)> {
        let minimum = bucket(need);
        self.buckets
            .range((minimum.0, 0, 0)..)
            .filter(move |(key, _)| key.1 >= minimum.1 && key.2 >= minimum.2)
            .flat_map(move |(_, set)| {
                set.iter()
                    .map(|(_, slot)| (*slot, &self.entries[slot.0]))
                    .filter(move |(_, entry)| entry.has_room_for(need) && !avoid.contains(&entry.spec.worker))
                    .take(CANDIDATES_PER_BUCKET)
            })
    }

    /// Returns the racks of each zone with their load in thousandths, least loaded first.
    #[must_use]
    pub fn zones(&self) -> &BTreeMap<ZoneId, BTreeSet<(u64, ShardId)>> {
        &self.racks_by_load
    }

    /// Returns the workers of a rack that have room for `need`, most free processors first.
    pub fn rack(&self, shard: &ShardId, need: Resources) -> impl Iterator<Item = (Slot, &WorkerEntry)> {
        self.racks
            .get(shard)
            .into_iter()
            .flat_map(|set| set.iter().rev())
            .map(|(_, slot)| (*slot, &self.entries[slot.0]))
            .filter(move |(_, entry)| entry.has_room_for(need))
    }

    /// Returns all racks, also those without a schedulable worker.
    pub fn racks(&self) -> impl Iterator<Item = &ShardId> {
        self.racks.keys()
    }
}

/// Returns the used part of a rack's processors in thousandths.
fn load_permille((free, capacity): (u64, u64)) -> u64 {
    (capacity - free) * 1_000 / capacity.max(1)
}

fn bucket(free: Resources) -> CapacityBucket {
    (free.accelerators.0, size_class(free.cpu.0), size_class(free.memory.0))
}

/// Returns about twice the binary logarithm; sizes of one class differ by less than a factor of 1.5.
fn size_class(size: u64) -> u32 {
    if size < 2 {
        return u32::try_from(size).unwrap_or_default();
    }
    let exponent = size.ilog2();
    let half_step = (size >> (exponent - 1)) & 1;
    2 * exponent + u32::try_from(half_step).unwrap_or_default()
}
