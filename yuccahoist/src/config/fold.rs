//! Fold of the `config` stream.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use super::record::{ConfigRecord, ConfigSnapshot, Edit, Verdict};
use super::validate::{ConfigError, build, validate_change};
use super::{CellConfig, DocumentName, Documents};
use crate::id::{Incarnation, Offset, Revision, SiteId};
use crate::stream::Fold;

/// Decided edits that are kept for operators.
const HISTORY: usize = 256;

/// Revision and the record that put it in force.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForceAt {
    /// Revision.
    pub revision: Revision,
    /// Offset of the verdict.
    pub offset: Offset,
}

/// How an edit was decided.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EditOutcome {
    /// In force as a revision.
    Accepted {
        /// Revision that it made.
        revision: Revision,
        /// Offset of the verdict.
        verdict: Offset,
    },
    /// Not valid.
    Rejected {
        /// All errors.
        reasons: Vec<String>,
    },
    /// Based on another revision than the one that was in force.
    Conflict {
        /// Revision that was in force.
        current: Revision,
    },
}

/// Decided edit without its content.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EditStatus {
    /// Offset of the edit.
    pub edit: Offset,
    /// Document.
    pub document: DocumentName,
    /// Revision that it was based on.
    pub based_on: Revision,
    /// Who published it.
    pub author: String,
    /// Why.
    pub note: String,
    /// How it was decided.
    pub outcome: EditOutcome,
}

/// What a record of the `config` stream changes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConfigEffect {
    /// Edit waits for a verdict.
    Opened {
        /// Offset of the edit.
        edit: Offset,
    },
    /// Edit was decided.
    Decided {
        /// Offset of the edit.
        edit: Offset,
        /// How.
        outcome: EditOutcome,
    },
    /// Another revision is in force.
    InForce(InForceAt),
    /// State was replaced by a snapshot; open edits are announced again after it.
    Restored,
}

/// Documents in force, open edits and decided edits.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ConfigFold {
    in_force: InForceAt,
    documents: Documents,
    open: BTreeMap<Offset, Edit>,
    history: VecDeque<EditStatus>,
}

impl ConfigFold {
    /// Revision in force and the offset of its verdict; revision 0 before the first accepted edit.
    #[must_use]
    pub const fn in_force(&self) -> InForceAt {
        self.in_force
    }

    /// Documents in force.
    #[must_use]
    pub const fn documents(&self) -> &Documents {
        &self.documents
    }

    /// Edits without a verdict, by offset.
    #[must_use]
    pub const fn open(&self) -> &BTreeMap<Offset, Edit> {
        &self.open
    }

    /// Latest decided edits, oldest first.
    #[must_use]
    pub const fn history(&self) -> &VecDeque<EditStatus> {
        &self.history
    }

    /// How an edit was decided; none if it is open, unknown or too long ago.
    #[must_use]
    pub fn outcome(&self, edit: Offset) -> Option<&EditOutcome> {
        self.history.iter().rev().find(|status| status.edit == edit).map(|status| &status.outcome)
    }

    /// Effective configuration of a site.
    ///
    /// # Errors
    ///
    /// Lists what this version cannot use, for example when nothing is in force yet or the site is unknown.
    pub fn effective(&self, site: &SiteId) -> Result<CellConfig, Vec<ConfigError>> {
        build(&self.documents, site)
    }

    /// Verdict of this version on an open edit; none if the edit is not open.
    #[must_use]
    pub fn judge(&self, edit: Offset) -> Option<Verdict> {
        let body = self.open.get(&edit)?;
        let result = self.check(body);
        let reasons = result.err().unwrap_or_default();
        let reasons: Vec<String> = reasons.iter().map(ToString::to_string).collect();
        Some(Verdict { edit, accepted: reasons.is_empty(), reasons })
    }

    /// Checks an edit against the documents in force.
    ///
    /// # Errors
    ///
    /// Lists all errors.
    pub fn check(&self, edit: &Edit) -> Result<(), Vec<ConfigError>> {
        let mut next = self.documents.clone();
        next.set(&edit.document, edit.content.clone());
        validate_change(&self.documents, &next, edit.allow_capacity_drop)
    }

    fn open_edit(&mut self, offset: Offset, edit: Edit, out: &mut Vec<ConfigEffect>) {
        if edit.based_on != self.in_force.revision {
            let outcome = EditOutcome::Conflict { current: self.in_force.revision };
            self.decide(offset, &edit, outcome, out);
            return;
        }
        self.open.insert(offset, edit);
        out.push(ConfigEffect::Opened { edit: offset });
    }

    fn close_edit(&mut self, offset: Offset, verdict: Verdict, out: &mut Vec<ConfigEffect>) {
        let Some(edit) = self.open.remove(&verdict.edit) else { return };
        if !verdict.accepted {
            let outcome = EditOutcome::Rejected { reasons: verdict.reasons };
            self.decide(verdict.edit, &edit, outcome, out);
            return;
        }
        let revision = Revision(self.in_force.revision.0 + 1);
        self.in_force = InForceAt { revision, offset };
        self.documents.set(&edit.document, edit.content.clone());
        self.decide(verdict.edit, &edit, EditOutcome::Accepted { revision, verdict: offset }, out);
        out.push(ConfigEffect::InForce(self.in_force));
        // Open edits are all based on the revision that has just been replaced.
        for (other, edit) in std::mem::take(&mut self.open) {
            self.decide(other, &edit, EditOutcome::Conflict { current: revision }, out);
        }
    }

    fn decide(&mut self, offset: Offset, edit: &Edit, outcome: EditOutcome, out: &mut Vec<ConfigEffect>) {
        if self.history.len() >= HISTORY {
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
            ConfigRecord::Verdict(verdict) => self.close_edit(offset, verdict, out),
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
        let before = self.in_force;
        let ConfigSnapshot { through: _, in_force, documents, open, history } = *snapshot;
        *self = Self { in_force, documents, open, history };
        out.push(ConfigEffect::Restored);
        out.extend(self.open.keys().map(|edit| ConfigEffect::Opened { edit: *edit }));
        if self.in_force != before {
            out.push(ConfigEffect::InForce(self.in_force));
        }
    }
}
