//! Dispatch of the parsed command line to the subcommands.

mod check;
mod diff;
mod history;
mod job;
mod publish;
mod show;

use std::process::ExitCode;

use crate::cli::Command;
use crate::error::CommandError;

/// Runs a command; only `demo` can succeed with a non-zero exit code.
pub async fn run(command: Command) -> Result<ExitCode, CommandError> {
    match command {
        Command::Demo(args) => return Ok(crate::demo::run(args).await?),
        Command::Submit(args) => job::submit(&args).await,
        Command::Status(args) => job::status(&args).await,
        Command::Cancel(args) => job::cancel(&args).await,
        Command::Check(args) => check::run(&args),
        Command::Diff(args) => diff::run(&args).await,
        Command::Publish(args) => publish::run(args).await,
        Command::Show(args) => show::run(&args).await,
        Command::History(args) => history::run(&args).await,
    }?;
    Ok(ExitCode::SUCCESS)
}
