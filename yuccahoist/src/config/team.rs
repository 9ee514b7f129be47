//! Section `teams`.

use serde::{Deserialize, Serialize};

use crate::unit::Resources;

/// Team in a document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamSection {
    /// Resources that the team's jobs may hold at a time.
    pub quota: Resources,
    /// Weight of the team's requests within a class.
    pub weight: u32,
}

/// Team in the effective configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TeamConfig {
    /// Resources that the team's jobs may hold at a time.
    pub quota: Resources,
    /// Weight of the team's requests within a class.
    pub weight: u32,
}

impl From<&TeamSection> for TeamConfig {
    fn from(section: &TeamSection) -> Self {
        Self { quota: section.quota, weight: section.weight }
    }
}
