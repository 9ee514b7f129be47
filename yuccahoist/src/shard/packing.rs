//! Choice of workers for the tasks of a step.
//!
//! Gangs of large tasks must still fit into a fleet that is four fifths full. A single task therefore goes to the
//! worker with the least resources left over, which keeps large free blocks whole, and a gang goes to the workers that
//! it fills best.

use std::sync::Arc;

use crate::shard::id::WorkerIncarnation;
use crate::unit::Resources;

/// Free resources of a worker that may run tasks of one step.
#[derive(Debug, Clone)]
pub struct FreeCapacity {
    /// Worker incarnation.
    pub incarnation: WorkerIncarnation,
    /// Resources that no run uses.
    pub free: Resources,
    /// Rack, if the worker names one.
    pub rack: Option<Arc<str>>,
    /// Further tasks of the step that its limit per worker allows.
    pub max_tasks: u32,
    /// Whether the worker is on the rack of the step's data; true for a step without one.
    pub is_data_local: bool,
    /// Whether the worker failed recently; it is chosen only after all others.
    pub recently_failed: bool,
}

/// Returns how many tasks that need `resources` each the worker can take.
#[must_use]
pub fn fitting_tasks(resources: Resources, capacity: &FreeCapacity) -> u32 {
    crate::placement::policy::fitting_tasks(resources, capacity.free).min(capacity.max_tasks)
}

/// Free resources after placing a task that needs `resources`, as one number: thousandths of a core plus a quarter of the memory.
fn leftover(resources: Resources, capacity: &FreeCapacity) -> u64 {
    capacity.free.cpu.0.saturating_sub(resources.cpu.0)
        + capacity.free.memory.0.saturating_sub(resources.memory.0) / 4
}

/// Chooses the worker for one task, as an index into `capacities`.
#[must_use]
pub fn place_single(resources: Resources, capacities: &[FreeCapacity]) -> Option<usize> {
    let fits = capacities.iter().enumerate().filter(|(_, capacity)| fitting_tasks(resources, capacity) > 0);
    fits.min_by_key(|(_, capacity)| {
        (!capacity.is_data_local, capacity.recently_failed, leftover(resources, capacity))
    })
    .map(|(index, _)| index)
}

/// Chooses the workers for `count` tasks that run together, as indexes into `capacities`; `None` when they do not all
/// fit.
///
/// With `single_rack`, the gang goes to a single rack if one can hold it, else to several.
#[must_use]
pub fn place_gang(
    resources: Resources,
    count: u32,
    single_rack: bool,
    capacities: &[FreeCapacity],
) -> Option<Vec<usize>> {
    let all: Vec<usize> = (0..capacities.len()).collect();
    if single_rack {
        let mut racks: Vec<&Option<Arc<str>>> = capacities.iter().map(|c| &c.rack).collect();
        racks.sort();
        racks.dedup();
        let in_rack = |rack: &Option<Arc<str>>| -> Vec<usize> {
            all.iter().copied().filter(|i| capacities[*i].rack == *rack).collect()
        };
        let chosen = racks
            .into_iter()
            .filter_map(|rack| fill_workers(resources, count, &in_rack(rack), capacities))
            .next();
        if chosen.is_some() {
            return chosen;
        }
    }
    fill_workers(resources, count, &all, capacities)
}

/// Places `count` tasks on the workers `candidates`, each filled before the next; `None` when they do not all fit.
fn fill_workers(
    resources: Resources,
    count: u32,
    candidates: &[usize],
    capacities: &[FreeCapacity],
) -> Option<Vec<usize>> {
    let mut order: Vec<(usize, u32)> = candidates
        .iter()
        .map(|i| (*i, fitting_tasks(resources, &capacities[*i])))
        .filter(|(_, n)| *n > 0)
        .collect();
    // The workers that the gang leaves with the least unused resources go first.
    order.sort_by_key(|(index, n)| {
        let capacity = &capacities[*index];
        (capacity.recently_failed, !capacity.is_data_local, leftover(resources.times(*n), capacity))
    });
    let mut chosen = Vec::with_capacity(count as usize);
    for (index, n) in order {
        let remaining = count - u32::try_from(chosen.len()).unwrap_or(u32::MAX);
        chosen.extend(std::iter::repeat_n(index, n.min(remaining) as usize));
        if chosen.len() == count as usize {
            return Some(chosen);
        }
    }
    None
}
