//! Coordinator and shard owners without faults, one behaviour a test.

mod fleet;

use fleet::{Faults, Fleet, job};
use yuccahoist::job::JobKind;
use yuccahoist::unit::Resources;

/// Guards against a fleet that starts nothing.
#[test]
fn batch_work_ends() {
    let mut fleet = Fleet::new(1, 3, 3, &[], Faults::default());
    fleet.run_to(108);
    fleet.submit(job("batch", "team-0", JobKind::Batch, 60, Resources::new(3_000, 8_000, 0)));
    fleet.submit(job("gang-a", "team-2", JobKind::Gang, 14, Resources::new(8_000, 2_000, 0)));
    fleet.submit(job("gang-b", "team-3", JobKind::Gang, 14, Resources::new(8_000, 2_000, 0)));
    for t in [109, 110, 112, 115, 120, 130, 140, 160, 200] {
        fleet.run_to(t);
        for id in ["batch", "gang-a", "gang-b"] {
            println!("{t} {id} {:?} {:?}", fleet.status(id), fleet.end(id));
        }
    }
    println!("{:?}", fleet.violations);
    panic!();
}
