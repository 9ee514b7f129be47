//! Simulated workers of one service, which check each order against the scheduling invariants.
//!
//! All workers share one lock, since gangs span workers. Time advances only through [`Fleet::advance`]; times are
//! milliseconds on the clock of the caller of that function.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::order::{
    EndedRow, HoldOrder, HoldReply, OrderRefusal, PaceOrder, StartOrder, Step, StopOrder, tasks,
};

/// Time from a stop order to the end of the run.
const STOP_DURATION_MS: u64 = 300;
/// Time after which an incomplete gang ends, counted from the start of its first member.
const GANG_START_TIMEOUT_MS: u64 = 3_000;
/// Longest lease that an order can grant.
const MAX_LEASE_MS: u64 = 10_000;
/// Work between two checkpoints of a run.
const CHECKPOINT_INTERVAL_MS: u64 = 500;
/// Time after an acknowledged cancel in which tasks of the job may still start.
const CANCEL_GRACE_MS: u64 = 3_000;
/// Time after a delayed order in which starts of cancelled jobs are not checked, as the order may predate the cancel.
const DELAYED_ORDER_GRACE_MS: u64 = 15_000;
/// Largest number of ended runs in one report.
const MAX_REPORTED_ENDS: usize = 500;
/// Share of workers that a step with recommendations may run on, percent.
const RECOMMENDED_PERCENT: u64 = 75;

/// Capacity and labels of a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerSpec {
    /// Worker id, as in the registry and in orders.
    pub id: String,
    /// CPU capacity, thousandths of a core.
    pub cpu_millis: u64,
    /// Memory capacity, MB.
    pub memory_mb: u64,
    /// Labels that a step can require: the kind of the worker and its rack.
    pub labels: Vec<String>,
}

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
}

/// Fault rates of the workers, each a probability from 0 to 1.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct FleetFaults {
    /// Probability that an order is executed seconds later and never answered.
    pub delayed_orders: f64,
    /// Probability that a run fails.
    pub failed_runs: f64,
}

#[derive(Debug, Clone)]
struct Run {
    started_at: u64,
    /// Time at which the work is done, or at which a stop takes effect.
    ends_at: u64,
    end_kind: &'static str,
    in_gang: bool,
    cpu_millis: u64,
    memory_mb: u64,
    /// Work that the resumed checkpoint covers, milliseconds.
    saved_ms: u64,
    is_checkpointing: bool,
    /// Speed of a filler, percent; `None` for other tasks.
    pace: Option<u32>,
    /// Target of the tail latency of a serving task, milliseconds.
    tail_target: Option<u64>,
}

/// Member of a gang: worker, task, run.
type Member = (String, String, Run);

#[derive(Debug)]
struct Worker {
    spec: WorkerSpec,
    /// Start of the incarnation, Unix milliseconds.
    started_at: u64,
    /// Time at which the worker's clock reads 0.
    clock_start: u64,
    /// Speed of the worker's clock, percent of real time.
    clock_percent: u64,
    is_up: bool,
    is_draining: bool,
    highest_token: u64,
    /// Expiry of the lease on the worker's clock.
    lease_expiry: u64,
    runs: BTreeMap<(String, u32), Run>,
    /// Ended runs that are not acknowledged, each with the time of its end.
    ended_runs: Vec<(u64, EndedRow)>,
    last_end: u64,
    /// Number of the last end that was not acknowledged before the lease expired; ends up to it do not count.
    last_voided: u64,
    highest_runs: BTreeMap<String, u32>,
}

impl Worker {
    /// New incarnation, without runs and without a lease.
    const fn new(spec: WorkerSpec, started_at: u64, clock_start: u64, clock_percent: u64) -> Self {
        Self {
            spec,
            started_at,
            clock_start,
            clock_percent,
            is_up: true,
            is_draining: false,
            highest_token: 0,
            lease_expiry: 0,
            runs: BTreeMap::new(),
            ended_runs: Vec::new(),
            last_end: 0,
            last_voided: 0,
            highest_runs: BTreeMap::new(),
        }
    }

    fn clock(&self, now: u64) -> u64 {
        now.saturating_sub(self.clock_start) * self.clock_percent / 100
    }

    /// Returns the run's newest checkpoint, the finished work as hexadecimal milliseconds; empty without one.
    fn checkpoint(run: &Run, now: u64) -> String {
        if !run.is_checkpointing {
            return String::new();
        }
        let work = run.saved_ms
            + now.saturating_sub(run.started_at) / CHECKPOINT_INTERVAL_MS * CHECKPOINT_INTERVAL_MS;
        if work == 0 { String::new() } else { format!("{work:08x}") }
    }

