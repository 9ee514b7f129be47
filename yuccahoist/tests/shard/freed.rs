//! Log lines and counters that lead from two runs of a task to their cause: what was known when a run was freed, the alarm
//! when it was active after that, and the clocks in the age of a worker.

use std::cell::RefCell;

use log::{LevelFilter, Log, Metadata, Record};
use yuccahoist::shard::lease::LeaseBound;
use yuccahoist::shard::message::{Event, OrderError};
use yuccahoist::shard::run_end::EndProof;
use yuccahoist::shard::{JobKey, StepKey};

use super::cluster::{SimulatedCluster, spec};

/// Duration of a task that outlasts each lease, milliseconds.
const LONG_MS: u64 = 30_000;
/// Time within which the lease of a worker out of contact expires, milliseconds.
const LAPSE_MS: u64 = 5_500;
/// Clock rate, below the one that the platform allows, that makes a worker outlast its lease.
const TOO_SLOW: f64 = 0.2;

thread_local! {
    static LINES: RefCell<Vec<String>> = const { RefCell::new(Vec::new()) };
}

/// Logger that keeps the lines of each thread apart.
struct ThreadLines;

impl Log for ThreadLines {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.target() == "decision"
    }

    fn log(&self, record: &Record<'_>) {
        if self.enabled(record.metadata()) {
            LINES.with_borrow_mut(|lines| lines.push(format!("{} {}", record.level(), record.args())));
        }
    }

    fn flush(&self) {}
}

/// Collects the lines of this thread from now on.
fn collect_lines() {
    // Fails if another test of this process has installed it.
    let _ = log::set_logger(&ThreadLines);
    log::set_max_level(LevelFilter::Info);
    LINES.with_borrow_mut(Vec::clear);
}

/// Returns the collected lines that contain every one of `words`.
fn lines_with(words: &[&str]) -> Vec<String> {
    let matches = |line: &&String| words.iter().all(|word| line.contains(word));
    LINES.with_borrow(|lines| lines.iter().filter(matches).cloned().collect())
}

/// Returns the value of a field of the only line that contains every one of `words`.
fn field(words: &[&str], name: &str) -> String {
    let lines = lines_with(words);
    assert_eq!(lines.len(), 1, "lines with {words:?}: {lines:#?}");
    let prefix = format!("{name}=");
    let value = lines[0].split(' ').find_map(|part| part.strip_prefix(&prefix));
    value.unwrap_or_else(|| panic!("{name} is missing in {}", lines[0])).to_owned()
}

fn number(words: &[&str], name: &str) -> i64 {
    let value = field(words, name);
    value.parse().unwrap_or_else(|_| panic!("{name}={value} is not a number"))
}

/// Returns a cluster of one worker that runs the task of job 1, so that a freed task starts nowhere else.
fn busy_worker(task_ms: u64) -> SimulatedCluster {
    busy_cluster(1, task_ms).0
}

/// Returns a cluster of so many workers, and the one that runs the task of job 1.
fn busy_cluster(workers: u32, task_ms: u64) -> (SimulatedCluster, usize) {
    collect_lines();
    let mut cluster = SimulatedCluster::new(1, workers);
    cluster.advance(100);
    cluster.submit(1, spec(1, task_ms));
    cluster.advance(1_000);
    let worker = cluster.workers_of(1)[0];
    (cluster, worker)
}

