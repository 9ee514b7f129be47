//! Leases of workers: their duration, and when one has provably expired.
//!
//! A worker measures its lease on its own monotonic clock, which may run slow. The owner knows that clock only from the
//! worker's reports, each with the time at which it was received.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::unit::Timestamp;

/// Slowest rate of a worker's clock, against the owner's; set by the platform, which allows clocks to be 2 % slow.
pub const MIN_CLOCK_RATE: f64 = 0.98;
/// Time by which the timer that ends a worker's runs may fire after its lease.
pub const MAX_TIMER_DELAY: Duration = Duration::from_millis(250);
/// Age of the last confirmed write after which an owner stops extending leases; a full outage of the store lasts
/// about 5 s. A new owner waits this long before it counts the lease of an unreachable worker as expired.
pub const MAX_UNCONFIRMED_AGE: Duration = Duration::from_secs(6);
/// Time after which an order that was not answered is no longer executed.
pub const MAX_ORDER_DELAY: Duration = Duration::from_secs(12);
/// Age until which an incarnation of a worker may execute an order that a previous owner sent to an earlier one. An owner
/// that does not know of the restart sends orders until its last confirmed write is too old.
pub const MAX_EARLIER_ORDER_AGE: Duration = MAX_UNCONFIRMED_AGE.saturating_add(MAX_ORDER_DELAY);
/// Error of the time of day of a machine, which may jump by seconds.
const MAX_CLOCK_ERROR: Duration = Duration::from_secs(5);
/// Difference between the times of day of two machines.
pub const MAX_CLOCK_OFFSET: Duration = MAX_CLOCK_ERROR.saturating_mul(2);
/// Longest time for which an answer with a reading of a worker's clock was on its way.
const MAX_SAMPLE_AGE: Duration = Duration::from_secs(2);
/// Default duration of a lease. Covers a takeover and a simultaneous power cut of all hosts of 1.5 s. Shorter than the
/// platform allows, because the tasks of a dead worker start elsewhere only after its lease.
pub const DEFAULT_LEASE: Duration = Duration::from_millis(4_000);

/// Returns how long a run may stay active after an extension by `lease`, on the owner's clock.
///
/// An owner extends a lease from the last reading of the worker's clock. The reading may be as old as the last confirmed
/// write, and the worker's clock may have been slow since then.
#[must_use]
pub fn max_grant(lease: Duration) -> Duration {
    let drift = MAX_UNCONFIRMED_AGE.mul_f64(1.0 - MIN_CLOCK_RATE);
    (lease + drift).div_f64(MIN_CLOCK_RATE)
}

/// Returns the latest end of a lease by an order that was sent at `last` and can be executed late, up to `longest` after that.
fn late_expiry(last: Timestamp, longest: Duration) -> Timestamp {
    last + MAX_ORDER_DELAY + longest.div_f64(MIN_CLOCK_RATE)
}

/// What is known of orders to an earlier incarnation of a worker, for the next owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum EarlierOrders {
    /// One may have extended the lease to the longest that the worker takes.
    Executed,
    /// One may have done so late, or may still do so.
    Pending,
}

/// Orders that decide when the lease of a worker ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum LeaseBound {
    /// Extensions by this owner.
    Granted,
    /// Orders of previous owners.
    Inherited,
    /// Orders of this owner to an earlier incarnation.
    Late,
}

impl LeaseBound {
    /// All bounds, in the order of their declaration.
    pub const ALL: [Self; 3] = [Self::Granted, Self::Inherited, Self::Late];

    /// Returns the name of the bound in log lines and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Granted => "granted",
            Self::Inherited => "inherited",
            Self::Late => "late",
        }
    }
}

impl fmt::Display for LeaseBound {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Number of leases that expired with runs, by bound.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct ExpiryCounts([u64; LeaseBound::ALL.len()]);

impl ExpiryCounts {
    /// Counts a lease.
    pub const fn add(&mut self, bound: LeaseBound) {
        self.0[bound as usize] += 1;
    }

