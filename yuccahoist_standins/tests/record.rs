//! Records of the stand-ins match the effects of calls, with and without faults.

use std::collections::BTreeMap;
use std::time::Duration;

use assert_matches::assert_matches;
use bytes::Bytes;
use tokio::time::sleep;
use yuccahoist::id::{Attempt, Epoch, RequestId, TaskId, TaskIndex, WorkerId};
use yuccahoist::job::{JobKind, Priority};
use yuccahoist::placement::{TaskStart, WorkerCommand, WorkerTaskState};
use yuccahoist::request::{Class, Request};
use yuccahoist::systems::{BackendServer, CallError, DispatchBounds, HostList, HostState, WorkerPlatform};
use yuccahoist::unit::{Resources, Timestamp, WallTime};
use yuccahoist_standins::backend::Backends;
use yuccahoist_standins::fault::Faults;
use yuccahoist_standins::hosts::Hosts;
use yuccahoist_standins::worker::{TaskBehavior, Workers};

fn w1() -> WorkerId {
    "w1".parse().expect("valid worker id")
}

fn request(number: u8, body: &'static str) -> Request {
    Request {
        id: RequestId::from_parts(WallTime::from_millis(1_790_000_000_000), [number; 10]),
        service: "drumline".parse().expect("valid service id"),
        class: Class::Urgent,
        team: "day".parse().expect("valid team id"),
        idempotent: true,
        deadline: Timestamp::MAX,
        body: Bytes::from_static(body.as_bytes()),
    }
}

fn bounds(epoch: u64) -> DispatchBounds {
    DispatchBounds {
        epoch: Epoch(epoch),
        start_before: WallTime::from_millis(u64::MAX),
        run_limit: Duration::from_secs(9),
    }
}

fn start(index: u32, counter: u64, epoch: u64, kind: JobKind) -> WorkerCommand {
    WorkerCommand::Start(TaskStart {
        epoch: Epoch(epoch),
        task: TaskId { job: "job".parse().expect("valid job id"), index: TaskIndex(index) },
        attempt: Attempt { epoch: Epoch(epoch), counter },
        team: "day".parse().expect("valid team id"),
        kind,
        priority: Priority(1),
        resources: Resources::new(500, 64, 1),
        lease_ms: 2_000,
    })
}

/// Guards against wrong counts of overload and of repeated runs in experiments.
#[tokio::test(start_paused = true)]
async fn backend_records_slots_and_repeats() {
    let backends = Backends::new([w1()]);
    let (w, a, b) = (w1(), request(1, "time_us=50000;"), request(2, "time_us=50000;x"));
    let answers = futures::join!(backends.call(&w, &a, bounds(1)), backends.call(&w, &b, bounds(1)));
    assert_eq!(answers.1.expect("answered").body, "time_us=50000;x");
    backends.call(&w, &a, bounds(1)).await.expect("answered");
    let record = backends.record_of(&w).expect("known worker");
    assert_eq!((record.most_slots, record.runs.len()), (2, 3));
    assert!(record.runs.iter().all(|run| run.end.is_some_and(|end| end - run.start >= 50_000) && !run.late));
    assert_eq!(backends.run_counts(), BTreeMap::from([(a.id, 2), (b.id, 1)]));
}

/// Guards against a run that is missing from the record because its caller dropped the call.
#[tokio::test(start_paused = true)]
async fn dropped_call_still_completes_its_run() {
    let backends = Backends::new([w1()]);
    let call = async { backends.call(&w1(), &request(1, "time_us=50000;"), bounds(1)).await };
    assert!(tokio::time::timeout(Duration::from_millis(10), call).await.is_err());
    sleep(Duration::from_millis(100)).await;
    assert!(backends.record_of(&w1()).expect("known worker").runs[0].end.is_some());
}

/// Guards against a fault that applies on the wrong side of the effect, or fails with the wrong error.
#[tokio::test(start_paused = true)]
async fn faults_apply_before_or_after_the_effect() {
    struct Case {
        faults: Faults,
        check: fn(&Result<yuccahoist::request::Answer, CallError>) -> bool,
        runs: usize,
    }
    let cases = [
        Case {
            faults: Faults { down: true, ..Faults::default() },
            check: |result| matches!(result, Err(CallError::NotSent { .. })),
            runs: 0,
        },
        Case {
            faults: Faults { lose_answer: true, ..Faults::default() },
            check: |result| matches!(result, Err(CallError::Unknown { .. })),
            runs: 1,
        },
        Case {
            faults: Faults { fail_all: true, ..Faults::default() },
            check: |result| matches!(result, Ok(answer) if answer.status == 500),
            runs: 1,
        },
        Case {
            faults: Faults { refuse_older: true, ..Faults::default() },
            check: |result| matches!(result, Err(CallError::Rejected { .. })),
            runs: 0,
        },
    ];
    for case in cases {
        let backends = Backends::new([w1()]);
        backends.call(&w1(), &request(1, ""), bounds(9)).await.expect("answered");
        backends.faults(&w1()).expect("known worker").set(case.faults.clone());
        let result = backends.call(&w1(), &request(2, ""), bounds(5)).await;
        assert!((case.check)(&result), "{:?}: {result:?}", case.faults);
        assert_eq!(backends.record_of(&w1()).expect("known worker").runs.len(), 1 + case.runs);
    }
}

