//! State of a worker incarnation at the owner of the shard.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;
use std::time::Duration;

use super::health::Health;
use super::id::{Generation, JobKey, StepKey, TaskKey};
use super::lease::{Lease, MAX_ORDER_DELAY, MAX_TIMER_DELAY, MIN_CLOCK_RATE};
use super::loss::START_AGE;
use super::message::WorkerEntry;
use super::pacing::Pace;
use super::spec::StepSpec;
use super::watch::Watch;
use super::workspace::WorkspaceName;
use crate::unit::{Resources, Timestamp};

/// What a run needs.
#[derive(Debug, Clone)]
pub struct Demand {
    /// Resources that count against the capacity of the worker.
    pub resources: Resources,
    /// Resources that count against the cap of the workspace: the full request, also of a filler.
    pub counted: Resources,
    /// Workspace whose cap the run counts against.
    pub workspace: Option<WorkspaceName>,
    /// Whether the run does not end by itself.
    pub is_lasting: bool,
}

impl Demand {
    /// Returns the demand of a run of a step.
    #[must_use]
    pub fn of(step: &StepSpec, workspace: Option<WorkspaceName>) -> Self {
        Self { resources: step.reserved(), counted: step.resources, workspace, is_lasting: step.long_running }
    }
}

/// Run that may be active on a worker.
#[derive(Debug, Clone)]
pub struct ReservedRun {
    /// What the run needs.
    pub demand: Demand,
    /// When the worker may first have started the run; `None` before the start order is sent.
    pub ordered_at: Option<Timestamp>,
    /// Whether a previous owner sent the start order, so that the age of the run is unknown.
    pub is_inherited: bool,
    /// Whether the worker certainly started the run: it answered the order or listed the run.
    pub is_started: bool,
    /// Whether the start order was answered, so that it is not executed any more.
    pub is_answered: bool,
    /// When the start order timed out.
    pub timed_out: Option<Timestamp>,
    /// When the ticket in the start order was received; an incarnation that starts later does not accept it.
    pub ticketed_at: Option<Timestamp>,
    /// When a report last listed the run.
    pub listed_at: Option<Timestamp>,
    /// How long the run has to be active until other runs may start beside it.
    pub probation: Option<Duration>,
}

impl ReservedRun {
    /// Returns how long the run was certainly active: from its start order to the last report that listed it.
    #[must_use]
    pub fn proven_age(&self) -> Duration {
        let proven = self.ordered_at.zip(self.listed_at).map(|(from, to)| to.since(from));
        proven.unwrap_or_default()
    }

    /// Returns how long the run was active when its worker fell silent at `silent_since`, at most; at least, for a run whose
    /// start this owner did not order.
    #[must_use]
    pub fn age_at(&self, silent_since: Timestamp) -> Duration {
        match self.ordered_at {
            Some(from) if !self.is_inherited => silent_since.since(from),
            _ => self.proven_age(),
        }
    }

    /// Whether the run had just started when its worker fell silent at `silent_since`.
    #[must_use]
    pub fn is_at_start(&self, silent_since: Timestamp) -> bool {
        self.ordered_at.is_some() && !self.is_inherited && self.age_at(silent_since) < START_AGE
    }

    /// Whether the start order was executed or refused.
    #[must_use]
    pub const fn is_settled(&self) -> bool {
        self.is_answered || self.listed_at.is_some()
    }

    /// Returns when the start order was sent, if it was neither answered nor listed in a report.
    fn unanswered_since(&self) -> Option<Timestamp> {
        self.ordered_at.filter(|_| !self.is_settled())
    }

    /// Returns until when an incarnation that starts later may execute the start order; `None` if it can't.
    #[must_use]
    pub fn begins_later_until(&self) -> Option<Timestamp> {
        let sent = self.unanswered_since().filter(|_| self.ticketed_at.is_none());
        sent.map(|at| self.timed_out.unwrap_or(at) + MAX_ORDER_DELAY)
    }

    /// Whether an incarnation that starts later may still execute the start order.
    #[must_use]
    pub fn may_begin_later(&self, now: Timestamp) -> bool {
        self.begins_later_until().is_some_and(|until| now < until)
    }

