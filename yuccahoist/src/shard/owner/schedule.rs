//! Placement of ready steps.
//!
//! Steps are tried in the order of their rank. A pass ends after some that do not fit, as it has to be short. Each would then
//! begin with the same steps, so a full pass now and then goes on with those that require something else of a worker, or less.
//!
//! On a nearly full fleet small tasks would starve gangs, so workers are
//! reserved for the first gangs that do not fit; only steps of the highest priority are placed on them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use super::missed_demands::MissedDemands;
use super::neighbours::undisturbed;
use super::observe::SpeedForecast;
use super::pending_tasks::PendingTasks;
use super::recommendations::{RequestOffer, order_by_pace};
use super::shares::workspace_field;
use super::{Effect, Owner};
use crate::shard::id::{JobKey, StepKey, WorkerIncarnation};
use crate::shard::job::{Phase, Placement};
use crate::shard::order::Timeliness;
use crate::shard::packing::{self, FreeCapacity, Goal};
use crate::shard::spec::StepSpec;
use crate::shard::speed::Speed;
use crate::shard::worker::{Demand, Worker};
use crate::unit::{Resources, Timestamp};

/// Number of consecutive steps that do not fit after which a pass ends; a pass has to stay within a few milliseconds on a
/// quarter of a core.
pub(super) const MAX_CONSECUTIVE_MISSES: usize = 40;
/// Number of steps tried in one pass, limited for the same reason.
const MAX_STEPS_PER_PASS: usize = 250;
/// Time between two full passes; a job that could run may have nothing running for 3 s.
const FULL_PASS_INTERVAL: Duration = Duration::from_millis(250);
/// Number of gangs with reserved workers; more would leave most of the fleet idle while gangs wait.
const MAX_RESERVING_GANGS: usize = 2;

/// Workers for each one that may hold a run that may crash it at its start.
const WORKERS_PER_PROBATION: usize = 3;
/// Workers of a small fleet that may hold such runs at the same time.
const MIN_PROBATION_SLOTS: usize = 2;
/// Runs of one job that may crash their worker at their start at the same time.
const MAX_UNPROVEN_RUNS: usize = 2;
/// Number of late gangs that are placed by age; each takes room from smaller steps that need less of it.
const MAX_GANGS_BY_AGE: usize = 1;

/// Worker with its free resources in this pass.
#[derive(Debug)]
pub(super) struct Candidate {
    pub(super) incarnation: WorkerIncarnation,
    service: Arc<str>,
    pub(super) free: Resources,
    /// Speed of the worker where placement considers it.
    pub(super) speed: Option<Speed>,
    pub(super) capacity: Resources,
    rack: Option<Arc<str>>,
    labels: Arc<[String]>,
    recently_failed: bool,
}

/// Usable workers of a pass, and their indexes in `list`.
#[derive(Debug)]
pub(super) struct Candidates {
    pub(super) list: Vec<Candidate>,
    index: BTreeMap<WorkerIncarnation, usize>,
    probation: ProbationSlots,
}

/// Room for runs of tasks that may crash their worker.
#[derive(Debug)]
struct ProbationSlots {
    /// Workers that may still take such runs.
    free: usize,
    /// Number of such runs by job.
    runs: BTreeMap<JobKey, usize>,
}

impl ProbationSlots {
    fn admits(&self, job: JobKey) -> bool {
        self.free > 0 && self.runs.get(&job).is_none_or(|runs| *runs < MAX_UNPROVEN_RUNS)
    }

    fn take(&mut self, job: JobKey) {
        self.free = self.free.saturating_sub(1);
        *self.runs.entry(job).or_default() += 1;
    }
}

/// Workers on which a step could be placed.
#[derive(Debug, Default)]
struct PlacementOptions {
    capacities: Vec<FreeCapacity>,
    /// Index of the candidate of each of `capacities`.
    indexes: Vec<usize>,
    /// Workers with enough free resources that were recommended, but whose ticket has expired.
    expired: Vec<WorkerIncarnation>,
}

/// Result of the attempt to place a step.
enum PlaceOutcome {
    Placed,
    NoRoom,
    /// The first recommendation request of the step is pending.
    AwaitingTickets,
    /// The tasks that are left wait for room under the cap of their workspace.
    Capped,
    /// The tasks that are left wait until other tasks have passed their probation, or for the worker that they are bound to.
    OnHold,
}

