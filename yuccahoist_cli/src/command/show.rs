//! `show`: prints the configuration in force by site, as replayed from the log, and by host, as the hosts report it.

use std::net::SocketAddr;
use std::time::Duration;

use yuccahoist::config::{ConfigFold, DocumentName};
use yuccahoist::event::HostStatus;
use yuccahoist::id::SiteId;

use crate::cli::ShowArgs;
use crate::config_log::ConfigLog;
use crate::error::CommandError;

/// Prints the sites and the given hosts; fails with the last error if a host does not answer.
pub async fn run(args: &ShowArgs) -> Result<(), CommandError> {
    let log = ConfigLog::open(args.log, args.timeout).await?;
    print_sites(log.fold());
    let mut last_error = None;
    for host in &args.host {
        match fetch_status(*host, args.timeout).await {
            Ok(status) => print_host(&status),
            Err(error) => {
                println!("host {host}: {error}");
                last_error = Some(error);
            }
        }
    }
    last_error.map_or(Ok(()), Err)
}

fn print_sites(fold: &ConfigFold) {
    let current = fold.in_force();
    println!(
        "log: revision {} at offset {}, {} open edit(s)",
        current.revision,
        current.offset,
        fold.open().len()
    );
    let base = fold.documents().get(&DocumentName::Base);
    let names = base.get("sites").and_then(|sites| sites.as_array()).into_iter().flatten();
    for name in names.filter_map(|name| name.as_str()) {
        let Ok(site) = name.parse::<SiteId>() else { continue };
        match fold.effective(&site) {
            Ok(config) => {
                println!(
                    "site {site}: revision {} at offset {}, digest {:016x}",
                    current.revision, current.offset, config.digest
                );
            }
            Err(errors) => {
                println!(
                    "site {site}: revision {} is not usable by this version: {} error(s)",
                    current.revision,
                    errors.len()
                );
            }
        }
    }
}

fn print_host(status: &HostStatus) {
    let state = if status.ready { "ready" } else { "not ready" };
    let log = if status.log { "up" } else { "down" };
    println!("host {} ({state}, log {log}) knows:", status.host);
    for host in &status.hosts {
        let suspected = if host.suspected { ", suspected" } else { "" };
        println!(
            "  host {} at site {}: revision {} at offset {}, digest {:016x}{suspected}",
            host.host, host.site, host.revision, host.offset, host.digest
        );
    }
}

async fn fetch_status(host: SocketAddr, timeout: u64) -> Result<HostStatus, CommandError> {
    let call_error = |error: &dyn std::error::Error| CommandError::Call {
        step: "read status",
        peer: host.to_string(),
        reason: error.to_string(),
    };
    let client = reqwest::Client::builder().no_proxy().timeout(Duration::from_secs(timeout)).build();
    let client = client.map_err(|error| call_error(&error))?;
    let response = client.get(format!("http://{host}/v1/status")).send().await;
    let response =
        response.and_then(reqwest::Response::error_for_status).map_err(|error| call_error(&error))?;
    response.json().await.map_err(|error| call_error(&error))
}
