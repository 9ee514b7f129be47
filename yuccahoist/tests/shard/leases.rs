//! When the runs of a worker count as over, so that their tasks may start elsewhere. The cluster fails a test in which two
//! runs of a task overlap.

use std::collections::BTreeSet;
use std::panic::{AssertUnwindSafe, catch_unwind};

use yuccahoist::shard::message::WorkerEntry;
use yuccahoist::shard::record::JobState;
use yuccahoist::shard::{Event, JobKey};
use yuccahoist::unit::Resources;

use super::cluster::{CallFault, CallKind, DeadlyTasks, SimulatedCluster, WORKER_CAPACITY, spec};

/// Duration of the tasks, milliseconds; longer than a lease.
const TASK_MS: u64 = 20_000;
/// Time within which the tasks of a worker that has drained and left start elsewhere: its short lease on a slow clock, a late
/// timer, and a write and a call, milliseconds.
const LEFT_RESTART_MS: u64 = 1_900;
/// Time within which the tasks of a worker that was lost start elsewhere: its lease, and a write and a call, milliseconds.
const RESTART_MS: u64 = 5_000;
/// The same with the longest lease that a worker takes, on a slow clock, milliseconds.
const LONGEST_RESTART_MS: u128 = 11_000;
/// The same after a takeover, when the predecessor may have extended the lease for 6 s more, milliseconds.
const TAKEOVER_RESTART_MS: u64 = 11_000;

/// Returns a cluster of three workers with a job of two tasks, the first worker that runs one, and its number of runs.
fn busy_cluster() -> (SimulatedCluster, usize, u32) {
    let mut cluster = SimulatedCluster::new(1, 3);
    cluster.advance(100);
    cluster.submit(1, spec(2, TASK_MS));
    cluster.advance(1_000);
    let worker = cluster.workers_of(1)[0];
    let runs = cluster.running_on(worker);
    (cluster, worker, runs)
}

/// A draining worker that was cut off counted as having left as soon as its registry entry had expired, so its tasks were
/// started elsewhere before its lease had run out.
#[test]
fn cut_off_draining_worker_keeps_its_runs_until_its_lease_expires() {
    struct Case {
        name: &'static str,
        is_draining: bool,
        /// Whether the worker still receives calls.
        one_way: bool,
        /// Time from the cut to the expiry of the registry entry, milliseconds.
        unlisted_after: u64,
    }
    let base = Case { name: "", is_draining: true, one_way: false, unlisted_after: 3_100 };
    let cases = [
        Case { name: "entry expires before the lease", ..base },
        Case { name: "entry expires once the worker is silent", unlisted_after: 700, ..base },
        Case { name: "entry expires before the worker is silent", unlisted_after: 50, ..base },
        Case { name: "only its answers are lost", one_way: true, ..base },
        Case { name: "not draining", is_draining: false, ..base },
    ];
    for case in cases {
        let (mut cluster, worker, runs) = busy_cluster();
        cluster.set_draining(worker, case.is_draining);
        cluster.advance(1_000);
        cluster.disconnect(worker, 60_000, case.one_way);
        cluster.advance(case.unlisted_after);
        cluster.unlist(worker);
        cluster.advance(RESTART_MS);
        assert_eq!(cluster.starts[&JobKey(1)], 2 + runs, "{}: tasks did not restart", case.name);
        cluster.advance(TASK_MS);
        assert_eq!(cluster.query_state(1), Some(JobState::Completed), "{}", case.name);
    }
}

