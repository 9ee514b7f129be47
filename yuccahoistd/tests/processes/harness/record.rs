//! Records of the workers, and their comparison with the replies that callers got.

use std::collections::BTreeMap;

use serde_json::Value;

use super::Exchange;

/// Records of all workers as JSON, by worker name.
#[derive(Debug)]
pub struct WorkerRecords(pub BTreeMap<String, Value>);

/// One run of a request on a worker.
#[derive(Debug)]
pub struct RequestRun {
    /// Name of the worker.
    pub worker: String,
    /// Start, microseconds since the Unix epoch.
    pub start: u64,
    /// Whether it started after the latest start time that the host set.
    pub late: bool,
}

/// One attempt of a task.
#[derive(Debug)]
pub struct TaskAttempt {
    /// Index of the task in its job.
    pub index: u64,
    /// Start, microseconds since the Unix epoch.
    pub start: u64,
    /// End, microseconds since the Unix epoch; none while it runs.
    pub end: Option<u64>,
    /// State as the worker names it, such as `running`.
    pub state: String,
}

impl WorkerRecords {
    /// Returns the runs of all workers by request id.
    pub fn runs(&self) -> BTreeMap<String, Vec<RequestRun>> {
        let mut runs: BTreeMap<String, Vec<RequestRun>> = BTreeMap::new();
        for (worker, record) in &self.0 {
            for run in record["backend"]["runs"].as_array().expect("record has runs") {
                let id = run["request"].as_str().expect("run has a request").to_owned();
                let start = run["start"].as_u64().expect("run has a start");
                let late = run["late"].as_bool().expect("run has a late flag");
                runs.entry(id).or_default().push(RequestRun { worker: worker.clone(), start, late });
            }
        }
        runs
    }

    /// Returns the attempts of all tasks of a job or service.
    pub fn attempts(&self, job: &str) -> Vec<TaskAttempt> {
        let attempts = self
            .0
            .values()
            .flat_map(|record| record["worker"]["attempts"].as_array().expect("record has attempts").iter());
        let of_job = attempts.filter(|attempt| attempt["task"]["job"] == job);
        of_job
            .map(|attempt| TaskAttempt {
                index: attempt["task"]["index"].as_u64().expect("task has an index"),
                start: attempt["start"].as_u64().expect("attempt has a start"),
                end: attempt["end"].as_u64(),
                state: attempt["state"].as_str().expect("attempt has a state").to_owned(),
            })
            .collect()
    }

    /// Returns the peak number of slots in use, by worker.
    pub fn peak_slots(&self) -> BTreeMap<&str, u64> {
        let peak = |record: &Value| record["backend"]["most_slots"].as_u64().expect("record has peak slots");
        self.0.iter().map(|(worker, record)| (worker.as_str(), peak(record))).collect()
    }
}

/// Checks the replies against the records of the workers: complete answers, no run of a request answered `not-run`, at
/// most one run of a non-idempotent request, and no worker above its slots.
pub fn check_replies(record: &WorkerRecords, exchanges: &[Exchange]) {
    let runs = record.runs();
    for Exchange { call, result } in exchanges {
        let run_count = runs.get(&call.id).map_or(0, Vec::len);
        assert!(call.idempotent || run_count <= 1, "non-idempotent request ran {run_count} times: {call:?}");
        let Ok(reply) = result else { continue };
        match reply.outcome.as_str() {
            "answered" => {
                assert_eq!((reply.status, &reply.body), (200, &call.body), "wrong answer to {call:?}");
                assert!(run_count >= 1, "answered without a run: {call:?}");
            }
            "not-run" => assert_eq!(run_count, 0, "request answered not-run has run: {call:?} {reply:?}"),
            "unknown" => {}
            other => panic!("unexpected outcome {other:?} of {call:?}"),
        }
    }
    for (worker, slots) in record.peak_slots() {
        assert!(slots <= 8, "{worker} used {slots} of 8 slots");
    }
}
