//! Placement of gangs, whose tasks start all together or not at all.
//!
//! A gang reserves shard by shard in a fixed order and never waits for capacity while it holds reservations. When a
//! shard has less free capacity than expected and the remaining shards cannot compensate, all reservations are released
//! and another plan is tried; without one the gang backs off.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt;

use super::job_table::exponential_backoff;
use super::{Coordinator, EventContext, PendingReservation};
use crate::id::{JobId, ShardId, TaskIndex, WorkerId};
use crate::job::{CoordinatorAction, ShardRequestBody, WaitReason};
use crate::unit::Timestamp;

/// Timeout of a placement round; shorter than the lifetime of its first reservation less delivery.
const GANG_ROUND_TIMEOUT: Duration = Duration::from_millis(900);
/// Base of the backoff after failed rounds; doubled once per consecutive failure, then randomized by up to half.
const BASE_GANG_BACKOFF: Duration = Duration::from_millis(100);
/// Maximum number of plans in a round; each refusal corrects a shard's estimate, which improves the next plan.
const MAX_ROUND_PLANS: u32 = 8;
/// Maximum backoff after a failed round, before randomization.
const MAX_GANG_BACKOFF: Duration = Duration::from_secs(2);

/// Placement round of a gang.
#[derive(Debug)]
pub(super) struct GangPlan {
    /// Shards still to request reservations from, last to first, with the number of tasks expected to fit.
    remaining: Vec<(ShardId, u32)>,
    /// Reservations that succeeded, to be committed or released together.
    reservations: Vec<HeldReservation>,
    /// Start of the round.
    started: Timestamp,
    /// Number of plans made in this round.
    plan_count: u32,
}

#[derive(Debug)]
struct HeldReservation {
    number: u64,
    pending: PendingReservation,
    placed: BTreeMap<TaskIndex, WorkerId>,
}

impl Coordinator {
    /// Returns whether a gang holds this reservation.
    pub(super) fn is_held(&self, number: u64) -> bool {
        let holds = |plan: &GangPlan| plan.reservations.iter().any(|held| held.number == number);
        self.jobs.values().filter_map(|job| job.gang_plan.as_ref()).any(holds)
    }

    /// Starts a placement round and returns why the gang waits, if it does.
    pub(super) fn start_gang(&mut self, ctx: &mut EventContext<'_>, id: &JobId) -> Option<WaitReason> {
        let job = self.jobs.get(id)?;
        if job.gang_plan.is_some() {
            return job.wait_reason.clone();
        }
        if !job.runs.is_empty() {
            // Only part of the gang is running, because a task ended or an earlier coordinator did not finish.
            self.stop_runs(ctx.now, id);
            return Some(WaitReason::EarlierAttempt);
        }
        if self.tasks_within_quota(job) < job.waiting() {
            return Some(WaitReason::Quota);
        }
        let Some(remaining) = self.plan_gang(ctx.now, id) else {
            return Some(WaitReason::GangIncomplete);
        };
        let started = ctx.now;
        self.jobs.get_mut(id)?.gang_plan =
            Some(GangPlan { remaining, reservations: Vec::new(), started, plan_count: 1 });
        self.reserve_next(ctx, id);
        // A pending round is no reason to wait; a failed round sets the reason.
        self.jobs.get(id)?.wait_reason.clone()
    }

    /// Chooses as few shards (racks) as possible for a gang, with the number of tasks expected to fit on each.
    ///
    /// The shards are to be used from last to first. Returns `None` if the gang is not expected to fit.
    fn plan_gang(&self, now: Timestamp, id: &JobId) -> Option<Vec<(ShardId, u32)>> {
        let job = self.jobs.get(id)?;
        let (need, count) = (job.spec.resources, job.waiting());
        let mut candidates: Vec<_> = self
            .shards
            .iter()
            .filter(|(_, view)| view.has_room(now, need) || view.has_known_fit(now, need))
            .map(|(shard, view)| (view.expected_fit(now, need), shard.clone()))
            .filter(|(fit, _)| *fit > 0)
            .collect();
        // Best fit for the whole gang first; otherwise the shards that fit the most tasks.
        candidates.sort_by_key(|(fit, shard)| {
            let fits_all = *fit >= count;
            (!fits_all, if fits_all { i64::from(*fit) } else { -i64::from(*fit) }, shard.clone())
        });
        let mut plan = Vec::new();
        let mut unplaced = count;
        for (fit, shard) in candidates {
            if unplaced == 0 {
                break;
            }
            plan.push((shard, fit));
            unplaced = unplaced.saturating_sub(fit);
        }
        plan.sort();
        plan.reverse();
        (unplaced == 0).then_some(plan)
    }

