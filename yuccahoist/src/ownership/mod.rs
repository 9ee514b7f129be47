//! Leases on shards and partitions.
//!
//! # Why two hosts never use more than a worker's whole capacity together
//!
//! Count the capacity of a subject as 2 halves. [`Share::Full`] may use 2, [`Share::Reduced`] and
//! [`Share::Remainder`] 1, [`Share::Nothing`] 0. A request counts until its run limit has passed. Clocks may differ in
//! rate by up to 5 % from true time; spans of another host's clock are waited out with a margin ([`with_clock_margin`]).
//!
//! Let O hold epoch P by its claim, and let R be the last claim or renewal of P that the fold accepts. "Accepts" needs
//! that P is current at R, so R precedes every claim that replaces P.
//!
//! 1. **What O uses.** All times are on O's clock, and the base is the time *before* R was sent. O learns of R only by
//!    folding it, so it has read every record before R and knows of no claim over P.
//!    - While `base + LEASE_DURATION` has not passed, O may use 2.
//!    - After that, it may use 2 while it has a promise of every other member of its view that is younger than
//!      [`PROMISE_DURATION`], counted from before asking. Otherwise it may use 1.
//!    - At `base + LEASE_DURATION + MAX_REDUCED_DURATION` it stops for good, with or without promises, because a host that O does not
//!      know of may claim then.
//!    - O stops at once when it folds a claim over P, its own replacement or its own removal, or when a successor asks
//!      it whether it has ended.
//!
//! 2. **When O no longer uses 2.** Let S be the producer of the accepted claim over P.
//!    - *S is in O's view*: S's join precedes `read_to` of R. Then O had folded the join when it sent R. As long as O
//!      has not folded S's departure, it needs S's promise. If it has folded that, it has also folded the claim, which
//!      must precede the departure to be accepted, and has stopped. S does not append the claim while its promise runs,
//!      and gives none while the result of the append is open. So promises of O that include S's end before the claim
//!      is in the log, and from R on O has the lease only until `base + LEASE_DURATION`. Any host that folds the claim at `c` and
//!      folded R at `r` knows that O uses 2 at most until the later of `c` and `r + lease_expiry_wait()`, since R was sent
//!      before it was seen.
//!    - *S is not in O's view*: O may have all promises that it needs. It stops by `r + with_clock_margin(LEASE_DURATION + MAX_REDUCED_DURATION)`.
//!
//!    The fold records at the claim which of the two holds, so every later claimer knows it too.
//!
//!    Waiting for silence before the claim is therefore a courtesy to a live owner. A renewal that gets into the log
//!    between the decision to claim and the claim is seen by the claimer before its own claim, and it counts from it.
//!    A claim that takes effect late is judged by the records before it at that time.
//!
//! 3. **What a successor uses.** The fold keeps every earlier owner of a subject that is not known to have finished. A
//!    holder applies rule 2 to each of them. Before that bound plus the run limit has passed for *all* of them, it uses
//!    nothing. After that, each of them uses at most 1.
//!    - Two or more may still run: the holder uses nothing.
//!    - One may still run: the holder uses 1.
//!    - None may run: the holder uses 2.
//!
//!    An earlier owner has finished by its `Release`, its `Leave` or its answer `Ended` (each only after its last
//!    request), when the run limit has passed since a newer incarnation of its host was seen, or when the run limit has
//!    passed since the time at which it stops by rule 1.
//!
//! 4. **Sum.** Take the holders of a subject at any time, in the order of their claims, and let N be the newest that
//!    uses anything. If N uses 2, all earlier ones have finished, and the sum is 2. If N uses 1 as a successor, at most
//!    one earlier owner has not finished, and it uses at most 1. If N uses 1 in reduced mode, the same holds, because
//!    reduced mode uses nothing where rule 3 gives nothing. Hosts that claimed after N use nothing. So the sum is at
//!    most 2. Reduced and remaining parts are complementary: when the number of slots is odd, the reduced part is the
//!    smaller one.
//!
//! 5. **Tasks.** Only a holder that may use 2 by lease or promises starts tasks, and a successor only from
//!    [`Grant::settled`] on, the bound of rule 2 over all earlier owners. So at most one host starts tasks at a time.
//!
//! Late duplicates do not matter: the fold drops them by sequence number, and `previous` voids a claim that another claim
//! overtook. A late `Join` of an ended process names an incarnation that is no longer current and is void.
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
use crate::duty::Duty;
use crate::id::{Epoch, HostId, Incarnation, Offset, Subject};
use crate::unit::Timestamp;

