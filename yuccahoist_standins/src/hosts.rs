//! List of hosts that lags behind their true state.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use tokio::time::Instant;
use yuccahoist::systems::{CallError, HostList, HostState};

use crate::fault::FaultSwitch;

const STEP: &str = "host list";

/// States of one host: what is shown, and what will be shown from a time on.
#[derive(Debug, Default)]
struct Entry {
    shown: Option<HostState>,
    changes: Vec<(Instant, Option<HostState>)>,
}

/// Host list.
#[derive(Debug, Clone)]
pub struct Hosts {
    entries: Arc<Mutex<BTreeMap<String, Entry>>>,
    lag: Duration,
    faults: FaultSwitch,
}

impl Hosts {
    /// Empty list that shows changes after `lag`.
    #[must_use]
    pub fn new(lag: Duration) -> Self {
        Self { entries: Arc::default(), lag, faults: FaultSwitch::default() }
    }

    fn entries(&self) -> MutexGuard<'_, BTreeMap<String, Entry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the state of a host; none takes it off the list.
    pub fn set(&self, name: &str, state: Option<HostState>) {
        let change = (Instant::now() + self.lag, state);
        self.entries().entry(name.into()).or_default().changes.push(change);
    }

    /// Fault switch.
    #[must_use]
    pub const fn faults(&self) -> &FaultSwitch {
        &self.faults
    }

    /// List as it is shown now.
    #[must_use]
    pub fn shown(&self) -> BTreeMap<String, HostState> {
        let now = Instant::now();
        let mut entries = self.entries();
        for entry in entries.values_mut() {
            let due = entry.changes.iter().take_while(|(time, _)| *time <= now).count();
            if let Some((_, state)) = entry.changes.drain(..due).next_back() {
                entry.shown = state;
            }
        }
        entries.iter().filter_map(|(name, entry)| Some((name.clone(), entry.shown?))).collect()
    }
}

#[async_trait]
impl HostList for Hosts {
    async fn hosts(&self) -> Result<BTreeMap<String, HostState>, CallError> {
        self.faults.before(STEP, "hosts").await?;
        let shown = self.shown();
        self.faults.after(STEP, "hosts").await?;
        Ok(shown)
    }
}