    fn end_run(&mut self, now: u64, key: (String, u32), end_kind: &'static str) {
        let Some(run) = self.runs.remove(&key) else { return };
        let (task, run_id) = key;
        let highest = self.highest_runs.entry(task.clone()).or_default();
        *highest = (*highest).max(run_id);
        self.last_end += 1;
        let checkpoint = Self::checkpoint(&run, now);
        self.ended_runs.push((now, (self.last_end, task, run_id, end_kind, checkpoint)));
    }
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
    now: u64,
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
    /// Step and worker of each ticket.
    tickets: BTreeMap<String, (String, String)>,
    /// Time of the last delayed order.
    last_delayed_order: u64,
    start_count: u64,
    violations: Vec<String>,
}

/// Returns the job and the step number of a task id of the form `JOB.OCCURRENCE.STEP.INDEX`.
fn job_and_step(task: &str) -> Option<(&str, usize)> {
    let mut segments = task.split('.');
    let job = segments.next()?;
    let step = segments.nth(1)?.parse().ok()?;
    Some((job, step))
}

/// Returns the id of a task's step, which is also that of its gang.
fn step_id(task: &str) -> String {
    task.rsplit_once('.').map_or(task, |(step, _)| step).to_owned()
}

impl Fleet {
    /// Creates workers that are all up; `wall` is time 0 in Unix milliseconds, `seed` that of all random choices.
    #[must_use]
    pub fn new(seed: u64, wall: u64, specs: Vec<WorkerSpec>) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut workers = BTreeMap::new();
        for spec in specs {
            // Worker clocks run up to 2 % slow.
            let worker = Worker::new(spec.clone(), wall, 0, rng.random_range(98..=100));
            workers.insert(spec.id, worker);
        }
        Self {
            workers,
            jobs: BTreeMap::new(),
            faults: FleetFaults::default(),
            rng,
            now: 0,
            last_starts: BTreeMap::new(),
            done_tasks: BTreeSet::new(),
            acknowledged_tasks: BTreeSet::new(),
            acknowledged_failures: BTreeMap::new(),
            all_failures: BTreeMap::new(),
            checkpoints: BTreeMap::new(),
            complete_gangs: BTreeSet::new(),
            tickets: BTreeMap::new(),
            last_delayed_order: 0,
            start_count: 0,
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

    /// Checks a job state that was reported to a client against the runs so far.
    pub fn check_reported_state(&mut self, job: &str, state: &str) {
        let Some(known) = self.jobs.get(job) else { return };
        let is_done = |(step, spec): (usize, &Step)| {
            let step = u32::try_from(step).unwrap_or(u32::MAX);
            tasks(job, step, spec.task_count).iter().all(|task| self.done_tasks.contains(task))
        };
        let completed = known.submission.steps.iter().enumerate().all(is_done);
        let exhausted = self
            .acknowledged_failures
            .iter()
            .any(|(task, failures)| task.starts_with(job) && *failures >= known.submission.attempts);
        match state {
            "completed" if !completed => {
                self.violations
                    .push(format!("job {job} is reported as completed before all its tasks are done"));
            }
            "failed" if !exhausted => self.violations.push(format!("job {job} failed with attempts left")),
            _ => {}
        }
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
            self.tickets.insert(ticket.clone(), (step.into(), worker.clone()));
        }
        tickets
    }

    /// Registry entry of a worker that listens at `address`; `None` while it is down.
    #[must_use]
    pub fn registry_entry(&self, id: &str, address: &str) -> Option<serde_json::Value> {
        let worker = self.workers.get(id).filter(|w| w.is_up)?;
        Some(serde_json::json!({
            "service": "service", "address": address, "zone": "zone", "version": "v1", "slots": 8,
            "state": if worker.is_draining { "draining" } else { "ready" },
            "coldRemainingMs": 0, "born": worker.started_at, "sequence": worker.clock(self.now),
            "capacity": { "cpuRequest": worker.spec.cpu_millis, "memMb": worker.spec.memory_mb, "gpuCount": 0 },
            "labels": worker.spec.labels,
        }))
    }

