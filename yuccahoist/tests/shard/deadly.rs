//! Tasks that crash their workers, beside tasks that do not.

use std::collections::BTreeSet;

use proptest::prelude::*;
use rand::RngExt;
use yuccahoist::shard::JobKey;
use yuccahoist::shard::record::JobState;
use yuccahoist::shard::spec::{JobSpec, Repeat};

use super::cluster::{DeadlyTasks, SimulatedCluster, spec};

/// Number of the deadly job.
const DEADLY_JOB: u64 = 1;
/// Numbers of the jobs that run beside it.
const INNOCENT_JOBS: std::ops::RangeInclusive<u64> = 100..=130;
/// Time after which all jobs have ended.
const SETTLE_MS: u64 = 60_000;

struct Case {
    name: &'static str,
    tasks: u32,
    /// Indexes of the deadly tasks.
    deadly: &'static [u32],
    crash_after: u64,
    down: u64,
    /// Whether crashed workers are back under another id.
    new_id: bool,
    shape: fn(&mut JobSpec),
    /// Times of takeovers, milliseconds after the submission.
    takeovers: &'static [u64],
    /// Time of an outage of the store of three seconds, milliseconds after the submission.
    outage: Option<u64>,
}

const BASE: Case = Case {
    name: "single task",
    tasks: 1,
    deadly: &[0],
    crash_after: 10,
    down: 3_300,
    new_id: false,
    shape: |_| {},
    takeovers: &[],
    outage: None,
};

fn gang(job: &mut JobSpec) {
    job.steps[0].gang = true;
}

fn overlapping(job: &mut JobSpec) {
    job.steps[0].speculative = true;
}

fn lasting(job: &mut JobSpec) {
    job.steps[0].long_running = true;
}

fn recurring(job: &mut JobSpec) {
    job.repeat = Some(Repeat { count: 8, start: 1_790_000_100_000, interval: 1_500 });
}

fn play(case: &Case) -> SimulatedCluster {
    let mut cluster = SimulatedCluster::new(1, 12);
    cluster.advance(200);
    for number in INNOCENT_JOBS {
        cluster.submit(number, spec(1, 200 + 90 * (number - INNOCENT_JOBS.start())));
    }
    cluster.advance(400);
    let tasks: BTreeSet<_> = case.deadly.iter().map(|index| (JobKey(DEADLY_JOB), *index)).collect();
    cluster.deadly =
        Some(DeadlyTasks { tasks, crash_after: case.crash_after, down: case.down, new_id: case.new_id });
    let mut job = spec(case.tasks, 2_500);
    (case.shape)(&mut job);
    cluster.submit(DEADLY_JOB, job);
    for elapsed in (0..SETTLE_MS).step_by(100) {
        if case.takeovers.contains(&elapsed) {
            cluster.take_over(true);
        }
        if let Some(from) = case.outage {
            cluster.store_up = !(from..from + 3_000).contains(&elapsed);
        }
        cluster.advance(100);
    }
    cluster
}

fn check(cases: &[Case]) {
    for case in cases {
        let mut cluster = play(case);
        assert!(!cluster.crashes.is_empty(), "{}: no worker crashed", case.name);
        assert_eq!(cluster.query_state(DEADLY_JOB), Some(JobState::Failed), "{}", case.name);
        for job in INNOCENT_JOBS {
            assert_eq!(cluster.query_state(job), Some(JobState::Completed), "{}: job {job}", case.name);
        }
    }
}

