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
    /// Racks of equal workers.
    pub racks: Vec<RackSection>,
}

/// Rack of equal workers in a document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RackSection {
    /// Rack; its workers are named `{rack}-{number}`, counted from 1.
    pub rack: ShardId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Number of workers.
    pub workers: u32,
    /// Capacity of each worker.
    pub capacity: CapacitySection,
    /// Addresses of the backend servers.
    pub backend: Addresses,
    /// Addresses of the task agents.
    pub agent: Addresses,
}

/// Capacity of a worker in a document.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CapacitySection {
    /// Processors, thousandths of a core.
    #[serde(rename = "cpu_millis")]
    pub cpu: CpuMillis,
    /// Memory, MiB.
    #[serde(rename = "memory_mib")]
    pub memory: MemoryMib,
    /// Whole accelerators.
    #[serde(default)]
    pub accelerators: Accelerators,
    /// Request slots of the backend server.
    pub slots: Slots,
    /// Connections of the backend server.
    pub connections: Connections,
}

impl CapacitySection {
    /// Part that tasks use.
    #[must_use]
    pub const fn resources(self) -> Resources {
        Resources { cpu: self.cpu, memory: self.memory, accelerators: self.accelerators }
    }
}

impl WorkersSection {
    /// Effective form; workers without a valid address are left out.
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
    /// Availability zone.
    pub zone: ZoneId,
    /// Workers in the order of their numbers.
    pub workers: Vec<WorkerConfig>,
}

/// Worker in the effective configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerConfig {
    /// Worker.
    pub worker: WorkerId,
    /// Resources for tasks.
    pub capacity: Resources,
    /// Request slots of the backend server.
    pub slots: Slots,
    /// Connections of the backend server.
    pub connections: Connections,
    /// Address of the backend server, `ip:port`.
    pub backend: SocketAddr,
    /// Address of the task agent, `ip:port`.
    pub agent: SocketAddr,
}
