//! Invariants I1 to I9 of the design at the level of several hosts, under faults alone and together.

mod cell;
mod checks;
mod config;
mod jobs;
mod log;
mod outage;
mod plan;
mod requests;
mod together;
mod worker;
mod world;

use std::time::Duration;

use crate::checks::Counts;
use crate::plan::Plan;
use crate::world::World;

/// Time after which a fresh cell is owned and serves.
const STABLE: Duration = Duration::from_secs(8);

const fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// World that serves already, with enough load that workers are full at times.
fn serving(seed: u64, hosts: usize) -> World {
    let mut world = World::new(seed, hosts);
    world.load = 50.0;
    world.long = 500;
    world.run(STABLE);
    world
}

/// Runs faults at the given times for a span, then checks that no invariant broke and that the cell serves again.
fn survives(world: &mut World, plans: &[Plan], span: Duration) {
    world.run_with(plans, span);
    world.run(seconds(4));
    // Half of the requests run for up to 900 ms, longer than many deadlines, so that a cell without faults does not
    // answer nearly all of them either.
    let long = std::mem::replace(&mut world.long, 0);
    world.run(seconds(1));
    let since = world.now;
    world.run(seconds(4));
    world.finish();
    world.long = long;
    serves(&world.counts(since));
}

/// Checks that nearly all calls were answered.
fn serves(counts: &Counts) {
    assert!(counts.calls > 50 && counts.answered * 100 >= counts.calls * 90, "{counts:?}");
}
