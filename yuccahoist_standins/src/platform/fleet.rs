//! Simulated workers of one service, which check each order against the scheduling invariants.
//!
//! All workers share one lock, since gangs span workers. Time advances only through [`Fleet::advance`]; times are
//! milliseconds on the clock of the caller of that function.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use self::caps::CapHistory;
pub use self::caps::{CapTable, WorkspaceCap};
pub use self::overlap::{Overlap, TaskRun};
pub use self::worker::WorkerSpec;
use self::worker::{Run, Worker};
use super::order::{HoldOrder, OrderRefusal, PaceOrder, StartOrder, Step, StopOrder, job_and_step, step_id};

mod caps;
mod check;
mod gang;
mod overlap;
mod view;
mod worker;

/// Time from a stop order to the end of the run.
const STOP_DURATION_MS: u64 = 300;
/// Longest lease that an order can grant, unless it is set.
const DEFAULT_MAX_LEASE_MS: u64 = 10_000;
/// Speed of the slowest worker clock, percent of real time.
const SLOWEST_CLOCK_PERCENT: u64 = 98;
/// Share of workers that a step with recommendations may run on, percent.
const RECOMMENDED_PERCENT: u64 = 75;

/// Job that a client submits.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Submission {
    /// Specification text, which each start order must repeat unchanged.
    pub text: String,
    /// Steps, in the order of their numbers.
    pub steps: Vec<Step>,
    /// Failures of a task, or of a gang as a whole, after which the job fails.
    pub attempts: u32,
    /// Whether each start needs a ticket from the recommendation service.
    pub advised: bool,
    /// Workspace whose cap the job's runs count against; `None` for a job without one.
    pub workspace: Option<String>,
}

/// Fault rates of the workers, each a probability from 0 to 1.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct FleetFaults {
    /// Probability that an order is executed seconds later and never answered.
    pub delayed_orders: f64,
    /// Whether a delayed order is late on its way, so that a later incarnation of the worker may execute it.
    pub is_delayed_on_way: bool,
    /// Probability that a run fails.
    pub failed_runs: f64,
}

#[derive(Debug, Default)]
struct Job {
    submission: Submission,
    /// Time at which a cancel was acknowledged to the client.
    cancelled_at: Option<u64>,
    is_accepted: bool,
    has_started: bool,
}

/// Simulated workers, the jobs that clients submitted, and the violations found so far.
#[derive(Debug)]
pub struct Fleet {
    workers: BTreeMap<String, Worker>,
    jobs: BTreeMap<String, Job>,
    faults: FleetFaults,
    rng: StdRng,
    /// Longest lease that an order can grant, milliseconds.
    max_lease: u64,
    now: u64,
    /// Time 0 in Unix milliseconds.
    wall: u64,
    last_starts: BTreeMap<String, u64>,
    /// Tasks with a run that ended as done, acknowledged or not.
    done_tasks: BTreeSet<String>,
    /// Tasks whose successful end was acknowledged within the lease.
    acknowledged_tasks: BTreeSet<String>,
    /// Acknowledged failures of each task or gang.
    acknowledged_failures: BTreeMap<String, u32>,
    /// All failures of each task or gang, acknowledged or not.
    all_failures: BTreeMap<String, u32>,
    /// Checkpoints that were reported for each task and each step.
    checkpoints: BTreeMap<String, BTreeSet<String>>,
    /// Gangs, by step and run, whose members all ran at once.
    complete_gangs: BTreeSet<(String, u32)>,
    /// Step, worker and start of its incarnation of each ticket.
    tickets: BTreeMap<String, (String, String, u64)>,
    /// Time of the last delayed order.
    last_delayed_order: u64,
    caps: CapHistory,
    start_count: u64,
    /// Runs of a task that were active at once.
    overlaps: Vec<Overlap>,
    violations: Vec<String>,
}

