//! Backend servers that run requests for a given time.

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

const STEP: &str = "request";
/// Start of a body that gives the service time of its request, as in `time_us=1500;`.
const TIME_PREFIX: &[u8] = b"time_us=";

/// Run of a request.
#[derive(Debug, Clone, Serialize)]
pub struct Run {
    /// Request.
    pub request: RequestId,
    /// Service.
    pub service: ServiceId,
    /// Shard epoch of the sender.
    pub epoch: Epoch,
    /// Start, microseconds since the Unix epoch.
    pub start: u64,
    /// End, microseconds since the Unix epoch; none while it runs.
    pub end: Option<u64>,
    /// Whether it started after the time that its sender allowed.
    pub late: bool,
}

/// What one backend server saw.
#[derive(Debug, Clone, Default, Serialize)]
pub struct BackendRecord {
    /// Runs in the order of their starts.
    pub runs: Vec<Run>,
    /// Most requests that ran at once.
    pub most_slots: u32,
    /// Most connections that were open at once; counted by HTTP only.
    pub most_connections: u32,
    /// Requests refused because of their epoch.
    pub refused: u64,
}

#[derive(Debug, Default)]
struct State {
    record: BackendRecord,
    running: u32,
    connections: u32,
    epoch: Epoch,
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

/// Backend servers of many workers.
#[derive(Debug, Clone)]
pub struct Backends {
    servers: Arc<BTreeMap<WorkerId, Arc<Backend>>>,
    times: Arc<Mutex<BTreeMap<ServiceId, Duration>>>,
    clock: RecordClock,
}

impl Backends {
    /// Idle backend servers.
    #[must_use]
    pub fn new(workers: impl IntoIterator<Item = WorkerId>) -> Self {
        let servers = workers.into_iter().map(|worker| (worker, Arc::default())).collect();
        Self { servers: Arc::new(servers), times: Arc::default(), clock: RecordClock::new() }
    }

    /// Sets the time that requests of a service take; none by default. A body that starts with `time_us=N;` takes
    /// N microseconds instead.
    pub fn set_time(&self, service: ServiceId, time: Duration) {
        self.times.lock().unwrap_or_else(PoisonError::into_inner).insert(service, time);
    }

    /// Fault switch of a worker's backend server.
    #[must_use]
    pub fn faults(&self, worker: &WorkerId) -> Option<&FaultSwitch> {
        self.servers.get(worker).map(|server| &server.faults)
    }

    /// What each backend server saw.
    #[must_use]
    pub fn record(&self) -> BTreeMap<WorkerId, BackendRecord> {
        let record = |server: &Arc<Backend>| server.state().record.clone();
        self.servers.iter().map(|(worker, server)| (worker.clone(), record(server))).collect()
    }

    /// What one backend server saw.
    #[must_use]
    pub fn record_of(&self, worker: &WorkerId) -> Option<BackendRecord> {
        self.servers.get(worker).map(|server| server.state().record.clone())
    }

    /// How often each request ran.
    #[must_use]
    pub fn times_run(&self) -> BTreeMap<RequestId, u32> {
        let mut times = BTreeMap::new();
        for server in self.servers.values() {
            for run in &server.state().record.runs {
                *times.entry(run.request).or_insert(0) += 1;
            }
        }
        times
    }

    /// Counts an open connection until the result is dropped.
    pub(crate) fn connection(&self, worker: &WorkerId) -> Option<impl Drop + Send + use<>> {
        let server = Arc::clone(self.servers.get(worker)?);
        let mut state = server.state();
        state.connections += 1;
        state.record.most_connections = state.record.most_connections.max(state.connections);
        drop(state);
        Some(OpenConnection(server))
    }

    fn time(&self, request: &Request) -> Duration {
        body_time(&request.body).unwrap_or_else(|| {
            let times = self.times.lock().unwrap_or_else(PoisonError::into_inner);
            times.get(&request.service).copied().unwrap_or_default()
        })
    }
}

/// Service time in a body that starts with `time_us=N;`.
fn body_time(body: &[u8]) -> Option<Duration> {
    let rest = body.strip_prefix(TIME_PREFIX)?;
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
    /// Starts a run and gives its index.
    fn start(
        &self,
        worker: &WorkerId,
        request: &Request,
        bounds: DispatchBounds,
        now: u64,
    ) -> Result<usize, CallError> {
        let mut state = self.state();
        if self.faults.get().refuse_older && bounds.epoch < state.epoch {
            state.record.refused += 1;
            let reason = format!("epoch {} is older than {}", bounds.epoch, state.epoch);
            return Err(CallError::Rejected { step: STEP, peer: worker.to_string(), reason });
        }
        state.epoch = state.epoch.max(bounds.epoch);
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

    fn end(&self, run: usize, now: u64) {
        let mut state = self.state();
        state.running -= 1;
        if let Some(run) = state.record.runs.get_mut(run) {
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
            let reason = "no such worker".into();
            return Err(CallError::NotSent { step: STEP, peer: worker.to_string(), reason });
        };
        server.faults.before(STEP, worker.as_str()).await?;
        let run = server.start(worker, request, bounds, self.clock.now())?;
        let time = self.time(request);
        if time.is_zero() {
            server.end(run, self.clock.now());
        } else {
            // The run goes on when the caller gives up.
            let (server, clock) = (Arc::clone(&server), self.clock);
            let running = tokio::spawn(async move {
                tokio::time::sleep(time).await;
                server.end(run, clock.now());
            });
            let _ = running.await;
        }
        server.faults.after(STEP, worker.as_str()).await?;
        let status = if server.faults.get().fail_all { 500 } else { 200 };
        Ok(Answer { status, body: request.body.clone() })
    }
}
