//! Configuration edits with the operator command.

use std::time::Duration;

use serde_json::{Value, json};

use crate::harness::Cell;

/// Limit for an accepted edit to be in force at every host.
const EDIT_LIMIT: Duration = Duration::from_secs(3);

/// Guards against an accepted edit that does not reach a host, and against two concurrent edits of the same revision of
/// which the second silently overwrites the first.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn edits_reach_every_host_and_conflicts_are_rejected() {
    let cell = Cell::start(3, 3).await;
    let edit = |share: f64| {
        let mut base = cell.base_document();
        base["limits"]["retry_share"] = json!(share);
        base
    };
    let published = cell.publish("base", 1, &edit(0.2)).await;
    assert_eq!(published.code, Some(0), "{}", published.output);
    cell.wait_revision(2, EDIT_LIMIT).await;

    let (first, second) = (edit(0.3), edit(0.4));
    let (first, second) = tokio::join!(cell.publish("base", 2, &first), cell.publish("base", 2, &second));
    let conflict = match (first.code, second.code) {
        (Some(0), Some(1)) => second,
        (Some(1), Some(0)) => first,
        other => panic!("exit codes {other:?}: {first:?} {second:?}"),
    };
    assert!(conflict.output.contains("conflict: the edit is based on revision 2"), "{}", conflict.output);
    cell.wait_revision(3, EDIT_LIMIT).await;

    let mut invalid = cell.base_document();
    invalid["classes"]["urgent"]["share"] = json!(2);
    invalid["limits"]["unknown"] = Value::Null;
    let rejected = cell.publish("base", 3, &invalid).await;
    assert_eq!(rejected.code, Some(1), "{}", rejected.output);
    for part in ["classes.urgent.share", "limits.unknown"] {
        assert!(rejected.output.contains(part), "{part} is missing in {}", rejected.output);
    }
    cell.wait_revision(3, EDIT_LIMIT).await;
}
