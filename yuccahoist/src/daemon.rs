//! Daemon of one entry host: its sockets, runtimes and tasks.
//!
//! A host has one thread with a local runtime, on which the host actor and the peer connections run. An event of a peer
//! thus reaches the actor without waking another thread. The caller interface and the platform clients run on the same
//! thread, or on separate threads if `io_threads` is set.

mod effects;

use std::fmt;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use thiserror::Error;
use tokio::runtime::{Builder, Handle, LocalOptions, LocalRuntime, Runtime};
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::MissedTickBehavior;
use xtra::Mailbox;

use self::effects::DaemonEffects;
use crate::actor::{HostActor, HostHandle, Input};
use crate::api::{self, Api};
use crate::clock::{Clock, MonotonicClock};
use crate::event::{HostAction, HostEvent, TICK_INTERVAL};
use crate::id::Incarnation;
use crate::metrics::Metrics;
use crate::peer::{LinkContext, LinkTasks, PeerLinks, ServerContext, run_links, serve};
use crate::settings::{PlatformSettings, Settings};
use crate::state_machine::StateMachine;
use crate::systems::{
    BackendServer, HostList, HttpBackendServer, HttpHostList, HttpWorkers, LogService, WorkerPlatform,
    WorkerTable,
};

/// State machine of a host; a trait object, so that tests can replace it.
pub type HostMachine = Box<dyn StateMachine<Event = HostEvent, Action = HostAction> + Send>;

/// Longest time at the end of a graceful stop to send the messages that are queued for peers.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// Clients of the platform services.
#[derive(Debug, Clone)]
pub struct PlatformClients {
    /// Log service with the four streams.
    pub log: Arc<dyn LogService>,
    /// Agents of the workers, for task commands.
    pub workers: Arc<dyn WorkerPlatform>,
    /// Backend servers of the workers, for requests.
    pub backends: Arc<dyn BackendServer>,
    /// List of live and leaving hosts, polled by the daemon.
    pub hosts: Arc<dyn HostList>,
    /// Addresses of workers, replaced by [`HostAction::ReplaceWorkerAddresses`].
    pub table: WorkerTable,
}

impl PlatformClients {
    /// Creates HTTP clients for all services other than the log service.
    ///
    /// # Errors
    ///
    /// Fails when an HTTP client cannot be created.
    pub fn http(settings: &PlatformSettings, log: Arc<dyn LogService>) -> Result<Self, StartError> {
        let table = WorkerTable::default();
        let client = |error: reqwest::Error| StartError::Client(error.to_string());
        Ok(Self {
            log,
            workers: Arc::new(HttpWorkers::new(table.clone(), settings).map_err(client)?),
            backends: Arc::new(HttpBackendServer::new(table.clone(), settings).map_err(client)?),
            hosts: Arc::new(HttpHostList::new(settings).map_err(client)?),
            table,
        })
    }
}

/// Reason why a daemon does not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// Listening address cannot be bound.
    #[error("listen.json: {field} is {address}; allowed: a free address of this machine ({reason})")]
    Listen {
        /// Field of `listen.json`: `api` or `peer`.
        field: &'static str,
        /// Value of the field.
        address: SocketAddr,
        /// Error of the bind.
        reason: std::io::Error,
    },
    /// Thread or runtime cannot be created.
    #[error("cannot start the host thread: {0}")]
    Thread(std::io::Error),
    /// Metrics socket cannot be created.
    #[error("metrics.json: cannot use the statsd address: {0}")]
    Metrics(std::io::Error),
    /// HTTP client cannot be created.
    #[error("cannot create an HTTP client: {0}")]
    Client(String),
}

/// Host with bound listening addresses that is not running yet.
#[derive(Debug)]
pub struct Daemon {
    settings: Settings,
    api: TcpListener,
    peer: TcpListener,
    addresses: (SocketAddr, SocketAddr),
}

impl Daemon {
    /// Binds the listening addresses. For port 0 the system assigns a port, which replaces the 0 in the settings.
    ///
    /// # Errors
    ///
    /// Fails when an address is in use or is not of this machine.
    pub fn bind(mut settings: Settings) -> Result<Self, StartError> {
        let api = listen("api", settings.listen.api)?;
        let peer = listen("peer", settings.listen.peer)?;
        settings.listen.api = api.local_addr().map_err(StartError::Thread)?;
        settings.listen.peer = peer.local_addr().map_err(StartError::Thread)?;
        let addresses = (settings.listen.api, settings.listen.peer);
        Ok(Self { settings, api, peer, addresses })
    }

