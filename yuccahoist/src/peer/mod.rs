//! Connections between entry hosts.
//!
//! Every host connects to each peer that it sends to, so a pair of hosts has one connection per direction. A connection
//! carries frames, each a list of messages in the stream format of Cap'n Proto. In the other direction the receiver
//! acknowledges frames by count, several at once.
//!
//! Requests and their outcomes are native Cap'n Proto structs. They are most of the traffic, and this format copies
//! their bodies only once when encoding and once when decoding. Control messages are a data field with `postcard` bytes.
//! They are nested and change often, so that a schema for each would have to be kept consistent with the Rust types, and
//! their rate is too low for the encoding speed to matter.
//!
//! Cap'n Proto RPC is not used because a delivery has no result, while each RPC call keeps table entries at both ends and
//! adds a return and a finish message on the wire. With one caller, a request through two hosts took 2.0 times the
//! processor time of a bare HTTP forwarder with RPC, and 1.1 to 1.4 times with frames (`docs/measurements.md`,
//! Forwarding).
//!
//! A message is delivered at most once. The loss of a connection is reported as
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

pub use self::link::{LinkContext, LinkTasks, Outgoing, PeerLinks, run_links};
pub use self::message::*;
pub use self::server::{ServerContext, serve};
pub use self::wire::{WireError, WireMessage, decode, encode};
use crate::id::Incarnation;

/// Largest Cap'n Proto message that is accepted, in bytes. Snapshots of folds are the largest messages.
pub const MAX_MESSAGE_BYTES: usize = 32 << 20;
/// Receiver of a message to an address whose incarnation is not known: a host that starts while the log is unavailable
/// knows only the peer addresses in its settings.
pub const ANY_PEER: Incarnation = Incarnation(0);
/// Maximum number of messages in one delivery; a delivery is handled by the host actor without interruption.
pub const MAX_BATCH_MESSAGES: usize = 256;

/// Returns the decoding limits for peer input, which apply before memory is allocated.
fn reader_options() -> capnp::message::ReaderOptions {
    let mut options = capnp::message::ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_MESSAGE_BYTES / 8)).nesting_limit(32);
    options
}
