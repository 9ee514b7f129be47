//! Experiments with the decision logic in model time.

mod dissemination;
mod requests;

use argh::FromArgs;

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
    Dissemination(dissemination::Options),
    Requests(requests::Options),
}

fn main() {
    let options: Options = argh::from_env();
    match options.experiment {
        Experiment::Dissemination(options) => dissemination::run(&options),
        Experiment::Requests(options) => requests::run(&options),
    }
}
