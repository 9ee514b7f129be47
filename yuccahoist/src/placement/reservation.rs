//! Reservations of coordinators, and fencing of replaced coordinators.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::worker_ledger::AttemptKey;
use crate::id::{Epoch, Incarnation, PartitionId, ShardId, TaskId, WorkerId};
use crate::job::TaskRequest;
use crate::unit::Timestamp;

/// Time for which committed reservations and stopped attempts are kept, so that late messages have no effect.
const TOMBSTONE_RETENTION: Duration = Duration::from_secs(60);

/// Identifies a reservation; keys never repeat, because numbers are unique within a partition epoch.
pub(super) type ReservationKey = (ShardId, PartitionId, Epoch, u64);

/// Capacity that is reserved for tasks of one coordinator.
#[derive(Debug)]
pub(super) struct Reservation {
    /// Coordinator that made the reservation.
    pub coordinator: Incarnation,
    /// Tasks, each with the worker on which its resources are reserved.
    pub tasks: Vec<(TaskRequest, WorkerId)>,
    /// Time at which the reservation is released unless it was committed.
    pub expires_at: Timestamp,
    /// Time until which the reservation waits for preempted tasks to end; none when all tasks have room.
    pub wait_deadline: Option<Timestamp>,
}

impl Reservation {
    /// Returns the worker of each task.
    pub fn assignments(&self) -> Vec<(TaskId, WorkerId)> {
        self.tasks.iter().map(|(request, worker)| (request.task.clone(), worker.clone())).collect()
    }
}

/// Reservations of one shard owner.
#[derive(Debug, Default)]
pub(super) struct Reservations {
    /// Reservations that are neither committed nor released.
    pub active: BTreeMap<ReservationKey, Reservation>,
    /// Active reservations that wait for preempted tasks to end.
    pub waiting: BTreeSet<ReservationKey>,
    expiries: BTreeSet<(Timestamp, ReservationKey)>,
    committed: BTreeSet<ReservationKey>,
    /// Attempts that must never start.
    blocked: BTreeSet<AttemptKey>,
    /// Entries of `committed` and `blocked` by the time at which they are dropped.
    tombstones: BTreeSet<(Timestamp, Tombstone)>,
    /// Highest epoch seen of each partition, with its coordinator.
    fences: BTreeMap<PartitionId, (Epoch, Incarnation)>,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Tombstone {
    Committed(ReservationKey),
    Blocked(AttemptKey),
}

impl Reservations {
    /// Records a coordinator and its epoch; returns false if a newer epoch of the partition was seen.
    pub fn admit(&mut self, partition: PartitionId, epoch: Epoch, from: Incarnation) -> bool {
        let fence = self.fences.entry(partition).or_insert((epoch, from));
        if epoch < fence.0 {
            return false;
        }
        *fence = (epoch, from);
        true
    }

    /// Returns the coordinator with the highest epoch seen of a partition; none before its first request.
    pub fn coordinator(&self, partition: PartitionId) -> Option<Incarnation> {
        self.fences.get(&partition).map(|(_, from)| *from)
    }

    /// Adds an active reservation.
    pub fn insert(&mut self, key: ReservationKey, reservation: Reservation) {
        self.expiries.insert((reservation.expires_at, key.clone()));
        if reservation.wait_deadline.is_some() {
            self.waiting.insert(key.clone());
        }
        self.active.insert(key, reservation);
    }

    /// Removes an active reservation; none if it was committed, released or never made.
    pub fn remove(&mut self, key: &ReservationKey) -> Option<Reservation> {
        let reservation = self.active.remove(key)?;
        self.expiries.remove(&(reservation.expires_at, key.clone()));
        self.waiting.remove(key);
        Some(reservation)
    }

    /// Returns the active reservations that have expired, without removing them.
    pub fn expired(&mut self, now: Timestamp) -> Vec<ReservationKey> {
        self.expiries.iter().take_while(|(at, _)| *at <= now).map(|(_, key)| key.clone()).collect()
    }

    /// Returns the active reservations that were made under an earlier epoch of the partition.
    pub fn stale(&self, shard: &ShardId, partition: PartitionId, epoch: Epoch) -> Vec<ReservationKey> {
        let start = (shard.clone(), partition, Epoch(0), 0);
        let end = (shard.clone(), partition, epoch, 0);
        self.active.range(start..end).map(|(key, _)| key.clone()).collect()
    }

    /// Records that a reservation was committed.
    pub fn commit(&mut self, now: Timestamp, key: &ReservationKey) {
        self.committed.insert(key.clone());
        self.tombstones.insert((now + TOMBSTONE_RETENTION, Tombstone::Committed(key.clone())));
    }

    /// Whether a reservation was committed within [`TOMBSTONE_RETENTION`].
    pub fn is_committed(&self, key: &ReservationKey) -> bool {
        self.committed.contains(key)
    }

    /// Records that an attempt must never start.
    pub fn block(&mut self, now: Timestamp, key: &AttemptKey) {
        if self.blocked.insert(key.clone()) {
            self.tombstones.insert((now + TOMBSTONE_RETENTION, Tombstone::Blocked(key.clone())));
        }
    }

    /// Whether an attempt must never start; known for [`TOMBSTONE_RETENTION`].
    pub fn is_blocked(&self, key: &AttemptKey) -> bool {
        self.blocked.contains(key)
    }

    /// Drops records that have passed their retention.
    pub fn prune(&mut self, now: Timestamp) {
        while let Some((at, _)) = self.tombstones.first() {
            if *at > now {
                break;
            }
            match self.tombstones.pop_first() {
                Some((_, Tombstone::Committed(key))) => self.committed.remove(&key),
                Some((_, Tombstone::Blocked(key))) => self.blocked.remove(&key),
                None => break,
            };
        }
    }
}
