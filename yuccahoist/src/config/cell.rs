//! Effective configuration of a site.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::{JobConfig, LimitsConfig, RackConfig, ServiceConfig, TeamConfig, WorkerConfig};
use crate::dispatch::{BackendSpec, ClassLimits, DispatchLimits};
use crate::front::FrontLimits;
use crate::id::{JobId, PartitionId, ServiceId, ShardId, SiteId, Subject, TeamId, WorkerId};
use crate::job::CoordinatorSettings;
use crate::placement::WorkerSpec;
use crate::request::Class;

/// Number of partitions that teams are distributed over.
pub const PARTITION_COUNT: u16 = 16;

/// Base document merged with the overlay of one site, validated and converted to typed values.
#[derive(Debug, Clone, PartialEq)]
pub struct CellConfig {
    /// Name of the cell, from the base document.
    pub cell: String,
    /// Site whose overlay was merged.
    pub site: SiteId,
    /// All sites that have hosts.
    pub sites: BTreeSet<SiteId>,
    /// Share, queue and time limits per request class.
    pub classes: BTreeMap<Class, ClassLimits>,
    /// Quota and weight of each team.
    pub teams: BTreeMap<TeamId, TeamConfig>,
    /// Racks with their workers, by shard.
    pub racks: BTreeMap<ShardId, RackConfig>,
    /// Services with their replicas and racks.
    pub services: BTreeMap<ServiceId, ServiceConfig>,
    /// Batch jobs that can be submitted by name.
    pub batch: BTreeMap<JobId, JobConfig>,
    /// Gangs that can be submitted by name.
    pub gangs: BTreeMap<JobId, JobConfig>,
    /// Limits of the request path.
    pub limits: LimitsConfig,
    /// Longest run limit of any class at any site. The new owner of a shard waits for it, because the former owner may
    /// be at another site.
    pub cell_run_limit: Duration,
    /// Rack of each worker and its position in that rack.
    pub(super) index: BTreeMap<WorkerId, (ShardId, usize)>,
    /// Digest of the merged document; equal at all hosts of a site with the same revision in force.
    pub digest: u64,
}

impl CellConfig {
    /// Iterates over all workers with their racks, by shard and worker number.
    pub fn workers(&self) -> impl Iterator<Item = (&ShardId, &RackConfig, &WorkerConfig)> {
        self.racks.iter().flat_map(|(id, rack)| rack.workers.iter().map(move |worker| (id, rack, worker)))
    }

    /// Returns the worker with this identifier, if it is configured.
    #[must_use]
    pub fn worker(&self, id: &WorkerId) -> Option<&WorkerConfig> {
        let (shard, position) = self.index.get(id)?;
        self.racks.get(shard)?.workers.get(*position)
    }

    /// Returns the subjects of ownership leases: all shards and partitions.
    #[must_use]
    pub fn subjects(&self) -> BTreeSet<Subject> {
        let shards = self.racks.keys().cloned().map(Subject::Shard);
        let partitions = (0..PARTITION_COUNT).map(|index| Subject::Partition(PartitionId(index)));
        shards.chain(partitions).collect()
    }

    /// Returns the workers in the form that the dispatch duty uses.
    #[must_use]
    pub fn backends(&self) -> Vec<BackendSpec> {
        let spec = |(shard, _, worker): (&ShardId, &RackConfig, &WorkerConfig)| BackendSpec {
            worker: worker.worker.clone(),
            shard: shard.clone(),
            services: self.services_of(shard),
            slots: worker.slots,
            connections: worker.connections,
        };
        self.workers().map(spec).collect()
    }

    /// Returns the workers in the form that the placement duty uses.
    #[must_use]
    pub fn worker_specs(&self) -> Vec<WorkerSpec> {
        let spec = |(shard, rack, worker): (&ShardId, &RackConfig, &WorkerConfig)| WorkerSpec {
            worker: worker.worker.clone(),
            shard: shard.clone(),
            zone: rack.zone.clone(),
            capacity: worker.capacity,
        };
        self.workers().map(spec).collect()
    }

    /// Returns the class limits and team weights for the dispatch duty.
    #[must_use]
    pub fn dispatch_limits(&self) -> DispatchLimits {
        let teams = self.teams.iter().map(|(id, team)| (id.clone(), team.weight)).collect();
        DispatchLimits { classes: self.classes.clone(), teams }
    }

    /// Returns the limits on incoming requests for the front duty.
    #[must_use]
    pub fn front_limits(&self) -> FrontLimits {
        FrontLimits {
            services: self.services.keys().cloned().collect(),
            teams: self.teams.keys().cloned().collect(),
            id_window: self.limits.id_window,
            clock_skew: self.limits.clock_skew,
            retry_share: self.limits.retry_share,
            intent_rate: self.limits.intent_rate,
            intent_batch: self.limits.intent_batch,
        }
    }

    /// Returns the quotas, services and shards for the coordinator duty.
    #[must_use]
    pub fn coordinator_settings(&self) -> CoordinatorSettings {
        let quotas = self.teams.iter().map(|(id, team)| (id.clone(), team.quota)).collect();
        let services = self.services.values().map(|s| (s.spec.id.clone(), s.spec.clone())).collect();
        let zones = self.racks.iter().map(|(id, rack)| (id.clone(), rack.zone.clone())).collect();
        CoordinatorSettings { quotas, services, shards: self.racks.keys().cloned().collect(), zones }
    }

    /// Builds the index of workers by identifier.
    pub(super) fn index(racks: &BTreeMap<ShardId, RackConfig>) -> BTreeMap<WorkerId, (ShardId, usize)> {
        let positions =
            racks.iter().flat_map(|(id, rack)| rack.workers.iter().enumerate().map(move |w| (id, w)));
        positions.map(|(id, (position, worker))| (worker.worker.clone(), (id.clone(), position))).collect()
    }

    /// Returns the services whose requests may run in a shard.
    fn services_of(&self, shard: &ShardId) -> Vec<ServiceId> {
        let offers =
            |service: &ServiceConfig| service.racks.as_ref().is_none_or(|racks| racks.contains(shard));
        self.services.iter().filter(|(_, s)| offers(s)).map(|(id, _)| id.clone()).collect()
    }
}
