//! Settings of the daemon, read from a directory with one JSON file per section.
//!
//! | file | content | required |
//! | --- | --- | --- |
//! | `host.json` | name, zone, site, I/O threads | yes |
//! | `listen.json` | addresses for callers and peers, limits of the HTTP interface | yes |
//! | `platform.json` | addresses of the log service and the host list, timeouts | yes |
//! | `log.json` | timeouts and retention of the log stream client | no |
//! | `logging.json` | level and format of log lines | no |
//! | `metrics.json` | statsd address, prefix and interval | no |
//!
//! The errors of all files are reported together, so that an operator can fix them in one pass.

mod host;
mod listen;
mod log;
mod logging;
mod metrics;
mod platform;
mod section;

use std::fmt;
use std::path::Path;

use thiserror::Error;

pub use self::host::HostSettings;
pub use self::listen::ListenSettings;
pub use self::log::LogSettings;
pub use self::logging::{LogFormat, LogLevel, LoggingSettings};
pub use self::metrics::MetricsSettings;
pub use self::platform::PlatformSettings;
use self::section::Section;

/// Settings of one daemon.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Identity and threads, from `host.json`.
    pub host: HostSettings,
    /// Listening addresses and limits of the HTTP interface, from `listen.json`.
    pub listen: ListenSettings,
    /// Platform addresses and timeouts, from `platform.json`.
    pub platform: PlatformSettings,
    /// Timeouts and retention of the log stream client, from `log.json` or the defaults.
    pub log: LogSettings,
    /// Level and format of log lines, from `logging.json` or the defaults.
    pub logging: LoggingSettings,
    /// Destination of metrics, from `metrics.json` or the defaults.
    pub metrics: MetricsSettings,
}

/// Error in one field or file of the settings.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{file}: {field} is {value}; allowed: {allowed}")]
pub struct SettingsError {
    /// Name of the file in the settings directory.
    pub file: String,
    /// Field name, or `file` when the whole file is missing or malformed.
    pub field: String,
    /// Value found, truncated, or the reason why there is none.
    pub value: String,
    /// Description of the values accepted.
    pub allowed: String,
}

/// All errors in the settings; displayed one per line.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub struct SettingsErrors(pub Vec<SettingsError>);

impl fmt::Display for SettingsErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, error) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { "\n" };
            write!(f, "{separator}{error}")?;
        }
        Ok(())
    }
}

impl Settings {
    /// Reads the settings from a directory with one file per section.
    ///
    /// # Errors
    ///
    /// Returns all errors of all files.
    pub fn load(directory: &Path) -> Result<Self, SettingsErrors> {
        Self::read(&mut |file| match std::fs::read_to_string(directory.join(file)) {
            Ok(text) => Ok(Some(text)),
            Err(error) if error.kind() == std::io::ErrorKind::NotFound => Ok(None),
            Err(error) => Err(error.to_string()),
        })
    }

    /// Reads the settings through `open`, which returns the text of a file, or `None` when the file does not exist.
    ///
    /// # Errors
    ///
    /// Returns all errors of all files.
    pub fn read(
        open: &mut dyn FnMut(&'static str) -> Result<Option<String>, String>,
    ) -> Result<Self, SettingsErrors> {
        let mut errors = Vec::new();
        let host = host::parse(&mut Section::open("host.json", true, open, &mut errors));
        let listen = listen::parse(&mut Section::open("listen.json", true, open, &mut errors));
        let platform = platform::parse(&mut Section::open("platform.json", true, open, &mut errors));
        let log = log::parse(&mut Section::open("log.json", false, open, &mut errors));
        let logging = logging::parse(&mut Section::open("logging.json", false, open, &mut errors));
        let metrics = metrics::parse(&mut Section::open("metrics.json", false, open, &mut errors));
        match (host, listen, platform) {
            (Some(host), Some(listen), Some(platform)) if errors.is_empty() => {
                Ok(Self { host, listen, platform, log, logging, metrics })
            }
            _ => Err(SettingsErrors(errors)),
        }
    }
}
