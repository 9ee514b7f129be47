//! Settings in `metrics.json`.

use std::net::SocketAddr;
use std::time::Duration;

use super::Section;
use crate::id::HostId;

/// Destination and interval of metrics.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MetricsSettings {
    /// Address of the statsd receiver (UDP); `None` disables metrics.
    pub statsd: Option<SocketAddr>,
    /// Prefix of every metric name.
    pub prefix: String,
    /// Interval at which counters are sent.
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
