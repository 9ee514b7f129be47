//! Queues, slots and connections of owned workers.

mod message;

pub use self::message::*;
