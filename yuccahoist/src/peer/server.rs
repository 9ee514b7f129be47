//! Incoming connections of peers.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, timeout};

use super::frame::{FrameError, FrameReader, confirm};
use super::link::WINDOW;
use super::wire::{decode, decode_hello};
use super::{ANY_PEER, BATCH_LIMIT, MESSAGE_LIMIT};
use crate::actor::{HostHandle, Input};
use crate::clock::Clock;
use crate::event::HostEvent;
use crate::id::Incarnation;

/// Connections that are open at once. A cell has 9 hosts; the rest is reserve for reconnects.
const CONNECTION_LIMIT: usize = 256;
/// Longest time until a connection names its sender.
const HELLO_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest delay of a confirmation.
const CONFIRM_DELAY: Duration = Duration::from_millis(10);
/// Deliveries that are confirmed together at most. A part of the sender's window, so that it never waits for the delay.
const CONFIRM_COUNT: u64 = WINDOW / 4;
/// Longest time to write a confirmation.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Largest first frame of a connection, bytes.
const HELLO_LIMIT: usize = 1 << 10;
/// Pause after a failed accept, as when no file descriptor is free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// What all incoming connections share.
#[derive(Debug)]
pub struct ServerContext {
    /// Host actor.
    pub host: HostHandle,
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
    pub fn new(host: HostHandle, own: Incarnation, clock: Arc<dyn Clock>) -> Self {
        Self { host, own, clock, newest: RefCell::default(), open: Cell::default() }
    }

    /// Notes the newest connection of a peer. An earlier one that has not been found broken counts as lost now, so that
    /// its loss is not reported after messages of the new one.
    fn opened(&self, sender: Incarnation, number: u64) {
        if self.newest.borrow_mut().insert(sender, number).is_some() {
            self.host.post(Input::Event(HostEvent::PeerLost { peer: sender }));
        }
    }

    fn closed(&self, sender: Incarnation, number: u64) {
        if self.newest.borrow().get(&sender) == Some(&number) {
            self.newest.borrow_mut().remove(&sender);
            self.host.post(Input::Event(HostEvent::PeerLost { peer: sender }));
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
    let _ = stream.set_nodelay(true);
    let (reader, writer) = stream.into_split();
    let mut frames = FrameReader::new(reader);
    let result = match timeout(HELLO_TIMEOUT, hello(&mut frames, &context)).await {
        Ok(Ok(sender)) => {
            context.opened(sender, number);
            let receiver =
                Receiver { sender, writer, handled: 1, confirmed: 0, context: Rc::clone(&context) };
            let result = receiver.run(&mut frames).await;
            context.closed(sender, number);
            result
        }
        Ok(Err(error)) => Err(error),
        Err(_) => Err(FrameError::Silent(HELLO_TIMEOUT)),
    };
    if let Err(error) = result {
        log::debug!("peer connection {number} ended: {error}");
    }
    context.open.set(context.open.get() - 1);
}

/// Reads the first frame. Returns the sender.
async fn hello(frames: &mut FrameReader, context: &ServerContext) -> Result<Incarnation, FrameError> {
    let Some(frame) = frames.next(HELLO_LIMIT).await? else { return Err(FrameError::Closed) };
    let (from, to) = decode_hello(&frame)?;
    let own = context.own;
    if to != own && to != ANY_PEER {
        return Err(FrameError::Receiver { to, own });
    }
    if from == Incarnation(0) {
        return Err(FrameError::Sender);
    }
    Ok(from)
}

/// Receiving end of one connection.
struct Receiver {
    sender: Incarnation,
    writer: OwnedWriteHalf,
    /// Frames handled.
    handled: u64,
    /// Frames confirmed.
    confirmed: u64,
    context: Rc<ServerContext>,
}

impl Receiver {
    async fn run(mut self, frames: &mut FrameReader) -> Result<(), FrameError> {
        self.confirm().await?;
        let delay = tokio::time::sleep(CONFIRM_DELAY);
        tokio::pin!(delay);
        loop {
            tokio::select! {
                biased;
                frame = frames.next(MESSAGE_LIMIT) => {
                    let Some(frame) = frame? else { return Ok(()) };
                    if self.handled == self.confirmed {
                        delay.as_mut().reset(Instant::now() + CONFIRM_DELAY);
                    }
                    self.accept(&frame, frames).await?;
                    if self.handled - self.confirmed >= CONFIRM_COUNT {
                        self.confirm().await?;
                    }
                }
                () = &mut delay, if self.handled > self.confirmed => self.confirm().await?,
            }
        }
    }

    /// Hands the messages of a frame, and of those that have arrived with it, to the host actor and waits until they are
    /// handled. The mailbox of the actor keeps no order among waiting inputs, so a connection has one there at a time.
    /// This also limits what a peer can queue.
    async fn accept(&mut self, frame: &[u8], frames: &mut FrameReader) -> Result<(), FrameError> {
        let now = self.context.clock.now();
        let mut messages = decode(frame, now)?;
        let mut count = 1;
        let mut failed = None;
        while messages.len() < BATCH_LIMIT {
            // A bad header is found again by the next read.
            let Ok(Some(frame)) = frames.buffered(MESSAGE_LIMIT) else { break };
            match decode(&frame, now) {
                Ok(more) => messages.extend(more),
                Err(error) => {
                    failed = Some(error);
                    break;
                }
            }
            count += 1;
        }
        let from = self.sender;
        let events = messages.into_iter().map(|message| HostEvent::Peer { from, message });
        if !self.context.host.deliver(Input::Events(events.collect())).await {
            return Err(FrameError::Ended);
        }
        self.handled += count;
        failed.map_or(Ok(()), |error| Err(error.into()))
    }

    /// Confirms the frames that are handled. A confirmation of each would cost a write and a read per delivery, which is
    /// as much as the delivery itself.
    async fn confirm(&mut self) -> Result<(), FrameError> {
        self.confirmed = self.handled;
        match timeout(WRITE_TIMEOUT, confirm(&mut self.writer, self.confirmed)).await {
            Ok(result) => result,
            Err(_) => Err(FrameError::Silent(WRITE_TIMEOUT)),
        }
    }
}
