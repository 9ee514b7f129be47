//! Handlers of `/v1/jobs`.

use std::sync::Arc;

use bytes::Buf;
use futures::Stream;
use reqwest::StatusCode;
use reqwest::header::HeaderMap;
use warp::reply::Response;

use super::reply::{self, FieldError};
use super::{Api, exceeds_limit};
use crate::actor::ReplySender;
use crate::body::{self, BodyError};
use crate::event::{HostEvent, JobCall, JobReply};
use crate::id::JobId;
use crate::job::JobSpec;

/// Maximum size of the JSON body of a job submission.
const MAX_SPEC_BYTES: usize = 64 << 10;

pub(super) async fn submit<B: Buf>(
    api: Arc<Api>,
    headers: HeaderMap,
    stream: impl Stream<Item = Result<B, warp::Error>>,
) -> Response {
    if exceeds_limit(&headers, MAX_SPEC_BYTES) {
        body::discard(stream).await;
        return too_large();
    }
    let body = match body::read(stream, MAX_SPEC_BYTES).await {
        Ok(body) => body,
        Err(BodyError::TooLarge) => return too_large(),
        Err(BodyError::Incomplete) => {
            let field_error = FieldError::new("body", "incomplete", "a whole body");
            return reply::validation_errors(StatusCode::BAD_REQUEST, &[field_error]);
        }
    };
    match serde_json::from_slice::<JobSpec>(&body) {
        Ok(spec) => call_host(&api, JobCall::Submit(spec)).await,
        Err(error) => {
            let field_error = FieldError::new("body", &error.to_string(), "a job as in docs/callers.md");
            reply::validation_errors(StatusCode::BAD_REQUEST, &[field_error])
        }
    }
}

pub(super) async fn status(job: String, api: Arc<Api>) -> Response {
    match parse_job_id(&job) {
        Ok(job) => call_host(&api, JobCall::Status(job)).await,
        Err(response) => *response,
    }
}

pub(super) async fn cancel(job: String, api: Arc<Api>) -> Response {
    match parse_job_id(&job) {
        Ok(job) => call_host(&api, JobCall::Cancel(job)).await,
        Err(response) => *response,
    }
}

fn parse_job_id(job: &str) -> Result<JobId, Box<Response>> {
    JobId::new(job).map_err(|_| {
        let allowed = "1 to 64 characters of a-z, A-Z, 0-9, '-', '_' and '.'";
        Box::new(reply::validation_errors(StatusCode::BAD_REQUEST, &[FieldError::new("job", job, allowed)]))
    })
}

fn too_large() -> Response {
    let field_error = FieldError::new("body", "too large", format!("at most {MAX_SPEC_BYTES} bytes"));
    reply::validation_errors(StatusCode::PAYLOAD_TOO_LARGE, &[field_error])
}

async fn call_host(api: &Api, body: JobCall) -> Response {
    let Some(_permit) = api.acquire_permit() else { return reply::unavailable("too many calls are open") };
    let Some(open_call) = api.open_call(ReplySender::Job, |call| HostEvent::JobCall { call, body }) else {
        return reply::unavailable("the host is ending");
    };
    match open_call.answer().await {
        Some(JobReply::Accepted(status)) => reply::json(StatusCode::ACCEPTED, &status),
        Some(JobReply::Status(status)) => reply::json(StatusCode::OK, &status),
        Some(JobReply::Conflict) => {
            let field_error =
                FieldError::new("id", "known with another description", "an id that is not in use");
            reply::validation_errors(StatusCode::CONFLICT, &[field_error])
        }
        Some(JobReply::NotFound) => {
            let field_error = FieldError::new("job", "not known", "the id of an accepted job");
            reply::validation_errors(StatusCode::NOT_FOUND, &[field_error])
        }
        Some(JobReply::Invalid(reasons)) => {
            let to_error = |reason: &String| FieldError::new("body", reason, "a job as in docs/callers.md");
            let field_errors: Vec<FieldError> = reasons.iter().map(to_error).collect();
            reply::validation_errors(StatusCode::BAD_REQUEST, &field_errors)
        }
        Some(JobReply::Unavailable) => {
            reply::unavailable("the log is unavailable; repeating the call is safe")
        }
        None => reply::unavailable("the host ended before it answered; repeating the call is safe"),
    }
}
