//! Sections `services`, `batch` and `gangs`.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::id::{JobId, ShardId, TeamId};
use crate::job::{DEFAULT_ATTEMPTS, JobKind, JobSpec, Priority};
use crate::unit::Resources;

/// What the tasks of a job are spread over.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Spread {
    /// As few workers as possible.
    #[default]
    None,
    /// Racks.
    Rack,
    /// Availability zones, then racks.
    Zone,
}

/// Service in a document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSection {
    /// Team that is charged.
    pub team: TeamId,
    /// Priority, 0 to 255.
    pub priority: Priority,
    /// Replicas.
    pub tasks: u32,
    /// Resources of each task.
    pub resources: Resources,
    /// What the tasks are spread over.
    #[serde(default = "spread_zone")]
    pub spread: Spread,
    /// Racks whose backend servers offer the service; all racks if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub racks: Option<BTreeSet<ShardId>>,
}

const fn spread_zone() -> Spread {
    Spread::Zone
}

/// Batch job or gang in a document, submitted by its name.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSection {
    /// Team that is charged.
    pub team: TeamId,
    /// Priority, 0 to 255.
    pub priority: Priority,
    /// Number of tasks.
    pub tasks: u32,
    /// Declared resources of each task.
    pub resources: Resources,
    /// Hint of the run time, milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub runtime_ms: Option<u64>,
    /// What the tasks are spread over.
    #[serde(default)]
    pub spread: Spread,
}

/// Batch job or gang in the effective configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobConfig {
    /// Job; its id is the name in the configuration.
    pub spec: JobSpec,
    /// What the tasks are spread over.
    pub spread: Spread,
}

/// Service in the effective configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceConfig {
    /// Its tasks as a job; the id is the name of the service.
    pub spec: JobSpec,
    /// What the tasks are spread over.
    pub spread: Spread,
    /// Racks whose backend servers offer it; none for all.
    pub racks: Option<BTreeSet<ShardId>>,
}

impl ServiceSection {
    /// Effective form under a name.
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
    /// Effective form under a name.
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
