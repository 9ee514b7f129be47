//! `POST /v1/services/{service}`.

use std::sync::Arc;

use bytes::Buf;
use futures::Stream;
use reqwest::StatusCode;
use reqwest::header::HeaderMap;
use warp::reply::Response;

use super::reply::{self, Problem};
use super::{Api, BodyError, declares_more, header, read_body};
use crate::actor::Reply;
use crate::event::HostEvent;
use crate::request::Request;

pub(super) async fn call<B: Buf>(
    service: String,
    api: Arc<Api>,
    headers: HeaderMap,
    body: impl Stream<Item = Result<B, warp::Error>>,
) -> Response {
    // The deadline counts from the arrival of the headers.
    let arrived = api.clock.now();
    let Some(_permit) = api.enter() else { return reply::refused("too many calls are open") };
    let parsed = header::parse(&service, &headers);
    if declares_more(&headers, api.body_limit) {
        return too_large(&api, parsed.err().unwrap_or_default());
    }
    let headers = match parsed {
        Ok(headers) => headers,
        Err(problems) => return reply::not_run(StatusCode::BAD_REQUEST, &problems),
    };
    let body = match read_body(body, api.body_limit).await {
        Ok(body) => body,
        Err(BodyError::TooLarge) => return too_large(&api, Vec::new()),
        Err(BodyError::Broken) => {
            let problem = Problem::new("body", "incomplete", "a whole body");
            return reply::not_run(StatusCode::BAD_REQUEST, &[problem]);
        }
    };
    let request = Request {
        id: headers.id,
        service: headers.service,
        class: headers.class,
        team: headers.team,
        idempotent: headers.idempotent,
        deadline: arrived + headers.deadline,
        body,
    };
    let wall = api.clock.wall();
    match api.open(Reply::Request, |call| HostEvent::Call { call, wall, request }) {
        None => reply::refused("the host is ending"),
        Some(open) => open.answer().await.map_or_else(reply::host_lost, reply::outcome),
    }
}

fn too_large(api: &Api, mut problems: Vec<Problem>) -> Response {
    let allowed = format!("at most {} bytes", api.body_limit);
    problems.push(Problem::new("body", "too large", allowed));
    reply::not_run(StatusCode::PAYLOAD_TOO_LARGE, &problems)
}
