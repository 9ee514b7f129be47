//! Stand-in for the platform: the log enforces the sequence of producers, the workers detect each violation of the
//! scheduling invariants, and the proxy applies its faults.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use assert_matches::assert_matches;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use yuccahoist_standins::platform::{
    Appended, Fleet, FleetFaults, HoldOrder, KeyedLog, LogFailure, OrderRefusal, Position, Proxy, ProxyFault,
    StartOrder, Step, StopOrder, Submission, WorkerSpec, WorkspaceCap,
};

const JOB: &str = "00000000000000a1";

fn record(key: &str, value: &str) -> Vec<u8> {
    let mut record = vec![u8::try_from(key.len()).expect("short key")];
    record.extend_from_slice(key.as_bytes());
    record.extend_from_slice(value.as_bytes());
    let length = u32::try_from(record.len()).expect("short record");
    [length.to_be_bytes().to_vec(), record].concat()
}

fn position(epoch: u64, sequence: u64) -> Option<Position> {
    Some(Position { producer: "p".into(), epoch, sequence })
}

/// Guards against an append that is accepted twice, out of sequence or from a fenced producer.
#[test]
fn log_enforces_producer_sequence() {
    struct Case {
        name: &'static str,
        condition: Option<u64>,
        position: Option<Position>,
        expected: Result<Appended, LogFailure>,
    }
    let log = KeyedLog::default();
    let first = Ok(Appended { offset: 0, end: 1 });
    let cases = [
        Case { name: "first", condition: Some(0), position: position(1, 70), expected: first },
        Case { name: "repeated", condition: Some(0), position: position(1, 70), expected: first },
        Case {
            name: "moved",
            condition: Some(0),
            position: None,
            expected: Err(LogFailure::Moved { end: 1 }),
        },
        Case {
            name: "gap",
            condition: None,
            position: position(1, 72),
            expected: Err(LogFailure::Sequence { expected: 71 }),
        },
        Case {
            name: "new epoch at any number",
            condition: Some(1),
            position: position(2, 5),
            expected: Ok(Appended { offset: 1, end: 2 }),
        },
        Case {
            name: "old epoch",
            condition: None,
            position: position(1, 71),
            expected: Err(LogFailure::Fenced),
        },
    ];
    for case in cases {
        let body = record("key", case.name);
        assert_eq!(
            log.append("keyed.t", &body, case.condition, case.position),
            case.expected,
            "{}",
            case.name
        );
    }
    assert_eq!(log.append("keyed.servers", &record("k", "v"), None, None), Err(LogFailure::Forbidden));
    assert_eq!(log.append("keyed.t", b"\0\0\0\x09short", None, None), Err(LogFailure::Invalid));
    let (items, has_more, end) = log.newest("keyed.t", "", 10);
    assert_eq!(
        (items, has_more, end),
        (vec![("key".into(), 1, b"new epoch at any number".to_vec())], false, 2)
    );
    log.append("keyed.t", &record("key", ""), None, None).expect("append of an empty value");
    assert!(log.newest("keyed.t", "", 10).0.is_empty(), "an empty value removes the key");
    log.trim("keyed.t");
    assert_matches!(log.read("keyed.t", 0), (3, 3, None));
}

/// Returns two workers and a submitted job with two steps, the second of which depends on the first.
fn two_worker_fleet(step: Step) -> Fleet {
    let spec = |id: &str, label: &str| WorkerSpec {
        id: id.into(),
        cpu_millis: 4_000,
        memory_mb: 4_000,
        labels: vec![label.into()],
    };
    let mut fleet = Fleet::new(1, 1_000, vec![spec("w-0", "a"), spec("w-1", "b")]);
    let dependent = Step { after: vec![0], ..step.clone() };
    let submission = Submission {
        text: "work".into(),
        steps: vec![step, dependent],
        attempts: 1,
        ..Submission::default()
    };
    fleet.record_submission(JOB, submission);
    for worker in ["w-0", "w-1"] {
        fleet.hold(worker, &hold(0)).expect("lease granted");
    }
    fleet
}

