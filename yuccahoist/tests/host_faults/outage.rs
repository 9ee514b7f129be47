//! Outages and slow answers of the log: which work continues and which is refused.

use std::time::Duration;

use yuccahoist::event::{JobCall, JobReply};
use yuccahoist::job::JobKind;
use yuccahoist::request::{Class, Outcome, Refusal};

use crate::cell::job_spec;
use crate::plan::Fault;
use crate::world::World;
use crate::{assert_recovers, assert_serving, seconds, serving_world};

/// Ends an outage of the log.
fn recover_log(world: &mut World) {
    world.log.down = false;
    world.log_recovered = world.now;
}

/// Sends calls to all running hosts and returns how many were answered, were refused because the log is unavailable,
/// and had any other outcome.
fn probe(world: &mut World, idempotent: bool) -> [usize; 3] {
    let call_rate = std::mem::take(&mut world.call_rate);
    let mut calls = Vec::new();
    for _ in 0..10 {
        for host in 0..world.nodes.len() {
            if world.is_running(host) {
                let id = world.new_request_id();
                let body = format!("probe {id}");
                let call = world.send_call(host, (id, idempotent), Class::Batch, body.into(), seconds(3));
                calls.push(call);
            }
        }
        world.run_for(Duration::from_millis(200));
    }
    world.run_for(seconds(3));
    world.call_rate = call_rate;
    let mut counts = [0; 3];
    for call in calls {
        match world.calls[call].outcomes.first() {
            Some((_, Outcome::Answered(_))) => counts[0] += 1,
            Some((_, Outcome::NotRun(Refusal::LogUnavailable))) => counts[1] += 1,
            _ => counts[2] += 1,
        }
    }
    counts
}

/// Asserts that in an outage with all hosts running, idempotent requests and running services continue, while
/// non-idempotent requests and new jobs are refused.
fn assert_outage_behavior(world: &mut World) {
    let [answered, refused, other] = probe(world, true);
    assert!(
        answered >= 27 && refused == 0,
        "idempotent requests: {answered} answered, {refused} refused, {other} other"
    );
    let [answered, refused, other] = probe(world, false);
    assert_eq!((answered, other), (0, 0), "non-idempotent requests: {refused} refused");
    let submit = world.send_job_call(0, JobCall::Submit(job_spec("late", JobKind::Batch, 1, 1)));
    world.run_for(seconds(1));
    assert!(matches!(world.jobs[&submit][..], [(_, JobReply::Unavailable)]));
    let running: usize = world.workers.values().map(|worker| worker.running_tasks().count()).sum();
    assert_eq!(running, 4, "service tasks stopped during the outage");
}

/// Guards against an outage longer than every lease that stops idempotent requests or running tasks, lets requests run
/// twice, or accepts jobs and edits that are not recorded.
#[test]
fn outage_stops_only_what_needs_the_log() {
    let mut world = serving_world(400, 3);
    let revision = world.revision();
    world.begin_fault(Fault::LogDown, 0);
    let since = world.now;
    world.run_for(seconds(15));
    world.call_rate = 5.0;
    assert_outage_behavior(&mut world);
    assert_eq!(world.revision(), revision);
    assert!(world.counts(since).answered > 100);
    recover_log(&mut world);
    world.run_for(seconds(5));
    world.call_rate = 50.0;
    world.publish_edits(1);
    assert_recovers(&mut world, &[], seconds(5));
    assert_eq!(world.revision(), revision + 1);
    let [answered, ..] = probe(&mut world, false);
    assert!(answered >= 27, "{answered} of 30 non-idempotent requests were answered after the outage");
}

/// Guards against leases, promises or task leases that expire during an hour without the log.
#[test]
fn outage_of_an_hour_is_survived() {
    let mut world = serving_world(410, 3);
    world.call_rate = 0.0;
    world.run_for(seconds(3));
    world.begin_fault(Fault::LogDown, 0);
    world.run_for(seconds(10));
    // Ticks are rarer than in production to bound the duration of the test; the leases are long enough for that.
    world.tick_interval = Duration::from_millis(250);
    world.run_for(seconds(3_600));
    world.tick_interval = crate::world::TICK_INTERVAL;
    world.run_for(seconds(1));
    assert_outage_behavior(&mut world);
    recover_log(&mut world);
    world.run_for(seconds(5));
    world.call_rate = 50.0;
    assert_recovers(&mut world, &[], seconds(3));
}

/// Guards against a host crash in an outage that stops the whole cell: the other hosts keep serving with their share of
/// the slots.
#[test]
fn host_crash_in_an_outage_leaves_the_others_serving() {
    let mut world = serving_world(420, 3);
    world.call_rate = 10.0;
    world.begin_fault(Fault::LogDown, 0);
    world.run_for(seconds(5));
    world.kill_host(0);
    world.run_for(seconds(10));
    let [answered, refused, other] = probe(&mut world, true);
    assert!(answered >= 18 && refused == 0, "{answered} answered, {refused} refused, {other} other");
    world.start_host(0);
    recover_log(&mut world);
    world.run_for(seconds(10));
    world.call_rate = 50.0;
    assert_recovers(&mut world, &[], seconds(5));
}

/// Guards against a host that starts in an outage and cannot serve: it must get the configuration from the peers in its
/// settings and forward idempotent requests.
#[test]
fn new_host_in_an_outage_serves_through_its_peers() {
    let mut world = serving_world(430, 3);
    world.call_rate = 5.0;
    world.publish_edits(1);
    world.run_for(seconds(4));
    let revision = world.revision();
    world.begin_fault(Fault::LogDown, 0);
    world.run_for(seconds(5));
    let new = world.add_host();
    world.run_for(seconds(3));
    let host = world.nodes[new].host.as_ref().expect("new host runs");
    assert!(host.is_ready(), "the new host is not ready");
    assert_eq!(host.status().hosts[0].revision.0, revision);
    let since = world.now;
    let mut calls = Vec::new();
    for _ in 0..20 {
        let id = world.new_request_id();
        let body = format!("new {id}");
        calls.push(world.send_call(new, (id, true), Class::Urgent, body.into(), seconds(2)));
        world.run_for(Duration::from_millis(100));
    }
    world.run_for(seconds(2));
    let answered = |call: &&usize| matches!(world.calls[**call].outcomes[..], [(_, Outcome::Answered(_))]);
    assert!(calls.iter().filter(answered).count() >= 18, "{:?}", world.counts(since));
    recover_log(&mut world);
    world.run_for(seconds(10));
    world.call_rate = 50.0;
    assert_recovers(&mut world, &[], seconds(5));
}

/// Guards against leases that are used past their end, and work that stops, when the log answers slowly.
#[test]
fn slow_log_keeps_invariants() {
    let mut world = serving_world(440, 3);
    let since = world.now;
    world.run_with_faults(&[(500, Fault::LogSlow, 12_000), (3_000, Fault::Kill(1), 2_000)], seconds(13));
    assert!(world.counts(since).answered > 100);
    assert_recovers(&mut world, &[], seconds(6));
}

/// Guards against a record that is applied twice, or treated as lost, when the answer to its append is lost or the
/// append takes effect late.
#[test]
fn lost_answers_of_the_log_keep_invariants() {
    for (seed, fault) in [(450, Fault::LoseAppendAnswers), (451, Fault::LateAppends)] {
        let mut world = serving_world(seed, 3);
        let faults = [(500, fault, 9_000), (2_000, Fault::Kill(0), 3_000), (3_000, Fault::RacingEdits, 0)];
        assert_recovers(&mut world, &faults, seconds(16));
        assert_serving(&world.counts(world.now - seconds(10)));
    }
}
