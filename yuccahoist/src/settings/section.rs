//! Reader for one settings file. It collects errors instead of stopping at the first.

use std::collections::BTreeSet;
use std::fmt::Display;
use std::ops::RangeInclusive;
use std::str::FromStr;
use std::time::Duration;

use serde_json::{Map, Value};

use super::SettingsError;

/// Maximum length of a value in an error message; longer ones are truncated.
const MAX_VALUE_CHARS: usize = 80;

/// Fields of one file. Getters report an invalid value as an error and return the default or `None` in its place.
///
/// Dropping the section reports fields that were never read as unknown.
pub(super) struct Section<'a> {
    file: &'static str,
    fields: Map<String, Value>,
    known_fields: BTreeSet<&'static str>,
    is_readable: bool,
    errors: &'a mut Vec<SettingsError>,
}

impl<'a> Section<'a> {
    /// Reads and parses a file. A required file that is missing is an error.
    pub(super) fn open(
        file: &'static str,
        required: bool,
        open: &mut dyn FnMut(&'static str) -> Result<Option<String>, String>,
        errors: &'a mut Vec<SettingsError>,
    ) -> Self {
        let mut section =
            Self { file, fields: Map::new(), known_fields: BTreeSet::new(), is_readable: true, errors };
        match open(file) {
            Ok(Some(text)) => section.parse(&text),
            Ok(None) if required => section.report_file("missing", "a JSON object in this file"),
            Ok(None) => {}
            Err(reason) => section.report_file(&reason, "a readable file"),
        }
        section
    }

    fn parse(&mut self, text: &str) {
        match serde_json::from_str(text) {
            Ok(Value::Object(fields)) => self.fields = fields,
            Ok(other) => self.report_file(&other.to_string(), "a JSON object"),
            Err(error) => self.report_file(&format!("not JSON ({error})"), "a JSON object"),
        }
    }

    /// Reports an error of the whole file and suppresses errors about missing fields.
    fn report_file(&mut self, value: &str, allowed: &str) {
        self.is_readable = false;
        self.report("file", value, allowed);
    }

    fn report(&mut self, field: &str, value: &str, allowed: &str) {
        self.errors.push(SettingsError {
            file: self.file.into(),
            field: field.into(),
            value: value.chars().take(MAX_VALUE_CHARS).collect(),
            allowed: allowed.into(),
        });
    }

    fn take(&mut self, field: &'static str) -> Option<Value> {
        self.known_fields.insert(field);
        self.fields.remove(field)
    }

    /// Parses the text of a required field. Returns `None` when it is missing or invalid.
    pub(super) fn required<T: FromStr>(&mut self, field: &'static str, allowed: &str) -> Option<T> {
        let value = self.take(field);
        if value.is_none() && self.is_readable {
            self.report(field, "missing", allowed);
        }
        self.parse_value(field, &value?, allowed)
    }

    /// Parses the text of an optional field. Returns `None` when it is absent, null or invalid.
    pub(super) fn optional<T: FromStr>(&mut self, field: &'static str, allowed: &str) -> Option<T> {
        match self.take(field)? {
            Value::Null => None,
            value => self.parse_value(field, &value, allowed),
        }
    }

    fn parse_value<T: FromStr>(&mut self, field: &'static str, value: &Value, allowed: &str) -> Option<T> {
        let parsed = value.as_str().and_then(|text| text.parse().ok());
        if parsed.is_none() {
            self.report(field, &value.to_string(), allowed);
        }
        parsed
    }

    /// Parses a list of texts, without the invalid ones. Returns an empty list when the field is absent.
    pub(super) fn list<T: FromStr>(&mut self, field: &'static str, allowed: &str) -> Vec<T> {
        let Some(value) = self.take(field) else { return Vec::new() };
        let Some(items) = value.as_array() else {
            self.report(field, &value.to_string(), allowed);
            return Vec::new();
        };
        items.iter().filter_map(|item| self.parse_value(field, item, allowed)).collect()
    }

    /// Returns a whole number within `range`, or the default.
    pub(super) fn number(&mut self, field: &'static str, default: u64, range: RangeInclusive<u64>) -> u64 {
        let Some(value) = self.take(field) else { return default };
        match value.as_u64().filter(|number| range.contains(number)) {
            Some(number) => number,
            None => {
                let allowed = format!("a whole number from {} to {}", range.start(), range.end());
                self.report(field, &value.to_string(), &allowed);
                default
            }
        }
    }

    /// Returns a duration given in milliseconds; see [`Self::number`].
    pub(super) fn millis(
        &mut self,
        field: &'static str,
        default: u64,
        range: RangeInclusive<u64>,
    ) -> Duration {
        Duration::from_millis(self.number(field, default, range))
    }

    /// Returns `true` or `false`, or the default.
    pub(super) fn boolean(&mut self, field: &'static str, default: bool) -> bool {
        let Some(value) = self.take(field) else { return default };
        value.as_bool().unwrap_or_else(|| {
            self.report(field, &value.to_string(), "true or false");
            default
        })
    }

    /// Returns the option whose text the field holds, or the default.
    pub(super) fn choice<T: Copy + Display>(&mut self, field: &'static str, default: T, options: &[T]) -> T {
        let Some(value) = self.take(field) else { return default };
        let found = options.iter().find(|option| value.as_str() == Some(&option.to_string()));
        found.copied().unwrap_or_else(|| {
            let names: Vec<String> = options.iter().map(ToString::to_string).collect();
            self.report(field, &value.to_string(), &names.join(", "));
            default
        })
    }
}

impl Drop for Section<'_> {
    fn drop(&mut self) {
        let known: Vec<&str> = self.known_fields.iter().copied().collect();
        let allowed = format!("only the fields {}", known.join(", "));
        for (field, value) in std::mem::take(&mut self.fields) {
            self.report(&field, &value.to_string(), &allowed);
        }
    }
}
