//! Fold of the `config` stream.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use super::record::{ConfigRecord, ConfigSnapshot, Edit, Verdict};
use super::validate::{ConfigError, build, validate_change};
use super::{CellConfig, DocumentName, Documents};
use crate::id::{Incarnation, Offset, Revision, SiteId};
use crate::stream::Fold;

/// Number of decided edits that the history keeps.
const MAX_DECIDED_EDITS: usize = 256;

/// Revision in force and the verdict that put it in force.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevisionInForce {
    /// Number of accepted edits so far.
    pub revision: Revision,
    /// Offset of the verdict that accepted the edit.
    pub offset: Offset,
}

/// Decision on an edit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EditOutcome {
    /// The edit was valid and took effect.
    Accepted {
        /// Revision that the edit created.
        revision: Revision,
        /// Offset of the verdict.
        verdict: Offset,
    },
    /// The edit was not valid.
    Rejected {
        /// Validation errors, from the verdict.
        reasons: Vec<String>,
    },
    /// The edit was not based on the revision in force.
    Conflict {
        /// Revision in force at the time.
        current: Revision,
    },
}

/// Decided edit, without its content, as the history keeps it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EditStatus {
    /// Offset of the edit.
    pub edit: Offset,
    /// Document that the edit replaces.
    pub document: DocumentName,
    /// Revision that the edit was based on.
    pub based_on: Revision,
    /// Name of the operator who published the edit.
    pub author: String,
    /// Operator's reason for the edit; may be empty.
    pub note: String,
    /// Decision on the edit.
    pub outcome: EditOutcome,
}

/// State change by a record of the `config` stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConfigEffect {
    /// An edit awaits a verdict.
    Opened {
        /// Offset of the edit.
        edit: Offset,
    },
    /// An edit was decided.
    Decided {
        /// Offset of the edit.
        edit: Offset,
        /// Decision on the edit.
        outcome: EditOutcome,
    },
    /// Another revision is in force.
    InForce(RevisionInForce),
    /// The state was replaced by a snapshot; an `Opened` effect for each open edit follows.
    Restored,
}

/// State of the `config` stream: documents in force, open edits and recently decided edits.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ConfigFold {
    in_force: RevisionInForce,
    documents: Documents,
    open: BTreeMap<Offset, Edit>,
    history: VecDeque<EditStatus>,
}

impl ConfigFold {
    /// Returns the revision in force; revision 0 before the first accepted edit.
    #[must_use]
    pub const fn in_force(&self) -> RevisionInForce {
        self.in_force
    }

    /// Returns the documents in force.
    #[must_use]
    pub const fn documents(&self) -> &Documents {
        &self.documents
    }

    /// Returns the edits without a verdict, by offset.
    #[must_use]
    pub const fn open(&self) -> &BTreeMap<Offset, Edit> {
        &self.open
    }

    /// Returns the most recently decided edits, oldest first.
    #[must_use]
    pub const fn history(&self) -> &VecDeque<EditStatus> {
        &self.history
    }

    /// Returns the decision on an edit, or `None` if it is open, unknown or no longer in the history.
    #[must_use]
    pub fn outcome(&self, edit: Offset) -> Option<&EditOutcome> {
        self.history.iter().rev().find(|status| status.edit == edit).map(|status| &status.outcome)
    }

    /// Builds the effective configuration of a site.
    ///
    /// # Errors
    ///
    /// Returns all validation errors, for example if no edit has been accepted yet or the site is unknown.
    pub fn effective(&self, site: &SiteId) -> Result<CellConfig, Vec<ConfigError>> {
        build(&self.documents, site)
    }

    /// Validates an open edit and returns the verdict on it, or `None` if the edit is not open.
    #[must_use]
    pub fn evaluate_edit(&self, edit: Offset) -> Option<Verdict> {
        let pending = self.open.get(&edit)?;
        let result = self.check(pending);
        let errors = result.err().unwrap_or_default();
        let reasons: Vec<String> = errors.iter().map(ToString::to_string).collect();
        Some(Verdict { edit, accepted: reasons.is_empty(), reasons })
    }

