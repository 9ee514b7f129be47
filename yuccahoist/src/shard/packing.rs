//! Choice of workers for the tasks of a step.
//!
//! Gangs of large tasks must still fit into a fleet that is four fifths full. A single task therefore goes to the
//! worker with the least resources left over, which keeps large free blocks whole, and a gang goes to the workers that
//! it fills best.
//!
//! Where the speeds of the workers are considered, a step goes to the slowest workers on which it certainly ends in time,
//! so that the fast ones are left to those that need them. If it ends nowhere with certainty, it goes to the fastest.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

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
    /// Expected duration of a task of the step on this worker; `None` where speeds are not considered.
    pub expected: Option<Duration>,
}

/// When the tasks of a step should end.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Goal {
    /// Time left for the tasks; `None` where speeds are not considered.
    pub time_left: Option<Duration>,
}

/// Multiple of the expected duration within which a task ends almost certainly. Estimates are off by a factor of e^0.2,
/// tasks differ by up to 30 % and the figures of workers are off by 10 to 20 %; this is twice their joint deviation.
pub const SAFE_MARGIN: f64 = 2.0;
/// Steps in a unit of the natural logarithm of a duration. Durations of one step, i.e. within a ratio of 1.25, count as equal,
/// so that the best fit still decides among workers of about one speed. This is 1 / ln(1.25).
const STEPS_PER_UNIT: f64 = 4.481_420_117_724_551;
/// Steps within which the workers of a gang count as equally fast, a ratio of 1.56; covers the error of single figures.
const GANG_STEPS: i64 = 2;

/// Expected end of a task on a worker, as far as it matters for the choice; the smallest is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Pace {
    /// Whether the task may end late.
    is_unsafe: bool,
    /// Steps of the duration: slow before fast where it is safe, else fast before slow.
    order: i64,
}

impl Goal {
    /// Returns the rank of a worker on which a task takes `expected`; all are equal where speeds are not considered.
    #[must_use]
    pub fn pace(&self, expected: Option<Duration>) -> Pace {
        let (Some(left), Some(expected)) = (self.time_left, expected) else {
            return Pace { is_unsafe: false, order: 0 };
        };
        let is_unsafe = !self.is_safe(left, expected);
        let steps = duration_steps(expected);
        Pace { is_unsafe, order: if is_unsafe { steps } else { -steps } }
    }

    /// Returns the rank of each of some workers.
    #[must_use]
    pub fn paces(&self, capacities: &[FreeCapacity]) -> Vec<Pace> {
        capacities.iter().map(|capacity| self.pace(capacity.expected)).collect()
    }

    fn is_safe(self, left: Duration, expected: Duration) -> bool {
        expected.as_secs_f64() * SAFE_MARGIN <= left.as_secs_f64()
    }
}

/// Returns a duration on a logarithmic scale.
fn duration_steps(duration: Duration) -> i64 {
    // Below 2^74 microseconds, so at most 230 steps.
    (duration.as_secs_f64().max(1e-6).ln() * STEPS_PER_UNIT).round() as i64
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
pub fn place_single(resources: Resources, goal: Goal, capacities: &[FreeCapacity]) -> Option<usize> {
    place_single_by(resources, &goal.paces(capacities), capacities)
}

/// Chooses the worker for one task like [`place_single`], given the rank of each worker by its speed.
#[must_use]
pub fn place_single_by(resources: Resources, paces: &[Pace], capacities: &[FreeCapacity]) -> Option<usize> {
    let fits = capacities.iter().enumerate().filter(|(_, capacity)| fitting_tasks(resources, capacity) > 0);
    fits.min_by_key(|(index, capacity)| {
        let pace = paces[*index];
        // Expected durations include the way to the data, which only matters by itself where there is time.
        let is_far = !capacity.is_data_local && !pace.is_unsafe;
        let is_last = capacity.recently_failed && capacity.expected.is_some();
        (is_last, pace.is_unsafe, is_far, capacity.recently_failed, pace, leftover(resources, capacity))
    })
    .map(|(index, _)| index)
}

/// Chooses the workers for `count` tasks that run together, as indexes into `capacities`; `None` when they do not all
/// fit.
///
/// With `single_rack`, the gang goes to a single rack if one can hold it, else to several. Where speeds are considered, a
/// set of workers is as fast as its slowest.
#[must_use]
pub fn place_gang(
    resources: Resources,
    count: u32,
    single_rack: bool,
    goal: Goal,
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
            .filter_map(|rack| fill_by_pace(resources, count, goal, &in_rack(rack), capacities))
            .min_by_key(|chosen| set_pace(goal, chosen, capacities));
        if chosen.is_some() {
            return chosen;
        }
    }
    fill_by_pace(resources, count, goal, &all, capacities)
}

