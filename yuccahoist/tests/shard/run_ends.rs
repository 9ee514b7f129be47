//! When a run counts as over although the worker's processes, entry, clock and calls come apart. The cluster fails a test in
//! which two runs of a task overlap, or in which a task starts again after an end that is taken note of.

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::Duration;

use yuccahoist::shard::message::{OrderError, Report, Request};
use yuccahoist::shard::record::JobState;
use yuccahoist::shard::{Event, JobKey, StepKey, TaskKey, WorkerIncarnation};
use yuccahoist::unit::{Resources, Timestamp};

use super::cluster::{CallFault, CallKind, Departure, SimulatedCluster, WORKER_CAPACITY, spec};

/// Duration of the tasks, milliseconds; longer than a lease.
const TASK_MS: u64 = 20_000;
/// Time after which all tasks of a test are done: the longest lease, the task, and the calls, milliseconds.
const SETTLE_MS: u64 = 34_000;
/// Time by which an order can be executed late, milliseconds.
const MAX_ORDER_DELAY_MS: u64 = 12_000;

/// Time for which no task of a job may be idle while there is room; defined by the platform, milliseconds.
const MAX_IDLE_MS: u64 = 3_000;
/// Tasks that keep three workers busy and leave room for the runs of one of them.
const TASKS: u32 = 8;

/// Returns a cluster of three workers with a job of two tasks, and the first worker that runs one.
fn busy_cluster() -> (SimulatedCluster, usize) {
    let mut cluster = SimulatedCluster::new(1, 3);
    cluster.advance(100);
    cluster.submit(1, spec(2, TASK_MS));
    cluster.advance(1_000);
    let worker = cluster.workers_of(1)[0];
    (cluster, worker)
}

/// Plays schedules, each with its description, and fails with those that break a rule.
fn play_all(schedules: impl IntoIterator<Item = (String, Box<dyn FnOnce()>)>) {
    let mut broken = Vec::new();
    for (description, play) in schedules {
        if let Err(cause) = catch_unwind(AssertUnwindSafe(play)) {
            let text = cause.downcast_ref::<&str>().map(|text| (*text).to_owned());
            let cause = text.or_else(|| cause.downcast_ref::<String>().cloned()).unwrap_or_default();
            broken.push(format!("{description}: {cause}"));
        }
    }
    assert!(broken.is_empty(), "{} schedules break a rule:\n{}", broken.len(), broken.join("\n"));
}

/// A draining worker counted as ended once it did not answer and had removed its entry, while its runs were active.
#[test]
fn runs_of_a_leaving_worker_block_their_tasks_until_they_end() {
    struct Case {
        name: &'static str,
        departure: Departure,
    }
    let base = Departure { answers: 0, entry: 0, runs: 1_000, one_way: false };
    let cases = [
        Case { name: "connections, entry, runs", departure: Departure { entry: 100, ..base } },
        Case { name: "entry, connections, runs", departure: Departure { answers: 100, ..base } },
        Case { name: "runs last 100 ms longer", departure: Departure { runs: 100, ..base } },
        Case { name: "only answers end", departure: Departure { one_way: true, ..base } },
    ];
    play_all(cases.map(|case| {
        let play = move || {
            let (mut cluster, worker) = busy_cluster();
            cluster.set_draining(worker, true);
            cluster.advance(2_000);
            cluster.leave_worker(worker, case.departure);
            cluster.advance(SETTLE_MS);
            assert_eq!(cluster.query_state(1), Some(JobState::Completed), "not completed");
        };
        (format!("{}, {:?}", case.name, case.departure), Box::new(play) as Box<dyn FnOnce()>)
    }));
}

/// A start order names only the id of a worker. The later incarnation executed it, and the task started elsewhere as well.
#[test]
fn order_executed_by_a_restarted_worker_is_not_doubled() {
    struct Case {
        name: &'static str,
        /// Time after which the start order is executed; it is answered if that is shorter than the time of a call.
        executed_after: Option<u64>,
        /// Time from the submission to the restart of the worker, milliseconds.
        restart_after: u64,
        /// Longest delay of the registry entry of the later incarnation, milliseconds.
        registry_delay: u64,
    }
    let cases = [
        Case { name: "in flight at the restart", executed_after: None, restart_after: 0, registry_delay: 0 },
        Case {
            name: "in flight, entry is late",
            executed_after: None,
            restart_after: 0,
            registry_delay: 2_000,
        },
        Case {
            name: "executed late, the restart is known",
            executed_after: Some(3_000),
            restart_after: 200,
            registry_delay: 0,
        },
        Case {
            name: "executed late, before the restart is known",
            executed_after: Some(700),
            restart_after: 690,
            registry_delay: 2_000,
        },
    ];
    play_all(cases.map(|case| {
        let play = move || {
            let mut cluster = SimulatedCluster::new(1, 2);
            cluster.advance(100);
            cluster.max_registry_delay = case.registry_delay;
            if let Some(millis) = case.executed_after {
                let fault = CallFault::ExecutedAfter(millis);
                (0..2).for_each(|worker| cluster.fault_next_call(worker, CallKind::Start, fault));
            }
            cluster.submit(1, spec(1, TASK_MS));
            let worker = cluster.advance_until_ordered(1);
            cluster.advance(case.restart_after);
            cluster.restart_worker(worker);
            cluster.advance(SETTLE_MS);
            assert_eq!(cluster.query_state(1), Some(JobState::Completed), "not completed");
        };
        (case.name.to_owned(), Box::new(play) as Box<dyn FnOnce()>)
    }));
}

