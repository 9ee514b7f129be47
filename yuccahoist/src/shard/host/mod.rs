//! Host: relays the requests of callers to the owner of the shard, or is the owner itself after a takeover.

pub mod appender;
pub mod campaign;
mod configuration;
pub mod configuration_exchange;
pub mod frame;
pub mod host_directory;
mod orders;
mod owning;
mod relay;
mod run;
pub mod write_timeouts;

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use tokio::sync::{mpsc, oneshot, watch};

use self::campaign::{Outcome, Won};
use self::configuration_exchange::{ConfigurationExchange, RawConfiguration};
use self::frame::{Frame, FrameSender};
use self::host_directory::HostDirectory;
use super::id::{Epoch, StepKey};
use super::message::{Answer, Event, Refusal, Request};
use super::owner::Owner;
use super::ports::{
    Announcement, RecommendationService, Registry, RegistryChange, Store, StoreError, Ticket, Workers,
};
use super::request_queue::RequestQueue;
use super::workspace::WorkspaceTable;
use crate::clock::Clock;
use crate::unit::{Bytes, Timestamp};

/// Capacity of the input queue, several seconds of a burst; its senders wait while it is full.
const INBOX_CAPACITY: usize = 8_192;

/// Owners to which a host sends one call. A call that is harmless and lost with its owner reaches the next one; a call
/// that ends or occupies each owner does not reach all hosts.
const MAX_OWNERS_PER_CALL: u32 = 2;

/// Systems that a host uses.
#[derive(Debug, Clone)]
pub struct Ports {
    /// Store of the shard's records and of the owners' announcements.
    pub store: Arc<dyn Store>,
    /// Client for orders to workers; used only by the owner.
    pub workers: Arc<dyn Workers>,
    /// Client of the recommendation service.
    pub recommendation_service: Arc<dyn RecommendationService>,
    /// Registry of workers; read only by the owner.
    pub registry: Arc<dyn Registry>,
    /// Monotonic and wall-clock time.
    pub clock: Arc<dyn Clock>,
}

/// Settings of a host.
#[derive(Debug, Clone)]
pub struct HostSettings {
    /// Host name, for logs and the ownership record.
    pub name: String,
    /// Address at which the host listens for other hosts, and which it announces to them.
    pub address: SocketAddr,
    /// Longest lease that workers accept.
    pub max_lease: Duration,
    /// How many times as long a task takes away from the rack of its data; 1 if the platform names no factor.
    pub far_factor: f64,
    /// CPU share of the host, in cores; a host with a larger one campaigns earlier.
    pub cpu_share: f64,
    /// Largest record that the store takes, bytes.
    pub max_record: Bytes,
}

/// Status of a host, for its readiness probe and its metrics.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HostStatus {
    /// Whether requests reach the owner.
    pub is_ready: bool,
    /// Whether this host is the owner.
    pub is_owner: bool,
    /// Highest epoch that the host knows of.
    pub epoch: Epoch,
    /// Counters of the owner; zero on other hosts.
    pub counters: super::owner::Counters,
    /// Work of the workspaces at the owner; empty on other hosts.
    pub workspaces: Arc<[super::owner::WorkspaceStatus]>,
}

/// Input of the host's main loop.
#[derive(Debug)]
enum Input {
    /// Request of a caller, with its time limit.
    Call(Request, Duration, oneshot::Sender<Answer>),
    /// Event for the owner of an epoch; dropped if this host no longer is that owner.
    OwnerEvent(Epoch, Event),
    /// Whether the store answered the last read of announcements.
    StoreState(bool),
    Announced(Announcement),
    CampaignEnded(Result<Outcome, StoreError>),
    Registry(Epoch, Vec<RegistryChange>),
    /// Another host has connected to this one.
    PeerConnected(u64, FrameSender),
    PeerFrame(u64, Frame),
    PeerClosed(u64),
    /// The connection to the owner is open.
    OwnerConnected(u64, FrameSender),
    OwnerFrame(u64, Frame),
    OwnerClosed(u64, Loss),
    /// Answer of the recommendation service.
    Recommended(RequestOrigin, Option<Vec<Ticket>>),
    /// The store refused an append of this epoch.
    Fenced(Epoch),
    /// Terms of the workspaces in this host's configuration.
    Workspaces(Arc<WorkspaceTable>),
    /// Record of the configuration in force at this host.
    Configuration(RawConfiguration),
    /// Release the shard and confirm it.
    Stop(oneshot::Sender<()>),
}