/// The tasks of a worker that has left are to wait for its last lease only, which is short once it has drained for a while.
#[test]
fn tasks_of_a_worker_that_has_left_wait_for_its_short_lease_only() {
    struct Case {
        name: &'static str,
        /// Least time that the worker still stays, as its entry says, milliseconds.
        remaining: Option<u64>,
        /// Time for which it drains, milliseconds.
        drains_for: u64,
        /// Time from its end within which its tasks start elsewhere, milliseconds.
        restart: u64,
        /// Time from the worker's end to the removal of its registry entry, milliseconds.
        removed_after: u64,
    }
    let base =
        Case { name: "", remaining: None, drains_for: 5_000, restart: LEFT_RESTART_MS, removed_after: 0 };
    let cases = [
        Case { name: "entry is removed before a call fails", ..base },
        Case { name: "entry is removed after a call has failed", removed_after: 1_700, ..base },
        Case { name: "entry expires after the lease", removed_after: 4_500, ..base },
        Case { name: "it leaves at the announced time", remaining: Some(5_000), ..base },
        Case { name: "it drains for less than a lease", drains_for: 2_000, restart: RESTART_MS, ..base },
    ];
    for case in cases {
        let (mut cluster, worker, runs) = busy_cluster();
        cluster.drain_for(worker, case.remaining);
        cluster.advance(case.drains_for);
        cluster.crash_worker(worker, 60_000);
        cluster.advance(case.removed_after);
        cluster.deregister(worker);
        cluster.advance(case.restart.saturating_sub(case.removed_after));
        assert_eq!(cluster.starts[&JobKey(1)], 2 + runs, "{}", case.name);
    }
}

/// Between the first report of a worker and its own first extension, a new owner held the lease of the worker for expired,
/// so the runs of one that disappeared just then were started elsewhere at once.
#[test]
fn new_owner_waits_for_the_lease_that_its_predecessor_extended() {
    struct Case {
        name: &'static str,
        is_draining: bool,
        /// Whether the store takes no writes from the takeover until the worker disappears.
        store_down: bool,
    }
    let cases = [
        Case { name: "ready", is_draining: false, store_down: false },
        Case { name: "draining", is_draining: true, store_down: false },
        Case { name: "store down", is_draining: false, store_down: true },
    ];
    for case in cases {
        for disappears_after in (5..300).step_by(5) {
            let (mut cluster, worker, runs) = busy_cluster();
            cluster.set_draining(worker, case.is_draining);
            // An end that its worker could not report delays the first extension by the new owner.
            cluster.submit(2, spec(4, 500));
            cluster.advance(400);
            (0..3).for_each(|number| cluster.disconnect(number, 200, true));
            cluster.advance(220);
            cluster.take_over(true);
            cluster.store_up = !case.store_down;
            cluster.advance(disappears_after);
            cluster.store_up = true;
            cluster.unlist(worker);
            cluster.disconnect(worker, 60_000, false);
            cluster.advance(TAKEOVER_RESTART_MS);
            let starts = cluster.starts[&JobKey(1)];
            assert_eq!(starts, 2 + runs, "{}, after {disappears_after} ms: tasks did not restart", case.name);
        }
    }
}

/// An entry of another writer under the id of a worker ended the runs of the worker, or kept the owner from using it again.
#[test]
fn entry_of_another_writer_does_not_end_a_worker() {
    struct Case {
        name: &'static str,
        change: fn(&mut WorkerEntry),
    }
    let cases = [
        Case { name: "later start, same address", change: |e| e.incarnation.started_at += 1_000 },
        Case {
            name: "later start, no worker at its address",
            change: |e| {
                e.incarnation.started_at += 1_000;
                e.address = "nowhere:1".into();
            },
        },
        Case { name: "address of another worker", change: |e| e.address = "w1:1".into() },
        Case { name: "no worker at its address", change: |e| e.address = "nowhere:1".into() },
        Case { name: "earlier start", change: |e| e.incarnation.started_at -= 1 },
    ];
    for case in cases {
        for registered_again_after in [100, 1_500] {
            let mut cluster = SimulatedCluster::new(1, 2);
            cluster.advance(100);
            cluster.submit(1, spec(8, 6_000));
            cluster.advance(1_000);
            let mut entry = cluster.entry_of(0);
            (case.change)(&mut entry);
            cluster.handle_event(Event::Worker(entry));
            cluster.advance(registered_again_after);
            cluster.set_draining(0, false);
            cluster.advance(7_000);
            assert_eq!(cluster.query_state(1), Some(JobState::Completed), "{}", case.name);
            assert_eq!(cluster.starts[&JobKey(1)], 8, "{}: tasks started again", case.name);
            cluster.submit(2, spec(8, 1_000));
            cluster.advance(500);
            assert_eq!(cluster.workers_of(2), [0, 1], "{}: the worker is not used again", case.name);
        }
    }
}

