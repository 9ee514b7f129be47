//! Incoming connections of peers.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, timeout};

use super::frame::{FrameError, FrameReader, acknowledge};
use super::link::MAX_IN_FLIGHT_FRAMES;
use super::wire::{decode, decode_hello};
use super::{ANY_PEER, MAX_BATCH_MESSAGES, MAX_MESSAGE_BYTES};
use crate::actor::{HostHandle, Input};
use crate::clock::Clock;
use crate::event::HostEvent;
use crate::id::Incarnation;

/// Maximum number of open connections. A cell has 9 hosts; the rest is a reserve for reconnects.
const MAX_CONNECTIONS: usize = 256;
/// Longest time from the accept to the hello.
const HELLO_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest delay between the handling of a frame and its acknowledgement.
const MAX_ACK_DELAY: Duration = Duration::from_millis(10);
/// Number of handled frames that are acknowledged without the delay. A quarter of the sender's window, so that the delay
/// never stalls the sender.
const ACK_BATCH_FRAMES: u64 = MAX_IN_FLIGHT_FRAMES / 4;
/// Longest time to write an acknowledgement.
const ACK_WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum size of the hello.
const MAX_HELLO_BYTES: usize = 1 << 10;
/// Delay after a failed accept, for example when no file descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Shared context of all incoming connections.
#[derive(Debug)]
pub struct ServerContext {
    /// Host actor, to which messages and connection losses are sent.
    pub host: HostHandle,
    /// Incarnation of this host, which the hello must name unless it names [`ANY_PEER`].
    pub own: Incarnation,
    /// Clock of the deadlines of received requests.
    pub clock: Arc<dyn Clock>,
    /// Number of the newest connection of each peer.
    current_connections: RefCell<BTreeMap<Incarnation, u64>>,
    open_connections: Cell<usize>,
}

impl ServerContext {
    /// Creates a context without connections.
    #[must_use]
    pub fn new(host: HostHandle, own: Incarnation, clock: Arc<dyn Clock>) -> Self {
        Self { host, own, clock, current_connections: RefCell::default(), open_connections: Cell::default() }
    }

    /// Records the newest connection of a peer. An earlier connection that is still recorded is reported as lost now, so
    /// that its loss is not reported after messages of the new one.
    fn connection_opened(&self, sender: Incarnation, number: u64) {
        if self.current_connections.borrow_mut().insert(sender, number).is_some() {
            self.host.post(Input::Event(HostEvent::PeerLost { peer: sender }));
        }
    }

    /// Reports the loss of a connection, unless a newer one of the same peer has already caused the report.
    fn connection_closed(&self, sender: Incarnation, number: u64) {
        if self.current_connections.borrow().get(&sender) == Some(&number) {
            self.current_connections.borrow_mut().remove(&sender);
            self.host.post(Input::Event(HostEvent::PeerLost { peer: sender }));
        }
    }
}

/// Accepts connections of peers until it is dropped. Must run in a context where local tasks can be spawned.
pub async fn serve(listener: TcpListener, context: Rc<ServerContext>) {
    for number in 0.. {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("cannot accept a peer connection: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        if context.open_connections.get() >= MAX_CONNECTIONS {
            log::warn!("peer connection refused: limit of {MAX_CONNECTIONS} open connections reached");
            continue;
        }
        context.open_connections.set(context.open_connections.get() + 1);
        tokio::task::spawn_local(run_connection(stream, number, Rc::clone(&context)));
    }
}

async fn run_connection(stream: TcpStream, number: u64, context: Rc<ServerContext>) {
    let _ = stream.set_nodelay(true);
    let (reader, writer) = stream.into_split();
    let mut frames = FrameReader::new(reader);
    let result = match timeout(HELLO_TIMEOUT, read_hello(&mut frames, &context)).await {
        Ok(Ok(sender)) => {
            context.connection_opened(sender, number);
            let connection = IncomingConnection {
                sender,
                writer,
                handled: 1,
                acknowledged: 0,
                context: Rc::clone(&context),
            };
            let result = connection.run(&mut frames).await;
            context.connection_closed(sender, number);
            result
        }
        Ok(Err(error)) => Err(error),
        Err(_) => Err(FrameError::Timeout(HELLO_TIMEOUT)),
    };
    if let Err(error) = result {
        log::debug!("peer connection {number} ended: {error}");
    }
    context.open_connections.set(context.open_connections.get() - 1);
}

