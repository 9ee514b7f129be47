//! Property tests of the ownership state machine: several hosts over a simulated log and simulated links.

mod rules;
mod world;

use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, FileFailurePersistence, RngAlgorithm, RngSeed};
use yuccahoist::id::Subject;
use yuccahoist::ownership::{CLAIM_DELAY_PER_RANK, LEASE_DURATION, Share, lease_expiry_wait};

use crate::world::{Fault, Setup, Simulation};

/// Seed of the case generator, so that every run has the same cases.
const CASE_SEED: u64 = 20_261_204;
/// Time after which all subjects of a new cell are owned and no more move.
const SETTLING_TIME: Duration = Duration::from_secs(30);

fn config(cases: u32) -> Config {
    Config {
        cases,
        rng_seed: RngSeed::Fixed(CASE_SEED),
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
        1 => Just(Fault::LoseReplies),
        2 => Just(Fault::LateAppends),
    ]
}

/// Fault with its start and duration in milliseconds.
type FaultPlan = (u64, Fault, u64);

fn fault_plans(hosts: usize, span: u64, longest: u64) -> impl Strategy<Value = Vec<FaultPlan>> {
    vec((1_000..span, fault(hosts), 100..longest), 1..14)
}

/// Generates the clock rate of each host in parts per thousand, up to 5 % from true time.
fn rates(hosts: usize) -> impl Strategy<Value = Vec<u64>> {
    vec(prop_oneof![Just(950_u64), Just(1050), 950..=1050_u64], hosts)
}

/// Generates a simulation seed, clock rates and faults.
fn case() -> impl Strategy<Value = (u64, Vec<u64>, Vec<FaultPlan>)> {
    (3..=5_usize).prop_flat_map(|hosts| (any::<u64>(), rates(hosts), fault_plans(hosts, 60_000, 25_000)))
}

fn check(result: Result<(), String>) -> Result<(), TestCaseError> {
    result.map_err(TestCaseError::fail)
}

fn inject_faults(sim: &mut Simulation, plans: &[FaultPlan]) {
    for (at, fault, length) in plans {
        sim.inject(Duration::from_millis(*at), *fault, Duration::from_millis(*length));
    }
}

proptest! {
    #![proptest_config(config(100))]

    /// Guards against hosts that together use more than the capacity of a subject or that both start its tasks, and
    /// against subjects without an owner after all faults have ended.
    #[test]
    fn faults_in_combination_never_exceed_capacity((seed, rates, plans) in case()) {
        let mut sim = Simulation::new(Setup { rates: rates.clone(), ..Setup::new(seed, rates.len()) });
        inject_faults(&mut sim, &plans);
        check(sim.run_until(Duration::from_secs(120)))?;
        for subject in sim.subjects() {
            prop_assert!(sim.owner(&subject).is_some(), "{subject} has no owner:\n{}", sim.trace_end());
        }
    }

    /// Guards against wrong waits around the end of the reduced share, which is shortened here so that runs reach it.
    #[test]
    fn short_reduced_time_never_exceeds_capacity((seed, rates, plans) in case()) {
        let max_reduced = Some(Duration::from_secs(12));
        let mut sim = Simulation::new(Setup { rates: rates.clone(), max_reduced, ..Setup::new(seed, rates.len()) });
        inject_faults(&mut sim, &plans);
        check(sim.run_until(Duration::from_secs(90)))?;
    }
}

