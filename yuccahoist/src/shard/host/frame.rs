//! Protocol between hosts: each host has one TCP connection to the owner, with length-prefixed frames in postcard
//! encoding.

use std::io;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;

use super::configuration_exchange::RawConfiguration;
use crate::shard::id::{Epoch, StepKey};
use crate::shard::message::{Answer, Request};
use crate::shard::ports::Ticket;
use crate::shard::record::Ownership;

/// Largest frame; a submission of 256 KiB fits, with room for its decoded form.
const MAX_FRAME_BYTES: u32 = 1 << 20;
/// Capacity of the send queue of a connection, in frames; several seconds of a burst. When a slow peer lets it fill up,
/// [`FrameSender::send`] fails.
const SEND_QUEUE_FRAMES: usize = 4_096;

/// Message between hosts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// First frame of a connection: the connecting host, and the epoch of the owner that it expects.
    Hello {
        /// Host name, for logs.
        host: String,
        /// Address at which other hosts reach the sender.
        address: String,
        /// Epoch of the owner that the sender expects.
        epoch: Epoch,
    },
    /// Requests a [`Frame::Pong`].
    Ping,
    /// Answer to [`Frame::Ping`]; also sent without one when `store` changes.
    Pong {
        /// Epoch of the owner.
        epoch: Epoch,
        /// Whether the store answers the owner's writes in time.
        store: bool,
    },
    /// Request of a caller.
    Call {
        /// Number of the call at the sending host.
        number: u64,
        /// Request to the owner.
        request: Request,
    },
    /// Answer to [`Frame::Call`].
    Answer {
        /// Number of the call.
        number: u64,
        /// Answer of the owner.
        answer: Answer,
    },
    /// Request of the owner to call the recommendation service.
    RequestRecommendation {
        /// Number of the call at the owner.
        number: u64,
        /// Step that is to be placed.
        step: StepKey,
        /// Ids of the workers that the call names.
        workers: Vec<Arc<str>>,
    },
    /// Answer to [`Frame::RequestRecommendation`].
    Recommended {
        /// Number of the call at the owner.
        number: u64,
        /// Tickets by worker; `None` when the call failed.
        tickets: Option<Vec<Ticket>>,
    },
    /// Addresses of hosts; the first such frame also confirms that the owner has accepted the connection.
    Hosts(Vec<String>),
    /// The sender does not own the shard in the expected epoch.
    NotOwner {
        /// Newest ownership that the sender knows of.
        known: Option<Ownership>,
    },
    /// Version of the configuration at the sending host, from a host that has joined; zero for none.
    ConfigurationVersion(u64),
    /// Request of the owner for the record of the configuration.
    RequestConfiguration,
    /// Record of the configuration. The only frame with keys of callers.
    Configuration(RawConfiguration),
}

/// Sending side of a connection.
#[derive(Debug, Clone)]
pub struct FrameSender(mpsc::Sender<Frame>);

impl FrameSender {
    /// Queues a frame; returns `false` when the connection is closed or the queue is full.
    #[must_use]
    pub fn send(&self, frame: Frame) -> bool {
        self.0.try_send(frame).is_ok()
    }
}

/// Spawns the task that writes to a connection; it closes its half once the last sender is dropped.
#[must_use]
pub fn spawn_writer(half: OwnedWriteHalf) -> FrameSender {
    let (sender, frames) = mpsc::channel(SEND_QUEUE_FRAMES);
    tokio::spawn(async move {
        if let Err(error) = write_all(half, frames).await {
            log::debug!("failed to write to a host connection: {error}");
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
    if length > MAX_FRAME_BYTES {
        // The receiver would close the connection, and get the frame again on the next one.
        log::error!("frame of {length} bytes dropped: it exceeds the limit of {MAX_FRAME_BYTES} bytes");
        return Ok(());
    }
    buffer.extend_from_slice(&length.to_be_bytes());
    buffer.extend_from_slice(&body);
    Ok(())
}

/// Receiving side of a connection.
#[derive(Debug)]
pub struct FrameReader(BufReader<OwnedReadHalf>);

impl FrameReader {
    /// Reads the next frame; returns `None` at the end of the connection.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection breaks, or when a frame is too large or does not decode.
    pub async fn next(&mut self) -> io::Result<Option<Frame>> {
        let length = match self.0.read_u32().await {
            Ok(length) => length,
            Err(error) if error.kind() == io::ErrorKind::UnexpectedEof => return Ok(None),
            Err(error) => return Err(error),
        };
        if length > MAX_FRAME_BYTES {
            return Err(io::Error::other(format!(
                "frame of {length} bytes exceeds the limit of {MAX_FRAME_BYTES} bytes"
            )));
        }
        let mut body = vec![0; length as usize];
        self.0.read_exact(&mut body).await?;
        postcard::from_bytes(&body).map(Some).map_err(io::Error::other)
    }
}

/// Splits a connection into its receiving and its sending side.
#[must_use]
pub fn split(stream: TcpStream) -> (FrameReader, FrameSender) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("failed to set TCP_NODELAY: {error}");
    }
    let (read, write) = stream.into_split();
    (FrameReader(BufReader::new(read)), spawn_writer(write))
}
