//! Cell: stand-ins of the platform and entry hosts.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use rustix::process::Signal;
use serde_json::{Value, json};
use tempfile::TempDir;
use yuccahoist::event::HostStatus;
use yuccahoist::id::{Revision, Subject};
use yuccahoist::job::JobStatus;
use yuccahoist::ownership::Share;

use super::{Caller, Finished, LIMIT, Process, Program, Record, ports, run, until};

const RACKS: usize = 3;
const WORKERS: u16 = 2;

/// Settings and process of an entry host.
#[derive(Debug)]
struct Entry {
    name: String,
    settings: PathBuf,
    api: SocketAddr,
    process: Option<Process>,
}

/// Cell of separate processes. Dropping it kills all of them.
#[derive(Debug)]
pub struct Cell {
    /// Caller.
    pub caller: Caller,
    entries: Vec<Entry>,
    _platform: Vec<Process>,
    log: SocketAddr,
    hosts: SocketAddr,
    workers: BTreeMap<String, SocketAddr>,
    directory: TempDir,
}

impl Cell {
    /// Starts the platform and `running` of `known` hosts, publishes a base document and waits until the hosts own all
    /// racks.
    pub async fn start(running: usize, known: usize) -> Self {
        let directory = tempfile::tempdir().expect("temporary directory is made");
        let (log, hosts) = (ports::free(1), ports::free(1));
        let first = ports::free(RACKS as u16 * WORKERS);
        let names =
            (0..RACKS).flat_map(|rack| (1..=WORKERS).map(move |number| format!("rack-{rack}-{number}")));
        let names: Vec<String> = names.collect();
        let at = |index: u16| SocketAddr::new(first.ip(), first.port() + index);
        let workers: BTreeMap<String, SocketAddr> = names.iter().cloned().zip((0..).map(at)).collect();
        let platform = [
            ("log", vec!["log".to_owned(), "--listen".into(), log.to_string()]),
            ("hosts", vec!["hosts".into(), "--listen".into(), hosts.to_string()]),
            (
                "workers",
                vec![
                    "workers".into(),
                    "--listen".into(),
                    first.to_string(),
                    "--names".into(),
                    names.join(","),
                ],
            ),
        ];
        let start = |(name, args): (&str, Vec<String>)| {
            let args: Vec<&str> = args.iter().map(String::as_str).collect();
            Process::start(Program::StandIn, name, directory.path(), &args)
        };
        let platform = platform.into_iter().map(start).collect();
        let peers: Vec<SocketAddr> = (0..known).map(|_| ports::free(1)).collect();
        let entry = |index| entry(directory.path(), index, &peers, log, hosts);
        let entries = (0..known).map(entry).collect();
        let caller = Caller::new();
        let mut cell = Self { caller, entries, _platform: platform, log, hosts, workers, directory };
        for address in
            [cell.log, cell.hosts].into_iter().chain(cell.workers.values().copied().collect::<Vec<_>>())
        {
            cell.listens(address).await;
        }
        for index in 0..running {
            cell.start_host(index);
        }
        let published = cell.publish("base", 0, &cell.base()).await;
        assert_eq!(published.code, Some(0), "{}", published.output);
        cell.wait_full().await;
        cell
    }

    async fn listens(&self, address: SocketAddr) {
        until(&format!("connection to {address}"), LIMIT, || async {
            tokio::net::TcpStream::connect(address).await.is_ok()
        })
        .await;
    }

