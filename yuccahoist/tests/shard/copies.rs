//! Copies of a task whose runs may overlap: none is left once the task is done, or its job is cancelled.

use yuccahoist::shard::message::{Answer, Request};
use yuccahoist::shard::{JobKey, StepKey};

use super::cluster::{CallFault, CallKind, SimulatedCluster, spec};

/// Time after the acknowledgement of a cancellation, or the end of a run as done, from which nothing of the job, or of the
/// task, may run, milliseconds; defined by the platform.
const STOP_LIMIT_MS: u64 = 3_900;
/// Duration of the first run, milliseconds.
const TASK_MS: u64 = 6_000;
/// Time from the submission to the cut of the first worker, and from then to its return, milliseconds.
const CUT_MS: (u64, u64) = (1_000, 2_500);
/// Number of the call that cancels the job.
const CANCEL: u64 = 900;

/// Change of the owner.
#[derive(Debug, Clone, Copy)]
struct Takeover {
    /// Time after the submission, milliseconds.
    at: u64,
    /// Whether the write in flight takes effect.
    write_lands: bool,
}

#[derive(Debug, Clone, Copy)]
struct Case {
    name: &'static str,
    /// Time from the submission to the cancellation, milliseconds.
    cancel_at: Option<u64>,
    takeovers: &'static [Takeover],
    /// What happens to the first stop order of the copy.
    stop_fault: Option<CallFault>,
}

const BASE: Case = Case { name: "", cancel_at: Some(8_000), takeovers: &[], stop_fault: None };
/// An order that takes effect after all checks.
const NEVER: Option<CallFault> = Some(CallFault::ExecutedAfter(11_900));

/// Plays the case; returns the number of runs after the limit that should have been stopped.
fn play(case: Case) -> usize {
    let mut cluster = SimulatedCluster::new(1, 3);
    cluster.advance(500);
    let mut job = spec(1, TASK_MS);
    job.steps[0].speculative = true;
    let mut next = job.steps[0].clone();
    next.after = vec![0];
    next.speculative = false;
    job.steps.push(next);
    cluster.submit(1, job);
    cluster.advance(CUT_MS.0);
    let first = cluster.workers_of(1)[0];
    let others = (0..3).filter(|number| *number != first);
    others.for_each(|number| cluster.set_speed(number, 0.3));
    cluster.disconnect(first, CUT_MS.1, false);
    cluster.advance(CUT_MS.1);
    assert_eq!(cluster.starts[&JobKey(1)], 2, "{}: no copy was started", case.name);
    let copy = cluster.workers_of(1).into_iter().find(|number| *number != first).expect("copy");
    if let Some(fault) = case.stop_fault {
        cluster.fault_next_call(copy, CallKind::Stop, fault);
    }
    let mut now = CUT_MS.0 + CUT_MS.1;
    let mut events: Vec<u64> = case.takeovers.iter().map(|t| t.at).chain(case.cancel_at).collect();
    events.sort_unstable();
    events.dedup();
    for at in events {
        cluster.advance(at.saturating_sub(now));
        now = now.max(at);
        for takeover in case.takeovers.iter().filter(|t| t.at == at) {
            cluster.take_over(takeover.write_lands);
        }
        if case.cancel_at == Some(at) {
            cluster.call(CANCEL, Request::Cancel(JobKey(1), None));
            while cluster.answers.get(&CANCEL) != Some(&Answer::Cancelled) {
                cluster.advance(5);
                now += 5;
            }
        }
    }
    cluster.advance(now.max(TASK_MS) + STOP_LIMIT_MS - now);
    let step = |step| StepKey { job: JobKey(1), occurrence: 0, step };
    let next = if case.cancel_at.is_some() { cluster.runs_of_step(step(1)) } else { 0 };
    cluster.runs_of_step(step(0)) + next
}

/// The copy of a task that was done ran on after its job had been cancelled.
#[test]
fn copy_of_a_done_task_is_stopped() {
    let cases = [
        Case { name: "cancelled after the first end", ..BASE },
        Case { name: "cancelled before the first end", cancel_at: Some(4_500), ..BASE },
        Case { name: "cancelled at the first end", cancel_at: Some(6_005), ..BASE },
        Case { name: "not cancelled", cancel_at: None, ..BASE },
        Case { name: "stop order lost", stop_fault: NEVER, ..BASE },
        Case { name: "answer to the stop order lost", stop_fault: Some(CallFault::AnswerLost), ..BASE },
    ];
    let left: Vec<_> = cases.iter().filter(|case| play(**case) > 0).map(|case| case.name).collect();
    assert!(left.is_empty(), "runs are left: {left:?}");
}

/// A new owner took over the placed copy of a task that was done, and never stopped it.
#[test]
fn copy_of_a_done_task_is_stopped_by_the_next_owner() {
    let cases = [
        Case { name: "both at work", takeovers: &[Takeover { at: 5_000, write_lands: true }], ..BASE },
        Case {
            name: "after the first end is stored, stop order lost",
            takeovers: &[Takeover { at: 6_400, write_lands: true }],
            stop_fault: NEVER,
            ..BASE
        },
        Case {
            name: "the same, not cancelled",
            takeovers: &[Takeover { at: 6_400, write_lands: true }],
            stop_fault: NEVER,
            cancel_at: None,
        },
        Case {
            name: "the same, cancelled before the change",
            cancel_at: Some(6_300),
            takeovers: &[Takeover { at: 6_450, write_lands: true }],
            stop_fault: NEVER,
        },
        Case {
            name: "the same, cancelled before the next owner has a report",
            cancel_at: Some(6_400),
            takeovers: &[Takeover { at: 6_400, write_lands: true }],
            stop_fault: NEVER,
        },
        Case {
            name: "as the first end is written, which takes effect",
            takeovers: &[Takeover { at: 6_010, write_lands: true }],
            stop_fault: NEVER,
            ..BASE
        },
        Case {
            name: "as the first end is written, which is lost",
            takeovers: &[Takeover { at: 6_010, write_lands: false }],
            stop_fault: NEVER,
            ..BASE
        },
        Case {
            name: "twice",
            takeovers: &[
                Takeover { at: 6_400, write_lands: true },
                Takeover { at: 6_405, write_lands: true },
            ],
            stop_fault: NEVER,
            ..BASE
        },
    ];
    let left: Vec<_> = cases.iter().filter(|case| play(**case) > 0).map(|case| case.name).collect();
    assert!(left.is_empty(), "runs are left: {left:?}");
}