/// A stopped start order counted as never executed, but the next incarnation knows nothing of the stop and executed it.
#[test]
fn stopped_order_executed_by_a_restarted_worker_is_not_doubled() {
    struct Case {
        name: &'static str,
        /// Duration of the task, milliseconds.
        task: u64,
    }
    let cases =
        [Case { name: "the task runs again", task: TASK_MS }, Case { name: "the task is done", task: 500 }];
    play_all(cases.map(|case| {
        let play = move || {
            let mut cluster = SimulatedCluster::new(1, 1);
            cluster.advance(100);
            cluster.fault_next_call(0, CallKind::Start, CallFault::ExecutedAfter(6_000));
            cluster.submit(1, spec(1, case.task));
            cluster.advance(4_000);
            cluster.restart_worker(0);
            cluster.advance(SETTLE_MS);
            assert_eq!(cluster.query_state(1), Some(JobState::Completed), "not completed");
        };
        (case.name.to_owned(), Box::new(play) as Box<dyn FnOnce()>)
    }));
}

/// The lease of the earlier incarnation freed a task whose order the next one, out of contact, had executed.
#[test]
fn order_executed_by_a_restarted_worker_out_of_contact_is_not_doubled() {
    let mut cluster = SimulatedCluster::new(1, 2);
    cluster.advance(100);
    cluster.submit(1, spec(1, TASK_MS));
    let worker = cluster.advance_until_ordered(1);
    cluster.restart_worker(worker);
    cluster.disconnect(worker, 60_000, true);
    cluster.advance(SETTLE_MS + MAX_ORDER_DELAY_MS);
    assert_eq!(cluster.query_state(1), Some(JobState::Completed), "not completed");
}

/// The lease was counted to the millisecond, so that the runs of a worker that kills them late overlapped with the next ones.
#[test]
fn late_lease_timer_does_not_double_a_run() {
    let delays = (0..=100).step_by(20);
    let cases = [1.0, 0.98].into_iter().flat_map(|rate| delays.clone().map(move |delay| (rate, delay)));
    play_all(cases.map(|(rate, timer_delay)| {
        let play = move || {
            let (mut cluster, worker) = busy_cluster();
            cluster.set_clock(worker, rate, timer_delay);
            cluster.advance(2_000);
            cluster.disconnect(worker, 60_000, false);
            cluster.advance(SETTLE_MS);
            assert_eq!(cluster.query_state(1), Some(JobState::Completed), "not completed");
            assert!(cluster.starts[&JobKey(1)] > 2, "the runs of the worker did not start elsewhere");
        };
        let description = format!("clock rate {rate}, timer {timer_delay} ms late");
        (description, Box::new(play) as Box<dyn FnOnce()>)
    }));
}

/// A lease extension for the earlier incarnation extended the lease of the later one further than the owner knew.
#[test]
fn extension_for_an_earlier_incarnation_counts_in_the_lease_of_the_later() {
    play_all([1_000, 2_000, 3_000].map(|executed_after| {
        let play = move || {
            let (mut cluster, worker) = busy_cluster();
            cluster.advance(5_000);
            let fault = CallFault::ExecutedAfter(executed_after);
            cluster.fault_next_call(worker, CallKind::ExtendLease, fault);
            cluster.advance_until_called(worker);
            cluster.restart_worker(worker);
            cluster.advance(300);
            cluster.submit(2, spec(8, TASK_MS));
            cluster.advance(3_000);
            cluster.disconnect(worker, 60_000, false);
            cluster.advance(SETTLE_MS);
        };
        (format!("executed after {executed_after} ms"), Box::new(play) as Box<dyn FnOnce()>)
    }));
}

