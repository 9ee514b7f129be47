//! Shard owner alone, one rule a test.

mod fleet;

use std::collections::BTreeSet;
use std::time::Duration;

use assert_matches::assert_matches;
use fleet::{name, seconds};
use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use yuccahoist::duty::Duty;
use yuccahoist::id::{Attempt, Epoch, Incarnation, ShardId, Subject, TaskId, TaskIndex, TeamId};
use yuccahoist::job::{
    JobKind, Priority, ShardReplyBody, ShardRequest, ShardRequestBody, TaskOrder, TaskState, WaitReason,
    partition_of,
};
use yuccahoist::ownership::{Grant, Share};
use yuccahoist::placement::*;
use yuccahoist::unit::{Resources, Timestamp};

const COORDINATOR: Incarnation = Incarnation(7);
const EXPIRES: Duration = Duration::from_secs(2);

/// Shard owner of one rack with two workers of 8 cores.
struct Owner {
    placement: Placement,
    rng: ChaCha8Rng,
    now: Timestamp,
}

impl Owner {
    /// Owner that was granted the shard; earlier owners may have started tasks until `settled`.
    fn new(settled: Timestamp, share: Share, tasks: bool) -> (Self, Vec<PlacementAction>) {
        let mut owner =
            Self { placement: Placement::new(), rng: ChaCha8Rng::seed_from_u64(1), now: seconds(100) };
        let spec = |worker: &str| WorkerSpec {
            worker: name(worker),
            shard: name("rack"),
            zone: name("zone"),
            capacity: Resources::new(8_000, 8_000, 0),
        };
        owner.event(PlacementEvent::Workers(vec![spec("w-1"), spec("w-2")]));
        let team: TeamId = name("team");
        owner.event(PlacementEvent::Partitions([(team.clone(), partition_of(&team))].into()));
        let out = owner.grant(settled, share, tasks);
        (owner, out)
    }

    /// Owner whose workers have answered with empty inventories.
    fn ready() -> Self {
        let (mut owner, _) = Self::new(seconds(90), Share::Full, true);
        owner.answer_all();
        owner
    }

    fn grant(&mut self, settled: Timestamp, share: Share, tasks: bool) -> Vec<PlacementAction> {
        let subject = Subject::Shard(name("rack"));
        let until = self.now + Duration::from_secs(1_000);
        let grant = Grant { subject, epoch: Epoch(5), share, tasks, until, settled };
        self.event(PlacementEvent::Granted { shard: name("rack"), grant })
    }

    fn event(&mut self, event: PlacementEvent) -> Vec<PlacementAction> {
        let mut out = Vec::new();
        self.placement.handle(self.now, event, &mut self.rng, &mut out);
        out
    }

    fn wait(&mut self, time: Duration) -> Vec<PlacementAction> {
        self.now = self.now + time;
        self.event(PlacementEvent::Tick)
    }

    /// Waits in steps and answers each command with the inventory.
    fn wait_answering(&mut self, time: Duration, inventory: &Inventory) -> Vec<PlacementAction> {
        let end = self.now + time;
        let mut all = Vec::new();
        while self.now < end {
            let out = self.wait(Duration::from_millis(250));
            all.extend(self.answer(&out, inventory));
            all.extend(out);
        }
        all
    }

    fn answer(&mut self, out: &[PlacementAction], inventory: &Inventory) -> Vec<PlacementAction> {
        let mut replies = Vec::new();
        for (worker, ticket, _) in commands(out) {
            let mut inventory = inventory.clone();
            inventory.tasks.retain(|_| worker == name("w-1"));
            replies.extend(self.event(PlacementEvent::Done { worker, ticket, inventory }));
        }
        replies
    }

    fn answer_all(&mut self) {
        self.wait_answering(Duration::from_millis(500), &Inventory::default());
    }

    fn request(&mut self, epoch: u64, body: ShardRequestBody) -> Vec<PlacementAction> {
        let shard: ShardId = name("rack");
        let partition = partition_of(&name("team"));
        let request = ShardRequest { partition, epoch: Epoch(epoch), shard, body };
        self.event(PlacementEvent::Request { from: COORDINATOR, request })
    }

    fn reserve(&mut self, epoch: u64, reservation: u64, tasks: &[TaskOrder]) -> Vec<PlacementAction> {
        let tasks = tasks.to_vec();
        let body = ShardRequestBody::Reserve { reservation, tasks, partial: false, expires: EXPIRES };
        self.request(epoch, body)
    }

    fn free(&self) -> u64 {
        ["w-1", "w-2"].iter().map(|id| self.placement.free(&name(id)).unwrap_or_default().cpu.0).sum()
    }
}

fn key(index: u32, counter: u64) -> (TaskId, Attempt) {
    (TaskId { job: name("job"), index: TaskIndex(index) }, Attempt { epoch: Epoch(3), counter })
}

