//! Property tests of the ownership duty: several machines over a fake log and fake links.

mod rules;
mod world;

use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, FileFailurePersistence, RngAlgorithm, RngSeed};
use yuccahoist::id::Subject;
use yuccahoist::ownership::{CLAIM_DELAY_PER_RANK, LEASE_DURATION, Share, lease_expiry_wait};

use crate::world::{Fault, Setup, World};

/// Seed of the case generator; the same cases run every time.
const SEED: u64 = 20_261_204;
/// Time after which all subjects of a initial cell are owned and balanced moves have ended.
const STABLE: Duration = Duration::from_secs(30);

fn config(cases: u32) -> Config {
    Config {
        cases,
        rng_seed: RngSeed::Fixed(SEED),
        rng_algorithm: RngAlgorithm::ChaCha,
        failure_persistence: Some(Box::new(FileFailurePersistence::Direct(
            "tests/ownership/regressions.txt",
        ))),
        max_shrink_iters: 200,
        ..Config::default()
    }
}

fn fault(hosts: usize) -> impl Strategy<Value = Fault> {
    let host = 0..hosts;
    prop_oneof![
        3 => host.clone().prop_map(Fault::Kill),
        3 => host.clone().prop_map(Fault::Pause),
        4 => host.clone().prop_map(Fault::CutLog),
        2 => host.clone().prop_map(Fault::CutPeers),
        3 => (host.clone(), host.clone()).prop_map(|(from, to)| Fault::CutLink(from, to)),
        1 => host.clone().prop_map(Fault::DelayMessages),
        1 => host.prop_map(Fault::Stop),
        2 => Just(Fault::LogDown),
        1 => Just(Fault::LogSlow),
        1 => Just(Fault::LoseAnswers),
        2 => Just(Fault::LateEffects),
    ]
}

/// Fault with its start and length, milliseconds.
type Plan = (u64, Fault, u64);

fn plans(hosts: usize, span: u64, longest: u64) -> impl Strategy<Value = Vec<Plan>> {
    vec((1_000..span, fault(hosts), 100..longest), 1..14)
}

fn rates(hosts: usize) -> impl Strategy<Value = Vec<u64>> {
    vec(prop_oneof![Just(950_u64), Just(1050), 950..=1050_u64], hosts)
}

fn case() -> impl Strategy<Value = (u64, Vec<u64>, Vec<Plan>)> {
    (3..=5_usize).prop_flat_map(|hosts| (any::<u64>(), rates(hosts), plans(hosts, 60_000, 25_000)))
}

fn check(result: Result<(), String>) -> Result<(), TestCaseError> {
    result.map_err(TestCaseError::fail)
}

fn inject(world: &mut World, plans: &[Plan]) {
    for (at, fault, length) in plans {
        world.inject(Duration::from_millis(*at), *fault, Duration::from_millis(*length));
    }
}

proptest! {
    #![proptest_config(config(100))]

    /// Guards against two hosts that use more than the whole capacity of a subject, or both start tasks, and against
    /// subjects that stay without an owner after all faults have ended.
    #[test]
    fn faults_in_combination_never_exceed_capacity((seed, rates, plans) in case()) {
        let mut world = World::new(Setup { rates: rates.clone(), ..Setup::new(seed, rates.len()) });
        inject(&mut world, &plans);
        check(world.run_until(Duration::from_secs(120)))?;
        for subject in world.subjects() {
            prop_assert!(world.owner(&subject).is_some(), "{subject} has no owner:\n{}", world.trace_end());
        }
    }

    /// Guards against wrong waits around the end of the reduced part, which is shortened here so that runs reach it.
    #[test]
    fn short_reduced_time_never_exceeds_capacity((seed, rates, plans) in case()) {
        let max_reduced = Some(Duration::from_secs(12));
        let mut world = World::new(Setup { rates: rates.clone(), max_reduced, ..Setup::new(seed, rates.len()) });
        inject(&mut world, &plans);
        check(world.run_until(Duration::from_secs(90)))?;
    }
}

