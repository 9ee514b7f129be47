//! Table tests of the scheduling decisions: order, packing, leases, worker health, admission, recommendation requests,
//! store timeouts, filler pacing, host lists and the printed names of order errors.

use std::time::Duration;

use yuccahoist::shard::admission::Load;
use yuccahoist::shard::health::Health;
use yuccahoist::shard::host::host_directory::HostDirectory;
use yuccahoist::shard::host::write_timeouts::WriteTimeouts;
use yuccahoist::shard::lease::Lease;
use yuccahoist::shard::message::OrderError;
use yuccahoist::shard::order::{Timeliness, Urgency};
use yuccahoist::shard::pacing::Pace;
use yuccahoist::shard::packing::{FreeCapacity, Goal, place_gang, place_single};
use yuccahoist::shard::request_queue::{
    RecommendationRequest, RequestHost, RequestKind, RequestQueue, RequestRank,
};
use yuccahoist::shard::spec::RecommendationCost;
use yuccahoist::shard::{JobKey, StepKey, WorkerIncarnation};
use yuccahoist::unit::{Resources, Timestamp};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

/// A burst of jobs that can no longer meet their objective must not delay steps that still can.
#[test]
fn late_steps_rank_behind_steps_in_time() {
    struct Case {
        name: &'static str,
        now: u64,
        timeliness: Timeliness,
    }
    let urgency = Urgency {
        arrival: at(1_000),
        objective: ms(1_200),
        critical_path: ms(600),
        work: 7,
        is_urgent: false,
        is_excess: false,
    };
    let cases = [
        Case { name: "just arrived", now: 1_000, timeliness: Timeliness::InTime },
        Case { name: "at the latest start", now: 1_570, timeliness: Timeliness::InTime },
        Case { name: "late", now: 1_571, timeliness: Timeliness::Late },
        Case { name: "at the end of usefulness", now: 4_000, timeliness: Timeliness::Late },
        Case { name: "no longer useful", now: 4_001, timeliness: Timeliness::Overdue },
    ];
    for case in cases {
        assert_eq!(urgency.rank(at(case.now)).timeliness, case.timeliness, "{}", case.name);
    }
    let small = Urgency { work: 3, ..urgency };
    assert!(
        small.rank(at(3_000)) < urgency.rank(at(3_000)),
        "the smaller of two late steps does not go first"
    );
    let sooner = Urgency { arrival: at(900), ..urgency };
    assert!(
        sooner.rank(at(1_000)) < urgency.rank(at(1_000)),
        "the step with the earlier latest start does not go first"
    );
    assert!(
        urgency.rank(at(1_500)) < sooner.rank(at(1_500)),
        "a late step goes before one that can be in time"
    );
}

/// After an outage, late urgent steps waited tens of seconds behind heavy work that had time to spare.
#[test]
fn late_urgent_steps_go_before_work_with_slack() {
    struct Case {
        name: &'static str,
        now: u64,
        first: &'static str,
    }
    let urgent = Urgency {
        arrival: at(1_000),
        objective: ms(1_200),
        critical_path: ms(600),
        work: 20,
        is_urgent: true,
        is_excess: false,
    };
    let heavy = Urgency {
        arrival: at(1_000),
        objective: ms(17_000),
        critical_path: ms(8_000),
        work: 2_000,
        is_urgent: false,
        is_excess: false,
    };
    let cases = [
        Case { name: "in time", now: 1_500, first: "urgent" },
        Case { name: "late and of use", now: 3_900, first: "urgent" },
        Case { name: "of no use", now: 4_100, first: "heavy" },
    ];
    for case in cases {
        let now = at(case.now);
        let first = if urgent.rank(now) < heavy.rank(now) { "urgent" } else { "heavy" };
        assert_eq!(first, case.first, "{}", case.name);
    }
    let fresh = Urgency { arrival: at(3_000), ..urgent };
    assert!(
        fresh.rank(at(3_100)) < urgent.rank(at(3_100)),
        "a late urgent step goes before one that can be in time"
    );
}

