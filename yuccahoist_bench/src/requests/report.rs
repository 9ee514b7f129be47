//! Table of the runs, with the targets of the design.

use serde::Serialize;
use yuccahoist::request::Class;

use super::deployment::{Deployment, SLOTS, Scenario, System, WORKERS};
use super::model::Count;
use super::{Outcome, Tally};

/// One line: a class in a run.
#[derive(Debug, Clone, Serialize)]
pub struct Row {
    /// Deployment.
    pub deployment: &'static str,
    /// Scenario.
    pub scenario: Scenario,
    /// System.
    pub system: System,
    /// Class, with the team where one team floods.
    pub class: String,
    /// Wait for a slot, milliseconds.
    pub wait_p50_ms: f64,
    /// Wait for a slot, milliseconds.
    pub wait_p99_ms: f64,
    /// Wait for a slot, milliseconds.
    pub wait_max_ms: f64,
    /// Share of the requests answered in time, divided by that of the same system at normal load.
    pub goodput_kept: f64,
    /// Slot time, as a share of the guaranteed share.
    pub share_used: f64,
    /// Arrivals.
    pub sent: u64,
    /// Answered in time.
    pub answered: u64,
    /// Refused early.
    pub refused: u64,
    /// Timed out.
    pub late: u64,
}

/// Lines of all runs, in order.
#[must_use]
pub fn rows(outcomes: &[Outcome]) -> Vec<Row> {
    outcomes.iter().flat_map(|outcome| run_rows(outcome, outcomes)).collect()
}

fn run_rows(outcome: &Outcome, all: &[Outcome]) -> Vec<Row> {
    let normal = all.iter().find(|other| {
        other.scenario == Scenario::Normal
            && other.deployment == outcome.deployment
            && other.system == outcome.system
    });
    let mut lines = Vec::new();
    for class in Class::ALL {
        let by_team = outcome.scenario == Scenario::FloodTeam && class == Class::Batch;
        let teams: &[&[usize]] = if by_team { &[&[0], &[1]] } else { &[&[0, 1]] };
        for team in teams {
            let name = match team {
                [0] => format!("{class} of the flooding team"),
                [1] => format!("{class} of the other team"),
                _ => class.to_string(),
            };
            let before = normal.map(|normal| count(&normal.tally, class, team).goodput());
            lines.push(row(outcome, (class, name), &count(&outcome.tally, class, team), before));
        }
    }
    lines
}

/// Length of the counted part.
fn seconds(scenario: Scenario) -> f64 {
    let times = scenario.timeline();
    times.end - times.count
}

fn count(tally: &Tally, class: Class, teams: &[usize]) -> Count {
    let mut sum = Count::default();
    teams.iter().filter_map(|team| tally.get(&(class, *team))).for_each(|count| sum.add(count));
    sum
}

fn row(outcome: &Outcome, (class, name): (Class, String), count: &Count, before: Option<f64>) -> Row {
    let ms = |micros: u64| micros as f64 / 1_000.0;
    let deployments = [Deployment::ishikari(), Deployment::cawan()];
    let deployment = deployments.iter().find(|deployment| deployment.name == outcome.deployment);
    let share = deployment.map_or(1.0, |deployment| deployment.classes[&class].share);
    let guaranteed = share * f64::from(WORKERS * SLOTS) * seconds(outcome.scenario);
    Row {
        deployment: outcome.deployment,
        scenario: outcome.scenario,
        system: outcome.system,
        class: name,
        wait_p50_ms: ms(count.wait.value_at_quantile(0.5)),
        wait_p99_ms: ms(count.wait.value_at_quantile(0.99)),
        wait_max_ms: ms(count.wait.max()),
        goodput_kept: before.map_or(f64::NAN, |before| count.goodput() / before),
        share_used: count.busy / guaranteed,
        sent: count.sent,
        answered: count.answered,
        refused: count.refused,
        late: count.late,
    }
}

/// Prints the lines as a table.
pub fn print(rows: &[Row]) {
    println!(
        "| deployment | scenario | system | class | wait p50 ms | p99 ms | max ms | goodput kept | share used | sent \
         | answered | refused early | timed out |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for row in rows {
        println!(
            "| {} | {} | {} | {} | {:.1} | {:.1} | {:.1} | {:.3} | {:.2} | {} | {} | {} | {} |",
            row.deployment,
            row.scenario.as_str(),
            row.system.as_str(),
            row.class,
            row.wait_p50_ms,
            row.wait_p99_ms,
            row.wait_max_ms,
            row.goodput_kept,
            row.share_used,
            row.sent,
            row.answered,
            row.refused,
            row.late,
        );
    }
}
