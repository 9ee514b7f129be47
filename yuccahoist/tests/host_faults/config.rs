//! Configuration edits under faults: I8.

use std::time::Duration;

use crate::plan::Fault;
use crate::world::World;
use crate::{assert_recovers, seconds, serving_world};

/// Guards against edits that are not in force at every host in time, and against several accepted edits that are based
/// on the same revision.
#[test]
fn racing_edits_are_in_force_everywhere() {
    let mut world = serving_world(300, 4);
    let before = world.revision();
    let faults: Vec<_> = (1..=8)
        .map(|number| (number * 1_500, Fault::RacingEdits, 0))
        .chain([(4_000, Fault::Kill(0), 3_000)])
        .collect();
    assert_recovers(&mut world, &faults, seconds(18));
    assert_eq!(world.revision(), before + 8);
}

/// Guards against an edit without a verdict because the holder of partition 0 crashed or cannot reach its peers.
#[test]
fn edits_are_decided_without_the_holder() {
    for host in 0..3 {
        let mut world = serving_world(310 + host as u64, 3);
        let faults = [
            (1_000, Fault::Kill(host), 9_000),
            (1_010, Fault::Edit, 0),
            (12_000, Fault::BlockPeers(host), 5_000),
            (13_000, Fault::RacingEdits, 0),
        ];
        let before = world.revision();
        assert_recovers(&mut world, &faults, seconds(20));
        assert_eq!(world.revision(), before + 2);
    }
}

/// Guards against a restarted host that takes calls under an older revision while it still replays a long history.
#[test]
fn restarted_host_never_serves_an_older_revision() {
    let mut world = serving_world(320, 3);
    world.call_rate = 5.0;
    for _ in 0..25 {
        world.publish_edits(1);
        world.run_for(seconds(2));
    }
    assert!(world.revision() > 25);
    for slow in [0, 400] {
        world.log.added_latency = Duration::from_millis(slow);
        world.kill_host(1);
        world.start_host(1);
        world.run_for(seconds(6));
    }
    world.log.added_latency = Duration::ZERO;
    world.run_for(seconds(5));
    world.finish();
}

/// Guards against a snapshot that restores an older state, and against hosts that cannot start once the first records
/// of a stream are past retention.
#[test]
fn records_past_retention_are_covered_by_snapshots() {
    let mut world = World::with_retention(330, 3, Some(seconds(16)));
    world.call_rate = 20.0;
    world.run_for(seconds(8));
    for round in 0..6_u64 {
        world.publish_edits(2);
        world.run_for(seconds(5));
        let host = usize::try_from(round % 3).expect("index fits usize");
        world.kill_host(host);
        world.run_for(seconds(1));
        world.start_host(host);
        world.run_for(seconds(4));
        world.publish_edits(1);
        world.run_for(seconds(3));
    }
    assert!(
        world.log.earliest(yuccahoist::stream::StreamName::Config) > 0,
        "no configuration record passed retention"
    );
    assert_eq!(world.revision(), 13);
    assert_recovers(&mut world, &[], seconds(10));
}

/// Guards against losing the configuration when the log is down for longer than its retention time: all snapshots
/// expire, and only peers still hold it.
#[test]
fn outage_longer_than_retention_keeps_the_configuration() {
    let mut world = World::with_retention(340, 3, Some(seconds(16)));
    world.call_rate = 20.0;
    world.run_for(seconds(8));
    world.publish_edits(1);
    world.run_for(seconds(4));
    let before = world.revision();
    world.begin_fault(Fault::LogDown, 0);
    world.run_for(seconds(40));
    world.kill_host(0);
    world.run_for(seconds(1));
    world.start_host(0);
    world.run_for(seconds(5));
    world.log.down = false;
    world.log_recovered = world.now;
    world.run_for(seconds(15));
    world.publish_edits(1);
    assert_recovers(&mut world, &[], seconds(5));
    assert_eq!(world.revision(), before + 1);
}

/// Guards against a stale state from one peer that replaces the newer state from another: host 0 cannot read the last
/// edit, and the new host can ask only its peers.
#[test]
fn older_state_of_a_peer_is_ignored() {
    let mut world = serving_world(350, 3);
    world.call_rate = 5.0;
    world.begin_fault(Fault::BlockLog(0), 0);
    world.publish_edits(1);
    world.run_for(seconds(3));
    let revision = world.revision();
    world.begin_fault(Fault::LogDown, 0);
    world.run_for(seconds(2));
    let new = world.add_host();
    world.run_for(seconds(8));
    let status = world.nodes[new].host.as_ref().expect("new host runs").status();
    assert_eq!(status.hosts[0].revision.0, revision);
    world.nodes[0].log_blocked = false;
    world.nodes[0].healthy_since = world.now;
    world.log.down = false;
    world.log_recovered = world.now;
    world.run_for(seconds(8));
    world.call_rate = 50.0;
    assert_recovers(&mut world, &[], seconds(4));
}
