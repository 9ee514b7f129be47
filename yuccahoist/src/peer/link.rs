//! Outgoing connections to peers: one queue and one task per peer.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use rand::RngExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout};

use super::frame::{Confirmations, FrameError, write_frame, write_hello};
use super::wire::WireMessage;
use super::{BATCH_LIMIT, MESSAGE_LIMIT, PeerMessage};
use crate::actor::{HostHandle, Input};
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
pub(super) const WINDOW: u64 = 256;
/// Longest time to connect and to agree on the incarnations.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time without a confirmation while deliveries are open.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(5);
/// Time without messages after which a connection is closed. Members of the view send heartbeats more often.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// First and longest pause between attempts to connect.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(1));

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
            PeerMessage::SnapshotReply { snapshot, .. } => snapshot.len(),
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
    pub host: HostHandle,
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
    Lost(FrameError),
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
        context.host.post(Input::Event(HostEvent::PeerNotSent { to: self.to, message }));
    }

    fn lost(&self, error: &FrameError, context: &LinkContext) {
        log::warn!("connection to peer {} at {} lost: {error}", self.to, self.address);
        context.host.post(Input::Event(HostEvent::PeerLost { peer: self.to }));
    }

    /// Connects and agrees on both incarnations.
    async fn connect(&self, context: &LinkContext) -> Result<Connection, FrameError> {
        match timeout(CONNECT_TIMEOUT, self.handshake(context)).await {
            Ok(result) => result,
            Err(_) => Err(FrameError::Silent(CONNECT_TIMEOUT)),
        }
    }

    async fn handshake(&self, context: &LinkContext) -> Result<Connection, FrameError> {
        let stream = TcpStream::connect(self.address).await?;
        stream.set_nodelay(true)?;
        let (reader, writer) = stream.into_split();
        let mut connection = Connection { reader, writer, confirmations: Confirmations::default(), sent: 1 };
        let mut hello = Vec::new();
        write_hello(context.own, self.to, &mut hello)?;
        connection.writer.write_all(&hello).await?;
        connection.confirmed().await?;
        Ok(connection)
    }

    /// Sends what is queued until the connection or the queue ends.
    async fn transfer(
        &mut self,
        mut connection: Connection,
        held: &mut Option<Outgoing>,
        context: &LinkContext,
    ) -> End {
        match self.transfer_all(&mut connection, held, context).await {
            Ok(()) => End::Closed,
            Err(error) => End::Lost(error),
        }
    }

    async fn transfer_all(
        &mut self,
        connection: &mut Connection,
        held: &mut Option<Outgoing>,
        context: &LinkContext,
    ) -> Result<(), FrameError> {
        let mut check = tokio::time::interval(CONFIRM_TIMEOUT / 5);
        let mut progress = Instant::now();
        let mut ended = false;
        let mut frame = Vec::new();
        loop {
            let open = connection.open();
            if ended && open == 0 {
                return Ok(());
            }
            let first = match held.take() {
                Some(outgoing) if open < WINDOW => outgoing,
                waiting => {
                    *held = waiting;
                    tokio::select! {
                        biased;
                        confirmed = connection.confirmed() => {
                            confirmed?;
                            progress = Instant::now();
                            continue;
                        }
                        next = self.next(), if held.is_none() && open < WINDOW && !ended => match next {
                            Some(outgoing) => outgoing,
                            None => {
                                ended = true;
                                continue;
                            }
                        },
                        now = check.tick() => {
                            let quiet = now.saturating_duration_since(progress);
                            if open > 0 && quiet > CONFIRM_TIMEOUT {
                                return Err(FrameError::Silent(CONFIRM_TIMEOUT));
                            }
                            if open == 0 && held.is_none() && quiet > IDLE_TIMEOUT {
                                return Ok(());
                            }
                            continue;
                        }
                    }
                }
            };
            if open == 0 {
                progress = Instant::now();
            }
            self.deliver(first, held, connection, &mut frame, context).await?;
        }
    }

    /// Sends one delivery with `first` and what else is queued. A message that does not fit any more goes to `held`.
    async fn deliver(
        &mut self,
        first: Outgoing,
        held: &mut Option<Outgoing>,
        connection: &mut Connection,
        frame: &mut Vec<u8>,
        context: &LinkContext,
    ) -> Result<(), FrameError> {
        // Waits for room before the time limits are checked, not after.
        if let Err(error) = connection.writable().await {
            *held = Some(first);
            return Err(error);
        }
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
            return Ok(());
        }
        write_frame(&batch, frame)?;
        connection.send(frame).await
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

fn jitter(pause: Duration) -> Duration {
    pause.mul_f64(rand::rng().random_range(0.5..1.0))
}

/// Open connection. Its socket closes when it is dropped.
struct Connection {
    reader: OwnedReadHalf,
    writer: OwnedWriteHalf,
    confirmations: Confirmations,
    /// Frames sent.
    sent: u64,
}

impl Connection {
    /// Frames that are not confirmed.
    const fn open(&self) -> u64 {
        self.sent - self.confirmations.count()
    }

    /// Waits for the next confirmation. Nothing is lost when it is dropped before.
    async fn confirmed(&mut self) -> Result<(), FrameError> {
        self.confirmations.next(&mut self.reader, self.sent).await
    }

    async fn writable(&self) -> Result<(), FrameError> {
        match timeout(CONFIRM_TIMEOUT, self.writer.writable()).await {
            Ok(result) => Ok(result?),
            Err(_) => Err(FrameError::Silent(CONFIRM_TIMEOUT)),
        }
    }

    async fn send(&mut self, frame: &[u8]) -> Result<(), FrameError> {
        self.sent += 1;
        match timeout(CONFIRM_TIMEOUT, self.writer.write_all(frame)).await {
            Ok(result) => Ok(result?),
            Err(_) => Err(FrameError::Silent(CONFIRM_TIMEOUT)),
        }
    }
}
