//! Outgoing connections to peers, with one queue and one task per peer.

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

use super::frame::{Acknowledgements, FrameError, write_frame, write_hello};
use super::wire::WireMessage;
use super::{MAX_BATCH_MESSAGES, MAX_MESSAGE_BYTES, PeerMessage};
use crate::actor::{HostHandle, Input};
use crate::clock::Clock;
use crate::event::HostEvent;
use crate::id::Incarnation;
use crate::request::Outcome;
use crate::unit::Timestamp;

/// Maximum number of messages in the queue of one peer.
const MAX_QUEUED_MESSAGES: usize = 8_192;
/// Maximum total payload in the queue of one peer.
const MAX_QUEUED_BYTES: usize = 64 << 20;
/// Maximum total payload of one delivery; a larger message is sent in a delivery of its own.
const MAX_BATCH_BYTES: usize = 1 << 20;
/// Maximum number of frames without an acknowledgement. Large enough that neither the delay of acknowledgements nor the
/// round trip between zones limits the rate.
pub(super) const MAX_IN_FLIGHT_FRAMES: u64 = 256;
/// Longest time to connect and to exchange the hello.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time without an acknowledgement while frames are in flight, and longest time of a write.
const ACK_TIMEOUT: Duration = Duration::from_secs(5);
/// Time without messages after which a connection is closed. Heartbeats keep the connections between members open.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// First and longest backoff between attempts to connect.
const RECONNECT_BACKOFF: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(1));

/// Queued message to a peer.
#[derive(Debug)]
pub struct Outgoing {
    /// Message, whose remaining time is set right before the write if it is a forward.
    pub message: PeerMessage,
    /// Last time at which it may be sent; none for messages without a time limit.
    pub until: Option<Timestamp>,
}

impl Outgoing {
    fn payload_bytes(&self) -> usize {
        match &self.message {
            PeerMessage::Forward { request, .. } => request.body.len(),
            PeerMessage::Finished { outcome: Outcome::Answered(answer), .. }
            | PeerMessage::AnswerReply { outcome: Outcome::Answered(answer), .. } => answer.body.len(),
            PeerMessage::SnapshotReply { snapshot, .. } => snapshot.len(),
            _ => 0,
        }
    }
}

/// Send queues to peers, one per incarnation and address.
#[derive(Debug)]
pub struct PeerLinks {
    links: BTreeMap<(Incarnation, SocketAddr), Link>,
    task_sender: mpsc::UnboundedSender<LinkTask>,
}

#[derive(Debug)]
struct Link {
    queue: mpsc::Sender<Outgoing>,
    queued_bytes: Arc<AtomicUsize>,
}

/// Tasks of the queues that [`PeerLinks`] opens, to be run by [`run_links`].
#[derive(Debug)]
pub struct LinkTasks(mpsc::UnboundedReceiver<LinkTask>);

/// Shared context of all outgoing connections.
#[derive(Debug)]
pub struct LinkContext {
    /// Host actor, to which connection losses and messages that are not sent are reported.
    pub host: HostHandle,
    /// Incarnation of this host, sent in the hello.
    pub own: Incarnation,
    /// Clock of `until` times and deadlines.
    pub clock: Arc<dyn Clock>,
}

impl PeerLinks {
    /// Creates an empty set of queues, and the receiver of their tasks.
    #[must_use]
    pub fn new() -> (Self, LinkTasks) {
        let (task_sender, tasks) = mpsc::unbounded_channel();
        (Self { links: BTreeMap::new(), task_sender }, LinkTasks(tasks))
    }

    /// Queues a message, after opening a queue to the peer if there is none.
    ///
    /// # Errors
    ///
    /// Returns the message when the queue of the peer is full or the host is stopping.
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
        let (queue, messages) = mpsc::channel(MAX_QUEUED_MESSAGES);
        let queued_bytes = Arc::new(AtomicUsize::new(0));
        let task = LinkTask { to, address, messages, queued_bytes: Arc::clone(&queued_bytes) };
        // If the host is stopping, the task is dropped, which closes the queue.
        let _ = self.task_sender.send(task);
        Link { queue, queued_bytes }
    }
}

impl Link {
    fn send(&self, outgoing: Outgoing) -> Result<(), Box<PeerMessage>> {
        let payload_bytes = outgoing.payload_bytes();
        if self.queued_bytes.load(Ordering::Relaxed) + payload_bytes > MAX_QUEUED_BYTES {
            return Err(Box::new(outgoing.message));
        }
        // Added before the send, because the receiver may subtract immediately after it.
        self.queued_bytes.fetch_add(payload_bytes, Ordering::Relaxed);
        self.queue.try_send(outgoing).map_err(|error| {
            self.queued_bytes.fetch_sub(payload_bytes, Ordering::Relaxed);
            Box::new(error.into_inner().message)
        })
    }
}

