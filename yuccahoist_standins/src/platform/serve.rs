//! HTTP servers of the store, the workers and the recommendation service.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep, timeout_at};
use warp::http::StatusCode;
use warp::reply::Response;
use warp::{Filter, Reply};

use super::fleet::Fleet;
use super::log::{KeyedLog, LogFailure, Position, Unavailability};
use super::order::{HoldOrder, OrderRefusal, PaceOrder, StartOrder, StopOrder};

/// Largest number of items on one page of the newest records.
const PAGE_LIMIT: usize = 500;
/// Time between two checks for an unacknowledged end while a hold order waits.
const END_POLL_INTERVAL: Duration = Duration::from_millis(10);

fn answer(status: StatusCode, body: &serde_json::Value) -> Response {
    warp::reply::with_status(warp::reply::json(body), status).into_response()
}

/// Returns an answer that breaks the connection within its body.
fn reset() -> Response {
    let broken: Result<Bytes, std::io::Error> =
        Err(std::io::Error::other("connection reset by the stand-in"));
    warp::reply::stream(futures::stream::iter([broken])).into_response()
}

/// Applies the faults of the store that precede the effect; returns an answer if the call fails with them.
async fn apply_faults(log: &KeyedLog) -> Option<Response> {
    let faults = log.faults();
    match faults.down {
        Some(Unavailability::Busy) => return Some(answer(StatusCode::SERVICE_UNAVAILABLE, &json!({}))),
        Some(Unavailability::Reset) => return Some(reset()),
        Some(Unavailability::Unresponsive) => std::future::pending().await,
        None => {}
    }
    sleep(faults.call_delay).await;
    None
}

async fn append(log: KeyedLog, query: BTreeMap<String, String>, body: Bytes) -> Response {
    if let Some(answer) = apply_faults(&log).await {
        return answer;
    }
    let number = |name: &str| query.get(name).and_then(|v| v.parse::<u64>().ok());
    let topic = query.get("topic").cloned().unwrap_or_default();
    let producer = query.get("producerId").cloned();
    let position = producer.map(|producer| Position {
        producer,
        epoch: number("epoch").unwrap_or_default(),
        sequence: number("sequence").unwrap_or_default(),
    });
    let condition = number("at");
    let faults = log.faults();
    if faults.lost_answers > 0.0 && rand::random_bool(faults.lost_answers) {
        // The append takes effect even if the caller disconnects.
        tokio::spawn(async move {
            sleep(faults.lost_append_delay).await;
            if let Err(failure) = log.append(&topic, &body, condition, position) {
                log::debug!("delayed append to {topic} was refused: {failure:?}");
            }
        });
        return std::future::pending().await;
    }
    match log.append(&topic, &body, condition, position) {
        Ok(done) => answer(StatusCode::OK, &json!({ "offset": done.offset, "endOffset": done.end })),
        Err(LogFailure::Moved { end }) => {
            answer(StatusCode::PRECONDITION_FAILED, &json!({ "endOffset": end }))
        }
        Err(LogFailure::Fenced) => answer(StatusCode::CONFLICT, &json!({ "reason": "fenced" })),
        Err(LogFailure::Sequence { expected }) => {
            answer(StatusCode::CONFLICT, &json!({ "reason": "seq", "sequence": expected }))
        }
        Err(LogFailure::Forbidden) => answer(StatusCode::FORBIDDEN, &json!({})),
        Err(LogFailure::Invalid) => answer(StatusCode::BAD_REQUEST, &json!({})),
    }
}

async fn read(log: KeyedLog, query: BTreeMap<String, String>) -> Response {
    if let Some(answer) = apply_faults(&log).await {
        return answer;
    }
    let number = |name: &str| query.get(name).and_then(|v| v.parse::<u64>().ok()).unwrap_or_default();
    let topic = query.get("topic").cloned().unwrap_or_default();
    let until = Instant::now() + Duration::from_millis(number("maxWaitMs"));
    let mut changes = log.changes();
    loop {
        changes.mark_unchanged();
        let (end, first, records) = log.read(&topic, number("from"));
        let Some(records) = records else {
            return answer(StatusCode::GONE, &json!({ "firstOffset": first }));
        };
        if records.is_empty() && !matches!(timeout_at(until, changes.changed()).await, Err(_) | Ok(Err(_))) {
            continue;
        }
        let mut body = [end.to_be_bytes(), first.to_be_bytes()].concat();
        for record in records {
            body.extend_from_slice(&u32::try_from(record.len()).unwrap_or(u32::MAX).to_be_bytes());
            body.extend_from_slice(&record);
        }
        return body.into_response();
    }
}

