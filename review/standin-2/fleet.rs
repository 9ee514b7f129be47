//! Workers, their entries in the store, and the service that recommends workers. They behave as the pages say, without
//! faults of their own; a scenario takes them down, cuts them off and starts them again.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Gate, Reply, Request};
use crate::json::{Json, quote};
use crate::record::Record;
use crate::store::Store;

/// `heartbeatMs`; an entry is removed after three of them without one.
const HEARTBEAT: Duration = Duration::from_millis(1_500);
const EXPIRY: Duration = Duration::from_millis(4_500);
/// `holdMaxMs`.
const MAX_LEASE_MS: u64 = 10_000;
/// Time from a stop order to the end of the run; at most `stopMs`.
const STOP_TIME: Duration = Duration::from_millis(300);
/// Startup of a task that lasts, before it is at work.
const STARTUP: Duration = Duration::from_millis(300);
/// Time for which an order that gets no answer keeps its connection; the caller gives up before.
const LATE_SILENCE: Duration = Duration::from_secs(2);
const TICK: Duration = Duration::from_millis(5);

/// Task of a job, as the scenario knows it.
#[derive(Debug, Clone, Copy)]
pub struct Work {
    pub duration: Duration,
    pub lasts: bool,
    /// Whether each start needs a ticket.
    pub advised: bool,
    /// Rack of the data; on another one the task takes `farX` times as long.
    pub data_rack: Option<&'static str>,
}

/// `farX`.
const FAR_FACTOR: u32 = 3;

/// Run as the workers have seen it.
#[derive(Debug, Clone)]
pub struct SeenRun {
    pub task: String,
    pub worker: String,
    pub started: Instant,
    /// End and how it ended; a worker that goes down ends its runs as `gone`.
    pub ended: Option<(Instant, String)>,
}

#[derive(Debug)]
struct Run {
    began: Instant,
    ends: Option<Instant>,
    how: &'static str,
    seen: usize,
    work: Work,
}

#[derive(Debug)]
struct Life {
    born: u64,
    clock_start: Instant,
    token: u64,
    lease_ms: u64,
    runs: BTreeMap<(String, u64), Run>,
    ended: Vec<(u64, String, u64, &'static str)>,
    ends: u64,
    highest: BTreeMap<String, u64>,
}

impl Life {
    fn new() -> Self {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        Self {
            born,
            clock_start: Instant::now(),
            token: 0,
            lease_ms: 0,
            runs: BTreeMap::new(),
            ended: Vec::new(),
            ends: 0,
            highest: BTreeMap::new(),
        }
    }

    fn clock(&self) -> u64 {
        self.clock_start.elapsed().as_millis() as u64
    }
}

#[derive(Debug)]
struct Worker {
    id: String,
    address: SocketAddr,
    labels: [String; 2],
    gate: Arc<Gate>,
    /// Whether its heartbeats reach the store.
    beats: bool,
    life: Life,
    last_beat: Option<Instant>,
    beat_count: u64,
}

/// Which workers the policy lets run a step.
pub type Policy = Box<dyn Fn(&str, &str) -> bool + Send + Sync>;

/// Start orders that get no answer and are carried out late, whatever life of the worker is there by then.
#[derive(Debug, Clone, Copy)]
struct LateOrders {
    until: Instant,
    /// One order in so many is late.
    one_in: usize,
    delay: Duration,
    count: usize,
}

pub struct Fleet {
    workers: Mutex<Vec<Worker>>,
    late: Mutex<Option<LateOrders>>,
    late_workers: Mutex<Vec<usize>>,
    jobs: Mutex<BTreeMap<String, Vec<Work>>>,
    seen: Mutex<Vec<SeenRun>>,
    policy: Policy,
    record: Arc<Record>,
    store: Arc<Store>,
    /// Processor and memory of each worker.
    room: (u64, u64),
    service: &'static str,
}

fn reply(status: u16, body: String) -> Reply {
    Some((status, body.into_bytes()))
}

impl Fleet {
    /// Starts `labels.len()` workers with these kinds and racks at the addresses.
    pub fn start(
        store: &Arc<Store>,
        record: &Arc<Record>,
        service: &'static str,
        room: (u64, u64),
        workers: Vec<(SocketAddr, [String; 2])>,
        policy: Policy,
    ) -> Arc<Fleet> {
        let worker = |(number, (address, labels)): (usize, (SocketAddr, [String; 2]))| Worker {
            id: format!("w-{number}"),
            address,
            labels,
            gate: Gate::open(),
            beats: true,
            life: Life::new(),
            last_beat: None,
            beat_count: 0,
        };
        let workers: Vec<Worker> = workers.into_iter().enumerate().map(worker).collect();
        let served: Vec<_> = workers.iter().map(|w| (w.address, w.gate.clone())).collect();
        let fleet = Arc::new(Fleet {
            workers: Mutex::new(workers),
            late: Mutex::new(None),
            late_workers: Mutex::default(),
            jobs: Mutex::default(),
            seen: Mutex::default(),
            policy,
            record: record.clone(),
            store: store.clone(),
            room,
            service,
        });
        for (number, (address, gate)) in served.into_iter().enumerate() {
            let fleet = fleet.clone();
            http::serve(address, gate, Arc::new(move |request| fleet.receive(number, request)));
        }
        let advancing = fleet.clone();
        thread::spawn(move || {
            loop {
                advancing.advance();
                thread::sleep(TICK);
            }
        });
        fleet
    }

