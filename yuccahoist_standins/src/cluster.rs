//! Cluster of entry hosts and stand-ins in one process.
//!
//! The hosts are the daemons of the product, with sockets on the loopback interface. Log, workers, backend servers and
//! host list are stand-ins in the same process, so that a test can set their faults and read their records directly.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use rand::RngExt;
use serde_json::{Value, json};
use thiserror::Error;
use yuccahoist::config::{ConfigRecord, DocumentName, Edit};
use yuccahoist::daemon::{Daemon, PlatformClients, RunningHost, StartError};
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

/// Time between two polls of the status of all hosts.
const STATUS_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Error of a cluster operation.
#[derive(Debug, Error)]
pub enum ClusterError {
    /// A name in the options is not a valid id.
    #[error("{0}")]
    Name(#[from] ParseIdError),
    /// A host does not start, as an address is not free or a thread cannot be created.
    #[error("{0}")]
    Start(#[from] StartError),
    /// The log did not accept a record.
    #[error("{0}")]
    Log(#[from] CallError),
    /// An edit cannot be serialized.
    #[error("serializing a configuration edit failed: {0}")]
    Record(#[from] serde_json::Error),
    /// A call to a host failed, or the host answered with an error status.
    #[error("{0}")]
    Http(#[from] reqwest::Error),
    /// No free port was found for the peer address of a host.
    #[error("reserving a peer port failed: {0}")]
    Port(std::io::Error),
    /// The cluster did not reach a state in time.
    #[error("timed out after {limit:?} waiting for {what}")]
    Timeout {
        /// Awaited state, as a phrase for the message.
        what: String,
        /// Timeout that has passed.
        limit: Duration,
    },
}

/// Topology of a cluster.
#[derive(Debug, Clone)]
pub struct ClusterOptions {
    /// Sites, each with an availability zone of the same name.
    pub sites: Vec<String>,
    /// Number of entry hosts, distributed round-robin over the sites.
    pub hosts: usize,
    /// Number of racks, distributed round-robin over the zones.
    pub racks: usize,
    /// Number of workers per rack.
    pub workers_per_rack: usize,
    /// Name of the only service; its tasks are owned by the first team.
    pub service: String,
    /// Names of the teams, all with the same quota; at least one.
    pub teams: Vec<String>,
}

impl Default for ClusterOptions {
    fn default() -> Self {
        Self {
            sites: ["yard-north", "yard-south", "yard-gate"].map(String::from).into(),
            hosts: 3,
            racks: 6,
            workers_per_rack: 8,
            service: "drumline".into(),
            teams: ["day-a", "day-b"].map(String::from).into(),
        }
    }
}

/// Builder of [`ClusterOptions`]; what is not set has its default.
#[derive(Debug, Clone, Default)]
pub struct ClusterBuilder {
    options: ClusterOptions,
}

impl ClusterBuilder {
    /// Sets the sites, and thereby the zones.
    #[must_use]
    pub fn sites(mut self, sites: &[&str]) -> Self {
        self.options.sites = sites.iter().copied().map(String::from).collect();
        self
    }

    /// Sets the number of entry hosts in the whole cluster.
    #[must_use]
    pub fn hosts(mut self, hosts: usize) -> Self {
        self.options.hosts = hosts;
        self
    }

    /// Sets the number of racks in the whole cluster.
    #[must_use]
    pub fn racks(mut self, racks: usize) -> Self {
        self.options.racks = racks;
        self
    }

    /// Sets the number of workers per rack.
    #[must_use]
    pub fn workers_per_rack(mut self, workers_per_rack: usize) -> Self {
        self.options.workers_per_rack = workers_per_rack;
        self
    }

    /// Sets the name of the service.
    #[must_use]
    pub fn service(mut self, service: &str) -> Self {
        self.options.service = service.into();
        self
    }

    /// Sets the names of the teams.
    #[must_use]
    pub fn teams(mut self, teams: &[&str]) -> Self {
        self.options.teams = teams.iter().copied().map(String::from).collect();
        self
    }

    /// Returns the options without validation; an invalid name fails at the start of the cluster.
    #[must_use]
    pub fn build(self) -> ClusterOptions {
        self.options
    }
}

impl ClusterOptions {
    /// Returns a builder with the default topology.
    #[must_use]
    pub fn builder() -> ClusterBuilder {
        ClusterBuilder::default()
    }

    /// Returns the base document of the configuration.
    #[must_use]
    pub fn base_document(&self) -> Value {
        let racks: Vec<Value> = (0..self.racks).map(|index| self.rack_entry(index)).collect();
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

    fn rack_entry(&self, index: usize) -> Value {
        json!({
            "rack": rack_name(index),
            "zone": self.sites[index % self.sites.len()],
            "workers": self.workers_per_rack,
            "capacity": { "cpu_millis": 16_000, "memory_mib": 65_536, "accelerators": 0, "slots": 8, "connections": 64 },
            "backend": format!("127.1.{index}.{{worker}}:8080"),
            "agent": format!("127.1.{index}.{{worker}}:8081"),
        })
    }

    /// Returns the ids of all workers, rack by rack.
    ///
    /// # Errors
    ///
    /// Fails when an id is not valid.
    pub fn worker_ids(&self) -> Result<Vec<WorkerId>, ParseIdError> {
        let rack_workers =
            |rack| (1..=self.workers_per_rack).map(move |number| format!("{}-{number}", rack_name(rack)));
        (0..self.racks).flat_map(rack_workers).map(|name| name.parse()).collect()
    }
}

fn rack_name(index: usize) -> String {
    format!("rack-{index}")
}

/// Running entry host of a cluster.
#[derive(Debug)]
pub struct ClusterHost {
    /// Id of the host, `entry-1` for the first.
    pub name: HostId,
    /// Address of the caller interface; changes when the host is started again.
    pub api: SocketAddr,
    running: RunningHost,
}

/// Entry hosts together with the stand-ins that they use.
#[derive(Debug)]
pub struct Cluster {
    options: ClusterOptions,
    /// Log service that all hosts share.
    pub log: MemoryLog,
    /// Backend servers of all workers.
    pub backends: Backends,
    /// Agents of all workers.
    pub workers: Workers,
    /// Host list; empty at the start, and 500 ms behind.
    pub host_list: Hosts,
    /// Running hosts; a host that is killed or stopped is removed.
    pub hosts: BTreeMap<HostId, ClusterHost>,
    peer_addresses: Vec<SocketAddr>,
    client: reqwest::Client,
}

impl Cluster {
    /// Starts the stand-ins, publishes the base document and starts all hosts.
    ///
    /// # Errors
    ///
    /// Fails when a name is invalid, no port is free, a host does not start or the log does not accept the document.
    pub async fn start(options: ClusterOptions) -> Result<Self, ClusterError> {
        let ids = options.worker_ids()?;
        let peer_addresses = reserve_ports(options.hosts).map_err(ClusterError::Port)?;
        let mut cluster = Self {
            log: MemoryLog::new(),
            backends: Backends::new(ids.clone()),
            workers: Workers::new(ids),
            host_list: Hosts::new(Duration::from_millis(500)),
            hosts: BTreeMap::new(),
            peer_addresses,
            client: reqwest::Client::builder().no_proxy().build()?,
            options,
        };
        cluster.publish(DocumentName::Base, cluster.options.base_document(), Revision(0)).await?;
        for index in 0..cluster.options.hosts {
            cluster.start_host(index)?;
        }
        Ok(cluster)
    }

    /// Starts the host with an index, counted from 0; a host that ran before gets a new incarnation.
    ///
    /// # Errors
    ///
    /// Fails when an address of the host is in use or a name is invalid.
    pub fn start_host(&mut self, index: usize) -> Result<HostId, ClusterError> {
        let site = &self.options.sites[index % self.options.sites.len()];
        let name: HostId = format!("entry-{}", index + 1).parse()?;
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let mut listen = ListenSettings::new(any_port, self.peer_addresses[index]);
        listen.peers.clone_from(&self.peer_addresses);
        listen.stop_delay = Duration::from_millis(100);
        let settings = Settings {
            host: HostSettings::new(name.clone(), site.parse()?, site.parse()?),
            listen,
            platform: PlatformSettings::new(any_port, any_port),
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

    fn platform(&self) -> PlatformClients {
        PlatformClients {
            log: Arc::new(self.log.clone()),
            workers: Arc::new(self.workers.clone()),
            backends: Arc::new(self.backends.clone()),
            hosts: Arc::new(self.host_list.clone()),
            table: WorkerTable::default(),
        }
    }

    /// Kills a host without a graceful stop; no effect on a host that does not run.
    pub fn kill(&mut self, name: &HostId) {
        if let Some(host) = self.hosts.remove(name) {
            host.running.kill();
        }
    }

    /// Stops a host gracefully, and waits until it has stopped.
    pub async fn stop(&mut self, name: &HostId) {
        if let Some(host) = self.hosts.remove(name) {
            host.running.stop().await;
        }
    }

    /// Appends a configuration edit to the log under a new producer, and returns its offset.
    ///
    /// # Errors
    ///
    /// Fails when the log does not accept the record.
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

    /// Requests the status of the host with the caller address `api`.
    ///
    /// # Errors
    ///
    /// Fails when the host does not answer or answers with an error status.
    pub async fn status(&self, api: SocketAddr) -> Result<HostStatus, ClusterError> {
        let url = format!("http://{api}/v1/status");
        Ok(self.client.get(url).send().await?.error_for_status()?.json().await?)
    }

    /// Waits until the status of every running host meets `condition`, and returns the time that it took.
    ///
    /// # Errors
    ///
    /// `Timeout` after `limit`.
    pub async fn wait_for_status(
        &self,
        what: &str,
        limit: Duration,
        condition: impl Fn(&HostStatus) -> bool,
    ) -> Result<Duration, ClusterError> {
        let start = tokio::time::Instant::now();
        loop {
            let mut all_met = true;
            for host in self.hosts.values() {
                all_met &= self.status(host.api).await.is_ok_and(|status| condition(&status));
            }
            if all_met {
                return Ok(start.elapsed());
            }
            if start.elapsed() > limit {
                return Err(ClusterError::Timeout { what: what.into(), limit });
            }
            tokio::time::sleep(STATUS_POLL_INTERVAL).await;
        }
    }

    /// Waits until every rack and partition has an owner with the full share, and returns the time that it took.
    ///
    /// # Errors
    ///
    /// `Timeout` after `limit`.
    pub async fn wait_for_ownership(&self, limit: Duration) -> Result<Duration, ClusterError> {
        let start = tokio::time::Instant::now();
        let subject_count = self.options.racks + usize::from(yuccahoist::config::PARTITION_COUNT);
        loop {
            let mut owned_count = 0;
            for host in self.hosts.values() {
                let status = self.status(host.api).await;
                let count_full = |status: HostStatus| {
                    status.owned.iter().filter(|o| o.share == yuccahoist::ownership::Share::Full).count()
                };
                owned_count += status.map_or(0, count_full);
            }
            if owned_count == subject_count {
                return Ok(start.elapsed());
            }
            if start.elapsed() > limit {
                let what = format!("ownership of {subject_count} subjects ({owned_count} owned)");
                return Err(ClusterError::Timeout { what, limit });
            }
            tokio::time::sleep(STATUS_POLL_INTERVAL).await;
        }
    }

    /// HTTP client that ignores proxy settings, for calls to the hosts.
    #[must_use]
    pub const fn client(&self) -> &reqwest::Client {
        &self.client
    }

    /// Options with which the cluster was started.
    #[must_use]
    pub const fn options(&self) -> &ClusterOptions {
        &self.options
    }
}

/// Selects a free port for each host, so that every host knows all peer addresses before it starts.
///
/// The ports are free again on return, so another process can take one before its host binds it.
fn reserve_ports(count: usize) -> std::io::Result<Vec<SocketAddr>> {
    let listeners: Vec<TcpListener> =
        (0..count).map(|_| TcpListener::bind((Ipv4Addr::LOCALHOST, 0))).collect::<Result<_, _>>()?;
    listeners.iter().map(TcpListener::local_addr).collect()
}
