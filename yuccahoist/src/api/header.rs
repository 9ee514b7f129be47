//! Validation of the headers of a service call.

use std::fmt::Display;
use std::str::FromStr;
use std::time::Duration;

use reqwest::header::HeaderMap;

use super::reply::FieldError;
use crate::id::{RequestId, ServiceId, TeamId};
use crate::request::Class;

const REQUEST_ID_HEADER: &str = "yuccahoist-request-id";
const CLASS_HEADER: &str = "yuccahoist-class";
const IDEMPOTENT_HEADER: &str = "yuccahoist-idempotent";
const DEADLINE_HEADER: &str = "yuccahoist-deadline-ms";
const TEAM_HEADER: &str = "yuccahoist-team";
/// Maximum deadline that a header may carry; the configuration may set a smaller maximum per class. The error text in
/// [`parse`] repeats the value.
const MAX_DEADLINE_MS: u64 = 24 * 60 * 60 * 1_000;

/// Service name and headers of a call, all of them valid.
#[derive(Debug)]
pub(super) struct RequestHeaders {
    pub(super) service: ServiceId,
    pub(super) id: RequestId,
    pub(super) class: Class,
    pub(super) idempotent: bool,
    pub(super) deadline: Duration,
    pub(super) team: TeamId,
}

/// Parses the service name and all headers, and returns either the result or every error found.
pub(super) fn parse(service: &str, headers: &HeaderMap) -> Result<RequestHeaders, Vec<FieldError>> {
    let mut errors = Vec::new();
    let name_format = "1 to 64 characters of a-z, A-Z, 0-9, '-', '_' and '.'";
    let service = parse_value("service", Some(service), name_format, &mut errors);
    let id = parse_header(headers, REQUEST_ID_HEADER, "a UUID of version 7", &mut errors);
    let class = parse_header(headers, CLASS_HEADER, "urgent, batch or heavy", &mut errors);
    let idempotent = parse_header(headers, IDEMPOTENT_HEADER, "true or false", &mut errors);
    let deadline = parse_header(headers, DEADLINE_HEADER, "a whole number from 1 to 86400000", &mut errors);
    let team = parse_header(headers, TEAM_HEADER, name_format, &mut errors);
    match (service, id, class, idempotent, deadline, team) {
        (Some(service), Some(id), Some(class), Some(idempotent), Some(Deadline(deadline)), Some(team)) => {
            Ok(RequestHeaders { service, id, class, idempotent, deadline, team })
        }
        _ => Err(errors),
    }
}

fn parse_header<T: FromStr<Err: Display>>(
    headers: &HeaderMap,
    name: &'static str,
    allowed: &'static str,
    errors: &mut Vec<FieldError>,
) -> Option<T> {
    let mut values = headers.get_all(name).iter();
    let first = values.next();
    if values.next().is_some() {
        errors.push(FieldError::new(name, "given more than once", allowed));
        return None;
    }
    match first.map(|value| value.to_str()) {
        Some(Err(_)) => {
            errors.push(FieldError::new(name, "not visible ASCII", allowed));
            None
        }
        Some(Ok(text)) => parse_value(name, Some(text), allowed, errors),
        None => parse_value(name, None, allowed, errors),
    }
}

fn parse_value<T: FromStr<Err: Display>>(
    name: &'static str,
    text: Option<&str>,
    allowed: &'static str,
    errors: &mut Vec<FieldError>,
) -> Option<T> {
    let parsed = text.and_then(|text| text.parse().ok());
    if parsed.is_none() {
        errors.push(FieldError::new(name, text.unwrap_or("missing"), allowed));
    }
    parsed
}

/// Deadline header, from 1 to [`MAX_DEADLINE_MS`] milliseconds.
struct Deadline(Duration);

impl FromStr for Deadline {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let millis = text.parse().ok().filter(|millis| (1..=MAX_DEADLINE_MS).contains(millis));
        millis.map(|millis| Self(Duration::from_millis(millis))).ok_or("out of range")
    }
}
