//! Appends the owner's batches to the store, one batch at a time.
//!
//! During an outage a try is swallowed without an error. Waiting for its timeout would keep callers out for as long after
//! the store is back, so further tries start beside it. All tries of a batch have one sequence number, by which the store
//! executes only one of them.
//!
//! A batch that is larger than the store takes at once goes in several appends. A store that has only the first of them is
//! consistent: in a batch the specification of a job stands before its progress, and the effects wait for the last append.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use rand::RngExt;
use tokio::time::{Instant, sleep};

use super::write_timeouts::{MAX_APPEND_TIMEOUT, WriteTimeouts};
use crate::shard::id::Epoch;
use crate::shard::ports::{Store, StoreError};
use crate::shard::record::Entry;
use crate::unit::Bytes;

/// Why a batch was not stored.
#[derive(Debug)]
pub enum AppendError {
    /// The store has seen a higher epoch, or another append of this one.
    Fenced(StoreError),
    /// The ownership has ended; the batch may have been stored.
    Abandoned,
}

/// Length field of a record in an append, bytes.
const LENGTH_BYTES: u64 = 4;

/// Returns how many of the first entries fit into one append; at least one.
fn part_length(entries: &[Entry], limit: Bytes) -> usize {
    let sizes = entries.iter().map(|entry| LENGTH_BYTES + entry.size().0);
    let sums = sizes.scan(0u64, |sum, size| {
        *sum = sum.saturating_add(size);
        Some(*sum)
    });
    sums.take_while(|sum| *sum <= limit.0).count().max(1).min(entries.len())
}

/// Appender of the batches of one epoch.
#[derive(Debug)]
pub struct Appender {
    store: Arc<dyn Store>,
    epoch: Epoch,
    /// Sequence number of the last append.
    sequence: u64,
    timeouts: WriteTimeouts,
}

impl Appender {
    /// Creates an appender; `claim_sequence` is the sequence number of the append that started `epoch`.
    #[must_use]
    pub fn new(store: Arc<dyn Store>, epoch: Epoch, claim_sequence: u64) -> Self {
        Self { store, epoch, sequence: claim_sequence, timeouts: WriteTimeouts::default() }
    }

    /// Appends a batch, in as many appends as its size needs; tries until the store has it, or `is_abandoned` returns true.
    ///
    /// # Errors
    ///
    /// Returns an error when the store has seen a higher epoch, or the batch was abandoned.
    pub async fn append(
        &mut self,
        entries: &[Entry],
        is_abandoned: impl Fn() -> bool,
    ) -> Result<(), AppendError> {
        let mut rest = entries;
        loop {
            let (part, later) = rest.split_at(part_length(rest, self.store.max_append()));
            self.append_part(part, &is_abandoned).await?;
            if later.is_empty() {
                return Ok(());
            }
            rest = later;
        }
    }

    async fn append_part(
        &mut self,
        entries: &[Entry],
        is_abandoned: impl Fn() -> bool,
    ) -> Result<(), AppendError> {
        self.sequence += 1;
        let (epoch, sequence) = (self.epoch, self.sequence);
        let start_try = || async {
            let started = Instant::now();
            let result = self.store.append(epoch, sequence, entries, MAX_APPEND_TIMEOUT).await;
            (started.elapsed(), result)
        };
        let mut tries = 0;
        let mut in_flight = FuturesUnordered::new();
        let next_try = sleep(Duration::ZERO);
        tokio::pin!(next_try);
        loop {
            tokio::select! {
                biased;
                Some((elapsed, result)) = in_flight.next() => match result {
                    Ok(()) => {
                        self.timeouts.record_duration(elapsed);
                        return Ok(());
                    }
                    Err(error @ (StoreError::Fenced { .. } | StoreError::Conflict { .. })) => {
                        return Err(AppendError::Fenced(error));
                    }
                    Err(error) => {
                        log::info!(target: "decision", "append epoch={epoch} sequence={sequence} outcome=repeat error={error}");
                        if in_flight.is_empty() {
                            let jitter = rand::rng().random_range(1.0..1.5);
                            let delay = WriteTimeouts::retry_delay(tries, elapsed).mul_f64(jitter);
                            next_try.as_mut().reset(Instant::now() + delay);
                        }
                    }
                },
                () = &mut next_try => {
                    if tries > 0 && is_abandoned() {
                        return Err(AppendError::Abandoned);
                    }
                    in_flight.push(start_try());
                    next_try.as_mut().reset(Instant::now() + self.timeouts.timeout(tries));
                    tries += 1;
                }
            }
        }
    }
}
