//! Entry hosts and stand-ins in one process.
//!
//! The hosts are the product's own daemons with their sockets on the loopback interface. Log, workers, backend servers
//! and host list are stand-ins in the same process, so that their fault switches and records are at hand.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use rand::RngExt;
use serde_json::{Value, json};
use thiserror::Error;
use yuccahoist::config::{ConfigRecord, DocumentName, Edit};
use yuccahoist::daemon::{Daemon, Platform, Running, StartError};
use yuccahoist::event::HostStatus;
use yuccahoist::host::{Host, HostOptions};
use yuccahoist::id::{HostId, Incarnation, Offset, ParseIdError, Revision, Sequence, WorkerId};
use yuccahoist::settings::{HostSettings, ListenSettings, PlatformSettings, Settings};
use yuccahoist::stream::{Envelope, StreamName};
use yuccahoist::systems::{CallError, LogService, WorkerTable};

use crate::backend::Backends;
use crate::hosts::Hosts;
use crate::log::MemoryLog;
use crate::worker::Workers;

/// Time between two looks at the status of the hosts.
const STATUS_PERIOD: Duration = Duration::from_millis(20);

/// Failure of the cluster.
#[derive(Debug, Error)]
pub enum ClusterError {
    /// Name in the options is not valid.
    #[error("{0}")]
    Name(#[from] ParseIdError),
    /// Host does not start.
    #[error("{0}")]
    Start(#[from] StartError),
    /// Log does not take a record.
    #[error("{0}")]
    Log(#[from] CallError),
    /// Record cannot be written.
    #[error("writing an edit failed: {0}")]
    Record(#[from] serde_json::Error),
    /// HTTP call failed.
    #[error("{0}")]
    Http(#[from] reqwest::Error),
    /// Port cannot be reserved.
    #[error("reserving a port failed: {0}")]
    Port(std::io::Error),
    /// State was not reached.
    #[error("{what} was not reached within {limit:?}")]
    Timeout {
        /// State that was waited for.
        what: String,
        /// Time limit.
        limit: Duration,
    },
}

/// Size of a cluster.
#[derive(Debug, Clone)]
pub struct ClusterOptions {
    /// Sites, each with an availability zone of the same name.
    pub sites: Vec<String>,
    /// Entry hosts; they are spread over the sites in turn.
    pub hosts: usize,
    /// Racks; they are spread over the zones in turn.
    pub racks: usize,
    /// Workers per rack.
    pub workers: usize,
    /// Service that callers use.
    pub service: String,
    /// Teams.
    pub teams: Vec<String>,
}

impl Default for ClusterOptions {
    fn default() -> Self {
        Self {
            sites: ["yard-north", "yard-south", "yard-gate"].map(String::from).into(),
            hosts: 3,
            racks: 6,
            workers: 8,
            service: "drumline".into(),
            teams: ["day-a", "day-b"].map(String::from).into(),
        }
    }
}

/// Builder of [`ClusterOptions`].
#[derive(Debug, Clone, Default)]
pub struct ClusterBuilder {
    options: ClusterOptions,
}

impl ClusterBuilder {
    /// Sets the sites.
    #[must_use]
    pub fn sites(mut self, sites: &[&str]) -> Self {
        self.options.sites = sites.iter().copied().map(String::from).collect();
        self
    }

    /// Sets the number of entry hosts.
    #[must_use]
    pub fn hosts(mut self, hosts: usize) -> Self {
        self.options.hosts = hosts;
        self
    }

    /// Sets the number of racks.
    #[must_use]
    pub fn racks(mut self, racks: usize) -> Self {
        self.options.racks = racks;
        self
    }

    /// Sets the number of workers per rack.
    #[must_use]
    pub fn workers(mut self, workers: usize) -> Self {
        self.options.workers = workers;
        self
    }

    /// Sets the service that callers use.
    #[must_use]
    pub fn service(mut self, service: &str) -> Self {
        self.options.service = service.into();
        self
    }

    /// Sets the teams.
    #[must_use]
    pub fn teams(mut self, teams: &[&str]) -> Self {
        self.options.teams = teams.iter().copied().map(String::from).collect();
        self
    }

    /// Options as set; the rest has its default.
    #[must_use]
    pub fn build(self) -> ClusterOptions {
        self.options
    }
}

impl ClusterOptions {
    /// Builder with the default size.
    #[must_use]
    pub fn builder() -> ClusterBuilder {
        ClusterBuilder::default()
    }

    /// Base document of the cell.
    #[must_use]
    pub fn base(&self) -> Value {
        let racks: Vec<Value> = (0..self.racks).map(|index| self.rack(index)).collect();
        let quota = json!({ "cpu_millis": 400_000, "memory_mib": 1_600_000, "accelerators": 0 });
        let teams: BTreeMap<&String, Value> =
            self.teams.iter().map(|team| (team, json!({ "quota": quota, "weight": 1 }))).collect();
        let service = json!({
            "team": self.teams[0], "priority": 200, "tasks": self.racks, "spread": "rack",
            "resources": { "cpu_millis": 1_000, "memory_mib": 1_024, "accelerators": 0 },
        });
        json!({
            "cell": "demo",
            "sites": self.sites,
            "classes": {
                "urgent": { "share": 0.5, "queue": 512, "run_limit_ms": 2_000, "deadline_limit_ms": 5_000 },
                "batch": { "share": 0.25, "queue": 1_024, "run_limit_ms": 3_000, "deadline_limit_ms": 30_000 },
                "heavy": { "share": 0.25, "queue": 1_024, "run_limit_ms": 5_000, "deadline_limit_ms": 60_000 },
            },
            "teams": teams,
            "workers": { "racks": racks },
            "services": { self.service.as_str(): service },
            "batch": {},
            "gangs": {},
            "limits": {
                "id_window_ms": 900_000, "clock_skew_ms": 2_000, "retry_share": 0.1, "body_bytes": 1_048_576,
                "intent_rate": 20, "intent_batch": 64,
            },
        })
    }

    fn rack(&self, index: usize) -> Value {
        json!({
            "rack": rack_name(index),
            "zone": self.sites[index % self.sites.len()],
            "workers": self.workers,
            "capacity": { "cpu_millis": 16_000, "memory_mib": 65_536, "accelerators": 0, "slots": 8, "connections": 64 },
            "backend": format!("127.1.{index}.{{worker}}:8080"),
            "agent": format!("127.1.{index}.{{worker}}:8081"),
        })
    }

    /// Names of all workers.
    ///
    /// # Errors
    ///
    /// Fails when a name is not valid.
    pub fn worker_ids(&self) -> Result<Vec<WorkerId>, ParseIdError> {
        let numbers = |rack| (1..=self.workers).map(move |number| format!("{}-{number}", rack_name(rack)));
        (0..self.racks).flat_map(numbers).map(|name| name.parse()).collect()
    }
}

fn rack_name(index: usize) -> String {
    format!("rack-{index}")
}

/// Entry host that runs in the cluster.
#[derive(Debug)]
pub struct ClusterHost {
    /// Name.
    pub name: HostId,
    /// Address for callers.
    pub api: SocketAddr,
    running: Running,
}

/// Entry hosts and stand-ins.
#[derive(Debug)]
pub struct Cluster {
    options: ClusterOptions,
    /// Log service.
    pub log: MemoryLog,
    /// Backend servers.
    pub backends: Backends,
    /// Workers.
    pub workers: Workers,
    /// Host list.
    pub list: Hosts,
    /// Running hosts.
    pub hosts: BTreeMap<HostId, ClusterHost>,
    peers: Vec<SocketAddr>,
    client: reqwest::Client,
}

impl Cluster {
    /// Starts the stand-ins, publishes the base document and starts all hosts.
    ///
    /// # Errors
    ///
    /// Fails when a host does not start or the log takes no record.
    pub async fn start(options: ClusterOptions) -> Result<Self, ClusterError> {
        let ids = options.worker_ids()?;
        let peers = reserve(options.hosts).map_err(ClusterError::Port)?;
        let mut cluster = Self {
            log: MemoryLog::new(),
            backends: Backends::new(ids.clone()),
            workers: Workers::new(ids),
            list: Hosts::new(Duration::from_millis(500)),
            hosts: BTreeMap::new(),
            peers,
            client: reqwest::Client::builder().no_proxy().build()?,
            options,
        };
        cluster.publish(DocumentName::Base, cluster.options.base(), Revision(0)).await?;
        for index in 0..cluster.options.hosts {
            cluster.start_host(index)?;
        }
        Ok(cluster)
    }

    /// Starts the host with an index, as a new incarnation if it ran before.
    ///
    /// # Errors
    ///
    /// Fails when its addresses are in use.
    pub fn start_host(&mut self, index: usize) -> Result<HostId, ClusterError> {
        let site = &self.options.sites[index % self.options.sites.len()];
        let name: HostId = format!("entry-{}", index + 1).parse()?;
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let mut listen = ListenSettings::new(any, self.peers[index]);
        listen.peers.clone_from(&self.peers);
        listen.stop_delay = Duration::from_millis(100);
        let settings = Settings {
            host: HostSettings::new(name.clone(), site.parse()?, site.parse()?),
            listen,
            platform: PlatformSettings::new(any, any),
            log: Default::default(),
            logging: Default::default(),
            metrics: Default::default(),
        };
        let daemon = Daemon::bind(settings)?;
        let host = Host::new(HostOptions::from_settings(daemon.settings()));
        let running = daemon.run(Box::new(host), self.platform())?;
        let host = ClusterHost { name: name.clone(), api: running.api(), running };
        self.hosts.insert(name.clone(), host);
        Ok(name)
    }

    fn platform(&self) -> Platform {
        Platform {
            log: Arc::new(self.log.clone()),
            workers: Arc::new(self.workers.clone()),
            backends: Arc::new(self.backends.clone()),
            hosts: Arc::new(self.list.clone()),
            table: WorkerTable::default(),
        }
    }

    /// Ends a host at once.
    pub fn kill(&mut self, name: &HostId) {
        if let Some(host) = self.hosts.remove(name) {
            host.running.kill();
        }
    }

    /// Stops a host gracefully.
    pub async fn stop(&mut self, name: &HostId) {
        if let Some(host) = self.hosts.remove(name) {
            host.running.stop().await;
        }
    }

    /// Publishes an edit and returns its offset.
    ///
    /// # Errors
    ///
    /// Fails when the log takes no record.
    pub async fn publish(
        &self,
        document: DocumentName,
        content: Value,
        based_on: Revision,
    ) -> Result<Offset, ClusterError> {
        let edit = Edit {
            document,
            based_on,
            content,
            author: "cluster".into(),
            note: String::new(),
            allow_capacity_drop: false,
        };
        let envelope = Envelope {
            producer: Incarnation(rand::rng().random_range(1..=u64::MAX)),
            seq: Sequence(1),
            body: ConfigRecord::Edit(Box::new(edit)),
        };
        let record = Bytes::from(serde_json::to_vec(&envelope)?);
        Ok(self.log.append(StreamName::Config, record).await?)
    }

    /// Status of a host.
    ///
    /// # Errors
    ///
    /// Fails when the host does not answer.
    pub async fn status(&self, api: SocketAddr) -> Result<HostStatus, ClusterError> {
        let url = format!("http://{api}/v1/status");
        Ok(self.client.get(url).send().await?.error_for_status()?.json().await?)
    }

    /// Waits until a condition holds for the status of every running host.
    ///
    /// # Errors
    ///
    /// Fails after `limit`.
    pub async fn wait_all(
        &self,
        what: &str,
        limit: Duration,
        condition: impl Fn(&HostStatus) -> bool,
    ) -> Result<Duration, ClusterError> {
        let start = tokio::time::Instant::now();
        loop {
            let mut all = true;
            for host in self.hosts.values() {
                all &= self.status(host.api).await.is_ok_and(|status| condition(&status));
            }
            if all {
                return Ok(start.elapsed());
            }
            if start.elapsed() > limit {
                return Err(ClusterError::Timeout { what: what.into(), limit });
            }
            tokio::time::sleep(STATUS_PERIOD).await;
        }
    }

    /// Waits until every rack and partition has an owner with its whole capacity.
    ///
    /// # Errors
    ///
    /// Fails after `limit`.
    pub async fn wait_owned(&self, limit: Duration) -> Result<Duration, ClusterError> {
        let start = tokio::time::Instant::now();
        let subjects = self.options.racks + usize::from(yuccahoist::config::PARTITIONS);
        loop {
            let mut owned = 0;
            for host in self.hosts.values() {
                let status = self.status(host.api).await;
                let full = |status: HostStatus| {
                    status.owned.iter().filter(|o| o.share == yuccahoist::ownership::Share::Full).count()
                };
                owned += status.map_or(0, full);
            }
            if owned == subjects {
                return Ok(start.elapsed());
            }
            if start.elapsed() > limit {
                let what = format!("ownership of {subjects} subjects ({owned} owned)");
                return Err(ClusterError::Timeout { what, limit });
            }
            tokio::time::sleep(STATUS_PERIOD).await;
        }
    }

    /// HTTP client for callers.
    #[must_use]
    pub const fn client(&self) -> &reqwest::Client {
        &self.client
    }

    /// Size of the cluster.
    #[must_use]
    pub const fn options(&self) -> &ClusterOptions {
        &self.options
    }
}

/// Finds free ports for peers, so that every host knows the addresses of the others before they start.
fn reserve(count: usize) -> std::io::Result<Vec<SocketAddr>> {
    let listeners: Vec<TcpListener> =
        (0..count).map(|_| TcpListener::bind((Ipv4Addr::LOCALHOST, 0))).collect::<Result<_, _>>()?;
    listeners.iter().map(TcpListener::local_addr).collect()
}
