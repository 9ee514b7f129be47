//! Reservation and preemption for a gang that does not fit: workers are reserved for it, and tasks that save checkpoints
//! are preempted.
//!
//! Without this, a wide gang starves on a fleet full of small tasks of lower priority, because it needs many of them to end
//! on few workers. A task that saves a checkpoint when it is stopped loses little work.

use std::collections::BTreeSet;
use std::time::Duration;

use super::Owner;
use super::schedule::{Candidate, Candidates, is_eligible};
use super::shares::PreemptionClaim;
use crate::placement::policy::fitting_tasks;
use crate::shard::id::{StepKey, TaskKey, WorkerIncarnation};
use crate::shard::job::Phase;
use crate::unit::{Resources, Timestamp};

/// Shortest time between two rounds of preemption for one gang; a stop takes up to 0.9 s.
const PREEMPTION_INTERVAL: Duration = Duration::from_millis(1_000);
/// Progress in percent from which a task is not preempted: the rest of a typical task takes less time than a stop and
/// another start.
const NEARLY_DONE_PERCENT: u32 = 75;
/// Remaining validity below which tickets of reserved workers are renewed: a scheduling pass, a write and a call, each at
/// its slowest.
const MIN_TICKET_VALIDITY: Duration = Duration::from_millis(400);

/// Worker that a gang could use, with the tasks to preempt for it.
struct PreemptionPlan {
    incarnation: WorkerIncarnation,
    /// Members of the gang that fit after the preemption.
    fitting_tasks: u32,
    preempted: Vec<TaskKey>,
}

impl Owner {
    /// Reserves workers for a gang that does not fit, and preempts tasks on them; returns false for a step that is not a
    /// gang or does not fit once all tasks that end have ended.
    pub(super) fn reserve_for_gang(
        &mut self,
        now: Timestamp,
        key: StepKey,
        candidates: &Candidates,
        reserved: &mut BTreeSet<WorkerIncarnation>,
    ) -> bool {
        let Some(job) = self.jobs.get(&key.job) else { return false };
        let spec = job.spec.clone();
        let step_spec = &spec.steps[key.step as usize];
        if !step_spec.gang {
            return false;
        }
        let step = &job.occurrences[key.occurrence as usize][key.step as usize];
        let needs_ticket = spec.queue.recommendation.is_some();
        let is_allowed = |c: &&Candidate| {
            is_eligible(c, &spec.queue.service, step_spec)
                && !reserved.contains(&c.incarnation)
                && (!needs_ticket || step.tickets.recommended.contains_key(&c.incarnation))
        };
        let allowed: Vec<&Candidate> = candidates.list.iter().filter(is_allowed).collect();
        let max_tasks = step_spec.max_per_worker.unwrap_or(u32::MAX);
        let round_due = now >= step.last_preemption + PREEMPTION_INTERVAL;
        let resources = step_spec.reserved();
        let claims = self.preemption_claims(job);
        let plan = |claim| self.plan_gang(&allowed, resources, max_tasks, step_spec.tasks, claim);
        let (mut chosen, mut unplaced) = (Vec::new(), step_spec.tasks);
        for claim in &claims {
            (chosen, unplaced) = plan(claim);
            if unplaced == 0 {
                break;
            }
        }
        let preempted = if unplaced == 0 && round_due {
            chosen.iter().flat_map(|p| p.preempted.iter().copied()).collect()
        } else {
            Vec::new()
        };
        let mut incarnations: Vec<WorkerIncarnation> = chosen.into_iter().map(|p| p.incarnation).collect();
        if unplaced > 0 {
            let rooms = allowed.iter().map(|c| (*c, self.room_beside_lasting(c))).collect();
            let Some(sufficient) = workers_with_room(rooms, resources, max_tasks, step_spec.tasks) else {
                return false;
            };
            incarnations = sufficient;
        }
        reserved.extend(incarnations.iter().cloned());
        self.renew_tickets(now, key, &incarnations);
        self.preempt(now, key, &preempted);
        true
    }

    /// Returns the resources of a worker for tasks that end: lasting ones neither end nor are preempted.
    pub(super) fn room_beside_lasting(&self, candidate: &Candidate) -> Resources {
        let runs = self.workers.get(&candidate.incarnation).into_iter().flat_map(|w| w.runs.values());
        let lasting = runs.filter(|run| run.demand.is_lasting);
        lasting.fold(candidate.capacity, |room, run| room.saturating_sub(run.demand.resources))
    }