/// The line named neither the bound of the lease nor the age of the order, so a missed order could not be told from a lease
/// that was counted too short.
#[test]
fn line_of_a_freed_run_names_its_proof_and_the_orders_behind_it() {
    struct Case {
        name: &'static str,
        takes_over: bool,
        restarts: bool,
        /// Epoch, proof, bound, whether a previous owner ordered the run, and whether an earlier incarnation is known.
        expected: [&'static str; 5],
    }
    let base = Case {
        name: "",
        takes_over: false,
        restarts: false,
        expected: ["1", "lapsed", "granted", "false", "false"],
    };
    let cases = [
        Case { name: "cut off", ..base },
        Case {
            name: "cut off from a new owner",
            takes_over: true,
            expected: ["2", "lapsed", "inherited", "true", "false"],
            ..base
        },
        Case {
            name: "restarted",
            restarts: true,
            expected: ["1", "replaced", "granted", "false", "false"],
            ..base
        },
    ];
    for case in cases {
        let mut cluster = busy_worker(LONG_MS);
        let place = ["INFO place ", "run=1 "];
        assert_eq!(field(&place, "epoch"), "1", "{}", case.name);
        if case.restarts {
            cluster.restart_worker(0);
        } else {
            cluster.disconnect(0, 60_000, false);
        }
        if case.takes_over {
            cluster.take_over(true);
        }
        cluster.advance(2 * LAPSE_MS);
        let free = ["INFO free ", "run=1 "];
        let names = ["epoch", "proof", "bound", "inherited", "predecessor"];
        assert_eq!(names.map(|name| field(&free, name)), case.expected, "{}", case.name);
        assert!(number(&free, "order_ms") > 0, "{}", case.name);
        // The record tells the new owner.
        assert_eq!(field(&free, "answered"), "true", "{}", case.name);
        for name in ["lease_ms", "silent_ms", "listed_ms", "unanswered_ms"] {
            field(&free, name);
        }
    }
}

/// A run that had outlasted the lease on which it was freed left a line without a time, as one that had lapsed in time.
#[test]
fn run_that_is_active_after_it_was_freed_raises_the_alarm_once() {
    struct Case {
        name: &'static str,
        takes_over: bool,
        /// Proof and bound in the line, and the counts by the proof and without one.
        proof: &'static str,
        bound: &'static str,
        counts: (u64, u64),
    }
    let cases = [
        Case { name: "by this owner", takes_over: false, proof: "lapsed", bound: "granted", counts: (1, 0) },
        Case {
            name: "by the previous owner",
            takes_over: true,
            proof: "none",
            bound: "none",
            counts: (0, 1),
        },
    ];
    for case in cases {
        let mut cluster = busy_worker(LONG_MS);
        cluster.expects_alarm = true;
        cluster.set_clock(0, TOO_SLOW, 0);
        cluster.disconnect(0, LAPSE_MS + 500, false);
        cluster.advance(LAPSE_MS);
        assert_eq!(lines_with(&["INFO free ", "proof=lapsed"]).len(), 1, "{}", case.name);
        if case.takes_over {
            cluster.take_over(true);
        }
        cluster.advance(2_000);
        let overlap = ["WARN overlap ", "run=1 ", "seen=active"];
        assert_eq!(field(&overlap, "proof"), case.proof, "{}", case.name);
        assert_eq!(field(&overlap, "bound"), case.bound, "{}", case.name);
        assert_eq!(field(&overlap, "next_run"), "none", "{}", case.name);
        let freed_ms = field(&overlap, "freed_ms");
        assert_eq!(freed_ms.parse::<u64>().is_ok(), !case.takes_over, "{}: freed_ms={freed_ms}", case.name);
        let counters = cluster.counters();
        let counts = (counters.active_after_free.get(EndProof::Lapsed), counters.active_unplaced);
        assert_eq!(counts, case.counts, "{}", case.name);
        assert_eq!(counters.expired_leases.get(LeaseBound::Granted), counts.0, "{}", case.name);
    }
}

/// The line of a late end told neither the proof on which the run had been freed nor how long ago.
#[test]
fn late_end_of_a_freed_run_names_the_proof_and_is_counted_apart() {
    struct Case {
        name: &'static str,
        workers: u32,
        task_ms: u64,
        kind: &'static str,
        next_run: &'static str,
        count: u64,
    }
    let base = Case { name: "", workers: 1, task_ms: 3_000, kind: "Done", next_run: "none", count: 1 };
    let cases = [
        Case { name: "done in time", ..base },
        Case { name: "done in time, started elsewhere", workers: 2, next_run: "2", ..base },
        Case { name: "lapsed", task_ms: LONG_MS, kind: "Lapsed", count: 0, ..base },
    ];
    for case in cases {
        let (mut cluster, worker) = busy_cluster(case.workers, case.task_ms);
        cluster.disconnect(worker, LAPSE_MS + 500, false);
        cluster.advance(LAPSE_MS + 2_000);
        assert_eq!(lines_with(&["INFO free ", "run=1 ", "proof=lapsed"]).len(), 1, "{}", case.name);
        let end = ["INFO end ", "run=1 ", &format!("kind={}", case.kind), "freed_ms="];
        assert_eq!(field(&end, "proof"), "lapsed", "{}", case.name);
        assert_eq!(field(&end, "bound"), "granted", "{}", case.name);
        assert!(number(&end, "freed_ms") > 0, "{}", case.name);
        assert_eq!(field(&end, "next_run"), case.next_run, "{}", case.name);
        assert_eq!(field(&end, "next_ms").parse::<u64>().is_ok(), case.next_run != "none", "{}", case.name);
        assert_eq!(cluster.counters().ended_after_free, case.count, "{}", case.name);
        assert_eq!(lines_with(&["overlap"]), Vec::<String>::new(), "{}", case.name);
    }
}

/// A run whose start order had been taken for refused ended unnoticed.
#[test]
fn end_of_a_run_that_was_taken_for_refused_raises_the_alarm() {
    collect_lines();
    let mut cluster = SimulatedCluster::new(1, 1);
    cluster.advance(100);
    cluster.submit(1, spec(1, 300));
    cluster.advance_until_ordered(1);
    let incarnation = cluster.entry_of(0).incarnation;
    let task = StepKey { job: JobKey(1), occurrence: 0, step: 0 }.task(0);
    cluster.expects_alarm = true;
    cluster.set_draining(0, true);
    cluster.advance(5);
    cluster.handle_event(Event::Started(task, 1, incarnation, Err(OrderError::Room)));
    cluster.advance(800);
    let overlap = ["WARN overlap ", "run=1 ", "seen="];
    assert_eq!(field(&overlap, "proof"), "refused");
    assert_eq!(cluster.counters().active_after_free.get(EndProof::Refused), 1);
}

/// A worker whose clock is ahead of the host's was shown as started just now, since a negative age was printed as zero.
#[test]
fn first_report_shows_a_negative_age_and_the_clock_of_the_worker() {
    collect_lines();
    let mut cluster = SimulatedCluster::new(1, 1);
    cluster.advance(500);
    cluster.worker_clock_error = 7_000;
    cluster.restart_worker(0);
    cluster.advance(500);
    let incarnation = cluster.entry_of(0).incarnation.to_string();
    let reported = ["outcome=reported", &incarnation];
    assert!((-7_000..-6_000).contains(&number(&reported, "age_ms")), "{:?}", lines_with(&reported));
    assert!(number(&reported, "clock_ms") > 0, "{:?}", lines_with(&reported));
    assert_eq!(field(&reported, "predecessor"), "true");
    field(&reported, "unanswered_ms");
}

/// The age of a worker was misjudged after a step of the host's time of day, which left no trace in the log.
#[test]
fn step_of_the_time_of_day_is_logged_once() {
    for step in [-8_000, 8_000] {
        collect_lines();
        let mut cluster = SimulatedCluster::new(1, 1);
        cluster.advance(500);
        cluster.host_clock_error = step;
        cluster.advance(500);
        assert_eq!(number(&["WARN clock ", "outcome=stepped"], "step_ms"), step);
    }
}

/// An owner that was frozen removed a worker with its lease, and took the report that had waited for the answer to a call that it
/// sent when the worker registered again.
#[test]
fn report_that_waited_for_a_frozen_owner_raises_no_alarm() {
    let mut alarms = Vec::new();
    for frozen in [4_400, 4_600, 4_800] {
        for back_after in [300, 1_500, 3_500] {
            let mut cluster = SimulatedCluster::new(1, 2);
            cluster.expects_alarm = true;
            cluster.advance(1_000);
            cluster.submit(1, spec(8, LONG_MS));
            cluster.advance(2_000);
            cluster.unlist(0);
            cluster.advance(200);
            cluster.freeze_owner(frozen);
            cluster.advance(back_after);
            cluster.register(0);
            cluster.advance(frozen + 2_000);
            if cluster.alarms() > 0 {
                alarms.push((frozen, back_after));
            }
        }
    }
    assert!(alarms.is_empty(), "alarms: {alarms:?}");
}
