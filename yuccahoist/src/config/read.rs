//! Deserialization of a document that reports all errors.
//!
//! `serde` stops at the first error. Here, each invalid value is reported and replaced with a placeholder of the right
//! type, and the document is deserialized again, until that succeeds or a limit is reached.

use serde::de::DeserializeOwned;
use serde_json::{Map, Value, json};
use serde_path_to_error::{Path, Segment};

/// Number of errors after which reading stops. Further ones are of no use to the operator, and the limit bounds the
/// time that malicious input takes.
const MAX_ERRORS: usize = 64;
/// Number of attempts to deserialize a document. Without a limit, placeholders that exclude each other would alternate
/// forever.
const MAX_READ_ATTEMPTS: usize = 4 * MAX_ERRORS;
/// Characters of a value that an error message shows.
const MAX_SHOWN_CHARS: usize = 80;

/// Invalid or missing value in a document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Finding {
    /// Path of the field, such as `workers.racks[0].zone`.
    pub(super) path: String,
    /// Value as JSON, truncated.
    pub(super) value: String,
    /// Description of the allowed values.
    pub(super) allowed: String,
}

/// Result of reading a document.
#[derive(Debug)]
pub(super) struct ReadOutcome<T> {
    /// Document with placeholders for the invalid values; `None` if it cannot be deserialized even so.
    pub(super) document: Option<T>,
    pub(super) findings: Vec<Finding>,
    /// Paths of the values that were replaced with placeholders.
    pub(super) placeholders: Vec<String>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum PathStep {
    Key(String),
    Index(usize),
}

/// Error of one deserialization attempt.
struct ReadFailure {
    steps: Vec<PathStep>,
    message: String,
}

/// Deserializes a document and lists all invalid values.
pub(super) fn read_document<T: DeserializeOwned>(mut value: Value) -> ReadOutcome<T> {
    let mut findings: Vec<Finding> = Vec::new();
    let mut placeholders = Vec::new();
    let mut repaired: Vec<Vec<PathStep>> = Vec::new();
    for _ in 0..MAX_READ_ATTEMPTS {
        if findings.len() >= MAX_ERRORS {
            break;
        }
        let failure = match deserialize::<T>(&value) {
            Ok(document) => return ReadOutcome { document: Some(document), findings, placeholders },
            Err(failure) => failure,
        };
        // Fields that are missing from a placeholder are not errors of the document.
        let in_placeholder = repaired.iter().any(|steps| failure.steps.starts_with(steps));
        if !in_placeholder {
            findings.push(to_finding(&value, &failure));
        }
        if !repair::<T>(&mut value, &failure) {
            break;
        }
        if !in_placeholder && !failure.message.starts_with("unknown field") {
            placeholders.push(format_path(&failure.steps));
        }
        if !in_placeholder {
            repaired.push(failure.steps);
        }
    }
    ReadOutcome { document: None, findings, placeholders }
}

fn deserialize<T: DeserializeOwned>(value: &Value) -> Result<T, ReadFailure> {
    serde_path_to_error::deserialize(value).map_err(|error| {
        let mut steps = path_steps(error.path());
        let message = error.inner().to_string();
        for prefix in ["unknown field `", "missing field `"] {
            if let Some(name) = quoted_name(&message, prefix)
                && steps.last() != Some(&PathStep::Key(name.clone()))
            {
                steps.push(PathStep::Key(name));
            }
        }
        ReadFailure { steps, message }
    })
}

/// Converts an error path to steps that locate the value in JSON.
fn path_steps(path: &Path) -> Vec<PathStep> {
    let step = |segment: &Segment| match segment {
        Segment::Seq { index } => Some(PathStep::Index(*index)),
        Segment::Map { key } => Some(PathStep::Key(key.clone())),
        Segment::Enum { .. } | Segment::Unknown => None,
    };
    path.iter().filter_map(step).collect()
}

/// Returns the field name that follows `prefix` in an error message of `serde`.
fn quoted_name(message: &str, prefix: &str) -> Option<String> {
    let rest = message.strip_prefix(prefix)?;
    // The name may contain a backquote itself, so its end is found by the text that follows.
    let end = ["`, expected", "`, there are no fields"].into_iter().find_map(|after| rest.rfind(after));
    let end = end.or_else(|| rest.strip_suffix('`').map(str::len))?;
    rest.get(..end).map(Into::into)
}

fn to_finding(value: &Value, failure: &ReadFailure) -> Finding {
    let found = locate(value, &failure.steps);
    let missing = failure.message.starts_with("missing field");
    let shown = match found {
        Some(found) if !missing => truncate(&found.to_string()),
        _ => "(missing)".into(),
    };
    Finding { path: format_path(&failure.steps), value: shown, allowed: describe_allowed(&failure.message) }
}

/// Truncates the text of a value to [`MAX_SHOWN_CHARS`].
pub(super) fn truncate(text: &str) -> String {
    if text.chars().count() <= MAX_SHOWN_CHARS {
        return text.into();
    }
    text.chars().take(MAX_SHOWN_CHARS).chain("...".chars()).collect()
}

/// Describes the allowed values by an error message of `serde`.
fn describe_allowed(message: &str) -> String {
    if message.starts_with("missing field") {
        return "a value; the field is required".into();
    }
    if message.starts_with("unknown field") {
        let names = message.rsplit_once("expected ").map_or("no fields", |(_, names)| names);
        return format!("the fields {}", names.trim_start_matches("one of "));
    }
    match message.rsplit_once("expected ") {
        Some((_, expected)) => expected.into(),
        None => message.into(),
    }
}

/// Formats a path as in error messages.
fn format_path(steps: &[PathStep]) -> String {
    let mut text = String::new();
    for step in steps {
        match step {
            PathStep::Index(index) => text.push_str(&format!("[{index}]")),
            PathStep::Key(key) if text.is_empty() => text.push_str(key),
            PathStep::Key(key) => text.push_str(&format!(".{key}")),
        }
    }
    if text.is_empty() { "(document)".into() } else { text }
}

fn locate<'a>(value: &'a Value, steps: &[PathStep]) -> Option<&'a Value> {
    steps.iter().try_fold(value, |value, step| match step {
        PathStep::Key(key) => value.get(key),
        PathStep::Index(index) => value.get(index),
    })
}

