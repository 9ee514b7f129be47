//! Tests of the replicated state of the `cell` stream.

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, FileFailurePersistence, RngAlgorithm, RngSeed};
use yuccahoist::id::{Epoch, HostId, Incarnation, Offset, PartitionId, Subject};
use yuccahoist::ownership::{CellChange, CellFold, CellRecord, LeaveCause, Member};
use yuccahoist::stream::Fold;

fn member(host: u8, incarnation: u64) -> Member {
    Member {
        host: HostId::new(&format!("host-{host}")).expect("valid host name"),
        incarnation: Incarnation(incarnation),
        address: ([127, 0, 0, 1], 7000 + u16::from(host)).into(),
        zone: "zone-a".parse().expect("valid zone name"),
        site: "site-a".parse().expect("valid site name"),
    }
}

fn subject(number: u16) -> Subject {
    Subject::Partition(PartitionId(number))
}

fn join(host: u8, incarnation: u64, previous: Option<u64>) -> (u64, CellRecord) {
    let previous = previous.map(Incarnation);
    (incarnation, CellRecord::Join { member: member(host, incarnation), previous })
}

fn claim(producer: u64, previous: Option<u64>, read_to: u64) -> (u64, CellRecord) {
    let previous = previous.map(Epoch);
    (producer, CellRecord::Claim { subject: subject(0), previous, read_to: Offset(read_to) })
}

/// Applies records with their producers at rising offsets from 0.
fn apply_all(records: &[(u64, CellRecord)]) -> (CellFold, Vec<CellChange>) {
    let mut fold = CellFold::new();
    let mut changes = Vec::new();
    for (offset, (producer, record)) in records.iter().enumerate() {
        fold.apply(Offset(offset as u64), Incarnation(*producer), record.clone(), &mut changes);
    }
    (fold, changes)
}

struct OwnerCase {
    /// Failure that the case guards against.
    failure: &'static str,
    records: Vec<(u64, CellRecord)>,
    /// Epoch, owner and number of earlier owners that are not known to have finished.
    owner: Option<(u64, u64, usize)>,
}

#[test]
fn claims_are_fenced() {
    let release = |producer, epoch| (producer, CellRecord::Release { epochs: vec![Epoch(epoch)] });
    let cases = [
        OwnerCase {
            failure: "claim of a host outside the view is accepted",
            records: vec![claim(1, None, 0)],
            owner: None,
        },
        OwnerCase {
            failure: "claim over an epoch that is no longer current is accepted",
            records: vec![join(1, 1, None), join(2, 2, None), claim(1, None, 2), claim(2, None, 2)],
            owner: Some((2, 1, 0)),
        },
        OwnerCase {
            failure: "earlier owner that may still have requests in flight is dropped",
            records: vec![join(1, 1, None), join(2, 2, None), claim(1, None, 2), claim(2, Some(2), 3)],
            owner: Some((3, 2, 1)),
        },
        OwnerCase {
            failure: "earlier owner that released before the claim is kept",
            records: vec![
                join(1, 1, None),
                join(2, 2, None),
                claim(1, None, 2),
                release(1, 2),
                claim(2, Some(2), 4),
            ],
            owner: Some((4, 2, 0)),
        },
        OwnerCase {
            failure: "earlier owner that released after the claim is kept",
            records: vec![
                join(1, 1, None),
                join(2, 2, None),
                claim(1, None, 2),
                claim(2, Some(2), 3),
                release(1, 2),
            ],
            owner: Some((3, 2, 0)),
        },
        OwnerCase {
            failure: "release by another host is accepted",
            records: vec![
                join(1, 1, None),
                join(2, 2, None),
                claim(1, None, 2),
                claim(2, Some(2), 3),
                release(2, 2),
            ],
            owner: Some((3, 2, 1)),
        },
        OwnerCase {
            failure: "cleared earlier owners are kept",
            records: vec![
                join(1, 1, None),
                join(2, 2, None),
                claim(1, None, 2),
                claim(2, Some(2), 3),
                (2, CellRecord::Cleared { epoch: Epoch(3) }),
            ],
            owner: Some((3, 2, 0)),
        },
        OwnerCase {
            failure: "earlier owners are cleared by a host that does not hold the epoch",
            records: vec![
                join(1, 1, None),
                join(2, 2, None),
                claim(1, None, 2),
                claim(2, Some(2), 3),
                (1, CellRecord::Cleared { epoch: Epoch(3) }),
            ],
            owner: Some((3, 2, 1)),
        },
    ];
    for case in cases {
        let (fold, _) = apply_all(&case.records);
        let state = fold.subject(&subject(0)).filter(|state| !state.released);
        let owner = state.map(|state| (state.epoch.0, state.owner.0, state.earlier.len()));
        assert_eq!(owner, case.owner, "{}", case.failure);
    }
}