/// A lease extension for the earlier incarnation acknowledged an end of the later one that the owner had not received.
#[test]
fn extension_for_an_earlier_incarnation_acknowledges_no_end_of_the_later() {
    let mut cluster = SimulatedCluster::new(1, 1);
    cluster.advance(100);
    cluster.submit(1, spec(4, 300));
    cluster.advance(1_000);
    cluster.fault_next_call(0, CallKind::ExtendLease, CallFault::ExecutedAfter(2_000));
    cluster.advance_until_called(0);
    cluster.restart_worker(0);
    cluster.advance(1_000);
    cluster.submit(2, spec(4, 500));
    cluster.advance(100);
    cluster.disconnect(0, 1_500, true);
    cluster.advance(5_000);
    assert_eq!(cluster.starts[&JobKey(2)], 4, "tasks that are done start again");
}

/// The lease of an incarnation freed the runs that the next one had started and answered before its owner knew of it.
#[test]
fn run_answered_by_an_unknown_incarnation_outlasts_the_lease_of_the_earlier() {
    let cut_times = [20, 200, 600, 1_200];
    let cases = [6_000, 10_000].into_iter().flat_map(|lease| cut_times.map(move |cut| (lease, cut)));
    play_all(cases.map(|(max_lease, cut_after)| {
        let play = move || {
            let mut cluster = SimulatedCluster::with_max_lease(1, 3, max_lease);
            cluster.advance(5_000);
            cluster.restart_unnoticed(0);
            cluster.submit(1, spec(TASKS, TASK_MS));
            cluster.advance(15 + cut_after);
            assert!(cluster.running_on(0) > 0, "no task runs on the worker");
            cluster.disconnect(0, 60_000, false);
            cluster.advance(SETTLE_MS + MAX_ORDER_DELAY_MS);
            assert!(cluster.starts[&JobKey(1)] > TASKS, "the runs of the worker did not start elsewhere");
            assert_eq!(cluster.query_state(1), Some(JobState::Completed), "not completed");
        };
        (
            format!("longest lease {max_lease} ms, cut after {cut_after} ms"),
            Box::new(play) as Box<dyn FnOnce()>,
        )
    }));
}

/// The lease extension in flight was forgotten when the answer to a start told of the next incarnation.
#[test]
fn extension_in_flight_counts_once_a_start_tells_of_the_next_incarnation() {
    play_all([2_000, 5_000, 8_000].map(|late| {
        let play = move || {
            let mut cluster = SimulatedCluster::new(1, 3);
            cluster.advance(5_000);
            cluster.fault_next_call(0, CallKind::ExtendLease, CallFault::ExecutedAfter(late));
            cluster.advance_until_called(0);
            cluster.restart_unregistered(0);
            cluster.submit(1, spec(TASKS, TASK_MS));
            cluster.advance(1_000);
            assert!(cluster.running_on(0) > 0, "no task runs on the worker");
            cluster.disconnect(0, 60_000, true);
            cluster.advance(SETTLE_MS + MAX_ORDER_DELAY_MS);
            assert_eq!(cluster.query_state(1), Some(JobState::Completed), "not completed");
        };
        (format!("executed after {late} ms"), Box::new(play) as Box<dyn FnOnce()>)
    }));
}

/// The same with a ticket or without, with an answer that is lost, and with an entry of the next one that is read late or never.
#[test]
fn run_of_an_unknown_incarnation_outlasts_the_lease_of_the_earlier() {
    #[derive(Debug, Clone, Copy)]
    struct Case {
        has_tickets: bool,
        is_answered: bool,
        /// Time from the submission to the cut, milliseconds.
        cut_after: u64,
        /// Time from the cut to the registry entry, milliseconds.
        registered_after: Option<u64>,
    }
    let cases = [false, true].into_iter().flat_map(|has_tickets| {
        [false, true].into_iter().flat_map(move |is_answered| {
            [100, 300].into_iter().flat_map(move |cut_after| {
                let times = [None, Some(1_000), Some(6_000)];
                times.map(|registered_after| Case { has_tickets, is_answered, cut_after, registered_after })
            })
        })
    });
    play_all(cases.map(|case| {
        let play = move || {
            let mut cluster = SimulatedCluster::new(1, 3);
            cluster.advance(5_000);
            cluster.fault_next_call(0, CallKind::ExtendLease, CallFault::ExecutedAfter(5_000));
            cluster.advance_until_called(0);
            cluster.restart_unregistered(0);
            if !case.is_answered {
                (0..4).for_each(|_| cluster.fault_next_call(0, CallKind::Start, CallFault::AnswerLost));
            }
            let job = spec(TASKS, TASK_MS);
            let job = if case.has_tickets { SimulatedCluster::with_recommendation(job) } else { job };
            cluster.submit(1, job);
            cluster.advance(case.cut_after);
            assert!(cluster.running_on(0) > 0, "no task runs on the worker");
            cluster.disconnect(0, 60_000, false);
            if let Some(after) = case.registered_after {
                cluster.advance(after);
                cluster.register(0);
            }
            cluster.advance(SETTLE_MS + MAX_ORDER_DELAY_MS);
            assert_eq!(cluster.query_state(1), Some(JobState::Completed), "not completed");
        };
        (format!("{case:?}"), Box::new(play) as Box<dyn FnOnce()>)
    }));
}

