//! Errors of commands and their exit codes.

use std::path::PathBuf;
use std::process::ExitCode;

use thiserror::Error;
use yuccahoist::config::ConfigError;
use yuccahoist::id::{Offset, Revision};

use crate::demo::DemoError;

/// Exit code for invalid documents, rejected edits and revision conflicts.
pub const EXIT_REFUSED: u8 = 1;
/// Exit code for usage errors, unreadable files and failed calls.
pub const EXIT_USAGE_OR_IO: u8 = 2;

/// Error that ends a command.
#[derive(Debug, Error)]
pub enum CommandError {
    /// Documents, an edit or a job request were refused; holds one message per error.
    #[error("refused, {} error(s):\n{}", .0.len(), indent_lines(.0))]
    Invalid(Vec<String>),
    /// Edit is based on a revision other than the one in force.
    #[error("conflict: the edit is based on revision {based_on}, but revision {current} is in force")]
    Conflict {
        /// Revision that the edit was made against.
        based_on: Revision,
        /// Revision in force when the edit was checked.
        current: Revision,
    },
    /// Arguments are missing or contradict each other.
    #[error("{0}")]
    Usage(String),
    /// File or directory cannot be read.
    #[error("read {}: {source}", path.display())]
    File {
        /// Path as given, or below a given directory.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// Call to the log service or an entry host failed.
    #[error("{step} at {peer}: {reason}")]
    Call {
        /// Step that failed, as a verb phrase.
        step: &'static str,
        /// Address of the log service or the host.
        peer: String,
        /// Transport error, or status and body of the response.
        reason: String,
    },
    /// Demo failed before it could print its report.
    #[error("{0}")]
    Demo(#[from] DemoError),
    /// Edit was appended, but no verdict appeared before the deadline.
    #[error(
        "edit is in the log at offset {edit}, but has no verdict yet; \"history\" shows it once it is decided"
    )]
    Undecided {
        /// Offset of the edit in the `config` stream.
        edit: Offset,
    },
}

impl CommandError {
    /// Returns the exit code of the process.
    #[must_use]
    pub fn exit_code(&self) -> ExitCode {
        match self {
            Self::Invalid(_) | Self::Conflict { .. } => ExitCode::from(EXIT_REFUSED),
            Self::Usage(_)
            | Self::File { .. }
            | Self::Call { .. }
            | Self::Demo(_)
            | Self::Undecided { .. } => ExitCode::from(EXIT_USAGE_OR_IO),
        }
    }
}

impl From<Vec<ConfigError>> for CommandError {
    fn from(errors: Vec<ConfigError>) -> Self {
        Self::Invalid(errors.iter().map(ToString::to_string).collect())
    }
}

fn indent_lines(errors: &[String]) -> String {
    let lines: Vec<String> = errors.iter().map(|error| format!("  {error}")).collect();
    lines.join("\n")
}