    /// Whether a later incarnation that the owner does not know of may have the run, although the lease of this one has expired.
    /// Leases last `longest` at most, and the call that the last report answers was sent at `reported`.
    #[must_use]
    pub fn may_outlast(&self, now: Timestamp, reported: Timestamp, longest: Duration) -> bool {
        // The worker had not restarted when it reported, nor when a ticket was received before that.
        let is_later = |at: Timestamp| at > reported;
        let sent =
            self.unanswered_since().filter(|at| is_later(*at) && self.ticketed_at.is_none_or(is_later));
        let lease = longest.div_f64(MIN_CLOCK_RATE) + MAX_TIMER_DELAY;
        let late = self.begins_later_until().filter(|until| reported < *until);
        late.max(sent.map(|at| at + MAX_START_TIME)).is_some_and(|begun| now < begun + lease)
    }

    /// Whether the run may still crash its worker, as earlier runs of its task may have done.
    #[must_use]
    pub fn is_on_probation(&self) -> bool {
        self.probation.is_some_and(|age| self.proven_age() < age)
    }
}

/// State of the call that extends the lease and fetches a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseExtension {
    /// To be sent at this time.
    Due(Timestamp),
    /// Sent at this time, not answered yet.
    InFlight(Timestamp),
}

/// Worker incarnation with its lease, its runs and its health.
#[derive(Debug)]
pub struct Worker {
    /// Latest registry entry.
    pub entry: WorkerEntry,
    /// Generation of the orders to the worker.
    pub generation: Generation,
    /// Generation of the last lease extension.
    pub called_generation: Generation,
    /// Whether the worker has answered an order of its generation, so that it refuses orders to earlier incarnations.
    pub has_fenced: bool,
    /// When the registry ceased to list the worker; `None` while it is listed.
    pub unlisted_since: Option<Timestamp>,
    /// Until when an unlisted worker may register again; it counts as listed while it answers.
    pub reregisters_until: Timestamp,
    /// Until when a draining worker stays at least; `None` if it does not drain or says nothing of it.
    pub stays_until: Option<Timestamp>,
    /// Whether the worker has reported its runs under this owner's epoch.
    pub has_reported: bool,
    /// Whether the worker is responsive, i.e. answered the last call.
    pub is_responsive: bool,
    /// Since when the worker has been unresponsive; `None` while it answers.
    pub silent_since: Option<Timestamp>,
    /// Address to which the last lease extension was sent.
    pub called_address: String,
    /// Address at which the worker last reported; empty before its first report to this owner.
    pub reported_address: String,
    /// When the call that the last report answers was sent.
    pub last_report: Timestamp,
    /// When the last report arrived.
    pub reported_at: Timestamp,
    /// Longest time that the runs in the last report may have ended before it arrived, apart from the transfer.
    pub end_age: Duration,
    /// Lease, with the last reading of the worker's clock.
    pub lease: Lease,
    /// Highest number of an ended run that is stored; the worker may drop those up to it.
    pub acked_end: u64,
    /// Highest number of an ended run that a call carried as stored which the worker answered.
    pub confirmed_ack: u64,
    /// The same number in the call in flight; 0 if it carries none.
    pub pending_ack: u64,
    /// Highest number of an ended run that was received.
    pub last_end: u64,
    /// State of the call that extends the lease.
    pub lease_extension: LeaseExtension,
    /// When the call in flight was sent, if it extends the lease.
    pub pending_extension: Option<Timestamp>,
    /// When the last order that extends the lease was sent to this or an earlier incarnation and was not answered.
    pub unanswered: Option<Timestamp>,
    /// Whether this owner knows of an earlier incarnation.
    pub has_predecessor: bool,
    /// Whether a report is awaited to tell whether a run exists.
    pub awaits_report: bool,
    /// Runs that may be active on the worker, by task and run number.
    pub runs: BTreeMap<(TaskKey, u32), ReservedRun>,
    /// Number of `runs` that were put on probation.
    pub probations: usize,
    /// Sum of the resources in `runs`.
    pub used: Resources,
    /// Recent failures and isolation.
    pub health: Health,
    /// Speed of the tasks that use leftover CPU.
    pub pace: Pace,
    /// Limit of that speed beside a serving task that they are known to disturb.
    pub pace_limit: Pace,
    /// Last speed ordered for each of these tasks, percent; `None` when it is unknown.
    pub ordered_paces: BTreeMap<(TaskKey, u32), Option<u32>>,
    /// Kinds of tasks on the worker, to learn which disturb each other.
    pub watch: Watch,
}

