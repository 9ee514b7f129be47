//! Placement and coordinators under faults.
//!
//! The workers' own records show whether a worker is overcommitted (I1) or a task runs twice at a time (I2). After the
//! faults, all capacity must be free again.

mod fleet;

use fleet::{Faults, Fleet, job};
use proptest::prelude::*;
use yuccahoist::job::{JobKind, Priority};
use yuccahoist::unit::Resources;

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 24,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_260_801),
        failure_persistence: Some(Box::new(proptest::test_runner::FileFailurePersistence::WithSource(
            "regressions",
        ))),
        max_shrink_iters: 40,
        ..ProptestConfig::default()
    }
}

fn faults() -> impl Strategy<Value = Faults> {
    let kills = prop::collection::vec((110_u64..150, 0_usize..3), 0..3);
    let pauses = prop::collection::vec((110_u64..150, 0_usize..3, 2_u64..12), 0..3);
    let crashes = prop::collection::vec((105_u64..150, 0_usize..12, 1_u64..60), 0..3);
    let disconnects = prop::collection::vec((105_u64..150, 0_usize..12, 1_u64..60), 0..3);
    (0_u32..150, 0_u32..200, 0_u32..150, kills, pauses, crashes, disconnects).prop_map(
        |(loss_per_mille, delay_per_mille, duplicate_per_mille, kills, pauses, crashes, disconnects)| {
            Faults {
                loss_per_mille,
                delay_per_mille,
                duplicate_per_mille,
                kills,
                pauses,
                crashes,
                disconnects,
                failing_workers: Vec::new(),
                fault_end_s: 170,
            }
        },
    )
}

/// Submits jobs of all kinds, of which one needs preemption, one never fits and one is cancelled twice.
fn submit_jobs(fleet: &mut Fleet) {
    fleet.max_usage_eighths = 33;
    fleet.run_to(108);
    let mut urgent = job("urgent", "team-1", JobKind::Batch, 4, Resources::new(4_000, 4_096, 0));
    urgent.priority = Priority(9);
    fleet.submit(job("batch", "team-0", JobKind::Batch, 60, Resources::new(3_000, 8_000, 0)));
    fleet.submit(job("gang-a", "team-2", JobKind::Gang, 14, Resources::new(8_000, 2_000, 0)));
    fleet.submit(job("gang-b", "team-3", JobKind::Gang, 14, Resources::new(8_000, 2_000, 0)));
    fleet.submit(job("accelerated", "team-4", JobKind::Batch, 12, Resources::new(1_000, 1_000, 2)));
    fleet.submit(job("never", "team-5", JobKind::Batch, 2, Resources::new(99_000, 1_000, 0)));
    let service = job("service", "team-6", JobKind::Service, 5, Resources::new(2_000, 4_000, 0));
    fleet.submit(service);
    fleet.run_to(118);
    fleet.submit(urgent);
    fleet.submit(job("wave", "team-7", JobKind::Batch, 80, Resources::new(500, 500, 0)));
    fleet.run_to(124);
    fleet.cancel("wave");
    fleet.cancel("wave");
}

proptest! {
    #![proptest_config(config())]

    /// Guards against overcommitted workers, tasks that run twice, jobs that never end and lost capacity.
    #[test]
    fn invariants_hold_under_faults(seed in any::<u64>(), faults in faults()) {
        let mut fleet = Fleet::new(seed, 3, 3, &[], faults);
        submit_jobs(&mut fleet);
        fleet.run_to(330);
        prop_assert!(fleet.violations.is_empty(), "{:?}", fleet.violations);
        for id in ["batch", "urgent", "gang-a", "gang-b", "accelerated", "wave"] {
            let state = (fleet.status(id), fleet.end(id));
            prop_assert!(state.1.is_some(), "{id} has not ended: {state:?}");
        }
        prop_assert_eq!(fleet.running("service"), 5);
        for id in ["service", "never"] {
            fleet.cancel(id);
        }
        fleet.run_to(345);
        prop_assert!(fleet.violations.is_empty(), "{:?}", fleet.violations);
        let lost = fleet.lost_capacity();
        prop_assert!(lost.is_empty(), "{lost:?}");
    }
}
