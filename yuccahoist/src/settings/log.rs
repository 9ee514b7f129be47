//! Section `log.json`.

use std::time::Duration;

use super::Section;

/// Retention by default, one day, milliseconds.
const RETENTION_MS: u64 = 24 * 3_600 * 1_000;

/// Timing of the log stream client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogSettings {
    /// Longest time to connect.
    pub connect_timeout: Duration,
    /// Longest time of an append before its outcome counts as unknown.
    pub append_timeout: Duration,
    /// Longest time of a read beyond the wait that it asked for.
    pub read_timeout: Duration,
    /// Time for which the log service keeps records.
    pub retention: Duration,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(500),
            append_timeout: Duration::from_secs(1),
            read_timeout: Duration::from_secs(1),
            retention: Duration::from_millis(RETENTION_MS),
        }
    }
}

pub(super) fn parse(section: &mut Section<'_>) -> LogSettings {
    LogSettings {
        connect_timeout: section.millis("connect_timeout_ms", 500, 10..=10_000),
        append_timeout: section.millis("append_timeout_ms", 1_000, 50..=60_000),
        read_timeout: section.millis("read_timeout_ms", 1_000, 50..=60_000),
        retention: section.millis("retention_ms", RETENTION_MS, 60_000..=30 * RETENTION_MS),
    }
}