impl Worker {
    /// Creates the state of a worker whose lease a previous owner may have extended until `inherited`.
    #[must_use]
    pub fn new(entry: WorkerEntry, generation: Generation, now: Timestamp, inherited: Timestamp) -> Self {
        Self {
            entry,
            generation,
            called_generation: generation,
            has_fenced: false,
            unlisted_since: None,
            reregisters_until: Timestamp::ZERO,
            stays_until: None,
            has_reported: false,
            is_responsive: true,
            silent_since: None,
            called_address: String::new(),
            reported_address: String::new(),
            last_report: now,
            reported_at: now,
            end_age: Duration::MAX,
            lease: Lease::new(inherited),
            acked_end: 0,
            confirmed_ack: 0,
            pending_ack: 0,
            last_end: 0,
            lease_extension: LeaseExtension::Due(now),
            pending_extension: None,
            unanswered: None,
            has_predecessor: false,
            awaits_report: false,
            runs: BTreeMap::new(),
            probations: 0,
            used: Resources::ZERO,
            health: Health::default(),
            pace: Pace::default(),
            pace_limit: Pace::default(),
            ordered_paces: BTreeMap::new(),
            watch: Watch::default(),
        }
    }

    /// Reserves the resources of a run; has no effect when they are reserved already. `ordered_at` is the time from which
    /// a run of a previous owner may be active.
    pub fn reserve(&mut self, task: TaskKey, run: u32, demand: Demand, ordered_at: Option<Timestamp>) {
        let Entry::Vacant(entry) = self.runs.entry((task, run)) else { return };
        self.used += demand.resources;
        entry.insert(ReservedRun {
            demand,
            ordered_at,
            is_inherited: ordered_at.is_some(),
            is_started: false,
            is_answered: false,
            timed_out: None,
            ticketed_at: None,
            listed_at: None,
            probation: None,
        });
    }

    /// Keeps other runs off the worker until a run has been active for `age`.
    pub fn put_on_probation(&mut self, task: TaskKey, run: u32, age: Duration) {
        if let Some(reserved) = self.runs.get_mut(&(task, run)) {
            self.probations += usize::from(reserved.probation.replace(age).is_none());
        }
    }

    /// Returns the jobs of the runs on the worker that may still crash it at their start.
    pub fn unproven_jobs(&self) -> impl Iterator<Item = JobKey> {
        let runs = if self.probations == 0 { None } else { Some(&self.runs) };
        let unproven = |run: &ReservedRun| run.is_on_probation() && run.proven_age() < START_AGE;
        runs.into_iter().flatten().filter(move |(_, run)| unproven(run)).map(|((task, _), _)| task.step.job)
    }

    /// Whether a run on the worker is on probation.
    #[must_use]
    pub fn has_probation(&self) -> bool {
        self.probations > 0 && self.runs.values().any(ReservedRun::is_on_probation)
    }

    /// Records the arrival of a report, which answers the call sent at `sent`.
    ///
    /// A run that ended while a call was waiting is reported at once; one that ended between two calls, with the next.
    pub fn note_report(&mut self, now: Timestamp, sent: Timestamp) {
        let is_delayed = now.since(sent) > MAX_ANSWER_AGE;
        self.end_age = if is_delayed { Duration::MAX } else { sent.since(self.reported_at) };
        self.last_report = sent;
        self.reported_at = now;
    }

    /// Records that a report received at `now` lists a run; returns whether that settles its start order.
    pub fn list(&mut self, now: Timestamp, task: TaskKey, run: u32) -> bool {
        let Some(reserved) = self.runs.get_mut(&(task, run)) else { return false };
        let was_settled = reserved.is_settled();
        reserved.listed_at = Some(now);
        reserved.is_started = true;
        !was_settled
    }

    /// Returns the runs whose start orders may have reached the next incarnation under the worker's id: those that were sent
    /// and that this incarnation has never listed.
    pub fn unseen_runs(&self) -> impl Iterator<Item = (TaskKey, u32)> {
        let unseen = self.runs.iter().filter(|(_, run)| run.ordered_at.is_some() && run.listed_at.is_none());
        unseen.map(|(key, _)| *key)
    }

    /// Records that the worker answered the start order of a run.
    pub fn confirm_start(&mut self, task: TaskKey, run: u32) {
        self.answer_start(task, run);
        if let Some(reserved) = self.runs.get_mut(&(task, run)) {
            reserved.is_started = true;
        }
    }

