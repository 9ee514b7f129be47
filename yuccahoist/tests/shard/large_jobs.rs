//! Jobs with as many steps or tasks as a submission can hold: one must not occupy the owner.

use std::sync::mpsc;
use std::time::Duration;

use yuccahoist::shard::message::Answer;
use yuccahoist::shard::record::JobState;
use yuccahoist::shard::spec::{JobSpec, Repeat, StepSpec};
use yuccahoist::unit::Resources;

use super::cluster::{SimulatedCluster, WORKER_CAPACITY, spec};

/// Real time after which a case counts as hanging; the platform asks for jobs 14 s after the end of the traffic.
const MAX_CASE_TIME: Duration = Duration::from_secs(14);
/// Steps or tasks of the large jobs; the bench `large_job` has the slopes up to the largest submission.
const STEPS: u32 = 3_000;

/// Returns a job of `count` steps of one small task, each depending on the steps that `after` returns for its number.
fn stepped(count: u32, after: impl Fn(u32) -> Vec<u32>) -> JobSpec {
    let step = |number: u32| StepSpec {
        tasks: 1,
        resources: Resources::new(1, 1, 0),
        estimate: Duration::from_millis(100),
        after: after(number),
        ..StepSpec::default()
    };
    JobSpec { steps: (0..count).map(step).collect(), ..spec(1, 100) }
}

/// Returns a job of one step of `tasks` small tasks.
fn wide(tasks: u32) -> JobSpec {
    let mut job = stepped(1, |_| Vec::new());
    job.steps[0].tasks = tasks;
    job
}

/// One submission with thousands of steps occupied the processor of the owner for minutes, and then that of each successor
/// to which it was sent.
#[test]
fn large_submission_does_not_occupy_the_owner() {
    struct Case {
        name: &'static str,
        job: fn() -> JobSpec,
        with_recommendation: bool,
    }
    let base = Case { name: "", job: || wide(1), with_recommendation: false };
    let cases = [
        Case { name: "many steps", job: || stepped(STEPS, |_| Vec::new()), ..base },
        Case {
            name: "steps with recommendations",
            job: || stepped(STEPS, |_| Vec::new()),
            with_recommendation: true,
        },
        Case { name: "chain", job: || stepped(STEPS, |n| n.checked_sub(1).into_iter().collect()), ..base },
        Case {
            name: "last step waits for all",
            job: || stepped(STEPS, |n| if n == STEPS - 1 { (0..n).collect() } else { Vec::new() }),
            ..base
        },
        Case {
            name: "step that waits for the same step again and again",
            job: || stepped(STEPS, |n| if n == STEPS - 1 { vec![0; 60_000] } else { Vec::new() }),
            ..base
        },
        Case { name: "many tasks", job: || wide(STEPS), ..base },
        Case {
            name: "many tasks with a limit for each worker",
            job: || {
                let mut job = wide(STEPS);
                job.steps[0].max_per_worker = Some(1);
                job
            },
            ..base
        },
        Case {
            name: "large gang",
            job: || {
                let mut job = wide(1_000);
                job.steps[0].gang = true;
                job
            },
            ..base
        },
        Case {
            name: "gang larger than the fleet",
            job: || {
                let mut job = wide(STEPS);
                (job.steps[0].gang, job.steps[0].resources) = (true, WORKER_CAPACITY);
                job
            },
            ..base
        },
        Case {
            name: "many occurrences at once",
            job: || JobSpec {
                repeat: Some(Repeat { count: STEPS, start: 0, interval: 0 }),
                ..stepped(1, |_| Vec::new())
            },
            ..base
        },
    ];
    for case in cases {
        let job = (case.job)();
        let job = if case.with_recommendation { SimulatedCluster::with_recommendation(job) } else { job };
        let (sender, finished) = mpsc::channel();
        let play = std::thread::spawn(move || {
            let mut cluster = SimulatedCluster::new(1, 8);
            cluster.advance(100);
            cluster.submit(1, job);
            cluster.advance(100);
            let answer = cluster.answers.get(&1).cloned();
            cluster.submit(2, spec(1, 100));
            cluster.advance(3_000);
            let states = [cluster.query_state(2)];
            cluster.take_over(true);
            cluster.submit(3, spec(1, 100));
            cluster.advance(1_500);
            sender.send((answer, states[0], cluster.query_state(3))).expect("the test waits");
        });
        let result = finished.recv_timeout(MAX_CASE_TIME);
        if let Err(mpsc::RecvTimeoutError::Disconnected) = result {
            play.join().unwrap_or_else(|_| panic!("{}: the play failed", case.name));
        }
        let (answer, before, after) = result.unwrap_or_else(|_| panic!("{}: the owner hangs", case.name));
        assert_eq!(answer, Some(Answer::Accepted), "{}", case.name);
        assert_eq!(before, Some(JobState::Completed), "{}: another job", case.name);
        assert_eq!(after, Some(JobState::Completed), "{}: another job after a takeover", case.name);
    }
}

