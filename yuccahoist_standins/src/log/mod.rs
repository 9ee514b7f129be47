//! Stand-in for the log service, in memory and over HTTP.

mod faults;
mod memory;
mod server;

pub use self::faults::LogFaults;
pub use self::memory::MemoryLog;
pub use self::server::LogServer;
