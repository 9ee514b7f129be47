//! Tasks that crash their workers, beside tasks that do not.

use std::collections::BTreeSet;

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
    cluster.deadly = Some(DeadlyTasks { tasks, crash_after: case.crash_after, down: case.down });
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
