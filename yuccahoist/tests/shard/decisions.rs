//! Tables of cases for the decisions: order, packing, leases, health, admission, recommendations, patience.

use std::time::Duration;

use yuccahoist::shard::admission::Load;
use yuccahoist::shard::desk::{Ask, Desk, Lane};
use yuccahoist::shard::health::Health;
use yuccahoist::shard::host::patience::Patience;
use yuccahoist::shard::host::roster::Roster;
use yuccahoist::shard::lease::Lease;
use yuccahoist::shard::order::{Band, Urgency};
use yuccahoist::shard::pacing::Pace;
use yuccahoist::shard::packing::{Room, gang, single};
use yuccahoist::shard::{JobKey, Life, StepKey};
use yuccahoist::unit::{Resources, Timestamp};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

/// Load: a burst of one kind of job while others are in time.
#[test]
fn order_follows_prospects() {
    struct Case {
        name: &'static str,
        now: u64,
        band: Band,
    }
    let urgency = Urgency { arrival: at(1_000), objective: ms(1_200), chain: ms(600), work: 7 };
    let cases = [
        Case { name: "fresh", now: 1_000, band: Band::InTime },
        Case { name: "just in time", now: 1_570, band: Band::InTime },
        Case { name: "late", now: 1_571, band: Band::Late },
        Case { name: "still of use", now: 4_000, band: Band::Late },
        Case { name: "of no use", now: 4_001, band: Band::Overdue },
    ];
    for case in cases {
        assert_eq!(urgency.rank(at(case.now)).band, case.band, "{}", case.name);
    }
    let small = Urgency { work: 3, ..urgency };
    assert!(small.rank(at(3_000)) < urgency.rank(at(3_000)), "the smaller of two late steps goes first");
    let sooner = Urgency { arrival: at(900), ..urgency };
    assert!(sooner.rank(at(1_000)) < urgency.rank(at(1_000)), "the earlier latest start goes first");
    assert!(
        urgency.rank(at(1_500)) < sooner.rank(at(1_500)),
        "a late step does not delay one that can be in time"
    );
}

fn room(id: &str, cpu: u64, rack: &str) -> Room {
    Room {
        life: Life::new(id, 1),
        free: Resources::new(cpu, 64_000, 0),
        rack: Some(rack.into()),
        most: u32::MAX,
        near: true,
        doubtful: false,
    }
}

/// Load: small tasks beside gangs on a nearly full fleet.
#[test]
fn packing_keeps_large_rooms_whole() {
    struct Case {
        name: &'static str,
        rooms: Vec<Room>,
        need: u64,
        chosen: Option<usize>,
    }
    let doubtful = Room { doubtful: true, ..room("c", 1_000, "r") };
    let far = Room { near: false, ..room("c", 1_000, "r") };
    let full = Room { most: 0, ..room("c", 1_000, "r") };
    let cases = [
        Case {
            name: "tightest",
            rooms: vec![room("a", 16_000, "r"), room("b", 2_000, "r")],
            need: 1_000,
            chosen: Some(1),
        },
        Case { name: "none", rooms: vec![room("a", 500, "r")], need: 1_000, chosen: None },
        Case {
            name: "doubtful last",
            rooms: vec![doubtful, room("a", 9_000, "r")],
            need: 1_000,
            chosen: Some(1),
        },
        Case { name: "near first", rooms: vec![far, room("a", 9_000, "r")], need: 1_000, chosen: Some(1) },
        Case {
            name: "spread used up",
            rooms: vec![full, room("a", 9_000, "r")],
            need: 1_000,
            chosen: Some(1),
        },
    ];
    for case in cases {
        assert_eq!(single(Resources::new(case.need, 1, 0), &case.rooms), case.chosen, "{}", case.name);
    }
}

