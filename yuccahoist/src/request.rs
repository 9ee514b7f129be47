//! Requests and their outcomes, as the front and the dispatch duties see them.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::id::{RequestId, ServiceId, TeamId};
use crate::unit::{ParseUnitError, Timestamp};

/// Class of a request, from the one that must not wait to the one that may.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Must not wait.
    Urgent,
    /// May wait a while.
    Batch,
    /// May wait but must finish.
    Heavy,
}

impl Class {
    /// All classes, most urgent first.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Batch, Self::Heavy];

    /// Name in headers, configuration and logs.
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

/// Request of a caller, checked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Caller's identifier of the request.
    pub id: RequestId,
    /// Service that is called.
    pub service: ServiceId,
    /// Class.
    pub class: Class,
    /// Team that is charged.
    pub team: TeamId,
    /// Whether running it twice has the effect of running it once.
    pub idempotent: bool,
    /// Latest time of the answer, on the local clock.
    pub deadline: Timestamp,
    /// Body, passed on unchanged.
    pub body: Bytes,
}

/// Whole answer of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status of the backend server.
    pub status: u16,
    /// Body, passed back unchanged.
    pub body: Bytes,
}

/// Final outcome of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// Backend server answered.
    Answered(Answer),
    /// Provably did not run and will not run.
    NotRun(Refusal),
    /// May have run.
    Unknown(Doubt),
}

impl Outcome {
    /// Name in the `yuccahoist-outcome` header.
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
    /// Queue of the class is full, or the expected wait exceeds the deadline.
    Overloaded {
        /// Time after which a retry has a chance.
        retry: Duration,
    },
    /// Team has reached its limit.
    TeamLimit {
        /// Time after which a retry has a chance.
        retry: Duration,
    },
    /// Deadline passed before dispatch.
    Expired,
    /// Identifier is older than the id window.
    IdTooOld,
    /// Identifier lies in the future beyond the allowed clock skew.
    IdInFuture,
    /// Identifier is known with a different body.
    IdReused,
    /// Log is unavailable and the request is not idempotent.
    LogUnavailable,
    /// Append budget of this host is used up.
    IntentBudget {
        /// Time after which a retry has a chance.
        retry: Duration,
    },
    /// No owner of a suitable worker is known.
    NoOwner,
    /// Owner does not hold the lease that the request was routed by.
    NotOwner,
    /// Service is not in the configuration.
    UnknownService,
    /// Team is not in the configuration.
    UnknownTeam,
    /// Host is stopping and accepts nothing new.
    Stopping,
    /// No configuration is in force yet.
    NotReady,
}

/// Reason why it is not known whether a request ran.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Doubt {
    /// Deadline passed after dispatch.
    DeadlineAfterDispatch,
    /// Connection to the backend server broke after dispatch.
    BackendLost,
    /// Owner was lost after the request was forwarded.
    OwnerLost,
    /// Earlier request with the same identifier may have run, and its answer is not available.
    Duplicate,
}
