//! Section `host.json`.

use rand::RngExt;

use super::Section;
use crate::id::{HostId, Incarnation, SiteId, ZoneId};

/// Most threads for callers and the platform.
const MAX_IO_THREADS: u64 = 64;

/// Identity and threads.
#[derive(Debug, Clone)]
pub struct HostSettings {
    /// Name.
    pub name: HostId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Site whose overlay applies.
    pub site: SiteId,
    /// Threads for callers and the platform; 0 runs them on the thread of the host actor.
    pub io_threads: usize,
    /// Process start, drawn at random when the settings are read.
    pub incarnation: Incarnation,
}

impl HostSettings {
    /// Settings with a random incarnation and all on one thread.
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
    let name_form = "1 to 64 characters of a-z, A-Z, 0-9, '-', '_' and '.'";
    let name = section.required("name", name_form);
    let zone = section.required("zone", name_form);
    let site = section.required("site", name_form);
    let threads = section.number("io_threads", 0, 0..=MAX_IO_THREADS);
    let mut host = HostSettings::new(name?, zone?, site?);
    host.io_threads = usize::try_from(threads).unwrap_or_default();
    Some(host)
}
