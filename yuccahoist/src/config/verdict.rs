//! Schedules the verdicts that this host appends.
//!
//! The holder of the lease on partition 0 appends a verdict at once. The other hosts wait, and append one only if the
//! holder has not, so that usually each edit gets one verdict.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{Rng, RngExt};

use super::ConfigEffect;
use crate::id::Offset;
use crate::state_machine::StateMachine;
use crate::unit::Timestamp;

/// Delay before a host without the lease decides, to give the lease holder time to do so.
pub const VERDICT_DELAY: Duration = Duration::from_millis(500);
/// Upper bound of the random addition to [`VERDICT_DELAY`], so that hosts do not append at the same time.
pub const MAX_VERDICT_JITTER: Duration = Duration::from_millis(500);

/// Input of the verdict duty.
#[derive(Debug, Clone)]
pub enum VerdictEvent {
    /// State change by a record of the `config` stream.
    Effect(ConfigEffect),
    /// The reader has reached the end of the `config` stream.
    CaughtUp,
    /// This host acquired (`true`) or lost (`false`) the lease on partition 0.
    LeaseChanged(bool),
    /// The append of a verdict failed.
    Failed {
        /// Offset of the edit.
        edit: Offset,
    },
    /// Periodic wake-up that lets delayed verdicts start.
    Tick,
}

/// Output of the verdict duty.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum VerdictAction {
    /// Appends the verdict that [`super::ConfigFold::evaluate_edit`] returns for the edit.
    AppendVerdict {
        /// Offset of the edit.
        edit: Offset,
    },
}

/// Edit without a verdict.
#[derive(Debug, Clone, Copy)]
struct OpenEdit {
    /// Time at which this host decides if no other host has.
    due: Timestamp,
    /// Time at which this host decides as the lease holder: at once, or after a delay if an append failed.
    holder_due: Timestamp,
    /// Whether the reader has reached the end of the stream since, so that a verdict in the log would have been read.
    is_current: bool,
    /// Whether a verdict has been requested and has not failed.
    is_requested: bool,
}

/// State machine that decides when this host appends a verdict.
#[derive(Debug, Default)]
pub struct Verdicts {
    is_holder: bool,
    open: BTreeMap<Offset, OpenEdit>,
}

impl Verdicts {
    /// Creates the duty for a host that does not hold the lease.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    fn apply_effect(&mut self, now: Timestamp, effect: &ConfigEffect, rng: &mut dyn Rng) {
        match effect {
            ConfigEffect::Opened { edit } => {
                let open = OpenEdit {
                    due: delayed_due(now, rng),
                    holder_due: now,
                    is_current: false,
                    is_requested: false,
                };
                self.open.insert(*edit, open);
            }
            ConfigEffect::Decided { edit, .. } => {
                self.open.remove(edit);
            }
            ConfigEffect::Restored => self.open.clear(),
            ConfigEffect::InForce(_) => {}
        }
    }

    fn decide_due_edits(&mut self, now: Timestamp, out: &mut Vec<VerdictAction>) {
        for (edit, open) in &mut self.open {
            let is_due = now >= open.due || (self.is_holder && now >= open.holder_due);
            if is_due && open.is_current && !open.is_requested {
                open.is_requested = true;
                out.push(VerdictAction::AppendVerdict { edit: *edit });
            }
        }
    }
}

/// Returns the time at which a host without the lease decides.
fn delayed_due(now: Timestamp, rng: &mut dyn Rng) -> Timestamp {
    now + VERDICT_DELAY + MAX_VERDICT_JITTER.mul_f64(rng.random::<f64>())
}

impl StateMachine for Verdicts {
    type Event = VerdictEvent;
    type Action = VerdictAction;

    fn handle(
        &mut self,
        now: Timestamp,
        event: VerdictEvent,
        rng: &mut dyn Rng,
        out: &mut Vec<VerdictAction>,
    ) {
        match event {
            VerdictEvent::Effect(effect) => self.apply_effect(now, &effect, rng),
            VerdictEvent::CaughtUp => self.open.values_mut().for_each(|open| open.is_current = true),
            VerdictEvent::LeaseChanged(is_holder) => self.is_holder = is_holder,
            VerdictEvent::Failed { edit } => {
                if let Some(open) = self.open.get_mut(&edit) {
                    // The holder backs off too; otherwise it would append in a loop while the log rejects appends.
                    let due = delayed_due(now, rng);
                    *open =
                        OpenEdit { due, holder_due: due, is_current: open.is_current, is_requested: false };
                }
            }
            VerdictEvent::Tick => {}
        }
        self.decide_due_edits(now, out);
    }
}
