//! Connections between entry hosts.

mod message;

pub use self::message::*;
