//! Demo: several entry hosts under a mixed load, with a drain, an edit, a planned stop, a kill and a restart.
//!
//! Everything runs in this process. The invariants are checked against the stand-ins' records of what they ran, not
//! against what the hosts report.

mod caller;
mod checks;
mod invariant;
mod jobs;
mod load;
mod report;
mod script;

use std::io::IsTerminal;
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use thiserror::Error;
use yuccahoist_standins::cluster::{Cluster, ClusterError, ClusterOptions};

use self::caller::Callers;
use self::report::Report;

/// Timeout for all hosts to be ready, and again for all racks and partitions to be owned.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// runs entry hosts, stand-ins and a mixed load in one process, injects failures and checks every invariant
#[derive(Debug, PartialEq, FromArgs)]
#[argh(subcommand, name = "demo")]
pub struct DemoArgs {
    /// seed of the random load (1)
    #[argh(option, default = "1")]
    pub seed: u64,
    /// duration of the load, seconds, 10 to 600 (12)
    #[argh(option, default = "12")]
    pub seconds: u64,
    /// number of entry hosts, 3 to 9 (5)
    #[argh(option, default = "5")]
    pub hosts: usize,
    /// print the report as JSON
    #[argh(switch)]
    pub json: bool,
}

/// Error that ends the demo before its report.
#[derive(Debug, Error)]
pub enum DemoError {
    /// Option value is out of range.
    #[error("--{field} is {value}; allowed: {allowed}")]
    Argument {
        /// Name of the option, without its dashes.
        field: &'static str,
        /// Value on the command line.
        value: u64,
        /// Allowed range, as printed.
        allowed: &'static str,
    },
    /// Cluster did not start, or did not reach a state in time.
    #[error("{0}")]
    Cluster(#[from] ClusterError),
    /// Report cannot be serialised as JSON.
    #[error("serialise report: {0}")]
    Report(#[from] serde_json::Error),
}

/// Runs the demo; the exit code is non-zero if an invariant was violated.
///
/// # Errors
///
/// Fails when an option is out of range, the cluster does not start or an edit cannot be published.
pub async fn run(args: DemoArgs) -> Result<ExitCode, DemoError> {
    check_ranges(&args)?;
    let progress = Progress::new(args.json);
    progress.print("starting hosts and stand-ins");
    let options = ClusterOptions::builder().hosts(args.hosts).build();
    let mut cluster = Cluster::start(options).await?;
    cluster.wait_for_status("configuration in force", START_TIMEOUT, |status| status.ready).await?;
    let elapsed = cluster.wait_for_ownership(START_TIMEOUT).await?;
    progress.print(&format!("all racks and partitions are owned after {} ms", elapsed.as_millis()));
    let callers = Callers::new(cluster.client().clone(), cluster.hosts.values().map(|host| host.api));
    let rng = ChaCha8Rng::seed_from_u64(args.seed);
    let length = Duration::from_secs(args.seconds);
    let load = tokio::spawn(load::run(callers.clone(), rng, length));
    let script = script::run(&mut cluster, &callers, length, &progress).await?;
    let calls = load.await.unwrap_or_default();
    progress.print("waiting for jobs");
    let jobs = jobs::await_jobs(&cluster, &callers).await;
    let report = Report::new(args.seed, &cluster, &calls, &script, &jobs);
    if args.json {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        print!("{report}");
    }
    for name in cluster.hosts.keys().cloned().collect::<Vec<_>>() {
        cluster.stop(&name).await;
    }
    Ok(if report.violations() == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn check_ranges(args: &DemoArgs) -> Result<(), DemoError> {
    if !(10..=600).contains(&args.seconds) {
        return Err(DemoError::Argument { field: "seconds", value: args.seconds, allowed: "10 to 600" });
    }
    if !(3..=9).contains(&args.hosts) {
        return Err(DemoError::Argument { field: "hosts", value: args.hosts as u64, allowed: "3 to 9" });
    }
    Ok(())
}

/// Progress lines on standard error, only on a terminal and without `--json`.
pub(crate) struct Progress {
    is_enabled: bool,
    start: std::time::Instant,
}

impl Progress {
    fn new(json: bool) -> Self {
        let is_enabled = !json && std::io::stderr().is_terminal();
        Self { is_enabled, start: std::time::Instant::now() }
    }

    pub(crate) fn print(&self, text: &str) {
        if self.is_enabled {
            eprintln!("[{:6.2} s] {text}", self.start.elapsed().as_secs_f64());
        }
    }
}
