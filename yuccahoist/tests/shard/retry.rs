//! Callers that are refused during an outage: how many get in after it, and how those that return are ranked.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yuccahoist::shard::message::Answer;
use yuccahoist::shard::record::JobState;
use yuccahoist::shard::retry::outage_retry_delay;

use super::cluster::{SimulatedCluster, spec};

/// Share of the callers of an outage that get in with their retries, and their mean wait after its end, when each is told
/// to return after `delay`.
fn play_outages(patience: f64, retries: u32, delay: impl Fn(f64) -> f64) -> (f64, f64) {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let (mut served, mut wait) = (0.0, 0.0);
    let callers = 20_000;
    for _ in 0..callers {
        let outage = rng.random_range(0.5..10.0);
        let first = rng.random_range(0.0..outage);
        let mut at: f64 = first;
        for _ in 0..=retries {
            if at >= outage {
                served += 1.0;
                wait += at - outage;
                break;
            }
            let left = first + patience - at;
            // A caller whose patience ends before the delay comes back while it still waits, once.
            at += delay(left).max(1.0).floor().min(left.max(0.0)) * rng.random_range(1.0..1.1);
            if at > first + patience {
                break;
            }
        }
    }
    (served / f64::from(callers), wait / f64::max(served, 1.0))
}

/// No fixed delay may let clearly more callers in than the delay that follows their patience.
#[test]
fn retry_delay_lets_most_callers_in() {
    struct Case {
        patience: f64,
        retries: u32,
    }
    let cases = [
        Case { patience: 3.0, retries: 4 },
        Case { patience: 6.0, retries: 4 },
        Case { patience: 10.0, retries: 4 },
        Case { patience: 30.0, retries: 4 },
        Case { patience: 120.0, retries: 4 },
    ];
    for case in cases {
        let chosen = |left: f64| outage_retry_delay(Duration::from_secs_f64(left.max(0.0))).as_secs_f64();
        let (served, wait) = play_outages(case.patience, case.retries, chosen);
        let fixed =
            (1..=8).map(|seconds| play_outages(case.patience, case.retries, |_| f64::from(seconds)).0);
        let best = fixed.fold(0.0, f64::max);
        assert!(served >= best - 0.03, "{} s: {served:.3}, the best fixed delay {best:.3}", case.patience);
        assert!(wait <= 2.0, "{} s: served {wait:.2} s after the outage on average", case.patience);
    }
}

/// After an outage the callers that had waited through it were placed before new ones, which then were late as well.
#[test]
fn returning_callers_do_not_make_new_ones_late() {
    let mut cluster = SimulatedCluster::new(1, 4);
    cluster.advance(1_000);
    cluster.store_up = false;
    cluster.submit(1, spec(1, 100));
    cluster.advance(1_500);
    // The fleet holds 16 tasks at a time. Each of these jobs is to be complete 1.4 s after its first try.
    let job = || {
        let mut job = spec(8, 600);
        job.queue.stretch_factor = 1.5;
        job.queue.target_latency = Duration::from_millis(500);
        job
    };
    let returning = 2..8;
    let new = 8..10;
    for number in returning.clone() {
        cluster.submit(number, job());
        assert!(matches!(cluster.answers.get(&number), Some(Answer::Refused { .. })));
    }
    cluster.advance(1_300);
    cluster.store_up = true;
    cluster.advance(300);
    returning.clone().for_each(|number| cluster.submit(number, job()));
    new.clone().for_each(|number| cluster.submit(number, job()));
    cluster.advance(1_400);
    for number in new {
        assert_eq!(cluster.query_state(number), Some(JobState::Completed), "new caller {number} is late");
    }
    cluster.advance(3_000);
    for number in returning {
        assert_eq!(cluster.query_state(number), Some(JobState::Completed), "returning caller {number}");
    }
}
