//! Settings in `logging.json`.

use std::fmt;

use super::Section;

/// Log level; each one includes the more severe ones above it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogLevel {
    /// Errors.
    Error,
    /// Warnings.
    Warn,
    /// Informational lines, such as decisions.
    Info,
    /// Diagnostic lines, such as those about connections.
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

/// Format of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// Plain text without colours.
    Text,
    /// One JSON object per line.
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

/// Level and format of log lines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoggingSettings {
    /// Least severe level that is logged.
    pub level: LogLevel,
    /// Format of each line.
    pub format: LogFormat,
    /// Whether decisions are logged, one line each at [`LogLevel::Info`].
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
        decisions: section.boolean("decisions", true),
    }
}
