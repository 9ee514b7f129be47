//! Cell of platform stand-ins and entry hosts, each a process of its own.

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

use super::{Caller, CommandResult, Process, Program, STATE_TIMEOUT, WorkerRecords, ports, run, wait_until};

/// Number of racks in the cell; each rack is one shard.
const RACK_COUNT: usize = 3;
const WORKERS_PER_RACK: u16 = 2;

/// Entry host with its settings directory; `process` is set while it runs.
#[derive(Debug)]
struct EntryHost {
    name: String,
    settings_directory: PathBuf,
    caller_address: SocketAddr,
    process: Option<Process>,
}

/// Cell of separate processes; dropping it kills them all.
#[derive(Debug)]
pub struct Cell {
    /// Caller that the tests send requests with.
    pub caller: Caller,
    entry_hosts: Vec<EntryHost>,
    _stand_ins: Vec<Process>,
    log: SocketAddr,
    host_list: SocketAddr,
    workers: BTreeMap<String, SocketAddr>,
    directory: TempDir,
}

impl Cell {
    /// Starts the platform and the first `running_hosts` of the `configured_hosts` hosts that the settings name as
    /// peers, publishes the base document and waits until the running hosts are ready and own all racks.
    pub async fn start(running_hosts: usize, configured_hosts: usize) -> Self {
        let directory = tempfile::tempdir().expect("temporary directory is created");
        let (log, host_list) = (ports::allocate(1), ports::allocate(1));
        let first_worker = ports::allocate(RACK_COUNT as u16 * WORKERS_PER_RACK);
        let names = (0..RACK_COUNT)
            .flat_map(|rack| (1..=WORKERS_PER_RACK).map(move |number| format!("rack-{rack}-{number}")));
        let names: Vec<String> = names.collect();
        let worker_address = |index: u16| SocketAddr::new(first_worker.ip(), first_worker.port() + index);
        let workers: BTreeMap<String, SocketAddr> =
            names.iter().cloned().zip((0..).map(worker_address)).collect();
        let stand_in_args = [
            ("log", vec!["log".to_owned(), "--listen".into(), log.to_string()]),
            ("hosts", vec!["hosts".into(), "--listen".into(), host_list.to_string()]),
            (
                "workers",
                vec![
                    "workers".into(),
                    "--listen".into(),
                    first_worker.to_string(),
                    "--names".into(),
                    names.join(","),
                ],
            ),
        ];
        let start = |(name, args): (&str, Vec<String>)| {
            let args: Vec<&str> = args.iter().map(String::as_str).collect();
            Process::start(Program::StandIn, name, directory.path(), &args)
        };
        let stand_ins = stand_in_args.into_iter().map(start).collect();
        let peers: Vec<SocketAddr> = (0..configured_hosts).map(|_| ports::allocate(1)).collect();
        let entry_host = |index| write_settings(directory.path(), index, &peers, log, host_list);
        let entry_hosts = (0..configured_hosts).map(entry_host).collect();
        let caller = Caller::new();
        let mut cell =
            Self { caller, entry_hosts, _stand_ins: stand_ins, log, host_list, workers, directory };
        for address in
            [cell.log, cell.host_list].into_iter().chain(cell.workers.values().copied().collect::<Vec<_>>())
        {
            cell.wait_listening(address).await;
        }
        for index in 0..running_hosts {
            cell.start_host(index);
        }
        let published = cell.publish("base", 0, &cell.base_document()).await;
        assert_eq!(published.code, Some(0), "{}", published.output);
        cell.wait_ready().await;
        cell
    }

    async fn wait_listening(&self, address: SocketAddr) {
        wait_until(&format!("connection to {address}"), STATE_TIMEOUT, || async {
            tokio::net::TcpStream::connect(address).await.is_ok()
        })
        .await;
    }

