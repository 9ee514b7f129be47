//! Fault injection for the request path of several hosts: messages are lost, delayed, duplicated and reordered.
//!
//! The invariants are checked against the records of the simulated backend servers and callers.

mod request_world;

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use request_world::{Faults, World};

fn check(seed: u64, hosts: usize, faults: Faults) -> Result<usize, String> {
    let mut world = World::new(seed, hosts, faults);
    world.run();
    let violations = world.violations();
    if violations.is_empty() { Ok(world.answered()) } else { Err(format!("seed {seed}: {violations:#?}")) }
}

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig { cases, rng_seed: RngSeed::Fixed(0x7265_7175), ..ProptestConfig::default() }
}

/// Guards against a simulation that checks nothing because it serves no calls.
#[test]
fn without_faults_nearly_all_calls_are_answered() {
    let mut world = World::new(1, 3, Faults::NONE);
    world.run();
    assert_eq!(world.violations(), Vec::<String>::new());
    let (answered, all) = (world.answered(), world.calls.len());
    assert!(answered * 100 >= all * 95, "{answered} of {all} calls answered");
}

/// Guards the invariants against each kind of fault alone, so that a failure shows its cause.
#[test]
fn single_faults_break_no_invariant() {
    struct Case {
        name: &'static str,
        faults: Faults,
    }
    let base = Faults { resend: 0.3, ..Faults::NONE };
    let cases = [
        Case { name: "lost messages", faults: Faults { message_loss: 0.2, ..base.clone() } },
        Case { name: "duplicate messages", faults: Faults { duplication: 0.5, ..base.clone() } },
        Case { name: "delayed messages", faults: Faults { message_delay: 0.3, ..base.clone() } },
        Case { name: "refused connections", faults: Faults { connect_failure: 0.2, ..base.clone() } },
        Case { name: "broken connections", faults: Faults { connection_break: 0.2, ..base.clone() } },
        Case { name: "failed appends", faults: Faults { append_failure: 0.4, ..base.clone() } },
        Case { name: "crashing hosts", faults: Faults { host_crashes: 3, ..base.clone() } },
        Case { name: "draining workers", faults: Faults { worker_drains: 3, ..base.clone() } },
        Case { name: "overload", faults: Faults { rate: 400.0, ..base } },
    ];
    let mut failures = Vec::new();
    for case in cases {
        for seed in 0..4 {
            match check(seed, 4, case.faults.clone()) {
                Err(violations) => failures.push(format!("{}: {violations}", case.name)),
                Ok(answered) => assert!(answered > 0, "{}: no call answered", case.name),
            }
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

/// Guards against a second run when the first host crashes at any time between append, forward and answer, after a load
/// balancer has sent the same request to a second host.
#[test]
fn host_crash_at_any_time_causes_no_second_run() {
    let mut ran = [0; 2];
    for (seed, crash) in (0_u64..120).zip((0..).step_by(4)) {
        let mut world = World::with_crash(seed, Duration::from_millis(crash));
        world.run();
        assert_eq!(world.violations(), Vec::<String>::new(), "seed {seed}, crash after {crash} ms");
        ran[world.runs.len()] += 1;
    }
    assert!(ran[0] > 0 && ran[1] > 0, "crashes before and after the forward must both occur: {ran:?}");
}

proptest! {
    #![proptest_config(config(40))]

    /// Guards the invariants against combined faults: no request runs twice, no `not-run` for a request that ran, one
    /// answer per call, and no more requests on a worker than it has slots.
    #[test]
    fn combined_faults_break_no_invariant(
        seed in any::<u64>(),
        hosts in 2_usize..6,
        lose in 0.0..0.3,
        double in 0.0..0.5,
        late in 0.0..0.3,
        refuse in 0.0..0.2,
        cut in 0.0..0.2,
        append in 0.0..0.4,
        resend in 0.0..0.6,
        (deaths, drains, rate) in (0_usize..3, 0_usize..3, 20.0..300.0),
    ) {
        let faults = Faults {
            message_loss: lose,
            duplication: double,
            message_delay: late,
            connect_failure: refuse,
            connection_break: cut,
            append_failure: append,
            resend,
            host_crashes: deaths,
            worker_drains: drains,
            rate,
        };
        prop_assert_eq!(check(seed, hosts, faults).map(|_| ()), Ok(()));
    }
}
