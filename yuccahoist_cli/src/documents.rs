//! Reads configuration documents from files and directories.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use serde_json::Value;
use yuccahoist::config::{DocumentName, Documents};

use crate::error::CommandError;

/// Reads documents from files and directories, keyed by the name that the file stem gives.
///
/// # Errors
///
/// Fails when no path is given, a file cannot be read or is not JSON, or two files give the same document.
pub fn load(paths: &[PathBuf]) -> Result<BTreeMap<DocumentName, Value>, CommandError> {
    if paths.is_empty() {
        return Err(CommandError::Usage("no file or directory is given".into()));
    }
    let mut loaded: BTreeMap<DocumentName, (PathBuf, Value)> = BTreeMap::new();
    let mut errors = Vec::new();
    for path in expand(paths)? {
        let text = read(&path)?;
        match parse(&path, &text) {
            Err(error) => errors.push(error),
            Ok((name, content)) => {
                if let Some((first, _)) = loaded.get(&name) {
                    let error = format!(
                        "{name}: found {} and {}; allowed: one file",
                        first.display(),
                        path.display()
                    );
                    errors.push(error);
                } else {
                    loaded.insert(name, (path, content));
                }
            }
        }
    }
    if !errors.is_empty() {
        return Err(CommandError::Invalid(errors));
    }
    Ok(loaded.into_iter().map(|(name, (_, content))| (name, content)).collect())
}

/// Builds a document set from documents by name.
pub fn collect(documents: BTreeMap<DocumentName, Value>) -> Documents {
    let mut set = Documents::default();
    for (name, content) in documents {
        set.set(&name, content);
    }
    set
}

/// Reads and parses a JSON file.
pub fn read_json(path: &Path) -> Result<Value, CommandError> {
    let text = read(path)?;
    serde_json::from_str(&text).map_err(|error| CommandError::Invalid(vec![json_error(path, &error)]))
}

fn parse(path: &Path, text: &str) -> Result<(DocumentName, Value), String> {
    let stem = path.file_stem().and_then(|stem| stem.to_str()).unwrap_or_default();
    let name = stem.parse().map_err(|error| format!("{}: {error}", path.display()))?;
    let content = serde_json::from_str(text).map_err(|error| json_error(path, &error))?;
    Ok((name, content))
}

fn json_error(path: &Path, error: &serde_json::Error) -> String {
    format!("{}: not JSON: {error}", path.display())
}

fn read(path: &Path) -> Result<String, CommandError> {
    std::fs::read_to_string(path).map_err(|source| CommandError::File { path: path.into(), source })
}

/// Replaces each directory by the JSON files in it, sorted by name; other paths stay as given.
fn expand(paths: &[PathBuf]) -> Result<Vec<PathBuf>, CommandError> {
    let mut files = Vec::new();
    for path in paths {
        if !path.is_dir() {
            files.push(path.clone());
            continue;
        }
        let file_error = |source| CommandError::File { path: path.clone(), source };
        let entries = std::fs::read_dir(path).map_err(file_error)?;
        let mut json_files = Vec::new();
        for entry in entries {
            json_files.push(entry.map_err(file_error)?.path());
        }
        json_files.retain(|file| file.extension().is_some_and(|extension| extension == "json"));
        json_files.sort();
        files.extend(json_files);
    }
    Ok(files)
}
