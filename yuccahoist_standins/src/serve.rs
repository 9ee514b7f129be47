//! HTTP servers of the workers and of the host list.
//!
//! A worker serves its backend server (`POST /run/{service}`) and its agent (`POST /command`) on one address. The host
//! list serves `GET /hosts` and `POST /hosts`, the latter with a map of host name to state or to null. Both serve
//! `POST /faults` ([`Faults`] in JSON) and `GET /record`.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::time::Duration;

use futures::stream;
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto::Builder;
use hyper_util::service::TowerToHyperService;
use serde::Serialize;
use tokio::net::{TcpListener, TcpStream};
use warp::http::{HeaderMap, StatusCode};
use warp::reply::Response;
use warp::{Filter, Reply};
use yuccahoist::id::{Epoch, RequestId, ServiceId, TeamId, WorkerId};
use yuccahoist::placement::WorkerCommand;
use yuccahoist::request::{Class, Request};
use yuccahoist::systems::{
    BackendServer, CallError, DispatchBounds, EPOCH_HEADER, HostList, HostState, REJECTED_HEADER,
    REQUEST_ID_HEADER, RUN_LIMIT_HEADER, START_BEFORE_HEADER, WorkerPlatform,
};
use yuccahoist::unit::{Timestamp, WallTime};

use crate::backend::{BackendRecord, Backends};
use crate::fault::{FaultSwitch, Faults};
use crate::hosts::Hosts;
use crate::worker::{WorkerRecord, Workers};

/// Body of `GET /record` of a worker.
#[derive(Debug, Serialize)]
struct Record {
    backend: Option<BackendRecord>,
    worker: Option<WorkerRecord>,
}

/// Serves a worker and its backend server until the future is dropped; returns at once for an unknown worker.
pub async fn worker(listener: TcpListener, id: WorkerId, backends: Backends, workers: Workers) {
    let (Some(backend_faults), Some(worker_faults)) = (backends.faults(&id), workers.faults(&id)) else {
        return;
    };
    let switches = [backend_faults.clone(), worker_faults.clone()];
    let connection_owner = (id.clone(), backends.clone());
    let run = {
        let (id, backends) = (id.clone(), backends.clone());
        warp::path!("run" / ServiceId)
            .and(warp::post())
            .and(warp::header::headers_cloned())
            .and(warp::body::bytes())
            .then(move |service, headers, body| {
                run_request(id.clone(), backends.clone(), service, headers, body)
            })
    };
    let command = {
        let (id, workers) = (id.clone(), workers.clone());
        warp::path!("command").and(warp::post()).and(warp::body::json()).then(move |body: WorkerCommand| {
            let (id, workers) = (id.clone(), workers.clone());
            async move { json_reply(workers.command(&id, body).await) }
        })
    };
    let record = warp::path!("record").and(warp::get()).map(move || {
        let record = Record { backend: backends.record_of(&id), worker: workers.record_of(&id) };
        warp::reply::json(&record).into_response()
    });
    let routes = run.or(command).unify().or(record).unify().or(faults_route(switches.to_vec())).unify();
    accept(listener, routes, || connection_owner.1.track_connection(&connection_owner.0)).await;
}

/// Serves a host list until the future is dropped.
pub async fn hosts(listener: TcpListener, hosts: Hosts) {
    let list = {
        let hosts = hosts.clone();
        warp::path!("hosts").and(warp::get()).then(move || {
            let hosts = hosts.clone();
            async move { json_reply(hosts.hosts().await) }
        })
    };
    let update = {
        let hosts = hosts.clone();
        warp::path!("hosts").and(warp::post()).and(warp::body::json()).map(
            move |states: BTreeMap<String, Option<HostState>>| {
                states.iter().for_each(|(name, state)| hosts.set(name, *state));
                StatusCode::NO_CONTENT.into_response()
            },
        )
    };
    let record = {
        let hosts = hosts.clone();
        warp::path!("record")
            .and(warp::get())
            .map(move || warp::reply::json(&hosts.visible()).into_response())
    };
    let routes =
        list.or(update).unify().or(record).unify().or(faults_route(vec![hosts.faults().clone()])).unify();
    accept(listener, routes, || None::<()>).await;
}