/// A start order that was refused while its run was being stopped counted as unanswered, and its task waited for it.
#[test]
fn refused_members_of_a_gang_delay_it_by_no_late_order() {
    play_all([1, 2].map(|refused| {
        let play = move || {
            let mut cluster = SimulatedCluster::new(1, 3);
            cluster.advance(5_000);
            cluster.max_registry_delay = 600_000;
            (0..refused).for_each(|number| cluster.resize_worker(number, Resources::new(1_000, 1_000, 0)));
            let mut job = spec(3, TASK_MS);
            job.steps[0].gang = true;
            job.steps[0].max_per_worker = Some(1);
            cluster.submit(1, job);
            cluster.advance(100);
            cluster.max_registry_delay = 0;
            (0..refused).for_each(|number| cluster.resize_worker(number, WORKER_CAPACITY));
            cluster.advance(MAX_IDLE_MS);
            assert_eq!(cluster.workers_of(1), [0, 1, 2], "the gang is not whole");
        };
        (format!("{refused} refused"), Box::new(play) as Box<dyn FnOnce()>)
    }));
}

/// A start order without a ticket is executed late by an incarnation that its owner never reaches.
#[test]
fn late_start_on_an_unreachable_incarnation_is_not_doubled() {
    let cases =
        [3_000, 5_000, 8_000, 11_000].into_iter().flat_map(|late| [false, true].map(|way| (late, way)));
    play_all(cases.map(|(late, one_way)| {
        let play = move || {
            let mut cluster = SimulatedCluster::new(1, 2);
            cluster.advance(100);
            cluster.resize_worker(1, Resources::new(1_000, 1_000, 0));
            cluster.advance(200);
            cluster.fault_next_call(0, CallKind::Start, CallFault::ExecutedAfter(late));
            cluster.submit(1, spec(1, TASK_MS));
            let worker = cluster.advance_until_ordered(1);
            cluster.resize_worker(1, WORKER_CAPACITY);
            cluster.max_registry_delay = 600_000;
            cluster.crash_worker(worker, late - 15);
            cluster.advance(late - 10);
            let deadline = cluster.now + Duration::from_millis(20);
            while cluster.running_on(worker) == 0 && cluster.now < deadline {
                cluster.advance(5);
            }
            assert!(cluster.running_on(worker) > 0, "the late order was not executed");
            cluster.disconnect(worker, 60_000, one_way);
            cluster.advance(SETTLE_MS + MAX_ORDER_DELAY_MS);
        };
        (format!("late {late}, one way {one_way}"), Box::new(play) as Box<dyn FnOnce()>)
    }));
}

/// An extension by the previous owner is executed after the takeover by an incarnation that the new owner does not reach.
#[test]
fn late_extension_before_a_first_report_does_not_double_a_run() {
    let times = [3_000, 4_000, 4_500, 5_000, 5_500];
    let cases = times.into_iter().flat_map(|late| [600, 1_000, 2_000].map(|gap| (late, gap)));
    play_all(cases.map(|(late, gap)| {
        let play = move || {
            let mut cluster = SimulatedCluster::new(1, 3);
            cluster.advance(5_000);
            cluster.fault_next_call(0, CallKind::ExtendLease, CallFault::ExecutedAfter(late));
            cluster.advance_until_called(0);
            cluster.restart_worker(0);
            cluster.advance(100);
            cluster.submit(1, spec(TASKS, TASK_MS));
            cluster.advance(gap - 100);
            assert!(cluster.running_on(0) > 0, "no task runs on the worker");
            cluster.disconnect(0, late - gap - 10, false);
            cluster.take_over(true);
            cluster.advance(late - gap + 5);
            cluster.disconnect(0, 60_000, false);
            cluster.advance(SETTLE_MS + MAX_ORDER_DELAY_MS);
        };
        (format!("late {late}, takeover after {gap}"), Box::new(play) as Box<dyn FnOnce()>)
    }));
}