fn order(index: u32, cpu: u64) -> TaskOrder {
    let (task, attempt) = key(index, u64::from(index));
    TaskOrder {
        task,
        attempt,
        team: name("team"),
        kind: JobKind::Batch,
        priority: Priority(0),
        resources: Resources::new(cpu, 100, 0),
        avoid: BTreeSet::new(),
    }
}

fn commands(out: &[PlacementAction]) -> Vec<(yuccahoist::id::WorkerId, u64, WorkerCommand)> {
    let command = |action: &PlacementAction| match action {
        PlacementAction::Command { worker, ticket, command, .. } => {
            Some((worker.clone(), *ticket, command.clone()))
        }
        _ => None,
    };
    out.iter().filter_map(command).collect()
}

fn starts(out: &[PlacementAction]) -> Vec<TaskStart> {
    let start = |(_, _, command)| match command {
        WorkerCommand::Start(start) => Some(start),
        _ => None,
    };
    commands(out).into_iter().filter_map(start).collect()
}

fn replies(out: &[PlacementAction]) -> Vec<ShardReplyBody> {
    let reply = |action: &PlacementAction| match action {
        PlacementAction::Reply { reply, .. } => Some(reply.body.clone()),
        _ => None,
    };
    out.iter().filter_map(reply).collect()
}

fn running(start: &TaskStart) -> Inventory {
    let task = InventoryTask { start: start.clone(), state: WorkerTaskState::Running, usage: None };
    Inventory { tasks: vec![task] }
}

/// Guards against starts on a worker whose earlier tasks are not known.
#[test]
fn nothing_starts_before_an_inventory_that_was_sent_after_settled() {
    let (mut owner, early) = Owner::new(seconds(103), Share::Full, true);
    assert!(!commands(&early).is_empty(), "asks for inventories at once, to renew leases");
    owner.answer(&early, &Inventory::default());
    assert_matches!(replies(&owner.reserve(1, 1, &[order(0, 1_000)]))[..], [ShardReplyBody::Refused { .. }]);
    owner.wait(Duration::from_secs(4));
    // The answer to the early command arrives a second time, after the time.
    owner.answer(&early, &Inventory::default());
    assert_matches!(replies(&owner.reserve(1, 2, &[order(1, 1_000)]))[..], [ShardReplyBody::Refused { .. }]);
    owner.wait_answering(Duration::from_secs(3), &Inventory::default());
    assert_matches!(replies(&owner.reserve(1, 3, &[order(2, 1_000)]))[..], [ShardReplyBody::Reserved { .. }]);
}

/// Guards against grants on top of tasks that an earlier owner started.
#[test]
fn inventory_recovers_the_ledger() {
    let (mut owner, _) = Owner::new(seconds(90), Share::Full, true);
    let start = TaskStart {
        epoch: Epoch(2),
        task: key(0, 0).0,
        attempt: key(0, 0).1,
        team: name("team"),
        kind: JobKind::Batch,
        priority: Priority(0),
        resources: Resources::new(6_000, 100, 0),
        lease_ms: 30_000,
    };
    owner.wait_answering(Duration::from_secs(1), &running(&start));
    assert_eq!(owner.free(), 10_000);
    let replies = replies(&owner.request(9, ShardRequestBody::List));
    assert_matches!(&replies[..], [ShardReplyBody::Tasks { tasks, complete: true, .. }] if tasks.len() == 1);
}

/// Guards against a coordinator that was replaced and still reserves or commits.
#[test]
fn older_partition_epochs_are_refused() {
    let mut owner = Owner::ready();
    owner.reserve(3, 1, &[order(0, 1_000)]);
    owner.request(4, ShardRequestBody::List);
    assert_eq!(owner.free(), 16_000, "reservations of the earlier coordinator end at once");
    let out = owner.request(3, ShardRequestBody::Commit { reservation: 1 });
    assert_eq!(starts(&out), []);
    let stale = WaitReason::StaleCoordinator;
    assert_eq!(replies(&out), [ShardReplyBody::Refused { reservation: 1, reason: stale.clone() }]);
    let out = owner.reserve(3, 2, &[order(1, 1_000)]);
    assert_eq!(replies(&out), [ShardReplyBody::Refused { reservation: 2, reason: stale }]);
}

/// Guards against capacity that a dead coordinator keeps for ever.
#[test]
fn reservations_end_by_themselves() {
    let mut owner = Owner::ready();
    owner.reserve(3, 1, &[order(0, 8_000), order(1, 8_000)]);
    assert_eq!(owner.free(), 0);
    owner.wait_answering(EXPIRES, &Inventory::default());
    assert_eq!(owner.free(), 16_000);
    let out = owner.request(3, ShardRequestBody::Commit { reservation: 1 });
    assert_eq!(starts(&out), []);
    let reason = WaitReason::ReservationExpired;
    assert_matches!(&replies(&out)[..], [ShardReplyBody::Refused { reason: found, .. }] if *found == reason);
}