/// How the connection to the owner was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Loss {
    /// An open connection was closed.
    Ended,
    /// The connection attempt failed; usually no process listens at the owner's address.
    Refused,
    /// The connection attempt timed out.
    Silent,
}

/// Where a recommendation request comes from.
#[derive(Debug, Clone, Copy)]
enum RequestOrigin {
    /// The owner on this host, in an epoch; with the number of the call.
    Local(Epoch, u64),
    /// The owner on another host. Each owner numbers its calls from the start, so the number alone does not identify a call.
    Peer {
        /// Number of the connection to the owner on which the request arrived.
        connection: u64,
        /// Number of the call at the owner.
        number: u64,
    },
}

impl fmt::Display for RequestOrigin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Local(epoch, number) => write!(f, "local.{epoch}.{number}"),
            Self::Peer { connection, number } => write!(f, "peer.{connection}.{number}"),
        }
    }
}

/// Handle to a running host.
#[derive(Debug, Clone)]
pub struct HostHandle {
    inbox: mpsc::Sender<Input>,
    status: watch::Receiver<HostStatus>,
    received: watch::Receiver<Option<RawConfiguration>>,
}

impl HostHandle {
    /// Sends a request to the owner and returns its answer, or an error answer after `wait`.
    pub async fn call(&self, request: Request, wait: Duration) -> Answer {
        let (reply, answer) = oneshot::channel();
        let not_ready = Answer::Refused { cause: Refusal::NotReady, retry: Duration::from_secs(1) };
        if self.inbox.send(Input::Call(request, wait, reply)).await.is_err() {
            return not_ready;
        }
        answer.await.unwrap_or(Answer::Unclear)
    }

    /// Passes on the terms of the workspaces in a new version of the configuration.
    pub async fn set_workspaces(&self, table: Arc<WorkspaceTable>) {
        if self.inbox.send(Input::Workspaces(table)).await.is_err() {
            log::debug!("workspaces dropped: the main loop of the host has ended");
        }
    }

    /// Passes on the record of a configuration that has come into force, for hosts that can't read it.
    pub async fn set_configuration(&self, configuration: RawConfiguration) {
        if self.inbox.send(Input::Configuration(configuration)).await.is_err() {
            log::debug!("configuration dropped: the main loop of the host has ended");
        }
    }

    /// Returns the newest record that another host has sent.
    #[must_use]
    pub fn received_configuration(&self) -> watch::Receiver<Option<RawConfiguration>> {
        self.received.clone()
    }

    /// Returns the current status.
    #[must_use]
    pub fn status(&self) -> HostStatus {
        self.status.borrow().clone()
    }

    /// Releases the shard if this host owns it, and returns once another host can take over.
    pub async fn release(&self) {
        let (done, finished) = oneshot::channel();
        if self.inbox.send(Input::Stop(done)).await.is_ok() && finished.await.is_err() {
            log::warn!("host task ended before the shard was released");
        }
    }
}

/// Call of a caller that waits for its answer.
#[derive(Debug)]
struct PendingCall {
    request: Request,
    reply: oneshot::Sender<Answer>,
    expires_at: Timestamp,
    /// Epoch of the last owner to which the request was sent; `None` before.
    last_owner: Option<Epoch>,
    /// Number of owners to which the request was sent.
    owners: u32,
}

impl PendingCall {
    fn new(request: Request, reply: oneshot::Sender<Answer>, expires_at: Timestamp) -> Self {
        Self { request, reply, expires_at, last_owner: None, owners: 0 }
    }

