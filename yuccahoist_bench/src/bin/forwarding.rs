//! Cost of forwarding a request through entry host and owner, against a bare `warp`/`reqwest` forwarder with two hops.
//!
//! Both variants run in one process with the same callers and the same backend server, in alternating rounds. Each hop
//! has its own threads, whose processor time is read from the kernel, so that callers and backend server don't count.
//! The bare forwarder passes on bodies only. The state machine of the hosts forwards without a decision, so the
//! difference is that of the sockets and the actor.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use argh::FromArgs;
use async_trait::async_trait;
use bytes::Bytes;
use hdrhistogram::Histogram;
use rand::{Rng, RngExt};
use reqwest::Client;
use tokio::runtime::{Builder, Runtime};
use warp::Filter;
use yuccahoist::daemon::{Daemon, PlatformClients, RunningHost};
use yuccahoist::dispatch::ForwardId;
use yuccahoist::event::{HostAction, HostEvent};
use yuccahoist::front::CallId;
use yuccahoist::id::{Epoch, Incarnation, Offset, RequestId, ShardId, WorkerId};
use yuccahoist::peer::PeerMessage;
use yuccahoist::request::{Outcome, UnknownReason};
use yuccahoist::settings::{
    HostSettings, ListenSettings, LogSettings, LoggingSettings, MetricsSettings, PlatformSettings, Settings,
};
use yuccahoist::state_machine::StateMachine;
use yuccahoist::stream::StreamName;
use yuccahoist::systems::{
    CallError, DispatchBounds, HostList, HostState, HttpBackendServer, HttpWorkers, LogService, ReadBatch,
    WorkerAddress, WorkerTable,
};
use yuccahoist::unit::{Timestamp, WallTime};

/// Measures forwarding.
#[derive(FromArgs)]
struct Arguments {
    /// threads for HTTP of each hop; 0 runs everything of a hop on one thread (default 0)
    #[argh(option, default = "0")]
    threads: usize,
    /// rounds per variant (default 5)
    #[argh(option, default = "5")]
    rounds: usize,
    /// requests per caller count and round (default 4000 with 1 caller, 8 times as many with 64)
    #[argh(option, default = "4000")]
    requests: usize,
    /// numbers of callers, separated by commas (default 1,64)
    #[argh(option, default = "\"1,64\".into()")]
    callers: String,
}

type Failure = Box<dyn std::error::Error + Send + Sync>;

/// Size of a body, bytes.
const BODY: usize = 200;
/// Calls of the state machine stay far below this deadline.
const RUN_LIMIT: Duration = Duration::from_secs(10);

/// Latency and processor time of one round.
#[derive(Debug, Clone, Copy)]
struct Round {
    p50: f64,
    p99: f64,
    cpu: f64,
    rate: f64,
}

fn main() -> Result<(), Failure> {
    let arguments: Arguments = argh::from_env();
    let callers =
        Builder::new_multi_thread().worker_threads(2).thread_name("callers").enable_all().build()?;
    let backend_runtime =
        Builder::new_multi_thread().worker_threads(1).thread_name("backend").enable_all().build()?;
    let backend = backend_runtime.block_on(serve(warp::post().and(warp::body::bytes()).map(echo)))?;
    let bare = Bare::start(backend, arguments.threads)?;
    let hosts = Hosts::start(backend, arguments.threads)?;
    let client = Client::builder().no_proxy().pool_max_idle_per_host(64).build()?;
    println!("threads {}, body {BODY} bytes, {} rounds", arguments.threads, arguments.rounds);
    for count in arguments.callers.split(',') {
        let count: usize = count.parse()?;
        let requests = if count == 1 { arguments.requests } else { arguments.requests * 8 };
        let mut rounds: [Vec<Round>; 2] = Default::default();
        // One round of each to warm up.
        for round in 0..=arguments.rounds {
            let variants = [(bare.address, ["bare-a", "bare-b"]), (hosts.front.api(), ["host-a", "host-b"])];
            for (index, (address, threads)) in variants.into_iter().enumerate() {
                let result = callers.block_on(measure(&client, address, count, requests, threads))?;
                if round > 0 {
                    rounds[index].push(result);
                }
            }
        }
        report(count, &rounds);
    }
    Ok(())
}

