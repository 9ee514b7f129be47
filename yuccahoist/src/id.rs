//! Identifiers.
//!
//! Every identifier is a newtype, so that a worker is never passed where a host is expected. All of them print and
//! parse in the form that logs, configuration and the HTTP interface use.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use thiserror::Error;
use uuid::Uuid;

/// Longest accepted name in bytes.
pub const NAME_LIMIT: usize = 64;

/// Reason why a text is not an identifier.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ParseIdError {
    /// Name is empty.
    #[error("{kind} is empty; expected 1 to {NAME_LIMIT} characters")]
    Empty {
        /// Kind of identifier.
        kind: &'static str,
    },
    /// Name is too long.
    #[error("{kind} has {length} characters; at most {NAME_LIMIT} are allowed")]
    TooLong {
        /// Kind of identifier.
        kind: &'static str,
        /// Length found, in bytes.
        length: usize,
    },
    /// Name holds a character outside the allowed set.
    #[error("{kind} {value:?} has the character {found:?}; allowed are a-z, A-Z, 0-9, '-', '_' and '.'")]
    Character {
        /// Kind of identifier.
        kind: &'static str,
        /// Text that was given.
        value: String,
        /// First character that is not allowed.
        found: char,
    },
    /// Number or UUID does not parse.
    #[error("{kind} {value:?} is not valid; expected {expected}")]
    Format {
        /// Kind of identifier.
        kind: &'static str,
        /// Text that was given.
        value: String,
        /// Form that is expected.
        expected: &'static str,
    },
}

fn check_name(kind: &'static str, value: &str) -> Result<(), ParseIdError> {
    if value.is_empty() {
        return Err(ParseIdError::Empty { kind });
    }
    if value.len() > NAME_LIMIT {
        return Err(ParseIdError::TooLong { kind, length: value.len() });
    }
    let allowed = |c: &char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    match value.chars().find(|c| !allowed(c)) {
        Some(found) => Err(ParseIdError::Character { kind, value: value.into(), found }),
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
            /// Identifier from a checked name.
            ///
            /// # Errors
            ///
            /// Fails when the name is empty, too long, or has a character that is not allowed.
            pub fn new(name: &str) -> Result<Self, ParseIdError> {
                check_name($kind, name)?;
                Ok(Self(name.into()))
            }

            /// Name as text.
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
    /// Entry host, by its name in the settings.
    HostId,
    "host"
);
name_id!(
    /// Worker machine.
    WorkerId,
    "worker"
);
name_id!(
    /// Rack of workers; also the shard that is owned as one.
    ShardId,
    "rack"
);
name_id!(
    /// Availability zone.
    ZoneId,
    "zone"
);
name_id!(
    /// Site with a configuration overlay.
    SiteId,
    "site"
);
name_id!(
    /// Team with quotas.
    TeamId,
    "team"
);
name_id!(
    /// Service that backend servers offer.
    ServiceId,
    "service"
);
name_id!(
    /// Job, named by its submitter.
    JobId,
    "job"
);

macro_rules! number_id {
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

number_id!(
    /// Process start of a host; a fresh random number each time.
    Incarnation(u64),
    "incarnation"
);
number_id!(
    /// Position of a record in a log stream.
    Offset(u64),
    "offset"
);
number_id!(
    /// Fencing epoch: the offset of the claim that made the owner.
    Epoch(u64),
    "epoch"
);
number_id!(
    /// Sequence number of a producer's appends to one stream.
    Sequence(u64),
    "sequence number"
);
number_id!(
    /// Number of accepted configuration edits.
    Revision(u64),
    "revision"
);
number_id!(
    /// Partition of teams whose jobs have one coordinator.
    PartitionId(u16),
    "partition"
);
number_id!(
    /// Index of a task in its job.
    TaskIndex(u32),
    "task index"
);

/// Task of a job.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    /// Job of the task.
    pub job: JobId,
    /// Index in the job.
    pub index: TaskIndex,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

/// Attempt to run a task; unique over all coordinators.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Attempt {
    /// Partition epoch of the coordinator that made the attempt.
    pub epoch: Epoch,
    /// Counter within the epoch.
    pub counter: u64,
}

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.epoch, self.counter)
    }
}

/// Subject of an ownership lease.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Subject {
    /// Rack of workers.
    Shard(ShardId),
    /// Partition of teams.
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

/// Request identifier: a UUID version 7, whose time bounds how long it is remembered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestId(Uuid);

impl RequestId {
    /// Identifier with a creation time and random bits.
    #[must_use]
    pub fn from_parts(created: crate::unit::WallTime, random: [u8; 10]) -> Self {
        Self(uuid::Builder::from_unix_timestamp_millis(created.as_millis(), &random).into_uuid())
    }

    /// Creation time in the identifier.
    #[must_use]
    pub fn created(self) -> crate::unit::WallTime {
        let bytes = self.0.as_bytes();
        let millis = bytes[..6].iter().fold(0_u64, |acc, byte| (acc << 8) | u64::from(*byte));
        crate::unit::WallTime::from_millis(millis)
    }

    /// UUID form.
    #[must_use]
    pub fn as_uuid(self) -> Uuid {
        self.0
    }

    /// Identifier from its sixteen bytes.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are not a UUID version 7.
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
            value: text.chars().take(NAME_LIMIT).collect(),
            expected: "a UUID of version 7",
        })?;
        Self::try_from(uuid)
    }
}
