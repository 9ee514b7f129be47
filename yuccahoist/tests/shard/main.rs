//! Tests of the shard's owner and of its decisions, without a network.

mod campaign;
mod decisions;
mod faults;
mod owner;
mod records;
mod world;
