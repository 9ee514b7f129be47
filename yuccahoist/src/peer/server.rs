//! Incoming connections of peers.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use capnp::Error;
use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use futures::FutureExt;
use futures::io::{BufReader, BufWriter};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};
use xtra::Address;

use super::ANY_PEER;
use super::link::{BUFFER, WINDOW};
use super::peer_capnp::peer;
use super::reader_options;
use super::wire::read_delivery;
use crate::actor::{HostActor, Input, post};
use crate::clock::Clock;
use crate::event::HostEvent;
use crate::id::Incarnation;

/// Connections that are open at once. A cell has 9 hosts; the rest is reserve for reconnects.
const CONNECTION_LIMIT: usize = 256;
/// Longest time until a connection names its sender.
const HELLO_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest delay of a confirmation.
const CONFIRM_DELAY: Duration = Duration::from_millis(10);
/// Deliveries that are confirmed together at most. A part of the sender's window, so that it never waits for the delay;
/// 64 together raised the p99 of a single caller from 0.46 ms to 0.65 ms.
const CONFIRM_COUNT: usize = WINDOW / 32;
/// Pause after a failed accept, as when no file descriptor is free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// What all incoming connections share.
#[derive(Debug)]
pub struct ServerContext {
    /// Host actor.
    pub host: Address<HostActor>,
    /// Incarnation of this host.
    pub own: Incarnation,
    /// Clock for deadlines.
    pub clock: Arc<dyn Clock>,
    /// Newest connection of each peer.
    newest: RefCell<BTreeMap<Incarnation, u64>>,
    open: Cell<usize>,
}

impl ServerContext {
    /// Context of a host.
    #[must_use]
    pub fn new(host: Address<HostActor>, own: Incarnation, clock: Arc<dyn Clock>) -> Self {
        Self { host, own, clock, newest: RefCell::default(), open: Cell::default() }
    }

    /// Notes the newest connection of a peer. An earlier one that has not been found broken counts as lost now, so that
    /// its loss is not reported after messages of the new one.
    fn opened(&self, sender: Incarnation, number: u64) {
        if self.newest.borrow_mut().insert(sender, number).is_some() {
            post(&self.host, Input::Event(HostEvent::PeerLost { peer: sender }));
        }
    }

    fn closed(&self, sender: Incarnation, number: u64) {
        if self.newest.borrow().get(&sender) == Some(&number) {
            self.newest.borrow_mut().remove(&sender);
            post(&self.host, Input::Event(HostEvent::PeerLost { peer: sender }));
        }
    }
}

/// Accepts connections of peers until it is dropped. Must run where tasks can be spawned locally.
pub async fn serve(listener: TcpListener, context: Rc<ServerContext>) {
    for number in 0.. {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("accepting a peer connection failed: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if context.open.get() >= CONNECTION_LIMIT {
            log::warn!("peer connection refused: {CONNECTION_LIMIT} are open");
            continue;
        }
        context.open.set(context.open.get() + 1);
        tokio::task::spawn_local(connection(stream, number, Rc::clone(&context)));
    }
}

async fn connection(stream: TcpStream, number: u64, context: Rc<ServerContext>) {
    let receiver = Rc::new(Receiver {
        number,
        sender: Cell::default(),
        confirmations: Rc::default(),
        context: Rc::clone(&context),
    });
    let _ = stream.set_nodelay(true);
    let (reader, writer) = stream.into_split();
    let network = VatNetwork::new(
        BufReader::with_capacity(BUFFER, reader.compat()),
        BufWriter::with_capacity(BUFFER, writer.compat_write()),
        Side::Server,
        reader_options(),
    );
    let client: peer::Client = capnp_rpc::new_client_from_rc(Rc::clone(&receiver));
    let mut system = RpcSystem::new(Box::new(network), Some(client.client));
    let named = tokio::time::timeout(HELLO_TIMEOUT, async {
        let mut check = tokio::time::interval(HELLO_TIMEOUT / 50);
        while receiver.sender.get().is_none() {
            check.tick().await;
        }
    });
    let ended = tokio::select! {
        result = &mut system => Some(result),
        named = named => match named {
            Ok(()) => None,
            Err(_) => Some(Err(Error::failed("the connection did not name its sender".into()))),
        },
    };
    let ended = match ended {
        Some(result) => result,
        None => system.await,
    };
    if let Err(error) = ended {
        log::debug!("peer connection {number} ended: {error}");
    }
    if let Some(sender) = receiver.sender.get() {
        context.closed(sender, number);
    }
    context.open.set(context.open.get() - 1);
}

/// Receiving end of one connection.
struct Receiver {
    number: u64,
    sender: Cell<Option<Incarnation>>,
    confirmations: Rc<Confirmations>,
    context: Rc<ServerContext>,
}

/// Deliveries that are handled but not confirmed.
///
/// A confirmation at once would cost a write and a read at both ends per delivery, which is as much as the delivery
/// itself. Confirmations therefore leave together.
#[derive(Default)]
struct Confirmations {
    waiting: Cell<usize>,
    leave: Notify,
}

impl Confirmations {
    /// Waits until enough deliveries are handled or the delay has passed.
    async fn wait(self: Rc<Self>) {
        let leave = self.leave.notified();
        self.waiting.set(self.waiting.get() + 1);
        match self.waiting.get() {
            1 => {
                let all = Rc::clone(&self);
                tokio::task::spawn_local(async move {
                    tokio::time::sleep(CONFIRM_DELAY).await;
                    all.send();
                });
            }
            CONFIRM_COUNT => self.send(),
            _ => {}
        }
        leave.await;
    }

    fn send(&self) {
        self.waiting.set(0);
        self.leave.notify_waiters();
    }
}

impl Receiver {
    /// Reads a delivery and queues its messages at the host actor.
    fn accept(&self, params: &peer::DeliverParams) -> Result<Option<xtra::Receiver<()>>, Error> {
        let delivery = params.get()?.get_delivery()?;
        let Some(sender) = self.sender.get() else {
            return self.hello(Incarnation(delivery.get_from()), Incarnation(delivery.get_to()));
        };
        let messages = read_delivery(delivery, self.context.clock.now())?;
        let events = messages.into_iter().map(|message| HostEvent::Peer { from: sender, message });
        let queued = self.context.host.send(Input::Events(events.collect())).detach().now_or_never();
        match queued {
            Some(Ok(handled)) => Ok(Some(handled)),
            _ => Err(Error::disconnected("the host has ended".into())),
        }
    }

    fn hello(&self, from: Incarnation, to: Incarnation) -> Result<Option<xtra::Receiver<()>>, Error> {
        let own = self.context.own;
        if to != own && to != ANY_PEER {
            return Err(Error::failed(format!("incarnation {to} is not here; this is {own}")));
        }
        if from == Incarnation(0) {
            return Err(Error::failed("the first delivery must name the sender's incarnation".into()));
        }
        self.context.opened(from, self.number);
        self.sender.set(Some(from));
        Ok(None)
    }
}

impl peer::Server for Receiver {
    // Reading and queueing happen before the future is returned, so that deliveries keep their order.
    fn deliver(
        self: Rc<Self>,
        params: peer::DeliverParams,
        _: peer::DeliverResults,
    ) -> impl Future<Output = Result<(), Error>> + 'static {
        let accepted = self.accept(&params);
        async move {
            if let Some(handled) = accepted? {
                handled.await.map_err(|_| Error::disconnected("the host has ended".into()))?;
                Rc::clone(&self.confirmations).wait().await;
            }
            Ok(())
        }
    }
}
