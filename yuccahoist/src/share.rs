//! Shares by weight, common to all that divide capacity among teams or workspaces.

/// Returns the share of `weight` in the sum of `others` and itself, from 0 to 1; 1 if no weight is positive.
#[must_use]
pub fn weight_share(weight: f64, others: f64) -> f64 {
    let sum = weight + others;
    if sum > 0.0 { weight / sum } else { 1.0 }
}
