//! Bodies of callers' requests, read up to a limit.
//!
//! A connection that is closed with unread bytes is reset, and the caller loses the answer while it still writes. A body
//! above the limit is therefore read to its end and dropped, up to a bound, before it is refused.

use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use futures::{Stream, StreamExt};

/// Most bytes of a body above the limit that are read and dropped; a caller that sends more may lose the answer.
const MAX_DISCARDED_BYTES: usize = 16 << 20;
/// Longest time for which the rest of such a body is read.
const MAX_DISCARD_TIME: Duration = Duration::from_secs(2);

/// Why a body was not read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// The body is larger than the limit.
    TooLarge,
    /// The connection closed before the end of the body.
    Incomplete,
}

/// Reads a body of at most `limit` bytes; one that arrives in a single chunk is not copied.
///
/// # Errors
///
/// Returns an error when the body is too large, after it was read and dropped, or when it is incomplete.
pub async fn read<B: Buf, E>(
    stream: impl Stream<Item = Result<B, E>>,
    limit: usize,
) -> Result<Bytes, BodyError> {
    futures::pin_mut!(stream);
    let mut first = Bytes::new();
    let mut rest = BytesMut::new();
    while let Some(chunk) = stream.next().await {
        let mut chunk = chunk.map_err(|_| BodyError::Incomplete)?;
        let size = chunk.remaining();
        if size + first.len().max(rest.len()) > limit {
            drop((first, rest));
            discard(stream).await;
            return Err(BodyError::TooLarge);
        }
        if first.is_empty() && rest.is_empty() {
            first = chunk.copy_to_bytes(size);
            continue;
        }
        rest.extend_from_slice(&std::mem::take(&mut first));
        rest.extend_from_slice(&chunk.copy_to_bytes(size));
    }
    Ok(if rest.is_empty() { first } else { rest.freeze() })
}

/// Reads and drops the rest of a body, within the bounds of bytes and time.
pub async fn discard<B: Buf, E>(stream: impl Stream<Item = Result<B, E>>) {
    futures::pin_mut!(stream);
    let read = async {
        let mut size = 0;
        while let Some(Ok(chunk)) = stream.next().await
            && size < MAX_DISCARDED_BYTES
        {
            size += chunk.remaining();
        }
    };
    if tokio::time::timeout(MAX_DISCARD_TIME, read).await.is_err() {
        log::debug!("a body above the limit was not read to its end in time");
    }
}