fn free_capacity(id: &str, cpu: u64, rack: &str) -> FreeCapacity {
    FreeCapacity {
        incarnation: WorkerIncarnation::new(id, 1),
        free: Resources::new(cpu, 64_000, 0),
        rack: Some(rack.into()),
        max_tasks: u32::MAX,
        is_data_local: true,
        recently_failed: false,
        expected: None,
        slowdown: 0,
    }
}

/// On a nearly full fleet, small tasks must take the tightest fit, or no worker has room left for large gang members.
#[test]
fn small_tasks_take_the_tightest_fit() {
    struct Case {
        name: &'static str,
        capacities: Vec<FreeCapacity>,
        cpu: u64,
        chosen: Option<usize>,
    }
    let recently_failed = FreeCapacity { recently_failed: true, ..free_capacity("c", 1_000, "r") };
    let remote = FreeCapacity { is_data_local: false, ..free_capacity("c", 1_000, "r") };
    let full = FreeCapacity { max_tasks: 0, ..free_capacity("c", 1_000, "r") };
    let cases = [
        Case {
            name: "tightest fit",
            capacities: vec![free_capacity("a", 16_000, "r"), free_capacity("b", 2_000, "r")],
            cpu: 1_000,
            chosen: Some(1),
        },
        Case { name: "no fit", capacities: vec![free_capacity("a", 500, "r")], cpu: 1_000, chosen: None },
        Case {
            name: "recently failed worker last",
            capacities: vec![recently_failed, free_capacity("a", 9_000, "r")],
            cpu: 1_000,
            chosen: Some(1),
        },
        Case {
            name: "near data first",
            capacities: vec![remote, free_capacity("a", 9_000, "r")],
            cpu: 1_000,
            chosen: Some(1),
        },
        Case {
            name: "limit per worker reached",
            capacities: vec![full, free_capacity("a", 9_000, "r")],
            cpu: 1_000,
            chosen: Some(1),
        },
    ];
    for case in cases {
        assert_eq!(
            place_single(Resources::new(case.cpu, 1, 0), Goal::default(), &case.capacities),
            case.chosen,
            "{}",
            case.name
        );
    }
}

#[test]
fn gangs_are_placed_completely_or_not_at_all() {
    struct Case {
        name: &'static str,
        count: u32,
        single_rack: bool,
        chosen: Option<Vec<usize>>,
    }
    let capacities =
        [free_capacity("a", 9_000, "r1"), free_capacity("b", 4_500, "r2"), free_capacity("c", 5_000, "r2")];
    let cases = [
        Case { name: "least waste first", count: 2, single_rack: false, chosen: Some(vec![0, 0]) },
        Case { name: "all workers used", count: 4, single_rack: false, chosen: Some(vec![0, 0, 1, 2]) },
        Case { name: "too wide", count: 5, single_rack: false, chosen: None },
        Case { name: "one rack", count: 2, single_rack: true, chosen: Some(vec![0, 0]) },
        Case {
            name: "two racks if one is too small",
            count: 3,
            single_rack: true,
            chosen: Some(vec![0, 0, 1]),
        },
    ];
    for case in cases {
        let chosen = place_gang(
            Resources::new(4_500, 1, 0),
            case.count,
            case.single_rack,
            Goal::default(),
            &capacities,
        );
        assert_eq!(chosen, case.chosen, "{}", case.name);
    }
}

