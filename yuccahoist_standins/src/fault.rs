//! Fault switches of workers, backend servers and the host list.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use yuccahoist::systems::CallError;

/// Faults of a stand-in; all off by default. Also the JSON body of `POST /faults`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Every call fails without effect; over HTTP, its connection breaks.
    pub down: bool,
    /// Delay before each call takes effect, milliseconds.
    pub slow_ms: u64,
    /// Calls take effect, but their answers are lost.
    pub lose_answer: bool,
    /// Calls wait, before and after their effect, until the switch is off.
    pub frozen: bool,
    /// Every new task fails right after its start, and every request is answered with status 500.
    pub fail_all: bool,
    /// Commands and requests with an epoch below the highest one seen are rejected.
    pub refuse_older: bool,
}

/// Fault switch of a stand-in; clones share their state.
#[derive(Debug, Clone)]
pub struct FaultSwitch(watch::Sender<Faults>);

impl FaultSwitch {
    /// Replaces the faults, also for calls that are waiting.
    pub fn set(&self, faults: Faults) {
        self.0.send_replace(faults);
    }

    /// Returns a copy of the current faults.
    #[must_use]
    pub fn get(&self) -> Faults {
        self.0.borrow().clone()
    }

    /// Applies the faults that precede the effect of a call: `frozen`, `down` and `slow_ms`, in this order.
    ///
    /// # Errors
    ///
    /// `NotSent` for `step` and `peer` when the stand-in is down.
    pub async fn apply_before(&self, step: &'static str, peer: &str) -> Result<(), CallError> {
        let mut changes = self.0.subscribe();
        // The wait fails only when the sender is dropped, and this switch holds the sender.
        let _ = changes.wait_for(|faults| !faults.frozen).await;
        let faults = self.get();
        if faults.down {
            let reason = "stand-in is down by fault switch".into();
            return Err(CallError::NotSent { step, peer: peer.into(), reason });
        }
        if faults.slow_ms > 0 {
            tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
        }
        Ok(())
    }

    /// Applies the faults that follow the effect of a call: `frozen` and `lose_answer`, in this order.
    ///
    /// # Errors
    ///
    /// `Unknown` for `step` and `peer` when the answer is lost.
    pub async fn apply_after(&self, step: &'static str, peer: &str) -> Result<(), CallError> {
        let mut changes = self.0.subscribe();
        let _ = changes.wait_for(|faults| !faults.frozen).await;
        if self.get().lose_answer {
            let reason = "answer lost by fault switch".into();
            return Err(CallError::Unknown { step, peer: peer.into(), reason });
        }
        Ok(())
    }
}

impl Default for FaultSwitch {
    fn default() -> Self {
        Self(watch::Sender::new(Faults::default()))
    }
}
