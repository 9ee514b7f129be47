//! Requests under faults of hosts, links and workers: I1, I3 to I7 and I9.

use std::time::Duration;

use yuccahoist::request::{Class, Outcome, UnknownReason};

use crate::plan::Fault;
use crate::world::{Failpoint, MessageFaults, World};
use crate::{assert_recovers, assert_serving, seconds, serving_world};

/// Guards against a simulation that proves nothing because too few calls run in it.
#[test]
fn without_faults_calls_are_answered() {
    let mut world = serving_world(1, 3);
    let since = world.now;
    world.run_for(seconds(10));
    world.finish();
    assert_serving(&world.counts(since));
    assert!(
        world.workers.values().all(|worker| worker.peak_requests == worker.slots),
        "a worker never used all its slots"
    );
}

/// Guards against requests that run twice, are answered wrongly or exceed the slots when a host crashes right before or
/// after an append or dispatch, and against shards that stay without an owner.
#[test]
fn crash_around_an_append_or_dispatch_keeps_invariants() {
    let failpoints = [
        Failpoint::BeforeAppend,
        Failpoint::AfterAppend,
        Failpoint::BeforeDispatch,
        Failpoint::AfterDispatch,
    ];
    for (seed, failpoint) in (10..).zip(failpoints) {
        let mut world = serving_world(seed, 3);
        let faults =
            [(1_000, Fault::Failpoint(0, failpoint), 1_500), (8_000, Fault::Failpoint(1, failpoint), 4_000)];
        assert_recovers(&mut world, &faults, seconds(18));
    }
}

/// Guards against a second run after a restart, and against a new incarnation that continues as the earlier one.
#[test]
fn host_that_is_killed_twice_keeps_invariants() {
    let mut world = serving_world(20, 3);
    let faults =
        [(1_000, Fault::Kill(0), 100), (2_000, Fault::Kill(0), 5_000), (2_500, Fault::Kill(1), 5_000)];
    assert_recovers(&mut world, &faults, seconds(18));
}

/// Guards against dispatches by a host that resumes from a pause and has not noticed that its lease has ended.
#[test]
fn paused_host_sends_nothing_under_an_ended_lease() {
    for (seed, length) in [(30, 2_500), (31, 3_500), (32, 9_000)] {
        let mut world = serving_world(seed, 3);
        let faults = [(1_000, Fault::Pause(0), length), (length + 2_000, Fault::Pause(1), length)];
        assert_recovers(&mut world, &faults, seconds(26));
    }
}

/// Guards against a dispatch that was decided before a pause and is sent after it.
#[test]
fn dispatch_that_was_decided_before_a_pause_is_dropped() {
    let mut world = serving_world(35, 3);
    let faults = [
        (1_000, Fault::Failpoint(0, Failpoint::PauseAtDispatch), 1_000),
        (8_000, Fault::Failpoint(1, Failpoint::PauseAtDispatch), 1_000),
    ];
    assert_recovers(&mut world, &faults, seconds(18));
}

/// Guards against requests that are lost or repeated when workers crash, and against crashed workers that attract all
/// requests because they fail at once.
#[test]
fn worker_crashes_keep_invariants() {
    let mut world = serving_world(40, 3);
    let faults = [(1_000, Fault::WorkerCrash(0), 3_000), (3_000, Fault::RackCrash(1), 4_000)];
    assert_recovers(&mut world, &faults, seconds(12));
}

/// Guards against two owners that both use one shard fully because they cannot reach each other or the log.
#[test]
fn blocked_links_keep_invariants() {
    let faults = [
        [Fault::BlockLink(0, 1), Fault::BlockLink(1, 0)],
        [Fault::BlockLog(0), Fault::BlockLog(0)],
        [Fault::BlockPeers(0), Fault::BlockPeers(1)],
        [Fault::BlockLog(0), Fault::BlockPeers(1)],
        [Fault::BlockLog(0), Fault::BlockPeers(0)],
    ];
    for (seed, [first, second]) in (50..).zip(faults) {
        let mut world = serving_world(seed, 3);
        assert_recovers(&mut world, &[(1_000, first, 7_000), (5_000, second, 7_000)], seconds(20));
    }
}

/// Guards against wrong, repeated or late answers when messages and answers are delayed, duplicated or lost.
#[test]
fn delayed_duplicated_and_lost_messages_keep_invariants() {
    let mut world = serving_world(60, 3);
    world.message_faults = MessageFaults { late: 200, duplicated: 200, lost_replies: 50 };
    world.run_for(seconds(12));
    world.message_faults = MessageFaults::default();
    assert_recovers(&mut world, &[], seconds(3));
}

