//! Commands.

mod check;
mod diff;
mod history;
mod publish;
mod show;

use crate::cli::Command;
use crate::error::CommandError;

/// Runs a command.
pub async fn run(command: Command) -> Result<(), CommandError> {
    match command {
        Command::Check(args) => check::run(&args),
        Command::Diff(args) => diff::run(&args).await,
        Command::Publish(args) => publish::run(args).await,
        Command::Show(args) => show::run(&args).await,
        Command::History(args) => history::run(&args).await,
    }
}
