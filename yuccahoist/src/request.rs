//! Requests and their outcomes, shared by the front and dispatch duties.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::id::{RequestId, ServiceId, TeamId};
use crate::unit::{ParseUnitError, Timestamp};

/// Priority class of a request, in order of decreasing urgency.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Latency-sensitive request, which must not wait.
    Urgent,
    /// Request that may wait for a while.
    Batch,
    /// Request that may wait for long, but must finish.
    Heavy,
}

impl Class {
    /// All classes in order of decreasing urgency; the index is the discriminant.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Batch, Self::Heavy];

    /// Returns the name that headers, configuration and logs use.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Urgent => "urgent",
            Self::Batch => "batch",
            Self::Heavy => "heavy",
        }
    }
}

impl fmt::Display for Class {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Class {
    type Err = ParseUnitError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::ALL.into_iter().find(|class| class.as_str() == text).ok_or_else(|| ParseUnitError {
            kind: "class",
            value: text.chars().take(64).collect(),
            expected: "urgent, batch or heavy",
        })
    }
}

/// Validated request of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Request id, chosen by the caller.
    pub id: RequestId,
    /// Requested service.
    pub service: ServiceId,
    /// Priority class, which selects queue, guaranteed slots and run limit.
    pub class: Class,
    /// Team to which the request is charged; its weight and queue share apply.
    pub team: TeamId,
    /// Whether a second run has no further effect, so that the request may be retried.
    pub idempotent: bool,
    /// Time by which the caller must be answered, on the local clock.
    pub deadline: Timestamp,
    /// Body, forwarded unchanged.
    pub body: Bytes,
}

/// Complete answer of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status code of the backend server.
    pub status: u16,
    /// Body, returned unchanged.
    pub body: Bytes,
}

/// Final outcome of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The backend server answered.
    Answered(Answer),
    /// The request provably did not run and will not run.
    NotRun(Refusal),
    /// The request may have run.
    Unknown(UnknownReason),
}

impl Outcome {
    /// Returns the value of the `yuccahoist-outcome` header.
    #[must_use]
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::NotRun(_) => "not-run",
            Self::Unknown(_) => "unknown",
        }
    }
}

/// Reason why a request did not run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// The queue of the class is full, or the expected wait exceeds the deadline.
    Overloaded {
        /// Delay after which a retry may succeed.
        retry: Duration,
    },
    /// The queue is full and the team has used its share of it.
    TeamLimit {
        /// Delay after which a retry may succeed.
        retry: Duration,
    },
    /// The deadline passed before dispatch.
    Expired,
    /// The request id is older than the id window.
    IdTooOld,
    /// The request id is further in the future than the allowed clock skew.
    IdInFuture,
    /// The request id is in use for a different request.
    IdReused,
    /// The log is unavailable and the request is not idempotent.
    LogUnavailable,
    /// The append budget of this host is exhausted.
    IntentBudget {
        /// Delay after which a retry may succeed.
        retry: Duration,
    },
    /// No owner with a suitable worker is known or reachable.
    NoOwner,
    /// The host that got the request holds no valid lease on the shard.
    NotOwner,
    /// The service is not in the configuration.
    UnknownService,
    /// The team is not in the configuration.
    UnknownTeam,
    /// The host is stopping and accepts no new requests.
    Stopping,
    /// No configuration is in force yet.
    NotReady,
}

/// Reason why it is unknown whether a request ran.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum UnknownReason {
    /// The deadline passed after the request was forwarded.
    DeadlineAfterDispatch,
    /// The connection to the backend server broke after dispatch.
    BackendLost,
    /// The owner failed or became unreachable after the request was forwarded.
    OwnerLost,
    /// An earlier request with the same id may have run, and its answer is not available.
    Duplicate,
}
