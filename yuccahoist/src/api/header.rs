//! Headers of a request.

use std::fmt::Display;
use std::str::FromStr;
use std::time::Duration;

use reqwest::header::HeaderMap;

use super::reply::Problem;
use crate::id::{RequestId, ServiceId, TeamId};
use crate::request::Class;

const REQUEST_ID: &str = "yuccahoist-request-id";
const CLASS: &str = "yuccahoist-class";
const IDEMPOTENT: &str = "yuccahoist-idempotent";
const DEADLINE: &str = "yuccahoist-deadline-ms";
const TEAM: &str = "yuccahoist-team";
/// Longest deadline, milliseconds. The configuration has a lower limit per class.
const MAX_DEADLINE: u64 = 24 * 60 * 60 * 1_000;

/// Checked headers.
#[derive(Debug)]
pub(super) struct RequestHeaders {
    pub(super) service: ServiceId,
    pub(super) id: RequestId,
    pub(super) class: Class,
    pub(super) idempotent: bool,
    pub(super) deadline: Duration,
    pub(super) team: TeamId,
}

/// Checks all headers and the service name, and lists everything that is wrong.
pub(super) fn parse(service: &str, headers: &HeaderMap) -> Result<RequestHeaders, Vec<Problem>> {
    let mut problems = Vec::new();
    let name = "1 to 64 characters of a-z, A-Z, 0-9, '-', '_' and '.'";
    let service = value("service", Some(service), name, &mut problems);
    let id = header(headers, REQUEST_ID, "a UUID of version 7", &mut problems);
    let class = header(headers, CLASS, "urgent, batch or heavy", &mut problems);
    let idempotent = header(headers, IDEMPOTENT, "true or false", &mut problems);
    let deadline = header(headers, DEADLINE, "a whole number from 1 to 86400000", &mut problems);
    let team = header(headers, TEAM, name, &mut problems);
    match (service, id, class, idempotent, deadline, team) {
        (Some(service), Some(id), Some(class), Some(idempotent), Some(Millis(deadline)), Some(team)) => {
            Ok(RequestHeaders { service, id, class, idempotent, deadline, team })
        }
        _ => Err(problems),
    }
}

fn header<T: FromStr<Err: Display>>(
    headers: &HeaderMap,
    name: &'static str,
    allowed: &'static str,
    problems: &mut Vec<Problem>,
) -> Option<T> {
    let mut values = headers.get_all(name).iter();
    let first = values.next();
    if values.next().is_some() {
        problems.push(Problem::new(name, "given more than once", allowed));
        return None;
    }
    match first.map(|value| value.to_str()) {
        Some(Err(_)) => {
            problems.push(Problem::new(name, "not visible ASCII", allowed));
            None
        }
        Some(Ok(text)) => value(name, Some(text), allowed, problems),
        None => value(name, None, allowed, problems),
    }
}

fn value<T: FromStr<Err: Display>>(
    name: &'static str,
    text: Option<&str>,
    allowed: &'static str,
    problems: &mut Vec<Problem>,
) -> Option<T> {
    let parsed = text.and_then(|text| text.parse().ok());
    if parsed.is_none() {
        problems.push(Problem::new(name, text.unwrap_or("missing"), allowed));
    }
    parsed
}

/// Deadline in milliseconds.
struct Millis(Duration);

impl FromStr for Millis {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let millis = text.parse().ok().filter(|millis| (1..=MAX_DEADLINE).contains(millis));
        millis.map(|millis| Self(Duration::from_millis(millis))).ok_or("out of range")
    }
}
