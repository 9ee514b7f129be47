//! Ranges of the sections `classes`, `teams` and `limits`.

use super::Findings;
use crate::config::CellDocument;
use crate::id::TeamId;

/// Upper bound of the time limits of a class, one day.
const MAX_CLASS_LIMIT_MS: u64 = 24 * 3_600_000;
/// Rounding error by which the sum of the shares may exceed 1.
const MAX_SHARE_ROUNDING: f64 = 1e-9;

pub(super) fn check(document: &CellDocument, findings: &mut Findings) {
    check_classes(document, findings);
    check_teams(document, findings);
    check_limits(document, findings);
}

fn check_classes(document: &CellDocument, findings: &mut Findings) {
    for (class, section) in document.classes.by_class() {
        let path = |field: &str| format!("classes.{class}.{field}");
        findings.check(
            section.share > 0.0 && section.share <= 1.0,
            path("share"),
            section.share,
            "above 0, at most 1",
        );
        findings.range(path("queue"), section.queue, 1, 1_000_000);
        findings.range(path("run_limit_ms"), section.run_limit_ms, 1, MAX_CLASS_LIMIT_MS);
        findings.range(path("deadline_limit_ms"), section.deadline_limit_ms, 1, MAX_CLASS_LIMIT_MS);
    }
}

/// Checks that the shares of all classes sum up to at most 1.
pub(super) fn check_shares(document: &CellDocument, findings: &mut Findings) {
    let sum: f64 = document.classes.by_class().iter().map(|(_, section)| section.share).sum();
    findings.check(sum <= 1.0 + MAX_SHARE_ROUNDING, "classes (sum of shares)", sum, "at most 1");
}

fn check_teams(document: &CellDocument, findings: &mut Findings) {
    findings.range("teams (number)", document.teams.len(), 1, 1_000);
    for (name, section) in &document.teams {
        let id = name.parse::<TeamId>();
        findings.check(id.is_ok(), format!("teams.{name}"), name, "a name of 1 to 64 characters");
        findings.range(format!("teams.{name}.weight"), section.weight, 1, 1_000);
    }
}

fn check_limits(document: &CellDocument, findings: &mut Findings) {
    let limits = &document.limits;
    findings.range("limits.id_window_ms", limits.id_window_ms, 60_000, 3_600_000);
    findings.range("limits.clock_skew_ms", limits.clock_skew_ms, 0, 60_000);
    findings.range("limits.retry_share", limits.retry_share, 0.0, 1.0);
    findings.range("limits.body_bytes", limits.body_bytes, 1, 64 << 20);
    // 9 hosts with 20 batches per second use 180 of the cell's 300 appends per second.
    findings.range("limits.intent_rate", limits.intent_rate, 1, 20);
    findings.range("limits.intent_batch", limits.intent_batch, 1, 10_000);
}
