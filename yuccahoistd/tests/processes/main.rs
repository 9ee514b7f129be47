//! The whole path as separate processes: daemons, stand-ins and the operator's command.
//!
//! Every test has a cell of its own on free ports of the loopback interface. The stand-ins and the operator's command
//! belong to other crates, so they are looked for next to the daemon under test: `cargo test --workspace` builds all of
//! them before the first test runs.

mod harness;

mod config;
mod drain;
mod failure;
mod log_faults;
mod path;
mod refusal;
