//! Host list that shows changes with a delay.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use tokio::time::Instant;
use yuccahoist::systems::{CallError, HostList, HostState};

use crate::fault::FaultSwitch;

/// Name of a read of the list in errors.
const HOST_LIST_STEP: &str = "host list";

/// Visible state of a host, and its changes that are not visible yet.
#[derive(Debug, Default)]
struct Entry {
    visible_state: Option<HostState>,
    /// Changes, each with the time at which it becomes visible; `None` removes the host.
    pending_changes: Vec<(Instant, Option<HostState>)>,
}

/// Host list with a fault switch; clones share their entries.
#[derive(Debug, Clone)]
pub struct Hosts {
    entries: Arc<Mutex<BTreeMap<String, Entry>>>,
    lag: Duration,
    faults: FaultSwitch,
}

impl Hosts {
    /// Creates an empty list, in which a change becomes visible after `lag`.
    #[must_use]
    pub fn new(lag: Duration) -> Self {
        Self { entries: Arc::default(), lag, faults: FaultSwitch::default() }
    }

    fn entries(&self) -> MutexGuard<'_, BTreeMap<String, Entry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the state of a host after the lag; `None` removes the host from the list.
    pub fn set(&self, name: &str, state: Option<HostState>) {
        let change = (Instant::now() + self.lag, state);
        self.entries().entry(name.into()).or_default().pending_changes.push(change);
    }

    /// Fault switch, which applies to reads of the list.
    #[must_use]
    pub const fn faults(&self) -> &FaultSwitch {
        &self.faults
    }

    /// Returns the list as a reader sees it now, regardless of the faults.
    #[must_use]
    pub fn visible(&self) -> BTreeMap<String, HostState> {
        let now = Instant::now();
        let mut entries = self.entries();
        for entry in entries.values_mut() {
            let due_count = entry.pending_changes.iter().take_while(|(time, _)| *time <= now).count();
            if let Some((_, state)) = entry.pending_changes.drain(..due_count).next_back() {
                entry.visible_state = state;
            }
        }
        entries.iter().filter_map(|(name, entry)| Some((name.clone(), entry.visible_state?))).collect()
    }
}

#[async_trait]
impl HostList for Hosts {
    async fn hosts(&self) -> Result<BTreeMap<String, HostState>, CallError> {
        self.faults.apply_before(HOST_LIST_STEP, "hosts").await?;
        let visible = self.visible();
        self.faults.apply_after(HOST_LIST_STEP, "hosts").await?;
        Ok(visible)
    }
}
