//! Measures the control cost of one entry host in model time.

use argh::FromArgs;
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};
use yuccahoist_bench::control::{Axis, Load, Outcome, Row, Size, World, points, print};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<std::alloc::System> = &INSTRUMENTED_SYSTEM;

/// measures the control cost of one entry host, idle and at peak, at several sizes of the cell
#[derive(Debug, FromArgs)]
struct Options {
    /// seed of the random numbers (1)
    #[argh(option, default = "1")]
    seed: u64,
    /// runs of each size, of which the median processor time counts (1)
    #[argh(option, default = "1")]
    runs: usize,
    /// one axis only: hosts, racks, tasks, teams or edits
    #[argh(option, from_str_fn(axis))]
    axis: Option<Axis>,
    /// only full size
    #[argh(switch)]
    full: bool,
    /// print JSON in place of tables
    #[argh(switch)]
    json: bool,
}

fn axis(name: &str) -> Result<Axis, String> {
    let found = Axis::ALL.into_iter().find(|axis| axis.to_string() == name);
    found.ok_or_else(|| format!("axis {name:?} does not exist"))
}

fn allocated() -> usize {
    let stats = ALLOCATOR.stats();
    stats.bytes_allocated.wrapping_sub(stats.bytes_deallocated)
}

fn main() {
    let options: Options = argh::from_env();
    let mut rows = Vec::new();
    let mut known: Vec<(Size, Load, Vec<Outcome>)> = Vec::new();
    for (axis, size) in points() {
        let full = axis == Axis::Hosts && size == Size::FULL;
        if options.full && !full || options.axis.is_some_and(|only| only != axis) {
            continue;
        }
        for load in [Load::Idle, Load::Peak] {
            let start = std::time::Instant::now();
            let run = |_| World::new(size, load, options.seed).run(allocated);
            // Full size is a point of every axis and is run once.
            let found =
                known.iter().find(|(s, l, _)| *s == size && *l == load).map(|(_, _, runs)| runs.clone());
            let runs = found.unwrap_or_else(|| (0..options.runs.max(1)).map(run).collect());
            rows.extend(Row::new(axis, load, size, &runs));
            known.push((size, load, runs));
            eprintln!("{axis} {} {load}: {:.1} s", size.along(axis), start.elapsed().as_secs_f64());
        }
    }
    if options.json {
        println!("{}", serde_json::to_string_pretty(&rows).expect("plain data"));
    } else {
        print(&rows);
    }
}
