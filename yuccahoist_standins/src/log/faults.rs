//! Fault switches of the log service.

use serde::{Deserialize, Serialize};

/// Faults of the log; all off by default. Also the JSON body of `POST /faults`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogFaults {
    /// Whether every call fails without effect.
    pub down: bool,
    /// Delay before each call takes effect, milliseconds.
    pub slow_ms: u64,
    /// Whether appends take effect and their answers are lost.
    pub lose_answer: bool,
    /// Number of newest records that each stream keeps; `None` keeps all.
    pub keep: Option<usize>,
}