    /// Tells the workers what the tasks of a job's steps are.
    pub fn expect(&self, job: &str, steps: Vec<Work>) {
        self.jobs.lock().unwrap().insert(job.into(), steps);
    }

    /// Returns all runs so far.
    pub fn runs(&self) -> Vec<SeenRun> {
        self.seen.lock().unwrap().clone()
    }

    pub fn worker_id(&self, number: usize) -> String {
        self.workers.lock().unwrap()[number].id.clone()
    }

    /// Takes a worker down: all that runs on it ends.
    pub fn crash(&self, number: usize) {
        let mut workers = self.workers.lock().unwrap();
        let worker = &mut workers[number];
        worker.gate.set_up(false);
        worker.beats = false;
        self.record.note(&format!("worker {} crashes", worker.id));
        let runs = std::mem::take(&mut worker.life.runs);
        for (_, run) in runs {
            self.seen.lock().unwrap()[run.seen].ended = Some((Instant::now(), "gone".into()));
        }
    }

    /// Starts a crashed worker again, at its address, with a new id if one is given.
    pub fn restart(&self, number: usize, id: Option<&str>) {
        let mut workers = self.workers.lock().unwrap();
        let worker = &mut workers[number];
        let old = worker.id.clone();
        if let Some(id) = id {
            worker.id = id.into();
        }
        worker.life = Life::new();
        worker.beats = true;
        worker.gate.set_up(true);
        self.record.note(&format!("worker {} starts again as {}", old, worker.id));
        beat(&self.store, worker, self.service, self.room);
        if worker.id != old {
            // The entry of a worker that is gone expires; here at once, as if it had been silent for long.
            let store = self.store.clone();
            thread::spawn(move || {
                thread::sleep(EXPIRY);
                store.publish("keyed.servers", &old, b"");
            });
        }
    }

    /// Cuts a worker off from the hosts and from the store, or ends the cut. It runs on meanwhile.
    pub fn set_cut(&self, number: usize, cut: bool) {
        let mut workers = self.workers.lock().unwrap();
        let worker = &mut workers[number];
        worker.gate.set_cut(cut);
        worker.beats = !cut;
        self.record.note(&format!("worker {} {}", worker.id, if cut { "is cut off" } else { "is back" }));
    }

    /// Lets one start order in `one_in` go unanswered for `span`, and be carried out `delay` later.
    pub fn set_late(&self, span: Duration, one_in: usize, delay: Duration) {
        self.record.note(&format!("one start order in {one_in} is carried out {delay:?} late"));
        let until = Instant::now() + span;
        *self.late.lock().unwrap() = Some(LateOrders { until, one_in, delay, count: 0 });
    }

    fn receive(self: &Arc<Self>, number: usize, request: &Request) -> Reply {
        let delay = {
            let mut late = self.late.lock().unwrap();
            late.as_mut().filter(|l| request.path == "/run-start" && Instant::now() < l.until).and_then(
                |late| {
                    late.count += 1;
                    (late.count % late.one_in == 0).then_some(late.delay)
                },
            )
        };
        let Some(delay) = delay else { return self.handle(number, request) };
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let order = format!("{} run {}", body.text("taskId")?, body.number("runId")?);
        let id = request.headers.get("expected-instance").cloned().unwrap_or_default();
        self.record.note(&format!("start {order} on {id} is left unanswered"));
        self.late_workers.lock().unwrap().push(number);
        let (fleet, mut request) = (self.clone(), request.clone());
        thread::spawn(move || {
            thread::sleep(delay);
            request.life = fleet.workers.lock().unwrap()[number].gate.life();
            let is_up = fleet.workers.lock().unwrap()[number].gate.is_up();
            if is_up {
                let status = fleet.handle(number, &request).map(|(status, _)| status);
                fleet.record.note(&format!("late start {order} on {id}: status {status:?}"));
            }
        });
        // The caller waits in vain.
        thread::sleep(LATE_SILENCE);
        None
    }

