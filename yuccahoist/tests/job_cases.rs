//! Job coordinators with shard owners and simulated workers; each test covers one behaviour.

mod fleet;

use std::time::Duration;

use assert_matches::assert_matches;
use fleet::{Faults, Fleet, job, parse_id, seconds};
use yuccahoist::id::{Incarnation, Offset, TaskId, TaskIndex, TeamId};
use yuccahoist::job::{JobEnd, JobFold, JobKind, JobRecord, Priority, team_partition};
use yuccahoist::stream::Fold;
use yuccahoist::unit::Resources;

/// Resources of a task with this many CPU cores.
const CPU_CORES: fn(u64) -> Resources = |count| Resources::new(count * 1_000, 1_000, 0);

/// Returns the time from the start of the simulation to the first start of a task.
fn first_start(fleet: &Fleet, job: &str, index: u32) -> Option<Duration> {
    let task = TaskId { job: parse_id(job), index: TaskIndex(index) };
    fleet.first_starts.get(&task).map(|at| at.since(seconds(100)))
}

/// Guards against jobs that can never run and block other jobs, or wait without a stated reason.
#[test]
fn unsatisfiable_jobs_report_a_reason_and_block_no_others() {
    struct Case {
        id: &'static str,
        kind: JobKind,
        tasks: u32,
        cores: u64,
        reason: &'static str,
    }
    let cases = [
        Case { id: "large", kind: JobKind::Batch, tasks: 1, cores: 17, reason: "larger than the workers" },
        Case { id: "quota", kind: JobKind::Batch, tasks: 1, cores: 15, reason: "exceeds the team's quota" },
        Case { id: "gang", kind: JobKind::Gang, tasks: 3, cores: 5, reason: "exceeds the team's quota" },
        Case { id: "crowd", kind: JobKind::Gang, tasks: 99, cores: 4, reason: "larger than the workers" },
        Case {
            id: "service",
            kind: JobKind::Service,
            tasks: 1,
            cores: 40,
            reason: "larger than the workers",
        },
    ];
    let mut fleet = Fleet::new(1, 3, 2, &[("team-0", CPU_CORES(14))], Faults::default());
    fleet.run_to(105);
    for case in &cases {
        let team = if case.reason.contains("quota") { "team-0" } else { "team-1" };
        let mut spec = job(case.id, team, case.kind, case.tasks, CPU_CORES(case.cores));
        spec.priority = Priority(9);
        fleet.submit(spec);
    }
    fleet.submit(job("other", "team-0", JobKind::Batch, 2, CPU_CORES(2)));
    fleet.submit(job("more", "team-1", JobKind::Batch, 2, CPU_CORES(2)));
    fleet.run_to(125);
    assert_eq!(fleet.end("other"), Some(JobEnd::Succeeded));
    assert_eq!(fleet.end("more"), Some(JobEnd::Succeeded));
    for case in &cases {
        let status = fleet.status(case.id).expect(case.id);
        assert_eq!(status.state, "waiting", "{}", case.id);
        let reason = status.reason.expect(case.id);
        assert!(reason.contains(case.reason), "{}: {reason}", case.id);
    }
}

/// Guards against quotas that are exceeded or not fully used, including after a coordinator takeover.
#[test]
fn quotas_are_fully_used_and_never_exceeded() {
    let faults = Faults { kills: vec![(112, 0), (125, 1)], ..Faults::default() };
    let mut fleet = Fleet::new(2, 3, 3, &[("team-0", Resources::new(10_000, 100_000, 0))], faults);
    fleet.run_to(105);
    fleet.submit(job("a", "team-0", JobKind::Batch, 30, CPU_CORES(2)));
    fleet.submit(job("b", "team-0", JobKind::Batch, 30, CPU_CORES(1)));
    let mut peak_cores = 0;
    for tenth in 1_060..2_500 {
        let end = fleet::seconds(0) + Duration::from_millis(tenth * 100);
        while fleet.now < end {
            fleet.step();
        }
        let used_cores = 2 * fleet.running("a") + fleet.running("b");
        peak_cores = peak_cores.max(used_cores);
        assert!(used_cores <= 10, "{used_cores} cores at {}", fleet.now);
    }
    assert_eq!(peak_cores, 10);
    assert_eq!(fleet.end("a"), Some(JobEnd::Succeeded));
    assert_eq!(fleet.end("b"), Some(JobEnd::Succeeded));
    assert_eq!(fleet.violations, Vec::<String>::new());
}