fn step() -> Step {
    Step { task_count: 2, cpu_request: 1_000, mem_mb: 100, estimated_ms: 500, ..Step::default() }
}

fn hold(last_seen: u64) -> HoldOrder {
    HoldOrder { fencing_token: 1, last_seen, deadline_ms: Some(9_000), max_wait_ms: 0 }
}

fn start(step: u32, index: u32, run: u32) -> StartOrder {
    StartOrder {
        task_id: format!("{JOB}.0.{step}.{index}"),
        run_id: run,
        specification: "work".into(),
        deadline_ms: 9_000,
        fencing_token: 1,
        last_checkpoint: String::new(),
        ticket_id: String::new(),
    }
}

/// Guards against a violation that the workers do not report, and one that they report for a valid start.
#[test]
fn workers_detect_each_violation() {
    struct Case {
        name: &'static str,
        step: Step,
        actions: fn(&mut Fleet),
        expected: Option<&'static str>,
    }
    fn send(fleet: &mut Fleet, worker: &str, order: &StartOrder) {
        fleet.start(worker, order, fleet.now()).expect("order accepted");
    }
    fn complete_first_step(fleet: &mut Fleet) {
        send(fleet, "w-0", &start(0, 0, 1));
        send(fleet, "w-0", &start(0, 1, 1));
        fleet.advance(600);
    }
    let cases = [
        Case {
            name: "valid order",
            step: step(),
            actions: |f| {
                complete_first_step(f);
                f.hold("w-0", &hold(2)).expect("ends acknowledged");
                send(f, "w-1", &start(1, 0, 1));
            },
            expected: None,
        },
        Case {
            name: "two runs of a task at once",
            step: step(),
            actions: |f| {
                send(f, "w-0", &start(0, 0, 1));
                send(f, "w-1", &start(0, 0, 2));
            },
            expected: Some("while it runs"),
        },
        Case {
            name: "two runs of a task at once, the first on a worker that has removed its entry",
            step: step(),
            actions: |f| {
                send(f, "w-0", &start(0, 0, 1));
                f.deregister("w-0");
                assert_eq!(f.registry_entry("w-0", ""), None);
                send(f, "w-1", &start(0, 0, 2));
            },
            expected: Some("while it runs"),
        },
        Case {
            name: "two runs of a speculative task at once",
            step: Step { speculative: true, ..step() },
            actions: |f| {
                send(f, "w-0", &start(0, 0, 1));
                send(f, "w-1", &start(0, 0, 2));
            },
            expected: None,
        },
        Case {
            name: "start after an acknowledged end",
            step: step(),
            actions: |f| {
                complete_first_step(f);
                f.hold("w-0", &hold(1)).expect("end acknowledged");
                send(f, "w-1", &start(0, 0, 2));
            },
            expected: Some("after its acknowledged end"),
        },
        Case {
            name: "start between an end and its acknowledgement",
            step: step(),
            actions: |f| {
                complete_first_step(f);
                f.advance(650);
                send(f, "w-1", &start(0, 0, 2));
                f.hold("w-0", &hold(1)).expect("end acknowledged");
            },
            expected: Some("after its acknowledged end"),
        },
        Case {
            name: "end acknowledged after the lease expired",
            step: step(),
            actions: |f| {
                complete_first_step(f);
                f.advance(10_000);
                f.hold("w-1", &HoldOrder { deadline_ms: Some(19_000), ..hold(0) }).expect("lease granted");
                send(f, "w-1", &StartOrder { deadline_ms: 19_000, ..start(0, 0, 2) });
                f.hold("w-0", &hold(1)).expect("acknowledgement accepted after lease expiry");
            },
            expected: None,
        },
        Case {
            name: "start before the preceding step is done",
            step: step(),
            actions: |f| send(f, "w-0", &start(1, 0, 1)),
            expected: Some("before step 0"),
        },
        Case {
            name: "start beyond the capacity",
            step: Step { cpu_request: 3_000, ..step() },
            actions: |f| {
                send(f, "w-0", &start(0, 0, 1));
                send(f, "w-0", &start(0, 1, 1));
            },
            expected: Some("beyond its capacity"),
        },
        Case {
            name: "two tasks of a step on a worker with limit 1",
            step: Step { anti_affinity: 1, ..step() },
            actions: |f| {
                send(f, "w-0", &start(0, 0, 1));
                send(f, "w-0", &start(0, 1, 1));
            },
            expected: Some("beside 1 tasks"),
        },
        Case {
            name: "required label missing",
            step: Step { requirements: "a".into(), ..step() },
            actions: |f| send(f, "w-1", &start(0, 0, 1)),
            expected: Some("without the label"),
        },
        Case {
            name: "different specification",
            step: step(),
            actions: |f| send(f, "w-0", &StartOrder { specification: "other".into(), ..start(0, 0, 1) }),
            expected: Some("with a specification that was not submitted"),
        },
        Case {
            name: "unknown checkpoint",
            step: step(),
            actions: |f| send(f, "w-0", &StartOrder { last_checkpoint: "000001f4".into(), ..start(0, 0, 1) }),
            expected: Some("which none of its runs reported"),
        },
        Case {
            name: "start after a cancel",
            step: step(),
            actions: |f| {
                f.record_cancel(JOB);
                f.advance(3_500);
                send(f, "w-0", &start(0, 0, 1));
            },
            expected: Some("after its job was cancelled"),
        },
        Case {
            name: "start after the last attempt",
            step: step(),
            actions: |f| {
                f.set_faults(FleetFaults { failed_runs: 1.0, ..FleetFaults::default() });
                complete_first_step(f);
                f.hold("w-0", &hold(2)).expect("ends acknowledged");
                send(f, "w-1", &start(0, 0, 2));
            },
            expected: Some("after its last attempt"),
        },
        Case {
            name: "start of a refused job",
            step: step(),
            actions: |f| {
                send(f, "w-0", &start(0, 0, 1));
                f.record_refusal(JOB);
            },
            expected: Some("was refused but has started"),
        },
        Case {
            name: "reported as completed too early",
            step: step(),
            actions: |f| {
                complete_first_step(f);
                f.check_reported_state(JOB, "completed");
            },
            expected: Some("is reported as completed"),
        },
        Case {
            name: "reported as failed without a failure",
            step: step(),
            actions: |f| f.check_reported_state(JOB, "failed"),
            expected: Some("failed with attempts left"),
        },
        Case {
            name: "unknown job",
            step: step(),
            actions: |f| {
                let order = StartOrder { task_id: "00000000000000ff.0.0.0".into(), ..start(0, 0, 1) };
                assert_eq!(f.start("w-0", &order, f.now()), Err(OrderRefusal::Invalid));
            },
            expected: Some("belongs to no submitted job"),
        },
    ];
    for case in cases {
        let mut fleet = two_worker_fleet(case.step);
        (case.actions)(&mut fleet);
        match case.expected {
            None => assert!(fleet.violations().is_empty(), "{}: {:?}", case.name, fleet.violations()),
            Some(text) => {
                let found = fleet.violations().iter().any(|violation| violation.contains(text));
                assert!(found, "{}: {:?}", case.name, fleet.violations());
            }
        }
    }
}