/// Guards against a frozen stand-in that answers, or that loses calls that wait.
#[tokio::test(start_paused = true)]
async fn frozen_calls_wait() {
    let backends = Backends::new([w1()]);
    let faults = backends.faults(&w1()).expect("known worker").clone();
    faults.set(Faults { frozen: true, ..Faults::default() });
    let (worker, request) = (w1(), request(1, ""));
    let mut call = Box::pin(backends.call(&worker, &request, bounds(1)));
    assert!(tokio::time::timeout(Duration::from_secs(60), &mut call).await.is_err());
    faults.set(Faults::default());
    call.await.expect("answered");
}

/// Guards against overlapping attempts and overloaded workers that the record does not show.
#[tokio::test(start_paused = true)]
async fn workers_record_attempts_and_high_water_marks() {
    let workers = Workers::new([w1()]);
    let w = w1();
    let command = |command| workers.command(&w, command);
    command(start(0, 1, 1, JobKind::Batch)).await.expect("started");
    // A second attempt starts while the first runs, and a repeated start command has no effect.
    command(start(0, 2, 1, JobKind::Batch)).await.expect("started");
    command(start(0, 2, 1, JobKind::Batch)).await.expect("started");
    command(start(1, 3, 1, JobKind::Service)).await.expect("started");
    sleep(Duration::from_millis(900)).await;
    let states = |inventory: yuccahoist::placement::Inventory| {
        inventory.tasks.iter().map(|task| task.state).collect::<Vec<_>>()
    };
    let inventory = command(WorkerCommand::Inventory).await.expect("inventory");
    let (succeeded, running) = (WorkerTaskState::Succeeded, WorkerTaskState::Running);
    assert_eq!(states(inventory), [succeeded, succeeded, running]);
    sleep(Duration::from_millis(1_500)).await;
    let record = workers.record_of(&w1()).expect("known worker");
    assert_eq!(record.most, Resources::new(1_500, 192, 3));
    assert_eq!(record.attempts.len(), 3);
    let service = &record.attempts[2];
    assert_eq!(service.state, WorkerTaskState::Lapsed);
    assert_eq!(service.end, Some(service.start + 2_000_000));
}

/// Guards against failed or stopped tasks that are recorded in another state, and tasks that are not forgotten.
#[tokio::test(start_paused = true)]
async fn tasks_fail_and_stop_and_are_forgotten() {
    let workers = Workers::new([w1()]);
    let w = w1();
    let command = |command| workers.command(&w, command);
    workers.faults(&w1()).expect("known worker").set(Faults { fail_all: true, ..Faults::default() });
    let inventory = command(start(0, 1, 1, JobKind::Service)).await.expect("started");
    assert_eq!(inventory.tasks[0].state, WorkerTaskState::Failed);
    workers.faults(&w1()).expect("known worker").set(Faults::default());
    workers.set_behavior(
        "job".parse().expect("valid job id"),
        TaskBehavior { cpu_factor: 4.0, ..TaskBehavior::default() },
    );
    command(start(1, 2, 1, JobKind::Service)).await.expect("started");
    sleep(Duration::from_millis(1_100)).await;
    let inventory = command(WorkerCommand::Inventory).await.expect("inventory");
    assert_eq!(inventory.tasks[1].usage, Some(Resources::new(2_000, 64, 1)));
    let task =
        |index: usize| (inventory.tasks[index].start.task.clone(), inventory.tasks[index].start.attempt);
    let stop = WorkerCommand::Stop { epoch: Epoch(1), tasks: vec![task(1)], checkpoint: false };
    assert_eq!(command(stop).await.expect("stopped").tasks[1].state, WorkerTaskState::Stopped);
    let forget = WorkerCommand::Forget { tasks: vec![task(0), task(1)] };
    assert!(command(forget).await.expect("forgotten").tasks.is_empty());
}

/// Guards against a stand-in that accepts a stale epoch with the fault switch set, or rejects one without it.
#[tokio::test(start_paused = true)]
async fn stale_epochs_are_rejected_only_with_fault_switch() {
    let workers = Workers::new([w1()]);
    let w = w1();
    let command = |command| workers.command(&w, command);
    command(start(0, 1, 9, JobKind::Service)).await.expect("started");
    command(start(1, 2, 8, JobKind::Service)).await.expect("started");
    workers.faults(&w1()).expect("known worker").set(Faults { refuse_older: true, ..Faults::default() });
    assert_matches!(command(start(2, 3, 8, JobKind::Service)).await, Err(CallError::Rejected { .. }));
    assert_eq!(workers.record_of(&w1()).expect("known worker").refused, 1);
}

/// Guards against a host list that shows changes before the lag has passed.
#[tokio::test(start_paused = true)]
async fn host_list_lags() {
    let hosts = Hosts::new(Duration::from_secs(1));
    hosts.set("w1", Some(HostState::Live));
    sleep(Duration::from_millis(1_000)).await;
    hosts.set("w1", Some(HostState::Leaving));
    assert_eq!(hosts.hosts().await.expect("list"), BTreeMap::from([("w1".into(), HostState::Live)]));
    sleep(Duration::from_millis(1_000)).await;
    assert_eq!(hosts.hosts().await.expect("list"), BTreeMap::from([("w1".into(), HostState::Leaving)]));
    hosts.set("w1", None);
    sleep(Duration::from_millis(1_000)).await;
    assert!(hosts.hosts().await.expect("list").is_empty());
}