async fn newest(log: KeyedLog, query: BTreeMap<String, String>) -> Response {
    if let Some(answer) = apply_faults(&log).await {
        return answer;
    }
    let text = |name: &str| query.get(name).cloned().unwrap_or_default();
    let (items, has_more, end) = log.newest(&text("topic"), &text("after"), PAGE_LIMIT);
    let items: Vec<_> = items
        .into_iter()
        .map(|(key, offset, value)| json!({ "key": key, "value": STANDARD.encode(value), "offset": offset }))
        .collect();
    answer(StatusCode::OK, &json!({ "items": items, "hasMore": has_more, "endOffset": end }))
}

/// Serves the store, the log with keyed topics, until the future is dropped.
pub async fn serve_store(listener: TcpListener, log: KeyedLog) {
    let state = warp::any().map(move || log.clone());
    let request = state.and(warp::query::<BTreeMap<String, String>>());
    let append = warp::path!("log-append").and(warp::post()).and(request.clone()).and(warp::body::bytes());
    let read = warp::path!("log-read").and(warp::get()).and(request.clone()).then(read);
    let newest = warp::path!("log-newest").and(warp::get()).and(request).then(newest);
    warp::serve(append.then(self::append).or(read).or(newest)).incoming(listener).run().await;
}

type SharedFleet = Arc<Mutex<Fleet>>;

/// Runs `access` with the fleet locked.
fn with_fleet<T>(fleet: &SharedFleet, access: impl FnOnce(&mut Fleet) -> T) -> T {
    access(&mut fleet.lock().unwrap_or_else(PoisonError::into_inner))
}

fn refusal_answer(fleet: &SharedFleet, id: &str, refusal: OrderRefusal) -> Response {
    let clock = with_fleet(fleet, |f| f.report(id)).map_or(0, |report| report.clock_ms);
    match refusal.wire_reason() {
        Some(reason) => answer(StatusCode::CONFLICT, &json!({ "clockMs": clock, "reason": reason })),
        None => answer(StatusCode::BAD_REQUEST, &json!({ "clockMs": clock })),
    }
}

/// Executes an order at once, or after a random delay and without an answer. A delayed order is dropped when the
/// incarnation of the worker that received it has ended; one that is late on its way reaches a later incarnation.
async fn execute_order<T: Send + 'static>(
    fleet: &SharedFleet,
    id: &str,
    order: impl FnOnce(&mut Fleet) -> T + Send + 'static,
) -> T {
    let Some(delay) = with_fleet(fleet, Fleet::sample_delay) else { return with_fleet(fleet, order) };
    let (fleet, id) = (fleet.clone(), id.to_owned());
    tokio::spawn(async move {
        let (started_at, is_on_way) = with_fleet(&fleet, |f| (f.started_at(&id), f.is_delayed_on_way()));
        sleep(Duration::from_millis(delay)).await;
        with_fleet(&fleet, |f| {
            let now = f.started_at(&id);
            if now == started_at || is_on_way && now.is_some() {
                order(f);
            }
        });
    });
    std::future::pending().await
}

async fn start_run(fleet: SharedFleet, id: String, order: StartOrder) -> Response {
    let (name, received) = (id.clone(), with_fleet(&fleet, |f| f.now()));
    match execute_order(&fleet, &id, move |f| f.start(&name, &order, received)).await {
        Ok(clock) => answer(StatusCode::OK, &json!({ "clockMs": clock })),
        Err(refusal) => refusal_answer(&fleet, &id, refusal),
    }
}

async fn stop_run(fleet: SharedFleet, id: String, order: StopOrder) -> Response {
    let name = id.clone();
    match execute_order(&fleet, &id, move |f| f.stop(&name, &order)).await {
        Ok(clock) => answer(StatusCode::OK, &json!({ "clockMs": clock })),
        Err(refusal) => refusal_answer(&fleet, &id, refusal),
    }
}

fn set_pace(fleet: &SharedFleet, id: &str, order: &PaceOrder) -> Response {
    match with_fleet(fleet, |f| f.set_pace(id, order)) {
        Ok(clock) => answer(StatusCode::OK, &json!({ "clockMs": clock })),
        Err(refusal) => refusal_answer(fleet, id, refusal),
    }
}