/// Guards against gangs that run only in part, or that each hold reservations which the other needs.
#[test]
fn two_gangs_do_not_deadlock() {
    for seed in 0..8 {
        let mut fleet = Fleet::new(seed, 3, 3, &[], Faults::default());
        fleet.run_to(105);
        // Each gang needs more than half of the fleet's capacity.
        fleet.submit(job("a", "team-0", JobKind::Gang, 16, CPU_CORES(7)));
        fleet.submit(job("b", "team-1", JobKind::Gang, 16, CPU_CORES(7)));
        fleet.run_to(160);
        assert_eq!(fleet.end("a"), Some(JobEnd::Succeeded), "seed {seed}");
        assert_eq!(fleet.end("b"), Some(JobEnd::Succeeded), "seed {seed}");
        assert_eq!(fleet.violations, Vec::<String>::new(), "seed {seed}");
    }
}

/// Guards against a gang that waits because the fullest rack has only fragmented capacity while other racks are empty.
#[test]
fn gang_starts_despite_fragmented_capacity() {
    for seed in 0..4 {
        let mut fleet = Fleet::new(seed, 3, 2, &[], Faults::default());
        fleet.run_to(105);
        // Leaves 7 cores free on each worker of one rack: enough in total for the gang, but on no worker for a member.
        fleet.submit(job("pieces", "team-0", JobKind::Batch, 4, CPU_CORES(9)));
        fleet.run_to(106);
        fleet.submit(job("gang", "team-0", JobKind::Gang, 3, CPU_CORES(8)));
        fleet.run_to(107);
        assert!(first_start(&fleet, "gang", 2).is_some(), "seed {seed}");
        let wait_decision =
            fleet.decisions.iter().find(|(job, text)| job.as_str() == "gang" && text.contains("room"));
        assert_eq!(wait_decision, None, "seed {seed}");
        assert_eq!(fleet.violations, Vec::<String>::new(), "seed {seed}");
    }
}

/// Guards against preemption that stops tasks although throttling more of them frees the same capacity.
#[test]
fn preemption_throttles_before_it_stops_tasks() {
    let mut fleet = Fleet::new(1, 3, 2, &[], Faults::default());
    fleet.max_runtime_ms = 100_000_000;
    fleet.run_to(105);
    fleet.submit(job("small", "team-0", JobKind::Batch, 192, CPU_CORES(1)));
    fleet.run_to(120);
    assert_eq!(fleet.running("small"), 192);
    let mut urgent = job("urgent", "team-1", JobKind::Batch, 1, CPU_CORES(8));
    urgent.priority = Priority(9);
    fleet.submit(urgent);
    fleet.run_to(123);
    assert_eq!(fleet.running("urgent"), 1);
    assert_eq!(fleet.running("small"), 192);
    assert_eq!(fleet.violations, Vec::<String>::new());
}

/// Guards against partial gangs and leaked reservations when a coordinator dies between the commits of a gang.
#[test]
fn coordinator_crash_during_gang_commit_leaks_no_capacity() {
    for millis in [2, 4, 6, 8, 10, 12, 14, 16, 20] {
        let mut fleet = Fleet::new(millis, 3, 3, &[], Faults::default());
        fleet.run_to(105);
        fleet.submit(job("gang", "team-0", JobKind::Gang, 20, CPU_CORES(7)));
        let host = fleet.coordinator_of("team-0");
        fleet.kill_after(host, Duration::from_millis(10 + millis));
        fleet.run_to(200);
        assert_eq!(fleet.end("gang"), Some(JobEnd::Succeeded), "{millis} ms");
        assert_eq!(fleet.violations, Vec::<String>::new(), "{millis} ms");
        assert_eq!(fleet.lost_capacity(), Vec::<String>::new(), "{millis} ms");
    }
}

/// Guards against cancellations that are slow, need an append each, or take effect again when repeated.
#[test]
fn bulk_cancellation_needs_few_appends() {
    let mut fleet = Fleet::new(4, 3, 2, &[], Faults::default());
    fleet.max_runtime_ms = 900_000;
    fleet.run_to(105);
    for index in 0..60 {
        fleet.submit(job(&format!("job-{index}"), "team-0", JobKind::Batch, 5, CPU_CORES(1)));
    }
    fleet.run_to(112);
    let before = fleet.appends.len();
    for index in (0..60).chain(0..60) {
        fleet.cancel(&format!("job-{index}"));
    }
    fleet.run_to(122);
    for index in 0..60 {
        assert_eq!(fleet.end(&format!("job-{index}")), Some(JobEnd::Cancelled));
    }
    let appends = fleet.appends.len() - before;
    assert!(appends <= 8, "{appends} appends");
    assert_eq!(fleet.lost_capacity(), Vec::<String>::new());
}

