//! Cells of separate processes.

mod caller;
mod cell;
mod ports;
mod process;
mod record;

use std::future::Future;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub use self::caller::{Call, Caller, Load, Sent};
pub use self::cell::Cell;
pub use self::process::{Finished, Process, Program, run};
pub use self::record::{Record, check};

/// Time limit of a state that has no limit of its own; a slow machine must reach it.
pub const LIMIT: Duration = Duration::from_secs(40);
/// Time between two looks at a state.
const PERIOD: Duration = Duration::from_millis(25);

/// Waits until a condition holds and gives the time that it took.
pub async fn until<F>(what: &str, limit: Duration, mut condition: impl FnMut() -> F) -> Duration
where
    F: Future<Output = bool>,
{
    let start = Instant::now();
    while !condition().await {
        assert!(start.elapsed() < limit, "{what} was not reached within {limit:?}");
        tokio::time::sleep(PERIOD).await;
    }
    start.elapsed()
}

/// Microseconds since the Unix epoch, as in the records of the stand-ins.
pub fn wall_micros() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}
