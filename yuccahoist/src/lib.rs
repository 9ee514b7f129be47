//! Cluster scheduler for services, batch jobs and gang jobs.
//!
//! The library has one module per component. The decision logic of each is a state machine without I/O (see
//! [`state_machine::StateMachine`]); actors and sockets wrap it.

pub mod actor;
pub mod api;
pub mod body;
pub mod clock;
pub mod config;
pub mod daemon;
pub mod dispatch;
pub mod event;
pub mod front;
pub mod health;
pub mod host;
pub mod id;
pub mod intent;
pub mod job;
pub mod lease;
pub mod logging;
pub mod membership;
pub mod metrics;
pub mod ownership;
pub mod peer;
pub mod placement;
pub mod request;
pub mod settings;
pub mod shard;
pub mod share;
pub mod state_machine;
pub mod stream;
pub mod systems;
pub mod unit;
