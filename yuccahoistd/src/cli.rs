//! Command-line arguments of the daemon.

use std::path::PathBuf;

use argh::FromArgs;

/// Entry host of a yuccahoist cell.
#[derive(Debug, FromArgs)]
pub struct Arguments {
    /// directory with the settings files host.json, listen.json, platform.json, log.json, logging.json, metrics.json
    #[argh(option)]
    pub settings: PathBuf,
    /// check the settings and exit
    #[argh(switch)]
    pub check: bool,
}
