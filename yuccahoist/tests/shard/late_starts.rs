//! Start orders without an answer that a later incarnation of their worker carries out. The cluster fails a test in which two
//! runs of a task overlap.

use std::time::Duration;

use yuccahoist::shard::JobKey;
use yuccahoist::shard::record::JobState;
use yuccahoist::shard::spec::JobSpec;
use yuccahoist::unit::Resources;

use super::cluster::{CallFault, CallKind, SimulatedCluster, WORKER_CAPACITY, spec};
use super::schedules::play_all;

/// Duration of the tasks, milliseconds; longer than an order can be late.
const TASK_MS: u64 = 20_000;
/// Time after which all tasks of a test are done, milliseconds.
const SETTLE_MS: u64 = 60_000;
/// Capacity without room for a task.
const TOO_SMALL: Resources = Resources::new(1_000, 1_000, 0);

/// How the owner changes.
#[derive(Debug, Clone, Copy)]
enum OwnerChange {
    /// The owner is killed, and its write in flight is lost.
    Killed,
    /// The owner writes what it has to before the next one takes over.
    Stopped,
    /// The owner computes nothing for this time, milliseconds, before the next one takes over.
    Frozen(u64),
}

impl OwnerChange {
    fn apply(self, cluster: &mut SimulatedCluster) {
        match self {
            Self::Killed => cluster.take_over(false),
            Self::Stopped => cluster.take_over(true),
            Self::Frozen(millis) => {
                cluster.freeze_owner(millis);
                cluster.advance(millis);
                cluster.take_over(false);
            }
        }
    }
}

/// Shape of the job whose start order is late.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Shape {
    Single,
    Several,
    Lasting,
    Gang,
}

impl Shape {
    fn job(self) -> JobSpec {
        let mut job = spec(if self == Self::Several { 3 } else { 1 }, TASK_MS);
        if self == Self::Gang {
            job = spec(2, TASK_MS);
        }
        job.steps[0].long_running = self == Self::Lasting;
        job.steps[0].gang = self == Self::Gang;
        job
    }
}

/// Schedule of a start order that comes late; times are in milliseconds from the order.
#[derive(Debug, Clone, Copy)]
struct Schedule {
    /// When the order is carried out.
    late: u64,
    /// Time for which the worker is down each time.
    down: u64,
    /// Time from the last restart to the late order.
    up: u64,
    /// Changes of owner.
    changes: &'static [(u64, OwnerChange)],
    /// Number of times that the worker restarts.
    restarts: u64,
    shape: Shape,
}

const BASE: Schedule = Schedule {
    late: 5_000,
    down: 3_000,
    up: 100,
    changes: &[(400, OwnerChange::Killed)],
    restarts: 1,
    shape: Shape::Single,
};

/// Time between the restarts of a worker, milliseconds; the owner reaches it in between.
const RESTART_GAP_MS: u64 = 800;
/// Longest time from the start of a worker to its registry entry, milliseconds.
const MAX_ENTRY_DELAY_MS: u64 = 2_000;

/// Returns a cluster in which the start orders of job 1 to worker 0 come late, and in which worker 1 is the better choice
/// from then on.
fn late_start(late: u64, job: JobSpec) -> SimulatedCluster {
    ordered(job, Some(CallFault::ExecutedAfter(late)))
}

/// The same with start orders that meet `fault`, or none.
fn ordered(job: JobSpec, fault: Option<CallFault>) -> SimulatedCluster {
    let mut cluster = SimulatedCluster::new(1, 2);
    cluster.advance(100);
    cluster.resize_worker(1, TOO_SMALL);
    cluster.advance(200);
    let tasks = job.steps[0].tasks;
    // The worker with the least room that is left is preferred.
    let capacity = Resources::new(4_000 * u64::from(tasks) + 1_000, 8_000 * u64::from(tasks) + 1_000, 0);
    for fault in (0..tasks).filter_map(|_| fault) {
        cluster.fault_next_call(0, CallKind::Start, fault);
    }
    cluster.submit(1, job);
    assert_eq!(cluster.advance_until_ordered(1), 0);
    cluster.resize_worker(1, capacity);
    cluster
}

fn play(schedule: Schedule) {
    let Schedule { late, down, up, changes, restarts, shape } = schedule;
    let mut cluster = late_start(late, shape.job());
    let begin = cluster.now;
    let cycle = down + RESTART_GAP_MS;
    let first_crash = late - up - down - (restarts - 1) * cycle;
    let mut events: Vec<(u64, Option<OwnerChange>)> =
        changes.iter().map(|(at, change)| (*at, Some(*change))).collect();
    events.extend((0..restarts).map(|number| (first_crash + number * cycle, None)));
    events.sort_by_key(|(at, _)| *at);
    for (at, change) in events {
        let elapsed = u64::try_from(cluster.now.since(begin).as_millis()).expect("short test");
        cluster.advance(at.saturating_sub(elapsed));
        match change {
            Some(change) => change.apply(&mut cluster),
            None => {
                // The first entry of an incarnation comes some time after its start.
                cluster.max_registry_delay = MAX_ENTRY_DELAY_MS;
                cluster.crash_worker(0, down);
            }
        }
    }
    cluster.advance(SETTLE_MS);
    let expected = if shape == Shape::Lasting { JobState::Running } else { JobState::Completed };
    assert_eq!(cluster.query_state(1), Some(expected), "state of the job");
    cluster.check_settled();
}

