//! Workers of one service in model time, and the promises that they check.
//!
//! All workers share one lock, since gangs span workers. Times are milliseconds of the caller's clock.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::order::{Ended, Hold, HoldReply, Pace, Refused, Start, Step, Stop, tasks};

/// Time that a stop takes, milliseconds.
const STOP_MS: u64 = 300;
/// Time that a member of a gang waits for the others, milliseconds.
const GANG_MS: u64 = 3_000;
/// Longest lease, milliseconds.
const LEASE_MS: u64 = 10_000;
/// Work between two records of progress, milliseconds.
const SAVE_MS: u64 = 500;
/// Time after a confirmed cancel in which tasks may still start, milliseconds.
const CANCEL_MS: u64 = 3_000;
/// Time after a late order in which nothing is said about its sender, milliseconds.
const LATE_MS: u64 = 15_000;
/// Ends in one report.
const REPORT_LIMIT: usize = 500;
/// Share of workers that may run a step on a queue with recommendations.
const ALLOWED: u64 = 75; // percent

/// Shape of a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerShape {
    /// Name.
    pub id: String,
    /// Thousandths of a core.
    pub cpu: u64,
    /// Memory, MB.
    pub memory: u64,
    /// Kind and rack.
    pub labels: Vec<String>,
}

/// Job that a client submits.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Submission {
    /// Text.
    pub text: String,
    /// Steps.
    pub steps: Vec<Step>,
    /// Runs of a task that may fail.
    pub attempts: u32,
    /// Whether starts need a ticket.
    pub advised: bool,
}

/// What goes wrong at the workers, each as a share.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct FleetFaults {
    /// Orders that are not answered and are carried out seconds later.
    pub late: f64,
    /// Runs that fail.
    pub failing: f64,
}

#[derive(Debug, Clone)]
struct Run {
    started: u64,
    /// Time at which the work is done; the end of the stop after a stop.
    ends: u64,
    how: &'static str,
    gang: bool,
    cpu: u64,
    memory: u64,
    /// Work done before this run, milliseconds.
    saved: u64,
    saves: bool,
    /// Speed of a run that fills, percent.
    pace: Option<u32>,
    /// Target of the tail of a run that serves, milliseconds.
    target: Option<u64>,
}

/// Member of a gang: worker, task, run.
type Member = (String, String, Run);

#[derive(Debug)]
struct Worker {
    shape: WorkerShape,
    born: u64,
    /// Start of the worker's clock.
    offset: u64,
    /// Clock's speed, percent.
    speed: u64,
    up: bool,
    draining: bool,
    token: u64,
    lease: u64,
    runs: BTreeMap<(String, u32), Run>,
    ends: Vec<(u64, Ended)>,
    number: u64,
    /// Ends up to this number were not confirmed before the lease expired.
    voided: u64,
    highest: BTreeMap<String, u32>,
}

impl Worker {
    /// Worker that has just started and knows nothing.
    const fn new(shape: WorkerShape, born: u64, offset: u64, speed: u64) -> Self {
        Self {
            shape,
            born,
            offset,
            speed,
            up: true,
            draining: false,
            token: 0,
            lease: 0,
            runs: BTreeMap::new(),
            ends: Vec::new(),
            number: 0,
            voided: 0,
            highest: BTreeMap::new(),
        }
    }

    fn clock(&self, now: u64) -> u64 {
        now.saturating_sub(self.offset) * self.speed / 100
    }

    fn progress(run: &Run, now: u64) -> String {
        if !run.saves {
            return String::new();
        }
        let work = run.saved + now.saturating_sub(run.started) / SAVE_MS * SAVE_MS;
        if work == 0 { String::new() } else { format!("{work:08x}") }
    }

    fn end(&mut self, now: u64, key: (String, u32), how: &'static str) {
        let Some(run) = self.runs.remove(&key) else { return };
        let (task, number) = key;
        let highest = self.highest.entry(task.clone()).or_default();
        *highest = (*highest).max(number);
        self.number += 1;
        let saved = Self::progress(&run, now);
        self.ends.push((now, (self.number, task, number, how, saved)));
    }
}

#[derive(Debug, Default)]
struct Job {
    submission: Submission,
    /// Time at which a cancel was confirmed.
    cancelled: Option<u64>,
    accepted: bool,
    started: bool,
}

