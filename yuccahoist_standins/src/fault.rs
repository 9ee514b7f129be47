//! Fault switches.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use yuccahoist::systems::CallError;

/// Faults that are switched on.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Takes no calls; by HTTP, breaks the connection of each call.
    pub down: bool,
    /// Delay before each call takes effect, milliseconds.
    pub slow_ms: u64,
    /// Gives no answer after the effect.
    pub lose_answer: bool,
    /// Calls wait until the switch is off.
    pub frozen: bool,
    /// Every task fails right after its start, and every request is answered with status 500.
    pub fail_all: bool,
    /// Commands and requests of an epoch older than one seen before are refused.
    pub refuse_older: bool,
}

/// Switch that is shared by all users of a stand-in.
#[derive(Debug, Clone)]
pub struct FaultSwitch(watch::Sender<Faults>);

impl FaultSwitch {
    /// Replaces the faults.
    pub fn set(&self, faults: Faults) {
        self.0.send_replace(faults);
    }

    /// Current faults.
    #[must_use]
    pub fn get(&self) -> Faults {
        self.0.borrow().clone()
    }

    /// Applies the faults that come before the effect.
    ///
    /// # Errors
    ///
    /// `NotSent` when the stand-in is down.
    pub async fn before(&self, step: &'static str, peer: &str) -> Result<(), CallError> {
        let mut changes = self.0.subscribe();
        // The sender lives as long as this switch, so waiting cannot fail.
        let _ = changes.wait_for(|faults| !faults.frozen).await;
        let faults = self.get();
        if faults.down {
            let reason = "the stand-in is down".into();
            return Err(CallError::NotSent { step, peer: peer.into(), reason });
        }
        if faults.slow_ms > 0 {
            tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
        }
        Ok(())
    }

    /// Applies the faults that come after the effect.
    ///
    /// # Errors
    ///
    /// `Unknown` when the answer is lost.
    pub async fn after(&self, step: &'static str, peer: &str) -> Result<(), CallError> {
        let mut changes = self.0.subscribe();
        let _ = changes.wait_for(|faults| !faults.frozen).await;
        if self.get().lose_answer {
            let reason = "the answer is lost".into();
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
