//! Leases on shards and partitions, with fencing by epoch.
//!
//! Owners are recorded in the `cell` stream of the log. An owner that cannot renew its lease keeps its whole capacity
//! while every other member promises not to claim its subjects, and the reduced share otherwise. A successor uses
//! nothing while an earlier owner may use the whole capacity, the remainder while one may still have requests in
//! flight, and the whole capacity after that.
//!
//! # Why the hosts together never use more than the capacity of a worker
//!
//! The capacity of a subject counts as 2 halves. [`Share::Full`] may use 2, [`Share::Reduced`] and
//! [`Share::Remainder`] 1, [`Share::Nothing`] 0. A request counts until its run limit has passed. The rate of a clock
//! may differ from true time by up to 5 %, so spans that were measured on another host's clock are extended by a
//! margin ([`with_clock_margin`]).
//!
//! Let O hold epoch P by its claim, and let R be the last claim or renewal of P that the `cell` stream accepts. It is
//! accepted only if P is current at R, so R precedes every claim that replaces P.
//!
//! 1. **What O uses.** All times are on O's clock, and `start` is the time *before* R was sent. O learns of R only by
//!    applying it, so it has read every record before R and knows of no claim that replaces P.
//!    - Until `start + LEASE_DURATION`, O may use 2.
//!    - After that, it may use 2 while it has a promise of every other member of its view that is younger than
//!      [`PROMISE_DURATION`], counted from before the request. Otherwise it may use 1.
//!    - At `start + LEASE_DURATION + MAX_REDUCED_DURATION` it stops for good, with or without promises, because a host
//!      that O does not know of may claim then.
//!    - O stops at once when it applies a claim that replaces P, its own replacement or its own removal, or when a
//!      successor asks it whether it has ended.
//!
//! 2. **When O no longer uses 2.** Let S be the producer of the accepted claim that replaces P.
//!    - *S is in O's view*: S's join precedes `read_to` of R, so O had applied the join when it sent R. Until O has
//!      applied S's departure, it needs S's promise. When it has applied the departure, it has also applied the claim,
//!      which must precede the departure to be accepted, and has stopped. S does not append the claim while its promise
//!      is valid, and gives no promise while the result of the append is pending. So O's set of promises, which
//!      includes the one of S, expires before the claim is in the log, and from R on O has the lease only until
//!      `start + LEASE_DURATION`. Any host that applied R at `r` and the claim at `c` knows that O uses 2 at most until
//!      the later of `c` and `r + lease_expiry_wait()`, since R was sent before it was read.
//!    - *S is not in O's view*: O may have all promises that it needs. It stops by
//!      `r + with_clock_margin(LEASE_DURATION + MAX_REDUCED_DURATION)`.
//!
//!    The claim's effect on the state of the stream records which of the two cases holds, so every later claimer knows
//!    it too.
//!
//!    Safety therefore does not need the wait for the owner's silence before a claim; the wait only avoids a takeover
//!    from a live owner. A renewal that reaches the log between the decision to claim and the claim is read by the
//!    claimer before its own claim, and the claimer counts from it. A claim that takes effect late is judged by the
//!    records before it at that time.
//!
//! 3. **What a successor uses.** The state of the stream keeps every earlier owner of a subject that is not known to
//!    have finished. A holder applies rule 2 to each of them. Until that bound plus the run limit has passed for *all*
//!    of them, it uses nothing. After that, each of them uses at most 1.
//!    - Two or more may still have requests in flight: the holder uses nothing.
//!    - One may still have requests in flight: the holder uses 1.
//!    - None may have requests in flight: the holder uses 2.
//!
//!    An earlier owner has finished by its `Release`, its `Leave` or its reply `Ended` (each only after its last
//!    request), when the run limit has passed since a newer incarnation of its host was seen, or when the run limit has
//!    passed since the time at which it stops by rule 1.
//!
//! 4. **Sum.** Take the holders of a subject at any time, in the order of their claims, and let N be the newest that
//!    uses anything. If N uses 2, all earlier ones have finished, and the sum is 2. If N uses 1 as a successor, at most
//!    one earlier owner has not finished, and it uses at most 1. If N uses 1 by the reduced share, the same holds,
//!    because a holder to which rule 3 gives nothing gets no reduced share either. Hosts that claimed after N use
//!    nothing. So the sum is at most 2. The reduced share and the remainder are complementary: when the number of slots
//!    is odd, the reduced share is the smaller one.
//!
//! 5. **Tasks.** Only a holder that may use 2 by lease or promises starts tasks, and a successor only from
//!    [`Grant::settled_at`] on, the bound of rule 2 over all earlier owners. So at most one host starts tasks at a
//!    time.
//!
//! Late duplicates do no harm: the reader drops them by sequence number, and a claim whose `previous` is no longer the
//! current epoch is void. A late `Join` of an ended process names an incarnation that is no longer current and is void.
//!
//! Not covered: a process that is paused between the clock check and the socket write sends late. [`DISPATCH_MARGIN`]
//! covers the usual delay only.

