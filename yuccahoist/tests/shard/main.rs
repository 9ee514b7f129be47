//! Tests of the shard owner, its scheduling decisions, takeover campaigns and records, without a network.

mod appender;
mod campaign;
mod capacity;
mod caps;
mod cluster;
mod configuration_exchange;
mod deadly;
mod decisions;
mod faults;
mod freed;
mod interference;
mod interleavings;
mod isolation;
mod large_jobs;
mod learning;
mod leases;
mod neighbours;
mod owner;
mod records;
mod relay;
mod request_queue;
mod retry;
mod run_ends;
mod shares;
mod speeds;
mod takeover;
