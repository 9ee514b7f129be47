//! Receiving host: routes requests to owners and answers callers.

mod message;

pub use self::message::*;
