//! Stand-in of the platform: its log keeps the order of producers, and its workers notice each broken promise.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use assert_matches::assert_matches;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use yuccahoist_standins::platform::{
    Appended, Fleet, FleetFaults, Hold, KeyedLog, LogFailure, Position, Proxy, Refused, Start, Step, Stop,
    Submission, Traffic, WorkerShape,
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

#[test]
fn the_log_keeps_the_order_of_producers() {
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
    let (items, more, end) = log.newest("keyed.t", "", 10);
    assert_eq!((items, more, end), (vec![("key".into(), 1, b"new epoch at any number".to_vec())], false, 2));
    log.append("keyed.t", &record("key", ""), None, None).expect("a record without a value");
    assert!(log.newest("keyed.t", "", 10).0.is_empty(), "a key without a value is dropped");
    log.trim("keyed.t");
    assert_matches!(log.read("keyed.t", 0), (3, 3, None));
}

/// Two workers, and a job of two steps of which the second comes after the first.
fn fleet(step: Step) -> Fleet {
    let shape = |id: &str, label: &str| WorkerShape {
        id: id.into(),
        cpu: 4_000,
        memory: 4_000,
        labels: vec![label.into()],
    };
    let mut fleet = Fleet::new(1, 1_000, vec![shape("w-0", "a"), shape("w-1", "b")]);
    let second = Step { after: vec![0], ..step.clone() };
    let submission =
        Submission { text: "work".into(), steps: vec![step, second], attempts: 1, advised: false };
    fleet.submitted(JOB, submission);
    for worker in ["w-0", "w-1"] {
        fleet.hold(worker, &hold(0)).expect("the lease begins");
    }
    fleet
}

fn step() -> Step {
    Step { task_count: 2, cpu_request: 1_000, mem_mb: 100, estimated_ms: 500, ..Step::default() }
}

fn hold(last: u64) -> Hold {
    Hold { fencing_token: 1, last_seen: last, deadline_ms: Some(9_000), max_wait_ms: 0 }
}

fn start(step: u32, index: u32, run: u32) -> Start {
    Start {
        task_id: format!("{JOB}.0.{step}.{index}"),
        run_id: run,
        specification: "work".into(),
        deadline_ms: 9_000,
        fencing_token: 1,
        last_checkpoint: String::new(),
        ticket_id: String::new(),
    }
}