    /// Returns the base document that the cell starts with.
    pub fn base_document(&self) -> Value {
        let capacity = json!({
            "cpu_millis": 4_000, "memory_mib": 8_192, "accelerators": 0, "slots": 8, "connections": 64,
        });
        let rack = |rack: usize| {
            let name = format!("rack-{rack}");
            let addresses: Vec<&SocketAddr> =
                (1..=WORKERS_PER_RACK).map(|number| &self.workers[&format!("{name}-{number}")]).collect();
            json!({
                "rack": name, "zone": format!("zone-{}", rack % 2), "workers": WORKERS_PER_RACK, "capacity": capacity,
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
            "workers": { "racks": (0..RACK_COUNT).map(rack).collect::<Vec<_>>() },
            "services": { "echo": service },
            "batch": {},
            "gangs": {},
            "limits": {
                "id_window_ms": 900_000, "clock_skew_ms": 2_000, "retry_share": 0.1, "body_bytes": 65_536,
                "intent_rate": 20, "intent_batch": 512,
            },
        })
    }

    /// Starts the daemon of a host.
    pub fn start_host(&mut self, index: usize) {
        let entry = &mut self.entry_hosts[index];
        let settings = entry.settings_directory.to_str().expect("path is UTF-8");
        let args = ["--settings", settings];
        entry.process = Some(Process::start(Program::Daemon, &entry.name, self.directory.path(), &args));
    }

    /// Returns the process of a host; panics if it is not running.
    pub fn process(&mut self, index: usize) -> &mut Process {
        self.entry_hosts[index].process.as_mut().expect("host was started")
    }

    /// Returns the settings directory of a host.
    pub fn settings_directory(&self, index: usize) -> &Path {
        &self.entry_hosts[index].settings_directory
    }

    /// Kills a host and waits for the end of its process.
    pub async fn kill(&mut self, index: usize) {
        self.process(index).signal(Signal::KILL);
        self.process(index).wait_exit(STATE_TIMEOUT).await;
        self.mark_stopped(index);
    }

    /// Removes a host that has ended from the running hosts.
    pub fn mark_stopped(&mut self, index: usize) {
        self.entry_hosts[index].process = None;
    }

    /// Returns the index of a host that owns a rack; panics if there is none.
    pub async fn rack_owner(&self) -> usize {
        for (index, entry) in self.entry_hosts.iter().enumerate() {
            let status = self.status(entry.caller_address).await;
            let is_rack = |subject: &Subject| matches!(subject, Subject::Shard(_));
            if status.is_some_and(|status| status.owned.iter().any(|owned| is_rack(&owned.subject))) {
                return index;
            }
        }
        panic!("no host owns a rack");
    }

    /// Returns the address of a host for callers.
    pub fn caller_address(&self, index: usize) -> SocketAddr {
        self.entry_hosts[index].caller_address
    }

    /// Returns the addresses of all running hosts for callers.
    pub fn running_caller_addresses(&self) -> Vec<SocketAddr> {
        self.entry_hosts
            .iter()
            .filter(|entry| entry.process.is_some())
            .map(|entry| entry.caller_address)
            .collect()
    }

    /// Publishes `document` under `name` with the operator command, as an edit of revision `base_revision`.
    pub async fn publish(&self, name: &str, base_revision: u64, document: &Value) -> CommandResult {
        let file = tempfile::NamedTempFile::new_in(self.directory.path()).expect("file is created");
        std::fs::write(file.path(), document.to_string()).expect("file is written");
        let (log, base_revision) = (self.log.to_string(), base_revision.to_string());
        let path = file.path().to_str().expect("path is UTF-8");
        let args = ["publish", "--log", &log, "--document", name, "--based-on", &base_revision];
        run(Program::Operator, &[&args[..], &["--author", "test", "--timeout", "30", path]].concat()).await
    }

    /// Runs a subcommand of the operator command against the log service.
    pub async fn run_operator(&self, command: &str) -> CommandResult {
        run(Program::Operator, &[command, "--log", &self.log.to_string()]).await
    }

    /// Reads the status of a host; none if it does not answer within 2 s.
    pub async fn status(&self, host: SocketAddr) -> Option<HostStatus> {
        let call =
            self.caller.client().get(format!("http://{host}/v1/status")).timeout(Duration::from_secs(2));
        call.send().await.ok()?.json().await.ok()
    }

    /// Waits until every running host has exactly this revision in force.
    pub async fn wait_revision(&self, revision: u64, limit: Duration) {
        for host in self.running_caller_addresses() {
            wait_until(&format!("revision {revision} at {host}"), limit, || async {
                let status = self.status(host).await;
                // The first entry is the responding host itself; the others are its peers.
                status.is_some_and(|status| status.hosts[0].revision == Revision(revision))
            })
            .await;
        }
    }

    /// Waits until the running hosts own every rack with at least `share` of its capacity.
    pub async fn wait_owned(&self, share: Share) {
        wait_until(&format!("ownership of all racks with {share:?}"), STATE_TIMEOUT, || async {
            let mut owned = 0;
            for host in self.running_caller_addresses() {
                let Some(status) = self.status(host).await else { continue };
                let racks = status.owned.iter().filter(|owned| matches!(owned.subject, Subject::Shard(_)));
                owned += racks.filter(|owned| owned.share >= share).count();
            }
            owned == RACK_COUNT
        })
        .await;
    }

    /// Waits until the running hosts own every rack with its full capacity, are ready and reach the log service.
    pub async fn wait_ready(&self) {
        self.wait_owned(Share::Full).await;
        for host in self.running_caller_addresses() {
            wait_until(&format!("readiness of {host}"), STATE_TIMEOUT, || async {
                self.status(host).await.is_some_and(|status| status.ready && status.log)
            })
            .await;
        }
    }

    /// Replaces the injected faults of the log service.
    pub async fn set_log_faults(&self, faults: Value) {
        self.post(self.log, "faults", &faults).await;
    }

    /// Sets the state of a worker in the host list.
    pub async fn set_worker_state(&self, worker: &str, state: &str) {
        self.post(self.host_list, "hosts", &json!({ worker: state })).await;
    }

    async fn post(&self, address: SocketAddr, path: &str, body: &Value) {
        let call = self.caller.client().post(format!("http://{address}/{path}")).json(body);
        let response = call.send().await.expect("stand-in answers");
        assert!(response.status().is_success(), "{path}: {}", response.status());
    }

    /// Reads the records of all workers.
    pub async fn worker_records(&self) -> WorkerRecords {
        let mut records = BTreeMap::new();
        for (worker, address) in &self.workers {
            let call = self.caller.client().get(format!("http://{address}/record"));
            let response = call.send().await.expect("worker answers");
            records.insert(worker.clone(), response.json().await.expect("record is JSON"));
        }
        WorkerRecords(records)
    }

    /// Submits a job and returns the HTTP status code.
    pub async fn submit(&self, host: SocketAddr, id: &str, kind: &str, tasks: u32) -> u16 {
        let job = json!({
            "id": id, "kind": kind, "team": "blue", "priority": 20, "tasks": tasks,
            "resources": { "cpu_millis": 500, "memory_mib": 256 },
        });
        let call = self.caller.client().post(format!("http://{host}/v1/jobs")).json(&job);
        call.timeout(STATE_TIMEOUT).send().await.expect("host answers").status().as_u16()
    }

    /// Reads the status of a job; none if the host does not answer.
    pub async fn job(&self, host: SocketAddr, id: &str) -> Option<JobStatus> {
        let call = self.caller.client().get(format!("http://{host}/v1/jobs/{id}")).timeout(STATE_TIMEOUT);
        call.send().await.ok()?.json().await.ok()
    }

    /// Waits until all tasks of a job have succeeded.
    pub async fn wait_succeeded(&self, host: SocketAddr, id: &str) {
        wait_until(&format!("success of job {id}"), STATE_TIMEOUT, || async {
            self.job(host, id).await.is_some_and(|job| job.state == "finished" && job.done == job.tasks)
        })
        .await;
    }
}

/// Allocates the caller port of a host and writes its settings files.
fn write_settings(
    directory: &Path,
    index: usize,
    peers: &[SocketAddr],
    log: SocketAddr,
    host_list: SocketAddr,
) -> EntryHost {
    let name = format!("entry-{index}");
    let settings_directory = directory.join(&name);
    std::fs::create_dir(&settings_directory).expect("settings directory is created");
    let caller_address = ports::allocate(1);
    let site = ["north", "south"][index % 2];
    let sections = [
        ("host.json", json!({ "name": name, "zone": format!("zone-{}", index % 2), "site": site })),
        (
            "listen.json",
            json!({ "api": caller_address, "peer": peers[index], "peers": peers, "stop_delay_ms": 1_000 }),
        ),
        ("platform.json", json!({ "log": log, "hosts": host_list })),
        ("logging.json", json!({ "decisions": false })),
    ];
    for (file, content) in sections {
        std::fs::write(settings_directory.join(file), content.to_string()).expect("settings are written");
    }
    EntryHost { name, settings_directory, caller_address, process: None }
}