fn echo(body: Bytes) -> warp::reply::Response {
    warp::reply::Response::new(body.into())
}

async fn serve<F>(filter: F) -> Result<SocketAddr, Failure>
where
    F: Filter<Error = warp::Rejection> + Clone + Send + Sync + 'static,
    F::Extract: warp::Reply,
{
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(warp::serve(filter).incoming(listener).run());
    Ok(address)
}

fn report(callers: usize, rounds: &[Vec<Round>; 2]) {
    let median = |index: usize, value: fn(&Round) -> f64| {
        let mut values: Vec<f64> = rounds[index].iter().map(value).collect();
        values.sort_by(f64::total_cmp);
        values[values.len() / 2]
    };
    println!("{callers} callers, medians");
    type Value = fn(&Round) -> f64;
    let rows: [(&str, Value); 4] = [
        ("p50 us", |round| round.p50),
        ("p99 us", |round| round.p99),
        ("cpu us/request", |round| round.cpu),
        ("requests/s", |round| round.rate),
    ];
    for (name, value) in rows {
        let (bare, hosts) = (median(0, value), median(1, value));
        println!("  {name:<15} bare {bare:>9.1}  hosts {hosts:>9.1}  ratio {:.2}", hosts / bare);
    }
}

async fn measure(
    client: &Client,
    address: SocketAddr,
    callers: usize,
    requests: usize,
    threads: [&'static str; 2],
) -> Result<Round, Failure> {
    let before = processor_time(threads)?;
    let start = Instant::now();
    let mut tasks = tokio::task::JoinSet::new();
    for _ in 0..callers {
        tasks.spawn(calls(client.clone(), address, requests / callers));
    }
    let mut all = Histogram::<u64>::new(3)?;
    while let Some(histogram) = tasks.join_next().await {
        all.add(histogram??)?;
    }
    let elapsed = start.elapsed();
    let cpu = processor_time(threads)? - before;
    let count = all.len() as f64;
    Ok(Round {
        p50: all.value_at_quantile(0.5) as f64 / 1e3,
        p99: all.value_at_quantile(0.99) as f64 / 1e3,
        cpu: cpu.as_secs_f64() * 1e6 / count,
        rate: count / elapsed.as_secs_f64(),
    })
}

async fn calls(client: Client, address: SocketAddr, count: usize) -> Result<Histogram<u64>, Failure> {
    let mut histogram = Histogram::new(3)?;
    let body = Bytes::from(vec![b'x'; BODY]);
    let url = format!("http://{address}/v1/services/drumline");
    for _ in 0..count {
        let id = RequestId::from_parts(WallTime::from_millis(1_790_000_000_000), rand::rng().random());
        let start = Instant::now();
        let response = client
            .post(&url)
            .header("yuccahoist-request-id", id.to_string())
            .header("yuccahoist-class", "urgent")
            .header("yuccahoist-idempotent", "true")
            .header("yuccahoist-deadline-ms", "10000")
            .header("yuccahoist-team", "day")
            .body(body.clone())
            .send()
            .await?
            .error_for_status()?;
        let answer = response.bytes().await?;
        histogram.record(u64::try_from(start.elapsed().as_nanos())?)?;
        if answer != body {
            return Err("the answer is not that of the request".into());
        }
    }
    Ok(histogram)
}

/// Processor time of the threads whose names start with one of `names`.
fn processor_time(names: [&str; 2]) -> std::io::Result<Duration> {
    let mut sum = 0;
    for task in std::fs::read_dir("/proc/self/task")? {
        let path = task?.path();
        let name = std::fs::read_to_string(path.join("comm"))?;
        if names.iter().any(|prefix| name.starts_with(prefix)) {
            let times = std::fs::read_to_string(path.join("schedstat"))?;
            let nanos = times.split(' ').next().and_then(|first| first.parse().ok());
            sum += nanos.unwrap_or(0);
        }
    }
    Ok(Duration::from_nanos(sum))
}

/// Two hops that only pass on bodies.
struct Bare {
    address: SocketAddr,
    _runtimes: Vec<Runtime>,
}

impl Bare {
    fn start(backend: SocketAddr, threads: usize) -> Result<Self, Failure> {
        let mut runtimes = Vec::new();
        let mut next = format!("http://{backend}/run/drumline");
        let mut address = backend;
        for name in ["bare-b", "bare-a"] {
            let runtime = Builder::new_multi_thread()
                .worker_threads(threads.max(1))
                .thread_name(name)
                .enable_all()
                .build()?;
            let client = Client::builder().no_proxy().pool_max_idle_per_host(64).build()?;
            let to = next.clone();
            let filter = warp::post()
                .and(warp::body::bytes())
                .then(move |body: Bytes| forward(client.clone(), to.clone(), body));
            address = runtime.block_on(serve(filter))?;
            next = format!("http://{address}/v1/services/drumline");
            runtimes.push(runtime);
        }
        Ok(Self { address, _runtimes: runtimes })
    }
}

async fn forward(client: Client, to: String, body: Bytes) -> warp::reply::Response {
    let answer = async {
        let response = client.post(to).body(body).send().await?;
        let status = response.status();
        Ok::<_, reqwest::Error>((status, response.bytes().await?))
    };
    match answer.await {
        Ok((status, body)) => {
            let mut response = warp::reply::Response::new(body.into());
            *response.status_mut() = status;
            response
        }
        Err(_) => {
            let mut response = warp::reply::Response::default();
            *response.status_mut() = warp::http::StatusCode::BAD_GATEWAY;
            response
        }
    }
}

/// Entry host and owner.
struct Hosts {
    front: RunningHost,
    _owner: RunningHost,
}

impl Hosts {
    fn start(backend: SocketAddr, threads: usize) -> Result<Self, Failure> {
        let worker: WorkerId = "w1".parse()?;
        let shard: ShardId = "rack-1".parse()?;
        let front = Daemon::bind(settings("a", threads)?)?;
        let owner = Daemon::bind(settings("b", threads)?)?;
        let fronts = BTreeMap::new();
        let machine = Owner { worker: worker.clone(), front: front.settings().listen.peer, fronts };
        let owner = owner.run(Box::new(machine), platform(backend, &worker)?)?;
        let own = front.settings().host.incarnation;
        let calls = BTreeMap::new();
        let machine = Front { own, owner: (owner.incarnation(), owner.peer()), shard, number: 0, calls };
        let front = front.run(Box::new(machine), platform(backend, &worker)?)?;
        Ok(Self { front, _owner: owner })
    }
}

fn settings(name: &str, threads: usize) -> Result<Settings, Failure> {
    let any: SocketAddr = "127.0.0.1:0".parse()?;
    let mut host = HostSettings::new(name.parse()?, "zone-a".parse()?, "site-a".parse()?);
    host.io_threads = threads;
    Ok(Settings {
        host,
        listen: ListenSettings::new(any, any),
        platform: PlatformSettings::new(any, any),
        log: LogSettings::default(),
        logging: LoggingSettings::default(),
        metrics: MetricsSettings::default(),
    })
}

fn platform(backend: SocketAddr, worker: &WorkerId) -> Result<PlatformClients, Failure> {
    let settings = PlatformSettings::new(backend, backend);
    let address = WorkerAddress { backend, agent: backend };
    let table = WorkerTable::new(BTreeMap::from([(worker.clone(), address)]));
    Ok(PlatformClients {
        log: Arc::new(Nothing),
        workers: Arc::new(HttpWorkers::new(table.clone(), &settings)?),
        backends: Arc::new(HttpBackendServer::new(table.clone(), &settings)?),
        hosts: Arc::new(Nothing),
        table,
    })
}

/// Log and host list that are never asked.
#[derive(Debug)]
struct Nothing;

#[async_trait]
impl LogService for Nothing {
    async fn append(&self, _: StreamName, _: Bytes) -> Result<Offset, CallError> {
        Ok(Offset(0))
    }

    async fn read(&self, _: StreamName, _: Offset, _: Duration) -> Result<ReadBatch, CallError> {
        Ok(ReadBatch::default())
    }
}

#[async_trait]
impl HostList for Nothing {
    async fn hosts(&self) -> Result<BTreeMap<String, HostState>, CallError> {
        Ok(BTreeMap::new())
    }
}

/// Entry host that forwards every request to one owner.
struct Front {
    own: Incarnation,
    owner: (Incarnation, SocketAddr),
    shard: ShardId,
    number: u64,
    calls: BTreeMap<u64, (CallId, RequestId)>,
}

impl Front {
    fn finish(&mut self, number: u64, outcome: Outcome, out: &mut Vec<HostAction>) {
        if let Some((call, id)) = self.calls.remove(&number) {
            out.push(HostAction::Respond { call, id, outcome });
        }
    }
}

impl StateMachine for Front {
    type Event = HostEvent;
    type Action = HostAction;

    fn handle(&mut self, _: Timestamp, event: HostEvent, _: &mut dyn Rng, out: &mut Vec<HostAction>) {
        match event {
            HostEvent::Call { call, request, .. } => {
                self.number += 1;
                self.calls.insert(self.number, (call, request.id));
                let forward = ForwardId { front: self.own, number: self.number };
                let until = Some(request.deadline);
                let shard = self.shard.clone();
                let message = PeerMessage::Forward { forward, shard, request, remaining: Duration::ZERO };
                out.push(HostAction::Send { to: self.owner.0, address: self.owner.1, message, until });
            }
            HostEvent::Peer { message: PeerMessage::Finished { forward, outcome }, .. } => {
                self.finish(forward.number, outcome, out);
            }
            HostEvent::PeerNotSent { message: PeerMessage::Forward { forward, .. }, .. } => {
                self.finish(forward.number, Outcome::Unknown(UnknownReason::OwnerLost), out);
            }
            _ => {}
        }
    }
}

/// Owner that sends every request to one worker.
struct Owner {
    worker: WorkerId,
    front: SocketAddr,
    fronts: BTreeMap<ForwardId, Incarnation>,
}

impl StateMachine for Owner {
    type Event = HostEvent;
    type Action = HostAction;

    fn handle(&mut self, now: Timestamp, event: HostEvent, _: &mut dyn Rng, out: &mut Vec<HostAction>) {
        match event {
            HostEvent::Peer { from, message: PeerMessage::Forward { forward, request, .. } } => {
                self.fronts.insert(forward, from);
                let bounds = DispatchBounds {
                    epoch: Epoch(1),
                    start_before: WallTime::from_millis(u64::MAX),
                    run_limit: RUN_LIMIT,
                };
                let worker = self.worker.clone();
                out.push(HostAction::Dispatch { forward, worker, request, bounds, until: now + RUN_LIMIT });
            }
            HostEvent::BackendResult { forward, result } => {
                let Some(to) = self.fronts.remove(&forward) else { return };
                let outcome = match result {
                    Ok(answer) => Outcome::Answered(answer),
                    Err(_) => Outcome::Unknown(UnknownReason::BackendLost),
                };
                let message = PeerMessage::Finished { forward, outcome };
                out.push(HostAction::Send { to, address: self.front, message, until: None });
            }
            _ => {}
        }
    }
}
