//! Single cases of the owner. Each fault that was found by a bench has one.

use std::time::Duration;

use assert_matches::assert_matches;
use yuccahoist::shard::JobKey;
use yuccahoist::shard::desk::{Desk, Lane};
use yuccahoist::shard::message::{Answer, Refusal, Request};
use yuccahoist::shard::record::JobState;
use yuccahoist::shard::spec::{AdviceCost, JobSpec, StepSpec};
use yuccahoist::unit::Resources;

use super::world::{World, spec};

#[test]
fn a_job_is_stored_started_and_shown() {
    let mut world = World::new(1, 4);
    world.run(100);
    world.submit(1, spec(6, 500));
    assert_eq!(world.answers.get(&1), None, "not before it is stored");
    world.run(100);
    assert_eq!(world.answers.get(&1), Some(&Answer::Accepted));
    assert_eq!(world.state(1), Some(JobState::Running));
    world.run(600);
    assert_eq!(world.state(1), Some(JobState::Completed));
    world.submit(1, spec(6, 500));
    world.run(1_000);
    assert_eq!(world.starts[&JobKey(1)], 6, "the same job again is the same job");
}

#[test]
fn steps_wait_for_earlier_ones() {
    let mut world = World::new(1, 4);
    let mut job = spec(3, 400);
    let first = job.steps[0].clone();
    job.steps.push(StepSpec { after: vec![0], ..first.clone() });
    job.steps.push(StepSpec { after: vec![0, 1], gang: true, ..first });
    world.run(100);
    world.submit(1, job);
    world.run(2_000);
    assert_eq!(world.state(1), Some(JobState::Completed));
}

#[test]
fn a_cancelled_job_stops() {
    let mut world = World::new(1, 4);
    world.run(100);
    world.submit(1, spec(4, 60_000));
    world.run(200);
    assert!(!world.places(1).is_empty());
    world.call(9, Request::Cancel(JobKey(1)));
    world.run(600);
    assert_eq!(world.answers.get(&9), Some(&Answer::Cancelled));
    assert!(world.places(1).is_empty());
    assert_eq!(world.state(1), Some(JobState::Cancelled));
}

/// The owner was replaced after it had stored a cancellation and before its orders to stop arrived.
#[test]
fn a_new_owner_stops_what_was_cancelled() {
    let mut world = World::new(1, 4);
    world.run(100);
    world.submit(1, spec(4, 60_000));
    world.run(200);
    world.faults.late = 1.0;
    world.call(9, Request::Cancel(JobKey(1)));
    world.run(30);
    assert_eq!(world.answers.get(&9), Some(&Answer::Cancelled));
    world.faults.late = 0.0;
    world.take_over(true);
    world.run(1_500);
    assert_eq!(world.state(1), Some(JobState::Cancelled));
    assert!(world.places(1).is_empty(), "runs are left on workers {:?}", world.places(1));
}

#[test]
fn a_new_owner_goes_on_without_a_second_run() {
    for lands in [false, true] {
        let mut world = World::new(1, 4);
        world.run(100);
        world.submit(1, spec(8, 2_000));
        world.run(300);
        world.take_over(lands);
        world.run(3_000);
        assert_eq!(world.state(1), Some(JobState::Completed));
        assert_eq!(world.starts[&JobKey(1)], 8, "write lands: {lands}");
    }
}

#[test]
fn a_write_under_way_at_a_takeover_starts_nothing_twice() {
    for lands in [false, true] {
        let mut world = World::new(1, 4);
        world.run(100);
        world.submit(1, spec(8, 2_000));
        // The write of the job and its placements is under way.
        world.run(5);
        world.take_over(lands);
        world.run(4_000);
        let expected = lands.then_some(JobState::Completed);
        assert_eq!(world.state(1), expected, "write lands: {lands}");
    }
}

#[test]
fn tasks_of_a_cut_worker_start_again_after_their_lease() {
    for one_way in [false, true] {
        let mut world = World::new(1, 3);
        world.run(100);
        world.submit(1, spec(1, 3_000));
        world.run(200);
        let place = world.places(1)[0];
        world.cut(place, 20_000, one_way);
        world.run(2_000);
        assert_eq!(world.starts[&JobKey(1)], 1, "one way: {one_way}; the lease has not expired");
        world.run(8_000);
        assert_eq!(world.starts[&JobKey(1)], 2, "one way: {one_way}");
        assert_eq!(world.state(1), Some(JobState::Completed));
    }
}