    /// Returns the settings, with the bound addresses.
    #[must_use]
    pub const fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Starts the host on its own thread.
    ///
    /// # Errors
    ///
    /// Fails when the metrics socket, the thread or a runtime cannot be created.
    pub fn run(self, host: HostMachine, platform: PlatformClients) -> Result<RunningHost, StartError> {
        let (command_sender, commands) = mpsc::unbounded_channel();
        let (ended_sender, ended) = oneshot::channel();
        let metrics = Metrics::new(&self.settings.metrics).map_err(StartError::Metrics)?;
        let incarnation = self.settings.host.incarnation;
        let (api, peer) = self.addresses;
        let name = format!("host-{}", self.settings.host.name);
        let io = io_runtime(&name, self.settings.host.io_threads).map_err(StartError::Thread)?;
        let parts = HostParts { daemon: self, host, platform, metrics };
        let (started, start) = std::sync::mpsc::channel();
        let thread = std::thread::Builder::new()
            .name(name)
            .spawn(move || {
                // A local runtime cannot move between threads, so it is created on this one.
                let runtime = Builder::new_current_thread().enable_all().build_local(LocalOptions::default());
                let (result, runtime) = match runtime {
                    Ok(runtime) => (Ok(()), Some(runtime)),
                    Err(error) => (Err(error), None),
                };
                let _ = started.send(result);
                if let Some(runtime) = runtime {
                    run_thread(parts, runtime, io, commands);
                }
                let _ = ended_sender.send(());
            })
            .map_err(StartError::Thread)?;
        start.recv().unwrap_or_else(|error| Err(std::io::Error::other(error))).map_err(StartError::Thread)?;
        Ok(RunningHost { api, peer, incarnation, command_sender, ended, thread: Some(thread) })
    }

    /// Binds the listening addresses and starts the host.
    ///
    /// # Errors
    ///
    /// Fails as [`bind`](Self::bind) or [`run`](Self::run) does.
    pub fn start(
        settings: Settings,
        host: HostMachine,
        platform: PlatformClients,
    ) -> Result<RunningHost, StartError> {
        Self::bind(settings)?.run(host, platform)
    }
}

fn listen(field: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    let error = |reason| StartError::Listen { field, address, reason };
    let listener = TcpListener::bind(address).map_err(error)?;
    listener.set_nonblocking(true).map_err(error)?;
    Ok(listener)
}

fn io_runtime(host: &str, threads: usize) -> std::io::Result<Option<Runtime>> {
    if threads == 0 {
        return Ok(None);
    }
    Builder::new_multi_thread()
        .worker_threads(threads)
        .thread_name(format!("{host}-io"))
        .enable_all()
        .build()
        .map(Some)
}

/// Command to a running host.
enum Command {
    Stop,
    Kill,
}

/// Running entry host. Dropping it kills the host.
pub struct RunningHost {
    api: SocketAddr,
    peer: SocketAddr,
    incarnation: Incarnation,
    command_sender: mpsc::UnboundedSender<Command>,
    ended: oneshot::Receiver<()>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl fmt::Debug for RunningHost {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Running(api {}, peer {})", self.api, self.peer)
    }
}

impl RunningHost {
    /// Returns the bound address of the caller interface.
    #[must_use]
    pub const fn api(&self) -> SocketAddr {
        self.api
    }

    /// Returns the bound address for peers.
    #[must_use]
    pub const fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Returns the incarnation of this process lifetime.
    #[must_use]
    pub const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Ends the host immediately: connections break and leases are not released.
    pub fn kill(self) {
        drop(self);
    }

    /// Stops the host gracefully and waits for its end: requests in flight complete and leases are released.
    pub async fn stop(mut self) {
        let _ = self.command_sender.send(Command::Stop);
        let _ = (&mut self.ended).await;
    }

    /// Runs until SIGTERM or SIGINT, then stops gracefully. A second signal ends the host immediately.
    ///
    /// # Errors
    ///
    /// Fails when a signal handler cannot be installed, or when the host ends without a signal.
    pub async fn until_signal(mut self) -> std::io::Result<()> {
        use tokio::signal::unix::{SignalKind, signal};

        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        for (signal_count, text) in ["stopping gracefully", "ending immediately"].into_iter().enumerate() {
            tokio::select! {
                _ = &mut self.ended => {
                    let early = || std::io::Error::other("host ended without a signal");
                    return if signal_count == 0 { Err(early()) } else { Ok(()) };
                }
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
            log::info!("signal received; {text}");
            let _ = self.command_sender.send(Command::Stop);
        }
        Ok(())
    }
}

impl Drop for RunningHost {
    fn drop(&mut self) {
        let _ = self.command_sender.send(Command::Kill);
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            log::error!("host thread panicked");
        }
    }
}

/// Parts of a host that are moved to its thread.
struct HostParts {
    daemon: Daemon,
    host: HostMachine,
    platform: PlatformClients,
    metrics: Metrics,
}

