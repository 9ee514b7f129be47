//! Stand-in for the platform of `yuccahoist-entry`: log with keyed topics, workers, recommendation service and a proxy.
//!
//! The workers check the scheduling invariants at each order that they execute, and record each violation.

mod fleet;
mod log;
mod order;
mod proxy;
mod serve;

pub use self::fleet::{CapTable, Fleet, FleetFaults, Overlap, Submission, TaskRun, WorkerSpec, WorkspaceCap};
pub use self::log::{Appended, KeyedLog, LogFailure, NewestPage, Position, StoreFaults, Unavailability};
pub use self::order::{EndedRow, HoldOrder, HoldReply, OrderRefusal, PaceOrder, StartOrder, Step, StopOrder};
pub use self::proxy::{Proxy, ProxyFault};
pub use self::serve::{serve_recommendations, serve_store, serve_worker};
