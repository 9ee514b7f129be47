//! Scheduling of the queues of a cell by a single owner.
//!
//! One host owns the shard. Only the owner writes the shard's records, places tasks and answers callers; the other
//! hosts relay calls to it. [`Owner`] is a state machine without I/O. State that must survive the loss of all hosts is
//! a [`record::Record`] and takes effect only after the store has acknowledged it: a job is stored before its
//! submission is answered, a placement before the run is started, and the end of a run before the worker may drop it.
//! All other state is rebuilt from the reports of the workers.

pub mod admission;
pub mod cap;
pub mod estimate;
pub mod fair_share;
pub mod health;
pub mod host;
pub mod id;
pub mod interference;
pub mod job;
pub mod learning;
pub mod lease;
pub mod loss;
pub mod message;
pub mod order;
pub mod owner;
pub mod pacing;
pub mod packing;
pub mod plan;
pub mod ports;
pub mod ready;
pub mod record;
pub mod request_queue;
pub mod retry;
pub mod run_end;
pub mod spec;
pub mod speed;
pub mod watch;
pub mod worker;
pub mod workspace;

pub use self::id::{Epoch, Fence, Generation, JobKey, StepKey, TaskKey, WorkerIncarnation};
pub use self::message::{Action, Answer, CallId, Event};
pub use self::owner::{Owner, OwnerOptions};
