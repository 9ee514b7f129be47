//! Property tests with random combinations of faults, which may also overlap and repeat.

use proptest::prelude::*;
use proptest::test_runner::{Config, FileFailurePersistence, RngAlgorithm, RngSeed};

use crate::plan::{ScheduledFault, fault_schedule};
use crate::seconds;
use crate::world::World;

/// Seed of the case generator; fixed, so that every run checks the same cases.
const GENERATOR_SEED: u64 = 20_261_204;
/// Number of cases per property.
const CASES_PER_PROPERTY: u32 = 5;

/// Returns the settings of the test runner.
///
/// The environment variables `HOST_FAULTS_CASES` and `HOST_FAULTS_SEED` override the number of cases and the seed for
/// longer manual searches.
fn config(property: u64) -> Config {
    let env_number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    Config {
        cases: env_number("HOST_FAULTS_CASES")
            .and_then(|cases| u32::try_from(cases).ok())
            .unwrap_or(CASES_PER_PROPERTY),
        rng_seed: RngSeed::Fixed(env_number("HOST_FAULTS_SEED").unwrap_or(GENERATOR_SEED) + property),
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
    /// Guards against invariant violations when short faults overlap at three hosts.
    short_faults_together_break_no_invariant(1, 3, 25_000, 3_000);
    /// Guards against invariant violations when long faults overlap at three hosts.
    long_faults_together_break_no_invariant(2, 3, 20_000, 15_000);
    /// Guards against invariant violations when faults follow each other within a few seconds.
    dense_faults_together_break_no_invariant(3, 3, 10_000, 8_000);
    /// Guards against invariant violations when faults overlap at four hosts.
    faults_at_four_hosts_break_no_invariant(4, 4, 20_000, 10_000);
    /// Guards against invariant violations when faults overlap at five hosts.
    faults_at_five_hosts_break_no_invariant(5, 5, 15_000, 8_000);
}
