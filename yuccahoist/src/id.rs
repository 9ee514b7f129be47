//! Identifier types.
//!
//! Every identifier is a newtype, so that for example a worker cannot be passed where a host is expected. Their
//! `Display` and `FromStr` use the text form of logs, configuration and the HTTP interface.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use thiserror::Error;
use uuid::Uuid;

/// Maximum length of a name, bytes; also its maximum in characters, since only ASCII is allowed.
pub const MAX_NAME_BYTES: usize = 64;

/// Error of parsing an identifier.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ParseIdError {
    /// Name without characters.
    #[error("{kind} is empty; expected 1 to {MAX_NAME_BYTES} characters")]
    Empty {
        /// Kind of identifier as the message names it, such as `host`.
        kind: &'static str,
    },
    /// Name longer than [`MAX_NAME_BYTES`].
    #[error("{kind} has {length} characters; at most {MAX_NAME_BYTES} are allowed")]
    TooLong {
        /// Kind of identifier as the message names it, such as `host`.
        kind: &'static str,
        /// Length of the name, bytes.
        length: usize,
    },
    /// Name with a character outside the allowed set.
    #[error("{kind} {value:?} has the character {found:?}; allowed are a-z, A-Z, 0-9, '-', '_' and '.'")]
    InvalidCharacter {
        /// Kind of identifier as the message names it, such as `host`.
        kind: &'static str,
        /// Text that failed to parse.
        value: String,
        /// First disallowed character.
        found: char,
    },
    /// Number or UUID that is malformed.
    #[error("{kind} {value:?} is not valid; expected {expected}")]
    Format {
        /// Kind of identifier as the message names it, such as `host`.
        kind: &'static str,
        /// Text that failed to parse.
        value: String,
        /// Description of the expected form.
        expected: &'static str,
    },
}

fn check_name(kind: &'static str, value: &str) -> Result<(), ParseIdError> {
    if value.is_empty() {
        return Err(ParseIdError::Empty { kind });
    }
    if value.len() > MAX_NAME_BYTES {
        return Err(ParseIdError::TooLong { kind, length: value.len() });
    }
    let is_allowed = |c: &char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    match value.chars().find(|c| !is_allowed(c)) {
        Some(found) => Err(ParseIdError::InvalidCharacter { kind, value: value.into(), found }),
        None => Ok(()),
    }
}

macro_rules! name_id {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(std::sync::Arc<str>);

        impl $name {
            /// Validates a name and creates the identifier.
            ///
            /// # Errors
            ///
            /// Fails when the name is empty, longer than [`MAX_NAME_BYTES`], or has a disallowed character.
            pub fn new(name: &str) -> Result<Self, ParseIdError> {
                check_name($kind, name)?;
                Ok(Self(name.into()))
            }

            /// Returns the name.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(self, f)
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                Self::new(text)
            }
        }

        impl TryFrom<String> for $name {
            type Error = ParseIdError;

            fn try_from(text: String) -> Result<Self, Self::Error> {
                Self::new(&text)
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> Self {
                id.0.to_string()
            }
        }
    };
}

name_id!(
    /// Entry host, by the name in its `host.json`.
    HostId,
    "host"
);
name_id!(
    /// Worker, a machine that runs tasks and backend servers.
    WorkerId,
    "worker"
);
name_id!(
    /// Rack of workers, which is also the shard that one host owns.
    ShardId,
    "rack"
);
name_id!(
    /// Availability zone of hosts and workers.
    ZoneId,
    "zone"
);
name_id!(
    /// Site with a configuration overlay.
    SiteId,
    "site"
);
name_id!(
    /// Team whose quotas and limits requests and jobs are charged to.
    TeamId,
    "team"
);
name_id!(
    /// Service that backend servers provide.
    ServiceId,
    "service"
);
name_id!(
    /// Job, by the name that its submitter chose.
    JobId,
    "job"
);