/// A worker that has restarted ends its earlier life at once, without a wait for the lease.
#[test]
fn tasks_of_a_restarted_worker_start_again_at_once() {
    let mut cluster = SimulatedCluster::new(1, 2);
    cluster.advance(100);
    cluster.submit(1, spec(8, 6_000));
    cluster.advance(1_000);
    cluster.restart_worker(0);
    cluster.advance(200);
    assert_eq!(cluster.starts[&JobKey(1)], 12);
}

/// Runs that did not end before their worker left waited for its lease, and one that ended just then started again.
#[test]
fn runs_that_outlast_their_worker_are_moved_before_it_leaves() {
    struct Case {
        name: &'static str,
        /// Duration of the tasks, milliseconds.
        task: u64,
        /// Whether the runs on the worker are stopped.
        is_moved: bool,
    }
    let cases = [
        Case { name: "ends long after", task: TASK_MS, is_moved: true },
        Case { name: "would end as the worker leaves", task: 5_950, is_moved: true },
        Case { name: "ends before", task: 5_000, is_moved: false },
    ];
    for case in cases {
        let mut cluster = SimulatedCluster::new(1, 3);
        cluster.advance(100);
        cluster.submit(1, spec(2, case.task));
        cluster.advance(1_000);
        let worker = cluster.workers_of(1)[0];
        let runs = cluster.running_on(worker);
        cluster.drain_for(worker, Some(5_000));
        cluster.advance(5_000);
        assert_eq!(cluster.running_on(worker), 0, "{}: runs are left", case.name);
        cluster.crash_worker(worker, 60_000);
        cluster.advance(100);
        let moved = if case.is_moved { runs } else { 0 };
        assert_eq!(cluster.starts[&JobKey(1)], 2 + moved, "{}", case.name);
        cluster.advance(TASK_MS);
        assert_eq!(cluster.query_state(1), Some(JobState::Completed), "{}", case.name);
    }
}

/// The tasks of a worker that came back from a cut and was lost again waited for orders that only a restarted one could execute.
#[test]
fn tasks_of_a_worker_that_came_back_wait_for_its_lease_only() {
    for millis in [5_000, 6_500, 9_000] {
        let mut cluster = SimulatedCluster::new(1, 2);
        cluster.advance(1_000);
        cluster.disconnect(0, millis, false);
        cluster.advance(3_100);
        cluster.unlist(0);
        cluster.advance(millis);
        cluster.register(0);
        cluster.resize_worker(1, Resources::new(1_000, 1_000, 0));
        cluster.advance(200);
        cluster.submit(1, spec(2, TASK_MS));
        cluster.advance(1_500);
        assert_eq!(cluster.workers_of(1), [0], "cut for {millis} ms: the worker is not used again");
        cluster.resize_worker(1, WORKER_CAPACITY);
        cluster.crash_worker(0, 600_000);
        cluster.advance(RESTART_MS);
        assert_eq!(cluster.starts[&JobKey(1)], 4, "cut for {millis} ms: tasks did not restart");
    }
}