/// The end of a run that had been freed was acknowledged and ignored, so that its task, which was done, ran again.
#[test]
fn done_end_of_a_freed_run_completes_its_task() {
    struct Case {
        name: &'static str,
        gang: bool,
        /// Whether the other worker has room for the task.
        has_room: bool,
    }
    let cases = [
        Case { name: "runs again", gang: false, has_room: true },
        Case { name: "waits for room", gang: false, has_room: false },
        Case { name: "gang", gang: true, has_room: true },
    ];
    play_all(cases.map(|case| {
        let play = move || {
            let mut cluster = SimulatedCluster::new(1, 2);
            cluster.advance(100);
            let mut job = spec(2, 3_900);
            job.steps[0].gang = case.gang;
            cluster.submit(1, job);
            cluster.advance(1_000);
            let worker = cluster.workers_of(1)[0];
            if !case.has_room {
                cluster.resize_worker(1 - worker, Resources::new(1_000, 1_000, 0));
            }
            cluster.disconnect(worker, 5_500, false);
            cluster.advance(6_500);
            let starts = if case.has_room { 4 } else { 2 };
            assert_eq!(cluster.starts[&JobKey(1)], starts);
            assert_eq!(cluster.query_state(1), Some(JobState::Completed), "not completed");
            cluster.advance(1_000);
            assert!(cluster.workers_of(1).is_empty(), "runs of done tasks are left");
        };
        (case.name.to_owned(), Box::new(play) as Box<dyn FnOnce()>)
    }));
}

/// An answer to a start or a stop that is lost, or that newer reports overtake, must not free the task of an active run.
#[test]
fn lost_and_overtaken_answers_double_no_run() {
    let late = (0..590).step_by(10).map(CallFault::AnswerAfter);
    let faults: Vec<_> = late.chain([CallFault::AnswerLost]).collect();
    let kinds = [CallKind::Start, CallKind::Stop, CallKind::ExtendLease];
    let cases = kinds.into_iter().flat_map(|kind| faults.iter().map(move |fault| (kind, *fault)));
    play_all(cases.map(|(kind, fault)| {
        let play = move || {
            let mut cluster = SimulatedCluster::new(1, 2);
            cluster.advance(100);
            (0..2).for_each(|worker| cluster.fault_next_call(worker, kind, fault));
            cluster.submit(1, spec(4, 300));
            cluster.submit(2, spec(2, TASK_MS));
            cluster.advance(400);
            cluster.call(9, Request::Cancel(JobKey(2), None));
            cluster.advance(5_000);
            assert_eq!(cluster.query_state(1), Some(JobState::Completed), "not completed");
            cluster.check_settled();
        };
        (format!("{kind:?} {fault:?}"), Box::new(play) as Box<dyn FnOnce()>)
    }));
}

/// A task was freed although the outcome of its run was unknown.
#[test]
fn run_of_unknown_outcome_blocks_its_task() {
    struct Case {
        name: &'static str,
        /// Time from the start order to the event, milliseconds.
        after: u64,
        /// Event for the task and its worker, to which a lease extension was sent at the given time.
        event: fn(TaskKey, WorkerIncarnation, Timestamp) -> Event,
    }
    let cases = [
        Case {
            name: "a copy of an executed start order is refused",
            after: 0,
            event: |task, worker, _| Event::Started(task, 1, worker, Err(OrderError::Old)),
        },
        Case {
            name: "a report lists the run neither as active nor as ended",
            after: 1_500,
            event: |_, worker, sent| {
                let report = Report { started_at: None, clock: 0, active: Vec::new(), ended: Vec::new() };
                Event::LeaseAnswered(worker, sent, Ok(report))
            },
        },
    ];
    play_all(cases.map(|case| {
        let play = move || {
            let mut cluster = SimulatedCluster::new(1, 2);
            cluster.advance(100);
            cluster.submit(1, spec(1, TASK_MS));
            let worker = cluster.advance_until_ordered(1);
            cluster.advance(case.after);
            let task = StepKey { job: JobKey(1), occurrence: 0, step: 0 }.task(0);
            let incarnation = cluster.entry_of(worker).incarnation;
            let sent = cluster.extended_at(&incarnation);
            cluster.handle_event((case.event)(task, incarnation, sent));
            cluster.advance(SETTLE_MS);
            assert_eq!(cluster.query_state(1), Some(JobState::Completed), "not completed");
        };
        (case.name.to_owned(), Box::new(play) as Box<dyn FnOnce()>)
    }));
}

/// A run counted as over because one incarnation confirmed its stop; the next one executed its start order late.
#[test]
fn order_that_outlives_a_confirmed_stop_is_not_doubled() {
    let mut cluster = SimulatedCluster::new(1, 2);
    cluster.advance(100);
    cluster.resize_worker(1, Resources::new(1_000, 1_000, 0));
    cluster.advance(200);
    cluster.fault_next_call(0, CallKind::Start, CallFault::ExecutedAfter(5_000));
    cluster.submit(1, spec(1, TASK_MS));
    let worker = cluster.advance_until_ordered(1);
    assert_eq!(worker, 0);
    cluster.advance(20);
    cluster.resize_worker(1, WORKER_CAPACITY);
    cluster.resize_worker(0, Resources::new(1_000, 1_000, 0));
    cluster.advance(2_500);
    assert!(cluster.workers_of(1).is_empty(), "the task starts while its order may still be executed");
    cluster.restart_worker(0);
    cluster.resize_worker(0, WORKER_CAPACITY);
    cluster.advance(SETTLE_MS);
    assert_eq!(cluster.query_state(1), Some(JobState::Completed), "not completed");
}

