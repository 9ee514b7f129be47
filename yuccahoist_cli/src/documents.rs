//! Documents from files.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use serde_json::Value;
use yuccahoist::config::{DocumentName, Documents};

use crate::error::CommandError;

/// Documents by name, each from one file.
pub fn load(paths: &[PathBuf]) -> Result<BTreeMap<DocumentName, Value>, CommandError> {
    if paths.is_empty() {
        return Err(CommandError::Usage("no file or directory is given".into()));
    }
    let mut found: BTreeMap<DocumentName, (PathBuf, Value)> = BTreeMap::new();
    let mut errors = Vec::new();
    for path in expand(paths)? {
        let text = read(&path)?;
        match parse(&path, &text) {
            Err(error) => errors.push(error),
            Ok((name, content)) => {
                if let Some((first, _)) = found.get(&name) {
                    let error = format!(
                        "{name}: found {} and {}; allowed: one file",
                        first.display(),
                        path.display()
                    );
                    errors.push(error);
                } else {
                    found.insert(name, (path, content));
                }
            }
        }
    }
    if !errors.is_empty() {
        return Err(CommandError::Invalid(errors));
    }
    Ok(found.into_iter().map(|(name, (_, content))| (name, content)).collect())
}

/// Document set of documents by name.
pub fn collect(documents: BTreeMap<DocumentName, Value>) -> Documents {
    let mut set = Documents::default();
    for (name, content) in documents {
        set.set(&name, content);
    }
    set
}

/// Content of a JSON file.
pub fn content(path: &Path) -> Result<Value, CommandError> {
    let text = read(path)?;
    serde_json::from_str(&text).map_err(|error| CommandError::Invalid(vec![not_json(path, &error)]))
}

fn parse(path: &Path, text: &str) -> Result<(DocumentName, Value), String> {
    let stem = path.file_stem().and_then(|stem| stem.to_str()).unwrap_or_default();
    let name = stem.parse().map_err(|error| format!("{}: {error}", path.display()))?;
    let content = serde_json::from_str(text).map_err(|error| not_json(path, &error))?;
    Ok((name, content))
}

fn not_json(path: &Path, error: &serde_json::Error) -> String {
    format!("{}: not JSON: {error}", path.display())
}

fn read(path: &Path) -> Result<String, CommandError> {
    std::fs::read_to_string(path).map_err(|source| CommandError::File { path: path.into(), source })
}

/// Files, with the JSON files of each directory in place of it.
fn expand(paths: &[PathBuf]) -> Result<Vec<PathBuf>, CommandError> {
    let mut files = Vec::new();
    for path in paths {
        if !path.is_dir() {
            files.push(path.clone());
            continue;
        }
        let failed = |source| CommandError::File { path: path.clone(), source };
        let entries = std::fs::read_dir(path).map_err(failed)?;
        let mut inside = Vec::new();
        for entry in entries {
            inside.push(entry.map_err(failed)?.path());
        }
        inside.retain(|file| file.extension().is_some_and(|extension| extension == "json"));
        inside.sort();
        files.extend(inside);
    }
    Ok(files)
}
