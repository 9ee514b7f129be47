//! Outgoing connections to peers: one queue and one task per peer.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use capnp::traits::HasTypeId;
use capnp::{Error, MessageSize};
use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use futures::future::LocalBoxFuture;
use futures::io::{BufReader, BufWriter};
use futures::stream::FuturesUnordered;
use futures::{FutureExt, StreamExt};
use rand::RngExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout};
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};
use xtra::Address;

use super::peer_capnp::peer::{self, deliver_params, deliver_results};
use super::wire::{WireMessage, write_delivery};
use super::{BATCH_LIMIT, MESSAGE_LIMIT, PeerMessage, reader_options};
use crate::actor::{HostActor, Input, post};
use crate::clock::Clock;
use crate::event::HostEvent;
use crate::id::Incarnation;
use crate::request::Outcome;
use crate::unit::Timestamp;

/// Messages that wait for one peer.
const QUEUE_MESSAGES: usize = 8_192;
/// Bodies that wait for one peer, bytes.
const QUEUE_BYTES: usize = 64 << 20;
/// Bodies in one delivery, bytes; a larger body goes alone.
const BATCH_BYTES: usize = 1 << 20;
/// Deliveries that are not confirmed. More than the delay of confirmations and the round trip between zones need at
/// full rate.
pub(super) const WINDOW: usize = 256;
/// Buffer of each direction of a connection, bytes.
pub(super) const BUFFER: usize = 64 << 10;
/// Longest time to connect and to agree on the incarnations.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time without a confirmation while deliveries are open.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(5);
/// Time without messages after which a connection is closed. Members of the view send heartbeats more often.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Room for one message without its body, words.
const MESSAGE_WORDS: usize = 40;
/// Room for a delivery and the call around it, words.
const HEAD_WORDS: usize = 32;
/// First and longest pause between attempts to connect.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(1));

type Delivery = capnp::capability::Request<deliver_params::Owned, deliver_results::Owned>;

/// Message that waits for its peer.
#[derive(Debug)]
pub struct Outgoing {
    /// Message.
    pub message: PeerMessage,
    /// Last time at which it may be sent, if any.
    pub until: Option<Timestamp>,
}

impl Outgoing {
    fn weight(&self) -> usize {
        match &self.message {
            PeerMessage::Forward { request, .. } => request.body.len(),
            PeerMessage::Finished { outcome: Outcome::Answered(answer), .. }
            | PeerMessage::AnswerReply { outcome: Outcome::Answered(answer), .. } => answer.body.len(),
            PeerMessage::StateReply { snapshot, .. } => snapshot.len(),
            _ => 0,
        }
    }
}

/// Sending ends of the queues, one per peer.
#[derive(Debug)]
pub struct PeerLinks {
    links: BTreeMap<(Incarnation, SocketAddr), Link>,
    opener: mpsc::UnboundedSender<LinkTask>,
}

#[derive(Debug)]
struct Link {
    queue: mpsc::Sender<Outgoing>,
    bytes: Arc<AtomicUsize>,
}

/// Receiving end of [`PeerLinks`], for [`run_links`].
#[derive(Debug)]
pub struct LinkOpener(mpsc::UnboundedReceiver<LinkTask>);

/// What all outgoing connections share.
#[derive(Debug)]
pub struct LinkContext {
    /// Host actor.
    pub host: Address<HostActor>,
    /// Incarnation of this host.
    pub own: Incarnation,
    /// Clock for `until` and deadlines.
    pub clock: Arc<dyn Clock>,
}

impl PeerLinks {
    /// Queues without any peer yet.
    #[must_use]
    pub fn new() -> (Self, LinkOpener) {
        let (opener, tasks) = mpsc::unbounded_channel();
        (Self { links: BTreeMap::new(), opener }, LinkOpener(tasks))
    }

    /// Queues a message.
    ///
    /// # Errors
    ///
    /// Gives the message back when the queue of the peer is full or the host is ending.
    pub fn send(
        &mut self,
        to: Incarnation,
        address: SocketAddr,
        outgoing: Outgoing,
    ) -> Result<(), Box<PeerMessage>> {
        let key = (to, address);
        if self.links.get(&key).is_none_or(|link| link.queue.is_closed()) {
            self.links.retain(|_, link| !link.queue.is_closed());
            let link = self.open(to, address);
            self.links.insert(key, link);
        }
        match self.links.get(&key) {
            Some(link) => link.send(outgoing),
            None => Err(Box::new(outgoing.message)),
        }
    }

    fn open(&self, to: Incarnation, address: SocketAddr) -> Link {
        let (queue, messages) = mpsc::channel(QUEUE_MESSAGES);
        let bytes = Arc::new(AtomicUsize::new(0));
        let task = LinkTask { to, address, messages, bytes: Arc::clone(&bytes) };
        // When the host is ending the task is dropped, and with it the receiving end of the queue.
        let _ = self.opener.send(task);
        Link { queue, bytes }
    }
}

