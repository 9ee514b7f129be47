//! Stand-ins for the platform: log service, workers, backend servers and host list.
//!
//! Each stand-in implements its trait of `yuccahoist::systems` for use within one process, and has an HTTP server for
//! the clients of the product. It records every effect on its own side; tests and experiments compare these records
//! with what the product reports. The stand-in for the platform of `yuccahoist-entry` is in [`platform`].

pub mod backend;
pub mod cluster;
pub mod fault;
pub mod hosts;
pub mod log;
pub mod platform;
pub mod serve;
pub mod time;
pub mod worker;
