//! TCP proxy that delays, stalls or resets connections.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Fault that a proxy applies to its connections.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Traffic {
    /// Bytes are forwarded at once.
    #[default]
    Open,
    /// Each read is forwarded after a delay.
    Slow(Duration),
    /// Bytes are held in both directions until the fault ends.
    Silent,
    /// Bytes to the server are forwarded, bytes to the client are held.
    OneWay,
    /// Every connection is reset.
    Reset,
    /// Connections that are open now never carry a byte again and stay open; new ones work.
    Forgotten,
}

/// Proxy of one server. Dropping it closes the listener and all connections but those that [`Traffic::Forgotten`]
/// has stalled.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    traffic: watch::Sender<Traffic>,
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
        let traffic = watch::Sender::new(Traffic::Open);
        let task = tokio::spawn(accept(listener, server, traffic.clone()));
        Ok(Self { address, traffic, task })
    }

    /// Address on which the proxy listens, with the port that was selected.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the fault, for open connections and new ones.
    pub fn set(&self, traffic: Traffic) {
        self.traffic.send_replace(traffic);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, server: SocketAddr, traffic: watch::Sender<Traffic>) {
    loop {
        let Ok((client, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        tokio::spawn(connection(client, server, traffic.subscribe()));
    }
}

async fn connection(client: TcpStream, server: SocketAddr, traffic: watch::Receiver<Traffic>) {
    if *traffic.borrow() == Traffic::Reset {
        return reset(&client);
    }
    let Ok(server) = TcpStream::connect(server).await else { return reset(&client) };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    let requests = tokio::spawn(forward(from_client, to_server, traffic.clone(), false));
    forward(from_server, to_client, traffic, true).await;
    requests.abort();
}

fn reset(stream: &TcpStream) {
    // With a linger time of zero, closing the socket sends a reset.
    let _ = stream.set_zero_linger();
}

async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut traffic: watch::Receiver<Traffic>,
    is_answer: bool,
) {
    let mut buffer = vec![0; 16 << 10];
    // The fault `Forgotten` stalls only connections that were open when it was set.
    let mut was_forgotten = *traffic.borrow_and_update() == Traffic::Forgotten;
    loop {
        let count = tokio::select! {
            count = from.read(&mut buffer) => count.unwrap_or_default(),
            changed = traffic.changed() => {
                if changed.is_err() {
                    return;
                }
                let now = *traffic.borrow_and_update();
                if now == Traffic::Reset {
                    return reset(from.as_ref());
                }
                if now == Traffic::Forgotten && !was_forgotten {
                    return std::future::pending().await;
                }
                was_forgotten = now == Traffic::Forgotten;
                continue;
            }
        };
        if count == 0 {
            return;
        }
        loop {
            let now = *traffic.borrow_and_update();
            match now {
                Traffic::Reset => return reset(from.as_ref()),
                Traffic::Slow(delay) => {
                    tokio::time::sleep(delay).await;
                    break;
                }
                Traffic::Silent => {}
                Traffic::OneWay if is_answer => {}
                Traffic::Open | Traffic::OneWay | Traffic::Forgotten => break,
            }
            if traffic.changed().await.is_err() {
                return;
            }
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
