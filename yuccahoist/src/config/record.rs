//! Records of the `config` stream.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::{DocumentName, Documents, EditStatus, InForceAt};
use crate::id::Offset;
use crate::id::Revision;

/// Record of the `config` stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ConfigRecord {
    /// Operator's edit.
    Edit(Box<Edit>),
    /// Decision on an edit; the first one counts.
    Verdict(Verdict),
    /// State after all records up to `through`.
    Snapshot(Box<ConfigSnapshot>),
}

/// Edit of one document.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Edit {
    /// Document that is replaced.
    pub document: DocumentName,
    /// Revision of the document set that the edit is based on.
    pub based_on: Revision,
    /// Whole new content; null removes an overlay.
    pub content: Value,
    /// Who publishes it.
    pub author: String,
    /// Why.
    #[serde(default)]
    pub note: String,
    /// Whether more than half of the capacity may be taken away at once.
    #[serde(default)]
    pub allow_capacity_drop: bool,
}

/// Decision on an edit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    /// Offset of the edit.
    pub edit: Offset,
    /// Whether it takes effect.
    pub accepted: bool,
    /// Errors of a rejected edit.
    #[serde(default)]
    pub reasons: Vec<String>,
}

/// Fold of the `config` stream up to an offset.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigSnapshot {
    /// Last offset that is included.
    pub through: Offset,
    /// Revision in force and the verdict that put it in force.
    pub in_force: InForceAt,
    /// Documents in force.
    pub documents: Documents,
    /// Edits without a verdict, by offset.
    pub open: BTreeMap<Offset, Edit>,
    /// Latest decided edits, oldest first.
    pub history: VecDeque<EditStatus>,
}
