//! Preemption of tasks of lower priority.

use super::{Placement, THROTTLE_DIVISOR};
use crate::id::{ShardId, WorkerId};
use crate::job::{JobKind, ShardReplyBody, TaskRequest, TaskState, WaitReason};
use crate::placement::message::{PlacementAction, PlacementDecision, WorkerCommand};
use crate::placement::worker_ledger::{Allocation, AttemptKey, Ledger, StopRequest};
use crate::unit::{CpuMillis, Resources, Timestamp};

/// Tasks to preempt on a worker, and how.
struct PreemptionPlan {
    victims: Vec<AttemptKey>,
    /// Whether the victims are throttled instead of stopped.
    throttle_only: bool,
}

impl Placement {
    /// Reserves resources for one task on a worker, and throttles or stops tasks of lower priority there.
    ///
    /// Returns the worker; none when preemption cannot make room on any worker.
    pub(super) fn preempt(
        &mut self,
        now: Timestamp,
        shard: &ShardId,
        request: &TaskRequest,
        out: &mut Vec<PlacementAction>,
    ) -> Option<WorkerId> {
        let (id, plan) = self.plan_preemption(now, shard, request)?;
        if let Some(worker) = self.workers.get_mut(&id) {
            worker.reserved += request.resources;
        }
        let action = if plan.throttle_only { "throttles" } else { "stops" };
        let reason = format!("{action} {} tasks of lower priority", plan.victims.len());
        out.push(PlacementAction::Decision(PlacementDecision {
            task: request.task.clone(),
            chosen: Some(id.clone()),
            runner_up: None,
            reason,
        }));
        self.apply_plan(now, &id, &plan, out);
        self.refresh_index(now, &id);
        Some(id)
    }

    /// Returns the worker on which preemption has the lowest cost, with its plan.
    fn plan_preemption(
        &self,
        now: Timestamp,
        shard: &ShardId,
        request: &TaskRequest,
    ) -> Option<(WorkerId, PreemptionPlan)> {
        self.workers_of(shard)
            .filter(|worker| !request.avoid.contains(&worker.spec.worker))
            .filter(|worker| self.is_ready(now, &worker.spec.worker))
            .filter_map(|worker| Some((plan_for_worker(now, worker, request)?, worker)))
            .min_by_key(|((cost, _), worker)| (*cost, worker.spec.worker.clone()))
            .map(|((_, plan), worker)| (worker.spec.worker.clone(), plan))
    }

    fn apply_plan(
        &mut self,
        now: Timestamp,
        id: &WorkerId,
        plan: &PreemptionPlan,
        out: &mut Vec<PlacementAction>,
    ) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let Some(epoch) = self.shards.get(&worker.spec.shard).map(|owned| owned.grant.epoch) else { return };
        let mut commands = Vec::new();
        for key in &plan.victims {
            let Some(allocation) = worker.allocations.get_mut(key) else { continue };
            if plan.throttle_only && allocation.state == TaskState::Running && now >= allocation.settled_at {
                let resources = throttled_resources(allocation);
                let (task, attempt) = key.clone();
                commands.push(WorkerCommand::Throttle { epoch, task, attempt, resources });
            } else if !plan.throttle_only {
                allocation.stop = Some(StopRequest { requested_at: now, sent: None, checkpoint: true });
            }
        }
        for command in commands {
            self.queue_command(now, id, command, out);
        }
        self.reconcile_worker(now, id, out);
    }

    /// Confirms the waiting reservations on a worker for whose tasks all workers now have room.
    pub(super) fn complete_waiting(&mut self, now: Timestamp, id: &WorkerId, out: &mut Vec<PlacementAction>) {
        let keys: Vec<_> = self
            .reservations
            .waiting
            .iter()
            .filter(|key| {
                let tasks = self.reservations.active.get(*key).map(|found| found.tasks.as_slice());
                let tasks = tasks.unwrap_or_default();
                let has_room = |id: &WorkerId| self.workers.get(id).is_some_and(Ledger::is_within_capacity);
                tasks.iter().any(|(_, worker)| worker == id)
                    && tasks.iter().all(|(_, worker)| has_room(worker))
            })
            .cloned()
            .collect();
        for key in keys {
            self.reservations.waiting.remove(&key);
            let Some(reservation) = self.reservations.active.get_mut(&key) else { continue };
            reservation.wait_deadline = None;
            let (to, placed) = (reservation.coordinator, reservation.assignments());
            let body = ShardReplyBody::Reserved { reservation: key.3, placed };
            self.reply(to, (key.1, &key.0), body, out);
        }
        let _ = now;
    }

    /// Refuses and releases reservations whose preempted tasks did not end before the deadline.
    pub(super) fn cancel_overdue(&mut self, now: Timestamp, out: &mut Vec<PlacementAction>) {
        let is_overdue = |key: &&_| {
            self.reservations
                .active
                .get(*key)
                .and_then(|found| found.wait_deadline)
                .is_some_and(|at| now >= at)
        };
        let keys: Vec<_> = self.reservations.waiting.iter().filter(is_overdue).cloned().collect();
        for key in keys {
            let Some(to) = self.reservations.active.get(&key).map(|r| r.coordinator) else { continue };
            self.release(now, &key);
            let body = ShardReplyBody::Refused { reservation: key.3, reason: WaitReason::NoRoom };
            self.reply(to, (key.1, &key.0), body, out);
        }
    }
}