#[test]
fn gangs_are_placed_whole_or_not_at_all() {
    struct Case {
        name: &'static str,
        count: u32,
        one_rack: bool,
        chosen: Option<Vec<usize>>,
    }
    let rooms = [room("a", 9_000, "r1"), room("b", 4_500, "r2"), room("c", 5_000, "r2")];
    let cases = [
        Case { name: "least waste first", count: 2, one_rack: false, chosen: Some(vec![0, 0]) },
        Case { name: "all", count: 4, one_rack: false, chosen: Some(vec![0, 0, 1, 2]) },
        Case { name: "too wide", count: 5, one_rack: false, chosen: None },
        Case { name: "one rack", count: 2, one_rack: true, chosen: Some(vec![0, 0]) },
        Case { name: "rather two racks than none", count: 3, one_rack: true, chosen: Some(vec![0, 0, 1]) },
    ];
    for case in cases {
        let chosen = gang(Resources::new(4_500, 1, 0), case.count, case.one_rack, &rooms);
        assert_eq!(chosen, case.chosen, "{}", case.name);
    }
}

#[test]
fn lease_expiry_covers_a_slow_clock() {
    let mut lease = Lease::new(at(9_000));
    assert_eq!(lease.extend(at(0), ms(4_000)), None, "no deadline before the worker's clock is known");
    assert_eq!(lease.expiry(), at(9_000), "a previous owner's lease counts until the worker is heard");
    lease.observe(at(100), 50_000);
    lease.confirm();
    assert_eq!(lease.extend(at(200), ms(4_000)), Some(54_100));
    let expiry = lease.expiry().since(at(100));
    assert!(expiry >= ms(4_183), "{expiry:?} is too short for a clock that is 2 % slow");
    assert_eq!(lease.extend(at(150), ms(1_000)), Some(54_100), "a deadline never moves back");
}

/// Load: workers that fail all that they start, among jobs that fail anywhere.
#[test]
fn health_needs_two_jobs_in_a_row() {
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
        assert_eq!(health.isolated(at(1_001)), case.isolated, "{}", case.name);
        assert!(!health.isolated(at(20_000)), "{}: isolation ends", case.name);
    }
}

/// Load: a flood far beyond the fleet.
#[test]
fn admission_refuses_what_can_not_be_of_use() {
    struct Case {
        name: &'static str,
        waiting: u64,
        advice: u64,
        refused: bool,
    }
    let cores = 768_000;
    let cases = [
        Case { name: "calm", waiting: 0, advice: 0, refused: false },
        Case { name: "burst of ten seconds", waiting: 10 * cores, advice: 2_000, refused: false },
        Case { name: "flood", waiting: 100 * cores, advice: 0, refused: true },
        Case { name: "few hosts left", waiting: 0, advice: 8_000, refused: true },
    ];
    for case in cases {
        let load = Load { waiting: case.waiting, cores, advice: ms(case.advice) };
        assert_eq!(load.refuse().is_some(), case.refused, "{}", case.name);
    }
    assert_eq!(
        Load { waiting: 5, cores: 0, advice: ms(0) }.refuse(),
        None,
        "without workers a job waits for some"
    );
}

fn ask(number: u64, cost: u64, latest: u64) -> Ask {
    let step = StepKey { job: JobKey(number), occurrence: 0, step: 0 };
    Ask { step, workers: Vec::new(), cost: ms(cost), latest: at(latest) }
}

/// Load: slow recommendations of one queue beside quick ones of another.
#[test]
fn desk_keeps_hosts_for_quick_calls() {
    let mut desk = Desk::default();
    for link in 1..=3 {
        desk.open(Lane::Link(link));
    }
    for number in 0..5 {
        desk.add(ask(number, 700, number));
    }
    let slow: Vec<_> = std::iter::from_fn(|| desk.take()).collect();
    assert_eq!(slow.len(), 2, "one of three hosts is left to quick calls");
    desk.add(ask(9, 10, 99));
    let (lane, number, quick) = desk.take().expect("a host is free");
    assert_eq!(quick.step.job, JobKey(9));
    assert_eq!(desk.finish(lane, number + 1), None, "an answer to another question is left out");
    assert_eq!(desk.finish(lane, number), Some(quick));
    // Regression: a host that went silent kept its call for ever.
    desk.close(slow[0].0);
    desk.close(slow[1].0);
    let (_, _, again) = desk.take().expect("a host is free");
    assert_eq!(again.step, slow[0].2.step, "the call of a lost host is made by another one");
}

