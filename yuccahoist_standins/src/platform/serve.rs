//! The platform's stand-ins by HTTP.

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
use super::log::{KeyedLog, LogDown, LogFailure, Position};
use super::order::{Hold, Pace, Refused, Start, Stop};

/// Records on one page.
const PAGE: usize = 500;
/// Pause between two looks for an end.
const LOOK: Duration = Duration::from_millis(10);

fn answer(status: StatusCode, body: &serde_json::Value) -> Response {
    warp::reply::with_status(warp::reply::json(body), status).into_response()
}

/// Answer that breaks the connection.
fn reset() -> Response {
    let broken: Result<Bytes, std::io::Error> = Err(std::io::Error::other("reset by the stand-in"));
    warp::reply::stream(futures::stream::iter([broken])).into_response()
}

/// Applies the store's moods before a call; an answer if it ends there.
async fn before(log: &KeyedLog) -> Option<Response> {
    let moods = log.moods();
    match moods.down {
        Some(LogDown::Busy) => return Some(answer(StatusCode::SERVICE_UNAVAILABLE, &json!({}))),
        Some(LogDown::Reset) => return Some(reset()),
        Some(LogDown::Silent) => std::future::pending().await,
        None => {}
    }
    sleep(moods.slow).await;
    None
}

async fn append(log: KeyedLog, query: BTreeMap<String, String>, body: Bytes) -> Response {
    if let Some(answer) = before(&log).await {
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
    let moods = log.moods();
    if moods.lost > 0.0 && rand::random_bool(moods.lost) {
        // A caller that gives up does not stop what is under way.
        tokio::spawn(async move {
            sleep(moods.late).await;
            if let Err(failure) = log.append(&topic, &body, condition, position) {
                log::debug!("a late append failed: {failure:?}");
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
    if let Some(answer) = before(&log).await {
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
    if let Some(answer) = before(&log).await {
        return answer;
    }
    let text = |name: &str| query.get(name).cloned().unwrap_or_default();
    let (items, more, end) = log.newest(&text("topic"), &text("after"), PAGE);
    let items: Vec<_> = items
        .into_iter()
        .map(|(key, offset, value)| json!({ "key": key, "value": STANDARD.encode(value), "offset": offset }))
        .collect();
    answer(StatusCode::OK, &json!({ "items": items, "hasMore": more, "endOffset": end }))
}

/// Serves the store.
pub async fn store(listener: TcpListener, log: KeyedLog) {
    let state = warp::any().map(move || log.clone());
    let call = state.and(warp::query::<BTreeMap<String, String>>());
    let append = warp::path!("log-append").and(warp::post()).and(call.clone()).and(warp::body::bytes());
    let read = warp::path!("log-read").and(warp::get()).and(call.clone()).then(read);
    let newest = warp::path!("log-newest").and(warp::get()).and(call).then(newest);
    warp::serve(append.then(self::append).or(read).or(newest)).incoming(listener).run().await;
}

type Shared = Arc<Mutex<Fleet>>;

/// One access to the workers.
fn with<T>(fleet: &Shared, access: impl FnOnce(&mut Fleet) -> T) -> T {
    access(&mut fleet.lock().unwrap_or_else(PoisonError::into_inner))
}

fn refusal(fleet: &Shared, id: &str, refused: Refused) -> Response {
    let clock = with(fleet, |f| f.report(id)).map_or(0, |report| report.clock_ms);
    match refused.word() {
        Some(reason) => answer(StatusCode::CONFLICT, &json!({ "clockMs": clock, "reason": reason })),
        None => answer(StatusCode::BAD_REQUEST, &json!({ "clockMs": clock })),
    }
}

/// Carries out an order now, or late and without an answer. A late order ends with the worker that took it.
async fn carry_out<T: Send + 'static>(
    fleet: &Shared,
    id: &str,
    execute: impl FnOnce(&mut Fleet) -> T + Send + 'static,
) -> T {
    let Some(delay) = with(fleet, Fleet::lateness) else { return with(fleet, execute) };
    let (fleet, id) = (fleet.clone(), id.to_owned());
    tokio::spawn(async move {
        let born = with(&fleet, |f| f.born(&id));
        sleep(Duration::from_millis(delay)).await;
        if with(&fleet, |f| f.born(&id)) == born {
            with(&fleet, execute);
        }
    });
    std::future::pending().await
}

async fn start(fleet: Shared, id: String, order: Start) -> Response {
    let name = id.clone();
    match carry_out(&fleet, &id, move |f| f.start(&name, &order)).await {
        Ok(clock) => answer(StatusCode::OK, &json!({ "clockMs": clock })),
        Err(refused) => refusal(&fleet, &id, refused),
    }
}

async fn stop(fleet: Shared, id: String, order: Stop) -> Response {
    let name = id.clone();
    match carry_out(&fleet, &id, move |f| f.stop(&name, &order)).await {
        Ok(clock) => answer(StatusCode::OK, &json!({ "clockMs": clock })),
        Err(refused) => refusal(&fleet, &id, refused),
    }
}

fn pace(fleet: &Shared, id: &str, order: &Pace) -> Response {
    match with(fleet, |f| f.pace(id, order)) {
        Ok(clock) => answer(StatusCode::OK, &json!({ "clockMs": clock })),
        Err(refused) => refusal(fleet, id, refused),
    }
}

async fn hold(fleet: Shared, id: String, order: Hold) -> Response {
    let until = Instant::now() + Duration::from_millis(order.max_wait_ms);
    let (name, last) = (id.clone(), order.last_seen);
    if let Err(refused) = carry_out(&fleet, &id, move |f| f.hold(&name, &order)).await {
        return refusal(&fleet, &id, refused);
    }
    while Instant::now() < until && !with(&fleet, |f| f.has_news(&id, last)) {
        sleep(LOOK).await;
    }
    let reply = with(&fleet, |f| {
        let reply = f.report(&id)?;
        f.reported(&reply);
        Some(reply)
    });
    match reply {
        Some(reply) => warp::reply::json(&reply).into_response(),
        None => answer(StatusCode::NOT_FOUND, &json!({})),
    }
}

/// Serves a worker; while it is down, every connection breaks.
pub async fn worker(listener: TcpListener, id: String, fleet: Shared) {
    let state = warp::any().map(move || (fleet.clone(), id.clone()));
    let meant = warp::header::optional::<String>("Expected-Instance");
    let call = warp::post().and(state).and(meant).and(warp::path::full()).and(warp::body::bytes());
    let routes = call.then(
        async |(fleet, id): (Shared, String),
               meant: Option<String>,
               path: warp::path::FullPath,
               body: Bytes| {
            if !with(&fleet, |f| f.is_up(&id)) {
                return reset();
            }
            if meant.is_some_and(|meant| meant != id) {
                return answer(StatusCode::MISDIRECTED_REQUEST, &json!({}));
            }
            let invalid = |error: serde_json::Error| {
                answer(StatusCode::BAD_REQUEST, &json!({ "error": error.to_string() }))
            };
            match path.as_str() {
                "/run-start" => match serde_json::from_slice(&body) {
                    Ok(order) => start(fleet, id, order).await,
                    Err(error) => invalid(error),
                },
                "/run-stop" => match serde_json::from_slice(&body) {
                    Ok(order) => stop(fleet, id, order).await,
                    Err(error) => invalid(error),
                },
                "/pace" => match serde_json::from_slice(&body) {
                    Ok(order) => pace(&fleet, &id, &order),
                    Err(error) => invalid(error),
                },
                "/hold" => match serde_json::from_slice(&body) {
                    Ok(order) => hold(fleet, id, order).await,
                    Err(error) => invalid(error),
                },
                _ => answer(StatusCode::NOT_FOUND, &json!({})),
            }
        },
    );
    warp::serve(routes).incoming(listener).run().await;
}

#[derive(serde::Deserialize)]
#[serde(rename_all = "camelCase")]
struct Question {
    step_id: String,
    workers: Vec<String>,
}

/// Serves the recommendations.
pub async fn advisor(listener: TcpListener, fleet: Shared) {
    let state = warp::any().map(move || fleet.clone());
    let routes = warp::path!("advise").and(warp::post()).and(state).and(warp::body::json()).map(
        |fleet: Shared, question: Question| {
            let good = with(&fleet, |f| f.advise(&question.step_id, &question.workers));
            warp::reply::json(&json!({ "good": good }))
        },
    );
    warp::serve(routes).incoming(listener).run().await;
}
