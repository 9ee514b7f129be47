//! Fault switches of the log.

use serde::{Deserialize, Serialize};

/// Fault switches of the log; all off by default.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogFaults {
    /// Whether every call fails without effect.
    pub down: bool,
    /// Delay before each call takes effect, milliseconds.
    pub slow_ms: u64,
    /// Whether appends take effect and their answers are lost.
    pub lose_answer: bool,
    /// Records that each stream keeps; all if absent.
    pub keep: Option<usize>,
}
