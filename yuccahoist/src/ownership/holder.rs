//! What a holder of a lease may use: grants, promises of peers, and evidence that earlier owners have ended.

use std::time::Duration;

use crate::id::{Epoch, Incarnation};
use crate::ownership::{
    CellRecord, DISPATCH_MARGIN, END_QUERY_INTERVAL, EarlierOwner, Grant, HeldLease, LEASE_DURATION,
    MAX_PROMISE_DURATION, Ownership, OwnershipAction, OwnershipMessage, PROMISE_DURATION,
    PROMISE_REQUEST_AGE, PROMISE_REQUEST_INTERVAL, Phase, Share, lease_expiry_wait, with_clock_margin,
};
use crate::unit::Timestamp;

/// Number of the latest rounds of promise requests whose replies are still accepted.
const MAX_PROMISE_ROUNDS: usize = 8;
/// Number of closed epochs above which the oldest is dropped, if it has finished. They are kept to answer queries of
/// successors.
const MAX_CLOSED_EPOCHS: usize = 4096;

/// Limits that the earlier owners of a subject set to its holder.
struct EarlierLimits {
    /// Share that the earlier owners do not use.
    share: Share,
    /// Time from which no earlier owner starts tasks.
    settled_at: Timestamp,
}

impl Ownership {
    /// Does everything that depends on time.
    pub(super) fn on_tick(&mut self, now: Timestamp, out: &mut Vec<OwnershipAction>) {
        self.close_overdue(now, out);
        self.request_promises(now, out);
        self.query_earlier_owners(now, out);
        self.start_rebalance(now, out);
        self.append_next(now, out);
        self.prune(now);
    }

    /// Emits the grant of each held lease, if it differs from the last one.
    pub(super) fn refresh_grants(&mut self, now: Timestamp, out: &mut Vec<OwnershipAction>) {
        let epochs: Vec<_> = self.held.keys().copied().collect();
        for epoch in epochs {
            let grant = self.grant(now, epoch);
            let Some(held) = self.held.get_mut(&epoch) else { continue };
            if grant.is_some() && grant != held.grant {
                held.grant.clone_from(&grant);
                out.extend(grant.map(OwnershipAction::Grant));
            }
        }
    }

    /// Returns the grant of a held lease, by rule 1 and rule 3 of the module documentation.
    fn grant(&self, now: Timestamp, epoch: Epoch) -> Option<Grant> {
        let held = self.held.get(&epoch)?;
        let limits = self.earlier_limits(now, held);
        let stop = self.stop_time(held)?;
        let full = self.full_until(held)?;
        let is_full = now <= full;
        let share = match limits.share {
            Share::Nothing => Share::Nothing,
            share if is_full => share,
            _ => Share::Reduced,
        };
        let valid_until = if is_full { full } else { stop };
        let may_start_tasks = is_full && now >= limits.settled_at;
        let subject = held.subject.clone();
        (now <= valid_until).then_some(Grant {
            subject,
            epoch,
            share,
            may_start_tasks,
            valid_until,
            settled_at: limits.settled_at,
        })
    }

    /// Returns the time until which the whole capacity may be used, by lease or by promises.
    fn full_until(&self, held: &HeldLease) -> Option<Timestamp> {
        let lease = held.lease_start? + LEASE_DURATION - DISPATCH_MARGIN;
        Some(lease.max(self.promised_until(held)?.min(self.stop_time(held)?)))
    }

    /// Returns the time at which the first promise expires; `ZERO` if one is missing.
    fn promised_until(&self, held: &HeldLease) -> Option<Timestamp> {
        let mut until = self.stop_time(held)?;
        for member in self.view.keys().filter(|member| **member != self.own_incarnation()) {
            let Some(requested_at) = held.promises.get(member) else { return Some(Timestamp::ZERO) };
            until = until.min(*requested_at + PROMISE_DURATION - DISPATCH_MARGIN);
        }
        Some(until)
    }

    /// Returns the limits that earlier owners set to a held lease, by rule 3 of the module documentation.
    fn earlier_limits(&self, now: Timestamp, held: &HeldLease) -> EarlierLimits {
        let earlier = self.states.get(&held.subject).map_or(&[][..], |state| &state.earlier);
        let mut unfinished = 0;
        let mut is_blocked = false;
        let mut settled_at = held.settled_at;
        for entry in earlier {
            settled_at = settled_at.max(self.full_use_end(entry));
            if now < self.finished_at(entry) {
                unfinished += 1;
                is_blocked |= now < self.full_use_end(entry) + self.run_limit_wait();
            }
        }
        let share = match unfinished {
            0 => Share::Full,
            1 if !is_blocked => Share::Remainder,
            _ => Share::Nothing,
        };
        EarlierLimits { share, settled_at }
    }