    /// Requests a reservation from the next shard, commits once all tasks are reserved, or replans.
    fn reserve_next(&mut self, ctx: &mut EventContext<'_>, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let waiting = job.waiting();
        let Some(plan) = job.gang_plan.as_mut() else { return };
        if ctx.now.since(plan.started) >= GANG_ROUND_TIMEOUT {
            self.abort_gang(ctx, id);
            return;
        }
        if waiting == 0 {
            self.commit_gang(ctx, id);
            return;
        }
        let expected: u32 = plan.remaining.iter().fold(0, |sum, (_, fit)| sum.saturating_add(*fit));
        match plan.remaining.pop() {
            Some((shard, fit)) if expected >= waiting => {
                self.reserve_members(ctx, id, shard, fit.min(waiting));
            }
            _ => self.replan_gang(ctx, id),
        }
    }

    /// Adds a reservation to the round and continues, unless the job is ending.
    pub(super) fn gang_reserved(
        &mut self,
        ctx: &mut EventContext<'_>,
        pending: PendingReservation,
        number: u64,
        placed: &BTreeMap<TaskIndex, WorkerId>,
    ) {
        let id = pending.job.clone();
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let is_ending = job.is_ending();
        if let Some(plan) = job.gang_plan.as_mut() {
            plan.reservations.push(HeldReservation { number, pending, placed: placed.clone() });
        }
        if is_ending {
            self.abort_gang(ctx, &id);
        } else {
            self.reserve_next(ctx, &id);
        }
    }

    /// Continues with the next shard after a refusal.
    pub(super) fn gang_refused(&mut self, ctx: &mut EventContext<'_>, id: &JobId) {
        self.reserve_next(ctx, id);
    }

    fn commit_gang(&mut self, ctx: &mut EventContext<'_>, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let Some(plan) = job.gang_plan.take() else { return };
        job.failed_rounds = 0;
        job.wait_reason = None;
        for held in plan.reservations {
            self.commit(ctx, held.pending, held.number, &held.placed);
        }
    }

    /// Releases all reservations and starts another plan immediately; backs off if there is none.
    fn replan_gang(&mut self, ctx: &mut EventContext<'_>, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        let Some(plan) = &job.gang_plan else { return };
        let (started, plan_count) = (plan.started, plan.plan_count + 1);
        if plan_count > MAX_ROUND_PLANS || job.is_ending() {
            self.abort_gang(ctx, id);
            return;
        }
        self.release_gang(ctx, id);
        match (self.plan_gang(ctx.now, id), self.jobs.get_mut(id)) {
            (Some(remaining), Some(job)) => {
                job.gang_plan = Some(GangPlan { remaining, reservations: Vec::new(), started, plan_count });
                self.reserve_next(ctx, id);
            }
            _ => self.back_off_gang(ctx, id),
        }
    }

    /// Ends the round: releases all reservations and backs off.
    pub(super) fn abort_gang(&mut self, ctx: &mut EventContext<'_>, id: &JobId) {
        if self.release_gang(ctx, id) {
            self.back_off_gang(ctx, id);
        }
    }

    /// Schedules the next round and reports why the gang waits.
    fn back_off_gang(&mut self, ctx: &mut EventContext<'_>, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.failed_rounds += 1;
        let backoff = exponential_backoff(BASE_GANG_BACKOFF, job.failed_rounds, MAX_GANG_BACKOFF);
        let backoff = backoff.mul_f64(ctx.rng.random_range(0.5..1.5));
        job.backoff_until = ctx.now + backoff;
        if job.wait_reason != Some(WaitReason::GangIncomplete) && !job.is_ending() {
            let reason = WaitReason::GangIncomplete;
            ctx.out.push(CoordinatorAction::Decision { job: id.clone(), text: reason.to_string() });
            job.wait_reason = Some(reason);
        }
    }

    /// Drops the plan of a gang and releases its reservations; returns `false` if it has none.
    fn release_gang(&mut self, ctx: &mut EventContext<'_>, id: &JobId) -> bool {
        let Some(plan) = self.jobs.get_mut(id).and_then(|job| job.gang_plan.take()) else { return false };
        for held in plan.reservations {
            let PendingReservation { partition, shard, .. } = &held.pending;
            self.send(ctx, *partition, shard, ShardRequestBody::Release { reservation: held.number });
            let indices: Vec<_> = held.placed.keys().copied().collect();
            self.requeue_tasks(&held.pending, &indices);
        }
        true
    }
}
