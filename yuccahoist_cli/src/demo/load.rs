//! Mixed load of the three request classes, with arrivals that do not wait for answers.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};
use yuccahoist::id::{RequestId, TeamId};
use yuccahoist::request::Class;
use yuccahoist::unit::WallTime;

use super::caller::{Call, Callers, Plan};

/// Arrivals of one class.
struct Arrivals {
    class: Class,
    /// Requests per second.
    rate: f64,
    /// Mean service time.
    time: Duration,
    deadline: Duration,
    /// Part of the requests that are not idempotent.
    once: f64,
}

/// Load below the capacity of the slots; the flood at half time goes beyond the share of its class.
const ARRIVALS: [Arrivals; 3] = [
    Arrivals {
        class: Class::Urgent,
        rate: 300.0,
        time: Duration::from_millis(5),
        deadline: Duration::from_secs(2),
        once: 0.1,
    },
    Arrivals {
        class: Class::Batch,
        rate: 60.0,
        time: Duration::from_millis(40),
        deadline: Duration::from_secs(10),
        once: 0.1,
    },
    Arrivals {
        class: Class::Heavy,
        rate: 20.0,
        time: Duration::from_millis(400),
        deadline: Duration::from_secs(30),
        once: 0.5,
    },
];

/// Part of the requests that the balancer sends to two hosts at once.
const DOUBLED: f64 = 0.01;
/// Longest service time as a multiple of the mean.
const LONGEST: f64 = 4.0;
const TEAMS: [&str; 2] = ["day-a", "day-b"];

/// Runs the load and returns all calls.
pub(crate) async fn run(callers: Callers, mut rng: ChaCha8Rng, length: Duration) -> Vec<Call> {
    let start = Instant::now();
    let mut calls = JoinSet::new();
    for (due, arrivals) in schedule(&mut rng, length) {
        sleep_until(start + due).await;
        let plan = plan(arrivals, &mut rng);
        let first = rng.random_range(0..1_000_000);
        if plan.doubled {
            let (callers, plan) = (callers.clone(), plan.clone());
            calls.spawn(async move { callers.call(plan, first + 1).await });
        }
        let callers = callers.clone();
        calls.spawn(async move { callers.call(plan, first).await });
    }
    calls.join_all().await
}

/// Arrival times of all classes, in order.
fn schedule(rng: &mut ChaCha8Rng, length: Duration) -> Vec<(Duration, &'static Arrivals)> {
    let mut all = Vec::new();
    for arrivals in &ARRIVALS {
        let mut time = 0.0;
        while time < length.as_secs_f64() {
            time += exponential(rng, 1.0 / arrivals.rate);
            all.push((Duration::from_secs_f64(time), arrivals));
        }
    }
    all.sort_by_key(|(time, _)| *time);
    all
}

fn exponential(rng: &mut ChaCha8Rng, mean: f64) -> f64 {
    let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
    -uniform.ln() * mean
}

fn plan(arrivals: &Arrivals, rng: &mut ChaCha8Rng) -> Plan {
    let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
    let wall = WallTime::from_millis(u64::try_from(wall).unwrap_or_default());
    let mean = arrivals.time.as_secs_f64();
    let team = TEAMS[rng.random_range(0..TEAMS.len())];
    Plan {
        id: RequestId::from_parts(wall, rng.random()),
        class: arrivals.class,
        team: TeamId::new(team).unwrap_or_else(|_| unreachable!("constant name is valid")),
        idempotent: !rng.random_bool(arrivals.once),
        deadline: arrivals.deadline,
        time: Duration::from_secs_f64(exponential(rng, mean).min(mean * LONGEST)),
        doubled: rng.random_bool(DOUBLED),
    }
}