/// Guards against coordinators that exceed their share of the log's append budget, one append per 250 ms.
#[test]
fn appends_stay_within_the_log_budget() {
    let mut fleet = Fleet::new(5, 3, 1, &[], Faults::default());
    fleet.max_runtime_ms = 1_000;
    fleet.run_to(105);
    for index in 0..40 {
        fleet.submit(job(&format!("job-{index}"), "team-0", JobKind::Batch, 5, CPU_CORES(1)));
    }
    fleet.run_to(130);
    assert_eq!(fleet.end("job-39"), Some(JobEnd::Succeeded));
    for pair in fleet.appends.windows(2) {
        assert!(pair[1].since(pair[0]) >= Duration::from_millis(250), "{pair:?}");
    }
}

/// Guards against failing jobs that are retried forever or cause healthy workers to be isolated.
#[test]
fn failing_jobs_are_suspended_and_then_end() {
    let mut fleet = Fleet::new(6, 3, 2, &[], Faults::default());
    for index in 0..4 {
        fleet.failing_jobs.insert(parse_id(&format!("bad-{index}")));
    }
    fleet.run_to(105);
    for index in 0..4 {
        fleet.submit(job(&format!("bad-{index}"), "team-0", JobKind::Batch, 8, CPU_CORES(1)));
    }
    fleet.submit(job("good", "team-0", JobKind::Batch, 30, CPU_CORES(1)));
    fleet.run_to(118);
    assert_eq!(fleet.status("bad-0").map(|status| status.state), Some("suspended".into()));
    fleet.run_to(120);
    assert_eq!(fleet.end("good"), Some(JobEnd::Succeeded));
    let (now, ids) = (fleet.now, fleet.workers.keys().cloned().collect::<Vec<_>>());
    let isolated = |id| fleet.hosts.iter().any(|host| host.placement.is_isolated(now, id));
    assert_eq!(ids.iter().filter(|id| isolated(id)).count(), 0);
    fleet.run_to(400);
    assert_matches!(fleet.end("bad-0"), Some(JobEnd::Failed { .. }));
}

/// Guards against workers on which every task fails but which keep receiving tasks, and against isolating too many.
#[test]
fn failing_workers_are_isolated_up_to_a_quarter() {
    let faults = Faults { failing_workers: vec![1, 5], ..Faults::default() };
    let mut fleet = Fleet::new(7, 3, 1, &[], faults);
    fleet.max_runtime_ms = 2_000;
    fleet.run_to(105);
    for index in 0..60 {
        fleet.submit(job(&format!("job-{index}"), "team-0", JobKind::Batch, 6, CPU_CORES(2)));
    }
    fleet.run_to(180);
    let now = fleet.now;
    let ids: Vec<_> = fleet.workers.keys().cloned().collect();
    let isolated: Vec<_> =
        (0..ids.len()).filter(|index| fleet.hosts[0].placement.is_isolated(now, &ids[*index])).collect();
    assert_eq!(isolated, [1, 5]);
    for index in 0..60 {
        assert_eq!(fleet.end(&format!("job-{index}")), Some(JobEnd::Succeeded), "job-{index}");
    }
}

/// Guards against urgent jobs that wait behind batch jobs, and batch jobs that preempt services.
#[test]
fn urgent_jobs_preempt_batch_but_batch_never_preempts_services() {
    let mut fleet = Fleet::new(8, 3, 2, &[], Faults::default());
    fleet.max_runtime_ms = 900_000;
    fleet.run_to(105);
    fleet.submit(job("service", "team-0", JobKind::Service, 6, CPU_CORES(14)));
    fleet.run_to(107);
    fleet.submit(job("batch", "team-1", JobKind::Batch, 100, CPU_CORES(2)));
    fleet.run_to(112);
    let mut greedy = job("greedy", "team-2", JobKind::Batch, 8, CPU_CORES(15));
    greedy.priority = Priority(5);
    let mut urgent = job("urgent", "team-3", JobKind::Service, 2, CPU_CORES(4));
    urgent.priority = Priority(9);
    fleet.submit(urgent);
    fleet.run_to(115);
    for index in 0..2 {
        let at = first_start(&fleet, "urgent", index).expect("task has started");
        assert!(at < Duration::from_millis(12_000 + 1_300), "task {index} at {at:?}");
    }
    fleet.submit(greedy);
    fleet.run_to(125);
    assert_eq!(fleet.running("service"), 6);
    assert!(fleet.running("greedy") > 0);
    assert_eq!(fleet.violations, Vec::<String>::new());
}

