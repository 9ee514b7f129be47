//! Section `listen.json`.

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use super::Section;

/// Largest body of a request by default, bytes.
const BODY_LIMIT: u64 = 1 << 20;
/// Largest body that can be allowed, bytes; a peer message must hold it.
const MAX_BODY_LIMIT: u64 = 8 << 20;
/// Open calls by default. Each holds a connection and a body.
const OPEN_CALLS: u64 = 10_000;

/// Listening addresses and limits of the caller interface.
#[derive(Debug, Clone)]
pub struct ListenSettings {
    /// Address for callers.
    pub api: SocketAddr,
    /// Address for peers; also the address that is announced to them.
    pub peer: SocketAddr,
    /// Addresses of other hosts, to ask for state while the log is unavailable.
    pub peers: Vec<SocketAddr>,
    /// Largest body of a request, bytes.
    pub body_limit: usize,
    /// Calls that may be open at once.
    pub open_calls: usize,
    /// Time between the first `/v1/ready` with 503 and the refusal of connections, for the balancer to notice.
    pub stop_delay: Duration,
}

impl ListenSettings {
    /// Settings with default limits.
    #[must_use]
    pub const fn new(api: SocketAddr, peer: SocketAddr) -> Self {
        Self {
            api,
            peer,
            peers: Vec::new(),
            body_limit: BODY_LIMIT as usize,
            open_calls: OPEN_CALLS as usize,
            stop_delay: Duration::from_millis(500),
        }
    }
}

pub(super) fn parse(section: &mut Section<'_>) -> Option<ListenSettings> {
    let address_form = "an IP address and port such as 10.0.0.1:7400";
    let api = section.required("api", address_form);
    let peer =
        section.required("peer", "an IP address that peers can reach and a port such as 10.0.0.1:7401");
    let peers = section.list("peers", "a list of IP addresses and ports such as 10.0.0.2:7401");
    let body_limit = section.number("body_limit", BODY_LIMIT, 1..=MAX_BODY_LIMIT);
    let open_calls = section.number("open_calls", OPEN_CALLS, 1..=1_000_000);
    let stop_delay = section.millis("stop_delay_ms", 500, 0..=60_000);
    let mut listen = ListenSettings::new(api?, peer.map(|Reachable(peer)| peer)?);
    listen.peers = peers;
    listen.body_limit = usize::try_from(body_limit).unwrap_or(usize::MAX);
    listen.open_calls = usize::try_from(open_calls).unwrap_or(usize::MAX);
    listen.stop_delay = stop_delay;
    Some(listen)
}

/// Address that can be announced to peers, unlike `0.0.0.0`.
struct Reachable(SocketAddr);

impl FromStr for Reachable {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        let address: SocketAddr = text.parse().map_err(|_| ())?;
        if address.ip().is_unspecified() { Err(()) } else { Ok(Self(address)) }
    }
}
