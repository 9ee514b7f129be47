//! Reservations of coordinators and their fencing.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::ledger::Key;
use crate::id::{Epoch, Incarnation, PartitionId, ShardId, TaskId, WorkerId};
use crate::job::TaskOrder;
use crate::unit::Timestamp;

/// Time for which ended reservations and stopped attempts are remembered, so that late messages find them.
const MEMORY: Duration = Duration::from_secs(60);

/// Reservation, unique for ever: numbers are unique within a partition epoch.
pub(super) type ReservationKey = (ShardId, PartitionId, Epoch, u64);

/// Reserved tasks.
#[derive(Debug)]
pub(super) struct Reservation {
    /// Coordinator.
    pub from: Incarnation,
    /// Tasks with their workers.
    pub tasks: Vec<(TaskOrder, WorkerId)>,
    /// Time at which it ends by itself.
    pub expires: Timestamp,
    /// Time until which it waits for preempted tasks to end; none when all tasks have room.
    pub waiting: Option<Timestamp>,
}

impl Reservation {
    /// Worker of each task.
    pub fn placed(&self) -> Vec<(TaskId, WorkerId)> {
        self.tasks.iter().map(|(order, worker)| (order.task.clone(), worker.clone())).collect()
    }
}

/// Reservations of one owner.
#[derive(Debug, Default)]
pub(super) struct Reservations {
    /// Live reservations.
    pub live: BTreeMap<ReservationKey, Reservation>,
    /// Reservations that wait for preempted tasks.
    pub waiting: BTreeSet<ReservationKey>,
    expiries: BTreeSet<(Timestamp, ReservationKey)>,
    committed: BTreeSet<ReservationKey>,
    stopped: BTreeSet<Key>,
    memory: BTreeSet<(Timestamp, Memory)>,
    fences: BTreeMap<PartitionId, (Epoch, Incarnation)>,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Memory {
    Committed(ReservationKey),
    Stopped(Key),
}

impl Reservations {
    /// Whether the epoch is not older than any seen; remembers it.
    pub fn admit(&mut self, partition: PartitionId, epoch: Epoch, from: Incarnation) -> bool {
        let fence = self.fences.entry(partition).or_insert((epoch, from));
        if epoch < fence.0 {
            return false;
        }
        *fence = (epoch, from);
        true
    }

    /// Current coordinator of a partition, as far as it has been heard.
    pub fn coordinator(&self, partition: PartitionId) -> Option<Incarnation> {
        self.fences.get(&partition).map(|(_, from)| *from)
    }

    /// Adds a reservation.
    pub fn insert(&mut self, key: ReservationKey, reservation: Reservation) {
        self.expiries.insert((reservation.expires, key.clone()));
        if reservation.waiting.is_some() {
            self.waiting.insert(key.clone());
        }
        self.live.insert(key, reservation);
    }

    /// Takes a reservation out.
    pub fn remove(&mut self, key: &ReservationKey) -> Option<Reservation> {
        let reservation = self.live.remove(key)?;
        self.expiries.remove(&(reservation.expires, key.clone()));
        self.waiting.remove(key);
        Some(reservation)
    }

    /// Reservations that have ended by themselves.
    pub fn expired(&mut self, now: Timestamp) -> Vec<ReservationKey> {
        self.expiries.iter().take_while(|(at, _)| *at <= now).map(|(_, key)| key.clone()).collect()
    }

    /// Reservations of coordinators that were replaced.
    pub fn stale(&self, shard: &ShardId, partition: PartitionId, epoch: Epoch) -> Vec<ReservationKey> {
        let start = (shard.clone(), partition, Epoch(0), 0);
        let end = (shard.clone(), partition, epoch, 0);
        self.live.range(start..end).map(|(key, _)| key.clone()).collect()
    }

    /// Remembers a committed reservation.
    pub fn commit(&mut self, now: Timestamp, key: &ReservationKey) {
        self.committed.insert(key.clone());
        self.memory.insert((now + MEMORY, Memory::Committed(key.clone())));
    }

    /// Whether a reservation was committed.
    pub fn is_committed(&self, key: &ReservationKey) -> bool {
        self.committed.contains(key)
    }

    /// Remembers an attempt that must never start.
    pub fn stop(&mut self, now: Timestamp, key: &Key) {
        if self.stopped.insert(key.clone()) {
            self.memory.insert((now + MEMORY, Memory::Stopped(key.clone())));
        }
    }

    /// Whether an attempt must never start.
    pub fn is_stopped(&self, key: &Key) -> bool {
        self.stopped.contains(key)
    }

    /// Forgets what no message can refer to any more.
    pub fn trim(&mut self, now: Timestamp) {
        while let Some((at, _)) = self.memory.first() {
            if *at > now {
                break;
            }
            match self.memory.pop_first() {
                Some((_, Memory::Committed(key))) => self.committed.remove(&key),
                Some((_, Memory::Stopped(key))) => self.stopped.remove(&key),
                None => break,
            };
        }
    }
}
