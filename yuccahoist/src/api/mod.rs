//! Callers' HTTP interface. `docs/callers.md` describes it for callers.

mod header;
mod job;
mod reply;
mod service;

use std::convert::Infallible;
use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use bytes::{Buf, Bytes, BytesMut};
use futures::{Stream, StreamExt};
use reqwest::StatusCode;
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, SemaphorePermit, oneshot};
use warp::reply::Response;
use warp::{Filter, Rejection};

use self::reply::Problem;
use crate::actor::{HostHandle, Input, Reply};
use crate::clock::Clock;
use crate::event::{HostEvent, HostStatus};
use crate::front::CallId;

/// State that all calls share.
#[derive(Debug)]
pub struct Api {
    host: HostHandle,
    clock: Arc<dyn Clock>,
    body_limit: usize,
    calls: Semaphore,
    next: AtomicU64,
    stopping: AtomicBool,
}

impl Api {
    /// Interface of a host.
    #[must_use]
    pub fn new(host: HostHandle, clock: Arc<dyn Clock>, settings: &crate::settings::ListenSettings) -> Self {
        Self {
            host,
            clock,
            body_limit: settings.body_limit,
            calls: Semaphore::new(settings.open_calls.min(Semaphore::MAX_PERMITS)),
            next: AtomicU64::new(1),
            stopping: AtomicBool::new(false),
        }
    }

    /// Makes `/v1/ready` answer 503 from now on.
    pub fn stopping(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Room for one more call; none when too many are open.
    fn enter(&self) -> Option<SemaphorePermit<'_>> {
        self.calls.try_acquire().ok()
    }

    /// Opens a call at the host actor. Returns none when the host has ended.
    fn open<T>(
        &self,
        reply: impl FnOnce(oneshot::Sender<T>) -> Reply,
        event: impl FnOnce(CallId) -> HostEvent,
    ) -> Option<OpenCall<'_, T>> {
        let call = CallId(self.next.fetch_add(1, Ordering::Relaxed));
        let (sender, answer) = oneshot::channel();
        let input = Input::Open { call, reply: reply(sender), event: event(call) };
        self.host.post(input).then_some(OpenCall { call, answer, host: &self.host, answered: false })
    }
}

/// Call that waits for its answer. Dropping it earlier tells the host that the caller has gone.
struct OpenCall<'a, T> {
    call: CallId,
    answer: oneshot::Receiver<T>,
    host: &'a HostHandle,
    answered: bool,
}

impl<T> OpenCall<'_, T> {
    /// Answer; none when the host ended without one.
    async fn answer(mut self) -> Option<T> {
        let answer = (&mut self.answer).await.ok();
        self.answered = true;
        answer
    }
}

impl<T> Drop for OpenCall<'_, T> {
    fn drop(&mut self) {
        if !self.answered {
            self.host.post(Input::Event(HostEvent::Hangup { call: self.call }));
        }
    }
}

/// Serves callers until `stop` completes, and then until the requests in progress are answered.
pub async fn serve(listener: TcpListener, api: Arc<Api>, stop: impl Future<Output = ()> + Send + 'static) {
    warp::serve(routes(api)).incoming(listener).graceful(stop).run().await;
}

/// Routes of the interface.
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
    let show = warp::path!("v1" / "jobs" / String).and(warp::get()).and(state.clone()).then(job::show);
    let cancel = warp::path!("v1" / "jobs" / String).and(warp::delete()).and(state.clone()).then(job::cancel);
    let status = warp::path!("v1" / "status").and(warp::get()).and(state.clone()).then(status);
    let ready = warp::path!("v1" / "ready").and(warp::get()).and(state).then(ready);
    let known = service.or(submit).unify().or(show).unify().or(cancel).unify();
    known.or(status).unify().or(ready).unify().recover(rejected).unify()
}

async fn ask_status(api: &Api) -> Option<Box<HostStatus>> {
    api.open(Reply::Status, |call| HostEvent::StatusCall { call })?.answer().await
}

async fn status(api: Arc<Api>) -> Response {
    match ask_status(&api).await {
        Some(status) => reply::json(StatusCode::OK, &*status),
        None => reply::unavailable("the host is ending"),
    }
}

async fn ready(api: Arc<Api>) -> Response {
    if api.stopping.load(Ordering::Relaxed) {
        return reply::unavailable("the host is stopping");
    }
    match ask_status(&api).await {
        Some(status) if status.ready => reply::json(StatusCode::OK, &"ready"),
        Some(_) => reply::unavailable("the host has no configuration in force yet or is stopping"),
        None => reply::unavailable("the host is ending"),
    }
}

async fn rejected(rejection: Rejection) -> Result<Response, Infallible> {
    let (status, allowed) = if rejection.is_not_found() {
        (StatusCode::NOT_FOUND, "the paths in docs/callers.md")
    } else if rejection.find::<warp::reject::MethodNotAllowed>().is_some() {
        (StatusCode::METHOD_NOT_ALLOWED, "the methods in docs/callers.md")
    } else {
        (StatusCode::BAD_REQUEST, "the forms in docs/callers.md")
    };
    let reason = status.canonical_reason().unwrap_or_default();
    Ok(reply::not_run(status, &[Problem::new("request", reason, allowed)]))
}

/// Reason why a body is not read.
enum BodyError {
    /// Beyond the limit.
    TooLarge,
    /// Connection broke.
    Broken,
}

/// Reads a whole body up to the limit. A body that arrives in one part is not copied.
async fn read_body<B: Buf>(
    stream: impl Stream<Item = Result<B, warp::Error>>,
    limit: usize,
) -> Result<Bytes, BodyError> {
    futures::pin_mut!(stream);
    let mut first = Bytes::new();
    let mut rest = BytesMut::new();
    while let Some(part) = stream.next().await {
        let mut part = part.map_err(|_| BodyError::Broken)?;
        let size = part.remaining();
        if size + first.len().max(rest.len()) > limit {
            return Err(BodyError::TooLarge);
        }
        if first.is_empty() && rest.is_empty() {
            first = part.copy_to_bytes(size);
            continue;
        }
        rest.extend_from_slice(&std::mem::take(&mut first));
        rest.extend_from_slice(&part.copy_to_bytes(size));
    }
    Ok(if rest.is_empty() { first } else { rest.freeze() })
}

/// Whether the declared length is beyond the limit.
fn declares_more(headers: &reqwest::header::HeaderMap, limit: usize) -> bool {
    let declared = headers.get("content-length").and_then(|value| value.to_str().ok());
    declared.and_then(|text| text.parse::<usize>().ok()).is_some_and(|length| length > limit)
}
