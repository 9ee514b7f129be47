//! Validation of configuration: all errors are reported at once, and no input causes a panic.

use std::collections::BTreeMap;
use std::path::Path;

use proptest::prelude::*;
use proptest::test_runner::{FileFailurePersistence, RngSeed};
use serde_json::{Value, json};
use yuccahoist::config::{
    ConfigFold, ConfigRecord, DocumentName, Documents, Edit, Verdict, merge, validate, validate_change,
};
use yuccahoist::id::{Incarnation, Offset, Revision, SiteId};
use yuccahoist::stream::Fold;
use yuccahoist::unit::{CpuMillis, Slots};

/// Directories of the example configurations.
const EXAMPLE_CELLS: [&str; 2] = ["ishikari-yard", "cawan-semenanjung"];

/// Reads the documents of an example configuration.
fn example(cell: &str) -> Documents {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("../examples").join(cell);
    let mut documents = Documents::default();
    for entry in std::fs::read_dir(directory).expect("examples exist") {
        let path = entry.expect("readable").path();
        let name = path.file_stem().expect("has a name").to_str().expect("UTF-8");
        let text = std::fs::read_to_string(&path).expect("readable");
        let content = serde_json::from_str(&text).expect("JSON");
        documents.set(&name.parse().expect("name"), content);
    }
    documents
}

fn site(name: &str) -> SiteId {
    name.parse().expect("site")
}

/// Returns a fold that has a document set in force.
fn in_force(documents: &Documents) -> ConfigFold {
    let mut fold = ConfigFold::default();
    let overlays = documents.overlays.iter();
    let edits = overlays.map(|(site, content)| (DocumentName::Site(site.clone()), content));
    let base = [(DocumentName::Base, &documents.base)];
    for (revision, (document, content)) in base.into_iter().chain(edits).enumerate() {
        let edit = Edit {
            document,
            based_on: Revision(revision as u64),
            content: content.clone(),
            author: "test".into(),
            note: String::new(),
            allow_capacity_drop: false,
        };
        let offset = Offset(2 * revision as u64);
        let mut out = Vec::new();
        fold.apply(offset, Incarnation(1), ConfigRecord::Edit(Box::new(edit)), &mut out);
        let verdict = fold.evaluate_edit(offset).expect("edit is open");
        assert!(verdict.accepted, "{:?}", verdict.reasons);
        fold.apply(Offset(offset.0 + 1), Incarnation(1), ConfigRecord::Verdict(verdict), &mut out);
    }
    fold
}

/// Guards against example configurations that are invalid, or whose sizes differ from the design page.
#[test]
fn examples_have_the_sizes_of_the_design() {
    for (cell, cpu) in [(EXAMPLE_CELLS[0], 16_000), (EXAMPLE_CELLS[1], 64_000)] {
        let documents = example(cell);
        assert_eq!(validate(&documents), Ok(()), "{cell}");
        assert_eq!(documents.overlays.len(), 3);
        let fold = in_force(&documents);
        for name in documents.overlays.keys() {
            let config = fold.effective(name).expect("valid");
            assert_eq!(config.cell, cell);
            assert_eq!(config.workers().count(), 48);
            assert_eq!(config.racks.len(), 6);
            assert_eq!(config.subjects().len(), 6 + 16);
            let (_, _, worker) = config.workers().next().expect("48 workers");
            assert_eq!((worker.capacity.cpu, worker.slots), (CpuMillis(cpu), Slots(8)));
            assert_eq!(config.backends().len(), 48);
            assert!(config.backends().iter().all(|backend| backend.services.len() == 1));
        }
    }
}

/// Guards against an overlay that is ignored or applied at other sites.
#[test]
fn overlay_applies_to_its_site_only() {
    let fold = in_force(&example(EXAMPLE_CELLS[0]));
    let share = |name: &str| {
        let config = fold.effective(&site(name)).expect("valid");
        config.classes[&yuccahoist::request::Class::Urgent].share
    };
    assert!((share("yard-gate") - 0.6).abs() < 1e-9);
    assert!((share("yard-north") - 0.5).abs() < 1e-9);
    let digest = |name: &str| fold.effective(&site(name)).expect("valid").digest;
    assert_ne!(digest("yard-gate"), digest("yard-north"));
}

/// Guards against a new shard owner that waits only for the run limit of its own site, while the former owner is at a
/// site with a longer one.
#[test]
fn run_limit_covers_all_sites() {
    let mut documents = example(EXAMPLE_CELLS[0]);
    let overlay = json!({"classes": {"heavy": {"run_limit_ms": 90_000}}});
    documents.set(&DocumentName::Site(site("yard-south")), overlay);
    let config = in_force(&documents).effective(&site("yard-north")).expect("valid");
    assert_eq!(config.cell_run_limit.as_secs(), 90);
}

