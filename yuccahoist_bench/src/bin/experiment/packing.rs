//! Subcommand `packing`.

use yuccahoist_bench::packing::{self, PackingCommand};

/// Runs the experiment and prints its figures.
pub fn run(options: &PackingCommand) {
    let report = packing::run(options.seed);
    if options.json {
        println!("{}", serde_json::to_string_pretty(&report).expect("plain data"));
    } else {
        print!("{report}");
    }
}
