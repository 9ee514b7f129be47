//! Responses of the HTTP interface for callers.

use std::time::Duration;

use reqwest::StatusCode;
use reqwest::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use serde::Serialize;
use warp::reply::Response;

use crate::request::{Outcome, Refusal, UnknownReason};

/// Header with the outcome of a service call: `answered`, `not-run` or `unknown`.
pub(super) const OUTCOME_HEADER: &str = "yuccahoist-outcome";
/// Value of `Retry-After` where the refusal carries no delay of its own.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Validation error of one header or other part of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(super) struct FieldError {
    /// Header name, or `service`, `job`, `id`, `body` or `request`.
    field: &'static str,
    /// Rejected value, or what is wrong with it.
    value: String,
    /// Description of the values accepted.
    allowed: String,
}

impl FieldError {
    /// Maximum length of a rejected value in a response; longer ones are truncated.
    const MAX_VALUE_CHARS: usize = 80;

    pub(super) fn new(field: &'static str, value: &str, allowed: impl Into<String>) -> Self {
        Self { field, value: value.chars().take(Self::MAX_VALUE_CHARS).collect(), allowed: allowed.into() }
    }
}

#[derive(Serialize)]
struct ErrorsBody<'a> {
    errors: &'a [FieldError],
}

#[derive(Serialize)]
struct ReasonBody<'a> {
    reason: &'a str,
}

/// Builds a response with a JSON body.
pub(super) fn json<T: Serialize>(status: StatusCode, body: &T) -> Response {
    let body = serde_json::to_vec(body).unwrap_or_default();
    let mut response = Response::new(body.into());
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Builds a 503 response with a reason and a `Retry-After` of [`DEFAULT_RETRY_AFTER`].
pub(super) fn unavailable(reason: &str) -> Response {
    let response = json(StatusCode::SERVICE_UNAVAILABLE, &ReasonBody { reason });
    retry_after(response, DEFAULT_RETRY_AFTER)
}

/// Builds a response that lists the validation errors of a request.
pub(super) fn validation_errors(status: StatusCode, errors: &[FieldError]) -> Response {
    json(status, &ErrorsBody { errors })
}

/// Builds the response to a service call that did not run because it is malformed.
pub(super) fn not_run(status: StatusCode, errors: &[FieldError]) -> Response {
    with_outcome(validation_errors(status, errors), "not-run")
}

/// Builds the response to a service call that did not run because this host does not accept it.
pub(super) fn refused(reason: &str) -> Response {
    with_outcome(unavailable(reason), "not-run")
}

/// Builds the response to a service call whose outcome is unknown because the host actor terminated.
pub(super) fn host_terminated() -> Response {
    let body = ReasonBody { reason: "the host ended before it gave the outcome" };
    with_outcome(json(StatusCode::BAD_GATEWAY, &body), "unknown")
}

/// Builds the response to a service call from its outcome.
pub(super) fn outcome(outcome: Outcome) -> Response {
    let name = outcome.as_str();
    let response = match outcome {
        Outcome::Answered(answer) => {
            let mut response = Response::new(answer.body.into());
            *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
            response
        }
        Outcome::NotRun(refusal) => refusal_response(&refusal),
        Outcome::Unknown(cause) => {
            let (status, reason) = unknown_outcome_status(&cause);
            json(status, &ReasonBody { reason })
        }
    };
    with_outcome(response, name)
}

fn with_outcome(mut response: Response, outcome: &'static str) -> Response {
    response.headers_mut().insert(OUTCOME_HEADER, HeaderValue::from_static(outcome));
    response
}

/// Adds `Retry-After` in whole seconds, rounded up and clamped to between 1 s and 1 h.
fn retry_after(mut response: Response, after: Duration) -> Response {
    let seconds = after.as_millis().div_ceil(1_000).clamp(1, 3_600);
    let seconds = u64::try_from(seconds).unwrap_or(1);
    response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(seconds));
    response
}

fn refusal_response(refusal: &Refusal) -> Response {
    let (status, reason, retry) = refusal_status(refusal);
    let response = json(status, &ReasonBody { reason });
    match status {
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            retry_after(response, retry.unwrap_or(DEFAULT_RETRY_AFTER))
        }
        _ => response,
    }
}

fn refusal_status(refusal: &Refusal) -> (StatusCode, &'static str, Option<Duration>) {
    match refusal {
        Refusal::Overloaded { retry } => (
            StatusCode::TOO_MANY_REQUESTS,
            "the queue of the class is full or the expected wait exceeds the deadline",
            Some(*retry),
        ),
        Refusal::TeamLimit { retry } => {
            (StatusCode::TOO_MANY_REQUESTS, "the team has reached its limit", Some(*retry))
        }
        Refusal::IntentBudget { retry } => (
            StatusCode::TOO_MANY_REQUESTS,
            "this host takes no more non-idempotent requests now",
            Some(*retry),
        ),
        Refusal::Expired => {
            (StatusCode::GATEWAY_TIMEOUT, "the deadline passed before the request was sent", None)
        }
        Refusal::IdTooOld => (StatusCode::GONE, "the request id is older than the id window", None),
        Refusal::IdInFuture => {
            (StatusCode::BAD_REQUEST, "the time in the request id lies ahead of the clock of this host", None)
        }
        Refusal::IdReused => (StatusCode::CONFLICT, "the request id is known with another body", None),
        Refusal::UnknownService => (StatusCode::BAD_REQUEST, "the service is not in the configuration", None),
        Refusal::UnknownTeam => (StatusCode::BAD_REQUEST, "the team is not in the configuration", None),
        Refusal::LogUnavailable => (
            StatusCode::SERVICE_UNAVAILABLE,
            "the log is unavailable, so only idempotent requests are taken",
            None,
        ),
        Refusal::NoOwner => (StatusCode::SERVICE_UNAVAILABLE, "no owner of a suitable worker is known", None),
        Refusal::NotOwner => (StatusCode::SERVICE_UNAVAILABLE, "the owner of the workers has changed", None),
        Refusal::Stopping => (StatusCode::SERVICE_UNAVAILABLE, "the host is stopping", None),
        Refusal::NotReady => (StatusCode::SERVICE_UNAVAILABLE, "no configuration is in force yet", None),
    }
}

fn unknown_outcome_status(cause: &UnknownReason) -> (StatusCode, &'static str) {
    match cause {
        UnknownReason::DeadlineAfterDispatch => {
            (StatusCode::GATEWAY_TIMEOUT, "the deadline passed after the request was sent")
        }
        UnknownReason::BackendLost => {
            (StatusCode::BAD_GATEWAY, "the connection to the backend server broke after the request was sent")
        }
        UnknownReason::OwnerLost => (StatusCode::BAD_GATEWAY, "the host that had the request was lost"),
        UnknownReason::Duplicate => (
            StatusCode::CONFLICT,
            "an earlier request with this id may have run, and its answer is not available",
        ),
    }
}