#[test]
fn workers_notice_each_broken_promise() {
    struct Case {
        name: &'static str,
        step: Step,
        play: fn(&mut Fleet),
        expected: Option<&'static str>,
    }
    fn go(fleet: &mut Fleet, worker: &str, order: &Start) {
        fleet.start(worker, order).expect("the worker takes the order");
    }
    fn finish(fleet: &mut Fleet) {
        go(fleet, "w-0", &start(0, 0, 1));
        go(fleet, "w-0", &start(0, 1, 1));
        fleet.advance(600);
    }
    let cases = [
        Case {
            name: "in order",
            step: step(),
            play: |f| {
                finish(f);
                f.hold("w-0", &hold(2)).expect("ends are confirmed");
                go(f, "w-1", &start(1, 0, 1));
            },
            expected: None,
        },
        Case {
            name: "twice at a time",
            step: step(),
            play: |f| {
                go(f, "w-0", &start(0, 0, 1));
                go(f, "w-1", &start(0, 0, 2));
            },
            expected: Some("while it runs"),
        },
        Case {
            name: "copies",
            step: Step { speculative: true, ..step() },
            play: |f| {
                go(f, "w-0", &start(0, 0, 1));
                go(f, "w-1", &start(0, 0, 2));
            },
            expected: None,
        },
        Case {
            name: "after a confirmed end",
            step: step(),
            play: |f| {
                finish(f);
                f.hold("w-0", &hold(1)).expect("the end is confirmed");
                go(f, "w-1", &start(0, 0, 2));
            },
            expected: Some("after its confirmed end"),
        },
        Case {
            name: "before the confirmation of an end",
            step: step(),
            play: |f| {
                finish(f);
                f.advance(650);
                go(f, "w-1", &start(0, 0, 2));
                f.hold("w-0", &hold(1)).expect("the end is confirmed");
            },
            expected: Some("after its confirmed end"),
        },
        Case {
            name: "end that was lost with the lease",
            step: step(),
            play: |f| {
                finish(f);
                f.advance(10_000);
                f.hold("w-1", &Hold { deadline_ms: Some(19_000), ..hold(0) }).expect("a new lease");
                go(f, "w-1", &Start { deadline_ms: 19_000, ..start(0, 0, 2) });
                f.hold("w-0", &hold(1)).expect("too late");
            },
            expected: None,
        },
        Case {
            name: "before an earlier step",
            step: step(),
            play: |f| go(f, "w-0", &start(1, 0, 1)),
            expected: Some("before step 0"),
        },
        Case {
            name: "beyond the room",
            step: Step { cpu_request: 3_000, ..step() },
            play: |f| {
                go(f, "w-0", &start(0, 0, 1));
                go(f, "w-0", &start(0, 1, 1));
            },
            expected: Some("no room"),
        },
        Case {
            name: "beside another",
            step: Step { anti_affinity: 1, ..step() },
            play: |f| {
                go(f, "w-0", &start(0, 0, 1));
                go(f, "w-0", &start(0, 1, 1));
            },
            expected: Some("beside 1"),
        },
        Case {
            name: "label",
            step: Step { requirements: "a".into(), ..step() },
            play: |f| go(f, "w-1", &start(0, 0, 1)),
            expected: Some("without the label"),
        },
        Case {
            name: "other text",
            step: step(),
            play: |f| go(f, "w-0", &Start { specification: "other".into(), ..start(0, 0, 1) }),
            expected: Some("with another text"),
        },
        Case {
            name: "foreign progress",
            step: step(),
            play: |f| go(f, "w-0", &Start { last_checkpoint: "000001f4".into(), ..start(0, 0, 1) }),
            expected: Some("foreign progress"),
        },
        Case {
            name: "after the cancel",
            step: step(),
            play: |f| {
                f.cancelled(JOB);
                f.advance(3_500);
                go(f, "w-0", &start(0, 0, 1));
            },
            expected: Some("after its job was cancelled"),
        },
        Case {
            name: "after the last attempt",
            step: step(),
            play: |f| {
                f.set_faults(FleetFaults { late: 0.0, failing: 1.0 });
                finish(f);
                f.hold("w-0", &hold(2)).expect("ends are confirmed");
                go(f, "w-1", &start(0, 0, 2));
            },
            expected: Some("after its last attempt"),
        },
        Case {
            name: "after a refusal",
            step: step(),
            play: |f| {
                go(f, "w-0", &start(0, 0, 1));
                f.refused(JOB);
            },
            expected: Some("was refused and has started"),
        },
        Case {
            name: "shown too early",
            step: step(),
            play: |f| {
                finish(f);
                f.shown(JOB, "completed");
            },
            expected: Some("shown as completed"),
        },
        Case {
            name: "shown without cause",
            step: step(),
            play: |f| f.shown(JOB, "failed"),
            expected: Some("without cause"),
        },
        Case {
            name: "unknown job",
            step: step(),
            play: |f| {
                let order = Start { task_id: "00000000000000ff.0.0.0".into(), ..start(0, 0, 1) };
                assert_eq!(f.start("w-0", &order), Err(Refused::Invalid));
            },
            expected: Some("nobody submitted"),
        },
    ];
    for case in cases {
        let mut fleet = fleet(case.step);
        (case.play)(&mut fleet);
        match case.expected {
            None => assert!(fleet.broken().is_empty(), "{}: {:?}", case.name, fleet.broken()),
            Some(text) => {
                let found = fleet.broken().iter().any(|broken| broken.contains(text));
                assert!(found, "{}: {:?}", case.name, fleet.broken());
            }
        }
    }
}

