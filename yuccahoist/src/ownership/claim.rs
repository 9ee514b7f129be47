//! Choice of the next record to append: join, renewal, release, claim or removal.

use std::time::Duration;

use crate::id::{Epoch, Incarnation, Subject};
use crate::ownership::holder::is_due;
use crate::ownership::{
    CLAIM_DELAY_PER_RANK, CellRecord, FIRST_CLAIM_DELAY, IDLE_RENEWAL_INTERVAL, MAX_CATCH_UP_AGE, Ownership,
    OwnershipAction, PendingAppend, Phase, REBALANCE_DELAY, REBALANCE_INTERVAL, RENEWAL_INTERVAL,
    SubjectState, assign, lease_expiry_wait, ranking,
};
use crate::unit::Timestamp;

impl Ownership {
    /// Appends the most urgent record. Only one append is in flight at a time, so each result belongs to one record.
    pub(super) fn append_next(&mut self, now: Timestamp, out: &mut Vec<OwnershipAction>) {
        if self.pending.is_some() || self.phase == Phase::Left {
            return;
        }
        let Some(record) = self.next_record(now) else { return };
        if matches!(record, CellRecord::Renew { .. }) {
            self.last_renewal = Some(now);
        }
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.pending = Some(PendingAppend { ticket, record: record.clone(), sent: now });
        out.push(OwnershipAction::Append { ticket, record });
    }

    fn next_record(&mut self, now: Timestamp) -> Option<CellRecord> {
        if !self.is_member() {
            return self.next_join(now);
        }
        if let Some(renewal) = self.next_renewal(now) {
            return Some(renewal);
        }
        let released = self.releasable_epochs();
        if !released.is_empty() {
            return Some(CellRecord::Release { epochs: released });
        }
        if self.phase == Phase::Stopping {
            return (self.has_drained() && !self.awaiting_replies).then_some(CellRecord::Leave);
        }
        if let Some(epoch) = self.cleared_epoch(now) {
            return Some(CellRecord::Cleared { epoch });
        }
        if !self.is_caught_up(now) {
            return None;
        }
        let claim = self.next_claim(now);
        claim.or_else(|| self.removable_member(now).map(|incarnation| CellRecord::Remove { incarnation }))
    }

    fn next_join(&mut self, now: Timestamp) -> Option<CellRecord> {
        if self.phase == Phase::Stopping {
            self.phase = Phase::Left;
            return None;
        }
        let previous = self.view().find(|member| member.host == self.member.host);
        let previous = previous.map(|member| member.incarnation);
        self.is_caught_up(now).then(|| CellRecord::Join { member: self.member.clone(), previous })
    }

    /// Returns whether a recent read reached the end of the stream.
    fn is_caught_up(&self, now: Timestamp) -> bool {
        self.caught_up_at.is_some_and(|read_at| now.since(read_at) <= MAX_CATCH_UP_AGE)
    }

    /// Returns the epochs of this process by the `cell` stream, also those that it no longer uses and has yet to
    /// release.
    fn own_epochs(&self) -> Vec<Epoch> {
        let is_own = |state: &&SubjectState| state.owner == self.own_incarnation() && !state.released;
        self.states.values().filter(is_own).map(|state| state.epoch).collect()
    }

    fn next_renewal(&self, now: Timestamp) -> Option<CellRecord> {
        let epochs = self.own_epochs();
        let period = if epochs.is_empty() { IDLE_RENEWAL_INTERVAL } else { RENEWAL_INTERVAL };
        let is_renewal_due = is_due(now, self.last_renewal, period);
        is_renewal_due.then(|| CellRecord::Renew { epochs, read_to: self.read_to() })
    }

    /// Returns the own epochs that have finished, but whose release is not in the `cell` stream yet.
    fn releasable_epochs(&self) -> Vec<Epoch> {
        let own = self.own_incarnation();
        let mut epochs = Vec::new();
        for state in self.states.values() {
            if state.owner == own && !state.released {
                epochs.push(state.epoch);
            }
            epochs.extend(state.earlier.iter().filter(|entry| entry.owner == own).map(|entry| entry.epoch));
        }
        epochs.retain(|epoch| self.closed.get(epoch) == Some(&true));
        epochs
    }

    /// Returns whether this process holds no lease and has no request in flight any more.
    fn has_drained(&self) -> bool {
        self.held.is_empty()
            && self.own_epochs().is_empty()
            && self.closed.values().all(|quiescent| *quiescent)
    }