    /// Records that the start order of a run was answered, by this incarnation or a later one.
    pub fn answer_start(&mut self, task: TaskKey, run: u32) {
        if let Some(reserved) = self.runs.get_mut(&(task, run)) {
            reserved.is_answered = true;
        }
    }

    /// Records that the start order of a run is sent, with a ticket received at `ticketed_at` or without.
    pub fn order(&mut self, now: Timestamp, task: TaskKey, run: u32, ticketed_at: Option<Timestamp>) {
        if let Some(reserved) = self.runs.get_mut(&(task, run)) {
            reserved.ordered_at.get_or_insert(now);
            reserved.ticketed_at = ticketed_at;
        }
    }

    /// Records that the start order of a run timed out.
    pub fn time_out_start(&mut self, now: Timestamp, task: TaskKey, run: u32) {
        if let Some(reserved) = self.runs.get_mut(&(task, run)) {
            reserved.timed_out = Some(now);
            self.unanswered = self.unanswered.max(reserved.ordered_at);
        }
    }

    /// Records that the call that extends the lease failed; `is_silent` if it may be executed all the same.
    pub fn fail_extension(&mut self, is_silent: bool) {
        let sent = self.pending_extension.take().filter(|_| is_silent);
        self.unanswered = self.unanswered.max(sent);
    }

    /// Returns when the last order was sent that extends the lease and is not answered.
    #[must_use]
    pub fn last_unanswered(&self) -> Option<Timestamp> {
        let pending = self.runs.values().filter_map(ReservedRun::unanswered_since).max();
        self.unanswered.max(self.pending_extension).max(pending)
    }

    /// Records that this owner sent orders to an earlier incarnation, which this one may execute; `last` is when the last one
    /// was sent that is not answered. The lease then lasts up to `longest`.
    pub fn succeed(&mut self, last: Option<Timestamp>, longest: Duration) {
        self.has_predecessor = true;
        self.unanswered = self.unanswered.max(last);
        if let Some(last) = last.filter(|_| !self.has_fenced) {
            self.lease.include_late_orders(last, longest);
        }
    }

    /// Records that the worker refuses orders to earlier incarnations from `now` on.
    pub fn fence_earlier_orders(&mut self, now: Timestamp, longest: Duration) {
        if !std::mem::replace(&mut self.has_fenced, true) {
            self.lease.fence_late_orders(now, longest);
        }
    }

    /// Returns the number of runs that a later incarnation may have, although the lease of this one has expired.
    #[must_use]
    pub fn outlasting_runs(&self, now: Timestamp, longest: Duration) -> usize {
        self.runs.values().filter(|run| run.may_outlast(now, self.last_report, longest)).count()
    }

    /// Releases the resources of a run, and returns what was reserved.
    pub fn release(&mut self, task: TaskKey, run: u32) -> Option<ReservedRun> {
        self.ordered_paces.remove(&(task, run));
        let released = self.runs.remove(&(task, run))?;
        self.probations -= usize::from(released.probation.is_some());
        // Summed anew: subtraction saturates, so `used` could end up too high.
        self.used = self.runs.values().fold(Resources::ZERO, |sum, run| sum + run.demand.resources);
        Some(released)
    }

    /// Reserves a run that may have been started here in place of on an earlier incarnation.
    pub fn reserve_moved(&mut self, task: TaskKey, run: u32, reserved: ReservedRun) {
        let reserved = ReservedRun { is_started: false, ..reserved };
        self.used += reserved.demand.resources;
        self.probations += usize::from(reserved.probation.is_some());
        self.runs.insert((task, run), reserved);
        self.awaits_report = true;
    }

    /// Returns the numbers of the runs of a task that may be active on the worker.
    pub fn task_runs(&self, task: TaskKey) -> impl Iterator<Item = u32> {
        self.runs.range((task, 0)..=(task, u32::MAX)).map(|((_, run), _)| *run)
    }

    /// Returns the number of runs of a step that may be active on the worker.
    #[must_use]
    pub fn run_count(&self, step: StepKey) -> usize {
        self.runs.range((step.task(0), 0)..=(step.task(u32::MAX), u32::MAX)).count()
    }

    /// Returns the resources that no run uses.
    #[must_use]
    pub fn free_resources(&self) -> Resources {
        self.entry.capacity.saturating_sub(self.used)
    }

    /// Returns the speed of the tasks that use leftover CPU, percent.
    #[must_use]
    pub fn filler_speed(&self) -> u32 {
        self.pace.percent.min(self.pace_limit.percent)
    }