#[test]
fn lease_expiry_covers_slow_clock() {
    let mut lease = Lease::new(at(9_000));
    assert_eq!(lease.extend(at(0), ms(4_000)), None, "deadline before the worker's clock is known");
    assert_eq!(
        lease.expiry(),
        at(9_250),
        "a previous owner's lease, with a late timer, does not count until the worker has reported"
    );
    lease.observe(at(100), 50_000);
    lease.fence_inherited(at(100), ms(60_000), ms(4_000), ms(10_000));
    assert_eq!(lease.granted_until(), None, "granted before the first extension");
    let inherited = lease.expiry().since(at(100));
    assert!(inherited >= ms(4_081), "{inherited:?} is too short for a predecessor's extension");
    assert_eq!(lease.extend(at(200), ms(4_000)), Some(54_100));
    for expiry in [lease.granted_until(), Some(lease.expiry())] {
        let expiry = expiry.expect("extended before").since(at(100));
        assert!(expiry >= ms(4_183), "{expiry:?} is too short for a clock that is 2 % slow");
    }
    assert_eq!(lease.extend(at(150), ms(1_000)), Some(54_100), "a later extension shortened the lease");
}

/// The inherited lease of a young worker was counted as what its predecessor would have granted.
#[test]
fn inherited_lease_covers_orders_to_an_earlier_incarnation() {
    struct Case {
        name: &'static str,
        /// Time since the start of the worker, milliseconds.
        age: u64,
        /// Bounds of the rest of its lease, milliseconds.
        rest: std::ops::Range<u64>,
    }
    // An order to an earlier incarnation is executed up to 18 s after the start; times of day differ by 10 s at most.
    let cases = [
        Case { name: "just started", age: 0, rest: 10_204..10_500 },
        Case { name: "an order may just have been executed", age: 28_000, rest: 10_204..10_500 },
        Case { name: "the last order was executed 3 s ago", age: 31_000, rest: 7_204..7_500 },
        Case { name: "its lease by such an order has expired", age: 60_000, rest: 4_081..4_500 },
    ];
    for case in cases {
        let mut lease = Lease::new(at(30_000));
        lease.observe(at(1_000), 50_000);
        lease.fence_inherited(at(1_000), ms(case.age), ms(4_000), ms(10_000));
        let rest = lease.expiry().since(at(1_000)).as_millis() as u64;
        assert!(case.rest.contains(&rest), "{}: {rest} ms", case.name);
    }
}

/// A worker that fails every run must be isolated, but a job that fails on every worker must not isolate any.
#[test]
fn isolation_needs_consecutive_failures_of_two_jobs() {
    struct Case {
        name: &'static str,
        ends: Vec<Option<u64>>,
        isolated: bool,
    }
    let cases = [
        Case { name: "one failure", ends: vec![Some(1)], isolated: false },
        Case { name: "one job fails twice", ends: vec![Some(1), Some(1)], isolated: false },
        Case { name: "two jobs fail", ends: vec![Some(1), Some(2)], isolated: true },
        Case { name: "success between", ends: vec![Some(1), None, Some(2)], isolated: false },
    ];
    for case in cases {
        let mut health = Health::default();
        for end in case.ends {
            match end {
                Some(job) => health.failed(at(1_000), JobKey(job)),
                None => health.succeeded(),
            }
        }
        assert_eq!(health.is_isolated(at(1_001)), case.isolated, "{}", case.name);
        assert!(!health.is_isolated(at(20_000)), "{}: isolation does not end", case.name);
    }
}

/// Under overload, jobs that could not complete while their result is useful must be refused; a short burst must be
/// accepted.
#[test]
fn admission_refuses_only_excess_backlog() {
    struct Case {
        name: &'static str,
        backlog_work: u64,
        request_backlog: u64,
        /// Part of the fleet in use, percent.
        used: u64,
        refused: bool,
    }
    let cpu_capacity = 768_000;
    let cases = [
        Case { name: "no backlog", backlog_work: 0, request_backlog: 0, used: 0, refused: false },
        Case {
            name: "burst of ten seconds",
            backlog_work: 10 * cpu_capacity,
            request_backlog: 2_000,
            used: 0,
            refused: false,
        },
        Case {
            name: "overload",
            backlog_work: 100 * cpu_capacity,
            request_backlog: 0,
            used: 90,
            refused: true,
        },
        Case {
            name: "few hosts for requests",
            backlog_work: 0,
            request_backlog: 8_000,
            used: 90,
            refused: true,
        },
        Case { name: "busy fleet", backlog_work: 0, request_backlog: 4_000, used: 50, refused: false },
        Case {
            name: "idle fleet, late calls",
            backlog_work: 0,
            request_backlog: 4_000,
            used: 49,
            refused: true,
        },
    ];
    for case in cases {
        let load = Load {
            backlog_work: case.backlog_work,
            cpu_capacity,
            cpu_used: cpu_capacity * case.used / 100,
            request_backlog: ms(case.request_backlog),
            excess: None,
        };
        assert_eq!(load.retry_delay().is_some(), case.refused, "{}", case.name);
    }
    assert_eq!(
        Load { backlog_work: 5, cpu_capacity: 0, cpu_used: 0, request_backlog: ms(0), excess: None }
            .retry_delay(),
        None,
        "a job is refused while there are no workers"
    );
}

