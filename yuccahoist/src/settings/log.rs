//! Settings in `log.json`.

use std::time::Duration;

use super::Section;

/// Default of `retention_ms`, one day.
const DEFAULT_RETENTION_MS: u64 = 24 * 3_600 * 1_000;

/// Timeouts and retention of the log stream client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogSettings {
    /// Timeout for connecting to the log service.
    pub connect_timeout: Duration,
    /// Timeout of an append, after which its outcome is treated as unknown.
    pub append_timeout: Duration,
    /// Timeout of a read, in addition to the long-poll wait of that read.
    pub read_timeout: Duration,
    /// Time for which the log service retains records.
    pub retention: Duration,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(500),
            append_timeout: Duration::from_secs(1),
            read_timeout: Duration::from_secs(1),
            retention: Duration::from_millis(DEFAULT_RETENTION_MS),
        }
    }
}

pub(super) fn parse(section: &mut Section<'_>) -> LogSettings {
    LogSettings {
        connect_timeout: section.millis("connect_timeout_ms", 500, 10..=10_000),
        append_timeout: section.millis("append_timeout_ms", 1_000, 50..=60_000),
        read_timeout: section.millis("read_timeout_ms", 1_000, 50..=60_000),
        retention: section.millis("retention_ms", DEFAULT_RETENTION_MS, 60_000..=30 * DEFAULT_RETENTION_MS),
    }
}
