//! Replicated state of the `cell` stream: the view and the owners of all subjects.
//!
//! Every host applies the same records in the same order and so reaches the same state.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::id::{Epoch, Incarnation, Offset, Subject};
use crate::ownership::{CellRecord, Member};
use crate::stream::Fold;

/// Effect of one record, or of a restored snapshot, on the state of the `cell` stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CellChange {
    /// An incarnation was added to the view.
    Joined {
        /// Process that joined.
        member: Member,
        /// Offset of its join.
        offset: Offset,
    },
    /// An incarnation was removed from the view.
    Left {
        /// Incarnation that was a member.
        incarnation: Incarnation,
        /// Kind of record that removed it.
        cause: LeaveCause,
    },
    /// The owner of a subject, or what is known of its earlier owners, changed.
    Lease {
        /// Shard or partition whose state changed.
        subject: Subject,
        /// State after the change.
        state: SubjectState,
    },
    /// A member of the view renewed its leases.
    Renewed {
        /// Producer of the renewal.
        owner: Incarnation,
        /// Epochs of the renewal that are current and were extended.
        epochs: Vec<Epoch>,
        /// Offset of the next record that the owner had not read.
        read_to: Offset,
    },
    /// A record or a snapshot was applied. The last change of each record and of a restored snapshot.
    Applied {
        /// Offset of the record, or the last offset that the snapshot includes.
        offset: Offset,
        /// Producer of the record; none for a snapshot.
        producer: Option<Incarnation>,
    },
}

/// Why an incarnation left the view.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaveCause {
    /// It left by its own record, after it had released everything.
    Left,
    /// A newer incarnation of its host joined, so its process has ended.
    Replaced,
    /// A member removed it, or it is missing in a restored snapshot.
    Removed,
}

/// Ownership of a subject. Part of the stored snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubjectState {
    /// Offset of the last valid claim.
    pub epoch: Epoch,
    /// Producer of that claim; stays after a release.
    pub owner: Incarnation,
    /// Offset of the next record that the owner had not read at its last claim or renewal.
    pub read_to: Offset,
    /// Whether the owner released the subject or left.
    pub released: bool,
    /// Whether the owner's process has ended, by the join of a newer incarnation.
    pub ended: bool,
    /// Owners before this one that are not known to have finished, oldest first.
    pub earlier: Vec<EarlierOwner>,
}

/// Earlier owner of a subject that may still use its capacity.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EarlierOwner {
    /// Offset of its claim.
    pub epoch: Epoch,
    /// Producer of that claim.
    pub owner: Incarnation,
    /// Whether the claimer that replaced it was in its view, so that it needed that claimer's promise.
    pub in_view: bool,
    /// Whether its process has ended, by the join of a newer incarnation.
    pub ended: bool,
}

/// Stored state of the `cell` stream after all records up to an offset.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CellSnapshot {
    /// Last offset that is included.
    pub through: Offset,
    /// Members of the view with the offsets of their joins.
    pub members: Vec<(Offset, Member)>,
    /// All subjects that were ever claimed.
    pub subjects: Vec<(Subject, SubjectState)>,
}

/// View and owners by the `cell` stream. Contains no times, so it is the same on every host.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CellFold {
    members: BTreeMap<Incarnation, (Offset, Member)>,
    subjects: BTreeMap<Subject, SubjectState>,
}

impl CellFold {
    /// Creates the state of the empty stream.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the members of the view with the offsets of their joins.
    pub fn members(&self) -> impl Iterator<Item = (Offset, &Member)> {
        self.members.values().map(|(offset, member)| (*offset, member))
    }

    /// Returns the state of a subject; none if it was never claimed.
    #[must_use]
    pub fn subject(&self, subject: &Subject) -> Option<&SubjectState> {
        self.subjects.get(subject)
    }

    fn join(
        &mut self,
        offset: Offset,
        member: Member,
        previous: Option<Incarnation>,
        out: &mut Vec<CellChange>,
    ) {
        let current = self.members.values().find(|(_, m)| m.host == member.host).map(|(_, m)| m.incarnation);
        if current != previous || current == Some(member.incarnation) {
            return;
        }
        if let Some(replaced) = previous {
            self.members.remove(&replaced);
            out.push(CellChange::Left { incarnation: replaced, cause: LeaveCause::Replaced });
            self.mark_ended(replaced, out);
        }
        self.members.insert(member.incarnation, (offset, member.clone()));
        out.push(CellChange::Joined { member, offset });
    }

    /// Marks all epochs of a process that has ended.
    fn mark_ended(&mut self, ended: Incarnation, out: &mut Vec<CellChange>) {
        self.update_subjects(out, |state| {
            state.ended |= state.owner == ended;
            for entry in &mut state.earlier {
                entry.ended |= entry.owner == ended;
            }
        });
    }

    fn leave(&mut self, producer: Incarnation, out: &mut Vec<CellChange>) {
        if self.members.remove(&producer).is_none() {
            return;
        }
        out.push(CellChange::Left { incarnation: producer, cause: LeaveCause::Left });
        self.update_subjects(out, |state| {
            state.released |= state.owner == producer;
            state.earlier.retain(|entry| entry.owner != producer);
        });
    }

    fn remove_member(&mut self, incarnation: Incarnation, out: &mut Vec<CellChange>) {
        if self.members.remove(&incarnation).is_some() {
            out.push(CellChange::Left { incarnation, cause: LeaveCause::Removed });
        }
    }