impl Owner {
    /// Runs a scheduling pass over the ready steps.
    pub(super) fn schedule(&mut self, now: Timestamp) {
        if self.ready.is_empty() {
            return;
        }
        let mut candidates = self.candidates(now);
        self.update_cap_usage(&candidates);
        self.update_standings(&candidates);
        let is_full = now >= self.next_full_pass;
        if is_full {
            self.next_full_pass = now + FULL_PASS_INTERVAL;
        }
        let order = self.pass_order(is_full);
        let mut reserved: BTreeSet<WorkerIncarnation> = BTreeSet::new();
        let mut gangs = 0;
        let mut misses = 0;
        let mut missed = MissedDemands::default();
        let mut tried = 0;
        for key in order {
            let has_many_misses = misses >= MAX_CONSECUTIVE_MISSES;
            if (has_many_misses && !is_full) || tried >= MAX_STEPS_PER_PASS + MAX_GANGS_BY_AGE {
                break;
            }
            let Some(spec) = self.jobs.get(&key.job).map(|j| j.spec.clone()) else { continue };
            let step_spec = &spec.steps[key.step as usize];
            if has_many_misses && missed.covers(&spec.queue.service, step_spec) {
                continue;
            }
            if !self.has_cap_room(key) {
                self.record_capped(now, key);
                continue;
            }
            tried += 1;
            match self.place_step(now, key, &mut candidates, &reserved) {
                PlaceOutcome::Placed => {
                    misses = 0;
                    self.rerank_placed_step(now, key);
                }
                PlaceOutcome::Capped => self.record_capped(now, key),
                PlaceOutcome::AwaitingTickets | PlaceOutcome::OnHold => {}
                PlaceOutcome::NoRoom => {
                    misses += 1;
                    if is_full {
                        missed.add(&spec.queue.service, step_spec);
                    }
                    if gangs < MAX_RESERVING_GANGS
                        && self.reserve_for_gang(now, key, &candidates, &mut reserved)
                    {
                        gangs += 1;
                    }
                }
            }
        }
    }

    /// Returns the steps to try in this pass: those with a task that is bound to a worker, before others take its room there,
    /// late gangs by age, then all by rank. In a full pass, and where caps apply, the pass itself limits the number, since steps
    /// without room must not take the place of others.
    fn pass_order(&self, is_full: bool) -> Vec<StepKey> {
        let mut order: Vec<StepKey> = self.pins.steps().filter(|key| self.ready.contains(*key)).collect();
        order.dedup();
        let is_entitled = |key: &StepKey| self.jobs.get(&key.job).is_some_and(|j| !j.is_excess);
        let gangs = self.longest_waiting_gangs().into_iter().filter(is_entitled);
        let gangs = gangs.filter(|key| self.has_cap_room(*key));
        let gangs: Vec<StepKey> = gangs.filter(|key| !order.contains(key)).take(MAX_GANGS_BY_AGE).collect();
        order.extend(gangs);
        let count = if is_full || self.has_caps() { usize::MAX } else { MAX_STEPS_PER_PASS };
        let ranked = self.ready.ordered(&self.standings, count).into_iter();
        let ranked: Vec<StepKey> = ranked.filter(|key| !order.contains(key)).collect();
        order.extend(ranked);
        order
    }

    /// Returns the late gangs, those of entitled jobs and longest wait first. By rank the largest ones would wait until the load falls.
    pub(super) fn longest_waiting_gangs(&self) -> Vec<StepKey> {
        let arrival = |key: &StepKey| {
            let job = self.jobs.get(&key.job)?;
            let is_gang = job.spec.steps.get(key.step as usize)?.gang;
            Some(*job.due.get(key.occurrence as usize)?).filter(|_| is_gang)
        };
        let late = self.ready.iter().filter(|(rank, _)| rank.timeliness != Timeliness::InTime);
        let mut gangs: Vec<(bool, Timestamp, StepKey)> =
            late.filter_map(|(rank, k)| Some((rank.is_excess, arrival(k)?, *k))).collect();
        gangs.sort();
        gangs.into_iter().map(|(_, _, key)| key).collect()
    }