#[test]
fn task_that_crashes_its_workers_is_given_up() {
    check(&[
        BASE,
        Case { name: "crash before the start is answered", crash_after: 0, ..BASE },
        Case { name: "crash after a report listed the run", crash_after: 1_200, ..BASE },
        Case { name: "worker back after the lease", down: 7_000, ..BASE },
        Case { name: "worker back under another id", new_id: true, ..BASE },
        Case { name: "worker back under another id after the lease", down: 7_000, new_id: true, ..BASE },
        Case { name: "worker back at once", down: 50, ..BASE },
        Case { name: "one of a gang", tasks: 8, deadly: &[3], shape: gang, ..BASE },
        Case { name: "a whole gang", tasks: 8, deadly: &[0, 1, 2, 3, 4, 5, 6, 7], shape: gang, ..BASE },
        Case {
            name: "late crash in a gang",
            tasks: 8,
            deadly: &[3],
            crash_after: 1_200,
            shape: gang,
            ..BASE
        },
        Case { name: "task that lasts", shape: lasting, ..BASE },
        Case { name: "late crash of a task that lasts", crash_after: 4_000, shape: lasting, ..BASE },
        Case { name: "occurrences", shape: recurring, ..BASE },
        Case { name: "takeover between the crashes", takeovers: &[2_000], ..BASE },
        Case { name: "takeover at the crash", takeovers: &[100], ..BASE },
        Case { name: "a takeover for each crash", takeovers: &[100, 3_600, 7_200, 10_900, 14_500], ..BASE },
        Case {
            name: "takeovers, worker back after the lease",
            down: 7_000,
            takeovers: &[2_000, 9_000],
            ..BASE
        },
        Case {
            name: "gang and takeovers",
            tasks: 8,
            deadly: &[3],
            shape: gang,
            takeovers: &[2_000, 9_000],
            ..BASE
        },
        Case { name: "outage of the store", outage: Some(100), ..BASE },
        Case { name: "outage of the store at the second crash", outage: Some(3_400), ..BASE },
    ]);
}

#[test]
fn copies_of_deadly_task_do_not_crash_worker_after_worker() {
    let base = Case { shape: overlapping, ..BASE };
    check(&[
        Case { name: "single task", ..base },
        Case { name: "crash before the start is answered", crash_after: 0, ..base },
        Case { name: "crash after a report listed the run", crash_after: 1_200, ..base },
        Case { name: "some of many", tasks: 8, deadly: &[0, 5], ..base },
        Case { name: "worker back after the lease", down: 7_000, ..base },
        Case { name: "takeovers", takeovers: &[100, 2_000], ..base },
    ]);
}

/// Workers that fall silent, leave after draining or crash at random must not fail jobs of harmless tasks.
#[test]
fn harmless_tasks_outlive_lost_workers() {
    struct Case {
        name: &'static str,
        /// Makes one of twelve workers unavailable.
        fault: fn(&mut SimulatedCluster, usize),
        shape: fn(&mut JobSpec),
    }
    let cases = [
        Case { name: "cut for long", fault: |c, w| c.disconnect(w, 8_000, false), shape: |_| {} },
        Case {
            name: "cut, runs may overlap",
            fault: |c, w| c.disconnect(w, 8_000, true),
            shape: overlapping,
        },
        Case { name: "silent for a moment", fault: |c, w| c.disconnect(w, 1_500, true), shape: overlapping },
        Case { name: "silent, tasks last", fault: |c, w| c.disconnect(w, 8_000, false), shape: lasting },
        Case { name: "crashes", fault: |c, w| c.crash_worker(w, 3_000), shape: |_| {} },
        Case { name: "crashes under gangs", fault: |c, w| c.crash_worker(w, 3_000), shape: gang },
    ];
    for case in cases {
        let mut cluster = SimulatedCluster::new(1, 12);
        cluster.advance(200);
        for number in 1..=10 {
            let mut job = spec(4, 1_500);
            (case.shape)(&mut job);
            cluster.submit(number, job);
        }
        for round in 0..8 {
            cluster.advance(1_700);
            (case.fault)(&mut cluster, (round * 5) % 12);
        }
        cluster.advance(SETTLE_MS);
        for job in 1..=10 {
            let state = cluster.query_state(job);
            let expected = if case.name.ends_with("last") { JobState::Running } else { JobState::Completed };
            assert_eq!(state, Some(expected), "{}: job {job}", case.name);
        }
        cluster.check_settled();
    }
}

#[test]
fn order_that_finds_worker_dead_is_not_held_against_task() {
    let mut cluster = SimulatedCluster::new(1, 2);
    cluster.advance(200);
    cluster.submit(1, spec(1, 1_000));
    for _ in 0..2 {
        // The placement is written, and both workers crash before the order arrives.
        cluster.advance(5);
        cluster.crash_worker(0, 3_000);
        cluster.crash_worker(1, 3_000);
        cluster.advance(3_300);
    }
    cluster.advance(20_000);
    assert_eq!(cluster.query_state(1), Some(JobState::Completed));
}

/// Time by which the harmless jobs among a hundred deadly ones have to be done: that of their work, and of two crashes of
/// three seconds for each deadly job, spread over twelve workers.
const FLOOD_MS: u64 = 80_000;