    fn claim(
        &mut self,
        offset: Offset,
        producer: Incarnation,
        (subject, previous, read_to): (Subject, Option<Epoch>, Offset),
        out: &mut Vec<CellChange>,
    ) {
        let Some((joined, _)) = self.members.get(&producer) else { return };
        let replaced = self.subjects.get(&subject);
        if replaced.map(|state| state.epoch) != previous {
            return;
        }
        let mut earlier = Vec::new();
        if let Some(replaced) = replaced {
            earlier.clone_from(&replaced.earlier);
            if !replaced.released {
                earlier.push(EarlierOwner {
                    epoch: replaced.epoch,
                    owner: replaced.owner,
                    in_view: *joined < replaced.read_to,
                    ended: replaced.ended,
                });
            }
        }
        let epoch = Epoch(offset.0);
        let state = SubjectState { epoch, owner: producer, read_to, released: false, ended: false, earlier };
        self.subjects.insert(subject.clone(), state.clone());
        out.push(CellChange::Lease { subject, state });
    }

    fn renew(&mut self, producer: Incarnation, epochs: &[Epoch], read_to: Offset, out: &mut Vec<CellChange>) {
        if !self.members.contains_key(&producer) {
            return;
        }
        let mut renewed = Vec::new();
        for state in self.subjects.values_mut() {
            if state.owner == producer && !state.released && epochs.contains(&state.epoch) {
                state.read_to = state.read_to.max(read_to);
                renewed.push(state.epoch);
            }
        }
        out.push(CellChange::Renewed { owner: producer, epochs: renewed, read_to });
    }

    fn release(&mut self, producer: Incarnation, epochs: &[Epoch], out: &mut Vec<CellChange>) {
        self.update_subjects(out, |state| {
            state.released |= state.owner == producer && epochs.contains(&state.epoch);
            state.earlier.retain(|entry| entry.owner != producer || !epochs.contains(&entry.epoch));
        });
    }

    fn clear_earlier(&mut self, producer: Incarnation, epoch: Epoch, out: &mut Vec<CellChange>) {
        self.update_subjects(out, |state| {
            let current = state.epoch == epoch && state.owner == producer;
            let earlier = state.earlier.iter().any(|entry| entry.epoch == epoch && entry.owner == producer);
            if current || earlier {
                state.earlier.retain(|entry| entry.epoch >= epoch);
            }
        });
    }

    /// Applies `change` to all subjects and reports those that it changed.
    fn update_subjects(&mut self, out: &mut Vec<CellChange>, mut change: impl FnMut(&mut SubjectState)) {
        for (subject, state) in &mut self.subjects {
            let before = state.clone();
            change(state);
            if *state != before {
                out.push(CellChange::Lease { subject: subject.clone(), state: state.clone() });
            }
        }
    }
}

impl Fold for CellFold {
    type Record = CellRecord;
    type Effect = CellChange;

    fn apply(
        &mut self,
        offset: Offset,
        producer: Incarnation,
        record: CellRecord,
        out: &mut Vec<CellChange>,
    ) {
        let mut record_producer = Some(producer);
        match record {
            CellRecord::Join { member, previous } => {
                if member.incarnation == producer {
                    self.join(offset, member, previous, out);
                }
            }
            CellRecord::Leave => self.leave(producer, out),
            CellRecord::Remove { incarnation } => {
                if self.members.contains_key(&producer) {
                    self.remove_member(incarnation, out);
                }
            }
            CellRecord::Claim { subject, previous, read_to } => {
                self.claim(offset, producer, (subject, previous, read_to), out);
            }
            CellRecord::Renew { epochs, read_to } => self.renew(producer, &epochs, read_to, out),
            CellRecord::Release { epochs } => self.release(producer, &epochs, out),
            CellRecord::Cleared { epoch } => self.clear_earlier(producer, epoch, out),
            CellRecord::Snapshot(_) => record_producer = None,
        }
        out.push(CellChange::Applied { offset, producer: record_producer });
    }

    fn snapshot(&self, through: Offset) -> Option<CellRecord> {
        let members = self.members.values().cloned().collect();
        let subjects =
            self.subjects.iter().map(|(subject, state)| (subject.clone(), state.clone())).collect();
        Some(CellRecord::Snapshot(Box::new(CellSnapshot { through, members, subjects })))
    }

    fn snapshot_through(record: &CellRecord) -> Option<Offset> {
        match record {
            CellRecord::Snapshot(snapshot) => Some(snapshot.through),
            _ => None,
        }
    }

    fn restore(&mut self, record: CellRecord, out: &mut Vec<CellChange>) {
        let CellRecord::Snapshot(snapshot) = record else { return };
        let members: BTreeMap<_, _> =
            snapshot.members.into_iter().map(|(offset, m)| (m.incarnation, (offset, m))).collect();
        for incarnation in self.members.keys().filter(|incarnation| !members.contains_key(incarnation)) {
            out.push(CellChange::Left { incarnation: *incarnation, cause: LeaveCause::Removed });
        }
        for (incarnation, (offset, member)) in &members {
            if !self.members.contains_key(incarnation) {
                out.push(CellChange::Joined { member: member.clone(), offset: *offset });
            }
        }
        self.members = members;
        self.subjects = snapshot.subjects.into_iter().collect();
        for (subject, state) in &self.subjects {
            out.push(CellChange::Lease { subject: subject.clone(), state: state.clone() });
        }
        out.push(CellChange::Applied { offset: snapshot.through, producer: None });
    }
}
