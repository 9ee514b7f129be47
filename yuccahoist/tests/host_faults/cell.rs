//! Configuration, edits and jobs of the simulated cell.

use bytes::Bytes;
use serde_json::{Value, json};
use yuccahoist::config::{ConfigRecord, DocumentName, Edit};
use yuccahoist::id::{Incarnation, Revision, Sequence};
use yuccahoist::job::{JobKind, JobSpec, Priority};
use yuccahoist::stream::{Envelope, encode};
use yuccahoist::unit::Resources;

/// Racks of the cell; the highest-numbered one has accelerators.
pub const RACK_COUNT: usize = 3;
pub const WORKERS_PER_RACK: usize = 2;
pub const SLOTS_PER_WORKER: usize = 4;

/// Parses a name or id from a literal; panics if it is not valid.
pub fn name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("valid name")
}

/// Returns the capacity of a worker in a rack; only workers of the last rack have accelerators.
pub fn capacity(rack: usize) -> Resources {
    Resources::new(16_000, 65_536, if rack + 1 == RACK_COUNT { 4 } else { 0 })
}

/// Returns the base document. Each `queue_limit` of the urgent class gives another content, so that revisions differ.
pub fn base_document(queue_limit: u64) -> Value {
    let class = |share: f64, run: u64, queue: u64| json!({"share": share, "queue": queue, "run_limit_ms": run, "deadline_limit_ms": 60_000});
    let racks: Vec<Value> = (0..RACK_COUNT)
        .map(|rack| {
            json!({"rack": format!("rack-{rack}"), "zone": format!("zone-{}", rack % 2), "workers": WORKERS_PER_RACK,
                "capacity": {"cpu_millis": 16_000, "memory_mib": 65_536,
                    "accelerators": capacity(rack).accelerators.0, "slots": SLOTS_PER_WORKER, "connections": 8},
                "backend": format!("10.0.{rack}.{{worker}}:80"), "agent": format!("10.0.{rack}.{{worker}}:81")})
        })
        .collect();
    let quota = json!({"cpu_millis": 80_000, "memory_mib": 400_000, "accelerators": 8});
    json!({
        "cell": "test",
        "sites": ["site-a"],
        "classes": {"urgent": class(0.5, 1_000, queue_limit), "batch": class(0.25, 1_500, 64),
            "heavy": class(0.25, 2_000, 64)},
        "teams": {"day-a": {"quota": quota, "weight": 1}, "day-b": {"quota": quota, "weight": 2}},
        "workers": {"racks": racks},
        "services": {"drumline": {"team": "day-a", "priority": 100, "tasks": 4, "spread": "zone",
            "resources": {"cpu_millis": 2_000, "memory_mib": 4_096, "accelerators": 0}}},
        "limits": {"id_window_ms": 900_000, "clock_skew_ms": 2_000, "retry_share": 0.1,
            "body_bytes": 1_048_576, "intent_rate": 20, "intent_batch": 512},
    })
}

/// Encodes an edit of the base document as a log record.
///
/// Each edit needs its own `producer`, as its sequence number is always 1.
pub fn edit_record(producer: u64, based_on: u64, content: Value) -> Bytes {
    let edit = Edit {
        document: DocumentName::Base,
        based_on: Revision(based_on),
        content,
        author: "operator".into(),
        note: String::new(),
        allow_capacity_drop: false,
    };
    let body = ConfigRecord::Edit(Box::new(edit));
    let envelope = Envelope { producer: Incarnation(1_000_000 + producer), seq: Sequence(1), body };
    encode(&envelope).expect("JSON")
}

/// Returns a job whose tasks need `cores` processor cores each.
pub fn job_spec(id: &str, kind: JobKind, tasks: u32, cores: u64) -> JobSpec {
    JobSpec {
        id: name(id),
        kind,
        team: name("day-b"),
        priority: Priority(20),
        tasks,
        resources: Resources::new(cores * 1_000, 4_096, 0),
        runtime_ms: Some(1_000),
        attempts: 20,
    }
}
