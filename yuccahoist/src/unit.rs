//! Types for times and resource quantities, each with a fixed unit.
//!
//! Decision logic receives the time as a [`Timestamp`] and never reads a clock.

use std::fmt;
use std::ops::{Add, AddAssign, Sub, SubAssign};
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Error of parsing a time, quantity or other configuration value.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{value:?} is not a {kind}; expected {expected}")]
pub struct ParseUnitError {
    /// Kind of value as the message names it, such as `timestamp`.
    pub kind: &'static str,
    /// Text that failed to parse.
    pub value: String,
    /// Description of the expected form.
    pub expected: &'static str,
}

/// Monotonic time in microseconds since an arbitrary origin.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Timestamp(u64);

impl Timestamp {
    /// Origin of the clock.
    pub const ZERO: Self = Self(0);
    /// Latest representable time.
    pub const MAX: Self = Self(u64::MAX);

    /// Creates a timestamp from microseconds since the origin.
    #[must_use]
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Creates a timestamp from milliseconds since the origin.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Returns the microseconds since the origin.
    #[must_use]
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time elapsed since `earlier`, or zero when `earlier` is the later of the two.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Timestamp {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

impl Sub<Duration> for Timestamp {
    type Output = Self;

    fn sub(self, span: Duration) -> Self {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }
}

impl fmt::Display for Timestamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06}s", self.0 / 1_000_000, self.0 % 1_000_000)
    }
}

impl FromStr for Timestamp {
    type Err = ParseUnitError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || ParseUnitError {
            kind: "timestamp",
            value: text.into(),
            expected: "seconds such as 12.000500s",
        };
        let (seconds, micros) =
            text.strip_suffix('s').and_then(|rest| rest.split_once('.')).ok_or_else(error)?;
        if micros.len() != 6 {
            return Err(error());
        }
        let seconds: u64 = seconds.parse().map_err(|_| error())?;
        let micros: u64 = micros.parse().map_err(|_| error())?;
        seconds.checked_mul(1_000_000).and_then(|s| s.checked_add(micros)).map(Self).ok_or_else(error)
    }
}

/// Wall-clock time in milliseconds since the Unix epoch.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WallTime(u64);

impl WallTime {
    /// Creates a time from milliseconds since the Unix epoch.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// Returns the milliseconds since the Unix epoch.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// Returns the time later by `span`, saturating at the maximum.
    #[must_use]
    pub fn plus(self, span: Duration) -> Self {
        Self(self.0.saturating_add(u64::try_from(span.as_millis()).unwrap_or(u64::MAX)))
    }

    /// Returns the time earlier by `span`, saturating at the Unix epoch.
    #[must_use]
    pub fn minus(self, span: Duration) -> Self {
        Self(self.0.saturating_sub(u64::try_from(span.as_millis()).unwrap_or(u64::MAX)))
    }
}

impl fmt::Display for WallTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0)
    }
}

impl FromStr for WallTime {
    type Err = ParseUnitError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.strip_suffix("ms").and_then(|digits| digits.parse().ok()).map(Self).ok_or_else(|| {
            ParseUnitError {
                kind: "wall-clock time",
                value: text.into(),
                expected: "milliseconds since the Unix epoch such as 1790000000000ms",
            }
        })
    }
}

macro_rules! quantity {
    ($(#[$doc:meta])* $name:ident($inner:ty), $kind:literal, $suffix:literal, $expected:literal) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl $name {
            /// Quantity of zero, which is also the default.
            pub const ZERO: Self = Self(0);

            /// Returns the difference, or zero when `other` is larger.
            #[must_use]
            pub const fn saturating_sub(self, other: Self) -> Self {
                Self(self.0.saturating_sub(other.0))
            }
        }

        impl Add for $name {
            type Output = Self;

            fn add(self, other: Self) -> Self {
                Self(self.0.saturating_add(other.0))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}{}", self.0, $suffix)
            }
        }

        impl FromStr for $name {
            type Err = ParseUnitError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.strip_suffix($suffix).and_then(|digits| digits.parse().ok()).map(Self).ok_or_else(
                    || ParseUnitError { kind: $kind, value: text.into(), expected: $expected },
                )
            }
        }
    };
}

