//! Jobs of the demo: batch work, a gang, a job larger than any worker, and jobs that are cancelled at once.

use std::time::{Duration, Instant};

use serde::Serialize;
use serde_json::{Value, json};
use yuccahoist_standins::cluster::Cluster;

use super::caller::Callers;

/// Number of jobs that are cancelled right after their submission.
const CANCELLED_JOBS: usize = 20;
/// Timeout for all jobs to reach their expected state, counted from the end of the load.
const JOB_TIMEOUT: Duration = Duration::from_secs(60);

/// Job with the text that its last status must contain.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct JobResult {
    pub(crate) job: String,
    pub(crate) expected: &'static str,
    pub(crate) found: String,
}

impl JobResult {
    /// Whether the last status contains the expected text.
    pub(crate) fn is_met(&self) -> bool {
        self.found.contains(self.expected)
    }
}

fn job_body(id: &str, kind: &str, tasks: u32, cpu: u64, priority: u8) -> Value {
    json!({
        "id": id, "kind": kind, "team": "day-a", "priority": priority, "tasks": tasks,
        "resources": { "cpu_millis": cpu, "memory_mib": 512, "accelerators": 0 },
    })
}

/// Submits all jobs, then cancels those that must end as cancelled.
pub(crate) async fn submit(callers: &Callers) {
    let mut jobs = vec![
        job_body("wash-batch", "batch", 60, 2_000, 10),
        job_body("reline-gang", "gang", 24, 4_000, 50),
        job_body("never-fits", "batch", 1, 1_000_000, 90),
    ];
    jobs.extend(
        (0..CANCELLED_JOBS).map(|number| job_body(&format!("withdrawn-{number}"), "batch", 4, 8_000, 5)),
    );
    for job in jobs {
        submit_job(callers, &job).await;
    }
    for number in 0..CANCELLED_JOBS {
        cancel_job(callers, &format!("withdrawn-{number}")).await;
    }
}

/// Submits a job to the first host that accepts it.
async fn submit_job(callers: &Callers, job: &Value) {
    for host in callers.live() {
        let reply = callers.client().post(format!("http://{host}/v1/jobs")).json(job).send().await;
        if reply.is_ok_and(|reply| reply.status().is_success()) {
            return;
        }
    }
}

/// Cancels a job through the first host that accepts the call.
async fn cancel_job(callers: &Callers, job: &str) {
    for host in callers.live() {
        let reply = callers.client().delete(format!("http://{host}/v1/jobs/{job}")).send().await;
        if reply.is_ok_and(|reply| reply.status().is_success()) {
            return;
        }
    }
}

/// Waits until each job reaches its expected state or the timeout passes, and returns the last states.
pub(crate) async fn await_jobs(cluster: &Cluster, callers: &Callers) -> Vec<JobResult> {
    let mut expected = vec![
        ("wash-batch".to_string(), "succeeded"),
        ("reline-gang".to_string(), "succeeded"),
        ("never-fits".to_string(), "can never run"),
    ];
    expected.extend((0..CANCELLED_JOBS).map(|number| (format!("withdrawn-{number}"), "cancelled")));
    let start = Instant::now();
    let mut results = Vec::new();
    for (job, expected) in expected {
        let mut result = JobResult { job, expected, found: String::new() };
        while !result.is_met() && start.elapsed() < JOB_TIMEOUT {
            result.found = read_status(callers, &result.job).await;
            if !result.is_met() {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
        results.push(result);
    }
    results.push(await_replicas(cluster, start).await);
    results
}

/// Returns the status of a job as the response body, or the reason why there is none.
async fn read_status(callers: &Callers, job: &str) -> String {
    let Some(host) = callers.live().first().copied() else { return "no live host".into() };
    match callers.client().get(format!("http://{host}/v1/jobs/{job}")).send().await {
        Ok(reply) => reply.text().await.unwrap_or_default(),
        Err(error) => error.to_string(),
    }
}

/// Waits until the workers run as many replicas of the service as the cluster has racks.
async fn await_replicas(cluster: &Cluster, start: Instant) -> JobResult {
    let service = &cluster.options().service;
    let replicas = cluster.options().racks;
    let mut result =
        JobResult { job: format!("service {service}"), expected: "all replicas run", found: String::new() };
    while !result.is_met() && start.elapsed() < JOB_TIMEOUT {
        let record = cluster.workers.record();
        let attempts = record.values().flat_map(|worker| &worker.attempts);
        let running = attempts.filter(|a| a.end.is_none() && a.task.job.as_str() == service).count();
        let state = if running == replicas { "all replicas run" } else { "replicas missing" };
        result.found = format!("{state}: {running} of {replicas}");
        if !result.is_met() {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
    result
}
