//! Settings of the daemon: a directory with one JSON file per section.
//!
//! | file | content | required |
//! | --- | --- | --- |
//! | `host.json` | name, zone, site, threads | yes |
//! | `listen.json` | addresses for callers and peers, limits of the caller interface | yes |
//! | `platform.json` | addresses of the log service and the host list, time limits | yes |
//! | `log.json` | timing of the log stream client | no |
//! | `logging.json` | level and form of log lines | no |
//! | `metrics.json` | statsd address | no |
//!
//! All errors of all files are reported at once.

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
    /// Identity and threads.
    pub host: HostSettings,
    /// Listening addresses and limits of the caller interface.
    pub listen: ListenSettings,
    /// Addresses of the platform and time limits.
    pub platform: PlatformSettings,
    /// Timing of the log stream client.
    pub log: LogSettings,
    /// Level and form of log lines.
    pub logging: LoggingSettings,
    /// Receiver of metrics.
    pub metrics: MetricsSettings,
}

/// One thing that is wrong in the settings.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{file}: {field} is {value}; allowed: {allowed}")]
pub struct SettingsError {
    /// File.
    pub file: String,
    /// Field, or `file` for the file as a whole.
    pub field: String,
    /// Value found.
    pub value: String,
    /// What is allowed.
    pub allowed: String,
}

/// Everything that is wrong in the settings, one line each.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub struct SettingsErrors(pub Vec<SettingsError>);

impl fmt::Display for SettingsErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, error) in self.0.iter().enumerate() {
            let end = if index == 0 { "" } else { "\n" };
            write!(f, "{end}{error}")?;
        }
        Ok(())
    }
}

impl Settings {
    /// Reads a directory with one file per section.
    ///
    /// # Errors
    ///
    /// Lists every error of every file.
    pub fn load(directory: &Path) -> Result<Self, SettingsErrors> {
        Self::read(&mut |file| match std::fs::read_to_string(directory.join(file)) {
            Ok(text) => Ok(Some(text)),
            Err(error) if error.kind() == std::io::ErrorKind::NotFound => Ok(None),
            Err(error) => Err(error.to_string()),
        })
    }

    /// Reads sections through `open`, which gives the text of a file, or none when it does not exist.
    ///
    /// # Errors
    ///
    /// Lists every error of every file.
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
