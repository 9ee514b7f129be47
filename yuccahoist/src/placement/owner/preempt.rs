//! Preemption of work of lower priority.

use super::{Placement, THROTTLE_PART};
use crate::id::{ShardId, WorkerId};
use crate::job::{JobKind, ShardReplyBody, TaskOrder, TaskState, WaitReason};
use crate::placement::ledger::{Held, Key, Ledger, StopOrder};
use crate::placement::message::{PlacementAction, PlacementDecision, WorkerCommand};
use crate::unit::{CpuMillis, Resources, Timestamp};

/// How a worker is cleared for a task.
struct Plan {
    victims: Vec<Key>,
    /// Whether it is enough to throttle the victims.
    throttle: bool,
}

impl Placement {
    /// Reserves room for one task on a worker whose tasks of lower priority have to leave it.
    pub(super) fn preempt(
        &mut self,
        now: Timestamp,
        shard: &ShardId,
        order: &TaskOrder,
        out: &mut Vec<PlacementAction>,
    ) -> Option<WorkerId> {
        let (id, plan) = self.plan(now, shard, order)?;
        if let Some(worker) = self.workers.get_mut(&id) {
            worker.reserved += order.resources;
        }
        let how = if plan.throttle { "throttles" } else { "stops" };
        let reason = format!("{how} {} tasks of lower priority", plan.victims.len());
        out.push(PlacementAction::Decision(PlacementDecision {
            task: order.task.clone(),
            chosen: Some(id.clone()),
            runner_up: None,
            reason,
        }));
        self.evict(now, &id, &plan, out);
        self.refresh(now, &id);
        Some(id)
    }

    /// Worker on which the least important work has to leave.
    fn plan(&self, now: Timestamp, shard: &ShardId, order: &TaskOrder) -> Option<(WorkerId, Plan)> {
        self.workers_of(shard)
            .filter(|worker| !order.avoid.contains(&worker.spec.worker))
            .filter(|worker| self.is_ready(now, &worker.spec.worker))
            .filter_map(|worker| Some((plan_on(now, worker, order)?, worker)))
            .min_by_key(|((cost, _), worker)| (*cost, worker.spec.worker.clone()))
            .map(|((_, plan), worker)| (worker.spec.worker.clone(), plan))
    }

    fn evict(&mut self, now: Timestamp, id: &WorkerId, plan: &Plan, out: &mut Vec<PlacementAction>) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let Some(epoch) = self.shards.get(&worker.spec.shard).map(|owned| owned.grant.epoch) else { return };
        let mut commands = Vec::new();
        for key in &plan.victims {
            let Some(held) = worker.held.get_mut(key) else { continue };
            if plan.throttle && held.state == TaskState::Running && now >= held.settled {
                let resources = throttled(held);
                let (task, attempt) = key.clone();
                commands.push(WorkerCommand::Throttle { epoch, task, attempt, resources });
            } else if !plan.throttle {
                held.stop = Some(StopOrder { asked: now, sent: None, checkpoint: true });
            }
        }
        for command in commands {
            self.command(now, id, command, out);
        }
        self.serve(now, id, out);
    }

    /// Answers reservations whose preempted tasks have ended.
    pub(super) fn settle_waiting(&mut self, now: Timestamp, id: &WorkerId, out: &mut Vec<PlacementAction>) {
        let ready: Vec<_> = self
            .reservations
            .waiting
            .iter()
            .filter(|key| {
                let tasks = self.reservations.live.get(*key).map(|found| found.tasks.as_slice());
                let tasks = tasks.unwrap_or_default();
                let room = |id: &WorkerId| self.workers.get(id).is_some_and(Ledger::within_capacity);
                tasks.iter().any(|(_, worker)| worker == id) && tasks.iter().all(|(_, worker)| room(worker))
            })
            .cloned()
            .collect();
        for key in ready {
            self.reservations.waiting.remove(&key);
            let Some(reservation) = self.reservations.live.get_mut(&key) else { continue };
            reservation.waiting = None;
            let (to, placed) = (reservation.from, reservation.placed());
            let body = ShardReplyBody::Reserved { reservation: key.3, placed };
            self.reply(to, (key.1, &key.0), body, out);
        }
        let _ = now;
    }

    /// Gives up reservations whose preempted tasks did not end in time.
    pub(super) fn give_up(&mut self, now: Timestamp, out: &mut Vec<PlacementAction>) {
        let late = |key: &&_| {
            self.reservations.live.get(*key).and_then(|found| found.waiting).is_some_and(|at| now >= at)
        };
        let keys: Vec<_> = self.reservations.waiting.iter().filter(late).cloned().collect();
        for key in keys {
            let Some(to) = self.reservations.live.get(&key).map(|found| found.from) else { continue };
            self.release(now, &key);
            let body = ShardReplyBody::Refused { reservation: key.3, reason: WaitReason::NoRoom };
            self.reply(to, (key.1, &key.0), body, out);
        }
    }
}