/// Guards against the rejection of workers whose backend server and agent share an address, as in the local example.
#[test]
fn backend_server_and_agent_of_a_worker_may_share_an_address() {
    assert_eq!(validate(&example("local/config")), Ok(()));
}

/// Guards against a merge that differs from the examples of RFC 7396, appendix A.
#[test]
fn merge_follows_rfc_7396() {
    let cases = [
        (json!({"a": "b"}), json!({"a": "c"}), json!({"a": "c"})),
        (json!({"a": "b"}), json!({"b": "c"}), json!({"a": "b", "b": "c"})),
        (json!({"a": "b"}), json!({"a": null}), json!({})),
        (json!({"a": "b", "b": "c"}), json!({"a": null}), json!({"b": "c"})),
        (json!({"a": ["b"]}), json!({"a": "c"}), json!({"a": "c"})),
        (json!({"a": "c"}), json!({"a": ["b"]}), json!({"a": ["b"]})),
        (json!({"a": {"b": "c"}}), json!({"a": {"b": "d", "c": null}}), json!({"a": {"b": "d"}})),
        (json!({"a": [{"b": "c"}]}), json!({"a": [1]}), json!({"a": [1]})),
        (json!(["a", "b"]), json!(["c", "d"]), json!(["c", "d"])),
        (json!({"a": "b"}), json!(["c"]), json!(["c"])),
        (json!({"a": "foo"}), Value::Null, Value::Null),
        (json!({"a": "foo"}), json!("bar"), json!("bar")),
        (json!({"e": null}), json!({"a": 1}), json!({"e": null, "a": 1})),
        (json!([1, 2]), json!({"a": "b", "c": null}), json!({"a": "b"})),
        (json!({}), json!({"a": {"bb": {"ccc": null}}}), json!({"a": {"bb": {}}})),
    ];
    for (mut target, patch, expected) in cases {
        merge(&mut target, &patch);
        assert_eq!(target, expected, "{patch}");
    }
}

/// Guards against validation errors that are missed, or reported without document, path and allowed values.
#[test]
fn each_error_names_path_and_allowed_values() {
    struct Case {
        document: &'static str,
        pointer: &'static str,
        value: Value,
        path: &'static str,
        allowed: &'static str,
    }
    let case = |document, pointer, value, path, allowed| Case { document, pointer, value, path, allowed };
    let cases = [
        case("base", "/classes/urgent/shaer", json!(1), "classes.urgent.shaer", "`share`"),
        case("base", "/classes/urgent/share", json!("half"), "classes.urgent.share", "f64"),
        case("base", "/classes/urgent/share", json!(0.9), "classes (sum of shares)", "at most 1"),
        case("base", "/classes/batch/queue", json!(0), "classes.batch.queue", "1 to 1000000"),
        case("base", "/classes/batch/queue", json!(-1), "classes.batch.queue", "u32"),
        case(
            "base",
            "/workers/racks/0/capacity/memory_mib",
            json!("64GB"),
            "workers.racks[0].capacity.memory_mib",
            "u64",
        ),
        case(
            "base",
            "/workers/racks/0/capacity/cpu_millis",
            json!(16),
            "workers.racks[0].capacity.cpu_millis",
            "100 to",
        ),
        case(
            "base",
            "/workers/racks/0/capacity/connections",
            json!(4),
            "workers.racks[0].capacity.connections",
            "8 to",
        ),
        case("base", "/workers/racks/1/rack", json!("drum-1"), "workers.racks[1].rack", "each rack once"),
        case(
            "base",
            "/workers/racks/1/backend",
            json!("10.0.0.1:80"),
            "workers.racks[1].backend",
            "each address once",
        ),
        case(
            "base",
            "/workers/racks/1/agent",
            json!("10.31.1.{worker}:8080"),
            "workers.racks[1].agent",
            "each address once",
        ),
        case(
            "base",
            "/workers/racks/1/backend",
            json!("host{worker}:80"),
            "workers.racks[1].backend",
            "ip:port",
        ),
        case(
            "base",
            "/workers/racks/1/backend",
            json!(["10.0.0.1:80"]),
            "workers.racks[1].backend",
            "each of 8 workers",
        ),
        case("base", "/workers/racks/1/backend", json!(7), "workers.racks[1].backend", "template"),
        case(
            "base",
            "/workers/racks/0/workers",
            json!(4_000_000_000_u32),
            "workers.racks (workers)",
            "at most 10000",
        ),
        case("base", "/services/drumline/team", json!("night"), "services.drumline.team", "teams section"),
        case(
            "base",
            "/services/drumline/resources/cpu_millis",
            json!(99_000),
            "services.drumline.resources",
            "one worker",
        ),
        case(
            "base",
            "/teams/day-a/quota/cpu_millis",
            json!(1_000),
            "teams.day-a.quota",
            "services of the team",
        ),
        case("base", "/teams/day-a/weight", json!(0), "teams.day-a.weight", "1 to 1000"),
        case(
            "base",
            "/gangs/reline-plan/tasks",
            json!(2_000),
            "gangs.reline-plan.resources",
            "quota of team",
        ),
        case("base", "/limits/intent_rate", json!(500), "limits.intent_rate", "1 to 20"),
        case("base", "/sites/0", json!("base"), "sites[0]", "any name but"),
        case("yard-gate", "/workers", json!({}), "workers", "change the base"),
        case("yard-gate", "/teams", json!({"day-a": {"quota": {}}}), "teams.day-a.quota", "only the weight"),
        case("yard-gate", "/classes/heavy/queue", json!("x"), "classes.heavy.queue", "u32"),
        case("yard-gate", "/limits", json!(null), "limits", ""),
        case("yard-west", "", json!({}), "(document)", "the sites yard-"),
        case("yard-gate", "", json!([]), "(document)", "an object"),
    ];
    for case in cases {
        let mut documents = example(EXAMPLE_CELLS[0]);
        let name: DocumentName = case.document.parse().expect("name");
        let mut content = documents.get(&name).clone();
        set_at(&mut content, case.pointer, case.value.clone());
        documents.set(&name, content);
        // A null in an overlay removes the section from the merged document, which makes it a missing field.
        let errors = validate(&documents).expect_err(case.path);
        let found = errors.iter().any(|error| {
            error.document == name && error.path == case.path && error.allowed.contains(case.allowed)
        });
        assert!(found, "{} {}: {errors:#?}", case.document, case.path);
    }
}

