//! Assembly of one entry host.
//!
//! A host has one thread with a local runtime: the host actor handles every event, so that an event of a peer reaches it
//! without waking another thread. Callers' HTTP and the platform clients run on the same thread, or on threads of their
//! own when `io_threads` is set.

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
use crate::duty::Duty;
use crate::event::{HostAction, HostEvent, TICK};
use crate::id::Incarnation;
use crate::metrics::Metrics;
use crate::peer::{LinkContext, LinkOpener, PeerLinks, ServerContext, run_links, serve};
use crate::settings::{PlatformSettings, Settings};
use crate::systems::{
    BackendServer, HostList, HttpBackendServer, HttpHostList, HttpWorkers, LogService, WorkerPlatform,
    WorkerTable,
};

/// State machine of a host, which the daemon drives.
pub type HostMachine = Box<dyn Duty<Event = HostEvent, Action = HostAction> + Send>;

/// Longest time to send what is queued for peers at the end of a graceful stop.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// Services of the platform.
#[derive(Debug, Clone)]
pub struct Platform {
    /// Log service.
    pub log: Arc<dyn LogService>,
    /// Task side of workers.
    pub workers: Arc<dyn WorkerPlatform>,
    /// Backend servers.
    pub backends: Arc<dyn BackendServer>,
    /// Host list.
    pub hosts: Arc<dyn HostList>,
    /// Addresses of workers, which [`HostAction::Workers`] replaces.
    pub table: WorkerTable,
}

impl Platform {
    /// Platform by HTTP, with a client of the log service.
    ///
    /// # Errors
    ///
    /// Fails when no HTTP client can be made.
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
    /// Address cannot be bound.
    #[error("listen.json: {field} is {address}; allowed: an address of this machine that is free ({reason})")]
    Listen {
        /// Field.
        field: &'static str,
        /// Address.
        address: SocketAddr,
        /// Reason.
        reason: std::io::Error,
    },
    /// Thread or runtime cannot be made.
    #[error("starting the host thread failed: {0}")]
    Thread(std::io::Error),
    /// Metrics socket cannot be made.
    #[error("metrics.json: statsd cannot be used: {0}")]
    Metrics(std::io::Error),
    /// HTTP client cannot be made.
    #[error("making an HTTP client failed: {0}")]
    Client(String),
}

/// Bound addresses of a host that does not run yet.
#[derive(Debug)]
pub struct Daemon {
    settings: Settings,
    api: TcpListener,
    peer: TcpListener,
    addresses: (SocketAddr, SocketAddr),
}

impl Daemon {
    /// Binds the listening addresses. With port 0 the system chooses one, and `settings` gets it.
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

    /// Settings with the bound addresses.
    #[must_use]
    pub const fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Starts the host on its own thread.
    ///
    /// # Errors
    ///
    /// Fails when the thread or a runtime cannot be made.
    pub fn run(self, host: HostMachine, platform: Platform) -> Result<Running, StartError> {
        let (control, commands) = mpsc::unbounded_channel();
        let (finished, ended) = oneshot::channel();
        let metrics = Metrics::new(&self.settings.metrics).map_err(StartError::Metrics)?;
        let incarnation = self.settings.host.incarnation;
        let (api, peer) = self.addresses;
        let name = format!("host-{}", self.settings.host.name);
        let io = io_runtime(&name, self.settings.host.io_threads).map_err(StartError::Thread)?;
        let assembly = Assembly { daemon: self, host, platform, metrics };
        let (started, start) = std::sync::mpsc::channel();
        let thread = std::thread::Builder::new()
            .name(name)
            .spawn(move || {
                // The runtime cannot move between threads, so it is made here.
                let main = Builder::new_current_thread().enable_all().build_local(LocalOptions::default());
                let (result, main) = match main {
                    Ok(main) => (Ok(()), Some(main)),
                    Err(error) => (Err(error), None),
                };
                let _ = started.send(result);
                if let Some(main) = main {
                    run_thread(assembly, main, io, commands);
                }
                let _ = finished.send(());
            })
            .map_err(StartError::Thread)?;
        start.recv().unwrap_or_else(|error| Err(std::io::Error::other(error))).map_err(StartError::Thread)?;
        Ok(Running { api, peer, incarnation, control, ended, thread: Some(thread) })
    }

