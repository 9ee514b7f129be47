//! Edits by the operator's command.

use std::time::Duration;

use serde_json::{Value, json};

use crate::harness::Cell;

/// Limit for an accepted edit to be in force at every host.
const IN_FORCE: Duration = Duration::from_secs(3);

/// Guards against an accepted edit that misses a host, and against two racing edits of which the later one silently
/// replaces the earlier one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn edits_are_in_force_everywhere_and_conflicts_are_refused() {
    let cell = Cell::start(3, 3).await;
    let edit = |share: f64| {
        let mut base = cell.base();
        base["limits"]["retry_share"] = json!(share);
        base
    };
    let published = cell.publish("base", 1, &edit(0.2)).await;
    assert_eq!(published.code, Some(0), "{}", published.output);
    cell.wait_revision(2, IN_FORCE).await;

    let (first, second) = (edit(0.3), edit(0.4));
    let (first, second) = tokio::join!(cell.publish("base", 2, &first), cell.publish("base", 2, &second));
    let refused = match (first.code, second.code) {
        (Some(0), Some(1)) => second,
        (Some(1), Some(0)) => first,
        other => panic!("exit codes {other:?}: {first:?} {second:?}"),
    };
    assert!(refused.output.contains("conflict: the edit is based on revision 2"), "{}", refused.output);
    cell.wait_revision(3, IN_FORCE).await;

    let mut wrong = cell.base();
    wrong["classes"]["urgent"]["share"] = json!(2);
    wrong["limits"]["unknown"] = Value::Null;
    let rejected = cell.publish("base", 3, &wrong).await;
    assert_eq!(rejected.code, Some(1), "{}", rejected.output);
    for part in ["classes.urgent.share", "limits.unknown"] {
        assert!(rejected.output.contains(part), "{part} is missing in {}", rejected.output);
    }
    cell.wait_revision(3, IN_FORCE).await;
}