/// Guards against starts beyond the cap of a workspace that are not reported, and against a report of a start that a version
/// which may be in force allows.
#[test]
fn start_beyond_cap_is_not_reported() {
    struct Case {
        name: &'static str,
        step: Step,
        /// Time and cap of each version: CPU in thousandths of a core, memory in MB.
        versions: &'static [(u64, u64, u64)],
        /// Running tasks before the checked start.
        running: u32,
        /// Times at which the order of the checked start arrived and was executed.
        times: (u64, u64),
        is_reported: bool,
    }
    let case = Case {
        name: "overage and one task more",
        step: Step { task_count: 9, estimated_ms: 60_000, ..step() },
        versions: &[(0, 2_000, 0)],
        running: 2,
        times: (200, 200),
        is_reported: false,
    };
    let filler = Step { fill_ratio: true, ..case.step.clone() };
    let gang = Step { gang_scheduled: true, ..case.step.clone() };
    let cases = [
        Case { name: "CPU", running: 3, step: case.step.clone(), is_reported: true, ..case },
        Case { name: "filler", running: 3, step: filler, is_reported: true, ..case },
        Case { name: "gang", running: 3, step: gang, is_reported: true, ..case },
        Case {
            name: "memory",
            versions: &[(0, 0, 150)],
            running: 2,
            step: case.step.clone(),
            is_reported: true,
            ..case
        },
        Case { name: "no limit", versions: &[(0, 0, 0)], running: 6, step: case.step.clone(), ..case },
        Case { name: "no version", versions: &[], running: 6, step: case.step.clone(), ..case },
        Case {
            name: "lowered less than 3 s ago",
            versions: &[(0, 5_000, 0), (100, 2_000, 0)],
            running: 4,
            times: (3_100, 3_100),
            step: case.step.clone(),
            ..case
        },
        Case {
            name: "lowered more than 3 s ago",
            versions: &[(0, 5_000, 0), (100, 2_000, 0)],
            running: 4,
            times: (3_101, 3_101),
            is_reported: true,
            step: case.step.clone(),
        },
        Case {
            name: "order executed late",
            versions: &[(0, 5_000, 0), (100, 2_000, 0)],
            running: 4,
            times: (3_000, 6_000),
            step: case.step.clone(),
            ..case
        },
        Case {
            name: "raised",
            versions: &[(0, 1, 0), (100, 3_000, 0)],
            running: 3,
            step: case.step.clone(),
            ..case
        },
        case,
    ];
    for case in cases {
        let mut fleet = two_worker_fleet(case.step.clone());
        let workspace = Some("blue".to_owned());
        let (text, steps) = ("work".into(), vec![case.step]);
        fleet.record_submission(JOB, Submission { text, steps, attempts: 1, advised: false, workspace });
        for (at, cpu_millis, memory_mb) in case.versions {
            fleet.advance(*at);
            fleet.record_caps(
                [("blue".into(), WorkspaceCap { cpu_millis: *cpu_millis, memory_mb: *memory_mb })].into(),
            );
        }
        for index in 0..=case.running {
            if index == case.running {
                fleet.advance(case.times.1);
            }
            let worker = if index % 2 == 0 { "w-0" } else { "w-1" };
            let received = if index == case.running { case.times.0 } else { 0 };
            fleet.start(worker, &start(0, index, 1), received).expect("order accepted");
        }
        let starts: Vec<&String> =
            fleet.violations().iter().filter(|v| v.contains("beyond the cap")).collect();
        assert_eq!(!starts.is_empty(), case.is_reported, "{}: {starts:?}", case.name);
    }
}