    fn candidates(&self, now: Timestamp) -> Candidates {
        let isolated = self.workers.values().filter(|w| w.health.is_isolated(now)).count();
        let ignore_isolation = isolated * 2 > self.workers.len();
        let usable = self
            .workers
            .iter()
            .filter(|(_, w)| w.is_usable(now) && (ignore_isolation || !w.health.is_isolated(now)));
        let (on_probation, usable): (Vec<_>, Vec<_>) = usable.partition(|(_, w)| w.has_probation());
        let slots = (usable.len() / WORKERS_PER_PROBATION).max(MIN_PROBATION_SLOTS);
        let unproven = on_probation.iter().filter(|(_, w)| w.unproven_jobs().next().is_some()).count();
        let mut runs = BTreeMap::new();
        self.workers
            .values()
            .flat_map(Worker::unproven_jobs)
            .for_each(|job| *runs.entry(job).or_default() += 1);
        let probation = ProbationSlots { free: slots.saturating_sub(unproven), runs };
        let list: Vec<Candidate> = usable
            .into_iter()
            .map(|(incarnation, worker)| Candidate {
                incarnation: incarnation.clone(),
                service: worker.entry.service.clone(),
                free: worker.free_resources(),
                capacity: worker.entry.capacity,
                rack: worker.entry.rack.clone(),
                labels: worker.entry.labels.clone(),
                recently_failed: worker.health.recently_failed(now),
                speed: self.placement_speed(incarnation),
            })
            .collect();
        let index = list.iter().enumerate().map(|(index, c)| (c.incarnation.clone(), index)).collect();
        Candidates { list, index, probation }
    }

    /// Updates the rank of a step without requesting another pass.
    fn rerank_placed_step(&mut self, now: Timestamp, key: StepKey) {
        let pass_due = self.pass_due;
        self.rerank_step(now, key);
        self.pass_due = pass_due;
    }

    /// Returns the workers on which a step could be placed; a step that needs a recommendation is limited to the workers
    /// that were recommended for it.
    fn placement_options(
        &self,
        now: Timestamp,
        key: StepKey,
        candidates: &Candidates,
        reserved: &BTreeSet<WorkerIncarnation>,
    ) -> PlacementOptions {
        let mut options = PlacementOptions::default();
        let Some(job) = self.jobs.get(&key.job) else { return options };
        let step_spec = &job.spec.steps[key.step as usize];
        let step = &job.occurrences[key.occurrence as usize][key.step as usize];
        let queue = &job.spec.queue;
        let has_failures = step.tasks.iter().any(|t| !t.failures.is_empty());
        let resources = step_spec.reserved();
        let median = self.median_duration(key);
        let partners = self.neighbour_partners(key);
        let mut consider = |index: usize, has_ticket: bool| {
            let candidate = &candidates.list[index];
            let is_reserved = queue.priority > 0 && reserved.contains(&candidate.incarnation);
            let eligible = is_eligible(candidate, &queue.service, step_spec);
            if !eligible
                || is_reserved
                || (has_failures && candidate.recently_failed)
                || !resources.fits(candidate.free)
            {
                return;
            }
            let max_tasks = step_spec.max_per_worker.map_or(u32::MAX, |max_per_worker| {
                // Includes runs that are being stopped and runs that the records place on other workers.
                let present = self.workers.get(&candidate.incarnation).map_or(0, |w| w.run_count(key));
                max_per_worker.saturating_sub(u32::try_from(present).unwrap_or(u32::MAX))
            });
            if max_tasks == 0 {
                return;
            }
            if !has_ticket {
                return options.expired.push(candidate.incarnation.clone());
            }
            let is_data_local =
                step_spec.data_rack.is_none() || step_spec.data_rack.as_deref() == candidate.rack.as_deref();
            let slowdown = self.slowdown_on(&partners, &candidate.incarnation);
            options.indexes.push(index);
            options.capacities.push(FreeCapacity {
                incarnation: candidate.incarnation.clone(),
                free: candidate.free,
                rack: candidate.rack.clone(),
                max_tasks,
                is_data_local,
                recently_failed: candidate.recently_failed,
                expected: median
                    .zip(candidate.speed)
                    .map(|(median, speed)| self.duration_on(median, speed, is_data_local, slowdown)),
                slowdown,
            });
        };
        if queue.recommendation.is_none() {
            (0..candidates.list.len()).for_each(|index| consider(index, true));
            return options;
        }
        for (incarnation, ticket) in &step.tickets.recommended {
            if let Some(index) = candidates.index.get(incarnation) {
                consider(*index, Self::ticket_usable(now, ticket.until));
            }
        }
        options
    }