/// Victims on one worker with a cost: highest priority among them, then their number.
fn plan_on(now: Timestamp, worker: &Ledger, order: &TaskOrder) -> Option<((u8, bool, usize), Plan)> {
    let stays = |held: &&Held| held.stop.is_none();
    let charged = worker.held.values().filter(stays).fold(worker.reserved, |sum, held| sum + held.charge());
    if !order.resources.fits(worker.spec.capacity) {
        return None;
    }
    let victims: Vec<_> = worker.held.iter().filter(|(_, held)| yields(held, order)).collect();
    let spare = worker.spec.capacity;
    let sum = charged + order.resources;
    let throttled = choose(now, &victims, sum, spare, true);
    let throttle = throttled.is_some();
    let chosen = throttled.or_else(|| choose(now, &victims, sum, spare, false))?;
    let highest = chosen.iter().map(|(_, held)| held.start.priority.0).max().unwrap_or_default();
    let victims: Vec<_> = chosen.into_iter().map(|(key, _)| key.clone()).collect();
    Some(((highest, !throttle, victims.len()), Plan { victims, throttle }))
}

/// Victims that bring the sum within the capacity: lowest priority first, then as few as possible, then the most
/// recently started.
fn choose<'a>(
    now: Timestamp,
    victims: &[(&'a Key, &'a Held)],
    sum: Resources,
    capacity: Resources,
    throttle: bool,
) -> Option<Vec<(&'a Key, &'a Held)>> {
    let freed = |held: &Held| if throttle { saved(now, held) } else { held.charge() };
    let over = |left: Resources| {
        let part = |size: u64, capacity: u64| size.saturating_sub(capacity) * 1_000 / capacity.max(1);
        let accelerators = part(u64::from(left.accelerators.0), u64::from(capacity.accelerators.0));
        part(left.cpu.0, capacity.cpu.0) + part(left.memory.0, capacity.memory.0) + accelerators
    };
    let mut left = sum;
    let mut rest: Vec<_> =
        victims.iter().copied().filter(|(_, held)| freed(held) != Resources::ZERO).collect();
    let mut chosen = Vec::new();
    while !left.fits(capacity) {
        // Among those that end the excess, the smallest is enough.
        let next = rest.iter().enumerate().min_by_key(|(_, (_, held))| {
            let freed = freed(held);
            let after = left.saturating_sub(freed);
            (held.start.priority, over(after), freed.cpu, std::cmp::Reverse(held.settled))
        })?;
        let position = next.0;
        let victim = rest.swap_remove(position);
        left = left.saturating_sub(freed(victim.1));
        chosen.push(victim);
    }
    // A later, larger victim can make an earlier one needless.
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

/// What a throttle of a task frees; nothing while its start is under way, because a throttle that overtakes the start
/// has no effect.
fn saved(now: Timestamp, held: &Held) -> Resources {
    if held.state != TaskState::Running || now < held.settled {
        return Resources::ZERO;
    }
    let cpu = held.charge().cpu.saturating_sub(throttled(held).cpu);
    Resources { cpu, ..Resources::ZERO }
}

/// Whether an attempt has to leave for an order.
fn yields(held: &Held, order: &TaskOrder) -> bool {
    let protected = held.start.kind == JobKind::Service && order.kind != JobKind::Service;
    !held.state.is_ended() && held.stop.is_none() && held.start.priority < order.priority && !protected
}

fn throttled(held: &Held) -> Resources {
    let declared = held.start.resources;
    Resources { cpu: CpuMillis(declared.cpu.0 / THROTTLE_PART), ..declared }
}
