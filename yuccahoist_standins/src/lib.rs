//! Stand-ins for the platform: log service, workers, backend servers and host list.

pub mod log;
