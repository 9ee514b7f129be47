//! Two latencies of real hosts in one process: edits until they are in force, and urgent requests across a kill.
//!
//! The hosts are the product's daemons on the loopback interface; log, workers and backend servers are stand-ins.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use argh::FromArgs;
use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use serde_json::json;
use yuccahoist::config::{DocumentName, PARTITION_COUNT};
use yuccahoist::event::HostStatus;
use yuccahoist::id::{HostId, RequestId, Revision};
use yuccahoist::ownership::Share;
use yuccahoist::unit::WallTime;
use yuccahoist_standins::cluster::{Cluster, ClusterError, ClusterOptions};

/// Time limit for the start of all hosts and for a takeover.
const LIMIT: Duration = Duration::from_secs(60);
/// Pause between two looks at the status of a host; it bounds the resolution of the edit latency.
const LOOK: Duration = Duration::from_millis(2);
/// Longest wait for an edit.
const EDIT_LIMIT: Duration = Duration::from_secs(10);
/// Time for which urgent requests are counted after a kill.
const COUNTED: Duration = Duration::from_secs(5);
/// Time before the kill in which requests are already sent.
const LEAD: Duration = Duration::from_millis(500);
/// Time between urgent requests.
const PERIOD: Duration = Duration::from_millis(4);
/// Service time of an urgent request.
const SERVICE: Duration = Duration::from_millis(5);
/// Deadline of an urgent request.
const DEADLINE: Duration = Duration::from_secs(5);
/// Highest time that is told apart, microseconds.
const HIGHEST: u64 = 600_000_000;
/// Hosts that the balancer tries.
const TRIES: usize = 3;

/// measures the time until an edit is in force at every host, and the waiting time of urgent requests across kills
#[derive(Debug, FromArgs)]
struct Options {
    /// seed of the load (1)
    #[argh(option, default = "1")]
    seed: u64,
    /// entry hosts, 3 to 9 (9)
    #[argh(option, default = "9")]
    hosts: usize,
    /// edits, 1 to 1000 (100)
    #[argh(option, default = "100")]
    edits: u64,
    /// kills, 0 to 50 (5)
    #[argh(option, default = "5")]
    kills: usize,
    /// print JSON in place of text
    #[argh(switch)]
    json: bool,
}

/// Percentiles, milliseconds.
#[derive(Debug, Default, Serialize)]
struct Times {
    count: u64,
    p50: f64,
    p99: f64,
    max: f64,
}

#[derive(Debug, Default, Serialize)]
struct Report {
    seed: u64,
    hosts: usize,
    /// Time until an edit was in force at the last host.
    edits: Times,
    /// Edits that were not in force everywhere within the limit.
    late_edits: u64,
    /// Waiting time of requests before the kills.
    before: Times,
    /// Waiting time of requests in the time after each kill.
    after: Times,
    /// Requests after kills that were refused or got no answer.
    unanswered: u64,
    /// Time from each kill until every rack and partition had an owner with some capacity, milliseconds; looked at
    /// from the end of the counted time on, so at least that time.
    takeover: Vec<f64>,
}