fn locate_mut<'a>(value: &'a mut Value, steps: &[PathStep]) -> Option<&'a mut Value> {
    steps.iter().try_fold(value, |value, step| match step {
        PathStep::Key(key) => value.get_mut(key),
        PathStep::Index(index) => value.get_mut(index),
    })
}

/// Removes an unknown field, or replaces an invalid value with a placeholder. Returns `false` if neither is possible.
fn repair<T: DeserializeOwned>(value: &mut Value, failure: &ReadFailure) -> bool {
    let Some((last, parents)) = failure.steps.split_last() else {
        return false;
    };
    let Some(parent) = locate_mut(value, parents) else { return false };
    if failure.message.starts_with("unknown field") {
        let PathStep::Key(key) = last else { return false };
        return parent.as_object_mut().is_some_and(|object| object.remove(key).is_some());
    }
    let placeholders =
        [json!(1), json!("x"), json!("127.0.0.1:1"), json!([]), Value::Object(Map::new()), json!(true)];
    for placeholder in placeholders {
        set_value(value, parents, last, placeholder);
        match deserialize::<T>(value) {
            Err(next) if next.steps == failure.steps => {}
            _ => return true,
        }
    }
    false
}

fn set_value(value: &mut Value, parents: &[PathStep], last: &PathStep, placeholder: Value) {
    let Some(parent) = locate_mut(value, parents) else { return };
    match (parent, last) {
        (Value::Object(object), PathStep::Key(key)) => {
            object.insert(key.clone(), placeholder);
        }
        (Value::Array(array), PathStep::Index(index)) => {
            if let Some(slot) = array.get_mut(*index) {
                *slot = placeholder;
            }
        }
        _ => {}
    }
}
