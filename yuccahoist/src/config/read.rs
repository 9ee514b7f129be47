//! Typed reading of a document that lists all errors.
//!
//! `serde` stops at the first error. Here every value that does not fit is noted and replaced by a placeholder that
//! does, and the document is read again, until it fits or too many errors were found.

use serde::de::DeserializeOwned;
use serde_json::{Map, Value, json};
use serde_path_to_error::{Path, Segment};

/// Errors after which reading stops; more of them help nobody and bound the time that hostile input takes.
const ERROR_LIMIT: usize = 64;
/// Attempts to read a document. Without a limit, placeholders that exclude each other were tried without end.
const ATTEMPT_LIMIT: usize = 4 * ERROR_LIMIT;
/// Longest value that is shown in an error, characters.
const SHOWN: usize = 80;

/// Value that does not fit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Finding {
    /// Field path.
    pub(super) path: String,
    /// Value as JSON, shortened.
    pub(super) value: String,
    /// What is allowed.
    pub(super) allowed: String,
}

/// Document as far as it could be read, with all errors.
#[derive(Debug)]
pub(super) struct Reading<T> {
    /// Document with placeholders in place of what does not fit.
    pub(super) document: Option<T>,
    /// Errors.
    pub(super) findings: Vec<Finding>,
    /// Paths of the placeholders.
    pub(super) placeholders: Vec<String>,
}

/// Step of a path.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Step {
    Key(String),
    Index(usize),
}

/// Failure of one attempt to read.
struct Failure {
    steps: Vec<Step>,
    message: String,
}

/// Reads a document and lists all values that do not fit.
pub(super) fn read<T: DeserializeOwned>(mut value: Value) -> Reading<T> {
    let mut findings: Vec<Finding> = Vec::new();
    let mut placeholders = Vec::new();
    let mut repaired: Vec<Vec<Step>> = Vec::new();
    for _ in 0..ATTEMPT_LIMIT {
        if findings.len() >= ERROR_LIMIT {
            break;
        }
        let failure = match attempt::<T>(&value) {
            Ok(document) => return Reading { document: Some(document), findings, placeholders },
            Err(failure) => failure,
        };
        // Fields that a placeholder lacks are not errors of the document.
        let known = repaired.iter().any(|steps| failure.steps.starts_with(steps));
        if !known {
            findings.push(finding(&value, &failure));
        }
        if !repair::<T>(&mut value, &failure) {
            break;
        }
        if !known && !failure.message.starts_with("unknown field") {
            placeholders.push(render(&failure.steps));
        }
        if !known {
            repaired.push(failure.steps);
        }
    }
    Reading { document: None, findings, placeholders }
}

fn attempt<T: DeserializeOwned>(value: &Value) -> Result<T, Failure> {
    serde_path_to_error::deserialize(value).map_err(|error| {
        let mut steps = steps(error.path());
        let message = error.inner().to_string();
        for prefix in ["unknown field `", "missing field `"] {
            if let Some(name) = quoted(&message, prefix)
                && steps.last() != Some(&Step::Key(name.clone()))
            {
                steps.push(Step::Key(name));
            }
        }
        Failure { steps, message }
    })
}

fn steps(path: &Path) -> Vec<Step> {
    let step = |segment: &Segment| match segment {
        Segment::Seq { index } => Some(Step::Index(*index)),
        Segment::Map { key } => Some(Step::Key(key.clone())),
        Segment::Enum { .. } | Segment::Unknown => None,
    };
    path.iter().filter_map(step).collect()
}

fn quoted(message: &str, prefix: &str) -> Option<String> {
    let rest = message.strip_prefix(prefix)?;
    // The name may itself contain a back quote, so the text after it decides where it ends.
    let end = ["`, expected", "`, there are no fields"].into_iter().find_map(|after| rest.rfind(after));
    let end = end.or_else(|| rest.strip_suffix('`').map(str::len))?;
    rest.get(..end).map(Into::into)
}

fn finding(value: &Value, failure: &Failure) -> Finding {
    let found = locate(value, &failure.steps);
    let missing = failure.message.starts_with("missing field");
    let shown = match found {
        Some(found) if !missing => shorten(&found.to_string()),
        _ => "(missing)".into(),
    };
    Finding { path: render(&failure.steps), value: shown, allowed: allowed(&failure.message) }
}

/// Text of a value, shortened.
pub(super) fn shorten(text: &str) -> String {
    if text.chars().count() <= SHOWN {
        return text.into();
    }
    text.chars().take(SHOWN).chain("...".chars()).collect()
}

fn allowed(message: &str) -> String {
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

fn render(steps: &[Step]) -> String {
    let mut text = String::new();
    for step in steps {
        match step {
            Step::Index(index) => text.push_str(&format!("[{index}]")),
            Step::Key(key) if text.is_empty() => text.push_str(key),
            Step::Key(key) => text.push_str(&format!(".{key}")),
        }
    }
    if text.is_empty() { "(document)".into() } else { text }
}

fn locate<'a>(value: &'a Value, steps: &[Step]) -> Option<&'a Value> {
    steps.iter().try_fold(value, |value, step| match step {
        Step::Key(key) => value.get(key),
        Step::Index(index) => value.get(index),
    })
}

fn locate_mut<'a>(value: &'a mut Value, steps: &[Step]) -> Option<&'a mut Value> {
    steps.iter().try_fold(value, |value, step| match step {
        Step::Key(key) => value.get_mut(key),
        Step::Index(index) => value.get_mut(index),
    })
}

fn repair<T: DeserializeOwned>(value: &mut Value, failure: &Failure) -> bool {
    let Some((last, parents)) = failure.steps.split_last() else {
        return false;
    };
    let Some(parent) = locate_mut(value, parents) else { return false };
    if failure.message.starts_with("unknown field") {
        let Step::Key(key) = last else { return false };
        return parent.as_object_mut().is_some_and(|object| object.remove(key).is_some());
    }
    let placeholders =
        [json!(1), json!("x"), json!("127.0.0.1:1"), json!([]), Value::Object(Map::new()), json!(true)];
    for placeholder in placeholders {
        place(value, parents, last, placeholder);
        match attempt::<T>(value) {
            Err(next) if next.steps == failure.steps => {}
            _ => return true,
        }
    }
    false
}

fn place(value: &mut Value, parents: &[Step], last: &Step, placeholder: Value) {
    let Some(parent) = locate_mut(value, parents) else { return };
    match (parent, last) {
        (Value::Object(object), Step::Key(key)) => {
            object.insert(key.clone(), placeholder);
        }
        (Value::Array(array), Step::Index(index)) => {
            if let Some(slot) = array.get_mut(*index) {
                *slot = placeholder;
            }
        }
        _ => {}
    }
}