    fn next_claim(&self, now: Timestamp) -> Option<CellRecord> {
        let is_claimable = |subject: &&Subject| self.claimable_at(now, subject).is_some_and(|at| now >= at);
        let claimable: Vec<_> = self.subjects.iter().filter(is_claimable).collect();
        let subject = claimable.into_iter().find(|subject| self.may_claim(now, subject))?;
        let previous = self.states.get(subject).map(|state| state.epoch);
        Some(CellRecord::Claim { subject: subject.clone(), previous, read_to: self.read_to() })
    }

    /// Returns the time from which any host may claim a subject; none while it must not be claimed.
    fn claimable_at(&self, now: Timestamp, subject: &Subject) -> Option<Timestamp> {
        let Some(state) = self.states.get(subject) else {
            return Some(self.live_changed_at + FIRST_CLAIM_DELAY);
        };
        let times = self.epochs.get(&state.epoch)?;
        if state.released {
            return times.released;
        }
        if state.owner == self.own_incarnation()
            || self.promised.get(&state.epoch).is_some_and(|until| now < *until)
        {
            return None;
        }
        if let Some(ended) = times.ended {
            return Some(ended);
        }
        let joined = self.view.get(&self.own_incarnation())?.joined;
        let wait = if joined < state.read_to { lease_expiry_wait() } else { self.stop_wait() };
        let expired = times.renewed + wait;
        // A renewal may be in the log unread, so silence counts only up to the last read that reached the end of the
        // stream.
        self.caught_up_at.is_some_and(|read_at| read_at >= expired).then_some(expired)
    }

    /// Returns whether this host is the preferred claimer, or the hosts of higher rank have had time to claim.
    fn may_claim(&self, now: Timestamp, subject: &Subject) -> bool {
        let mut hosts = self.live_hosts();
        let mut preferred = assign(&self.subjects, &hosts);
        let owner = self.states.get(subject).map(|state| state.owner);
        let owner = owner.and_then(|owner| self.view.get(&owner)).map(|entry| &entry.member.host);
        // A preferred host that was the last owner has released the subject to stop, or cannot renew.
        if owner.is_some() && owner == preferred.get(subject) && hosts.len() > 1 {
            hosts.retain(|host| Some(host) != owner);
            preferred = assign(&self.subjects, &hosts);
        }
        if preferred.get(subject) == Some(&self.member.host) {
            return true;
        }
        let rank = ranking(subject, &hosts).iter().position(|host| **host == self.member.host);
        let rank = u32::try_from(rank.unwrap_or(hosts.len())).unwrap_or(u32::MAX);
        let claimable_at = self.claimable_at(now, subject).unwrap_or(Timestamp::MAX);
        now >= claimable_at + CLAIM_DELAY_PER_RANK.saturating_mul(rank + 1)
    }

    /// Starts to release one subject whose preferred owner is another host. Subjects move one at a time, and only while
    /// the live members have not changed for some time, so that a join or a short suspicion does not move many at once.
    pub(super) fn start_rebalance(&mut self, now: Timestamp, out: &mut Vec<OwnershipAction>) {
        let stable = now.since(self.live_changed_at) >= REBALANCE_DELAY;
        let moving = self.own_epochs().len() > self.held.len();
        let due = is_due(now, self.last_rebalance, REBALANCE_INTERVAL);
        if self.phase != Phase::Running || !stable || moving || !due || !self.is_caught_up(now) {
            return;
        }
        self.last_rebalance = Some(now);
        let preferred = assign(&self.subjects, &self.live_hosts());
        let is_misplaced = |subject: &Subject| preferred.get(subject).is_some_and(|h| *h != self.member.host);
        let epoch = self.held.iter().find(|(_, held)| is_misplaced(&held.subject)).map(|(epoch, _)| *epoch);
        if let Some(epoch) = epoch {
            self.close(epoch, out);
        }
    }

    /// Returns a suspected member that has appended nothing for so long that it can no longer use any subject. Only the
    /// first live member removes it.
    fn removable_member(&self, now: Timestamp) -> Option<Incarnation> {
        let first = self.view.keys().find(|incarnation| !self.suspected.contains(incarnation));
        if first != Some(&self.own_incarnation()) {
            return None;
        }
        let stop_wait: Duration = self.stop_wait();
        let removable = self.view.iter().find(|(incarnation, entry)| {
            let is_silent =
                self.caught_up_at.is_some_and(|read_at| read_at >= entry.last_record_at + stop_wait);
            is_silent && now >= entry.last_record_at + stop_wait && self.suspected.contains(incarnation)
        });
        removable.map(|(incarnation, _)| *incarnation)
    }
}