#[test]
fn harmless_tasks_are_served_among_a_hundred_deadly_ones() {
    let mut cluster = SimulatedCluster::new(1, 12);
    cluster.advance(200);
    let tasks = (1..=100).map(|number| (JobKey(number), 0)).collect();
    cluster.deadly = Some(DeadlyTasks { tasks, crash_after: 10, down: 3_000, new_id: false });
    for number in 1..=100 {
        cluster.submit(number, spec(1, 1_000));
        cluster.submit(1_000 + number, spec(2, 500));
        cluster.advance(100);
    }
    cluster.advance(FLOOD_MS);
    for number in 1..=100 {
        assert_eq!(cluster.query_state(number), Some(JobState::Failed), "deadly job {number}");
    }
    let completed = (1_001..=1_100).filter(|job| cluster.query_state(*job) == Some(JobState::Completed));
    assert_eq!(completed.count(), 100, "harmless jobs that completed");
}

/// Crashes under a task after which the platform allows it to be given up, deadly or not.
const MIN_CRASHES_OF_FAILED: u32 = 2;

/// Plays deadly and harmless jobs of all kinds under takeovers, outages of the store, silent and crashing workers. The
/// simulation checks the budget of the deadly tasks; the harmless ones must
/// be done unless many workers crashed under them.
fn mix(seed: u64) {
    let mut cluster = SimulatedCluster::new(seed, 12);
    cluster.advance(200);
    let crash_after = [0, 10, 300, 1_500][cluster.rng.random_range(0..4)];
    let down = cluster.rng.random_range(50..9_000);
    let new_id = cluster.rng.random_bool(0.3);
    cluster.max_registry_delay = cluster.rng.random_range(0..800);
    cluster.deadly = Some(DeadlyTasks { tasks: BTreeSet::new(), crash_after, down, new_id });
    let mut deadly_jobs = BTreeSet::new();
    for number in 1..=30 {
        let rng = &mut cluster.rng;
        let mut job = spec(rng.random_range(1..6), rng.random_range(1_600..3_000));
        let shapes: [fn(&mut JobSpec); 5] = [|_| {}, |_| {}, gang, overlapping, lasting];
        shapes[rng.random_range(0..5)](&mut job);
        let index = rng.random_range(0..job.steps[0].tasks);
        if rng.random_bool(0.15) {
            deadly_jobs.insert(number);
            cluster.deadly.as_mut().expect("set above").tasks.insert((JobKey(number), index));
        }
        cluster.submit(number, job);
        let gap = cluster.rng.random_range(0..800);
        cluster.advance(gap);
        match cluster.rng.random_range(0..20) {
            0 | 1 => {
                let write_lands = cluster.rng.random_bool(0.5);
                cluster.take_over(write_lands);
            }
            2 => {
                let worker = cluster.rng.random_range(0..12);
                cluster.disconnect(worker, 2_000, true);
            }
            3 => {
                cluster.store_up = false;
                cluster.advance(2_000);
                cluster.store_up = true;
            }
            _ => {}
        }
    }
    cluster.advance(2 * SETTLE_MS);
    for number in (1..=30).filter(|number| cluster.is_accepted(*number)).collect::<Vec<_>>() {
        let state = cluster.query_state(number);
        let is_deadly = deadly_jobs.contains(&number);
        let lost_workers = cluster.lost_workers.iter().filter(|(task, _)| task.step.job == JobKey(number));
        let may_fail = lost_workers.map(|(_, count)| *count).max() >= Some(MIN_CRASHES_OF_FAILED);
        let failed = state == Some(JobState::Failed);
        assert!(failed == is_deadly || (failed && may_fail), "seed {seed}: job {number} is {state:?}");
    }
    cluster.check_settled();
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, ..ProptestConfig::default() })]

    #[test]
    fn deadly_tasks_keep_their_budget_under_faults(seed in any::<u64>()) {
        mix(seed);
    }
}

/// A worker that crashed under two runs of a task counted as two workers, so a harmless job was given up after two crashes.
#[test]
fn two_runs_of_a_task_on_one_worker_count_as_one_crash() {
    let mut cluster = SimulatedCluster::new(1, 1);
    let mut job = spec(1, 8_000);
    job.steps[0].speculative = true;
    cluster.advance(500);
    cluster.submit(1, job);
    for crash in 1..=2 {
        cluster.advance(1_500);
        cluster.disconnect(0, 1_500, false);
        cluster.advance(3_000);
        cluster.crash_worker(0, 600);
        cluster.advance(1_500);
        assert_ne!(cluster.query_state(1), Some(JobState::Failed), "after {crash} crashes");
    }
}
