//! Settings in `platform.json`.

use std::net::SocketAddr;
use std::time::Duration;

use super::Section;

/// Addresses of the platform services and timeouts of calls to them.
#[derive(Debug, Clone)]
pub struct PlatformSettings {
    /// Address of the log service.
    pub log: SocketAddr,
    /// Address of the service that lists the hosts.
    pub hosts: SocketAddr,
    /// Interval between reads of the host list.
    pub poll: Duration,
    /// Timeout for connecting to a backend server, a worker or the host list.
    pub connect_timeout: Duration,
    /// Timeout of a worker command or a read of the host list.
    pub call_timeout: Duration,
}

impl PlatformSettings {
    /// Creates settings with default timeouts.
    #[must_use]
    pub const fn new(log: SocketAddr, hosts: SocketAddr) -> Self {
        Self {
            log,
            hosts,
            poll: Duration::from_millis(500),
            connect_timeout: Duration::from_millis(150),
            call_timeout: Duration::from_secs(2),
        }
    }
}

pub(super) fn parse(section: &mut Section<'_>) -> Option<PlatformSettings> {
    let address_format = "an IP address and port such as 10.0.0.1:7500";
    let log = section.required("log", address_format);
    let hosts = section.required("hosts", address_format);
    let poll = section.millis("poll_ms", 500, 50..=10_000);
    let connect_timeout = section.millis("connect_timeout_ms", 150, 10..=10_000);
    let call_timeout = section.millis("call_timeout_ms", 2_000, 50..=60_000);
    Some(PlatformSettings { poll, connect_timeout, call_timeout, ..PlatformSettings::new(log?, hosts?) })
}
