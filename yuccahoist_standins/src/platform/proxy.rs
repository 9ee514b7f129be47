//! Proxy on the loopback interface that delays, silences, cuts or resets connections.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// What happens to bytes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Traffic {
    /// Passed on.
    #[default]
    Open,
    /// Passed on after a delay.
    Slow(Duration),
    /// Held in both directions until the traffic is open again.
    Silent,
    /// Requests pass, answers are held.
    OneWay,
    /// Every connection is reset.
    Reset,
    /// Connections that are open now never carry a byte again; new ones work.
    Forgotten,
}

/// Proxy of one server; it ends when this is dropped.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    traffic: watch::Sender<Traffic>,
    task: JoinHandle<()>,
}

impl Proxy {
    /// Passes connections at `listen` on to `server`.
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

    /// Address at which it listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes what happens to bytes, also on open connections.
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
    let requests = tokio::spawn(pass(from_client, to_server, traffic.clone(), false));
    pass(from_server, to_client, traffic, true).await;
    requests.abort();
}

fn reset(stream: &TcpStream) {
    // A zero linger time makes the close a reset.
    let _ = stream.set_zero_linger();
}

async fn pass(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut traffic: watch::Receiver<Traffic>,
    answers: bool,
) {
    let mut buffer = vec![0; 16 << 10];
    // A connection that was made while others were forgotten works.
    let mut forgotten = *traffic.borrow_and_update() == Traffic::Forgotten;
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
                if now == Traffic::Forgotten && !forgotten {
                    return std::future::pending().await;
                }
                forgotten = now == Traffic::Forgotten;
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
                Traffic::OneWay if answers => {}
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
