//! HTTP interface for callers, documented in `docs/callers.md`.

mod header;
mod job;
mod reply;
mod service;

use std::convert::Infallible;
use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use reqwest::StatusCode;
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, SemaphorePermit, oneshot};
use warp::reply::Response;
use warp::{Filter, Rejection};

use self::reply::FieldError;
use crate::actor::{HostHandle, Input, ReplySender};
use crate::clock::Clock;
use crate::event::{HostEvent, HostStatus};
use crate::front::CallId;

/// State shared by all requests of the HTTP interface.
#[derive(Debug)]
pub struct Api {
    host: HostHandle,
    clock: Arc<dyn Clock>,
    body_limit: usize,
    call_permits: Semaphore,
    next_call: AtomicU64,
    is_stopping: AtomicBool,
}

impl Api {
    /// Creates the interface of `host`, with the body limit and the maximum number of open calls of `settings`.
    #[must_use]
    pub fn new(host: HostHandle, clock: Arc<dyn Clock>, settings: &crate::settings::ListenSettings) -> Self {
        Self {
            host,
            clock,
            body_limit: settings.body_limit,
            call_permits: Semaphore::new(settings.open_calls.min(Semaphore::MAX_PERMITS)),
            next_call: AtomicU64::new(1),
            is_stopping: AtomicBool::new(false),
        }
    }

    /// Makes `/v1/ready` return 503 from now on, so that load balancers stop sending requests.
    pub fn stopping(&self) {
        self.is_stopping.store(true, Ordering::Relaxed);
    }

    /// Acquires the permit of one open call. Returns `None` when the limit `open_calls` is reached.
    fn acquire_permit(&self) -> Option<SemaphorePermit<'_>> {
        self.call_permits.try_acquire().ok()
    }

    /// Sends a call to the host actor. Returns `None` when the actor has terminated.
    fn open_call<T>(
        &self,
        reply: impl FnOnce(oneshot::Sender<T>) -> ReplySender,
        event: impl FnOnce(CallId) -> HostEvent,
    ) -> Option<OpenCall<'_, T>> {
        let call = CallId(self.next_call.fetch_add(1, Ordering::Relaxed));
        let (sender, answer) = oneshot::channel();
        let input = Input::Call { call, reply: reply(sender), event: event(call) };
        self.host.post(input).then_some(OpenCall { call, answer, host: &self.host, is_done: false })
    }
}

/// Call in flight. Dropping it before its answer, as warp does when the caller disconnects, posts
/// [`HostEvent::CallerDisconnected`] to the host.
struct OpenCall<'a, T> {
    call: CallId,
    answer: oneshot::Receiver<T>,
    host: &'a HostHandle,
    is_done: bool,
}

impl<T> OpenCall<'_, T> {
    /// Waits for the answer. Returns `None` when the host actor terminates without sending one.
    async fn answer(mut self) -> Option<T> {
        let answer = (&mut self.answer).await.ok();
        self.is_done = true;
        answer
    }
}

impl<T> Drop for OpenCall<'_, T> {
    fn drop(&mut self) {
        if !self.is_done {
            self.host.post(Input::Event(HostEvent::CallerDisconnected { call: self.call }));
        }
    }
}

/// Serves requests until `shutdown` completes, then finishes the requests in flight.
pub async fn serve(
    listener: TcpListener,
    api: Arc<Api>,
    shutdown: impl Future<Output = ()> + Send + 'static,
) {
    warp::serve(routes(api)).incoming(listener).graceful(shutdown).run().await;
}

/// Builds the routes. Requests that match none get a JSON error with the outcome `not-run`.
pub fn routes(api: Arc<Api>) -> impl Filter<Extract = (Response,), Error = Infallible> + Clone {
    let state = warp::any().map(move || Arc::clone(&api));
    let service = warp::path!("v1" / "services" / String)
        .and(warp::post())
        .and(state.clone())
        .and(warp::header::headers_cloned())
        .and(warp::body::stream())
        .then(service::call);
    let submit = warp::path!("v1" / "jobs")
        .and(warp::post())
        .and(state.clone())
        .and(warp::header::headers_cloned())
        .and(warp::body::stream())
        .then(job::submit);
    let job_status =
        warp::path!("v1" / "jobs" / String).and(warp::get()).and(state.clone()).then(job::status);
    let cancel = warp::path!("v1" / "jobs" / String).and(warp::delete()).and(state.clone()).then(job::cancel);
    let status = warp::path!("v1" / "status").and(warp::get()).and(state.clone()).then(status);
    let ready = warp::path!("v1" / "ready").and(warp::get()).and(state).then(ready);
    let calls = service.or(submit).unify().or(job_status).unify().or(cancel).unify();
    calls.or(status).unify().or(ready).unify().recover(handle_rejection).unify()
}

async fn fetch_status(api: &Api) -> Option<Box<HostStatus>> {
    api.open_call(ReplySender::Status, |call| HostEvent::StatusCall { call })?.answer().await
}

async fn status(api: Arc<Api>) -> Response {
    match fetch_status(&api).await {
        Some(status) => reply::json(StatusCode::OK, &*status),
        None => reply::unavailable("the host is ending"),
    }
}

async fn ready(api: Arc<Api>) -> Response {
    if api.is_stopping.load(Ordering::Relaxed) {
        return reply::unavailable("the host is stopping");
    }
    match fetch_status(&api).await {
        Some(status) if status.ready => reply::json(StatusCode::OK, &"ready"),
        Some(_) => reply::unavailable("the host has no configuration in force yet or is stopping"),
        None => reply::unavailable("the host is ending"),
    }
}

async fn handle_rejection(rejection: Rejection) -> Result<Response, Infallible> {
    let (status, allowed) = if rejection.is_not_found() {
        (StatusCode::NOT_FOUND, "the paths in docs/callers.md")
    } else if rejection.find::<warp::reject::MethodNotAllowed>().is_some() {
        (StatusCode::METHOD_NOT_ALLOWED, "the methods in docs/callers.md")
    } else {
        (StatusCode::BAD_REQUEST, "the forms in docs/callers.md")
    };
    let reason = status.canonical_reason().unwrap_or_default();
    Ok(reply::not_run(status, &[FieldError::new("request", reason, allowed)]))
}

/// Returns whether `Content-Length` is above the limit, so that the body can be rejected unread.
fn exceeds_limit(headers: &reqwest::header::HeaderMap, limit: usize) -> bool {
    let declared = headers.get("content-length").and_then(|value| value.to_str().ok());
    declared.and_then(|text| text.parse::<usize>().ok()).is_some_and(|length| length > limit)
}
