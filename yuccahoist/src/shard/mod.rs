//! Scheduling of the queues of a cell by one owner.
//!
//! One host owns the shard. It alone writes the shard's records, decides where tasks run and answers callers; the other
//! hosts relay calls to it. [`Owner`] is a state machine without I/O. Whatever must survive the loss of all hosts is a
//! [`record::Record`] and takes effect only after the store acknowledged it: an accepted job before its answer, a
//! placement before its start, an end before the worker may forget it. Everything else is read back from the workers.

pub mod admission;
pub mod desk;
pub mod health;
pub mod host;
pub mod id;
pub mod job;
pub mod lease;
pub mod message;
pub mod order;
pub mod owner;
pub mod pacing;
pub mod packing;
pub mod ports;
pub mod record;
pub mod spec;
pub mod worker;

pub use self::id::{Epoch, JobKey, Life, StepKey, TaskName};
pub use self::message::{Action, Answer, CallId, Event};
pub use self::owner::{Owner, OwnerOptions};
