//! Requests, batch jobs and gangs without faults.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::harness::{Call, Cell, check_replies};

/// Guards against hosts that serve only the racks they own, and against two runs of a non-idempotent request that is
/// sent to two hosts.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn every_host_accepts_every_kind_of_work() {
    let cell = Cell::start(3, 3).await;
    let mut exchanges = Vec::new();
    for host in cell.running_caller_addresses() {
        for idempotent in [true, false] {
            let exchange = cell.caller.send(host, &Call::new(idempotent, Duration::ZERO)).await;
            assert!(exchange.has_outcome("answered"), "{exchange:?}");
            exchanges.push(exchange);
        }
    }
    let duplicate = Call::new(false, Duration::from_millis(300));
    let (first, second) = tokio::join!(
        cell.caller.send(cell.caller_address(0), &duplicate),
        cell.caller.send(cell.caller_address(1), &duplicate)
    );
    assert!(first.has_outcome("answered") && second.has_outcome("answered"), "{first:?} {second:?}");
    exchanges.extend([first, second]);
    check_replies(&cell.worker_records().await, &exchanges);

    for (host, id, kind) in [(1, "wash", "batch"), (2, "reline", "gang")] {
        assert_eq!(cell.submit(cell.caller_address(host), id, kind, 3).await, 202);
        assert_eq!(
            cell.submit(cell.caller_address(0), id, kind, 3).await,
            202,
            "repeated submission of {id}"
        );
        cell.wait_succeeded(cell.caller_address(0), id).await;
        let attempts = cell.worker_records().await.attempts(id);
        let indices: BTreeSet<u64> = attempts.iter().map(|attempt| attempt.index).collect();
        assert_eq!((attempts.len(), indices.len()), (3, 3), "{id}: {attempts:?}");
        if kind == "gang" {
            let last_start = attempts.iter().map(|attempt| attempt.start).max();
            let first_end = attempts.iter().filter_map(|attempt| attempt.end).min();
            assert!(last_start < first_end, "tasks of the gang did not run at the same time: {attempts:?}");
        }
    }
}
