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

use crate::checks::OutcomeCounts;
use crate::plan::ScheduledFault;
use crate::world::World;

/// Time after which a fresh cell is owned and assert_serving.
const CELL_STARTUP_TIME: Duration = Duration::from_secs(8);

const fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// World that assert_serving already, with enough load that workers are full at times.
fn serving_world(seed: u64, hosts: usize) -> World {
    let mut world = World::new(seed, hosts);
    world.call_rate = 50.0;
    world.long_requests = 500;
    world.run_for(CELL_STARTUP_TIME);
    world
}

/// Runs faults at the given times for a span, then checks that no invariant broke and that the cell assert_serving again.
fn assert_recovers(world: &mut World, faults: &[ScheduledFault], span: Duration) {
    world.run_with_faults(faults, span);
    world.run_for(seconds(4));
    // Half of the requests run for up to 900 ms, longer than many deadlines, so that a cell without faults does not
    // answer nearly all of them either.
    let long = std::mem::replace(&mut world.long_requests, 0);
    world.run_for(seconds(1));
    let since = world.now;
    world.run_for(seconds(4));
    world.finish();
    world.long_requests = long;
    assert_serving(&world.counts(since));
}

/// Checks that nearly all calls were answered.
fn assert_serving(counts: &OutcomeCounts) {
    assert!(counts.calls > 50 && counts.answered * 100 >= counts.calls * 90, "{counts:?}");
}
