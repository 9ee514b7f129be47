//! Subcommand `dissemination`.

use argh::FromArgs;
use yuccahoist_bench::dissemination::{print, run_all};

/// Load summaries from all to all against binary dissemination.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "dissemination")]
pub struct Options {
    /// seed of the random numbers
    #[argh(option, default = "1")]
    seed: u64,
    /// print JSON in place of a table
    #[argh(switch)]
    json: bool,
}

/// Runs the experiment and prints its figures.
pub fn run(options: &Options) {
    let rows = run_all(options.seed);
    if options.json {
        println!("{}", serde_json::to_string_pretty(&rows).expect("plain data"));
    } else {
        print(&rows);
    }
}