/// Runs the task of each queue until [`PeerLinks`] is dropped and the queues are drained. Must run in a context where
/// local tasks can be spawned.
pub async fn run_links(mut link_tasks: LinkTasks, context: Rc<LinkContext>) {
    let mut tasks = tokio::task::JoinSet::new();
    while let Some(task) = link_tasks.0.recv().await {
        while tasks.try_join_next().is_some() {}
        tasks.spawn_local(task.run(Rc::clone(&context)));
    }
    while tasks.join_next().await.is_some() {}
}

/// Receiving side of the queue of one peer.
struct LinkTask {
    to: Incarnation,
    address: SocketAddr,
    messages: mpsc::Receiver<Outgoing>,
    queued_bytes: Arc<AtomicUsize>,
}

impl fmt::Debug for LinkTask {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "LinkTask({} at {})", self.to, self.address)
    }
}

/// Reason why a transfer ended.
enum TransferEnd {
    /// Queue is closed and all frames are acknowledged, or the connection was idle.
    Closed,
    /// Connection failed; frames in flight may or may not have been delivered.
    Lost(FrameError),
}

impl LinkTask {
    async fn run(mut self, context: Rc<LinkContext>) {
        self.run_until_idle(&context).await;
        // A message may have been queued after the last receive.
        self.messages.close();
        while let Some(outgoing) = self.try_next() {
            self.report_not_sent(outgoing.message, &context);
        }
    }

    async fn run_until_idle(&mut self, context: &LinkContext) {
        let mut backoff = RECONNECT_BACKOFF.0;
        let mut deferred = None;
        loop {
            if deferred.is_none() {
                match timeout(IDLE_TIMEOUT, self.next()).await {
                    Ok(Some(outgoing)) => deferred = Some(outgoing),
                    Ok(None) | Err(_) => return,
                }
            }
            match self.connect(context).await {
                Ok(connection) => {
                    backoff = RECONNECT_BACKOFF.0;
                    match self.transfer(connection, &mut deferred, context).await {
                        TransferEnd::Closed => return,
                        TransferEnd::Lost(error) => self.report_lost(&error, context),
                    }
                }
                Err(error) => {
                    log::warn!("cannot connect to peer {} at {}: {error}", self.to, self.address);
                    if let Some(outgoing) = deferred.take() {
                        self.report_not_sent(outgoing.message, context);
                    }
                    self.reject_queued(jitter(backoff), context).await;
                    backoff = (backoff * 2).min(RECONNECT_BACKOFF.1);
                }
            }
        }
    }

    async fn next(&mut self) -> Option<Outgoing> {
        let outgoing = self.messages.recv().await?;
        self.queued_bytes.fetch_sub(outgoing.payload_bytes(), Ordering::Relaxed);
        Some(outgoing)
    }

    fn try_next(&mut self) -> Option<Outgoing> {
        let outgoing = self.messages.try_recv().ok()?;
        self.queued_bytes.fetch_sub(outgoing.payload_bytes(), Ordering::Relaxed);
        Some(outgoing)
    }

    /// Reports messages as not sent until the next attempt to connect, so that requests fail over to another owner
    /// immediately.
    async fn reject_queued(&mut self, backoff: Duration, context: &LinkContext) {
        let end = Instant::now() + backoff;
        while let Ok(Some(outgoing)) = tokio::time::timeout_at(end, self.next()).await {
            self.report_not_sent(outgoing.message, context);
        }
    }

    fn report_not_sent(&self, message: PeerMessage, context: &LinkContext) {
        context.host.post(Input::Event(HostEvent::PeerNotSent { to: self.to, message }));
    }

    fn report_lost(&self, error: &FrameError, context: &LinkContext) {
        log::warn!("lost connection to peer {} at {}: {error}", self.to, self.address);
        context.host.post(Input::Event(HostEvent::PeerLost { peer: self.to }));
    }

    /// Connects and exchanges the hello.
    async fn connect(&self, context: &LinkContext) -> Result<Connection, FrameError> {
        match timeout(CONNECT_TIMEOUT, self.handshake(context)).await {
            Ok(result) => result,
            Err(_) => Err(FrameError::Timeout(CONNECT_TIMEOUT)),
        }
    }

    async fn handshake(&self, context: &LinkContext) -> Result<Connection, FrameError> {
        let stream = TcpStream::connect(self.address).await?;
        stream.set_nodelay(true)?;
        let (reader, writer) = stream.into_split();
        let mut connection =
            Connection { reader, writer, acknowledgements: Acknowledgements::default(), sent: 1 };
        let mut hello = Vec::new();
        write_hello(context.own, self.to, &mut hello)?;
        connection.writer.write_all(&hello).await?;
        connection.next_acknowledgement().await?;
        Ok(connection)
    }

    /// Sends queued messages until the connection is lost, the queue is closed, or the connection is idle.
    async fn transfer(
        &mut self,
        mut connection: Connection,
        deferred: &mut Option<Outgoing>,
        context: &LinkContext,
    ) -> TransferEnd {
        match self.transfer_all(&mut connection, deferred, context).await {
            Ok(()) => TransferEnd::Closed,
            Err(error) => TransferEnd::Lost(error),
        }
    }