    /// Start of the worker's incarnation, Unix milliseconds; `None` while it is down.
    #[must_use]
    pub fn started_at(&self, id: &str) -> Option<u64> {
        self.workers.get(id).filter(|w| w.is_up).map(|w| w.started_at)
    }

    /// Whether the worker is up; false for an unknown one.
    #[must_use]
    pub fn is_up(&self, id: &str) -> bool {
        self.workers.get(id).is_some_and(|w| w.is_up)
    }

    /// Crashes a worker: its runs and its unacknowledged ends are lost.
    pub fn crash(&mut self, id: &str) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.is_up = false;
            worker.runs.clear();
            worker.ended_runs.clear();
        }
    }

    /// Starts a new incarnation of a worker, without any state of the previous one.
    pub fn restart(&mut self, id: &str) {
        let now = self.now;
        if let Some(worker) = self.workers.get_mut(id) {
            *worker = Worker::new(worker.spec.clone(), worker.started_at + now, now, worker.clock_percent);
        }
    }

    /// Sets whether the registry entry of a worker shows it as draining.
    pub fn set_draining(&mut self, id: &str, draining: bool) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.is_draining = draining;
        }
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
            if worker.lease_expiry <= worker.clock(now) {
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
    }

    fn advance_gangs(&mut self) {
        let now = self.now;
        let mut gangs: BTreeMap<(String, u32), Vec<Member>> = BTreeMap::new();
        for (id, worker) in &self.workers {
            for ((task, run_id), run) in
                worker.runs.iter().filter(|(_, r)| r.in_gang && r.end_kind != "stopped")
            {
                gangs.entry((step_id(task), *run_id)).or_default().push((
                    id.clone(),
                    task.clone(),
                    run.clone(),
                ));
            }
        }
        for ((gang, run_id), members) in gangs {
            let Some((job, step)) = job_and_step(&members[0].1) else { continue };
            let Some(spec) = self.jobs.get(job).and_then(|j| j.submission.steps.get(step)) else { continue };
            let (work, count) = (spec.estimated_ms, spec.task_count as usize);
            let (job, step) = (job.to_owned(), u32::try_from(step).unwrap_or(u32::MAX));
            let key = (gang, run_id);
            if members.len() == count {
                self.complete_gangs.insert(key.clone());
            }
            let was_complete = self.complete_gangs.contains(&key);
            let last_start = members.iter().map(|(_, _, r)| r.started_at).max().unwrap_or(now);
            let first_start = members.iter().map(|(_, _, r)| r.started_at).min().unwrap_or(now);
            let saved_ms = members[0].2.saved_ms;
            let end_kind = if was_complete && members.len() < count {
                "broken"
            } else if was_complete && now >= last_start + work.saturating_sub(saved_ms) {
                if members.iter().any(|(_, _, r)| r.end_kind == "failed") { "failed" } else { "done" }
            } else if !was_complete && now >= first_start + GANG_START_TIMEOUT_MS {
                "alone"
            } else {
                continue;
            };
            match end_kind {
                "done" => self.done_tasks.extend(tasks(&job, step, spec.task_count)),
                "failed" => *self.all_failures.entry(key.0.clone()).or_default() += 1,
                _ => {}
            }
            for (index, (id, task, _)) in members.into_iter().enumerate() {
                // Only the first member reports the failure, so that it counts once; the others end with it.
                let end_kind = if end_kind == "failed" && index > 0 { "broken" } else { end_kind };
                if let Some(worker) = self.workers.get_mut(&id) {
                    worker.end_run(now, (task, run_id), end_kind);
                }
            }
        }
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
        let expiry = order.deadline_ms.unwrap_or_default().min(worker.clock(now) + MAX_LEASE_MS);
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

    /// Records an end that was acknowledged before the lease expired.
    fn acknowledge_end(&mut self, task: &str, end_kind: &str, ended_at: u64) {
        let Some((job, step)) = job_and_step(task) else { return };
        let Some(known) = self.jobs.get(job) else { return };
        let Some(spec) = known.submission.steps.get(step) else { return };
        let (is_exclusive, job) = (!spec.speculative, job.to_owned());
        match end_kind {
            "done" if spec.gang_scheduled => {
                let step = u32::try_from(step).unwrap_or(u32::MAX);
                self.acknowledged_tasks.extend(tasks(&job, step, spec.task_count));
            }
            "done" => {
                self.acknowledged_tasks.insert(task.into());
            }
            "failed" => {
                let owner = if spec.gang_scheduled { step_id(task) } else { task.to_owned() };
                *self.acknowledged_failures.entry(owner).or_default() += 1;
            }
            _ => {}
        }
        if end_kind == "done"
            && is_exclusive
            && self.last_starts.get(task).is_some_and(|start| *start > ended_at)
        {
            self.violations.push(format!("task {task} has started after its acknowledged end"));
        }
    }

    /// Returns the current answer to a hold order; `None` for an unknown worker.
    #[must_use]
    pub fn report(&self, id: &str) -> Option<HoldReply> {
        let worker = self.workers.get(id)?;
        // Model of the tail latency: 60 ms without fillers, and 40 ms more for each filler at full speed.
        let tail = 60
            + worker.runs.values().filter_map(|r| r.pace).map(|pace| u64::from(pace) * 40 / 100).sum::<u64>();
        let row = |((task, run_id), run): (&(String, u32), &Run)| {
            let load = if run.tail_target.is_some() { tail } else { run.cpu_millis };
            let duration = run.ends_at.saturating_sub(run.started_at).max(1);
            let percent = (self.now.saturating_sub(run.started_at) * 100 / duration).min(100);
            (task.clone(), *run_id, Worker::checkpoint(run, self.now), percent, load)
        };
        Some(HoldReply {
            clock_ms: worker.clock(self.now),
            born: worker.started_at,
            active_runs: worker.runs.iter().map(row).collect(),
            ended_runs: worker
                .ended_runs
                .iter()
                .take(MAX_REPORTED_ENDS)
                .map(|(_, end)| end.clone())
                .collect(),
        })
    }

    /// Whether a worker has an unacknowledged end with a number above `last`.
    #[must_use]
    pub fn has_end_after(&self, id: &str, last: u64) -> bool {
        self.workers.get(id).is_some_and(|w| w.ended_runs.iter().any(|(_, e)| e.0 > last))
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

    /// Worst tail latency of all serving tasks, percent of its target; 0 without a serving task.
    #[must_use]
    pub fn worst_tail_percent(&self) -> u64 {
        let worst_on = |id: &String| {
            let report = self.report(id)?;
            let load = |key: &(String, u32)| {
                report.active_runs.iter().find(|row| row.0 == key.0 && row.1 == key.1).map(|row| row.4)
            };
            let runs = self.workers[id].runs.iter();
            runs.filter_map(|(key, run)| Some(load(key)? * 100 / run.tail_target?)).max()
        };
        self.workers.keys().filter_map(worst_on).max().unwrap_or(0)
    }

    /// Starts a run, checks the start against the invariants, and returns the worker's clock.
    ///
    /// # Errors
    ///
    /// Fails when the worker refuses the order, with the reason; `Invalid` also for an unknown worker or task.
    pub fn start(&mut self, id: &str, order: &StartOrder) -> Result<u64, OrderRefusal> {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(id) else { return Err(OrderRefusal::Invalid) };
        if order.fencing_token < worker.highest_token {
            return Err(OrderRefusal::Fenced);
        }
        worker.highest_token = order.fencing_token;
        let key = (order.task_id.clone(), order.run_id);
        let clock = worker.clock(now);
        if worker.runs.contains_key(&key) {
            return Ok(clock);
        }
        if worker.highest_runs.get(&order.task_id).is_some_and(|highest| order.run_id <= *highest) {
            worker.lease_expiry = worker.lease_expiry.max(order.deadline_ms.min(clock + MAX_LEASE_MS));
            return Err(OrderRefusal::Old);
        }
        if order.deadline_ms <= clock {
            return Err(OrderRefusal::Late);
        }
        let step = step_id(&order.task_id);
        let Some(spec) = self.check_start(id, order) else { return Err(OrderRefusal::Invalid) };
        let job = job_and_step(&order.task_id).map_or("", |(job, _)| job);
        if self.jobs.get(job).is_some_and(|j| j.submission.advised) {
            let ticket = (step, id.to_owned());
            if self.tickets.get(&order.ticket_id) != Some(&ticket) {
                return Err(OrderRefusal::Ticket);
            }
        }
        if let Some(job) = self.jobs.get_mut(job) {
            job.has_started = true;
        }
        self.start_count += 1;
        self.last_starts.insert(order.task_id.clone(), now);
        let fails = self.faults.failed_runs > 0.0 && self.rng.random_bool(self.faults.failed_runs);
        let saved_ms = u64::from_str_radix(&order.last_checkpoint, 16).unwrap_or_default();
        let run = Run {
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
        worker.lease_expiry = worker.lease_expiry.max(order.deadline_ms.min(clock + MAX_LEASE_MS));
        worker.runs.insert(key, run);
        Ok(clock)
    }

    /// Checks a start against the invariants, and returns the step of the task; `None` for an unknown task.
    fn check_start(&mut self, id: &str, order: &StartOrder) -> Option<Step> {
        let task = &order.task_id;
        let mut violations = Vec::new();
        let known = job_and_step(task).and_then(|(job, step)| Some((job, self.jobs.get(job)?, step)));
        let Some((job, known, spec)) =
            known.and_then(|(job, known, step)| Some((job, known, known.submission.steps.get(step)?)))
        else {
            self.violations.push(format!("start of task {task} on {id}, which belongs to no submitted job"));
            return None;
        };
        let spec = spec.clone();
        if order.specification != known.submission.text {
            violations.push("with a specification that was not submitted".into());
        }
        let no_recent_delay =
            self.last_delayed_order == 0 || self.now > self.last_delayed_order + DELAYED_ORDER_GRACE_MS;
        if no_recent_delay && known.cancelled_at.is_some_and(|at| self.now > at + CANCEL_GRACE_MS) {
            violations.push("beyond the grace period after its job was cancelled".into());
        }
        if !spec.speculative {
            if self.acknowledged_tasks.contains(task) {
                violations.push("after its acknowledged end".into());
            }
            let is_running = |w: &Worker| w.is_up && w.runs.keys().any(|(other, _)| other == task);
            if let Some((other, _)) = self.workers.iter().find(|(_, w)| is_running(w)) {
                violations.push(format!("while it runs on {other}"));
            }
            let owner = if spec.gang_scheduled { step_id(task) } else { task.clone() };
            if self
                .acknowledged_failures
                .get(&owner)
                .is_some_and(|failed| *failed >= known.submission.attempts)
            {
                violations.push("after its last attempt".into());
            }
        }
        for after in &spec.after {
            let count = known.submission.steps.get(*after as usize).map_or(0, |s| s.task_count);
            if !tasks(job, *after, count).iter().all(|predecessor| self.done_tasks.contains(predecessor)) {
                violations.push(format!("before step {after} is done"));
            }
        }
        let checkpoint = &order.last_checkpoint;
        let owner = if spec.gang_scheduled { step_id(task) } else { task.clone() };
        if !checkpoint.is_empty()
            && !self.checkpoints.get(&owner).is_some_and(|known| known.contains(checkpoint))
        {
            violations.push(format!("from checkpoint {checkpoint:?}, which none of its runs reported"));
        }
        if let Some(worker) = self.workers.get(id) {
            let (cpu_millis, memory_mb) = worker.runs.values().fold((0, 0), |(cpu_millis, memory_mb), r| {
                (cpu_millis + r.cpu_millis, memory_mb + r.memory_mb)
            });
            let cpu_request = if spec.fill_ratio { 0 } else { spec.cpu_request };
            if cpu_millis + cpu_request > worker.spec.cpu_millis
                || memory_mb + spec.mem_mb > worker.spec.memory_mb
            {
                violations.push(format!("on {id} beyond its capacity"));
            }
            let step = step_id(task);
            let present = worker.runs.keys().filter(|(other, _)| step_id(other) == step).count();
            if spec.anti_affinity > 0 && present >= spec.anti_affinity as usize {
                violations.push(format!("on {id} beside {present} tasks of its step"));
            }
            let label = &spec.requirements;
            if !label.is_empty() && !worker.spec.labels.contains(label) {
                violations.push(format!("on {id} without the label {label}"));
            }
        }
        self.violations
            .extend(violations.into_iter().map(|violation| format!("task {task} starts {violation}")));
        Some(spec)
    }

    /// Records the checkpoints in a reply that is sent; only these may be resumed.
    pub fn record_checkpoints(&mut self, reply: &HoldReply) {
        let active = reply.active_runs.iter().map(|(task, _, checkpoint, ..)| (task, checkpoint));
        let ended = reply.ended_runs.iter().map(|(_, task, _, _, checkpoint)| (task, checkpoint));
        for (task, checkpoint) in active.chain(ended).filter(|(_, checkpoint)| !checkpoint.is_empty()) {
            for owner in [task.clone(), step_id(task)] {
                self.checkpoints.entry(owner).or_default().insert(checkpoint.clone());
            }
        }
    }
}
