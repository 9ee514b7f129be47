//! Assembly of one entry host.

use std::net::SocketAddr;
use std::sync::Arc;

use thiserror::Error;

use crate::duty::Duty;
use crate::event::{HostAction, HostEvent};
use crate::id::Incarnation;
use crate::platform::{BackendServer, HostList, LogService, WorkerPlatform, WorkerTable};
use crate::settings::Settings;

/// State machine of a host, which the daemon drives.
pub type HostMachine = Box<dyn Duty<Event = HostEvent, Action = HostAction> + Send>;

/// Services of the platform.
#[derive(Debug, Clone)]
pub struct Platform {
    /// Log service.
    pub log: Arc<dyn LogService>,
    /// Task side of workers.
    pub workers: Arc<dyn WorkerPlatform>,
    /// Backend servers.
    pub backends: Arc<dyn BackendServer>,
    /// Host list.
    pub hosts: Arc<dyn HostList>,
    /// Addresses of workers, which the daemon keeps up to date.
    pub table: WorkerTable,
}

/// Reason why a daemon does not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// Address cannot be bound.
    #[error("{file}: {field} is {address}; cannot listen there: {reason}")]
    Listen {
        /// Settings file.
        file: &'static str,
        /// Field.
        field: &'static str,
        /// Address.
        address: SocketAddr,
        /// Reason.
        reason: String,
    },
    /// Thread or runtime cannot be made.
    #[error("cannot start the host thread: {0}")]
    Thread(std::io::Error),
}

/// Entry host that listens but does not run yet.
#[derive(Debug)]
pub struct Daemon;

/// Entry host that runs.
#[derive(Debug)]
pub struct Running {
    api: SocketAddr,
    peer: SocketAddr,
    incarnation: Incarnation,
}

impl Daemon {
    /// Binds the listening addresses and starts a host on its own thread.
    ///
    /// # Errors
    ///
    /// Fails when an address is in use or the thread cannot be made.
    pub fn start(
        _settings: Settings,
        _host: HostMachine,
        _platform: Platform,
    ) -> Result<Running, StartError> {
        Err(StartError::Thread(std::io::Error::other("not assembled")))
    }
}

impl Running {
    /// Address for callers.
    #[must_use]
    pub const fn api(&self) -> SocketAddr {
        self.api
    }

    /// Address for peers.
    #[must_use]
    pub const fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Process start.
    #[must_use]
    pub const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Ends the host at once: connections break, nothing is released.
    pub fn kill(self) {}

    /// Stops the host gracefully: requests in progress finish, leases are released.
    pub async fn stop(self) {}
}
