//! Configuration documents as operators publish them.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::class::ClassesSection;
use super::merge::merge;
use super::{JobSection, LimitsSection, ServiceSection, TeamSection, WorkersSection};
use crate::id::{ParseIdError, SiteId};

/// Name of the base document; reserved, so no site can have it.
pub const BASE_DOCUMENT: &str = "base";

/// Name of a document: `base` or a site.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub enum DocumentName {
    /// Document that applies to all sites.
    Base,
    /// Overlay that is merged over the base at one site.
    Site(SiteId),
}

impl fmt::Display for DocumentName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Base => f.write_str(BASE_DOCUMENT),
            Self::Site(site) => site.fmt(f),
        }
    }
}

impl FromStr for DocumentName {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text == BASE_DOCUMENT { Ok(Self::Base) } else { text.parse().map(Self::Site) }
    }
}

impl TryFrom<String> for DocumentName {
    type Error = ParseIdError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<DocumentName> for String {
    fn from(name: DocumentName) -> Self {
        name.to_string()
    }
}

/// Base document, or the base merged with an overlay.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CellDocument {
    /// Name of the cell.
    pub cell: String,
    /// Sites that have hosts. Each can have one overlay.
    pub sites: Vec<SiteId>,
    /// Limits per request class.
    pub classes: ClassesSection,
    /// Teams by name.
    pub teams: BTreeMap<String, TeamSection>,
    /// Racks and their workers.
    pub workers: WorkersSection,
    /// Services by name.
    #[serde(default)]
    pub services: BTreeMap<String, ServiceSection>,
    /// Batch jobs by name.
    #[serde(default)]
    pub batch: BTreeMap<String, JobSection>,
    /// Gangs by name.
    #[serde(default)]
    pub gangs: BTreeMap<String, JobSection>,
    /// Limits of the request path.
    pub limits: LimitsSection,
}

/// Base document and overlays, before merging and validation.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Documents {
    /// Base document; null before the first accepted edit.
    pub base: Value,
    /// Overlays by site; sites without one are absent.
    pub overlays: BTreeMap<SiteId, Value>,
}

impl Documents {
    /// Returns the content of a document, or null if it does not exist.
    #[must_use]
    pub fn get(&self, name: &DocumentName) -> &Value {
        match name {
            DocumentName::Base => &self.base,
            DocumentName::Site(site) => self.overlays.get(site).unwrap_or(&Value::Null),
        }
    }

    /// Replaces a document. A null overlay is removed.
    pub fn set(&mut self, name: &DocumentName, content: Value) {
        match name {
            DocumentName::Base => self.base = content,
            DocumentName::Site(site) if content.is_null() => {
                self.overlays.remove(site);
            }
            DocumentName::Site(site) => {
                self.overlays.insert(site.clone(), content);
            }
        }
    }

    /// Returns the base merged with the overlay of a site, if it has one.
    #[must_use]
    pub fn merged(&self, site: &SiteId) -> Value {
        let mut merged = self.base.clone();
        if let Some(overlay) = self.overlays.get(site) {
            merge(&mut merged, overlay);
        }
        merged
    }
}
