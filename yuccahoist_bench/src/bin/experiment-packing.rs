//! Runs the packing experiment.

use yuccahoist_bench::packing::{self, PackingCommand};

#[derive(Debug, argh::FromArgs)]
/// Experiments on placement.
struct Command {
    #[argh(subcommand)]
    packing: PackingCommand,
}

fn main() {
    let Command { packing } = argh::from_env();
    let report = packing::run(packing.seed);
    if packing.json {
        println!("{}", serde_json::to_string_pretty(&report).expect("report is plain data"));
    } else {
        print!("{report}");
    }
}