/// Sets the value at a JSON pointer, whose parent must exist.
fn set_at(value: &mut Value, pointer: &str, new: Value) {
    let Some((parent, key)) = pointer.rsplit_once('/') else {
        *value = new;
        return;
    };
    match value.pointer_mut(parent) {
        Some(Value::Object(object)) => {
            object.insert(key.into(), new);
        }
        Some(Value::Array(array)) => array[key.parse::<usize>().expect("index")] = new,
        _ => panic!("{pointer}: parent is neither an object nor an array"),
    }
}

/// Guards against validation that stops at the first error, or that reports errors caused by its own placeholders.
#[test]
fn all_errors_are_reported_at_once() {
    let mut documents = example(EXAMPLE_CELLS[0]);
    let base = &mut documents.base;
    base["classes"]["urgent"]["share"] = json!("half");
    base["classes"]["urgent"]["queue"] = json!(0);
    base["classes"]["batch"].as_object_mut().expect("object").remove("share");
    base["teams"]["day-a"]["wieght"] = json!(1);
    base["teams"]["day-b"] = json!(3);
    base["limits"]["retry_share"] = json!(7);
    base["extra"] = json!({});
    documents.set(&DocumentName::Site(site("yard-south")), json!({}));
    let errors = validate(&documents).expect_err("seven errors");
    let paths: Vec<&str> = errors.iter().map(|error| error.path.as_str()).collect();
    let expected = [
        "classes.batch.share",
        "classes.urgent.queue",
        "classes.urgent.share",
        "extra",
        "limits.retry_share",
        "teams.day-a.wieght",
        "teams.day-b",
    ];
    for path in expected {
        assert!(paths.contains(&path), "{path} is missing: {errors:#?}");
    }
    assert!(errors.iter().all(|error| error.document == DocumentName::Base), "{errors:#?}");
}

/// Guards against a document so large that its validation delays the requests of the hosts.
#[test]
fn oversized_document_is_rejected() {
    let mut documents = example(EXAMPLE_CELLS[0]);
    documents.base["extra"] = json!("x".repeat(300 << 10));
    let errors = validate(&documents).expect_err("too large");
    assert!(errors.iter().any(|error| error.path == "(document size)"), "{errors:?}");
}

/// Guards against a worker index that does not match the racks.
#[test]
fn workers_are_found_by_name() {
    let config = in_force(&example(EXAMPLE_CELLS[0])).effective(&site("yard-gate")).expect("valid");
    for (rack, _, worker) in config.workers() {
        assert!(worker.worker.as_str().starts_with(rack.as_str()));
        assert_eq!(config.worker(&worker.worker), Some(worker));
    }
    assert_eq!(config.worker(&"drum-7-1".parse().expect("name")), None);
}