    /// Records that the request is sent to the owner of `epoch`.
    fn note_owner(&mut self, epoch: Epoch) {
        if self.last_owner.replace(epoch) != Some(epoch) {
            self.owners += 1;
        }
    }

    /// Whether the request may be sent to the owner of `epoch`: one that was lost with several owners may be the cause.
    fn may_reach(&self, epoch: Epoch) -> bool {
        self.owners < MAX_OWNERS_PER_CALL || self.last_owner == Some(epoch)
    }

    /// Returns the answer to a call that no owner answers; the outcome of one that was sent is unknown, unless it only reads.
    fn failure(&self) -> Answer {
        let is_read = matches!(self.request, Request::Query(..) | Request::Count(_));
        if self.last_owner.is_some() && !is_read { Answer::Unclear } else { no_owner() }
    }
}

/// Returns the answer to a request that no owner has executed.
fn no_owner() -> Answer {
    Answer::Refused { cause: Refusal::NoOwner, retry: Duration::from_secs(1) }
}

/// Connection to the owner.
#[derive(Debug)]
struct OwnerLink {
    sender: FrameSender,
    last_heard: Timestamp,
    last_ping: Timestamp,
    /// Whether the owner has accepted the connection.
    joined: bool,
}

/// Connection of another host to this one, which is the owner.
#[derive(Debug)]
struct PeerLink {
    sender: FrameSender,
    last_heard: Timestamp,
    /// Address of the host; set once it has joined.
    address: Option<String>,
}

/// State of the host's main loop.
struct HostState {
    settings: HostSettings,
    ports: Ports,
    inbox: mpsc::Sender<Input>,
    status: watch::Sender<HostStatus>,
    rng: StdRng,
    /// Calls that wait for an answer, by number.
    pending: BTreeMap<u64, PendingCall>,
    /// Number of the last call.
    last_call: u64,
    /// Newest announcement of an owner.
    announcement: Option<Announcement>,
    /// Highest epoch that is known.
    epoch: Epoch,
    /// State machine of the shard while this host owns it.
    owner: Option<Owner>,
    /// Terms of the workspaces in this host's newest configuration, for an owner on this host.
    workspaces: Arc<WorkspaceTable>,
    /// Record of this host's configuration, and what other hosts know of it.
    configuration: ConfigurationExchange,
    /// Newest record that another host has sent.
    received: watch::Sender<Option<RawConfiguration>>,
    /// Queue of the task that appends the owner's batches.
    appender: Option<mpsc::Sender<Vec<super::record::Entry>>>,
    /// Whether the store answers reads.
    store_up: bool,
    /// Connections of other hosts, by number.
    peers: BTreeMap<u64, PeerLink>,
    owner_link: Option<OwnerLink>,
    connecting: bool,
    /// Number of the newest connection to an owner; input of earlier ones is ignored.
    connection_id: u64,
    /// Addresses of other hosts, which are asked for the owner while the store does not answer.
    known_hosts: Vec<String>,
    host_directory: HostDirectory,
    /// Whether the newest connection goes to a host that is only asked for the owner.
    probing: bool,
    /// Whether the other hosts were last told that the store does not answer the owner's writes.
    outage_sent: bool,
    /// Start of the newest connection attempt.
    connect_started: Timestamp,
    campaigning: bool,
    /// Earliest time of the next campaign.
    campaign_after: Timestamp,
    /// Campaigns without a takeover by any host since the owner was last reachable.
    failed_campaigns: u32,
    /// Since when no owner has accepted this host; `None` while one has.
    ownerless_since: Option<Timestamp>,
    /// Recommendation requests of the owner on this host.
    request_queue: RequestQueue,
    /// Queue of the task that calls the recommendation service.
    request_sender: mpsc::UnboundedSender<(RequestOrigin, StepKey, Vec<Arc<str>>)>,
    /// Confirms the release of the shard.
    release_done: Option<oneshot::Sender<()>>,
    /// Whether the host is stopping; it does not campaign any more.
    shutting_down: bool,
}

pub use self::run::start;
