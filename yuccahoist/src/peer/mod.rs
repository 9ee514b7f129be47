//! Connections between entry hosts.
//!
//! Every host connects to each peer that it sends to, so a pair of hosts has one connection per direction. A connection
//! carries frames, each a list of messages in the stream format of Cap'n Proto, and in the other direction the number of
//! frames that the receiver has handled, for several frames at once. Requests and their outcomes are native Cap'n Proto
//! structs, because they are most of the traffic and their bodies are then copied once into the message and once out of
//! it. Control messages are one data field with `postcard` bytes: they are nested and change often, and a second
//! description of each in the schema would have to be kept equal to the Rust types without any gain in speed that matters
//! at their rate.
//!
//! Cap'n Proto RPC does not fit this flow: a delivery has no result, but each call has a question at the sender, an answer
//! at the receiver, and a return and a finish on the wire. With one caller, a
//! request through two hosts took 2.0 times the processor time of a bare HTTP forwarder by RPC and 1.1 to 1.4 times by
//! frames (`docs/measurements.md`, Forwarding).
//!
//! A message is delivered at most once. A connection that breaks in either direction is reported as
//! [`HostEvent::PeerLost`](crate::event::HostEvent::PeerLost) at both ends, because requests may have been lost in one
//! direction and outcomes in the other.

mod frame;
mod link;
mod message;
mod server;
mod wire;

#[allow(clippy::all, clippy::pedantic, clippy::restriction, missing_docs, rustdoc::all)]
#[rustfmt::skip]
mod peer_capnp;

pub use self::link::{LinkContext, LinkOpener, Outgoing, PeerLinks, run_links};
pub use self::message::*;
pub use self::server::{ServerContext, serve};
pub use self::wire::{WireError, WireMessage, decode, encode};
use crate::id::Incarnation;

/// Largest Cap'n Proto message that is read, bytes. A snapshot of a fold is the largest message.
pub const MESSAGE_LIMIT: usize = 32 << 20;
/// Receiver of a message to an address whose incarnation is not known. A host that starts while the log is unavailable
/// knows only the addresses in its settings.
pub const ANY_PEER: Incarnation = Incarnation(0);
/// Messages in one delivery.
pub const BATCH_LIMIT: usize = 256;

/// Limits for reading what a peer sends, which apply before memory is allocated.
fn reader_options() -> capnp::message::ReaderOptions {
    let mut options = capnp::message::ReaderOptions::new();
    options.traversal_limit_in_words(Some(MESSAGE_LIMIT / 8)).nesting_limit(32);
    options
}