/// Guards against an edit that removes most of the workers by mistake.
#[test]
fn large_capacity_drop_needs_the_flag() {
    let old = example(EXAMPLE_CELLS[0]);
    for (racks, is_rejected) in [(6, false), (3, false), (2, true)] {
        let mut new = old.clone();
        new.base["workers"]["racks"].as_array_mut().expect("list").truncate(racks);
        new.base["services"]["drumline"]["tasks"] = json!(16);
        assert_eq!(validate_change(&old, &new, false).is_err(), is_rejected, "{racks} racks");
        assert_eq!(validate_change(&old, &new, true), Ok(()));
    }
}

/// Generates JSON of arbitrary shape that uses field names of the configuration and texts of `serde` errors.
fn arbitrary_json() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<u64>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        "[a-z{}`.:0-9]{0,12}".prop_map(Value::from),
        Just(json!("unknown field `x`, expected y")),
        Just(json!("10.0.0.{worker}:80")),
    ];
    leaf.prop_recursive(4, 64, 8, |inner| {
        let key = prop_oneof![
            prop::sample::select(vec![
                "cell",
                "sites",
                "classes",
                "urgent",
                "share",
                "teams",
                "workers",
                "racks",
                "capacity",
                "backend",
                "services",
                "resources",
                "limits",
                "quota",
                "batch",
                "gangs",
                "`, expected",
                "missing field `a`",
            ])
            .prop_map(String::from),
            "[a-z`.]{0,6}".prop_map(String::from),
        ];
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..6).prop_map(Value::from),
            prop::collection::btree_map(key, inner, 0..6)
                .prop_map(|map: BTreeMap<String, Value>| Value::Object(map.into_iter().collect())),
        ]
    })
}

/// Collects the JSON pointers of all values in a document.
fn pointers(value: &Value, prefix: &str, out: &mut Vec<String>) {
    let children: Vec<(String, &Value)> = match value {
        Value::Object(object) => object.iter().map(|(key, child)| (key.clone(), child)).collect(),
        Value::Array(array) => array.iter().enumerate().map(|(i, child)| (i.to_string(), child)).collect(),
        _ => Vec::new(),
    };
    for (key, child) in children {
        let pointer = format!("{prefix}/{key}");
        pointers(child, &pointer, out);
        out.push(pointer);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1000,
        rng_seed: RngSeed::Fixed(4712),
        failure_persistence: Some(Box::new(FileFailurePersistence::WithSource("regressions"))),
        ..ProptestConfig::default()
    })]

    /// Guards against an edit that causes a panic at every host that folds it.
    #[test]
    fn arbitrary_documents_never_panic(
        content in arbitrary_json(),
        overlay in arbitrary_json(),
        picks in prop::collection::vec((any::<prop::sample::Index>(), arbitrary_json()), 0..4),
    ) {
        let mut documents = Documents { base: content.clone(), overlays: BTreeMap::new() };
        documents.set(&DocumentName::Site(site("yard-gate")), overlay.clone());
        let _ = validate(&documents);
        let mut documents = example(EXAMPLE_CELLS[0]);
        for (pick, value) in picks {
            let mut all = Vec::new();
            pointers(&documents.base, "", &mut all);
            let pointer = all[pick.index(all.len())].clone();
            set_at(&mut documents.base, &pointer, value);
        }
        documents.set(&DocumentName::Site(site("yard-gate")), overlay);
        let _ = validate_change(&example(EXAMPLE_CELLS[0]), &documents, false);
        let mut fold = ConfigFold::default();
        let edit = Edit {
            document: DocumentName::Base,
            based_on: Revision(0),
            content,
            author: String::new(),
            note: String::new(),
            allow_capacity_drop: false,
        };
        let mut out = Vec::new();
        fold.apply(Offset(0), Incarnation(1), ConfigRecord::Edit(Box::new(edit)), &mut out);
        let verdict = Verdict { edit: Offset(0), accepted: true, reasons: Vec::new() };
        fold.apply(Offset(1), Incarnation(1), ConfigRecord::Verdict(verdict), &mut out);
        let _ = fold.effective(&site("yard-gate"));
    }

    /// Guards against records in the log that cause a panic when they are decoded.
    #[test]
    fn arbitrary_records_never_panic(text in "[\\[\\]{}\":,a-z0-9]{0,64}", value in arbitrary_json()) {
        let _ = serde_json::from_str::<ConfigRecord>(&text);
        let _ = serde_json::from_value::<ConfigRecord>(json!({"edit": &value}));
        let _ = serde_json::from_value::<ConfigRecord>(json!({"snapshot": &value}));
    }

    /// Guards against a document that changes when it is encoded in a snapshot and decoded again.
    #[test]
    fn documents_round_trip_through_json(value in arbitrary_json()) {
        let text = serde_json::to_string(&value).expect("valid");
        prop_assert_eq!(serde_json::from_str::<Value>(&text).expect("valid"), value);
    }
}