proptest! {
    #![proptest_config(config(3))]

    /// Guards against a loss of capacity in a log outage in which no host fails.
    #[test]
    fn owners_keep_full_share_in_a_log_outage(
        seed in any::<u64>(),
        rates in rates(4),
        minutes in prop_oneof![Just(1_u64), 62..70_u64],
    ) {
        let outage = Duration::from_secs(minutes * 60);
        let setup = Setup { rates, tick: Duration::from_millis(200), ..Setup::new(seed, 4) };
        let mut sim = Simulation::new(setup);
        sim.run_until(SETTLING_TIME).expect("capacity is not exceeded before the outage");
        let subjects = sim.subjects();
        let at = SETTLING_TIME + Duration::from_secs(4);
        sim.inject(at, Fault::LogDown, outage);
        let claims_before = sim.claims();
        check(sim.run_checked(at + outage, |sim| {
            let reduced = subjects.iter().find(|subject| {
                !sim.shares(subject)
                    .iter()
                    .any(|(_, share, may_start_tasks)| *share == Share::Full && *may_start_tasks)
            });
            match reduced {
                Some(subject) => Err(format!("{subject} without full share:\n{}", sim.trace_end())),
                None => Ok(()),
            }
        }))?;
        check(sim.run_until(at + outage + Duration::from_secs(20)))?;
        prop_assert_eq!(sim.claims(), claims_before, "claim during or after the outage:\n{}", sim.trace_end());
    }
}

