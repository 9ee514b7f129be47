//! Section `workers`.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::address::Addresses;
use crate::id::{ShardId, WorkerId, ZoneId};
use crate::unit::{Accelerators, Connections, CpuMillis, MemoryMib, Resources, Slots};

/// Workers of the cell in a document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkersSection {
    /// Racks of identical workers.
    pub racks: Vec<RackSection>,
}

/// Rack of identical workers in a document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RackSection {
    /// Name of the rack and of its shard. Its workers are named `{rack}-{number}`, counted from 1.
    pub rack: ShardId,
    /// Availability zone of all workers in the rack.
    pub zone: ZoneId,
    /// Number of workers.
    pub workers: u32,
    /// Capacity of each worker.
    pub capacity: CapacitySection,
    /// Addresses of the backend servers, which run requests.
    pub backend: Addresses,
    /// Addresses of the agents, which run tasks.
    pub agent: Addresses,
}

/// Capacity of a worker in a document.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CapacitySection {
    /// CPU, thousandths of a core.
    #[serde(rename = "cpu_millis")]
    pub cpu: CpuMillis,
    /// Memory, MiB.
    #[serde(rename = "memory_mib")]
    pub memory: MemoryMib,
    /// Number of accelerators.
    #[serde(default)]
    pub accelerators: Accelerators,
    /// Requests that the backend server runs at a time.
    pub slots: Slots,
    /// Connections that the backend server accepts; at least the number of slots.
    pub connections: Connections,
}

impl CapacitySection {
    /// Returns the resources for tasks, without slots and connections.
    #[must_use]
    pub const fn resources(self) -> Resources {
        Resources { cpu: self.cpu, memory: self.memory, accelerators: self.accelerators }
    }
}

impl WorkersSection {
    /// Converts the section to the effective racks. Workers without a valid address are omitted.
    pub(super) fn build(&self) -> BTreeMap<ShardId, RackConfig> {
        self.racks.iter().map(|section| (section.rack.clone(), section.build())).collect()
    }
}

impl RackSection {
    fn build(&self) -> RackConfig {
        let workers = (1..=self.workers).filter_map(|number| self.worker(number)).collect();
        RackConfig { zone: self.zone.clone(), workers }
    }

    fn worker(&self, number: u32) -> Option<WorkerConfig> {
        Some(WorkerConfig {
            worker: format!("{}-{number}", self.rack).parse().ok()?,
            capacity: self.capacity.resources(),
            slots: self.capacity.slots,
            connections: self.capacity.connections,
            backend: self.backend.resolve(number).ok()?,
            agent: self.agent.resolve(number).ok()?,
        })
    }
}

/// Rack in the effective configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RackConfig {
    /// Availability zone of all workers in the rack.
    pub zone: ZoneId,
    /// Workers in the order of their numbers.
    pub workers: Vec<WorkerConfig>,
}

/// Worker in the effective configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerConfig {
    /// Identifier, `{rack}-{number}`.
    pub worker: WorkerId,
    /// Resources that tasks can reserve.
    pub capacity: Resources,
    /// Requests that the backend server runs at a time.
    pub slots: Slots,
    /// Connections that the backend server accepts; at least the number of slots.
    pub connections: Connections,
    /// Address of the backend server, which runs requests.
    pub backend: SocketAddr,
    /// Address of the agent, which runs tasks.
    pub agent: SocketAddr,
}