#[test]
fn workers_refuse_what_the_platform_refuses() {
    struct Case {
        name: &'static str,
        order: Start,
        expected: Result<(), Refused>,
    }
    let cases = [
        Case { name: "known run", order: start(0, 0, 2), expected: Ok(()) },
        Case { name: "stopped run", order: start(0, 1, 3), expected: Err(Refused::Old) },
        Case {
            name: "old token",
            order: Start { fencing_token: 0, ..start(0, 1, 4) },
            expected: Err(Refused::Fence),
        },
        Case {
            name: "expired",
            order: Start { deadline_ms: 1, ..start(0, 1, 4) },
            expected: Err(Refused::Late),
        },
    ];
    let mut fleet = fleet(step());
    fleet.advance(100);
    fleet.start("w-0", &start(0, 0, 2)).expect("the worker takes the order");
    let stop = Stop { task_id: format!("{JOB}.0.0.1"), run_id: 3, fencing_token: 1 };
    fleet.stop("w-0", &stop).expect("the worker takes the order");
    for case in cases {
        assert_eq!(fleet.start("w-0", &case.order).map(drop), case.expected, "{}", case.name);
    }
}

#[test]
fn gangs_end_together() {
    let mut fleet = fleet(Step { gang_scheduled: true, ..step() });
    fleet.start("w-0", &start(0, 0, 1)).expect("first member");
    fleet.advance(400);
    fleet.start("w-1", &start(0, 1, 1)).expect("second member");
    fleet.advance(700);
    assert!(!fleet.has_news("w-0", 0), "the work begins with the last member");
    fleet.advance(1_000);
    assert!(fleet.has_news("w-0", 0) && fleet.has_news("w-1", 0));
    fleet.start("w-0", &start(1, 0, 1)).expect("first member");
    fleet.advance(4_100);
    let report = fleet.report("w-0").expect("the worker runs");
    assert_eq!(report.ended_runs.last().map(|end| end.3), Some("alone"));
}

/// Server that sends back what it reads.
async fn echo() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("listens");
    let address = listener.local_addr().expect("has an address");
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

async fn answered(stream: &mut TcpStream) -> bool {
    let mut byte = [0];
    if stream.write_all(b"x").await.is_err() {
        return false;
    }
    let read = tokio::time::timeout(Duration::from_millis(200), stream.read_exact(&mut byte)).await;
    matches!(read, Ok(Ok(_)))
}

#[tokio::test]
async fn the_proxy_disturbs_open_and_new_connections() {
    struct Case {
        traffic: Traffic,
        open: bool,
        new: bool,
        /// Whether the open connection works once the traffic is open again.
        later: bool,
    }
    let cases = [
        Case { traffic: Traffic::Open, open: true, new: true, later: true },
        Case { traffic: Traffic::Slow(Duration::from_millis(20)), open: true, new: true, later: true },
        Case { traffic: Traffic::Silent, open: false, new: false, later: true },
        Case { traffic: Traffic::OneWay, open: false, new: false, later: true },
        Case { traffic: Traffic::Reset, open: false, new: false, later: false },
        Case { traffic: Traffic::Forgotten, open: false, new: true, later: false },
    ];
    for case in cases {
        let proxy = Proxy::bind((Ipv4Addr::LOCALHOST, 0).into(), echo().await).await.expect("listens");
        let mut open = TcpStream::connect(proxy.address()).await.expect("connects");
        assert!(answered(&mut open).await, "{:?}: before", case.traffic);
        proxy.set(case.traffic);
        tokio::time::sleep(Duration::from_millis(20)).await;
        assert_eq!(answered(&mut open).await, case.open, "{:?}: open connection", case.traffic);
        let mut new = TcpStream::connect(proxy.address()).await.expect("connects");
        assert_eq!(answered(&mut new).await, case.new, "{:?}: new connection", case.traffic);
        proxy.set(Traffic::Open);
        tokio::time::sleep(Duration::from_millis(20)).await;
        assert_eq!(answered(&mut open).await, case.later, "{:?}: afterwards", case.traffic);
    }
}
