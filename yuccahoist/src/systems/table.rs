//! Address table of the workers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, PoisonError, RwLock};

use serde::{Deserialize, Serialize};

use crate::id::WorkerId;

/// Network addresses of one worker; the two may be equal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerAddress {
    /// Address of the backend server, which runs requests.
    pub backend: SocketAddr,
    /// Address of the agent, which executes task commands.
    pub agent: SocketAddr,
}

/// Addresses of all workers. The daemon updates the table; the platform clients hold clones of it.
#[derive(Debug, Clone, Default)]
pub struct WorkerTable(Arc<RwLock<Arc<BTreeMap<WorkerId, WorkerAddress>>>>);

impl WorkerTable {
    /// Creates a table from the addresses by worker.
    #[must_use]
    pub fn new(workers: BTreeMap<WorkerId, WorkerAddress>) -> Self {
        Self(Arc::new(RwLock::new(Arc::new(workers))))
    }

    /// Replaces all addresses at once, in every clone of the table.
    pub fn replace(&self, workers: BTreeMap<WorkerId, WorkerAddress>) {
        *self.0.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(workers);
    }

    /// Returns the addresses of a worker, or `None` if the table does not list it.
    #[must_use]
    pub fn get(&self, worker: &WorkerId) -> Option<WorkerAddress> {
        self.0.read().unwrap_or_else(PoisonError::into_inner).get(worker).copied()
    }
}
