//! `diff`: lists the differences between files and the documents in force, by JSON path.

use std::collections::BTreeSet;

use serde_json::Value;
use yuccahoist::config::DocumentName;

use crate::cli::DiffArgs;
use crate::config_log::ConfigLog;
use crate::documents;
use crate::error::CommandError;

/// Prints the differences of each document, and overlays in force that no file covers.
pub async fn run(args: &DiffArgs) -> Result<(), CommandError> {
    let files = documents::load(&args.paths)?;
    let log = ConfigLog::open(args.log, args.timeout).await?;
    println!("revision {} in force", log.fold().in_force().revision);
    for (name, content) in &files {
        let mut lines = Vec::new();
        compare("", log.fold().documents().get(name), content, &mut lines);
        print_document(name, &lines);
    }
    for site in log.fold().documents().overlays.keys() {
        let name = DocumentName::Site(site.clone());
        if !files.contains_key(&name) {
            println!("{name}: in force, but not in the given files");
        }
    }
    Ok(())
}

fn print_document(name: &DocumentName, lines: &[String]) {
    if lines.is_empty() {
        println!("{name}: same");
    }
    for line in lines {
        println!("{name}: {line}");
    }
}

/// Appends a line for each JSON path at which the values differ.
fn compare(path: &str, old: &Value, new: &Value, lines: &mut Vec<String>) {
    if old == new {
        return;
    }
    match (old, new) {
        (Value::Object(left), Value::Object(right)) => {
            let keys: BTreeSet<&String> = left.keys().chain(right.keys()).collect();
            for key in keys {
                let path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
                let value = |object: &serde_json::Map<String, Value>| object.get(key).cloned();
                compare_options(&path, value(left).as_ref(), value(right).as_ref(), lines);
            }
        }
        (Value::Array(left), Value::Array(right)) => {
            for index in 0..left.len().max(right.len()) {
                compare_options(&format!("{path}[{index}]"), left.get(index), right.get(index), lines);
            }
        }
        _ => compare_options(path, Some(old), Some(new), lines),
    }
}

fn compare_options(path: &str, old: Option<&Value>, new: Option<&Value>, lines: &mut Vec<String>) {
    match (old, new) {
        (Some(old), Some(new)) if is_container(old, new) => compare(path, old, new, lines),
        (Some(old), Some(new)) if old != new => lines.push(format!("{path}: {old} -> {new}")),
        (Some(old), None) => lines.push(format!("{path}: {old} removed")),
        (None, Some(new)) => lines.push(format!("{path}: {new} added")),
        _ => {}
    }
}

const fn is_container(old: &Value, new: &Value) -> bool {
    matches!((old, new), (Value::Object(_), Value::Object(_)) | (Value::Array(_), Value::Array(_)))
}
