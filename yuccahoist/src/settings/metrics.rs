//! Section `metrics.json`.

use std::net::SocketAddr;
use std::time::Duration;

use super::Section;
use crate::id::HostId;

/// Receiver of metrics.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MetricsSettings {
    /// Statsd address (UDP); none writes no metrics.
    pub statsd: Option<SocketAddr>,
    /// First part of every name.
    pub prefix: String,
    /// Time between writes.
    pub interval: Duration,
}

impl Default for MetricsSettings {
    fn default() -> Self {
        Self { statsd: None, prefix: "yuccahoist".into(), interval: Duration::from_secs(1) }
    }
}

pub(super) fn parse(section: &mut Section<'_>) -> MetricsSettings {
    let default = MetricsSettings::default();
    let prefix: Option<HostId> =
        section.optional("prefix", "1 to 64 characters of a-z, A-Z, 0-9, '-', '_' and '.'");
    MetricsSettings {
        statsd: section.optional("statsd", "an IP address and port such as 127.0.0.1:8125, or null"),
        prefix: prefix.map_or(default.prefix, String::from),
        interval: section.millis("interval_ms", 1_000, 100..=60_000),
    }
}