/// The tasks of a worker that crashed, was back under its id and was then lost waited for 19 s, although no order to its earlier
/// incarnation could be executed any more.
#[test]
fn tasks_of_a_restarted_worker_wait_for_one_longest_lease() {
    struct Case {
        name: &'static str,
        /// Age of the earlier incarnation at its crash, milliseconds.
        age: u64,
        /// Time from the crash to the next incarnation, milliseconds.
        down: u64,
        /// Time from the next incarnation to its loss, milliseconds.
        up: u64,
        is_silent: bool,
    }
    let base = Case { name: "", age: 30_000, down: 600, up: 2_500, is_silent: false };
    let cases = [
        Case { name: "lost after 2.5 s", ..base },
        Case { name: "lost after 1 s", up: 1_000, ..base },
        Case { name: "lost after 6 s", up: 6_000, ..base },
        Case { name: "down for 4 s", down: 4_000, ..base },
        Case { name: "just after a takeover", age: 2_000, ..base },
        Case { name: "cut off in place of lost", is_silent: true, ..base },
    ];
    let mut late = Vec::new();
    for Case { name, age, down, up, is_silent } in cases {
        let mut cluster = SimulatedCluster::new(1, 2);
        cluster.advance(age);
        cluster.resize_worker(1, Resources::new(1_000, 1_000, 0));
        cluster.submit(1, spec(1, TASK_MS));
        cluster.advance(1_000);
        cluster.crash_worker(0, down);
        cluster.advance(down + up);
        assert_eq!(cluster.starts[&JobKey(1)], 2, "{name}: the worker is not used again");
        cluster.resize_worker(1, WORKER_CAPACITY);
        if is_silent {
            cluster.disconnect(0, 600_000, false);
        } else {
            cluster.crash_worker(0, 600_000);
        }
        let lost = cluster.now;
        while cluster.starts[&JobKey(1)] < 3 {
            cluster.advance(50);
        }
        let waited = cluster.now.since(lost).as_millis();
        if waited > LONGEST_RESTART_MS {
            late.push(format!("{name}: {waited} ms"));
        }
    }
    assert!(late.is_empty(), "tasks start late: {late:?}");
}

/// The tasks of a new worker waited for orders to an earlier incarnation, although its id was new.
#[test]
fn tasks_of_a_new_worker_wait_for_its_lease_only() {
    for age in [200, 5_000, 12_000, 30_000] {
        let mut cluster = SimulatedCluster::new(1, 3);
        cluster.advance(60_000);
        let deadly = DeadlyTasks { tasks: BTreeSet::new(), crash_after: 0, down: 0, new_id: true };
        cluster.deadly = Some(deadly);
        cluster.crash_worker(0, 300);
        cluster.advance(400 + age);
        let is_new = |number: &usize| &*cluster.entry_of(*number).incarnation.id == "w100";
        let number = (0..3).find(is_new).expect("the worker is back under another id");
        cluster.submit(1, spec(8, TASK_MS));
        cluster.advance(1_500);
        let runs = cluster.running_on(number);
        assert!(runs > 0, "age {age} ms: no task runs on the worker");
        cluster.crash_worker(number, 600_000);
        cluster.advance(RESTART_MS);
        assert_eq!(cluster.starts[&JobKey(1)], 8 + runs, "age {age} ms: tasks did not restart");
    }
}

/// The error of only one clock was allowed for, so a young worker passed for one that is too old for an earlier order.
#[test]
fn clocks_off_in_opposite_directions_do_not_make_a_young_worker_old() {
    let errors = [-5_000, -2_400, 0, 2_400, 5_000];
    let cases = errors.into_iter().flat_map(|host| errors.map(|worker| (host, worker)));
    let mut broken = Vec::new();
    for (host, worker) in cases {
        let play = || {
            let mut cluster = SimulatedCluster::new(1, 3);
            cluster.host_clock_error = host;
            cluster.worker_clock_error = worker;
            cluster.advance(5_000);
            let small = Resources::new(1_000, 1_000, 0);
            (1..3).for_each(|number| cluster.resize_worker(number, small));
            cluster.advance(200);
            // The owner does not know of the restart when it sends the order.
            cluster.fault_next_call(0, CallKind::ExtendLease, CallFault::AnswerAfter(0));
            cluster.advance_until_called(0);
            cluster.fault_next_call(0, CallKind::Start, CallFault::ExecutedAfter(11_900));
            cluster.submit(1, spec(1, 300));
            cluster.advance(5);
            cluster.freeze_owner(2_900);
            cluster.restart_unnoticed(0);
            cluster.advance_until_called(0);
            cluster.advance(1_000);
            cluster.register(0);
            cluster.advance(3_000);
            cluster.submit(2, spec(3, TASK_MS));
            cluster.advance(7_950);
            assert!(cluster.running_on(0) > 0, "no task runs on the worker");
            cluster.take_over(true);
            cluster.advance(50);
            (1..3).for_each(|number| cluster.resize_worker(number, WORKER_CAPACITY));
            cluster.disconnect(0, 60_000, false);
            cluster.advance(TAKEOVER_RESTART_MS + TASK_MS);
            assert!(cluster.starts[&JobKey(2)] > 3, "the tasks did not restart");
        };
        if catch_unwind(AssertUnwindSafe(play)).is_err() {
            broken.push((host, worker));
        }
    }
    assert!(broken.is_empty(), "errors of the clocks of host and worker, milliseconds: {broken:?}");
}

