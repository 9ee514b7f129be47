//! Section `logging.json`.

use std::fmt;

use super::Section;

/// Least severe level that is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogLevel {
    /// Errors only.
    Error,
    /// Also warnings.
    Warn,
    /// Also decisions.
    Info,
    /// Also connections.
    Debug,
}

impl fmt::Display for LogLevel {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Error => "error",
            Self::Warn => "warn",
            Self::Info => "info",
            Self::Debug => "debug",
        })
    }
}

/// Form of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// Text.
    Text,
    /// One JSON object a line.
    Json,
}

impl fmt::Display for LogFormat {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Text => "text",
            Self::Json => "json",
        })
    }
}

/// Level and form of log lines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoggingSettings {
    /// Least severe level that is written.
    pub level: LogLevel,
    /// Form.
    pub format: LogFormat,
    /// Whether each decision is written.
    pub decisions: bool,
}

impl Default for LoggingSettings {
    fn default() -> Self {
        Self { level: LogLevel::Info, format: LogFormat::Text, decisions: true }
    }
}

pub(super) fn parse(section: &mut Section<'_>) -> LoggingSettings {
    let levels = [LogLevel::Error, LogLevel::Warn, LogLevel::Info, LogLevel::Debug];
    LoggingSettings {
        level: section.choice("level", LogLevel::Info, &levels),
        format: section.choice("format", LogFormat::Text, &[LogFormat::Text, LogFormat::Json]),
        decisions: section.switch("decisions", true),
    }
}
