//! Steps whose recommended workers may not run them, while others may. The cluster is idle otherwise.

use std::collections::BTreeSet;

use yuccahoist::shard::record::JobState;

use super::cluster::{SimulatedCluster, spec};

/// Longest time for which a job that could run may have nothing running, milliseconds; defined by the platform.
const MAX_IDLE_MS: u64 = 3_000;
/// Duration of the tasks, milliseconds.
const TASK_MS: u64 = 500;
const WORKERS: u32 = 6;
/// Tasks that fill a worker.
const TASKS_PER_WORKER: u32 = 4;

/// How the recommendations of a step change.
#[derive(Debug, Clone, Copy)]
struct Case {
    name: &'static str,
    /// Time for which other tasks fill the workers, milliseconds.
    busy_for: u64,
    /// Numbers of the workers that may run the step at first, and later.
    allowed: [&'static [u32]; 2],
    /// When the second of them comes into force after the submission, milliseconds.
    changes_after: u64,
    /// Number of answers that are for another step.
    mixed_up: u32,
    /// Numbers of the workers that refuse each ticket.
    refuse: &'static [u32],
    tasks: u32,
    is_gang: bool,
}

const BASE: Case = Case {
    name: "",
    busy_for: 0,
    allowed: [&[0, 1, 2], &[0, 1, 2]],
    changes_after: 0,
    mixed_up: 0,
    refuse: &[],
    tasks: 1,
    is_gang: false,
};

fn ids(numbers: &[u32]) -> BTreeSet<String> {
    numbers.iter().map(|number| format!("w{number}")).collect()
}

fn play(case: Case) -> Option<JobState> {
    let mut cluster = SimulatedCluster::new(1, WORKERS);
    cluster.advance(500);
    cluster.allowed = Some(ids(case.allowed[0]));
    cluster.mixed_up_answers = case.mixed_up;
    cluster.refuses_tickets = ids(case.refuse);
    if case.busy_for > 0 {
        cluster.submit(2, spec(WORKERS * TASKS_PER_WORKER, case.busy_for));
        cluster.advance(100);
    }
    let mut job = SimulatedCluster::with_recommendation(spec(case.tasks, TASK_MS));
    job.steps[0].gang = case.is_gang;
    cluster.submit(1, job);
    cluster.advance(case.changes_after);
    cluster.allowed = Some(ids(case.allowed[1]));
    cluster.advance(MAX_IDLE_MS + TASK_MS);
    cluster.query_state(1)
}

/// A step whose recommended workers may all not run it asked for their tickets for ever, and never ran.
#[test]
fn step_leaves_recommended_workers_that_may_not_run_it() {
    let cases = [
        Case { name: "answer for another step", mixed_up: 1, ..BASE },
        Case { name: "two answers for another step", mixed_up: 2, ..BASE },
        Case { name: "gang, answer for another step", mixed_up: 1, tasks: 10, is_gang: true, ..BASE },
        Case {
            name: "policy for other workers",
            busy_for: 4_000,
            allowed: [&[0, 1, 2], &[3, 4, 5]],
            changes_after: 4_000,
            ..BASE
        },
        Case {
            name: "gang, policy for other workers",
            busy_for: 4_000,
            allowed: [&[0, 1, 2], &[3, 4, 5]],
            changes_after: 4_000,
            tasks: 10,
            is_gang: true,
            ..BASE
        },
        Case {
            name: "gang, policy for more workers",
            allowed: [&[0], &[0, 1, 2, 3]],
            changes_after: 1_000,
            tasks: 10,
            is_gang: true,
            ..BASE
        },
        Case {
            name: "no recommended worker at first",
            allowed: [&[], &[0, 1, 2]],
            changes_after: 1_000,
            ..BASE
        },
        Case {
            name: "no recommended worker for long",
            allowed: [&[], &[0, 1, 2]],
            changes_after: 30_000,
            ..BASE
        },
        Case {
            name: "recommended workers refuse each ticket",
            allowed: [&[0, 1, 2], &[0, 1, 2, 3]],
            changes_after: 100,
            refuse: &[0, 1, 2],
            ..BASE
        },
    ];
    let stuck: Vec<_> = cases
        .into_iter()
        .filter_map(|case| {
            let state = play(case);
            (state != Some(JobState::Completed)).then(|| format!("{}: {state:?}", case.name))
        })
        .collect();
    assert!(stuck.is_empty(), "{stuck:#?}");
}