    /// Returns the workers to which late orders are under way, in the order of these.
    pub fn late_workers(&self) -> Vec<usize> {
        self.late_workers.lock().unwrap().clone()
    }

    /// Ends runs that are due and leases that are over; sends heartbeats, and removes entries of silent workers.
    fn advance(&self) {
        let now = Instant::now();
        let mut workers = self.workers.lock().unwrap();
        for worker in workers.iter_mut() {
            if worker.gate.is_up() {
                let lapsed = worker.life.clock() >= worker.life.lease_ms;
                let due: Vec<_> = worker
                    .life
                    .runs
                    .iter()
                    .filter(|(_, run)| lapsed || run.ends.is_some_and(|at| at <= now))
                    .map(|(key, run)| (key.clone(), if lapsed { "lapsed" } else { run.how }))
                    .collect();
                for (key, how) in due {
                    let Some(run) = worker.life.runs.remove(&key) else { continue };
                    worker.life.ends += 1;
                    let highest = worker.life.highest.entry(key.0.clone()).or_default();
                    *highest = (*highest).max(key.1);
                    self.record.note(&format!("end {} run {} on {}: {how}", key.0, key.1, worker.id));
                    worker.life.ended.push((worker.life.ends, key.0, key.1, how));
                    self.seen.lock().unwrap()[run.seen].ended = Some((now, how.into()));
                }
            }
            let age = worker.last_beat.map(|at| now.duration_since(at));
            if worker.beats && age.is_none_or(|age| age >= HEARTBEAT) {
                beat(&self.store, worker, self.service, self.room);
            } else if !worker.beats && age.is_some_and(|age| age >= EXPIRY) {
                self.store.publish("keyed.servers", &worker.id, b"");
                self.record.note(&format!("entry of worker {} expires", worker.id));
                worker.last_beat = None;
            }
        }
    }