/// Settings of the ownership duty.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnershipSettings {
    /// This host as a member.
    pub member: Member,
}

/// Ownership duty of one host.
#[derive(Debug)]
pub struct Ownership {
    member: Member,
    subjects: BTreeSet<Subject>,
    /// Longest run limit seen so far; requests of an earlier owner may still run under an older one.
    run_limit: Duration,
    max_reduced: Duration,
    phase: Phase,
    waiting: bool,

    view: BTreeMap<Incarnation, ViewEntry>,
    suspected: BTreeSet<Incarnation>,
    live_changed_at: Timestamp,
    states: BTreeMap<Subject, SubjectState>,
    position: Option<Offset>,
    caught_up_at: Option<Timestamp>,
    epochs: BTreeMap<Epoch, EpochTimes>,

    pending: Option<Pending>,
    next_ticket: u64,
    last_renewal: Option<Timestamp>,
    last_rebalance: Option<Timestamp>,

    held: BTreeMap<Epoch, HeldLease>,
    /// Epochs that this process uses no more, and whether their requests have finished.
    closed: BTreeMap<Epoch, bool>,
    promised: BTreeMap<Epoch, Timestamp>,
    rounds: BTreeMap<u64, Timestamp>,
    next_round: u64,
    last_round: Option<Timestamp>,
    last_query: Option<Timestamp>,
}

/// Phase of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Running,
    Stopping,
    Left,
}

/// Member of the view.
#[derive(Debug)]
struct ViewEntry {
    member: Member,
    joined: Offset,
    /// When its last record was folded.
    last_record_at: Timestamp,
}

/// Local times of what the fold says about an epoch.
#[derive(Debug, Clone, Copy)]
struct EpochTimes {
    /// Last claim or renewal was folded.
    renewed: Timestamp,
    /// Claim over the epoch was folded.
    replaced: Option<Timestamp>,
    /// Newer incarnation of the owner's host was folded.
    ended: Option<Timestamp>,
    /// Release of the epoch was folded.
    released: Option<Timestamp>,
    /// Answer of the owner that it has finished arrived.
    finished: Option<Timestamp>,
}

/// Lease of this process.
#[derive(Debug)]
struct HeldLease {
    subject: Subject,
    /// When the last accepted renewal was sent; none when it is not known.
    lease_start: Option<Timestamp>,
    /// When the own claim was folded, or the latest time at which an owner that the fold no longer keeps may still
    /// have started tasks.
    settled: Timestamp,
    /// Promises of members, by the time before they were asked.
    promises: BTreeMap<Incarnation, Timestamp>,
    /// Last grant that was emitted.
    grant: Option<Grant>,
}

/// Own append whose record is not folded yet.
#[derive(Debug)]
struct Pending {
    ticket: u64,
    record: CellRecord,
    sent: Timestamp,
}

impl Ownership {
    /// Duty of a process that has read nothing yet.
    #[must_use]
    pub fn new(settings: OwnershipSettings) -> Self {
        Self {
            member: settings.member,
            subjects: BTreeSet::new(),
            run_limit: Duration::ZERO,
            max_reduced: MAX_REDUCED_DURATION,
            phase: Phase::Running,
            waiting: false,
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

    /// Duty with another limit than [`MAX_REDUCED_DURATION`]. It must be the same on all hosts.
    #[must_use]
    pub fn with_max_reduced(mut self, max_reduced: Duration) -> Self {
        self.max_reduced = max_reduced;
        self
    }

    /// Whether a planned stop is complete, or this process was replaced or removed and must end.
    #[must_use]
    pub fn left(&self) -> bool {
        self.phase == Phase::Left
    }

    /// Whether this process is in the view.
    #[must_use]
    pub fn joined(&self) -> bool {
        self.view.contains_key(&self.own_incarnation())
    }

    /// Members of the view.
    pub fn view(&self) -> impl Iterator<Item = &Member> {
        self.view.values().map(|entry| &entry.member)
    }

    /// Owner and epoch of a subject by the fold; none if it has no owner.
    #[must_use]
    pub fn owner(&self, subject: &Subject) -> Option<(Incarnation, Epoch)> {
        let state = self.states.get(subject)?;
        (!state.released).then_some((state.owner, state.epoch))
    }

    /// Grants in force, as far as they were emitted.
    pub fn grants(&self) -> impl Iterator<Item = &Grant> {
        self.held.values().filter_map(|held| held.grant.as_ref())
    }

    fn own_incarnation(&self) -> Incarnation {
        self.member.incarnation
    }

    /// Offset of the next record that this process has not read.
    fn read_to(&self) -> Offset {
        self.position.map_or(Offset(0), |position| Offset(position.0 + 1))
    }

    /// Hosts of the view that are not suspected.
    fn live_hosts(&self) -> BTreeSet<HostId> {
        let live = |entry: &&ViewEntry| !self.suspected.contains(&entry.member.incarnation);
        self.view.values().filter(live).map(|entry| entry.member.host.clone()).collect()
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
                    self.leave(out);
                }
            }
            CellChange::Lease { subject, state } => self.on_lease(now, subject, state, out),
            CellChange::Renewed { owner, epochs, read_to } => self.on_renewed(now, owner, &epochs, read_to),
            CellChange::Folded { offset, producer } => self.on_folded(now, offset, producer),
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
        let mine = state.owner == self.own_incarnation() && !state.released;
        if mine && !self.held.contains_key(&state.epoch) && !self.closed.contains_key(&state.epoch) {
            self.hold(now, &subject, state.epoch);
        }
        self.retain_settled(now, &subject, &state);
        self.states.insert(subject.clone(), state);
        let owner = self.owner(&subject);
        if owner != old {
            out.push(OwnershipAction::Owner { subject, owner });
        }
    }