    /// Returns the workers for a gang of `count` tasks, and how many of these don't fit.
    fn plan_gang(
        &self,
        allowed: &[&Candidate],
        resources: Resources,
        max_tasks: u32,
        count: u32,
        claim: &PreemptionClaim,
    ) -> (Vec<PreemptionPlan>, u32) {
        let plans = allowed.iter().map(|c| self.plan_preemption(c, resources, max_tasks, claim));
        let mut plans: Vec<PreemptionPlan> = plans.collect();
        plans.sort_by_key(|p| (std::cmp::Reverse(p.fitting_tasks), p.preempted.len()));
        let mut unplaced = count;
        let mut chosen = Vec::new();
        for plan in plans {
            if unplaced == 0 || plan.fitting_tasks == 0 {
                break;
            }
            unplaced = unplaced.saturating_sub(plan.fitting_tasks);
            chosen.push(plan);
        }
        (chosen, unplaced)
    }

    /// Returns how many tasks that need `resources` each fit on a worker once `claim` has preempted all tasks
    /// that it may, and these tasks if that makes room for more.
    fn plan_preemption(
        &self,
        candidate: &Candidate,
        resources: Resources,
        max_tasks: u32,
        claim: &PreemptionClaim,
    ) -> PreemptionPlan {
        let mut free = candidate.free;
        let mut most_fitting = fitting_tasks(resources, free);
        let mut preempted = Vec::new();
        if let Some(worker) = self.workers.get(&candidate.incarnation) {
            for ((task, run), reserved) in &worker.runs {
                if self.is_preemptible(*task, *run, claim) {
                    free += reserved.demand.resources;
                    let fitting = fitting_tasks(resources, free);
                    preempted.push(*task);
                    most_fitting = most_fitting.max(fitting);
                }
            }
        }
        if most_fitting == fitting_tasks(resources, candidate.free) {
            preempted.clear();
        }
        PreemptionPlan {
            incarnation: candidate.incarnation.clone(),
            fitting_tasks: most_fitting.min(max_tasks),
            preempted,
        }
    }

    fn is_preemptible(&self, task: TaskKey, run: u32, claim: &PreemptionClaim) -> bool {
        let key = task.step;
        let Some(job) = self.jobs.get(&key.job) else { return false };
        let Some(step_spec) = job.spec.steps.get(key.step as usize) else { return false };
        if job.spec.queue.priority <= claim.priority
            || !self.may_preempt(claim, job)
            || !step_spec.checkpoints
            || step_spec.gang
            || step_spec.long_running
        {
            return false;
        }
        let steps = job.occurrences.get(key.occurrence as usize);
        let task_state = steps.and_then(|s| s.get(key.step as usize)?.tasks.get(task.index as usize));
        task_state.and_then(|t| t.placement.as_ref()).is_some_and(|p| {
            p.run == run && p.percent < NEARLY_DONE_PERCENT && matches!(p.phase, Phase::Running(_))
        })
    }

    /// Renews the tickets of reserved workers before the preempted tasks have stopped.
    fn renew_tickets(&mut self, now: Timestamp, key: StepKey, incarnations: &[WorkerIncarnation]) {
        let Some(job) = self.jobs.get(&key.job).filter(|j| j.spec.queue.recommendation.is_some()) else {
            return;
        };
        let tickets = &job.occurrences[key.occurrence as usize][key.step as usize].tickets;
        let needs_renewal = |incarnation: &&WorkerIncarnation| {
            tickets.recommended.get(*incarnation).is_none_or(|t| t.until < now + MIN_TICKET_VALIDITY)
        };
        if incarnations.iter().any(|incarnation| needs_renewal(&incarnation)) {
            self.request_tickets(now, key, incarnations.to_vec(), Vec::new());
        }
    }

    fn preempt(&mut self, now: Timestamp, key: StepKey, preempted: &[TaskKey]) {
        if preempted.is_empty() {
            return;
        }
        if let Some(job) = self.jobs.get_mut(&key.job) {
            job.occurrences[key.occurrence as usize][key.step as usize].last_preemption = now;
        }
        for task in preempted {
            log::info!(target: "decision", "stop task={task} reason=\"preempted by step {key}\"");
            self.stop_task(now, *task);
        }
    }
}

/// Returns workers that would hold `count` tasks, those with most free processors first. `rooms` has the workers with the
/// resources that they would have then.
fn workers_with_room(
    mut rooms: Vec<(&Candidate, Resources)>,
    resources: Resources,
    max_tasks: u32,
    count: u32,
) -> Option<Vec<WorkerIncarnation>> {
    rooms.sort_by_key(|(candidate, _)| std::cmp::Reverse(candidate.free.cpu));
    let mut unplaced = count;
    let mut chosen = Vec::new();
    for (candidate, room) in rooms {
        let fitting = fitting_tasks(resources, room).min(max_tasks);
        if fitting > 0 {
            chosen.push(candidate.incarnation.clone());
            unplaced = unplaced.saturating_sub(fitting);
        }
        if unplaced == 0 {
            return Some(chosen);
        }
    }
    None
}
