//! `check`: validates files.

use yuccahoist::config::validate;

use crate::cli::CheckArgs;
use crate::documents;
use crate::error::CommandError;

/// Runs the command.
pub fn run(args: &CheckArgs) -> Result<(), CommandError> {
    let set = documents::collect(documents::load(&args.paths)?);
    validate(&set)?;
    println!("ok: base and {} overlay(s)", set.overlays.len());
    Ok(())
}