    /// Notes when the facts about the epochs of a subject were first folded.
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

    /// Keeps the time until which earlier owners that the fold forgets may have started tasks.
    fn retain_settled(&mut self, now: Timestamp, subject: &Subject, state: &SubjectState) {
        let Some(old) = self.states.get(subject) else { return };
        let forgotten = old.earlier.iter().filter(|entry| !state.earlier.contains(entry));
        let settled = forgotten.map(|entry| self.full_use_end(entry).min(now)).max();
        if let (Some(settled), Some(held)) = (settled, self.held.get_mut(&state.epoch)) {
            held.settled = held.settled.max(settled);
        }
    }

    /// Takes up a lease whose claim was folded.
    fn hold(&mut self, now: Timestamp, subject: &Subject, epoch: Epoch) {
        if self.phase != Phase::Running {
            self.closed.insert(epoch, true);
            return;
        }
        let lease_start = self.pending.as_ref().and_then(|pending| match &pending.record {
            CellRecord::Claim { subject: claimed, .. } if claimed == subject => Some(pending.sent),
            _ => None,
        });
        let subject = subject.clone();
        let held = HeldLease { subject, lease_start, settled: now, promises: BTreeMap::new(), grant: None };
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
        let Some(Pending { record: CellRecord::Renew { .. }, sent, .. }) = self.pending else { return };
        if owner == self.own_incarnation() {
            for epoch in epochs {
                if let Some(held) = self.held.get_mut(epoch) {
                    held.lease_start = Some(sent);
                }
            }
        }
    }

    fn on_folded(&mut self, now: Timestamp, offset: Offset, producer: Option<Incarnation>) {
        self.position = self.position.max(Some(offset));
        let Some(producer) = producer else { return };
        if let Some(entry) = self.view.get_mut(&producer) {
            entry.last_record_at = now;
        }
        if producer == self.own_incarnation() {
            self.pending = None;
        }
    }

    /// Own append is in the log. It stays pending until it is folded, unless a restored snapshot includes it.
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

    /// Stops the use of an epoch at once.
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

    /// Ends this process's part: it left, or was replaced or removed.
    fn leave(&mut self, out: &mut Vec<OwnershipAction>) {
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

impl Duty for Ownership {
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
            OwnershipEvent::CaughtUp { asked } => self.caught_up_at = self.caught_up_at.max(Some(asked)),
            OwnershipEvent::Peer { from, message } => self.on_peer(now, from, message, out),
            OwnershipEvent::Suspected { incarnation, suspected } => {
                self.on_suspected(now, incarnation, suspected);
            }
            OwnershipEvent::Subjects(subjects) => self.subjects = subjects,
            OwnershipEvent::RunLimit(limit) => self.run_limit = self.run_limit.max(limit),
            OwnershipEvent::Quiescent { epochs } => self.on_quiescent(&epochs),
            OwnershipEvent::Stop => self.on_stop(out),
            OwnershipEvent::Waiting(waiting) => self.waiting = waiting,
            OwnershipEvent::Tick => self.on_tick(now, out),
        }
        self.refresh_grants(now, out);
    }
}