mod assignment;
mod claim;
mod fold;
mod holder;
mod message;
mod timing;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::Rng;

pub use self::assignment::*;
pub use self::fold::*;
pub use self::message::*;
pub use self::timing::*;
use crate::id::{Epoch, HostId, Incarnation, Offset, Subject};
use crate::state_machine::StateMachine;
use crate::unit::Timestamp;

/// Settings of the ownership state machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnershipSettings {
    /// This process as it joins the view.
    pub member: Member,
}

/// Ownership state machine of one host.
#[derive(Debug)]
pub struct Ownership {
    member: Member,
    subjects: BTreeSet<Subject>,
    /// Longest run limit so far, since requests of an earlier owner may still run under an older configuration.
    max_run_limit: Duration,
    /// Longest use of the reduced share after the lease has expired.
    max_reduced: Duration,
    phase: Phase,
    /// Whether a stopping process must stay in the view for replies of peers.
    awaiting_replies: bool,

    view: BTreeMap<Incarnation, ViewEntry>,
    suspected: BTreeSet<Incarnation>,
    /// When the view or a suspicion last changed.
    live_changed_at: Timestamp,
    states: BTreeMap<Subject, SubjectState>,
    /// Offset of the last applied record.
    position: Option<Offset>,
    /// When the last read that reached the end of the stream was sent.
    caught_up_at: Option<Timestamp>,
    epochs: BTreeMap<Epoch, EpochTimes>,

    pending: Option<PendingAppend>,
    next_ticket: u64,
    /// When the last renewal was sent.
    last_renewal: Option<Timestamp>,
    last_rebalance: Option<Timestamp>,

    held: BTreeMap<Epoch, HeldLease>,
    /// Epochs that this process no longer uses, and whether their requests have finished.
    closed: BTreeMap<Epoch, bool>,
    /// Times until which this process has promised not to claim over epochs.
    promised: BTreeMap<Epoch, Timestamp>,
    /// Times at which the last rounds of promise requests were sent.
    rounds: BTreeMap<u64, Timestamp>,
    next_round: u64,
    last_round: Option<Timestamp>,
    /// When earlier owners were last asked whether they have ended.
    last_query: Option<Timestamp>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Running,
    /// A planned stop has begun.
    Stopping,
    /// The planned stop is complete, or the process was replaced or removed.
    Left,
}

#[derive(Debug)]
struct ViewEntry {
    member: Member,
    joined: Offset,
    /// When its last record was applied here.
    last_record_at: Timestamp,
}

/// Local times at which facts about an epoch became known.
#[derive(Debug, Clone, Copy)]
struct EpochTimes {
    /// When the last claim or renewal was applied.
    renewed: Timestamp,
    /// When the claim that replaced the epoch was applied.
    replaced: Option<Timestamp>,
    /// When the join of a newer incarnation of the owner's host was applied.
    ended: Option<Timestamp>,
    /// When the release of the epoch was applied.
    released: Option<Timestamp>,
    /// When the owner's reply that it has finished arrived.
    finished: Option<Timestamp>,
}

