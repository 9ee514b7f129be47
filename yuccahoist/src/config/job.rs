//! Sections `services`, `batch` and `gangs`.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::id::{JobId, ShardId, TeamId};
use crate::job::{DEFAULT_ATTEMPTS, JobKind, JobSpec, Priority};
use crate::unit::Resources;

/// Placement of a job's tasks over failure domains.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Spread {
    /// Pack the tasks onto as few workers as possible.
    #[default]
    None,
    /// Spread over racks.
    Rack,
    /// Spread over availability zones, then over racks.
    Zone,
}

/// Service in a document, by its name.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSection {
    /// Team whose quota is charged.
    pub team: TeamId,
    /// Priority, 0 to 255.
    pub priority: Priority,
    /// Number of replicas.
    pub tasks: u32,
    /// Resources of each replica.
    pub resources: Resources,
    /// Failure domain that the replicas are spread over; zones if absent.
    #[serde(default = "default_service_spread")]
    pub spread: Spread,
    /// Racks whose backend servers run requests of the service; all racks if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub racks: Option<BTreeSet<ShardId>>,
}

const fn default_service_spread() -> Spread {
    Spread::Zone
}

/// Batch job or gang in a document, submitted by its name.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSection {
    /// Team whose quota is charged.
    pub team: TeamId,
    /// Priority, 0 to 255.
    pub priority: Priority,
    /// Number of tasks.
    pub tasks: u32,
    /// Resources reserved for each task.
    pub resources: Resources,
    /// Expected run time, milliseconds; a hint only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub runtime_ms: Option<u64>,
    /// Failure domain that the tasks are spread over; none if absent.
    #[serde(default)]
    pub spread: Spread,
}

/// Batch job or gang in the effective configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobConfig {
    /// Job specification; its identifier is the name in the document.
    pub spec: JobSpec,
    /// Failure domain that the tasks are spread over.
    pub spread: Spread,
}

/// Service in the effective configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceConfig {
    /// Replicas as the tasks of a job; its identifier is the name of the service.
    pub spec: JobSpec,
    /// Failure domain that the tasks are spread over.
    pub spread: Spread,
    /// Racks whose backend servers run requests of the service; `None` for all racks.
    pub racks: Option<BTreeSet<ShardId>>,
}

impl ServiceSection {
    /// Converts the section to the effective form of the service named `id`.
    pub(super) fn build(&self, id: JobId) -> ServiceConfig {
        let spec = JobSpec {
            id,
            kind: JobKind::Service,
            team: self.team.clone(),
            priority: self.priority,
            tasks: self.tasks,
            resources: self.resources,
            runtime_ms: None,
            attempts: DEFAULT_ATTEMPTS,
        };
        ServiceConfig { spec, spread: self.spread, racks: self.racks.clone() }
    }
}

impl JobSection {
    /// Converts the section to the effective form of the job named `id`.
    pub(super) fn build(&self, id: JobId, kind: JobKind) -> JobConfig {
        let spec = JobSpec {
            id,
            kind,
            team: self.team.clone(),
            priority: self.priority,
            tasks: self.tasks,
            resources: self.resources,
            runtime_ms: self.runtime_ms,
            attempts: DEFAULT_ATTEMPTS,
        };
        JobConfig { spec, spread: self.spread }
    }
}
