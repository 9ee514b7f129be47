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
    let mut victims: Vec<_> = worker.held.iter().filter(|(_, held)| yields(held, order)).collect();
    // Lowest priority first, then the most recently started.
    victims.sort_by_key(|(_, held)| (held.start.priority, std::cmp::Reverse(held.settled)));
    let mut left = charged + order.resources;
    let mut throttled_left = left;
    let mut chosen = Vec::new();
    for (key, held) in victims {
        if left.fits(worker.spec.capacity) || throttled_left.fits(worker.spec.capacity) {
            break;
        }
        left -= held.charge();
        // A throttle that overtakes the start of its task has no effect.
        if held.state == TaskState::Running && now >= held.settled {
            let freed = held.charge().cpu.saturating_sub(throttled(held).cpu);
            throttled_left -= Resources { cpu: freed, ..Resources::ZERO };
        }
        chosen.push((key.clone(), held.start.priority.0));
    }
    let throttle = throttled_left.fits(worker.spec.capacity);
    if !throttle && !left.fits(worker.spec.capacity) {
        return None;
    }
    let highest = chosen.iter().map(|(_, priority)| *priority).max().unwrap_or_default();
    let victims: Vec<_> = chosen.into_iter().map(|(key, _)| key).collect();
    Some(((highest, !throttle, victims.len()), Plan { victims, throttle }))
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
