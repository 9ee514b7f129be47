//! Invariants I1 to I9 of the design at the level of several hosts, under faults alone and together.

mod cell;
mod checks;
mod log;
mod worker;
mod world;

use std::time::Duration;

use crate::world::World;

const fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// Guards against a harness that proves nothing because nothing runs in it.
#[test]
fn without_faults_calls_are_answered() {
    let mut world = World::new(1, 3);
    world.run(seconds(8));
    let since = world.now;
    let begun = std::time::Instant::now();
    world.run(seconds(20));
    eprintln!("{:?}", begun.elapsed());
    world.finish();
    let counts = world.counts(since);
    eprintln!("{counts:?}");
    for (id, worker) in &world.workers {
        eprintln!("{id} high {} part {} runs {} tasks {}", worker.high, worker.high_part, worker.runs.len(), worker.task_runs.len());
    }
    assert!(counts.answered * 100 >= counts.calls * 95, "{counts:?}");
}