    /// Begins the next round of recommendation requests for a step that can't be placed although all workers have been named,
    /// since the answers may have changed or been wrong; returns whether it has begun.
    ///
    /// On a busy fleet a step with recommended workers waits for room on them instead.
    fn begin_request_round(&mut self, now: Timestamp, key: StepKey, candidates: &Candidates) -> bool {
        let Some(job) = self.jobs.get_mut(&key.job) else { return false };
        let step_spec = &job.spec.steps[key.step as usize];
        let tickets = &mut job.occurrences[key.occurrence as usize][key.step as usize].tickets;
        if now < tickets.next_round || tickets.requested.is_empty() {
            return false;
        }
        let eligible =
            || candidates.list.iter().filter(|c| is_eligible(c, &job.spec.queue.service, step_spec));
        let is_recommended = |c: &Candidate| tickets.recommended.contains_key(&c.incarnation);
        if !eligible().any(|c| !is_recommended(c) && step_spec.reserved().fits(c.free)) {
            return false;
        }
        let sum = |part: fn(&Candidate) -> Resources| eligible().map(|c| part(c).cpu.0).sum::<u64>();
        let is_busy = sum(|c| c.free) * 2 < sum(|c| c.capacity);
        if is_busy && eligible().any(is_recommended) {
            return false;
        }
        tickets.begin_round(now);
        self.counters.recommendation_rounds += 1;
        log::info!(
            target: "decision",
            "advice step={key} outcome=again round={} good={}",
            tickets.rounds,
            tickets.recommended.len()
        );
        true
    }

    /// Returns the workers that could run a step and are in none of its recommendation requests of this round, those with most
    /// free processors first.
    fn untried_workers(
        &self,
        now: Timestamp,
        key: StepKey,
        candidates: &Candidates,
    ) -> Vec<WorkerIncarnation> {
        let Some(job) = self.jobs.get(&key.job) else { return Vec::new() };
        let step_spec = &job.spec.steps[key.step as usize];
        let step = &job.occurrences[key.occurrence as usize][key.step as usize];
        let resources = step_spec.reserved();
        let is_untried = |c: &&Candidate| {
            is_eligible(c, &job.spec.queue.service, step_spec)
                && resources.fits(c.capacity)
                && !step.tickets.requested.contains(&c.incarnation)
        };
        let mut untried: Vec<&Candidate> = candidates.list.iter().filter(is_untried).collect();
        let Some(paces) = self.request_paces(now, key) else {
            untried.sort_by_key(|c| (!resources.fits(c.free), std::cmp::Reverse(c.free.cpu)));
            return untried.into_iter().map(|c| c.incarnation.clone()).collect();
        };
        let offers = untried.into_iter().map(|c| RequestOffer {
            is_isolated: false,
            free: c.free,
            pace: paces.pace(c.speed),
            incarnation: &c.incarnation,
        });
        order_by_pace(offers.collect(), step_spec, paces.size)
    }