    /// Binds the listening addresses and starts the host.
    ///
    /// # Errors
    ///
    /// Fails when an address is in use, or the thread or a runtime cannot be made.
    pub fn start(settings: Settings, host: HostMachine, platform: Platform) -> Result<Running, StartError> {
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

/// Entry host that runs. Dropping it kills it.
pub struct Running {
    api: SocketAddr,
    peer: SocketAddr,
    incarnation: Incarnation,
    control: mpsc::UnboundedSender<Command>,
    ended: oneshot::Receiver<()>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl fmt::Debug for Running {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Running(api {}, peer {})", self.api, self.peer)
    }
}

impl Running {
    /// Address for callers.
    #[must_use]
    pub const fn api(&self) -> SocketAddr {
        self.api
    }

    /// Address for peers.
    #[must_use]
    pub const fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Process start.
    #[must_use]
    pub const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Ends the host at once: connections break and nothing is released.
    pub fn kill(self) {
        drop(self);
    }

    /// Stops the host gracefully: requests in progress finish and leases are released.
    pub async fn stop(mut self) {
        let _ = self.control.send(Command::Stop);
        let _ = (&mut self.ended).await;
    }

    /// Runs until SIGTERM or SIGINT, then stops gracefully. A second signal ends the host at once.
    ///
    /// # Errors
    ///
    /// Fails when no signal handler can be installed, or when the host ends without a signal.
    pub async fn until_signal(mut self) -> std::io::Result<()> {
        use tokio::signal::unix::{SignalKind, signal};

        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        for (signals, text) in ["stopping gracefully", "ending at once"].into_iter().enumerate() {
            tokio::select! {
                _ = &mut self.ended => {
                    let early = || std::io::Error::other("the host has ended without a signal");
                    return if signals == 0 { Err(early()) } else { Ok(()) };
                }
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
            log::info!("signal received; {text}");
            let _ = self.control.send(Command::Stop);
        }
        Ok(())
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.control.send(Command::Kill);
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            log::error!("the host thread has panicked");
        }
    }
}

/// Everything that the host thread takes over.
struct Assembly {
    daemon: Daemon,
    host: HostMachine,
    platform: Platform,
    metrics: Metrics,
}

fn run_thread(
    assembly: Assembly,
    main: LocalRuntime,
    io: Option<Runtime>,
    commands: mpsc::UnboundedReceiver<Command>,
) {
    let handle = io.as_ref().map_or(main.handle(), Runtime::handle).clone();
    main.block_on(async {
        if let Err(error) = run(assembly, handle, commands).await {
            log::error!("the host cannot run: {error}");
        }
    });
    // Dropping a runtime ends its tasks and closes their sockets.
    drop(main);
    if let Some(io) = io {
        io.shutdown_background();
    }
}

async fn run(
    assembly: Assembly,
    io: Handle,
    mut commands: mpsc::UnboundedReceiver<Command>,
) -> std::io::Result<()> {
    let Assembly { daemon, host: machine, platform, metrics } = assembly;
    let settings = daemon.settings;
    let clock: Arc<dyn Clock> = Arc::new(MonotonicClock::new());
    let own = settings.host.incarnation;
    let (address, mailbox) = Mailbox::unbounded();
    let host = HostHandle::new(address);
    let (links, opener) = PeerLinks::new();
    let (stopped, all_stopped) = oneshot::channel();
    let all_stopped = all_stopped.shared();
    let ended = all_stopped.clone();
    let effects = DaemonEffects {
        io: io.clone(),
        host: host.clone(),
        clock: Arc::clone(&clock),
        platform: platform.clone(),
        links: Some(links),
        stopped: Some(stopped),
        decisions: settings.logging.decisions,
    };
    let actor = HostActor::new(machine, Arc::clone(&clock), Box::new(effects), metrics);
    let mut acting = spawn_local(xtra::run(mailbox, actor));
    let links = spawn_links(opener, &host, own, &clock);
    let peer = tokio::net::TcpListener::from_std(daemon.peer)?;
    let context = ServerContext::new(host.clone(), own, Arc::clone(&clock));
    spawn_local(serve(peer, Rc::new(context)));
    spawn_local(tick(host.clone(), Arc::clone(&clock)));
    io.spawn(poll_hosts(host.clone(), platform.hosts, settings.platform.poll));
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
        let _ = all_stopped.await;
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
    // A host that was replaced or removed from the view stops without a command.
    let unasked = async {
        let _ = ended.await;
        tokio::time::sleep(FLUSH_TIMEOUT).await;
    };
    // Without its actor the host would keep its addresses and answer nothing.
    tokio::select! {
        () = stopping => Ok(()),
        () = unasked => Ok(()),
        _ = &mut acting => Err(std::io::Error::other("the state machine has panicked")),
    }
}

fn spawn_links(
    opener: LinkOpener,
    host: &HostHandle,
    own: Incarnation,
    clock: &Arc<dyn Clock>,
) -> tokio::task::JoinHandle<()> {
    let context = LinkContext { host: host.clone(), own, clock: Arc::clone(clock) };
    spawn_local(run_links(opener, Rc::new(context)))
}

async fn tick(host: HostHandle, clock: Arc<dyn Clock>) {
    let mut interval = tokio::time::interval(TICK);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        // Waits until it is handled, so that ticks of a busy host do not pile up.
        let event = HostEvent::Tick { wall: clock.wall() };
        if !host.deliver(Input::Event(event)).await {
            return;
        }
    }
}

async fn poll_hosts(host: HostHandle, list: Arc<dyn HostList>, poll: Duration) {
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
