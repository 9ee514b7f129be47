//! Time limits of leases, promises and takeover.

use std::time::Duration;

/// Length of a lease, from before its renewal was sent.
pub const LEASE: Duration = Duration::from_secs(3);
/// Time between the sending of two renewals.
pub const RENEW_PERIOD: Duration = Duration::from_secs(1);
/// Time by which an owner stops early, for the way from the clock check to the socket.
pub const DISPATCH_MARGIN: Duration = Duration::from_millis(200);
/// Length of a promise, from before it was asked for.
pub const PROMISE: Duration = Duration::from_secs(2);
/// Time between two promise requests.
pub const PROMISE_PERIOD: Duration = Duration::from_millis(500);
/// Age of a lease at which its owner starts to ask for promises, so that it has them before the lease ends.
pub const PROMISE_START: Duration = Duration::from_millis(1500);
/// Longest promise that a member gives, so that a wrong request cannot block claims for long.
pub const PROMISE_LIMIT: Duration = Duration::from_secs(10);
/// Longest use of the fixed part after the end of the lease.
pub const REDUCED_MAX: Duration = Duration::from_secs(2 * 60 * 60);
/// Time between two questions to earlier owners whether they have ended.
pub const QUERY_PERIOD: Duration = Duration::from_millis(500);
/// Age above which the last catch-up is too old to claim on.
pub const CAUGHT_UP_LIMIT: Duration = Duration::from_secs(2);
/// Time without a change of the view before a subject without any owner is claimed, so that hosts that start
/// together share the subjects.
pub const FIRST_CLAIM_DELAY: Duration = Duration::from_secs(1);
/// Additional wait per rank of a host that is not the preferred claimer.
pub const RANK_DELAY: Duration = Duration::from_millis(500);
/// Time without a change of the live members before subjects move to preferred owners.
pub const MOVE_DELAY: Duration = Duration::from_secs(10);
/// Time between two moves of one host.
pub const MOVE_PERIOD: Duration = Duration::from_secs(5);
/// Time between two renewals of a member that holds nothing, so that it is not removed as silent.
pub const KEEP_ALIVE: Duration = Duration::from_secs(600);

/// Wait for the end of an owner's lease, from when its last renewal was seen: a tenth more for clock rates. With the
/// dispatch margin, this covers clocks that are up to 5 % fast or slow.
#[must_use]
pub fn lease_wait() -> Duration {
    LEASE + LEASE / 10
}

/// Span with an eighth more: the ratio of two clocks within +-5 % is at most 1.05 / 0.95 = 1.106. A tenth would not
/// be enough for spans to which the dispatch margin adds nothing.
#[must_use]
pub fn with_margin(span: Duration) -> Duration {
    span + span / 8
}
