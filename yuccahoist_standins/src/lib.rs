//! Stand-ins for the platform: log service, workers, backend servers and host list.
//!
//! Each stand-in implements the trait of `yuccahoist::systems` for use in one process, and is served by HTTP in the
//! form that the product's clients expect. It keeps its own record of what took effect, which tests and experiments
//! compare with what the product reports.

pub mod backend;
pub mod cluster;
pub mod fault;
pub mod hosts;
pub mod log;
pub mod platform;
pub mod serve;
pub mod time;
pub mod worker;