impl Link {
    fn send(&self, outgoing: Outgoing) -> Result<(), Box<PeerMessage>> {
        let weight = outgoing.weight();
        if self.bytes.load(Ordering::Relaxed) + weight > QUEUE_BYTES {
            return Err(Box::new(outgoing.message));
        }
        // Counted first, because the receiving end may subtract at once.
        self.bytes.fetch_add(weight, Ordering::Relaxed);
        self.queue.try_send(outgoing).map_err(|error| {
            self.bytes.fetch_sub(weight, Ordering::Relaxed);
            Box::new(error.into_inner().message)
        })
    }
}

/// Runs a task for each peer until [`PeerLinks`] is dropped. Must run where tasks can be spawned locally.
pub async fn run_links(mut opener: LinkOpener, context: Rc<LinkContext>) {
    let mut tasks = tokio::task::JoinSet::new();
    while let Some(task) = opener.0.recv().await {
        while tasks.try_join_next().is_some() {}
        tasks.spawn_local(task.run(Rc::clone(&context)));
    }
    while tasks.join_next().await.is_some() {}
}

/// Queue of one peer with its address.
struct LinkTask {
    to: Incarnation,
    address: SocketAddr,
    messages: mpsc::Receiver<Outgoing>,
    bytes: Arc<AtomicUsize>,
}

impl fmt::Debug for LinkTask {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "LinkTask({} at {})", self.to, self.address)
    }
}

/// How a connection ended.
enum End {
    /// No more messages.
    Closed,
    /// It broke, and deliveries may or may not have arrived.
    Lost(Error),
}

impl LinkTask {
    async fn run(mut self, context: Rc<LinkContext>) {
        self.run_until_idle(&context).await;
        // A message may have been queued after the last look.
        self.messages.close();
        while let Some(outgoing) = self.try_next() {
            self.not_sent(outgoing.message, &context);
        }
    }

    async fn run_until_idle(&mut self, context: &LinkContext) {
        let mut pause = BACKOFF.0;
        let mut held = None;
        loop {
            if held.is_none() {
                match timeout(IDLE_TIMEOUT, self.next()).await {
                    Ok(Some(outgoing)) => held = Some(outgoing),
                    Ok(None) | Err(_) => return,
                }
            }
            match self.connect(context).await {
                Ok(connection) => {
                    pause = BACKOFF.0;
                    match self.transfer(connection, &mut held, context).await {
                        End::Closed => return,
                        End::Lost(error) => self.lost(&error, context),
                    }
                }
                Err(error) => {
                    log::warn!("connecting to peer {} at {} failed: {error}", self.to, self.address);
                    if let Some(outgoing) = held.take() {
                        self.not_sent(outgoing.message, context);
                    }
                    self.refuse_for(jitter(pause), context).await;
                    pause = (pause * 2).min(BACKOFF.1);
                }
            }
        }
    }

    async fn next(&mut self) -> Option<Outgoing> {
        let outgoing = self.messages.recv().await?;
        self.bytes.fetch_sub(outgoing.weight(), Ordering::Relaxed);
        Some(outgoing)
    }

    fn try_next(&mut self) -> Option<Outgoing> {
        let outgoing = self.messages.try_recv().ok()?;
        self.bytes.fetch_sub(outgoing.weight(), Ordering::Relaxed);
        Some(outgoing)
    }

    /// Reports messages as not sent until the next attempt, so that requests find another owner at once.
    async fn refuse_for(&mut self, pause: Duration, context: &LinkContext) {
        let end = Instant::now() + pause;
        while let Ok(Some(outgoing)) = tokio::time::timeout_at(end, self.next()).await {
            self.not_sent(outgoing.message, context);
        }
    }

    fn not_sent(&self, message: PeerMessage, context: &LinkContext) {
        post(&context.host, Input::Event(HostEvent::PeerNotSent { to: self.to, message }));
    }

    fn lost(&self, error: &Error, context: &LinkContext) {
        log::warn!("connection to peer {} at {} lost: {error}", self.to, self.address);
        post(&context.host, Input::Event(HostEvent::PeerLost { peer: self.to }));
    }

    /// Connects and agrees on both incarnations.
    async fn connect(&self, context: &LinkContext) -> Result<Connection, Error> {
        match timeout(CONNECT_TIMEOUT, self.handshake(context)).await {
            Ok(result) => result,
            Err(_) => Err(Error::overloaded(format!("no answer within {CONNECT_TIMEOUT:?}"))),
        }
    }

    async fn handshake(&self, context: &LinkContext) -> Result<Connection, Error> {
        let stream = TcpStream::connect(self.address).await?;
        stream.set_nodelay(true)?;
        let connection = Connection::new(stream);
        let mut hello = connection.client.deliver_request();
        let mut delivery = hello.get().init_delivery();
        delivery.set_from(context.own.0);
        delivery.set_to(self.to.0);
        hello.send().promise.await?;
        Ok(connection)
    }

