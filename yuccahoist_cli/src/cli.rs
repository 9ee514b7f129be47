//! Command-line arguments.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use argh::{EarlyExit, FromArgs};
use yuccahoist::config::DocumentName;
use yuccahoist::id::{JobId, Revision};

use crate::demo::DemoArgs;
use crate::error::EXIT_USAGE_OR_IO;

/// operates a yuccahoist cell
#[derive(Debug, PartialEq, FromArgs)]
pub struct Cli {
    /// command to run
    #[argh(subcommand)]
    pub command: Command,
}

/// Command with its arguments.
#[derive(Debug, PartialEq, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Validates files without publishing them.
    Check(CheckArgs),
    /// Compares files with the documents in force.
    Diff(DiffArgs),
    /// Publishes one document and waits for the outcome.
    Publish(PublishArgs),
    /// Shows the configuration in force by site and host.
    Show(ShowArgs),
    /// Lists edits with their outcome.
    History(HistoryArgs),
    /// Submits a job to an entry host.
    Submit(SubmitArgs),
    /// Shows the state of a job and why it is pending.
    Status(StatusArgs),
    /// Cancels a job through any entry host.
    Cancel(CancelArgs),
    /// Runs the demo cluster in this process.
    Demo(DemoArgs),
}

/// submits a job described by a JSON file
#[derive(Debug, PartialEq, FromArgs)]
#[argh(subcommand, name = "submit")]
pub struct SubmitArgs {
    /// address of an entry host, ip:port
    #[argh(option)]
    pub host: SocketAddr,
    /// JSON file with the body of POST /v1/jobs
    #[argh(positional)]
    pub file: PathBuf,
}

/// shows the state of a job and why it is pending
#[derive(Debug, PartialEq, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusArgs {
    /// address of an entry host, ip:port
    #[argh(option)]
    pub host: SocketAddr,
    /// job id
    #[argh(positional)]
    pub job: JobId,
}

/// cancels a job
#[derive(Debug, PartialEq, FromArgs)]
#[argh(subcommand, name = "cancel")]
pub struct CancelArgs {
    /// address of an entry host, ip:port
    #[argh(option)]
    pub host: SocketAddr,
    /// job id
    #[argh(positional)]
    pub job: JobId,
}

/// validates a base file and overlays without publishing them
#[derive(Debug, PartialEq, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct CheckArgs {
    /// files, or directories of files, named base.json or {{site}}.json
    #[argh(positional)]
    pub paths: Vec<PathBuf>,
}

/// compares files with the documents in force
#[derive(Debug, PartialEq, FromArgs)]
#[argh(subcommand, name = "diff")]
pub struct DiffArgs {
    /// address of the log service, ip:port
    #[argh(option)]
    pub log: SocketAddr,
    /// timeout for the log service, seconds (10)
    #[argh(option, default = "10")]
    pub timeout: u64,
    /// files, or directories of files, named base.json or {{site}}.json
    #[argh(positional)]
    pub paths: Vec<PathBuf>,
}

/// publishes a document and waits for the outcome
#[derive(Debug, PartialEq, FromArgs)]
#[argh(subcommand, name = "publish")]
pub struct PublishArgs {
    /// address of the log service, ip:port
    #[argh(option)]
    pub log: SocketAddr,
    /// document: base or the name of a site
    #[argh(option)]
    pub document: DocumentName,
    /// revision that the edit is based on, as "show" prints it
    #[argh(option)]
    pub based_on: Revision,
    /// author recorded in the history
    #[argh(option)]
    pub author: String,
    /// reason for the edit, recorded in the history
    #[argh(option, default = "String::new()")]
    pub note: String,
    /// allow the edit to remove more than half of the capacity
    #[argh(switch)]
    pub allow_capacity_drop: bool,
    /// timeout for the verdict, seconds (10)
    #[argh(option, default = "10")]
    pub timeout: u64,
    /// file with the complete new content; omit to remove an overlay
    #[argh(positional)]
    pub file: Option<PathBuf>,
}

/// shows the configuration in force at each site and at each given host
#[derive(Debug, PartialEq, FromArgs)]
#[argh(subcommand, name = "show")]
pub struct ShowArgs {
    /// address of the log service, ip:port
    #[argh(option)]
    pub log: SocketAddr,
    /// address of a host to query, ip:port; may be repeated
    #[argh(option)]
    pub host: Vec<SocketAddr>,
    /// timeout for the log service or a host, seconds (10)
    #[argh(option, default = "10")]
    pub timeout: u64,
}

/// lists edits with their outcome, oldest first
#[derive(Debug, PartialEq, FromArgs)]
#[argh(subcommand, name = "history")]
pub struct HistoryArgs {
    /// address of the log service, ip:port
    #[argh(option)]
    pub log: SocketAddr,
    /// maximum number of decided edits to list (20)
    #[argh(option, default = "20")]
    pub limit: usize,
    /// timeout for the log service, seconds (10)
    #[argh(option, default = "10")]
    pub timeout: u64,
}

/// Parses the arguments; the first one is the program name and is skipped.
///
/// # Errors
///
/// Returns the exit code once the help or a usage error has been printed.
pub fn parse(args: impl IntoIterator<Item = String>) -> Result<Cli, ExitCode> {
    let args: Vec<String> = args.into_iter().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    Cli::from_args(&["yuccahoist"], &args).map_err(|EarlyExit { output, status }| match status {
        Ok(()) => {
            println!("{output}");
            ExitCode::SUCCESS
        }
        // argh would exit with 1, which is the exit code of refused edits.
        Err(()) => {
            eprintln!("{output}");
            ExitCode::from(EXIT_USAGE_OR_IO)
        }
    })
}