    /// Returns the number of leases that expired on `bound`.
    #[must_use]
    pub const fn get(&self, bound: LeaseBound) -> u64 {
        self.0[bound as usize]
    }
}

/// Values that the clock of a worker may show, milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClockRange {
    /// Lowest value.
    pub low: u64,
    /// Highest value.
    pub high: u64,
}

impl ClockRange {
    /// Whether the worker's clock may show `clock` up to `elapsed` later. Another incarnation's clock is elsewhere.
    #[must_use]
    pub fn admits(self, clock: u64, elapsed: Duration) -> bool {
        let elapsed = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
        (self.low..=self.high.saturating_add(elapsed)).contains(&clock)
    }
}

/// Clock and lease of a worker as the owner knows them.
#[derive(Debug, Clone, Copy)]
pub struct Lease {
    /// Worker's clock in milliseconds, and when the owner received it.
    clock_sample: Option<(Timestamp, u64)>,
    /// Highest deadline that this owner sent, milliseconds on the worker's clock.
    deadline: Option<u64>,
    /// Until when runs may be active by extensions of previous owners.
    inherited_until: Timestamp,
    /// Until when runs may be active by orders of this owner to an earlier incarnation of the worker.
    late_until: Timestamp,
    /// Whether such orders are refused by now, so that only those count that were executed before.
    late_fenced: bool,
    /// Until when records tell the next owner of orders to an earlier incarnation.
    recorded_until: Timestamp,
    /// What is known of such orders before the first report.
    inherited_orders: Option<EarlierOrders>,
}

impl Lease {
    /// Returns the lease of a worker that a previous owner may have extended until `inherited_until`.
    #[must_use]
    pub const fn new(inherited_until: Timestamp) -> Self {
        Self {
            clock_sample: None,
            deadline: None,
            inherited_until,
            late_until: Timestamp::ZERO,
            late_fenced: false,
            recorded_until: Timestamp::ZERO,
            inherited_orders: None,
        }
    }

    /// Records the worker's `clock`, milliseconds, from an answer received at `now`.
    pub fn observe(&mut self, now: Timestamp, clock: u64) {
        self.clock_sample = Some((now, clock));
    }

    /// Extends the lease to `duration` from `now`; returns its deadline on the worker's clock, milliseconds.
    ///
    /// The deadline is never earlier than one that was sent before. `None` before the first answer of the worker.
    pub fn extend(&mut self, now: Timestamp, duration: Duration) -> Option<u64> {
        let (at, clock) = self.clock_sample?;
        let elapsed = u64::try_from(now.since(at).as_millis()).unwrap_or(u64::MAX);
        let duration = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
        let end = clock.saturating_add(elapsed).saturating_add(duration);
        self.deadline = Some(self.deadline.map_or(end, |d| d.max(end)));
        self.deadline
    }