impl Fleet {
    /// Creates workers that are all up; `wall` is time 0 in Unix milliseconds, `seed` that of all random choices.
    #[must_use]
    pub fn new(seed: u64, wall: u64, specs: Vec<WorkerSpec>) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut workers = BTreeMap::new();
        for spec in specs {
            let clock_percent = rng.random_range(SLOWEST_CLOCK_PERCENT..=100);
            let worker = Worker::new(spec.clone(), wall, 0, clock_percent);
            workers.insert(spec.id, worker);
        }
        Self {
            workers,
            jobs: BTreeMap::new(),
            faults: FleetFaults::default(),
            rng,
            max_lease: DEFAULT_MAX_LEASE_MS,
            now: 0,
            wall,
            last_starts: BTreeMap::new(),
            done_tasks: BTreeSet::new(),
            acknowledged_tasks: BTreeSet::new(),
            acknowledged_failures: BTreeMap::new(),
            all_failures: BTreeMap::new(),
            checkpoints: BTreeMap::new(),
            complete_gangs: BTreeSet::new(),
            tickets: BTreeMap::new(),
            last_delayed_order: 0,
            caps: CapHistory::default(),
            start_count: 0,
            overlaps: Vec::new(),
            violations: Vec::new(),
        }
    }

    /// Replaces the fault rates; runs that are in progress keep their outcome.
    pub const fn set_faults(&mut self, faults: FleetFaults) {
        self.faults = faults;
    }

    /// Registers a job that a client is about to submit; must come before the first order for its tasks.
    pub fn record_submission(&mut self, job: &str, submission: Submission) {
        self.jobs.insert(job.into(), Job { submission, ..Job::default() });
    }

    /// Records that the submission of a job was accepted.
    pub fn record_acceptance(&mut self, job: &str) {
        if let Some(job) = self.jobs.get_mut(job) {
            job.is_accepted = true;
        }
    }

    /// Records that every attempt to submit a job was refused; a violation if one of its tasks has started.
    pub fn record_refusal(&mut self, job: &str) {
        if self.jobs.get(job).is_some_and(|j| j.has_started) {
            self.violations.push(format!("job {job} was refused but has started"));
        }
    }

    /// Records the time at which the cancel of a job was acknowledged.
    pub fn record_cancel(&mut self, job: &str) {
        let now = self.now;
        if let Some(job) = self.jobs.get_mut(job) {
            job.cancelled_at.get_or_insert(now);
        }
    }

    /// Records a violation that a caller has found.
    pub fn record_violation(&mut self, violation: String) {
        self.violations.push(violation);
    }

    /// Current time, milliseconds.
    #[must_use]
    pub const fn now(&self) -> u64 {
        self.now
    }

    /// Violations of the scheduling invariants so far, oldest first; empty if every order was valid.
    #[must_use]
    pub fn violations(&self) -> &[String] {
        &self.violations
    }

    /// Number of runs that workers have started.
    #[must_use]
    pub const fn start_count(&self) -> u64 {
        self.start_count
    }

    /// Whether the recommendations of a step include a worker; the first worker always is, so that every step
    /// can run.
    fn is_recommended(&self, step: &str, worker: &str) -> bool {
        let mut hasher = DefaultHasher::new();
        (step, worker).hash(&mut hasher);
        hasher.finish() % 100 < RECOMMENDED_PERCENT
            || self.workers.keys().next().is_some_and(|first| first == worker)
    }

    /// Recommends workers for a step, each with a new ticket that its start order must carry.
    pub fn recommend(&mut self, step: &str, workers: &[String]) -> Vec<(String, String)> {
        let recommended: Vec<&String> =
            workers.iter().filter(|worker| self.is_recommended(step, worker)).collect();
        let tickets: Vec<(String, String)> = recommended
            .into_iter()
            .map(|worker| (worker.clone(), format!("{:016x}", self.rng.random::<u64>())))
            .collect();
        for (worker, ticket) in &tickets {
            let started_at = self.workers.get(worker).map_or(0, |w| w.started_at);
            self.tickets.insert(ticket.clone(), (step.into(), worker.clone(), started_at));
        }
        tickets
    }

    /// Crashes a worker: its runs and its unacknowledged ends are lost.
    pub fn crash(&mut self, id: &str) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.is_up = false;
            worker.runs.clear();
            worker.ended_runs.clear();
        }
    }

    /// Crashes a worker whose connections stay open: calls wait for its next incarnation, which executes them.
    pub fn darken(&mut self, id: &str) {
        self.crash(id);
        if let Some(worker) = self.workers.get_mut(id) {
            worker.is_dark = true;
        }
    }

    /// Starts a new incarnation of a worker, without any state of the previous one.
    pub fn restart(&mut self, id: &str) {
        let (now, wall) = (self.now, self.wall);
        if let Some(worker) = self.workers.get_mut(id) {
            let timer_delay = worker.timer_delay;
            *worker = Worker::new(worker.spec.clone(), wall + now, now, worker.clock_percent);
            worker.timer_delay = timer_delay;
        }
    }

    /// Sets the longest lease that an order can grant, milliseconds.
    pub const fn set_max_lease(&mut self, max_lease: u64) {
        self.max_lease = max_lease;
    }

    /// Makes the present incarnations of all workers older, milliseconds; their clocks show as much more.
    pub fn age_workers(&mut self, age: u64) {
        for worker in self.workers.values_mut() {
            worker.started_at = worker.started_at.saturating_sub(age);
            worker.initial_clock += age;
        }
    }

    /// Restarts all workers with the slowest clocks, and with lease timers that fire up to `max_delay` milliseconds late.
    pub fn slow_clocks(&mut self, max_delay: u64) {
        for id in self.workers.keys().cloned().collect::<Vec<_>>() {
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.clock_percent = SLOWEST_CLOCK_PERCENT;
                worker.timer_delay = self.rng.random_range(0..=max_delay);
            }
            self.restart(&id);
        }
    }

    /// Sets how long a worker that drains still serves, milliseconds; `None` ends the draining.
    pub fn set_draining(&mut self, id: &str, remaining_ms: Option<u64>) {
        let now = self.now;
        if let Some(worker) = self.workers.get_mut(id) {
            worker.drain_end = remaining_ms.map(|remaining| now + remaining);
        }
    }

    /// Removes a worker from the registry. Its runs stay active until [`Fleet::crash`] or their ends.
    pub fn deregister(&mut self, id: &str) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.is_registered = false;
        }
    }

    /// Whether a later incarnation of a worker executes the delayed orders of an earlier one.
    #[must_use]
    pub const fn is_delayed_on_way(&self) -> bool {
        self.faults.is_delayed_on_way
    }

    /// Decides at random whether the next order is delayed, and returns its delay in milliseconds.
    pub fn sample_delay(&mut self) -> Option<u64> {
        let is_delayed = self.faults.delayed_orders > 0.0 && self.rng.random_bool(self.faults.delayed_orders);
        if is_delayed {
            self.last_delayed_order = self.now;
        }
        is_delayed.then(|| self.rng.random_range(2_000..6_000))
    }

    /// Advances the time to `now`: expires leases, then ends runs and gangs that are due.
    pub fn advance(&mut self, now: u64) {
        self.now = self.now.max(now);
        let now = self.now;
        for worker in self.workers.values_mut().filter(|w| w.is_up) {
            if worker.lease_expiry <= worker.clock(now.saturating_sub(worker.timer_delay)) {
                worker.last_voided = worker.last_end;
                for key in worker.runs.keys().cloned().collect::<Vec<_>>() {
                    worker.end_run(now, key, "lapsed");
                }
            }
            let is_due = |r: &Run| r.ends_at <= now && (!r.in_gang || r.end_kind == "stopped");
            let due: Vec<_> =
                worker.runs.iter().filter(|(_, r)| is_due(r)).map(|(k, r)| (k.clone(), r.end_kind)).collect();
            for (key, end_kind) in due {
                match end_kind {
                    "done" => drop(self.done_tasks.insert(key.0.clone())),
                    "failed" => *self.all_failures.entry(key.0.clone()).or_default() += 1,
                    _ => {}
                }
                worker.end_run(now, key, end_kind);
            }
        }
        self.advance_gangs();
        self.end_overlaps();
    }

    /// Extends the lease of a worker and removes the ends that the order acknowledges.
    ///
    /// # Errors
    ///
    /// `Fenced` for a fencing token below the highest one seen; `Invalid` for an unknown worker.
    pub fn hold(&mut self, id: &str, order: &HoldOrder) -> Result<(), OrderRefusal> {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(id) else { return Err(OrderRefusal::Invalid) };
        if order.fencing_token < worker.highest_token {
            return Err(OrderRefusal::Fenced);
        }
        worker.highest_token = order.fencing_token;
        let expiry = order.deadline_ms.unwrap_or_default().min(worker.clock(now) + self.max_lease);
        worker.lease_expiry = worker.lease_expiry.max(expiry);
        let (last_seen, last_voided) = (order.last_seen, worker.last_voided);
        let (acknowledged, pending): (Vec<_>, Vec<_>) =
            std::mem::take(&mut worker.ended_runs).into_iter().partition(|(_, e)| e.0 <= last_seen);
        worker.ended_runs = pending;
        for (ended_at, (number, task, _, end_kind, _)) in acknowledged {
            if number > last_voided {
                self.acknowledge_end(&task, end_kind, ended_at);
            }
        }
        Ok(())
    }

    /// Stops a run, and returns the worker's clock; a run that did not start here yet is refused from now on.
    ///
    /// # Errors
    ///
    /// `Fenced` for a fencing token below the highest one seen; `Invalid` for an unknown worker.
    pub fn stop(&mut self, id: &str, order: &StopOrder) -> Result<u64, OrderRefusal> {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(id) else { return Err(OrderRefusal::Invalid) };
        if order.fencing_token < worker.highest_token {
            return Err(OrderRefusal::Fenced);
        }
        worker.highest_token = order.fencing_token;
        if let Some(run) = worker.runs.get_mut(&(order.task_id.clone(), order.run_id)) {
            run.ends_at = run.ends_at.min(now + STOP_DURATION_MS);
            run.end_kind = "stopped";
        } else {
            let highest = worker.highest_runs.entry(order.task_id.clone()).or_default();
            *highest = (*highest).max(order.run_id);
        }
        Ok(worker.clock(now))
    }

    /// Sets the speed of a filler, and returns the worker's clock; other runs are not affected.
    ///
    /// # Errors
    ///
    /// `Fenced` for a fencing token below the highest one seen; `Invalid` for an unknown worker.
    pub fn set_pace(&mut self, id: &str, order: &PaceOrder) -> Result<u64, OrderRefusal> {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(id) else { return Err(OrderRefusal::Invalid) };
        if order.fencing_token < worker.highest_token {
            return Err(OrderRefusal::Fenced);
        }
        worker.highest_token = order.fencing_token;
        if let Some(run) = worker.runs.get_mut(&(order.task_id.clone(), order.run_id)) {
            run.pace = run.pace.map(|_| order.percentage.min(100));
        }
        Ok(worker.clock(now))
    }

    /// Starts a run, checks the start against the invariants, and returns the worker's clock. The order arrived at
    /// `received`, which precedes the start if the worker executes it late.
    ///
    /// # Errors
    ///
    /// Fails when the worker refuses the order, with the reason; `Invalid` also for an unknown worker or task.
    pub fn start(&mut self, id: &str, order: &StartOrder, received: u64) -> Result<u64, OrderRefusal> {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(id) else { return Err(OrderRefusal::Invalid) };
        if order.fencing_token < worker.highest_token {
            return Err(OrderRefusal::Fenced);
        }
        worker.highest_token = order.fencing_token;
        let key = (order.task_id.clone(), order.run_id);
        let (clock, started_at) = (worker.clock(now), worker.started_at);
        if worker.runs.contains_key(&key) {
            worker.lease_expiry = worker.lease_expiry.max(order.deadline_ms.min(clock + self.max_lease));
            return Ok(clock);
        }
        if worker.highest_runs.get(&order.task_id).is_some_and(|highest| order.run_id <= *highest) {
            worker.lease_expiry = worker.lease_expiry.max(order.deadline_ms.min(clock + self.max_lease));
            return Err(OrderRefusal::Old);
        }
        if order.deadline_ms <= clock {
            return Err(OrderRefusal::Late);
        }
        let step = step_id(&order.task_id);
        let Some(spec) = self.check_start(id, order) else { return Err(OrderRefusal::Invalid) };
        let job = job_and_step(&order.task_id).map_or("", |(job, _)| job);
        if self.jobs.get(job).is_some_and(|j| j.submission.advised) {
            let ticket = (step, id.to_owned(), started_at);
            if self.tickets.get(&order.ticket_id) != Some(&ticket) {
                return Err(OrderRefusal::Ticket);
            }
        }
        if let Some(job) = self.jobs.get_mut(job) {
            job.has_started = true;
        }
        self.check_caps(&order.task_id, &spec, received);
        self.start_count += 1;
        if !spec.speculative {
            self.record_overlaps(id, order);
        }
        self.last_starts.insert(order.task_id.clone(), now);
        let fails = self.faults.failed_runs > 0.0 && self.rng.random_bool(self.faults.failed_runs);
        let saved_ms = u64::from_str_radix(&order.last_checkpoint, 16).unwrap_or_default();
        let run = Run {
            fencing_token: order.fencing_token,
            started_at: now,
            ends_at: if spec.long_running {
                u64::MAX
            } else {
                now + spec.estimated_ms.saturating_sub(saved_ms)
            },
            end_kind: if fails { "failed" } else { "done" },
            in_gang: spec.gang_scheduled,
            cpu_millis: if spec.fill_ratio { 0 } else { spec.cpu_request },
            memory_mb: spec.mem_mb,
            saved_ms,
            is_checkpointing: spec.checkpointing,
            pace: spec.fill_ratio.then_some(100),
            tail_target: Some(spec.target_ms).filter(|target| *target > 0),
        };
        let Some(worker) = self.workers.get_mut(id) else { return Err(OrderRefusal::Invalid) };
        worker.lease_expiry = worker.lease_expiry.max(order.deadline_ms.min(clock + self.max_lease));
        worker.runs.insert(key, run);
        Ok(clock)
    }
}
