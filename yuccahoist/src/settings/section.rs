//! Reader of one settings file that collects errors.

use std::collections::BTreeSet;
use std::fmt::Display;
use std::ops::RangeInclusive;
use std::str::FromStr;
use std::time::Duration;

use serde_json::{Map, Value};

use super::SettingsError;

/// Longest part of a value that an error message repeats, characters.
const VALUE_LIMIT: usize = 80;

/// Fields of one file. Fields that nobody asked for are reported when it is dropped.
pub(super) struct Section<'a> {
    file: &'static str,
    fields: Map<String, Value>,
    known: BTreeSet<&'static str>,
    readable: bool,
    errors: &'a mut Vec<SettingsError>,
}

impl<'a> Section<'a> {
    pub(super) fn open(
        file: &'static str,
        required: bool,
        open: &mut dyn FnMut(&'static str) -> Result<Option<String>, String>,
        errors: &'a mut Vec<SettingsError>,
    ) -> Self {
        let mut section = Self { file, fields: Map::new(), known: BTreeSet::new(), readable: true, errors };
        match open(file) {
            Ok(Some(text)) => section.parse(&text),
            Ok(None) if required => section.unreadable("missing", "a JSON object in this file"),
            Ok(None) => {}
            Err(reason) => section.unreadable(&reason, "a readable file"),
        }
        section
    }

    fn parse(&mut self, text: &str) {
        match serde_json::from_str(text) {
            Ok(Value::Object(fields)) => self.fields = fields,
            Ok(other) => self.unreadable(&other.to_string(), "a JSON object"),
            Err(error) => self.unreadable(&format!("not JSON ({error})"), "a JSON object"),
        }
    }

    /// Reports the file as a whole, and nothing about its fields.
    fn unreadable(&mut self, value: &str, allowed: &str) {
        self.readable = false;
        self.error("file", value, allowed);
    }

    fn error(&mut self, field: &str, value: &str, allowed: &str) {
        self.errors.push(SettingsError {
            file: self.file.into(),
            field: field.into(),
            value: value.chars().take(VALUE_LIMIT).collect(),
            allowed: allowed.into(),
        });
    }

    fn take(&mut self, field: &'static str) -> Option<Value> {
        self.known.insert(field);
        self.fields.remove(field)
    }

    /// Text that parses as `T`; none after an error was noted.
    pub(super) fn required<T: FromStr>(&mut self, field: &'static str, allowed: &str) -> Option<T> {
        let value = self.take(field);
        if value.is_none() && self.readable {
            self.error(field, "missing", allowed);
        }
        self.convert(field, &value?, allowed)
    }

    /// Text that parses as `T`; none when it is not given.
    pub(super) fn optional<T: FromStr>(&mut self, field: &'static str, allowed: &str) -> Option<T> {
        match self.take(field)? {
            Value::Null => None,
            value => self.convert(field, &value, allowed),
        }
    }

    fn convert<T: FromStr>(&mut self, field: &'static str, value: &Value, allowed: &str) -> Option<T> {
        let parsed = value.as_str().and_then(|text| text.parse().ok());
        if parsed.is_none() {
            self.error(field, &value.to_string(), allowed);
        }
        parsed
    }

    /// List of texts that parse as `T`; empty when it is not given.
    pub(super) fn list<T: FromStr>(&mut self, field: &'static str, allowed: &str) -> Vec<T> {
        let Some(value) = self.take(field) else { return Vec::new() };
        let Some(items) = value.as_array() else {
            self.error(field, &value.to_string(), allowed);
            return Vec::new();
        };
        items.iter().filter_map(|item| self.convert(field, item, allowed)).collect()
    }

    /// Whole number in a range, or the default.
    pub(super) fn number(&mut self, field: &'static str, default: u64, range: RangeInclusive<u64>) -> u64 {
        let Some(value) = self.take(field) else { return default };
        match value.as_u64().filter(|number| range.contains(number)) {
            Some(number) => number,
            None => {
                let allowed = format!("a whole number from {} to {}", range.start(), range.end());
                self.error(field, &value.to_string(), &allowed);
                default
            }
        }
    }

    /// Time span in milliseconds, or the default.
    pub(super) fn millis(
        &mut self,
        field: &'static str,
        default: u64,
        range: RangeInclusive<u64>,
    ) -> Duration {
        Duration::from_millis(self.number(field, default, range))
    }

    /// `true` or `false`, or the default.
    pub(super) fn switch(&mut self, field: &'static str, default: bool) -> bool {
        let Some(value) = self.take(field) else { return default };
        value.as_bool().unwrap_or_else(|| {
            self.error(field, &value.to_string(), "true or false");
            default
        })
    }

    /// One of a few names, or the default.
    pub(super) fn choice<T: Copy + Display>(&mut self, field: &'static str, default: T, all: &[T]) -> T {
        let Some(value) = self.take(field) else { return default };
        let found = all.iter().find(|choice| value.as_str() == Some(&choice.to_string()));
        found.copied().unwrap_or_else(|| {
            let names: Vec<String> = all.iter().map(ToString::to_string).collect();
            self.error(field, &value.to_string(), &names.join(", "));
            default
        })
    }
}

impl Drop for Section<'_> {
    fn drop(&mut self) {
        let known: Vec<&str> = self.known.iter().copied().collect();
        let allowed = format!("only the fields {}", known.join(", "));
        for (field, value) in std::mem::take(&mut self.fields) {
            self.error(&field, &value.to_string(), &allowed);
        }
    }
}
