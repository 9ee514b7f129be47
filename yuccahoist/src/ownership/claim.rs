//! What is appended next: join, renewals, releases, claims, removals.

use std::time::Duration;

use crate::id::{Epoch, Incarnation, Subject};
use crate::ownership::holder::is_due;
use crate::ownership::{
    CLAIM_DELAY_PER_RANK, CellRecord, FIRST_CLAIM_DELAY, IDLE_RENEWAL_INTERVAL, MAX_CATCH_UP_AGE, Ownership,
    OwnershipAction, Pending, Phase, REBALANCE_DELAY, REBALANCE_INTERVAL, RENEWAL_INTERVAL, SubjectState,
    assign, lease_expiry_wait, ranking,
};
use crate::unit::Timestamp;

impl Ownership {
    /// Appends the most urgent record. One append is open at a time, so each result belongs to one record.
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
        self.pending = Some(Pending { ticket, record: record.clone(), sent: now });
        out.push(OwnershipAction::Append { ticket, record });
    }

    fn next_record(&mut self, now: Timestamp) -> Option<CellRecord> {
        if !self.joined() {
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
            return (self.has_drained() && !self.waiting).then_some(CellRecord::Leave);
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

    /// Whether the fold was at the end of the stream a short time ago.
    fn is_caught_up(&self, now: Timestamp) -> bool {
        self.caught_up_at.is_some_and(|asked| now.since(asked) <= MAX_CATCH_UP_AGE)
    }

    /// Epochs of this process by the fold, also those that it no longer uses and has yet to release.
    fn own_epochs(&self) -> Vec<Epoch> {
        let own = |state: &&SubjectState| state.owner == self.own_incarnation() && !state.released;
        self.states.values().filter(own).map(|state| state.epoch).collect()
    }

    fn next_renewal(&self, now: Timestamp) -> Option<CellRecord> {
        let epochs = self.own_epochs();
        let period = if epochs.is_empty() { IDLE_RENEWAL_INTERVAL } else { RENEWAL_INTERVAL };
        let due = is_due(now, self.last_renewal, period);
        due.then(|| CellRecord::Renew { epochs, read_to: self.read_to() })
    }

    /// Epochs that have finished here, but not by the fold.
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

    /// Whether nothing is held or in progress any more.
    fn has_drained(&self) -> bool {
        self.held.is_empty()
            && self.own_epochs().is_empty()
            && self.closed.values().all(|quiescent| *quiescent)
    }

    fn next_claim(&self, now: Timestamp) -> Option<CellRecord> {
        let open = |subject: &&Subject| self.claimable_at(now, subject).is_some_and(|at| now >= at);
        let open: Vec<_> = self.subjects.iter().filter(open).collect();
        let subject = open.into_iter().find(|subject| self.may_claim(now, subject))?;
        let previous = self.states.get(subject).map(|state| state.epoch);
        Some(CellRecord::Claim { subject: subject.clone(), previous, read_to: self.read_to() })
    }

    /// Time from which any host may claim a subject; none while it must not be claimed.
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
        let lapsed = times.renewed + wait;
        // Silence counts only up to the last read that reached the end of the stream.
        self.caught_up_at.is_some_and(|asked| asked >= lapsed).then_some(lapsed)
    }

    /// Whether this host is the preferred claimer, or the preferred ones have had time to claim.
    fn may_claim(&self, now: Timestamp, subject: &Subject) -> bool {
        let mut hosts = self.live_hosts();
        let mut preferred = assign(&self.subjects, &hosts);
        let owner = self.states.get(subject).map(|state| state.owner);
        let owner = owner.and_then(|owner| self.view.get(&owner)).map(|entry| &entry.member.host);
        // The last owner let go of it: it stops, or cannot renew.
        if owner.is_some() && owner == preferred.get(subject) && hosts.len() > 1 {
            hosts.retain(|host| Some(host) != owner);
            preferred = assign(&self.subjects, &hosts);
        }
        if preferred.get(subject) == Some(&self.member.host) {
            return true;
        }
        let rank = ranking(subject, &hosts).iter().position(|host| **host == self.member.host);
        let rank = u32::try_from(rank.unwrap_or(hosts.len())).unwrap_or(u32::MAX);
        let open_at = self.claimable_at(now, subject).unwrap_or(Timestamp::MAX);
        now >= open_at + CLAIM_DELAY_PER_RANK.saturating_mul(rank + 1)
    }

    /// Starts to release one subject to its preferred owner. One move at a time and only while the live members have
    /// not changed for a while, so that a join or a short suspicion does not move many subjects at once.
    pub(super) fn start_rebalance(&mut self, now: Timestamp, out: &mut Vec<OwnershipAction>) {
        let settled = now.since(self.live_changed_at) >= REBALANCE_DELAY;
        let moving = self.own_epochs().len() > self.held.len();
        let due = is_due(now, self.last_rebalance, REBALANCE_INTERVAL);
        if self.phase != Phase::Running || !settled || moving || !due || !self.is_caught_up(now) {
            return;
        }
        self.last_rebalance = Some(now);
        let preferred = assign(&self.subjects, &self.live_hosts());
        let foreign = |subject: &Subject| preferred.get(subject).is_some_and(|h| *h != self.member.host);
        let epoch = self.held.iter().find(|(_, held)| foreign(&held.subject)).map(|(epoch, _)| *epoch);
        if let Some(epoch) = epoch {
            self.close(epoch, out);
        }
    }

    /// Suspected member that has been silent in the log so long that it uses nothing; only the first live member
    /// removes it.
    fn removable_member(&self, now: Timestamp) -> Option<Incarnation> {
        let first = self.view.keys().find(|incarnation| !self.suspected.contains(incarnation));
        if first != Some(&self.own_incarnation()) {
            return None;
        }
        let limit: Duration = self.stop_wait();
        let silent = self.view.iter().find(|(incarnation, entry)| {
            let unheard = self.caught_up_at.is_some_and(|asked| asked >= entry.last_record_at + limit);
            unheard && now >= entry.last_record_at + limit && self.suspected.contains(incarnation)
        });
        silent.map(|(incarnation, _)| *incarnation)
    }
}
