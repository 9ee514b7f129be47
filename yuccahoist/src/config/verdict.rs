//! When this host appends a verdict.
//!
//! The holder of the lease on partition 0 decides at once. The other hosts wait, so that usually one verdict is
//! appended per edit, and decide only if the holder does not.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{Rng, RngExt};

use super::ConfigEffect;
use crate::duty::Duty;
use crate::id::Offset;
use crate::unit::Timestamp;

/// Time that hosts without the lease leave to its holder.
pub const VERDICT_WAIT: Duration = Duration::from_millis(500);
/// Longest random addition, which keeps the hosts from appending all at once.
pub const VERDICT_SPREAD: Duration = Duration::from_millis(500);

/// What the verdict duty reacts to.
#[derive(Debug, Clone)]
pub enum VerdictEvent {
    /// Effect of a record of the `config` stream.
    Effect(ConfigEffect),
    /// Reader has reached the end of the `config` stream.
    CaughtUp,
    /// This host holds, or lost, the lease on partition 0.
    Holder(bool),
    /// Append of a verdict failed.
    Failed {
        /// Offset of the edit.
        edit: Offset,
    },
    /// Time passed.
    Tick,
}

/// What the verdict duty asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum VerdictAction {
    /// Append the verdict that [`super::ConfigFold::judge`] gives on this edit.
    Decide {
        /// Offset of the edit.
        edit: Offset,
    },
}

/// Open edit.
#[derive(Debug, Clone, Copy)]
struct Open {
    /// Time at which this host decides if nobody did.
    due: Timestamp,
    /// Time from which this host decides as the holder; later than the edit only after a failed append.
    holder_due: Timestamp,
    /// Whether the reader has reached the end since, so that a verdict in the log would have been read.
    current: bool,
    /// Whether an append is under way.
    asked: bool,
}

/// Decides when this host appends a verdict.
#[derive(Debug, Default)]
pub struct Verdicts {
    holder: bool,
    open: BTreeMap<Offset, Open>,
}

impl Verdicts {
    /// Duty of a host that does not hold the lease.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    fn effect(&mut self, now: Timestamp, effect: &ConfigEffect, rng: &mut dyn Rng) {
        match effect {
            ConfigEffect::Opened { edit } => {
                let open = Open { due: due(now, rng), holder_due: now, current: false, asked: false };
                self.open.insert(*edit, open);
            }
            ConfigEffect::Decided { edit, .. } => {
                self.open.remove(edit);
            }
            ConfigEffect::Restored => self.open.clear(),
            ConfigEffect::InForce(_) => {}
        }
    }

    fn decide(&mut self, now: Timestamp, out: &mut Vec<VerdictAction>) {
        for (edit, open) in &mut self.open {
            let due = now >= open.due || (self.holder && now >= open.holder_due);
            if due && open.current && !open.asked {
                open.asked = true;
                out.push(VerdictAction::Decide { edit: *edit });
            }
        }
    }
}

fn due(now: Timestamp, rng: &mut dyn Rng) -> Timestamp {
    now + VERDICT_WAIT + VERDICT_SPREAD.mul_f64(rng.random::<f64>())
}

impl Duty for Verdicts {
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
            VerdictEvent::Effect(effect) => self.effect(now, &effect, rng),
            VerdictEvent::CaughtUp => self.open.values_mut().for_each(|open| open.current = true),
            VerdictEvent::Holder(holder) => self.holder = holder,
            VerdictEvent::Failed { edit } => {
                if let Some(open) = self.open.get_mut(&edit) {
                    // The holder also waits here, or it would append in a loop while the log refuses.
                    let due = due(now, rng);
                    *open = Open { due, holder_due: due, current: open.current, asked: false };
                }
            }
            VerdictEvent::Tick => {}
        }
        self.decide(now, out);
    }
}
