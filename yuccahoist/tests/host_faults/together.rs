//! Faults together and twice, as property tests.

use proptest::prelude::*;
use proptest::test_runner::{Config, FileFailurePersistence, RngAlgorithm, RngSeed};

use crate::plan::{ScheduledFault, fault_schedule};
use crate::seconds;
use crate::world::World;

/// Seed of the case generator; the same cases run every time.
const GENERATOR_SEED: u64 = 20_261_204;
/// Cases of one property.
const CASES_PER_PROPERTY: u32 = 5;

/// Settings of the runner. `HOST_FAULTS_CASES` and `HOST_FAULTS_SEED` are for longer searches by hand.
fn config(property: u64) -> Config {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    Config {
        cases: number("HOST_FAULTS_CASES")
            .and_then(|cases| u32::try_from(cases).ok())
            .unwrap_or(CASES_PER_PROPERTY),
        rng_seed: RngSeed::Fixed(number("HOST_FAULTS_SEED").unwrap_or(GENERATOR_SEED) + property),
        rng_algorithm: RngAlgorithm::ChaCha,
        failure_persistence: Some(Box::new(FileFailurePersistence::Direct(
            "tests/host_faults/regressions.txt",
        ))),
        max_shrink_iters: 40,
        ..Config::default()
    }
}

fn check(seed: u64, hosts: usize, faults: &[ScheduledFault]) {
    let mut world = World::new(seed, hosts);
    world.call_rate = 50.0;
    world.long_requests = 500;
    world.run_with_faults(faults, seconds(36));
    world.finish();
}

macro_rules! properties {
    ($($(#[$doc:meta])* $name:ident($number:literal, $hosts:literal, $span:literal, $longest:literal);)*) => {
        $(proptest! {
            #![proptest_config(config($number))]

            $(#[$doc])*
            #[test]
            fn $name(seed: u64, faults in fault_schedule($hosts, $span, $longest)) {
                check(seed, $hosts, &faults);
            }
        })*
    };
}

properties! {
    /// Guards against any invariant that breaks when short faults come together at three hosts.
    short_faults_together_break_no_invariant(1, 3, 25_000, 3_000);
    /// Guards against any invariant that breaks when long faults come together at three hosts.
    long_faults_together_break_no_invariant(2, 3, 20_000, 15_000);
    /// Guards against any invariant that breaks when faults come within a few seconds of each other.
    dense_faults_together_break_no_invariant(3, 3, 10_000, 8_000);
    /// Guards against any invariant that breaks when faults come together at four hosts.
    faults_at_four_hosts_break_no_invariant(4, 4, 20_000, 10_000);
    /// Guards against any invariant that breaks when faults come together at five hosts.
    faults_at_five_hosts_break_no_invariant(5, 5, 15_000, 8_000);
}
