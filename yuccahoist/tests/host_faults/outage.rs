//! Outages of the log: what goes on and what stops.

use std::time::Duration;

use yuccahoist::event::{JobCall, JobReply};
use yuccahoist::job::JobKind;
use yuccahoist::request::{Class, Outcome, Refusal};

use crate::cell::job;
use crate::plan::Fault;
use crate::world::World;
use crate::{seconds, serves, serving, survives};

/// Ends an outage.
fn log_returns(world: &mut World) {
    world.log.down = false;
    world.log_sound = world.now;
}

/// Sends calls of one kind to all hosts; how many were answered, refused for the log, and had another outcome.
fn probe(world: &mut World, idempotent: bool) -> [usize; 3] {
    let load = std::mem::take(&mut world.load);
    let mut calls = Vec::new();
    for _ in 0..10 {
        for host in 0..world.nodes.len() {
            if world.runs(host) {
                let id = world.id();
                let body = format!("probe {id}");
                let call = world.call(host, (id, idempotent), Class::Batch, body.into(), seconds(3));
                calls.push(call);
            }
        }
        world.run(Duration::from_millis(200));
    }
    world.run(seconds(3));
    world.load = load;
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

/// Checks what goes on and what stops in an outage, while all hosts live.
fn outage_is_as_promised(world: &mut World) {
    let [answered, refused, other] = probe(world, true);
    assert!(
        answered >= 27 && refused == 0,
        "idempotent: {answered} answered, {refused} refused, {other} other"
    );
    let [answered, refused, other] = probe(world, false);
    assert_eq!((answered, other), (0, 0), "not idempotent; {refused} refused");
    let submit = world.job_call(0, JobCall::Submit(job("late", JobKind::Batch, 1, 1)));
    world.run(seconds(1));
    assert!(matches!(world.jobs[&submit][..], [(_, JobReply::Unavailable)]));
    let running: usize = world.workers.values().map(|worker| worker.running().count()).sum();
    assert_eq!(running, 4, "services go on");
}

/// Guards against an outage longer than every lease that stops idempotent requests or running tasks, lets requests run
/// twice, or takes jobs and edits that are not recorded.
#[test]
fn outage_stops_only_what_needs_the_log() {
    let mut world = serving(400, 3);
    let revision = world.revision();
    world.begin(Fault::LogDown, 0);
    let since = world.now;
    world.run(seconds(15));
    world.load = 5.0;
    outage_is_as_promised(&mut world);
    assert_eq!(world.revision(), revision);
    assert!(world.counts(since).answered > 100);
    log_returns(&mut world);
    world.run(seconds(5));
    world.load = 50.0;
    world.edit(1);
    survives(&mut world, &[], seconds(5));
    assert_eq!(world.revision(), revision + 1);
    let [answered, ..] = probe(&mut world, false);
    assert!(answered >= 27, "{answered} of 30 are answered after the outage");
}

/// Guards against leases, promises or task leases that run out within an hour without the log.
#[test]
fn outage_of_an_hour_is_survived() {
    let mut world = serving(410, 3);
    world.load = 0.0;
    world.run(seconds(3));
    world.begin(Fault::LogDown, 0);
    world.run(seconds(10));
    // Ticks are rarer than in the product, to bound the time of the test; the leases allow for it.
    world.step = Duration::from_millis(250);
    world.run(seconds(3_600));
    world.step = crate::world::STEP;
    world.run(seconds(1));
    outage_is_as_promised(&mut world);
    log_returns(&mut world);
    world.run(seconds(5));
    world.load = 50.0;
    survives(&mut world, &[], seconds(3));
}

/// Guards against an outage that stops the cell when a host dies: the others go on with a part of the slots.
#[test]
fn host_that_dies_in_an_outage_leaves_the_rest_serving() {
    let mut world = serving(420, 3);
    world.load = 10.0;
    world.begin(Fault::LogDown, 0);
    world.run(seconds(5));
    world.kill(0);
    world.run(seconds(10));
    let [answered, refused, other] = probe(&mut world, true);
    assert!(answered >= 18 && refused == 0, "{answered} answered, {refused} refused, {other} other");
    world.start(0);
    log_returns(&mut world);
    world.run(seconds(10));
    world.load = 50.0;
    survives(&mut world, &[], seconds(5));
}

/// Guards against a host that starts in an outage and cannot serve: it must get the configuration from the addresses
/// in its settings and forward idempotent requests.
#[test]
fn new_host_in_an_outage_serves_by_way_of_its_peers() {
    let mut world = serving(430, 3);
    world.load = 5.0;
    world.edit(1);
    world.run(seconds(4));
    let revision = world.revision();
    world.begin(Fault::LogDown, 0);
    world.run(seconds(5));
    let new = world.add();
    world.run(seconds(3));
    let host = world.nodes[new].host.as_ref().expect("runs");
    assert!(host.is_ready(), "the new host is not ready");
    assert_eq!(host.status().hosts[0].revision.0, revision);
    let since = world.now;
    let mut calls = Vec::new();
    for _ in 0..20 {
        let id = world.id();
        let body = format!("new {id}");
        calls.push(world.call(new, (id, true), Class::Urgent, body.into(), seconds(2)));
        world.run(Duration::from_millis(100));
    }
    world.run(seconds(2));
    let answered = |call: &&usize| matches!(world.calls[**call].outcomes[..], [(_, Outcome::Answered(_))]);
    assert!(calls.iter().filter(answered).count() >= 18, "{:?}", world.counts(since));
    log_returns(&mut world);
    world.run(seconds(10));
    world.load = 50.0;
    survives(&mut world, &[], seconds(5));
}

/// Guards against a log that answers late: leases must not be used past their end, and work goes on.
#[test]
fn slow_log_breaks_nothing() {
    let mut world = serving(440, 3);
    let since = world.now;
    world.run_with(&[(500, Fault::LogSlow, 12_000), (3_000, Fault::Kill(1), 2_000)], seconds(13));
    assert!(world.counts(since).answered > 100);
    survives(&mut world, &[], seconds(6));
}

/// Guards against a record that counts twice, or is taken as lost, when the answer to its append is lost or the append
/// takes effect late.
#[test]
fn lost_answers_of_the_log_break_nothing() {
    for (seed, fault) in [(450, Fault::LoseAppends), (451, Fault::LateAppends)] {
        let mut world = serving(seed, 3);
        let plans = [(500, fault, 9_000), (2_000, Fault::Kill(0), 3_000), (3_000, Fault::RacingEdits, 0)];
        survives(&mut world, &plans, seconds(16));
        serves(&world.counts(world.now - seconds(10)));
    }
}