/// A run counted as over because the lease of one incarnation expired; the next one executed its start order late.
#[test]
fn order_that_outlives_a_lease_is_not_doubled() {
    let mut cluster = SimulatedCluster::new(1, 2);
    cluster.advance(100);
    (0..2).for_each(|worker| {
        cluster.fault_next_call(worker, CallKind::Start, CallFault::ExecutedAfter(7_000));
    });
    cluster.submit(1, spec(1, TASK_MS));
    let worker = cluster.advance_until_ordered(1);
    cluster.crash_worker(worker, 6_000);
    cluster.advance(SETTLE_MS);
    assert_eq!(cluster.query_state(1), Some(JobState::Completed), "not completed");
}

/// A lease extension for an incarnation that the owner had removed extended the lease of the next one.
#[test]
fn extension_for_a_removed_incarnation_counts_in_the_lease_of_the_next() {
    let (mut cluster, worker) = busy_cluster();
    cluster.advance(5_000);
    cluster.fault_next_call(worker, CallKind::ExtendLease, CallFault::ExecutedAfter(7_000));
    cluster.advance_until_called(worker);
    cluster.crash_worker(worker, 5_500);
    cluster.advance(3_000);
    cluster.unlist(worker);
    cluster.advance(2_800);
    cluster.submit(2, spec(8, TASK_MS));
    cluster.advance(1_600);
    cluster.disconnect(worker, 60_000, false);
    cluster.advance(SETTLE_MS);
}

/// A lease extension of the previous owner for an earlier incarnation extended the lease of the next one.
#[test]
fn extension_of_a_previous_owner_for_an_earlier_incarnation_counts() {
    let mut cluster = SimulatedCluster::new(1, 3);
    cluster.advance(5_000);
    cluster.fault_next_call(0, CallKind::ExtendLease, CallFault::ExecutedAfter(500));
    cluster.advance_until_called(0);
    cluster.restart_worker(0);
    cluster.advance(600);
    cluster.take_over(true);
    cluster.advance(300);
    cluster.submit(2, spec(8, TASK_MS));
    cluster.advance(1_000);
    cluster.disconnect(0, 60_000, false);
    cluster.advance(SETTLE_MS);
}

/// Call for the earlier incarnation of a worker that the later one executes; times are in milliseconds.
#[derive(Debug, Clone, Copy)]
enum EarlierOrder {
    /// Start orders that are on their way at the restart.
    Start,
    /// Start order that comes this late; after the timeout of 600 ms it is refused, as its run was stopped by then.
    LateStart(u64),
    /// Lease extension that is on its way at the restart and executed this late.
    Extension(u64),
}

/// How the owner changes.
#[derive(Debug, Clone, Copy)]
enum OwnerChange {
    Unchanged,
    /// The owner is killed, and its write in flight is lost.
    Killed,
    /// The owner writes what it has to before the next one takes over.
    Stopped,
    /// The owner computes nothing for this time, milliseconds, before the next one takes over.
    Frozen(u64),
}

/// Settings of a schedule; times are in milliseconds.
#[derive(Debug, Clone, Copy)]
struct Takeover {
    order: EarlierOrder,
    /// Longest lease.
    max_lease: u64,
    /// Time from the execution of the order to the change of owner.
    gap: u64,
    change: OwnerChange,
    /// Time from the change of owner to the cut; the first report takes 10 ms.
    cut_after: u64,
    /// Step of the hosts' time of day before the change of owner.
    clock_step: i64,
}