proptest! {
    #![proptest_config(config(12))]

    /// Guards against a takeover that takes much longer than the lease needs to expire.
    #[test]
    fn subjects_of_a_dead_host_are_owned_again_in_time(
        seed in any::<u64>(),
        rates in rates(4),
        dead in 0..4_usize,
    ) {
        let mut sim = Simulation::new(Setup { rates, ..Setup::new(seed, 4) });
        let at = SETTLING_TIME;
        sim.inject(at, Fault::Kill(dead), Duration::from_secs(1_000));
        sim.run_until(at - Duration::from_millis(1)).expect("capacity is not exceeded before the kill");
        let mut subjects = sim.subjects();
        subjects.retain(|subject| sim.owner(subject) == Some(dead));
        let on_slowest_clock = |span: Duration| span.mul_f64(1.0 / 0.95);
        // The last renewal may be in the log when the host fails and is seen after one read. Then the lease expires for
        // every claimer, the last of three ranks claims, and each claim needs an append and a read.
        let read = Duration::from_millis(250);
        let bound = on_slowest_clock(lease_expiry_wait() + CLAIM_DELAY_PER_RANK * 3) + read * 3 + read * 5;
        check(sim.run_until(at + bound))?;
        for subject in &subjects {
            let owner = sim.owner(subject);
            prop_assert!(owner.is_some_and(|owner| owner != dead), "{subject} has no owner:\n{}", sim.trace_end());
        }
        // A successor has the remainder once the lease has expired and the run limit has passed.
        let wait = on_slowest_clock(lease_expiry_wait() + Duration::from_secs(2) * 9 / 8);
        check(sim.run_until(at + bound + wait))?;
        for subject in &subjects {
            let shares = sim.shares(subject);
            let used = shares.iter().any(|(_, share, _)| matches!(share, Share::Remainder | Share::Full));
            prop_assert!(used, "{subject} is not in use:\n{}", sim.trace_end());
        }
    }

    /// Guards against a planned stop that waits for a lease to expire, or after which the cell has less capacity.
    #[test]
    fn planned_stop_hands_over_without_waiting_for_lapse(
        seed in any::<u64>(),
        rates in rates(4),
        slot in 0..4_usize,
    ) {
        let drain = Duration::from_millis(200);
        let mut sim = Simulation::new(Setup { rates, drain, ..Setup::new(seed, 4) });
        sim.inject(SETTLING_TIME, Fault::Stop(slot), Duration::from_secs(1_000));
        // Each step is an append and a read: the release, then the claims by the last rank, one after the other.
        let bound = drain + (CLAIM_DELAY_PER_RANK * 3).mul_f64(1.0 / 0.95) + Duration::from_millis(200) * 5;
        prop_assert!(bound < LEASE_DURATION);
        check(sim.run_until(SETTLING_TIME + bound))?;
        for subject in sim.subjects() {
            let full = sim.shares(&subject).iter().any(|(by, share, _)| *by != slot && *share == Share::Full);
            prop_assert!(full, "{subject} was not handed over:\n{}", sim.trace_end());
        }
        prop_assert!(sim.stopped.contains(&slot), "not stopped:\n{}", sim.trace_end());
    }

    /// Guards against an early claim by a host that the owner does not know of. The owner needs no promise of that host
    /// and keeps the whole capacity.
    #[test]
    fn host_outside_the_view_does_not_take_over(
        seed in any::<u64>(),
        rates in rates(4),
        cut in 0..3_usize,
    ) {
        let mut sim = Simulation::new(Setup { rates, ..Setup::new(seed, 4) });
        let second = Duration::from_secs(1);
        sim.inject(SETTLING_TIME, Fault::Stop(3), second * 8);
        sim.inject(SETTLING_TIME + second * 6, Fault::CutLog(cut), second * 60);
        sim.run_until(SETTLING_TIME + second * 6 - Duration::from_millis(1))
            .expect("capacity is not exceeded before the cut");
        let mut subjects = sim.subjects();
        subjects.retain(|subject| sim.owner(subject) == Some(cut));
        check(sim.run_checked(SETTLING_TIME + second * 60, |sim| {
            let is_reduced = |subject: &&Subject| !sim.shares(subject).contains(&(cut, Share::Full, true));
            match subjects.iter().find(is_reduced) {
                Some(subject) => Err(format!("{subject} without full share:\n{}", sim.trace_end())),
                None => Ok(()),
            }
        }))?;
    }

    /// Guards against an owner that continues after a long pause of its process, while the log and its peers work.
    #[test]
    fn paused_owner_is_replaced_and_stops(
        seed in any::<u64>(),
        rates in rates(4),
        slot in 0..4_usize,
        length in 4_000..20_000_u64,
    ) {
        let mut sim = Simulation::new(Setup { rates, ..Setup::new(seed, 4) });
        sim.inject(SETTLING_TIME, Fault::Pause(slot), Duration::from_millis(length));
        check(sim.run_until(SETTLING_TIME + Duration::from_millis(length) + Duration::from_secs(8)))?;
        for subject in sim.subjects() {
            let shares = sim.shares(&subject);
            let full = shares.iter().filter(|(_, share, _)| *share == Share::Full).count();
            prop_assert!(full == 1, "{subject} has {full} hosts with full share:\n{}", sim.trace_end());
        }
    }

    /// Guards against a join after which many subjects move at once, and against moves that never end.
    #[test]
    fn join_moves_few_subjects_one_by_one(seed in any::<u64>(), rates in rates(4)) {
        let setup = Setup { rates, shards: 8, partitions: 8, ..Setup::new(seed, 4) };
        let mut sim = Simulation::new(setup).without_host(3);
        sim.run_until(SETTLING_TIME * 2).expect("capacity is not exceeded before the join");
        sim.start_host(3);
        let claims_before = sim.claims();
        let mut last = claims_before;
        for second in 1..=90_u64 {
            check(sim.run_until(SETTLING_TIME * 2 + Duration::from_secs(second)))?;
            // Each of three hosts moves at most one subject in five seconds, and all may do so in the same second.
            prop_assert!(sim.claims() - last <= 3, "too many moves within a second:\n{}", sim.trace_end());
            last = sim.claims();
        }
        prop_assert!(last > claims_before, "no subject moved:\n{}", sim.trace_end());
        prop_assert!(last - claims_before <= 16, "{} moves:\n{}", last - claims_before, sim.trace_end());
        let owners: Vec<_> = sim.subjects().iter().map(|subject| sim.owner(subject)).collect();
        for slot in 0..4 {
            let owned = owners.iter().filter(|owner| **owner == Some(slot)).count();
            prop_assert!(owned <= 4, "host {slot} owns {owned}:\n{}", sim.trace_end());
        }
    }
}
