//! Random faults: late orders, failing runs, cut workers, changes of owner, outages of the store.

use proptest::prelude::*;
use rand::RngExt;
use yuccahoist::shard::JobKey;
use yuccahoist::shard::message::{Answer, Request};
use yuccahoist::shard::record::JobState;
use yuccahoist::shard::spec::StepSpec;
use yuccahoist::unit::Resources;

use super::world::{World, spec};

fn random_job(world: &mut World) -> yuccahoist::shard::spec::JobSpec {
    let rng = &mut world.rng;
    let mut job = spec(rng.random_range(1..6), rng.random_range(200..3_000));
    job.queue.attempts = 6;
    let step = &mut job.steps[0];
    step.need = Resources::new(rng.random_range(200..6_000), rng.random_range(500..20_000), 0);
    step.gang = rng.random_bool(0.3);
    step.copies = !step.gang && rng.random_bool(0.2);
    step.spread = rng.random_bool(0.2).then_some(2);
    if rng.random_bool(0.4) {
        let second = StepSpec { after: vec![0], gang: false, spread: None, ..step.clone() };
        job.steps.push(second);
    }
    if rng.random_bool(0.3) { World::with_advice(job) } else { job }
}

/// Checks of the world hold all the while, and every accepted job comes to an end.
fn soak(seed: u64) {
    let mut world = World::new(seed, 6);
    world.run(100);
    world.faults.late = 0.05;
    world.faults.failing = 0.05;
    let mut cancelled = Vec::new();
    for number in 1..=60 {
        let job = random_job(&mut world);
        world.submit(number, job);
        let pause = world.rng.random_range(0..500);
        world.run(pause);
        match world.rng.random_range(0..24) {
            0 => {
                let (worker, millis) = (world.rng.random_range(0..6), world.rng.random_range(500..9_000));
                let one_way = world.rng.random_bool(0.5);
                world.cut(worker, millis, one_way);
            }
            1 | 2 => {
                let lands = world.rng.random_bool(0.5);
                world.take_over(lands);
            }
            3 => {
                world.store_up = false;
                let outage = world.rng.random_range(100..4_000);
                world.run(outage);
                world.store_up = true;
            }
            4 => {
                world.call(1_000 + number, Request::Cancel(JobKey(number)));
                cancelled.push(number);
            }
            _ => {}
        }
        world.state(number);
    }
    world.faults.late = 0.0;
    world.faults.failing = 0.0;
    world.run(60_000);
    for number in 1..=60 {
        let accepted = world.is_accepted(number);
        let state = world.state(number);
        if cancelled.contains(&number) && world.answers.get(&(1_000 + number)) == Some(&Answer::Cancelled) {
            assert!(
                state.is_some_and(JobState::is_final),
                "seed {seed}: cancelled job {number} is {state:?}"
            );
        } else if accepted {
            let ended = matches!(state, Some(JobState::Completed | JobState::Failed));
            assert!(ended || cancelled.contains(&number), "seed {seed}: accepted job {number} is {state:?}");
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, ..ProptestConfig::default() })]

    #[test]
    fn promises_hold_under_faults(seed in any::<u64>()) {
        soak(seed);
    }
}
