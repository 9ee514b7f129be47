//! Experiments with the decision logic in model time.

mod packing;
mod requests;

use argh::FromArgs;
use yuccahoist_bench::packing::PackingCommand;

/// Experiments with the decision logic in model time.
#[derive(Debug, FromArgs)]
struct Options {
    #[argh(subcommand)]
    experiment: Experiment,
}

/// Experiment to run.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Experiment {
    Requests(requests::Options),
    Packing(PackingCommand),
}

fn main() {
    let options: Options = argh::from_env();
    match options.experiment {
        Experiment::Requests(options) => requests::run(&options),
        Experiment::Packing(options) => packing::run(&options),
    }
}