/// The work of a job was counted once for each of its waiting steps, so a job of many steps had all others refused on a fleet
/// that could do its work in seconds.
#[test]
fn work_of_waiting_job_counts_once_in_the_backlog() {
    struct Case {
        name: &'static str,
        steps: u32,
        is_refused: bool,
    }
    // Each step takes up a worker for a second, and the fleet has three.
    let cases = [
        Case { name: "backlog of 20 s", steps: 60, is_refused: false },
        Case { name: "backlog of 100 s", steps: 300, is_refused: true },
    ];
    for case in cases {
        let mut cluster = SimulatedCluster::new(1, 3);
        let mut job = stepped(case.steps, |_| Vec::new());
        for step in &mut job.steps {
            (step.resources, step.estimate) = (WORKER_CAPACITY, Duration::from_secs(1));
        }
        cluster.advance(100);
        cluster.submit(1, job);
        cluster.advance(100);
        cluster.submit(2, spec(1, 100));
        cluster.advance(100);
        let is_refused = matches!(cluster.answers.get(&2), Some(Answer::Refused { .. }));
        assert_eq!(is_refused, case.is_refused, "{}: {:?}", case.name, cluster.answers.get(&2));
    }
}

/// The record of a job outgrew the largest one that the store takes. The store refused it for ever, so the owner and each
/// successor were stuck.
#[test]
fn records_of_large_jobs_fit_into_the_store() {
    struct Case {
        name: &'static str,
        job: fn() -> JobSpec,
        is_valid: bool,
        /// Length of the checkpoints that the tasks save, bytes.
        checkpoint: usize,
        failed_run: f64,
    }
    let base = Case { name: "", job: || wide(1), is_valid: true, checkpoint: 0, failed_run: 0.0 };
    let cases = [
        Case {
            name: "as many steps as a body holds",
            job: || stepped(15_000, |_| Vec::new()),
            is_valid: false,
            ..base
        },
        Case { name: "steps that fit", job: || stepped(2_000, |_| Vec::new()), ..base },
        Case {
            name: "long texts",
            job: || {
                let mut job = stepped(2_000, |_| Vec::new());
                job.steps.iter_mut().for_each(|step| step.image = Some("i".repeat(200)));
                job
            },
            is_valid: false,
            ..base
        },
        Case { name: "more tasks than fit", job: || wide(20_001), is_valid: false, ..base },
        Case {
            name: "tasks with many attempts",
            job: || {
                let mut job = wide(15_000);
                job.queue.max_failures = 9;
                job
            },
            is_valid: false,
            ..base
        },
        Case { name: "tasks that fit", job: || wide(4_000), ..base },
        Case {
            name: "checkpoints",
            job: || {
                let mut job = wide(4_000);
                (job.steps[0].checkpoints, job.steps[0].estimate) = (true, Duration::from_millis(1_500));
                job
            },
            checkpoint: 300,
            failed_run: 0.5,
            ..base
        },
        Case { name: "failures", job: || wide(4_000), failed_run: 0.5, ..base },
    ];
    for case in cases {
        let mut cluster = SimulatedCluster::new(1, 8);
        cluster.checkpoint_bytes = case.checkpoint;
        cluster.faults.failed_run = case.failed_run;
        cluster.advance(100);
        cluster.submit(1, (case.job)());
        cluster.advance(100);
        let is_invalid = matches!(cluster.answers.get(&1), Some(Answer::Invalid(_)));
        assert_eq!(is_invalid, !case.is_valid, "{}: {:?}", case.name, cluster.answers.get(&1));
        cluster.advance(1_000);
        cluster.take_over(true);
        cluster.advance(1_000);
        cluster.faults.failed_run = 0.0;
        cluster.submit(2, spec(1, 100));
        cluster.advance(1_000);
        assert_eq!(cluster.query_state(2), Some(JobState::Completed), "{}: another job", case.name);
    }
}