    async fn transfer_all(
        &mut self,
        connection: &mut Connection,
        deferred: &mut Option<Outgoing>,
        context: &LinkContext,
    ) -> Result<(), FrameError> {
        let mut timeout_check = tokio::time::interval(ACK_TIMEOUT / 5);
        let mut last_progress = Instant::now();
        let mut queue_closed = false;
        let mut frame = Vec::new();
        loop {
            let in_flight = connection.in_flight();
            if queue_closed && in_flight == 0 {
                return Ok(());
            }
            let first = match deferred.take() {
                Some(outgoing) if in_flight < MAX_IN_FLIGHT_FRAMES => outgoing,
                unsent => {
                    *deferred = unsent;
                    tokio::select! {
                        biased;
                        result = connection.next_acknowledgement() => {
                            result?;
                            last_progress = Instant::now();
                            continue;
                        }
                        next = self.next(),
                            if deferred.is_none() && in_flight < MAX_IN_FLIGHT_FRAMES && !queue_closed => match next {
                            Some(outgoing) => outgoing,
                            None => {
                                queue_closed = true;
                                continue;
                            }
                        },
                        now = timeout_check.tick() => {
                            let silence = now.saturating_duration_since(last_progress);
                            if in_flight > 0 && silence > ACK_TIMEOUT {
                                return Err(FrameError::Timeout(ACK_TIMEOUT));
                            }
                            if in_flight == 0 && deferred.is_none() && silence > IDLE_TIMEOUT {
                                return Ok(());
                            }
                            continue;
                        }
                    }
                }
            };
            if in_flight == 0 {
                last_progress = Instant::now();
            }
            self.deliver(first, deferred, connection, &mut frame, context).await?;
        }
    }

    /// Sends one delivery with `first` and further queued messages. A message that exceeds the batch size is returned in
    /// `deferred`.
    async fn deliver(
        &mut self,
        first: Outgoing,
        deferred: &mut Option<Outgoing>,
        connection: &mut Connection,
        frame: &mut Vec<u8>,
        context: &LinkContext,
    ) -> Result<(), FrameError> {
        // The wait for buffer space must precede the check of the time limits.
        if let Err(error) = connection.writable().await {
            *deferred = Some(first);
            return Err(error);
        }
        let mut batch = Vec::new();
        let mut bytes = 0;
        let mut next = Some(first);
        while let Some(outgoing) = next {
            if !batch.is_empty() && bytes + outgoing.payload_bytes() > MAX_BATCH_BYTES {
                *deferred = Some(outgoing);
                break;
            }
            if let Some(message) = self.prepare(outgoing, context) {
                bytes += message.payload_bytes();
                batch.push(message);
            }
            next = if batch.len() < MAX_BATCH_MESSAGES { self.try_next() } else { None };
        }
        if batch.is_empty() {
            return Ok(());
        }
        write_frame(&batch, frame)?;
        connection.send(frame).await
    }

    /// Checks the time limit immediately before the write and sets the remaining time of a forward.
    fn prepare(&self, mut outgoing: Outgoing, context: &LinkContext) -> Option<WireMessage> {
        let now = context.clock.now();
        if outgoing.until.is_some_and(|until| now > until) || outgoing.payload_bytes() > MAX_MESSAGE_BYTES / 2
        {
            self.report_not_sent(outgoing.message, context);
            return None;
        }
        if let PeerMessage::Forward { request, remaining, .. } = &mut outgoing.message {
            *remaining = request.deadline.since(now);
        }
        match WireMessage::try_from(outgoing.message) {
            Ok(message) => Some(message),
            Err(error) => {
                log::error!("cannot encode message to peer {}, dropping it: {error}", self.to);
                None
            }
        }
    }
}

fn jitter(backoff: Duration) -> Duration {
    backoff.mul_f64(rand::rng().random_range(0.5..1.0))
}

/// Outgoing connection after the hello.
struct Connection {
    reader: OwnedReadHalf,
    writer: OwnedWriteHalf,
    acknowledgements: Acknowledgements,
    /// Frames sent, including the hello.
    sent: u64,
}

impl Connection {
    /// Returns the number of frames that are not acknowledged.
    const fn in_flight(&self) -> u64 {
        self.sent - self.acknowledgements.count()
    }

    /// Waits for the next acknowledgement. Cancel safe.
    async fn next_acknowledgement(&mut self) -> Result<(), FrameError> {
        self.acknowledgements.next(&mut self.reader, self.sent).await
    }

    async fn writable(&self) -> Result<(), FrameError> {
        match timeout(ACK_TIMEOUT, self.writer.writable()).await {
            Ok(result) => Ok(result?),
            Err(_) => Err(FrameError::Timeout(ACK_TIMEOUT)),
        }
    }

    async fn send(&mut self, frame: &[u8]) -> Result<(), FrameError> {
        self.sent += 1;
        match timeout(ACK_TIMEOUT, self.writer.write_all(frame)).await {
            Ok(result) => Ok(result?),
            Err(_) => Err(FrameError::Timeout(ACK_TIMEOUT)),
        }
    }
}