fn recommendation_request(number: u64, cost: u64, latest_start: u64) -> RecommendationRequest {
    let step = StepKey { job: JobKey(number), occurrence: 0, step: 0 };
    let cost = RecommendationCost { base: ms(cost), per_worker: ms(0), validity: ms(2_500) };
    let rank = RequestRank::with_room(RequestKind::First, at(0), at(latest_start));
    RecommendationRequest { step, kind: RequestKind::First, workers: Vec::new(), min_workers: 0, cost, rank }
}

/// Slow recommendation requests of one queue must not occupy all hosts and delay the fast requests of another.
#[test]
fn slow_requests_leave_hosts_for_fast_ones() {
    let mut request_queue = RequestQueue::default();
    for link in 1..=3 {
        request_queue.add_host(RequestHost::Peer(link));
    }
    for number in 0..5 {
        request_queue.enqueue(recommendation_request(number, 700, number));
    }
    let slow: Vec<_> = std::iter::from_fn(|| request_queue.dispatch()).collect();
    assert_eq!(slow.len(), 2, "slow requests do not leave one of three hosts free");
    request_queue.enqueue(recommendation_request(9, 10, 99));
    let (host, number, fast) = request_queue.dispatch().expect("a host is free for fast requests");
    assert_eq!(fast.step.job, JobKey(9));
    assert_eq!(request_queue.complete(host, number + 1), None, "an answer with another number was accepted");
    assert_eq!(request_queue.complete(host, number), Some(fast));
    // A host that became unresponsive kept its request for ever.
    request_queue.remove_host(slow[0].0);
    request_queue.remove_host(slow[1].0);
    let (_, _, retried) = request_queue.dispatch().expect("a host is free for the request of a lost host");
    assert_eq!(retried.step, slow[0].2.step, "the request of a lost host is not retried on another one");
}

/// The timeout must be short for a store that loses one answer in three, and must grow for one that is sixty times as slow.
#[test]
fn timeout_follows_answered_attempts() {
    let mut timeouts = WriteTimeouts::default();
    assert!(timeouts.timeout(0) <= ms(80), "a lost answer delays the retry");
    assert_eq!(
        timeouts.timeout(0),
        timeouts.timeout(1),
        "the timeout grows before two answers in a row are lost, which is common"
    );
    assert!(timeouts.timeout(2) > timeouts.timeout(1));
    assert!(
        timeouts.timeout(9) <= ms(300),
        "callers wait for the timeout of a try that an outage has swallowed"
    );
    for _ in 0..6 {
        timeouts.record_duration(ms(360));
    }
    assert!(timeouts.timeout(0) > ms(720), "requests to a slow store are repeated too early");
    assert!(timeouts.timeout(9) <= ms(1_200));
}

