//! Stand-in of the platform of `yuccahoist-entry`: its log with keyed topics, its workers, its recommendations.
//!
//! The workers check the system's promises at each order that they carry out, and keep what they saw broken.

mod fleet;
mod log;
mod order;
mod proxy;
mod serve;

pub use self::fleet::{Fleet, FleetFaults, Submission, WorkerShape};
pub use self::log::{Appended, KeyedLog, LogDown, LogFailure, LogMoods, NewestPage, Position};
pub use self::order::{Ended, Hold, HoldReply, Pace, Refused, Start, Step, Stop};
pub use self::proxy::{Proxy, Traffic};
pub use self::serve::{advisor, store, worker};
