//! Placement rules of a single shard owner; each test covers one rule.

mod fleet;

use std::collections::BTreeSet;
use std::time::Duration;

use assert_matches::assert_matches;
use fleet::{parse_id, seconds};
use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use yuccahoist::id::{Attempt, Epoch, Incarnation, ShardId, Subject, TaskId, TaskIndex, TeamId};
use yuccahoist::job::{
    JobKind, Priority, ShardReplyBody, ShardRequest, ShardRequestBody, TaskRequest, TaskState, WaitReason,
    team_partition,
};
use yuccahoist::ownership::{Grant, Share};
use yuccahoist::placement::*;
use yuccahoist::state_machine::StateMachine;
use yuccahoist::unit::{Resources, Timestamp};

const COORDINATOR: Incarnation = Incarnation(7);
const RESERVATION_LIFETIME: Duration = Duration::from_secs(2);

/// Shard owner of one rack with two workers of 8 cores each.
struct Owner {
    placement: Placement,
    rng: ChaCha8Rng,
    now: Timestamp,
}

impl Owner {
    /// Creates an owner to which the shard is granted; earlier owners may have started tasks until `settled_at`.
    fn new(settled_at: Timestamp, share: Share, may_start_tasks: bool) -> (Self, Vec<PlacementAction>) {
        let mut owner =
            Self { placement: Placement::new(), rng: ChaCha8Rng::seed_from_u64(1), now: seconds(100) };
        let spec = |worker: &str| WorkerSpec {
            worker: parse_id(worker),
            shard: parse_id("rack"),
            zone: parse_id("zone"),
            capacity: Resources::new(8_000, 8_000, 0),
        };
        owner.handle(PlacementEvent::Workers(vec![spec("w-1"), spec("w-2")]));
        let team: TeamId = parse_id("team");
        owner.handle(PlacementEvent::Partitions([(team.clone(), team_partition(&team))].into()));
        let out = owner.grant(settled_at, share, may_start_tasks);
        (owner, out)
    }

    /// Creates an owner with a full share whose workers have returned empty inventories.
    fn ready() -> Self {
        let (mut owner, _) = Self::new(seconds(90), Share::Full, true);
        owner.complete_all();
        owner
    }

    fn grant(&mut self, settled_at: Timestamp, share: Share, may_start_tasks: bool) -> Vec<PlacementAction> {
        let subject = Subject::Shard(parse_id("rack"));
        let valid_until = self.now + Duration::from_secs(1_000);
        let grant = Grant { subject, epoch: Epoch(5), share, may_start_tasks, valid_until, settled_at };
        self.handle(PlacementEvent::Granted { shard: parse_id("rack"), grant })
    }

    fn handle(&mut self, event: PlacementEvent) -> Vec<PlacementAction> {
        let mut out = Vec::new();
        self.placement.handle(self.now, event, &mut self.rng, &mut out);
        out
    }

    fn advance(&mut self, time: Duration) -> Vec<PlacementAction> {
        self.now = self.now + time;
        self.handle(PlacementEvent::Tick)
    }

    /// Advances the clock in steps of 250 ms and completes each command with the inventory.
    fn advance_and_complete(&mut self, time: Duration, inventory: &Inventory) -> Vec<PlacementAction> {
        let end = self.now + time;
        let mut all = Vec::new();
        while self.now < end {
            let out = self.advance(Duration::from_millis(250));
            all.extend(self.complete(&out, inventory));
            all.extend(out);
        }
        all
    }

    /// Completes each command with the inventory; only `w-1` holds its tasks.
    fn complete(&mut self, out: &[PlacementAction], inventory: &Inventory) -> Vec<PlacementAction> {
        let mut replies = Vec::new();
        for (worker, ticket, _) in commands(out) {
            let mut inventory = inventory.clone();
            inventory.tasks.retain(|_| worker == parse_id("w-1"));
            replies.extend(self.handle(PlacementEvent::CommandSucceeded { worker, ticket, inventory }));
        }
        replies
    }

    fn complete_all(&mut self) {
        self.advance_and_complete(Duration::from_millis(500), &Inventory::default());
    }

    fn request(&mut self, epoch: u64, body: ShardRequestBody) -> Vec<PlacementAction> {
        let shard: ShardId = parse_id("rack");
        let partition = team_partition(&parse_id("team"));
        let request = ShardRequest { partition, epoch: Epoch(epoch), shard, body };
        self.handle(PlacementEvent::Request { from: COORDINATOR, request })
    }

