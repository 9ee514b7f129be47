//! Gangs: all tasks or none.
//!
//! A gang reserves in shard order and never waits for room while it holds reservations. When one shard has less room
//! than expected and the rest of the plan cannot make up for it, all reservations are released and the gang backs off.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt;

use super::table::doubled;
use super::{Coordinator, Pending, Turn};
use crate::id::{JobId, ShardId, TaskIndex, WorkerId};
use crate::job::{CoordinatorAction, ShardRequestBody, WaitReason};
use crate::unit::Timestamp;

/// Time within which all reservations of a gang must succeed; below the length of a reservation with its delivery.
const GANG_LIMIT: Duration = Duration::from_millis(900);
/// First wait after a failed round; doubles with each failure and varies by half.
const BACKOFF: Duration = Duration::from_millis(100);
/// Plans of one round: each refusal corrects the estimate of a shard, so that the next plan is better.
const PLANS: u32 = 8;
/// Longest wait after a failed round.
const BACKOFF_LIMIT: Duration = Duration::from_secs(2);

/// Gang that is being placed.
#[derive(Debug)]
pub(super) struct GangPlan {
    /// Shards that are still to be asked, in order, with the tasks expected to fit.
    left: Vec<(ShardId, u32)>,
    /// Reservations that succeeded.
    held: Vec<Held>,
    /// Time of the first reservation.
    started: Timestamp,
    /// Plans made in this round.
    plans: u32,
}

#[derive(Debug)]
struct Held {
    number: u64,
    pending: Pending,
    placed: BTreeMap<TaskIndex, WorkerId>,
}

impl Coordinator {
    /// Whether a reservation is held for a gang.
    pub(super) fn is_held(&self, number: u64) -> bool {
        let held = |plan: &GangPlan| plan.held.iter().any(|held| held.number == number);
        self.jobs.values().filter_map(|job| job.gang.as_ref()).any(held)
    }

    pub(super) fn start_gang(&mut self, turn: &mut Turn<'_>, id: &JobId) -> Option<WaitReason> {
        let job = self.jobs.get(id)?;
        if job.gang.is_some() {
            return job.reason.clone();
        }
        if !job.runs.is_empty() {
            // Part of the gang runs without the rest, as after the end of one task or of a coordinator.
            self.stop_runs(turn.now, id);
            return Some(WaitReason::EarlierAttempt);
        }
        if self.allowed(job) < job.waiting() {
            return Some(WaitReason::Quota);
        }
        let Some(left) = self.plan(turn.now, id) else {
            return Some(WaitReason::GangIncomplete);
        };
        let started = turn.now;
        self.jobs.get_mut(id)?.gang = Some(GangPlan { left, held: Vec::new(), started, plans: 1 });
        self.ask_next(turn, id);
        // A gang whose reservations are under way does not wait for room; a round that fails notes the reason.
        self.jobs.get(id)?.reason.clone()
    }

    /// Shards in order with the tasks expected to fit, in as few racks as possible.
    fn plan(&self, now: Timestamp, id: &JobId) -> Option<Vec<(ShardId, u32)>> {
        let job = self.jobs.get(id)?;
        let (need, count) = (job.spec.resources, job.waiting());
        let mut rooms: Vec<_> = self
            .shards
            .iter()
            .filter(|(_, view)| view.has_room(now, need) || view.is_capped(now, need))
            .map(|(shard, view)| (view.expected(now, need), shard.clone()))
            .filter(|(room, _)| *room > 0)
            .collect();
        // The smallest shard that takes the whole gang comes first; without one, the roomiest do.
        rooms.sort_by_key(|(room, shard)| {
            let whole = *room >= count;
            (!whole, if whole { i64::from(*room) } else { -i64::from(*room) }, shard.clone())
        });
        let mut plan = Vec::new();
        let mut left = count;
        for (room, shard) in rooms {
            if left == 0 {
                break;
            }
            plan.push((shard, room));
            left = left.saturating_sub(room);
        }
        plan.sort();
        plan.reverse();
        (left == 0).then_some(plan)
    }

