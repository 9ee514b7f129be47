//! Frames of a connection and their confirmations.
//!
//! A frame is one `Delivery` in the stream format of Cap'n Proto: the number of segments, their lengths, the segments.
//! The first frame of a connection names the incarnations and has no messages. In the other direction goes the number
//! of frames that the receiver has handled since the connection began, as eight bytes, least significant first.

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

/// Segments of one frame. `capnp` has the same limit.
const SEGMENT_LIMIT: usize = 512;
/// Bytes in a word.
const WORD: usize = 8;
/// Room for one message without its body, words.
const MESSAGE_WORDS: usize = 40;
/// Room for a delivery without its messages, words.
const HEAD_WORDS: usize = 8;
/// Room for a read, bytes. A buffer grows with what has arrived, not with what a header announces.
const READ_BYTES: usize = 64 << 10;
/// Capacity that a frame buffer keeps, bytes.
const KEPT_BYTES: usize = 1 << 20;

/// Reason why a connection ended.
#[derive(Debug, Error)]
pub(super) enum FrameError {
    /// Socket failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// Peer closed the connection.
    #[error("the peer closed the connection")]
    Closed,
    /// Peer closed the connection within a frame.
    #[error("the peer closed the connection after {found} bytes of a frame")]
    Truncated {
        /// Bytes of the frame that arrived.
        found: usize,
    },
    /// Frame header beyond a limit.
    #[error(
        "frame with {segments} segments and {bytes} bytes; at most {SEGMENT_LIMIT} and {limit} are allowed"
    )]
    TooLarge {
        /// Segments announced.
        segments: usize,
        /// Bytes announced.
        bytes: usize,
        /// Bytes allowed.
        limit: usize,
    },
    /// Confirmation of frames that were not sent, or of fewer than before.
    #[error("{found} frames confirmed of {sent}, after {before}")]
    Confirmation {
        /// Frames confirmed.
        found: u64,
        /// Frames confirmed before.
        before: u64,
        /// Frames sent.
        sent: u64,
    },
    /// Nothing arrived in time.
    #[error("no answer within {0:?}")]
    Silent(Duration),
    /// First frame names an incarnation that is not here.
    #[error("incarnation {to} is not here; this is {own}")]
    Receiver {
        /// Incarnation named.
        to: Incarnation,
        /// Incarnation of this host.
        own: Incarnation,
    },
    /// First frame does not name its sender.
    #[error("the first frame must name the sender's incarnation")]
    Sender,
    /// Host actor has ended.
    #[error("the host has ended")]
    Ended,
    /// Frame is not a delivery.
    #[error(transparent)]
    Wire(#[from] WireError),
    /// Frame cannot be read or written.
    #[error(transparent)]
    Capnp(#[from] capnp::Error),
}

/// Replaces `frame` by a delivery.
pub(super) fn write_frame(messages: &[WireMessage], frame: &mut Vec<u8>) -> Result<(), FrameError> {
    let bytes: usize = messages.iter().map(WireMessage::weight).sum();
    // The first segment has room for all messages, so that they lie in one.
    let words = bytes / WORD + messages.len() * MESSAGE_WORDS + HEAD_WORDS;
    let allocator = HeapAllocator::new().first_segment_words(u32::try_from(words).unwrap_or(u32::MAX));
    let mut message = Builder::new(allocator);
    write_delivery(messages, message.init_root())?;
    replace(frame, &message)
}

/// Replaces `frame` by the first frame of a connection.
pub(super) fn write_hello(from: Incarnation, to: Incarnation, frame: &mut Vec<u8>) -> Result<(), FrameError> {
    let mut message = Builder::new_default();
    let mut delivery = message.init_root::<super::peer_capnp::delivery::Builder<'_>>();
    delivery.set_from(from.0);
    delivery.set_to(to.0);
    replace(frame, &message)
}

fn replace(frame: &mut Vec<u8>, message: &Builder<HeapAllocator>) -> Result<(), FrameError> {
    frame.clear();
    frame.shrink_to(KEPT_BYTES);
    Ok(capnp::serialize::write_message(frame, message)?)
}

/// Bytes of the frame that starts with `bytes`; none when its header is not complete.
fn frame_length(bytes: &[u8], limit: usize) -> Result<Option<usize>, FrameError> {
    let number = |index: usize| {
        let field = bytes.get(index * 4..)?.first_chunk()?;
        Some(u32::from_le_bytes(*field) as usize)
    };
    let Some(last) = number(0) else { return Ok(None) };
    let segments = last.saturating_add(1);
    if segments > SEGMENT_LIMIT {
        return Err(FrameError::TooLarge { segments, bytes: 0, limit });
    }
    let mut total = (4 + 4 * segments).next_multiple_of(WORD);
    for segment in 1..=segments {
        let Some(words) = number(segment) else { return Ok(None) };
        total = total.saturating_add(words.saturating_mul(WORD));
    }
    if total > limit {
        return Err(FrameError::TooLarge { segments, bytes: total, limit });
    }
    Ok(Some(total))
}

/// Receiving end of a connection.
#[derive(Debug)]
pub(super) struct FrameReader {
    stream: OwnedReadHalf,
    buffer: BytesMut,
}

impl FrameReader {
    pub(super) fn new(stream: OwnedReadHalf) -> Self {
        Self { stream, buffer: BytesMut::with_capacity(READ_BYTES) }
    }

    /// Frame that has arrived, if any.
    pub(super) fn buffered(&mut self, limit: usize) -> Result<Option<BytesMut>, FrameError> {
        let length = frame_length(&self.buffer, limit)?.filter(|length| *length <= self.buffer.len());
        Ok(length.map(|length| self.buffer.split_to(length)))
    }

    /// Next frame; none when the peer closed the connection between frames. Nothing is lost when it is dropped before.
    pub(super) async fn next(&mut self, limit: usize) -> Result<Option<BytesMut>, FrameError> {
        loop {
            if let Some(frame) = self.buffered(limit)? {
                return Ok(Some(frame));
            }
            if self.buffer.capacity() - self.buffer.len() < READ_BYTES / 16 {
                self.buffer.reserve(READ_BYTES);
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

/// Confirmations that arrive.
#[derive(Debug, Default)]
pub(super) struct Confirmations {
    count: u64,
    part: BytesMut,
}

impl Confirmations {
    /// Frames confirmed.
    pub(super) const fn count(&self) -> u64 {
        self.count
    }

    /// Waits for the next one. Nothing is lost when it is dropped before.
    pub(super) async fn next(&mut self, stream: &mut OwnedReadHalf, sent: u64) -> Result<(), FrameError> {
        while self.part.len() < size_of::<u64>() {
            if stream.read_buf(&mut self.part).await? == 0 {
                return Err(FrameError::Closed);
            }
        }
        let (found, before) = (self.part.get_u64_le(), self.count);
        if found > sent || found <= before {
            return Err(FrameError::Confirmation { found, before, sent });
        }
        self.count = found;
        Ok(())
    }
}

/// Confirms all frames up to `count`.
pub(super) async fn confirm(stream: &mut OwnedWriteHalf, count: u64) -> Result<(), FrameError> {
    Ok(stream.write_all(&count.to_le_bytes()).await?)
}
