//! Report of the demo, printed as a table or as JSON.

use std::collections::BTreeMap;
use std::fmt;

use hdrhistogram::Histogram;
use serde::Serialize;
use yuccahoist::request::Class;
use yuccahoist_standins::cluster::Cluster;

use super::caller::{Call, Reply};
use super::checks;
use super::invariant::Invariant;
use super::jobs::JobResult;
use super::script::ScriptResult;

/// Upper bound of the waiting time histogram, microseconds; longer waits are recorded as this value.
const MAX_WAIT_US: u64 = 600_000_000;

/// Calls by outcome, and the waiting times of the answered ones, of one request class.
#[derive(Debug, Clone, Default, Serialize)]
pub(crate) struct ClassReport {
    sent: usize,
    answered: usize,
    not_run: usize,
    unknown: usize,
    broken: usize,
    /// Median of the response time beyond the service time, milliseconds.
    wait_p50_ms: f64,
    wait_p99_ms: f64,
    wait_max_ms: f64,
}

/// Result of a demo run; the field names are the keys of the JSON report.
#[derive(Debug, Serialize)]
pub(crate) struct Report {
    seed: u64,
    classes: BTreeMap<Class, ClassReport>,
    /// Peak CPU share that tasks used on one worker, 0 to 1.
    packing_largest: f64,
    /// Log appends per second, all hosts together.
    appends_per_second: f64,
    /// Time until the edit was in force at every host, milliseconds; none if the limit was exceeded.
    edit_ms: Option<u128>,
    /// Time from the kill until all racks and partitions were owned with full capacity, milliseconds; none on timeout.
    takeover_ms: Option<u128>,
    jobs: Vec<JobResult>,
    violations: BTreeMap<Invariant, usize>,
}

impl Report {
    pub(crate) fn new(
        seed: u64,
        cluster: &Cluster,
        calls: &[Call],
        script: &ScriptResult,
        jobs: &[JobResult],
    ) -> Self {
        let classes = Class::ALL.into_iter().map(|class| (class, class_report(class, calls))).collect();
        let peak_cpu = cluster.workers.record().into_values().map(|record| record.most.cpu.0).max();
        Self {
            seed,
            classes,
            packing_largest: peak_cpu.unwrap_or_default() as f64 / 16_000.0,
            appends_per_second: script.appends as f64 / script.duration.as_secs_f64().max(1.0),
            edit_ms: script.edit_latency.map(|time| time.as_millis()),
            takeover_ms: script.takeover_latency.map(|time| time.as_millis()),
            jobs: jobs.to_vec(),
            violations: checks::violations(cluster, calls, script, jobs),
        }
    }

    /// Returns the number of violations of all invariants.
    pub(crate) fn violations(&self) -> usize {
        self.violations.values().sum()
    }
}

fn class_report(class: Class, calls: &[Call]) -> ClassReport {
    let mut report = ClassReport::default();
    let mut waits = Histogram::<u64>::new_with_max(MAX_WAIT_US, 3)
        .unwrap_or_else(|_| unreachable!("constant bounds are valid"));
    for call in calls.iter().filter(|call| call.plan.class == class) {
        report.sent += 1;
        match call.reply {
            Reply::Answered { .. } => {
                report.answered += 1;
                let wait = call.elapsed.saturating_sub(call.plan.service_time).as_micros();
                waits.saturating_record(u64::try_from(wait).unwrap_or(MAX_WAIT_US));
            }
            Reply::NotRun { .. } => report.not_run += 1,
            Reply::Unknown => report.unknown += 1,
            Reply::Malformed | Reply::Broken => report.broken += 1,
        }
    }
    let millis = |quantile| waits.value_at_quantile(quantile) as f64 / 1_000.0;
    report.wait_p50_ms = millis(0.5);
    report.wait_p99_ms = millis(0.99);
    report.wait_max_ms = millis(1.0);
    report
}

fn format_time(time: Option<u128>) -> String {
    time.map_or_else(|| "not within the limit".into(), |time| format!("{time} ms"))
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "seed {}", self.seed)?;
        writeln!(
            f,
            "{:<8}{:>8}{:>10}{:>9}{:>9}{:>8}{:>13}{:>13}{:>13}",
            "class",
            "sent",
            "answered",
            "not run",
            "unknown",
            "broken",
            "wait p50 ms",
            "wait p99 ms",
            "wait max ms"
        )?;
        for (class, report) in &self.classes {
            writeln!(
                f,
                "{:<8}{:>8}{:>10}{:>9}{:>9}{:>8}{:>13.2}{:>13.2}{:>13.2}",
                class.as_str(),
                report.sent,
                report.answered,
                report.not_run,
                report.unknown,
                report.broken,
                report.wait_p50_ms,
                report.wait_p99_ms,
                report.wait_max_ms
            )?;
        }
        writeln!(f, "peak CPU use of a worker: {:.0} %", self.packing_largest * 100.0)?;
        writeln!(f, "log appends: {:.1} a second", self.appends_per_second)?;
        writeln!(f, "time until the edit was in force at every host: {}", format_time(self.edit_ms))?;
        writeln!(
            f,
            "time from the kill until all racks and partitions were owned with full capacity: {}",
            format_time(self.takeover_ms)
        )?;
        for job in self.jobs.iter().filter(|job| !job.is_met()) {
            writeln!(f, "job {}: expected {:?}, found {}", job.job, job.expected, job.found)?;
        }
        for (invariant, count) in &self.violations {
            writeln!(f, "{:>5} violations: {}", count, invariant.description())?;
        }
        Ok(())
    }
}
