//! Simulated cells of several hosts under single and combined faults, checked against the invariants of the design:
//!
//! - I1: no worker gets more than its capacity and slots, and no dispatch arrives after its time limit.
//! - I2: no task runs in two places at once.
//! - I3: each call gets exactly one answer, from the process that took it and to its own body.
//! - I4: a request that was answered not-run did not run.
//! - I5: a non-idempotent request runs at most once.
//! - I6: a leaving worker gets no new work once the hosts know that it leaves.
//! - I7: a planned stop ends with no open call and no lease.
//! - I8: an accepted edit is in force at every host in time, and no host falls back to an older revision.
//! - I9: no call is answered after its deadline.
//!
//! A call whose host crashed or paused is exempt from I9, and from the missing answer of I3: its caller sees a broken
//! connection or a late answer.

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

/// Time after which a new cell has an owner for each shard and serves.
const CELL_STARTUP_TIME: Duration = Duration::from_secs(8);

const fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// Returns a cell that already serves, with a call rate that fills the workers at times.
fn serving_world(seed: u64, hosts: usize) -> World {
    let mut world = World::new(seed, hosts);
    world.call_rate = 50.0;
    world.long_requests = 500;
    world.run_for(CELL_STARTUP_TIME);
    world
}

/// Runs `faults` for `span`, then asserts that all invariants hold and that the cell serves again.
fn assert_recovers(world: &mut World, faults: &[ScheduledFault], span: Duration) {
    world.run_with_faults(faults, span);
    world.run_for(seconds(4));
    // With half of the requests running for up to 900 ms, longer than many deadlines, even a cell without faults would
    // answer too few of them.
    let long_requests = std::mem::replace(&mut world.long_requests, 0);
    world.run_for(seconds(1));
    let since = world.now;
    world.run_for(seconds(4));
    world.finish();
    world.long_requests = long_requests;
    assert_serving(&world.counts(since));
}

/// Asserts that at least 90 % of more than 50 calls were answered.
fn assert_serving(counts: &OutcomeCounts) {
    assert!(counts.calls > 50 && counts.answered * 100 >= counts.calls * 90, "{counts:?}");
}
