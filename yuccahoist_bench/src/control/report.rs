//! Rows of figures, their table and their slopes.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use super::cell::{Axis, Load, Size};
use super::world::{Outcome, WINDOW};

/// Figures of one size and load; rates are per model second, shares are of one core.
#[derive(Debug, Clone, Serialize)]
pub struct Row {
    /// What varies.
    pub axis: Axis,
    /// Load.
    pub load: Load,
    /// Size.
    pub size: Size,
    /// Tasks that ran at the end.
    pub running: usize,
    /// Task starts a second, whole cell.
    pub starts: f64,
    /// Subjects that the measured host owned.
    pub owned: usize,
    /// Revision in force at the end.
    pub revision: u64,
    /// Heap of the host, bytes.
    pub heap: usize,
    /// Number a second and bytes a second by kind of traffic.
    pub traffic: BTreeMap<String, (f64, f64)>,
    /// Share of one core by kind of event, per cent.
    pub time: BTreeMap<&'static str, f64>,
}

impl Row {
    /// Row with the medians of the processor times of several runs; everything else is the same in all of them.
    #[must_use]
    pub fn new(axis: Axis, load: Load, size: Size, runs: &[Outcome]) -> Option<Self> {
        let first = runs.first()?;
        let window = WINDOW.as_secs_f64();
        let traffic =
            first.tally.traffic.iter().map(|(kind, count)| {
                (kind.clone(), (count.number as f64 / window, count.bytes as f64 / window))
            });
        let kinds: BTreeSet<_> = runs.iter().flat_map(|run| run.tally.time.keys().copied()).collect();
        let median = |kind: &&'static str| {
            let mut times: Vec<f64> =
                runs.iter().map(|run| run.tally.time.get(kind).map_or(0.0, |t| t.as_secs_f64())).collect();
            times.sort_by(f64::total_cmp);
            (*kind, times[times.len() / 2] / window * 100.0)
        };
        Some(Self {
            axis,
            load,
            size,
            running: first.running,
            starts: first.starts as f64 / window,
            owned: first.owned,
            revision: first.revision,
            heap: first.heap,
            traffic: traffic.collect(),
            time: kinds.iter().map(median).collect(),
        })
    }

    fn bytes(&self, prefix: &str, requests: bool) -> f64 {
        let wanted = |kind: &&String| kind.starts_with(prefix) && kind.ends_with("requests") == requests;
        self.traffic.iter().filter(|(kind, _)| wanted(kind)).map(|(_, (_, bytes))| bytes).sum()
    }

    /// Figures of control by name; the request path itself is left out.
    #[must_use]
    pub fn control(&self) -> Vec<(&'static str, f64)> {
        let share: f64 =
            self.time.iter().filter(|(kind, _)| **kind != "requests").map(|(_, share)| share).sum();
        vec![
            ("to peers, B/s", self.bytes("to peers", false)),
            ("from peers, B/s", self.bytes("from peers", false)),
            ("log read, B/s", self.bytes("log read", false)),
            ("log append, B/s", self.bytes("log append", false)),
            ("worker commands, B/s", self.bytes("worker command", false)),
            ("worker inventories, B/s", self.bytes("worker inventory", false)),
            ("processor, % of a core", share),
            ("heap, KiB", self.heap as f64 / 1024.0),
        ]
    }
}

/// Least-squares slope of each control figure along an axis.
#[must_use]
pub fn slopes(rows: &[Row], axis: Axis, load: Load) -> Vec<(&'static str, f64)> {
    let rows: Vec<&Row> = rows.iter().filter(|row| row.axis == axis && row.load == load).collect();
    let Some(first) = rows.first() else { return Vec::new() };
    let count = rows.len() as f64;
    let mean_x = rows.iter().map(|row| row.size.along(axis) as f64).sum::<f64>() / count;
    let slope = |place: usize| {
        let mean_y = rows.iter().map(|row| row.control()[place].1).sum::<f64>() / count;
        let (mut over, mut under) = (0.0, 0.0);
        for row in &rows {
            let x = row.size.along(axis) as f64 - mean_x;
            over += x * (row.control()[place].1 - mean_y);
            under += x * x;
        }
        over / under
    };
    first.control().iter().enumerate().map(|(place, (name, _))| (*name, slope(place))).collect()
}

/// Prints all figures as tables.
pub fn print(rows: &[Row]) {
    let Some(first) = rows.first() else { return };
    let names: Vec<&str> = first.control().iter().map(|(name, _)| *name).collect();
    println!("| axis | size | load | running | starts/s | owned | {} |", names.join(" | "));
    println!("|{}", " --- |".repeat(names.len() + 6));
    for row in rows {
        let figures: Vec<String> = row.control().iter().map(|(_, figure)| format!("{figure:.2}")).collect();
        let Row { axis, load, size, running, starts, owned, .. } = row;
        let place = size.along(*axis);
        println!(
            "| {axis} | {place} | {load} | {running} | {starts:.0} | {owned} | {} |",
            figures.join(" | ")
        );
    }
    if rows.len() > 2 {
        print_slopes(rows, &names);
    }
    print_details(rows);
}

fn print_slopes(rows: &[Row], names: &[&str]) {
    println!("\nSlopes:\n\n| per | load | {} |\n|{}", names.join(" | "), " --- |".repeat(names.len() + 2));
    for axis in Axis::ALL {
        for load in [Load::Idle, Load::Peak] {
            let figures: Vec<String> =
                slopes(rows, axis, load).iter().map(|(_, slope)| format!("{slope:.4}")).collect();
            if !figures.is_empty() {
                println!("| {axis} | {load} | {} |", figures.join(" | "));
            }
        }
    }
}

/// Prints the kinds of traffic and events at full size.
fn print_details(rows: &[Row]) {
    for row in rows.iter().filter(|row| row.axis == Axis::Hosts && row.size == Size::FULL) {
        println!("\nFull size, {}:\n\n| kind | per second | B/s |\n| --- | --- | --- |", row.load);
        for (kind, (number, bytes)) in &row.traffic {
            println!("| {kind} | {number:.1} | {bytes:.0} |");
        }
        println!("\n| event | % of a core |\n| --- | --- |");
        for (kind, share) in &row.time {
            println!("| {kind} | {share:.4} |");
        }
    }
}
