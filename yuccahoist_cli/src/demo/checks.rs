//! Checks of the invariants against the records of the stand-ins.

use std::collections::BTreeMap;
use std::time::Duration;

use yuccahoist::id::{RequestId, TaskId};
use yuccahoist::unit::Resources;
use yuccahoist_standins::cluster::Cluster;

use super::caller::{Call, Reply};
use super::invariant::Invariant;
use super::jobs::JobResult;
use super::script::{DRAIN_LIMIT, ScriptResult};

/// Capacity of each worker of the demo, as in the published base document.
const WORKER_CAPACITY: Resources = Resources::new(16_000, 65_536, 0);
/// Request slots of each backend server of the demo.
const BACKEND_SLOTS: u32 = 8;
/// Connection limit of each backend server of the demo.
const BACKEND_CONNECTIONS: u32 = 64;
/// Allowance for the caller's connection set-up: the deadline counts from the arrival at the host.
const CONNECT_ALLOWANCE: Duration = Duration::from_millis(100);

/// Counts the violations of each invariant.
pub(crate) fn violations(
    cluster: &Cluster,
    calls: &[Call],
    script: &ScriptResult,
    jobs: &[JobResult],
) -> BTreeMap<Invariant, usize> {
    let run_counts = cluster.backends.run_counts();
    let count = |invariant| match invariant {
        Invariant::Capacity => capacity_violations(cluster),
        Invariant::OnePlace => overlapping_attempts(cluster),
        Invariant::OwnAnswer => calls.iter().filter(|c| c.reply == Reply::Answered { is_own: false }).count(),
        Invariant::NotRun => rejected_but_run(calls, &run_counts),
        Invariant::AtMostOnce => {
            calls.iter().filter(|c| !c.plan.idempotent && run_counts.get(&c.plan.id) > Some(&1)).count()
        }
        Invariant::Drain => runs_after_drain(cluster, script),
        Invariant::GracefulStop => calls.iter().filter(|c| c.was_interrupted).count(),
        Invariant::Configuration => {
            usize::from(script.edit_latency.is_none()) + script.reverted_hosts as usize
        }
        Invariant::Answered => calls.iter().filter(|c| !is_answered(c)).count(),
        Invariant::Jobs => jobs.iter().filter(|job| !job.is_met()).count(),
    };
    Invariant::ALL.into_iter().map(|invariant| (invariant, count(invariant))).collect()
}

/// Counts workers and backend servers whose peak load exceeded their limits.
fn capacity_violations(cluster: &Cluster) -> usize {
    let overloaded_workers =
        cluster.workers.record().values().filter(|record| !record.most.fits(WORKER_CAPACITY)).count();
    let over_limit = |record: &&yuccahoist_standins::backend::BackendRecord| {
        record.most_slots > BACKEND_SLOTS || record.most_connections > BACKEND_CONNECTIONS
    };
    overloaded_workers + cluster.backends.record().values().filter(over_limit).count()
}

/// Counts attempts that started before the previous attempt of the same task ended.
fn overlapping_attempts(cluster: &Cluster) -> usize {
    let mut intervals: BTreeMap<TaskId, Vec<(u64, u64)>> = BTreeMap::new();
    for record in cluster.workers.record().into_values() {
        for attempt in record.attempts {
            let end = attempt.end.unwrap_or(u64::MAX);
            intervals.entry(attempt.task).or_default().push((attempt.start, end));
        }
    }
    let overlaps = |intervals: &mut Vec<(u64, u64)>| {
        intervals.sort_unstable();
        intervals.windows(2).filter(|pair| pair[1].0 < pair[0].1).count()
    };
    intervals.values_mut().map(overlaps).sum()
}

/// Counts requests that ran although every reply to them was `not-run`.
fn rejected_but_run(calls: &[Call], run_counts: &BTreeMap<RequestId, u32>) -> usize {
    let mut replies: BTreeMap<RequestId, Vec<&Reply>> = BTreeMap::new();
    for call in calls {
        replies.entry(call.plan.id).or_default().push(&call.reply);
    }
    let is_rejected = |reply: &&Reply| matches!(reply, Reply::NotRun { .. });
    replies.iter().filter(|(id, all)| all.iter().all(is_rejected) && run_counts.contains_key(id)).count()
}

/// Counts requests that started on the drained worker after the drain limit and before its return.
fn runs_after_drain(cluster: &Cluster, script: &ScriptResult) -> usize {
    let Some((worker, drain_start, drain_end)) = &script.drained else { return 1 };
    let limit = u64::try_from(DRAIN_LIMIT.as_micros()).unwrap_or(u64::MAX);
    let record = cluster.backends.record_of(worker).unwrap_or_default();
    record.runs.iter().filter(|run| run.start > drain_start + limit && run.start < *drain_end).count()
}

/// Whether the call got a well-formed reply before its deadline.
fn is_answered(call: &Call) -> bool {
    let replied = !matches!(call.reply, Reply::Malformed | Reply::Broken);
    replied && call.last_attempt <= call.plan.deadline + CONNECT_ALLOWANCE
}