/// Returns a plan for one worker and its cost: the highest priority of the victims, then whether they are stopped, then
/// their number.
fn plan_for_worker(
    now: Timestamp,
    worker: &Ledger,
    request: &TaskRequest,
) -> Option<((u8, bool, usize), PreemptionPlan)> {
    let is_staying = |a: &&Allocation| a.stop.is_none();
    let charged =
        worker.allocations.values().filter(is_staying).fold(worker.reserved, |sum, a| sum + a.charge());
    if !request.resources.fits(worker.spec.capacity) {
        return None;
    }
    let candidates: Vec<_> = worker.allocations.iter().filter(|(_, a)| is_preemptible(a, request)).collect();
    let capacity = worker.spec.capacity;
    let required = charged + request.resources;
    let throttled = choose_victims(now, &candidates, required, capacity, true);
    let throttle_only = throttled.is_some();
    let chosen = throttled.or_else(|| choose_victims(now, &candidates, required, capacity, false))?;
    let highest = chosen.iter().map(|(_, a)| a.start.priority.0).max().unwrap_or_default();
    let victims: Vec<_> = chosen.into_iter().map(|(key, _)| key.clone()).collect();
    Some(((highest, !throttle_only, victims.len()), PreemptionPlan { victims, throttle_only }))
}

/// Chooses victims until `required` fits the capacity: lowest priority first, then as few as possible, then the most
/// recently started. None if all candidates together do not free enough.
fn choose_victims<'a>(
    now: Timestamp,
    candidates: &[(&'a AttemptKey, &'a Allocation)],
    required: Resources,
    capacity: Resources,
    throttle: bool,
) -> Option<Vec<(&'a AttemptKey, &'a Allocation)>> {
    let freed = |a: &Allocation| {
        if throttle { throttle_savings(now, a) } else { a.charge() }
    };
    let excess_permille = |left: Resources| {
        let permille = |size: u64, capacity: u64| size.saturating_sub(capacity) * 1_000 / capacity.max(1);
        let accelerators = permille(u64::from(left.accelerators.0), u64::from(capacity.accelerators.0));
        permille(left.cpu.0, capacity.cpu.0) + permille(left.memory.0, capacity.memory.0) + accelerators
    };
    let mut left = required;
    let mut rest: Vec<_> = candidates.iter().copied().filter(|(_, a)| freed(a) != Resources::ZERO).collect();
    let mut chosen = Vec::new();
    while !left.fits(capacity) {
        // Of the tasks that each remove the whole excess, the one that frees the fewest processors is chosen.
        let next = rest.iter().enumerate().min_by_key(|(_, (_, allocation))| {
            let freed = freed(allocation);
            let after = left.saturating_sub(freed);
            (
                allocation.start.priority,
                excess_permille(after),
                freed.cpu,
                std::cmp::Reverse(allocation.settled_at),
            )
        })?;
        let position = next.0;
        let victim = rest.swap_remove(position);
        left = left.saturating_sub(freed(victim.1));
        chosen.push(victim);
    }
    // A later, larger victim can make an earlier one unnecessary.
    let mut position = 0;
    while position < chosen.len() {
        let without = left + freed(chosen[position].1);
        if without.fits(capacity) {
            left = without;
            chosen.remove(position);
        } else {
            position += 1;
        }
    }
    Some(chosen)
}

/// Returns what a throttle of a task frees; nothing while the start command may still be in flight, because a throttle
/// that overtakes the start has no effect.
fn throttle_savings(now: Timestamp, allocation: &Allocation) -> Resources {
    if allocation.state != TaskState::Running || now < allocation.settled_at {
        return Resources::ZERO;
    }
    let cpu = allocation.charge().cpu.saturating_sub(throttled_resources(allocation).cpu);
    Resources { cpu, ..Resources::ZERO }
}

/// Whether an attempt may be preempted for a request; batch and gang work never preempts a service.
fn is_preemptible(allocation: &Allocation, request: &TaskRequest) -> bool {
    let is_protected = allocation.start.kind == JobKind::Service && request.kind != JobKind::Service;
    !allocation.state.is_ended()
        && allocation.stop.is_none()
        && allocation.start.priority < request.priority
        && !is_protected
}

/// Returns the declared resources with the processors that a throttle leaves.
fn throttled_resources(allocation: &Allocation) -> Resources {
    let declared = allocation.start.resources;
    Resources { cpu: CpuMillis(declared.cpu.0 / THROTTLE_DIVISOR), ..declared }
}
