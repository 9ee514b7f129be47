//! `/v1/jobs`.

use std::sync::Arc;

use bytes::Buf;
use futures::Stream;
use reqwest::StatusCode;
use reqwest::header::HeaderMap;
use warp::reply::Response;

use super::reply::{self, Problem};
use super::{Api, BodyError, declares_more, read_body};
use crate::actor::Reply;
use crate::event::{HostEvent, JobCall, JobReply};
use crate::id::JobId;
use crate::job::JobSpec;

/// Largest job description, bytes.
const SPEC_LIMIT: usize = 64 << 10;

pub(super) async fn submit<B: Buf>(
    api: Arc<Api>,
    headers: HeaderMap,
    body: impl Stream<Item = Result<B, warp::Error>>,
) -> Response {
    if declares_more(&headers, SPEC_LIMIT) {
        return too_large();
    }
    let body = match read_body(body, SPEC_LIMIT).await {
        Ok(body) => body,
        Err(BodyError::TooLarge) => return too_large(),
        Err(BodyError::Broken) => {
            let problem = Problem::new("body", "incomplete", "a whole body");
            return reply::errors(StatusCode::BAD_REQUEST, &[problem]);
        }
    };
    match serde_json::from_slice::<JobSpec>(&body) {
        Ok(spec) => ask(&api, JobCall::Submit(spec)).await,
        Err(error) => {
            let problem = Problem::new("body", &error.to_string(), "a job as in docs/callers.md");
            reply::errors(StatusCode::BAD_REQUEST, &[problem])
        }
    }
}

pub(super) async fn show(job: String, api: Arc<Api>) -> Response {
    match parse(&job) {
        Ok(job) => ask(&api, JobCall::Status(job)).await,
        Err(response) => *response,
    }
}

pub(super) async fn cancel(job: String, api: Arc<Api>) -> Response {
    match parse(&job) {
        Ok(job) => ask(&api, JobCall::Cancel(job)).await,
        Err(response) => *response,
    }
}

fn parse(job: &str) -> Result<JobId, Box<Response>> {
    JobId::new(job).map_err(|_| {
        let allowed = "1 to 64 characters of a-z, A-Z, 0-9, '-', '_' and '.'";
        Box::new(reply::errors(StatusCode::BAD_REQUEST, &[Problem::new("job", job, allowed)]))
    })
}

fn too_large() -> Response {
    let problem = Problem::new("body", "too large", format!("at most {SPEC_LIMIT} bytes"));
    reply::errors(StatusCode::PAYLOAD_TOO_LARGE, &[problem])
}

async fn ask(api: &Api, body: JobCall) -> Response {
    let Some(_permit) = api.enter() else { return reply::unavailable("too many calls are open") };
    let Some(open) = api.open(Reply::Job, |call| HostEvent::JobCall { call, body }) else {
        return reply::unavailable("the host is ending");
    };
    match open.answer().await {
        Some(JobReply::Accepted(status)) => reply::json(StatusCode::ACCEPTED, &status),
        Some(JobReply::Status(status)) => reply::json(StatusCode::OK, &status),
        Some(JobReply::Conflict) => {
            let problem = Problem::new("id", "known with another description", "an id that is not in use");
            reply::errors(StatusCode::CONFLICT, &[problem])
        }
        Some(JobReply::NotFound) => {
            let problem = Problem::new("job", "not known", "the id of an accepted job");
            reply::errors(StatusCode::NOT_FOUND, &[problem])
        }
        Some(JobReply::Invalid(reasons)) => {
            let problem = |reason: &String| Problem::new("body", reason, "a job as in docs/callers.md");
            let problems: Vec<Problem> = reasons.iter().map(problem).collect();
            reply::errors(StatusCode::BAD_REQUEST, &problems)
        }
        Some(JobReply::Unavailable) => {
            reply::unavailable("the log is unavailable; repeating the call is safe")
        }
        None => reply::unavailable("the host ended before it answered; repeating the call is safe"),
    }
}