    /// Returns the time from which an earlier owner uses its reduced share at most, by rule 2 of the module
    /// documentation.
    pub(super) fn full_use_end(&self, entry: &EarlierOwner) -> Timestamp {
        let Some(times) = self.epochs.get(&entry.epoch) else { return Timestamp::MAX };
        let promised = self.promised.get(&entry.epoch).copied().unwrap_or(Timestamp::ZERO);
        let replaced = times.replaced.unwrap_or(Timestamp::MAX);
        let bound = if entry.in_view {
            (times.renewed + lease_expiry_wait()).max(promised).max(replaced)
        } else {
            times.renewed + self.stop_wait()
        };
        let evidence = [times.ended, times.finished];
        evidence.into_iter().flatten().fold(bound, Timestamp::min)
    }

    /// Returns the time from which an earlier owner has no request in flight.
    fn finished_at(&self, entry: &EarlierOwner) -> Timestamp {
        let Some(times) = self.epochs.get(&entry.epoch) else { return Timestamp::MAX };
        let own_finished =
            entry.owner == self.own_incarnation() && self.closed.get(&entry.epoch) == Some(&true);
        if own_finished || times.finished.is_some() {
            return Timestamp::ZERO;
        }
        let stop = times.renewed + self.stop_wait();
        times.ended.map_or(stop, |ended| stop.min(ended)) + self.run_limit_wait()
    }

    /// Returns the time after which an owner has stopped all use, counted from when its last renewal was seen.
    pub(super) fn stop_wait(&self) -> Duration {
        with_clock_margin(LEASE_DURATION + self.max_reduced)
    }

    /// Returns the time at which a holder that cannot renew stops all use.
    fn stop_time(&self, held: &HeldLease) -> Option<Timestamp> {
        Some(held.lease_start? + LEASE_DURATION + self.max_reduced - DISPATCH_MARGIN)
    }

    fn run_limit_wait(&self) -> Duration {
        with_clock_margin(self.max_run_limit)
    }

    /// Closes leases whose reduced share has expired.
    fn close_overdue(&mut self, now: Timestamp, out: &mut Vec<OwnershipAction>) {
        let is_overdue = |held: &HeldLease| self.stop_time(held).is_some_and(|stop| now > stop);
        let epochs: Vec<_> = self.held.iter().filter(|(_, held)| is_overdue(held)).map(|(e, _)| *e).collect();
        for epoch in epochs {
            self.close(epoch, out);
        }
    }

    /// Requests promises of all other members for leases whose renewal is late.
    fn request_promises(&mut self, now: Timestamp, out: &mut Vec<OwnershipAction>) {
        let is_late =
            |held: &HeldLease| held.lease_start.is_some_and(|start| now >= start + PROMISE_REQUEST_AGE);
        let epochs: Vec<_> = self.held.iter().filter(|(_, held)| is_late(held)).map(|(e, _)| *e).collect();
        if epochs.is_empty() || !is_due(now, self.last_round, PROMISE_REQUEST_INTERVAL) {
            return;
        }
        let round = self.next_round;
        self.next_round += 1;
        self.last_round = Some(now);
        self.rounds.insert(round, now);
        if self.rounds.len() > MAX_PROMISE_ROUNDS {
            self.rounds.pop_first();
        }
        for to in self.view.keys().filter(|member| **member != self.own_incarnation()) {
            let message =
                OwnershipMessage::PromiseRequest { round, epochs: epochs.clone(), length: PROMISE_DURATION };
            out.push(OwnershipAction::Send { to: *to, message });
        }
    }

    pub(super) fn on_promise_reply(&mut self, from: Incarnation, round: u64, granted: &[Epoch]) {
        let Some(requested_at) = self.rounds.get(&round) else { return };
        for epoch in granted {
            if let Some(held) = self.held.get_mut(epoch) {
                let latest = held.promises.entry(from).or_insert(*requested_at);
                *latest = (*latest).max(*requested_at);
            }
        }
    }

    /// Promises not to claim over epochs and returns those that were promised. An epoch is left out if an own claim
    /// over it is pending or if it is known not to be the current epoch of the sender.
    pub(super) fn grant_promises(
        &mut self,
        now: Timestamp,
        from: Incarnation,
        epochs: &[Epoch],
        length: Duration,
    ) -> Vec<Epoch> {
        if length > MAX_PROMISE_DURATION {
            return Vec::new();
        }
        let granted: Vec<_> = epochs.iter().copied().filter(|e| self.can_promise(from, *e)).collect();
        for epoch in &granted {
            let until = self.promised.entry(*epoch).or_insert(now);
            *until = (*until).max(now + with_clock_margin(length));
        }
        granted
    }

