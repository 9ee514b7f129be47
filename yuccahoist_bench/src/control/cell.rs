//! Sizes of a cell and its base document.

use std::fmt;

use serde::Serialize;
use serde_json::{Map, Value, json};
use yuccahoist::id::JobId;
use yuccahoist::job::{DEFAULT_ATTEMPTS, JobKind, JobSpec, Priority};
use yuccahoist::unit::Resources;

/// Availability zones; each is a site.
pub(super) const ZONES: [&str; 4] = ["north-a", "north-b", "south-a", "south-b"];
/// Workers of a rack.
pub(super) const RACK: usize = 8;
/// Accelerators of the whole fleet at full size, spread over the workers of every fifth rack.
const ACCELERATORS: u32 = 8;
/// Tasks of a batch job.
pub(super) const JOB_TASKS: usize = 100;
/// Processors of a worker, thousandths.
const CPU: usize = 64_000;
/// Memory of a worker, MiB.
const MEMORY: usize = 262_144;
/// Part of the fleet that all tasks together take, per cent.
const FILLED: usize = 60;

/// What varies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Axis {
    /// Entry hosts.
    Hosts,
    /// Racks of eight workers.
    Racks,
    /// Running tasks.
    Tasks,
    /// Teams.
    Teams,
    /// Configuration edits in the window.
    Edits,
}

impl Axis {
    /// All axes.
    pub const ALL: [Self; 5] = [Self::Hosts, Self::Racks, Self::Tasks, Self::Teams, Self::Edits];
}

impl fmt::Display for Axis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Hosts => "hosts",
            Self::Racks => "racks",
            Self::Tasks => "tasks",
            Self::Teams => "teams",
            Self::Edits => "edits",
        })
    }
}

/// Whether work arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Load {
    /// Tasks run; nothing starts, ends or is called.
    Idle,
    /// Tasks start and end, and callers send requests.
    Peak,
}

impl fmt::Display for Load {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Idle => "idle",
            Self::Peak => "peak",
        })
    }
}

/// Size of a cell.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Size {
    /// Entry hosts.
    pub hosts: usize,
    /// Racks.
    pub racks: usize,
    /// Running tasks.
    pub tasks: usize,
    /// Teams.
    pub teams: usize,
    /// Edits in the window.
    pub edits: usize,
}

impl Size {
    /// Sizes in two years.
    pub const FULL: Self = Self { hosts: 9, racks: 90, tasks: 14_000, teams: 33, edits: 0 };

    /// Size along an axis.
    #[must_use]
    pub const fn along(&self, axis: Axis) -> usize {
        match axis {
            Axis::Hosts => self.hosts,
            Axis::Racks => self.racks,
            Axis::Tasks => self.tasks,
            Axis::Teams => self.teams,
            Axis::Edits => self.edits,
        }
    }

    /// Service tasks, a fifth of all.
    fn service_tasks(&self) -> usize {
        self.tasks / 5
    }

    /// Resources of each task: an equal part of what is used of the fleet, and at most a tenth of a worker.
    fn task(&self) -> Resources {
        let share = |capacity: usize| {
            let part = self.racks * RACK * capacity / 100 * FILLED / self.tasks;
            part.min(capacity / 10) as u64
        };
        Resources::new(share(CPU), share(MEMORY), 0)
    }

    /// Batch jobs that keep the rest of the tasks running.
    pub(super) fn jobs(&self) -> usize {
        (self.tasks - self.service_tasks()).div_ceil(JOB_TASKS)
    }

    /// Base document.
    pub(super) fn base(&self) -> Value {
        let quota = json!({ "cpu_millis": 50_000_000, "memory_mib": 200_000_000, "accelerators": 1_200 });
        let teams: Map<String, Value> =
            (0..self.teams).map(|team| (team_name(team), json!({ "quota": quota, "weight": 1 }))).collect();
        let services: Map<String, Value> =
            (0..self.teams).map(|team| (format!("service-{team}"), self.service(team))).collect();
        json!({
            "cell": "capacity",
            "sites": ZONES,
            "classes": {
                "urgent": { "share": 0.5, "queue": 512, "run_limit_ms": 2_000, "deadline_limit_ms": 5_000 },
                "batch": { "share": 0.25, "queue": 1_024, "run_limit_ms": 3_000, "deadline_limit_ms": 30_000 },
                "heavy": { "share": 0.25, "queue": 1_024, "run_limit_ms": 5_000, "deadline_limit_ms": 60_000 },
            },
            "teams": teams,
            "workers": { "racks": (0..self.racks).map(rack).collect::<Vec<_>>() },
            "services": services,
            "batch": {},
            "gangs": {},
            "limits": {
                "id_window_ms": 900_000, "clock_skew_ms": 2_000, "retry_share": 0.1, "body_bytes": 1_048_576,
                "intent_rate": 20, "intent_batch": 64,
            },
        })
    }

    fn service(&self, team: usize) -> Value {
        json!({
            "team": team_name(team), "priority": 200, "spread": "rack", "resources": self.task(),
            "tasks": (self.service_tasks() / self.teams).max(1),
            // A backend server offers the services of its own rack only.
            "racks": (0..self.racks).filter(|rack| rack % self.teams == team % self.racks).map(rack_name)
                .collect::<Vec<_>>(),
        })
    }

    /// Specification of a batch job.
    pub(super) fn job(&self, number: usize) -> Option<JobSpec> {
        Some(JobSpec {
            id: JobId::new(&format!("job-{number}")).ok()?,
            kind: JobKind::Batch,
            team: team_name(number % self.teams).parse().ok()?,
            priority: Priority(100),
            tasks: u32::try_from(JOB_TASKS).ok()?,
            resources: self.task(),
            runtime_ms: None,
            attempts: DEFAULT_ATTEMPTS,
        })
    }
}

pub(super) fn team_name(team: usize) -> String {
    format!("team-{team}")
}

fn rack_name(rack: usize) -> String {
    format!("rack-{rack}")
}

fn rack(index: usize) -> Value {
    json!({
        "rack": rack_name(index),
        "zone": ZONES[index % ZONES.len()],
        "workers": RACK,
        "capacity": {
            "cpu_millis": CPU, "memory_mib": MEMORY, "slots": 8, "connections": 64,
            "accelerators": if index.is_multiple_of(5) { ACCELERATORS } else { 0 },
        },
        "backend": format!("127.1.{index}.{{worker}}:8080"),
        "agent": format!("127.1.{index}.{{worker}}:8081"),
    })
}

/// Points of the measurement: full size, and each axis varied alone.
#[must_use]
pub fn points() -> Vec<(Axis, Size)> {
    let full = Size::FULL;
    let mut points = Vec::new();
    points.extend([3, 9, 27].map(|hosts| (Axis::Hosts, Size { hosts, ..full })));
    points.extend([6, 30, 90].map(|racks| (Axis::Racks, Size { racks, ..full })));
    points.extend([1_000, 5_000, 14_000].map(|tasks| (Axis::Tasks, Size { tasks, ..full })));
    points.extend([4, 16, 33].map(|teams| (Axis::Teams, Size { teams, ..full })));
    points.extend([0, 3, 30].map(|edits| (Axis::Edits, Size { edits, ..full })));
    points
}