macro_rules! numeric_id {
    ($(#[$doc:meta])* $name:ident($inner:ty), $kind:literal) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse().map(Self).map_err(|_| ParseIdError::Format {
                    kind: $kind,
                    value: text.into(),
                    expected: "a whole number",
                })
            }
        }
    };
}

numeric_id!(
    /// Incarnation of a host process, a random number drawn at each start.
    Incarnation(u64),
    "incarnation"
);
numeric_id!(
    /// Position of a record in a log stream.
    Offset(u64),
    "offset"
);
numeric_id!(
    /// Fencing epoch of an owner: the log offset of the claim that granted the ownership.
    Epoch(u64),
    "epoch"
);
numeric_id!(
    /// Sequence number of a producer's appends to one stream.
    Sequence(u64),
    "sequence number"
);
numeric_id!(
    /// Configuration revision: the number of accepted edits.
    Revision(u64),
    "revision"
);
numeric_id!(
    /// Partition of teams; one coordinator schedules the jobs of a partition.
    PartitionId(u16),
    "partition"
);
numeric_id!(
    /// Index of a task within its job.
    TaskIndex(u32),
    "task index"
);

/// Identifier of a task, displayed as `job/index`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    /// Job that the task belongs to.
    pub job: JobId,
    /// Index of the task within the job.
    pub index: TaskIndex,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

/// Identifier of an attempt to run a task, unique across coordinators; displayed as `epoch.counter`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Attempt {
    /// Partition epoch of the coordinator that started the attempt.
    pub epoch: Epoch,
    /// Number of the attempt within the epoch.
    pub counter: u64,
}

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.epoch, self.counter)
    }
}

/// Resource that an ownership lease covers.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Subject {
    /// Shard, whose owner dispatches to and places tasks on its workers.
    Shard(ShardId),
    /// Partition, whose owner coordinates the jobs of its teams.
    Partition(PartitionId),
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Shard(id) => write!(f, "shard {id}"),
            Self::Partition(id) => write!(f, "partition {id}"),
        }
    }
}

/// Request identifier, a version 7 UUID. Its creation time limits how long duplicates of it must be detected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestId(Uuid);

impl RequestId {
    /// Creates an identifier from a creation time and random bytes.
    #[must_use]
    pub fn from_parts(created: crate::unit::WallTime, random: [u8; 10]) -> Self {
        Self(uuid::Builder::from_unix_timestamp_millis(created.as_millis(), &random).into_uuid())
    }

    /// Returns the creation time, with millisecond resolution.
    #[must_use]
    pub fn created(self) -> crate::unit::WallTime {
        let bytes = self.0.as_bytes();
        let millis = bytes[..6].iter().fold(0_u64, |acc, byte| (acc << 8) | u64::from(*byte));
        crate::unit::WallTime::from_millis(millis)
    }

    /// Returns the identifier as a UUID.
    #[must_use]
    pub fn as_uuid(self) -> Uuid {
        self.0
    }

    /// Creates an identifier from the sixteen bytes of a UUID.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are not a version 7 UUID.
    pub fn from_bytes(bytes: [u8; 16]) -> Result<Self, ParseIdError> {
        Self::try_from(Uuid::from_bytes(bytes))
    }
}

impl TryFrom<Uuid> for RequestId {
    type Error = ParseIdError;

    fn try_from(uuid: Uuid) -> Result<Self, Self::Error> {
        if uuid.get_version_num() == 7 {
            return Ok(Self(uuid));
        }
        Err(ParseIdError::Format {
            kind: "request id",
            value: uuid.to_string(),
            expected: "a UUID of version 7",
        })
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for RequestId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let uuid = Uuid::try_parse(text).map_err(|_| ParseIdError::Format {
            kind: "request id",
            value: text.chars().take(MAX_NAME_BYTES).collect(),
            expected: "a UUID of version 7",
        })?;
        Self::try_from(uuid)
    }
}
