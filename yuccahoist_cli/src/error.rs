//! Errors of commands and their exit codes.

use std::path::PathBuf;
use std::process::ExitCode;

use thiserror::Error;
use yuccahoist::config::ConfigError;
use yuccahoist::id::{Offset, Revision};

use crate::demo::DemoError;

/// Exit code when documents or an edit are refused, or conflict.
pub const REFUSED: u8 = 1;
/// Exit code of usage errors and failed calls.
pub const USAGE_OR_IO: u8 = 2;

/// Failure of a command.
#[derive(Debug, Error)]
pub enum CommandError {
    /// Documents are not valid.
    #[error("refused, {} error(s):\n{}", .0.len(), lines(.0))]
    Invalid(Vec<String>),
    /// Edit is based on another revision than the one in force.
    #[error("conflict: the edit is based on revision {based_on}, but revision {current} is in force")]
    Conflict {
        /// Revision that the edit names.
        based_on: Revision,
        /// Revision in force.
        current: Revision,
    },
    /// Arguments do not fit together.
    #[error("{0}")]
    Usage(String),
    /// File cannot be read.
    #[error("read {}: {source}", path.display())]
    File {
        /// Path.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// Log or a host did not answer as needed.
    #[error("{step} at {peer}: {reason}")]
    Call {
        /// What was attempted.
        step: &'static str,
        /// Address of the other side.
        peer: String,
        /// Reason.
        reason: String,
    },
    /// Demonstration cannot run.
    #[error("{0}")]
    Demo(#[from] DemoError),
    /// Edit is in the log and no verdict has appeared.
    #[error(
        "edit is in the log at offset {edit}, but has no verdict yet; \"history\" shows it once it is decided"
    )]
    Undecided {
        /// Offset of the edit.
        edit: Offset,
    },
}

impl CommandError {
    /// Exit code.
    #[must_use]
    pub fn exit_code(&self) -> ExitCode {
        match self {
            Self::Invalid(_) | Self::Conflict { .. } => ExitCode::from(REFUSED),
            Self::Usage(_)
            | Self::File { .. }
            | Self::Call { .. }
            | Self::Demo(_)
            | Self::Undecided { .. } => ExitCode::from(USAGE_OR_IO),
        }
    }
}

impl From<Vec<ConfigError>> for CommandError {
    fn from(errors: Vec<ConfigError>) -> Self {
        Self::Invalid(errors.iter().map(ToString::to_string).collect())
    }
}

fn lines(errors: &[String]) -> String {
    let lines: Vec<String> = errors.iter().map(|error| format!("  {error}")).collect();
    lines.join("\n")
}