/// Guards against a stand-in that accepts an order which a worker of the platform refuses, or the other way round.
#[test]
fn workers_refuse_stale_orders() {
    struct Case {
        name: &'static str,
        order: StartOrder,
        expected: Result<(), OrderRefusal>,
    }
    let cases = [
        Case { name: "known run", order: start(0, 0, 2), expected: Ok(()) },
        Case { name: "stopped run", order: start(0, 1, 3), expected: Err(OrderRefusal::Old) },
        Case {
            name: "stale fencing token",
            order: StartOrder { fencing_token: 0, ..start(0, 1, 4) },
            expected: Err(OrderRefusal::Fenced),
        },
        Case {
            name: "expired lease",
            order: StartOrder { deadline_ms: 1, ..start(0, 1, 4) },
            expected: Err(OrderRefusal::Late),
        },
    ];
    let mut fleet = two_worker_fleet(step());
    fleet.advance(100);
    fleet.start("w-0", &start(0, 0, 2), fleet.now()).expect("order accepted");
    let stop = StopOrder { task_id: format!("{JOB}.0.0.1"), run_id: 3, fencing_token: 1 };
    fleet.stop("w-0", &stop).expect("order accepted");
    for case in cases {
        assert_eq!(fleet.start("w-0", &case.order, fleet.now()).map(drop), case.expected, "{}", case.name);
    }
}