/// Starts long tasks on a worker whose lease an order to its earlier incarnation has extended, replaces the owner, and cuts
/// the worker off.
fn play_takeover(Takeover { order, max_lease, gap, change, cut_after, clock_step }: Takeover) {
    let mut cluster = SimulatedCluster::with_max_lease(1, 3, max_lease);
    cluster.advance(5_000);
    let worker = match order {
        EarlierOrder::Start => {
            cluster.submit(1, spec(TASKS, TASK_MS));
            let worker = cluster.advance_until_ordered(1);
            cluster.restart_worker(worker);
            worker
        }
        EarlierOrder::LateStart(late) => {
            cluster.fault_next_call(0, CallKind::Start, CallFault::ExecutedAfter(late));
            cluster.submit(1, spec(TASKS, TASK_MS));
            cluster.advance_until_called(0);
            cluster.advance(100);
            cluster.restart_worker(0);
            cluster.advance(late - 100);
            0
        }
        EarlierOrder::Extension(late) => {
            cluster.fault_next_call(0, CallKind::ExtendLease, CallFault::ExecutedAfter(late));
            cluster.advance_until_called(0);
            cluster.restart_worker(0);
            cluster.advance(100);
            cluster.submit(1, spec(TASKS, TASK_MS));
            cluster.advance(late.saturating_sub(100));
            0
        }
    };
    cluster.advance(gap);
    cluster.host_clock_error = clock_step;
    match change {
        OwnerChange::Unchanged => {}
        OwnerChange::Killed => cluster.take_over(false),
        OwnerChange::Stopped => cluster.take_over(true),
        OwnerChange::Frozen(millis) => {
            cluster.freeze_owner(millis);
            cluster.advance(millis);
            cluster.take_over(false);
        }
    }
    cluster.advance(cut_after);
    assert!(cluster.running_on(worker) > 0, "no task runs on the worker");
    cluster.disconnect(worker, 60_000, false);
    cluster.advance(SETTLE_MS + MAX_ORDER_DELAY_MS);
    assert!(cluster.starts[&JobKey(1)] > TASKS, "the runs of the worker did not start elsewhere");
    assert_eq!(cluster.query_state(1), Some(JobState::Completed), "not completed");
}

/// The lease that a previous owner would have granted was counted for a worker whose lease an order to its earlier
/// incarnation had extended to the longest one.
#[test]
fn lease_extended_by_an_order_to_an_earlier_incarnation_outlasts_a_takeover() {
    struct Case {
        order: EarlierOrder,
        /// Longest lease, milliseconds.
        max_lease: u64,
        /// Times from the execution of the order to the change of owner, milliseconds.
        gaps: &'static [u64],
    }
    use EarlierOrder::{Extension, LateStart, Start};
    let cases = [
        Case { order: Start, max_lease: 6_000, gaps: &[100, 1_000] },
        Case { order: Start, max_lease: 10_000, gaps: &[100, 1_000, 3_000, 5_000] },
        Case { order: LateStart(550), max_lease: 6_000, gaps: &[100, 1_000] },
        Case { order: LateStart(550), max_lease: 10_000, gaps: &[100, 3_000] },
        Case { order: LateStart(2_000), max_lease: 6_000, gaps: &[100, 1_000] },
        Case { order: LateStart(2_000), max_lease: 10_000, gaps: &[100, 3_000] },
        Case { order: LateStart(11_000), max_lease: 10_000, gaps: &[100, 3_000] },
        Case { order: Extension(200), max_lease: 6_000, gaps: &[100, 1_000] },
        Case { order: Extension(200), max_lease: 10_000, gaps: &[100, 3_000, 5_000] },
        Case { order: Extension(3_000), max_lease: 6_000, gaps: &[100, 1_000] },
        Case { order: Extension(3_000), max_lease: 10_000, gaps: &[100, 3_000] },
        Case { order: Extension(11_000), max_lease: 6_000, gaps: &[100, 1_000] },
        Case { order: Extension(11_000), max_lease: 10_000, gaps: &[100, 3_000] },
    ];
    let changes = [OwnerChange::Killed, OwnerChange::Stopped, OwnerChange::Frozen(500)];
    let mut schedules = Vec::new();
    for Case { order, max_lease, gaps } in cases {
        for (gap, change, cut_after) in gaps
            .iter()
            .flat_map(|gap| changes.map(|change| (*gap, change)))
            .flat_map(|(gap, change)| [0, 50].map(|cut_after| (gap, change, cut_after)))
        {
            let takeover = Takeover { order, max_lease, gap, change, cut_after, clock_step: 0 };
            let play = move || play_takeover(takeover);
            schedules.push((format!("{takeover:?}"), Box::new(play) as Box<dyn FnOnce()>));
        }
    }
    play_all(schedules);
}

/// The time of day of the hosts was stepped, so that a new owner took a worker that had just restarted for an old one.
#[test]
fn step_of_the_clock_does_not_shorten_the_lease_that_a_new_owner_inherits() {
    use EarlierOrder::{Extension, LateStart, Start};
    let orders =
        [Start, LateStart(550), LateStart(2_000), Extension(200), Extension(3_000), Extension(11_000)];
    let changes = [OwnerChange::Killed, OwnerChange::Stopped, OwnerChange::Frozen(500)];
    let cases = orders.into_iter().flat_map(|order| changes.map(|change| (order, change)));
    play_all(cases.flat_map(|(order, change)| {
        [-30_000, 30_000, 3_600_000].map(|clock_step| {
            let takeover =
                Takeover { order, max_lease: 10_000, gap: 1_000, change, cut_after: 50, clock_step };
            let play = move || play_takeover(takeover);
            (format!("{takeover:?}"), Box::new(play) as Box<dyn FnOnce()>)
        })
    }));
}

