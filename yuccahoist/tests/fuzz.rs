//! Mutated records in all log streams, and arbitrary request headers of callers.

mod common;

use std::time::Duration;

use bytes::Bytes;
use proptest::prelude::*;
use proptest::sample::Index;
use proptest::test_runner::{FileFailurePersistence, RngSeed};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use yuccahoist::config::ConfigFold;
use yuccahoist::daemon::Daemon;
use yuccahoist::event::{HostAction, HostEvent};
use yuccahoist::host::{Host, HostOptions};
use yuccahoist::id::{Incarnation, Offset};
use yuccahoist::intent::IntentFold;
use yuccahoist::job::JobFold;
use yuccahoist::ownership::{CellFold, Member};
use yuccahoist::request::{Answer, Outcome};
use yuccahoist::state_machine::StateMachine;
use yuccahoist::stream::{Fold, StreamClient, StreamEvent, StreamName, StreamSettings};
use yuccahoist::systems::ReadBatch;
use yuccahoist::unit::{Timestamp, WallTime};

use self::common::{ClosureMachine, platform, settings};

/// Base document that the record templates contain.
const BASE_DOCUMENT: &str = include_str!("../../examples/ishikari-yard/base.json");
const RNG_SEED: u64 = 20_261_204;

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(RNG_SEED),
        failure_persistence: Some(Box::new(FileFailurePersistence::WithSource("regressions"))),
        ..ProptestConfig::default()
    }
}

/// Returns valid records of a stream, as bodies of envelopes.
fn templates(stream: StreamName) -> Vec<Value> {
    let base: Value = serde_json::from_str(BASE_DOCUMENT).expect("example");
    let edit = json!({ "document": "base", "based_on": 0, "content": base, "author": "a", "note": "" });
    let member =
        json!({ "host": "b", "incarnation": 2, "address": "127.0.0.1:1", "zone": "z", "site": "yard-north" });
    let job = json!({
        "id": "j", "kind": "batch", "team": "day-a", "priority": 1, "tasks": 2, "attempts": 1,
        "resources": { "cpu_millis": 1, "memory_mib": 1, "accelerators": 0 },
    });
    let documents = json!({ "base": base, "overlays": {} });
    match stream {
        StreamName::Config => vec![
            json!({ "edit": edit }),
            json!({ "verdict": { "edit": 0, "accepted": true, "reasons": [] } }),
            json!({ "snapshot": {
                "through": 3, "in_force": { "revision": 1, "offset": 2 }, "documents": documents,
                "open": { "3": edit }, "history": [],
            } }),
        ],
        StreamName::Cell => vec![
            json!({ "join": { "member": member, "previous": null } }),
            json!("leave"),
            json!({ "remove": { "incarnation": 2 } }),
            json!({ "claim": { "subject": { "shard": "drum-1" }, "previous": null, "read_to": 1 } }),
            json!({ "claim": { "subject": { "partition": 0 }, "previous": 1, "read_to": 1 } }),
            json!({ "renew": { "epochs": [3], "read_to": 4 } }),
            json!({ "release": { "epochs": [3] } }),
            json!({ "snapshot": { "through": 3, "members": [[0, member]], "subjects": [[
                { "shard": "drum-1" },
                { "epoch": 1, "owner": 2, "read_to": 1, "released": false, "ended": false, "earlier": [] },
            ]] } }),
        ],
        StreamName::Intents => {
            vec![json!({ "intents": { "ids": "AZmjwlwAcACAAAEjRWeJqw", "horizon": 1_790_000_000_000_u64 } })]
        }
        StreamName::Jobs => vec![
            json!({ "submitted": job }),
            json!({ "cancelled": { "job": "j" } }),
            json!({ "tasks-done": { "tasks": { "j": [0, 1] } } }),
            json!({ "finished": { "job": "j", "end": "succeeded" } }),
            json!({ "ended": { "jobs": { "j": "cancelled" } } }),
            json!({ "mark": { "by": 2, "number": 1 } }),
        ],
    }
}