    fn place_step(
        &mut self,
        now: Timestamp,
        key: StepKey,
        candidates: &mut Candidates,
        reserved: &BTreeSet<WorkerIncarnation>,
    ) -> PlaceOutcome {
        let Some(job) = self.jobs.get(&key.job) else { return PlaceOutcome::NoRoom };
        let spec = job.spec.clone();
        let step_spec = &spec.steps[key.step as usize];
        let step = &job.occurrences[key.occurrence as usize][key.step as usize];
        let needs_ticket = spec.queue.recommendation.is_some();
        let first_request = needs_ticket && step.tickets.requested.is_empty();
        let can_request = needs_ticket && !step.tickets.pending && now >= step.tickets.next_request;
        if first_request && step.tickets.pending {
            return PlaceOutcome::AwaitingTickets;
        }
        let mut pending = PendingTasks::new(step, step_spec, candidates.probation.admits(key.job));
        if self.pins.steps().any(|step| step == key) {
            pending.bind(step_spec.gang, |index| self.binding(key.task(index)));
        }
        if pending.count() == 0 {
            return PlaceOutcome::OnHold;
        }
        let admitted = self.cap_admits(key, pending.count());
        if admitted == 0 {
            return PlaceOutcome::Capped;
        }
        let is_capped = pending.truncate(admitted);
        let highest_run = step.tasks.iter().map(|t| t.run).max().unwrap_or(0);
        let PlacementOptions { capacities, indexes, expired } =
            self.placement_options(now, key, candidates, reserved);
        let goal = self.goal(now, key);
        let expected: Vec<Option<Duration>> = capacities.iter().map(|c| c.expected).collect();
        let plain = undisturbed(&capacities);
        let plain = plain.map(|plain| self.choose_workers(step_spec, &pending, goal, plain));
        let chosen = self.choose_workers(step_spec, &pending, goal, capacities);
        let changed = plain.map_or(0, |plain| chosen.iter().zip(&plain).filter(|(a, b)| a != b).count());
        self.counters.neighbour_placements += changed as u64;
        let incomplete = chosen.len() < pending.count();
        let resources = step_spec.reserved();
        let gang_run = step_spec.gang.then_some(highest_run + 1);
        for (index, chosen_index) in &chosen {
            let candidate = &mut candidates.list[indexes[*chosen_index]];
            candidate.free = candidate.free.saturating_sub(resources);
            let incarnation = candidate.incarnation.clone();
            let forecast = SpeedForecast::new(candidate.speed, expected[*chosen_index], goal);
            self.place_task(now, key, *index, gang_run, &incarnation, forecast);
        }
        for (_, chosen_index) in chosen.iter().filter(|(index, _)| pending.suspects.contains(index)) {
            candidates.list[indexes[*chosen_index]].free = Resources::ZERO;
            candidates.probation.take(key.job);
        }
        self.add_cap_usage(key, chosen.len());
        if !incomplete && is_capped {
            return PlaceOutcome::Capped;
        }
        if !incomplete {
            return if pending.on_hold { PlaceOutcome::OnHold } else { PlaceOutcome::Placed };
        }
        if can_request {
            // Tickets are renewed only for workers that have enough free resources now.
            let mut untried =
                if expired.is_empty() { self.untried_workers(now, key, candidates) } else { Vec::new() };
            if expired.is_empty() && untried.is_empty() && self.begin_request_round(now, key, candidates) {
                untried = self.untried_workers(now, key, candidates);
            }
            if expired.is_empty() && untried.is_empty() {
                return PlaceOutcome::NoRoom;
            }
            self.request_tickets(now, key, expired, untried);
        }
        if first_request { PlaceOutcome::AwaitingTickets } else { PlaceOutcome::NoRoom }
    }

    /// Chooses workers for pending tasks, as pairs of a task's index and an index into `capacities`. Tasks that are bound to a
    /// worker go there, and tasks under suspicion to the workers with the fewest runs.
    fn choose_workers(
        &self,
        step_spec: &StepSpec,
        pending: &PendingTasks,
        goal: Goal,
        mut capacities: Vec<FreeCapacity>,
    ) -> Vec<(u32, usize)> {
        let resources = step_spec.reserved();
        let mut chosen = Vec::new();
        for (index, incarnation) in &pending.pinned {
            let own = capacities.iter().position(|c| c.incarnation == *incarnation);
            match own.filter(|own| packing::fitting_tasks(resources, &capacities[*own]) > 0) {
                Some(own) => {
                    take_room(&mut capacities[own], resources);
                    chosen.push((*index, own));
                }
                None if step_spec.gang => return Vec::new(),
                None => {}
            }
        }
        if step_spec.gang {
            let members: Vec<u32> = pending.suspects.iter().chain(&pending.unsuspected).copied().collect();
            if members.is_empty() {
                return chosen;
            }
            let count = u32::try_from(members.len()).unwrap_or(u32::MAX);
            let allowed = if pending.suspects.is_empty() {
                (0..capacities.len()).collect()
            } else {
                self.quietest_workers(resources, count, &capacities)
            };
            let allowed_capacities: Vec<FreeCapacity> =
                allowed.iter().map(|index| capacities[*index].clone()).collect();
            let found =
                packing::place_gang(resources, count, step_spec.single_rack, goal, &allowed_capacities);
            let Some(found) = found else { return Vec::new() };
            chosen.extend(members.into_iter().zip(found.into_iter().map(|index| allowed[index])));
            return chosen;
        }
        for index in &pending.suspects {
            let Some(quietest) = self.quietest_workers(resources, 1, &capacities).first().copied() else {
                break;
            };
            capacities[quietest].max_tasks = 0;
            chosen.push((*index, quietest));
        }
        for index in &pending.unsuspected {
            let Some(chosen_index) = packing::place_single(resources, goal, &capacities) else { break };
            take_room(&mut capacities[chosen_index], resources);
            chosen.push((*index, chosen_index));
        }
        chosen
    }

