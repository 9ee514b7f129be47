//! Handler of `POST /v1/services/{service}`.

use std::sync::Arc;

use bytes::Buf;
use futures::Stream;
use reqwest::StatusCode;
use reqwest::header::HeaderMap;
use warp::reply::Response;

use super::reply::{self, FieldError};
use super::{Api, exceeds_limit, header};
use crate::actor::ReplySender;
use crate::body::{self, BodyError};
use crate::event::HostEvent;
use crate::request::Request;

pub(super) async fn call<B: Buf>(
    service: String,
    api: Arc<Api>,
    headers: HeaderMap,
    stream: impl Stream<Item = Result<B, warp::Error>>,
) -> Response {
    // The deadline runs from the arrival of the headers, so the upload of the body counts against it.
    let received_at = api.clock.now();
    let Some(_permit) = api.acquire_permit() else { return reply::refused("too many calls are open") };
    let parsed = header::parse(&service, &headers);
    if exceeds_limit(&headers, api.body_limit) {
        body::discard(stream).await;
        return too_large(&api, parsed.err().unwrap_or_default());
    }
    let headers = match parsed {
        Ok(headers) => headers,
        Err(errors) => {
            body::discard(stream).await;
            return reply::not_run(StatusCode::BAD_REQUEST, &errors);
        }
    };
    let body = match body::read(stream, api.body_limit).await {
        Ok(body) => body,
        Err(BodyError::TooLarge) => return too_large(&api, Vec::new()),
        Err(BodyError::Incomplete) => {
            let field_error = FieldError::new("body", "incomplete", "a whole body");
            return reply::not_run(StatusCode::BAD_REQUEST, &[field_error]);
        }
    };
    let request = Request {
        id: headers.id,
        service: headers.service,
        class: headers.class,
        team: headers.team,
        idempotent: headers.idempotent,
        deadline: received_at + headers.deadline,
        body,
    };
    let wall = api.clock.wall();
    match api.open_call(ReplySender::Request, |call| HostEvent::Call { call, wall, request }) {
        None => reply::refused("the host is ending"),
        Some(open_call) => open_call.answer().await.map_or_else(reply::host_terminated, reply::outcome),
    }
}

fn too_large(api: &Api, mut errors: Vec<FieldError>) -> Response {
    let allowed = format!("at most {} bytes", api.body_limit);
    errors.push(FieldError::new("body", "too large", allowed));
    reply::not_run(StatusCode::PAYLOAD_TOO_LARGE, &errors)
}
