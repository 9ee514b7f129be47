//! A small deployment: hosts, workers, store, operator and clients on loopback addresses.

use std::net::Ipv4Addr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{Fleet, Policy, Work};
use crate::host::{Host, Hosts, Platform, free_ports};
use crate::http::{self, Gate};
use crate::json::Json;
use crate::record::Record;
use crate::store::Store;

const HOST_NAME: &str = "nony24.example";
const PREFIX: &str = "/lohu930/";
const SERVICE: &str = "dele69a";
/// Patience of a client, and how often it sends a request again.
const DEADLINE: Duration = Duration::from_millis(3_000);
const RETRIES: usize = 4;

/// Recommendations of the queue: `decideMs`, `eachMs` and `validityMs`.
#[derive(Debug, Clone, Copy)]
pub struct Advice {
    pub base: Duration,
    pub each: Duration,
    pub valid: Duration,
}

pub struct Plan {
    pub hosts: u8,
    /// Kind and rack of each worker.
    pub workers: Vec<(&'static str, String)>,
    /// Processor (thousandths of a core) and memory (MB) of each worker.
    pub room: (u64, u64),
    pub max_attempts: u32,
    pub advice: Option<Advice>,
    pub policy: Policy,
}

pub struct World {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub fleet: Arc<Fleet>,
    pub hosts: Arc<Hosts>,
    folder: PathBuf,
}

impl Drop for World {
    fn drop(&mut self) {
        self.hosts.stop();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl World {
    /// Starts everything, publishes the configuration, and waits until all hosts are ready.
    pub fn start(plan: Plan, record: &Arc<Record>) -> Option<World> {
        // A network of its own for each run, so that runs beside each other do not collide.
        static WORLDS: AtomicU64 = AtomicU64::new(0);
        let seed = u64::from(std::process::id()) * 13 + WORLDS.fetch_add(1, Ordering::Relaxed);
        let net = [(seed % 120 + 10) as u8, (seed / 120 % 250) as u8];
        let folder = std::env::temp_dir().join(format!("review-2-{}-{}", std::process::id(), seed));
        std::fs::create_dir_all(&folder).ok()?;
        let platform_ip = Ipv4Addr::new(127, net[0], net[1], 200);
        let ports = free_ports(platform_ip, 3);
        let store = Store::new();
        let platform = Platform { store: ports[0], advice: ports[1], cloud: ports[2] };
        let served = store.clone();
        http::serve(platform.store, Gate::open(), Arc::new(move |request| served.handle(request)));
        let worker_ip = Ipv4Addr::new(127, net[0], net[1], 201);
        let addresses = free_ports(worker_ip, plan.workers.len() as u16);
        let workers =
            addresses.into_iter().zip(plan.workers).map(|(a, (kind, rack))| (a, [kind.to_owned(), rack]));
        let fleet = Fleet::start(&store, record, SERVICE, plan.room, workers.collect(), plan.policy);
        if let Some(advice) = plan.advice {
            fleet.serve_advice(platform.advice, advice.base, advice.each);
        }
        store.publish("keyed.op", "config", configuration(plan.max_attempts, plan.advice).as_bytes());
        let hosts = Hosts::start(plan.hosts, net, &folder, platform, record);
        let world = World { record: record.clone(), store, fleet, hosts, folder };
        if !world.hosts.wait_ready(Duration::from_secs(20)) {
            record.say("not all hosts became ready");
            return None;
        }
        // Traffic starts 10 s after the machines do; the workers have reported long before.
        thread::sleep(Duration::from_secs(3));
        record.note("traffic starts");
        Some(world)
    }

    /// Returns the host that last wrote to the store under a condition: the owner of the shard.
    pub fn leader(&self) -> Option<&Host> {
        let claim = self.store.last_claim()?;
        self.hosts.list.iter().find(|host| {
            let name = host.name.as_bytes();
            claim.windows(name.len()).any(|window| window == name)
        })
    }

    fn call(&self, host: usize, method: &str, path: &str, body: &str) -> Option<(u16, Option<u64>, String)> {
        let host = &self.hosts.list[host % self.hosts.list.len()];
        let deadline = DEADLINE.as_millis().to_string();
        let headers = [("host", HOST_NAME), ("deadline-ms", deadline.as_str())];
        let answer = http::call(host.front, method, path, &headers, body, DEADLINE);
        let text = match &answer {
            Ok((status, _, body)) => format!("{status} {body}"),
            Err(error) => format!("no answer: {error}"),
        };
        self.record.note(&format!("{method} {path} at {}: {text}", host.name));
        answer.ok()
    }

    /// Hands a job in, and again at other hosts as a client does; returns whether it was accepted.
    pub fn submit(&self, id: &str, steps: &str, work: Vec<Work>, first_host: usize) -> bool {
        self.fleet.expect(id, work);
        let body = format!(r#"{{"specification":"job {id}","jobSteps":[{steps}]}}"#);
        for attempt in 0..=RETRIES {
            match self.call(first_host + attempt, "POST", &format!("{PREFIX}{id}"), &body) {
                Some((200, ..)) => return true,
                Some((429 | 503, retry, _)) => thread::sleep(Duration::from_secs(retry.unwrap_or(1))),
                _ => thread::sleep(Duration::from_millis(100)),
            }
        }
        false
    }

    /// Cancels a job; returns when that was acknowledged.
    pub fn cancel(&self, id: &str) -> Option<Instant> {
        (0..=RETRIES).find_map(|host| {
            let (status, ..) = self.call(host, "DELETE", &format!("{PREFIX}{id}"), "")?;
            matches!(status, 200 | 410).then(Instant::now)
        })
    }

    /// Asks for the state of a job, at other hosts too if one does not answer.
    pub fn state(&self, id: &str) -> Option<String> {
        (0..self.hosts.list.len()).find_map(|host| {
            let (status, _, body) = self.call(host, "GET", &format!("{PREFIX}{id}"), "")?;
            let state = Json::parse(body.as_bytes())?.text("state")?.to_owned();
            (status == 200).then_some(state)
        })
    }

    /// Returns how long no run of a task was active, up to `until`: since its last run ended, or since `from`.
    pub fn idle_span(&self, task: &str, from: Instant, until: Instant) -> Duration {
        let runs = self.fleet.runs();
        let runs = runs.iter().filter(|run| run.task == task && run.started <= until);
        let mut idle_since = Some(from);
        for run in runs {
            match &run.ended {
                Some((at, _)) if *at <= until => idle_since = idle_since.map(|since| since.max(*at)),
                _ => idle_since = None,
            }
        }
        idle_since.map_or(Duration::ZERO, |since| until.saturating_duration_since(since))
    }
}

fn configuration(max_attempts: u32, advice: Option<Advice>) -> String {
    let millis = |duration: Duration| duration.as_secs_f64() * 1_000.0;
    let advice = advice.map_or(String::new(), |a| {
        format!(
            r#","recommendation":{{"decideMs":{},"eachMs":{},"validityMs":{}}}"#,
            millis(a.base),
            millis(a.each),
            millis(a.valid)
        )
    });
    format!(
        r#"{{"version":1,"routes":[{{"name":"r-1","host":"{HOST_NAME}","pathPrefix":"{PREFIX}","service":"{SERVICE}","timeoutMs":3000,"targetLatencyMs":1000,"priority":1,"maxAttempts":{max_attempts},"stretchFactor":2.2{advice}}}],"services":[{{"name":"{SERVICE}","enforceCapacity":false}}],"limits":{{"maxBodyBytes":262144,"maxHeaderBytes":16384,"headerTimeoutMs":5000,"idleTimeoutMs":15000}}}}"#
    )
}
