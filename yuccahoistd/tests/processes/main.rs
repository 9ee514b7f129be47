//! End-to-end tests with separate processes: daemons, platform stand-ins and the operator command.
//!
//! Each test starts its own cell on free ports of the loopback interface. The stand-ins and the operator command belong
//! to other crates, so their binaries are expected next to the daemon under test: `cargo test --workspace` builds all
//! of them before the first test runs.

mod harness;

mod config;
mod drain;
mod failure;
mod log_faults;
mod path;
mod refusal;