fn run_thread(
    parts: HostParts,
    runtime: LocalRuntime,
    io: Option<Runtime>,
    commands: mpsc::UnboundedReceiver<Command>,
) {
    let handle = io.as_ref().map_or(runtime.handle(), Runtime::handle).clone();
    runtime.block_on(async {
        if let Err(error) = run(parts, handle, commands).await {
            log::error!("host thread failed: {error}");
        }
    });
    // Dropping a runtime ends its tasks and closes their sockets.
    drop(runtime);
    if let Some(io) = io {
        io.shutdown_background();
    }
}

async fn run(
    parts: HostParts,
    io: Handle,
    mut commands: mpsc::UnboundedReceiver<Command>,
) -> std::io::Result<()> {
    let HostParts { daemon, host: machine, platform, metrics } = parts;
    let settings = daemon.settings;
    let clock: Arc<dyn Clock> = Arc::new(MonotonicClock::new());
    let own = settings.host.incarnation;
    let (address, mailbox) = Mailbox::unbounded();
    let host = HostHandle::new(address);
    let (links, link_tasks) = PeerLinks::new();
    let (stopped_sender, host_stopped) = oneshot::channel();
    let host_stopped = host_stopped.shared();
    let stopped_early = host_stopped.clone();
    let effects = DaemonEffects {
        io: io.clone(),
        host: host.clone(),
        clock: Arc::clone(&clock),
        platform: platform.clone(),
        links: Some(links),
        stopped_sender: Some(stopped_sender),
        logs_decisions: settings.logging.decisions,
    };
    let actor = HostActor::new(machine, Arc::clone(&clock), Box::new(effects), metrics);
    let mut actor_task = spawn_local(xtra::run(mailbox, actor));
    let links = spawn_links(link_tasks, &host, own, &clock);
    let peer = tokio::net::TcpListener::from_std(daemon.peer)?;
    let context = ServerContext::new(host.clone(), own, Arc::clone(&clock));
    spawn_local(serve(peer, Rc::new(context)));
    spawn_local(send_ticks(host.clone(), Arc::clone(&clock)));
    io.spawn(poll_host_list(host.clone(), platform.hosts, settings.platform.poll));
    let api = Arc::new(Api::new(host.clone(), clock, &settings.listen));
    let (close, closed) = oneshot::channel::<()>();
    let listener = {
        // The listener belongs to the runtime that serves it.
        let _guard = io.enter();
        tokio::net::TcpListener::from_std(daemon.api)?
    };
    let serving = io.spawn(api::serve(listener, Arc::clone(&api), async {
        let _ = closed.await;
    }));
    let stop = async move {
        api.stopping();
        tokio::time::sleep(settings.listen.stop_delay).await;
        host.post(Input::Event(HostEvent::Stop));
        let _ = close.send(());
        let _ = serving.await;
        let _ = host_stopped.await;
        let _ = tokio::time::timeout(FLUSH_TIMEOUT, links).await;
    };
    let stopping = async {
        if let Some(Command::Stop) = commands.recv().await {
            tokio::select! {
                () = stop => {}
                _ = commands.recv() => {}
            }
        }
    };
    // A host that was replaced or removed from the view stops without a command. The wait lets the links send their
    // queued messages.
    let stopped_by_itself = async {
        let _ = stopped_early.await;
        tokio::time::sleep(FLUSH_TIMEOUT).await;
    };
    // If the actor fails, the host must not keep its addresses, because it would accept calls and be unresponsive.
    tokio::select! {
        () = stopping => Ok(()),
        () = stopped_by_itself => Ok(()),
        _ = &mut actor_task => Err(std::io::Error::other("state machine panicked")),
    }
}

fn spawn_links(
    link_tasks: LinkTasks,
    host: &HostHandle,
    own: Incarnation,
    clock: &Arc<dyn Clock>,
) -> tokio::task::JoinHandle<()> {
    let context = LinkContext { host: host.clone(), own, clock: Arc::clone(clock) };
    spawn_local(run_links(link_tasks, Rc::new(context)))
}

async fn send_ticks(host: HostHandle, clock: Arc<dyn Clock>) {
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        // Waits until the tick is handled, so that ticks do not queue up at an overloaded host.
        let event = HostEvent::Tick { wall: clock.wall() };
        if !host.deliver(Input::Event(event)).await {
            return;
        }
    }
}

async fn poll_host_list(host: HostHandle, list: Arc<dyn HostList>, poll: Duration) {
    let mut interval = tokio::time::interval(poll);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        match list.hosts().await {
            Ok(hosts) => {
                if !host.post(Input::Event(HostEvent::Hosts(hosts))) {
                    return;
                }
            }
            Err(error) => log::warn!("{error}"),
        }
    }
}
