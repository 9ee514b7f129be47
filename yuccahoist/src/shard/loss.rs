//! Losses of workers under the runs of a task, and what they say about the task.
//!
//! A task can crash each worker that starts it. All runs of a crashed worker are under suspicion, since the worker can't
//! say which one crashed it. A task loses its workers again and again right after its start, or alone on a worker, only
//! if it is the cause: such a task is given up. Until then it is started where it harms least, see [`Losses::probation`].

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::id::WorkerIncarnation;

/// Age below which a run counts as lost at its start.
pub const START_AGE: Duration = Duration::from_millis(300);
/// Crashes at the start of a run after which a task is given up if it was the sole suspect of one; the platform allows it
/// after two.
const MAX_START_CRASHES_SOLE: usize = 2;
/// Crashes at the start of a run after which a task is given up.
const MAX_START_CRASHES: usize = 3;
/// Crashes after which a task is given up if it was the sole suspect of two.
const MAX_CRASHES_SOLE: usize = 3;
/// Lost workers, whether or not they crashed or even started the run, after which a task is given up; the platform allows
/// two starts after the third crash.
const MAX_LOSSES: usize = 4;
/// Longest probation of a run; its worker takes no other runs until it has passed.
const MAX_PROBATION: Duration = Duration::from_secs(5);
/// Age from which a run of a long-running task clears the task: its worker was lost for another reason.
const CLEARING_AGE: Duration = Duration::from_secs(30);

/// What became of a lost worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkerFate {
    /// A later incarnation shows that the worker crashed.
    Crashed,
    /// The worker left after draining.
    Left,
    /// The worker does not answer: it crashed, or is only unreachable.
    Unknown,
}

impl fmt::Display for WorkerFate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Crashed => "crashed",
            Self::Left => "left",
            Self::Unknown => "unknown",
        })
    }
}

/// Loss of a worker under a run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loss {
    /// Worker that was lost.
    pub incarnation: WorkerIncarnation,
    /// Address of the worker; another worker there shows that this one crashed.
    pub address: String,
    /// How long the run was active.
    pub age: Duration,
    /// Whether the run had just started when the worker fell silent.
    pub at_start: bool,
    /// Whether the worker certainly started the run; the order can also have found it dead.
    pub is_started: bool,
    /// Whether no run of another job on the worker was as suspect: none was at its start, or there was none at all.
    pub is_sole: bool,
    /// Whether the worker is known to have crashed; until then it may be unreachable.
    pub is_crash: bool,
}

/// Lost workers of a task, by run number.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Losses(BTreeMap<u32, Loss>);

impl Losses {
    /// Records the loss of a worker under run `run`. A run of a long-running task that had been active for long clears the
    /// task instead.
    pub fn record(&mut self, run: u32, loss: Loss, long_running: bool) {
        if long_running && loss.age >= CLEARING_AGE {
            self.0.clear();
            return;
        }
        let is_crash = loss.is_crash;
        self.0.entry(run).or_insert(loss).is_crash |= is_crash;
    }

    /// Records that the worker of a lost run has crashed.
    pub fn confirm(&mut self, run: u32) {
        if let Some(loss) = self.0.get_mut(&run) {
            loss.is_crash = true;
        }
    }

    /// Removes the loss of a worker that answers again; returns whether there was one.
    pub fn withdraw(&mut self, run: u32) -> bool {
        self.0.remove(&run).is_some()
    }

    /// Returns the losses by run number.
    pub fn iter(&self) -> impl Iterator<Item = (u32, &Loss)> {
        self.0.iter().map(|(run, loss)| (*run, loss))
    }

    /// Whether a lost worker may still be unreachable only.
    #[must_use]
    pub fn has_unresolved(&self) -> bool {
        self.0.values().any(|loss| !loss.is_crash)
    }

    /// Whether the task is to be given up, because it crashes its workers.
    #[must_use]
    pub fn is_conclusive(&self) -> bool {
        let crashes = || self.0.values().filter(|loss| loss.is_crash && loss.is_started);
        let at_start = crashes().filter(|loss| loss.at_start).count();
        let sole = crashes().filter(|loss| loss.is_sole).count();
        (at_start >= MAX_START_CRASHES_SOLE && crashes().any(|loss| loss.at_start && loss.is_sole))
            || at_start >= MAX_START_CRASHES
            || (crashes().count() >= MAX_CRASHES_SOLE && sole > 1)
            || self.0.len() >= MAX_LOSSES
    }

    /// Whether the next run may crash its worker at its start, as the last one may have done.
    #[must_use]
    pub fn may_crash_at_start(&self) -> bool {
        self.0.last_key_value().is_some_and(|(_, loss)| loss.at_start)
    }

    /// Returns how long the next run of the task has to be active until other runs may start beside it; `None` for a task
    /// that is not under suspicion.
    #[must_use]
    pub fn probation(&self) -> Option<Duration> {
        let longest = self.0.values().map(|loss| loss.age).max()?;
        let suspect = self.0.len() > 1 || self.0.values().any(|loss| loss.at_start);
        suspect.then(|| (longest + START_AGE).min(MAX_PROBATION))
    }
}