    /// Sends what is queued until the connection or the queue ends.
    async fn transfer(
        &mut self,
        mut connection: Connection,
        held: &mut Option<Outgoing>,
        context: &LinkContext,
    ) -> End {
        let mut open: FuturesUnordered<LocalBoxFuture<'static, Result<(), Error>>> = FuturesUnordered::new();
        let mut check = tokio::time::interval(CONFIRM_TIMEOUT / 5);
        let mut progress = Instant::now();
        let mut ended = false;
        loop {
            let first = match held.take() {
                Some(outgoing) => outgoing,
                None => tokio::select! {
                    biased;
                    system = &mut connection.system => return End::Lost(system_error(system)),
                    Some(confirmed) = open.next(), if !open.is_empty() => {
                        progress = Instant::now();
                        match confirmed {
                            Ok(()) if ended && open.is_empty() => return End::Closed,
                            Ok(()) => continue,
                            Err(error) => return End::Lost(error),
                        }
                    }
                    next = self.next(), if open.len() < WINDOW && !ended => match next {
                        Some(outgoing) => outgoing,
                        None if open.is_empty() => return End::Closed,
                        None => {
                            ended = true;
                            continue;
                        }
                    },
                    now = check.tick() => {
                        let quiet = now.saturating_duration_since(progress);
                        if !open.is_empty() && quiet > CONFIRM_TIMEOUT {
                            return End::Lost(Error::overloaded("no confirmation".into()));
                        }
                        if open.is_empty() && quiet > IDLE_TIMEOUT {
                            return End::Closed;
                        }
                        continue;
                    }
                },
            };
            if open.is_empty() {
                progress = Instant::now();
            }
            match self.deliver(first, held, &connection, context) {
                Ok(Some(delivery)) => open.push(delivery),
                Ok(None) => {}
                Err(error) => return End::Lost(error),
            }
        }
    }

    /// Sends one delivery with `first` and what else is queued. A message that does not fit any more goes to `held`.
    fn deliver(
        &mut self,
        first: Outgoing,
        held: &mut Option<Outgoing>,
        connection: &Connection,
        context: &LinkContext,
    ) -> Result<Option<LocalBoxFuture<'static, Result<(), Error>>>, Error> {
        let mut batch = Vec::new();
        let mut bytes = 0;
        let mut next = Some(first);
        while let Some(outgoing) = next {
            if !batch.is_empty() && bytes + outgoing.weight() > BATCH_BYTES {
                *held = Some(outgoing);
                break;
            }
            if let Some(message) = self.prepare(outgoing, context) {
                bytes += message.weight();
                batch.push(message);
            }
            next = if batch.len() < BATCH_LIMIT { self.try_next() } else { None };
        }
        if batch.is_empty() {
            return Ok(None);
        }
        let mut request = connection.request(bytes, batch.len());
        write_delivery(&batch, request.get().init_delivery())?;
        Ok(Some(request.send().promise.map(|result| result.map(drop)).boxed_local()))
    }

    /// Checks the time limit right before the write, and sets the time that remains for a request.
    fn prepare(&self, mut outgoing: Outgoing, context: &LinkContext) -> Option<WireMessage> {
        let now = context.clock.now();
        if outgoing.until.is_some_and(|until| now > until) || outgoing.weight() > MESSAGE_LIMIT / 2 {
            self.not_sent(outgoing.message, context);
            return None;
        }
        if let PeerMessage::Forward { request, remaining, .. } = &mut outgoing.message {
            *remaining = request.deadline.since(now);
        }
        match WireMessage::try_from(outgoing.message) {
            Ok(message) => Some(message),
            Err(error) => {
                log::error!("message to peer {} is dropped: {error}", self.to);
                None
            }
        }
    }
}

fn system_error(result: Result<Result<(), Error>, tokio::task::JoinError>) -> Error {
    match result {
        Ok(Err(error)) => error,
        _ => Error::disconnected("the peer closed the connection".into()),
    }
}

fn jitter(pause: Duration) -> Duration {
    pause.mul_f64(rand::rng().random_range(0.5..1.0))
}

/// Open connection. Its socket closes when it is dropped.
struct Connection {
    client: peer::Client,
    system: JoinHandle<Result<(), Error>>,
}

impl Connection {
    fn new(stream: TcpStream) -> Self {
        let (reader, writer) = stream.into_split();
        let network = VatNetwork::new(
            BufReader::with_capacity(BUFFER, reader.compat()),
            BufWriter::with_capacity(BUFFER, writer.compat_write()),
            Side::Client,
            reader_options(),
        );
        let mut system = RpcSystem::new(Box::new(network), None);
        let client = system.bootstrap(Side::Server);
        Self { client, system: tokio::task::spawn_local(system) }
    }
}

impl Connection {
    /// Call whose first segment has room for the messages, so that no memory is cleared in vain.
    fn request(&self, bytes: usize, messages: usize) -> Delivery {
        let words = (bytes / 8 + messages * MESSAGE_WORDS + HEAD_WORDS) as u64;
        let size = MessageSize { word_count: words, cap_count: 0 };
        self.client.client.new_call(peer::Client::TYPE_ID, 0, Some(size))
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.system.abort();
    }
}