    /// Base document.
    pub fn base(&self) -> Value {
        let capacity = json!({
            "cpu_millis": 4_000, "memory_mib": 8_192, "accelerators": 0, "slots": 8, "connections": 64,
        });
        let rack = |rack: usize| {
            let name = format!("rack-{rack}");
            let addresses: Vec<&SocketAddr> =
                (1..=WORKERS).map(|number| &self.workers[&format!("{name}-{number}")]).collect();
            json!({
                "rack": name, "zone": format!("zone-{}", rack % 2), "workers": WORKERS, "capacity": capacity,
                "backend": addresses, "agent": addresses,
            })
        };
        let class = |share: f64| json!({ "share": share, "queue": 1_024, "run_limit_ms": 1_500, "deadline_limit_ms": 60_000 });
        let quota = json!({ "cpu_millis": 24_000, "memory_mib": 49_152, "accelerators": 0 });
        let service = json!({
            "team": "blue", "priority": 200, "tasks": 2, "spread": "rack",
            "resources": { "cpu_millis": 500, "memory_mib": 256, "accelerators": 0 },
        });
        json!({
            "cell": "processes",
            "sites": ["north", "south"],
            "classes": { "urgent": class(0.5), "batch": class(0.25), "heavy": class(0.25) },
            "teams": { "blue": { "quota": quota, "weight": 1 } },
            "workers": { "racks": (0..RACKS).map(rack).collect::<Vec<_>>() },
            "services": { "echo": service },
            "batch": {},
            "gangs": {},
            "limits": {
                "id_window_ms": 900_000, "clock_skew_ms": 2_000, "retry_share": 0.1, "body_bytes": 65_536,
                "intent_rate": 20, "intent_batch": 512,
            },
        })
    }

    /// Starts a host.
    pub fn start_host(&mut self, index: usize) {
        let entry = &mut self.entries[index];
        let settings = entry.settings.to_str().expect("path is UTF-8");
        let args = ["--settings", settings];
        entry.process = Some(Process::start(Program::Daemon, &entry.name, self.directory.path(), &args));
    }

    /// Process of a host.
    pub fn process(&mut self, index: usize) -> &mut Process {
        self.entries[index].process.as_mut().expect("host was started")
    }

    /// Directory with the settings of a host.
    pub fn settings(&self, index: usize) -> &Path {
        &self.entries[index].settings
    }

    /// Kills a host.
    pub async fn kill(&mut self, index: usize) {
        self.process(index).signal(Signal::KILL);
        self.process(index).end(LIMIT).await;
        self.forget(index);
    }

    /// Takes a host that has ended out of the running ones.
    pub fn forget(&mut self, index: usize) {
        self.entries[index].process = None;
    }

    /// Index of a host that owns a rack.
    pub async fn owner(&self) -> usize {
        for (index, entry) in self.entries.iter().enumerate() {
            let status = self.status(entry.api).await;
            let is_rack = |subject: &Subject| matches!(subject, Subject::Shard(_));
            if status.is_some_and(|status| status.owned.iter().any(|owned| is_rack(&owned.subject))) {
                return index;
            }
        }
        panic!("no host owns a rack");
    }

    /// Callers' address of a host.
    pub fn api(&self, index: usize) -> SocketAddr {
        self.entries[index].api
    }

    /// Callers' addresses of all running hosts.
    pub fn apis(&self) -> Vec<SocketAddr> {
        self.entries.iter().filter(|entry| entry.process.is_some()).map(|entry| entry.api).collect()
    }

    /// Publishes a document by the operator's command.
    pub async fn publish(&self, document: &str, based_on: u64, content: &Value) -> Finished {
        let file = tempfile::NamedTempFile::new_in(self.directory.path()).expect("file is made");
        std::fs::write(file.path(), content.to_string()).expect("file is written");
        let (log, based_on) = (self.log.to_string(), based_on.to_string());
        let path = file.path().to_str().expect("path is UTF-8");
        let args = ["publish", "--log", &log, "--document", document, "--based-on", &based_on];
        run(Program::Operator, &[&args[..], &["--author", "test", "--timeout", "30", path]].concat()).await
    }

    /// Runs the operator's command with the address of the log.
    pub async fn operate(&self, command: &str) -> Finished {
        run(Program::Operator, &[command, "--log", &self.log.to_string()]).await
    }

    /// Status of a host.
    pub async fn status(&self, host: SocketAddr) -> Option<HostStatus> {
        let call =
            self.caller.client().get(format!("http://{host}/v1/status")).timeout(Duration::from_secs(2));
        call.send().await.ok()?.json().await.ok()
    }

    /// Waits until every running host has a revision in force.
    pub async fn wait_revision(&self, revision: u64, limit: Duration) {
        for host in self.apis() {
            until(&format!("revision {revision} at {host}"), limit, || async {
                let status = self.status(host).await;
                status.is_some_and(|status| status.hosts[0].revision == Revision(revision))
            })
            .await;
        }
    }