/// Reads the hello and returns its sender.
async fn read_hello(frames: &mut FrameReader, context: &ServerContext) -> Result<Incarnation, FrameError> {
    let Some(frame) = frames.next(MAX_HELLO_BYTES).await? else { return Err(FrameError::Closed) };
    let (from, to) = decode_hello(&frame)?;
    let own = context.own;
    if to != own && to != ANY_PEER {
        return Err(FrameError::WrongReceiver { to, own });
    }
    if from == Incarnation(0) {
        return Err(FrameError::MissingSender);
    }
    Ok(from)
}

/// Incoming connection after the hello.
struct IncomingConnection {
    sender: Incarnation,
    writer: OwnedWriteHalf,
    /// Frames handled, including the hello.
    handled: u64,
    /// Frames acknowledged, including the hello.
    acknowledged: u64,
    context: Rc<ServerContext>,
}

impl IncomingConnection {
    async fn run(mut self, frames: &mut FrameReader) -> Result<(), FrameError> {
        self.acknowledge().await?;
        let delay = tokio::time::sleep(MAX_ACK_DELAY);
        tokio::pin!(delay);
        loop {
            tokio::select! {
                biased;
                frame = frames.next(MAX_MESSAGE_BYTES) => {
                    let Some(frame) = frame? else { return Ok(()) };
                    if self.handled == self.acknowledged {
                        delay.as_mut().reset(Instant::now() + MAX_ACK_DELAY);
                    }
                    self.deliver(&frame, frames).await?;
                    if self.handled - self.acknowledged >= ACK_BATCH_FRAMES {
                        self.acknowledge().await?;
                    }
                }
                () = &mut delay, if self.handled > self.acknowledged => self.acknowledge().await?,
            }
        }
    }

    /// Passes the messages of a frame and of further buffered frames to the host actor, and waits until they are handled.
    /// Each connection thus has one input in the queue of the actor, which preserves the order of messages and limits
    /// what a peer can queue.
    async fn deliver(&mut self, frame: &[u8], frames: &mut FrameReader) -> Result<(), FrameError> {
        let now = self.context.clock.now();
        let mut messages = decode(frame, now)?;
        let mut frame_count = 1;
        let mut decode_error = None;
        while messages.len() < MAX_BATCH_MESSAGES {
            // An invalid header is reported by the next read.
            let Ok(Some(frame)) = frames.buffered(MAX_MESSAGE_BYTES) else { break };
            match decode(&frame, now) {
                Ok(more) => messages.extend(more),
                Err(error) => {
                    decode_error = Some(error);
                    break;
                }
            }
            frame_count += 1;
        }
        let from = self.sender;
        let events = messages.into_iter().map(|message| HostEvent::Peer { from, message });
        if !self.context.host.deliver(Input::Events(events.collect())).await {
            return Err(FrameError::HostEnded);
        }
        self.handled += frame_count;
        decode_error.map_or(Ok(()), |error| Err(error.into()))
    }

    /// Acknowledges the handled frames together. An acknowledgement of each would cost a write and a read per delivery,
    /// as much as the delivery itself.
    async fn acknowledge(&mut self) -> Result<(), FrameError> {
        self.acknowledged = self.handled;
        match timeout(ACK_WRITE_TIMEOUT, acknowledge(&mut self.writer, self.acknowledged)).await {
            Ok(result) => result,
            Err(_) => Err(FrameError::Timeout(ACK_WRITE_TIMEOUT)),
        }
    }
}
