//! Settings in `listen.json`.

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use super::Section;

/// Default of `body_limit`.
const DEFAULT_BODY_LIMIT_BYTES: u64 = 1 << 20;
/// Maximum of `body_limit`. A forwarded body must fit in one peer message.
const MAX_BODY_LIMIT_BYTES: u64 = 8 << 20;
/// Default of `open_calls`. Each open call holds a connection and a body in memory.
const DEFAULT_OPEN_CALLS: u64 = 10_000;

/// Listening addresses and limits of the HTTP interface.
#[derive(Debug, Clone)]
pub struct ListenSettings {
    /// Listening address of the HTTP interface for callers.
    pub api: SocketAddr,
    /// Listening address for peers, which is also advertised to them.
    pub peer: SocketAddr,
    /// Seed peer addresses of other hosts, contacted before this host has joined and for state while the log is
    /// unavailable.
    pub peers: Vec<SocketAddr>,
    /// Maximum size of the body of a service call, bytes.
    pub body_limit: usize,
    /// Maximum number of concurrently open calls.
    pub open_calls: usize,
    /// Delay of a graceful stop between the first 503 of `/v1/ready` and the closing of the listener, so that load
    /// balancers stop sending requests first.
    pub stop_delay: Duration,
}

impl ListenSettings {
    /// Creates settings with default limits and no peers.
    #[must_use]
    pub const fn new(api: SocketAddr, peer: SocketAddr) -> Self {
        Self {
            api,
            peer,
            peers: Vec::new(),
            body_limit: DEFAULT_BODY_LIMIT_BYTES as usize,
            open_calls: DEFAULT_OPEN_CALLS as usize,
            stop_delay: Duration::from_millis(500),
        }
    }
}

pub(super) fn parse(section: &mut Section<'_>) -> Option<ListenSettings> {
    let address_format = "an IP address and port such as 10.0.0.1:7400";
    let api = section.required("api", address_format);
    let peer =
        section.required("peer", "an IP address that peers can reach and a port such as 10.0.0.1:7401");
    let peers = section.list("peers", "a list of IP addresses and ports such as 10.0.0.2:7401");
    let body_limit = section.number("body_limit", DEFAULT_BODY_LIMIT_BYTES, 1..=MAX_BODY_LIMIT_BYTES);
    let open_calls = section.number("open_calls", DEFAULT_OPEN_CALLS, 1..=1_000_000);
    let stop_delay = section.millis("stop_delay_ms", 500, 0..=60_000);
    let mut listen = ListenSettings::new(api?, peer.map(|AdvertisedAddress(peer)| peer)?);
    listen.peers = peers;
    listen.body_limit = usize::try_from(body_limit).unwrap_or(usize::MAX);
    listen.open_calls = usize::try_from(open_calls).unwrap_or(usize::MAX);
    listen.stop_delay = stop_delay;
    Some(listen)
}

/// Address that peers can connect to; excludes unspecified addresses such as `0.0.0.0`.
struct AdvertisedAddress(SocketAddr);

impl FromStr for AdvertisedAddress {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        let address: SocketAddr = text.parse().map_err(|_| ())?;
        if address.ip().is_unspecified() { Err(()) } else { Ok(Self(address)) }
    }
}