    /// Waits until the running hosts own every rack with at least a share.
    pub async fn wait_owned(&self, share: Share) {
        until(&format!("ownership of all racks with {share:?}"), LIMIT, || async {
            let mut owned = 0;
            for host in self.apis() {
                let Some(status) = self.status(host).await else { continue };
                let racks = status.owned.iter().filter(|owned| matches!(owned.subject, Subject::Shard(_)));
                owned += racks.filter(|owned| owned.share >= share).count();
            }
            owned == RACKS
        })
        .await;
    }

    /// Waits until the running hosts own every rack with its whole capacity and all of them take requests.
    pub async fn wait_full(&self) {
        self.wait_owned(Share::Full).await;
        for host in self.apis() {
            until(&format!("readiness of {host}"), LIMIT, || async {
                self.status(host).await.is_some_and(|status| status.ready && status.log)
            })
            .await;
        }
    }

    /// Sets the faults of the log.
    pub async fn set_log_faults(&self, faults: Value) {
        self.post(self.log, "faults", &faults).await;
    }

    /// Sets the state of a worker on the host list.
    pub async fn set_worker_state(&self, worker: &str, state: &str) {
        self.post(self.hosts, "hosts", &json!({ worker: state })).await;
    }

    async fn post(&self, address: SocketAddr, path: &str, body: &Value) {
        let call = self.caller.client().post(format!("http://{address}/{path}")).json(body);
        let response = call.send().await.expect("stand-in answers");
        assert!(response.status().is_success(), "{path}: {}", response.status());
    }

    /// Records of all workers.
    pub async fn record(&self) -> Record {
        let mut records = BTreeMap::new();
        for (worker, address) in &self.workers {
            let call = self.caller.client().get(format!("http://{address}/record"));
            let response = call.send().await.expect("worker answers");
            records.insert(worker.clone(), response.json().await.expect("record is JSON"));
        }
        Record(records)
    }

    /// Submits a job and gives the status code of the reply.
    pub async fn submit(&self, host: SocketAddr, id: &str, kind: &str, tasks: u32) -> u16 {
        let job = json!({
            "id": id, "kind": kind, "team": "blue", "priority": 20, "tasks": tasks,
            "resources": { "cpu_millis": 500, "memory_mib": 256 },
        });
        let call = self.caller.client().post(format!("http://{host}/v1/jobs")).json(&job);
        call.timeout(LIMIT).send().await.expect("host answers").status().as_u16()
    }

    /// Status of a job.
    pub async fn job(&self, host: SocketAddr, id: &str) -> Option<JobStatus> {
        let call = self.caller.client().get(format!("http://{host}/v1/jobs/{id}")).timeout(LIMIT);
        call.send().await.ok()?.json().await.ok()
    }

    /// Waits until all tasks of a job have succeeded.
    pub async fn wait_finished(&self, host: SocketAddr, id: &str) {
        until(&format!("end of job {id}"), LIMIT, || async {
            self.job(host, id).await.is_some_and(|job| job.state == "finished" && job.done == job.tasks)
        })
        .await;
    }
}

/// Writes the settings of a host.
fn entry(directory: &Path, index: usize, peers: &[SocketAddr], log: SocketAddr, hosts: SocketAddr) -> Entry {
    let name = format!("entry-{index}");
    let settings = directory.join(&name);
    std::fs::create_dir(&settings).expect("settings directory is made");
    let api = ports::free(1);
    let site = ["north", "south"][index % 2];
    let sections = [
        ("host.json", json!({ "name": name, "zone": format!("zone-{}", index % 2), "site": site })),
        ("listen.json", json!({ "api": api, "peer": peers[index], "peers": peers, "stop_delay_ms": 1_000 })),
        ("platform.json", json!({ "log": log, "hosts": hosts })),
        ("logging.json", json!({ "decisions": false })),
    ];
    for (file, content) in sections {
        std::fs::write(settings.join(file), content.to_string()).expect("settings are written");
    }
    Entry { name, settings, api, process: None }
}