/// Guards against tasks that start twice or capacity that is counted twice when a message is doubled.
#[test]
fn doubled_requests_have_one_effect() {
    let mut owner = Owner::ready();
    for _ in 0..2 {
        assert_matches!(
            replies(&owner.reserve(3, 1, &[order(0, 3_000)]))[..],
            [ShardReplyBody::Reserved { .. }]
        );
    }
    assert_eq!(owner.free(), 13_000);
    let first = owner.request(3, ShardRequestBody::Commit { reservation: 1 });
    let second = owner.request(3, ShardRequestBody::Commit { reservation: 1 });
    let late = owner.reserve(3, 1, &[order(0, 3_000)]);
    assert_eq!([starts(&first).len(), starts(&second).len(), starts(&late).len()], [1, 0, 0]);
    assert_eq!(replies(&second), []);
    owner.request(3, ShardRequestBody::Release { reservation: 1 });
    assert_eq!(owner.free(), 13_000);
}

/// Guards against stops that have an effect on something else when they are repeated, late or early.
#[test]
fn stops_are_idempotent() {
    let mut owner = Owner::ready();
    owner.reserve(3, 1, &[order(0, 3_000)]);
    let start = starts(&owner.request(3, ShardRequestBody::Commit { reservation: 1 })).remove(0);
    let stop = || ShardRequestBody::Stop { tasks: vec![key(0, 0), key(9, 9)] };
    let out = owner.request(3, stop());
    assert_eq!(commands(&out).iter().filter(|(_, _, c)| matches!(c, WorkerCommand::Stop { .. })).count(), 1);
    assert_eq!(replies(&out), [ShardReplyBody::Absent { tasks: vec![key(9, 9)] }]);
    let again = owner.request(3, stop());
    assert_eq!(commands(&again), [], "a repeated stop waits for the first");
    assert_eq!(owner.free(), 13_000, "a stopped task counts until its end is known");
    let mut ended = running(&start);
    ended.tasks[0].state = WorkerTaskState::Stopped;
    owner.wait_answering(Duration::from_secs(1), &ended);
    assert_eq!(owner.free(), 16_000);
    let out = owner.request(3, stop());
    assert_matches!(&replies(&out)[..], [ShardReplyBody::Changed(report), ShardReplyBody::Absent { .. }]
        if report.state == TaskState::Stopped);
    // The order of an attempt that was stopped before it arrived is never placed.
    let mut late = order(9, 1_000);
    late.attempt = key(9, 9).1;
    assert_matches!(replies(&owner.reserve(3, 2, &[late]))[..], [ShardReplyBody::Refused { .. }]);
}

/// Guards against capacity that is given again while a start of unknown effect may still arrive.
#[test]
fn unknown_starts_count_until_a_later_inventory() {
    let mut owner = Owner::ready();
    owner.reserve(3, 1, &[order(0, 8_000)]);
    let out = owner.request(3, ShardRequestBody::Commit { reservation: 1 });
    let (worker, ticket, _) = commands(&out).remove(0);
    owner.event(PlacementEvent::Failed { worker, ticket });
    owner.wait_answering(Duration::from_secs(1), &Inventory::default());
    assert_eq!(
        owner.free(),
        8_000,
        "an inventory that was sent before the start had to arrive proves nothing"
    );
    let out = owner.wait_answering(Duration::from_secs(2), &Inventory::default());
    assert_eq!(owner.free(), 16_000);
    let lapsed =
        |body: &ShardReplyBody| matches!(body, ShardReplyBody::Changed(r) if r.state == TaskState::Lapsed);
    assert!(replies(&out).iter().any(lapsed));
}

/// Guards against a second attempt while the worker may still run the first under its lease.
#[test]
fn leases_lapse_only_after_lease_and_margin() {
    let mut owner = Owner::ready();
    owner.reserve(3, 1, &[order(0, 8_000)]);
    let out = owner.request(3, ShardRequestBody::Commit { reservation: 1 });
    let start = starts(&out).remove(0);
    owner.answer(&out, &running(&start));
    let mut last = owner.now;
    let mut renewals = 0;
    for _ in 0..48 {
        let out = owner.wait_answering(Duration::from_millis(250), &running(&start));
        if commands(&out).iter().any(|(_, _, c)| matches!(c, WorkerCommand::Renew { .. })) {
            last = owner.now;
            renewals += 1;
        }
    }
    assert_eq!(renewals, 1);
    // From here on the worker does not answer.
    let silent = owner.now;
    while owner.free() == 8_000 || owner.free() == 16_000 && owner.now == silent {
        let out = owner.wait(Duration::from_millis(250));
        if commands(&out).iter().any(|(_, _, c)| matches!(c, WorkerCommand::Renew { .. })) {
            last = owner.now;
        }
        assert!(owner.now.since(silent) < Duration::from_secs(60), "capacity is lost for ever");
    }
    assert!(owner.now.since(last) >= Duration::from_secs(33), "{:?}", owner.now.since(last));
}