    fn reserve(&mut self, epoch: u64, reservation: u64, tasks: &[TaskRequest]) -> Vec<PlacementAction> {
        let tasks = tasks.to_vec();
        let body =
            ShardRequestBody::Reserve { reservation, tasks, partial: false, lifetime: RESERVATION_LIFETIME };
        self.request(epoch, body)
    }

    fn free_cpu(&self) -> u64 {
        ["w-1", "w-2"]
            .iter()
            .map(|id| self.placement.free_capacity(&parse_id(id)).unwrap_or_default().cpu.0)
            .sum()
    }
}

fn key(index: u32, counter: u64) -> (TaskId, Attempt) {
    (TaskId { job: parse_id("job"), index: TaskIndex(index) }, Attempt { epoch: Epoch(3), counter })
}

fn task_request(index: u32, cpu: u64) -> TaskRequest {
    let (task, attempt) = key(index, u64::from(index));
    TaskRequest {
        task,
        attempt,
        team: parse_id("team"),
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

fn running_inventory(start: &TaskStart) -> Inventory {
    let task = InventoryTask { start: start.clone(), state: WorkerTaskState::Running, usage: None };
    Inventory { tasks: vec![task] }
}

/// Guards against starts on a worker while tasks that an earlier owner started there may be unknown.
#[test]
fn tasks_start_only_after_an_inventory_requested_after_settled() {
    let (mut owner, early) = Owner::new(seconds(103), Share::Full, true);
    assert!(!commands(&early).is_empty(), "inventories are requested at once, so that leases can be renewed");
    owner.complete(&early, &Inventory::default());
    assert_matches!(
        replies(&owner.reserve(1, 1, &[task_request(0, 1_000)]))[..],
        [ShardReplyBody::Refused { .. }]
    );
    owner.advance(Duration::from_secs(4));
    // The result of the early command arrives again after `settled_at`.
    owner.complete(&early, &Inventory::default());
    assert_matches!(
        replies(&owner.reserve(1, 2, &[task_request(1, 1_000)]))[..],
        [ShardReplyBody::Refused { .. }]
    );
    owner.advance_and_complete(Duration::from_secs(3), &Inventory::default());
    assert_matches!(
        replies(&owner.reserve(1, 3, &[task_request(2, 1_000)]))[..],
        [ShardReplyBody::Reserved { .. }]
    );
}

/// Guards against reservations of capacity that tasks of an earlier owner use.
#[test]
fn inventory_recovers_the_ledger() {
    let (mut owner, _) = Owner::new(seconds(90), Share::Full, true);
    let start = TaskStart {
        epoch: Epoch(2),
        task: key(0, 0).0,
        attempt: key(0, 0).1,
        team: parse_id("team"),
        kind: JobKind::Batch,
        priority: Priority(0),
        resources: Resources::new(6_000, 100, 0),
        lease_ms: 30_000,
    };
    owner.advance_and_complete(Duration::from_secs(1), &running_inventory(&start));
    assert_eq!(owner.free_cpu(), 10_000);
    let replies = replies(&owner.request(9, ShardRequestBody::List));
    assert_matches!(&replies[..], [ShardReplyBody::Tasks { tasks, complete: true, .. }] if tasks.len() == 1);
}

/// Guards against a replaced coordinator that still reserves or commits.
#[test]
fn older_partition_epochs_are_refused() {
    let mut owner = Owner::ready();
    owner.reserve(3, 1, &[task_request(0, 1_000)]);
    owner.request(4, ShardRequestBody::List);
    assert_eq!(owner.free_cpu(), 16_000, "reservations of the replaced coordinator are released at once");
    let out = owner.request(3, ShardRequestBody::Commit { reservation: 1 });
    assert_eq!(starts(&out), []);
    let stale = WaitReason::StaleCoordinator;
    assert_eq!(replies(&out), [ShardReplyBody::Refused { reservation: 1, reason: stale.clone() }]);
    let out = owner.reserve(3, 2, &[task_request(1, 1_000)]);
    assert_eq!(replies(&out), [ShardReplyBody::Refused { reservation: 2, reason: stale }]);
}

/// Guards against capacity that stays reserved after its coordinator failed.
#[test]
fn uncommitted_reservations_expire() {
    let mut owner = Owner::ready();
    owner.reserve(3, 1, &[task_request(0, 8_000), task_request(1, 8_000)]);
    assert_eq!(owner.free_cpu(), 0);
    owner.advance_and_complete(RESERVATION_LIFETIME, &Inventory::default());
    assert_eq!(owner.free_cpu(), 16_000);
    let out = owner.request(3, ShardRequestBody::Commit { reservation: 1 });
    assert_eq!(starts(&out), []);
    let reason = WaitReason::ReservationExpired;
    assert_matches!(&replies(&out)[..], [ShardReplyBody::Refused { reason: found, .. }] if *found == reason);
}

/// Guards against a duplicate message that starts a task twice or charges its capacity twice.
#[test]
fn duplicate_requests_have_one_effect() {
    let mut owner = Owner::ready();
    for _ in 0..2 {
        assert_matches!(
            replies(&owner.reserve(3, 1, &[task_request(0, 3_000)]))[..],
            [ShardReplyBody::Reserved { .. }]
        );
    }
    assert_eq!(owner.free_cpu(), 13_000);
    let first = owner.request(3, ShardRequestBody::Commit { reservation: 1 });
    let second = owner.request(3, ShardRequestBody::Commit { reservation: 1 });
    let late = owner.reserve(3, 1, &[task_request(0, 3_000)]);
    assert_eq!([starts(&first).len(), starts(&second).len(), starts(&late).len()], [1, 0, 0]);
    assert_eq!(replies(&second), []);
    owner.request(3, ShardRequestBody::Release { reservation: 1 });
    assert_eq!(owner.free_cpu(), 13_000);
}

/// Guards against side effects of a stop that is repeated, or arrives after the end or before the request of its
/// attempt.
#[test]
fn stops_are_idempotent() {
    let mut owner = Owner::ready();
    owner.reserve(3, 1, &[task_request(0, 3_000)]);
    let start = starts(&owner.request(3, ShardRequestBody::Commit { reservation: 1 })).remove(0);
    let stop = || ShardRequestBody::Stop { tasks: vec![key(0, 0), key(9, 9)] };
    let out = owner.request(3, stop());
    assert_eq!(commands(&out).iter().filter(|(_, _, c)| matches!(c, WorkerCommand::Stop { .. })).count(), 1);
    assert_eq!(replies(&out), [ShardReplyBody::Absent { tasks: vec![key(9, 9)] }]);
    let again = owner.request(3, stop());
    assert_eq!(commands(&again), [], "a repeated stop sends no second command");
    assert_eq!(
        owner.free_cpu(),
        13_000,
        "a task with a pending stop stays charged until its end is reported"
    );
    let mut ended = running_inventory(&start);
    ended.tasks[0].state = WorkerTaskState::Stopped;
    owner.advance_and_complete(Duration::from_secs(1), &ended);
    assert_eq!(owner.free_cpu(), 16_000);
    let out = owner.request(3, stop());
    assert_matches!(&replies(&out)[..], [ShardReplyBody::Changed(report), ShardReplyBody::Absent { .. }]
        if report.state == TaskState::Stopped);
    // The request for an attempt that was stopped before the request arrived is never placed.
    let mut late = task_request(9, 1_000);
    late.attempt = key(9, 9).1;
    assert_matches!(replies(&owner.reserve(3, 2, &[late]))[..], [ShardReplyBody::Refused { .. }]);
}

/// Guards against capacity that is freed while a failed start command may still take effect.
#[test]
fn failed_starts_stay_charged_until_a_later_inventory() {
    let mut owner = Owner::ready();
    owner.reserve(3, 1, &[task_request(0, 8_000)]);
    let out = owner.request(3, ShardRequestBody::Commit { reservation: 1 });
    let (worker, ticket, _) = commands(&out).remove(0);
    owner.handle(PlacementEvent::CommandFailed { worker, ticket });
    owner.advance_and_complete(Duration::from_secs(1), &Inventory::default());
    assert_eq!(
        owner.free_cpu(),
        8_000,
        "an inventory that was requested while the start could still take effect frees nothing"
    );
    let out = owner.advance_and_complete(Duration::from_secs(2), &Inventory::default());
    assert_eq!(owner.free_cpu(), 16_000);
    let lapsed =
        |body: &ShardReplyBody| matches!(body, ShardReplyBody::Changed(r) if r.state == TaskState::Lapsed);
    assert!(replies(&out).iter().any(lapsed));
}

/// Guards against a second attempt while the worker may still run the first one under its lease.
#[test]
fn tasks_lapse_only_after_lease_and_margin() {
    let mut owner = Owner::ready();
    owner.reserve(3, 1, &[task_request(0, 8_000)]);
    let out = owner.request(3, ShardRequestBody::Commit { reservation: 1 });
    let start = starts(&out).remove(0);
    owner.complete(&out, &running_inventory(&start));
    let mut last_renewal = owner.now;
    let mut renewals = 0;
    for _ in 0..48 {
        let out = owner.advance_and_complete(Duration::from_millis(250), &running_inventory(&start));
        if commands(&out).iter().any(|(_, _, c)| matches!(c, WorkerCommand::Renew { .. })) {
            last_renewal = owner.now;
            renewals += 1;
        }
    }
    assert_eq!(renewals, 1);
    // The worker is unresponsive from here on.
    let unresponsive_since = owner.now;
    while owner.free_cpu() == 8_000 || owner.free_cpu() == 16_000 && owner.now == unresponsive_since {
        let out = owner.advance(Duration::from_millis(250));
        if commands(&out).iter().any(|(_, _, c)| matches!(c, WorkerCommand::Renew { .. })) {
            last_renewal = owner.now;
        }
        assert!(owner.now.since(unresponsive_since) < Duration::from_secs(60), "capacity is never freed");
    }
    assert!(owner.now.since(last_renewal) >= Duration::from_secs(33), "{:?}", owner.now.since(last_renewal));
}

/// Guards against leases that expire, or tasks that start, while the log is unavailable and the share is reduced.
#[test]
fn reduced_share_renews_leases_but_starts_no_task() {
    let mut owner = Owner::ready();
    owner.reserve(3, 1, &[task_request(0, 8_000)]);
    let out = owner.request(3, ShardRequestBody::Commit { reservation: 1 });
    let start = starts(&out).remove(0);
    owner.complete(&out, &running_inventory(&start));
    owner.grant(seconds(90), Share::Reduced, false);
    assert_matches!(
        replies(&owner.reserve(3, 2, &[task_request(1, 1_000)]))[..],
        [ShardReplyBody::Refused { .. }]
    );
    let out = owner.advance_and_complete(Duration::from_secs(31), &running_inventory(&start));
    let renewals = commands(&out).into_iter().filter(|(_, _, c)| matches!(c, WorkerCommand::Renew { .. }));
    assert!(renewals.count() >= 2);
    assert_eq!(starts(&out), []);
}

/// Guards against capacity that is freed on an unreachable worker while a replaced owner may still renew leases there.
#[test]
fn unreachable_workers_are_freed_only_under_a_full_share() {
    for (share, expected) in [(Share::Full, true), (Share::Remainder, false)] {
        let (mut owner, _) = Owner::new(seconds(99), share, true);
        for _ in 0..80 {
            owner.advance(Duration::from_millis(500));
        }
        let replies = replies(&owner.request(3, ShardRequestBody::List));
        assert_matches!(&replies[..], [ShardReplyBody::Tasks { complete, .. }] if *complete == expected);
    }
}

/// Guards against reports of low usage that free declared capacity.
#[test]
fn usage_frees_no_declared_capacity() {
    for (used, expected) in [(500, 12_000), (4_000, 12_000), (7_000, 9_000), (30_000, 8_000)] {
        let mut owner = Owner::ready();
        owner.reserve(3, 1, &[task_request(0, 4_000)]);
        let out = owner.request(3, ShardRequestBody::Commit { reservation: 1 });
        let mut inventory = running_inventory(&starts(&out)[0]);
        inventory.tasks[0].usage = Some(Resources::new(used, 100, 0));
        owner.complete(&out, &inventory);
        assert_eq!(owner.free_cpu(), expected, "reported usage {used}");
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

    /// Guards against an index that misses a worker with room or returns one without; a scan of all workers is the
    /// reference.
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
                worker: parse_id(&format!("w-{number}")),
                shard: parse_id(&format!("r-{}", number % 5)),
                zone: parse_id(&format!("z-{}", number % 2)),
                capacity: Resources::new(16_000, 64_000, 4),
            });
            index.update(slot, Resources::new(*cpu, *memory, *accelerators), *open);
            slots.push(slot);
        }
        for (position, cpu, memory) in changes {
            let slot = slots[position % slots.len()];
            let accelerators = index.entry(slot).free.accelerators.0;
            index.update(slot, Resources::new(cpu, memory, accelerators), cpu % 3 > 0);
        }
        let need = Resources::new(need.0, need.1, need.2);
        let has_room = index.entries().iter().any(|entry| entry.has_room_for(need));
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let policies: [Box<dyn PlacementPolicy>; 4] =
            [Box::new(Packing), Box::new(FirstFit), Box::new(RandomFit), Box::new(LinearScan)];
        for kind in [JobKind::Service, JobKind::Batch, JobKind::Gang] {
            for policy in &policies {
                let request = TaskRequest { kind, resources: need, ..task_request(0, 0) };
                let choice = policy.choose(&request, &JobPlacement::default(), &index, &mut rng);
                prop_assert_eq!(choice.chosen.is_some(), has_room, "{:?} {:?}", policy, kind);
                if let Some(slot) = choice.chosen {
                    prop_assert!(index.entry(slot).has_room_for(need));
                }
            }
        }
    }
}
