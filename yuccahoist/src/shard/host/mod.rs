//! Host: relays callers' requests to the owner of the shard, and is the owner itself when it has taken the shard over.

pub mod campaign;
pub mod frame;
mod orders;
mod owning;
pub mod patience;
mod relay;
pub mod roster;
mod run;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use tokio::sync::{mpsc, oneshot, watch};

use self::campaign::{Outcome, Won};
use self::frame::{Frame, FrameSender};
use self::roster::Roster;
use super::desk::Desk;
use super::id::{Epoch, StepKey};
use super::message::{Answer, Event, Refusal, Request};
use super::owner::Owner;
use super::ports::{Advisor, Announcement, Registry, RegistryChange, Store, StoreError, Ticket, Workers};
use crate::clock::Clock;
use crate::unit::Timestamp;

/// Inputs that may wait for the host; a full queue slows its sources down.
const INBOX: usize = 8_192; // Several seconds of a burst.

/// Systems around a host.
#[derive(Debug, Clone)]
pub struct Ports {
    /// Store.
    pub store: Arc<dyn Store>,
    /// Workers.
    pub workers: Arc<dyn Workers>,
    /// Recommendation.
    pub advisor: Arc<dyn Advisor>,
    /// Registry.
    pub registry: Arc<dyn Registry>,
    /// Clock.
    pub clock: Arc<dyn Clock>,
}

/// Settings of a host.
#[derive(Debug, Clone)]
pub struct HostSettings {
    /// Name.
    pub name: String,
    /// Address for other hosts.
    pub address: SocketAddr,
    /// Longest lease that workers grant.
    pub longest: Duration,
    /// Part of a core that the host has; a stronger one claims the shard earlier.
    pub share: f64,
}

/// What a host shows of itself.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HostStatus {
    /// Whether requests reach the owner.
    pub ready: bool,
    /// Whether this host is the owner.
    pub owner: bool,
    /// Epoch of the owner.
    pub epoch: Epoch,
    /// Counters of the owner; zero on other hosts.
    pub counters: super::owner::Counters,
}

/// Input of the host.
#[derive(Debug)]
enum Input {
    Call(Request, Duration, oneshot::Sender<Answer>),
    Owned(Epoch, Event),
    StoreState(bool),
    Announced(Announcement),
    Campaigned(Result<Outcome, StoreError>),
    Registry(Epoch, Vec<RegistryChange>),
    Accepted(u64, FrameSender),
    Inbound(u64, Frame),
    InboundClosed(u64),
    Connected(u64, FrameSender),
    Outbound(u64, Frame),
    Disconnected(u64, Loss),
    Advised(Question, Option<Vec<Ticket>>),
    Fenced(Epoch),
    Stop(oneshot::Sender<()>),
}

/// How the connection to the owner was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Loss {
    /// A connection was open and ended.
    Ended,
    /// Nobody listens at the owner's address.
    Refused,
    /// No answer.
    Silent,
}

/// Who asked this host for a recommendation.
#[derive(Debug, Clone, Copy)]
enum Question {
    /// This host's own shard.
    Own(Epoch, u64),
    /// The owner, over the connection of this host.
    Peer(u64),
}

/// Sending side of a host.
#[derive(Debug, Clone)]
pub struct HostHandle {
    inbox: mpsc::Sender<Input>,
    status: watch::Receiver<HostStatus>,
}

impl HostHandle {
    /// Carries out a request; waits at most `wait`.
    pub async fn call(&self, request: Request, wait: Duration) -> Answer {
        let (reply, answer) = oneshot::channel();
        let gone = Answer::Refused { cause: Refusal::NotReady, retry: Duration::from_secs(1) };
        if self.inbox.send(Input::Call(request, wait, reply)).await.is_err() {
            return gone;
        }
        answer.await.unwrap_or(Answer::Unclear)
    }

    /// What the host shows of itself.
    #[must_use]
    pub fn status(&self) -> HostStatus {
        self.status.borrow().clone()
    }

    /// Gives up the shard, if this host owns it, and returns once another host can take over.
    pub async fn release(&self) {
        let (done, finished) = oneshot::channel();
        if self.inbox.send(Input::Stop(done)).await.is_ok() && finished.await.is_err() {
            log::warn!("the host ended before it had given up the shard");
        }
    }
}

/// Call that waits for its answer.
#[derive(Debug)]
struct Pending {
    request: Request,
    reply: oneshot::Sender<Answer>,
    expires: Timestamp,
    sent: bool,
}

/// Connection to the owner.
#[derive(Debug)]
struct OwnerLink {
    sender: FrameSender,
    heard: Timestamp,
    pinged: Timestamp,
    /// Whether the owner has accepted it.
    joined: bool,
}

/// Connection of another host to the owner.
#[derive(Debug)]
struct PeerLink {
    sender: FrameSender,
    heard: Timestamp,
    address: Option<String>,
}

/// State of a host.
struct HostState {
    settings: HostSettings,
    ports: Ports,
    inbox: mpsc::Sender<Input>,
    status: watch::Sender<HostStatus>,
    rng: StdRng,
    pending: BTreeMap<u64, Pending>,
    numbers: u64,
    announced: Option<Announcement>,
    epoch: Epoch,
    owner: Option<Owner>,
    appends: Option<mpsc::Sender<Vec<super::record::Entry>>>,
    store: bool,
    links: BTreeMap<u64, PeerLink>,
    link: Option<OwnerLink>,
    connecting: bool,
    connection: u64,
    /// Addresses of other hosts, asked for the owner while the store does not answer.
    hosts: Vec<String>,
    roster: Roster,
    probing: bool,
    doubted: bool,
    connected: Timestamp,
    campaigning: bool,
    campaign_after: Timestamp,
    doubts: u32,
    cut_since: Option<Timestamp>,
    desk: Desk,
    advice: mpsc::UnboundedSender<(Question, StepKey, Vec<Arc<str>>)>,
    stopping: Option<oneshot::Sender<()>>,
    leaving: bool,
}

pub use self::run::start;