/// Guards against a second run of a request that its caller sends to two hosts at once and retries later.
#[test]
fn repeated_id_runs_at_most_once() {
    for (seed, lost) in [(70, 0), (71, 400)] {
        let mut world = serving_world(seed, 3);
        world.log.lost_answers = lost;
        world.call_rate = 5.0;
        let mut ids = Vec::new();
        for _ in 0..60 {
            let id = world.new_request_id();
            for host in [0, 1] {
                world.send_call(host, (id, false), Class::Batch, "body".into(), seconds(2));
            }
            ids.push(id);
            world.run_for(Duration::from_millis(50));
        }
        for id in ids {
            world.send_call(2, (id, false), Class::Batch, "body".into(), seconds(2));
            world.run_for(Duration::from_millis(20));
        }
        let counts = world.finish();
        assert!(counts.answered * 2 > counts.calls, "{counts:?}");
    }
}

/// Guards against an answer to a call that reuses an id with another body, at the same or another host.
#[test]
fn id_with_another_body_gets_no_answer() {
    let mut world = serving_world(75, 3);
    for host in [0, 1] {
        let id = world.new_request_id();
        let first = world.send_call(0, (id, false), Class::Urgent, "one".into(), seconds(2));
        world.run_for(Duration::from_millis(500));
        let second = world.send_call(host, (id, false), Class::Urgent, "other".into(), seconds(2));
        world.run_for(seconds(1));
        assert!(matches!(world.calls[first].outcomes[..], [(_, Outcome::Answered(_))]));
        assert!(matches!(world.calls[second].outcomes[..], [(_, Outcome::NotRun(_))]));
    }
    world.finish();
}

/// Guards against new work for a worker that is leaving.
#[test]
fn leaving_worker_gets_no_new_work() {
    let mut world = serving_world(80, 3);
    let faults = [
        (1_000, Fault::Drain(0), 9_000),
        (2_000, Fault::Jobs, 100),
        (3_000, Fault::Kill(0), 2_000),
        (4_000, Fault::Drain(3), 6_000),
    ];
    assert_recovers(&mut world, &faults, seconds(18));
}

/// Guards against planned stops that interrupt a request, keep a lease or never end during a rolling restart.
#[test]
fn planned_stops_interrupt_nothing() {
    for seed in 90..93 {
        assert_rolling_restart(seed);
    }
}

/// Restarts all hosts one after the other by planned stops, and asserts that no request ends as unknown because of it.
fn assert_rolling_restart(seed: u64) {
    let mut world = serving_world(seed, 4);
    // Every request is shorter than the shortest deadline, so none may end as unknown.
    world.long_requests = 0;
    world.run_for(seconds(3));
    let since = world.now;
    for host in 0..4 {
        world.request_stop(host);
        wait_for_stop(&mut world, host);
        world.run_for(Duration::from_millis(500));
        world.start_host(host);
        world.run_for(seconds(2));
    }
    world.finish();
    let counts = world.counts(since);
    assert_serving(&counts);
    // The answer to a duplicate is at the host that took the id first, which may have restarted since.
    let is_unexpected = |outcome: &Outcome| matches!(outcome, Outcome::Unknown(reason) if *reason != UnknownReason::Duplicate);
    let unknown: Vec<_> = world
        .calls
        .iter()
        .filter(|call| {
            call.sent_at >= since && call.outcomes.iter().any(|(_, outcome)| is_unexpected(outcome))
        })
        .collect();
    assert!(unknown.is_empty(), "{counts:?}; {unknown:?}");
}

/// Guards against a planned stop that never ends when the log is down.
#[test]
fn planned_stop_ends_without_the_log() {
    let mut world = serving_world(95, 3);
    world.begin_fault(Fault::LogDown, 0);
    world.run_for(seconds(1));
    world.request_stop(1);
    wait_for_stop(&mut world, 1);
    world.finish();
}

/// Guards against leases that stay blocked when a host crashes during its planned stop.
#[test]
fn crash_during_a_planned_stop_keeps_invariants() {
    let mut world = serving_world(100, 3);
    let faults = [(1_000, Fault::StopAndKill(0), 30), (6_000, Fault::StopAndKill(1), 200)];
    assert_recovers(&mut world, &faults, seconds(14));
}

/// Runs until a planned stop has ended; its limit covers the longest deadline of the load, the run limit and the log.
fn wait_for_stop(world: &mut World, host: usize) {
    let requested_at = world.now;
    while world.nodes[host].stopped_at.is_none() {
        world.run_for(Duration::from_millis(100));
        assert!(world.now.since(requested_at) < seconds(20), "host {host} did not finish its planned stop");
    }
}