/// Route `POST /faults`, which sets all `switches` to the faults in the body.
fn faults_route(
    switches: Vec<FaultSwitch>,
) -> impl Filter<Extract = (Response,), Error = warp::Rejection> + Clone + Send + Sync + 'static {
    warp::path!("faults").and(warp::post()).and(warp::body::json()).map(move |faults: Faults| {
        switches.iter().for_each(|switch| switch.set(faults.clone()));
        StatusCode::NO_CONTENT.into_response()
    })
}

async fn run_request(
    id: WorkerId,
    backends: Backends,
    service: ServiceId,
    headers: HeaderMap,
    body: bytes::Bytes,
) -> Response {
    let Some((request, bounds)) = parse_request(service, &headers, body) else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    match backends.call(&id, &request, bounds).await {
        Ok(answer) => {
            let mut response = Response::new(answer.body.into());
            *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or_default();
            response
        }
        Err(error) => error_reply(&error),
    }
}

/// Parses a request from the headers that the product sends; `None` if one is missing or malformed.
///
/// Class, team, idempotence and deadline have placeholders, since a backend server does not receive them.
fn parse_request(
    service: ServiceId,
    headers: &HeaderMap,
    body: bytes::Bytes,
) -> Option<(Request, DispatchBounds)> {
    let text = |name| headers.get(name)?.to_str().ok();
    let number = |name| text(name)?.parse::<u64>().ok();
    let id: RequestId = text(REQUEST_ID_HEADER)?.parse().ok()?;
    let bounds = DispatchBounds {
        epoch: Epoch(number(EPOCH_HEADER)?),
        start_before: WallTime::from_millis(number(START_BEFORE_HEADER)?),
        run_limit: Duration::from_millis(number(RUN_LIMIT_HEADER)?),
    };
    let team = TeamId::new("unknown").ok()?;
    let request =
        Request { id, service, class: Class::Batch, team, idempotent: false, deadline: Timestamp::MAX, body };
    Some((request, bounds))
}

fn json_reply<T: Serialize>(result: Result<T, CallError>) -> Response {
    match result {
        Ok(value) => warp::reply::json(&value).into_response(),
        Err(error) => error_reply(&error),
    }
}

fn error_reply(error: &CallError) -> Response {
    match error {
        CallError::Rejected { reason, .. } => {
            warp::reply::with_header(StatusCode::SERVICE_UNAVAILABLE, REJECTED_HEADER, reason).into_response()
        }
        // The connection breaks within the body, as when a process ends. The listener stays open for `POST /faults`, so
        // a refused connection can only be tested by ending the process.
        CallError::NotSent { reason, .. } | CallError::Unknown { reason, .. } => {
            let broken: Result<bytes::Bytes, std::io::Error> = Err(std::io::Error::other(reason.clone()));
            warp::reply::stream(stream::iter([broken])).into_response()
        }
    }
}

/// Serves `routes` on each accepted connection, which keeps a guard from `open_guard` until it is closed.
async fn accept<F, G>(listener: TcpListener, routes: F, open_guard: impl Fn() -> G)
where
    F: Filter<Extract = (Response,), Error = warp::Rejection> + Clone + Send + Sync + 'static,
    F::Future: Send,
    G: Send + 'static,
{
    let routes = routes.recover(rejection_reply).unify();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        tokio::spawn(serve_connection(stream, routes.clone(), open_guard()));
    }
}

async fn serve_connection<F, G>(stream: TcpStream, routes: F, guard: G)
where
    F: Filter<Extract = (Response,), Error = Infallible> + Clone + Send + Sync + 'static,
    F::Future: Send,
{
    let _ = stream.set_nodelay(true);
    let service = TowerToHyperService::new(warp::service(routes));
    let builder = Builder::new(TokioExecutor::new());
    if let Err(error) = builder.serve_connection(TokioIo::new(stream), service).await {
        log::debug!("serving a connection failed: {error}");
    }
    drop(guard);
}

async fn rejection_reply(rejection: warp::Rejection) -> Result<Response, Infallible> {
    let status = if rejection.is_not_found() { StatusCode::NOT_FOUND } else { StatusCode::BAD_REQUEST };
    Ok(warp::reply::with_status(format!("{rejection:?}"), status).into_response())
}