/// Guards against a second attempt while the first may still be running on an unreachable worker.
#[test]
fn unreachable_tasks_restart_only_after_lease_expiry() {
    let disconnects = (0..4).map(|worker| (110, worker, 90)).collect();
    let mut fleet = Fleet::new(9, 1, 1, &[], Faults { disconnects, ..Faults::default() });
    fleet.max_runtime_ms = 900_000;
    fleet.run_to(104);
    fleet.submit(job("job", "team-0", JobKind::Batch, 4, CPU_CORES(8)));
    fleet.run_to(110);
    assert_eq!(fleet.running("job"), 4);
    fleet.run_to(220);
    assert_eq!(fleet.violations, Vec::<String>::new());
    let max_attempts = fleet.attempt_counts.values().max();
    assert_eq!(max_attempts, Some(&2));
}

/// Guards against services whose tasks are all placed in one rack or zone.
#[test]
fn services_spread_over_zones_and_racks() {
    let mut fleet = Fleet::new(10, 4, 2, &[], Faults::default());
    fleet.run_to(105);
    fleet.submit(job("service", "team-0", JobKind::Service, 4, CPU_CORES(2)));
    fleet.run_to(112);
    let placed = fleet.status("service").expect("status of the service").placed;
    let racks: std::collections::BTreeSet<_> =
        placed.values().map(|id| fleet.workers[id].spec.shard.clone()).collect();
    assert_eq!(racks.len(), 4, "{placed:?}");
}

/// Guards against a draining worker that keeps running services or receives new tasks.
#[test]
fn draining_worker_loses_services_and_gets_no_tasks() {
    let mut fleet = Fleet::new(11, 1, 1, &[], Faults::default());
    fleet.run_to(105);
    fleet.submit(job("service", "team-0", JobKind::Service, 4, CPU_CORES(3)));
    fleet.run_to(110);
    fleet.drain_worker("w-000-0");
    fleet.run_to(115);
    fleet.submit(job("batch", "team-0", JobKind::Batch, 20, CPU_CORES(2)));
    fleet.run_to(118);
    assert_eq!(fleet.running("service"), 4);
    assert_eq!(fleet.workers[&parse_id("w-000-0")].running().count(), 0);
}

/// Guards against hosts whose folds diverge, and against a repeated submission that replaces the first.
#[test]
fn fold_keeps_the_first_submission_and_evicts_finished_jobs() {
    let first = job("a", "team-0", JobKind::Batch, 2, CPU_CORES(1));
    let second = job("a", "team-1", JobKind::Gang, 9, CPU_CORES(9));
    let ended = JobRecord::Finished { job: parse_id("a"), end: JobEnd::Succeeded };
    let records = [
        (JobRecord::Submitted(first.clone()), 1),
        (JobRecord::Submitted(second), 0),
        (JobRecord::TasksDone { tasks: [(parse_id("a"), [TaskIndex(0), TaskIndex(7)].into())].into() }, 1),
        (JobRecord::TasksDone { tasks: [(parse_id("a"), [TaskIndex(0)].into())].into() }, 0),
        (JobRecord::Cancelled { job: parse_id("a") }, 1),
        (JobRecord::Cancelled { job: parse_id("a") }, 0),
        (ended.clone(), 1),
        (ended, 0),
        (JobRecord::Submitted(first), 0),
    ];
    let mut fold = JobFold::new();
    for (offset, (record, effects)) in records.into_iter().enumerate() {
        let mut out = Vec::new();
        fold.apply(Offset(offset as u64), Incarnation(1), record.clone(), &mut out);
        assert_eq!(out.len(), effects, "{offset}: {record:?}");
    }
    let snapshot = fold.snapshot(Offset(8)).expect("job fold has snapshots");
    assert_eq!(JobFold::snapshot_through(&snapshot), Some(Offset(8)));
    let mut copy = JobFold::new();
    copy.restore(snapshot, &mut Vec::new());
    assert_eq!(copy, fold);
    let late = JobRecord::Mark { by: Incarnation(1), number: 1 };
    copy.apply(Offset(4_000_000), Incarnation(1), late, &mut Vec::new());
    assert_eq!(copy.job(&parse_id("a")), None);
}

/// Guards against a later version that assigns teams to other partitions, which would give a team two coordinators.
#[test]
fn team_partitions_are_stable() {
    let of = |team: &str| team_partition(&parse_id::<TeamId>(team)).0;
    assert_eq!([of("team-0"), of("team-1"), of("team-2"), of("payments")], EXPECTED_PARTITIONS);
}

const EXPECTED_PARTITIONS: [u16; 4] = [15, 5, 15, 8];
