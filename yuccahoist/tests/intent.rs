//! Fold of the `intents` stream: which record permits a host to forward a request.

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use yuccahoist::id::{Incarnation, Offset, RequestId};
use yuccahoist::intent::{IntentEffect, IntentFold, IntentRecord};
use yuccahoist::stream::Fold;
use yuccahoist::unit::WallTime;

const HOST_A: Incarnation = Incarnation(1);
const HOST_B: Incarnation = Incarnation(2);
/// Wall time at which the tests begin, in milliseconds.
const START_MS: u64 = 1_790_000_000_000;
const WINDOW_MS: u64 = 900_000;

fn id(ms: u64, random: u8) -> RequestId {
    RequestId::from_parts(WallTime::from_millis(START_MS + ms), [random; 10])
}

/// Returns a record written `ms` after [`START_MS`].
fn record(ms: u64, ids: &[RequestId]) -> IntentRecord {
    IntentRecord::Intents { ids: ids.to_vec(), horizon: WallTime::from_millis(START_MS + ms - WINDOW_MS) }
}

/// Folds the records from offset `from` on and returns the effects.
fn fold_records(host: Incarnation, records: &[(Incarnation, IntentRecord)], from: u64) -> Vec<IntentEffect> {
    let mut fold = IntentFold::new(host);
    if from > 0 {
        fold.start_after_truncation(Offset(from), Offset(records.len() as u64));
    }
    apply_records(&mut fold, records, from)
}

fn apply_records(
    fold: &mut IntentFold,
    records: &[(Incarnation, IntentRecord)],
    from: u64,
) -> Vec<IntentEffect> {
    let mut out = Vec::new();
    for (offset, (producer, record)) in (0..).zip(records).filter(|(offset, _)| *offset >= from) {
        fold.apply(Offset(offset), *producer, record.clone(), &mut out);
    }
    out
}

/// Guards against a host that forwards a request whose id was first recorded by another host.
#[test]
fn first_record_of_an_id_wins() {
    let (x, y) = (id(0, 1), id(1, 2));
    struct Case {
        name: &'static str,
        records: Vec<(Incarnation, IntentRecord)>,
        effects: Vec<IntentEffect>,
    }
    let cases = [
        Case {
            name: "own record alone",
            records: vec![(HOST_A, record(2, &[x, y]))],
            effects: vec![IntentEffect::First { id: x }, IntentEffect::First { id: y }],
        },
        Case {
            name: "other host first",
            records: vec![(HOST_B, record(2, &[x])), (HOST_A, record(3, &[x]))],
            effects: vec![IntentEffect::Duplicate { id: x, first: HOST_B }],
        },
        Case {
            name: "other host second",
            records: vec![(HOST_A, record(2, &[x])), (HOST_B, record(3, &[x]))],
            effects: vec![IntentEffect::First { id: x }],
        },
        Case {
            name: "own record twice",
            records: vec![(HOST_A, record(2, &[x])), (HOST_A, record(3, &[x]))],
            effects: vec![IntentEffect::First { id: x }, IntentEffect::Duplicate { id: x, first: HOST_A }],
        },
        Case {
            name: "horizon of another host passed the id",
            records: vec![(HOST_B, record(WINDOW_MS + 1, &[])), (HOST_A, record(3, &[x]))],
            effects: vec![IntentEffect::TooOld { id: x }],
        },
        Case {
            name: "evicted id is recorded again",
            records: vec![
                (HOST_A, record(2, &[x])),
                (HOST_B, record(WINDOW_MS + 1, &[])),
                (HOST_A, record(3, &[x])),
            ],
            effects: vec![IntentEffect::First { id: x }, IntentEffect::TooOld { id: x }],
        },
    ];
    for case in cases {
        assert_eq!(fold_records(HOST_A, &case.records, 0), case.effects, "{}", case.name);
    }
}

