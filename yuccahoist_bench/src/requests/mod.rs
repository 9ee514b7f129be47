//! Queue and route policies under mixes and floods of requests, in model time.
//!
//! Fronts and dispatchers run as in the product. The only delay is the service time, so a wait is a wait for a slot.

mod deployment;
mod model;
mod report;

use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

pub use self::deployment::{Deployment, Scenario, System, Traffic};
pub use self::model::{Tally, run};
pub use self::report::{Row, print, rows};

/// Runs that go on at the same time.
const THREADS: usize = 4; // other work shares the machine

/// Result of one run.
#[derive(Debug)]
pub struct Outcome {
    /// Deployment.
    pub deployment: &'static str,
    /// Scenario.
    pub scenario: Scenario,
    /// System.
    pub system: System,
    /// Figures.
    pub tally: Tally,
}

/// Runs all systems, or one, in all scenarios, or one besides the normal load, of both deployments.
///
/// # Panics
///
/// Panics when a run panics.
#[must_use]
pub fn run_all(seed: u64, only: Option<Scenario>, system: Option<System>) -> Vec<Outcome> {
    let mut plan = Vec::new();
    for deployment in [Deployment::ishikari(), Deployment::cawan()] {
        for scenario in Scenario::ALL
            .into_iter()
            .filter(|scenario| only.is_none_or(|only| only == *scenario || *scenario == Scenario::Normal))
        {
            let systems = System::ALL.into_iter().filter(|each| system.is_none_or(|system| system == *each));
            plan.extend(systems.map(|system| (deployment.clone(), scenario, system)));
        }
    }
    let next = AtomicUsize::new(0);
    let done = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                while let Some((deployment, scenario, system)) =
                    plan.get(next.fetch_add(1, Ordering::Relaxed))
                {
                    let tally = run(deployment, *scenario, *system, seed);
                    let outcome =
                        Outcome { deployment: deployment.name, scenario: *scenario, system: *system, tally };
                    done.lock().expect("no run panics").push(outcome);
                }
            });
        }
    });
    let mut done = done.into_inner().expect("no run panics");
    done.sort_by_key(|outcome| (outcome.deployment, outcome.scenario, outcome.system));
    done
}