/// The tasks of a new worker that a new owner never reached waited for late orders, although its id had not been used before.
#[test]
fn tasks_of_a_new_worker_wait_for_no_late_order_after_a_takeover() {
    for age in [200, 5_000, 12_000, 30_000] {
        let mut cluster = SimulatedCluster::new(1, 3);
        cluster.advance(60_000);
        let deadly = DeadlyTasks { tasks: BTreeSet::new(), crash_after: 0, down: 0, new_id: true };
        cluster.deadly = Some(deadly);
        cluster.crash_worker(0, 300);
        cluster.advance(400 + age);
        let is_new = |number: &usize| &*cluster.entry_of(*number).incarnation.id == "w100";
        let number = (0..3).find(is_new).expect("the worker is back under another id");
        cluster.submit(1, spec(8, TASK_MS));
        cluster.advance(1_500);
        let runs = cluster.running_on(number);
        assert!(runs > 0, "age {age} ms: no task runs on the worker");
        cluster.disconnect(number, 60_000, false);
        cluster.take_over(true);
        cluster.advance(TAKEOVER_RESTART_MS);
        assert_eq!(cluster.starts[&JobKey(1)], 8 + runs, "age {age} ms: tasks did not restart");
    }
}

/// The tasks of a worker that a new owner never reached waited for orders that only a younger worker could execute late.
#[test]
fn tasks_of_an_old_worker_wait_for_no_earlier_order_after_a_takeover() {
    for age in [29_000, 40_000] {
        let mut cluster = SimulatedCluster::new(1, 3);
        cluster.advance(5_000);
        cluster.restart_worker(0);
        cluster.advance(age - 1_000);
        cluster.submit(1, spec(8, TASK_MS));
        cluster.advance(1_000);
        let runs = cluster.running_on(0);
        assert!(runs > 0, "age {age} ms: no task runs on the worker");
        cluster.disconnect(0, 60_000, false);
        cluster.take_over(true);
        cluster.advance(TAKEOVER_RESTART_MS);
        assert_eq!(cluster.starts[&JobKey(1)], 8 + runs, "age {age} ms: tasks did not restart");
    }
}

/// An order to an earlier incarnation that can't be executed any more stayed in the records from owner to owner.
#[test]
fn tasks_wait_for_no_earlier_order_across_several_takeovers() {
    let mut slow = Vec::new();
    for gap in [3_000, 8_000, 12_000, 25_000] {
        let mut cluster = SimulatedCluster::new(1, 3);
        cluster.advance(5_000);
        cluster.restart_worker(0);
        cluster.advance(500);
        cluster.submit(1, spec(8, 200_000));
        cluster.advance(1_000);
        let runs = cluster.running_on(0);
        assert!(runs > 0, "gap {gap} ms: no task runs on the worker");
        for _ in 0..(40_000 / gap) {
            cluster.take_over(true);
            cluster.advance(gap);
        }
        cluster.disconnect(0, 60_000, false);
        cluster.take_over(true);
        let mut waited = 0;
        while cluster.starts[&JobKey(1)] < 8 + runs && waited < 60_000 {
            cluster.advance(10);
            waited += 10;
        }
        slow.extend((waited > TAKEOVER_RESTART_MS).then_some((gap, waited)));
    }
    assert!(
        slow.is_empty(),
        "gaps between owners and times until the tasks restarted, milliseconds: {slow:?}"
    );
}
