//! What a holder may use: grants, promises, evidence of earlier owners.

use std::time::Duration;

use crate::id::{Epoch, Incarnation};
use crate::ownership::{
    CellRecord, DISPATCH_MARGIN, EarlierOwner, Grant, Held, LEASE, Ownership, OwnershipAction,
    OwnershipMessage, PROMISE, PROMISE_LIMIT, PROMISE_PERIOD, PROMISE_START, Phase, QUERY_PERIOD, Share,
    lease_wait, with_margin,
};
use crate::unit::Timestamp;

/// Rounds of promise requests whose replies are still accepted.
const ROUNDS_KEPT: usize = 8;
/// Closed epochs that are remembered for questions of successors.
const CLOSED_KEPT: usize = 4096;

/// What the earlier owners of a subject leave to its holder.
struct Remains {
    share: Share,
    settled: Timestamp,
}

impl Ownership {
    /// Time-driven work.
    pub(super) fn on_tick(&mut self, now: Timestamp, out: &mut Vec<OwnershipAction>) {
        self.stop_overdue(now, out);
        self.ask_promises(now, out);
        self.ask_ends(now, out);
        self.start_move(now, out);
        self.append_next(now, out);
        self.forget(now);
    }

    /// Emits each grant that differs from the last one.
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

    /// Grant by rule 1 and rule 3 of the module documentation.
    fn grant(&self, now: Timestamp, epoch: Epoch) -> Option<Grant> {
        let held = self.held.get(&epoch)?;
        let remains = self.remains(now, held);
        let stop = self.stop_time(held)?;
        let full = self.full_until(held)?;
        let is_full = now <= full;
        let share = match remains.share {
            Share::Nothing => Share::Nothing,
            share if is_full => share,
            _ => Share::Reduced,
        };
        let until = if is_full { full } else { stop };
        let tasks = is_full && now >= remains.settled;
        let subject = held.subject.clone();
        (now <= until).then_some(Grant { subject, epoch, share, tasks, until, settled: remains.settled })
    }

    /// End of the use of all capacity, by lease or by promises.
    fn full_until(&self, held: &Held) -> Option<Timestamp> {
        let lease = held.base? + LEASE - DISPATCH_MARGIN;
        Some(lease.max(self.promised_until(held)?.min(self.stop_time(held)?)))
    }

    /// End of the first promise to end; `ZERO` if one is missing.
    fn promised_until(&self, held: &Held) -> Option<Timestamp> {
        let mut until = self.stop_time(held)?;
        for member in self.view.keys().filter(|member| **member != self.own()) {
            let Some(asked) = held.promises.get(member) else { return Some(Timestamp::ZERO) };
            until = until.min(*asked + PROMISE - DISPATCH_MARGIN);
        }
        Some(until)
    }

    fn remains(&self, now: Timestamp, held: &Held) -> Remains {
        let earlier = self.states.get(&held.subject).map_or(&[][..], |state| &state.earlier);
        let mut running = 0;
        let mut blocked = false;
        let mut settled = held.settled;
        for entry in earlier {
            settled = settled.max(self.full_end(entry));
            if now < self.finished_at(entry) {
                running += 1;
                blocked |= now < self.full_end(entry) + self.run_wait();
            }
        }
        let share = match running {
            0 => Share::Full,
            1 if !blocked => Share::Remainder,
            _ => Share::Nothing,
        };
        Remains { share, settled }
    }

    /// Time from which an earlier owner uses its fixed part at most, by rule 2 of the module documentation.
    pub(super) fn full_end(&self, entry: &EarlierOwner) -> Timestamp {
        let Some(times) = self.epochs.get(&entry.epoch) else { return Timestamp::MAX };
        let promised = self.promised.get(&entry.epoch).copied().unwrap_or(Timestamp::ZERO);
        let replaced = times.replaced.unwrap_or(Timestamp::MAX);
        let bound = if entry.in_view {
            (times.renewed + lease_wait()).max(promised).max(replaced)
        } else {
            times.renewed + self.stop_wait()
        };
        let known = [times.ended, times.finished];
        known.into_iter().flatten().fold(bound, Timestamp::min)
    }

    /// Time from which an earlier owner has no request in progress.
    fn finished_at(&self, entry: &EarlierOwner) -> Timestamp {
        let Some(times) = self.epochs.get(&entry.epoch) else { return Timestamp::MAX };
        let own = entry.owner == self.own() && self.closing.get(&entry.epoch) == Some(&true);
        if own || times.finished.is_some() {
            return Timestamp::ZERO;
        }
        let stop = times.renewed + self.stop_wait();
        times.ended.map_or(stop, |ended| stop.min(ended)) + self.run_wait()
    }

    /// Wait for the time at which an owner stops altogether, from when its last renewal was seen.
    pub(super) fn stop_wait(&self) -> Duration {
        with_margin(LEASE + self.reduced_max)
    }

    /// End of all use by a holder that cannot renew.
    fn stop_time(&self, held: &Held) -> Option<Timestamp> {
        Some(held.base? + LEASE + self.reduced_max - DISPATCH_MARGIN)
    }

    fn run_wait(&self) -> Duration {
        with_margin(self.run_limit)
    }

    /// Gives up leases whose fixed part has ended.
    fn stop_overdue(&mut self, now: Timestamp, out: &mut Vec<OwnershipAction>) {
        let overdue = |held: &Held| self.stop_time(held).is_some_and(|stop| now > stop);
        let epochs: Vec<_> = self.held.iter().filter(|(_, held)| overdue(held)).map(|(e, _)| *e).collect();
        for epoch in epochs {
            self.close(epoch, out);
        }
    }