/// Lease that this process holds.
#[derive(Debug)]
struct HeldLease {
    subject: Subject,
    /// Time before the last accepted claim or renewal was sent; none if it is not known.
    lease_start: Option<Timestamp>,
    /// When the own claim was applied, or the latest time at which an earlier owner that was dropped from the state of
    /// the subject may still have started tasks.
    settled_at: Timestamp,
    /// Time before the last request that each member answered with a promise.
    promises: BTreeMap<Incarnation, Timestamp>,
    /// Last emitted grant.
    grant: Option<Grant>,
}

/// Own append whose record is not applied yet.
#[derive(Debug)]
struct PendingAppend {
    ticket: u64,
    record: CellRecord,
    sent: Timestamp,
}

impl Ownership {
    /// Creates the state machine of a process that has read nothing yet.
    #[must_use]
    pub fn new(settings: OwnershipSettings) -> Self {
        Self {
            member: settings.member,
            subjects: BTreeSet::new(),
            max_run_limit: Duration::ZERO,
            max_reduced: MAX_REDUCED_DURATION,
            phase: Phase::Running,
            awaiting_replies: false,
            view: BTreeMap::new(),
            suspected: BTreeSet::new(),
            live_changed_at: Timestamp::ZERO,
            states: BTreeMap::new(),
            position: None,
            caught_up_at: None,
            epochs: BTreeMap::new(),
            pending: None,
            next_ticket: 0,
            last_renewal: None,
            last_rebalance: None,
            held: BTreeMap::new(),
            closed: BTreeMap::new(),
            promised: BTreeMap::new(),
            rounds: BTreeMap::new(),
            next_round: 0,
            last_round: None,
            last_query: None,
        }
    }

    /// Replaces [`MAX_REDUCED_DURATION`]. The value must be the same on all hosts.
    #[must_use]
    pub fn with_max_reduced(mut self, max_reduced: Duration) -> Self {
        self.max_reduced = max_reduced;
        self
    }

    /// Returns whether a planned stop is complete, or this process was replaced or removed and must end.
    #[must_use]
    pub fn has_left(&self) -> bool {
        self.phase == Phase::Left
    }

    /// Returns whether this process is in the view.
    #[must_use]
    pub fn is_member(&self) -> bool {
        self.view.contains_key(&self.own_incarnation())
    }

    /// Returns the members of the view, this process included once it has joined.
    pub fn view(&self) -> impl Iterator<Item = &Member> {
        self.view.values().map(|entry| &entry.member)
    }

    /// Returns the owner and epoch of a subject by the `cell` stream; none if it has no owner.
    #[must_use]
    pub fn owner(&self, subject: &Subject) -> Option<(Incarnation, Epoch)> {
        let state = self.states.get(subject)?;
        (!state.released).then_some((state.owner, state.epoch))
    }

    /// Returns the last emitted grant of each lease that this process holds.
    pub fn grants(&self) -> impl Iterator<Item = &Grant> {
        self.held.values().filter_map(|held| held.grant.as_ref())
    }

    fn own_incarnation(&self) -> Incarnation {
        self.member.incarnation
    }

    /// Returns the offset of the next record that this process has not read.
    fn read_to(&self) -> Offset {
        self.position.map_or(Offset(0), |position| Offset(position.0 + 1))
    }

    /// Returns the hosts of the view that are not suspected.
    fn live_hosts(&self) -> BTreeSet<HostId> {
        let is_live = |entry: &&ViewEntry| !self.suspected.contains(&entry.member.incarnation);
        self.view.values().filter(is_live).map(|entry| entry.member.host.clone()).collect()
    }

    fn on_change(&mut self, now: Timestamp, change: CellChange, out: &mut Vec<OwnershipAction>) {
        match change {
            CellChange::Joined { member, offset } => {
                let entry = ViewEntry { member, joined: offset, last_record_at: now };
                self.view.insert(entry.member.incarnation, entry);
                self.view_changed(now, out);
            }
            CellChange::Left { incarnation, cause: _ } => {
                self.view.remove(&incarnation);
                self.suspected.remove(&incarnation);
                self.view_changed(now, out);
                if incarnation == self.own_incarnation() {
                    self.finish_leave(out);
                }
            }
            CellChange::Lease { subject, state } => self.on_lease(now, subject, state, out),
            CellChange::Renewed { owner, epochs, read_to } => self.on_renewed(now, owner, &epochs, read_to),
            CellChange::Applied { offset, producer } => self.on_applied(now, offset, producer),
        }
    }