    fn can_promise(&self, from: Incarnation, epoch: Epoch) -> bool {
        let is_claiming = matches!(
            &self.pending,
            Some(pending) if matches!(&pending.record, CellRecord::Claim { previous, .. } if *previous == Some(epoch))
        );
        let is_outdated = self.states.values().any(|state| {
            let is_foreign = state.epoch == epoch && state.owner != from;
            is_foreign || state.earlier.iter().any(|entry| entry.epoch == epoch)
        });
        !is_claiming && !is_outdated
    }

    /// Asks earlier owners whether they have finished.
    fn query_earlier_owners(&mut self, now: Timestamp, out: &mut Vec<OwnershipAction>) {
        if self.held.is_empty() || !is_due(now, self.last_query, END_QUERY_INTERVAL) {
            return;
        }
        let mut queries = std::collections::BTreeMap::<Incarnation, Vec<Epoch>>::new();
        for held in self.held.values() {
            let Some(state) = self.states.get(&held.subject) else { continue };
            for entry in &state.earlier {
                let reachable = entry.owner != self.own_incarnation() && self.view.contains_key(&entry.owner);
                if reachable && now < self.finished_at(entry) {
                    queries.entry(entry.owner).or_default().push(entry.epoch);
                }
            }
        }
        if queries.is_empty() {
            return;
        }
        self.last_query = Some(now);
        for (to, epochs) in queries {
            out.push(OwnershipAction::Send { to, message: OwnershipMessage::EndQuery { epochs } });
        }
    }

    /// Replies to a successor which of its epochs have ended. The sender's own claim was applied before it asked, so an
    /// epoch that is still held here has been replaced and is closed.
    pub(super) fn on_end_query(
        &mut self,
        from: Incarnation,
        epochs: &[Epoch],
        out: &mut Vec<OwnershipAction>,
    ) {
        for epoch in epochs {
            self.close(*epoch, out);
            // If the own claim of the epoch is not applied yet, this keeps its lease from being taken.
            self.closed.entry(*epoch).or_insert(true);
        }
        let ended: Vec<_> = epochs.iter().copied().filter(|e| self.closed.get(e) == Some(&true)).collect();
        if !ended.is_empty() {
            let message = OwnershipMessage::Ended { epochs: ended };
            out.push(OwnershipAction::Send { to: from, message });
        }
    }

    pub(super) fn on_ended(&mut self, now: Timestamp, from: Incarnation, epochs: &[Epoch]) {
        for entry in self.states.values().flat_map(|state| &state.earlier) {
            if entry.owner != from || !epochs.contains(&entry.epoch) {
                continue;
            }
            if let Some(times) = self.epochs.get_mut(&entry.epoch) {
                times.finished.get_or_insert(now);
            }
        }
    }

    pub(super) fn on_quiescent(&mut self, epochs: &[Epoch]) {
        for epoch in epochs {
            if let Some(quiescent) = self.closed.get_mut(epoch) {
                *quiescent = true;
            }
        }
    }

    /// Returns an epoch held here whose earlier owners have all finished, but are still listed in the subject's state.
    pub(super) fn cleared_epoch(&self, now: Timestamp) -> Option<Epoch> {
        let cleared = |held: &HeldLease| {
            let earlier = self.states.get(&held.subject).map_or(&[][..], |state| &state.earlier);
            !earlier.is_empty() && earlier.iter().all(|entry| now >= self.finished_at(entry))
        };
        self.held.iter().find(|(_, held)| cleared(held)).map(|(epoch, _)| *epoch)
    }

    /// Drops entries that no rule needs any more.
    fn prune(&mut self, now: Timestamp) {
        let known = |epoch: &Epoch| {
            self.states
                .values()
                .any(|state| state.epoch == *epoch || state.earlier.iter().any(|entry| entry.epoch == *epoch))
        };
        self.promised.retain(|epoch, until| *until > now || known(epoch));
        if self.epochs.len() > 2 * self.states.len() {
            self.epochs.retain(|epoch, _| known(epoch));
        }
        if self.closed.len() > MAX_CLOSED_EPOCHS
            && self.closed.first_key_value().is_some_and(|(_, quiescent)| *quiescent)
        {
            self.closed.pop_first();
        }
        if self.phase == Phase::Left {
            self.rounds.clear();
        }
    }
}

/// Returns whether `period` has passed since `last`, or there was no last time.
pub(super) fn is_due(now: Timestamp, last: Option<Timestamp>, period: Duration) -> bool {
    last.is_none_or(|last| now.since(last) >= period)
}
