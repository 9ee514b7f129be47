//! Fold of the `cell` stream.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::id::{Epoch, Incarnation, Offset, Subject};
use crate::ownership::{CellRecord, Member};
use crate::stream::Fold;

/// Change of the fold of the `cell` stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CellChange {
    /// Incarnation is in the view.
    Joined {
        /// Member.
        member: Member,
        /// Offset of its join.
        offset: Offset,
    },
    /// Incarnation is no longer in the view.
    Left {
        /// Incarnation.
        incarnation: Incarnation,
        /// How it left.
        cause: LeaveCause,
    },
    /// Owner of a subject, or what is known of earlier owners, changed.
    Lease {
        /// Subject.
        subject: Subject,
        /// New state.
        state: SubjectState,
    },
    /// Leases were extended.
    Renewed {
        /// Owner.
        owner: Incarnation,
        /// Epochs that are current and were extended.
        epochs: Vec<Epoch>,
        /// Offset of the next record that the owner had not read.
        read_to: Offset,
    },
    /// Fold includes a record; the last change of each record and of a restored snapshot.
    Folded {
        /// Offset of the record.
        offset: Offset,
        /// Producer; none for a snapshot.
        producer: Option<Incarnation>,
    },
}

/// How an incarnation left the view.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaveCause {
    /// By its own record, after everything it held was released.
    Left,
    /// Newer incarnation of its host joined, so its process has ended.
    Replaced,
    /// Another member removed it, or a snapshot no longer has it.
    Removed,
}

/// Ownership of a subject by the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubjectState {
    /// Current epoch.
    pub epoch: Epoch,
    /// Incarnation that claimed it.
    pub owner: Incarnation,
    /// Offset of the next record that the owner had not read at its last claim or renewal.
    pub read_to: Offset,
    /// Whether the owner released it.
    pub released: bool,
    /// Whether the owner's process has ended.
    pub ended: bool,
    /// Owners before it that are not known to have finished, oldest first.
    pub earlier: Vec<EarlierOwner>,
}

/// Earlier owner that may still use its fixed part.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EarlierOwner {
    /// Its epoch.
    pub epoch: Epoch,
    /// Its incarnation.
    pub owner: Incarnation,
    /// Whether the claimer that replaced it was in its view.
    pub in_view: bool,
    /// Whether its process has ended.
    pub ended: bool,
}

/// State of the `cell` stream after all records up to an offset.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CellSnapshot {
    /// Last offset that is included.
    pub through: Offset,
    /// Members with the offsets of their joins.
    pub members: Vec<(Offset, Member)>,
    /// Subjects that were ever claimed.
    pub subjects: Vec<(Subject, SubjectState)>,
}

/// View and ownership by the `cell` stream. It holds no times, so it is the same on every host.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CellFold {
    members: BTreeMap<Incarnation, (Offset, Member)>,
    subjects: BTreeMap<Subject, SubjectState>,
}

impl CellFold {
    /// Fold of the empty stream.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Members with the offsets of their joins.
    pub fn members(&self) -> impl Iterator<Item = (Offset, &Member)> {
        self.members.values().map(|(offset, member)| (*offset, member))
    }

    /// State of a subject; none if it was never claimed.
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
            self.end(replaced, out);
        }
        self.members.insert(member.incarnation, (offset, member.clone()));
        out.push(CellChange::Joined { member, offset });
    }

    /// Marks everything that an ended process held.
    fn end(&mut self, ended: Incarnation, out: &mut Vec<CellChange>) {
        self.update(out, |state| {
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
        self.update(out, |state| {
            state.released |= state.owner == producer;
            state.earlier.retain(|entry| entry.owner != producer);
        });
    }

    fn remove(&mut self, incarnation: Incarnation, out: &mut Vec<CellChange>) {
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
        let old = self.subjects.get(&subject);
        if old.map(|state| state.epoch) != previous {
            return;
        }
        let mut earlier = Vec::new();
        if let Some(old) = old {
            earlier.clone_from(&old.earlier);
            if !old.released {
                earlier.push(EarlierOwner {
                    epoch: old.epoch,
                    owner: old.owner,
                    in_view: *joined < old.read_to,
                    ended: old.ended,
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
        self.update(out, |state| {
            state.released |= state.owner == producer && epochs.contains(&state.epoch);
            state.earlier.retain(|entry| entry.owner != producer || !epochs.contains(&entry.epoch));
        });
    }

    fn clear(&mut self, producer: Incarnation, epoch: Epoch, out: &mut Vec<CellChange>) {
        self.update(out, |state| {
            let current = state.epoch == epoch && state.owner == producer;
            let earlier = state.earlier.iter().any(|entry| entry.epoch == epoch && entry.owner == producer);
            if current || earlier {
                state.earlier.retain(|entry| entry.epoch >= epoch);
            }
        });
    }

    /// Changes the subjects and reports those that differ afterwards.
    fn update(&mut self, out: &mut Vec<CellChange>, mut change: impl FnMut(&mut SubjectState)) {
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
        let mut source = Some(producer);
        match record {
            CellRecord::Join { member, previous } => {
                if member.incarnation == producer {
                    self.join(offset, member, previous, out);
                }
            }
            CellRecord::Leave => self.leave(producer, out),
            CellRecord::Remove { incarnation } => {
                if self.members.contains_key(&producer) {
                    self.remove(incarnation, out);
                }
            }
            CellRecord::Claim { subject, previous, read_to } => {
                self.claim(offset, producer, (subject, previous, read_to), out);
            }
            CellRecord::Renew { epochs, read_to } => self.renew(producer, &epochs, read_to, out),
            CellRecord::Release { epochs } => self.release(producer, &epochs, out),
            CellRecord::Cleared { epoch } => self.clear(producer, epoch, out),
            CellRecord::Snapshot(_) => source = None,
        }
        out.push(CellChange::Folded { offset, producer: source });
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
        out.push(CellChange::Folded { offset: snapshot.through, producer: None });
    }
}