/// Guards against tasks that lapse, or new ones that start, while the log is down.
#[test]
fn reduced_share_renews_but_starts_nothing() {
    let mut owner = Owner::ready();
    owner.reserve(3, 1, &[order(0, 8_000)]);
    let out = owner.request(3, ShardRequestBody::Commit { reservation: 1 });
    let start = starts(&out).remove(0);
    owner.answer(&out, &running(&start));
    owner.grant(seconds(90), Share::Reduced, false);
    assert_matches!(replies(&owner.reserve(3, 2, &[order(1, 1_000)]))[..], [ShardReplyBody::Refused { .. }]);
    let out = owner.wait_answering(Duration::from_secs(31), &running(&start));
    let renewals = commands(&out).into_iter().filter(|(_, _, c)| matches!(c, WorkerCommand::Renew { .. }));
    assert!(renewals.count() >= 2);
    assert_eq!(starts(&out), []);
}

/// Guards against an owner that frees a worker while the replaced owner may still renew its leases.
#[test]
fn unreachable_workers_lapse_only_with_evidence() {
    for (share, lapsed) in [(Share::Full, true), (Share::Remainder, false)] {
        let (mut owner, _) = Owner::new(seconds(99), share, true);
        for _ in 0..80 {
            owner.wait(Duration::from_millis(500));
        }
        let replies = replies(&owner.request(3, ShardRequestBody::List));
        assert_matches!(&replies[..], [ShardReplyBody::Tasks { complete, .. }] if *complete == lapsed);
    }
}

/// Guards against usage reports that free declared capacity.
#[test]
fn usage_only_reserves_more() {
    for (used, free) in [(500, 12_000), (4_000, 12_000), (7_000, 9_000), (30_000, 8_000)] {
        let mut owner = Owner::ready();
        owner.reserve(3, 1, &[order(0, 4_000)]);
        let out = owner.request(3, ShardRequestBody::Commit { reservation: 1 });
        let mut inventory = running(&starts(&out)[0]);
        inventory.tasks[0].usage = Some(Resources::new(used, 100, 0));
        owner.answer(&out, &inventory);
        assert_eq!(owner.free(), free, "used {used}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_260_802),
        failure_persistence: Some(Box::new(
            proptest::test_runner::FileFailurePersistence::WithSource("regressions"),
        )),
        ..ProptestConfig::default()
    })]

    /// Guards against an index that misses room, or places where there is none, against a scan of all workers.
    #[test]
    fn index_agrees_with_a_scan(
        workers in prop::collection::vec((0_u64..16_000, 0_u64..64_000, 0_u32..4, any::<bool>()), 1..40),
        changes in prop::collection::vec((0_usize..40, 0_u64..16_000, 0_u64..64_000), 0..60),
        need in (0_u64..9_000, 0_u64..30_000, 0_u32..3),
    ) {
        let mut index = WorkerIndex::default();
        let mut slots = Vec::new();
        for (number, (cpu, memory, accelerators, open)) in workers.iter().enumerate() {
            let slot = index.insert(WorkerSpec {
                worker: name(&format!("w-{number}")),
                shard: name(&format!("r-{}", number % 5)),
                zone: name(&format!("z-{}", number % 2)),
                capacity: Resources::new(16_000, 64_000, 4),
            });
            index.set(slot, Resources::new(*cpu, *memory, *accelerators), *open);
            slots.push(slot);
        }
        for (position, cpu, memory) in changes {
            let slot = slots[position % slots.len()];
            let accelerators = index.entry(slot).free.accelerators.0;
            index.set(slot, Resources::new(cpu, memory, accelerators), cpu % 3 > 0);
        }
        let need = Resources::new(need.0, need.1, need.2);
        let possible = index.entries().iter().any(|entry| entry.takes(need));
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let policies: [Box<dyn PlacementPolicy>; 4] =
            [Box::new(Packing), Box::new(FirstFit), Box::new(RandomFit), Box::new(LinearScan)];
        for kind in [JobKind::Service, JobKind::Batch, JobKind::Gang] {
            for policy in &policies {
                let order = TaskOrder { kind, resources: need, ..order(0, 0) };
                let choice = policy.choose(&order, &Siblings::default(), &index, &mut rng);
                prop_assert_eq!(choice.chosen.is_some(), possible, "{:?} {:?}", policy, kind);
                if let Some(slot) = choice.chosen {
                    prop_assert!(index.entry(slot).takes(need));
                }
            }
        }
    }
}
