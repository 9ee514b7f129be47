//! Jobs and their tasks under faults: I1 and I2.

use yuccahoist::event::{JobCall, JobReply};
use yuccahoist::job::JobKind;

use crate::cell::name;
use crate::plan::{Fault, ScheduledFault};
use crate::world::{Failpoint, World};
use crate::{seconds, serving_world};

/// Returns a serving cell with few request calls besides the jobs of the test.
fn lightly_loaded(seed: u64) -> World {
    let mut world = serving_world(seed, 3);
    world.call_rate = 3.0;
    world
}

/// Asks a host for the state of a job and returns it with its reason, or the unexpected replies.
fn job_state(world: &mut World, host: usize, id: &str) -> String {
    let call = world.send_job_call(host, JobCall::Status(name(id)));
    world.run_for(seconds(1));
    match world.jobs[&call].as_slice() {
        [(_, JobReply::Status(status))] => {
            format!("{}: {}", status.state, status.reason.clone().unwrap_or_default())
        }
        other => format!("{other:?}"),
    }
}

/// Runs `faults` for `span` seconds, then asserts that all submitted jobs have finished and all invariants hold.
fn assert_all_jobs_finish(world: &mut World, faults: &[ScheduledFault], span: u64) {
    world.run_with_faults(faults, seconds(span));
    let jobs = world.submitted.clone();
    assert!(!jobs.is_empty());
    for id in jobs {
        let state = job_state(world, 0, &id);
        assert!(state.starts_with("finished"), "{id} is {state}");
    }
    world.finish();
}

/// Guards against a gang that stays partly started, runs twice or never runs when its coordinator crashes around the
/// commit.
#[test]
fn gang_survives_a_crash_of_its_coordinator() {
    for (seed, failpoint) in [(200, Failpoint::BeforeCommit), (201, Failpoint::AfterCommit)] {
        let mut world = lightly_loaded(seed);
        for host in 0..3 {
            world.nodes[host].failpoint = Some(failpoint);
        }
        let faults = [
            (500, Fault::Jobs, 0),
            (9_000, Fault::Failpoint(0, failpoint), 1),
            (9_000, Fault::Failpoint(1, failpoint), 1),
            (9_000, Fault::Failpoint(2, failpoint), 1),
        ];
        assert_all_jobs_finish(&mut world, &faults, 75);
    }
}

/// Guards against a new attempt of a task while an earlier one may still run.
#[test]
fn tasks_run_once_at_a_time_when_hosts_and_workers_fail() {
    let mut world = lightly_loaded(210);
    let faults = [
        (500, Fault::Jobs, 0),
        (1_500, Fault::Kill(0), 3_000),
        (2_000, Fault::WorkerCrash(1), 20_000),
        (6_000, Fault::Pause(1), 8_000),
        (9_000, Fault::Jobs, 0),
        (9_500, Fault::MessageFaults, 10_000),
        (16_000, Fault::RackCrash(2), 3_000),
    ];
    assert_all_jobs_finish(&mut world, &faults, 100);
}

/// Guards against job records that are lost or duplicated when answers of the log are lost.
#[test]
fn jobs_end_when_answers_of_the_log_are_lost() {
    let mut world = lightly_loaded(220);
    let faults = [
        (100, Fault::LoseAppendAnswers, 10_000),
        (200, Fault::Jobs, 0),
        (4_000, Fault::Jobs, 0),
        (11_000, Fault::LateAppends, 8_000),
        (12_000, Fault::Jobs, 0),
    ];
    assert_all_jobs_finish(&mut world, &faults, 75);
}

/// Guards against overcommitted workers when the fleet is full, usage reports lag and declared sizes are wrong.
#[test]
fn full_fleet_with_wrong_sizes_is_never_overcommitted() {
    let mut world = lightly_loaded(230);
    for _ in 0..4 {
        world.submit(JobKind::Batch, 12, 5);
        world.submit(JobKind::Gang, 3, 7);
    }
    world.run_for(seconds(3));
    assert_all_jobs_finish(&mut world, &[(1_000, Fault::Kill(0), 2_000), (8_000, Fault::Kill(1), 2_000)], 90);
    let peak = world.workers.values().map(|worker| worker.peak_allocation).max();
    assert!(
        peak.is_some_and(|peak| (900..=1_000).contains(&peak)),
        "largest allocation of a worker: {peak:?} per mille"
    );
}

/// Guards against a job too large for any worker that blocks other jobs or waits without a stated reason.
#[test]
fn job_that_can_never_run_blocks_no_other() {
    let mut world = lightly_loaded(240);
    world.begin_fault(Fault::OversizedJob, 0);
    let oversized = world.submitted.pop().expect("job was submitted");
    assert_all_jobs_finish(&mut world, &[(500, Fault::Jobs, 0)], 30);
    let state = job_state(&mut world, 1, &oversized);
    assert!(state.starts_with("waiting: ") && state.len() > "waiting: ".len() + 5, "{state}");
}

/// Guards against cancelled jobs that keep running, and against bursts of jobs and cancellations that stop other work.
#[test]
fn bursts_of_cancellations_end_all_jobs() {
    let mut world = lightly_loaded(250);
    let mut faults: Vec<ScheduledFault> = (0..8).map(|number| (number * 100, Fault::Jobs, 0)).collect();
    faults.extend([
        (2_500, Fault::CancelJobs, 0),
        (2_600, Fault::CancelJobs, 0),
        (2_700, Fault::Kill(2), 2_000),
    ]);
    assert_all_jobs_finish(&mut world, &faults, 60);
}

/// Guards against a worker that fails every task at once, therefore looks idle and attracts all new tasks.
#[test]
fn worker_that_fails_every_task_does_not_end_jobs() {
    let mut world = lightly_loaded(260);
    let faults = [(100, Fault::FailTasks(3), 60_000), (500, Fault::Jobs, 0), (9_000, Fault::Jobs, 0)];
    assert_all_jobs_finish(&mut world, &faults, 50);
}
