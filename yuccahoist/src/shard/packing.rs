//! Choice of workers for tasks.
//!
//! Answers a fleet that is four fifths full with gangs of large tasks: single tasks take the tightest room that holds
//! them, so that large rooms stay whole, and a gang takes the workers that it fills best.

use std::sync::Arc;

use crate::shard::id::Life;
use crate::unit::Resources;

/// Room on a worker for the tasks of one step.
#[derive(Debug, Clone)]
pub struct Room {
    /// Worker.
    pub life: Life,
    /// Free resources.
    pub free: Resources,
    /// Rack.
    pub rack: Option<Arc<str>>,
    /// Most further tasks of the step, by its spread.
    pub most: u32,
    /// Whether the step's data is near.
    pub near: bool,
    /// Whether the worker is better left alone: it failed lately.
    pub doubtful: bool,
}

/// Number of tasks of size `need` that fit into `room`.
#[must_use]
pub fn copies(need: Resources, room: &Room) -> u32 {
    crate::placement::policy::copies(need, room.free).min(room.most)
}

fn leftover(need: Resources, room: &Room) -> u64 {
    room.free.cpu.0.saturating_sub(need.cpu.0) + room.free.memory.0.saturating_sub(need.memory.0) / 4
}

/// Room for one task, as an index into `rooms`.
#[must_use]
pub fn single(need: Resources, rooms: &[Room]) -> Option<usize> {
    let fits = rooms.iter().enumerate().filter(|(_, room)| copies(need, room) > 0);
    fits.min_by_key(|(_, room)| (!room.near, room.doubtful, leftover(need, room))).map(|(index, _)| index)
}

/// Rooms for `count` tasks that run together, as indexes into `rooms`; none when they do not all fit.
#[must_use]
pub fn gang(need: Resources, count: u32, one_rack: bool, rooms: &[Room]) -> Option<Vec<usize>> {
    let all: Vec<usize> = (0..rooms.len()).collect();
    if one_rack {
        let mut racks: Vec<&Option<Arc<str>>> = rooms.iter().map(|r| &r.rack).collect();
        racks.sort();
        racks.dedup();
        let within = |rack: &Option<Arc<str>>| -> Vec<usize> {
            all.iter().copied().filter(|i| rooms[*i].rack == *rack).collect()
        };
        let whole =
            racks.into_iter().filter_map(|rack| spread_over(need, count, &within(rack), rooms)).next();
        if whole.is_some() {
            return whole;
        }
    }
    spread_over(need, count, &all, rooms)
}

fn spread_over(need: Resources, count: u32, among: &[usize], rooms: &[Room]) -> Option<Vec<usize>> {
    let mut order: Vec<(usize, u32)> =
        among.iter().map(|i| (*i, copies(need, &rooms[*i]))).filter(|(_, n)| *n > 0).collect();
    // Wide gangs first use the workers that are left with the least unusable room.
    order.sort_by_key(|(index, n)| {
        let room = &rooms[*index];
        (room.doubtful, !room.near, leftover(need.times(*n), room))
    });
    let mut chosen = Vec::with_capacity(count as usize);
    for (index, n) in order {
        let rest = count - u32::try_from(chosen.len()).unwrap_or(u32::MAX);
        chosen.extend(std::iter::repeat_n(index, n.min(rest) as usize));
        if chosen.len() == count as usize {
            return Some(chosen);
        }
    }
    None
}