#[test]
fn copies_do_not_wait_for_the_lease() {
    let mut world = World::new(1, 3);
    let mut job = spec(1, 2_500);
    job.steps[0].copies = true;
    world.run(100);
    world.submit(1, job);
    world.run(200);
    let place = world.places(1)[0];
    world.cut(place, 20_000, false);
    world.run(2_600);
    assert_eq!(world.starts[&JobKey(1)], 2);
}

/// Load: the store is down for seconds. Jobs waited for it until their callers gave up.
#[test]
fn jobs_that_the_store_did_not_get_are_refused() {
    let mut world = World::new(1, 3);
    world.run(100);
    world.store_up = false;
    world.submit(1, spec(1, 100));
    world.run(20);
    world.submit(2, spec(1, 100));
    world.run(400);
    assert_eq!(world.answers.get(&2), None, "a store that is slow gets its time");
    world.run(1_200);
    assert_eq!(world.answers.get(&1), None, "the write under way may take effect");
    let refused = |answer: Option<&Answer>| {
        assert_matches!(answer, Some(Answer::Refused { cause: Refusal::StoreDown, .. }));
    };
    refused(world.answers.get(&2));
    world.submit(3, spec(1, 100));
    refused(world.answers.get(&3));
    world.store_up = true;
    world.run(1_000);
    assert_eq!(world.state(1), Some(JobState::Completed));
    assert!(!world.starts.contains_key(&JobKey(2)), "a refused job never runs");
    world.submit(2, spec(1, 100));
    world.run(500);
    assert_eq!(world.state(2), Some(JobState::Completed), "the caller may come back");
}

/// A run that failed on a worker that was given up was not counted, and the task ran once too often.
#[test]
fn failures_of_given_up_runs_count() {
    let mut world = World::new(1, 3);
    let mut job = spec(1, 4_200);
    job.queue.attempts = 2;
    world.run(100);
    world.faults.failing = 1.0;
    world.submit(1, job);
    world.run(200);
    let place = world.places(1)[0];
    // The run fails behind the cut, after its lease was extended for the last time.
    world.cut(place, 9_000, true);
    world.run(30_000);
    assert_eq!(world.state(1), Some(JobState::Failed));
    assert!(world.starts[&JobKey(1)] <= 3);
}

/// Runs that were being stopped were left out.
#[test]
fn spread_counts_runs_that_are_being_stopped() {
    let mut world = World::new(3, 2);
    world.run(100);
    world.faults.late = 0.3;
    for number in 1..6 {
        let mut job = spec(4, 700);
        job.steps[0].spread = Some(2);
        job.steps[0].need = Resources::new(500, 500, 0);
        world.submit(number, job);
    }
    world.run(40_000);
    for number in 1..6 {
        assert_eq!(world.state(number), Some(JobState::Completed), "job {number}");
    }
}

#[test]
fn a_recommendation_is_asked_once() {
    let mut world = World::new(1, 4);
    world.run(100);
    world.submit(1, World::with_advice(spec(4, 300)));
    world.run(700);
    assert_eq!(world.state(1), Some(JobState::Completed));
    assert_eq!(world.advised, 1);
}

/// Load: small work keeps coming while a gang waits that needs the whole fleet.
#[test]
fn a_wide_gang_is_not_starved() {
    let mut world = World::new(1, 4);
    world.run(100);
    for number in 0..8 {
        world.submit(100 + number, spec(2, 900));
    }
    let mut gang = spec(16, 1_000);
    gang.steps[0].gang = true;
    world.run(50);
    world.submit(1, gang);
    for number in 0..40 {
        world.run(200);
        world.submit(200 + number, spec(1, 900));
    }
    assert_eq!(world.state(1), Some(JobState::Completed));
}

