//! `check`: validates a base file and overlays without access to the log.

use yuccahoist::config::validate;

use crate::cli::CheckArgs;
use crate::documents;
use crate::error::CommandError;

/// Validates the files as one document set and lists all errors.
pub fn run(args: &CheckArgs) -> Result<(), CommandError> {
    let set = documents::collect(documents::load(&args.paths)?);
    validate(&set)?;
    println!("ok: base and {} overlay(s)", set.overlays.len());
    Ok(())
}
