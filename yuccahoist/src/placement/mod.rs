//! Resource ledger and task leases of owned workers.
//!
//! [`Placement`] is the state machine of the shard owner. It keeps a ledger per worker, which it recovers from the
//! worker's inventory, and never grants more declared resources than the worker's capacity. Three rules keep it safe:
//!
//! - No task is started on a worker before the owner has an inventory that was requested after all earlier owners had
//!   stopped starting tasks.
//! - A start with an unknown result counts as running until an inventory that was requested after the start could last
//!   take effect does not contain it.
//! - A task counts as ended only when the worker reports its end, a later inventory does not contain it, or its lease,
//!   counted from the last renewal, has expired.

mod index;
mod message;
mod owner;
pub(crate) mod policy;
mod reservation;
mod worker_ledger;

pub use self::index::{Slot, WorkerEntry, WorkerIndex};
pub use self::message::*;
pub use self::owner::Placement;
pub use self::policy::{
    Choice, FirstFit, JobPlacement, LinearScan, Packing, PlacementPolicy, RandomFit, fitting_tasks,
};
