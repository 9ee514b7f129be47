//! Addresses of workers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, PoisonError, RwLock};

use serde::{Deserialize, Serialize};

use crate::id::WorkerId;

/// Addresses of one worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerAddress {
    /// Backend server, for requests.
    pub backend: SocketAddr,
    /// Agent, for task commands.
    pub agent: SocketAddr,
}

/// Addresses of all workers, shared between the daemon, which updates them, and the platform clients.
#[derive(Debug, Clone, Default)]
pub struct WorkerTable(Arc<RwLock<Arc<BTreeMap<WorkerId, WorkerAddress>>>>);

impl WorkerTable {
    /// Table with these addresses.
    #[must_use]
    pub fn new(workers: BTreeMap<WorkerId, WorkerAddress>) -> Self {
        Self(Arc::new(RwLock::new(Arc::new(workers))))
    }

    /// Replaces all addresses.
    pub fn replace(&self, workers: BTreeMap<WorkerId, WorkerAddress>) {
        *self.0.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(workers);
    }

    /// Addresses of a worker, if known.
    #[must_use]
    pub fn get(&self, worker: &WorkerId) -> Option<WorkerAddress> {
        self.0.read().unwrap_or_else(PoisonError::into_inner).get(worker).copied()
    }
}
