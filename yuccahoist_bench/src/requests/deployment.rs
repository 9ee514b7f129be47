//! The two example deployments, their traffic, and the systems that are compared.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;
use yuccahoist::request::Class;

/// Workers of either deployment.
pub const WORKERS: u32 = 48;
/// Slots of a worker.
pub const SLOTS: u32 = 8;
/// Flood, as a multiple of the slots of the fleet.
const FLOOD: f64 = 10.0;
/// Busy load, as a multiple of the normal load.
const BUSY: f64 = 1.3;
/// Demand of heavy requests that tells whether their share is kept, as a multiple of the share.
const SHARE_DEMAND: f64 = 1.2;

/// Times of a run, seconds.
#[derive(Debug, Clone, Copy)]
pub struct Timeline {
    /// Flood starts.
    pub flood: f64,
    /// Counting starts: the slots have filled with the flood.
    pub count: f64,
    /// Counting and the run end.
    pub end: f64,
}

/// Requests of one class.
#[derive(Debug, Clone, Copy)]
pub struct Traffic {
    /// Mean service time, seconds. Service times are log-normal.
    pub mean: f64,
    /// Standard deviation of the logarithm of the service time.
    pub sigma: f64,
    /// Slots in use at normal load, as a share of the fleet.
    pub load: f64,
    /// Guaranteed share of the slots.
    pub share: f64,
    /// Time to the deadline.
    pub deadline: Duration,
    /// Requests that may wait per shard.
    pub queue: usize,
}

/// Deployment with its normal traffic. Service times are assumptions, not measurements.
#[derive(Debug, Clone)]
pub struct Deployment {
    /// Name of the service.
    pub name: &'static str,
    /// Traffic per class.
    pub classes: BTreeMap<Class, Traffic>,
}

impl Deployment {
    /// `drumline` of Ishikari Drum Renewal: reline plans, wash plans, tag checks.
    #[must_use]
    pub fn ishikari() -> Self {
        let urgent = traffic((0.008, 0.4), 0.15, 0.30, (1, 2_000));
        let batch = traffic((0.3, 0.5), 0.20, 0.30, (30, 500));
        let heavy = traffic((2.0, 0.6), 0.30, 0.40, (120, 500));
        Self {
            name: "drumline",
            classes: [(Class::Urgent, urgent), (Class::Batch, batch), (Class::Heavy, heavy)].into(),
        }
    }

    /// `token-ledger` of Cawan Kira Software: settlement, reconciliation, till lookup.
    #[must_use]
    pub fn cawan() -> Self {
        let urgent = traffic((0.004, 0.5), 0.12, 0.30, (1, 2_000));
        let batch = traffic((0.5, 0.6), 0.15, 0.20, (60, 500));
        let heavy = traffic((5.0, 0.8), 0.30, 0.50, (600, 500));
        Self {
            name: "token-ledger",
            classes: [(Class::Urgent, urgent), (Class::Batch, batch), (Class::Heavy, heavy)].into(),
        }
    }

    /// Requests per second that keep `share` of the fleet busy.
    #[must_use]
    pub fn rate(&self, class: Class, share: f64) -> f64 {
        share * f64::from(WORKERS * SLOTS) / self.classes[&class].mean
    }
}

fn traffic((mean, sigma): (f64, f64), load: f64, share: f64, (deadline, queue): (u64, usize)) -> Traffic {
    Traffic { mean, sigma, load, share, deadline: Duration::from_secs(deadline), queue }
}

/// What arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Scenario {
    /// Normal load of all classes.
    Normal,
    /// Normal load times 1.3.
    Busy,
    /// Heavy requests at ten times the capacity of the fleet, besides the normal load.
    FloodHeavy,
    /// Batch requests at ten times the capacity.
    FloodBatch,
    /// Urgent requests at ten times the capacity, while heavy ones arrive at 1.2 times their share.
    FloodUrgent,
    /// Batch requests of one team at ten times the capacity.
    FloodTeam,
    /// Normal load; each service time is off by a factor from 0.1 to 10.
    Misjudged,
}

impl Scenario {
    /// All scenarios.
    pub const ALL: [Self; 7] = [
        Self::Normal,
        Self::Busy,
        Self::FloodHeavy,
        Self::FloodBatch,
        Self::FloodUrgent,
        Self::FloodTeam,
        Self::Misjudged,
    ];

    /// Name in tables and arguments.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Normal => "normal",
            Self::Busy => "busy",
            Self::FloodHeavy => "flood-heavy",
            Self::FloodBatch => "flood-batch",
            Self::FloodUrgent => "flood-urgent",
            Self::FloodTeam => "flood-team",
            Self::Misjudged => "misjudged",
        }
    }

    /// Times of a run.
    #[must_use]
    pub const fn timeline(self) -> Timeline {
        match self {
            // Up to a million requests a second arrive, so this run is short.
            Self::FloodUrgent => Timeline { flood: 15.0, count: 16.0, end: 18.0 },
            _ => Timeline { flood: 10.0, count: 20.0, end: 30.0 },
        }
    }

    /// Class that floods, with the team that does. The other flood teams are those of the normal load.
    #[must_use]
    pub const fn flood(self) -> Option<Class> {
        match self {
            Self::FloodHeavy => Some(Class::Heavy),
            Self::FloodBatch | Self::FloodTeam => Some(Class::Batch),
            Self::FloodUrgent => Some(Class::Urgent),
            Self::Normal | Self::Busy | Self::Misjudged => None,
        }
    }

    /// Arrival rates per class and team, requests per second. Two teams share the normal load;
    /// the flood comes on top from its start.
    #[must_use]
    pub fn rates(self, deployment: &Deployment, flooding: bool) -> Vec<(Class, usize, f64)> {
        let mut rates = Vec::new();
        for (class, traffic) in &deployment.classes {
            let load = match self {
                Self::Busy => traffic.load * BUSY,
                Self::FloodUrgent if *class == Class::Heavy => traffic.share * SHARE_DEMAND,
                _ => traffic.load,
            };
            let half = deployment.rate(*class, load) / 2.0;
            let flood =
                if flooding && self.flood() == Some(*class) { deployment.rate(*class, FLOOD) } else { 0.0 };
            let (first, second) = match self {
                Self::FloodTeam => (flood, 0.0),
                _ => (flood / 2.0, flood / 2.0),
            };
            rates.push((*class, 0, half + first));
            rates.push((*class, 1, half + second));
        }
        rates
    }
}

/// Scheduler that is compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum System {
    /// Shards, class shares, load-aware routes.
    Ours,
    /// Shards, one FIFO queue each, load-aware routes.
    Fifo,
    /// Shards, strict priority, load-aware routes.
    StrictPriority,
    /// Random worker with a FIFO queue of its own.
    RandomBackend,
    /// One slot of each worker per host, class shares, no routing.
    HostQuota,
}

impl System {
    /// All systems.
    pub const ALL: [Self; 5] =
        [Self::Ours, Self::Fifo, Self::StrictPriority, Self::RandomBackend, Self::HostQuota];

    /// Name in tables.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Ours => "ours",
            Self::Fifo => "fifo",
            Self::StrictPriority => "strict-priority",
            Self::RandomBackend => "random-backend",
            Self::HostQuota => "host-quota",
        }
    }
}