fn times(histogram: &Histogram<u64>) -> Times {
    let ms = |micros: u64| micros as f64 / 1_000.0;
    Times {
        count: histogram.len(),
        p50: ms(histogram.value_at_quantile(0.5)),
        p99: ms(histogram.value_at_quantile(0.99)),
        max: ms(histogram.max()),
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(HIGHEST, 3).expect("bounds are valid")
}

fn at_least(status: &HostStatus, revision: Revision) -> bool {
    status.hosts.first().is_some_and(|own| own.revision >= revision)
}

async fn wait_host(cluster: &Cluster, api: SocketAddr, revision: Revision) -> bool {
    let start = Instant::now();
    while start.elapsed() < EDIT_LIMIT {
        if cluster.status(api).await.is_ok_and(|status| at_least(&status, revision)) {
            return true;
        }
        tokio::time::sleep(LOOK).await;
    }
    false
}

async fn edits(cluster: &Cluster, options: &Options, report: &mut Report) -> Result<(), ClusterError> {
    let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
    let mut seen = histogram();
    for edit in 1..=options.edits {
        // Edits do not come in step with the timers of the hosts.
        tokio::time::sleep(Duration::from_micros(rng.random_range(0..200_000))).await;
        let sites = &cluster.options().sites;
        let site = &sites[usize::try_from(edit).unwrap_or_default() % sites.len()];
        let content = json!({ "limits": { "retry_share": 0.05 + edit as f64 / 10_000.0 } });
        let start = Instant::now();
        cluster.publish(DocumentName::Site(site.parse()?), content, Revision(edit)).await?;
        let waits = cluster.hosts.values().map(|host| wait_host(cluster, host.api, Revision(edit + 1)));
        if futures::future::join_all(waits).await.into_iter().all(|reached| reached) {
            seen.saturating_record(micros(start.elapsed()));
        } else {
            report.late_edits += 1;
        }
    }
    report.edits = times(&seen);
    Ok(())
}

/// Urgent request behind a balancer that tries another host when a connection fails; its waiting time if it is answered.
async fn call(
    client: reqwest::Client,
    hosts: Vec<SocketAddr>,
    first: usize,
    id: RequestId,
) -> Option<Duration> {
    let start = Instant::now();
    for attempt in 0..TRIES {
        let host = hosts[(first + attempt) % hosts.len()];
        let call = client
            .post(format!("http://{host}/v1/services/drumline"))
            .header("yuccahoist-request-id", id.to_string())
            .header("yuccahoist-class", "urgent")
            .header("yuccahoist-idempotent", "true")
            .header("yuccahoist-deadline-ms", DEADLINE.as_millis().to_string())
            .header("yuccahoist-team", "day-a")
            .body(format!("time_us={};{id}", SERVICE.as_micros()))
            .timeout(DEADLINE * 2);
        let Ok(response) = call.send().await else { continue };
        let outcome = response.headers().get("yuccahoist-outcome").cloned();
        if response.bytes().await.is_ok() && outcome.is_some_and(|outcome| outcome == "answered") {
            return Some(start.elapsed().saturating_sub(SERVICE));
        }
        return None;
    }
    None
}

async fn kill(
    cluster: &mut Cluster,
    index: usize,
    rng: &mut ChaCha8Rng,
    (before, after): (&mut Histogram<u64>, &mut Histogram<u64>),
    report: &mut Report,
) -> Result<(), ClusterError> {
    let name: HostId = format!("entry-{}", index + 1).parse()?;
    let mut hosts: Vec<SocketAddr> = cluster.hosts.values().map(|host| host.api).collect();
    let dead = cluster.hosts.get(&name).map(|host| host.api);
    let start = tokio::time::Instant::now();
    let mut killed = None;
    let mut calls = Vec::new();
    let count = (LEAD + COUNTED).as_micros() / PERIOD.as_micros();
    for number in 0..u32::try_from(count).unwrap_or(u32::MAX) {
        tokio::time::sleep_until(start + PERIOD * number).await;
        if killed.is_none() && start.elapsed() >= LEAD {
            cluster.kill(&name);
            killed = Some(Instant::now());
            hosts.retain(|host| Some(*host) != dead);
        }
        let wall = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        let wall = WallTime::from_millis(u64::try_from(wall.as_millis()).unwrap_or(u64::MAX));
        let id = RequestId::from_parts(wall, rng.random());
        let first = rng.random_range(0..hosts.len());
        let task = tokio::spawn(call(cluster.client().clone(), hosts.clone(), first, id));
        calls.push((killed.is_some(), task));
    }
    let killed = killed.unwrap_or_else(Instant::now);
    let taken = owned_by_any(cluster, &name, killed).await?;
    for (late, task) in calls {
        match (task.await.ok().flatten(), late) {
            (Some(wait), false) => before.saturating_record(micros(wait)),
            (Some(wait), true) => after.saturating_record(micros(wait)),
            (None, _) => report.unanswered += 1,
        }
    }
    report.takeover.push(taken.as_secs_f64() * 1_000.0);
    cluster.start_host(index)?;
    cluster.wait_for_status("all hosts are ready", LIMIT, |status| status.ready).await?;
    // Subjects move to the new host one after another.
    tokio::time::sleep(Duration::from_secs(3)).await;
    cluster.wait_for_ownership(LIMIT).await?;
    Ok(())
}

/// Waits until every rack and partition has an owner with some capacity, and returns the time since the kill. Only
/// evidence that the killed host ended, such as its next start, gives a successor the whole capacity.
async fn owned_by_any(cluster: &Cluster, dead: &HostId, killed: Instant) -> Result<Duration, ClusterError> {
    let subjects = cluster.options().racks + usize::from(PARTITION_COUNT);
    while killed.elapsed() < LIMIT {
        let mut owned = std::collections::BTreeSet::new();
        for host in cluster.hosts.values().filter(|host| host.name != *dead) {
            let status = cluster.status(host.api).await;
            let usable = status.into_iter().flat_map(|s| s.owned).filter(|o| o.share != Share::Nothing);
            owned.extend(usable.map(|o| o.subject));
        }
        if owned.len() >= subjects {
            return Ok(killed.elapsed());
        }
        tokio::time::sleep(LOOK).await;
    }
    Err(ClusterError::Timeout { what: "an owner of every subject after the kill".into(), limit: LIMIT })
}

async fn run(options: &Options) -> Result<Report, ClusterError> {
    let cluster_options = ClusterOptions { hosts: options.hosts, ..ClusterOptions::default() };
    let mut cluster = Cluster::start(cluster_options).await?;
    cluster.wait_for_status("configuration in force", LIMIT, |status| status.ready).await?;
    cluster.wait_for_ownership(LIMIT).await?;
    let mut report = Report { seed: options.seed, hosts: options.hosts, ..Report::default() };
    edits(&cluster, options, &mut report).await?;
    let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
    let (mut before, mut after) = (histogram(), histogram());
    for number in 0..options.kills {
        let index = owner(&cluster, number).await?;
        kill(&mut cluster, index, &mut rng, (&mut before, &mut after), &mut report).await?;
    }
    report.before = times(&before);
    report.after = times(&after);
    for name in cluster.hosts.keys().cloned().collect::<Vec<_>>() {
        cluster.kill(&name);
    }
    Ok(report)
}

/// Index of a host that owns a rack, a different one for each number.
async fn owner(cluster: &Cluster, number: usize) -> Result<usize, ClusterError> {
    let mut owners = Vec::new();
    for host in cluster.hosts.values() {
        let owned = cluster.status(host.api).await?.owned;
        let racks = owned.iter().any(|o| matches!(o.subject, yuccahoist::id::Subject::Shard(_)));
        let index = host.name.as_str().rsplit('-').next().and_then(|text| text.parse::<usize>().ok());
        owners.extend(index.filter(|_| racks).map(|index| index - 1));
    }
    Ok(owners.get(number % owners.len().max(1)).copied().unwrap_or_default())
}

fn print(report: &Report) {
    let line = |name: &str, times: &Times| {
        let Times { count, p50, p99, max } = times;
        println!("{name}: {count}, p50 {p50:.1} ms, p99 {p99:.1} ms, max {max:.1} ms");
    };
    println!("{} hosts, seed {}", report.hosts, report.seed);
    line("edits until in force at every host", &report.edits);
    println!("edits not in force everywhere within {EDIT_LIMIT:?}: {}", report.late_edits);
    line("urgent waiting time before kills", &report.before);
    line("urgent waiting time after kills", &report.after);
    println!("urgent requests without an answer: {}", report.unanswered);
    let takeover: Vec<String> = report.takeover.iter().map(|time| format!("{time:.0} ms")).collect();
    println!("until all subjects had an owner again: {}", takeover.join(", "));
}

#[tokio::main]
async fn main() -> std::process::ExitCode {
    let options: Options = argh::from_env();
    if !(3..=9).contains(&options.hosts) || !(1..=1_000).contains(&options.edits) || options.kills > 50 {
        eprintln!("--hosts must be 3 to 9, --edits 1 to 1000, --kills at most 50");
        return std::process::ExitCode::FAILURE;
    }
    match run(&options).await {
        Ok(report) if options.json => {
            println!("{}", serde_json::to_string_pretty(&report).expect("plain data"));
        }
        Ok(report) => print(&report),
        Err(error) => {
            eprintln!("measuring failed: {error}");
            return std::process::ExitCode::FAILURE;
        }
    }
    std::process::ExitCode::SUCCESS
}
