//! Backend servers that hold each request for its service time and echo its body.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use serde::Serialize;
use yuccahoist::id::{Epoch, RequestId, ServiceId, WorkerId};
use yuccahoist::request::{Answer, Request};
use yuccahoist::systems::{BackendServer, CallError, DispatchBounds};

use crate::fault::FaultSwitch;
use crate::time::RecordClock;

/// Name of a request in errors.
const REQUEST_STEP: &str = "request";
/// Prefix of a body that sets the service time of its request in microseconds, as in `time_us=1500;`.
const SERVICE_TIME_PREFIX: &[u8] = b"time_us=";

/// Record of one run of a request; a request that is repeated has several.
#[derive(Debug, Clone, Serialize)]
pub struct Run {
    /// Id of the request.
    pub request: RequestId,
    /// Service that the request was sent to.
    pub service: ServiceId,
    /// Shard epoch with which the host sent the request.
    pub epoch: Epoch,
    /// Start, microseconds since the Unix epoch.
    pub start: u64,
    /// End, microseconds since the Unix epoch; `None` while it runs.
    pub end: Option<u64>,
    /// Whether it started after the latest start that the host allowed.
    pub late: bool,
}

/// Record of one backend server.
#[derive(Debug, Clone, Default, Serialize)]
pub struct BackendRecord {
    /// Runs in the order of their starts.
    pub runs: Vec<Run>,
    /// Peak number of requests that ran at once.
    pub most_slots: u32,
    /// Peak number of open connections; stays 0 without the HTTP server.
    pub most_connections: u32,
    /// Number of requests rejected for an epoch below the highest one seen.
    pub refused: u64,
}

#[derive(Debug, Default)]
struct State {
    record: BackendRecord,
    running: u32,
    connections: u32,
    highest_epoch: Epoch,
}

#[derive(Debug, Default)]
struct Backend {
    state: Mutex<State>,
    faults: FaultSwitch,
}

impl Backend {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Backend servers of a set of workers, with one clock; clones share their state.
#[derive(Debug, Clone)]
pub struct Backends {
    servers: Arc<BTreeMap<WorkerId, Arc<Backend>>>,
    service_times: Arc<Mutex<BTreeMap<ServiceId, Duration>>>,
    clock: RecordClock,
}

impl Backends {
    /// Creates idle backend servers without faults.
    #[must_use]
    pub fn new(workers: impl IntoIterator<Item = WorkerId>) -> Self {
        let servers = workers.into_iter().map(|worker| (worker, Arc::default())).collect();
        Self { servers: Arc::new(servers), service_times: Arc::default(), clock: RecordClock::new() }
    }

    /// Sets the service time of requests of a service, zero by default. A body that starts with `time_us=N;` overrides
    /// it with N microseconds.
    pub fn set_service_time(&self, service: ServiceId, duration: Duration) {
        self.service_times.lock().unwrap_or_else(PoisonError::into_inner).insert(service, duration);
    }

    /// Fault switch of a worker's backend server; `None` for an unknown worker.
    #[must_use]
    pub fn faults(&self, worker: &WorkerId) -> Option<&FaultSwitch> {
        self.servers.get(worker).map(|server| &server.faults)
    }

    /// Returns the records of all backend servers.
    #[must_use]
    pub fn record(&self) -> BTreeMap<WorkerId, BackendRecord> {
        let clone_record = |server: &Arc<Backend>| server.state().record.clone();
        self.servers.iter().map(|(worker, server)| (worker.clone(), clone_record(server))).collect()
    }

    /// Returns the record of the backend server of a worker; `None` for an unknown worker.
    #[must_use]
    pub fn record_of(&self, worker: &WorkerId) -> Option<BackendRecord> {
        self.servers.get(worker).map(|server| server.state().record.clone())
    }