/// A start order of a killed owner was carried out late by a worker that had started again, while its task ran elsewhere.
#[test]
fn start_of_a_previous_owner_that_a_restarted_worker_carries_out_is_not_doubled() {
    use OwnerChange::{Frozen, Killed, Stopped};
    const TWO: &[(u64, OwnerChange)] = &[(400, Killed), (1_900, Killed)];
    let lates = [3_800, 5_000, 8_000, 9_000, 11_000, 11_900];
    let downs = [600, 3_000, 4_500];
    let mut schedules = Vec::new();
    for shape in [Shape::Single, Shape::Several, Shape::Lasting, Shape::Gang] {
        let base = Schedule { shape, ..BASE };
        schedules.extend(lates.map(|late| Schedule { late, ..base }));
        schedules.extend(downs.map(|down| Schedule { down, late: 6_000, ..base }));
        schedules.extend([5, 300, 600].map(|up| Schedule { up, ..base }));
        let changes: [&'static [(u64, OwnerChange)]; 9] = [
            &[(400, Stopped)],
            &[(400, Frozen(500))],
            &[(20, Killed)],
            &[(900, Killed)],
            TWO,
            &[(400, Killed), (2_400, Stopped)],
            &[(400, Killed), (4_400, Killed)],
            &[(400, Killed), (1_900, Frozen(500)), (3_400, Killed)],
            &[(400, Killed), (3_000, Killed), (6_000, Killed)],
        ];
        schedules.extend(changes.map(|changes| Schedule { changes, late: 8_000, ..base }));
        schedules.extend([2, 3].map(|restarts| Schedule { restarts, down: 600, late: 8_000, ..base }));
        schedules.push(Schedule { restarts: 2, down: 600, late: 8_000, changes: TWO, ..base });
    }
    play_all(schedules, play);
}

/// Time for which no task of a job may be idle while there is room; defined by the platform, milliseconds.
const MAX_IDLE_MS: u64 = 3_000;
/// Time by which an order can be executed late, milliseconds.
const MAX_ORDER_DELAY_MS: u64 = 12_000;

/// Guards against tasks that wait for an order without an answer after each change of owner.
#[test]
fn start_that_a_previous_owner_left_unanswered_is_repeated_on_its_worker() {
    use OwnerChange::{Frozen, Killed, Stopped};
    let shapes = [Shape::Single, Shape::Several, Shape::Lasting, Shape::Gang];
    let cases = shapes.into_iter().flat_map(|shape| {
        let changes = [(20, Killed), (300, Killed), (300, Stopped), (900, Killed), (300, Frozen(500))];
        changes.into_iter().flat_map(move |change| [4_000, 11_000].map(|late| (shape, change, late)))
    });
    play_all(cases, |(shape, (at, change), late)| {
        let mut cluster = late_start(late, shape.job());
        let tasks = shape.job().steps[0].tasks;
        cluster.advance(at);
        change.apply(&mut cluster);
        cluster.advance(MAX_IDLE_MS);
        assert_eq!(cluster.running_on(0), tasks, "tasks at work on the worker of the order");
        cluster.advance(SETTLE_MS);
        assert_eq!(cluster.starts[&JobKey(1)], tasks, "starts");
        cluster.check_settled();
    });
}

/// An order that could not be repeated counted as never sent.
#[test]
fn order_that_can_not_be_repeated_is_followed() {
    #[derive(Debug, Clone, Copy)]
    enum Obstacle {
        TooSmall,
        Draining,
        Unreachable,
    }
    let obstacles = [Obstacle::TooSmall, Obstacle::Draining, Obstacle::Unreachable];
    let cases = obstacles.into_iter().flat_map(|obstacle| {
        [Shape::Single, Shape::Lasting, Shape::Gang]
            .into_iter()
            .flat_map(move |shape| [5_000, 11_000].map(|late| (obstacle, shape, late)))
    });
    play_all(cases, |(obstacle, shape, late)| {
        let mut cluster = late_start(late, shape.job());
        cluster.advance(300);
        match obstacle {
            Obstacle::TooSmall => cluster.resize_worker(0, TOO_SMALL),
            Obstacle::Draining => cluster.set_draining(0, true),
            Obstacle::Unreachable => cluster.disconnect(0, 3_000, true),
        }
        cluster.take_over(true);
        cluster.advance(late - 1_000);
        assert_eq!(cluster.running_on(1), 0, "starts elsewhere while the order may still be executed");
        cluster.max_registry_delay = MAX_ENTRY_DELAY_MS;
        cluster.crash_worker(0, 600);
        cluster.resize_worker(0, WORKER_CAPACITY);
        cluster.advance(SETTLE_MS);
        let expected = if shape == Shape::Lasting { JobState::Running } else { JobState::Completed };
        assert_eq!(cluster.query_state(1), Some(expected), "state of the job");
        cluster.check_settled();
    });
}

