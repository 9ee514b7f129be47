//! Runs a stand-in for the platform as a process.

use std::net::SocketAddr;
use std::time::Duration;

use argh::FromArgs;
use tokio::net::TcpListener;
use yuccahoist::id::WorkerId;
use yuccahoist_standins::backend::Backends;
use yuccahoist_standins::hosts::Hosts;
use yuccahoist_standins::log::{LogServer, MemoryLog};
use yuccahoist_standins::serve;
use yuccahoist_standins::worker::Workers;

/// Runs a stand-in for the platform until the process ends.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Workers(WorkersCommand),
    Hosts(HostsCommand),
    Log(LogCommand),
}

/// Log service, in memory.
#[derive(FromArgs)]
#[argh(subcommand, name = "log")]
struct LogCommand {
    /// listening address
    #[argh(option)]
    listen: SocketAddr,
}

/// Workers with their backend servers, on one port each.
#[derive(FromArgs)]
#[argh(subcommand, name = "workers")]
struct WorkersCommand {
    /// listening address of the first worker; each further worker listens on the next port
    #[argh(option)]
    listen: SocketAddr,
    /// names of the workers, separated by commas
    #[argh(option)]
    names: String,
}

/// Host list, which shows changes with a delay.
#[derive(FromArgs)]
#[argh(subcommand, name = "hosts")]
struct HostsCommand {
    /// listening address
    #[argh(option)]
    listen: SocketAddr,
    /// delay before a change becomes visible, milliseconds
    #[argh(option, default = "1000")]
    lag_ms: u64,
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    match argh::from_env::<Arguments>().command {
        Command::Workers(command) => run_workers(command).await,
        Command::Log(command) => {
            let _server = LogServer::bind(command.listen, MemoryLog::new()).await?;
            std::future::pending().await
        }
        Command::Hosts(command) => {
            let listener = TcpListener::bind(command.listen).await?;
            serve::hosts(listener, Hosts::new(Duration::from_millis(command.lag_ms))).await;
            Ok(())
        }
    }
}

async fn run_workers(command: WorkersCommand) -> Result<(), Box<dyn std::error::Error>> {
    let names: Vec<WorkerId> = command.names.split(',').map(str::parse).collect::<Result<_, _>>()?;
    let backends = Backends::new(names.iter().cloned());
    let workers = Workers::new(names.iter().cloned());
    let mut tasks = tokio::task::JoinSet::new();
    for (index, name) in (0..).zip(names) {
        let mut address = command.listen;
        address.set_port(address.port().checked_add(index).ok_or("port of the last worker exceeds 65535")?);
        let listener = TcpListener::bind(address).await?;
        tasks.spawn(serve::worker(listener, name, backends.clone(), workers.clone()));
    }
    tasks.join_all().await;
    Ok(())
}
