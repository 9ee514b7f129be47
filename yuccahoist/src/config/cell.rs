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

/// Number of partitions of teams.
pub const PARTITIONS: u16 = 16;

/// Base document with the overlay of one site, checked and typed.
#[derive(Debug, Clone, PartialEq)]
pub struct CellConfig {
    /// Name of the cell.
    pub cell: String,
    /// Site whose overlay is merged in.
    pub site: SiteId,
    /// All sites of the cell.
    pub sites: BTreeSet<SiteId>,
    /// Limits per class.
    pub classes: BTreeMap<Class, ClassLimits>,
    /// Teams.
    pub teams: BTreeMap<TeamId, TeamConfig>,
    /// Racks with their workers.
    pub racks: BTreeMap<ShardId, RackConfig>,
    /// Services.
    pub services: BTreeMap<ServiceId, ServiceConfig>,
    /// Batch jobs that may be submitted by name.
    pub batch: BTreeMap<JobId, JobConfig>,
    /// Gangs that may be submitted by name.
    pub gangs: BTreeMap<JobId, JobConfig>,
    /// Limits of the request path.
    pub limits: LimitsConfig,
    /// Longest run limit of any class at any site; a successor waits for it, whatever site the earlier owner is in.
    pub cell_run_limit: Duration,
    /// Rack and place in it of each worker.
    pub(super) index: BTreeMap<WorkerId, (ShardId, usize)>,
    /// Digest of the merged document; the same at all hosts that have the same configuration in force.
    pub digest: u64,
}

impl CellConfig {
    /// Workers with their racks, in order.
    pub fn workers(&self) -> impl Iterator<Item = (&ShardId, &RackConfig, &WorkerConfig)> {
        self.racks.iter().flat_map(|(id, rack)| rack.workers.iter().map(move |worker| (id, rack, worker)))
    }

    /// Worker by its id.
    #[must_use]
    pub fn worker(&self, id: &WorkerId) -> Option<&WorkerConfig> {
        let (shard, place) = self.index.get(id)?;
        self.racks.get(shard)?.workers.get(*place)
    }

    /// Subjects of ownership leases: all racks and partitions.
    #[must_use]
    pub fn subjects(&self) -> BTreeSet<Subject> {
        let shards = self.racks.keys().cloned().map(Subject::Shard);
        let partitions = (0..PARTITIONS).map(|index| Subject::Partition(PartitionId(index)));
        shards.chain(partitions).collect()
    }

    /// Workers as the dispatch duty needs them.
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

    /// Workers as the placement duty needs them.
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

    /// Limits of the dispatch duty.
    #[must_use]
    pub fn dispatch_limits(&self) -> DispatchLimits {
        let teams = self.teams.iter().map(|(id, team)| (id.clone(), team.weight)).collect();
        DispatchLimits { classes: self.classes.clone(), teams }
    }

    /// Limits of the front duty.
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

    /// Settings of the coordinator duty.
    #[must_use]
    pub fn coordinator_settings(&self) -> CoordinatorSettings {
        let quotas = self.teams.iter().map(|(id, team)| (id.clone(), team.quota)).collect();
        let services = self.services.values().map(|s| (s.spec.id.clone(), s.spec.clone())).collect();
        let zones = self.racks.iter().map(|(id, rack)| (id.clone(), rack.zone.clone())).collect();
        CoordinatorSettings { quotas, services, shards: self.racks.keys().cloned().collect(), zones }
    }

    /// Index of the workers of racks.
    pub(super) fn index(racks: &BTreeMap<ShardId, RackConfig>) -> BTreeMap<WorkerId, (ShardId, usize)> {
        let places =
            racks.iter().flat_map(|(id, rack)| rack.workers.iter().enumerate().map(move |w| (id, w)));
        places.map(|(id, (place, worker))| (worker.worker.clone(), (id.clone(), place))).collect()
    }

    fn services_of(&self, shard: &ShardId) -> Vec<ServiceId> {
        let offers =
            |service: &ServiceConfig| service.racks.as_ref().is_none_or(|racks| racks.contains(shard));
        self.services.iter().filter(|(_, s)| offers(s)).map(|(id, _)| id.clone()).collect()
    }
}