/// Generates values that are likely to be out of range or of the wrong type.
fn boundary_value() -> impl Strategy<Value = Value> {
    prop_oneof![
        Just(Value::Null),
        Just(json!(u64::MAX)),
        Just(json!(u64::MAX - 1)),
        Just(json!(-1)),
        Just(json!(0.5)),
        any::<u64>().prop_map(Value::from),
        "[a-z0-9.:-]{0,70}".prop_map(Value::from),
        Just(json!([])),
        Just(json!({})),
    ]
}

/// Counts the values in a JSON tree, the root included.
fn value_count(value: &Value) -> usize {
    1 + match value {
        Value::Array(items) => items.iter().map(value_count).sum(),
        Value::Object(fields) => fields.values().map(value_count).sum(),
        _ => 0,
    }
}

/// Replaces the value at a preorder index of a JSON tree. `index` counts down while the tree is traversed.
fn replace_value(value: &mut Value, index: &mut usize, new: &Value) {
    if *index == 0 {
        *value = new.clone();
    }
    *index = index.wrapping_sub(1);
    match value {
        Value::Array(items) => items.iter_mut().for_each(|item| replace_value(item, index, new)),
        Value::Object(fields) => fields.values_mut().for_each(|field| replace_value(field, index, new)),
        _ => {}
    }
}

/// Choice of a record and of a change to it.
#[derive(Debug, Clone)]
struct Mutation {
    stream: Index,
    template: Index,
    /// Preorder index of the value that is replaced.
    position: Index,
    /// New value; `None` leaves the record valid.
    replacement: Option<Value>,
    producer: u64,
    /// Bytes to append instead of a record.
    raw: Option<Vec<u8>>,
}

fn mutation() -> impl Strategy<Value = Mutation> {
    let raw = prop::option::weighted(0.1, prop::collection::vec(any::<u8>(), 0..200));
    let replacement = prop::option::weighted(0.7, boundary_value());
    (any::<Index>(), any::<Index>(), any::<Index>(), replacement, 1..4_u64, raw).prop_map(
        |(stream, template, position, replacement, producer, raw)| Mutation {
            stream,
            template,
            position,
            replacement,
            producer,
            raw,
        },
    )
}

impl Mutation {
    /// Returns the stream and the encoded record with this sequence number.
    fn record(&self, seq: u64) -> (StreamName, Bytes) {
        let stream = *self.stream.get(&StreamName::ALL);
        if let Some(raw) = &self.raw {
            return (stream, raw.clone().into());
        }
        let templates = templates(stream);
        let body = self.template.get(&templates);
        let mut record = json!({ "producer": self.producer, "seq": seq, "body": body });
        if let Some(replacement) = &self.replacement {
            let mut index = self.position.index(value_count(&record));
            replace_value(&mut record, &mut index, replacement);
        }
        (stream, serde_json::to_vec(&record).expect("JSON").into())
    }
}

fn host() -> Host {
    let member = Member {
        host: "a".parse().expect("host"),
        incarnation: Incarnation(9),
        address: "127.0.0.1:2".parse().expect("address"),
        zone: "north".parse().expect("zone"),
        site: "yard-north".parse().expect("site"),
    };
    Host::new(HostOptions { member, seeds: Vec::new(), streams: StreamSettings::default() })
}

/// Stores the first offset of each read that a host has sent, by stream.
fn track_reads(actions: Vec<HostAction>, in_flight: &mut [Option<Offset>; 4]) {
    for action in actions {
        if let HostAction::Read { stream, from, .. } = action {
            in_flight[stream as usize] = Some(from);
        }
    }
}

/// Returns the number of templates that the client of a stream cannot decode.
fn malformed_templates<F: Fold>(stream: StreamName, fold: F) -> u64 {
    let mut client = StreamClient::new(stream, Incarnation(9), fold, StreamSettings::default());
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let now = Timestamp::from_millis(1_000);
    let mut out = Vec::new();
    client.handle(now, StreamEvent::Tick, &mut rng, &mut out);
    let encode =
        |(seq, body)| serde_json::to_vec(&json!({ "producer": 2, "seq": seq, "body": body })).expect("JSON");
    let records: Vec<(Offset, Bytes)> = (1_u64..)
        .zip(templates(stream))
        .map(|(seq, body)| (Offset(seq - 1), Bytes::from(encode((seq, body)))))
        .collect();
    let end = Offset(records.len() as u64);
    let result = Ok(ReadBatch { earliest: Offset(0), end, records });
    client.handle(now, StreamEvent::Read { sent_at: now, result }, &mut rng, &mut out);
    assert_eq!(client.next(), end, "{stream}");
    client.malformed_records()
}