    /// Asks the next shard of the plan, commits when all tasks have room, or gives up.
    fn ask_next(&mut self, turn: &mut Turn<'_>, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let waiting = job.waiting();
        let Some(plan) = job.gang.as_mut() else { return };
        if turn.now.since(plan.started) >= GANG_LIMIT {
            self.abort_gang(turn, id);
            return;
        }
        if waiting == 0 {
            self.commit_gang(turn, id);
            return;
        }
        let rest: u32 = plan.left.iter().fold(0, |sum, (_, room)| sum.saturating_add(*room));
        match plan.left.pop() {
            Some((shard, room)) if rest >= waiting => {
                self.reserve_members(turn, id, shard, room.min(waiting));
            }
            _ => self.plan_again(turn, id),
        }
    }

    pub(super) fn gang_reserved(
        &mut self,
        turn: &mut Turn<'_>,
        pending: Pending,
        number: u64,
        placed: &BTreeMap<TaskIndex, WorkerId>,
    ) {
        let id = pending.job.clone();
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let ending = job.is_ending();
        if let Some(plan) = job.gang.as_mut() {
            plan.held.push(Held { number, pending, placed: placed.clone() });
        }
        if ending {
            self.abort_gang(turn, &id);
        } else {
            self.ask_next(turn, &id);
        }
    }

    /// Goes on without a shard that refused.
    pub(super) fn gang_missing(&mut self, turn: &mut Turn<'_>, id: &JobId) {
        self.ask_next(turn, id);
    }

    fn commit_gang(&mut self, turn: &mut Turn<'_>, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let Some(plan) = job.gang.take() else { return };
        job.gang_rounds = 0;
        job.reason = None;
        for held in plan.held {
            self.commit(turn, held.pending, held.number, &held.placed);
        }
    }

    /// Releases all reservations and follows another plan at once; without one the gang backs off.
    fn plan_again(&mut self, turn: &mut Turn<'_>, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        let Some(plan) = &job.gang else { return };
        let (started, plans) = (plan.started, plan.plans + 1);
        if plans > PLANS || job.is_ending() {
            self.abort_gang(turn, id);
            return;
        }
        self.release_gang(turn, id);
        match (self.plan(turn.now, id), self.jobs.get_mut(id)) {
            (Some(left), Some(job)) => {
                job.gang = Some(GangPlan { left, held: Vec::new(), started, plans });
                self.ask_next(turn, id);
            }
            _ => self.back_off(turn, id),
        }
    }

    /// Releases all reservations of a gang; it backs off.
    pub(super) fn abort_gang(&mut self, turn: &mut Turn<'_>, id: &JobId) {
        if self.release_gang(turn, id) {
            self.back_off(turn, id);
        }
    }

    fn back_off(&mut self, turn: &mut Turn<'_>, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.gang_rounds += 1;
        let wait = doubled(BACKOFF, job.gang_rounds, BACKOFF_LIMIT);
        let wait = wait.mul_f64(turn.rng.random_range(0.5..1.5));
        job.wait_until = turn.now + wait;
        if job.reason != Some(WaitReason::GangIncomplete) && !job.is_ending() {
            let reason = WaitReason::GangIncomplete;
            turn.out.push(CoordinatorAction::Decision { job: id.clone(), text: reason.to_string() });
            job.reason = Some(reason);
        }
    }

    /// Gives up the plan of a gang with its reservations; false when there is none.
    fn release_gang(&mut self, turn: &mut Turn<'_>, id: &JobId) -> bool {
        let Some(plan) = self.jobs.get_mut(id).and_then(|job| job.gang.take()) else { return false };
        for held in plan.held {
            let Pending { partition, shard, .. } = &held.pending;
            self.send(turn, *partition, shard, ShardRequestBody::Release { reservation: held.number });
            let indices: Vec<_> = held.placed.keys().copied().collect();
            self.give_back(&held.pending, &indices);
        }
        true
    }
}