/// Guards against a claimer that counts as a member of the owner's view although the owner had not read its join. The
/// owner would not have asked that claimer for a promise.
#[test]
fn claimer_is_in_view_only_if_the_owner_had_read_its_join() {
    for (read_to, in_view) in [(1, false), (2, true)] {
        let renew = CellRecord::Renew { epochs: vec![Epoch(2)], read_to: Offset(read_to) };
        let records =
            [join(1, 1, None), join(2, 2, None), claim(1, None, 0), (1, renew), claim(2, Some(2), 4)];
        let (fold, _) = apply_all(&records);
        let state = fold.subject(&subject(0)).expect("subject was claimed");
        assert_eq!(state.earlier[0].in_view, in_view, "read to {read_to}");
    }
}

/// Guards against a delayed join of an ended process that replaces the running one and counts as evidence of its end.
#[test]
fn late_join_of_an_ended_process_is_void() {
    let (fold, changes) =
        apply_all(&[join(1, 1, None), join(1, 3, Some(1)), join(1, 2, None), join(1, 2, Some(1))]);
    let members: Vec<_> = fold.members().map(|(_, member)| member.incarnation.0).collect();
    assert_eq!(members, [3]);
    let left = CellChange::Left { incarnation: Incarnation(1), cause: LeaveCause::Replaced };
    assert_eq!(changes.iter().filter(|change| **change == left).count(), 1);
}

/// Guards against a lease that a removed or replaced owner renews.
#[test]
fn renewal_from_outside_the_view_is_void() {
    let renew = || CellRecord::Renew { epochs: vec![Epoch(1)], read_to: Offset(9) };
    for end in [join(1, 2, Some(1)), (5, CellRecord::Remove { incarnation: Incarnation(1) })] {
        let records = [join(1, 1, None), claim(1, None, 1), join(5, 5, None), end, (1, renew())];
        let (_, changes) = apply_all(&records);
        let renewed = changes.iter().any(|change| matches!(change, CellChange::Renewed { .. }));
        assert!(!renewed);
    }
}

fn record() -> impl Strategy<Value = (u64, CellRecord)> {
    let epochs = || vec((0..40_u64).prop_map(Epoch), 0..4);
    let previous = || proptest::option::of(0..40_u64);
    let producer = || 1..6_u64;
    prop_oneof![
        (producer(), proptest::option::of(producer())).prop_map(|(p, previous)| join(
            p as u8 % 3,
            p,
            previous
        )),
        (producer(), previous(), 0..40_u64).prop_map(|(p, previous, read_to)| claim(p, previous, read_to)),
        (producer(), Just(None), 0..40_u64).prop_map(|(p, previous, read_to)| claim(p, previous, read_to)),
        (producer(), epochs(), 0..40_u64)
            .prop_map(|(p, epochs, to)| (p, CellRecord::Renew { epochs, read_to: Offset(to) })),
        (producer(), epochs()).prop_map(|(p, epochs)| (p, CellRecord::Release { epochs })),
        (producer(), 0..40_u64).prop_map(|(p, epoch)| (p, CellRecord::Cleared { epoch: Epoch(epoch) })),
        producer().prop_map(|p| (p, CellRecord::Leave)),
        (producer(), producer()).prop_map(|(p, i)| (p, CellRecord::Remove { incarnation: Incarnation(i) })),
    ]
}

proptest! {
    #![proptest_config(Config {
        cases: 200,
        rng_seed: RngSeed::Fixed(20_261_204),
        rng_algorithm: RngAlgorithm::ChaCha,
        failure_persistence: Some(Box::new(FileFailurePersistence::Direct("tests/cell_fold_regressions.txt"))),
        ..Config::default()
    })]

    /// Guards against a snapshot that loses state. A host that starts from it must reach the same state as the others.
    #[test]
    fn snapshot_and_later_records_give_the_same_state(records in vec(record(), 1..60), cut in 0..60_usize) {
        let cut = cut.min(records.len());
        let (expected, _) = apply_all(&records);
        let (first, _) = apply_all(&records[..cut]);
        let snapshot = first.snapshot(Offset(cut as u64)).expect("`cell` stream has snapshots");
        let text = serde_json::to_string(&snapshot).expect("snapshot as JSON");
        let mut restored = CellFold::new();
        let mut changes = Vec::new();
        restored.restore(serde_json::from_str(&text).expect("snapshot from JSON"), &mut changes);
        prop_assert_eq!(&restored, &first);
        for (offset, (producer, record)) in records.iter().enumerate().skip(cut) {
            restored.apply(Offset(offset as u64), Incarnation(*producer), record.clone(), &mut changes);
        }
        prop_assert_eq!(restored, expected);
    }
}
