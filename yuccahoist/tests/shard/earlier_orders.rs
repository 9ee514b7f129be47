//! What a new owner has to know of orders to earlier incarnations of its workers. The cluster fails a test in which two runs
//! of a task overlap.

use super::cluster::{CallFault, CallKind, SimulatedCluster, WORKER_CAPACITY, spec};
use super::schedules::play_all;

/// Duration of the tasks, milliseconds; longer than a lease.
const TASK_MS: u64 = 20_000;
/// Time after which all tasks of a test are done and no order is executed late, milliseconds.
const SETTLE_MS: u64 = 46_000;
/// Tasks that keep three workers busy.
const TASKS: u32 = 8;

/// Returns a cluster with an idle worker that has restarted unnoticed and executed an order to its earlier incarnation.
fn unnoticed_restart(late: u64) -> SimulatedCluster {
    let mut cluster = SimulatedCluster::new(1, 3);
    cluster.advance(5_000);
    cluster.fault_next_call(0, CallKind::ExtendLease, CallFault::ExecutedAfter(late));
    cluster.advance_until_called(0);
    cluster.restart_unnoticed(0);
    cluster.advance(late + 5);
    cluster
}

fn check_cut(cluster: &mut SimulatedCluster) {
    assert!(cluster.running_on(0) > 0, "no task runs on the worker");
    cluster.disconnect(0, 60_000, false);
    cluster.advance(SETTLE_MS);
}

/// An idle worker restarted just before the owner was killed, so no record named it, and the clock made it look old.
#[test]
fn idle_worker_that_restarted_before_a_kill_and_a_step_of_the_clock() {
    let cases =
        [0, -30_000, 30_000, 3_600_000].into_iter().flat_map(|step| [50, 200, 550].map(|late| (step, late)));
    play_all(cases, |(step, late)| {
        let mut cluster = unnoticed_restart(late);
        cluster.host_clock_error = step;
        cluster.take_over(false);
        cluster.advance(50);
        cluster.submit(1, spec(TASKS, TASK_MS));
        cluster.advance(100);
        check_cut(&mut cluster);
    });
}

/// The owner knew that an idle worker had restarted, but no job on it carried that to the next owner.
#[test]
fn idle_worker_whose_restart_the_owner_knew_and_a_step_of_the_clock() {
    let cases = [0, -30_000, 30_000, 3_600_000].into_iter().flat_map(|step| {
        [200, 1_000, 2_500].into_iter().flat_map(move |late| [300, 1_500].map(|gap| (step, late, gap)))
    });
    play_all(cases, |(step, late, gap)| {
        let mut cluster = SimulatedCluster::new(1, 3);
        cluster.advance(5_000);
        cluster.fault_next_call(0, CallKind::ExtendLease, CallFault::ExecutedAfter(late));
        cluster.advance_until_called(0);
        cluster.restart_worker(0);
        cluster.advance(late + gap);
        cluster.host_clock_error = step;
        cluster.take_over(true);
        cluster.advance(50);
        cluster.submit(1, spec(TASKS, TASK_MS));
        cluster.advance(100);
        check_cut(&mut cluster);
    });
}

/// The second of three owners counted the longest lease by the age of a worker and stored nothing of it for the third one.
#[test]
fn longest_lease_by_the_age_of_a_worker_is_known_to_the_next_but_one_owner() {
    let cases = [0, 30_000, 3_600_000].into_iter().flat_map(|step| [300, 1_500].map(|gap| (step, gap)));
    play_all(cases, |(step, gap)| {
        let mut cluster = unnoticed_restart(200);
        cluster.take_over(false);
        cluster.advance(50);
        cluster.submit(1, spec(TASKS, TASK_MS));
        cluster.advance(gap);
        cluster.host_clock_error = step;
        cluster.take_over(true);
        cluster.advance(50);
        check_cut(&mut cluster);
    });
}