    /// Returns the workers with the fewest runs that hold `count` tasks together, or all if they hold fewer.
    fn quietest_workers(&self, resources: Resources, count: u32, capacities: &[FreeCapacity]) -> Vec<usize> {
        let runs =
            |index: &usize| self.workers.get(&capacities[*index].incarnation).map_or(0, |w| w.runs.len());
        let fitting = |index: &usize| packing::fitting_tasks(resources, &capacities[*index]);
        let mut order: Vec<usize> = (0..capacities.len()).filter(|index| fitting(index) > 0).collect();
        order.sort_by_key(runs);
        let mut unplaced = count;
        order.retain(|index| {
            let needed = unplaced > 0;
            unplaced = unplaced.saturating_sub(fitting(index));
            needed
        });
        order
    }

    fn place_task(
        &mut self,
        now: Timestamp,
        key: StepKey,
        index: u32,
        gang_run: Option<u32>,
        incarnation: &WorkerIncarnation,
        forecast: Option<SpeedForecast>,
    ) {
        let epoch = self.epoch();
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let step = &mut job.occurrences[key.occurrence as usize][key.step as usize];
        let task = &mut step.tasks[index as usize];
        let run = gang_run.unwrap_or(task.run + 1);
        task.run = run;
        let task_key = key.task(index);
        let waited = now.since(job.due[key.occurrence as usize]).as_millis();
        let workspace = workspace_field(&job.spec);
        let details = forecast.map(|f| f.to_string()).unwrap_or_default();
        self.counters.speed_placements += u64::from(forecast.is_some());
        log::info!(target: "decision", "place task={task_key}{workspace} run={run} worker={incarnation} epoch={epoch} waited_ms={waited}{details}");
        task.placement = Some(Placement {
            incarnation: incarnation.clone(),
            run,
            phase: Phase::Storing,
            percent: 0,
            last_progress: now,
            measured_from: None,
        });
        let probation = task.losses.probation();
        let workspace = job.spec.workspace.as_ref().map(|w| w.name.clone());
        let demand = Demand::of(&job.spec.steps[key.step as usize], workspace);
        job.active_runs += 1;
        if let Some(worker) = self.workers.get_mut(incarnation) {
            worker.reserve(task_key, run, demand, None);
            if let Some(age) = probation {
                log::info!(target: "decision", "probation task={task_key} run={run} worker={incarnation} age_ms={}", age.as_millis());
                worker.put_on_probation(task_key, run, age);
            }
        }
        self.note_neighbour(key, incarnation);
        self.batch.progress.insert(key.job);
        self.batch.effects.push(Effect::Start(task_key, run));
    }
}

/// Takes the room of a task of a step from a worker.
fn take_room(capacity: &mut FreeCapacity, resources: Resources) {
    capacity.free = capacity.free.saturating_sub(resources);
    capacity.max_tasks = capacity.max_tasks.saturating_sub(1);
}

/// Returns whether a worker has the service and the label that a step requires.
pub(super) fn is_eligible(candidate: &Candidate, service: &str, step_spec: &StepSpec) -> bool {
    *candidate.service == *service && step_spec.label.as_ref().is_none_or(|l| candidate.labels.contains(l))
}
