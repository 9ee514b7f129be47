//! Messages between hosts: length-prefixed frames on one TCP connection from each host to the owner.

use std::io;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;

use crate::shard::id::{Epoch, StepKey};
use crate::shard::message::{Answer, Request};
use crate::shard::ports::Ticket;
use crate::shard::record::Ownership;

/// Largest frame in bytes.
const FRAME_LIMIT: u32 = 1 << 20; // A submission of 256 KiB fits with room for its decoded form.
/// Frames that wait for a slow peer; further ones end the connection.
const QUEUE: usize = 4_096; // Several seconds of a burst.

/// Message between hosts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// First frame of a connection: who connects, and the owner that it means.
    Hello {
        /// Host name.
        host: String,
        /// Its address for other hosts.
        address: String,
        /// Epoch of the owner that is meant.
        epoch: Epoch,
    },
    /// Asks for [`Frame::Pong`].
    Ping,
    /// The owner is alive.
    Pong {
        /// Its epoch.
        epoch: Epoch,
        /// Whether the store answers it.
        store: bool,
    },
    /// A caller's request.
    Call {
        /// Number on this connection.
        number: u64,
        /// Request.
        request: Request,
    },
    /// Answer to [`Frame::Call`].
    Answer {
        /// Number of the call.
        number: u64,
        /// Answer.
        answer: Answer,
    },
    /// Asks the receiving host to call the recommendation service.
    Advise {
        /// Number of the question.
        number: u64,
        /// Step.
        step: StepKey,
        /// Workers.
        workers: Vec<Arc<str>>,
    },
    /// Answer to [`Frame::Advise`].
    Advised {
        /// Number of the question.
        number: u64,
        /// Tickets; none when the call failed.
        good: Option<Vec<Ticket>>,
    },
    /// The owner has accepted the connection, or other hosts have joined: the addresses of all of them.
    Hosts(Vec<String>),
    /// The sender does not own the shard, or not in the epoch that was meant.
    NotOwner {
        /// Ownership that it knows of.
        known: Option<Ownership>,
    },
}

/// Sending side of a connection.
#[derive(Debug, Clone)]
pub struct FrameSender(mpsc::Sender<Frame>);

impl FrameSender {
    /// Queues a frame; false when the connection is closed or too slow.
    #[must_use]
    pub fn send(&self, frame: Frame) -> bool {
        self.0.try_send(frame).is_ok()
    }
}

/// Runs the writing half of a connection in its own task; the connection closes when the last sender is dropped.
#[must_use]
pub fn writer(half: OwnedWriteHalf) -> FrameSender {
    let (sender, frames) = mpsc::channel(QUEUE);
    tokio::spawn(async move {
        if let Err(error) = write_all(half, frames).await {
            log::debug!("writing to a host failed: {error}");
        }
    });
    FrameSender(sender)
}

async fn write_all(mut half: OwnedWriteHalf, mut frames: mpsc::Receiver<Frame>) -> io::Result<()> {
    let mut buffer = Vec::new();
    while let Some(frame) = frames.recv().await {
        buffer.clear();
        encode(&frame, &mut buffer)?;
        while let Ok(next) = frames.try_recv() {
            encode(&next, &mut buffer)?;
        }
        half.write_all(&buffer).await?;
    }
    half.shutdown().await
}

fn encode(frame: &Frame, buffer: &mut Vec<u8>) -> io::Result<()> {
    let body = postcard::to_stdvec(frame).map_err(io::Error::other)?;
    let length = u32::try_from(body.len()).map_err(io::Error::other)?;
    buffer.extend_from_slice(&length.to_be_bytes());
    buffer.extend_from_slice(&body);
    Ok(())
}

/// Reading side of a connection.
#[derive(Debug)]
pub struct FrameReader(BufReader<OwnedReadHalf>);

impl FrameReader {
    /// Reads the next frame; none at the end of the connection.
    ///
    /// # Errors
    ///
    /// Fails on a broken connection and on a frame that is too large or does not decode.
    pub async fn next(&mut self) -> io::Result<Option<Frame>> {
        let length = match self.0.read_u32().await {
            Ok(length) => length,
            Err(error) if error.kind() == io::ErrorKind::UnexpectedEof => return Ok(None),
            Err(error) => return Err(error),
        };
        if length > FRAME_LIMIT {
            return Err(io::Error::other(format!("frame of {length} bytes is above {FRAME_LIMIT}")));
        }
        let mut body = vec![0; length as usize];
        self.0.read_exact(&mut body).await?;
        postcard::from_bytes(&body).map(Some).map_err(io::Error::other)
    }
}

/// Splits a connection.
#[must_use]
pub fn split(stream: TcpStream) -> (FrameReader, FrameSender) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("TCP_NODELAY was not set: {error}");
    }
    let (read, write) = stream.into_split();
    (FrameReader(BufReader::new(read)), writer(write))
}