/// A worker is lost for good around a change of owner. What is known to have been started waits for the lease that the previous
/// owner may have extended, and what may be started late for the order and the longest lease.
#[test]
fn tasks_of_a_worker_that_is_lost_at_a_takeover_wait_for_their_orders_only() {
    #[derive(Debug, Clone, Copy)]
    struct Case {
        /// Whether the start order is left unanswered.
        is_late: bool,
        /// Time from the order to the change of owner, milliseconds.
        change_after: u64,
        /// Time from the change of owner to the loss, milliseconds; negative if it comes before.
        lost_after: i64,
        /// Time from the change of owner within which the task is at work elsewhere, milliseconds.
        restart: u64,
    }
    // The lease of a predecessor, extended until its last confirmed write was too old.
    const INHERITED_LEASE_MS: u64 = 11_000;
    // A lease that this owner has extended.
    const LEASE_MS: u64 = 6_000;
    const LATE_MS: u64 = MAX_ORDER_DELAY_MS + 11_000;
    let settled = Case { is_late: false, change_after: 500, lost_after: 0, restart: INHERITED_LEASE_MS };
    let cases = [
        settled,
        Case { change_after: 5_000, ..settled },
        Case { lost_after: -200, ..settled },
        Case { lost_after: 1_000, restart: LEASE_MS, ..settled },
        Case { change_after: 10, lost_after: 1_000, restart: LEASE_MS, ..settled },
        Case { is_late: true, restart: LATE_MS, ..settled },
        Case { is_late: true, lost_after: 1_000, restart: LATE_MS, ..settled },
    ];
    let shapes = [Shape::Single, Shape::Lasting];
    play_all(cases.into_iter().flat_map(|case| shapes.map(|shape| (case, shape))), |(case, shape)| {
        let fault = case.is_late.then_some(CallFault::ExecutedAfter(60_000));
        let mut cluster = ordered(shape.job(), fault);
        let before = u64::try_from(-case.lost_after).unwrap_or(0);
        cluster.advance(case.change_after - before);
        if before > 0 {
            cluster.crash_worker(0, 100_000);
            cluster.advance(before);
        }
        cluster.take_over(true);
        let change = cluster.now;
        if before == 0 {
            cluster.advance(u64::try_from(case.lost_after).expect("not negative"));
            cluster.crash_worker(0, 100_000);
        }
        while cluster.running_on(1) == 0 && cluster.now < change + Duration::from_millis(40_000) {
            cluster.advance(50);
        }
        let waited = cluster.now.since(change);
        assert!(waited <= Duration::from_millis(case.restart), "the task starts elsewhere after {waited:?}");
    });
}

/// A lasting task stood still for 13 s on a sound worker after one start order without an answer.
#[test]
fn lasting_task_whose_start_was_not_answered_is_at_work_at_once() {
    let faults = [
        CallFault::ExecutedAfter(2_000),
        CallFault::ExecutedAfter(5_000),
        CallFault::ExecutedAfter(11_900),
        CallFault::AnswerLost,
    ];
    play_all(faults, |fault| {
        let mut cluster = ordered(Shape::Lasting.job(), Some(fault));
        cluster.advance(MAX_IDLE_MS);
        assert_eq!(cluster.running_on(0), 1, "tasks at work on the worker of the order");
        cluster.advance(SETTLE_MS);
        cluster.check_settled();
    });
}

/// A start order of an owner that stays was carried out late by a restarted worker, while its task ran elsewhere.
#[test]
fn start_that_a_restarted_worker_carries_out_for_its_own_owner_is_not_doubled() {
    let shapes = [Shape::Single, Shape::Several, Shape::Lasting, Shape::Gang];
    let cases = shapes.into_iter().flat_map(|shape| {
        let base = Schedule { shape, changes: &[], ..BASE };
        let lates = [3_800, 5_000, 8_000, 9_000, 11_000, 11_900].map(|late| Schedule { late, ..base });
        let ups = [5, 300, 600].map(|up| Schedule { up, ..base });
        let restarts = [2, 3].map(|restarts| Schedule { restarts, down: 600, late: 8_000, ..base });
        lates.into_iter().chain(ups).chain(restarts)
    });
    play_all(cases, play);
}

/// A task that was bound to its worker was done before its late order was executed, which started it again.
#[test]
fn done_task_is_not_started_by_a_late_order() {
    play_all([5_000, 8_000, 11_000], |late| {
        let mut cluster = late_start(late, spec(1, 1_000));
        cluster.advance(400);
        cluster.take_over(true);
        cluster.advance(late - 400 - 600 - 100);
        assert_eq!(cluster.query_state(1), Some(JobState::Completed), "state before the crash");
        cluster.max_registry_delay = MAX_ENTRY_DELAY_MS;
        cluster.crash_worker(0, 600);
        cluster.advance(SETTLE_MS);
        assert_eq!(cluster.starts[&JobKey(1)], 1, "starts");
    });
}