/// An owner that had been frozen took the silence of its own pause for tasks that stand still, and stopped them.
#[test]
fn a_pause_of_the_owner_is_not_the_tasks_standing_still() {
    let mut world = World::new(1, 2);
    world.run(100);
    world.submit(1, spec(2, 8_000));
    world.run(3_000);
    world.freeze(2_900);
    world.run(6_000);
    assert_eq!(world.state(1), Some(JobState::Completed));
    assert_eq!(world.starts[&JobKey(1)], 2, "each task was started once");
}

fn serving(target: u64) -> JobSpec {
    let mut job = spec(2, 1_000);
    (job.steps[0].lasting, job.steps[0].tail) = (true, Some(Duration::from_millis(target)));
    job.steps[0].spread = Some(1);
    job
}

fn filling(tasks: u32) -> JobSpec {
    let mut job = spec(tasks, 30_000);
    job.queue.priority = 2;
    job.steps[0].fills = true;
    job
}

/// Load: fillers that take the tail of what serves beside them to more than its target.
#[test]
fn fillers_give_way_to_what_serves() {
    struct Case {
        name: &'static str,
        target: u64,
        take_over: bool,
        expected: fn(u64) -> bool,
    }
    let cases = [
        Case { name: "no room for any", target: 65, take_over: false, expected: |speed| speed <= 20 },
        Case { name: "room for some", target: 150, take_over: false, expected: |s| s > 0 && s < 100 },
        Case { name: "room for all", target: 1_000, take_over: false, expected: |speed| speed == 100 },
        Case { name: "new owner", target: 65, take_over: true, expected: |speed| speed <= 20 },
    ];
    for case in cases {
        let mut world = World::new(1, 2);
        world.run(100);
        world.submit(1, serving(case.target));
        world.run(500);
        world.submit(2, filling(6));
        let mut over = 0;
        for step in 0..200 {
            if case.take_over && step == 60 {
                world.take_over(true);
            }
            world.run(100);
            over = if world.worst_tail() > 100 { over + 100 } else { 0 };
            assert!(over < 3_000, "{}: the tail was over its target for {over} ms", case.name);
        }
        let speeds = world.speeds();
        assert!(speeds.iter().all(|speed| (case.expected)(*speed)), "{}: {speeds:?}", case.name);
        assert_eq!(world.starts[&JobKey(1)], 2, "{}: what serves goes on", case.name);
        assert_eq!(world.starts[&JobKey(2)], 6, "{}: a slow filler is left at work", case.name);
    }
}

/// Load: one host is left, and steps need more recommendations than it can ask for.
#[test]
fn what_one_host_can_not_ask_for_is_refused() {
    let mut world = World::new(1, 12);
    let mut desk = Desk::default();
    desk.open(Lane::Own);
    world.desk = Some(desk);
    world.run(100);
    struct Kind {
        millis: u64,
        stretch: f64,
    }
    // The quick queue is the most urgent one, the slowest comes second.
    let kinds = [
        Kind { millis: 700, stretch: 3.0 },
        Kind { millis: 100, stretch: 100.0 },
        Kind { millis: 11, stretch: 1.5 },
    ];
    for number in 1..=600 {
        let kind = &kinds[match number % 20 {
            0 => 0,
            1..=4 => 1,
            _ => 2,
        }];
        let mut job = spec(1, 500);
        job.steps[0].need = Resources::new(100, 100, 0);
        job.queue.target = Duration::from_millis(300);
        job.queue.stretch = kind.stretch;
        job.queue.advice = Some(AdviceCost {
            decide: Duration::from_millis(kind.millis),
            each: Duration::ZERO,
            validity: Duration::from_millis(2_500),
        });
        world.submit(number, job);
        world.run(25);
    }
    let accepted: Vec<u64> = (1..=600).filter(|number| world.is_accepted(*number)).collect();
    let quick = accepted.iter().filter(|number| **number % 20 > 4).count();
    assert!(quick > 440, "quick calls are never in the way: {quick}");
    assert!(
        accepted.len() > quick + 60,
        "slow calls are made as far as possible: {}",
        accepted.len() - quick
    );
    // The platform asks for every accepted job 14 s after the end of the traffic.
    world.run(11_000);
    for number in accepted {
        assert_eq!(world.state(number), Some(JobState::Completed), "job {number}");
    }
}
