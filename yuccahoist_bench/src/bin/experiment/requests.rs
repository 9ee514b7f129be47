//! Subcommand `requests`.

use argh::FromArgs;
use yuccahoist_bench::requests::{Scenario, System, print, rows, run_all};

/// Queue and route policies under mixes and floods of requests.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "requests")]
pub struct Options {
    /// seed of the random numbers
    #[argh(option, default = "1")]
    seed: u64,
    /// print JSON in place of a table
    #[argh(switch)]
    json: bool,
    /// run one scenario only: normal, busy, flood-heavy, flood-batch, flood-urgent, flood-team or misjudged
    #[argh(option, from_str_fn(scenario))]
    scenario: Option<Scenario>,
    /// run one system only: ours, fifo, strict-priority, random-backend or host-quota
    #[argh(option, from_str_fn(system))]
    system: Option<System>,
}

fn system(name: &str) -> Result<System, String> {
    let found = System::ALL.into_iter().find(|system| system.as_str() == name);
    found.ok_or_else(|| format!("system {name:?} does not exist"))
}

fn scenario(name: &str) -> Result<Scenario, String> {
    let found = Scenario::ALL.into_iter().find(|scenario| scenario.as_str() == name);
    found.ok_or_else(|| format!("scenario {name:?} does not exist"))
}

/// Runs the experiment and prints its figures.
pub fn run(options: &Options) {
    let rows = rows(&run_all(options.seed, options.scenario, options.system));
    if options.json {
        println!("{}", serde_json::to_string_pretty(&rows).expect("plain data"));
    } else {
        print(&rows);
    }
}
