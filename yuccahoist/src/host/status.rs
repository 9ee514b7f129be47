//! Status report for operators.

use super::Host;
use crate::event::{HostConfigStatus, HostStatus, OwnedStatus};

impl Host {
    /// Returns the state of this host and the last heartbeat data of its peers.
    #[must_use]
    pub fn status(&self) -> HostStatus {
        let own = self.heartbeat();
        let mut hosts = vec![HostConfigStatus {
            host: own.host,
            site: own.site,
            revision: own.revision,
            offset: own.offset,
            digest: own.digest,
            suspected: false,
        }];
        hosts.extend(self.peers.states.iter().map(|(incarnation, state)| HostConfigStatus {
            host: state.host.clone(),
            site: state.heartbeat.site.clone(),
            revision: state.heartbeat.revision,
            offset: state.heartbeat.offset,
            digest: state.heartbeat.digest,
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
            log: self.streams.all_available(),
            hosts,
            owned: owned.collect(),
        }
    }
}
