//! Frames of a connection and their acknowledgements.
//!
//! A frame is one `Delivery` in the stream format of Cap'n Proto: the number of segments, their lengths, the segments.
//! The first frame of a connection, the hello, names the incarnations of both ends and has no messages. An
//! acknowledgement in the other direction is the number of frames that the receiver has handled since the connection
//! was opened, as 8 bytes in little-endian order.

use std::io;
use std::time::Duration;

use bytes::{Buf, BytesMut};
use capnp::message::{Builder, HeapAllocator};
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

use super::WireError;
use super::wire::{WireMessage, write_delivery};
use crate::id::Incarnation;

/// Maximum number of segments in one frame, the same as in `capnp`.
const MAX_SEGMENTS: usize = 512;
/// Size of a Cap'n Proto word.
const WORD_BYTES: usize = 8;
/// Estimated size of one message without its payload.
const MESSAGE_OVERHEAD_WORDS: usize = 40;
/// Estimated size of a delivery without its messages.
const DELIVERY_OVERHEAD_WORDS: usize = 8;
/// Size by which the receive buffer grows. It grows with the data received, not with the length in a frame header.
const READ_BUFFER_BYTES: usize = 64 << 10;
/// Largest capacity of the send buffer that is kept after a frame was sent.
const RETAINED_BUFFER_BYTES: usize = 1 << 20;

