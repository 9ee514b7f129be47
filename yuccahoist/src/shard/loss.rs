//! Losses of workers under their runs.

use std::fmt;

/// What became of a lost worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkerFate {
    /// A later incarnation shows that the worker crashed.
    Crashed,
    /// The worker left after draining.
    Left,
    /// The lease expired without an answer: the worker crashed, or is only unreachable.
    Unknown,
}

impl fmt::Display for WorkerFate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Crashed => "crashed",
            Self::Left => "left",
            Self::Unknown => "unknown",
        })
    }
}
