//! Settings in `host.json`.

use rand::RngExt;

use super::Section;
use crate::id::{HostId, Incarnation, SiteId, ZoneId};

/// Maximum of `io_threads`.
const MAX_IO_THREADS: u64 = 64;

/// Identity and threads of the host.
#[derive(Debug, Clone)]
pub struct HostSettings {
    /// Host name, also reported to peers.
    pub name: HostId,
    /// Availability zone the host runs in.
    pub zone: ZoneId,
    /// Site whose configuration overlay applies to this host.
    pub site: SiteId,
    /// Threads for the HTTP interface and the platform clients; with 0 they share the thread of the host actor.
    pub io_threads: usize,
    /// Incarnation of this process, drawn at random when the settings are read.
    pub incarnation: Incarnation,
}

impl HostSettings {
    /// Creates settings with a random incarnation and no I/O threads.
    #[must_use]
    pub fn new(name: HostId, zone: ZoneId, site: SiteId) -> Self {
        Self {
            name,
            zone,
            site,
            io_threads: 0,
            incarnation: Incarnation(rand::rng().random_range(1..=u64::MAX)),
        }
    }
}

pub(super) fn parse(section: &mut Section<'_>) -> Option<HostSettings> {
    let name_format = "1 to 64 characters of a-z, A-Z, 0-9, '-', '_' and '.'";
    let name = section.required("name", name_format);
    let zone = section.required("zone", name_format);
    let site = section.required("site", name_format);
    let threads = section.number("io_threads", 0, 0..=MAX_IO_THREADS);
    let mut host = HostSettings::new(name?, zone?, site?);
    host.io_threads = usize::try_from(threads).unwrap_or_default();
    Some(host)
}