    /// Returns when the call in flight was sent; `None` if there is none.
    #[must_use]
    pub const fn sent_at(&self) -> Option<Timestamp> {
        match self.lease_extension {
            LeaseExtension::InFlight(at) => Some(at),
            LeaseExtension::Due(_) => None,
        }
    }

    /// Whether this owner has called the worker.
    #[must_use]
    pub const fn is_called(&self) -> bool {
        !self.called_address.is_empty()
    }

    /// Returns the number of ended runs that the next call acknowledges; 0 for none.
    ///
    /// The next incarnation under the worker's id counts its ends from 1 again and would drop those that nobody has read. A
    /// number is therefore sent until it is answered, and only to a worker that answers.
    #[must_use]
    pub const fn next_ack(&self) -> u64 {
        if self.is_responsive && self.acked_end > self.confirmed_ack { self.acked_end } else { 0 }
    }

    /// Whether the runs need more than the worker's present capacity.
    #[must_use]
    pub fn is_overloaded(&self) -> bool {
        !self.used.fits(self.entry.capacity)
    }

    /// Whether `address` is the worker's own. A worker never changes its address, so an entry that names another one than that
    /// at which it has reported is of another writer.
    #[must_use]
    pub fn is_own_address(&self, address: &str) -> bool {
        self.reported_address.is_empty() || self.reported_address == address
    }

    /// Whether another incarnation that answers a lease extension shows that the worker has ended.
    #[must_use]
    pub fn is_ended_by_other(&self) -> bool {
        self.is_own_address(&self.called_address)
    }

    /// Whether the capacity in the worker's entry counts: it has reported, or had no time to do so yet.
    #[must_use]
    pub fn has_known_capacity(&self, now: Timestamp) -> bool {
        self.has_reported || now.since(self.last_report) < FIRST_REPORT_TIMEOUT
    }

    /// Records from an entry how long a draining worker stays at least; the earliest time that it named counts.
    pub fn note_stay(&mut self, now: Timestamp, entry: &WorkerEntry) {
        let named = entry.remaining.filter(|_| entry.draining).map(|remaining| now + remaining);
        let earlier = self.stays_until.filter(|_| entry.draining);
        self.stays_until = earlier.into_iter().chain(named).min();
    }

    /// Returns the duration of the next extension of a lease that lasts `longest`.
    ///
    /// The lease of a draining worker ends about when it leaves, so that its tasks do not wait long after that.
    #[must_use]
    pub fn lease_duration(&self, now: Timestamp, longest: Duration) -> Duration {
        if !self.entry.draining {
            return longest;
        }
        let stay = self.stays_until.map_or(Duration::ZERO, |until| until.since(now));
        stay.max(DRAINING_LEASE).min(longest)
    }

    /// Whether the lease of a worker out of contact has expired.
    ///
    /// The lease alone decides: the runs of an unreachable worker may be active when its registry entry has expired, and
    /// those of a worker that leaves when it has removed its entry and closed its connections.
    #[must_use]
    pub fn has_lapsed(&self, now: Timestamp) -> bool {
        let in_contact = self.is_responsive && self.has_reported && self.unlisted_since.is_none();
        !in_contact && now >= self.lease.expiry()
    }

    /// Whether new tasks may be placed on the worker; isolation is checked apart.
    #[must_use]
    pub fn is_usable(&self, now: Timestamp) -> bool {
        (self.unlisted_since.is_none() || now < self.reregisters_until)
            && self.has_reported
            && self.is_responsive
            && !self.entry.draining
            && self.is_own_address(&self.entry.address)
            && self.lease.granted_until().is_some_and(|until| now + MIN_START_LEASE < until)
    }
}

/// Age from which the answer to a lease extension has been delayed on its way: the worker holds it for 1 s, and a call
/// takes a few milliseconds.
const MAX_ANSWER_AGE: Duration = Duration::from_millis(1_200);
/// Time in which a new worker reports, unless its entry names no worker; a call and its repeat.
const FIRST_REPORT_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Time from a start order to the start of the run, unless it is executed late; the timeout of the call.
const MAX_START_TIME: Duration = Duration::from_millis(600);
/// Shortest lease of a draining worker; covers a call that is not answered.
pub const DRAINING_LEASE: Duration = Duration::from_millis(1_500);
/// Least remaining lease for a new run: one write to a slow store and one call to the worker must fit into it.
const MIN_START_LEASE: Duration = Duration::from_millis(500);