/// Workers, and what they know of the jobs.
#[derive(Debug)]
pub struct Fleet {
    workers: BTreeMap<String, Worker>,
    jobs: BTreeMap<String, Job>,
    faults: FleetFaults,
    rng: StdRng,
    now: u64,
    /// Last start of each task.
    begun: BTreeMap<String, u64>,
    /// Tasks with an end that is done, and those whose end was confirmed.
    done: BTreeSet<String>,
    noted: BTreeSet<String>,
    /// Confirmed failures of each task or gang, and all failures.
    failed: BTreeMap<String, u32>,
    failures: BTreeMap<String, u32>,
    progress: BTreeMap<String, BTreeSet<String>>,
    whole: BTreeSet<(String, u32)>,
    tickets: BTreeMap<String, (String, String)>,
    late: u64,
    starts: u64,
    broken: Vec<String>,
}

/// Job and step of a task's name.
fn parts(task: &str) -> Option<(&str, usize)> {
    let mut words = task.split('.');
    let job = words.next()?;
    let step = words.nth(1)?.parse().ok()?;
    Some((job, step))
}

fn group(task: &str) -> String {
    task.rsplit_once('.').map_or(task, |(group, _)| group).to_owned()
}

impl Fleet {
    /// Workers that are up; `wall` is the Unix millisecond of the time 0.
    #[must_use]
    pub fn new(seed: u64, wall: u64, shapes: Vec<WorkerShape>) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut workers = BTreeMap::new();
        for shape in shapes {
            // Clocks may be two hundredths slow.
            let worker = Worker::new(shape.clone(), wall, 0, rng.random_range(98..=100));
            workers.insert(shape.id, worker);
        }
        Self {
            workers,
            jobs: BTreeMap::new(),
            faults: FleetFaults::default(),
            rng,
            now: 0,
            begun: BTreeMap::new(),
            done: BTreeSet::new(),
            noted: BTreeSet::new(),
            failed: BTreeMap::new(),
            failures: BTreeMap::new(),
            progress: BTreeMap::new(),
            whole: BTreeSet::new(),
            tickets: BTreeMap::new(),
            late: 0,
            starts: 0,
            broken: Vec::new(),
        }
    }

    /// Sets what goes wrong.
    pub const fn set_faults(&mut self, faults: FleetFaults) {
        self.faults = faults;
    }

    /// Notes that a client is about to submit a job.
    pub fn submitted(&mut self, job: &str, submission: Submission) {
        self.jobs.insert(job.into(), Job { submission, ..Job::default() });
    }

    /// Notes that a job was accepted.
    pub fn accepted(&mut self, job: &str) {
        if let Some(job) = self.jobs.get_mut(job) {
            job.accepted = true;
        }
    }

    /// Notes that every try to submit a job was refused.
    pub fn refused(&mut self, job: &str) {
        if self.jobs.get(job).is_some_and(|j| j.started) {
            self.broken.push(format!("job {job} was refused and has started"));
        }
    }

    /// Notes that a cancel was confirmed.
    pub fn cancelled(&mut self, job: &str) {
        let now = self.now;
        if let Some(job) = self.jobs.get_mut(job) {
            job.cancelled.get_or_insert(now);
        }
    }

    /// Notes a state that a client was shown.
    pub fn shown(&mut self, job: &str, state: &str) {
        let Some(known) = self.jobs.get(job) else { return };
        let all = |(step, shape): (usize, &Step)| {
            let step = u32::try_from(step).unwrap_or(u32::MAX);
            tasks(job, step, shape.task_count).iter().all(|task| self.done.contains(task))
        };
        let complete = known.submission.steps.iter().enumerate().all(all);
        let spent = self
            .failed
            .iter()
            .any(|(task, failures)| task.starts_with(job) && *failures >= known.submission.attempts);
        match state {
            "completed" if !complete => {
                self.broken.push(format!("job {job} is shown as completed and is not"));
            }
            "failed" if !spent => self.broken.push(format!("job {job} is shown as failed without cause")),
            _ => {}
        }
    }

    /// Promises that were broken.
    #[must_use]
    pub fn broken(&self) -> &[String] {
        &self.broken
    }

    /// Starts so far.
    #[must_use]
    pub const fn starts(&self) -> u64 {
        self.starts
    }

    /// Whether a worker may run a step of a queue with recommendations; the first always may.
    fn allowed(&self, step: &str, worker: &str) -> bool {
        let mut hasher = DefaultHasher::new();
        (step, worker).hash(&mut hasher);
        hasher.finish() % 100 < ALLOWED || self.workers.keys().next().is_some_and(|first| first == worker)
    }

    /// Tickets of the workers that may run a step.
    pub fn advise(&mut self, step: &str, workers: &[String]) -> Vec<(String, String)> {
        let good: Vec<&String> = workers.iter().filter(|worker| self.allowed(step, worker)).collect();
        let rows: Vec<(String, String)> = good
            .into_iter()
            .map(|worker| (worker.clone(), format!("{:016x}", self.rng.random::<u64>())))
            .collect();
        for (worker, ticket) in &rows {
            self.tickets.insert(ticket.clone(), (step.into(), worker.clone()));
        }
        rows
    }

    /// Registry entry of a worker; none while it is down.
    #[must_use]
    pub fn entry(&self, id: &str, address: &str) -> Option<serde_json::Value> {
        let worker = self.workers.get(id).filter(|w| w.up)?;
        Some(serde_json::json!({
            "service": "service", "address": address, "zone": "zone", "version": "v1", "slots": 8,
            "state": if worker.draining { "draining" } else { "ready" },
            "coldRemainingMs": 0, "born": worker.born, "sequence": worker.clock(self.now),
            "capacity": { "cpuRequest": worker.shape.cpu, "memMb": worker.shape.memory, "gpuCount": 0 },
            "labels": worker.shape.labels,
        }))
    }

    /// Unix millisecond of the worker's start; none while it is down.
    #[must_use]
    pub fn born(&self, id: &str) -> Option<u64> {
        self.workers.get(id).filter(|w| w.up).map(|w| w.born)
    }

    /// Whether the worker runs.
    #[must_use]
    pub fn is_up(&self, id: &str) -> bool {
        self.workers.get(id).is_some_and(|w| w.up)
    }

    /// Ends a worker with everything that runs there.
    pub fn crash(&mut self, id: &str) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.up = false;
            worker.runs.clear();
            worker.ends.clear();
        }
    }

    /// Starts a worker again; it knows nothing of before.
    pub fn restart(&mut self, id: &str) {
        let now = self.now;
        if let Some(worker) = self.workers.get_mut(id) {
            *worker = Worker::new(worker.shape.clone(), worker.born + now, now, worker.speed);
        }
    }

    /// Sets whether a worker drains.
    pub fn drain(&mut self, id: &str, draining: bool) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.draining = draining;
        }
    }

    /// Delay of an order that is carried out late, milliseconds.
    pub fn lateness(&mut self) -> Option<u64> {
        let late = self.faults.late > 0.0 && self.rng.random_bool(self.faults.late);
        if late {
            self.late = self.now;
        }
        late.then(|| self.rng.random_range(2_000..6_000))
    }

    /// Lets time pass: leases, ends of runs, gangs.
    pub fn advance(&mut self, now: u64) {
        self.now = self.now.max(now);
        let now = self.now;
        for worker in self.workers.values_mut().filter(|w| w.up) {
            if worker.lease <= worker.clock(now) {
                worker.voided = worker.number;
                for key in worker.runs.keys().cloned().collect::<Vec<_>>() {
                    worker.end(now, key, "lapsed");
                }
            }
            let over = |r: &Run| r.ends <= now && (!r.gang || r.how == "stopped");
            let over: Vec<_> =
                worker.runs.iter().filter(|(_, r)| over(r)).map(|(k, r)| (k.clone(), r.how)).collect();
            for (key, how) in over {
                match how {
                    "done" => drop(self.done.insert(key.0.clone())),
                    "failed" => *self.failures.entry(key.0.clone()).or_default() += 1,
                    _ => {}
                }
                worker.end(now, key, how);
            }
        }
        self.advance_gangs();
    }

    fn advance_gangs(&mut self) {
        let now = self.now;
        let mut gangs: BTreeMap<(String, u32), Vec<Member>> = BTreeMap::new();
        for (id, worker) in &self.workers {
            for ((task, number), run) in worker.runs.iter().filter(|(_, r)| r.gang && r.how != "stopped") {
                gangs.entry((group(task), *number)).or_default().push((
                    id.clone(),
                    task.clone(),
                    run.clone(),
                ));
            }
        }
        for ((group, number), members) in gangs {
            let Some((job, step)) = parts(&members[0].1) else { continue };
            let Some(shape) = self.jobs.get(job).and_then(|j| j.submission.steps.get(step)) else { continue };
            let (work, count) = (shape.estimated_ms, shape.task_count as usize);
            let (job, step) = (job.to_owned(), u32::try_from(step).unwrap_or(u32::MAX));
            let key = (group, number);
            if members.len() == count {
                self.whole.insert(key.clone());
            }
            let whole = self.whole.contains(&key);
            let last = members.iter().map(|(_, _, r)| r.started).max().unwrap_or(now);
            let first = members.iter().map(|(_, _, r)| r.started).min().unwrap_or(now);
            let saved = members[0].2.saved;
            let how = if whole && members.len() < count {
                "broken"
            } else if whole && now >= last + work.saturating_sub(saved) {
                if members.iter().any(|(_, _, r)| r.how == "failed") { "failed" } else { "done" }
            } else if !whole && now >= first + GANG_MS {
                "alone"
            } else {
                continue;
            };
            match how {
                "done" => self.done.extend(tasks(&job, step, shape.task_count)),
                "failed" => *self.failures.entry(key.0.clone()).or_default() += 1,
                _ => {}
            }
            for (index, (id, task, _)) in members.into_iter().enumerate() {
                // One member fails, the others end with it.
                let how = if how == "failed" && index > 0 { "broken" } else { how };
                if let Some(worker) = self.workers.get_mut(&id) {
                    worker.end(now, (task, number), how);
                }
            }
        }
    }

    /// Carries out a hold.
    ///
    /// # Errors
    ///
    /// Fails for a token below one seen before.
    pub fn hold(&mut self, id: &str, order: &Hold) -> Result<(), Refused> {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(id) else { return Err(Refused::Invalid) };
        if order.fencing_token < worker.token {
            return Err(Refused::Fence);
        }
        worker.token = order.fencing_token;
        let lease = order.deadline_ms.unwrap_or_default().min(worker.clock(now) + LEASE_MS);
        worker.lease = worker.lease.max(lease);
        let (seen, voided) = (order.last_seen, worker.voided);
        let (noted, kept): (Vec<_>, Vec<_>) =
            std::mem::take(&mut worker.ends).into_iter().partition(|(_, e)| e.0 <= seen);
        worker.ends = kept;
        for (at, (number, task, _, how, _)) in noted {
            if number > voided {
                self.note(&task, how, at);
            }
        }
        Ok(())
    }

    /// An end was confirmed before the lease expired.
    fn note(&mut self, task: &str, how: &str, at: u64) {
        let Some((job, step)) = parts(task) else { return };
        let Some(known) = self.jobs.get(job) else { return };
        let Some(shape) = known.submission.steps.get(step) else { return };
        let (single, job) = (!shape.speculative, job.to_owned());
        match how {
            "done" if shape.gang_scheduled => {
                let step = u32::try_from(step).unwrap_or(u32::MAX);
                self.noted.extend(tasks(&job, step, shape.task_count));
            }
            "done" => {
                self.noted.insert(task.into());
            }
            "failed" => {
                let owner = if shape.gang_scheduled { group(task) } else { task.to_owned() };
                *self.failed.entry(owner).or_default() += 1;
            }
            _ => {}
        }
        if how == "done" && single && self.begun.get(task).is_some_and(|begun| *begun > at) {
            self.broken.push(format!("task {task} has started after its confirmed end"));
        }
    }

    /// What a hold is answered with.
    #[must_use]
    pub fn report(&self, id: &str) -> Option<HoldReply> {
        let worker = self.workers.get(id)?;
        // Each filler at full speed adds 40 ms to a tail of 60 ms.
        let tail = 60
            + worker.runs.values().filter_map(|r| r.pace).map(|pace| u64::from(pace) * 40 / 100).sum::<u64>();
        let row = |((task, number), run): (&(String, u32), &Run)| {
            let load = if run.target.is_some() { tail } else { run.cpu };
            let length = run.ends.saturating_sub(run.started).max(1);
            let percent = (self.now.saturating_sub(run.started) * 100 / length).min(100);
            (task.clone(), *number, Worker::progress(run, self.now), percent, load)
        };
        Some(HoldReply {
            clock_ms: worker.clock(self.now),
            born: worker.born,
            active_runs: worker.runs.iter().map(row).collect(),
            ended_runs: worker.ends.iter().take(REPORT_LIMIT).map(|(_, end)| end.clone()).collect(),
        })
    }

    /// Whether a worker has an end above a number.
    #[must_use]
    pub fn has_news(&self, id: &str, last: u64) -> bool {
        self.workers.get(id).is_some_and(|w| w.ends.iter().any(|(_, e)| e.0 > last))
    }

    /// Carries out a stop.
    ///
    /// # Errors
    ///
    /// Fails for a token below one seen before.
    pub fn stop(&mut self, id: &str, order: &Stop) -> Result<u64, Refused> {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(id) else { return Err(Refused::Invalid) };
        if order.fencing_token < worker.token {
            return Err(Refused::Fence);
        }
        worker.token = order.fencing_token;
        if let Some(run) = worker.runs.get_mut(&(order.task_id.clone(), order.run_id)) {
            run.ends = run.ends.min(now + STOP_MS);
            run.how = "stopped";
        } else {
            let highest = worker.highest.entry(order.task_id.clone()).or_default();
            *highest = (*highest).max(order.run_id);
        }
        Ok(worker.clock(now))
    }

    /// Sets the speed of a run.
    ///
    /// # Errors
    ///
    /// Fails for a token below one seen before.
    pub fn pace(&mut self, id: &str, order: &Pace) -> Result<u64, Refused> {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(id) else { return Err(Refused::Invalid) };
        if order.fencing_token < worker.token {
            return Err(Refused::Fence);
        }
        worker.token = order.fencing_token;
        if let Some(run) = worker.runs.get_mut(&(order.task_id.clone(), order.run_id)) {
            run.pace = run.pace.map(|_| order.percentage.min(100));
        }
        Ok(worker.clock(now))
    }

    /// Worst tail of the runs that serve, as a part of its target in percent.
    #[must_use]
    pub fn worst_tail(&self) -> u64 {
        let part = |id: &String| {
            let report = self.report(id)?;
            let load = |key: &(String, u32)| {
                report.active_runs.iter().find(|row| row.0 == key.0 && row.1 == key.1).map(|row| row.4)
            };
            let runs = self.workers[id].runs.iter();
            runs.filter_map(|(key, run)| Some(load(key)? * 100 / run.target?)).max()
        };
        self.workers.keys().filter_map(part).max().unwrap_or(0)
    }

    /// Carries out a start, and checks the promises.
    ///
    /// # Errors
    ///
    /// Fails when the worker refuses the order.
    pub fn start(&mut self, id: &str, order: &Start) -> Result<u64, Refused> {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(id) else { return Err(Refused::Invalid) };
        if order.fencing_token < worker.token {
            return Err(Refused::Fence);
        }
        worker.token = order.fencing_token;
        let key = (order.task_id.clone(), order.run_id);
        let clock = worker.clock(now);
        if worker.runs.contains_key(&key) {
            return Ok(clock);
        }
        if worker.highest.get(&order.task_id).is_some_and(|highest| order.run_id <= *highest) {
            worker.lease = worker.lease.max(order.deadline_ms.min(clock + LEASE_MS));
            return Err(Refused::Old);
        }
        if order.deadline_ms <= clock {
            return Err(Refused::Late);
        }
        let step = group(&order.task_id);
        let Some(shape) = self.check(id, order) else { return Err(Refused::Invalid) };
        let job = parts(&order.task_id).map_or("", |(job, _)| job);
        if self.jobs.get(job).is_some_and(|j| j.submission.advised) {
            let ticket = (step, id.to_owned());
            if self.tickets.get(&order.ticket_id) != Some(&ticket) {
                return Err(Refused::Ticket);
            }
        }
        if let Some(job) = self.jobs.get_mut(job) {
            job.started = true;
        }
        self.starts += 1;
        self.begun.insert(order.task_id.clone(), now);
        let failing = self.faults.failing > 0.0 && self.rng.random_bool(self.faults.failing);
        let saved = u64::from_str_radix(&order.last_checkpoint, 16).unwrap_or_default();
        let run = Run {
            started: now,
            ends: if shape.long_running { u64::MAX } else { now + shape.estimated_ms.saturating_sub(saved) },
            how: if failing { "failed" } else { "done" },
            gang: shape.gang_scheduled,
            cpu: if shape.fill_ratio { 0 } else { shape.cpu_request },
            memory: shape.mem_mb,
            saved,
            saves: shape.checkpointing,
            pace: shape.fill_ratio.then_some(100),
            target: Some(shape.target_ms).filter(|target| *target > 0),
        };
        let Some(worker) = self.workers.get_mut(id) else { return Err(Refused::Invalid) };
        worker.lease = worker.lease.max(order.deadline_ms.min(clock + LEASE_MS));
        worker.runs.insert(key, run);
        Ok(clock)
    }

    /// Step of a task that is about to start, after a check of the promises.
    fn check(&mut self, id: &str, order: &Start) -> Option<Step> {
        let task = &order.task_id;
        let mut broken = Vec::new();
        let known = parts(task).and_then(|(job, step)| Some((job, self.jobs.get(job)?, step)));
        let Some((job, known, shape)) =
            known.and_then(|(job, known, step)| Some((job, known, known.submission.steps.get(step)?)))
        else {
            self.broken.push(format!("task {task}, which nobody submitted, is to start on {id}"));
            return None;
        };
        let shape = shape.clone();
        if order.specification != known.submission.text {
            broken.push("with another text".into());
        }
        let calm = self.late == 0 || self.now > self.late + LATE_MS;
        if calm && known.cancelled.is_some_and(|at| self.now > at + CANCEL_MS) {
            broken.push("long after its job was cancelled".into());
        }
        if !shape.speculative {
            if self.noted.contains(task) {
                broken.push("after its confirmed end".into());
            }
            let runs = |w: &Worker| w.up && w.runs.keys().any(|(other, _)| other == task);
            if let Some((other, _)) = self.workers.iter().find(|(_, w)| runs(w)) {
                broken.push(format!("while it runs on {other}"));
            }
            let owner = if shape.gang_scheduled { group(task) } else { task.clone() };
            if self.failed.get(&owner).is_some_and(|failed| *failed >= known.submission.attempts) {
                broken.push("after its last attempt".into());
            }
        }
        for after in &shape.after {
            let count = known.submission.steps.get(*after as usize).map_or(0, |s| s.task_count);
            if !tasks(job, *after, count).iter().all(|before| self.done.contains(before)) {
                broken.push(format!("before step {after} is done"));
            }
        }
        let saved = &order.last_checkpoint;
        let owner = if shape.gang_scheduled { group(task) } else { task.clone() };
        if !saved.is_empty() && !self.progress.get(&owner).is_some_and(|known| known.contains(saved)) {
            broken.push(format!("with the foreign progress {saved:?}"));
        }
        if let Some(worker) = self.workers.get(id) {
            let (cpu, memory) =
                worker.runs.values().fold((0, 0), |(cpu, memory), r| (cpu + r.cpu, memory + r.memory));
            let need = if shape.fill_ratio { 0 } else { shape.cpu_request };
            if cpu + need > worker.shape.cpu || memory + shape.mem_mb > worker.shape.memory {
                broken.push(format!("on {id}, which has no room"));
            }
            let step = group(task);
            let beside = worker.runs.keys().filter(|(other, _)| group(other) == step).count();
            if shape.anti_affinity > 0 && beside >= shape.anti_affinity as usize {
                broken.push(format!("on {id} beside {beside} others"));
            }
            let label = &shape.requirements;
            if !label.is_empty() && !worker.shape.labels.contains(label) {
                broken.push(format!("on {id} without the label {label}"));
            }
        }
        self.broken.extend(broken.into_iter().map(|how| format!("task {task} starts {how}")));
        Some(shape)
    }

    /// Notes the progress that a report shows.
    pub fn reported(&mut self, reply: &HoldReply) {
        let active = reply.active_runs.iter().map(|(task, _, saved, ..)| (task, saved));
        let ended = reply.ended_runs.iter().map(|(_, task, _, _, saved)| (task, saved));
        for (task, saved) in active.chain(ended).filter(|(_, saved)| !saved.is_empty()) {
            for owner in [task.clone(), group(task)] {
                self.progress.entry(owner).or_default().insert(saved.clone());
            }
        }
    }
}