    /// Asks all other members for promises on leases whose renewal is late.
    fn ask_promises(&mut self, now: Timestamp, out: &mut Vec<OwnershipAction>) {
        let late = |held: &Held| held.base.is_some_and(|base| now >= base + PROMISE_START);
        let epochs: Vec<_> = self.held.iter().filter(|(_, held)| late(held)).map(|(e, _)| *e).collect();
        if epochs.is_empty() || !is_due(now, self.last_round, PROMISE_PERIOD) {
            return;
        }
        let round = self.next_round;
        self.next_round += 1;
        self.last_round = Some(now);
        self.rounds.insert(round, now);
        if self.rounds.len() > ROUNDS_KEPT {
            self.rounds.pop_first();
        }
        for to in self.view.keys().filter(|member| **member != self.own()) {
            let message = OwnershipMessage::PromiseRequest { round, epochs: epochs.clone(), length: PROMISE };
            out.push(OwnershipAction::Send { to: *to, message });
        }
    }

    pub(super) fn on_promise(&mut self, from: Incarnation, round: u64, granted: &[Epoch]) {
        let Some(asked) = self.rounds.get(&round) else { return };
        for epoch in granted {
            if let Some(held) = self.held.get_mut(epoch) {
                let latest = held.promises.entry(from).or_insert(*asked);
                *latest = (*latest).max(*asked);
            }
        }
    }

    /// Promises not to claim over epochs, unless a claim is open or the epoch is known not to be the asker's.
    pub(super) fn promise(
        &mut self,
        now: Timestamp,
        from: Incarnation,
        epochs: &[Epoch],
        length: Duration,
    ) -> Vec<Epoch> {
        if length > PROMISE_LIMIT {
            return Vec::new();
        }
        let granted: Vec<_> = epochs.iter().copied().filter(|e| self.may_promise(from, *e)).collect();
        for epoch in &granted {
            let until = self.promised.entry(*epoch).or_insert(now);
            *until = (*until).max(now + with_margin(length));
        }
        granted
    }

    fn may_promise(&self, from: Incarnation, epoch: Epoch) -> bool {
        let claiming = matches!(
            &self.pending,
            Some(pending) if matches!(&pending.record, CellRecord::Claim { previous, .. } if *previous == Some(epoch))
        );
        let foreign = self.states.values().any(|state| {
            let current = state.epoch == epoch && state.owner != from;
            current || state.earlier.iter().any(|entry| entry.epoch == epoch)
        });
        !claiming && !foreign
    }

    /// Asks earlier owners whether they have finished.
    fn ask_ends(&mut self, now: Timestamp, out: &mut Vec<OwnershipAction>) {
        if self.held.is_empty() || !is_due(now, self.last_query, QUERY_PERIOD) {
            return;
        }
        let mut queries = std::collections::BTreeMap::<Incarnation, Vec<Epoch>>::new();
        for held in self.held.values() {
            let Some(state) = self.states.get(&held.subject) else { continue };
            for entry in &state.earlier {
                let reachable = entry.owner != self.own() && self.view.contains_key(&entry.owner);
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

    /// Answers a successor. Only a host whose claim was folded asks, so an epoch that is still held ends here.
    pub(super) fn on_end_query(
        &mut self,
        from: Incarnation,
        epochs: &[Epoch],
        out: &mut Vec<OwnershipAction>,
    ) {
        for epoch in epochs {
            self.close(*epoch, out);
            // Own claim that is not folded yet: it is never taken up.
            self.closing.entry(*epoch).or_insert(true);
        }
        let ended: Vec<_> = epochs.iter().copied().filter(|e| self.closing.get(e) == Some(&true)).collect();
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
            if let Some(quiet) = self.closing.get_mut(epoch) {
                *quiet = true;
            }
        }
    }

    /// Epoch of the own lease whose earlier owners have all finished, which the fold does not say yet.
    pub(super) fn cleared_epoch(&self, now: Timestamp) -> Option<Epoch> {
        let cleared = |held: &Held| {
            let earlier = self.states.get(&held.subject).map_or(&[][..], |state| &state.earlier);
            !earlier.is_empty() && earlier.iter().all(|entry| now >= self.finished_at(entry))
        };
        self.held.iter().find(|(_, held)| cleared(held)).map(|(epoch, _)| *epoch)
    }

    /// Drops what no rule needs any more.
    fn forget(&mut self, now: Timestamp) {
        let known = |epoch: &Epoch| {
            self.states
                .values()
                .any(|state| state.epoch == *epoch || state.earlier.iter().any(|entry| entry.epoch == *epoch))
        };
        self.promised.retain(|epoch, until| *until > now || known(epoch));
        if self.epochs.len() > 2 * self.states.len() {
            self.epochs.retain(|epoch, _| known(epoch));
        }
        if self.closing.len() > CLOSED_KEPT && self.closing.first_key_value().is_some_and(|(_, quiet)| *quiet)
        {
            self.closing.pop_first();
        }
        if self.phase == Phase::Left {
            self.rounds.clear();
        }
    }
}

/// Whether `period` has passed since `last`.
pub(super) fn is_due(now: Timestamp, last: Option<Timestamp>, period: Duration) -> bool {
    last.is_none_or(|last| now.since(last) >= period)
}
