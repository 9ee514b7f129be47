//! Resource ledger and task leases of owned workers.

mod message;

pub use self::message::*;
