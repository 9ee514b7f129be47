//! Checks of the invariants against the stand-ins' own records.

use std::collections::BTreeMap;
use std::time::Duration;

use yuccahoist::id::{RequestId, TaskId};
use yuccahoist::unit::Resources;
use yuccahoist_standins::cluster::Cluster;

use super::caller::{Call, Reply};
use super::invariant::Invariant;
use super::jobs::JobResult;
use super::script::{DRAIN_LIMIT, Script};

/// Capacity of each worker of the demo.
const CAPACITY: Resources = Resources::new(16_000, 65_536, 0);
/// Slots of each backend server of the demo.
const SLOTS: u32 = 8;
/// Connections of each backend server of the demo.
const CONNECTIONS: u32 = 64;
/// Time for the caller's connection, outside the deadline that counts from the arrival at the host.
const CONNECT_TIME: Duration = Duration::from_millis(100);

/// Violations of each invariant.
pub(crate) fn violations(
    cluster: &Cluster,
    calls: &[Call],
    script: &Script,
    jobs: &[JobResult],
) -> BTreeMap<Invariant, usize> {
    let times = cluster.backends.times_run();
    let count = |invariant| match invariant {
        Invariant::Capacity => capacity(cluster),
        Invariant::OnePlace => one_place(cluster),
        Invariant::OwnAnswer => calls.iter().filter(|c| c.reply == Reply::Answered { own: false }).count(),
        Invariant::NotRun => not_run(calls, &times),
        Invariant::AtMostOnce => {
            calls.iter().filter(|c| !c.plan.idempotent && times.get(&c.plan.id) > Some(&1)).count()
        }
        Invariant::Drain => drain(cluster, script),
        Invariant::GracefulStop => calls.iter().filter(|c| c.cut_off).count(),
        Invariant::Configuration => usize::from(script.edit.is_none()) + script.reverted as usize,
        Invariant::Answered => calls.iter().filter(|c| !is_answered(c)).count(),
        Invariant::Jobs => jobs.iter().filter(|job| !job.is_met()).count(),
    };
    Invariant::ALL.into_iter().map(|invariant| (invariant, count(invariant))).collect()
}

fn capacity(cluster: &Cluster) -> usize {
    let tasks = cluster.workers.record().values().filter(|record| !record.most.fits(CAPACITY)).count();
    let over = |record: &&yuccahoist_standins::backend::BackendRecord| {
        record.most_slots > SLOTS || record.most_connections > CONNECTIONS
    };
    tasks + cluster.backends.record().values().filter(over).count()
}

fn one_place(cluster: &Cluster) -> usize {
    let mut spans: BTreeMap<TaskId, Vec<(u64, u64)>> = BTreeMap::new();
    for record in cluster.workers.record().into_values() {
        for attempt in record.attempts {
            let end = attempt.end.unwrap_or(u64::MAX);
            spans.entry(attempt.task).or_default().push((attempt.start, end));
        }
    }
    let overlaps = |spans: &mut Vec<(u64, u64)>| {
        spans.sort_unstable();
        spans.windows(2).filter(|pair| pair[1].0 < pair[0].1).count()
    };
    spans.values_mut().map(overlaps).sum()
}

/// Counts requests that ran although every reply to them was `not-run`.
fn not_run(calls: &[Call], times: &BTreeMap<RequestId, u32>) -> usize {
    let mut replies: BTreeMap<RequestId, Vec<&Reply>> = BTreeMap::new();
    for call in calls {
        replies.entry(call.plan.id).or_default().push(&call.reply);
    }
    let refused = |reply: &&Reply| matches!(reply, Reply::NotRun { .. });
    replies.iter().filter(|(id, all)| all.iter().all(refused) && times.contains_key(id)).count()
}

fn drain(cluster: &Cluster, script: &Script) -> usize {
    let Some((worker, leaving, back)) = &script.drained else { return 1 };
    let limit = u64::try_from(DRAIN_LIMIT.as_micros()).unwrap_or(u64::MAX);
    let record = cluster.backends.record_of(worker).unwrap_or_default();
    record.runs.iter().filter(|run| run.start > leaving + limit && run.start < *back).count()
}

fn is_answered(call: &Call) -> bool {
    let replied = !matches!(call.reply, Reply::Malformed | Reply::Broken);
    replied && call.last <= call.plan.deadline + CONNECT_TIME
}
