//! What proves that a run is over.
//!
//! Two runs of a task must not be active at once, so its owner starts a task again only on one of these proofs. Each is in
//! a line of the log and in a metric.
//!
//! A proof holds for one incarnation of a worker. A start order that was never answered can still be executed by the next
//! incarnation under the same id, unless it has a ticket; its run stays placed until then, or its task is bound to the worker,
//! see `owner/pins.rs`.

use std::fmt;

/// Proof that a run is over, or never began.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndProof {
    /// The worker reported the end.
    Reported,
    /// The start order was not sent.
    NotSent,
    /// The worker refused the start order.
    Refused,
    /// The worker confirmed a stop order, and a later report does not list the run.
    Stopped,
    /// A report does not list a run that is no longer the current one of its task.
    Unlisted,
    /// The first report under the epoch of this owner does not list the run; the worker refuses earlier epochs since then.
    Fenced,
    /// Another incarnation answered in place of the worker.
    Replaced,
    /// The lease of the worker has expired.
    Lapsed,
}

impl EndProof {
    /// All proofs, in the order of their declaration.
    pub const ALL: [Self; 8] = [
        Self::Reported,
        Self::NotSent,
        Self::Refused,
        Self::Stopped,
        Self::Unlisted,
        Self::Fenced,
        Self::Replaced,
        Self::Lapsed,
    ];

    /// Returns the name of the proof in log lines and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Reported => "reported",
            Self::NotSent => "not_sent",
            Self::Refused => "refused",
            Self::Stopped => "stopped",
            Self::Unlisted => "unlisted",
            Self::Fenced => "fenced",
            Self::Replaced => "replaced",
            Self::Lapsed => "lapsed",
        }
    }
}

impl fmt::Display for EndProof {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Number of runs that ended, by proof.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct EndCounts([u64; EndProof::ALL.len()]);

impl EndCounts {
    /// Counts a run.
    pub const fn add(&mut self, proof: EndProof) {
        self.0[proof as usize] += 1;
    }

    /// Returns the number of runs that ended on `proof`.
    #[must_use]
    pub const fn get(&self, proof: EndProof) -> u64 {
        self.0[proof as usize]
    }
}
