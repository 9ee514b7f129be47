//! The path of a request, a job and a gang.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::harness::{Call, Cell, check};

/// Guards against hosts that answer only for their own racks, and against two runs of a request that reaches two hosts.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn every_host_takes_every_kind_of_work() {
    let cell = Cell::start(3, 3).await;
    let mut sent = Vec::new();
    for host in cell.apis() {
        for idempotent in [true, false] {
            let one = cell.caller.send(host, &Call::new(idempotent, Duration::ZERO)).await;
            assert!(one.is("answered"), "{one:?}");
            sent.push(one);
        }
    }
    let twice = Call::new(false, Duration::from_millis(300));
    let (first, second) =
        tokio::join!(cell.caller.send(cell.api(0), &twice), cell.caller.send(cell.api(1), &twice));
    assert!(first.is("answered") && second.is("answered"), "{first:?} {second:?}");
    sent.extend([first, second]);
    check(&cell.record().await, &sent);

    for (host, id, kind) in [(1, "wash", "batch"), (2, "reline", "gang")] {
        assert_eq!(cell.submit(cell.api(host), id, kind, 3).await, 202);
        assert_eq!(cell.submit(cell.api(0), id, kind, 3).await, 202, "repeated submission of {id}");
        cell.wait_finished(cell.api(0), id).await;
        let attempts = cell.record().await.attempts(id);
        let indices: BTreeSet<u64> = attempts.iter().map(|attempt| attempt.index).collect();
        assert_eq!((attempts.len(), indices.len()), (3, 3), "{id}: {attempts:?}");
        if kind == "gang" {
            let last_start = attempts.iter().map(|attempt| attempt.start).max();
            let first_end = attempts.iter().filter_map(|attempt| attempt.end).min();
            assert!(last_start < first_end, "tasks of the gang did not run together: {attempts:?}");
        }
    }
}