/// Error that ends a connection.
#[derive(Debug, Error)]
pub(super) enum FrameError {
    /// Socket error.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// Peer closed the connection.
    #[error("peer closed the connection")]
    Closed,
    /// Peer closed the connection within a frame.
    #[error("peer closed the connection after {found} bytes of a frame")]
    Truncated {
        /// Bytes of the frame that were received.
        found: usize,
    },
    /// Frame header exceeds a limit.
    #[error(
        "frame header announces {segments} segments and {bytes} bytes; limits are {MAX_SEGMENTS} and {limit}"
    )]
    TooLarge {
        /// Segments in the header.
        segments: usize,
        /// Bytes in the header; 0 if the number of segments is already too large.
        bytes: usize,
        /// Largest number of bytes allowed.
        limit: usize,
    },
    /// Acknowledgement of frames that were not sent, or that does not exceed the previous one.
    #[error("peer acknowledged {found} frames; {sent} were sent and {previous} acknowledged before")]
    InvalidAcknowledgement {
        /// Count in the acknowledgement.
        found: u64,
        /// Count in the previous acknowledgement.
        previous: u64,
        /// Frames sent.
        sent: u64,
    },
    /// Peer was unresponsive for the time given.
    #[error("peer did not respond within {0:?}")]
    Timeout(Duration),
    /// Hello is addressed to another incarnation.
    #[error("hello is addressed to incarnation {to}, but this is {own}")]
    WrongReceiver {
        /// Receiver in the hello.
        to: Incarnation,
        /// Incarnation of this host.
        own: Incarnation,
    },
    /// Hello does not name its sender.
    #[error("hello does not name the incarnation of the sender")]
    MissingSender,
    /// Host actor has ended.
    #[error("host actor has ended")]
    HostEnded,
    /// Frame is not a valid delivery.
    #[error(transparent)]
    Wire(#[from] WireError),
    /// Frame cannot be encoded.
    #[error(transparent)]
    Capnp(#[from] capnp::Error),
}

/// Overwrites `frame` with a delivery of messages.
pub(super) fn write_frame(messages: &[WireMessage], frame: &mut Vec<u8>) -> Result<(), FrameError> {
    let bytes: usize = messages.iter().map(WireMessage::payload_bytes).sum();
    // The first segment has room for all messages, so that the frame has only one segment.
    let words = bytes / WORD_BYTES + messages.len() * MESSAGE_OVERHEAD_WORDS + DELIVERY_OVERHEAD_WORDS;
    let allocator = HeapAllocator::new().first_segment_words(u32::try_from(words).unwrap_or(u32::MAX));
    let mut message = Builder::new(allocator);
    write_delivery(messages, message.init_root())?;
    serialize_into(frame, &message)
}

/// Overwrites `frame` with the first frame of a connection.
pub(super) fn write_hello(from: Incarnation, to: Incarnation, frame: &mut Vec<u8>) -> Result<(), FrameError> {
    let mut message = Builder::new_default();
    let mut delivery = message.init_root::<super::peer_capnp::delivery::Builder<'_>>();
    delivery.set_from(from.0);
    delivery.set_to(to.0);
    serialize_into(frame, &message)
}

fn serialize_into(frame: &mut Vec<u8>, message: &Builder<HeapAllocator>) -> Result<(), FrameError> {
    frame.clear();
    frame.shrink_to(RETAINED_BUFFER_BYTES);
    Ok(capnp::serialize::write_message(frame, message)?)
}

/// Returns the size in bytes of the frame that begins with `bytes`; none while its header is incomplete.
fn frame_length(bytes: &[u8], limit: usize) -> Result<Option<usize>, FrameError> {
    let read_u32 = |index: usize| {
        let field = bytes.get(index * 4..)?.first_chunk()?;
        Some(u32::from_le_bytes(*field) as usize)
    };
    let Some(last_segment) = read_u32(0) else { return Ok(None) };
    let segments = last_segment.saturating_add(1);
    if segments > MAX_SEGMENTS {
        return Err(FrameError::TooLarge { segments, bytes: 0, limit });
    }
    let mut total = (4 + 4 * segments).next_multiple_of(WORD_BYTES);
    for segment in 1..=segments {
        let Some(words) = read_u32(segment) else { return Ok(None) };
        total = total.saturating_add(words.saturating_mul(WORD_BYTES));
    }
    if total > limit {
        return Err(FrameError::TooLarge { segments, bytes: total, limit });
    }
    Ok(Some(total))
}

/// Reader of the frames of one connection.
#[derive(Debug)]
pub(super) struct FrameReader {
    stream: OwnedReadHalf,
    buffer: BytesMut,
}

impl FrameReader {
    pub(super) fn new(stream: OwnedReadHalf) -> Self {
        Self { stream, buffer: BytesMut::with_capacity(READ_BUFFER_BYTES) }
    }

    /// Returns the next frame if it is completely buffered.
    pub(super) fn buffered(&mut self, limit: usize) -> Result<Option<BytesMut>, FrameError> {
        let length = frame_length(&self.buffer, limit)?.filter(|length| *length <= self.buffer.len());
        Ok(length.map(|length| self.buffer.split_to(length)))
    }

    /// Reads the next frame; none when the peer closed the connection between frames. Cancel safe.
    pub(super) async fn next(&mut self, limit: usize) -> Result<Option<BytesMut>, FrameError> {
        loop {
            if let Some(frame) = self.buffered(limit)? {
                return Ok(Some(frame));
            }
            if self.buffer.capacity() - self.buffer.len() < READ_BUFFER_BYTES / 16 {
                self.buffer.reserve(READ_BUFFER_BYTES);
            }
            if self.stream.read_buf(&mut self.buffer).await? == 0 {
                return match self.buffer.len() {
                    0 => Ok(None),
                    found => Err(FrameError::Truncated { found }),
                };
            }
        }
    }
}

/// Acknowledgements received on one connection.
#[derive(Debug, Default)]
pub(super) struct Acknowledgements {
    count: u64,
    partial: BytesMut,
}

impl Acknowledgements {
    /// Returns the number of acknowledged frames.
    pub(super) const fn count(&self) -> u64 {
        self.count
    }

    /// Waits for the next acknowledgement. Cancel safe.
    pub(super) async fn next(&mut self, stream: &mut OwnedReadHalf, sent: u64) -> Result<(), FrameError> {
        while self.partial.len() < size_of::<u64>() {
            if stream.read_buf(&mut self.partial).await? == 0 {
                return Err(FrameError::Closed);
            }
        }
        let (found, previous) = (self.partial.get_u64_le(), self.count);
        if found > sent || found <= previous {
            return Err(FrameError::InvalidAcknowledgement { found, previous, sent });
        }
        self.count = found;
        Ok(())
    }
}

/// Acknowledges the first `count` frames of the connection.
pub(super) async fn acknowledge(stream: &mut OwnedWriteHalf, count: u64) -> Result<(), FrameError> {
    Ok(stream.write_all(&count.to_le_bytes()).await?)
}
