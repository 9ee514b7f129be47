//! State of the host for operators.

use super::Host;
use crate::event::{HostStatus, InForce, OwnedStatus};

impl Host {
    /// State of this host and what it knows of the others.
    #[must_use]
    pub fn status(&self) -> HostStatus {
        let own = self.heartbeat();
        let mut hosts = vec![InForce {
            host: own.host,
            site: own.site,
            revision: own.revision,
            offset: own.offset,
            digest: own.digest,
            suspected: false,
        }];
        hosts.extend(self.peers.known.iter().map(|(incarnation, known)| InForce {
            host: known.host.clone(),
            site: known.heartbeat.site.clone(),
            revision: known.heartbeat.revision,
            offset: known.heartbeat.offset,
            digest: known.heartbeat.digest,
            suspected: self.membership.is_suspected(*incarnation),
        }));
        let owned = self.grants.values().map(|grant| OwnedStatus {
            subject: grant.subject.clone(),
            epoch: grant.epoch,
            share: grant.share,
        });
        HostStatus {
            host: self.member.host.clone(),
            incarnation: self.incarnation(),
            ready: self.is_ready(),
            log: self.streams.available(),
            hosts,
            owned: owned.collect(),
        }
    }
}