/// Guards against a reader that treats a duplicate as the first record, because the first one was truncated.
#[test]
fn reader_behind_truncation_rejects_ids_that_may_be_truncated() {
    let truncated_id = id(1_000, 1);
    struct Case {
        name: &'static str,
        remaining: Vec<(Incarnation, IntentRecord)>,
        requested: RequestId,
        rejected: bool,
    }
    let cases = [
        Case {
            name: "truncated id",
            remaining: vec![(HOST_B, record(1_100, &[id(1_050, 2)]))],
            requested: truncated_id,
            rejected: true,
        },
        Case {
            name: "newer than the tolerated clock skew",
            remaining: vec![(HOST_B, record(1_100, &[id(1_050, 2)]))],
            requested: id(3_101, 3),
            rejected: false,
        },
        Case {
            name: "remaining records contain only old ids",
            remaining: vec![(HOST_B, record(1_100, &[id(0, 2)]))],
            requested: truncated_id,
            rejected: true,
        },
        Case { name: "no record remains", remaining: vec![], requested: truncated_id, rejected: true },
    ];
    for case in cases {
        let mut records = vec![(HOST_B, record(1_010, &[truncated_id]))];
        records.extend(case.remaining);
        let mut reader = IntentFold::new(HOST_A);
        reader.start_after_truncation(Offset(1), Offset(records.len() as u64));
        records.push((HOST_A, record(3_200, &[case.requested])));
        let effects = apply_records(&mut reader, &records, 1);
        let expected = match case.rejected {
            true => IntentEffect::TooOld { id: case.requested },
            false => IntentEffect::First { id: case.requested },
        };
        assert_eq!(effects, [expected], "{}", case.name);
    }
}

/// Guards against an encoding that takes more than about 22 bytes per id, or that other hosts cannot decode.
#[test]
fn record_is_compact_and_round_trips() {
    let ids: Vec<RequestId> = (0..100).map(|n| id(n, 7)).collect();
    let encoded = serde_json::to_string(&record(10, &ids)).expect("encode record");
    assert!(encoded.len() < ids.len() * 22 + 80, "{} bytes", encoded.len());
    assert_eq!(serde_json::from_str::<IntentRecord>(&encoded).expect("decode record"), record(10, &ids));
    for bad in ["AAAA", "****"] {
        let encoded = format!(r#"{{"intents":{{"ids":"{bad}","horizon":1}}}}"#);
        assert!(serde_json::from_str::<IntentRecord>(&encoded).is_err(), "{bad}");
    }
}

/// Guards against retention of ids beyond the id window.
#[test]
fn retained_ids_are_bounded_by_the_window() {
    let mut fold = IntentFold::new(HOST_A);
    for minute in 0..120_u64 {
        let ms = minute * 60_000 + WINDOW_MS;
        let ids: Vec<RequestId> = (0..10).map(|n| id(ms, n)).collect();
        fold.apply(Offset(minute), HOST_B, record(ms, &ids), &mut Vec::new());
        assert!(fold.len() <= 160, "{} ids", fold.len());
    }
    assert_eq!(fold.len(), 160);
    fold.configure_window(Duration::from_secs(60), Duration::from_secs(2));
    assert!(!fold.is_empty());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, rng_seed: RngSeed::Fixed(0x696e_7465), ..ProptestConfig::default() })]

    /// Guards against two hosts that each take their own record as the first, at whichever offset they start reading.
    #[test]
    fn at_most_one_host_is_first(
        script in prop::collection::vec((0_u64..4, 0_u64..60, 0_u8..3, 0_u64..400_000), 1..40),
        from in 0_u64..20,
    ) {
        let mut now = WINDOW_MS;
        let records: Vec<(Incarnation, IntentRecord)> = script
            .into_iter()
            .map(|(host, age, random, step)| {
                now += step;
                let created = now.saturating_sub(age * 20_000) / 60_000 * 60_000;
                (Incarnation(host), record(now, &[id(created, random)]))
            })
            .collect();
        let mut first = std::collections::BTreeMap::new();
        for host in 0..4 {
            // A host that starts after a truncation has no record in the truncated part.
            let truncated = &records[..records.len().min(from as usize)];
            let from = if truncated.iter().any(|(producer, _)| producer.0 == host) { 0 } else { from };
            let mut reader = IntentFold::new(Incarnation(host));
            if from > 0 {
                reader.start_after_truncation(Offset(from), Offset(from));
            }
            for effect in apply_records(&mut reader, &records, from) {
                if let IntentEffect::First { id } = effect {
                    prop_assert_eq!(first.insert(id, host), None, "two hosts are first with {}", id);
                }
            }
        }
    }
}