    fn view_changed(&mut self, now: Timestamp, out: &mut Vec<OwnershipAction>) {
        self.live_changed_at = now;
        out.push(OwnershipAction::View(self.view().cloned().collect()));
    }

    fn on_lease(
        &mut self,
        now: Timestamp,
        subject: Subject,
        state: SubjectState,
        out: &mut Vec<OwnershipAction>,
    ) {
        self.record_times(now, &state);
        let old = self.owner(&subject);
        let lost: Vec<_> = self
            .held
            .iter()
            .filter(|(epoch, held)| held.subject == subject && (**epoch != state.epoch || state.released))
            .map(|(epoch, _)| *epoch)
            .collect();
        for epoch in lost {
            self.close(epoch, out);
        }
        let is_own = state.owner == self.own_incarnation() && !state.released;
        if is_own && !self.held.contains_key(&state.epoch) && !self.closed.contains_key(&state.epoch) {
            self.take_lease(now, &subject, state.epoch);
        }
        self.retain_settled_at(now, &subject, &state);
        self.states.insert(subject.clone(), state);
        let owner = self.owner(&subject);
        if owner != old {
            out.push(OwnershipAction::Owner { subject, owner });
        }
    }

    /// Records when the facts about the epochs of a subject were first applied.
    fn record_times(&mut self, now: Timestamp, state: &SubjectState) {
        let initial =
            EpochTimes { renewed: now, replaced: None, ended: None, released: None, finished: None };
        let times = self.epochs.entry(state.epoch).or_insert(initial);
        if state.ended {
            times.ended.get_or_insert(now);
        }
        if state.released {
            times.released.get_or_insert(now);
        }
        for entry in &state.earlier {
            let times = self.epochs.entry(entry.epoch).or_insert(initial);
            times.replaced.get_or_insert(now);
            if entry.ended {
                times.ended.get_or_insert(now);
            }
        }
    }

    /// Retains the time until which the earlier owners that `state` drops may have started tasks.
    fn retain_settled_at(&mut self, now: Timestamp, subject: &Subject, state: &SubjectState) {
        let Some(old) = self.states.get(subject) else { return };
        let dropped = old.earlier.iter().filter(|entry| !state.earlier.contains(entry));
        let settled_at = dropped.map(|entry| self.full_use_end(entry).min(now)).max();
        if let (Some(settled_at), Some(held)) = (settled_at, self.held.get_mut(&state.epoch)) {
            held.settled_at = held.settled_at.max(settled_at);
        }
    }

    /// Takes the lease of an own claim that was applied.
    fn take_lease(&mut self, now: Timestamp, subject: &Subject, epoch: Epoch) {
        if self.phase != Phase::Running {
            self.closed.insert(epoch, true);
            return;
        }
        let lease_start = self.pending.as_ref().and_then(|pending| match &pending.record {
            CellRecord::Claim { subject: claimed, .. } if claimed == subject => Some(pending.sent),
            _ => None,
        });
        let subject = subject.clone();
        let held =
            HeldLease { subject, lease_start, settled_at: now, promises: BTreeMap::new(), grant: None };
        self.held.insert(epoch, held);
    }

    fn on_renewed(&mut self, now: Timestamp, owner: Incarnation, epochs: &[Epoch], read_to: Offset) {
        for state in self.states.values_mut().filter(|state| epochs.contains(&state.epoch)) {
            state.read_to = state.read_to.max(read_to);
        }
        for epoch in epochs {
            if let Some(times) = self.epochs.get_mut(epoch) {
                times.renewed = now;
            }
        }
        let Some(PendingAppend { record: CellRecord::Renew { .. }, sent, .. }) = self.pending else { return };
        if owner == self.own_incarnation() {
            for epoch in epochs {
                if let Some(held) = self.held.get_mut(epoch) {
                    held.lease_start = Some(sent);
                }
            }
        }
    }

    fn on_applied(&mut self, now: Timestamp, offset: Offset, producer: Option<Incarnation>) {
        self.position = self.position.max(Some(offset));
        let Some(producer) = producer else { return };
        if let Some(entry) = self.view.get_mut(&producer) {
            entry.last_record_at = now;
        }
        if producer == self.own_incarnation() {
            self.pending = None;
        }
    }