    /// Returns what the worker's clock shows at `now`; `None` before its first answer.
    #[must_use]
    pub fn clock_range(&self, now: Timestamp) -> Option<ClockRange> {
        let (at, clock) = self.clock_sample?;
        let after =
            |elapsed: Duration| clock.saturating_add(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX));
        let elapsed = now.since(at);
        Some(ClockRange {
            low: after(elapsed.mul_f64(MIN_CLOCK_RATE)),
            high: after(elapsed + MAX_SAMPLE_AGE),
        })
    }

    /// Returns the last deadline that was sent, milliseconds on the worker's clock.
    #[must_use]
    pub const fn deadline(&self) -> Option<u64> {
        self.deadline
    }

    /// Returns the latest time at which the lease as this owner extended it ends; `None` before its first extension.
    #[must_use]
    pub fn granted_until(&self) -> Option<Timestamp> {
        let ((at, clock), deadline) = self.clock_sample.zip(self.deadline)?;
        Some(at + Duration::from_millis(deadline.saturating_sub(clock)).div_f64(MIN_CLOCK_RATE))
    }

    /// Returns the time after which no run that the owner knows of can still be active on the worker.
    #[must_use]
    pub fn expiry(&self) -> Timestamp {
        self.last_end().0 + MAX_TIMER_DELAY
    }

    /// Returns the orders that decide when the lease ends.
    #[must_use]
    pub fn bound(&self) -> LeaseBound {
        self.last_end().1
    }

    /// Returns the latest end by any order, with the kind of that order.
    fn last_end(&self) -> (Timestamp, LeaseBound) {
        let granted = (self.granted_until().unwrap_or(Timestamp::ZERO), LeaseBound::Granted);
        let inherited = (self.inherited_until, LeaseBound::Inherited);
        granted.max(inherited).max((self.late_until, LeaseBound::Late))
    }

    /// Limits the inherited lease: the worker reported at `now` under this owner's epoch, which fences previous owners from then
    /// on. `age` is the time since its start by the host's time of day.
    ///
    /// A previous owner extended the lease by `duration`. An order to an earlier incarnation may have extended it by
    /// `longest`, the longest lease that the worker takes, since its deadline is on another clock.
    pub fn fence_inherited(&mut self, now: Timestamp, age: Duration, duration: Duration, longest: Duration) {
        let granted = self.inherited_until.min(now + max_grant(duration));
        let is_known = self.inherited_orders.take().is_some();
        let age = if is_known { Duration::ZERO } else { age };
        let since_order = age.saturating_sub(MAX_EARLIER_ORDER_AGE + MAX_CLOCK_OFFSET);
        let earlier = now + longest.div_f64(MIN_CLOCK_RATE).saturating_sub(since_order);
        self.inherited_until = granted.max(earlier);
        if is_known {
            self.recorded_until = self.recorded_until.max(earlier);
        }
    }

    /// Includes orders to an earlier incarnation, the last of which was sent by `last`, until the first report.
    pub fn inherit_orders(&mut self, orders: EarlierOrders, last: Timestamp, longest: Duration) {
        let until = match orders {
            EarlierOrders::Executed => last + longest.div_f64(MIN_CLOCK_RATE),
            EarlierOrders::Pending => late_expiry(last, longest),
        };
        self.inherited_until = self.inherited_until.max(until);
        self.inherited_orders = self.inherited_orders.max(Some(orders));
    }

    /// Returns what the next owner has to know of orders to an earlier incarnation; `None` if the lease does not last by any.
    #[must_use]
    pub fn earlier_orders(&self, now: Timestamp) -> Option<EarlierOrders> {
        if now < self.late_until {
            return Some(if self.late_fenced { EarlierOrders::Executed } else { EarlierOrders::Pending });
        }
        self.inherited_orders.or_else(|| (now < self.recorded_until).then_some(EarlierOrders::Executed))
    }

    /// Forgets such orders once the lease does not last by them any more; returns whether it was now.
    pub fn end_earlier_orders(&mut self, now: Timestamp) -> bool {
        let has_ended = self.recorded_until != Timestamp::ZERO && self.recorded_until <= now;
        if has_ended {
            self.recorded_until = Timestamp::ZERO;
        }
        has_ended
    }

    /// Includes the lease of a later incarnation that has executed an order by `now`; it lasts `longest` at most.
    pub fn include_successor(&mut self, now: Timestamp, longest: Duration) {
        self.late_fenced = false;
        self.late_until = self.late_until.max(now + longest.div_f64(MIN_CLOCK_RATE));
        self.recorded_until = self.recorded_until.max(self.late_until);
    }

    /// Limits the lease by orders to an earlier incarnation: the worker refuses them from `now` on, and one that was executed before
    /// lasts `longest` at most.
    pub fn fence_late_orders(&mut self, now: Timestamp, longest: Duration) {
        let executed = now + longest.div_f64(MIN_CLOCK_RATE);
        self.late_fenced = true;
        self.late_until = self.late_until.min(executed);
        self.recorded_until = self.recorded_until.min(executed);
    }

    /// Includes extensions by orders to an earlier incarnation, the last of which was sent at `last`. Such an order can be
    /// executed late, and its deadline is beyond `longest`, the longest lease that the worker takes.
    pub fn include_late_orders(&mut self, last: Timestamp, longest: Duration) {
        self.late_fenced = false;
        self.late_until = self.late_until.max(late_expiry(last, longest));
        self.recorded_until = self.recorded_until.max(self.late_until);
    }
}
