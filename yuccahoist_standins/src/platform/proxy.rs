//! TCP proxy that delays, stalls or resets connections.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Delay before a failed call on a listener is repeated.
const RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// Fault that a proxy applies to its connections.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ProxyFault {
    /// Bytes are forwarded at once.
    #[default]
    None,
    /// Each read is forwarded after a delay.
    Slow(Duration),
    /// Bytes are held in both directions until the fault ends.
    Stalled,
    /// Bytes to the server are forwarded, bytes to the client are held.
    AnswersStalled,
    /// Every connection is reset.
    Reset,
    /// Open connections are reset, and the listener is closed.
    Refused,
    /// Connections that are open now never carry a byte again and stay open; new ones work.
    OpenConnectionsStalled,
}

impl ProxyFault {
    /// Whether the fault resets open connections.
    const fn closes(self) -> bool {
        matches!(self, Self::Reset | Self::Refused)
    }
}

/// Proxy of one server. Dropping it closes the listener and all connections but those that
/// [`ProxyFault::OpenConnectionsStalled`] has stalled.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    fault: watch::Sender<ProxyFault>,
    task: JoinHandle<()>,
}

impl Proxy {
    /// Starts a proxy that listens at `listen` and forwards to `server`; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Fails when the address is in use or not available.
    pub async fn bind(listen: SocketAddr, server: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let fault = watch::Sender::new(ProxyFault::None);
        let task = tokio::spawn(accept_unless_refused(listener, address, server, fault.clone()));
        Ok(Self { address, fault, task })
    }

    /// Address on which the proxy listens, with the port that was selected.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the fault, for open connections and new ones.
    pub fn set(&self, fault: ProxyFault) {
        self.fault.send_replace(fault);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Accepts connections, on a new listener after each fault that closed the one before.
async fn accept_unless_refused(
    mut listener: TcpListener,
    address: SocketAddr,
    server: SocketAddr,
    fault: watch::Sender<ProxyFault>,
) {
    let mut changes = fault.subscribe();
    loop {
        tokio::select! {
            _ = changes.wait_for(|fault| *fault == ProxyFault::Refused) => drop(listener),
            () = accept(&listener, server, &fault) => return,
        }
        listener = loop {
            let _ = changes.wait_for(|fault| *fault != ProxyFault::Refused).await;
            match TcpListener::bind(address).await {
                Ok(listener) => break listener,
                Err(error) => log::warn!("listening at {address} again failed: {error}"),
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        };
    }
}

async fn accept(listener: &TcpListener, server: SocketAddr, fault: &watch::Sender<ProxyFault>) {
    loop {
        let Ok((client, _)) = listener.accept().await else {
            tokio::time::sleep(RETRY_INTERVAL).await;
            continue;
        };
        tokio::spawn(connection(client, server, fault.subscribe()));
    }
}

async fn connection(client: TcpStream, server: SocketAddr, fault: watch::Receiver<ProxyFault>) {
    if fault.borrow().closes() {
        return reset(&client);
    }
    let Ok(server) = TcpStream::connect(server).await else { return reset(&client) };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    let requests = tokio::spawn(forward(from_client, to_server, fault.clone(), false));
    forward(from_server, to_client, fault, true).await;
    requests.abort();
}

fn reset(stream: &TcpStream) {
    // With a linger time of zero, closing the socket sends a reset.
    let _ = stream.set_zero_linger();
}

async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut fault: watch::Receiver<ProxyFault>,
    is_answer: bool,
) {
    let mut buffer = vec![0; 16 << 10];
    // The fault `OpenConnectionsStalled` stalls only connections that were open when it was set.
    let mut was_open_stalled = *fault.borrow_and_update() == ProxyFault::OpenConnectionsStalled;
    loop {
        let count = tokio::select! {
            count = from.read(&mut buffer) => count.unwrap_or_default(),
            changed = fault.changed() => {
                if changed.is_err() {
                    return;
                }
                let now = *fault.borrow_and_update();
                if now.closes() {
                    return reset(from.as_ref());
                }
                if now == ProxyFault::OpenConnectionsStalled && !was_open_stalled {
                    return std::future::pending().await;
                }
                was_open_stalled = now == ProxyFault::OpenConnectionsStalled;
                continue;
            }
        };
        if count == 0 {
            return;
        }
        loop {
            let now = *fault.borrow_and_update();
            match now {
                ProxyFault::Reset | ProxyFault::Refused => return reset(from.as_ref()),
                ProxyFault::Slow(delay) => {
                    tokio::time::sleep(delay).await;
                    break;
                }
                ProxyFault::Stalled => {}
                ProxyFault::AnswersStalled if is_answer => {}
                ProxyFault::None | ProxyFault::AnswersStalled | ProxyFault::OpenConnectionsStalled => break,
            }
            if fault.changed().await.is_err() {
                return;
            }
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