/// A restarted worker executed a start on its way and, late, an extension; its owner was killed before it stored that.
#[test]
fn late_extension_of_a_restart_that_no_record_names() {
    let cases = [3_000, 5_000, 7_000, 9_000, 10_000].into_iter().flat_map(|late| {
        [20, 60, 200, 400].into_iter().flat_map(move |kill| {
            [true, false]
                .into_iter()
                .flat_map(move |is_noticed| [true, false].map(|lands| (late, kill, is_noticed, lands)))
        })
    });
    play_all(cases, |(late, kill, is_noticed, lands)| {
        let mut cluster = SimulatedCluster::new(1, 3);
        cluster.advance(5_000);
        cluster.fault_next_call(0, CallKind::ExtendLease, CallFault::ExecutedAfter(late));
        cluster.advance_until_called(0);
        cluster.submit(1, spec(TASKS, TASK_MS));
        cluster.advance_until_ordered(1);
        if is_noticed {
            cluster.restart_worker(0);
        } else {
            cluster.restart_unnoticed(0);
        }
        cluster.advance(kill);
        assert!(cluster.running_on(0) > 0, "no task runs on the worker");
        cluster.take_over(lands);
        cluster.disconnect(0, late - kill - 20, false);
        cluster.advance(late - kill + 5);
        cluster.disconnect(0, 60_000, false);
        cluster.advance(SETTLE_MS);
    });
}

/// The same, with a restarted worker whose entry the next owner never sees.
#[test]
fn late_extension_of_a_restart_that_is_never_registered() {
    play_all(
        [3_000, 6_000, 9_000].into_iter().flat_map(|late| [0, 30_000].map(|step| (late, step))),
        |(late, step)| {
            let mut cluster = SimulatedCluster::new(1, 3);
            cluster.advance(5_000);
            cluster.fault_next_call(0, CallKind::ExtendLease, CallFault::ExecutedAfter(late));
            cluster.advance_until_called(0);
            cluster.submit(1, spec(TASKS, TASK_MS));
            cluster.advance_until_ordered(1);
            cluster.restart_unnoticed(0);
            cluster.advance(20);
            cluster.host_clock_error = step;
            cluster.take_over(false);
            cluster.unlist(0);
            cluster.disconnect(0, late - 40, false);
            cluster.advance(late - 15);
            cluster.disconnect(0, 60_000, false);
            cluster.advance(SETTLE_MS);
        },
    );
}

/// The incarnation that the record names has restarted again before the next owner reaches it.
#[test]
fn order_known_for_an_incarnation_holds_for_the_next_one() {
    let cases = [2_000, 5_000, 8_000, 10_500].into_iter().flat_map(|late| {
        [200, 700, 1_500].into_iter().flat_map(move |gap| [0, 30_000].map(|step| (late, gap, step)))
    });
    play_all(cases, |(late, gap, step)| {
        let mut cluster = SimulatedCluster::new(1, 3);
        cluster.advance(5_000);
        cluster.fault_next_call(0, CallKind::ExtendLease, CallFault::ExecutedAfter(late));
        cluster.advance_until_called(0);
        cluster.restart_worker(0);
        cluster.advance(gap);
        cluster.submit(1, spec(TASKS, TASK_MS));
        cluster.advance_until_ordered(1);
        cluster.restart_worker(0);
        cluster.advance(20);
        cluster.host_clock_error = step;
        cluster.take_over(true);
        let left = late.saturating_sub(gap + 60);
        cluster.disconnect(0, left, false);
        cluster.advance(left + 25);
        cluster.disconnect(0, 60_000, false);
        cluster.advance(SETTLE_MS);
    });
}

