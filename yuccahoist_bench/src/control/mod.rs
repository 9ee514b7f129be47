//! Control cost of an entry host.
//!
//! Complete [`yuccahoist::host::Host`] state machines run against a model of the log service and of the workers, in model
//! time and without a network. What one of them sends, reads and appends is counted with the product's own encoding.
//! The time that its `handle` takes is processor time of the thread.

mod cell;
mod log;
mod report;
mod tally;
mod workers;
mod world;

pub use self::cell::{Axis, Load, Size, points};
pub use self::report::{Row, print, slopes};
pub use self::tally::{Count, Tally};
pub use self::world::{Outcome, World};
