//! Arguments.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use argh::{EarlyExit, FromArgs};
use yuccahoist::config::DocumentName;
use yuccahoist::id::{JobId, Revision};

use crate::demo::DemoArgs;
use crate::error::USAGE_OR_IO;

/// operates a yuccahoist cell
#[derive(Debug, PartialEq, FromArgs)]
pub struct Cli {
    /// what to do
    #[argh(subcommand)]
    pub command: Command,
}

/// Command with its arguments.
#[derive(Debug, PartialEq, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Checks documents.
    Check(CheckArgs),
    /// Compares documents with those in force.
    Diff(DiffArgs),
    /// Publishes a document.
    Publish(PublishArgs),
    /// Shows what is in force.
    Show(ShowArgs),
    /// Lists edits.
    History(HistoryArgs),
    /// Submits a job.
    Submit(SubmitArgs),
    /// Shows the state of a job.
    Status(StatusArgs),
    /// Cancels a job.
    Cancel(CancelArgs),
    /// Runs the demonstration.
    Demo(DemoArgs),
}

/// submits a job that a JSON file describes
#[derive(Debug, PartialEq, FromArgs)]
#[argh(subcommand, name = "submit")]
pub struct SubmitArgs {
    /// address of an entry host, ip:port
    #[argh(option)]
    pub host: SocketAddr,
    /// file with the description, as POST /v1/jobs takes it
    #[argh(positional)]
    pub file: PathBuf,
}

/// shows the state of a job and why it waits
#[derive(Debug, PartialEq, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusArgs {
    /// address of an entry host, ip:port
    #[argh(option)]
    pub host: SocketAddr,
    /// job
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
    /// job
    #[argh(positional)]
    pub job: JobId,
}

/// checks a base file and overlays without publishing them
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
    /// time to wait for the log, seconds (10)
    #[argh(option, default = "10")]
    pub timeout: u64,
    /// files, or directories of files, named base.json or {{site}}.json
    #[argh(positional)]
    pub paths: Vec<PathBuf>,
}

/// publishes a document and waits for the verdict
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
    /// who publishes
    #[argh(option)]
    pub author: String,
    /// why
    #[argh(option, default = "String::new()")]
    pub note: String,
    /// allow the edit to take away more than half of the capacity
    #[argh(switch)]
    pub allow_capacity_drop: bool,
    /// time to wait for the verdict, seconds (10)
    #[argh(option, default = "10")]
    pub timeout: u64,
    /// file with the whole new content; leave out to remove an overlay
    #[argh(positional)]
    pub file: Option<PathBuf>,
}

/// shows the configuration that is in force at each site, and at each host that is asked
#[derive(Debug, PartialEq, FromArgs)]
#[argh(subcommand, name = "show")]
pub struct ShowArgs {
    /// address of the log service, ip:port
    #[argh(option)]
    pub log: SocketAddr,
    /// address of a host to ask, ip:port; may be repeated
    #[argh(option)]
    pub host: Vec<SocketAddr>,
    /// time to wait for the log or a host, seconds (10)
    #[argh(option, default = "10")]
    pub timeout: u64,
}

/// lists edits and how they were decided, oldest first
#[derive(Debug, PartialEq, FromArgs)]
#[argh(subcommand, name = "history")]
pub struct HistoryArgs {
    /// address of the log service, ip:port
    #[argh(option)]
    pub log: SocketAddr,
    /// number of edits (20)
    #[argh(option, default = "20")]
    pub limit: usize,
    /// time to wait for the log, seconds (10)
    #[argh(option, default = "10")]
    pub timeout: u64,
}

/// Arguments of the process.
///
/// # Errors
///
/// Fails with the exit code after the help or the usage error was printed.
pub fn parse(args: impl IntoIterator<Item = String>) -> Result<Cli, ExitCode> {
    let args: Vec<String> = args.into_iter().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    Cli::from_args(&["yuccahoist"], &args).map_err(|EarlyExit { output, status }| match status {
        Ok(()) => {
            println!("{output}");
            ExitCode::SUCCESS
        }
        // argh itself would exit with 1, which here means that an edit was refused.
        Err(()) => {
            eprintln!("{output}");
            ExitCode::from(USAGE_OR_IO)
        }
    })
}