proptest! {
    #![proptest_config(config(3))]

    /// Guards against the loss of capacity in a log outage in which no host dies.
    #[test]
    fn owners_keep_full_share_in_a_log_outage(
        seed in any::<u64>(),
        rates in rates(4),
        minutes in prop_oneof![Just(1_u64), 62..70_u64],
    ) {
        let outage = Duration::from_secs(minutes * 60);
        let setup = Setup { rates, tick: Duration::from_millis(200), ..Setup::new(seed, 4) };
        let mut world = World::new(setup);
        world.run_until(STABLE).expect("capacity before the outage");
        let subjects = world.subjects();
        let at = STABLE + Duration::from_secs(4);
        world.inject(at, Fault::LogDown, outage);
        let moved = world.claims();
        check(world.run_checked(at + outage, |world| {
            let without = subjects.iter().find(|subject| {
                !world.shares(subject).iter().any(|(_, share, tasks)| *share == Share::Full && *tasks)
            });
            match without {
                Some(subject) => Err(format!("{subject} without full share:\n{}", world.trace_end())),
                None => Ok(()),
            }
        }))?;
        check(world.run_until(at + outage + Duration::from_secs(20)))?;
        prop_assert_eq!(world.claims(), moved, "a claim after the outage:\n{}", world.trace_end());
    }
}

