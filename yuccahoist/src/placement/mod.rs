//! Resource ledger and task leases of owned workers.

mod message;
mod owner;

pub use self::message::*;
pub use self::owner::Placement;
