//! Records of the `config` stream.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::{DocumentName, Documents, EditStatus, RevisionInForce};
use crate::id::Offset;
use crate::id::Revision;

/// Record of the `config` stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ConfigRecord {
    /// Edit published by an operator.
    Edit(Box<Edit>),
    /// Decision on an edit. Only the first one for an edit takes effect.
    Verdict(Verdict),
    /// State after all records up to and including [`ConfigSnapshot::through`].
    Snapshot(Box<ConfigSnapshot>),
}

/// Replacement of one document.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Edit {
    /// Document that is replaced.
    pub document: DocumentName,
    /// Revision that the operator edited. The edit conflicts if another one is in force when it is folded.
    pub based_on: Revision,
    /// Complete new content; null removes an overlay.
    pub content: Value,
    /// Name of the operator who publishes the edit.
    pub author: String,
    /// Operator's reason for the edit; may be empty.
    #[serde(default)]
    pub note: String,
    /// Whether the edit may remove more than half of the capacity.
    #[serde(default)]
    pub allow_capacity_drop: bool,
}

/// Decision on an edit, appended by a host that validated it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    /// Offset of the edit.
    pub edit: Offset,
    /// Whether the edit takes effect.
    pub accepted: bool,
    /// Validation errors of a rejected edit.
    #[serde(default)]
    pub reasons: Vec<String>,
}

/// State of the `config` stream up to an offset.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigSnapshot {
    /// Last offset that the snapshot covers.
    pub through: Offset,
    /// Revision in force and the verdict that put it in force.
    pub in_force: RevisionInForce,
    /// Documents in force.
    pub documents: Documents,
    /// Edits without a verdict, by offset.
    pub open: BTreeMap<Offset, Edit>,
    /// Most recently decided edits, oldest first.
    pub history: VecDeque<EditStatus>,
}