    /// Validates an edit against the documents in force.
    ///
    /// # Errors
    ///
    /// Returns all validation errors.
    pub fn check(&self, edit: &Edit) -> Result<(), Vec<ConfigError>> {
        let mut next = self.documents.clone();
        next.set(&edit.document, edit.content.clone());
        validate_change(&self.documents, &next, edit.allow_capacity_drop)
    }

    fn open_edit(&mut self, offset: Offset, edit: Edit, out: &mut Vec<ConfigEffect>) {
        if edit.based_on != self.in_force.revision {
            let outcome = EditOutcome::Conflict { current: self.in_force.revision };
            self.record_outcome(offset, &edit, outcome, out);
            return;
        }
        self.open.insert(offset, edit);
        out.push(ConfigEffect::Opened { edit: offset });
    }

    fn apply_verdict(&mut self, offset: Offset, verdict: Verdict, out: &mut Vec<ConfigEffect>) {
        let Some(edit) = self.open.remove(&verdict.edit) else { return };
        if !verdict.accepted {
            let outcome = EditOutcome::Rejected { reasons: verdict.reasons };
            self.record_outcome(verdict.edit, &edit, outcome, out);
            return;
        }
        let revision = Revision(self.in_force.revision.0 + 1);
        self.in_force = RevisionInForce { revision, offset };
        self.documents.set(&edit.document, edit.content.clone());
        self.record_outcome(verdict.edit, &edit, EditOutcome::Accepted { revision, verdict: offset }, out);
        out.push(ConfigEffect::InForce(self.in_force));
        // All remaining open edits are based on the revision that was just replaced.
        for (other, edit) in std::mem::take(&mut self.open) {
            self.record_outcome(other, &edit, EditOutcome::Conflict { current: revision }, out);
        }
    }

    fn record_outcome(
        &mut self,
        offset: Offset,
        edit: &Edit,
        outcome: EditOutcome,
        out: &mut Vec<ConfigEffect>,
    ) {
        if self.history.len() >= MAX_DECIDED_EDITS {
            self.history.pop_front();
        }
        self.history.push_back(EditStatus {
            edit: offset,
            document: edit.document.clone(),
            based_on: edit.based_on,
            author: edit.author.clone(),
            note: edit.note.clone(),
            outcome: outcome.clone(),
        });
        out.push(ConfigEffect::Decided { edit: offset, outcome });
    }
}

impl Fold for ConfigFold {
    type Record = ConfigRecord;
    type Effect = ConfigEffect;

    fn apply(
        &mut self,
        offset: Offset,
        _producer: Incarnation,
        record: ConfigRecord,
        out: &mut Vec<ConfigEffect>,
    ) {
        match record {
            ConfigRecord::Edit(edit) => self.open_edit(offset, *edit, out),
            ConfigRecord::Verdict(verdict) => self.apply_verdict(offset, verdict, out),
            ConfigRecord::Snapshot(_) => {}
        }
    }

    fn snapshot(&self, through: Offset) -> Option<ConfigRecord> {
        Some(ConfigRecord::Snapshot(Box::new(ConfigSnapshot {
            through,
            in_force: self.in_force,
            documents: self.documents.clone(),
            open: self.open.clone(),
            history: self.history.clone(),
        })))
    }

    fn snapshot_through(record: &ConfigRecord) -> Option<Offset> {
        match record {
            ConfigRecord::Snapshot(snapshot) => Some(snapshot.through),
            ConfigRecord::Edit(_) | ConfigRecord::Verdict(_) => None,
        }
    }

    fn restore(&mut self, record: ConfigRecord, out: &mut Vec<ConfigEffect>) {
        let ConfigRecord::Snapshot(snapshot) = record else { return };
        let previous = self.in_force;
        let ConfigSnapshot { through: _, in_force, documents, open, history } = *snapshot;
        *self = Self { in_force, documents, open, history };
        out.push(ConfigEffect::Restored);
        out.extend(self.open.keys().map(|edit| ConfigEffect::Opened { edit: *edit }));
        if self.in_force != previous {
            out.push(ConfigEffect::InForce(self.in_force));
        }
    }
}
