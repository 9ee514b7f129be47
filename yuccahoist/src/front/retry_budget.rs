//! Retry budget, which keeps retries from amplifying an outage.

/// Retries that are allowed before the first success.
const INITIAL_RETRY_CREDIT: f64 = 10.0;

/// Maximum number of accumulated retries, so that only recent successes count.
const MAX_RETRY_CREDIT: f64 = 64.0;

/// Allows retries of requests that may have run, as a share of recent successes.
#[derive(Debug)]
pub(super) struct RetryBudget {
    share: f64,
    credit: f64,
}

impl RetryBudget {
    pub(super) fn new() -> Self {
        Self { share: 0.0, credit: INITIAL_RETRY_CREDIT }
    }

    pub(super) fn set_share(&mut self, share: f64) {
        self.share = share;
    }

    pub(super) fn record_success(&mut self) {
        self.credit = (self.credit + self.share).min(MAX_RETRY_CREDIT);
    }

    /// Consumes one retry and returns `true` if the budget allows it.
    pub(super) fn try_take(&mut self) -> bool {
        let allowed = self.share > 0.0 && self.credit >= 1.0;
        if allowed {
            self.credit -= 1.0;
        }
        allowed
    }
}
