//! Jobs of the demo: batch work, a gang, a job that can never run, and a wave of cancellations.

use std::time::{Duration, Instant};

use serde::Serialize;
use serde_json::{Value, json};
use yuccahoist_standins::cluster::Cluster;

use super::caller::Callers;

/// Jobs that are cancelled at once.
const CANCELLED: usize = 20;
/// Time limit for the jobs that must succeed.
const LIMIT: Duration = Duration::from_secs(60);

/// Job that the demo expects something of.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct JobResult {
    pub(crate) job: String,
    pub(crate) expected: &'static str,
    pub(crate) found: String,
}

impl JobResult {
    pub(crate) fn is_met(&self) -> bool {
        self.found.contains(self.expected)
    }
}

fn body(id: &str, kind: &str, tasks: u32, cpu: u64, priority: u8) -> Value {
    json!({
        "id": id, "kind": kind, "team": "day-a", "priority": priority, "tasks": tasks,
        "resources": { "cpu_millis": cpu, "memory_mib": 512, "accelerators": 0 },
    })
}

/// Submits all jobs.
pub(crate) async fn submit(callers: &Callers) {
    let mut jobs = vec![
        body("wash-batch", "batch", 60, 2_000, 10),
        body("reline-gang", "gang", 24, 4_000, 50),
        body("never-fits", "batch", 1, 1_000_000, 90),
    ];
    jobs.extend((0..CANCELLED).map(|number| body(&format!("withdrawn-{number}"), "batch", 4, 8_000, 5)));
    for job in jobs {
        post(callers, &job).await;
    }
    for number in 0..CANCELLED {
        cancel(callers, &format!("withdrawn-{number}")).await;
    }
}

async fn post(callers: &Callers, job: &Value) {
    for host in callers.live() {
        let reply = callers.client().post(format!("http://{host}/v1/jobs")).json(job).send().await;
        if reply.is_ok_and(|reply| reply.status().is_success()) {
            return;
        }
    }
}

async fn cancel(callers: &Callers, job: &str) {
    for host in callers.live() {
        let reply = callers.client().delete(format!("http://{host}/v1/jobs/{job}")).send().await;
        if reply.is_ok_and(|reply| reply.status().is_success()) {
            return;
        }
    }
}

/// Waits for the end of all jobs and compares it with what is expected.
pub(crate) async fn finish(cluster: &Cluster, callers: &Callers) -> Vec<JobResult> {
    let mut expected = vec![
        ("wash-batch".to_string(), "succeeded"),
        ("reline-gang".to_string(), "succeeded"),
        ("never-fits".to_string(), "can never run"),
    ];
    expected.extend((0..CANCELLED).map(|number| (format!("withdrawn-{number}"), "cancelled")));
    let start = Instant::now();
    let mut results = Vec::new();
    for (job, expected) in expected {
        let mut result = JobResult { job, expected, found: String::new() };
        while !result.is_met() && start.elapsed() < LIMIT {
            result.found = status(callers, &result.job).await;
            if !result.is_met() {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
        results.push(result);
    }
    results.push(services(cluster, start).await);
    results
}

async fn status(callers: &Callers, job: &str) -> String {
    let Some(host) = callers.live().first().copied() else { return "no host".into() };
    match callers.client().get(format!("http://{host}/v1/jobs/{job}")).send().await {
        Ok(reply) => reply.text().await.unwrap_or_default(),
        Err(error) => error.to_string(),
    }
}

/// Waits until the service has all its replicas.
async fn services(cluster: &Cluster, start: Instant) -> JobResult {
    let service = &cluster.options().service;
    let replicas = cluster.options().racks;
    let mut result =
        JobResult { job: format!("service {service}"), expected: "all replicas run", found: String::new() };
    while !result.is_met() && start.elapsed() < LIMIT {
        let record = cluster.workers.record();
        let attempts = record.values().flat_map(|worker| &worker.attempts);
        let running = attempts.filter(|a| a.end.is_none() && a.task.job.as_str() == service).count();
        let whole = if running == replicas { "all replicas run" } else { "replicas missing" };
        result.found = format!("{whole}: {running} of {replicas}");
        if !result.is_met() {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
    result
}
