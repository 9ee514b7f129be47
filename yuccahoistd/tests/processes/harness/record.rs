//! What the workers saw, compared with what callers were told.

use std::collections::BTreeMap;

use serde_json::Value;

use super::Sent;

/// Records of all workers, by name.
#[derive(Debug)]
pub struct Record(pub BTreeMap<String, Value>);

/// Run of a request.
#[derive(Debug)]
pub struct Run {
    /// Worker.
    pub worker: String,
    /// Start, microseconds since the Unix epoch.
    pub start: u64,
    /// Whether it started after the time that its sender allowed.
    pub late: bool,
}

/// Attempt of a task.
#[derive(Debug)]
pub struct Attempt {
    /// Index of the task.
    pub index: u64,
    /// Start, microseconds since the Unix epoch.
    pub start: u64,
    /// End, microseconds since the Unix epoch; none while it runs.
    pub end: Option<u64>,
    /// State.
    pub state: String,
}

impl Record {
    /// Runs by request id.
    pub fn runs(&self) -> BTreeMap<String, Vec<Run>> {
        let mut runs: BTreeMap<String, Vec<Run>> = BTreeMap::new();
        for (worker, record) in &self.0 {
            for run in record["backend"]["runs"].as_array().expect("record has runs") {
                let id = run["request"].as_str().expect("run has a request").to_owned();
                let start = run["start"].as_u64().expect("run has a start");
                let late = run["late"].as_bool().expect("run has a mark of lateness");
                runs.entry(id).or_default().push(Run { worker: worker.clone(), start, late });
            }
        }
        runs
    }

    /// Attempts of a job's tasks.
    pub fn attempts(&self, job: &str) -> Vec<Attempt> {
        let all = self
            .0
            .values()
            .flat_map(|record| record["worker"]["attempts"].as_array().expect("record has attempts").iter());
        let of_job = all.filter(|attempt| attempt["task"]["job"] == job);
        of_job
            .map(|attempt| Attempt {
                index: attempt["task"]["index"].as_u64().expect("task has an index"),
                start: attempt["start"].as_u64().expect("attempt has a start"),
                end: attempt["end"].as_u64(),
                state: attempt["state"].as_str().expect("attempt has a state").to_owned(),
            })
            .collect()
    }

    /// Most slots in use at once, by worker.
    pub fn most_slots(&self) -> BTreeMap<&str, u64> {
        let most = |record: &Value| record["backend"]["most_slots"].as_u64().expect("record has slots");
        self.0.iter().map(|(worker, record)| (worker.as_str(), most(record))).collect()
    }
}

/// Checks every reply against the workers' own record: whole answers, no run after `not-run`, at most one run of a
/// non-idempotent request, no more slots than a worker has.
pub fn check(record: &Record, sent: &[Sent]) {
    let runs = record.runs();
    for Sent { call, result } in sent {
        let times = runs.get(&call.id).map_or(0, Vec::len);
        assert!(call.idempotent || times <= 1, "non-idempotent request ran {times} times: {call:?}");
        let Ok(reply) = result else { continue };
        match reply.outcome.as_str() {
            "answered" => {
                assert_eq!((reply.status, &reply.body), (200, &call.body), "answer of {call:?}");
                assert!(times >= 1, "answered without a run: {call:?}");
            }
            "not-run" => assert_eq!(times, 0, "ran in spite of not-run: {call:?} {reply:?}"),
            "unknown" => {}
            other => panic!("outcome {other:?} of {call:?}"),
        }
    }
    for (worker, slots) in record.most_slots() {
        assert!(slots <= 8, "{worker} had {slots} slots in use and has 8");
    }
}
