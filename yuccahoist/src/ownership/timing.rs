//! Durations of leases, promises and takeover.

use std::time::Duration;

/// Validity of a lease, counted from before its renewal was sent.
pub const LEASE_DURATION: Duration = Duration::from_secs(3);
/// Time between the sending of two renewals.
pub const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);
/// Time by which an owner stops before its limit, to cover the delay between the clock check and the socket write.
pub const DISPATCH_MARGIN: Duration = Duration::from_millis(200);
/// Validity of a promise, counted from before it was requested.
pub const PROMISE_DURATION: Duration = Duration::from_secs(2);
/// Time between two rounds of promise requests.
pub const PROMISE_REQUEST_INTERVAL: Duration = Duration::from_millis(500);
/// Age of a lease from which its owner requests promises, so that they arrive before the lease expires.
pub const PROMISE_REQUEST_AGE: Duration = Duration::from_millis(1500);
/// Longest promise that a member gives, so that a faulty request cannot block claims for long.
pub const MAX_PROMISE_DURATION: Duration = Duration::from_secs(10);
/// Longest use of the reduced share after the lease has expired.
pub const MAX_REDUCED_DURATION: Duration = Duration::from_secs(2 * 60 * 60);
/// Time between two queries to earlier owners whether they have ended.
pub const END_QUERY_INTERVAL: Duration = Duration::from_millis(500);
/// Greatest age of the last read to the end of the stream at which this host may join, claim, remove or rebalance.
pub const MAX_CATCH_UP_AGE: Duration = Duration::from_secs(2);
/// Time without a change of the live members before a subject that was never owned is claimed, so that hosts that
/// start together share the subjects.
pub const FIRST_CLAIM_DELAY: Duration = Duration::from_secs(1);
/// Additional wait per rank of a host that is not the preferred claimer.
pub const CLAIM_DELAY_PER_RANK: Duration = Duration::from_millis(500);
/// Time without a change of the live members before subjects move to their preferred owners.
pub const REBALANCE_DELAY: Duration = Duration::from_secs(10);
/// Time between two moves that one host starts.
pub const REBALANCE_INTERVAL: Duration = Duration::from_secs(5);
/// Time between two renewals of a member that owns nothing, so that it is not removed as silent.
pub const IDLE_RENEWAL_INTERVAL: Duration = Duration::from_secs(600);

/// Time after which an owner's lease has expired, counted from when its last renewal was seen.
///
/// It is a tenth longer than the lease. Together with the dispatch margin, this covers clocks that are up to 5 % fast
/// or slow.
#[must_use]
pub fn lease_expiry_wait() -> Duration {
    LEASE_DURATION + LEASE_DURATION / 10
}

/// Adds an eighth to a span that was measured on another host's clock.
///
/// The ratio of two clocks within +-5 % is at most 1.05 / 0.95 = 1.106. A tenth would not be enough for spans to which
/// the dispatch margin adds nothing.
#[must_use]
pub fn with_clock_margin(span: Duration) -> Duration {
    span + span / 8
}