proptest! {
    #![proptest_config(config(12))]

    /// Guards against a takeover that takes longer than the lease needs to lapse.
    #[test]
    fn subjects_of_a_dead_host_are_owned_again_in_time(
        seed in any::<u64>(),
        rates in rates(4),
        dead in 0..4_usize,
    ) {
        let mut world = World::new(Setup { rates, ..Setup::new(seed, 4) });
        let at = STABLE;
        world.inject(at, Fault::Kill(dead), Duration::from_secs(1_000));
        world.run_until(at - Duration::from_millis(1)).expect("capacity before the death");
        let mut subjects = world.subjects();
        subjects.retain(|subject| world.owner(subject) == Some(dead));
        let slowest = |span: Duration| span.mul_f64(1.0 / 0.95);
        // The last renewal may be in the log when the host dies and is seen after one read. Then the lease lapses for
        // every claimer, the last of three ranks claims, and each claim needs an append and a read.
        let read = Duration::from_millis(250);
        let bound = slowest(lease_expiry_wait() + CLAIM_DELAY_PER_RANK * 3) + read * 3 + read * 5;
        check(world.run_until(at + bound))?;
        for subject in &subjects {
            let owner = world.owner(subject);
            prop_assert!(owner.is_some_and(|owner| owner != dead), "{subject} has no owner:\n{}", world.trace_end());
        }
        // A successor has the remaining part after the lease and the run limit.
        let wait = slowest(lease_expiry_wait() + Duration::from_secs(2) * 9 / 8);
        check(world.run_until(at + bound + wait))?;
        for subject in &subjects {
            let shares = world.shares(subject);
            let used = shares.iter().any(|(_, share, _)| matches!(share, Share::Remainder | Share::Full));
            prop_assert!(used, "{subject} is not in use:\n{}", world.trace_end());
        }
    }

    /// Guards against a planned stop that waits for a lease to lapse, or that leaves the cell with less capacity.
    #[test]
    fn planned_stop_hands_over_without_waiting_for_lapse(
        seed in any::<u64>(),
        rates in rates(4),
        slot in 0..4_usize,
    ) {
        let drain = Duration::from_millis(200);
        let mut world = World::new(Setup { rates, drain, ..Setup::new(seed, 4) });
        world.inject(STABLE, Fault::Stop(slot), Duration::from_secs(1_000));
        // Each step is an append and a read: release, claim by the last rank, one claim after the other.
        let bound = drain + (CLAIM_DELAY_PER_RANK * 3).mul_f64(1.0 / 0.95) + Duration::from_millis(200) * 5;
        prop_assert!(bound < LEASE_DURATION);
        check(world.run_until(STABLE + bound))?;
        for subject in world.subjects() {
            let full = world.shares(&subject).iter().any(|(by, share, _)| *by != slot && *share == Share::Full);
            prop_assert!(full, "{subject} was not handed over:\n{}", world.trace_end());
        }
        prop_assert!(world.stopped.contains(&slot), "not stopped:\n{}", world.trace_end());
    }

    /// Guards against a claim by a host that the owner does not know of. The owner needs no promise of it and uses the
    /// whole capacity.
    #[test]
    fn host_outside_the_view_does_not_take_over(
        seed in any::<u64>(),
        rates in rates(4),
        cut in 0..3_usize,
    ) {
        let mut world = World::new(Setup { rates, ..Setup::new(seed, 4) });
        let second = Duration::from_secs(1);
        world.inject(STABLE, Fault::Stop(3), second * 8);
        world.inject(STABLE + second * 6, Fault::CutLog(cut), second * 60);
        world.run_until(STABLE + second * 6 - Duration::from_millis(1)).expect("capacity before the cut");
        let mut subjects = world.subjects();
        subjects.retain(|subject| world.owner(subject) == Some(cut));
        check(world.run_checked(STABLE + second * 60, |world| {
            let full = |subject: &&Subject| !world.shares(subject).contains(&(cut, Share::Full, true));
            match subjects.iter().find(full) {
                Some(subject) => Err(format!("{subject} without full share:\n{}", world.trace_end())),
                None => Ok(()),
            }
        }))?;
    }

    /// Guards against an owner that goes on after it was paused, with the log and its peers working.
    #[test]
    fn paused_owner_is_replaced_and_stops(
        seed in any::<u64>(),
        rates in rates(4),
        slot in 0..4_usize,
        length in 4_000..20_000_u64,
    ) {
        let mut world = World::new(Setup { rates, ..Setup::new(seed, 4) });
        world.inject(STABLE, Fault::Pause(slot), Duration::from_millis(length));
        check(world.run_until(STABLE + Duration::from_millis(length) + Duration::from_secs(8)))?;
        for subject in world.subjects() {
            let shares = world.shares(&subject);
            let full = shares.iter().filter(|(_, share, _)| *share == Share::Full).count();
            prop_assert!(full == 1, "{subject} is not in full use again:\n{}", world.trace_end());
        }
    }

    /// Guards against a join that moves many subjects at once, and against moves that never end.
    #[test]
    fn join_moves_few_subjects_one_by_one(seed in any::<u64>(), rates in rates(4)) {
        let setup = Setup { rates, shards: 8, partitions: 8, ..Setup::new(seed, 4) };
        let mut world = World::new(setup).without(3);
        world.run_until(STABLE * 2).expect("capacity before the join");
        world.start(3);
        let before = world.claims();
        let mut last = before;
        for second in 1..=90_u64 {
            check(world.run_until(STABLE * 2 + Duration::from_secs(second)))?;
            // Three hosts move one subject at most in five seconds, and two of their seconds may be adjacent.
            prop_assert!(world.claims() - last <= 3, "moves at once:\n{}", world.trace_end());
            last = world.claims();
        }
        prop_assert!(last > before, "nothing moved:\n{}", world.trace_end());
        prop_assert!(last - before <= 16, "{} moves:\n{}", last - before, world.trace_end());
        let owners: Vec<_> = world.subjects().iter().map(|subject| world.owner(subject)).collect();
        for slot in 0..4 {
            let owned = owners.iter().filter(|owner| **owner == Some(slot)).count();
            prop_assert!(owned <= 4, "host {slot} owns {owned}:\n{}", world.trace_end());
        }
    }
}