quantity!(
    /// CPU in thousandths of a core.
    CpuMillis(u64),
    "processor size",
    "m",
    "thousandths of a core such as 1500m"
);
quantity!(
    /// Memory size in MiB.
    MemoryMib(u64),
    "memory size",
    "MiB",
    "MiB such as 2048MiB"
);
quantity!(
    /// Number of whole accelerators.
    Accelerators(u32),
    "number of accelerators",
    "acc",
    "accelerators such as 2acc"
);
quantity!(
    /// Number of request slots.
    Slots(u32),
    "number of slots",
    "slots",
    "slots such as 8slots"
);
quantity!(
    /// Number of connections.
    Connections(u32),
    "number of connections",
    "conns",
    "connections such as 64conns"
);
quantity!(
    /// Size in bytes.
    Bytes(u64),
    "number of bytes",
    "B",
    "bytes such as 1048576B"
);

/// CPU, memory and accelerators that a task needs or a worker or quota provides.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Resources {
    /// CPU in thousandths of a core.
    #[serde(rename = "cpu_millis")]
    pub cpu: CpuMillis,
    /// Memory size in MiB.
    #[serde(rename = "memory_mib")]
    pub memory: MemoryMib,
    /// Number of whole accelerators; zero when the field is absent.
    #[serde(default)]
    pub accelerators: Accelerators,
}

impl Resources {
    /// No resources, which is also the default.
    pub const ZERO: Self =
        Self { cpu: CpuMillis::ZERO, memory: MemoryMib::ZERO, accelerators: Accelerators::ZERO };

    /// Creates resources from thousandths of a core, MiB and a number of accelerators.
    #[must_use]
    pub const fn new(cpu: u64, memory: u64, accelerators: u32) -> Self {
        Self { cpu: CpuMillis(cpu), memory: MemoryMib(memory), accelerators: Accelerators(accelerators) }
    }

    /// Returns whether `free` has enough of every resource.
    #[must_use]
    pub fn fits(self, free: Self) -> bool {
        self.cpu <= free.cpu && self.memory <= free.memory && self.accelerators <= free.accelerators
    }

    /// Returns the difference, or `None` when any resource would be negative.
    #[must_use]
    pub fn checked_sub(self, other: Self) -> Option<Self> {
        other.fits(self).then(|| self.saturating_sub(other))
    }

    /// Returns the difference of each resource, or zero where it would be negative.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(other.cpu),
            memory: self.memory.saturating_sub(other.memory),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Returns the maximum of each resource.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.max(other.cpu),
            memory: self.memory.max(other.memory),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// Returns the resources of `count` equal tasks, saturating at the maximum.
    #[must_use]
    pub const fn times(self, count: u32) -> Self {
        Self {
            cpu: CpuMillis(self.cpu.0.saturating_mul(count as u64)),
            memory: MemoryMib(self.memory.0.saturating_mul(count as u64)),
            accelerators: Accelerators(self.accelerators.0.saturating_mul(count)),
        }
    }
}

impl Add for Resources {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            cpu: self.cpu + other.cpu,
            memory: self.memory + other.memory,
            accelerators: self.accelerators + other.accelerators,
        }
    }
}

impl AddAssign for Resources {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

impl SubAssign for Resources {
    fn sub_assign(&mut self, other: Self) {
        *self = self.saturating_sub(other);
    }
}

impl fmt::Display for Resources {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{},{},{}", self.cpu, self.memory, self.accelerators)
    }
}

impl FromStr for Resources {
    type Err = ParseUnitError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || ParseUnitError {
            kind: "resource set",
            value: text.into(),
            expected: "a set such as 1500m,2048MiB,0acc",
        };
        let mut parts = text.split(',');
        let mut next_part = || parts.next().ok_or_else(error);
        let resources = Self {
            cpu: next_part()?.parse()?,
            memory: next_part()?.parse()?,
            accelerators: next_part()?.parse()?,
        };
        if parts.next().is_some() {
            return Err(error());
        }
        Ok(resources)
    }
}
