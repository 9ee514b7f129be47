//! Resource ledger and task leases of owned workers.
//!
//! [`Placement`] is the shard owner's side. It keeps a ledger per worker, recovered from the worker's inventory, and
//! never grants more than the capacity by declared size. Its safety rests on three rules:
//!
//! - Nothing is started on a worker before an inventory was read in answer to a command that was sent after earlier
//!   owners had stopped starting tasks.
//! - A start whose effect is unknown counts as running until an inventory that was asked for later disproves it.
//! - A task counts as ended only when the worker says so or its lease, counted from the last renewal, has lapsed.

mod index;
mod ledger;
mod message;
mod owner;
pub(crate) mod policy;
mod reservation;

pub use self::index::{Entry, Slot, WorkerIndex};
pub use self::message::*;
pub use self::owner::Placement;
pub use self::policy::{Choice, FirstFit, LinearScan, Packing, PlacementPolicy, RandomFit, Siblings, copies};