/// Returns the rank of a set of workers for a gang.
fn set_pace(goal: Goal, chosen: &[usize], capacities: &[FreeCapacity]) -> Pace {
    goal.pace(chosen.iter().filter_map(|index| capacities[*index].expected).max())
}

/// Places `count` tasks on workers of about one speed if they fit there, on the slowest that are safely in time; else on
/// workers of several speeds.
fn fill_by_pace(
    resources: Resources,
    count: u32,
    goal: Goal,
    candidates: &[usize],
    capacities: &[FreeCapacity],
) -> Option<Vec<usize>> {
    let Some(left) = goal.time_left else { return fill_workers(resources, count, candidates, capacities) };
    let fitting = |index: &usize| fitting_tasks(resources, &capacities[*index]);
    if candidates.iter().map(fitting).fold(0, u32::saturating_add) < count {
        return None;
    }
    let sound: Vec<usize> = candidates.iter().copied().filter(|i| !capacities[*i].recently_failed).collect();
    let speeds = [&sound[..], candidates].map(|indexes| SpeedGroups::new(resources, indexes, capacities));
    let fill = |indexes: Vec<usize>| fill_workers(resources, count, &indexes, capacities);
    speeds.iter().find_map(|groups| {
        let safe = groups.last_within(|expected| goal.is_safe(left, expected));
        let ranges = safe.map(|last| groups.safe_ranges(last)).unwrap_or_default();
        ranges.into_iter().chain(groups.fastest_ranges()).find_map(|(from, to)| fill(groups.range(from, to)))
    })
}

/// Workers with room for a gang, in groups of about one speed; the fastest group is the first.
struct SpeedGroups {
    /// Step of the group, its longest expected duration, and its workers.
    groups: Vec<(i64, Duration, Vec<usize>)>,
}

impl SpeedGroups {
    fn new(resources: Resources, indexes: &[usize], capacities: &[FreeCapacity]) -> Self {
        let mut groups: BTreeMap<i64, (Duration, Vec<usize>)> = BTreeMap::new();
        for index in indexes.iter().filter(|i| fitting_tasks(resources, &capacities[**i]) > 0) {
            let expected = capacities[*index].expected.unwrap_or_default();
            let (longest, members) = groups.entry(duration_steps(expected)).or_default();
            *longest = expected.max(*longest);
            members.push(*index);
        }
        Self {
            groups: groups.into_iter().map(|(step, (longest, members))| (step, longest, members)).collect(),
        }
    }

    /// Returns the slowest group whose longest duration meets a condition.
    fn last_within(&self, condition: impl Fn(Duration) -> bool) -> Option<usize> {
        self.groups.iter().rposition(|(_, longest, _)| condition(*longest))
    }

    /// Returns ranges of groups up to `last`: first those of about one speed, slow before fast, then all that reach from
    /// `last` upwards.
    fn safe_ranges(&self, last: usize) -> Vec<(usize, usize)> {
        let first_equal = |to: usize| {
            let is_equal = |from: &usize| self.groups[to].0 - self.groups[*from].0 <= GANG_STEPS;
            (0..=to).find(is_equal).unwrap_or(to)
        };
        let of_one_speed = (0..=last).rev().map(|to| (first_equal(to), to));
        let mixed = (0..=last).rev().map(|from| (from, last));
        of_one_speed.chain(mixed).collect()
    }

    /// Returns ranges of groups from the fastest downwards.
    fn fastest_ranges(&self) -> impl Iterator<Item = (usize, usize)> {
        (0..self.groups.len()).map(|to| (0, to))
    }

    fn range(&self, from: usize, to: usize) -> Vec<usize> {
        self.groups[from..=to].iter().flat_map(|(_, _, members)| members.iter().copied()).collect()
    }
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
