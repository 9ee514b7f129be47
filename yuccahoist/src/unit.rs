//! Quantities with their units.
//!
//! Decision logic works on [`Timestamp`], a monotonic time with an arbitrary origin, and never reads a clock itself.

use std::fmt;
use std::ops::{Add, AddAssign, Sub, SubAssign};
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Reason why a text is not a quantity.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{value:?} is not a {kind}; expected {expected}")]
pub struct ParseUnitError {
    /// Kind of quantity.
    pub kind: &'static str,
    /// Text that was given.
    pub value: String,
    /// Form that is expected.
    pub expected: &'static str,
}

/// Monotonic time since an arbitrary origin, microseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Timestamp(u64);

impl Timestamp {
    /// Origin of the clock.
    pub const ZERO: Self = Self(0);
    /// Latest representable time.
    pub const MAX: Self = Self(u64::MAX);

    /// Time from microseconds since the origin.
    #[must_use]
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Time from milliseconds since the origin.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Microseconds since the origin.
    #[must_use]
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Time elapsed since `earlier`; zero when `earlier` is later.
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

/// Wall-clock time, milliseconds since the Unix epoch.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WallTime(u64);

impl WallTime {
    /// Time from milliseconds since the Unix epoch.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// Milliseconds since the Unix epoch.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// Time later by `span`.
    #[must_use]
    pub fn plus(self, span: Duration) -> Self {
        Self(self.0.saturating_add(u64::try_from(span.as_millis()).unwrap_or(u64::MAX)))
    }

    /// Time earlier by `span`; the Unix epoch at the least.
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
            /// Nothing.
            pub const ZERO: Self = Self(0);

            /// Difference; zero when `other` is larger.
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
    /// Processor time, thousandths of a core.
    CpuMillis(u64),
    "processor size",
    "m",
    "thousandths of a core such as 1500m"
);
quantity!(
    /// Memory, MiB.
    MemoryMib(u64),
    "memory size",
    "MiB",
    "MiB such as 2048MiB"
);
quantity!(
    /// Whole accelerators.
    Accelerators(u32),
    "number of accelerators",
    "acc",
    "accelerators such as 2acc"
);
quantity!(
    /// Request slots.
    Slots(u32),
    "number of slots",
    "slots",
    "slots such as 8slots"
);
quantity!(
    /// Connections.
    Connections(u32),
    "number of connections",
    "conns",
    "connections such as 64conns"
);
quantity!(
    /// Bytes.
    Bytes(u64),
    "number of bytes",
    "B",
    "bytes such as 1048576B"
);

/// Processors, memory and accelerators together.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Resources {
    /// Processors, thousandths of a core.
    #[serde(rename = "cpu_millis")]
    pub cpu: CpuMillis,
    /// Memory, MiB.
    #[serde(rename = "memory_mib")]
    pub memory: MemoryMib,
    /// Whole accelerators.
    #[serde(default)]
    pub accelerators: Accelerators,
}

impl Resources {
    /// Nothing.
    pub const ZERO: Self =
        Self { cpu: CpuMillis::ZERO, memory: MemoryMib::ZERO, accelerators: Accelerators::ZERO };

    /// Resources from millicores, MiB and accelerators.
    #[must_use]
    pub const fn new(cpu: u64, memory: u64, accelerators: u32) -> Self {
        Self { cpu: CpuMillis(cpu), memory: MemoryMib(memory), accelerators: Accelerators(accelerators) }
    }

    /// Whether all three fit into `free`.
    #[must_use]
    pub fn fits(self, free: Self) -> bool {
        self.cpu <= free.cpu && self.memory <= free.memory && self.accelerators <= free.accelerators
    }

    /// Difference; none when one of the three would be negative.
    #[must_use]
    pub fn checked_sub(self, other: Self) -> Option<Self> {
        other.fits(self).then(|| self.saturating_sub(other))
    }

    /// Difference, zero where it would be negative.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(other.cpu),
            memory: self.memory.saturating_sub(other.memory),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Larger of each of the three.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.max(other.cpu),
            memory: self.memory.max(other.memory),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// Resources of `count` equal tasks.
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
        let mut next = || parts.next().ok_or_else(error);
        let resources =
            Self { cpu: next()?.parse()?, memory: next()?.parse()?, accelerators: next()?.parse()? };
        if parts.next().is_some() {
            return Err(error());
        }
        Ok(resources)
    }
}