/// An owner that saw the restart of a worker itself has to count the orders to the earlier incarnation in its lease.
#[test]
fn lease_extended_by_an_order_to_an_earlier_incarnation_is_counted_by_its_sender() {
    use EarlierOrder::{Extension, LateStart, Start};
    let orders = [
        Start,
        LateStart(200),
        LateStart(550),
        LateStart(2_000),
        LateStart(11_000),
        Extension(200),
        Extension(3_000),
        Extension(11_000),
    ];
    let settings = [(6_000, 10), (6_000, 1_000), (10_000, 10), (10_000, 1_000), (10_000, 5_000)];
    play_all(orders.into_iter().flat_map(|order| settings.map(|s| (order, s))).flat_map(
        |(order, (max_lease, gap))| {
            [0, 50].map(|cut_after| {
                let change = OwnerChange::Unchanged;
                let takeover = Takeover { order, max_lease, gap, change, cut_after, clock_step: 0 };
                let play = move || play_takeover(takeover);
                (format!("{takeover:?}"), Box::new(play) as Box<dyn FnOnce()>)
            })
        },
    ));
}

/// Several restarts in a row, with orders executed late in each.
#[test]
fn order_is_followed_through_several_restarts() {
    play_all(
        [1_500, 3_000, 6_000].into_iter().flat_map(|late| [200, 700, 1_400].map(|gap| (late, gap))).map(
            |(late, gap)| {
                let play = move || {
                    let mut cluster = SimulatedCluster::new(1, 2);
                    cluster.advance(100);
                    cluster.max_registry_delay = 1_000;
                    (0..2).for_each(|worker| {
                        cluster.fault_next_call(worker, CallKind::Start, CallFault::ExecutedAfter(late));
                    });
                    cluster.submit(1, spec(1, TASK_MS));
                    let worker = cluster.advance_until_ordered(1);
                    (0..3).for_each(|_| {
                        cluster.advance(gap);
                        cluster.restart_worker(worker);
                    });
                    cluster.advance(SETTLE_MS);
                    assert_eq!(cluster.query_state(1), Some(JobState::Completed), "not completed");
                };
                (format!("late {late}, gap {gap}"), Box::new(play) as Box<dyn FnOnce()>)
            },
        ),
    );
}

/// A run counted as over because a new owner's first report did not list it; the next incarnation executed its start order
/// before it knew the new epoch.
#[test]
fn order_of_a_previous_owner_that_outlives_a_first_report_is_not_doubled() {
    let small = Resources::new(1_000, 1_000, 0);
    let mut cluster = SimulatedCluster::new(1, 2);
    cluster.advance(100);
    cluster.resize_worker(1, small);
    cluster.fault_next_call(0, CallKind::Start, CallFault::ExecutedAfter(3_000));
    cluster.submit(1, spec(1, TASK_MS));
    assert_eq!(cluster.advance_until_ordered(1), 0);
    cluster.advance(300);
    cluster.resize_worker(0, small);
    cluster.resize_worker(1, WORKER_CAPACITY);
    cluster.take_over(true);
    cluster.advance(2_000);
    assert!(cluster.workers_of(1).is_empty(), "the task starts while its order may still be executed");
    cluster.resize_worker(0, WORKER_CAPACITY);
    cluster.max_registry_delay = 1_000;
    // No call of the new owner reaches the next incarnation before the late order.
    cluster.disconnect(0, 690, false);
    cluster.advance(650);
    cluster.restart_worker(0);
    cluster.disconnect(0, 45, false);
    cluster.advance(SETTLE_MS);
    assert_eq!(cluster.query_state(1), Some(JobState::Completed), "not completed");
}

/// A task was started while a report listed an earlier run of it that was still being stopped. The order is later than the
/// platform allows, so that the run counts as over.
#[test]
fn task_is_not_started_while_a_report_lists_an_unplaced_run_of_it() {
    let mut cluster = SimulatedCluster::new(1, 2);
    cluster.advance(100);
    let late = MAX_ORDER_DELAY_MS + 4_000;
    cluster.fault_next_call(0, CallKind::Start, CallFault::ExecutedAfter(late));
    cluster.submit(1, spec(1, TASK_MS));
    let worker = cluster.advance_until_ordered(1);
    assert_eq!(worker, 0);
    cluster.advance(300);
    cluster.take_over(true);
    cluster.advance(late - 1_000);
    cluster.disconnect(worker, 690, false);
    cluster.advance(650);
    cluster.restart_worker(worker);
    cluster.disconnect(worker, 45, false);
    cluster.expects_alarm = true;
    cluster.advance(SETTLE_MS);
    assert_eq!(cluster.alarms(), 1, "a run that was freed too early raises no alarm");
    assert_eq!(cluster.query_state(1), Some(JobState::Completed), "not completed");
}