async fn hold_lease(fleet: SharedFleet, id: String, order: HoldOrder) -> Response {
    let until = Instant::now() + Duration::from_millis(order.max_wait_ms);
    let (name, last_seen) = (id.clone(), order.last_seen);
    if let Err(refusal) = execute_order(&fleet, &id, move |f| f.hold(&name, &order)).await {
        return refusal_answer(&fleet, &id, refusal);
    }
    let is_waiting = |f: &mut Fleet| {
        // The next incarnation answers a call that the end of a dark worker has interrupted.
        f.is_dark(&id) || Instant::now() < until && !f.has_end_after(&id, last_seen)
    };
    while with_fleet(&fleet, is_waiting) {
        sleep(END_POLL_INTERVAL).await;
    }
    let reply = with_fleet(&fleet, |f| {
        let reply = f.report(&id)?;
        f.record_checkpoints(&reply);
        Some(reply)
    });
    match reply {
        Some(reply) => warp::reply::json(&reply).into_response(),
        None => answer(StatusCode::NOT_FOUND, &json!({})),
    }
}

async fn execute_call(
    fleet: SharedFleet,
    id: String,
    expected_id: Option<String>,
    path: warp::path::FullPath,
    body: Bytes,
) -> Response {
    if !with_fleet(&fleet, |f| f.is_up(&id)) {
        return reset();
    }
    if expected_id.is_some_and(|expected| expected != id) {
        return answer(StatusCode::MISDIRECTED_REQUEST, &json!({}));
    }
    let invalid =
        |error: serde_json::Error| answer(StatusCode::BAD_REQUEST, &json!({ "error": error.to_string() }));
    match path.as_str() {
        "/run-start" => match serde_json::from_slice(&body) {
            Ok(order) => start_run(fleet, id, order).await,
            Err(error) => invalid(error),
        },
        "/run-stop" => match serde_json::from_slice(&body) {
            Ok(order) => stop_run(fleet, id, order).await,
            Err(error) => invalid(error),
        },
        "/pace" => match serde_json::from_slice(&body) {
            Ok(order) => set_pace(&fleet, &id, &order),
            Err(error) => invalid(error),
        },
        "/hold" => match serde_json::from_slice(&body) {
            Ok(order) => hold_lease(fleet, id, order).await,
            Err(error) => invalid(error),
        },
        _ => answer(StatusCode::NOT_FOUND, &json!({})),
    }
}

/// Waits until a worker is no longer dark.
async fn wait_for_light(fleet: &SharedFleet, id: &str) {
    while with_fleet(fleet, |f| f.is_dark(id)) {
        sleep(END_POLL_INTERVAL).await;
    }
}

/// Serves a worker until the future is dropped. While the worker is down, every connection breaks, unless the worker is
/// dark: then calls wait for its next incarnation.
pub async fn serve_worker(listener: TcpListener, id: String, fleet: SharedFleet) {
    let state = warp::any().map(move || (fleet.clone(), id.clone()));
    let expected_id = warp::header::optional::<String>("Expected-Instance");
    let request = warp::post().and(state).and(expected_id).and(warp::path::full()).and(warp::body::bytes());
    let routes = request.then(
        async |(fleet, id): (SharedFleet, String),
               expected_id: Option<String>,
               path: warp::path::FullPath,
               body: Bytes| {
            if !with_fleet(&fleet, |f| f.is_dark(&id)) {
                return execute_call(fleet, id, expected_id, path, body).await;
            }
            // A call that waits is executed even if its caller disconnects.
            let call = tokio::spawn(async move {
                wait_for_light(&fleet, &id).await;
                execute_call(fleet, id, expected_id, path, body).await
            });
            call.await.unwrap_or_else(|_| reset())
        },
    );
    warp::serve(routes).incoming(listener).run().await;
}

/// Body of a recommendation request.
#[derive(serde::Deserialize)]
#[serde(rename_all = "camelCase")]
struct RecommendationRequest {
    step_id: String,
    workers: Vec<String>,
}

/// Serves the recommendation service until the future is dropped.
pub async fn serve_recommendations(listener: TcpListener, fleet: SharedFleet) {
    let state = warp::any().map(move || fleet.clone());
    let routes = warp::path!("advise").and(warp::post()).and(state).and(warp::body::json()).map(
        |fleet: SharedFleet, request: RecommendationRequest| {
            let recommended = with_fleet(&fleet, |f| f.recommend(&request.step_id, &request.workers));
            warp::reply::json(&json!({ "good": recommended }))
        },
    );
    warp::serve(routes).incoming(listener).run().await;
}
