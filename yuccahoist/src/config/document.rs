//! Documents that operators publish.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::class::ClassesSection;
use super::merge::merge;
use super::{JobSection, LimitsSection, ServiceSection, TeamSection, WorkersSection};
use crate::id::{ParseIdError, SiteId};

/// Name of the base document; no site may have it.
pub const BASE: &str = "base";

/// Name of a document.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub enum DocumentName {
    /// Base of all sites.
    Base,
    /// Overlay of a site.
    Site(SiteId),
}

impl fmt::Display for DocumentName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Base => f.write_str(BASE),
            Self::Site(site) => site.fmt(f),
        }
    }
}

impl FromStr for DocumentName {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text == BASE { Ok(Self::Base) } else { text.parse().map(Self::Site) }
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

/// Base document, or base with an overlay merged in.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CellDocument {
    /// Name of the cell.
    pub cell: String,
    /// Sites that have hosts, each with at most one overlay.
    pub sites: Vec<SiteId>,
    /// Request classes.
    pub classes: ClassesSection,
    /// Teams by name.
    pub teams: BTreeMap<String, TeamSection>,
    /// Workers.
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

/// Base and overlays as published.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Documents {
    /// Base; null before the first edit.
    pub base: Value,
    /// Overlay of each site that has one.
    pub overlays: BTreeMap<SiteId, Value>,
}

impl Documents {
    /// Content of a document; null if it does not exist.
    #[must_use]
    pub fn get(&self, name: &DocumentName) -> &Value {
        match name {
            DocumentName::Base => &self.base,
            DocumentName::Site(site) => self.overlays.get(site).unwrap_or(&Value::Null),
        }
    }

    /// Replaces a document; null removes an overlay.
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

    /// Base with the overlay of a site merged in.
    #[must_use]
    pub fn merged(&self, site: &SiteId) -> Value {
        let mut merged = self.base.clone();
        if let Some(overlay) = self.overlays.get(site) {
            merge(&mut merged, overlay);
        }
        merged
    }
}