    /// Returns the number of runs of each request, over all backend servers.
    #[must_use]
    pub fn run_counts(&self) -> BTreeMap<RequestId, u32> {
        let mut counts = BTreeMap::new();
        for server in self.servers.values() {
            for run in &server.state().record.runs {
                *counts.entry(run.request).or_insert(0) += 1;
            }
        }
        counts
    }

    /// Counts an open connection until the returned guard is dropped; `None` for an unknown worker.
    pub(crate) fn track_connection(&self, worker: &WorkerId) -> Option<impl Drop + Send + use<>> {
        let server = Arc::clone(self.servers.get(worker)?);
        let mut state = server.state();
        state.connections += 1;
        state.record.most_connections = state.record.most_connections.max(state.connections);
        drop(state);
        Some(OpenConnection(server))
    }

    fn service_time(&self, request: &Request) -> Duration {
        parse_service_time(&request.body).unwrap_or_else(|| {
            let service_times = self.service_times.lock().unwrap_or_else(PoisonError::into_inner);
            service_times.get(&request.service).copied().unwrap_or_default()
        })
    }
}

/// Returns the service time from a body that starts with `time_us=N;`.
fn parse_service_time(body: &[u8]) -> Option<Duration> {
    let rest = body.strip_prefix(SERVICE_TIME_PREFIX)?;
    let end = rest.iter().position(|byte| *byte == b';')?;
    let micros = std::str::from_utf8(rest.get(..end)?).ok()?.parse().ok()?;
    Some(Duration::from_micros(micros))
}

struct OpenConnection(Arc<Backend>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.state().connections -= 1;
    }
}

impl Backend {
    /// Records the start of a run, and returns its index in the record.
    fn start_run(
        &self,
        worker: &WorkerId,
        request: &Request,
        bounds: DispatchBounds,
        now: u64,
    ) -> Result<usize, CallError> {
        let mut state = self.state();
        if self.faults.get().refuse_older && bounds.epoch < state.highest_epoch {
            state.record.refused += 1;
            let reason =
                format!("epoch {} is below the highest epoch seen, {}", bounds.epoch, state.highest_epoch);
            return Err(CallError::Rejected { step: REQUEST_STEP, peer: worker.to_string(), reason });
        }
        state.highest_epoch = state.highest_epoch.max(bounds.epoch);
        state.running += 1;
        state.record.most_slots = state.record.most_slots.max(state.running);
        state.record.runs.push(Run {
            request: request.id,
            service: request.service.clone(),
            epoch: bounds.epoch,
            start: now,
            end: None,
            late: now / 1_000 > bounds.start_before.as_millis(),
        });
        Ok(state.record.runs.len() - 1)
    }

    fn end_run(&self, index: usize, now: u64) {
        let mut state = self.state();
        state.running -= 1;
        if let Some(run) = state.record.runs.get_mut(index) {
            run.end = Some(now);
        }
    }
}

#[async_trait]
impl BackendServer for Backends {
    async fn call(
        &self,
        worker: &WorkerId,
        request: &Request,
        bounds: DispatchBounds,
    ) -> Result<Answer, CallError> {
        let Some(server) = self.servers.get(worker).cloned() else {
            let reason = "unknown worker".into();
            return Err(CallError::NotSent { step: REQUEST_STEP, peer: worker.to_string(), reason });
        };
        server.faults.apply_before(REQUEST_STEP, worker.as_str()).await?;
        let run = server.start_run(worker, request, bounds, self.clock.now_micros())?;
        let service_time = self.service_time(request);
        if service_time.is_zero() {
            server.end_run(run, self.clock.now_micros());
        } else {
            // The run completes even if the caller drops the call.
            let (server, clock) = (Arc::clone(&server), self.clock);
            let run_task = tokio::spawn(async move {
                tokio::time::sleep(service_time).await;
                server.end_run(run, clock.now_micros());
            });
            let _ = run_task.await;
        }
        server.faults.apply_after(REQUEST_STEP, worker.as_str()).await?;
        let status = if server.faults.get().fail_all { 500 } else { 200 };
        Ok(Answer { status, body: request.body.clone() })
    }
}
