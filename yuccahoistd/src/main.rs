//! Entry host daemon.

mod cli;

use std::process::ExitCode;

use thiserror::Error;
use yuccahoist::daemon::{Daemon, HostMachine, Platform, StartError};
use yuccahoist::logging;
use yuccahoist::settings::{Settings, SettingsErrors};

use self::cli::Arguments;

/// Reason why the daemon ends with an error.
#[derive(Debug, Error)]
enum Failure {
    #[error("{0}")]
    Settings(#[from] SettingsErrors),
    #[error("{0}")]
    Start(#[from] StartError),
    #[error("handling signals failed: {0}")]
    Signal(#[from] std::io::Error),
    #[error("this build has no host state machine and no log client")]
    NotAssembled,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    match run(argh::from_env()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("{failure}");
            ExitCode::FAILURE
        }
    }
}

async fn run(arguments: Arguments) -> Result<(), Failure> {
    let settings = Settings::load(&arguments.settings)?;
    if arguments.check {
        return Ok(());
    }
    logging::install(&settings.logging);
    let daemon = Daemon::bind(settings)?;
    let (host, platform) = assemble(daemon.settings())?;
    let running = daemon.run(host, platform)?;
    log::info!("callers at {}, peers at {}", running.api(), running.peer());
    Ok(running.until_signal().await?)
}

/// State machine and platform of this host.
fn assemble(_: &Settings) -> Result<(HostMachine, Platform), Failure> {
    Err(Failure::NotAssembled)
}
