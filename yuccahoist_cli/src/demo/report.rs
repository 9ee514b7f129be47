//! Report of the demo, as a table or as JSON.

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
use super::script::Script;

/// Largest waiting time that is recorded, microseconds.
const LONGEST_WAIT: u64 = 600_000_000;

/// Counts and waiting times of one class.
#[derive(Debug, Clone, Default, Serialize)]
pub(crate) struct ClassReport {
    sent: usize,
    answered: usize,
    not_run: usize,
    unknown: usize,
    broken: usize,
    /// Time beyond the service time, milliseconds.
    wait_p50_ms: f64,
    wait_p99_ms: f64,
    wait_max_ms: f64,
}

/// Result of a run.
#[derive(Debug, Serialize)]
pub(crate) struct Report {
    seed: u64,
    classes: BTreeMap<Class, ClassReport>,
    /// Largest share of the processors of one worker in use by tasks.
    packing_largest: f64,
    /// Log appends per second of all hosts.
    appends_per_second: f64,
    /// Time until the edit was in force at every host, milliseconds.
    edit_ms: Option<u128>,
    /// Time from the kill until everything was owned again with whole capacity, milliseconds.
    takeover_ms: Option<u128>,
    jobs: Vec<JobResult>,
    violations: BTreeMap<Invariant, usize>,
}

impl Report {
    pub(crate) fn new(
        seed: u64,
        cluster: &Cluster,
        calls: &[Call],
        script: &Script,
        jobs: &[JobResult],
    ) -> Self {
        let classes = Class::ALL.into_iter().map(|class| (class, class_report(class, calls))).collect();
        let used = cluster.workers.record().into_values().map(|record| record.most.cpu.0).max();
        Self {
            seed,
            classes,
            packing_largest: used.unwrap_or_default() as f64 / 16_000.0,
            appends_per_second: script.appends as f64 / script.length.as_secs_f64().max(1.0),
            edit_ms: script.edit.map(|time| time.as_millis()),
            takeover_ms: script.takeover.map(|time| time.as_millis()),
            jobs: jobs.to_vec(),
            violations: checks::violations(cluster, calls, script, jobs),
        }
    }

    pub(crate) fn violations(&self) -> usize {
        self.violations.values().sum()
    }
}

fn class_report(class: Class, calls: &[Call]) -> ClassReport {
    let mut report = ClassReport::default();
    let mut waits = Histogram::<u64>::new_with_max(LONGEST_WAIT, 3)
        .unwrap_or_else(|_| unreachable!("constant bounds are valid"));
    for call in calls.iter().filter(|call| call.plan.class == class) {
        report.sent += 1;
        match call.reply {
            Reply::Answered { .. } => {
                report.answered += 1;
                let wait = call.elapsed.saturating_sub(call.plan.time).as_micros();
                waits.saturating_record(u64::try_from(wait).unwrap_or(LONGEST_WAIT));
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

fn or_missed(time: Option<u128>) -> String {
    time.map_or_else(|| "not in time".into(), |time| format!("{time} ms"))
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
        for (class, r) in &self.classes {
            writeln!(
                f,
                "{:<8}{:>8}{:>10}{:>9}{:>9}{:>8}{:>13.2}{:>13.2}{:>13.2}",
                class.as_str(),
                r.sent,
                r.answered,
                r.not_run,
                r.unknown,
                r.broken,
                r.wait_p50_ms,
                r.wait_p99_ms,
                r.wait_max_ms
            )?;
        }
        writeln!(f, "fullest worker: {:.0} % of its processors", self.packing_largest * 100.0)?;
        writeln!(f, "log appends: {:.1} a second", self.appends_per_second)?;
        writeln!(f, "edit in force at every host after {}", or_missed(self.edit_ms))?;
        writeln!(f, "everything owned again with whole capacity after {}", or_missed(self.takeover_ms))?;
        for job in self.jobs.iter().filter(|job| !job.is_met()) {
            writeln!(f, "job {}: expected {:?}, found {}", job.job, job.expected, job.found)?;
        }
        for (invariant, count) in &self.violations {
            writeln!(f, "{:>5} violations: {}", count, invariant.statement())?;
        }
        Ok(())
    }
}