/// Guards against gang members that end at different times, and an incomplete gang that never ends.
#[test]
fn gangs_end_together() {
    let mut fleet = two_worker_fleet(Step { gang_scheduled: true, ..step() });
    fleet.start("w-0", &start(0, 0, 1), fleet.now()).expect("first member started");
    fleet.advance(400);
    fleet.start("w-1", &start(0, 1, 1), fleet.now()).expect("second member started");
    fleet.advance(700);
    assert!(!fleet.has_end_after("w-0", 0), "the work begins when the last member starts");
    fleet.advance(1_000);
    assert!(fleet.has_end_after("w-0", 0) && fleet.has_end_after("w-1", 0));
    fleet.start("w-0", &start(1, 0, 1), fleet.now()).expect("first member started");
    fleet.advance(4_100);
    let report = fleet.report("w-0").expect("known worker");
    assert_eq!(report.ended_runs.last().map(|end| end.3), Some("alone"));
}

/// Starts a server that sends back each byte, and returns its address.
async fn start_echo_server() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("port bound");
    let address = listener.local_addr().expect("local address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut from, mut to) = stream.split();
                let _ = tokio::io::copy(&mut from, &mut to).await;
            });
        }
    });
    address
}

/// Sends a byte and returns whether it comes back within 200 ms.
async fn is_echoed(stream: &mut TcpStream) -> bool {
    let mut byte = [0];
    if stream.write_all(b"x").await.is_err() {
        return false;
    }
    let read = tokio::time::timeout(Duration::from_millis(200), stream.read_exact(&mut byte)).await;
    matches!(read, Ok(Ok(_)))
}

/// Guards against a fault that the proxy applies to the wrong connections, or that lasts after it is cleared.
#[tokio::test]
async fn proxy_faults_affect_open_and_new_connections() {
    struct Case {
        fault: ProxyFault,
        open_works: bool,
        new_works: bool,
        /// Whether the open connection works after the fault is cleared.
        open_recovers: bool,
    }
    let cases = [
        Case { fault: ProxyFault::None, open_works: true, new_works: true, open_recovers: true },
        Case {
            fault: ProxyFault::Slow(Duration::from_millis(20)),
            open_works: true,
            new_works: true,
            open_recovers: true,
        },
        Case { fault: ProxyFault::Stalled, open_works: false, new_works: false, open_recovers: true },
        Case { fault: ProxyFault::AnswersStalled, open_works: false, new_works: false, open_recovers: true },
        Case { fault: ProxyFault::Reset, open_works: false, new_works: false, open_recovers: false },
        Case {
            fault: ProxyFault::OpenConnectionsStalled,
            open_works: false,
            new_works: true,
            open_recovers: false,
        },
    ];
    for case in cases {
        let proxy = Proxy::bind((Ipv4Addr::LOCALHOST, 0).into(), start_echo_server().await)
            .await
            .expect("port bound");
        let mut open = TcpStream::connect(proxy.address()).await.expect("connected");
        assert!(is_echoed(&mut open).await, "{:?}: before the fault", case.fault);
        proxy.set(case.fault);
        tokio::time::sleep(Duration::from_millis(20)).await;
        assert_eq!(is_echoed(&mut open).await, case.open_works, "{:?}: open connection", case.fault);
        let mut new = TcpStream::connect(proxy.address()).await.expect("connected");
        assert_eq!(is_echoed(&mut new).await, case.new_works, "{:?}: new connection", case.fault);
        proxy.set(ProxyFault::None);
        tokio::time::sleep(Duration::from_millis(20)).await;
        assert_eq!(is_echoed(&mut open).await, case.open_recovers, "{:?}: after the fault", case.fault);
    }
}
