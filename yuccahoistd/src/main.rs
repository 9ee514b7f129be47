//! Daemon of an entry host: loads the settings, binds the addresses and runs until a signal.

mod cli;

use std::process::ExitCode;
use std::sync::Arc;

use thiserror::Error;
use yuccahoist::daemon::{Daemon, HostMachine, PlatformClients, StartError};
use yuccahoist::host::{Host, HostOptions};
use yuccahoist::logging;
use yuccahoist::settings::{Settings, SettingsErrors};
use yuccahoist::systems::{CallError, HttpLog, LogTimeouts};

use self::cli::Arguments;

/// Error that ends the daemon with a non-zero exit code.
#[derive(Debug, Error)]
enum DaemonError {
    #[error("{0}")]
    Settings(#[from] SettingsErrors),
    #[error("{0}")]
    Start(#[from] StartError),
    #[error("handle signals: {0}")]
    Signal(#[from] std::io::Error),
    #[error("{0}")]
    Log(#[from] CallError),
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    match run(argh::from_env()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(arguments: Arguments) -> Result<(), DaemonError> {
    let settings = Settings::load(&arguments.settings)?;
    if arguments.check {
        return Ok(());
    }
    logging::install_stderr(&settings.logging);
    let daemon = Daemon::bind(settings)?;
    let (host, platform) = build_host(daemon.settings())?;
    let running = daemon.run(host, platform)?;
    log::info!("listening for callers at {} and peers at {}", running.api(), running.peer());
    Ok(running.until_signal().await?)
}

/// Builds the state machine of this host and its clients of the platform.
fn build_host(settings: &Settings) -> Result<(HostMachine, PlatformClients), DaemonError> {
    let host = Host::new(HostOptions::from_settings(settings));
    let timeouts = LogTimeouts {
        connect: settings.log.connect_timeout,
        append: settings.log.append_timeout,
        read: settings.log.read_timeout,
    };
    let log = HttpLog::with_timeouts(settings.platform.log, timeouts)?;
    let platform = PlatformClients::http(&settings.platform, Arc::new(log))?;
    Ok((Box::new(host), platform))
}
