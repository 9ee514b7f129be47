//! Register of request ids: which record permits a forward.

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use yuccahoist::id::{Incarnation, Offset, RequestId};
use yuccahoist::intent::{IntentEffect, IntentFold, IntentRecord};
use yuccahoist::stream::Fold;
use yuccahoist::unit::WallTime;

const A: Incarnation = Incarnation(1);
const B: Incarnation = Incarnation(2);
const START: u64 = 1_790_000_000_000;
const WINDOW_MS: u64 = 900_000;

fn id(ms: u64, random: u8) -> RequestId {
    RequestId::from_parts(WallTime::from_millis(START + ms), [random; 10])
}

/// Record that was written at `ms`.
fn record(ms: u64, ids: &[RequestId]) -> IntentRecord {
    IntentRecord::Intents { ids: ids.to_vec(), horizon: WallTime::from_millis(START + ms - WINDOW_MS) }
}

fn fold(host: Incarnation, records: &[(Incarnation, IntentRecord)], from: u64) -> Vec<IntentEffect> {
    let mut fold = IntentFold::new(host);
    if from > 0 {
        fold.start_behind(Offset(from), Offset(records.len() as u64));
    }
    apply(&mut fold, records, from)
}

fn apply(fold: &mut IntentFold, records: &[(Incarnation, IntentRecord)], from: u64) -> Vec<IntentEffect> {
    let mut out = Vec::new();
    for (offset, (producer, record)) in (0..).zip(records).filter(|(offset, _)| *offset >= from) {
        fold.apply(Offset(offset), *producer, record.clone(), &mut out);
    }
    out
}

/// Guards against a wrong answer to who was first.
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
            records: vec![(A, record(2, &[x, y]))],
            effects: vec![IntentEffect::First { id: x }, IntentEffect::First { id: y }],
        },
        Case {
            name: "other host first",
            records: vec![(B, record(2, &[x])), (A, record(3, &[x]))],
            effects: vec![IntentEffect::Duplicate { id: x, first: B }],
        },
        Case {
            name: "other host second",
            records: vec![(A, record(2, &[x])), (B, record(3, &[x]))],
            effects: vec![IntentEffect::First { id: x }],
        },
        Case {
            name: "own record twice",
            records: vec![(A, record(2, &[x])), (A, record(3, &[x]))],
            effects: vec![IntentEffect::First { id: x }, IntentEffect::Duplicate { id: x, first: A }],
        },
        Case {
            name: "horizon of another host passed the id",
            records: vec![(B, record(WINDOW_MS + 1, &[])), (A, record(3, &[x]))],
            effects: vec![IntentEffect::TooOld { id: x }],
        },
        Case {
            name: "forgotten id comes again",
            records: vec![(A, record(2, &[x])), (B, record(WINDOW_MS + 1, &[])), (A, record(3, &[x]))],
            effects: vec![IntentEffect::First { id: x }, IntentEffect::TooOld { id: x }],
        },
    ];
    for case in cases {
        assert_eq!(fold(A, &case.records, 0), case.effects, "{}", case.name);
    }
}

/// Guards against a reader that takes a duplicate for a first record, because it has not seen the lost record.
#[test]
fn reader_behind_truncation_refuses_what_may_be_lost() {
    let lost = id(1_000, 1);
    struct Case {
        name: &'static str,
        kept: Vec<(Incarnation, IntentRecord)>,
        asked: RequestId,
        refused: bool,
    }
    let cases = [
        Case { name: "lost id", kept: vec![(B, record(1_100, &[id(1_050, 2)]))], asked: lost, refused: true },
        Case {
            name: "newer by the allowed clock difference",
            kept: vec![(B, record(1_100, &[id(1_050, 2)]))],
            asked: id(3_101, 3),
            refused: false,
        },
        Case {
            name: "kept records hold old ids only",
            kept: vec![(B, record(1_100, &[id(0, 2)]))],
            asked: lost,
            refused: true,
        },
        Case { name: "nothing is kept", kept: vec![], asked: lost, refused: true },
    ];
    for case in cases {
        let mut records = vec![(B, record(1_010, &[lost]))];
        records.extend(case.kept);
        let mut reader = IntentFold::new(A);
        reader.start_behind(Offset(1), Offset(records.len() as u64));
        records.push((A, record(3_200, &[case.asked])));
        let effects = apply(&mut reader, &records, 1);
        let expected = match case.refused {
            true => IntentEffect::TooOld { id: case.asked },
            false => IntentEffect::First { id: case.asked },
        };
        assert_eq!(effects, [expected], "{}", case.name);
    }
}

/// Guards against a large record, and against one that another host cannot read.
#[test]
fn record_is_small_and_reads_back() {
    let ids: Vec<RequestId> = (0..100).map(|n| id(n, 7)).collect();
    let text = serde_json::to_string(&record(10, &ids)).expect("record");
    assert!(text.len() < ids.len() * 22 + 80, "{} bytes", text.len());
    assert_eq!(serde_json::from_str::<IntentRecord>(&text).expect("record"), record(10, &ids));
    for bad in ["AAAA", "****"] {
        let text = format!(r#"{{"intents":{{"ids":"{bad}","horizon":1}}}}"#);
        assert!(serde_json::from_str::<IntentRecord>(&text).is_err(), "{bad}");
    }
}

/// Guards against memory that grows beyond the id window.
#[test]
fn memory_is_bounded_by_the_window() {
    let mut fold = IntentFold::new(A);
    for minute in 0..120_u64 {
        let ms = minute * 60_000 + WINDOW_MS;
        let ids: Vec<RequestId> = (0..10).map(|n| id(ms, n)).collect();
        fold.apply(Offset(minute), B, record(ms, &ids), &mut Vec::new());
        assert!(fold.len() <= 160, "{} ids", fold.len());
    }
    assert_eq!(fold.len(), 160);
    fold.set_limits(Duration::from_secs(60), Duration::from_secs(2));
    assert!(!fold.is_empty());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, rng_seed: RngSeed::Fixed(0x696e_7465), ..ProptestConfig::default() })]

    /// Guards against two hosts that both see their own record as the first, wherever each began to read.
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
            // A host that starts behind truncation has no record in the lost part.
            let lost = &records[..records.len().min(from as usize)];
            let from = if lost.iter().any(|(producer, _)| producer.0 == host) { 0 } else { from };
            let mut reader = IntentFold::new(Incarnation(host));
            if from > 0 {
                reader.start_behind(Offset(from), Offset(from));
            }
            for effect in apply(&mut reader, &records, from) {
                if let IntentEffect::First { id } = effect {
                    prop_assert_eq!(first.insert(id, host), None, "two hosts are first with {}", id);
                }
            }
        }
    }
}
