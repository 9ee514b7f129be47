//! Test harness for cells of separate processes.

mod caller;
mod cell;
mod ports;
mod process;
mod record;

use std::future::Future;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub use self::caller::{Call, Caller, Exchange, Load};
pub use self::cell::Cell;
pub use self::process::{CommandResult, Process, Program, run};
pub use self::record::{WorkerRecords, check_replies};

/// Timeout for states without a stated limit; generous, so that slow machines reach them too.
pub const STATE_TIMEOUT: Duration = Duration::from_secs(40);
/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Waits until a condition holds and returns the elapsed time; panics after `limit` with `state` in the message.
pub async fn wait_until<F>(state: &str, limit: Duration, mut condition: impl FnMut() -> F) -> Duration
where
    F: Future<Output = bool>,
{
    let start = Instant::now();
    while !condition().await {
        assert!(start.elapsed() < limit, "{state} was not reached within {limit:?}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    start.elapsed()
}

/// Returns the wall time in microseconds since the Unix epoch, the unit of the stand-ins' records.
pub fn wall_micros() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}