    fn handle(&self, number: usize, request: &Request) -> Reply {
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let until = {
            let mut workers = self.workers.lock().unwrap();
            let worker = &mut workers[number];
            if request.headers.get("expected-instance").is_some_and(|id| *id != worker.id) {
                return reply(421, "{}".into());
            }
            let (born, clock) = (worker.life.born, worker.life.clock());
            let refuse = |reason: &str| {
                reply(409, format!(r#"{{"clockMs":{clock},"born":{born},"reason":"{reason}"}}"#))
            };
            let token = body.number("fencingToken").unwrap_or(0);
            if token < worker.life.token {
                return refuse("fence");
            }
            worker.life.token = token;
            let deadline = body.number("deadlineMs").unwrap_or(0).min(clock + MAX_LEASE_MS);
            let task = body.text("taskId").unwrap_or_default().to_owned();
            let run = body.number("runId").unwrap_or(0);
            let done = reply(200, format!(r#"{{"clockMs":{clock},"born":{born}}}"#));
            match request.path.as_str() {
                "/run-start" => {
                    if worker.life.runs.contains_key(&(task.clone(), run)) {
                        return done;
                    }
                    if worker.life.highest.get(&task).is_some_and(|highest| run <= *highest) {
                        worker.life.lease_ms = worker.life.lease_ms.max(deadline);
                        return refuse("old");
                    }
                    if deadline <= clock {
                        return refuse("late");
                    }
                    let Some(work) = self.work(&task) else { return reply(400, "{}".into()) };
                    let step = task.rsplit_once('.').map_or("", |(step, _)| step);
                    if work.advised && body.text("ticketId") != Some(&ticket(step, &worker.id, born)) {
                        self.record
                            .note(&format!("start {task} run {run} on {}: refused, ticket", worker.id));
                        return refuse("ticket");
                    }
                    self.record.note(&format!("start {task} run {run} on {}", worker.id));
                    worker.life.lease_ms = worker.life.lease_ms.max(deadline);
                    let now = Instant::now();
                    let mut seen = self.seen.lock().unwrap();
                    let is_far = work.data_rack.is_some_and(|rack| rack != worker.labels[1]);
                    let duration = work.duration * if is_far { FAR_FACTOR } else { 1 };
                    let ends = (!work.lasts).then(|| now + duration);
                    let key = (task.clone(), run);
                    worker
                        .life
                        .runs
                        .insert(key, Run { began: now, ends, how: "done", seen: seen.len(), work });
                    seen.push(SeenRun { task, worker: worker.id.clone(), started: now, ended: None });
                    return done;
                }
                "/run-stop" => {
                    let highest = worker.life.highest.entry(task.clone()).or_default();
                    match worker.life.runs.get_mut(&(task, run)) {
                        Some(run) => {
                            let at = Instant::now() + STOP_TIME;
                            run.ends = Some(run.ends.map_or(at, |ends| ends.min(at)));
                            run.how = "stopped";
                        }
                        None => *highest = (*highest).max(run),
                    }
                    return done;
                }
                "/pace" => return done,
                "/hold" => {}
                _ => return reply(404, "{}".into()),
            }
            worker.life.lease_ms = worker.life.lease_ms.max(deadline);
            let last_seen = body.number("lastSeen").unwrap_or(0);
            worker.life.ended.retain(|(number, ..)| *number > last_seen);
            Instant::now() + Duration::from_millis(body.number("maxWaitMs").unwrap_or(0))
        };
        loop {
            {
                let workers = self.workers.lock().unwrap();
                let worker = &workers[number];
                if worker.gate.life() != request.life {
                    return None;
                }
                if !worker.life.ended.is_empty() || Instant::now() >= until {
                    return reply(200, report(&worker.life));
                }
            }
            thread::sleep(TICK);
        }
    }

    fn work(&self, task: &str) -> Option<Work> {
        let mut parts = task.split('.');
        let (job, step) = (parts.next()?, parts.nth(1)?.parse::<usize>().ok()?);
        self.jobs.lock().unwrap().get(job)?.get(step).copied()
    }

    /// Serves the recommendations; a call takes `base`, and `each` for each worker named.
    pub fn serve_advice(self: &Arc<Self>, address: SocketAddr, base: Duration, each: Duration) {
        let fleet = self.clone();
        let handler = move |request: &Request| {
            let body = Json::parse(&request.body)?;
            let step = body.text("stepId")?.to_owned();
            let named = body.list("workers");
            thread::sleep(base + each * named.len() as u32);
            let mut good = Vec::new();
            for worker in fleet.workers.lock().unwrap().iter() {
                let is_named = named.contains(&Json::Text(worker.id.clone()));
                if is_named && (fleet.policy)(&step, &worker.id) {
                    good.push(format!(
                        "[{},{}]",
                        quote(&worker.id),
                        quote(&ticket(&step, &worker.id, worker.life.born))
                    ));
                }
            }
            fleet.record.note(&format!("advice for {step} on {} workers: {} good", named.len(), good.len()));
            reply(200, format!("{{\"good\":[{}]}}", good.join(",")))
        };
        http::serve(address, Gate::open(), Arc::new(handler));
    }
}

fn ticket(step: &str, worker: &str, born: u64) -> String {
    format!("{step}/{worker}/{born}")
}

fn report(life: &Life) -> String {
    let active: Vec<String> = life
        .runs
        .iter()
        .map(|((task, run), state)| {
            let age = state.began.elapsed();
            let percent = match state.ends {
                _ if state.work.lasts => u128::from(age >= STARTUP) * 100,
                Some(ends) => {
                    let whole = ends.saturating_duration_since(state.began).as_millis().max(1);
                    (age.as_millis() * 100 / whole).min(99)
                }
                None => 0,
            };
            format!(r#"[{},{run},"",{percent},0]"#, quote(task))
        })
        .collect();
    let ended: Vec<String> = life
        .ended
        .iter()
        .take(500)
        .map(|(number, task, run, how)| format!(r#"[{number},{},{run},"{how}",""]"#, quote(task)))
        .collect();
    format!(
        r#"{{"clockMs":{},"born":{},"activeRuns":[{}],"endedRuns":[{}]}}"#,
        life.clock(),
        life.born,
        active.join(","),
        ended.join(",")
    )
}

fn beat(store: &Store, worker: &mut Worker, service: &str, room: (u64, u64)) {
    worker.beat_count += 1;
    worker.last_beat = Some(Instant::now());
    let [kind, rack] = &worker.labels;
    let entry = format!(
        r#"{{"service":"{service}","address":"{}","zone":"zone-1","version":"v1","slots":8,"state":"ready","coldRemainingMs":0,"sequence":{},"born":{},"capacity":{{"cpuRequest":{},"memMb":{},"gpuCount":0}},"labels":["{kind}","{rack}"],"machine":"m-{}"}}"#,
        worker.address,
        worker.beat_count,
        worker.life.born,
        room.0,
        room.1,
        worker.address.port()
    );
    store.publish("keyed.servers", &worker.id, entry.as_bytes());
}