/// Without backoff, a store that closes every connection at once received 500 requests per second.
#[test]
fn immediate_failures_are_retried_with_backoff() {
    struct Case {
        attempts: u32,
        elapsed: u64,
        least: u64,
        most: u64,
    }
    let cases = [
        Case { attempts: 1, elapsed: 1, least: 10, most: 40 },
        Case { attempts: 6, elapsed: 1, least: 150, most: 200 },
        Case { attempts: 20, elapsed: 1, least: 150, most: 200 },
        // An attempt that timed out needs no further delay.
        Case { attempts: 1, elapsed: 80, least: 0, most: 0 },
    ];
    for case in cases {
        let delay = WriteTimeouts::retry_delay(case.attempts, ms(case.elapsed));
        assert!((ms(case.least)..=ms(case.most)).contains(&delay), "attempt {}: {delay:?}", case.attempts);
    }
}

/// The disturbance of serving tasks by fillers changes within seconds, so the pace of the fillers must follow the tail
/// latency.
#[test]
fn filler_pace_follows_tail_latency() {
    struct Case {
        name: &'static str,
        percent: u32,
        since: u64,
        tail: Option<u64>,
        expected: u32,
    }
    let cases = [
        Case { name: "no serving task", percent: 0, since: 0, tail: None, expected: 100 },
        Case { name: "above the target, immediately", percent: 100, since: 10, tail: Some(101), expected: 0 },
        Case { name: "near the target", percent: 100, since: 700, tail: Some(90), expected: 50 },
        Case {
            name: "near the target, recently changed",
            percent: 50,
            since: 100,
            tail: Some(90),
            expected: 50,
        },
        Case { name: "between near and low", percent: 50, since: 700, tail: Some(75), expected: 50 },
        Case { name: "low", percent: 50, since: 700, tail: Some(20), expected: 70 },
        Case { name: "low, recently changed", percent: 50, since: 100, tail: Some(20), expected: 50 },
        Case { name: "capped at full speed", percent: 95, since: 700, tail: Some(20), expected: 100 },
    ];
    for case in cases {
        let now = Timestamp::from_millis(10_000);
        let pace = Pace { percent: case.percent, changed: Timestamp::from_millis(10_000 - case.since) };
        assert_eq!(pace.next_pace(now, case.tail).percent, case.expected, "{}", case.name);
    }
}

/// When hundreds of hosts joined within a second, sending complete host lists to all of them saturated the owner's link.
#[test]
fn host_lists_are_bounded_during_mass_join() {
    let (mut host_directory, mut lists, mut joined) = (HostDirectory::default(), 0, Vec::new());
    for number in 0..300_u64 {
        joined.push(format!("10.1.{}.{}:7720", number / 250, number % 250));
        host_directory.joined();
        lists += 1; // Initial list of the new host.
        if host_directory.due(at(10_000 + number * 5)) {
            lists += joined.len();
        }
    }
    let list = HostDirectory::list("10.0.0.1:7720".into(), joined.iter().cloned());
    let bytes = list.iter().map(String::len).sum::<usize>() * lists;
    assert!(bytes < 1_000_000, "{lists} lists of {} hosts are {bytes} bytes", list.len());
    assert!(list.len() > 40, "the list is too short to survive the loss of many hosts");
    assert!(host_directory.due(at(12_000)), "the last hosts are not announced");
    assert!(!host_directory.due(at(20_000)), "a list is sent without a change");
}

/// Operators' tools match the names of order errors in log lines, so the rename of a variant must not change them.
#[test]
fn order_errors_keep_their_names_in_log_lines() {
    struct Case {
        error: OrderError,
        printed: &'static str,
    }
    let cases = [
        Case { error: OrderError::Silent, printed: "Silent" },
        Case { error: OrderError::OtherIncarnation, printed: "OtherLife" },
        Case { error: OrderError::Fenced, printed: "Fenced" },
        Case { error: OrderError::Old, printed: "Old" },
        Case { error: OrderError::Late, printed: "Late" },
        Case { error: OrderError::Room, printed: "Room" },
        Case { error: OrderError::Ticket, printed: "Ticket" },
        Case { error: OrderError::Unhealthy, printed: "Unhealthy" },
        Case { error: OrderError::Invalid, printed: "Invalid" },
    ];
    for case in cases {
        assert_eq!(format!("{:?}", case.error), case.printed);
    }
}