/// Guards against templates that are no longer valid records, so that mutating them would test nothing.
#[test]
fn templates_are_valid_records() {
    assert_eq!(malformed_templates(StreamName::Config, ConfigFold::default()), 0);
    assert_eq!(malformed_templates(StreamName::Cell, CellFold::new()), 0);
    assert_eq!(malformed_templates(StreamName::Intents, IntentFold::new(Incarnation(9))), 0);
    assert_eq!(malformed_templates(StreamName::Jobs, JobFold::new()), 0);
}

proptest! {
    #![proptest_config(config(300))]

    /// Guards against a record of a faulty or newer writer that causes a panic at every host that reads it.
    #[test]
    fn mutated_records_never_panic(mutations in prop::collection::vec(mutation(), 1..30)) {
        let mut host = host();
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let mut in_flight = [None; 4];
        let mut ends = [0_u64; 4];
        let mut now = Timestamp::from_millis(1_000);
        for (seq, mutation) in (1..).zip(&mutations) {
            let mut out = Vec::new();
            let wall = WallTime::from_millis(1_790_000_000_000 + now.as_micros() / 1_000);
            host.handle(now, HostEvent::Tick { wall }, &mut rng, &mut out);
            track_reads(std::mem::take(&mut out), &mut in_flight);
            let (stream, record) = mutation.record(seq);
            let index = stream as usize;
            let Some(from) = in_flight[index].take() else { continue };
            prop_assert_eq!(from, Offset(ends[index]), "the host skipped a record or read one twice");
            ends[index] += 1;
            let batch =
                ReadBatch { earliest: Offset(0), end: Offset(ends[index]), records: vec![(from, record)] };
            let event = HostEvent::Read { stream, sent_at: now, result: Ok(batch) };
            host.handle(now, event, &mut rng, &mut out);
            track_reads(out, &mut in_flight);
            now = now + Duration::from_millis(1_500);
        }
        let status = host.status();
        prop_assert_eq!(status.host.as_str(), "a");
    }
}

proptest! {
    #![proptest_config(config(150))]

    /// Guards against headers that close the connection, or that get a response without an outcome header.
    #[test]
    fn arbitrary_headers_get_an_outcome(
        values in prop::collection::vec(prop::option::weighted(0.8, "[ -~]{0,80}"), 5),
        service in "[a-z/%0-9]{0,20}",
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("runtime");
        let (status, has_outcome) = runtime.block_on(async {
            let machine = ClosureMachine(|_, event, out: &mut Vec<HostAction>| {
                if let HostEvent::Call { call, request, .. } = event {
                    let outcome = Outcome::Answered(Answer { status: 200, body: request.body });
                    out.push(HostAction::Respond { call, id: request.id, outcome });
                }
            });
            let host = Daemon::start(settings("a"), Box::new(machine), platform()).expect("daemon started");
            let names = ["request-id", "class", "idempotent", "deadline-ms", "team"];
            let url = format!("http://{}/v1/services/{service}", host.api());
            let mut request = reqwest::Client::builder().no_proxy().build().expect("client").post(url);
            for (name, value) in names.iter().zip(&values) {
                if let Some(value) = value {
                    request = request.header(format!("yuccahoist-{name}"), value);
                }
            }
            let response = request.body("x").send().await.expect("response to the request");
            (response.status().as_u16(), response.headers().contains_key("yuccahoist-outcome"))
        });
        prop_assert!(matches!(status, 200 | 400 | 404 | 405), "unexpected status {}", status);
        prop_assert!(has_outcome);
    }
}
