//! Section `teams`.

use serde::{Deserialize, Serialize};

use crate::unit::Resources;

/// Team in a document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamSection {
    /// Resources that the jobs of the team may hold at the same time.
    pub quota: Resources,
    /// Relative weight of the team's requests within a request class.
    pub weight: u32,
}

/// Team in the effective configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TeamConfig {
    /// Resources that the jobs of the team may hold at the same time.
    pub quota: Resources,
    /// Relative weight of the team's requests within a request class.
    pub weight: u32,
}

impl From<&TeamSection> for TeamConfig {
    fn from(section: &TeamSection) -> Self {
        Self { quota: section.quota, weight: section.weight }
    }
}