    /// Handles an own append that reached the log. It stays pending until its record is applied, unless a restored
    /// snapshot includes it.
    fn on_appended(&mut self, ticket: u64, offset: Offset) {
        let current = self.pending.as_ref().is_some_and(|pending| pending.ticket == ticket);
        if current && self.position >= Some(offset) {
            self.pending = None;
        }
    }

    fn on_append_failed(&mut self, ticket: u64) {
        if self.pending.as_ref().is_some_and(|pending| pending.ticket == ticket) {
            self.pending = None;
        }
    }

    /// Stops the use of an epoch immediately.
    fn close(&mut self, epoch: Epoch, out: &mut Vec<OwnershipAction>) {
        let Some(held) = self.held.remove(&epoch) else { return };
        self.closed.insert(epoch, false);
        out.push(OwnershipAction::Lost { subject: held.subject, epoch });
    }

    fn close_all(&mut self, out: &mut Vec<OwnershipAction>) {
        let epochs: Vec<_> = self.held.keys().copied().collect();
        for epoch in epochs {
            self.close(epoch, out);
        }
    }

    /// Ends all use after this process left, or was replaced or removed.
    fn finish_leave(&mut self, out: &mut Vec<OwnershipAction>) {
        self.phase = Phase::Left;
        self.close_all(out);
    }

    fn on_peer(
        &mut self,
        now: Timestamp,
        from: Incarnation,
        message: OwnershipMessage,
        out: &mut Vec<OwnershipAction>,
    ) {
        match message {
            OwnershipMessage::PromiseRequest { round, epochs, length } => {
                let granted = self.grant_promises(now, from, &epochs, length);
                let message = OwnershipMessage::PromiseReply { round, granted };
                out.push(OwnershipAction::Send { to: from, message });
            }
            OwnershipMessage::PromiseReply { round, granted } => self.on_promise_reply(from, round, &granted),
            OwnershipMessage::EndQuery { epochs } => self.on_end_query(from, &epochs, out),
            OwnershipMessage::Ended { epochs } => self.on_ended(now, from, &epochs),
        }
    }

    fn on_stop(&mut self, out: &mut Vec<OwnershipAction>) {
        if self.phase == Phase::Running {
            self.phase = Phase::Stopping;
            self.close_all(out);
        }
    }

    fn on_suspected(&mut self, now: Timestamp, incarnation: Incarnation, suspected: bool) {
        self.live_changed_at = now;
        if suspected {
            self.suspected.insert(incarnation);
        } else {
            self.suspected.remove(&incarnation);
        }
    }
}

impl StateMachine for Ownership {
    type Event = OwnershipEvent;
    type Action = OwnershipAction;

    fn handle(
        &mut self,
        now: Timestamp,
        event: OwnershipEvent,
        _rng: &mut dyn Rng,
        out: &mut Vec<OwnershipAction>,
    ) {
        match event {
            OwnershipEvent::Change(change) => return self.on_change(now, change, out),
            OwnershipEvent::Appended { ticket, offset } => self.on_appended(ticket, offset),
            OwnershipEvent::AppendFailed { ticket } => self.on_append_failed(ticket),
            OwnershipEvent::CaughtUp { sent_at } => self.caught_up_at = self.caught_up_at.max(Some(sent_at)),
            OwnershipEvent::Peer { from, message } => self.on_peer(now, from, message, out),
            OwnershipEvent::Suspected { incarnation, suspected } => {
                self.on_suspected(now, incarnation, suspected);
            }
            OwnershipEvent::Subjects(subjects) => self.subjects = subjects,
            OwnershipEvent::MaxRunLimit(limit) => self.max_run_limit = self.max_run_limit.max(limit),
            OwnershipEvent::Quiescent { epochs } => self.on_quiescent(&epochs),
            OwnershipEvent::Stop => self.on_stop(out),
            OwnershipEvent::AwaitingReplies(awaiting_replies) => self.awaiting_replies = awaiting_replies,
            OwnershipEvent::Tick => self.on_tick(now, out),
        }
        self.refresh_grants(now, out);
    }
}
