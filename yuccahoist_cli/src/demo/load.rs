//! Open-loop load of the three request classes: arrivals do not wait for answers.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};
use yuccahoist::id::{RequestId, TeamId};
use yuccahoist::request::Class;
use yuccahoist::unit::WallTime;

use super::caller::{Call, CallPlan, Callers};

/// Parameters of the arrivals of one class.
struct Arrivals {
    class: Class,
    /// Mean requests per second; the gaps are exponentially distributed.
    rate: f64,
    /// Mean service time; the times are exponentially distributed up to a cap.
    service_time: Duration,
    deadline: Duration,
    /// Share of non-idempotent requests, 0 to 1.
    non_idempotent: f64,
}

/// Arrivals of each class; their sum stays below the slot capacity of the backend servers.
const CLASS_ARRIVALS: [Arrivals; 3] = [
    Arrivals {
        class: Class::Urgent,
        rate: 300.0,
        service_time: Duration::from_millis(5),
        deadline: Duration::from_secs(2),
        non_idempotent: 0.1,
    },
    Arrivals {
        class: Class::Batch,
        rate: 60.0,
        service_time: Duration::from_millis(40),
        deadline: Duration::from_secs(10),
        non_idempotent: 0.1,
    },
    Arrivals {
        class: Class::Heavy,
        rate: 20.0,
        service_time: Duration::from_millis(400),
        deadline: Duration::from_secs(30),
        non_idempotent: 0.5,
    },
];

/// Share of the requests that the balancer sends to two hosts at once.
const DUPLICATE_SHARE: f64 = 0.01;
/// Upper bound of the service time as a multiple of the mean.
const MAX_TIME_MULTIPLE: f64 = 4.0;
const LOAD_TEAMS: [&str; 2] = ["day-a", "day-b"];

/// Runs the load for `length` and returns all calls after the last reply.
pub(crate) async fn run(callers: Callers, mut rng: ChaCha8Rng, length: Duration) -> Vec<Call> {
    let start = Instant::now();
    let mut calls = JoinSet::new();
    for (due, arrivals) in schedule_arrivals(&mut rng, length) {
        sleep_until(start + due).await;
        let plan = plan_call(arrivals, &mut rng);
        let first_host = rng.random_range(0..1_000_000);
        if plan.is_duplicated {
            let (callers, plan) = (callers.clone(), plan.clone());
            calls.spawn(async move { callers.call(plan, first_host + 1).await });
        }
        let callers = callers.clone();
        calls.spawn(async move { callers.call(plan, first_host).await });
    }
    calls.join_all().await
}

/// Returns the arrivals of all classes with their times from the start, in order of time.
fn schedule_arrivals(rng: &mut ChaCha8Rng, length: Duration) -> Vec<(Duration, &'static Arrivals)> {
    let mut schedule = Vec::new();
    for arrivals in &CLASS_ARRIVALS {
        let mut time = 0.0;
        while time < length.as_secs_f64() {
            time += exponential(rng, 1.0 / arrivals.rate);
            schedule.push((Duration::from_secs_f64(time), arrivals));
        }
    }
    schedule.sort_by_key(|(time, _)| *time);
    schedule
}

/// Returns an exponentially distributed value.
fn exponential(rng: &mut ChaCha8Rng, mean: f64) -> f64 {
    let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
    -uniform.ln() * mean
}

fn plan_call(arrivals: &Arrivals, rng: &mut ChaCha8Rng) -> CallPlan {
    let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
    let wall = WallTime::from_millis(u64::try_from(wall).unwrap_or_default());
    let mean = arrivals.service_time.as_secs_f64();
    let team = LOAD_TEAMS[rng.random_range(0..LOAD_TEAMS.len())];
    CallPlan {
        id: RequestId::from_parts(wall, rng.random()),
        class: arrivals.class,
        team: TeamId::new(team).unwrap_or_else(|_| unreachable!("constant name is valid")),
        idempotent: !rng.random_bool(arrivals.non_idempotent),
        deadline: arrivals.deadline,
        service_time: Duration::from_secs_f64(exponential(rng, mean).min(mean * MAX_TIME_MULTIPLE)),
        is_duplicated: rng.random_bool(DUPLICATE_SHARE),
    }
}