/// Load: a store that loses one answer in three, and one that is sixty times as slow.
#[test]
fn patience_follows_answered_tries() {
    let mut patience = Patience::default();
    assert!(patience.limit(0) <= ms(80), "a lost answer is repeated soon");
    assert_eq!(patience.limit(0), patience.limit(1), "two lost answers in a row are usual");
    assert!(patience.limit(2) > patience.limit(1));
    for _ in 0..6 {
        patience.took(ms(360));
    }
    assert!(patience.limit(0) > ms(720), "a slow store is not asked again and again");
    assert!(patience.limit(9) <= ms(1_200));
}

/// Load: a store that breaks each connection at once was asked 500 times a second.
#[test]
fn a_store_that_fails_at_once_is_left_alone() {
    struct Case {
        tries: u32,
        elapsed: u64,
        least: u64,
        most: u64,
    }
    let cases = [
        Case { tries: 1, elapsed: 1, least: 10, most: 40 },
        Case { tries: 6, elapsed: 1, least: 300, most: 400 },
        Case { tries: 20, elapsed: 1, least: 300, most: 400 },
        // A try that used its time limit was pause enough.
        Case { tries: 1, elapsed: 80, least: 0, most: 0 },
    ];
    for case in cases {
        let pause = Patience::pause(case.tries, ms(case.elapsed));
        assert!((ms(case.least)..=ms(case.most)).contains(&pause), "try {}: {pause:?}", case.tries);
    }
}

/// Load: fillers whose disturbance changes within seconds.
#[test]
fn fillers_follow_the_tail_beside_them() {
    struct Case {
        name: &'static str,
        share: u32,
        since: u64,
        tail: Option<u64>,
        expected: u32,
    }
    let cases = [
        Case { name: "nobody serves", share: 0, since: 0, tail: None, expected: 100 },
        Case { name: "over the target, at once", share: 100, since: 10, tail: Some(101), expected: 0 },
        Case { name: "near the target", share: 100, since: 700, tail: Some(90), expected: 50 },
        Case { name: "near, not settled", share: 50, since: 100, tail: Some(90), expected: 50 },
        Case { name: "between", share: 50, since: 700, tail: Some(75), expected: 50 },
        Case { name: "calm", share: 50, since: 700, tail: Some(20), expected: 70 },
        Case { name: "calm, not settled", share: 50, since: 100, tail: Some(20), expected: 50 },
        Case { name: "at most full speed", share: 95, since: 700, tail: Some(20), expected: 100 },
    ];
    for case in cases {
        let now = Timestamp::from_millis(10_000);
        let pace = Pace { share: case.share, changed: Timestamp::from_millis(10_000 - case.since) };
        assert_eq!(pace.after(now, case.tail).share, case.expected, "{}", case.name);
    }
}

/// Load: hundreds of hosts that join within a second; lists of all to all filled the owner's link.
#[test]
fn hosts_are_told_of_others_in_bounds() {
    let (mut roster, mut lists, mut joined) = (Roster::default(), 0, Vec::new());
    for number in 0..300_u64 {
        joined.push(format!("10.1.{}.{}:7720", number / 250, number % 250));
        roster.joined();
        lists += 1; // The one to the host itself.
        if roster.due(at(10_000 + number * 5)) {
            lists += joined.len();
        }
    }
    let list = Roster::list("10.0.0.1:7720".into(), joined.iter().cloned());
    let bytes = list.iter().map(String::len).sum::<usize>() * lists;
    assert!(bytes < 1_000_000, "{lists} lists of {} hosts are {bytes} bytes", list.len());
    assert!(list.len() > 40, "enough are left when many are lost");
    assert!(roster.due(at(12_000)), "all learn of the last ones");
    assert!(!roster.due(at(20_000)), "without a change there is nothing to tell");
}