/// Cuts that begin before a new owner has reached any incarnation of a worker; short leases matter most.
#[test]
fn worker_that_restarts_again_under_the_next_owner() {
    let cases = [50, 400, 1_000, 3_000].into_iter().flat_map(|gap| {
        [200, 2_000, 6_000].into_iter().flat_map(move |late| [0, 30_000].map(|step| (gap, late, step)))
    });
    play_all(cases, |(gap, late, step)| {
        let mut cluster = SimulatedCluster::new(1, 3);
        cluster.advance(5_000);
        cluster.fault_next_call(0, CallKind::ExtendLease, CallFault::ExecutedAfter(late));
        cluster.advance_until_called(0);
        cluster.restart_worker(0);
        cluster.advance(100);
        cluster.submit(1, spec(TASKS, TASK_MS));
        cluster.advance(gap);
        cluster.fault_next_call(0, CallKind::ExtendLease, CallFault::ExecutedAfter(late));
        cluster.advance_until_called(0);
        cluster.restart_worker(0);
        cluster.advance(300);
        cluster.submit(2, spec(TASKS, TASK_MS));
        cluster.advance(200);
        cluster.host_clock_error = step;
        cluster.take_over(false);
        cluster.advance(30);
        cluster.take_over(true);
        cluster.advance(30);
        cluster.disconnect(0, 60_000, false);
        cluster.advance(SETTLE_MS);
    });
}

/// The time of day of a worker's machine was stepped back, so that its next incarnation names an earlier start.
#[test]
fn next_incarnation_with_an_earlier_start_time_doubles_no_run() {
    let cases = [0, -30_000].into_iter().flat_map(|step| {
        [false, true]
            .into_iter()
            .flat_map(move |takes_over| [0u64, 50, 2_000].map(|late| (step, takes_over, late)))
    });
    play_all(cases, |(step, takes_over, late)| {
        let mut cluster = SimulatedCluster::new(1, 3);
        cluster.advance(5_000);
        cluster.restart_worker(0);
        cluster.advance(5_000);
        cluster.may_start_earlier = step != 0;
        cluster.worker_clock_error = step;
        if late > 0 {
            cluster.fault_next_call(0, CallKind::ExtendLease, CallFault::ExecutedAfter(late));
            cluster.advance_until_called(0);
        }
        cluster.submit(1, spec(TASKS, TASK_MS));
        cluster.advance_until_ordered(1);
        cluster.restart_worker(0);
        cluster.advance(late + 500);
        if takes_over {
            cluster.take_over(true);
            cluster.advance(50);
        }
        cluster.disconnect(0, 60_000, false);
        cluster.advance(SETTLE_MS);
        assert_eq!(
            cluster.query_state(1),
            Some(yuccahoist::shard::record::JobState::Completed),
            "not completed"
        );
    });
}

/// A stop of the owner, a gang, speculative steps and cancelled jobs are no reason for the alarm.
#[test]
fn alarm_is_not_raised_without_an_overlap() {
    let kinds = ["gang", "speculative", "cancelled", "preempted", "plain"];
    let cases = kinds.into_iter().flat_map(|kind| {
        [0, 5, 20, 100, 600].into_iter().flat_map(move |gap| {
            [true, false]
                .into_iter()
                .flat_map(move |lands| [0u64, 300, 1_500, 5_000].map(|cut| (kind, gap, lands, cut)))
        })
    });
    play_all(cases, |(kind, gap, lands, cut)| {
        let mut cluster = SimulatedCluster::new(1, 3);
        cluster.advance(5_000);
        let mut job = spec(6, 6_000);
        job.steps[0].gang = kind == "gang";
        job.steps[0].speculative = kind == "speculative";
        cluster.submit(1, job);
        cluster.advance(1_000);
        match kind {
            "cancelled" => {
                cluster.call(
                    1_001,
                    yuccahoist::shard::message::Request::Cancel(yuccahoist::shard::JobKey(1), None),
                );
            }
            "preempted" => {
                let mut high = spec(TASKS + 4, 2_000);
                high.queue.priority = 9;
                cluster.submit(2, high);
            }
            _ => {}
        }
        cluster.advance(gap);
        if cut > 0 {
            cluster.disconnect(0, cut, cut == 300);
        }
        cluster.take_over(lands);
        cluster.advance(gap);
        cluster.take_over(lands);
        (0..3).for_each(|number| cluster.resize_worker(number, WORKER_CAPACITY));
        cluster.advance(SETTLE_MS);
        assert_eq!(cluster.alarms(), 0, "alarm");
    });
}
